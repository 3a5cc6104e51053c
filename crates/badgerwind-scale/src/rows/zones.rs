//! Evidence of zones: what a front end that reports to voters, and a voter that aggregates reports, send, compute and store
//! as front ends and runners grow; and what a zone lost and back costs.

use crate::cost::{HeapMeter, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::members::{control_bounds, ENVELOPE_BYTES, PLANNED_FRONT_ENDS};
use crate::rows::network::{Conditions, Event, Micros, Network, MILLISECOND, SECOND};
use badgerwind_zones::{
    Aggregator, Evidence, Executor, Member, Message, Node, Observation, Settings, Stage, ZoneDigest,
    ZoneReport,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The default of `<leaving beat>`.
pub const BEAT: Micros = 100 * MILLISECOND;
/// The runtime gives a front end the time four times in a beat.
const TICK: Micros = BEAT / 4;
/// How long a cold runner takes to be warm; sets the steps of a return.
const WARM: Micros = 4 * SECOND;
/// Zones of the plan.
const ZONES: usize = 21;
/// Voters, as the operator's page advises.
const VOTERS: usize = 3;
/// Calls a second of a front end in the plan.
const CALLS: f64 = 127.0;
/// Runners listed by the planned fleet's front ends.
const RUNNERS: u64 = 16_000;
/// How long a front end is measured.
const STEADY: Micros = 10 * SECOND;
/// How long an answer takes, and how long an attempt without one.
const ANSWER: Micros = 100 * MILLISECOND;
const TIME_OUT: Micros = 500 * MILLISECOND;
/// Times after which a lost runner is asked again: doubled from the first to the last.
const AVOID: (Micros, Micros) = (SECOND, 16 * SECOND);
/// Zones and runners of the fleet in which a zone is lost, and calls a second of a front end there.
const LOST_FLEET: (usize, u32, f64) = (ZONES, 2, 10.0);
/// The zone that is lost.
const LOST_ZONE: usize = 1;
/// Simulated time after which a fleet that has not moved is given up.
const PATIENCE: Micros = 180 * SECOND;
const LOOK: Micros = 100 * MILLISECOND;

const MESSAGES: Metric = Metric { name: "messages in and out", unit: "messages/s" };
const BYTES: Metric = Metric { name: "encoded bytes in and out", unit: "B/s" };
const ON_WIRE: Metric = Metric { name: "bytes in and out with the datagrams' envelope", unit: "B/s" };
const PROCESSOR: Metric = Metric { name: "processor time", unit: "us/s" };
const HEAP: Metric = Metric { name: "heap", unit: "B" };

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

fn figure(name: &'static str, unit: &'static str, value: f64) -> Measurement {
    Measurement { metric: Metric { name, unit }, value }
}

fn terms(front_ends: usize) -> Settings {
    Settings::for_timing((0..front_ends.min(VOTERS)).map(|m| m as Member).collect(), BEAT, WARM)
}

/// Runners dealt out to zones in turn, all of one size.
fn runners(count: usize) -> impl Iterator<Item = (Executor, usize, f64)> {
    (0..count).map(|r| (r as Executor, r % ZONES, 1.0))
}

/// A report of a front end that hears all zones.
fn calm_report(serial: u32, runners_a_zone: u16) -> Message {
    let zone = ZoneReport { answered: runners_a_zone, ..ZoneReport::default() };
    Message::Report { serial, zones: vec![zone; ZONES] }
}

/// A digest by which all zones are well.
fn calm_digest(serial: u32, members: u16) -> Message {
    let zone = ZoneDigest { lost: -600, late: -600, reached_by: members, ..ZoneDigest::default() };
    Message::Digest { serial, members, zones: vec![zone; ZONES] }
}

/// What a voter's table costs by the front ends that report to it.
#[derive(Debug)]
pub struct Voter;

/// Work and messages of a voter for each report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VoterCost {
    /// Encoded bytes in and out.
    pub bytes: u64,
    /// Messages in and out.
    pub messages: u64,
    /// Microseconds of processor time.
    pub processor: f64,
    /// Bytes of the table with all front ends in it.
    pub heap: u64,
}

/// A voter to which so many front ends report: a table filled by all, then a report of each, spread over a beat, measured.
pub fn voter(front_ends: usize) -> VoterCost {
    let terms = terms(front_ends);
    let mut aggregator = Aggregator::new(ZONES);
    let mut evidence = Evidence::new();
    evidence.set_executors(runners(RUNNERS as usize));
    let now = SECOND;
    for member in 0..front_ends {
        let Message::Report { serial, zones } = calm_report(1, 40) else { continue };
        aggregator.receive(now, member as Member, serial, &zones, &terms);
    }
    let measured = front_ends;
    let reports: Vec<Vec<u8>> = (0..measured).map(|_| calm_report(2, 40).encode()).collect();
    let meter = ProcessorMeter::start();
    let mut bytes = 0;
    let mut messages = 0;
    for (member, report) in reports.iter().enumerate() {
        let at = now + BEAT * (1 + member as Micros) / measured as Micros;
        let answer = answer(&mut aggregator, &evidence, (at, member as Member), report, &terms);
        bytes += report.len() as u64 + answer.as_ref().map_or(0, |a| a.len() as u64);
        messages += 1 + u64::from(answer.is_some());
    }
    let processor = meter.microseconds() / measured.max(1) as f64;
    let meter = HeapMeter::start();
    let copy = aggregator.clone();
    let heap = meter.net_bytes();
    drop(copy);
    let each = measured.max(1) as u64;
    VoterCost { bytes: bytes / each, messages: messages / each, processor, heap }
}

/// What `Node::receive` does with a report at a voter.
fn answer(
    aggregator: &mut Aggregator,
    evidence: &Evidence,
    (now, from): (Micros, Member),
    bytes: &[u8],
    terms: &Settings,
) -> Option<Vec<u8>> {
    let Some(Message::Report { serial, zones }) = Message::decode(bytes) else { return None };
    if !aggregator.receive(now, from, serial, &zones, terms) {
        return None;
    }
    let (members, zones) = aggregator.digest(now, &evidence.listed_counts(ZONES), terms);
    Some(Message::Digest { serial, members, zones }.encode())
}

/// All rows of zones.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(Voter), Box::new(Reporter), Box::new(Lost)]
}

