//! The daemon. Fronts know a protocol and nothing of routing; the engine owns the driver and carries out what it
//! asks for; the clients of runners, list and peers move bytes. Nothing here decides where a call goes or whether
//! it is tried again.

#![warn(missing_docs)]

mod answers;
mod answers_due;
mod callbacks;
#[doc(hidden)] // the engine's
pub mod clock;
pub mod control;
mod dispatch;
#[doc(hidden)] // for its own tests
pub mod engine;
pub mod fleet;
mod front;
mod known;
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

pub use answers::{remembers, Kept};
pub use platform::{serve_platform, PlatformError, PlatformOptions};
pub use serve::{serve, Options, Reread, Running, ServeError, Stopped};
