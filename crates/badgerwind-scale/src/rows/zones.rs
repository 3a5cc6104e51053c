//! Rows of the detection of lost zones: the cost of a front end that reports evidence and of a voter that
//! aggregates reports, as the numbers of front ends and runners grow, and the cost of the loss and the return
//! of a zone.

use crate::cost::{heap_of_clone, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::bounds::MAX_CONTROL_TRAFFIC;
use crate::rows::members::{control_bounds, ENVELOPE_BYTES, PLANNED_FRONT_ENDS};
use crate::rows::network::{Conditions, Event, Micros, Network, MILLISECOND, SECOND, ZONES};
use badgerwind_zones::{
    Aggregator, Evidence, Executor, Member, Message, Node, Observation, Settings, Stage, ZoneDigest,
    ZoneReport,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Heartbeat interval: the default of `<leaving beat>`.
pub const HEARTBEAT_INTERVAL: Micros = 100 * MILLISECOND;
/// Interval of a front end's ticks; the runtime makes four per heartbeat interval.
const TICK_INTERVAL: Micros = HEARTBEAT_INTERVAL / 4;
/// Time that a cold runner takes to warm up, which determines the steps of a zone's return.
const RUNNER_WARM_UP_TIME: Micros = 4 * SECOND;
/// Number of voters, as recommended to operators.
const VOTERS: usize = 3;
/// Calls a second of a front end of the planned fleet.
const CALLS_PER_SECOND: f64 = 127.0;
/// Runners listed by the front ends of the planned fleet.
const PLANNED_RUNNERS: u64 = 16_000;
/// Time over which a front end is measured.
const MEASUREMENT_TIME: Micros = 10 * SECOND;
/// Time from the start of an attempt to its answer.
const ANSWER_TIME: Micros = 100 * MILLISECOND;
/// Time after which an attempt without an answer ends.
const ATTEMPT_TIMEOUT: Micros = 500 * MILLISECOND;
/// Time for which a front end avoids a runner after the first attempt without an answer. It doubles with each
/// further such attempt.
const MIN_AVOIDANCE: Micros = SECOND;
/// Upper bound of the time for which a front end avoids a runner.
const MAX_AVOIDANCE: Micros = 16 * SECOND;
/// Runners per zone of a simulated fleet.
const FLEET_RUNNERS_PER_ZONE: u32 = 2;
/// Calls a second of each front end of a simulated fleet.
const FLEET_CALLS_PER_SECOND: f64 = 10.0;
/// The zone that is lost.
const LOST_ZONE: usize = 1;
/// Simulated time after which a measurement fails if the fleet has not reached the expected state.
const SETTLE_TIMEOUT: Micros = 180 * SECOND;
/// Interval at which the fleet is checked for the expected state.
const CHECK_INTERVAL: Micros = 100 * MILLISECOND;

const MESSAGES: Metric = Metric { name: "messages in and out", unit: "messages/s" };
const BYTES: Metric = Metric { name: "encoded bytes in and out", unit: "B/s" };
const WIRE_BYTES: Metric = Metric { name: "bytes in and out with the datagrams' envelope", unit: "B/s" };
const PROCESSOR: Metric = Metric { name: "processor time", unit: "us/s" };
const HEAP: Metric = Metric { name: "heap", unit: "B" };

fn seconds(duration: Micros) -> f64 {
    duration as f64 / SECOND as f64
}

fn measurement(name: &'static str, unit: &'static str, value: f64) -> Measurement {
    Measurement { metric: Metric { name, unit }, value }
}

fn zone_settings(front_ends: usize) -> Settings {
    let voters = (0..front_ends.min(VOTERS)).map(|m| m as Member).collect();
    Settings::for_timing(voters, HEARTBEAT_INTERVAL, RUNNER_WARM_UP_TIME)
}

/// Runners of equal capacity, assigned to the zones round-robin.
fn runners(count: usize) -> impl Iterator<Item = (Executor, usize, f64)> {
    (0..count).map(|r| (r as Executor, r % ZONES, 1.0))
}

/// A report of a front end that received answers from all zones.
fn healthy_report(serial: u32, runners_per_zone: u16) -> Message {
    let zone = ZoneReport { answered: runners_per_zone, ..ZoneReport::default() };
    Message::Report { serial, zones: vec![zone; ZONES] }
}

/// A digest in which all zones are healthy.
fn healthy_digest(serial: u32, members: u16) -> Message {
    let zone = ZoneDigest { lost: -600, late: -600, reached_by: members, ..ZoneDigest::default() };
    Message::Digest { serial, members, zones: vec![zone; ZONES] }
}

/// A row that measures a voter by the number of front ends that report to it.
#[derive(Debug)]
pub struct VoterRow;

/// Cost of a voter. All quantities but the heap are means per report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VoterCost {
    /// Encoded bytes in and out.
    pub bytes: u64,
    /// Messages in and out.
    pub messages: u64,
    /// Processor time in microseconds.
    pub processor_us: f64,
    /// Heap of the aggregator with a report of each front end, in bytes.
    pub heap: u64,
}

/// Measures a voter. Each front end reports once before the measurement, which fills the aggregator, and once
/// during it, at times distributed over one heartbeat interval.
pub fn measure_voter(front_ends: usize) -> VoterCost {
    let settings = zone_settings(front_ends);
    let mut aggregator = Aggregator::new(ZONES);
    let mut evidence = Evidence::new();
    evidence.set_executors(runners(PLANNED_RUNNERS as usize));
    let now = SECOND;
    for member in 0..front_ends {
        let Message::Report { serial, zones } = healthy_report(1, 40) else { continue };
        aggregator.receive(now, member as Member, serial, &zones, &settings);
    }
    let reports: Vec<Vec<u8>> = (0..front_ends).map(|_| healthy_report(2, 40).encode()).collect();
    let meter = ProcessorMeter::start();
    let mut bytes = 0;
    let mut messages = 0;
    for (member, report) in reports.iter().enumerate() {
        let at = now + HEARTBEAT_INTERVAL * (1 + member as Micros) / front_ends as Micros;
        let answer = answer_report(&mut aggregator, &evidence, (at, member as Member), report, &settings);
        bytes += report.len() as u64 + answer.as_ref().map_or(0, |a| a.len() as u64);
        messages += 1 + u64::from(answer.is_some());
    }
    let processor_us = meter.microseconds() / front_ends.max(1) as f64;
    let heap = heap_of_clone(&aggregator);
    let count = front_ends.max(1) as u64;
    VoterCost { bytes: bytes / count, messages: messages / count, processor_us, heap }
}

/// Answers a report as `Node::receive` does at a voter.
fn answer_report(
    aggregator: &mut Aggregator,
    evidence: &Evidence,
    (now, from): (Micros, Member),
    bytes: &[u8],
    settings: &Settings,
) -> Option<Vec<u8>> {
    let Some(Message::Report { serial, zones }) = Message::decode(bytes) else { return None };
    if !aggregator.receive(now, from, serial, &zones, settings) {
        return None;
    }
    let (members, zones) = aggregator.digest(now, &evidence.listed_counts(ZONES), settings);
    Some(Message::Digest { serial, members, zones }.encode())
}

/// All rows of the detection of lost zones.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(VoterRow), Box::new(ReporterRow), Box::new(ZoneLossRow)]
}

