//! The driver's bookkeeping under arbitrary actions of the module and under reports that arrive once, twice
//! or never.

use badgerwind::interface::*;
use badgerwind_driver::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Replays a script of actions, one list per event, and records the events.
#[derive(Clone, Default)]
struct ScriptedModule {
    script: Rc<RefCell<Vec<Vec<Action>>>>,
    events: Rc<RefCell<Vec<Event>>>,
}

impl Decider for ScriptedModule {
    fn handle(&mut self, _: Time, event: Event, out: &mut Vec<Action>) {
        self.events.borrow_mut().push(event);
        let mut script = self.script.borrow_mut();
        if !script.is_empty() {
            for action in script.remove(0) {
                assert!(!matches!(&action, Action::Log { text } if text == "panic"), "scripted panic");
                out.push(action);
            }
        }
    }
}

type TestDriver = Driver<ScriptedModule, u32, (), &'static str>;

const LIMITS: Limits = Limits {
    max_calls: 6,
    max_attempts: 3,
    order_timeout: 5_000,
    probe_timeout: 500,
    cancel_timeout: 300,
    answer_slack: 100,
};

fn id(n: u8) -> RequestId {
    format!("c{n}").into()
}

fn call(n: u8, origin: u32, due: Time) -> Input<u32, (), &'static str> {
    let request = Request {
        id: id(n),
        retry: false,
        tenant: 0,
        hint: None,
        function: "f".into(),
        memory_mb: 1.0,
        lanes: 1,
        class: 0,
        due,
        load_time: None,
    };
    Input::Call(Call { request, origin, content: () })
}

fn list(workers: &[u32]) -> Input<u32, (), &'static str> {
    let entries = workers.iter().map(|&worker| WorkerEntry {
        worker,
        zone: 0,
        cell: 0,
        kind: 0,
        size: 1.0,
        availability: Availability::Ready,
        born: None,
    });
    Input::List { kind: ListKind::Whole, entries: entries.collect() }
}

fn ended(n: u8, attempt: u32, outcome: Outcome) -> Input<u32, (), &'static str> {
    let reply = (outcome == Outcome::Ok).then_some("yes");
    Input::AttemptEnded { id: id(n), attempt, end: AttemptEnd { reply, ..AttemptEnd::from_outcome(outcome) } }
}

fn send(n: u8, worker: u32, timeout: Option<Micros>) -> Action {
    Action::Send { id: id(n), worker, timeout }
}

fn setup(script: Vec<Vec<Action>>) -> (TestDriver, ScriptedModule) {
    let module = ScriptedModule { script: Rc::new(RefCell::new(script)), ..ScriptedModule::default() };
    (Driver::new(module.clone(), LIMITS), module)
}

fn answers(events: &[Event]) -> Vec<(u32, Outcome, bool)> {
    let pick = |e: &Event| match e {
        Event::Answer { attempt, outcome, last, .. } => Some((*attempt, *outcome, *last)),
        _ => None,
    };
    events.iter().filter_map(pick).collect()
}

fn final_answers<'a>(out: &'a [Output<u32, (), &'static str>]) -> Vec<(u32, &'a FinalAnswer<&'static str>)> {
    let pick = |o| match o {
        &Output::Answer { origin, ref answer, .. } => Some((origin, answer)),
        _ => None,
    };
    out.iter().filter_map(pick).collect()
}

