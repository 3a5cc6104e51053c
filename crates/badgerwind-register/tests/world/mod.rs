//! Simulates a fleet in virtual time: the real state machines, disks that take time and lose unfinished
//! writes, a network that loses, duplicates, delays and blocks messages, processes that crash, are suspended,
//! resume and restart, and clocks that run fast or slow. The observer knows true time; it checks every
//! incarnation after every step and the state after every entry.

#![allow(dead_code)] // no test uses all of it

use badgerwind_register::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: u64 = 1000;

/// Counts the accepted announcements of each incarnation, and detects one that is duplicated, out of order or
/// after the end of its incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    announced: BTreeMap<(Member, Incarnation), (u64, bool)>,
    announcements: u64,
    error: Option<String>,
}

impl StateMachine for Tally {
    fn announced(&mut self, at: Index, by: (Member, Incarnation), bytes: &[u8]) {
        let number = u64::from_be_bytes(bytes.try_into().unwrap());
        let (last, ended) = self.announced.entry(by).or_default();
        if number != *last + 1 || *ended {
            self.error = Some(format!("entry {at}: {by:?} announced {number} after {last}, ended: {ended}"));
        }
        (*last, self.announcements) = (number, self.announcements + 1);
    }
    fn began(&mut self, at: Index, by: (Member, Incarnation)) {
        let open = self
            .announced
            .iter()
            .find(|((m, incarnation), (_, ended))| *m == by.0 && *incarnation < by.1 && !ended);
        if let Some((before, _)) = open {
            self.error = Some(format!("entry {at}: {by:?} began while {before:?} had not ended"));
        }
        self.announced.entry(by).or_default();
    }
    fn ended(&mut self, _: Index, of: (Member, Incarnation)) {
        self.announced.entry(of).or_default().1 = true;
    }
    fn save(&self) -> Vec<u8> {
        let announced: Vec<_> = self.announced.iter().collect();
        postcard::to_allocvec(&(announced, self.announcements, &self.error)).unwrap()
    }
    fn load(bytes: &[u8]) -> Option<Tally> {
        type Saved = (Vec<((Member, Incarnation), (u64, bool))>, u64, Option<String>);
        let (announced, announcements, error): Saved = postcard::from_bytes(bytes).ok()?;
        Some(Tally { announced: announced.into_iter().collect(), announcements, error })
    }
}

/// A fault and the hosts that it affects.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(Vec<usize>),
    Start(Vec<usize>),
    Suspend(Vec<usize>),
    Resume(Vec<usize>),
    /// Messages from the first hosts to the second ones are dropped.
    Block(Vec<usize>, Vec<usize>),
    Heal,
    /// The members leave.
    Leave(Vec<usize>),
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub members: usize,
    pub settings: Settings,
    pub loss: f64,
    pub duplication: f64,
    pub delay: u64,
    /// Upper bound of the time that a write to the disk takes.
    pub disk: u64,
    /// The time between two announcements of a member.
    pub announce_interval: u64,
    pub faults: Vec<(u64, Fault)>,
    pub end: u64,
    pub mutant: Option<Mutant>,
}

struct Host {
    node: Option<Node<Tally>>,
    disk: MemoryDisk,
    writing: Option<Write>,
    suspended: bool,
    missed: Vec<Event>,
    /// The clock's rate error, in millionths.
    drift_ppm: i64,
    /// Incremented by each start and kill: events of an earlier process are ignored.
    epoch: u64,
    announced: u64,
    /// The last entry after which the state was checked.
    checked: Index,
}

#[derive(Clone)]
enum Event {
    /// A host ticks; the number is the epoch of its process, here and below.
    Tick(usize, u64),
    /// A host makes an announcement.
    Announce(usize, u64),
    /// A host's write to its disk completes.
    Written(usize, u64),
    /// A message arrives at the first host from the second.
    Deliver(usize, usize, Message),
    /// The fault with this index in the scenario begins.
    Fault(usize),
}

/// The observer's measurements.
#[derive(Debug, Default, Clone)]
pub struct Observations {
    pub violation: Option<(u64, String)>,
    pub incarnations: u64,
    pub ends: u64,
    pub announcements: u64,
    pub messages: u64,
    pub bytes: u64,
    pub longest: usize,
    pub entries: u64,
    pub alive_at_end: usize,
    pub running_at_end: usize,
    /// The time from each announcement until its member knew it to be committed, in microseconds.
    pub commit_times: Vec<u64>,
}

pub struct World {
    scenario: Scenario,
    rng: StdRng,
    now: u64,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    count: u64,
    blocked: BTreeSet<(usize, usize)>,
    ended: BTreeSet<Incarnation>,
    states: BTreeMap<Index, Vec<u8>>,
    announced_at: BTreeMap<(Member, Incarnation, u64), u64>,
    pub observed: Observations,
}

