//! What answers tell.

use crate::interface::*;
use crate::router::{Router, OVERDUE};
use crate::shares::LOAD_SPAN;
use crate::state::*;

const CROWD: f64 = 0.7; // Others' requests for a shared function at each home; it takes more homes beyond.
const REACH_GAIN: f64 = 0.2; // Weight of one crowd mark in that; it at most doubles the homes.
const GAIN: f64 = 0.1; // Weight of a new sample in running means of service times and slowness.
const FAST_GAIN: f64 = 0.3; // The same for crowd marks, load times, and a low quantile going down.
const SURPRISES: usize = 3; // Beliefs proven false together, on several workers, that withdraw older trust.
const OVERDUE_SHARE: f64 = 0.01; // An attempt that takes longer than all but these is overdue.
pub(crate) const BACKOFF: u64 = 4; // First back-off of a worker taken out, in sweeps.
pub(crate) const FREE_LIMIT: f64 = 64.0; // Limit of own attempts at a worker before it was ever cut.
const CUT: f64 = 0.7; // What a full or late answer leaves of the attempts out as the limit.
pub(crate) const KIND_PAUSE: u64 = 8; // First pause of a kind of traffic, in parts of the keep-alive.
const QUEUED: u32 = 4; // Requests for the function at a worker from which `full` is told of its queue.
const LOADED: f64 = 8.0; // What a full worker counts as, in usual service times.

impl Router {
    pub(crate) fn on_answer(&mut self, id: &RequestId, attempt: u32, mut told: Told, out: &mut Vec<Action>) {
        let outcome = told.outcome;
        let few = self.set.marks_crowd && told.lag > self.sweep && told.crowd.is_some_and(|n| n < QUEUED);
        let free = outcome == Outcome::Miss || outcome == Outcome::Full && few;
        let Some(a) = self.m.end_attempt(id, attempt, outcome, free) else { return };
        let worker = a.worker;
        (told.own, told.waited) = (a.own, self.now - a.sent);
        if outcome == Outcome::Ok {
            let (now, keep) = (self.now, self.keep());
            self.m.change_worker(worker, |w| w.bore(now, keep));
        }
        let (f, kinds) = (self.m.open[id].function, self.m.open[id].kinds());
        self.learn(f, kinds, worker, told);
        self.refresh(f);
        let open = &self.m.open[id];
        let none_out = open.attempts.iter().all(|a| !a.out);
        if told.last || open.over || open.stream {
            self.end(id, out);
        } else if none_out
            && (self.too_late(open) || self.doubtful(f) || !self.m.homes(f).any(|w| self.may_send(open, w)))
        {
            self.finish(id, out);
        } else if none_out {
            self.m.hold(f, id);
            // The design: one more copy where it was missed, unless one is on its way.
            let coming = self.m.functions[f].copies.values().any(|c| c.coming() > 0);
            let fit = self.m.workers.get(&worker).is_some_and(|w| w.ready && self.now >= w.no_load_until);
            if outcome == Outcome::Miss && self.set.may_order && !coming && fit && self.order_room(1.0) {
                self.order(f, worker, 1, out);
            }
        }
        self.dispatch(f, out);
    }

