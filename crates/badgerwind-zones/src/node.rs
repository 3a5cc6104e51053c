//! A front end with all its parts: its evidence, its table of reports where it is a voter, the voters' digests, and its stages.

use crate::evidence::{Evidence, Observation, Sketch};
use crate::join::{nats, proven, Aggregator};
use crate::message::{Message, ZoneDigest, ZoneReport};
use crate::stages::{Belief, Directive, Stage, Stages, Standing};
use crate::{Executor, Member, Mutant, Terms, Time};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Executors that one front end must have lost, and heard none, to stop sending to a zone by its own evidence alone.
const ALONE: u16 = 4;
/// A front end that left a zone by its own evidence alone probes once in so many beats: there may be hundreds of them.
const SELDOM: u64 = 8;

/// Cause a zone has the share that it has, for people.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// By the fleet's joint stage.
    Fleet,
    /// This front end hears nothing of it; others may.
    Alone,
}

/// A front end.
#[derive(Clone, Debug)]
pub struct Node {
    me: Member,
    terms: Terms,
    zones: usize,
    /// Its own evidence; the runtime adds to it.
    pub evidence: Evidence,
    aggregator: Aggregator,
    stages: Stages,
    /// The voters' digests: when each came, and the report that it answers.
    digests: BTreeMap<Member, (Time, u32, u16, Vec<ZoneDigest>)>,
    /// Zones that it leaves by its own evidence alone.
    alone: Vec<bool>,
    serial: u32,
    beats: u64,
    beat_at: Time,
    mutant: Option<Mutant>,
}

/// A number that differs by pair, the same at each start: FNV-1a over both.
fn mix(a: u64, b: u64) -> f64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(&a.to_be_bytes());
    hasher.write(&b.to_be_bytes());
    let mut h = hasher.finish();
    h ^= h >> 32;
    h = h.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (h >> 11) as f64 / (1u64 << 53) as f64
}

impl Node {
    /// A front end that starts now: all zones open until it hears otherwise. `part` is drawn from 0 to 1.
    pub fn new(now: Time, me: Member, zones: usize, terms: Terms, part: f64) -> Node {
        let zones = zones.min(crate::MAX_ZONES);
        Node {
            me,
            zones,
            evidence: Evidence::new(),
            aggregator: Aggregator::new(zones),
            stages: Stages::new(now, zones),
            digests: BTreeMap::new(),
            alone: vec![false; zones],
            serial: 0,
            beats: 0,
            beat_at: now + (terms.beat as f64 * part) as Time,
            terms,
            mutant: None,
        }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, mutant: Option<Mutant>) -> Node {
        self.evidence = self.evidence.with(mutant);
        self.aggregator = self.aggregator.with(mutant);
        self.stages = self.stages.with(mutant);
        self.mutant = mutant;
        self
    }

    /// What went out to an executor then has ended.
    pub fn record(&mut self, now: Time, executor: Executor, observation: Observation, sent: Time) {
        self.evidence.record(now, executor, observation, sent);
    }

    /// An attempt that went out then was given up unanswered.
    pub fn unanswered(&mut self, now: Time, executor: Executor, sent: Time) {
        self.evidence.unanswered(now, executor, sent);
    }

    /// What is due now.
    pub fn tick(&mut self, now: Time) -> Vec<(Member, Message)> {
        if now < self.beat_at {
            return Vec::new();
        }
        // One that was stopped does not make up for the beats that it missed.
        self.beat_at = (self.beat_at + self.terms.beat).max(now);
        self.beats += 1;
        self.evidence.forget(now, self.terms.span);
        self.judge(now);
        self.serial = self.serial.wrapping_add(1);
        let zones: Vec<ZoneReport> = (0..self.zones).map(|z| self.report(now, z)).collect();
        let report = Message::Report { serial: self.serial, zones };
        let mut out = Vec::new();
        for voter in self.terms.voters.clone() {
            if voter != self.me {
                out.push((voter, report.clone()));
            } else if let Some(digest) = self.receive(now, self.me, &report) {
                self.receive(now, self.me, &digest);
            }
        }
        out
    }

    /// Sets the operator's directive for each zone, by place.
    pub fn set_directives(&mut self, now: Time, directives: &[Option<Directive>]) {
        for zone in 0..self.zones {
            self.stages.set_directive(now, zone, directives.get(zone).copied().flatten());
        }
    }

