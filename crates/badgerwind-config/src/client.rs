//! The front end's side of the configuration stream: a state machine for each type of resource, and the
//! single change in progress. `docs/protocols/config-stream.md` lists all state transitions.
//!
//! Invariants, checked by property tests: a rejected version never runs; version numbers only increase; the
//! report always states the versions that run; every offer is acknowledged exactly once; a restart resumes
//! with the versions that run.

use crate::parts::{compose, Digest, Kind, Part};
use crate::wire::*;
use badgerwind_settings::document::{check, Node as Document};
use badgerwind_settings::schema::ROOT;
use badgerwind_settings::{read_tree, Problem, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Microseconds of a monotonic clock.
pub type Time = u64;

/// The progress of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It depends on a version of another type that has not arrived, or a change is in progress.
    Staged,
    /// Its keys are read, and recorded calls are replayed under it.
    Preparing,
    /// It is being written to disk.
    Storing,
    /// It is being put into force.
    Applying,
}

/// The state of one type of resource, as reported to the control service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The type of resource.
    pub kind: Kind,
    /// The version that runs; absent if the settings file's own content runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
    /// The version under consideration, and its progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offered: Option<(u64, Phase)>,
    /// The version rejected last, and the reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejected: Option<(u64, String)>,
}

/// An event that the state machine handles.
#[derive(Debug)]
pub enum Input {
    /// The control service answered a request.
    Response {
        /// The requested type.
        kind: Kind,
        /// The request that this answers.
        request_id: u64,
        /// The response; `None` if the request timed out at the service without a new version.
        response: Option<DiscoveryResponse>,
    },
    /// A request failed.
    RequestFailed {
        /// The requested type.
        kind: Kind,
        /// The request that failed.
        request_id: u64,
        /// A random number from 0 to 1, for the jitter of the backoff.
        random: f64,
    },
    /// The keys of a change were read and recorded calls were replayed under it.
    Prepared {
        /// The change, as named by [`Action`].
        ticket: u64,
        /// `Err` holds the reason to reject the change.
        result: Result<(), String>,
    },
    /// A change was written to disk.
    Stored {
        /// The change, as named by [`Action`].
        ticket: u64,
        /// `Err` holds the reason why it could not be written.
        result: Result<(), String>,
    },
    /// A change is in force.
    Applied {
        /// The change, as named by [`Action`].
        ticket: u64,
    },
    /// The time of [`Client::next_wake`] has come.
    Tick,
}

/// An action that the caller carries out.
#[derive(Debug)]
pub enum Action {
    /// Send a request to the control service and abandon an earlier open request for the same type.
    SendRequest {
        /// The requested type.
        kind: Kind,
        /// Identifies the request in [`Input::Response`] and [`Input::RequestFailed`].
        request_id: u64,
        /// The request; its health counters are left for the caller to fill in.
        request: Box<DiscoveryRequest>,
    },
    /// Read the keys that these settings name, replay recorded calls under them, and report
    /// [`Input::Prepared`].
    Prepare {
        /// Identifies the change.
        ticket: u64,
        /// The settings after the change.
        settings: Arc<Settings>,
    },
    /// Write the set of parts that will run to disk atomically, and report [`Input::Stored`].
    Store {
        /// Identifies the change.
        ticket: u64,
        /// All parts that will run.
        parts: Vec<Part>,
    },
    /// Put these settings into force, and report [`Input::Applied`].
    Apply {
        /// Identifies the change.
        ticket: u64,
        /// The settings to run.
        settings: Arc<Settings>,
    },
}

/// The timeouts and backoff of the state machine.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long an offer may wait for a version of another type.
    pub stage_timeout: Time,
    /// The first and shortest pause after a failed request.
    pub min_backoff: Time,
    /// The longest pause after a failed request.
    pub max_backoff: Time,
}

/// A valid part that waits for its change to begin.
#[derive(Debug)]
struct Offer {
    part: Part,
    /// When the offer is rejected, unless a change is in progress; `Time::MAX` until a validation has failed.
    deadline: Time,
    /// The problems found by the last validation.
    problems: Vec<Problem>,
}

