//! What a plan is made from.

/// A function's outlook over the horizon, in steps; Greek letters are the paper's.
#[derive(Clone, Debug, Default)]
pub struct Horizon {
    /// λ: expected own arrivals in each step.
    pub arrivals: Vec<f64>,
    /// q: requests held now.
    pub queue: f64,
    /// w: warm copies now.
    pub warm: f64,
    /// Copies that become ready, in each step, from orders in hand.
    pub change: Vec<f64>,
    /// Lanes taken by other front ends' requests.
    pub foreign: f64,
    /// Lanes of a copy.
    pub lanes: f64,
    /// L_warm in steps.
    pub service: f64,
    /// D: steps from an order to a warm copy.
    pub delay: usize,
    /// α(L_cold + L_warm): worth lost by a request that meets no warm lane.
    pub cold_pain: f64,
    /// βL_warm: worth lost by a request that queues for a step.
    pub wait_pain: f64,
    /// δ: cost of a load.
    pub load_cost: f64,
    /// η: reward of a drop.
    pub drop_reward: f64,
    /// wmax: most copies.
    pub most: f64,
    /// x of the step before.
    pub last_loads: f64,
}
