//! What only the inside of `order_limit.rs` shows.

use super::*;

#[test]
fn orders_of_old_and_new_count_together_to_the_edge_of_the_window() {
    let mut r = OrderLimit::new(100, 2.0, 0.5);
    assert!(r.try_order(0) && r.try_order(0) && !r.try_order(0));
    r.record_call(1);
    r.record_call(1);
    assert!(r.try_order(1) && !r.try_order(1));
    // At 100 the orders of 0 still count, inclusive; at 101 they are gone.
    assert!(!r.try_order(100));
    assert!(r.try_order(101));
    r.change(50, 1.0, 0.0);
    assert!(!r.try_order(102), "what was ordered before the change counts after it");
    assert!(r.try_order(152));
    r.change(0, 0.0, 0.0);
    assert!((0..9).all(|_| r.try_order(152)));
}