impl Row for Voter {
    fn name(&self) -> &'static str {
        "zones-voter"
    }
    fn role(&self) -> Role {
        Role::Voter
    }
    fn about(&self) -> &'static str {
        "a front end that is one of three voters of zones: cost of a report, of a beat in which each front end reports \
         once, times the reports of a second (ten of each front end); 21 zones"
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
        control_bounds(ON_WIRE, PROCESSOR, HEAP)
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * 1_024 + RUNNERS * 128
    }
    fn measure(&self, size: u64, _seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let cost = voter(size as usize);
        let reports = size as f64 * SECOND as f64 / BEAT as f64;
        let (bytes, messages) = (cost.bytes as f64 * reports, cost.messages as f64 * reports);
        let metric = |metric, value| Measurement { metric, value };
        Ok(vec![
            metric(MESSAGES, messages),
            metric(BYTES, bytes),
            metric(ON_WIRE, bytes + messages * ENVELOPE_BYTES as f64),
            figure("processor time of a report", "us", cost.processor),
            metric(PROCESSOR, cost.processor * reports),
            metric(HEAP, cost.heap as f64),
        ])
    }
}

/// What a front end that is no voter does for zones, by the runners that it lists.
#[derive(Debug)]
pub struct Reporter;

/// Figures of one real front end that lists so many runners, makes calls, and reports to scripted voters.
pub fn reporter(runner_count: usize, seed: u64) -> Vec<Measurement> {
    let mut rng = StdRng::seed_from_u64(seed);
    let me = VOTERS as Member;
    let mut node = Node::new(0, me, ZONES, terms(VOTERS + 1), 0.0);
    node.evidence.set_executors(runners(runner_count));
    // All runners have answered at some time: the table of what was seen is full.
    (0..runner_count).for_each(|r| node.record(0, r as Executor, Observation::Answered, 0));
    let members = 11_000;
    let (mut bytes, mut messages, mut processor) = (0_u64, 0_u64, 0.0);
    let calls_a_tick = CALLS * seconds(TICK);
    let mut owed = 0.0;
    let mut now = SECOND;
    while now < SECOND + STEADY {
        now += TICK;
        owed += calls_a_tick;
        let answered: Vec<Executor> =
            (0..owed as usize).map(|_| rng.random_range(0..runner_count) as Executor).collect();
        owed -= answered.len() as f64;
        let meter = ProcessorMeter::start();
        answered.iter().for_each(|r| node.record(now, *r, Observation::Answered, now - ANSWER));
        let out: Vec<(Member, u32, Vec<u8>)> = node
            .tick(now)
            .into_iter()
            .map(|(to, message)| (to, serial(&message), message.encode()))
            .collect();
        processor += meter.microseconds();
        for (voter, serial, report) in out {
            let digest = calm_digest(serial, members).encode();
            bytes += (report.len() + digest.len()) as u64;
            messages += 2;
            let meter = ProcessorMeter::start();
            if let Some(message) = Message::decode(&digest) {
                node.receive(now, voter, &message);
            }
            processor += meter.microseconds();
        }
    }
    let meter = HeapMeter::start();
    let copy = node.clone();
    let heap = meter.net_bytes();
    drop(copy);
    let (span, metric) = (seconds(STEADY), |metric, value| Measurement { metric, value });
    let (bytes, messages) = (bytes as f64 / span, messages as f64 / span);
    vec![
        metric(MESSAGES, messages),
        metric(BYTES, bytes),
        metric(ON_WIRE, bytes + messages * ENVELOPE_BYTES as f64),
        metric(PROCESSOR, processor / span),
        metric(HEAP, heap as f64),
    ]
}

