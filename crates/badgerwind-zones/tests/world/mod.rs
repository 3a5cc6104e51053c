//! Simulates front ends, zones and executors in virtual time, with the real state machines. Each call goes to
//! a random executor that is open to its front end, and the result is the front end's evidence.
#![allow(dead_code)] // no test uses all of it

use badgerwind_zones::{Member, Message, Mutant, Node, Observation, Settings, Stage, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000_000;
pub const HEARTBEAT: Time = 100 * MS;
const STEP: Time = 10 * MS;
/// How long an attempt takes that is not answered.
const TIMEOUT: Time = 500 * MS;
const ANSWER_TIME: Time = 20 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Good,
    Slow,
    Lost,
}

/// An event with its time and a unique number that orders events of the same time.
type InFlight = Reverse<(Time, u64, Event)>;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A message arrives: its sender, its receiver and its encoding.
    Message(Member, Member, Vec<u8>),
    /// A request of a front end to an executor ends: 0 if it was answered in time, 1 if late, 2 if it was
    /// lost; and when it was sent.
    Ended(Member, u32, u8, Time),
}

pub struct World {
    pub now: Time,
    pub rng: StdRng,
    pub nodes: BTreeMap<Member, Node>,
    pub zones: usize,
    pub executors_per_zone: u32,
    /// Calls per second of each front end.
    pub rate: f64,
    /// The health of executors; those not listed are good.
    pub health: BTreeMap<u32, Health>,
    /// Pairs of a front end and a zone that does not answer it.
    pub unreachable: BTreeSet<(Member, usize)>,
    /// Pairs of sender and receiver whose messages are lost.
    pub partitioned: BTreeSet<(Member, Member)>,
    pub loss: f64,
    /// Front ends that report false evidence: all zones lost (`true`), or all healthy.
    pub false_reporters: BTreeMap<Member, bool>,
    /// Limits the false reports to this zone.
    pub false_zone: Option<usize>,
    /// Calls by zone, and how many of them were lost.
    pub calls: Vec<usize>,
    pub lost: Vec<usize>,
    /// Number of probes sent.
    pub probes: usize,
    pub messages_sent: usize,
    /// Calls of the last 500 ms, with their executors.
    recent: Vec<(Time, u32)>,
    in_flight: BinaryHeap<InFlight>,
    count: u64,
    pub mutant: Option<Mutant>,
    pub settings: Settings,
    /// Executors that a front end has lost: until when it sends them nothing, and the next such delay,
    /// doubled as in the decision module.
    avoided: BTreeMap<(Member, u32), (Time, Time)>,
}

impl World {
    pub fn new(
        n: Member,
        zones: usize,
        executors_per_zone: u32,
        rate: f64,
        seed: u64,
        mutant: Option<Mutant>,
    ) -> World {
        let voters = (0..n.min(3)).collect();
        let mut world = World {
            now: SECOND,
            rng: StdRng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            zones,
            executors_per_zone,
            rate,
            health: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            loss: 0.0,
            false_reporters: BTreeMap::new(),
            false_zone: None,
            calls: vec![0; zones],
            lost: vec![0; zones],
            probes: 0,
            messages_sent: 0,
            recent: Vec::new(),
            in_flight: BinaryHeap::new(),
            count: 0,
            mutant,
            settings: Settings::for_timing(voters, HEARTBEAT, 4 * SECOND),
            avoided: BTreeMap::new(),
        };
        (0..n).for_each(|member| world.start(member));
        world
    }

    pub fn start(&mut self, member: Member) {
        let phase = self.rng.random();
        let mut node =
            Node::new(self.now, member, self.zones, self.settings.clone(), phase).with_mutant(self.mutant);
        node.evidence.set_executors(self.executors().map(|(executor, z)| (executor, z, 1.0)));
        self.nodes.insert(member, node);
    }

    pub fn executors(&self) -> impl Iterator<Item = (u32, usize)> + use<> {
        let executors_per_zone = self.executors_per_zone;
        (0..self.zones as u32 * executors_per_zone)
            .map(move |executor| (executor, (executor / executors_per_zone) as usize))
    }

