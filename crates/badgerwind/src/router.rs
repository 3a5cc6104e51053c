//! The decisions of one front end: what it is and knows, and the expectations that all of them share.

use crate::homes::CELL;
use crate::interface::*;
use crate::memory::Memory;
use crate::state::*;
use badgerwind_cells::CellIndex;

pub(crate) const HOPE: f64 = 2.0; // Longest hold on hopes, in load times; then any load or queue is better.
pub(crate) const OVERDUE: f64 = 6.0; // First guess of the service time that OVERDUE_SHARE exceeds, in means.
const SWEEPS_PER_AIM: u64 = 16; // Sweeps in the shortest aim: how fast silence is seen and plans are made.
pub(crate) const MOST_RETRIES: f64 = 10.0; // Most further tries that may be saved up.
const DOUBT: u32 = 2; // Errors of a function that nothing ever served, from which it is doubtful.

/// The decisions of one front end.
#[derive(Debug)]
pub struct Router {
    pub(crate) set: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) m: Memory,
    pub(crate) now: Time,
    pub(crate) began: Option<Time>,
    /// Pace of the regular sweep: a small part of the shortest aim.
    pub(crate) sweep: Span,
}

impl Router {
    /// A router that knows nothing but its settings.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let aim = settings.classes.iter().map(|c| c.aim).filter(|&a| a > 0).min();
        let sweep = (aim.unwrap_or(settings.keep_alive) / SWEEPS_PER_AIM).max(2 * settings.round).max(1000);
        let mut m = Memory::default();
        m.tenant_rate.resize(settings.tenants.len(), Decay::default());
        m.class_mean.resize(settings.classes.len(), 0.0);
        (m.tail, m.retries, m.mean_load, m.index) = (OVERDUE, MOST_RETRIES, 1.0, CellIndex::new(CELL));
        Router { set: settings, rng: fastrand::Rng::with_seed(seed), m, now: 0, began: None, sweep }
    }

    pub(crate) fn keep(&self) -> f64 {
        self.set.keep_alive.max(self.sweep) as f64
    }

    /// Expected service time: the function's, else its class's, else a part of the aim.
    pub(crate) fn service(&self, f: usize) -> f64 {
        let f = &self.m.functions[f];
        let aim = self.set.classes[f.class].aim as f64;
        [f.mean, self.m.class_mean[f.class], aim / 5.0].into_iter().find(|&m| m > 0.0).unwrap_or(1.0)
    }

    /// Nothing ever served it, and errors are all it gave lately: it may be what no worker can serve. Guards
    /// against senders of names that nobody knows: one call at a time tries, and nothing is loaded for it.
    pub(crate) fn doubtful(&self, f: usize) -> bool {
        let fun = &self.m.functions[f];
        fun.mean == 0.0 && fun.errors >= DOUBT && fun.erred + (HOPE * fun.load) as Span > self.now
    }
}
