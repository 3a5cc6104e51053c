//! The records of the gateway's peers, one JSON object per line, and the facts on the fleet that the checks
//! need.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How a sender's try ended, as the sender saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Final answer: served.
    Served,
    /// Final answer: refused; a retry is harmless.
    Refused,
    /// Final answer: failed; the call may have run.
    Failed,
    /// The front end rejected the message as malformed or unauthorized; no call was accepted.
    Rejected,
    /// No connection could be made; no call was accepted.
    Unreached,
    /// The connection broke before an answer.
    Broke,
    /// The sender stopped waiting.
    GaveUp,
}

/// Whether a runner accepts calls, as the runner list reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// Accepts calls.
    Ready,
    /// Finishes what it has; accepts no new calls.
    Draining,
    /// Removed from the list.
    #[serde(rename = "gone")]
    Removed,
}

/// An event that a peer of the gateway observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Event {
    /// A sender sent a message. All tries of a call carry the same `call`.
    Sent {
        /// The call's identifier: the idempotency key as runners see it.
        call: String,
        /// Number of the try, from 0.
        attempt: u32,
        /// The front end that it was sent to.
        front: u32,
        /// The call's class.
        class: String,
        /// The call's tenant.
        tenant: String,
        /// When the sender stops waiting, in microseconds.
        due: u64,
        /// Work of the call in microseconds of one core of speed 1; 0 if the sender does not know it.
        #[serde(default)]
        work: f64,
    },
    /// A sender's try ended.
    #[serde(rename = "told")]
    TryEnded {
        /// The call's identifier.
        call: String,
        /// Number of the try.
        attempt: u32,
        /// How it ended.
        answer: Answer,
        /// The front end replayed a stored answer.
        replayed: bool,
    },
    /// An attempt reached a runner.
    Arrived {
        /// The runner.
        runner: u32,
        /// The front end's own identifier of the call.
        request: String,
        /// The attempt's number.
        attempt: u32,
        /// The call's identifier.
        call: String,
        /// The front end that sent it.
        front: u32,
        /// The call's class.
        class: String,
    },
    /// A runner with a ledger admitted an attempt of a fenced class.
    #[serde(rename = "began")]
    Admitted {
        /// The runner.
        runner: u32,
        /// The front end's own identifier of the call.
        request: String,
        /// The attempt's number.
        attempt: u32,
    },
    /// A runner completed an attempt's work: its effect has happened.
    Finished {
        /// The runner.
        runner: u32,
        /// The front end's own identifier of the call.
        request: String,
        /// The attempt's number.
        attempt: u32,
    },
    /// A runner answered an attempt.
    Replied {
        /// The runner.
        runner: u32,
        /// The front end's own identifier of the call.
        request: String,
        /// The attempt's number.
        attempt: u32,
        /// The outcome: `ok`, `error`, `full`, `miss`, `cancelled`.
        outcome: String,
    },
    /// An attempt was cancelled, or its connection closed, before an answer.
    #[serde(rename = "left")]
    Aborted {
        /// The runner.
        runner: u32,
        /// The front end's own identifier of the call.
        request: String,
        /// The attempt's number.
        attempt: u32,
    },
    /// An order to load reached a runner.
    Ordered {
        /// The runner.
        runner: u32,
        /// The front end that sent it.
        front: u32,
        /// The function.
        function: String,
        /// Copies to hold; 0 only queries how many are loaded.
        copies: u32,
    },
    /// A runner's process started, cold and without copies.
    RunnerStarted {
        /// The runner.
        runner: u32,
    },
    /// A runner was killed.
    RunnerKilled {
        /// The runner.
        runner: u32,
    },
    /// The list service reported to a front end whether a runner accepts calls.
    Listed {
        /// The front end.
        front: u32,
        /// The runner.
        runner: u32,
        /// Whether the runner accepts calls.
        #[serde(rename = "state")]
        availability: Availability,
    },
    /// A front end began to serve.
    FrontStarted {
        /// The front end.
        front: u32,
    },
    /// A front end was killed. Two of these without a start in between enclose one kill.
    FrontKilled {
        /// The front end.
        front: u32,
    },
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When its writer observed the event, in microseconds.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Parses records, one JSON object per line; the error names the line.
pub fn read(text: &str) -> Result<Vec<Line>, String> {
    let parse =
        |(n, line): (usize, &str)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1));
    text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()).map(parse).collect()
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Any number of times.
    Repeatable,
    /// Repeats are safe within a group of runners that drops them by key, for a limited time.
    ByKey,
    /// At most once.
    Once,
}

/// The runners that drop repeats of a key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    /// All runners.
    All,
    /// The runners of a zone.
    Zone,
    /// The runners of a cell.
    Cell,
}

/// Facts on a class of calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassFacts {
    /// Whether its calls may run more than once.
    pub effect: Effect,
    /// For [`Effect::ByKey`]: the runners that drop repeats together.
    pub group: Group,
    /// For [`Effect::ByKey`]: how long repeats are dropped, in microseconds.
    pub window: u64,
    /// Latency target, in microseconds.
    pub aim: u64,
    /// Mean work, in microseconds of one core of speed 1.
    pub work: f64,
    /// Its runners use a ledger: the attempts that they admitted count, not those that reached them.
    #[serde(default)]
    pub fenced: bool,
    /// Value of an answer within the aim.
    #[serde(default)]
    pub worth: f64,
    /// Share of that value for a later answer.
    #[serde(default)]
    pub late_worth: f64,
}

/// Facts on a runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunnerFacts {
    /// Cores times speed: work per microsecond when warm.
    pub capacity: f64,
    /// Share of the capacity at its start.
    pub cold_from: f64,
    /// Time until it is warm, in microseconds.
    pub cold_span: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// The limit on load orders.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LoadLimit {
    /// Length of the window in microseconds; 0 for no limit.
    pub window: u64,
    /// Orders allowed per window regardless of traffic.
    pub free: f64,
    /// Further orders allowed per call received in the window.
    pub share: f64,
}

/// What the checks need to know about the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Facts {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassFacts>,
    /// Runners by id.
    pub runners: BTreeMap<u32, RunnerFacts>,
    /// Two attempts of a request may run at the same time.
    pub may_duplicate: bool,
    /// Time within which sends to a draining runner must end, in microseconds.
    pub drain_grace: u64,
    /// Multiple of its present capacity that a cold runner may be sent in a `fall_window`.
    pub fall_multiple: f64,
    /// Length of the window for `fall_multiple`, in microseconds.
    pub fall_window: u64,
    /// The limit on load orders.
    pub loads: LoadLimit,
    /// Longest time that a message may take between two writers, in microseconds.
    pub transit: u64,
}
