//! Tests of the cold start model: agreement of computed and simulated shares at a small size, and the
//! effect of the placement.

use badgerwind_scale::rows::cold_starts::*;

const SMALL_FUNCTIONS: u64 = 4_000;
const SMALL_RATE: f64 = 14_000.0;
const KEEP_ALIVE: f64 = 3.0;
const EXPONENT: f64 = 1.0;

/// Maximum share of cold calls for a placement to be acceptable.
const MAX_COLD_SHARE: f64 = 0.05;

/// The share of cold calls, as an error if it exceeds the maximum.
fn check_cold_share(demand: &Demand, placement: Placement, retention: f64) -> Result<f64, f64> {
    let share = demand.cold_share(placement, retention);
    if share <= MAX_COLD_SHARE {
        Ok(share)
    } else {
        Err(share)
    }
}

#[test]
fn simulated_and_computed_shares_agree() {
    let demand = Demand::new(SMALL_FUNCTIONS, EXPONENT, SMALL_RATE);
    let computed = demand.cold_share(Placement::SharedHash, KEEP_ALIVE);
    let simulated = simulated_cold_share(SMALL_FUNCTIONS, EXPONENT, SMALL_RATE, KEEP_ALIVE, 1);
    assert!((simulated / computed - 1.0).abs() < 0.1, "{simulated} simulated, {computed} computed");
}

#[test]
fn simulations_are_equal_for_equal_seeds() {
    let share = |seed| simulated_cold_share(SMALL_FUNCTIONS, EXPONENT, SMALL_RATE, KEEP_ALIVE, seed);
    assert_eq!(share(3), share(3));
    let times = |seed| cold_start_times(LoadTime::Uniform, 0.5, 1_000, seed);
    assert_eq!(times(3), times(3));
}

#[test]
fn cold_share_is_acceptable_with_a_shared_hash_but_not_with_independent_placement() {
    let demand = Demand::new(FLEET_FUNCTIONS, EXPONENT, FLEET_CALLS_PER_SECOND);
    assert!(check_cold_share(&demand, Placement::SharedHash, 60.0).is_ok());
    let independent = check_cold_share(&demand, Placement::Independent, 60.0).unwrap_err();
    assert!(independent > 0.3, "{independent}");
}

#[test]
fn retention_is_shorter_than_the_keep_alive_if_copies_exceed_the_capacity() {
    let demand = Demand::new(FLEET_FUNCTIONS, EXPONENT, FLEET_CALLS_PER_SECOND);
    let retention = demand.retention(Placement::Independent, 60.0, FLEET_COPY_CAPACITY);
    assert!(retention < 60.0, "{retention}");
    let copies = demand.mean_copies(Placement::Independent, retention);
    assert!((copies / FLEET_COPY_CAPACITY - 1.0).abs() < 0.01);
    assert_eq!(demand.retention(Placement::SharedHash, 60.0, FLEET_COPY_CAPACITY), 60.0);
}

#[test]
fn front_end_receives_a_function_called_once_per_minute_every_7_6_days() {
    let days = days_between_calls(1.0 / 60.0);
    assert!((days - 7.64).abs() < 0.01, "{days}");
}

#[test]
fn cold_starts_are_late_at_high_utilization_of_load_slots() {
    let late = |utilization| {
        let times = cold_start_times(LoadTime::Uniform, utilization, 20_000, 1);
        times.iter().filter(|time| **time > 1_500.0).count() as f64 / times.len() as f64
    };
    assert!(late(0.1) < 0.01, "{}", late(0.1));
    assert!(late(0.95) > 0.3, "{}", late(0.95));
}

#[test]
fn most_functions_are_called_less_than_once_per_minute_from_an_exponent_of_1_4_on() {
    let exponent = min_mostly_rare_exponent();
    assert!(exponent > 1.3 && exponent < 1.5, "{exponent}");
    let (functions, calls) = Demand::new(FLEET_FUNCTIONS, exponent, FLEET_CALLS_PER_SECOND).rare_shares();
    assert!((functions - 0.5).abs() < 0.01 && calls < 0.01, "{functions} of functions, {calls} of calls");
}

#[test]
fn full_utilization_of_load_slots_is_rejected_with_the_valid_range() {
    let row = badgerwind_scale::rows::find("cold-start-time").unwrap();
    let error = row.measure(100, 1).unwrap_err().to_string();
    assert!(error.contains("--sizes") && error.contains("1 to 99"), "{error}");
}
