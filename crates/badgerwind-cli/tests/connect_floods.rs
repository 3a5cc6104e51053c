//! A flood of new connections must not stop a front end from doing its other work: answering open calls,
//! serving executors and handling signals. The tests check only that each event happens while the flood
//! continues. How many connections that takes follows from what the front end accepts, not from any speed.
//! This is a separate test program, so that no other test runs during the flood.

#[allow(dead_code)] // the platform's other tests use the remaining items
#[path = "platform/rig.rs"]
mod rig;

use badgerwind_standins::platform::connect_flood::ConnectFlood;
use badgerwind_standins::platform::discovery::{record, DiscoveryServer};
use badgerwind_standins::platform::executor::{hit_line, succeed, Executor, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::{WebConnection, WebRequest};
use rig::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const READY: u8 = 0;
const DRAINING: u8 = 1;

/// Limit of sockets: the lowest that a configuration may set.
const SOCKETS: usize = 64;
/// Client connections that a front end holds at that limit.
const CLIENT_CONNECTIONS: usize = 18;
/// Limit of the flood's connections. What each test waits for takes a small part of it.
const MAX_FLOOD_CONNECTIONS: usize = 200_000;
/// Connections after which the flood has reached the front end: more than can be pending at once.
const MIN_FLOOD_CONNECTIONS: usize = 2_000;

/// Bodies of calls that an executor holds until the test allows the answer, each with its base64 form in the
/// executor's line.
const FIRST: (&[u8], &str) = (b"first", "Zmlyc3Q=");
const LAST: (&[u8], &str) = (b"last", "bGFzdA==");

/// A script that answers these calls once their gate is open, and serves everything else at once.
fn holding_script(first: &Arc<AtomicBool>, last: &Arc<AtomicBool>) -> Script {
    let gates = [(FIRST.1, first.clone()), (LAST.1, last.clone())];
    Box::new(move |s: &ReceivedLine| {
        let data = s.line["data"].as_str();
        let Some((_, gate)) = gates.iter().find(|(held, _)| s.kind == "FN" && data == Some(*held)) else {
            return succeed(s);
        };
        assert!(wait_until(|| gate.load(Ordering::Relaxed)));
        vec![ScriptStep::Write(hit_line(s))]
    })
}

/// A call of a different function for each number, so that their preferred executors differ.
fn request(n: u64) -> WebRequest {
    WebRequest { key: format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)), ..WebRequest::new(n) }
}

fn held_request(n: u64, body: &[u8]) -> WebRequest {
    WebRequest { body: body.to_vec(), wait_ms: 120_000, ..request(n) }
}

/// A front end under a flood, with connections that were open before. Each has an open call, so that none may
/// be closed.
struct FloodedFrontEnd {
    rig: Rig,
    webs: Vec<WebConnection>,
    /// Opens the gate of the calls with the body `FIRST`.
    first: Arc<AtomicBool>,
    /// Opens the gate of the calls with the body `LAST`.
    last: Arc<AtomicBool>,
    flood: ConnectFlood,
    /// Number of the last call sent.
    next_call: u64,
}

impl FloodedFrontEnd {
    /// Starts a flood while this many connections are open.
    fn start(open: usize) -> FloodedFrontEnd {
        let (first, last) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let scripts = (0..3).map(|_| holding_script(&first, &last)).collect();
        let rig = Rig::start_with(scripts, |config| {
            config["limits"]["sockets"] = json!(SOCKETS);
            // The front end does not cancel held calls when their executor is silent.
            config["settings"]["allowed"]["mayCancel"] = json!(false);
        });
        let mut webs: Vec<WebConnection> = (0..open).map(|_| rig.web()).collect();
        for (web, n) in webs.iter_mut().zip(1..) {
            web.send(1, &held_request(n, LAST.0)).unwrap();
            web.send_health_check(2).unwrap();
            assert_eq!(web.answer().unwrap().number, 2, "its call has been read, and is open");
        }
        webs[0].send(2, &held_request(1000, FIRST.0)).unwrap();
        let received_first =
            |e: &Executor| e.received_of_kind("FN").iter().any(|s| s.line["data"] == FIRST.1);
        assert!(wait_until(|| rig.executors.iter().any(received_first)));
        let flood = ConnectFlood::start(rig.address, MAX_FLOOD_CONNECTIONS);
        assert!(wait_until(|| flood.made() >= MIN_FLOOD_CONNECTIONS), "{}", flood.made());
        FloodedFrontEnd { rig, webs, first, last, flood, next_call: 2000 }
    }

