//! What a front end remembers, and its bookkeeping. Nothing is decided here, nothing is tuned. What a call or a
//! change of the list costs here grows with the call's candidates and with the change, never with the list.

use crate::interface::*;
use crate::message;
use crate::state::*;
use badgerwind_cells::CellIndex;
use badgerwind_placement::{cells, homes, mark};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What periodic maintenance goes by.
#[derive(Debug)]
pub(crate) struct Upkeep {
    /// Most workers, and most functions, at a time.
    pub most: usize,
    pub now: Time,
    /// Arrivals and orders, sends, and starts before these times are forgotten.
    pub window: Time,
    pub sends: Time,
    pub starts: Time,
    /// Functions not called since are forgotten.
    pub unused: Time,
    /// Span over which slowness without news fades.
    pub fade: f64,
}

/// What a front end remembers.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    pub workers: BTreeMap<WorkerId, Worker>,
    pub functions: Vec<Function>,
    pub names: BTreeMap<FunctionId, usize>,
    /// Places among the functions that stand for none.
    pub free: Vec<usize>,
    /// Load times of all functions, summed up.
    pub load_sum: f64,
    /// Functions with requests held, and how many are held of those that were ever served.
    pub waiting: BTreeSet<usize>,
    pub held: usize,
    /// Functions by the time of their next planning.
    pub planned: BTreeSet<(Time, usize)>,
    /// Workers in cells, sums over them, and workers by their short names in messages.
    pub index: CellIndex,
    pub totals: Totals,
    pub short_names: BTreeSet<([u8; 2], WorkerId)>,
    /// Workers whose load something was heard of lately.
    pub loaded: BTreeSet<WorkerId>,
    /// Number of the last epoch of any worker.
    pub epoch: u64,
    /// Where periodic maintenance goes on: the next worker and function, and the loads of this pass so far.
    pub next_worker: WorkerId,
    pub next_function: usize,
    pub pass: (f64, usize),
    pub open: BTreeMap<RequestId, Open>,
    pub arrivals: Recent,
    pub orders: Recent,
    pub rate: Decay,
    pub tenant_rate: Vec<Decay>,
    /// The same as other front ends told it, and when; and when to tell next.
    pub told: BTreeMap<u32, (Time, Vec<f64>)>,
    pub tell_at: Time,
    /// What of the fleet's wholes is its own.
    pub parts: Parts,
    pub class_mean: Vec<f64>,
    /// Beliefs older than this are not trusted.
    pub trust_from: Time,
    pub asked_at: Time,
    pub logged_at: Time,
    /// Service time, in expected ones, that hardly an answer exceeds.
    pub tail: f64,
    /// How loaded workers are in the mean.
    pub mean_load: f64,
    /// Further tries that the retry budget allows now.
    pub retries: f64,
    /// Beliefs proven false lately.
    pub surprises: VecDeque<(Time, WorkerId)>,
}

