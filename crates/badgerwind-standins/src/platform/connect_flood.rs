//! A flood of connections on which nothing is sent, up to a bound. Each thread keeps a window of connections open and makes another
//! one as soon as the peer has closed the oldest, so that their number follows from what the peer accepts and not from time.

use rustix::net::sockopt::set_socket_linger;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Threads that connect.
const THREADS: usize = 4;
/// Window of each thread: all together they do not fill the peer's listen queue.
const CONNECTIONS_EACH: usize = 64;
/// Longest wait before a thread looks whether the flood is over.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// A connection that is not up by then is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A flood of connections; it ends when dropped.
pub struct ConnectFlood {
    most: usize,
    made: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ConnectFlood {
    /// Begins one of at most so many connections.
    pub fn begin(to: SocketAddr, most: usize) -> ConnectFlood {
        let (made, over) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let connect = |_| {
            let (made, over) = (made.clone(), over.clone());
            std::thread::spawn(move || connect_without_pause(to, most, &made, &over))
        };
        let threads = (0..THREADS).map(connect).collect();
        ConnectFlood { most, made, over, threads }
    }

    /// Connections made so far.
    pub fn made(&self) -> usize {
        self.made.load(Ordering::Relaxed)
    }

    /// Whether it has not come to its bound.
    pub fn goes_on(&self) -> bool {
        self.made() < self.most
    }
}

impl Drop for ConnectFlood {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join(); // it only connects
        }
    }
}

fn connect_without_pause(to: SocketAddr, most: usize, made: &AtomicUsize, over: &AtomicBool) {
    let mut open = VecDeque::new();
    while !over.load(Ordering::Relaxed) {
        if open.len() >= CONNECTIONS_EACH {
            if open.front_mut().is_some_and(closed_by_peer) {
                open.pop_front();
            }
            continue;
        }
        // Refused where nobody listens: not counted.
        let Ok(stream) = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT) else {
            std::thread::yield_now();
            continue;
        };
        // Closed by a reset, which leaves no port in TIME_WAIT.
        let _ =
            (set_socket_linger(&stream, Some(Duration::ZERO)), stream.set_read_timeout(Some(READ_TIMEOUT)));
        open.push_back(stream);
        if made.fetch_add(1, Ordering::Relaxed) >= most {
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