    /// Checks that the flood is still going on after this event.
    fn assert_flood_continues(&self, what: &str) {
        assert!(self.flood.is_below_limit(), "{what} only once the flood had ended");
        println!("{what}: {} connections", self.flood.made());
    }

    /// Sends one call on a connection that was open before the flood.
    fn call(&mut self) {
        self.next_call += 1;
        let web = &mut self.webs[0];
        web.send(3, &request(self.next_call)).unwrap();
        let answer = web.answer().unwrap();
        assert_eq!((answer.number, answer.status), (3, 200));
    }

    /// Sends calls until one arrives at this executor.
    fn call_until_at(&mut self, executor: &Executor) {
        assert!(wait_until(|| {
            self.call();
            !executor.received_of_kind("FN").is_empty()
        }));
    }
}

/// A front end continues all its other work during a flood of connections, both where these take the free
/// places and are evicted by the next ones, and where no place is free and each is rejected.
#[test]
fn a_flood_of_connections_delays_no_other_work() {
    for open in [1, CLIENT_CONNECTIONS] {
        let mut front_end = FloodedFrontEnd::start(open);
        front_end.call();
        front_end.assert_flood_continues("a call on an open connection was answered");

        front_end.first.store(true, Ordering::Relaxed);
        let answer = front_end.webs[0].answer().unwrap();
        assert_eq!((answer.number, answer.status), (2, 200));
        front_end.assert_flood_continues("an executor's answer was passed on");

        let (new, newer) = (Executor::start(succeed).unwrap(), Executor::start(succeed).unwrap());
        front_end.rig.discovery.send_changes(&[record(77, new.address, READY)]);
        front_end.call_until_at(&new);
        front_end.assert_flood_continues("a new executor got a call");

        front_end.rig.discovery.send_changes(&[record(77, new.address, DRAINING)]);
        front_end.rig.discovery.send_changes(&[record(78, newer.address, READY)]);
        front_end.call_until_at(&newer);
        let before = new.received_of_kind("FN").len();
        (0..20).for_each(|_| front_end.call());
        assert_eq!(new.received_of_kind("FN").len(), before, "no call goes to a draining executor");
        front_end.assert_flood_continues("a draining executor got no calls");

        let other_discovery = DiscoveryServer::start(4).unwrap();
        let mut moved = front_end.rig.config.clone();
        moved["board"] = json!(other_discovery.address);
        front_end.rig.replace_config(&moved.to_string());
        front_end.rig.signal("-HUP");
        assert!(wait_until(|| !other_discovery.requested().is_empty()));
        front_end.assert_flood_continues("SIGHUP was applied");

        front_end.rig.signal("-TERM");
        assert!(front_end.rig.wait_for_log(&["stopping"]));
        front_end.assert_flood_continues("SIGTERM was handled");
        front_end.last.store(true, Ordering::Relaxed);
        for web in &mut front_end.webs {
            let answer = web.answer().unwrap();
            assert_eq!((answer.number, answer.status), (1, 200));
        }
        assert_eq!(front_end.rig.wait_for_exit(), Some(0));
        front_end.assert_flood_continues("the front end ended");
    }
}

/// Checks the state that the test above relies on, in which no place is free: a new connection is rejected,
/// and the open calls continue.
#[test]
fn with_an_open_call_on_every_connection_a_new_connection_is_rejected() {
    let (first, last) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let rig = Rig::start_with(vec![holding_script(&first, &last)], |config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["settings"]["allowed"]["mayCancel"] = json!(false);
    });
    let mut webs: Vec<WebConnection> = (0..CLIENT_CONNECTIONS).map(|_| rig.web()).collect();
    for (web, n) in webs.iter_mut().zip(1..) {
        web.send(1, &held_request(n, LAST.0)).unwrap();
        web.send_health_check(2).unwrap();
        assert_eq!(web.answer().unwrap().number, 2);
    }
    let mut newcomer = rig.web();
    let _ = newcomer.send_health_check(1); // the connection may be closed already
    assert!(newcomer.answer().is_err());
    last.store(true, Ordering::Relaxed);
    assert!(webs.iter_mut().all(|web| web.answer().unwrap().status == 200));
    // A place is free again.
    assert_eq!(rig.health(), 200);
}
