//! Rows of the register: what a follower, a voter and the leader cost in a steady group, and in its bad hours.

pub mod group;

use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::load::{
    all_regions, cost_metrics, heap_bytes, isolate_region, mean_cost, single_region, CostMetrics, MemberCost,
};
use crate::rows::network::{Conditions, Micros, TrafficCount, MILLISECOND, REGIONS, SECOND};
use group::{Group, Plan, Records};

/// What the link of `badgerwind-fleet` adds to a message: 4 bytes of its length, and a sealed piece's length (2) and tag (16).
pub const FRAME: f64 = 22.0;

/// Time over which the starts of a steady group's members are spread: several beats.
const STARTS: Micros = 2 * SECOND;
/// Longest time in which all members must hold a lease after the start.
const SETTLE: Micros = 60 * SECOND;
/// Time after that before anything is counted.
const QUIET: Micros = 3 * SECOND;
/// Time in which a steady group is measured.
const WINDOW: Micros = 10 * SECOND;
/// Followers whose processor time and heap are measured.
const WATCHED: usize = 8;
/// Entries that voters keep, as the register's terms have it.
const ENTRIES_KEPT: u64 = 4_096;
/// Bytes that a member's copy of one life takes, about.
const LIFE_BYTES: u64 = 90;
/// Bytes of a hollow member beside its copy of the lives, about.
const MEMBER_BYTES: u64 = 24_000;

fn bytes_needed(members: u64) -> u64 {
    members * members * LIFE_BYTES + members * MEMBER_BYTES
}

/// What the three roles cost in a steady group.
#[derive(Debug, Clone, Copy)]
pub struct SteadyLoads {
    /// The mean follower.
    pub follower: MemberCost,
    /// The mean voter that does not lead.
    pub voter: MemberCost,
    /// The leader.
    pub leader: MemberCost,
}

