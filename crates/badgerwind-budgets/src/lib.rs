//! Budgets of a fleet: one limit, divided among the front ends that are there. Every unit has at most one owner at any
//! instant, whatever dies, pauses, restarts or is cut off. No I/O; time comes in as an argument, each member's own.
//!
//! A [`Lessee`] owns units and spends them, a [`Voter`] promises its vote, a [`Coordinator`] that has most votes says who owns
//! what. All three run in every front end, put together by [`Node`]. Why no unit has two owners: `docs/design/fleet-budgets.md`.

#![warn(missing_docs)]

mod coordinator;
pub mod demand;
pub mod divide;
mod election;
mod lessee;
mod message;
mod node;
mod terms;
mod units;
mod voter;

pub use coordinator::{Coordinator, Standing};
pub use demand::Demand;
pub use election::Election;
pub use lessee::Lessee;
pub use message::{Message, MOST, RANGES};
pub use node::{Node, To};
pub use terms::{BadTerms, Book, Incarnation, Limit, Member, Span, Terms, Time};
pub use units::{Unit, Units};
pub use voter::Voter;

/// Defects that the tests put in on purpose, to show that each is found.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    SpendsAfterLease,
    LeaseFromReceipt,
    TakesAnyGrant,
    HidesHoldings,
    RestartSpendsFloor,
    CountsOldVotes,
    VotesNeverEnd,
    HalfIsEnough,
    NewCoordinatorGivesAtOnce,
    TakesOldAsks,
    NoRest,
    IgnoresDrift,
    ForgetsLease,
    GivesTwice,
    VoterForgetsItsPromise,
    ForgetsTheUnknown,
}
