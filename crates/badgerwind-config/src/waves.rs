//! The control service's side: which front end is offered which version, and when a wave stops by itself.
//!
//! A version is offered to a first share of the front ends. When all of these have run it for the soak time
//! without failing more calls, it is offered to the rest. The wave stops if too large a share of the front
//! ends that answered reject the version, or if a front end that runs it fails more calls than before; then
//! no other front end is offered it. To roll back, publish the old content under a new number.

use crate::client::Report;
use crate::parts::Kind;
use crate::wire::Health;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::sync::Arc;

/// Microseconds of a monotonic clock.
pub type Time = u64;

/// How a version is rolled out.
#[derive(Clone, Copy, Debug)]
pub struct RolloutPolicy {
    /// Share of the front ends that are offered a version first; at least one front end.
    pub first_share: f64,
    /// How long all of the first share must run a version before the rest are offered it.
    pub soak_time: Time,
    /// A wave stops if more than this share of the front ends that answered reject the version.
    pub max_rejected_share: f64,
    /// A wave stops if the share of calls not served rises by more than this at a front end that runs the
    /// version.
    pub max_failure_increase: f64,
    /// A front end without a request for this long does not hold up a wave.
    pub front_end_timeout: Time,
}

/// The stage of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "stage", content = "why")]
pub enum Stage {
    /// The first share of the front ends is offered the version.
    First,
    /// All front ends are offered the version.
    All,
    /// No further front end is offered the version, for this reason.
    Stopped(String),
}

/// The rollout of one version.
#[derive(Debug)]
struct Wave {
    version: u64,
    stage: Stage,
    /// The front ends of the first share.
    first: BTreeSet<String>,
    /// Since when all of the first share run the version.
    soaking_since: Option<Time>,
    /// The call counters of each front end when it began to run the version.
    baselines: BTreeMap<String, Health>,
    /// The front ends that rejected the version.
    rejected: BTreeSet<String>,
}

/// The last reported state of a front end.
#[derive(Clone, Debug, Default)]
pub struct FrontEnd {
    /// When it sent its last request.
    pub last_seen: Time,
    /// The state of its types of resource.
    pub report: Vec<Report>,
    /// Its calls since it started.
    pub health: Health,
    /// Whether it is pinned to the versions that it runs, and offered nothing.
    pub pinned: bool,
}

/// The published versions and the waves that roll them out.
#[derive(Debug)]
pub struct Waves {
    policy: RolloutPolicy,
    published: BTreeMap<Kind, BTreeMap<u64, Arc<str>>>,
    waves: BTreeMap<Kind, Wave>,
    /// The last version of each kind that was offered to all front ends.
    last_good: BTreeMap<Kind, u64>,
    front_ends: BTreeMap<String, FrontEnd>,
}

/// Number of versions kept per kind.
pub const MAX_VERSIONS: usize = 1_000;
/// Number of front ends remembered.
const MAX_FRONT_ENDS: usize = 100_000;
/// Number of calls from which on the failure rate is evaluated; fewer are mostly chance.
const MIN_CALLS: u64 = 20;

/// The share of the calls between two reports that was refused or failed; `None` for fewer than
/// [`MIN_CALLS`].
fn failure_rate(from: Health, to: Health) -> Option<f64> {
    let unserved = (to.refused + to.failed).saturating_sub(from.refused + from.failed);
    let all = unserved + to.served.saturating_sub(from.served);
    (all >= MIN_CALLS).then(|| unserved as f64 / all as f64)
}

impl Waves {
    /// Creates an empty state: no version is published and no front end is known.
    pub fn new(policy: RolloutPolicy) -> Self {
        Waves {
            policy,
            published: BTreeMap::new(),
            waves: BTreeMap::new(),
            last_good: BTreeMap::new(),
            front_ends: BTreeMap::new(),
        }
    }

    /// Publishes a version and starts its wave. Reusing a number with other content is an error. A version
    /// below the newest one is stored and not rolled out.
    pub fn publish(&mut self, kind: Kind, version: u64, text: Arc<str>) -> Result<(), String> {
        let versions = self.published.entry(kind).or_default();
        if let Some(old) = versions.get(&version) {
            return match **old == *text {
                true => Ok(()),
                false => Err(format!("{} {version} is already published with other content", kind.name())),
            };
        }
        let newest = versions.last_key_value().map(|(v, _)| *v);
        versions.insert(version, text);
        while versions.len() > MAX_VERSIONS {
            versions.pop_first();
        }
        if newest.is_some_and(|n| version < n) {
            return Ok(());
        }
        // Front ends that run the version of the previous wave keep it. That version counts as good if it was
        // offered to all.
        if let Some(wave) = self.waves.remove(&kind).filter(|w| w.stage == Stage::All) {
            self.last_good.insert(kind, wave.version);
        }
        let mut front_ends: Vec<&String> = self.front_ends.keys().collect();
        front_ends.sort_by_key(|id| wave_hash(id, version));
        let count = (self.policy.first_share * front_ends.len() as f64).ceil().max(1.0) as usize;
        let first = front_ends.into_iter().take(count).cloned().collect();
        let stage = Stage::First;
        let (soaking_since, baselines, rejected) = (None, BTreeMap::new(), BTreeSet::new());
        self.waves.insert(kind, Wave { version, stage, first, soaking_since, baselines, rejected });
        Ok(())
    }

    /// The published versions of a kind.
    pub fn versions(&self, kind: Kind) -> impl Iterator<Item = (u64, &Arc<str>)> {
        self.published.get(&kind).into_iter().flatten().map(|(v, t)| (*v, t))
    }

