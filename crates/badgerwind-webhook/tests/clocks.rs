//! What is told of senders' clocks.

use badgerwind_webhook::Skew;

const NOW: i64 = 1_796_000_040; // the start of a span of a minute

#[test]
fn a_message_on_its_way_makes_a_clock_look_slower_and_the_fastest_message_tells() {
    let mut skew = Skew::default();
    assert_eq!(skew.ahead(NOW), None);
    for (at, timestamp) in [(NOW, NOW + 7), (NOW + 1, NOW + 2), (NOW + 2, NOW + 10), (NOW + 3, NOW - 30)] {
        skew.seen(at, timestamp);
    }
    assert_eq!(skew.ahead(NOW + 3), Some(8));
    assert!(!skew.is_wide(NOW + 3, 16) && skew.is_wide(NOW + 3, 15));
}

#[test]
fn a_clock_that_was_set_is_seen_after_two_spans() {
    let mut skew = Skew::default();
    skew.seen(NOW, NOW - 200);
    assert_eq!((skew.ahead(NOW), skew.is_wide(NOW, 300)), (Some(-200), true));
    skew.seen(NOW + 60, NOW + 60);
    assert_eq!(skew.ahead(NOW + 60), Some(0), "one that is right outweighs one that was late");
    let mut fast = Skew::default();
    fast.seen(NOW, NOW + 200);
    fast.seen(NOW + 60, NOW + 60);
    assert_eq!(fast.ahead(NOW + 60), Some(200), "the span before still counts");
    fast.seen(NOW + 120, NOW + 120);
    assert_eq!(fast.ahead(NOW + 120), Some(0));
    assert_eq!(fast.ahead(NOW + 400), None, "and nothing is told of long ago");
}
