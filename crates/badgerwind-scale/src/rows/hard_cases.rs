//! Rows of hard cases on the path of a call: functions that are called once, a function that grows a
//! thousandfold in a second, a lost cell, and a front end that has just restarted.

use super::cold_starts::{Demand, FLEET_CALLS_PER_SECOND};
use super::front_end::{Costs, HollowFrontEnd, Surroundings, CALLS_PER_SECOND, SECOND, WORKERS_PER_CELL};
use super::router::{CORE_SHARE_BOUND, MEMORY_BOUND};
use super::workers::ForeignCalls;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{Availability, ListKind, Micros, WorkerEntry};

const FUNCTIONS: u64 = 1_000;
const MANY_FUNCTIONS: u64 = 400_000;
const WARM_UP: Micros = 10 * SECOND;
const MEASURED: Micros = 10 * SECOND;
/// The beginning of a growth, while no further copy is loaded.
const FIRST: Micros = 2 * SECOND;
/// The function that grows, among the rarely called ones, and its calls a second once it has grown.
const GROWN: u64 = 900;
const GROWN_RATE: f64 = CALLS_PER_SECOND;
const LOST_CELL: u32 = 0;

const ONCE_TIME: Metric = Metric { name: "functions called once: processor time a second", unit: "us/s" };
const ONCE_HEAP: Metric = Metric { name: "functions called once: heap a call", unit: "B" };
const ONCE_HEAP_SETTLED: Metric =
    Metric { name: "functions called once: heap after eight keep-alives, arithmetic", unit: "B" };
const GROWN_TIME: Metric = Metric { name: "a function grows a thousandfold: time of a call", unit: "us" };
const GROWN_FIRST: Metric =
    Metric { name: "a function grows a thousandfold: processor time in the first two seconds", unit: "us/s" };
const GROWN_REFUSED: Metric =
    Metric { name: "a function grows a thousandfold: calls refused", unit: "of 1,000" };
const GROWN_ORDERS: Metric = Metric { name: "a function grows a thousandfold: load orders", unit: "orders" };
const CELL_TIME: Metric =
    Metric { name: "a cell of 100 is lost: processor time in the next second", unit: "us/s" };
const CELL_COLD: Metric =
    Metric { name: "a cell of 100 is lost: cold calls in the next 10 s", unit: "of 1,000" };
const RESTART_TIME: Metric =
    Metric { name: "front end restarted, 400,000 functions: processor time a second", unit: "us/s" };
const RESTART_COLD: Metric =
    Metric { name: "front end restarted, 400,000 functions: cold calls in the first 10 s", unit: "of 1,000" };

/// All rows of this part.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(HardCases)]
}

struct HardCases;

impl Row for HardCases {
    fn name(&self) -> &'static str {
        "router-hard-cases"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "one Router at 127 calls a second: functions called once each; a function that grows a thousandfold in a \
         second; a lost cell; a restart with an empty memory while the fleet's copies stand"
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
        let core = |metric| Bound { metric, max: CORE_SHARE_BOUND, source: "1% of a core" };
        let memory = Bound { metric: ONCE_HEAP_SETTLED, max: MEMORY_BOUND, source: "128 MB a front end" };
        vec![core(ONCE_TIME), core(GROWN_FIRST), core(CELL_TIME), core(RESTART_TIME), memory]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        let calls = (2 * (WARM_UP + MEASURED) / SECOND) * CALLS_PER_SECOND as u64;
        size.saturating_mul(2_000 + 4 * calls).saturating_add(16 * MANY_FUNCTIONS)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let workers = u32::try_from(size).unwrap_or(u32::MAX);
        let mut all = functions_called_once(workers, seed);
        all.extend(grown_function(workers, seed));
        all.extend(lost_cell(workers, seed));
        all.extend(restarted(workers, seed));
        Ok(all)
    }
}

fn figure(metric: Metric, value: f64) -> Measurement {
    Measurement { metric, value }
}

