//! Clients that nobody wants, beside one that is served.

use crate::rig::*;
use badgerwind_platform::fcgi;
use badgerwind_standins::platform::executor::{hit_line, succeed, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::{WebConnection, WebRequest};
use serde_json::json;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// An answer or a close is owed within this, and what the test itself takes.
const OWED: Duration = Duration::from_secs(3);

fn begun(number: u16) -> Vec<u8> {
    let mut out = Vec::new();
    fcgi::record(&mut out, fcgi::BEGIN_REQUEST, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out
}

#[test]
fn requests_that_cannot_be_used_fail_and_never_reach_an_executor() {
    let rig = Rig::well();
    let good = WebRequest::new(1);
    for bad in [
        WebRequest { id: "".into(), ..good.clone() },
        WebRequest { id: "9B1F".into(), ..good.clone() },
        WebRequest { key: "not a function!!".into(), ..good.clone() },
        WebRequest { class: "steal".into(), ..good.clone() },
        WebRequest { wait_ms: 0, ..good.clone() },
        WebRequest { wait_ms: u64::MAX, ..good.clone() },
    ] {
        assert_eq!(rig.call(&bad).status, 400, "{bad:?}");
    }
    assert_eq!(rig.call(&good).status, 200);
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), 1);
}

#[test]
fn an_id_that_is_open_harms_only_the_newcomer() {
    let rig = Rig::start(vec![Box::new(|s| match s.kind.as_str() {
        "FN" => vec![ScriptStep::Wait(Duration::from_millis(300)), ScriptStep::Write(hit_line(s))],
        _ => succeed(s),
    })]);
    let (mut first, mut second) = (rig.web(), rig.web());
    first.send(1, &WebRequest::new(1)).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    second.send(1, &WebRequest { body: b"another".to_vec(), ..WebRequest::new(1) }).unwrap();
    assert_eq!(second.answer().unwrap().status, 409);
    second.abort(1).unwrap();
    let answer = first.answer().unwrap();
    assert_eq!((answer.status, &answer.body[..]), (200, &b"body 1"[..]));
    assert_eq!(rig.executors[0].received_of_kind("FN").len(), 1);
}

#[test]
fn endless_wrong_and_half_messages_are_answered_or_closed_while_others_are_served() {
    let rig = Rig::well();
    let mut params = Vec::new();
    fcgi::record(&mut params, fcgi::PARAMS, 1, &[b'x'; 60_000]);
    let mut stray = Vec::new();
    fcgi::record(&mut stray, fcgi::STDIN, 9, &[b'x'; 60_000]);
    let whole = WebRequest::new(5).records(1);
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("no FastCGI", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec()),
        ("parameters without end", [begun(1), params.repeat(20)].concat()),
        ("records of nothing", stray.repeat(20)),
        ("half a request", whole[..whole.len() / 2].to_vec()),
        ("half a header", vec![1, 1, 0]),
        ("nothing", vec![]),
        ("a length that lies", vec![1, 5, 0, 1, 0xff, 0xff, 0, 0, b'x']),
        ("a body of megabytes", {
            let mut body = Vec::new();
            fcgi::record(&mut body, fcgi::STDIN, 1, &[b'x'; 60_000]);
            let mut none = Vec::new();
            fcgi::stream(&mut none, fcgi::PARAMS, 1, b"");
            [begun(1), none, body.repeat(100)].concat()
        }),
    ];
    let before = rig.memory();
    let mut bad: Vec<(&str, WebConnection, Instant)> = Vec::new();
    for (name, bytes) in &cases {
        let mut web = rig.web();
        // Broken off in the middle of writing is an answer, too.
        let _ = web.write(bytes);
        bad.push((*name, web, Instant::now()));
    }
    for n in 0..20 {
        assert_eq!(rig.call(&WebRequest::new(100 + n)).status, 200);
    }
    for (name, mut web, since) in bad {
        assert!(web.wait_closed(), "{name}");
        assert!(since.elapsed() < OWED + Duration::from_secs(2), "{name}: {:?}", since.elapsed());
    }
    assert!(rig.memory() < before + 8192, "{} {before}", rig.memory());
}

#[test]
fn hundreds_of_silent_connections_take_no_place_from_those_that_ask() {
    let rig = Rig::well();
    let mut own = rig.web();
    own.send(1, &WebRequest::new(1)).unwrap();
    assert_eq!(own.answer().unwrap().status, 200);
    let silent: Vec<WebConnection> = (0..300).map(|_| rig.web()).collect();
    own.send(1, &WebRequest::new(2)).unwrap();
    assert_eq!(own.answer().unwrap().status, 200, "one that asked before keeps its connection");
    for n in 0..20 {
        assert_eq!(rig.call(&WebRequest::new(10 + n)).status, 200);
    }
    assert!(rig.descriptors() <= 256, "{}", rig.descriptors());
    drop(silent);
    assert!(wait_until(|| rig.descriptors() < 40), "{}", rig.descriptors());
}

#[test]
fn many_at_once_and_as_many_withdrawn_leave_nothing_behind() {
    let rig = Rig::start(vec![Box::new(|s| match s.kind.as_str() {
        "FN" => vec![ScriptStep::Wait(Duration::from_millis(50)), ScriptStep::Write(hit_line(s))],
        _ => succeed(s),
    })]);
    let mut webs: Vec<WebConnection> = (0..10).map(|_| rig.web()).collect();
    for (c, web) in webs.iter_mut().enumerate() {
        for n in 0..32u16 {
            web.send(n + 1, &WebRequest::new(c as u64 * 100 + u64::from(n))).unwrap();
        }
        for n in 0..31u16 {
            web.abort(n + 1).unwrap();
        }
    }
    for web in &mut webs {
        assert_eq!(web.answer().unwrap().number, 32, "what was not withdrawn has its one answer");
    }
    assert_eq!(rig.call(&WebRequest::new(9999)).status, 200);
}

/// A reader that takes none of its answers is bounded; others do not notice.
#[test]
fn one_that_reads_nothing_is_closed_in_the_end() {
    let large = |s: &ReceivedLine| ReceivedLine { line: json!({"data": "eHh4".repeat(40_000)}), ..s.clone() };
    let rig = Rig::start(vec![Box::new(move |s| match s.kind.as_str() {
        "FN" => vec![ScriptStep::Write(hit_line(&large(s)))],
        _ => succeed(s),
    })]);
    let mut deaf = rig.web();
    let before = rig.memory();
    let mut n = 0;
    let taken = wait_until(|| {
        n += 1;
        deaf.send(n as u16, &WebRequest::new(n)).is_err()
    });
    assert!(taken, "it is broken off");
    assert!(rig.memory() < before + 16 * 1024, "{} {before}", rig.memory());
    assert_eq!(rig.call(&WebRequest::new(1_000_000)).status, 200);
}

/// While the front end has no core, hundreds that connect take nobody's place in the queue: the 129th waited a second.
#[test]
fn hundreds_connect_at_once_while_the_front_end_stands_still() {
    let rig = Rig::well();
    rig.signal("-STOP");
    let connect = || TcpStream::connect_timeout(&rig.address, Duration::from_millis(900));
    let waiting: Vec<_> = (0..400).map(|_| connect()).collect();
    rig.signal("-CONT");
    assert!(waiting.iter().all(Result::is_ok));
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
}
