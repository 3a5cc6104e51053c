//! The choice of a worker, and the rules that bind attempts.

use crate::homes::COLD_NEWS;
use crate::interface::*;
use crate::router::{Router, HOPE};
use crate::state::*;
use badgerwind_placement::unit_hash;

const CROWDING: f64 = 0.3; // What each such request adds to the time there, in service times.
const RETRY_PAIN: f64 = 0.3; // Share of the aim that a failure costs where the request can be repeated.
pub(crate) const CANDIDATES: usize = 128; // Most workers that one decision weighs; of more, as chance has it.
const NEXT_HOMES: usize = 8; // Further homes that take calls of one loaded beyond the mean.

impl Router {
    /// Another try after one that failed, by us or by the client, waits for the retry budget.
    pub(crate) fn is_retry(&self, open: &Open) -> bool {
        open.attempts.last().map_or(open.retry, |a| !a.free)
    }

    /// A believed-free warm lane; else wait if one frees before a load would; else the pick.
    pub(crate) fn choose(&self, f: usize, open: &Open, ahead: usize) -> Choice {
        let (fun, class, now) = (&self.m.functions[f], &self.set.classes[open.class], self.now);
        let (mean, aim) = (self.service(f), class.aim.max(1) as f64);
        if self.is_retry(open) && self.m.retries < 1.0 {
            return Choice::Wait;
        }
        let tried = |id: WorkerId| open.attempts.iter().any(|a| a.worker == id);
        let may = |id: WorkerId| {
            self.m.workers.get(&id).is_some_and(|w| self.usable(w, open) && self.may_send(open, w))
        };
        let mut best: Option<(f64, WorkerId)> = None;
        let mut frees: Vec<f64> = Vec::new();
        let chance = unit_hash(&open.id, open.attempts.len() as u32);
        for (&id, c) in self.m.some_copies(f, CANDIDATES, chance) {
            let Some(w) = self.m.workers.get(&id).filter(|w| w.ready) else { continue };
            let warm = self.stands(f, id);
            for &(at, want) in c.orders.iter().filter(|o| o.1 > warm) {
                let ready = (at as f64 + fun.load - now as f64).max(fun.load / 4.0);
                frees.extend((0..(want - warm) * fun.lanes).map(|_| ready));
            }
            if warm == 0 || !may(id) {
                continue;
            }
            let old = now.saturating_sub(c.known) as f64 / fun.load;
            let taken = f64::from(c.out) + c.foreign * (-old).exp();
            let time = mean * self.busy(w);
            // Shared homes: others come and go unseen, so crowding is a price, and chance spreads the calls.
            let shared = fun.spread > 0 && c.out < warm * fun.lanes;
            let luck = unit_hash(&open.id, id);
            let time = if shared { time * (1.0 + CROWDING * c.foreign + luck) } else { time };
            if shared || taken + 0.5 < f64::from(warm * fun.lanes) {
                // The one that answers soonest; failures seen weigh most where a failed request is lost.
                let fails = w.whole.fails * aim * if class.effect == Effect::Once { 1.0 } else { RETRY_PAIN };
                let cross = if w.zone == self.set.my_zone { 0.0 } else { self.set.zone_price * aim };
                let price = time + fails + cross + if tried(id) { aim } else { 0.0 };
                best = best.filter(|b| b.0 <= price).or(Some((price, id)));
            } else {
                frees.extend((1..=taken as u32).map(|i| time / taken * f64::from(i)));
            }
        }
        if let Some((_, id)) = best {
            // Homes are the same for all front ends: one that is loaded beyond the others gives to the next.
            let load = |w: &Worker| self.load(w) / self.m.mean_load;
            let over = |id: &WorkerId| self.m.workers.get(id).map_or(1.0, load);
            let (heavy, stays) = (over(&id), unit_hash(&open.id, !id));
            let lighter = |o: &&WorkerId| over(o) < heavy && may(**o) && !tried(**o);
            let moves = stays * heavy > 1.0 && self.set.when_absent == WhenAbsent::Load;
            let next = fun.homes.iter().take(fun.spread + NEXT_HOMES).find(lighter).filter(|_| moves);
            return Choice::Send(next.copied().unwrap_or(id));
        }
        // The turn of this request: each lane that frees serves one of those ahead first, then frees again.
        let wait = turn(frees, ahead, mean);
        let waited = now.saturating_sub(open.since) as f64 / fun.load;
        if wait <= fun.load && waited <= HOPE {
            return Choice::Wait;
        }
        // No warm lane soon. The pick: the first home that may take it, unless known cold.
        let homes = &fun.homes;
        let pick = homes.iter().find(|id| may(**id) && !tried(**id)).copied();
        let known = |c: &Copies| c.out > 0 || c.n == 0 && c.known + COLD_NEWS * fun.load as u64 > now;
        let spare = self.set.max_attempts as usize > open.attempts.len() + 1 || !self.set.may_order;
        let unknown = |id: &WorkerId| spare && !fun.copies.get(id).is_some_and(|c| known(c));
        if let Some(id) = pick.filter(unknown) {
            return Choice::Send(id);
        }
        let may_order = self.set.may_order && !self.doubtful(f);
        if let Some(id) = self.place(f, true).filter(|_| may_order && self.order_room(1.0)) {
            return Choice::Load(id);
        }
        // Nothing can be ordered: one that has waited long joins the queue at a warm worker.
        if waited > 1.0 || !self.set.may_order {
            let queues = self
                .m
                .some_copies(f, CANDIDATES, chance)
                .filter(|(id, c)| c.n > 0 && may(**id))
                .map(|(id, c)| (c.out, *id));
            let any = homes.iter().find(|id| self.set.when_absent == WhenAbsent::Load && may(**id));
            if let Some(id) = queues.min().map(|q| q.1).or(any.copied()) {
                return Choice::Send(id);
            }
        }
        Choice::Wait
    }

    /// Rule 2: whether another attempt, to this worker, is allowed now.
    pub(crate) fn may_send(&self, open: &Open, w: &Worker) -> bool {
        let class = &self.set.classes[open.class];
        let out = open.attempts.iter().filter(|a| a.out).count();
        let spent = open.attempts.len() >= self.set.max_attempts.max(1) as usize;
        if !w.ready || open.over || open.stream || spent || out > usize::from(self.set.may_duplicate) {
            return false;
        }
        let Some(first) = open.attempts.iter().find(|a| !a.never_ran) else { return true };
        match class.effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::ByKey => {
                let open = self.now < first.sent + class.window.saturating_sub(2 * self.set.round);
                open && self.m.workers.get(&first.worker).is_some_and(|o| o.drops_repeats(w, class.group))
            }
        }
    }
}
