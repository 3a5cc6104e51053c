//! The register: one log, replicated among a few voters and followed by all members. It records which
//! incarnation of a member has ended, and orders the members' announcements, each exactly once and in the
//! same order for everyone. Applications are state machines ([`StateMachine`]) driven by the log. The crate
//! does no I/O: the current time is an argument (each member's own clock), randomness comes from a seed.
//!
//! Consensus is provided by the `raft` library; only `voter.rs`, `storage.rs` and `wire.rs` depend on it.
//! `docs/design/register.md` shows why no effect of an incarnation happens after its end was written.

#![warn(missing_docs)]

mod leases;
mod ledger;
mod memory;
mod message;
mod node;
mod record;
mod session;
mod settings;
mod storage;
mod voter;
mod wire;

pub use ledger::{Event, Ledger, MemberState, StateMachine};
pub use memory::MemoryDisk;
pub use message::Message;
pub use node::{Input, Node, Output, Setup, View};
pub use record::{Record, VERSION};
pub use session::AnnounceError;
pub use settings::{Incarnation, Index, Member, Micros, Settings, SettingsError, Time};
pub use storage::{VoterStorage, VoterStorageError, Write};

/// Defects that the tests inject to show that each of them is detected.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A leader grants renewals without a proof that it is still the leader.
    GrantsWithoutProof,
    /// A new leader ends incarnations at once, although the last leader may have renewed them.
    NewLeaderEndsAtOnce,
    /// A member counts its lease from the receipt of the answer and not from its request.
    LeaseFromReceipt,
    /// Leases are not lengthened for clock drift.
    IgnoresDrift,
    /// A leader renews an incarnation whose end it has proposed.
    GrantsWhileEnding,
    /// Announcements of ended incarnations are accepted.
    AcceptsFromEndedIncarnation,
    /// An announcement is accepted more than once.
    AcceptsDuplicates,
    /// An announcement is accepted although earlier ones are missing.
    AcceptsGaps,
    /// A member's new incarnation begins before its last one has ended.
    JoinsWhileLive,
    /// A voter restarts without what it wrote to its disk.
    VoterLosesState,
}
