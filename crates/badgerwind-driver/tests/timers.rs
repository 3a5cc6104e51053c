//! Timers end with the call, order or probe for which they were set.

use badgerwind::interface::*;
use badgerwind_driver::*;

/// Sends each request to worker 7 at once, and probes and orders a load with it.
struct SendingModule;

impl Decider for SendingModule {
    fn handle(&mut self, _: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                let (id, worker, function) = (request.id, 7, request.function);
                out.push(Action::Send { id, worker, timeout: Some(1_000) });
                out.push(Action::Load { worker, function, copies: 1 });
                out.push(Action::Probe { worker });
            }
            Event::ClientDisconnected { id } => out.push(Action::Cancel { id, attempt: 0 }),
            _ => {}
        }
    }
}

type TestInput = Input<u32, (), &'static str>;

/// The time for which a client of these tests announces to wait: ten minutes.
const LONG_WAIT: Micros = 600_000_000;
const LIMITS: Limits = Limits {
    max_calls: 6,
    max_attempts: 3,
    order_timeout: LONG_WAIT,
    probe_timeout: LONG_WAIT,
    cancel_timeout: LONG_WAIT,
    answer_slack: 100,
};

fn listed() -> TestInput {
    let entry = WorkerEntry {
        worker: 7,
        zone: 0,
        cell: 0,
        kind: 0,
        size: 1.0,
        availability: Availability::Ready,
        born: None,
    };
    Input::List { kind: ListKind::Whole, entries: vec![entry] }
}

fn call(id: &str, due: Time) -> TestInput {
    let request = Request {
        id: id.into(),
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
    Input::Call(Call { request, origin: 1, content: () })
}

fn ended(id: &str, outcome: Outcome) -> TestInput {
    let reply = (outcome == Outcome::Ok).then_some("yes");
    let end = AttemptEnd { reply, ..AttemptEnd::from_outcome(outcome) };
    Input::AttemptEnded { id: id.into(), attempt: 0, end }
}

fn order_and_probe_ended(order: u64) -> [TestInput; 2] {
    let order = Input::OrderEnded { order: OrderId(order), outcome: Outcome::Ok, copies: 1 };
    [order, Input::ProbeEnded { worker: 7, outcome: Outcome::Ok, report: None }]
}

/// Guards against timers of withdrawn and of answered calls that fill the memory for as long as clients name.
#[test]
fn no_timer_outlasts_its_call_order_or_probe() {
    let (mut driver, mut out) = (Driver::new(SendingModule, LIMITS), Vec::new());
    driver.on_batch(0, [listed()], &mut out);
    for n in 0..1_000 {
        let (now, id) = (n * 10, format!("{n}"));
        driver.on_batch(now, [call(&id, now + LONG_WAIT)], &mut out);
        let end = if n % 2 == 0 {
            [
                Input::CallerDisconnected { id: (&*id).into(), finish_started: false },
                ended(&id, Outcome::Cancelled),
            ]
        } else {
            [ended(&id, Outcome::Ok), ended(&id, Outcome::Ok)]
        };
        driver.on_batch(now + 1, end.into_iter().chain(order_and_probe_ended(n)), &mut out);
        assert_eq!(
            (driver.tracked_calls(), driver.timer_count(), driver.next_wake()),
            (0, 0, None),
            "call {n}"
        );
    }
    driver.on_batch(0, [call("last", LONG_WAIT)], &mut out);
    assert!(driver.timer_count() >= 4, "an open call, its order and its probe have their timers");
    driver.fail_all(0, Failure::Stopped, &mut out);
    assert_eq!(driver.timer_count(), 2, "those of the order and the probe are left");
}

/// Guards against timers of an ended call that end the attempts of a later one with the same id.
#[test]
fn a_call_with_the_id_of_an_ended_one_has_its_own_time() {
    let (mut driver, mut out) = (Driver::new(SendingModule, LIMITS), Vec::new());
    driver.on_batch(0, [listed(), call("a", 500)], &mut out);
    driver.on_batch(1, [ended("a", Outcome::Ok)], &mut out);
    driver.on_batch(400, [call("a", 900)], &mut out);
    out.clear();
    driver.on_batch(610, [], &mut out);
    assert_eq!((driver.unanswered(), out.len()), (1, 0), "{out:?}");
    driver.on_batch(620, [ended("a", Outcome::Ok)], &mut out);
    let served = |output: &Output<u32, (), &'static str>| {
        matches!(output, Output::Answer { answer: FinalAnswer::Served("yes"), .. })
    };
    assert!(out.iter().any(served), "{out:?}");
}