fn serial(message: &Message) -> u32 {
    match message {
        Message::Report { serial, .. } | Message::Digest { serial, .. } => *serial,
    }
}

impl Row for Reporter {
    fn name(&self) -> &'static str {
        "zones-evidence"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "a front end that is no voter, 127 calls a second, all runners seen once, three scripted voters; 21 zones, the \
         most that a message carries; its traffic does not depend on the front ends"
    }
    fn variable(&self) -> &'static str {
        "listed runners"
    }
    fn default_sizes(&self) -> &'static [u64] {
        &[30, 100, 300, 1_000, 4_000, 16_000]
    }
    fn planned_size(&self) -> u64 {
        RUNNERS
    }
    fn bounds(&self) -> Vec<Bound> {
        control_bounds(ON_WIRE, PROCESSOR, HEAP)
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * 512
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        Ok(reporter(size as usize, seed))
    }
}

/// A change for the worse that shows that a check on growth fails when it must.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Front ends report to all others, not to voters alone.
    ReportsToAll,
}

/// Real front ends that make calls to runners in zones.
#[derive(Debug)]
pub struct Fleet {
    /// The network between front ends.
    pub network: Network,
    nodes: Vec<Node>,
    rng: StdRng,
    lost_zone: Option<usize>,
    mutant: Option<Mutant>,
    /// By front end and runner: until when it is avoided, and for how long the next time.
    avoided: BTreeMap<(usize, Executor), (Micros, Micros)>,
    /// Probes of runners by all front ends.
    pub probes: u64,
    /// Calls that went to runners of the lost zone while it was lost.
    pub calls_lost: u64,
}

const TIMER_TICK: u32 = 0;
/// Names of timers that end a call: the sign and the runner, above [`TIMER_TICK`].
const TIMER_ENDED: u32 = 1;

fn ended_name(runner: Executor, lost: bool) -> u32 {
    TIMER_ENDED + runner * 2 + u32::from(lost)
}

impl Fleet {
    /// So many front ends; the first three are voters.
    pub fn new(front_ends: usize, seed: u64) -> Fleet {
        Fleet::under(Conditions::wide_area(), front_ends, seed)
    }