/// The state of one type of resource.
#[derive(Debug, Default)]
struct KindState {
    running: Option<Part>,
    offer: Option<Offer>,
    /// The version rejected last, with the reason, as reported.
    rejected: Option<(u64, String)>,
    /// Recently rejected versions, which are not tried again.
    rejected_versions: VecDeque<(u64, Digest, String)>,
    /// The nonce that the next request acknowledges, and the error if that offer was rejected.
    acknowledgement: Option<(String, Option<Status>)>,
    /// The id of the open request.
    open_request: Option<u64>,
    /// When the request is sent again after a failure.
    next_request_at: Option<Time>,
    /// The last pause after a failure; 0 after a response.
    backoff: Time,
}

/// Number of rejected versions remembered per type.
const MAX_REJECTED_VERSIONS: usize = 64;
/// Longest reason of a rejection, in bytes; every request carries it.
const MAX_REASON_BYTES: usize = 1_000;

/// The change in progress.
#[derive(Debug)]
struct Change {
    ticket: u64,
    phase: Phase,
    parts: Vec<Part>,
    settings: Arc<Settings>,
}

/// The state machine.
#[derive(Debug)]
pub struct Client {
    /// The front end's name and its cluster.
    node: (String, String),
    /// The settings file.
    file: Document,
    timing: Timing,
    kinds: BTreeMap<Kind, KindState>,
    change: Option<Change>,
    next_ticket: u64,
    next_request_id: u64,
}

/// INVALID_ARGUMENT of google.rpc.Code: the response or its part is invalid.
const INVALID_ARGUMENT: u32 = 3;
/// RESOURCE_EXHAUSTED of google.rpc.Code: the change could not be stored.
const RESOURCE_EXHAUSTED: u32 = 8;
/// FAILED_PRECONDITION of google.rpc.Code: the version conflicts with the one that runs, was rejected before,
/// or failed its preparation.
const FAILED_PRECONDITION: u32 = 9;

/// An error for the control service. A long message is truncated, since every report carries it.
fn status(code: u32, message: impl Into<String>) -> Status {
    let mut message: String = message.into();
    if message.len() > MAX_REASON_BYTES {
        let at = (0..=MAX_REASON_BYTES).rev().find(|&at| message.is_char_boundary(at)).unwrap_or(0);
        message.truncate(at);
        message.push_str(" ...");
    }
    Status { code, message }
}

fn join_problems(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")
}

impl Client {
    /// Creates a state machine from the settings file and the stored parts. Returns it with the initial
    /// settings. If the stored parts no longer fit the file, they are all ignored and the problems are
    /// returned.
    pub fn new(
        (id, cluster): (String, String),
        file: Document,
        stored: Vec<Part>,
        timing: Timing,
    ) -> Result<(Client, Settings, Vec<Problem>), Vec<Problem>> {
        let mut kinds: BTreeMap<Kind, KindState> =
            Kind::ALL.into_iter().map(|k| (k, KindState::default())).collect();
        let (settings, problems) = match read_tree(&compose(&file, &stored)) {
            Ok(settings) => {
                for part in stored {
                    if let Some(state) = kinds.get_mut(&part.kind) {
                        state.running = Some(part);
                    }
                }
                (settings, Vec::new())
            }
            Err(problems) => (read_tree(&file)?, problems),
        };
        let client = Client {
            node: (id, cluster),
            file,
            timing,
            kinds,
            change: None,
            next_ticket: 0,
            next_request_id: 0,
        };
        Ok((client, settings, problems))
    }

