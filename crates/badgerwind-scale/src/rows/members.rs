//! Membership (SWIM with Lifeguard): traffic, processor time and memory of a member as the fleet grows, and
//! the cost of joins, deaths and partitions between regions.

use crate::cost::{heap_of_clone, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::bounds::{MAX_CONTROL_TRAFFIC, MAX_HEAP, MAX_PROCESSOR_TIME};
use crate::rows::network::{Area, Conditions, Event, Micros, Network, MILLISECOND, SECOND};
use badgerwind_members::{
    DetectionSettings, Incarnation, Kind, Member, Members, Message, State, Update, MAX_UPDATES,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Protocol period of the membership, which is the default of `<budgets beat>`.
pub const PERIOD: Micros = 300 * MILLISECOND;
/// Interval of a member's ticks; the runtime calls it four times in a period.
const TICK_INTERVAL: Micros = PERIOD / 4;
/// Overhead of a datagram between peers: number, counter and authentication tag (`badgerwind-gateway`,
/// `peers`).
pub const ENVELOPE_BYTES: u64 = 28;
/// Largest fleet in which all members are real. Larger fleets have a sample of real members; the others are
/// scripted.
const MAX_ALL_REAL: usize = 1_000;
/// Number of real members in a sample: one in each zone.
const SAMPLE_SIZE: usize = 21;
/// Simulated time over which the steady state is measured.
const MEASUREMENT_TIME: Micros = 30 * SECOND;
/// Interval at which the members' views are checked for the expected state.
const CHECK_INTERVAL: Micros = 250 * MILLISECOND;
/// Simulated time after which a measurement fails if the fleet has not reached the expected state.
const SETTLE_TIMEOUT: Micros = 1_800 * SECOND;
/// Simulated time of isolated regions after the views have stopped changing. It represents the rest of an
/// hour.
const ISOLATION_TIME: Micros = 30 * SECOND;
/// Number of front ends in a rack of the planned fleet.
const FRONT_ENDS_IN_A_RACK: usize = 40;
/// Number of front ends in the planned fleet.
pub const PLANNED_FRONT_ENDS: u64 = 11_000;

/// Maximum number of pending relayed pings of scripted members; the oldest is discarded first.
const MAX_RELAYED_PINGS: usize = 65_536;

/// Timer of the next tick.
const TICK_TIMER: u32 = 0;
/// Timer of the next ping by a scripted member.
const SCRIPTED_PING_TIMER: u32 = 1;

/// A defect injected by tests to show that a check detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A member sends each ping to all others.
    PingsAll,
}

/// A fleet of hollow members. Either all members run the real state machine, or only the first ones do and
/// the others are scripted.
#[derive(Debug)]
pub struct Fleet {
    /// The network between the members.
    pub network: Network,
    members: Vec<Members>,
    /// Number of real members; members with a higher index are scripted.
    real: usize,
    size: usize,
    incarnations: Vec<Incarnation>,
    settings: DetectionSettings,
    rng: StdRng,
    mutant: Option<Mutant>,
    /// Pings that scripted members relay, by serial: the requester, and the serial of its request.
    relayed: BTreeMap<u32, (usize, u32)>,
    serial: u32,
    /// Processor time of member 0 in microseconds.
    processor_us: f64,
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
    /// A fleet on a wide-area network whose first `real` members are real. If `converged`, all members know
    /// each other from the start.
    pub fn new(size: usize, real: usize, converged: bool, seed: u64) -> Fleet {
        Fleet::with_conditions(Conditions::wide_area(), (size, real), converged, seed)
    }

    /// Like [`Fleet::new`], with other network conditions.
    pub fn with_conditions(
        conditions: Conditions,
        (size, real): (usize, usize),
        converged: bool,
        seed: u64,
    ) -> Fleet {
        let size = size.min(usize::from(Member::MAX));
        let real = real.min(size);
        let mut fleet = Fleet {
            network: Network::new(conditions, size, seed),
            members: Vec::new(),
            real,
            size,
            incarnations: vec![1; size],
            settings: DetectionSettings::for_period(PERIOD),
            rng: StdRng::seed_from_u64(seed ^ 0x6d65_6d62),
            mutant: None,
            relayed: BTreeMap::new(),
            serial: 0,
            processor_us: 0.0,
        };
        for index in 0..real {
            let mut one = fleet.new_member(index);
            if converged {
                one = one.with_known_members((0..size).map(|m| (m as Member, 1)));
            }
            fleet.members.push(one);
            fleet.start_timers(index);
        }
        fleet
    }

    /// Injects a defect.
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Fleet {
        self.mutant = mutant;
        self
    }

    fn new_member(&self, index: usize) -> Members {
        let me = (index as Member, self.incarnations[index]);
        Members::new(self.network.local_time(index), me, 0..self.size as Member, self.settings.clone())
    }

    fn start_timers(&mut self, index: usize) {
        let first = self.network.local_time(index) + self.rng.random_range(0..TICK_INTERVAL);
        self.network.set_timer(index, TICK_TIMER, first);
        if self.real < self.size {
            let first = self.network.local_time(index) + self.rng.random_range(0..PERIOD);
            self.network.set_timer(index, SCRIPTED_PING_TIMER, first);
        }
    }

    /// Running real members with their indices.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Members)> {
        self.members.iter().enumerate().filter(|(index, _)| self.network.is_running(*index))
    }

    /// Stops a member without a farewell message.
    pub fn kill(&mut self, index: usize) {
        self.network.stop(index);
    }

    /// Restarts a member with a new incarnation and an empty view.
    pub fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.network.start(index);
        self.members[index] = self.new_member(index);
        self.start_timers(index);
    }

    /// Runs the simulation for a duration.
    pub fn run(&mut self, duration: Micros) {
        let until = self.network.now() + duration;
        while let Some(event) = self.network.next_event(until) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Timer { member, id: SCRIPTED_PING_TIMER } => self.scripted_ping(member),
            Event::Timer { member, .. } => self.tick(member),
            Event::Datagram { from, to, bytes } if to < self.real => self.receive(from, to, &bytes),
            Event::Datagram { from, to, bytes } => self.receive_scripted(from, to, &bytes),
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.network.local_time(index);
        let meter = (index == 0).then(ProcessorMeter::start);
        let rng = &mut self.rng;
        let mut random = |n: usize| rng.random_range(0..n.max(1));
        let out = encode_all(self.members[index].tick(now, &mut random));
        self.processor_us += meter.map_or(0.0, |m| m.microseconds());
        self.send(index, out);
        self.network.set_timer(index, TICK_TIMER, now + TICK_INTERVAL);
    }

    fn receive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.network.local_time(to);
        let meter = (to == 0).then(ProcessorMeter::start);
        let Some(message) = Message::decode(bytes) else { return };
        let out = encode_all(self.members[to].receive(now, from as Member, &message));
        self.processor_us += meter.map_or(0.0, |m| m.microseconds());
        self.send(to, out);
    }

    fn send(&mut self, from: usize, out: Vec<EncodedMessage>) {
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
            self.mirror_ping_requests(from, requests);
        }
    }

    /// Simulates the ping requests of scripted members. When a real member sends ping requests because a
    /// target answers late, by symmetry as many others send it ping requests, and as many others and the one
    /// that finds it late ping it.
    fn mirror_ping_requests(&mut self, real: usize, requests: usize) {
        for _ in 0..requests {
            let target = self.rng.random_range(0..self.size) as Member;
            self.send_scripted_sampled(real, Kind::PingRequest, target);
            self.send_scripted_sampled(real, Kind::Ping, real as Member);
        }
        self.send_scripted_sampled(real, Kind::Ping, real as Member);
    }

    /// A scripted ping to a member. It receives one in each period on average, because each member pings all
    /// others in turn.
    fn scripted_ping(&mut self, to: usize) {
        let next = self.network.local_time(to) + self.rng.random_range(0..2 * PERIOD);
        self.network.set_timer(to, SCRIPTED_PING_TIMER, next);
        self.send_scripted_sampled(to, Kind::Ping, to as Member);
    }

    /// Sends a message of a random scripted member, with the probability that a scripted member and not a
    /// real one would send it.
    fn send_scripted_sampled(&mut self, to: usize, kind: Kind, target: Member) {
        let scripted = self.real..self.size;
        let share = scripted.len() as f64 / (self.size - 1).max(1) as f64;
        if !self.rng.random_bool(share.clamp(0.0, 1.0)) {
            return;
        }
        let from = self.rng.random_range(scripted);
        let message = self.scripted_message(from, kind, 0, target);
        self.network.send(from, to, kind_name(kind), message.encode());
    }

    /// Handles a message to a scripted member, which answers pings and relays ping requests.
    fn receive_scripted(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let Some(message) = Message::decode(bytes) else { return };
        match message.kind {
            Kind::Ping => self.send_scripted(to, from, Kind::Ack, message.serial, to as Member),
            Kind::PingRequest => {
                self.serial = self.serial.wrapping_add(1);
                if self.relayed.len() >= MAX_RELAYED_PINGS {
                    self.relayed.pop_first();
                }
                self.relayed.insert(self.serial, (from, message.serial));
                let target = usize::from(message.target);
                self.send_scripted(to, target, Kind::Ping, self.serial, message.target);
            }
            Kind::Ack => {
                if let Some((requester, serial)) = self.relayed.remove(&message.serial) {
                    self.send_scripted(to, requester, Kind::Ack, serial, message.target);
                }
            }
            Kind::Nack => {}
        }
    }

    fn send_scripted(&mut self, from: usize, to: usize, kind: Kind, serial: u32, target: Member) {
        let message = self.scripted_message(from, kind, serial, target);
        self.network.send(from, to, kind_name(kind), message.encode());
    }

    /// A message of a scripted member in a steady fleet, filled with updates that all members know.
    fn scripted_message(&mut self, from: usize, kind: Kind, serial: u32, target: Member) -> Message {
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
        Message { kind, serial, target, incarnation: self.incarnations[from], refutations: 0, updates }
    }

    /// Runs until a condition holds, which is checked four times a second. Returns the simulated time that it
    /// took, or `None` after the timeout of 1,800 s.
    pub fn run_until(&mut self, condition: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let start = self.network.now();
        while self.network.now() < start + SETTLE_TIMEOUT {
            if condition(self) {
                return Some(self.network.now() - start);
            }
            self.run(CHECK_INTERVAL);
        }
        None
    }

    /// Share of pairs of a running member and one of `dead` in which the first considers the second dead.
    pub fn share_known_dead(&self, dead: &[usize]) -> f64 {
        let knows = |one: &Members, other: usize| {
            one.peer(other as Member).is_some_and(|s| matches!(s.state, State::Dead | State::Left))
        };
        self.share_of_pairs(dead, knows)
    }

    /// Share of pairs of a running member and one of `alive` in which the first considers the second alive in
    /// its current incarnation.
    pub fn share_known_alive(&self, alive: &[usize]) -> f64 {
        let knows = |one: &Members, other: usize| {
            one.peer(other as Member)
                .is_some_and(|s| s.state == State::Alive && s.incarnation == self.incarnations[other])
        };
        self.share_of_pairs(alive, knows)
    }

    fn share_of_pairs(&self, others: &[usize], knows: impl Fn(&Members, usize) -> bool) -> f64 {
        let (mut pairs, mut known) = (0_u64, 0_u64);
        for (index, one) in self.running() {
            for &other in others.iter().filter(|other| **other != index) {
                pairs += 1;
                known += u64::from(knows(one, other));
            }
        }
        known as f64 / pairs.max(1) as f64
    }

    /// Number of pairs of running members in which the first considers the second suspect or dead.
    pub fn false_suspicions(&self) -> u64 {
        let false_suspicions = |one: &Members| {
            let suspected = |s: State| matches!(s, State::Suspect | State::Dead);
            one.view()
                .filter(|(of, s)| suspected(s.state) && self.network.is_running(usize::from(*of)))
                .count()
        };
        self.running().map(|(_, one)| false_suspicions(one) as u64).sum()
    }

    /// Mean traffic of a running real member since the last reset of the counts, for a measured time of
    /// `duration`.
    pub fn traffic(&self, duration: Micros) -> TrafficRate {
        let (mut messages, mut bytes, mut members) = (0_u64, 0_u64, 0_u64);
        for (index, _) in self.running() {
            let count = self.network.traffic(index);
            messages += count.messages;
            bytes += count.bytes;
            members += 1;
        }
        let member_seconds = members.max(1) as f64 * seconds(duration).max(f64::MIN_POSITIVE);
        let (messages, bytes) = (messages as f64 / member_seconds, bytes as f64 / member_seconds);
        TrafficRate { messages, bytes, wire_bytes: bytes + messages * ENVELOPE_BYTES as f64 }
    }
}

