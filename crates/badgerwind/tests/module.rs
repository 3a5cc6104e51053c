//! Tests of the rules and of the main decisions of the module.

mod common;

use badgerwind::interface::*;
use badgerwind::Router;
use common::*;

#[test]
fn a_miss_orders_one_copy_there_and_resends_once_it_is_loaded() {
    let mut checked = CheckedRouter::new(settings(Effect::Once), 4);
    checked.request("a", "f", 3000 * MS);
    let worker = checked.sends("a")[0];
    checked.now += MS;
    checked.answer("a", 0, Outcome::Miss, CopyMark::Untold);
    let order = checked.loads.iter().position(|l| l.3 > 0).expect("one copy ordered");
    assert_eq!((checked.loads[order].1, checked.loads[order].3), (worker, 1));
    checked.now += 600 * MS;
    checked.loaded(order, Outcome::Ok, 1);
    assert_eq!(checked.sends("a"), vec![worker, worker]);
}

/// A router that knows one warm copy of "f", and the worker that holds it.
fn warmed(effect: Effect) -> (CheckedRouter, WorkerId) {
    let mut checked = CheckedRouter::new(settings(effect), 4);
    checked.request("warm", "f", 3000 * MS);
    checked.now += 100 * MS;
    checked.answer("warm", 0, Outcome::Ok, CopyMark::Warm);
    let worker = checked.sends("warm")[0];
    (checked, worker)
}

#[test]
fn a_request_waits_for_a_busy_warm_lane_and_goes_out_when_it_frees() {
    let (mut checked, worker) = warmed(Effect::Repeatable);
    for id in ["1", "2", "3"] {
        checked.request(id, "f", 3000 * MS);
    }
    assert_eq!(
        (checked.sends("1"), checked.sends("2"), checked.sends("3")),
        (vec![worker], vec![worker], vec![])
    );
    checked.now += 50 * MS;
    checked.answer("1", 0, Outcome::Ok, CopyMark::Warm);
    assert_eq!(checked.sends("3"), vec![worker]);
}

#[test]
fn held_requests_are_answered_before_the_client_gives_up() {
    let mut checked = CheckedRouter::new(settings(Effect::Once), 0);
    checked.request("a", "f", 700 * MS);
    checked.advance(700 * MS);
    assert!(checked.answered.contains_key("a"));
}

#[test]
fn a_timeout_at_the_deadline_is_answered_and_a_disconnect_in_the_same_batch_is_ignored() {
    let (mut checked, _) = warmed(Effect::Once);
    checked.request("a", "f", 500 * MS);
    checked.now += 500 * MS;
    let actions = checked.answer("a", 0, Outcome::Timeout, CopyMark::Untold);
    assert!(actions.contains(&Action::Fail { id: "a".into() }));
    assert!(checked.event(Event::ClientDisconnected { id: "a".into() }).is_empty());
}

#[test]
fn a_once_request_is_resent_only_after_outcomes_that_prove_it_never_ran() {
    for (outcome, again) in [
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
        (Outcome::Full, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Moot, true),
    ] {
        let (mut checked, _) = warmed(Effect::Once);
        checked.request("a", "f", 3000 * MS);
        checked.now += 10 * MS;
        checked.answer("a", 0, outcome, CopyMark::Untold);
        assert_eq!(checked.actions.contains(&Action::Fail { id: "a".into() }), !again, "{outcome:?}");
    }
}

#[test]
fn a_by_key_request_is_resent_only_in_its_zone() {
    let (mut checked, worker) = warmed(Effect::ByKey);
    checked.request("a", "f", 3000 * MS);
    checked.now += 10 * MS;
    checked.answer("a", 0, Outcome::Error, CopyMark::Untold);
    checked.advance(1500 * MS);
    assert!(checked.sends("a").iter().all(|o| o % 2 == worker % 2));
    checked.advance(1490 * MS);
    if checked.attempts["a"].len() > 1 {
        checked.answer("a", 1, Outcome::Timeout, CopyMark::Untold);
    }
    assert!(checked.actions.contains(&Action::Fail { id: "a".into() }), "the zone group forbids a refusal");
}

