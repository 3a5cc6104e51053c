//! Until when the list of executors may be relied on, in scripted outages of discovery.

use badgerwind_freshness::source::{ConnectionEnd, Received, SourceMonitor, Transition};

const SECOND: u64 = 1_000_000;

/// Discovery confirmed the list at second 10.
fn confirmed_at_ten() -> SourceMonitor {
    let mut monitor = SourceMonitor::new(0);
    monitor.on_received(10 * SECOND, Received::UpToDate);
    monitor
}

#[test]
fn the_list_is_stale_after_a_start_until_discovery_confirms_it() {
    let mut monitor = SourceMonitor::new(100_000);
    assert!(!monitor.is_fresh(1));
    monitor.on_received(5 * SECOND, Received::Events);
    assert!(!monitor.is_fresh(5 * SECOND), "further events may follow the first ones");
    monitor.on_received(5 * SECOND, Received::UpToDate);
    assert!(monitor.is_fresh(5 * SECOND));
}

#[test]
fn each_kind_of_outage_has_its_own_deadline() {
    let silent = confirmed_at_ten();
    assert_eq!(silent.fresh_until(), 14 * SECOND);
    let mut broken = confirmed_at_ten();
    broken.on_connection_end(10 * SECOND + 300_000, ConnectionEnd::Broken);
    assert_eq!(broken.fresh_until(), 12 * SECOND + 300_000);
    let mut address_changed = confirmed_at_ten();
    address_changed.on_address_change(9 * SECOND);
    assert_eq!(address_changed.fresh_until(), 13 * SECOND);
    let mut timed_out = confirmed_at_ten();
    timed_out.on_connection_end(12 * SECOND, ConnectionEnd::TimedOut);
    assert_eq!(timed_out.fresh_until(), 14 * SECOND, "a reconnect does not restart the silence");
}

#[test]
fn repeated_ends_of_connections_do_not_extend_the_deadline() {
    let mut monitor = confirmed_at_ten();
    for second in [11, 12, 13] {
        monitor.on_connection_end(second * SECOND, ConnectionEnd::Broken);
        monitor.on_received(second * SECOND, Received::Events);
    }
    assert_eq!(monitor.fresh_until(), 13 * SECOND);
    monitor.on_received(13 * SECOND, Received::UpToDate);
    assert_eq!(monitor.fresh_until(), 17 * SECOND);
}

#[test]
fn events_on_an_uninterrupted_connection_extend_the_deadline() {
    let mut monitor = confirmed_at_ten();
    monitor.on_received(12 * SECOND, Received::Events);
    monitor.on_received(11 * SECOND, Received::UpToDate);
    monitor.on_received(15 * SECOND, Received::Nothing);
    assert_eq!(monitor.fresh_until(), 16 * SECOND);
}

#[test]
fn jitter_extends_the_deadline() {
    let mut monitor = SourceMonitor::new(200_000);
    monitor.on_received(10 * SECOND, Received::UpToDate);
    assert_eq!(monitor.fresh_until(), 14 * SECOND + 200_000);
}

#[test]
fn each_transition_is_reported_once() {
    let mut monitor = SourceMonitor::new(0);
    assert_eq!(monitor.transition(SECOND), Some(Transition::Stale { age: None }));
    assert_eq!(monitor.transition(2 * SECOND), None);
    monitor.on_received(3 * SECOND, Received::UpToDate);
    assert_eq!(monitor.transition(3 * SECOND), Some(Transition::Fresh { lasted: 2 * SECOND }));
    assert_eq!(monitor.transition(4 * SECOND), None);
    assert_eq!(monitor.transition(9 * SECOND), Some(Transition::Stale { age: Some(6 * SECOND) }));
}
