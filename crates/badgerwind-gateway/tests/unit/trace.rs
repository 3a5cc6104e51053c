//! Unit tests of `trace.rs`.

use super::*;

#[test]
fn a_valid_header_is_continued_and_any_other_starts_a_new_trace() {
    let valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    let parsed = TraceParent::from_header(Some(valid), 5);
    assert_eq!(parsed.child(9), "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000009-01");
    assert_eq!(
        TraceParent::from_header(Some(&valid.replacen("00", "cc", 1)), 5).trace_id,
        parsed.trace_id,
        "a future version"
    );
    for invalid in [
        None,
        Some(""),
        Some("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7"),
        Some("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
        Some("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"),
        Some("00-00000000000000000000000000000000-00f067aa0ba902b7-01"),
        Some("00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"),
        Some("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more"),
    ] {
        assert_eq!(
            TraceParent::from_header(invalid, 5).child(0),
            format!("00-{:032x}-{:016x}-00", 5, 1),
            "{invalid:?}"
        );
    }
}
