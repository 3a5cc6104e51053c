//! Proof that an attempt never ran.

use badgerwind::interface::Outcome;

/// Proof that an attempt never ran. It can be created from evidence only; who has one may send the call
/// again, or tell the sender that repeating it is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverRan {
    reason: Reason,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    NeverSent,
    NoConnection,
    Rejected,
    NotLoaded,
}

impl NeverRan {
    /// The proof that an outcome gives; `None` where the attempt may have run. A timeout, a broken connection
    /// and a cancellation prove nothing, and neither does an error.
    pub fn from_outcome(outcome: Outcome) -> Option<NeverRan> {
        let reason = match outcome {
            Outcome::Moot => Reason::NeverSent,
            Outcome::ConnectFailed => Reason::NoConnection,
            Outcome::Full => Reason::Rejected,
            Outcome::Miss => Reason::NotLoaded,
            Outcome::Ok | Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                return None
            }
        };
        Some(NeverRan { reason })
    }

    /// The reason in words, for logs.
    pub fn description(&self) -> &'static str {
        match self.reason {
            Reason::NeverSent => "it was never sent",
            Reason::NoConnection => "no connection was made",
            Reason::Rejected => "the runner rejected it before it ran",
            Reason::NotLoaded => "the runner had not loaded the function",
        }
    }
}
