//! What is owed at an instant, and what crosses it: clients that leave, connections that end, lists told again. Each test brings
//! the front end into the exact state by peers that wait for it, not by time.

use crate::rig::*;
use badgerwind_platform::fcgi;
use badgerwind_standins::platform::discovery::{record, DiscoveryServer};
use badgerwind_standins::platform::executor::{
    answer_line, hit_line, succeed, Executor, ReceivedLine, ScriptStep,
};
use badgerwind_standins::platform::full_backlog::FullBacklog;
use badgerwind_standins::platform::web::{WebConnection, WebRequest};
use badgerwind_standins::platform::{configuration, list_member, wait_until};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

const READY: u8 = 0;
const DRAINING: u8 = 1;

/// Longer than any test waits.
const LONG_MS: u64 = 120_000;

fn long(n: u64) -> WebRequest {
    WebRequest { wait_ms: LONG_MS, ..WebRequest::new(n) }
}

fn book(n: u64) -> WebRequest {
    WebRequest { class: "book".into(), ..long(n) }
}

/// Does something else with calls only.
fn calls(with: impl Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync + 'static) -> Script {
    Box::new(move |s| if s.kind == "FN" { with(s) } else { succeed(s) })
}

fn tries(executor: &Executor, ask: &WebRequest) -> usize {
    executor.received_of_kind("FN").iter().filter(|s| s.req == ask.id).count()
}

/// Whatever was written to the front end before has been read once this is answered.
fn barrier(rig: &Rig) {
    (0..2).for_each(|_| assert!([200, 503].contains(&rig.health())));
}

#[test]
fn a_client_that_closes_its_connection_has_its_call_given_up() {
    let rig = Rig::start(vec![calls(|_| vec![])]);
    let mut web = rig.web();
    // One that must not run twice is never called off for its executor's silence.
    web.send(1, &book(1)).unwrap();
    assert!(wait_until(|| tries(&rig.executors[0], &book(1)) == 1));
    drop(web);
    assert!(wait_until(|| !rig.executors[0].received_of_kind("KILL").is_empty()), "nobody waits for it");
}

#[test]
fn no_further_attempt_begins_for_a_client_that_has_closed_its_connection() {
    let shed = Arc::new(AtomicBool::new(false));
    let told = shed.clone();
    let rig = Rig::start(vec![calls(move |s| match s.line["data"].as_str() {
        Some("bGVhdmVz") => {
            assert!(wait_until(|| told.load(Ordering::Relaxed)));
            vec![ScriptStep::Write(answer_line("SHED", s))]
        }
        _ => vec![ScriptStep::Write(hit_line(s))],
    })]);
    let mut web = rig.web();
    let left = WebRequest { body: b"leaves".to_vec(), ..long(1) };
    web.send(1, &left).unwrap();
    assert!(wait_until(|| tries(&rig.executors[0], &left) == 1));
    drop(web);
    barrier(&rig);
    shed.store(true, Ordering::Relaxed);
    // What comes after it is served, so that a further attempt of it would have come by then.
    for n in 2..6 {
        assert_eq!(rig.call(&long(n)).status, 200);
    }
    assert_eq!(tries(&rig.executors[0], &left), 1);
}

/// A connection that takes in nothing more, because of what its client sent, still hears that the client goes.
#[test]
fn a_doomed_connection_still_hears_its_clients_abort_and_close() {
    let mut too_long = Vec::new();
    fcgi::record(&mut too_long, fcgi::BEGIN_REQUEST, 2, &[0, 1, 1, 0, 0, 0, 0, 0]);
    fcgi::stream(&mut too_long, fcgi::PARAMS, 2, b"");
    fcgi::record(&mut too_long, fcgi::STDIN, 2, &[0; 20_000]);
    for (junk, abort) in
        [(b"GET / HTTP/1.1\r\n\r\n".to_vec(), false), (too_long.clone(), true), (too_long, false)]
    {
        let rig = Rig::start(vec![calls(|_| vec![])]);
        let mut web = rig.web();
        web.send(1, &book(1)).unwrap();
        assert!(wait_until(|| tries(&rig.executors[0], &book(1)) == 1));
        web.write(&junk).unwrap();
        barrier(&rig);
        assert!(rig.executors[0].received_of_kind("KILL").is_empty(), "it is owed its answer until then");
        if abort {
            web.abort(1).unwrap();
        } else {
            drop(web);
        }
        assert!(wait_until(|| !rig.executors[0].received_of_kind("KILL").is_empty()));
    }
}

