//! A hollow front end: the real client of the stream, with constants of time in place of replay, disk and router.

use super::settings::LONGEST_DEADLINE;
use super::SECOND;
use badgerwind_config::client::{Action, Client, Input, Time, Timing};
use badgerwind_config::wire::{DiscoveryRequest, Health};
use badgerwind_config::{Kind, Part};
use badgerwind_settings::document::Node;
use std::collections::{BTreeMap, VecDeque};

/// Calls a second of a front end at the planned size.
const CALLS_A_SECOND: u64 = 127;

/// Routers that still answer what they hold beside the newest; a further change waits for the oldest of them.
const MOST_LEAVING: usize = 4;

/// The pauses and waits of the settings' defaults.
const TIMES: Timing =
    Timing { stage_timeout: 10 * SECOND, min_backoff: SECOND / 2, max_backoff: 30 * SECOND };

/// What takes time at a front end, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Durations {
    /// Keys read and calls replayed.
    pub prepare: Time,
    /// The set written and synced.
    pub store: Time,
    /// The change handed to front, runners and engine.
    pub apply: Time,
    /// How long a router that was replaced still answers what it holds.
    pub leaving: Time,
}

impl Default for Durations {
    fn default() -> Self {
        Durations { prepare: 180_000, store: 5_000, apply: 1_000, leaving: LONGEST_DEADLINE }
    }
}

/// A defect put in on purpose, for tests of the checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FrontEndFault {
    /// None: the front end as it is.
    #[default]
    None,
    /// Each question names every version that ever ran.
    NamesAllVersions,
}

/// A version that began to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// When.
    pub at: Time,
    /// The type of resource.
    pub kind: Kind,
    /// Its number.
    pub version: u64,
}

/// A hollow front end.
pub struct FrontEnd {
    pub name: String,
    pub region: usize,
    /// The control machines that it knows, as its settings name them.
    pub services: Vec<usize>,
    /// How often it has gone on to the next of them.
    pub turn: usize,
    /// Cut off from every control machine.
    pub cut: bool,
    /// Questions that are open.
    pub open: BTreeMap<Kind, u64>,
    /// Counts its starts: what was under way before a restart is passed over.
    pub incarnation: u32,
    pub applied: Vec<Applied>,
    pub messages_in: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    client: Client,
    stored: Vec<Part>,
    leaving: VecDeque<Time>,
    durations: Durations,
    fault: FrontEndFault,
}

/// What a hollow front end wants done, with the moment at which its result is there.
pub enum Effect {
    /// A question to send now.
    Ask { kind: Kind, ask: u64, request: Box<DiscoveryRequest> },
    /// An input that comes at a later moment.
    Later { at: Time, input: Input },
}

impl FrontEnd {
    pub fn new(
        name: String,
        (region, services): (usize, Vec<usize>),
        file: &Node,
        (durations, fault): (Durations, FrontEndFault),
    ) -> Result<Self, String> {
        let client = client(&name, file, Vec::new())?;
        Ok(FrontEnd {
            name,
            region,
            services,
            turn: 0,
            cut: false,
            open: BTreeMap::new(),
            incarnation: 0,
            applied: Vec::new(),
            messages_in: 0,
            bytes_in: 0,
            bytes_out: 0,
            client,
            stored: Vec::new(),
            leaving: VecDeque::new(),
            durations,
            fault,
        })
    }

    /// The control machine that is asked next.
    pub fn service(&self) -> usize {
        self.services[self.turn % self.services.len()]
    }

    /// Starts anew with what was stored, or with nothing where the disk is new as well.
    pub fn restart(&mut self, file: &Node, disk: bool) -> Result<(), String> {
        let stored = if disk { std::mem::take(&mut self.stored) } else { Vec::new() };
        self.client = client(&self.name, file, stored.clone())?;
        self.stored = stored;
        self.incarnation += 1;
        self.open.clear();
        self.leaving.clear();
        Ok(())
    }

    pub fn begin(&mut self, now: Time) -> Vec<Effect> {
        let mut out = Vec::new();
        self.client.start(now, &mut out);
        self.effects(now, out)
    }

    pub fn next_wake(&self) -> Option<Time> {
        self.client.next_wake()
    }

    pub fn on(&mut self, now: Time, input: Input) -> Vec<Effect> {
        let applied = matches!(input, Input::Applied { .. });
        let mut out = Vec::new();
        self.client.handle(now, input, &mut out);
        if applied {
            self.note_applied(now);
        }
        self.effects(now, out)
    }

    /// The version that runs.
    pub fn running(&self, kind: Kind) -> Option<u64> {
        self.client.report().into_iter().find(|r| r.kind == kind).and_then(|r| r.running)
    }

    fn note_applied(&mut self, now: Time) {
        for report in self.client.report() {
            let Some(version) = report.running else { continue };
            let known = self.applied.iter().rev().find(|a| a.kind == report.kind).map(|a| a.version);
            if known != Some(version) {
                self.applied.push(Applied { at: now, kind: report.kind, version });
            }
        }
    }

    fn effects(&mut self, now: Time, out: Vec<Action>) -> Vec<Effect> {
        out.into_iter().map(|step| self.effect(now, step)).collect()
    }

    fn effect(&mut self, now: Time, step: Action) -> Effect {
        match step {
            Action::SendRequest { kind, request_id, mut request } => {
                request.node.metadata.health = health(now);
                if self.fault == FrontEndFault::NamesAllVersions {
                    request.resource_names = self.all_versions();
                }
                Effect::Ask { kind, ask: request_id, request }
            }
            Action::Prepare { ticket, .. } => {
                let input = Input::Prepared { ticket, result: Ok(()) };
                Effect::Later { at: now + self.durations.prepare, input }
            }
            Action::Store { ticket, parts } => {
                self.stored = parts;
                Effect::Later {
                    at: now + self.durations.store,
                    input: Input::Stored { ticket, result: Ok(()) },
                }
            }
            Action::Apply { ticket, .. } => {
                let at = self.router_changes_at(now);
                Effect::Later { at: at + self.durations.apply, input: Input::Applied { ticket } }
            }
        }
    }

    /// When the change can be applied: at once, or when the oldest of four replaced routers has ended. Changes of
    /// classes and of the fleet bring a new router; the others change in place.
    fn router_changes_at(&mut self, now: Time) -> Time {
        let router = |part: &&Part| matches!(part.kind, Kind::Classes | Kind::Fleet);
        let changed = self.stored.iter().filter(router).any(|p| self.running(p.kind) != Some(p.version));
        if !changed {
            return now;
        }
        while self.leaving.front().is_some_and(|ends| *ends <= now) {
            self.leaving.pop_front();
        }
        let mut at = now;
        if self.leaving.len() >= MOST_LEAVING {
            at = self.leaving.pop_front().unwrap_or(now);
        }
        self.leaving.push_back(at + self.durations.leaving);
        at
    }

    fn all_versions(&self) -> Vec<String> {
        self.applied.iter().map(|a| format!("{}/{}", a.kind.name(), a.version)).collect()
    }
}

fn client(name: &str, file: &Node, stored: Vec<Part>) -> Result<Client, String> {
    let node = (name.to_owned(), "main".to_owned());
    let text = |problems: Vec<badgerwind_settings::Problem>| format!("{problems:?}");
    let (client, _, problems) = Client::new(node, file.clone(), stored, TIMES).map_err(text)?;
    if problems.is_empty() {
        Ok(client)
    } else {
        Err(text(problems))
    }
}

fn health(now: Time) -> Health {
    Health { served: now / SECOND * CALLS_A_SECOND, refused: 0, failed: 0 }
}
