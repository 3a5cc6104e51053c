//! A deterministic model of a runner, without I/O: copies, lanes, queue, memory, loads, warming and faults.
//! The current time is passed in.
//!
//! A call runs only on a loaded copy. A runner without one loads it while the call waits, or answers `miss`.
//! A load is a fetch from the handler store followed by a start. A copy runs a limited number of calls at a
//! time; when all lanes are in use a call waits in a bounded queue. Idle copies are unloaded after a time, or
//! earlier if a load needs the memory. A runner that has just started is cold; if overloaded while cold, it
//! fails and stays down.

use crate::share::{Share, Time};
use badgerwind::interface::{CopyMark, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Properties of a runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core.
    pub speed: f64,
    /// Largest number of waiting calls in total.
    pub queue: usize,
    /// Memory for copies, in MB.
    pub memory_mb: f64,
    /// Number of concurrent loads; twice as many may wait.
    pub loads: usize,
    /// Time after which an idle copy is unloaded, in microseconds.
    pub keep_alive: Time,
    /// Whether a call for a function that is not loaded waits for a load; otherwise the answer is `miss`.
    pub loads_when_absent: bool,
    /// Whether the runner loads a further copy by itself when all lanes are in use.
    pub eager: bool,
    /// Share of its capacity at the start.
    pub cold_from: f64,
    /// Time until it is warm, in microseconds.
    pub cold_span: Time,
    /// A cold runner fails if it is sent more than this multiple of its present capacity in a `fall_window`.
    pub fall_multiple: f64,
    /// Length of the window for `fall_multiple`, in microseconds.
    pub fall_window: Time,
    /// Time of the start after the fetch, in microseconds.
    pub start: Time,
}

/// A fault that lasts until it is ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum Fault {
    /// Accepts calls and answers none.
    Hang,
    /// Fails a share of the calls at once, evenly spread.
    FastErrors {
        /// The share of calls or of cores.
        share: f64,
    },
    /// Rejects a tenant's calls as full, after a delay.
    Throttle {
        /// The tenant.
        tenant: String,
    },
    /// Rejects a class's calls as full, after a delay.
    ThrottleClass {
        /// The class.
        class: String,
    },
    /// Leaves a class's calls unanswered.
    ClassFail {
        /// The class.
        class: String,
    },
    /// Another program uses a share of the cores.
    Neighbour {
        /// The share of calls or of cores.
        share: f64,
    },
    /// Breaks the connection of a share of the calls in the middle of the answer.
    Reset {
        /// The share of calls or of cores.
        share: f64,
    },
}

/// A call as it arrives at the runner.
#[derive(Clone, Debug)]
pub struct IncomingCall {
    /// Function to call.
    pub function: String,
    /// Memory of a copy, in MB.
    pub memory_mb: f64,
    /// Concurrent calls of a copy.
    pub lanes: u32,
    /// Work in microseconds of a core of speed 1.
    pub work: f64,
    /// Mean work of the class, which counts for the overload of a cold runner.
    pub mean_work: f64,
    /// Class of the call.
    pub class: String,
    /// Tenant of the call.
    pub tenant: String,
}

/// An action that the model requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a call.
    Answer {
        /// The call.
        call: u64,
        /// The outcome.
        outcome: Outcome,
        /// State of the copy when the call came.
        mark: CopyMark,
        /// Number of calls for the function held when it came.
        crowd: u32,
    },
    /// The call's work is complete: its effect has happened.
    Finished {
        /// The call.
        call: u64,
    },
    /// Break the call's connection in the middle of the answer.
    Break {
        /// The call.
        call: u64,
    },
    /// Fetch a function from the store; the result goes to [`Runner::on_fetch_end`].
    Fetch {
        /// The load.
        load: u64,
        /// The function.
        function: String,
    },
    /// Answer an order.
    Ordered {
        /// The order.
        order: u64,
        /// The outcome.
        outcome: Outcome,
        /// Number of loaded copies.
        copies: u32,
    },
    /// The runner failed from overload.
    Overloaded,
}

#[derive(Debug)]
struct Copy {
    running: u32,
    idle_since: Time,
}

#[derive(Debug)]
struct Function {
    memory_mb: f64,
    lanes: u32,
    copies: Vec<Copy>,
    loading: usize,
    queue: VecDeque<u64>,
    /// Number of calls, queued or running.
    held: u32,
}

