//! Rows of the budgets: the cost of a member, a voter and the lease coordinator in a steady group and after
//! faults.

pub mod group;

use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::bounds::{MAX_CONTROL_TRAFFIC, MAX_LINK_TRAFFIC};
use crate::rows::member_costs::{
    all_regions, cost_metrics, heap_bytes, isolate_region, mean_cost, CostMetrics, MemberCost,
};
use crate::rows::members::ENVELOPE_BYTES;
use crate::rows::network::{Area, Micros, TrafficCount, MILLISECOND, REGIONS, SECOND};
use group::{Group, Plan};

/// Bytes that a datagram between front ends adds to each message: the sender's number (4), the counter (8)
/// and the tag (16).
pub const FRAME_BYTES: f64 = ENVELOPE_BYTES as f64;

/// Time limit for the members to own units after the start.
const SETTLE_TIMEOUT: Micros = 60 * SECOND;
/// Additional time before the counts of a settled group begin.
const QUIET_TIME: Micros = 3 * SECOND;
/// Time over which a steady group is measured.
const MEASUREMENT_TIME: Micros = 6 * SECOND;
/// Number of members whose processor time and heap are measured.
const SAMPLED_MEMBERS: usize = 8;
/// Estimated heap per budget of a hollow member and of its units at the coordinator, in bytes.
const MEMBER_BYTES: u64 = 8_000;
/// Percentage of the running members that must own units.
const OWNER_PERCENT: usize = 99;

fn estimated_heap_bytes(members: u64, budgets: u64) -> u64 {
    members * MEMBER_BYTES * budgets
}

/// Costs of the three roles in a steady group.
#[derive(Debug, Clone, Copy)]
pub struct SteadyCosts {
    /// Mean cost of a member that is neither a voter nor the coordinator.
    pub member: MemberCost,
    /// Mean cost of a voter that is not the coordinator.
    pub voter: MemberCost,
    /// Cost of the lease coordinator.
    pub coordinator: MemberCost,
}

