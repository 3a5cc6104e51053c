//! HTTP/1.1 (RFC 9110, RFC 9112) for the gateway and its stand-ins, on smol. Heads are parsed by httparse; what may
//! be read in two ways is refused, so that no two parties on a path can disagree about where a message ends.
//!
//! - [`head`], [`body`]: bytes to heads and bodies; no I/O.
//! - [`server`]: one connection of a client, requests answered in order.
//! - [`client`]: connections to one server, pooled and bounded.
//! - [`tls`]: TLS under either.

pub mod body;
pub mod client;
pub mod head;
pub mod server;
pub mod tls;

pub use body::{Body, BodyError};
pub use client::{Exchange, ExchangeError, Pool, PoolBounds};
pub use head::{Framing, HeadError, RequestHead, ResponseHead};
pub use server::{Conn, Limits, Response, ServeError};
pub use tls::{ClientTls, Identity, ServerTls, Stream, TlsError};
