//! The runtime of the register's state machines: a voter's disk (an embedded store), links between members
//! (Noise with the peers' key), one thread that owns the node, and a snapshot of the incarnation in which
//! this process may act now, which is all that a call reads.

#![warn(missing_docs)]

mod atomics {
    pub(crate) use std::sync::atomic::{AtomicU64, Ordering};
}
pub mod disk;
pub mod lease_snapshot;
pub mod link;
pub mod member;