    /// Starts the exchange by requesting every type.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        for kind in Kind::ALL {
            self.send_request(now, kind, out);
        }
    }

    /// The state of every type.
    pub fn report(&self) -> Vec<Report> {
        let report = |(&kind, state): (&Kind, &KindState)| {
            let changing = self
                .change
                .as_ref()
                .and_then(|c| c.parts.iter().find(|p| p.kind == kind).map(|p| (p.version, c.phase)));
            let staged = state.offer.as_ref().map(|o| (o.part.version, Phase::Staged));
            Report {
                kind,
                running: state.running.as_ref().map(|p| p.version),
                offered: changing.or(staged),
                rejected: state.rejected.clone(),
            }
        };
        self.kinds.iter().map(report).collect()
    }

    /// When the caller must deliver [`Input::Tick`].
    pub fn next_wake(&self) -> Option<Time> {
        let requests = self.kinds.values().filter_map(|s| s.next_request_at);
        let offers = self.kinds.values().filter_map(|s| s.offer.as_ref().map(|o| o.deadline));
        let deadlines = offers.filter(|deadline| self.change.is_none() && *deadline < Time::MAX);
        requests.chain(deadlines).min()
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Response { kind, request_id, response } => {
                self.on_response(now, (kind, request_id), response, out)
            }
            Input::RequestFailed { kind, request_id, random } => {
                let (min, max) = (self.timing.min_backoff, self.timing.max_backoff);
                let open = |s: &&mut KindState| s.open_request == Some(request_id);
                let Some(state) = self.kinds.get_mut(&kind).filter(open) else { return };
                state.open_request = None;
                // Decorrelated jitter: each pause is drawn between the minimum and three times the last one,
                // so that front ends that lost the service at the same time do not reconnect at the same
                // time.
                let last = state.backoff.max(min) as f64;
                let pause = min as f64 + random.clamp(0.0, 1.0) * (3.0 * last - min as f64);
                state.backoff = (pause as Time).clamp(min, max);
                state.next_request_at = Some(now + state.backoff);
            }
            Input::Prepared { ticket, result } => {
                let Some(change) = self.change.take_if(|c| c.ticket == ticket && c.phase == Phase::Preparing)
                else {
                    return;
                };
                match result {
                    Ok(()) => self.store(change, out),
                    Err(error) => self.reject_change(now, change, status(FAILED_PRECONDITION, error), out),
                }
            }
            Input::Stored { ticket, result } => {
                let Some(mut change) =
                    self.change.take_if(|c| c.ticket == ticket && c.phase == Phase::Storing)
                else {
                    return;
                };
                match result {
                    Ok(()) => {
                        change.phase = Phase::Applying;
                        out.push(Action::Apply { ticket, settings: change.settings.clone() });
                        self.change = Some(change);
                    }
                    // A change that cannot be stored must not run: a restart would revert it.
                    Err(error) => {
                        self.reject_change(
                            now,
                            change,
                            status(RESOURCE_EXHAUSTED, format!("it cannot be kept: {error}")),
                            out,
                        );
                    }
                }
            }
            Input::Applied { ticket } => {
                let Some(change) = self.change.take_if(|c| c.ticket == ticket && c.phase == Phase::Applying)
                else {
                    return;
                };
                for part in change.parts {
                    let kind = part.kind;
                    if let Some(state) = self.kinds.get_mut(&kind) {
                        state.running = Some(part);
                    }
                    self.send_request(now, kind, out);
                }
                self.begin_next_change(now, out);
            }
            Input::Tick => self.tick(now, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for kind in Kind::ALL {
            if self.kinds[&kind].next_request_at.is_some_and(|at| at <= now) {
                self.send_request(now, kind, out);
            }
            // While a change is in progress no offer expires: the offer has not been validated against that
            // change.
            let take_expired = |s: &mut KindState| s.offer.take_if(|o| o.deadline <= now);
            let state = self.kinds.get_mut(&kind).filter(|_| self.change.is_none());
            if let Some(offer) = state.and_then(take_expired) {
                let error = status(INVALID_ARGUMENT, join_problems(&offer.problems));
                self.reject(&offer.part, &error);
                self.acknowledge(now, kind, Some(error), out);
            }
        }
    }

    fn on_response(
        &mut self,
        now: Time,
        (kind, request_id): (Kind, u64),
        response: Option<DiscoveryResponse>,
        out: &mut Vec<Action>,
    ) {
        let open = |s: &&mut KindState| s.open_request == Some(request_id);
        let Some(state) = self.kinds.get_mut(&kind).filter(open) else {
            return; // a response to a request that failed or was abandoned
        };
        (state.open_request, state.backoff) = (None, 0);
        let Some(response) = response else { return self.send_request(now, kind, out) };
        state.acknowledgement = Some((response.nonce.clone(), None));
        match self.validate_response(kind, &response) {
            Ok(None) => self.send_request(now, kind, out), // already running or waiting
            Ok(Some(part)) => {
                if let Some(state) = self.kinds.get_mut(&kind) {
                    state.offer = Some(Offer { part, deadline: Time::MAX, problems: Vec::new() });
                }
                // A newer version replaces a change of the same type that is still being prepared.
                if self
                    .change
                    .as_ref()
                    .is_some_and(|c| c.phase == Phase::Preparing && c.parts.iter().any(|p| p.kind == kind))
                {
                    self.supersede_change(kind);
                }
                self.begin_next_change(now, out);
            }
            Err((part, error)) => {
                if let Some((version, digest)) = part {
                    self.record_rejection(kind, version, digest, &error);
                }
                self.acknowledge(now, kind, Some(error), out);
            }
        }
    }

    /// Abandons the change in progress for a newer version of `newer`. Its parts of other types become offers
    /// again.
    fn supersede_change(&mut self, newer: Kind) {
        let Some(change) = self.change.take() else { return };
        for part in change.parts.into_iter().filter(|p| p.kind != newer) {
            if let Some(state) = self.kinds.get_mut(&part.kind) {
                // It was valid before, and is validated again at once.
                let offer = Offer { part, deadline: Time::MAX, problems: Vec::new() };
                state.offer.get_or_insert(offer);
            }
        }
    }

    /// Validates a response by itself. Returns the new part, `None` if it runs or waits already, or the
    /// error, with version and digest unless the error must not mark the version as rejected.
    #[allow(clippy::type_complexity)] // the type is used only here
    fn validate_response(
        &self,
        kind: Kind,
        response: &DiscoveryResponse,
    ) -> Result<Option<Part>, (Option<(u64, Digest)>, Status)> {
        let state = &self.kinds[&kind];
        if response.type_url != kind.type_url() {
            let text = format!("type_url is {}, asked was {}", response.type_url, kind.type_url());
            return Err((None, status(INVALID_ARGUMENT, text)));
        }
        let Ok(version) = response.version_info.parse::<u64>() else {
            return Err((
                None,
                status(
                    INVALID_ARGUMENT,
                    format!("version_info \"{}\" is no whole number", response.version_info),
                ),
            ));
        };
        let [resource] = &response.resources[..] else {
            return Err((
                None,
                status(INVALID_ARGUMENT, format!("{} resources, one was asked", response.resources.len())),
            ));
        };
        let part = Part::parse(kind, version, &resource.value);
        let digest = part.as_ref().map_or_else(|_| text_digest(&resource.value), |p| p.digest);
        if state.offer.as_ref().is_some_and(|o| o.part.version == version && o.part.digest == digest) {
            return Ok(None); // already waiting
        }
        // A version being applied counts as running: a request may have stayed open during the change.
        let changing = self.change.as_ref().and_then(|c| c.parts.iter().find(|p| p.kind == kind));
        if let Some(running) = changing.or(state.running.as_ref()) {
            if version == running.version && digest == running.digest {
                return Ok(None);
            }
            if version == running.version {
                let text =
                    format!("version {version} runs with other content: two control services disagree");
                return Err((None, status(FAILED_PRECONDITION, text)));
            }
            if version < running.version {
                let text = format!(
                    "version {version} is older than {}, which runs: a control service restored from a backup; \
                     to roll back on purpose, publish the old content under a new number",
                    running.version
                );
                return Err((None, status(FAILED_PRECONDITION, text)));
            }
        }
        if let Some((_, _, error)) =
            state.rejected_versions.iter().find(|(v, d, _)| *v == version && *d == digest)
        {
            return Err((None, status(FAILED_PRECONDITION, format!("turned down before: {error}"))));
        }
        part.map(Some).map_err(|p| (Some((version, digest)), status(INVALID_ARGUMENT, join_problems(&p))))
    }

    /// Begins a change with the first offer that is valid by itself, or else with all offers if they are
    /// valid together.
    fn begin_next_change(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.change.is_some() {
            return;
        }
        for kind in Kind::ALL {
            let Some(offer) = self.kinds[&kind].offer.as_ref() else { continue };
            let (part, running) = (offer.part.clone(), self.running());
            let others = running.iter().filter(|p| p.kind != kind);
            let document = compose(&self.file, others.chain([&part]));
            let mut schema_problems = Vec::new();
            check(&document, &ROOT, &mut schema_problems);
            if !schema_problems.is_empty() {
                // No other part can correct a violation of the schema.
                if let Some(state) = self.kinds.get_mut(&kind) {
                    state.offer = None;
                }
                let error = status(INVALID_ARGUMENT, join_problems(&schema_problems));
                self.reject(&part, &error);
                self.acknowledge(now, kind, Some(error), out);
                continue;
            }
            match read_tree(&document) {
                Ok(settings) => return self.begin_change(vec![part], settings, out),
                Err(problems) => {
                    if let Some(offer) = self.kinds.get_mut(&kind).and_then(|s| s.offer.as_mut()) {
                        offer.problems = problems;
                        offer.deadline = offer.deadline.min(now + self.timing.stage_timeout);
                    }
                }
            }
        }
        let offers: Vec<Part> =
            self.kinds.values().filter_map(|s| s.offer.as_ref().map(|o| o.part.clone())).collect();
        if offers.len() > 1 {
            let running = self.running();
            let others = running.iter().filter(|p| offers.iter().all(|o| o.kind != p.kind));
            if let Ok(settings) = read_tree(&compose(&self.file, others.chain(&offers))) {
                return self.begin_change(offers, settings, out);
            }
        }
        // A type whose offer waits for another type still sends requests, so that a newer version can arrive.
        for kind in Kind::ALL {
            let state = &self.kinds[&kind];
            if state.offer.is_some() && state.open_request.is_none() {
                self.send_request(now, kind, out);
            }
        }
    }

    fn running(&self) -> Vec<Part> {
        self.kinds.values().filter_map(|s| s.running.clone()).collect()
    }

    fn begin_change(&mut self, parts: Vec<Part>, settings: Settings, out: &mut Vec<Action>) {
        for part in &parts {
            if let Some(state) = self.kinds.get_mut(&part.kind) {
                state.offer = None;
            }
        }
        self.next_ticket += 1;
        let (ticket, settings) = (self.next_ticket, Arc::new(settings));
        out.push(Action::Prepare { ticket, settings: settings.clone() });
        self.change = Some(Change { ticket, phase: Phase::Preparing, parts, settings });
    }

    fn store(&mut self, mut change: Change, out: &mut Vec<Action>) {
        let mut parts = self.running();
        parts.retain(|p| change.parts.iter().all(|c| c.kind != p.kind));
        parts.extend(change.parts.iter().cloned());
        change.phase = Phase::Storing;
        out.push(Action::Store { ticket: change.ticket, parts });
        self.change = Some(change);
    }

    fn reject_change(&mut self, now: Time, change: Change, error: Status, out: &mut Vec<Action>) {
        for part in &change.parts {
            self.reject(part, &error);
            self.acknowledge(now, part.kind, Some(error.clone()), out);
        }
        self.begin_next_change(now, out);
    }

    fn reject(&mut self, part: &Part, error: &Status) {
        self.record_rejection(part.kind, part.version, part.digest, error);
    }

    fn record_rejection(&mut self, kind: Kind, version: u64, digest: Digest, error: &Status) {
        let Some(state) = self.kinds.get_mut(&kind) else { return };
        state.rejected = Some((version, error.message.clone()));
        state.rejected_versions.push_back((version, digest, error.message.clone()));
        if state.rejected_versions.len() > MAX_REJECTED_VERSIONS {
            state.rejected_versions.pop_front();
        }
    }

    /// Acknowledges the last response of a type with the next request; `error` rejects it.
    fn acknowledge(&mut self, now: Time, kind: Kind, error: Option<Status>, out: &mut Vec<Action>) {
        if let Some(state) = self.kinds.get_mut(&kind) {
            if let (Some(acknowledgement), Some(error)) = (&mut state.acknowledgement, error) {
                acknowledgement.1 = Some(error);
            }
        }
        self.send_request(now, kind, out);
    }

    fn send_request(&mut self, now: Time, kind: Kind, out: &mut Vec<Action>) {
        let report = self.report();
        let Some(state) = self.kinds.get_mut(&kind) else { return };
        if state.next_request_at.is_some_and(|at| at > now) {
            return; // the backoff after a failure delays acknowledgements too
        }
        self.next_request_id += 1;
        let request_id = self.next_request_id;
        (state.open_request, state.next_request_at) = (Some(request_id), None);
        let (response_nonce, error_detail) = state.acknowledgement.clone().unwrap_or_default();
        let metadata = Metadata { report, health: Health::default() };
        let request = DiscoveryRequest {
            version_info: state.running.as_ref().map_or_else(String::new, |p| p.version.to_string()),
            node: Node { id: self.node.0.clone(), cluster: self.node.1.clone(), metadata },
            resource_names: vec![],
            type_url: kind.type_url(),
            response_nonce,
            error_detail,
        };
        out.push(Action::SendRequest { kind, request_id, request: Box::new(request) });
    }
}

fn text_digest(text: &str) -> Digest {
    use sha2::Digest as _;
    sha2::Sha256::digest(text.as_bytes()).into()
}
