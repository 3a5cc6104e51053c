//! A hollow control service: the real waves and messages, and the loops of the real service in simulated
//! time. As in the real service, each open request checks every [`POLL_INTERVAL`] whether anything has
//! changed since its last evaluation, and each scan of the folder, every [`SCAN_INTERVAL`], counts as a
//! change.

use super::network::response_bytes;
use crate::cost::ProcessorMeter;
use crate::rows::network::{TrafficCount, SECOND};
use badgerwind_config::client::Time;
use badgerwind_config::waves::{RolloutPolicy, Stage, Waves};
use badgerwind_config::wire::DiscoveryRequest;
use badgerwind_config::Kind;
use badgerwind_control::request::ResourceRequest;
use badgerwind_control::service::{POLL_INTERVAL, SCAN_INTERVAL};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time between scans of the folder, in microseconds.
pub const SCAN_MICROS: Time = SCAN_INTERVAL.as_micros() as Time;

/// Time between polls of an open request, in microseconds.
const POLL_MICROS: Time = POLL_INTERVAL.as_micros() as Time;

/// Length of a poll slot in microseconds. Requests that arrived in the same slot are polled together.
pub const SLOT_MICROS: Time = 1_000;

const SLOT_COUNT: usize = (POLL_MICROS / SLOT_MICROS) as usize;

/// A defect of the control services, injected by tests to show that a check detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceMutant {
    /// No defect.
    #[default]
    None,
    /// A front end that missed versions is offered each of them in order, instead of the newest one.
    OffersEveryVersion,
}

/// Work that a control service has done since its start.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoad {
    /// Number of requests and responses.
    pub messages: u64,
    /// Number of requests.
    pub requests: u64,
    /// Bytes of requests.
    pub bytes_in: u64,
    /// Bytes of responses.
    pub bytes_out: u64,
    /// Number of responses that offered a version.
    pub versions_sent: u64,
    /// Number of evaluations of an open request.
    pub offers_evaluated: u64,
    /// Processor time for parsing requests, advancing waves and encoding responses, in microseconds.
    pub processor_us: f64,
    /// Messages and their bytes in each second, by the second's number.
    pub by_second: BTreeMap<u64, TrafficCount>,
}

impl ServiceLoad {
    fn record_message(&mut self, now: Time, bytes: u64) {
        self.messages += 1;
        let second = self.by_second.entry(now / SECOND).or_default();
        second.messages += 1;
        second.bytes += bytes;
    }

    /// The largest number of messages and the largest number of bytes in one second of a time range. The two
    /// maxima may be from different seconds.
    pub fn busiest_second(&self, from: Time, until: Time) -> TrafficCount {
        let seconds = self.by_second.range(from / SECOND..=until / SECOND);
        seconds.fold(TrafficCount::default(), |max, (_, second)| TrafficCount {
            messages: max.messages.max(second.messages),
            bytes: max.bytes.max(second.bytes),
        })
    }
}

/// A request that waits for a new version.
struct OpenRequest {
    request_id: u64,
    request: ResourceRequest,
    /// The change count at its last evaluation.
    evaluated_at_change: Option<u64>,
    slot: usize,
}

/// Identifies a request by the front end that sent it.
#[derive(Clone, Copy)]
pub struct RequestOrigin {
    /// Index of the front end.
    pub front_end: usize,
    /// The requested type of resource.
    pub kind: Kind,
    /// The identifier that the front end gave the request.
    pub request_id: u64,
}

/// A response to send to a front end.
pub struct OutgoingResponse {
    /// Index of the front end.
    pub front_end: usize,
    /// The type of resource.
    pub kind: Kind,
    /// The request that this answers.
    pub request_id: u64,
    /// Encoded size, including the HTTP head.
    pub bytes: u64,
    /// The body; empty if there is no new version.
    pub body: Vec<u8>,
}

/// A hollow control service.
pub struct Service {
    waves: Waves,
    name: String,
    /// Versions in the folder that have not been scanned yet.
    folder: Vec<(Kind, u64, Arc<str>)>,
    /// Open requests, by index of the front end and type of resource.
    open_requests: BTreeMap<(usize, Kind), OpenRequest>,
    /// The keys of `open_requests`, by the slot in which they are polled.
    poll_slots: [BTreeSet<(usize, Kind)>; SLOT_COUNT],
    change_count: u64,
    changed_at: Time,
    nonce: u64,
    /// Whether every request and every scan counts as a change, as in the real service, or only one that
    /// can alter a response.
    every_change: bool,
    mutant: ServiceMutant,
    /// Whether it has failed and no longer responds.
    pub failed: bool,
    /// Work that it has done.
    pub load: ServiceLoad,
}

impl Service {
    /// Creates a service without versions. With `every_change`, it evaluates open requests as often as the
    /// real service; otherwise only after changes that can alter a response. The responses and their times
    /// are the same.
    pub fn new(name: String, rollout: RolloutPolicy, every_change: bool, mutant: ServiceMutant) -> Self {
        Service {
            waves: Waves::new(rollout),
            name,
            folder: Vec::new(),
            open_requests: BTreeMap::new(),
            poll_slots: Default::default(),
            change_count: 0,
            changed_at: 0,
            nonce: 0,
            every_change,
            mutant,
            failed: false,
            load: ServiceLoad::default(),
        }
    }

    /// Adds a version to the folder.
    pub fn add_to_folder(&mut self, kind: Kind, version: u64, text: Arc<str>) {
        self.folder.push((kind, version, text));
    }

