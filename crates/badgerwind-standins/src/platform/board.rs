//! A notice board that keeps its events and can fall silent, break off or repeat itself.

use crate::reserved::ReservedPort;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How the board treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// As it should.
    Well,
    /// Accepts, reads, and writes nothing more.
    Silent,
    /// Breaks off in the middle of the next event, once for each connection.
    Breaks,
    /// Writes each event twice.
    Twice,
}

struct State {
    /// Nobody listens: connections end and new ones are refused.
    refuses: bool,
    /// Connections accepted, and those up to this one have been ended.
    accepted: u64,
    cut: u64,
    /// The whole list as event 1, for those who ask from the start.
    whole: Vec<u8>,
    /// To those who ask from the start no event beyond this one is written.
    held_after: u64,
    /// Events that are lost before the next.
    lost: u64,
    /// Their kind, and records.
    events: Vec<(u8, Vec<u8>)>,
    first: u64,
    mood: Mood,
    asked: Vec<u64>,
}

/// A notice board.
pub struct Board {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// The record of an executor.
pub fn record(id: u32, address: SocketAddr, state: u8) -> Vec<u8> {
    let SocketAddr::V4(address) = address else { return Vec::new() };
    let address: SocketAddrV4 = address;
    let mut r = id.to_be_bytes().to_vec();
    r.extend(address.ip().octets());
    r.extend(address.port().to_be_bytes());
    r.extend([state, 0, 0, 0, 0]);
    r.extend(4000u32.to_be_bytes());
    r.extend(0u64.to_be_bytes());
    r
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut f = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    f.extend(number.to_be_bytes());
    f.push(kind);
    f.extend(payload);
    f
}

impl Board {
    /// Starts one whose next event has this number.
    pub fn start(first: u64) -> io::Result<Board> {
        let port = ReservedPort::reserve()?;
        let (listener, address) = (port.listen()?, port.address());
        let (events, asked) = (Vec::new(), Vec::new());
        let state = State {
            refuses: false,
            accepted: 0,
            cut: 0,
            whole: Vec::new(),
            held_after: u64::MAX,
            lost: 0,
            events,
            first,
            mood: Mood::Well,
            asked,
        };
        let state = Arc::new(Mutex::new(state));
        let own = state.clone();
        std::thread::spawn(move || listen(&port, listener, &own));
        Ok(Board { address, state })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells of changes.
    pub fn tell(&self, records: &[Vec<u8>]) {
        self.state().events.push((2, records.concat()));
    }

    /// Tells the whole list again: whoever is not in it is gone.
    pub fn tell_whole(&self, records: &[Vec<u8>]) {
        self.state().events.push((1, records.concat()));
    }

    /// Treats its connections so from now on.
    pub fn mood(&self, mood: Mood) {
        self.state().mood = mood;
    }

    /// Ends all open connections; new ones are accepted.
    pub fn cut(&self) {
        let mut state = self.state();
        state.cut = state.accepted;
    }

    /// Ends all open connections and refuses new ones, until told otherwise.
    pub fn refuse(&self, refuses: bool) {
        let mut state = self.state();
        (state.refuses, state.cut) = (refuses, state.accepted);
    }

    /// Tells those who ask from the start that the list was this at event 1.
    pub fn began_with(&self, records: &[Vec<u8>]) {
        self.state().whole = records.concat();
    }

    /// Writes no event beyond this one, until told otherwise, to those who ask from the start.
    pub fn hold_after(&self, event: u64) {
        self.state().held_after = event;
    }

    /// The next event is written as if so many before it had been lost, once.
    pub fn lose(&self, events: u64) {
        self.state().lost = events;
    }

    /// The numbers with which it was asked.
    pub fn asked(&self) -> Vec<u64> {
        self.state().asked.clone()
    }
}

/// Between two looks at what is to be done.
const POLL: Duration = Duration::from_millis(5);

/// Accepts connections, on the same address again after a time in which it refused them.
fn listen(port: &ReservedPort, listener: TcpListener, state: &Arc<Mutex<State>>) {
    let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
    let mut listener = listener.set_nonblocking(true).is_ok().then_some(listener);
    loop {
        if lock().refuses {
            listener = None;
        } else if listener.is_none() {
            listener = port.listen().ok().filter(|l| l.set_nonblocking(true).is_ok());
        }
        match listener.as_ref().map(TcpListener::accept) {
            Some(Ok((stream, _))) if stream.set_nonblocking(false).is_ok() => {
                let own = state.clone();
                let number = {
                    let mut state = lock();
                    state.accepted += 1;
                    state.accepted
                };
                // A connection that ends, ends: the front end asks anew.
                std::thread::spawn(move || _ = serve(stream, &own, number));
            }
            _ => std::thread::sleep(POLL),
        }
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>, connection: u64) -> io::Result<()> {
    let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
    let mut had = [0u8; 8];
    stream.read_exact(&mut had)?;
    let mut had = u64::from_be_bytes(had);
    lock().asked.push(had);
    let from_start = had == 0;
    let mut beat = Instant::now();
    loop {
        let (mood, next) = {
            let mut s = lock();
            if s.cut >= connection {
                return Ok(());
            }
            let later = |n: u64| s.events.get(n as usize).cloned();
            let next = match (had + 1).checked_sub(s.first) {
                _ if from_start && had >= s.held_after => None,
                Some(n) => later(n),
                None if had == 0 && !s.whole.is_empty() => Some((1, s.whole.clone())),
                None => None,
            };
            if next.is_some() {
                had += std::mem::take(&mut s.lost);
            }
            (s.mood, next)
        };
        match (mood, next) {
            (Mood::Silent, _) => {}
            (mood, Some((kind, payload))) => {
                let f = frame(had + 1, kind, &payload);
                if mood == Mood::Breaks {
                    lock().mood = Mood::Well;
                    stream.write_all(&f[..f.len() / 2])?;
                    return Ok(());
                }
                (0..if mood == Mood::Twice { 2 } else { 1 }).try_for_each(|_| stream.write_all(&f))?;
                had += 1;
            }
            (_, None) if beat.elapsed() > Duration::from_secs(1) => {
                stream.write_all(&frame(had, 0, b""))?;
                beat = Instant::now();
            }
            _ => {}
        }
        std::thread::sleep(POLL);
    }
}
