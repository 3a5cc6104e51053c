//! A front end that has received nothing from service discovery asks each executor for confirmation before it
//! sends it work. Scripted executors hold each race at the exact state under test.

use crate::rig::{id, Rig, Script};
use badgerwind_standins::platform::discovery::{Behaviour, DiscoveryServer};
use badgerwind_standins::platform::executor::{answer_line, succeed, Executor, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::WebRequest;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A front end whose service discovery is silent from the start.
fn start_without_discovery(scripts: Vec<Script>) -> Rig {
    start_without_discovery_with(scripts, |_| {})
}

fn start_without_discovery_with(scripts: Vec<Script>, change: impl FnOnce(&mut Value)) -> Rig {
    let silent = DiscoveryServer::start(2).unwrap();
    silent.set_behaviour(Behaviour::Silent);
    let mut rig = Rig::start_with(scripts, |config| {
        config["board"] = json!(silent.address);
        change(config);
    });
    rig.discovery = silent;
    rig
}

/// The same with a longer timeout for answers and a longer validity of them than a busy machine needs.
fn start_without_discovery_with_long_timeouts(scripts: Vec<Script>) -> Rig {
    start_without_discovery_with(scripts, |config| {
        config["settings"]["allowed"]["connectTimeout"] = json!(20_000_000);
        config["settings"]["rules"]["stopSendingWithin"] = json!(60_000_000);
    })
}

fn is_question(s: &ReceivedLine) -> bool {
    s.kind == "HELO" || is_order_question(s)
}

/// An order for no copies, which asks whether the executor takes orders.
fn is_order_question(s: &ReceivedLine) -> bool {
    s.kind == "SPAWN" && s.line["meta"]["slots_up"].as_u64() == Some(0)
}

fn questions(executor: &Executor) -> usize {
    executor.received().iter().filter(|s| is_question(s)).count()
}

/// The calls and the orders to load that an executor has received.
fn work(executor: &Executor) -> Vec<ReceivedLine> {
    executor
        .received()
        .into_iter()
        .filter(|s| matches!(s.kind.as_str(), "FN" | "SPAWN") && !is_order_question(s))
        .collect()
}

/// An executor that answers questions once the test sets `open`.
fn answers_questions_once(open: &Arc<AtomicBool>) -> Script {
    let open = open.clone();
    Box::new(move |s: &ReceivedLine| {
        if is_question(s) {
            assert!(wait_until(|| open.load(Ordering::Relaxed)));
        }
        succeed(s)
    })
}

/// A draining executor either denies work to probes alone, while it accepts an order for no copies and orders
/// to load, or it refuses both kinds of orders.
#[test]
fn a_draining_executor_is_asked_and_gets_neither_calls_nor_orders_to_load() {
    let by_probe = |s: &ReceivedLine| match s.kind.as_str() {
        "HELO" => vec![ScriptStep::Write(answer_line("SICK", s))],
        "FN" => vec![ScriptStep::Write(answer_line("SHED", s))],
        _ => succeed(s),
    };
    let by_order = |s: &ReceivedLine| match s.kind.as_str() {
        "FN" | "SPAWN" => vec![ScriptStep::Write(answer_line("SHED", s))],
        _ => succeed(s),
    };
    let scripts: [Script; 2] = [Box::new(by_probe), Box::new(by_order)];
    for script in scripts {
        let rig = start_without_discovery(vec![script]);
        // The first question goes over a new connection, where a refusal may mean that the connection table
        // is full.
        (0..4).for_each(|n| _ = rig.call(&WebRequest { wait_ms: 400, ..WebRequest::new(n) }));
        assert!(rig.wait_for_log(&["takes no new work", "s-a0000000"]), "{:?}", rig.log_lines());
        let work = work(&rig.executors[0]);
        assert!(questions(&rig.executors[0]) >= 2 && work.is_empty(), "{work:?}");
    }
}

#[test]
fn many_calls_share_one_question() {
    let open = Arc::<AtomicBool>::default();
    let rig = start_without_discovery_with_long_timeouts(vec![answers_questions_once(&open)]);
    let mut web = rig.web();
    (1..=20).for_each(|n| web.send(n, &WebRequest::new(n.into())).unwrap());
    assert!(wait_until(|| questions(&rig.executors[0]) == 2));
    // Once this later request is answered, all calls have been read and wait.
    assert_eq!(rig.health(), 200);
    open.store(true, Ordering::Relaxed);
    let served = (1..=20).filter(|_| web.answer().unwrap().status == 200).count();
    assert_eq!(served, 20);
    assert_eq!(questions(&rig.executors[0]), 2);
}

#[test]
fn a_call_aborted_while_its_question_is_open_never_starts() {
    let open = Arc::<AtomicBool>::default();
    let rig = start_without_discovery_with_long_timeouts(vec![answers_questions_once(&open)]);
    let (mut leaves, mut stays) = (rig.web(), rig.web());
    let left = WebRequest::new(1);
    leaves.send(1, &left).unwrap();
    assert!(wait_until(|| questions(&rig.executors[0]) == 2));
    leaves.abort(1).unwrap();
    assert_eq!(rig.health(), 200);
    open.store(true, Ordering::Relaxed);
    stays.send(1, &WebRequest::new(2)).unwrap();
    assert_eq!(stays.answer().unwrap().status, 200);
    assert!(rig.executors[0].received_of_kind("FN").iter().all(|s| s.req != left.id));
}

/// The call that asked the question is aborted, and the connection with the question ends. A call that waits
/// on another connection must then ask again.
#[test]
fn calls_on_another_connection_do_not_wait_for_a_question_whose_connection_has_ended() {
    let open = Arc::<AtomicBool>::default();
    let closes = open.clone();
    let script: Script = Box::new(move |s| match (s.kind.as_str(), s.connection) {
        ("HELO", 0) => {
            assert!(wait_until(|| closes.load(Ordering::Relaxed)));
            vec![ScriptStep::Close]
        }
        _ => succeed(s),
    });
    let rig = start_without_discovery_with_long_timeouts(vec![script]);
    let book = |n| WebRequest {
        class: "book".into(),
        key: format!("{n:016x}"),
        wait_ms: 20_000,
        ..WebRequest::new(n)
    };
    let (mut leaves, mut stays) = (rig.web(), rig.web());
    leaves.send(1, &book(1)).unwrap();
    assert!(wait_until(|| questions(&rig.executors[0]) == 2));
    stays.send(1, &book(2)).unwrap();
    assert!(wait_until(|| rig.executors[0].connections.accepted.load(Ordering::Relaxed) == 2));
    leaves.abort(1).unwrap();
    assert_eq!(rig.health(), 200);
    open.store(true, Ordering::Relaxed);
    assert_eq!(stays.answer().unwrap().status, 200);
    assert_eq!(work(&rig.executors[0]).len(), 1);
}

/// An executor ends while nothing is open at it, and another process takes its address before the next call.
#[test]
fn nothing_is_sent_to_another_process_at_the_address_of_an_ended_executor() {
    let rig = start_without_discovery(vec![Box::new(succeed), Box::new(succeed)]);
    let call = |n: u64| rig.call(&WebRequest { key: format!("{n:016x}"), ..WebRequest::new(n) }).status;
    assert!((0..40).all(|n| call(n) == 200));
    assert!(!rig.executors[0].received_of_kind("FN").is_empty());
    rig.executors[0].stop();
    assert!(
        rig.wait_for_log(&["nobody listens there", &format!("s-{:08x}", id(0))]),
        "{:?}",
        rig.log_lines()
    );
    let mut listener = None;
    assert!(wait_until(|| {
        listener = TcpListener::bind(rig.executors[0].address).ok();
        listener.is_some()
    }));
    let successor = Executor::on(listener.unwrap(), usize::MAX, succeed).unwrap();
    assert!((40..80).all(|n| call(n) == 200), "the other executor serves");
    assert!(successor.received().is_empty(), "{:?}", successor.received());
}

/// A hanging executor answers no question. The calls that waited for its answer are served elsewhere or
/// refused in time.
#[test]
fn an_executor_that_answers_no_question_delays_nobody() {
    // Also if the decision module may not cancel attempts.
    for may_cancel in [true, false] {
        let rig = start_without_discovery_with(vec![Box::new(succeed), Box::new(|_| vec![])], |config| {
            config["settings"]["allowed"]["mayCancel"] = json!(may_cancel);
        });
        let served = (0..40).filter(|&n| {
            let key = format!("{n:016x}");
            rig.call(&WebRequest { key, wait_ms: 1_200, ..WebRequest::new(n) }).status == 200
        });
        let served = served.count();
        assert!(served >= 40, "{served} of 40, cancel {may_cancel}");
        assert!(work(&rig.executors[1]).is_empty());
    }
}

#[test]
fn a_stop_during_an_outage_answers_all_accepted_calls() {
    let open = Arc::<AtomicBool>::default();
    let mut rig = start_without_discovery_with_long_timeouts(vec![answers_questions_once(&open)]);
    let mut web = rig.web();
    web.send(1, &WebRequest::new(1)).unwrap();
    assert!(wait_until(|| questions(&rig.executors[0]) == 2));
    rig.signal("-TERM");
    assert!(rig.wait_for_log(&["stopping"]));
    web.send(2, &WebRequest::new(2)).unwrap();
    open.store(true, Ordering::Relaxed);
    let answers = [web.answer(), web.answer()].map(|a| a.map(|a| a.status).ok());
    assert!(answers.iter().all(|a| matches!(a, Some(200 | 503))), "{answers:?}");
    assert_eq!(rig.wait_for_exit(), Some(0));
}

/// The first event of service discovery makes the list fresh and ends the questions.
#[test]
fn no_questions_are_asked_once_the_list_is_fresh() {
    let rig = start_without_discovery(vec![Box::new(succeed)]);
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    let asked = questions(&rig.executors[0]);
    assert!(asked > 0);
    rig.discovery.set_behaviour(Behaviour::Normal);
    assert!(rig.wait_for_log(&["fresh again"]));
    assert!((2..40).all(|n| rig.call(&WebRequest::new(n)).status == 200));
    assert_eq!(questions(&rig.executors[0]), asked);
}
