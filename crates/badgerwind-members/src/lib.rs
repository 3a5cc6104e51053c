//! Who is there: each front end's view of the others, after SWIM (Das, Gupta and Motivala, DSN 2002) and Lifeguard (Dadgar,
//! Phillips and Currey, 2017). No I/O; time and chance come in as arguments.
//!
//! A view is never proof. Nothing that must be safe may rest on it: a wrong one makes things slower or smaller, no more.

#![warn(missing_docs)]

mod members;
mod message;
mod terms;

pub use members::{Members, Seen, State};
pub use message::{Kind, Message, Update, MOST, UPDATES};
pub use terms::Terms;

/// A point in time on one member's own clock, in microseconds.
pub type Time = u64;
/// A length of time, in microseconds.
pub type Span = u64;
/// A front end's number, as the settings have it.
pub type Member = u16;
/// A member's life, told from its earlier ones: a later one is greater.
pub type Life = u64;

/// Defects that the tests put in on purpose, to show that each is found.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// It never says that it lives when it hears that it does not.
    NeverRefutes,
    /// A suspect is dead at once.
    NoSuspicion,
    /// Old news counts as much as new.
    TakesOldNews,
    /// The dead are never asked again.
    DropsTheDead,
    /// Its own trouble is always another's.
    AlwaysSure,
    /// Nobody else is asked to ask.
    AsksNobodyElse,
}
