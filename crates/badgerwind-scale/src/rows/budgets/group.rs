//! A hollow group of members that share budgets: real nodes and the real codec over a simulated network.

use crate::rows::member_costs::{PeakTraffic, ProcessorTimes, SAMPLE_INTERVAL};
use crate::rows::network::{Conditions, Event, Micros, Network, MILLISECOND, SECOND};
use badgerwind_budgets::{LeaseSettings, Limit, LimitSet, Member, Message, Node, Recipient, Unit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Maximum number of voters in a group.
const MAX_VOTERS: usize = 5;
/// Units of a budget per member.
const UNITS_PER_MEMBER: usize = 4;
/// Maximum number of units of a budget that the settings allow.
const MAX_UNITS: usize = 60_000;
/// Window of a budget's rate limit, which is the cooldown of its units.
const RATE_WINDOW: Micros = SECOND;
/// Interval at which a member's demand changes.
const DEMAND_INTERVAL: Micros = SECOND;
/// Range from which a member's demand is drawn, in quarters of an even share of the units.
const DEMAND_QUARTERS: (usize, usize) = (2, 8);

/// A defect injected by tests to show that a check detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Each message is sent to all other members instead of its receiver alone.
    BroadcastMessages,
}

/// Fills the additional messages of [`Mutant::BroadcastMessages`]. A message of such bytes cannot be decoded;
/// the receiver counts and discards it.
const INVALID_BYTE: u8 = 0xff;

/// Parameters of a group.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of members, including the voters.
    pub members: usize,
    /// Number of budgets that the members share.
    pub budgets: usize,
    /// Delays and loss of the network.
    pub conditions: Conditions,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The injected defect, if any.
    pub mutant: Option<Mutant>,
}

/// Timer of the next tick, the only timer of a member.
const TICK_TIMER: u32 = 0;

/// A member with its state in the simulation.
struct Host {
    /// `None` while the member is not running.
    node: Option<Node>,
    /// Incremented at each start.
    incarnation: u64,
    /// When the demand changes next, by the member's clock.
    next_demand_at: Micros,
}

/// A hollow group of members that share budgets.
pub struct Group {
    plan: Plan,
    settings: LeaseSettings,
    limit_set: LimitSet,
    rng: StdRng,
    network: Network,
    hosts: Vec<Host>,
    peaks: PeakTraffic,
    /// Processor time of the tracked members.
    pub processor_times: ProcessorTimes,
}

/// The voters: the first members, which the network assigns to different zones and regions.
fn voters(members: usize) -> Vec<Member> {
    (0..members.min(MAX_VOTERS)).map(|n| n as Member).collect()
}

/// Settings with the default times.
fn lease_settings(voters: Vec<Member>) -> LeaseSettings {
    LeaseSettings {
        voters,
        vote: SECOND,
        lease: 3 * SECOND,
        request_interval: 300 * MILLISECOND,
        drift_ppm: 1_000,
        max_moves: 64,
    }
}

impl Group {
    /// Creates a group in which no member is running yet.
    pub fn new(plan: Plan) -> Group {
        let settings = lease_settings(voters(plan.members));
        let units = (plan.members * UNITS_PER_MEMBER).min(MAX_UNITS) as Unit;
        let limit = Limit { units, floor: 0, members: plan.members as Member, cooldown: RATE_WINDOW };
        let conditions = Conditions { max_drift_ppm: u64::from(settings.drift_ppm), ..plan.conditions };
        let network = Network::new(conditions, plan.members, plan.seed);
        let host = |_| Host { node: None, incarnation: 0, next_demand_at: 0 };
        Group {
            settings,
            limit_set: LimitSet { version: 1, limits: vec![limit; plan.budgets] },
            rng: StdRng::seed_from_u64(plan.seed ^ 0xb0d9e7),
            peaks: PeakTraffic::new(&network),
            network,
            hosts: (0..plan.members).map(host).collect(),
            processor_times: ProcessorTimes::new(plan.members),
            plan,
        }
    }

    /// All members, running or not.
    pub fn all_members(&self) -> Vec<usize> {
        (0..self.plan.members).collect()
    }

    /// The members that are voters.
    pub fn voters(&self) -> Vec<usize> {
        self.settings.voters.iter().map(|voter| usize::from(*voter)).collect()
    }

    /// The members that are not voters.
    pub fn non_voters(&self) -> Vec<usize> {
        let voters = self.voters();
        (0..self.plan.members).filter(|member| !voters.contains(member)).collect()
    }

    /// Starts members in a new incarnation without earlier state.
    pub fn start(&mut self, members: &[usize]) {
        members.iter().for_each(|member| self.start_member(*member));
    }

    fn start_member(&mut self, member: usize) {
        let now = self.network.local_time(member);
        let jitter = self.rng.random();
        let host = &mut self.hosts[member];
        host.incarnation += 1;
        host.next_demand_at = 0;
        let me = (member as Member, host.incarnation);
        let node = Node::new(now, me, self.limit_set.clone(), self.settings.clone(), jitter);
        let first_tick = self.rng.random_range(0..node.tick_interval());
        host.node = Some(node);
        self.network.start(member);
        self.network.set_timer(member, TICK_TIMER, now + first_tick);
    }

    /// Stops members without notice.
    pub fn kill(&mut self, members: &[usize]) {
        for &member in members {
            self.hosts[member].node = None;
            self.network.stop(member);
        }
    }

