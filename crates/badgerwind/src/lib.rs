#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod choose;
mod dispatch;
mod events;
mod homes;
pub mod interface;
mod learn;
mod memory;
mod message;
mod orders;
mod router;
mod shares;
mod state;
mod sweep;

pub use router::Router;
