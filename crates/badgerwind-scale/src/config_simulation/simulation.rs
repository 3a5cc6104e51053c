//! A discrete-event simulation of front ends, control services and the messages between them.

use super::front_end::{Applied, Durations, Effect, FrontEnd, FrontEndMutant, FrontEndSetup};
use super::network::{request_bytes, Network, POLL_TIMEOUT};
use super::service::{
    OutgoingResponse, RequestOrigin, Service, ServiceLoad, ServiceMutant, SCAN_MICROS, SLOT_MICROS,
};
use super::settings;
use crate::rows::network::{REGIONS, SECOND};
use badgerwind_config::client::{Input, Time};
use badgerwind_config::waves::RolloutPolicy;
use badgerwind_config::wire::{DiscoveryRequest, DiscoveryResponse};
use badgerwind_config::Kind;
use badgerwind_settings::document::Node;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// How much longer than [`POLL_TIMEOUT`] a front end waits for a response, in microseconds.
const RESPONSE_MARGIN: Time = 2 * SECOND;

/// Timeout of a connection attempt, in microseconds.
const CONNECT_TIMEOUT: Time = 2 * SECOND;

/// Maximum number of control services in the settings of a front end.
const MAX_SERVICES: usize = 3;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of front ends.
    pub front_ends: usize,
    /// Number of control services. Each is the first choice of an equal share of the front ends, which are
    /// in its region.
    pub services: usize,
    /// Number of functions in the settings.
    pub functions: u64,
    /// How versions are rolled out.
    pub rollout: RolloutPolicy,
    /// Durations of the slow operations of a front end.
    pub durations: Durations,
    /// Network delays.
    pub network: Network,
    /// Whether open requests are evaluated as often as by the real service, so that the evaluations can be
    /// counted, or only after changes that can alter a response.
    pub every_change: bool,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Injected defect of the front ends.
    pub front_end_mutant: FrontEndMutant,
    /// Injected defect of the control services.
    pub service_mutant: ServiceMutant,
}

impl Scenario {
    /// The default policy of `badgerwind control serve`.
    pub const DEFAULT_ROLLOUT: RolloutPolicy = RolloutPolicy {
        first_share: 0.1,
        soak_time: 10 * SECOND,
        max_rejected_share: 0.0,
        max_failure_increase: 0.1,
        front_end_timeout: 60 * SECOND,
    };

    /// A policy without waves: all front ends are offered a version at once.
    pub const ALL_AT_ONCE: RolloutPolicy = RolloutPolicy {
        first_share: 1.0,
        soak_time: 0,
        max_rejected_share: 1.0,
        max_failure_increase: 1.0,
        front_end_timeout: 60 * SECOND,
    };

    /// A scenario without defects, with the default rollout policy and ten functions.
    pub fn new(front_ends: usize, services: usize, seed: u64) -> Scenario {
        Scenario {
            front_ends,
            services: services.max(1),
            functions: 10,
            rollout: Scenario::DEFAULT_ROLLOUT,
            durations: Durations::default(),
            network: Network::default(),
            every_change: false,
            seed,
            front_end_mutant: FrontEndMutant::None,
            service_mutant: ServiceMutant::None,
        }
    }
}

enum Event {
    Start { front_end: usize },
    VersionArrives { service: usize, kind: Kind, version: u64, text: Arc<str> },
    Scan { service: usize },
    Poll { service: usize },
    RequestArrives { service: usize, request: RequestKey, body: Vec<u8>, bytes: u64 },
    PollTimeout { service: usize, request: RequestKey },
    ResponseArrives { request: RequestKey, body: Vec<u8>, bytes: u64 },
    RequestFails { request: RequestKey, failovers: usize },
    Input { front_end: usize, incarnation: u32, input: Input },
    Wake { front_end: usize, incarnation: u32 },
}

/// Identifies a request over all incarnations of its front end.
#[derive(Clone, Copy)]
struct RequestKey {
    origin: RequestOrigin,
    incarnation: u32,
}

