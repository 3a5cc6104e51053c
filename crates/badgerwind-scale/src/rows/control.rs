//! Costs of the control service by connected front ends, and its bad hours.

use crate::config_world::{Load, Plan, World, FRONT_ENDS_A_MACHINE, SECOND, VERSIONS_A_SECOND};
use crate::cost::HeapMeter;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind_config::client::Report;
use badgerwind_config::waves::Waves;
use badgerwind_config::wire::Health;
use badgerwind_config::Kind;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};

/// Front ends have started and their questions are held by then.
const STARTED: u64 = 3 * SECOND;

/// A version is given so long to be acknowledged by all.
const MOST_VERSION_TIME: u64 = 20 * SECOND;

/// Steps in which it is looked whether all have acknowledged.
const STEP: u64 = SECOND / 20;

/// Bounds on a control machine that the letter does not give: one core of it.
const CORE: f64 = 1e6;

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { name, unit }
}

const MESSAGES: Metric = metric("a version, questions and answers", "messages");
const BYTES_IN: Metric = metric("a version, bytes in", "B");
const BYTES_OUT: Metric = metric("a version, bytes out", "B");
const OFFERS: Metric = metric("a version, evaluations of an offer", "operations");
const TIME: Metric = metric("a version, processor time", "us");
const IDLE_OFFERS: Metric = metric("idle, evaluations of an offer", "operations/s");
const IDLE_TIMERS: Metric = metric("idle, timers of held questions (arithmetic)", "operations/s");
const IDLE_BYTES: Metric = metric("idle, bytes in + out (arithmetic)", "B/s");
const IDLE_TIME: Metric = metric("idle, processor time without timers and sockets", "us/s");
const HEAP: Metric = metric("heap of what is known of front ends", "B");
const DAY_BYTES: Metric = metric("31,000 versions a day, bytes in + out", "B/s");
const DAY_TIME: Metric = metric("31,000 versions a day, processor time", "us/s");

fn bytes(load: &Load) -> u64 {
    load.bytes_in + load.bytes_out
}

/// What a control machine has to do.
pub struct ConfigService;

impl ConfigService {
    /// The world of one machine, as it is measured.
    pub fn plan(size: u64, seed: u64) -> Plan {
        Plan { rules: Plan::AT_ONCE, every_change: true, ..Plan::new(size as usize, 1, seed) }
    }

    fn figures(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let mut world = World::new(Self::plan(size, seed))?;
        world.run_until(STARTED);
        let begun = world.load(0).clone();
        world.run_until(STARTED + SECOND);
        let idle = world.load(0).clone();
        let published = STARTED + SECOND;
        world.publish(published, Kind::Classes);
        let done = until_all_run(&mut world, size, Kind::Classes, published + MOST_VERSION_TIME)?;
        let after = world.load(0).clone();
        let spent = after.processor_microseconds - idle.processor_microseconds;
        let idle_time = idle.processor_microseconds - begun.processor_microseconds;
        let over = (done - published) as f64 / SECOND as f64;
        let version_time = (spent - idle_time * over).max(0.0);
        let version_bytes = (bytes(&after) - bytes(&idle)) as f64;
        let idle_offers = (idle.offers_evaluated - begun.offers_evaluated) as f64;
        let idle_bytes = idle_bytes_a_second(&begun, size);
        let offers = (after.offers_evaluated - idle.offers_evaluated) as f64;
        let figures = [
            (MESSAGES, (after.messages - idle.messages) as f64),
            (BYTES_IN, (after.bytes_in - idle.bytes_in) as f64),
            (BYTES_OUT, (after.bytes_out - idle.bytes_out) as f64),
            (OFFERS, offers),
            (TIME, version_time),
            (IDLE_OFFERS, idle_offers),
            (IDLE_TIMERS, (4 * 100 * size) as f64),
            (IDLE_BYTES, idle_bytes),
            (IDLE_TIME, idle_time),
            (HEAP, known_heap(size) as f64),
            (DAY_BYTES, idle_bytes + version_bytes * VERSIONS_A_SECOND),
            (DAY_TIME, idle_time + version_time * VERSIONS_A_SECOND),
        ];
        Ok(figures.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
    }
}

/// Plays on until all front ends run the newest version of a kind and have said so.
fn until_all_run(world: &mut World, size: u64, kind: Kind, most: u64) -> Result<u64, String> {
    let newest = world.published().get(&kind).and_then(|v| v.last()).map(|v| v.0);
    let all = |world: &World| (0..size as usize).all(|n| world.running(n, kind) == newest);
    while !all(world) {
        if world.now() >= most {
            return Err(format!("not all front ends run {} {newest:?}", kind.name()));
        }
        world.run_until(world.now() + STEP);
    }
    // The last acknowledgements are on their way.
    world.run_until(world.now() + STEP);
    Ok(world.now())
}

/// Each front end asks about four kinds again every 20 s where there is nothing new; taken from its first questions.
fn idle_bytes_a_second(begun: &Load, size: u64) -> f64 {
    let question = begun.bytes_in as f64 / begun.messages.max(1) as f64;
    let answer = crate::config_world::response_bytes(None).0 as f64;
    4.0 * size as f64 * (question + answer) / 20.0
}

/// Heap that the waves keep of so many front ends that run a version of each kind.
fn known_heap(size: u64) -> u64 {
    let heap = HeapMeter::start();
    let mut waves = Waves::new(Plan::AT_ONCE);
    for kind in Kind::ALL {
        // The first version of a kind is never refused.
        _ = waves.publish(kind, 1, "".into());
    }
    let report = |kind| Report { kind, running: Some(1), offered: None, rejected: None };
    let reports = Kind::ALL.map(report);
    // One pass a kind would be the same: what is kept does not depend on the order.
    for number in 0..size {
        waves.record_report(0, &format!("front-{number:05}"), &reports, Health::default());
    }
    let bytes = heap.net_bytes();
    drop(waves);
    bytes
}

/// All rows of the configuration service.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(ConfigService), Box::new(MachineLost), Box::new(ConfigRestart), Box::new(ConfigRejoin)]
}