impl Row for VoterRow {
    fn name(&self) -> &'static str {
        "zones-voter"
    }
    fn role(&self) -> Role {
        Role::Voter
    }
    fn about(&self) -> &'static str {
        "a front end that is one of three voters of zones: cost of a report, measured over a heartbeat \
         interval in which each front end reports once, times the reports of a second (ten of each front \
         end); 21 zones"
    }
    fn variable(&self) -> &'static str {
        "front ends"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 300, 1_000, 3_000, 11_000]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_FRONT_ENDS
    }
    fn bounds(&self) -> Vec<Bound> {
        control_bounds(WIRE_BYTES, PROCESSOR, HEAP)
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * 1_024 + PLANNED_RUNNERS * 128
    }
    fn measure(&self, size: u64, _seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let cost = measure_voter(size as usize);
        let reports = size as f64 * SECOND as f64 / HEARTBEAT_INTERVAL as f64;
        let (bytes, messages) = (cost.bytes as f64 * reports, cost.messages as f64 * reports);
        let of = |metric, value| Measurement { metric, value };
        Ok(vec![
            of(MESSAGES, messages),
            of(BYTES, bytes),
            of(WIRE_BYTES, bytes + messages * ENVELOPE_BYTES as f64),
            measurement("processor time of a report", "us", cost.processor_us),
            of(PROCESSOR, cost.processor_us * reports),
            of(HEAP, cost.heap as f64),
        ])
    }
}

