//! Moves traffic away from a failing zone: runs the state machines of `badgerwind-zones` over the datagrams
//! between front ends. It sits between the runner list and the engine and reports runners of an evacuated
//! zone to the decision module as draining, so that work there ends and nothing new is sent. The module still
//! decides each call.

use crate::clock::Clock;
use crate::dispatch::Input;
use crate::metrics::{ByZone, Metrics};
use crate::peers::Peers;
use crate::runners::Runners;
use async_channel::{Receiver, Sender};
use badgerwind::interface::{Availability, ListKind, Outcome, Time, WorkerEntry, WorkerId};
use badgerwind_settings::{Leaving, Settings};
use badgerwind_zones::{Cause, FleetEvidence, Member, Message, Node, Observation};
use futures_lite::FutureExt;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

struct State {
    node: Node,
    /// The runners as listed, and whether they were reported to the module unchanged, that is, as open.
    listed: BTreeMap<WorkerId, (WorkerEntry, bool)>,
    /// Share in eighths, generation and cause logged last for each zone.
    logged: Vec<(u8, u16, Cause)>,
}

/// Moves traffic away from failing zones.
pub(crate) struct Zones {
    clock: Clock,
    me: u32,
    names: Vec<String>,
    heartbeat_interval: Duration,
    peers: Arc<Peers>,
    runners: Arc<Runners>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

/// What the end of an attempt or a probe says about its runner.
enum Evidence {
    Observed(Observation),
    /// It ended without an answer.
    Unanswered,
}

fn evidence_of(outcome: Outcome, late: bool) -> Option<Evidence> {
    match outcome {
        Outcome::Ok if late => Some(Evidence::Observed(Observation::Late)),
        Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Miss => {
            Some(Evidence::Observed(Observation::Answered))
        }
        Outcome::ConnectFailed | Outcome::Reset => Some(Evidence::Observed(Observation::Lost)),
        // The module cancels overdue attempts. A caller that disconnected is the rarer case; the next answer
        // corrects the count.
        Outcome::Timeout | Outcome::Cancelled => Some(Evidence::Unanswered),
        Outcome::Moot => None,
    }
}

impl Zones {
    /// `None` if the settings do not enable it.
    pub(crate) fn new(
        settings: &Settings,
        clock: Clock,
        peers: Arc<Peers>,
        runners: Arc<Runners>,
        metrics: Arc<Metrics>,
    ) -> Option<Arc<Zones>> {
        let leaving = settings.leaving.clone()?;
        let zone_settings = leaving.settings.clone();
        let me = settings.router.my_number;
        let heartbeat_interval = Duration::from_micros(zone_settings.heartbeat_interval);
        let zones = settings.zones.len();
        let node = Node::new(clock.now(), me as Member, zones, zone_settings, fastrand::f64());
        let state = State { node, listed: BTreeMap::new(), logged: vec![(0, 0, Cause::Fleet); zones] };
        let names = settings.zones.clone();
        let state = Mutex::new(state);
        let zones = Arc::new(Zones { clock, me, names, heartbeat_interval, peers, runners, metrics, state });
        zones.set_directives(&leaving);
        Some(zones)
    }

