//! A hollow control machine: the real waves and the real messages, with the service's loop in simulated time. As in
//! the service, each question that is held open looks every [`POLL_INTERVAL`] whether anything has changed since it looked
//! last, and the folder is looked at every [`SCAN_INTERVAL`], which counts as a change.

use super::network::response_bytes;
use super::SECOND;
use crate::cost::ProcessorMeter;
use badgerwind_config::client::Time;
use badgerwind_config::waves::{RolloutPolicy, Stage, Waves};
use badgerwind_config::wire::DiscoveryRequest;
use badgerwind_config::Kind;
use badgerwind_control::request::ResourceRequest;
use badgerwind_control::service::{POLL_INTERVAL, SCAN_INTERVAL};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How often the folder is looked at, in microseconds.
pub const LOOK_EVERY: Time = SCAN_INTERVAL.as_micros() as Time;

/// How often a question that is held open looks for changes, in microseconds.
const POLL_EVERY: Time = POLL_INTERVAL.as_micros() as Time;

/// Polls are taken together in slots of this width.
pub const SLOT: Time = 1_000;

const SLOTS: usize = (POLL_EVERY / SLOT) as usize;

/// A defect put in on purpose, for tests of the checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// None: the service as it is.
    #[default]
    None,
    /// A front end that is behind is offered every version in between, one after the other.
    OffersEveryVersion,
}

/// What a control machine has had to do.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Questions and answers.
    pub messages: u64,
    /// Questions alone.
    pub questions: u64,
    /// Bytes of questions.
    pub bytes_in: u64,
    /// Bytes of answers.
    pub bytes_out: u64,
    /// Answers that offered a version.
    pub versions_sent: u64,
    /// Times a held question was looked at anew.
    pub offers_evaluated: u64,
    /// Processor time of reading questions, of waves and of writing answers.
    pub processor_microseconds: f64,
    /// Messages and bytes by second.
    pub by_second: BTreeMap<u64, (u64, u64)>,
}

impl Load {
    fn message(&mut self, now: Time, bytes: u64) {
        self.messages += 1;
        let second = self.by_second.entry(now / SECOND).or_default();
        second.0 += 1;
        second.1 += bytes;
    }

    /// Messages and bytes of the busiest second in a span of time, each by itself.
    pub fn busiest(&self, from: Time, until: Time) -> (u64, u64) {
        let seconds = self.by_second.range(from / SECOND..=until / SECOND);
        seconds.fold((0, 0), |most, (_, second)| (most.0.max(second.0), most.1.max(second.1)))
    }
}

struct Held {
    ask: u64,
    question: ResourceRequest,
    seen: Option<u64>,
    slot: usize,
}

/// An answer that goes out.
pub struct Answer {
    pub front_end: usize,
    pub kind: Kind,
    pub ask: u64,
    pub bytes: u64,
    /// The body; empty: nothing new.
    pub body: Vec<u8>,
}

/// A hollow control machine.
pub struct Service {
    waves: Waves,
    name: String,
    /// What lies in the folder and was not seen yet.
    folder: Vec<(Kind, u64, Arc<str>)>,
    held: BTreeMap<(usize, Kind), Held>,
    slots: [BTreeSet<(usize, Kind)>; SLOTS],
    changes: u64,
    changed_at: Time,
    nonce: u64,
    /// Whether every question and look counts as a change, as at the service, or only what can alter an answer.
    every_change: bool,
    fault: ServiceFault,
    /// Lost: it answers nobody.
    pub lost: bool,
    /// What it has had to do.
    pub load: Load,
}

impl Service {
    /// `every_change`: evaluates held questions as often as the service does. Without it only after what can alter an
    /// answer; the answers and their moments are the same.
    pub fn new(name: String, rules: RolloutPolicy, every_change: bool, fault: ServiceFault) -> Self {
        Service {
            waves: Waves::new(rules),
            name,
            folder: Vec::new(),
            held: BTreeMap::new(),
            slots: Default::default(),
            changes: 0,
            changed_at: 0,
            nonce: 0,
            every_change,
            fault,
            lost: false,
            load: Load::default(),
        }
    }

    /// A version comes into the folder.
    pub fn put(&mut self, kind: Kind, version: u64, text: Arc<str>) {
        self.folder.push((kind, version, text));
    }

    /// The folder is looked at.
    pub fn look(&mut self, now: Time) {
        let meter = ProcessorMeter::start();
        let before = self.stages();
        for (kind, version, text) in std::mem::take(&mut self.folder) {
            // A number that is published with other content is never made here.
            _ = self.waves.publish(kind, version, text);
        }
        self.waves.tick(now);
        self.note_change(now, &before);
        self.load.processor_microseconds += meter.microseconds();
    }

