//! The input of a plan.

/// The state and the forecast of a function over the horizon. Times are in steps. The symbols are those of
/// the paper, see badgerwind-forecast.
#[derive(Clone, Debug, Default)]
pub struct Horizon {
    /// λ: expected own arrivals in each step.
    pub arrivals: Vec<f64>,
    /// q: requests held now.
    pub queue: f64,
    /// w: warm copies now.
    pub warm: f64,
    /// Copies that become ready in each step by pending orders.
    pub change: Vec<f64>,
    /// Lanes in use by other front ends' requests.
    pub foreign: f64,
    /// Lanes of a copy.
    pub lanes: f64,
    /// L_warm: the service time.
    pub service: f64,
    /// D: steps from an order to a warm copy.
    pub delay: usize,
    /// α(L_cold + L_warm): worth lost by a request that finds no warm lane.
    pub cold_penalty: f64,
    /// βL_warm: worth lost by a request that is queued for a step.
    pub wait_penalty: f64,
    /// δ: cost of a load.
    pub load_cost: f64,
    /// η: reward of a drop.
    pub drop_reward: f64,
    /// wmax: limit on the copies of the function.
    pub max_copies: f64,
    /// x of the previous step: loads ordered then.
    pub last_loads: f64,
}
