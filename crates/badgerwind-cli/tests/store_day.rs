//! Measures load orders against a store that rejects requests over its capacity, while eight of ten front
//! ends are killed and started again. Compares a shared budget with static shares and with front ends that
//! each use the whole limit. Run it with `--ignored --nocapture`, alone on the machine.

mod rig;

use badgerwind_cli::budgets::Net;
use badgerwind_cli::send::{post, Message};
use badgerwind_standins::store::{server, Spec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rig::{Plan, Rig};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

const FRONTS: usize = 10;
const FUNCTIONS: usize = 400;
/// Functions that get half of the calls.
const POPULAR: usize = 20;
/// Load orders in two seconds that the store can serve: it fetches four at a time, 200 ms each, and
/// holds a few more than this many at once before it rejects any.
const ORDER_LIMIT: usize = 40;
/// Calls a second.
const RATE: f64 = 90.0;
/// Consecutive phases, each with its length in seconds.
const PHASES: [(&str, f64); 6] = [
    ("settling", 6.0),
    ("calm", 6.0),
    ("8 of 10 dead, first 4 s", 4.0),
    ("after", 6.0),
    ("back, first 4 s", 4.0),
    ("after", 6.0),
];
const AIM: Duration = Duration::from_millis(1000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Division {
    /// A budget that the front ends share.
    Budget,
    /// An equal share of the limit for each front end.
    Static,
    /// The whole limit for each front end.
    EachTheWhole,
}

fn edits(n: usize, net: &Net, division: Division) -> Vec<(&'static str, String)> {
    let peer = |m: usize| format!("<peer number=\"{m}\" address=\"{}\"/>", net.relays[m]);
    let peers: String = (0..FRONTS).filter(|m| *m != n).map(peer).collect();
    let functions: String = (0..FUNCTIONS)
        .map(|f| format!("<function name=\"f{f}\" memory-mb=\"100\" lanes=\"8\" load-time=\"250ms\"/>"))
        .collect();
    let free = match division {
        Division::Static => ORDER_LIMIT / FRONTS,
        Division::Budget | Division::EachTheWhole => ORDER_LIMIT,
    };
    // The first three are voters, two of which are not killed.
    let budgets = match division {
        Division::Budget => format!(
            "<budgets version=\"1\" lease=\"600ms\" vote=\"200ms\" beat=\"100ms\">\
             <voter number=\"0\"/><voter number=\"1\"/><voter number=\"2\"/>\
             <budget name=\"fetches\" of=\"orders\" units=\"{ORDER_LIMIT}\" floor=\"1\" window=\"2s\"/></budgets>"
        ),
        Division::Static | Division::EachTheWhole => String::new(),
    };
    vec![
        ("front-ends=\"1\" number=\"0\"", format!("front-ends=\"{FRONTS}\" number=\"{n}\"")),
        ("when-absent=\"load\"", "when-absent=\"miss\"".into()),
        ("fall-window=\"1.5s\"", format!("fall-window=\"1.5s\" load-window=\"2s\" load-free=\"{free}\"")),
        ("<function name=\"check-0\"", format!("{functions}<function name=\"check-0\"")),
        (
            "<route path=\"/check\" sender=\"portal\" class=\"check\" function=\"check-0\"/>",
            "<route path=\"/check/*\" sender=\"portal\" class=\"check\"/>".into(),
        ),
        (
            "<metrics",
            format!(
                "<peers listen=\"{}\" key-file=\"runners.key\">{peers}</peers>{budgets}<metrics",
                net.listen[n]
            ),
        ),
    ]
}

#[derive(Default)]
struct Phase {
    offered: usize,
    served: usize,
    in_aim: usize,
    fetched: u64,
    refused: u64,
}

/// Runs all phases once; `kill` says whether front ends are killed. Returns the counts of each phase.
async fn run_trial(division: Division, seed: u64, kill: bool) -> Vec<Phase> {
    let net = Net::start(FRONTS, seed).unwrap();
    let (listener, store) = rig::bind_loopback().await;
    let counts = Arc::new(server::Counts::default());
    let store_spec = Spec { fetch: 200_000, full_rate_fetches: 4.0, max_fetches: ORDER_LIMIT + 8 };
    let serving = smol::spawn(server::serve_counted(listener, store_spec, counts.clone()));
    let mut spec = Plan::default().spec;
    (spec.loads_when_absent, spec.memory_mb, spec.keep_alive) = (false, 3000.0, 4_000_000);
    let start_front_end = |n: usize, first: Option<&Rig>| {
        let (runners, shared) = if first.is_none() { (4, None) } else { (0, first.and_then(Rig::shared)) };
        let (spec, edits) = (spec.clone(), edits(n, &net, division));
        Rig::start(Plan {
            runners,
            spec,
            process: true,
            edits,
            shared,
            store: Some(store),
            ..Plan::default()
        })
    };
    let mut fronts = BTreeMap::new();
    fronts.insert(0, start_front_end(0, None).await);
    for n in 1..FRONTS {
        let rig = start_front_end(n, fronts.get(&0)).await;
        fronts.insert(n, rig);
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut phases = Vec::new();
    for (phase, (_, span)) in PHASES.iter().enumerate() {
        if kill && phase == 2 {
            let dying: Vec<usize> = (1..FRONTS).filter(|n| *n > 2 || *n == 1).collect();
            dying.iter().for_each(|n| drop(fronts.remove(n)));
            assert_eq!(fronts.len(), 2);
        }
        if kill && phase == 4 {
            for n in (0..FRONTS).filter(|n| !fronts.contains_key(n)).collect::<Vec<_>>() {
                let rig = start_front_end(n, fronts.get(&0)).await;
                fronts.insert(n, rig);
            }
        }
        let key = fronts[&0].sender_key.clone();
        let to: Vec<_> = fronts.values().map(|r| r.webhook).collect();
        let (fetched, refused) =
            (counts.served.load(Ordering::Relaxed), counts.refused.load(Ordering::Relaxed));
        let (began, mut calls) = (Instant::now(), Vec::new());
        let mut at = 0.0;
        for n in 0.. {
            at += -f64::ln(1.0 - rng.random::<f64>()) / RATE;
            if at > *span {
                break;
            }
            smol::Timer::at(began + Duration::from_secs_f64(at)).await;
            let f = if rng.random_bool(0.5) {
                rng.random_range(0..POPULAR)
            } else {
                rng.random_range(0..FUNCTIONS)
            };
            let (to, key) = (to[rng.random_range(0..to.len())], key.clone());
            calls.push(smol::spawn(async move {
                let (id, path) = (format!("p{phase}-{n}"), format!("/check/f{f}"));
                let (deadline, body) = (Duration::from_secs(2), b"{}".to_vec());
                let message = Message { id: &id, path: &path, deadline, retry: false, callback: None, body };
                let sent = Instant::now();
                let got = post(to, &key, message).await;
                (got.is_ok_and(|(head, _)| head.status == 200), sent.elapsed() <= AIM)
            }));
        }
        let mut counted = Phase { offered: calls.len(), ..Phase::default() };
        for call in calls {
            let (served, in_aim) = call.await;
            counted.served += usize::from(served);
            counted.in_aim += usize::from(served && in_aim);
        }
        counted.fetched = counts.served.load(Ordering::Relaxed) - fetched;
        counted.refused = counts.refused.load(Ordering::Relaxed) - refused;
        phases.push(counted);
    }
    drop(serving);
    phases
}

#[test]
#[ignore = "a measurement that takes minutes"]
fn measure_load_orders_with_eight_of_ten_front_ends_killed() {
    println!("| division | seed | phase | calls | served in aim | served | fetches a second | rejected by the store |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in 1..=2 {
        for division in [Division::Budget, Division::Static, Division::EachTheWhole] {
            let phases = smol::block_on(run_trial(division, seed, true));
            for ((name, span), phase) in PHASES.iter().zip(phases).skip(1) {
                let share = |n: usize| n as f64 / phase.offered.max(1) as f64;
                println!(
                    "| {division:?} | {seed} | {name} | {} | {:.2} | {:.2} | {:.1} | {} |",
                    phase.offered,
                    share(phase.in_aim),
                    share(phase.served),
                    phase.fetched as f64 / span,
                    phase.refused
                );
            }
        }
    }
}