#[test]
fn nothing_is_sent_to_a_draining_worker_until_it_is_ready_again() {
    let (mut checked, worker) = warmed(Effect::Repeatable);
    let entries = vec![entry(worker, Availability::Draining, None)];
    checked.event(Event::List { kind: ListKind::Changes, entries });
    checked.request("a", "f", 3000 * MS);
    checked.advance(200 * MS);
    assert!(!checked.sends("a").contains(&worker));
    // It returns under the same id with a new start: ready again, but without copies.
    let entries = vec![entry(worker, Availability::Ready, Some(checked.now))];
    checked.event(Event::List { kind: ListKind::Changes, entries });
    checked.request("b", "f", 3000 * MS);
    checked.advance(100 * MS);
}

#[test]
fn a_cold_worker_gets_a_small_share_in_every_window() {
    let mut set = settings(Effect::Repeatable);
    set.when_absent = WhenAbsent::Load;
    let mut checked = CheckedRouter::new(set, 0);
    let entries = vec![entry(1, Availability::Ready, Some(checked.now))];
    checked.event(Event::List { kind: ListKind::Whole, entries });
    for n in 0..100 {
        checked.request(&format!("{n}"), &format!("f{n}"), 3000 * MS);
        checked.advance(10 * MS);
    }
    let sent: usize = checked.attempts.values().map(Vec::len).sum();
    assert!((1..=6).contains(&sent), "{sent} sends to a worker that has just started");
}

#[test]
fn a_silent_worker_is_detected_and_repeatable_requests_go_elsewhere() {
    let (mut checked, worker) = warmed(Effect::Repeatable);
    checked.request("a", "f", 3000 * MS);
    checked.request("b", "f", 3000 * MS);
    assert_eq!(checked.sends("a"), vec![worker]);
    checked.advance(1600 * MS);
    assert!(checked.actions.contains(&Action::Cancel { id: "a".into(), attempt: 0 }), "cancelled in time");
    checked.answer("a", 0, Outcome::Cancelled, CopyMark::Untold);
    checked.advance(100 * MS);
    // The copies that were ordered elsewhere meanwhile are loaded.
    for order in 0..checked.loads.len() {
        if checked.loads[order].1 != worker {
            checked.loaded(order, Outcome::Ok, checked.loads[order].3);
        }
    }
    assert!(checked.sends("a").get(1).is_some_and(|&o| o != worker), "{:?}", checked.sends("a"));
    checked.request("c", "f", 3000 * MS);
    assert!(!checked.sends("c").contains(&worker));
}

#[test]
fn fast_failures_do_not_attract_traffic_and_a_bad_fleet_is_still_used() {
    let (mut checked, worker) = warmed(Effect::Repeatable);
    for n in 0..6 {
        let id = format!("e{n}");
        checked.request(&id, "f", 3000 * MS);
        if checked.sends(&id) == vec![worker] {
            checked.now += 2 * MS;
            checked.answer(&id, 0, Outcome::Error, CopyMark::Untold);
        }
    }
    checked.request("x", "f", 3000 * MS);
    assert!(!checked.sends("x").contains(&worker), "tripped");
    // When all workers fail, all are used.
    let mut one = CheckedRouter::new(settings(Effect::Repeatable), 1);
    for n in 0..8 {
        let id = format!("e{n}");
        one.request(&id, &format!("g{n}"), 3000 * MS);
        one.now += 2 * MS;
        if !one.sends(&id).is_empty() {
            one.answer(&id, 0, Outcome::Error, CopyMark::Untold);
        }
    }
    one.request("x", "new", 3000 * MS);
    assert_eq!(one.sends("x"), vec![1]);
}

