//! Aggregation of front ends' reports of a zone: Wald's sequential test (1945) by executors seen, each front end's contribution
//! bounded, the loudest left out on either side: one that sees much counts for more, and one that lies for no more than another.

use crate::message::{ZoneDigest, ZoneReport};
use crate::stages::Stage;
use crate::{Member, Mutant, Span, Terms, Time};
use std::collections::BTreeMap;

/// Share of executors that are lost in a zone that is only unwell.
const UNWELL: f64 = 0.34;
/// In one that is lost: some answers of before are still counted.
const GONE: f64 = 0.95;
/// A digest's figures are in this part of a nat.
const PART: f64 = 64.0;
/// Front ends whose full contributions decide; in small fleets all but the one that is trimmed.
const ENOUGH: usize = 4;
/// From so many on the loudest is left out on either side, and one more for each so many further.
const TRIM: usize = 4;
/// Reports from which on a fleet is large.
const LARGE: usize = 64;
/// One in so many may lie.
const LIARS: usize = 12;

/// How much evidence one sketch gives that executors of a zone are gone rather than unwell, in nats.
pub(crate) fn weight(bad: u16, good: u16) -> f64 {
    f64::from(bad) * (GONE / UNWELL).ln() + f64::from(good) * ((1.0 - GONE) / (1.0 - UNWELL)).ln()
}

/// Evidence from which on it counts as proven.
pub(crate) fn proven(terms: &Terms) -> f64 {
    (1.0 / terms.false_alarm.clamp(1e-12, 0.5)).ln()
}

/// A front end's contribution for a zone with so many executors: all of them lost is proof where there are too few for the test.
fn contribution(bad: u16, good: u16, listed: usize, terms: &Terms) -> f64 {
    let most = weight(listed.clamp(1, usize::from(u16::MAX)) as u16, 0);
    weight(bad, good) * (proven(terms) / most).max(1.0)
}

/// Aggregated evidence of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aggregate {
    /// Evidence that it is lost, in nats.
    pub lost: f64,
    /// That it is late.
    pub late: f64,
    /// Front ends that hear it.
    pub hearing: usize,
    /// Front ends that reported.
    pub members: usize,
}

/// A voter's table of the latest report of each front end.
#[derive(Clone, Debug)]
pub struct Aggregator {
    zones: usize,
    reports: BTreeMap<Member, (Time, u32, Vec<ZoneReport>)>,
    /// The last digest, and when it was made.
    digest: Option<(Time, u16, Vec<ZoneDigest>)>,
    /// When outdated reports were last let go.
    pruned_at: Time,
    mutant: Option<Mutant>,
}

impl Aggregator {
    /// An empty table.
    pub fn new(zones: usize) -> Aggregator {
        Aggregator { zones, reports: BTreeMap::new(), digest: None, pruned_at: 0, mutant: None }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, mutant: Option<Mutant>) -> Aggregator {
        self.mutant = mutant;
        self
    }

    /// Takes in a report. An older one, or one with another number of zones, changes nothing.
    pub fn receive(
        &mut self,
        now: Time,
        from: Member,
        serial: u32,
        zones: &[ZoneReport],
        terms: &Terms,
    ) -> bool {
        self.prune(now, terms);
        let old = self.reports.get(&from).is_some_and(|t| t.0 + terms.span > now && t.1 >= serial);
        if old || zones.len() != self.zones {
            return false;
        }
        self.reports.insert(from, (now, serial, zones.to_vec()));
        true
    }

    /// Lets go of outdated reports, in large fleets not more often than once a beat.
    fn prune(&mut self, now: Time, terms: &Terms) {
        if now >= self.pruned_at + self.pause(terms) {
            self.reports.retain(|_, t| t.0 + terms.span > now);
            self.pruned_at = now;
        }
    }

    /// How long a digest serves: not at all in small fleets, where each report is answered by what it changed; a beat in large
    /// ones, where one report changes little and each look at all of them is long.
    fn pause(&self, terms: &Terms) -> Span {
        if self.reports.len() < LARGE {
            0
        } else {
            terms.beat
        }
    }

    /// Contributions trimmed on either side.
    fn trim(&self, n: usize) -> usize {
        match n {
            _ if self.mutant == Some(Mutant::NoTrim) => 0,
            0..TRIM => 0,
            n => 1 + n / LIARS,
        }
    }

