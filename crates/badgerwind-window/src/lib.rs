//! Counts occurrences in a sliding window of time. Occurrences at the same time share one entry, so that the
//! memory is bounded by the number of distinct times in the window: whoever reads the clock once for each
//! batch stores one entry for each batch, however many occurrences it holds. No clock: times are arguments.

use std::collections::VecDeque;

/// A time on a monotonic clock, in any unit.
type Time = u64;

/// All occurrences up to a time.
#[derive(Clone, Copy, Debug)]
struct CountedUntil {
    time: Time,
    /// Number of occurrences at this time or earlier, the forgotten ones included.
    count: u64,
}

/// Recent occurrences, in order of time.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    entries: VecDeque<CountedUntil>,
    total: u64,
    forgotten: u64,
}

impl SlidingWindow {
    /// Adds an occurrence, not before the last one.
    pub fn push(&mut self, now: Time) {
        self.total += 1;
        match self.entries.back_mut().filter(|last| last.time == now) {
            Some(last) => last.count = self.total,
            None => self.entries.push_back(CountedUntil { time: now, count: self.total }),
        }
    }

    /// The number of occurrences at or after this time.
    pub fn count_since(&self, from: Time) -> u64 {
        let index = self.entries.partition_point(|entry| entry.time < from);
        let before = index.checked_sub(1).map_or(self.forgotten, |last| self.entries[last].count);
        self.total - before
    }

    /// Forgets the occurrences before this time.
    pub fn forget_before(&mut self, from: Time) {
        while let Some(entry) = self.entries.front().filter(|entry| entry.time < from) {
            self.forgotten = entry.count;
            self.entries.pop_front();
        }
    }

    /// Number of entries stored: the distinct times of the occurrences that are not forgotten.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }
}
