//! The platform's protocol without I/O: bytes in, values out.
//!
//! - Clients: FastCGI records ([`fcgi`]), the state of a client's connection ([`client`]) and the parameters
//!   of a request ([`fields`]).
//! - Executors: the lines exchanged with them ([`mod@line`]), the state of a connection ([`link`]) and when
//!   to trust or open connections ([`reach`]).
//! - Service discovery ([`discovery`]), the configuration ([`config`]) and how its limits are divided
//!   ([`shares`]).
//! - Limits: which requests may be open ([`admission`]), what buffers hold in sum ([`memory`]) and which ids
//!   must not run again ([`recent_ids`]).

#![warn(missing_docs)]

pub mod admission;
pub mod client;
pub mod config;
pub mod discovery;
pub mod fcgi;
pub mod fields;
pub mod line;
pub mod link;
pub mod memory;
mod output;
pub mod reach;
pub mod recent_ids;
pub mod shares;
mod unwritten;
