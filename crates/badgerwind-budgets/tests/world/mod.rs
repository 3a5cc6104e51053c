//! A fleet in simulated time: the real state machines, a network with loss, delay, duplication, reordering
//! and partitions, processes that crash, pause, resume and restart without state, and clocks that run fast or
//! slow. An observer that knows true time checks the owners of all units after every step and relies on
//! nothing that members report of each other.

use badgerwind_budgets::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BinaryHeap};

pub const MS: u64 = 1000;

/// A fault at a point in true time.
#[derive(Clone, Debug)]
#[allow(dead_code)] // not every test that uses this module injects all of them
pub enum Fault {
    /// These members crash.
    Kill(Vec<usize>),
    /// These members restart without state.
    Start(Vec<usize>),
    /// These members are paused.
    Pause(Vec<usize>),
    /// These members resume.
    Resume(Vec<usize>),
    /// No message passes from the first group to the second.
    Cut(Vec<usize>, Vec<usize>),
    /// All partitions end.
    Heal,
    /// These members receive this version of the limits, with this number of units.
    Limit(Vec<usize>, u32, Unit),
}

/// Size of a fleet, its settings, its network, and the schedule of faults. Times are in true microseconds.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub members: usize,
    pub voters: usize,
    pub units: Unit,
    pub floor: Unit,
    pub cooldown: u64,
    pub loss: f64,
    pub duplication: f64,
    pub delay: u64,
    pub drift: u32,
    /// Probability per tick that a member requests votes although a coordinator exists: safety must not
    /// depend on when votes are requested.
    pub unsolicited_vote_requests: f64,
    pub faults: Vec<(u64, Fault)>,
    pub end: u64,
    pub mutant: Option<Mutant>,
    /// Units that each member could use.
    pub wants: Vec<Unit>,
}

enum Event {
    /// A member ticks; the number is its incarnation, here and below.
    Tick(usize, u64),
    /// A member attempts to spend units.
    Spend(usize, u64),
    /// A message from the first member arrives at the second.
    Receive(usize, usize, Message),
    /// The fault with this index in the plan begins.
    Fault(usize),
}

