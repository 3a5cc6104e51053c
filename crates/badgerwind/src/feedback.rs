//! Updates of the estimates from the ends of attempts and of load orders.

use crate::{interface::*, records::*, router::Router, router::OVERDUE, shares::LOAD_SPAN};

const CROWD: f64 = 0.7; // Other front ends' requests per worker of a function, above which its reach grows.
const REACH_GAIN: f64 = 0.2; // Weight of one crowd mark in the reach; one mark at most doubles it.
const GAIN: f64 = 0.1; // Weight of a new sample in running means of service times and slowness.
const FAST_GAIN: f64 = 0.3; // The same for crowd marks, load times, and a low quantile that decreases.
const MISPREDICTIONS: usize = 3; // Mispredictions at several workers after which older beliefs are dropped.
const OVERDUE_SHARE: f64 = 0.01; // Share of the attempts that take longer than the overdue factor allows.
pub(crate) const BACKOFF: u64 = 4; // First back-off of a tripped worker, in maintenance intervals.
pub(crate) const MAX_LIMIT: f64 = 64.0; // Attempt limit of a worker before a cut, and its upper bound.
const CUT: f64 = 0.7; // Limit after a full or late answer, as a share of the attempts in flight.
pub(crate) const KIND_PAUSE: u64 = 8; // First pause of a kind of traffic: the keep-alive divided by this.
const QUEUED: u32 = 4; // Requests for the function at a worker from which `full` means a full queue.
const LOADED: f64 = 8.0; // Load sample of a full worker, in usual service times.

impl Router {
    pub(crate) fn on_answer(&mut self, request: &RequestId, n: u32, answer: Answer, actions: &mut Actions) {
        let (outcome, slow) = (answer.outcome, answer.lag > self.interval);
        let no_queue = self.settings.marks_crowd && slow && answer.crowd.is_some_and(|crowd| crowd < QUEUED);
        let exempt = outcome == Outcome::Miss || outcome == Outcome::Full && no_queue;
        let Some(attempt) = self.state.end_attempt(request, n, outcome, exempt) else { return };
        let id = attempt.worker;
        let answer = Answer { own: attempt.own, waited: self.now - attempt.sent, ..answer };
        if outcome == Outcome::Ok {
            let (now, keep) = (self.now, self.keep_alive());
            self.state.change_worker(id, |worker| worker.record_served(now, keep));
            self.state.confirm_function(self.state.open[request].slot);
        }
        let (slot, kinds) = (self.state.open[request].slot, self.state.open[request].kinds());
        self.learn(slot, kinds, id, answer);
        self.refresh_preferred(slot);
        let open = &self.state.open[request];
        let none_in_flight = open.attempts.iter().all(|attempt| !attempt.in_flight);
        let sendable = || self.state.preferred_workers(slot).any(|worker| self.may_send(open, worker));
        if answer.last || open.ended || open.stream {
            self.end(request, actions);
        } else if none_in_flight && (self.too_late(open) || self.is_doubtful(slot) || !sendable()) {
            self.finish(request, actions);
        } else if none_in_flight {
            self.hold(request);
            // A miss orders one copy at that worker, unless one is already pending anywhere.
            let pending = self.state.functions[slot].copies.values().any(|copies| copies.pending_count() > 0);
            let fit = self.state.workers.get(&id).is_some_and(|w| w.ready && self.now >= w.no_load_until);
            let missed = outcome == Outcome::Miss && self.settings.may_order;
            if missed && !pending && fit && self.within_order_limit(1.0) {
                self.order_load(slot, id, 1, actions);
            }
        }
        self.dispatch(slot, actions);
    }