#[derive(Debug)]
struct HeldCall {
    call: IncomingCall,
    crowd: u32,
    mark: CopyMark,
    /// Whether a fault leaves it unanswered.
    unanswered: bool,
    running: bool,
}

#[derive(Debug)]
struct Order {
    function: String,
    copies: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LoadState {
    Waiting,
    Fetching,
    Starting(Time),
}

#[derive(Debug)]
struct Load {
    function: String,
    memory_mb: f64,
    state: LoadState,
}

/// The model of a runner.
#[derive(Debug)]
pub struct Runner {
    spec: Spec,
    started_at: Time,
    /// Whether it started cold.
    cold: bool,
    failed: bool,
    draining: bool,
    faults: Vec<Fault>,
    functions: BTreeMap<String, Function>,
    calls: BTreeMap<u64, HeldCall>,
    share: Share,
    loads: BTreeMap<u64, Load>,
    next_load: u64,
    orders: BTreeMap<u64, Order>,
    arrivals: VecDeque<(Time, f64)>,
    /// Delayed answers of throttled calls.
    delayed: BTreeMap<(Time, u64), Outcome>,
    call_count: u64,
}

/// Delay of the rejection of a throttled call, in microseconds.
const THROTTLE_DELAY: Time = 80_000;
/// Interval at which a warming runner's capacity is updated, in microseconds.
const WARMING_INTERVAL: Time = 50_000;

impl Runner {
    /// Creates a runner that starts at `now`, either cold or already warm.
    pub fn new(now: Time, spec: Spec, cold: bool) -> Self {
        let mut runner = Runner {
            share: Share::new(0.0, 0.0),
            spec,
            started_at: now,
            cold,
            failed: false,
            draining: false,
            faults: Vec::new(),
            functions: BTreeMap::new(),
            calls: BTreeMap::new(),
            loads: BTreeMap::new(),
            next_load: 0,
            orders: BTreeMap::new(),
            arrivals: VecDeque::new(),
            delayed: BTreeMap::new(),
            call_count: 0,
        };
        runner.update_speed(now);
        runner
    }

    /// Share of its capacity that is available at `now`.
    pub fn capacity(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if !self.cold || age >= self.spec.cold_span {
            return 1.0;
        }
        self.spec.cold_from + (1.0 - self.spec.cold_from) * age as f64 / self.spec.cold_span as f64
    }

    fn update_speed(&mut self, now: Time) {
        let lost: f64 =
            self.faults.iter().map(|f| if let Fault::Neighbour { share } = f { *share } else { 0.0 }).sum();
        let speed = self.spec.speed * self.capacity(now) * (1.0 - lost).max(0.05);
        self.share.set_capacity(now, self.spec.cores * speed, speed);
    }

    /// Starts or ends a fault.
    pub fn set_fault(&mut self, now: Time, fault: Fault, on: bool) {
        self.faults.retain(|f| std::mem::discriminant(f) != std::mem::discriminant(&fault));
        if on {
            self.faults.push(fault);
        }
        self.update_speed(now);
    }

    /// Starts or ends draining: a draining runner accepts no new calls and orders.
    pub fn set_draining(&mut self, on: bool) {
        self.draining = on;
    }

    /// Number of loaded copies of a function.
    pub fn copies(&self, function: &str) -> u32 {
        self.functions.get(function).map_or(0, |f| f.copies.len() as u32)
    }

    /// Number of held calls.
    pub fn held_calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether it has failed from overload.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    fn memory_used(&self) -> f64 {
        let copies: f64 = self.functions.values().map(|f| f.memory_mb * f.copies.len() as f64).sum();
        copies + self.loads.values().map(|l| l.memory_mb).sum::<f64>()
    }

    fn function(&mut self, name: &str, memory_mb: f64, lanes: u32) -> &mut Function {
        let f = self.functions.entry(name.to_owned()).or_insert_with(|| Function {
            memory_mb,
            lanes: lanes.max(1),
            copies: Vec::new(),
            loading: 0,
            queue: VecDeque::new(),
            held: 0,
        });
        (f.memory_mb, f.lanes) = (memory_mb, lanes.max(1));
        f
    }

    /// Whether a fault that affects this share of the calls affects the latest call.
    fn affects_latest(&self, share: f64) -> bool {
        // Spread evenly and deterministically.
        let (n, s) = (self.call_count as f64, share.clamp(0.0, 1.0));
        (n * s).floor() > ((n - 1.0) * s).floor()
    }

