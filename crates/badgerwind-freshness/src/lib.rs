//! How old the knowledge of the executors is, and what stands in for service discovery while it is out of reach.
//!
//! Discovery tells changes only, so that its silence looks like "nothing changed". Here the list is worth something until a
//! deadline that follows from when discovery last vouched for it ([`source`]). Past it, an executor takes new work only by
//! its own word: an answer which shows that it took work at a known moment is worth as much as the grace of the drain rule
//! ([`confirmation`]). No I/O, no clock: times come in as arguments, in microseconds of one monotonic clock.

#![forbid(unsafe_code)]

pub mod confirmation;
pub mod counters;
mod record;
pub mod source;

pub use confirmation::{Change, Evidence, Freshness, Permit, Terms};
