//! Periodic maintenance: detection of silent workers, held requests, and plans of loads and drops.

use crate::{dispatch::BINS, feedback::BACKOFF, feedback::KIND_PAUSE, interface::*};
use crate::{load_orders::MAX_COPIES, records::*, router::Router, router_state::MaintenanceLimits};
use badgerwind_forecast::forecast;
use badgerwind_horizon::{plan, Horizon};

const BEYOND: usize = 8; // Steps of the horizon beyond the load delay.
const MAX_DELAY: usize = 12; // Longest load delay in steps; longer load times are planned as if this long.
const LOAD_COST: f64 = 1.6; // δ without the fetch price, in requests' worth: a load takes memory and CPU.
const DROP_REWARD: f64 = 0.2; // η for each point of the memory price, in requests' worth.
const AHEAD_SHARE: f64 = 0.6; // Share of the order limit for loads ahead; the rest is for misses.
const RENEW_USES: f64 = 0.4; // Uses expected in another keep-alive from which a copy is renewed.
const SLOW_SPAN: f64 = 0.5; // Time constant of slowness without samples, as a share of the keep-alive.
const MAINTAINED: usize = 128; // Workers, and functions, that one run handles.
const UNUSED: u64 = 8; // Keep-alives without a call after which a function is forgotten.

impl Router {
    pub(crate) fn on_maintenance(&mut self, actions: &mut Actions) {
        let now = self.now;
        actions.push(Action::SetAlarm { after: self.interval, name: "sweep".into() });
        let ago = |span| now.saturating_sub(span);
        let due = self.state.asked_at == 0 || self.state.asked_at + self.settings.ask_within / 4 < now;
        if self.settings.discovery == Discovery::Ask && due {
            self.state.asked_at = now;
            actions.push(Action::Subscribe { on: true });
        }
        self.send_message(actions);
        // Slowness fades: a worker that was slow for a moment gets hardly any calls that would correct it.
        let window = ago(self.settings.load_window);
        let (sends, starts) = (ago(self.settings.fall_window), ago(self.settings.warm_after));
        let (unused, fade) = (ago(UNUSED * self.keep_alive() as Micros), self.keep_alive() * SLOW_SPAN);
        let limits = MaintenanceLimits { max_items: MAINTAINED, now, window, sends, starts, unused, fade };
        let (visited, pass_ends) = self.state.maintain(&limits);
        let ready = visited.iter().filter_map(|id| self.state.workers.get(id)).filter(|worker| worker.ready);
        self.state.average_loads(&ready.map(|w| self.relative_load(w)).collect::<Vec<f64>>(), pass_ends);
        self.find_silent(actions);
        let mut due = self.state.due_plans(now);
        due.extend(&self.state.waiting);
        for slot in due {
            if !self.state.functions[slot].held.is_empty() {
                self.dispatch(slot, actions);
            }
            let new_bin = self.state.functions[slot].roll(now, self.started_at.unwrap_or(now), BINS as u64);
            if new_bin && self.settings.may_order && !self.is_doubtful(slot) {
                self.plan_function(slot, actions);
            }
            let warm = self.state.functions[slot].copies.keys().any(|id| self.warm_copies(slot, *id) > 0);
            self.state.rest_or_plan_next(slot, warm);
        }
    }

    /// Detects workers that do not answer. An overdue attempt counts once, against its kinds of traffic there
    /// and against the worker as a whole if that has not answered anything since.
    pub(crate) fn find_silent(&mut self, actions: &mut Actions) {
        let (now, pause) = (self.now, self.interval * BACKOFF + self.rng.u64(0..=self.interval * BACKOFF));
        for open in self.state.open.values_mut() {
            let kinds = open.kinds();
            let is_overdue = |a: &&mut Attempt| a.in_flight && !a.overdue && now > a.sent + a.expected;
            for Attempt { worker: id, sent, overdue, .. } in open.attempts.iter_mut().filter(is_overdue) {
                *overdue = true;
                let Some(worker) = self.state.workers.get_mut(id) else { continue };
                for kind in kinds {
                    let health = worker.kind_health.entry(kind).or_default();
                    if health.last_seen <= *sent {
                        health.fail(2.0, now, self.settings.keep_alive / KIND_PAUSE);
                    }
                }
                self.state.totals.exclude(worker);
                let newly_tripped = worker.health.last_seen <= *sent && worker.health.fail(1.0, now, pause);
                self.state.totals.include(worker);
                if newly_tripped && now > self.state.logged_at + self.settings.keep_alive / 4 {
                    self.state.logged_at = now;
                    actions.push(Action::Log { text: format!("worker {id} answers nothing: taken out") });
                }
            }
        }
        // Repeatable requests at a tripped worker go elsewhere: at once, or once they have been cancelled.
        let mut resend = Vec::new();
        for (id, open) in self.state.open.iter_mut().filter(|(_, open)| !open.ended && !open.stream) {
            let exhausted = open.attempts.len() >= self.settings.max_attempts as usize;
            let repeat = self.settings.classes[open.class].effect == Effect::Repeatable && !exhausted;
            let Some(number) = open.attempts.len().checked_sub(1).filter(|_| repeat) else { continue };
            let kinds = open.kinds();
            let last = &mut open.attempts[number];
            let Some(worker) = self.state.workers.get(&last.worker) else { continue };
            let silent = |health: &Health| health.tripped && health.last_seen <= last.sent;
            let silent_for = |kind| worker.kind_health.get(kind).is_some_and(|health| silent(health));
            let silent = silent(&worker.health) || kinds.iter().any(silent_for);
            if !last.in_flight || last.called_off || !silent || now < last.sent + last.expected / 2 {
                continue;
            }
            if self.settings.may_duplicate {
                last.expected = self.settings.classes[open.class].deadline; // only one duplicate
                resend.push(id.clone());
            } else if self.settings.may_cancel {
                last.called_off = true;
                actions.push(Action::Cancel { id: id.clone(), attempt: number as u32 });
            }
        }
        resend.iter().for_each(|id| self.hold(id)); // dispatched in this run
    }