    /// The same over another network.
    pub fn under(conditions: Conditions, front_ends: usize, seed: u64) -> Fleet {
        let mut network = Network::new(conditions, front_ends, seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x7a6f_6e65);
        let (zones, each, _) = LOST_FLEET;
        let mut nodes = Vec::new();
        for member in 0..front_ends {
            let mut node = Node::new(0, member as Member, zones, terms(front_ends), rng.random());
            node.evidence.set_executors(runners(zones * each as usize));
            nodes.push(node);
            network.set_timer(member, TIMER_TICK, rng.random_range(0..TICK));
        }
        let avoided = BTreeMap::new();
        Fleet { network, nodes, rng, lost_zone: None, mutant: None, avoided, probes: 0, calls_lost: 0 }
    }

    /// With a change for the worse.
    pub fn with(mut self, mutant: Option<Mutant>) -> Fleet {
        self.mutant = mutant;
        self
    }

    /// A zone's runners answer nothing from now on; with `None` all answer.
    pub fn lose(&mut self, zone: Option<usize>) {
        self.lost_zone = zone;
    }

    /// Plays for this long.
    pub fn run(&mut self, span: Micros) {
        let until = self.network.now() + span;
        while let Some(event) = self.network.next_event(until) {
            match event {
                Event::Timer { member, id: TIMER_TICK } => self.tick(member),
                Event::Timer { member, id } => self.ended(member, id - TIMER_ENDED),
                Event::Datagram { from, to, bytes } => self.hear(from, to, &bytes),
            }
        }
    }

    fn tick(&mut self, member: usize) {
        let now = self.network.local_time(member);
        let beats = self.nodes[member].heartbeats();
        let out = self.nodes[member].tick(now);
        let probes = if self.nodes[member].heartbeats() == beats {
            Vec::new()
        } else {
            self.nodes[member].executors_to_probe()
        };
        self.report(member, out);
        self.probes += probes.len() as u64;
        probes.into_iter().for_each(|runner| self.ask(member, runner));
        self.calls(member, now);
        self.network.set_timer(member, TIMER_TICK, now + TICK);
    }

    fn report(&mut self, from: usize, out: Vec<(Member, Message)>) {
        let Some(first) = out.first().cloned() else { return };
        for (to, message) in out {
            self.network.send(from, usize::from(to), "report", message.encode());
        }
        if self.mutant == Some(Mutant::ReportsToAll) {
            for other in (VOTERS..self.network.member_count()).filter(|other| *other != from) {
                self.network.send(from, other, "report", first.1.encode());
            }
        }
    }

    fn calls(&mut self, member: usize, now: Micros) {
        let (zones, each, rate) = LOST_FLEET;
        let calls = rate * seconds(TICK);
        let count = calls as usize + usize::from(self.rng.random_bool(calls.fract()));
        for _ in 0..count {
            let all = runners(zones * each as usize);
            let asks = |runner: Executor| self.avoided.get(&(member, runner)).is_none_or(|a| a.0 <= now);
            let node = &self.nodes[member];
            let open: Vec<Executor> =
                all.filter(|(r, zone, _)| node.is_open(*r, *zone) && asks(*r)).map(|(r, _, _)| r).collect();
            if open.is_empty() {
                continue;
            }
            let runner = open[self.rng.random_range(0..open.len())];
            self.calls_lost += u64::from(self.is_lost(runner));
            self.ask(member, runner);
        }
    }

    fn is_lost(&self, runner: Executor) -> bool {
        self.lost_zone == Some(runner as usize % ZONES)
    }

    fn ask(&mut self, member: usize, runner: Executor) {
        let lost = self.is_lost(runner);
        let after = if lost { TIME_OUT } else { ANSWER };
        let at = self.network.local_time(member) + after;
        self.network.set_timer(member, ended_name(runner, lost), at);
    }

    fn ended(&mut self, member: usize, name: u32) {
        let (runner, lost) = (name / 2, name % 2 == 1);
        let now = self.network.local_time(member);
        if lost {
            self.nodes[member].record_unanswered(now, runner, now.saturating_sub(TIME_OUT));
            let avoided = self.avoided.entry((member, runner)).or_insert((0, AVOID.0));
            *avoided = (now + avoided.1, (2 * avoided.1).min(AVOID.1));
        } else {
            self.nodes[member].record(now, runner, Observation::Answered, now.saturating_sub(ANSWER));
            self.avoided.remove(&(member, runner));
        }
    }

