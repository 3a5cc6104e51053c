//! The records of the router's state and their bookkeeping. They contain no decisions and no tuned values.

use crate::held::HeldQueue;
use crate::interface::*;
use crate::recency::Stamp;
pub(crate) use badgerwind_health::Health;
use badgerwind_placement::WEIGHT_OF_SIZE;
use badgerwind_window::SlidingWindow;
use std::collections::{BTreeMap, VecDeque};

/// The list to which event handlers append what the front end must do.
pub(crate) type Actions = Vec<Action>;

/// A sum with exponential decay. All methods take the time constant of the decay as `span`.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct DecayingSum {
    value: f64,
    at: Time,
}

impl DecayingSum {
    pub(crate) fn add(&mut self, now: Time, span: f64, amount: f64) {
        (self.value, self.at) = (self.get(now, span) + amount, now);
    }
    /// The sum now.
    pub(crate) fn get(&self, now: Time, span: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.at) as f64) / span).exp()
    }
}

/// A mean that front ends estimate together (push-sum; Kempe, Dobra and Gehrke 2003). Each sample adds mass,
/// and each message carries half of the mass to another front end. No sample counts twice however far it
/// travels, and a lost message only loses its part of the mass. Old samples decay.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct SharedMean {
    sum: DecayingSum,
    mass: DecayingSum,
}

impl SharedMean {
    pub(crate) fn add(&mut self, now: Time, span: f64, value: f64, mass: f64) {
        self.sum.add(now, span, value * mass);
        self.mass.add(now, span, mass);
    }
    /// The mean, including a prior sample of value `prior` and mass `prior_mass`.
    pub(crate) fn mean(&self, now: Time, span: f64, prior: f64, prior_mass: f64) -> f64 {
        (self.sum.get(now, span) + prior * prior_mass) / (self.mass.get(now, span) + prior_mass)
    }
    pub(crate) fn mass(&self, now: Time, span: f64) -> f64 {
        self.mass.get(now, span)
    }
    /// Removes half of the mass and returns it for a message in two bytes: the mean and the mass, each as a
    /// logarithm.
    pub(crate) fn split_half(&mut self, now: Time, span: f64) -> [u8; 2] {
        let (mean, mass) = (self.mean(now, span, 1.0, 1e-9), self.mass(now, span) / 2.0);
        self.add(now, span, mean, -mass);
        let byte = |x: f64, steps: f64| (x.max(1e-9).log2() * steps + 128.0).round().clamp(0.0, 255.0) as u8;
        [byte(mean, 32.0), byte(mass, 16.0)]
    }
    /// Adds the mean and mass that another front end split off.
    pub(crate) fn merge(&mut self, now: Time, span: f64, [mean, mass]: [u8; 2]) {
        let value = |b: u8, steps: f64| ((f64::from(b) - 128.0) / steps).exp2();
        if mass > 0 {
            self.add(now, span, value(mean, 32.0), value(mass, 16.0));
        }
    }
}

/// A kind of traffic whose health at a worker is tracked by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TrafficKind {
    Tenant(usize),
    Class(usize),
}

/// A worker: its entry in the list, and what this front end has observed of it.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub zone: u32,
    pub cell: u32,
    pub kind: usize,
    pub size: f64,
    pub ready: bool,
    /// It is no longer listed.
    pub removed: bool,
    /// When its process last started, as listed; `None`: so long ago that it is warm.
    pub born: Option<Time>,
    /// Start of its warm-up, as listed or as presumed.
    pub warming_since: Option<Time>,
    /// Its restart was presumed, not listed; the next entry in the list replaces the presumed time.
    pub presumed_restart: bool,
    /// Own attempts in flight, and own load orders pending.
    pub in_flight: u32,
    pub pending_loads: u32,
    /// Observed service times as a multiple of the mean of the same functions at all workers.
    pub slowness: f64,
    /// Service times as a multiple of the mean of their class, as all front ends observe them.
    pub load: SharedMean,
    /// Health as a whole, and by kind of traffic.
    pub health: Health,
    /// Boxed: most workers have two entries, while a node of the map reserves space for eleven.
    pub kind_health: BTreeMap<TrafficKind, Box<Health>>,
    /// After it answered `full`, it gets no calls until this time.
    pub full_until: Time,
    /// After it refused or failed a load, it gets no further loads until this time.
    pub no_load_until: Time,
    /// Most own attempts in flight, and when this limit was last cut.
    pub attempt_limit: f64,
    pub limit_cut_at: Time,
    /// Own sends since it started, for the cold budget.
    pub cold_sends: u32,
    /// Rate of attempts that succeeded here.
    pub served: DecayingSum,
    /// The highest such rate, per unit of its size.
    pub peak_rate: f64,
    /// Recent own sends, for the cold budget.
    pub sends: SlidingWindow,
    /// Changes whenever all copies are lost at once, which voids the beliefs on copies of an earlier epoch.
    pub epoch: u64,
    /// When it last lost all its copies at once.
    pub emptied_at: Time,
    /// Time of its last periodic maintenance.
    pub maintained_at: Time,
}

