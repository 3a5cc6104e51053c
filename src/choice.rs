//! Every decision of badgerwind. The types it speaks in are in `src/interface.rs`.
//!
//! Each front end runs one [`Router`]. It forecasts each function's arrivals, plans loads and drops by a short
//! horizon cost search, holds requests for warm lanes that free soon, and keeps the five rules by itself. The
//! design follows "Taming Cold Starts: Proactive Serverless Scheduling with Model Predictive Control"; what was
//! kept and changed is told in docs/design.md. Sections follow a request: constants, forecast, horizon search,
//! state, list, arrival, choice of worker, attempts and rules, answers, health, loads, the regular sweep.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// ---- Constants. Times derive from settings and observations; these are shares and counts. ----

/// Steps in a load time: Δt = load time / this. Finer steps cost CPU, coarser ones load late.
const STEPS_PER_LOAD: u64 = 4;
/// Bins of arrivals kept for the forecast (eight load times).
const BINS: usize = 32;
/// Fewer bins than this give a plain mean: a trend through so few would run wild.
const MIN_BINS: usize = 8;
/// Harmonics k in the forecast.
const HARMONICS: usize = 2;
/// Clip of the forecast: mean + this many σ.
const CLIP_SIGMA: f64 = 1.5;
/// A trend or harmonic counts when its power is this many times the mean residual power (else it is noise).
const SIGNIFICANT: f64 = 9.0;
/// Horizon steps beyond the load delay D.
const BEYOND: usize = 8;
/// Longest D in steps; a slower store is planned for as if this slow.
const MAX_DELAY: usize = 12;
/// Most loads planned a step for a function (x ≤ this).
const STEP_CAP: u32 = 3;
/// Cost of a load beside the fetch price, in requests' worth: the store and the cores it takes from others.
const LOAD_COST: f64 = 0.4;
/// Cost of an unused lane for a step before the memory price, in requests' worth.
const IDLE_COST: f64 = 0.0005;
/// Smoothness weights ρ1 and ρ2, in requests' worth.
const SMOOTH_W: f64 = 0.002;
/// See [`SMOOTH_W`].
const SMOOTH_X: f64 = 0.01;
/// Share of the order budget open to loads ahead; the rest is kept for requests that wait.
const AHEAD_SHARE: f64 = 0.6;
/// Weight of a new sample in running means.
const GAIN: f64 = 0.1;
/// Health: weight of an outcome, share of failures that takes a worker out, and that lets it back.
const FAIL_GAIN: f64 = 0.2;
/// See [`FAIL_GAIN`]: two failures in a row, or a lasting share above it.
const TRIP: f64 = 0.3;
/// See [`FAIL_GAIN`].
const CLOSE: f64 = 0.12;
/// An attempt is overdue after this many times its expected time.
const OVERDUE: u64 = 3;
/// A worker's limit of own attempts before anything is known of it; it only binds once cut.
const FREE_LIMIT: f64 = 64.0;
/// What a full or late answer leaves of the attempts out as the limit.
const CUT: f64 = 0.7;
/// Held requests for each worker from which there is too little for all.
const PRESSED: usize = 1;
/// Share of the cold budget (multiple x capacity x window) that all front ends together plan to use.
const COLD_SHARE: f64 = 0.4;
/// Own loads in hand at one worker; workers run a few at a time and turn the rest away.
const WORKER_LOADS: u32 = 3;
/// A copy is renewed when so many uses are expected within another keep-alive.
const RENEW_USES: f64 = 0.4;
/// Beliefs proven false together, on several workers, that withdraw trust from all older ones.
const SURPRISES: usize = 3;

// ---- Forecast: quadratic trend + k harmonics, clipped. ----

/// Expected arrivals in each of the next `steps` bins, from the bins before.
pub fn forecast(bins: &[f64], steps: usize) -> Vec<f64> {
    let n = bins.len();
    if n == 0 {
        return vec![0.0; steps];
    }
    let mean = bins.iter().sum::<f64>() / n as f64;
    let var = bins.iter().map(|y| (y - mean).powi(2)).sum::<f64>() / n as f64;
    if n < MIN_BINS || var < 1e-9 {
        // One early arrival is no rate: a short history is filled up with silence.
        return vec![mean * n as f64 / n.max(2 * MIN_BINS) as f64; steps];
    }
    // Least squares on orthogonal polynomials of the centred bin number, each kept only where it stands out.
    let half = (n as f64 - 1.0) / 2.0;
    let square = (n as f64 * n as f64 - 1.0) / 12.0;
    let basis: [Box<dyn Fn(f64) -> f64>; 2] = [Box::new(|t| t), Box::new(move |t| t * t - square)];
    let mut rest: Vec<f64> = bins.iter().map(|y| y - mean).collect();
    let mut trend = [0.0; 2];
    for (power, p) in basis.iter().enumerate() {
        let norm: f64 = (0..n).map(|i| p(i as f64 - half).powi(2)).sum();
        let c = (0..n).map(|i| rest[i] * p(i as f64 - half)).sum::<f64>() / norm;
        let left = rest.iter().map(|y| y * y).sum::<f64>() - c * c * norm;
        if c * c * norm > SIGNIFICANT * left.max(0.0) / n as f64 {
            trend[power] = c;
            rest.iter_mut().enumerate().for_each(|(i, y)| *y -= c * p(i as f64 - half));
        }
    }
    let power = rest.iter().map(|y| y * y).sum::<f64>() / n as f64;
    let mut waves: Vec<(f64, f64, f64, f64)> = (1..=n / 2)
        .map(|f| {
            let angle = std::f64::consts::TAU * f as f64 / n as f64;
            let (mut re, mut im) = (0.0, 0.0);
            for (i, y) in rest.iter().enumerate() {
                re += y * (angle * i as f64).cos();
                im += y * (angle * i as f64).sin();
            }
            let scale = if 2 * f == n { 1.0 } else { 2.0 } / n as f64;
            (re * re + im * im, angle, re * scale, im * scale)
        })
        .filter(|w| 2.0 * w.0 / (n as f64).powi(2) > SIGNIFICANT * power / n as f64)
        .collect();
    waves.sort_by(|a, b| b.0.total_cmp(&a.0));
    waves.truncate(HARMONICS);
    // σ of rates over a load time each: single bins of a rare function are all noise.
    let blocks: Vec<f64> =
        bins.chunks(STEPS_PER_LOAD as usize).map(|b| b.iter().sum::<f64>() / b.len() as f64).collect();
    let sigma = (blocks.iter().map(|r| (r - mean).powi(2)).sum::<f64>() / blocks.len() as f64).sqrt();
    let top = mean + CLIP_SIGMA * sigma;
    (n..n + steps)
        .map(|i| {
            let t = i as f64 - half;
            let line = mean + trend[0] * basis[0](t) + trend[1] * basis[1](t);
            let wave: f64 =
                waves.iter().map(|w| w.2 * (w.1 * i as f64).cos() + w.3 * (w.1 * i as f64).sin()).sum();
            (line + wave).max(0.0).min(top)
        })
        .collect()
}

// ---- Horizon search: loads x and drops r of least cost; the first step acts. ----

