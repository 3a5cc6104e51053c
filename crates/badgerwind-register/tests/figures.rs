//! The register's message traffic and latency by fleet size and fault, in simulated time. `cargo test -p
//! badgerwind-register --test figures -- --ignored --nocapture` prints the table of the design note; CI
//! checks that the traffic of a member does not grow with the fleet.

mod world;

use badgerwind_register::{Member, Settings};
use world::*;

fn scenario(members: usize, announce_interval: u64, faults: Vec<(u64, Fault)>) -> Scenario {
    let settings = Settings {
        drift_ppm: 1000,
        ..Settings::for_voters((0..members.min(5) as Member - (members.min(5) as Member + 1) % 2).collect())
    };
    let (loss, duplication, delay, disk) = (0.0, 0.0, 2 * MS, 4 * MS);
    Scenario {
        seed: 7,
        members,
        settings,
        loss,
        duplication,
        delay,
        disk,
        announce_interval,
        faults,
        end: 12_000 * MS,
        mutant: None,
    }
}

fn latency_percentiles_ms(observed: &Observations) -> (f64, f64) {
    let mut commit_times = observed.commit_times.clone();
    commit_times.sort_unstable();
    let at = |q: f64| {
        commit_times.get((commit_times.len() as f64 * q) as usize).map_or(0.0, |t| *t as f64 / 1000.0)
    };
    (at(0.5), at(0.99))
}

#[test]
fn messages_per_member_do_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for members in [10, 60] {
        let observed = World::new(scenario(members, 3_600_000 * MS, vec![])).run();
        assert_eq!((observed.violation.clone(), observed.alive_at_end), (None, members), "{members} members");
        rates.push(observed.messages as f64 / 12.0 / members as f64);
    }
    // The consensus traffic among five voters is divided by the number of members.
    assert!(rates[1] < rates[0], "{rates:?} messages a second and member");
    assert!(rates[1] < 20.0, "{rates:?}");
}

#[test]
#[ignore = "a table for the design note"]
fn table() {
    println!("| members | fault | announcements/s | committed after ms, p50 | p99 | messages/s | KiB/s | longest, bytes | ends | live at the end |");
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
            let announce_interval = 500 * MS;
            let observed = World::new(scenario(members, announce_interval, faults)).run();
            assert_eq!(observed.violation, None);
            let (p50, p99) = latency_percentiles_ms(&observed);
            println!(
                "| {members} | {name} | {:.0} | {p50:.0} | {p99:.0} | {:.0} | {:.0} | {} | {} | {} of {} |",
                observed.announcements as f64 / 12.0,
                observed.messages as f64 / 12.0,
                observed.bytes as f64 / 12.0 / 1024.0,
                observed.longest,
                observed.ends,
                observed.alive_at_end,
                observed.running_at_end
            );
        }
    }
}