    /// Sum of contributions of one kind, of so many front ends that reported at all. Front ends that saw nothing contribute
    /// nothing; that they exist still means that one contribution alone is not enough.
    fn sum(&self, terms: &Terms, members: usize, mut contributions: Vec<f64>) -> f64 {
        let trim = self.trim(contributions.len());
        let full = match members {
            0 | 1 => 1,
            2 | 3 => 2,
            n => n.saturating_sub(2 * self.trim(n)).clamp(2, ENOUGH),
        };
        let bound = proven(terms) / full as f64;
        if self.mutant != Some(Mutant::UnboundedContribution) {
            contributions.iter_mut().for_each(|c| *c = c.clamp(-bound, bound));
        }
        contributions.sort_by(f64::total_cmp);
        contributions[trim..contributions.len() - trim].iter().sum()
    }

    /// What is known of a zone with so many executors.
    pub fn aggregate(&self, now: Time, zone: usize, listed: usize, terms: &Terms) -> Aggregate {
        let fresh = self.reports.values().filter(|t| t.0 + terms.span > now).filter_map(|t| t.2.get(zone));
        let fresh: Vec<&ZoneReport> = fresh.collect();
        // A front end that saw nothing contributes nothing; it must not be the one that is trimmed.
        let contributions: Vec<f64> = fresh
            .iter()
            .filter(|t| t.lost + t.heard + t.late > 0)
            .map(|t| contribution(t.lost, t.heard.saturating_add(t.late), listed, terms))
            .collect();
        let late: Vec<f64> = fresh
            .iter()
            .filter(|t| t.heard + t.late > 0)
            .map(|t| contribution(t.late, t.heard, listed, terms))
            .collect();
        Aggregate {
            lost: self.sum(terms, fresh.len(), contributions),
            late: self.sum(terms, fresh.len(), late),
            hearing: fresh.iter().filter(|t| t.heard + t.late > t.lost).count(),
            members: fresh.len(),
        }
    }

    /// The newest stage that more than one front end has, so that one alone moves nobody.
    fn newest(&self, now: Time, zone: usize, terms: &Terms) -> (u16, Stage, u8) {
        let mut all: Vec<(u16, Stage, u8)> = self
            .reports
            .values()
            .filter(|t| t.0 + terms.span > now)
            .filter_map(|t| t.2.get(zone))
            .map(|z| (z.generation, z.stage, z.failed))
            .collect();
        all.sort_by_key(|a| std::cmp::Reverse((a.0, a.1.severity())));
        let alone = self.mutant == Some(Mutant::LoneStage);
        let at = if alone { 0 } else { self.trim(all.len()).max(1) };
        if all.len() == 1 {
            all[0]
        } else {
            all.get(at).copied().unwrap_or_default()
        }
    }

    /// The digest that answers a report: that of before while it serves.
    pub fn digest(&mut self, now: Time, listed: &[usize], terms: &Terms) -> (u16, Vec<ZoneDigest>) {
        let pause = self.pause(terms);
        if let Some((_, members, zones)) = self.digest.as_ref().filter(|d| now < d.0 + pause) {
            return (*members, zones.clone());
        }
        let (members, zones) = self.digest_now(now, listed, terms);
        self.digest = Some((now, members, zones.clone()));
        (members, zones)
    }

    fn digest_now(&self, now: Time, listed: &[usize], terms: &Terms) -> (u16, Vec<ZoneDigest>) {
        let mut members = 0;
        let one = |zone: usize| {
            let j = self.aggregate(now, zone, listed.get(zone).copied().unwrap_or(1), terms);
            members = members.max(j.members);
            let (generation, stage, failed) = self.newest(now, zone, terms);
            let part = |x: f64| (x * PART).clamp(f64::from(i16::MIN), f64::from(i16::MAX)) as i16;
            let hearing = j.hearing.min(usize::from(u16::MAX)) as u16;
            ZoneDigest { lost: part(j.lost), late: part(j.late), hearing, generation, stage, failed }
        };
        let zones = (0..self.zones).map(one).collect();
        (members.min(usize::from(u16::MAX)) as u16, zones)
    }
}

/// A digest's figure in nats.
pub(crate) fn nats(figure: i16) -> f64 {
    f64::from(figure) / PART
}
