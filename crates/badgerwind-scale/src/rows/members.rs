//! Membership (SWIM with Lifeguard): what a member sends, computes and stores as the fleet grows, and what joins, deaths
//! and cuts between regions cost.

use crate::cost::{HeapMeter, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::network::{Area, Conditions, Event, Micros, Network, MILLISECOND, SECOND};
use badgerwind_members::{
    DetectionSettings, Incarnation, Kind, Member, Members, Message, State, Update, MAX_UPDATES,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The default of `<budgets beat>`, which is the period of membership.
pub const PERIOD: Micros = 300 * MILLISECOND;
/// The runtime gives a member the time four times in a period.
const TICK: Micros = PERIOD / 4;
/// Bytes that the peers' datagrams add to each message: number, counter and tag (`badgerwind-gateway`, `peers`).
pub const ENVELOPE_BYTES: u64 = 28;
/// Up to so many members every one is real; beyond, a sample of them among scripted others.
const ALL_REAL: usize = 1_000;
/// Real members of a sample: one a zone.
const SAMPLE: usize = 21;
/// How long the steady state is measured.
const STEADY: Micros = 30 * SECOND;
/// How often the views are looked at.
const LOOK: Micros = 250 * MILLISECOND;
/// Simulated time after which a fleet that has not settled is given up.
const PATIENCE: Micros = 1_800 * SECOND;
/// Simulated part of the hour for which regions are apart: until views change no more, and this much longer.
const APART: Micros = 30 * SECOND;
/// Machines of a rack in the planned fleet.
const RACK: usize = 40;
/// Front ends of the planned fleet.
pub const PLANNED_FRONT_ENDS: u64 = 11_000;

/// Relayed pings that scripted members remember; the oldest goes first.
const MOST_RELAYED: usize = 65_536;

const TIMER_TICK: u32 = 0;
const TIMER_SCRIPTED_PING: u32 = 1;

/// A change for the worse that shows that a check on growth fails when it must.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A member sends each ping to all others.
    PingsAll,
}

/// Hollow members: real state machines, of all members or of the first few.
#[derive(Debug)]
pub struct Fleet {
    /// The network between them.
    pub network: Network,
    members: Vec<Members>,
    /// Members beyond this one are scripted.
    real: usize,
    size: usize,
    incarnations: Vec<Incarnation>,
    terms: DetectionSettings,
    rng: StdRng,
    mutant: Option<Mutant>,
    /// Pings of scripted members for real ones, by serial: who asked, and under which serial of its own.
    relayed: BTreeMap<u32, (usize, u32)>,
    serial: u32,
    /// Processor time of the first member, in microseconds.
    processor: f64,
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Ping => "ping",
        Kind::Ack => "ack",
        Kind::PingRequest => "indirect ping",
        Kind::Nack => "nack",
    }
}

impl Fleet {
    /// A fleet of this size of which `real` members are real, calm where `acquainted`: all know all for long.
    pub fn new(size: usize, real: usize, acquainted: bool, seed: u64) -> Fleet {
        Fleet::under(Conditions::wide_area(), (size, real), acquainted, seed)
    }

    /// The same over another network.
    pub fn under(conditions: Conditions, (size, real): (usize, usize), acquainted: bool, seed: u64) -> Fleet {
        let size = size.min(usize::from(Member::MAX));
        let real = real.min(size);
        let mut fleet = Fleet {
            network: Network::new(conditions, size, seed),
            members: Vec::new(),
            real,
            size,
            incarnations: vec![1; size],
            terms: DetectionSettings::for_period(PERIOD),
            rng: StdRng::seed_from_u64(seed ^ 0x6d65_6d62),
            mutant: None,
            relayed: BTreeMap::new(),
            serial: 0,
            processor: 0.0,
        };
        for index in 0..real {
            let mut one = fleet.newcomer(index);
            if acquainted {
                one = one.with_known_members((0..size).map(|m| (m as Member, 1)));
            }
            fleet.members.push(one);
            fleet.begin_timers(index);
        }
        fleet
    }

    /// With a change for the worse.
    pub fn with(mut self, mutant: Option<Mutant>) -> Fleet {
        self.mutant = mutant;
        self
    }

    fn newcomer(&self, index: usize) -> Members {
        let me = (index as Member, self.incarnations[index]);
        Members::new(self.network.local_time(index), me, 0..self.size as Member, self.terms.clone())
    }

