//! Cold starts: arithmetic against simulation at a small size, and what the placement changes.

use badgerwind_scale::rows::cold_starts::*;

const SMALL_FUNCTIONS: u64 = 4_000;
const SMALL_RATE: f64 = 14_000.0;
const KEEP_ALIVE: f64 = 3.0;
const EXPONENT: f64 = 1.0;

/// More than this share of cold calls is a failure of the placement.
const MOST_COLD: f64 = 0.05;

fn few_are_cold(demand: &Demand, placement: Placement, stay: f64) -> Result<f64, f64> {
    let share = demand.cold_share(placement, stay);
    if share <= MOST_COLD {
        Ok(share)
    } else {
        Err(share)
    }
}

#[test]
fn simulation_and_arithmetic_agree() {
    let demand = Demand::new(SMALL_FUNCTIONS, EXPONENT, SMALL_RATE);
    let told = demand.cold_share(Placement::Shared, KEEP_ALIVE);
    let seen = simulated_cold_share(SMALL_FUNCTIONS, EXPONENT, SMALL_RATE, KEEP_ALIVE, 1);
    assert!((seen / told - 1.0).abs() < 0.1, "{seen} simulated, {told} by arithmetic");
}

#[test]
fn the_same_seed_gives_the_same_share() {
    let share = |seed| simulated_cold_share(SMALL_FUNCTIONS, EXPONENT, SMALL_RATE, KEEP_ALIVE, seed);
    assert_eq!(share(3), share(3));
    let times = |seed| cold_start_times(LoadTime::Even, 0.5, 1_000, seed);
    assert_eq!(times(3), times(3));
}

#[test]
fn a_shared_hash_passes_where_front_ends_alone_fail() {
    let demand = Demand::new(FUNCTIONS, EXPONENT, CALLS_PER_SECOND);
    assert!(few_are_cold(&demand, Placement::Shared, 60.0).is_ok());
    let alone = few_are_cold(&demand, Placement::Alone, 60.0).unwrap_err();
    assert!(alone > 0.3, "{alone}");
}

#[test]
fn copies_that_have_no_room_stay_for_less_than_the_keep_alive() {
    let demand = Demand::new(FUNCTIONS, EXPONENT, CALLS_PER_SECOND);
    let stay = demand.stay(Placement::Alone, 60.0, INSTANCES);
    assert!(stay < 60.0, "{stay}");
    assert!((demand.copies(Placement::Alone, stay) / INSTANCES - 1.0).abs() < 0.01);
    assert_eq!(demand.stay(Placement::Shared, 60.0, INSTANCES), 60.0);
}

#[test]
fn a_function_called_once_a_minute_reaches_a_front_end_once_in_7_6_days() {
    let days = days_between_calls(1.0 / 60.0);
    assert!((days - 7.64).abs() < 0.01, "{days}");
}

#[test]
fn a_worker_with_taken_load_slots_starts_late() {
    let late = |utilization| {
        let times = cold_start_times(LoadTime::Even, utilization, 20_000, 1);
        times.iter().filter(|time| **time > 1_500.0).count() as f64 / times.len() as f64
    };
    assert!(late(0.1) < 0.01, "{}", late(0.1));
    assert!(late(0.95) > 0.3, "{}", late(0.95));
}

#[test]
fn most_functions_are_called_less_than_once_a_minute_from_an_exponent_of_1_4_on() {
    let exponent = exponent_of_mostly_rare();
    assert!(exponent > 1.3 && exponent < 1.5, "{exponent}");
    let (functions, calls) = Demand::new(FUNCTIONS, exponent, CALLS_PER_SECOND).rare();
    assert!((functions - 0.5).abs() < 0.01 && calls < 0.01, "{functions} of functions, {calls} of calls");
}

#[test]
fn load_slots_taken_whole_are_refused_with_the_sizes_that_are_measured() {
    let row = badgerwind_scale::rows::find("cold-start-time").unwrap();
    let refused = row.measure(100, 1).unwrap_err().to_string();
    assert!(refused.contains("--sizes") && refused.contains("1 to 99"), "{refused}");
}