    /// Handles an arriving call.
    pub fn call(&mut self, now: Time, id: u64, call: IncomingCall, actions: &mut Vec<Action>) {
        self.poll(now, actions);
        self.call_count += 1;
        let crowd = self.functions.get(&call.function).map_or(0, |f| f.held);
        let mut answer = |outcome, mark| actions.push(Action::Answer { call: id, outcome, mark, crowd });
        // Rejected calls also count for the overload of a cold runner.
        self.arrivals.push_back((now, call.mean_work));
        while self.arrivals.front().is_some_and(|(at, _)| at + self.spec.fall_window <= now) {
            self.arrivals.pop_front();
        }
        let (share, full) = (self.capacity(now), self.spec.cores * self.spec.speed);
        let sum: f64 = self.arrivals.iter().map(|a| a.1).sum();
        let budget = self.spec.fall_multiple * share * full * self.spec.fall_window as f64;
        if share < 1.0 && sum > budget + 2.0 * call.mean_work {
            self.failed = true;
            actions.push(Action::Overloaded);
            return;
        }
        if self.draining {
            return answer(Outcome::Full, CopyMark::Untold);
        }
        let (mut unanswered, mut throttled) = (false, false);
        for fault in &self.faults {
            match fault {
                Fault::Hang => unanswered = true,
                Fault::ClassFail { class } if *class == call.class => unanswered = true,
                Fault::FastErrors { share } if self.affects_latest(*share) => {
                    return answer(Outcome::Error, CopyMark::Untold);
                }
                Fault::Throttle { tenant } if *tenant == call.tenant => throttled = true,
                Fault::ThrottleClass { class } if *class == call.class => throttled = true,
                _ => {}
            }
        }
        if throttled {
            self.delayed.insert((now + THROTTLE_DELAY, id), Outcome::Full);
            let held = HeldCall { call, crowd, mark: CopyMark::Untold, unanswered: true, running: false };
            self.calls.insert(id, held);
            return;
        }
        let queued: usize = self.functions.values().map(|f| f.queue.len()).sum();
        let (name, limits) = (call.function.clone(), (self.spec.queue, self.spec.eager));
        let f = self.function(&name, call.memory_mb, call.lanes);
        let free = f.copies.iter().any(|c| c.running < f.lanes);
        let absent = f.copies.is_empty() && f.loading == 0;
        if absent && !self.spec.loads_when_absent && !unanswered {
            return answer(Outcome::Miss, CopyMark::Untold);
        }
        if !free && queued >= limits.0 && !unanswered {
            return answer(Outcome::Full, CopyMark::Untold);
        }
        let f = self.function(&name, call.memory_mb, call.lanes);
        f.held += 1;
        let mark = match (free, f.loading) {
            (true, _) => CopyMark::Warm,
            (false, 0) if f.copies.is_empty() => CopyMark::BeganLoad,
            (false, 0) => CopyMark::Warm,
            (false, _) if f.copies.is_empty() => CopyMark::WaitedForLoad,
            (false, _) => CopyMark::Warm,
        };
        f.queue.push_back(id);
        let needs_load = absent || !free && limits.1 && f.loading * (f.lanes as usize) < f.queue.len();
        self.calls.insert(id, HeldCall { call, crowd, mark, unanswered, running: false });
        if needs_load && !self.load(now, &name, actions) && absent {
            // No memory for a copy, and no load to wait for.
            self.unqueue(&name, id);
            self.calls.remove(&id);
            actions.push(Action::Answer { call: id, outcome: Outcome::Full, mark: CopyMark::Untold, crowd });
            return;
        }
        self.start_queued(now, &name);
    }

    fn unqueue(&mut self, function: &str, id: u64) {
        if let Some(f) = self.functions.get_mut(function) {
            f.queue.retain(|q| *q != id);
            f.held = f.held.saturating_sub(1);
        }
    }

