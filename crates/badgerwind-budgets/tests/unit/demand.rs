//! Unit tests of `demand.rs`.

use super::*;

#[test]
fn the_estimate_follows_demand_and_decays_slowly() {
    let mut demand = Demand::new(800, false);
    (0..80).for_each(|n| demand.record(10 * n, 1.0));
    assert_eq!(demand.in_window(799), 80.0);
    assert_eq!(demand.estimate(799, 0, 5), 100);
    let next = demand.estimate(3_000, 0, 5);
    assert!((90..100).contains(&next), "{next}");
    (0..200).for_each(|n| _ = demand.estimate(4_000 + n, 0, 5));
    assert_eq!(demand.estimate(5_000, 0, 5), 5, "the reserve stays");
}

#[test]
fn a_saturated_member_wants_more_until_it_has_enough() {
    let mut demand = Demand::new(800, true);
    demand.record(100, 3.0);
    let more = demand.estimate(200, 4, 0);
    assert!(more > 6, "{more}");
    assert!(demand.estimate(300, 40, 0) <= more, "three of forty used: the estimate does not grow");
    assert_eq!(reserve(60, 3), 10);
    assert_eq!(reserve(60, 0), 30);
}
