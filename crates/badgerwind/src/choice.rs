//! Every decision of badgerwind. Its types are in `src/interface.rs`, its plain records in `src/state.rs`.
//! Each front end runs one [`Router`]: it forecasts each function's arrivals, plans loads and drops by a
//! short horizon cost search, holds requests for warm lanes that free soon, and keeps the five rules. After
//! "Taming Cold Starts: Proactive Serverless Scheduling with Model Predictive Control"; see docs/design.md.

use crate::interface::*;
use crate::state::*;

// ---- Constants. Times derive from settings and observations; these are shares and counts. ----

const STEPS_PER_LOAD: u64 = 4; // Δt = load time / this: finer costs CPU, coarser loads late.
const BINS: usize = 32; // Bins of arrivals kept for the forecast (eight load times).
const MIN_BINS: usize = 8; // Fewer bins, or arrivals, give a plain mean: a trend through so few runs wild.
const HARMONICS: usize = 2; // Harmonics k in the forecast.
const CLIP_SIGMA: f64 = 1.5; // Clip of the forecast: mean + this many σ.
const SIGNIFICANT: f64 = 9.0; // A trend or harmonic counts from this many times the mean power left.
const BEYOND: usize = 8; // Horizon steps beyond the load delay D.
const MAX_DELAY: usize = 12; // Longest D in steps; a slower store is planned for as if this slow.
const STEP_CAP: u32 = 3; // Most loads planned a step for a function (x).
const LOAD_COST: f64 = 1.6; // δ beside the fetch price, in requests' worth: room and cores of others.
const IDLE_COST: f64 = 0.0005; // γ: an unused lane for a step, in requests' worth.
const DROP_REWARD: f64 = 0.2; // η for each point of the memory price, in requests' worth.
const SMOOTH_W: f64 = 0.002; // ρ1, in requests' worth.
const SMOOTH_X: f64 = 0.01; // ρ2, in requests' worth.
const AHEAD_SHARE: f64 = 0.6; // Share of the order budget open to loads ahead; the rest is for misses.
const RENEW_USES: f64 = 0.4; // A copy is renewed when so many uses are expected within another keep-alive.
const MOST_COPIES: u32 = 16; // Most copies that one order may ask for; wmax is this at every worker.
const WORKER_LOADS: u32 = 3; // Own loads in hand at one worker: workers run a few and turn the rest away.
const LOAD_GUESS: f64 = 0.08; // Load time where none is told or seen, as a share of the keep-alive.
const CROWD: f64 = 0.7; // Others' requests for a shared function at each home; it takes more homes beyond.
const REACH_GAIN: f64 = 0.2; // Weight of one crowd mark in that; it at most doubles the homes.
const CROWDING: f64 = 0.3; // What each such request adds to the time there, in service times.
const MANY: u32 = 8; // Front ends from which each sees too small a part of a function to go by its own tally.
const OTHERS: f64 = 3.0; // Uses by other front ends within a keep-alive that make a copy theirs to keep too.
const BUSY_LANES: f64 = 4.0; // Own requests that load a worker of size 1 about once over.
const RETRY_PAIN: f64 = 0.3; // Share of the aim that a failure costs where the request can be repeated.
const HOPE: f64 = 2.0; // Longest hold on hopes, in load times; then a load, or any queue, is better.
const COLD_NEWS: u64 = 4; // How long news that a worker holds no copy is believed, in load times.
const GAIN: f64 = 0.1; // Weight of a new sample in running means of service times and slowness.
const FAST_GAIN: f64 = 0.3; // The same for crowd marks, load times, and a low quantile going down.
const SURPRISES: usize = 3; // Beliefs proven false together, on several workers, that withdraw older trust.
const FAIL_GAIN: f64 = 0.2; // Health: weight of an outcome in the running share of failures.
const TRIP: f64 = 0.3; // That share takes a worker out: two failures in a row, or a third of all.
const CLOSE: f64 = 0.12; // That share lets it back.
const OVERDUE: f64 = 6.0; // First guess of the service time, in means, that one answer in 100 exceeds...
const OVERDUE_SHARE: f64 = 0.01; // ...then learned: an attempt that takes longer is overdue.
const SWEEPS_PER_AIM: u64 = 16; // Sweeps in the shortest aim: how fast silence is seen and plans are made.
const BACKOFF: u64 = 4; // First back-off of a worker taken out, in sweeps.
const MOST_BACKOFF: u64 = 16; // The longest, in first ones.
const FREE_LIMIT: f64 = 64.0; // Limit of own attempts at a worker before it was ever cut; it hardly binds.
const CUT: f64 = 0.7; // What a full or late answer leaves of the attempts out as the limit.
const KIND_PAUSE: u64 = 8; // First pause of one kind of traffic at a worker, in parts of the keep-alive.
const QUEUED: u32 = 4; // Requests for the function at a worker from which `full` is told of its queue.
const RETRY_SHARE: f64 = 0.2; // Retry budget: further tries, by us or by clients, for each first one...
const MOST_RETRIES: f64 = 10.0; // ...and the most that may be saved up.
const FLOOD_SPAN: f64 = 0.25; // Span over which a tenant's rate is judged, as a share of the keep-alive.
const SLOW_SPAN: f64 = 0.5; // Slowness without news fades over this share of the keep-alive.
const DOUBT: u32 = 2; // Errors of a function that nothing ever served, from which it is doubtful.
const UNUSED: u64 = 8; // Keep-alives without a call after which a function is forgotten.
const TOLD: f64 = 0.75; // Front ends' word of their rates counts for this share of the keep-alive.
const TELLS: f64 = 16.0; // Words to another front end in a keep-alive.
const MESSAGE: usize = 256; // Bytes in a message.
const MOST_TOLD: usize = 60; // Tenants in one.
const LOAD_SPAN: f64 = 0.3; // How loaded a worker was fades over this share of the keep-alive.
const LITTLE: f64 = 0.1; // Mass of the guess that a worker is loaded as usual, in answers.
const NEXT_HOMES: usize = 8; // Further homes that take calls of one loaded beyond the mean.
const LOADED: f64 = 8.0; // What a full worker counts as, in usual service times.
const COLD_SHARE: f64 = 0.4; // Share of a cold worker's budget that all front ends together plan to use.
const LOAD_CAPACITY: f64 = 0.5; // Share of its capacity from which a warming worker is given loads.

// ---- Forecast: quadratic trend + k harmonics, clipped. ----