#[test]
fn a_worker_that_refuses_gets_no_calls_for_a_while() {
    let (mut checked, worker) = warmed(Effect::Repeatable);
    for id in ["1", "2"] {
        checked.request(id, "f", 3000 * MS);
    }
    checked.now += 5 * MS;
    checked.answer("1", 0, Outcome::Full, CopyMark::Untold);
    checked.request("3", "f", 3000 * MS);
    assert!(!checked.sends("3").contains(&worker), "it has just refused one");
}

#[test]
fn several_mispredictions_together_void_older_beliefs() {
    for void in [false, true] {
        let mut checked = CheckedRouter::new(settings(Effect::Repeatable), 6);
        for n in 0..6 {
            checked.request(&format!("w{n}"), &format!("f{n}"), 3000 * MS);
            checked.now += 50 * MS;
            checked.answer(&format!("w{n}"), 0, Outcome::Ok, CopyMark::Warm);
        }
        checked.advance(3000 * MS);
        for n in 0..5 {
            checked.request(&format!("m{n}"), &format!("f{n}"), 3000 * MS);
            checked.now += MS;
            let (outcome, mark) = (if void { Outcome::Miss } else { Outcome::Ok }, CopyMark::Warm);
            checked.answer(&format!("m{n}"), 0, outcome, mark);
        }
        // The preferred worker of f5 had two free lanes. Believed, they get two requests; else only one, as a
        // test.
        checked.request("x", "f5", 3000 * MS);
        checked.request("y", "f5", 3000 * MS);
        let preferred = checked.sends("w5")[0];
        assert_eq!(checked.sends("x"), vec![preferred]);
        assert_eq!(checked.sends("y") == vec![preferred], !void);
    }
}

#[test]
fn load_orders_keep_the_sliding_window() {
    let mut checked = CheckedRouter::new(settings(Effect::Repeatable), 6);
    for n in 0..60 {
        checked.request(&format!("{n}"), &format!("f{n}"), 3000 * MS);
        checked.now += MS;
        checked.answer(&format!("{n}"), 0, Outcome::Miss, CopyMark::Untold);
        checked.advance(20 * MS);
    }
    assert!(checked.orders.len() >= 5, "orders are made, and each has been checked against the window");
}

#[test]
fn bad_input_neither_panics_nor_breaks_a_rule() {
    let mut set = settings(Effect::Repeatable);
    set.memory_mb.clear();
    let mut checked = CheckedRouter::new(set, 0);
    checked.request("early", "f", 0);
    checked.event(Event::List { kind: ListKind::Whole, entries: vec![] });
    let twice = vec![entry(1, Availability::Ready, None), entry(1, Availability::Draining, None)];
    checked.event(Event::List { kind: ListKind::Changes, entries: twice });
    checked.event(Event::List { kind: ListKind::Whole, entries: vec![entry(2, Availability::Ready, None)] });
    let mut odd = request("odd", "zero", checked.now + 3000 * MS);
    (odd.lanes, odd.load_time, odd.tenant) = (0, None, 9);
    checked.event(Event::Request(odd));
    let mut other = request("class", "f", checked.now + 3000 * MS);
    other.class = 5;
    assert_eq!(checked.event(Event::Request(other)).len(), 1);
    for attempt in [0, 7] {
        let (id, lag, mark) = ("nobody".into(), 5, CopyMark::Warm);
        let (worker, outcome, last, crowd, report) = (9, Outcome::Ok, true, Some(3), None);
        checked.event(Event::Answer { id, attempt, worker, outcome, last, lag, mark, crowd, report });
    }
    checked.event(Event::Alarm { name: "unknown".into() });
    checked.event(Event::Message { from: 3, bytes: vec![255; 300] });
    let (function, outcome): (FunctionId, _) = ("zero".into(), Outcome::Ok);
    checked.event(Event::Loaded { worker: 77, function, outcome, copies: 3, lag: u64::MAX });
    checked.advance(4000 * MS);
    let out = |id| {
        checked.attempts.get(id).is_some_and(|t: &Vec<AttemptRecord>| t.iter().any(|t| t.ended.is_none()))
    };
    assert!(
        checked.due.keys().all(|id| checked.answered.contains_key(id) || out(id)),
        "each is answered or in flight"
    );
    assert!(checked.answered.len() >= 2);
}