impl Worker {
    pub(crate) fn new(entry: &WorkerEntry, last_seen: Time, attempt_limit: f64, epoch: u64) -> Self {
        let health = Health { last_seen, ..Health::default() };
        let (born, warming_since, maintained_at) = (entry.born, entry.born, last_seen);
        Worker {
            born,
            warming_since,
            slowness: 1.0,
            health,
            attempt_limit,
            epoch,
            maintained_at,
            ..Worker::default()
        }
    }
    /// Its weight in the index of cells, in thousandths of a size; 0 when it takes no work.
    pub(crate) fn weight(&self) -> u64 {
        if self.ready {
            (self.size * WEIGHT_OF_SIZE).round().max(1.0) as u64
        } else {
            0
        }
    }
    /// Applies an entry of the list. Returns true when the process has restarted.
    pub(crate) fn apply_entry(&mut self, entry: &WorkerEntry) -> bool {
        (self.zone, self.cell) = (entry.zone, entry.cell);
        (self.kind, self.size) = (entry.kind as usize, entry.size.max(0.01));
        self.ready = entry.availability == Availability::Ready;
        self.removed = entry.availability == Availability::Removed;
        let restarted = entry.born != self.born && entry.born.is_some();
        self.born = entry.born.or(self.born);
        if std::mem::take(&mut self.presumed_restart) {
            self.warming_since = self.born;
        }
        restarted
    }
    /// Counts an attempt that succeeded, and updates the peak rate.
    pub(crate) fn record_served(&mut self, now: Time, span: f64) {
        self.served.add(now, span, 1e6 / span);
        self.peak_rate = self.peak_rate.max(self.served.get(now, span) / self.size.max(0.01));
    }
    /// Whether this worker and another drop repeats of each other's requests in such a group.
    pub(crate) fn drops_repeats(&self, other: &Worker, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == other.zone,
            Group::Cell => self.cell == other.cell,
        }
    }
}

/// Sums over the listed workers, updated as workers change, so that no decision iterates over the list.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    /// Ready workers, the tripped ones among them, and the sums of their sizes and slowness.
    pub ready: usize,
    pub tripped: usize,
    pub size: f64,
    pub slowness: f64,
    /// Workers, ready or not, that served at least one call, and the sum of their peak rates.
    pub served: usize,
    pub peak_rate: f64,
}

impl Totals {
    pub(crate) fn include(&mut self, worker: &Worker) {
        if worker.ready {
            self.ready += 1;
            self.tripped += usize::from(worker.health.tripped);
            self.size += worker.size;
            self.slowness += worker.slowness;
        }
        self.served += usize::from(worker.peak_rate > 0.0);
        self.peak_rate += worker.peak_rate;
    }
    pub(crate) fn exclude(&mut self, worker: &Worker) {
        if worker.ready {
            self.ready -= 1;
            self.tripped -= usize::from(worker.health.tripped);
            self.size -= worker.size;
            self.slowness -= worker.slowness;
        }
        self.served -= usize::from(worker.peak_rate > 0.0);
        self.peak_rate -= worker.peak_rate;
    }
}

