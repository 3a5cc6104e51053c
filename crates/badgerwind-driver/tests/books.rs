//! The driver's bookkeeping under any decider, sane or not, and any report, told once, twice or never.

use badgerwind::interface::*;
use badgerwind_driver::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Plays a script of actions, one list an event, and keeps what it was told.
#[derive(Clone, Default)]
struct Scripted {
    script: Rc<RefCell<Vec<Vec<Action>>>>,
    told: Rc<RefCell<Vec<Event>>>,
}

impl Decider for Scripted {
    fn handle(&mut self, _: Time, event: Event, out: &mut Vec<Action>) {
        self.told.borrow_mut().push(event);
        let mut script = self.script.borrow_mut();
        if !script.is_empty() {
            for action in script.remove(0) {
                assert!(!matches!(&action, Action::Log { text } if text == "panic"), "asked to");
                out.push(action);
            }
        }
    }
}

type Rig = Driver<Scripted, u32, (), &'static str>;

const LIMITS: Limits = Limits {
    most_held: 6,
    max_attempts: 3,
    order_timeout: 5_000,
    probe_timeout: 500,
    call_off_within: 300,
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
    Input::AttemptEnded { id: id(n), attempt, end: AttemptEnd { reply, ..AttemptEnd::plain(outcome) } }
}

fn send(n: u8, worker: u32, timeout: Option<Span>) -> Action {
    Action::Send { id: id(n), worker, timeout }
}

fn rig(script: Vec<Vec<Action>>) -> (Rig, Scripted) {
    let s = Scripted { script: Rc::new(RefCell::new(script)), ..Scripted::default() };
    (Driver::new(s.clone(), LIMITS), s)
}

fn answers(told: &[Event]) -> Vec<(u32, Outcome, bool)> {
    let pick = |e: &Event| match e {
        Event::Answer { attempt, outcome, last, .. } => Some((*attempt, *outcome, *last)),
        _ => None,
    };
    told.iter().filter_map(pick).collect()
}

fn finals<'a>(out: &'a [Output<u32, (), &'static str>]) -> Vec<(u32, &'a Final<&'static str>)> {
    let pick = |o| match o {
        &Output::Final { origin, ref answer, .. } => Some((origin, answer)),
        _ => None,
    };
    out.iter().filter_map(pick).collect()
}

