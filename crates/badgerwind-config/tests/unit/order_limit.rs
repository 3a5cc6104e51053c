//! Unit tests of `order_limit.rs`.

use super::*;

#[test]
fn orders_of_old_and_new_count_together_to_the_edge_of_the_window() {
    let mut limit = OrderLimit::new(100, 2.0, 0.5);
    assert!(limit.try_order(0) && limit.try_order(0) && !limit.try_order(0));
    limit.record_call(1);
    limit.record_call(1);
    assert!(limit.try_order(1) && !limit.try_order(1));
    // The window is inclusive: at 100 the orders of 0 still count, at 101 they have expired.
    assert!(!limit.try_order(100));
    assert!(limit.try_order(101));
    limit.set_limit(50, 1.0, 0.0);
    assert!(!limit.try_order(102), "what was ordered before the change counts after it");
    assert!(limit.try_order(152));
    limit.set_limit(0, 0.0, 0.0);
    assert!((0..9).all(|_| limit.try_order(152)));
}
