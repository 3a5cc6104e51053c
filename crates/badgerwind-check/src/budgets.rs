//! What members of a fleet owned and spent of a budget, judged from their records alone: no unit has two owners, and none
//! is spent twice in its window. Nothing here knows the gateway.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A line of a member's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// When, in microseconds of one clock of the machine.
    pub at: u64,
    /// Who.
    pub member: u16,
    /// Its life: another at each start.
    pub life: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What a member did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// From now on it owns these and no others, as ranges from the first up to and without the second.
    Owns {
        /// For good.
        floor: Vec<(u16, u16)>,
        /// Until then, unless another line says otherwise.
        granted: Vec<(u16, u16)>,
        /// Microseconds of the same clock.
        until: u64,
    },
    /// It spent a unit.
    Spent {
        /// Which.
        unit: u16,
    },
}

/// The figures of a day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sums {
    /// Most units owned at an instant, over the whole.
    pub owned: f64,
    /// Most units spent within a window, over the whole.
    pub spent: f64,
    /// Units spent in all.
    pub spends: usize,
    /// Units of the whole that were owned, each tenth of a second from the first line on.
    pub over_time: Vec<usize>,
    /// What was broken, in words.
    pub broken: Vec<String>,
}

/// A span in which a life owned a unit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Span {
    from: u64,
    to: u64,
    member: u16,
    life: u64,
}

fn all(ranges: &[(u16, u16)]) -> impl Iterator<Item = u16> + '_ {
    ranges.iter().flat_map(|(a, b)| *a..*b)
}

/// Which life owned which unit from when to when, by unit.
fn spans_of(lines: &[Line]) -> BTreeMap<u16, Vec<Span>> {
    let mut by_life: BTreeMap<(u16, u64), Vec<&Line>> = BTreeMap::new();
    lines.iter().for_each(|l| by_life.entry((l.member, l.life)).or_default().push(l));
    let mut spans: BTreeMap<u16, Vec<Span>> = BTreeMap::new();
    for ((member, life), own) in &mut by_life {
        own.sort_by_key(|l| l.at);
        let end = own.last().map_or(0, |l| l.at + 1);
        let owns: Vec<_> = own
            .iter()
            .filter_map(|l| match &l.what {
                What::Owns { floor, granted, until } => Some((l.at, floor, granted, *until)),
                What::Spent { .. } => None,
            })
            .collect();
        for (n, (at, floor, granted, until)) in owns.iter().enumerate() {
            let next = owns.get(n + 1).map(|o| o.0);
            let mut add = |unit: u16, to: u64| {
                let all = spans.entry(unit).or_default();
                match all.last_mut().filter(|s| (s.member, s.life, s.to) == (*member, *life, *at)) {
                    Some(last) => last.to = last.to.max(to),
                    None => all.push(Span { from: *at, to, member: *member, life: *life }),
                }
            };
            // A floor is its own as long as the process is seen to live; what was granted also after its death.
            all(floor).for_each(|u| add(u, next.unwrap_or(end)));
            all(granted).filter(|_| until > at).for_each(|u| add(u, next.map_or(*until, |n| n.min(*until))));
        }
    }
    spans
}

/// Units that each member owned, at looks that are so many microseconds apart, from the first line on.
pub fn owned_over_time(lines: &[Line], step: u64) -> BTreeMap<u16, Vec<usize>> {
    let first = lines.iter().map(|l| l.at).min().unwrap_or(0);
    let last = lines.iter().map(|l| l.at).max().unwrap_or(0);
    let looks = (last.saturating_sub(first) / step.max(1)) as usize + 1;
    let mut out: BTreeMap<u16, Vec<usize>> = BTreeMap::new();
    for span in spans_of(lines).into_values().flatten() {
        let owned = out.entry(span.member).or_insert_with(|| vec![0; looks]);
        // A look falls within a span from its first instant up to and without its last.
        let look = |at: u64| (at - first).div_ceil(step.max(1)) as usize;
        let (from, to) = (look(span.from).min(looks), look(span.to).min(looks));
        owned[from..to.max(from)].iter_mut().for_each(|n| *n += 1);
    }
    out
}

/// Judges records of any order. `window` is how long a spent unit rests; `fair` how much of a window the clocks of two
/// lines may differ, both in microseconds.
pub fn judge(lines: &[Line], whole: u16, window: u64, fair: u64) -> Sums {
    let mut spans = spans_of(lines);
    let mut broken = Vec::new();
    let mut edges: Vec<(u64, i64)> = Vec::new();
    for (unit, all) in &mut spans {
        all.sort();
        // Each against all that still last, not only the one before: a short span may lie within a long one.
        let mut last: Vec<Span> = Vec::new();
        for b in all.iter() {
            last.retain(|a| a.to > b.from);
            for a in last.iter().filter(|a| a.member != b.member) {
                let over = a.to.min(b.to) - b.from;
                broken.push(format!(
                    "unit {unit} had two owners, {} and {}, for {over} us",
                    a.member, b.member
                ));
            }
            last.push(*b);
        }
        edges.extend(all.iter().flat_map(|s| [(s.from, 1), (s.to, -1)]));
        if *unit >= whole {
            broken.push(format!("unit {unit} is beyond the whole of {whole}"));
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
        .filter_map(|l| match l.what {
            What::Spent { unit } => Some((l.at, unit, l.member)),
            What::Owns { .. } => None,
        })
        .collect();
    spends.sort();
    let mut last: BTreeMap<u16, (u64, u16)> = BTreeMap::new();
    let (mut from, mut most_spent) = (0, 0);
    for (n, &(at, unit, by)) in spends.iter().enumerate() {
        if let Some((before, other)) = last.insert(unit, (at, by)).filter(|l| at + fair < l.0 + window) {
            broken.push(format!("unit {unit} was spent by {other}, and by {by} {} us later", at - before));
        }
        while spends[from].0 + window <= at + fair {
            from += 1;
        }
        most_spent = most_spent.max(n + 1 - from);
    }
    let share = |n: usize| n as f64 / f64::from(whole.max(1));
    let spends = spends.len();
    Sums { owned: share(most.max(0) as usize), spent: share(most_spent), spends, over_time, broken }
}

#[cfg(test)]
#[path = "../tests/unit/budgets.rs"]
mod tests;
