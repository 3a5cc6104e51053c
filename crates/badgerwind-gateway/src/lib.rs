//! The gateway daemon. Fronts implement a protocol; the engine runs the driver and carries out its outputs;
//! clients talk to runners, the list service and other front ends. Where a call goes and whether it is
//! retried is decided by the decision module, not here.

#![warn(missing_docs)]

mod answers;
mod answers_due;
mod callbacks;
#[doc(hidden)] // public for the engine's tests
pub mod clock;
pub mod control;
mod dispatch;
#[doc(hidden)] // public for its tests
pub mod engine;
mod evidence;
pub mod fleet;
mod front;
mod list;
mod log_limit;
pub mod logging;
mod metrics;
mod peers;
mod platform;
mod runners;
pub mod secrets;
mod serve;
mod shares;
mod trace;
mod zones;

pub use answers::{retention, Retention};
pub use platform::{serve_platform, PlatformError, PlatformOptions};
pub use serve::{serve, Options, Running, ServeError, SettingsReader, Stopped};
