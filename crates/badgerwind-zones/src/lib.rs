//! What a fleet knows together of a zone, when it leaves it, and how it returns. No I/O; time and chance come in as
//! arguments. Why it is built so: `docs/design/zones.md`.
//!
//! [`Evidence`] is what one front end saw on its own sockets. Front ends tell it to a few of them, the voters; a [`Joiner`] there
//! joins what it was told, with a bound on what any one front end's word counts, and says so to whoever told. A front end
//! takes the median of what voters say and moves by [`Stages`]. [`Node`] puts them together.

#![warn(missing_docs)]

mod evidence;
mod join;
mod message;
mod node;
mod stages;
mod terms;

pub use evidence::{Evidence, Sign, Sketch};
pub use join::{Joined, Joiner};
pub use message::{Message, ZoneDigest, ZoneTell, MOST, ZONES};
pub use node::{Node, Why};
pub use stages::{Belief, Stage, Stages, Word};
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
pub enum Flaw {
    /// However little is left.
    NoPanicBound,
    /// A front end's word counts as much as it says.
    UnboundedWord,
    /// The loudest word is not left out.
    NoTrim,
    /// One front end's stage is taken over by all.
    LoneStage,
    /// The newest stage is not told to those that missed it.
    NoGeneration,
    /// All of a zone at once on its first sign of life.
    ReturnAtOnce,
    /// It returns as soon as anything is heard, however often that was wrong.
    NoBackOff,
    /// Calls count, not executors: one bad executor with many calls is a bad zone.
    CountsCalls,
    /// Every member probes.
    AllProbe,
    /// One that hears nobody of any zone takes that for the zones' fault.
    TrustsOwnNetwork,
}
