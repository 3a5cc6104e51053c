//! A hollow group of the budgets: real nodes and the real codec over simulated ways between sites.

use crate::rows::load::{PeakTraffic, ProcessorTimes, SAMPLE_INTERVAL};
use crate::rows::network::{Conditions, Event, Micros, Network, MILLISECOND, SECOND};
use badgerwind_budgets::{LeaseSettings, Limit, LimitSet, Member, Message, Node, Recipient, Unit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Voters of a group, where it has as many members.
const VOTERS: usize = 5;
/// Units of a budget for each member, and the most that the settings allow.
const UNITS_EACH: usize = 4;
const UNITS_MOST: usize = 60_000;
/// The window of a budget's rate.
const WINDOW: Micros = SECOND;
/// How often a member's demand changes.
const DEMAND_CHANGES: Micros = SECOND;
/// A member's demand, drawn between these parts in 4 of its even part.
const DEMAND_QUARTERS: (usize, usize) = (2, 8);

/// A defect put in on purpose, to show that a check finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Each member says everything to every other member instead of the one that it is for.
    EverythingToAll,
}

/// Bytes that are no message: they are received and passed over.
const UNREADABLE: u8 = 0xff;

/// What a group is like.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Members, voters among them.
    pub members: usize,
    /// Budgets that they divide.
    pub budgets: usize,
    /// What messages meet between them.
    pub conditions: Conditions,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// A defect.
    pub mutant: Option<Mutant>,
}

/// The one timer of a member.
const TICK: u32 = 0;

struct Host {
    node: Option<Node>,
    /// Its incarnation, counted up at each start.
    incarnation: u64,
    demand_changes: Micros,
}

/// A hollow group.
pub struct Group {
    plan: Plan,
    terms: LeaseSettings,
    book: LimitSet,
    rng: StdRng,
    network: Network,
    hosts: Vec<Host>,
    peaks: PeakTraffic,
    /// Processor time of members that are watched.
    pub processor: ProcessorTimes,
}

/// Voters are the first members: the network deals members out to different zones and regions in turn.
fn voters(members: usize) -> Vec<Member> {
    (0..members.min(VOTERS)).map(|n| n as Member).collect()
}

