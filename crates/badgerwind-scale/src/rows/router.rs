//! Rows of a call's path through a front end: costs of the decision module by the number of listed workers
//! and by the number of functions.

use super::bounds::{MAX_HEAP, MAX_PROCESSOR_TIME};
use super::cold_starts::{Demand, FLEET_CALLS_PER_SECOND};
use super::front_end::{Costs, HollowFrontEnd, Workload, CALLS_PER_SECOND};
use super::network::SECOND;
use super::workers::ForeignCalls;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{Micros, WhenAbsent};

/// Maximum ratio of the processor time per call at 16,000 workers to that at 120.
const MAX_TIME_GROWTH: f64 = 1.5;
const REFERENCE_WORKERS: u32 = 120;
const FUNCTIONS: u64 = 1_000;
/// Simulated time before the measurement.
const WARM_UP: Micros = 10 * SECOND;
/// Simulated time of the measurement.
const MEASUREMENT_TIME: Micros = 20 * SECOND;
/// With more workers than this, the simulated times are shortened in inverse proportion to bound the run
/// time.
const FULL_TIME_WORKERS: Micros = 16_000;
/// Lower limit of the shortened times.
const MIN_SIMULATED_TIME: Micros = SECOND / 2;

/// Processor time of the call path per call, including periodic maintenance.
pub const TIME_PER_CALL: Metric = Metric { name: "time of a call", unit: "us" };
/// Processor time per second at the planned rate of calls.
pub const TIME_PER_SECOND: Metric = Metric { name: "processor time a second", unit: "us/s" };
/// Processor time per call divided by that at 120 listed workers, with the same functions and seed.
pub const TIME_GROWTH: Metric = Metric { name: "time of a call over that at 120 workers", unit: "times" };
/// Heap that the call path holds at the end.
pub const HEAP: Metric = Metric { name: "heap", unit: "B" };
/// Number of heap allocations and reallocations per call.
pub const ALLOCATIONS_PER_CALL: Metric = Metric { name: "allocations a call", unit: "allocations" };
/// Number of bytes allocated per call, whether freed again or not.
pub const ALLOCATED_BYTES_PER_CALL: Metric = Metric { name: "bytes allocated a call", unit: "B" };
const ATTEMPTS_PER_CALL: Metric = Metric { name: "attempts a call", unit: "attempts" };
const LOAD_ORDERS_PER_CALL: Metric = Metric { name: "load orders a call", unit: "orders" };
const MISSES_PER_CALL: Metric = Metric { name: "misses a call", unit: "misses" };
const REFUSED_CALLS: Metric = Metric { name: "calls refused", unit: "of 1,000" };
const MEAN_ANSWER_TIME: Metric = Metric { name: "mean answer", unit: "ms" };
const COLD_CALLS: Metric = Metric { name: "calls that found no loaded copy", unit: "of 1,000" };
const LATE_COLD_CALLS: Metric = Metric { name: "cold calls not answered within 1.5 s", unit: "of 1,000" };

/// All rows of this module.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![
        Box::new(WorkersRow { name: "router-workers", when_absent: WhenAbsent::Miss }),
        Box::new(WorkersRow { name: "router-workers-load", when_absent: WhenAbsent::Load }),
        Box::new(FunctionsRow {
            name: "router-functions",
            workers: 1_000,
            late_heap_time: Some(LATE_HEAP_TIME),
            foreign_calls: false,
        }),
        Box::new(FunctionsRow {
            name: "router-functions-16000",
            workers: 16_000,
            late_heap_time: None,
            foreign_calls: false,
        }),
        Box::new(FunctionsRow {
            name: "router-functions-fleet",
            workers: 16_000,
            late_heap_time: None,
            foreign_calls: true,
        }),
    ]
}

/// Costs of the call path after a warm-up, and the heap bytes that it holds at the end.
pub fn steady_state_costs(workload: Workload, seed: u64) -> (Costs, u64) {
    let shortened = |duration: Micros| {
        let workers = Micros::from(workload.workers).max(FULL_TIME_WORKERS);
        (duration * FULL_TIME_WORKERS / workers).max(MIN_SIMULATED_TIME)
    };
    let mut front_end = HollowFrontEnd::new(workload, seed);
    front_end.run(shortened(WARM_UP));
    front_end.take_costs();
    front_end.run(shortened(MEASUREMENT_TIME));
    (front_end.take_costs(), front_end.into_heap_bytes())
}

