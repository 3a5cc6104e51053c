//! What one front end observed of each zone on its own sockets. It is counted by executor, so that a bad
//! executor with many calls counts as one bad executor. Memory is bounded by the number of listed executors.

use crate::{Executor, Micros, Mutant, Time};
use std::collections::BTreeMap;

/// The result of an attempt, a connection or a probe at an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered in time, whatever the answer was: it is reachable and works.
    Answered,
    /// It answered later than expected.
    Late,
    /// It did not answer: the connection failed, broke, or stayed silent.
    Lost,
}

/// A loss counts for this many evidence windows, unless an answer follows it.
const LOSS_WINDOWS: Micros = 8;

/// The last observations of an executor.
#[derive(Clone, Debug, Default)]
struct ExecutorRecord {
    /// When it last answered in time.
    answered: Option<Time>,
    /// When it last answered late.
    late: Option<Time>,
    /// When a request to it was last lost.
    lost: Option<Time>,
    /// When that lost request was sent.
    lost_sent: Time,
    /// Losses since the last answer; used by a mutant of the tests only.
    losses: u32,
}

/// Number of a zone's executors by their last observation within the evidence window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedCounts {
    /// Executors that answered in time.
    pub answered: u16,
    /// Executors that answered late, and not in time since then.
    pub late: u16,
    /// Executors that were lost, and have not answered since then.
    pub lost: u16,
}

impl ObservedCounts {
    /// Executors with any observation.
    pub fn total(&self) -> u16 {
        self.answered + self.late + self.lost
    }
}

impl ExecutorRecord {
    /// The time of the last observation.
    fn last(&self) -> Option<Time> {
        self.answered.max(self.late).max(self.lost)
    }
}

/// The executors of a zone and their observations.
#[derive(Clone, Debug, Default)]
struct ZoneEvidence {
    /// The listed executors, in ascending order.
    executors: Vec<Executor>,
    /// The sum of their sizes.
    size: f64,
    /// Recent observations.
    records: BTreeMap<Executor, ExecutorRecord>,
    /// When any of them last answered.
    answered: Time,
}

/// What service discovery says about an executor.
#[derive(Clone, Copy, Debug)]
struct ListedExecutor {
    zone: usize,
    size: f64,
}

/// A front end's own evidence.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    listed: BTreeMap<Executor, ListedExecutor>,
    /// By zone, so that a query costs as much as the recent observations of that zone, and not as all listed
    /// executors.
    zones: BTreeMap<usize, ZoneEvidence>,
    mutant: Option<Mutant>,
}

impl Evidence {
    /// No executors and no observations.
    pub fn new() -> Evidence {
        Evidence::default()
    }

    /// Injects a defect, for tests that show that it is detected.
    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Evidence {
        self.mutant = mutant;
        self
    }

    /// Sets the executors that exist now, with zone and size. Observations of other executors are removed,
    /// and of those that moved to another zone.
    pub fn set_executors(&mut self, all: impl IntoIterator<Item = (Executor, usize, f64)>) {
        let listed = all.into_iter().map(|(executor, zone, size)| (executor, ListedExecutor { zone, size }));
        self.listed = listed.collect();
        let mut old = std::mem::take(&mut self.zones);
        for (executor, ListedExecutor { zone, size }) in &self.listed {
            let evidence = self.zones.entry(*zone).or_default();
            evidence.executors.push(*executor);
            evidence.size += size;
        }
        for (zone, evidence) in &mut self.zones {
            let Some(before) = old.remove(zone) else { continue };
            let listed = &self.listed;
            evidence.records = before.records;
            evidence.records.retain(|e, _| listed.get(e).is_some_and(|l| l.zone == *zone));
            evidence.answered = before.answered;
        }
    }

    /// Removes the observations that [`Evidence::observed_counts`] does not count any more.
    pub fn prune(&mut self, now: Time, window: Micros) {
        let from = now.saturating_sub(window * LOSS_WINDOWS);
        for zone in self.zones.values_mut() {
            zone.records.retain(|_, record| record.last() >= Some(from));
        }
    }