impl World {
    pub fn new(scenario: Scenario) -> World {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let drift_ppm = i64::from(scenario.settings.drift_ppm);
        let hosts = (0..scenario.members)
            .map(|_| Host {
                node: None,
                disk: MemoryDisk::default(),
                writing: None,
                suspended: false,
                missed: Vec::new(),
                drift_ppm: rng.random_range(-drift_ppm..=drift_ppm),
                epoch: 0,
                announced: 0,
                checked: 0,
            })
            .collect();
        let mut world = World {
            rng,
            now: 1_000_000,
            hosts,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            count: 0,
            blocked: BTreeSet::new(),
            ended: BTreeSet::new(),
            states: BTreeMap::new(),
            announced_at: BTreeMap::new(),
            observed: Observations::default(),
            scenario,
        };
        (0..world.scenario.members).for_each(|index| world.start(index));
        for (n, (at, _)) in world.scenario.faults.clone().into_iter().enumerate() {
            world.push(1_000_000 + at, Event::Fault(n));
        }
        world
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        let place = self.free.pop().unwrap_or(self.events.len());
        if place == self.events.len() {
            self.events.push(None);
        }
        self.events[place] = Some(event);
        self.queue.push(Reverse((at, self.count, place)));
    }

    fn clock(&self, index: usize) -> u64 {
        (self.now as i128 + self.now as i128 * i128::from(self.hosts[index].drift_ppm) / 1_000_000) as u64
    }

    fn start(&mut self, index: usize) {
        if self.hosts[index].node.is_some() {
            return;
        }
        let me = index as Member;
        let (now, settings) = (self.clock(index), self.scenario.settings.clone());
        let setup =
            Setup { me, zone: (index % 3) as u8, seed: self.rng.random(), settings: settings.clone() };
        let loses_state = self.scenario.mutant == Some(Mutant::VoterLosesState);
        let node = if settings.voters.contains(&me) {
            let storage = if loses_state {
                Node::<Tally>::initial_storage(&settings)
            } else {
                self.hosts[index].disk.read(&settings).unwrap()
            };
            Node::voter(now, setup, storage, Tally::default()).unwrap()
        } else {
            Node::follower(setup, Tally::default()).unwrap()
        };
        let host = &mut self.hosts[index];
        (host.node, host.suspended, host.writing) =
            (Some(node.with_mutant(now, self.scenario.mutant)), false, None);
        host.missed.clear();
        host.epoch += 1;
        host.checked = 0;
        let epoch = host.epoch;
        let first = self.rng.random_range(0..self.scenario.settings.tick);
        self.push(self.now + first, Event::Tick(index, epoch));
        self.push(self.now + first + self.scenario.announce_interval, Event::Announce(index, epoch));
    }

    fn act(&mut self, index: usize, act: impl FnOnce(&mut Node<Tally>, u64, &mut Vec<Output>)) {
        let now = self.clock(index);
        let mut out = Vec::new();
        if let Some(node) = &mut self.hosts[index].node {
            act(node, now, &mut out);
        }
        for o in out {
            match o {
                Output::Send(to, message) => self.send(index, usize::from(to), message),
                Output::Write(write) => {
                    assert!(self.hosts[index].writing.replace(write).is_none(), "two writes at once");
                    let epoch = self.hosts[index].epoch;
                    let duration = self.rng.random_range(0..=self.scenario.disk);
                    self.push(self.now + duration, Event::Written(index, epoch));
                }
                Output::Event(_, badgerwind_register::Event::Ended(m, incarnation)) => {
                    if self.ended.insert(incarnation) {
                        self.observed.ends += 1;
                    }
                    self.check_incarnation(usize::from(m));
                }
                Output::Event(_, badgerwind_register::Event::Announced(m, incarnation, serial))
                    if usize::from(m) == index =>
                {
                    if let Some(at) = self.announced_at.remove(&(m, incarnation, serial)) {
                        self.observed.commit_times.push(self.now - at);
                    }
                }
                Output::Event(_, badgerwind_register::Event::Began(_, incarnation)) => {
                    self.observed.incarnations = self.observed.incarnations.max(incarnation);
                }
                Output::UnknownRecordVersion(at) => {
                    self.report_violation(format!("entry {at} cannot be read"))
                }
                _ => {}
            }
        }
        self.check_incarnation(index);
        self.check_state(index);
    }

    fn report_violation(&mut self, description: String) {
        let at = self.now;
        self.observed.violation.get_or_insert((at, description));
    }

