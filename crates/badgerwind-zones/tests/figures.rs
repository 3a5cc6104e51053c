//! Figures of detection and return in simulated time: run with `--ignored --nocapture`.

mod world;

use badgerwind_zones::{Member, Stage};
use world::{Health, World, SECOND};

fn told(t: Option<u64>) -> String {
    t.map_or("never".into(), |t| format!("{:.1}", t as f64 / SECOND as f64))
}

/// A zone of three is gone: seconds until 95% of front ends and executors avoid it, until the last has left; calls lost; what
/// the zone's busiest executor gets in the first second of its return, and seconds until it is whole.
fn row(n: Member, rate: f64, seed: u64, voters: bool) -> String {
    let mut w = World::new(n, 3, 10, rate, seed, None);
    if !voters {
        // Nobody joins what is told: each by itself, as before.
        w.terms.voters = vec![1000, 1001, 1002];
        (0..n).for_each(|m| w.start(m));
    }
    w.run(4 * SECOND);
    w.zone_is(1, Health::Gone);
    let before: usize = w.lost.iter().sum();
    let most = w.until(120 * SECOND, |w| w.share(1) <= 0.05);
    let all = w.until(120 * SECOND, |w| w.share(1) == 0.0);
    let all = most.and_then(|m| all.map(|a| a + m));
    w.run(3 * SECOND);
    let lost = w.lost.iter().sum::<usize>() - before;
    w.zone_is(1, Health::Good);
    let from = w.now;
    let began = w.until(60 * SECOND, |w| w.share(1) > 0.0);
    w.run(SECOND / 2);
    let crowd = w.crowd(1);
    let whole = w.until(120 * SECOND, |w| w.share(1) == 1.0).map(|_| w.now - from);
    format!(
        "{} | {} | {lost} | {:.2} | {} | {}",
        told(most),
        told(all),
        lost as f64 / (rate * f64::from(n)),
        if began.is_some() { format!("{crowd:.1}") } else { "-".into() },
        told(whole)
    )
}

#[test]
#[ignore = "a table, minutes"]
fn by_fleet_size_and_traffic() {
    println!("| front ends | calls/s each | joined | 95% avoid it, s | last, s | calls lost | seconds of all calls | busiest on return | whole again, s |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for n in [1, 3, 10, 30, 100, 300] {
        for rate in [0.5, 5.0, 50.0] {
            if n as f64 * rate > 5_000.0 {
                continue;
            }
            for voters in [true, false] {
                println!("| {n} | {rate} | {voters} | {} |", row(n, rate, 1, voters));
            }
        }
    }
}

/// Days on which no zone is lost: how many zones were left or lessened.
#[test]
#[ignore = "a table, minutes"]
fn false_alarms() {
    println!("| day | plays | zones left | lessened | left alone |");
    println!("| --- | --- | --- | --- | --- |");
    for day in [
        "calm",
        "a third of each zone's executors bad",
        "a sixth of all executors slow",
        "all slow",
        "one front end cut off",
    ] {
        let (mut left, mut lessened, mut alone, plays) = (0, 0, 0, 40);
        for seed in 0..plays {
            let n = [3, 12, 60][seed as usize % 3];
            let mut w = World::new(n, 3, 9, [2.0, 10.0][seed as usize % 2], seed, None);
            for (e, _) in w.executors().collect::<Vec<_>>() {
                match day {
                    "a third of each zone's executors bad" if e % 3 == 0 => {
                        _ = w.health.insert(e, Health::Gone)
                    }
                    "a sixth of all executors slow" if e % 6 == 0 => _ = w.health.insert(e, Health::Slow),
                    "all slow" => _ = w.health.insert(e, Health::Slow),
                    _ => {}
                }
            }
            if day == "one front end cut off" {
                w.cut.insert((n - 1, 1));
            }
            let mut seen = [(false, false, false); 3];
            for _ in 0..150 {
                w.run(SECOND / 5);
                for (z, s) in seen.iter_mut().enumerate() {
                    for m in w.nodes.keys() {
                        let stage = w.stage(*m, z);
                        s.0 |= stage == Stage::Left;
                        s.1 |= stage == Stage::Lessened;
                        s.2 |= w.nodes[m].share(z) == 0.0 && stage == Stage::Open;
                    }
                }
            }
            left += seen.iter().filter(|s| s.0).count();
            lessened += seen.iter().filter(|s| s.1).count();
            alone += seen.iter().filter(|s| s.2).count();
        }
        println!("| {day} | {plays} | {left} | {lessened} | {alone} |");
    }
}
