//! How current a front end's knowledge of the executors is, and how it checks executors itself while service
//! discovery is unreachable.
//!
//! Service discovery sends changes only, so that its silence looks the same as "nothing has changed".
//! Therefore the list of executors expires at a deadline that follows from when discovery last confirmed it
//! ([`source`]). Once the list is stale, an executor gets new work only if it has confirmed itself that it
//! accepts work: an answer which shows that it accepted work at a known time is valid for the grace period of
//! the drain rule ([`confirmation`]). No I/O and no clock: times are passed in as arguments, in microseconds
//! of one monotonic clock.

#![forbid(unsafe_code)]

pub mod confirmation;
pub mod counters;
mod record;
pub mod source;

pub use confirmation::{Change, Evidence, Freshness, FreshnessSettings, Permit};
