//! Row of the time from the publication of a version until it is in force, by the size of the fleet.

use crate::config_simulation::{
    Scenario, Simulation, FRONT_ENDS_PER_SERVICE, STARTUP_TIME, VERSIONS_PER_SECOND,
};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::network::SECOND;
use badgerwind_config::Kind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

/// Number of control services of the planned size.
const PLANNED_SERVICES: u64 = 35;

/// Time within which a version must be in force everywhere, in microseconds.
const MAX_DELAY: u64 = 3 * SECOND;

/// Simulated time after the last version. A version that is not in force by then counts with this delay.
const MAX_WAIT: u64 = 30 * SECOND;

/// Number of versions in a burst.
const BURST_VERSIONS: u64 = 100;

/// Duration of a burst.
const BURST_TIME: u64 = 10 * SECOND;

/// Simulated part of a day with 31,000 versions.
const DAY_TIME: u64 = 60 * SECOND;

/// Duration of a replay with 16,000 workers, in microseconds, as measured by the row `config-replay`.
const LONG_REPLAY_TIME: u64 = 2_250_000;

/// Largest fleet that is also simulated with many versions, which takes minutes for larger fleets.
const MAX_SIZE_FOR_MANY_VERSIONS: u64 = 1_000;

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { name, unit }
}

/// Metrics of one rollout policy.
struct PolicyMetrics {
    single_p99: Metric,
    single_max: Metric,
    single_share: Metric,
    burst_share: Metric,
    burst_newest_max: Metric,
    day_share: Metric,
    day_final_share: Metric,
}

const WAVES: PolicyMetrics = PolicyMetrics {
    single_p99: metric("waves, one version, in force at 99%", "s"),
    single_max: metric("waves, one version, in force everywhere", "s"),
    single_share: metric("waves, one version, share in force within 3 s", "share"),
    burst_share: metric("waves, 100 versions in 10 s, share in force within 3 s", "share"),
    burst_newest_max: metric("waves, 100 versions in 10 s, the last of each kind everywhere", "s"),
    day_share: metric("waves, 31,000 versions a day, share in force within 3 s", "share"),
    day_final_share: metric("waves, 31,000 versions a day, share in force within 30 s of the last", "share"),
};

const ALL_AT_ONCE: PolicyMetrics = PolicyMetrics {
    single_p99: metric("without waves, one version, in force at 99%", "s"),
    single_max: metric("without waves, one version, in force everywhere", "s"),
    single_share: metric("without waves, one version, share in force within 3 s", "share"),
    burst_share: metric("without waves, 100 versions in 10 s, share in force within 3 s", "share"),
    burst_newest_max: metric("without waves, 100 versions in 10 s, the last of each kind everywhere", "s"),
    day_share: metric("without waves, 31,000 versions a day, share in force within 3 s", "share"),
    day_final_share: metric(
        "without waves, 31,000 versions a day, share in force within 30 s of the last",
        "share",
    ),
};

const LONG_REPLAY_SHARE: Metric =
    metric("without waves, one version, replay over 16,000 workers, share in force within 3 s", "share");
const LONG_REPLAY_MAX: Metric =
    metric("without waves, one version, replay over 16,000 workers, in force everywhere", "s");

/// Row of the time from publication until versions are in force.
pub struct ConfigInForce;

/// Times from publication until versions were in force, one for each version and front end.
struct Delays {
    /// `None` if the version was not in force at the end of the simulation.
    delays: Vec<Option<u64>>,
}

impl Delays {
    /// Collects the delays of all versions, or of the newest version of each kind only.
    fn of(simulation: &Simulation, front_ends: u64, newest_only: bool) -> Delays {
        let mut delays = Vec::new();
        for (&kind, versions) in simulation.published() {
            let first = if newest_only { versions.len().saturating_sub(1) } else { 0 };
            for &(version, at) in &versions[first..] {
                delays.extend((0..front_ends as usize).map(|n| delay(simulation, n, (kind, version), at)));
            }
        }
        Delays { delays }
    }

    fn share_within(&self, limit: u64) -> f64 {
        let within = self.delays.iter().flatten().filter(|delay| **delay <= limit).count();
        within as f64 / self.delays.len().max(1) as f64
    }

    fn share_in_force(&self) -> f64 {
        self.share_within(u64::MAX)
    }

    /// Quantile of the delays in seconds.
    fn quantile(&self, share: f64) -> f64 {
        let mut delays: Vec<u64> = self.delays.iter().map(|d| d.unwrap_or(MAX_WAIT)).collect();
        delays.sort_unstable();
        let rank = (share * delays.len() as f64).ceil() as usize;
        let delay = delays.get(rank.saturating_sub(1)).copied().unwrap_or(0);
        delay as f64 / SECOND as f64
    }
}

/// Time from publication until a version, or a newer one of its kind, ran at a front end.
fn delay(
    simulation: &Simulation,
    front_end: usize,
    (kind, version): (Kind, u64),
    published: u64,
) -> Option<u64> {
    let applied = simulation.applied(front_end).iter();
    let first = applied.filter(|a| a.kind == kind && a.version >= version).map(|a| a.at).min()?;
    Some(first.saturating_sub(published))
}

