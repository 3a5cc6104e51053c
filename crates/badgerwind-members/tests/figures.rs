//! Detection times and message rates in simulated time by fleet size. Run with `--ignored --nocapture`.

mod world;

use badgerwind_members::Member;
use world::{World, PERIOD, SECOND};

fn seconds(t: Option<u64>) -> String {
    t.map_or("never".into(), |t| format!("{:.1}", t as f64 / SECOND as f64))
}

/// One member crashes, then seven in ten at once, and these restart at once, under the given message loss.
fn row(n: Member, loss: f64, seed: u64) -> String {
    let mut world = World::new(n, seed, None);
    let found = world.time_until(120 * SECOND, World::views_are_correct);
    world.loss = loss;
    (world.sent, world.bytes) = (0, 0);
    world.run(5 * SECOND);
    let (sent, bytes) = (world.sent / 5, world.bytes / 5);
    let dead = world.wrongly_dead();
    world.kill(n - 1);
    let one_known = world.time_until(60 * SECOND, |world| {
        world.members.keys().any(|m| world.state(*m, n - 1) == badgerwind_members::State::Dead)
    });
    let one_by_all = world.time_until(60 * SECOND, |world| {
        world.members.keys().all(|m| world.state(*m, n - 1) == badgerwind_members::State::Dead)
    });
    let dying: Vec<Member> = (n * 3 / 10..n - 1).collect();
    dying.iter().for_each(|m| world.kill(*m));
    let left = world.members.len();
    let half = world.time_until(120 * SECOND, |world| {
        2 * world.members.values().filter(|m| 10 * m.alive_count() <= 11 * left).count() >= left
    });
    let all = world.time_until(240 * SECOND, |world| world.members.values().all(|m| m.alive_count() <= left));
    dying.iter().for_each(|m| world.start(*m));
    let back = world.time_until(240 * SECOND, |world| {
        world.members.values().all(|m| m.alive_count() + 1 >= usize::from(n))
    });
    let sum = |a: Option<u64>, b: Option<u64>| a.and_then(|a| b.map(|b| a + b));
    format!(
        "| {n} | {loss} | {} | {} | {} | {} | {} | {} | {sent} | {bytes} | {dead} |",
        seconds(found),
        seconds(one_known),
        seconds(sum(one_known, one_by_all)),
        seconds(half),
        seconds(sum(half, all)),
        seconds(back),
    )
}

#[test]
#[ignore = "a table, half a minute"]
fn by_fleet_size() {
    println!("period {} ms, one run each", PERIOD / 1000);
    println!("| members | lost | all know all, s | one death known to one | to all | 7 in 10 dead: known to half | to all | back in all views | messages/s | bytes/s | wrongly dead |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for n in std::env::var("N")
        .map_or(vec![3, 10, 30, 100, 300], |n| n.split(' ').map(|n| n.parse().unwrap()).collect())
    {
        for loss in [0.0, 0.3] {
            println!("{}", row(n, loss, 1));
        }
    }
}
