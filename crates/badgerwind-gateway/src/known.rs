//! What was last heard of a function at a runner, so that the log of an attempt says what stood for it: the evidence
//! that the module had, not its reasons, which its actions do not carry. Kept only while attempts are logged.

use badgerwind::interface::{Time, WorkerId};
use std::collections::HashMap;

/// Pairs kept; beyond them all are forgotten, which costs log lines their evidence and nothing else.
const MOST: usize = 50_000;

#[derive(Debug, Default)]
pub(crate) struct Known(HashMap<(WorkerId, String), (Time, String)>);

impl Known {
    /// Something was heard, or asked for.
    pub(crate) fn note(&mut self, now: Time, worker: WorkerId, function: &str, what: String) {
        if self.0.len() >= MOST {
            self.0.clear();
        }
        self.0.insert((worker, function.to_owned()), (now, what));
    }

    /// In words.
    pub(crate) fn tell(&self, now: Time, worker: WorkerId, function: &str) -> String {
        match self.0.get(&(worker, function.to_owned())) {
            Some((at, what)) => format!("{what} {:.1} s ago", now.saturating_sub(*at) as f64 / 1e6),
            None => "nothing".to_owned(),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/known.rs"]
mod tests;
