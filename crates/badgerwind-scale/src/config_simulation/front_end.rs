//! A hollow front end: the real client of the configuration stream. Replay, disk writes and replacement of
//! the router are replaced by constant durations.

use super::settings::MAX_DEADLINE;
use crate::rows::network::SECOND;
use badgerwind_config::client::{Action, Client, Input, Time, Timing};
use badgerwind_config::wire::{DiscoveryRequest, Health};
use badgerwind_config::{Kind, Part};
use badgerwind_settings::document::Node;
use std::collections::{BTreeMap, VecDeque};

/// Rate of calls at a front end of the planned size.
const CALLS_PER_SECOND: u64 = 127;

/// Most replaced routers that may complete their calls at the same time. A further change waits until the
/// oldest has ended.
const MAX_DRAINING: usize = 4;

/// Timing of the client in the default settings.
pub const DEFAULT_TIMING: Timing =
    Timing { stage_timeout: 10 * SECOND, min_backoff: SECOND / 2, max_backoff: 30 * SECOND };

/// Durations of the slow operations of a front end, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Durations {
    /// Reading keys and replaying recorded calls.
    pub prepare: Time,
    /// Writing the settings to disk and syncing them.
    pub store: Time,
    /// Putting the settings into force, including the start of a new router.
    pub apply: Time,
    /// How long a replaced router runs on to complete its calls.
    pub drain: Time,
}

impl Default for Durations {
    fn default() -> Self {
        Durations { prepare: 180_000, store: 5_000, apply: 1_000, drain: MAX_DEADLINE }
    }
}

/// A defect of the front ends, injected by tests to show that a check detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FrontEndMutant {
    /// No defect.
    #[default]
    None,
    /// Each request names all versions that the front end has run.
    NamesAllVersions,
}

/// A version that a front end put into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The time at which it began to run.
    pub at: Time,
    /// The type of resource.
    pub kind: Kind,
    /// The version number.
    pub version: u64,
}

/// The parameters of a front end.
pub struct FrontEndSetup {
    /// The name under which it sends requests.
    pub name: String,
    /// Index of its region.
    pub region: usize,
    /// Indices of the control services in its settings, in order of preference.
    pub services: Vec<usize>,
    /// Durations of its slow operations.
    pub durations: Durations,
    /// The injected defect.
    pub mutant: FrontEndMutant,
}

/// A hollow front end.
pub struct FrontEnd {
    /// The name under which it sends requests.
    pub name: String,
    /// Index of its region.
    pub region: usize,
    /// Indices of the control services in its settings, in order of preference.
    pub services: Vec<usize>,
    /// How many times it has switched to the next control service.
    pub failovers: usize,
    /// Whether it is isolated from all control services.
    pub isolated: bool,
    /// The open request of each kind, by its identifier.
    pub open_requests: BTreeMap<Kind, u64>,
    /// Incremented at each restart; events of earlier incarnations are discarded.
    pub incarnation: u32,
    /// Versions that it has put into force, in this order.
    pub applied: Vec<Applied>,
    /// Number of received responses.
    pub messages_in: u64,
    /// Received bytes.
    pub bytes_in: u64,
    /// Sent bytes.
    pub bytes_out: u64,
    client: Client,
    /// The parts on disk.
    stored: Vec<Part>,
    /// When each replaced router ends, oldest first.
    draining: VecDeque<Time>,
    durations: Durations,
    mutant: FrontEndMutant,
}

/// An action of a hollow front end that the simulation carries out.
pub enum Effect {
    /// Send a request now.
    SendRequest {
        /// The requested type of resource.
        kind: Kind,
        /// Identifies the request.
        request_id: u64,
        /// The request.
        request: Box<DiscoveryRequest>,
    },
    /// Deliver an input to the front end at a later time.
    DeliverLater {
        /// The time of delivery.
        at: Time,
        /// The input.
        input: Input,
    },
}

impl FrontEnd {
    /// Creates a front end that has not started yet and has no stored settings.
    pub fn new(setup: FrontEndSetup, file: &Node) -> Result<Self, String> {
        let FrontEndSetup { name, region, services, durations, mutant } = setup;
        let client = new_client(&name, file, Vec::new())?;
        Ok(FrontEnd {
            name,
            region,
            services,
            failovers: 0,
            isolated: false,
            open_requests: BTreeMap::new(),
            incarnation: 0,
            applied: Vec::new(),
            messages_in: 0,
            bytes_in: 0,
            bytes_out: 0,
            client,
            stored: Vec::new(),
            draining: VecDeque::new(),
            durations,
            mutant,
        })
    }

