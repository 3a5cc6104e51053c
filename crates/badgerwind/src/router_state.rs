//! The state of a router and its bookkeeping. It contains no decisions and no tuned values. The cost of a
//! call or of a change of the list grows with the call's candidates or with the change, never with the length
//! of the list.

use crate::held::{HeldQueue, Priority};
use crate::interface::*;
use crate::message;
use crate::recency::RecencyQueue;
use crate::records::*;
use badgerwind_cells::CellIndex;
use badgerwind_placement::{cells, fingerprint, preferred_workers};
use badgerwind_window::SlidingWindow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Parameters of one run of the periodic maintenance.
#[derive(Debug)]
pub(crate) struct MaintenanceLimits {
    /// Most workers, and most functions, in one run.
    pub max_items: usize,
    pub now: Time,
    /// Arrivals and orders, sends, and starts before these times are forgotten.
    pub window: Time,
    pub sends: Time,
    pub starts: Time,
    /// Functions not called since this time are forgotten.
    pub unused: Time,
    /// Time constant with which slowness without samples decays to 1.
    pub fade: f64,
}

/// The state of a router.
#[derive(Debug, Default)]
pub(crate) struct RouterState {
    pub workers: BTreeMap<WorkerId, Worker>,
    pub functions: Vec<Function>,
    /// Slots in `functions` by name, and slots that are free.
    pub slots: BTreeMap<FunctionId, usize>,
    pub free_slots: Vec<usize>,
    /// Functions that no worker has served or loaded so far: any client can name them.
    pub unconfirmed: RecencyQueue,
    /// Sum of the load times of all functions.
    pub load_sum: f64,
    /// Functions with held requests, and the number of requests held for functions that were ever served.
    pub waiting: BTreeSet<usize>,
    pub held_count: usize,
    /// Functions by the time of their next planning.
    pub planned: BTreeSet<(Time, usize)>,
    /// Workers in cells, sums over them, and workers by their short names in messages.
    pub index: CellIndex,
    pub totals: Totals,
    pub short_names: BTreeSet<([u8; 2], WorkerId)>,
    /// Workers with recent information on their load.
    pub workers_with_load: BTreeSet<WorkerId>,
    /// The last epoch given to any worker.
    pub epoch: u64,
    /// Where the next maintenance run continues, and the sum and number of the loads in the current pass.
    pub next_worker: WorkerId,
    pub next_function: usize,
    pub pass_loads: (f64, usize),
    pub open: BTreeMap<RequestId, OpenRequest>,
    pub arrivals: SlidingWindow,
    pub orders: SlidingWindow,
    /// Requests a second here, without retries, and by tenant.
    pub arrival_rate: DecayingSum,
    pub tenant_rate: Vec<DecayingSum>,
    /// Rates by tenant as other front ends last announced them, and when; and when to send the next message.
    pub peer_rates: BTreeMap<u32, (Time, Vec<f64>)>,
    pub next_message_at: Time,
    /// This front end's part of the fleet's limits.
    pub quotas: LocalQuotas,
    /// Mean service time by class; 0: unknown.
    pub class_service: Vec<f64>,
    /// Beliefs older than this are not trusted.
    pub trust_from: Time,
    /// When the list was last requested, and when a silent worker was last logged.
    pub asked_at: Time,
    pub logged_at: Time,
    /// Multiple of the expected service time that hardly any answer exceeds.
    pub overdue_factor: f64,
    /// Mean load of the ready workers.
    pub mean_load: f64,
    /// Further attempts that the retry budget allows now.
    pub retry_budget: f64,
    /// Recent beliefs about copies that proved false, by worker.
    pub mispredictions: VecDeque<(Time, WorkerId)>,
}

