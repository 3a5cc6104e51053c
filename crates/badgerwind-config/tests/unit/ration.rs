//! What only the inside of `ration.rs` shows.

use super::*;

#[test]
fn orders_of_old_and_new_count_together_to_the_edge_of_the_window() {
    let mut r = Ration::new(100, 2.0, 0.5);
    assert!(r.order(0) && r.order(0) && !r.order(0));
    r.took(1);
    r.took(1);
    assert!(r.order(1) && !r.order(1));
    // At 100 the orders of 0 still count, inclusive; at 101 they are gone.
    assert!(!r.order(100));
    assert!(r.order(101));
    r.change(50, 1.0, 0.0);
    assert!(!r.order(102), "what was ordered before the change counts after it");
    assert!(r.order(152));
    r.change(0, 0.0, 0.0);
    assert!((0..9).all(|_| r.order(152)));
}
