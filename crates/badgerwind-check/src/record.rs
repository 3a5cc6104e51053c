//! What peers write down, one JSON object a line, and what the judge is told of the fleet.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How a sender's try ended, as it saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// A final answer: served.
    Served,
    /// A final answer: refused, trying again is harmless.
    Refused,
    /// A final answer: failed, no promise.
    Failed,
    /// The front turned the message away as malformed or unauthorized: nothing was taken.
    Rejected,
    /// No connection could be made: nothing was taken.
    Unreached,
    /// The connection broke before an answer.
    Broke,
    /// The sender gave up waiting.
    GaveUp,
}

/// What a list said of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes work.
    Ready,
    /// Nothing new may go there.
    Draining,
    /// Nor there.
    Gone,
}

/// Something seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum What {
    /// A sender wrote a message. Its tries share the call's name.
    Sent {
        /// The call: the idempotency key as runners see it.
        call: String,
        /// The try, from 0.
        attempt: u32,
        /// To which front end.
        front: u32,
        /// Its class.
        class: String,
        /// Its tenant.
        tenant: String,
        /// When the sender gives up.
        due: u64,
        /// Its work, in microseconds of one core of speed 1, where the sender knows it.
        #[serde(default)]
        work: f64,
    },
    /// A try ended.
    Told {
        /// The call.
        call: String,
        /// The try.
        attempt: u32,
        /// How.
        answer: Answer,
        /// The answer is one that the front remembered.
        replayed: bool,
    },
    /// An attempt reached a runner.
    Arrived {
        /// The runner.
        runner: u32,
        /// The front's own name for the call.
        request: String,
        /// The attempt's number.
        attempt: u32,
        /// The call.
        call: String,
        /// From which front end.
        front: u32,
        /// Its class.
        class: String,
    },
    /// A runner of a fenced class let an attempt in.
    Began {
        /// The runner.
        runner: u32,
        /// The request.
        request: String,
        /// The attempt.
        attempt: u32,
    },
    /// A runner carried out an attempt's work to its end: its effect stands.
    Finished {
        /// The runner.
        runner: u32,
        /// The request.
        request: String,
        /// The attempt.
        attempt: u32,
    },
    /// A runner answered an attempt.
    Replied {
        /// The runner.
        runner: u32,
        /// The request.
        request: String,
        /// The attempt.
        attempt: u32,
        /// The word: `ok`, `error`, `full`, `miss`, `cancelled`.
        outcome: String,
    },
    /// An attempt was called off, or its connection closed, before an answer.
    Left {
        /// The runner.
        runner: u32,
        /// The request.
        request: String,
        /// The attempt.
        attempt: u32,
    },
    /// An order to load reached a runner.
    Ordered {
        /// The runner.
        runner: u32,
        /// From which front end.
        front: u32,
        /// The function.
        function: String,
        /// Copies wanted; 0 only asked.
        copies: u32,
    },
    /// A runner's process started, cold and empty.
    RunnerStarted {
        /// The runner.
        runner: u32,
    },
    /// A runner was killed.
    RunnerKilled {
        /// The runner.
        runner: u32,
    },
    /// A front end was told of a runner's state.
    Listed {
        /// The front end.
        front: u32,
        /// The runner.
        runner: u32,
        /// Its state.
        state: State,
    },
    /// A front end began to serve.
    FrontStarted {
        /// The front end.
        front: u32,
    },
    /// A front end was killed outright.
    FrontKilled {
        /// The front end.
        front: u32,
    },
}

/// A record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When its writer saw it, in microseconds.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// Reads records; the error names the line.
pub fn read(text: &str) -> Result<Vec<Line>, String> {
    let read =
        |(n, line): (usize, &str)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1));
    text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()).map(read).collect()
}

/// Whether a call may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// As often as one likes.
    Repeatable,
    /// A group of runners drops repeats for a while.
    ByKey,
    /// Never.
    Once,
}

/// Which runners drop repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class, for the judge.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassFacts {
    /// Whether its calls may run twice.
    pub effect: Effect,
    /// For by-key.
    pub group: Group,
    /// For by-key: for how long, in microseconds.
    pub window: u64,
    /// An answer within this time is in time.
    pub aim: u64,
    /// Mean work, in microseconds of one core of speed 1.
    pub work: f64,
    /// Its runners keep a ledger: what counts is which attempts they let in, not which reached them.
    #[serde(default)]
    pub fenced: bool,
    /// Worth of an answer within the aim.
    #[serde(default)]
    pub worth: f64,
    /// Share of it for a later one.
    #[serde(default)]
    pub late_worth: f64,
}

/// A runner, for the judge.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunnerFacts {
    /// Cores times speed: work a microsecond when warm.
    pub capacity: f64,
    /// Share of it at the start.
    pub cold_from: f64,
    /// Time until it is warm.
    pub cold_span: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// The limit on load orders.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Loads {
    /// Its window; 0: no limit.
    pub window: u64,
    /// Orders allowed whatever the traffic.
    pub free: f64,
    /// Further ones for each call taken.
    pub share: f64,
}

/// What the judge is told of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Facts {
    /// Its classes.
    pub classes: BTreeMap<String, ClassFacts>,
    /// Its runners.
    pub runners: BTreeMap<u32, RunnerFacts>,
    /// Two attempts of a request may be out at once.
    pub may_duplicate: bool,
    /// Time in which sends to a draining runner must end.
    pub drain_grace: u64,
    /// A cold runner may be sent this many times its present capacity...
    pub fall_multiple: f64,
    /// ...in any window of this length.
    pub fall_window: u64,
    /// The limit on load orders.
    pub loads: Loads,
    /// What a message may take between two writers.
    pub transit: u64,
}
