//! A front end: its evidence, the table of reports if it is a voter, the voters' digests, and the stages of
//! the zones.

use crate::aggregate::{nats, proven, Aggregator};
use crate::evidence::{Evidence, Observation, ObservedCounts};
use crate::message::{Message, ZoneDigest, ZoneReport};
use crate::stages::{Assessment, Directive, Stage, Stages, ZoneState};
use crate::{Executor, Member, Mutant, Settings, Time};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Number of executors (or all, if a zone has fewer) that one front end must have lost, with none answering,
/// to leave a zone by its own evidence alone.
const MIN_LOST_FOR_LOCAL_DECISION: u16 = 4;
/// A front end that left a zone by its own evidence alone probes it once in this many heartbeats, as hundreds
/// of front ends may do so.
const LOCAL_PROBE_INTERVAL: u64 = 8;

/// Why a zone has its share, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The fleet's stage.
    Fleet,
    /// This front end receives no answers from the zone; others may.
    Alone,
}

/// The fleet's evidence of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetEvidence {
    /// Front ends that reported.
    pub members: usize,
    /// The median of the voters' digests.
    pub digest: ZoneDigest,
}

/// A front end.
#[derive(Clone, Debug)]
pub struct Node {
    me: Member,
    settings: Settings,
    zones: usize,
    /// The front end's own evidence; the runtime adds to it.
    pub evidence: Evidence,
    aggregator: Aggregator,
    stages: Stages,
    /// The last digest of each voter.
    digests: BTreeMap<Member, StoredDigest>,
    /// Zones that this front end has left by its own evidence alone.
    left_locally: Vec<bool>,
    /// Serial number of the last report.
    serial: u32,
    /// Number of heartbeats so far.
    heartbeats: u64,
    /// When the next heartbeat is due.
    next_heartbeat: Time,
    mutant: Option<Mutant>,
}

/// The last digest of a voter.
#[derive(Clone, Debug)]
struct StoredDigest {
    received_at: Time,
    /// The serial number of the report that it answers.
    serial: u32,
    members: u16,
    zones: Vec<ZoneDigest>,
}

/// Maps a pair of numbers to a fraction from 0 to 1 by FNV-1a. It depends on the pair alone, so that it is
/// the same after a restart.
fn hash_fraction(a: u64, b: u64) -> f64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(&a.to_be_bytes());
    hasher.write(&b.to_be_bytes());
    let mut h = hasher.finish();
    h ^= h >> 32;
    h = h.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (h >> 11) as f64 / (1u64 << 53) as f64
}

impl Node {
    /// A front end that starts now, with all zones open. `phase`, drawn from 0 to 1, is the fraction of the
    /// heartbeat interval before the first heartbeat.
    pub fn new(now: Time, me: Member, zones: usize, settings: Settings, phase: f64) -> Node {
        let zones = zones.min(crate::MAX_ZONES);
        Node {
            me,
            zones,
            evidence: Evidence::new(),
            aggregator: Aggregator::new(zones),
            stages: Stages::new(now, zones),
            digests: BTreeMap::new(),
            left_locally: vec![false; zones],
            serial: 0,
            heartbeats: 0,
            next_heartbeat: now + (settings.heartbeat_interval as f64 * phase) as Time,
            settings,
            mutant: None,
        }
    }

    /// Injects a defect, for tests that show that it is detected.
    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Node {
        self.evidence = self.evidence.with_mutant(mutant);
        self.aggregator = self.aggregator.with_mutant(mutant);
        self.stages = self.stages.with_mutant(mutant);
        self.mutant = mutant;
        self
    }

    /// Records the result of a request that was sent to an executor at `sent`.
    pub fn record(&mut self, now: Time, executor: Executor, observation: Observation, sent: Time) {
        self.evidence.record(now, executor, observation, sent);
    }

    /// Records that the caller gave up an attempt, sent at `sent`, without an answer.
    pub fn record_unanswered(&mut self, now: Time, executor: Executor, sent: Time) {
        self.evidence.record_unanswered(now, executor, sent);
    }

