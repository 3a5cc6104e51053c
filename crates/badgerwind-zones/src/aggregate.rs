//! Aggregation of the front ends' reports of a zone by Wald's sequential probability ratio test (1945) over
//! the executors that they observed. Each front end's contribution is bounded, and the most extreme
//! contributions on either side are trimmed: a front end that observes many executors counts for more, but
//! one with false reports counts for no more than any other.

use crate::message::{ZoneDigest, ZoneReport};
use crate::stages::Stage;
use crate::{Member, Micros, Mutant, Settings, Time};
use std::collections::BTreeMap;

/// The assumed share of lost executors in a zone that is degraded but not lost.
const DEGRADED_LOSS_SHARE: f64 = 0.34;
/// The assumed share of lost executors in a lost zone. It is below 1 because some earlier answers still
/// count.
const LOST_LOSS_SHARE: f64 = 0.95;
/// Digests give evidence in units of 1/64 nat.
const UNITS_PER_NAT: f64 = 64.0;
/// Upper bound of the number of front ends whose full contributions are needed for a decision. In small
/// fleets it is all but the one that is trimmed.
const MAX_FULL_CONTRIBUTIONS: usize = 4;
/// Number of reports from which on the most extreme contribution on either side is trimmed.
const MIN_REPORTS_TO_TRIM: usize = 4;
/// Number of reports from which on a fleet is large, so that digests are cached.
const LARGE_FLEET: usize = 64;
/// One more contribution is trimmed on either side per this many reports, so that one front end in this many
/// may send false reports.
const REPORTS_PER_FALSE_REPORTER: usize = 12;

/// The evidence, in nats, that these observations give for the hypothesis that the zone is lost over the one
/// that it is degraded.
pub(crate) fn weight(bad: u16, good: u16) -> f64 {
    f64::from(bad) * (LOST_LOSS_SHARE / DEGRADED_LOSS_SHARE).ln()
        + f64::from(good) * ((1.0 - LOST_LOSS_SHARE) / (1.0 - DEGRADED_LOSS_SHARE)).ln()
}

/// The evidence, in nats, that counts as proof.
pub(crate) fn proven(settings: &Settings) -> f64 {
    (1.0 / settings.false_alarm_probability.clamp(1e-12, 0.5)).ln()
}

/// A front end's contribution for a zone with this number of executors. Where there are too few executors for
/// the test, losing all of them counts as proof.
fn contribution(bad: u16, good: u16, listed: usize, settings: &Settings) -> f64 {
    let max_weight = weight(listed.clamp(1, usize::from(u16::MAX)) as u16, 0);
    weight(bad, good) * (proven(settings) / max_weight).max(1.0)
}

/// Aggregated evidence of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aggregate {
    /// Evidence that the zone is lost, in nats.
    pub lost: f64,
    /// Evidence that the zone is late, in nats.
    pub late: f64,
    /// Front ends that observed more answers than losses.
    pub reached_by: usize,
    /// Front ends that reported.
    pub members: usize,
}

/// The latest report of a front end.
#[derive(Clone, Debug)]
struct StoredReport {
    received_at: Time,
    serial: u32,
    zones: Vec<ZoneReport>,
}

/// A digest that answers reports until it is too old.
#[derive(Clone, Debug)]
struct CachedDigest {
    computed_at: Time,
    /// Front ends that reported.
    members: u16,
    zones: Vec<ZoneDigest>,
}

/// A stage that front ends report of a zone.
#[derive(Clone, Copy, Default)]
struct ReportedStage {
    generation: u16,
    stage: Stage,
    failed_returns: u8,
}

/// A voter's table of the latest report of each front end.
#[derive(Clone, Debug)]
pub struct Aggregator {
    zones: usize,
    reports: BTreeMap<Member, StoredReport>,
    /// The last digest.
    digest: Option<CachedDigest>,
    /// When outdated reports were last removed.
    pruned_at: Time,
    mutant: Option<Mutant>,
}

impl Aggregator {
    /// An empty table.
    pub fn new(zones: usize) -> Aggregator {
        Aggregator { zones, reports: BTreeMap::new(), digest: None, pruned_at: 0, mutant: None }
    }

    /// Injects a defect, for tests that show that it is detected.
    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Aggregator {
        self.mutant = mutant;
        self
    }

    /// Stores a report; returns false for an outdated one, or one with another number of zones.
    pub fn receive(
        &mut self,
        now: Time,
        from: Member,
        serial: u32,
        zones: &[ZoneReport],
        settings: &Settings,
    ) -> bool {
        self.prune(now, settings);
        let outdated = self
            .reports
            .get(&from)
            .is_some_and(|r| r.received_at + settings.evidence_window > now && r.serial >= serial);
        if outdated || zones.len() != self.zones {
            return false;
        }
        self.reports.insert(from, StoredReport { received_at: now, serial, zones: zones.to_vec() });
        true
    }

    /// Removes outdated reports; in large fleets at most once per heartbeat.
    fn prune(&mut self, now: Time, settings: &Settings) {
        if now >= self.pruned_at + self.digest_lifetime(settings) {
            self.reports.retain(|_, r| r.received_at + settings.evidence_window > now);
            self.pruned_at = now;
        }
    }

