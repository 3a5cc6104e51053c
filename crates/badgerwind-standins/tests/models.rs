//! Tests of the models against results worked out by hand.

use badgerwind::interface::{CopyMark, Outcome};
use badgerwind_standins::model::*;
use badgerwind_standins::share::Share;
use badgerwind_standins::store::{self, Store};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn spec() -> Spec {
    Spec {
        cores: 2.0,
        speed: 1.0,
        queue: 2,
        memory_mb: 250.0,
        loads: 1,
        keep_alive: 1_000_000,
        loads_when_absent: true,
        eager: false,
        cold_from: 0.2,
        cold_span: 10_000_000,
        fall_multiple: 2.5,
        fall_window: 1_000_000,
        start: 100_000,
    }
}

fn call(function: &str) -> IncomingCall {
    IncomingCall {
        function: function.into(),
        memory_mb: 100.0,
        lanes: 1,
        work: 50_000.0,
        mean_work: 50_000.0,
        class: "check".into(),
        tenant: "t".into(),
    }
}

fn answers(out: &[Action]) -> Vec<(u64, Outcome, CopyMark, u32)> {
    let pick = |o: &Action| match o {
        Action::Answer { call, outcome, mark, crowd } => Some((*call, *outcome, *mark, *crowd)),
        _ => None,
    };
    out.iter().filter_map(pick).collect()
}

#[test]
fn jobs_share_the_cores_evenly_and_none_runs_faster_than_one_core() {
    let mut s = Share::new(2.0, 1.0);
    s.add(0, 1, 100.0);
    assert_eq!(s.next_completion(), Some(100));
    s.add(50, 2, 100.0);
    s.add(50, 3, 100.0);
    // Three jobs share two cores: 50 left at two thirds of the rate.
    assert_eq!(s.next_completion(), Some(125));
    assert_eq!(s.take_completed(125), [1]);
    // 50 left each at the full rate.
    assert_eq!(s.next_completion(), Some(175));
    assert_eq!(s.take_completed(175), [2, 3]);
}

#[test]
fn a_call_waits_for_its_load_then_runs() {
    let (mut r, mut out) = (Runner::new(0, spec(), false), Vec::new());
    r.call(0, 1, call("f"), &mut out);
    r.call(10, 2, call("f"), &mut out);
    assert_eq!(out, [Action::Fetch { load: 1, function: "f".into() }]);
    r.on_fetch_end(200_000, 1, true, &mut out);
    assert_eq!(r.next(200_000), Some(300_000));
    r.poll(300_000, &mut out);
    r.poll(350_000, &mut out);
    r.poll(400_000, &mut out);
    let want = [(1, Outcome::Ok, CopyMark::BeganLoad, 0), (2, Outcome::Ok, CopyMark::WaitedForLoad, 1)];
    assert_eq!(answers(&out), want);
    out.clear();
    r.call(500_000, 3, call("f"), &mut out);
    r.poll(550_000, &mut out);
    assert_eq!(answers(&out), [(3, Outcome::Ok, CopyMark::Warm, 0)]);
    r.poll(1_549_999, &mut out);
    assert_eq!(r.copies("f"), 1);
    r.poll(1_550_000, &mut out);
    assert_eq!(r.copies("f"), 0, "idle for the keep-alive");
}

#[test]
fn a_runner_that_does_not_load_when_absent_answers_miss() {
    let (mut r, mut out) = (Runner::new(0, Spec { loads_when_absent: false, ..spec() }, false), Vec::new());
    r.call(0, 1, call("f"), &mut out);
    assert_eq!(answers(&out), [(1, Outcome::Miss, CopyMark::Untold, 0)]);
    out.clear();
    r.order(10, 9, ("f", 1), (100.0, 1), &mut out);
    r.call(20, 2, call("f"), &mut out);
    r.on_fetch_end(30, 1, true, &mut out);
    r.poll(100_030, &mut out);
    r.poll(150_030, &mut out);
    assert!(out.contains(&Action::Ordered { order: 9, outcome: Outcome::Ok, copies: 1 }));
    assert_eq!(answers(&out), [(2, Outcome::Ok, CopyMark::WaitedForLoad, 0)]);
}

