//! Bounds on what a front end sends for zones as the fleet grows; each check also has to fail for a fleet made worse on
//! purpose.

use badgerwind_scale::row::Measurement;
use badgerwind_scale::rows::network::SECOND;
use badgerwind_scale::rows::zones::{reporter, voter, Fleet, Mutant, BEAT};

const SMALL: usize = 10;
const MIDDLE: usize = 40;
/// A report and a digest with each of three voters in a beat.
const MESSAGES_A_BEAT: f64 = 6.0;

/// Messages and bytes a second of a front end that is no voter, in calm and while a zone is lost.
fn traffic(size: usize, mutant: Option<Mutant>) -> [(f64, f64); 2] {
    let mut fleet = Fleet::new(size, 1).with(mutant);
    fleet.run(2 * SECOND);
    let mut measured = |lost| {
        fleet.lose(lost);
        fleet.network.reset_counts();
        fleet.run(3 * SECOND);
        fleet.traffic(3 * SECOND)
    };
    [measured(None), measured(Some(1))]
}

/// What a front end that is no voter sends and receives must not grow with the fleet, nor with a lost zone.
fn check_traffic(mutant: Option<Mutant>) -> Result<(), String> {
    let most = MESSAGES_A_BEAT * SECOND as f64 / BEAT as f64;
    for size in [SMALL, MIDDLE] {
        for (messages, bytes) in traffic(size, mutant) {
            if messages > 1.02 * most {
                return Err(format!("{messages} messages a second at {size}, {most} at most"));
            }
            if bytes > messages * (badgerwind_zones::MAX_BYTES as f64 + 28.0) {
                return Err(format!("{bytes} bytes in {messages} messages"));
            }
        }
    }
    Ok(())
}

#[test]
fn a_front_end_sends_the_same_whatever_the_fleet_and_the_zones_do() {
    assert_eq!(check_traffic(None), Ok(()));
    assert!(check_traffic(Some(Mutant::ReportsToAll)).is_err(), "reports to all must be found");
}

#[test]
fn a_voter_answers_each_tell_once_with_as_many_bytes_whatever_the_fleet() {
    let (small, middle) = (voter(SMALL), voter(300));
    assert_eq!((small.messages, small.bytes), (middle.messages, middle.bytes));
    assert_eq!(small.messages, 2);
}

fn value(figures: &[Measurement], unit: &str) -> f64 {
    figures.iter().find(|f| f.metric.unit == unit).unwrap().value
}

#[test]
fn the_list_of_runners_adds_nothing_to_what_is_sent() {
    let (short, long) = (reporter(30, 1), reporter(600, 1));
    assert_eq!(value(&short, "messages/s"), value(&long, "messages/s"));
    assert_eq!(value(&short, "B/s"), value(&long, "B/s"));
}

#[test]
fn a_lost_zone_is_left_by_all_and_taken_back_and_no_other_is_left() {
    let mut fleet = Fleet::new(MIDDLE, 2);
    fleet.run(3 * SECOND);
    fleet.lose(Some(1));
    assert!(fleet.until(|f| f.share(1) == 0.0).is_some());
    assert_eq!(fleet.wrongly_left(1), 0);
    let before = (fleet.probes, fleet.network.now());
    fleet.run(2 * SECOND);
    // Three voters probe two runners a beat each, whatever the fleet.
    let beats = (fleet.network.now() - before.1) as f64 / BEAT as f64;
    assert!((fleet.probes - before.0) as f64 <= 6.0 * (beats + 1.0), "{} probes", fleet.probes - before.0);
    fleet.lose(None);
    assert!(fleet.until(|f| f.share(1) >= 1.0).is_some());
}

#[test]
fn the_same_seed_gives_the_same_counts_and_another_seed_others() {
    let counts = |seed| {
        let mut fleet = Fleet::new(SMALL, seed);
        fleet.lose(Some(1));
        fleet.run(4 * SECOND);
        let each: Vec<_> = (0..SMALL).map(|m| fleet.network.traffic(m)).collect();
        (each, fleet.calls_lost, fleet.network.now())
    };
    assert_eq!(counts(1), counts(1));
    assert_ne!(counts(1), counts(2));
}
