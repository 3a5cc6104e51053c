//! An executor is removed, and another executor listens at its address. Nothing meant for the first may reach
//! the second, which has other functions loaded and another connection table, and for which nothing was
//! decided.

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

/// The id of the second executor.
const SUCCESSOR: u32 = 0xb000_0000;

fn long(n: u64) -> Ask {
    Ask { wait_ms: 120_000, ..Ask::new(n) }
}

/// A call that must not run twice.
fn book(n: u64) -> Ask {
    Ask { class: "book".into(), ..long(n) }
}

/// How service discovery announces that an executor has left its address and that another one is there.
#[derive(Clone, Copy, Debug)]
enum Announcement {
    /// Both change in one event.
    Together,
    /// The first executor drains before it is removed.
    Drains,
    /// A full list without the first executor.
    FullList,
    /// The first executor has another address.
    Moves,
}

/// An executor is removed while a connection to it is being established, and its successor accepts that
/// connection. The call that waited for the connection, or the load order ahead of it, must not be written on
/// it.
#[test]
fn work_waiting_for_a_removed_executor_never_reaches_its_successor_at_the_address() {
    use Announcement::{Drains, FullList, Moves, Together};
    for announcement in [Together, Drains, FullList, Moves] {
        for placement in [false, true] {
            let door = Door::shut().unwrap();
            let listed = [member(id(0), door.address, "in_service")];
            let rig = Rig::start_with(vec![], |config| {
                config["known"]["notices"][0]["pool"]["members"] = json!(listed);
                config["settings"]["allowed"]["connectTimeout"] = json!(20_000_000);
                // With this grace, queued work may still be sent long after a drain, so the drain alone holds
                // nothing back.
                config["settings"]["rules"]["stopSendingWithin"] = json!(60_000_000);
                config["settings"]["specifics"]["placementCalls"] = json!(placement);
            });
            let mut webs: Vec<Web> = vec![rig.web()];
            webs[0].ask(1, &long(1)).unwrap();
            assert!(until(|| !door.pending_ports().is_empty()));
            let old = door.pending_ports();

            let elsewhere = Executor::start(well).unwrap();
            let successor = record(SUCCESSOR, door.address, READY);
            match announcement {
                Together => rig.discovery.tell(&[record(id(0), door.address, GONE), successor]),
                Drains => {
                    rig.discovery.tell(&[record(id(0), door.address, DRAINING)]);
                    rig.discovery.tell(&[record(id(0), door.address, GONE), successor]);
                }
                FullList => rig.discovery.tell_whole(&[successor]),
                Moves => rig.discovery.tell(&[record(id(0), elsewhere.address, READY), successor]),
            }
            // Once the front end knows the successor, it opens a new connection for it.
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
            let successor = Executor::on(door.open().unwrap(), usize::MAX, well).unwrap();
            for web in &mut webs {
                assert_eq!(web.answer().unwrap().status, 200, "{announcement:?}");
            }
            // Everything written on the old connections has been read once they have ended.
            let misdirected =
                || -> Vec<Seen> { successor.seen().into_iter().filter(|s| old.contains(&s.from)).collect() };
            let ended = || {
                let up = door::established_ports(address);
                let doors = &successor.doors;
                let opened = doors.opened.load(Ordering::Relaxed);
                let closed = opened - doors.standing.load(Ordering::Relaxed).min(opened);
                door::knocking(address) == 0
                    && !up.iter().any(|port| old.contains(port))
                    && closed >= old.len()
            };
            assert!(until(|| !misdirected().is_empty() || ended()));
            let misdirected = misdirected();
            assert!(misdirected.is_empty(), "{announcement:?}, placement {placement}: {misdirected:?}");
        }
    }
}

/// A call is assigned to an executor in the same round in which the executor is removed. No connection is
/// opened for it to the address that the executor has left, even though an earlier call there is still open.
#[test]
fn no_connection_is_opened_to_the_address_of_a_removed_executor() {
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
    let rig = Rig::start_with(vec![script(), script()], |config| {
        // Calls are decided once per round: those that are read in between are decided together.
        config["settings"]["round"] = json!(1_000_000);
        config["settings"]["rules"]["stopSendingWithin"] = json!(60_000_000);
    });
    let (mut holds, mut web) = (rig.web(), rig.web());
    holds.ask(1, &Ask { body: b"held".to_vec(), ..book(1) }).unwrap();
    let calls = |e: &Executor| e.words("FN").len();
    assert!(until(|| rig.executors.iter().any(|e| calls(e) > 0)));
    let at = rig.executors.iter().position(|e| calls(e) > 0).unwrap();
    let (leaves, stays) = (&rig.executors[at], &rig.executors[1 - at]);

    // Opens a second connection, idle after this call, in addition to the one with the held call.
    web.ask(1, &book(2)).unwrap();
    assert_eq!(web.answer().unwrap().status, 200);
    assert_eq!(calls(leaves), 2, "the call goes where its function is loaded");
    let standing = || leaves.doors.standing.load(Ordering::Relaxed);
    let before = standing();
    // A round has just ended, so the next call waits for the next round.
    web.ask(1, &book(3)).unwrap();
    web.healthy(2).unwrap();
    assert_eq!(web.answer().unwrap().number, 2, "the call has been read");
    rig.discovery.tell(&[record(id(at), leaves.address, GONE), record(SUCCESSOR, leaves.address, DRAINING)]);
    // Once the front end has processed the announcement, it closes the idle connection.
    assert!(until(|| standing() < before));
    assert_eq!(calls(leaves), 2, "the third call was sent before its round ended");

    assert_eq!(web.answer().unwrap().status, 200);
    let opened = leaves.doors.opened.load(Ordering::Relaxed);
    assert_eq!((calls(leaves), opened), (2, before), "a connection was opened to the successor");
    assert_eq!(stays.words("FN").last().map(|s| s.req.clone()), Some(book(3).id));
    // The held call ends as usual.
    open.store(true, Ordering::Relaxed);
    assert_eq!(holds.answer().unwrap().status, 200);
}