    fn begin_timers(&mut self, index: usize) {
        let first = self.network.local_time(index) + self.rng.random_range(0..TICK);
        self.network.set_timer(index, TIMER_TICK, first);
        if self.real < self.size {
            let first = self.network.local_time(index) + self.rng.random_range(0..PERIOD);
            self.network.set_timer(index, TIMER_SCRIPTED_PING, first);
        }
    }

    /// Members that are real and run.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Members)> {
        self.members.iter().enumerate().filter(|(index, _)| self.network.is_running(*index))
    }

    /// A member's process ends without a word.
    pub fn kill(&mut self, index: usize) {
        self.network.stop(index);
    }

    /// A member's process starts anew and knows nobody.
    pub fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.network.start(index);
        self.members[index] = self.newcomer(index);
        self.begin_timers(index);
    }

    /// Plays for this long.
    pub fn run(&mut self, span: Micros) {
        let until = self.network.now() + span;
        while let Some(event) = self.network.next_event(until) {
            self.on(event);
        }
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Timer { member, id: TIMER_SCRIPTED_PING } => self.scripted_ping(member),
            Event::Timer { member, .. } => self.tick(member),
            Event::Datagram { from, to, bytes } if to < self.real => self.hear(from, to, &bytes),
            Event::Datagram { from, to, bytes } => self.scripted_answer(from, to, &bytes),
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.network.local_time(index);
        let meter = (index == 0).then(ProcessorMeter::start);
        let rng = &mut self.rng;
        let mut draw = |n: usize| rng.random_range(0..n.max(1));
        let out = encoded(self.members[index].tick(now, &mut draw));
        self.processor += meter.map_or(0.0, |m| m.microseconds());
        self.send(index, out);
        self.network.set_timer(index, TIMER_TICK, now + TICK);
    }

    fn hear(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.network.local_time(to);
        let meter = (to == 0).then(ProcessorMeter::start);
        let Some(message) = Message::decode(bytes) else { return };
        let out = encoded(self.members[to].receive(now, from as Member, &message));
        self.processor += meter.map_or(0.0, |m| m.microseconds());
        self.send(to, out);
    }

    fn send(&mut self, from: usize, out: Vec<Encoded>) {
        let requests = out.iter().filter(|(_, kind, _)| *kind == Kind::PingRequest).count();
        for (to, kind, bytes) in out {
            if self.mutant == Some(Mutant::PingsAll) && kind == Kind::Ping {
                for other in (0..self.size).filter(|other| *other != from && *other != to) {
                    self.network.send(from, other, kind_name(kind), bytes.clone());
                }
            }
            self.network.send(from, to, kind_name(kind), bytes);
        }
        if requests > 0 {
            self.mirror(from, requests);
        }
    }

    /// A real member has asked others to ping one that answers late. By symmetry as many ask it the same, and it is pinged
    /// itself by as many and once more by the one that found it late: by scripted members, where those are the others.
    fn mirror(&mut self, real: usize, requests: usize) {
        for _ in 0..requests {
            let about = self.rng.random_range(0..self.size) as Member;
            self.scripted_sends(real, Kind::PingRequest, about);
            self.scripted_sends(real, Kind::Ping, real as Member);
        }
        self.scripted_sends(real, Kind::Ping, real as Member);
    }

    /// Another member chooses this one for its ping, once a period on average, as each chooses all others in turn.
    fn scripted_ping(&mut self, to: usize) {
        let again = self.network.local_time(to) + self.rng.random_range(0..2 * PERIOD);
        self.network.set_timer(to, TIMER_SCRIPTED_PING, again);
        self.scripted_sends(to, Kind::Ping, to as Member);
    }

    /// A message of a scripted member, as often as such a member and not a real one would have sent it.
    fn scripted_sends(&mut self, to: usize, kind: Kind, about: Member) {
        let scripted = self.real..self.size;
        let share = scripted.len() as f64 / (self.size - 1).max(1) as f64;
        if !self.rng.random_bool(share.clamp(0.0, 1.0)) {
            return;
        }
        let from = self.rng.random_range(scripted);
        let message = self.scripted(from, kind, 0, about);
        self.network.send(from, to, kind_name(kind), message.encode());
    }

    /// What a scripted member does with a message: it answers pings, and pings for others.
    fn scripted_answer(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let Some(message) = Message::decode(bytes) else { return };
        match message.kind {
            Kind::Ping => self.scripted_send(to, from, Kind::Ack, message.serial, to as Member),
            Kind::PingRequest => {
                self.serial = self.serial.wrapping_add(1);
                if self.relayed.len() >= MOST_RELAYED {
                    self.relayed.pop_first();
                }
                self.relayed.insert(self.serial, (from, message.serial));
                let about = usize::from(message.target);
                self.scripted_send(to, about, Kind::Ping, self.serial, message.target);
            }
            Kind::Ack => {
                if let Some((requester, serial)) = self.relayed.remove(&message.serial) {
                    self.scripted_send(to, requester, Kind::Ack, serial, message.target);
                }
            }
            Kind::Nack => {}
        }
    }

    fn scripted_send(&mut self, from: usize, to: usize, kind: Kind, serial: u32, about: Member) {
        let message = self.scripted(from, kind, serial, about);
        self.network.send(from, to, kind_name(kind), message.encode());
    }

    /// A message of a scripted member of a calm fleet: full of what all know.
    fn scripted(&mut self, from: usize, kind: Kind, serial: u32, about: Member) -> Message {
        let first = self.rng.random_range(0..self.size);
        let known = (0..MAX_UPDATES.min(self.size - 1)).map(|n| (first + n) % self.size);
        let update = |member: usize| Update {
            member: member as Member,
            incarnation: self.incarnations[member],
            refutations: 0,
            state: State::Alive,
            reported_by: member as Member,
        };
        let updates = known.map(update).collect();
        Message { kind, serial, target: about, incarnation: self.incarnations[from], refutations: 0, updates }
    }

    /// Plays until this holds, looked at four times a second; how long that took.
    pub fn until(&mut self, holds: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let begun = self.network.now();
        while self.network.now() < begun + PATIENCE {
            if holds(self) {
                return Some(self.network.now() - begun);
            }
            self.run(LOOK);
        }
        None
    }

    /// Share of pairs of a running member and one of these in which the first takes the second for dead.
    pub fn known_dead(&self, dead: &[usize]) -> f64 {
        let knows = |one: &Members, of: usize| {
            one.peer(of as Member).is_some_and(|s| matches!(s.state, State::Dead | State::Left))
        };
        self.share(dead, knows)
    }

    /// Share of pairs of a running member and one of these in which the first knows that the second incarnations as it does now.
    pub fn known_alive(&self, alive: &[usize]) -> f64 {
        let knows = |one: &Members, of: usize| {
            one.peer(of as Member)
                .is_some_and(|s| s.state == State::Alive && s.incarnation == self.incarnations[of])
        };
        self.share(alive, knows)
    }

    fn share(&self, of: &[usize], knows: impl Fn(&Members, usize) -> bool) -> f64 {
        let (mut pairs, mut known) = (0_u64, 0_u64);
        for (index, one) in self.running() {
            for &other in of.iter().filter(|other| **other != index) {
                pairs += 1;
                known += u64::from(knows(one, other));
            }
        }
        known as f64 / pairs.max(1) as f64
    }

    /// Pairs of running members in which the first takes the second for suspect or dead.
    pub fn wrongly_doubted(&self) -> u64 {
        let doubts = |one: &Members| {
            let doubted = |s: State| matches!(s, State::Suspect | State::Dead);
            one.view().filter(|(of, s)| doubted(s.state) && self.network.is_running(usize::from(*of))).count()
        };
        self.running().map(|(_, one)| doubts(one) as u64).sum()
    }

    /// Messages and bytes a second, in and out, of a running member on average.
    pub fn traffic(&self, span: Micros) -> Traffic {
        let (mut messages, mut bytes, mut members) = (0_u64, 0_u64, 0_u64);
        for (index, _) in self.running() {
            let count = self.network.traffic(index);
            messages += count.messages;
            bytes += count.bytes;
            members += 1;
        }
        let each = members.max(1) as f64 * seconds(span).max(f64::MIN_POSITIVE);
        let (messages, bytes) = (messages as f64 / each, bytes as f64 / each);
        Traffic { messages, bytes, on_wire: bytes + messages * ENVELOPE_BYTES as f64 }
    }
}