    pub fn set_zone_health(&mut self, zone: usize, health: Health) {
        for executor in
            self.executors().filter(|(_, z)| *z == zone).map(|(executor, _)| executor).collect::<Vec<_>>()
        {
            self.health.insert(executor, health);
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.in_flight.push(Reverse((at, self.count, event)));
    }

    fn send(&mut self, from: Member, out: Vec<(Member, Message)>) {
        for (to, message) in out {
            let mut message = message;
            if let (Some(claims_lost), Message::Report { zones, .. }) =
                (self.false_reporters.get(&from), &mut message)
            {
                for (_, z) in zones
                    .iter_mut()
                    .enumerate()
                    .filter(|(n, _)| self.false_zone.is_none_or(|zone| zone == *n))
                {
                    (z.lost, z.answered, z.late) = if *claims_lost { (1000, 0, 0) } else { (0, 1000, 0) };
                    if *claims_lost {
                        (z.generation, z.stage) = (z.generation + 50, Stage::Left);
                    }
                }
            }
            if let (Some(claims_lost), Message::Digest { zones, .. }) =
                (self.false_reporters.get(&from), &mut message)
            {
                for (_, z) in zones
                    .iter_mut()
                    .enumerate()
                    .filter(|(n, _)| self.false_zone.is_none_or(|zone| zone == *n))
                {
                    z.lost = if *claims_lost { i16::MAX } else { i16::MIN };
                    z.reached_by = if *claims_lost { 0 } else { 1000 };
                }
            }
            let bytes = message.encode();
            assert!(bytes.len() <= badgerwind_zones::MAX_BYTES);
            assert_eq!(Message::decode(&bytes).as_ref(), Some(&message));
            self.messages_sent += 1;
            if self.partitioned.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let at = self.now + self.rng.random_range(0..5 * MS);
            self.push(at, Event::Message(from, to, bytes));
        }
    }

    /// A front end sends a request to an executor.
    fn request(&mut self, member: Member, executor: u32, probe: bool) {
        let zone = (executor / self.executors_per_zone) as usize;
        let health = self.health.get(&executor).copied().unwrap_or(Health::Good);
        let (result, after) = match health {
            Health::Lost => (2, TIMEOUT),
            _ if self.unreachable.contains(&(member, zone)) => (2, TIMEOUT),
            Health::Slow => (1, 10 * ANSWER_TIME),
            Health::Good => (0, ANSWER_TIME),
        };
        if probe {
            self.probes += 1;
        } else {
            self.calls[zone] += 1;
            self.lost[zone] += usize::from(result == 2);
            self.recent.push((self.now, executor));
        }
        self.push(self.now + after, Event::Ended(member, executor, result, self.now));
    }

    pub fn step(&mut self) {
        self.now += STEP;
        while self.in_flight.peek().is_some_and(|next| next.0 .0 <= self.now) {
            let Some(Reverse((_, _, event))) = self.in_flight.pop() else { break };
            match event {
                Event::Message(from, to, bytes) => {
                    let message = Message::decode(&bytes).unwrap();
                    let Some(node) = self.nodes.get_mut(&to) else { continue };
                    if let Some(answer) = node.receive(self.now, from, &message) {
                        self.send(to, vec![(from, answer)]);
                    }
                }
                Event::Ended(member, executor, result, sent) => {
                    let avoided = self.avoided.entry((member, executor)).or_insert((0, SECOND));
                    match result {
                        2 => *avoided = (self.now + avoided.1, (2 * avoided.1).min(16 * SECOND)),
                        _ => *avoided = (0, SECOND),
                    }
                    let result =
                        [Observation::Answered, Observation::Late, Observation::Lost][usize::from(result)];
                    if let Some(node) = self.nodes.get_mut(&member) {
                        match result {
                            Observation::Lost => node.record_unanswered(self.now, executor, sent),
                            result => node.record(self.now, executor, result, sent),
                        }
                    }
                }
            }
        }
        for member in self.nodes.keys().copied().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&member).unwrap();
            let heartbeats = node.heartbeats();
            let out = node.tick(self.now);
            let probes = if node.heartbeats() == heartbeats { Vec::new() } else { node.executors_to_probe() };
            self.send(member, out);
            probes.into_iter().for_each(|executor| self.request(member, executor, true));
            let calls = self.rate * STEP as f64 / 1e6;
            let n = calls as usize + usize::from(self.rng.random_bool(calls.fract()));
            for _ in 0..n {
                let may_send =
                    |executor: u32| self.avoided.get(&(member, executor)).is_none_or(|a| a.0 <= self.now);
                let open = self.executors().filter(|(executor, z)| {
                    self.nodes[&member].is_open(*executor, *z) && may_send(*executor)
                });
                let open: Vec<u32> = open.map(|(executor, _)| executor).collect();
                if !open.is_empty() {
                    let executor = open[self.rng.random_range(0..open.len())];
                    self.request(member, executor, false);
                }
            }
        }
        let from = self.now.saturating_sub(500 * MS);
        self.recent.retain(|r| r.0 > from);
    }

    pub fn run(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    pub fn until(&mut self, bound: Time, holds: impl Fn(&World) -> bool) -> Option<Time> {
        let from = self.now;
        while self.now < from + bound {
            if holds(self) {
                return Some(self.now - from);
            }
            self.step();
        }
        None
    }

    /// The fraction of a zone's pairs of front end and executor that are in use.
    pub fn share(&self, zone: usize) -> f64 {
        let n = self.nodes.len().max(1) as f64;
        self.nodes.values().map(|member| member.share(zone)).sum::<f64>() / n
    }

    pub fn stage(&self, member: Member, zone: usize) -> Stage {
        self.nodes[&member].zone_state(zone).unwrap().0.stage
    }

    pub fn generations(&self, zone: usize) -> u16 {
        self.nodes.values().map(|n| n.zone_state(zone).unwrap().0.generation).max().unwrap_or(0)
    }

    /// Makes front ends send requests again to the executors that they have lost.
    pub fn clear_avoided(&mut self) {
        self.avoided.clear();
    }

    /// The recent load of a zone's busiest executor, relative to the ordinary load of an executor.
    pub fn peak_load(&self, zone: usize) -> f64 {
        let mut by: BTreeMap<u32, usize> = BTreeMap::new();
        self.recent
            .iter()
            .filter(|(_, executor)| (executor / self.executors_per_zone) as usize == zone)
            .for_each(|(_, executor)| *by.entry(*executor).or_default() += 1);
        let ordinary = self.rate * self.nodes.len() as f64 * 0.5
            / (self.zones as f64 * f64::from(self.executors_per_zone));
        by.values().max().map_or(0.0, |n| *n as f64 / ordinary)
    }
}