#[test]
fn an_answer_in_the_same_batch_as_its_timeout_counts() {
    let (mut driver, module) = setup(vec![vec![], vec![send(1, 7, Some(50))]]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    driver.on_batch(60, [ended(1, 0, Outcome::Ok)], &mut out);
    assert_eq!(final_answers(&out), [(11, &FinalAnswer::Served("yes"))]);
    assert_eq!(answers(&module.events.borrow()), [(0, Outcome::Ok, true)]);
    assert_eq!((driver.unanswered(), driver.tracked_calls()), (0, 0));
}

#[test]
fn an_answer_that_crosses_its_cancellation_counts() {
    let cancel = Action::Cancel { id: id(1), attempt: 0 };
    let (mut driver, module) = setup(vec![
        vec![Action::SetAlarm { after: 10, name: "a".into() }],
        vec![send(1, 7, None)],
        vec![cancel.clone(), cancel],
    ]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    driver.on_batch(10, [], &mut out);
    assert_eq!(out.iter().filter(|o| matches!(o, Output::Cancel { .. })).count(), 1);
    driver.on_batch(12, [ended(1, 0, Outcome::Ok), ended(1, 0, Outcome::Cancelled)], &mut out);
    assert_eq!(final_answers(&out), [(11, &FinalAnswer::Served("yes"))]);
    assert_eq!(answers(&module.events.borrow()), [(0, Outcome::Ok, true)]);
}

/// If a caller disconnects in the same batch in which the module decides on a further attempt, that attempt
/// is withheld, even where the module may not cancel running attempts.
#[test]
fn unsent_attempts_are_withheld_once_the_caller_is_gone() {
    let (mut driver, _) = setup(vec![vec![], vec![send(1, 7, None)], vec![send(1, 8, None)]]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7, 8]), call(1, 11, 1_000)], &mut out);
    out.clear();
    driver.on_batch(
        5,
        [ended(1, 0, Outcome::Full), Input::CallerDisconnected { id: id(1), finish_started: false }],
        &mut out,
    );
    let sent_or_withheld: Vec<_> = out
        .iter()
        .filter_map(|o| match o {
            Output::Attempt { attempt, worker, .. } => Some((true, *attempt, *worker)),
            Output::Withhold { attempt, worker, .. } => Some((false, *attempt, *worker)),
            _ => None,
        })
        .collect();
    assert_eq!(
        sent_or_withheld,
        [(true, 1, 8), (false, 1, 8)],
        "the withhold follows the attempt, so that the runtime finds it"
    );
    // A final answer withholds unsent attempts as well.
    let (mut driver, _) =
        setup(vec![vec![], vec![send(1, 7, None), Action::Refuse { id: id(1), retry_after: None }]]);
    out.clear();
    driver.on_batch(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    assert!(matches!(out.last(), Some(Output::Withhold { attempt: 0, worker: 7, .. })), "{out:?}");
    driver.on_batch(1, [ended(1, 0, Outcome::Moot)], &mut out);
    assert_eq!(driver.tracked_calls(), 0);
}

/// A call whose answer is remembered is answered by the attempts already started, after its caller has
/// disconnected.
#[test]
fn a_remembered_call_gets_no_further_attempt_after_its_caller_disconnected() {
    let (mut driver, module) =
        setup(vec![vec![], vec![send(1, 7, None)], vec![send(1, 8, None)], vec![Action::Fail { id: id(1) }]]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7, 8]), call(1, 11, 1_000)], &mut out);
    driver.on_batch(5, [Input::CallerDisconnected { id: id(1), finish_started: true }], &mut out);
    assert!(matches!(out.last(), Some(Output::Withhold { attempt: 0, worker: 7, .. })));
    assert_eq!((driver.unanswered(), final_answers(&out).len()), (1, 0), "its answer is still awaited");
    driver.on_batch(6, [ended(1, 0, Outcome::Full)], &mut out);
    driver.on_batch(7, [], &mut out);
    assert_eq!(answers(&module.events.borrow()), [(0, Outcome::Full, false), (1, Outcome::Moot, false)]);
    assert_eq!(
        out.iter().filter(|o| matches!(o, Output::Attempt { .. })).count(),
        1,
        "no further attempt was sent"
    );
    assert_eq!(
        (final_answers(&out), driver.tracked_calls()),
        (vec![(11, &FinalAnswer::Failed(Failure::GivenUp))], 0)
    );
    // The answer of the attempt in flight completes the call.
    let (mut driver, _) = setup(vec![vec![], vec![send(1, 7, None)]]);
    let mut out = Vec::new();
    driver.on_batch(
        0,
        [list(&[7]), call(1, 11, 1_000), Input::CallerDisconnected { id: id(1), finish_started: true }],
        &mut out,
    );
    driver.on_batch(9, [ended(1, 0, Outcome::Ok)], &mut out);
    assert_eq!(final_answers(&out), [(11, &FinalAnswer::Served("yes"))]);
    // The call is not forgotten between two attempts: the first may have run, and a repeat would run it
    // again.
    let (mut driver, module) = setup(vec![
        vec![Action::SetAlarm { after: 20, name: "a".into() }],
        vec![send(1, 7, None)],
        vec![],
        vec![send(1, 8, None)],
        vec![Action::Fail { id: id(1) }],
    ]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7, 8]), call(1, 11, 1_000)], &mut out);
    driver.on_batch(
        9,
        [ended(1, 0, Outcome::Reset), Input::CallerDisconnected { id: id(1), finish_started: true }],
        &mut out,
    );
    assert_eq!((driver.unanswered(), final_answers(&out).len()), (1, 0));
    driver.on_batch(20, [], &mut out);
    driver.on_batch(21, [], &mut out);
    assert_eq!(answers(&module.events.borrow()), [(0, Outcome::Reset, false), (1, Outcome::Moot, false)]);
    assert_eq!(final_answers(&out), [(11, &FinalAnswer::Failed(Failure::GivenUp))]);
    // Without an attempt there is nothing to remember, so the call is forgotten.
    let (mut driver, module) = setup(vec![]);
    let mut out = Vec::new();
    driver.on_batch(
        0,
        [list(&[7]), call(1, 11, 1_000), Input::CallerDisconnected { id: id(1), finish_started: true }],
        &mut out,
    );
    assert!(matches!(module.events.borrow().last(), Some(Event::ClientDisconnected { .. })));
    assert_eq!((driver.unanswered(), driver.tracked_calls()), (0, 0));
}