/// What a member sends and receives in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Traffic {
    /// Messages.
    pub messages: f64,
    /// Encoded bytes.
    pub bytes: f64,
    /// Bytes with the datagrams' envelope.
    pub on_wire: f64,
}

type Encoded = (usize, Kind, Vec<u8>);

fn encoded(out: Vec<(Member, Message)>) -> Vec<Encoded> {
    out.into_iter().map(|(to, message)| (usize::from(to), message.kind, message.encode())).collect()
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

const MESSAGES: Metric = Metric { name: "messages in and out", unit: "messages/s" };
const BYTES: Metric = Metric { name: "encoded bytes in and out", unit: "B/s" };
const ON_WIRE: Metric = Metric { name: "bytes in and out with the datagrams' envelope", unit: "B/s" };
const PROCESSOR: Metric = Metric { name: "processor time", unit: "us/s" };
const HEAP: Metric = Metric { name: "heap", unit: "B" };

/// Bounds on all control of a front end; a part over 1 alone is over.
pub fn control_bounds(bytes: Metric, processor: Metric, heap: Metric) -> Vec<Bound> {
    vec![
        Bound { metric: bytes, max: 6_144.0, source: "6 KB a second for all control, in and out" },
        Bound { metric: processor, max: 10_000.0, source: "1% of a core for all control" },
        Bound { metric: heap, max: 134_217_728.0, source: "128 MB for all control" },
    ]
}

fn figure(name: &'static str, unit: &'static str, value: f64) -> Measurement {
    Measurement { metric: Metric { name, unit }, value }
}

/// Bytes of a member's entry for another, with the map's share; checked by the measured heap.
const ENTRY: u64 = 120;

fn real_members(size: u64) -> u64 {
    if size <= ALL_REAL as u64 {
        size
    } else {
        SAMPLE as u64
    }
}

/// The steady state of a calm fleet.
#[derive(Debug)]
pub struct Steady;

/// All rows of membership.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(Steady), Box::new(Join), Box::new(Deaths), Box::new(Apart)]
}

