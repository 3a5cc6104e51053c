//! Bursts of requests for one function: the processor time that the router needs for all of them.

mod common;

use badgerwind::interface::*;
use badgerwind::Router;
use common::{entry, request, settings, MS};
use cpu_time::ThreadTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time within which each client of a burst is owed an answer. The router runs in the thread that does
/// all other work of a front end, so that this bounds the time for which that work stands still.
const ANSWER_TIME: Duration = Duration::from_secs(3);
const WORKERS: u32 = 12;

/// An attempt that has not been answered yet.
struct SentAttempt {
    id: RequestId,
    number: u32,
    worker: WorkerId,
    at: Time,
}

/// A router and the processor time that its events have used.
struct MeasuredRouter {
    router: Router,
    now: Time,
    started: ThreadTime,
    alarms: Vec<Time>,
    attempts: Vec<SentAttempt>,
    sent: BTreeMap<RequestId, u32>,
    arrived: u64,
    answered: BTreeSet<RequestId>,
}

impl MeasuredRouter {
    fn start() -> MeasuredRouter {
        let router = Router::new(7, settings(Effect::Repeatable));
        let mut measured = MeasuredRouter {
            router,
            now: 1_000 * MS,
            started: ThreadTime::now(),
            alarms: Vec::new(),
            attempts: Vec::new(),
            sent: BTreeMap::new(),
            arrived: 0,
            answered: BTreeSet::new(),
        };
        let entries = (1..=WORKERS).map(|worker| entry(worker, Availability::Ready, None)).collect();
        measured.event(Event::List { kind: ListKind::Whole, entries });
        measured
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetAlarm { after, .. } => self.alarms.push(self.now + after),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    assert!(self.answered.insert(id), "a request has one final answer");
                }
                Action::Send { id, worker, .. } => {
                    let count = self.sent.entry(id.clone()).or_default();
                    self.attempts.push(SentAttempt { id, number: *count, worker, at: self.now });
                    *count += 1;
                }
                _ => {}
            }
        }
        let used = self.started.elapsed();
        assert!(
            used < ANSWER_TIME,
            "{used:?} of processor time, with {} requests answered",
            self.answered.len()
        );
    }

    /// Requests that all arrive within 10 ms.
    fn burst(&mut self, requests: u64, function: impl Fn(u64) -> String, lanes: u32) {
        let start = self.now;
        for n in 0..requests {
            self.now = start + 10 * MS * n / requests;
            self.arrived += 1;
            let request = request(&format!("{:016x}", self.arrived), &function(n), start + 3000 * MS);
            self.event(Event::Request(Request { lanes, ..request }));
        }
    }

    /// Advances the time, and passes the alarms that fall due to the router.
    fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(at) = self.alarms.first().copied().filter(|at| *at <= end) {
            self.alarms.remove(0);
            self.now = self.now.max(at);
            self.event(Event::Alarm { name: "sweep".into() });
        }
        self.now = end;
    }

    /// Fails attempts after `time` each, until `end`.
    fn fail_all(&mut self, time: u64, end: u64) {
        for _ in 0..=end / time {
            self.advance(time);
            self.end_attempts(Outcome::Error, 0);
        }
    }

    /// Ends the attempts sent so far; an executor that does not know the function answers with an error.
    /// `crowd` is the number of other requests that the executor reports.
    fn end_attempts(&mut self, outcome: Outcome, crowd: u32) {
        for SentAttempt { id, number: attempt, worker, at } in std::mem::take(&mut self.attempts) {
            let (mark, lag, last) = (CopyMark::Untold, self.now - at, outcome == Outcome::Ok);
            if last {
                self.answered.insert(id.clone());
            }
            let (crowd, report) = (Some(crowd), None);
            self.event(Event::Answer { id, attempt, worker, outcome, last, lag, mark, crowd, report });
        }
    }
}

/// Guards against review case 1: 600 requests at once for a function that no executor knows stopped the front
/// end for over ten seconds, since each event decided on each held request at a cost that grew with the lanes
/// and with the requests before it.
#[test]
fn a_burst_for_an_unknown_function_stops_the_router_for_less_than_the_answer_time() {
    for (requests, lanes) in [(600, 4), (600, 10_000), (6_000, 4), (6_000, 10_000)] {
        let mut measured = MeasuredRouter::start();
        measured.burst(requests, |_| "f".into(), lanes);
        measured.fail_all(400 * MS, 3000 * MS);
        assert_eq!(
            measured.answered.len() as u64,
            requests,
            "each request has its final answer, {lanes} lanes"
        );
        println!("{requests} requests, {lanes} lanes: {:?}", measured.started.elapsed());
    }
}

/// Guards against plans whose cost grows with the lanes that a client names: 600 functions of 10,000 lanes
/// each stopped the front end.
#[test]
fn a_burst_for_many_unknown_functions_stops_the_router_for_less_than_the_answer_time() {
    for requests in [600, 2_000] {
        let mut measured = MeasuredRouter::start();
        measured.burst(requests, |n| format!("f{n}"), 10_000);
        measured.fail_all(400 * MS, 3000 * MS);
        assert_eq!(measured.answered.len() as u64, requests, "each request has its final answer");
        println!("{requests} functions: {:?}", measured.started.elapsed());
    }
}

/// Guards the same burst for a function that is known: each answer frees a lane, and was followed by a decision on
/// every held request. An executor may report any number of other requests, which sized a loop.
#[test]
fn a_burst_for_a_served_function_stops_the_router_for_less_than_the_answer_time() {
    for crowd in [0, u32::MAX] {
        let mut measured = MeasuredRouter::start();
        for requests in [1, 600] {
            measured.burst(requests, |_| "f".into(), 4);
            for _ in 0..60 {
                measured.advance(50 * MS);
                measured.end_attempts(Outcome::Ok, crowd);
            }
        }
        assert_eq!(measured.answered.len(), 601, "each request has its final answer, {crowd} others");
        println!("{crowd} others: {:?}", measured.started.elapsed());
    }
}

/// Guards against withdrawals that each search all held requests of the function.
#[test]
fn a_burst_that_is_withdrawn_stops_the_router_for_less_than_the_answer_time() {
    let mut measured = MeasuredRouter::start();
    measured.burst(6_000, |_| "f".into(), 4);
    for n in 1..=measured.arrived {
        measured.event(Event::ClientDisconnected { id: format!("{n:016x}").into() });
    }
    assert_eq!(measured.router.stats().waiting, 0, "no function has held requests");
    println!("6000 withdrawn: {:?}", measured.started.elapsed());
}
