//! Deterministic counts per call at two sizes of the list of workers, and their growth from one to the other.

use super::front_end::{CallPath, HollowFrontEnd, Workload};
use super::network::SECOND;
use badgerwind::interface::Micros;
use thiserror::Error;

/// Simulated time before the measurement.
const WARM_UP: Micros = SECOND;
/// Simulated time of the measurement.
const MEASUREMENT_TIME: Micros = SECOND;

/// Mean counts per call, including periodic maintenance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallCounts {
    /// Number of heap allocations.
    pub allocations: f64,
    /// Allocated heap bytes, whether freed or not, such as temporary lists of candidates.
    pub allocated_bytes: f64,
    /// Number of attempts sent.
    pub sends: f64,
    /// Number of events passed to the decision module.
    pub events: f64,
}

/// A count grew faster than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("{count} grow {factor:.1} times where {max:.1} are allowed")]
pub struct GrowthTooLarge {
    /// Description of the count.
    pub count: &'static str,
    /// Ratio of the count with many workers to the count with few.
    pub factor: f64,
    /// Largest allowed ratio.
    pub max: f64,
}

/// Counts per call of a call path in one simulated second, after a warm-up of one second. Exact only if the
/// program's global allocator is the counting one and no other thread runs.
pub fn call_counts<P: CallPath>(path: P, workload: Workload, seed: u64) -> CallCounts {
    let mut front_end = HollowFrontEnd::with_path(path, workload, seed);
    front_end.run(WARM_UP);
    front_end.take_costs();
    front_end.run(MEASUREMENT_TIME);
    let costs = front_end.take_costs();
    CallCounts {
        allocations: costs.per_call(costs.allocations as f64),
        allocated_bytes: costs.per_call(costs.allocated_bytes as f64),
        sends: costs.per_call(costs.sends as f64),
        events: costs.per_call(costs.events as f64),
    }
}

/// Growth ratios of the allocations and of the allocated bytes from few workers to many; an error if one
/// exceeds `max`.
pub fn check_growth(few: &CallCounts, many: &CallCounts, max: f64) -> Result<(f64, f64), GrowthTooLarge> {
    let allocations = growth(few.allocations, many.allocations);
    let bytes = growth(few.allocated_bytes, many.allocated_bytes);
    for (count, factor) in [("allocations a call", allocations), ("bytes allocated a call", bytes)] {
        if factor > max {
            return Err(GrowthTooLarge { count, factor, max });
        }
    }
    Ok((allocations, bytes))
}

/// Ratio of two counts; counts below 1 are taken as 1.
fn growth(few: f64, many: f64) -> f64 {
    many.max(1.0) / few.max(1.0)
}
