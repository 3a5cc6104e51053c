//! The order of the attempts of a call, also of those sent by different front ends.

use serde::{Deserialize, Serialize};

/// Orders the attempts of one call: by the time at which a front end received the call or a repeat of it,
/// then by that front end's number, then by the attempt. The clocks of front ends may differ. That is safe:
/// if the order is wrong, a runner rejects an attempt that it could have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// When the front end received the call or its repeat, in microseconds since the Unix epoch by its own
    /// clock.
    pub taken: u64,
    /// The front end's number.
    pub front: u32,
    /// The attempt, counted from 0.
    pub attempt: u32,
}

impl Fence {
    /// The form on the wire: `TAKEN.FRONT.ATTEMPT`.
    pub fn to_text(self) -> String {
        format!("{}.{}.{}", self.taken, self.front, self.attempt)
    }

    /// Parses that form.
    pub fn parse(text: &str) -> Option<Fence> {
        let mut parts = text.split('.');
        let fence = Fence {
            taken: parts.next()?.parse().ok()?,
            front: parts.next()?.parse().ok()?,
            attempt: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(fence)
    }
}
