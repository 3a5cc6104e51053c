//! Leaving a zone that fails, in a front end: the state machines of `badgerwind-zones` over the datagrams between front ends. It
//! stands between the list and the engine: a runner of a zone that is left is told to the module as draining, so that what
//! it holds ends and nothing new goes there. The module decides each call as before.

use crate::clock::Clock;
use crate::dispatch::Input;
use crate::metrics::{ByZone, Metrics};
use crate::peers::Peers;
use crate::runners::Runners;
use async_channel::{Receiver, Sender};
use badgerwind::interface::{Availability, ListKind, Outcome, Time, WorkerEntry, WorkerId};
use badgerwind_settings::{Leaving, Settings};
use badgerwind_zones::{Cause, Member, Message, Node, Observation};
use futures_lite::FutureExt;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

struct State {
    node: Node,
    /// The runners as listed, and whether the module was told of them as they are.
    listed: BTreeMap<WorkerId, (WorkerEntry, bool)>,
    /// What was logged last of each zone.
    told: Vec<(u8, u16, Cause)>,
}

pub(crate) struct Zones {
    clock: Clock,
    me: u32,
    names: Vec<String>,
    beat: Duration,
    peers: Arc<Peers>,
    runners: Arc<Runners>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

/// What an attempt's or a probe's end shows of its runner.
enum Shows {
    Seen(Observation),
    /// It was given up unanswered.
    Unanswered,
}

fn shows(outcome: Outcome, late: bool) -> Option<Shows> {
    match outcome {
        Outcome::Ok if late => Some(Shows::Seen(Observation::Late)),
        Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Miss => {
            Some(Shows::Seen(Observation::Answered))
        }
        Outcome::ConnectFailed | Outcome::Reset => Some(Shows::Seen(Observation::Lost)),
        // The module calls off what is overdue; a caller that left is the rarer case, and the next answer corrects it.
        Outcome::Timeout | Outcome::Cancelled => Some(Shows::Unanswered),
        Outcome::Moot => None,
    }
}

impl Zones {
    /// `None` where the settings do not ask for it.
    pub(crate) fn new(
        settings: &Settings,
        clock: Clock,
        peers: Arc<Peers>,
        runners: Arc<Runners>,
        metrics: Arc<Metrics>,
    ) -> Option<Arc<Zones>> {
        let leaving = settings.leaving.clone()?;
        let terms = leaving.settings.clone();
        let (me, beat) = (settings.router.my_number, Duration::from_micros(terms.heartbeat_interval));
        let zones = settings.zones.len();
        let node = Node::new(clock.now(), me as Member, zones, terms, fastrand::f64());
        let state = State { node, listed: BTreeMap::new(), told: vec![(0, 0, Cause::Fleet); zones] };
        let names = settings.zones.clone();
        let state = Mutex::new(state);
        let zones = Arc::new(Zones { clock, me, names, beat, peers, runners, metrics, state });
        zones.change(&leaving);
        Some(zones)
    }

    /// Takes an operator's words of zones over.
    pub(crate) fn change(&self, leaving: &Leaving) {
        let mut state = self.state();
        let now = self.clock.now();
        for (zone, word) in leaving.directives.iter().enumerate() {
            let is = word.as_ref().map(|w| w.0);
            if let (true, Some(name)) = (state.node.directive(zone) != is, self.names.get(zone)) {
                let why = word.as_ref().map_or("", |w| w.1.as_str());
                tracing::info!(zone = %name, word = ?is, why, "an operator's word of a zone");
            }
        }
        let directives: Vec<_> = leaving.directives.iter().map(|w| w.as_ref().map(|w| w.0)).collect();
        state.node.set_directives(now, &directives);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An attempt or a probe that went out then has ended.
    pub(crate) fn ended(&self, now: Time, worker: WorkerId, outcome: Outcome, sent: Time, late: bool) {
        let mut state = self.state();
        match shows(outcome, late) {
            Some(Shows::Seen(observation)) => state.node.record(now, worker, observation, sent),
            Some(Shows::Unanswered) => state.node.record_unanswered(now, worker, sent),
            None => {}
        }
    }

    /// Bytes from another front end; false where they are not of zones.
    pub(crate) fn heard(&self, from: u32, bytes: &[u8]) -> bool {
        let (Ok(member), Some(message)) = (Member::try_from(from), Message::decode(bytes)) else {
            return false;
        };
        let now = self.clock.now();
        let answer = self.state().node.receive(now, member, &message);
        answer.into_iter().for_each(|a| self.peers.tell(Some(from), &a.encode()));
        true
    }

    /// Passes the list on as the module is to see it, and every change of what is left, until the list's own side ends.
    pub(crate) async fn run(self: Arc<Self>, lists: Receiver<Input>, report: Sender<Input>) {
        let mut beats = 0;
        loop {
            let list = async { lists.recv().await.ok().map(Some) };
            let due = async {
                smol::Timer::after(self.beat / 4).await;
                Some(None)
            };
            let told = match list.or(due).await {
                None => return,
                Some(Some(Input::List { kind, entries })) => Some(self.listed(kind, entries)),
                Some(Some(other)) => Some(other),
                Some(None) => self.tick(&mut beats),
            };
            if let Some(input) = told {
                if report.send(input).await.is_err() {
                    return;
                }
            }
        }
    }

    /// The list has changed: what the module is told of it.
    fn listed(&self, kind: ListKind, mut entries: Vec<WorkerEntry>) -> Input {
        let mut state = self.state();
        let State { node, listed, .. } = &mut *state;
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            listed.clear();
        }
        for e in &mut entries {
            let open = node.is_open(e.worker, e.zone as usize);
            match e.availability {
                Availability::Removed => _ = listed.remove(&e.worker),
                _ => _ = listed.insert(e.worker, (e.clone(), open)),
            }
            if !open && e.availability == Availability::Ready {
                e.availability = Availability::Draining;
            }
        }
        let ready = listed.values().filter(|(e, _)| e.availability == Availability::Ready);
        node.evidence.set_executors(ready.map(|(e, _)| (e.worker, e.zone as usize, e.size)));
        Input::List { kind, entries }
    }

