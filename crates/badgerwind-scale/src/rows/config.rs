//! A front end's costs of the configuration stream, by the size of the settings and of the list of workers.

use crate::config_world::{request_bytes, response_bytes, settings, VERSIONS_A_SECOND};
use crate::cost::{HeapMeter, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{Availability, ListKind, WorkerEntry};
use badgerwind::Router;
use badgerwind_config::client::{Action, Client, Input, Timing};
use badgerwind_config::shadow::{driver_limits, replay, RecordedCall};
use badgerwind_config::{storage, Kind};
use badgerwind_control::request::ResourceRequest;
use badgerwind_driver::Driver;
use badgerwind_settings::{read_tree, Settings};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// What a front end may use for control.
const MOST_MICROSECONDS: f64 = 10_000.0;
const MOST_BYTES_A_SECOND: f64 = 6_144.0;
const MOST_HEAP: f64 = 134_217_728.0;

/// Calls that are replayed before a version runs, at the most.
const REPLAYED_CALLS: u64 = 2_000;

/// Time between calls of a front end at the planned size, in microseconds.
const CALL_EVERY: u64 = 1_000_000 / 127;

/// Functions that the replayed calls are for.
const CALLED_FUNCTIONS: u64 = 400;

/// Listed workers where the row does not vary them.
const USUAL_WORKERS: u64 = 120;

/// Routers side by side: the newest and four that answer what they hold.
const ROUTERS: u64 = 5;

/// Versions of each kind over which processor time is averaged.
const PLAYED: u64 = 3;

const TIMES: Timing = Timing { stage_timeout: 10_000_000, min_backoff: 500_000, max_backoff: 30_000_000 };

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { name, unit }
}

const CLASSES_BYTES: Metric = metric("a version of classes, in + out", "B");
const ROUTES_BYTES: Metric = metric("a version of routes, in + out", "B");
const FLEET_BYTES: Metric = metric("a version of the fleet, in + out", "B");
const LIMITS_BYTES: Metric = metric("a version of limits, in + out", "B");
const ANSWER_BYTES: Metric = metric("acknowledgement of a version", "B");
const CLASSES_TIME: Metric = metric("a version of classes, read, checked and stored", "us");
const ROUTES_TIME: Metric = metric("a version of routes, read, checked and stored", "us");
const FLEET_TIME: Metric = metric("a version of the fleet, read, checked and stored", "us");
const LIMITS_TIME: Metric = metric("a version of limits, read, checked and stored", "us");
const REPLAY_TIME: Metric = metric("replay of 2,000 calls before a version, 120 workers", "us");
const ROUTER_TIME: Metric = metric("start of a router", "us");
const SETTINGS_HEAP: Metric = metric("heap of the client and the settings", "B");
const ROUTERS_HEAP: Metric = metric("heap of five routers with the list, no calls", "B");
const HEAP: Metric = metric("heap of client, settings and five routers", "B");
const CLASSES_BYTES_A_SECOND: Metric = metric("31,000 versions of classes a day, in + out", "B/s");
const ROUTES_BYTES_A_SECOND: Metric = metric("31,000 versions of routes a day, in + out", "B/s");
const LIMITS_BYTES_A_SECOND: Metric = metric("31,000 versions of limits a day, in + out", "B/s");
const CLASSES_TIME_A_SECOND: Metric = metric("31,000 versions of classes a day, without replay", "us/s");
const ROUTES_TIME_A_SECOND: Metric = metric("31,000 versions of routes a day, without replay", "us/s");
const LIMITS_TIME_A_SECOND: Metric = metric("31,000 versions of limits a day, without replay", "us/s");
const REPLAY_TIME_A_SECOND: Metric = metric("31,000 replays a day, 120 workers", "us/s");

const REPLAY: Metric = metric("replay of 2,000 calls", "us");
const REPLAY_A_SECOND: Metric = metric("31,000 replays a day", "us/s");

/// What a version costs a front end, by the size of the settings.
pub struct ConfigClient;

/// What one version cost.
#[derive(Clone, Copy, Default)]
struct VersionCost {
    bytes_in: u64,
    bytes_out: u64,
    microseconds: f64,
}

/// A client of the stream to which versions are offered one by one.
struct Follower {
    client: Client,
    open: BTreeMap<Kind, u64>,
    settings: Option<std::sync::Arc<Settings>>,
}

impl Follower {
    fn new(functions: u64) -> Result<Self, String> {
        let file = settings::file(functions)?;
        let name = ("front-00000".to_owned(), "main".to_owned());
        let (client, ..) =
            Client::new(name, file, Vec::new(), TIMES).map_err(|problems| format!("{problems:?}"))?;
        let mut follower = Follower { client, open: BTreeMap::new(), settings: None };
        let mut out = Vec::new();
        follower.client.start(0, &mut out);
        follower.carry(out);
        Ok(follower)
    }