    /// Updates the estimates of the worker, of its copies and of the function from the end of an attempt.
    pub(crate) fn learn(&mut self, slot: usize, kinds: [TrafficKind; 2], id: WorkerId, answer: Answer) {
        let Answer { outcome, lag, mark, crowd, own, waited, .. } = answer;
        let others = crowd.filter(|_| self.settings.marks_crowd).map(|n| f64::from(n.saturating_sub(own)));
        let (kind_pause, load_span) = (self.settings.keep_alive / KIND_PAUSE, self.keep_alive() * LOAD_SPAN);
        let (now, interval, mean_slow) = (self.now, self.interval, self.state.mean_slowness());
        self.state.void_stale_copies(slot);
        let believed = self.warm_copies(slot, id) > 0;
        let pause = interval * BACKOFF + self.rng.u64(0..=interval * BACKOFF);
        let function = &mut self.state.functions[slot];
        let Some(worker) = self.state.workers.get_mut(&id) else { return };
        let Some(copies) = function.copies.get_mut(&id) else { return };
        self.state.totals.exclude(worker);
        use Outcome::*;
        let usual = self.state.class_service[function.class];
        let load_time = if believed { 0.0 } else { function.load_time };
        let sample = match outcome {
            Ok if !matches!(mark, CopyMark::BeganLoad | CopyMark::WaitedForLoad) => Some(lag as f64 / usual),
            Timeout | Cancelled if waited as f64 > usual + load_time => Some(LOADED),
            Full => crowd.filter(|crowd| lag <= interval || *crowd >= QUEUED).map(|_| LOADED),
            _ => None,
        };
        if let Some(sample) = sample.filter(|_| usual > 0.0) {
            worker.load.add(now, load_span, sample.clamp(1.0 / LOADED, LOADED), 1.0);
            self.state.workers_with_load.insert(id);
        }
        if !matches!(outcome, Timeout | Cancelled | Moot | ConnectFailed) {
            worker.health.last_seen = now;
        }
        let mistaken = believed && (outcome == Miss || mark == CopyMark::BeganLoad && copies.in_flight == 0);
        if let Some(others) = others.filter(|_| function.spread > 0) {
            function.reach *= 1.0 + (REACH_GAIN * (others / CROWD - 1.0)).min(1.0);
        }
        // Where workers load absent functions the limit is not cut: it would cause loads elsewhere.
        let late = outcome == Full || outcome == Ok && lag > self.settings.classes[function.class].aim;
        let late = late && self.settings.when_absent == WhenAbsent::Miss;
        if late && now >= worker.limit_cut_at + interval {
            let limit = f64::from(worker.in_flight + 1) * CUT;
            (worker.attempt_limit, worker.limit_cut_at) = (limit.min(worker.attempt_limit).max(1.0), now);
        } else if outcome == Ok && !late {
            worker.attempt_limit = (worker.attempt_limit + 1.0 / worker.attempt_limit).min(MAX_LIMIT);
        }
        let unserved = function.mean_service == 0.0;
        match outcome {
            Ok => {
                worker.health.succeed(now);
                kinds.iter().for_each(|kind| worker.kind_health.entry(*kind).or_default().succeed(now));
                let another = mark == CopyMark::BeganLoad && believed;
                copies.count = if another { copies.count + 1 } else { copies.count.max(1) };
                (copies.used_at, copies.known_at) = (now, now);
                copies.foreign += FAST_GAIN * (others.unwrap_or(0.0) - copies.foreign);
                let time = lag as f64;
                if mark == CopyMark::BeganLoad {
                    let load_time = (time - function.mean_service).max(time / 4.0);
                    self.state.load_sum += function.observe_load(load_time, FAST_GAIN);
                } else if mark != CopyMark::WaitedForLoad {
                    let ratio = worker.slowness / mean_slow;
                    // Running quantile: a large step up for the few samples above it, a small one down else.
                    let factor = &mut self.state.overdue_factor;
                    let over = time > function.mean_service.max(1.0) * *factor * ratio.max(1.0);
                    let share = if over { 1.0 - OVERDUE_SHARE } else { -OVERDUE_SHARE };
                    *factor = (*factor * (1.0 + FAST_GAIN * share)).max(OVERDUE / 2.0);
                    let base = if function.mean_service > 0.0 { function.mean_service } else { time / ratio };
                    let sample = (time / base).clamp(0.2, 8.0) * mean_slow.min(1.5);
                    worker.slowness += GAIN * (sample - worker.slowness);
                    update_mean(&mut function.mean_service, time / ratio, GAIN);
                    let gain = if time < function.quick_service { FAST_GAIN } else { GAIN / 2.0 };
                    update_mean(&mut function.quick_service, time, gain);
                    update_mean(&mut self.state.class_service[function.class], time, GAIN);
                }
            }
            Miss => (copies.count, copies.known_at, copies.foreign) = (0, now, 0.0),
            Full => {
                worker.full_until = now + interval;
                if self.settings.marks_crowd && lag > interval && crowd.is_some_and(|crowd| crowd < QUEUED) {
                    // A full queue answers at once: this worker refuses these kinds of traffic, not others.
                    for kind in kinds {
                        worker.kind_health.entry(kind).or_default().fail(2.0, now, kind_pause);
                    }
                    worker.full_until = now;
                }
            }
            Error if mark == CopyMark::LoadFailed => copies.count = 0,
            // An error of a function that was never served says nothing about the worker.
            Error if unserved => (function.errors, function.failed_at) = (function.errors + 1, now),
            Error => _ = worker.health.fail(1.0, now, pause),
            Timeout if waited as f64 > function.load_time => _ = worker.health.fail(1.0, now, pause),
            // One broken connection says nothing of the process: if that ended, all break or a connect fails.
            Reset if !worker.health.fail(1.0, now, pause) => {}
            ConnectFailed | Reset => {
                worker.health.fail(2.0, now, pause);
                self.state.forget_copies(id, now);
            }
            Timeout | Cancelled | Moot => {}
        }
        self.state.workers.get(&id).iter().for_each(|worker| self.state.totals.include(worker));
        if mistaken {
            // Several mispredictions together, as after a release: older beliefs are not trusted either.
            let from = now.saturating_sub(self.state.functions[slot].load_time as u64 * 2);
            let (recent, several) = self.state.record_misprediction(now, id, from);
            if recent >= MISPREDICTIONS && several {
                self.state.trust_from = from;
                self.state.mispredictions.clear();
            }
        }
    }