    /// Queues a load; returns false without memory for it, or if too many loads wait.
    fn load(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) -> bool {
        let Some(f) = self.functions.get(name) else { return false };
        let memory_mb = f.memory_mb;
        if self.loads.len() >= 3 * self.spec.loads {
            return false;
        }
        // Unloads idle copies to free memory, the longest idle one first.
        while self.memory_used() + memory_mb > self.spec.memory_mb {
            let idle = self.functions.iter().filter_map(|(n, f)| {
                f.copies.iter().filter(|c| c.running == 0).map(|c| (c.idle_since, n.clone())).min()
            });
            let Some((_, victim)) = idle.min() else { return false };
            if let Some(f) = self.functions.get_mut(&victim) {
                let oldest = (0..f.copies.len())
                    .filter(|&i| f.copies[i].running == 0)
                    .min_by_key(|&i| f.copies[i].idle_since);
                oldest.map(|i| f.copies.remove(i));
            }
        }
        self.next_load += 1;
        let load = Load { function: name.to_owned(), memory_mb, state: LoadState::Waiting };
        self.loads.insert(self.next_load, load);
        if let Some(f) = self.functions.get_mut(name) {
            f.loading += 1;
        }
        self.start_loads(actions);
        let _ = now;
        true
    }

    fn start_loads(&mut self, actions: &mut Vec<Action>) {
        let busy = self.loads.values().filter(|l| l.state != LoadState::Waiting).count();
        let waiting = self.loads.iter_mut().filter(|(_, l)| l.state == LoadState::Waiting);
        for (id, load) in waiting.take(self.spec.loads.saturating_sub(busy)) {
            load.state = LoadState::Fetching;
            actions.push(Action::Fetch { load: *id, function: load.function.clone() });
        }
    }

    /// Handles the end of a fetch.
    pub fn on_fetch_end(&mut self, now: Time, load: u64, ok: bool, actions: &mut Vec<Action>) {
        self.poll(now, actions);
        if ok {
            if let Some(l) = self.loads.get_mut(&load) {
                l.state = LoadState::Starting(now + self.spec.start);
            }
            return;
        }
        let Some(l) = self.loads.remove(&load) else { return };
        let (mut missed, mut failed) = (Vec::new(), Vec::new());
        if let Some(f) = self.functions.get_mut(&l.function) {
            f.loading -= 1;
            if f.copies.is_empty() && f.loading == 0 {
                missed = f.queue.drain(..).collect();
                f.held -= missed.len() as u32;
            }
        }
        for id in missed {
            // Calls that waited for the load never ran.
            if let Some(h) = self.calls.remove(&id).filter(|h| !h.unanswered) {
                let (outcome, mark) = (Outcome::Miss, CopyMark::LoadFailed);
                actions.push(Action::Answer { call: id, outcome, mark, crowd: h.crowd });
            }
        }
        for (id, o) in &self.orders {
            let f = self.functions.get(&o.function);
            if o.function == l.function && f.is_none_or(|f| f.loading == 0) {
                failed.push((*id, f.map_or(0, |f| f.copies.len() as u32)));
            }
        }
        for (order, copies) in failed {
            self.orders.remove(&order);
            actions.push(Action::Ordered { order, outcome: Outcome::Error, copies });
        }
        self.start_loads(actions);
    }

    /// Starts queued calls on free lanes.
    fn start_queued(&mut self, now: Time, name: &str) {
        let Some(f) = self.functions.get_mut(name) else { return };
        while let Some(&id) = f.queue.front() {
            let Some(copy) = f.copies.iter_mut().find(|c| c.running < f.lanes) else { break };
            f.queue.pop_front();
            copy.running += 1;
            if let Some(h) = self.calls.get_mut(&id) {
                h.running = true;
                // An unanswered call holds its lane and never completes.
                self.share.add(now, id, if h.unanswered { 1e15 } else { h.call.work });
            }
        }
    }

    /// Cancels a call whose sender has disconnected or cancelled it; returns false if it is not held.
    pub fn cancel(&mut self, now: Time, id: u64, actions: &mut Vec<Action>) -> bool {
        self.poll(now, actions);
        self.delayed.retain(|(_, call), _| *call != id);
        let Some(held) = self.calls.remove(&id) else { return false };
        let name = held.call.function;
        if held.running {
            self.share.remove(now, id);
            self.free_lane(now, &name);
        } else {
            self.unqueue(&name, id);
        }
        true
    }

    fn free_lane(&mut self, now: Time, name: &str) {
        if let Some(f) = self.functions.get_mut(name) {
            f.held = f.held.saturating_sub(1);
            // The busiest copy releases a lane, so that idle copies stay idle.
            if let Some(c) = f.copies.iter_mut().max_by_key(|c| c.running) {
                c.running = c.running.saturating_sub(1);
                c.idle_since = now;
            }
        }
        self.start_queued(now, name);
    }

