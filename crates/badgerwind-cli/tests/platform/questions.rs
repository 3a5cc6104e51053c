//! A front end that has not been told anything by service discovery asks executors before it sends them work: each crossing held
//! at its exact state by a scripted executor.

use crate::rig::{id, Rig, Script};
use badgerwind_standins::platform::discovery::{Behaviour, DiscoveryServer};
use badgerwind_standins::platform::executor::{answer_line, succeed, Executor, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::wait_until;
use badgerwind_standins::platform::web::WebRequest;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A front end whose discovery says nothing, from its start on.
fn untold(scripts: Vec<Script>) -> Rig {
    untold_with(scripts, |_| {})
}

fn untold_with(scripts: Vec<Script>, change: impl FnOnce(&mut Value)) -> Rig {
    let silent = DiscoveryServer::start(2).unwrap();
    silent.set_behaviour(Behaviour::Silent);
    let mut rig = Rig::with(scripts, |config| {
        config["board"] = json!(silent.address);
        change(config);
    });
    rig.board = silent;
    rig
}

/// The same where answers are waited for, and worth something, for longer than a busy machine takes.
fn untold_and_patient(scripts: Vec<Script>) -> Rig {
    untold_with(scripts, |config| {
        config["settings"]["allowed"]["connectTimeout"] = json!(20_000_000);
        config["settings"]["rules"]["stopSendingWithin"] = json!(60_000_000);
    })
}

fn is_question(s: &ReceivedLine) -> bool {
    s.kind == "HELO" || is_order_question(s)
}

fn is_order_question(s: &ReceivedLine) -> bool {
    s.kind == "SPAWN" && s.line["meta"]["slots_up"].as_u64() == Some(0)
}

fn questions(executor: &Executor) -> usize {
    executor.received().iter().filter(|s| is_question(s)).count()
}

/// Calls, and orders to load.
fn work(executor: &Executor) -> Vec<ReceivedLine> {
    executor
        .received()
        .into_iter()
        .filter(|s| matches!(s.kind.as_str(), "FN" | "SPAWN") && !is_order_question(s))
        .collect()
}

/// It answers questions once the test says so.
fn answers_questions_once(open: &Arc<AtomicBool>) -> Script {
    let open = open.clone();
    Box::new(move |s: &ReceivedLine| {
        if is_question(s) {
            assert!(wait_until(|| open.load(Ordering::Relaxed)));
        }
        succeed(s)
    })
}

/// Executors answer an order for no copies well while they drain, and take orders to load; or they turn both away.
#[test]
fn one_that_drains_is_asked_and_sent_neither_calls_nor_orders_to_load() {
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
        let rig = untold(vec![script]);
        // The first question goes over a new connection, where a refusal may be for want of room.
        (0..4).for_each(|n| _ = rig.call(&WebRequest { wait_ms: 400, ..WebRequest::new(n) }));
        assert!(rig.logs(&["takes no new work", "s-a0000000"]), "{:?}", rig.lines());
        let work = work(&rig.executors[0]);
        assert!(questions(&rig.executors[0]) >= 2 && work.is_empty(), "{work:?}");
    }
}

#[test]
fn many_calls_share_one_question() {
    let open = Arc::<AtomicBool>::default();
    let rig = untold_and_patient(vec![answers_questions_once(&open)]);
    let mut web = rig.web();
    (1..=20).for_each(|n| web.send(n, &WebRequest::new(n.into())).unwrap());
    assert!(wait_until(|| questions(&rig.executors[0]) == 2));
    // Another call has come and gone by the time at which all of them wait.
    assert_eq!(rig.health(), 200);
    open.store(true, Ordering::Relaxed);
    let served = (1..=20).filter(|_| web.answer().unwrap().status == 200).count();
    assert_eq!(served, 20);
    assert_eq!(questions(&rig.executors[0]), 2);
}

#[test]
fn a_call_whose_client_leaves_while_the_question_is_out_never_begins() {
    let open = Arc::<AtomicBool>::default();
    let rig = untold_and_patient(vec![answers_questions_once(&open)]);
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

/// The call whose turn it was to ask has left, and the connection ends under its question: whoever waits on another one asks anew.
#[test]
fn work_on_another_connection_does_not_wait_for_a_question_that_ended_with_its_connection() {
    let open = Arc::<AtomicBool>::default();
    let closes = open.clone();
    let script: Script = Box::new(move |s| match (s.kind.as_str(), s.connection) {
        ("HELO", 0) => {
            assert!(wait_until(|| closes.load(Ordering::Relaxed)));
            vec![ScriptStep::Close]
        }
        _ => succeed(s),
    });
    let rig = untold_and_patient(vec![script]);
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

/// The executor ends while nothing is out there, and another process has its address before anything is called again.
#[test]
fn nothing_goes_to_whoever_listens_at_the_address_of_one_that_has_gone() {
    let rig = untold(vec![Box::new(succeed), Box::new(succeed)]);
    let call = |n: u64| rig.call(&WebRequest { key: format!("{n:016x}"), ..WebRequest::new(n) }).status;
    assert!((0..40).all(|n| call(n) == 200));
    assert!(!rig.executors[0].received_of_kind("FN").is_empty());
    rig.executors[0].stop();
    assert!(rig.logs(&["nobody listens there", &format!("s-{:08x}", id(0))]), "{:?}", rig.lines());
    let mut listener = None;
    assert!(wait_until(|| {
        listener = TcpListener::bind(rig.executors[0].address).ok();
        listener.is_some()
    }));
    let newcomer = Executor::on(listener.unwrap(), usize::MAX, succeed).unwrap();
    assert!((40..80).all(|n| call(n) == 200), "the other one serves");
    assert!(newcomer.received().is_empty(), "{:?}", newcomer.received());
}

/// An executor that hangs answers no question: what waited for it goes another way, or is refused in time.
#[test]
fn one_that_answers_no_question_holds_up_nobody() {
    // Also where the module may call nothing off.
    for may_cancel in [true, false] {
        let rig = untold_with(vec![Box::new(succeed), Box::new(|_| vec![])], |config| {
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
fn a_stop_in_an_outage_answers_all_that_was_taken() {
    let open = Arc::<AtomicBool>::default();
    let mut rig = untold_and_patient(vec![answers_questions_once(&open)]);
    let mut web = rig.web();
    web.send(1, &WebRequest::new(1)).unwrap();
    assert!(wait_until(|| questions(&rig.executors[0]) == 2));
    rig.signal("-TERM");
    assert!(rig.logs(&["stopping"]));
    web.send(2, &WebRequest::new(2)).unwrap();
    open.store(true, Ordering::Relaxed);
    let answers = [web.answer(), web.answer()].map(|a| a.map(|a| a.status).ok());
    assert!(answers.iter().all(|a| matches!(a, Some(200 | 503))), "{answers:?}");
    assert_eq!(rig.ended(), Some(0));
}

/// Discovery's first word ends the questions.
#[test]
fn once_discovery_vouches_nobody_is_asked_any_more() {
    let rig = untold(vec![Box::new(succeed)]);
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    let asked = questions(&rig.executors[0]);
    assert!(asked > 0);
    rig.board.set_behaviour(Behaviour::Normal);
    assert!(rig.logs(&["fresh again"]));
    assert!((2..40).all(|n| rig.call(&WebRequest::new(n)).status == 200));
    assert_eq!(questions(&rig.executors[0]), asked);
}