impl Row for ConfigService {
    fn name(&self) -> &'static str {
        "config-service"
    }

    fn role(&self) -> Role {
        Role::ControlService
    }

    fn about(&self) -> &'static str {
        "one version of classes (10 functions) let out at once by one control machine: real waves, real messages, \
         held questions looked at as often as the service does; processor time without sockets and timers"
    }

    fn variable(&self) -> &'static str {
        "connected front ends"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 314, 1_000, 3_000, 11_000]
    }

    fn planned_size(&self) -> u64 {
        FRONT_ENDS_A_MACHINE
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![Bound { metric: DAY_TIME, max: CORE, source: "one core of a control machine (assumed)" }]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        16_000_000 + size * 120_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::figures(size, seed).map_err(failed)
    }
}

/// A control machine is lost, and its front ends go to the next one.
pub struct MachineLost;

const LOST_MESSAGES: Metric =
    metric("machine lost, messages in the busiest second at the next one", "messages/s");
const LOST_BYTES: Metric = metric("machine lost, bytes in the busiest second at the next one", "B/s");
const LOST_HELD: Metric = metric("machine lost, front ends of the next one after a minute", "front ends");
const LOST_TIME: Metric = metric("machine lost, until all follow again", "s");

/// Machines of this world.
const MACHINES: u64 = 4;

/// When the machine is lost.
const LOST_AT: u64 = 10 * SECOND;

impl MachineLost {
    fn figures(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let front_ends = size * MACHINES;
        let plan = Plan { rules: Plan::AT_ONCE, ..Plan::new(front_ends as usize, MACHINES as usize, seed) };
        let mut world = World::new(plan)?;
        world.run_until(LOST_AT);
        world.lose_service(0);
        let questions = 4 * 2 * size as usize;
        let mut followed = None;
        while world.now() < LOST_AT + 60 * SECOND {
            world.run_until(world.now() + STEP);
            if followed.is_none() && world.held(1) == questions {
                followed = Some(world.now() - LOST_AT);
            }
        }
        let (messages, bytes) = world.load(1).busiest(LOST_AT, LOST_AT + 9 * SECOND);
        let seconds = followed.map_or(60.0, |time| time as f64 / SECOND as f64);
        let figures = [
            (LOST_MESSAGES, messages as f64),
            (LOST_BYTES, bytes as f64),
            (LOST_HELD, world.held(1) as f64 / 4.0),
            (LOST_TIME, seconds),
        ];
        Ok(figures.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
    }
}

impl Row for MachineLost {
    fn name(&self) -> &'static str {
        "config-machine-lost"
    }

    fn role(&self) -> Role {
        Role::ControlService
    }

