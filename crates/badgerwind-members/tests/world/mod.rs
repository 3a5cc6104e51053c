//! Members in simulated time over a network that loses, doubles and delays, with the same state machines as on sockets.
#![allow(dead_code)] // each test file uses its part

use badgerwind_members::{Member, Members, Message, Mutant, State, Terms, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000_000;
pub const PERIOD: Time = 100 * MS;
const STEP: Time = 5 * MS;

/// When it arrives, its number, from whom, to whom, and what.
type OnTheWay = (Time, u64, Member, Member, Vec<u8>);

pub struct World {
    pub now: Time,
    pub rng: StdRng,
    pub members: BTreeMap<Member, Members>,
    /// Stopped processes: they neither receive nor send, and what comes meanwhile waits for them.
    pub stopped: BTreeSet<Member>,
    /// Ways, from and to, on which all is lost.
    pub cut: BTreeSet<(Member, Member)>,
    pub loss: f64,
    pub twice: f64,
    pub delay: Time,
    /// Members that hear everything so much later.
    pub slow: BTreeMap<Member, Time>,
    pub sent: u64,
    pub bytes: u64,
    on_the_way: BinaryHeap<Reverse<OnTheWay>>,
    count: u64,
    n: Member,
    incarnations: u64,
    mutant: Option<Mutant>,
}

impl World {
    pub fn new(n: Member, seed: u64, mutant: Option<Mutant>) -> World {
        let mut w = World {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            stopped: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            twice: 0.0,
            delay: 5 * MS,
            slow: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            on_the_way: BinaryHeap::new(),
            count: 0,
            n,
            incarnations: 0,
            mutant,
        };
        (0..n).for_each(|m| w.start(m));
        w
    }

    /// Starts one from nothing, after a kill or for the first time.
    pub fn start(&mut self, m: Member) {
        self.incarnations += 1;
        let first = self.now + self.rng.random_range(0..PERIOD);
        let one =
            Members::new(first, (m, self.incarnations), 0..self.n, Terms::paced(PERIOD)).with(self.mutant);
        self.members.insert(m, one);
    }

    pub fn kill(&mut self, m: Member) {
        self.members.remove(&m);
        self.stopped.remove(&m);
    }

    pub fn cut_between(&mut self, a: &[Member], b: &[Member], both_ways: bool) {
        for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y))) {
            self.cut.insert((x, y));
            if both_ways {
                self.cut.insert((y, x));
            }
        }
    }

    pub fn send(&mut self, from: Member, out: Vec<(Member, Message)>) {
        for (to, message) in out {
            let bytes = message.bytes();
            assert!(bytes.len() <= badgerwind_members::MAX_BYTES);
            self.sent += 1;
            self.bytes += bytes.len() as u64;
            if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            for _ in 0..1 + u8::from(self.rng.random_bool(self.twice)) {
                self.count += 1;
                let late = self.slow.get(&to).copied().unwrap_or(0);
                let at = self.now + late + self.rng.random_range(0..=self.delay);
                self.on_the_way.push(Reverse((at, self.count, from, to, bytes.clone())));
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        // Who wakes looks at its clock before it hears what has come meanwhile, as a process may.
        let all: Vec<Member> = self.members.keys().copied().collect();
        for m in all.into_iter().filter(|m| !self.stopped.contains(m)).collect::<Vec<_>>() {
            let rng = &mut self.rng;
            let mut draw = |n: usize| rng.random_range(0..n.max(1));
            let out = self.members.get_mut(&m).unwrap().tick(self.now, &mut draw);
            self.send(m, out);
        }
        while self.on_the_way.peek().is_some_and(|m| m.0 .0 <= self.now) {
            let Some(Reverse((at, n, from, to, bytes))) = self.on_the_way.pop() else { break };
            if self.stopped.contains(&to) {
                self.on_the_way.push(Reverse((at.max(self.now) + STEP, n, from, to, bytes)));
                continue;
            }
            let message = Message::read(&bytes).unwrap();
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

    /// Runs until it holds; how long that took, or `None` where it did not within the bound.
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

    pub fn state(&self, by: Member, of: Member) -> State {
        self.members[&by].view().find(|(m, _)| *m == of).map_or(State::Unknown, |s| s.1.state)
    }

    /// Whether each that runs takes each that runs for there, and each that does not for gone.
    pub fn agrees(&self) -> bool {
        self.members.iter().filter(|(m, _)| !self.stopped.contains(m)).all(|(by, one)| {
            one.view().all(|(of, seen)| {
                let runs = self.members.get(&of).filter(|_| !self.stopped.contains(&of));
                match runs {
                    Some(it) => {
                        *by == of || seen.state == State::Alive && seen.incarnation == it.incarnation()
                    }
                    None => matches!(seen.state, State::Dead | State::Left | State::Unknown),
                }
            })
        })
    }

    /// Pairs in which one that runs takes another that runs for dead.
    pub fn wrongly_dead(&self) -> usize {
        let all = self.members.values().flat_map(|one| one.view());
        all.filter(|(of, seen)| seen.state == State::Dead && self.members.contains_key(of)).count()
    }
}
