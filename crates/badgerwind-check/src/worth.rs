//! Computes from the records alone the worth of the traffic: requested, earned, and an upper bound; by class,
//! by tenant and over time; the share of wasted work; and the recovery time after a fault.
//!
//! A call earns its class's worth if a try is served within the aim, counted from the first try, and the late
//! share of it after that. The upper bound assumes that all calls, their true work and each runner's uptime
//! are known in advance, that every runner is warm, every copy loaded and no work wasted, which no front end
//! can achieve. It is a fluid bound: work is divisible, so it is never below the achievable optimum, and may
//! be far above it.

use crate::record::*;
use std::collections::BTreeMap;

/// Worth of a set of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worth {
    /// Worth if all were served in time.
    pub requested: f64,
    /// Worth that was earned.
    pub earned: f64,
}

impl Worth {
    /// Earned share of the requested worth; `None` if nothing was requested.
    pub fn share(&self) -> Option<f64> {
        (self.requested > 0.0).then(|| self.earned / self.requested)
    }
    fn add(&mut self, requested: f64, earned: f64) {
        self.requested += requested;
        self.earned += earned;
    }
}

/// Result of [`account`].
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// All calls.
    pub all: Worth,
    /// By class.
    pub classes: BTreeMap<String, Worth>,
    /// By tenant.
    pub tenants: BTreeMap<String, Worth>,
    /// By the second of the call's first try, counted from the first call of the record.
    pub seconds: Vec<Worth>,
    /// Upper bound of what could have been earned.
    pub bound: f64,
    /// Attempts that reached runners beyond the first one of each call.
    pub extra: usize,
    /// Share of the finished work whose result reached no waiting sender.
    pub wasted: f64,
}

struct Call<'a> {
    class: &'a str,
    tenant: &'a str,
    sent: u64,
    work: f64,
    /// When a try was first served.
    served: Option<u64>,
}