/// Starts a group and runs it until nearly all members own units.
pub fn start_settled(plan: Plan, row: &'static str) -> Result<Group, ScaleError> {
    let members = plan.members;
    let mut group = Group::new(plan);
    group.start(&group.all_members());
    let mut elapsed = 0;
    while group.owner_count() * 100 < members * OWNER_PERCENT {
        if elapsed >= SETTLE_TIMEOUT {
            let owners = group.owner_count();
            let reason = format!("{owners} of {members} members own units after {SETTLE_TIMEOUT} us");
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
    let coordinator = group.coordinator().ok_or_else(|| not_settled("there is no coordinator"))?;
    let members: Vec<usize> =
        group.non_voters().into_iter().filter(|member| *member != coordinator).collect();
    let voters: Vec<usize> = group.voters().into_iter().filter(|voter| *voter != coordinator).collect();
    let sample: Vec<usize> = members.iter().copied().take(SAMPLED_MEMBERS).collect();
    let tracked = [&sample[..], &voters[..], &[coordinator][..]].concat();
    group.reset_counts();
    group.processor_times.track(&tracked);
    group.run(duration);
    if group.coordinator() != Some(coordinator) {
        return Err(not_settled("another coordinator was elected during the measurement"));
    }
    let seconds = duration as f64 / SECOND as f64;
    let traffic = mean_traffic(&mut group, &members, seconds);
    let member = mean_cost(&take_costs(&mut group, &sample, seconds));
    Ok(SteadyCosts {
        member: MemberCost { messages: traffic.messages, bytes: traffic.bytes, ..member },
        voter: mean_cost(&take_costs(&mut group, &voters, seconds)),
        coordinator: mean_cost(&take_costs(&mut group, &[coordinator], seconds)),
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

const MEMBER_METRICS: CostMetrics = cost_metrics!("member");
const VOTER_METRICS: CostMetrics = cost_metrics!("voter");
const COORDINATOR_METRICS: CostMetrics = cost_metrics!("coordinator");

/// Measurements of all three roles.
fn steady_measurements(costs: &SteadyCosts) -> Vec<Measurement> {
    let mut measurements = MEMBER_METRICS.measurements(&costs.member, FRAME_BYTES);
    measurements.extend(VOTER_METRICS.measurements(&costs.voter, FRAME_BYTES));
    measurements.extend(COORDINATOR_METRICS.measurements(&costs.coordinator, FRAME_BYTES));
    measurements
}

/// Bounds of all three roles. Voters and coordinators are front ends or control machines, so that the looser
/// bounds of a control machine apply to them.
fn steady_bounds() -> Vec<Bound> {
    let control_machines =
        [VOTER_METRICS, COORDINATOR_METRICS].into_iter().flat_map(|metrics| metrics.control_machine_bounds());
    MEMBER_METRICS.front_end_bounds().into_iter().chain(control_machines).collect()
}

/// Parameters of a group over all regions without an injected defect.
pub fn plan(members: u64, budgets: usize, seed: u64) -> Plan {
    Plan { members: members as usize, budgets, conditions: all_regions(), seed, mutant: None }
}

/// A row that measures a steady group by its number of members.
#[derive(Debug)]
pub struct SteadyRow;

/// A steady group with one budget.
pub const STEADY: SteadyRow = SteadyRow;

/// All rows of budgets.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![
        Box::new(STEADY),
        Box::new(BY_BUDGETS),
        Box::new(RESTART_TENTH),
        Box::new(RACK_LOST),
        Box::new(ZONE_LOST),
        Box::new(REGION_ISOLATED),
        Box::new(COORDINATOR_LOST),
    ]
}

impl Row for SteadyRow {
    fn name(&self) -> &'static str {
        "budgets-steady"
    }
    fn role(&self) -> Role {
        Role::LeaseCoordinator
    }
    fn about(&self) -> &'static str {
        "one budget, one coordinator for all members over seven regions, each member sends a lease request \
         every 300 ms"
    }
    fn variable(&self) -> &'static str {
        "members of the group"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 314, 520, 1_000, 1_570, 3_000]
    }
    fn planned_size(&self) -> u64 {
        11_000
    }
    fn bounds(&self) -> Vec<Bound> {
        steady_bounds()
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        estimated_heap_bytes(size, 1)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let costs = measure_steady(plan(size, 1, seed), MEASUREMENT_TIME, self.name())?;
        Ok(steady_measurements(&costs))
    }
}

/// A row that measures a steady group of one control machine's front ends by its number of budgets.
#[derive(Debug)]
pub struct ByBudgetsRow;

/// A steady group of 314 members with several budgets.
pub const BY_BUDGETS: ByBudgetsRow = ByBudgetsRow;

/// Front ends per control machine, of which the planned fleet has 35.
const FRONT_ENDS_PER_CONTROL_MACHINE: u64 = 314;

impl Row for ByBudgetsRow {
    fn name(&self) -> &'static str {
        "budgets-by-budgets"
    }
    fn role(&self) -> Role {
        Role::LeaseCoordinator
    }
    fn about(&self) -> &'static str {
        "314 members over seven regions, by the number of simultaneous budgets; 16 is an assumption, the \
         settings allow 256"
    }
    fn variable(&self) -> &'static str {
        "budgets"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[1, 2, 4, 8, 16]
    }
    fn planned_size(&self) -> u64 {
        16
    }
    fn bounds(&self) -> Vec<Bound> {
        steady_bounds()
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        estimated_heap_bytes(FRONT_ENDS_PER_CONTROL_MACHINE, size)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let plan = plan(FRONT_ENDS_PER_CONTROL_MACHINE, size as usize, seed);
        let costs = measure_steady(plan, MEASUREMENT_TIME, self.name())?;
        Ok(steady_measurements(&costs))
    }
}

/// A fault of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A tenth of the members, none of them a voter, are killed and restart together one second later.
    RestartTenth,
    /// Twenty members, or a tenth of a small group, are killed and do not restart.
    RackLost,
    /// The members of one of 21 zones, including a voter, are killed and restart together after ten seconds.
    ZoneLost,
    /// One of seven regions is partitioned from the others for longer than all its leases and reconnected.
    RegionIsolated,
    /// The coordinator is killed and does not restart.
    CoordinatorLost,
}

