//! Races between calls and clients that leave, connections that close, lists that are sent again and
//! descriptors that run out. Scripted peers bring the front end into the exact state under test and wait for
//! it, mostly without relying on time.

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

/// Longer than any wait of these tests.
const LONG_MS: u64 = 120_000;

fn long(n: u64) -> WebRequest {
    WebRequest { wait_ms: LONG_MS, ..WebRequest::new(n) }
}

/// A call that must not run twice.
fn book(n: u64) -> WebRequest {
    WebRequest { class: "book".into(), ..long(n) }
}

/// Handles calls with this function and everything else as a working executor does.
fn on_call(handler: impl Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync + 'static) -> Script {
    Box::new(move |s| if s.kind == "FN" { handler(s) } else { succeed(s) })
}

/// The number of attempts of a call that an executor has received.
fn attempts(executor: &Executor, ask: &WebRequest) -> usize {
    executor.received_of_kind("FN").iter().filter(|s| s.req == ask.id).count()
}

/// Returns once the front end has read everything that was written to it before.
fn barrier(rig: &Rig) {
    (0..2).for_each(|_| assert!([200, 503].contains(&rig.health())));
}

#[test]
fn a_call_whose_client_disconnects_is_cancelled() {
    let rig = Rig::start(vec![on_call(|_| vec![])]);
    let mut web = rig.web();
    // A call that must not run twice is never cancelled for the silence of its executor.
    web.send(1, &book(1)).unwrap();
    assert!(wait_until(|| attempts(&rig.executors[0], &book(1)) == 1));
    drop(web);
    assert!(
        wait_until(|| !rig.executors[0].received_of_kind("KILL").is_empty()),
        "the attempt is not cancelled"
    );
}

#[test]
fn no_further_attempt_starts_for_a_client_that_has_disconnected() {
    let shed = Arc::new(AtomicBool::new(false));
    let may_shed = shed.clone();
    let rig = Rig::start(vec![on_call(move |s| match s.line["data"].as_str() {
        Some("bGVhdmVz") => {
            assert!(wait_until(|| may_shed.load(Ordering::Relaxed)));
            vec![ScriptStep::Write(answer_line("SHED", s))]
        }
        _ => vec![ScriptStep::Write(hit_line(s))],
    })]);
    let mut web = rig.web();
    let left = WebRequest { body: b"leaves".to_vec(), ..long(1) };
    web.send(1, &left).unwrap();
    assert!(wait_until(|| attempts(&rig.executors[0], &left) == 1));
    drop(web);
    barrier(&rig);
    shed.store(true, Ordering::Relaxed);
    // Later calls are served, so a further attempt would have arrived by then.
    for n in 2..6 {
        assert_eq!(rig.call(&long(n)).status, 200);
    }
    assert_eq!(attempts(&rig.executors[0], &left), 1);
}

/// After malformed input, a connection accepts no further requests but stays open for its answers. An abort
/// of the client and a close must still cancel its calls.
#[test]
fn a_connection_with_malformed_input_still_handles_abort_and_close() {
    let mut too_long = Vec::new();
    fcgi::write_record(&mut too_long, fcgi::BEGIN_REQUEST, 2, &[0, 1, 1, 0, 0, 0, 0, 0]);
    fcgi::write_stream(&mut too_long, fcgi::PARAMS, 2, b"");
    fcgi::write_record(&mut too_long, fcgi::STDIN, 2, &[0; 20_000]);
    for (junk, abort) in
        [(b"GET / HTTP/1.1\r\n\r\n".to_vec(), false), (too_long.clone(), true), (too_long, false)]
    {
        let rig = Rig::start(vec![on_call(|_| vec![])]);
        let mut web = rig.web();
        web.send(1, &book(1)).unwrap();
        assert!(wait_until(|| attempts(&rig.executors[0], &book(1)) == 1));
        web.write(&junk).unwrap();
        barrier(&rig);
        assert!(
            rig.executors[0].received_of_kind("KILL").is_empty(),
            "the call was cancelled before its client left"
        );
        if abort {
            web.abort(1).unwrap();
        } else {
            drop(web);
        }
        assert!(wait_until(|| !rig.executors[0].received_of_kind("KILL").is_empty()));
    }
}

