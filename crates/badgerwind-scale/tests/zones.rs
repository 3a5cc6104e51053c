//! Bounds on a front end's traffic for the detection of lost zones as the fleet grows. The check of the
//! bounds must also fail for a fleet with an injected defect.

use badgerwind_scale::row::Measurement;
use badgerwind_scale::rows::network::SECOND;
use badgerwind_scale::rows::zones::{measure_reporter, measure_voter, Fleet, Mutant, HEARTBEAT_INTERVAL};

const SMALL_FLEET: usize = 10;
const MEDIUM_FLEET: usize = 40;
/// A report to each of three voters and a digest from each, per heartbeat.
const MESSAGES_PER_HEARTBEAT: f64 = 6.0;

/// Messages and bytes a second of a front end that is not a voter, without and with a lost zone.
fn traffic(size: usize, mutant: Option<Mutant>) -> [(f64, f64); 2] {
    let mut fleet = Fleet::new(size, 1).with_mutant(mutant);
    fleet.run(2 * SECOND);
    let mut measure = |lost_zone| {
        fleet.set_lost_zone(lost_zone);
        fleet.network.reset_counts();
        fleet.run(3 * SECOND);
        fleet.traffic(3 * SECOND)
    };
    [measure(None), measure(Some(1))]
}

/// Checks that the traffic of a front end that is not a voter grows neither with the fleet nor with a lost
/// zone.
fn check_traffic(mutant: Option<Mutant>) -> Result<(), String> {
    let max_messages = MESSAGES_PER_HEARTBEAT * SECOND as f64 / HEARTBEAT_INTERVAL as f64;
    for size in [SMALL_FLEET, MEDIUM_FLEET] {
        for (messages, bytes) in traffic(size, mutant) {
            if messages > 1.02 * max_messages {
                return Err(format!(
                    "{messages} messages a second with {size} front ends, more than {max_messages}"
                ));
            }
            if bytes > messages * (badgerwind_zones::MAX_BYTES as f64 + 28.0) {
                return Err(format!(
                    "{bytes} bytes a second in {messages} messages with {size} front ends: over the maximum \
                     size"
                ));
            }
        }
    }
    Ok(())
}

#[test]
fn traffic_does_not_grow_with_the_fleet_or_with_a_lost_zone() {
    assert_eq!(check_traffic(None), Ok(()));
    assert!(check_traffic(Some(Mutant::ReportsToAll)).is_err(), "reports to all front ends must be detected");
}

#[test]
fn a_voter_answers_each_report_with_one_digest_of_constant_size() {
    let (small, large) = (measure_voter(SMALL_FLEET), measure_voter(300));
    assert_eq!((small.messages, small.bytes), (large.messages, large.bytes));
    assert_eq!(small.messages, 2);
}

/// Value of the first measurement with this unit.
fn value(measurements: &[Measurement], unit: &str) -> f64 {
    measurements.iter().find(|m| m.metric.unit == unit).unwrap().value
}

#[test]
fn traffic_does_not_grow_with_the_number_of_listed_runners() {
    let (short, long) = (measure_reporter(30, 1), measure_reporter(600, 1));
    assert_eq!(value(&short, "messages/s"), value(&long, "messages/s"));
    assert_eq!(value(&short, "B/s"), value(&long, "B/s"));
}

#[test]
fn all_front_ends_leave_a_lost_zone_and_return_to_it_and_leave_no_other_zone() {
    let mut fleet = Fleet::new(MEDIUM_FLEET, 2);
    fleet.run(3 * SECOND);
    fleet.set_lost_zone(Some(1));
    assert!(fleet.run_until(|f| f.mean_share(1) == 0.0).is_some());
    assert_eq!(fleet.wrongly_left(1), 0);
    let (probes_before, time_before) = (fleet.probes, fleet.network.now());
    fleet.run(2 * SECOND);
    // Three voters probe two runners each per heartbeat, independently of the size of the fleet.
    let heartbeats = (fleet.network.now() - time_before) as f64 / HEARTBEAT_INTERVAL as f64;
    let probes = fleet.probes - probes_before;
    assert!(probes as f64 <= 6.0 * (heartbeats + 1.0), "{probes} probes");
    fleet.set_lost_zone(None);
    assert!(fleet.run_until(|f| f.mean_share(1) >= 1.0).is_some());
}

#[test]
fn counts_depend_on_the_seed_alone() {
    let counts = |seed| {
        let mut fleet = Fleet::new(SMALL_FLEET, seed);
        fleet.set_lost_zone(Some(1));
        fleet.run(4 * SECOND);
        let traffic: Vec<_> = (0..SMALL_FLEET).map(|m| fleet.network.traffic(m)).collect();
        (traffic, fleet.calls_lost, fleet.network.now())
    };
    assert_eq!(counts(1), counts(1));
    assert_ne!(counts(1), counts(2));
}
