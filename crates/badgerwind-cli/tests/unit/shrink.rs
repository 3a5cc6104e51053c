//! Unit tests of the minimization of schedules.

use super::*;

#[test]
fn shrink_removes_what_the_failure_does_not_need() {
    // Fails if member 2 is paused and resumed later, and datagrams are lost.
    let fails = |s: &Schedule| {
        let paused = s.acts.iter().position(|(_, a)| matches!(a, Act::Pause { who } if who.contains(&2)));
        let resumed = s.acts.iter().rposition(|(_, a)| matches!(a, Act::Resume { who } if who.contains(&2)));
        s.loss > 0.0 && paused.is_some_and(|pause| resumed.is_some_and(|resume| resume > pause))
    };
    let mut first = Schedule::draw(3, 12, 6000);
    first.loss = 0.3;
    first.twice = 0.3;
    first.acts.push((4000, Act::Pause { who: vec![1, 2, 9] }));
    first.acts.push((4500, Act::Resume { who: vec![9, 2, 1] }));
    let smallest = shrink(&first, 10_000, fails);
    assert!(fails(&smallest));
    assert_eq!(smallest.acts, [(4000, Act::Pause { who: vec![2] }), (4500, Act::Resume { who: vec![2] })]);
    assert_eq!((smallest.twice, smallest.loss), (0.0, 0.3));
    assert!(smallest.members <= first.voters.max(3), "{}", smallest.members);
    let mut runs = 0;
    shrink(&first, 7, |s| {
        runs += 1;
        fails(s)
    });
    assert_eq!(runs, 7, "never more runs than allowed");
}