/// Establishing a connection to an executor can take a second. The clients whose calls wait for it may have
/// left by then.
#[test]
fn calls_waiting_for_a_connection_are_not_sent_after_their_client_left() {
    // The client leaves by an abort or by a close, with and without the right to cancel attempts.
    for (may_cancel, abort) in [(false, true), (true, false), (false, false)] {
        let door = FullBacklog::start().unwrap();
        let listed = [list_member(id(0), door.address, "in_service")];
        let rig = Rig::start_with(vec![], |config| {
            config["known"]["notices"][0]["pool"]["members"] = json!(listed);
            config["settings"]["allowed"]["mayCancel"] = json!(may_cancel);
            config["settings"]["allowed"]["connectTimeout"] = json!(20_000_000);
            // Calls are sent at once, without a load order before them.
            config["settings"]["specifics"]["placementCalls"] = json!(false);
            raise_aims(config);
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
        // Connects only now, since a connection that is silent for two seconds is closed.
        let mut stays = rig.web();
        stays.send(1, &long(2)).unwrap();
        barrier(&rig);
        let executor = Executor::on(door.drain().unwrap(), usize::MAX, succeed).unwrap();
        assert_eq!(stays.answer().unwrap().status, 200);
        assert_eq!(attempts(&executor, &long(1)), 0, "cancel {may_cancel}, abort {abort}");
        assert_eq!(attempts(&executor, &long(2)), 1);
    }
}

/// Sends health checks to a front end until dropped, so that SIGSTOP finds it at work rather than asleep.
struct HealthLoad(Arc<AtomicBool>, Vec<std::thread::JoinHandle<()>>);

impl HealthLoad {
    fn start(rig: &Rig) -> HealthLoad {
        let done = Arc::<AtomicBool>::default();
        let check = |mut web: WebConnection| {
            let done = done.clone();
            std::thread::spawn(move || {
                while !done.load(Ordering::Relaxed)
                    && web.send_health_check(1).is_ok()
                    && web.answer().is_ok()
                {}
            })
        };
        let threads = (0..6).map(|_| check(rig.web())).collect();
        HealthLoad(done, threads)
    }
}

impl Drop for HealthLoad {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        self.1.drain(..).for_each(|t| t.join().unwrap());
    }
}

/// An executor closes an idle connection. The close has arrived but has not been read when a call that must
/// not run twice is assigned to the connection. Written there, the call would fail, since it may have run.
#[test]
fn an_unread_close_of_an_idle_connection_fails_no_call() {
    const RACES: usize = 30;
    const MAX_TRIALS: u64 = 10 * RACES as u64;
    let round = Duration::from_millis(100);
    let rig = Rig::start_with(vec![Box::new(succeed)], |config| {
        // Calls are decided once per round: the next one waits for its round while the executor closes the
        // connection.
        config["settings"]["round"] = json!(round.as_micros() as u64);
    });
    let _load = HealthLoad::start(&rig);
    let mut web = rig.web();
    let mut races = 0;
    for trial in 0..MAX_TRIALS {
        let (before, racing) = (book(2 * trial), book(2 * trial + 1));
        web.send(1, &before).unwrap();
        assert_eq!(web.answer().unwrap().status, 200);
        let began = Instant::now();
        web.send(2, &racing).unwrap();
        web.send_health_check(3).unwrap();
        assert_eq!(web.answer().unwrap().number, 3, "the call has been read");
        rig.pause();
        // If it was paused later than that, it may have sent the call already.
        let in_time = began.elapsed() < round / 2;
        let opened = rig.executors[0].connections.accepted.load(Ordering::Relaxed);
        (0..opened).for_each(|connection| _ = rig.executors[0].close(connection));
        std::thread::sleep((round + Duration::from_millis(10)).saturating_sub(began.elapsed()));
        rig.resume();
        let answer = web.answer().unwrap();
        if !in_time {
            continue;
        }
        assert_eq!(answer.status, 200, "trial {trial}");
        assert_eq!(attempts(&rig.executors[0], &racing), 1);
        races += 1;
        if races == RACES {
            return;
        }
    }
    panic!("the machine is too busy: in {races} of {MAX_TRIALS} trials the front end was paused in time");
}

/// A duplicate answer can arrive some milliseconds after the first. If it were taken for the answer to the
/// next attempt of the call, that attempt would end, and a third one would start while it runs.
#[test]
fn a_duplicate_answer_does_not_end_the_next_attempt_of_its_call() {
    for word in ["SHED", "NONE", "FAULT"] {
        let (first, answered_twice, ends) =
            (OnceLock::new(), Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let (duplicate_written, may_end) = (answered_twice.clone(), ends.clone());
        let asked = long(1);
        let script = on_call(move |s| {
            if s.req != long(1).id {
                return vec![ScriptStep::Write(hit_line(s))];
            }
            if first.set(s.connection).is_ok() {
                return vec![ScriptStep::Write(answer_line(word, s))];
            }
            // Repeats the first answer on its connection while the next attempt is open.
            let second = ScriptStep::WriteOn(*first.get().unwrap(), answer_line(word, s));
            let (answered_twice, ends) = (duplicate_written.clone(), may_end.clone());
            let held = ScriptStep::WaitUntil(Arc::new(move || {
                answered_twice.store(true, Ordering::Relaxed);
                ends.load(Ordering::Relaxed)
            }));
            vec![second, held, ScriptStep::Write(hit_line(s))]
        });
        // A cancellation for silence would rightly be followed by a third attempt.
        let rig =
            Rig::start_with(vec![script], |config| config["settings"]["allowed"]["mayCancel"] = json!(false));
        let mut web = rig.web();
        web.send(1, &asked).unwrap();
        assert!(wait_until(|| answered_twice.load(Ordering::Relaxed)), "{word}");
        barrier(&rig);
        // Later calls are served, so a third attempt would have arrived by then.
        for n in 2..6 {
            assert_eq!(rig.call(&long(n)).status, 200);
        }
        assert_eq!(attempts(&rig.executors[0], &asked), 2, "{word}");
        ends.store(true, Ordering::Relaxed);
        assert_eq!(web.answer().unwrap().status, 200);
        assert_eq!(attempts(&rig.executors[0], &asked), 2, "{word}");
    }
}

/// An executor that moves to another address is another machine. A connection to the old address that is
/// still in use must get no new calls.
#[test]
fn no_new_calls_go_to_the_address_that_an_executor_has_left() {
    let rig = Rig::start(vec![on_call(|s| match s.line["data"].as_str() {
        Some("c3RheXM=") => vec![],
        _ => vec![ScriptStep::Write(hit_line(s))],
    })]);
    let mut web = rig.web();
    assert_eq!(rig.call(&long(1)).status, 200);
    web.send(1, &WebRequest { body: b"stays".to_vec(), ..long(2) }).unwrap();
    assert!(wait_until(|| attempts(&rig.executors[0], &long(2)) == 1));
    let new = Executor::start(succeed).unwrap();
    rig.discovery.send_changes(&[record(id(0), new.address, READY)]);
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

/// Service discovery that has lost events sends its list again from the start, including events by which
/// executors were ready that have drained since.
#[test]
fn a_list_sent_again_from_the_start_does_not_reinstate_draining_executors() {
    let rig = Rig::start_well();
    let address = rig.executors[0].address;
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    rig.discovery.set_initial_list(&[record(id(0), address, READY)]);
    rig.discovery.send_changes(&[record(id(0), address, DRAINING)]);
    let mut n = 10;
    assert!(wait_until(|| {
        n += 1;
        rig.call(&WebRequest { wait_ms: 200, ..WebRequest::new(n) }).status != 200
    }));
    let before = rig.executors[0].received_of_kind("FN").len();
    // The list sent again stops after its first event, by which the executor was ready.
    rig.discovery.set_last_sent(1);
    rig.discovery.skip_events(3);
    rig.discovery.send_changes(&[record(77, address, DRAINING)]);
    assert!(
        wait_until(|| rig.discovery.requested().contains(&0)),
        "the gap is not detected: {:?}",
        rig.discovery.requested()
    );
    // Event 1 is sent as soon as the request has been read, and an empty frame a second later.
    let since = Instant::now();
    let mut n = 500;
    while since.elapsed() < Duration::from_millis(1_500) {
        n += 1;
        rig.call(&WebRequest { wait_ms: 100, ..WebRequest::new(n) });
    }
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
    // Once the list is complete, its events are followed as before.
    let new = Executor::start(succeed).unwrap();
    rig.discovery.send_changes(&[record(78, new.address, READY)]);
    rig.discovery.set_last_sent(u64::MAX);
    assert!(wait_until(|| {
        n += 1;
        rig.call(&WebRequest { wait_ms: 300, ..WebRequest::new(n) }).status == 200
    }));
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
}

/// A full list without some executors means that these are gone, just as an event for each of them would.
#[test]
fn executors_missing_from_a_full_list_get_no_new_calls() {
    let rig = Rig::start(vec![Box::new(succeed), Box::new(succeed)]);
    let key = |n: u64| WebRequest { key: format!("{n:016x}"), ..WebRequest::new(n) };
    (1..20).for_each(|n| assert_eq!(rig.call(&key(n)).status, 200));
    assert!(rig.executors.iter().all(|e| !e.received_of_kind("FN").is_empty()));
    rig.discovery.send_full_list(&[record(id(1), rig.executors[1].address, READY)]);
    let new = Executor::start(succeed).unwrap();
    rig.discovery.send_changes(&[record(77, new.address, READY)]);
    let mut n = 100;
    // Once the later event has taken effect, so has the full list.
    assert!(wait_until(|| {
        n += 1;
        assert_eq!(rig.call(&key(n)).status, 200);
        !new.received_of_kind("FN").is_empty()
    }));
    let before = rig.executors[0].received_of_kind("FN").len();
    (1000..1040).for_each(|n| assert_eq!(rig.call(&key(n)).status, 200));
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
}

/// An idle connection may be closed to make room, or after a timeout. A connection whose request has arrived
/// is not idle, even if the request has not been read yet.
#[test]
fn a_connection_with_an_unread_request_is_not_closed_as_idle() {
    // To make room: more connections than the front end may hold are opened while it is paused.
    let rig = Rig::start_with(vec![Box::new(succeed)], |config| config["limits"]["sockets"] = json!(64));
    let held = 18;
    let mut webs: Vec<WebConnection> = Vec::new();
    for _ in 0..held {
        let mut web = rig.web();
        web.send_health_check(1).unwrap();
        web.answer().unwrap();
        webs.push(web);
    }
    rig.pause();
    let more: Vec<WebConnection> = (0..3).map(|_| rig.web()).collect();
    webs[0].send(1, &long(1)).unwrap();
    rig.resume();
    assert_eq!(webs[0].answer().map(|a| a.status).ok(), Some(200), "to make room");
    drop(more);

    // After a timeout: a connection that has been silent for two seconds is closed.
    let rig = Rig::start_well();
    let _load = HealthLoad::start(&rig);
    for round in 0..3u64 {
        let mut webs: Vec<WebConnection> = (0..4).map(|_| rig.web()).collect();
        barrier(&rig);
        rig.pause();
        webs.iter_mut().zip(1..).for_each(|(web, n)| web.send(1, &long(10 * round + n)).unwrap());
        std::thread::sleep(Duration::from_millis(2_300));
        rig.resume();
        for web in &mut webs {
            assert_eq!(web.answer().map(|a| a.status).ok(), Some(200), "after a timeout");
        }
    }
}

/// The process gets fewer file descriptors than the configuration says. Idle connections are then closed,
/// calls are served, and service discovery is followed to another address.
#[test]
fn a_front_end_short_of_descriptors_serves_calls_and_follows_discovery() {
    let discovery = DiscoveryServer::start(2).unwrap();
    let executors: Vec<_> = (0..3).map(|_| Executor::start(succeed).unwrap()).collect();
    let listed: Vec<_> =
        executors.iter().enumerate().map(|(n, e)| list_member(id(n), e.address, "in_service")).collect();
    let config = configuration("127.0.0.1:0".parse().unwrap(), discovery.address, &listed);
    let front = FrontEnd::start_with_descriptors(40, config.clone());
    assert!(wait_until(|| !discovery.requested().is_empty()));
    let done = Arc::<AtomicBool>::default();
    let mut holders = Vec::new();
    for _ in 0..60 {
        let mut web = front.web();
        web.send_health_check(1).unwrap();
        assert_eq!(web.answer().map(|a| a.status).ok(), Some(200), "holder {}", holders.len());
        // Each one sends health checks, so that it is never closed for its silence alone.
        let done = done.clone();
        holders.push(std::thread::spawn(move || {
            while !done.load(Ordering::Relaxed) && web.send_health_check(1).is_ok() && web.answer().is_ok() {
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
    front.replace_config(&moved.to_string());
    front.signal("-HUP");
    assert!(wait_until(|| !other.requested().is_empty()));
    assert!(front.descriptors() <= 40);
    done.store(true, Ordering::Relaxed);
    holders.into_iter().for_each(|t| t.join().unwrap());
}

/// A reload while every descriptor is in use must not be lost: service discovery has moved, and no second
/// SIGHUP announces it.
#[test]
fn a_configuration_is_reloaded_while_every_descriptor_is_in_use() {
    const LIMIT: usize = 40;
    let discovery = DiscoveryServer::start(2).unwrap();
    let config = configuration("127.0.0.1:0".parse().unwrap(), discovery.address, &[]);
    let front = FrontEnd::start_with_descriptors(LIMIT, config.clone());
    assert!(wait_until(|| !discovery.requested().is_empty()));
    let mut holders = Vec::new();
    // Descriptors with numbers above the limit were inherited at the start and do not count.
    while front.descriptors_below(LIMIT) < LIMIT {
        let mut web = front.web();
        web.send_health_check(1).unwrap();
        assert!(web.answer().is_ok());
        holders.push(web);
    }
    let other = DiscoveryServer::start(2).unwrap();
    let mut moved = config;
    moved["board"] = json!(other.address);
    front.replace_config(&moved.to_string());
    front.signal("-HUP");
    assert!(wait_until(|| !other.requested().is_empty()), "{:?}", front.log_lines());
}
