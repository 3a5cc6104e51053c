//! Addresses that are kept for a server that starts later, perhaps as another process and more than once.

use rustix::net::{bind, getsockname, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU16, Ordering};

/// A TCP port of the loopback address which the system gives to nobody else while this lives: neither to a socket that asks
/// for any port, nor to a connection as its own end. A server that names it can listen there, since both sockets allow the
/// address to be reused and this one never listens; until then connections to it are refused.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: OwnedFd,
}

impl ReservedPort {
    /// Reserves a free port.
    pub fn reserve() -> io::Result<ReservedPort> {
        let socket = socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = getsockname(&socket)?;
        let address = SocketAddr::try_from(address)?;
        Ok(ReservedPort { address, _socket: socket })
    }

    /// Listens there in this process.
    pub fn listen(&self) -> io::Result<TcpListener> {
        TcpListener::bind(self.address)
    }

    /// Where the server is to listen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// The first port of [`unused_address`].
const FIRST_PORT: u16 = 10_000;

/// An address where nobody listens and which nobody else is given: the IP address belongs to this process alone among those
/// that use this function, and each call gives another port. For UDP, where no second socket can hold the port meanwhile.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    // Process numbers have 22 bits; the second byte is 192 at the least, far from the usual loopback address.
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 192 | high, middle, low);
    SocketAddr::from((address, NEXT.fetch_add(1, Ordering::Relaxed)))
}
