//! Rows of the cost of the control service, by the number of its front ends: in normal operation, after the
//! failure of another control service, and when front ends restart or reconnect.

use crate::config_simulation::{
    Scenario, ServiceLoad, Simulation, FRONT_ENDS_PER_SERVICE, STARTUP_TIME, VERSIONS_PER_SECOND,
};
use crate::cost::HeapMeter;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::bounds::MAX_CONTROL_MACHINE_TIME;
use crate::rows::network::{TrafficCount, SECOND};
use badgerwind_config::client::Report;
use badgerwind_config::waves::Waves;
use badgerwind_config::wire::Health;
use badgerwind_config::Kind;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};

/// Time limit for all front ends to acknowledge a version.
const MAX_VERSION_TIME: u64 = 20 * SECOND;

/// Interval at which the simulation is checked for the expected state.
const CHECK_INTERVAL: u64 = SECOND / 20;

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

fn total_bytes(load: &ServiceLoad) -> u64 {
    load.bytes_in + load.bytes_out
}

/// Row of the work of a control service for one version, and while no versions are published.
pub struct ConfigService;

impl ConfigService {
    /// The measured scenario: one control service, without waves.
    pub fn scenario(size: u64, seed: u64) -> Scenario {
        let base = Scenario::new(size as usize, 1, seed);
        Scenario { rollout: Scenario::ALL_AT_ONCE, every_change: true, ..base }
    }

    fn measurements(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let mut simulation = Simulation::new(Self::scenario(size, seed))?;
        simulation.run_until(STARTUP_TIME);
        let started = simulation.load(0).clone();
        simulation.run_until(STARTUP_TIME + SECOND);
        let idle = simulation.load(0).clone();
        let published = STARTUP_TIME + SECOND;
        simulation.publish(published, Kind::Classes);
        let deadline = published + MAX_VERSION_TIME;
        let acknowledged = run_until_acknowledged(&mut simulation, size, Kind::Classes, deadline)?;
        let after = simulation.load(0).clone();
        let busy_time = after.processor_us - idle.processor_us;
        let idle_time = idle.processor_us - started.processor_us;
        let elapsed = (acknowledged - published) as f64 / SECOND as f64;
        let version_time = (busy_time - idle_time * elapsed).max(0.0);
        let version_bytes = (total_bytes(&after) - total_bytes(&idle)) as f64;
        let idle_offers = (idle.offers_evaluated - started.offers_evaluated) as f64;
        let idle_bytes = idle_bytes_per_second(&started, size);
        let offers = (after.offers_evaluated - idle.offers_evaluated) as f64;
        let values = [
            (MESSAGES, (after.messages - idle.messages) as f64),
            (BYTES_IN, (after.bytes_in - idle.bytes_in) as f64),
            (BYTES_OUT, (after.bytes_out - idle.bytes_out) as f64),
            (OFFERS, offers),
            (TIME, version_time),
            (IDLE_OFFERS, idle_offers),
            // Each front end has four open requests, which the real service polls 100 times a second.
            (IDLE_TIMERS, (4 * 100 * size) as f64),
            (IDLE_BYTES, idle_bytes),
            (IDLE_TIME, idle_time),
            (HEAP, front_end_state_heap(size) as f64),
            (DAY_BYTES, idle_bytes + version_bytes * VERSIONS_PER_SECOND),
            (DAY_TIME, idle_time + version_time * VERSIONS_PER_SECOND),
        ];
        Ok(values.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
    }
}

/// Runs until all front ends run the newest version of a kind and have acknowledged it. Returns the time
/// then.
fn run_until_acknowledged(
    simulation: &mut Simulation,
    size: u64,
    kind: Kind,
    deadline: u64,
) -> Result<u64, String> {
    let newest = simulation.published().get(&kind).and_then(|v| v.last()).map(|v| v.0);
    let all_run = |simulation: &Simulation| (0..size as usize).all(|n| simulation.running(n, kind) == newest);
    while !all_run(simulation) {
        if simulation.now() >= deadline {
            return Err(format!("not all front ends run version {newest:?} of {}", kind.name()));
        }
        simulation.run_until(simulation.now() + CHECK_INTERVAL);
    }
    // The last acknowledgements are still in transit.
    simulation.run_until(simulation.now() + CHECK_INTERVAL);
    Ok(simulation.now())
}

/// Bytes a second of front ends that each repeat a request for each of the four kinds every 20 s, because
/// there is no new version. The size of a request is the mean of the first requests, which are all messages
/// until `started`.
fn idle_bytes_per_second(started: &ServiceLoad, size: u64) -> f64 {
    let request = started.bytes_in as f64 / started.messages.max(1) as f64;
    let response = crate::config_simulation::response_bytes(None).0 as f64;
    4.0 * size as f64 * (request + response) / 20.0
}

/// Heap of the state that the waves keep for front ends that run a version of each kind.
fn front_end_state_heap(size: u64) -> u64 {
    let heap = HeapMeter::start();
    let mut waves = Waves::new(Scenario::ALL_AT_ONCE);
    for kind in Kind::ALL {
        // Publishing the first version of a kind never fails.
        _ = waves.publish(kind, 1, "".into());
    }
    let report = |kind| Report { kind, running: Some(1), offered: None, rejected: None };
    let reports = Kind::ALL.map(report);
    // All kinds are reported at once. Separate reports of each kind would leave the same state.
    for number in 0..size {
        waves.record_report(0, &format!("front-{number:05}"), &reports, Health::default());
    }
    let bytes = heap.net_bytes();
    drop(waves);
    bytes
}

/// All rows of the control service.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![
        Box::new(ConfigService),
        Box::new(ConfigMachineLost),
        Box::new(ConfigRestart),
        Box::new(ConfigRejoin),
    ]
}