/// A row that measures a front end that is not a voter by the number of its listed runners.
#[derive(Debug)]
pub struct ReporterRow;

/// Measures one real front end that makes calls to its listed runners and reports to scripted voters.
pub fn measure_reporter(runner_count: usize, seed: u64) -> Vec<Measurement> {
    let mut rng = StdRng::seed_from_u64(seed);
    let me = VOTERS as Member;
    let mut node = Node::new(0, me, ZONES, zone_settings(VOTERS + 1), 0.0);
    node.evidence.set_executors(runners(runner_count));
    // All runners have answered once, so that the table of evidence is full.
    (0..runner_count).for_each(|r| node.record(0, r as Executor, Observation::Answered, 0));
    let members = 11_000;
    let (mut bytes, mut messages, mut processor_us) = (0_u64, 0_u64, 0.0);
    let calls_per_tick = CALLS_PER_SECOND * seconds(TICK_INTERVAL);
    let mut pending_calls = 0.0;
    let mut now = SECOND;
    while now < SECOND + MEASUREMENT_TIME {
        now += TICK_INTERVAL;
        pending_calls += calls_per_tick;
        let answered: Vec<Executor> =
            (0..pending_calls as usize).map(|_| rng.random_range(0..runner_count) as Executor).collect();
        pending_calls -= answered.len() as f64;
        let meter = ProcessorMeter::start();
        answered.iter().for_each(|r| node.record(now, *r, Observation::Answered, now - ANSWER_TIME));
        let out: Vec<(Member, u32, Vec<u8>)> = node
            .tick(now)
            .into_iter()
            .map(|(to, message)| (to, serial(&message), message.encode()))
            .collect();
        processor_us += meter.microseconds();
        for (voter, serial, report) in out {
            let digest = healthy_digest(serial, members).encode();
            bytes += (report.len() + digest.len()) as u64;
            messages += 2;
            let meter = ProcessorMeter::start();
            if let Some(message) = Message::decode(&digest) {
                node.receive(now, voter, &message);
            }
            processor_us += meter.microseconds();
        }
    }
    let heap = heap_of_clone(&node);
    let (duration, of) = (seconds(MEASUREMENT_TIME), |metric, value| Measurement { metric, value });
    let (bytes, messages) = (bytes as f64 / duration, messages as f64 / duration);
    vec![
        of(MESSAGES, messages),
        of(BYTES, bytes),
        of(WIRE_BYTES, bytes + messages * ENVELOPE_BYTES as f64),
        of(PROCESSOR, processor_us / duration),
        of(HEAP, heap as f64),
    ]
}

fn serial(message: &Message) -> u32 {
    match message {
        Message::Report { serial, .. } | Message::Digest { serial, .. } => *serial,
    }
}

impl Row for ReporterRow {
    fn name(&self) -> &'static str {
        "zones-evidence"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "a front end that is not a voter, 127 calls a second, one answer of each runner before, three \
         scripted voters; 21 zones of the 24 that a message can carry; its traffic does not depend on the \
         number of front ends"
    }
    fn variable(&self) -> &'static str {
        "listed runners"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[30, 100, 300, 1_000, 4_000, 16_000]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_RUNNERS
    }
    fn bounds(&self) -> Vec<Bound> {
        control_bounds(WIRE_BYTES, PROCESSOR, HEAP)
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * 512
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        Ok(measure_reporter(size as usize, seed))
    }
}