    /// How long a digest is reused. In small fleets it is not, so that each report's answer reflects it. In
    /// large fleets it is reused for one heartbeat: one report changes little there, and computing a digest
    /// from all of them is expensive.
    fn digest_lifetime(&self, settings: &Settings) -> Micros {
        if self.reports.len() < LARGE_FLEET {
            0
        } else {
            settings.heartbeat_interval
        }
    }

    /// The number of contributions to trim on either side.
    fn trim(&self, n: usize) -> usize {
        match n {
            _ if self.mutant == Some(Mutant::NoTrim) => 0,
            0..MIN_REPORTS_TO_TRIM => 0,
            n => 1 + n / REPORTS_PER_FALSE_REPORTER,
        }
    }

    /// The bounded and trimmed sum of contributions of one kind; `members` is the number of front ends that
    /// reported. Those that observed nothing contribute nothing, but as they exist, a single contribution is
    /// not enough for a decision.
    fn sum(&self, settings: &Settings, members: usize, mut contributions: Vec<f64>) -> f64 {
        let trim = self.trim(contributions.len());
        let full_contributions = match members {
            0 | 1 => 1,
            2 | 3 => 2,
            n => n.saturating_sub(2 * self.trim(n)).clamp(2, MAX_FULL_CONTRIBUTIONS),
        };
        let bound = proven(settings) / full_contributions as f64;
        if self.mutant != Some(Mutant::UnboundedContribution) {
            contributions.iter_mut().for_each(|c| *c = c.clamp(-bound, bound));
        }
        contributions.sort_by(f64::total_cmp);
        contributions[trim..contributions.len() - trim].iter().sum()
    }

    /// The aggregated evidence of a zone with this number of executors.
    pub fn aggregate(&self, now: Time, zone: usize, listed: usize, settings: &Settings) -> Aggregate {
        let fresh = self.reports.values().filter(|r| r.received_at + settings.evidence_window > now);
        let fresh: Vec<&ZoneReport> = fresh.filter_map(|r| r.zones.get(zone)).collect();
        // A front end that observed nothing is left out, so that trimming does not remove it in place of an
        // extreme contribution.
        let lost: Vec<f64> = fresh
            .iter()
            .filter(|r| r.lost + r.answered + r.late > 0)
            .map(|r| contribution(r.lost, r.answered.saturating_add(r.late), listed, settings))
            .collect();
        let late: Vec<f64> = fresh
            .iter()
            .filter(|r| r.answered + r.late > 0)
            .map(|r| contribution(r.late, r.answered, listed, settings))
            .collect();
        Aggregate {
            lost: self.sum(settings, fresh.len(), lost),
            late: self.sum(settings, fresh.len(), late),
            reached_by: fresh.iter().filter(|r| r.answered + r.late > r.lost).count(),
            members: fresh.len(),
        }
    }

    /// The newest stage that more than one front end reports, so that a single front end cannot move the
    /// others.
    fn newest(&self, now: Time, zone: usize, settings: &Settings) -> ReportedStage {
        let mut newest_first: Vec<ReportedStage> = self
            .reports
            .values()
            .filter(|r| r.received_at + settings.evidence_window > now)
            .filter_map(|r| r.zones.get(zone))
            .map(|z| ReportedStage {
                generation: z.generation,
                stage: z.stage,
                failed_returns: z.failed_returns,
            })
            .collect();
        newest_first.sort_by_key(|s| std::cmp::Reverse((s.generation, s.stage.severity())));
        // The first ones are skipped, since they may be false. A front end that is alone follows itself.
        let trusts_first = self.mutant == Some(Mutant::LoneStage);
        let skipped = if trusts_first { 0 } else { self.trim(newest_first.len()).max(1) };
        if newest_first.len() == 1 {
            newest_first[0]
        } else {
            newest_first.get(skipped).copied().unwrap_or_default()
        }
    }

    /// The digest that answers a report: the cached one as long as it may be reused.
    pub fn digest(&mut self, now: Time, listed: &[usize], settings: &Settings) -> (u16, Vec<ZoneDigest>) {
        let lifetime = self.digest_lifetime(settings);
        if let Some(cached) = self.digest.as_ref().filter(|d| now < d.computed_at + lifetime) {
            return (cached.members, cached.zones.clone());
        }
        let (members, zones) = self.compute_digest(now, listed, settings);
        self.digest = Some(CachedDigest { computed_at: now, members, zones: zones.clone() });
        (members, zones)
    }

    fn compute_digest(&self, now: Time, listed: &[usize], settings: &Settings) -> (u16, Vec<ZoneDigest>) {
        let mut members = 0;
        let zone_digest = |zone: usize| {
            let aggregate = self.aggregate(now, zone, listed.get(zone).copied().unwrap_or(1), settings);
            members = members.max(aggregate.members);
            let ReportedStage { generation, stage, failed_returns } = self.newest(now, zone, settings);
            let units =
                |nats: f64| (nats * UNITS_PER_NAT).clamp(f64::from(i16::MIN), f64::from(i16::MAX)) as i16;
            let reached_by = aggregate.reached_by.min(usize::from(u16::MAX)) as u16;
            let (lost, late) = (units(aggregate.lost), units(aggregate.late));
            ZoneDigest { lost, late, reached_by, generation, stage, failed_returns }
        };
        let zones = (0..self.zones).map(zone_digest).collect();
        (members.min(usize::from(u16::MAX)) as u16, zones)
    }
}

/// Converts a digest's evidence to nats.
pub(crate) fn nats(units: i16) -> f64 {
    f64::from(units) / UNITS_PER_NAT
}