struct ScheduledEvent {
    at: Time,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A simulated fleet of front ends with its control services.
pub struct Simulation {
    now: Time,
    /// Number of scheduled events, which orders events at the same time.
    sequence: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    rng: StdRng,
    settings_file: Node,
    scenario: Scenario,
    front_ends: Vec<FrontEnd>,
    services: Vec<Service>,
    published: BTreeMap<Kind, Vec<(u64, Time)>>,
}

impl Simulation {
    /// Creates a simulation in which each front end starts at a random time within the first second.
    pub fn new(scenario: Scenario) -> Result<Simulation, String> {
        let settings_file = settings::settings_file(scenario.functions)?;
        let service = |n: usize| {
            let (rollout, mutant) = (scenario.rollout, scenario.service_mutant);
            Service::new(format!("control-{n}"), rollout, scenario.every_change, mutant)
        };
        let services = (0..scenario.services).map(service).collect();
        let front_end = |n: usize| {
            let first = n % scenario.services;
            let count = MAX_SERVICES.min(scenario.services);
            let services = (0..count).map(|k| (first + k) % scenario.services).collect();
            let setup = FrontEndSetup {
                name: format!("front-{n:05}"),
                region: first % REGIONS,
                services,
                durations: scenario.durations,
                mutant: scenario.front_end_mutant,
            };
            FrontEnd::new(setup, &settings_file)
        };
        let front_ends = (0..scenario.front_ends).map(front_end).collect::<Result<_, _>>()?;
        let mut simulation = Simulation {
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(scenario.seed),
            settings_file,
            scenario,
            front_ends,
            services,
            published: BTreeMap::new(),
        };
        for front_end in 0..simulation.front_ends.len() {
            let at = simulation.rng.random_range(0..SECOND);
            simulation.schedule(at, Event::Start { front_end });
        }
        for service in 0..simulation.services.len() {
            let at = simulation.rng.random_range(0..SCAN_MICROS);
            simulation.schedule(at, Event::Scan { service });
            simulation.schedule(0, Event::Poll { service });
        }
        Ok(simulation)
    }

    /// Current simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Publishes the next version of a kind at the given time. It reaches the folder of each control
    /// service after one network delay.
    pub fn publish(&mut self, at: Time, kind: Kind) {
        let versions = self.published.entry(kind).or_default();
        let version = versions.len() as u64 + 1;
        versions.push((version, at));
        let text: Arc<str> = settings::part_text(kind, self.scenario.functions, version).into();
        for service in 0..self.services.len() {
            // Versions are published in the first region.
            let delay = self.scenario.network.delay(service % REGIONS == 0, &mut self.rng);
            self.schedule(at + delay, Event::VersionArrives { service, kind, version, text: text.clone() });
        }
    }

    /// Runs the simulation up to and including the given time.
    pub fn run_until(&mut self, until: Time) {
        while self.queue.peek().is_some_and(|next| next.0.at <= until) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            self.handle(next.event);
        }
        self.now = until;
    }

    /// Fails a control service: its connections close and it no longer responds.
    pub fn fail_service(&mut self, service: usize) {
        for origin in self.services[service].fail() {
            let incarnation = self.front_ends[origin.front_end].incarnation;
            self.fail_request(RequestKey { origin, incarnation });
        }
    }

    /// Isolates a front end from all control services, or reconnects it. Responses to an isolated front end
    /// are lost, and its new requests fail after the connection timeout.
    pub fn set_isolated(&mut self, front_end: usize, isolated: bool) {
        self.front_ends[front_end].isolated = isolated;
    }

    /// Restarts a front end, with its stored settings or, if `keep_disk` is false, without them.
    pub fn restart(&mut self, front_end: usize, keep_disk: bool) -> Result<(), String> {
        let open: Vec<Kind> = self.front_ends[front_end].open_requests.keys().copied().collect();
        let service = self.front_ends[front_end].service();
        for kind in open {
            self.services[service].close_request(front_end, kind);
        }
        self.front_ends[front_end].restart(&self.settings_file, keep_disk)?;
        let at = self.now;
        self.schedule(at, Event::Start { front_end });
        Ok(())
    }