fn cost_measurements(costs: &Costs, heap_bytes: u64) -> Vec<Measurement> {
    let time_per_call = costs.per_call(costs.processor_us);
    let measurement = |metric, value| Measurement { metric, value };
    let per_call = |metric, count: u64| Measurement { metric, value: costs.per_call(count as f64) };
    vec![
        measurement(TIME_PER_CALL, time_per_call),
        measurement(TIME_PER_SECOND, time_per_call * CALLS_PER_SECOND),
        measurement(HEAP, heap_bytes as f64),
        per_call(ALLOCATIONS_PER_CALL, costs.allocations),
        per_call(ALLOCATED_BYTES_PER_CALL, costs.allocated_bytes),
        per_call(ATTEMPTS_PER_CALL, costs.sends),
        per_call(MISSES_PER_CALL, costs.misses),
        per_call(LOAD_ORDERS_PER_CALL, costs.load_orders),
        per_call(REFUSED_CALLS, 1_000 * costs.refused),
        measurement(MEAN_ANSWER_TIME, costs.total_answer_us as f64 / 1e3 / costs.served.max(1) as f64),
        per_call(COLD_CALLS, 1_000 * costs.cold_calls),
        measurement(
            LATE_COLD_CALLS,
            1e3 * (costs.cold_calls - costs.cold_calls_on_time) as f64 / costs.cold_calls.max(1) as f64,
        ),
    ]
}

fn call_path_bounds() -> Vec<Bound> {
    let processor_source = "1% of a core at 127 calls a second, as reference";
    vec![
        Bound { metric: TIME_PER_SECOND, max: MAX_PROCESSOR_TIME, source: processor_source },
        Bound { metric: HEAP, max: MAX_HEAP, source: "128 MB a front end" },
    ]
}

/// Costs of the call path by the number of listed workers.
struct WorkersRow {
    name: &'static str,
    when_absent: WhenAbsent,
}

impl WorkersRow {
    fn workload(&self, workers: u32) -> Workload {
        Workload { when_absent: self.when_absent, ..Workload::new(workers, FUNCTIONS) }
    }
}

impl Row for WorkersRow {
    fn name(&self) -> &'static str {
        self.name
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "one Router, 1,000 functions (Zipf 1.0), 127 calls per second, 90% of the answers after 60 to 140 \
         ms; measured for 20 s after a warm-up of 10 s"
    }

    fn variable(&self) -> &'static str {
        "listed workers"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[120, 1_000, 4_000, 16_000]
    }

    fn planned_size(&self) -> u64 {
        16_000
    }

    fn bounds(&self) -> Vec<Bound> {
        let mut bounds = call_path_bounds();
        bounds.push(Bound { metric: TIME_GROWTH, max: MAX_TIME_GROWTH, source: "issue 43, part 3" });
        bounds
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        // The record of each worker and its position in the order of workers of each function in use.
        size.saturating_mul(2_000 + 4 * FUNCTIONS)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let (costs, heap_bytes) = steady_state_costs(self.workload(worker_count(size)), seed);
        let (reference, _) = steady_state_costs(self.workload(REFERENCE_WORKERS), seed);
        let mut measurements = cost_measurements(&costs, heap_bytes);
        let growth =
            costs.per_call(costs.processor_us) / reference.per_call(reference.processor_us).max(1e-9);
        measurements.push(Measurement { metric: TIME_GROWTH, value: growth });
        Ok(measurements)
    }
}

/// Costs of the call path by the number of functions.
struct FunctionsRow {
    name: &'static str,
    workers: u32,
    /// Simulated time of an additional measurement of the heap, if any.
    late_heap_time: Option<Micros>,
    /// Whether calls of the rest of the fleet keep copies loaded.
    foreign_calls: bool,
}

const HEAP_AFTER_180_S: Metric = Metric { name: "heap after 180 s, three keep-alives", unit: "B" };
const STEADY_STATE_HEAP: Metric = Metric { name: "heap after eight keep-alives, arithmetic", unit: "B" };
const FUNCTIONS_IN_USE: Metric = Metric { name: "functions called within 60 s", unit: "functions" };
const STEADY_STATE_FUNCTIONS: Metric =
    Metric { name: "functions called within eight keep-alives, arithmetic", unit: "functions" };