/// Random valid streams of events: the rules hold, and equal events give equal actions.
#[test]
fn random_streams_keep_the_rules() {
    for seed in 0..60 {
        let effect = [Effect::Repeatable, Effect::ByKey, Effect::Once][seed as usize % 3];
        let first = stream(seed, effect);
        assert_eq!(first, stream(seed, effect), "seed {seed}");
    }
}

fn stream(seed: u64, effect: Effect) -> Vec<Action> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut set = settings(effect);
    set.may_duplicate = seed % 2 == 0;
    set.when_absent = if seed % 5 < 2 { WhenAbsent::Load } else { WhenAbsent::Miss };
    let mut checked = CheckedRouter::new(set, 5);
    let mut answered = 0;
    for n in 0..250 {
        // Time passes, but not beyond a deadline with an attempt out: that attempt times out there.
        let target = checked.now + rng.u64(0..40) * MS;
        while let Some((due, id)) = (checked.attempts.iter())
            .filter(|(id, t)| !checked.answered.contains_key(*id) && t.iter().any(|t| t.ended.is_none()))
            .map(|(id, _)| (checked.due[id], id.clone()))
            .min()
            .filter(|(due, _)| *due <= target)
        {
            checked.advance(due.saturating_sub(checked.now));
            for k in (0..checked.attempts[&id].len())
                .filter(|&k| checked.attempts[&id][k].ended.is_none())
                .collect::<Vec<_>>()
            {
                checked.answer(&id, k as u32, Outcome::Timeout, CopyMark::Untold);
            }
        }
        checked.advance(target.saturating_sub(checked.now));
        if rng.u8(0..3) > 0 {
            checked.request(&format!("{n}"), &format!("f{}", rng.u8(0..6)), rng.u64(0..3000) * MS);
        }
        if rng.u8(0..25) == 0 {
            let state = [Availability::Ready, Availability::Draining, Availability::Removed][rng.usize(0..3)];
            let born = (state == Availability::Ready && rng.bool()).then_some(checked.now);
            let entries = vec![entry(rng.u32(1..6), state, born)];
            checked.event(Event::List { kind: ListKind::Changes, entries });
        }
        let out: Vec<(RequestId, u32, Time)> = checked
            .attempts
            .iter()
            .flat_map(|(id, t)| t.iter().enumerate().map(move |(k, t)| (id.clone(), k as u32, t)))
            .filter(|(_, _, t)| t.ended.is_none())
            .map(|(id, k, t)| (id, k, t.at))
            .collect();
        for (id, k, at) in out {
            let over = checked.answered.contains_key(&id);
            if over || (checked.now > at + 50 * MS && rng.u8(0..3) == 0) {
                use Outcome::*;
                let kinds = [Ok, Ok, Ok, Ok, Error, Full, Miss, Reset, ConnectFailed];
                let outcome = if over { Cancelled } else { kinds[rng.usize(0..kinds.len())] };
                checked.answer(&id, k, outcome, CopyMark::Untold);
            }
        }
        while answered < checked.loads.len() && rng.u8(0..3) > 0 {
            let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Full, Outcome::Error][rng.usize(0..4)];
            checked.loaded(answered, outcome, checked.loads[answered].3);
            answered += 1;
        }
    }
    checked.actions
}

#[test]
fn front_ends_that_share_nothing_choose_the_same_worker() {
    let preferred = |seed| {
        let mut out = Vec::new();
        let mut r = Router::new(seed, settings(Effect::Repeatable));
        let entries = (1..9).map(|worker| entry(worker, Availability::Ready, None)).collect();
        r.handle(1, Event::List { kind: ListKind::Cached, entries }, &mut out);
        r.handle(2, Event::Request(request("a", "f", 3_000_000)), &mut out);
        out.into_iter().find_map(|a| if let Action::Send { worker, .. } = a { Some(worker) } else { None })
    };
    assert!(preferred(1).is_some());
    assert_eq!(preferred(1), preferred(2));
}

