//! The [`Router`] of one front end, its construction, and the estimates that all decisions share.

use crate::{eligibility::CELL_SIZE, interface::*, records::*, router_state::RouterState};
use badgerwind_cells::CellIndex;

pub(crate) const MAX_HOLD: f64 = 2.0; // Longest wait for a warm lane, in load times; then a load or a queue.
pub(crate) const OVERDUE: f64 = 6.0; // Initial overdue factor, in mean service times; see OVERDUE_SHARE.
const RUNS_PER_AIM: u64 = 16; // Maintenance runs in the shortest aim: bounds delays of detection and plans.
pub(crate) const MAX_RETRIES: f64 = 10.0; // Upper bound of the accumulated retry budget, in attempts.
const MIN_ERRORS: u32 = 2; // Errors after which a function that was never served is doubtful.

/// Makes the decisions of one front end.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) state: RouterState,
    pub(crate) now: Time,
    pub(crate) started_at: Option<Time>, // time of the first event
    pub(crate) interval: Micros,         // of the periodic maintenance: a small part of the shortest aim
}

impl Router {
    /// Creates a router that has no workers or functions yet. Equal seeds and events give equal actions.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let aim = settings.classes.iter().map(|class| class.aim).filter(|&aim| aim > 0).min();
        let interval = (aim.unwrap_or(settings.keep_alive) / RUNS_PER_AIM).max(2 * settings.round).max(1000);
        let mut state = RouterState::default();
        (state.overdue_factor, state.retry_budget) = (OVERDUE, MAX_RETRIES);
        (state.mean_load, state.index) = (1.0, CellIndex::new(CELL_SIZE));
        state.tenant_rate.resize(settings.tenants.len(), DecayingSum::default());
        state.class_service.resize(settings.classes.len(), 0.0);
        Router { settings, rng: fastrand::Rng::with_seed(seed), state, now: 0, started_at: None, interval }
    }

    /// The keep-alive, at least one interval, as the time constant of decaying estimates.
    pub(crate) fn keep_alive(&self) -> f64 {
        self.settings.keep_alive.max(self.interval) as f64
    }

    /// Expected service time: the function's own mean, else its class's, else a fifth of the aim.
    pub(crate) fn service(&self, slot: usize) -> f64 {
        let function = &self.state.functions[slot];
        let aim = self.settings.classes[function.class].aim as f64;
        let estimates = [function.mean_service, self.state.class_service[function.class], aim / 5.0];
        estimates.into_iter().find(|&mean| mean > 0.0).unwrap_or(1.0)
    }

    /// True for a function that was never served and has only given errors lately: it may not exist. Guards
    /// against senders of unknown names: such a function gets one call at a time and no load orders.
    pub(crate) fn is_doubtful(&self, slot: usize) -> bool {
        let function = &self.state.functions[slot];
        let failed_lately = || function.failed_at + (MAX_HOLD * function.load_time) as Micros > self.now;
        function.mean_service == 0.0 && function.errors >= MIN_ERRORS && failed_lately()
    }
}
