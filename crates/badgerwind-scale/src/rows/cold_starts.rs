//! Rows of cold starts, fleet-wide: which share of calls finds no loaded copy where it goes, by arithmetic
//! (Poisson arrivals, Zipf over functions) with a check by simulation; and how long a cold start takes where
//! loads queue.
//!
//! A copy stays for a keep-alive after its last use. A call is cold where the one who decides sees no earlier
//! call within that time: with each front end placing alone that is its own 1 in 11,000 of the calls, with
//! placement by a hash that all share it is all of them. Where the copies that would stand exceed the
//! instances there are, the least recently used go first; the time they then stay is Che's characteristic time.

use super::front_end::{FRONT_ENDS, SECOND};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::collections::{BinaryHeap, HashMap};

/// Functions of the fleet.
pub const FUNCTIONS: u64 = 400_000;
/// Calls a second of the whole fleet.
pub const CALLS_PER_SECOND: f64 = 1_400_000.0;
/// Copies that the fleet has room for.
pub const INSTANCES: f64 = 1_500_000.0;
/// Calls that a copy serves at a time, and how long it serves one, in seconds.
const LANES: f64 = 2.0;
const SERVICE: f64 = 0.1;
/// Steps of the search for the characteristic time.
const BISECTIONS: u32 = 60;
const EXPONENT_BISECTIONS: u32 = 16;
/// A function called once a minute.
const RARE: f64 = 1.0 / 60.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// All rows of this part.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(ColdShare), Box::new(ColdShareSimulated), Box::new(LoadQueue)]
}

/// Who decides where a function's copies stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Each front end for itself, from its own calls.
    Alone,
    /// All by one hash, so that a function's calls meet.
    Shared,
}

impl Placement {
    /// Deciders among which the calls are divided.
    fn deciders(self) -> f64 {
        match self {
            Placement::Alone => f64::from(FRONT_ENDS),
            Placement::Shared => 1.0,
        }
    }
}

/// Calls of the fleet by function.
#[derive(Debug)]
pub struct Demand {
    /// Calls a second of each function, the most called first.
    rates: Vec<f64>,
}

impl Demand {
    /// Calls a second divided over functions by Zipf's law.
    pub fn new(functions: u64, exponent: f64, calls_per_second: f64) -> Self {
        let weights: Vec<f64> = (1..=functions).map(|rank| (rank as f64).powf(-exponent)).collect();
        let whole: f64 = weights.iter().sum();
        Demand { rates: weights.into_iter().map(|weight| weight / whole * calls_per_second).collect() }
    }

    /// Share of calls that are cold where a copy stays so long after its last use, in seconds.
    pub fn cold_share(&self, placement: Placement, stay: f64) -> f64 {
        let cold = |rate: &f64| rate * (-rate / placement.deciders() * stay).exp();
        self.rates.iter().map(cold).sum::<f64>() / self.rates.iter().sum::<f64>()
    }

    /// Mean number of copies that stand: one where idle ones stay, more where more calls run at once.
    pub fn copies(&self, placement: Placement, stay: f64) -> f64 {
        let deciders = placement.deciders();
        let standing = |rate: &f64| {
            let own = rate / deciders;
            let idle = 1.0 - (-own * (stay + SERVICE)).exp();
            deciders * idle.max(own * SERVICE / LANES)
        };
        self.rates.iter().map(standing).sum()
    }

