//! An executor that does what its test says.

use super::{until, LONG};
use crate::reserved::ReservedPort;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A line that came whole.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The connection, counted from 0.
    pub connection: usize,
    /// The port that it comes from.
    pub from: u16,
    /// Its word: `FN`, `KILL`, `SPAWN` ...
    pub word: String,
    /// Id or tag.
    pub req: String,
    /// The rest.
    pub line: Value,
    /// When.
    pub at: Instant,
}

/// A condition that a script waits for.
type Condition = Arc<dyn Fn() -> bool + Send + Sync>;

/// What an executor does next.
#[derive(Clone)]
pub enum Do {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes on another connection, by its number.
    WriteOn(usize, Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Waits until this holds.
    Until(Condition),
    /// Ends the connection.
    Close,
}

/// The line of a good answer, which says the request's body again.
pub fn hit(seen: &Seen) -> Vec<u8> {
    let data = seen.line["data"].as_str().unwrap_or("");
    format!("{{\"type\":\"HIT\",\"req\":\"{}\",\"meta\":{{\"res\":\"w\"}},\"data\":\"{data}\"}}\n", seen.req)
        .into_bytes()
}

/// The line of another word.
pub fn say(word: &str, seen: &Seen) -> Vec<u8> {
    format!("{{\"type\":\"{word}\",\"req\":\"{}\",\"meta\":{{\"slots_up\":1}}}}\n", seen.req).into_bytes()
}

/// What most scripts do with what they are not about: calls and orders succeed, probes find it well.
pub fn well(seen: &Seen) -> Vec<Do> {
    match seen.word.as_str() {
        "FN" => vec![Do::Write(hit(seen))],
        "SPAWN" => vec![Do::Write(say("HIT", seen))],
        "HELO" | "TOP" => vec![Do::Write(say("PONG", seen))],
        _ => vec![],
    }
}

type Script = dyn Fn(&Seen) -> Vec<Do> + Send + Sync;
/// Connections to write on, by number.
type Ways = Mutex<BTreeMap<usize, Arc<Mutex<TcpStream>>>>;

/// Connections, as an executor counted them.
#[derive(Debug, Default)]
pub struct Doors {
    /// That came up, ever.
    pub opened: AtomicUsize,
    /// That stand now.
    pub standing: AtomicUsize,
    /// That stood at once, at the most.
    pub most: AtomicUsize,
    /// Whose first word was turned away, the table being full.
    pub turned_away: AtomicUsize,
}

/// An executor.
pub struct Executor {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its connections.
    pub doors: Arc<Doors>,
    seen: Arc<Mutex<Vec<Seen>>>,
    ways: Arc<Ways>,
    stopped: Arc<AtomicBool>,
    /// Keeps its address from others once it has stopped.
    _port: Option<ReservedPort>,
}

impl Executor {
    /// Starts one on a free port. Each line that comes whole is given to the script, whose answer is carried out on a
    /// thread of its own, so that a waiting one holds up nobody.
    pub fn start(script: impl Fn(&Seen) -> Vec<Do> + Send + Sync + 'static) -> io::Result<Executor> {
        Executor::with_table(usize::MAX, script)
    }

    /// The same with a table of so many connections. Where it is full a connection still comes up, but its first word is
    /// answered with `SHED` and it is closed.
    pub fn with_table(
        table: usize,
        script: impl Fn(&Seen) -> Vec<Do> + Send + Sync + 'static,
    ) -> io::Result<Executor> {
        let port = ReservedPort::reserve()?;
        let executor = Executor::on(port.listen()?, table, script)?;
        Ok(Executor { _port: Some(port), ..executor })
    }

