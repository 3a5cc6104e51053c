//! Rows of the budgets: what a member, a voter and the lease coordinator cost in a steady group, and in its bad hours.

pub mod group;

use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::load::{
    all_regions, cost_metrics, heap_bytes, isolate_region, mean_cost, CostMetrics, MemberCost,
};
use crate::rows::network::{Area, Micros, TrafficCount, MILLISECOND, REGIONS, SECOND};
use group::{Group, Plan};

/// What a datagram between front ends adds to a message: number (4), counter (8) and tag (16).
pub const FRAME: f64 = 28.0;

/// Longest time in which all members must own units after the start.
const SETTLE: Micros = 60 * SECOND;
/// Time after that before anything is counted.
const QUIET: Micros = 3 * SECOND;
/// Time in which a steady group is measured.
const WINDOW: Micros = 6 * SECOND;
/// Members whose processor time and heap are measured.
const WATCHED: usize = 8;
/// Bytes of a hollow member, about, and of a unit at the coordinator.
const MEMBER_BYTES: u64 = 8_000;
/// Share of running members, in hundredths, that must own units.
const SHARE: usize = 99;

fn bytes_needed(members: u64, budgets: u64) -> u64 {
    members * MEMBER_BYTES * budgets
}

/// What the three roles cost in a steady group.
#[derive(Debug, Clone, Copy)]
pub struct SteadyLoads {
    /// The mean member that neither votes nor coordinates.
    pub member: MemberCost,
    /// The mean voter that is not coordinator.
    pub voter: MemberCost,
    /// The lease coordinator.
    pub coordinator: MemberCost,
}

/// Starts a group and runs it until nearly all members own units.
pub fn settled(plan: Plan, row: &'static str) -> Result<Group, ScaleError> {
    let members = plan.members;
    let mut group = Group::new(plan);
    group.start(&group.all());
    let mut passed = 0;
    while group.owning() * 100 < members * SHARE {
        if passed >= SETTLE {
            let reason = format!("{} of {members} members own units after {SETTLE} us", group.owning());
            return Err(ScaleError::NotSettled { row, size: members as u64, reason });
        }
        group.run(100 * MILLISECOND);
        passed += 100 * MILLISECOND;
    }
    group.run(QUIET);
    Ok(group)
}

/// Measures a steady group.
pub fn steady(plan: Plan, window: Micros, row: &'static str) -> Result<SteadyLoads, ScaleError> {
    let size = plan.members as u64;
    let mut group = settled(plan, row)?;
    let not_settled = |reason: &str| ScaleError::NotSettled { row, size, reason: reason.into() };
    let coordinator = group.coordinator().ok_or_else(|| not_settled("nobody is coordinator"))?;
    let members: Vec<usize> = group.others().into_iter().filter(|member| *member != coordinator).collect();
    let voters: Vec<usize> = group.voters().into_iter().filter(|voter| *voter != coordinator).collect();
    let sample: Vec<usize> = members.iter().copied().take(WATCHED).collect();
    let watched = [&sample[..], &voters[..], &[coordinator][..]].concat();
    group.begin_counts();
    group.processor.track(&watched);
    group.run(window);
    if group.coordinator() != Some(coordinator) {
        return Err(not_settled("another coordinator was elected while it was measured"));
    }
    let seconds = window as f64 / SECOND as f64;
    let counts = counts(&mut group, &members, seconds);
    let member = mean_cost(&loads(&mut group, &sample, seconds));
    Ok(SteadyLoads {
        member: MemberCost { messages: counts.messages, bytes: counts.bytes, ..member },
        voter: mean_cost(&loads(&mut group, &voters, seconds)),
        coordinator: mean_cost(&loads(&mut group, &[coordinator], seconds)),
    })
}

/// Mean messages and bytes a second over all of these.
fn counts(group: &mut Group, members: &[usize], seconds: f64) -> MemberCost {
    let load = |member: &usize| {
        let TrafficCount { messages, bytes } = group.network().traffic(*member);
        MemberCost {
            messages: messages as f64 / seconds,
            bytes: bytes as f64 / seconds,
            ..MemberCost::default()
        }
    };
    mean_cost(&members.iter().map(load).collect::<Vec<_>>())
}

/// The loads of these; their nodes are taken out and weighed.
fn loads(group: &mut Group, members: &[usize], seconds: f64) -> Vec<MemberCost> {
    let load = |member: &usize| {
        let counted = counts(group, &[*member], seconds);
        let processor = group.processor.microseconds(*member) / seconds;
        let heap = group.take(*member).map_or(0.0, heap_bytes);
        MemberCost { processor, heap, ..counted }
    };
    members.iter().map(load).collect()
}

const MEMBER: CostMetrics = cost_metrics!("member");
const VOTER: CostMetrics = cost_metrics!("voter");
const COORDINATOR: CostMetrics = cost_metrics!("coordinator");

