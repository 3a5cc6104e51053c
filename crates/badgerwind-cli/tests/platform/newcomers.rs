//! An executor goes away, and another process listens at its address. Nothing meant for the first may reach the second: it has
//! other functions loaded, another table, and no part in what was decided for the first.

use crate::rig::*;
use badgerwind_standins::platform::discovery::record;
use badgerwind_standins::platform::executor::{hit_line, succeed, Executor, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::full_backlog::{self, FullBacklog};
use badgerwind_standins::platform::web::{WebConnection, WebRequest};
use badgerwind_standins::platform::{list_member, wait_until};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const READY: u8 = 0;
const DRAINING: u8 = 1;
const GONE: u8 = 2;

/// The newcomer's id.
const NEWCOMER: u32 = 0xb000_0000;

fn long(n: u64) -> WebRequest {
    WebRequest { wait_ms: 120_000, ..WebRequest::new(n) }
}

fn book(n: u64) -> WebRequest {
    WebRequest { class: "book".into(), ..long(n) }
}

/// How the board says that an executor is gone from its address and that another one is there.
#[derive(Clone, Copy, Debug)]
enum Told {
    /// Both change in one event.
    Together,
    /// It drains first.
    Drains,
    /// A whole list that it is not in.
    Whole,
    /// It has another address.
    Moves,
}

/// While a connection to an executor comes up, the executor goes, and a newcomer listens at its address when it is up. What
/// waited for the connection, a call or the load order ahead of it, is not written on it.
#[test]
fn what_waits_for_an_executor_that_has_gone_never_reaches_the_newcomer_at_its_address() {
    for told in [Told::Together, Told::Drains, Told::Whole, Told::Moves] {
        for placement in [false, true] {
            let door = FullBacklog::start().unwrap();
            let listed = [list_member(id(0), door.address, "in_service")];
            let rig = Rig::with(vec![], |config| {
                config["known"]["notices"][0]["pool"]["members"] = json!(listed);
                config["settings"]["allowed"]["connectTimeout"] = json!(20_000_000);
                // What was queued may still go out long after a drain was told: that alone keeps nothing back.
                config["settings"]["rules"]["stopSendingWithin"] = json!(60_000_000);
                config["settings"]["specifics"]["placementCalls"] = json!(placement);
            });
            let mut webs: Vec<WebConnection> = vec![rig.web()];
            webs[0].send(1, &long(1)).unwrap();
            assert!(wait_until(|| !door.pending_ports().is_empty()));
            let old = door.pending_ports();

            let elsewhere = Executor::start(succeed).unwrap();
            let newcomer = record(NEWCOMER, door.address, READY);
            match told {
                Told::Together => rig.board.send_changes(&[record(id(0), door.address, GONE), newcomer]),
                Told::Drains => {
                    rig.board.send_changes(&[record(id(0), door.address, DRAINING)]);
                    rig.board.send_changes(&[record(id(0), door.address, GONE), newcomer]);
                }
                Told::Whole => rig.board.send_full_list(&[newcomer]),
                Told::Moves => rig.board.send_changes(&[record(id(0), elsewhere.address, READY), newcomer]),
            }
            // A connection of the newcomer's own is wanted once it has been heard of.
            let mut n = 1;
            assert!(wait_until(|| {
                n += 1;
                let mut web = rig.web();
                let key = format!("{n:016x}");
                web.send(1, &WebRequest { key, ..long(n) }).unwrap();
                webs.push(web);
                door.pending_ports().iter().any(|port| !old.contains(port))
            }));

            let address = door.address;
            let newcomer = Executor::on(door.drain().unwrap(), usize::MAX, succeed).unwrap();
            for web in &mut webs {
                assert_eq!(web.answer().unwrap().status, 200, "{told:?}");
            }
            // Whatever was written on the old connections has been read once they have ended.
            let meant = || -> Vec<ReceivedLine> {
                newcomer.received().into_iter().filter(|s| old.contains(&s.peer_port)).collect()
            };
            let ended = || {
                let up = full_backlog::established_ports(address);
                let connections = &newcomer.connections;
                let opened = connections.accepted.load(Ordering::Relaxed);
                let over = opened - connections.open.load(Ordering::Relaxed).min(opened);
                full_backlog::connecting(address) == 0
                    && !up.iter().any(|port| old.contains(port))
                    && over >= old.len()
            };
            assert!(wait_until(|| !meant().is_empty() || ended()));
            let meant = meant();
            assert!(meant.is_empty(), "{told:?}, placement {placement}: {meant:?}");
        }
    }
}

/// A call was decided for an executor in the same turn in which it went. No connection is opened for it to the address that the
/// executor has left, though something of the executor's is still out.
#[test]
fn no_connection_is_opened_to_the_address_of_one_that_has_gone() {
    let open = Arc::<AtomicBool>::default();
    let script = || -> Script {
        let open = open.clone();
        Box::new(move |s: &ReceivedLine| match s.line["data"].as_str() {
            Some("aGVsZA==") => {
                assert!(wait_until(|| open.load(Ordering::Relaxed)));
                vec![ScriptStep::Write(hit_line(s))]
            }
            _ => succeed(s),
        })
    };
    let rig = Rig::with(vec![script(), script()], |config| {
        // Calls are handed over once in so long: what is read meanwhile is decided together.
        config["settings"]["round"] = json!(1_000_000);
        config["settings"]["rules"]["stopSendingWithin"] = json!(60_000_000);
    });
    let (mut holds, mut web) = (rig.web(), rig.web());
    holds.send(1, &WebRequest { body: b"held".to_vec(), ..book(1) }).unwrap();
    let calls = |e: &Executor| e.received_of_kind("FN").len();
    assert!(wait_until(|| rig.executors.iter().any(|e| calls(e) > 0)));
    let at = rig.executors.iter().position(|e| calls(e) > 0).unwrap();
    let (leaves, stays) = (&rig.executors[at], &rig.executors[1 - at]);

    // A second connection, on which nothing is, beside the one with the call that is held.
    web.send(1, &book(2)).unwrap();
    assert_eq!(web.answer().unwrap().status, 200);
    assert_eq!(calls(leaves), 2, "where its function is loaded");
    let standing = || leaves.connections.open.load(Ordering::Relaxed);
    let before = standing();
    // A turn has just been: the next call waits for the next one.
    web.send(1, &book(3)).unwrap();
    web.send_health_check(2).unwrap();
    assert_eq!(web.answer().unwrap().number, 2, "the call has been read");
    rig.board
        .send_changes(&[record(id(at), leaves.address, GONE), record(NEWCOMER, leaves.address, DRAINING)]);
    // The news has been taken in: what was idle has gone.
    assert!(wait_until(|| standing() < before));
    assert_eq!(calls(leaves), 2, "the call has not had its turn");

    assert_eq!(web.answer().unwrap().status, 200);
    let opened = leaves.connections.accepted.load(Ordering::Relaxed);
    assert_eq!((calls(leaves), opened), (2, before), "the newcomer was connected to");
    assert_eq!(stays.received_of_kind("FN").last().map(|s| s.req.clone()), Some(book(3).id));
    // What is out there ends as ever.
    open.store(true, Ordering::Relaxed);
    assert_eq!(holds.answer().unwrap().status, 200);
}
