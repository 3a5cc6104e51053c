//! Start, stop, reload of the configuration, and changes of the list of executors.

use crate::rig::*;
use badgerwind_standins::platform::discovery::{record, Behaviour, DiscoveryServer};
use badgerwind_standins::platform::executor::{hit_line, succeed, Executor, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::WebRequest;
use std::process::Command;
use std::time::{Duration, Instant};

const READY: u8 = 0;
const DRAINING: u8 = 1;
const GONE: u8 = 2;

/// Makes calls until one reaches this executor, of which the front end may not know yet.
fn eventually_calls(rig: &Rig, executor: &Executor) -> bool {
    let mut n = executor.address.port().into();
    wait_until(|| {
        n += 100_000;
        rig.call(&WebRequest { wait_ms: 300, ..WebRequest::new(n) });
        !executor.received_of_kind("FN").is_empty()
    })
}

#[test]
fn a_new_executor_gets_calls_even_if_discovery_repeats_events_or_breaks_connections() {
    for mood in [Behaviour::Normal, Behaviour::Duplicates, Behaviour::CutsEvent] {
        let rig = Rig::start(vec![]);
        assert!(wait_until(|| !rig.discovery.requested().is_empty()));
        let new = Executor::start(succeed).unwrap();
        rig.discovery.set_behaviour(mood);
        rig.discovery.send_changes(&[record(77, new.address, READY)]);
        assert!(eventually_calls(&rig, &new), "{mood:?}");
        let asked = rig.discovery.requested();
        assert!(asked.iter().all(|n| *n == 1), "events were requested again: {asked:?}");
        assert_eq!(asked.len(), if mood == Behaviour::CutsEvent { 2 } else { 1 });
    }
}

#[test]
fn discovery_that_falls_silent_is_queried_again() {
    let rig = Rig::start(vec![]);
    assert!(wait_until(|| !rig.discovery.requested().is_empty()));
    rig.discovery.set_behaviour(Behaviour::Silent);
    let since = Instant::now();
    assert!(wait_until(|| rig.discovery.requested().len() > 1));
    assert!(since.elapsed() < Duration::from_secs(5), "{:?}", since.elapsed());
}

#[test]
fn a_draining_or_removed_executor_gets_no_new_calls_and_its_successor_at_the_address_does() {
    let rig = Rig::start_well();
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    let address = rig.executors[0].address;
    rig.discovery.send_changes(&[record(id(0), address, DRAINING)]);
    rig.discovery.send_changes(&[record(id(0), address, GONE)]);
    // Calls fail or are refused once the front end knows, since there is no other executor.
    let mut n = 10;
    assert!(wait_until(|| {
        n += 1;
        rig.call(&WebRequest { wait_ms: 200, ..WebRequest::new(n) }).status != 200
    }));
    let before = rig.executors[0].received_of_kind("FN").len();
    rig.call(&WebRequest { wait_ms: 700, ..WebRequest::new(2) });
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
    rig.discovery.send_changes(&[record(99, address, READY)]);
    assert!(wait_until(|| {
        n += 1;
        rig.call(&WebRequest { wait_ms: 300, ..WebRequest::new(n) }).status == 200
    }));
}

#[test]
fn discovery_is_followed_to_another_address_after_sighup_and_an_invalid_file_changes_nothing() {
    let mut rig = Rig::start_well();
    assert!(wait_until(|| rig.discovery.requested().len() == 1));
    rig.replace_config("{ not json");
    rig.signal("-HUP");
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    rig.discovery.send_changes(&[record(50, rig.executors[0].address, READY)]);
    let other = DiscoveryServer::start(3).unwrap();
    let mut config = rig.config.clone();
    config["board"] = other.address.to_string().into();
    // The earlier event has been received by then, so the events after it are requested from the new address.
    std::thread::sleep(Duration::from_millis(200));
    rig.replace_config(&config.to_string());
    rig.signal("-HUP");
    assert!(wait_until(|| other.requested() == [2]), "{:?}", other.requested());
    assert!(rig.is_running());
    assert_eq!(rig.call(&WebRequest::new(2)).status, 200);
}

#[test]
fn sigterm_ends_the_process_once_all_accepted_calls_are_answered() {
    let mut rig = Rig::start(vec![Box::new(|s| match s.kind.as_str() {
        "FN" => vec![ScriptStep::Wait(Duration::from_millis(600)), ScriptStep::Write(hit_line(s))],
        _ => succeed(s),
    })]);
    let mut before = rig.web();
    before.send(1, &WebRequest::new(1)).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    rig.signal("-TERM");
    assert!(wait_until(|| rig.health() == 503), "health does not report the stop");
    let late = rig.call(&WebRequest::new(2));
    assert_eq!((late.status, before.answer().unwrap().status), (200, 200));
    assert_eq!(rig.wait_for_exit(), Some(0));
}

/// The web servers notice a stop late: for up to 0.4 s they still connect, and for 0.2 s more they send
/// requests on open connections.
#[test]
fn requests_that_arrive_shortly_after_sigterm_are_answered() {
    let slow = Duration::from_millis(700);
    let script: Script = Box::new(move |s| match s.kind.as_str() {
        "FN" => vec![ScriptStep::Wait(slow), ScriptStep::Write(hit_line(s))],
        _ => succeed(s),
    });
    // With the usual aims, the front end would give up an attempt at 700 ms, and the work takes as long.
    let mut rig = Rig::start_with(vec![script], raise_aims);
    let mut before = rig.web();
    before.send(1, &WebRequest::new(1)).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    rig.signal("-TERM");
    let since = Instant::now();
    let at = |ms| std::thread::sleep(Duration::from_millis(ms).saturating_sub(since.elapsed()));
    at(150);
    before.send(2, &WebRequest::new(2)).unwrap();
    at(350);
    let mut new = rig.web();
    new.send(1, &WebRequest::new(3)).unwrap();
    at(550);
    // On a machine so busy that this request came too late, it need not be answered.
    let in_time = since.elapsed() < Duration::from_millis(700);
    new.send(2, &WebRequest::new(4)).unwrap();
    let answered = [before.answer(), before.answer(), new.answer()].map(|a| a.unwrap().status);
    assert_eq!(answered, [200; 3]);
    let last = new.answer().map(|a| a.status);
    assert!(matches!(last, Ok(200)) || !in_time, "{last:?}");
    assert_eq!(rig.wait_for_exit(), Some(0));
}

/// An event that service discovery would have sent while it is silent counts as received 4 s later. The front
/// end must have reconnected by then.
#[test]
fn a_drain_announced_while_discovery_is_silent_is_effective_four_seconds_later() {
    let rig = Rig::start(vec![Box::new(succeed), Box::new(succeed)]);
    assert!(wait_until(|| !rig.discovery.requested().is_empty()));
    rig.discovery.set_behaviour(Behaviour::Silent);
    rig.discovery.send_changes(&[record(id(0), rig.executors[0].address, DRAINING)]);
    assert!(wait_until(|| rig.discovery.requested().len() > 1), "the silence is not detected");
    // As the description of the network requires, the new connection is served.
    rig.discovery.set_behaviour(Behaviour::Normal);
    std::thread::sleep(Duration::from_millis(4000));
    let before = rig.executors[0].received_of_kind("FN").len();
    for n in 0..60 {
        assert_eq!(
            rig.call(&WebRequest { key: format!("{n:016x}"), ..WebRequest::new(100 + n) }).status,
            200
        );
    }
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before, "a draining executor got calls");
}

