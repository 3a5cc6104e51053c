//! Members in simulated time over a network with loss, duplication and delay, with the same state machines as
//! on sockets.
#![allow(dead_code)] // each test file uses its part

use badgerwind_members::{DetectionSettings, Member, Members, Message, Mutant, State, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000_000;
pub const PERIOD: Time = 100 * MS;
const STEP: Time = 5 * MS;

/// A message in flight: arrival time, sequence number, sender, recipient, and its encoding.
type InFlight = (Time, u64, Member, Member, Vec<u8>);

pub struct World {
    pub now: Time,
    pub rng: StdRng,
    pub members: BTreeMap<Member, Members>,
    /// Paused processes: they neither receive nor send, and messages wait until they resume.
    pub paused: BTreeSet<Member>,
    /// Links, sender and recipient, on which every message is lost.
    pub broken_links: BTreeSet<(Member, Member)>,
    pub loss: f64,
    pub duplication: f64,
    pub delay: Time,
    /// Members that receive every message later by this time.
    pub extra_delay: BTreeMap<Member, Time>,
    pub sent: u64,
    pub bytes: u64,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    /// Number of messages put in flight so far, which orders those of the same time.
    count: u64,
    /// Number of members in the settings.
    n: Member,
    incarnations: u64,
    mutant: Option<Mutant>,
}

impl World {
    pub fn new(n: Member, seed: u64, mutant: Option<Mutant>) -> World {
        let mut world = World {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            paused: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            delay: 5 * MS,
            extra_delay: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            in_flight: BinaryHeap::new(),
            count: 0,
            n,
            incarnations: 0,
            mutant,
        };
        (0..n).for_each(|m| world.start(m));
        world
    }

    /// Starts a member without state, for the first time or after a kill.
    pub fn start(&mut self, m: Member) {
        self.incarnations += 1;
        let first = self.now + self.rng.random_range(0..PERIOD);
        let one =
            Members::new(first, (m, self.incarnations), 0..self.n, DetectionSettings::for_period(PERIOD))
                .with_mutant(self.mutant);
        self.members.insert(m, one);
    }

    pub fn kill(&mut self, m: Member) {
        self.members.remove(&m);
        self.paused.remove(&m);
    }

    pub fn cut_between(&mut self, a: &[Member], b: &[Member], both_ways: bool) {
        for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y))) {
            self.broken_links.insert((x, y));
            if both_ways {
                self.broken_links.insert((y, x));
            }
        }
    }

    pub fn send(&mut self, from: Member, out: Vec<(Member, Message)>) {
        for (to, message) in out {
            let bytes = message.encode();
            assert!(bytes.len() <= badgerwind_members::MAX_BYTES);
            self.sent += 1;
            self.bytes += bytes.len() as u64;
            if self.broken_links.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            for _ in 0..1 + u8::from(self.rng.random_bool(self.duplication)) {
                self.count += 1;
                let extra = self.extra_delay.get(&to).copied().unwrap_or(0);
                let at = self.now + extra + self.rng.random_range(0..=self.delay);
                self.in_flight.push(Reverse((at, self.count, from, to, bytes.clone())));
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        // A resumed member ticks before it receives the messages that waited for it, as a process may.
        let all: Vec<Member> = self.members.keys().copied().collect();
        for m in all.into_iter().filter(|m| !self.paused.contains(m)).collect::<Vec<_>>() {
            let rng = &mut self.rng;
            let mut draw = |n: usize| rng.random_range(0..n.max(1));
            let out = self.members.get_mut(&m).unwrap().tick(self.now, &mut draw);
            self.send(m, out);
        }
        while self.in_flight.peek().is_some_and(|m| m.0 .0 <= self.now) {
            let Some(Reverse((at, n, from, to, bytes))) = self.in_flight.pop() else { break };
            if self.paused.contains(&to) {
                self.in_flight.push(Reverse((at.max(self.now) + STEP, n, from, to, bytes)));
                continue;
            }
            let message = Message::decode(&bytes).unwrap();
            if let Some(one) = self.members.get_mut(&to) {
                let out = one.receive(self.now, from, &message);
                self.send(to, out);
            }
        }
    }

    pub fn run(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until the condition holds, and returns the time that took, or `None` if it exceeded the bound.
    pub fn time_until(&mut self, bound: Time, holds: impl Fn(&World) -> bool) -> Option<Time> {
        let from = self.now;
        while self.now < from + bound {
            if holds(self) {
                return Some(self.now - from);
            }
            self.step();
        }
        None
    }

    pub fn state(&self, by: Member, of: Member) -> State {
        self.members[&by].view().find(|(m, _)| *m == of).map_or(State::Unknown, |s| s.1.state)
    }

    /// Whether every running member regards every running member as alive, and every other one as dead, left
    /// or unknown.
    pub fn views_are_correct(&self) -> bool {
        self.members.iter().filter(|(m, _)| !self.paused.contains(m)).all(|(by, one)| {
            one.view().all(|(of, peer)| {
                let running = self.members.get(&of).filter(|_| !self.paused.contains(&of));
                match running {
                    Some(member) => {
                        *by == of || peer.state == State::Alive && peer.incarnation == member.incarnation()
                    }
                    None => matches!(peer.state, State::Dead | State::Left | State::Unknown),
                }
            })
        })
    }

    /// Number of pairs in which a running member regards another running member as dead.
    pub fn wrongly_dead(&self) -> usize {
        let all = self.members.values().flat_map(|one| one.view());
        all.filter(|(of, peer)| peer.state == State::Dead && self.members.contains_key(of)).count()
    }
}
