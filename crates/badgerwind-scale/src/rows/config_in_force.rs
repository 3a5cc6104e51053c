//! How long a version takes until it is in force, by the size of the fleet.

use crate::config_world::{Plan, World, FRONT_ENDS_A_MACHINE, SECOND, VERSIONS_A_SECOND};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind_config::Kind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

/// Control machines of the planned size.
const MACHINES: u64 = 35;

/// In which a version is to be in force everywhere.
const WANTED: u64 = 3 * SECOND;

/// Front ends have started and their questions are held by then.
const STARTED: u64 = 3 * SECOND;

/// After the last version the world is played for so long; a version that is not in force by then counts with it.
const HORIZON: u64 = 30 * SECOND;

/// Versions of a burst, and its length.
const BURST: u64 = 100;
const BURST_SPAN: u64 = 10 * SECOND;

/// Of the ordinary day, so much is played.
const DAY_SPAN: u64 = 60 * SECOND;

/// Time of a replay with 16,000 workers, in microseconds; measured by the row `config-replay`.
const LONG_REPLAY: u64 = 2_250_000;

/// Fleets above this size are played with one version alone: many versions take minutes there.
const MOST_FOR_MANY: u64 = 1_000;

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { name, unit }
}

/// Names of the figures of one way to let versions out.
struct Names {
    one_most: Metric,
    one_all: Metric,
    one_share: Metric,
    burst_share: Metric,
    burst_last: Metric,
    day_share: Metric,
    day_ever: Metric,
}

const WAVES: Names = Names {
    one_most: metric("waves, one version, in force at 99%", "s"),
    one_all: metric("waves, one version, in force everywhere", "s"),
    one_share: metric("waves, one version, share in force within 3 s", "share"),
    burst_share: metric("waves, 100 versions in 10 s, share in force within 3 s", "share"),
    burst_last: metric("waves, 100 versions in 10 s, the last of each kind everywhere", "s"),
    day_share: metric("waves, 31,000 versions a day, share in force within 3 s", "share"),
    day_ever: metric("waves, 31,000 versions a day, share in force within 30 s of the last", "share"),
};

const AT_ONCE: Names = Names {
    one_most: metric("without waves, one version, in force at 99%", "s"),
    one_all: metric("without waves, one version, in force everywhere", "s"),
    one_share: metric("without waves, one version, share in force within 3 s", "share"),
    burst_share: metric("without waves, 100 versions in 10 s, share in force within 3 s", "share"),
    burst_last: metric("without waves, 100 versions in 10 s, the last of each kind everywhere", "s"),
    day_share: metric("without waves, 31,000 versions a day, share in force within 3 s", "share"),
    day_ever: metric("without waves, 31,000 versions a day, share in force within 30 s of the last", "share"),
};

const LONG_REPLAY_SHARE: Metric =
    metric("without waves, one version, replay over 16,000 workers, share in force within 3 s", "share");
const LONG_REPLAY_ALL: Metric =
    metric("without waves, one version, replay over 16,000 workers, in force everywhere", "s");

/// Time until versions are in force.
pub struct ConfigInForce;

/// How long versions took until they were in force at front ends: one entry a version and front end.
struct Delays {
    /// `None`: not by the end.
    each: Vec<Option<u64>>,
}

impl Delays {
    /// Of the versions of a world, or of the last one of each kind alone.
    fn of(world: &World, front_ends: u64, last_alone: bool) -> Delays {
        let mut each = Vec::new();
        for (&kind, versions) in world.published() {
            let from = if last_alone { versions.len().saturating_sub(1) } else { 0 };
            for &(version, at) in &versions[from..] {
                each.extend((0..front_ends as usize).map(|n| in_force(world, n, (kind, version), at)));
            }
        }
        Delays { each }
    }

    fn share_within(&self, span: u64) -> f64 {
        let within = self.each.iter().flatten().filter(|delay| **delay <= span).count();
        within as f64 / self.each.len().max(1) as f64
    }

    fn share_ever(&self) -> f64 {
        self.share_within(u64::MAX)
    }

    /// Seconds by which a share of them had come.
    fn seconds(&self, share: f64) -> f64 {
        let mut delays: Vec<u64> = self.each.iter().map(|d| d.unwrap_or(HORIZON)).collect();
        delays.sort_unstable();
        let place = (share * delays.len() as f64).ceil() as usize;
        let delay = delays.get(place.saturating_sub(1)).copied().unwrap_or(0);
        delay as f64 / SECOND as f64
    }
}

