//! The sweep: silence, held requests, plans.

use crate::dispatch::BINS;
use crate::interface::*;
use crate::learn::{BACKOFF, KIND_PAUSE};
use crate::memory::Upkeep;
use crate::orders::MOST_COPIES;
use crate::router::Router;
use crate::state::*;
use badgerwind_forecast::forecast;
use badgerwind_horizon::{plan, Horizon};

const BEYOND: usize = 8; // Horizon steps beyond the load delay D.
const MAX_DELAY: usize = 12; // Longest D in steps; a slower store is planned for as if this slow.
const LOAD_COST: f64 = 1.6; // δ beside the fetch price, in requests' worth: room and cores of others.
const DROP_REWARD: f64 = 0.2; // η for each point of the memory price, in requests' worth.
const AHEAD_SHARE: f64 = 0.6; // Share of the order budget open to loads ahead; the rest is for misses.
const RENEW_USES: f64 = 0.4; // A copy is renewed when so many uses are expected within another keep-alive.
const SLOW_SPAN: f64 = 0.5; // Slowness without news fades over this share of the keep-alive.
const MAINTAINED: usize = 128; // Workers, and functions, that one sweep looks after.
const UNUSED: u64 = 8; // Keep-alives without a call after which a function is forgotten.

impl Router {
    pub(crate) fn on_sweep(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        out.push(Action::SetAlarm { after: self.sweep, name: "sweep".into() });
        let ago = |span| now.saturating_sub(span);
        let due = self.m.asked_at == 0 || self.m.asked_at + self.set.ask_within / 4 < now;
        if self.set.discovery == Discovery::Ask && due {
            self.m.asked_at = now;
            out.push(Action::Subscribe { on: true });
        }
        self.tell(out);
        // Nothing is kept of what has long not been called. What answers took fades: one found slow in a bad
        // moment gets hardly an answer to prove otherwise.
        let window = ago(self.set.load_window);
        let (sends, starts) = (ago(self.set.fall_window), ago(self.set.warm_after));
        let (unused, fade) = (ago(UNUSED * self.keep() as Span), self.keep() * SLOW_SPAN);
        let upkeep = Upkeep { most: MAINTAINED, now, window, sends, starts, unused, fade };
        let (visited, pass_ends) = self.m.maintain(&upkeep);
        let ready = visited.iter().filter_map(|id| self.m.workers.get(id)).filter(|w| w.ready);
        self.m.average_loads(&ready.map(|w| self.load(w)).collect::<Vec<f64>>(), pass_ends);
        self.find_silent(out);
        let mut turn = self.m.due_plans(now);
        turn.extend(&self.m.waiting);
        for f in turn {
            if !self.m.functions[f].held.is_empty() {
                self.dispatch(f, out);
            }
            let new = self.m.functions[f].roll(now, self.began.unwrap_or(now), BINS as u64);
            if new && self.set.may_order && !self.doubtful(f) {
                self.plan_function(f, out);
            }
            let warm = self.m.functions[f].copies.keys().any(|id| self.warm(f, *id) > 0);
            self.m.rest_or_plan_next(f, warm);
        }
    }

    /// What answers nothing: an attempt overdue counts once, against its kinds of traffic at the worker, and
    /// against the whole worker where that has given no word at all since.
    pub(crate) fn find_silent(&mut self, out: &mut Vec<Action>) {
        let (now, pause) = (self.now, self.sweep * BACKOFF + self.rng.u64(0..=self.sweep * BACKOFF));
        for o in self.m.open.values_mut() {
            let kinds = o.kinds();
            let overdue = |a: &&mut Attempt| a.out && !a.overdue && now > a.sent + a.expected;
            for a in o.attempts.iter_mut().filter(overdue) {
                a.overdue = true;
                let Some(w) = self.m.workers.get_mut(&a.worker) else { continue };
                for k in kinds {
                    let h = w.kinds.entry(k).or_default();
                    if h.heard <= a.sent {
                        h.fail(2.0, now, self.set.keep_alive / KIND_PAUSE);
                    }
                }
                self.m.totals.exclude(w);
                let newly = w.whole.heard <= a.sent && w.whole.fail(1.0, now, pause);
                self.m.totals.include(w);
                if newly && now > self.m.logged_at + self.set.keep_alive / 4 {
                    self.m.logged_at = now;
                    out.push(Action::Log { text: format!("worker {} answers nothing: taken out", a.worker) });
                }
            }
        }
        // Repeatable requests out at a worker taken out go elsewhere: at once, or after they are called off.
        let mut again = Vec::new();
        for (id, o) in self.m.open.iter_mut().filter(|(_, o)| !o.over && !o.stream) {
            let spent = o.attempts.len() >= self.set.max_attempts as usize;
            let repeat = self.set.classes[o.class].effect == Effect::Repeatable && !spent;
            let Some(n) = o.attempts.len().checked_sub(1).filter(|_| repeat) else { continue };
            let kinds = o.kinds();
            let a = &mut o.attempts[n];
            let Some(w) = self.m.workers.get(&a.worker) else { continue };
            let silent = |h: &Health| h.tripped && h.heard <= a.sent;
            let gone = silent(&w.whole) || kinds.iter().any(|k| w.kinds.get(k).is_some_and(|h| silent(h)));
            if !a.out || a.called_off || !gone || now < a.sent + a.expected / 2 {
                continue;
            }
            if self.set.may_duplicate {
                a.expected = self.set.classes[o.class].deadline; // one second copy only
                again.push((o.function, id.clone()));
            } else if self.set.may_cancel {
                a.called_off = true;
                out.push(Action::Cancel { id: id.clone(), attempt: n as u32 });
            }
        }
        again.iter().for_each(|(f, id)| self.m.hold(*f, id)); // the sweep serves them next
    }

