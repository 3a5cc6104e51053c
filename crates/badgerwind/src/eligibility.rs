//! Where copies are loaded or expected, and which workers may take a call.

use crate::{interface::*, records::*, router::Router, shares::LOAD_SPAN};
use badgerwind_placement::unit_hash;

pub(crate) const CELL_SIZE: usize = 128; // Most workers in a cell: bounds the cost of a call in any list.
const ENOUGH: usize = 16; // Least number of ready workers in the cells of a function, if there are that many.
const MANY: u32 = 8; // With more front ends, each sees too few calls of a function to rely on its own counts.
const USES: f64 = 3.0; // Uses by other front ends in a keep-alive, above which these keep a copy loaded too.
const BUSY_LANES: f64 = 4.0; // Own requests that double the expected service time at a worker of size 1.
pub(crate) const ABSENCE_VALID: u64 = 4; // Validity of a report that a worker holds no copy, in load times.
const PRIOR_MASS: f64 = 0.1; // Mass of the prior that a worker has the usual load, in answers.
const COLD_SHARE: f64 = 0.4; // Share of a cold worker's budget that all front ends together plan to use.

impl Router {
    /// Updates the preferred workers of a function: cells drawn by weight, rendezvous hash within. Front ends
    /// that share no state agree on them. They change with its cells only. The first `spread` share calls.
    pub(crate) fn refresh_preferred(&mut self, slot: usize) {
        let uses = self.state.functions[slot].uses.get(self.now, 2.0 * self.keep_alive());
        let shared = self.settings.front_ends > MANY && uses * f64::from(self.settings.front_ends - 1) > USES;
        self.state.void_stale_copies(slot);
        // By the next refresh the reach has at most doubled.
        self.state.find_preferred(slot, ENOUGH.max(2 * self.state.functions[slot].reach.round() as usize));
        let function = &mut self.state.functions[slot];
        function.reach = function.reach.clamp(1.0, function.preferred.len().max(1) as f64);
        let spread = if shared { function.reach.round() as usize } else { 0 };
        self.state.set_spread(slot, spread);
    }

    /// Copies to rely on: those believed warm, and one where a shared function is not known to be absent.
    pub(crate) fn expected_copies(&self, slot: usize, worker: WorkerId) -> u32 {
        let (function, warm) = (&self.state.functions[slot], self.warm_copies(slot, worker));
        let recent = |copies: &Copies| copies.known_at + ABSENCE_VALID * function.load_time as u64 > self.now;
        let cold = |copies: &Copies| copies.known_at > 0 && copies.count == 0 && recent(copies);
        u32::from(function.copies.get(&worker).is_some_and(|c| c.shared && !cold(c))).max(warm)
    }

    /// Copies believed warm: confirmed within the keep-alive, and not before `trust_from`.
    pub(crate) fn warm_copies(&self, slot: usize, worker: WorkerId) -> u32 {
        let alive = |used: Time| used + self.settings.keep_alive > self.now && used >= self.state.trust_from;
        let copies = self.state.functions[slot].copies.get(&worker);
        copies.filter(|copies| alive(copies.used_at)).map_or(0, |copies| copies.count)
    }

    /// Lower bound of the share of its full capacity that a worker has: linear warming is the worst case.
    pub(crate) fn capacity(&self, worker: &Worker) -> f64 {
        let Some(at) = worker.warming_since else { return 1.0 };
        let age = self.now.saturating_sub(at) as f64 / self.settings.warm_after.max(1) as f64;
        (self.settings.cold_from + (1.0 - self.settings.cold_from) * age).min(1.0)
    }

    /// Rule 4: this front end's share of a cold worker's budget, estimated from what the fleet serves.
    pub(crate) fn within_cold_budget(&self, worker: &Worker) -> bool {
        let (capacity, totals) = (self.capacity(worker), &self.state.totals);
        // Guards against demand beyond capacity: only rates that were once served show what workers can take.
        let demand = self.state.arrival_rate.get(self.now, self.keep_alive()) / totals.size.max(worker.size);
        let mean = totals.peak_rate / totals.served.max(1) as f64;
        let full_rate = worker.size * if totals.served > 0 { demand.min(mean) } else { demand };
        let window = self.settings.fall_window;
        let budget = full_rate * capacity * window as f64 / 1e6 * self.settings.fall_multiple * COLD_SHARE;
        let sent = worker.sends.count_since(self.now.saturating_sub(window)) as f64;
        // A budget below one send accumulates from a hashed start, so that front ends do not send at once.
        let age = self.now.saturating_sub(worker.warming_since.unwrap_or(0)) as f64 / window.max(1) as f64;
        let accumulated = budget / capacity * age * (self.settings.cold_from + capacity) / 2.0;
        let start = unit_hash(&self.settings.my_number.to_string(), worker.born.unwrap_or(0) as u32);
        sent < budget.floor() || sent < 1.0 && f64::from(worker.cold_sends) < (start + accumulated).floor()
    }

    /// More than half of the fleet is tripped: the cause is not single workers, so all are used.
    pub(crate) fn mostly_tripped(&self) -> bool {
        2 * self.state.totals.tripped > self.state.totals.ready
    }

    /// Whether a worker is ready, has room, and is healthy as a whole and for the request's kinds of traffic.
    pub(crate) fn is_usable(&self, worker: &Worker, open: &OpenRequest) -> bool {
        let repeatable = self.settings.classes[open.class].effect == Effect::Repeatable;
        let retry = self.now >= worker.health.retry_at && worker.in_flight == 0 && repeatable;
        let healthy = !worker.health.tripped || retry || self.mostly_tripped();
        let passes = |health: &Health| !health.tripped || self.now >= health.retry_at;
        let kind = |kind| worker.kind_health.get(&kind).is_none_or(|health| passes(health));
        let room = f64::from(worker.in_flight) < worker.attempt_limit && self.now >= worker.full_until;
        let warm = self.capacity(worker) >= 1.0 || self.within_cold_budget(worker);
        worker.ready && healthy && room && warm && open.kinds().into_iter().all(kind)
    }

    /// Factor on the service time: a worker's slowness or load, raised by attempts and loads for its size.
    pub(crate) fn load_factor(&self, worker: &Worker) -> f64 {
        let front_ends = self.settings.front_ends.clamp(1, MANY); // each is assumed to send as much there
        let in_progress = f64::from((worker.in_flight + worker.pending_loads) * front_ends);
        worker.slowness.max(self.relative_load(worker)) * (1.0 + in_progress / (BUSY_LANES * worker.size))
    }

    /// A worker's load as all front ends see it; 1 is usual, and also the value without messages.
    pub(crate) fn relative_load(&self, worker: &Worker) -> f64 {
        if !self.settings.may_message {
            return 1.0;
        }
        worker.load.mean(self.now, self.keep_alive() * LOAD_SPAN, 1.0, PRIOR_MASS)
    }
}
