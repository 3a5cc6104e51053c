//! A crowd of clients that hold their connections at the same time and write without regard for answers. A few
//! threads serve all connections in turn, so that each is written to at the same pace.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of threads that serve the connections.
const THREADS: usize = 4;
/// Pause of a thread that could neither write nor read anything.
const IDLE_PAUSE: Duration = Duration::from_millis(1);
/// Pause before a connection that was refused or closed is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How much of what a front end sends is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Everything.
    Everything,
    /// Nothing.
    Nothing,
    /// At most this many bytes after each pause.
    Slowly(usize),
}

/// What the members of a crowd do.
#[derive(Clone, Copy, Debug)]
pub struct CrowdBehaviour {
    /// Number of connections held at the same time.
    pub connections: usize,
    /// Most bytes written to a connection before the others get theirs.
    pub piece_bytes: usize,
    /// Pause after each connection has had its piece.
    pub pause: Duration,
    /// How much is read.
    pub reading: Reading,
    /// Whether a connection that the front end closes is opened again.
    pub reconnects: bool,
}

impl CrowdBehaviour {
    /// Clients that write at full speed and read everything.
    pub fn at_full_speed(connections: usize) -> CrowdBehaviour {
        CrowdBehaviour {
            connections,
            piece_bytes: 256 * 1024,
            pause: Duration::ZERO,
            reading: Reading::Everything,
            reconnects: true,
        }
    }
}

/// Makes the message with a number that a connection with a number sends; `None` if it sends no more.
pub type MessageSource = dyn Fn(usize, u64) -> Option<Vec<u8>> + Send + Sync;

/// A crowd; it ends when dropped.
pub struct Crowd {
    ended: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts a crowd. Its connections are opened as soon as `to` accepts them.
    pub fn start(
        to: SocketAddr,
        behaviour: CrowdBehaviour,
        messages: impl Fn(usize, u64) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> Crowd {
        let (ended, written) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let messages: Arc<MessageSource> = Arc::new(messages);
        let start_thread = |thread: usize| {
            let (ended, written, messages) = (ended.clone(), written.clone(), messages.clone());
            let numbers = (thread..behaviour.connections).step_by(THREADS);
            let mut members: Vec<Member> = numbers.map(Member::new).collect();
            std::thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    serve_all(to, behaviour, &mut members, &*messages, &written);
                }
            })
        };
        let threads = (0..THREADS).map(start_thread).collect();
        Crowd { ended, written, threads }
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let result = thread.join();
            assert!(result.is_ok() || std::thread::panicking(), "a thread of the crowd panicked");
        }
    }
}

/// One connection of a crowd, and what is still to be written on it.
struct Member {
    number: usize,
    stream: Option<TcpStream>,
    was_connected: bool,
    next_message: u64,
    unwritten: Vec<u8>,
}

impl Member {
    fn new(number: usize) -> Member {
        Member { number, stream: None, was_connected: false, next_message: 0, unwritten: Vec::new() }
    }

    fn connect(&mut self, to: SocketAddr) {
        let Ok(stream) = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT) else {
            return std::thread::sleep(RECONNECT_PAUSE);
        };
        // Without these options writes would block, and the crowd would be slower.
        if stream.set_nonblocking(true).is_ok() && stream.set_nodelay(true).is_ok() {
            self.stream = Some(stream);
            self.was_connected = true;
        }
        (self.next_message, self.unwritten) = (0, Vec::new());
    }

    /// Writes up to a piece, and returns the number of bytes.
    fn write(&mut self, piece_bytes: usize, messages: &MessageSource) -> std::io::Result<usize> {
        while self.unwritten.len() < piece_bytes {
            let Some(message) = messages(self.number, self.next_message) else { break };
            self.unwritten.extend(message);
            self.next_message += 1;
        }
        let Some(stream) = &mut self.stream else { return Ok(0) };
        let piece = &self.unwritten[..self.unwritten.len().min(piece_bytes)];
        if piece.is_empty() {
            return Ok(0);
        }
        let written = stream.write(piece)?;
        self.unwritten.drain(..written);
        Ok(written)
    }

    /// Reads what the behaviour allows, and returns the number of bytes.
    fn read(&mut self, reading: Reading) -> std::io::Result<usize> {
        let mut buffer = [0; 64 * 1024];
        let most = match reading {
            Reading::Everything => buffer.len(),
            Reading::Nothing => return Ok(0),
            Reading::Slowly(bytes) => bytes.min(buffer.len()),
        };
        let Some(stream) = &mut self.stream else { return Ok(0) };
        match stream.read(&mut buffer[..most])? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            read => Ok(read),
        }
    }
}

fn serve_all(
    to: SocketAddr,
    behaviour: CrowdBehaviour,
    members: &mut [Member],
    messages: &MessageSource,
    total_written: &AtomicU64,
) {
    let mut transferred = 0;
    for member in members {
        if member.stream.is_none() && (behaviour.reconnects || !member.was_connected) {
            member.connect(to);
        }
        let results = [member.write(behaviour.piece_bytes, messages), member.read(behaviour.reading)];
        total_written.fetch_add(*results[0].as_ref().unwrap_or(&0) as u64, Ordering::Relaxed);
        for result in results {
            match result {
                Ok(bytes) => transferred += bytes,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => member.stream = None,
            }
        }
    }
    let pause = if transferred == 0 { IDLE_PAUSE } else { Duration::ZERO };
    std::thread::sleep(pause.max(behaviour.pause));
}