/// A connection to an executor may take a second to come up. What waits for it belongs to clients that may have left by then.
#[test]
fn what_waits_for_a_connection_to_come_up_stays_back_when_its_client_leaves() {
    // By a withdrawal, where nothing may be called off; by a close, where it may.
    for (may_cancel, abort) in [(false, true), (true, false), (false, false)] {
        let door = FullBacklog::start().unwrap();
        let listed = [list_member(id(0), door.address, "in_service")];
        let rig = Rig::with(vec![], |config| {
            config["known"]["notices"][0]["pool"]["members"] = json!(listed);
            config["settings"]["allowed"]["mayCancel"] = json!(may_cancel);
            config["settings"]["allowed"]["connectTimeout"] = json!(20_000_000);
            // Calls go out at once, without a load order ahead of them.
            config["settings"]["specifics"]["placementCalls"] = json!(false);
            patient(config);
        });
        let mut leaves = rig.web();
        leaves.send(1, &long(1)).unwrap();
        assert!(wait_until(|| door.connecting() > 0));
        if abort {
            leaves.abort(1).unwrap();
        } else {
            drop(leaves);
        }
        barrier(&rig);
        // Connected only now: one that says nothing for two seconds is closed.
        let mut stays = rig.web();
        stays.send(1, &long(2)).unwrap();
        barrier(&rig);
        let executor = Executor::on(door.drain().unwrap(), usize::MAX, succeed).unwrap();
        assert_eq!(stays.answer().unwrap().status, 200);
        assert_eq!(tries(&executor, &long(1)), 0, "cancel {may_cancel}, abort {abort}");
        assert_eq!(tries(&executor, &long(2)), 1);
    }
}

/// Keeps a front end busy while it lives, so that it is stopped between reading and acting rather than asleep.
struct Busy(Arc<AtomicBool>, Vec<std::thread::JoinHandle<()>>);

impl Busy {
    fn with(rig: &Rig) -> Busy {
        let over = Arc::<AtomicBool>::default();
        let ask = |mut web: WebConnection| {
            let over = over.clone();
            std::thread::spawn(move || {
                while !over.load(Ordering::Relaxed)
                    && web.send_health_check(1).is_ok()
                    && web.answer().is_ok()
                {}
            })
        };
        let threads = (0..6).map(|_| ask(rig.web())).collect();
        Busy(over, threads)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        self.1.drain(..).for_each(|t| t.join().unwrap());
    }
}

