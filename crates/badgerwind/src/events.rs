//! Dispatch of events to the parts of the router. The decisions themselves are in the files that
//! `deploy/balancer.toml` names under `policy`, the public types in `interface.rs`, and the records in
//! `records.rs`. A [`Router`] forecasts each function's arrivals, plans loads and drops by a short horizon
//! cost search, holds requests for warm lanes that free soon, and keeps five rules:
//!
//! 1. Each request gets its final answer in time.
//! 2. No further attempt is made where the request must not run again.
//! 3. A worker that is not ready gets nothing new.
//! 4. A worker that has just started is not sent more than its cold budget.
//! 5. Load orders stay within their limit.
//!
//! See docs/design/module.md.

use crate::feedback::MAX_LIMIT;
use crate::interface::*;
use crate::message;
use crate::records::*;
use crate::router::Router;
use crate::shares::{LOAD_SPAN, MAX_TENANTS};

impl Router {
    /// Handles an event and appends the resulting actions to `actions`. A `now` before that of an earlier
    /// event counts as that earlier time.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.begin(actions);
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries),
            Event::Request(request) => self.on_request(request, actions),
            Event::StreamBegan { id, .. } => {
                self.state.open.entry(id).and_modify(|open| open.stream = true);
            }
            Event::Answer { id, attempt, outcome, last, lag, mark, crowd, .. } => {
                let answer = Answer { outcome, last, lag, mark, crowd, own: 0, waited: 0 };
                self.on_answer(&id, attempt, answer, actions)
            }
            Event::ClientDisconnected { id } => self.end(&id, actions),
            Event::Stopping => self.on_stop(actions),
            Event::Alarm { name } if &*name == "sweep" => self.on_maintenance(actions),
            Event::Loaded { worker, function, outcome, copies, lag } => {
                self.on_loaded(worker, &function, LoadResult { outcome, copies, lag }, actions)
            }
            Event::Message { from, bytes } => self.on_message(from, &bytes),
            Event::PresumedRestart { worker } => self.state.presume_restart(self.now, worker, MAX_LIMIT),
            Event::LocalQuotas(quotas) => self.state.quotas = quotas,
            Event::Alarm { .. } | Event::Probed { .. } => {}
        }
    }

    /// The current size of the router's state.
    pub fn stats(&self) -> RouterStats {
        RouterStats {
            workers: self.state.workers.len(),
            ready: self.state.totals.ready,
            cells: self.state.index.cells(),
            functions: self.state.slots.len(),
            planned: self.state.planned.len(),
            waiting: self.state.waiting.len(),
        }
    }

    /// Applies a list. Rule 3 follows from it: a worker that is not `ready` gets nothing new from now on. A
    /// restart, however it was announced, leaves a worker without copies, cold, and with new health.
    fn on_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        self.state.apply_list(self.now, kind, entries, MAX_LIMIT);
    }

    /// Sets the first alarm at a random time, so that front ends do not run their maintenance in step.
    pub(crate) fn begin(&mut self, actions: &mut Actions) {
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            let after = 1 + self.rng.u64(0..self.interval);
            actions.push(Action::SetAlarm { after, name: "sweep".into() });
        }
    }

    /// Gives all open requests their final answer, so that their clients can still try another front end in
    /// time.
    pub(crate) fn on_stop(&mut self, actions: &mut Actions) {
        let all: Vec<RequestId> = self.state.open.keys().cloned().collect();
        all.iter().for_each(|id| self.finish(id, actions));
    }

    /// Ends a request: attempts in flight are called off, and it is forgotten once they have ended.
    pub(crate) fn end(&mut self, id: &RequestId, actions: &mut Actions) {
        let off = self.state.end(id).into_iter().filter(|_| self.settings.may_cancel);
        actions.extend(off.map(|attempt| Action::Cancel { id: id.clone(), attempt }));
    }

    /// Applies a message from another front end.
    pub(crate) fn on_message(&mut self, from: u32, bytes: &[u8]) {
        let from_peer = from < self.settings.front_ends && from != self.settings.my_number;
        let Some(message) = message::decode(bytes, MAX_TENANTS).filter(|_| from_peer) else { return };
        self.state.peer_rates.insert(from, (self.now, message.rates));
        let span = self.keep_alive() * LOAD_SPAN;
        for (name, load) in message.loads {
            let Some((id, worker)) = self.state.by_short_name(name) else { continue };
            worker.load.merge(self.now, span, load);
            self.state.workers_with_load.insert(id);
        }
    }
}
