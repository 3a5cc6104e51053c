//! Rows of the register: the cost of a follower, a voter and the leader in a steady group and after faults.

pub mod group;

use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::bounds::{MAX_CONTROL_TRAFFIC, MAX_LINK_TRAFFIC};
use crate::rows::member_costs::{
    all_regions, cost_metrics, heap_bytes, isolate_region, mean_cost, single_region, CostMetrics, MemberCost,
};
use crate::rows::network::{Conditions, Micros, TrafficCount, MILLISECOND, REGIONS, SECOND};
use group::{Group, Plan, RecordLoad};

/// Bytes that a link of `badgerwind-fleet` adds to each message: its length (4), and the length (2) and the
/// tag (16) of an encrypted frame.
pub const FRAME_BYTES: f64 = 22.0;

/// Time over which the starts of a steady group's followers are spread: several heartbeat intervals.
const START_SPREAD: Micros = 2 * SECOND;
/// Time limit for all members to hold a lease after the last start.
const SETTLE_TIMEOUT: Micros = 60 * SECOND;
/// Additional time before the counts of a settled group begin, for the log to become quiet.
const QUIET_TIME: Micros = 3 * SECOND;
/// Time over which a steady group is measured.
const MEASUREMENT_TIME: Micros = 10 * SECOND;
/// Number of followers whose processor time and heap are measured.
const SAMPLED_FOLLOWERS: usize = 8;
/// Log entries that voters retain, as in the register's default settings.
const RETAINED_ENTRIES: u64 = 4_096;
/// Estimated heap of one member's incarnation in another member's replica, in bytes.
const INCARNATION_BYTES: u64 = 90;
/// Estimated heap of a hollow member without the incarnations in its replica, in bytes.
const MEMBER_BYTES: u64 = 24_000;

fn estimated_heap_bytes(members: u64) -> u64 {
    members * members * INCARNATION_BYTES + members * MEMBER_BYTES
}

/// Costs of the three roles in a steady group.
#[derive(Debug, Clone, Copy)]
pub struct SteadyCosts {
    /// Mean cost of a follower.
    pub follower: MemberCost,
    /// Mean cost of a voter that is not the leader.
    pub voter: MemberCost,
    /// Cost of the leader.
    pub leader: MemberCost,
}

/// Starts a group and runs it until all members hold a lease and the log is quiet.
pub fn start_settled(plan: Plan, row: &'static str) -> Result<Group, ScaleError> {
    let members = plan.members;
    let mut group = Group::new(plan);
    let voters = group.voters();
    group.start(&voters);
    // The starts are spread, because members that start at the same moment also renew their leases at the
    // same moments from then on.
    for follower in group.followers() {
        group.start(&[follower]);
        group.run(START_SPREAD / members as Micros);
    }
    let mut elapsed = 0;
    while group.lease_holder_count() < members {
        if elapsed >= SETTLE_TIMEOUT {
            let holders = group.lease_holder_count();
            let reason = format!("{holders} of {members} members hold a lease after {SETTLE_TIMEOUT} us");
            return Err(ScaleError::NotSettled { row, size: members as u64, reason });
        }
        group.run(100 * MILLISECOND);
        elapsed += 100 * MILLISECOND;
    }
    group.run(QUIET_TIME);
    Ok(group)
}

/// Measures a steady group over a duration.
pub fn measure_steady(plan: Plan, duration: Micros, row: &'static str) -> Result<SteadyCosts, ScaleError> {
    let size = plan.members as u64;
    let mut group = start_settled(plan, row)?;
    let not_settled = |reason: &str| ScaleError::NotSettled { row, size, reason: reason.into() };
    let leader = group.leader().ok_or_else(|| not_settled("there is no leader"))?;
    let followers = group.followers();
    let voters: Vec<usize> = group.voters().into_iter().filter(|voter| *voter != leader).collect();
    let sample: Vec<usize> = followers.iter().copied().take(SAMPLED_FOLLOWERS).collect();
    let tracked = [&sample[..], &voters[..], &[leader][..]].concat();
    group.reset_counts();
    group.processor_times.track(&tracked);
    group.run(duration);
    if group.leader() != Some(leader) {
        return Err(not_settled("another leader was elected during the measurement"));
    }
    let seconds = duration as f64 / SECOND as f64;
    let traffic = mean_traffic(&mut group, &followers, seconds);
    let follower = mean_cost(&take_costs(&mut group, &sample, seconds));
    Ok(SteadyCosts {
        follower: MemberCost { messages: traffic.messages, bytes: traffic.bytes, ..follower },
        voter: mean_cost(&take_costs(&mut group, &voters, seconds)),
        leader: mean_cost(&take_costs(&mut group, &[leader], seconds)),
    })
}

