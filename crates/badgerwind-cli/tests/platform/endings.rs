//! The end of a front end, and another configuration: what comes in the last instant, and what is not ours.

use crate::rig::*;
use badgerwind_standins::platform::discovery::DiscoveryServer;
use badgerwind_standins::platform::executor::{hit_line, succeed, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::WebRequest;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests come for so long after SIGTERM, and a little less.
const COME: Duration = Duration::from_millis(600);
/// The front end accepts no more after this.
const ACCEPTS: Duration = Duration::from_millis(750);

/// Calls wait until the test says so.
fn gated(open: &Arc<AtomicBool>) -> Script {
    let open = open.clone();
    Box::new(move |s: &ReceivedLine| match s.kind.as_str() {
        "FN" => {
            assert!(wait_until(|| open.load(Ordering::Relaxed)));
            vec![ScriptStep::Write(hit_line(s))]
        }
        _ => succeed(s),
    })
}

/// Sends SIGTERM, and waits until the front end says that it stops: since when it may have begun.
fn stopping(rig: &Rig) -> Instant {
    let since = Instant::now();
    rig.signal("-TERM");
    assert!(rig.logs(&["stopping"]));
    since
}

/// What the machine has taken in counts, whether or not the process had its turn: connections that wait to be accepted and
/// requests that wait to be read when accepting ends.
#[test]
fn what_came_in_time_is_answered_though_the_front_end_had_no_core_then() {
    let mut rig = Rig::well();
    let mut open = rig.web();
    open.send_health_check(1).unwrap();
    open.answer().unwrap();
    let since = stopping(&rig);
    rig.freeze();
    open.send(1, &WebRequest::new(1)).unwrap();
    let mut queued: Vec<_> = (0..4).map(|_| rig.web()).collect();
    queued.iter_mut().zip(2..).for_each(|(web, n)| web.send(1, &WebRequest::new(n)).unwrap());
    // On a machine so busy that these came too late, nothing is owed.
    let owed = since.elapsed() < COME;
    std::thread::sleep((ACCEPTS + Duration::from_millis(50)).saturating_sub(since.elapsed()));
    rig.thaw();
    let mut answers = vec![open.answer().map(|a| a.status).ok()];
    answers.extend(queued.iter_mut().map(|web| web.answer().map(|a| a.status).ok()));
    assert!(!owed || answers == [Some(200); 5], "{answers:?}");
    assert_eq!(rig.ended(), Some(0));
}

/// A request that comes 0.6 s after SIGTERM has the whole of its time. SIGKILL comes 0.7 s after the longest deadline.
#[test]
fn the_last_request_has_its_whole_time() {
    let open = Arc::new(AtomicBool::new(false));
    let mut rig = Rig::start(vec![gated(&open)]);
    let since = stopping(&rig);
    std::thread::sleep(Duration::from_millis(500).saturating_sub(since.elapsed()));
    let mut web = rig.web();
    web.send(1, &WebRequest::new(1)).unwrap();
    let sent = Instant::now();
    // Its time is up 3 s after it was sent; longer than 3.375 s after SIGTERM.
    std::thread::sleep(Duration::from_millis(3_430).saturating_sub(since.elapsed()));
    let owed = sent.elapsed() < Duration::from_millis(2_960) && sent - since < COME;
    open.store(true, Ordering::Relaxed);
    let answer = web.answer().map(|a| a.status).ok();
    assert!(answer == Some(200) || !owed, "{answer:?}");
    assert_eq!(rig.ended(), Some(0));
    assert!(since.elapsed() < Duration::from_secs(12), "and it ends then");
}

/// SIGKILL comes 3.7 s after SIGTERM however long deadlines are: before it everyone has an answer, and whoever may try again
/// is told so while there is time.
#[test]
fn whoever_has_more_time_than_the_front_end_is_answered_before_its_end() {
    let rig = Rig::with(vec![Box::new(|s| if s.kind == "FN" { vec![] } else { succeed(s) })], |config| {
        config["settings"]["classes"][0]["hardLimit"] = json!(9_000_000);
        config["settings"]["classes"][1]["hardLimit"] = json!(9_000_000);
    });
    let mut rig = rig;
    let (mut look, mut book) = (rig.web(), rig.web());
    look.send(1, &WebRequest { wait_ms: 9_000, ..WebRequest::new(1) }).unwrap();
    book.send(1, &WebRequest { wait_ms: 9_000, class: "book".into(), ..WebRequest::new(2) }).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() >= 2));
    let since = stopping(&rig);
    let answers = [look.answer(), book.answer()].map(|a| a.map(|a| a.status).ok());
    assert_eq!(answers, [Some(503), Some(502)], "the one may run again, the other may have run");
    assert_eq!(rig.ended(), Some(0));
    // Its own clock says when: it is told to the log.
    assert!(rig.logs(&["stopped", "took=3.6"]), "{:?} {:?}", since.elapsed(), rig.lines());
}

/// Told twice to stop, and to read its configuration again meanwhile, it stops as it would have: neither sooner nor never.
#[test]
fn signals_that_cross_a_stop_change_nothing() {
    let open = Arc::new(AtomicBool::new(false));
    let mut rig = Rig::start(vec![gated(&open)]);
    let mut web = rig.web();
    let call = WebRequest { wait_ms: 60_000, ..WebRequest::new(1) };
    web.send(1, &call).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    stopping(&rig);
    for (name, line) in [("-TERM", "Term"), ("-HUP", "Hup"), ("-INT", "Int")] {
        rig.signal(name);
        assert!(rig.logs(&["stopping already", line]), "{name}");
    }
    assert!(rig.runs());
    open.store(true, Ordering::Relaxed);
    assert_eq!(web.answer().unwrap().status, 200);
    assert_eq!(rig.ended(), Some(0));
}