#[test]
fn an_answer_read_beside_its_own_time_out_is_the_answer() {
    let (mut d, s) = rig(vec![vec![], vec![send(1, 7, Some(50))]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    d.on(60, [ended(1, 0, Outcome::Ok)], &mut out);
    assert_eq!(finals(&out), [(11, &Final::Served("yes"))]);
    assert_eq!(answers(&s.told.borrow()), [(0, Outcome::Ok, true)]);
    assert_eq!((d.owed(), d.remembered()), (0, 0));
}

#[test]
fn a_cancel_that_crosses_its_answer_lets_the_answer_stand() {
    let cancel = Action::Cancel { id: id(1), attempt: 0 };
    let (mut d, s) = rig(vec![
        vec![Action::SetAlarm { after: 10, name: "a".into() }],
        vec![send(1, 7, None)],
        vec![cancel.clone(), cancel],
    ]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    d.on(10, [], &mut out);
    assert_eq!(out.iter().filter(|o| matches!(o, Output::CallOff { .. })).count(), 1);
    d.on(12, [ended(1, 0, Outcome::Ok), ended(1, 0, Outcome::Cancelled)], &mut out);
    assert_eq!(finals(&out), [(11, &Final::Served("yes"))]);
    assert_eq!(answers(&s.told.borrow()), [(0, Outcome::Ok, true)]);
}

/// A caller that leaves in the same batch in which another attempt of its call is decided: that attempt never begins, also where
/// the module may not call off what runs.
#[test]
fn what_has_not_begun_stays_back_once_nobody_waits() {
    let (mut d, _) = rig(vec![vec![], vec![send(1, 7, None)], vec![send(1, 8, None)]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7, 8]), call(1, 11, 1_000)], &mut out);
    out.clear();
    d.on(5, [ended(1, 0, Outcome::Full), Input::CallerLeft { id: id(1), keeps: false }], &mut out);
    let places: Vec<_> = out
        .iter()
        .filter_map(|o| match o {
            Output::Attempt { attempt, worker, .. } => Some((true, *attempt, *worker)),
            Output::Withhold { attempt, worker, .. } => Some((false, *attempt, *worker)),
            _ => None,
        })
        .collect();
    assert_eq!(places, [(true, 1, 8), (false, 1, 8)], "after the attempt, so that it finds it");
    // A final answer leaves nobody waiting either.
    let (mut d, _) =
        rig(vec![vec![], vec![send(1, 7, None), Action::Refuse { id: id(1), retry_after: None }]]);
    out.clear();
    d.on(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    assert!(matches!(out.last(), Some(Output::Withhold { attempt: 0, worker: 7, .. })), "{out:?}");
    d.on(1, [ended(1, 0, Outcome::Moot)], &mut out);
    assert_eq!(d.remembered(), 0);
}

/// One whose answer is remembered is answered by what has begun, and by nothing else.
#[test]
fn a_caller_that_left_a_remembered_call_gets_no_further_attempt() {
    let (mut d, s) =
        rig(vec![vec![], vec![send(1, 7, None)], vec![send(1, 8, None)], vec![Action::Fail { id: id(1) }]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7, 8]), call(1, 11, 1_000)], &mut out);
    d.on(5, [Input::CallerLeft { id: id(1), keeps: true }], &mut out);
    assert!(matches!(out.last(), Some(Output::Withhold { attempt: 0, worker: 7, .. })));
    assert_eq!((d.owed(), finals(&out).len()), (1, 0), "its answer is still wanted");
    d.on(6, [ended(1, 0, Outcome::Full)], &mut out);
    d.on(7, [], &mut out);
    assert_eq!(answers(&s.told.borrow()), [(0, Outcome::Full, false), (1, Outcome::Moot, false)]);
    assert_eq!(
        out.iter().filter(|o| matches!(o, Output::Attempt { .. })).count(),
        1,
        "nothing further went out"
    );
    assert_eq!((finals(&out), d.remembered()), (vec![(11, &Final::Failed(Failure::GivenUp))], 0));
    // Its attempt's answer is the answer.
    let (mut d, _) = rig(vec![vec![], vec![send(1, 7, None)]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000), Input::CallerLeft { id: id(1), keeps: true }], &mut out);
    d.on(9, [ended(1, 0, Outcome::Ok)], &mut out);
    assert_eq!(finals(&out), [(11, &Final::Served("yes"))]);
    // Nor is one forgotten between two attempts: the first may have run, and a repeat would run it again.
    let (mut d, s) = rig(vec![
        vec![Action::SetAlarm { after: 20, name: "a".into() }],
        vec![send(1, 7, None)],
        vec![],
        vec![send(1, 8, None)],
        vec![Action::Fail { id: id(1) }],
    ]);
    let mut out = Vec::new();
    d.on(0, [list(&[7, 8]), call(1, 11, 1_000)], &mut out);
    d.on(9, [ended(1, 0, Outcome::Reset), Input::CallerLeft { id: id(1), keeps: true }], &mut out);
    assert_eq!((d.owed(), finals(&out).len()), (1, 0));
    d.on(20, [], &mut out);
    d.on(21, [], &mut out);
    assert_eq!(answers(&s.told.borrow()), [(0, Outcome::Reset, false), (1, Outcome::Moot, false)]);
    assert_eq!(finals(&out), [(11, &Final::Failed(Failure::GivenUp))]);
    // Where nothing has begun there is nothing to remember.
    let (mut d, s) = rig(vec![]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000), Input::CallerLeft { id: id(1), keeps: true }], &mut out);
    assert!(matches!(s.told.borrow().last(), Some(Event::ClientDisconnected { .. })));
    assert_eq!((d.owed(), d.remembered()), (0, 0));
}

