//! The sliding window beside a list of all occurrences.

use badgerwind_window::SlidingWindow;

#[test]
fn counts_are_those_of_a_list_of_all_occurrences() {
    let (mut window, mut all) = (SlidingWindow::default(), Vec::new());
    let mut random = 12_345_u64;
    let mut now = 0;
    for _ in 0..2_000 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        now += (random >> 33) % 3;
        window.push(now);
        all.push(now);
        if random % 7 == 0 {
            let from = now.saturating_sub(40);
            window.forget_before(from);
            all.retain(|time| *time >= from);
        }
        for from in [0, now.saturating_sub(20), now, now + 1] {
            let expected = all.iter().filter(|time| **time >= from).count() as u64;
            assert_eq!(window.count_since(from), expected, "since {from} at {now}");
        }
    }
}

/// Guards against an entry for each request of a flood: a window of seconds held hundreds of thousands.
#[test]
fn occurrences_at_the_same_time_share_one_entry() {
    let mut window = SlidingWindow::default();
    for n in 0..100_000 {
        window.push(n / 1_000);
    }
    assert_eq!((window.entries(), window.count_since(0), window.count_since(99)), (100, 100_000, 1_000));
    window.forget_before(99);
    assert_eq!((window.entries(), window.count_since(0)), (1, 1_000));
}
