//! Hollow front ends and control machines of the configuration stream over a simulated network. Both sides run the
//! real state machines (`badgerwind_config::Client`, `badgerwind_config::waves::Waves`) and the real messages; what
//! takes time at a front end (replay, disk, change of router) takes named constants of simulated time.

mod front_end;
mod network;
mod service;
pub mod settings;
mod world;

pub use front_end::{Applied, Durations, FrontEndFault};
pub use network::{request_bytes, response_bytes, Network};
pub use service::{Load, Service, ServiceFault};
pub use world::{Plan, World};

/// Versions a second on an ordinary day of the planned size: 31,000 a day.
pub const VERSIONS_A_SECOND: f64 = 31_000.0 / 86_400.0;

/// Front ends of one of the 35 control machines.
pub const FRONT_ENDS_A_MACHINE: u64 = 314;

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;
