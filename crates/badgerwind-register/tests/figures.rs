//! What the register costs by fleet size and trouble, in simulated time: `cargo test -p badgerwind-register --test figures --
//! --ignored --nocapture` prints the table of the design note. CI holds it to its bounds at one size.

mod world;

use badgerwind_register::{Member, Terms};
use world::*;

fn plan(members: usize, words: u64, faults: Vec<(u64, Fault)>) -> Plan {
    let terms = Terms {
        drift: 1000,
        ..Terms::of((0..members.min(5) as Member - (members.min(5) as Member + 1) % 2).collect())
    };
    let (loss, twice, delay, disk) = (0.0, 0.0, 2 * MS, 4 * MS);
    Plan { seed: 7, members, terms, loss, twice, delay, disk, words, faults, end: 12_000 * MS, mutant: None }
}

fn share(seen: &Seen) -> (f64, f64) {
    let mut took = seen.took.clone();
    took.sort_unstable();
    let at = |q: f64| took.get((took.len() as f64 * q) as usize).map_or(0.0, |t| *t as f64 / 1000.0);
    (at(0.5), at(0.99))
}

#[test]
fn what_a_member_sends_does_not_grow_with_the_fleet() {
    let mut each = Vec::new();
    for members in [10, 60] {
        let seen = World::new(plan(members, 3_600_000 * MS, vec![])).play();
        assert_eq!((seen.broken.clone(), seen.alive_at_end), (None, members), "{members} members");
        each.push(seen.messages as f64 / 12.0 / members as f64);
    }
    // Ten members share five voters' talk among themselves.
    assert!(each[1] < each[0], "{each:?} messages a second and member");
    assert!(each[1] < 20.0, "{each:?}");
}

#[test]
#[ignore = "a table for the design note"]
fn table() {
    println!("| members | trouble | words/s | stands after ms, p50 | p99 | messages/s | KiB/s | longest, bytes | ends | live at the end |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for members in [3usize, 10, 30, 100, 300] {
        let some: Vec<usize> = (members - members * 7 / 10..members).collect();
        let voters: Vec<usize> = (0..members.min(5).div_ceil(2)).collect();
        for (name, faults) in [
            ("none", vec![]),
            (
                "7 in 10 killed, not most voters, back after 3 s",
                vec![
                    (
                        5_000 * MS,
                        Fault::Kill(some.iter().copied().filter(|h| *h >= 3.min(members / 2 + 1)).collect()),
                    ),
                    (8_000 * MS, Fault::Start(some.clone())),
                ],
            ),
            (
                "most voters killed, back after 3 s",
                vec![(5_000 * MS, Fault::Kill(voters.clone())), (8_000 * MS, Fault::Start(voters.clone()))],
            ),
        ] {
            let words = 500 * MS;
            let seen = World::new(plan(members, words, faults)).play();
            assert_eq!(seen.broken, None);
            let (p50, p99) = share(&seen);
            println!(
                "| {members} | {name} | {:.0} | {p50:.0} | {p99:.0} | {:.0} | {:.0} | {} | {} | {} of {} |",
                seen.words as f64 / 12.0,
                seen.messages as f64 / 12.0,
                seen.bytes as f64 / 12.0 / 1024.0,
                seen.longest,
                seen.ends,
                seen.alive_at_end,
                seen.running_at_end
            );
        }
    }
}
