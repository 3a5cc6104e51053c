//! How a fleet reacts to faults of zones and to false reports. Where a mutant removes a safeguard, the test
//! also shows that the fault then has the effect that the safeguard prevents.

mod world;

use badgerwind_zones::{Directive, Member, Mutant, Stage};
use world::{Health, World, SECOND};

fn healthy_fleet(n: Member, zones: usize, seed: u64, mutant: Option<Mutant>) -> World {
    let mut world = World::new(n, zones, 8, 20.0, seed, mutant);
    world.run(3 * SECOND);
    assert!((0..zones).all(|z| world.share(z) == 1.0), "a healthy fleet uses all zones");
    world
}

#[test]
fn message_encoding_is_stable() {
    use badgerwind_zones::{Message, ZoneDigest, ZoneReport};
    let stage = Stage::Left;
    let report = ZoneReport { answered: 2, late: 3, lost: 4, generation: 5, stage, failed_returns: 6 };
    let report = Message::Report { serial: 1, zones: vec![report] };
    assert_eq!(report.encode(), [0xb3, 0, 0, 0, 0, 1, 1, 0, 2, 0, 3, 0, 4, 0, 5, 2, 6]);
    let digest = ZoneDigest { lost: -2, late: 3, reached_by: 4, generation: 5, stage, failed_returns: 6 };
    let digest = Message::Digest { serial: 1, members: 7, zones: vec![digest] };
    assert_eq!(digest.encode(), [0xb3, 1, 0, 0, 0, 1, 1, 0, 7, 0xff, 0xfe, 0, 3, 0, 4, 0, 5, 2, 6]);
}

#[test]
fn a_lost_zone_is_left_by_all_and_returned_to_step_by_step() {
    for n in [1, 2, 3, 12, 60] {
        let mut world = healthy_fleet(n, 3, u64::from(n), None);
        world.set_zone_health(1, Health::Lost);
        let left = world.until(10 * SECOND, |world| world.share(1) == 0.0);
        assert!(left.is_some(), "{n} front ends");
        assert!(world.share(0) == 1.0 && world.share(2) == 1.0, "{n}: {} {}", world.share(0), world.share(2));
        let before = world.calls[1];
        world.run(10 * SECOND);
        assert_eq!(
            world.calls[1],
            before,
            "{n}: no call went to the zone that was left, {:?}",
            world.nodes.values().map(|m| m.zone_state(1)).collect::<Vec<_>>()
        );
        world.set_zone_health(1, Health::Good);
        let returned = world.until(60 * SECOND, |world| world.share(1) == 1.0);
        assert!(returned.is_some(), "{n}: {:?}", world.nodes[&0].zone_state(1));
    }
}

/// The load of the busiest executor of a returning zone, relative to its ordinary load, after each of four
/// seconds.
fn peak_loads_during_return(mutant: Option<Mutant>) -> Vec<f64> {
    let mut world = healthy_fleet(60, 3, 7, mutant);
    world.set_zone_health(1, Health::Lost);
    assert!(world.until(10 * SECOND, |world| world.share(1) == 0.0).is_some());
    world.run(2 * SECOND);
    world.set_zone_health(1, Health::Good);
    assert!(world.until(60 * SECOND, |world| world.share(1) > 0.0).is_some());
    // Without this, the executors' own avoidance delays would limit the load besides the stages.
    world.clear_avoided();
    (0..4)
        .map(|_| {
            world.run(SECOND * 9 / 10);
            let peak_load = world.peak_load(1);
            world.run(SECOND / 10);
            peak_load
        })
        .collect()
}

#[test]
fn a_returning_zone_starts_with_an_eighth_of_its_load_and_overloads_no_executor() {
    let (stepwise, at_once) =
        (peak_loads_during_return(None), peak_loads_during_return(Some(Mutant::ReturnAtOnce)));
    println!(
        "busiest executor over its ordinary load, second by second: {stepwise:?}; all at once: {at_once:?}"
    );
    assert!(stepwise[0] < 0.6, "{stepwise:?}");
    assert!(at_once[0] > 0.9, "{at_once:?}");
}

#[test]
fn a_fault_of_every_zone_makes_the_fleet_leave_none() {
    let min_total_share = |mutant, health| {
        let mut world = healthy_fleet(20, 3, 3, mutant);
        (0..3).for_each(|z| world.set_zone_health(z, health));
        let mut min_sum = 3.0f64;
        for _ in 0..100 {
            world.run(SECOND / 10);
            min_sum = min_sum.min((0..3).map(|z| world.share(z)).sum());
        }
        min_sum
    };
    // If a slow store, a bad release or a lost network affects every zone, one zone may be taken for lost
    // before the others show it.
    assert!(min_total_share(None, Health::Lost) >= 0.9, "{}", min_total_share(None, Health::Lost));
    // If all zones are slow, none stays reduced: that would halve the capacity.
    assert!(min_total_share(None, Health::Slow) >= 2.5, "{}", min_total_share(None, Health::Slow));
    let mut world = healthy_fleet(20, 3, 3, None);
    (0..3).for_each(|z| world.set_zone_health(z, Health::Slow));
    world.run(10 * SECOND);
    assert!((0..3).all(|z| world.share(z) == 1.0));
    assert_eq!(min_total_share(Some(Mutant::NoPanicBound), Health::Lost), 0.0);
}

