//! What executors do, and what that means for a call.

use crate::rig::*;
use badgerwind_standins::platform::executor::{answer_line, hit_line, succeed, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::WebRequest;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn book(n: u64) -> WebRequest {
    WebRequest { class: "book".into(), ..WebRequest::new(n) }
}

/// Does something else with calls only.
fn calls(with: impl Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync + 'static) -> Script {
    Box::new(move |s| if s.kind == "FN" { with(s) } else { succeed(s) })
}

#[test]
fn a_call_goes_through_unchanged_and_comes_back_as_it_was_given() {
    let rig = Rig::well();
    assert_eq!(rig.health(), 200);
    let ask = WebRequest { body: (0..=255).cycle().take(16 * 1024).collect(), ..WebRequest::new(7) };
    let answer = rig.call(&ask);
    assert_eq!((answer.status, answer.protocol_status, &answer.body), (200, 0, &ask.body));
    let seen = rig.executors[0].received_of_kind("FN");
    let (line, meta) = (&seen[0].line, &seen[0].line["meta"]);
    assert_eq!((line["req"].as_str(), meta["kind"].as_str()), (Some(&*ask.id), Some("look")));
    assert_eq!(meta["obj"].as_str(), Some(&*ask.key));
    let ms = meta["ms"].as_u64().unwrap();
    assert!(ms > 2000 && ms <= 3000, "{ms}");
    let empty = WebRequest { body: vec![], ..WebRequest::new(8) };
    assert_eq!((rig.call(&empty).status, rig.call(&empty).body.len()), (200, 0));
}

/// The module gives up what may have run and must not run twice: the client hears of it then, not near its deadline.
#[test]
fn a_call_that_was_given_up_is_answered_at_once() {
    let first = AtomicUsize::new(0);
    let rig = Rig::start(vec![calls(move |s| match first.fetch_add(1, Ordering::Relaxed) {
        0 => vec![ScriptStep::Write(hit_line(s))],
        _ => vec![ScriptStep::Write(answer_line("FAULT", s))],
    })]);
    assert_eq!(rig.call(&WebRequest::new(0)).status, 200);
    let began = Instant::now();
    let wait_ms = 20_000;
    assert_eq!(rig.call(&WebRequest { wait_ms, ..book(1) }).status, 502);
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), 2, "it is never tried again");
    // One that may be repeated uses up its attempts, and is refused then.
    let refused = rig.call(&WebRequest { wait_ms, ..WebRequest::new(2) });
    assert_eq!((refused.status, rig.executors[0].received_of_kind("FN").len()), (503, 6));
    assert!(began.elapsed() < Duration::from_secs(15), "{:?}", began.elapsed());
}

#[test]
fn what_never_ran_is_tried_again_even_where_it_must_not_run_twice() {
    let tried = AtomicUsize::new(0);
    let rig = Rig::start(vec![calls(move |s| match tried.fetch_add(1, Ordering::Relaxed) {
        0 => vec![ScriptStep::Write(answer_line("SHED", s))],
        1 => vec![ScriptStep::Write(answer_line("NONE", s))],
        _ => vec![ScriptStep::Write(hit_line(s))],
    })]);
    assert_eq!(rig.call(&book(1)).status, 200);
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), 3);
}

#[test]
fn a_connection_reset_under_a_call_leaves_open_whether_it_ran() {
    let rig = Rig::start(vec![calls(|_| vec![ScriptStep::Close])]);
    assert_eq!(rig.call(&book(1)).status, 502);
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), 1);
}

#[test]
fn spoilt_answers_cost_their_own_call_and_no_other() {
    for junk in [&b"noise\n"[..], b"{\"type\":\"HIT\",\"req\":\"", b"\xff\xfe\n", b"{\"type\":\"HIT\"}\n"] {
        let slow = b"5lowa5lowa";
        let rig = Rig::start(vec![calls(move |s| match s.line["data"].as_str() {
            Some("c2xvdw==") => {
                vec![ScriptStep::Wait(Duration::from_millis(400)), ScriptStep::Write(hit_line(s))]
            }
            _ => vec![ScriptStep::Write(junk.to_vec()), ScriptStep::Write(slow.to_vec()), ScriptStep::Close],
        })]);
        let mut other = rig.web();
        other.send(1, &WebRequest { body: b"slow".to_vec(), ..book(1) }).unwrap();
        assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
        assert_eq!(rig.call(&book(2)).status, 502);
        let answer = other.answer().unwrap();
        assert_eq!((answer.status, &answer.body[..]), (200, &b"slow"[..]));
    }
}

