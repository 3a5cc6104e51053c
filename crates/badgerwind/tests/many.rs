//! Failures of large deployments, where many front ends each see few calls.

mod common;

use badgerwind::interface::*;
use badgerwind::Router;
use common::*;
use std::collections::BTreeMap;

/// Settings of one front end among many, with two classes and two tenants and no limit on orders.
fn many(front_ends: u32) -> Settings {
    let mut set = settings(Effect::Repeatable);
    set.classes.push(set.classes[0].clone());
    set.tenants = vec![Tenant { quota_per_s: None }, Tenant { quota_per_s: None }];
    (set.front_ends, set.when_absent, set.load_window) = (front_ends, WhenAbsent::Load, 0);
    set.max_attempts = 6;
    set
}

fn request_as(
    checked: &mut CheckedRouter,
    id: &str,
    function: &str,
    (tenant, class, retry): (usize, usize, bool),
) {
    let r = Request { tenant, class, retry, ..request(id, function, checked.now + 3000 * MS) };
    checked.event(Event::Request(r));
}

fn answer_with(checked: &mut CheckedRouter, id: &str, attempt: u32, outcome: Outcome, crowd: u32) {
    let t = &checked.attempts[id][attempt as usize];
    let (worker, lag) = (t.worker, checked.now - t.at);
    let (last, mark, crowd, report) = (outcome == Outcome::Ok, CopyMark::Warm, Some(crowd), None);
    checked.event(Event::Answer { id: id.into(), attempt, worker, outcome, last, lag, mark, crowd, report });
}

/// Guards against a front end that renews or drops copies which a hundred others use: most loads were
/// unnecessary.
#[test]
fn a_copy_that_other_front_ends_use_is_not_this_ones_to_renew_or_drop() {
    for (front_ends, renews) in [(2, true), (100, false)] {
        let mut set = many(front_ends);
        set.idle_price = 0.5;
        let mut checked = CheckedRouter::new(set, 6);
        for n in 0..3 {
            request_as(&mut checked, &format!("{n}"), "f", (0, 0, false));
            checked.advance(150 * MS);
            answer_with(&mut checked, &format!("{n}"), 0, Outcome::Ok, 0);
        }
        let orders = checked.loads.len();
        checked.advance(9_800 * MS);
        assert_eq!(checked.loads.len() > orders, renews, "{front_ends} front ends");
        let drops = checked.actions.iter().any(|a| matches!(a, Action::Drop { .. }));
        assert!(!drops || front_ends == 2);
    }
}

/// With a single preferred worker each, hot functions loaded the busiest worker four times the mean. Crowd
/// marks show the calls of all front ends.
#[test]
fn crowd_marks_spread_a_shared_function_over_more_workers() {
    for crowd in [0, 6] {
        let mut checked = CheckedRouter::new(many(100), 12);
        let mut used = std::collections::BTreeSet::new();
        for n in 0..30 {
            let id = format!("{n}");
            request_as(&mut checked, &id, "f", (0, 0, false));
            checked.advance(120 * MS);
            answer_with(&mut checked, &id, 0, Outcome::Ok, crowd);
            used.insert(checked.sends(&id)[0]);
        }
        assert_eq!(used.len() > 4, crowd > 0, "crowd {crowd}: {used:?}");
    }
}

/// A worker that is `full` for one tenant, without a queue, still takes calls of another.
#[test]
fn full_without_a_queue_keeps_that_traffic_away_and_no_other() {
    let mut checked = CheckedRouter::new(many(100), 6);
    request_as(&mut checked, "a", "f", (0, 0, false));
    checked.advance(150 * MS);
    answer_with(&mut checked, "a", 0, Outcome::Ok, 0);
    request_as(&mut checked, "c", "f", (1, 1, false));
    let preferred = checked.sends("a")[0];
    checked.advance(150 * MS);
    answer_with(&mut checked, "c", 0, Outcome::Ok, 0);
    request_as(&mut checked, "d", "f", (0, 0, false));
    assert_eq!(checked.sends("d"), vec![preferred]);
    checked.advance(140 * MS);
    answer_with(&mut checked, "d", 0, Outcome::Full, 0);
    checked.advance(300 * MS);
    request_as(&mut checked, "e", "f", (0, 0, false));
    assert!(!checked.sends("e").contains(&preferred), "this tenant goes elsewhere");
    request_as(&mut checked, "g", "f", (1, 1, false));
    assert_eq!(checked.sends("g"), vec![preferred], "the other one still goes there");
}