/// Computes the account. Lines may be in any order.
pub fn account(facts: &Facts, lines: &[Line]) -> Account {
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by_key(|l| l.at);
    let mut calls: BTreeMap<&str, Call<'_>> = BTreeMap::new();
    let (mut attempts, mut finished): (BTreeMap<&str, usize>, BTreeMap<&str, usize>) = Default::default();
    let mut call_of_request: BTreeMap<&str, &str> = BTreeMap::new();
    for line in &sorted {
        match &line.event {
            Event::Sent { call, class, tenant, work, .. } => {
                let work = if *work > 0.0 { *work } else { facts.classes.get(class).map_or(0.0, |c| c.work) };
                let new = Call { class, tenant, sent: line.at, work, served: None };
                calls.entry(call).or_insert(new);
            }
            Event::TryEnded { call, answer: Answer::Served, .. } => {
                if let Some(c) = calls.get_mut(call.as_str()) {
                    c.served.get_or_insert(line.at);
                }
            }
            Event::Arrived { call, request, .. } => {
                *attempts.entry(call).or_default() += 1;
                call_of_request.insert(request, call);
            }
            Event::Finished { request, .. } => {
                if let Some(call) = call_of_request.get(request.as_str()) {
                    *finished.entry(call).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    let mut account = Account::default();
    let Some(first) = calls.values().map(|c| c.sent).min() else { return account };
    let (mut done, mut useful) = (0.0, 0.0);
    for (name, c) in &calls {
        let Some(class) = facts.classes.get(c.class) else { continue };
        let earned = match c.served {
            Some(at) if at <= c.sent + class.aim => class.worth,
            Some(_) => class.worth * class.late_worth,
            None => 0.0,
        };
        account.all.add(class.worth, earned);
        account.classes.entry(c.class.to_owned()).or_default().add(class.worth, earned);
        account.tenants.entry(c.tenant.to_owned()).or_default().add(class.worth, earned);
        let second = ((c.sent - first) / 1_000_000) as usize;
        if account.seconds.len() <= second {
            account.seconds.resize(second + 1, Worth::default());
        }
        account.seconds[second].add(class.worth, earned);
        let times = finished.get(name).copied().unwrap_or(0) as f64;
        done += times * c.work;
        useful += if c.served.is_some() && times > 0.0 { c.work } else { 0.0 };
    }
    account.extra = attempts.values().map(|n| n - 1).sum();
    account.wasted = if done > 0.0 { 1.0 - useful / done } else { 0.0 };
    account.bound = bound(facts, &calls, &sorted);
    account
}

/// Spans in which each runner was up: capacity, start and end in microseconds.
fn uptimes(facts: &Facts, lines: &[&Line], end: u64) -> Vec<(f64, u64, u64)> {
    let mut spans = Vec::new();
    for (id, runner) in &facts.runners {
        let mut since = Some(0);
        for line in lines {
            match &line.event {
                Event::RunnerKilled { runner } if runner == id => {
                    if let Some(from) = since.take() {
                        spans.push((runner_capacity(facts, *id), from, line.at));
                    }
                }
                Event::RunnerStarted { runner } if runner == id => {
                    since.get_or_insert(line.at);
                }
                _ => {}
            }
        }
        spans.extend(since.map(|from| (runner.capacity, from, end)));
    }
    spans
}

fn runner_capacity(facts: &Facts, id: u32) -> f64 {
    facts.runners.get(&id).map_or(0.0, |r| r.capacity)
}

/// Upper bound of the earned worth. Calls are grouped into spans by their first try. A span's calls may use
/// all capacity from its start until the last of them would be late, in the order of worth per unit of work,
/// and the last one that fits only in part counts in part. The spans' capacities overlap, which can only
/// raise the bound, and late answers count as if they cost nothing. The result is the least over several
/// lengths of spans.
fn bound(facts: &Facts, calls: &BTreeMap<&str, Call<'_>>, lines: &[&Line]) -> f64 {
    let Some(first) = calls.values().map(|c| c.sent).min() else { return 0.0 };
    let last = calls.values().map(|c| c.sent).max().unwrap_or(first);
    let aim = facts.classes.values().map(|c| c.aim).max().unwrap_or(0);
    let spans = uptimes(facts, lines, last + aim + 1);
    let capacity = |from: u64, to: u64| -> f64 {
        let within =
            |(cores, a, b): &(f64, u64, u64)| cores * (*b).min(to).saturating_sub((*a).max(from)) as f64;
        spans.iter().map(within).sum()
    };
    let bound_for_length = |length: u64| -> f64 {
        let mut by_span: BTreeMap<u64, Vec<(f64, f64, f64)>> = BTreeMap::new();
        for c in calls.values() {
            let Some(class) = facts.classes.get(c.class) else { continue };
            let gain = class.worth * (1.0 - class.late_worth);
            let all = by_span.entry((c.sent - first) / length).or_default();
            all.push((gain, c.work.max(1.0), class.worth * class.late_worth));
        }
        by_span
            .into_iter()
            .map(|(n, mut all)| {
                let from = first + n * length;
                let mut remaining = capacity(from, from.saturating_add(length).saturating_add(aim));
                all.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
                let mut sum = 0.0;
                for (gain, work, late) in all {
                    let part = (remaining / work).clamp(0.0, 1.0);
                    remaining -= part * work;
                    sum += part * gain + late;
                }
                sum
            })
            .sum()
    };
    let whole = (last - first).max(1) + 1;
    [whole, 10_000_000, 5_000_000, 2_000_000, 1_000_000]
        .into_iter()
        .map(bound_for_length)
        .fold(f64::INFINITY, f64::min)
}

/// Seconds after `end` (in seconds of the account) until a second's share reaches `part` of the average share
/// before `begin`; `None` if it never does, or if nothing was requested before `begin`.
pub fn recovery(account: &Account, begin: usize, end: usize, part: f64) -> Option<usize> {
    let mut before = Worth::default();
    account.seconds.iter().take(begin).for_each(|s| before.add(s.requested, s.earned));
    let before = before.share()?;
    let recovered = |s: &Worth| s.share().is_some_and(|x| x >= part * before);
    account.seconds.iter().skip(end).position(recovered)
}