/// Messages and bytes that a member sends and receives per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficRate {
    /// Messages a second.
    pub messages: f64,
    /// Encoded bytes a second, without envelopes.
    pub bytes: f64,
    /// Bytes a second with the envelopes of the datagrams.
    pub wire_bytes: f64,
}

type EncodedMessage = (usize, Kind, Vec<u8>);

fn encode_all(out: Vec<(Member, Message)>) -> Vec<EncodedMessage> {
    out.into_iter().map(|(to, message)| (usize::from(to), message.kind, message.encode())).collect()
}

fn seconds(duration: Micros) -> f64 {
    duration as f64 / SECOND as f64
}

const MESSAGES: Metric = Metric { name: "messages in and out", unit: "messages/s" };
const BYTES: Metric = Metric { name: "encoded bytes in and out", unit: "B/s" };
const WIRE_BYTES: Metric = Metric { name: "bytes in and out with the datagrams' envelope", unit: "B/s" };
const PROCESSOR: Metric = Metric { name: "processor time", unit: "us/s" };
const HEAP: Metric = Metric { name: "heap", unit: "B" };

/// Bounds on the total control work of a front end. Rows that cover only a part of it are compared with the
/// same bounds, so that a ratio above 1 exceeds them already.
pub fn control_bounds(bytes: Metric, processor: Metric, heap: Metric) -> Vec<Bound> {
    vec![
        Bound {
            metric: bytes,
            max: MAX_CONTROL_TRAFFIC,
            source: "6 KB a second for all control, in and out",
        },
        Bound { metric: processor, max: MAX_PROCESSOR_TIME, source: "1% of a core for all control" },
        Bound { metric: heap, max: MAX_HEAP, source: "128 MB for all control" },
    ]
}

