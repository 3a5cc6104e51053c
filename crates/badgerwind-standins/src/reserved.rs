//! Reserved addresses for servers that start later, possibly in another process and more than once.

use rustix::net::{bind, getsockname, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU16, Ordering};

/// A TCP port of the loopback address that the system assigns to nobody else while this value exists: neither
/// to a socket that binds any free port, nor to an outgoing connection. A server can still listen on it
/// explicitly, since both sockets set `SO_REUSEADDR` and this one never listens. Until then connections to it
/// are refused.
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

    /// Listens on the port in this process.
    pub fn listen(&self) -> io::Result<TcpListener> {
        TcpListener::bind(self.address)
    }

    /// The reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// The first port of [`unused_address`].
const FIRST_PORT: u16 = 10_000;

/// Returns an address that is not in use: the IP address is unique to this process among those that use this
/// function, and each call returns another port. For UDP, where no second socket can reserve the port, and for
/// servers that do not exist.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    // Process ids have 22 bits; the second byte is at least 192, far from the usual loopback address.
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 192 | high, middle, low);
    SocketAddr::from((address, NEXT.fetch_add(1, Ordering::Relaxed)))
}