/// Mean messages and bytes a second of these members; the processor time and the heap are 0.
fn mean_traffic(group: &mut Group, members: &[usize], seconds: f64) -> MemberCost {
    let traffic = |member: &usize| {
        let TrafficCount { messages, bytes } = group.network_mut().traffic(*member);
        MemberCost {
            messages: messages as f64 / seconds,
            bytes: bytes as f64 / seconds,
            ..MemberCost::default()
        }
    };
    mean_cost(&members.iter().map(traffic).collect::<Vec<_>>())
}

/// The cost of each of these members. Removes their nodes from the group to measure the heap.
fn take_costs(group: &mut Group, members: &[usize], seconds: f64) -> Vec<MemberCost> {
    let cost = |member: &usize| {
        let traffic = mean_traffic(group, &[*member], seconds);
        let processor_us = group.processor_times.microseconds(*member) / seconds;
        let heap = group.take_node(*member).map_or(0.0, heap_bytes);
        MemberCost { processor_us, heap, ..traffic }
    };
    members.iter().map(cost).collect()
}

const FOLLOWER_METRICS: CostMetrics = cost_metrics!("follower");
const VOTER_METRICS: CostMetrics = cost_metrics!("voter");
const LEADER_METRICS: CostMetrics = cost_metrics!("leader");

/// A row that measures a steady group under a load of records.
#[derive(Debug)]
pub struct SteadyRow {
    name: &'static str,
    about: &'static str,
    sizes: &'static [u64],
    record_load: RecordLoad,
}

/// A steady group whose members only renew their leases.
pub const LEASES: SteadyRow = SteadyRow {
    name: "register-leases",
    about: "one group in one region, no records: members renew their leases and request the entries that \
         follow their log",
    sizes: &[10, 30, 100, 314, 520, 1_000, 1_570, 3_000],
    record_load: RecordLoad::None,
};

/// A steady group in which each member announces one record a second.
pub const RECORDS_EACH: SteadyRow = SteadyRow {
    name: "register-records-each",
    about: "one group in one region, one record of 32 bytes a second from each member, delivered to every \
         member",
    sizes: &[10, 30, 100, 314, 520, 1_000],
    record_load: RecordLoad::PerMember(SECOND),
};

/// A steady group that announces ten records a second in total.
pub const RECORDS_TEN: SteadyRow = SteadyRow {
    name: "register-records-ten",
    about: "one group in one region, ten records of 32 bytes a second in total",
    sizes: &[10, 30, 100, 314, 520, 1_000, 1_570, 3_000],
    record_load: RecordLoad::PerGroup(100 * MILLISECOND),
};

/// All rows of the register.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![
        Box::new(LEASES),
        Box::new(RECORDS_EACH),
        Box::new(RECORDS_TEN),
        Box::new(START),
        Box::new(RESTART_TENTH),
        Box::new(LEADER_LOST),
        Box::new(ZONE_LOST),
        Box::new(REGION_ISOLATED),
    ]
}

impl Row for SteadyRow {
    fn name(&self) -> &'static str {
        self.name
    }
    fn role(&self) -> Role {
        Role::Voter
    }
    fn about(&self) -> &'static str {
        self.about
    }
    fn variable(&self) -> &'static str {
        "members of the group"
    }
    fn default_sizes(&self) -> &'static [u64] {
        self.sizes
    }
    fn planned_size(&self) -> u64 {
        11_000
    }
    fn bounds(&self) -> Vec<Bound> {
        let control_machines =
            [VOTER_METRICS, LEADER_METRICS].into_iter().flat_map(|metrics| metrics.control_machine_bounds());
        FOLLOWER_METRICS.front_end_bounds().into_iter().chain(control_machines).collect()
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        estimated_heap_bytes(size)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let plan = plan(size, seed, single_region(), self.record_load);
        let costs = measure_steady(plan, MEASUREMENT_TIME, self.name)?;
        let mut measurements = FOLLOWER_METRICS.measurements(&costs.follower, FRAME_BYTES);
        measurements.extend(VOTER_METRICS.measurements(&costs.voter, FRAME_BYTES));
        measurements.extend(LEADER_METRICS.measurements(&costs.leader, FRAME_BYTES));
        Ok(measurements)
    }
}

/// Parameters of a group without an injected defect.
pub fn plan(members: u64, seed: u64, conditions: Conditions, record_load: RecordLoad) -> Plan {
    let members = members as usize;
    Plan { members, conditions, seed, record_load, retained_entries: RETAINED_ENTRIES, mutant: None }
}

/// A fault of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// All members start at the same moment.
    Start,
    /// A tenth of the members, none of them a voter, are killed and restart together one second later.
    RestartTenth,
    /// The leader is killed and does not restart.
    LeaderLost,
    /// A third of the members, including voters, are killed and restart together after ten seconds.
    ZoneLost,
    /// One of seven regions is partitioned from the others until the voters no longer retain the entries that
    /// it lacks.
    RegionIsolated,
}