    /// The same behind a listener that stands already.
    pub fn on(
        listener: TcpListener,
        table: usize,
        script: impl Fn(&Seen) -> Vec<Do> + Send + Sync + 'static,
    ) -> io::Result<Executor> {
        let address = listener.local_addr()?;
        let (seen, script): (Arc<Mutex<Vec<Seen>>>, Arc<Script>) = (Arc::default(), Arc::new(script));
        let (all, doors) = (seen.clone(), Arc::<Doors>::default());
        let (counts, ways) = (doors.clone(), Arc::<Ways>::default());
        let own_ways = ways.clone();
        let stopped = Arc::<AtomicBool>::default();
        let ends = stopped.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                if ends.load(Ordering::Relaxed) {
                    return; // connections to its address are refused from now on
                }
                let (seen, script, doors) = (all.clone(), script.clone(), counts.clone());
                let ways = own_ways.clone();
                std::thread::spawn(move || {
                    doors.opened.fetch_add(1, Ordering::Relaxed);
                    let stand = doors.standing.fetch_add(1, Ordering::Relaxed) + 1;
                    if stand > table {
                        doors.turned_away.fetch_add(1, Ordering::Relaxed);
                        turn_away(stream);
                    } else {
                        doors.most.fetch_max(stand, Ordering::Relaxed);
                        serve(connection, stream, &seen, (&script, &ways));
                    }
                    doors.standing.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(Executor { address, doors, seen, ways, stopped, _port: None })
    }

    /// Ends it as the death of its process would: connections end, and new ones are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts, which then lets go of the address.
        let _ = TcpStream::connect(self.address);
        let ways = self.ways.lock().unwrap_or_else(PoisonError::into_inner);
        for way in ways.values() {
            let stream = way.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = stream.shutdown(std::net::Shutdown::Both); // it may have ended
        }
    }

    /// Ends a connection, by its number; false where it never came up.
    pub fn close(&self, connection: usize) -> bool {
        let ways = self.ways.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(way) = ways.get(&connection) else { return false };
        let stream = way.lock().unwrap_or_else(PoisonError::into_inner);
        stream.shutdown(std::net::Shutdown::Both).is_ok()
    }

    /// What has come.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What has come of one word.
    pub fn words(&self, word: &str) -> Vec<Seen> {
        self.seen().into_iter().filter(|s| s.word == word).collect()
    }
}

fn turn_away(mut stream: TcpStream) {
    let Ok(read) = stream.try_clone() else { return };
    let mut line = Vec::new();
    if BufReader::new(read).read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
        let req = serde_json::from_slice::<Value>(&line).ok();
        let req = req.as_ref().and_then(|l| l["req"].as_str()).unwrap_or("");
        // The front end may have given the connection up: that is its right.
        let _ =
            stream.write_all(format!("{{\"type\":\"SHED\",\"req\":\"{req}\",\"meta\":{{}}}}\n").as_bytes());
    }
}

fn serve(
    connection: usize,
    stream: TcpStream,
    seen: &Mutex<Vec<Seen>>,
    (script, ways): (&Arc<Script>, &Arc<Ways>),
) {
    // Only a delay is lost where these are not to be had.
    let _ = (stream.set_nodelay(true), stream.set_write_timeout(Some(LONG)));
    let Ok(write) = stream.try_clone() else { return };
    let Ok(from) = stream.peer_addr().map(|a| a.port()) else { return };
    let write = Arc::new(Mutex::new(write));
    ways.lock().unwrap_or_else(PoisonError::into_inner).insert(connection, write.clone());
    for line in BufReader::new(stream).split(b'\n') {
        let Ok(line) = line else { return };
        let Ok(line) = serde_json::from_slice::<Value>(&line) else { return };
        let text = |name: &str| line[name].as_str().unwrap_or("").to_owned();
        let (word, req) = (text("type"), text("req"));
        let s = Seen { connection, from, word, req, line, at: Instant::now() };
        seen.lock().unwrap_or_else(PoisonError::into_inner).push(s.clone());
        let (script, write, ways) = (script.clone(), write.clone(), ways.clone());
        std::thread::spawn(move || {
            for step in script(&s) {
                let stream = || write.lock().unwrap_or_else(PoisonError::into_inner);
                match step {
                    Do::Wait(time) => std::thread::sleep(time),
                    Do::Until(holds) => _ = until(|| holds()),
                    // The front end may have given the connection up: that is its right.
                    Do::Write(bytes) => _ = stream().write_all(&bytes),
                    Do::WriteOn(other, bytes) => {
                        let way = ways.lock().unwrap_or_else(PoisonError::into_inner).get(&other).cloned();
                        let way = way.expect("a script names connections that have come up");
                        let _ = way.lock().unwrap_or_else(PoisonError::into_inner).write_all(&bytes);
                    }
                    Do::Close => _ = stream().shutdown(std::net::Shutdown::Both),
                }
            }
        });
    }
}
