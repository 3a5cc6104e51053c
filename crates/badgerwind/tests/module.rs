//! Tests of the decision module, without the bench: each guards against a failure that was met or is stated.

mod common;

use badgerwind::interface::*;
use badgerwind::Router;
use common::*;

#[test]
fn a_miss_orders_one_copy_there_and_resends_when_it_stands() {
    let mut b = Bench::new(settings(Effect::Once), 4);
    b.ask("a", "f", 3000 * MS);
    let worker = b.sends("a")[0];
    b.now += MS;
    b.answer("a", 0, Outcome::Miss, CopyMark::Untold);
    let order = b.loads.iter().position(|l| l.3 > 0).expect("one copy ordered");
    assert_eq!((b.loads[order].1, b.loads[order].3), (worker, 1));
    b.now += 600 * MS;
    b.loaded(order, Outcome::Ok, 1);
    assert_eq!(b.sends("a"), vec![worker, worker]);
}

/// A bench with a warm copy of "f", and where it stands.
fn warmed(effect: Effect) -> (Bench, WorkerId) {
    let mut b = Bench::new(settings(effect), 4);
    b.ask("warm", "f", 3000 * MS);
    b.now += 100 * MS;
    b.answer("warm", 0, Outcome::Ok, CopyMark::Warm);
    let w = b.sends("warm")[0];
    (b, w)
}

#[test]
fn a_request_waits_for_a_busy_warm_lane_and_goes_out_when_it_frees() {
    let (mut b, w) = warmed(Effect::Repeatable);
    for id in ["1", "2", "3"] {
        b.ask(id, "f", 3000 * MS);
    }
    assert_eq!((b.sends("1"), b.sends("2"), b.sends("3")), (vec![w], vec![w], vec![]));
    b.now += 50 * MS;
    b.answer("1", 0, Outcome::Ok, CopyMark::Warm);
    assert_eq!(b.sends("3"), vec![w]);
}

#[test]
fn held_requests_are_answered_before_the_client_gives_up() {
    let mut b = Bench::new(settings(Effect::Once), 0);
    b.ask("a", "f", 700 * MS);
    b.pass(700 * MS);
    assert!(b.over.contains_key("a"));
}

#[test]
fn the_time_out_at_the_deadline_is_answered_and_the_clients_end_in_the_same_batch_ignored() {
    let (mut b, _) = warmed(Effect::Once);
    b.ask("a", "f", 500 * MS);
    b.now += 500 * MS;
    let acts = b.answer("a", 0, Outcome::Timeout, CopyMark::Untold);
    assert!(acts.contains(&Action::Fail { id: "a".into() }));
    assert!(b.event(Event::ClientGone { id: "a".into() }).is_empty());
}

#[test]
fn outcomes_that_prove_nothing_end_a_once_request_and_others_let_it_go_on() {
    for (outcome, again) in [
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
        (Outcome::Full, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Moot, true),
    ] {
        let (mut b, _) = warmed(Effect::Once);
        b.ask("a", "f", 3000 * MS);
        b.now += 10 * MS;
        b.answer("a", 0, outcome, CopyMark::Untold);
        assert_eq!(b.acts.contains(&Action::Fail { id: "a".into() }), !again, "{outcome:?}");
    }
}

#[test]
fn a_by_key_request_is_resent_only_in_its_zone() {
    let (mut b, w) = warmed(Effect::ByKey);
    b.ask("a", "f", 3000 * MS);
    b.now += 10 * MS;
    b.answer("a", 0, Outcome::Error, CopyMark::Untold);
    b.pass(1500 * MS);
    assert!(b.sends("a").iter().all(|o| o % 2 == w % 2));
    b.pass(1490 * MS);
    if b.tried["a"].len() > 1 {
        b.answer("a", 1, Outcome::Timeout, CopyMark::Untold);
    }
    assert!(b.acts.contains(&Action::Fail { id: "a".into() }), "the zone group forbids a refusal");
}

#[test]
fn nothing_goes_to_a_worker_that_drains_until_it_is_back() {
    let (mut b, w) = warmed(Effect::Repeatable);
    let entries = vec![entry(w, Availability::Draining, None)];
    b.event(Event::List { kind: ListKind::Changes, entries });
    b.ask("a", "f", 3000 * MS);
    b.pass(200 * MS);
    assert!(!b.sends("a").contains(&w));
    // Back under the same id, with a new start: ready again, but empty.
    let entries = vec![entry(w, Availability::Ready, Some(b.now))];
    b.event(Event::List { kind: ListKind::Changes, entries });
    b.ask("b", "f", 3000 * MS);
    b.pass(100 * MS);
}