    pub(crate) fn on_loaded(&mut self, id: WorkerId, name: &str, result: LoadResult, actions: &mut Actions) {
        let LoadResult { outcome, copies: count, lag } = result;
        let Some(&slot) = self.state.slots.get(name) else { return };
        let (now, pause) = (self.now, self.interval * BACKOFF);
        if outcome == Outcome::Ok && count > 0 {
            self.state.confirm_function(slot);
        }
        self.state.void_stale_copies(slot);
        let function = &mut self.state.functions[slot];
        let Some(worker) = self.state.workers.get_mut(&id) else { return };
        let Some(copies) = function.copies.get_mut(&id) else { return };
        let Some(_) = copies.remove_order(now.saturating_sub(lag)) else { return };
        self.state.totals.exclude(worker);
        worker.pending_loads = worker.pending_loads.saturating_sub(1);
        // An order that was cut off may have been carried out: it says nothing new about the copies.
        if !matches!(outcome, Outcome::Reset | Outcome::Timeout) {
            (copies.count, copies.known_at) = (count, now);
        }
        let unserved = function.mean_service == 0.0;
        match outcome {
            Outcome::Ok => {
                (copies.used_at, worker.health.last_seen) = (now, now);
                if lag > function.step + 2 * self.settings.round {
                    self.state.load_sum += function.observe_load(lag as f64, FAST_GAIN);
                }
            }
            Outcome::Error if unserved => (function.errors, function.failed_at) = (function.errors + 1, now),
            Outcome::Full | Outcome::Error => worker.no_load_until = now + function.load_time as Micros,
            Outcome::Reset => _ = worker.health.fail(1.0, now, pause),
            _ => _ = worker.health.fail(2.0, now, pause), // a tripped worker gets no loads
        }
        self.state.totals.include(worker);
        self.dispatch(slot, actions);
    }
}
