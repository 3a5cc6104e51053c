//! Where copies stand or should, and which workers may take a call.

use crate::interface::*;
use crate::router::Router;
use crate::shares::LOAD_SPAN;
use crate::state::*;
use badgerwind_placement::unit_hash;

pub(crate) const CELL: usize = 128; // Most workers in a cell: what one call may look at of any list.
const FEW: usize = 16; // Ready workers that the cells of a function hold at the least.
const MANY: u32 = 8; // Front ends from which each sees too small a part of a function to go by its own tally.
const OTHERS: f64 = 3.0; // Uses by other front ends within a keep-alive that make a copy theirs to keep too.
const BUSY_LANES: f64 = 4.0; // Own requests that load a worker of size 1 about once over.
pub(crate) const COLD_NEWS: u64 = 4; // How long news that a worker holds no copy is believed, in load times.
const LITTLE: f64 = 0.1; // Mass of the guess that a worker is loaded as usual, in answers.
const COLD_SHARE: f64 = 0.4; // Share of a cold worker's budget that all front ends together plan to use.

impl Router {
    /// Workers in the function's own order (cells drawn by weight, rendezvous hash within): front ends that
    /// share nothing agree. It changes with its cells only. The first `spread` take what is shared.
    pub(crate) fn refresh(&mut self, f: usize) {
        let uses = self.m.functions[f].uses.get(self.now, 2.0 * self.keep());
        let shared = self.set.front_ends > MANY && uses * f64::from(self.set.front_ends - 1) > OTHERS;
        self.m.settle(f);
        // At the most it reaches twice as far by the next look.
        self.m.find_homes(f, FEW.max(2 * self.m.functions[f].reach.round() as usize));
        let fun = &mut self.m.functions[f];
        fun.reach = fun.reach.clamp(1.0, fun.homes.len().max(1) as f64);
        let spread = if shared { fun.reach.round() as usize } else { 0 };
        self.m.set_spread(f, spread);
    }

    /// Copies to count on: those believed warm; at a shared function's homes one, unless news says none.
    pub(crate) fn stands(&self, f: usize, worker: WorkerId) -> u32 {
        let (fun, warm) = (&self.m.functions[f], self.warm(f, worker));
        let cold = |c: &Copies| c.known > 0 && c.n == 0 && c.known + COLD_NEWS * fun.load as u64 > self.now;
        u32::from(fun.copies.get(&worker).is_some_and(|c| c.home && !cold(c))).max(warm)
    }

    /// Copies believed warm: proven within the keep-alive and not before trust was withdrawn.
    pub(crate) fn warm(&self, f: usize, worker: WorkerId) -> u32 {
        match self.m.functions[f].copies.get(&worker) {
            Some(c) if c.used + self.set.keep_alive > self.now && c.used >= self.m.trust_from => c.n,
            _ => 0,
        }
    }

    /// Share of its capacity that a worker has, at the least: even warming is the worst case.
    pub(crate) fn capacity(&self, w: &Worker) -> f64 {
        let Some(at) = w.cold_at else { return 1.0 };
        let age = self.now.saturating_sub(at) as f64 / self.set.warm_after.max(1) as f64;
        (self.set.cold_from + (1.0 - self.set.cold_from) * age).min(1.0)
    }

    /// Rule 4: this front end's share of a cold worker's budget; what warm ones bear stands for its capacity.
    pub(crate) fn cold_room(&self, w: &Worker) -> bool {
        let capacity = self.capacity(w);
        let all = &self.m.totals;
        // Guards against demand beyond capacity: only what was ever served shows what they can bear.
        let asked = self.m.rate.get(self.now, self.keep()) / all.size.max(w.size);
        let mean = all.borne / all.bearing.max(1) as f64;
        let bears = w.size * if all.bearing > 0 { asked.min(mean) } else { asked };
        let budget =
            bears * capacity * self.set.fall_window as f64 / 1e6 * self.set.fall_multiple * COLD_SHARE;
        let sent = w.sends.since(self.now.saturating_sub(self.set.fall_window));
        // Less than one for each front end: saved up from a seeded start, so that no rush exceeds the sum.
        let age = self.now.saturating_sub(w.cold_at.unwrap_or(0)) as f64 / self.set.fall_window.max(1) as f64;
        let saved = budget / capacity * age * (self.set.cold_from + capacity) / 2.0;
        let start = unit_hash(&self.set.my_number.to_string(), w.born.unwrap_or(0) as u32);
        sent < budget.floor() || sent < 1.0 && f64::from(w.cold_sends) < (start + saved).floor()
    }

    /// More than half of the fleet taken out: then the evidence is of something else, and all are used.
    pub(crate) fn all_bad(&self) -> bool {
        2 * self.m.totals.tripped > self.m.totals.ready
    }

    /// Neither the worker as a whole nor this kind of traffic there is taken out.
    pub(crate) fn usable(&self, w: &Worker, open: &Open) -> bool {
        let repeat = self.set.classes[open.class].effect == Effect::Repeatable;
        let trickle = self.now >= w.whole.retry_at && w.out == 0 && repeat;
        let healthy = !w.whole.tripped || trickle || self.all_bad();
        let kind = |k: Kind| w.kinds.get(&k).is_none_or(|h| !h.tripped || self.now >= h.retry_at);
        let room = f64::from(w.out) < w.limit && self.now >= w.full_until;
        let warm = self.capacity(w) >= 1.0 || self.cold_room(w);
        w.ready && healthy && room && warm && open.kinds().into_iter().all(kind)
    }

    /// How busy a worker looks: slowness, attempts and loads in hand by size.
    pub(crate) fn busy(&self, w: &Worker) -> f64 {
        let alike = self.set.front_ends.clamp(1, MANY); // the others send there as well
        w.slow.max(self.load(w)) * (1.0 + f64::from((w.out + w.loads) * alike) / (BUSY_LANES * w.size))
    }

    /// How loaded a worker is by what all front ends saw; 1 is as usual, and where nobody tells.
    pub(crate) fn load(&self, w: &Worker) -> f64 {
        if !self.set.may_message {
            return 1.0;
        }
        w.load.mean(self.now, self.keep() * LOAD_SPAN, 1.0, LITTLE)
    }
}