const HEAP_PER_FUNCTION: Metric = Metric { name: "heap a function in use", unit: "B" };
const LIST_HEAP: Metric = Metric { name: "heap of the list alone", unit: "B" };
/// Simulated time at which the heap is measured.
const HEAP_TIME: Micros = 60 * SECOND;
/// Simulated time of the additional measurement of the heap.
const LATE_HEAP_TIME: Micros = 180 * SECOND;
/// Number of keep-alives without a call after which the decision module forgets a function.
const FUNCTION_EXPIRY_KEEP_ALIVES: f64 = 8.0;

impl FunctionsRow {
    /// Mean number of functions that the decision module remembers in the steady state.
    fn steady_state_functions(&self, functions: u64) -> f64 {
        let keep_alive = Workload::new(self.workers, functions).keep_alive as f64 / SECOND as f64;
        Demand::new(functions, 1.0, CALLS_PER_SECOND)
            .mean_functions_called(FUNCTION_EXPIRY_KEEP_ALIVES * keep_alive)
    }
}

impl Row for FunctionsRow {
    fn name(&self) -> &'static str {
        self.name
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        if self.foreign_calls {
            "one Router, calls distributed over the functions by Zipf 1.0, 127 calls per second, \
             keep-alive 60 s, copies kept loaded by 1.4 million calls per second of other front ends; \
             costs from 10 to 60 s"
        } else {
            "one Router, calls distributed over the functions by Zipf 1.0, 127 calls per second, \
             keep-alive 60 s, no calls of other front ends; costs from 10 to 60 s"
        }
    }

    fn variable(&self) -> &'static str {
        "functions"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[1_000, 10_000, 100_000, 400_000]
    }

    fn planned_size(&self) -> u64 {
        400_000
    }

    fn bounds(&self) -> Vec<Bound> {
        let mut bounds = call_path_bounds();
        let heap = |metric| Bound { metric, max: MAX_HEAP, source: "128 MB a front end" };
        bounds.extend([heap(HEAP_AFTER_180_S), heap(STEADY_STATE_HEAP)]);
        bounds
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        let simulated_seconds = self.late_heap_time.unwrap_or(HEAP_TIME) / SECOND;
        let functions_in_use = size.min((CALLS_PER_SECOND * simulated_seconds as f64) as u64);
        u64::from(self.workers) * (2_000 + 4 * functions_in_use)
            + 2_000 * functions_in_use
            + 16 * size.min(MAX_FUNCTIONS)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        if size > MAX_FUNCTIONS {
            let (variable, min, max) = (self.variable(), 1, MAX_FUNCTIONS);
            return Err(ScaleError::SizeOutOfRange { size, variable, min, max });
        }
        let foreign_calls = self.foreign_calls.then(|| {
            let top_function_rate = Demand::new(size, 1.0, FLEET_CALLS_PER_SECOND).top_function_rate();
            ForeignCalls { top_function_rate, exponent: 1.0 }
        });
        let workload = Workload { foreign_calls, ..Workload::new(self.workers, size) };
        let list_heap = HollowFrontEnd::new(workload, seed).into_heap_bytes() as f64;
        let mut front_end = HollowFrontEnd::new(workload, seed);
        front_end.run(WARM_UP);
        front_end.take_costs();
        front_end.run(HEAP_TIME - WARM_UP);
        let functions_in_use = front_end.called_functions() as f64;
        let costs = front_end.take_costs();
        let heap_bytes = front_end.into_heap_bytes();
        let heap_per_function = (heap_bytes as f64 - list_heap) / functions_in_use.max(1.0);
        let steady_state_functions = self.steady_state_functions(size);
        let mut measurements = cost_measurements(&costs, heap_bytes);
        let mut add = |metric, value| measurements.push(Measurement { metric, value });
        add(FUNCTIONS_IN_USE, functions_in_use);
        add(LIST_HEAP, list_heap);
        add(HEAP_PER_FUNCTION, heap_per_function);
        add(STEADY_STATE_FUNCTIONS, steady_state_functions);
        add(STEADY_STATE_HEAP, list_heap + heap_per_function * steady_state_functions);
        if let Some(duration) = self.late_heap_time {
            let mut front_end = HollowFrontEnd::new(workload, seed);
            front_end.run(duration);
            add(HEAP_AFTER_180_S, front_end.into_heap_bytes() as f64);
        }
        Ok(measurements)
    }
}

/// Maximum number of functions that is measured; the rates of more functions would take too much memory.
const MAX_FUNCTIONS: u64 = 100_000_000;

/// Limits a size to the number of worker ids. Such sizes already fail the check of `estimated_heap_bytes`.
fn worker_count(size: u64) -> u32 {
    u32::try_from(size).unwrap_or(u32::MAX)
}
