//! Load orders: where, how many, within the ration.

use crate::choose::CANDIDATES;
use crate::interface::*;
use crate::router::Router;
use crate::state::*;
use badgerwind_placement::unit_hash;

pub(crate) const MOST_COPIES: u32 = 16; // Most copies in one order; wmax is this at every worker.
const WORKER_LOADS: u32 = 3; // Own loads in hand at one worker: workers run a few and turn the rest away.
const LOAD_CAPACITY: f64 = 0.5; // Share of its capacity from which a warming worker is given loads.

impl Router {
    /// The worker for a new copy: the first home that holds none, or holds least. Of no use to a request that
    /// `waits` is one more where a free one stands: it is something else that keeps it from going there.
    pub(crate) fn place(&self, f: usize, waits: bool) -> Option<WorkerId> {
        let fun = &self.m.functions[f];
        let fit = |w: &Worker| {
            let room = w.ready && self.now >= w.no_load_until && w.loads < WORKER_LOADS;
            room && (!w.whole.tripped || self.all_bad()) && self.capacity(w) > LOAD_CAPACITY
        };
        let near = if fun.spread > 0 { fun.spread + 1 } else { fun.homes.len() };
        let skip = (unit_hash(&fun.name, self.now as u32) * near.saturating_sub(CANDIDATES) as f64) as usize;
        let part = fun.homes.iter().take(near).skip(skip).take(CANDIDATES);
        let homes = part.copied().filter(|id| self.m.workers.get(id).is_some_and(fit));
        let count = |id: &WorkerId| self.warm(f, *id).max(fun.copies.get(id).map_or(0, |c| c.coming()));
        // Where as many stand as one order may ask for, another changes nothing and is answered at once.
        let free = |id: &WorkerId| fun.copies.get(id).is_some_and(|c| self.warm(f, *id) * fun.lanes > c.out);
        homes.filter(|id| count(id) < MOST_COPIES && !(waits && free(id))).min_by_key(count)
    }

    /// Rule 5: whether one more order fits the sliding window, within this share of it.
    pub(crate) fn order_room(&self, share: f64) -> bool {
        let from = self.now.saturating_sub(self.set.load_window);
        let taken = self.m.arrivals.since(from + 1);
        let most = share * (self.set.load_free + self.set.load_share * taken);
        let most = most.min(self.m.parts.orders.unwrap_or(f64::INFINITY));
        self.set.load_window == 0 || self.m.orders.since(from) + 1.0 <= most
    }

    /// Orders so many copies more than last said stood; none renews those. The worker itself makes room.
    pub(crate) fn order(&mut self, f: usize, worker: WorkerId, more: u32, out: &mut Vec<Action>) {
        let coming = self.m.functions[f].copies.get(&worker).map_or(0, |c| c.coming());
        let copies = (self.warm(f, worker).max(coming * more.min(1)) + more).min(MOST_COPIES);
        self.m.orders.push(self.now);
        self.m.workers.entry(worker).and_modify(|w| w.loads += 1);
        self.m.copies_at(f, worker).orders.push((self.now, copies));
        out.push(Action::Load { worker, function: self.m.functions[f].name.clone(), copies });
    }
}
