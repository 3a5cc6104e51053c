//! Starts, stops, another configuration, and news of the executors.

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

/// Asks until one is served by this executor, which the front end may still have to hear of.
fn comes_to(rig: &Rig, executor: &Executor) -> bool {
    let mut n = executor.address.port().into();
    wait_until(|| {
        n += 100_000;
        rig.call(&WebRequest { wait_ms: 300, ..WebRequest::new(n) });
        !executor.received_of_kind("FN").is_empty()
    })
}

#[test]
fn news_of_an_executor_brings_it_calls_whatever_the_boards_mood() {
    for mood in [Behaviour::Normal, Behaviour::Duplicates, Behaviour::CutsEvent] {
        let rig = Rig::start(vec![]);
        assert!(wait_until(|| !rig.board.requested().is_empty()));
        let new = Executor::start(succeed).unwrap();
        rig.board.set_behaviour(mood);
        rig.board.send_changes(&[record(77, new.address, READY)]);
        assert!(comes_to(&rig, &new), "{mood:?}");
        let asked = rig.board.requested();
        assert!(asked.iter().all(|n| *n == 1), "asked for what was missed, not for what was had: {asked:?}");
        assert_eq!(asked.len(), if mood == Behaviour::CutsEvent { 2 } else { 1 });
    }
}

#[test]
fn a_board_that_falls_silent_is_asked_anew() {
    let rig = Rig::start(vec![]);
    assert!(wait_until(|| !rig.board.requested().is_empty()));
    rig.board.set_behaviour(Behaviour::Silent);
    let since = Instant::now();
    assert!(wait_until(|| rig.board.requested().len() > 1));
    assert!(since.elapsed() < Duration::from_secs(5), "{:?}", since.elapsed());
}

#[test]
fn one_that_drains_or_is_gone_takes_nothing_new_and_another_at_its_address_does() {
    let rig = Rig::well();
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    let address = rig.executors[0].address;
    rig.board.send_changes(&[record(id(0), address, DRAINING)]);
    rig.board.send_changes(&[record(id(0), address, GONE)]);
    // Refused or failed from some moment on: nobody else is there.
    let mut n = 10;
    assert!(wait_until(|| {
        n += 1;
        rig.call(&WebRequest { wait_ms: 200, ..WebRequest::new(n) }).status != 200
    }));
    let before = rig.executors[0].received_of_kind("FN").len();
    rig.call(&WebRequest { wait_ms: 700, ..WebRequest::new(2) });
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before);
    rig.board.send_changes(&[record(99, address, READY)]);
    assert!(wait_until(|| {
        n += 1;
        rig.call(&WebRequest { wait_ms: 300, ..WebRequest::new(n) }).status == 200
    }));
}

#[test]
fn another_board_is_followed_after_sighup_and_a_file_that_cannot_be_read_changes_nothing() {
    let mut rig = Rig::well();
    assert!(wait_until(|| rig.board.requested().len() == 1));
    rig.replace("{ not json");
    rig.signal("-HUP");
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    rig.board.send_changes(&[record(50, rig.executors[0].address, READY)]);
    let other = DiscoveryServer::start(3).unwrap();
    let mut config = rig.config.clone();
    config["board"] = other.address.to_string().into();
    // The event of before is had when the new one is asked: its numbers go on.
    std::thread::sleep(Duration::from_millis(200));
    rig.replace(&config.to_string());
    rig.signal("-HUP");
    assert!(wait_until(|| other.requested() == [2]), "{:?}", other.requested());
    assert!(rig.runs());
    assert_eq!(rig.call(&WebRequest::new(2)).status, 200);
}

#[test]
fn sigterm_ends_it_once_all_that_was_taken_is_answered() {
    let mut rig = Rig::start(vec![Box::new(|s| match s.kind.as_str() {
        "FN" => vec![ScriptStep::Wait(Duration::from_millis(600)), ScriptStep::Write(hit_line(s))],
        _ => succeed(s),
    })]);
    let mut before = rig.web();
    before.send(1, &WebRequest::new(1)).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    rig.signal("-TERM");
    assert!(wait_until(|| rig.health() == 503), "it says that it stops");
    let late = rig.call(&WebRequest::new(2));
    assert_eq!((late.status, before.answer().unwrap().status), (200, 200));
    assert_eq!(rig.ended(), Some(0));
}

