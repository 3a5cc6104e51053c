//! How old the knowledge of the executors is. Service discovery tells changes only, so that its silence looks like "nothing
//! changed"; here the list is worth something until a deadline that follows from when discovery last vouched for it
//! ([`source`]). No I/O, no clock: times come in as arguments, in microseconds of one monotonic clock.

#![forbid(unsafe_code)]

pub mod counters;
pub mod source;