    /// The network of the group.
    pub fn network_mut(&mut self) -> &mut Network {
        &mut self.network
    }

    /// Resets the traffic counts and the peaks.
    pub fn reset_counts(&mut self) {
        self.network.reset_counts();
        self.peaks = PeakTraffic::new(&self.network);
    }

    /// Peak traffic of each member since the last reset of the counts.
    pub fn peaks(&self) -> &PeakTraffic {
        &self.peaks
    }

    /// Advances the simulated time by a duration.
    pub fn run(&mut self, duration: Micros) {
        let until = self.network.now() + duration;
        while self.network.now() < until {
            let next_sample_at = (self.network.now() / SAMPLE_INTERVAL + 1) * SAMPLE_INTERVAL;
            self.process_events(next_sample_at.min(until));
            if self.network.now() == next_sample_at {
                self.peaks.sample(&self.network);
            }
        }
    }

    fn process_events(&mut self, until: Micros) {
        while let Some(event) = self.network.next_event(until) {
            match event {
                Event::Datagram { from, to, bytes } => self.on_datagram(from, to, &bytes),
                Event::Timer { member, .. } => self.on_tick(member),
            }
        }
    }

    /// The first member that is coordinator by its own clock and votes.
    pub fn coordinator(&mut self) -> Option<usize> {
        (0..self.plan.members).find(|member| {
            let now = self.network.local_time(*member);
            self.hosts[*member].node.as_mut().is_some_and(|node| node.is_coordinator(now))
        })
    }

    /// Number of members that currently own units of every budget.
    pub fn owner_count(&self) -> usize {
        let owns_units = |member: &usize| {
            let now = self.network.local_time(*member);
            let node = self.hosts[*member].node.as_ref();
            node.is_some_and(|node| (0..self.plan.budgets).all(|budget| !node.owned(now, budget).is_empty()))
        };
        (0..self.plan.members).filter(owns_units).count()
    }

    /// Number of running members.
    pub fn running_count(&self) -> usize {
        self.hosts.iter().filter(|host| host.node.is_some()).count()
    }

    /// Stops a member and returns its node, whose heap can then be measured.
    pub fn take_node(&mut self, member: usize) -> Option<Node> {
        self.network.stop(member);
        self.hosts[member].node.take()
    }

    fn on_tick(&mut self, member: usize) {
        let now = self.network.local_time(member);
        self.update_demand(member, now);
        let jitter = self.rng.random();
        let Some(node) = &mut self.hosts[member].node else { return };
        let meter = self.processor_times.start(member);
        let out = node.tick(now, jitter);
        let messages: Vec<_> =
            out.iter().map(|(to, message)| (*to, message_kind(message), message.encode())).collect();
        self.processor_times.stop(member, meter);
        self.network.set_timer(member, TICK_TIMER, now + node.tick_interval());
        messages.iter().for_each(|(to, kind, bytes)| self.send_to_recipient(member, *to, kind, bytes));
    }

    /// Changes a member's demand if that is due. Without such changes, units would not change their owners
    /// and each member would own a single range of units.
    fn update_demand(&mut self, member: usize, now: Micros) {
        if now < self.hosts[member].next_demand_at {
            return;
        }
        self.hosts[member].next_demand_at = now + DEMAND_INTERVAL;
        let units = usize::from(self.limit_set.limits[0].units);
        let even_share = units.div_ceil(self.plan.members);
        for budget in 0..self.plan.budgets {
            let quarters = self.rng.random_range(DEMAND_QUARTERS.0..=DEMAND_QUARTERS.1);
            let wanted = (even_share * quarters).div_ceil(4) as Unit;
            if let Some(node) = &mut self.hosts[member].node {
                node.set_wanted(budget, wanted);
            }
        }
    }

    fn on_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.network.local_time(to);
        let Some(node) = &mut self.hosts[to].node else { return };
        let meter = self.processor_times.start(to);
        let answer = Message::decode(bytes).and_then(|message| node.receive(now, from as Member, &message));
        let answer = answer.map(|message| (message_kind(&message), message.encode()));
        self.processor_times.stop(to, meter);
        if let Some((kind, bytes)) = answer {
            self.send(to, from, kind, &bytes);
        }
    }

    fn send_to_recipient(&mut self, from: usize, to: Recipient, kind: &'static str, bytes: &[u8]) {
        let receivers = match to {
            Recipient::One(member) => vec![usize::from(member)],
            Recipient::Voters => self.voters(),
            Recipient::All => self.all_members(),
        };
        let others = receivers.into_iter().filter(|member| *member != from);
        others.for_each(|member| self.send(from, member, kind, bytes));
    }

    fn send(&mut self, from: usize, to: usize, kind: &'static str, bytes: &[u8]) {
        if self.plan.mutant == Some(Mutant::BroadcastMessages) {
            let others = (0..self.plan.members).filter(|other| *other != from && *other != to);
            others.for_each(|other| self.network.send(from, other, kind, vec![INVALID_BYTE; bytes.len()]));
        }
        self.network.send(from, to, kind, bytes.to_vec());
    }
}

/// Kind under which a message's traffic is counted.
fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::RequestVote { .. } => "request-vote",
        Message::Vote { .. } => "vote",
        Message::LeaseRequest { .. } => "ask",
        Message::Grant { .. } => "grant",
        Message::Superseded { .. } => "superseded",
    }
}
