//! Strangers connect without pause. Verdicts are on order alone: each thing happens while the flood goes on. How many connections
//! that takes follows from what the front end lets in, not from how fast anything is. A program of its own, so that the flood runs
//! beside no other test.

#[allow(dead_code)] // the platform's other tests use the rest
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

/// The least that a configuration may answer_line, and the connections of clients that a front end holds with it.
const SOCKETS: usize = 64;
const PLACES: usize = 18;
/// The flood's bound. What each test asks for takes a small part of it.
const MOST: usize = 200_000;
/// Connections after which the front end has met the flood: more than wait at once.
const MET: usize = 2_000;

/// The body of a call that an executor holds until it is told to answer; base64 is what its line says.
const FIRST: (&[u8], &str) = (b"first", "Zmlyc3Q=");
const LAST: (&[u8], &str) = (b"last", "bGFzdA==");

/// Calls that are held until their gate is open; everything else is done well.
fn holding(first: &Arc<AtomicBool>, last: &Arc<AtomicBool>) -> Script {
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

/// Another function with each number, so that they are at home at different executors.
fn ask(n: u64) -> WebRequest {
    WebRequest { key: format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)), ..WebRequest::new(n) }
}

fn held(n: u64, body: &[u8]) -> WebRequest {
    WebRequest { body: body.to_vec(), wait_ms: 120_000, ..ask(n) }
}

/// A front end under a flood, and connections that were open before it: each has an open call, so that none of them may go.
struct Flooded {
    rig: Rig,
    webs: Vec<WebConnection>,
    first: Arc<AtomicBool>,
    last: Arc<AtomicBool>,
    flood: ConnectFlood,
    next: u64,
}

impl Flooded {
    /// So many connections are open when the flood begins.
    fn start(open: usize) -> Flooded {
        let (first, last) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let scripts = (0..3).map(|_| holding(&first, &last)).collect();
        let rig = Rig::start_with(scripts, |config| {
            config["limits"]["sockets"] = json!(SOCKETS);
            // What is held is not called off for its executor's silence.
            config["settings"]["allowed"]["mayCancel"] = json!(false);
        });
        let mut webs: Vec<WebConnection> = (0..open).map(|_| rig.web()).collect();
        for (web, n) in webs.iter_mut().zip(1..) {
            web.send(1, &held(n, LAST.0)).unwrap();
            web.send_health_check(2).unwrap();
            assert_eq!(web.answer().unwrap().number, 2, "its call has been read, and is open");
        }
        webs[0].send(2, &held(1000, FIRST.0)).unwrap();
        let came = |e: &Executor| e.received_of_kind("FN").iter().any(|s| s.line["data"] == FIRST.1);
        assert!(wait_until(|| rig.executors.iter().any(came)));
        let flood = ConnectFlood::start(rig.address, MOST);
        assert!(wait_until(|| flood.made() >= MET), "{}", flood.made());
        Flooded { rig, webs, first, last, flood, next: 2000 }
    }

    /// It was so while the flood went on.
    fn during(&self, what: &str) {
        assert!(self.flood.is_below_limit(), "{what} only once the flood was over");
        println!("{what}: {} connections", self.flood.made());
    }

    /// One call on a connection that was open before the flood.
    fn call(&mut self) {
        self.next += 1;
        let web = &mut self.webs[0];
        web.send(3, &ask(self.next)).unwrap();
        let answer = web.answer().unwrap();
        assert_eq!((answer.number, answer.status), (3, 200));
    }

    /// Calls until one comes to this executor.
    fn comes_to(&mut self, executor: &Executor) {
        assert!(wait_until(|| {
            self.call();
            !executor.received_of_kind("FN").is_empty()
        }));
    }
}

/// All that a front end does for others goes on while strangers connect: where they take the places that are free and lose them
/// to the next, and where no place is free and each is turned away.
#[test]
fn strangers_that_connect_without_pause_hold_up_nobody() {
    for open in [1, PLACES] {
        let mut f = Flooded::start(open);
        f.call();
        f.during("a call on an open connection was answered");

        f.first.store(true, Ordering::Relaxed);
        let answer = f.webs[0].answer().unwrap();
        assert_eq!((answer.number, answer.status), (2, 200));
        f.during("an executor's answer was passed on");

        let (new, newer) = (Executor::start(succeed).unwrap(), Executor::start(succeed).unwrap());
        f.rig.discovery.send_changes(&[record(77, new.address, READY)]);
        f.comes_to(&new);
        f.during("a new executor was taken in");

        f.rig.discovery.send_changes(&[record(77, new.address, DRAINING)]);
        f.rig.discovery.send_changes(&[record(78, newer.address, READY)]);
        f.comes_to(&newer);
        let before = new.received_of_kind("FN").len();
        (0..20).for_each(|_| f.call());
        assert_eq!(new.received_of_kind("FN").len(), before, "nothing goes to one that drains");
        f.during("an executor that drains was left alone");

        let other = DiscoveryServer::start(4).unwrap();
        let mut moved = f.rig.config.clone();
        moved["board"] = json!(other.address);
        f.rig.replace_config(&moved.to_string());
        f.rig.signal("-HUP");
        assert!(wait_until(|| !other.requested().is_empty()));
        f.during("SIGHUP was followed");

        f.rig.signal("-TERM");
        assert!(f.rig.wait_for_log(&["stopping"]));
        f.during("SIGTERM was heard");
        f.last.store(true, Ordering::Relaxed);
        for web in &mut f.webs {
            let answer = web.answer().unwrap();
            assert_eq!((answer.number, answer.status), (1, 200));
        }
        assert_eq!(f.rig.wait_for_exit(), Some(0));
        f.during("it ended");
    }
}

/// The state that the test above means by "no place is free": whoever comes is turned away, and the open calls stay.
#[test]
fn with_an_open_call_in_each_place_a_newcomer_is_turned_away() {
    let (first, last) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let rig = Rig::start_with(vec![holding(&first, &last)], |config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["settings"]["allowed"]["mayCancel"] = json!(false);
    });
    let mut webs: Vec<WebConnection> = (0..PLACES).map(|_| rig.web()).collect();
    for (web, n) in webs.iter_mut().zip(1..) {
        web.send(1, &held(n, LAST.0)).unwrap();
        web.send_health_check(2).unwrap();
        assert_eq!(web.answer().unwrap().number, 2);
    }
    let mut newcomer = rig.web();
    let _ = newcomer.send_health_check(1); // it may be closed by now
    assert!(newcomer.answer().is_err());
    last.store(true, Ordering::Relaxed);
    assert!(webs.iter_mut().all(|web| web.answer().unwrap().status == 200));
    // A place is free again.
    assert_eq!(rig.health(), 200);
}
