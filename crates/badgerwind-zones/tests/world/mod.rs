//! Front ends, zones and executors in simulated time, with the same state machines as on sockets. Calls go to executors that a
//! front end has open, each as likely; what it sees of them is its evidence.
#![allow(dead_code)] // each test file uses its part

use badgerwind_zones::{Member, Message, Mutant, Node, Observation, Stage, Terms, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000_000;
pub const BEAT: Time = 100 * MS;
const STEP: Time = 10 * MS;
/// How long an attempt that nobody answers takes to be lost.
const TIME_OUT: Time = 500 * MS;
const ANSWER: Time = 20 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Good,
    Slow,
    Gone,
}

/// What is on its way: when it arrives, its number, and what.
type OnTheWay = Reverse<(Time, u64, Event)>;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Said(Member, Member, Vec<u8>),
    Ended(Member, u32, u8, Time),
}

pub struct World {
    pub now: Time,
    pub rng: StdRng,
    pub nodes: BTreeMap<Member, Node>,
    pub zones: usize,
    pub each: u32,
    /// Calls a second of each front end.
    pub rate: f64,
    /// By executor: those not named are good.
    pub health: BTreeMap<u32, Health>,
    /// Front ends that a zone does not answer.
    pub cut: BTreeSet<(Member, usize)>,
    /// Ways between front ends on which all is lost.
    pub apart: BTreeSet<(Member, Member)>,
    pub loss: f64,
    /// These say that all zones are lost, or that all are well.
    pub liars: BTreeMap<Member, bool>,
    /// Of this zone alone; `None`: of all.
    pub lie_of: Option<usize>,
    /// Calls by zone, and those lost.
    pub calls: Vec<usize>,
    pub lost: Vec<usize>,
    /// Probes of executors.
    pub probes: usize,
    pub said: usize,
    /// Calls of the last half second at each executor.
    recent: Vec<(Time, u32)>,
    on_the_way: BinaryHeap<OnTheWay>,
    count: u64,
    pub mutant: Option<Mutant>,
    pub terms: Terms,
    /// Executors that a front end has lost, until when it asks them nothing, and for how long the next time: as the module does.
    avoids: BTreeMap<(Member, u32), (Time, Time)>,
}

impl World {
    pub fn new(n: Member, zones: usize, each: u32, rate: f64, seed: u64, mutant: Option<Mutant>) -> World {
        let voters = (0..n.min(3)).collect();
        let mut w = World {
            now: SECOND,
            rng: StdRng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            zones,
            each,
            rate,
            health: BTreeMap::new(),
            cut: BTreeSet::new(),
            apart: BTreeSet::new(),
            loss: 0.0,
            liars: BTreeMap::new(),
            lie_of: None,
            calls: vec![0; zones],
            lost: vec![0; zones],
            probes: 0,
            said: 0,
            recent: Vec::new(),
            on_the_way: BinaryHeap::new(),
            count: 0,
            mutant,
            terms: Terms::paced(voters, BEAT, 4 * SECOND),
            avoids: BTreeMap::new(),
        };
        (0..n).for_each(|m| w.start(m));
        w
    }

    pub fn start(&mut self, m: Member) {
        let part = self.rng.random();
        let mut node = Node::new(self.now, m, self.zones, self.terms.clone(), part).with(self.mutant);
        node.evidence.listed(self.executors().map(|(e, z)| (e, z, 1.0)));
        self.nodes.insert(m, node);
    }

    pub fn executors(&self) -> impl Iterator<Item = (u32, usize)> + use<> {
        let each = self.each;
        (0..self.zones as u32 * each).map(move |e| (e, (e / each) as usize))
    }