/// A defect injected by tests to show that a check detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Front ends report to all others instead of the voters alone.
    ReportsToAll,
}

/// A simulated fleet: real front ends that make calls to scripted runners in zones.
#[derive(Debug)]
pub struct Fleet {
    /// The network between the front ends.
    pub network: Network,
    nodes: Vec<Node>,
    rng: StdRng,
    lost_zone: Option<usize>,
    mutant: Option<Mutant>,
    /// By front end and runner: when the avoidance ends, and the duration of the next one.
    avoided: BTreeMap<(usize, Executor), (Micros, Micros)>,
    /// Number of probes by all front ends.
    pub probes: u64,
    /// Number of calls of all front ends that were sent to runners of the lost zone.
    pub calls_lost: u64,
}

/// Timer of the next tick.
const TICK_TIMER: u32 = 0;
/// First timer id of the ends of attempts; see [`attempt_end_timer`].
const FIRST_ATTEMPT_END_TIMER: u32 = 1;

/// Timer id of the end of an attempt: encodes the runner and whether the attempt ends without an answer.
fn attempt_end_timer(runner: Executor, lost: bool) -> u32 {
    FIRST_ATTEMPT_END_TIMER + runner * 2 + u32::from(lost)
}

impl Fleet {
    /// Creates a fleet over a wide-area network. The first three front ends are voters.
    pub fn new(front_ends: usize, seed: u64) -> Fleet {
        Fleet::with_conditions(Conditions::wide_area(), front_ends, seed)
    }

    /// Creates a fleet over a network of other conditions.
    pub fn with_conditions(conditions: Conditions, front_ends: usize, seed: u64) -> Fleet {
        let mut network = Network::new(conditions, front_ends, seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x7a6f_6e65);
        let mut nodes = Vec::new();
        for member in 0..front_ends {
            let mut node = Node::new(0, member as Member, ZONES, zone_settings(front_ends), rng.random());
            node.evidence.set_executors(runners(ZONES * FLEET_RUNNERS_PER_ZONE as usize));
            nodes.push(node);
            network.set_timer(member, TICK_TIMER, rng.random_range(0..TICK_INTERVAL));
        }
        let avoided = BTreeMap::new();
        Fleet { network, nodes, rng, lost_zone: None, mutant: None, avoided, probes: 0, calls_lost: 0 }
    }

    /// Injects a defect.
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Fleet {
        self.mutant = mutant;
        self
    }

    /// Sets the lost zone, whose runners do not answer from now on. With `None`, all runners answer.
    pub fn set_lost_zone(&mut self, zone: Option<usize>) {
        self.lost_zone = zone;
    }

    /// Advances the simulated time by a duration.
    pub fn run(&mut self, duration: Micros) {
        let until = self.network.now() + duration;
        while let Some(event) = self.network.next_event(until) {
            match event {
                Event::Timer { member, id: TICK_TIMER } => self.on_tick(member),
                Event::Timer { member, id } => self.on_attempt_end(member, id - FIRST_ATTEMPT_END_TIMER),
                Event::Datagram { from, to, bytes } => self.on_datagram(from, to, &bytes),
            }
        }
    }

    fn on_tick(&mut self, member: usize) {
        let now = self.network.local_time(member);
        let heartbeats = self.nodes[member].heartbeats();
        let out = self.nodes[member].tick(now);
        let probes = if self.nodes[member].heartbeats() == heartbeats {
            Vec::new()
        } else {
            self.nodes[member].executors_to_probe()
        };
        self.send_reports(member, out);
        self.probes += probes.len() as u64;
        probes.into_iter().for_each(|runner| self.start_attempt(member, runner));
        self.make_calls(member, now);
        self.network.set_timer(member, TICK_TIMER, now + TICK_INTERVAL);
    }