impl Row for ConfigService {
    fn name(&self) -> &'static str {
        "config-service"
    }

    fn role(&self) -> Role {
        Role::ControlService
    }

    fn about(&self) -> &'static str {
        "one version of classes (10 functions), offered to all front ends at once by one control service \
         with real waves and messages; open requests are evaluated as often as by the real service; \
         processor time without sockets and timers"
    }

    fn variable(&self) -> &'static str {
        "connected front ends"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 314, 1_000, 3_000, 11_000]
    }

    fn planned_size(&self) -> u64 {
        FRONT_ENDS_PER_SERVICE
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![Bound {
            metric: DAY_TIME,
            max: MAX_CONTROL_MACHINE_TIME,
            source: "one core of a control machine (assumed)",
        }]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        16_000_000 + size * 120_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::measurements(size, seed).map_err(failed)
    }
}

/// Row of the failure of a control service, whose front ends switch to the next one.
pub struct ConfigMachineLost;

const LOST_MESSAGES: Metric =
    metric("machine lost, messages in the busiest second at the next one", "messages/s");
const LOST_BYTES: Metric = metric("machine lost, bytes in the busiest second at the next one", "B/s");
const LOST_FRONT_ENDS: Metric =
    metric("machine lost, front ends of the next one after a minute", "front ends");
const LOST_TIME: Metric = metric("machine lost, until all follow again", "s");

/// Number of control services in [`ConfigMachineLost`].
const SERVICES: u64 = 4;

/// When the control service fails.
const FAILED_AT: u64 = 10 * SECOND;

impl ConfigMachineLost {
    fn measurements(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let front_ends = size * SERVICES;
        let base = Scenario::new(front_ends as usize, SERVICES as usize, seed);
        let mut simulation = Simulation::new(Scenario { rollout: Scenario::ALL_AT_ONCE, ..base })?;
        simulation.run_until(FAILED_AT);
        simulation.fail_service(0);
        // The next service has one open request per kind of its own front ends and of those of the failed
        // service.
        let expected_requests = 4 * 2 * size as usize;
        let mut recovered = None;
        while simulation.now() < FAILED_AT + 60 * SECOND {
            simulation.run_until(simulation.now() + CHECK_INTERVAL);
            if recovered.is_none() && simulation.open_requests(1) == expected_requests {
                recovered = Some(simulation.now() - FAILED_AT);
            }
        }
        let busiest_second = simulation.load(1).busiest_second(FAILED_AT, FAILED_AT + 9 * SECOND);
        let seconds = recovered.map_or(60.0, |time| time as f64 / SECOND as f64);
        let values = [
            (LOST_MESSAGES, busiest_second.messages as f64),
            (LOST_BYTES, busiest_second.bytes as f64),
            (LOST_FRONT_ENDS, simulation.open_requests(1) as f64 / 4.0),
            (LOST_TIME, seconds),
        ];
        Ok(values.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
    }
}

impl Row for ConfigMachineLost {
    fn name(&self) -> &'static str {
        "config-machine-lost"
    }

    fn role(&self) -> Role {
        Role::ControlService
    }

    fn about(&self) -> &'static str {
        "one of four control services fails; all its front ends have the same next service in their \
         settings, which serves as many front ends before the failure"
    }

    fn variable(&self) -> &'static str {
        "front ends of the lost machine"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 314, 1_000]
    }

    fn planned_size(&self) -> u64 {
        FRONT_ENDS_PER_SERVICE
    }

    fn bounds(&self) -> Vec<Bound> {
        Vec::new()
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        16_000_000 + SERVICES * size * 120_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::measurements(size, seed).map_err(failed)
    }
}

