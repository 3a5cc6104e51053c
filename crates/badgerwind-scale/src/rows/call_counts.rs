//! Counts of a call that need no clock, at two sizes of the list, and how they grow from one to the other.

use super::front_end::{CallPath, HollowFrontEnd, Surroundings, SECOND};
use badgerwind::interface::Micros;
use thiserror::Error;

const WARM_UP: Micros = SECOND;
const MEASURED: Micros = SECOND;

/// Counts of a call, periodic maintenance included.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallCounts {
    /// Times that memory was taken from the heap.
    pub allocations: f64,
    /// Bytes taken from the heap, freed or not: what is gathered on the way, such as candidates.
    pub allocated_bytes: f64,
    /// Attempts sent.
    pub sends: f64,
    /// Events handed over.
    pub events: f64,
}

/// A count grew faster than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("{count} grow {factor:.1} times where {max:.1} are allowed")]
pub struct GrowthTooLarge {
    /// What grew.
    pub count: &'static str,
    /// Its value at many workers over that at few.
    pub factor: f64,
    /// What is allowed.
    pub max: f64,
}

/// Counts of a call path over two simulated seconds, the first of which does not count. Exact where the counting allocator
/// is the program's and no other thread runs.
pub fn call_counts<P: CallPath>(path: P, surroundings: Surroundings, seed: u64) -> CallCounts {
    let mut front_end = HollowFrontEnd::with_path(path, surroundings, seed);
    front_end.run(WARM_UP);
    front_end.take_costs();
    front_end.run(MEASURED);
    let costs = front_end.take_costs();
    CallCounts {
        allocations: costs.per_call(costs.allocations as f64),
        allocated_bytes: costs.per_call(costs.allocated_bytes as f64),
        sends: costs.per_call(costs.sends as f64),
        events: costs.per_call(costs.events as f64),
    }
}

/// Growth of allocations and of allocated bytes from few workers to many; an error where one is over `max`.
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

/// One figure over another; a figure below one counts as one.
fn growth(few: f64, many: f64) -> f64 {
    many.max(1.0) / few.max(1.0)
}
