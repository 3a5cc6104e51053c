//! The list of runners: either complete, or the changes since a version.

use badgerwind::interface::{self, WorkerEntry};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a runner accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Availability {
    /// The runner accepts work.
    Ready,
    /// The runner accepts no new work and finishes the calls that it has.
    Draining,
    /// The runner was removed.
    #[serde(rename = "gone")]
    Removed,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Runner {
    /// The runner's id, which stays the same when its process restarts.
    pub id: u32,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Index of its zone in the settings.
    #[serde(default)]
    pub zone: u32,
    /// Its cell: a group of runners that share a record of the idempotency keys they have seen.
    #[serde(default)]
    pub cell: u32,
    /// Index of its kind in the settings.
    #[serde(default)]
    pub kind: u32,
    /// Its capacity relative to other runners.
    #[serde(default = "one")]
    pub size: f64,
    /// Whether it accepts work.
    #[serde(rename = "state")]
    pub availability: Availability,
    /// When its process started, in microseconds since the Unix epoch; absent if it started long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<u64>,
}

fn one() -> f64 {
    1.0
}

impl Runner {
    /// The entry as passed to the decision module. The front end's clock also counts from the Unix epoch, so
    /// the start time needs no conversion.
    pub fn entry(&self) -> WorkerEntry {
        WorkerEntry {
            worker: self.id,
            zone: self.zone,
            cell: self.cell,
            kind: self.kind,
            size: self.size,
            availability: match self.availability {
                Availability::Ready => interface::Availability::Ready,
                Availability::Draining => interface::Availability::Draining,
                Availability::Removed => interface::Availability::Removed,
            },
            born: self.started,
        }
    }
}

/// A list, as the service sends it and as a front end stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Its version, which only increases while the service's process runs.
    pub version: u64,
    /// True for a complete list, false for the changes since the requested version.
    pub whole: bool,
    /// The runners.
    pub runners: Vec<Runner>,
}

/// Largest number of runners in a list; a limit on external input.
pub const MAX_RUNNERS: usize = 10_000;

impl List {
    /// Parses and validates a list; the error says what is invalid.
    pub fn parse(bytes: &[u8]) -> Result<List, String> {
        let list: List = serde_json::from_slice(bytes).map_err(|e| format!("not a runner list: {e}"))?;
        if list.runners.len() > MAX_RUNNERS {
            return Err(format!("the list has {} runners, more than {MAX_RUNNERS}", list.runners.len()));
        }
        if let Some(r) = list.runners.iter().find(|r| !r.size.is_finite() || r.size <= 0.0) {
            return Err(format!("runner {}: size must be above 0", r.id));
        }
        Ok(list)
    }
}

/// The request target for the changes after a version, or for the complete list if `after` is `None`.
/// `wait_ms` is how long the service may hold the request until there is a change.
pub fn target(front: u32, after: Option<u64>, wait_ms: u64) -> String {
    match after {
        Some(version) => format!("/runners?front={front}&after={version}&wait={wait_ms}"),
        None => format!("/runners?front={front}"),
    }
}