    /// Runs the heartbeat if it is due: evaluates the evidence, and returns the reports to send.
    pub fn tick(&mut self, now: Time) -> Vec<(Member, Message)> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        // After a suspension of the process, the missed heartbeats are not made up for.
        self.next_heartbeat = (self.next_heartbeat + self.settings.heartbeat_interval).max(now);
        self.heartbeats += 1;
        self.evidence.prune(now, self.settings.evidence_window);
        self.evaluate(now);
        self.serial = self.serial.wrapping_add(1);
        let zones: Vec<ZoneReport> = (0..self.zones).map(|z| self.report(now, z)).collect();
        let report = Message::Report { serial: self.serial, zones };
        let mut out = Vec::new();
        for voter in self.settings.voters.clone() {
            if voter != self.me {
                out.push((voter, report.clone()));
            } else if let Some(digest) = self.receive(now, self.me, &report) {
                self.receive(now, self.me, &digest);
            }
        }
        out
    }

    /// Sets the operator's directive for each zone, in the order of the settings.
    pub fn set_directives(&mut self, now: Time, directives: &[Option<Directive>]) {
        for zone in 0..self.zones {
            self.stages.set_directive(now, zone, directives.get(zone).copied().flatten());
        }
    }

    /// The operator's directive for a zone.
    pub fn directive(&self, zone: usize) -> Option<Directive> {
        self.stages.directive(zone)
    }

    /// This front end's observations of a zone. Losses from before the zone was left or its return began are
    /// ignored.
    pub fn observed_counts(&self, now: Time, zone: usize) -> ObservedCounts {
        let not_before = self.stages.all()[zone].evidence_from;
        self.evidence.observed_counts(now, zone, self.settings.evidence_window, not_before)
    }

    fn report(&self, now: Time, zone: usize) -> ZoneReport {
        let ObservedCounts { answered, late, lost } = self.observed_counts(now, zone);
        let ZoneState { stage, generation, failed_returns, .. } = self.stages.all()[zone];
        ZoneReport { answered, late, lost, generation, stage, failed_returns }
    }

    /// Processes a message, and returns the answer if there is one.
    pub fn receive(&mut self, now: Time, from: Member, message: &Message) -> Option<Message> {
        match message {
            Message::Report { serial, zones } => {
                let is_voter = self.settings.voters.contains(&self.me);
                if !is_voter || !self.aggregator.receive(now, from, *serial, zones, &self.settings) {
                    return None;
                }
                let listed = self.evidence.listed_counts(self.zones);
                let (members, zones) = self.aggregator.digest(now, &listed, &self.settings);
                Some(Message::Digest { serial: *serial, members, zones })
            }
            Message::Digest { serial, members, zones } => {
                let valid = self.settings.voters.contains(&from) && zones.len() == self.zones;
                let newer = self.digests.get(&from).is_none_or(|d| *serial > d.serial);
                if valid && newer && *serial <= self.serial {
                    let digest = StoredDigest {
                        received_at: now,
                        serial: *serial,
                        members: *members,
                        zones: zones.clone(),
                    };
                    self.digests.insert(from, digest);
                }
                None
            }
        }
    }

    /// The fleet's evidence of a zone: for each figure, the median of the voters' recent digests, so that one
    /// faulty voter of three decides nothing.
    fn median_digest(&self, now: Time, zone: usize) -> Option<FleetEvidence> {
        let window = self.settings.evidence_window / 2;
        let fresh: Vec<_> = self.digests.values().filter(|d| d.received_at + window > now).collect();
        // Where there are several voters, a single digest is not enough for a decision.
        if fresh.is_empty() || fresh.len() < self.settings.voters.len().min(2) {
            return None;
        }
        let middle = (fresh.len() - 1) / 2;
        let mut all: Vec<ZoneDigest> = fresh.iter().map(|d| d.zones[zone]).collect();
        let mut members: Vec<u16> = fresh.iter().map(|d| d.members).collect();
        members.sort_unstable();
        all.sort_by_key(|d| d.lost);
        let lost = all[middle].lost;
        all.sort_by_key(|d| d.late);
        let late = all[middle].late;
        all.sort_by_key(|d| d.reached_by);
        let reached_by = all[middle].reached_by;
        all.sort_by_key(|d| (d.generation, d.stage.severity()));
        let newest = all[middle];
        let digest = ZoneDigest { lost, late, reached_by, ..newest };
        Some(FleetEvidence { members: usize::from(members[middle]), digest })
    }

    fn assess(&self, FleetEvidence { members, digest }: &FleetEvidence) -> Assessment {
        let (lost, late, proven) = (nats(digest.lost), nats(digest.late), proven(&self.settings));
        // The digest's units truncate the evidence by up to 1/64 nat.
        let enough = proven - 0.05;
        if lost >= enough {
            Assessment::Lost(lost)
        } else if late >= enough {
            Assessment::Late
        } else if lost > 0.0 {
            Assessment::Suspect
        } else if usize::from(digest.reached_by) >= (*members).clamp(1, 2) && lost < 0.0 && late < 0.0 {
            Assessment::Healthy
        } else {
            Assessment::Unknown
        }
    }

    fn evaluate(&mut self, now: Time) {
        let sizes = self.evidence.sizes(self.zones);
        let fleet: Vec<Option<FleetEvidence>> = (0..self.zones).map(|z| self.median_digest(now, z)).collect();
        let assessments: Vec<Assessment> = fleet
            .iter()
            .map(|evidence| evidence.as_ref().map_or(Assessment::Unknown, |e| self.assess(e)))
            .collect();
        for (zone, evidence) in fleet.iter().enumerate() {
            if let Some(FleetEvidence { digest, .. }) = evidence {
                self.stages.follow(now, zone, digest, &sizes, &self.settings);
            }
        }
        self.stages.step(now, &assessments, &sizes, &self.settings);
        self.evaluate_locally(now, &sizes);
    }

    /// Leaves the zones that do not answer this front end, whatever the fleet does. A front end that gets
    /// answers from no zone at all has lost its own network, and leaves none.
    fn evaluate_locally(&mut self, now: Time, sizes: &[f64]) {
        let observed: Vec<ObservedCounts> = (0..self.zones).map(|z| self.observed_counts(now, z)).collect();
        let any_answers =
            observed.iter().any(|o| o.answered + o.late > 0) || self.mutant == Some(Mutant::TrustsOwnNetwork);
        let listed = self.evidence.listed_counts(self.zones);
        for (zone, counts) in observed.iter().enumerate() {
            // A zone that the fleet left is probed for all front ends, and one that returns is used again.
            if self.stages.all()[zone].stage == Stage::Left || self.directive(zone) == Some(Directive::Hold) {
                self.left_locally[zone] = false;
                continue;
            }
            let min_lost = listed[zone].min(usize::from(MIN_LOST_FOR_LOCAL_DECISION)).max(1);
            let silent = counts.answered + counts.late == 0;
            if self.left_locally[zone] {
                // It stays left until an executor answers; the absence of observations is not evidence.
                self.left_locally[zone] = silent && any_answers;
            } else if silent && usize::from(counts.lost) >= min_lost && any_answers {
                let remaining: f64 =
                    (0..self.zones).filter(|z| *z != zone).map(|z| self.share(z) * sizes[z]).sum();
                let bound = self.settings.min_remaining_on_loss * sizes.iter().sum::<f64>();
                self.left_locally[zone] = remaining >= bound || self.mutant == Some(Mutant::NoPanicBound);
            }
        }
        // The fleet may have left other zones since. Its stages take precedence if less than the panic bound
        // would remain.
        let bound = self.settings.min_remaining_on_loss * sizes.iter().sum::<f64>();
        let remaining: f64 = (0..self.zones).map(|z| self.share(z) * sizes[z]).sum();
        if remaining < bound && self.mutant != Some(Mutant::NoPanicBound) {
            self.left_locally.fill(false);
        }
    }

    /// The fraction of a zone that this front end uses.
    pub fn share(&self, zone: usize) -> f64 {
        if self.left_locally.get(zone).copied().unwrap_or(false) {
            return 0.0;
        }
        self.stages.of(zone).map_or(1.0, |s| s.stage.share())
    }

    /// Whether this front end uses an executor of a zone. Each front end uses its own part of a partly used
    /// zone, so that every executor gets that part of its ordinary load, and the front ends do not all use
    /// the same few executors.
    pub fn is_open(&self, executor: Executor, zone: usize) -> bool {
        let share = self.share(zone);
        share >= 1.0 || share > 0.0 && hash_fraction(u64::from(executor), u64::from(self.me) + 1) < share
    }

    /// The fleet's state of a zone, and whether this front end has left it by its own evidence.
    pub fn zone_state(&self, zone: usize) -> Option<(ZoneState, Cause)> {
        let cause = if self.left_locally.get(zone).copied()? { Cause::Alone } else { Cause::Fleet };
        Some((*self.stages.of(zone)?, cause))
    }

    /// The fleet's evidence of a zone, as last received.
    pub fn fleet_evidence(&self, now: Time, zone: usize) -> Option<FleetEvidence> {
        (zone < self.zones).then(|| self.median_digest(now, zone)).flatten()
    }

    /// The number of zones.
    pub fn zone_count(&self) -> usize {
        self.zones
    }

    /// The number of heartbeats so far; the runtime asks for probes once in each.
    pub fn heartbeats(&self) -> u64 {
        self.heartbeats
    }

    /// The executors to probe in this heartbeat. Zones that the fleet left are probed by some voters only; a
    /// zone that only this front end left is probed at a lower rate.
    pub fn executors_to_probe(&self) -> Vec<Executor> {
        let rank = self.settings.voters.iter().position(|v| *v == self.me);
        let probes_for_fleet =
            rank.is_some_and(|r| r < self.settings.probers) || self.mutant == Some(Mutant::AllProbe);
        let mut out = Vec::new();
        for zone in 0..self.zones {
            // A zone that returns is probed too, as there may be no call that shows its state.
            let left = matches!(self.stages.all()[zone].stage, Stage::Left | Stage::Returning(_));
            let local_probe_due =
                self.heartbeats % LOCAL_PROBE_INTERVAL == u64::from(self.me) % LOCAL_PROBE_INTERVAL;
            let count = match (left && probes_for_fleet, self.left_locally[zone] && local_probe_due) {
                (true, _) => self.settings.probes_per_heartbeat,
                (false, true) => 1,
                _ => 0,
            };
            let all = self.evidence.executors(zone);
            // The probed executors change with each heartbeat, and start at another one at each front end.
            let first = (self.heartbeats as usize).wrapping_mul(count.max(1)) + usize::from(self.me) * 7;
            out.extend((0..count.min(all.len())).map(|n| all[(first + n) % all.len()]));
        }
        out
    }
}