#[test]
fn an_answer_without_end_is_given_up_and_takes_no_memory() {
    let rig = Rig::start(vec![calls(|_| vec![ScriptStep::Write(vec![b'x'; 1_000_000]); 60])]);
    let before = rig.memory();
    assert_eq!(rig.call(&book(1)).status, 502);
    assert!(rig.memory() < before + 4096, "{} {before}", rig.memory());
}

#[test]
fn an_answer_to_nothing_ahead_of_the_good_one_is_passed_over() {
    let rig = Rig::start(vec![calls(|s| {
        let mut other = s.clone();
        other.req = "0123456789abcdef".into();
        vec![ScriptStep::Write([hit_line(&other), hit_line(s), hit_line(s)].concat())]
    })]);
    for n in 0..5 {
        let answer = rig.call(&book(n));
        assert_eq!((answer.status, answer.body), (200, format!("body {n}").into_bytes()));
    }
    let connections: std::collections::BTreeSet<_> =
        rig.executors[0].received_of_kind("FN").iter().map(|s| s.connection).collect();
    assert_eq!(connections.len(), 5, "a connection that says too much takes nothing new");
}

#[test]
fn a_client_that_withdraws_has_its_attempt_killed_and_its_number_free() {
    let rig = Rig::start(vec![calls(|s| match s.line["data"].as_str() {
        Some("c2xvdw==") => vec![ScriptStep::Wait(Duration::from_secs(2)), ScriptStep::Write(hit_line(s))],
        _ => vec![ScriptStep::Write(hit_line(s))],
    })]);
    let mut web = rig.web();
    let slow = WebRequest { body: b"slow".to_vec(), ..WebRequest::new(1) };
    web.send(1, &slow).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    web.abort(1).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("KILL").iter().any(|s| s.req == slow.id)));
    web.send(1, &WebRequest::new(2)).unwrap();
    let answer = web.answer().unwrap();
    assert_eq!((answer.number, answer.status, &answer.body[..]), (1, 200, &b"body 2"[..]));
}

/// Hundreds of front ends with a call now and then would fill the executors' tables if each call opened a connection.
#[test]
fn one_that_was_not_asked_for_long_is_asked_over_its_standing_connection() {
    let rig = Rig::well();
    assert_eq!(rig.call(&book(1)).status, 200);
    std::thread::sleep(Duration::from_millis(700)); // longer than silence under a call would be borne
    assert_eq!(rig.call(&book(2)).status, 200);
    let seen = rig.executors[0].received_of_kind("FN");
    assert_eq!(seen[0].connection, seen[1].connection);
}

/// A vanished machine leaves its connections open and silent: what it had not answered for long, nobody asks there again.
#[test]
fn one_that_left_a_call_without_a_word_is_asked_over_a_new_connection() {
    let rig = Rig::start(vec![calls(|s| match s.line["data"].as_str() {
        Some("bG9zdA==") => vec![],
        _ => vec![ScriptStep::Write(hit_line(s))],
    })]);
    assert_eq!(rig.call(&book(1)).status, 200);
    let mut web = rig.web();
    web.send(1, &WebRequest { body: b"lost".to_vec(), ..book(2) }).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 2));
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(rig.call(&book(3)).status, 200);
    let seen = rig.executors[0].received_of_kind("FN");
    assert_eq!((seen[0].connection, seen[1].connection), (0, 0));
    assert_ne!(seen[2].connection, 0, "silence on the old one would have proved nothing");
}

