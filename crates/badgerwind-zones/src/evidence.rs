//! What one front end saw of each zone on its own sockets: by executor, so that one bad executor with many calls is one bad
//! executor. Bounded by the executors that are listed.

use crate::{Executor, Mutant, Span, Time};
use std::collections::BTreeMap;

/// What an attempt, a connection or a probe showed of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered, whatever the answer was: it can be reached and works.
    Heard,
    /// It answered later than was wanted.
    Late,
    /// No answer came: no connection, a broken one, silence.
    Lost,
}

/// So many spans a loss counts, unless something was heard since.
const LOST_SPANS: Span = 8;

/// An executor as it was seen of late.
#[derive(Clone, Debug, Default)]
struct ExecutorRecord {
    heard: Option<Time>,
    late: Option<Time>,
    lost: Option<Time>,
    /// When what was lost last had gone out.
    lost_sent: Time,
    /// How often lost since it was heard; for a defect of the tests.
    losses: u32,
}

/// Executors of a zone, by what was last seen of them within the span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sketch {
    /// They answered in time.
    pub heard: u16,
    /// They answered late, and since then not in time.
    pub late: u16,
    /// They were lost, and since then not heard.
    pub lost: u16,
}

impl Sketch {
    /// Executors of which anything was seen.
    pub fn seen(&self) -> u16 {
        self.heard + self.late + self.lost
    }
}

impl ExecutorRecord {
    /// When anything was last seen of it.
    fn last(&self) -> Option<Time> {
        self.heard.max(self.late).max(self.lost)
    }
}

/// A zone as listed, and what was seen of it.
#[derive(Clone, Debug, Default)]
struct ZoneEvidence {
    /// Its executors, in order of their numbers.
    executors: Vec<Executor>,
    /// Their sizes summed up.
    size: f64,
    /// What was seen of them of late.
    seen: BTreeMap<Executor, ExecutorRecord>,
    /// When any of them last answered.
    answered: Time,
}

/// A front end's own evidence.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Zone and size by executor, as listed.
    listed: BTreeMap<Executor, (usize, f64)>,
    /// By zone, so that a look at one costs what was seen there of late, and not what is listed.
    zones: BTreeMap<usize, ZoneEvidence>,
    mutant: Option<Mutant>,
}

impl Evidence {
    /// Nothing seen yet.
    pub fn new() -> Evidence {
        Evidence::default()
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, mutant: Option<Mutant>) -> Evidence {
        self.mutant = mutant;
        self
    }

    /// The executors that are there now, with zone and size. What was seen of others is forgotten, as of those that moved.
    pub fn listed(&mut self, all: impl IntoIterator<Item = (Executor, usize, f64)>) {
        let next: BTreeMap<Executor, (usize, f64)> = all.into_iter().map(|(e, z, s)| (e, (z, s))).collect();
        self.listed = next;
        let mut old = std::mem::take(&mut self.zones);
        for (executor, (zone, size)) in &self.listed {
            let evidence = self.zones.entry(*zone).or_default();
            evidence.executors.push(*executor);
            evidence.size += size;
        }
        for (zone, evidence) in &mut self.zones {
            let Some(before) = old.remove(zone) else { continue };
            let listed = &self.listed;
            evidence.seen = before.seen;
            evidence.seen.retain(|e, _| listed.get(e).is_some_and(|l| l.0 == *zone));
            evidence.answered = before.answered;
        }
    }

    /// Lets go of what no sketch over this span counts any more.
    pub fn forget(&mut self, now: Time, span: Span) {
        let from = now.saturating_sub(span * LOST_SPANS);
        for zone in self.zones.values_mut() {
            zone.seen.retain(|_, record| record.last() >= Some(from));
        }
    }

    /// Executors of which something is remembered.
    pub fn remembered(&self) -> usize {
        self.zones.values().map(|zone| zone.seen.len()).sum()
    }

    /// The executors of a zone, in order of their numbers.
    pub fn executors(&self, zone: usize) -> &[Executor] {
        self.zones.get(&zone).map_or(&[], |zone| &zone.executors)
    }

    /// What went out to an executor then has ended.
    pub fn record(&mut self, now: Time, executor: Executor, observation: Observation, sent: Time) {
        let zone = self.listed.get(&executor).and_then(|(zone, _)| self.zones.get_mut(zone));
        let Some(zone) = zone else { return };
        if observation != Observation::Lost {
            zone.answered = zone.answered.max(now);
        }
        let seen = zone.seen.entry(executor).or_default();
        match observation {
            Observation::Heard => (seen.heard, seen.losses) = (Some(now), 0),
            Observation::Late => (seen.late, seen.losses) = (Some(now), 0),
            Observation::Lost => {
                (seen.lost, seen.losses) = (Some(now), seen.losses + 1);
                seen.lost_sent = sent;
            }
        }
    }

    /// An attempt that went out then was given up unanswered. Where the executor has answered something since, it works, and is
    /// late; else it is silent.
    pub fn unanswered(&mut self, now: Time, executor: Executor, sent: Time) {
        let zone = self.listed.get(&executor).and_then(|(zone, _)| self.zones.get(zone));
        let seen = zone.and_then(|zone| zone.seen.get(&executor));
        let answered = seen.is_some_and(|s| s.heard.max(s.late) >= Some(sent));
        self.record(now, executor, if answered { Observation::Late } else { Observation::Lost }, sent);
    }

    /// What was seen of a zone: executors that answered within the span that ends now; or, where something went out after the
    /// last answer of any of them and was lost, executors lost since. So a third that is bad is forgiven by each answer of the
    /// others, and what was heard before a zone died does not hold up the news of it. What went out before a time counts
    /// no more as lost.
    pub fn sketch(&self, now: Time, zone: usize, span: Span, not_before: Time) -> Sketch {
        let Some(zone) = self.zones.get(&zone) else { return Sketch::default() };
        let answered = zone.answered;
        // A loss counts for longer than an answer: whoever lost an executor hardly asks it any more, and that is no good news.
        let from = now.saturating_sub(span * LOST_SPANS);
        let lost = |s: &&ExecutorRecord| {
            s.lost.is_some_and(|t| t >= from) && s.lost_sent >= not_before && s.lost_sent >= answered
        };
        let times = |s: &ExecutorRecord| {
            if self.mutant == Some(Mutant::CountsCalls) {
                s.losses.clamp(1, 1000) as u16
            } else {
                1
            }
        };
        let lost: u16 = zone.seen.values().filter(lost).map(times).sum();
        if lost > 0 {
            return Sketch { heard: 0, late: 0, lost };
        }
        let from = now.saturating_sub(span).max(not_before);
        let mut out = Sketch::default();
        for s in zone.seen.values() {
            let (heard, late) = (s.heard.filter(|t| *t >= from), s.late.filter(|t| *t >= from));
            if late.is_some() && late > heard {
                out.late += 1;
            } else if heard.is_some() {
                out.heard += 1;
            }
        }
        out
    }

    /// How many executors each of so many zones has.
    pub fn counts(&self, zones: usize) -> Vec<usize> {
        (0..zones).map(|zone| self.executors(zone).len()).collect()
    }

    /// The size of each of so many zones.
    pub fn sizes(&self, zones: usize) -> Vec<f64> {
        (0..zones).map(|zone| self.zones.get(&zone).map_or(0.0, |zone| zone.size)).collect()
    }
}
