//! Horizon search: loads x and drops r of least cost; the first step acts. After the same paper as the
//! forecast; docs/design/module.md. No I/O, no clock.
#![forbid(unsafe_code)]

mod outlook;
pub use outlook::Horizon;

const STEP_CAP: u32 = 3; // Most loads planned a step for a function (x).
const IDLE_COST: f64 = 0.0005; // γ: an unused lane for a step, in requests' worth.
const SMOOTH_W: f64 = 0.002; // ρ1, in requests' worth.
const SMOOTH_X: f64 = 0.01; // ρ2, in requests' worth.

/// E[(N - lanes)+] for N ~ Poisson(mean): arrivals that find no lane even when the mean would fit.
fn shortage(mean: f64, lanes: f64) -> f64 {
    let (mut p, mut short) = ((-mean.min(600.0)).exp(), mean - lanes);
    for n in 0..(lanes.max(0.0).ceil() as u32).min(1000) {
        short += p * (lanes - f64::from(n)).max(0.0);
        p *= mean / f64::from(n + 1);
    }
    short.max(0.0)
}

/// The cost of a plan of loads `x` and of `r` drops in the first step.
pub fn cost(h: &Horizon, x: &[u32], r: u32) -> f64 {
    let (mut w, mut q, mut last_x) = (h.warm - f64::from(r), h.queue, h.last_loads);
    let mut sum = -h.drop_reward * f64::from(r) + SMOOTH_W * f64::from(r).powi(2);
    for k in 0..h.arrivals.len() {
        let ready = if k >= h.delay { f64::from(x[k - h.delay]) } else { 0.0 };
        let step = h.change.get(k).copied().unwrap_or(0.0) + ready;
        w = (w + step).max(0.0);
        let (free, load) = ((w * h.lanes - h.foreign).max(0.0), h.arrivals[k] * h.service);
        let short = shortage(load, free) / h.service.max(0.1);
        q = (q + h.arrivals[k] - free / h.service.max(0.1)).max(0.0);
        // Beside lanes at work, one that finds none waits for the sooner of a load and a lane.
        let pain = if free < 1.0 { h.cold_pain } else { h.cold_pain.min(h.wait_pain * (1.0 + load / free)) };
        sum += pain * short + h.wait_pain * q + h.load_cost * f64::from(x[k]);
        sum += IDLE_COST * (free - load).max(0.0);
        sum += SMOOTH_W * step * step + SMOOTH_X * (f64::from(x[k]) - last_x).powi(2);
        sum += if w > h.most { 1e3 * (w - h.most) } else { 0.0 };
        last_x = f64::from(x[k]);
    }
    sum
}

/// Greedy search: adds the load that saves most until none saves, else tries drops. (Loads, drops) now.
pub fn plan(h: &Horizon) -> (u32, u32) {
    let steps = h.arrivals.len();
    let mut x = vec![0; steps];
    let mut best = cost(h, &x, 0);
    for _ in 0..2 * STEP_CAP {
        let mut pick = None;
        for k in 0..steps.saturating_sub(h.delay) {
            x[k] += 1;
            if x[k] <= STEP_CAP {
                let c = cost(h, &x, 0);
                if c < best - 1e-9 {
                    (best, pick) = (c, Some(k));
                }
            }
            x[k] -= 1;
        }
        let Some(k) = pick else { break };
        x[k] += 1;
    }
    if x.iter().any(|&n| n > 0) {
        return (x.first().copied().unwrap_or(0), 0);
    }
    (0, u32::from(h.warm >= 1.0 && cost(h, &x, 1) < best - 1e-9))
}
