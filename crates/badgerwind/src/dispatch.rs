//! Handling of a request from its arrival to its final answer.

use crate::shares::RATE_SPAN;
use crate::{held::Priority, interface::*, records::*, router::Router, router::MAX_RETRIES};
use badgerwind_forecast::STEPS_PER_LOAD;

pub(crate) const BINS: usize = 32; // Bins of arrivals kept for the forecast: eight load times.
const LOAD_GUESS: f64 = 0.08; // Load time where none is given or observed, as a share of the keep-alive.
const MAX_WAITING: usize = 64; // Requests of a function found to wait, after which a dispatch ends.
const REVIEW_RUNS: u64 = 2; // Maintenance runs after which each held request is decided on again.
const MIN_REVIEW: Micros = 50_000; // The least time until then, in µs.
const MAX_UNCONFIRMED: usize = 1024; // Functions remembered that no worker has served or loaded so far.
const MAX_FORGOTTEN: usize = 4; // Such functions looked at, to be forgotten, when another one is called.
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
        if self.state.functions[slot].held.len() < MAX_WAITING {
            self.hold(&request.id);
            self.dispatch(slot, actions);
        } else {
            self.join_queue(slot, &request.id, actions);
        }
    }

    /// Decides on a new request of a function for which many are held, and on those before it only if one may
    /// be sent now. Else they are decided on after the next answer and in the periodic maintenance.
    fn join_queue(&mut self, slot: usize, id: &RequestId, actions: &mut Actions) {
        self.refresh_preferred(slot);
        let ahead = self.state.functions[slot].held.len();
        if matches!(self.choose(slot, &self.state.open[id], ahead), Choice::Send(_)) {
            self.dispatch(slot, actions);
        }
        let ahead = self.state.functions[slot].held.len();
        let overloaded = self.is_overloaded(slot, ahead + 1);
        if self.decide(slot, id, ahead, overloaded, actions) {
            self.hold(id);
        }
    }

    /// Adds a request to those that wait for a lane of its function.
    pub(crate) fn hold(&mut self, id: &RequestId) {
        let open = &self.state.open[id];
        let (slot, priority) = (open.slot, self.priority(open));
        self.state.hold(slot, id, priority);
    }

    fn priority(&self, open: &OpenRequest) -> Priority {
        let last_chance = open.due.saturating_sub(self.interval + 2 * self.settings.round);
        let half = (open.arrived_at + open.due).div_ceil(2).saturating_sub(self.interval);
        let answer_by = if open.attempts.is_empty() { half.min(last_chance) } else { last_chance };
        let review_at = self.now + (REVIEW_RUNS * self.interval).max(MIN_REVIEW);
        let decide_by = answer_by.min(review_at);
        Priority { worth: self.worth(open), due: open.due, decide_by }
    }

    /// Counts an arrival for the function of a request and returns the function's slot.
    pub(crate) fn register_arrival(&mut self, request: &Request) -> usize {
        let (now, keep, start) = (self.now, self.keep_alive(), self.started_at.unwrap_or(self.now));
        let known = self.state.slots.get(&request.function).copied();
        match known {
            Some(slot) => self.state.renew_unconfirmed(slot),
            // Guards against names that clients make up: each of them would be kept for many keep-alives.
            None => self.state.limit_unconfirmed(MAX_UNCONFIRMED - 1, MAX_FORGOTTEN),
        }
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

    /// Serves the held requests of a function, those of most worth and then the most urgent first, until
    /// enough of them are found to wait. Of the others, only those whose decision is due are decided on.
    pub(crate) fn dispatch(&mut self, slot: usize, actions: &mut Actions) {
        self.refresh_preferred(slot);
        let mut held = self.state.take_held(slot);
        let overloaded = self.is_overloaded(slot, held.len());
        let mut waiting = 0;
        while waiting < MAX_WAITING && !held.is_empty() {
            for id in self.in_order_of_service(held.take_first(MAX_WAITING - waiting)) {
                if self.decide(slot, &id, waiting, overloaded, actions) {
                    waiting += 1;
                    self.hold(&id);
                }
            }
        }
        for id in self.in_order_of_service(held.take_due(self.now)) {
            if self.decide(slot, &id, waiting + held.len(), overloaded, actions) {
                waiting += 1;
                self.hold(&id);
            }
        }
        self.state.return_held(slot, held);
    }

    fn in_order_of_service(&self, mut ids: Vec<RequestId>) -> Vec<RequestId> {
        ids.sort_by_cached_key(|id| self.priority(&self.state.open[id]).service_key(id));
        ids
    }

    /// Signs of overload: the retry budget is used up, or more requests are held than there are workers.
    fn is_overloaded(&self, slot: usize, held_here: usize) -> bool {
        let held = self.state.held_elsewhere(slot) + held_here;
        self.state.retry_budget < 1.0 || held > self.state.workers.len()
    }

    /// Decides on a request of a function behind `ahead` others. Returns whether it is to be held.
    fn decide(
        &mut self,
        slot: usize,
        id: &RequestId,
        ahead: usize,
        overloaded: bool,
        actions: &mut Actions,
    ) -> bool {
        let open = &self.state.open[id];
        // Late traffic and traffic over its share yields under overload. A request without an attempt
        // after half of its time is answered, so that its client may try another front end.
        let half_over = || 2 * (self.now + self.interval) >= open.arrived_at + open.due;
        let yields = overloaded && (self.misses_aim(open) || self.over_share(open));
        let yields = yields && self.may_refuse(open) || open.attempts.is_empty() && half_over();
        let one_in_flight = || self.state.functions[slot].copies.values().any(|c| c.in_flight > 0);
        // Rule 1: the last maintenance run before the client gives up answers.
        let hopeless = self.too_late(open) || self.is_doubtful(slot) && one_in_flight();
        let choice = if hopeless { None } else { Some(self.choose(slot, open, ahead)) };
        match choice {
            Some(Choice::Send(worker)) => self.send(id, worker, actions),
            Some(Choice::Load(worker)) => {
                self.order_load(slot, worker, 1, actions);
                return true;
            }
            Some(Choice::Wait) if !yields => return true,
            _ => self.finish(id, actions),
        }
        false
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
