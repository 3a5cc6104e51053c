//! What becomes of calls when executors answer, refuse, fail or send malformed data.

use crate::rig::*;
use badgerwind_standins::platform::executor::{answer_line, hit_line, succeed, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::WebRequest;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A call that must not run twice.
fn book(n: u64) -> WebRequest {
    WebRequest { class: "book".into(), ..WebRequest::new(n) }
}

/// Handles calls with this function and everything else as a working executor does.
fn on_call(handler: impl Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync + 'static) -> Script {
    Box::new(move |s| if s.kind == "FN" { handler(s) } else { succeed(s) })
}

#[test]
fn calls_and_answers_pass_through_unchanged() {
    let rig = Rig::start_well();
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

/// The decision module gives up a call that may have run and must not run twice. The client is answered at
/// once, not near its deadline.
#[test]
fn an_abandoned_call_is_answered_at_once() {
    let first = AtomicUsize::new(0);
    let rig = Rig::start(vec![on_call(move |s| match first.fetch_add(1, Ordering::Relaxed) {
        0 => vec![ScriptStep::Write(hit_line(s))],
        _ => vec![ScriptStep::Write(answer_line("FAULT", s))],
    })]);
    assert_eq!(rig.call(&WebRequest::new(0)).status, 200);
    let began = Instant::now();
    let wait_ms = 20_000;
    assert_eq!(rig.call(&WebRequest { wait_ms, ..book(1) }).status, 502);
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), 2, "the call is not tried again");
    // A call that may be repeated is refused once its attempts are used up.
    let refused = rig.call(&WebRequest { wait_ms, ..WebRequest::new(2) });
    assert_eq!((refused.status, rig.executors[0].received_of_kind("FN").len()), (503, 6));
    assert!(began.elapsed() < Duration::from_secs(15), "{:?}", began.elapsed());
}

#[test]
fn calls_that_never_ran_are_tried_again_even_if_they_must_not_run_twice() {
    let tried = AtomicUsize::new(0);
    let rig = Rig::start(vec![on_call(move |s| match tried.fetch_add(1, Ordering::Relaxed) {
        0 => vec![ScriptStep::Write(answer_line("SHED", s))],
        1 => vec![ScriptStep::Write(answer_line("NONE", s))],
        _ => vec![ScriptStep::Write(hit_line(s))],
    })]);
    assert_eq!(rig.call(&book(1)).status, 200);
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), 3);
}

#[test]
fn a_call_whose_connection_is_reset_may_have_run() {
    let rig = Rig::start(vec![on_call(|_| vec![ScriptStep::Close])]);
    assert_eq!(rig.call(&book(1)).status, 502);
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), 1);
}

