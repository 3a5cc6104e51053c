//! Row of demanding cases on a call's path: functions that are called once, a function whose rate of calls
//! suddenly increases more than a thousandfold, a lost cell, and a front end after its restart.

use super::bounds::{MAX_HEAP, MAX_PROCESSOR_TIME};
use super::cold_starts::{Demand, FLEET_CALLS_PER_SECOND};
use super::front_end::{Costs, HollowFrontEnd, Workload, CALLS_PER_SECOND, WORKERS_PER_CELL};
use super::network::SECOND;
use super::workers::ForeignCalls;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{Availability, ListKind, Micros, WorkerEntry};

/// Number of functions in the cases of the burst and of the lost cell.
const FUNCTIONS: u64 = 1_000;
/// Number of functions of the planned fleet.
const MANY_FUNCTIONS: u64 = 400_000;
/// Simulated time before the measurement.
const WARM_UP: Micros = 10 * SECOND;
/// Simulated time of the measurement.
const MEASUREMENT_TIME: Micros = 10 * SECOND;
/// Duration of the start of a burst, in which no additional copies are loaded yet.
const BURST_START_DURATION: Micros = 2 * SECOND;
/// Rank of the function that receives the burst. Without the burst, it is called about once in 53 seconds.
const BURST_FUNCTION: u64 = 900;
/// Additional calls per second to this function.
const BURST_RATE: f64 = CALLS_PER_SECOND;
/// The cell that is lost. It has 99 workers, because the numbers of workers start at 1.
const LOST_CELL: u32 = 0;

const ONCE_PROCESSOR_TIME: Metric =
    Metric { name: "functions called once: processor time a second", unit: "us/s" };
const ONCE_HEAP_PER_CALL: Metric = Metric { name: "functions called once: heap a call", unit: "B" };
const ONCE_STEADY_STATE_HEAP: Metric =
    Metric { name: "functions called once: heap after eight keep-alives, arithmetic", unit: "B" };
const BURST_TIME_PER_CALL: Metric =
    Metric { name: "a function grows a thousandfold: time of a call", unit: "us" };
const BURST_START_PROCESSOR_TIME: Metric =
    Metric { name: "a function grows a thousandfold: processor time in the first two seconds", unit: "us/s" };
const BURST_REFUSED_CALLS: Metric =
    Metric { name: "a function grows a thousandfold: calls refused", unit: "of 1,000" };
const BURST_LOAD_ORDERS: Metric =
    Metric { name: "a function grows a thousandfold: load orders", unit: "orders" };
const CELL_LOSS_PROCESSOR_TIME: Metric =
    Metric { name: "a cell of 100 is lost: processor time in the next second", unit: "us/s" };
const CELL_LOSS_COLD_CALLS: Metric =
    Metric { name: "a cell of 100 is lost: cold calls in the next 10 s", unit: "of 1,000" };
const RESTART_PROCESSOR_TIME: Metric =
    Metric { name: "front end restarted, 400,000 functions: processor time a second", unit: "us/s" };
const RESTART_COLD_CALLS: Metric =
    Metric { name: "front end restarted, 400,000 functions: cold calls in the first 10 s", unit: "of 1,000" };

/// All rows of this module.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(HardCases)]
}

/// Costs of demanding cases by the number of listed workers.
struct HardCases;

impl Row for HardCases {
    fn name(&self) -> &'static str {
        "router-hard-cases"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "one Router at 127 calls per second: functions called once each; a function whose rate of calls \
         suddenly increases more than a thousandfold; a lost cell; a restart without state while the fleet's \
         copies stay loaded"
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
        let processor = |metric| Bound { metric, max: MAX_PROCESSOR_TIME, source: "1% of a core" };
        let heap = Bound { metric: ONCE_STEADY_STATE_HEAP, max: MAX_HEAP, source: "128 MB a front end" };
        vec![
            processor(ONCE_PROCESSOR_TIME),
            processor(BURST_START_PROCESSOR_TIME),
            processor(CELL_LOSS_PROCESSOR_TIME),
            processor(RESTART_PROCESSOR_TIME),
            heap,
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        let calls = (2 * (WARM_UP + MEASUREMENT_TIME) / SECOND) * CALLS_PER_SECOND as u64;
        size.saturating_mul(2_000 + 4 * calls).saturating_add(16 * MANY_FUNCTIONS)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let workers = u32::try_from(size).unwrap_or(u32::MAX);
        let mut measurements = measure_functions_called_once(workers, seed);
        measurements.extend(measure_burst(workers, seed));
        measurements.extend(measure_lost_cell(workers, seed));
        measurements.extend(measure_restart(workers, seed));
        Ok(measurements)
    }
}

fn measurement(metric: Metric, value: f64) -> Measurement {
    Measurement { metric, value }
}