/// The web servers notice late: for up to 0.4 s they still connect, and for 0.2 s more they ask on what is open.
#[test]
fn what_still_comes_after_sigterm_is_taken_and_answered() {
    let slow = Duration::from_millis(700);
    let script: Script = Box::new(move |s| match s.kind.as_str() {
        "FN" => vec![ScriptStep::Wait(slow), ScriptStep::Write(hit_line(s))],
        _ => succeed(s),
    });
    // By itself it would give up at 700 ms what this executor has not answered, and the work takes as long.
    let mut rig = Rig::with(vec![script], patient);
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
    // On a machine so busy that this came later than requests still come, nothing is owed.
    let owed = since.elapsed() < Duration::from_millis(700);
    new.send(2, &WebRequest::new(4)).unwrap();
    let answered = [before.answer(), before.answer(), new.answer()].map(|a| a.unwrap().status);
    assert_eq!(answered, [200; 3]);
    let last = new.answer().map(|a| a.status);
    assert!(matches!(last, Ok(200)) || !owed, "{last:?}");
    assert_eq!(rig.ended(), Some(0));
}

/// What the board would have told while it is silent counts as told 4 s later: it must have been asked anew by then.
#[test]
fn a_drain_told_while_the_board_is_silent_is_kept_four_seconds_later() {
    let rig = Rig::start(vec![Box::new(succeed), Box::new(succeed)]);
    assert!(wait_until(|| !rig.board.requested().is_empty()));
    rig.board.set_behaviour(Behaviour::Silent);
    rig.board.send_changes(&[record(id(0), rig.executors[0].address, DRAINING)]);
    assert!(wait_until(|| rig.board.requested().len() > 1), "silence is noticed");
    // The connection that was made anew is served, as the network page has it.
    rig.board.set_behaviour(Behaviour::Normal);
    std::thread::sleep(Duration::from_millis(4000));
    let before = rig.executors[0].received_of_kind("FN").len();
    for n in 0..60 {
        assert_eq!(
            rig.call(&WebRequest { key: format!("{n:016x}"), ..WebRequest::new(100 + n) }).status,
            200
        );
    }
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), before, "nothing goes to one that drains");
}

#[test]
fn a_configuration_that_cannot_be_used_is_told_by_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let run = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgerwind"));
        let out = command.arg("platform").env("BALANCER_CONFIG", &path).output().unwrap();
        (out.status.code(), String::from_utf8(out.stderr).unwrap())
    };
    let (code, text) = run();
    assert!(code == Some(2) && text.contains("config.json"), "{code:?} {text}");
    let rig = Rig::well();
    let mut config = rig.config.clone();
    config["known"]["notices"][0]["pool"]["members"][0]["phase"] = "asleep".into();
    std::fs::write(&path, config.to_string()).unwrap();
    let (code, text) = run();
    assert_eq!((code, text.lines().count()), (Some(2), 1), "{text}");
    assert!(text.contains("notices[0]") && text.contains("asleep"), "{text}");
}

/// Nothing is kept of executors and connections that have gone.
#[test]
fn executors_and_connections_that_come_and_go_leave_nothing() {
    let rig = Rig::well();
    let address = rig.executors[0].address;
    rig.board.send_changes(&[record(id(0), address, GONE)]);
    let turn = |from: u32| {
        for n in from..from + 40 {
            let gone = (n > 1).then(|| record(n - 1, address, GONE));
            rig.board
                .send_changes(&[gone.into_iter().collect::<Vec<_>>().concat(), record(n, address, READY)]);
            rig.call(&WebRequest { wait_ms: 200, ..WebRequest::new(n.into()) });
        }
    };
    turn(1);
    let (memory, descriptors) = (rig.memory(), rig.descriptors());
    turn(1000);
    turn(2000);
    assert!(rig.memory() < memory + 1024, "{} {memory}", rig.memory());
    assert!(rig.descriptors() <= descriptors + 10, "{} {descriptors}", rig.descriptors());
}