    fn tick(self: &Arc<Self>, beats: &mut u64) -> Option<Input> {
        let mut state = self.state();
        let now = self.clock.now();
        let State { node, listed, told } = &mut *state;
        let out = node.tick(now);
        let probes = if node.heartbeats() == *beats { Vec::new() } else { node.executors_to_probe() };
        *beats = node.heartbeats();
        for (zone, last) in told.iter_mut().enumerate() {
            let Some((zone_state, why)) = node.zone_state(zone) else { continue };
            let name = &self.names[zone];
            let is = (zone_state.stage.share().mul_add(8.0, 0.0) as u8, zone_state.generation, why);
            if is != *last {
                // The figures that it rests on: a line is for whoever asks why, the next day.
                let (fronts, d) = node.fleet_evidence(now, zone).unwrap_or_default();
                let own = node.observed_counts(now, zone);
                tracing::info!(
                    zone = %name,
                    stage = zone_state.stage.name(),
                    share = node.share(zone),
                    generation = zone_state.generation,
                    alone = (why == Cause::Alone),
                    fronts,
                    hearing = d.reached_by,
                    lost_64ths = d.lost,
                    late_64ths = d.late,
                    own_heard = own.answered,
                    own_late = own.late,
                    own_lost = own.lost,
                    failed_returns = zone_state.failed_returns,
                    "a zone changed its stage"
                );
                *last = is;
            }
            let label = ByZone { zone: name.clone() };
            self.metrics.zone_share.get_or_create(&label).set(node.share(zone));
            self.metrics.zone_moves.get_or_create(&label).set(i64::from(zone_state.generation));
        }
        let mut entries = Vec::new();
        for (e, open) in listed.values_mut() {
            let next = node.is_open(e.worker, e.zone as usize);
            if next != *open {
                *open = next;
                if e.availability == Availability::Ready {
                    let availability = if next { Availability::Ready } else { Availability::Draining };
                    entries.push(WorkerEntry { availability, ..e.clone() });
                }
            }
        }
        drop(state);
        out.iter().for_each(|(to, message)| self.peers.tell(Some(u32::from(*to)), &message.encode()));
        for worker in probes {
            let me = self.clone();
            smol::spawn(async move {
                let (outcome, _) = me.runners.probe(worker).await;
                me.ended(me.clock.now(), worker, outcome, now, false);
            })
            .detach();
        }
        (!entries.is_empty()).then_some(Input::List { kind: ListKind::Changes, entries })
    }

    /// All that is known here, for operators.
    pub(crate) fn report(&self) -> Value {
        let state = self.state();
        let (now, node) = (self.clock.now(), &state.node);
        let (sizes, counts) =
            (node.evidence.sizes(node.zone_count()), node.evidence.listed_counts(node.zone_count()));
        let zone = |(n, name): (usize, &String)| {
            let (zone_state, why) = node.zone_state(n)?;
            let own = node.observed_counts(now, n);
            let fleet = node.fleet_evidence(now, n);
            Some(json!({
                "name": name,
                "stage": zone_state.stage.name(),
                "share": node.share(n),
                "generation": zone_state.generation,
                "since_ms": now.saturating_sub(zone_state.since) / 1000,
                "failed_returns": zone_state.failed_returns,
                "alone": why == Cause::Alone,
                "word": node.directive(n).map(|w| format!("{w:?}").to_lowercase()),
                "size": sizes[n],
                "runners": counts[n],
                "own": { "heard": own.answered, "late": own.late, "lost": own.lost },
                "fleet": fleet.map(|(fronts, d)| json!({
                    "fronts": fronts,
                    "hearing": d.reached_by,
                    "lost": f64::from(d.lost) / 64.0,
                    "late": f64::from(d.late) / 64.0,
                })),
            }))
        };
        let zones: Vec<Value> = self.names.iter().enumerate().filter_map(zone).collect();
        json!({ "number": self.me, "zones": zones })
    }
}
