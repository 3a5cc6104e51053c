//! A flood of requests that their client withdraws at once, at full speed, up to a limit. Whatever the front end
//! sends is read; a connection that it closes is opened again.

use super::web::WebRequest;
use super::TIMEOUT;
use badgerwind_platform::fcgi;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Requests open at once on one connection; the platform allows as many.
const OPEN_REQUESTS: u64 = 32;

/// A flood of withdrawn requests.
pub struct WithdrawnFlood {
    sent: Arc<AtomicU64>,
    threads: Vec<JoinHandle<io::Result<()>>>,
}

impl WithdrawnFlood {
    /// Starts a flood over this many connections. `request` makes each of the requests from its number, below
    /// `max_requests`.
    pub fn start(
        to: SocketAddr,
        connections: usize,
        max_requests: u64,
        request: impl Fn(u64) -> WebRequest + Send + Sync + 'static,
    ) -> WithdrawnFlood {
        let (next, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let request = Arc::new(request);
        let send = |_| {
            let (next, sent, request) = (next.clone(), sent.clone(), request.clone());
            std::thread::spawn(move || {
                let batches = std::iter::from_fn(|| {
                    let first = next.fetch_add(OPEN_REQUESTS, Ordering::Relaxed);
                    (first < max_requests).then_some(first)
                });
                send_batches(to, batches, &*request, &sent)
            })
        };
        WithdrawnFlood { sent: sent.clone(), threads: (0..connections).map(send).collect() }
    }

    /// Requests sent and withdrawn so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Whether its limit is reached.
    pub fn has_ended(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Waits for its end. Returns the first error of a connection that could not be opened.
    pub fn join(self) -> io::Result<()> {
        let panicked = |_| Err(io::Error::other("a thread of the flood panicked"));
        let mut results = self.threads.into_iter().map(|thread| thread.join().unwrap_or_else(panicked));
        results.try_for_each(|result| result)
    }
}

fn send_batches(
    to: SocketAddr,
    batches: impl Iterator<Item = u64>,
    request: &(impl Fn(u64) -> WebRequest + ?Sized),
    sent: &AtomicU64,
) -> io::Result<()> {
    let mut stream = connect_reading(to)?;
    for first in batches {
        // A front end may close the connection of such a client at any time.
        if stream.write_all(&batch(first, request)).is_err() {
            stream = connect_reading(to)?;
        }
        sent.fetch_add(OPEN_REQUESTS, Ordering::Relaxed);
    }
    Ok(())
}

/// The records of a batch of requests, and of the aborts that withdraw them.
fn batch(first: u64, request: &(impl Fn(u64) -> WebRequest + ?Sized)) -> Vec<u8> {
    let mut bytes = Vec::new();
    for n in 0..OPEN_REQUESTS {
        bytes.extend(request(first + n).records(n as u16 + 1));
    }
    for n in 0..OPEN_REQUESTS {
        fcgi::write_record(&mut bytes, fcgi::ABORT_REQUEST, n as u16 + 1, b"");
    }
    bytes
}

/// Connects, and starts a thread that reads until the connection ends.
fn connect_reading(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(to)?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.set_nodelay(true)?;
    let mut input = stream.try_clone()?;
    std::thread::spawn(move || {
        let mut buffer = [0; 8192];
        while input.read(&mut buffer).is_ok_and(|read| read > 0) {}
    });
    Ok(stream)
}
