//! Rows of the cost of the configuration stream at a front end, by the size of the settings and by the
//! number of listed workers.

use crate::config_simulation::{
    request_bytes, response_bytes, settings, DEFAULT_TIMING, VERSIONS_PER_SECOND,
};
use crate::cost::{HeapMeter, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use crate::rows::bounds::{MAX_CONTROL_TRAFFIC, MAX_HEAP, MAX_PROCESSOR_TIME};
use badgerwind::interface::{Availability, ListKind, WorkerEntry};
use badgerwind::Router;
use badgerwind_config::client::{Action, Client, Input};
use badgerwind_config::shadow::{driver_limits, replay, RecordedCall};
use badgerwind_config::{storage, Kind};
use badgerwind_control::request::ResourceRequest;
use badgerwind_driver::Driver;
use badgerwind_settings::{read_tree, Settings};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Most recorded calls that a front end replays before a version runs.
const REPLAYED_CALLS: u64 = 2_000;

/// Time between two calls at a front end of the planned size, in microseconds.
const CALL_INTERVAL: u64 = 1_000_000 / 127;

/// Most distinct functions that the replayed calls name.
const MAX_CALLED_FUNCTIONS: u64 = 400;

/// Number of listed workers in the row that varies the size of the settings.
const DEFAULT_WORKERS: u64 = 120;

/// Most routers that run at the same time: the current one, and four that complete their calls.
const ROUTERS: u64 = 5;

/// Number of versions of each kind over which the processor time is averaged.
const VERSIONS_PER_KIND: u64 = 3;

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { name, unit }
}

const CLASSES_BYTES: Metric = metric("a version of classes, in + out", "B");
const ROUTES_BYTES: Metric = metric("a version of routes, in + out", "B");
const FLEET_BYTES: Metric = metric("a version of the fleet, in + out", "B");
const LIMITS_BYTES: Metric = metric("a version of limits, in + out", "B");
const ACKNOWLEDGEMENT_BYTES: Metric = metric("acknowledgement of a version", "B");
const CLASSES_TIME: Metric = metric("a version of classes, read, checked and stored", "us");
const ROUTES_TIME: Metric = metric("a version of routes, read, checked and stored", "us");
const FLEET_TIME: Metric = metric("a version of the fleet, read, checked and stored", "us");
const LIMITS_TIME: Metric = metric("a version of limits, read, checked and stored", "us");
const REPLAY_TIME: Metric = metric("replay of 2,000 calls before a version, 120 workers", "us");
const ROUTER_TIME: Metric = metric("start of a router", "us");
const SETTINGS_HEAP: Metric = metric("heap of the client and the settings", "B");
const ROUTERS_HEAP: Metric = metric("heap of five routers with the list, no calls", "B");
const TOTAL_HEAP: Metric = metric("heap of client, settings and five routers", "B");
const CLASSES_BYTES_PER_SECOND: Metric = metric("31,000 versions of classes a day, in + out", "B/s");
const ROUTES_BYTES_PER_SECOND: Metric = metric("31,000 versions of routes a day, in + out", "B/s");
const LIMITS_BYTES_PER_SECOND: Metric = metric("31,000 versions of limits a day, in + out", "B/s");
const CLASSES_TIME_PER_SECOND: Metric = metric("31,000 versions of classes a day, without replay", "us/s");
const ROUTES_TIME_PER_SECOND: Metric = metric("31,000 versions of routes a day, without replay", "us/s");
const LIMITS_TIME_PER_SECOND: Metric = metric("31,000 versions of limits a day, without replay", "us/s");
const REPLAY_TIME_PER_SECOND: Metric = metric("31,000 replays a day, 120 workers", "us/s");

const REPLAY: Metric = metric("replay of 2,000 calls", "us");
const REPLAY_PER_SECOND: Metric = metric("31,000 replays a day", "us/s");

/// Row of the cost of one version at a front end, by the size of the settings.
pub struct ConfigClient;

/// Cost of one version at a front end.
#[derive(Clone, Copy, Default)]
struct VersionCost {
    bytes_in: u64,
    bytes_out: u64,
    processor_us: f64,
}

