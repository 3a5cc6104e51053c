//! A flood of connections on which nothing is sent, up to a limit. Each thread keeps a window of connections
//! open and opens another one as soon as the peer has closed the oldest, so that the rate follows from what
//! the peer accepts, not from time.

use rustix::net::sockopt::set_socket_linger;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of threads that connect.
const THREADS: usize = 4;
/// Window of each thread; all windows together do not fill the peer's listen queue.
const CONNECTIONS_EACH: usize = 64;
/// Longest wait before a thread checks whether the flood has ended.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A flood of connections; it ends when dropped.
pub struct ConnectFlood {
    max_connections: usize,
    made: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ConnectFlood {
    /// Starts a flood of at most `max_connections` connections.
    pub fn start(to: SocketAddr, max_connections: usize) -> ConnectFlood {
        let (made, ended) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let connect = |_| {
            let (made, ended) = (made.clone(), ended.clone());
            std::thread::spawn(move || connect_without_pause(to, max_connections, &made, &ended))
        };
        let threads = (0..THREADS).map(connect).collect();
        ConnectFlood { max_connections, made, ended, threads }
    }

    /// Connections made so far.
    pub fn made(&self) -> usize {
        self.made.load(Ordering::Relaxed)
    }

    /// Whether it has not reached its limit.
    pub fn is_below_limit(&self) -> bool {
        self.made() < self.max_connections
    }
}

impl Drop for ConnectFlood {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join(); // the thread only connects
        }
    }
}

fn connect_without_pause(to: SocketAddr, max_connections: usize, made: &AtomicUsize, ended: &AtomicBool) {
    let mut open = VecDeque::new();
    while !ended.load(Ordering::Relaxed) {
        if open.len() >= CONNECTIONS_EACH {
            if open.front_mut().is_some_and(closed_by_peer) {
                open.pop_front();
            }
            continue;
        }
        // Not counted: nobody listens.
        let Ok(stream) = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT) else {
            std::thread::yield_now();
            continue;
        };
        // Closes by a reset, which leaves no port in TIME_WAIT.
        let _ =
            (set_socket_linger(&stream, Some(Duration::ZERO)), stream.set_read_timeout(Some(READ_TIMEOUT)));
        open.push_back(stream);
        if made.fetch_add(1, Ordering::Relaxed) >= max_connections {
            return;
        }
    }
}

/// Whether the peer has closed a connection.
fn closed_by_peer(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0u8; 64]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted),
    }
}
