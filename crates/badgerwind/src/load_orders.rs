//! Load orders: at which worker, for how many copies, and within which limit.

use crate::{interface::*, records::*, router::Router, selection::CANDIDATES};
use badgerwind_placement::unit_hash;

pub(crate) const MAX_COPIES: u32 = 16; // Most copies in one order; a plan has at most this many per worker.
const MAX_LOADS: u32 = 3; // Own loads pending at one worker: workers run a few and refuse the rest.
const LOAD_CAPACITY: f64 = 0.5; // Share of its capacity from which a warming worker is given loads.

impl Router {
    /// The worker for a new copy: the first preferred one that holds none, or holds the fewest. For a request
    /// that `waits`, workers with a free copy are left out: another copy would not let the request go there.
    pub(crate) fn load_target(&self, slot: usize, waits: bool) -> Option<WorkerId> {
        let function = &self.state.functions[slot];
        let fit = |worker: &Worker| {
            let room = worker.ready && self.now >= worker.no_load_until && worker.pending_loads < MAX_LOADS;
            room && (!worker.health.tripped || self.mostly_tripped()) && self.capacity(worker) > LOAD_CAPACITY
        };
        let all = if function.spread > 0 { function.spread + 1 } else { function.preferred.len() };
        let random = unit_hash(&function.name, self.now as u32);
        let skip = (random * all.saturating_sub(CANDIDATES) as f64) as usize;
        let candidates = function.preferred.iter().copied().take(all).skip(skip).take(CANDIDATES);
        let fitting = candidates.filter(|id| self.state.workers.get(id).is_some_and(fit));
        let pending = |id: &WorkerId| function.copies.get(id).map_or(0, |copies| copies.pending_count());
        let count = |id: &WorkerId| self.warm_copies(slot, *id).max(pending(id));
        let lanes = |id: &WorkerId| self.warm_copies(slot, *id) * function.lanes;
        let free = |id: &WorkerId| function.copies.get(id).is_some_and(|copies| lanes(id) > copies.in_flight);
        // A worker with MAX_COPIES would answer another order at once, without loading anything.
        fitting.filter(|id| count(id) < MAX_COPIES && !(waits && free(id))).min_by_key(count)
    }

    /// Rule 5: whether one more order fits this share of the limit in the sliding window.
    pub(crate) fn within_order_limit(&self, share: f64) -> bool {
        let from = self.now.saturating_sub(self.settings.load_window);
        let requests = self.state.arrivals.count_since(from + 1) as f64;
        let limit = share * (self.settings.load_free + self.settings.load_share * requests);
        let limit = limit.min(self.state.quotas.orders.unwrap_or(f64::INFINITY));
        self.settings.load_window == 0 || self.state.orders.count_since(from) as f64 + 1.0 <= limit
    }

    /// Orders `more` copies beyond those known or pending; 0 renews those. The worker itself frees memory.
    pub(crate) fn order_load(&mut self, slot: usize, id: WorkerId, more: u32, actions: &mut Actions) {
        let (function, warm) = (&self.state.functions[slot], self.warm_copies(slot, id));
        let pending = function.copies.get(&id).map_or(0, |copies| copies.pending_count());
        let copies = (warm.max(pending * more.min(1)) + more).min(MAX_COPIES);
        actions.push(Action::Load { worker: id, function: function.name.clone(), copies });
        self.state.orders.push(self.now);
        self.state.workers.entry(id).and_modify(|worker| worker.pending_loads += 1);
        self.state.copies_at(slot, id).orders.push((self.now, copies));
    }
}
