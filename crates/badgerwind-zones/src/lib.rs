//! Shared detection of lost zones: when a fleet leaves a zone, and how it returns. The crate does no I/O;
//! time and randomness are arguments. `docs/design/zones.md` explains the design.
//!
//! [`Evidence`] is what one front end observed on its own sockets. Front ends report it to a few members, the
//! voters. There an [`Aggregator`] combines the reports, with a bound on each front end's contribution, and
//! answers with a digest. A front end takes the median of the voters' digests and changes the zones' stages
//! accordingly ([`Stages`]). [`Node`] combines these parts.

#![warn(missing_docs)]

mod aggregate;
mod evidence;
mod message;
mod node;
mod settings;
mod stages;

pub use aggregate::{Aggregate, Aggregator};
pub use evidence::{Evidence, Observation, ObservedCounts};
pub use message::{Message, ZoneDigest, ZoneReport, MAX_BYTES, MAX_ZONES};
pub use node::{Cause, FleetEvidence, Node};
pub use settings::Settings;
pub use stages::{Assessment, Directive, Stage, Stages, ZoneState};

/// A point in time on one member's own clock, in microseconds.
pub type Time = u64;
/// A duration, in microseconds.
pub type Micros = u64;
/// A front end's number, as given in the settings.
pub type Member = u16;
/// An executor's id, as given by service discovery.
pub type Executor = u32;

/// Defects that the tests inject to show that each of them is detected.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Zones are left however little remains.
    NoPanicBound,
    /// A front end's contribution has no bound.
    UnboundedContribution,
    /// The most extreme contributions are not trimmed.
    NoTrim,
    /// All front ends adopt the stage of a single one.
    LoneStage,
    /// Front ends that missed a change of stage do not adopt it later.
    NoGeneration,
    /// A zone is used completely at its first sign of life.
    ReturnAtOnce,
    /// The delay before a return does not grow with failed returns.
    NoBackoff,
    /// Losses are counted by calls and not by executors: one bad executor with many calls makes a bad zone.
    CountsCalls,
    /// Every member probes.
    AllProbe,
    /// A front end that hears from no zone takes that for a fault of the zones and not of its own network.
    TrustsOwnNetwork,
}
