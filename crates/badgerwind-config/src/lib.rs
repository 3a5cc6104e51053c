//! Configuration in numbered versions: what a front end makes of each offer, what it stores over a restart, how a
//! change is tried without effects first, and how a control service lets one out in waves. No I/O; time and chance
//! come in as arguments.
//!
//! The exchange is the state-of-the-world variant of the xDS transport in its JSON mapping, long-polled
//! (`docs/protocols/config-stream.md`).

pub mod client;
pub mod order_limit;
pub mod parts;
pub mod shadow;
pub mod storage;
pub mod waves;
pub mod wire;

pub use client::{Client, Do, Input, Report};
pub use parts::{Kind, Part};