    /// The published versions of each kind with their time of publication.
    pub fn published(&self) -> &BTreeMap<Kind, Vec<(u64, Time)>> {
        &self.published
    }

    /// The versions that a front end has put into force.
    pub fn applied(&self, front_end: usize) -> &[Applied] {
        &self.front_ends[front_end].applied
    }

    /// The version of a kind that runs at a front end.
    pub fn running(&self, front_end: usize, kind: Kind) -> Option<u64> {
        self.front_ends[front_end].running(kind)
    }

    /// Work that a control service has done since its start.
    pub fn load(&self, service: usize) -> &ServiceLoad {
        &self.services[service].load
    }

    /// Number of open requests at a control service.
    pub fn open_requests(&self, service: usize) -> usize {
        self.services[service].open_requests()
    }

    /// Index of the control service that is the first choice of a front end.
    pub fn first_service(&self, front_end: usize) -> usize {
        self.front_ends[front_end].services[0]
    }

    /// Bytes received and sent by all front ends.
    pub fn front_end_bytes(&self) -> (u64, u64) {
        let add = |sum: (u64, u64), f: &FrontEnd| (sum.0 + f.bytes_in, sum.1 + f.bytes_out);
        self.front_ends.iter().fold((0, 0), add)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start { front_end } => {
                let effects = self.front_ends[front_end].start(self.now);
                self.execute(front_end, effects);
            }
            Event::VersionArrives { service, kind, version, text } => {
                self.services[service].add_to_folder(kind, version, text)
            }
            Event::Scan { service } => {
                if !self.services[service].failed {
                    self.services[service].scan_folder(self.now);
                    self.schedule(self.now + SCAN_MICROS, Event::Scan { service });
                }
            }
            Event::Poll { service } => {
                if !self.services[service].failed {
                    let responses = self.services[service].poll(self.now);
                    responses.into_iter().for_each(|response| self.send_response(service, response));
                    self.schedule(self.now + SLOT_MICROS, Event::Poll { service });
                }
            }
            Event::RequestArrives { service, request, body, bytes } => {
                self.on_request(service, request, &body, bytes)
            }
            Event::PollTimeout { service, request } => {
                if let Some(response) = self.services[service].expire_request(self.now, request.origin) {
                    self.send_response(service, response);
                }
            }
            Event::ResponseArrives { request, body, bytes } => self.on_response(request, &body, bytes),
            Event::RequestFails { request, failovers } => self.on_request_failed(request, failovers),
            Event::Input { front_end, incarnation, input } => self.deliver(front_end, incarnation, input),
            Event::Wake { front_end, incarnation } => {
                if self.front_ends[front_end].next_wake().is_some_and(|at| at <= self.now) {
                    self.deliver(front_end, incarnation, Input::Tick);
                }
            }
        }
    }

    fn deliver(&mut self, front_end: usize, incarnation: u32, input: Input) {
        if self.front_ends[front_end].incarnation == incarnation {
            let effects = self.front_ends[front_end].handle(self.now, input);
            self.execute(front_end, effects);
        }
    }

    fn execute(&mut self, front_end: usize, effects: Vec<Effect>) {
        let incarnation = self.front_ends[front_end].incarnation;
        for effect in effects {
            match effect {
                Effect::SendRequest { kind, request_id, request } => {
                    let origin = RequestOrigin { front_end, kind, request_id };
                    self.send_request(RequestKey { origin, incarnation }, &request);
                }
                Effect::DeliverLater { at, input } => {
                    self.schedule(at, Event::Input { front_end, incarnation, input });
                }
            }
        }
        if let Some(at) = self.front_ends[front_end].next_wake() {
            self.schedule(at.max(self.now), Event::Wake { front_end, incarnation });
        }
    }

    fn send_request(&mut self, request: RequestKey, message: &DiscoveryRequest) {
        let RequestOrigin { front_end: sender, kind, request_id } = request.origin;
        let front_end = &mut self.front_ends[sender];
        let (service, failovers) = (front_end.service(), front_end.failovers);
        front_end.open_requests.insert(kind, request_id);
        let (bytes, body) = request_bytes(address(service), kind, message);
        if front_end.isolated {
            return self.schedule(self.now + CONNECT_TIMEOUT, Event::RequestFails { request, failovers });
        }
        let same_region = service % REGIONS == front_end.region;
        let delay = self.scenario.network.delay(same_region, &mut self.rng);
        if self.services[service].failed {
            return self.schedule(self.now + 2 * delay, Event::RequestFails { request, failovers });
        }
        self.front_ends[sender].bytes_out += bytes;
        self.schedule(self.now + delay, Event::RequestArrives { service, request, body, bytes });
        let timeout = self.now + POLL_TIMEOUT.as_micros() as Time + RESPONSE_MARGIN;
        self.schedule(timeout, Event::RequestFails { request, failovers });
    }

    fn on_request(&mut self, service: usize, request: RequestKey, body: &[u8], bytes: u64) {
        let RequestKey { origin, incarnation } = request;
        let sender = &self.front_ends[origin.front_end];
        // The connection is closed if the front end has abandoned the request or restarted.
        let closed = sender.incarnation != incarnation
            || sender.open_requests.get(&origin.kind) != Some(&origin.request_id);
        if self.services[service].failed || closed {
            return;
        }
        match self.services[service].handle_request(self.now, origin, body, bytes) {
            Some(response) => self.send_response(service, response),
            None => {
                let at = self.now + POLL_TIMEOUT.as_micros() as Time;
                self.schedule(at, Event::PollTimeout { service, request });
            }
        }
    }

    fn send_response(&mut self, service: usize, response: OutgoingResponse) {
        let OutgoingResponse { front_end, kind, request_id, bytes, body } = response;
        let receiver = &self.front_ends[front_end];
        let incarnation = receiver.incarnation;
        let delay = self.scenario.network.delay(service % REGIONS == receiver.region, &mut self.rng);
        let origin = RequestOrigin { front_end, kind, request_id };
        let request = RequestKey { origin, incarnation };
        self.schedule(self.now + delay, Event::ResponseArrives { request, body, bytes });
    }

    fn on_response(&mut self, request: RequestKey, body: &[u8], bytes: u64) {
        let RequestOrigin { front_end: sender, kind, request_id } = request.origin;
        let front_end = &mut self.front_ends[sender];
        let open = front_end.open_requests.get(&kind) == Some(&request_id);
        if front_end.isolated || front_end.incarnation != request.incarnation || !open {
            return;
        }
        front_end.open_requests.remove(&kind);
        front_end.messages_in += 1;
        front_end.bytes_in += bytes;
        let response: Option<DiscoveryResponse> = serde_json::from_slice(body).ok();
        let input = Input::Response { kind, request_id, response };
        self.deliver(sender, request.incarnation, input);
    }

    fn fail_request(&mut self, request: RequestKey) {
        let failovers = self.front_ends[request.origin.front_end].failovers;
        self.schedule(self.now, Event::RequestFails { request, failovers });
    }

    fn on_request_failed(&mut self, request: RequestKey, failovers: usize) {
        let RequestOrigin { front_end: sender, kind, request_id } = request.origin;
        let front_end = &mut self.front_ends[sender];
        let open = front_end.open_requests.get(&kind) == Some(&request_id);
        if front_end.incarnation != request.incarnation || !open {
            return;
        }
        front_end.open_requests.remove(&kind);
        // The next request is sent to the next control service. Requests to one service that fail together
        // cause a single failover.
        if front_end.failovers == failovers {
            front_end.failovers += 1;
        }
        let random = self.rng.random();
        let input = Input::RequestFailed { kind, request_id, random };
        self.deliver(sender, request.incarnation, input);
    }
}

fn address(service: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, service as u8)), 7_000)
}