#[test]
fn a_front_end_that_cannot_reach_a_zone_leaves_it_alone() {
    let mut world = healthy_fleet(20, 3, 4, None);
    world.unreachable.insert((7, 1));
    assert!(world.until(10 * SECOND, |world| world.nodes[&7].share(1) == 0.0).is_some());
    world.run(5 * SECOND);
    assert!(world.nodes.iter().all(|(m, n)| *m == 7 || n.share(1) == 1.0), "its evidence alone moved others");
    world.unreachable.clear();
    assert!(world.until(30 * SECOND, |world| world.nodes[&7].share(1) == 1.0).is_some());
}

/// Most front ends have hardly any calls for the zone. The one that cannot reach it must not decide for all
/// because it is the only one with evidence.
#[test]
fn an_unreachable_zone_with_few_calls_moves_no_other_front_end_and_a_zone_without_calls_returns() {
    for n in [2, 3, 4, 6] {
        let mut world = World::new(n, 3, 3, 1.5, u64::from(n), None);
        world.run(3 * SECOND);
        world.rate = 1.5;
        world.unreachable.insert((n - 1, 1));
        for _ in 0..300 {
            world.run(SECOND / 10);
            assert!((0..n - 1).all(|m| world.stage(m, 1) == Stage::Open), "{n} front ends");
        }
        world.unreachable.clear();
        world.run(5 * SECOND);
        world.set_zone_health(2, Health::Lost);
        assert!(world.until(60 * SECOND, |world| world.share(2) == 0.0).is_some(), "{n}");
        world.rate = 0.0;
        world.set_zone_health(2, Health::Good);
        assert!(
            world.until(120 * SECOND, |world| world.share(2) == 1.0).is_some(),
            "{n}: it returns without calls too"
        );
    }
}

#[test]
fn half_of_the_front_ends_leave_an_unreachable_zone_and_the_others_stay() {
    let mut world = healthy_fleet(20, 3, 5, None);
    (0..10).for_each(|m| _ = world.unreachable.insert((2 * m, 1)));
    assert!(world
        .until(10 * SECOND, |world| (0..10).all(|m| world.nodes[&(2 * m)].share(1) == 0.0))
        .is_some());
    world.run(5 * SECOND);
    assert!((0..10).all(|m| world.nodes[&(2 * m + 1)].share(1) == 1.0));
}

#[test]
fn a_front_end_without_network_leaves_no_zone() {
    let min_and_final_share = |mutant| {
        let mut world = healthy_fleet(20, 3, 6, mutant);
        (0..3).for_each(|z| _ = world.unreachable.insert((7, z)));
        (0..20).for_each(|m| {
            world.partitioned.insert((7, m));
            world.partitioned.insert((m, 7));
        });
        let (mut min_sum, mut sum) = (3.0f64, 0.0);
        for _ in 0..80 {
            world.run(SECOND / 10);
            sum = (0..3).map(|z| world.nodes[&7].share(z)).sum();
            min_sum = min_sum.min(sum);
        }
        assert!(world.nodes.iter().all(|(m, n)| *m == 7 || (0..3).all(|z| n.share(z) == 1.0)));
        (min_sum, sum)
    };
    // It may leave the first zone that it loses before it has lost the others; then it reverts that.
    let (normal, trusting) = (min_and_final_share(None), min_and_final_share(Some(Mutant::TrustsOwnNetwork)));
    assert!(normal.0 >= 1.0 && normal.1 == 3.0, "{normal:?}");
    assert!(trusting.1 < 3.0, "{trusting:?}");
}

/// False reports while no zone is lost, and then while one is: the smallest total share, and whether the
/// others left the lost zone.
fn with_false_reports(n: Member, false_reporters: &[(Member, bool)], mutant: Option<Mutant>) -> (f64, bool) {
    let mut world = healthy_fleet(n, 3, 8, mutant);
    world.false_reporters = false_reporters.iter().copied().collect();
    let mut min_sum = 3.0f64;
    for _ in 0..60 {
        world.run(SECOND / 10);
        min_sum = min_sum.min((0..3).map(|z| world.share(z)).sum());
    }
    world.set_zone_health(1, Health::Lost);
    let honest = |world: &World| {
        world
            .nodes
            .iter()
            .filter(|(m, _)| !world.false_reporters.contains_key(m))
            .all(|(_, n)| n.share(1) == 0.0)
    };
    (min_sum, world.until(15 * SECOND, honest).is_some())
}