/// What the observer recorded.
#[derive(Debug, Default, Clone)]
pub struct Observed {
    /// Time and description of the first violation: a unit with two owners, or spent twice within its
    /// cooldown.
    pub violation: Option<(u64, String)>,
    /// Largest fraction of the limit that was owned at any instant.
    pub most_owned: f64,
    /// Largest fraction of the limit that was spent within a window.
    pub most_spent: f64,
    /// Units owned, sampled every 100 ms.
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
    /// Number of events scheduled so far, which identifies each and orders events of the same time.
    count: u64,
    processes: Vec<Option<Node>>,
    paused: Vec<bool>,
    incarnations: Vec<u64>,
    /// Rate of each clock in millionths of true time, and its offset.
    clocks: Vec<(u64, u64)>,
    cuts: Vec<(Vec<usize>, Vec<usize>)>,
    settings: LeaseSettings,
    limit_set: LimitSet,
    /// When each unit was last spent, in true time.
    spent: BTreeMap<Unit, u64>,
    window: std::collections::VecDeque<u64>,
    pub observed: Observed,
    sample: u64,
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let settings = LeaseSettings {
            voters: (0..plan.voters as Member).collect(),
            vote: 300 * MS,
            lease: 1000 * MS,
            request_interval: 100 * MS,
            drift_ppm: plan.drift,
            max_moves: 64,
        };
        let limit = Limit {
            units: plan.units,
            floor: plan.floor,
            members: plan.members as Member,
            cooldown: plan.cooldown,
        };
        let limit_set = LimitSet { version: 1, limits: vec![limit] };
        settings.validate(&limit_set.limits).unwrap();
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
            paused: vec![false; n],
            incarnations: vec![0; n],
            clocks,
            cuts: Vec::new(),
            settings,
            limit_set,
            spent: BTreeMap::new(),
            window: Default::default(),
            observed: Observed::default(),
            sample: 0,
            plan,
        };
        (0..n).for_each(|i| world.start(i));
        for k in 0..world.plan.faults.len() {
            let at = world.plan.faults[k].0;
            world.schedule(at, Event::Fault(k));
        }
        world
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(std::cmp::Reverse((at, self.count)));
    }

    /// A member's own clock.
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
        let jitter = self.rng.random::<f64>();
        let (me, limit_set, settings) = (i as Member, self.limit_set.clone(), self.settings.clone());
        let mut node = Node::new(now, (me, incarnation), limit_set, settings, jitter).with_mutant(mutant);
        node.set_wanted(0, self.plan.wants[i]);
        self.processes[i] = Some(node);
        self.paused[i] = false;
        let (a, b) =
            (self.rng.random_range(0..self.settings.request_interval / 4), self.rng.random_range(0..50 * MS));
        let now = self.now;
        self.schedule(now + a, Event::Tick(i, incarnation));
        self.schedule(now + b, Event::Spend(i, incarnation));
    }

    fn send_all(&mut self, from: usize, to: Recipient, message: Message) {
        match to {
            Recipient::One(to) => self.send(from, usize::from(to), message),
            Recipient::Voters => (0..self.plan.voters)
                .filter(|to| *to != from)
                .for_each(|to| self.send(from, to, message.clone())),
            Recipient::All => (0..self.plan.members)
                .filter(|to| *to != from)
                .for_each(|to| self.send(from, to, message.clone())),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        assert_eq!(Message::decode(&bytes).as_ref(), Some(&message), "what is sent can be read");
        (self.observed.messages, self.observed.bytes) =
            (self.observed.messages + 1, self.observed.bytes + bytes.len() as u64);
        let cut = self.cuts.iter().any(|(a, b)| a.contains(&from) && b.contains(&to));
        if cut || self.rng.random_bool(self.plan.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.duplication));
        for _ in 0..copies {
            // A few arrive very late: after the lease has expired, or under another coordinator.
            let late = if self.rng.random_bool(0.03) { 2500 * MS } else { 0 };
            let delay = self.rng.random_range(0..=self.plan.delay + late);
            let at = self.now + 1 + delay;
            self.schedule(at, Event::Receive(from, to, message.clone()));
        }
    }

    /// Whether this incarnation of the member is running.
    fn runs(&self, i: usize, incarnation: u64) -> bool {
        self.processes[i].is_some() && self.incarnations[i] == incarnation
    }

    /// Runs to the end of the plan, or to the first violation.
    pub fn run(mut self) -> Observed {
        while let Some(std::cmp::Reverse((at, n))) = self.queue.pop() {
            if at > self.plan.end || self.observed.violation.is_some() {
                break;
            }
            self.now = self.now.max(at);
            let Some(event) = self.events.remove(&n) else { continue };
            let changes = !matches!(event, Event::Spend(..));
            self.handle(event);
            // Units get an owner by messages, ticks, starts and settings only; time alone ends ownership.
            if changes {
                self.observe();
            }
        }
        self.observed
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            // A paused process does what was due when it resumes.
            Event::Tick(i, incarnation) | Event::Spend(i, incarnation) if !self.runs(i, incarnation) => {}
            Event::Tick(i, _) | Event::Spend(i, _) if self.paused[i] => {
                self.schedule(now + MS, event);
            }
            Event::Receive(_, to, _) if self.processes[to].is_none() => {}
            Event::Receive(_, to, _) if self.paused[to] => self.schedule(now + MS, event),
            Event::Tick(i, incarnation) => {
                let (local, jitter) = (self.clock(i), self.rng.random::<f64>());
                let unsolicited = self.rng.random_bool(self.plan.unsolicited_vote_requests);
                let node = self.processes[i].as_mut().unwrap();
                let before = node.is_coordinator(local);
                let mut out = node.tick(local, jitter);
                if unsolicited {
                    node.request_votes(local, Recipient::Voters, &mut out);
                }
                self.observed.leaderships += u64::from(!before && node.is_coordinator(local));
                let interval = node.tick_interval();
                out.into_iter().for_each(|(to, message)| self.send_all(i, to, message));
                self.schedule(now + interval, Event::Tick(i, incarnation));
            }
            Event::Spend(i, incarnation) => {
                let local = self.clock(i);
                // Attempts to spend more per window than it wants.
                for _ in 0..3 {
                    let unit = self.processes[i].as_mut().unwrap().spend(local, 0);
                    if let Some(u) = unit {
                        self.record_spend(i, u);
                    }
                }
                let next = self.rng.random_range(1..40 * MS);
                self.schedule(now + next, Event::Spend(i, incarnation));
            }
            Event::Receive(from, to, message) => self.receive(from, to, message),
            Event::Fault(k) => self.fault(k),
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let local = self.clock(to);
        let node = self.processes[to].as_mut().unwrap();
        let before = node.is_coordinator(local);
        let answer = node.receive(local, from as Member, &message);
        self.observed.leaderships += u64::from(!before && node.is_coordinator(local));
        if let Some(answer) = answer {
            self.send(to, from, answer);
        }
    }

    fn fault(&mut self, k: usize) {
        match self.plan.faults[k].1.clone() {
            Fault::Kill(who) => who.into_iter().for_each(|i| self.processes[i] = None),
            Fault::Start(who) => who.into_iter().for_each(|i| self.start(i)),
            Fault::Pause(who) => who.into_iter().for_each(|i| self.paused[i] = true),
            Fault::Resume(who) => {
                for i in who {
                    self.paused[i] = false;
                    // Its first instruction may be to spend, before it receives anything.
                    let local = self.clock(i);
                    if let Some(u) = self.processes[i].as_mut().and_then(|node| node.spend(local, 0)) {
                        self.record_spend(i, u);
                    }
                }
            }
            Fault::Cut(a, b) => self.cuts.push((a, b)),
            Fault::Heal => self.cuts.clear(),
            Fault::Limit(who, version, units) => {
                if version > self.limit_set.version {
                    (self.limit_set.version, self.limit_set.limits[0].units) = (version, units);
                }
                let mut limit_set = self.limit_set.clone();
                (limit_set.version, limit_set.limits[0].units) = (version, units);
                for i in who {
                    let local = self.clock(i);
                    if let Some(node) = &mut self.processes[i] {
                        node.apply_limits(local, &limit_set).expect("only the limit changes");
                    }
                }
            }
        }
    }

    fn record_spend(&mut self, by: usize, unit: Unit) {
        self.observed.spends += 1;
        let (now, cooldown) = (self.now, self.plan.cooldown);
        if let Some(last) = self.spent.insert(unit, now).filter(|last| now < last + cooldown) {
            self.record_violation(format!(
                "{by} spent unit {unit} {} us after it was spent last",
                now - last
            ));
        }
        self.window.push_back(now);
        while self.window.front().is_some_and(|t| *t + cooldown <= now) {
            self.window.pop_front();
        }
        let share = self.window.len() as f64 / f64::from(self.plan.units);
        self.observed.most_spent = self.observed.most_spent.max(share);
    }

    fn record_violation(&mut self, description: String) {
        self.observed.violation.get_or_insert((self.now, description));
    }

    /// Checks that every unit has at most one owner among the running members, including paused ones.
    fn observe(&mut self) {
        let mut owners: Vec<Option<usize>> = vec![None; usize::from(self.plan.units)];
        let mut owned = 0;
        let mut violation = None;
        for i in 0..self.plan.members {
            let local = self.clock(i);
            let Some(node) = &self.processes[i] else { continue };
            for u in node.owned(local, 0).iter() {
                owned += 1;
                if let Some(other) = owners[usize::from(u)].replace(i) {
                    violation = Some(format!("unit {u} is owned by {other} and {i}"));
                }
            }
        }
        if let Some(description) = violation {
            self.record_violation(description);
        }
        self.observed.most_owned = self.observed.most_owned.max(owned as f64 / f64::from(self.plan.units));
        if self.now >= self.sample {
            self.observed.owned.push((self.now, owned));
            self.sample = self.now + 100 * MS;
        }
    }
}