/// Figures and bounds of all three roles.
fn steady_measurements(loads: &SteadyLoads) -> Vec<Measurement> {
    let mut figures = MEMBER.measurements(&loads.member, FRAME);
    figures.extend(VOTER.measurements(&loads.voter, FRAME));
    figures.extend(COORDINATOR.measurements(&loads.coordinator, FRAME));
    figures
}

/// Coordinators and voters are front ends or control machines: the looser bound is the latter's.
fn steady_bounds() -> Vec<Bound> {
    let control_machines =
        [VOTER, COORDINATOR].into_iter().flat_map(|metrics| metrics.control_machine_bounds());
    MEMBER.front_end_bounds().into_iter().chain(control_machines).collect()
}

/// A group without defects.
pub fn plan(members: u64, budgets: usize, seed: u64) -> Plan {
    Plan { members: members as usize, budgets, conditions: all_regions(), seed, mutant: None }
}

/// A steady group, by its members.
#[derive(Debug)]
pub struct Steady;

/// One budget.
pub const STEADY: Steady = Steady;

/// All rows of budgets.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![
        Box::new(STEADY),
        Box::new(BY_BUDGETS),
        Box::new(RESTART_TENTH),
        Box::new(RACK_LOST),
        Box::new(ZONE_LOST),
        Box::new(REGION_APART),
        Box::new(COORDINATOR_LOST),
    ]
}

impl Row for Steady {
    fn name(&self) -> &'static str {
        "budgets-steady"
    }
    fn role(&self) -> Role {
        Role::LeaseCoordinator
    }
    fn about(&self) -> &'static str {
        "one budget, one coordinator for all members over seven regions, each member asks every 300 ms"
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
        bytes_needed(size, 1)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let loads = steady(plan(size, 1, seed), WINDOW, self.name())?;
        Ok(steady_measurements(&loads))
    }
}

/// A steady group of one control machine's share, by the number of budgets that run at once.
#[derive(Debug)]
pub struct ByBudgets;

/// 314 members.
pub const BY_BUDGETS: ByBudgets = ByBudgets;

/// Front ends of one of 35 control machines.
const SHARE_OF_A_CONTROL_MACHINE: u64 = 314;

impl Row for ByBudgets {
    fn name(&self) -> &'static str {
        "budgets-by-budgets"
    }
    fn role(&self) -> Role {
        Role::LeaseCoordinator
    }
    fn about(&self) -> &'static str {
        "314 members over seven regions, by budgets that run at once; 16 is an assumption, the settings allow 256"
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
        bytes_needed(SHARE_OF_A_CONTROL_MACHINE, size)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let plan = plan(SHARE_OF_A_CONTROL_MACHINE, size as usize, seed);
        let loads = steady(plan, WINDOW, self.name())?;
        Ok(steady_measurements(&loads))
    }
}

/// What befalls a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hour {
    /// A tenth of the members, none of them a voter, are killed and start again together a second later.
    RestartTenth,
    /// Twenty members, or a tenth of a small group, are lost for good.
    RackLost,
    /// One of 21 zones, with a voter in it, is lost for ten seconds; then its members start together.
    ZoneLost,
    /// One of seven regions is cut off for longer than all its leases, and together again.
    RegionApart,
    /// The coordinator is lost for good.
    CoordinatorLost,
}

/// Members of a rack.
const RACK: usize = 20;
/// Time for which a zone or a region is away.
const AWAY: Micros = 10 * SECOND;
/// Time that is watched after a fault, or after its end.
const WATCH: Micros = 15 * SECOND;
/// Between two looks at who owns units.
const LOOK: Micros = 100 * MILLISECOND;

/// What a bad hour came to.
#[derive(Debug, Clone, Copy, Default)]
pub struct HourSeen {
    /// The most at the coordinator, or at any voter, in one second.
    pub coordinator: TrafficCount,
    /// The most at any other member in one second.
    pub member: TrafficCount,
    /// Seconds from the last step of the fault until 99 of 100 of those that run own units for good.
    pub until_owning: f64,
    /// Seconds from the fault until there is a coordinator.
    pub until_coordinator: f64,
}