/// A client that leaves while the front end stops is waited for no longer.
#[test]
fn a_call_withdrawn_during_a_stop_holds_up_nothing() {
    let mut rig = Rig::start(vec![Box::new(|s| if s.kind == "FN" { vec![] } else { succeed(s) })]);
    let (mut aborts, mut closes) = (rig.web(), rig.web());
    let call = |n| WebRequest { wait_ms: 60_000, ..WebRequest::new(n) };
    aborts.send(1, &call(1)).unwrap();
    closes.send(1, &call(2)).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 2));
    let since = stopping(&rig);
    aborts.abort(1).unwrap();
    drop(closes);
    assert_eq!(rig.ended(), Some(0));
    assert!(rig.logs(&["stopped", "open=0"]), "{:?} {:?}", since.elapsed(), rig.lines());
}

/// Clients that send without end hold up neither the others' answers nor the end.
#[test]
fn clients_that_flood_hold_up_no_end() {
    let mut rig = Rig::start(vec![Box::new(|s| match s.line["data"].as_str() {
        Some("Zmxvb2Q=") => vec![],
        _ => succeed(s),
    })]);
    let over = Arc::<AtomicBool>::default();
    let mut floods = Vec::new();
    for n in 0..3 {
        let mut web = rig.web();
        web.send(1, &WebRequest { body: b"flood".to_vec(), wait_ms: 60_000, ..WebRequest::new(n) }).unwrap();
        let over = over.clone();
        floods.push(std::thread::spawn(move || {
            let junk = vec![0u8; 64 * 1024];
            while !over.load(Ordering::Relaxed) && web.write(&junk).is_ok() {}
        }));
    }
    stopping(&rig);
    assert_eq!(rig.call(&WebRequest::new(9)).status, 200);
    assert_eq!(rig.ended(), Some(0));
    over.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|t| t.join().unwrap());
}

/// One that takes its answers slowly gets them whole.
#[test]
fn answers_taken_slowly_during_a_stop_come_whole() {
    let big = vec![b'x'; 180_000];
    let data = big.clone();
    let mut rig = Rig::start(vec![Box::new(move |s| match s.kind.as_str() {
        "FN" => {
            let mut own = s.clone();
            own.line["data"] = json!(base64(&data));
            vec![ScriptStep::Write(hit_line(&own))]
        }
        _ => succeed(s),
    })]);
    let mut web = rig.web();
    (1..=5).for_each(|n| web.send(n, &WebRequest::new(n.into())).unwrap());
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 5));
    stopping(&rig);
    // It reads nothing until the front end would have ended otherwise.
    std::thread::sleep(Duration::from_millis(1_200));
    for _ in 0..5 {
        let answer = web.answer().unwrap();
        assert!(answer.status == 200 && answer.body == big, "{} {}", answer.status, answer.body.len());
    }
    assert_eq!(rig.ended(), Some(0));
}

fn base64(bytes: &[u8]) -> String {
    use badgerwind_platform::line;
    let mut out = Vec::new();
    line::call(&mut out, &line::Call { id: "", class: "", function: "", wait_ms: 1, body: bytes });
    let line: serde_json::Value = serde_json::from_slice(&out).unwrap();
    line["data"].as_str().unwrap().to_owned()
}

/// Another customer's file in the place of ours: nothing of it is taken over, and the line says what is wrong with it.
#[test]
fn a_configuration_of_another_front_end_is_refused_as_a_whole() {
    let rig = Rig::well();
    let others = DiscoveryServer::start(2).unwrap();
    let refuse = |change: &dyn Fn(&mut serde_json::Value), words: &[&str]| {
        let mut config = rig.config.clone();
        config["board"] = json!(others.address);
        change(&mut config);
        rig.replace(&config.to_string());
        rig.signal("-HUP");
        let all: Vec<&str> = [&["stays as it was", "config.json", "restart"], words].concat();
        assert!(rig.logs(&all), "{words:?}: {:?}", rig.lines());
    };
    refuse(&|c| c["name"] = json!("n7"), &["name", "n7", "n0"]);
    refuse(&|c| c["listen"] = json!("127.0.0.1:9"), &["listen", "127.0.0.1:9"]);
    refuse(&|c| c["settings"]["classes"][0]["name"] = json!("pay"), &["classes", "pay", "look"]);
    refuse(&|c| c["settings"]["orgs"][0]["name"] = json!("umbrella"), &["tenants", "umbrella"]);
    refuse(&|c| c["settings"]["failureDomains"] = json!(["east", "west"]), &["zones", "west"]);
    refuse(&|c| c["settings"]["kinds"] = json!(["std", "small"]), &["kinds", "small"]);
    assert_eq!(others.requested(), [0u64; 0], "its board is not ours");
    // Ours, with more changed than the board's address: that alone is taken over, and the rest is named.
    let mut config = rig.config.clone();
    config["board"] = json!(others.address);
    config["limits"]["memory_mb"] = json!(64);
    config["settings"]["peersTotal"] = json!(9);
    rig.replace(&config.to_string());
    rig.signal("-HUP");
    assert!(rig.logs(&["config.json", "limits, settings", "next start"]), "{:?}", rig.lines());
    assert!(wait_until(|| !others.requested().is_empty()));
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
}
