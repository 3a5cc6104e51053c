//! The requests of one function that wait for a lane. Adding, removing and taking one costs the logarithm of
//! their number.

use crate::interface::{RequestId, Time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// When a held request is served and until when it may stay held.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Priority {
    /// Requests of most worth are served first.
    pub worth: f64,
    /// Of equal worth, the most urgent is served first.
    pub due: Time,
    /// From this time on the request is among the next ones taken, whatever its worth.
    pub decide_by: Time,
}

impl Priority {
    /// A key that sorts in the order of service; ids make the order unique.
    pub(crate) fn service_key(&self, id: &RequestId) -> ServiceKey {
        (Reverse(sortable(self.worth)), self.due, id.clone())
    }
}

/// Sorts requests in the order of service.
pub(crate) type ServiceKey = (Reverse<i64>, Time, RequestId);

/// An integer that sorts as the number does by [`f64::total_cmp`].
fn sortable(number: f64) -> i64 {
    let bits = number.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

/// Held requests in the order of service, as it was when each of them was added.
#[derive(Debug, Default)]
pub(crate) struct HeldQueue {
    priorities: BTreeMap<RequestId, Priority>,
    by_service: BTreeSet<ServiceKey>,
    by_decision: BTreeSet<(Time, RequestId)>,
}

impl HeldQueue {
    pub(crate) fn len(&self) -> usize {
        self.priorities.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.priorities.is_empty()
    }

    /// Adds a request. One that is held already gets the new priority.
    pub(crate) fn insert(&mut self, id: RequestId, priority: Priority) {
        self.remove(&id);
        self.by_service.insert(priority.service_key(&id));
        self.by_decision.insert((priority.decide_by, id.clone()));
        self.priorities.insert(id, priority);
    }

    /// Removes a request; without effect if it is not held.
    pub(crate) fn remove(&mut self, id: &RequestId) {
        let Some(priority) = self.priorities.remove(id) else { return };
        self.by_service.remove(&priority.service_key(id));
        self.by_decision.remove(&(priority.decide_by, id.clone()));
    }

    /// Removes and returns the requests whose decision is due.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<RequestId> {
        let mut due = Vec::new();
        while let Some((_, id)) = self.by_decision.first().filter(|(at, _)| *at <= now).cloned() {
            self.remove(&id);
            due.push(id);
        }
        due
    }

    /// Removes and returns the first requests in the order of service, at most `max`.
    pub(crate) fn take_first(&mut self, max: usize) -> Vec<RequestId> {
        let first: Vec<RequestId> = self.by_service.iter().take(max).map(|key| key.2.clone()).collect();
        first.iter().for_each(|id| self.remove(id));
        first
    }

    /// Adds all requests of another queue.
    pub(crate) fn extend(&mut self, other: HeldQueue) {
        for (id, priority) in other.priorities {
            self.insert(id, priority);
        }
    }
}
