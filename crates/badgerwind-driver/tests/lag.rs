//! What a front end that runs behind keeps back of its senders' time.

use badgerwind_driver::Lag;

const MS: u64 = 1_000;

#[test]
fn the_largest_lateness_counts_and_fades_by_half_each_second() {
    let mut lag = Lag::default();
    assert_eq!((lag.get(0), lag.promise(0, 900 * MS)), (0, 900 * MS));
    lag.see(0, 200 * MS);
    lag.see(10, 20 * MS);
    assert!(lag.get(10).abs_diff(200 * MS) < 10, "a smaller one does not hide it");
    assert!(lag.get(1_000 * MS).abs_diff(100 * MS) < 10);
    assert!(lag.get(3_000 * MS).abs_diff(25 * MS) < 10);
    lag.see(3_000 * MS, 400 * MS);
    assert_eq!(lag.promise(3_000 * MS, 900 * MS), 500 * MS);
    assert_eq!(lag.promise(3_000 * MS, 600 * MS), 300 * MS, "half of its time is promised at the least");
    assert_eq!(lag.get(60_000 * MS), 0);
    // Times that come in another order make nothing larger.
    lag.see(1_000 * MS, 10 * MS);
    assert!(lag.get(3_000 * MS) <= 400 * MS);
}