    fn send_reports(&mut self, from: usize, reports: Vec<(Member, Message)>) {
        let Some(first) = reports.first().cloned() else { return };
        for (to, message) in reports {
            self.network.send(from, usize::from(to), "report", message.encode());
        }
        if self.mutant == Some(Mutant::ReportsToAll) {
            for other in (VOTERS..self.network.member_count()).filter(|other| *other != from) {
                self.network.send(from, other, "report", first.1.encode());
            }
        }
    }

    fn make_calls(&mut self, member: usize, now: Micros) {
        let calls = FLEET_CALLS_PER_SECOND * seconds(TICK_INTERVAL);
        let count = calls as usize + usize::from(self.rng.random_bool(calls.fract()));
        for _ in 0..count {
            let all = runners(ZONES * FLEET_RUNNERS_PER_ZONE as usize);
            let is_usable = |runner: Executor| self.avoided.get(&(member, runner)).is_none_or(|a| a.0 <= now);
            let node = &self.nodes[member];
            let open: Vec<Executor> = all
                .filter(|(r, zone, _)| node.is_open(*r, *zone) && is_usable(*r))
                .map(|(r, _, _)| r)
                .collect();
            if open.is_empty() {
                continue;
            }
            let runner = open[self.rng.random_range(0..open.len())];
            self.calls_lost += u64::from(self.is_lost(runner));
            self.start_attempt(member, runner);
        }
    }

    fn is_lost(&self, runner: Executor) -> bool {
        self.lost_zone == Some(runner as usize % ZONES)
    }

    /// Starts an attempt of a call or a probe.
    fn start_attempt(&mut self, member: usize, runner: Executor) {
        let lost = self.is_lost(runner);
        let duration = if lost { ATTEMPT_TIMEOUT } else { ANSWER_TIME };
        let at = self.network.local_time(member) + duration;
        self.network.set_timer(member, attempt_end_timer(runner, lost), at);
    }

    /// Records the end of an attempt, as [`attempt_end_timer`] encodes it above its first id.
    fn on_attempt_end(&mut self, member: usize, encoded: u32) {
        let (runner, lost) = (encoded / 2, encoded % 2 == 1);
        let now = self.network.local_time(member);
        if lost {
            self.nodes[member].record_unanswered(now, runner, now.saturating_sub(ATTEMPT_TIMEOUT));
            let avoided = self.avoided.entry((member, runner)).or_insert((0, MIN_AVOIDANCE));
            *avoided = (now + avoided.1, (2 * avoided.1).min(MAX_AVOIDANCE));
        } else {
            self.nodes[member].record(now, runner, Observation::Answered, now.saturating_sub(ANSWER_TIME));
            self.avoided.remove(&(member, runner));
        }
    }

    fn on_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.network.local_time(to);
        let Some(message) = Message::decode(bytes) else { return };
        if let Some(answer) = self.nodes[to].receive(now, from as Member, &message) {
            self.network.send(to, from, "digest", answer.encode());
        }
    }

    /// Mean fraction of a zone that the front ends use, from 0 to 1.
    pub fn mean_share(&self, zone: usize) -> f64 {
        self.nodes.iter().map(|n| n.share(zone)).sum::<f64>() / self.nodes.len().max(1) as f64
    }

    /// Number of zones other than the lost one that are not open, summed over all front ends.
    pub fn wrongly_left(&self, lost_zone: usize) -> u64 {
        let count_left = |node: &Node| {
            let stage = |zone: usize| node.zone_state(zone).map(|(zone_state, _)| zone_state.stage);
            (0..node.zone_count())
                .filter(|zone| *zone != lost_zone && stage(*zone) != Some(Stage::Open))
                .count() as u64
        };
        self.nodes.iter().map(count_left).sum()
    }

    /// Runs until a condition holds and returns the duration; `None` after the timeout of 180 s of simulated
    /// time.
    pub fn run_until(&mut self, condition: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let started_at = self.network.now();
        while self.network.now() < started_at + SETTLE_TIMEOUT {
            if condition(self) {
                return Some(self.network.now() - started_at);
            }
            self.run(CHECK_INTERVAL);
        }
        None
    }

    /// Messages a second and bytes a second, envelopes included, in and out of a front end that is not a
    /// voter. `duration` is the time since the last reset of the counts; the result is the mean over these
    /// front ends.
    pub fn traffic(&self, duration: Micros) -> (f64, f64) {
        let reporters = VOTERS..self.network.member_count();
        let count = reporters.len().max(1) as f64 * seconds(duration).max(f64::MIN_POSITIVE);
        let (mut messages, mut bytes) = (0, 0);
        for member in reporters {
            let traffic = self.network.traffic(member);
            messages += traffic.messages;
            bytes += traffic.bytes + traffic.messages * ENVELOPE_BYTES;
        }
        (messages as f64 / count, bytes as f64 / count)
    }
}

