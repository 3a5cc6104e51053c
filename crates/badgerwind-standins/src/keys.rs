//! The idempotency keys that a group of runners remembers: a key that ran is not run again for a limited
//! time, and one that runs at one runner is not started at another. The module does no I/O.

use crate::share::Time;
use std::collections::BTreeMap;

/// Result of claiming a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The key is new: run the call.
    Fresh,
    /// The call runs elsewhere in the group: reject this one.
    Busy,
    /// The call ran already: answer so without running it again.
    Ran,
}

#[derive(Clone, Copy, Debug)]
enum KeyState {
    Running(Time),
    Ran(Time),
}

/// The keys that a group remembers.
#[derive(Debug)]
pub struct Keys {
    window: Time,
    lease: Time,
    seen: BTreeMap<String, KeyState>,
}

impl Keys {
    /// Remembers keys that ran for `window`, and keys that were claimed and never ended for `lease`.
    pub fn new(window: Time, lease: Time) -> Self {
        Keys { window, lease, seen: BTreeMap::new() }
    }

    /// Claims a key for a runner.
    pub fn claim(&mut self, now: Time, key: &str) -> Claim {
        let (window, lease) = (self.window, self.lease);
        self.seen.retain(|_, s| match s {
            KeyState::Running(at) => *at + lease > now,
            KeyState::Ran(at) => *at + window > now,
        });
        match self.seen.get(key) {
            Some(KeyState::Ran(_)) => Claim::Ran,
            Some(KeyState::Running(_)) => Claim::Busy,
            None => {
                self.seen.insert(key.to_owned(), KeyState::Running(now));
                Claim::Fresh
            }
        }
    }

    /// Marks a key as run.
    pub fn ran(&mut self, now: Time, key: &str) {
        self.seen.insert(key.to_owned(), KeyState::Ran(now));
    }

    /// Releases a claimed key whose call did not run.
    pub fn release(&mut self, key: &str) {
        if matches!(self.seen.get(key), Some(KeyState::Running(_))) {
            self.seen.remove(key);
        }
    }
}
