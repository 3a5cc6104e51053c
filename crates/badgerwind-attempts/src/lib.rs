//! Attempts of calls that must not run twice, with several front ends that may restart. The crate does no
//! I/O.
//!
//! A front end knows only the results of its own attempts. If it crashes, no process knows how they ended:
//! another front end, to which the sender repeats the call, must not run it while or after such an attempt
//! may have run. The front ends do not have to agree; instead the runners of a group share a ledger, as they
//! see every attempt.
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
