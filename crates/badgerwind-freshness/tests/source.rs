//! Until when the list of executors may be relied on, over scripted ends of discovery.

use badgerwind_freshness::source::{Ending, Heard, SourceWatch, Transition};

const SECOND: u64 = 1_000_000;

/// Discovery vouched at second 10.
fn vouched_at_ten() -> SourceWatch {
    let mut watch = SourceWatch::new(0);
    watch.heard(10 * SECOND, Heard::UpToDate);
    watch
}

#[test]
fn a_front_end_that_starts_relies_on_nothing_until_discovery_vouches() {
    let mut watch = SourceWatch::new(100_000);
    assert!(!watch.fresh(1));
    watch.heard(5 * SECOND, Heard::Events);
    assert!(!watch.fresh(5 * SECOND), "more events may follow the first ones");
    watch.heard(5 * SECOND, Heard::UpToDate);
    assert!(watch.fresh(5 * SECOND));
}

#[test]
fn each_kind_of_outage_has_its_clock() {
    let silent = vouched_at_ten();
    assert_eq!(silent.relied_on_until(), 14 * SECOND);
    let mut broken = vouched_at_ten();
    broken.ended(10 * SECOND + 300_000, Ending::Broken);
    assert_eq!(broken.relied_on_until(), 12 * SECOND + 300_000);
    let mut moved = vouched_at_ten();
    moved.moved(9 * SECOND);
    assert_eq!(moved.relied_on_until(), 13 * SECOND);
    let mut given_up = vouched_at_ten();
    given_up.ended(12 * SECOND, Ending::Silent);
    assert_eq!(given_up.relied_on_until(), 14 * SECOND, "asking anew is not the beginning of the silence");
}

#[test]
fn an_interruption_that_repeats_itself_is_one() {
    let mut watch = vouched_at_ten();
    for second in [11, 12, 13] {
        watch.ended(second * SECOND, Ending::Broken);
        watch.heard(second * SECOND, Heard::Events);
    }
    assert_eq!(watch.relied_on_until(), 13 * SECOND);
    watch.heard(13 * SECOND, Heard::UpToDate);
    assert_eq!(watch.relied_on_until(), 17 * SECOND);
}

#[test]
fn events_on_a_connection_that_goes_on_renew_what_was_vouched_for() {
    let mut watch = vouched_at_ten();
    watch.heard(12 * SECOND, Heard::Events);
    watch.heard(11 * SECOND, Heard::UpToDate);
    watch.heard(15 * SECOND, Heard::Nothing);
    assert_eq!(watch.relied_on_until(), 16 * SECOND);
}

#[test]
fn front_ends_stop_to_rely_on_it_at_their_own_times() {
    let mut watch = SourceWatch::new(200_000);
    watch.heard(10 * SECOND, Heard::UpToDate);
    assert_eq!(watch.relied_on_until(), 14 * SECOND + 200_000);
}

#[test]
fn each_change_is_reported_once_with_its_age() {
    let mut watch = SourceWatch::new(0);
    assert_eq!(watch.transition(SECOND), Some(Transition::Stale { age: None }));
    assert_eq!(watch.transition(2 * SECOND), None);
    watch.heard(3 * SECOND, Heard::UpToDate);
    assert_eq!(watch.transition(3 * SECOND), Some(Transition::Fresh { lasted: 2 * SECOND }));
    assert_eq!(watch.transition(4 * SECOND), None);
    assert_eq!(watch.transition(9 * SECOND), Some(Transition::Stale { age: Some(6 * SECOND) }));
}