#[test]
fn a_cancel_nobody_confirms_ends_after_its_bound_and_not_before() {
    let (mut d, s) = rig(vec![
        vec![Action::SetAlarm { after: 10, name: "a".into() }],
        vec![send(1, 7, None)],
        vec![Action::Cancel { id: id(1), attempt: 0 }],
    ]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    d.on(10, [], &mut out);
    d.on(309, [], &mut out);
    assert!(answers(&s.told.borrow()).is_empty());
    d.on(310, [], &mut out);
    assert_eq!(answers(&s.told.borrow()), [(0, Outcome::Cancelled, false)]);
}

#[test]
fn at_the_due_time_attempts_end_so_that_the_module_can_still_answer() {
    let fail = Action::Fail { id: id(1) };
    let (mut d, s) = rig(vec![vec![], vec![send(1, 7, None)], vec![fail]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    assert_eq!(d.next_wake(), Some(1_000));
    d.on(1_000, [], &mut out);
    assert_eq!(answers(&s.told.borrow()), [(0, Outcome::Timeout, false)]);
    assert_eq!(finals(&out), [(11, &Final::Failed(Failure::GivenUp))]);
}

#[test]
fn a_call_that_nothing_answers_is_failed_by_the_driver() {
    let (mut d, s) = rig(vec![]);
    let mut out = Vec::new();
    d.on(0, [call(1, 11, 1_000)], &mut out);
    d.on(1_099, [], &mut out);
    assert!(finals(&out).is_empty());
    d.on(1_100, [], &mut out);
    assert_eq!(finals(&out), [(11, &Final::Failed(Failure::Overdue))]);
    assert!(matches!(s.told.borrow().last(), Some(Event::ClientDisconnected { .. })));
}

#[test]
fn a_panic_of_the_module_fails_all_that_is_held_and_it_is_never_asked_again() {
    let panic = vec![Action::Log { text: "panic".into() }];
    let (mut d, s) = rig(vec![vec![], vec![send(1, 7, None)], panic]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000), call(2, 12, 1_000), call(3, 13, 1_000)], &mut out);
    let failed = Final::Failed(Failure::ModuleFailed);
    assert_eq!(finals(&out), [(11, &failed), (12, &failed), (13, &failed)]);
    assert!(out.iter().any(|o| matches!(o, Output::Broken { text } if text.contains("asked to"))));
    assert!(out.iter().any(|o| matches!(o, Output::CallOff { worker: 7, .. })));
    assert_eq!((s.told.borrow().len(), d.owed()), (3, 0));
}

#[test]
fn more_than_may_be_held_is_refused_unseen() {
    let (mut d, s) = rig(vec![]);
    let mut out = Vec::new();
    d.on(0, (0..7).map(|n| call(n, u32::from(n), 1_000)), &mut out);
    assert_eq!(finals(&out), [(6, &Final::Refused { by: Refusal::MostHeld, retry_after: None })]);
    assert_eq!(s.told.borrow().len(), 6);
}

#[test]
fn a_stream_takes_its_caller_along_and_has_no_deadline() {
    let (mut d, s) = rig(vec![vec![], vec![send(1, 7, Some(50))]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    d.on(10, [Input::StreamBegan { id: id(1), attempt: 0, reply: "part" }], &mut out);
    assert!(matches!(out.last(), Some(Output::Stream { origin: 11, reply: "part", .. })));
    d.on(2_000, [], &mut out);
    assert!(answers(&s.told.borrow()).is_empty());
    d.on(2_010, [ended(1, 0, Outcome::Reset)], &mut out);
    assert_eq!(answers(&s.told.borrow()), [(0, Outcome::Reset, true)]);
    assert!(finals(&out).is_empty());
    assert_eq!(d.remembered(), 0);
}

#[test]
fn an_attempt_beside_a_stream_ends_at_the_due_time() {
    let (mut d, s) = rig(vec![vec![], vec![send(1, 7, None), send(1, 8, None)]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7, 8]), call(1, 11, 1_000)], &mut out);
    d.on(10, [Input::StreamBegan { id: id(1), attempt: 0, reply: "part" }], &mut out);
    d.on(1_000, [], &mut out);
    assert_eq!(answers(&s.told.borrow()), [(1, Outcome::Timeout, true)]);
    assert!(matches!(out.last(), Some(Output::CallOff { attempt: 1, worker: 8, .. })));
    d.on(2_000, [ended(1, 0, Outcome::Ok)], &mut out);
    assert_eq!(d.remembered(), 0);
}

#[test]
fn what_cannot_be_sent_is_moot_and_told_in_a_later_batch() {
    let unknown = Action::Load { worker: 9, function: "f".into(), copies: 1 };
    let (mut d, s) = rig(vec![vec![], vec![send(1, 9, None), unknown]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7]), call(1, 11, 1_000)], &mut out);
    assert!(answers(&s.told.borrow()).is_empty());
    assert_eq!(d.next_wake(), Some(0));
    d.on(0, [], &mut out);
    assert_eq!(answers(&s.told.borrow()), [(0, Outcome::Moot, false)]);
    let told = s.told.borrow();
    assert!(matches!(told.last(), Some(Event::Loaded { worker: 9, outcome: Outcome::ConnectFailed, .. })));
}

