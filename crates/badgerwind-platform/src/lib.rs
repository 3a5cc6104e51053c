//! The platform's protocol without I/O: bytes in, values out. FastCGI records and a client connection's state
//! ([`fcgi`], [`client`]), what a request says ([`fields`]), executor lines and a connection's state ([`line`],
//! [`link`]), the way to an executor ([`reach`]), the notice board ([`board`]), the configuration ([`config`]) and how limits are shared out ([`shares`]).

#![warn(missing_docs)]

pub mod board;
pub mod client;
pub mod config;
pub mod fcgi;
pub mod fields;
pub mod line;
pub mod link;
pub mod reach;
pub mod shares;