fn measurement(name: &'static str, unit: &'static str, value: f64) -> Measurement {
    Measurement { metric: Metric { name, unit }, value }
}

/// Estimated heap of one entry in a member's view, including the overhead of the map. The measured heap
/// confirms it.
const ENTRY_BYTES: u64 = 120;

fn real_member_count(size: u64) -> u64 {
    if size <= MAX_ALL_REAL as u64 {
        size
    } else {
        SAMPLE_SIZE as u64
    }
}

/// A row that measures a member in the steady state by the number of front ends.
#[derive(Debug)]
pub struct SteadyRow;

/// All rows of membership.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(SteadyRow), Box::new(JoinRow), Box::new(DeathsRow), Box::new(IsolationRow)]
}

impl Row for SteadyRow {
    fn name(&self) -> &'static str {
        "members-steady"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "one member of a steady fleet with a protocol period of 0.3 s; up to 1,000 members all are real, \
         beyond that 21 are real and the others scripted; round trips between regions take up to 108 ms, \
         more than the ack timeout of 75 ms; processor time excludes the authentication of datagrams and \
         system calls"
    }
    fn variable(&self) -> &'static str {
        "front ends"
    }
    fn default_sizes(&self) -> &'static [u64] {
        // In smaller fleets messages are not full: one message holds 13 members.
        &[30, 100, 300, 1_000, 3_000, 11_000]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_FRONT_ENDS
    }
    fn bounds(&self) -> Vec<Bound> {
        control_bounds(WIRE_BYTES, PROCESSOR, HEAP)
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        real_member_count(size) * size * ENTRY_BYTES
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let counts = (size as usize, real_member_count(size) as usize);
        let mut fleet = Fleet::with_conditions(Conditions::wide_area(), counts, true, seed);
        let mut measurements = measure_steady(&mut fleet);
        drop(fleet);
        let mut loopback = Fleet::with_conditions(Conditions::loopback(), counts, true, seed);
        loopback.run(2 * SECOND);
        loopback.network.reset_counts();
        loopback.run(MEASUREMENT_TIME);
        let loopback = loopback.traffic(MEASUREMENT_TIME);
        measurements.push(measurement(
            "no answer later than the ack timeout: messages",
            "messages/s",
            loopback.messages,
        ));
        measurements.push(measurement(
            "no answer later than the ack timeout: bytes with envelope",
            "B/s",
            loopback.wire_bytes,
        ));
        Ok(measurements)
    }
}

