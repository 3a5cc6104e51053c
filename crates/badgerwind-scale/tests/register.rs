//! Traffic of hollow register groups, checked against bounds at a small and a medium size. Each check of
//! growth must also fail for a group with an injected defect that makes a cost grow with the number of
//! members.

use badgerwind_scale::rows::member_costs::{all_regions, single_region, MemberCost};
use badgerwind_scale::rows::network::{Micros, MILLISECOND, SECOND};
use badgerwind_scale::rows::register::group::{Mutant, Plan, RecordLoad};
use badgerwind_scale::rows::register::{measure_steady, plan, run_fault, Fault, SteadyCosts};

const SMALL_GROUP: u64 = 30;
const MEDIUM_GROUP: u64 = 120;
const SEED: u64 = 5;
const MEASUREMENT_TIME: Micros = 4 * SECOND;
/// Ten records a second from the whole group.
const TEN_IN_TOTAL: RecordLoad = RecordLoad::PerGroup(100 * MILLISECOND);
/// One record a second from each member.
const ONE_PER_MEMBER: RecordLoad = RecordLoad::PerMember(SECOND);

fn costs(members: u64, record_load: RecordLoad, mutant: Option<Mutant>) -> SteadyCosts {
    let plan = Plan { mutant, ..plan(members, SEED, single_region(), record_load) };
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

/// Checks that the traffic of a follower does not grow with the group.
fn check_follower(record_load: RecordLoad, mutant: Option<Mutant>) -> Result<(), String> {
    let of =
        |part: fn(&MemberCost) -> f64| move |members| part(&costs(members, record_load, mutant).follower);
    check_growth("messages of a follower", 1.1, of(|cost| cost.messages))?;
    check_growth("bytes of a follower", 1.1, of(|cost| cost.bytes))
}

#[test]
fn traffic_of_a_follower_does_not_grow_with_the_group() {
    check_follower(RecordLoad::None, None).unwrap();
    check_follower(TEN_IN_TOTAL, None).unwrap();
}

#[test]
fn renewals_in_the_log_and_broadcast_messages_are_detected() {
    for mutant in [Mutant::RenewalsInLog, Mutant::BroadcastMessages] {
        let result = check_follower(RecordLoad::None, Some(mutant));
        assert!(result.is_err(), "{mutant:?}");
    }
}

/// Checks that the messages of the leader grow at most linearly with the group.
fn check_leader(mutant: Option<Mutant>) -> Result<(), String> {
    let growth = MEDIUM_GROUP as f64 / SMALL_GROUP as f64;
    let messages = |members| costs(members, RecordLoad::None, mutant).leader.messages;
    check_growth("messages of the leader", growth * 1.1, messages)
}

#[test]
fn messages_of_the_leader_grow_linearly_with_the_group() {
    check_leader(None).unwrap();
    assert!(check_leader(Some(Mutant::BroadcastMessages)).is_err(), "quadratic growth must be detected");
}

/// Checks the bytes at each follower for one record of another member.
fn check_record_bytes(mutant: Option<Mutant>) -> Result<(), String> {
    const MAX_BYTES: f64 = 50.0;
    let bytes = |members| costs(members, ONE_PER_MEMBER, mutant).follower.bytes;
    let per_record = (bytes(MEDIUM_GROUP) - bytes(SMALL_GROUP)) / (MEDIUM_GROUP - SMALL_GROUP) as f64;
    if per_record <= MAX_BYTES {
        return Ok(());
    }
    Err(format!("{per_record:.1} bytes at each follower for a record of 32 bytes, more than {MAX_BYTES}"))
}

#[test]
fn each_record_is_sent_to_each_follower_once() {
    check_record_bytes(None).unwrap();
    assert!(check_record_bytes(Some(Mutant::RenewalsInLog)).is_err(), "records of renewals must be detected");
}

#[test]
fn restarted_members_end_one_incarnation_each_and_hold_leases_again_within_two_lease_times() {
    let effect =
        run_fault(Fault::RestartTenth, plan(MEDIUM_GROUP, SEED, single_region(), TEN_IN_TOTAL), "test")
            .unwrap();
    let tenth = (MEDIUM_GROUP - 5).div_ceil(10);
    assert_eq!(effect.incarnations_ended, tenth, "{effect:?}");
    assert!(effect.seconds_until_leased <= 4.0, "{effect:?}");
    // A voter's traffic: requests and entries of its share of the followers, and as leader two messages per
    // heartbeat for each member.
    assert!(effect.voter_peak.messages < 30 * MEDIUM_GROUP, "{effect:?}");
}

#[test]
fn the_loss_of_the_leader_ends_no_other_incarnation() {
    let effect =
        run_fault(Fault::LeaderLost, plan(MEDIUM_GROUP, SEED, single_region(), TEN_IN_TOTAL), "test")
            .unwrap();
    assert!(effect.seconds_until_leader <= 1.0, "{effect:?}");
    assert_eq!(effect.incarnations_ended, 1, "only the leader's incarnation ends: {effect:?}");
}

#[test]
fn a_reconnected_region_catches_up_and_holds_leases_again() {
    let effect =
        run_fault(Fault::RegionIsolated, plan(MEDIUM_GROUP, SEED, all_regions(), TEN_IN_TOTAL), "test")
            .unwrap();
    assert!(effect.seconds_until_leased <= 4.0, "{effect:?}");
}

#[test]
fn counts_are_reproducible_for_a_seed() {
    let counts = || {
        let SteadyCosts { follower, voter, leader } = costs(SMALL_GROUP, ONE_PER_MEMBER, None);
        [follower, voter, leader].map(|cost| (cost.messages, cost.bytes))
    };
    assert_eq!(counts(), counts());
}
