//! Outgoing TCP connections of every client in the workspace.
//!
//! Where nobody listens at an address of this machine, the system may choose that very port as the connection's own end. TCP
//! then joins the socket to itself (simultaneous open, RFC 9293 section 3.5): the client reads back what it writes, and holds
//! the port of the server that it waits for, which can't listen until the connection and its TIME-WAIT are over.

use rustix::net::sockopt::set_socket_linger;
use smol::Async;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Connects to a server. A connection that has reached itself is ended without a TIME-WAIT, so that the port is free again,
/// and reported as [`ErrorKind::ConnectionRefused`], since nobody listens there.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    if !is_self_connected(stream.get_ref(), address) {
        return Ok(stream);
    }
    set_socket_linger(&stream, Some(Duration::ZERO))?;
    Err(io::Error::new(ErrorKind::ConnectionRefused, "nobody listens there: the connection reached itself"))
}

fn is_self_connected(stream: &TcpStream, address: SocketAddr) -> bool {
    stream.local_addr().is_ok_and(|own| own == address)
}
