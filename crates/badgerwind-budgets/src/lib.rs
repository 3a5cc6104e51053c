//! Budgets shared by a fleet: the units of one limit are leased to the front ends that are running. Every
//! unit has at most one owner at any instant, whatever members crash, pause, restart or are partitioned. No
//! I/O; time is passed in as an argument, read from each member's own clock.
//!
//! A [`Lessee`] owns units and spends them, a [`Voter`] promises its vote, and a [`Coordinator`] that holds a
//! majority of the votes decides who owns what. All three run in every front end, combined in a [`Node`].
//! `docs/design/fleet-budgets.md` argues why no unit has two owners.

#![warn(missing_docs)]

mod coordinator;
pub mod demand;
pub mod divide;
mod election;
mod lessee;
mod message;
mod node;
mod settings;
mod units;
mod voter;

pub use coordinator::{Coordinator, UnitState};
pub use demand::Demand;
pub use election::Election;
pub use lessee::Lessee;
pub use message::{Message, MAX_MESSAGE_BYTES, MAX_RANGES};
pub use node::{Node, Recipient};
pub use settings::{Incarnation, LeaseSettings, Limit, LimitSet, Member, Micros, SettingsError, Time};
pub use units::{Unit, Units};
pub use voter::Voter;

/// Defects that tests inject to show that each is detected.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    SpendsAfterLease,
    LeaseFromReceipt,
    AcceptsAnyGrant,
    HidesHoldings,
    RestartSpendsFloor,
    CountsOldVotes,
    VotesNeverEnd,
    HalfIsMajority,
    NewCoordinatorGrantsAtOnce,
    AcceptsStaleRequests,
    NoCooldown,
    IgnoresDrift,
    ForgetsLease,
    GrantsTwice,
    VoterForgetsPromise,
    ForgetsUnknownOwners,
}