/// Members of a rack.
const RACK_MEMBERS: usize = 20;
/// Duration of the loss of a zone or of the isolation of a region.
const OUTAGE: Micros = 10 * SECOND;
/// Time over which a group is observed after a fault or after its end.
const OBSERVATION_TIME: Micros = 15 * SECOND;
/// Interval at which the owners of units are counted.
const CHECK_INTERVAL: Micros = 100 * MILLISECOND;

/// The observed effect of a fault.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultEffect {
    /// Peak traffic of the coordinator or of any voter in one second.
    pub coordinator_peak: TrafficCount,
    /// Peak traffic of any other member in one second.
    pub member_peak: TrafficCount,
    /// Seconds from the last step of the fault to the last check at which fewer than 99% of the running
    /// members owned units.
    pub seconds_until_owning: f64,
    /// Seconds until there is a coordinator, counted from the loss in [`Fault::ZoneLost`] and otherwise from
    /// the last step of the fault.
    pub seconds_until_coordinator: f64,
}

/// Simulates a fault and observes its effect.
pub fn run_fault(fault: Fault, plan: Plan, row: &'static str) -> Result<FaultEffect, ScaleError> {
    let mut group = start_settled(plan, row)?;
    group.reset_counts();
    let non_voters = group.non_voters();
    let tenth = non_voters.len().div_ceil(10);
    let times = match fault {
        Fault::RestartTenth => {
            let members = &non_voters[..tenth];
            group.kill(members);
            group.run(SECOND);
            group.start(members);
            observe(&mut group, OBSERVATION_TIME)
        }
        Fault::RackLost => {
            group.kill(&non_voters[..RACK_MEMBERS.min(tenth)]);
            observe(&mut group, OBSERVATION_TIME)
        }
        Fault::ZoneLost => {
            let zone = group.network_mut().members_in(Area::Zone(0));
            group.kill(&zone);
            let during_outage = observe(&mut group, OUTAGE);
            group.start(&zone);
            RecoveryTimes {
                until_coordinator: during_outage.until_coordinator,
                ..observe(&mut group, OBSERVATION_TIME)
            }
        }
        Fault::RegionIsolated => {
            isolate_region(group.network_mut(), REGIONS - 1);
            group.run(OUTAGE);
            group.network_mut().heal();
            observe(&mut group, OBSERVATION_TIME)
        }
        Fault::CoordinatorLost => {
            let coordinator: Vec<usize> = group.coordinator().into_iter().collect();
            group.kill(&coordinator);
            observe(&mut group, OBSERVATION_TIME)
        }
    };
    let coordinators: Vec<usize> = group.voters().into_iter().chain(group.coordinator()).collect();
    let members: Vec<usize> =
        non_voters.into_iter().filter(|member| !coordinators.contains(member)).collect();
    Ok(FaultEffect {
        coordinator_peak: group.peaks().max_among(&coordinators),
        member_peak: group.peaks().max_among(&members),
        seconds_until_owning: times.until_owning,
        seconds_until_coordinator: times.until_coordinator,
    })
}

/// Seconds from the start of an observation.
struct RecoveryTimes {
    /// Until the last check at which fewer than 99% of the running members owned units.
    until_owning: f64,
    /// Until the first check at which there was a coordinator.
    until_coordinator: f64,
}

/// Runs a group for a duration and checks it at intervals.
fn observe(group: &mut Group, duration: Micros) -> RecoveryTimes {
    let (mut last_unowned_check, mut first_coordinator_check) = (0, None);
    for check in 1..=duration / CHECK_INTERVAL {
        group.run(CHECK_INTERVAL);
        if group.owner_count() * 100 < group.running_count() * OWNER_PERCENT {
            last_unowned_check = check;
        }
        if first_coordinator_check.is_none() && group.coordinator().is_some() {
            first_coordinator_check = Some(check);
        }
    }
    // Times shorter than one check interval cannot be observed.
    let seconds = |checks: u64| (checks.max(1) * CHECK_INTERVAL) as f64 / SECOND as f64;
    RecoveryTimes {
        until_owning: seconds(last_unowned_check),
        until_coordinator: seconds(first_coordinator_check.unwrap_or(duration / CHECK_INTERVAL)),
    }
}

