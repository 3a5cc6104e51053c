//! A simulation of the configuration stream: hollow front ends and control services, connected by a simulated
//! network. Both sides run the real state machines (`badgerwind_config::Client`,
//! `badgerwind_config::waves::Waves`) and exchange the real messages. The slow operations of a front end
//! (replay, disk writes, replacement of the router) take constant simulated time.

mod front_end;
mod network;
mod service;
pub mod settings;
mod simulation;

use crate::rows::network::SECOND;

pub use front_end::{Applied, Durations, FrontEndMutant, DEFAULT_TIMING};
pub use network::{request_bytes, response_bytes, Network};
pub use service::{Service, ServiceLoad, ServiceMutant};
pub use simulation::{Scenario, Simulation};

/// Time by which all front ends have started and their requests are open.
pub const STARTUP_TIME: u64 = 3 * SECOND;

/// Rate of published versions at the planned size: 31,000 a day.
pub const VERSIONS_PER_SECOND: f64 = 31_000.0 / 86_400.0;

/// Number of front ends of each of the 35 control services of the planned size.
pub const FRONT_ENDS_PER_SERVICE: u64 = 314;