/// An executor closes a connection that has been idle. Its close is here, but not read, when a call that must not run twice
/// is put on it: that call would count as one that may have run.
#[test]
fn a_close_that_was_not_read_yet_costs_no_call() {
    const CROSSINGS: usize = 30;
    const MOST_PLAYS: u64 = 10 * CROSSINGS as u64;
    let round = Duration::from_millis(100);
    let rig = Rig::with(vec![Box::new(succeed)], |config| {
        // Calls are handed over once in so long: the next one waits for its turn while the executor closes.
        config["settings"]["round"] = json!(round.as_micros() as u64);
    });
    let _busy = Busy::with(&rig);
    let mut web = rig.web();
    let mut crossings = 0;
    for play in 0..MOST_PLAYS {
        let (before, crosses) = (book(2 * play), book(2 * play + 1));
        web.send(1, &before).unwrap();
        assert_eq!(web.answer().unwrap().status, 200);
        let began = Instant::now();
        web.send(2, &crosses).unwrap();
        web.send_health_check(3).unwrap();
        assert_eq!(web.answer().unwrap().number, 3, "the call has been read");
        rig.freeze();
        // Frozen later than that, it may have sent the call already.
        let waits = began.elapsed() < round / 2;
        let opened = rig.executors[0].connections.accepted.load(Ordering::Relaxed);
        (0..opened).for_each(|connection| _ = rig.executors[0].close(connection));
        std::thread::sleep((round + Duration::from_millis(10)).saturating_sub(began.elapsed()));
        rig.thaw();
        let answer = web.answer().unwrap();
        if !waits {
            continue;
        }
        assert_eq!(answer.status, 200, "play {play}");
        assert_eq!(tries(&rig.executors[0], &crosses), 1);
        crossings += 1;
        if crossings == CROSSINGS {
            return;
        }
    }
    panic!("the machine was not at rest: {crossings} of {MOST_PLAYS} plays were frozen in time");
}

