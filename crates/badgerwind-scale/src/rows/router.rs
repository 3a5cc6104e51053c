//! Rows of a front end's path of a call: what the module costs by listed workers and by functions.

use super::cold_starts::{Demand, FLEET_CALLS_PER_SECOND};
use super::front_end::{Costs, HollowFrontEnd, Surroundings, CALLS_PER_SECOND, SECOND};
use super::workers::ForeignCalls;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{Micros, WhenAbsent};

/// Memory that control may take at a front end.
pub const MEMORY_BOUND: f64 = 134_217_728.0;
/// 1% of a core, in microseconds a second.
pub const CORE_SHARE_BOUND: f64 = 10_000.0;
/// Time of a call at 16,000 workers over that at 120, at the most.
const GROWTH_BOUND: f64 = 1.5;
const FEW_WORKERS: u32 = 120;
const FEW_FUNCTIONS: u64 = 1_000;
/// Simulated time before and during the measurement.
const WARM_UP: Micros = 10 * SECOND;
const MEASURED: Micros = 20 * SECOND;
/// With more workers the simulated time is shortened in proportion, so that a measurement ends.
const FULL_TIME_WORKERS: Micros = 16_000;
const SHORTEST: Micros = SECOND / 2;

/// Processor time of the call path for each call, periodic maintenance included.
pub const TIME_OF_CALL: Metric = Metric { name: "time of a call", unit: "us" };
/// The same over a second of calls.
pub const TIME_OF_SECOND: Metric = Metric { name: "processor time a second", unit: "us/s" };
/// Time of a call over that at 120 listed workers, same functions and seed.
pub const GROWTH: Metric = Metric { name: "time of a call over that at 120 workers", unit: "times" };
/// Heap held by the call path at the end.
pub const HEAP: Metric = Metric { name: "heap", unit: "B" };
/// Times that memory is taken from the heap.
pub const ALLOCATIONS: Metric = Metric { name: "allocations a call", unit: "allocations" };
/// Bytes taken from the heap, freed or not.
pub const ALLOCATED: Metric = Metric { name: "bytes allocated a call", unit: "B" };
const SENDS: Metric = Metric { name: "attempts a call", unit: "attempts" };
const ORDERS: Metric = Metric { name: "load orders a call", unit: "orders" };
const MISSED: Metric = Metric { name: "misses a call", unit: "misses" };
const REFUSED: Metric = Metric { name: "calls refused", unit: "of 1,000" };
const ANSWER: Metric = Metric { name: "mean answer", unit: "ms" };
const COLD: Metric = Metric { name: "calls that found no loaded copy", unit: "of 1,000" };
const COLD_LATE: Metric = Metric { name: "cold calls not answered within 1.5 s", unit: "of 1,000" };

/// All rows of this part.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![
        Box::new(ByWorkers { name: "router-workers", when_absent: WhenAbsent::Miss }),
        Box::new(ByWorkers { name: "router-workers-load", when_absent: WhenAbsent::Load }),
        Box::new(ByFunctions {
            name: "router-functions",
            workers: 1_000,
            later: Some(HEAP_MUCH_LATER),
            fleet: false,
        }),
        Box::new(ByFunctions { name: "router-functions-16000", workers: 16_000, later: None, fleet: false }),
        Box::new(ByFunctions { name: "router-functions-fleet", workers: 16_000, later: None, fleet: true }),
    ]
}

/// What a call path costs once it has run for a while.
pub fn settled_costs(surroundings: Surroundings, seed: u64) -> (Costs, u64) {
    let shortened = |span: Micros| {
        let workers = Micros::from(surroundings.workers).max(FULL_TIME_WORKERS);
        (span * FULL_TIME_WORKERS / workers).max(SHORTEST)
    };
    let mut front_end = HollowFrontEnd::new(surroundings, seed);
    front_end.run(shortened(WARM_UP));
    front_end.take_costs();
    front_end.run(shortened(MEASURED));
    (front_end.take_costs(), front_end.into_heap_bytes())
}

fn figures(costs: &Costs, heap: u64) -> Vec<Measurement> {
    let time = costs.per_call(costs.processor_us);
    let figure = |metric, value| Measurement { metric, value };
    let share = |metric, count: u64| Measurement { metric, value: costs.per_call(count as f64) };
    vec![
        figure(TIME_OF_CALL, time),
        figure(TIME_OF_SECOND, time * CALLS_PER_SECOND),
        figure(HEAP, heap as f64),
        share(ALLOCATIONS, costs.allocations),
        share(ALLOCATED, costs.allocated_bytes),
        share(SENDS, costs.sends),
        share(MISSED, costs.misses),
        share(ORDERS, costs.load_orders),
        share(REFUSED, 1_000 * costs.refused),
        figure(ANSWER, costs.total_answer_us as f64 / 1e3 / costs.served.max(1) as f64),
        share(COLD, 1_000 * costs.cold_calls),
        figure(
            COLD_LATE,
            1e3 * (costs.cold_calls - costs.cold_calls_on_time) as f64 / costs.cold_calls.max(1) as f64,
        ),
    ]
}

fn call_path_bounds() -> Vec<Bound> {
    let core = "1% of a core at 127 calls a second, as reference";
    vec![
        Bound { metric: TIME_OF_SECOND, max: CORE_SHARE_BOUND, source: core },
        Bound { metric: HEAP, max: MEMORY_BOUND, source: "128 MB a front end" },
    ]
}

/// The call path by listed workers.
struct ByWorkers {
    name: &'static str,
    when_absent: WhenAbsent,
}

