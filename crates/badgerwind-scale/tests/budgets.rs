//! Traffic of hollow budget groups, checked against bounds at a small and a medium size. Each check of growth
//! must also fail for a group with an injected defect that makes a cost grow with the number of members.

use badgerwind_scale::rows::budgets::group::{Mutant, Plan};
use badgerwind_scale::rows::budgets::{measure_steady, plan, run_fault, Fault, SteadyCosts};
use badgerwind_scale::rows::member_costs::MemberCost;
use badgerwind_scale::rows::network::{Micros, SECOND};

const SMALL_GROUP: u64 = 30;
const MEDIUM_GROUP: u64 = 120;
const SEED: u64 = 5;
const MEASUREMENT_TIME: Micros = 4 * SECOND;

fn costs(members: u64, budgets: usize, mutant: Option<Mutant>) -> SteadyCosts {
    let plan = Plan { mutant, ..plan(members, budgets, SEED) };
    measure_steady(plan, MEASUREMENT_TIME, "test").unwrap()
}

/// Checks that a cost grows at most by this factor from the small to the medium group.
fn check_growth(name: &str, max_factor: f64, cost: impl Fn(u64) -> f64) -> Result<(), String> {
    let (small, medium) = (cost(SMALL_GROUP), cost(MEDIUM_GROUP));
    if medium <= small * max_factor {
        return Ok(());
    }
    Err(format!(
        "{name}: {small:.1} with {SMALL_GROUP} members, {medium:.1} with {MEDIUM_GROUP}; the maximum factor \
         is {max_factor}"
    ))
}

/// Checks that the traffic of a member does not grow with the group.
fn check_member(mutant: Option<Mutant>) -> Result<(), String> {
    let of = |part: fn(&MemberCost) -> f64| move |members| part(&costs(members, 1, mutant).member);
    check_growth("messages of a member", 1.1, of(|cost| cost.messages))?;
    check_growth("bytes of a member", 1.2, of(|cost| cost.bytes))
}

#[test]
fn traffic_of_a_member_does_not_grow_with_the_group() {
    check_member(None).unwrap();
    assert!(check_member(Some(Mutant::BroadcastMessages)).is_err(), "broadcast messages must be detected");
}

/// Checks that the messages of the coordinator grow at most linearly with the group.
fn check_coordinator(mutant: Option<Mutant>) -> Result<(), String> {
    let growth = MEDIUM_GROUP as f64 / SMALL_GROUP as f64;
    check_growth("messages of the coordinator", growth * 1.1, |members| {
        costs(members, 1, mutant).coordinator.messages
    })
}

#[test]
fn messages_of_the_coordinator_grow_linearly_with_the_group() {
    check_coordinator(None).unwrap();
    assert!(check_coordinator(Some(Mutant::BroadcastMessages)).is_err(), "quadratic growth must be detected");
}

#[test]
fn each_budget_adds_one_request_and_one_answer_per_request_interval() {
    let messages = |budgets| costs(SMALL_GROUP, budgets, None).member.messages;
    let per_budget = (messages(4) - messages(1)) / 3.0;
    assert!((6.0..7.5).contains(&per_budget), "{per_budget} messages a second for each additional budget");
}

#[test]
fn a_lost_coordinator_is_replaced_and_members_own_units_again_in_time() {
    let effect = run_fault(Fault::CoordinatorLost, plan(MEDIUM_GROUP, 1, SEED), "test").unwrap();
    assert!(effect.seconds_until_coordinator <= 4.0, "{effect:?}");
    assert!(effect.seconds_until_owning <= 10.0, "{effect:?}");
    assert!(effect.member_peak.messages < 40, "{effect:?}");
}

#[test]
fn a_reconnected_region_owns_units_again_within_a_lease_and_a_cooldown() {
    let effect = run_fault(Fault::RegionIsolated, plan(MEDIUM_GROUP, 1, SEED), "test").unwrap();
    assert!(effect.seconds_until_owning <= 5.0, "{effect:?}");
}

#[test]
fn counts_are_reproducible_for_a_seed() {
    let counts = || {
        let SteadyCosts { member, voter, coordinator } = costs(SMALL_GROUP, 2, None);
        [member, voter, coordinator].map(|cost| (cost.messages, cost.bytes))
    };
    assert_eq!(counts(), counts());
}
