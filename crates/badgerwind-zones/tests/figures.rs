//! Tables of the time to detect a lost zone and to return to it, in simulated time; run with `--ignored
//! --nocapture`.

mod world;

use badgerwind_zones::{Member, Stage};
use world::{Health, World, SECOND};

fn format_seconds(t: Option<u64>) -> String {
    t.map_or("never".into(), |t| format!("{:.1}", t as f64 / SECOND as f64))
}

/// One of three zones is lost and recovers: seconds until 95% of the pairs of front end and executor avoid
/// it, and until all do; calls lost; relative load of the zone's busiest executor at the start of its return;
/// seconds until the zone is used completely again.
fn row(n: Member, rate: f64, seed: u64, voters: bool) -> String {
    let mut world = World::new(n, 3, 10, rate, seed, None);
    if !voters {
        // No front end has these numbers, so that nobody aggregates reports and each front end decides alone.
        world.settings.voters = vec![1000, 1001, 1002];
        (0..n).for_each(|m| world.start(m));
    }
    world.run(4 * SECOND);
    world.set_zone_health(1, Health::Lost);
    let before: usize = world.lost.iter().sum();
    let nearly_all = world.until(120 * SECOND, |world| world.share(1) <= 0.05);
    let all = world.until(120 * SECOND, |world| world.share(1) == 0.0);
    let all = nearly_all.and_then(|m| all.map(|a| a + m));
    world.run(3 * SECOND);
    let lost = world.lost.iter().sum::<usize>() - before;
    world.set_zone_health(1, Health::Good);
    let from = world.now;
    let began = world.until(60 * SECOND, |world| world.share(1) > 0.0);
    world.run(SECOND / 2);
    let peak_load = world.peak_load(1);
    let recovered = world.until(120 * SECOND, |world| world.share(1) == 1.0).map(|_| world.now - from);
    format!(
        "{} | {} | {lost} | {:.2} | {} | {}",
        format_seconds(nearly_all),
        format_seconds(all),
        lost as f64 / (rate * f64::from(n)),
        if began.is_some() { format!("{peak_load:.1}") } else { "-".into() },
        format_seconds(recovered)
    )
}

#[test]
#[ignore = "a table, minutes"]
fn by_fleet_size_and_traffic() {
    println!("| front ends | calls/s each | voters | 95% avoid it, s | last, s | calls lost | seconds of all calls | busiest on return | recovered, s |");
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

/// Scenarios in which no zone is lost: how many zones were left or reduced.
#[test]
#[ignore = "a table, minutes"]
fn false_alarms() {
    println!("| conditions | runs | zones left | reduced | left alone |");
    println!("| --- | --- | --- | --- | --- |");
    for conditions in [
        "no fault",
        "a third of each zone's executors bad",
        "a sixth of all executors slow",
        "all slow",
        "one front end cannot reach a zone",
    ] {
        let (mut left, mut reduced, mut alone, runs) = (0, 0, 0, 40);
        for seed in 0..runs {
            let n = [3, 12, 60][seed as usize % 3];
            let mut world = World::new(n, 3, 9, [2.0, 10.0][seed as usize % 2], seed, None);
            for (e, _) in world.executors().collect::<Vec<_>>() {
                match conditions {
                    "a third of each zone's executors bad" if e % 3 == 0 => {
                        _ = world.health.insert(e, Health::Lost)
                    }
                    "a sixth of all executors slow" if e % 6 == 0 => _ = world.health.insert(e, Health::Slow),
                    "all slow" => _ = world.health.insert(e, Health::Slow),
                    _ => {}
                }
            }
            if conditions == "one front end cannot reach a zone" {
                world.unreachable.insert((n - 1, 1));
            }
            let mut occurred = [(false, false, false); 3];
            for _ in 0..150 {
                world.run(SECOND / 5);
                for (z, s) in occurred.iter_mut().enumerate() {
                    for m in world.nodes.keys() {
                        let stage = world.stage(*m, z);
                        s.0 |= stage == Stage::Left;
                        s.1 |= stage == Stage::Reduced;
                        s.2 |= world.nodes[m].share(z) == 0.0 && stage == Stage::Open;
                    }
                }
            }
            left += occurred.iter().filter(|s| s.0).count();
            reduced += occurred.iter().filter(|s| s.1).count();
            alone += occurred.iter().filter(|s| s.2).count();
        }
        println!("| {conditions} | {runs} | {left} | {reduced} | {alone} |");
    }
}
