//! Unit tests of the budget checks.

use super::*;

fn owns(at: u64, member: u16, granted: &[(u16, u16)], until: u64) -> Line {
    let event = Event::Owns { floor: vec![], granted: granted.to_vec(), until };
    Line { at, member, incarnation: 1, event }
}
fn spent(at: u64, member: u16, unit: u16) -> Line {
    Line { at, member, incarnation: 1, event: Event::Spent { unit } }
}

#[test]
fn a_correct_record_has_no_violations() {
    let lines = [
        owns(0, 1, &[(0, 4)], 500),
        owns(100, 1, &[(0, 2)], 600),
        owns(150, 2, &[(2, 4)], 700),
        spent(160, 2, 2),
        spent(300, 2, 2),
        owns(650, 3, &[(0, 2)], 900),
    ];
    let report = judge(&lines, 4, 100, 0);
    assert_eq!((report.owned, report.spent, report.spends, report.violations.len()), (1.0, 0.25, 2, 0));
}

#[test]
fn owned_units_are_sampled_over_time() {
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
fn two_owners_are_detected_even_if_one_has_died() {
    let report = judge(&[owns(0, 1, &[(0, 2)], 500), owns(400, 2, &[(1, 2)], 900)], 2, 100, 0);
    assert_eq!(report.violations, ["unit 1 had two owners, 1 and 2, for 100 us"]);
    assert_eq!(report.owned, 1.5);
}

#[test]
fn an_overlap_is_detected_behind_a_later_incarnation_of_the_first_owner() {
    let again = Line { incarnation: 2, ..owns(100, 1, &[(0, 1)], 200) };
    let report = judge(&[owns(0, 1, &[(0, 1)], 900), again, owns(500, 2, &[(0, 1)], 600)], 2, 100, 0);
    assert_eq!(report.violations, ["unit 0 had two owners, 1 and 2, for 100 us"]);
}

#[test]
fn a_unit_spent_twice_in_its_window_is_detected() {
    let report = judge(&[spent(0, 1, 0), spent(99, 2, 0)], 1, 100, 0);
    assert_eq!(report.violations, ["unit 0 was spent by 1, and by 2 99 us later"]);
    assert_eq!(report.spent, 2.0);
    assert!(judge(&[spent(0, 1, 0), spent(100, 2, 0)], 1, 100, 0).violations.is_empty());
}
