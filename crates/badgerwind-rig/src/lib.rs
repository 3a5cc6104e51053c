//! A test rig that runs members of the register as processes behind relays, injects faults, and checks the
//! members' records with `badgerwind-check`. The gateway does not use this crate.

#![warn(missing_docs)]

pub mod day;
pub mod member;
pub mod steady;

/// An error of the rig itself.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// A JSON text is invalid.
    #[error("{0}: {1}")]
    Text(String, serde_json::Error),
    /// A member or its key failed.
    #[error("{0}")]
    Member(String),
    /// A process cannot be started or signalled.
    #[error("cannot run a member: {0}")]
    Process(std::io::Error),
    /// The system program that reads connection counters cannot be run.
    #[error("cannot run {0}: {1}; it reads the counters of connections, and is part of iproute2")]
    Counter(&'static str, std::io::Error),
    /// The network between the members cannot be set up.
    #[error("cannot set up the network between members: {0}")]
    Network(std::io::Error),
}
