//! Estimates of senders' clocks, and the clock by which timestamps are checked.

use badgerwind_webhook::{ClockSkew, Key, KeyKind, KeyRing, ReplayLimits, RingKey, WallClock};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: i64 = 1_796_000_040; // the start of a window

#[test]
fn the_least_delayed_message_determines_the_clock_skew() {
    let mut skew = ClockSkew::default();
    assert_eq!(skew.ahead(NOW), None);
    for (at, timestamp) in [(NOW, NOW + 7), (NOW + 1, NOW + 2), (NOW + 2, NOW + 10), (NOW + 3, NOW - 30)] {
        skew.observe(at, timestamp);
    }
    assert_eq!(skew.ahead(NOW + 3), Some(8));
    assert!(!skew.is_wide(NOW + 3, 16) && skew.is_wide(NOW + 3, 15));
}

#[test]
fn an_adjusted_clock_is_detected_within_two_windows() {
    let mut skew = ClockSkew::default();
    skew.observe(NOW, NOW - 200);
    assert_eq!((skew.ahead(NOW), skew.is_wide(NOW, 300)), (Some(-200), true));
    skew.observe(NOW + 60, NOW + 60);
    assert_eq!(skew.ahead(NOW + 60), Some(0), "a correct timestamp outweighs a delayed one");
    let mut fast = ClockSkew::default();
    fast.observe(NOW, NOW + 200);
    fast.observe(NOW + 60, NOW + 60);
    assert_eq!(fast.ahead(NOW + 60), Some(200), "the previous window still counts");
    fast.observe(NOW + 120, NOW + 120);
    assert_eq!(fast.ahead(NOW + 120), Some(0));
    assert_eq!(fast.ahead(NOW + 400), None, "old windows give no estimate");
}

const US: i64 = 1_000_000;

#[test]
fn a_clock_that_is_set_back_makes_no_old_message_good_again() {
    let mut wall = WallClock::default();
    assert_eq!(wall.at(0, NOW * US), NOW);
    // The clock is set back an hour: time continues at seven eighths of its rate, and the hour is absorbed
    // within eight.
    let reading = |s: u64| (NOW - 3600) * US + s as i64 * US;
    assert_eq!(wall.at(80_000_000, reading(80)), NOW + 70);
    assert_eq!(wall.behind(80_000_000, reading(80)), 3590);
    for s in (80..8 * 3600 + 1).step_by(60) {
        wall.at(s * 1_000_000, reading(s));
    }
    assert_eq!(wall.at(29_000_000_000, reading(29_000)), NOW - 3600 + 29_000);
    assert_eq!(wall.behind(29_000_000_000, reading(29_000)), 0);
    // A clock that is set forward takes effect at once.
    assert_eq!(wall.at(29_000_000_000, reading(30_000)), NOW - 3600 + 30_000);
}

fn ring(key: &Key, tolerance: u64) -> KeyRing {
    let keys = vec![RingKey { name: "k".into(), key: key.clone(), not_before: None, not_after: None }];
    KeyRing { keys, tolerance }
}

fn good(ring: &KeyRing, now: i64, sent: i64) -> bool {
    let signature = "v1,".to_owned() + &"A".repeat(43) + "=";
    ring.claim(now, Some("m"), Some(&sent.to_string()), Some(&signature)).is_ok()
}

/// The clock is read in whole seconds. Wherever within a second (in steps of 10 ms) a signature was first
/// accepted, it must be invalid by the time its id may be forgotten.
#[test]
fn no_signature_outlives_its_stored_id() {
    let key = Key::generate(KeyKind::Shared).unwrap();
    for tolerance in [1u64, 2, 300] {
        let ring = ring(&key, tolerance);
        for start in (0..1000).step_by(10) {
            let (sent, first) = (NOW + tolerance as i64, NOW * 1000 + start);
            assert!(good(&ring, first.div_euclid(1000), sent));
            let edge = first + 2000 * tolerance as i64;
            assert!(good(&ring, edge.div_euclid(1000), sent), "still valid after twice the tolerance");
            let forgotten = first + ReplayLimits::retention_for(tolerance) as i64 / 1000;
            assert!(
                !good(&ring, forgotten.div_euclid(1000), sent),
                "{tolerance} s, {start} ms into a second"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::with_cases(300) })]

    /// However the system clock is set back and forth, and however often it is read, no message is valid
    /// after the retention of its id has ended.
    #[test]
    fn no_signature_outlives_its_id_when_the_clock_is_set(
        tolerance in 1u64..20,
        ahead in -20i64..20,
        steps in prop::collection::vec((prop_oneof![0u64..20_000, 0u64..3_000_000], prop_oneof![4 => Just(0i64), 1 => -30_000_000i64..30_000_000]), 1..150),
    ) {
        let key = Key::generate(KeyKind::Shared).unwrap();
        let ring = ring(&key, tolerance);
        let (mut wall, mut mono, mut set) = (WallClock::default(), 0u64, 0i64);
        let mut accepted = None;
        let sent = NOW + ahead;
        let mut last = i64::MIN;
        for (pass, by) in steps {
            mono += pass;
            set += by;
            let now = wall.at(mono, NOW * US + mono as i64 + set);
            prop_assert!(now >= last, "the clock went back");
            last = now;
            if good(&ring, now, sent) {
                let first = *accepted.get_or_insert(mono);
                prop_assert!(mono < first + ReplayLimits::retention_for(tolerance), "accepted at {first}, valid again at {mono}");
            }
        }
    }
}