/// Plays a bad hour.
pub fn play(hour: Hour, plan: Plan, row: &'static str) -> Result<HourSeen, ScaleError> {
    let mut group = settled(plan, row)?;
    group.begin_counts();
    let others = group.others();
    let tenth = others.len().div_ceil(10);
    let (until_owning, until_coordinator) = match hour {
        Hour::RestartTenth => {
            let some = &others[..tenth];
            group.kill(some);
            group.run(SECOND);
            group.start(some);
            watch(&mut group, WATCH)
        }
        Hour::RackLost => {
            group.kill(&others[..RACK.min(tenth)]);
            watch(&mut group, WATCH)
        }
        Hour::ZoneLost => {
            let zone = group.network().members_in(Area::Zone(0));
            group.kill(&zone);
            let lost = watch(&mut group, AWAY);
            group.start(&zone);
            (watch(&mut group, WATCH).0, lost.1)
        }
        Hour::RegionApart => {
            isolate_region(group.network(), REGIONS - 1);
            group.run(AWAY);
            group.network().heal();
            watch(&mut group, WATCH)
        }
        Hour::CoordinatorLost => {
            let lost: Vec<usize> = group.coordinator().into_iter().collect();
            group.kill(&lost);
            watch(&mut group, WATCH)
        }
    };
    let coordinators: Vec<usize> = group.voters().into_iter().chain(group.coordinator()).collect();
    let members: Vec<usize> = others.into_iter().filter(|member| !coordinators.contains(member)).collect();
    Ok(HourSeen {
        coordinator: group.peaks().max_among(&coordinators),
        member: group.peaks().max_among(&members),
        until_owning,
        until_coordinator,
    })
}

/// Seconds until the last look at which fewer than 99 of 100 owned units, and until the first with a coordinator.
fn watch(group: &mut Group, span: Micros) -> (f64, f64) {
    let (mut owning, mut coordinator) = (0, None);
    for look in 1..=span / LOOK {
        group.run(LOOK);
        if group.owning() * 100 < group.running() * SHARE {
            owning = look;
        }
        if coordinator.is_none() && group.coordinator().is_some() {
            coordinator = Some(look);
        }
    }
    // No look tells less than the time to the first.
    let seconds = |looks: u64| (looks.max(1) * LOOK) as f64 / SECOND as f64;
    (seconds(owning), seconds(coordinator.unwrap_or(span / LOOK)))
}

const COORDINATOR_MESSAGES: Metric =
    Metric { name: "coordinator, messages in its busiest second", unit: "messages/s" };
const COORDINATOR_BYTES: Metric = Metric { name: "coordinator, bytes in its busiest second", unit: "B/s" };
const MEMBER_MESSAGES: Metric =
    Metric { name: "busiest member, messages in its busiest second", unit: "messages/s" };
const MEMBER_BYTES_BUSIEST: Metric =
    Metric { name: "busiest member, bytes in its busiest second", unit: "B/s" };
const UNTIL_OWNING: Metric = Metric { name: "until 99 of 100 own units", unit: "s" };
const UNTIL_COORDINATOR: Metric = Metric { name: "until a coordinator", unit: "s" };

/// A bad hour of a group.
#[derive(Debug)]
pub struct BadHour {
    name: &'static str,
    about: &'static str,
    hour: Hour,
}

/// A tenth restarts at once.
pub const RESTART_TENTH: BadHour = BadHour {
    name: "budgets-restart-tenth",
    about: "one budget over seven regions, a tenth of the members killed and started together 1 s later",
    hour: Hour::RestartTenth,
};

/// A rack lost.
pub const RACK_LOST: BadHour = BadHour {
    name: "budgets-rack-lost",
    about: "one budget over seven regions, 20 members (a tenth below 200) lost for good",
    hour: Hour::RackLost,
};

/// A zone lost and back.
pub const ZONE_LOST: BadHour = BadHour {
    name: "budgets-zone-lost",
    about: "one budget over seven regions, one of 21 zones with a voter lost for 10 s, its members start together",
    hour: Hour::ZoneLost,
};

/// A region apart and together again.
pub const REGION_APART: BadHour = BadHour {
    name: "budgets-region-apart",
    about:
        "one budget over seven regions, one region cut off for 10 s (three leases; an hour is no different)",
    hour: Hour::RegionApart,
};

/// The coordinator lost.
pub const COORDINATOR_LOST: BadHour = BadHour {
    name: "budgets-coordinator-lost",
    about: "one budget over seven regions, the coordinator lost for good",
    hour: Hour::CoordinatorLost,
};

impl Row for BadHour {
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
            Bound { metric: COORDINATOR_BYTES, max: 125_000_000.0, source: "a link of 1 Gbit/s (assumed)" },
            Bound {
                metric: MEMBER_BYTES_BUSIEST,
                max: 6_144.0,
                source: "6 KB a second for control, in and out",
            },
        ]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        bytes_needed(size, 1)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let seen = play(self.hour, plan(size, 1, seed), self.name)?;
        let figure = |metric, value| Measurement { metric, value };
        Ok(vec![
            figure(COORDINATOR_MESSAGES, seen.coordinator.messages as f64),
            figure(COORDINATOR_BYTES, seen.coordinator.bytes as f64),
            figure(MEMBER_MESSAGES, seen.member.messages as f64),
            figure(MEMBER_BYTES_BUSIEST, seen.member.bytes as f64),
            figure(UNTIL_OWNING, seen.until_owning),
            figure(UNTIL_COORDINATOR, seen.until_coordinator),
        ])
    }
}