#[test]
fn malformed_answers_fail_their_own_call_only() {
    for junk in [&b"noise\n"[..], b"{\"type\":\"HIT\",\"req\":\"", b"\xff\xfe\n", b"{\"type\":\"HIT\"}\n"] {
        let slow = b"5lowa5lowa";
        let rig = Rig::start(vec![on_call(move |s| match s.line["data"].as_str() {
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
fn an_endless_answer_is_abandoned_and_uses_no_memory() {
    let rig = Rig::start(vec![on_call(|_| vec![ScriptStep::Write(vec![b'x'; 1_000_000]); 60])]);
    let before = rig.memory();
    assert_eq!(rig.call(&book(1)).status, 502);
    assert!(rig.memory() < before + 4096, "{} {before}", rig.memory());
}

#[test]
fn an_answer_to_an_unknown_call_before_the_right_one_is_ignored() {
    let rig = Rig::start(vec![on_call(|s| {
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
    assert_eq!(connections.len(), 5, "a connection with surplus answers is not used again");
}

#[test]
fn an_abort_kills_the_attempt_and_frees_the_request_number() {
    let rig = Rig::start(vec![on_call(|s| match s.line["data"].as_str() {
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

/// Hundreds of front ends with occasional calls would fill the executors' connection tables if each call
/// opened a connection.
#[test]
fn an_idle_connection_is_reused() {
    let rig = Rig::start_well();
    assert_eq!(rig.call(&book(1)).status, 200);
    std::thread::sleep(Duration::from_millis(700)); // longer than silence is tolerated while a call is open
    assert_eq!(rig.call(&book(2)).status, 200);
    let seen = rig.executors[0].received_of_kind("FN");
    assert_eq!(seen[0].connection, seen[1].connection);
}

/// A machine that vanishes leaves its connections open and silent. A connection on which a call has had no
/// answer for long is therefore not used for another one.
#[test]
fn a_connection_with_an_unanswered_call_is_replaced() {
    let rig = Rig::start(vec![on_call(|s| match s.line["data"].as_str() {
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
    assert_ne!(seen[2].connection, 0, "silence on the old connection would have proved nothing");
}

/// An executor whose connection table is full accepts a connection, refuses its first call and closes it. The
/// call must then be served on an established connection.
#[test]
fn calls_refused_by_a_full_connection_table_are_served_on_an_established_connection() {
    let script: Script = Box::new(|s: &ReceivedLine| match (s.connection, s.kind.as_str()) {
        (0, "FN") => vec![ScriptStep::Wait(Duration::from_millis(300)), ScriptStep::Write(hit_line(s))],
        (0, _) => succeed(s),
        _ => vec![ScriptStep::Write(answer_line("SHED", s)), ScriptStep::Close],
    });
    // On a starved machine, calls cancelled for silence would use up their attempts.
    let rig =
        Rig::start_with(vec![script], |config| config["settings"]["allowed"]["mayCancel"] = false.into());
    let ask = |n: u64| WebRequest { wait_ms: 20_000, ..WebRequest::new(n) };
    let mut web = rig.web();
    web.send(1, &ask(1)).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    // Sends ten more calls while the first one runs. At least one of them is refused on a new connection and
    // goes over the established one with the others.
    for n in 2..12 {
        web.send(n, &ask(u64::from(n))).unwrap();
    }
    let answers: Vec<_> = (0..11).map(|_| web.answer().unwrap().status).collect();
    assert_eq!(answers.iter().filter(|s| **s == 200).count(), 11, "{answers:?}");
    let turned_away = rig.executors[0].received_of_kind("FN").iter().filter(|s| s.connection > 0).count();
    assert!((1..=10).contains(&turned_away), "{turned_away}");
}

/// If each call took a separate connection, hundreds of front ends would fill the executors' connection
/// tables. But when a connection breaks, all calls that share it fail. So calls stop sharing connections to
/// an executor whose connections break.
#[test]
fn calls_share_connections_until_connections_break() {
    let rig = Rig::start(vec![on_call(|s| match s.line["data"].as_str() {
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
    assert!(opened <= 12, "{opened} connections for 12 calls, three of which broke their connection");
}

/// A call that must not run twice could not be repeated if another call broke its connection. So it has a
/// separate connection.
#[test]
fn calls_that_must_not_run_twice_share_no_connection() {
    let asked = [WebRequest::new(1), book(2), WebRequest::new(3), book(4), WebRequest::new(5)];
    let (call_count, arrived) = (asked.len(), Arc::new(AtomicUsize::new(0)));
    // None is answered before all have arrived, so that all are open at once.
    let rig = Rig::start(vec![on_call(move |s| {
        let arrived = arrived.clone();
        arrived.fetch_add(1, Ordering::Relaxed);
        vec![
            ScriptStep::WaitUntil(Arc::new(move || arrived.load(Ordering::Relaxed) >= call_count)),
            ScriptStep::Write(hit_line(s)),
        ]
    })]);
    let mut web = rig.web();
    asked.iter().zip(1..).for_each(|(ask, n)| web.send(n, ask).unwrap());
    asked.iter().for_each(|_| assert_eq!(web.answer().unwrap().status, 200));
    let seen = rig.executors[0].received_of_kind("FN");
    let connection_of = |ask: &WebRequest| seen.iter().find(|s| s.req == ask.id).unwrap().connection;
    let connections: Vec<_> = asked.iter().map(connection_of).collect();
    let alone = |n: usize| connections.iter().filter(|c| **c == connections[n]).count() == 1;
    assert!(alone(1) && alone(3), "{connections:?}");
}
