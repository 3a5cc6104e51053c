//! Minimization of a failing schedule: actions that the failure does not need hide its cause.

use super::schedule::{Act, Schedule};

/// The action without this member; `None` if the action concerned no other member.
fn without_member(act: &Act, member: u16) -> Option<Act> {
    let remove = |who: &[u16]| -> Option<Vec<u16>> {
        let who: Vec<u16> = who.iter().copied().filter(|m| *m != member).collect();
        (!who.is_empty()).then_some(who)
    };
    Some(match act {
        Act::Kill { who } => Act::Kill { who: remove(who)? },
        Act::Start { who } => Act::Start { who: remove(who)? },
        Act::Pause { who } => Act::Pause { who: remove(who)? },
        Act::Resume { who } => Act::Resume { who: remove(who)? },
        Act::Cut { from, to } => Act::Cut { from: remove(from)?, to: remove(to)? },
        Act::Heal | Act::SetUnits { .. } => act.clone(),
    })
}

/// Candidates for a smaller schedule, those with most removed first.
fn candidates(schedule: &Schedule) -> Vec<Schedule> {
    let mut all = Vec::new();
    let n = schedule.acts.len();
    for size in [n / 2, n / 4, 1] {
        if size == 0 {
            continue;
        }
        for from in (0..n).step_by(size) {
            let mut smaller = schedule.clone();
            smaller.acts.drain(from..(from + size).min(n));
            all.push(smaller);
        }
    }
    // The last member is removed entirely, unless it is a voter.
    if schedule.members > 2 && schedule.voters < schedule.members {
        let last = schedule.members - 1;
        let acts = schedule.acts.iter().filter_map(|(at, a)| Some((*at, without_member(a, last)?))).collect();
        all.push(Schedule { members: last, acts, ..schedule.clone() });
    }
    for (loss, twice, delay_ms, drift) in [
        (0.0, 0.0, 0, 0),
        (0.0, schedule.twice, schedule.delay_ms, schedule.drift),
        (schedule.loss, 0.0, schedule.delay_ms, schedule.drift),
    ] {
        all.push(Schedule { loss, twice, delay_ms, drift, ..schedule.clone() });
    }
    for (at, (_, act)) in schedule.acts.iter().enumerate() {
        for member in 0..schedule.members {
            if let Some(smaller_act) = without_member(act, member).filter(|smaller| smaller != act) {
                let mut smaller = schedule.clone();
                smaller.acts[at].1 = smaller_act;
                all.push(smaller);
            }
        }
    }
    // The run ends soon after the last action.
    let end = schedule.acts.last().map_or(schedule.ms, |a| a.0 + 1500);
    if end < schedule.ms {
        all.push(Schedule { ms: end, ..schedule.clone() });
    }
    all.retain(|other| other != schedule);
    all
}

/// Reduces a failing schedule as long as a smaller one fails too, with at most `runs` calls of `fails`.
pub fn shrink(first: &Schedule, mut runs: usize, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut best = first.clone();
    loop {
        let mut found = None;
        for smaller in candidates(&best) {
            if runs == 0 {
                return best;
            }
            runs -= 1;
            if fails(&smaller) {
                found = Some(smaller);
                break;
            }
        }
        match found {
            Some(smaller) => best = smaller,
            None => return best,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shrink.rs"]
mod tests;