    /// The number of executors with observations.
    pub fn tracked(&self) -> usize {
        self.zones.values().map(|zone| zone.records.len()).sum()
    }

    /// The executors of a zone, in ascending order.
    pub fn executors(&self, zone: usize) -> &[Executor] {
        self.zones.get(&zone).map_or(&[], |zone| &zone.executors)
    }

    /// Records the result of a request that was sent to an executor at `sent`.
    pub fn record(&mut self, now: Time, executor: Executor, observation: Observation, sent: Time) {
        let zone = self.listed.get(&executor).and_then(|listed| self.zones.get_mut(&listed.zone));
        let Some(zone) = zone else { return };
        if observation != Observation::Lost {
            zone.answered = zone.answered.max(now);
        }
        let record = zone.records.entry(executor).or_default();
        match observation {
            Observation::Answered => (record.answered, record.losses) = (Some(now), 0),
            Observation::Late => (record.late, record.losses) = (Some(now), 0),
            Observation::Lost => {
                (record.lost, record.losses) = (Some(now), record.losses + 1);
                record.lost_sent = sent;
            }
        }
    }

    /// Records that the caller gave up an attempt, sent at `sent`, without an answer. If the executor has
    /// answered anything since then, it works but is late; otherwise it is lost.
    pub fn record_unanswered(&mut self, now: Time, executor: Executor, sent: Time) {
        let zone = self.listed.get(&executor).and_then(|listed| self.zones.get(&listed.zone));
        let record = zone.and_then(|zone| zone.records.get(&executor));
        let answered = record.is_some_and(|r| r.answered.max(r.late) >= Some(sent));
        self.record(now, executor, if answered { Observation::Late } else { Observation::Lost }, sent);
    }

    /// The observations of a zone: the executors that answered within the window that ends now or, if any
    /// request sent after the zone's last answer was lost, the executors lost since then. So a zone that
    /// still answers does not look lost when a third of its executors are bad, and answers from before a
    /// zone's loss do not delay its detection. Losses of requests sent before `not_before` are ignored.
    pub fn observed_counts(
        &self,
        now: Time,
        zone: usize,
        window: Micros,
        not_before: Time,
    ) -> ObservedCounts {
        let Some(zone) = self.zones.get(&zone) else { return ObservedCounts::default() };
        let answered = zone.answered;
        // A loss counts for longer than an answer: a front end that has lost an executor sends it hardly any
        // requests, so the absence of further losses does not mean that it is well.
        let from = now.saturating_sub(window * LOSS_WINDOWS);
        let is_lost = |r: &&ExecutorRecord| {
            r.lost.is_some_and(|t| t >= from) && r.lost_sent >= not_before && r.lost_sent >= answered
        };
        let weight = |r: &ExecutorRecord| {
            if self.mutant == Some(Mutant::CountsCalls) {
                r.losses.clamp(1, 1000) as u16
            } else {
                1
            }
        };
        let lost: u16 = zone.records.values().filter(is_lost).map(weight).sum();
        if lost > 0 {
            return ObservedCounts { answered: 0, late: 0, lost };
        }
        let from = now.saturating_sub(window).max(not_before);
        let mut out = ObservedCounts::default();
        for r in zone.records.values() {
            let (answered, late) = (r.answered.filter(|t| *t >= from), r.late.filter(|t| *t >= from));
            if late.is_some() && late > answered {
                out.late += 1;
            } else if answered.is_some() {
                out.answered += 1;
            }
        }
        out
    }

    /// The number of listed executors in each of the first `zones` zones.
    pub fn listed_counts(&self, zones: usize) -> Vec<usize> {
        (0..zones).map(|zone| self.executors(zone).len()).collect()
    }

    /// The size of each of the first `zones` zones.
    pub fn sizes(&self, zones: usize) -> Vec<f64> {
        (0..zones).map(|zone| self.zones.get(&zone).map_or(0.0, |zone| zone.size)).collect()
    }
}