/// A function's outlook over the horizon, in steps.
#[derive(Clone, Debug, Default)]
pub struct Horizon {
    /// λ: expected own arrivals in each step.
    pub arrivals: Vec<f64>,
    /// Requests held now.
    pub queue: f64,
    /// w: warm copies now.
    pub warm: f64,
    /// Copies that become ready (loads in hand) less those that age out, in each step.
    pub change: Vec<f64>,
    /// Lanes taken by other front ends' requests.
    pub foreign: f64,
    /// Lanes of a copy.
    pub lanes: f64,
    /// L_warm in steps.
    pub service: f64,
    /// D: steps from an order to a warm copy.
    pub delay: usize,
    /// α(L_cold + L_warm): worth lost by a request that meets no warm lane.
    pub cold_pain: f64,
    /// βL_warm: worth lost by a request that queues for a step.
    pub wait_pain: f64,
    /// δ: cost of a load.
    pub load_cost: f64,
    /// γ: cost of an unused lane for a step.
    pub idle_cost: f64,
    /// η: reward of a drop.
    pub drop_reward: f64,
    /// Most loads a step.
    pub cap: u32,
    /// Most copies (wmax).
    pub most: f64,
    /// Loads ordered in the step before.
    pub last_loads: f64,
}

/// E[(N - lanes)+] for N ~ Poisson(mean): arrivals that find no lane even when the mean would fit.
fn shortage(mean: f64, lanes: f64) -> f64 {
    let (mut p, mut short) = ((-mean.min(600.0)).exp(), mean - lanes);
    for n in 0..(lanes.max(0.0).ceil() as u32).min(1000) {
        short += p * (lanes - f64::from(n)).max(0.0);
        p *= mean / f64::from(n + 1);
    }
    short.max(0.0)
}

/// The cost of a plan of loads `x` and of `r` drops in the first step.
pub fn cost(h: &Horizon, x: &[u32], r: u32) -> f64 {
    let (mut w, mut q, mut last_x) = (h.warm - f64::from(r), h.queue, h.last_loads);
    let mut sum = -h.drop_reward * f64::from(r) + SMOOTH_W * f64::from(r).powi(2);
    for k in 0..h.arrivals.len() {
        let ready = if k >= h.delay { f64::from(x[k - h.delay]) } else { 0.0 };
        let step = h.change.get(k).copied().unwrap_or(0.0) + ready;
        w = (w + step).max(0.0);
        let (free, load) = ((w * h.lanes - h.foreign).max(0.0), h.arrivals[k] * h.service);
        let short = shortage(load, free) / h.service.max(0.1);
        q = (q + h.arrivals[k] - free / h.service.max(0.1)).max(0.0);
        // Beside lanes at work, one that finds none waits for the sooner of a load and a lane.
        let pain = if free < 1.0 { h.cold_pain } else { h.cold_pain.min(h.wait_pain * (1.0 + load / free)) };
        sum += pain * short + h.wait_pain * q + h.load_cost * f64::from(x[k]);
        sum += h.idle_cost * (free - load).max(0.0);
        sum += SMOOTH_W * step * step + SMOOTH_X * (f64::from(x[k]) - last_x).powi(2);
        sum += if w > h.most { 1e3 * (w - h.most) } else { 0.0 };
        last_x = f64::from(x[k]);
    }
    sum
}

/// Greedy search: adds the load that saves most until none saves, else tries drops. Returns (loads, drops) now.
pub fn plan(h: &Horizon) -> (u32, u32) {
    let steps = h.arrivals.len();
    let mut x = vec![0; steps];
    let mut best = cost(h, &x, 0);
    for _ in 0..2 * h.cap {
        let mut pick = None;
        for k in 0..steps.saturating_sub(h.delay) {
            x[k] += 1;
            if x[k] <= h.cap {
                let c = cost(h, &x, 0);
                if c < best - 1e-9 {
                    (best, pick) = (c, Some(k));
                }
            }
            x[k] -= 1;
        }
        match pick {
            Some(k) => x[k] += 1,
            None => break,
        }
    }
    if x.iter().any(|&n| n > 0) {
        return (x.first().copied().unwrap_or(0), 0);
    }
    let mut drops = 0;
    while f64::from(drops) < h.warm && cost(h, &x, drops + 1) < best - 1e-9 {
        drops += 1;
        best = cost(h, &x, drops);
    }
    (0, drops)
}

// ---- State. ----

#[derive(Debug)]
struct Worker {
    zone: u32,
    cell: u32,
    kind: u32,
    size: f64,
    ready: bool,
    born: Option<Time>,
    /// Start of its warming up, as told or as seen.
    cold_at: Option<Time>,
    /// Own attempts out.
    out: u32,
    /// Own loads in hand.
    loads: u32,
    /// Observed service time over what its functions take elsewhere.
    slow: f64,
    /// Running share of failures.
    fails: f64,
    /// Taken out; from `retry_at` a trickle goes in.
    tripped: bool,
    retry_at: Time,
    backoff: Span,
    /// Last sign of life.
    heard: Time,
    full_until: Time,
    /// Most own attempts out: cut when it turns away or answers late, grown by answers in time.
    limit: f64,
    cut_at: Time,
    no_load_until: Time,
    /// Own sends in the last fall window, for the cold budget.
    sends: VecDeque<Time>,
}

/// What is believed of a function's copies at a worker.
#[derive(Debug, Default)]
struct Copies {
    /// Copies last known to stand.
    n: u32,
    /// Last proof, use or renewal.
    used: Time,
    /// Last word of any kind, also that none stands.
    known: Time,
    /// Own attempts out there.
    out: u32,
    /// Other front ends' requests there, from crowd marks.
    foreign: f64,
    /// Orders in hand: when sent, copies wanted.
    orders: Vec<(Time, u32)>,
}

#[derive(Debug)]
struct Function {
    name: FunctionId,
    class: usize,
    memory: f64,
    lanes: u32,
    /// Load time: told, then observed.
    load: f64,
    /// Mean service time, and its low quantile for μ; 0: unknown.
    mean: f64,
    quick: f64,
    step: Span,
    bins: VecDeque<f64>,
    bin: u64,
    /// Uses a keep-alive, slowly forgotten.
    uses: f64,
    uses_at: Time,
    last_loads: f64,
    held: Vec<RequestId>,
    copies: BTreeMap<WorkerId, Copies>,
}

#[derive(Debug)]
struct Attempt {
    worker: WorkerId,
    sent: Time,
    /// Own attempts for the function there before it.
    own: u32,
    /// It may outlast this before it is overdue.
    expected: Span,
    out: bool,
    never_ran: bool,
    called_off: bool,
}

#[derive(Debug)]
struct Open {
    function: usize,
    class: usize,
    tenant: usize,
    due: Time,
    since: Time,
    over: bool,
    stream: bool,
    attempts: Vec<Attempt>,
}

enum Choice {
    Send(WorkerId),
    Load(WorkerId),
    Wait,
}