    /// The operator's directive for a zone.
    pub fn directive(&self, zone: usize) -> Option<Directive> {
        self.stages.directive(zone)
    }

    /// What it saw of a zone. Once it was left, or comes back, what was lost before says nothing of it any more.
    pub fn sketch(&self, now: Time, zone: usize) -> Sketch {
        self.evidence.sketch(now, zone, self.terms.span, self.stages.all()[zone].fresh_from)
    }

    fn report(&self, now: Time, zone: usize) -> ZoneReport {
        let Sketch { heard, late, lost } = self.sketch(now, zone);
        let Standing { stage, generation, failed, .. } = self.stages.all()[zone];
        ZoneReport { heard, late, lost, generation, stage, failed }
    }

    /// A message has come. What it answers, if anything.
    pub fn receive(&mut self, now: Time, from: Member, message: &Message) -> Option<Message> {
        match message {
            Message::Report { serial, zones } => {
                let votes = self.terms.voters.contains(&self.me);
                if !votes || !self.aggregator.receive(now, from, *serial, zones, &self.terms) {
                    return None;
                }
                let counts = self.evidence.counts(self.zones);
                let (members, zones) = self.aggregator.digest(now, &counts, &self.terms);
                Some(Message::Digest { serial: *serial, members, zones })
            }
            Message::Digest { serial, members, zones } => {
                let known = self.terms.voters.contains(&from) && zones.len() == self.zones;
                let newer = self.digests.get(&from).is_none_or(|d| *serial > d.1);
                if known && newer && *serial <= self.serial {
                    self.digests.insert(from, (now, *serial, *members, zones.clone()));
                }
                None
            }
        }
    }

    /// The median of each figure of the voters' recent digests of a zone: one faulty voter of three decides nothing.
    fn fleet(&self, now: Time, zone: usize) -> Option<(usize, ZoneDigest)> {
        let fresh: Vec<_> = self.digests.values().filter(|d| d.0 + self.terms.span / 2 > now).collect();
        // With several voters, one digest alone is no more than one front end's opinion.
        if fresh.is_empty() || fresh.len() < self.terms.voters.len().min(2) {
            return None;
        }
        let middle = (fresh.len() - 1) / 2;
        let mut all: Vec<ZoneDigest> = fresh.iter().map(|d| d.3[zone]).collect();
        let mut members: Vec<u16> = fresh.iter().map(|d| d.2).collect();
        members.sort_unstable();
        all.sort_by_key(|d| d.lost);
        let lost = all[middle].lost;
        all.sort_by_key(|d| d.late);
        let late = all[middle].late;
        all.sort_by_key(|d| d.hearing);
        let hearing = all[middle].hearing;
        all.sort_by_key(|d| (d.generation, d.stage.severity()));
        let newest = all[middle];
        Some((usize::from(members[middle]), ZoneDigest { lost, late, hearing, ..newest }))
    }

    fn belief(&self, members: usize, d: &ZoneDigest) -> Belief {
        let (lost, late, proven) = (nats(d.lost), nats(d.late), proven(&self.terms));
        // Figures are rounded down to 64ths on their way.
        let enough = proven - 0.05;
        if lost >= enough {
            Belief::Lost(lost)
        } else if late >= enough {
            Belief::Late
        } else if lost > 0.0 {
            Belief::Doubt
        } else if usize::from(d.hearing) >= members.clamp(1, 2) && lost < 0.0 && late < 0.0 {
            Belief::Well
        } else {
            Belief::Unknown
        }
    }

    fn judge(&mut self, now: Time) {
        let sizes = self.evidence.sizes(self.zones);
        let fleet: Vec<Option<(usize, ZoneDigest)>> = (0..self.zones).map(|z| self.fleet(now, z)).collect();
        let beliefs: Vec<Belief> = fleet
            .iter()
            .map(|f| f.as_ref().map_or(Belief::Unknown, |(members, d)| self.belief(*members, d)))
            .collect();
        for (zone, f) in fleet.iter().enumerate() {
            if let Some((_, digest)) = f {
                self.stages.follow(now, zone, digest, &sizes, &self.terms);
            }
        }
        self.stages.step(now, &beliefs, &sizes, &self.terms);
        self.judge_alone(now, &sizes);
    }