    pub fn zone_is(&mut self, zone: usize, health: Health) {
        for e in self.executors().filter(|(_, z)| *z == zone).map(|(e, _)| e).collect::<Vec<_>>() {
            self.health.insert(e, health);
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.on_the_way.push(Reverse((at, self.count, event)));
    }

    fn say(&mut self, from: Member, out: Vec<(Member, Message)>) {
        for (to, message) in out {
            let mut message = message;
            if let (Some(ill), Message::Report { zones, .. }) = (self.liars.get(&from), &mut message) {
                for (_, z) in
                    zones.iter_mut().enumerate().filter(|(n, _)| self.lie_of.is_none_or(|of| of == *n))
                {
                    (z.lost, z.heard, z.late) = if *ill { (1000, 0, 0) } else { (0, 1000, 0) };
                    if *ill {
                        (z.generation, z.stage) = (z.generation + 50, Stage::Left);
                    }
                }
            }
            if let (Some(ill), Message::Digest { zones, .. }) = (self.liars.get(&from), &mut message) {
                for (_, z) in
                    zones.iter_mut().enumerate().filter(|(n, _)| self.lie_of.is_none_or(|of| of == *n))
                {
                    z.lost = if *ill { i16::MAX } else { i16::MIN };
                    z.hearing = if *ill { 0 } else { 1000 };
                }
            }
            let bytes = message.bytes();
            assert!(bytes.len() <= badgerwind_zones::MAX_BYTES);
            assert_eq!(Message::read(&bytes).as_ref(), Some(&message));
            self.said += 1;
            if self.apart.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let at = self.now + self.rng.random_range(0..5 * MS);
            self.push(at, Event::Said(from, to, bytes));
        }
    }

    /// One front end asks an executor something.
    fn ask(&mut self, m: Member, e: u32, probe: bool) {
        let zone = (e / self.each) as usize;
        let health = self.health.get(&e).copied().unwrap_or(Health::Good);
        let (sign, after) = match health {
            Health::Gone => (2, TIME_OUT),
            _ if self.cut.contains(&(m, zone)) => (2, TIME_OUT),
            Health::Slow => (1, 10 * ANSWER),
            Health::Good => (0, ANSWER),
        };
        if probe {
            self.probes += 1;
        } else {
            self.calls[zone] += 1;
            self.lost[zone] += usize::from(sign == 2);
            self.recent.push((self.now, e));
        }
        self.push(self.now + after, Event::Ended(m, e, sign, self.now));
    }

    pub fn step(&mut self) {
        self.now += STEP;
        while self.on_the_way.peek().is_some_and(|m| m.0 .0 <= self.now) {
            let Some(Reverse((_, _, event))) = self.on_the_way.pop() else { break };
            match event {
                Event::Said(from, to, bytes) => {
                    let message = Message::read(&bytes).unwrap();
                    let Some(node) = self.nodes.get_mut(&to) else { continue };
                    if let Some(answer) = node.receive(self.now, from, &message) {
                        self.say(to, vec![(from, answer)]);
                    }
                }
                Event::Ended(m, e, sign, sent) => {
                    let avoids = self.avoids.entry((m, e)).or_insert((0, SECOND));
                    match sign {
                        2 => *avoids = (self.now + avoids.1, (2 * avoids.1).min(16 * SECOND)),
                        _ => *avoids = (0, SECOND),
                    }
                    let sign = [Observation::Heard, Observation::Late, Observation::Lost][usize::from(sign)];
                    if let Some(node) = self.nodes.get_mut(&m) {
                        match sign {
                            Observation::Lost => node.unanswered(self.now, e, sent),
                            sign => node.record(self.now, e, sign, sent),
                        }
                    }
                }
            }
        }
        for m in self.nodes.keys().copied().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&m).unwrap();
            let beats = node.beats();
            let out = node.tick(self.now);
            let probes = if node.beats() == beats { Vec::new() } else { node.probes() };
            self.say(m, out);
            probes.into_iter().for_each(|e| self.ask(m, e, true));
            let calls = self.rate * STEP as f64 / 1e6;
            let n = calls as usize + usize::from(self.rng.random_bool(calls.fract()));
            for _ in 0..n {
                let asks = |e: u32| self.avoids.get(&(m, e)).is_none_or(|a| a.0 <= self.now);
                let open = self.executors().filter(|(e, z)| self.nodes[&m].open(*e, *z) && asks(*e));
                let open: Vec<u32> = open.map(|(e, _)| e).collect();
                if !open.is_empty() {
                    let e = open[self.rng.random_range(0..open.len())];
                    self.ask(m, e, false);
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

    /// The part of a zone's pairs of front end and executor that is in use.
    pub fn share(&self, zone: usize) -> f64 {
        let n = self.nodes.len().max(1) as f64;
        self.nodes.values().map(|m| m.share(zone)).sum::<f64>() / n
    }

    pub fn stage(&self, m: Member, zone: usize) -> Stage {
        self.nodes[&m].standing(zone).unwrap().0.stage
    }

    pub fn generations(&self, zone: usize) -> u16 {
        self.nodes.values().map(|n| n.standing(zone).unwrap().0.generation).max().unwrap_or(0)
    }

    /// Front ends ask all executors again that are open to them, whatever they lost there.
    pub fn forgive(&mut self) {
        self.avoids.clear();
    }

    /// The busiest executor of a zone lately, over what each has when all is well.
    pub fn crowd(&self, zone: usize) -> f64 {
        let mut by: BTreeMap<u32, usize> = BTreeMap::new();
        self.recent
            .iter()
            .filter(|(_, e)| (e / self.each) as usize == zone)
            .for_each(|(_, e)| *by.entry(*e).or_default() += 1);
        let ordinary = self.rate * self.nodes.len() as f64 * 0.5 / (self.zones as f64 * f64::from(self.each));
        by.values().max().map_or(0.0, |n| *n as f64 / ordinary)
    }
}
