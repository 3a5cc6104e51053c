//! An executor that is scripted by its test.

use super::{wait_until, TIMEOUT};
use crate::reserved::ReservedPort;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A complete line that the executor received.
#[derive(Clone, Debug)]
pub struct ReceivedLine {
    /// Number of the connection, from 0.
    pub connection: usize,
    /// Local port of the front end.
    pub peer_port: u16,
    /// The line's `type`: `FN`, `KILL`, `SPAWN` and so on.
    pub kind: String,
    /// The line's `req`: an id or a tag.
    pub req: String,
    /// The whole line.
    pub line: Value,
    /// When it was received.
    pub at: Instant,
}

/// A condition that a script waits for.
type Condition = Arc<dyn Fn() -> bool + Send + Sync>;

/// A step of a script.
#[derive(Clone)]
pub enum ScriptStep {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes on another connection, by its number.
    WriteOn(usize, Vec<u8>),
    /// Waits for a time.
    Wait(Duration),
    /// Waits until a condition holds.
    WaitUntil(Condition),
    /// Ends the connection.
    Close,
}

/// The line of a successful answer, which echoes the request's body.
pub fn hit_line(line: &ReceivedLine) -> Vec<u8> {
    let data = line.line["data"].as_str().unwrap_or("");
    format!("{{\"type\":\"HIT\",\"req\":\"{}\",\"meta\":{{\"res\":\"w\"}},\"data\":\"{data}\"}}\n", line.req)
        .into_bytes()
}

/// An answer line of another type.
pub fn answer_line(kind: &str, line: &ReceivedLine) -> Vec<u8> {
    format!("{{\"type\":\"{kind}\",\"req\":\"{}\",\"meta\":{{\"slots_up\":1}}}}\n", line.req).into_bytes()
}

/// The default script: calls, orders and probes succeed.
pub fn succeed(line: &ReceivedLine) -> Vec<ScriptStep> {
    match line.kind.as_str() {
        "FN" => vec![ScriptStep::Write(hit_line(line))],
        "SPAWN" => vec![ScriptStep::Write(answer_line("HIT", line))],
        "HELO" | "TOP" => vec![ScriptStep::Write(answer_line("PONG", line))],
        _ => vec![],
    }
}

type Script = dyn Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync;
/// The writing ends of the connections, by number.
type Writers = Mutex<BTreeMap<usize, Arc<Mutex<TcpStream>>>>;

/// Counts of an executor's connections.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    /// Accepted since the start.
    pub accepted: AtomicUsize,
    /// Open now.
    pub open: AtomicUsize,
    /// Largest number open at the same time.
    pub max_open: AtomicUsize,
    /// Rejected because the table was full.
    pub rejected: AtomicUsize,
}

/// A scripted executor.
pub struct Executor {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Counts of its connections.
    pub connections: Arc<ConnectionCounts>,
    received: Arc<Mutex<Vec<ReceivedLine>>>,
    writers: Arc<Writers>,
    stopped: Arc<AtomicBool>,
    /// Reserves the address also after the executor has stopped.
    _port: Option<ReservedPort>,
}

impl Executor {
    /// Starts an executor on a free port. Each complete line is passed to the script, whose steps run on a
    /// separate thread, so that a waiting script does not delay others.
    pub fn start(
        script: impl Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync + 'static,
    ) -> io::Result<Executor> {
        Executor::with_table(usize::MAX, script)
    }

    /// Like [`Executor::start`], with a table of `table` connections. When it is full, a further connection
    /// is accepted, but its first line is answered with `SHED` and it is closed.
    pub fn with_table(
        table: usize,
        script: impl Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync + 'static,
    ) -> io::Result<Executor> {
        let port = ReservedPort::reserve()?;
        let executor = Executor::on(port.listen()?, table, script)?;
        Ok(Executor { _port: Some(port), ..executor })
    }