    /// Handles an order to hold a number of copies, or a query for their number.
    pub fn order(
        &mut self,
        now: Time,
        id: u64,
        (name, copies): (&str, u32),
        (memory_mb, lanes): (f64, u32),
        actions: &mut Vec<Action>,
    ) {
        self.poll(now, actions);
        let loaded = self.copies(name);
        if copies == 0 || self.faults.contains(&Fault::Hang) {
            if copies == 0 && !self.faults.contains(&Fault::Hang) {
                actions.push(Action::Ordered { order: id, outcome: Outcome::Ok, copies: loaded });
            }
            return;
        }
        if self.draining {
            return actions.push(Action::Ordered { order: id, outcome: Outcome::Full, copies: loaded });
        }
        let f = self.function(name, memory_mb, lanes);
        f.copies.iter_mut().filter(|c| c.running == 0).for_each(|c| c.idle_since = now);
        let (loaded, planned) = (f.copies.len() as u32, (f.copies.len() + f.loading) as u32);
        if loaded >= copies {
            return actions.push(Action::Ordered { order: id, outcome: Outcome::Ok, copies: loaded });
        }
        for _ in planned..copies {
            if !self.load(now, name, actions) {
                return actions.push(Action::Ordered { order: id, outcome: Outcome::Full, copies: loaded });
            }
        }
        self.orders.insert(id, Order { function: name.to_owned(), copies });
    }

    /// Unloads the idle copies of a function.
    pub fn unload(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) {
        self.poll(now, actions);
        if let Some(f) = self.functions.get_mut(name) {
            f.copies.retain(|c| c.running > 0);
        }
    }

    /// Unloads all idle copies, as after a new release of the functions.
    pub fn discard_idle_copies(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.poll(now, actions);
        self.functions.values_mut().for_each(|f| f.copies.retain(|c| c.running > 0));
    }

    /// Advances the model to `now`.
    pub fn poll(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.update_speed(now);
        while let Some((&(at, call), &outcome)) = self.delayed.iter().next().filter(|((at, _), _)| *at <= now)
        {
            self.delayed.remove(&(at, call));
            if let Some(h) = self.calls.remove(&call) {
                actions.push(Action::Answer { call, outcome, mark: h.mark, crowd: h.crowd });
            }
        }
        for id in self.share.take_completed(now) {
            let Some(held) = self.calls.remove(&id) else { continue };
            actions.push(Action::Finished { call: id });
            let breaks = self.faults.iter().any(|f| match f {
                Fault::Reset { share } => self.affects_latest(*share),
                _ => false,
            });
            let (mark, crowd) = (held.mark, held.crowd);
            actions.push(match breaks {
                true => Action::Break { call: id },
                false => Action::Answer { call: id, outcome: Outcome::Ok, mark, crowd },
            });
            self.free_lane(now, &held.call.function);
        }
        let started = |l: &Load| matches!(l.state, LoadState::Starting(at) if at <= now);
        let ready: Vec<u64> = self.loads.iter().filter(|(_, l)| started(l)).map(|(id, _)| *id).collect();
        for id in ready {
            let Some(load) = self.loads.remove(&id) else { continue };
            if let Some(f) = self.functions.get_mut(&load.function) {
                f.loading -= 1;
                f.copies.push(Copy { running: 0, idle_since: now });
            }
            self.start_queued(now, &load.function);
            let loaded = self.copies(&load.function);
            let satisfied = |o: &Order| o.function == load.function && loaded >= o.copies;
            let orders: Vec<u64> =
                self.orders.iter().filter(|(_, o)| satisfied(o)).map(|(id, _)| *id).collect();
            for order in orders {
                self.orders.remove(&order);
                actions.push(Action::Ordered { order, outcome: Outcome::Ok, copies: loaded });
            }
        }
        self.start_loads(actions);
        let keep = self.spec.keep_alive;
        for f in self.functions.values_mut() {
            f.copies.retain(|c| c.running > 0 || c.idle_since + keep > now);
        }
    }

    /// Time of the next due event.
    pub fn next(&self, now: Time) -> Option<Time> {
        let starts = self.loads.values().filter_map(|l| match l.state {
            LoadState::Starting(at) => Some(at),
            _ => None,
        });
        let delayed = self.delayed.keys().next().map(|k| k.0);
        let warming = (!self.share.is_empty() && self.capacity(now) < 1.0).then_some(now + WARMING_INTERVAL);
        starts.chain(delayed).chain(warming).chain(self.share.next_completion()).min()
    }
}
