//! Days on processes: members of the register between relays, faults put between and into them, and the judge's word of what
//! they wrote down. A rig: the product's own path uses nothing of it.

#![warn(missing_docs)]

pub mod day;
pub mod member;
pub mod steady;

/// What went wrong in the rig itself.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A file.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// A file's text.
    #[error("{0}: {1}")]
    Text(String, serde_json::Error),
    /// A member or its key.
    #[error("{0}")]
    Member(String),
    /// A process.
    #[error("cannot run a member: {0}")]
    Process(std::io::Error),
    /// A program of the system that counts for the rig.
    #[error("cannot run {0}: {1}; it counts what connections carry, and comes with iproute2")]
    Counter(&'static str, std::io::Error),
    /// The network between them.
    #[error("no network between members: {0}")]
    Network(std::io::Error),
}
