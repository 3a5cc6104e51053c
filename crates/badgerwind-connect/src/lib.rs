//! Outgoing TCP connections for every client in the workspace.
//!
//! If no server listens on a port of the local machine, the system may choose that port as the local port of
//! the connection. TCP then connects the socket to itself (simultaneous open, RFC 9293 section 3.5): the
//! client reads back what it writes, and occupies the port of the server that it waits for, which cannot
//! listen until the connection and its TIME-WAIT have ended.

use rustix::net::sockopt::set_socket_linger;
use smol::Async;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Connects to a server. A self-connection is closed without TIME-WAIT, so that the port is free again, and
/// reported as [`ErrorKind::ConnectionRefused`], since no server listens there.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    if !is_self_connected(stream.get_ref(), address) {
        return Ok(stream);
    }
    set_socket_linger(&stream, Some(Duration::ZERO))?;
    Err(io::Error::new(
        ErrorKind::ConnectionRefused,
        "no server listens on the port: the connection reached itself",
    ))
}

fn is_self_connected(stream: &TcpStream, address: SocketAddr) -> bool {
    stream.local_addr().is_ok_and(|local| local == address)
}