/// The decisions of one front end.
#[derive(Debug)]
pub struct Router {
    set: Settings,
    rng: fastrand::Rng,
    now: Time,
    sweep: Span,
    started: bool,
    began: Time,
    workers: BTreeMap<WorkerId, Worker>,
    functions: Vec<Function>,
    names: BTreeMap<FunctionId, usize>,
    open: BTreeMap<RequestId, Open>,
    arrivals: VecDeque<Time>,
    orders: VecDeque<Time>,
    /// Requests a second, slowly forgotten, in all and by tenant.
    rate: f64,
    rate_at: Time,
    tenant_rate: Vec<(f64, Time)>,
    class_mean: Vec<f64>,
    surprises: VecDeque<(Time, WorkerId)>,
    /// Beliefs older than this are not trusted.
    trust_from: Time,
    listed_at: Time,
    logged_at: Time,
}

impl Worker {
    /// Adaptive limit: what it could not take in time is taken from it, once in a while at most.
    fn cut(&mut self, now: Time, pause: Span) {
        if now >= self.cut_at + pause {
            self.limit = (f64::from(self.out + 1) * CUT).min(self.limit).max(1.0);
            self.cut_at = now;
        }
    }
}

impl Router {
    /// A router that knows nothing but its settings.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let aim = settings.classes.iter().map(|c| c.aim).filter(|&a| a > 0).min();
        let sweep = (aim.unwrap_or(settings.keep_alive) / 16).max(2 * settings.round).max(1000);
        Router {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            sweep,
            started: false,
            began: 0,
            workers: BTreeMap::new(),
            functions: Vec::new(),
            names: BTreeMap::new(),
            open: BTreeMap::new(),
            arrivals: VecDeque::new(),
            orders: VecDeque::new(),
            rate: 0.0,
            rate_at: 0,
            tenant_rate: vec![(0.0, 0); settings.tenants.len()],
            class_mean: vec![0.0; settings.classes.len()],
            surprises: VecDeque::new(),
            trust_from: 0,
            listed_at: 0,
            logged_at: 0,
            set: settings,
        }
    }

    /// Takes in an event and adds what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.began = self.now;
            let after = 1 + self.rng.u64(0..self.sweep);
            out.push(Action::SetAlarm { after, name: "sweep".into() });
            if self.set.discovery == Discovery::Ask {
                out.push(Action::Subscribe { on: true });
            }
        }
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries),
            Event::Request(request) => self.on_request(request, out),
            Event::StreamBegan { id, attempt } => self.on_stream(&id, attempt),
            Event::Answer { id, attempt, outcome, last, lag, mark, crowd, .. } => {
                self.on_answer(&id, attempt, outcome, last, (lag, mark, crowd), out)
            }
            Event::ClientGone { id } => self.end(&id, out),
            Event::Alarm { name } if &*name == "sweep" => self.on_sweep(out),
            Event::Loaded { worker, function, outcome, copies, lag } => {
                self.on_loaded(worker, &function, outcome, copies, lag, out)
            }
            Event::Alarm { .. } | Event::Probed { .. } | Event::Message { .. } => {}
        }
    }

    // ---- The list of workers. ----

    fn on_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        if kind == ListKind::Failed {
            return;
        }
        self.listed_at = self.now;
        if kind != ListKind::Changes {
            self.workers.values_mut().for_each(|w| w.ready = false);
        }
        for e in entries {
            let (now, warm_after) = (self.now, self.set.warm_after);
            let w = self.workers.entry(e.worker).or_insert_with(|| Worker {
                zone: e.zone,
                cell: e.cell,
                kind: e.kind,
                size: e.size.max(0.01),
                ready: false,
                born: e.born,
                cold_at: e.born,
                out: 0,
                loads: 0,
                slow: 1.0,
                fails: 0.0,
                tripped: false,
                retry_at: 0,
                backoff: 0,
                heard: now,
                full_until: 0,
                limit: FREE_LIMIT,
                cut_at: 0,
                no_load_until: 0,
                sends: VecDeque::new(),
            });
            (w.zone, w.cell, w.kind, w.size) = (e.zone, e.cell, e.kind, e.size.max(0.01));
            w.ready = e.availability == Availability::Ready;
            // A new start, however it was announced: empty and cold from then on.
            let restarted = e.born != w.born && e.born.is_some();
            if restarted {
                (w.born, w.cold_at) = (e.born, e.born.max(w.cold_at));
                w.tripped = false;
                w.fails = 0.0;
            }
            if w.cold_at.is_some_and(|t| t + warm_after <= now) {
                w.cold_at = None;
            }
            if restarted || e.availability == Availability::Gone {
                self.forget_copies(e.worker);
            }
        }
    }

    fn forget_copies(&mut self, worker: WorkerId) {
        for f in &mut self.functions {
            if let Some(c) = f.copies.get_mut(&worker) {
                (c.n, c.known, c.foreign) = (0, self.now, 0.0);
            }
        }
    }

    // ---- A request arrives. ----

    fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        let now = self.now;
        self.arrivals.push_back(now);
        let keep = self.keep();
        self.rate = self.rate * (-((now - self.rate_at) as f64) / keep).exp() + 1e6 / keep;
        self.rate_at = now;
        if let Some((rate, at)) = self.tenant_rate.get_mut(r.tenant) {
            // Judged over a fraction of the keep-alive, so that a flood shows soon.
            let span = keep / 4.0;
            *rate = *rate * (-((now - *at) as f64) / span).exp() + 1e6 / span;
            *at = now;
        }
        let f = self.function(&r);
        let known = self.functions[f].uses_at > 0;
        self.count(f);
        let open = Open {
            function: f,
            class: r.class,
            tenant: r.tenant,
            due: r.due,
            since: now,
            over: false,
            stream: false,
            attempts: Vec::new(),
        };
        if self.open.contains_key(&r.id) {
            return;
        }
        self.open.insert(r.id.clone(), open);
        if !known && self.set.may_order {
            // The first sight of a function: ask its likely homes what stands there. A restart that lost the
            // tally is over for a function in one round trip, whatever loaded the copies.
            for w in self.homes(f).into_iter().skip(1).take(2) {
                out.push(Action::Load { worker: w, function: r.function.clone(), copies: 0 });
                let order = (self.now, 0);
                self.functions[f].copies.entry(w).or_default().orders.push(order);
            }
        }
        self.functions[f].held.push(r.id);
        self.dispatch(f, out);
    }

    fn keep(&self) -> f64 {
        self.set.keep_alive.max(self.sweep) as f64
    }

    fn function(&mut self, r: &Request) -> usize {
        if let Some(&f) = self.names.get(&r.function) {
            self.functions[f].memory = r.memory_mb;
            self.functions[f].lanes = r.lanes.max(1);
            return f;
        }
        let known = self.functions.iter().map(|f| f.load).sum::<f64>() / self.functions.len().max(1) as f64;
        let guess = if known > 0.0 { known } else { self.keep() / 12.0 };
        let load = r.load_time.map_or(guess, |t| t as f64).max(self.sweep as f64);
        self.names.insert(r.function.clone(), self.functions.len());
        self.functions.push(Function {
            name: r.function.clone(),
            class: r.class,
            memory: r.memory_mb,
            lanes: r.lanes.max(1),
            load,
            mean: 0.0,
            quick: 0.0,
            step: (load as u64 / STEPS_PER_LOAD).max(1),
            bins: VecDeque::new(),
            bin: 0,
            uses: 0.0,
            uses_at: 0,
            last_loads: 0.0,
            held: Vec::new(),
            copies: BTreeMap::new(),
        });
        self.functions.len() - 1
    }

    /// Books an arrival in its bin.
    fn count(&mut self, f: usize) {
        let (now, keep) = (self.now, self.keep());
        self.roll(f);
        let f = &mut self.functions[f];
        if let Some(last) = f.bins.back_mut() {
            *last += 1.0;
        }
        f.uses = f.uses * (-((now - f.uses_at) as f64) / (2.0 * keep)).exp() + 0.5;
        f.uses_at = now;
    }

    /// Brings a function's bins up to now; the last one is still filling. True when a new one began.
    fn roll(&mut self, f: usize) -> bool {
        let f = &mut self.functions[f];
        let bin = self.now / f.step;
        if f.bins.is_empty() {
            // Since this front end began it has seen none: that silence is history too.
            let silent = ((self.now - self.began) / f.step).min(BINS as u64);
            f.bins.extend((0..=silent).map(|_| 0.0));
            f.bin = bin;
            return true;
        }
        let new = bin - f.bin;
        for _ in 0..new.min(BINS as u64 + 1) {
            f.bins.push_back(0.0);
            if f.bins.len() > BINS + 1 {
                f.bins.pop_front();
            }
        }
        f.bin = bin;
        new > 0
    }

    // ---- The choice of a worker. ----

    /// Workers in the function's own order (rendezvous hash of name and id): front ends that share nothing agree
    /// on it, so their copies meet.
    fn homes(&self, f: usize) -> Vec<WorkerId> {
        let name = self.functions[f].name.bytes();
        let seed =
            name.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
        let mut order: Vec<(f64, WorkerId)> = self
            .workers
            .iter()
            .filter(|(_, w)| w.ready)
            .map(|(&id, w)| {
                let mut h = seed ^ u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                h = (h ^ (h >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
                h = (h ^ (h >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
                let unit = ((h ^ (h >> 32)) >> 11) as f64 / (1u64 << 53) as f64;
                (-(unit.max(1e-12)).ln() / w.size, id)
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Copies believed warm: proven within the keep-alive and not before trust was withdrawn.
    fn warm(&self, f: usize, worker: WorkerId) -> u32 {
        match self.functions[f].copies.get(&worker) {
            Some(c) if c.used + self.set.keep_alive > self.now && c.used >= self.trust_from => c.n,
            _ => 0,
        }
    }

    fn capacity(&self, w: &Worker) -> f64 {
        let Some(at) = w.cold_at else { return 1.0 };
        let age = self.now.saturating_sub(at) as f64 / self.set.warm_after.max(1) as f64;
        (self.set.cold_from + (1.0 - self.set.cold_from) * age).min(1.0)
    }

    /// Rule 4: this front end's share of what a cold worker may be sent in a window. What warm workers bear is
    /// taken for what it could do warm.
    fn cold_room(&self, w: &Worker) -> bool {
        let capacity = self.capacity(w);
        if capacity >= 1.0 {
            return true;
        }
        let sizes: f64 = self.workers.values().filter(|w| w.ready).map(|w| w.size).sum();
        let window = self.set.fall_window as f64 / 1e6;
        let bears = self.rate * w.size / sizes.max(w.size);
        let budget = bears * capacity * window * self.set.fall_multiple * COLD_SHARE;
        let from = self.now.saturating_sub(self.set.fall_window);
        (w.sends.iter().filter(|&&t| t >= from).count() as f64) < budget.max(1.0).floor()
    }

    /// More than half of the fleet taken out: then the evidence is of something else, and all are used.
    fn all_bad(&self) -> bool {
        let ready = self.workers.values().filter(|w| w.ready);
        let (all, bad) = ready.fold((0, 0), |(a, b), w| (a + 1, b + usize::from(w.tripped)));
        2 * bad > all
    }

    fn usable(&self, w: &Worker, effect: Effect) -> bool {
        let healthy = !w.tripped
            || self.all_bad()
            || (self.now >= w.retry_at && w.out == 0 && effect == Effect::Repeatable);
        let room = f64::from(w.out) < w.limit.max(1.0) && self.now >= w.full_until;
        w.ready && healthy && room && self.cold_room(w)
    }

    /// How busy a worker looks from here: slowness, own attempts and loads in hand by size.
    fn busy(&self, w: &Worker) -> f64 {
        w.slow * (1.0 + (f64::from(w.out) + f64::from(w.loads)) / (4.0 * w.size.max(0.1)))
    }

    fn service(&self, f: usize) -> f64 {
        let f = &self.functions[f];
        let class = self.class_mean.get(f.class).copied().unwrap_or(0.0);
        let aim = self.set.classes.get(f.class).map_or(self.sweep * 16, |c| c.aim) as f64;
        [f.mean, class, aim / 5.0].into_iter().find(|&m| m > 0.0).unwrap_or(1.0)
    }

    fn choose(&self, f: usize, id: &RequestId, ahead: usize) -> Choice {
        let fun = &self.functions[f];
        let open = &self.open[id];
        let class = self.set.classes.get(open.class);
        let effect = class.map_or(Effect::Once, |c| c.effect);
        let tried = |id: WorkerId| open.attempts.iter().any(|a| a.worker == id);
        let may = |id: WorkerId| {
            let w = &self.workers[&id];
            self.usable(w, effect) && self.may_send(open, id, w)
        };
        let (mean, aim) = (self.service(f), class.map_or(1, |c| c.aim.max(1)) as f64);
        // A warm lane believed free: the one that answers soonest; failures seen weigh as a share of the aim,
        // all of it where a failed request is lost.
        let mut best: Option<(f64, WorkerId)> = None;
        let mut frees: Vec<f64> = Vec::new();
        for (&id, c) in &fun.copies {
            let Some(w) = self.workers.get(&id).filter(|w| w.ready) else {
                continue;
            };
            for &(at, want) in c.orders.iter().filter(|o| o.1 > 0) {
                let ready = (at as f64 + fun.load - self.now as f64).max(fun.load / 4.0);
                let more = want.saturating_sub(self.warm(f, id)) * fun.lanes;
                frees.extend((0..more).map(|_| ready));
            }
            let lanes = self.warm(f, id) * fun.lanes;
            if lanes == 0 || !may(id) {
                continue;
            }
            let old = self.now.saturating_sub(c.known) as f64 / fun.load;
            let taken = f64::from(c.out) + c.foreign * (-old).exp();
            let time = mean * self.busy(w);
            if taken + 0.5 < f64::from(lanes) {
                let fails = w.fails * aim * if effect == Effect::Once { 1.0 } else { 0.3 };
                let cross = if w.zone == self.set.my_zone { 0.0 } else { self.set.zone_price * aim };
                let price = time + fails + cross + if tried(id) { aim } else { 0.0 };
                if best.is_none_or(|b| price < b.0) {
                    best = Some((price, id));
                }
            } else {
                let each = time / taken.max(1.0);
                frees.extend((1..=taken as u32).map(|i| each * f64::from(i)));
            }
        }
        if let Some((_, id)) = best {
            return Choice::Send(id);
        }
        // The turn of this request: each lane that frees serves one of those ahead first, then frees again.
        let mut wait = f64::INFINITY;
        for _ in 0..=ahead {
            let next = (0..frees.len()).min_by(|&a, &b| frees[a].total_cmp(&frees[b]));
            wait = next.map_or(f64::INFINITY, |n| frees[n]);
            if let Some(n) = next {
                frees[n] += mean;
            }
        }
        if self.now.saturating_sub(open.since) as f64 > 2.0 * fun.load {
            wait = f64::INFINITY; // held long enough on hopes
        }
        if wait <= fun.load {
            return Choice::Wait;
        }
        // No warm lane soon. The pick: the worker last found warm, else the first home; unless it is known cold.
        let homes = self.homes(f);
        let last = fun.copies.iter().filter(|(id, c)| c.n > 0 && may(**id) && c.out == 0 && !tried(**id));
        let last = last.max_by_key(|(_, c)| c.used).map(|(&id, _)| id);
        let known_cold = |id: &WorkerId| {
            let fresh = fun.load as u64 * 4;
            fun.copies.get(id).is_some_and(|c| c.n == 0 && c.known + fresh > self.now || c.out > 0)
        };
        let pick = last.or_else(|| homes.iter().take(2).find(|id| may(**id) && !tried(**id)).copied());
        let spare = self.set.max_attempts as usize > open.attempts.len() + 1;
        if let Some(id) = pick.filter(|id| !known_cold(id) && (spare || !self.set.may_order)) {
            return Choice::Send(id);
        }
        if self.set.may_order && self.order_room(1.0) {
            if let Some(id) = self.place(f) {
                return Choice::Load(id);
            }
        }
        // Nothing can be ordered: a request that has waited long joins the queue at a warm worker.
        let waited = self.now.saturating_sub(open.since) as f64 > fun.load;
        if waited || !self.set.may_order {
            let queue =
                fun.copies.iter().filter(|(id, c)| c.n > 0 && may(**id)).map(|(id, c)| (c.out, *id)).min();
            let any = || homes.iter().find(|id| may(**id)).copied();
            let load = self.set.when_absent == WhenAbsent::Load;
            if let Some(id) = queue.map(|q| q.1).or_else(|| any().filter(|_| load)) {
                return Choice::Send(id);
            }
        }
        Choice::Wait
    }

    /// The worker for a new copy: the less busy of the first two homes that hold none, or hold least.
    fn place(&self, f: usize) -> Option<WorkerId> {
        let fun = &self.functions[f];
        let fit = |id: &WorkerId| {
            let w = &self.workers[id];
            let healthy = !w.tripped || self.all_bad();
            healthy && self.now >= w.no_load_until && w.loads < WORKER_LOADS && self.capacity(w) > 0.5
        };
        let homes: Vec<WorkerId> = self.homes(f).into_iter().filter(fit).collect();
        let count = |id: &WorkerId| {
            let coming = fun.copies.get(id).map_or(0, |c| c.orders.iter().map(|o| o.1).max().unwrap_or(0));
            self.warm(f, *id).max(coming)
        };
        let least = homes.iter().map(count).min()?;
        let mut free = homes.iter().filter(|id| count(id) == least);
        let (first, second) = (free.next()?, free.next());
        // The first unless clearly busier, so that front ends with differing views still meet.
        match second {
            Some(s) if self.busy(&self.workers[s]) * 1.5 < self.busy(&self.workers[first]) => Some(*s),
            _ => Some(*first),
        }
    }

    /// Serves the held requests of a function, worthiest and most urgent first.
    fn dispatch(&mut self, f: usize, out: &mut Vec<Action>) {
        let mut held = std::mem::take(&mut self.functions[f].held);
        held.sort_by(|a, b| {
            let (x, y) = (&self.open[a], &self.open[b]);
            self.worth(y).total_cmp(&self.worth(x)).then(x.due.cmp(&y.due)).then(a.cmp(b))
        });
        let all_held: usize = self.functions.iter().map(|f| f.held.len()).sum();
        let pressed = all_held + held.len() > PRESSED * self.workers.len();
        let mut waiting = Vec::new();
        for id in held {
            if self.open[&id].due <= self.now + self.sweep + 2 * self.set.round {
                self.finish(&id, out);
                continue;
            }
            match self.choose(f, &id, waiting.len()) {
                Choice::Send(w) => self.send(&id, w, out),
                Choice::Load(w) => {
                    self.order(f, w, out);
                    waiting.push(id);
                }
                Choice::Wait
                    if pressed && self.over_share(&self.open[&id]) && self.may_refuse(&self.open[&id]) =>
                {
                    self.finish(&id, out); // too little for all: traffic over its share yields first
                }
                Choice::Wait => waiting.push(id),
            }
        }
        self.functions[f].held = waiting;
    }

    fn hold(&mut self, f: usize, id: &RequestId) {
        if !self.functions[f].held.contains(id) {
            self.functions[f].held.push(id.clone());
        }
    }

    fn worth(&self, open: &Open) -> f64 {
        let Some(class) = self.set.classes.get(open.class) else { return 0.0 };
        // One that can no longer make its aim yields to those that can.
        let late = self.now as f64 + self.service(open.function) > (open.since + class.aim) as f64;
        let worth = if late { class.worth * class.late_worth } else { class.worth };
        if self.over_share(open) {
            worth * self.set.over_share_worth
        } else {
            worth
        }
    }

    fn over_share(&self, open: &Open) -> bool {
        let quota = self.set.tenants.get(open.tenant).and_then(|t| t.quota_per_s);
        let rate = self.tenant_rate.get(open.tenant).map_or(0.0, |r| r.0);
        quota.is_some_and(|q| rate > q / f64::from(self.set.front_ends.max(1)))
    }

    // ---- Attempts and the rules that bind them. ----

    /// Rules 2 and 3: whether another attempt, to this worker, is allowed now.
    fn may_send(&self, open: &Open, worker: WorkerId, w: &Worker) -> bool {
        let Some(class) = self.set.classes.get(open.class) else {
            return open.attempts.is_empty();
        };
        if !w.ready
            || open.over
            || open.stream
            || open.attempts.len() >= self.set.max_attempts.max(1) as usize
        {
            return false;
        }
        let out = open.attempts.iter().filter(|a| a.out).count();
        if out > usize::from(self.set.may_duplicate) {
            return false;
        }
        let Some(first) = open.attempts.iter().find(|a| !a.never_ran) else {
            return true;
        };
        match class.effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::ByKey => {
                let same = self.workers.get(&first.worker).is_some_and(|o| match class.group {
                    Group::All => true,
                    Group::Zone => o.zone == w.zone,
                    Group::Cell => o.cell == w.cell || first.worker == worker,
                });
                same && self.now < first.sent + class.window.saturating_sub(2 * self.set.round)
            }
        }
    }

    fn may_refuse(&self, open: &Open) -> bool {
        let clean = open.attempts.iter().all(|a| a.never_ran);
        clean
            || self.set.classes.get(open.class).is_some_and(|c| match c.effect {
                Effect::Repeatable => true,
                Effect::ByKey => c.group == Group::All,
                Effect::Once => false,
            })
    }

    fn send(&mut self, id: &RequestId, worker: WorkerId, out: &mut Vec<Action>) {
        let f = self.open[id].function;
        let warm = self.warm(f, worker) > 0;
        let mean = self.service(f);
        let (Some(open), Some(w)) = (self.open.get_mut(id), self.workers.get_mut(&worker)) else {
            return;
        };
        let load = if warm { 0.0 } else { self.functions[f].load };
        let expected = (mean * w.slow.max(1.0) * OVERDUE as f64 + load) as Span;
        w.out += 1;
        w.sends.push_back(self.now);
        let c = self.functions[f].copies.entry(worker).or_default();
        let (sent, own) = (self.now, c.out);
        let attempt = Attempt { worker, sent, own, expected, out: true, never_ran: false, called_off: false };
        open.attempts.push(attempt);
        c.out += 1;
        if warm {
            c.used = self.now.max(c.used);
        }
        out.push(Action::Send { id: id.clone(), worker, timeout: None });
    }

    /// The final answer for a request that cannot be served.
    fn finish(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(id).filter(|o| !o.over && !o.stream) else {
            return;
        };
        out.push(if self.may_refuse(open) {
            Action::Refuse { id: id.clone(), retry_after: None }
        } else {
            Action::Fail { id: id.clone() }
        });
        self.end(id, out);
    }

    /// A request is over: attempts still out are called off, and it is forgotten once they have ended.
    fn end(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(id) else { return };
        open.over = true;
        let f = open.function;
        let cancel = self.set.may_cancel;
        for (n, a) in open.attempts.iter_mut().enumerate().filter(|(_, a)| a.out && !a.called_off) {
            a.called_off = true;
            if cancel {
                out.push(Action::Cancel { id: id.clone(), attempt: n as u32 });
            }
        }
        if open.attempts.iter().all(|a| !a.out) {
            self.open.remove(id);
        }
        self.functions[f].held.retain(|h| h != id);
    }

    fn on_stream(&mut self, id: &RequestId, attempt: u32) {
        let now = self.now;
        if let Some(open) = self.open.get_mut(id) {
            open.stream = true;
            if let Some(w) = open.attempts.get(attempt as usize).and_then(|a| self.workers.get_mut(&a.worker))
            {
                w.heard = now;
            }
        }
    }

    // ---- Answers. ----

    fn on_answer(
        &mut self,
        id: &RequestId,
        attempt: u32,
        outcome: Outcome,
        last: bool,
        (lag, mark, crowd): (Span, CopyMark, Option<u32>),
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(id) else { return };
        let f = open.function;
        let Some(a) = open.attempts.get_mut(attempt as usize).filter(|a| a.out) else {
            return;
        };
        a.out = false;
        a.never_ran =
            matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss);
        let (worker, sent, called_off, own) = (a.worker, a.sent, a.called_off, a.own);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.out = w.out.saturating_sub(1);
        }
        if let Some(c) = self.functions[f].copies.get_mut(&worker) {
            c.out = c.out.saturating_sub(1);
        }
        let crowd = crowd.map(|c| f64::from(c.saturating_sub(own)));
        self.learn(f, worker, sent, outcome, (lag, mark, crowd), called_off);
        let open = &self.open[id];
        if last || open.over || open.stream {
            self.end(id, out);
        } else if !open.attempts.iter().any(|a| a.out) {
            let again = self.workers.iter().any(|(&n, w)| self.may_send(open, n, w));
            if again && open.due > self.now + self.sweep + 2 * self.set.round {
                self.hold(f, id);
                if outcome == Outcome::Miss && self.set.may_order && self.order_room(1.0) {
                    let coming = self.functions[f].copies.values().any(|c| c.orders.iter().any(|o| o.1 > 0));
                    let fit =
                        self.workers.get(&worker).is_some_and(|w| w.ready && self.now >= w.no_load_until);
                    if !coming && fit {
                        self.order(f, worker, out); // the design: one more copy where it was missed
                    }
                }
            } else {
                self.finish(id, out);
            }
        }
        self.dispatch(f, out);
    }

    /// What an outcome tells of the worker, of the copies there and of the function.
    fn learn(
        &mut self,
        f: usize,
        worker: WorkerId,
        sent: Time,
        outcome: Outcome,
        (lag, mark, crowd): (Span, CopyMark, Option<f64>),
        called_off: bool,
    ) {
        let now = self.now;
        let believed = self.warm(f, worker) > 0;
        let mean_slow = self.mean_slow();
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        let fun = &mut self.functions[f];
        let Some(c) = fun.copies.get_mut(&worker) else {
            return;
        };
        if !matches!(outcome, Outcome::Timeout | Outcome::Cancelled | Outcome::Moot | Outcome::ConnectFailed)
        {
            w.heard = now;
        }
        let mut surprised = false;
        match outcome {
            Outcome::Ok => {
                self.pass(worker);
                let fun = &mut self.functions[f];
                let Some(w) = self.workers.get_mut(&worker) else {
                    return;
                };
                let Some(c) = fun.copies.get_mut(&worker) else {
                    return;
                };
                let cold = matches!(mark, CopyMark::BeganLoad | CopyMark::WaitedForLoad);
                let aim = self.set.classes.get(fun.class).map_or(Span::MAX, |c| c.aim);
                if lag > aim && !cold {
                    w.cut(now, self.sweep);
                } else {
                    w.limit = (w.limit + 1.0 / w.limit.max(1.0)).min(FREE_LIMIT);
                }
                c.n = match mark {
                    CopyMark::BeganLoad if believed => c.n + 1,
                    _ => c.n.max(1),
                };
                (c.used, c.known) = (now, now);
                if let Some(others) = crowd {
                    c.foreign += 0.3 * (others - c.foreign);
                }
                surprised = mark == CopyMark::BeganLoad && believed && c.out == 0;
                if cold {
                    if mark == CopyMark::BeganLoad {
                        let load = lag as f64 - fun.mean;
                        fun.load += 0.2 * (load.max(fun.load / 4.0) - fun.load);
                    }
                } else {
                    let (time, rel) = (lag as f64, w.slow / mean_slow);
                    let base = if fun.mean > 0.0 { fun.mean } else { time / rel };
                    w.slow += GAIN * ((time / base).clamp(0.2, 8.0) * mean_slow.min(1.5) - w.slow);
                    fun.mean = base + GAIN * (time / rel - base);
                    let up = if time < fun.quick || fun.quick == 0.0 { 0.3 } else { 0.05 };
                    fun.quick += if fun.quick == 0.0 { time } else { up * (time - fun.quick) };
                    if let Some(m) = self.class_mean.get_mut(fun.class) {
                        *m += if *m == 0.0 { time } else { GAIN * (time - *m) };
                    }
                }
            }
            Outcome::Miss => {
                surprised = believed && c.used + fun.step < now;
                (c.n, c.known, c.foreign) = (0, now, 0.0);
            }
            Outcome::Full => {
                w.full_until = now + self.sweep;
                w.cut(now, self.sweep);
            }
            Outcome::Error if mark == CopyMark::LoadFailed => {
                (c.n, c.known) = (0, now);
            }
            Outcome::Error => self.fail(worker, 1.0),
            Outcome::Timeout if now - sent > fun.load as Span => self.fail(worker, 1.0),
            Outcome::ConnectFailed | Outcome::Reset => {
                self.fail(worker, 2.0);
                self.forget_copies(worker);
            }
            Outcome::Cancelled if called_off => {}
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
        if surprised {
            // Several beliefs proven false together (a release, a fleet emptied): no older one is trusted.
            let from = now.saturating_sub(self.functions[f].load as u64 * 2);
            self.surprises.push_back((now, worker));
            self.surprises.retain(|s| s.0 >= from);
            let first = self.surprises.front().map(|s| s.1);
            let several = self.surprises.iter().any(|s| Some(s.1) != first);
            if self.surprises.len() >= SURPRISES && several {
                self.trust_from = from;
                self.surprises.clear();
            }
        }
    }

    // ---- Health: one notion of failure share, one breaker. ----

    fn mean_slow(&self) -> f64 {
        let n = self.workers.values().filter(|w| w.ready).count().max(1) as f64;
        (self.workers.values().filter(|w| w.ready).map(|w| w.slow).sum::<f64>() / n).max(0.1)
    }

    fn pass(&mut self, worker: WorkerId) {
        if let Some(w) = self.workers.get_mut(&worker) {
            w.fails *= 1.0 - FAIL_GAIN;
            if w.tripped && w.fails < CLOSE {
                (w.tripped, w.backoff) = (false, 0);
            }
        }
    }

    /// A failure of weight 1, or 2 where the worker cannot be reached or keeps silent.
    fn fail(&mut self, worker: WorkerId, weight: f64) {
        let (now, first) = (self.now, self.sweep * 4);
        let jitter = self.rng.u64(0..=first);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.fails += FAIL_GAIN * weight * (1.0 - w.fails);
            if w.fails > TRIP || w.tripped {
                w.tripped = true;
                w.backoff = (w.backoff * 2).clamp(first, first * 16);
                w.retry_at = now + w.backoff + jitter;
            }
        }
    }

    // ---- Loads: orders, their budget, their answers. ----

    /// Rule 5: whether one more order fits the sliding window, within this share of it.
    fn order_room(&self, share: f64) -> bool {
        if self.set.load_window == 0 {
            return true;
        }
        let from = self.now.saturating_sub(self.set.load_window);
        let orders = self.orders.iter().filter(|&&t| t >= from).count() as f64;
        let taken = self.arrivals.iter().filter(|&&t| t > from).count() as f64;
        orders + 1.0 <= share * (self.set.load_free + self.set.load_share * taken)
    }

    /// Orders one copy more than last said stood.
    fn order(&mut self, f: usize, worker: WorkerId, out: &mut Vec<Action>) {
        let now = self.now;
        let stood = self.warm(f, worker);
        self.make_room(f, worker, out);
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        w.loads += 1;
        let fun = &mut self.functions[f];
        let c = fun.copies.entry(worker).or_default();
        let coming = c.orders.iter().map(|o| o.1).max().unwrap_or(0);
        let copies = (stood.max(coming) + 1).min(16);
        c.orders.push((now, copies));
        self.orders.push_back(now);
        out.push(Action::Load { worker, function: fun.name.clone(), copies });
    }

    /// Just before an own load on a worker short of memory by our tally: the copies idle longest go.
    fn make_room(&mut self, f: usize, worker: WorkerId, out: &mut Vec<Action>) {
        let kind = self.workers.get(&worker).map_or(0, |w| w.kind as usize);
        let memory = self.set.memory_mb.get(kind).copied().unwrap_or(0.0);
        let held: f64 = (0..self.functions.len())
            .map(|g| f64::from(self.warm(g, worker)) * self.functions[g].memory)
            .sum();
        if memory <= 0.0 || held + self.functions[f].memory <= memory {
            return;
        }
        let idle = (0..self.functions.len())
            .filter(|&g| g != f && self.warm(g, worker) > 0)
            .filter_map(|g| self.functions[g].copies.get(&worker).map(|c| (c.out, c.used, g)))
            .filter(|c| c.0 == 0)
            .min();
        if let Some((_, used, g)) = idle.filter(|i| i.1 + self.set.keep_alive / 2 < self.now) {
            let _ = used;
            self.drop_copies(g, worker, out);
        }
    }

    fn drop_copies(&mut self, f: usize, worker: WorkerId, out: &mut Vec<Action>) {
        if let Some(c) = self.functions[f].copies.get_mut(&worker) {
            (c.n, c.known) = (0, self.now);
        }
        out.push(Action::Drop { worker, function: self.functions[f].name.clone() });
    }

    fn on_loaded(
        &mut self,
        worker: WorkerId,
        name: &FunctionId,
        outcome: Outcome,
        n: u32,
        lag: Span,
        out: &mut Vec<Action>,
    ) {
        let Some(&f) = self.names.get(name) else { return };
        let (now, keep, round) = (self.now, self.set.keep_alive, self.set.round);
        let fun = &mut self.functions[f];
        let (Some(c), Some(w)) = (fun.copies.get_mut(&worker), self.workers.get_mut(&worker)) else {
            return;
        };
        // Answers come in any order: the one whose time fits is meant.
        let sent = now.saturating_sub(lag);
        let Some(at) = (0..c.orders.len()).min_by_key(|&i| c.orders[i].0.abs_diff(sent)) else {
            return;
        };
        let (_, want) = c.orders.remove(at);
        if want > 0 {
            w.loads = w.loads.saturating_sub(1);
        }
        c.known = now;
        match outcome {
            Outcome::Ok if want > 0 => {
                w.heard = now;
                (c.n, c.used) = (n, now);
                if lag > fun.step + 2 * round {
                    fun.load += 0.2 * (lag as f64 - fun.load);
                }
            }
            Outcome::Ok => {
                w.heard = now;
                // Only asked: they stand, but who knows for how long they have lain idle.
                if n > 0 && c.used + keep / 2 < now {
                    c.used = now.saturating_sub(keep / 2).max(self.trust_from);
                }
                c.n = n;
            }
            Outcome::Full | Outcome::Error => {
                w.no_load_until = now + fun.load as Span;
                c.n = n;
            }
            _ => {
                c.n = 0;
                w.no_load_until = now + fun.load as Span;
                self.fail(worker, 2.0);
            }
        }
        self.dispatch(f, out);
    }

    // ---- The sweep: silence, held requests, plans. ----

    fn on_sweep(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        out.push(Action::SetAlarm { after: self.sweep, name: "sweep".into() });
        let (order_from, send_from) =
            (now.saturating_sub(self.set.load_window), now.saturating_sub(self.set.fall_window));
        self.arrivals.retain(|&t| t > order_from);
        self.orders.retain(|&t| t >= order_from);
        for w in self.workers.values_mut() {
            w.sends.retain(|&t| t >= send_from);
            if w.cold_at.is_some_and(|t| t + self.set.warm_after <= now) {
                w.cold_at = None;
            }
        }
        if self.set.discovery == Discovery::Ask && self.listed_at + self.set.ask_within / 2 < now {
            self.listed_at = now;
            out.push(Action::Subscribe { on: true });
        }
        self.find_silent(out);
        // What is held, worthiest function first: they compete for the same workers.
        let mut held: Vec<(f64, usize)> = (0..self.functions.len())
            .filter(|&f| !self.functions[f].held.is_empty())
            .map(|f| {
                (self.functions[f].held.iter().map(|id| self.worth(&self.open[id])).fold(0.0, f64::max), f)
            })
            .collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, f) in held {
            self.dispatch(f, out);
        }
        for f in 0..self.functions.len() {
            if self.roll(f) && self.set.may_order {
                self.plan_function(f, out);
            }
        }
    }

    /// A worker that answers nothing: two attempts overdue, or one long overdue, and no word since they went.
    fn find_silent(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut late: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for a in self.open.values().flat_map(|o| &o.attempts).filter(|a| a.out) {
            let silent = self.workers.get(&a.worker).is_some_and(|w| w.heard <= a.sent);
            if silent && now > a.sent + a.expected {
                *late.entry(a.worker).or_default() += if now > a.sent + 2 * a.expected { 2 } else { 1 };
            }
        }
        for (worker, _) in late.into_iter().filter(|l| l.1 >= 2) {
            if self.workers.get(&worker).is_some_and(|w| !w.tripped || now >= w.retry_at) {
                self.fail(worker, 2.0);
                self.log(format!("worker {worker} takes requests and answers none: taken out"), out);
            }
        }
        // Requests out at a worker taken out: those that may be repeated are called off and sent elsewhere.
        let stuck: Vec<(RequestId, usize)> = self
            .open
            .iter()
            .filter(|(_, o)| !o.over && !o.stream)
            .filter(|(_, o)| self.set.classes.get(o.class).is_some_and(|c| c.effect == Effect::Repeatable))
            .filter_map(|(id, o)| {
                let n = o.attempts.len().checked_sub(1)?;
                let a = &o.attempts[n];
                let w = self.workers.get(&a.worker)?;
                let lost = a.out && !a.called_off && w.tripped && w.heard <= a.sent;
                (lost && now > a.sent + a.expected / 2 && o.attempts.len() < self.set.max_attempts as usize)
                    .then(|| (id.clone(), n))
            })
            .collect();
        for (id, n) in stuck {
            let f = self.open[&id].function;
            if self.set.may_duplicate {
                if let Some(a) = self.open.get_mut(&id).and_then(|o| o.attempts.get_mut(n)) {
                    a.expected = Span::MAX / 4;
                }
                self.hold(f, &id);
                self.dispatch(f, out);
            } else if self.set.may_cancel {
                if let Some(a) = self.open.get_mut(&id).and_then(|o| o.attempts.get_mut(n)) {
                    a.called_off = true;
                }
                out.push(Action::Cancel { id, attempt: n as u32 });
            }
        }
    }

    fn log(&mut self, text: String, out: &mut Vec<Action>) {
        if self.now >= self.logged_at + self.set.keep_alive / 4 || self.logged_at == 0 {
            self.logged_at = self.now;
            out.push(Action::Log { text });
        }
    }

    /// One function's step: forecast, search, and the first step's loads or drops.
    fn plan_function(&mut self, f: usize, out: &mut Vec<Action>) {
        let (now, keep) = (self.now, self.keep());
        let mean = self.service(f);
        let fun = &self.functions[f];
        let bins: Vec<f64> = fun.bins.iter().take(fun.bins.len() - 1).copied().collect();
        let uses = fun.uses * (-((now - fun.uses_at) as f64) / (2.0 * keep)).exp();
        let step = fun.step as f64;
        let delay = ((fun.load / step) as usize).clamp(1, MAX_DELAY);
        let steps = delay + BEYOND;
        let (mut warm, mut foreign, mut change) = (0.0, 0.0, vec![0.0; steps]);
        let mut oldest: Option<(Time, WorkerId)> = None;
        for (&id, c) in &fun.copies {
            let n = self.warm(f, id);
            for &(at, want) in c.orders.iter().filter(|o| o.1 > 0) {
                let left = (at as f64 + fun.load - now as f64).max(0.0) / step;
                change[(left as usize).min(steps - 1)] += f64::from(want.saturating_sub(n));
            }
            if n == 0 && c.out > 0 {
                // A send on a stale belief finds a copy, or loads one, where absent functions load by themselves.
                change[delay.min(steps - 1)] += 1.0;
            }
            if n == 0 || !self.workers.get(&id).is_some_and(|w| w.ready && !w.tripped) {
                continue;
            }
            warm += f64::from(n);
            foreign += c.foreign.min(f64::from(n * fun.lanes));
            oldest = oldest.max(Some((c.used, id)));
        }
        // Renewal: the last copies of a function still in use are held again before they can age out.
        if let Some((used, id)) = oldest {
            let ends = used + self.set.keep_alive;
            let n = fun.copies.get(&id).map_or(1, |c| c.n);
            let due = now + 2 * fun.step + self.sweep > ends && fun.uses_at as f64 + 1.5 * keep > now as f64;
            if due && uses > RENEW_USES && self.order_room(AHEAD_SHARE) {
                let name = fun.name.clone();
                let c = self.functions[f].copies.entry(id).or_default();
                c.orders.push((now, n));
                c.used = now;
                self.orders.push_back(now);
                if let Some(w) = self.workers.get_mut(&id) {
                    w.loads += 1;
                }
                out.push(Action::Load { worker: id, function: name, copies: n });
                return;
            }
        }
        let arrivals = forecast(&bins, steps);
        if warm == 0.0 && arrivals.iter().sum::<f64>() <= 0.0 {
            self.functions[f].last_loads = 0.0;
            return;
        }
        let aim = self.set.classes.get(fun.class).map_or(1, |c| c.aim.max(1)) as f64;
        let quick = if fun.quick > 0.0 { fun.quick } else { mean };
        let horizon = Horizon {
            arrivals,
            queue: fun.held.len() as f64,
            warm,
            change,
            foreign,
            lanes: f64::from(fun.lanes),
            service: quick / step,
            delay,
            cold_pain: ((fun.load + mean) / aim).min(1.0),
            wait_pain: (mean / aim).min(1.0),
            load_cost: LOAD_COST + self.set.fetch_price,
            idle_cost: IDLE_COST + self.set.idle_price * IDLE_COST,
            drop_reward: 0.0,
            cap: STEP_CAP,
            most: 16.0 * self.workers.len() as f64,
            last_loads: fun.last_loads,
        };
        let (loads, _) = plan(&horizon);
        self.functions[f].last_loads = f64::from(loads);
        for _ in 0..loads {
            if !self.order_room(AHEAD_SHARE) {
                break;
            }
            if let Some(id) = self.place(f) {
                self.order(f, id, out);
            }
        }
    }
}
