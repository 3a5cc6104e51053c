//! The lag estimate and the part of a sender's waiting time that it reserves.

use badgerwind_driver::Lag;

const MS: u64 = 1_000;

#[test]
fn the_estimate_is_the_largest_lateness_halved_each_second() {
    let mut lag = Lag::default();
    assert_eq!((lag.current(0), lag.usable_wait(0, 900 * MS)), (0, 900 * MS));
    lag.observe(0, 200 * MS);
    lag.observe(10, 20 * MS);
    assert!(lag.current(10).abs_diff(200 * MS) < 10, "a smaller lateness does not replace a larger one");
    assert!(lag.current(1_000 * MS).abs_diff(100 * MS) < 10);
    assert!(lag.current(3_000 * MS).abs_diff(25 * MS) < 10);
    lag.observe(3_000 * MS, 400 * MS);
    assert_eq!(lag.usable_wait(3_000 * MS, 900 * MS), 500 * MS);
    assert_eq!(lag.usable_wait(3_000 * MS, 600 * MS), 300 * MS, "at least half of the wait stays usable");
    assert_eq!(lag.current(60_000 * MS), 0);
    // Observations out of order do not raise the estimate.
    lag.observe(1_000 * MS, 10 * MS);
    assert!(lag.current(3_000 * MS) <= 400 * MS);
}
