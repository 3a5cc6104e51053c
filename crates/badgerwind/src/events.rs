//! Events in, actions out: which part of the decisions takes which event. Nothing is decided here; the decisions are in
//! the files that `deploy/balancer.toml` names under `policy`, the types in `interface.rs`, the plain records in `state.rs`.
//! A [`Router`] forecasts each function's arrivals, plans loads and drops by a short horizon cost search, holds requests for
//! warm lanes that free soon, and keeps the five rules. See docs/design/module.md.

use crate::interface::*;
use crate::learn::FREE_LIMIT;
use crate::router::Router;
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
            Event::Parts(parts) => self.m.parts = parts,
            Event::Alarm { .. } | Event::Probed { .. } => {}
        }
    }

    /// Rule 3 follows from here: nothing new goes to a worker that is not `ready`, from this moment on. A new start,
    /// however it was announced, leaves it empty and cold, and trusted anew.
    fn on_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        self.m.listed(self.now, kind, entries, FREE_LIMIT);
    }
}
