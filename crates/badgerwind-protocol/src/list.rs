//! The list of runners: whole, or what changed since a version.

use badgerwind::interface::{Availability, WorkerEntry};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a runner takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no longer there.
    Gone,
}

/// A runner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Runner {
    /// Its id, which survives a restart of its process.
    pub id: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone's place in the settings.
    #[serde(default)]
    pub zone: u32,
    /// Its cell: runners that share the keys that they have seen.
    #[serde(default)]
    pub cell: u32,
    /// Its kind's place in the settings.
    #[serde(default)]
    pub kind: u32,
    /// A size to compare with other runners'.
    #[serde(default = "one")]
    pub size: f64,
    /// Whether it takes work.
    pub state: State,
    /// When its process started, in microseconds since the Unix epoch; absent: long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<u64>,
}

fn one() -> f64 {
    1.0
}

impl Runner {
    /// What the module is told of it. The front end's clock counts from the Unix epoch too, so a start is a time.
    pub fn entry(&self) -> WorkerEntry {
        WorkerEntry {
            worker: self.id,
            zone: self.zone,
            cell: self.cell,
            kind: self.kind,
            size: self.size,
            availability: match self.state {
                State::Ready => Availability::Ready,
                State::Draining => Availability::Draining,
                State::Gone => Availability::Removed,
            },
            born: self.started,
        }
    }
}

/// A list, as the service answers and as a front end keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Its version; it only grows within one life of the service.
    pub version: u64,
    /// The whole list, or changes since the version asked for.
    pub whole: bool,
    /// Its runners.
    pub runners: Vec<Runner>,
}

/// Runners that a list may name: a bound on what is read from outside.
pub const MOST_RUNNERS: usize = 10_000;

impl List {
    /// Reads an answer; the error says what is wrong.
    pub fn parse(bytes: &[u8]) -> Result<List, String> {
        let list: List = serde_json::from_slice(bytes).map_err(|e| format!("not a runner list: {e}"))?;
        if list.runners.len() > MOST_RUNNERS {
            return Err(format!("{} runners, {MOST_RUNNERS} at most", list.runners.len()));
        }
        if let Some(r) = list.runners.iter().find(|r| !r.size.is_finite() || r.size <= 0.0) {
            return Err(format!("runner {}: size must be above 0", r.id));
        }
        Ok(list)
    }
}

/// The target that asks for what changed after a version, or for the whole list.
pub fn target(front: u32, after: Option<u64>, wait_ms: u64) -> String {
    match after {
        Some(version) => format!("/runners?front={front}&after={version}&wait={wait_ms}"),
        None => format!("/runners?front={front}"),
    }
}