fn single_version_delays(scenario: &Scenario) -> Result<Delays, String> {
    let mut simulation = Simulation::new(scenario.clone())?;
    simulation.publish(STARTUP_TIME, Kind::Classes);
    simulation.run_until(STARTUP_TIME + MAX_WAIT);
    Ok(Delays::of(&simulation, scenario.front_ends as u64, false))
}

/// Draws the kind of a version: classes or routes, with equal probability.
fn random_kind(rng: &mut StdRng) -> Kind {
    if rng.random_bool(0.5) {
        Kind::Classes
    } else {
        Kind::Routes
    }
}

fn simulate_burst(scenario: &Scenario) -> Result<Simulation, String> {
    let mut simulation = Simulation::new(scenario.clone())?;
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let mut times: Vec<u64> = (0..BURST_VERSIONS).map(|_| rng.random_range(0..BURST_TIME)).collect();
    times.sort_unstable();
    for time in times {
        simulation.publish(STARTUP_TIME + time, random_kind(&mut rng));
    }
    simulation.run_until(STARTUP_TIME + BURST_TIME + MAX_WAIT);
    Ok(simulation)
}

fn simulate_day(scenario: &Scenario) -> Result<Simulation, String> {
    let mut simulation = Simulation::new(scenario.clone())?;
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let gaps = Exp::new(VERSIONS_PER_SECOND).map_err(|e| e.to_string())?;
    let mut at = STARTUP_TIME;
    loop {
        at += (gaps.sample(&mut rng) * SECOND as f64) as u64;
        if at > STARTUP_TIME + DAY_TIME {
            break;
        }
        simulation.publish(at, random_kind(&mut rng));
    }
    simulation.run_until(STARTUP_TIME + DAY_TIME + MAX_WAIT);
    Ok(simulation)
}

fn measure_policy(scenario: &Scenario, metrics: &PolicyMetrics) -> Result<Vec<Measurement>, String> {
    let front_ends = scenario.front_ends as u64;
    let single = single_version_delays(scenario)?;
    let mut values = vec![
        (metrics.single_p99, single.quantile(0.99)),
        (metrics.single_max, single.quantile(1.0)),
        (metrics.single_share, single.share_within(MAX_DELAY)),
    ];
    if front_ends > MAX_SIZE_FOR_MANY_VERSIONS {
        return Ok(measurements(values));
    }
    let simulation = simulate_burst(scenario)?;
    values.push((metrics.burst_share, Delays::of(&simulation, front_ends, false).share_within(MAX_DELAY)));
    values.push((metrics.burst_newest_max, Delays::of(&simulation, front_ends, true).quantile(1.0)));
    drop(simulation);
    let delays = Delays::of(&simulate_day(scenario)?, front_ends, false);
    values.push((metrics.day_share, delays.share_within(MAX_DELAY)));
    values.push((metrics.day_final_share, delays.share_in_force()));
    Ok(measurements(values))
}

fn measurements(values: Vec<(Metric, f64)>) -> Vec<Measurement> {
    values.into_iter().map(|(metric, value)| Measurement { metric, value }).collect()
}

impl ConfigInForce {
    fn measurements(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let services = size.div_ceil(FRONT_ENDS_PER_SERVICE).min(PLANNED_SERVICES);
        let waves = Scenario::new(size as usize, services as usize, seed);
        let all_at_once = Scenario { rollout: Scenario::ALL_AT_ONCE, ..waves.clone() };
        let mut long_replay = all_at_once.clone();
        long_replay.durations.prepare = LONG_REPLAY_TIME;
        let mut all = measure_policy(&waves, &WAVES)?;
        all.extend(measure_policy(&all_at_once, &ALL_AT_ONCE)?);
        let single = single_version_delays(&long_replay)?;
        all.push(Measurement { metric: LONG_REPLAY_SHARE, value: single.share_within(MAX_DELAY) });
        all.push(Measurement { metric: LONG_REPLAY_MAX, value: single.quantile(1.0) });
        Ok(all)
    }
}

/// All rows of the time until versions are in force.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(ConfigInForce)]
}

impl Row for ConfigInForce {
    fn name(&self) -> &'static str {
        "config-in-force"
    }

    fn role(&self) -> Role {
        Role::ControlService
    }

    fn about(&self) -> &'static str {
        "simulated time from publication until the version runs at a front end, 314 front ends per control \
         service, published versions reach each service after one network delay, 0.18 s for replay, 10 \
         functions; versions not in force at the end count as 30 s"
    }

    fn variable(&self) -> &'static str {
        "front ends"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 300, 1_000, 3_000, 11_000]
    }

    fn planned_size(&self) -> u64 {
        11_000
    }

    fn bounds(&self) -> Vec<Bound> {
        let source = "in force everywhere within 3 s";
        let bound = |metric| Bound { metric, max: 3.0, source };
        vec![
            bound(WAVES.single_max),
            bound(WAVES.burst_newest_max),
            bound(ALL_AT_ONCE.single_max),
            bound(ALL_AT_ONCE.burst_newest_max),
            bound(LONG_REPLAY_MAX),
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        16_000_000 + size * 120_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::measurements(size, seed).map_err(failed)
    }
}
