//! A fleet in simulated time: the product's own state machines, a network that loses, delays, doubles, reorders and cuts,
//! processes that die, stop, go on and start from nothing, clocks that run fast and slow. The observer knows true time and
//! looks at every owner after every step; it believes nobody.

use badgerwind_budgets::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BinaryHeap};

pub const MS: u64 = 1000;

/// One fault from one time to another, in true microseconds.
#[derive(Clone, Debug)]
#[allow(dead_code)] // not every test that plays days draws all of them
pub enum Fault {
    /// These die.
    Kill(Vec<usize>),
    /// These start again from nothing.
    Start(Vec<usize>),
    /// These are stopped.
    Stop(Vec<usize>),
    /// And go on.
    Go(Vec<usize>),
    /// From the first to the second group nothing passes.
    Cut(Vec<usize>, Vec<usize>),
    /// All cuts are over.
    Heal,
    /// These hear of another version of the settings, with so many units.
    Limit(Vec<usize>, u32, Unit),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub members: usize,
    pub voters: usize,
    pub units: Unit,
    pub floor: Unit,
    pub rest: u64,
    pub loss: f64,
    pub twice: f64,
    pub delay: u64,
    pub drift: u32,
    /// How often a member asks for votes though it hears a coordinator: no safety may rest on its patience.
    pub eager: f64,
    pub faults: Vec<(u64, Fault)>,
    pub end: u64,
    pub mutant: Option<Mutant>,
    /// What each wants of the limit, in units.
    pub wants: Vec<Unit>,
}

enum Event {
    Tick(usize, u64),
    Spend(usize, u64),
    Arrive(usize, usize, Message),
    Fault(usize),
}

/// What the observer saw.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    /// Two owners of a unit, or a unit spent twice in a window: when and what.
    pub broken: Option<(u64, String)>,
    /// Most units owned at an instant over the limit.
    pub most_owned: f64,
    /// Most spent within a window over the limit.
    pub most_spent: f64,
    /// Units owned at the times asked for.
    pub owned: Vec<(u64, usize)>,
    pub messages: u64,
    pub bytes: u64,
    pub spends: u64,
    pub leaderships: u64,
}