/// Expected arrivals in each of the next `steps` bins, from the bins before.
pub fn forecast(bins: &[f64], steps: usize) -> Vec<f64> {
    let n = bins.len();
    let mean = bins.iter().sum::<f64>() / n.max(1) as f64;
    if n < MIN_BINS || mean * (n as f64) < MIN_BINS as f64 || bins.iter().all(|&y| y == bins[0]) {
        // One early arrival is no rate: a short history is filled up with silence.
        return vec![mean * n as f64 / n.max(2 * MIN_BINS) as f64; steps];
    }
    // Least squares on orthogonal shapes, each kept only where it stands out from what is left.
    let (size, half) = (n as f64, (n as f64 - 1.0) / 2.0);
    let trend =
        |p: i32, i: f64| if p == 1 { i - half } else { (i - half).powi(2) - (size * size - 1.0) / 12.0 };
    let mut rest: Vec<f64> = bins.iter().map(|y| y - mean).collect();
    let mut ahead: Vec<f64> = vec![mean; steps];
    for p in [1, 2] {
        let (c, power) = fit(&rest, |i| trend(p, i));
        let left = rest.iter().map(|y| y * y).sum::<f64>() / size - power;
        if power > SIGNIFICANT * left.max(0.0) / size {
            rest.iter_mut().enumerate().for_each(|(i, y)| *y -= c * trend(p, i as f64));
            ahead.iter_mut().enumerate().for_each(|(i, y)| *y += c * trend(p, (n + i) as f64));
        }
    }
    let noise = rest.iter().map(|y| y * y).sum::<f64>() / size;
    let wave = |f: usize| {
        let angle = std::f64::consts::TAU * f as f64 / size;
        let ((re, a), (im, b)) = (fit(&rest, |i| (angle * i).cos()), fit(&rest, |i| (angle * i).sin()));
        (a + b, angle, re, im)
    };
    let mut waves: Vec<_> = (1..n / 2).map(wave).filter(|w| w.0 > SIGNIFICANT * noise / size).collect();
    waves.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, angle, re, im) in waves.into_iter().take(HARMONICS) {
        let at = |i: usize| angle * (n + i) as f64;
        ahead.iter_mut().enumerate().for_each(|(i, y)| *y += re * at(i).cos() + im * at(i).sin());
    }
    // σ of rates over a load time each: single bins of a rare function are all noise.
    let rates = bins.chunks(STEPS_PER_LOAD as usize).map(|b| b.iter().sum::<f64>() / b.len() as f64);
    let spread: Vec<f64> = rates.map(|r| (r - mean).powi(2)).collect();
    let top = mean + CLIP_SIGMA * (spread.iter().sum::<f64>() / spread.len() as f64).sqrt();
    ahead.into_iter().map(|y| y.max(0.0).min(top)).collect()
}

// ---- Horizon search: loads x and drops r of least cost; the first step acts. ----

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
        sum += IDLE_COST * (free - load).max(0.0);
        sum += SMOOTH_W * step * step + SMOOTH_X * (f64::from(x[k]) - last_x).powi(2);
        sum += if w > h.most { 1e3 * (w - h.most) } else { 0.0 };
        last_x = f64::from(x[k]);
    }
    sum
}

/// Greedy search: adds the load that saves most until none saves, else tries drops. (Loads, drops) now.
pub fn plan(h: &Horizon) -> (u32, u32) {
    let steps = h.arrivals.len();
    let mut x = vec![0; steps];
    let mut best = cost(h, &x, 0);
    for _ in 0..2 * STEP_CAP {
        let mut pick = None;
        for k in 0..steps.saturating_sub(h.delay) {
            x[k] += 1;
            if x[k] <= STEP_CAP {
                let c = cost(h, &x, 0);
                if c < best - 1e-9 {
                    (best, pick) = (c, Some(k));
                }
            }
            x[k] -= 1;
        }
        let Some(k) = pick else { break };
        x[k] += 1;
    }
    if x.iter().any(|&n| n > 0) {
        return (x.first().copied().unwrap_or(0), 0);
    }
    (0, u32::from(h.warm >= 1.0 && cost(h, &x, 1) < best - 1e-9))
}

// ---- The router, and the list of workers. ----

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
    m: Memory,
    now: Time,
    began: Option<Time>,
    /// Pace of the regular sweep: a small part of the shortest aim.
    sweep: Span,
}