    /// Index of the control service that receives the next request.
    pub fn service(&self) -> usize {
        self.services[self.failovers % self.services.len()]
    }

    /// Begins a new incarnation, with the stored settings or, after the loss of the disk, without them.
    pub fn restart(&mut self, file: &Node, keep_disk: bool) -> Result<(), String> {
        let stored = if keep_disk { std::mem::take(&mut self.stored) } else { Vec::new() };
        self.client = new_client(&self.name, file, stored.clone())?;
        self.stored = stored;
        self.incarnation += 1;
        self.open_requests.clear();
        self.draining.clear();
        Ok(())
    }

    /// Starts the client, which sends its first requests.
    pub fn start(&mut self, now: Time) -> Vec<Effect> {
        let mut actions = Vec::new();
        self.client.start(now, &mut actions);
        self.effects(now, actions)
    }

    /// When the client must next receive [`Input::Tick`].
    pub fn next_wake(&self) -> Option<Time> {
        self.client.next_wake()
    }

    /// Delivers an input to the client.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Effect> {
        let applied = matches!(input, Input::Applied { .. });
        let mut actions = Vec::new();
        self.client.handle(now, input, &mut actions);
        if applied {
            self.record_applied(now);
        }
        self.effects(now, actions)
    }

    /// The version of a kind that runs.
    pub fn running(&self, kind: Kind) -> Option<u64> {
        self.client.report().into_iter().find(|r| r.kind == kind).and_then(|r| r.running)
    }

    fn record_applied(&mut self, now: Time) {
        for report in self.client.report() {
            let Some(version) = report.running else { continue };
            let last = self.applied.iter().rev().find(|a| a.kind == report.kind).map(|a| a.version);
            if last != Some(version) {
                self.applied.push(Applied { at: now, kind: report.kind, version });
            }
        }
    }

    fn effects(&mut self, now: Time, actions: Vec<Action>) -> Vec<Effect> {
        actions.into_iter().map(|action| self.effect(now, action)).collect()
    }

    fn effect(&mut self, now: Time, action: Action) -> Effect {
        match action {
            Action::SendRequest { kind, request_id, mut request } => {
                request.node.metadata.health = health(now);
                if self.mutant == FrontEndMutant::NamesAllVersions {
                    request.resource_names = self.all_versions();
                }
                Effect::SendRequest { kind, request_id, request }
            }
            Action::Prepare { ticket, .. } => {
                let input = Input::Prepared { ticket, result: Ok(()) };
                Effect::DeliverLater { at: now + self.durations.prepare, input }
            }
            Action::Store { ticket, parts } => {
                self.stored = parts;
                Effect::DeliverLater {
                    at: now + self.durations.store,
                    input: Input::Stored { ticket, result: Ok(()) },
                }
            }
            Action::Apply { ticket, .. } => {
                let at = self.apply_start(now);
                Effect::DeliverLater { at: at + self.durations.apply, input: Input::Applied { ticket } }
            }
        }
    }

    /// When the stored change can be applied: now or, if [`MAX_DRAINING`] routers are draining, when the
    /// oldest of them ends. Only changes of classes and of the fleet replace the router; all others are
    /// applied in place.
    fn apply_start(&mut self, now: Time) -> Time {
        let needs_router = |part: &&Part| matches!(part.kind, Kind::Classes | Kind::Fleet);
        let changed =
            self.stored.iter().filter(needs_router).any(|p| self.running(p.kind) != Some(p.version));
        if !changed {
            return now;
        }
        while self.draining.front().is_some_and(|end| *end <= now) {
            self.draining.pop_front();
        }
        let mut at = now;
        if self.draining.len() >= MAX_DRAINING {
            at = self.draining.pop_front().unwrap_or(now);
        }
        self.draining.push_back(at + self.durations.drain);
        at
    }

    fn all_versions(&self) -> Vec<String> {
        self.applied.iter().map(|a| format!("{}/{}", a.kind.name(), a.version)).collect()
    }
}

fn new_client(name: &str, file: &Node, stored: Vec<Part>) -> Result<Client, String> {
    let node = (name.to_owned(), "main".to_owned());
    let describe = |problems: Vec<badgerwind_settings::Problem>| format!("{problems:?}");
    let (client, _, problems) = Client::new(node, file.clone(), stored, DEFAULT_TIMING).map_err(describe)?;
    if problems.is_empty() {
        Ok(client)
    } else {
        Err(describe(problems))
    }
}

fn health(now: Time) -> Health {
    Health { served: now / SECOND * CALLS_PER_SECOND, refused: 0, failed: 0 }
}
