//! Versioned configuration: the front end's state machine for offered versions, the stored form that survives
//! a restart, the replay of recorded calls that tries a change without effects, and the rollout in waves by
//! the control service. The crate does no I/O; time and random numbers are arguments.
//!
//! The exchange is the state-of-the-world variant of the xDS transport in its JSON mapping, with long polling
//! (`docs/protocols/config-stream.md`).

#![warn(missing_docs)]

pub mod client;
pub mod order_limit;
pub mod parts;
pub mod shadow;
pub mod storage;
pub mod waves;
pub mod wire;

pub use client::{Action, Client, Input, Report};
pub use parts::{Kind, Part};