/// Row of front ends that restart at the same time.
pub struct ConfigRestart;

const NEW_DISK_VERSIONS: Metric = metric("new disk, versions sent to a front end", "versions");
const NEW_DISK_BYTES: Metric = metric("new disk, bytes to and from a front end until it follows", "B");
const NEW_DISK_BUSIEST: Metric = metric("new disk, bytes in the busiest second at the machine", "B/s");
const NEW_DISK_MESSAGES: Metric =
    metric("new disk, messages in the busiest second at the machine", "messages/s");
const STORED_VERSIONS: Metric = metric("stored settings, versions sent to a front end", "versions");
const STORED_BYTES: Metric = metric("stored settings, bytes to and from a front end until it follows", "B");
const STORED_BUSIEST: Metric = metric("stored settings, bytes in the busiest second at the machine", "B/s");

/// Number of functions in the settings of [`ConfigRestart`].
const RESTART_FUNCTIONS: u64 = 200;

/// When the front ends restart. All run a version of each kind by then.
const RESTART_AT: u64 = 15 * SECOND;

/// Simulated time after the restart.
const RESTART_TIME: u64 = 4 * SECOND;

/// Work of the control service after the restart.
struct RestartCost {
    versions: u64,
    bytes: u64,
    /// Largest numbers of messages and of bytes in one second.
    busiest_second: TrafficCount,
}

fn simulate_restart(size: u64, seed: u64, keep_disk: bool) -> Result<RestartCost, String> {
    let base = Scenario::new(size as usize, 1, seed);
    let scenario = Scenario { rollout: Scenario::ALL_AT_ONCE, functions: RESTART_FUNCTIONS, ..base };
    let mut simulation = Simulation::new(scenario)?;
    for kind in Kind::ALL {
        simulation.publish(STARTUP_TIME, kind);
    }
    simulation.run_until(RESTART_AT);
    let before = simulation.load(0).clone();
    for front_end in 0..size as usize {
        simulation.restart(front_end, keep_disk)?;
    }
    simulation.run_until(RESTART_AT + RESTART_TIME);
    for kind in Kind::ALL {
        if (0..size as usize).any(|n| simulation.running(n, kind) != Some(1)) {
            return Err(format!("not all front ends run version 1 of {} after the restart", kind.name()));
        }
    }
    let after = simulation.load(0);
    Ok(RestartCost {
        versions: after.versions_sent - before.versions_sent,
        bytes: total_bytes(after) - total_bytes(&before),
        busiest_second: after.busiest_second(RESTART_AT, RESTART_AT + RESTART_TIME),
    })
}

