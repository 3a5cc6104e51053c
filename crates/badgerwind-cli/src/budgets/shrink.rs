//! The smallest part of a schedule that still fails: what is not needed for the failure hides its cause.

use super::schedule::{Act, Schedule};

/// A schedule without this member in this act; `None` where the act had no other.
fn without(act: &Act, member: u16) -> Option<Act> {
    let less = |who: &[u16]| -> Option<Vec<u16>> {
        let who: Vec<u16> = who.iter().copied().filter(|m| *m != member).collect();
        (!who.is_empty()).then_some(who)
    };
    Some(match act {
        Act::Kill { who } => Act::Kill { who: less(who)? },
        Act::Start { who } => Act::Start { who: less(who)? },
        Act::Stop { who } => Act::Stop { who: less(who)? },
        Act::Go { who } => Act::Go { who: less(who)? },
        Act::Cut { from, to } => Act::Cut { from: less(from)?, to: less(to)? },
        Act::Heal | Act::Whole { .. } => act.clone(),
    })
}

/// Smaller ones, those that take most away first.
fn smaller(s: &Schedule) -> Vec<Schedule> {
    let mut all = Vec::new();
    let n = s.acts.len();
    for size in [n / 2, n / 4, 1] {
        if size == 0 {
            continue;
        }
        for from in (0..n).step_by(size) {
            let mut less = s.clone();
            less.acts.drain(from..(from + size).min(n));
            all.push(less);
        }
    }
    // The last member goes altogether, unless its vote or its floor would.
    if s.members > 2 && s.voters < s.members {
        let last = s.members - 1;
        let acts = s.acts.iter().filter_map(|(at, a)| Some((*at, without(a, last)?))).collect();
        all.push(Schedule { members: last, acts, ..s.clone() });
    }
    for (loss, twice, delay_ms, drift) in
        [(0.0, 0.0, 0, 0), (0.0, s.twice, s.delay_ms, s.drift), (s.loss, 0.0, s.delay_ms, s.drift)]
    {
        all.push(Schedule { loss, twice, delay_ms, drift, ..s.clone() });
    }
    for (at, (_, act)) in s.acts.iter().enumerate() {
        for member in 0..s.members {
            if let Some(less) = without(act, member).filter(|less| less != act) {
                let mut one = s.clone();
                one.acts[at].1 = less;
                all.push(one);
            }
        }
    }
    // The day ends soon after the last act.
    let end = s.acts.last().map_or(s.ms, |a| a.0 + 1500);
    if end < s.ms {
        all.push(Schedule { ms: end, ..s.clone() });
    }
    all.retain(|other| other != s);
    all
}

/// Makes a schedule that fails smaller for as long as a smaller one fails too, with so many plays at the most.
pub fn shrink(first: &Schedule, mut plays: usize, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut best = first.clone();
    loop {
        let mut found = None;
        for less in smaller(&best) {
            if plays == 0 {
                return best;
            }
            plays -= 1;
            if fails(&less) {
                found = Some(less);
                break;
            }
        }
        match found {
            Some(less) => best = less,
            None => return best,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shrink.rs"]
mod tests;