/// Offers versions to a client one at a time, and carries out its actions immediately.
struct ClientHarness {
    client: Client,
    /// The open request of each kind.
    open_requests: BTreeMap<Kind, u64>,
    /// The settings applied last.
    settings: Option<std::sync::Arc<Settings>>,
}

impl ClientHarness {
    fn new(functions: u64) -> Result<Self, String> {
        let file = settings::settings_file(functions)?;
        let name = ("front-00000".to_owned(), "main".to_owned());
        let (client, ..) = Client::new(name, file, Vec::new(), DEFAULT_TIMING)
            .map_err(|problems| format!("{problems:?}"))?;
        let mut harness = ClientHarness { client, open_requests: BTreeMap::new(), settings: None };
        let mut actions = Vec::new();
        harness.client.start(0, &mut actions);
        harness.execute(actions);
        Ok(harness)
    }

    /// Offers a version, which the client reads, checks, stores and applies. Returns the cost.
    fn offer(&mut self, kind: Kind, version: u64, text: &str) -> Result<VersionCost, String> {
        let request = ResourceRequest { front_end: "front-00000".into(), kind, running: None };
        let response = request.response(version, text, "control-0", version);
        let (bytes_in, body) = response_bytes(Some(&response));
        let request_id = self
            .open_requests
            .get(&kind)
            .copied()
            .ok_or_else(|| format!("the client has no open request for {}", kind.name()))?;
        let meter = ProcessorMeter::start();
        let response = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        let mut actions = Vec::new();
        self.client.handle(0, Input::Response { kind, request_id, response: Some(response) }, &mut actions);
        let bytes_out = self.execute(actions);
        let processor_us = meter.microseconds();
        let running = self.client.report().into_iter().find(|r| r.kind == kind).and_then(|r| r.running);
        if running != Some(version) {
            return Err(format!(
                "version {version} of {} does not run: {:?}",
                kind.name(),
                self.client.report()
            ));
        }
        Ok(VersionCost { bytes_in, bytes_out, processor_us })
    }

    /// Carries out the client's actions until none is left. Returns the encoded size of its requests.
    fn execute(&mut self, mut actions: Vec<Action>) -> u64 {
        let mut bytes = 0;
        while !actions.is_empty() {
            let input = match actions.remove(0) {
                Action::SendRequest { kind, request_id, request } => {
                    let service = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7_000);
                    bytes += request_bytes(service, kind, &request).0;
                    self.open_requests.insert(kind, request_id);
                    continue;
                }
                Action::Prepare { ticket, .. } => Input::Prepared { ticket, result: Ok(()) },
                Action::Store { ticket, parts } => {
                    // The encoding that would be written to disk; disk I/O is not part of the processor time.
                    std::hint::black_box(storage::encode(&parts));
                    Input::Stored { ticket, result: Ok(()) }
                }
                Action::Apply { ticket, settings } => {
                    self.settings = Some(settings);
                    Input::Applied { ticket }
                }
            };
            self.client.handle(0, input, &mut actions);
        }
        bytes
    }
}

/// Mean processor time of several versions of a kind, and the bytes of the last of them.
fn mean_version_cost(
    functions: u64,
    kind: Kind,
    seed: u64,
    harness: &mut ClientHarness,
) -> Result<VersionCost, String> {
    let mut mean = VersionCost::default();
    let first = 100 + seed % 100;
    for version in first..first + VERSIONS_PER_KIND {
        let cost = harness.offer(kind, version, &settings::part_text(kind, functions, version))?;
        mean.processor_us += cost.processor_us / VERSIONS_PER_KIND as f64;
        (mean.bytes_in, mean.bytes_out) = (cost.bytes_in, cost.bytes_out);
    }
    Ok(mean)
}

/// Encoded size of the request that acknowledges a version of classes.
pub fn acknowledgement_bytes(functions: u64, seed: u64) -> Result<u64, String> {
    let mut harness = ClientHarness::new(functions)?;
    let cost = mean_version_cost(functions, Kind::Classes, seed, &mut harness)?;
    Ok(cost.bytes_out)
}