    /// A question arrives; an answer that is there at once comes back.
    pub fn ask(
        &mut self,
        now: Time,
        (front_end, kind, ask): (usize, Kind, u64),
        body: &[u8],
        bytes: u64,
    ) -> Option<Answer> {
        let meter = ProcessorMeter::start();
        self.load.message(now, bytes);
        self.load.questions += 1;
        self.load.bytes_in += bytes;
        let request: DiscoveryRequest = serde_json::from_slice(body).ok()?;
        let question = ResourceRequest::parse(kind, &request).ok()?;
        let before = self.stages();
        let metadata = &request.node.metadata;
        self.waves.record_report(now, &request.node.id, &metadata.report, metadata.health);
        self.note_change(now, &before);
        self.gone(front_end, kind);
        let slot = (now / SLOT) as usize % SLOTS;
        self.slots[slot].insert((front_end, kind));
        self.held.insert((front_end, kind), Held { ask, question, seen: None, slot });
        let answer = self.evaluate(now, front_end, kind);
        self.load.processor_microseconds += meter.microseconds();
        answer
    }

    /// The questions whose turn it is look for changes.
    pub fn poll(&mut self, now: Time) -> Vec<Answer> {
        // All have looked since the last change.
        if now > self.changed_at + POLL_EVERY + SLOT {
            return Vec::new();
        }
        let meter = ProcessorMeter::start();
        let slot = (now / SLOT) as usize % SLOTS;
        let turn: Vec<(usize, Kind)> = self.slots[slot].iter().copied().collect();
        let answers = turn.into_iter().filter_map(|(n, kind)| self.evaluate(now, n, kind)).collect();
        self.load.processor_microseconds += meter.microseconds();
        answers
    }

    /// The longest time for which the question may be held has passed.
    pub fn expire(&mut self, now: Time, front_end: usize, kind: Kind, ask: u64) -> Option<Answer> {
        self.held.get(&(front_end, kind)).filter(|h| h.ask == ask)?;
        self.gone(front_end, kind);
        let (bytes, body) = response_bytes(None);
        self.load.message(now, bytes);
        self.load.bytes_out += bytes;
        Some(Answer { front_end, kind, ask, bytes, body })
    }

    /// A connection of a front end has gone, with the question on it.
    pub fn gone(&mut self, front_end: usize, kind: Kind) {
        if let Some(held) = self.held.remove(&(front_end, kind)) {
            self.slots[held.slot].remove(&(front_end, kind));
        }
    }

    /// The machine is lost; whose questions were open comes back.
    pub fn lose(&mut self) -> Vec<(usize, Kind, u64)> {
        self.lost = true;
        self.slots = Default::default();
        std::mem::take(&mut self.held).into_iter().map(|((n, kind), held)| (n, kind, held.ask)).collect()
    }

    /// Questions that are held open.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn evaluate(&mut self, now: Time, front_end: usize, kind: Kind) -> Option<Answer> {
        let held = self.held.get_mut(&(front_end, kind))?;
        if held.seen == Some(self.changes) {
            return None;
        }
        held.seen = Some(self.changes);
        self.load.offers_evaluated += 1;
        let running = held.question.running;
        let offered = match self.fault {
            ServiceFault::None => self.waves.offer(&held.question.front_end, kind, running),
            ServiceFault::OffersEveryVersion => next_version(&self.waves, kind, running),
        };
        let (version, text) = offered?;
        let held = self.held.remove(&(front_end, kind))?;
        self.slots[held.slot].remove(&(front_end, kind));
        self.nonce += 1;
        let response = held.question.response(version, &text, &self.name, self.nonce);
        let (bytes, body) = response_bytes(Some(&response));
        self.load.message(now, bytes);
        self.load.bytes_out += bytes;
        self.load.versions_sent += 1;
        Some(Answer { front_end, kind, ask: held.ask, bytes, body })
    }

    /// What an offer depends on beside the front end's own report.
    fn stages(&self) -> [Option<(u64, Stage)>; 4] {
        Kind::ALL.map(|kind| self.waves.stage(kind).map(|(version, stage)| (version, stage.clone())))
    }

    fn note_change(&mut self, now: Time, before: &[Option<(u64, Stage)>; 4]) {
        if self.every_change || *before != self.stages() {
            self.changes += 1;
            self.changed_at = now;
        }
    }
}

fn next_version(waves: &Waves, kind: Kind, running: Option<u64>) -> Option<(u64, Arc<str>)> {
    let mut later = waves.versions(kind).filter(|(version, _)| running.is_none_or(|r| *version > r));
    later.next().map(|(version, text)| (version, text.clone()))
}