pub struct World {
    plan: Plan,
    rng: StdRng,
    now: u64,
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    processes: Vec<Option<Node>>,
    stopped: Vec<bool>,
    incarnations: Vec<u64>,
    /// Rate of each clock in millionths, and its offset.
    clocks: Vec<(u64, u64)>,
    cuts: Vec<(Vec<usize>, Vec<usize>)>,
    terms: Terms,
    book: Book,
    /// When each unit was last spent, in true time.
    spent: BTreeMap<Unit, u64>,
    window: std::collections::VecDeque<u64>,
    pub seen: Seen,
    sample: u64,
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let terms = Terms {
            voters: (0..plan.voters as Member).collect(),
            vote: 300 * MS,
            lease: 1000 * MS,
            beat: 100 * MS,
            drift: plan.drift,
            moves: 64,
        };
        let limit =
            Limit { units: plan.units, floor: plan.floor, members: plan.members as Member, rest: plan.rest };
        let book = Book { version: 1, limits: vec![limit] };
        terms.check(&book.limits).unwrap();
        let d = u64::from(plan.drift);
        let clocks = (0..plan.members)
            .map(|_| (rng.random_range(1_000_000 - d..=1_000_000 + d), rng.random_range(0..10_000_000)))
            .collect();
        let n = plan.members;
        let mut world = World {
            rng,
            now: 1,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            processes: (0..n).map(|_| None).collect(),
            stopped: vec![false; n],
            incarnations: vec![0; n],
            clocks,
            cuts: Vec::new(),
            terms,
            book,
            spent: BTreeMap::new(),
            window: Default::default(),
            seen: Seen::default(),
            sample: 0,
            plan,
        };
        (0..n).for_each(|i| world.start(i));
        for k in 0..world.plan.faults.len() {
            let at = world.plan.faults[k].0;
            world.at(at, Event::Fault(k));
        }
        world
    }

    fn at(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(std::cmp::Reverse((at, self.count)));
    }

    /// Its own clock.
    fn clock(&self, i: usize) -> u64 {
        let (rate, offset) = self.clocks[i];
        offset + (u128::from(self.now) * u128::from(rate) / 1_000_000) as u64
    }

    fn start(&mut self, i: usize) {
        if self.processes[i].is_some() {
            return;
        }
        self.incarnations[i] += 1;
        let (incarnation, now, mutant) = (self.incarnations[i], self.clock(i), self.plan.mutant);
        let part = self.rng.random::<f64>();
        let (me, book, terms) = (i as Member, self.book.clone(), self.terms.clone());
        let mut node = Node::new(now, (me, incarnation), book, terms, part).with(mutant);
        node.want(0, self.plan.wants[i]);
        self.processes[i] = Some(node);
        self.stopped[i] = false;
        let (a, b) = (self.rng.random_range(0..self.terms.beat / 4), self.rng.random_range(0..50 * MS));
        let now = self.now;
        self.at(now + a, Event::Tick(i, incarnation));
        self.at(now + b, Event::Spend(i, incarnation));
    }

    fn send_all(&mut self, from: usize, to: To, message: Message) {
        match to {
            To::One(to) => self.send(from, usize::from(to), message),
            To::Voters => (0..self.plan.voters)
                .filter(|to| *to != from)
                .for_each(|to| self.send(from, to, message.clone())),
            To::All => (0..self.plan.members)
                .filter(|to| *to != from)
                .for_each(|to| self.send(from, to, message.clone())),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = message.bytes();
        assert!(bytes.len() <= MOST);
        assert_eq!(Message::read(&bytes).as_ref(), Some(&message), "what is sent can be read");
        (self.seen.messages, self.seen.bytes) =
            (self.seen.messages + 1, self.seen.bytes + bytes.len() as u64);
        let cut = self.cuts.iter().any(|(a, b)| a.contains(&from) && b.contains(&to));
        if cut || self.rng.random_bool(self.plan.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.twice));
        for _ in 0..copies {
            // Now and then one comes very late: after its lease, after its coordinator.
            let late = if self.rng.random_bool(0.03) { 2500 * MS } else { 0 };
            let delay = self.rng.random_range(0..=self.plan.delay + late);
            let at = self.now + 1 + delay;
            self.at(at, Event::Arrive(from, to, message.clone()));
        }
    }

    fn runs(&self, i: usize, incarnation: u64) -> bool {
        self.processes[i].is_some() && self.incarnations[i] == incarnation
    }

    /// Plays to the end, or to the first broken promise.
    pub fn play(mut self) -> Seen {
        while let Some(std::cmp::Reverse((at, n))) = self.queue.pop() {
            if at > self.plan.end || self.seen.broken.is_some() {
                break;
            }
            self.now = self.now.max(at);
            let Some(event) = self.events.remove(&n) else { continue };
            let changes = !matches!(event, Event::Spend(..));
            self.step(event);
            // Owners change by what arrives or is due, by starts and settings; by time alone they only lose.
            if changes {
                self.observe();
            }
        }
        self.seen
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            // A stopped process does what was due when it goes on.
            Event::Tick(i, incarnation) | Event::Spend(i, incarnation) if !self.runs(i, incarnation) => {}
            Event::Tick(i, _) | Event::Spend(i, _) if self.stopped[i] => {
                self.at(now + MS, event);
            }
            Event::Arrive(_, to, _) if self.processes[to].is_none() => {}
            Event::Arrive(_, to, _) if self.stopped[to] => self.at(now + MS, event),
            Event::Tick(i, incarnation) => {
                let (local, part) = (self.clock(i), self.rng.random::<f64>());
                let eager = self.rng.random_bool(self.plan.eager);
                let p = self.processes[i].as_mut().unwrap();
                let before = p.is_coordinator(local);
                let mut out = p.tick(local, part);
                if eager {
                    p.request_votes(local, To::Voters, &mut out);
                }
                self.seen.leaderships += u64::from(!before && p.is_coordinator(local));
                let pace = p.pace();
                out.into_iter().for_each(|(to, message)| self.send_all(i, to, message));
                self.at(now + pace, Event::Tick(i, incarnation));
            }
            Event::Spend(i, incarnation) => {
                let local = self.clock(i);
                // It would use up all that it wants of a window, and a little more.
                for _ in 0..3 {
                    let unit = self.processes[i].as_mut().unwrap().spend(local, 0);
                    if let Some(u) = unit {
                        self.spent_one(i, u);
                    }
                }
                let next = self.rng.random_range(1..40 * MS);
                self.at(now + next, Event::Spend(i, incarnation));
            }
            Event::Arrive(from, to, message) => self.arrive(from, to, message),
            Event::Fault(k) => self.fault(k),
        }
    }

    fn arrive(&mut self, from: usize, to: usize, message: Message) {
        let local = self.clock(to);
        let p = self.processes[to].as_mut().unwrap();
        let before = p.is_coordinator(local);
        let answer = p.heard(local, from as Member, &message);
        self.seen.leaderships += u64::from(!before && p.is_coordinator(local));
        if let Some(answer) = answer {
            self.send(to, from, answer);
        }
    }

    fn fault(&mut self, k: usize) {
        match self.plan.faults[k].1.clone() {
            Fault::Kill(who) => who.into_iter().for_each(|i| self.processes[i] = None),
            Fault::Start(who) => who.into_iter().for_each(|i| self.start(i)),
            Fault::Stop(who) => who.into_iter().for_each(|i| self.stopped[i] = true),
            Fault::Go(who) => {
                for i in who {
                    self.stopped[i] = false;
                    // Its first instruction may be to spend, before it hears anything.
                    let local = self.clock(i);
                    if let Some(u) = self.processes[i].as_mut().and_then(|p| p.spend(local, 0)) {
                        self.spent_one(i, u);
                    }
                }
            }
            Fault::Cut(a, b) => self.cuts.push((a, b)),
            Fault::Heal => self.cuts.clear(),
            Fault::Limit(who, version, units) => {
                if version > self.book.version {
                    (self.book.version, self.book.limits[0].units) = (version, units);
                }
                let mut book = self.book.clone();
                (book.version, book.limits[0].units) = (version, units);
                for i in who {
                    let local = self.clock(i);
                    if let Some(p) = &mut self.processes[i] {
                        p.set(local, &book).expect("only the limit changes");
                    }
                }
            }
        }
    }

    fn spent_one(&mut self, by: usize, unit: Unit) {
        self.seen.spends += 1;
        let (now, rest) = (self.now, self.plan.rest);
        if let Some(last) = self.spent.insert(unit, now).filter(|last| now < last + rest) {
            self.broke(format!("{by} spent unit {unit} {} us after it was spent last", now - last));
        }
        self.window.push_back(now);
        while self.window.front().is_some_and(|t| *t + rest <= now) {
            self.window.pop_front();
        }
        let share = self.window.len() as f64 / f64::from(self.plan.units);
        self.seen.most_spent = self.seen.most_spent.max(share);
    }

    fn broke(&mut self, what: String) {
        self.seen.broken.get_or_insert((self.now, what));
    }

    /// Every unit has at most one owner among the living, stopped ones too.
    fn observe(&mut self) {
        let mut owners: Vec<Option<usize>> = vec![None; usize::from(self.plan.units)];
        let mut owned = 0;
        let mut twice = None;
        for i in 0..self.plan.members {
            let local = self.clock(i);
            let Some(p) = &self.processes[i] else { continue };
            for u in p.owned(local, 0).iter() {
                owned += 1;
                if let Some(other) = owners[usize::from(u)].replace(i) {
                    twice = Some(format!("unit {u} is owned by {other} and {i}"));
                }
            }
        }
        if let Some(what) = twice {
            self.broke(what);
        }
        self.seen.most_owned = self.seen.most_owned.max(owned as f64 / f64::from(self.plan.units));
        if self.now >= self.sample {
            self.seen.owned.push((self.now, owned));
            self.sample = self.now + 100 * MS;
        }
    }
}
