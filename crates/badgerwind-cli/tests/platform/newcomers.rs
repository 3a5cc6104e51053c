//! An executor goes away, and another process listens at its address. Nothing meant for the first may reach the second: it has
//! other functions loaded, another table, and no part in what was decided for the first.

use crate::rig::*;
use badgerwind_standins::platform::board::record;
use badgerwind_standins::platform::door::{self, Door};
use badgerwind_standins::platform::executor::{hit, well, Do, Executor, Seen};
use badgerwind_standins::platform::web::{Ask, Web};
use badgerwind_standins::platform::{member, until};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const READY: u8 = 0;
const DRAINING: u8 = 1;
const GONE: u8 = 2;

/// The newcomer's id.
const NEWCOMER: u32 = 0xb000_0000;

fn long(n: u64) -> Ask {
    Ask { wait_ms: 120_000, ..Ask::new(n) }
}

fn book(n: u64) -> Ask {
    Ask { class: "book".into(), ..long(n) }
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
            let door = Door::shut().unwrap();
            let listed = [member(id(0), door.address, "in_service")];
            let rig = Rig::with(vec![], |config| {
                config["known"]["notices"][0]["pool"]["members"] = json!(listed);
                config["settings"]["allowed"]["connectTimeout"] = json!(20_000_000);
                // What was queued may still go out long after a drain was told: that alone keeps nothing back.
                config["settings"]["rules"]["stopSendingWithin"] = json!(60_000_000);
                config["settings"]["specifics"]["placementCalls"] = json!(placement);
            });
            let mut webs: Vec<Web> = vec![rig.web()];
            webs[0].ask(1, &long(1)).unwrap();
            assert!(until(|| !door.pending_ports().is_empty()));
            let old = door.pending_ports();

            let elsewhere = Executor::start(well).unwrap();
            let newcomer = record(NEWCOMER, door.address, READY);
            match told {
                Told::Together => rig.board.tell(&[record(id(0), door.address, GONE), newcomer]),
                Told::Drains => {
                    rig.board.tell(&[record(id(0), door.address, DRAINING)]);
                    rig.board.tell(&[record(id(0), door.address, GONE), newcomer]);
                }
                Told::Whole => rig.board.tell_whole(&[newcomer]),
                Told::Moves => rig.board.tell(&[record(id(0), elsewhere.address, READY), newcomer]),
            }
            // A connection of the newcomer's own is wanted once it has been heard of.
            let mut n = 1;
            assert!(until(|| {
                n += 1;
                let mut web = rig.web();
                let key = format!("{n:016x}");
                web.ask(1, &Ask { key, ..long(n) }).unwrap();
                webs.push(web);
                door.pending_ports().iter().any(|port| !old.contains(port))
            }));

            let address = door.address;
            let newcomer = Executor::on(door.open().unwrap(), usize::MAX, well).unwrap();
            for web in &mut webs {
                assert_eq!(web.answer().unwrap().status, 200, "{told:?}");
            }
            // Whatever was written on the old connections has been read once they have ended.
            let meant =
                || -> Vec<Seen> { newcomer.seen().into_iter().filter(|s| old.contains(&s.from)).collect() };
            let ended = || {
                let up = door::established_ports(address);
                let doors = &newcomer.doors;
                let opened = doors.opened.load(Ordering::Relaxed);
                let over = opened - doors.standing.load(Ordering::Relaxed).min(opened);
                door::knocking(address) == 0 && !up.iter().any(|port| old.contains(port)) && over >= old.len()
            };
            assert!(until(|| !meant().is_empty() || ended()));
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
        Box::new(move |s: &Seen| match s.line["data"].as_str() {
            Some("aGVsZA==") => {
                assert!(until(|| open.load(Ordering::Relaxed)));
                vec![Do::Write(hit(s))]
            }
            _ => well(s),
        })
    };
    let rig = Rig::with(vec![script(), script()], |config| {
        // Calls are handed over once in so long: what is read meanwhile is decided together.
        config["settings"]["round"] = json!(1_000_000);
        config["settings"]["rules"]["stopSendingWithin"] = json!(60_000_000);
    });
    let (mut holds, mut web) = (rig.web(), rig.web());
    holds.ask(1, &Ask { body: b"held".to_vec(), ..book(1) }).unwrap();
    let calls = |e: &Executor| e.words("FN").len();
    assert!(until(|| rig.executors.iter().any(|e| calls(e) > 0)));
    let at = rig.executors.iter().position(|e| calls(e) > 0).unwrap();
    let (leaves, stays) = (&rig.executors[at], &rig.executors[1 - at]);

    // A second connection, on which nothing is, beside the one with the call that is held.
    web.ask(1, &book(2)).unwrap();
    assert_eq!(web.answer().unwrap().status, 200);
    assert_eq!(calls(leaves), 2, "where its function is loaded");
    let standing = || leaves.doors.standing.load(Ordering::Relaxed);
    let before = standing();
    // A turn has just been: the next call waits for the next one.
    web.ask(1, &book(3)).unwrap();
    web.healthy(2).unwrap();
    assert_eq!(web.answer().unwrap().number, 2, "the call has been read");
    rig.board.tell(&[record(id(at), leaves.address, GONE), record(NEWCOMER, leaves.address, DRAINING)]);
    // The news has been taken in: what was idle has gone.
    assert!(until(|| standing() < before));
    assert_eq!(calls(leaves), 2, "the call has not had its turn");

    assert_eq!(web.answer().unwrap().status, 200);
    let opened = leaves.doors.opened.load(Ordering::Relaxed);
    assert_eq!((calls(leaves), opened), (2, before), "the newcomer was connected to");
    assert_eq!(stays.words("FN").last().map(|s| s.req.clone()), Some(book(3).id));
    // What is out there ends as ever.
    open.store(true, Ordering::Relaxed);
    assert_eq!(holds.answer().unwrap().status, 200);
}
