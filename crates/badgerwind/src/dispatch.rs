//! A request's way: taken in, held, sent, ended.

use crate::interface::*;
use crate::router::{Router, MOST_RETRIES};
use crate::shares::FLOOD_SPAN;
use crate::state::*;
use badgerwind_forecast::STEPS_PER_LOAD;

pub(crate) const BINS: usize = 32; // Bins of arrivals kept for the forecast (eight load times).
const LOAD_GUESS: f64 = 0.08; // Load time where none is told or seen, as a share of the keep-alive.
const RETRY_SHARE: f64 = 0.2; // Retry budget: further tries, by us or by clients, for each first one.

impl Router {
    pub(crate) fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        let (now, keep) = (self.now, self.keep());
        self.m.arrivals.push(now);
        if self.m.open.contains_key(&r.id) {
            return;
        } else if r.class >= self.set.classes.len() {
            return out.push(Action::Refuse { id: r.id, retry_after: None });
        }
        let f = self.function(&r);
        // What nothing ever served may be nobody's work: it is not held against its tenant.
        if let Some(rate) = self.m.tenant_rate.get_mut(r.tenant).filter(|_| self.m.functions[f].mean > 0.0) {
            rate.add(now, keep * FLOOD_SPAN, 1e6 / (keep * FLOOD_SPAN)); // short, so that a flood shows soon
        }
        if !r.retry {
            self.m.rate.add(now, keep, 1e6 / keep);
            self.m.retries = (self.m.retries + RETRY_SHARE).min(MOST_RETRIES);
        }
        self.m.open.insert(r.id.clone(), Open::new(f, &r, now));
        self.m.functions[f].held.push(r.id);
        self.dispatch(f, out);
    }

    /// The function of a request, its arrival booked.
    pub(crate) fn function(&mut self, r: &Request) -> usize {
        let (now, keep, began) = (self.now, self.keep(), self.began.unwrap_or(self.now));
        let known = self.m.names.get(&r.function).copied();
        let f = known.unwrap_or_else(|| {
            let all = self.m.load_sum / self.m.names.len().max(1) as f64;
            let guess = if all > 0.0 { all } else { keep * LOAD_GUESS };
            let load = r.load_time.map_or(guess, |t| t as f64).max(self.sweep as f64);
            let step = (load as u64 / STEPS_PER_LOAD).max(1);
            self.m.named(r, load, step)
        });
        let fun = &mut self.m.functions[f];
        (fun.memory, fun.lanes, fun.used) = (r.memory_mb, r.lanes.max(1), now);
        fun.count(now, began, BINS as u64);
        fun.uses.add(now, 2.0 * keep, 0.5);
        self.m.plan_next(f);
        f
    }

    /// Serves the held requests of a function, worthiest and most urgent first.
    pub(crate) fn dispatch(&mut self, f: usize, out: &mut Vec<Action>) {
        self.refresh(f);
        let mut held = self.m.take_held(f);
        held.sort_by(|a, b| {
            let (x, y) = (&self.m.open[a], &self.m.open[b]);
            self.worth(y).total_cmp(&self.worth(x)).then(x.due.cmp(&y.due)).then(a.cmp(b))
        });
        // Too little for all shows in further tries, or in more held than there are workers.
        let pressed = self.m.retries < 1.0 || self.m.held + held.len() > self.m.workers.len();
        let mut waiting = Vec::new();
        for id in held {
            let open = &self.m.open[&id];
            // Rule 1: the last sweep before the client gives up answers. Late and over-share traffic yields.
            // Half of its time without a try: who waits for it should know, and may find another front end.
            let half = open.attempts.is_empty() && 2 * (self.now + self.sweep) >= open.since + open.due;
            let yields = pressed && (self.late(open) || self.over_share(open)) && self.may_refuse(open);
            let yields = yields || half;
            let one_out = || self.m.functions[f].copies.values().any(|c| c.out > 0);
            let over = self.too_late(open) || self.doubtful(f) && one_out();
            let choice = if over { None } else { Some(self.choose(f, open, waiting.len())) };
            match choice {
                Some(Choice::Send(w)) => self.send(&id, w, out),
                Some(Choice::Load(w)) => {
                    self.order(f, w, 1, out);
                    waiting.push(id);
                }
                Some(Choice::Wait) if !yields => waiting.push(id),
                _ => self.finish(&id, out),
            }
        }
        self.m.functions[f].held = waiting;
        self.m.count_held(f);
    }

    pub(crate) fn too_late(&self, open: &Open) -> bool {
        open.due <= self.now + self.sweep + 2 * self.set.round
    }

    /// One that can no longer make its aim yields to those that can.
    pub(crate) fn late(&self, open: &Open) -> bool {
        self.now as f64 + self.service(open.function) > (open.since + self.set.classes[open.class].aim) as f64
    }

    pub(crate) fn worth(&self, open: &Open) -> f64 {
        let class = &self.set.classes[open.class];
        let share = if self.over_share(open) { self.set.over_share_worth } else { 1.0 };
        class.worth * share * if self.late(open) { class.late_worth } else { 1.0 }
    }

    pub(crate) fn may_refuse(&self, open: &Open) -> bool {
        let class = &self.set.classes[open.class];
        let all = class.effect == Effect::ByKey && class.group == Group::All;
        let harmless = all || class.effect == Effect::Repeatable;
        harmless || open.attempts.iter().all(|a| a.never_ran)
    }

    pub(crate) fn send(&mut self, id: &RequestId, worker: WorkerId, out: &mut Vec<Action>) {
        let f = self.m.open[id].function;
        self.m.retries -= f64::from(u8::from(self.is_retry(&self.m.open[id])));
        let warm = self.warm(f, worker) > 0;
        let load = if warm { 0.0 } else { self.m.functions[f].load };
        let slow = self.m.workers.get(&worker).map_or(1.0, |w| w.slow.max(1.0));
        let expected = (self.service(f) * slow * self.m.tail + load) as Span;
        self.m.begin_attempt(id, worker, self.now, expected);
        let copies = self.m.functions[f].copies.entry(worker);
        copies.and_modify(|c| c.used = if warm { self.now } else { c.used });
        out.push(Action::Send { id: id.clone(), worker, timeout: None });
    }

    /// The final answer for a request that cannot be served.
    pub(crate) fn finish(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get(id).filter(|o| !o.over && !o.stream) else { return };
        let (refuse, own) = (self.may_refuse(open), id.clone());
        let answer =
            if refuse { Action::Refuse { id: own, retry_after: None } } else { Action::Fail { id: own } };
        out.push(answer);
        self.end(id, out);
    }
}
