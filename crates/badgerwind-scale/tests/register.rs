//! Counts of the register's hollow groups, held to their bounds at small and middle sizes; each check is shown to fail when
//! the cost of one part is made to grow with the members on purpose.

use badgerwind_scale::rows::load::{all_regions, single_region, MemberCost};
use badgerwind_scale::rows::network::{Micros, MILLISECOND, SECOND};
use badgerwind_scale::rows::register::group::{Mutant, Plan, Records};
use badgerwind_scale::rows::register::{plan, play, steady, Hour, SteadyLoads};

const SMALL: u64 = 30;
const MIDDLE: u64 = 120;
const SEED: u64 = 5;
const WINDOW: Micros = 4 * SECOND;
/// Ten records a second over the whole group.
const TEN: Records = Records::WholeGroup(100 * MILLISECOND);
const ONE_EACH: Records = Records::EachMember(SECOND);

fn loads(members: u64, records: Records, mutant: Option<Mutant>) -> SteadyLoads {
    let plan = Plan { mutant, ..plan(members, SEED, single_region(), records) };
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

fn follower_stays_the_same(records: Records, mutant: Option<Mutant>) -> Result<(), String> {
    let of = |part: fn(&MemberCost) -> f64| move |members| part(&loads(members, records, mutant).follower);
    grows_at_most("messages of a follower", 1.1, of(|load| load.messages))?;
    grows_at_most("bytes of a follower", 1.1, of(|load| load.bytes))
}

#[test]
fn a_follower_costs_the_same_in_a_larger_group() {
    follower_stays_the_same(Records::None, None).unwrap();
    follower_stays_the_same(TEN, None).unwrap();
}

#[test]
fn renewals_written_to_the_log_or_said_to_all_are_found() {
    for mutant in [Mutant::RenewalsAreRecords, Mutant::EverythingToAll] {
        let found = follower_stays_the_same(Records::None, Some(mutant));
        assert!(found.is_err(), "{mutant:?}");
    }
}

fn leader_grows_linearly(mutant: Option<Mutant>) -> Result<(), String> {
    let growth = MIDDLE as f64 / SMALL as f64;
    let messages = |members| loads(members, Records::None, mutant).leader.messages;
    grows_at_most("messages of the leader", growth * 1.1, messages)
}

#[test]
fn a_leader_hears_of_each_member_once_a_beat() {
    leader_grows_linearly(None).unwrap();
    assert!(leader_grows_linearly(Some(Mutant::EverythingToAll)).is_err(), "a square is found");
}

/// What one record of one member costs each other member, in bytes.
fn bytes_of_a_record(mutant: Option<Mutant>) -> Result<(), String> {
    const MOST: f64 = 50.0;
    let bytes = |members| loads(members, ONE_EACH, mutant).follower.bytes;
    let each = (bytes(MIDDLE) - bytes(SMALL)) / (MIDDLE - SMALL) as f64;
    if each <= MOST {
        return Ok(());
    }
    Err(format!("{each:.1} bytes at each follower for a record of 32 bytes, over {MOST}"))
}

#[test]
fn each_record_reaches_each_follower_once() {
    bytes_of_a_record(None).unwrap();
    assert!(
        bytes_of_a_record(Some(Mutant::RenewalsAreRecords)).is_err(),
        "records that nobody wrote are found"
    );
}

#[test]
fn a_tenth_that_restarts_loses_its_lives_once_and_is_back_within_two_leases() {
    let seen = play(Hour::RestartTenth, plan(MIDDLE, SEED, single_region(), TEN), "test").unwrap();
    let tenth = (MIDDLE - 5).div_ceil(10);
    assert_eq!(seen.lives_ended, tenth, "{seen:?}");
    assert!(seen.until_leased <= 4.0, "{seen:?}");
    // A voter: its part of followers that ask and are fed, and as leader two messages a beat of each member.
    assert!(seen.voter.messages < 30 * MIDDLE, "{seen:?}");
}

#[test]
fn a_leader_that_is_lost_costs_nobody_its_life() {
    let seen = play(Hour::LeaderLost, plan(MIDDLE, SEED, single_region(), TEN), "test").unwrap();
    assert!(seen.until_leader <= 1.0, "{seen:?}");
    assert_eq!(seen.lives_ended, 1, "the leader's own life alone: {seen:?}");
}

#[test]
fn a_region_that_was_apart_gets_all_that_stands() {
    let seen = play(Hour::RegionApart, plan(MIDDLE, SEED, all_regions(), TEN), "test").unwrap();
    assert!(seen.until_leased <= 4.0, "{seen:?}");
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let counts = || {
        let SteadyLoads { follower, voter, leader } = loads(SMALL, ONE_EACH, None);
        [follower, voter, leader].map(|load| (load.messages, load.bytes))
    };
    assert_eq!(counts(), counts());
}