impl Memory {
    /// Takes a list in, at the cost of what it changes. `limit` is the most own attempts at a worker that has just
    /// started.
    pub(crate) fn listed(&mut self, now: Time, kind: ListKind, entries: Vec<WorkerEntry>, limit: f64) {
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            let named: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            let missing: Vec<WorkerId> = self
                .workers
                .iter()
                .filter(|(id, w)| !w.gone && !named.contains(id))
                .map(|(id, _)| *id)
                .collect();
            for id in missing {
                self.change_worker(id, |w| (w.ready, w.gone) = (false, true));
                self.index.remove(id);
            }
        }
        for e in entries {
            self.listed_one(now, &e, limit);
        }
    }
    fn listed_one(&mut self, now: Time, e: &WorkerEntry, limit: f64) {
        if !self.workers.contains_key(&e.worker) {
            self.epoch += 1;
            self.workers.insert(e.worker, Worker::new(e, now, limit, self.epoch));
            self.short_names.insert((message::short(e.worker), e.worker));
        }
        let mut restarted = false;
        self.change_worker(e.worker, |w| {
            restarted = w.listed(e);
            if restarted {
                (w.cold_at, w.cold_sends) = (e.born.max(w.cold_at), 0);
                (w.whole, w.limit) = (Health::default(), limit);
            }
        });
        let weight = self.workers.get(&e.worker).map_or(0, Worker::weight);
        if e.availability == Availability::Gone {
            self.index.remove(e.worker);
        } else {
            self.index.set(e.worker, weight);
        }
        if restarted || e.availability == Availability::Gone {
            self.forget_copies(e.worker, now);
        }
    }
    /// A worker's process counts as started just now: empty and cold.
    pub(crate) fn presume_restart(&mut self, now: Time, worker: WorkerId, limit: f64) {
        let found = self.change_worker(worker, |w| {
            (w.cold_at, w.cold_sends, w.presumed_restart) = (Some(now), 0, true);
            (w.whole, w.limit) = (Health { heard: now, ..Health::default() }, limit);
        });
        if found.is_some() {
            self.forget_copies(worker, now);
        }
    }
    /// Changes a worker, and the sums with it.
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
    /// The place of a function not known before.
    pub(crate) fn named(&mut self, r: &Request, load: f64, step: Span) -> usize {
        let (name, class) = (r.function.clone(), r.class);
        let place = self.free.pop().unwrap_or(self.functions.len());
        self.names.insert(name.clone(), place);
        self.functions.resize_with(self.functions.len().max(place + 1), Function::default);
        self.functions[place] = Function { name, class, load, step, ..Function::default() };
        self.load_sum += load;
        place
    }
    /// Books a belief proven false; how many there are since `from`, and on how many workers.
    pub(crate) fn surprise(&mut self, now: Time, worker: WorkerId, from: Time) -> (usize, bool) {
        self.surprises.push_back((now, worker));
        self.surprises.retain(|s| s.0 >= from);
        (self.surprises.len(), self.surprises.iter().any(|s| s.1 != worker))
    }
    pub(crate) fn mean_slow(&self) -> f64 {
        (self.totals.slow / self.totals.ready.max(1) as f64).max(0.1)
    }
    /// The workers whose turn of periodic maintenance it is, at most so many, and whether they end a pass.
    fn workers_in_turn(&mut self, most: usize) -> (Vec<WorkerId>, bool) {
        let turn: Vec<WorkerId> =
            self.workers.range(self.next_worker..).take(most).map(|(id, _)| *id).collect();
        let next = turn.last().and_then(|last| last.checked_add(1));
        let more = next.is_some_and(|next| self.workers.range(next..).next().is_some());
        self.next_worker = next.filter(|_| more).unwrap_or(0);
        (turn, !more)
    }
    /// Periodic maintenance, a bounded part of it at a time: the workers that it came by, and whether that ended a
    /// pass over all.
    pub(crate) fn maintain(&mut self, upkeep: &Upkeep) -> (Vec<WorkerId>, bool) {
        self.arrivals.forget_before(upkeep.window);
        self.orders.forget_before(upkeep.window);
        self.maintain_functions(upkeep);
        let (workers, pass_ends) = self.workers_in_turn(upkeep.most);
        workers.iter().for_each(|id| self.maintain_worker(*id, upkeep));
        (workers, pass_ends)
    }
    /// Takes the loads of the ready workers that maintenance came by into the mean, which counts from a pass's end.
    pub(crate) fn average_loads(&mut self, loads: &[f64], pass_ends: bool) {
        self.pass = (self.pass.0 + loads.iter().sum::<f64>(), self.pass.1 + loads.len());
        if pass_ends {
            let (sum, count) = std::mem::take(&mut self.pass);
            self.mean_load = (sum / count.max(1) as f64).max(0.1);
        }
    }
    /// Forgets old sends and starts of a worker, and fades its slowness; what is gone and has nothing out or in
    /// hand is forgotten whole.
    fn maintain_worker(&mut self, id: WorkerId, upkeep: &Upkeep) {
        let unused = self.change_worker(id, |w| {
            w.sends.forget_before(upkeep.sends);
            w.cold_at = w.cold_at.filter(|&t| t > upkeep.starts);
            let passed = upkeep.now.saturating_sub(std::mem::replace(&mut w.maintained_at, upkeep.now));
            w.slow = 1.0 + (w.slow - 1.0) * (-(passed as f64) / upkeep.fade).exp();
            w.gone && w.out == 0 && w.loads == 0
        });
        if unused == Some(true) {
            self.workers.remove(&id).iter().for_each(|w| self.totals.exclude(w));
            self.short_names.remove(&(message::short(id), id));
            self.loaded.remove(&id);
        }
    }
    /// The worker that a message means: of those with this short name the one with the lowest number.
    pub(crate) fn by_short_name(&mut self, name: [u8; 2]) -> Option<(WorkerId, &mut Worker)> {
        let id = self.short_names.range((name, 0)..).next().filter(|n| n.0 == name)?.1;
        self.workers.get_mut(&id).map(|w| (id, w))
    }
    /// Forgets functions not called for long, and copies at workers that are gone; what has anything out or in hand
    /// stays.
    fn maintain_functions(&mut self, upkeep: &Upkeep) {
        let (from, all) = (self.next_function, self.functions.len());
        let to = all.min(from + upkeep.most);
        self.next_function = if to < all { to } else { 0 };
        let idle = |c: &Copies| c.out == 0 && c.orders.is_empty();
        for place in from..to {
            let (fun, workers) = (&mut self.functions[place], &self.workers);
            if fun.step == 0 {
                continue; // a free place
            }
            fun.copies.retain(|id, c| !idle(c) || workers.get(id).is_some_and(|w| !w.gone));
            if fun.used < upkeep.unused && fun.held.is_empty() && fun.copies.values().all(|c| idle(c)) {
                self.names.remove(&fun.name);
                self.load_sum -= fun.load;
                self.planned.remove(&(fun.plan_at, place));
                *fun = Function::default();
                self.free.push(place);
            }
        }
    }
    /// Functions whose next planning is due, in order of their places.
    pub(crate) fn due_plans(&mut self, now: Time) -> BTreeSet<usize> {
        let mut due = BTreeSet::new();
        while let Some((at, f)) = self.planned.first().copied().filter(|(at, _)| *at <= now) {
            self.planned.remove(&(at, f));
            self.functions[f].plan_at = 0;
            due.insert(f);
        }
        due
    }
    /// Sets the next planning of a function to the end of its bin that is filling, where none is set.
    pub(crate) fn plan_next(&mut self, f: usize) {
        let fun = &mut self.functions[f];
        if fun.plan_at == 0 {
            fun.plan_at = (fun.bin + 1) * fun.step;
            self.planned.insert((fun.plan_at, f));
        }
    }
    /// Plans its next step; or, where nothing can be planned, renewed or dropped before the function is called
    /// again, lets go of what can be worked out anew then. `warm`: copies are believed to stand.
    pub(crate) fn rest_or_plan_next(&mut self, f: usize, warm: bool) {
        let fun = &mut self.functions[f];
        let quiet = fun.held.is_empty() && fun.bins.iter().all(|&arrivals| arrivals == 0.0);
        let alone = fun.spread == 0 && (warm || fun.last_loads > 0.0);
        if !quiet || alone || fun.copies.values().any(|c| c.out > 0 || !c.orders.is_empty()) {
            return self.plan_next(f);
        }
        (fun.bins, fun.homes, fun.cells, fun.held) = (VecDeque::new(), Vec::new(), 0, Vec::new());
        fun.copies.values_mut().for_each(|c| c.orders = Vec::new());
    }
    /// The workers that a function may use, the first in its order first.
    pub(crate) fn homes(&self, f: usize) -> impl Iterator<Item = &Worker> {
        self.functions[f].homes.iter().filter_map(|id| self.workers.get(id))
    }
    /// Copies of a function: all, or where there are more than `most` so many from a place on that `chance` names.
    pub(crate) fn some_copies(
        &self,
        f: usize,
        most: usize,
        chance: f64,
    ) -> impl Iterator<Item = (&WorkerId, &Copies)> {
        let fun = &self.functions[f];
        let drawn = fun.homes.get((chance * fun.homes.len() as f64) as usize).copied();
        let from = drawn.filter(|_| fun.copies.len() > most).unwrap_or(0);
        let copies = fun.copies.range(from..).chain(fun.copies.range(..from));
        copies.map(|(id, copies)| (id, &**copies)).take(most)
    }
    /// Requests a second of a tenant at front ends that told of it, summed up, and how many told.
    pub(crate) fn told_rates(&self, tenant: usize, from: Time) -> (f64, f64) {
        let told =
            self.told.values().filter(|(at, _)| *at >= from).filter_map(|(_, rates)| rates.get(tenant));
        told.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0))
    }
    /// Voids what is believed of copies at workers that have been emptied since.
    pub(crate) fn settle(&mut self, f: usize) {
        let fun = &mut self.functions[f];
        if fun.settled == self.epoch {
            return;
        }
        fun.settled = self.epoch;
        for (id, c) in fun.copies.iter_mut() {
            let Some(w) = self.workers.get(id).filter(|w| w.epoch != c.epoch) else { continue };
            (c.n, c.known, c.foreign, c.epoch) = (0, w.emptied_at, 0.0, w.epoch);
        }
    }
    /// What is believed of copies at a worker, nothing yet where there is no entry.
    pub(crate) fn copies_at(&mut self, f: usize, worker: WorkerId) -> &mut Copies {
        let epoch = self.workers.get(&worker).map_or(0, |w| w.epoch);
        let fresh = || Box::new(Copies { epoch, ..Copies::default() });
        self.functions[f].copies.entry(worker).or_insert_with(fresh)
    }
    pub(crate) fn hold(&mut self, f: usize, id: &RequestId) {
        if !self.functions[f].held.contains(id) {
            self.functions[f].held.push(id.clone());
        }
        self.count_held(f);
    }
    /// Brings the count of held requests and the set of functions that wait up to date.
    pub(crate) fn count_held(&mut self, f: usize) {
        let fun = &mut self.functions[f];
        let counted = if fun.mean > 0.0 { fun.held.len() } else { 0 };
        self.held = self.held + counted - fun.counted;
        fun.counted = counted;
        if fun.held.is_empty() {
            self.waiting.remove(&f);
        } else {
            self.waiting.insert(f);
        }
    }
    /// Takes the requests held for a function out.
    pub(crate) fn take_held(&mut self, f: usize) -> Vec<RequestId> {
        let held = std::mem::take(&mut self.functions[f].held);
        self.count_held(f);
        held
    }
    /// A worker is empty again.
    pub(crate) fn forget_copies(&mut self, worker: WorkerId, now: Time) {
        self.epoch += 1;
        let epoch = self.epoch;
        if let Some(w) = self.workers.get_mut(&worker) {
            (w.epoch, w.emptied_at) = (epoch, now);
        }
    }
    /// Marks a request as over; the attempts still out and not called off before.
    pub(crate) fn end(&mut self, id: &RequestId) -> Vec<u32> {
        let Some(open) = self.open.get_mut(id) else { return Vec::new() };
        open.over = true;
        let out = open.attempts.iter_mut().enumerate().filter(|(_, a)| a.out && !a.called_off);
        let off = out.map(|(n, a)| (a.called_off = true, n as u32).1).collect();
        let (f, ended) = (open.function, open.attempts.iter().all(|a| !a.out));
        self.functions[f].held.retain(|h| h != id);
        self.count_held(f);
        if ended {
            self.open.remove(id);
        }
        off
    }
    /// Forgets what other front ends told before then.
    pub(crate) fn forget_told(&mut self, before: Time) {
        self.told.retain(|_, told| told.0 >= before);
    }
    /// Ready workers for a message, those whose load is known best first, then others as far as one has room; each
    /// twice, as a message takes them.
    pub(crate) fn heaviest_known(&mut self, now: Time, span: f64) -> Vec<(WorkerId, WorkerId)> {
        let workers = &self.workers;
        let known = |id: &WorkerId| {
            let worker = workers.get(id)?;
            let mass = worker.load.mass(now, span);
            (mass > message::LEAST_MASS).then_some((mass, *id, worker.ready))
        };
        let mut known: Vec<(f64, WorkerId, bool)> = self.loaded.iter().filter_map(known).collect();
        self.loaded = known.iter().map(|k| k.1).collect();
        known.retain(|k| k.2);
        known.sort_by(|a, b| b.0.total_cmp(&a.0));
        let unknown = self.workers.iter().filter(|(id, w)| w.ready && !self.loaded.contains(id));
        let filled = known.into_iter().map(|k| k.1).chain(unknown.map(|(id, _)| *id));
        filled.take(message::MOST_WORKERS).map(|id| (id, id)).collect()
    }
    /// Gives half of what is known of a worker's load away.
    pub(crate) fn give_load(&mut self, id: WorkerId, now: Time, span: f64) -> [u8; 2] {
        self.workers.get_mut(&id).map_or([0; 2], |w| w.load.give(now, span))
    }
    /// Looks a function's cells and homes up anew where the list has changed since, or where it has too few; at
    /// least `enough` of them, where there are so many.
    pub(crate) fn find_homes(&mut self, f: usize, enough: usize) {
        let (fun, index) = (&mut self.functions[f], &self.index);
        let scarce = fun.homes.len() < enough.min(self.totals.ready);
        if fun.cells > 0 && fun.listed == index.changes() && !scarce {
            return;
        }
        let cells = cells(&fun.name, index, enough);
        fun.listed = index.changes();
        if fun.cells != mark(&cells) {
            (fun.cells, fun.homes, fun.had) = (mark(&cells), homes(&fun.name, &cells), 0);
            fun.copies.values_mut().for_each(|c| c.home = false);
        }
    }
    /// Sets how many of a function's homes share it among front ends.
    pub(crate) fn set_spread(&mut self, f: usize, spread: usize) {
        let fun = &mut self.functions[f];
        fun.spread = spread;
        let (had, most) = (std::mem::replace(&mut fun.had, spread), fun.homes.len());
        for place in spread.min(had)..spread.max(had).min(most) {
            let home = self.functions[f].homes[place];
            self.copies_at(f, home).home = place < spread;
        }
    }
    pub(crate) fn begin_attempt(&mut self, id: &RequestId, worker: WorkerId, sent: Time, expected: Span) {
        let Some(f) = self.open.get(id).map(|open| open.function) else { return };
        if !self.workers.contains_key(&worker) {
            return;
        }
        let c = self.copies_at(f, worker);
        let own = c.out;
        c.out += 1;
        let (Some(open), Some(w)) = (self.open.get_mut(id), self.workers.get_mut(&worker)) else { return };
        w.out += 1;
        w.sends.push(sent);
        w.cold_sends += 1;
        open.attempts.push(Attempt {
            worker,
            sent,
            own,
            expected,
            out: true,
            never_ran: false,
            free: false,
            overdue: false,
            called_off: false,
        });
    }
    /// Books the end of an attempt; `None` for one unknown or ended before.
    pub(crate) fn end_attempt(
        &mut self,
        id: &RequestId,
        attempt: u32,
        outcome: Outcome,
        free: bool,
    ) -> Option<&Attempt> {
        let open = self.open.get_mut(id)?;
        let a = open.attempts.get_mut(attempt as usize).filter(|a| a.out)?;
        use Outcome::*;
        (a.out, a.free) = (false, free);
        a.never_ran = matches!(outcome, Full | ConnectFailed | Moot | Miss);
        if let Some(w) = self.workers.get_mut(&a.worker) {
            w.out = w.out.saturating_sub(1);
        }
        if let Some(c) = self.functions[open.function].copies.get_mut(&a.worker) {
            c.out = c.out.saturating_sub(1);
        }
        Some(a)
    }
}
