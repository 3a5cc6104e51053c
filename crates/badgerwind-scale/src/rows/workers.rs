//! Scripted workers: a small model of instances that load, serve, queue and are unloaded again, seen only
//! through calls and load orders. Service and load times depend on the seed, the call and the worker alone,
//! so that two front ends whose choices differ in one call still see the same times in all others.

use badgerwind::interface::{CopyMark, Micros, Outcome, Time, WhenAbsent, WorkerId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Poisson};
use std::collections::HashMap;
use std::hash::Hasher;

/// Time between a front end and a worker, one way.
pub const NETWORK_DELAY: Micros = 400;
/// Median service time; with [`SERVICE_SIGMA`] nine in ten calls take 60 to 140 ms.
const SERVICE_MEDIAN: f64 = 92_000.0;
const SERVICE_SIGMA: f64 = 0.25;
/// Load times are drawn evenly between these.
const SHORTEST_LOAD: Micros = 600_000;
const LONGEST_LOAD: Micros = 1_200_000;
/// A call that would wait longer than this for a lane, which may still load, is turned away.
const LONGEST_WAIT: Micros = LONGEST_LOAD;
/// Copies of one function at one worker, at the most.
const MOST_COPIES: u32 = 16;

/// How the workers behave.
#[derive(Debug, Clone, Copy)]
pub struct WorkerModel {
    /// What becomes of a call for a function that is not loaded.
    pub when_absent: WhenAbsent,
    /// An idle copy stays for this long.
    pub keep_alive: Micros,
    /// Calls that one copy runs at a time.
    pub lanes: u32,
    /// Mean number of other front ends' calls in hand that an answer mentions; 0: there are none.
    pub mean_foreign_crowd: f64,
    /// Calls of other front ends, which keep copies loaded where this one's calls go as well.
    pub foreign_calls: Option<ForeignCalls>,
}

/// Calls of other front ends, by Zipf's law over the same functions.
#[derive(Debug, Clone, Copy)]
pub struct ForeignCalls {
    /// Calls a second to the most called function.
    pub top_function_rate: f64,
    /// Exponent of the law.
    pub exponent: f64,
}

impl ForeignCalls {
    /// Probability that a copy stands because another front end called the function within a keep-alive.
    fn loaded(&self, function: u64, keep_alive: Micros) -> f64 {
        let rate = self.top_function_rate * (function as f64).powf(-self.exponent);
        1.0 - (-rate * keep_alive as f64 / 1e6).exp()
    }
}

/// How a call ends at a worker.
#[derive(Debug, Clone, Copy)]
pub struct CallReply {
    /// When the front end has the answer.
    pub received_at: Time,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What is said of the copy.
    pub mark: CopyMark,
    /// Calls for the function that the worker held.
    pub crowd: u32,
}

/// How a load order ends.
#[derive(Debug, Clone, Copy)]
pub struct LoadReply {
    /// When the front end has the answer.
    pub received_at: Time,
    /// Copies that stand by then.
    pub copies: u32,
}

/// A lane of a copy.
#[derive(Debug, Clone, Copy)]
struct Lane {
    /// When its copy is loaded.
    loaded: Time,
    /// When it is free again, not before it is loaded.
    free: Time,
}

/// A function's copies at one worker.
#[derive(Debug, Default)]
struct Instance {
    /// Lanes of all copies.
    lanes: Vec<Lane>,
    /// Ends of the calls in hand.
    ends: Vec<Time>,
    /// Last use.
    used: Time,
}

/// All workers of the fleet, as far as one front end has used them.
#[derive(Debug)]
pub struct ScriptedWorkers {
    model: WorkerModel,
    seed: u64,
    service: LogNormal<f64>,
    foreign: Option<Poisson<f64>>,
    instances: HashMap<(WorkerId, u64), Instance>,
}

