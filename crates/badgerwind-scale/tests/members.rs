//! Bounds on what a member sends as the fleet grows; each check also has to fail for a fleet made worse on purpose.

use badgerwind_scale::rows::members::{death, Fleet, Mutant, Traffic, PERIOD};
use badgerwind_scale::rows::network::SECOND;

const SMALL: usize = 30;
const MIDDLE: usize = 90;

/// A second ping and three indirect ones and their answers, for the share of pings that cross the longest ways and are
/// answered late; a ping and an answer each way come to four messages a period.
const MOST_MESSAGES_A_PERIOD: f64 = 14.0;
/// Bytes of a message at the most.
const MOST_BYTES: f64 = badgerwind_members::MAX_BYTES as f64;

fn steady(size: usize, real: usize, mutant: Option<Mutant>, seed: u64) -> Traffic {
    let mut fleet = Fleet::new(size, real, true, seed).with(mutant);
    fleet.run(SECOND);
    fleet.network.reset_counts();
    fleet.run(10 * SECOND);
    fleet.traffic(10 * SECOND)
}

/// What a member sends and receives must not grow with the fleet.
fn check_steady(mutant: Option<Mutant>) -> Result<(), String> {
    let most = MOST_MESSAGES_A_PERIOD * SECOND as f64 / PERIOD as f64;
    let bounded = |size| {
        let traffic = steady(size, size, mutant, 1);
        let fits = traffic.messages <= most;
        fits.then_some(traffic)
            .ok_or(format!("{size}: {} messages a second, {most} at most", traffic.messages))
    };
    let (small, middle) = (bounded(SMALL)?, bounded(MIDDLE)?);
    if middle.messages > 1.1 * small.messages {
        return Err(format!("{} messages a second grew to {}", small.messages, middle.messages));
    }
    if middle.bytes > middle.messages * MOST_BYTES {
        return Err(format!("{} bytes in {} messages", middle.bytes, middle.messages));
    }
    Ok(())
}

#[test]
fn a_calm_member_sends_the_same_whatever_the_fleet() {
    assert_eq!(check_steady(None), Ok(()));
    assert!(check_steady(Some(Mutant::PingsAll)).is_err(), "pings to all must be found");
}

#[test]
fn a_sample_among_scripted_members_costs_what_a_fleet_of_real_ones_does() {
    let (whole, sample) = (steady(MIDDLE, MIDDLE, None, 2), steady(MIDDLE, 21, None, 2));
    let near = |a: f64, b: f64| (a - b).abs() < 0.15 * a;
    assert!(near(whole.messages, sample.messages), "{whole:?} {sample:?}");
    assert!(near(whole.bytes, sample.bytes), "{whole:?} {sample:?}");
}

#[test]
fn a_fleet_that_begins_calm_costs_what_one_that_ran_for_long_does() {
    let mut fleet = Fleet::new(SMALL, SMALL, false, 3);
    let all: Vec<usize> = (0..SMALL).collect();
    assert!(fleet.until(|f| f.known_alive(&all) >= 1.0).is_some());
    fleet.run(30 * SECOND);
    fleet.network.reset_counts();
    fleet.run(10 * SECOND);
    let (long, calm) = (fleet.traffic(10 * SECOND), steady(SMALL, SMALL, None, 3));
    assert!((long.messages - calm.messages).abs() < 0.1 * long.messages, "{long:?} {calm:?}");
    assert!((long.bytes - calm.bytes).abs() < 0.1 * long.bytes, "{long:?} {calm:?}");
}

/// News of a death must not cost a member more messages in a larger fleet.
fn check_death(mutant: Option<Mutant>) -> Result<(), String> {
    let most = MOST_MESSAGES_A_PERIOD * SECOND as f64 / PERIOD as f64;
    let bounded = |size| {
        let mut fleet = Fleet::new(size, size, true, 4).with(mutant);
        let news = death(&mut fleet, &[1]).ok_or("a death was not known")?;
        let fits = news.messages <= most;
        fits.then_some(news).ok_or(format!("{size}: {} messages a second, {most} at most", news.messages))
    };
    let (small, middle) = (bounded(SMALL)?, bounded(MIDDLE)?);
    // A suspect's time grows with the logarithm of the members: from 4 to 6 at these sizes, and news takes as long.
    if middle.known > 3 * small.known {
        return Err(format!("known after {} and {} us", small.known, middle.known));
    }
    Ok(())
}

#[test]
fn news_of_a_death_costs_a_member_the_same_whatever_the_fleet() {
    assert_eq!(check_death(None), Ok(()));
    assert!(check_death(Some(Mutant::PingsAll)).is_err(), "pings to all must be found");
}

#[test]
fn a_tenth_that_restarts_is_known_again() {
    let mut fleet = Fleet::new(SMALL, SMALL, true, 5);
    let all: Vec<usize> = (0..SMALL).collect();
    fleet.run(SECOND);
    [0, 10, 20].into_iter().for_each(|one| fleet.restart(one));
    assert!(fleet.known_alive(&all) < 1.0);
    assert!(fleet.until(|f| f.known_alive(&all) >= 1.0).is_some());
}

#[test]
fn regions_apart_take_each_other_for_dead_and_find_each_other_again() {
    let mut fleet = Fleet::new(SMALL, SMALL, true, 6);
    let all: Vec<usize> = (0..SMALL).collect();
    fleet.network.isolate_regions();
    assert!(fleet.until(|f| f.known_dead_elsewhere() >= 1.0).is_some());
    fleet.network.heal();
    assert!(fleet.until(|f| f.known_alive(&all) >= 1.0).is_some());
}

#[test]
fn the_same_seed_gives_the_same_counts_and_another_seed_others() {
    let counts = |seed| {
        let mut fleet = Fleet::new(SMALL, SMALL, false, seed);
        fleet.run(10 * SECOND);
        (0..SMALL).map(|m| fleet.network.traffic(m)).collect::<Vec<_>>()
    };
    assert_eq!(counts(1), counts(1));
    assert_ne!(counts(1), counts(2));
}
