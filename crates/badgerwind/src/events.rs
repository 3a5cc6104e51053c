//! Events in, actions out: which part of the decisions takes which event. Nothing is decided here; the decisions are in
//! the files that `deploy/balancer.toml` names under `policy`, the types in `interface.rs`, the plain records in `state.rs`.
//! A [`Router`] forecasts each function's arrivals, plans loads and drops by a short horizon cost search, holds requests for
//! warm lanes that free soon, and keeps the five rules. See docs/design/module.md.

use crate::interface::*;
use crate::learn::FREE_LIMIT;
use crate::message;
use crate::router::Router;
use crate::shares::{LOAD_SPAN, MOST_TOLD};
use crate::state::*;

impl Router {
    /// Takes in an event and adds what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.begin(out);
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries),
            Event::Request(request) => self.on_request(request, out),
            Event::StreamBegan { id, .. } => _ = self.m.open.entry(id).and_modify(|o| o.stream = true),
            Event::Answer { id, attempt, outcome, last, lag, mark, crowd, .. } => {
                self.on_answer(&id, attempt, Told { outcome, last, lag, mark, crowd, own: 0, waited: 0 }, out)
            }
            Event::ClientGone { id } => self.end(&id, out),
            Event::Stopping => self.on_stop(out),
            Event::Alarm { name } if &*name == "sweep" => self.on_sweep(out),
            Event::Loaded { worker, function, outcome, copies, lag } => {
                self.on_loaded(worker, &function, Loaded { outcome, copies, lag }, out)
            }
            Event::Message { from, bytes } => self.on_message(from, &bytes),
            Event::PresumedRestart { worker } => self.m.presume_restart(self.now, worker, FREE_LIMIT),
            Event::Parts(parts) => self.m.parts = parts,
            Event::Alarm { .. } | Event::Probed { .. } => {}
        }
    }

    /// How much is remembered now.
    pub fn figures(&self) -> Figures {
        Figures {
            workers: self.m.workers.len(),
            ready: self.m.totals.ready,
            cells: self.m.index.cells(),
            functions: self.m.names.len(),
            planned: self.m.planned.len(),
            waiting: self.m.waiting.len(),
        }
    }

    /// Rule 3 follows from here: nothing new goes to a worker that is not `ready`, from this moment on. A new start,
    /// however it was announced, leaves it empty and cold, and trusted anew.
    fn on_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        self.m.listed(self.now, kind, entries, FREE_LIMIT);
    }

    /// The first sweep is set at a time of its own, so that front ends do not sweep in step.
    pub(crate) fn begin(&mut self, out: &mut Vec<Action>) {
        if self.began.is_none() {
            self.began = Some(self.now);
            let after = 1 + self.rng.u64(0..self.sweep);
            out.push(Action::SetAlarm { after, name: "sweep".into() });
        }
    }

    /// No more time is left here: whoever may try again does so elsewhere, while some of its own is.
    pub(crate) fn on_stop(&mut self, out: &mut Vec<Action>) {
        let all: Vec<RequestId> = self.m.open.keys().cloned().collect();
        all.iter().for_each(|id| self.finish(id, out));
    }

    /// A request is over: attempts still out are called off, and it is forgotten once they have ended.
    pub(crate) fn end(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let off = self.m.end(id).into_iter().filter(|_| self.set.may_cancel);
        out.extend(off.map(|attempt| Action::Cancel { id: id.clone(), attempt }));
    }

    /// Takes in what another front end tells.
    pub(crate) fn on_message(&mut self, from: u32, bytes: &[u8]) {
        let ours = from < self.set.front_ends && from != self.set.my_number;
        let Some(told) = message::read(bytes, MOST_TOLD).filter(|_| ours) else { return };
        self.m.told.insert(from, (self.now, told.rates));
        let span = self.keep() * LOAD_SPAN;
        for (name, word) in told.loads {
            let Some((id, worker)) = self.m.by_short_name(name) else { continue };
            worker.load.take(self.now, span, word);
            self.m.loaded.insert(id);
        }
    }
}