    /// Checks that a member does not consider itself live in an incarnation whose end some member has
    /// applied.
    fn check_incarnation(&mut self, index: usize) {
        let now = self.clock(index);
        if self.hosts[index].suspended {
            return;
        }
        let incarnation = self.hosts[index].node.as_ref().and_then(|n| n.live_incarnation(now));
        if let Some(incarnation) = incarnation.filter(|l| self.ended.contains(l)) {
            self.report_violation(format!(
                "member {index} acts in incarnation {incarnation}, whose end is committed"
            ));
        }
    }

    /// Checks that the same entries lead to the same state on all members, and that the state machine found
    /// no error.
    fn check_state(&mut self, index: usize) {
        let Some(node) = &self.hosts[index].node else { return };
        let at = node.ledger().applied();
        if self.hosts[index].checked == at {
            return;
        }
        let (bytes, announcements, error) = (
            node.ledger().save(),
            node.ledger().state_machine.announcements,
            node.ledger().state_machine.error.clone(),
        );
        self.hosts[index].checked = at;
        self.observed.entries = self.observed.entries.max(at);
        self.observed.announcements = self.observed.announcements.max(announcements);
        error.into_iter().for_each(|error| self.report_violation(error));
        if self.states.entry(at).or_insert_with(|| bytes.clone()) != &bytes {
            self.report_violation(format!("member {index} has a different state after entry {at}"));
        }
        while self.states.len() > 4096 {
            self.states.pop_first();
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = message.encode();
        self.observed.messages += 1;
        self.observed.bytes += bytes.len() as u64;
        self.observed.longest = self.observed.longest.max(bytes.len());
        let message = Message::decode(&bytes).expect("what was written can be read");
        if to >= self.hosts.len() || self.blocked.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.scenario.duplication));
        for _ in 0..copies {
            if !self.rng.random_bool(self.scenario.loss) {
                let late = if self.rng.random_bool(0.01) { 40 } else { 1 };
                let delay = self.rng.random_range(100..=self.scenario.delay.max(101)) * late;
                self.push(self.now + delay, Event::Deliver(to, from, message.clone()));
            }
        }
    }

    /// Runs the scenario to its end, or to the first violation.
    pub fn run(mut self) -> Observations {
        let end = 1_000_000 + self.scenario.end;
        while let Some(Reverse((at, _, place))) = self.queue.pop() {
            if at > end || self.observed.violation.is_some() {
                break;
            }
            self.now = at;
            let Some(event) = self.events[place].take() else { continue };
            self.free.push(place);
            self.dispatch(event);
        }
        self.now = self.now.max(end);
        for index in 0..self.hosts.len() {
            let now = self.clock(index);
            if let Some(n) = self.hosts[index].node.as_ref().filter(|_| !self.hosts[index].suspended) {
                self.observed.running_at_end += 1;
                self.observed.alive_at_end += usize::from(n.live_incarnation(now).is_some());
            }
        }
        self.observed
    }

    fn dispatch(&mut self, event: Event) {
        let host = match &event {
            Event::Tick(index, _)
            | Event::Announce(index, _)
            | Event::Written(index, _)
            | Event::Deliver(index, ..) => Some(*index),
            Event::Fault(_) => None,
        };
        if let Some(index) = host.filter(|index| self.hosts[*index].suspended) {
            // Missed events are delivered in random order when the process resumes.
            if self.hosts[index].missed.len() < 2000 {
                self.hosts[index].missed.push(event);
            }
            return;
        }
        match event {
            Event::Tick(index, epoch) if epoch == self.hosts[index].epoch => {
                self.push(self.now + self.scenario.settings.tick / 2, Event::Tick(index, epoch));
                self.act(index, |n, now, out| n.handle(now, Input::Tick, out));
            }
            Event::Announce(index, epoch) if epoch == self.hosts[index].epoch => {
                self.push(self.now + self.scenario.announce_interval, Event::Announce(index, epoch));
                let mut announced = None;
                let at = self.now;
                self.act(index, |n, now, out| {
                    // The announcement is its own serial number, counted by the test.
                    let Some(incarnation) = n.live_incarnation(now) else { return };
                    let next = n.announced(incarnation) + 1;
                    announced = n.announce(now, next.to_be_bytes().to_vec(), out).ok();
                    if let Some((_, serial)) = announced {
                        assert_eq!(serial, next, "serials follow each other within an incarnation");
                    }
                });
                if let Some((incarnation, serial)) = announced {
                    self.announced_at.insert((index as Member, incarnation, serial), at);
                    self.hosts[index].announced = serial;
                }
            }
            Event::Written(index, epoch) if epoch == self.hosts[index].epoch => {
                if let Some(write) = self.hosts[index].writing.take() {
                    self.hosts[index].disk.write(&write);
                }
                self.act(index, |n, now, out| n.handle(now, Input::Written, out));
            }
            Event::Deliver(index, from, message) => {
                self.act(index, |n, now, out| n.handle(now, Input::Received(from as Member, message), out));
            }
            Event::Fault(n) => self.inject(self.scenario.faults[n].1.clone()),
            _ => {} // of the process before a restart
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(who) => who.into_iter().for_each(|index| {
                let torn = self.rng.random_bool(0.5);
                let host = &mut self.hosts[index];
                // An unfinished write is either complete or absent.
                if let Some(write) = host.writing.take().filter(|_| torn) {
                    host.disk.write(&write);
                }
                (host.node, host.suspended) = (None, false);
                host.epoch += 1;
            }),
            Fault::Start(who) => who.into_iter().for_each(|index| self.start(index)),
            Fault::Suspend(who) => who.into_iter().for_each(|index| self.hosts[index].suspended = true),
            Fault::Resume(who) => who.into_iter().for_each(|index| {
                if std::mem::take(&mut self.hosts[index].suspended) {
                    // The first thing that a resumed process does may be an effect.
                    self.check_incarnation(index);
                    let missed = std::mem::take(&mut self.hosts[index].missed);
                    missed.into_iter().for_each(|e| {
                        let soon = self.rng.random_range(0..5 * MS);
                        self.push(self.now + soon, e);
                    });
                }
            }),
            Fault::Block(from, to) => {
                self.blocked.extend(from.iter().flat_map(|f| to.iter().map(move |t| (*f, *t))));
            }
            Fault::Heal => self.blocked.clear(),
            Fault::Leave(who) => who.into_iter().for_each(|index| {
                if !self.hosts[index].suspended {
                    self.act(index, |n, now, out| n.leave(now, out));
                }
            }),
        }
    }
}