#[test]
fn orders_and_probes_end_once_with_their_lag() {
    let order = Action::Load { worker: 7, function: "f".into(), copies: 2 };
    let probe = Action::Probe { worker: 7 };
    let (mut d, s) = rig(vec![vec![order.clone(), order, probe]]);
    let mut out = Vec::new();
    d.on(0, [list(&[7])], &mut out);
    let done = || Input::OrderEnded { order: OrderId(0), outcome: Outcome::Ok, copies: 2 };
    d.on(40, [done(), done()], &mut out);
    d.on(9_000, [], &mut out);
    d.on(9_001, [Input::ProbeEnded { worker: 7, outcome: Outcome::Ok, report: None }], &mut out);
    let told = s.told.borrow();
    let loaded = |e: &Event| match e {
        Event::Loaded { outcome, copies, lag, .. } => Some((*outcome, *copies, *lag)),
        _ => None,
    };
    let ends: Vec<_> = told.iter().filter_map(loaded).collect();
    assert_eq!(ends, [(Outcome::Ok, 2, 40), (Outcome::Timeout, 0, 9_000)]);
    let probed = |e: &&Event| matches!(e, Event::Probed { outcome: Outcome::Timeout, .. });
    assert_eq!(told.iter().filter(probed).count(), 1);
    assert_eq!(told.iter().filter(|e| matches!(e, Event::Probed { .. })).count(), 1);
}

// ---- Any script, any reports. ----