#[test]
fn a_cold_worker_gets_a_small_share_in_every_window() {
    let mut set = settings(Effect::Repeatable);
    set.when_absent = WhenAbsent::Load;
    let mut b = Bench::new(set, 0);
    let entries = vec![entry(1, Availability::Ready, Some(b.now))];
    b.event(Event::List { kind: ListKind::Whole, entries });
    for n in 0..100 {
        b.ask(&format!("{n}"), &format!("f{n}"), 3000 * MS);
        b.pass(10 * MS);
    }
    let sent: usize = b.tried.values().map(Vec::len).sum();
    assert!((1..=6).contains(&sent), "{sent} sends to a worker that has just started");
}

#[test]
fn a_silent_worker_is_noticed_and_what_may_be_repeated_goes_elsewhere() {
    let (mut b, w) = warmed(Effect::Repeatable);
    b.ask("a", "f", 3000 * MS);
    b.ask("b", "f", 3000 * MS);
    assert_eq!(b.sends("a"), vec![w]);
    b.pass(1600 * MS);
    assert!(b.acts.contains(&Action::Cancel { id: "a".into(), attempt: 0 }), "called off in time");
    b.answer("a", 0, Outcome::Cancelled, CopyMark::Untold);
    b.pass(100 * MS);
    // What was ordered elsewhere meanwhile comes to stand.
    for order in 0..b.loads.len() {
        if b.loads[order].1 != w {
            b.loaded(order, Outcome::Ok, b.loads[order].3);
        }
    }
    assert!(b.sends("a").get(1).is_some_and(|&o| o != w), "{:?}", b.sends("a"));
    b.ask("c", "f", 3000 * MS);
    assert!(!b.sends("c").contains(&w));
}

#[test]
fn fast_failures_do_not_attract_traffic_and_a_bad_fleet_is_still_used() {
    let (mut b, w) = warmed(Effect::Repeatable);
    for n in 0..6 {
        let id = format!("e{n}");
        b.ask(&id, "f", 3000 * MS);
        if b.sends(&id) == vec![w] {
            b.now += 2 * MS;
            b.answer(&id, 0, Outcome::Error, CopyMark::Untold);
        }
    }
    b.ask("x", "f", 3000 * MS);
    assert!(!b.sends("x").contains(&w), "taken out");
    // All fail: then all are used.
    let mut one = Bench::new(settings(Effect::Repeatable), 1);
    for n in 0..8 {
        let id = format!("e{n}");
        one.ask(&id, &format!("g{n}"), 3000 * MS);
        one.now += 2 * MS;
        if !one.sends(&id).is_empty() {
            one.answer(&id, 0, Outcome::Error, CopyMark::Untold);
        }
    }
    one.ask("x", "new", 3000 * MS);
    assert_eq!(one.sends("x"), vec![1]);
}

#[test]
fn a_worker_that_turns_away_is_left_alone_for_a_while() {
    let (mut b, w) = warmed(Effect::Repeatable);
    for id in ["1", "2"] {
        b.ask(id, "f", 3000 * MS);
    }
    b.now += 5 * MS;
    b.answer("1", 0, Outcome::Full, CopyMark::Untold);
    b.ask("3", "f", 3000 * MS);
    assert!(!b.sends("3").contains(&w), "it has just turned one away");
}

#[test]
fn several_beliefs_proven_false_together_withdraw_trust_from_the_rest() {
    for void in [false, true] {
        let mut b = Bench::new(settings(Effect::Repeatable), 6);
        for n in 0..6 {
            b.ask(&format!("w{n}"), &format!("f{n}"), 3000 * MS);
            b.now += 50 * MS;
            b.answer(&format!("w{n}"), 0, Outcome::Ok, CopyMark::Warm);
        }
        b.pass(3000 * MS);
        for n in 0..5 {
            b.ask(&format!("m{n}"), &format!("f{n}"), 3000 * MS);
            b.now += MS;
            let (outcome, mark) = (if void { Outcome::Miss } else { Outcome::Ok }, CopyMark::Warm);
            b.answer(&format!("m{n}"), 0, outcome, mark);
        }
        // Two lanes stood at the home of f5. Believed, they take two requests; else one goes to find out.
        b.ask("x", "f5", 3000 * MS);
        b.ask("y", "f5", 3000 * MS);
        let home = b.sends("w5")[0];
        assert_eq!(b.sends("x"), vec![home]);
        assert_eq!(b.sends("y") == vec![home], !void);
    }
}

