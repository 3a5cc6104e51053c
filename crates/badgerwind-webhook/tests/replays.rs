//! Replay protection: at most one run per id within the retention, and limits that are never exceeded.

use badgerwind_webhook::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const LIMITS: ReplayLimits = ReplayLimits { max_ids: 3, retention: 1_000, max_waiters: 2, max_bytes: 100 };

fn memory() -> Replay<&'static str, u32> {
    Replay::new(LIMITS)
}

fn id(n: u8) -> Id {
    Id::of("portal", &format!("msg_{n}"))
}

#[test]
fn a_repeat_waits_for_the_one_run_and_later_ones_get_its_answer() {
    let (mut table, x) = (memory(), Digest::of(b"x"));
    assert_eq!(table.admit(0, &id(1), x, true, || 1), Admission::Run);
    assert_eq!(table.admit(1, &id(1), x, true, || 2), Admission::Waits);
    assert_eq!(table.end(2, &id(1), Ending::Remember { answer: "yes", size: 1 }), [2]);
    assert_eq!(table.admit(1_001, &id(1), x, true, || 3), Admission::Answered("yes"));
    assert_eq!(
        table.admit(1_002, &id(1), x, true, || 4),
        Admission::Run,
        "forgotten exactly at the end of the retention"
    );
}

#[test]
fn the_same_id_with_another_body_is_a_conflict() {
    let mut table = memory();
    assert_eq!(table.admit(0, &id(1), Digest::of(b"x"), true, || 1), Admission::Run);
    assert_eq!(table.admit(0, &id(1), Digest::of(b"y"), true, || 1), Admission::Conflict);
}

#[test]
fn a_call_that_never_ran_may_be_tried_again() {
    let (mut table, x) = (memory(), Digest::of(b"x"));
    assert_eq!(table.admit(0, &id(1), x, true, || 1), Admission::Run);
    assert!(table.end(1, &id(1), Ending::Forget).is_empty());
    assert_eq!(table.admit(2, &id(1), x, true, || 1), Admission::Run);
}

#[test]
fn a_full_table_rejects_unsafe_calls_and_evicts_nothing_early() {
    let (mut table, x) = (memory(), Digest::of(b"x"));
    for n in 0..3 {
        assert_eq!(table.admit(0, &id(n), x, true, || 1), Admission::Run);
    }
    assert_eq!(table.admit(0, &id(3), x, true, || 1), Admission::Full);
    assert_eq!(table.admit(0, &id(3), x, false, || 1), Admission::RunUnremembered);
    for _ in 0..2 {
        assert_eq!(table.admit(0, &id(0), x, true, || 1), Admission::Waits);
    }
    assert_eq!(table.admit(0, &id(0), x, true, || 1), Admission::Full, "too many waiters");
    table.end(5, &id(0), Ending::Remember { answer: "yes", size: 1 });
    assert_eq!(table.admit(1_004, &id(3), x, true, || 1), Admission::Full);
    assert_eq!(table.admit(1_005, &id(3), x, true, || 1), Admission::Run);
    assert_eq!(table.len(), 3);
}

#[test]
fn large_answers_fill_the_table() {
    let (mut table, x) = (memory(), Digest::of(b"x"));
    assert_eq!(table.admit(0, &id(1), x, true, || 1), Admission::Run);
    table.end(0, &id(1), Ending::Remember { answer: "long", size: 100 });
    assert_eq!(table.admit(999, &id(2), x, true, || 1), Admission::Full);
    assert_eq!(table.admit(1_000, &id(2), x, true, || 1), Admission::Run);
}

#[test]
fn ids_are_scoped_by_sender() {
    assert_eq!(Id::of("a", "b"), Id::of("a", "b"));
    assert_ne!(Id::of("a", "b"), Id::of("ab", ""));
    assert_ne!(Id::of("a", "b"), Id::of("b", "a"));
}

#[test]
fn expired_ids_are_removed_gradually_and_never_count() {
    let limits = ReplayLimits { max_ids: 1_000, retention: 1_000, max_waiters: 2, max_bytes: usize::MAX };
    let (mut table, x): (Replay<_, u32>, _) = (Replay::new(limits), Digest::of(b"x"));
    let id = |n: u32| Id::of("portal", &n.to_string());
    for n in 0..1_000 {
        assert_eq!(table.admit(0, &id(n), x, true, || 1), Admission::Run);
        table.end(0, &id(n), Ending::Remember { answer: "old", size: 1 });
    }
    assert_eq!(table.admit(999, &id(5_000), x, true, || 1), Admission::Full);
    // The id that would be removed last is admitted again with another body. It has expired, so it is new,
    // although its entry is still stored.
    let y = Digest::of(b"y");
    assert_eq!(table.admit(1_000, &id(999), y, true, || 1), Admission::Run);
    assert!(table.len() > 900 && table.len() < 1_000, "{}", table.len());
    table.end(1_000, &id(999), Ending::Remember { answer: "new", size: 1 });
    for n in 0..100 {
        assert_eq!(table.admit(1_001, &id(2_000 + n), x, true, || 1), Admission::Run);
    }
    // The first queue entry of the id has been processed by now, and must not have removed its second entry.
    assert_eq!(table.admit(1_002, &id(999), y, true, || 1), Admission::Answered("new"));
    assert_eq!(table.len(), 101);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_id_runs_twice_within_the_retention(steps in prop::collection::vec((0u8..6, 0u8..4, 0u64..400), 1..200)) {
        let (mut table, x, mut now) = (memory(), Digest::of(b"x"), 0);
        // By id: `None` while its call runs, then the time of its end.
        let mut model: BTreeMap<u8, Option<u64>> = BTreeMap::new();
        for (n, what, pass) in steps {
            now += pass;
            let known = table.knows(now, &id(n));
            model.retain(|_, ended| ended.is_none_or(|at| at + LIMITS.retention > now));
            prop_assert_eq!(known, model.contains_key(&n));
            match what {
                0 | 1 => match table.admit(now, &id(n), x, true, || 0) {
                    Admission::Run => {
                        prop_assert!(!known);
                        prop_assert!(model.insert(n, None).is_none(), "a second run of {}", n);
                    }
                    Admission::Answered(_) => prop_assert!(matches!(model.get(&n), Some(Some(_)))),
                    Admission::Waits => prop_assert_eq!(model.get(&n), Some(&None)),
                    Admission::Full => prop_assert!(model.len() == LIMITS.max_ids || model.get(&n) == Some(&None)),
                    other => prop_assert!(false, "{:?}", other),
                },
                _ if model.get(&n) == Some(&None) => {
                    let ending = if what == 2 { Ending::Remember { answer: "yes", size: 1 } } else { Ending::Forget };
                    table.end(now, &id(n), ending);
                    if what == 2 { model.insert(n, Some(now)); } else { model.remove(&n); }
                }
                _ => prop_assert!(table.end(now, &id(n), Ending::Forget).is_empty()),
            }
            prop_assert!(table.len() <= LIMITS.max_ids);
        }
    }
}
