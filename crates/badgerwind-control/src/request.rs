//! Validation of a front end's request, and the response that offers a version. No I/O.

use badgerwind_config::parts::Kind;
use badgerwind_config::wire::{ControlPlane, DiscoveryRequest, DiscoveryResponse, Resource};

/// Longest name of a front end, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The name of the front end is missing or too long.
    #[error("node.id must be 1 to 256 bytes")]
    Name,
    /// The running version is not a number.
    #[error("version_info must be empty or a whole number")]
    Version,
}

/// A valid request for a type of resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceRequest {
    /// The front end's name.
    pub front_end: String,
    /// The type of resource.
    pub kind: Kind,
    /// The version that runs; `None` if the settings file's own content runs.
    pub running: Option<u64>,
}

impl ResourceRequest {
    /// Validates a request.
    pub fn parse(kind: Kind, request: &DiscoveryRequest) -> Result<ResourceRequest, RequestError> {
        let id = &request.node.id;
        if id.is_empty() || id.len() > MAX_NAME_BYTES {
            return Err(RequestError::Name);
        }
        let running = match request.version_info.as_str() {
            "" => None,
            text => Some(text.parse().map_err(|_| RequestError::Version)?),
        };
        Ok(ResourceRequest { front_end: id.clone(), kind, running })
    }

    /// The response that offers a version.
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