    /// Applies the operator's directives for zones.
    pub(crate) fn set_directives(&self, leaving: &Leaving) {
        let mut state = self.state();
        let now = self.clock.now();
        for (zone, directive) in leaving.directives.iter().enumerate() {
            let action = directive.as_ref().map(|d| d.0);
            if let (true, Some(name)) = (state.node.directive(zone) != action, self.names.get(zone)) {
                let why = directive.as_ref().map_or("", |d| d.1.as_str());
                tracing::info!(zone = %name, word = ?action, why, "the operator's directive for a zone changed");
            }
        }
        let directives: Vec<_> = leaving.directives.iter().map(|d| d.as_ref().map(|d| d.0)).collect();
        state.node.set_directives(now, &directives);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the end of an attempt or a probe.
    pub(crate) fn record_end(
        &self,
        now: Time,
        worker: WorkerId,
        outcome: Outcome,
        sent_at: Time,
        late: bool,
    ) {
        let mut state = self.state();
        match evidence_of(outcome, late) {
            Some(Evidence::Observed(observation)) => state.node.record(now, worker, observation, sent_at),
            Some(Evidence::Unanswered) => state.node.record_unanswered(now, worker, sent_at),
            None => {}
        }
    }

    /// Handles a message from another front end; false if it does not concern zones.
    pub(crate) fn receive(&self, from: u32, bytes: &[u8]) -> bool {
        let (Ok(member), Some(message)) = (Member::try_from(from), Message::decode(bytes)) else {
            return false;
        };
        let now = self.clock.now();
        let answer = self.state().node.receive(now, member, &message);
        answer.into_iter().for_each(|a| self.peers.send(Some(from), &a.encode()));
        true
    }

    /// Forwards the runner list as the module is to see it, and every change of open zones, until the list's
    /// sender ends.
    pub(crate) async fn run(self: Arc<Self>, lists: Receiver<Input>, inputs: Sender<Input>) {
        let mut heartbeats = 0;
        loop {
            let list = async { lists.recv().await.ok().map(Some) };
            let due = async {
                smol::Timer::after(self.heartbeat_interval / 4).await;
                Some(None)
            };
            let input = match list.or(due).await {
                None => return,
                Some(Some(Input::List { kind, entries })) => Some(self.apply_list(kind, entries)),
                Some(Some(other)) => Some(other),
                Some(None) => self.tick(&mut heartbeats),
            };
            if let Some(input) = input {
                if inputs.send(input).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Applies a list and returns it as the module is to see it.
    fn apply_list(&self, kind: ListKind, mut entries: Vec<WorkerEntry>) -> Input {
        let mut state = self.state();
        let State { node, listed, .. } = &mut *state;
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            listed.clear();
        }
        for entry in &mut entries {
            let open = node.is_open(entry.worker, entry.zone as usize);
            match entry.availability {
                Availability::Removed => _ = listed.remove(&entry.worker),
                _ => _ = listed.insert(entry.worker, (entry.clone(), open)),
            }
            if !open && entry.availability == Availability::Ready {
                entry.availability = Availability::Draining;
            }
        }
        let ready = listed.values().filter(|(e, _)| e.availability == Availability::Ready);
        node.evidence.set_executors(ready.map(|(e, _)| (e.worker, e.zone as usize, e.size)));
        Input::List { kind, entries }
    }

    fn tick(self: &Arc<Self>, heartbeats: &mut u64) -> Option<Input> {
        let mut state = self.state();
        let now = self.clock.now();
        let State { node, listed, logged } = &mut *state;
        let out = node.tick(now);
        let probes = if node.heartbeats() == *heartbeats { Vec::new() } else { node.executors_to_probe() };
        *heartbeats = node.heartbeats();
        for (zone, last) in logged.iter_mut().enumerate() {
            let Some((zone_state, cause)) = node.zone_state(zone) else { continue };
            let name = &self.names[zone];
            let current = (zone_state.stage.share().mul_add(8.0, 0.0) as u8, zone_state.generation, cause);
            if current != *last {
                // The line includes the evidence, so that the cause can be found from the log later.
                let FleetEvidence { members, digest } = node.fleet_evidence(now, zone).unwrap_or_default();
                let own = node.observed_counts(now, zone);
                tracing::info!(
                    zone = %name,
                    stage = zone_state.stage.name(),
                    share = node.share(zone),
                    generation = zone_state.generation,
                    alone = (cause == Cause::Alone),
                    fronts = members,
                    hearing = digest.reached_by,
                    lost_64ths = digest.lost,
                    late_64ths = digest.late,
                    own_heard = own.answered,
                    own_late = own.late,
                    own_lost = own.lost,
                    failed_returns = zone_state.failed_returns,
                    "a zone changed its stage"
                );
                *last = current;
            }
            let label = ByZone { zone: name.clone() };
            self.metrics.zone_share.get_or_create(&label).set(node.share(zone));
            self.metrics.zone_moves.get_or_create(&label).set(i64::from(zone_state.generation));
        }
        let mut entries = Vec::new();
        for (entry, open) in listed.values_mut() {
            let next = node.is_open(entry.worker, entry.zone as usize);
            if next != *open {
                *open = next;
                if entry.availability == Availability::Ready {
                    let availability = if next { Availability::Ready } else { Availability::Draining };
                    entries.push(WorkerEntry { availability, ..entry.clone() });
                }
            }
        }
        drop(state);
        out.iter().for_each(|(to, message)| self.peers.send(Some(u32::from(*to)), &message.encode()));
        for worker in probes {
            let me = self.clone();
            smol::spawn(async move {
                let (outcome, _) = me.runners.probe(worker).await;
                me.record_end(me.clock.now(), worker, outcome, now, false);
            })
            .detach();
        }
        (!entries.is_empty()).then_some(Input::List { kind: ListKind::Changes, entries })
    }

    /// The state of all zones, for operators.
    pub(crate) fn report(&self) -> Value {
        let state = self.state();
        let (now, node) = (self.clock.now(), &state.node);
        let (sizes, counts) =
            (node.evidence.sizes(node.zone_count()), node.evidence.listed_counts(node.zone_count()));
        let zone = |(n, name): (usize, &String)| {
            let (zone_state, cause) = node.zone_state(n)?;
            let own = node.observed_counts(now, n);
            let fleet = node.fleet_evidence(now, n);
            Some(json!({
                "name": name,
                "stage": zone_state.stage.name(),
                "share": node.share(n),
                "generation": zone_state.generation,
                "since_ms": now.saturating_sub(zone_state.since) / 1000,
                "failed_returns": zone_state.failed_returns,
                "alone": cause == Cause::Alone,
                "word": node.directive(n).map(|d| format!("{d:?}").to_lowercase()),
                "size": sizes[n],
                "runners": counts[n],
                "own": { "heard": own.answered, "late": own.late, "lost": own.lost },
                "fleet": fleet.map(|FleetEvidence { members, digest }| json!({
                    "fronts": members,
                    "hearing": digest.reached_by,
                    "lost": f64::from(digest.lost) / 64.0,
                    "late": f64::from(digest.late) / 64.0,
                })),
            }))
        };
        let zones: Vec<Value> = self.names.iter().enumerate().filter_map(zone).collect();
        json!({ "number": self.me, "zones": zones })
    }
}
