//! Rows of cold starts in the whole fleet: the share of calls that find no loaded copy at their worker,
//! computed for Poisson arrivals with a Zipf distribution over functions and verified by simulation, and
//! the duration of a cold start where loads queue.
//!
//! A copy stays loaded for a keep-alive after its last use. A call is cold if no earlier call of the same
//! function was placed by the same rule within that time. If each front end places calls independently,
//! only its own calls count, 1 in 11,000 of all; with a hash that all front ends share, all calls count. If
//! more copies would be loaded than the fleet has room for, the least recently used ones are unloaded
//! first; idle copies then stay loaded for the characteristic time of Che's approximation for LRU caches.

use super::front_end::PLANNED_FRONT_ENDS;
use super::network::SECOND;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::collections::{BinaryHeap, HashMap};

/// Number of functions in the fleet.
pub const FLEET_FUNCTIONS: u64 = 400_000;
/// Calls per second in the whole fleet.
pub const FLEET_CALLS_PER_SECOND: f64 = 1_400_000.0;
/// Maximum number of copies that can be loaded in the fleet.
pub const FLEET_COPY_CAPACITY: f64 = 1_500_000.0;
/// Number of calls that a copy serves at once.
const LANES: f64 = 2.0;
/// Service time of a call, in seconds.
const SERVICE_TIME: f64 = 0.1;
/// Number of bisection steps for the characteristic time.
const RETENTION_BISECTIONS: u32 = 60;
/// Number of bisection steps for the Zipf exponent.
const EXPONENT_BISECTIONS: u32 = 16;
/// Calls per second below which a function counts as rarely called: one call per minute.
const RARE_RATE: f64 = 1.0 / 60.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// All rows of this module.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(ColdStarts), Box::new(ColdStartsSimulated), Box::new(ColdStartTime)]
}

/// How the workers of a function's calls are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Each front end selects them independently, based on its own calls.
    Independent,
    /// All front ends use the same hash, so that all calls of a function go to the same workers.
    SharedHash,
}

impl Placement {
    /// Number of independent parts into which the calls are divided.
    fn partitions(self) -> f64 {
        match self {
            Placement::Independent => f64::from(PLANNED_FRONT_ENDS),
            Placement::SharedHash => 1.0,
        }
    }
}

/// Rates of calls by function.
#[derive(Debug)]
pub struct Demand {
    /// Calls per second of each function, in descending order.
    rates: Vec<f64>,
}

impl Demand {
    /// Distributes a total rate of calls over functions by Zipf's law.
    pub fn new(functions: u64, exponent: f64, calls_per_second: f64) -> Self {
        let weights: Vec<f64> = (1..=functions).map(|rank| (rank as f64).powf(-exponent)).collect();
        let total: f64 = weights.iter().sum();
        Demand { rates: weights.into_iter().map(|weight| weight / total * calls_per_second).collect() }
    }

    /// Share of calls that are cold if a copy stays loaded for `retention` seconds after its last use.
    pub fn cold_share(&self, placement: Placement, retention: f64) -> f64 {
        let cold = |rate: &f64| rate * (-rate / placement.partitions() * retention).exp();
        self.rates.iter().map(cold).sum::<f64>() / self.rates.iter().sum::<f64>()
    }

    /// Mean number of loaded copies. For each function and partition, this is the larger of the probability
    /// that a copy is in use or retained and the number of copies that concurrent calls need.
    pub fn mean_copies(&self, placement: Placement, retention: f64) -> f64 {
        let partitions = placement.partitions();
        let loaded = |rate: &f64| {
            let partition_rate = rate / partitions;
            let retained = 1.0 - (-partition_rate * (retention + SERVICE_TIME)).exp();
            partitions * retained.max(partition_rate * SERVICE_TIME / LANES)
        };
        self.rates.iter().map(loaded).sum()
    }

