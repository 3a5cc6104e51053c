//! How much a fleet can spend after a fault, how soon, and the messages that this takes, in simulated time,
//! compared with static shares.
//! `cargo test -p badgerwind-budgets --release --test figures -- --ignored --nocapture`

mod world;

use badgerwind_budgets::Unit;
use world::*;

/// The measurements of a simulated fault.
struct Recovery {
    /// Fraction of the limit that is owned before the fault and 1, 2, 5 and 10 s after it.
    owned_shares: Vec<f64>,
    /// Seconds until 0.95 of the limit is owned again.
    recovery_seconds: Option<f64>,
    messages_per_second: f64,
    bytes_per_second: f64,
}

/// Simulates a fleet with faults at 8 s.
fn simulate(members: usize, faults: Vec<(u64, Fault)>, loss: f64) -> Recovery {
    let units = 4 * members as Unit;
    let fault_at = 8_000 * MS;
    let end = 20_000 * MS;
    let plan = Plan {
        seed: 3,
        members,
        voters: members.min(5),
        units,
        floor: 1,
        cooldown: 200 * MS,
        loss,
        duplication: 0.0,
        delay: 5 * MS,
        drift: 1000,
        unsolicited_vote_requests: 0.0,
        faults,
        end,
        mutant: None,
        wants: vec![units; members],
    };
    let observed = World::new(plan).run();
    assert_eq!(observed.violation, None);
    let share = |at: u64| {
        let owned = observed.owned.iter().rev().find(|sample| sample.0 <= at).map_or(0, |sample| sample.1);
        owned as f64 / f64::from(units)
    };
    let owned_shares =
        [0u64, 1_000, 2_000, 5_000, 10_000].map(|ms| share(fault_at - 100 * MS + ms * MS)).to_vec();
    let recovered =
        observed.owned.iter().find(|s| s.0 > fault_at + 100 * MS && s.1 as f64 >= 0.95 * f64::from(units));
    let seconds = end as f64 / 1e6;
    Recovery {
        owned_shares,
        recovery_seconds: recovered.map(|s| (s.0 - fault_at) as f64 / 1e6),
        messages_per_second: observed.messages as f64 / seconds,
        bytes_per_second: observed.bytes as f64 / seconds,
    }
}

/// Static shares would leave 0.3 of the limit usable.
#[test]
fn survivors_take_over_the_units_of_crashed_members_within_seconds() {
    let shares = simulate(30, vec![(8_000 * MS, Fault::Kill((9..30).collect()))], 0.0).owned_shares;
    println!("{shares:?}");
    assert!(shares[0] > 0.99 && shares[3] > 0.8, "{shares:?}");
    // Without a majority of the voters only the floors remain.
    let shares = simulate(30, vec![(8_000 * MS, Fault::Kill((0..21).collect()))], 0.0).owned_shares;
    assert!(shares[3] < 0.1, "{shares:?}");
}

#[test]
#[ignore = "figures of docs/design/fleet-budgets.md"]
fn figures() {
    println!("| members | fault | before | 1 s | 2 s | 5 s | 10 s | 0.95 again, s | messages/s | bytes/s | static |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for members in [3usize, 10, 30, 100, 300] {
        let at = 8_000 * MS;
        let dead = members * 7 / 10;
        // The first five members are voters. The members that crash are the last ones, or the first ones with
        // the voters.
        let others: Vec<usize> = (members - dead..members).collect();
        let voters: Vec<usize> = (0..dead).collect();
        let (half, rest): (Vec<usize>, Vec<usize>) =
            ((0..members / 2).collect(), (members / 2..members).collect());
        let split = vec![
            (at, Fault::Cut(half.clone(), rest.clone())),
            (at, Fault::Cut(rest, half)),
            (at + 6_000 * MS, Fault::Heal),
        ];
        let scenarios = [
            ("none", vec![], 0.0, 1.0),
            ("30% lost", vec![], 0.3, 1.0),
            ("7 in 10 killed", vec![(at, Fault::Kill(others))], 0.0, 1.0 - dead as f64 / members as f64),
            (
                "7 in 10, voters first",
                vec![(at, Fault::Kill(voters))],
                0.0,
                1.0 - dead as f64 / members as f64,
            ),
            ("halves for 6 s", split, 0.0, 1.0),
        ];
        for (name, faults, loss, static_share) in scenarios {
            let recovery = simulate(members, faults, loss);
            let shares: Vec<_> = recovery.owned_shares.iter().map(|s| format!("{s:.2}")).collect();
            println!(
                "| {members} | {name} | {} | {} | {:.0} | {:.0} | {static_share:.2} |",
                shares.join(" | "),
                recovery.recovery_seconds.map_or("never".into(), |s| format!("{s:.1}")),
                recovery.messages_per_second,
                recovery.bytes_per_second,
            );
        }
    }
}
