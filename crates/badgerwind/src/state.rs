//! The router's memory: plain records and their bookkeeping. Nothing is decided here, nothing is tuned.

use crate::interface::*;
pub(crate) use badgerwind_health::Health;
use badgerwind_placement::WEIGHT_OF_SIZE;
use std::collections::{BTreeMap, VecDeque};

/// A sum that is forgotten exponentially.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Decay {
    value: f64,
    at: Time,
}

impl Decay {
    pub(crate) fn add(&mut self, now: Time, span: f64, amount: f64) {
        (self.value, self.at) = (self.get(now, span) + amount, now);
    }
    pub(crate) fn get(&self, now: Time, span: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.at) as f64) / span).exp()
    }
}

/// A mean that front ends keep together: each sample adds mass, and half of the mass goes to another front
/// end at each word, so that no sample counts twice however far it travels, and one that is lost takes its
/// part along (push-sum; Kempe, Dobra and Gehrke 2003). Old samples fade.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Shared {
    sum: Decay,
    mass: Decay,
}

impl Shared {
    pub(crate) fn add(&mut self, now: Time, span: f64, value: f64, mass: f64) {
        self.sum.add(now, span, value * mass);
        self.mass.add(now, span, mass);
    }
    /// The mean, as if one more sample of so little mass had said `prior`.
    pub(crate) fn mean(&self, now: Time, span: f64, prior: f64, little: f64) -> f64 {
        (self.sum.get(now, span) + prior * little) / (self.mass.get(now, span) + little)
    }
    pub(crate) fn mass(&self, now: Time, span: f64) -> f64 {
        self.mass.get(now, span)
    }
    /// Gives half of the mass away, as a word of two bytes: the mean and the mass, each as a logarithm.
    pub(crate) fn give(&mut self, now: Time, span: f64) -> [u8; 2] {
        let (mean, mass) = (self.mean(now, span, 1.0, 1e-9), self.mass(now, span) / 2.0);
        self.add(now, span, mean, -mass);
        let byte = |x: f64, steps: f64| (x.max(1e-9).log2() * steps + 128.0).round().clamp(0.0, 255.0) as u8;
        [byte(mean, 32.0), byte(mass, 16.0)]
    }
    /// Takes in what another gave away.
    pub(crate) fn take(&mut self, now: Time, span: f64, word: [u8; 2]) {
        let value = |b: u8, steps: f64| ((f64::from(b) - 128.0) / steps).exp2();
        if word[1] > 0 {
            self.add(now, span, value(word[0], 32.0), value(word[1], 16.0));
        }
    }
}

/// Times of something done lately.
#[derive(Debug, Default)]
pub(crate) struct Recent(VecDeque<Time>);

impl Recent {
    pub(crate) fn push(&mut self, now: Time) {
        self.0.push_back(now);
    }
    /// How many at or after this time.
    pub(crate) fn since(&self, from: Time) -> f64 {
        (self.0.len() - self.0.partition_point(|&t| t < from)) as f64
    }
    pub(crate) fn forget_before(&mut self, from: Time) {
        while self.0.front().is_some_and(|&t| t < from) {
            self.0.pop_front();
        }
    }
}

/// A kind of traffic at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Tenant(usize),
    Class(usize),
}

/// A worker, as listed and as seen.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub zone: u32,
    pub cell: u32,
    pub kind: usize,
    pub size: f64,
    pub ready: bool,
    pub gone: bool,
    pub born: Option<Time>,
    /// Start of its warming up, as told or as seen.
    pub cold_at: Option<Time>,
    /// It is not known to have started anew; the list's next word of it holds.
    pub presumed_restart: bool,
    /// Own attempts out, and own loads in hand.
    pub out: u32,
    pub loads: u32,
    /// Observed service time over what its functions take elsewhere.
    pub slow: f64,
    /// Time that answers took over what their class takes, as all front ends see it.
    pub load: Shared,
    /// As a whole, and by kind of traffic.
    pub whole: Health,
    /// Boxed, since most have two, and a node of the map has room for eleven.
    pub kinds: BTreeMap<Kind, Box<Health>>,
    pub full_until: Time,
    pub no_load_until: Time,
    /// Most own attempts out, and when it was last cut.
    pub limit: f64,
    pub cut_at: Time,
    /// Own sends since it started, and lately, for the cold budget.
    pub cold_sends: u32,
    /// Attempts that ended well here.
    pub served: Decay,
    /// The most of them a second, a unit of its size.
    pub borne: f64,
    pub sends: Recent,
    /// Changes whenever all copies are gone at once: what is believed of those of an earlier epoch is void.
    pub epoch: u64,
    pub emptied_at: Time,
    /// When periodic maintenance last came by.
    pub maintained_at: Time,
}

