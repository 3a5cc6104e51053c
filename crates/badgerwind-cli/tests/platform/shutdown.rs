//! Shutdown of a front end with calls that arrive at the last moment, and reloads of the configuration.

use crate::rig::*;
use badgerwind_standins::platform::discovery::DiscoveryServer;
use badgerwind_standins::platform::executor::{hit_line, succeed, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::WebRequest;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Web servers send requests for about this long after SIGTERM.
const ARRIVALS: Duration = Duration::from_millis(600);
/// The front end accepts no connection later than this after SIGTERM.
const ACCEPTS: Duration = Duration::from_millis(750);

/// An executor that answers calls once the test sets `open`.
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

/// Sends SIGTERM and waits until the front end logs that it stops. Returns the time of the signal.
fn stop(rig: &Rig) -> Instant {
    let since = Instant::now();
    rig.signal("-TERM");
    assert!(rig.wait_for_log(&["stopping"]));
    since
}

/// Connections that wait to be accepted and requests that wait to be read when accepting ends have arrived in
/// time, even if the process was not scheduled until then.
#[test]
fn requests_that_arrive_in_time_are_answered_even_if_the_process_does_not_run_then() {
    let mut rig = Rig::start_well();
    let mut open = rig.web();
    open.send_health_check(1).unwrap();
    open.answer().unwrap();
    let since = stop(&rig);
    rig.pause();
    open.send(1, &WebRequest::new(1)).unwrap();
    let mut queued: Vec<_> = (0..4).map(|_| rig.web()).collect();
    queued.iter_mut().zip(2..).for_each(|(web, n)| web.send(1, &WebRequest::new(n)).unwrap());
    // On a machine so busy that these requests came too late, they need not be answered.
    let in_time = since.elapsed() < ARRIVALS;
    std::thread::sleep((ACCEPTS + Duration::from_millis(50)).saturating_sub(since.elapsed()));
    rig.resume();
    let mut answers = vec![open.answer().map(|a| a.status).ok()];
    answers.extend(queued.iter_mut().map(|web| web.answer().map(|a| a.status).ok()));
    assert!(!in_time || answers == [Some(200); 5], "{answers:?}");
    assert_eq!(rig.wait_for_exit(), Some(0));
}

/// A request that arrives 0.6 s after SIGTERM still has its full deadline. SIGKILL comes 0.7 s after the
/// longest deadline.
#[test]
fn the_last_request_has_its_full_deadline() {
    let open = Arc::new(AtomicBool::new(false));
    let mut rig = Rig::start(vec![gated(&open)]);
    let since = stop(&rig);
    std::thread::sleep(Duration::from_millis(500).saturating_sub(since.elapsed()));
    let mut web = rig.web();
    web.send(1, &WebRequest::new(1)).unwrap();
    let sent = Instant::now();
    // Its deadline is 3 s after it was sent, which is later than 3.375 s after SIGTERM.
    std::thread::sleep(Duration::from_millis(3_430).saturating_sub(since.elapsed()));
    let in_time = sent.elapsed() < Duration::from_millis(2_960) && sent - since < ARRIVALS;
    open.store(true, Ordering::Relaxed);
    let answer = web.answer().map(|a| a.status).ok();
    assert!(answer == Some(200) || !in_time, "{answer:?}");
    assert_eq!(rig.wait_for_exit(), Some(0));
    assert!(since.elapsed() < Duration::from_secs(12), "the process ends after its last call");
}

/// SIGKILL comes 3.7 s after SIGTERM however long deadlines are. Every client must have its answer before
/// that, and those whose calls may be repeated must be told so while they have time to repeat them.
#[test]
fn calls_with_deadlines_beyond_the_stop_are_answered_before_it_ends() {
    let rig =
        Rig::start_with(vec![Box::new(|s| if s.kind == "FN" { vec![] } else { succeed(s) })], |config| {
            config["settings"]["classes"][0]["hardLimit"] = json!(9_000_000);
            config["settings"]["classes"][1]["hardLimit"] = json!(9_000_000);
        });
    let mut rig = rig;
    let (mut look, mut book) = (rig.web(), rig.web());
    look.send(1, &WebRequest { wait_ms: 9_000, ..WebRequest::new(1) }).unwrap();
    book.send(1, &WebRequest { wait_ms: 9_000, class: "book".into(), ..WebRequest::new(2) }).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() >= 2));
    let since = stop(&rig);
    let answers = [look.answer(), book.answer()].map(|a| a.map(|a| a.status).ok());
    assert_eq!(answers, [Some(503), Some(502)], "the first may be repeated, the second may have run");
    assert_eq!(rig.wait_for_exit(), Some(0));
    // The duration is measured by the front end itself, which logs it.
    assert!(rig.wait_for_log(&["stopped", "took=3.6"]), "{:?} {:?}", since.elapsed(), rig.log_lines());
}

/// Another signal to stop, or one to reload the configuration, changes nothing of a stop that is in progress:
/// it neither ends sooner nor hangs.
#[test]
fn signals_during_a_stop_change_nothing() {
    let open = Arc::new(AtomicBool::new(false));
    let mut rig = Rig::start(vec![gated(&open)]);
    let mut web = rig.web();
    let call = WebRequest { wait_ms: 60_000, ..WebRequest::new(1) };
    web.send(1, &call).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 1));
    stop(&rig);
    for (name, line) in [("-TERM", "Term"), ("-HUP", "Hup"), ("-INT", "Int")] {
        rig.signal(name);
        assert!(rig.wait_for_log(&["stopping already", line]), "{name}");
    }
    assert!(rig.is_running());
    open.store(true, Ordering::Relaxed);
    assert_eq!(web.answer().unwrap().status, 200);
    assert_eq!(rig.wait_for_exit(), Some(0));
}

