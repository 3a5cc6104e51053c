//! Unit tests of `shrink.rs`.

use super::*;

#[test]
fn shrinking_removes_what_the_failure_does_not_need() {
    // The schedule fails if member 2 is stopped and resumed later, and messages are lost.
    let fails = |s: &Schedule| {
        let stopped = s.acts.iter().position(|(_, a)| matches!(a, Act::Stop { who } if who.contains(&2)));
        let resumed = s.acts.iter().rposition(|(_, a)| matches!(a, Act::Go { who } if who.contains(&2)));
        s.loss > 0.0 && stopped.is_some_and(|stop| resumed.is_some_and(|resume| resume > stop))
    };
    let mut first = Schedule::draw(3, 12, 6000);
    first.loss = 0.3;
    first.twice = 0.3;
    first.acts.push((4000, Act::Stop { who: vec![1, 2, 9] }));
    first.acts.push((4500, Act::Go { who: vec![9, 2, 1] }));
    let least = shrink(&first, 10_000, fails);
    assert!(fails(&least));
    assert_eq!(least.acts, [(4000, Act::Stop { who: vec![2] }), (4500, Act::Go { who: vec![2] })]);
    assert_eq!((least.twice, least.loss), (0.0, 0.3));
    assert!(least.members <= first.voters.max(3), "{}", least.members);
    let mut played = 0;
    shrink(&first, 7, |s| {
        played += 1;
        fails(s)
    });
    assert_eq!(played, 7, "no more runs than allowed");
}