/// Measures a fleet in its steady state.
pub fn measure_steady(fleet: &mut Fleet) -> Vec<Measurement> {
    fleet.run(2 * SECOND);
    fleet.network.reset_counts();
    fleet.processor_us = 0.0;
    fleet.run(MEASUREMENT_TIME);
    let TrafficRate { messages, bytes, wire_bytes } = fleet.traffic(MEASUREMENT_TIME);
    let heap = fleet.members.first().map_or(0, heap_of_clone);
    let measurement = |metric, value| Measurement { metric, value };
    vec![
        measurement(MESSAGES, messages),
        measurement(BYTES, bytes),
        measurement(WIRE_BYTES, wire_bytes),
        measurement(PROCESSOR, fleet.processor_us / seconds(MEASUREMENT_TIME)),
        measurement(HEAP, heap as f64),
    ]
}

/// A row that measures how members that start or restart at the same time become known to all.
#[derive(Debug)]
pub struct JoinRow;

impl Row for JoinRow {
    fn name(&self) -> &'static str {
        "members-join"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "all members start at the same time, then a tenth restarts at the same time: simulated time until \
         all members know each other, and bytes of a member until then; all members are real"
    }
    fn variable(&self) -> &'static str {
        "front ends"
    }
    fn default_sizes(&self) -> &'static [u64] {
        // In fleets of fewer than 14 members messages are not full.
        &[30, 100, 300, 1_000]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_FRONT_ENDS
    }
    fn bounds(&self) -> Vec<Bound> {
        let rate = Metric { name: "start of all: bytes with envelope", unit: "B/s" };
        vec![Bound {
            metric: rate,
            max: MAX_CONTROL_TRAFFIC,
            source: "6 KB a second for all control, in and out",
        }]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * size * ENTRY_BYTES
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let mut fleet = Fleet::new(size as usize, size as usize, false, seed);
        let all: Vec<usize> = (0..fleet.size).collect();
        let not_settled =
            |what: &str| ScaleError::NotSettled { row: "members-join", size, reason: what.to_owned() };
        let started = fleet.run_until(|f| f.share_known_alive(&all) >= 1.0);
        let started =
            started.ok_or_else(|| not_settled("not all members knew each other after a common start"))?;
        let start = fleet.traffic(started);
        fleet.run(2 * SECOND);
        fleet.network.reset_counts();
        let tenth: Vec<usize> =
            (0..fleet.size.div_ceil(10)).map(|n| n * 10).filter(|n| *n < fleet.size).collect();
        tenth.iter().for_each(|one| fleet.restart(*one));
        let restarted = fleet.run_until(|f| f.share_known_alive(&all) >= 1.0);
        let restarted = restarted
            .ok_or_else(|| not_settled("not all members knew each other after a tenth restarted"))?;
        let restart = fleet.traffic(restarted);
        Ok(vec![
            measurement("start of all: until all know all", "s", seconds(started)),
            measurement(
                "start of all: encoded bytes of a member until then",
                "B",
                start.bytes * seconds(started),
            ),
            measurement("start of all: bytes with envelope", "B/s", start.wire_bytes),
            measurement("a tenth restarts: until all know all", "s", seconds(restarted)),
            measurement(
                "a tenth restarts: encoded bytes of a member until then",
                "B",
                restart.bytes * seconds(restarted),
            ),
            measurement("a tenth restarts: bytes with envelope", "B/s", restart.wire_bytes),
        ])
    }
}