#[test]
fn a_full_queue_lack_of_memory_and_failed_loads_reject_calls() {
    let (mut r, mut out) = (Runner::new(0, spec(), false), Vec::new());
    (1..=3).for_each(|n| r.call(0, n, call("f"), &mut out));
    assert_eq!(answers(&out), [(3, Outcome::Full, CopyMark::Untold, 2)], "two may wait");
    out.clear();
    r.on_fetch_end(10, 1, false, &mut out);
    let want = [(1, Outcome::Miss, CopyMark::LoadFailed, 0), (2, Outcome::Miss, CopyMark::LoadFailed, 1)];
    assert_eq!(answers(&out), want);
    let big = IncomingCall { memory_mb: 300.0, ..call("g") };
    out.clear();
    r.call(20, 4, big, &mut out);
    assert_eq!(answers(&out), [(4, Outcome::Full, CopyMark::Untold, 0)]);
}

#[test]
fn idle_copies_are_unloaded_for_memory_and_busy_ones_are_not() {
    let (mut r, mut out) = (Runner::new(0, spec(), false), Vec::new());
    for (n, f) in [(1, "f"), (2, "g")] {
        r.order(0, n, (f, 1), (100.0, 1), &mut out);
        r.on_fetch_end(0, n, true, &mut out);
        r.poll(100_000 * n, &mut out);
    }
    let long = IncomingCall { work: 1e9, ..call("f") };
    r.call(200_000, 1, long, &mut out);
    r.order(200_000, 3, ("h", 1), (100.0, 1), &mut out);
    assert_eq!((r.copies("f"), r.copies("g")), (1, 0));
    out.clear();
    r.order(200_000, 4, ("g", 1), (100.0, 1), &mut out);
    assert_eq!(out, [Action::Ordered { order: 4, outcome: Outcome::Full, copies: 0 }]);
}

#[test]
fn a_draining_runner_rejects_new_calls_and_finishes_running_ones() {
    let (mut r, mut out) = (Runner::new(0, spec(), false), Vec::new());
    r.order(0, 1, ("f", 1), (100.0, 1), &mut out);
    r.on_fetch_end(0, 1, true, &mut out);
    r.poll(100_000, &mut out);
    r.call(100_000, 1, call("f"), &mut out);
    r.set_draining(true);
    out.clear();
    r.call(110_000, 2, call("f"), &mut out);
    r.order(110_000, 2, ("g", 1), (100.0, 1), &mut out);
    r.poll(150_000, &mut out);
    assert_eq!(
        answers(&out).iter().map(|a| (a.0, a.1)).collect::<Vec<_>>(),
        [(2, Outcome::Full), (1, Outcome::Ok)]
    );
    assert!(out.contains(&Action::Ordered { order: 2, outcome: Outcome::Full, copies: 0 }));
}

#[test]
fn faults_act_until_they_are_ended() {
    let (mut r, mut out) = (Runner::new(0, Spec { queue: 100, ..spec() }, false), Vec::new());
    r.order(0, 1, ("f", 1), (100.0, 100), &mut out);
    r.on_fetch_end(0, 1, true, &mut out);
    r.poll(100_000, &mut out);
    let f = || IncomingCall { lanes: 100, ..call("f") };
    let mut id = 0;
    let mut try_it = |r: &mut Runner, now: u64, c: IncomingCall| {
        let mut out = Vec::new();
        id += 1;
        r.call(now, id, c, &mut out);
        r.poll(now + 400_000, &mut out);
        let got = answers(&out).first().map(|a| a.1);
        let broke = out.iter().any(|o| matches!(o, Action::Break { .. }));
        r.cancel(now + 400_000, id, &mut out);
        (got, broke)
    };
    let throttle = Fault::Throttle { tenant: "t".into() };
    let class = Fault::ClassFail { class: "check".into() };
    for (n, (fault, want)) in [
        (Fault::Hang, (None, false)),
        (Fault::FastErrors { share: 1.0 }, (Some(Outcome::Error), false)),
        (throttle, (Some(Outcome::Full), false)),
        (Fault::ThrottleClass { class: "check".into() }, (Some(Outcome::Full), false)),
        (class, (None, false)),
        (Fault::Neighbour { share: 0.9 }, (None, false)),
        (Fault::Reset { share: 1.0 }, (None, true)),
    ]
    .into_iter()
    .enumerate()
    {
        let now = 200_000 + 1_000_000 * n as u64;
        r.set_fault(now, fault.clone(), true);
        assert_eq!(try_it(&mut r, now, f()), want, "{fault:?}");
        r.set_fault(now + 450_000, fault.clone(), false);
        assert_eq!(try_it(&mut r, now + 450_000, f()), (Some(Outcome::Ok), false), "{fault:?} ended");
    }
}

