//! The hollow front end itself: calls come at their rate, end, and find copies where the model has them.

use badgerwind_scale::rows::front_end::{Costs, HollowFrontEnd, Surroundings, SECOND};
use badgerwind_scale::rows::workers::ForeignCalls;

const WORKERS: u32 = 40;
const FUNCTIONS: u64 = 50;
const SECONDS: u64 = 3;
const SEED: u64 = 1;

fn costs(surroundings: Surroundings, seed: u64) -> Costs {
    let mut front_end = HollowFrontEnd::new(surroundings, seed);
    front_end.run(SECONDS * SECOND);
    Costs { processor_us: 0.0, ..front_end.take_costs() }
}

fn small() -> Surroundings {
    Surroundings::new(WORKERS, FUNCTIONS)
}

#[test]
fn the_same_seed_gives_the_same_counts_and_another_gives_others() {
    assert_eq!(costs(small(), SEED), costs(small(), SEED));
    assert_ne!(costs(small(), SEED), costs(small(), SEED + 1));
}

#[test]
fn calls_come_at_their_rate_and_are_served() {
    let costs = costs(small(), SEED);
    let wanted = small().calls_per_second * SECONDS as f64;
    assert!((costs.calls as f64 - wanted).abs() < 4.0 * wanted.sqrt(), "{} calls", costs.calls);
    assert!(costs.served + costs.refused <= costs.calls);
    assert!(costs.served as f64 > 0.6 * costs.calls as f64, "{costs:?}");
}

#[test]
fn a_copy_is_missed_unless_other_front_ends_keep_it_loaded() {
    let alone = costs(small(), SEED);
    assert!(alone.misses > 0 && alone.orders > 0 && alone.cold > 0, "{alone:?}");
    let others = Some(ForeignCalls { top_function_rate: 1e6, exponent: 1.0 });
    let among_others = costs(Surroundings { others, ..small() }, SEED);
    assert_eq!(among_others.misses, 0);
    // Only a call that takes a lane of a further copy, ordered while all lanes were taken, waits for a load.
    assert!(100 * among_others.cold <= among_others.calls, "{among_others:?}");
}

#[test]
fn a_burst_adds_its_calls() {
    let calls = |burst: f64| {
        let mut front_end = HollowFrontEnd::new(small(), SEED);
        front_end.begin_burst(1, burst, SECOND);
        front_end.run(2 * SECOND);
        front_end.take_costs().calls as f64
    };
    let added = calls(40.0) - calls(0.0);
    assert!((10.0..80.0).contains(&added), "{added} calls more");
}
