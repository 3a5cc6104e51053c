//! An executor that does what its test says.

use super::LONG;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A line that came whole.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The connection, counted from 0.
    pub connection: usize,
    /// Its word: `FN`, `KILL`, `SPAWN` ...
    pub word: String,
    /// Id or tag.
    pub req: String,
    /// The rest.
    pub line: Value,
    /// When.
    pub at: Instant,
}

/// What an executor does next.
#[derive(Clone, Debug)]
pub enum Do {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits.
    Wait(Duration),
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

/// An executor.
pub struct Executor {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Executor {
    /// Starts one on a free port. Each line that comes whole is given to the script, whose answer is carried out on a
    /// thread of its own, so that a waiting one holds up nobody.
    pub fn start(script: impl Fn(&Seen) -> Vec<Do> + Send + Sync + 'static) -> io::Result<Executor> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (seen, script): (Arc<Mutex<Vec<Seen>>>, Arc<Script>) = (Arc::default(), Arc::new(script));
        let all = seen.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (seen, script) = (all.clone(), script.clone());
                std::thread::spawn(move || serve(connection, stream, &seen, &script));
            }
        });
        Ok(Executor { address, seen })
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

fn serve(connection: usize, stream: TcpStream, seen: &Mutex<Vec<Seen>>, script: &Arc<Script>) {
    // Only a delay is lost where these are not to be had.
    let _ = (stream.set_nodelay(true), stream.set_write_timeout(Some(LONG)));
    let Ok(write) = stream.try_clone() else { return };
    let write = Arc::new(Mutex::new(write));
    for line in BufReader::new(stream).split(b'\n') {
        let Ok(line) = line else { return };
        let Ok(line) = serde_json::from_slice::<Value>(&line) else { return };
        let text = |name: &str| line[name].as_str().unwrap_or("").to_owned();
        let (word, req) = (text("type"), text("req"));
        let s = Seen { connection, word, req, line, at: Instant::now() };
        seen.lock().unwrap_or_else(PoisonError::into_inner).push(s.clone());
        let (script, write) = (script.clone(), write.clone());
        std::thread::spawn(move || {
            for step in script(&s) {
                let stream = || write.lock().unwrap_or_else(PoisonError::into_inner);
                match step {
                    Do::Wait(time) => std::thread::sleep(time),
                    // The front end may have given the connection up: that is its right.
                    Do::Write(bytes) => _ = stream().write_all(&bytes),
                    Do::Close => _ = stream().shutdown(std::net::Shutdown::Both),
                }
            }
        });
    }
}