/// A row that measures the detection of the deaths of one member, of a rack and of a zone.
#[derive(Debug)]
pub struct DeathsRow;

/// Measured detection of the death of a group of members.
#[derive(Debug, Clone, Copy)]
pub struct Detection {
    /// Simulated time until 99% of the pairs of a survivor and a dead member have detected the death.
    pub time: Micros,
    /// Bytes a second of a survivor until then, with envelopes.
    pub wire_bytes: f64,
    /// Messages a second of a survivor until then.
    pub messages: f64,
    /// Maximum number of false suspicions among the survivors at one time.
    pub max_false_suspicions: u64,
}

/// Kills members of a steady fleet and measures the detection; `None` if it takes longer than the timeout of
/// 1,800 s.
pub fn measure_deaths(fleet: &mut Fleet, dead: &[usize]) -> Option<Detection> {
    fleet.run(2 * SECOND);
    fleet.network.reset_counts();
    dead.iter().for_each(|one| fleet.kill(*one));
    let start = fleet.network.now();
    let mut max_false_suspicions = 0;
    while fleet.share_known_dead(dead) < 0.99 {
        if fleet.network.now() > start + SETTLE_TIMEOUT {
            return None;
        }
        fleet.run(CHECK_INTERVAL);
        max_false_suspicions = max_false_suspicions.max(fleet.false_suspicions());
    }
    let time = fleet.network.now() - start;
    let TrafficRate { messages, wire_bytes, .. } = fleet.traffic(time);
    Some(Detection { time, wire_bytes, messages, max_false_suspicions })
}