#[test]
fn a_cold_runner_fails_when_overloaded() {
    // 2.5 x 0.2 x 2 cores x 1 s is 1 s of work: twenty calls of 50 ms, and two more are tolerated.
    let (mut r, mut out) = (Runner::new(0, Spec { queue: 100, ..spec() }, true), Vec::new());
    (1..=22).for_each(|n| r.call(0, n, call("f"), &mut out));
    assert!(!r.has_failed());
    r.call(0, 23, call("f"), &mut out);
    assert!(r.has_failed() && out.contains(&Action::Overloaded));
    let (mut r, mut out) = (Runner::new(0, Spec { queue: 100, ..spec() }, false), Vec::new());
    (1..=60).for_each(|n| r.call(0, n, call("f"), &mut out));
    assert!(!r.has_failed(), "a warm runner does not fail");
}

#[test]
fn the_store_slows_under_load_and_rejects_fetches_beyond_its_limit() {
    let mut s = Store::new(store::Spec { fetch: 100, full_rate_fetches: 2.0, max_fetches: 4 });
    assert!((0..4).all(|n| s.fetch(0, n)) && !s.fetch(0, 4));
    assert_eq!(s.next_completion(), Some(200), "four share the rate of two");
    assert_eq!(s.take_completed(200), [0, 1, 2, 3]);
    s.set_slowdown(200, 4.0);
    assert!(s.fetch(200, 5));
    assert_eq!(s.next_completion(), Some(600));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// For any sequence of inputs, each call has at most one answer, and finished work is not answered as
    /// never run.
    #[test]
    fn calls_are_answered_once(steps in prop::collection::vec((0u8..6, 0u8..4, 0u64..200_000), 1..150), eager: bool, loads: bool) {
        let spec = Spec { eager, loads_when_absent: loads, queue: 4, ..spec() };
        let (mut r, mut out, mut now, mut id) = (Runner::new(0, spec, true), Vec::new(), 0, 0);
        let mut fetches = Vec::new();
        let (mut answered, mut finished) = (std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
        for (what, f, pass) in steps {
            now += pass;
            let name = format!("f{f}");
            match what {
                0..=2 => { id += 1; r.call(now, id, call(&name), &mut out); }
                3 => { r.cancel(now, id.saturating_sub(u64::from(f)), &mut out); }
                4 => { id += 1; r.order(now, id, (&name, 2), (100.0, 1), &mut out); }
                _ => if let Some(load) = fetches.pop() { r.on_fetch_end(now, load, f > 0, &mut out); }
            }
            r.poll(now, &mut out);
            for o in out.drain(..) {
                match o {
                    Action::Answer { call, outcome, .. } => {
                        prop_assert!(answered.insert(call, outcome).is_none(), "{} answered twice", call);
                        prop_assert!(!finished.contains(&call) || outcome == Outcome::Ok);
                    }
                    Action::Finished { call } => prop_assert!(finished.insert(call)),
                    Action::Fetch { load, .. } => fetches.push(load),
                    _ => {}
                }
            }
            prop_assert!(r.next(now).is_none_or(|t| t >= now));
        }
    }
}

#[test]
fn a_group_runs_a_key_once_and_releases_one_that_did_not_run() {
    use badgerwind_standins::keys::{Claim, Keys};
    let mut k = Keys::new(100, 50);
    assert_eq!(
        [k.claim(0, "a"), k.claim(1, "a"), k.claim(1, "b")],
        [Claim::Fresh, Claim::Busy, Claim::Fresh]
    );
    k.ran(10, "a");
    k.release("a");
    k.release("b");
    assert_eq!([k.claim(109, "a"), k.claim(109, "b")], [Claim::Ran, Claim::Fresh]);
    assert_eq!([k.claim(110, "a"), k.claim(158, "b")], [Claim::Fresh, Claim::Busy]);
    assert_eq!(k.claim(159, "b"), Claim::Fresh, "the lease of the unreported call has ended");
}
