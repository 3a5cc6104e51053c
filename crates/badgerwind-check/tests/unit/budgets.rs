//! What only the inside of `budgets.rs` shows.

use super::*;

fn owns(at: u64, member: u16, granted: &[(u16, u16)], until: u64) -> Line {
    let what = What::Owns { floor: vec![], granted: granted.to_vec(), until };
    Line { at, member, life: 1, what }
}
fn spent(at: u64, member: u16, unit: u16) -> Line {
    Line { at, member, life: 1, what: What::Spent { unit } }
}

#[test]
fn a_day_that_is_kept_is_told_so() {
    let lines = [
        owns(0, 1, &[(0, 4)], 500),
        owns(100, 1, &[(0, 2)], 600),
        owns(150, 2, &[(2, 4)], 700),
        spent(160, 2, 2),
        spent(300, 2, 2),
        owns(650, 3, &[(0, 2)], 900),
    ];
    let sums = judge(&lines, 4, 100, 0);
    assert_eq!((sums.owned, sums.spent, sums.spends, sums.broken.len()), (1.0, 0.25, 2, 0));
}

#[test]
fn what_each_owned_is_told_look_by_look() {
    let lines = [
        owns(0, 1, &[(0, 4)], 500),
        owns(100, 1, &[(0, 2)], 300),
        owns(150, 2, &[(2, 4)], 700),
        spent(400, 2, 2),
    ];
    let owned = owned_over_time(&lines, 100);
    assert_eq!(owned[&1], [4, 2, 2, 0, 0]);
    assert_eq!(owned[&2], [0, 0, 2, 2, 2]);
}

#[test]
fn two_owners_at_once_are_seen_also_where_one_is_dead() {
    let sums = judge(&[owns(0, 1, &[(0, 2)], 500), owns(400, 2, &[(1, 2)], 900)], 2, 100, 0);
    assert_eq!(sums.broken, ["unit 1 had two owners, 1 and 2, for 100 us"]);
    assert_eq!(sums.owned, 1.5);
}

#[test]
fn an_owner_behind_another_life_of_the_first_is_seen() {
    let again = Line { life: 2, ..owns(100, 1, &[(0, 1)], 200) };
    let sums = judge(&[owns(0, 1, &[(0, 1)], 900), again, owns(500, 2, &[(0, 1)], 600)], 2, 100, 0);
    assert_eq!(sums.broken, ["unit 0 had two owners, 1 and 2, for 100 us"]);
}

#[test]
fn a_unit_spent_twice_in_its_window_is_seen() {
    let sums = judge(&[spent(0, 1, 0), spent(99, 2, 0)], 1, 100, 0);
    assert_eq!(sums.broken, ["unit 0 was spent by 1, and by 2 99 us later"]);
    assert_eq!(sums.spent, 2.0);
    assert!(judge(&[spent(0, 1, 0), spent(100, 2, 0)], 1, 100, 0).broken.is_empty());
}
