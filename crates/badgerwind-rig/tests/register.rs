//! Members of the register as processes that are killed, stopped beyond their leases and continued, or cut
//! off; checked by their records.

use badgerwind_check::register::{judge, Event, Line, Observation};
use badgerwind_rig::day::{acting_since, Fault, Fleet};
use badgerwind_rig::member::{wall, Trial};
use std::path::Path;
use std::time::Duration;

const LEASE: u64 = 900_000;
const TIMEOUT: Duration = Duration::from_secs(20);

fn fleet(folder: &Path, members: usize, voters: u16) -> Fleet {
    let trial =
        Trial { voters: (0..voters).collect(), lease: LEASE, heartbeat_interval: 200_000, drift_ppm: 1_000 };
    let program = Path::new(env!("CARGO_BIN_EXE_badgerwind-rig"));
    let mut fleet = Fleet::start(program, folder, members, &trial, vec![0; members]).unwrap();
    assert!(all_act(&mut fleet, members), "all members act: {:?}", fleet.unexpected_exits);
    fleet
}

/// Waits until all members have acted from now on.
fn all_act(fleet: &mut Fleet, members: usize) -> bool {
    let since = wall();
    fleet.until(TIMEOUT, |lines| acting_since(lines, since).len() == members).unwrap()
}

fn ends(lines: &[Line], member: u16) -> usize {
    let mut ended: Vec<u64> = lines
        .iter()
        .filter_map(|l| match l.observation {
            Observation::Received { event: Event::Ended { member: m, incarnation }, .. } if m == member => {
                Some(incarnation)
            }
            _ => None,
        })
        .collect();
    ended.sort_unstable();
    ended.dedup();
    ended.len()
}

fn assert_no_violations(fleet: &mut Fleet) -> badgerwind_check::register::RegisterReport {
    let report = fleet.judge(LEASE).unwrap();
    let first = &report.violations[..report.violations.len().min(5)];
    assert!(first.is_empty() && fleet.unexpected_exits.is_empty(), "{first:?} {:?}", fleet.unexpected_exits);
    assert!(report.acts > 100 && report.announcements > 10, "{report:?}");
    report
}

#[test]
fn voters_killed_one_after_another_recover_from_their_disks() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = fleet(folder.path(), 5, 3);
    for round in 0..6 {
        fleet.apply(&Fault::Kill(vec![round % 3])).unwrap();
        std::thread::sleep(Duration::from_millis(300));
        fleet.apply(&Fault::Start(vec![round % 3])).unwrap();
        assert!(all_act(&mut fleet, 5), "round {round}: {:?}", fleet.unexpected_exits);
    }
    let report = assert_no_violations(&mut fleet);
    assert!(report.ends >= 6, "each kill ended an incarnation: {report:?}");
}

#[test]
fn members_stopped_beyond_their_lease_do_not_act_in_the_old_incarnation() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = fleet(folder.path(), 5, 3);
    // A voter, which may lead, and a follower.
    for stopped in [vec![0, 3], vec![1, 4]] {
        fleet.apply(&Fault::Stop(stopped.clone())).unwrap();
        let ended = |lines: &[Line]| stopped.iter().all(|m| ends(lines, *m as u16) > 0);
        assert!(fleet.until(TIMEOUT, ended).unwrap(), "the others end their incarnations");
        fleet.apply(&Fault::Continue(stopped)).unwrap();
        assert!(all_act(&mut fleet, 5), "{:?}", fleet.unexpected_exits);
    }
    assert_no_violations(&mut fleet);
}

