//! What a fleet knows together of a zone, when it leaves it, and how it returns. No I/O; time and chance come in as
//! arguments. Why it is built so: `docs/design/zones.md`.
//!
//! [`Evidence`] is what one front end saw on its own sockets. Front ends report it to a few of them, the voters; an [`Aggregator`]
//! there joins the reports, with a bound on any one front end's contribution, and answers with a digest. A front end
//! takes the median of what voters say and moves by [`Stages`]. [`Node`] puts them together.

#![warn(missing_docs)]

mod evidence;
mod join;
mod message;
mod node;
mod stages;
mod terms;

pub use evidence::{Evidence, Observation, Sketch};
pub use join::{Aggregate, Aggregator};
pub use message::{Message, ZoneDigest, ZoneReport, MAX_BYTES, MAX_ZONES};
pub use node::{Cause, Node};
pub use stages::{Belief, Directive, Stage, Stages};
pub use terms::Terms;

/// A point in time on one member's own clock, in microseconds.
pub type Time = u64;
/// A length of time, in microseconds.
pub type Span = u64;
/// A front end's number, as the settings have it.
pub type Member = u16;
/// An executor's id, as the list has it.
pub type Executor = u32;

/// Defects that the tests put in on purpose, to show that each is found.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// However little is left.
    NoPanicBound,
    /// A front end's contribution has no bound.
    UnboundedContribution,
    /// The greatest contribution is not trimmed.
    NoTrim,
    /// One front end's stage is taken over by all.
    LoneStage,
    /// The newest stage is not passed on to those that missed it.
    NoGeneration,
    /// All of a zone at once on its first sign of life.
    ReturnAtOnce,
    /// It returns as soon as anything is heard, however often that was wrong.
    NoBackoff,
    /// Calls count, not executors: one bad executor with many calls is a bad zone.
    CountsCalls,
    /// Every member probes.
    AllProbe,
    /// One that hears nobody of any zone takes that for the zones' fault.
    TrustsOwnNetwork,
}