fn a_second(costs: &Costs) -> f64 {
    costs.per_call(costs.processor_us) * CALLS_PER_SECOND
}

fn cold(costs: &Costs) -> f64 {
    1e3 * costs.per_call(costs.cold_calls as f64)
}

/// Calls are spread evenly over 400,000 functions: hardly one is called twice.
fn functions_called_once(workers: u32, seed: u64) -> Vec<Measurement> {
    let surroundings = Surroundings { zipf_exponent: 0.0, ..Surroundings::new(workers, MANY_FUNCTIONS) };
    let list = HollowFrontEnd::new(surroundings, seed).into_heap_bytes() as f64;
    let mut front_end = HollowFrontEnd::new(surroundings, seed);
    front_end.run(MEASURED);
    let costs = front_end.take_costs();
    let of_call = costs.per_call(front_end.into_heap_bytes() as f64 - list);
    let remembered = 8.0 * surroundings.keep_alive as f64 / SECOND as f64 * CALLS_PER_SECOND;
    let settled = list + of_call * remembered;
    vec![figure(ONCE_TIME, a_second(&costs)), figure(ONCE_HEAP, of_call), figure(ONCE_HEAP_SETTLED, settled)]
}

fn grown_function(workers: u32, seed: u64) -> Vec<Measurement> {
    let mut front_end = HollowFrontEnd::new(Surroundings::new(workers, FUNCTIONS), seed);
    front_end.run(WARM_UP);
    front_end.take_costs();
    front_end.start_burst(GROWN, GROWN_RATE, MEASURED);
    front_end.run(FIRST);
    let first = front_end.take_costs();
    front_end.run(MEASURED - FIRST);
    let rest = front_end.take_costs();
    let calls = (first.calls + rest.calls).max(1) as f64;
    vec![
        figure(GROWN_TIME, (first.processor_us + rest.processor_us) / calls),
        figure(GROWN_FIRST, first.processor_us / (FIRST / SECOND) as f64),
        figure(GROWN_REFUSED, 1e3 * (first.refused + rest.refused) as f64 / calls),
        figure(GROWN_ORDERS, (first.load_orders + rest.load_orders) as f64),
    ]
}

fn lost_cell(workers: u32, seed: u64) -> Vec<Measurement> {
    let surroundings = Surroundings::new(workers, FUNCTIONS);
    let mut front_end = HollowFrontEnd::new(surroundings, seed);
    front_end.run(WARM_UP);
    let cell = surroundings.worker_entries().into_iter().filter(|e| e.worker / WORKERS_PER_CELL == LOST_CELL);
    let gone = cell.map(|e| WorkerEntry { availability: Availability::Removed, ..e }).collect();
    front_end.take_costs();
    front_end.apply_list(ListKind::Changes, gone);
    front_end.run(SECOND);
    let first = front_end.take_costs();
    front_end.run(MEASURED - SECOND);
    let rest = front_end.take_costs();
    let cold_calls = (first.cold_calls + rest.cold_calls) as f64 / (first.calls + rest.calls).max(1) as f64;
    vec![figure(CELL_TIME, a_second(&first)), figure(CELL_COLD, 1e3 * cold_calls)]
}

/// Nothing is known but the list, and the copies that the rest of the fleet uses stand.
fn restarted(workers: u32, seed: u64) -> Vec<Measurement> {
    let most_called = Demand::new(MANY_FUNCTIONS, 1.0, FLEET_CALLS_PER_SECOND).top_function_rate();
    let others = Some(ForeignCalls { top_function_rate: most_called, exponent: 1.0 });
    let surroundings = Surroundings { foreign_calls: others, ..Surroundings::new(workers, MANY_FUNCTIONS) };
    let mut front_end = HollowFrontEnd::new(surroundings, seed);
    front_end.run(MEASURED);
    let costs = front_end.take_costs();
    vec![figure(RESTART_TIME, a_second(&costs)), figure(RESTART_COLD, cold(&costs))]
}