/// Members of one rack, from the second zone. Their share of the fleet is the same as in the planned fleet;
/// at least two.
pub fn rack_members(fleet: &Fleet) -> Vec<usize> {
    let machines = (FRONT_ENDS_IN_A_RACK * fleet.size).div_ceil(PLANNED_FRONT_ENDS as usize).max(2);
    let mut zone = fleet.network.members_in(Area::Zone(1));
    zone.truncate(machines);
    zone
}

impl Row for DeathsRow {
    fn name(&self) -> &'static str {
        "members-deaths"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "one member, a rack (40 of 11,000) or one of 21 zones dies in a steady fleet: simulated time until \
         99% of the pairs have detected it, bytes of a survivor until then, pairs of survivors with a false \
         suspicion; all members are real"
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
        vec![Bound {
            metric: rate,
            max: MAX_CONTROL_TRAFFIC,
            source: "6 KB a second for all control, in and out",
        }]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * size * ENTRY_BYTES
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let steady_fleet = || Fleet::new(size as usize, size as usize, true, seed);
        let not_settled =
            |what: &str| ScaleError::NotSettled { row: "members-deaths", size, reason: what.to_owned() };
        let mut fleet = steady_fleet();
        let one = measure_deaths(&mut fleet, &[1])
            .ok_or_else(|| not_settled("the death of one member was not detected"))?;
        let mut fleet = steady_fleet();
        let group = rack_members(&fleet);
        let of_rack = measure_deaths(&mut fleet, &group)
            .ok_or_else(|| not_settled("the death of a rack was not detected"))?;
        let mut fleet = steady_fleet();
        let zone = fleet.network.members_in(Area::Zone(1));
        let of_zone = measure_deaths(&mut fleet, &zone)
            .ok_or_else(|| not_settled("the death of a zone was not detected"))?;
        Ok(vec![
            measurement("one dies: until 99% know", "s", seconds(one.time)),
            measurement("one dies: bytes with envelope", "B/s", one.wire_bytes),
            measurement(
                "one dies: survivors' pairs in doubt at most",
                "pairs",
                one.max_false_suspicions as f64,
            ),
            measurement("a rack dies: until 99% know", "s", seconds(of_rack.time)),
            measurement("a rack dies: bytes with envelope", "B/s", of_rack.wire_bytes),
            measurement(
                "a rack dies: survivors' pairs in doubt at most",
                "pairs",
                of_rack.max_false_suspicions as f64,
            ),
            measurement("a zone dies: until 99% know", "s", seconds(of_zone.time)),
            measurement("a zone dies: bytes with envelope", "B/s", of_zone.wire_bytes),
            measurement(
                "a zone dies: survivors' pairs in doubt at most",
                "pairs",
                of_zone.max_false_suspicions as f64,
            ),
        ])
    }
}