    /// Time for which an idle copy stays loaded, in seconds: the keep-alive, or less if the fleet has room
    /// for only `capacity` copies.
    pub fn retention(&self, placement: Placement, keep_alive: f64, capacity: f64) -> f64 {
        if self.mean_copies(placement, keep_alive) <= capacity {
            return keep_alive;
        }
        let (mut low, mut high) = (0.0, keep_alive);
        for _ in 0..RETENTION_BISECTIONS {
            let middle = (low + high) / 2.0;
            if self.mean_copies(placement, middle) <= capacity {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Calls per second of the most frequently called function.
    pub fn top_function_rate(&self) -> f64 {
        self.rates.first().copied().unwrap_or(0.0)
    }

    /// Mean number of functions that are called at least once in the given number of seconds.
    pub fn mean_functions_called(&self, seconds: f64) -> f64 {
        self.rates.iter().map(|rate| 1.0 - (-rate * seconds).exp()).sum()
    }

    /// Share of functions that are called less than once per minute, and share of calls to them.
    pub fn rare_shares(&self) -> (f64, f64) {
        let rare = self.rates.iter().filter(|rate| **rate < RARE_RATE);
        let (functions, calls) =
            rare.fold((0.0, 0.0), |(functions, calls), rate| (functions + 1.0, calls + rate));
        (functions / self.rates.len().max(1) as f64, calls / self.rates.iter().sum::<f64>())
    }
}

macro_rules! exponent_metrics {
    ($exponent:literal) => {
        [
            Metric { name: concat!("cold, Zipf ", $exponent, ", alone, no memory limit"), unit: "of 1,000" },
            Metric { name: concat!("cold, Zipf ", $exponent, ", alone"), unit: "of 1,000" },
            Metric { name: concat!("cold, Zipf ", $exponent, ", shared hash"), unit: "of 1,000" },
            Metric { name: concat!("copies wanted, Zipf ", $exponent, ", alone"), unit: "copies" },
            Metric { name: concat!("copies wanted, Zipf ", $exponent, ", shared hash"), unit: "copies" },
            Metric { name: concat!("idle copies stay, Zipf ", $exponent, ", alone"), unit: "s" },
            Metric { name: concat!("loads, Zipf ", $exponent, ", alone"), unit: "loads/s" },
            Metric { name: concat!("loads, Zipf ", $exponent, ", shared hash"), unit: "loads/s" },
            Metric { name: concat!("functions under a call a minute, Zipf ", $exponent), unit: "of 1,000" },
            Metric { name: concat!("calls to those, Zipf ", $exponent), unit: "of 1,000" },
        ]
    };
}

/// Zipf exponents and their metrics. From about 1.4 on, most functions are called less than once per
/// minute, as the planned fleet assumes.
const EXPONENT_METRICS: [(f64, [Metric; 10]); 5] = [
    (0.8, exponent_metrics!("0.8")),
    (1.0, exponent_metrics!("1.0")),
    (1.2, exponent_metrics!("1.2")),
    (1.4, exponent_metrics!("1.4")),
    (1.6, exponent_metrics!("1.6")),
];
const MIN_RARE_EXPONENT: Metric =
    Metric { name: "Zipf exponent from which most functions are called less than once a minute", unit: "" };
const DAYS_BETWEEN_CALLS: Metric =
    Metric { name: "days between calls at one front end of a function called once a minute", unit: "days" };

/// Mean number of days between two calls that one front end receives for a function, from the fleet's calls
/// per second of that function.
pub fn days_between_calls(rate: f64) -> f64 {
    f64::from(PLANNED_FRONT_ENDS) / rate / SECONDS_PER_DAY
}

/// Smallest Zipf exponent at which half of the fleet's functions are called less than once per minute.
pub fn min_mostly_rare_exponent() -> f64 {
    let (mut low, mut high) = (0.0, 4.0);
    for _ in 0..EXPONENT_BISECTIONS {
        let middle = (low + high) / 2.0;
        if Demand::new(FLEET_FUNCTIONS, middle, FLEET_CALLS_PER_SECOND).rare_shares().0 < 0.5 {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Share of cold calls by keep-alive, for all exponents and both placements.
struct ColdStarts;

impl Row for ColdStarts {
    fn name(&self) -> &'static str {
        "cold-starts"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "arithmetic: share of calls that find no loaded copy at their worker; 400,000 functions, 1.4 \
         million calls per second, 11,000 front ends, room for 1.5 million copies"
    }

    fn variable(&self) -> &'static str {
        "seconds of keep-alive"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[30, 60, 300, 600]
    }

    fn planned_size(&self) -> u64 {
        60
    }

    fn bounds(&self) -> Vec<Bound> {
        let copies = |metric| Bound { metric, max: FLEET_COPY_CAPACITY, source: "1.5 million instances" };
        EXPONENT_METRICS.iter().flat_map(|(_, metrics)| [copies(metrics[3]), copies(metrics[4])]).collect()
    }

    fn estimated_heap_bytes(&self, _size: u64) -> u64 {
        FLEET_FUNCTIONS * 16
    }

    fn measure(&self, size: u64, _seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let keep_alive = size as f64;
        let mut measurements = Vec::new();
        for (exponent, metrics) in EXPONENT_METRICS {
            let values = cold_start_values(exponent, keep_alive);
            measurements
                .extend(metrics.into_iter().zip(values).map(|(metric, value)| Measurement { metric, value }));
        }
        measurements.push(Measurement { metric: MIN_RARE_EXPONENT, value: min_mostly_rare_exponent() });
        measurements.push(Measurement { metric: DAYS_BETWEEN_CALLS, value: days_between_calls(RARE_RATE) });
        Ok(measurements)
    }
}

/// Values of the metrics of an exponent, in the order of [`EXPONENT_METRICS`].
fn cold_start_values(exponent: f64, keep_alive: f64) -> [f64; 10] {
    use Placement::{Independent, SharedHash};
    let demand = Demand::new(FLEET_FUNCTIONS, exponent, FLEET_CALLS_PER_SECOND);
    let independent_retention = demand.retention(Independent, keep_alive, FLEET_COPY_CAPACITY);
    let shared_retention = demand.retention(SharedHash, keep_alive, FLEET_COPY_CAPACITY);
    let independent = demand.cold_share(Independent, independent_retention);
    let shared = demand.cold_share(SharedHash, shared_retention);
    let (rare_functions, rare_calls) = demand.rare_shares();
    [
        1e3 * demand.cold_share(Independent, keep_alive),
        1e3 * independent,
        1e3 * shared,
        demand.mean_copies(Independent, keep_alive),
        demand.mean_copies(SharedHash, keep_alive),
        independent_retention,
        independent * FLEET_CALLS_PER_SECOND,
        shared * FLEET_CALLS_PER_SECOND,
        1e3 * rare_functions,
        1e3 * rare_calls,
    ]
}

/// Share of cold calls in a simulated stream of calls, from the time of the last call of each function.
/// Service times are ignored. Calls are counted for one keep-alive, after a warm-up of one keep-alive.
pub fn simulated_cold_share(
    functions: u64,
    exponent: f64,
    calls_per_second: f64,
    keep_alive: f64,
    seed: u64,
) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let Ok(interval) = Exp::new(calls_per_second) else { return 0.0 };
    let Ok(function_ranks) = Zipf::new(functions as f64, exponent) else { return 0.0 };
    let mut last_use: HashMap<u64, f64> = HashMap::new();
    let (mut now, mut counted, mut cold) = (0.0, 0u64, 0u64);
    while now < 2.0 * keep_alive {
        now += interval.sample(&mut rng);
        let previous = last_use.insert(function_ranks.sample(&mut rng) as u64, now);
        if now >= keep_alive {
            counted += 1;
            cold += u64::from(previous.is_none_or(|used| used + keep_alive < now));
        }
    }
    cold as f64 / counted.max(1) as f64
}

macro_rules! stream_metrics {
    ($exponent:literal) => {
        [
            Metric {
                name: concat!("one front end alone, Zipf ", $exponent, ", arithmetic"),
                unit: "of 1,000",
            },
            Metric {
                name: concat!("one front end alone, Zipf ", $exponent, ", simulated"),
                unit: "of 1,000",
            },
            Metric {
                name: concat!("all calls of the fleet, Zipf ", $exponent, ", arithmetic"),
                unit: "of 1,000",
            },
            Metric {
                name: concat!("all calls of the fleet, Zipf ", $exponent, ", simulated"),
                unit: "of 1,000",
            },
        ]
    };
}

/// Zipf exponents of the simulated streams and their metrics.
const STREAM_METRICS: [(f64, [Metric; 4]); 2] =
    [(1.0, stream_metrics!("1.0")), (1.4, stream_metrics!("1.4"))];
/// Maximum number of calls in a simulated stream. For longer keep-alives, only the computed share is given.
const MAX_SIMULATED_CALLS: f64 = 200e6;

/// Share of cold calls by keep-alive, computed and simulated.
struct ColdStartsSimulated;

impl Row for ColdStartsSimulated {
    fn name(&self) -> &'static str {
        "cold-starts-simulated"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "simulated streams of calls (Poisson, Zipf, 400,000 functions) over two keep-alives, compared \
         with the arithmetic; the stream of the whole fleet, 1.4 million calls per second, only up to 200 \
         million calls"
    }

    fn variable(&self) -> &'static str {
        "seconds of keep-alive"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[10, 30, 60]
    }

    fn planned_size(&self) -> u64 {
        60
    }

    fn bounds(&self) -> Vec<Bound> {
        Vec::new()
    }

    fn estimated_heap_bytes(&self, _size: u64) -> u64 {
        FLEET_FUNCTIONS * 64
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let keep_alive = size as f64;
        let front_end_rate = FLEET_CALLS_PER_SECOND / f64::from(PLANNED_FRONT_ENDS);
        let mut measurements = Vec::new();
        let mut add = |metric, share: f64| measurements.push(Measurement { metric, value: 1e3 * share });
        for (exponent, [independent, independent_simulated, shared, shared_simulated]) in STREAM_METRICS {
            let demand = Demand::new(FLEET_FUNCTIONS, exponent, FLEET_CALLS_PER_SECOND);
            add(independent, demand.cold_share(Placement::Independent, keep_alive));
            add(shared, demand.cold_share(Placement::SharedHash, keep_alive));
            for (metric, rate) in
                [(independent_simulated, front_end_rate), (shared_simulated, FLEET_CALLS_PER_SECOND)]
            {
                if 2.0 * keep_alive * rate <= MAX_SIMULATED_CALLS {
                    add(metric, simulated_cold_share(FLEET_FUNCTIONS, exponent, rate, keep_alive, seed));
                }
            }
        }
        Ok(measurements)
    }
}

/// Number of loads that a worker executes at once.
const LOAD_SLOTS: usize = 3;
/// Time within which a cold start should be complete, in seconds.
const COLD_START_TARGET: f64 = 1.5;
/// Maximum utilization of the load slots in percent; at 100% the queue grows without limit.
const MAX_UTILIZATION_PERCENT: u64 = 99;
/// Number of simulated loads at each size, including the first tenth, which is not counted.
const SIMULATED_LOADS: usize = 200_000;
const UNIFORM_P99: Metric = Metric { name: "cold start, load of 0.6 to 1.2 s: 99th percentile", unit: "ms" };
const UNIFORM_LATE: Metric =
    Metric { name: "cold starts over 1.5 s, load of 0.6 to 1.2 s", unit: "of 1,000" };
const LOG_NORMAL_P99: Metric =
    Metric { name: "cold start, load log-normal of median 0.8 s, sigma 0.25: 99th percentile", unit: "ms" };
const LOG_NORMAL_LATE: Metric = Metric { name: "cold starts over 1.5 s, log-normal load", unit: "of 1,000" };

/// Distribution of load times.
#[derive(Debug, Clone, Copy)]
pub enum LoadTime {
    /// Uniform between 0.6 and 1.2 s.
    Uniform,
    /// Log-normal with a median of 0.8 s.
    LogNormal,
}

impl LoadTime {
    fn mean(self) -> f64 {
        match self {
            LoadTime::Uniform => 0.9,
            LoadTime::LogNormal => 0.8 * (0.25f64.powi(2) / 2.0).exp(),
        }
    }