/// Number of zones over which the members of one region are distributed.
const ZONES_PER_REGION: usize = 3;
/// Duration of the loss of a zone or of the isolation of a region.
const OUTAGE: Micros = 10 * SECOND;
/// Time over which a group is observed after a fault or after its end.
const OBSERVATION_TIME: Micros = 12 * SECOND;
/// Interval at which the lease holders are counted.
const CHECK_INTERVAL: Micros = 50 * MILLISECOND;
/// Log entries retained during the isolation of a region: fewer than are written in that time, so that its
/// ten seconds have the effect of an hour.
const ISOLATION_RETAINED_ENTRIES: u64 = 32;
/// Records that a group announces during a fault: ten a second in total.
const FAULT_RECORD_LOAD: RecordLoad = RecordLoad::PerGroup(100 * MILLISECOND);

/// The observed effect of a fault.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultEffect {
    /// Peak traffic of any voter in one second.
    pub voter_peak: TrafficCount,
    /// Peak traffic of any follower in one second.
    pub follower_peak: TrafficCount,
    /// Seconds from the last step of the fault to the last check at which fewer than 99% of the running
    /// members held a lease.
    pub seconds_until_leased: f64,
    /// Seconds until there is a leader, counted from the loss in [`Fault::ZoneLost`] and otherwise from the
    /// last step of the fault.
    pub seconds_until_leader: f64,
    /// Number of incarnations that ended.
    pub incarnations_ended: u64,
}

/// Simulates a fault and observes its effect.
pub fn run_fault(fault: Fault, mut plan: Plan, row: &'static str) -> Result<FaultEffect, ScaleError> {
    if fault == Fault::RegionIsolated {
        plan.retained_entries = ISOLATION_RETAINED_ENTRIES;
    }
    let mut group = if fault == Fault::Start { Group::new(plan) } else { start_settled(plan, row)? };
    let ended_before = group.ended_incarnation_count();
    group.reset_counts();
    let times = match fault {
        Fault::Start => {
            group.start(&group.all_members());
            observe(&mut group, OBSERVATION_TIME)
        }
        Fault::RestartTenth => {
            let followers = group.followers();
            let tenth: Vec<usize> = followers.iter().copied().take(followers.len().div_ceil(10)).collect();
            group.kill(&tenth);
            group.run(SECOND);
            group.start(&tenth);
            observe(&mut group, OBSERVATION_TIME)
        }
        Fault::LeaderLost => {
            group.kill(&group.leader().into_iter().collect::<Vec<_>>());
            observe(&mut group, OBSERVATION_TIME)
        }
        Fault::ZoneLost => {
            let zone: Vec<usize> =
                group.all_members().into_iter().filter(|member| member % ZONES_PER_REGION == 0).collect();
            group.kill(&zone);
            let during_outage = observe(&mut group, OUTAGE);
            group.start(&zone);
            RecoveryTimes {
                until_leader: during_outage.until_leader,
                ..observe(&mut group, OBSERVATION_TIME)
            }
        }
        Fault::RegionIsolated => {
            isolate_region(group.network_mut(), REGIONS - 1);
            group.run(OUTAGE);
            group.network_mut().heal();
            observe(&mut group, OBSERVATION_TIME)
        }
    };
    Ok(FaultEffect {
        voter_peak: group.peaks().max_among(&group.voters()),
        follower_peak: group.peaks().max_among(&group.followers()),
        seconds_until_leased: times.until_leased,
        seconds_until_leader: times.until_leader,
        incarnations_ended: (group.ended_incarnation_count() - ended_before) as u64,
    })
}

/// Seconds from the start of an observation.
struct RecoveryTimes {
    /// Until the last check at which fewer than 99% of the running members held a lease.
    until_leased: f64,
    /// Until the first check at which there was a leader.
    until_leader: f64,
}

/// Runs a group for a duration and checks it at intervals.
fn observe(group: &mut Group, duration: Micros) -> RecoveryTimes {
    let (mut last_unleased_check, mut first_leader_check) = (0, None);
    for check in 1..=duration / CHECK_INTERVAL {
        group.run(CHECK_INTERVAL);
        if group.lease_holder_count() * 100 < group.running_count() * 99 {
            last_unleased_check = check;
        }
        if first_leader_check.is_none() && group.leader().is_some() {
            first_leader_check = Some(check);
        }
    }
    // Times shorter than one check interval cannot be observed.
    let seconds = |checks: u64| (checks.max(1) * CHECK_INTERVAL) as f64 / SECOND as f64;
    RecoveryTimes {
        until_leased: seconds(last_unleased_check),
        until_leader: seconds(first_leader_check.unwrap_or(duration / CHECK_INTERVAL)),
    }
}

