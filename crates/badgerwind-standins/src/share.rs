//! Processor sharing: jobs divide a capacity evenly, and none runs faster than one core.

use std::collections::BTreeMap;

/// Microseconds.
pub type Time = u64;

/// Jobs under processor sharing. Work is in microseconds of one core of speed 1.
#[derive(Debug)]
pub struct Share {
    jobs: BTreeMap<u64, f64>,
    at: Time,
    /// Work per microsecond of all jobs together.
    capacity: f64,
    /// Largest work per microsecond of one job.
    max_per_job: f64,
}

impl Share {
    /// Creates a capacity without jobs.
    pub fn new(capacity: f64, max_per_job: f64) -> Self {
        Share { jobs: BTreeMap::new(), at: 0, capacity, max_per_job }
    }

    /// Number of running jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is running.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn rate_per_job(&self) -> f64 {
        (self.capacity / self.jobs.len().max(1) as f64).min(self.max_per_job)
    }

    /// Changes the capacity from now on.
    pub fn set_capacity(&mut self, now: Time, capacity: f64, max_per_job: f64) {
        self.advance(now);
        (self.capacity, self.max_per_job) = (capacity, max_per_job);
    }

    /// Adds a job.
    pub fn add(&mut self, now: Time, job: u64, work: f64) {
        self.advance(now);
        self.jobs.insert(job, work);
    }

    /// Removes a job; returns false if it is not running.
    pub fn remove(&mut self, now: Time, job: u64) -> bool {
        self.advance(now);
        self.jobs.remove(&job).is_some()
    }

    fn advance(&mut self, now: Time) {
        let done = self.rate_per_job() * now.saturating_sub(self.at) as f64;
        self.jobs.values_mut().for_each(|left| *left -= done);
        self.at = self.at.max(now);
    }

    /// Removes and returns the jobs that are complete at `now`.
    pub fn take_completed(&mut self, now: Time) -> Vec<u64> {
        self.advance(now);
        let done: Vec<u64> = self.jobs.iter().filter(|(_, left)| **left <= 1e-6).map(|(j, _)| *j).collect();
        done.iter().for_each(|j| _ = self.jobs.remove(j));
        done
    }

    /// Time at which the next job completes if nothing changes.
    pub fn next_completion(&self) -> Option<Time> {
        let least = self.jobs.values().copied().fold(f64::INFINITY, f64::min);
        let rate = self.rate_per_job();
        (least.is_finite() && rate > 0.0).then(|| self.at + (least / rate).ceil().clamp(1.0, 1e15) as Time)
    }
}