/// Processor time at the planned rate of calls, in microseconds per second.
fn time_per_second(costs: &Costs) -> f64 {
    costs.per_call(costs.processor_us) * CALLS_PER_SECOND
}

/// Cold calls out of 1,000.
fn cold_per_thousand(costs: &Costs) -> f64 {
    1e3 * costs.per_call(costs.cold_calls as f64)
}

/// Calls are distributed uniformly over 400,000 functions, so that almost none is called twice.
fn measure_functions_called_once(workers: u32, seed: u64) -> Vec<Measurement> {
    let workload = Workload { zipf_exponent: 0.0, ..Workload::new(workers, MANY_FUNCTIONS) };
    let list_heap = HollowFrontEnd::new(workload, seed).into_heap_bytes() as f64;
    let mut front_end = HollowFrontEnd::new(workload, seed);
    front_end.run(MEASUREMENT_TIME);
    let costs = front_end.take_costs();
    let heap_per_call = costs.per_call(front_end.into_heap_bytes() as f64 - list_heap);
    let remembered_functions = 8.0 * workload.keep_alive as f64 / SECOND as f64 * CALLS_PER_SECOND;
    let steady_state_heap = list_heap + heap_per_call * remembered_functions;
    vec![
        measurement(ONCE_PROCESSOR_TIME, time_per_second(&costs)),
        measurement(ONCE_HEAP_PER_CALL, heap_per_call),
        measurement(ONCE_STEADY_STATE_HEAP, steady_state_heap),
    ]
}

/// The rate of calls to one rarely called function suddenly increases more than a thousandfold.
fn measure_burst(workers: u32, seed: u64) -> Vec<Measurement> {
    let mut front_end = HollowFrontEnd::new(Workload::new(workers, FUNCTIONS), seed);
    front_end.run(WARM_UP);
    front_end.take_costs();
    front_end.start_burst(BURST_FUNCTION, BURST_RATE, MEASUREMENT_TIME);
    front_end.run(BURST_START_DURATION);
    let first = front_end.take_costs();
    front_end.run(MEASUREMENT_TIME - BURST_START_DURATION);
    let rest = front_end.take_costs();
    let calls = (first.calls + rest.calls).max(1) as f64;
    vec![
        measurement(BURST_TIME_PER_CALL, (first.processor_us + rest.processor_us) / calls),
        measurement(BURST_START_PROCESSOR_TIME, first.processor_us / (BURST_START_DURATION / SECOND) as f64),
        measurement(BURST_REFUSED_CALLS, 1e3 * (first.refused + rest.refused) as f64 / calls),
        measurement(BURST_LOAD_ORDERS, (first.load_orders + rest.load_orders) as f64),
    ]
}

/// All workers of a cell are removed in one list event.
fn measure_lost_cell(workers: u32, seed: u64) -> Vec<Measurement> {
    let workload = Workload::new(workers, FUNCTIONS);
    let mut front_end = HollowFrontEnd::new(workload, seed);
    front_end.run(WARM_UP);
    let cell = workload.worker_entries().into_iter().filter(|e| e.worker / WORKERS_PER_CELL == LOST_CELL);
    let removed = cell.map(|e| WorkerEntry { availability: Availability::Removed, ..e }).collect();
    front_end.take_costs();
    front_end.apply_list(ListKind::Changes, removed);
    front_end.run(SECOND);
    let first = front_end.take_costs();
    front_end.run(MEASUREMENT_TIME - SECOND);
    let rest = front_end.take_costs();
    let cold_share = (first.cold_calls + rest.cold_calls) as f64 / (first.calls + rest.calls).max(1) as f64;
    vec![
        measurement(CELL_LOSS_PROCESSOR_TIME, time_per_second(&first)),
        measurement(CELL_LOSS_COLD_CALLS, 1e3 * cold_share),
    ]
}

/// A restarted front end knows only the list, while the calls of other front ends keep copies loaded.
fn measure_restart(workers: u32, seed: u64) -> Vec<Measurement> {
    let top_function_rate = Demand::new(MANY_FUNCTIONS, 1.0, FLEET_CALLS_PER_SECOND).top_function_rate();
    let foreign_calls = Some(ForeignCalls { top_function_rate, exponent: 1.0 });
    let workload = Workload { foreign_calls, ..Workload::new(workers, MANY_FUNCTIONS) };
    let mut front_end = HollowFrontEnd::new(workload, seed);
    front_end.run(MEASUREMENT_TIME);
    let costs = front_end.take_costs();
    vec![
        measurement(RESTART_PROCESSOR_TIME, time_per_second(&costs)),
        measurement(RESTART_COLD_CALLS, cold_per_thousand(&costs)),
    ]
}