/// What this front end believes of a function's copies at a worker.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    /// The worker's epoch to which the beliefs apply.
    pub epoch: u64,
    /// The worker is one of those that serve the function for all front ends.
    pub shared: bool,
    /// Copies last known to be loaded.
    pub count: u32,
    /// Last confirmation, use or renewal.
    pub used_at: Time,
    /// Last information of any kind, including that no copy is loaded.
    pub known_at: Time,
    /// Own attempts in flight for the function there.
    pub in_flight: u32,
    /// Other front ends' requests there, estimated from crowd marks.
    pub foreign: f64,
    /// Pending orders: when sent, and the copies wanted (0: only asked).
    pub orders: Vec<(Time, u32)>,
}

impl Copies {
    /// Whether no attempt or order is pending there.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.orders.is_empty()
    }
    /// Copies that the pending orders lead to.
    pub(crate) fn pending_count(&self) -> u32 {
        self.orders.iter().map(|o| o.1).max().unwrap_or(0)
    }
    /// Removes the order that was sent nearest to this time.
    pub(crate) fn remove_order(&mut self, sent: Time) -> Option<u32> {
        let at = (0..self.orders.len()).min_by_key(|&i| self.orders[i].0.abs_diff(sent))?;
        Some(self.orders.remove(at).1)
    }
}

/// A function: what its requests say of it, and what this front end has observed.
#[derive(Debug, Default)]
pub(crate) struct Function {
    pub name: FunctionId,
    pub class: usize,
    /// Memory of one copy, in MB.
    pub memory: f64,
    pub lanes: u32,
    /// Load time: initially from the request or a guess, then a mean of observed ones.
    pub load_time: f64,
    /// Mean service time, and a low quantile of it; 0: unknown.
    pub mean_service: f64,
    pub quick_service: f64,
    /// Length of a bin of arrivals, the bins (the last one is still open), and the last one's number.
    pub step: Micros,
    pub bins: VecDeque<f64>,
    pub bin_number: u64,
    /// Calls in a keep-alive, averaged over about two of these, and the time of the last call.
    pub uses: DecayingSum,
    pub used_at: Time,
    /// Errors before anything was served, and the time of the last one.
    pub errors: u32,
    pub failed_at: Time,
    /// Its place among the functions of which nothing shows that they exist; `None`: a worker has served it or
    /// loaded a copy.
    pub unconfirmed: Option<Stamp>,
    /// Loads in the first step of the last plan.
    pub last_loads: f64,
    /// Requests that wait for a lane.
    pub held: HeldQueue,
    /// Boxed: most functions have one entry, while a node of the map reserves space for eleven.
    pub copies: BTreeMap<WorkerId, Box<Copies>>,
    /// The first workers in its own rendezvous order, and the fingerprint of their cells; 0 where none are
    /// stored.
    pub preferred: Vec<WorkerId>,
    pub cells_fingerprint: u64,
    /// Version of the index at which the cells were last looked up, and epoch at which its copies were last
    /// checked.
    pub index_version: u64,
    pub epoch: u64,
    /// How many of the preferred workers serve the function for all front ends (0: it is not shared); and
    /// the value according to which [`Copies::shared`] is set.
    pub spread: usize,
    pub marked_spread: usize,
    /// Number of workers that the function needs, estimated from crowd marks.
    pub reach: f64,
    /// When its next step is planned; 0 while it rests.
    pub plan_at: Time,
    /// How many of its held requests are included in the router's count.
    pub counted: usize,
}

impl Function {
    /// Whether no request is held for it, and no attempt or order is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.held.is_empty() && self.copies.values().all(|copies| copies.is_idle())
    }
    /// Adds an observed load time to the mean. Returns the change of the mean.
    pub(crate) fn observe_load(&mut self, sample: f64, gain: f64) -> f64 {
        let before = self.load_time;
        update_mean(&mut self.load_time, sample, gain);
        self.load_time - before
    }
    /// Advances the bins to now. A new function gets empty bins back to `start`, when the router started.
    /// Returns whether a new bin began. At most `most` closed bins are kept.
    pub(crate) fn roll(&mut self, now: Time, start: Time, most: u64) -> bool {
        let bin = now / self.step;
        let first = self.bins.is_empty();
        let new = if first { (now - start) / self.step + 1 } else { bin - self.bin_number };
        self.bins.extend((0..new.min(most + 1)).map(|_| 0.0));
        while self.bins.len() as u64 > most + 1 {
            self.bins.pop_front();
        }
        self.bin_number = bin;
        new > 0
    }
    /// Counts an arrival in the open bin.
    pub(crate) fn count_arrival(&mut self, now: Time, start: Time, most: u64) {
        self.roll(now, start, most);
        if let Some(open) = self.bins.back_mut() {
            *open += 1.0;
        }
    }
}