    /// Scans the folder for new versions and advances the waves.
    pub fn scan_folder(&mut self, now: Time) {
        let meter = ProcessorMeter::start();
        let before = self.stages();
        for (kind, version, text) in std::mem::take(&mut self.folder) {
            // Fails only if a version number is reused with other content, which the simulation never does.
            _ = self.waves.publish(kind, version, text);
        }
        self.waves.tick(now);
        self.record_change(now, &before);
        self.load.processor_us += meter.microseconds();
    }

    /// Handles a request. Returns a response if a version can be offered at once; otherwise the request
    /// stays open.
    pub fn handle_request(
        &mut self,
        now: Time,
        origin: RequestOrigin,
        body: &[u8],
        bytes: u64,
    ) -> Option<OutgoingResponse> {
        let RequestOrigin { front_end, kind, request_id } = origin;
        let meter = ProcessorMeter::start();
        self.load.record_message(now, bytes);
        self.load.requests += 1;
        self.load.bytes_in += bytes;
        let message: DiscoveryRequest = serde_json::from_slice(body).ok()?;
        let request = ResourceRequest::parse(kind, &message).ok()?;
        let before = self.stages();
        let metadata = &message.node.metadata;
        self.waves.record_report(now, &message.node.id, &metadata.report, metadata.health);
        self.record_change(now, &before);
        self.close_request(front_end, kind);
        let slot = (now / SLOT_MICROS) as usize % SLOT_COUNT;
        self.poll_slots[slot].insert((front_end, kind));
        let open = OpenRequest { request_id, request, evaluated_at_change: None, slot };
        self.open_requests.insert((front_end, kind), open);
        let response = self.evaluate(now, front_end, kind);
        self.load.processor_us += meter.microseconds();
        response
    }

    /// Evaluates the open requests of the current slot if anything has changed.
    pub fn poll(&mut self, now: Time) -> Vec<OutgoingResponse> {
        // All open requests have been polled since the last change.
        if now > self.changed_at + POLL_MICROS + SLOT_MICROS {
            return Vec::new();
        }
        let meter = ProcessorMeter::start();
        let slot = (now / SLOT_MICROS) as usize % SLOT_COUNT;
        let due: Vec<(usize, Kind)> = self.poll_slots[slot].iter().copied().collect();
        let responses = due.into_iter().filter_map(|(n, kind)| self.evaluate(now, n, kind)).collect();
        self.load.processor_us += meter.microseconds();
        responses
    }

    /// Ends a request without a new version after its poll timeout. Returns `None` if the request is not
    /// open.
    pub fn expire_request(&mut self, now: Time, origin: RequestOrigin) -> Option<OutgoingResponse> {
        let RequestOrigin { front_end, kind, request_id } = origin;
        self.open_requests.get(&(front_end, kind)).filter(|open| open.request_id == request_id)?;
        self.close_request(front_end, kind);
        let (bytes, body) = response_bytes(None);
        self.load.record_message(now, bytes);
        self.load.bytes_out += bytes;
        Some(OutgoingResponse { front_end, kind, request_id, bytes, body })
    }

    /// Closes an open request without a response, as when its connection is closed.
    pub fn close_request(&mut self, front_end: usize, kind: Kind) {
        if let Some(open) = self.open_requests.remove(&(front_end, kind)) {
            self.poll_slots[open.slot].remove(&(front_end, kind));
        }
    }

    /// Fails the service. Returns the requests that were open.
    pub fn fail(&mut self) -> Vec<RequestOrigin> {
        self.failed = true;
        self.poll_slots = Default::default();
        let requests = std::mem::take(&mut self.open_requests).into_iter();
        let origin = |((front_end, kind), open): ((usize, Kind), OpenRequest)| RequestOrigin {
            front_end,
            kind,
            request_id: open.request_id,
        };
        requests.map(origin).collect()
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }

    fn evaluate(&mut self, now: Time, front_end: usize, kind: Kind) -> Option<OutgoingResponse> {
        let open = self.open_requests.get_mut(&(front_end, kind))?;
        if open.evaluated_at_change == Some(self.change_count) {
            return None;
        }
        open.evaluated_at_change = Some(self.change_count);
        self.load.offers_evaluated += 1;
        let running = open.request.running;
        let offered = match self.mutant {
            ServiceMutant::None => self.waves.offer(&open.request.front_end, kind, running),
            ServiceMutant::OffersEveryVersion => next_version(&self.waves, kind, running),
        };
        let (version, text) = offered?;
        let open = self.open_requests.remove(&(front_end, kind))?;
        self.poll_slots[open.slot].remove(&(front_end, kind));
        self.nonce += 1;
        let response = open.request.response(version, &text, &self.name, self.nonce);
        let (bytes, body) = response_bytes(Some(&response));
        self.load.record_message(now, bytes);
        self.load.bytes_out += bytes;
        self.load.versions_sent += 1;
        Some(OutgoingResponse { front_end, kind, request_id: open.request_id, bytes, body })
    }

    /// The state that decides which versions are offered, apart from the front end's own report.
    fn stages(&self) -> [Option<(u64, Stage)>; 4] {
        Kind::ALL.map(|kind| self.waves.stage(kind).map(|(version, stage)| (version, stage.clone())))
    }

    fn record_change(&mut self, now: Time, before: &[Option<(u64, Stage)>; 4]) {
        if self.every_change || *before != self.stages() {
            self.change_count += 1;
            self.changed_at = now;
        }
    }
}

fn next_version(waves: &Waves, kind: Kind, running: Option<u64>) -> Option<(u64, Arc<str>)> {
    let mut later = waves.versions(kind).filter(|(version, _)| running.is_none_or(|r| *version > r));
    later.next().map(|(version, text)| (version, text.clone()))
}