#[test]
fn one_front_end_with_false_reports_decides_nothing() {
    for n in [4, 12, 40] {
        for (member, claims_lost) in [(n - 1, true), (n - 1, false), (1, true), (1, false)] {
            let (min_sum, left) = with_false_reports(n, &[(member, claims_lost)], None);
            assert!(
                min_sum > 2.99 && left,
                "{n} front ends, {member} reports all zones lost: {claims_lost}; {min_sum} {left}"
            );
        }
    }
    // With three reports nothing is trimmed: only the bound on contributions limits the false ones.
    let total_share = |mutant| {
        let mut world = healthy_fleet(3, 3, 8, mutant);
        (world.false_reporters, world.false_zone) = ([(2, true)].into(), Some(1));
        world.run(3 * SECOND);
        (0..3).map(|z| world.share(z)).sum::<f64>()
    };
    let (bounded, unbounded) = (total_share(None), total_share(Some(Mutant::UnboundedContribution)));
    assert!(bounded > 2.99 && unbounded < 2.5, "{bounded} {unbounded}");
    let (share, _) = with_false_reports(12, &[(11, true)], Some(Mutant::LoneStage));
    assert!(share < 2.5, "one front end's stage is adopted by all: {share}");
}

#[test]
fn a_zone_with_up_to_half_of_its_executors_bad_is_not_left() {
    let shares = |bad: u32, mutant| {
        let mut world = healthy_fleet(20, 3, 9, mutant);
        (8..8 + bad).for_each(|e| _ = world.health.insert(e, Health::Lost));
        let mut min_share = 1.0f64;
        for _ in 0..200 {
            world.run(SECOND / 10);
            min_share = min_share.min(world.share(1));
        }
        min_share
    };
    assert_eq!((shares(3, None), shares(4, None)), (1.0, 1.0));
    let by_calls = shares(4, Some(Mutant::CountsCalls));
    assert!(by_calls < 1.0, "{by_calls}");
}

#[test]
fn a_slow_zone_is_reduced_and_not_left() {
    let mut world = healthy_fleet(20, 3, 10, None);
    world.set_zone_health(2, Health::Slow);
    assert!(world.until(10 * SECOND, |world| world.share(2) == 0.5).is_some());
    world.run(SECOND);
    assert!(world.nodes.values().all(|n| n.share(2) == 0.5));
    world.set_zone_health(2, Health::Good);
    assert!(world.until(60 * SECOND, |world| world.share(2) == 1.0).is_some());
}

#[test]
fn two_lost_zones_of_four_are_both_left() {
    let mut world = healthy_fleet(20, 4, 11, None);
    world.set_zone_health(1, Health::Lost);
    world.set_zone_health(3, Health::Lost);
    assert!(world.until(10 * SECOND, |world| world.share(1) == 0.0 && world.share(3) == 0.0).is_some());
    assert!(world.share(0) == 1.0 && world.share(2) == 1.0);
}

/// A zone that is good for 4 s and lost for 4 s, forty times: the fleet's changes of stage in the first and
/// in the last 160 s.
fn flapping(mutant: Option<Mutant>) -> (u16, u16) {
    let mut world = healthy_fleet(12, 3, 12, mutant);
    let mut moves = [0, 0];
    for half in &mut moves {
        let before = world.generations(1);
        for _ in 0..20 {
            world.set_zone_health(1, Health::Lost);
            world.run(4 * SECOND);
            world.set_zone_health(1, Health::Good);
            world.run(4 * SECOND);
        }
        *half = world.generations(1) - before;
    }
    if mutant.is_none() {
        assert!(
            world.until(300 * SECOND, |world| world.share(1) == 1.0).is_some(),
            "the fleet returns to a good zone at last"
        );
    }
    (moves[0], moves[1])
}

#[test]
fn returns_to_a_flapping_zone_become_rarer() {
    let (with_backoff, without_backoff) = (flapping(None), flapping(Some(Mutant::NoBackoff)));
    println!("changes of stage in 160 s of flapping, and in the next: {with_backoff:?}, without back-off {without_backoff:?}");
    assert!(with_backoff.1 <= 12 && without_backoff.1 >= 25, "{with_backoff:?} {without_backoff:?}");
}