/// A list of identical workers.
fn worker_entries(count: u64) -> Vec<WorkerEntry> {
    let entry = |worker| WorkerEntry {
        worker,
        zone: 0,
        cell: 0,
        kind: 0,
        size: 1.0,
        availability: Availability::Ready,
        born: None,
    };
    (0..count as u32).map(entry).collect()
}

/// Generates calls as a front end records them.
fn recorded_calls(functions: u64) -> Vec<RecordedCall> {
    let called = functions.clamp(1, MAX_CALLED_FUNCTIONS);
    let call = |number: u64| RecordedCall {
        arrived_at: 1_000_000 + number * CALL_INTERVAL,
        class: "check".into(),
        tenant: "shire".into(),
        // The step is a prime above the number of functions, so that the calls are spread over all of them.
        function: settings::function_name(number * 7_919 % called),
        sender_timeout: settings::MAX_DEADLINE,
        served: true,
        latency: 60_000 + number * 37 % 80 * 1_000,
    };
    (0..REPLAYED_CALLS).map(call).collect()
}

/// Processor time of a replay, in microseconds.
fn replay_time(settings: &Settings, functions: u64, listed: u64) -> Result<f64, String> {
    let (entries, calls) = (worker_entries(listed), recorded_calls(functions));
    let meter = ProcessorMeter::start();
    let result = replay(settings, &entries, &calls)?;
    let microseconds = meter.microseconds();
    if result.calls as u64 != REPLAYED_CALLS {
        return Err(format!("only {} of {REPLAYED_CALLS} calls were replayed", result.calls));
    }
    Ok(microseconds)
}

/// Processor time to start a router with the list, in microseconds, and its heap in bytes.
fn router_cost(settings: &Settings, listed: u64) -> (f64, u64) {
    let (heap, meter) = (HeapMeter::start(), ProcessorMeter::start());
    let router = Router::new(1, settings.router.clone());
    let mut driver: Driver<Router, (), u64, ()> = Driver::new(router, driver_limits(settings));
    let list = badgerwind_driver::Input::List { kind: ListKind::Whole, entries: worker_entries(listed) };
    driver.on_batch(1, [list], &mut Vec::new());
    let cost = (meter.microseconds(), heap.net_bytes());
    drop(driver);
    cost
}

impl ConfigClient {
    fn measurements(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let heap = HeapMeter::start();
        let mut harness = ClientHarness::new(size)?;
        let mut costs = BTreeMap::new();
        for kind in Kind::ALL {
            costs.insert(kind, mean_version_cost(size, kind, seed, &mut harness)?);
        }
        let settings_heap = heap.net_bytes();
        let settings = harness.settings.clone().ok_or("no settings were applied")?;
        let replay = replay_time(&settings, size, DEFAULT_WORKERS)?;
        let (router_time, router_heap) = router_cost(&settings, DEFAULT_WORKERS);
        let routers_heap = router_heap * ROUTERS;
        let bytes = |kind: Kind| (costs[&kind].bytes_in + costs[&kind].bytes_out) as f64;
        let time = |kind: Kind| costs[&kind].processor_us;
        let values = [
            (CLASSES_BYTES, bytes(Kind::Classes)),
            (ROUTES_BYTES, bytes(Kind::Routes)),
            (FLEET_BYTES, bytes(Kind::Fleet)),
            (LIMITS_BYTES, bytes(Kind::Limits)),
            (ACKNOWLEDGEMENT_BYTES, costs[&Kind::Classes].bytes_out as f64),
            (CLASSES_TIME, time(Kind::Classes)),
            (ROUTES_TIME, time(Kind::Routes)),
            (FLEET_TIME, time(Kind::Fleet)),
            (LIMITS_TIME, time(Kind::Limits)),
            (REPLAY_TIME, replay),
            (ROUTER_TIME, router_time),
            (SETTINGS_HEAP, settings_heap as f64),
            (ROUTERS_HEAP, routers_heap as f64),
            (TOTAL_HEAP, (settings_heap + routers_heap) as f64),
            (CLASSES_BYTES_PER_SECOND, bytes(Kind::Classes) * VERSIONS_PER_SECOND),
            (ROUTES_BYTES_PER_SECOND, bytes(Kind::Routes) * VERSIONS_PER_SECOND),
            (LIMITS_BYTES_PER_SECOND, bytes(Kind::Limits) * VERSIONS_PER_SECOND),
            (CLASSES_TIME_PER_SECOND, (time(Kind::Classes) + router_time) * VERSIONS_PER_SECOND),
            (ROUTES_TIME_PER_SECOND, time(Kind::Routes) * VERSIONS_PER_SECOND),
            (LIMITS_TIME_PER_SECOND, time(Kind::Limits) * VERSIONS_PER_SECOND),
            (REPLAY_TIME_PER_SECOND, replay * VERSIONS_PER_SECOND),
        ];
        Ok(values.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
    }
}

/// All rows of the configuration stream at a front end.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(ConfigClient), Box::new(ConfigReplay)]
}

