//! Members of the register as processes: killed, stopped past their leases and continued, cut off; judged from their records.

use badgerwind_check::register::{judge, Event, Line, Observation};
use badgerwind_rig::day::{acting_since, Fault, Fleet};
use badgerwind_rig::member::{wall, Trial};
use std::path::Path;
use std::time::Duration;

const LEASE: u64 = 900_000;
const LONG: Duration = Duration::from_secs(20);

fn fleet(folder: &Path, members: usize, voters: u16) -> Fleet {
    let trial = Trial { voters: (0..voters).collect(), lease: LEASE, beat: 200_000, drift: 1_000 };
    let program = Path::new(env!("CARGO_BIN_EXE_badgerwind-rig"));
    let mut fleet = Fleet::start(program, folder, members, &trial, vec![0; members]).unwrap();
    assert!(all_act(&mut fleet, members), "all have a life: {:?}", fleet.wrong);
    fleet
}

/// Whether all act, from now on.
fn all_act(fleet: &mut Fleet, members: usize) -> bool {
    let since = wall();
    fleet.until(LONG, |lines| acting_since(lines, since).len() == members).unwrap()
}

fn ends(lines: &[Line], of: u16) -> usize {
    let mut lives: Vec<u64> = lines
        .iter()
        .filter_map(|l| match l.observation {
            Observation::Received { event: Event::Ended { member: m, incarnation: life }, .. } if m == of => {
                Some(life)
            }
            _ => None,
        })
        .collect();
    lives.sort_unstable();
    lives.dedup();
    lives.len()
}

fn kept(fleet: &mut Fleet) -> badgerwind_check::register::RegisterReport {
    let found = fleet.judge(LEASE).unwrap();
    let first = &found.violations[..found.violations.len().min(5)];
    assert!(first.is_empty() && fleet.wrong.is_empty(), "{first:?} {:?}", fleet.wrong);
    assert!(found.acts > 100 && found.announcements > 10, "{found:?}");
    found
}

#[test]
fn voters_killed_one_after_another_come_back_with_their_disks_and_nothing_is_forgotten() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = fleet(folder.path(), 5, 3);
    for round in 0..6 {
        fleet.act(&Fault::Kill(vec![round % 3])).unwrap();
        std::thread::sleep(Duration::from_millis(300));
        fleet.act(&Fault::Start(vec![round % 3])).unwrap();
        assert!(all_act(&mut fleet, 5), "round {round}: {:?}", fleet.wrong);
    }
    let found = kept(&mut fleet);
    assert!(found.ends >= 6, "each death ended a life: {found:?}");
}

#[test]
fn members_stopped_past_their_lease_find_at_their_first_instruction_that_they_have_no_life() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = fleet(folder.path(), 5, 3);
    // A voter and a follower, of whom one may lead.
    for stopped in [vec![0, 3], vec![1, 4]] {
        fleet.act(&Fault::Stop(stopped.clone())).unwrap();
        let told = |lines: &[Line]| stopped.iter().all(|m| ends(lines, *m as u16) > 0);
        assert!(fleet.until(LONG, told).unwrap(), "the others end their lives");
        fleet.act(&Fault::Go(stopped)).unwrap();
        assert!(all_act(&mut fleet, 5), "{:?}", fleet.wrong);
    }
    kept(&mut fleet);
}

#[test]
fn without_a_majority_nothing_changes_hands_and_all_is_back_with_it() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = fleet(folder.path(), 6, 3);
    // Seven in ten at once, two of three voters among them.
    fleet.act(&Fault::Kill(vec![0, 1, 4, 5])).unwrap();
    std::thread::sleep(Duration::from_micros(3 * LEASE));
    let (killed, lines) = (wall(), fleet.lines().unwrap());
    assert_eq!((0..6).map(|m| ends(&lines, m)).sum::<usize>(), 0, "nobody's end can stand");
    assert!(acting_since(&lines, killed - LEASE / 2).is_empty(), "leases ran out");
    fleet.act(&Fault::Start(vec![0, 1, 4, 5])).unwrap();
    assert!(all_act(&mut fleet, 6), "{:?}", fleet.wrong);
    let found = kept(&mut fleet);
    assert!(found.ends >= 4 && found.incarnations >= 10, "{found:?}");
}

