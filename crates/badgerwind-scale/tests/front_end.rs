//! Tests of the hollow front end: calls arrive at their rate, are finished, and find copies where the model
//! of the workers has loaded them.

use badgerwind_scale::rows::front_end::{Costs, HollowFrontEnd, Workload};
use badgerwind_scale::rows::network::SECOND;
use badgerwind_scale::rows::workers::ForeignCalls;

const WORKERS: u32 = 40;
const FUNCTIONS: u64 = 50;
const SECONDS: u64 = 3;
const SEED: u64 = 1;

/// Costs over [`SECONDS`], without the processor time, which differs between runs.
fn costs(workload: Workload, seed: u64) -> Costs {
    let mut front_end = HollowFrontEnd::new(workload, seed);
    front_end.run(SECONDS * SECOND);
    Costs { processor_us: 0.0, ..front_end.take_costs() }
}

fn small() -> Workload {
    Workload::new(WORKERS, FUNCTIONS)
}

#[test]
fn counts_are_equal_for_equal_seeds_and_differ_for_different_seeds() {
    assert_eq!(costs(small(), SEED), costs(small(), SEED));
    assert_ne!(costs(small(), SEED), costs(small(), SEED + 1));
}

#[test]
fn calls_arrive_at_their_rate_and_most_are_served() {
    let costs = costs(small(), SEED);
    let expected = small().calls_per_second * SECONDS as f64;
    assert!((costs.calls as f64 - expected).abs() < 4.0 * expected.sqrt(), "{} calls", costs.calls);
    assert!(costs.served + costs.refused <= costs.calls);
    assert!(costs.served as f64 > 0.6 * costs.calls as f64, "{costs:?}");
}

#[test]
fn calls_miss_unless_other_front_ends_keep_copies_loaded() {
    let alone = costs(small(), SEED);
    assert!(alone.misses > 0 && alone.load_orders > 0 && alone.cold_calls > 0, "{alone:?}");
    let foreign_calls = Some(ForeignCalls { top_function_rate: 1e6, exponent: 1.0 });
    let in_fleet = costs(Workload { foreign_calls, ..small() }, SEED);
    assert_eq!(in_fleet.misses, 0);
    // Only a call that gets a lane of an additional copy, ordered while all lanes were busy, waits for a
    // load.
    assert!(100 * in_fleet.cold_calls <= in_fleet.calls, "{in_fleet:?}");
}

#[test]
fn a_burst_adds_calls_at_its_rate() {
    let calls = |burst_rate: f64| {
        let mut front_end = HollowFrontEnd::new(small(), SEED);
        front_end.start_burst(1, burst_rate, SECOND);
        front_end.run(2 * SECOND);
        front_end.take_costs().calls as f64
    };
    let added = calls(40.0) - calls(0.0);
    assert!((10.0..80.0).contains(&added), "{added} additional calls");
}