impl Worker {
    pub(crate) fn new(e: &WorkerEntry, heard: Time, limit: f64, epoch: u64) -> Self {
        let whole = Health { heard, ..Health::default() };
        let (born, cold_at, maintained_at) = (e.born, e.born, heard);
        Worker { born, cold_at, slow: 1.0, whole, limit, epoch, maintained_at, ..Worker::default() }
    }
    /// Its weight in the index of cells, in thousandths of a size; 0 where it takes no work.
    pub(crate) fn weight(&self) -> u64 {
        if self.ready {
            (self.size * WEIGHT_OF_SIZE).round().max(1.0) as u64
        } else {
            0
        }
    }
    /// Takes in what the list says; true when the process has started anew.
    pub(crate) fn listed(&mut self, e: &WorkerEntry) -> bool {
        (self.zone, self.cell, self.kind, self.size) = (e.zone, e.cell, e.kind as usize, e.size.max(0.01));
        self.ready = e.availability == Availability::Ready;
        self.gone = e.availability == Availability::Gone;
        let restarted = e.born != self.born && e.born.is_some();
        self.born = e.born.or(self.born);
        if std::mem::take(&mut self.presumed_restart) {
            self.cold_at = self.born;
        }
        restarted
    }
    /// Books an attempt that ended well, and the most of them a second.
    pub(crate) fn bore(&mut self, now: Time, keep: f64) {
        self.served.add(now, keep, 1e6 / keep);
        self.borne = self.borne.max(self.served.get(now, keep) / self.size.max(0.01));
    }
    /// Whether it shares the keys that it has seen with another.
    pub(crate) fn drops_repeats(&self, other: &Worker, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == other.zone,
            Group::Cell => self.cell == other.cell,
        }
    }
}

/// Sums over the listed workers, kept as workers change, so that no decision goes over the list.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    /// Ready workers, those of them taken out as a whole, and their sizes and slowness summed up.
    pub ready: usize,
    pub tripped: usize,
    pub size: f64,
    pub slow: f64,
    /// Workers that ever served, ready or not, and the most that each bore, summed up.
    pub bearing: usize,
    pub borne: f64,
}

impl Totals {
    pub(crate) fn include(&mut self, w: &Worker) {
        if w.ready {
            self.ready += 1;
            self.tripped += usize::from(w.whole.tripped);
            self.size += w.size;
            self.slow += w.slow;
        }
        self.bearing += usize::from(w.borne > 0.0);
        self.borne += w.borne;
    }
    pub(crate) fn exclude(&mut self, w: &Worker) {
        if w.ready {
            self.ready -= 1;
            self.tripped -= usize::from(w.whole.tripped);
            self.size -= w.size;
            self.slow -= w.slow;
        }
        self.bearing -= usize::from(w.borne > 0.0);
        self.borne -= w.borne;
    }
}

/// What is believed of a function's copies at a worker.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    /// The worker's epoch that this is of.
    pub epoch: u64,
    /// One of the homes that share the function.
    pub home: bool,
    /// Copies last known to stand.
    pub n: u32,
    /// Last proof, use or renewal.
    pub used: Time,
    /// Last word of any kind, also that none stands.
    pub known: Time,
    /// Own attempts out there.
    pub out: u32,
    /// Other front ends' requests there, from crowd marks.
    pub foreign: f64,
    /// Orders in hand: when sent, copies wanted (0: only asked).
    pub orders: Vec<(Time, u32)>,
}

impl Copies {
    /// Copies that the orders in hand lead to.
    pub(crate) fn coming(&self) -> u32 {
        self.orders.iter().map(|o| o.1).max().unwrap_or(0)
    }
    /// Takes out the order sent nearest to this time.
    pub(crate) fn take_order(&mut self, sent: Time) -> Option<u32> {
        let at = (0..self.orders.len()).min_by_key(|&i| self.orders[i].0.abs_diff(sent))?;
        Some(self.orders.remove(at).1)
    }
}