    /// One function's step: forecast, search, and the first step's loads or drops.
    pub(crate) fn plan_function(&mut self, f: usize, out: &mut Vec<Action>) {
        self.m.settle(f);
        let (now, keep, mean, fun) = (self.now, self.keep(), self.service(f), &self.m.functions[f]);
        let bins: Vec<f64> = fun.bins.iter().take(fun.bins.len() - 1).copied().collect();
        if fun.spread > 0 && fun.held.is_empty() && bins.iter().all(|&y| y == 0.0) {
            return; // Nothing to plan for, and others use what stands.
        }
        let step = fun.step as f64;
        let delay = ((fun.load / step) as usize).clamp(1, MAX_DELAY);
        let steps = delay + BEYOND;
        let (mut warm, mut foreign, mut change) = (0.0, 0.0, vec![0.0; steps]);
        let mut newest = None::<(Time, WorkerId)>; // the last copies used, to be renewed
        let mut idlest = newest;
        for (&id, c) in &fun.copies {
            let n = self.warm(f, id);
            for &(at, want) in c.orders.iter().filter(|o| o.1 > n) {
                let left = (at as f64 + fun.load - now as f64).max(0.0) / step;
                change[(left as usize).min(steps - 1)] += f64::from(want - n);
            }
            change[delay] += f64::from(u8::from(n == 0 && c.out > 0)); // sent on a stale belief: it may load
            if n > 0 && self.m.workers.get(&id).is_some_and(|w| w.ready && !w.whole.tripped) {
                warm += f64::from(n);
                foreign += c.foreign.min(f64::from(n * fun.lanes));
                newest = newest.max(Some((c.used, id)));
                if c.out == 0 && c.orders.is_empty() && idlest.is_none_or(|o| (c.used, id) < o) {
                    idlest = Some((c.used, id));
                }
            }
        }
        // Renewal: the last copies of a function still in use are held again before they can age out.
        // What other front ends use as well stays by their use, and is not this one's to drop.
        let alone = fun.spread == 0;
        let in_use = alone && fun.uses.get(now, 2.0 * keep) > RENEW_USES;
        if let Some((used, id)) = newest.filter(|_| in_use && self.order_room(AHEAD_SHARE)) {
            if now + 2 * fun.step + self.sweep > used + self.set.keep_alive {
                self.order(f, id, 0, out);
                self.m.functions[f].copies.entry(id).and_modify(|c| c.used = now);
                return;
            }
        }
        let aim = self.set.classes[fun.class].aim.max(1) as f64;
        let horizon = Horizon {
            arrivals: forecast(&bins, steps),
            queue: fun.held.len() as f64,
            warm,
            change,
            foreign,
            lanes: f64::from(fun.lanes),
            service: if fun.quick > 0.0 { fun.quick } else { mean } / step,
            delay,
            cold_pain: ((fun.load + mean) / aim).min(1.0),
            wait_pain: (mean / aim).min(1.0),
            load_cost: LOAD_COST + self.set.fetch_price,
            drop_reward: self.set.idle_price * DROP_REWARD,
            most: f64::from(MOST_COPIES) * fun.homes.len() as f64,
            last_loads: fun.last_loads,
        };
        let (loads, drops) = plan(&horizon);
        self.m.functions[f].last_loads = f64::from(loads);
        for _ in 0..loads {
            if let Some(id) = self.place(f, false).filter(|_| self.order_room(AHEAD_SHARE)) {
                self.order(f, id, 1, out);
            }
        }
        // Drops act on long-idle copies only, and where memory is priced.
        let long = |i: &(Time, WorkerId)| i.0 + self.set.keep_alive / 2 < now && Some(*i) != newest;
        if let Some((_, id)) = idlest.filter(|i| drops > 0 && self.set.idle_price > 0.0 && long(i) && alone) {
            self.m.functions[f].copies.entry(id).and_modify(|c| (c.n, c.known) = (0, now));
            out.push(Action::Drop { worker: id, function: self.m.functions[f].name.clone() });
        }
    }
}
