//! The control service's side: who is offered which version, and when a wave stops by itself.
//!
//! A version goes to a first share of the front ends. Once all of those run it, and have for a while without
//! getting worse, it goes to the rest. It stops where more than a share of those offered it turn it down, or where
//! those that run it serve worse than before; then nobody else is offered it. Going back is publishing the old
//! content under a new number.

use crate::client::Report;
use crate::parts::Kind;
use crate::wire::Health;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::sync::Arc;

/// Microseconds of a monotonic clock.
pub type Time = u64;

/// How waves go.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Share of the front ends in the first wave; one at the least.
    pub first: f64,
    /// How long all of the first must run it before the rest are offered it.
    pub settle: Time,
    /// A wave stops when more than this share of those that answered turned it down.
    pub most_rejected: f64,
    /// Or when the share of calls not served rose by more than this at those that run it.
    pub most_worse: f64,
    /// A front end not heard of for this long is not waited for.
    pub forget: Time,
}

/// Where a wave stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "stage", content = "why")]
pub enum Stage {
    /// The first share is offered it.
    First,
    /// All are.
    All,
    /// Nobody more is.
    Stopped(String),
}

#[derive(Debug)]
struct Wave {
    version: u64,
    stage: Stage,
    first: BTreeSet<String>,
    /// Since when all of the first run it.
    settled: Option<Time>,
    /// Calls of each front end when it began to run it.
    began: BTreeMap<String, Health>,
    rejected: BTreeSet<String>,
}

/// A front end as last heard of.
#[derive(Clone, Debug, Default)]
pub struct Front {
    /// When.
    pub heard: Time,
    /// Where its types stand.
    pub report: Vec<Report>,
    /// Its calls since its start.
    pub health: Health,
    /// It is offered nothing.
    pub pinned: bool,
}

/// Published versions and the waves that bring them out.
#[derive(Debug)]
pub struct Waves {
    rules: Rules,
    published: BTreeMap<Kind, BTreeMap<u64, Arc<str>>>,
    waves: BTreeMap<Kind, Wave>,
    /// The last version of each kind that a wave brought to all.
    good: BTreeMap<Kind, u64>,
    fronts: BTreeMap<String, Front>,
}

/// Versions kept of each kind.
pub const MOST_VERSIONS: usize = 1_000;
/// Front ends remembered.
const MOST_FRONTS: usize = 100_000;
/// Calls from which on a share of them says something.
const ENOUGH_CALLS: u64 = 20;

fn bad_share(from: Health, to: Health) -> Option<f64> {
    let bad = (to.refused + to.failed).saturating_sub(from.refused + from.failed);
    let all = bad + to.served.saturating_sub(from.served);
    (all >= ENOUGH_CALLS).then(|| bad as f64 / all as f64)
}

impl Waves {
    /// Nothing published, nobody known.
    pub fn new(rules: Rules) -> Self {
        Waves {
            rules,
            published: BTreeMap::new(),
            waves: BTreeMap::new(),
            good: BTreeMap::new(),
            fronts: BTreeMap::new(),
        }
    }

    /// Publishes a version. A number once used keeps its content, and a number below the newest is no news.
    pub fn publish(&mut self, kind: Kind, version: u64, text: Arc<str>) -> Result<(), String> {
        let versions = self.published.entry(kind).or_default();
        if let Some(old) = versions.get(&version) {
            return match **old == *text {
                true => Ok(()),
                false => Err(format!("{} {version} is published with other content", kind.name())),
            };
        }
        let newest = versions.last_key_value().map(|(v, _)| *v);
        versions.insert(version, text);
        while versions.len() > MOST_VERSIONS {
            versions.pop_first();
        }
        if newest.is_some_and(|n| version < n) {
            return Ok(());
        }
        // Of the wave before, those that run it stay; it is good where it had reached all.
        if let Some(wave) = self.waves.remove(&kind).filter(|w| w.stage == Stage::All) {
            self.good.insert(kind, wave.version);
        }
        let mut fronts: Vec<&String> = self.fronts.keys().collect();
        fronts.sort_by_key(|id| mix(id, version));
        let share = (self.rules.first * fronts.len() as f64).ceil().max(1.0) as usize;
        let first = fronts.into_iter().take(share).cloned().collect();
        let stage = Stage::First;
        let (settled, began, rejected) = (None, BTreeMap::new(), BTreeSet::new());
        self.waves.insert(kind, Wave { version, stage, first, settled, began, rejected });
        Ok(())
    }

    /// The versions of a kind.
    pub fn versions(&self, kind: Kind) -> impl Iterator<Item = (u64, &Arc<str>)> {
        self.published.get(&kind).into_iter().flatten().map(|(v, t)| (*v, t))
    }

    /// Front ends heard of.
    pub fn fronts(&self) -> impl Iterator<Item = (&String, &Front)> {
        self.fronts.iter()
    }

    /// Where the wave of a kind stands.
    pub fn stage(&self, kind: Kind) -> Option<(u64, &Stage)> {
        self.waves.get(&kind).map(|w| (w.version, &w.stage))
    }