impl Row for Steady {
    fn name(&self) -> &'static str {
        "members-steady"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "a member of a calm fleet at a period of 0.3 s; to 1,000 all members are real, beyond 21 real ones among \
         scripted others; regions up to 108 ms there and back, which is more than the ack timeout of 75 ms; processor time \
         without sealing and system calls"
    }
    fn variable(&self) -> &'static str {
        "front ends"
    }
    fn default_sizes(&self) -> &'static [u64] {
        // With fewer, messages are not full: 13 members fit into one.
        &[30, 100, 300, 1_000, 3_000, 11_000]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_FRONT_ENDS
    }
    fn bounds(&self) -> Vec<Bound> {
        control_bounds(ON_WIRE, PROCESSOR, HEAP)
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        real_members(size) * size * ENTRY
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let counts = (size as usize, real_members(size) as usize);
        let mut fleet = Fleet::under(Conditions::wide_area(), counts, true, seed);
        let mut figures = steady(&mut fleet);
        drop(fleet);
        let mut near = Fleet::under(Conditions::loopback(), counts, true, seed);
        near.run(2 * SECOND);
        near.network.reset_counts();
        near.run(STEADY);
        let near = near.traffic(STEADY);
        figures.push(figure("no answer later than the ack timeout: messages", "messages/s", near.messages));
        figures.push(figure(
            "no answer later than the ack timeout: bytes with envelope",
            "B/s",
            near.on_wire,
        ));
        Ok(figures)
    }
}

/// Figures of a fleet that goes on as it is.
pub fn steady(fleet: &mut Fleet) -> Vec<Measurement> {
    fleet.run(2 * SECOND);
    fleet.network.reset_counts();
    fleet.processor = 0.0;
    fleet.run(STEADY);
    let Traffic { messages, bytes, on_wire } = fleet.traffic(STEADY);
    let meter = HeapMeter::start();
    let copy = fleet.members.first().cloned();
    let heap = meter.net_bytes();
    drop(copy);
    let figure = |metric, value| Measurement { metric, value };
    vec![
        figure(MESSAGES, messages),
        figure(BYTES, bytes),
        figure(ON_WIRE, on_wire),
        figure(PROCESSOR, fleet.processor / seconds(STEADY)),
        figure(HEAP, heap as f64),
    ]
}

/// A fleet that starts at once, and a tenth of it that restarts at once.
#[derive(Debug)]
pub struct Join;

