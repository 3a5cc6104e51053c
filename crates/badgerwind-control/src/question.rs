//! A front end's question as the service reads it, and the answer that offers a version; no I/O.

use badgerwind_config::parts::Kind;
use badgerwind_config::wire::{ControlPlane, DiscoveryRequest, DiscoveryResponse, Resource};

/// The longest name of a front end, in bytes.
const MOST_NAME: usize = 256;

/// Why a question is not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuestionError {
    /// The name of the front end is missing or too long.
    #[error("node.id must be 1 to 256 bytes")]
    Name,
    /// The version that runs is no number.
    #[error("version_info must be empty or a whole number")]
    Version,
}

/// What a front end asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The front end's name.
    pub front_end: String,
    /// The type of resource.
    pub kind: Kind,
    /// The version that runs; `None`: the file's own.
    pub running: Option<u64>,
}

impl Question {
    /// Checks a request.
    pub fn read(kind: Kind, request: &DiscoveryRequest) -> Result<Question, QuestionError> {
        let id = &request.node.id;
        if id.is_empty() || id.len() > MOST_NAME {
            return Err(QuestionError::Name);
        }
        let running = match request.version_info.as_str() {
            "" => None,
            text => Some(text.parse().map_err(|_| QuestionError::Version)?),
        };
        Ok(Question { front_end: id.clone(), kind, running })
    }

    /// The answer that offers a version.
    pub fn response(&self, version: u64, text: &str, service: &str, nonce: u64) -> DiscoveryResponse {
        DiscoveryResponse {
            version_info: version.to_string(),
            resources: vec![Resource { kind: self.kind.type_url(), value: text.to_owned() }],
            type_url: self.kind.type_url(),
            nonce: format!("{service}-{nonce}"),
            control_plane: Some(ControlPlane { identifier: service.to_owned() }),
        }
    }
}
