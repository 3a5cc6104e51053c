//! Scripted workers: a small model of copies that load, execute calls, queue them and are unloaded. A front
//! end reaches them through calls and load orders only. Service and load times depend only on the seed, the
//! call and the worker, so that two front ends whose choices differ in one call still get the same times in
//! all others.

use badgerwind::interface::{CopyMark, Micros, Outcome, Time, WhenAbsent, WorkerId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Poisson};
use std::collections::HashMap;
use std::hash::Hasher;

/// One-way network delay between a front end and a worker, in microseconds.
pub const NETWORK_DELAY: Micros = 400;
/// Median service time in microseconds. With [`SERVICE_SIGMA`], 90% of the calls take 60 to 140 ms.
const SERVICE_MEDIAN: f64 = 92_000.0;
/// Standard deviation of the logarithm of the service time.
const SERVICE_SIGMA: f64 = 0.25;
/// Shortest load time in microseconds; load times are distributed uniformly.
const MIN_LOAD_TIME: Micros = 600_000;
/// Longest load time in microseconds.
const MAX_LOAD_TIME: Micros = 1_200_000;
/// Longest wait for a lane, including the load of its copy. Calls that would wait longer are rejected as
/// full.
const MAX_WAIT: Micros = MAX_LOAD_TIME;
/// Maximum number of copies of one function at one worker.
const MAX_COPIES: u32 = 16;

/// Behaviour of the scripted workers.
#[derive(Debug, Clone, Copy)]
pub struct WorkerModel {
    /// Handling of a call for a function that is not loaded.
    pub when_absent: WhenAbsent,
    /// Time for which an idle copy stays loaded.
    pub keep_alive: Micros,
    /// Number of calls that one copy executes concurrently.
    pub lanes: u32,
    /// Mean number of calls of other front ends that is included in the crowd mark of an answer; 0 for none.
    pub mean_foreign_crowd: f64,
    /// Calls of other front ends, which may already have loaded a copy that this front end's calls need.
    pub foreign_calls: Option<ForeignCalls>,
}

/// Calls of other front ends, with a Zipf distribution over the same functions.
#[derive(Debug, Clone, Copy)]
pub struct ForeignCalls {
    /// Calls a second to the most frequently called function.
    pub top_function_rate: f64,
    /// Exponent of the Zipf distribution.
    pub exponent: f64,
}

impl ForeignCalls {
    /// Probability that a copy is loaded because another front end called the function within the keep-alive
    /// time.
    fn loaded_probability(&self, function: u64, keep_alive: Micros) -> f64 {
        let rate = self.top_function_rate * (function as f64).powf(-self.exponent);
        1.0 - (-rate * keep_alive as f64 / 1e6).exp()
    }
}

/// Answer of a worker to a call.
#[derive(Debug, Clone, Copy)]
pub struct CallReply {
    /// Time at which the front end receives the answer.
    pub received_at: Time,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// State of the copy that the answer reports.
    pub mark: CopyMark,
    /// Number of calls for the function at the worker.
    pub crowd: u32,
}

/// Answer of a worker to a load order.
#[derive(Debug, Clone, Copy)]
pub struct LoadReply {
    /// Time at which the front end receives the answer.
    pub received_at: Time,
    /// Number of loaded copies at that time.
    pub copies: u32,
}

/// A lane of a copy.
#[derive(Debug, Clone, Copy)]
struct Lane {
    /// Time at which its copy is loaded.
    loaded_at: Time,
    /// Time at which it becomes free, not before its copy is loaded.
    free_at: Time,
}

/// A function's copies at one worker.
#[derive(Debug, Default)]
struct Instance {
    /// Lanes of all copies.
    lanes: Vec<Lane>,
    /// End times of the unfinished calls.
    ends: Vec<Time>,
    /// Time of the last use; may be in the future.
    last_used: Time,
}

/// All workers of the fleet, with the state that one front end's calls have caused.
#[derive(Debug)]
pub struct ScriptedWorkers {
    model: WorkerModel,
    seed: u64,
    service_time: LogNormal<f64>,
    foreign_crowd: Option<Poisson<f64>>,
    instances: HashMap<(WorkerId, u64), Instance>,
}

impl ScriptedWorkers {
    /// Workers without loaded functions.
    pub fn new(model: WorkerModel, seed: u64) -> Self {
        let service_time = LogNormal::new(SERVICE_MEDIAN.ln(), SERVICE_SIGMA).expect("constants are valid");
        let foreign_crowd = Poisson::new(model.mean_foreign_crowd).ok();
        ScriptedWorkers { model, seed, service_time, foreign_crowd, instances: HashMap::new() }
    }