    fn sample(self, rng: &mut StdRng) -> f64 {
        match self {
            LoadTime::Uniform => rng.random_range(0.6..1.2),
            LoadTime::LogNormal => LogNormal::new(0.8f64.ln(), 0.25).map_or(0.8, |d| d.sample(rng)),
        }
    }
}

/// Times from load order to loaded copy at a worker with the given utilization of its load slots, in
/// milliseconds and ascending order. The first tenth of the loads is a warm-up and not included.
pub fn cold_start_times(load_time: LoadTime, utilization: f64, loads: usize, seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate = utilization * LOAD_SLOTS as f64 / load_time.mean();
    let Ok(interval) = Exp::new(rate) else { return Vec::new() };
    // Times at which the slots become free, earliest first, in whole microseconds.
    let mut slots: BinaryHeap<std::cmp::Reverse<u64>> =
        (0..LOAD_SLOTS).map(|_| std::cmp::Reverse(0)).collect();
    let (mut now, mut times) = (0.0, Vec::with_capacity(loads));
    for _ in 0..loads {
        now += interval.sample(&mut rng);
        let free = slots.pop().map_or(0.0, |slot| slot.0 as f64 / SECOND as f64);
        let end = now.max(free) + load_time.sample(&mut rng);
        slots.push(std::cmp::Reverse((end * SECOND as f64) as u64));
        times.push((end - now) * 1e3);
    }
    let mut counted = times.split_off(loads / 10);
    counted.sort_by(f64::total_cmp);
    counted
}

fn late_share(times: &[f64]) -> f64 {
    let on_time = times.partition_point(|time| *time <= COLD_START_TARGET * 1e3);
    1.0 - on_time as f64 / times.len().max(1) as f64
}

fn percentile_99(times: &[f64]) -> f64 {
    times.get(times.len() * 99 / 100).copied().unwrap_or(0.0)
}

/// Duration of a cold start by the utilization of a worker's load slots.
struct ColdStartTime;

impl Row for ColdStartTime {
    fn name(&self) -> &'static str {
        "cold-start-time"
    }