#[test]
fn an_unconfirmed_cancellation_ends_after_the_cancel_timeout_and_not_before() {
    let (mut driver, module) = setup(vec![
        vec![Action::SetAlarm { after: 10, name: "a".into() }],
        vec![send(1, 7, None)],
        vec![Action::Cancel { id: id(1), attempt: 0 }],
    ]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    driver.on_batch(10, [], &mut out);
    driver.on_batch(309, [], &mut out);
    assert!(answers(&module.events.borrow()).is_empty());
    driver.on_batch(310, [], &mut out);
    assert_eq!(answers(&module.events.borrow()), [(0, Outcome::Cancelled, false)]);
}

#[test]
fn attempts_end_at_the_due_time_so_that_the_module_can_still_answer() {
    let fail = Action::Fail { id: id(1) };
    let (mut driver, module) = setup(vec![vec![], vec![send(1, 7, None)], vec![fail]]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    assert_eq!(driver.next_wake(), Some(1_000));
    driver.on_batch(1_000, [], &mut out);
    assert_eq!(answers(&module.events.borrow()), [(0, Outcome::Timeout, false)]);
    assert_eq!(final_answers(&out), [(11, &FinalAnswer::Failed(Failure::GivenUp))]);
}

#[test]
fn a_call_that_the_module_never_answers_is_failed_by_the_driver() {
    let (mut driver, module) = setup(vec![]);
    let mut out = Vec::new();
    driver.on_batch(0, [call(1, 11, 1_000)], &mut out);
    driver.on_batch(1_099, [], &mut out);
    assert!(final_answers(&out).is_empty());
    driver.on_batch(1_100, [], &mut out);
    assert_eq!(final_answers(&out), [(11, &FinalAnswer::Failed(Failure::Overdue))]);
    assert!(matches!(module.events.borrow().last(), Some(Event::ClientDisconnected { .. })));
}

#[test]
fn a_panic_of_the_module_fails_all_calls_and_the_module_is_never_called_again() {
    let panic = vec![Action::Log { text: "panic".into() }];
    let (mut driver, module) = setup(vec![vec![], vec![send(1, 7, None)], panic]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7]), call(1, 11, 1_000), call(2, 12, 1_000), call(3, 13, 1_000)], &mut out);
    let failed = FinalAnswer::Failed(Failure::ModuleFailed);
    assert_eq!(final_answers(&out), [(11, &failed), (12, &failed), (13, &failed)]);
    assert!(out
        .iter()
        .any(|o| matches!(o, Output::ModuleFailed { text } if text.contains("scripted panic"))));
    assert!(out.iter().any(|o| matches!(o, Output::Cancel { worker: 7, .. })));
    assert_eq!((module.events.borrow().len(), driver.unanswered()), (3, 0));
}

#[test]
fn calls_beyond_the_limit_are_refused_without_the_module() {
    let (mut driver, module) = setup(vec![]);
    let mut out = Vec::new();
    driver.on_batch(0, (0..7).map(|n| call(n, u32::from(n), 1_000)), &mut out);
    assert_eq!(
        final_answers(&out),
        [(6, &FinalAnswer::Refused { by: Refusal::TooManyCalls, retry_after: None })]
    );
    assert_eq!(module.events.borrow().len(), 6);
}