/// A worker answers one class and not the other, so that the worker as a whole looks healthy.
#[test]
fn a_class_that_gets_no_answers_goes_elsewhere_while_the_other_stays() {
    let mut checked = CheckedRouter::new(many(100), 6);
    for (id, class) in [("a", 0), ("b", 1)] {
        request_as(&mut checked, id, "f", (class, class, false));
        checked.advance(150 * MS);
        answer_with(&mut checked, id, 0, Outcome::Ok, 0);
    }
    let preferred = checked.sends("a")[0];
    request_as(&mut checked, "lost", "f", (0, 0, false));
    assert_eq!(checked.sends("lost"), vec![preferred]);
    for n in 0..12 {
        let id = format!("s{n}");
        request_as(&mut checked, &id, "f", (1, 1, false));
        assert_eq!(checked.sends(&id), vec![preferred], "served class");
        checked.advance(150 * MS);
        answer_with(&mut checked, &id, 0, Outcome::Ok, 0);
    }
    request_as(&mut checked, "next", "f", (0, 0, false));
    assert!(
        !checked.sends("next").is_empty() && !checked.sends("next").contains(&preferred),
        "{:?}",
        checked.sends("next")
    );
}

/// Clients that retried many times without a pause used the capacity of all others.
#[test]
fn client_retries_are_limited_to_a_share_of_first_attempts() {
    let mut checked = CheckedRouter::new(many(100), 6);
    for n in 0..100 {
        request_as(&mut checked, &format!("first{n}"), &format!("f{n}"), (0, 0, false));
        request_as(&mut checked, &format!("again{n}"), &format!("g{n}"), (1, 1, true));
    }
    let sent = |kind: &str| checked.attempts.iter().filter(|(id, _)| id.starts_with(kind)).count();
    assert_eq!(sent("first"), 100);
    let again = sent("again");
    assert!((10..=31).contains(&again), "{again} retries sent at 100 first attempts");
}

/// One send a window by each of 200 front ends overloaded a cold worker. With hashed starts they stay within
/// its budget.
#[test]
fn two_hundred_front_ends_together_do_not_overload_a_cold_worker() {
    let (front_ends, mean_work_s, cores) = (200, 0.15, 4.0);
    let mut sends: Vec<Time> = Vec::new();
    let mut all: BTreeMap<u32, (CheckedRouter, u64)> = BTreeMap::new();
    for n in 0..front_ends {
        let mut set = many(front_ends);
        set.my_number = n;
        let mut checked = CheckedRouter::new(set.clone(), 0);
        checked.router = Router::new(u64::from(n), set);
        let born = |worker: u32| (worker == 1).then_some(1_000_000);
        let entries = (1..=20).map(|worker| entry(worker, Availability::Ready, born(worker))).collect();
        checked.event(Event::List { kind: ListKind::Whole, entries });
        all.insert(n, (checked, 0));
    }
    // Half of the capacity of the fleet: each front end sends about one and a third requests a second.
    for tick in 0..90_u64 {
        for (n, (checked, asked)) in &mut all {
            checked.advance(150 * MS);
            if (tick + u64::from(*n)) % 5 == 0 {
                *asked += 1;
                request_as(
                    checked,
                    &format!("{n}-{asked}"),
                    &format!("f{}", (tick * 7 + u64::from(*n)) % 60),
                    (0, 0, false),
                );
            }
            let out: Vec<String> = checked
                .attempts
                .iter()
                .filter(|(_, t)| t[0].ended.is_none())
                .map(|t| t.0.to_string())
                .collect();
            for id in out {
                let t = &checked.attempts[&*id][0];
                if t.worker == 1 && t.at == checked.now {
                    sends.push(t.at);
                } else if checked.now >= t.at + 150 * MS {
                    answer_with(checked, &id, 0, Outcome::Ok, 0);
                }
            }
        }
    }
    sends.sort_unstable();
    assert!(!sends.is_empty(), "the cold worker got no calls");
    for &from in &sends {
        let within = sends.iter().filter(|&&t| t >= from && t < from + 1_500_000).count() as f64;
        let age = (from - 1_000_000) as f64 / 15e6;
        let capacity = cores * (0.2 + 0.8 * age.min(1.0)) * 1.5;
        assert!(within * mean_work_s <= 2.5 * capacity, "{within} sends at {age} of the warm-up");
    }
}