/// Terms with the times that the settings have by default.
fn terms(voters: Vec<Member>) -> LeaseSettings {
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
    /// A group of which nobody runs yet.
    pub fn new(plan: Plan) -> Group {
        let terms = terms(voters(plan.members));
        let units = (plan.members * UNITS_EACH).min(UNITS_MOST) as Unit;
        let limit = Limit { units, floor: 0, members: plan.members as Member, cooldown: WINDOW };
        let conditions = Conditions { max_drift_ppm: u64::from(terms.drift_ppm), ..plan.conditions };
        let network = Network::new(conditions, plan.members, plan.seed);
        let host = |_| Host { node: None, incarnation: 0, demand_changes: 0 };
        Group {
            terms,
            book: LimitSet { version: 1, limits: vec![limit; plan.budgets] },
            rng: StdRng::seed_from_u64(plan.seed ^ 0xb0d9e7),
            peaks: PeakTraffic::new(&network),
            network,
            hosts: (0..plan.members).map(host).collect(),
            processor: ProcessorTimes::new(plan.members),
            plan,
        }
    }

    /// All members.
    pub fn all(&self) -> Vec<usize> {
        (0..self.plan.members).collect()
    }

    /// Those that vote.
    pub fn voters(&self) -> Vec<usize> {
        self.terms.voters.iter().map(|voter| usize::from(*voter)).collect()
    }

    /// Those that do not.
    pub fn others(&self) -> Vec<usize> {
        let voters = self.voters();
        (0..self.plan.members).filter(|member| !voters.contains(member)).collect()
    }

    /// Starts members from nothing.
    pub fn start(&mut self, members: &[usize]) {
        members.iter().for_each(|member| self.start_one(*member));
    }

    fn start_one(&mut self, member: usize) {
        let now = self.network.local_time(member);
        let part = self.rng.random();
        let host = &mut self.hosts[member];
        host.incarnation += 1;
        host.demand_changes = 0;
        let who = (member as Member, host.incarnation);
        let node = Node::new(now, who, self.book.clone(), self.terms.clone(), part);
        let first_tick = self.rng.random_range(0..node.tick_interval());
        host.node = Some(node);
        self.network.start(member);
        self.network.set_timer(member, TICK, now + first_tick);
    }

    /// Kills members.
    pub fn kill(&mut self, members: &[usize]) {
        for &member in members {
            self.hosts[member].node = None;
            self.network.stop(member);
        }
    }

    /// The network between them.
    pub fn network(&mut self) -> &mut Network {
        &mut self.network
    }

    /// Begins to count traffic and its busiest second anew.
    pub fn begin_counts(&mut self) {
        self.network.reset_counts();
        self.peaks = PeakTraffic::new(&self.network);
    }

    /// The busiest second of each member since the counts began.
    pub fn peaks(&self) -> &PeakTraffic {
        &self.peaks
    }

    /// Runs on for so long.
    pub fn run(&mut self, span: Micros) {
        let until = self.network.now() + span;
        while self.network.now() < until {
            let slice = (self.network.now() / SAMPLE_INTERVAL + 1) * SAMPLE_INTERVAL;
            self.take_events(slice.min(until));
            if self.network.now() == slice {
                self.peaks.sample(&self.network);
            }
        }
    }

    fn take_events(&mut self, until: Micros) {
        while let Some(event) = self.network.next_event(until) {
            match event {
                Event::Datagram { from, to, bytes } => self.arrive(from, to, &bytes),
                Event::Timer { member, .. } => self.tick(member),
            }
        }
    }

    /// Who is coordinator, by its own clock and votes.
    pub fn coordinator(&mut self) -> Option<usize> {
        (0..self.plan.members).find(|member| {
            let now = self.network.local_time(*member);
            self.hosts[*member].node.as_mut().is_some_and(|node| node.is_coordinator(now))
        })
    }

    /// How many own something of each budget at this moment.
    pub fn owning(&self) -> usize {
        let owns = |member: &usize| {
            let now = self.network.local_time(*member);
            let node = self.hosts[*member].node.as_ref();
            node.is_some_and(|node| (0..self.plan.budgets).all(|budget| !node.owned(now, budget).is_empty()))
        };
        (0..self.plan.members).filter(owns).count()
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.hosts.iter().filter(|host| host.node.is_some()).count()
    }

    /// Takes a member's node out, to be weighed.
    pub fn take(&mut self, member: usize) -> Option<Node> {
        self.network.stop(member);
        self.hosts[member].node.take()
    }

    fn tick(&mut self, member: usize) {
        let now = self.network.local_time(member);
        self.demand(member, now);
        let part = self.rng.random();
        let Some(node) = &mut self.hosts[member].node else { return };
        let meter = self.processor.start(member);
        let out = node.tick(now, part);
        let sends: Vec<_> = out.iter().map(|(to, message)| (*to, kind(message), message.encode())).collect();
        self.processor.stop(member, meter);
        self.network.set_timer(member, TICK, now + node.tick_interval());
        sends.iter().for_each(|(to, kind, bytes)| self.send_all(member, *to, kind, bytes));
    }

    /// Demand trembles, so that units change hands and what a member owns falls into several ranges.
    fn demand(&mut self, member: usize, now: Micros) {
        if now < self.hosts[member].demand_changes {
            return;
        }
        self.hosts[member].demand_changes = now + DEMAND_CHANGES;
        let units = usize::from(self.book.limits[0].units);
        let even = units.div_ceil(self.plan.members);
        for budget in 0..self.plan.budgets {
            let quarters = self.rng.random_range(DEMAND_QUARTERS.0..=DEMAND_QUARTERS.1);
            let wants = (even * quarters).div_ceil(4) as Unit;
            if let Some(node) = &mut self.hosts[member].node {
                node.set_wanted(budget, wants);
            }
        }
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.network.local_time(to);
        let Some(node) = &mut self.hosts[to].node else { return };
        let meter = self.processor.start(to);
        let answer = Message::decode(bytes).and_then(|message| node.receive(now, from as Member, &message));
        let answer = answer.map(|message| (kind(&message), message.encode()));
        self.processor.stop(to, meter);
        if let Some((kind, bytes)) = answer {
            self.send(to, from, kind, &bytes);
        }
    }

    fn send_all(&mut self, from: usize, to: Recipient, kind: &'static str, bytes: &[u8]) {
        let all = match to {
            Recipient::One(member) => vec![usize::from(member)],
            Recipient::Voters => self.voters(),
            Recipient::All => self.all(),
        };
        let others = all.into_iter().filter(|member| *member != from);
        others.for_each(|member| self.send(from, member, kind, bytes));
    }

    fn send(&mut self, from: usize, to: usize, kind: &'static str, bytes: &[u8]) {
        if self.plan.mutant == Some(Mutant::EverythingToAll) {
            let others = (0..self.plan.members).filter(|other| *other != from && *other != to);
            others.for_each(|other| self.network.send(from, other, kind, vec![UNREADABLE; bytes.len()]));
        }
        self.network.send(from, to, kind, bytes.to_vec());
    }
}

/// A message's kind, for counts.
fn kind(message: &Message) -> &'static str {
    match message {
        Message::RequestVote { .. } => "request-vote",
        Message::Vote { .. } => "vote",
        Message::LeaseRequest { .. } => "ask",
        Message::Grant { .. } => "grant",
        Message::Superseded { .. } => "superseded",
    }
}
