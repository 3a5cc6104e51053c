//! Decides whether a message's signature is worth checking. Budgets for failed checks bound the time that a
//! front end spends on a flood of forged messages, without affecting senders whose signatures are valid.
//!
//! The crate does no I/O and has no clock; times are microseconds of a monotonic clock. The state is not
//! persistent: after a restart all budgets are full, which costs at most one more burst of checks.
//!
//! - Each **source** (an address, see [`Source`]) has its own budget. Once it is spent, the source's
//!   messages are rejected unread.
//! - Each **sender** (anyone can claim its name by posting to its path) has a budget for **unknown sources**:
//!   those that have not sent a valid signature for it recently. Once it is spent, unknown sources are
//!   rejected and known ones continue, so that nobody can lock a sender out by forging its messages.
//!
//! An unknown source pays for a check before it is made, and is refunded if the signature is valid.
//! Therefore even many concurrent forgeries spend no more than the budget. A known source pays after a check
//! that failed.

mod bucket;
mod guard;
mod source;

pub use bucket::Budget;
pub use guard::{Claimant, Guard, Limits, Permit, Rejection};
pub use source::{forwarded_address, Source};

/// Microseconds of a monotonic clock.
pub type Time = u64;
