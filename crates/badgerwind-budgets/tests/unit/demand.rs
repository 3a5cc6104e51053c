//! What only the inside of `demand.rs` shows.

use super::*;

#[test]
fn demand_follows_what_is_asked_for_and_is_forgotten_slowly() {
    let mut d = Demand::new(800, false);
    (0..80).for_each(|n| d.asked(10 * n, 1.0));
    assert_eq!(d.lately(799), 80.0);
    assert_eq!(d.wants(799, 0, 5), 100);
    let next = d.wants(3_000, 0, 5);
    assert!((90..100).contains(&next), "{next}");
    (0..200).for_each(|n| _ = d.wants(4_000 + n, 0, 5));
    assert_eq!(d.wants(5_000, 0, 5), 5, "the reserve stays");
}

#[test]
fn who_uses_nearly_all_that_it_owns_wants_more_until_it_has_enough() {
    let mut d = Demand::new(800, true);
    d.asked(100, 3.0);
    let more = d.wants(200, 4, 0);
    assert!(more > 6, "{more}");
    assert!(d.wants(300, 40, 0) <= more, "three of forty used: no more is wanted");
    assert_eq!(reserve(60, 3), 10);
    assert_eq!(reserve(60, 0), 30);
}