/// A stop does not wait for the calls of clients that have disconnected or aborted.
#[test]
fn calls_aborted_during_a_stop_do_not_delay_it() {
    let mut rig = Rig::start(vec![Box::new(|s| if s.kind == "FN" { vec![] } else { succeed(s) })]);
    let (mut aborts, mut closes) = (rig.web(), rig.web());
    let call = |n| WebRequest { wait_ms: 60_000, ..WebRequest::new(n) };
    aborts.send(1, &call(1)).unwrap();
    closes.send(1, &call(2)).unwrap();
    assert!(wait_until(|| rig.executors[0].received_of_kind("FN").len() == 2));
    let since = stop(&rig);
    aborts.abort(1).unwrap();
    drop(closes);
    assert_eq!(rig.wait_for_exit(), Some(0));
    assert!(rig.wait_for_log(&["stopped", "open=0"]), "{:?} {:?}", since.elapsed(), rig.log_lines());
}

/// Clients that send without end delay neither the answers of others nor the end of the process.
#[test]
fn clients_that_flood_do_not_delay_a_stop() {
    let mut rig = Rig::start(vec![Box::new(|s| match s.line["data"].as_str() {
        Some("Zmxvb2Q=") => vec![],
        _ => succeed(s),
    })]);
    let done = Arc::<AtomicBool>::default();
    let mut floods = Vec::new();
    for n in 0..3 {
        let mut web = rig.web();
        web.send(1, &WebRequest { body: b"flood".to_vec(), wait_ms: 60_000, ..WebRequest::new(n) }).unwrap();
        let done = done.clone();
        floods.push(std::thread::spawn(move || {
            let junk = vec![0u8; 64 * 1024];
            while !done.load(Ordering::Relaxed) && web.write(&junk).is_ok() {}
        }));
    }
    stop(&rig);
    assert_eq!(rig.call(&WebRequest::new(9)).status, 200);
    assert_eq!(rig.wait_for_exit(), Some(0));
    done.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|t| t.join().unwrap());
}

/// A client that reads slowly gets its answers complete although the front end stops.
#[test]
fn answers_read_slowly_during_a_stop_are_complete() {
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
    stop(&rig);
    // The client reads nothing until the front end would have ended without it.
    std::thread::sleep(Duration::from_millis(1_200));
    for _ in 0..5 {
        let answer = web.answer().unwrap();
        assert!(answer.status == 200 && answer.body == big, "{} {}", answer.status, answer.body.len());
    }
    assert_eq!(rig.wait_for_exit(), Some(0));
}

fn base64(bytes: &[u8]) -> String {
    use badgerwind_platform::line;
    let mut out = Vec::new();
    line::write_call(&mut out, &line::Call { id: "", class: "", function: "", wait_ms: 1, body: bytes });
    let line: serde_json::Value = serde_json::from_slice(&out).unwrap();
    line["data"].as_str().unwrap().to_owned()
}

/// After a mix-up of files, a reload finds the configuration of another front end. Nothing of it is applied,
/// and the log line names the difference.
#[test]
fn a_reload_with_the_configuration_of_another_front_end_is_rejected_as_a_whole() {
    let rig = Rig::start_well();
    let others = DiscoveryServer::start(2).unwrap();
    let refuse = |change: &dyn Fn(&mut serde_json::Value), words: &[&str]| {
        let mut config = rig.config.clone();
        config["board"] = json!(others.address);
        change(&mut config);
        rig.replace_config(&config.to_string());
        rig.signal("-HUP");
        let all: Vec<&str> = [&["stays as it was", "config.json", "restart"], words].concat();
        assert!(rig.wait_for_log(&all), "{words:?}: {:?}", rig.log_lines());
    };
    refuse(&|c| c["name"] = json!("n7"), &["name", "n7", "n0"]);
    refuse(&|c| c["listen"] = json!("127.0.0.1:9"), &["listen", "127.0.0.1:9"]);
    refuse(&|c| c["settings"]["classes"][0]["name"] = json!("pay"), &["classes", "pay", "look"]);
    refuse(&|c| c["settings"]["orgs"][0]["name"] = json!("umbrella"), &["tenants", "umbrella"]);
    refuse(&|c| c["settings"]["failureDomains"] = json!(["east", "west"]), &["zones", "west"]);
    refuse(&|c| c["settings"]["kinds"] = json!(["std", "small"]), &["kinds", "small"]);
    assert_eq!(others.requested(), [0u64; 0], "the discovery of the rejected configuration is not followed");
    // In its own configuration, the changed discovery address is applied, and the other changes are named in
    // the log.
    let mut config = rig.config.clone();
    config["board"] = json!(others.address);
    config["limits"]["memory_mb"] = json!(64);
    config["settings"]["peersTotal"] = json!(9);
    rig.replace_config(&config.to_string());
    rig.signal("-HUP");
    assert!(rig.wait_for_log(&["config.json", "limits, settings", "next start"]), "{:?}", rig.log_lines());
    assert!(wait_until(|| !others.requested().is_empty()));
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
}
