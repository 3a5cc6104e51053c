//! The platform's side of the platform front's protocols: a web server's connection, an executor and a
//! service discovery server, each scripted by its test. They use threads and blocking sockets, and so share
//! no I/O code with the gateway.

pub mod connect_flood;
pub mod crowd;
pub mod discovery;
pub mod executor;
pub mod full_backlog;
pub mod web;
pub mod withdrawn_flood;

use rustix::net::RecvFlags;
use serde_json::{json, Value};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest time that a stand-in waits for anything.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds; returns false if it does not within [`TIMEOUT`].
pub fn wait_until(mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    false
}

/// Reads some bytes, and returns [`io::ErrorKind::WouldBlock`] if none arrive within the timeout. A read that
/// a signal interrupts continues for the time that remains: Linux does not restart a read with a timeout, not
/// even after a stop or a `SIGCHLD` for which there is no handler.
pub fn read_with_timeout(stream: &mut TcpStream, buf: &mut [u8], timeout: Duration) -> io::Result<usize> {
    let end = Instant::now() + timeout;
    let mut left = timeout;
    while !left.is_zero() {
        stream.set_read_timeout(Some(left))?;
        match stream.read(buf) {
            // The kernel counts in ticks and may return `WouldBlock` up to one early.
            Err(e) if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock) => {}
            result => return result,
        }
        left = end.saturating_duration_since(Instant::now());
    }
    // The process may have been stopped until now, and bytes may have arrived during that time.
    let (received, _) = rustix::net::recv(&*stream, buf, RecvFlags::DONTWAIT)?;
    Ok(received)
}

/// An executor of the list in the configuration's `known`.
pub fn list_member(id: u32, address: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("s-{id:08x}"), "host_port": address, "locality": "east", "flavor": "std", "cell": 0,
           "phase": phase, "size": 4, "up_since_ms": 0})
}

/// A configuration with one repeatable class (`look`) and one that must not run twice (`book`).
pub fn configuration(listen: SocketAddr, discovery: SocketAddr, members: &[Value]) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 500_000, "hardLimit": 3_000_000, "effect": effect, "group": "all",
               "worth": 1.0, "lateWorth": 0.2, "window": 5_000_000, "streaming": false})
    };
    json!({
        "name": "n0", "listen": listen, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "board": discovery,
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {
            "allowed": {"connectTimeout": 250_000, "idleClose": 30_000_000, "maxAttempts": 4, "maxRetryAfter": 2_000_000,
                        "mayCancel": true, "mayDuplicate": false, "mayProbe": true, "mostHeld": 20_000,
                        "peers": false, "retryAfter": true, "streamsPerConn": 100},
            "classes": [class("look", "repeatable"), class("book", "once")],
            "charges": {}, "discovery": "push", "failureDomains": ["east"], "kinds": ["std"], "myNumber": 0,
            "myZone": 0, "orgs": [{"name": "acme", "portion": 1.0}], "overShareWorth": 0.1, "peersTotal": 1,
            "report": {"fields": [], "how": "none"}, "round": 2000,
            "rules": {"answerSlack": 8000, "coldFrom": 0.5, "fall": 1_500_000, "stopSendingWithin": 300_000,
                      "tipMultiple": 2.5, "warmAfter": 1_000_000},
            "specifics": {"placementCalls": true, "marksCold": true, "tellsCrowd": true, "whenAbsent": "load",
                          "staysLoaded": 8_000_000, "orderLimit": 4_000_000, "idlePrice": 0.0,
                          "memoryMbByKind": [10_000.0]},
        }
    })
}
