//! A listener whose backlog is full, so that the system does not answer further connection attempts, as with
//! a machine that is unreachable or overloaded.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Largest number of connections that may be needed to fill the backlog.
const MAX_FILLERS: usize = 16;
/// Time after which a connect counts as unanswered; on loopback an accepted one succeeds at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A listener with a full backlog.
pub struct FullBacklog {
    /// The address of the listener.
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    /// Listens on a free port and fills the backlog.
    pub fn start() -> io::Result<FullBacklog> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        rustix::net::listen(&listener, 0)?;
        let address = listener.local_addr()?;
        let mut fillers = Vec::new();
        while fillers.len() < MAX_FILLERS {
            match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                Ok(stream) => fillers.push(stream),
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    return Ok(FullBacklog { address, listener, fillers })
                }
                Err(e) => return Err(e),
            }
        }
        Err(io::Error::other("the backlog does not fill"))
    }

    /// Number of pending connection attempts.
    pub fn connecting(&self) -> usize {
        connecting(self.address)
    }

    /// The local ports of the pending connection attempts.
    pub fn pending_ports(&self) -> Vec<u16> {
        ports_to(self.address, SYN_SENT)
    }

    /// Empties the backlog and returns the listener: the next connection attempt succeeds.
    pub fn drain(self) -> io::Result<TcpListener> {
        for _ in &self.fillers {
            self.listener.accept()?;
        }
        rustix::net::listen(&self.listener, 128)?;
        Ok(self.listener)
    }
}

/// Number of pending connection attempts to an address.
pub fn connecting(at: SocketAddr) -> usize {
    ports_to(at, SYN_SENT).len()
}

/// The local ports of established connections to an address.
pub fn established_ports(at: SocketAddr) -> Vec<u16> {
    ports_to(at, ESTABLISHED)
}

// Connection states of `/proc/net/tcp`.
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