#[test]
fn a_streamed_answer_completes_the_call_and_has_no_deadline() {
    let (mut driver, module) = setup(vec![vec![], vec![send(1, 7, Some(50))]]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    driver.on_batch(10, [Input::StreamBegan { id: id(1), attempt: 0, reply: "part" }], &mut out);
    assert!(matches!(out.last(), Some(Output::Stream { origin: 11, reply: "part", .. })));
    driver.on_batch(2_000, [], &mut out);
    assert!(answers(&module.events.borrow()).is_empty());
    driver.on_batch(2_010, [ended(1, 0, Outcome::Reset)], &mut out);
    assert_eq!(answers(&module.events.borrow()), [(0, Outcome::Reset, true)]);
    assert!(final_answers(&out).is_empty());
    assert_eq!(driver.tracked_calls(), 0);
}

#[test]
fn another_attempt_beside_a_streamed_answer_ends_at_the_due_time() {
    let (mut driver, module) = setup(vec![vec![], vec![send(1, 7, None), send(1, 8, None)]]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7, 8]), call(1, 11, 1_000)], &mut out);
    driver.on_batch(10, [Input::StreamBegan { id: id(1), attempt: 0, reply: "part" }], &mut out);
    driver.on_batch(1_000, [], &mut out);
    assert_eq!(answers(&module.events.borrow()), [(1, Outcome::Timeout, true)]);
    assert!(matches!(out.last(), Some(Output::Cancel { attempt: 1, worker: 8, .. })));
    driver.on_batch(2_000, [ended(1, 0, Outcome::Ok)], &mut out);
    assert_eq!(driver.tracked_calls(), 0);
}

#[test]
fn attempts_and_orders_to_unknown_workers_are_reported_in_a_later_batch() {
    let unknown = Action::Load { worker: 9, function: "f".into(), copies: 1 };
    let (mut driver, module) = setup(vec![vec![], vec![send(1, 9, None), unknown]]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    assert!(answers(&module.events.borrow()).is_empty());
    assert_eq!(driver.next_wake(), Some(0));
    driver.on_batch(0, [], &mut out);
    assert_eq!(answers(&module.events.borrow()), [(0, Outcome::Moot, false)]);
    let events = module.events.borrow();
    assert!(matches!(events.last(), Some(Event::Loaded { worker: 9, outcome: Outcome::ConnectFailed, .. })));
}

#[test]
fn orders_and_probes_end_once() {
    let order = Action::Load { worker: 7, function: "f".into(), copies: 2 };
    let probe = Action::Probe { worker: 7 };
    let (mut driver, module) = setup(vec![vec![order.clone(), order, probe]]);
    let mut out = Vec::new();
    driver.on_batch(0, [list(&[7])], &mut out);
    let done = || Input::OrderEnded { order: OrderId(0), outcome: Outcome::Ok, copies: 2 };
    driver.on_batch(40, [done(), done()], &mut out);
    driver.on_batch(9_000, [], &mut out);
    driver.on_batch(9_001, [Input::ProbeEnded { worker: 7, outcome: Outcome::Ok, report: None }], &mut out);
    let events = module.events.borrow();
    let loaded = |e: &Event| match e {
        Event::Loaded { outcome, copies, lag, .. } => Some((*outcome, *copies, *lag)),
        _ => None,
    };
    let ends: Vec<_> = events.iter().filter_map(loaded).collect();
    assert_eq!(ends, [(Outcome::Ok, 2, 40), (Outcome::Timeout, 0, 9_000)]);
    let probed = |e: &&Event| matches!(e, Event::Probed { outcome: Outcome::Timeout, .. });
    assert_eq!(events.iter().filter(probed).count(), 1);
    assert_eq!(events.iter().filter(|e| matches!(e, Event::Probed { .. })).count(), 1);
}

// ---- Arbitrary scripts and reports ----

#[derive(Clone, Debug)]
enum Step {
    Call(u8, u16),
    Disconnect(u8),
    Ended(u8, u32, u8),
    Stream(u8, u32),
    Order(u64, bool),
    Wait(u16),
}

const OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Moot,
    Outcome::Miss,
];

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..12, 1u16..3_000).prop_map(|(n, d)| Step::Call(n, d)),
        1 => (0u8..12).prop_map(Step::Disconnect),
        5 => (0u8..12, 0u32..4, 0u8..9).prop_map(|(n, a, o)| Step::Ended(n, a, o)),
        1 => (0u8..12, 0u32..4).prop_map(|(n, a)| Step::Stream(n, a)),
        1 => (0u64..6, any::<bool>()).prop_map(|(o, ok)| Step::Order(o, ok)),
        4 => (0u16..900).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..80)
}