impl ByWorkers {
    fn surroundings(&self, workers: u32) -> Surroundings {
        Surroundings { when_absent: self.when_absent, ..Surroundings::new(workers, FEW_FUNCTIONS) }
    }
}

impl Row for ByWorkers {
    fn name(&self) -> &'static str {
        self.name
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "one Router, 1,000 functions (Zipf 1.0), 127 calls a second, answers after 60 to 140 ms, 20 s after 10 s"
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
        bounds.push(Bound { metric: GROWTH, max: GROWTH_BOUND, source: "issue 43, part 3" });
        bounds
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        // A worker's record, and its place in the order of each function in use.
        size.saturating_mul(2_000 + 4 * FEW_FUNCTIONS)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let (costs, heap) = settled_costs(self.surroundings(workers(size)), seed);
        let (few, _) = settled_costs(self.surroundings(FEW_WORKERS), seed);
        let mut all = figures(&costs, heap);
        let growth = costs.per_call(costs.processor_us) / few.per_call(few.processor_us).max(1e-9);
        all.push(Measurement { metric: GROWTH, value: growth });
        Ok(all)
    }
}

/// The call path by functions.
struct ByFunctions {
    name: &'static str,
    workers: u32,
    /// When the heap is measured once more, in simulated time.
    later: Option<Micros>,
    /// Whether the calls of the whole fleet keep copies loaded.
    fleet: bool,
}

const HEAP_LATER: Metric = Metric { name: "heap after 180 s, three keep-alives", unit: "B" };
const HEAP_SETTLED: Metric = Metric { name: "heap after eight keep-alives, arithmetic", unit: "B" };
const IN_USE: Metric = Metric { name: "functions called within 60 s", unit: "functions" };
const IN_USE_SETTLED: Metric =
    Metric { name: "functions called within eight keep-alives, arithmetic", unit: "functions" };
const HEAP_OF_FUNCTION: Metric = Metric { name: "heap a function in use", unit: "B" };
const HEAP_OF_LIST: Metric = Metric { name: "heap of the list alone", unit: "B" };
const HEAP_AFTER: Micros = 60 * SECOND;
const HEAP_MUCH_LATER: Micros = 180 * SECOND;
/// Keep-alives without a call after which the module forgets a function.
const FORGOTTEN_AFTER: f64 = 8.0;

impl ByFunctions {
    fn settled(&self, functions: u64) -> f64 {
        let keep_alive = Surroundings::new(self.workers, functions).keep_alive as f64 / SECOND as f64;
        Demand::new(functions, 1.0, CALLS_PER_SECOND).mean_functions_called(FORGOTTEN_AFTER * keep_alive)
    }
}

impl Row for ByFunctions {
    fn name(&self) -> &'static str {
        self.name
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        if self.fleet {
            "one Router, functions called by Zipf 1.0, 127 calls a second, keep-alive 60 s, copies kept loaded by \
             1.4 million calls a second elsewhere; costs from 10 to 60 s"
        } else {
            "one Router, functions called by Zipf 1.0, 127 calls a second, keep-alive 60 s, no calls from \
             elsewhere; costs from 10 to 60 s"
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
        let memory = |metric| Bound { metric, max: MEMORY_BOUND, source: "128 MB a front end" };
        bounds.extend([memory(HEAP_LATER), memory(HEAP_SETTLED)]);
        bounds
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        let simulated = self.later.unwrap_or(HEAP_AFTER) / SECOND;
        let in_use = size.min((CALLS_PER_SECOND * simulated as f64) as u64);
        u64::from(self.workers) * (2_000 + 4 * in_use) + 2_000 * in_use + 16 * size.min(MOST_FUNCTIONS)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        if size > MOST_FUNCTIONS {
            let (variable, min, max) = (self.variable(), 1, MOST_FUNCTIONS);
            return Err(ScaleError::SizeOutOfRange { size, variable, min, max });
        }
        let others = self.fleet.then(|| {
            let most_called = Demand::new(size, 1.0, FLEET_CALLS_PER_SECOND).top_function_rate();
            ForeignCalls { top_function_rate: most_called, exponent: 1.0 }
        });
        let surroundings = Surroundings { foreign_calls: others, ..Surroundings::new(self.workers, size) };
        let list = HollowFrontEnd::new(surroundings, seed).into_heap_bytes() as f64;
        let mut front_end = HollowFrontEnd::new(surroundings, seed);
        front_end.run(WARM_UP);
        front_end.take_costs();
        front_end.run(HEAP_AFTER - WARM_UP);
        let in_use = front_end.called_functions() as f64;
        let costs = front_end.take_costs();
        let heap = front_end.into_heap_bytes();
        let of_function = (heap as f64 - list) / in_use.max(1.0);
        let settled = self.settled(size);
        let mut all = figures(&costs, heap);
        let mut add = |metric, value| all.push(Measurement { metric, value });
        add(IN_USE, in_use);
        add(HEAP_OF_LIST, list);
        add(HEAP_OF_FUNCTION, of_function);
        add(IN_USE_SETTLED, settled);
        add(HEAP_SETTLED, list + of_function * settled);
        if let Some(span) = self.later {
            let mut later = HollowFrontEnd::new(surroundings, seed);
            later.run(span);
            add(HEAP_LATER, later.into_heap_bytes() as f64);
        }
        Ok(all)
    }
}

/// More functions are not measured: their shares alone would take memory.
const MOST_FUNCTIONS: u64 = 100_000_000;

/// Sizes past what worker ids can name are cut; `estimated_heap_bytes` refuses them long before.
fn workers(size: u64) -> u32 {
    u32::try_from(size).unwrap_or(u32::MAX)
}
