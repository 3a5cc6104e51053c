//! Rate limit for log lines that any client can cause; counts the suppressed ones.

use badgerwind::interface::{Micros, Time};
use std::cell::Cell;

/// Least time between two lines of one kind, in microseconds.
const INTERVAL: Micros = 10_000_000;

/// Limits the log lines of one kind.
#[derive(Default)]
pub(crate) struct LogLimit {
    next_at: Cell<Time>,
    suppressed: Cell<u64>,
}

impl LogLimit {
    /// If a line may be written now, returns how many were suppressed since the last one.
    pub(crate) fn allow(&self, now: Time) -> Option<u64> {
        if now < self.next_at.get() {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.next_at.set(now + INTERVAL);
        Some(self.suppressed.take())
    }
}
