#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod dispatch;
mod eligibility;
mod events;
mod feedback;
mod held;
pub mod interface;
mod load_orders;
mod maintenance;
mod message;
mod recency;
mod records;
mod router;
mod router_state;
mod selection;
mod shares;

pub use router::Router;
