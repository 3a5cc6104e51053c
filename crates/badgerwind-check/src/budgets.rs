//! Checks the records of a fleet's members on a shared budget: no unit has two owners at a time, and none is
//! spent twice within its window. The module does not depend on the gateway.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A line of a member's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Time in microseconds of one clock of the machine.
    pub at: u64,
    /// The member that wrote the line.
    pub member: u16,
    /// The member's incarnation: a new one at each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event at a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// From this time the member owns exactly these units, as half-open ranges.
    Owns {
        /// Units owned as long as the process runs.
        floor: Vec<(u16, u16)>,
        /// Units owned until `until`, unless a later line replaces them.
        granted: Vec<(u16, u16)>,
        /// End of the grant, in microseconds of the same clock.
        until: u64,
    },
    /// The member spent a unit.
    Spent {
        /// The unit.
        unit: u16,
    },
}

/// Result of [`judge`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetReport {
    /// Largest number of units owned at an instant, as a share of the budget.
    pub owned: f64,
    /// Largest number of units spent within a window, as a share of the budget.
    pub spent: f64,
    /// Number of units spent in total.
    pub spends: usize,
    /// Units owned at each tenth of a second, from the first line on.
    pub over_time: Vec<usize>,
    /// Descriptions of the violations.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// A time span in which an incarnation of a member owned a unit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Span {
    from: u64,
    to: u64,
    member: u16,
    incarnation: u64,
}

fn units(ranges: &[(u16, u16)]) -> impl Iterator<Item = u16> + '_ {
    ranges.iter().flat_map(|(a, b)| *a..*b)
}

/// The spans of ownership by unit.
fn spans_of(lines: &[Line]) -> BTreeMap<u16, Vec<Span>> {
    let mut by_incarnation: BTreeMap<(u16, u64), Vec<&Line>> = BTreeMap::new();
    lines.iter().for_each(|l| by_incarnation.entry((l.member, l.incarnation)).or_default().push(l));
    let mut spans: BTreeMap<u16, Vec<Span>> = BTreeMap::new();
    for ((member, incarnation), own) in &mut by_incarnation {
        own.sort_by_key(|l| l.at);
        let end = own.last().map_or(0, |l| l.at + 1);
        let owns: Vec<_> = own
            .iter()
            .filter_map(|l| match &l.event {
                Event::Owns { floor, granted, until } => Some((l.at, floor, granted, *until)),
                Event::Spent { .. } => None,
            })
            .collect();
        for (n, (at, floor, granted, until)) in owns.iter().enumerate() {
            let next = owns.get(n + 1).map(|o| o.0);
            let mut add = |unit: u16, to: u64| {
                let all = spans.entry(unit).or_default();
                match all
                    .last_mut()
                    .filter(|s| (s.member, s.incarnation, s.to) == (*member, *incarnation, *at))
                {
                    Some(last) => last.to = last.to.max(to),
                    None => all.push(Span { from: *at, to, member: *member, incarnation: *incarnation }),
                }
            };
            // Floor units belong to the process until its last line; granted ones also outlast its end.
            units(floor).for_each(|u| add(u, next.unwrap_or(end)));
            units(granted)
                .filter(|_| until > at)
                .for_each(|u| add(u, next.map_or(*until, |n| n.min(*until))));
        }
    }
    spans
}

/// Number of units that each member owned, sampled every `step` microseconds from the first line on.
pub fn owned_over_time(lines: &[Line], step: u64) -> BTreeMap<u16, Vec<usize>> {
    let first = lines.iter().map(|l| l.at).min().unwrap_or(0);
    let last = lines.iter().map(|l| l.at).max().unwrap_or(0);
    let samples = (last.saturating_sub(first) / step.max(1)) as usize + 1;
    let mut out: BTreeMap<u16, Vec<usize>> = BTreeMap::new();
    for span in spans_of(lines).into_values().flatten() {
        let owned = out.entry(span.member).or_insert_with(|| vec![0; samples]);
        // A sample lies in a span that starts at or before it and ends after it.
        let index = |at: u64| (at - first).div_ceil(step.max(1)) as usize;
        let (from, to) = (index(span.from).min(samples), index(span.to).min(samples));
        owned[from..to.max(from)].iter_mut().for_each(|n| *n += 1);
    }
    out
}

/// Checks records, whose lines may be in any order, against a budget of `total` units. A spent unit may not
/// be spent again for `window` microseconds; the clocks of two lines may differ by `tolerance` microseconds.
pub fn judge(lines: &[Line], total: u16, window: u64, tolerance: u64) -> BudgetReport {
    let mut spans = spans_of(lines);
    let mut violations = Vec::new();
    let mut edges: Vec<(u64, i64)> = Vec::new();
    for (unit, all) in &mut spans {
        all.sort();
        // Compares each span with all that have not ended, since a short span may lie within a long one.
        let mut open: Vec<Span> = Vec::new();
        for b in all.iter() {
            open.retain(|a| a.to > b.from);
            for a in open.iter().filter(|a| a.member != b.member) {
                let overlap = a.to.min(b.to) - b.from;
                violations.push(format!(
                    "unit {unit} had two owners, {} and {}, for {overlap} us",
                    a.member, b.member
                ));
            }
            open.push(*b);
        }
        edges.extend(all.iter().flat_map(|s| [(s.from, 1), (s.to, -1)]));
        if *unit >= total {
            violations.push(format!("unit {unit} is beyond the budget of {total}"));
        }
    }
    edges.sort();
    let (mut now, mut most) = (0i64, 0i64);
    let first = lines.iter().map(|l| l.at).min().unwrap_or(0);
    let (mut over_time, mut tick) = (Vec::new(), first);
    for (at, change) in edges {
        while tick < at {
            over_time.push(now.max(0) as usize);
            tick += 100_000;
        }
        now += change;
        most = most.max(now);
    }
    let mut spends: Vec<(u64, u16, u16)> = lines
        .iter()
        .filter_map(|l| match l.event {
            Event::Spent { unit } => Some((l.at, unit, l.member)),
            Event::Owns { .. } => None,
        })
        .collect();
    spends.sort();
    let mut last: BTreeMap<u16, (u64, u16)> = BTreeMap::new();
    let (mut from, mut most_spent) = (0, 0);
    for (n, &(at, unit, by)) in spends.iter().enumerate() {
        if let Some((before, other)) = last.insert(unit, (at, by)).filter(|l| at + tolerance < l.0 + window) {
            violations
                .push(format!("unit {unit} was spent by {other}, and by {by} {} us later", at - before));
        }
        while spends[from].0 + window <= at + tolerance {
            from += 1;
        }
        most_spent = most_spent.max(n + 1 - from);
    }
    let share = |n: usize| n as f64 / f64::from(total.max(1));
    let spends = spends.len();
    BudgetReport {
        owned: share(most.max(0) as usize),
        spent: share(most_spent),
        spends,
        over_time,
        violations,
    }
}

#[cfg(test)]
#[path = "../tests/unit/budgets.rs"]
mod tests;