    /// Plans one step of a function: forecast, search, and the loads or drops of the first step.
    pub(crate) fn plan_function(&mut self, slot: usize, actions: &mut Actions) {
        self.state.void_stale_copies(slot);
        let (now, keep, mean) = (self.now, self.keep_alive(), self.service(slot));
        let function = &self.state.functions[slot];
        let bins: Vec<f64> = function.bins.iter().take(function.bins.len() - 1).copied().collect();
        if function.spread > 0 && function.held.is_empty() && bins.iter().all(|&arrivals| arrivals == 0.0) {
            return; // Nothing to plan for, and other front ends use the copies.
        }
        let step = function.step as f64;
        let delay = ((function.load_time / step) as usize).clamp(1, MAX_DELAY);
        let steps = delay + BEYOND;
        let (mut warm, mut foreign, mut change) = (0.0, 0.0, vec![0.0; steps]);
        let (mut newest, mut idlest) = (None::<(Time, WorkerId)>, None); // by last use, to renew or to drop
        for (&id, copies) in &function.copies {
            let count = self.warm_copies(slot, id);
            for &(at, want) in copies.orders.iter().filter(|order| order.1 > count) {
                let left = (at as f64 + function.load_time - now as f64).max(0.0) / step;
                change[(left as usize).min(steps - 1)] += f64::from(want - count);
            }
            change[delay] += f64::from(u8::from(count == 0 && copies.in_flight > 0)); // the call may load one
            if count > 0 && self.state.workers.get(&id).is_some_and(|w| w.ready && !w.health.tripped) {
                warm += f64::from(count);
                foreign += copies.foreign.min(f64::from(count * function.lanes));
                let used = (copies.used_at, id);
                newest = newest.max(Some(used));
                if copies.in_flight == 0 && copies.orders.is_empty() && idlest.is_none_or(|old| used < old) {
                    idlest = Some(used);
                }
            }
        }
        // Renews the last used copies of a function still in use before they expire. Copies that other front
        // ends use as well are kept by that use, and are not this front end's to drop.
        let alone = function.spread == 0;
        let in_use = alone && function.uses.get(now, 2.0 * keep) > RENEW_USES;
        if let Some((used, id)) = newest.filter(|_| in_use && self.within_order_limit(AHEAD_SHARE)) {
            if now + 2 * function.step + self.interval > used + self.settings.keep_alive {
                self.order_load(slot, id, 0, actions);
                self.state.functions[slot].copies.entry(id).and_modify(|copies| copies.used_at = now);
                return;
            }
        }
        let aim = self.settings.classes[function.class].aim.max(1) as f64;
        let horizon = Horizon {
            arrivals: forecast(&bins, steps),
            queue: function.held.len() as f64,
            warm,
            change,
            foreign,
            lanes: f64::from(function.lanes),
            service: if function.quick_service > 0.0 { function.quick_service } else { mean } / step,
            delay,
            cold_penalty: ((function.load_time + mean) / aim).min(1.0),
            wait_penalty: (mean / aim).min(1.0),
            load_cost: LOAD_COST + self.settings.fetch_price,
            drop_reward: self.settings.idle_price * DROP_REWARD,
            max_copies: f64::from(MAX_COPIES) * function.preferred.len() as f64,
            last_loads: function.last_loads,
        };
        let (loads, drops) = plan(&horizon);
        self.state.functions[slot].last_loads = f64::from(loads);
        for _ in 0..loads {
            if let Some(id) = self.load_target(slot, false).filter(|_| self.within_order_limit(AHEAD_SHARE)) {
                self.order_load(slot, id, 1, actions);
            }
        }
        // Drops apply to copies that have long been idle, and only where memory has a price.
        let may_drop = drops > 0 && self.settings.idle_price > 0.0 && alone && idlest != newest;
        if let Some((_, id)) = idlest.filter(|idle| may_drop && idle.0 + self.settings.keep_alive / 2 < now) {
            let function = &mut self.state.functions[slot];
            function.copies.entry(id).and_modify(|copies| (copies.count, copies.known_at) = (0, now));
            actions.push(Action::Drop { worker: id, function: function.name.clone() });
        }
    }
}
