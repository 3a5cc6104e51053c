//! Handling of a request from its arrival to its final answer.

use crate::{interface::*, records::*, router::Router, router::MAX_RETRIES, shares::RATE_SPAN};
use badgerwind_forecast::STEPS_PER_LOAD;

pub(crate) const BINS: usize = 32; // Bins of arrivals kept for the forecast: eight load times.
const LOAD_GUESS: f64 = 0.08; // Load time where none is given or observed, as a share of the keep-alive.
const RETRY_SHARE: f64 = 0.2; // Retry budget: further attempts, by routers or clients, per new request.

impl Router {
    pub(crate) fn on_request(&mut self, request: Request, actions: &mut Actions) {
        let (now, keep) = (self.now, self.keep_alive());
        self.state.arrivals.push(now);
        if self.state.open.contains_key(&request.id) {
            return;
        } else if request.class >= self.settings.classes.len() {
            return actions.push(Action::Refuse { id: request.id, retry_after: None });
        }
        let slot = self.register_arrival(&request);
        // A function that was never served may not exist: its calls do not count against the tenant.
        let served = self.state.functions[slot].mean_service > 0.0;
        if let Some(rate) = self.state.tenant_rate.get_mut(request.tenant).filter(|_| served) {
            rate.add(now, keep * RATE_SPAN, 1e6 / (keep * RATE_SPAN)); // short, to detect a flood quickly
        }
        if !request.retry {
            self.state.arrival_rate.add(now, keep, 1e6 / keep);
            self.state.retry_budget = (self.state.retry_budget + RETRY_SHARE).min(MAX_RETRIES);
        }
        self.state.open.insert(request.id.clone(), OpenRequest::new(slot, &request, now));
        self.state.functions[slot].held.push(request.id);
        self.dispatch(slot, actions);
    }

    /// Counts an arrival for the function of a request and returns the function's slot.
    pub(crate) fn register_arrival(&mut self, request: &Request) -> usize {
        let (now, keep, start) = (self.now, self.keep_alive(), self.started_at.unwrap_or(self.now));
        let known = self.state.slots.get(&request.function).copied();
        let slot = known.unwrap_or_else(|| {
            let mean = self.state.load_sum / self.state.slots.len().max(1) as f64;
            let guess = if mean > 0.0 { mean } else { keep * LOAD_GUESS };
            let load = request.load_time.map_or(guess, |time| time as f64).max(self.interval as f64);
            let step = (load as u64 / STEPS_PER_LOAD).max(1);
            self.state.insert_function(request, load, step)
        });
        let function = &mut self.state.functions[slot];
        (function.memory, function.lanes, function.used_at) = (request.memory_mb, request.lanes.max(1), now);
        function.count_arrival(now, start, BINS as u64);
        function.uses.add(now, 2.0 * keep, 0.5);
        self.state.plan_next(slot);
        slot
    }

    /// Serves the held requests of a function, those of most worth and then the most urgent first.
    pub(crate) fn dispatch(&mut self, slot: usize, actions: &mut Actions) {
        self.refresh_preferred(slot);
        let mut held = self.state.take_held(slot);
        held.sort_by(|a, b| {
            let (x, y) = (&self.state.open[a], &self.state.open[b]);
            self.worth(y).total_cmp(&self.worth(x)).then(x.due.cmp(&y.due)).then(a.cmp(b))
        });
        // Signs of overload: the retry budget is used up, or more requests are held than there are workers.
        let many_held = self.state.held_count + held.len() > self.state.workers.len();
        let overloaded = self.state.retry_budget < 1.0 || many_held;
        let mut waiting = Vec::new();
        for id in held {
            let open = &self.state.open[&id];
            // Late traffic and traffic over its share yields under overload. A request without an attempt
            // after half of its time is answered, so that its client may try another front end.
            let half_over = || 2 * (self.now + self.interval) >= open.arrived_at + open.due;
            let yields = overloaded && (self.misses_aim(open) || self.over_share(open));
            let yields = yields && self.may_refuse(open) || open.attempts.is_empty() && half_over();
            let one_in_flight = || self.state.functions[slot].copies.values().any(|c| c.in_flight > 0);
            // Rule 1: the last maintenance run before the client gives up answers.
            let hopeless = self.too_late(open) || self.is_doubtful(slot) && one_in_flight();
            let choice = if hopeless { None } else { Some(self.choose(slot, open, waiting.len())) };
            match choice {
                Some(Choice::Send(worker)) => self.send(&id, worker, actions),
                Some(Choice::Load(worker)) => {
                    self.order_load(slot, worker, 1, actions);
                    waiting.push(id);
                }
                Some(Choice::Wait) if !yields => waiting.push(id),
                _ => self.finish(&id, actions),
            }
        }
        self.state.functions[slot].held = waiting;
        self.state.count_held(slot);
    }

    pub(crate) fn too_late(&self, open: &OpenRequest) -> bool {
        open.due <= self.now + self.interval + 2 * self.settings.round
    }

    /// Whether a request can no longer meet its aim; it yields to those that can.
    pub(crate) fn misses_aim(&self, open: &OpenRequest) -> bool {
        let aim = self.settings.classes[open.class].aim;
        self.now as f64 + self.service(open.slot) > (open.arrived_at + aim) as f64
    }

    pub(crate) fn worth(&self, open: &OpenRequest) -> f64 {
        let class = &self.settings.classes[open.class];
        let share = if self.over_share(open) { self.settings.over_share_worth } else { 1.0 };
        class.worth * share * if self.misses_aim(open) { class.late_worth } else { 1.0 }
    }

    pub(crate) fn may_refuse(&self, open: &OpenRequest) -> bool {
        let class = &self.settings.classes[open.class];
        let deduplicated = class.effect == Effect::ByKey && class.group == Group::All;
        let harmless = deduplicated || class.effect == Effect::Repeatable;
        harmless || open.attempts.iter().all(|attempt| attempt.never_ran)
    }

    pub(crate) fn send(&mut self, id: &RequestId, worker: WorkerId, actions: &mut Actions) {
        let slot = self.state.open[id].slot;
        self.state.retry_budget -= f64::from(u8::from(self.is_retry(&self.state.open[id])));
        let warm = self.warm_copies(slot, worker) > 0;
        let load = if warm { 0.0 } else { self.state.functions[slot].load_time };
        let slowness = self.state.workers.get(&worker).map_or(1.0, |worker| worker.slowness.max(1.0));
        let expected = (self.service(slot) * slowness * self.state.overdue_factor + load) as Micros;
        self.state.begin_attempt(id, worker, self.now, expected);
        let copies = self.state.functions[slot].copies.entry(worker);
        copies.and_modify(|copies| copies.used_at = if warm { self.now } else { copies.used_at });
        actions.push(Action::Send { id: id.clone(), worker, timeout: None });
    }

    /// Gives the final answer to a request that cannot be served.
    pub(crate) fn finish(&mut self, id: &RequestId, actions: &mut Actions) {
        let Some(open) = self.state.open.get(id).filter(|open| !open.ended && !open.stream) else { return };
        let refuse = Action::Refuse { id: id.clone(), retry_after: None };
        actions.push(if self.may_refuse(open) { refuse } else { Action::Fail { id: id.clone() } });
        self.end(id, actions);
    }
}
