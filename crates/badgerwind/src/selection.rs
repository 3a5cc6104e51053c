//! Selection of a worker for a request, and the rules on further attempts.

use crate::{eligibility::ABSENCE_VALID, interface::*, records::*, router::Router, router::MAX_HOLD};
use badgerwind_placement::unit_hash;

const CROWDING: f64 = 0.3; // Expected time added by each request of another front end, in service times.
const RETRY_PENALTY: f64 = 0.3; // Cost of a failure as a share of the aim, where the request can be repeated.
pub(crate) const CANDIDATES: usize = 128; // Most workers compared in one decision; of more, a random part.
const NEXT_PREFERRED: usize = 8; // Further preferred workers that relieve one loaded above the mean.

/// The lanes that a request found.
struct LaneSearch {
    /// The free lane of least price, by its worker.
    best: Option<(f64, WorkerId)>,
    /// The lanes become free before a load would end, also for the requests ahead.
    free_soon: bool,
}

impl Router {
    /// Whether the next attempt uses the retry budget: it follows a failed attempt or is a client's retry.
    pub(crate) fn is_retry(&self, open: &OpenRequest) -> bool {
        open.attempts.last().map_or(open.retry, |attempt| !attempt.exempt)
    }

    /// Prefers a warm lane believed to be free; else waits if a lane frees before a load ends; else the first
    /// preferred worker not known to be cold; else a load order. `ahead` requests are served before this one.
    pub(crate) fn choose(&self, slot: usize, open: &OpenRequest, ahead: usize) -> Choice {
        if self.is_retry(open) && self.state.retry_budget < 1.0 {
            return Choice::Wait;
        }
        let lanes = self.look_for_lane(slot, open, ahead);
        if let Some((_, id)) = lanes.best {
            return Choice::Send(self.relieving_worker(slot, open, id).unwrap_or(id));
        }
        let load_time = self.state.functions[slot].load_time;
        let waited = self.now.saturating_sub(open.arrived_at) as f64 / load_time;
        if lanes.free_soon && waited <= MAX_HOLD {
            return Choice::Wait;
        }
        self.choose_without_lane(slot, open, waited)
    }

    /// The free warm lane of least price, and whether the function's lanes become free in time.
    fn look_for_lane(&self, slot: usize, open: &OpenRequest, ahead: usize) -> LaneSearch {
        let (function, mean) = (&self.state.functions[slot], self.service(slot));
        let mut best: Option<(f64, WorkerId)> = None;
        let mut free_lanes = FreeLaneCount::new(function.load_time, mean, ahead);
        for (&id, copies) in self.some_copies(slot, open) {
            let Some(worker) = self.state.workers.get(&id).filter(|worker| worker.ready) else { continue };
            let warm = self.expected_copies(slot, id);
            for &(at, want) in copies.orders.iter().filter(|order| order.1 > warm) {
                let left = at as f64 + function.load_time - self.now as f64;
                let free_in = left.max(function.load_time / 4.0);
                free_lanes.add((want - warm).saturating_mul(function.lanes), free_in);
            }
            if warm == 0 || !self.may_use(worker, open) {
                continue;
            }
            let age = self.now.saturating_sub(copies.known_at) as f64 / function.load_time;
            let taken = f64::from(copies.in_flight) + copies.foreign * (-age).exp();
            let time = mean * self.load_factor(worker);
            // Other front ends' calls are not visible: crowding is a price, and a random term spreads calls.
            let shared = function.spread > 0 && copies.in_flight < warm * function.lanes;
            let random = unit_hash(&open.id, id);
            let time = if shared { time * (1.0 + CROWDING * copies.foreign + random) } else { time };
            if shared || taken + 0.5 < f64::from(warm * function.lanes) {
                let price = self.price(time, (id, worker), open);
                best = best.filter(|best| best.0 <= price).or(Some((price, id)));
            } else {
                free_lanes.add_busy(taken as u32, time / taken);
            }
        }
        // Each lane that becomes free serves the requests ahead first.
        LaneSearch { best, free_soon: free_lanes.exceeds_enough() }
    }

    /// What an attempt at a worker costs, as a time: failures weigh most where a failed request cannot be
    /// repeated.
    fn price(&self, time: f64, (id, worker): (WorkerId, &Worker), open: &OpenRequest) -> f64 {
        let aim = self.aim(open);
        let once = self.settings.classes[open.class].effect == Effect::Once;
        let failures = worker.health.failure_rate * aim * if once { 1.0 } else { RETRY_PENALTY };
        let same_zone = worker.zone == self.settings.my_zone;
        let cross = if same_zone { 0.0 } else { self.settings.zone_price * aim };
        time + failures + cross + if open.tried(id) { aim } else { 0.0 }
    }