    /// What an outcome tells of the worker, of the copies there and of the function.
    pub(crate) fn learn(&mut self, f: usize, kinds: [Kind; 2], worker: WorkerId, told: Told) {
        let Told { outcome, lag, mark, crowd, own, waited, .. } = told;
        let others = crowd.filter(|_| self.set.marks_crowd).map(|c| f64::from(c.saturating_sub(own)));
        let (kind_pause, load_span) = (self.set.keep_alive / KIND_PAUSE, self.keep() * LOAD_SPAN);
        let (now, sweep, mean_slow) = (self.now, self.sweep, self.m.mean_slow());
        self.m.settle(f);
        let believed = self.warm(f, worker) > 0;
        let pause = sweep * BACKOFF + self.rng.u64(0..=sweep * BACKOFF);
        let fun = &mut self.m.functions[f];
        let Some((w, c)) = self.m.workers.get_mut(&worker).zip(fun.copies.get_mut(&worker)) else { return };
        self.m.totals.exclude(w);
        use Outcome::*;
        let usual = self.m.class_mean[fun.class];
        let sample = match outcome {
            Ok if !matches!(mark, CopyMark::BeganLoad | CopyMark::WaitedForLoad) => Some(lag as f64 / usual),
            Timeout | Cancelled if waited as f64 > usual + if believed { 0.0 } else { fun.load } => {
                Some(LOADED)
            }
            Full => crowd.filter(|n| lag <= sweep || *n >= QUEUED).map(|_| LOADED),
            _ => None,
        };
        if let Some(x) = sample.filter(|_| usual > 0.0) {
            w.load.add(now, load_span, x.clamp(1.0 / LOADED, LOADED), 1.0);
            self.m.loaded.insert(worker);
        }
        if !matches!(outcome, Timeout | Cancelled | Moot | ConnectFailed) {
            w.whole.heard = now;
        }
        let surprised = believed && (outcome == Miss || mark == CopyMark::BeganLoad && c.out == 0);
        if let Some(n) = others.filter(|_| fun.spread > 0) {
            fun.reach *= 1.0 + (REACH_GAIN * (n / CROWD - 1.0)).min(1.0);
        }
        // The limit follows what it takes in time; where absent functions load in place it would make loads.
        let misses = self.set.when_absent == WhenAbsent::Miss;
        let late = misses && (outcome == Full || outcome == Ok && lag > self.set.classes[fun.class].aim);
        if late && now >= w.cut_at + sweep {
            (w.limit, w.cut_at) = ((f64::from(w.out + 1) * CUT).min(w.limit).max(1.0), now);
        } else if outcome == Ok && !late {
            w.limit = (w.limit + 1.0 / w.limit).min(FREE_LIMIT);
        }
        match outcome {
            Ok => {
                w.whole.pass(now);
                kinds.iter().for_each(|k| w.kinds.entry(*k).or_default().pass(now));
                c.n = if mark == CopyMark::BeganLoad && believed { c.n + 1 } else { c.n.max(1) };
                (c.used, c.known) = (now, now);
                c.foreign += FAST_GAIN * (others.unwrap_or(0.0) - c.foreign);
                let time = lag as f64;
                if mark == CopyMark::BeganLoad {
                    self.m.load_sum += fun.observe_load((time - fun.mean).max(time / 4.0), FAST_GAIN);
                } else if mark != CopyMark::WaitedForLoad {
                    let rel = w.slow / mean_slow;
                    // A running quantile: up by much for the few beyond it, down by little for the others.
                    let over = time > fun.mean.max(1.0) * self.m.tail * rel.max(1.0);
                    let share = if over { 1.0 - OVERDUE_SHARE } else { -OVERDUE_SHARE };
                    self.m.tail = (self.m.tail * (1.0 + FAST_GAIN * share)).max(OVERDUE / 2.0);
                    let base = if fun.mean > 0.0 { fun.mean } else { time / rel };
                    w.slow += GAIN * ((time / base).clamp(0.2, 8.0) * mean_slow.min(1.5) - w.slow);
                    blend(&mut fun.mean, time / rel, GAIN);
                    let gain = if time < fun.quick { FAST_GAIN } else { GAIN / 2.0 };
                    blend(&mut fun.quick, time, gain);
                    blend(&mut self.m.class_mean[fun.class], time, GAIN);
                }
            }
            Miss => (c.n, c.known, c.foreign) = (0, now, 0.0),
            Full => {
                w.full_until = now + sweep;
                if self.set.marks_crowd && lag > sweep && crowd.is_some_and(|n| n < QUEUED) {
                    // Not its queue, which answers at once: it turns this kind of traffic away, not others.
                    kinds.iter().for_each(|k| _ = w.kinds.entry(*k).or_default().fail(2.0, now, kind_pause));
                    w.full_until = now;
                }
            }
            Error if mark == CopyMark::LoadFailed => c.n = 0,
            // What nothing ever served says nothing of this worker.
            Error if fun.mean == 0.0 => (fun.errors, fun.erred) = (fun.errors + 1, now),
            Error => _ = w.whole.fail(1.0, now, pause),
            Timeout if waited as f64 > fun.load => _ = w.whole.fail(1.0, now, pause),
            // One broken connection tells of itself; with the process all break, or the next is refused.
            Reset if !w.whole.fail(1.0, now, pause) => {}
            ConnectFailed | Reset => {
                w.whole.fail(2.0, now, pause);
                self.m.forget_copies(worker, now);
            }
            Timeout | Cancelled | Moot => {}
        }
        self.m.workers.get(&worker).iter().for_each(|w| self.m.totals.include(w));
        if surprised {
            // Several beliefs proven false together (a release, a fleet emptied): no older one is trusted.
            let from = now.saturating_sub(self.m.functions[f].load as u64 * 2);
            let (seen, several) = self.m.surprise(now, worker, from);
            if seen >= SURPRISES && several {
                self.m.trust_from = from;
                self.m.surprises.clear();
            }
        }
    }

    pub(crate) fn on_loaded(&mut self, worker: WorkerId, name: &str, told: Loaded, out: &mut Vec<Action>) {
        let Loaded { outcome, copies: n, lag } = told;
        let Some(&f) = self.m.names.get(name) else { return };
        let now = self.now;
        self.m.settle(f);
        let fun = &mut self.m.functions[f];
        let Some((w, c)) = self.m.workers.get_mut(&worker).zip(fun.copies.get_mut(&worker)) else { return };
        let Some(_) = c.take_order(now.saturating_sub(lag)) else { return };
        self.m.totals.exclude(w);
        w.loads = w.loads.saturating_sub(1);
        // Cut off on its way or after, it may stand all the same: then nothing new is known of the copies.
        if !matches!(outcome, Outcome::Reset | Outcome::Timeout) {
            (c.n, c.known) = (n, now);
        }
        match outcome {
            Outcome::Ok => {
                (c.used, w.whole.heard) = (now, now);
                if lag > fun.step + 2 * self.set.round {
                    self.m.load_sum += fun.observe_load(lag as f64, FAST_GAIN);
                }
            }
            Outcome::Error if fun.mean == 0.0 => (fun.errors, fun.erred) = (fun.errors + 1, now),
            Outcome::Full | Outcome::Error => w.no_load_until = now + fun.load as Span,
            Outcome::Reset => _ = w.whole.fail(1.0, now, self.sweep * BACKOFF),
            _ => _ = w.whole.fail(2.0, now, self.sweep * BACKOFF), // a worker taken out gets no loads
        }
        self.m.totals.include(w);
        self.dispatch(f, out);
    }
}