#[test]
fn without_a_majority_no_incarnation_ends_and_with_it_all_members_act_again() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = fleet(folder.path(), 6, 3);
    // Kills two thirds of the members at once, two of the three voters among them.
    fleet.apply(&Fault::Kill(vec![0, 1, 4, 5])).unwrap();
    std::thread::sleep(Duration::from_micros(3 * LEASE));
    let (killed, lines) = (wall(), fleet.lines().unwrap());
    assert_eq!((0..6).map(|m| ends(&lines, m)).sum::<usize>(), 0, "no incarnation can end");
    assert!(acting_since(&lines, killed - LEASE / 2).is_empty(), "the leases have expired");
    fleet.apply(&Fault::Start(vec![0, 1, 4, 5])).unwrap();
    assert!(all_act(&mut fleet, 6), "{:?}", fleet.unexpected_exits);
    let report = assert_no_violations(&mut fleet);
    assert!(report.ends >= 4 && report.incarnations >= 10, "{report:?}");
}

#[test]
fn a_member_cut_off_in_one_or_both_directions_gets_a_new_incarnation() {
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
        cuts.iter().for_each(|c| fleet.apply(c).unwrap());
        // If only the answers are cut off, its requests still arrive and its incarnation may stay live, which
        // is harmless.
        if n == 1 {
            std::thread::sleep(Duration::from_micros(2 * LEASE));
            let since = wall() - LEASE / 2;
            assert!(!acting_since(&fleet.lines().unwrap(), since).contains(&4), "it receives no lease");
        } else {
            let ended = |lines: &[Line]| ends(lines, 4) > so_far;
            assert!(fleet.until(TIMEOUT, ended).unwrap(), "cut {n}: its incarnation is ended");
        }
        fleet.apply(&Fault::Heal).unwrap();
        assert!(all_act(&mut fleet, 5), "cut {n}: {:?}", fleet.unexpected_exits);
    }
    assert_no_violations(&mut fleet);
}

fn line(at: u64, member: u16, what: Observation) -> Line {
    Line { at, member, run: 1, observation: what }
}

/// Checks that the check can fail: each of these records is violated by a single line.
#[test]
fn the_check_finds_each_kind_of_violation() {
    let received = |at, member, entry, event| line(at, member, Observation::Received { entry, event });
    let began = |incarnation| Event::Began { member: 3, incarnation };
    let ended = |incarnation| Event::Ended { member: 3, incarnation };
    let announced = |serial| Event::Announced { member: 3, incarnation: 1, serial };
    let good = vec![
        received(10, 1, 1, began(1)),
        received(11, 2, 1, began(1)),
        line(20, 3, Observation::Acted { incarnation: 1 }),
        received(30, 1, 2, announced(1)),
        received(31, 2, 2, announced(1)),
        received(40, 1, 3, ended(1)),
        received(41, 2, 3, ended(1)),
        received(50, 1, 4, began(2)),
    ];
    let violations = |more: Line| judge(&[&good[..], &[more]].concat(), 5, 10).violations.len();
    assert_eq!(judge(&good, 5, 10).violations, Vec::<String>::new());
    assert_eq!(
        violations(line(46, 3, Observation::Acted { incarnation: 1 })),
        1,
        "an effect after the delivered end"
    );
    assert_eq!(
        violations(line(45, 3, Observation::Acted { incarnation: 1 })),
        0,
        "within the tolerance of the clocks"
    );
    assert!(violations(received(60, 2, 4, began(3))) > 0, "a different event of the same entry");
    assert!(violations(received(60, 1, 5, announced(2))) > 0, "an announcement after the end");
    assert!(violations(received(60, 1, 5, began(3))) > 0, "two live incarnations");
    assert!(violations(received(60, 1, 5, ended(1))) > 0, "an end twice");
    assert!(violations(received(60, 1, 2, announced(1))) > 0, "out of order");
    let twice = vec![
        received(10, 1, 1, began(1)),
        received(20, 1, 2, announced(1)),
        received(30, 1, 3, announced(1)),
    ];
    assert_eq!(judge(&twice, 5, 10).violations.len(), 1, "a repeated announcement");
    let gap = vec![received(10, 1, 1, began(1)), received(20, 1, 2, announced(2))];
    assert_eq!(judge(&gap, 5, 10).violations.len(), 1, "a missing announcement");
}