#[test]
fn load_orders_keep_the_sliding_window() {
    let mut b = Bench::new(settings(Effect::Repeatable), 6);
    for n in 0..60 {
        b.ask(&format!("{n}"), &format!("f{n}"), 3000 * MS);
        b.now += MS;
        b.answer(&format!("{n}"), 0, Outcome::Miss, CopyMark::Untold);
        b.pass(20 * MS);
    }
    assert!(b.orders.len() >= 5, "orders are used, and the checker has held each against the window");
}

#[test]
fn bad_input_neither_panics_nor_breaks_a_rule() {
    let mut set = settings(Effect::Repeatable);
    set.memory_mb.clear();
    let mut b = Bench::new(set, 0);
    b.ask("early", "f", 0);
    b.event(Event::List { kind: ListKind::Whole, entries: vec![] });
    let twice = vec![entry(1, Availability::Ready, None), entry(1, Availability::Draining, None)];
    b.event(Event::List { kind: ListKind::Changes, entries: twice });
    b.event(Event::List { kind: ListKind::Whole, entries: vec![entry(2, Availability::Ready, None)] });
    let mut odd = request("odd", "zero", b.now + 3000 * MS);
    (odd.lanes, odd.load_time, odd.tenant) = (0, None, 9);
    b.event(Event::Request(odd));
    let mut other = request("class", "f", b.now + 3000 * MS);
    other.class = 5;
    assert_eq!(b.event(Event::Request(other)).len(), 1);
    for attempt in [0, 7] {
        let (id, lag, mark) = ("nobody".into(), 5, CopyMark::Warm);
        let (worker, outcome, last, crowd, report) = (9, Outcome::Ok, true, Some(3), None);
        b.event(Event::Answer { id, attempt, worker, outcome, last, lag, mark, crowd, report });
    }
    b.event(Event::Alarm { name: "unknown".into() });
    b.event(Event::Message { from: 3, bytes: vec![255; 300] });
    let (function, outcome): (FunctionId, _) = ("zero".into(), Outcome::Ok);
    b.event(Event::Loaded { worker: 77, function, outcome, copies: 3, lag: u64::MAX });
    b.pass(4000 * MS);
    let out = |id| b.tried.get(id).is_some_and(|t: &Vec<Tried>| t.iter().any(|t| t.ended.is_none()));
    assert!(b.due.keys().all(|id| b.over.contains_key(id) || out(id)), "each has its answer");
    assert!(b.over.len() >= 2);
}

/// Random legal streams of events: the checker watches the rules, every request ends, and the same events give
/// the same actions.
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
    let mut b = Bench::new(set, 5);
    let mut answered = 0;
    for n in 0..250 {
        // Time passes, but not beyond a deadline with an attempt out: that attempt times out there.
        let target = b.now + rng.u64(0..40) * MS;
        while let Some((due, id)) = (b.tried.iter())
            .filter(|(id, t)| !b.over.contains_key(*id) && t.iter().any(|t| t.ended.is_none()))
            .map(|(id, _)| (b.due[id], id.clone()))
            .min()
            .filter(|(due, _)| *due <= target)
        {
            b.pass(due.saturating_sub(b.now));
            for k in (0..b.tried[&id].len()).filter(|&k| b.tried[&id][k].ended.is_none()).collect::<Vec<_>>()
            {
                b.answer(&id, k as u32, Outcome::Timeout, CopyMark::Untold);
            }
        }
        b.pass(target.saturating_sub(b.now));
        if rng.u8(0..3) > 0 {
            b.ask(&format!("{n}"), &format!("f{}", rng.u8(0..6)), rng.u64(0..3000) * MS);
        }
        if rng.u8(0..25) == 0 {
            let state = [Availability::Ready, Availability::Draining, Availability::Gone][rng.usize(0..3)];
            let born = (state == Availability::Ready && rng.bool()).then_some(b.now);
            let entries = vec![entry(rng.u32(1..6), state, born)];
            b.event(Event::List { kind: ListKind::Changes, entries });
        }
        let out: Vec<(RequestId, u32, Time)> = b
            .tried
            .iter()
            .flat_map(|(id, t)| t.iter().enumerate().map(move |(k, t)| (id.clone(), k as u32, t)))
            .filter(|(_, _, t)| t.ended.is_none())
            .map(|(id, k, t)| (id, k, t.at))
            .collect();
        for (id, k, at) in out {
            let over = b.over.contains_key(&id);
            if over || (b.now > at + 50 * MS && rng.u8(0..3) == 0) {
                use Outcome::*;
                let kinds = [Ok, Ok, Ok, Ok, Error, Full, Miss, Reset, ConnectFailed];
                let outcome = if over { Cancelled } else { kinds[rng.usize(0..kinds.len())] };
                b.answer(&id, k, outcome, CopyMark::Untold);
            }
        }
        while answered < b.loads.len() && rng.u8(0..3) > 0 {
            let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Full, Outcome::Error][rng.usize(0..4)];
            b.loaded(answered, outcome, b.loads[answered].3);
            answered += 1;
        }
    }
    b.acts
}