    fn role(&self) -> Role {
        Role::Worker
    }

    fn about(&self) -> &'static str {
        "simulated: load orders arrive at a worker with three load slots (Poisson) and are executed in \
         order of arrival; time from load order to loaded copy, without the service time of the call"
    }

    fn variable(&self) -> &'static str {
        "percent of load slots taken"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[5, 10, 20, 30, 40, 50, 60, 70, 80, 90]
    }

    fn planned_size(&self) -> u64 {
        30
    }

    fn bounds(&self) -> Vec<Bound> {
        let source = "99 in 100 cold starts within 1.5 s";
        [UNIFORM_LATE, LOG_NORMAL_LATE].map(|metric| Bound { metric, max: 10.0, source }).into()
    }

    fn estimated_heap_bytes(&self, _size: u64) -> u64 {
        (SIMULATED_LOADS * 16) as u64
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        if size > MAX_UTILIZATION_PERCENT {
            let (variable, min, max) = (self.variable(), 1, MAX_UTILIZATION_PERCENT);
            return Err(ScaleError::SizeOutOfRange { size, variable, min, max });
        }
        let times = |load_time| cold_start_times(load_time, size as f64 / 100.0, SIMULATED_LOADS, seed);
        let (uniform, log_normal) = (times(LoadTime::Uniform), times(LoadTime::LogNormal));
        Ok(vec![
            Measurement { metric: UNIFORM_P99, value: percentile_99(&uniform) },
            Measurement { metric: UNIFORM_LATE, value: 1e3 * late_share(&uniform) },
            Measurement { metric: LOG_NORMAL_P99, value: percentile_99(&log_normal) },
            Measurement { metric: LOG_NORMAL_LATE, value: 1e3 * late_share(&log_normal) },
        ])
    }
}
