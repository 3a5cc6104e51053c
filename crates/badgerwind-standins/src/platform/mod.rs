//! The platform's side of its protocol: a web server's connection, an executor and a notice board, each scripted by its
//! test. On threads of their own and blocking sockets, so that they share no code of I/O with what they stand against.

pub mod board;
pub mod connect_flood;
pub mod door;
pub mod executor;
pub mod web;

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The longest that a stand-in waits for anything.
pub const LONG: Duration = Duration::from_secs(20);

/// Waits until something holds; false where it did not within [`LONG`].
pub fn until(mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + LONG;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    false
}

/// An entry of the list, as `known` holds it.
pub fn member(id: u32, address: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("s-{id:08x}"), "host_port": address, "locality": "east", "flavor": "std", "cell": 0,
           "phase": phase, "size": 4, "up_since_ms": 0})
}

/// A configuration with one repeatable class (`look`) and one that must not run twice (`book`).
pub fn configuration(listen: SocketAddr, board: SocketAddr, members: &[Value]) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 500_000, "hardLimit": 3_000_000, "effect": effect, "group": "all",
               "worth": 1.0, "lateWorth": 0.2, "window": 5_000_000, "streaming": false})
    };
    json!({
        "name": "n0", "listen": listen, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "board": board,
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
