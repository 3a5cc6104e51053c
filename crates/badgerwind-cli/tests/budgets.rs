//! Budgets of a fleet whose members are processes of this program that are killed, stopped and partitioned.
//! The checks are on sums and on order, from the members' own records. None is on speed, except that the
//! fleet spends at all.

use badgerwind_cli::budgets::{run_schedule, Act, Schedule};
use std::path::Path;

/// A schedule with two units per member and no events other than `acts`.
fn quiet(members: u16, ms: u64, acts: Vec<(u64, Act)>) -> Schedule {
    Schedule {
        seed: 7,
        members,
        voters: members.min(3),
        units: 2 * members,
        floor: 0,
        loss: 0.0,
        twice: 0.0,
        delay_ms: 2,
        drift: 10_000,
        ms,
        acts,
    }
}

/// Plays a schedule and checks that no member reports an error and that no more than the limit is owned or
/// spent.
fn play_and_check(schedule: &Schedule) -> badgerwind_check::budgets::BudgetReport {
    let folder = tempfile::tempdir().unwrap();
    let played = run_schedule(schedule, Path::new(env!("CARGO_BIN_EXE_badgerwind")), folder.path()).unwrap();
    assert!(played.process_failures.is_empty(), "{:?}", played.process_failures);
    assert!(played.report.violations.is_empty(), "{:?}", played.report.violations);
    assert!(played.report.owned <= 1.0 && played.report.spent <= 1.0);
    played.report
}

#[test]
fn seven_of_ten_members_are_killed_at_once_and_restarted_at_once() {
    let dying: Vec<u16> = (3..10).collect();
    let acts = vec![(2500, Act::Kill { who: dying.clone() }), (4500, Act::Start { who: dying })];
    let sums = play_and_check(&quiet(10, 7000, acts));
    assert_eq!(sums.owned, 1.0, "all units are owned at some time");
    // How soon the survivors get the units of the killed members is tested in simulated time.
    println!("owned of 20 units, in tenths of a second: {:?}", sums.over_time);
}

#[test]
fn a_member_stopped_for_longer_than_its_lease_spends_nothing_of_it_afterwards() {
    let acts = (0..3)
        .flat_map(|n| {
            let who = vec![n, n + 3];
            [
                (2000 + 1300 * u64::from(n), Act::Pause { who: who.clone() }),
                (3100 + 1300 * u64::from(n), Act::Resume { who }),
            ]
        })
        .collect();
    let sums = play_and_check(&quiet(6, 7000, acts));
    assert!(sums.spends > 100, "{}", sums.spends);
}

#[test]
fn partitioned_halves_never_own_more_than_the_limit_together() {
    let (a, b): (Vec<u16>, Vec<u16>) = ((0..3).collect(), (3..6).collect());
    let acts = vec![
        (2200, Act::Cut { from: a.clone(), to: b.clone() }),
        (2200, Act::Cut { from: b.clone(), to: a.clone() }),
        (4200, Act::Heal),
        (5000, Act::Cut { from: b, to: a }),
        (6500, Act::Heal),
    ];
    play_and_check(&quiet(6, 7500, acts));
}

#[test]
fn a_limit_is_halved_while_in_use_and_a_voter_restarts_repeatedly() {
    let mut acts = vec![(2500, Act::SetUnits { units: 6 }), (4500, Act::SetUnits { units: 12 })];
    for n in 0..8 {
        acts.push((2000 + 500 * n, Act::Kill { who: vec![1] }));
        acts.push((2150 + 500 * n, Act::Start { who: vec![1] }));
    }
    acts.sort_by_key(|a| a.0);
    let mut schedule = quiet(6, 7000, acts);
    (schedule.loss, schedule.twice, schedule.delay_ms) = (0.3, 0.3, 20);
    play_and_check(&schedule);
}

#[test]
fn random_schedules_stay_within_the_limit() {
    for seed in 1..=3 {
        let schedule = Schedule::draw(seed, 3 + seed as u16 * 2, 6000);
        play_and_check(&schedule);
    }
}

/// Schedules stored as files: one whose record once looked like a unit spent twice (62), one with deaths
/// within a partition while only one side receives a lowered limit, and one whose first voter restarts ten
/// times while another is stopped.
#[test]
fn stored_schedules_stay_within_the_limit() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/days");
    let mut played = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let schedule: Schedule = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        assert_eq!(schedule.validate(), Ok(()), "{}", path.display());
        assert!(play_and_check(&schedule).spends > 50, "{}", path.display());
        played += 1;
    }
    assert!(played >= 3);
}

#[test]
fn invalid_schedules_are_rejected_with_the_reason() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.json");
    let bad = |change: &dyn Fn(&mut Schedule)| {
        let mut schedule = quiet(4, 3000, vec![(1000, Act::Kill { who: vec![1] }), (2000, Act::Heal)]);
        change(&mut schedule);
        std::fs::write(&file, serde_json::to_string(&schedule).unwrap()).unwrap();
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_badgerwind"))
            .args(["bad-day", "--budgets", "--schedule"])
            .arg(&file)
            .output()
            .unwrap();
        assert_eq!(out.status.code(), Some(2));
        String::from_utf8(out.stderr).unwrap()
    };
    assert!(bad(&|s| s.acts.reverse()).contains("not in the order"));
    assert!(bad(&|s| s.acts[0].1 = Act::Kill { who: vec![9] }).contains("member 9 of 4"));
    assert!(bad(&|s| s.floor = 9).contains("floors exceed the whole"));
    assert!(bad(&|s| s.voters = 5).contains("voters among them"));
    assert!(bad(&|s| s.ms = 1500).contains("after the day's end"));
    std::fs::write(&file, "{}").unwrap();
    assert!(bad(&|s| s.members = 0).contains("1 to 64"));
}

/// Two members that own the same units at once, as two members under one name in separate networks would: no
/// member can see this, so the check of the records must.
#[test]
fn records_of_two_owners_of_the_same_units_are_reported_as_broken() {
    use badgerwind_check::budgets::{judge, Event, Line};
    let line = |member, at| Line {
        at,
        member,
        incarnation: 1,
        event: Event::Owns { floor: vec![], granted: vec![(0, 3)], until: at + 1000 },
    };
    let sums = judge(&[line(1, 0), line(2, 500)], 3, 100, 0);
    assert_eq!((sums.owned, sums.violations.len()), (2.0, 3));
}
