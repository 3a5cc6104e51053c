//! Figures of detection in simulated time, by fleet size: run with `--ignored --nocapture`.

mod world;

use badgerwind_members::Member;
use world::{World, PERIOD, SECOND};

fn seconds(t: Option<u64>) -> String {
    t.map_or("never".into(), |t| format!("{:.1}", t as f64 / SECOND as f64))
}

/// One dies; seven in ten die at once; they come back at once; 30% of all messages are lost meanwhile, or nothing.
fn row(n: Member, loss: f64, seed: u64) -> String {
    let mut w = World::new(n, seed, None);
    let found = w.until(120 * SECOND, World::agrees);
    w.loss = loss;
    (w.sent, w.bytes) = (0, 0);
    w.run(5 * SECOND);
    let (sent, bytes) = (w.sent / 5, w.bytes / 5);
    let dead = w.wrongly_dead();
    w.kill(n - 1);
    let one_known = w.until(60 * SECOND, |w| {
        w.members.keys().any(|m| w.state(*m, n - 1) == badgerwind_members::State::Dead)
    });
    let one_by_all = w.until(60 * SECOND, |w| {
        w.members.keys().all(|m| w.state(*m, n - 1) == badgerwind_members::State::Dead)
    });
    let dying: Vec<Member> = (n * 3 / 10..n - 1).collect();
    dying.iter().for_each(|m| w.kill(*m));
    let left = w.members.len();
    let half = w.until(120 * SECOND, |w| {
        2 * w.members.values().filter(|m| 10 * m.alive_count() <= 11 * left).count() >= left
    });
    let all = w.until(240 * SECOND, |w| w.members.values().all(|m| m.alive_count() <= left));
    dying.iter().for_each(|m| w.start(*m));
    let back = w.until(240 * SECOND, |w| w.members.values().all(|m| m.alive_count() + 1 >= usize::from(n)));
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
    println!("period {} ms, one play each", PERIOD / 1000);
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
