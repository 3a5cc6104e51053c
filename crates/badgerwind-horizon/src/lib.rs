//! Search for the loads and drops of least cost over a short horizon, of which the first step is carried out.
//! After "Taming Cold Starts", the paper named in badgerwind-forecast; see docs/design/module.md. No I/O.
#![forbid(unsafe_code)]

mod horizon;
pub use horizon::Horizon;

const MAX_LOADS: u32 = 3; // Most loads planned for a function in a step.
const IDLE_COST: f64 = 0.0005; // γ: cost of an unused lane for a step, in requests' worth.
const COPIES_CHANGE_COST: f64 = 0.002; // ρ1: weight of a squared change of the copies, in requests' worth.
const LOADS_CHANGE_COST: f64 = 0.01; // ρ2: weight of a squared change of the loads, in requests' worth.

/// E[max(N - lanes, 0)] for N ~ Poisson(mean): arrivals that find no lane, even if the mean would fit.
fn shortage(mean: f64, lanes: f64) -> f64 {
    let (mut p, mut short) = ((-mean.min(600.0)).exp(), mean - lanes);
    for n in 0..(lanes.max(0.0).ceil() as u32).min(1000) {
        let before = short;
        short += p * (lanes - f64::from(n)).max(0.0);
        // Past the mean the terms only decrease: once one is below the precision, so are all others.
        if f64::from(n) > mean && short == before {
            break;
        }
        p *= mean / f64::from(n + 1);
    }
    short.max(0.0)
}

/// The cost of a plan with `loads` in each step and `drops` in the first one.
pub fn cost(horizon: &Horizon, loads: &[u32], drops: u32) -> f64 {
    let Horizon { delay, service, cold_penalty, wait_penalty, last_loads: mut last, .. } = *horizon;
    let (mut warm, mut queue) = (horizon.warm - f64::from(drops), horizon.queue);
    let mut sum = -horizon.drop_reward * f64::from(drops) + COPIES_CHANGE_COST * f64::from(drops).powi(2);
    for k in 0..horizon.arrivals.len() {
        let ready = if k >= delay { f64::from(loads[k - delay]) } else { 0.0 };
        let step = horizon.change.get(k).copied().unwrap_or(0.0) + ready;
        warm = (warm + step).max(0.0);
        let (free, load) = ((warm * horizon.lanes - horizon.foreign).max(0.0), horizon.arrivals[k] * service);
        let short = shortage(load, free) / service.max(0.1);
        queue = (queue + horizon.arrivals[k] - free / service.max(0.1)).max(0.0);
        // A request that finds no lane waits for a load or for one of the busy lanes, whichever is sooner.
        let penalty =
            if free < 1.0 { cold_penalty } else { cold_penalty.min(wait_penalty * (1.0 + load / free)) };
        sum += penalty * short + wait_penalty * queue + horizon.load_cost * f64::from(loads[k]);
        sum += IDLE_COST * (free - load).max(0.0);
        sum += COPIES_CHANGE_COST * step * step + LOADS_CHANGE_COST * (f64::from(loads[k]) - last).powi(2);
        sum += if warm > horizon.max_copies { 1e3 * (warm - horizon.max_copies) } else { 0.0 };
        last = f64::from(loads[k]);
    }
    sum
}

/// Greedy search: adds the load that saves most until none does, else tries a drop. Returns loads and drops.
pub fn plan(horizon: &Horizon) -> (u32, u32) {
    let steps = horizon.arrivals.len();
    let mut loads = vec![0; steps];
    let mut best = cost(horizon, &loads, 0);
    for _ in 0..2 * MAX_LOADS {
        let mut pick = None;
        for k in 0..steps.saturating_sub(horizon.delay) {
            loads[k] += 1;
            if loads[k] <= MAX_LOADS {
                let cost = cost(horizon, &loads, 0);
                if cost < best - 1e-9 {
                    (best, pick) = (cost, Some(k));
                }
            }
            loads[k] -= 1;
        }
        let Some(k) = pick else { break };
        loads[k] += 1;
    }
    if loads.iter().any(|&n| n > 0) {
        return (loads.first().copied().unwrap_or(0), 0);
    }
    (0, u32::from(horizon.warm >= 1.0 && cost(horizon, &loads, 1) < best - 1e-9))
}