impl ScriptedWorkers {
    /// Workers on which nothing is loaded yet.
    pub fn new(model: WorkerModel, seed: u64) -> Self {
        let service = LogNormal::new(SERVICE_MEDIAN.ln(), SERVICE_SIGMA).expect("constants are valid");
        let foreign = Poisson::new(model.mean_foreign_crowd).ok();
        ScriptedWorkers { model, seed, service, foreign, instances: HashMap::new() }
    }

    /// The call of this number arrives, sent at this time by the front end.
    pub fn call(&mut self, sent: Time, worker: WorkerId, function: u64, number: u64) -> CallReply {
        let now = sent + NETWORK_DELAY;
        let mut rng = self.rng(worker, function, number);
        let service = self.service.sample(&mut rng) as Micros;
        let load = load_time(&mut rng);
        let foreign = self.foreign.map_or(0, |f| f.sample(&mut rng) as u32);
        let model = self.model;
        let loaded = model.foreign_calls.map_or(0.0, |calls| calls.loaded(function, model.keep_alive));
        let by_others = rng.random::<f64>() < loaded;
        let instance = self.standing(now, worker, function);
        if by_others && instance.lanes.is_empty() {
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
            Some((end, loaded)) if loaded > now => reply(end, Outcome::Ok, CopyMark::WaitedForLoad),
            Some((end, _)) => reply(end, Outcome::Ok, CopyMark::Warm),
            None => reply(now, Outcome::Full, CopyMark::Untold),
        }
    }

    /// A load order arrives, sent at this time: at least so many copies are to stand.
    pub fn load(&mut self, sent: Time, worker: WorkerId, function: u64, copies: u32) -> LoadReply {
        let now = sent + NETWORK_DELAY;
        let load = load_time(&mut self.rng(worker, function, sent));
        let lanes = self.model.lanes;
        let instance = self.standing(now, worker, function);
        let standing = instance.lanes.len() as u32 / lanes.max(1);
        let missing = copies.min(MOST_COPIES).saturating_sub(standing);
        instance.used = instance.used.max(now);
        if missing == 0 {
            return LoadReply { received_at: now + NETWORK_DELAY, copies: standing };
        }
        instance.add_copies(missing, lanes, now + load);
        LoadReply { received_at: now + load + NETWORK_DELAY, copies: standing + missing }
    }

    /// The copies of a function at a worker are unloaded.
    pub fn unload(&mut self, worker: WorkerId, function: u64) {
        self.instances.remove(&(worker, function));
    }

    fn rng(&self, worker: WorkerId, function: u64, number: u64) -> StdRng {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write_u64(self.seed);
        hasher.write_u32(worker);
        hasher.write_u64(function);
        hasher.write_u64(number);
        StdRng::seed_from_u64(hasher.finish())
    }

    fn standing(&mut self, now: Time, worker: WorkerId, function: u64) -> &mut Instance {
        let keep_alive = self.model.keep_alive;
        let instance = self.instances.entry((worker, function)).or_default();
        instance.ends.retain(|end| *end > now);
        if instance.used + keep_alive < now {
            *instance = Instance { used: now, ..Instance::default() };
        }
        instance
    }
}

fn load_time(rng: &mut StdRng) -> Micros {
    rng.random_range(SHORTEST_LOAD..=LONGEST_LOAD)
}

impl Instance {
    fn add_copies(&mut self, copies: u32, lanes: u32, loaded: Time) {
        self.lanes.extend((0..copies * lanes).map(|_| Lane { loaded, free: loaded }));
        self.used = self.used.max(loaded);
    }

    /// Takes the lane that frees first: the end of the call, and when that lane's copy is loaded. None where
    /// the wait would be too long.
    fn serve(&mut self, now: Time, service: Micros) -> Option<(Time, Time)> {
        let lane = self.lanes.iter_mut().min_by_key(|lane| lane.free)?;
        let begin = now.max(lane.free);
        if begin - now > LONGEST_WAIT {
            return None;
        }
        lane.free = begin + service;
        let (end, loaded) = (lane.free, lane.loaded);
        self.ends.push(end);
        self.used = self.used.max(end);
        Some((end, loaded))
    }
}