/// A function, as told and as seen.
#[derive(Debug, Default)]
pub(crate) struct Function {
    pub name: FunctionId,
    pub class: usize,
    pub memory: f64,
    pub lanes: u32,
    /// Load time: told, then observed.
    pub load: f64,
    /// Mean service time, and its low quantile; 0: unknown.
    pub mean: f64,
    pub quick: f64,
    /// Length of a bin, the bins (the last one is still filling) and its number.
    pub step: Span,
    pub bins: VecDeque<f64>,
    pub bin: u64,
    /// Uses, slowly forgotten, and the last.
    pub uses: Decay,
    pub used: Time,
    /// Errors before anything was served, and the last.
    pub errors: u32,
    pub erred: Time,
    pub last_loads: f64,
    pub held: Vec<RequestId>,
    /// Boxed, since most functions have one, and a node of the map has room for eleven.
    pub copies: BTreeMap<WorkerId, Box<Copies>>,
    /// The first workers in its own order, and the cells they are of as these stood then; 0 where none are kept.
    pub homes: Vec<WorkerId>,
    pub cells: u64,
    /// Change of the index of cells at which these were last looked up, and of the epochs, for its copies.
    pub listed: u64,
    pub settled: u64,
    /// How many of the homes share it among front ends.
    pub spread: usize,
    pub had: usize,
    /// As many as crowd marks ask for.
    pub reach: f64,
    /// When its next step is planned; 0 while it rests.
    pub plan_at: Time,
    /// How many of its held requests are in the count of all.
    pub counted: usize,
}

impl Function {
    /// Blends an observed load time in; the change of what is expected.
    pub(crate) fn observe_load(&mut self, sample: f64, gain: f64) -> f64 {
        let before = self.load;
        blend(&mut self.load, sample, gain);
        self.load - before
    }
    /// Brings the bins up to now; before the first there was silence since `began`. True when one began.
    pub(crate) fn roll(&mut self, now: Time, began: Time, keep: u64) -> bool {
        let bin = now / self.step;
        let first = self.bins.is_empty();
        let new = if first { (now - began) / self.step + 1 } else { bin - self.bin };
        self.bins.extend((0..new.min(keep + 1)).map(|_| 0.0));
        while self.bins.len() as u64 > keep + 1 {
            self.bins.pop_front();
        }
        self.bin = bin;
        new > 0
    }
    /// Books an arrival in the bin that is filling.
    pub(crate) fn count(&mut self, now: Time, began: Time, keep: u64) {
        self.roll(now, began, keep);
        if let Some(filling) = self.bins.back_mut() {
            *filling += 1.0;
        }
    }
}

/// An attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub sent: Time,
    /// Own attempts for the function there before it.
    pub own: u32,
    /// It is overdue after this.
    pub expected: Span,
    pub out: bool,
    pub never_ran: bool,
    /// Its end says nothing of too much work: the next one costs no retry.
    pub free: bool,
    /// Its silence is booked.
    pub overdue: bool,
    pub called_off: bool,
}

/// What an answer says.
#[derive(Clone, Copy)]
pub(crate) struct Told {
    pub outcome: Outcome,
    pub last: bool,
    pub lag: Span,
    pub mark: CopyMark,
    pub crowd: Option<u32>,
    /// Own attempts for the function there before it, and time since it was sent by this clock.
    pub own: u32,
    pub waited: Span,
}

/// What the end of a load order says.
#[derive(Clone, Copy)]
pub(crate) struct Loaded {
    pub outcome: Outcome,
    pub copies: u32,
    pub lag: Span,
}

/// What to do with a request now.
pub(crate) enum Choice {
    Send(WorkerId),
    Load(WorkerId),
    Wait,
}

/// A request that is not forgotten yet.
#[derive(Debug)]
pub(crate) struct Open {
    pub id: RequestId,
    pub function: usize,
    pub class: usize,
    pub tenant: usize,
    pub due: Time,
    pub since: Time,
    pub over: bool,
    pub stream: bool,
    /// A client's repeat.
    pub retry: bool,
    pub attempts: Vec<Attempt>,
}

impl Open {
    pub(crate) fn new(function: usize, r: &Request, since: Time) -> Self {
        let (class, tenant, due) = (r.class, r.tenant, r.due);
        Open {
            id: r.id.clone(),
            function,
            class,
            tenant,
            due,
            since,
            over: false,
            stream: false,
            retry: r.retry,
            attempts: Vec::new(),
        }
    }
    pub(crate) fn kinds(&self) -> [Kind; 2] {
        [Kind::Tenant(self.tenant), Kind::Class(self.class)]
    }
}

/// When the lane frees that serves the one with so many `ahead` of it: each serves one and is taken for `each` more.
pub(crate) fn turn(mut frees: Vec<f64>, ahead: usize, each: f64) -> f64 {
    let mut wait = f64::INFINITY;
    for _ in 0..=ahead {
        let Some(n) = (0..frees.len()).min_by(|&a, &b| frees[a].total_cmp(&frees[b])) else { break };
        wait = frees[n];
        frees[n] += each;
    }
    wait
}

/// Moves a running mean towards a sample; the first sample is taken whole.
pub(crate) fn blend(mean: &mut f64, sample: f64, gain: f64) {
    *mean += if *mean == 0.0 { sample } else { gain * (sample - *mean) };
}