/// Starts a group and runs it until all members hold a lease and the log is quiet.
pub fn settled(plan: Plan, row: &'static str) -> Result<Group, ScaleError> {
    let members = plan.members;
    let mut group = Group::new(plan);
    let voters = group.voters();
    group.start(&voters);
    // One after another over several beats: members that start together would renew together for ever.
    for follower in group.followers() {
        group.start(&[follower]);
        group.run(STARTS / members as Micros);
    }
    let mut passed = 0;
    while group.leased() < members {
        if passed >= SETTLE {
            let reason = format!("{} of {members} members hold a lease after {SETTLE} us", group.leased());
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
    let leader = group.leader().ok_or_else(|| not_settled("nobody leads"))?;
    let followers = group.followers();
    let voters: Vec<usize> = group.voters().into_iter().filter(|voter| *voter != leader).collect();
    let sample: Vec<usize> = followers.iter().copied().take(WATCHED).collect();
    let watched = [&sample[..], &voters[..], &[leader][..]].concat();
    group.begin_counts();
    group.processor.track(&watched);
    group.run(window);
    if group.leader() != Some(leader) {
        return Err(not_settled("another leader was elected while it was measured"));
    }
    let seconds = window as f64 / SECOND as f64;
    let counts = counts(&mut group, &followers, seconds);
    let follower = mean_cost(&loads(&mut group, &sample, seconds));
    Ok(SteadyLoads {
        follower: MemberCost { messages: counts.messages, bytes: counts.bytes, ..follower },
        voter: mean_cost(&loads(&mut group, &voters, seconds)),
        leader: mean_cost(&loads(&mut group, &[leader], seconds)),
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

const FOLLOWER: CostMetrics = cost_metrics!("follower");
const VOTER: CostMetrics = cost_metrics!("voter");
const LEADER: CostMetrics = cost_metrics!("leader");

/// A steady group, by what its members write.
#[derive(Debug)]
pub struct Steady {
    name: &'static str,
    about: &'static str,
    sizes: &'static [u64],
    records: Records,
}

/// Members only renew their leases.
pub const LEASES: Steady = Steady {
    name: "register-leases",
    about: "one group in a region, no records: members renew their leases and ask for what follows the log",
    sizes: &[10, 30, 100, 314, 520, 1_000, 1_570, 3_000],
    records: Records::None,
};

/// Every member writes.
pub const RECORDS_EACH: Steady = Steady {
    name: "register-records-each",
    about:
        "one group in a region, one record of 32 bytes a second from each member, which every member follows",
    sizes: &[10, 30, 100, 314, 520, 1_000],
    records: Records::EachMember(SECOND),
};

/// The group as a whole writes ten records a second.
pub const RECORDS_TEN: Steady = Steady {
    name: "register-records-ten",
    about: "one group in a region, ten records of 32 bytes a second over the whole group",
    sizes: &[10, 30, 100, 314, 520, 1_000, 1_570, 3_000],
    records: Records::WholeGroup(100 * MILLISECOND),
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
        Box::new(REGION_APART),
    ]
}

impl Row for Steady {
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
            [VOTER, LEADER].into_iter().flat_map(|metrics| metrics.control_machine_bounds());
        FOLLOWER.front_end_bounds().into_iter().chain(control_machines).collect()
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        bytes_needed(size)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let plan = plan(size, seed, single_region(), self.records);
        let loads = steady(plan, WINDOW, self.name)?;
        let mut figures = FOLLOWER.measurements(&loads.follower, FRAME);
        figures.extend(VOTER.measurements(&loads.voter, FRAME));
        figures.extend(LEADER.measurements(&loads.leader, FRAME));
        Ok(figures)
    }
}

/// A group without defects.
pub fn plan(members: u64, seed: u64, conditions: Conditions, records: Records) -> Plan {
    let members = members as usize;
    Plan { members, conditions, seed, records, entries_kept: ENTRIES_KEPT, mutant: None }
}

/// What befalls a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hour {
    /// All members start at the same moment.
    Start,
    /// A tenth of the members, none of them a voter, are killed and start again together a second later.
    RestartTenth,
    /// The leader is lost for good.
    LeaderLost,
    /// A third of the members, voters among them, are lost for ten seconds and start again together.
    ZoneLost,
    /// One of seven regions is cut off and comes back when voters no longer keep the entries that it lacks.
    RegionApart,
}

/// Zones among which the members of one region are dealt out.
const ZONES_OF_A_REGION: usize = 3;
/// Time for which a zone or a region is away.
const AWAY: Micros = 10 * SECOND;
/// Time that is watched after a fault, or after its end.
const WATCH: Micros = 12 * SECOND;
/// Between two looks at who holds a lease.
const LOOK: Micros = 50 * MILLISECOND;
/// Entries kept where an hour's absence is played in ten seconds: fewer than are written meanwhile.
const ENTRIES_KEPT_APART: u64 = 32;
/// Records a second of a group in its bad hours.
const HOUR_RECORDS: Records = Records::WholeGroup(100 * MILLISECOND);

/// What a bad hour came to.
#[derive(Debug, Clone, Copy, Default)]
pub struct HourSeen {
    /// The most at any voter in one second.
    pub voter: TrafficCount,
    /// The most at any other member in one second.
    pub follower: TrafficCount,
    /// Seconds from the last step of the fault until 99 of 100 of those that run hold a lease for good.
    pub until_leased: f64,
    /// Seconds from the fault until somebody leads.
    pub until_leader: f64,
    /// Lives that ended.
    pub lives_ended: u64,
}

/// Plays a bad hour.
pub fn play(hour: Hour, mut plan: Plan, row: &'static str) -> Result<HourSeen, ScaleError> {
    if hour == Hour::RegionApart {
        plan.entries_kept = ENTRIES_KEPT_APART;
    }
    let mut group = if hour == Hour::Start { Group::new(plan) } else { settled(plan, row)? };
    let ended_before = group.incarnations_ended();
    group.begin_counts();
    let (until_leased, until_leader) = match hour {
        Hour::Start => {
            group.start(&group.all());
            watch(&mut group)
        }
        Hour::RestartTenth => {
            let followers = group.followers();
            let tenth: Vec<usize> = followers.iter().copied().take(followers.len().div_ceil(10)).collect();
            group.kill(&tenth);
            group.run(SECOND);
            group.start(&tenth);
            watch(&mut group)
        }
        Hour::LeaderLost => {
            group.kill(&group.leader().into_iter().collect::<Vec<_>>());
            watch(&mut group)
        }
        Hour::ZoneLost => {
            let zone: Vec<usize> =
                group.all().into_iter().filter(|member| member % ZONES_OF_A_REGION == 0).collect();
            group.kill(&zone);
            let lost = watch_for(&mut group, AWAY);
            group.start(&zone);
            (watch(&mut group).0, lost.1)
        }
        Hour::RegionApart => {
            isolate_region(group.network(), REGIONS - 1);
            group.run(AWAY);
            group.network().heal();
            watch(&mut group)
        }
    };
    Ok(HourSeen {
        voter: group.peaks().max_among(&group.voters()),
        follower: group.peaks().max_among(&group.followers()),
        until_leased,
        until_leader,
        lives_ended: (group.incarnations_ended() - ended_before) as u64,
    })
}

fn watch(group: &mut Group) -> (f64, f64) {
    watch_for(group, WATCH)
}

/// Seconds until the last look at which fewer than 99 of 100 held a lease, and until the first at which somebody led.
fn watch_for(group: &mut Group, span: Micros) -> (f64, f64) {
    let (mut leased, mut leader) = (0, None);
    for look in 1..=span / LOOK {
        group.run(LOOK);
        if group.leased() * 100 < group.running() * 99 {
            leased = look;
        }
        if leader.is_none() && group.leader().is_some() {
            leader = Some(look);
        }
    }
    // No look tells less than the time to the first.
    let seconds = |looks: u64| (looks.max(1) * LOOK) as f64 / SECOND as f64;
    (seconds(leased), seconds(leader.unwrap_or(span / LOOK)))
}

const VOTER_MESSAGES: Metric =
    Metric { name: "busiest voter, messages in its busiest second", unit: "messages/s" };
const VOTER_BYTES: Metric = Metric { name: "busiest voter, bytes in its busiest second", unit: "B/s" };
const FOLLOWER_MESSAGES: Metric =
    Metric { name: "busiest follower, messages in its busiest second", unit: "messages/s" };
const FOLLOWER_BYTES: Metric = Metric { name: "busiest follower, bytes in its busiest second", unit: "B/s" };
const UNTIL_LEASED: Metric = Metric { name: "until 99 of 100 hold a lease", unit: "s" };
const UNTIL_LEADER: Metric = Metric { name: "until a leader", unit: "s" };
const LIVES_ENDED: Metric = Metric { name: "lives ended", unit: "lives" };

/// A bad hour of a group.
#[derive(Debug)]
pub struct BadHour {
    name: &'static str,
    about: &'static str,
    sizes: &'static [u64],
    conditions: fn() -> Conditions,
    hour: Hour,
}

const HOUR_SIZES: &[u64] = &[10, 30, 100, 314, 520, 1_000, 1_570];

/// All members start at once.
pub const START: BadHour = BadHour {
    name: "register-start",
    about: "one group in a region, ten records a second, all members start at the same moment",
    sizes: HOUR_SIZES,
    conditions: single_region,
    hour: Hour::Start,
};

/// A tenth restarts at once.
pub const RESTART_TENTH: BadHour = BadHour {
    name: "register-restart-tenth",
    about: "one group in a region, ten records a second, a tenth of the members killed and started together 1 s later",
    sizes: HOUR_SIZES,
    conditions: single_region,
    hour: Hour::RestartTenth,
};

/// A control machine lost.
pub const LEADER_LOST: BadHour = BadHour {
    name: "register-leader-lost",
    about: "one group in a region, ten records a second, the leader of five voters lost for good",
    sizes: HOUR_SIZES,
    conditions: single_region,
    hour: Hour::LeaderLost,
};

/// A zone lost and back.
pub const ZONE_LOST: BadHour = BadHour {
    name: "register-zone-lost",
    about: "one group in a region, ten records a second, one of three zones (two of five voters in it) lost for 10 s",
    sizes: HOUR_SIZES,
    conditions: single_region,
    hour: Hour::ZoneLost,
};

/// A region apart and together again.
pub const REGION_APART: BadHour = BadHour {
    name: "register-region-apart",
    about: "one group over seven regions, ten records a second, one region cut off until its entries are no longer kept",
    sizes: &[30, 100, 314, 520, 1_000, 1_570],
    conditions: all_regions,
    hour: Hour::RegionApart,
};

impl Row for BadHour {
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
            Bound { metric: VOTER_BYTES, max: 125_000_000.0, source: "a link of 1 Gbit/s (assumed)" },
            Bound { metric: FOLLOWER_BYTES, max: 6_144.0, source: "6 KB a second for control, in and out" },
        ]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        bytes_needed(size)
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let seen = play(self.hour, plan(size, seed, (self.conditions)(), HOUR_RECORDS), self.name)?;
        let figure = |metric, value| Measurement { metric, value };
        Ok(vec![
            figure(VOTER_MESSAGES, seen.voter.messages as f64),
            figure(VOTER_BYTES, seen.voter.bytes as f64),
            figure(FOLLOWER_MESSAGES, seen.follower.messages as f64),
            figure(FOLLOWER_BYTES, seen.follower.bytes as f64),
            figure(UNTIL_LEASED, seen.until_leased),
            figure(UNTIL_LEADER, seen.until_leader),
            figure(LIVES_ENDED, seen.lives_ended as f64),
        ])
    }
}
