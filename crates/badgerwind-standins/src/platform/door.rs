//! An address where connections do not come up until it is opened: the system's queue of connections is full, so that it
//! leaves each further one without a word, as a machine does that has vanished or is swamped.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The most that may have to be put into the queue until it is full.
const FILLS: usize = 16;
/// On loopback a connection that comes up does so at once.
const AT_ONCE: Duration = Duration::from_millis(300);

/// A shut door.
pub struct Door {
    /// Where it is.
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl Door {
    /// Shuts one on a free port.
    pub fn shut() -> io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        rustix::net::listen(&listener, 0)?;
        let address = listener.local_addr()?;
        let mut fillers = Vec::new();
        while fillers.len() < FILLS {
            match TcpStream::connect_timeout(&address, AT_ONCE) {
                Ok(stream) => fillers.push(stream),
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    return Ok(Door { address, listener, fillers })
                }
                Err(e) => return Err(e),
            }
        }
        Err(io::Error::other("the queue of connections does not fill"))
    }

    /// Connections that knock there.
    pub fn knocking(&self) -> usize {
        knocking(self.address)
    }

    /// The local ports of these connections.
    pub fn pending_ports(&self) -> Vec<u16> {
        ports_to(self.address, SYN_SENT)
    }

    /// Opens it: the next knock is heard. What had filled the queue is gone.
    pub fn open(self) -> io::Result<TcpListener> {
        for _ in &self.fillers {
            self.listener.accept()?;
        }
        rustix::net::listen(&self.listener, 128)?;
        Ok(self.listener)
    }
}

/// Connections that knock at an address.
pub fn knocking(at: SocketAddr) -> usize {
    ports_to(at, SYN_SENT).len()
}

/// The local ports of established connections to an address.
pub fn established_ports(at: SocketAddr) -> Vec<u16> {
    ports_to(at, ESTABLISHED)
}

/// States of `/proc/net/tcp`.
const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";

/// The local ports of connections to an address that are in this state.
fn ports_to(at: SocketAddr, state: &str) -> Vec<u16> {
    let text = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = |word: &str| u16::from_str_radix(word.rsplit(':').next()?, 16).ok();
    let local_port = |line: &str| {
        let mut words = line.split_whitespace().skip(1);
        let (local, remote, is) = (words.next()?, words.next()?, words.next()?);
        (port(remote) == Some(at.port()) && is == state).then(|| port(local))?
    };
    text.lines().filter_map(local_port).collect()
}