    /// Holds a front end at what it runs, or lets it go on. False where it is not known.
    pub fn pin(&mut self, id: &str, pinned: bool) -> bool {
        self.fronts.get_mut(id).map(|f| f.pinned = pinned).is_some()
    }

    /// A front end's word about itself.
    pub fn heard(&mut self, now: Time, id: &str, report: &[Report], health: Health) {
        if !self.fronts.contains_key(id) && self.fronts.len() >= MOST_FRONTS {
            return;
        }
        let front = self.fronts.entry(id.to_owned()).or_default();
        let restarted = health.served < front.health.served;
        (front.heard, front.health, front.report) = (now, health, report.to_vec());
        for r in report {
            let Some(wave) = self.waves.get_mut(&r.kind) else { continue };
            if r.running == Some(wave.version) {
                let began = wave.began.entry(id.to_owned()).or_insert(health);
                // One that restarted counts anew.
                *began = if restarted { Health::default() } else { *began };
                wave.rejected.remove(id);
            } else if r.rejected.as_ref().is_some_and(|(v, _)| *v == wave.version) {
                wave.rejected.insert(id.to_owned());
            }
        }
        for kind in Kind::ALL {
            self.step(now, kind);
        }
    }

    fn step(&mut self, now: Time, kind: Kind) {
        let Some(wave) = self.waves.get_mut(&kind) else { return };
        if matches!(wave.stage, Stage::Stopped(_)) {
            return;
        }
        let answered = wave.began.len() + wave.rejected.len();
        let share = wave.rejected.len() as f64 / answered.max(1) as f64;
        if !wave.rejected.is_empty() && share > self.rules.most_rejected {
            let why =
                format!("{} of {answered} front ends that answered turned it down", wave.rejected.len());
            wave.stage = Stage::Stopped(why);
            return;
        }
        for (id, began) in &wave.began {
            let Some(front) = self.fronts.get(id) else { continue };
            // Against what it was since its start: a short while before would be mostly chance.
            let was = bad_share(Health::default(), *began).unwrap_or(0.0);
            let worse = bad_share(*began, front.health).filter(|is| *is > was + self.rules.most_worse);
            if let Some(is) = worse {
                let why = format!(
                    "{id} runs it and leaves {:.0}% of its calls unserved, {:.0}% before",
                    is * 100.0,
                    was * 100.0
                );
                wave.stage = Stage::Stopped(why);
                return;
            }
        }
        if wave.stage == Stage::First {
            let alive = |id: &&String| {
                self.fronts.get(*id).is_some_and(|f| !f.pinned && f.heard + self.rules.forget > now)
            };
            let done = wave.first.iter().filter(alive).all(|id| wave.began.contains_key(id));
            let any = !wave.began.is_empty();
            match (done && any, wave.settled) {
                (false, _) => wave.settled = None,
                (true, None) => wave.settled = Some(now),
                (true, Some(at)) if at + self.rules.settle <= now => wave.stage = Stage::All,
                _ => {}
            }
            if done && any && self.rules.settle == 0 {
                wave.stage = Stage::All;
            }
        }
    }

    /// Time has passed: a wave that has settled goes on.
    pub fn tick(&mut self, now: Time) {
        for kind in Kind::ALL {
            self.step(now, kind);
        }
    }

    /// What to offer a front end that runs this version, if anything.
    pub fn offer(&mut self, id: &str, kind: Kind, running: Option<u64>) -> Option<(u64, Arc<str>)> {
        let front = self.fronts.get(id)?;
        if front.pinned {
            return None;
        }
        // What waits at the front end for another part is not offered anew.
        let known = |version: u64| {
            front.report.iter().filter(|r| r.kind == kind).any(|r| {
                r.rejected.as_ref().is_some_and(|(v, _)| *v == version)
                    || r.offered.as_ref().is_some_and(|(v, _)| *v == version)
            })
        };
        let wave = self.waves.get_mut(&kind);
        let wanted = match wave {
            Some(wave) => {
                // A front end that appears while nobody else is in the first wave is the first wave.
                if wave.first.is_empty() && wave.stage == Stage::First {
                    wave.first.insert(id.to_owned());
                }
                let in_wave =
                    wave.stage == Stage::All || wave.stage == Stage::First && wave.first.contains(id);
                if in_wave {
                    Some(wave.version)
                } else {
                    self.good.get(&kind).copied()
                }
            }
            None => self.good.get(&kind).copied(),
        };
        let version = wanted.filter(|&v| running.is_none_or(|r| v > r) && !known(v))?;
        let text = self.published.get(&kind)?.get(&version)?.clone();
        Some((version, text))
    }
}

/// FNV-1a of a name and a number: another first share for each version, and the same one after a restart.
fn mix(id: &str, version: u64) -> u64 {
    let mut h = fnv::FnvHasher::default();
    h.write(id.as_bytes());
    h.write(&version.to_le_bytes());
    h.finish()
}
