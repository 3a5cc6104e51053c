//! The register: one replicated log among a few voters, followed by all members. It says which incarnation of a member has ended, and
//! holds what members said, each thing once and in one order for all. What is built on it is a state machine ([`Part`])
//! fed by the log. No I/O; time comes in as an argument, each member's own; chance by a seed.
//!
//! Consensus is an existing library's (`raft`); nothing outside `voter.rs`, `storage.rs` and `wire.rs` knows which. Why no effect of a
//! incarnation comes after its end was written: `docs/design/register.md`.

#![warn(missing_docs)]

mod leases;
mod ledger;
mod memory;
mod message;
mod node;
mod record;
mod seat;
mod storage;
mod terms;
mod voter;
mod wire;

pub use ledger::{Event, Ledger, Part, Standing};
pub use memory::MemoryDisk;
pub use message::Message;
pub use node::{Input, Node, Output, Setup};
pub use record::{Record, VERSION};
pub use seat::Refused;
pub use storage::{VoterStorage, VoterStorageError, Write};
pub use terms::{BadTerms, Incarnation, Index, Member, Span, Terms, Time};

/// Defects that the tests put in on purpose, to show that each is found.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    GrantsWithoutProof,
    NewLeaderEndsAtOnce,
    LeaseFromReceipt,
    IgnoresDrift,
    GrantsWhatItEnds,
    TakesWordsOfTheDead,
    TakesWordsTwice,
    TakesGaps,
    JoinsBesideTheLiving,
    VoterForgets,
}
