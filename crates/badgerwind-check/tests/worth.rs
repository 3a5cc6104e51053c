//! The worth of recorded traffic and its upper bound.

use badgerwind_check::worth::{account, recovery, Account, Worth};
use badgerwind_check::*;

const S: u64 = 1_000_000;

fn facts(capacity: f64) -> Facts {
    let class = |worth| ClassFacts {
        effect: Effect::Repeatable,
        group: Group::All,
        window: 0,
        aim: S,
        work: 100_000.0,
        fenced: false,
        worth,
        late_worth: 0.25,
    };
    let runner = RunnerFacts { capacity, cold_from: 0.2, cold_span: S, zone: 0, cell: 0 };
    Facts {
        classes: [("dear".into(), class(4.0)), ("cheap".into(), class(1.0))].into(),
        runners: [(1, runner)].into(),
        may_duplicate: false,
        drain_grace: 0,
        fall_multiple: 2.5,
        fall_window: S,
        loads: LoadLimit { window: 0, free: 0.0, share: 0.0 },
        transit: 0,
    }
}

fn sent(at: u64, call: &str, attempt: u32, class: &str, work: f64) -> Line {
    let (call, class, tenant) = (call.into(), class.into(), "t".into());
    Line { at, event: Event::Sent { call, attempt, front: 0, class, tenant, due: at + 3 * S, work } }
}

fn served(at: u64, call: &str, attempt: u32) -> Line {
    Line {
        at,
        event: Event::TryEnded { call: call.into(), attempt, answer: Answer::Served, replayed: false },
    }
}

fn ran(at: u64, call: &str, attempt: u32) -> [Line; 2] {
    let (request, class) = (format!("r-{call}"), "dear".to_owned());
    let call = call.to_owned();
    [
        Line {
            at,
            event: Event::Arrived { runner: 1, request: request.clone(), attempt, call, front: 0, class },
        },
        Line { at: at + 1, event: Event::Finished { runner: 1, request, attempt } },
    ]
}

#[test]
fn a_call_earns_by_its_first_try_and_once() {
    let lines = [
        vec![sent(0, "a", 0, "dear", 0.0), served(S, "a", 0)],
        vec![
            sent(0, "b", 0, "dear", 0.0),
            sent(S / 2, "b", 1, "dear", 0.0),
            served(S + 1, "b", 1),
            served(S + 2, "b", 1),
        ],
        vec![sent(0, "c", 0, "cheap", 0.0)],
    ]
    .concat();
    let a = account(&facts(10.0), &lines);
    assert_eq!(a.all, Worth { requested: 9.0, earned: 5.0 });
    assert_eq!(a.classes["dear"].share(), Some(5.0 / 8.0));
    assert_eq!(a.classes["cheap"].share(), Some(0.0));
    assert_eq!(a.tenants["t"], a.all);
    assert_eq!(account(&facts(1.0), &[]).all.share(), None);
}

#[test]
fn wasted_work_and_further_attempts_are_counted() {
    let calls = [sent(0, "a", 0, "dear", 10.0), served(5, "a", 0), sent(0, "b", 0, "dear", 30.0)];
    let lines = [&calls[..], &ran(1, "a", 0), &ran(2, "a", 1), &ran(3, "b", 0)].concat();
    let a = account(&facts(1.0), &lines);
    // Of 10 + 10 + 30 only the first ten reached a waiting sender.
    assert_eq!((a.extra, (a.wasted * 100.0).round()), (1, 80.0));
}

#[test]
fn the_bound_prefers_the_most_valuable_calls_and_follows_the_runners_uptime() {
    // A second of calls with an aim of a second: two seconds of one core, for calls of half a second each.
    let calls: Vec<Line> = (0..8u64)
        .flat_map(|n| [sent(n, &format!("d{n}"), 0, "dear", 5e5), sent(n, &format!("c{n}"), 0, "cheap", 5e5)])
        .collect();
    // All earn a quarter for being late. Two of the dear ones can be in time within the first second, which
    // adds three quarters of their worth; the few microseconds after it add next to nothing.
    let all_late = 8.0 * 5.0 * 0.25;
    let a = account(&facts(1.0), &calls);
    assert!((a.bound - (all_late + 2.0 * 3.0)).abs() < 0.01, "{}", a.bound);
    // With capacity for all calls the bound is their whole worth.
    assert!((account(&facts(100.0), &calls).bound - 40.0).abs() < 1e-9);
    // A runner that is down adds no capacity.
    let down = |at| Line { at, event: Event::RunnerKilled { runner: 1 } };
    let killed = [&calls[..], &[down(0)]].concat();
    assert!((account(&facts(1.0), &killed).bound - all_late).abs() < 0.01);
    let started = Line { at: S / 2, event: Event::RunnerStarted { runner: 1 } };
    let back = [&killed[..], &[started]].concat();
    let bound = account(&facts(1.0), &back).bound;
    assert!(bound > all_late && bound < a.bound, "{bound}");
}

#[test]
fn recovery_is_counted_from_the_end_of_the_fault() {
    let second = |earned| Worth { requested: 10.0, earned };
    let seconds = [9.0, 9.0, 2.0, 1.0, 3.0, 8.0, 8.6, 9.0].map(second).to_vec();
    let a = Account { seconds, ..Account::default() };
    assert_eq!(recovery(&a, 2, 4, 0.95), Some(2));
    assert_eq!(recovery(&a, 2, 4, 0.8), Some(1));
    assert_eq!(recovery(&a, 2, 4, 1.2), None);
    assert_eq!(recovery(&a, 0, 4, 0.95), None, "nothing to compare with");
}
