//! Bounds on the traffic of a member as the fleet grows. Each check must also fail for a fleet with a
//! deliberate defect.

use badgerwind_scale::rows::members::{measure_deaths, Fleet, Mutant, TrafficRate, PERIOD};
use badgerwind_scale::rows::network::SECOND;

const SMALL: usize = 30;
const MEDIUM: usize = 90;

/// Upper bound on the messages of a member in a period. A ping and an ack in each direction make four; the
/// rest allows for the pings over the longest distances, which are answered late and cause a second ping and
/// three indirect ones with their answers.
const MAX_MESSAGES_PER_PERIOD: f64 = 14.0;
/// Largest size of a message in bytes.
const MAX_MESSAGE_BYTES: f64 = badgerwind_members::MAX_BYTES as f64;

fn steady(size: usize, real: usize, mutant: Option<Mutant>, seed: u64) -> TrafficRate {
    let mut fleet = Fleet::new(size, real, true, seed).with_mutant(mutant);
    fleet.run(SECOND);
    fleet.network.reset_counts();
    fleet.run(10 * SECOND);
    fleet.traffic(10 * SECOND)
}

/// Checks that the traffic of a member in the steady state does not grow with the fleet.
fn check_steady(mutant: Option<Mutant>) -> Result<(), String> {
    let max = MAX_MESSAGES_PER_PERIOD * SECOND as f64 / PERIOD as f64;
    let within_bound = |size| {
        let traffic = steady(size, size, mutant, 1);
        let fits = traffic.messages <= max;
        fits.then_some(traffic)
            .ok_or(format!("{size}: {} messages a second, at most {max} allowed", traffic.messages))
    };
    let (small, medium) = (within_bound(SMALL)?, within_bound(MEDIUM)?);
    if medium.messages > 1.1 * small.messages {
        return Err(format!("{} messages a second grew to {}", small.messages, medium.messages));
    }
    if medium.bytes > medium.messages * MAX_MESSAGE_BYTES {
        return Err(format!("{} bytes in {} messages", medium.bytes, medium.messages));
    }
    Ok(())
}

#[test]
fn steady_traffic_of_a_member_does_not_grow_with_the_fleet() {
    assert_eq!(check_steady(None), Ok(()));
    assert!(check_steady(Some(Mutant::PingsAll)).is_err(), "the check must detect pings to all members");
}

#[test]
fn a_real_sample_among_scripted_members_has_the_traffic_of_a_fully_real_fleet() {
    let (whole, sample) = (steady(MEDIUM, MEDIUM, None, 2), steady(MEDIUM, 21, None, 2));
    let near = |a: f64, b: f64| (a - b).abs() < 0.15 * a;
    assert!(near(whole.messages, sample.messages), "{whole:?} {sample:?}");
    assert!(near(whole.bytes, sample.bytes), "{whole:?} {sample:?}");
}

#[test]
fn a_fleet_that_starts_converged_has_the_traffic_of_one_that_ran_for_long() {
    let mut fleet = Fleet::new(SMALL, SMALL, false, 3);
    let all: Vec<usize> = (0..SMALL).collect();
    assert!(fleet.run_until(|f| f.share_known_alive(&all) >= 1.0).is_some());
    fleet.run(30 * SECOND);
    fleet.network.reset_counts();
    fleet.run(10 * SECOND);
    let (long, converged) = (fleet.traffic(10 * SECOND), steady(SMALL, SMALL, None, 3));
    assert!((long.messages - converged.messages).abs() < 0.1 * long.messages, "{long:?} {converged:?}");
    assert!((long.bytes - converged.bytes).abs() < 0.1 * long.bytes, "{long:?} {converged:?}");
}

/// Checks that the traffic of a member during the detection of a death does not grow with the fleet.
fn check_detection(mutant: Option<Mutant>) -> Result<(), String> {
    let max = MAX_MESSAGES_PER_PERIOD * SECOND as f64 / PERIOD as f64;
    let within_bound = |size| {
        let mut fleet = Fleet::new(size, size, true, 4).with_mutant(mutant);
        let detection = measure_deaths(&mut fleet, &[1]).ok_or("a death was not detected")?;
        let fits = detection.messages <= max;
        fits.then_some(detection)
            .ok_or(format!("{size}: {} messages a second, at most {max} allowed", detection.messages))
    };
    let (small, medium) = (within_bound(SMALL)?, within_bound(MEDIUM)?);
    // The suspicion timeout and the dissemination time grow with the logarithm of the number of members; the
    // timeout grows from 4 to 6 periods at these sizes.
    if medium.time > 3 * small.time {
        return Err(format!("detected after {} and {} us", small.time, medium.time));
    }
    Ok(())
}

#[test]
fn traffic_during_the_detection_of_a_death_does_not_grow_with_the_fleet() {
    assert_eq!(check_detection(None), Ok(()));
    assert!(check_detection(Some(Mutant::PingsAll)).is_err(), "the check must detect pings to all members");
}

#[test]
fn members_that_restart_are_known_again() {
    let mut fleet = Fleet::new(SMALL, SMALL, true, 5);
    let all: Vec<usize> = (0..SMALL).collect();
    fleet.run(SECOND);
    [0, 10, 20].into_iter().for_each(|one| fleet.restart(one));
    assert!(fleet.share_known_alive(&all) < 1.0);
    assert!(fleet.run_until(|f| f.share_known_alive(&all) >= 1.0).is_some());
}

#[test]
fn isolated_regions_consider_each_other_dead_and_find_each_other_after_healing() {
    let mut fleet = Fleet::new(SMALL, SMALL, true, 6);
    let all: Vec<usize> = (0..SMALL).collect();
    fleet.network.isolate_regions();
    assert!(fleet.run_until(|f| f.share_known_dead_across_regions() >= 1.0).is_some());
    fleet.network.heal();
    assert!(fleet.run_until(|f| f.share_known_alive(&all) >= 1.0).is_some());
}

#[test]
fn the_same_seed_gives_the_same_counts_and_a_different_seed_different_ones() {
    let counts = |seed| {
        let mut fleet = Fleet::new(SMALL, SMALL, false, seed);
        fleet.run(10 * SECOND);
        (0..SMALL).map(|m| fleet.network.traffic(m)).collect::<Vec<_>>()
    };
    assert_eq!(counts(1), counts(1));
    assert_ne!(counts(1), counts(2));
}