    /// Handles a call that the front end sent at time `sent`.
    pub fn call(&mut self, sent: Time, worker: WorkerId, function: u64, number: u64) -> CallReply {
        let now = sent + NETWORK_DELAY;
        let mut rng = self.rng(worker, function, number);
        let service = self.service_time.sample(&mut rng) as Micros;
        let load = load_time(&mut rng);
        let foreign = self.foreign_crowd.map_or(0, |f| f.sample(&mut rng) as u32);
        let model = self.model;
        let probability =
            model.foreign_calls.map_or(0.0, |calls| calls.loaded_probability(function, model.keep_alive));
        let loaded_by_others = rng.random::<f64>() < probability;
        let instance = self.current_instance(now, worker, function);
        if loaded_by_others && instance.lanes.is_empty() {
            instance.add_copies(1, model.lanes, now);
        }
        let absent = instance.lanes.is_empty();
        if absent && model.when_absent == WhenAbsent::Miss {
            return CallReply {
                received_at: now + NETWORK_DELAY,
                outcome: Outcome::Miss,
                mark: CopyMark::Untold,
                crowd: 0,
            };
        }
        if absent {
            instance.add_copies(1, model.lanes, now + load);
        }
        let crowd = instance.ends.len() as u32 + foreign;
        let reply = |at, outcome, mark| CallReply { received_at: at + NETWORK_DELAY, outcome, mark, crowd };
        match instance.serve(now, service) {
            Some((end, _)) if absent => reply(end, Outcome::Ok, CopyMark::BeganLoad),
            Some((end, loaded_at)) if loaded_at > now => reply(end, Outcome::Ok, CopyMark::WaitedForLoad),
            Some((end, _)) => reply(end, Outcome::Ok, CopyMark::Warm),
            None => reply(now, Outcome::Full, CopyMark::Untold),
        }
    }

    /// Handles a load order, sent at time `sent`, to hold at least `copies` copies.
    pub fn load(&mut self, sent: Time, worker: WorkerId, function: u64, copies: u32) -> LoadReply {
        let now = sent + NETWORK_DELAY;
        let load = load_time(&mut self.rng(worker, function, sent));
        let lanes = self.model.lanes;
        let instance = self.current_instance(now, worker, function);
        let existing = instance.lanes.len() as u32 / lanes.max(1);
        let missing = copies.min(MAX_COPIES).saturating_sub(existing);
        instance.last_used = instance.last_used.max(now);
        if missing == 0 {
            return LoadReply { received_at: now + NETWORK_DELAY, copies: existing };
        }
        instance.add_copies(missing, lanes, now + load);
        LoadReply { received_at: now + load + NETWORK_DELAY, copies: existing + missing }
    }

    /// Unloads all copies of a function at a worker.
    pub fn unload(&mut self, worker: WorkerId, function: u64) {
        self.instances.remove(&(worker, function));
    }

    /// Random numbers that depend only on the seed and the arguments.
    fn rng(&self, worker: WorkerId, function: u64, number: u64) -> StdRng {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write_u64(self.seed);
        hasher.write_u32(worker);
        hasher.write_u64(function);
        hasher.write_u64(number);
        StdRng::seed_from_u64(hasher.finish())
    }

    /// The function's copies at a worker, after unloading those whose keep-alive has expired.
    fn current_instance(&mut self, now: Time, worker: WorkerId, function: u64) -> &mut Instance {
        let keep_alive = self.model.keep_alive;
        let instance = self.instances.entry((worker, function)).or_default();
        instance.ends.retain(|end| *end > now);
        if instance.last_used + keep_alive < now {
            *instance = Instance { last_used: now, ..Instance::default() };
        }
        instance
    }
}

fn load_time(rng: &mut StdRng) -> Micros {
    rng.random_range(MIN_LOAD_TIME..=MAX_LOAD_TIME)
}

impl Instance {
    fn add_copies(&mut self, copies: u32, lanes: u32, loaded_at: Time) {
        self.lanes.extend((0..copies * lanes).map(|_| Lane { loaded_at, free_at: loaded_at }));
        self.last_used = self.last_used.max(loaded_at);
    }

    /// Assigns a call to the lane that becomes free first. Returns the end of the call and the time at which
    /// the lane's copy is loaded, or `None` if the wait would be too long.
    fn serve(&mut self, now: Time, service: Micros) -> Option<(Time, Time)> {
        let lane = self.lanes.iter_mut().min_by_key(|lane| lane.free_at)?;
        let start = now.max(lane.free_at);
        if start - now > MAX_WAIT {
            return None;
        }
        lane.free_at = start + service;
        let (end, loaded_at) = (lane.free_at, lane.loaded_at);
        self.ends.push(end);
        self.last_used = self.last_used.max(end);
        Some((end, loaded_at))
    }
}
