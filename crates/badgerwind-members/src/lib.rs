//! Membership: each front end's view of the others, after SWIM (Das, Gupta and Motivala, DSN 2002) and Lifeguard (Dadgar,
//! Phillips and Currey, 2017). No I/O; time and chance come in as arguments.
//!
//! A view is never proof, and safety must not depend on it: a wrong view makes things slower or smaller, no more.

#![warn(missing_docs)]

mod members;
mod message;
mod terms;

pub use members::{Members, PeerRecord, State};
pub use message::{Kind, Message, Update, MAX_BYTES, MAX_UPDATES};
pub use terms::Terms;

/// A point in time on one member's own clock, in microseconds.
pub type Time = u64;
/// A length of time, in microseconds.
pub type Span = u64;
/// A front end's number, as the settings have it.
pub type Member = u16;
/// One run of a member's process: a later run has a greater incarnation.
pub type Incarnation = u64;

/// Defects that the tests put in on purpose, to show that each is found.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A member never refutes a suspicion of itself.
    NeverRefutes,
    /// A member that does not answer is declared dead at once.
    NoSuspicion,
    /// Stale updates overwrite newer ones.
    AcceptsStaleUpdates,
    /// Dead members are never probed again.
    NeverProbesDead,
    /// A fault of the member itself is always taken for the fault of others.
    NoLocalHealth,
    /// No other member is asked to probe.
    NoIndirectProbes,
}