#[test]
fn front_ends_that_share_nothing_choose_the_same_home() {
    let home = |seed| {
        let mut out = Vec::new();
        let mut r = Router::new(seed, settings(Effect::Repeatable));
        let entries = (1..9).map(|w| entry(w, Availability::Ready, None)).collect();
        r.handle(1, Event::List { kind: ListKind::Cached, entries }, &mut out);
        r.handle(2, Event::Request(request("a", "f", 3_000_000)), &mut out);
        out.into_iter().find_map(|a| if let Action::Send { worker, .. } = a { Some(worker) } else { None })
    };
    assert!(home(1).is_some());
    assert_eq!(home(1), home(2));
}

/// Demand far beyond capacity, most of it repeats that nobody marked, was taken for what the workers bear: a cold one
/// was sent four times its share.
#[test]
fn demand_beyond_capacity_does_not_push_a_cold_worker_over() {
    let mut set = settings(Effect::Repeatable);
    set.when_absent = WhenAbsent::Load;
    (set.front_ends, set.max_attempts) = (1, 2);
    let mut b = Bench::new(set, 4);
    // Four warm workers that do ten calls a second each and turn the rest away; two hundred a second are asked for.
    let mut next_free = [b.now; 5];
    let (born, mut sends) = (b.now + 12_000 * MS, Vec::new());
    let mut listed = false;
    for n in 0..3_200u64 {
        if b.now >= born && !listed {
            listed = true;
            b.event(Event::List {
                kind: ListKind::Changes,
                entries: vec![entry(5, Availability::Ready, Some(born))],
            });
        }
        b.ask(&format!("{n}"), &format!("f{}", n % 8), 3000 * MS);
        b.pass(5 * MS);
        let now = b.now;
        let out: Vec<(String, u32, WorkerId, u64)> = b
            .tried
            .iter()
            .flat_map(|(id, all)| {
                let last = all.last().filter(|t| t.ended.is_none() && !t.called_off);
                last.map(|t| (id.to_string(), all.len() as u32 - 1, t.worker, t.at))
            })
            .collect();
        for (id, attempt, worker, at) in out {
            if worker == 5 {
                sends.push(at);
                b.answer(&id, attempt, Outcome::Ok, CopyMark::BeganLoad);
            } else if next_free[worker as usize] <= now {
                next_free[worker as usize] = now + 100 * MS;
                b.answer(&id, attempt, Outcome::Ok, CopyMark::Warm);
            } else if now >= at + 300 * MS {
                b.answer(&id, attempt, Outcome::Full, CopyMark::Untold);
            }
        }
    }
    assert!(!sends.is_empty(), "the cold worker is not shunned");
    for &from in &sends {
        let within = sends.iter().filter(|&&t| t >= from && t < from + 1_500 * MS).count() as f64;
        let age = (from + 1_500 * MS - born) as f64 / 15e6;
        let most = 2.5 * 10.0 * 1.5 * (0.2 + 0.8 * age.min(1.0));
        assert!(within <= most, "{within} sends of {most} at {age} of the warming");
    }
}

/// Nothing shows that a worker's process is the one of before: it has the budget of one that has just started, and holds no
/// copies, until the list tells of it.
#[test]
fn a_presumed_restart_leaves_a_worker_cold_until_the_list_tells_of_it() {
    let mut set = settings(Effect::Repeatable);
    set.when_absent = WhenAbsent::Load;
    set.front_ends = 1;
    let mut b = Bench::new(set, 1);
    let only = 1;
    for n in 0..100 {
        b.ask(&format!("warm {n}"), "f", 3000 * MS);
        b.answer(&format!("warm {n}"), 0, Outcome::Ok, CopyMark::Warm);
        b.pass(50 * MS);
    }
    let sent_of = |b: &mut Bench, name: &str| {
        for n in 0..60 {
            b.ask(&format!("{name} {n}"), &format!("{name} f{n}"), 3000 * MS);
        }
        (0..60).filter(|n| !b.sends(&format!("{name} {n}")).is_empty()).count()
    };
    b.event(Event::PresumedRestart { worker: only });
    let cold = sent_of(&mut b, "cold");
    b.event(Event::List { kind: ListKind::Changes, entries: vec![entry(only, Availability::Ready, None)] });
    let listed = sent_of(&mut b, "listed");
    assert!(cold < 10 && listed > 30, "{cold} sends while it counts as cold, {listed} once it was listed");
}