/// The stored order of preferred workers was older than the list: a load went to a worker after it was listed
/// as draining.
#[test]
fn no_load_is_ordered_at_a_draining_worker_that_its_function_still_prefers() {
    let mut checked = CheckedRouter::new(many(2), 8);
    for n in 0..30 {
        request_as(&mut checked, &format!("{n}"), "f", (0, 0, false));
        checked.advance(100 * MS);
        answer_with(&mut checked, &format!("{n}"), 0, Outcome::Ok, 0);
    }
    // The worker with the copy restarts, and all others but one drain, before the next plan is made.
    let owner = checked.sends("29")[0];
    let spared = if owner == 8 { 7 } else { 8 };
    let entries = (1..=8).filter(|&worker| worker != spared).map(|worker| match worker == owner {
        true => entry(worker, Availability::Ready, Some(checked.now)),
        false => entry(worker, Availability::Draining, None),
    });
    let entries = entries.collect();
    checked.event(Event::List { kind: ListKind::Changes, entries });
    let before = checked.loads.len();
    checked.advance(400 * MS); // `CheckedRouter` fails when a load goes to a draining worker
    assert!(
        checked.loads[before..].iter().any(|l| l.1 == spared),
        "the lost copy is loaded ahead: {:?}",
        checked.loads
    );
}

/// While executors restarted, a front end ordered up to sixteen copies at one whose first copy was free,
/// because that executor was still too cold for a call; from then on it ordered sixteen again every 2 ms,
/// since each order was answered at once.
#[test]
fn no_further_copy_is_ordered_where_a_free_one_is_loaded_but_may_not_be_used() {
    let mut held = 0;
    for n in 0..8 {
        let mut set = many(100);
        set.my_number = n;
        let mut checked = CheckedRouter::new(set.clone(), 0);
        checked.router = Router::new(7, set);
        // Three quarters warm: it is given loads, but hardly a call by each of a hundred front ends.
        let born = checked.now;
        checked.now += 10_000 * MS;
        checked.event(Event::List {
            kind: ListKind::Whole,
            entries: vec![entry(1, Availability::Ready, Some(born))],
        });
        request_as(&mut checked, "a", "f", (0, 0, false));
        for _ in 0..500 {
            let orders = checked.loads.len();
            checked.advance(2 * MS);
            // Each order is answered at once: the copies it asks for are loaded.
            if let Some((_, worker, function, copies)) = checked.loads.last().cloned().filter(|_| orders < 40)
            {
                let (outcome, lag) = (Outcome::Ok, 2 * MS);
                checked.event(Event::Loaded { worker, function, outcome, copies, lag });
            }
        }
        if checked.sends("a").is_empty() {
            held += 1;
            // One order for the call, and one by the plan.
            assert!((1..=2).contains(&checked.loads.len()), "front end {n}: {:?}", checked.loads);
        }
    }
    assert!(held > 0, "no front end held its call back");
}