impl RouterState {
    /// Applies a list, at a cost that grows with what it changes. `limit` is the attempt limit of a worker
    /// that has just started.
    pub(crate) fn apply_list(&mut self, now: Time, kind: ListKind, entries: Vec<WorkerEntry>, limit: f64) {
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
            let missing: Vec<WorkerId> = self
                .workers
                .iter()
                .filter(|(id, worker)| !worker.removed && !listed.contains(id))
                .map(|(id, _)| *id)
                .collect();
            for id in missing {
                self.change_worker(id, |worker| (worker.ready, worker.removed) = (false, true));
                self.index.remove(id);
            }
        }
        for entry in entries {
            self.apply_entry(now, &entry, limit);
        }
    }
    fn apply_entry(&mut self, now: Time, entry: &WorkerEntry, limit: f64) {
        let id = entry.worker;
        if !self.workers.contains_key(&id) {
            self.epoch += 1;
            self.workers.insert(id, Worker::new(entry, now, limit, self.epoch));
            self.short_names.insert((message::short_name(id), id));
        }
        let mut restarted = false;
        self.change_worker(id, |worker| {
            restarted = worker.apply_entry(entry);
            if restarted {
                (worker.warming_since, worker.cold_sends) = (entry.born.max(worker.warming_since), 0);
                (worker.health, worker.attempt_limit) = (Health::default(), limit);
            }
        });
        let weight = self.workers.get(&id).map_or(0, Worker::weight);
        if entry.availability == Availability::Removed {
            self.index.remove(id);
        } else {
            self.index.set(id, weight);
        }
        if restarted || entry.availability == Availability::Removed {
            self.forget_copies(id, now);
        }
    }
    /// Treats a worker's process as started just now: without copies, and cold.
    pub(crate) fn presume_restart(&mut self, now: Time, id: WorkerId, limit: f64) {
        let found = self.change_worker(id, |worker| {
            (worker.warming_since, worker.cold_sends) = (Some(now), 0);
            worker.presumed_restart = true;
            (worker.health, worker.attempt_limit) = (Health { last_seen: now, ..Health::default() }, limit);
        });
        if found.is_some() {
            self.forget_copies(id, now);
        }
    }
    /// Changes a worker, and updates the totals.
    pub(crate) fn change_worker<T>(
        &mut self,
        id: WorkerId,
        change: impl FnOnce(&mut Worker) -> T,
    ) -> Option<T> {
        let worker = self.workers.get_mut(&id)?;
        self.totals.exclude(worker);
        let changed = change(worker);
        self.totals.include(worker);
        Some(changed)
    }
    /// Adds a function and returns its slot. It is unconfirmed.
    pub(crate) fn insert_function(&mut self, request: &Request, load_time: f64, step: Micros) -> usize {
        let (name, class) = (request.function.clone(), request.class);
        let slot = self.free_slots.pop().unwrap_or(self.functions.len());
        self.slots.insert(name.clone(), slot);
        self.functions.resize_with(self.functions.len().max(slot + 1), Function::default);
        let unconfirmed = Some(self.unconfirmed.push(slot));
        self.functions[slot] = Function { name, class, load_time, step, unconfirmed, ..Function::default() };
        self.load_sum += load_time;
        slot
    }
    /// Makes an unconfirmed function the most recently used one of these.
    pub(crate) fn renew_unconfirmed(&mut self, slot: usize) {
        let Some(stamp) = self.functions[slot].unconfirmed else { return };
        self.unconfirmed.remove(stamp);
        self.functions[slot].unconfirmed = Some(self.unconfirmed.push(slot));
    }
    /// Records that a worker has served a function or loaded a copy of it, which shows that it exists.
    pub(crate) fn confirm_function(&mut self, slot: usize) {
        if let Some(stamp) = self.functions[slot].unconfirmed.take() {
            self.unconfirmed.remove(stamp);
        }
    }
    /// Forgets the least recently used unconfirmed functions beyond `max` of them, at most `most` of them at
    /// once. Those with held requests, attempts or orders are kept.
    pub(crate) fn limit_unconfirmed(&mut self, max: usize, most: usize) {
        for _ in 0..most {
            let Some(slot) = self.unconfirmed.oldest().filter(|_| self.unconfirmed.len() > max) else {
                return;
            };
            if self.functions[slot].is_idle() {
                self.forget_function(slot);
            } else {
                self.renew_unconfirmed(slot);
            }
        }
    }
    /// Forgets a function that is idle.
    fn forget_function(&mut self, slot: usize) {
        let function = std::mem::take(&mut self.functions[slot]);
        self.slots.remove(&function.name);
        self.load_sum -= function.load_time;
        self.planned.remove(&(function.plan_at, slot));
        if let Some(stamp) = function.unconfirmed {
            self.unconfirmed.remove(stamp);
        }
        self.free_slots.push(slot);
    }
    /// Records a belief that proved false. Returns how many there are since `from`, and whether at several
    /// workers.
    pub(crate) fn record_misprediction(&mut self, now: Time, id: WorkerId, from: Time) -> (usize, bool) {
        self.mispredictions.push_back((now, id));
        self.mispredictions.retain(|misprediction| misprediction.0 >= from);
        (self.mispredictions.len(), self.mispredictions.iter().any(|misprediction| misprediction.1 != id))
    }
    pub(crate) fn mean_slowness(&self) -> f64 {
        (self.totals.slowness / self.totals.ready.max(1) as f64).max(0.1)
    }
    /// The next workers for maintenance, at most `most`, and whether they end a pass over all workers.
    fn workers_in_turn(&mut self, most: usize) -> (Vec<WorkerId>, bool) {
        let turn: Vec<WorkerId> =
            self.workers.range(self.next_worker..).take(most).map(|(id, _)| *id).collect();
        let next = turn.last().and_then(|last| last.checked_add(1));
        let more = next.is_some_and(|next| self.workers.range(next..).next().is_some());
        self.next_worker = next.filter(|_| more).unwrap_or(0);
        (turn, !more)
    }
    /// Runs a bounded part of the periodic maintenance. Returns the workers that it handled, and whether they
    /// end a pass over all workers.
    pub(crate) fn maintain(&mut self, limits: &MaintenanceLimits) -> (Vec<WorkerId>, bool) {
        self.arrivals.forget_before(limits.window);
        self.orders.forget_before(limits.window);
        self.maintain_functions(limits);
        let (workers, pass_ends) = self.workers_in_turn(limits.max_items);
        workers.iter().for_each(|id| self.maintain_worker(*id, limits));
        (workers, pass_ends)
    }
    /// Adds loads of ready workers to the current pass. The mean load is replaced at the end of a pass.
    pub(crate) fn average_loads(&mut self, loads: &[f64], pass_ends: bool) {
        self.pass_loads = (self.pass_loads.0 + loads.iter().sum::<f64>(), self.pass_loads.1 + loads.len());
        if pass_ends {
            let (sum, count) = std::mem::take(&mut self.pass_loads);
            self.mean_load = (sum / count.max(1) as f64).max(0.1);
        }
    }
    /// Forgets old sends and starts of a worker, and fades its slowness. A removed worker without attempts or
    /// loads is forgotten.
    fn maintain_worker(&mut self, id: WorkerId, limits: &MaintenanceLimits) {
        let unused = self.change_worker(id, |worker| {
            worker.sends.forget_before(limits.sends);
            worker.warming_since = worker.warming_since.filter(|&start| start > limits.starts);
            let last = std::mem::replace(&mut worker.maintained_at, limits.now);
            let passed = limits.now.saturating_sub(last);
            worker.slowness = 1.0 + (worker.slowness - 1.0) * (-(passed as f64) / limits.fade).exp();
            worker.removed && worker.in_flight == 0 && worker.pending_loads == 0
        });
        if unused == Some(true) {
            self.workers.remove(&id).iter().for_each(|worker| self.totals.exclude(worker));
            self.short_names.remove(&(message::short_name(id), id));
            self.workers_with_load.remove(&id);
        }
    }
    /// The worker that a message means: of those with this short name the one with the lowest id.
    pub(crate) fn by_short_name(&mut self, name: [u8; 2]) -> Option<(WorkerId, &mut Worker)> {
        let id = self.short_names.range((name, 0)..).next().filter(|entry| entry.0 == name)?.1;
        self.workers.get_mut(&id).map(|worker| (id, worker))
    }
    /// Forgets functions that have not been called for long, and copies at removed workers, unless attempts
    /// or orders are pending.
    fn maintain_functions(&mut self, limits: &MaintenanceLimits) {
        let (from, count) = (self.next_function, self.functions.len());
        let to = count.min(from + limits.max_items);
        self.next_function = if to < count { to } else { 0 };
        for slot in from..to {
            let (function, workers) = (&mut self.functions[slot], &self.workers);
            if function.step == 0 {
                continue; // a free slot
            }
            let listed = |id: &WorkerId| workers.get(id).is_some_and(|worker| !worker.removed);
            function.copies.retain(|id, copies| !copies.is_idle() || listed(id));
            if function.used_at < limits.unused && function.is_idle() {
                self.forget_function(slot);
            }
        }
    }
    /// Removes the functions whose next planning is due from the plan, and returns them in order of their
    /// slots.
    pub(crate) fn due_plans(&mut self, now: Time) -> BTreeSet<usize> {
        let mut due = BTreeSet::new();
        while let Some((at, slot)) = self.planned.first().copied().filter(|(at, _)| *at <= now) {
            self.planned.remove(&(at, slot));
            self.functions[slot].plan_at = 0;
            due.insert(slot);
        }
        due
    }
    /// Sets the next planning of a function to the end of its open bin, unless one is set.
    pub(crate) fn plan_next(&mut self, slot: usize) {
        let function = &mut self.functions[slot];
        if function.plan_at == 0 {
            function.plan_at = (function.bin_number + 1) * function.step;
            self.planned.insert((function.plan_at, slot));
        }
    }
    /// Sets a function's next planning, or lets it rest: where nothing can be planned, renewed or dropped
    /// before its next call, it releases what that call can compute again. `warm`: copies are believed to be
    /// loaded.
    pub(crate) fn rest_or_plan_next(&mut self, slot: usize, warm: bool) {
        let function = &mut self.functions[slot];
        let quiet = function.held.is_empty() && function.bins.iter().all(|&arrivals| arrivals == 0.0);
        let alone = function.spread == 0 && (warm || function.last_loads > 0.0);
        if !quiet || alone || function.copies.values().any(|copies| !copies.is_idle()) {
            return self.plan_next(slot);
        }
        function.bins = VecDeque::new();
        (function.preferred, function.cells_fingerprint) = (Vec::new(), 0);
        function.copies.values_mut().for_each(|copies| copies.orders = Vec::new());
    }
    /// The workers that a function may use, the most preferred first.
    pub(crate) fn preferred_workers(&self, slot: usize) -> impl Iterator<Item = &Worker> {
        self.functions[slot].preferred.iter().filter_map(|id| self.workers.get(id))
    }
    /// Copies of a function. If there are more than `max`, only that many, beginning at a worker that
    /// `chance`, from 0 to 1, selects.
    pub(crate) fn some_copies(
        &self,
        slot: usize,
        max: usize,
        chance: f64,
    ) -> impl Iterator<Item = (&WorkerId, &Copies)> {
        let function = &self.functions[slot];
        let drawn = function.preferred.get((chance * function.preferred.len() as f64) as usize).copied();
        let from = drawn.filter(|_| function.copies.len() > max).unwrap_or(0);
        let copies = function.copies.range(from..).chain(function.copies.range(..from));
        copies.map(|(id, copies)| (id, &**copies)).take(max)
    }
    /// Sum of a tenant's rates that other front ends announced since `from`, and the number of those front
    /// ends.
    pub(crate) fn sum_peer_rates(&self, tenant: usize, from: Time) -> (f64, f64) {
        let recent = self.peer_rates.values().filter(|(at, _)| *at >= from);
        let rates = recent.filter_map(|(_, rates)| rates.get(tenant));
        rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0))
    }
    /// Voids beliefs about copies at workers that have lost all their copies since.
    pub(crate) fn void_stale_copies(&mut self, slot: usize) {
        let function = &mut self.functions[slot];
        if function.epoch == self.epoch {
            return;
        }
        function.epoch = self.epoch;
        for (id, copies) in function.copies.iter_mut() {
            let worker = self.workers.get(id).filter(|worker| worker.epoch != copies.epoch);
            let Some(worker) = worker else { continue };
            (copies.count, copies.known_at) = (0, worker.emptied_at);
            (copies.foreign, copies.epoch) = (0.0, worker.epoch);
        }
    }
    /// The beliefs about a function's copies at a worker; a new, empty entry if there is none.
    pub(crate) fn copies_at(&mut self, slot: usize, id: WorkerId) -> &mut Copies {
        let epoch = self.workers.get(&id).map_or(0, |worker| worker.epoch);
        let fresh = || Box::new(Copies { epoch, ..Copies::default() });
        self.functions[slot].copies.entry(id).or_insert_with(fresh)
    }
    pub(crate) fn hold(&mut self, slot: usize, id: &RequestId, priority: Priority) {
        self.functions[slot].held.insert(id.clone(), priority);
        self.count_held(slot);
    }
    /// Updates the count of held requests and the set of functions with held requests.
    pub(crate) fn count_held(&mut self, slot: usize) {
        let function = &mut self.functions[slot];
        let counted = if function.mean_service > 0.0 { function.held.len() } else { 0 };
        self.held_count = self.held_count + counted - function.counted;
        function.counted = counted;
        if function.held.is_empty() {
            self.waiting.remove(&slot);
        } else {
            self.waiting.insert(slot);
        }
    }
    /// Removes and returns the requests held for a function.
    pub(crate) fn take_held(&mut self, slot: usize) -> HeldQueue {
        let held = std::mem::take(&mut self.functions[slot].held);
        self.count_held(slot);
        held
    }
    /// Returns requests that were taken, beside those that are held again since.
    pub(crate) fn return_held(&mut self, slot: usize, taken: HeldQueue) {
        if !taken.is_empty() {
            let held_again = std::mem::replace(&mut self.functions[slot].held, taken);
            self.functions[slot].held.extend(held_again);
        }
        self.count_held(slot);
    }
    /// Requests held for other functions that were ever served.
    pub(crate) fn held_elsewhere(&self, slot: usize) -> usize {
        self.held_count - self.functions[slot].counted
    }
    /// Begins a new epoch of a worker that has lost all its copies.
    pub(crate) fn forget_copies(&mut self, id: WorkerId, now: Time) {
        self.epoch += 1;
        let epoch = self.epoch;
        if let Some(worker) = self.workers.get_mut(&id) {
            (worker.epoch, worker.emptied_at) = (epoch, now);
        }
    }
    /// Marks a request as ended. Returns the attempts in flight that were not called off before, and marks
    /// them as called off.
    pub(crate) fn end(&mut self, id: &RequestId) -> Vec<u32> {
        let Some(open) = self.open.get_mut(id) else { return Vec::new() };
        open.ended = true;
        let attempts = open.attempts.iter_mut().enumerate().filter(|(_, a)| a.in_flight && !a.called_off);
        let newly_called_off = attempts.map(|(n, attempt)| (attempt.called_off = true, n as u32).1).collect();
        let (slot, all_ended) = (open.slot, open.attempts.iter().all(|attempt| !attempt.in_flight));
        self.functions[slot].held.remove(id);
        self.count_held(slot);
        if all_ended {
            self.open.remove(id);
        }
        newly_called_off
    }
    /// Forgets rates that other front ends announced before this time.
    pub(crate) fn forget_peer_rates(&mut self, before: Time) {
        self.peer_rates.retain(|_, (at, _)| *at >= before);
    }
    /// Ready workers for a message, at most as many as it has space for: first those whose load is best
    /// known, then others. Each id comes twice, as `message::encode` takes it.
    pub(crate) fn best_known_loads(&mut self, now: Time, span: f64) -> Vec<(WorkerId, WorkerId)> {
        let workers = &self.workers;
        let known = |id: &WorkerId| {
            let worker = workers.get(id)?;
            let mass = worker.load.mass(now, span);
            (mass > message::MIN_MASS).then_some((mass, *id, worker.ready))
        };
        let mut known: Vec<(f64, WorkerId, bool)> = self.workers_with_load.iter().filter_map(known).collect();
        self.workers_with_load = known.iter().map(|(_, id, _)| *id).collect();
        known.retain(|(_, _, ready)| *ready);
        known.sort_by(|a, b| b.0.total_cmp(&a.0));
        let ready = self.workers.iter().filter(|(_, worker)| worker.ready);
        let unknown = ready.filter(|(id, _)| !self.workers_with_load.contains(id));
        let ids = known.into_iter().map(|(_, id, _)| id).chain(unknown.map(|(id, _)| *id));
        ids.take(message::MAX_WORKERS).map(|id| (id, id)).collect()
    }
    /// Splits half of the mass of a worker's load off for a message.
    pub(crate) fn split_load(&mut self, id: WorkerId, now: Time, span: f64) -> [u8; 2] {
        self.workers.get_mut(&id).map_or([0; 2], |worker| worker.load.split_half(now, span))
    }
    /// Looks up a function's cells and preferred workers again if the list has changed since, or if fewer
    /// than `enough` are stored although there are more.
    pub(crate) fn find_preferred(&mut self, slot: usize, enough: usize) {
        let (function, index) = (&mut self.functions[slot], &self.index);
        let scarce = function.preferred.len() < enough.min(self.totals.ready);
        if function.cells_fingerprint > 0 && function.index_version == index.changes() && !scarce {
            return;
        }
        let cells = cells(&function.name, index, enough);
        function.index_version = index.changes();
        if function.cells_fingerprint != fingerprint(&cells) {
            function.cells_fingerprint = fingerprint(&cells);
            function.preferred = preferred_workers(&function.name, &cells);
            function.marked_spread = 0;
            function.copies.values_mut().for_each(|copies| copies.shared = false);
        }
    }
    /// Sets how many of a function's preferred workers serve its calls for all front ends, and updates
    /// [`Copies::shared`].
    pub(crate) fn set_spread(&mut self, slot: usize, spread: usize) {
        let function = &mut self.functions[slot];
        function.spread = spread;
        let marked = std::mem::replace(&mut function.marked_spread, spread);
        let count = function.preferred.len();
        for place in spread.min(marked)..spread.max(marked).min(count) {
            let id = self.functions[slot].preferred[place];
            self.copies_at(slot, id).shared = place < spread;
        }
    }
    pub(crate) fn begin_attempt(
        &mut self,
        id: &RequestId,
        worker_id: WorkerId,
        sent: Time,
        expected: Micros,
    ) {
        let Some(slot) = self.open.get(id).map(|open| open.slot) else { return };
        if !self.workers.contains_key(&worker_id) {
            return;
        }
        let copies = self.copies_at(slot, worker_id);
        let own = copies.in_flight;
        copies.in_flight += 1;
        let Some(open) = self.open.get_mut(id) else { return };
        let Some(worker) = self.workers.get_mut(&worker_id) else { return };
        worker.in_flight += 1;
        worker.sends.push(sent);
        worker.cold_sends += 1;
        open.attempts.push(Attempt {
            worker: worker_id,
            sent,
            own,
            expected,
            in_flight: true,
            never_ran: false,
            exempt: false,
            overdue: false,
            called_off: false,
        });
    }
    /// Records the end of an attempt; `None` for one that is unknown or has ended before.
    pub(crate) fn end_attempt(
        &mut self,
        id: &RequestId,
        attempt: u32,
        outcome: Outcome,
        exempt: bool,
    ) -> Option<&Attempt> {
        let open = self.open.get_mut(id)?;
        let attempt = open.attempts.get_mut(attempt as usize).filter(|attempt| attempt.in_flight)?;
        use Outcome::*;
        (attempt.in_flight, attempt.exempt) = (false, exempt);
        attempt.never_ran = matches!(outcome, Full | ConnectFailed | Moot | Miss);
        if let Some(worker) = self.workers.get_mut(&attempt.worker) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
        if let Some(copies) = self.functions[open.slot].copies.get_mut(&attempt.worker) {
            copies.in_flight = copies.in_flight.saturating_sub(1);
        }
        Some(attempt)
    }
}
