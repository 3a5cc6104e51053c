//! Budgets of a fleet: one whole, divided among the front ends that are there. Every unit has at most one owner at any
//! instant, whatever dies, pauses, restarts or is cut off. No I/O; time comes in as an argument, each member's own.
//!
//! A [`Holder`] owns units and spends them, a [`Voter`] promises its vote, a [`Keeper`] that has most votes says who owns
//! what. All three run in every front end, put together by [`Node`]. Why no unit has two owners: `docs/design/fleet-budgets.md`.

#![warn(missing_docs)]

mod campaign;
pub mod demand;
pub mod divide;
mod holder;
mod keeper;
mod message;
mod node;
mod terms;
mod units;
mod voter;

pub use campaign::Campaign;
pub use demand::Demand;
pub use holder::Holder;
pub use keeper::{Keeper, Standing};
pub use message::{Message, MOST, RANGES};
pub use node::{Node, To};
pub use terms::{BadTerms, Book, Life, Member, Span, Terms, Time, Whole};
pub use units::{Unit, Units};
pub use voter::Voter;

/// Defects that the tests put in on purpose, to show that each is found.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    SpendsAfterLease,
    LeaseFromReceipt,
    TakesAnyGrant,
    HidesHoldings,
    RestartSpendsFloor,
    CountsOldVotes,
    VotesNeverEnd,
    HalfIsEnough,
    NewKeeperGivesAtOnce,
    TakesOldAsks,
    NoRest,
    IgnoresDrift,
    ForgetsLease,
    GivesTwice,
    VoterForgetsItsPromise,
    ForgetsTheUnknown,
}