/// An executor whose table is full lets a connection come up, turns its first call away and closes it.
#[test]
fn a_full_table_turns_new_connections_away_and_not_the_calls() {
    let script: Script = Box::new(|s: &ReceivedLine| match (s.connection, s.kind.as_str()) {
        (0, "FN") => vec![ScriptStep::Wait(Duration::from_millis(300)), ScriptStep::Write(hit_line(s))],
        (0, _) => succeed(s),
        _ => vec![ScriptStep::Write(answer_line("SHED", s)), ScriptStep::Close],
    });
    // Calls that are called off for silence on a starved machine would use up their attempts.
    let rig = Rig::with(vec![script], |config| config["settings"]["allowed"]["mayCancel"] = false.into());
    let ask = |n: u64| WebRequest { wait_ms: 20_000, ..WebRequest::new(n) };
    let mut web = rig.web();
    web.send(1, &ask(1)).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    // Ten more while it works: one of them finds the door shut, and goes over the standing connection with the others.
    for n in 2..12 {
        web.send(n, &ask(u64::from(n))).unwrap();
    }
    let answers: Vec<_> = (0..11).map(|_| web.answer().unwrap().status).collect();
    assert_eq!(answers.iter().filter(|s| **s == 200).count(), 11, "{answers:?}");
    let turned_away = rig.executors[0].received_of_kind("FN").iter().filter(|s| s.connection > 0).count();
    assert!((1..=10).contains(&turned_away), "{turned_away}");
}

/// Hundreds of front ends that each take a connection a call fill the executors' tables, and pay for each. But what breaks
/// under one call costs all that share its connection.
#[test]
fn calls_share_connections_while_these_hold_and_keep_apart_once_they_break() {
    let rig = Rig::start(vec![calls(|s| match s.line["data"].as_str() {
        Some("YnJlYWs=") => vec![ScriptStep::Close],
        _ => vec![ScriptStep::Wait(Duration::from_millis(100)), ScriptStep::Write(hit_line(s))],
    })]);
    let mut web = rig.web();
    let mut round = |from: u64| {
        (0..4).for_each(|n| web.send(n as u16 + 1, &WebRequest::new(from + n)).unwrap());
        (0..4).for_each(|_| assert_eq!(web.answer().unwrap().status, 200));
        let seen = rig.executors[0].received_of_kind("FN");
        seen[seen.len() - 4..].iter().map(|s| s.connection).collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    assert_eq!(round(10), 1);
    for n in 0..3 {
        rig.call(&WebRequest { body: b"break".to_vec(), ..book(20 + n) });
    }
    assert_eq!(round(30), 4);
    let opened = rig.executors[0].connections.accepted.load(Ordering::Relaxed);
    assert!(opened <= 12, "{opened} connections for 12 calls, three of which broke theirs");
}

/// A call that may not run twice would be lost by another's trouble: it has its connection for itself.
#[test]
fn what_may_not_run_twice_shares_no_connection() {
    let asked = [WebRequest::new(1), book(2), WebRequest::new(3), book(4), WebRequest::new(5)];
    let (all, come) = (asked.len(), Arc::new(AtomicUsize::new(0)));
    let come_now = come.clone();
    // None is answered before all are there, so that all are out at once.
    let rig = Rig::start(vec![calls(move |s| {
        let come = come_now.clone();
        come.fetch_add(1, Ordering::Relaxed);
        vec![
            ScriptStep::WaitUntil(Arc::new(move || come.load(Ordering::Relaxed) >= all)),
            ScriptStep::Write(hit_line(s)),
        ]
    })]);
    let mut web = rig.web();
    asked.iter().zip(1..).for_each(|(ask, n)| web.send(n, ask).unwrap());
    asked.iter().for_each(|_| assert_eq!(web.answer().unwrap().status, 200));
    let seen = rig.executors[0].received_of_kind("FN");
    let of = |ask: &WebRequest| seen.iter().find(|s| s.req == ask.id).unwrap().connection;
    let ways: Vec<_> = asked.iter().map(of).collect();
    let alone = |n: usize| ways.iter().filter(|w| **w == ways[n]).count() == 1;
    assert!(alone(1) && alone(3), "{ways:?}");
}