/// How long after its publishing a version, or a newer one of its kind, ran at a front end.
fn in_force(world: &World, front_end: usize, (kind, version): (Kind, u64), published: u64) -> Option<u64> {
    let applied = world.applied(front_end).iter();
    let first = applied.filter(|a| a.kind == kind && a.version >= version).map(|a| a.at).min()?;
    Some(first.saturating_sub(published))
}

fn one_version(plan: &Plan) -> Result<Delays, String> {
    let mut world = World::new(plan.clone())?;
    world.publish(STARTED, Kind::Classes);
    world.run_until(STARTED + HORIZON);
    Ok(Delays::of(&world, plan.front_ends as u64, false))
}

/// Half of the versions are of classes, half of routes.
fn kind(random: &mut StdRng) -> Kind {
    if random.random_bool(0.5) {
        Kind::Classes
    } else {
        Kind::Routes
    }
}

fn burst(plan: &Plan) -> Result<World, String> {
    let mut world = World::new(plan.clone())?;
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut moments: Vec<u64> = (0..BURST).map(|_| random.random_range(0..BURST_SPAN)).collect();
    moments.sort_unstable();
    for moment in moments {
        world.publish(STARTED + moment, kind(&mut random));
    }
    world.run_until(STARTED + BURST_SPAN + HORIZON);
    Ok(world)
}

fn day(plan: &Plan) -> Result<World, String> {
    let mut world = World::new(plan.clone())?;
    let mut random = StdRng::seed_from_u64(plan.seed);
    let gaps = Exp::new(VERSIONS_A_SECOND).map_err(|e| e.to_string())?;
    let mut at = STARTED;
    loop {
        at += (gaps.sample(&mut random) * SECOND as f64) as u64;
        if at > STARTED + DAY_SPAN {
            break;
        }
        world.publish(at, kind(&mut random));
    }
    world.run_until(STARTED + DAY_SPAN + HORIZON);
    Ok(world)
}

fn figures(plan: &Plan, names: &Names) -> Result<Vec<Measurement>, String> {
    let front_ends = plan.front_ends as u64;
    let one = one_version(plan)?;
    let mut figures = vec![
        (names.one_most, one.seconds(0.99)),
        (names.one_all, one.seconds(1.0)),
        (names.one_share, one.share_within(WANTED)),
    ];
    if front_ends > MOST_FOR_MANY {
        return Ok(measured(figures));
    }
    let world = burst(plan)?;
    figures.push((names.burst_share, Delays::of(&world, front_ends, false).share_within(WANTED)));
    figures.push((names.burst_last, Delays::of(&world, front_ends, true).seconds(1.0)));
    drop(world);
    let delays = Delays::of(&day(plan)?, front_ends, false);
    figures.push((names.day_share, delays.share_within(WANTED)));
    figures.push((names.day_ever, delays.share_ever()));
    Ok(measured(figures))
}

fn measured(figures: Vec<(Metric, f64)>) -> Vec<Measurement> {
    figures.into_iter().map(|(metric, value)| Measurement { metric, value }).collect()
}

impl ConfigInForce {
    fn figures(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let services = size.div_ceil(FRONT_ENDS_A_MACHINE).min(MACHINES);
        let waves = Plan::new(size as usize, services as usize, seed);
        let at_once = Plan { rules: Plan::AT_ONCE, ..waves.clone() };
        let mut long = at_once.clone();
        long.durations.prepare = LONG_REPLAY;
        let mut all = figures(&waves, &WAVES)?;
        all.extend(figures(&at_once, &AT_ONCE)?);
        let one = one_version(&long)?;
        all.push(Measurement { metric: LONG_REPLAY_SHARE, value: one.share_within(WANTED) });
        all.push(Measurement { metric: LONG_REPLAY_ALL, value: one.seconds(1.0) });
        Ok(all)
    }
}

/// All rows of the time until a version is in force.
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
        "simulated time from publishing to running at a front end, 314 front ends a control machine, a folder that \
         reaches each machine one delay later, 0.18 s for replay, 10 functions; not in force by the end counts as 30 s"
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
            bound(WAVES.one_all),
            bound(WAVES.burst_last),
            bound(AT_ONCE.one_all),
            bound(AT_ONCE.burst_last),
            bound(LONG_REPLAY_ALL),
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        16_000_000 + size * 120_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::figures(size, seed).map_err(failed)
    }
}
