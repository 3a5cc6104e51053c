//! Counts of the budgets' hollow groups, held to their bounds at small and middle sizes; each check is shown to fail when the
//! cost of one part is made to grow with the members on purpose.

use badgerwind_scale::rows::budgets::group::{Mutant, Plan};
use badgerwind_scale::rows::budgets::{plan, play, steady, Hour, SteadyLoads};
use badgerwind_scale::rows::load::MemberCost;
use badgerwind_scale::rows::network::{Micros, SECOND};

const SMALL: u64 = 30;
const MIDDLE: u64 = 120;
const SEED: u64 = 5;
const WINDOW: Micros = 4 * SECOND;

fn loads(members: u64, budgets: usize, mutant: Option<Mutant>) -> SteadyLoads {
    let plan = Plan { mutant, ..plan(members, budgets, SEED) };
    steady(plan, WINDOW, "test").unwrap()
}

/// From the small to the middle group, a figure may grow by this factor at the most.
fn grows_at_most(what: &str, factor: f64, of: impl Fn(u64) -> f64) -> Result<(), String> {
    let (small, middle) = (of(SMALL), of(MIDDLE));
    if middle <= small * factor {
        return Ok(());
    }
    Err(format!("{what}: {small:.1} at {SMALL} members, {middle:.1} at {MIDDLE}: more than {factor} times"))
}

fn member_stays_the_same(mutant: Option<Mutant>) -> Result<(), String> {
    let of = |part: fn(&MemberCost) -> f64| move |members| part(&loads(members, 1, mutant).member);
    grows_at_most("messages of a member", 1.1, of(|load| load.messages))?;
    grows_at_most("bytes of a member", 1.2, of(|load| load.bytes))
}

#[test]
fn a_member_costs_the_same_in_a_larger_group() {
    member_stays_the_same(None).unwrap();
    assert!(member_stays_the_same(Some(Mutant::EverythingToAll)).is_err(), "what is said to all is found");
}

fn coordinator_grows_linearly(mutant: Option<Mutant>) -> Result<(), String> {
    let growth = MIDDLE as f64 / SMALL as f64;
    grows_at_most("messages of the coordinator", growth * 1.1, |members| {
        loads(members, 1, mutant).coordinator.messages
    })
}

#[test]
fn a_coordinator_answers_each_member_once_a_beat() {
    coordinator_grows_linearly(None).unwrap();
    assert!(coordinator_grows_linearly(Some(Mutant::EverythingToAll)).is_err(), "a square is found");
}

#[test]
fn each_budget_costs_a_member_one_question_and_one_answer_a_beat() {
    let messages = |budgets| loads(SMALL, budgets, None).member.messages;
    let each = (messages(4) - messages(1)) / 3.0;
    assert!((6.0..7.5).contains(&each), "{each} messages a second for each further budget");
}

#[test]
fn a_coordinator_that_is_lost_is_followed_by_another_before_leases_end() {
    let seen = play(Hour::CoordinatorLost, plan(MIDDLE, 1, SEED), "test").unwrap();
    assert!(seen.until_coordinator <= 4.0, "{seen:?}");
    assert!(seen.until_owning <= 10.0, "{seen:?}");
    assert!(seen.member.messages < 40, "{seen:?}");
}

#[test]
fn a_region_that_was_apart_owns_units_again_within_a_lease_and_a_rest() {
    let seen = play(Hour::RegionApart, plan(MIDDLE, 1, SEED), "test").unwrap();
    assert!(seen.until_owning <= 5.0, "{seen:?}");
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let counts = || {
        let SteadyLoads { member, voter, coordinator } = loads(SMALL, 2, None);
        [member, voter, coordinator].map(|load| (load.messages, load.bytes))
    };
    assert_eq!(counts(), counts());
}
