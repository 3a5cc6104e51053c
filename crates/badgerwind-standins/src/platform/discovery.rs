//! A service discovery server that stores its events, and can fall silent, cut off an event or send events
//! twice.

use crate::reserved::ReservedPort;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Behaviour of the server towards its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Follows the protocol.
    Normal,
    /// Accepts connections and reads, but writes nothing.
    Silent,
    /// Ends the connection in the middle of the next event, once.
    CutsEvent,
    /// Writes each event twice.
    Duplicates,
}

struct State {
    /// Connections have ended and new ones are refused.
    refuses: bool,
    /// Number of accepted connections.
    accepted: u64,
    /// Connections up to this number have been ended.
    disconnected: u64,
    /// The full list as event 1, for clients that start from 0.
    initial_list: Vec<u8>,
    /// Last event that is sent to clients that start from 0.
    last_sent: u64,
    /// Number of events to skip before the next one.
    skipped: u64,
    /// Kind and records of each event.
    events: Vec<(u8, Vec<u8>)>,
    /// Number of the first of these events.
    first: u64,
    behaviour: Behaviour,
    /// Last event numbers that clients gave on connecting.
    requested: Vec<u64>,
}

/// A service discovery server.
pub struct DiscoveryServer {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Encodes the record of an executor.
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

impl DiscoveryServer {
    /// Starts a server whose next event has the number `first`.
    pub fn start(first: u64) -> io::Result<DiscoveryServer> {
        let port = ReservedPort::reserve()?;
        let (listener, address) = (port.listen()?, port.address());
        let (events, requested) = (Vec::new(), Vec::new());
        let state = State {
            refuses: false,
            accepted: 0,
            disconnected: 0,
            initial_list: Vec::new(),
            last_sent: u64::MAX,
            skipped: 0,
            events,
            first,
            behaviour: Behaviour::Normal,
            requested,
        };
        let state = Arc::new(Mutex::new(state));
        let own = state.clone();
        std::thread::spawn(move || listen(&port, listener, &own));
        Ok(DiscoveryServer { address, state })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an event with changed records.
    pub fn send_changes(&self, records: &[Vec<u8>]) {
        self.state().events.push((2, records.concat()));
    }

    /// Sends an event with the full list: executors that are not in it have been removed.
    pub fn send_full_list(&self, records: &[Vec<u8>]) {
        self.state().events.push((1, records.concat()));
    }

    /// Sets the behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Ends all open connections; new ones are accepted.
    pub fn disconnect_all(&self) {
        let mut state = self.state();
        state.disconnected = state.accepted;
    }

    /// Ends all open connections, and refuses new ones if `refuses`.
    pub fn set_refusing(&self, refuses: bool) {
        let mut state = self.state();
        (state.refuses, state.disconnected) = (refuses, state.accepted);
    }

    /// Sets the list that clients which start from 0 receive as event 1.
    pub fn set_initial_list(&self, records: &[Vec<u8>]) {
        self.state().initial_list = records.concat();
    }

    /// Limits the events sent to clients that start from 0 to those up to this number.
    pub fn set_last_sent(&self, event: u64) {
        self.state().last_sent = event;
    }

    /// Skips this many event numbers before the next event, once.
    pub fn skip_events(&self, events: u64) {
        self.state().skipped = events;
    }

    /// The last event numbers that clients gave on connecting.
    pub fn requested(&self) -> Vec<u64> {
        self.state().requested.clone()
    }
}

/// Interval at which the threads check for work.
const POLL: Duration = Duration::from_millis(5);

/// Accepts connections. After a time of refusal it listens on the same address again.
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
                // An error ends the connection: the front end connects again.
                std::thread::spawn(move || _ = serve(stream, &own, number));
            }
            _ => std::thread::sleep(POLL),
        }
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>, connection: u64) -> io::Result<()> {
    let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
    let mut buf = [0u8; 8];
    stream.read_exact(&mut buf)?;
    let mut last_event = u64::from_be_bytes(buf);
    lock().requested.push(last_event);
    let from_start = last_event == 0;
    let mut last_heartbeat = Instant::now();
    loop {
        let (behaviour, next) = {
            let mut s = lock();
            if s.disconnected >= connection {
                return Ok(());
            }
            let stored = |n: u64| s.events.get(n as usize).cloned();
            let next = match (last_event + 1).checked_sub(s.first) {
                _ if from_start && last_event >= s.last_sent => None,
                Some(n) => stored(n),
                None if last_event == 0 && !s.initial_list.is_empty() => Some((1, s.initial_list.clone())),
                None => None,
            };
            if next.is_some() {
                last_event += std::mem::take(&mut s.skipped);
            }
            (s.behaviour, next)
        };
        match (behaviour, next) {
            (Behaviour::Silent, _) => {}
            (behaviour, Some((kind, payload))) => {
                let f = frame(last_event + 1, kind, &payload);
                if behaviour == Behaviour::CutsEvent {
                    lock().behaviour = Behaviour::Normal;
                    stream.write_all(&f[..f.len() / 2])?;
                    return Ok(());
                }
                (0..if behaviour == Behaviour::Duplicates { 2 } else { 1 })
                    .try_for_each(|_| stream.write_all(&f))?;
                last_event += 1;
            }
            (_, None) if last_heartbeat.elapsed() > Duration::from_secs(1) => {
                stream.write_all(&frame(last_event, 0, b""))?;
                last_heartbeat = Instant::now();
            }
            _ => {}
        }
        std::thread::sleep(POLL);
    }
}
