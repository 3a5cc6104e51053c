//! Attempts of calls that must not run twice, with several front ends that may restart. The crate does no
//! I/O.
//!
//! A front end knows only the results of its own attempts. When it dies, those results are lost, but its
//! attempts may still run. Another front end, to which the sender repeats the call, must not run it
//! while one of these may be running, or once one may have run. The front ends do not need to agree on this,
//! because the runners of a group, which see every attempt, share a ledger.
//!
//! - [`proof`]: what proves that an attempt never ran.
//! - [`fence`]: which of two attempts is the newer one.
//! - [`ledger`]: what a group of runners stores about each call.

pub mod fence;
pub mod ledger;
pub mod proof;

pub use fence::Fence;
pub use ledger::{Admission, Ledger};
pub use proof::NeverRan;
