//! Whether a message's signature is worth checking: budgets for failed checks, so that a flood of forgeries costs a
//! front end a bounded part of its time, and costs senders that can sign nothing.
//!
//! No I/O, no clock: time comes in as microseconds of a monotonic clock. What is known here dies with its process;
//! a new life begins with whole budgets, which costs at most one more burst of checks.
//!
//! - A **source** (an address, see [`Source`]) has a budget of its own. Spent, its messages are turned away unread.
//! - A **sender** (whose name anyone can claim by posting to its path) has a budget for **strangers**: sources that
//!   have signed nothing for it of late. Spent, strangers are turned away and those known go on, so that nobody can
//!   shut a sender out by forging its messages.
//!
//! A stranger's check is paid before it is made and given back where the signature was good, so that many forgeries
//! at once spend no more than the budget. One who is known pays after a check that failed.

mod bucket;
mod guard;
mod source;

pub use bucket::Budget;
pub use guard::{Bounds, Guard, Permit, Turned, Who};
pub use source::{forwarded, Source};

/// Microseconds of a monotonic clock.
pub type Time = u64;