const COORDINATOR_PEAK_MESSAGES: Metric =
    Metric { name: "coordinator, messages in its busiest second", unit: "messages/s" };
const COORDINATOR_PEAK_BYTES: Metric =
    Metric { name: "coordinator, bytes in its busiest second", unit: "B/s" };
const MEMBER_PEAK_MESSAGES: Metric =
    Metric { name: "busiest member, messages in its busiest second", unit: "messages/s" };
const MEMBER_PEAK_BYTES: Metric = Metric { name: "busiest member, bytes in its busiest second", unit: "B/s" };
const UNTIL_OWNING: Metric = Metric { name: "until 99 of 100 own units", unit: "s" };
const UNTIL_COORDINATOR: Metric = Metric { name: "until a coordinator", unit: "s" };

/// A row that measures the effect of a fault on a group.
#[derive(Debug)]
pub struct FaultRow {
    name: &'static str,
    about: &'static str,
    fault: Fault,
}

/// A tenth of the members is killed and restarts.
pub const RESTART_TENTH: FaultRow = FaultRow {
    name: "budgets-restart-tenth",
    about: "one budget over seven regions, a tenth of the members killed and restarted together 1 s later",
    fault: Fault::RestartTenth,
};

/// A rack is lost permanently.
pub const RACK_LOST: FaultRow = FaultRow {
    name: "budgets-rack-lost",
    about: "one budget over seven regions, 20 members (a tenth of a group below 200) lost permanently",
    fault: Fault::RackLost,
};

/// A zone is lost and restarts.
pub const ZONE_LOST: FaultRow = FaultRow {
    name: "budgets-zone-lost",
    about:
        "one budget over seven regions, one of 21 zones with a voter lost for 10 s, its members restarted \
         together",
    fault: Fault::ZoneLost,
};

/// A region is partitioned from the others and reconnected.
pub const REGION_ISOLATED: FaultRow = FaultRow {
    name: "budgets-region-apart",
    about: "one budget over seven regions, one region cut off for 10 s (three leases; an hour has the same \
         effect)",
    fault: Fault::RegionIsolated,
};

/// The coordinator is lost permanently.
pub const COORDINATOR_LOST: FaultRow = FaultRow {
    name: "budgets-coordinator-lost",
    about: "one budget over seven regions, the coordinator lost permanently",
    fault: Fault::CoordinatorLost,
};

impl Row for FaultRow {
    fn name(&self) -> &'static str {
        self.name
    }
    fn role(&self) -> Role {
        Role::LeaseCoordinator
    }
    fn about(&self) -> &'static str {
        self.about
    }
    fn variable(&self) -> &'static str {
        "members of the group"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[30, 100, 314, 520, 1_000, 1_570]
    }
    fn planned_size(&self) -> u64 {
        11_000
    }
    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound {
                metric: COORDINATOR_PEAK_BYTES,
                max: MAX_LINK_TRAFFIC,
                source: "a link of 1 Gbit/s (assumed)",
            },
            Bound {
                metric: MEMBER_PEAK_BYTES,
                max: MAX_CONTROL_TRAFFIC,
                source: "6 KB a second for control, in and out",
            },
        ]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        estimated_heap_bytes(size, 1)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let effect = run_fault(self.fault, plan(size, 1, seed), self.name)?;
        let measurement = |metric, value| Measurement { metric, value };
        Ok(vec![
            measurement(COORDINATOR_PEAK_MESSAGES, effect.coordinator_peak.messages as f64),
            measurement(COORDINATOR_PEAK_BYTES, effect.coordinator_peak.bytes as f64),
            measurement(MEMBER_PEAK_MESSAGES, effect.member_peak.messages as f64),
            measurement(MEMBER_PEAK_BYTES, effect.member_peak.bytes as f64),
            measurement(UNTIL_OWNING, effect.seconds_until_owning),
            measurement(UNTIL_COORDINATOR, effect.seconds_until_coordinator),
        ])
    }
}
