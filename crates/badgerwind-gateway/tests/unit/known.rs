//! What only the inside of `known.rs` shows.

use super::*;

#[test]
fn the_last_word_of_each_pair_is_told_with_its_age_and_the_table_is_bounded() {
    let mut known = Known::default();
    assert_eq!(known.tell(0, 1, "f"), "nothing");
    known.note(0, 1, "f", "load ordered".into());
    known.note(500_000, 1, "f", "ok, Warm".into());
    assert_eq!(known.tell(2_000_000, 1, "f"), "ok, Warm 1.5 s ago");
    assert_eq!(known.tell(2_000_000, 1, "g"), "nothing");
    for n in 0..MOST as u32 + 10 {
        known.note(0, n, "f", String::new());
    }
    assert!(known.0.len() <= MOST);
}