impl ConfigRestart {
    fn measurements(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let new_disk = simulate_restart(size, seed, false)?;
        let stored = simulate_restart(size, seed, true)?;
        let per_front_end = |sum: u64| sum as f64 / size as f64;
        let values = [
            (NEW_DISK_VERSIONS, per_front_end(new_disk.versions)),
            (NEW_DISK_BYTES, per_front_end(new_disk.bytes)),
            (NEW_DISK_MESSAGES, new_disk.busiest_second.messages as f64),
            (NEW_DISK_BUSIEST, new_disk.busiest_second.bytes as f64),
            (STORED_VERSIONS, per_front_end(stored.versions)),
            (STORED_BYTES, per_front_end(stored.bytes)),
            (STORED_BUSIEST, stored.busiest_second.bytes as f64),
        ];
        Ok(values.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
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
        "the front ends of one control service restart at the same time, with the stored settings or with a \
         new disk; 200 functions, one version of each of the four kinds"
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
        Self::measurements(size, seed).map_err(failed)
    }
}

/// Row of front ends that reconnect after an hour of isolation from all control services.
pub struct ConfigRejoin;

const REJOIN_VERSIONS: Metric = metric("rejoined, versions sent to a front end", "versions");
const REJOIN_BYTES: Metric = metric("rejoined, bytes to and from a front end until it follows", "B");
const REJOIN_MESSAGES: Metric = metric("rejoined, messages in the busiest second", "messages/s");
const REJOIN_BUSIEST: Metric = metric("rejoined, bytes in the busiest second", "B/s");
const REJOIN_TIME: Metric = metric("rejoined, until all run the newest versions", "s");
const MISSED: Metric = metric("versions published during the cut", "versions");

/// Number of front ends that stay connected during the isolation.
const CONNECTED: u64 = 5;

/// When the isolation begins.
const ISOLATED_AT: u64 = 5 * SECOND;

/// Time without new versions before the isolation ends, so that the connected front ends have received all
/// versions when the count begins.
const QUIET_TIME: u64 = 5 * SECOND;

/// Time limit for all front ends to run the newest versions again: the longest backoff plus a margin.
const MAX_REJOIN_TIME: u64 = 60 * SECOND;

/// Cost of reconnection after an isolation.
#[derive(Clone, Copy, Debug)]
pub struct RejoinCost {
    /// Number of versions published during the isolation.
    pub versions_missed: u64,
    /// Number of versions that the control service sent afterwards, to all reconnected front ends together.
    pub versions_sent: u64,
    /// Bytes that the control service received and sent afterwards.
    pub bytes: u64,
    /// Largest numbers of messages and of bytes in one second.
    pub busiest_second: TrafficCount,
    /// Time until all front ends ran the newest versions, in microseconds.
    pub time: u64,
}

/// Simulates the isolation of the first `isolated` front ends for `duration` microseconds, and their
/// reconnection.
pub fn simulate_rejoin(scenario: Scenario, isolated: u64, duration: u64) -> Result<RejoinCost, String> {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let mut simulation = Simulation::new(scenario)?;
    simulation.run_until(ISOLATED_AT);
    (0..isolated as usize).for_each(|n| simulation.set_isolated(n, true));
    let end = ISOLATED_AT + duration;
    let gaps = Exp::new(VERSIONS_PER_SECOND).map_err(|e| e.to_string())?;
    let (mut at, mut versions_missed) = (ISOLATED_AT, 0);
    loop {
        at += (gaps.sample(&mut rng) * SECOND as f64) as u64;
        if at + QUIET_TIME > end {
            break;
        }
        versions_missed += 1;
        simulation.publish(at, if versions_missed % 2 == 0 { Kind::Classes } else { Kind::Routes });
    }
    simulation.run_until(end);
    let before = simulation.load(0).clone();
    (0..isolated as usize).for_each(|n| simulation.set_isolated(n, false));
    let newest: Vec<(Kind, u64)> = simulation
        .published()
        .iter()
        .filter_map(|(&kind, versions)| Some((kind, versions.last()?.0)))
        .collect();
    let all_run_newest = |simulation: &Simulation| {
        (0..isolated as usize).all(|n| newest.iter().all(|&(kind, v)| simulation.running(n, kind) == Some(v)))
    };
    while !all_run_newest(&simulation) {
        if simulation.now() > end + MAX_REJOIN_TIME {
            return Err("not all front ends run the newest versions after the isolation".into());
        }
        simulation.run_until(simulation.now() + CHECK_INTERVAL);
    }
    let after = simulation.load(0);
    Ok(RejoinCost {
        versions_missed,
        versions_sent: after.versions_sent - before.versions_sent,
        bytes: total_bytes(after) - total_bytes(&before),
        busiest_second: after.busiest_second(end, simulation.now()),
        time: simulation.now() - end,
    })
}

impl ConfigRejoin {
    /// The measured scenario: one control service without waves, the isolated front ends, and a few that stay
    /// connected.
    pub fn scenario(isolated: u64, seed: u64) -> Scenario {
        let base = Scenario::new((isolated + CONNECTED) as usize, 1, seed);
        Scenario { rollout: Scenario::ALL_AT_ONCE, ..base }
    }

    fn measurements(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let cost = simulate_rejoin(Self::scenario(size, seed), size, 3_600 * SECOND)?;
        let per_front_end = |sum: u64| sum as f64 / size as f64;
        let values = [
            (MISSED, cost.versions_missed as f64),
            (REJOIN_VERSIONS, per_front_end(cost.versions_sent)),
            (REJOIN_BYTES, per_front_end(cost.bytes)),
            (REJOIN_MESSAGES, cost.busiest_second.messages as f64),
            (REJOIN_BUSIEST, cost.busiest_second.bytes as f64),
            (REJOIN_TIME, cost.time as f64 / SECOND as f64),
        ];
        Ok(values.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
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
        "front ends of one control service are isolated from it for an hour with 31,000 versions a day, and \
         reconnect; five others stay connected; without waves, 10 functions"
    }

    fn variable(&self) -> &'static str {
        "front ends cut off"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 314]
    }

    fn planned_size(&self) -> u64 {
        FRONT_ENDS_PER_SERVICE
    }

    fn bounds(&self) -> Vec<Bound> {
        Vec::new()
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        64_000_000 + size * 120_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::measurements(size, seed).map_err(failed)
    }
}
