//! Lines in the log that anybody could cause: few of them, and how many were left out.

use badgerwind::interface::{Span, Time};
use std::cell::Cell;

/// Between two lines of one kind, in microseconds.
const BETWEEN: Span = 10_000_000;

/// Limits the log lines of one kind.
#[derive(Default)]
pub(crate) struct LogLimit {
    next: Cell<Time>,
    left_out: Cell<u64>,
}

impl LogLimit {
    /// Whether a line may be written now: then, how many were left out since the last one.
    pub(crate) fn may(&self, now: Time) -> Option<u64> {
        if now < self.next.get() {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.next.set(now + BETWEEN);
        Some(self.left_out.take())
    }
}