impl Row for Join {
    fn name(&self) -> &'static str {
        "members-join"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "all members start at once, then a tenth restarts at once: simulated time until all know all, and bytes of a \
         member until then; all members are real"
    }
    fn variable(&self) -> &'static str {
        "front ends"
    }
    fn default_sizes(&self) -> &'static [u64] {
        // With fewer than 14, messages are not full.
        &[30, 100, 300, 1_000]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_FRONT_ENDS
    }
    fn bounds(&self) -> Vec<Bound> {
        let rate = Metric { name: "start of all: bytes with envelope", unit: "B/s" };
        vec![Bound { metric: rate, max: 6_144.0, source: "6 KB a second for all control, in and out" }]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * size * ENTRY
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let mut fleet = Fleet::new(size as usize, size as usize, false, seed);
        let all: Vec<usize> = (0..fleet.size).collect();
        let stuck =
            |what: &str| ScaleError::NotSettled { row: "members-join", size, reason: what.to_owned() };
        let started = fleet.until(|f| f.known_alive(&all) >= 1.0);
        let started = started.ok_or_else(|| stuck("not all knew all after a common start"))?;
        let start = fleet.traffic(started);
        fleet.run(2 * SECOND);
        fleet.network.reset_counts();
        let tenth: Vec<usize> =
            (0..fleet.size.div_ceil(10)).map(|n| n * 10).filter(|n| *n < fleet.size).collect();
        tenth.iter().for_each(|one| fleet.restart(*one));
        let restarted = fleet.until(|f| f.known_alive(&all) >= 1.0);
        let restarted = restarted.ok_or_else(|| stuck("not all knew all after a tenth restarted"))?;
        let restart = fleet.traffic(restarted);
        Ok(vec![
            figure("start of all: until all know all", "s", seconds(started)),
            figure("start of all: encoded bytes of a member until then", "B", start.bytes * seconds(started)),
            figure("start of all: bytes with envelope", "B/s", start.on_wire),
            figure("a tenth restarts: until all know all", "s", seconds(restarted)),
            figure(
                "a tenth restarts: encoded bytes of a member until then",
                "B",
                restart.bytes * seconds(restarted),
            ),
            figure("a tenth restarts: bytes with envelope", "B/s", restart.on_wire),
        ])
    }
}

/// Deaths of one member, of a rack and of a zone.
#[derive(Debug)]
pub struct Deaths;

/// One death's or one group's figures.
#[derive(Debug, Clone, Copy)]
pub struct News {
    /// Until 99 in 100 pairs of a survivor and a dead one are known.
    pub known: Micros,
    /// Bytes a second with envelope of a survivor until then.
    pub on_wire: f64,
    /// Messages a second of a survivor until then.
    pub messages: f64,
    /// The most pairs of survivors at one time in which one doubted the other.
    pub doubted: u64,
}

/// Kills these members of a calm fleet; `None` where it is not known in time.
pub fn death(fleet: &mut Fleet, dead: &[usize]) -> Option<News> {
    fleet.run(2 * SECOND);
    fleet.network.reset_counts();
    dead.iter().for_each(|one| fleet.kill(*one));
    let begun = fleet.network.now();
    let mut doubted = 0;
    while fleet.known_dead(dead) < 0.99 {
        if fleet.network.now() > begun + PATIENCE {
            return None;
        }
        fleet.run(LOOK);
        doubted = doubted.max(fleet.wrongly_doubted());
    }
    let known = fleet.network.now() - begun;
    let Traffic { messages, on_wire, .. } = fleet.traffic(known);
    Some(News { known, on_wire, messages, doubted })
}

/// The first members of the second zone: a rack's part of a fleet of this size, two at least.
pub fn rack(fleet: &Fleet) -> Vec<usize> {
    let machines = (RACK * fleet.size).div_ceil(PLANNED_FRONT_ENDS as usize).max(2);
    let mut zone = fleet.network.members_in(Area::Zone(1));
    zone.truncate(machines);
    zone
}