/// A row that measures the loss and the return of a zone by the number of front ends.
#[derive(Debug)]
pub struct ZoneLossRow;

impl Row for ZoneLossRow {
    fn name(&self) -> &'static str {
        "zones-lost"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "one zone of 21 is lost and returns, two runners per zone, ten calls a second from each front end: \
         simulated times, traffic of a front end that is not a voter, probes of the whole fleet; all front \
         ends are real"
    }
    fn variable(&self) -> &'static str {
        "front ends"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 300]
    }
    fn planned_size(&self) -> u64 {
        PLANNED_FRONT_ENDS
    }
    fn bounds(&self) -> Vec<Bound> {
        let rate = Metric { name: "lost: bytes with envelope", unit: "B/s" };
        vec![Bound {
            metric: rate,
            max: MAX_CONTROL_TRAFFIC,
            source: "6 KB a second for all control, in and out",
        }]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * 64 * 1_024
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let not_settled =
            |reason: &str| ScaleError::NotSettled { row: "zones-lost", size, reason: reason.to_owned() };
        let mut fleet = Fleet::new(size as usize, seed);
        fleet.run(4 * SECOND);
        fleet.network.reset_counts();
        fleet.run(4 * SECOND);
        let (_, bytes_before) = fleet.traffic(4 * SECOND);
        fleet.network.reset_counts();
        fleet.set_lost_zone(Some(LOST_ZONE));
        let leave_time = fleet.run_until(|f| f.mean_share(LOST_ZONE) <= 0.05);
        let leave_time =
            leave_time.ok_or_else(|| not_settled("the front ends did not leave the lost zone"))?;
        fleet.run(4 * SECOND);
        let (messages, bytes_during_loss) = fleet.traffic(leave_time + 4 * SECOND);
        let probes = fleet.probes as f64 / seconds(leave_time + 4 * SECOND);
        let wrongly_left = fleet.wrongly_left(LOST_ZONE);
        let calls_lost = fleet.calls_lost;
        fleet.set_lost_zone(None);
        let return_time = fleet.run_until(|f| f.mean_share(LOST_ZONE) >= 1.0);
        let return_time =
            return_time.ok_or_else(|| not_settled("the front ends did not return to the zone"))?;
        Ok(vec![
            measurement("calm: bytes with envelope", "B/s", bytes_before),
            measurement("lost: until 95% of its use has ended", "s", seconds(leave_time)),
            measurement("lost: messages in and out", "messages/s", messages),
            measurement("lost: bytes with envelope", "B/s", bytes_during_loss),
            measurement("lost: probes of the whole fleet", "probes/s", probes),
            measurement(
                "lost: calls of a front end that went there",
                "calls",
                calls_lost as f64 / size as f64,
            ),
            measurement("lost: other zones left, over all front ends", "zones", wrongly_left as f64),
            measurement("back: until it is used whole again", "s", seconds(return_time)),
        ])
    }
}
