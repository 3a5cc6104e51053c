//! Tests of the ledger's table and, with random histories of front ends, runners and crashes, of its
//! guarantees.

use badgerwind::interface::Outcome;
use badgerwind_attempts::ledger::{Admission, Ledger, Limits};
use badgerwind_attempts::{Fence, NeverRan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const LIMITS: Limits = Limits { retention: 1_000, lease: 100, max_calls: 3 };

fn fence(taken: u64, attempt: u32) -> Fence {
    Fence { taken, front: 0, attempt }
}

fn ledger() -> Ledger<&'static str> {
    Ledger::new(LIMITS)
}

#[test]
fn one_attempt_runs_at_a_time_and_one_in_all() {
    let mut ledger = ledger();
    assert_eq!(ledger.admit(0, "a", fence(1, 0)), Admission::Run);
    assert_eq!(ledger.admit(1, "a", fence(2, 0)), Admission::Busy, "from another front end");
    assert_eq!(ledger.admit(1, "a", fence(1, 0)), Admission::Stale, "the same attempt twice");
    assert!(ledger.record_ran(50, "a", fence(1, 0), "receipt 7"));
    assert_eq!(ledger.admit(51, "a", fence(2, 1)), Admission::Ran("receipt 7"));
    assert_eq!(ledger.admit(1_049, "a", fence(0, 0)), Admission::Ran("receipt 7"));
    assert_eq!(ledger.admit(1_050, "a", fence(3, 0)), Admission::Run, "removed exactly after the retention");
}

#[test]
fn after_an_attempt_that_never_ran_only_a_newer_one_is_admitted() {
    let mut ledger = ledger();
    assert_eq!(ledger.admit(0, "a", fence(5, 0)), Admission::Run);
    assert!(ledger.record_never_ran(10, "a", fence(5, 0)));
    assert_eq!(
        ledger.admit(11, "a", fence(4, 3)),
        Admission::Stale,
        "delayed, from a front end that has died"
    );
    assert_eq!(ledger.admit(11, "a", fence(5, 1)), Admission::Run);
}

#[test]
fn an_attempt_without_a_reported_end_leaves_its_call_in_doubt() {
    for silent in [true, false] {
        let mut ledger = ledger();
        assert_eq!(ledger.admit(0, "a", fence(1, 0)), Admission::Run);
        if !silent {
            assert!(ledger.record_in_doubt(20, "a", fence(1, 0)));
        }
        assert_eq!(
            ledger.admit(99, "a", fence(2, 0)),
            if silent { Admission::Busy } else { Admission::InDoubt }
        );
        assert_eq!(ledger.admit(100, "a", fence(2, 0)), Admission::InDoubt);
        assert!(!ledger.record_ran(101, "a", fence(1, 0), "late"), "its lease has expired");
        assert_eq!(ledger.admit(102, "a", fence(3, 0)), Admission::InDoubt);
    }
}

#[test]
fn a_full_ledger_removes_nothing_and_admits_nothing() {
    let mut ledger = ledger();
    for key in ["a", "b", "c"] {
        assert_eq!(ledger.admit(0, key, fence(1, 0)), Admission::Run);
        assert!(ledger.record_ran(1, key, fence(1, 0), "x"));
    }
    assert_eq!(ledger.admit(500, "d", fence(1, 0)), Admission::Full);
    assert_eq!(ledger.admit(1_001, "d", fence(1, 0)), Admission::Run);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn proof_is_created_from_evidence_only() {
    use Outcome::*;
    for o in [Moot, ConnectFailed, Full, Miss] {
        assert!(!NeverRan::from_outcome(o).unwrap().description().is_empty());
    }
    for o in [Ok, Error, Timeout, Reset, Cancelled] {
        assert_eq!(NeverRan::from_outcome(o), None, "{o:?}");
    }
}

#[test]
fn fences_survive_formatting_and_parsing() {
    let f = Fence { taken: 1_796_083_200_000_000, front: 3, attempt: 2 };
    assert_eq!(Fence::parse(&f.to_text()), Some(f));
    for bad in ["", "1.2", "1.2.3.4", "1.2.x", "-1.2.3"] {
        assert_eq!(Fence::parse(bad), None, "{bad}");
    }
    assert!(fence(2, 0) > fence(1, 9) && fence(1, 1) > fence(1, 0));
}

#[derive(Clone, Debug)]
enum Step {
    Admit(u8, u64, u32),
    End(u8, u8),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0u8..4, 0u64..5, 0u32..3).prop_map(|(k, t, a)| Step::Admit(k, t, a)),
        3 => (0u8..6, 0u8..4).prop_map(|(n, how)| Step::End(n, how)),
        2 => (0u64..150).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..150)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default()
    })]

    /// Runners may crash, or finish late or never. Within the retention a call runs at most once, no two of
    /// its attempts are admitted at the same time, and none is admitted after a newer one.
    #[test]
    fn no_call_runs_twice_and_no_attempts_overlap(steps in steps()) {
        let (mut ledger, mut now) = (ledger(), 0u64);
        // Running attempts: key, fence, and when they were admitted.
        let mut running: Vec<(u8, Fence, u64)> = Vec::new();
        // By key: the newest admitted fence, whether it may have run, and since when that is known.
        let mut seen: BTreeMap<u8, (Fence, bool, u64)> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Wait(span) => now += span,
                Step::Admit(k, taken, attempt) => {
                    let f = fence(taken, attempt);
                    if ledger.admit(now, &k.to_string(), f) == Admission::Run {
                        let live = running.iter().any(|(key, _, at)| *key == k && at + LIMITS.lease > now);
                        prop_assert!(!live, "two attempts of {} at the same time", k);
                        if let Some((newest, ran, at)) = seen.get(&k) {
                            if at + LIMITS.retention > now {
                                prop_assert!(!ran, "{} admitted after one that may have run", k);
                                prop_assert!(f > *newest, "{:?} admitted after {:?}", f, newest);
                            }
                        }
                        running.push((k, f, now));
                        seen.insert(k, (f, false, now));
                    }
                }
                Step::End(n, how) if !running.is_empty() => {
                    let (k, f, at) = running.remove(usize::from(n) % running.len());
                    let key = k.to_string();
                    let in_time = at + LIMITS.lease > now;
                    let recorded = match how {
                        0 | 1 => ledger.record_ran(now, &key, f, "x"),
                        2 => ledger.record_never_ran(now, &key, f),
                        _ => ledger.record_in_doubt(now, &key, f),
                    };
                    prop_assert_eq!(recorded, in_time, "an end is recorded only within the lease");
                    // An attempt whose lease expired is in doubt from that time on.
                    let since = if in_time { now } else { at + LIMITS.lease };
                    seen.insert(k, (f, how != 2 || !in_time, since));
                }
                Step::End(..) => {}
            }
            for (k, f, at) in running.iter().filter(|w| w.2 + LIMITS.lease <= now) {
                seen.insert(*k, (*f, true, at + LIMITS.lease));
            }
            prop_assert!(ledger.len() <= LIMITS.max_calls);
        }
    }
}
