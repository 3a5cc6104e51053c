//! A fleet in simulated time: the product's own state machines, disks that take time and lose what they had not finished, a
//! network that loses, doubles, delays and cuts, processes that die, stop, go on and start again, clocks that run fast and slow.
//! The observer knows true time, looks at every incarnation after every step and at every state that an entry led to.

#![allow(dead_code)] // not every test plays all of it

use badgerwind_register::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: u64 = 1000;

/// How many words of each incarnation were taken, and whether one came twice, out of order or after the incarnation's end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    said: BTreeMap<(Member, Incarnation), (u64, bool)>,
    words: u64,
    wrong: Option<String>,
}

impl Part for Tally {
    fn announced(&mut self, at: Index, by: (Member, Incarnation), bytes: &[u8]) {
        let word = u64::from_be_bytes(bytes.try_into().unwrap());
        let (last, over) = self.said.entry(by).or_default();
        if word != *last + 1 || *over {
            self.wrong = Some(format!("entry {at}: {by:?} said {word} after {last}, over: {over}"));
        }
        (*last, self.words) = (word, self.words + 1);
    }
    fn began(&mut self, at: Index, by: (Member, Incarnation)) {
        let open =
            self.said.iter().find(|((m, incarnation), (_, over))| *m == by.0 && *incarnation < by.1 && !over);
        if let Some((before, _)) = open {
            self.wrong = Some(format!("entry {at}: {by:?} began while {before:?} had not ended"));
        }
        self.said.entry(by).or_default();
    }
    fn ended(&mut self, _: Index, of: (Member, Incarnation)) {
        self.said.entry(of).or_default().1 = true;
    }
    fn save(&self) -> Vec<u8> {
        let said: Vec<_> = self.said.iter().collect();
        postcard::to_allocvec(&(said, self.words, &self.wrong)).unwrap()
    }
    fn load(bytes: &[u8]) -> Option<Tally> {
        type Saved = (Vec<((Member, Incarnation), (u64, bool))>, u64, Option<String>);
        let (said, words, wrong): Saved = postcard::from_bytes(bytes).ok()?;
        Some(Tally { said: said.into_iter().collect(), words, wrong })
    }
}

/// One fault, in true time.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(Vec<usize>),
    Start(Vec<usize>),
    Stop(Vec<usize>),
    Go(Vec<usize>),
    /// From the first to the second nothing passes.
    Cut(Vec<usize>, Vec<usize>),
    Heal,
    /// They say that they go, and end.
    Leave(Vec<usize>),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub members: usize,
    pub terms: Terms,
    pub loss: f64,
    pub twice: f64,
    pub delay: u64,
    /// Longest time that the disk takes.
    pub disk: u64,
    /// Between two words of a member.
    pub words: u64,
    pub faults: Vec<(u64, Fault)>,
    pub end: u64,
    pub mutant: Option<Mutant>,
}

struct Host {
    node: Option<Node<Tally>>,
    disk: MemoryDisk,
    writing: Option<Write>,
    stopped: bool,
    missed: Vec<Event>,
    fast: i64,
    epoch: u64,
    said: u64,
    /// The last entry whose state was looked at.
    at: Index,
}

#[derive(Clone)]
enum Event {
    Tick(usize, u64),
    Say(usize, u64),
    Written(usize, u64),
    Arrive(usize, usize, Message),
    Fault(usize),
}

/// What the observer saw.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub broken: Option<(u64, String)>,
    pub incarnations: u64,
    pub ends: u64,
    pub words: u64,
    pub messages: u64,
    pub bytes: u64,
    pub longest: usize,
    pub entries: u64,
    pub alive_at_end: usize,
    pub running_at_end: usize,
    /// How long words took to stand at those who said them, in microseconds.
    pub took: Vec<u64>,
}