    /// Like [`Executor::with_table`], on an existing listener.
    pub fn on(
        listener: TcpListener,
        table: usize,
        script: impl Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync + 'static,
    ) -> io::Result<Executor> {
        let address = listener.local_addr()?;
        let (received, script): (Arc<Mutex<Vec<ReceivedLine>>>, Arc<Script>) =
            (Arc::default(), Arc::new(script));
        let (all, connections) = (received.clone(), Arc::<ConnectionCounts>::default());
        let (own_connections, writers) = (connections.clone(), Arc::<Writers>::default());
        let own_writers = writers.clone();
        let stopped = Arc::<AtomicBool>::default();
        let ends = stopped.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                if ends.load(Ordering::Relaxed) {
                    return; // closes the listener, so connections are refused
                }
                let (received, script, connections) = (all.clone(), script.clone(), own_connections.clone());
                let writers = own_writers.clone();
                std::thread::spawn(move || {
                    connections.accepted.fetch_add(1, Ordering::Relaxed);
                    let open = connections.open.fetch_add(1, Ordering::Relaxed) + 1;
                    if open > table {
                        connections.rejected.fetch_add(1, Ordering::Relaxed);
                        reject(stream);
                    } else {
                        connections.max_open.fetch_max(open, Ordering::Relaxed);
                        serve(connection, stream, &received, (&script, &writers));
                    }
                    connections.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(Executor { address, connections, received, writers, stopped, _port: None })
    }

    /// Stops it like a killed process: connections end, and new ones are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        let writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        for writer in writers.values() {
            let stream = writer.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = stream.shutdown(std::net::Shutdown::Both); // it may have ended
        }
    }

    /// Ends a connection by its number; returns false if there was none.
    pub fn close(&self, connection: usize) -> bool {
        let writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(writer) = writers.get(&connection) else { return false };
        let stream = writer.lock().unwrap_or_else(PoisonError::into_inner);
        stream.shutdown(std::net::Shutdown::Both).is_ok()
    }

    /// All received lines.
    pub fn received(&self) -> Vec<ReceivedLine> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The received lines of one type.
    pub fn received_of_kind(&self, kind: &str) -> Vec<ReceivedLine> {
        self.received().into_iter().filter(|s| s.kind == kind).collect()
    }
}

fn reject(mut stream: TcpStream) {
    let Ok(read) = stream.try_clone() else { return };
    let mut line = Vec::new();
    if BufReader::new(read).read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
        let req = serde_json::from_slice::<Value>(&line).ok();
        let req = req.as_ref().and_then(|l| l["req"].as_str()).unwrap_or("");
        // The front end may have closed the connection.
        let _ =
            stream.write_all(format!("{{\"type\":\"SHED\",\"req\":\"{req}\",\"meta\":{{}}}}\n").as_bytes());
    }
}

fn serve(
    connection: usize,
    stream: TcpStream,
    received: &Mutex<Vec<ReceivedLine>>,
    (script, writers): (&Arc<Script>, &Arc<Writers>),
) {
    // Errors are ignored: without these options answers are only delayed.
    let _ = (stream.set_nodelay(true), stream.set_write_timeout(Some(TIMEOUT)));
    let Ok(write) = stream.try_clone() else { return };
    let Ok(peer_port) = stream.peer_addr().map(|a| a.port()) else { return };
    let write = Arc::new(Mutex::new(write));
    writers.lock().unwrap_or_else(PoisonError::into_inner).insert(connection, write.clone());
    for line in BufReader::new(stream).split(b'\n') {
        let Ok(line) = line else { return };
        let Ok(line) = serde_json::from_slice::<Value>(&line) else { return };
        let text = |name: &str| line[name].as_str().unwrap_or("").to_owned();
        let (kind, req) = (text("type"), text("req"));
        let s = ReceivedLine { connection, peer_port, kind, req, line, at: Instant::now() };
        received.lock().unwrap_or_else(PoisonError::into_inner).push(s.clone());
        let (script, write, writers) = (script.clone(), write.clone(), writers.clone());
        std::thread::spawn(move || {
            for step in script(&s) {
                let stream = || write.lock().unwrap_or_else(PoisonError::into_inner);
                match step {
                    ScriptStep::Wait(time) => std::thread::sleep(time),
                    ScriptStep::WaitUntil(holds) => _ = wait_until(|| holds()),
                    // The front end may have closed the connection.
                    ScriptStep::Write(bytes) => _ = stream().write_all(&bytes),
                    ScriptStep::WriteOn(other, bytes) => {
                        let writer =
                            writers.lock().unwrap_or_else(PoisonError::into_inner).get(&other).cloned();
                        let writer = writer.expect("a script names existing connections");
                        let _ = writer.lock().unwrap_or_else(PoisonError::into_inner).write_all(&bytes);
                    }
                    ScriptStep::Close => _ = stream().shutdown(std::net::Shutdown::Both),
                }
            }
        });
    }
}