#[test]
fn an_invalid_configuration_is_reported_with_the_location_of_the_error() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let run = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgerwind"));
        let out = command.arg("platform").env("BALANCER_CONFIG", &path).output().unwrap();
        (out.status.code(), String::from_utf8(out.stderr).unwrap())
    };
    let (code, text) = run();
    assert!(code == Some(2) && text.contains("config.json"), "{code:?} {text}");
    let rig = Rig::start_well();
    let mut config = rig.config.clone();
    config["known"]["notices"][0]["pool"]["members"][0]["phase"] = "asleep".into();
    std::fs::write(&path, config.to_string()).unwrap();
    let (code, text) = run();
    assert_eq!((code, text.lines().count()), (Some(2), 1), "{text}");
    assert!(text.contains("notices[0]") && text.contains("asleep"), "{text}");
}

/// Memory and descriptors of removed executors and of closed connections are freed.
#[test]
fn executors_and_connections_that_come_and_go_leave_nothing_behind() {
    let rig = Rig::start_well();
    let address = rig.executors[0].address;
    rig.discovery.send_changes(&[record(id(0), address, GONE)]);
    let replace_forty = |from: u32| {
        for n in from..from + 40 {
            let gone = (n > 1).then(|| record(n - 1, address, GONE));
            rig.discovery
                .send_changes(&[gone.into_iter().collect::<Vec<_>>().concat(), record(n, address, READY)]);
            rig.call(&WebRequest { wait_ms: 200, ..WebRequest::new(n.into()) });
        }
    };
    replace_forty(1);
    let (memory, descriptors) = (rig.memory(), rig.descriptors());
    replace_forty(1000);
    replace_forty(2000);
    assert!(rig.memory() < memory + 1024, "{} {memory}", rig.memory());
    assert!(rig.descriptors() <= descriptors + 10, "{} {descriptors}", rig.descriptors());
}