    fn about(&self) -> &'static str {
        "one of four control machines is lost; its front ends name the same next one in their settings, which has as \
         many of its own"
    }

    fn variable(&self) -> &'static str {
        "front ends of the lost machine"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 314, 1_000]
    }

    fn planned_size(&self) -> u64 {
        FRONT_ENDS_A_MACHINE
    }

    fn bounds(&self) -> Vec<Bound> {
        Vec::new()
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        16_000_000 + MACHINES * size * 120_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::figures(size, seed).map_err(failed)
    }
}

/// Front ends that restart together.
pub struct ConfigRestart;

const NEW_VERSIONS: Metric = metric("new disk, versions sent to a front end", "versions");
const NEW_BYTES: Metric = metric("new disk, bytes to and from a front end until it follows", "B");
const NEW_BUSIEST: Metric = metric("new disk, bytes in the busiest second at the machine", "B/s");
const NEW_MESSAGES: Metric = metric("new disk, messages in the busiest second at the machine", "messages/s");
const OLD_VERSIONS: Metric = metric("stored settings, versions sent to a front end", "versions");
const OLD_BYTES: Metric = metric("stored settings, bytes to and from a front end until it follows", "B");
const OLD_BUSIEST: Metric = metric("stored settings, bytes in the busiest second at the machine", "B/s");

/// Functions in the settings of this row.
const RESTART_FUNCTIONS: u64 = 200;

/// When they restart: all run a version of each kind by then.
const RESTART_AT: u64 = 15 * SECOND;

/// For how long the restart is looked at.
const RESTART_SPAN: u64 = 4 * SECOND;

struct Restarted {
    versions: u64,
    bytes: u64,
    busiest: (u64, u64),
}

fn restart(size: u64, seed: u64, disk: bool) -> Result<Restarted, String> {
    let base = Plan::new(size as usize, 1, seed);
    let mut world = World::new(Plan { rules: Plan::AT_ONCE, functions: RESTART_FUNCTIONS, ..base })?;
    for kind in Kind::ALL {
        world.publish(STARTED, kind);
    }
    world.run_until(RESTART_AT);
    let before = world.load(0).clone();
    for front_end in 0..size as usize {
        world.restart(front_end, disk)?;
    }
    world.run_until(RESTART_AT + RESTART_SPAN);
    for kind in Kind::ALL {
        if (0..size as usize).any(|n| world.running(n, kind) != Some(1)) {
            return Err(format!("not all front ends run {} 1 again", kind.name()));
        }
    }
    let after = world.load(0);
    Ok(Restarted {
        versions: after.versions_sent - before.versions_sent,
        bytes: bytes(after) - bytes(&before),
        busiest: after.busiest(RESTART_AT, RESTART_AT + RESTART_SPAN),
    })
}

impl ConfigRestart {
    fn figures(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let (new, old) = (restart(size, seed, false)?, restart(size, seed, true)?);
        let each = |sum: u64| sum as f64 / size as f64;
        let figures = [
            (NEW_VERSIONS, each(new.versions)),
            (NEW_BYTES, each(new.bytes)),
            (NEW_MESSAGES, new.busiest.0 as f64),
            (NEW_BUSIEST, new.busiest.1 as f64),
            (OLD_VERSIONS, each(old.versions)),
            (OLD_BYTES, each(old.bytes)),
            (OLD_BUSIEST, old.busiest.1 as f64),
        ];
        Ok(figures.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
    }
}

impl Row for ConfigRestart {
    fn name(&self) -> &'static str {
        "config-restart"
    }

    fn role(&self) -> Role {
        Role::ControlService
    }

    fn about(&self) -> &'static str {
        "front ends of one control machine restart at the same moment, with the stored settings or with a new disk; \
         200 functions, a version of each of the four kinds"
    }

    fn variable(&self) -> &'static str {
        "front ends that restart at once"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 52, 100, 314]
    }

    fn planned_size(&self) -> u64 {
        52
    }

    fn bounds(&self) -> Vec<Bound> {
        Vec::new()
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        16_000_000 + size * 1_500_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::figures(size, seed).map_err(failed)
    }
}

/// Front ends cut off from all control machines for an hour, and back.
pub struct ConfigRejoin;

const REJOIN_VERSIONS: Metric = metric("rejoined, versions sent to a front end", "versions");
const REJOIN_BYTES: Metric = metric("rejoined, bytes to and from a front end until it follows", "B");
const REJOIN_MESSAGES: Metric = metric("rejoined, messages in the busiest second", "messages/s");
const REJOIN_BUSIEST: Metric = metric("rejoined, bytes in the busiest second", "B/s");
const REJOIN_TIME: Metric = metric("rejoined, until all run the newest versions", "s");
const MISSED: Metric = metric("versions published during the cut", "versions");