pub struct World {
    plan: Plan,
    rng: StdRng,
    now: u64,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    count: u64,
    cuts: BTreeSet<(usize, usize)>,
    ended: BTreeSet<Incarnation>,
    states: BTreeMap<Index, Vec<u8>>,
    spoken: BTreeMap<(Member, Incarnation, u64), u64>,
    pub seen: Seen,
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let drift = i64::from(plan.terms.drift);
        let hosts = (0..plan.members)
            .map(|_| Host {
                node: None,
                disk: MemoryDisk::default(),
                writing: None,
                stopped: false,
                missed: Vec::new(),
                fast: rng.random_range(-drift..=drift),
                epoch: 0,
                said: 0,
                at: 0,
            })
            .collect();
        let mut w = World {
            rng,
            now: 1_000_000,
            hosts,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            count: 0,
            cuts: BTreeSet::new(),
            ended: BTreeSet::new(),
            states: BTreeMap::new(),
            spoken: BTreeMap::new(),
            seen: Seen::default(),
            plan,
        };
        (0..w.plan.members).for_each(|h| w.start(h));
        for (n, (at, _)) in w.plan.faults.clone().into_iter().enumerate() {
            w.push(1_000_000 + at, Event::Fault(n));
        }
        w
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

    fn clock(&self, h: usize) -> u64 {
        (self.now as i128 + self.now as i128 * i128::from(self.hosts[h].fast) / 1_000_000) as u64
    }

    fn start(&mut self, h: usize) {
        if self.hosts[h].node.is_some() {
            return;
        }
        let me = h as Member;
        let (now, terms) = (self.clock(h), self.plan.terms.clone());
        let setup = Setup { me, zone: (h % 3) as u8, seed: self.rng.random(), terms: terms.clone() };
        let forgets = self.plan.mutant == Some(Mutant::VoterForgets);
        let node = if terms.voters.contains(&me) {
            let kept =
                if forgets { Node::<Tally>::begin(&terms) } else { self.hosts[h].disk.read(&terms).unwrap() };
            Node::voter(now, setup, kept, Tally::default()).unwrap()
        } else {
            Node::follower(setup, Tally::default()).unwrap()
        };
        let host = &mut self.hosts[h];
        (host.node, host.stopped, host.writing) =
            (Some(node.with_mutant(now, self.plan.mutant)), false, None);
        host.missed.clear();
        host.epoch += 1;
        host.at = 0;
        let epoch = host.epoch;
        let first = self.rng.random_range(0..self.plan.terms.tick);
        self.push(self.now + first, Event::Tick(h, epoch));
        self.push(self.now + first + self.plan.words, Event::Say(h, epoch));
    }

    fn act(&mut self, h: usize, act: impl FnOnce(&mut Node<Tally>, u64, &mut Vec<Output>)) {
        let now = self.clock(h);
        let mut out = Vec::new();
        if let Some(node) = &mut self.hosts[h].node {
            act(node, now, &mut out);
        }
        for o in out {
            match o {
                Output::Send(to, message) => self.send(h, usize::from(to), message),
                Output::Write(w) => {
                    assert!(self.hosts[h].writing.replace(w).is_none(), "two writes at once");
                    let epoch = self.hosts[h].epoch;
                    let took = self.rng.random_range(0..=self.plan.disk);
                    self.push(self.now + took, Event::Written(h, epoch));
                }
                Output::Event(_, badgerwind_register::Event::Ended(m, incarnation)) => {
                    if self.ended.insert(incarnation) {
                        self.seen.ends += 1;
                    }
                    self.look(usize::from(m));
                }
                Output::Event(_, badgerwind_register::Event::Announced(m, incarnation, serial))
                    if usize::from(m) == h =>
                {
                    if let Some(at) = self.spoken.remove(&(m, incarnation, serial)) {
                        self.seen.took.push(self.now - at);
                    }
                }
                Output::Event(_, badgerwind_register::Event::Began(_, incarnation)) => {
                    self.seen.incarnations = self.seen.incarnations.max(incarnation);
                }
                Output::TooNew(at) => self.broken(format!("entry {at} cannot be read")),
                _ => {}
            }
        }
        self.look(h);
        self.state(h);
    }

    fn broken(&mut self, what: String) {
        let at = self.now;
        self.seen.broken.get_or_insert((at, what));
    }