    /// How long a copy stays where there is room for so many: the keep-alive, or less.
    pub fn stay(&self, placement: Placement, keep_alive: f64, instances: f64) -> f64 {
        if self.copies(placement, keep_alive) <= instances {
            return keep_alive;
        }
        let (mut low, mut high) = (0.0, keep_alive);
        for _ in 0..BISECTIONS {
            let middle = (low + high) / 2.0;
            if self.copies(placement, middle) <= instances {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Calls a second of the most called function.
    pub fn most_called(&self) -> f64 {
        self.rates.first().copied().unwrap_or(0.0)
    }

    /// Mean number of functions that are called at least once in so many seconds.
    pub fn called_within(&self, seconds: f64) -> f64 {
        self.rates.iter().map(|rate| 1.0 - (-rate * seconds).exp()).sum()
    }

    /// Share of functions that are called less than once a minute, and of calls to them.
    pub fn rare(&self) -> (f64, f64) {
        let rare = self.rates.iter().filter(|rate| **rate < RARE);
        let (count, calls) = rare.fold((0.0, 0.0), |(count, calls), rate| (count + 1.0, calls + rate));
        (count / self.rates.len().max(1) as f64, calls / self.rates.iter().sum::<f64>())
    }
}

macro_rules! metrics_of_exponent {
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

/// Zipf exponents. From about 1.4 on most functions are called less than once a minute, as the plan has it.
const EXPONENTS: [(f64, [Metric; 10]); 5] = [
    (0.8, metrics_of_exponent!("0.8")),
    (1.0, metrics_of_exponent!("1.0")),
    (1.2, metrics_of_exponent!("1.2")),
    (1.4, metrics_of_exponent!("1.4")),
    (1.6, metrics_of_exponent!("1.6")),
];
const LEAST_EXPONENT: Metric =
    Metric { name: "Zipf exponent from which most functions are called less than once a minute", unit: "" };
const DAYS_BETWEEN: Metric =
    Metric { name: "days between calls at one front end of a function called once a minute", unit: "days" };

/// Days from one call to the next that one front end sees of a function called so often a second.
pub fn days_between_calls(rate: f64) -> f64 {
    f64::from(FRONT_ENDS) / rate / SECONDS_A_DAY
}

/// The exponent at which half of the functions are called less than once a minute, the whole fleet's calls given.
pub fn exponent_of_mostly_rare() -> f64 {
    let (mut low, mut high) = (0.0, 4.0);
    for _ in 0..EXPONENT_BISECTIONS {
        let middle = (low + high) / 2.0;
        if Demand::new(FUNCTIONS, middle, CALLS_PER_SECOND).rare().0 < 0.5 {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Share of cold calls by keep-alive, for three exponents and both placements.
struct ColdShare;

impl Row for ColdShare {
    fn name(&self) -> &'static str {
        "cold-starts"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "arithmetic: share of calls without a loaded copy where they go; 400,000 functions, 1.4 million calls a \
         second, 11,000 front ends, room for 1.5 million copies"
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
        let copies = |metric| Bound { metric, max: INSTANCES, source: "1.5 million instances" };
        EXPONENTS.iter().flat_map(|(_, metrics)| [copies(metrics[3]), copies(metrics[4])]).collect()
    }

    fn estimated_heap_bytes(&self, _size: u64) -> u64 {
        FUNCTIONS * 16
    }

    fn measure(&self, size: u64, _seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let keep_alive = size as f64;
        let mut all = Vec::new();
        for (exponent, metrics) in EXPONENTS {
            let values = cold_figures(exponent, keep_alive);
            all.extend(metrics.into_iter().zip(values).map(|(metric, value)| Measurement { metric, value }));
        }
        all.push(Measurement { metric: LEAST_EXPONENT, value: exponent_of_mostly_rare() });
        all.push(Measurement { metric: DAYS_BETWEEN, value: days_between_calls(RARE) });
        Ok(all)
    }
}

fn cold_figures(exponent: f64, keep_alive: f64) -> [f64; 10] {
    use Placement::{Alone, Shared};
    let demand = Demand::new(FUNCTIONS, exponent, CALLS_PER_SECOND);
    let stay_alone = demand.stay(Alone, keep_alive, INSTANCES);
    let stay_shared = demand.stay(Shared, keep_alive, INSTANCES);
    let (alone, shared) = (demand.cold_share(Alone, stay_alone), demand.cold_share(Shared, stay_shared));
    let (rare_functions, rare_calls) = demand.rare();
    [
        1e3 * demand.cold_share(Alone, keep_alive),
        1e3 * alone,
        1e3 * shared,
        demand.copies(Alone, keep_alive),
        demand.copies(Shared, keep_alive),
        stay_alone,
        alone * CALLS_PER_SECOND,
        shared * CALLS_PER_SECOND,
        1e3 * rare_functions,
        1e3 * rare_calls,
    ]
}

/// Share of cold calls in a simulated stream: calls in time order, and the last use of each copy.
/// Service time does not count; the stream runs for one keep-alive before calls are counted for another.
pub fn simulated_cold_share(
    functions: u64,
    exponent: f64,
    calls_per_second: f64,
    keep_alive: f64,
    seed: u64,
) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let Ok(pause) = Exp::new(calls_per_second) else { return 0.0 };
    let Ok(ranks) = Zipf::new(functions as f64, exponent) else { return 0.0 };
    let mut last_use: HashMap<u64, f64> = HashMap::new();
    let (mut now, mut counted, mut cold) = (0.0, 0u64, 0u64);
    while now < 2.0 * keep_alive {
        now += pause.sample(&mut rng);
        let before = last_use.insert(ranks.sample(&mut rng) as u64, now);
        if now >= keep_alive {
            counted += 1;
            cold += u64::from(before.is_none_or(|used| used + keep_alive < now));
        }
    }
    cold as f64 / counted.max(1) as f64
}

macro_rules! metrics_of_streams {
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

const STREAMS: [(f64, [Metric; 4]); 2] =
    [(1.0, metrics_of_streams!("1.0")), (1.4, metrics_of_streams!("1.4"))];
/// Calls of a simulated stream, at the most; longer keep-alives are left to the arithmetic.
const MOST_CALLS: f64 = 200e6;

/// The same by simulation, beside the arithmetic.
struct ColdShareSimulated;

impl Row for ColdShareSimulated {
    fn name(&self) -> &'static str {
        "cold-starts-simulated"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "streams of calls (Poisson, Zipf, 400,000 functions) over two keep-alives against the arithmetic; the \
         whole fleet's 1.4 million calls a second as far as 200 million calls go"
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
        FUNCTIONS * 64
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let keep_alive = size as f64;
        let own = CALLS_PER_SECOND / f64::from(FRONT_ENDS);
        let mut all = Vec::new();
        let mut add = |metric, share: f64| all.push(Measurement { metric, value: 1e3 * share });
        for (exponent, [alone, alone_simulated, shared, shared_simulated]) in STREAMS {
            let demand = Demand::new(FUNCTIONS, exponent, CALLS_PER_SECOND);
            add(alone, demand.cold_share(Placement::Alone, keep_alive));
            add(shared, demand.cold_share(Placement::Shared, keep_alive));
            for (metric, rate) in [(alone_simulated, own), (shared_simulated, CALLS_PER_SECOND)] {
                if 2.0 * keep_alive * rate <= MOST_CALLS {
                    add(metric, simulated_cold_share(FUNCTIONS, exponent, rate, keep_alive, seed));
                }
            }
        }
        Ok(all)
    }
}

/// Loads that a worker runs at a time.
const LOAD_SLOTS: usize = 3;
/// A cold start is to take no longer, in seconds.
const COLD_AIM: f64 = 1.5;
/// Slots taken to 100% have a queue without end.
const MOST_PERCENT: u64 = 99;
/// Simulated loads at each size; those of the first tenth are not counted.
const LOADS: usize = 200_000;
const EVEN_P99: Metric = Metric { name: "cold start, load of 0.6 to 1.2 s: 99th percentile", unit: "ms" };
const EVEN_LATE: Metric = Metric { name: "cold starts over 1.5 s, load of 0.6 to 1.2 s", unit: "of 1,000" };
const TAILED_P99: Metric =
    Metric { name: "cold start, load log-normal of median 0.8 s, sigma 0.25: 99th percentile", unit: "ms" };
const TAILED_LATE: Metric = Metric { name: "cold starts over 1.5 s, log-normal load", unit: "of 1,000" };

/// How long a load takes.
#[derive(Debug, Clone, Copy)]
pub enum LoadTime {
    /// Evenly between 0.6 and 1.2 s.
    Even,
    /// Log-normal around 0.8 s.
    Tailed,
}

impl LoadTime {
    fn mean(self) -> f64 {
        match self {
            LoadTime::Even => 0.9,
            LoadTime::Tailed => 0.8 * (0.25f64.powi(2) / 2.0).exp(),
        }
    }

    fn draw(self, rng: &mut StdRng) -> f64 {
        match self {
            LoadTime::Even => rng.random_range(0.6..1.2),
            LoadTime::Tailed => LogNormal::new(0.8f64.ln(), 0.25).map_or(0.8, |d| d.sample(rng)),
        }
    }
}

/// Times from order to loaded copy at a worker whose load slots are taken to so much, in milliseconds, sorted.
pub fn cold_start_times(load: LoadTime, utilization: f64, loads: usize, seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate = utilization * LOAD_SLOTS as f64 / load.mean();
    let Ok(pause) = Exp::new(rate) else { return Vec::new() };
    // When each slot is free again, the next one first, in whole microseconds.
    let mut slots: BinaryHeap<std::cmp::Reverse<u64>> =
        (0..LOAD_SLOTS).map(|_| std::cmp::Reverse(0)).collect();
    let (mut now, mut times) = (0.0, Vec::with_capacity(loads));
    for _ in 0..loads {
        now += pause.sample(&mut rng);
        let free = slots.pop().map_or(0.0, |slot| slot.0 as f64 / SECOND as f64);
        let end = now.max(free) + load.draw(&mut rng);
        slots.push(std::cmp::Reverse((end * SECOND as f64) as u64));
        times.push((end - now) * 1e3);
    }
    let mut settled = times.split_off(loads / 10);
    settled.sort_by(f64::total_cmp);
    settled
}

fn late_share(times: &[f64]) -> f64 {
    let in_time = times.partition_point(|time| *time <= COLD_AIM * 1e3);
    1.0 - in_time as f64 / times.len().max(1) as f64
}

fn percentile_99(times: &[f64]) -> f64 {
    times.get(times.len() * 99 / 100).copied().unwrap_or(0.0)
}

/// Time of a cold start by how much of a worker's load slots is taken.
struct LoadQueue;

impl Row for LoadQueue {
    fn name(&self) -> &'static str {
        "cold-start-time"
    }

    fn role(&self) -> Role {
        Role::Worker
    }

    fn about(&self) -> &'static str {
        "simulated: orders arrive at a worker with three load slots (Poisson) and wait their turn; from order to \
         loaded copy, without the call's own service time"
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
        let aim = "99 in 100 cold starts within 1.5 s";
        [EVEN_LATE, TAILED_LATE].map(|metric| Bound { metric, max: 10.0, source: aim }).into()
    }

    fn estimated_heap_bytes(&self, _size: u64) -> u64 {
        (LOADS * 16) as u64
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        if size > MOST_PERCENT {
            let (variable, min, max) = (self.variable(), 1, MOST_PERCENT);
            return Err(ScaleError::SizeOutOfRange { size, variable, min, max });
        }
        let times = |load| cold_start_times(load, size as f64 / 100.0, LOADS, seed);
        let (even, tailed) = (times(LoadTime::Even), times(LoadTime::Tailed));
        Ok(vec![
            Measurement { metric: EVEN_P99, value: percentile_99(&even) },
            Measurement { metric: EVEN_LATE, value: 1e3 * late_share(&even) },
            Measurement { metric: TAILED_P99, value: percentile_99(&tailed) },
            Measurement { metric: TAILED_LATE, value: 1e3 * late_share(&tailed) },
        ])
    }
}