/// Front ends that stay connected during the cut.
const CONNECTED: u64 = 5;

/// When the cut begins.
const CUT_AT: u64 = 5 * SECOND;

/// No version is published in the last while of the cut, so that what is sent afterwards is counted by itself.
const QUIET: u64 = 5 * SECOND;

/// How long it may take until all follow again: the longest pause and some.
const REJOIN_MOST: u64 = 60 * SECOND;

/// What a cut and its end have caused.
#[derive(Clone, Copy, Debug)]
pub struct Rejoined {
    /// Versions published while they were cut off.
    pub missed: u64,
    /// Versions sent to all that were cut off, after the cut.
    pub versions: u64,
    /// Bytes of the machine in that time.
    pub bytes: u64,
    /// Messages and bytes of the busiest second.
    pub busiest: (u64, u64),
    /// How long it took until all ran the newest.
    pub time: u64,
}

/// Plays a cut of so many front ends, for so long.
pub fn rejoin(plan: Plan, cut: u64, cut_span: u64) -> Result<Rejoined, String> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut world = World::new(plan)?;
    world.run_until(CUT_AT);
    (0..cut as usize).for_each(|n| world.cut(n, true));
    let end = CUT_AT + cut_span;
    let gaps = Exp::new(VERSIONS_A_SECOND).map_err(|e| e.to_string())?;
    let (mut at, mut missed) = (CUT_AT, 0);
    loop {
        at += (gaps.sample(&mut random) * SECOND as f64) as u64;
        if at + QUIET > end {
            break;
        }
        missed += 1;
        world.publish(at, if missed % 2 == 0 { Kind::Classes } else { Kind::Routes });
    }
    world.run_until(end);
    let before = world.load(0).clone();
    (0..cut as usize).for_each(|n| world.cut(n, false));
    let newest: Vec<(Kind, u64)> =
        world.published().iter().filter_map(|(&kind, versions)| Some((kind, versions.last()?.0))).collect();
    let follows = |world: &World| {
        (0..cut as usize).all(|n| newest.iter().all(|&(kind, v)| world.running(n, kind) == Some(v)))
    };
    while !follows(&world) {
        if world.now() > end + REJOIN_MOST {
            return Err("not all front ends run the newest versions".into());
        }
        world.run_until(world.now() + STEP);
    }
    let after = world.load(0);
    Ok(Rejoined {
        missed,
        versions: after.versions_sent - before.versions_sent,
        bytes: bytes(after) - bytes(&before),
        busiest: after.busiest(end, world.now()),
        time: world.now() - end,
    })
}

impl ConfigRejoin {
    /// The world of this row.
    pub fn plan(cut: u64, seed: u64) -> Plan {
        Plan { rules: Plan::AT_ONCE, ..Plan::new((cut + CONNECTED) as usize, 1, seed) }
    }

    fn figures(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let rejoined = rejoin(Self::plan(size, seed), size, 3_600 * SECOND)?;
        let each = |sum: u64| sum as f64 / size as f64;
        let figures = [
            (MISSED, rejoined.missed as f64),
            (REJOIN_VERSIONS, each(rejoined.versions)),
            (REJOIN_BYTES, each(rejoined.bytes)),
            (REJOIN_MESSAGES, rejoined.busiest.0 as f64),
            (REJOIN_BUSIEST, rejoined.busiest.1 as f64),
            (REJOIN_TIME, rejoined.time as f64 / SECOND as f64),
        ];
        Ok(figures.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
    }
}

impl Row for ConfigRejoin {
    fn name(&self) -> &'static str {
        "config-rejoin"
    }

    fn role(&self) -> Role {
        Role::ControlService
    }

    fn about(&self) -> &'static str {
        "front ends of one control machine cut off from it for an hour with 31,000 versions a day, then back; five \
         others stay connected; waves off, 10 functions"
    }

    fn variable(&self) -> &'static str {
        "front ends cut off"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 314]
    }

    fn planned_size(&self) -> u64 {
        FRONT_ENDS_A_MACHINE
    }

    fn bounds(&self) -> Vec<Bound> {
        Vec::new()
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        64_000_000 + size * 120_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::figures(size, seed).map_err(failed)
    }
}