    /// Whether a member counts itself as living in an incarnation whose end stands somewhere.
    fn look(&mut self, h: usize) {
        let now = self.clock(h);
        if self.hosts[h].stopped {
            return;
        }
        let incarnation = self.hosts[h].node.as_ref().and_then(|n| n.alive(now));
        if let Some(incarnation) = incarnation.filter(|l| self.ended.contains(l)) {
            self.broken(format!("member {h} acts in incarnation {incarnation}, whose end stands"));
        }
    }

    /// Whether the same entries led to the same, and each word was taken once and in order.
    fn state(&mut self, h: usize) {
        let Some(node) = &self.hosts[h].node else { return };
        let at = node.ledger().applied();
        if self.hosts[h].at == at {
            return;
        }
        let (bytes, words, wrong) =
            (node.ledger().save(), node.ledger().part.words, node.ledger().part.wrong.clone());
        self.hosts[h].at = at;
        self.seen.entries = self.seen.entries.max(at);
        self.seen.words = self.seen.words.max(words);
        wrong.into_iter().for_each(|what| self.broken(what));
        if self.states.entry(at).or_insert_with(|| bytes.clone()) != &bytes {
            self.broken(format!("member {h} came to something else from entry {at}"));
        }
        while self.states.len() > 4096 {
            self.states.pop_first();
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = message.bytes();
        self.seen.messages += 1;
        self.seen.bytes += bytes.len() as u64;
        self.seen.longest = self.seen.longest.max(bytes.len());
        let message = Message::read(&bytes).expect("what was written can be read");
        if to >= self.hosts.len() || self.cuts.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.twice));
        for _ in 0..copies {
            if !self.rng.random_bool(self.plan.loss) {
                let late = if self.rng.random_bool(0.01) { 40 } else { 1 };
                let delay = self.rng.random_range(100..=self.plan.delay.max(101)) * late;
                self.push(self.now + delay, Event::Arrive(to, from, message.clone()));
            }
        }
    }

    /// Plays it to its end, or to the first thing that is broken.
    pub fn play(mut self) -> Seen {
        let end = 1_000_000 + self.plan.end;
        while let Some(Reverse((at, _, place))) = self.queue.pop() {
            if at > end || self.seen.broken.is_some() {
                break;
            }
            self.now = at;
            let Some(event) = self.events[place].take() else { continue };
            self.free.push(place);
            self.one(event);
        }
        self.now = self.now.max(end);
        for h in 0..self.hosts.len() {
            let now = self.clock(h);
            if let Some(n) = self.hosts[h].node.as_ref().filter(|_| !self.hosts[h].stopped) {
                self.seen.running_at_end += 1;
                self.seen.alive_at_end += usize::from(n.alive(now).is_some());
            }
        }
        self.seen
    }

    fn one(&mut self, event: Event) {
        let host = match &event {
            Event::Tick(h, _) | Event::Say(h, _) | Event::Written(h, _) | Event::Arrive(h, ..) => Some(*h),
            Event::Fault(_) => None,
        };
        if let Some(h) = host.filter(|h| self.hosts[*h].stopped) {
            // It finds all that came when it goes on, in an order of its own.
            if self.hosts[h].missed.len() < 2000 {
                self.hosts[h].missed.push(event);
            }
            return;
        }
        match event {
            Event::Tick(h, epoch) if epoch == self.hosts[h].epoch => {
                self.push(self.now + self.plan.terms.tick / 2, Event::Tick(h, epoch));
                self.act(h, |n, now, out| n.on(now, Input::Tick, out));
            }
            Event::Say(h, epoch) if epoch == self.hosts[h].epoch => {
                self.push(self.now + self.plan.words, Event::Say(h, epoch));
                let mut said = None;
                let at = self.now;
                self.act(h, |n, now, out| {
                    // Each word says how manieth of its incarnation it is.
                    let Some(incarnation) = n.alive(now) else { return };
                    let next = n.announced(incarnation) + 1;
                    said = n.announce(now, next.to_be_bytes().to_vec(), out).ok();
                    if let Some((_, serial)) = said {
                        assert_eq!(serial, next, "serials follow each other within an incarnation");
                    }
                });
                if let Some((incarnation, serial)) = said {
                    self.spoken.insert((h as Member, incarnation, serial), at);
                    self.hosts[h].said = serial;
                }
            }
            Event::Written(h, epoch) if epoch == self.hosts[h].epoch => {
                if let Some(w) = self.hosts[h].writing.take() {
                    self.hosts[h].disk.write(&w);
                }
                self.act(h, |n, now, out| n.on(now, Input::Written, out));
            }
            Event::Arrive(h, from, message) => {
                self.act(h, |n, now, out| n.on(now, Input::Heard(from as Member, message), out));
            }
            Event::Fault(n) => self.fault(self.plan.faults[n].1.clone()),
            _ => {} // of an incarnation before
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(who) => who.into_iter().for_each(|h| {
                let torn = self.rng.random_bool(0.5);
                let host = &mut self.hosts[h];
                // What the disk was told and had not answered for is there whole, or not at all.
                if let Some(w) = host.writing.take().filter(|_| torn) {
                    host.disk.write(&w);
                }
                (host.node, host.stopped) = (None, false);
                host.epoch += 1;
            }),
            Fault::Start(who) => who.into_iter().for_each(|h| self.start(h)),
            Fault::Stop(who) => who.into_iter().for_each(|h| self.hosts[h].stopped = true),
            Fault::Go(who) => who.into_iter().for_each(|h| {
                if std::mem::take(&mut self.hosts[h].stopped) {
                    // Its first instruction may be an effect.
                    self.look(h);
                    let missed = std::mem::take(&mut self.hosts[h].missed);
                    missed.into_iter().for_each(|e| {
                        let soon = self.rng.random_range(0..5 * MS);
                        self.push(self.now + soon, e);
                    });
                }
            }),
            Fault::Cut(from, to) => {
                self.cuts.extend(from.iter().flat_map(|f| to.iter().map(move |t| (*f, *t))));
            }
            Fault::Heal => self.cuts.clear(),
            Fault::Leave(who) => who.into_iter().for_each(|h| {
                if !self.hosts[h].stopped {
                    self.act(h, |n, now, out| n.leave(now, out));
                }
            }),
        }
    }
}

