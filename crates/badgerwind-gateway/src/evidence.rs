//! The last event of each pair of runner and function, logged with an attempt. It shows the evidence that the
//! decision module had, not its reasons, which its actions do not carry. Recorded only while attempts are
//! logged.

use badgerwind::interface::{Time, WorkerId};
use std::collections::HashMap;

/// Most pairs tracked. At the limit all are dropped, which only removes the evidence from log lines.
const MAX_PAIRS: usize = 50_000;

#[derive(Debug, Default)]
pub(crate) struct Evidence(HashMap<(WorkerId, String), (Time, String)>);

impl Evidence {
    /// Records an event of a function at a runner.
    pub(crate) fn record(&mut self, now: Time, worker: WorkerId, function: &str, event: String) {
        if self.0.len() >= MAX_PAIRS {
            self.0.clear();
        }
        self.0.insert((worker, function.to_owned()), (now, event));
    }

    /// The last event and its age, as text.
    pub(crate) fn describe(&self, now: Time, worker: WorkerId, function: &str) -> String {
        match self.0.get(&(worker, function.to_owned())) {
            Some((at, event)) => format!("{event} {:.1} s ago", now.saturating_sub(*at) as f64 / 1e6),
            None => "nothing".to_owned(),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/evidence.rs"]
mod tests;