impl Router {
    /// A router that knows nothing but its settings.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let aim = settings.classes.iter().map(|c| c.aim).filter(|&a| a > 0).min();
        let sweep = (aim.unwrap_or(settings.keep_alive) / SWEEPS_PER_AIM).max(2 * settings.round).max(1000);
        let mut m = Memory::default();
        m.tenant_rate.resize(settings.tenants.len(), Decay::default());
        m.class_mean.resize(settings.classes.len(), 0.0);
        (m.tail, m.retries, m.mean_load) = (OVERDUE, MOST_RETRIES, 1.0);
        Router { set: settings, rng: fastrand::Rng::with_seed(seed), m, now: 0, began: None, sweep }
    }

    /// Takes in an event and adds what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.began.is_none() {
            self.began = Some(self.now);
            let after = 1 + self.rng.u64(0..self.sweep); // front ends do not sweep in step
            out.push(Action::SetAlarm { after, name: "sweep".into() });
        }
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries),
            Event::Request(request) => self.on_request(request, out),
            Event::StreamBegan { id, .. } => _ = self.m.open.entry(id).and_modify(|o| o.stream = true),
            Event::Answer { id, attempt, outcome, last, lag, mark, crowd, .. } => {
                self.on_answer(&id, attempt, Told { outcome, last, lag, mark, crowd }, out)
            }
            Event::ClientGone { id } => self.end(&id, out),
            Event::Alarm { name } if &*name == "sweep" => self.on_sweep(out),
            Event::Loaded { worker, function, outcome, copies, lag } => {
                self.on_loaded(worker, &function, (outcome, copies, lag), out)
            }
            Event::Message { from, bytes } => self.on_message(from, &bytes),
            Event::Parts(parts) => self.m.parts = parts,
            Event::Alarm { .. } | Event::Probed { .. } => {}
        }
    }

    /// Rule 3 follows from here: nothing new goes to a worker that is not `ready`, from this moment on.
    fn on_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        let now = self.now;
        self.m.list += 1;
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            self.m.workers.values_mut().for_each(|w| (w.ready, w.gone) = (false, true));
        }
        for e in entries {
            let w = self.m.workers.entry(e.worker).or_insert_with(|| Worker::new(&e, now, FREE_LIMIT));
            // A new start, however it was announced: empty and cold from then on.
            let restarted = w.listed(&e);
            if restarted {
                (w.cold_at, w.cold_sends) = (e.born.max(w.cold_at), 0);
                (w.whole, w.limit) = (Health::default(), FREE_LIMIT);
            }
            if restarted || e.availability == Availability::Gone {
                self.m.forget_copies(e.worker, now);
            }
        }
    }

    // ---- A request arrives. ----

    fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        let (now, keep) = (self.now, self.keep());
        self.m.arrivals.push(now);
        if self.m.open.contains_key(&r.id) {
            return;
        } else if r.class >= self.set.classes.len() {
            return out.push(Action::Refuse { id: r.id, retry_after: None });
        }
        let f = self.function(&r);
        // What nothing ever served may be nobody's work: it is not held against its tenant.
        if let Some(rate) = self.m.tenant_rate.get_mut(r.tenant).filter(|_| self.m.functions[f].mean > 0.0) {
            rate.add(now, keep * FLOOD_SPAN, 1e6 / (keep * FLOOD_SPAN)); // short, so that a flood shows soon
        }
        if !r.retry {
            self.m.rate.add(now, keep, 1e6 / keep);
            self.m.retries = (self.m.retries + RETRY_SHARE).min(MOST_RETRIES);
        }
        self.m.open.insert(r.id.clone(), Open::new(f, &r, now));
        self.m.functions[f].held.push(r.id);
        self.dispatch(f, out);
    }

    fn keep(&self) -> f64 {
        self.set.keep_alive.max(self.sweep) as f64
    }

    /// The function of a request, its arrival booked.
    fn function(&mut self, r: &Request) -> usize {
        let (now, keep, began) = (self.now, self.keep(), self.began.unwrap_or(self.now));
        let known = self.m.names.get(&r.function).copied();
        let f = known.unwrap_or_else(|| {
            let all = self.m.functions.iter().map(|f| f.load).sum::<f64>() / self.m.names.len().max(1) as f64;
            let guess = if all > 0.0 { all } else { keep * LOAD_GUESS };
            let load = r.load_time.map_or(guess, |t| t as f64).max(self.sweep as f64);
            let step = (load as u64 / STEPS_PER_LOAD).max(1);
            let (name, class) = (r.function.clone(), r.class);
            let place = self.m.free.pop().unwrap_or(self.m.functions.len());
            self.m.names.insert(name.clone(), place);
            self.m.functions.resize_with(self.m.functions.len().max(place + 1), Function::default);
            self.m.functions[place] = Function { name, class, load, step, ..Function::default() };
            place
        });
        let fun = &mut self.m.functions[f];
        (fun.memory, fun.lanes, fun.used) = (r.memory_mb, r.lanes.max(1), now);
        fun.count(now, began, BINS as u64);
        fun.uses.add(now, 2.0 * keep, 0.5);
        f
    }

    /// Serves the held requests of a function, worthiest and most urgent first.
    fn dispatch(&mut self, f: usize, out: &mut Vec<Action>) {
        self.refresh(f);
        let mut held = std::mem::take(&mut self.m.functions[f].held);
        held.sort_by(|a, b| {
            let (x, y) = (&self.m.open[a], &self.m.open[b]);
            self.worth(y).total_cmp(&self.worth(x)).then(x.due.cmp(&y.due)).then(a.cmp(b))
        });
        // Too little for all shows in further tries, or in more held than there are workers.
        let served = self.m.functions.iter().filter(|f| f.mean > 0.0);
        let all_held: usize = served.map(|f| f.held.len()).sum();
        let pressed = self.m.retries < 1.0 || all_held + held.len() > self.m.workers.len();
        let mut waiting = Vec::new();
        for id in held {
            let open = &self.m.open[&id];
            // Rule 1: the last sweep before the client gives up answers. Late and over-share traffic yields.
            // Half of its time without a try: who waits for it should know, and may find another front end.
            let half = open.attempts.is_empty() && 2 * (self.now + self.sweep) >= open.since + open.due;
            let yields = pressed && (self.late(open) || self.over_share(open)) && self.may_refuse(open);
            let yields = yields || half;
            let one_out = || self.m.functions[f].copies.values().any(|c| c.out > 0);
            let over = self.too_late(open) || self.doubtful(f) && one_out();
            let choice = if over { None } else { Some(self.choose(f, open, waiting.len())) };
            match choice {
                Some(Choice::Send(w)) => self.send(&id, w, out),
                Some(Choice::Load(w)) => {
                    self.order(f, w, 1, out);
                    waiting.push(id);
                }
                Some(Choice::Wait) if !yields => waiting.push(id),
                _ => self.finish(&id, out),
            }
        }
        self.m.functions[f].held = waiting;
    }

    /// Nothing ever served it, and errors are all it gave lately: it may be what no worker can serve. Guards
    /// against senders of names that nobody knows: one call at a time tries, and nothing is loaded for it.
    fn doubtful(&self, f: usize) -> bool {
        let fun = &self.m.functions[f];
        fun.mean == 0.0 && fun.errors >= DOUBT && fun.erred + (HOPE * fun.load) as Span > self.now
    }

    fn too_late(&self, open: &Open) -> bool {
        open.due <= self.now + self.sweep + 2 * self.set.round
    }

    /// One that can no longer make its aim yields to those that can.
    fn late(&self, open: &Open) -> bool {
        self.now as f64 + self.service(open.function) > (open.since + self.set.classes[open.class].aim) as f64
    }

    fn worth(&self, open: &Open) -> f64 {
        let class = &self.set.classes[open.class];
        let share = if self.over_share(open) { self.set.over_share_worth } else { 1.0 };
        class.worth * share * if self.late(open) { class.late_worth } else { 1.0 }
    }

    fn over_share(&self, open: &Open) -> bool {
        let quota = self.set.tenants.get(open.tenant).and_then(|t| t.quota_per_s);
        let (own, part) =
            (self.own_rate(open.tenant), self.m.parts.tenants.get(open.tenant).copied().flatten());
        let beyond =
            |own| part.map_or(quota.is_some_and(|q| self.all_rate(open.tenant, own) > q), |p| own > p);
        own.is_some_and(beyond)
    }

    /// Requests a second of a tenant here.
    fn own_rate(&self, tenant: usize) -> Option<f64> {
        self.m.tenant_rate.get(tenant).map(|r| r.get(self.now, self.keep() * FLOOD_SPAN))
    }

    /// The same at all front ends: as told lately, and where not, as here. Guards against unequal front ends:
    /// the busy ones took their own part times the number of all for the sum.
    fn all_rate(&self, tenant: usize, own: f64) -> f64 {
        let from = self.now.saturating_sub((self.keep() * TOLD) as Span);
        let told = self.m.told.values().filter(|(at, _)| *at >= from).filter_map(|(_, r)| r.get(tenant));
        let (sum, n) = told.fold((own, 1.0), |(sum, n), r| (sum + r, n + 1.0));
        sum * f64::from(self.set.front_ends.max(1)) / n
    }

    /// A front end tells one other this often.
    fn tell_span(&self) -> Span {
        (self.keep() / TELLS) as Span
    }

    /// Tells another front end, drawn anew, its tenants' rates and half of what it knows of workers' loads.
    /// Guards against many front ends with few calls each: what one learns alone comes late.
    fn tell(&mut self, out: &mut Vec<Action>) {
        let others = self.set.front_ends.saturating_sub(1);
        if !self.set.may_message || others == 0 || self.now < self.m.tell_at {
            return;
        }
        let (now, span) = (self.now, self.keep() * LOAD_SPAN);
        self.m.tell_at = now + self.tell_span();
        let rates: Vec<f64> =
            (0..self.set.tenants.len().min(MOST_TOLD)).map(|t| self.own_rate(t).unwrap_or(0.0)).collect();
        let mut bytes = vec![rates.len() as u8];
        bytes.extend(rates.iter().flat_map(|r| (*r as f32).to_be_bytes()));
        let mut known: Vec<_> = self.m.workers.iter_mut().filter(|(_, w)| w.ready).collect();
        known.sort_by(|a, b| b.1.load.mass(now, span).total_cmp(&a.1.load.mass(now, span)));
        for (id, w) in known.into_iter().take((MESSAGE - bytes.len()) / 4) {
            bytes.extend(short(*id).into_iter().chain(w.load.give(now, span)));
        }
        let to = (self.set.my_number + 1 + self.rng.u32(0..others)) % self.set.front_ends;
        out.push(Action::Tell { to: Some(to), bytes });
    }

    fn on_message(&mut self, from: u32, bytes: &[u8]) {
        let Some((n, rest)) = bytes.split_first().filter(|b| usize::from(*b.0) <= MOST_TOLD) else { return };
        let Some((rates, loads)) = rest.split_at_checked(usize::from(*n) * 4) else { return };
        if from >= self.set.front_ends || from == self.set.my_number {
            return;
        }
        let rates = rates.chunks_exact(4).map(|b| f64::from(f32::from_be_bytes([b[0], b[1], b[2], b[3]])));
        let rates = rates.map(|r| if r.is_finite() { r.max(0.0) } else { 0.0 }).collect();
        self.m.told.insert(from, (self.now, rates));
        let span = self.keep() * LOAD_SPAN;
        for word in loads.chunks_exact(4) {
            let named = self.m.workers.iter_mut().find(|(id, _)| short(**id) == word[..2]);
            named.into_iter().for_each(|(_, w)| w.load.take(self.now, span, [word[2], word[3]]));
        }
    }

    // ---- The choice of a worker. ----

    /// Workers in the function's own order (rendezvous hash, by size): front ends that share nothing agree.
    /// It changes with the list only. The first `spread` of them take what is shared with other front ends.
    fn refresh(&mut self, f: usize) {
        let uses = self.m.functions[f].uses.get(self.now, 2.0 * self.keep());
        let shared = self.set.front_ends > MANY && uses * f64::from(self.set.front_ends - 1) > OTHERS;
        let Memory { workers, functions, list, .. } = &mut self.m;
        let fun = &mut functions[f];
        if fun.listed != *list {
            let ready = workers.iter().filter(|(_, w)| w.ready);
            let place =
                |(&id, w): (&WorkerId, &Worker)| (-unit_hash(&fun.name, id).max(1e-12).ln() / w.size, id);
            let mut order: Vec<(f64, WorkerId)> = ready.map(place).collect();
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            fun.copies.values_mut().for_each(|c| c.home = false);
            (fun.homes, fun.listed) = (order.into_iter().map(|(_, id)| id).collect(), *list);
        }
        let most = fun.homes.len().max(1);
        fun.reach = fun.reach.clamp(1.0, most as f64);
        fun.spread = if shared { fun.reach.round() as usize } else { 0 };
        for (n, id) in fun.homes.iter().enumerate().take(fun.spread.max(fun.had)) {
            fun.copies.entry(*id).or_default().home = n < fun.spread;
        }
        fun.had = fun.spread;
    }

    /// Copies to count on: those believed warm; at a shared function's homes one, unless news says none.
    fn stands(&self, f: usize, worker: WorkerId) -> u32 {
        let (fun, warm) = (&self.m.functions[f], self.warm(f, worker));
        let cold = |c: &Copies| c.known > 0 && c.n == 0 && c.known + COLD_NEWS * fun.load as u64 > self.now;
        u32::from(fun.copies.get(&worker).is_some_and(|c| c.home && !cold(c))).max(warm)
    }

    /// Copies believed warm: proven within the keep-alive and not before trust was withdrawn.
    fn warm(&self, f: usize, worker: WorkerId) -> u32 {
        match self.m.functions[f].copies.get(&worker) {
            Some(c) if c.used + self.set.keep_alive > self.now && c.used >= self.m.trust_from => c.n,
            _ => 0,
        }
    }

    /// Share of its capacity that a worker has, at the least: even warming is the worst case.
    fn capacity(&self, w: &Worker) -> f64 {
        let Some(at) = w.cold_at else { return 1.0 };
        let age = self.now.saturating_sub(at) as f64 / self.set.warm_after.max(1) as f64;
        (self.set.cold_from + (1.0 - self.set.cold_from) * age).min(1.0)
    }

    /// Rule 4: this front end's share of a cold worker's budget; what warm ones bear stands for its capacity.
    fn cold_room(&self, w: &Worker) -> bool {
        let capacity = self.capacity(w);
        let sizes: f64 = self.m.ready().map(|w| w.size).sum();
        // Guards against demand beyond capacity: only what was ever served shows what they can bear.
        let asked = self.m.rate.get(self.now, self.keep()) / sizes.max(w.size);
        let borne: Vec<f64> = self.m.workers.values().map(|w| w.borne).filter(|b| *b > 0.0).collect();
        let mean = borne.iter().sum::<f64>() / borne.len().max(1) as f64;
        let bears = w.size * if mean > 0.0 { asked.min(mean) } else { asked };
        let budget =
            bears * capacity * self.set.fall_window as f64 / 1e6 * self.set.fall_multiple * COLD_SHARE;
        let sent = w.sends.since(self.now.saturating_sub(self.set.fall_window));
        // Less than one for each front end: saved up from a seeded start, so that no rush exceeds the sum.
        let age = self.now.saturating_sub(w.cold_at.unwrap_or(0)) as f64 / self.set.fall_window.max(1) as f64;
        let saved = budget / capacity * age * (self.set.cold_from + capacity) / 2.0;
        let start = unit_hash(&self.set.my_number.to_string(), w.born.unwrap_or(0) as u32);
        sent < budget.floor() || sent < 1.0 && f64::from(w.cold_sends) < (start + saved).floor()
    }

    /// More than half of the fleet taken out: then the evidence is of something else, and all are used.
    fn all_bad(&self) -> bool {
        2 * self.m.ready().filter(|w| w.whole.tripped).count() > self.m.ready().count()
    }

    /// Neither the worker as a whole nor this kind of traffic there is taken out.
    fn usable(&self, w: &Worker, open: &Open) -> bool {
        let repeat = self.set.classes[open.class].effect == Effect::Repeatable;
        let trickle = self.now >= w.whole.retry_at && w.out == 0 && repeat;
        let healthy = !w.whole.tripped || trickle || self.all_bad();
        let kind = |k: Kind| w.kinds.get(&k).is_none_or(|h| !h.tripped || self.now >= h.retry_at);
        let room = f64::from(w.out) < w.limit && self.now >= w.full_until;
        let warm = self.capacity(w) >= 1.0 || self.cold_room(w);
        w.ready && healthy && room && warm && open.kinds().into_iter().all(kind)
    }

    /// Another try after one that failed, by us or by the client, waits for the retry budget.
    fn is_retry(&self, open: &Open) -> bool {
        open.attempts.last().map_or(open.retry, |a| !a.free)
    }

    /// How busy a worker looks: slowness, attempts and loads in hand by size.
    fn busy(&self, w: &Worker) -> f64 {
        let alike = self.set.front_ends.clamp(1, MANY); // the others send there as well
        w.slow.max(self.load(w)) * (1.0 + f64::from((w.out + w.loads) * alike) / (BUSY_LANES * w.size))
    }

    /// How loaded a worker is by what all front ends saw; 1 is as usual, and where nobody tells.
    fn load(&self, w: &Worker) -> f64 {
        if !self.set.may_message {
            return 1.0;
        }
        w.load.mean(self.now, self.keep() * LOAD_SPAN, 1.0, LITTLE)
    }

    /// Expected service time: the function's, else its class's, else a part of the aim.
    fn service(&self, f: usize) -> f64 {
        let f = &self.m.functions[f];
        let aim = self.set.classes[f.class].aim as f64;
        [f.mean, self.m.class_mean[f.class], aim / 5.0].into_iter().find(|&m| m > 0.0).unwrap_or(1.0)
    }

    /// A believed-free warm lane; else wait if one frees before a load would; else the pick.
    fn choose(&self, f: usize, open: &Open, ahead: usize) -> Choice {
        let (fun, class, now) = (&self.m.functions[f], &self.set.classes[open.class], self.now);
        let (mean, aim) = (self.service(f), class.aim.max(1) as f64);
        if self.is_retry(open) && self.m.retries < 1.0 {
            return Choice::Wait;
        }
        let tried = |id: WorkerId| open.attempts.iter().any(|a| a.worker == id);
        let may = |id: WorkerId| {
            self.m.workers.get(&id).is_some_and(|w| self.usable(w, open) && self.may_send(open, w))
        };
        let mut best: Option<(f64, WorkerId)> = None;
        let mut frees: Vec<f64> = Vec::new();
        for (&id, c) in &fun.copies {
            let Some(w) = self.m.workers.get(&id).filter(|w| w.ready) else { continue };
            let warm = self.stands(f, id);
            for &(at, want) in c.orders.iter().filter(|o| o.1 > warm) {
                let ready = (at as f64 + fun.load - now as f64).max(fun.load / 4.0);
                frees.extend((0..(want - warm) * fun.lanes).map(|_| ready));
            }
            if warm == 0 || !may(id) {
                continue;
            }
            let old = now.saturating_sub(c.known) as f64 / fun.load;
            let taken = f64::from(c.out) + c.foreign * (-old).exp();
            let time = mean * self.busy(w);
            // Shared homes: others come and go unseen, so crowding is a price, and chance spreads the calls.
            let shared = fun.spread > 0 && c.out < warm * fun.lanes;
            let chance = unit_hash(&open.id, id);
            let time = if shared { time * (1.0 + CROWDING * c.foreign + chance) } else { time };
            if shared || taken + 0.5 < f64::from(warm * fun.lanes) {
                // The one that answers soonest; failures seen weigh most where a failed request is lost.
                let fails = w.whole.fails * aim * if class.effect == Effect::Once { 1.0 } else { RETRY_PAIN };
                let cross = if w.zone == self.set.my_zone { 0.0 } else { self.set.zone_price * aim };
                let price = time + fails + cross + if tried(id) { aim } else { 0.0 };
                best = best.filter(|b| b.0 <= price).or(Some((price, id)));
            } else {
                frees.extend((1..=taken as u32).map(|i| time / taken * f64::from(i)));
            }
        }
        if let Some((_, id)) = best {
            // Homes are the same for all front ends: one that is loaded beyond the others gives to the next.
            let load = |w: &Worker| self.load(w) / self.m.mean_load;
            let over = |id: &WorkerId| self.m.workers.get(id).map_or(1.0, load);
            let (heavy, stays) = (over(&id), unit_hash(&open.id, !id));
            let lighter = |o: &&WorkerId| over(o) < heavy && may(**o) && !tried(**o);
            let moves = stays * heavy > 1.0 && self.set.when_absent == WhenAbsent::Load;
            let next = fun.homes.iter().take(fun.spread + NEXT_HOMES).find(lighter).filter(|_| moves);
            return Choice::Send(next.copied().unwrap_or(id));
        }
        // The turn of this request: each lane that frees serves one of those ahead first, then frees again.
        let mut wait = f64::INFINITY;
        for _ in 0..=ahead {
            let Some(n) = (0..frees.len()).min_by(|&a, &b| frees[a].total_cmp(&frees[b])) else { break };
            wait = frees[n];
            frees[n] += mean;
        }
        let waited = now.saturating_sub(open.since) as f64 / fun.load;
        if wait <= fun.load && waited <= HOPE {
            return Choice::Wait;
        }
        // No warm lane soon. The pick: the first home that may take it, unless known cold.
        let homes = &fun.homes;
        let pick = homes.iter().find(|id| may(**id) && !tried(**id)).copied();
        let known = |c: &Copies| c.out > 0 || c.n == 0 && c.known + COLD_NEWS * fun.load as u64 > now;
        let spare = self.set.max_attempts as usize > open.attempts.len() + 1 || !self.set.may_order;
        let unknown = |id: &WorkerId| spare && !fun.copies.get(id).is_some_and(known);
        if let Some(id) = pick.filter(unknown) {
            return Choice::Send(id);
        }
        let may_order = self.set.may_order && !self.doubtful(f);
        if let Some(id) = self.place(f).filter(|_| may_order && self.order_room(1.0)) {
            return Choice::Load(id);
        }
        // Nothing can be ordered: one that has waited long joins the queue at a warm worker.
        if waited > 1.0 || !self.set.may_order {
            let queues = fun.copies.iter().filter(|(id, c)| c.n > 0 && may(**id)).map(|(id, c)| (c.out, *id));
            let any = homes.iter().find(|id| self.set.when_absent == WhenAbsent::Load && may(**id));
            if let Some(id) = queues.min().map(|q| q.1).or(any.copied()) {
                return Choice::Send(id);
            }
        }
        Choice::Wait
    }

    // ---- Attempts and the rules that bind them. ----

    /// Rule 2: whether another attempt, to this worker, is allowed now.
    fn may_send(&self, open: &Open, w: &Worker) -> bool {
        let class = &self.set.classes[open.class];
        let out = open.attempts.iter().filter(|a| a.out).count();
        let spent = open.attempts.len() >= self.set.max_attempts.max(1) as usize;
        if !w.ready || open.over || open.stream || spent || out > usize::from(self.set.may_duplicate) {
            return false;
        }
        let Some(first) = open.attempts.iter().find(|a| !a.never_ran) else { return true };
        match class.effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::ByKey => {
                let open = self.now < first.sent + class.window.saturating_sub(2 * self.set.round);
                open && self.m.workers.get(&first.worker).is_some_and(|o| o.drops_repeats(w, class.group))
            }
        }
    }

    fn may_refuse(&self, open: &Open) -> bool {
        let class = &self.set.classes[open.class];
        let all = class.effect == Effect::ByKey && class.group == Group::All;
        let harmless = all || class.effect == Effect::Repeatable;
        harmless || open.attempts.iter().all(|a| a.never_ran)
    }

    fn send(&mut self, id: &RequestId, worker: WorkerId, out: &mut Vec<Action>) {
        let f = self.m.open[id].function;
        self.m.retries -= f64::from(u8::from(self.is_retry(&self.m.open[id])));
        let warm = self.warm(f, worker) > 0;
        let load = if warm { 0.0 } else { self.m.functions[f].load };
        let slow = self.m.workers.get(&worker).map_or(1.0, |w| w.slow.max(1.0));
        let expected = (self.service(f) * slow * self.m.tail + load) as Span;
        self.m.begin_attempt(id, worker, self.now, expected);
        let copies = self.m.functions[f].copies.entry(worker);
        copies.and_modify(|c| c.used = if warm { self.now } else { c.used });
        out.push(Action::Send { id: id.clone(), worker, timeout: None });
    }

    /// The final answer for a request that cannot be served.
    fn finish(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get(id).filter(|o| !o.over && !o.stream) else { return };
        let (refuse, own) = (self.may_refuse(open), id.clone());
        let answer =
            if refuse { Action::Refuse { id: own, retry_after: None } } else { Action::Fail { id: own } };
        out.push(answer);
        self.end(id, out);
    }

    /// A request is over: attempts still out are called off, and it is forgotten once they have ended.
    fn end(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let off = self.m.end(id).into_iter().filter(|_| self.set.may_cancel);
        out.extend(off.map(|attempt| Action::Cancel { id: id.clone(), attempt }));
    }

    // ---- Answers. ----

    fn on_answer(&mut self, id: &RequestId, attempt: u32, told: Told, out: &mut Vec<Action>) {
        let outcome = told.outcome;
        let few = self.set.marks_crowd && told.lag > self.sweep && told.crowd.is_some_and(|n| n < QUEUED);
        let free = outcome == Outcome::Miss || outcome == Outcome::Full && few;
        let Some(a) = self.m.end_attempt(id, attempt, outcome, free) else { return };
        let (worker, own, waited) = (a.worker, a.own, self.now - a.sent);
        if outcome == Outcome::Ok {
            let (now, keep) = (self.now, self.keep());
            if let Some(w) = self.m.workers.get_mut(&worker) {
                w.served.add(now, keep, 1e6 / keep);
                w.borne = w.borne.max(w.served.get(now, keep) / w.size.max(0.01));
            }
        }
        let (f, kinds) = (self.m.open[id].function, self.m.open[id].kinds());
        self.learn(f, kinds, worker, told, (own, waited));
        let open = &self.m.open[id];
        let none_out = open.attempts.iter().all(|a| !a.out);
        if told.last || open.over || open.stream {
            self.end(id, out);
        } else if none_out
            && (self.too_late(open) || self.doubtful(f) || !self.m.ready().any(|w| self.may_send(open, w)))
        {
            self.finish(id, out);
        } else if none_out {
            self.m.hold(f, id);
            // The design: one more copy where it was missed, unless one is on its way.
            let coming = self.m.functions[f].copies.values().any(|c| c.coming() > 0);
            let fit = self.m.workers.get(&worker).is_some_and(|w| w.ready && self.now >= w.no_load_until);
            if outcome == Outcome::Miss && self.set.may_order && !coming && fit && self.order_room(1.0) {
                self.order(f, worker, 1, out);
            }
        }
        self.dispatch(f, out);
    }

    /// What an outcome tells of the worker, of the copies there and of the function.
    fn learn(
        &mut self,
        f: usize,
        kinds: [Kind; 2],
        worker: WorkerId,
        told: Told,
        (own, waited): (u32, Span),
    ) {
        let Told { outcome, lag, mark, crowd, .. } = told;
        let others = crowd.filter(|_| self.set.marks_crowd).map(|c| f64::from(c.saturating_sub(own)));
        let (kind_pause, load_span) = (self.set.keep_alive / KIND_PAUSE, self.keep() * LOAD_SPAN);
        let (now, sweep, mean_slow) = (self.now, self.sweep, self.m.mean_slow());
        let believed = self.warm(f, worker) > 0;
        let pause = sweep * BACKOFF + self.rng.u64(0..=sweep * BACKOFF);
        let fun = &mut self.m.functions[f];
        let Some((w, c)) = self.m.workers.get_mut(&worker).zip(fun.copies.get_mut(&worker)) else { return };
        use Outcome::*;
        let usual = self.m.class_mean[fun.class];
        let sample = match outcome {
            Ok if !matches!(mark, CopyMark::BeganLoad | CopyMark::WaitedForLoad) => Some(lag as f64 / usual),
            Timeout | Cancelled if waited as f64 > usual + if believed { 0.0 } else { fun.load } => {
                Some(LOADED)
            }
            Full => crowd.filter(|n| lag <= sweep || *n >= QUEUED).map(|_| LOADED),
            _ => None,
        };
        if let Some(x) = sample.filter(|_| usual > 0.0) {
            w.load.add(now, load_span, x.clamp(1.0 / LOADED, LOADED), 1.0);
        }
        if !matches!(outcome, Timeout | Cancelled | Moot | ConnectFailed) {
            w.whole.heard = now;
        }
        let surprised = believed && (outcome == Miss || mark == CopyMark::BeganLoad && c.out == 0);
        if let Some(n) = others.filter(|_| fun.spread > 0) {
            fun.reach *= 1.0 + (REACH_GAIN * (n / CROWD - 1.0)).min(1.0);
        }
        // The limit follows what it takes in time; where absent functions load in place it would make loads.
        let misses = self.set.when_absent == WhenAbsent::Miss;
        let late = misses && (outcome == Full || outcome == Ok && lag > self.set.classes[fun.class].aim);
        if late && now >= w.cut_at + sweep {
            (w.limit, w.cut_at) = ((f64::from(w.out + 1) * CUT).min(w.limit).max(1.0), now);
        } else if outcome == Ok && !late {
            w.limit = (w.limit + 1.0 / w.limit).min(FREE_LIMIT);
        }
        match outcome {
            Ok => {
                w.whole.pass(now);
                kinds.iter().for_each(|k| w.kinds.entry(*k).or_default().pass(now));
                c.n = if mark == CopyMark::BeganLoad && believed { c.n + 1 } else { c.n.max(1) };
                (c.used, c.known) = (now, now);
                c.foreign += FAST_GAIN * (others.unwrap_or(0.0) - c.foreign);
                let time = lag as f64;
                if mark == CopyMark::BeganLoad {
                    blend(&mut fun.load, (time - fun.mean).max(time / 4.0), FAST_GAIN);
                } else if mark != CopyMark::WaitedForLoad {
                    let rel = w.slow / mean_slow;
                    // A running quantile: up by much for the few beyond it, down by little for the others.
                    let over = time > fun.mean.max(1.0) * self.m.tail * rel.max(1.0);
                    let share = if over { 1.0 - OVERDUE_SHARE } else { -OVERDUE_SHARE };
                    self.m.tail = (self.m.tail * (1.0 + FAST_GAIN * share)).max(OVERDUE / 2.0);
                    let base = if fun.mean > 0.0 { fun.mean } else { time / rel };
                    w.slow += GAIN * ((time / base).clamp(0.2, 8.0) * mean_slow.min(1.5) - w.slow);
                    blend(&mut fun.mean, time / rel, GAIN);
                    let gain = if time < fun.quick { FAST_GAIN } else { GAIN / 2.0 };
                    blend(&mut fun.quick, time, gain);
                    blend(&mut self.m.class_mean[fun.class], time, GAIN);
                }
            }
            Miss => (c.n, c.known, c.foreign) = (0, now, 0.0),
            Full => {
                w.full_until = now + sweep;
                if self.set.marks_crowd && lag > sweep && crowd.is_some_and(|n| n < QUEUED) {
                    // Not its queue, which answers at once: it turns this kind of traffic away, not others.
                    kinds.iter().for_each(|k| _ = w.kinds.entry(*k).or_default().fail(2.0, now, kind_pause));
                    w.full_until = now;
                }
            }
            Error if mark == CopyMark::LoadFailed => c.n = 0,
            // What nothing ever served says nothing of this worker.
            Error if fun.mean == 0.0 => (fun.errors, fun.erred) = (fun.errors + 1, now),
            Error => _ = w.whole.fail(1.0, now, pause),
            Timeout if waited as f64 > fun.load => _ = w.whole.fail(1.0, now, pause),
            // One broken connection tells of itself; with the process all break, or the next is refused.
            Reset if !w.whole.fail(1.0, now, pause) => {}
            ConnectFailed | Reset => {
                w.whole.fail(2.0, now, pause);
                self.m.forget_copies(worker, now);
            }
            Timeout | Cancelled | Moot => {}
        }
        if surprised {
            // Several beliefs proven false together (a release, a fleet emptied): no older one is trusted.
            let from = now.saturating_sub(self.m.functions[f].load as u64 * 2);
            let seen = &mut self.m.surprises;
            seen.push_back((now, worker));
            seen.retain(|s| s.0 >= from);
            if seen.len() >= SURPRISES && seen.iter().any(|s| s.1 != worker) {
                self.m.trust_from = from;
                seen.clear();
            }
        }
    }

    // ---- Loads: where, how many, what came of them. ----

    /// The worker for a new copy: the first home that holds none, or holds least.
    fn place(&self, f: usize) -> Option<WorkerId> {
        let fun = &self.m.functions[f];
        let fit = |w: &Worker| {
            let room = w.ready && self.now >= w.no_load_until && w.loads < WORKER_LOADS;
            room && (!w.whole.tripped || self.all_bad()) && self.capacity(w) > LOAD_CAPACITY
        };
        let near = if fun.spread > 0 { fun.spread + 1 } else { fun.homes.len() };
        let homes = fun.homes.iter().take(near).copied().filter(|id| self.m.workers.get(id).is_some_and(fit));
        let count = |id: &WorkerId| self.warm(f, *id).max(fun.copies.get(id).map_or(0, Copies::coming));
        homes.min_by_key(count)
    }

    /// Rule 5: whether one more order fits the sliding window, within this share of it.
    fn order_room(&self, share: f64) -> bool {
        let from = self.now.saturating_sub(self.set.load_window);
        let taken = self.m.arrivals.since(from + 1);
        let most = share * (self.set.load_free + self.set.load_share * taken);
        let most = most.min(self.m.parts.orders.unwrap_or(f64::INFINITY));
        self.set.load_window == 0 || self.m.orders.since(from) + 1.0 <= most
    }

    /// Orders so many copies more than last said stood; none renews those. The worker itself makes room.
    fn order(&mut self, f: usize, worker: WorkerId, more: u32, out: &mut Vec<Action>) {
        let coming = self.m.functions[f].copies.get(&worker).map_or(0, Copies::coming);
        let copies = (self.warm(f, worker).max(coming * more.min(1)) + more).min(MOST_COPIES);
        self.m.orders.push(self.now);
        self.m.workers.entry(worker).and_modify(|w| w.loads += 1);
        let fun = &mut self.m.functions[f];
        fun.copies.entry(worker).or_default().orders.push((self.now, copies));
        out.push(Action::Load { worker, function: fun.name.clone(), copies });
    }

    fn on_loaded(&mut self, worker: WorkerId, name: &str, told: (Outcome, u32, Span), out: &mut Vec<Action>) {
        let (outcome, n, lag) = told;
        let Some(&f) = self.m.names.get(name) else { return };
        let now = self.now;
        let fun = &mut self.m.functions[f];
        let Some((w, c)) = self.m.workers.get_mut(&worker).zip(fun.copies.get_mut(&worker)) else { return };
        let Some(_) = c.take_order(now.saturating_sub(lag)) else { return };
        w.loads = w.loads.saturating_sub(1);
        // Cut off on its way or after, it may stand all the same: then nothing new is known of the copies.
        if !matches!(outcome, Outcome::Reset | Outcome::Timeout) {
            (c.n, c.known) = (n, now);
        }
        match outcome {
            Outcome::Ok => {
                (c.used, w.whole.heard) = (now, now);
                if lag > fun.step + 2 * self.set.round {
                    blend(&mut fun.load, lag as f64, FAST_GAIN);
                }
            }
            Outcome::Error if fun.mean == 0.0 => (fun.errors, fun.erred) = (fun.errors + 1, now),
            Outcome::Full | Outcome::Error => w.no_load_until = now + fun.load as Span,
            Outcome::Reset => _ = w.whole.fail(1.0, now, self.sweep * BACKOFF),
            _ => _ = w.whole.fail(2.0, now, self.sweep * BACKOFF), // a worker taken out gets no loads
        }
        self.dispatch(f, out);
    }

    // ---- The sweep: silence, held requests, plans. ----

    fn on_sweep(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        out.push(Action::SetAlarm { after: self.sweep, name: "sweep".into() });
        let ago = |span| now.saturating_sub(span);
        self.m.forget(ago(self.set.load_window), ago(self.set.fall_window), ago(self.set.warm_after));
        let due = self.m.asked_at == 0 || self.m.asked_at + self.set.ask_within / 4 < now;
        if self.set.discovery == Discovery::Ask && due {
            self.m.asked_at = now;
            out.push(Action::Subscribe { on: true });
        }
        self.tell(out);
        let loads = self.m.ready().map(|w| self.load(w)).sum::<f64>();
        self.m.mean_load = (loads / self.m.ready().count().max(1) as f64).max(0.1);
        // What answers took fades: one found slow in a bad moment gets hardly an answer to prove otherwise.
        let fade = (-(self.sweep as f64) / (self.keep() * SLOW_SPAN)).exp();
        self.m.workers.values_mut().for_each(|w| w.slow = 1.0 + (w.slow - 1.0) * fade);
        self.find_silent(out);
        // Nothing is kept of what has long not been called, nor of workers long gone.
        self.m.forget_unused(ago(UNUSED * self.keep() as Span));
        for f in 0..self.m.functions.len() {
            if self.m.functions[f].step == 0 {
                continue; // a free place
            }
            if !self.m.functions[f].held.is_empty() {
                self.dispatch(f, out);
            }
            let new = self.m.functions[f].roll(now, self.began.unwrap_or(now), BINS as u64);
            if new && self.set.may_order && !self.doubtful(f) {
                self.plan_function(f, out);
            }
        }
    }

    /// What answers nothing: an attempt overdue counts once, against its kinds of traffic at the worker, and
    /// against the whole worker where that has given no word at all since.
    fn find_silent(&mut self, out: &mut Vec<Action>) {
        let (now, pause) = (self.now, self.sweep * BACKOFF + self.rng.u64(0..=self.sweep * BACKOFF));
        for o in self.m.open.values_mut() {
            let kinds = o.kinds();
            let overdue = |a: &&mut Attempt| a.out && !a.overdue && now > a.sent + a.expected;
            for a in o.attempts.iter_mut().filter(overdue) {
                a.overdue = true;
                let Some(w) = self.m.workers.get_mut(&a.worker) else { continue };
                for k in kinds {
                    let h = w.kinds.entry(k).or_default();
                    if h.heard <= a.sent {
                        h.fail(2.0, now, self.set.keep_alive / KIND_PAUSE);
                    }
                }
                let newly = w.whole.heard <= a.sent && w.whole.fail(1.0, now, pause);
                if newly && now > self.m.logged_at + self.set.keep_alive / 4 {
                    self.m.logged_at = now;
                    out.push(Action::Log { text: format!("worker {} answers nothing: taken out", a.worker) });
                }
            }
        }
        // Repeatable requests out at a worker taken out go elsewhere: at once, or after they are called off.
        let mut again = Vec::new();
        for (id, o) in self.m.open.iter_mut().filter(|(_, o)| !o.over && !o.stream) {
            let spent = o.attempts.len() >= self.set.max_attempts as usize;
            let repeat = self.set.classes[o.class].effect == Effect::Repeatable && !spent;
            let Some(n) = o.attempts.len().checked_sub(1).filter(|_| repeat) else { continue };
            let kinds = o.kinds();
            let a = &mut o.attempts[n];
            let Some(w) = self.m.workers.get(&a.worker) else { continue };
            let silent = |h: &Health| h.tripped && h.heard <= a.sent;
            let gone = silent(&w.whole) || kinds.iter().any(|k| w.kinds.get(k).is_some_and(silent));
            if !a.out || a.called_off || !gone || now < a.sent + a.expected / 2 {
                continue;
            }
            if self.set.may_duplicate {
                a.expected = self.set.classes[o.class].deadline; // one second copy only
                again.push((o.function, id.clone()));
            } else if self.set.may_cancel {
                a.called_off = true;
                out.push(Action::Cancel { id: id.clone(), attempt: n as u32 });
            }
        }
        again.iter().for_each(|(f, id)| self.m.hold(*f, id)); // the sweep serves them next
    }

    /// One function's step: forecast, search, and the first step's loads or drops.
    fn plan_function(&mut self, f: usize, out: &mut Vec<Action>) {
        let (now, keep, mean, fun) = (self.now, self.keep(), self.service(f), &self.m.functions[f]);
        let bins: Vec<f64> = fun.bins.iter().take(fun.bins.len() - 1).copied().collect();
        if fun.spread > 0 && fun.held.is_empty() && bins.iter().all(|&y| y == 0.0) {
            return; // Nothing to plan for, and others use what stands.
        }
        let step = fun.step as f64;
        let delay = ((fun.load / step) as usize).clamp(1, MAX_DELAY);
        let steps = delay + BEYOND;
        let (mut warm, mut foreign, mut change) = (0.0, 0.0, vec![0.0; steps]);
        let mut newest = None::<(Time, WorkerId)>; // the last copies used, to be renewed
        let mut idlest = newest;
        for (&id, c) in &fun.copies {
            let n = self.warm(f, id);
            for &(at, want) in c.orders.iter().filter(|o| o.1 > n) {
                let left = (at as f64 + fun.load - now as f64).max(0.0) / step;
                change[(left as usize).min(steps - 1)] += f64::from(want - n);
            }
            change[delay] += f64::from(u8::from(n == 0 && c.out > 0)); // sent on a stale belief: it may load
            if n > 0 && self.m.workers.get(&id).is_some_and(|w| w.ready && !w.whole.tripped) {
                warm += f64::from(n);
                foreign += c.foreign.min(f64::from(n * fun.lanes));
                newest = newest.max(Some((c.used, id)));
                if c.out == 0 && c.orders.is_empty() && idlest.is_none_or(|o| (c.used, id) < o) {
                    idlest = Some((c.used, id));
                }
            }
        }
        // Renewal: the last copies of a function still in use are held again before they can age out.
        // What other front ends use as well stays by their use, and is not this one's to drop.
        let alone = fun.spread == 0;
        let in_use = alone && fun.uses.get(now, 2.0 * keep) > RENEW_USES;
        if let Some((used, id)) = newest.filter(|_| in_use && self.order_room(AHEAD_SHARE)) {
            if now + 2 * fun.step + self.sweep > used + self.set.keep_alive {
                self.order(f, id, 0, out);
                self.m.functions[f].copies.entry(id).and_modify(|c| c.used = now);
                return;
            }
        }
        let aim = self.set.classes[fun.class].aim.max(1) as f64;
        let horizon = Horizon {
            arrivals: forecast(&bins, steps),
            queue: fun.held.len() as f64,
            warm,
            change,
            foreign,
            lanes: f64::from(fun.lanes),
            service: if fun.quick > 0.0 { fun.quick } else { mean } / step,
            delay,
            cold_pain: ((fun.load + mean) / aim).min(1.0),
            wait_pain: (mean / aim).min(1.0),
            load_cost: LOAD_COST + self.set.fetch_price,
            drop_reward: self.set.idle_price * DROP_REWARD,
            most: f64::from(MOST_COPIES) * self.m.workers.len() as f64,
            last_loads: fun.last_loads,
        };
        let (loads, drops) = plan(&horizon);
        self.m.functions[f].last_loads = f64::from(loads);
        for _ in 0..loads {
            if let Some(id) = self.place(f).filter(|_| self.order_room(AHEAD_SHARE)) {
                self.order(f, id, 1, out);
            }
        }
        // Drops act on long-idle copies only, and where memory is priced.
        let long = |i: &(Time, WorkerId)| i.0 + self.set.keep_alive / 2 < now && Some(*i) != newest;
        if let Some((_, id)) = idlest.filter(|i| drops > 0 && self.set.idle_price > 0.0 && long(i) && alone) {
            self.m.functions[f].copies.entry(id).and_modify(|c| (c.n, c.known) = (0, now));
            out.push(Action::Drop { worker: id, function: self.m.functions[f].name.clone() });
        }
    }
}

// ---- Health: one running share of failures for a worker as a whole and for each kind of traffic there. ----

impl Health {
    fn pass(&mut self, now: Time) {
        (self.heard, self.fails, self.backoff) = (now, self.fails * (1.0 - FAIL_GAIN), self.backoff / 2);
        self.tripped &= self.fails >= CLOSE;
    }

    /// A failure of weight 1, or 2 where unreachable or silent (longer pauses each time); true if it trips.
    fn fail(&mut self, weight: f64, now: Time, pause: Span) -> bool {
        let before = self.tripped;
        self.fails += FAIL_GAIN * weight * (1.0 - self.fails);
        if self.fails > TRIP || self.tripped {
            self.tripped = true;
            self.backoff = (self.backoff * 2).clamp(pause, pause * MOST_BACKOFF);
            self.retry_at = now + self.backoff;
        }
        self.tripped && !before
    }
}
