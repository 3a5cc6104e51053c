//! Lines in the log that anybody could cause: few of them, and how many were left out.

use badgerwind::interface::{Span, Time};
use std::cell::Cell;

/// Between two lines of one kind, in microseconds.
const BETWEEN: Span = 10_000_000;

/// Complaints of one kind.
#[derive(Default)]
pub(super) struct Seldom {
    next: Cell<Time>,
    left_out: Cell<u64>,
}

impl Seldom {
    /// Whether a line may be written now: then, how many were left out since the last one.
    pub(super) fn may(&self, now: Time) -> Option<u64> {
        if now < self.next.get() {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.next.set(now + BETWEEN);
        Some(self.left_out.take())
    }
}

/// What may be complained of.
#[derive(Default)]
pub(super) struct Complaints {
    /// Connections that cannot be accepted.
    pub accept: Seldom,
    /// Requests that cannot be used.
    pub request: Seldom,
    /// Answers that cannot be read.
    pub answer: Seldom,
    /// Service discovery: what it sent, and that it cannot be had.
    pub discovery: Seldom,
    /// What an outage of service discovery costs.
    pub outage: Seldom,
    /// Executors that turn work away while the list of them is stale.
    pub turned_away: Seldom,
    /// Datagrams that cannot be used.
    pub datagram: Seldom,
    /// Descriptors that are short for connections to executors.
    pub dial: Seldom,
}