    /// What does not answer this front end it need not ask anybody about. But one that hears of no zone at all has lost its own
    /// network.
    fn judge_alone(&mut self, now: Time, sizes: &[f64]) {
        let sketches: Vec<Sketch> = (0..self.zones).map(|z| self.sketch(now, z)).collect();
        let hears =
            sketches.iter().any(|s| s.heard + s.late > 0) || self.mutant == Some(Mutant::TrustsOwnNetwork);
        let counts = self.evidence.counts(self.zones);
        for (zone, s) in sketches.iter().enumerate() {
            // What the fleet left it asks about for all; what comes back is tried anew.
            if self.stages.all()[zone].stage == Stage::Left || self.directive(zone) == Some(Directive::Hold) {
                self.alone[zone] = false;
                continue;
            }
            let enough = usize::from(s.lost) >= counts[zone].min(usize::from(ALONE)).max(1);
            let dead = s.heard + s.late == 0 && enough;
            if self.alone[zone] {
                // It goes on until something is heard of it; nothing seen is no news.
                self.alone[zone] = s.heard + s.late == 0 && hears;
            } else if dead && hears {
                let left: f64 =
                    (0..self.zones).filter(|z| *z != zone).map(|z| self.share(z) * sizes[z]).sum();
                let bound = self.terms.least_left_lost * sizes.iter().sum::<f64>();
                self.alone[zone] = left >= bound || self.mutant == Some(Mutant::NoPanicBound);
            }
        }
        // The fleet may have left others since: its stages take precedence.
        let bound = self.terms.least_left_lost * sizes.iter().sum::<f64>();
        let left: f64 = (0..self.zones).map(|z| self.share(z) * sizes[z]).sum();
        if left < bound && self.mutant != Some(Mutant::NoPanicBound) {
            self.alone.fill(false);
        }
    }

    /// The part of a zone that is in use here.
    pub fn share(&self, zone: usize) -> f64 {
        if self.alone.get(zone).copied().unwrap_or(false) {
            return 0.0;
        }
        self.stages.of(zone).map_or(1.0, |s| s.stage.share())
    }

    /// Whether this front end sends to an executor of a zone. Each has its own part of them, so that each executor has that part
    /// of its ordinary load, and no two front ends crowd on the same few.
    pub fn open(&self, executor: Executor, zone: usize) -> bool {
        let share = self.share(zone);
        share >= 1.0 || share > 0.0 && mix(u64::from(executor), u64::from(self.me) + 1) < share
    }

    /// A zone's standing by the fleet, and whether this front end leaves it by its own evidence.
    pub fn standing(&self, zone: usize) -> Option<(Standing, Cause)> {
        let why = if self.alone.get(zone).copied()? { Cause::Alone } else { Cause::Fleet };
        Some((*self.stages.of(zone)?, why))
    }

    /// The fleet's evidence of a zone, as last received: front ends that reported, and the figures.
    pub fn known(&self, now: Time, zone: usize) -> Option<(usize, ZoneDigest)> {
        (zone < self.zones).then(|| self.fleet(now, zone)).flatten()
    }

    /// Zones.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// Beats so far: the runtime asks for probes once in each.
    pub fn beats(&self) -> u64 {
        self.beats
    }

    /// Executors to probe in this beat: of zones that the fleet left, by voters alone; of those that only this front end left,
    /// seldom.
    pub fn probes(&self) -> Vec<Executor> {
        let rank = self.terms.voters.iter().position(|v| *v == self.me);
        let fleet = rank.is_some_and(|r| r < self.terms.probers) || self.mutant == Some(Mutant::AllProbe);
        let mut out = Vec::new();
        for zone in 0..self.zones {
            // Also while it comes back: there may be no call that shows how it fares, and its return must not wait for one.
            let left = matches!(self.stages.all()[zone].stage, Stage::Left | Stage::Back(_));
            let alone = self.alone[zone];
            let most = match (left && fleet, alone && self.beats % SELDOM == u64::from(self.me) % SELDOM) {
                (true, _) => self.terms.probes,
                (false, true) => 1,
                _ => 0,
            };
            let all = self.evidence.executors(zone);
            let from = (self.beats as usize).wrapping_mul(most.max(1)) + usize::from(self.me) * 7;
            out.extend((0..most.min(all.len())).map(|n| all[(from + n) % all.len()]));
        }
        out
    }
}