    fn hear(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.network.local_time(to);
        let Some(message) = Message::decode(bytes) else { return };
        if let Some(answer) = self.nodes[to].receive(now, from as Member, &message) {
            self.network.send(to, from, "digest", answer.encode());
        }
    }

    /// The part of the front ends' use of a zone that is left, from 0 to 1.
    pub fn share(&self, zone: usize) -> f64 {
        self.nodes.iter().map(|n| n.share(zone)).sum::<f64>() / self.nodes.len().max(1) as f64
    }

    /// Zones other than this that a front end left wrongly, over all front ends.
    pub fn wrongly_left(&self, but: usize) -> u64 {
        let left = |node: &Node| {
            let stage = |zone: usize| node.zone_state(zone).map(|(zone_state, _)| zone_state.stage);
            (0..node.zone_count()).filter(|zone| *zone != but && stage(*zone) != Some(Stage::Open)).count()
                as u64
        };
        self.nodes.iter().map(left).sum()
    }

    /// Plays until this holds; how long that took.
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

    /// Messages and bytes with envelope a second, in and out, of a front end that is no voter, on average.
    pub fn traffic(&self, span: Micros) -> (f64, f64) {
        let reporters = VOTERS..self.network.member_count();
        let count = reporters.len().max(1) as f64 * seconds(span).max(f64::MIN_POSITIVE);
        let (mut messages, mut bytes) = (0, 0);
        for member in reporters {
            let traffic = self.network.traffic(member);
            messages += traffic.messages;
            bytes += traffic.bytes + traffic.messages * ENVELOPE_BYTES;
        }
        (messages as f64 / count, bytes as f64 / count)
    }
}

/// A zone that is lost and comes back.
#[derive(Debug)]
pub struct Lost;

impl Row for Lost {
    fn name(&self) -> &'static str {
        "zones-lost"
    }
    fn role(&self) -> Role {
        Role::FrontEndControl
    }
    fn about(&self) -> &'static str {
        "a zone of 16 is lost and back, two runners a zone, ten calls a second a front end: simulated times, traffic of a \
         front end that is no voter, probes of the whole fleet; all front ends are real"
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
        vec![Bound { metric: rate, max: 6_144.0, source: "6 KB a second for all control, in and out" }]
    }
    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * 64 * 1_024
    }
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let stuck = |what: &str| ScaleError::NotSettled { row: "zones-lost", size, reason: what.to_owned() };
        let mut fleet = Fleet::new(size as usize, seed);
        fleet.run(4 * SECOND);
        fleet.network.reset_counts();
        fleet.run(4 * SECOND);
        let (_, calm) = fleet.traffic(4 * SECOND);
        fleet.network.reset_counts();
        fleet.lose(Some(LOST_ZONE));
        let lost = fleet.until(|f| f.share(LOST_ZONE) <= 0.05);
        let lost = lost.ok_or_else(|| stuck("the lost zone was not left"))?;
        fleet.run(4 * SECOND);
        let (messages, during) = fleet.traffic(lost + 4 * SECOND);
        let probes = fleet.probes as f64 / seconds(lost + 4 * SECOND);
        let wrongly = fleet.wrongly_left(LOST_ZONE);
        let calls_lost = fleet.calls_lost;
        fleet.lose(None);
        let back = fleet.until(|f| f.share(LOST_ZONE) >= 1.0);
        let back = back.ok_or_else(|| stuck("the zone was not taken back"))?;
        Ok(vec![
            figure("calm: bytes with envelope", "B/s", calm),
            figure("lost: until 95% of its use has ended", "s", seconds(lost)),
            figure("lost: messages in and out", "messages/s", messages),
            figure("lost: bytes with envelope", "B/s", during),
            figure("lost: probes of the whole fleet", "probes/s", probes),
            figure("lost: calls of a front end that went there", "calls", calls_lost as f64 / size as f64),
            figure("lost: other zones left, over all front ends", "zones", wrongly as f64),
            figure("back: until it is used whole again", "s", seconds(back)),
        ])
    }
}
