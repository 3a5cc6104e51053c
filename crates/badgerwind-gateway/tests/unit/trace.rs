//! What only the inside of `trace.rs` shows.

use super::*;

#[test]
fn a_good_one_is_kept_and_anything_else_begins_a_new_trace() {
    let good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    let kept = TraceParent::of(Some(good), 5);
    assert_eq!(kept.child(9), "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000009-01");
    assert_eq!(
        TraceParent::of(Some(&good.replacen("00", "cc", 1)), 5).trace,
        kept.trace,
        "a version to come"
    );
    for bad in [
        None,
        Some(""),
        Some("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7"),
        Some("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
        Some("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"),
        Some("00-00000000000000000000000000000000-00f067aa0ba902b7-01"),
        Some("00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"),
        Some("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more"),
    ] {
        assert_eq!(TraceParent::of(bad, 5).child(0), format!("00-{:032x}-{:016x}-00", 5, 1), "{bad:?}");
    }
}
