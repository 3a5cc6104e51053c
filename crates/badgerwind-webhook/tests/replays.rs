//! The memory of answered ids: one run an id, within its bounds and never beyond them.

use badgerwind_webhook::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const BOUNDS: Bounds = Bounds { count: 3, keep: 1_000, waiters: 2, bytes: 100 };

fn memory() -> Replay<&'static str, u32> {
    Replay::new(BOUNDS)
}

fn id(n: u8) -> Id {
    Id::of("portal", &format!("msg_{n}"))
}

#[test]
fn a_repeat_waits_for_the_one_run_and_later_ones_get_its_answer() {
    let (mut m, x) = (memory(), Digest::of(b"x"));
    assert_eq!(m.admit(0, &id(1), x, true, || 1), Admission::Run);
    assert_eq!(m.admit(1, &id(1), x, true, || 2), Admission::Waits);
    assert_eq!(m.end(2, &id(1), Ending::Remember { answer: "yes", size: 1 }), [2]);
    assert_eq!(m.admit(1_001, &id(1), x, true, || 3), Admission::Answered("yes"));
    assert_eq!(
        m.admit(1_002, &id(1), x, true, || 4),
        Admission::Run,
        "forgotten at the very end of its time"
    );
}

#[test]
fn the_same_id_with_another_body_is_a_conflict() {
    let mut m = memory();
    assert_eq!(m.admit(0, &id(1), Digest::of(b"x"), true, || 1), Admission::Run);
    assert_eq!(m.admit(0, &id(1), Digest::of(b"y"), true, || 1), Admission::Conflict);
}

#[test]
fn a_refused_one_may_be_tried_anew() {
    let (mut m, x) = (memory(), Digest::of(b"x"));
    assert_eq!(m.admit(0, &id(1), x, true, || 1), Admission::Run);
    assert!(m.end(1, &id(1), Ending::Forget).is_empty());
    assert_eq!(m.admit(2, &id(1), x, true, || 1), Admission::Run);
}

#[test]
fn when_full_it_turns_unsafe_calls_away_and_forgets_nothing_early() {
    let (mut m, x) = (memory(), Digest::of(b"x"));
    for n in 0..3 {
        assert_eq!(m.admit(0, &id(n), x, true, || 1), Admission::Run);
    }
    assert_eq!(m.admit(0, &id(3), x, true, || 1), Admission::Full);
    assert_eq!(m.admit(0, &id(3), x, false, || 1), Admission::RunUnremembered);
    for _ in 0..2 {
        assert_eq!(m.admit(0, &id(0), x, true, || 1), Admission::Waits);
    }
    assert_eq!(m.admit(0, &id(0), x, true, || 1), Admission::Full, "more than may wait");
    m.end(5, &id(0), Ending::Remember { answer: "yes", size: 1 });
    assert_eq!(m.admit(1_004, &id(3), x, true, || 1), Admission::Full);
    assert_eq!(m.admit(1_005, &id(3), x, true, || 1), Admission::Run);
    assert_eq!(m.len(), 3);
}

#[test]
fn answers_of_many_bytes_fill_it_as_many_answers_do() {
    let (mut m, x) = (memory(), Digest::of(b"x"));
    assert_eq!(m.admit(0, &id(1), x, true, || 1), Admission::Run);
    m.end(0, &id(1), Ending::Remember { answer: "long", size: 100 });
    assert_eq!(m.admit(999, &id(2), x, true, || 1), Admission::Full);
    assert_eq!(m.admit(1_000, &id(2), x, true, || 1), Admission::Run);
}

#[test]
fn an_id_is_its_senders() {
    assert_eq!(Id::of("a", "b"), Id::of("a", "b"));
    assert_ne!(Id::of("a", "b"), Id::of("ab", ""));
    assert_ne!(Id::of("a", "b"), Id::of("b", "a"));
}

#[test]
fn after_a_silence_few_are_let_go_at_a_time_and_none_counts_that_has_aged_out() {
    let bounds = Bounds { count: 1_000, keep: 1_000, waiters: 2, bytes: usize::MAX };
    let (mut m, x): (Replay<_, u32>, _) = (Replay::new(bounds), Digest::of(b"x"));
    let id = |n: u32| Id::of("portal", &n.to_string());
    for n in 0..1_000 {
        assert_eq!(m.admit(0, &id(n), x, true, || 1), Admission::Run);
        m.end(0, &id(n), Ending::Remember { answer: "old", size: 1 });
    }
    assert_eq!(m.admit(999, &id(5_000), x, true, || 1), Admission::Full);
    // The last to be let go comes first, with another body: it is new, whatever still stands there.
    let y = Digest::of(b"y");
    assert_eq!(m.admit(1_000, &id(999), y, true, || 1), Admission::Run);
    assert!(m.len() > 900 && m.len() < 1_000, "{}", m.len());
    m.end(1_000, &id(999), Ending::Remember { answer: "new", size: 1 });
    for n in 0..100 {
        assert_eq!(m.admit(1_001, &id(2_000 + n), x, true, || 1), Admission::Run);
    }
    // Its first turn in the queue has passed by now, and has not taken the second life along.
    assert_eq!(m.admit(1_002, &id(999), y, true, || 1), Admission::Answered("new"));
    assert_eq!(m.len(), 101);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_id_runs_twice_within_its_time(steps in prop::collection::vec((0u8..6, 0u8..4, 0u64..400), 1..200)) {
        let (mut m, x, mut now) = (memory(), Digest::of(b"x"), 0);
        // By id: running, or when it ended as remembered.
        let mut model: BTreeMap<u8, Option<u64>> = BTreeMap::new();
        for (n, what, pass) in steps {
            now += pass;
            let known = m.knows(now, &id(n));
            model.retain(|_, ended| ended.is_none_or(|at| at + BOUNDS.keep > now));
            prop_assert_eq!(known, model.contains_key(&n));
            match what {
                0 | 1 => match m.admit(now, &id(n), x, true, || 0) {
                    Admission::Run => {
                        prop_assert!(!known);
                        prop_assert!(model.insert(n, None).is_none(), "a second run of {}", n);
                    }
                    Admission::Answered(_) => prop_assert!(matches!(model.get(&n), Some(Some(_)))),
                    Admission::Waits => prop_assert_eq!(model.get(&n), Some(&None)),
                    Admission::Full => prop_assert!(model.len() == BOUNDS.count || model.get(&n) == Some(&None)),
                    other => prop_assert!(false, "{:?}", other),
                },
                _ if model.get(&n) == Some(&None) => {
                    let ending = if what == 2 { Ending::Remember { answer: "yes", size: 1 } } else { Ending::Forget };
                    m.end(now, &id(n), ending);
                    if what == 2 { model.insert(n, Some(now)); } else { model.remove(&n); }
                }
                _ => prop_assert!(m.end(now, &id(n), Ending::Forget).is_empty()),
            }
            prop_assert!(m.len() <= BOUNDS.count);
        }
    }
}