#[test]
fn a_front_end_started_during_a_return_adopts_the_fleets_stage() {
    let share_during_return = |mutant| {
        let mut world = healthy_fleet(20, 3, 13, mutant);
        world.set_zone_health(1, Health::Lost);
        assert!(world.until(10 * SECOND, |world| world.share(1) == 0.0).is_some());
        world.start(30);
        world.run(2 * SECOND);
        assert_eq!(world.nodes[&30].share(1), 0.0, "it learns of the loss from the fleet");
        world.set_zone_health(1, Health::Good);
        assert!(world.until(60 * SECOND, |world| world.share(1) > 0.0).is_some());
        world.start(31);
        world.run(SECOND / 2);
        let own = world.nodes[&31].share(1);
        assert!(world.until(60 * SECOND, |world| world.share(1) == 1.0).is_some());
        own
    };
    assert_eq!((share_during_return(None), share_during_return(Some(Mutant::NoGeneration))), (0.125, 1.0));
}

#[test]
fn the_number_of_probes_does_not_grow_with_the_fleet() {
    let probes = |n: Member, mutant| {
        let mut world = World::new(n, 3, 8, 5.0, 14, mutant);
        world.run(3 * SECOND);
        world.set_zone_health(1, Health::Lost);
        assert!(world.until(20 * SECOND, |world| world.share(1) == 0.0).is_some());
        world.run(5 * SECOND);
        world.probes = 0;
        world.run(4 * SECOND);
        world.probes as f64 / 4.0
    };
    let (few, many, all) = (probes(6, None), probes(60, None), probes(60, Some(Mutant::AllProbe)));
    println!(
        "probes per second of a zone that was left: 6 front ends {few}, 60 {many}, if each probes {all}"
    );
    assert!(many <= few * 1.2 && many <= 66.0 && all > 500.0, "{few} {many} {all}");
}

#[test]
fn a_return_completes_when_most_front_ends_are_killed_and_half_of_the_messages_are_lost() {
    let mut world = healthy_fleet(20, 3, 15, None);
    world.loss = 0.5;
    world.set_zone_health(1, Health::Lost);
    assert!(world.until(20 * SECOND, |world| world.share(1) == 0.0).is_some());
    world.set_zone_health(1, Health::Good);
    assert!(world.until(60 * SECOND, |world| world.share(1) > 0.0).is_some());
    // Seven in ten front ends, one of them a voter.
    (2..16).for_each(|m| _ = world.nodes.remove(&m));
    assert!(
        world.until(60 * SECOND, |world| world.share(1) == 1.0).is_some(),
        "{:?}",
        world.nodes[&0].zone_state(1)
    );
}

#[test]
fn without_voters_each_front_end_decides_alone() {
    let mut world = healthy_fleet(10, 3, 16, None);
    (0..3).for_each(|v| _ = world.nodes.remove(&v));
    world.set_zone_health(1, Health::Lost);
    assert!(world.until(20 * SECOND, |world| world.share(1) == 0.0).is_some());
    assert!(
        world.nodes.keys().all(|m| world.stage(*m, 1) == Stage::Open),
        "the fleet's stage did not change"
    );
    world.set_zone_health(1, Health::Good);
    assert!(world.until(60 * SECOND, |world| world.share(1) == 1.0).is_some());
}

fn set_directive(world: &mut World, zone: usize, directive: Option<Directive>) {
    let mut directives = vec![None; world.zones];
    directives[zone] = directive;
    let now = world.now;
    world.nodes.values_mut().for_each(|n| n.set_directives(now, &directives));
}

#[test]
fn a_directive_overrides_the_evidence_and_its_withdrawal_starts_a_return() {
    let mut world = healthy_fleet(12, 3, 17, None);
    set_directive(&mut world, 0, Some(Directive::Leave));
    assert_eq!(world.share(0), 0.0);
    world.run(10 * SECOND);
    assert_eq!((world.share(0), world.share(1)), (0.0, 1.0), "it answers probes, and stays left");
    set_directive(&mut world, 0, None);
    assert!(world.until(20 * SECOND, |world| world.share(0) == 0.125).is_some());
    assert!(world.until(20 * SECOND, |world| world.share(0) == 1.0).is_some());
    // With `Hold` it is used though it is lost; without, it is left; with `Return` its return does not wait.
    set_directive(&mut world, 1, Some(Directive::Hold));
    world.set_zone_health(1, Health::Lost);
    world.run(10 * SECOND);
    assert_eq!(world.share(1), 1.0);
    set_directive(&mut world, 1, None);
    assert!(world.until(10 * SECOND, |world| world.share(1) == 0.0).is_some());
    world.set_zone_health(1, Health::Good);
    set_directive(&mut world, 1, Some(Directive::Return));
    assert!(world.share(1) > 0.0);
    assert!(world.until(20 * SECOND, |world| world.share(1) == 1.0).is_some());
}