#[test]
fn one_that_is_cut_off_one_way_or_both_loses_its_life_and_gets_another() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = fleet(folder.path(), 5, 3);
    let others = vec![0, 1, 2, 3];
    for (n, cuts) in [
        vec![Fault::Cut(vec![4], others.clone())],
        vec![Fault::Cut(others.clone(), vec![4])],
        vec![Fault::Cut(vec![4], others.clone()), Fault::Cut(others.clone(), vec![4])],
    ]
    .into_iter()
    .enumerate()
    {
        let so_far = ends(&fleet.lines().unwrap(), 4);
        cuts.iter().for_each(|c| fleet.act(c).unwrap());
        // Where only the way back is cut its asks still come, and its life may go on without it: that harms nobody.
        if n == 1 {
            std::thread::sleep(Duration::from_micros(2 * LEASE));
            let since = wall() - LEASE / 2;
            assert!(!acting_since(&fleet.lines().unwrap(), since).contains(&4), "it hears of no lease");
        } else {
            let told = |lines: &[Line]| ends(lines, 4) > so_far;
            assert!(fleet.until(LONG, told).unwrap(), "cut {n}: its life is ended");
        }
        fleet.act(&Fault::Heal).unwrap();
        assert!(all_act(&mut fleet, 5), "cut {n}: {:?}", fleet.wrong);
    }
    kept(&mut fleet);
}

fn line(at: u64, member: u16, what: Observation) -> Line {
    Line { at, member, run: 1, observation: what }
}

/// A judge that can fail: each of these is broken by one line.
#[test]
fn the_judge_finds_each_thing_that_may_not_be() {
    let told = |at, member, entry, event| line(at, member, Observation::Received { entry, event });
    let began = |life| Event::Began { member: 3, incarnation: life };
    let over = |life| Event::Ended { member: 3, incarnation: life };
    let said = |serial| Event::Announced { member: 3, incarnation: 1, serial };
    let good = vec![
        told(10, 1, 1, began(1)),
        told(11, 2, 1, began(1)),
        line(20, 3, Observation::Acted { incarnation: 1 }),
        told(30, 1, 2, said(1)),
        told(31, 2, 2, said(1)),
        told(40, 1, 3, over(1)),
        told(41, 2, 3, over(1)),
        told(50, 1, 4, began(2)),
    ];
    let broken = |more: Line| judge(&[&good[..], &[more]].concat(), 5, 10).violations.len();
    assert_eq!(judge(&good, 5, 10).violations, Vec::<String>::new());
    assert_eq!(broken(line(46, 3, Observation::Acted { incarnation: 1 })), 1, "acts after its end was told");
    assert_eq!(
        broken(line(45, 3, Observation::Acted { incarnation: 1 })),
        0,
        "within what two writers may be apart"
    );
    assert!(broken(told(60, 2, 4, began(3))) > 0, "told another thing by the same entry");
    assert!(broken(told(60, 1, 5, said(2))) > 0, "a word after the end");
    assert!(broken(told(60, 1, 5, began(3))) > 0, "a life beside another");
    assert!(broken(told(60, 1, 5, over(1))) > 0, "an end twice");
    assert!(broken(told(60, 1, 2, said(1))) > 0, "out of order");
    let twice = vec![told(10, 1, 1, began(1)), told(20, 1, 2, said(1)), told(30, 1, 3, said(1))];
    assert_eq!(judge(&twice, 5, 10).violations.len(), 1, "a word twice");
    let gap = vec![told(10, 1, 1, began(1)), told(20, 1, 2, said(2))];
    assert_eq!(judge(&gap, 5, 10).violations.len(), 1, "a word left out");
}
