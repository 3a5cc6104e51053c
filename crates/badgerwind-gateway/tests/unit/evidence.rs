//! Unit tests of `evidence.rs`.

use super::*;

#[test]
fn the_last_event_of_each_pair_is_described_with_its_age_and_the_table_is_bounded() {
    let mut evidence = Evidence::default();
    assert_eq!(evidence.describe(0, 1, "f"), "nothing");
    evidence.record(0, 1, "f", "load ordered".into());
    evidence.record(500_000, 1, "f", "ok, Warm".into());
    assert_eq!(evidence.describe(2_000_000, 1, "f"), "ok, Warm 1.5 s ago");
    assert_eq!(evidence.describe(2_000_000, 1, "g"), "nothing");
    for n in 0..MAX_PAIRS as u32 + 10 {
        evidence.record(0, n, "f", String::new());
    }
    assert!(evidence.0.len() <= MAX_PAIRS);
}