    /// The known front ends.
    pub fn front_ends(&self) -> impl Iterator<Item = (&String, &FrontEnd)> {
        self.front_ends.iter()
    }

    /// The version and stage of a kind's wave.
    pub fn stage(&self, kind: Kind) -> Option<(u64, &Stage)> {
        self.waves.get(&kind).map(|w| (w.version, &w.stage))
    }

    /// Pins a front end to the versions that it runs, or unpins it. Returns false if the front end is
    /// unknown.
    pub fn pin(&mut self, id: &str, pinned: bool) -> bool {
        self.front_ends.get_mut(id).map(|f| f.pinned = pinned).is_some()
    }

    /// Records the state that a front end reports, and advances the waves.
    pub fn record_report(&mut self, now: Time, id: &str, report: &[Report], health: Health) {
        if !self.front_ends.contains_key(id) && self.front_ends.len() >= MAX_FRONT_ENDS {
            return;
        }
        let front = self.front_ends.entry(id.to_owned()).or_default();
        let restarted = health.served < front.health.served;
        (front.last_seen, front.health, front.report) = (now, health, report.to_vec());
        for r in report {
            let Some(wave) = self.waves.get_mut(&r.kind) else { continue };
            if r.running == Some(wave.version) {
                let baseline = wave.baselines.entry(id.to_owned()).or_insert(health);
                // The counters of a restarted front end begin at 0.
                *baseline = if restarted { Health::default() } else { *baseline };
                wave.rejected.remove(id);
            } else if r.rejected.as_ref().is_some_and(|(v, _)| *v == wave.version) {
                wave.rejected.insert(id.to_owned());
            }
        }
        for kind in Kind::ALL {
            self.advance(now, kind);
        }
    }

    /// Advances the wave of a kind, or stops it.
    fn advance(&mut self, now: Time, kind: Kind) {
        let Some(wave) = self.waves.get_mut(&kind) else { return };
        if matches!(wave.stage, Stage::Stopped(_)) {
            return;
        }
        let answered = wave.baselines.len() + wave.rejected.len();
        let share = wave.rejected.len() as f64 / answered.max(1) as f64;
        if !wave.rejected.is_empty() && share > self.policy.max_rejected_share {
            let why =
                format!("{} of {answered} front ends that answered turned it down", wave.rejected.len());
            wave.stage = Stage::Stopped(why);
            return;
        }
        for (id, baseline) in &wave.baselines {
            let Some(front) = self.front_ends.get(id) else { continue };
            // Compares with the rate since the front end's start; a shorter period would be mostly chance.
            let before = failure_rate(Health::default(), *baseline).unwrap_or(0.0);
            let worse = failure_rate(*baseline, front.health)
                .filter(|rate| *rate > before + self.policy.max_failure_increase);
            if let Some(rate) = worse {
                let why = format!(
                    "{id} runs it and leaves {:.0}% of its calls unserved, {:.0}% before",
                    rate * 100.0,
                    before * 100.0
                );
                wave.stage = Stage::Stopped(why);
                return;
            }
        }
        if wave.stage == Stage::First {
            let alive = |id: &&String| {
                self.front_ends
                    .get(*id)
                    .is_some_and(|f| !f.pinned && f.last_seen + self.policy.front_end_timeout > now)
            };
            let all_run = wave.first.iter().filter(alive).all(|id| wave.baselines.contains_key(id));
            let any_runs = !wave.baselines.is_empty();
            match (all_run && any_runs, wave.soaking_since) {
                (false, _) => wave.soaking_since = None,
                (true, None) => wave.soaking_since = Some(now),
                (true, Some(at)) if at + self.policy.soak_time <= now => wave.stage = Stage::All,
                _ => {}
            }
            if all_run && any_runs && self.policy.soak_time == 0 {
                wave.stage = Stage::All;
            }
        }
    }

    /// Advances the waves whose soak time has passed.
    pub fn tick(&mut self, now: Time) {
        for kind in Kind::ALL {
            self.advance(now, kind);
        }
    }

    /// The version to offer to a front end that runs `running`, if any.
    pub fn offer(&mut self, id: &str, kind: Kind, running: Option<u64>) -> Option<(u64, Arc<str>)> {
        let front = self.front_ends.get(id)?;
        if front.pinned {
            return None;
        }
        // A version that the front end has rejected, or that it is still processing, is not offered again.
        let was_offered = |version: u64| {
            front.report.iter().filter(|r| r.kind == kind).any(|r| {
                r.rejected.as_ref().is_some_and(|(v, _)| *v == version)
                    || r.offered.as_ref().is_some_and(|(v, _)| *v == version)
            })
        };
        let wave = self.waves.get_mut(&kind);
        let offered = match wave {
            Some(wave) => {
                // If no front end was known when the version was published, the first one to ask is the first
                // share.
                if wave.first.is_empty() && wave.stage == Stage::First {
                    wave.first.insert(id.to_owned());
                }
                let in_wave =
                    wave.stage == Stage::All || wave.stage == Stage::First && wave.first.contains(id);
                if in_wave {
                    Some(wave.version)
                } else {
                    self.last_good.get(&kind).copied()
                }
            }
            None => self.last_good.get(&kind).copied(),
        };
        let version = offered.filter(|&v| running.is_none_or(|r| v > r) && !was_offered(v))?;
        let text = self.published.get(&kind)?.get(&version)?.clone();
        Some((version, text))
    }
}

/// FNV-1a hash of a front end's name and a version. Each version gets a different first share, which stays
/// the same after a restart of the service.
fn wave_hash(id: &str, version: u64) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(id.as_bytes());
    hasher.write(&version.to_le_bytes());
    hasher.finish()
}