impl Row for Deaths {
    fn name(&self) -> &'static str {
        "members-deaths"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "one member, a rack (40 of 11,000) or a zone of 21 dies in a calm fleet: simulated time until 99 in 100 pairs \
         know, bytes of a survivor meanwhile, pairs of survivors that doubt each other; all members are real"
    }
    fn variable(&self) -> &'static str {
        "front ends"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[30, 100, 300, 1_000]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_FRONT_ENDS
    }
    fn bounds(&self) -> Vec<Bound> {
        let rate = Metric { name: "a zone dies: bytes with envelope", unit: "B/s" };
        vec![Bound { metric: rate, max: 6_144.0, source: "6 KB a second for all control, in and out" }]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * size * ENTRY
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let calm = || Fleet::new(size as usize, size as usize, true, seed);
        let stuck =
            |what: &str| ScaleError::NotSettled { row: "members-deaths", size, reason: what.to_owned() };
        let mut fleet = calm();
        let one = death(&mut fleet, &[1]).ok_or_else(|| stuck("one death was not known to all"))?;
        let mut fleet = calm();
        let group = rack(&fleet);
        let of_rack =
            death(&mut fleet, &group).ok_or_else(|| stuck("a rack's death was not known to all"))?;
        let mut fleet = calm();
        let zone = fleet.network.members_in(Area::Zone(1));
        let of_zone = death(&mut fleet, &zone).ok_or_else(|| stuck("a zone's death was not known to all"))?;
        Ok(vec![
            figure("one dies: until 99% know", "s", seconds(one.known)),
            figure("one dies: bytes with envelope", "B/s", one.on_wire),
            figure("one dies: survivors' pairs in doubt at most", "pairs", one.doubted as f64),
            figure("a rack dies: until 99% know", "s", seconds(of_rack.known)),
            figure("a rack dies: bytes with envelope", "B/s", of_rack.on_wire),
            figure("a rack dies: survivors' pairs in doubt at most", "pairs", of_rack.doubted as f64),
            figure("a zone dies: until 99% know", "s", seconds(of_zone.known)),
            figure("a zone dies: bytes with envelope", "B/s", of_zone.on_wire),
            figure("a zone dies: survivors' pairs in doubt at most", "pairs", of_zone.doubted as f64),
        ])
    }
}

/// Regions that lose each other and come together again.
#[derive(Debug)]
pub struct Apart;

impl Row for Apart {
    fn name(&self) -> &'static str {
        "members-apart"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "all seven regions lose each other, until each takes all others for dead and 30 s more (the rest of the hour is \
         the same, not played), then meet again: simulated time and bytes of a member; all members are real"
    }
    fn variable(&self) -> &'static str {
        "front ends"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[30, 60, 100, 200, 300]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_FRONT_ENDS
    }
    fn bounds(&self) -> Vec<Bound> {
        let rate = Metric { name: "together again: bytes with envelope", unit: "B/s" };
        vec![Bound { metric: rate, max: 6_144.0, source: "6 KB a second for all control, in and out" }]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * size * ENTRY
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let stuck =
            |what: &str| ScaleError::NotSettled { row: "members-apart", size, reason: what.to_owned() };
        let mut fleet = Fleet::new(size as usize, size as usize, true, seed);
        let all: Vec<usize> = (0..fleet.size).collect();
        fleet.run(2 * SECOND);
        fleet.network.reset_counts();
        fleet.network.isolate_regions();
        let apart = fleet.until(|f| f.known_dead_elsewhere() >= 0.99);
        let apart = apart.ok_or_else(|| stuck("regions apart did not take each other for dead"))?;
        let parting = fleet.traffic(apart).on_wire;
        fleet.network.reset_counts();
        fleet.run(APART);
        let alone = fleet.traffic(APART).on_wire;
        fleet.network.heal();
        fleet.network.reset_counts();
        let together = fleet.until(|f| f.known_alive(&all) >= 0.99);
        let together = together.ok_or_else(|| stuck("regions did not find each other again"))?;
        let meeting = fleet.traffic(together).on_wire;
        Ok(vec![
            figure("regions part: until 99% take the others for dead", "s", seconds(apart)),
            figure("regions part: bytes with envelope", "B/s", parting),
            figure("apart: bytes with envelope", "B/s", alone),
            figure("together again: until 99% know each other", "s", seconds(together)),
            figure("together again: bytes with envelope", "B/s", meeting),
            figure("together again: bytes of a member until then", "B", meeting * seconds(together)),
        ])
    }
}

impl Fleet {
    /// Share of pairs of members of different regions in which the first takes the second for dead.
    pub fn known_dead_elsewhere(&self) -> f64 {
        let (mut pairs, mut known) = (0_u64, 0_u64);
        for (index, one) in self.running() {
            let region = self.network.location(index).region;
            for (of, seen) in
                one.view().filter(|(of, _)| self.network.location(usize::from(*of)).region != region)
            {
                debug_assert!(usize::from(of) < self.size);
                pairs += 1;
                known += u64::from(matches!(seen.state, State::Dead | State::Left));
            }
        }
        known as f64 / pairs.max(1) as f64
    }
}