/// A second answer may come some milliseconds after the first. Taken for the answer to the next attempt of the same call, it would
/// end that one while it runs, and a third would begin beside it.
#[test]
fn a_second_answer_never_ends_the_next_attempt_of_its_call() {
    for word in ["SHED", "NONE", "FAULT"] {
        let (first, told, ends) =
            (OnceLock::new(), Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let (told_twice, may_end) = (told.clone(), ends.clone());
        let asked = long(1);
        let script = calls(move |s| {
            if s.req != long(1).id {
                return vec![ScriptStep::Write(hit_line(s))];
            }
            if first.set(s.connection).is_ok() {
                return vec![ScriptStep::Write(answer_line(word, s))];
            }
            // The second answer comes as the first did, while the next attempt is out.
            let second = ScriptStep::WriteOn(*first.get().unwrap(), answer_line(word, s));
            let (told, ends) = (told_twice.clone(), may_end.clone());
            let held = ScriptStep::WaitUntil(Arc::new(move || {
                told.store(true, Ordering::Relaxed);
                ends.load(Ordering::Relaxed)
            }));
            vec![second, held, ScriptStep::Write(hit_line(s))]
        });
        // An attempt that is called off for silence would be followed by a third, rightly.
        let rig = Rig::with(vec![script], |config| config["settings"]["allowed"]["mayCancel"] = json!(false));
        let mut web = rig.web();
        web.send(1, &asked).unwrap();
        assert!(wait_until(|| told.load(Ordering::Relaxed)), "{word}");
        barrier(&rig);
        // What comes after it is served, so that a third attempt would have come by then.
        for n in 2..6 {
            assert_eq!(rig.call(&long(n)).status, 200);
        }
        assert_eq!(tries(&rig.executors[0], &asked), 2, "{word}");
        ends.store(true, Ordering::Relaxed);
        assert_eq!(web.answer().unwrap().status, 200);
        assert_eq!(tries(&rig.executors[0], &asked), 2, "{word}");
    }
}

/// The same executor at another address is another machine: what is busy on the way to the old one leads nowhere new.
#[test]
fn nothing_new_goes_to_the_address_that_an_executor_has_left() {
    let rig = Rig::start(vec![calls(|s| match s.line["data"].as_str() {
        Some("c3RheXM=") => vec![],
        _ => vec![ScriptStep::Write(hit_line(s))],
    })]);
    let mut web = rig.web();
    assert_eq!(rig.call(&long(1)).status, 200);
    web.send(1, &WebRequest { body: b"stays".to_vec(), ..long(2) }).unwrap();
    assert!(wait_until(|| tries(&rig.executors[0], &long(2)) == 1));
    let new = Executor::start(succeed).unwrap();
    rig.board.send_changes(&[record(id(0), new.address, READY)]);
    let mut n = 100;
    assert!(wait_until(|| {
        n += 1;
        assert_eq!(rig.call(&long(n)).status, 200);
        !new.received_of_kind("FN").is_empty()
    }));
    let before = rig.executors[0].received_of_kind("FN").len();
    (0..20).for_each(|k| assert_eq!(rig.call(&long(1000 + k)).status, 200));
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
}

/// A board that has lost events tells all from its start, also that executors were ready which drain since.
#[test]
fn a_list_told_again_from_its_start_brings_back_nobody_who_drains() {
    let rig = Rig::well();
    let address = rig.executors[0].address;
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    rig.board.set_initial_list(&[record(id(0), address, READY)]);
    rig.board.send_changes(&[record(id(0), address, DRAINING)]);
    let mut n = 10;
    assert!(wait_until(|| {
        n += 1;
        rig.call(&WebRequest { wait_ms: 200, ..WebRequest::new(n) }).status != 200
    }));
    let before = rig.executors[0].received_of_kind("FN").len();
    // Told again, it stops after the first event: that the executor was ready.
    rig.board.set_last_sent(1);
    rig.board.skip_events(3);
    rig.board.send_changes(&[record(77, address, DRAINING)]);
    assert!(
        wait_until(|| rig.board.requested().contains(&0)),
        "a gap is noticed: {:?}",
        rig.board.requested()
    );
    // Event 1 is written in the same turn as the number is read, and an empty frame a second later.
    let since = Instant::now();
    let mut n = 500;
    while since.elapsed() < Duration::from_millis(1_500) {
        n += 1;
        rig.call(&WebRequest { wait_ms: 100, ..WebRequest::new(n) });
    }
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
    // Once it has caught up, it is followed as before.
    let new = Executor::start(succeed).unwrap();
    rig.board.send_changes(&[record(78, new.address, READY)]);
    rig.board.set_last_sent(u64::MAX);
    assert!(wait_until(|| {
        n += 1;
        rig.call(&WebRequest { wait_ms: 300, ..WebRequest::new(n) }).status == 200
    }));
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
}

/// A whole list with fewer executors tells that the others are gone, as well as words of their own would.
#[test]
fn who_is_not_in_a_whole_list_told_again_takes_nothing_new() {
    let rig = Rig::start(vec![Box::new(succeed), Box::new(succeed)]);
    let key = |n: u64| WebRequest { key: format!("{n:016x}"), ..WebRequest::new(n) };
    (1..20).for_each(|n| assert_eq!(rig.call(&key(n)).status, 200));
    assert!(rig.executors.iter().all(|e| !e.received_of_kind("FN").is_empty()));
    rig.board.send_full_list(&[record(id(1), rig.executors[1].address, READY)]);
    let new = Executor::start(succeed).unwrap();
    rig.board.send_changes(&[record(77, new.address, READY)]);
    let mut n = 100;
    // What came after it has been heard of, so that it has.
    assert!(wait_until(|| {
        n += 1;
        assert_eq!(rig.call(&key(n)).status, 200);
        !new.received_of_kind("FN").is_empty()
    }));
    let before = rig.executors[0].received_of_kind("FN").len();
    (1000..1040).for_each(|n| assert_eq!(rig.call(&key(n)).status, 200));
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
}

/// A connection that has been idle may go to make room, or after a time. A request whose last byte is here is taken, read or not.
#[test]
fn a_request_that_was_not_read_yet_keeps_its_connection() {
    // To make room: one more connection than the front end holds comes while it has no core.
    let rig = Rig::with(vec![Box::new(succeed)], |config| config["limits"]["sockets"] = json!(64));
    let held = 18;
    let mut webs: Vec<WebConnection> = Vec::new();
    for _ in 0..held {
        let mut web = rig.web();
        web.send_health_check(1).unwrap();
        web.answer().unwrap();
        webs.push(web);
    }
    rig.freeze();
    let newcomers: Vec<WebConnection> = (0..3).map(|_| rig.web()).collect();
    webs[0].send(1, &long(1)).unwrap();
    rig.thaw();
    assert_eq!(webs[0].answer().map(|a| a.status).ok(), Some(200), "to make room");
    drop(newcomers);

    // After a time: one that has said nothing goes after two seconds.
    let rig = Rig::well();
    let _busy = Busy::with(&rig);
    for round in 0..3u64 {
        let mut webs: Vec<WebConnection> = (0..4).map(|_| rig.web()).collect();
        barrier(&rig);
        rig.freeze();
        webs.iter_mut().zip(1..).for_each(|(web, n)| web.send(1, &long(10 * round + n)).unwrap());
        std::thread::sleep(Duration::from_millis(2_300));
        rig.thaw();
        for web in &mut webs {
            assert_eq!(web.answer().map(|a| a.status).ok(), Some(200), "after a time");
        }
    }
}

/// The machine gives fewer descriptors than the configuration says: those who only hold theirs go, those who ask are served, and
/// a board that moves is followed.
#[test]
fn a_machine_short_of_descriptors_serves_those_who_ask_and_follows_its_board() {
    let board = DiscoveryServer::start(2).unwrap();
    let executors: Vec<_> = (0..3).map(|_| Executor::start(succeed).unwrap()).collect();
    let listed: Vec<_> =
        executors.iter().enumerate().map(|(n, e)| list_member(id(n), e.address, "in_service")).collect();
    let config = configuration("127.0.0.1:0".parse().unwrap(), board.address, &listed);
    let front = Front::start_with_descriptors(40, config.clone());
    assert!(wait_until(|| !board.requested().is_empty()));
    let over = Arc::<AtomicBool>::default();
    let mut holders = Vec::new();
    for _ in 0..60 {
        let mut web = front.web();
        web.send_health_check(1).unwrap();
        assert_eq!(web.answer().map(|a| a.status).ok(), Some(200), "holder {}", holders.len());
        // Each says something now and then, so that it is never closed for its silence alone.
        let over = over.clone();
        holders.push(std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) && web.send_health_check(1).is_ok() && web.answer().is_ok() {
                std::thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    for n in 0..30 {
        let key = format!("{n:016x}");
        assert_eq!(front.call(&WebRequest { key, ..WebRequest::new(n) }).status, 200, "call {n}");
    }
    let other = DiscoveryServer::start(2).unwrap();
    let mut moved = config;
    moved["board"] = json!(other.address);
    front.replace(&moved.to_string());
    front.signal("-HUP");
    assert!(wait_until(|| !other.requested().is_empty()));
    assert!(front.descriptors() <= 40);
    over.store(true, Ordering::Relaxed);
    holders.into_iter().for_each(|t| t.join().unwrap());
}

/// A configuration told while every descriptor is in use must not be lost: discovery has moved, and nobody tells so again.
#[test]
fn a_configuration_is_read_again_though_every_descriptor_is_in_use() {
    const MOST: usize = 40;
    let board = DiscoveryServer::start(2).unwrap();
    let config = configuration("127.0.0.1:0".parse().unwrap(), board.address, &[]);
    let front = Front::start_with_descriptors(MOST, config.clone());
    assert!(wait_until(|| !board.requested().is_empty()));
    let mut holders = Vec::new();
    // Those beyond its limit were handed to it at its start.
    while front.descriptors_below(MOST) < MOST {
        let mut web = front.web();
        web.send_health_check(1).unwrap();
        assert!(web.answer().is_ok());
        holders.push(web);
    }
    let other = DiscoveryServer::start(2).unwrap();
    let mut moved = config;
    moved["board"] = json!(other.address);
    front.replace(&moved.to_string());
    front.signal("-HUP");
    assert!(wait_until(|| !other.requested().is_empty()), "{:?}", front.lines());
}
