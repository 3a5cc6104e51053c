//! Membership: each front end's view of the others, after SWIM (Das, Gupta and Motivala, DSN 2002) and
//! Lifeguard (Dadgar, Phillips and Currey, 2017). No I/O; time and random numbers are passed in as arguments.
//!
//! A view may be wrong, so safety must not depend on it: a wrong view may only delay work or reduce what is
//! used.

#![warn(missing_docs)]

mod members;
mod message;
mod settings;

pub use members::{Members, PeerRecord, State};
pub use message::{Kind, Message, Update, MAX_BYTES, MAX_UPDATES};
pub use settings::DetectionSettings;

/// A point in time on one member's own clock, in microseconds.
pub type Time = u64;
/// A duration, in microseconds.
pub type Micros = u64;
/// A front end's number in the settings.
pub type Member = u16;
/// One run of a member's process: a later run has a greater incarnation.
pub type Incarnation = u64;

/// Defects that tests inject to show that each is detected.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A member never refutes a suspicion of itself.
    NeverRefutes,
    /// A member that does not answer a probe is declared dead at once.
    NoSuspicion,
    /// Stale updates overwrite newer ones.
    AcceptsStaleUpdates,
    /// Dead members are never probed again.
    NeverProbesDead,
    /// A member never considers that a missed answer may be due to a fault of its own.
    NoLocalHealth,
    /// No other member is asked to probe.
    NoIndirectProbes,
}
