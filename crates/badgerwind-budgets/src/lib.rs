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
    /// A lessee goes on using granted units after its lease has expired.
    SpendsAfterLease,
    /// A lease is counted from the receipt of the grant and not from the request.
    LeaseFromReceipt,
    /// A lessee accepts a grant whatever request it answers.
    AcceptsAnyGrant,
    /// A lessee's requests do not report the units that it holds.
    HidesHoldings,
    /// A restarted lessee spends its floor without waiting for the cooldown.
    RestartSpendsFloor,
    /// Votes of earlier rounds are counted.
    CountsOldVotes,
    /// Votes do not expire.
    VotesNeverEnd,
    /// Half of the votes count as a majority.
    HalfIsMajority,
    /// A new coordinator does not wait until earlier grants must have expired.
    NewCoordinatorGrantsAtOnce,
    /// Requests that arrive out of order are accepted.
    AcceptsStaleRequests,
    /// Units change owner without a cooldown.
    NoCooldown,
    /// Times are not lengthened for clock drift.
    IgnoresDrift,
    /// A unit is granted to another member while its lease is still valid.
    ForgetsLease,
    /// Units are granted again whether or not they are free.
    GrantsTwice,
    /// A restarted voter votes at once, although an earlier promise may still be valid.
    VoterForgetsPromise,
    /// A unit that a lessee reports as no longer held counts as free, whatever an earlier coordinator
    /// granted.
    ForgetsUnknownOwners,
}