/// Demand far above capacity, mostly unmarked retries, was mistaken for the capacity of the workers: a cold
/// one was sent four times its budget.
#[test]
fn demand_beyond_capacity_does_not_overload_a_cold_worker() {
    let mut set = settings(Effect::Repeatable);
    set.when_absent = WhenAbsent::Load;
    (set.front_ends, set.max_attempts) = (1, 2);
    let mut checked = CheckedRouter::new(set, 4);
    // Four warm workers that serve ten calls a second each and refuse the rest; the demand is two hundred a
    // second.
    let mut next_free = [checked.now; 5];
    let (born, mut sends) = (checked.now + 12_000 * MS, Vec::new());
    let mut listed = false;
    for n in 0..3_200u64 {
        if checked.now >= born && !listed {
            listed = true;
            checked.event(Event::List {
                kind: ListKind::Changes,
                entries: vec![entry(5, Availability::Ready, Some(born))],
            });
        }
        checked.request(&format!("{n}"), &format!("f{}", n % 8), 3000 * MS);
        checked.advance(5 * MS);
        let now = checked.now;
        let out: Vec<(String, u32, WorkerId, u64)> = checked
            .attempts
            .iter()
            .flat_map(|(id, all)| {
                let last = all.last().filter(|t| t.ended.is_none() && !t.called_off);
                last.map(|t| (id.to_string(), all.len() as u32 - 1, t.worker, t.at))
            })
            .collect();
        for (id, attempt, worker, at) in out {
            if worker == 5 {
                sends.push(at);
                checked.answer(&id, attempt, Outcome::Ok, CopyMark::BeganLoad);
            } else if next_free[worker as usize] <= now {
                next_free[worker as usize] = now + 100 * MS;
                checked.answer(&id, attempt, Outcome::Ok, CopyMark::Warm);
            } else if now >= at + 300 * MS {
                checked.answer(&id, attempt, Outcome::Full, CopyMark::Untold);
            }
        }
    }
    assert!(!sends.is_empty(), "the cold worker got no calls");
    for &from in &sends {
        let within = sends.iter().filter(|&&t| t >= from && t < from + 1_500 * MS).count() as f64;
        let age = (from + 1_500 * MS - born) as f64 / 15e6;
        let most = 2.5 * 10.0 * 1.5 * (0.2 + 0.8 * age.min(1.0));
        assert!(within <= most, "{within} sends of {most} at {age} of the warm-up");
    }
}

/// A worker's process may have restarted without notice: until its next entry in the list it has the budget
/// of one that has just started, and no copies.
#[test]
fn a_presumed_restart_leaves_a_worker_cold_until_its_next_list_entry() {
    let mut set = settings(Effect::Repeatable);
    set.when_absent = WhenAbsent::Load;
    set.front_ends = 1;
    let mut checked = CheckedRouter::new(set, 1);
    let only = 1;
    for n in 0..100 {
        checked.request(&format!("warm {n}"), "f", 3000 * MS);
        checked.answer(&format!("warm {n}"), 0, Outcome::Ok, CopyMark::Warm);
        checked.advance(50 * MS);
    }
    let sent_of = |checked: &mut CheckedRouter, name: &str| {
        for n in 0..60 {
            checked.request(&format!("{name} {n}"), &format!("{name} f{n}"), 3000 * MS);
        }
        (0..60).filter(|n| !checked.sends(&format!("{name} {n}")).is_empty()).count()
    };
    checked.event(Event::PresumedRestart { worker: only });
    let cold = sent_of(&mut checked, "cold");
    checked.event(Event::List {
        kind: ListKind::Changes,
        entries: vec![entry(only, Availability::Ready, None)],
    });
    let listed = sent_of(&mut checked, "listed");
    assert!(cold < 10 && listed > 30, "{cold} sends while it counts as cold, {listed} once it was listed");
}