impl Row for ConfigClient {
    fn name(&self) -> &'static str {
        "config-client"
    }

    fn role(&self) -> Role {
        Role::FrontEndControl
    }

    fn about(&self) -> &'static str {
        "cost of one version at a front end: bytes of HTTP heads and bodies, processor time without network \
         and disk, heap; the whole part is sent, at most 4 MiB (about 56,000 functions)"
    }

    fn variable(&self) -> &'static str {
        "functions in the settings"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 300, 1_000, 3_000, 11_000, 30_000]
    }

    fn planned_size(&self) -> u64 {
        400_000
    }

    fn bounds(&self) -> Vec<Bound> {
        let bytes = |metric| Bound { metric, max: MAX_CONTROL_TRAFFIC, source: "6 KB a second for control" };
        let time = |metric| Bound { metric, max: MAX_PROCESSOR_TIME, source: "1% of a core for control" };
        vec![
            bytes(CLASSES_BYTES_PER_SECOND),
            bytes(ROUTES_BYTES_PER_SECOND),
            bytes(LIMITS_BYTES_PER_SECOND),
            time(CLASSES_TIME_PER_SECOND),
            time(ROUTES_TIME_PER_SECOND),
            time(LIMITS_TIME_PER_SECOND),
            time(REPLAY_TIME_PER_SECOND),
            Bound { metric: TOTAL_HEAP, max: MAX_HEAP, source: "128 MB for control" },
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        32_000_000 + size * 10_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::measurements(size, seed).map_err(failed)
    }
}

/// Row of the cost of the replay before a version runs, by the number of listed workers.
pub struct ConfigReplay;

/// Number of functions in the settings of [`ConfigReplay`].
const REPLAY_FUNCTIONS: u64 = 1_000;

impl ConfigReplay {
    fn measurements(size: u64) -> Result<Vec<Measurement>, String> {
        let file = settings::settings_file(REPLAY_FUNCTIONS)?;
        let settings = read_tree(&file).map_err(|problems| format!("{problems:?}"))?;
        let replay = replay_time(&settings, REPLAY_FUNCTIONS, size)?;
        Ok(vec![
            Measurement { metric: REPLAY, value: replay },
            Measurement { metric: REPLAY_PER_SECOND, value: replay * VERSIONS_PER_SECOND },
        ])
    }
}

impl Row for ConfigReplay {
    fn name(&self) -> &'static str {
        "config-replay"
    }

    fn role(&self) -> Role {
        Role::FrontEndControl
    }

    fn about(&self) -> &'static str {
        "replay of 2,000 recorded calls of 16 s through a new router before a version runs, 1,000 functions"
    }

    fn variable(&self) -> &'static str {
        "listed workers"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 100, 300, 1_000, 3_000, 11_000, 16_000]
    }

    fn planned_size(&self) -> u64 {
        16_000
    }

    fn bounds(&self) -> Vec<Bound> {
        let source = "1% of a core for control";
        vec![Bound { metric: REPLAY_PER_SECOND, max: MAX_PROCESSOR_TIME, source }]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        64_000_000 + size * 16_000
    }

    fn measure(&self, size: u64, _seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::measurements(size).map_err(failed)
    }
}