    /// Offers a version and lets it go through.
    fn take(&mut self, kind: Kind, version: u64, text: &str) -> Result<VersionCost, String> {
        let question = ResourceRequest { front_end: "front-00000".into(), kind, running: None };
        let response = question.response(version, text, "control-0", version);
        let (bytes_in, body) = response_bytes(Some(&response));
        let ask = self.open.get(&kind).copied().ok_or("no question is open")?;
        let meter = ProcessorMeter::start();
        let response = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        let mut out = Vec::new();
        self.client.handle(0, Input::Response { kind, request_id: ask, response: Some(response) }, &mut out);
        let bytes_out = self.carry(out);
        let microseconds = meter.microseconds();
        let running = self.client.report().into_iter().find(|r| r.kind == kind).and_then(|r| r.running);
        if running != Some(version) {
            return Err(format!("{} {version} does not run: {:?}", kind.name(), self.client.report()));
        }
        Ok(VersionCost { bytes_in, bytes_out, microseconds })
    }

    /// Carries out what the client wants, at once; the bytes of its questions.
    fn carry(&mut self, mut out: Vec<Action>) -> u64 {
        let mut bytes = 0;
        while !out.is_empty() {
            let input = match out.remove(0) {
                Action::SendRequest { kind, request_id, request } => {
                    let service = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7_000);
                    bytes += request_bytes(service, kind, &request).0;
                    self.open.insert(kind, request_id);
                    continue;
                }
                Action::Prepare { ticket, .. } => Input::Prepared { ticket, result: Ok(()) },
                Action::Store { ticket, parts } => {
                    // What the disk would get; the writing itself is no processor time.
                    std::hint::black_box(storage::encode(&parts));
                    Input::Stored { ticket, result: Ok(()) }
                }
                Action::Apply { ticket, settings } => {
                    self.settings = Some(settings);
                    Input::Applied { ticket }
                }
            };
            self.client.handle(0, input, &mut out);
        }
        bytes
    }
}

fn average(functions: u64, kind: Kind, seed: u64, follower: &mut Follower) -> Result<VersionCost, String> {
    let mut sum = VersionCost::default();
    let first = 100 + seed % 100;
    for version in first..first + PLAYED {
        let cost = follower.take(kind, version, &settings::part(kind, functions, version))?;
        sum.microseconds += cost.microseconds / PLAYED as f64;
        (sum.bytes_in, sum.bytes_out) = (cost.bytes_in, cost.bytes_out);
    }
    Ok(sum)
}

/// Bytes of the question by which a front end acknowledges a version of classes.
pub fn acknowledgement_bytes(functions: u64, seed: u64) -> Result<u64, String> {
    let mut follower = Follower::new(functions)?;
    let cost = average(functions, Kind::Classes, seed, &mut follower)?;
    Ok(cost.bytes_out)
}

