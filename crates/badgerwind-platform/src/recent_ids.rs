//! The ids of calls that must not run twice and have begun. An id that comes again, after its call is answered or
//! its client has left, is not run again.

use badgerwind::interface::{Micros, Time};
use std::collections::{HashMap, VecDeque};

/// How long an id is remembered, in microseconds: much longer than the longest deadline.
const MEMORY_TIME: Micros = 60_000_000;
/// Most bytes of a remembered id.
pub const BYTES_PER_ID: usize = 80;

/// Remembers a limited number of ids for a limited time. The oldest ones are forgotten first.
#[derive(Debug)]
pub struct RecentIds {
    max_ids: usize,
    /// When each id was remembered last.
    ids: HashMap<u64, Time>,
    /// Ids in the order in which they were remembered, also those that were forgotten since.
    order: VecDeque<(Time, u64)>,
}

impl RecentIds {
    /// Remembers up to `max_ids` ids.
    pub fn new(max_ids: usize) -> RecentIds {
        RecentIds { max_ids, ids: HashMap::new(), order: VecDeque::new() }
    }

    /// Remembers an id from now on.
    pub fn insert(&mut self, now: Time, id: &str) {
        let Some(id) = parse(id) else { return };
        self.forget_old(now);
        self.ids.insert(id, now);
        self.order.push_back((now, id));
        if self.order.len() > self.max_ids {
            self.forget_first();
        }
    }

    /// Whether an id is remembered.
    pub fn contains(&mut self, now: Time, id: &str) -> bool {
        self.forget_old(now);
        parse(id).is_some_and(|id| self.ids.contains_key(&id))
    }

    /// Forgets an id, since its call never ran.
    pub fn remove(&mut self, id: &str) {
        if let Some(id) = parse(id) {
            self.ids.remove(&id);
        }
    }

    /// Number of ids remembered.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    fn forget_old(&mut self, now: Time) {
        while self.order.front().is_some_and(|(at, _)| now > at + MEMORY_TIME) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((at, id)) = self.order.pop_front() else { return };
        // It may have been remembered again since.
        if self.ids.get(&id) == Some(&at) {
            self.ids.remove(&id);
        }
    }
}

/// Ids are 16 hexadecimal digits.
fn parse(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}