/// A random scenario. No fault begins before 1.5 s, so that the fleet can start, or after 4.5 s of 9 s, so
/// that it can recover.
pub fn random_scenario(seed: u64) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x7e61);
    let voters: usize = [1, 3, 3, 5][rng.random_range(0..4)];
    let members = voters + rng.random_range(1..6);
    let settings = Settings {
        lease: 600 * MS,
        heartbeat_interval: 150 * MS,
        tick: 20 * MS,
        election_ticks: 5,
        drift_ppm: [0, 10_000, 80_000][rng.random_range(0..3)],
        retained_entries: [16, 4096][rng.random_range(0..2)],
        max_batch_bytes: [1024, 65536][rng.random_range(0..2)],
        max_pending: 64,
        voters: (0..voters as Member).collect(),
    };
    let end = 9_000 * MS;
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(2..=5) {
        let from = rng.random_range(1_500 * MS..4_500 * MS);
        let to = from + [60, 400, 900, 1800][rng.random_range(0..4)] * MS;
        let n = [1, 1, members / 2, members * 7 / 10][rng.random_range(0..4)].max(1);
        let mut all: Vec<usize> = (0..members).collect();
        (0..members).for_each(|i| all.swap(i, rng.random_range(0..members)));
        let (who, others) = (all[..n].to_vec(), all[n..].to_vec());
        match rng.random_range(0..6) {
            0 => faults.extend([(from, Fault::Kill(who.clone())), (to, Fault::Start(who))]),
            1 => faults.extend([(from, Fault::Suspend(who.clone())), (to, Fault::Resume(who))]),
            2 => {
                faults.push((from, Fault::Block(who.clone(), others.clone())));
                faults.push((from, Fault::Block(others, who)));
                faults.push((to, Fault::Heal));
            }
            3 => faults.extend([(from, Fault::Block(who, others)), (to, Fault::Heal)]),
            4 => {
                faults.push((from, Fault::Leave(who.clone())));
                faults.push((from + 50 * MS, Fault::Kill(who.clone())));
                faults.push((to, Fault::Start(who)));
            }
            // Suspended, then resumed while messages to them are blocked: there may be a new leader that does
            // not reach them.
            _ => {
                faults.push((from, Fault::Suspend(who.clone())));
                faults.push((to, Fault::Block(others, who.clone())));
                faults.push((to, Fault::Resume(who)));
                faults.push((to + 300 * MS, Fault::Heal));
            }
        }
    }
    faults.sort_by_key(|f| f.0);
    Scenario {
        seed,
        members,
        settings,
        loss: [0.0, 0.05, 0.2][rng.random_range(0..3)],
        duplication: [0.0, 0.2][rng.random_range(0..2)],
        delay: [1, 5, 30][rng.random_range(0..3)] * MS,
        disk: [1, 10, 60][rng.random_range(0..3)] * MS,
        announce_interval: 40 * MS,
        faults,
        end,
        mutant: None,
    }
}
