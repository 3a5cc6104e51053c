//! HTTP/1.1 (RFC 9110, RFC 9112) for the gateway and its stand-ins, on smol. Heads are parsed by httparse.
//! Ambiguous messages are rejected, so that the parties along a path cannot disagree about where a message
//! ends (request smuggling).
//!
//! - [`head`], [`body`]: parsing of heads and bodies; no I/O.
//! - [`server`]: one connection of a client, whose requests are answered in order.
//! - [`client`]: a bounded pool of connections to one server.
//! - [`tls`]: TLS for both sides.

pub mod body;
pub mod client;
pub mod head;
pub mod server;
pub mod tls;

pub use body::{Body, BodyError};
pub use client::{Exchange, ExchangeError, Pool, PoolLimits};
pub use head::{Framing, HeadError, RequestHead, ResponseHead};
pub use server::{Conn, Limits, Response, ServeError};
pub use tls::{ClientTls, Identity, ServerTls, Stream, TlsError};