/// An attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub sent: Time,
    /// Own attempts for the function that were in flight there when it was sent.
    pub own: u32,
    /// Time after which it is overdue.
    pub expected: Micros,
    pub in_flight: bool,
    pub never_ran: bool,
    /// Its end is no sign of overload, so the next attempt does not use the retry budget.
    pub exempt: bool,
    /// It was overdue, and this has been counted as a failure.
    pub overdue: bool,
    pub called_off: bool,
}

/// What is known from the end of an attempt.
#[derive(Clone, Copy)]
pub(crate) struct Answer {
    pub outcome: Outcome,
    /// The request has its final answer.
    pub last: bool,
    pub lag: Micros,
    pub mark: CopyMark,
    pub crowd: Option<u32>,
    /// Own attempts for the function there when it was sent, and the time since then by this clock.
    pub own: u32,
    pub waited: Micros,
}

/// What is known from the end of a load order.
#[derive(Clone, Copy)]
pub(crate) struct LoadResult {
    pub outcome: Outcome,
    pub copies: u32,
    pub lag: Micros,
}

/// What to do with a request now.
pub(crate) enum Choice {
    /// Send it to this worker.
    Send(WorkerId),
    /// Hold it, and order another copy at this worker.
    Load(WorkerId),
    /// Hold it until a lane is free.
    Wait,
}

/// A request that has not been answered, or that still has attempts in flight.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub id: RequestId,
    /// Its function's index in `RouterState::functions`.
    pub slot: usize,
    pub class: usize,
    pub tenant: usize,
    pub due: Time,
    pub arrived_at: Time,
    /// It has its final answer.
    pub ended: bool,
    /// A streamed answer has begun.
    pub stream: bool,
    /// It is a client's retry.
    pub retry: bool,
    pub attempts: Vec<Attempt>,
}

impl OpenRequest {
    pub(crate) fn new(slot: usize, request: &Request, arrived_at: Time) -> Self {
        OpenRequest {
            id: request.id.clone(),
            slot,
            class: request.class,
            tenant: request.tenant,
            due: request.due,
            arrived_at,
            ended: false,
            stream: false,
            retry: request.retry,
            attempts: Vec::new(),
        }
    }
    /// Whether a worker got an attempt of it.
    pub(crate) fn tried(&self, id: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == id)
    }
    pub(crate) fn kinds(&self) -> [TrafficKind; 2] {
        [TrafficKind::Tenant(self.tenant), TrafficKind::Class(self.class)]
    }
}

/// Counts how often lanes become free within a time. Each time a lane serves a request, and becomes free again
/// after the service time.
#[derive(Debug)]
pub(crate) struct FreeLaneCount {
    within: f64,
    service: f64,
    /// Counting stops above this number.
    enough: f64,
    count: f64,
}

impl FreeLaneCount {
    pub(crate) fn new(within: f64, service: f64, enough: usize) -> Self {
        FreeLaneCount { within, service, enough: enough as f64, count: 0.0 }
    }
    /// Adds lanes that all become free for the first time after `free_in`.
    pub(crate) fn add(&mut self, lanes: u32, free_in: f64) {
        if free_in <= self.within {
            self.count += f64::from(lanes) * (((self.within - free_in) / self.service).floor() + 1.0);
        }
    }
    /// Adds busy lanes, one of which becomes free after each `interval`.
    pub(crate) fn add_busy(&mut self, lanes: u32, interval: f64) {
        for lane in 1..=lanes {
            let free_in = interval * f64::from(lane);
            if free_in > self.within || self.exceeds_enough() {
                break;
            }
            self.add(1, free_in);
        }
    }
    /// Whether the lanes become free more often than is enough.
    pub(crate) fn exceeds_enough(&self) -> bool {
        self.count > self.enough
    }
}

/// Moves a running mean towards a sample by `gain`. The first sample becomes the mean.
pub(crate) fn update_mean(mean: &mut f64, sample: f64, gain: f64) {
    *mean += if *mean == 0.0 { sample } else { gain * (sample - *mean) };
}