#[derive(Clone, Debug)]
enum Step {
    Call(u8, u16),
    Left(u8),
    Ended(u8, u32, u8),
    Stream(u8, u32),
    Order(u64, bool),
    Pass(u16),
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
        1 => (0u8..12).prop_map(Step::Left),
        5 => (0u8..12, 0u32..4, 0u8..9).prop_map(|(n, a, o)| Step::Ended(n, a, o)),
        1 => (0u8..12, 0u32..4).prop_map(|(n, a)| Step::Stream(n, a)),
        1 => (0u64..6, any::<bool>()).prop_map(|(o, ok)| Step::Order(o, ok)),
        4 => (0u16..900).prop_map(Step::Pass),
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
    fn every_call_has_one_end_and_every_attempt_has_one(steps in steps(), script in scripts()) {
        let (mut d, s) = rig(script);
        let (mut now, mut origin) = (0, 0);
        let mut out = Vec::new();
        // By origin: how often it was answered, streamed, or left unanswered; by origin, too: its id.
        let mut waiting: BTreeMap<u8, u32> = BTreeMap::new();
        let mut ends: BTreeMap<u32, u32> = BTreeMap::new();
        let (mut sent, mut over_at) = (BTreeSet::new(), BTreeMap::new());
        d.on(0, [list(&[6, 7])], &mut out);
        for (at, step) in steps.into_iter().chain((0..20).map(|_| Step::Pass(900))).enumerate() {
            let input = match step {
                // An id is taken anew only once the driver has forgotten it, as the daemon's ids never repeat.
                Step::Call(n, _) if sent.iter().any(|(m, _)| *m == n) || over_at.contains_key(&n) => None,
                Step::Call(n, span) => {
                    origin += 1;
                    over_at.insert(n, at);
                    waiting.insert(n, origin);
                    ends.insert(origin, 0);
                    Some(call(n, origin, now + u64::from(span)))
                }
                Step::Left(n) => {
                    if let Some(origin) = waiting.remove(&n) {
                        *ends.get_mut(&origin).unwrap() += 1;
                    }
                    Some(Input::CallerLeft { id: id(n), keeps: false })
                }
                Step::Ended(n, a, o) => Some(ended(n, a, OUTCOMES[o as usize])),
                Step::Stream(n, attempt) => Some(Input::StreamBegan { id: id(n), attempt, reply: "part" }),
                Step::Order(order, ok) => {
                    let outcome = if ok { Outcome::Ok } else { Outcome::Error };
                    Some(Input::OrderEnded { order: OrderId(order), outcome, copies: 1 })
                }
                Step::Pass(span) => {
                    now += u64::from(span);
                    None
                }
            };
            d.on(now, input, &mut out);
            for o in out.drain(..) {
                match o {
                    Output::Final { origin, .. } | Output::Stream { origin, .. } => {
                        waiting.retain(|_, o| *o != origin);
                        *ends.get_mut(&origin).unwrap() += 1;
                    }
                    Output::Attempt { id, attempt, worker, limit, .. } => {
                        prop_assert!([6, 7].contains(&worker) && attempt < LIMITS.max_attempts);
                        let n: u8 = id[1..].parse().unwrap();
                        prop_assert!(sent.insert((n, attempt)), "attempt {attempt} of {id} sent twice");
                        prop_assert!(waiting.contains_key(&n), "sent for {id}, which nobody waits for");
                        prop_assert!(limit <= now + 3_000);
                    }
                    Output::CallOff { id, attempt, .. } => {
                        let n: u8 = id[1..].parse().unwrap();
                        prop_assert!(sent.contains(&(n, attempt)), "called off what never went out");
                    }
                    _ => {}
                }
            }
        }
        // A stream whose end the shell never reports stays out; all others are over by now.
        prop_assert_eq!(d.owed(), 0);
        prop_assert!(ends.values().all(|&n| n == 1), "ends: {:?}", ends);
        let mut told: BTreeMap<(RequestId, u32), u32> = BTreeMap::new();
        for event in s.told.borrow().iter() {
            if let Event::Answer { id, attempt, outcome, .. } = event {
                let n: u8 = id[1..].parse().unwrap();
                prop_assert!(sent.contains(&(n, *attempt)) || *outcome == Outcome::Moot);
                *told.entry((id.clone(), *attempt)).or_default() += 1;
            }
        }
        prop_assert!(told.values().all(|&n| n == 1), "an attempt ended twice: {:?}", told);
        let streams = d.remembered();
        let unended = sent.iter().filter(|(n, a)| !told.contains_key(&(id(*n), *a))).count();
        prop_assert!(unended <= streams, "{} attempts never ended, {} streams open", unended, streams);
    }
}
