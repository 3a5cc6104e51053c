//! What a fleet can spend after a trouble, how soon, and what it costs in messages, in simulated time; beside static shares.
//! `cargo test -p badgerwind-budgets --release --test figures -- --ignored --nocapture`

mod world;

use badgerwind_budgets::Unit;
use world::*;

/// Units owned over the limit, at so many seconds after the trouble; and when 0.95 of it was owned again.
fn day(members: usize, faults: Vec<(u64, Fault)>, loss: f64) -> (Vec<f64>, Option<f64>, f64, f64) {
    let units = 4 * members as Unit;
    let trouble = 8_000 * MS;
    let end = 20_000 * MS;
    let plan = Plan {
        seed: 3,
        members,
        voters: members.min(5),
        units,
        floor: 1,
        rest: 200 * MS,
        loss,
        twice: 0.0,
        delay: 5 * MS,
        drift: 1000,
        eager: 0.0,
        faults,
        end,
        mutant: None,
        wants: vec![units; members],
    };
    let seen = World::new(plan).play();
    assert_eq!(seen.broken, None);
    let share = |at: u64| {
        let found = seen.owned.iter().rev().find(|s| s.0 <= at).map_or(0, |s| s.1);
        found as f64 / f64::from(units)
    };
    let after = [0u64, 1_000, 2_000, 5_000, 10_000].map(|ms| share(trouble - 100 * MS + ms * MS)).to_vec();
    let again = seen.owned.iter().find(|s| s.0 > trouble + 100 * MS && s.1 as f64 >= 0.95 * f64::from(units));
    let seconds = end as f64 / 1e6;
    let again = again.map(|s| (s.0 - trouble) as f64 / 1e6);
    (after, again, seen.messages as f64 / seconds, seen.bytes as f64 / seconds)
}

/// Static shares would leave 0.3 for ever.
#[test]
fn those_that_are_left_have_the_dead_ones_granted_parts_within_seconds() {
    let (after, ..) = day(30, vec![(8_000 * MS, Fault::Kill((9..30).collect()))], 0.0);
    println!("{after:?}");
    assert!(after[0] > 0.99 && after[3] > 0.8, "{after:?}");
    // Where most voters are dead only floors are left.
    let (after, ..) = day(30, vec![(8_000 * MS, Fault::Kill((0..21).collect()))], 0.0);
    assert!(after[3] < 0.1, "{after:?}");
}

#[test]
#[ignore = "figures of docs/design/fleet-budgets.md"]
fn figures() {
    println!("| members | trouble | before | 1 s | 2 s | 5 s | 10 s | 0.95 again, s | messages/s | bytes/s | static |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for members in [3usize, 10, 30, 100, 300] {
        let at = 8_000 * MS;
        let dead = members * 7 / 10;
        // The first five vote: those that die are the others as far as they go, or the voters first.
        let others: Vec<usize> = (members - dead..members).collect();
        let voters: Vec<usize> = (0..dead).collect();
        let (half, rest): (Vec<usize>, Vec<usize>) =
            ((0..members / 2).collect(), (members / 2..members).collect());
        let split = vec![
            (at, Fault::Cut(half.clone(), rest.clone())),
            (at, Fault::Cut(rest, half)),
            (at + 6_000 * MS, Fault::Heal),
        ];
        let days = [
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
        for (name, faults, loss, alone) in days {
            let (after, again, messages, bytes) = day(members, faults, loss);
            let after: Vec<_> = after.iter().map(|s| format!("{s:.2}")).collect();
            let again = again.map_or("never".into(), |s| format!("{s:.1}"));
            println!(
                "| {members} | {name} | {} | {again} | {messages:.0} | {bytes:.0} | {alone:.2} |",
                after.join(" | ")
            );
        }
    }
}