/// A row that measures the isolation of all regions from each other and their reconnection.
#[derive(Debug)]
pub struct IsolationRow;

impl Row for IsolationRow {
    fn name(&self) -> &'static str {
        "members-apart"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "all seven regions are isolated until each considers all others dead, and for 30 s more (the rest of \
         an hour would be the same and is not simulated), then reconnected: simulated time and bytes of a \
         member; all members are real"
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
        vec![Bound {
            metric: rate,
            max: MAX_CONTROL_TRAFFIC,
            source: "6 KB a second for all control, in and out",
        }]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * size * ENTRY_BYTES
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let not_settled =
            |what: &str| ScaleError::NotSettled { row: "members-apart", size, reason: what.to_owned() };
        let mut fleet = Fleet::new(size as usize, size as usize, true, seed);
        let all: Vec<usize> = (0..fleet.size).collect();
        fleet.run(2 * SECOND);
        fleet.network.reset_counts();
        fleet.network.isolate_regions();
        let detection_time = fleet.run_until(|f| f.share_known_dead_across_regions() >= 0.99);
        let detection_time = detection_time
            .ok_or_else(|| not_settled("the isolated regions did not consider each other dead"))?;
        let bytes_during_detection = fleet.traffic(detection_time).wire_bytes;
        fleet.network.reset_counts();
        fleet.run(ISOLATION_TIME);
        let bytes_while_isolated = fleet.traffic(ISOLATION_TIME).wire_bytes;
        fleet.network.heal();
        fleet.network.reset_counts();
        let reconnection_time = fleet.run_until(|f| f.share_known_alive(&all) >= 0.99);
        let reconnection_time = reconnection_time
            .ok_or_else(|| not_settled("the regions did not find each other after the reconnection"))?;
        let bytes_during_reconnection = fleet.traffic(reconnection_time).wire_bytes;
        Ok(vec![
            measurement("regions part: until 99% take the others for dead", "s", seconds(detection_time)),
            measurement("regions part: bytes with envelope", "B/s", bytes_during_detection),
            measurement("apart: bytes with envelope", "B/s", bytes_while_isolated),
            measurement("together again: until 99% know each other", "s", seconds(reconnection_time)),
            measurement("together again: bytes with envelope", "B/s", bytes_during_reconnection),
            measurement(
                "together again: bytes of a member until then",
                "B",
                bytes_during_reconnection * seconds(reconnection_time),
            ),
        ])
    }
}

impl Fleet {
    /// Share of pairs of members of different regions in which the first considers the second dead.
    pub fn share_known_dead_across_regions(&self) -> f64 {
        let (mut pairs, mut known) = (0_u64, 0_u64);
        for (index, one) in self.running() {
            let region = self.network.location(index).region;
            for (other, seen) in
                one.view().filter(|(other, _)| self.network.location(usize::from(*other)).region != region)
            {
                debug_assert!(usize::from(other) < self.size);
                pairs += 1;
                known += u64::from(matches!(seen.state, State::Dead | State::Left));
            }
        }
        known as f64 / pairs.max(1) as f64
    }
}