/// Workers as listed.
fn workers(count: u64) -> Vec<WorkerEntry> {
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

/// Calls as a front end records them.
fn recorded(functions: u64) -> Vec<RecordedCall> {
    let called = functions.clamp(1, CALLED_FUNCTIONS);
    let call = |number: u64| RecordedCall {
        arrived_at: 1_000_000 + number * CALL_EVERY,
        class: "check".into(),
        tenant: "shire".into(),
        // A step that shares no factor with the number of functions spreads calls over all of them.
        function: settings::function_name(number * 7_919 % called),
        sender_timeout: settings::LONGEST_DEADLINE,
        served: true,
        latency: 60_000 + number * 37 % 80 * 1_000,
    };
    (0..REPLAYED_CALLS).map(call).collect()
}

fn replay_microseconds(settings: &Settings, functions: u64, listed: u64) -> Result<f64, String> {
    let (entries, calls) = (workers(listed), recorded(functions));
    let meter = ProcessorMeter::start();
    let shown = replay(settings, &entries, &calls)?;
    let microseconds = meter.microseconds();
    if shown.calls as u64 != REPLAYED_CALLS {
        return Err(format!("only {} calls were replayed", shown.calls));
    }
    Ok(microseconds)
}

/// Processor time and heap of a router that begins with the list.
fn router(settings: &Settings, listed: u64) -> (f64, u64) {
    let (heap, meter) = (HeapMeter::start(), ProcessorMeter::start());
    let router = Router::new(1, settings.router.clone());
    let mut driver: Driver<Router, (), u64, ()> = Driver::new(router, driver_limits(settings));
    let list = badgerwind_driver::Input::List { kind: ListKind::Whole, entries: workers(listed) };
    driver.on_batch(1, [list], &mut Vec::new());
    let figures = (meter.microseconds(), heap.net_bytes());
    drop(driver);
    figures
}

impl ConfigClient {
    fn figures(size: u64, seed: u64) -> Result<Vec<Measurement>, String> {
        let heap = HeapMeter::start();
        let mut follower = Follower::new(size)?;
        let mut cost = BTreeMap::new();
        for kind in Kind::ALL {
            cost.insert(kind, average(size, kind, seed, &mut follower)?);
        }
        let settings_heap = heap.net_bytes();
        let settings = follower.settings.clone().ok_or("no settings were applied")?;
        let replay = replay_microseconds(&settings, size, USUAL_WORKERS)?;
        let (router_time, router_heap) = router(&settings, USUAL_WORKERS);
        let routers_heap = router_heap * ROUTERS;
        let bytes = |kind: Kind| (cost[&kind].bytes_in + cost[&kind].bytes_out) as f64;
        let time = |kind: Kind| cost[&kind].microseconds;
        let figures = [
            (CLASSES_BYTES, bytes(Kind::Classes)),
            (ROUTES_BYTES, bytes(Kind::Routes)),
            (FLEET_BYTES, bytes(Kind::Fleet)),
            (LIMITS_BYTES, bytes(Kind::Limits)),
            (ANSWER_BYTES, cost[&Kind::Classes].bytes_out as f64),
            (CLASSES_TIME, time(Kind::Classes)),
            (ROUTES_TIME, time(Kind::Routes)),
            (FLEET_TIME, time(Kind::Fleet)),
            (LIMITS_TIME, time(Kind::Limits)),
            (REPLAY_TIME, replay),
            (ROUTER_TIME, router_time),
            (SETTINGS_HEAP, settings_heap as f64),
            (ROUTERS_HEAP, routers_heap as f64),
            (HEAP, (settings_heap + routers_heap) as f64),
            (CLASSES_BYTES_A_SECOND, bytes(Kind::Classes) * VERSIONS_A_SECOND),
            (ROUTES_BYTES_A_SECOND, bytes(Kind::Routes) * VERSIONS_A_SECOND),
            (LIMITS_BYTES_A_SECOND, bytes(Kind::Limits) * VERSIONS_A_SECOND),
            (CLASSES_TIME_A_SECOND, (time(Kind::Classes) + router_time) * VERSIONS_A_SECOND),
            (ROUTES_TIME_A_SECOND, time(Kind::Routes) * VERSIONS_A_SECOND),
            (LIMITS_TIME_A_SECOND, time(Kind::Limits) * VERSIONS_A_SECOND),
            (REPLAY_TIME_A_SECOND, replay * VERSIONS_A_SECOND),
        ];
        Ok(figures.into_iter().map(|(metric, value)| Measurement { metric, value }).collect())
    }
}

/// All rows of a configuration client.
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
        "a version at one front end: bytes of HTTP and body, processor time without network and disk, heap; the whole \
         part is sent, 4 MiB at the most (about 56,000 functions)"
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
        let bytes = |metric| Bound { metric, max: MOST_BYTES_A_SECOND, source: "6 KB a second for control" };
        let time = |metric| Bound { metric, max: MOST_MICROSECONDS, source: "1% of a core for control" };
        vec![
            bytes(CLASSES_BYTES_A_SECOND),
            bytes(ROUTES_BYTES_A_SECOND),
            bytes(LIMITS_BYTES_A_SECOND),
            time(CLASSES_TIME_A_SECOND),
            time(ROUTES_TIME_A_SECOND),
            time(LIMITS_TIME_A_SECOND),
            time(REPLAY_TIME_A_SECOND),
            Bound { metric: HEAP, max: MOST_HEAP, source: "128 MB for control" },
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        32_000_000 + size * 10_000
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::figures(size, seed).map_err(failed)
    }
}

/// What the replay before a version costs, by the list of workers.
pub struct ConfigReplay;

/// Functions in the settings of this row.
const REPLAY_FUNCTIONS: u64 = 1_000;

impl ConfigReplay {
    fn figures(size: u64) -> Result<Vec<Measurement>, String> {
        let file = settings::file(REPLAY_FUNCTIONS)?;
        let settings = read_tree(&file).map_err(|problems| format!("{problems:?}"))?;
        let replay = replay_microseconds(&settings, REPLAY_FUNCTIONS, size)?;
        Ok(vec![
            Measurement { metric: REPLAY, value: replay },
            Measurement { metric: REPLAY_A_SECOND, value: replay * VERSIONS_A_SECOND },
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
        "2,000 recorded calls of 16 s replayed through a new router before a version runs, 1,000 functions"
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
        vec![Bound { metric: REPLAY_A_SECOND, max: MOST_MICROSECONDS, source }]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        64_000_000 + size * 16_000
    }

    fn measure(&self, size: u64, _seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let failed = |reason| ScaleError::NotSettled { row: self.name(), size, reason };
        Self::figures(size).map_err(failed)
    }
}
