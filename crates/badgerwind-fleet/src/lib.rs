//! The fleet's shell: what the register's state machines need of the world. A voter's disk (an embedded store), links between
//! members (Noise with the peers' key), one thread that owns the node, and the one thing that is read on a call's path: a cell
//! that says in which life this process may act now.

#![warn(missing_docs)]

mod atomics {
    pub(crate) use std::sync::atomic::{AtomicU64, Ordering};
}
pub mod cell;
pub mod disk;
pub mod link;
pub mod member;