const VOTER_PEAK_MESSAGES: Metric =
    Metric { name: "busiest voter, messages in its busiest second", unit: "messages/s" };
const VOTER_PEAK_BYTES: Metric = Metric { name: "busiest voter, bytes in its busiest second", unit: "B/s" };
const FOLLOWER_PEAK_MESSAGES: Metric =
    Metric { name: "busiest follower, messages in its busiest second", unit: "messages/s" };
const FOLLOWER_PEAK_BYTES: Metric =
    Metric { name: "busiest follower, bytes in its busiest second", unit: "B/s" };
const UNTIL_LEASED: Metric = Metric { name: "until 99 of 100 hold a lease", unit: "s" };
const UNTIL_LEADER: Metric = Metric { name: "until a leader", unit: "s" };
const INCARNATIONS_ENDED: Metric = Metric { name: "lives ended", unit: "lives" };

/// A row that measures the effect of a fault on a group.
#[derive(Debug)]
pub struct FaultRow {
    name: &'static str,
    about: &'static str,
    sizes: &'static [u64],
    conditions: fn() -> Conditions,
    fault: Fault,
}

const FAULT_SIZES: &[u64] = &[10, 30, 100, 314, 520, 1_000, 1_570];

/// All members of a group start at the same moment.
pub const START: FaultRow = FaultRow {
    name: "register-start",
    about: "one group in one region, ten records a second, all members start at the same moment",
    sizes: FAULT_SIZES,
    conditions: single_region,
    fault: Fault::Start,
};

/// A tenth of the members is killed and restarts.
pub const RESTART_TENTH: FaultRow = FaultRow {
    name: "register-restart-tenth",
    about: "one group in one region, ten records a second, a tenth of the members killed and restarted \
         together 1 s later",
    sizes: FAULT_SIZES,
    conditions: single_region,
    fault: Fault::RestartTenth,
};

/// The control machine of the leader is lost.
pub const LEADER_LOST: FaultRow = FaultRow {
    name: "register-leader-lost",
    about: "one group in one region, ten records a second, the leader of five voters lost permanently",
    sizes: FAULT_SIZES,
    conditions: single_region,
    fault: Fault::LeaderLost,
};

/// A zone is lost and restarts.
pub const ZONE_LOST: FaultRow = FaultRow {
    name: "register-zone-lost",
    about:
        "one group in one region, ten records a second, one of three zones (two of five voters in it) lost \
         for 10 s",
    sizes: FAULT_SIZES,
    conditions: single_region,
    fault: Fault::ZoneLost,
};

/// A region is partitioned from the others and reconnected.
pub const REGION_ISOLATED: FaultRow = FaultRow {
    name: "register-region-apart",
    about: "one group over seven regions, ten records a second, one region cut off until voters no longer \
         retain the entries that it lacks",
    sizes: &[30, 100, 314, 520, 1_000, 1_570],
    conditions: all_regions,
    fault: Fault::RegionIsolated,
};

impl Row for FaultRow {
    fn name(&self) -> &'static str {
        self.name
    }
    fn role(&self) -> Role {
        Role::Voter
    }
    fn about(&self) -> &'static str {
        self.about
    }
    fn variable(&self) -> &'static str {
        "members of the group"
    }
    fn default_sizes(&self) -> &'static [u64] {
        self.sizes
    }
    fn planned_size(&self) -> u64 {
        11_000
    }
    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound { metric: VOTER_PEAK_BYTES, max: MAX_LINK_TRAFFIC, source: "a link of 1 Gbit/s (assumed)" },
            Bound {
                metric: FOLLOWER_PEAK_BYTES,
                max: MAX_CONTROL_TRAFFIC,
                source: "6 KB a second for control, in and out",
            },
        ]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        estimated_heap_bytes(size)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let plan = plan(size, seed, (self.conditions)(), FAULT_RECORD_LOAD);
        let effect = run_fault(self.fault, plan, self.name)?;
        let measurement = |metric, value| Measurement { metric, value };
        Ok(vec![
            measurement(VOTER_PEAK_MESSAGES, effect.voter_peak.messages as f64),
            measurement(VOTER_PEAK_BYTES, effect.voter_peak.bytes as f64),
            measurement(FOLLOWER_PEAK_MESSAGES, effect.follower_peak.messages as f64),
            measurement(FOLLOWER_PEAK_BYTES, effect.follower_peak.bytes as f64),
            measurement(UNTIL_LEASED, effect.seconds_until_leased),
            measurement(UNTIL_LEADER, effect.seconds_until_leader),
            measurement(INCARNATIONS_ENDED, effect.incarnations_ended as f64),
        ])
    }
}