fn scripts() -> impl Strategy<Value = Vec<Vec<Action>>> {
    let action = prop_oneof![
        6 => (0u8..12, 5u32..9, prop::option::of(0u64..2_000)).prop_map(|(n, w, t)| send(n, w, t)),
        2 => (0u8..12, 0u32..4).prop_map(|(n, attempt)| Action::Cancel { id: id(n), attempt }),
        1 => (0u8..12).prop_map(|n| Action::Refuse { id: id(n), retry_after: None }),
        1 => (0u8..12).prop_map(|n| Action::Fail { id: id(n) }),
        1 => (5u32..9, 0u32..3)
            .prop_map(|(worker, copies)| Action::Load { worker, function: "f".into(), copies }),
        1 => (0u64..500).prop_map(|after| Action::SetAlarm { after, name: "a".into() }),
    ];
    prop::collection::vec(prop::collection::vec(action, 0..4), 0..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn every_call_and_every_attempt_ends_exactly_once(steps in steps(), script in scripts()) {
        let (mut driver, module) = setup(script);
        let (mut now, mut origin) = (0, 0);
        let mut out = Vec::new();
        // Origins of the calls whose callers wait, by number of the call.
        let mut waiting: BTreeMap<u8, u32> = BTreeMap::new();
        // By origin: how often it was answered, streamed, or disconnected.
        let mut ends: BTreeMap<u32, u32> = BTreeMap::new();
        let (mut sent, mut called_at) = (BTreeSet::new(), BTreeMap::new());
        driver.on_batch(0, [list(&[6, 7])], &mut out);
        for (at, step) in steps.into_iter().chain((0..20).map(|_| Step::Wait(900))).enumerate() {
            let input = match step {
                // Ids of calls never repeat in the gateway either.
                Step::Call(n, _) if sent.iter().any(|(m, _)| *m == n) || called_at.contains_key(&n) => None,
                Step::Call(n, span) => {
                    origin += 1;
                    called_at.insert(n, at);
                    waiting.insert(n, origin);
                    ends.insert(origin, 0);
                    Some(call(n, origin, now + u64::from(span)))
                }
                Step::Disconnect(n) => {
                    if let Some(origin) = waiting.remove(&n) {
                        *ends.get_mut(&origin).unwrap() += 1;
                    }
                    Some(Input::CallerDisconnected { id: id(n), finish_started: false })
                }
                Step::Ended(n, a, o) => Some(ended(n, a, OUTCOMES[o as usize])),
                Step::Stream(n, attempt) => Some(Input::StreamBegan { id: id(n), attempt, reply: "part" }),
                Step::Order(order, ok) => {
                    let outcome = if ok { Outcome::Ok } else { Outcome::Error };
                    Some(Input::OrderEnded { order: OrderId(order), outcome, copies: 1 })
                }
                Step::Wait(span) => {
                    now += u64::from(span);
                    None
                }
            };
            driver.on_batch(now, input, &mut out);
            for o in out.drain(..) {
                match o {
                    Output::Answer { origin, .. } | Output::Stream { origin, .. } => {
                        waiting.retain(|_, o| *o != origin);
                        *ends.get_mut(&origin).unwrap() += 1;
                    }
                    Output::Attempt { id, attempt, worker, deadline, .. } => {
                        prop_assert!([6, 7].contains(&worker) && attempt < LIMITS.max_attempts);
                        let n: u8 = id[1..].parse().unwrap();
                        prop_assert!(sent.insert((n, attempt)), "attempt {attempt} of {id} sent twice");
                        prop_assert!(waiting.contains_key(&n), "sent for {id}, whose caller does not wait");
                        prop_assert!(deadline <= now + 3_000);
                    }
                    Output::Cancel { id, attempt, .. } => {
                        let n: u8 = id[1..].parse().unwrap();
                        prop_assert!(sent.contains(&(n, attempt)), "cancelled an attempt that was never sent");
                    }
                    _ => {}
                }
            }
        }
        // A streamed answer whose end the runtime never reports stays open; all other calls have ended by
        // now.
        prop_assert_eq!(driver.unanswered(), 0);
        prop_assert!(ends.values().all(|&n| n == 1), "ends: {:?}", ends);
        let mut attempt_ends: BTreeMap<(RequestId, u32), u32> = BTreeMap::new();
        for event in module.events.borrow().iter() {
            if let Event::Answer { id, attempt, outcome, .. } = event {
                let n: u8 = id[1..].parse().unwrap();
                prop_assert!(sent.contains(&(n, *attempt)) || *outcome == Outcome::Moot);
                *attempt_ends.entry((id.clone(), *attempt)).or_default() += 1;
            }
        }
        prop_assert!(attempt_ends.values().all(|&n| n == 1), "an attempt ended twice: {:?}", attempt_ends);
        let streams = driver.tracked_calls();
        let unended = sent.iter().filter(|(n, a)| !attempt_ends.contains_key(&(id(*n), *a))).count();
        prop_assert!(unended <= streams, "{} attempts never ended, {} streams open", unended, streams);
    }
}