    /// A preferred worker with less load than the chosen one. All front ends prefer the same workers: one
    /// loaded above the mean passes calls on to the next.
    fn relieving_worker(&self, slot: usize, open: &OpenRequest, id: WorkerId) -> Option<WorkerId> {
        let function = &self.state.functions[slot];
        let load = |worker: &Worker| self.relative_load(worker) / self.state.mean_load;
        let load_of = |id: &WorkerId| self.state.workers.get(id).map_or(1.0, load);
        let own_load = load_of(&id);
        let moves = unit_hash(&open.id, !id) * own_load > 1.0;
        if !moves || self.settings.when_absent != WhenAbsent::Load {
            return None;
        }
        let mut candidates = function.preferred.iter().take(function.spread + NEXT_PREFERRED);
        let lighter =
            |id: &&WorkerId| load_of(id) < own_load && self.may_go_to(**id, open) && !open.tried(**id);
        candidates.find(lighter).copied()
    }

    /// No warm lane frees soon: the first preferred worker unless it is known to be cold, else a load
    /// order, else the queue at a warm worker. `waited` is in load times.
    fn choose_without_lane(&self, slot: usize, open: &OpenRequest, waited: f64) -> Choice {
        let function = &self.state.functions[slot];
        let first = function.preferred.iter().find(|id| self.may_go_to(**id, open) && !open.tried(**id));
        let spare = self.settings.max_attempts as usize > open.attempts.len() + 1 || !self.settings.may_order;
        if let Some(id) = first.filter(|id| spare && !self.is_known_cold(slot, **id)) {
            return Choice::Send(*id);
        }
        let may_order = self.settings.may_order && !self.is_doubtful(slot);
        if let Some(id) = self.load_target(slot, true).filter(|_| may_order && self.within_order_limit(1.0)) {
            return Choice::Load(id);
        }
        // No order is possible: a request that has waited for a load time joins the queue at a warm worker.
        if waited > 1.0 || !self.settings.may_order {
            if let Some(id) = self.shortest_queue(slot, open) {
                return Choice::Send(id);
            }
        }
        Choice::Wait
    }

    /// Whether a worker is known to hold no copy that a request could use: an attempt in flight there may
    /// load one, or a recent report says that there is none.
    fn is_known_cold(&self, slot: usize, id: WorkerId) -> bool {
        let function = &self.state.functions[slot];
        let valid_until = |copies: &Copies| copies.known_at + ABSENCE_VALID * function.load_time as u64;
        let cold =
            |copies: &Copies| copies.in_flight > 0 || copies.count == 0 && valid_until(copies) > self.now;
        function.copies.get(&id).is_some_and(|copies| cold(copies))
    }

    /// The warm worker with the fewest own attempts, else any preferred one where workers load by themselves.
    fn shortest_queue(&self, slot: usize, open: &OpenRequest) -> Option<WorkerId> {
        let usable = |id: WorkerId, copies: &Copies| copies.count > 0 && self.may_go_to(id, open);
        let queues = self.some_copies(slot, open).filter(|(id, copies)| usable(**id, copies));
        let shortest = queues.map(|(id, copies)| (copies.in_flight, *id)).min();
        let loads = self.settings.when_absent == WhenAbsent::Load;
        let mut preferred = self.state.functions[slot].preferred.iter();
        let any = || preferred.find(|id| loads && self.may_go_to(**id, open)).copied();
        shortest.map(|queue| queue.1).or_else(any)
    }

    /// The copies that are compared for a request.
    fn some_copies(&self, slot: usize, open: &OpenRequest) -> impl Iterator<Item = (&WorkerId, &Copies)> {
        let chance = unit_hash(&open.id, open.attempts.len() as u32);
        self.state.some_copies(slot, CANDIDATES, chance)
    }

    fn aim(&self, open: &OpenRequest) -> f64 {
        self.settings.classes[open.class].aim.max(1) as f64
    }

    /// Whether a listed worker may take the next attempt of a request.
    fn may_go_to(&self, id: WorkerId, open: &OpenRequest) -> bool {
        self.state.workers.get(&id).is_some_and(|worker| self.may_use(worker, open))
    }

    fn may_use(&self, worker: &Worker, open: &OpenRequest) -> bool {
        self.is_usable(worker, open) && self.may_send(open, worker)
    }

    /// Rule 2: whether another attempt, to this worker, is allowed now.
    pub(crate) fn may_send(&self, open: &OpenRequest, worker: &Worker) -> bool {
        let class = &self.settings.classes[open.class];
        let in_flight = open.attempts.iter().filter(|attempt| attempt.in_flight).count();
        let others_allowed = usize::from(self.settings.may_duplicate);
        let exhausted = open.attempts.len() >= self.settings.max_attempts.max(1) as usize;
        if !worker.ready || open.ended || open.stream || exhausted || in_flight > others_allowed {
            return false;
        }
        let Some(first) = open.attempts.iter().find(|attempt| !attempt.never_ran) else { return true };
        match class.effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::ByKey => {
                let in_window = self.now < first.sent + class.window.saturating_sub(2 * self.settings.round);
                let first = self.state.workers.get(&first.worker);
                in_window && first.is_some_and(|first| first.drops_repeats(worker, class.group))
            }
        }
    }
}
