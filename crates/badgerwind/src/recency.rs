//! Slots of functions in the order of their last use. Each operation costs the logarithm of their number.

use std::collections::BTreeMap;

/// Identifies the last use of a slot. Later uses have larger stamps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Stamp(u64);

/// Slots, the least recently used first.
#[derive(Debug, Default)]
pub(crate) struct RecencyQueue {
    by_use: BTreeMap<Stamp, usize>,
    last: u64,
}

impl RecencyQueue {
    pub(crate) fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Adds a slot as the most recently used one.
    pub(crate) fn push(&mut self, slot: usize) -> Stamp {
        self.last += 1;
        let stamp = Stamp(self.last);
        self.by_use.insert(stamp, slot);
        stamp
    }

    /// Removes the slot that was added with this stamp.
    pub(crate) fn remove(&mut self, stamp: Stamp) -> Option<usize> {
        self.by_use.remove(&stamp)
    }

    /// The least recently used slot.
    pub(crate) fn oldest(&self) -> Option<usize> {
        self.by_use.first_key_value().map(|(_, slot)| *slot)
    }
}