/// Draws a day: the first part is for the fleet to begin, the last for it to come back.
pub fn draw(seed: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x7e61);
    let voters: usize = [1, 3, 3, 5][rng.random_range(0..4)];
    let members = voters + rng.random_range(1..6);
    let terms = Terms {
        lease: 600 * MS,
        beat: 150 * MS,
        tick: 20 * MS,
        patience: 5,
        drift: [0, 10_000, 80_000][rng.random_range(0..3)],
        retained: [16, 4096][rng.random_range(0..2)],
        batch: [1024, 65536][rng.random_range(0..2)],
        under_way: 64,
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
            1 => faults.extend([(from, Fault::Stop(who.clone())), (to, Fault::Go(who))]),
            2 => {
                faults.push((from, Fault::Cut(who.clone(), others.clone())));
                faults.push((from, Fault::Cut(others, who)));
                faults.push((to, Fault::Heal));
            }
            3 => faults.extend([(from, Fault::Cut(who, others)), (to, Fault::Heal)]),
            4 => {
                faults.push((from, Fault::Leave(who.clone())));
                faults.push((from + 50 * MS, Fault::Kill(who.clone())));
                faults.push((to, Fault::Start(who)));
            }
            // Stopped and then cut off from all but one way in, so that it wakes into another reign.
            _ => {
                faults.push((from, Fault::Stop(who.clone())));
                faults.push((to, Fault::Cut(others, who.clone())));
                faults.push((to, Fault::Go(who)));
                faults.push((to + 300 * MS, Fault::Heal));
            }
        }
    }
    faults.sort_by_key(|f| f.0);
    Plan {
        seed,
        members,
        terms,
        loss: [0.0, 0.05, 0.2][rng.random_range(0..3)],
        twice: [0.0, 0.2][rng.random_range(0..2)],
        delay: [1, 5, 30][rng.random_range(0..3)] * MS,
        disk: [1, 10, 60][rng.random_range(0..3)] * MS,
        words: 40 * MS,
        faults,
        end,
        mutant: None,
    }
}
