//! A hollow front end: the real call path with simulated workers in simulated time. Processor time and heap
//! allocations of the call path are measured.

use super::network::SECOND;
use super::workers::{CallReply, ForeignCalls, ScriptedWorkers, WorkerModel};
use crate::cost::ProcessorMeter;
use badgerwind::interface::*;
use badgerwind::Router;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp, Zipf};
use stats_alloc::{Stats, INSTRUMENTED_SYSTEM};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

/// Calls per second at one front end at the planned size.
pub const CALLS_PER_SECOND: f64 = 127.0;
/// Number of front ends at the planned size.
pub const PLANNED_FRONT_ENDS: u32 = 11_000;
/// Number of zones at the planned size.
pub const ZONES: u32 = super::network::ZONES as u32;
/// Number of workers per cell.
pub const WORKERS_PER_CELL: u32 = 100;
/// Events that are due within this time are processed in one batch, as the driver does.
const ROUND: Micros = 500;
/// Aim of all calls.
const AIM: Micros = SECOND;
/// Deadline of all calls.
const DEADLINE: Micros = 3 * SECOND;
/// Number of lanes of a copy.
const LANES: u32 = 2;
/// Memory of a copy, as stated in each request.
const FUNCTION_MEMORY_MB: f64 = 400.0;
/// Load time of a function as stated in each request.
const EXPECTED_LOAD_TIME: Micros = 900_000;
/// Time within which a cold call should be answered.
pub const COLD_START_TARGET: Micros = 1_500_000;
/// Simulated time at which a measurement starts.
const START_TIME: Time = SECOND;
/// Number of empty readings from which the overhead of the meter is estimated.
const CALIBRATION_READINGS: u32 = 2_000;

/// The code under measurement, which turns events into actions: the router, or a substitute in a test.
pub trait CallPath {
    /// Processes an event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}

impl CallPath for Router {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        Router::handle(self, now, event, out);
    }
}

/// Workload of a hollow front end: its listed workers and the calls that it receives.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Number of workers in the list.
    pub workers: u32,
    /// Number of functions that are called.
    pub functions: u64,
    /// Exponent of the Zipf distribution of calls over functions.
    pub zipf_exponent: f64,
    /// Calls per second that arrive at this front end.
    pub calls_per_second: f64,
    /// What a worker does with a call for a function that it has not loaded.
    pub when_absent: WhenAbsent,
    /// Time for which an idle copy stays loaded.
    pub keep_alive: Micros,
    /// Mean number of calls of other front ends in the crowd mark of an answer.
    pub mean_foreign_crowd: f64,
    /// Calls of other front ends that keep copies loaded; none by default.
    pub foreign_calls: Option<ForeignCalls>,
}

impl Workload {
    /// Creates a workload at the planned rate of calls, without calls of other front ends.
    pub fn new(workers: u32, functions: u64) -> Self {
        Workload {
            workers,
            functions,
            zipf_exponent: 1.0,
            calls_per_second: CALLS_PER_SECOND,
            when_absent: WhenAbsent::Miss,
            keep_alive: 60 * SECOND,
            mean_foreign_crowd: 0.0,
            foreign_calls: None,
        }
    }

    /// Settings of the decision module in a fleet of the planned size, with the product's defaults where
    /// they exist.
    pub fn settings(&self) -> Settings {
        let class = Class {
            aim: AIM,
            deadline: DEADLINE,
            aim_stretch: 0.0,
            effect: Effect::Repeatable,
            group: Group::Zone,
            window: 2 * SECOND,
            worth: 1.0,
            late_worth: 0.2,
            streaming: false,
        };
        Settings {
            front_ends: PLANNED_FRONT_ENDS,
            my_number: 0,
            my_zone: 0,
            classes: vec![class],
            tenants: vec![Tenant { quota_per_s: None }],
            over_share_worth: 1.0,
            discovery: Discovery::Push,
            ask_within: 10 * SECOND,
            when_absent: self.when_absent,
            keep_alive: self.keep_alive,
            memory_mb: vec![8_000.0],
            order_timeout: 10 * SECOND,
            may_order: true,
            marks_warm: true,
            marks_crowd: true,
            load_window: 0,
            load_free: 0.0,
            load_share: 0.0,
            idle_price: 0.0,
            fetch_price: 0.0,
            zone_price: 0.0,
            max_attempts: 3,
            may_cancel: true,
            may_duplicate: false,
            may_probe: true,
            may_message: false,
            max_retry_after: 0,
            answer_slack: 20_000,
            drain_grace: SECOND / 2,
            cold_from: 0.16,
            warm_after: 18 * SECOND,
            fall_multiple: 2.5,
            fall_window: 1_500_000,
            round: ROUND,
            report_mode: ReportMode::None,
            report_fields: vec![],
        }
    }

    /// The entries of all workers in the list, all ready.
    pub fn worker_entries(&self) -> Vec<WorkerEntry> {
        (1..=self.workers).map(|worker| worker_entry(worker, Availability::Ready)).collect()
    }
}

/// The entry of a worker in the list. Workers are assigned to zones round-robin.
pub fn worker_entry(worker: WorkerId, availability: Availability) -> WorkerEntry {
    let (zone, cell) = (worker % ZONES, worker / WORKERS_PER_CELL);
    WorkerEntry { worker, zone, cell, kind: 0, size: 1.0, availability, born: None }
}

/// Costs of the call path and results of the calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Costs {
    /// Number of calls that arrived.
    pub calls: u64,
    /// Number of events processed.
    pub events: u64,
    /// Processor time of the call path alone, in microseconds.
    pub processor_us: f64,
    /// Number of heap allocations and reallocations.
    pub allocations: u64,
    /// Number of bytes allocated on the heap, whether freed again or not.
    pub allocated_bytes: u64,
    /// Number of attempts sent.
    pub sends: u64,
    /// Number of attempts that found no loaded copy.
    pub misses: u64,
    /// Number of load orders.
    pub load_orders: u64,
    /// Number of calls served.
    pub served: u64,
    /// Number of calls refused or failed.
    pub refused: u64,
    /// Sum of the times from arrival to answer of all calls served, in microseconds.
    pub total_answer_us: u64,
    /// Number of finished cold calls: an attempt found no loaded copy, or waited for a copy that was still
    /// loading.
    pub cold_calls: u64,
    /// Number of cold calls answered within [`COLD_START_TARGET`].
    pub cold_calls_on_time: u64,
}

impl Costs {
    /// Divides a total by the number of calls.
    pub fn per_call(&self, total: f64) -> f64 {
        total / self.calls.max(1) as f64
    }
}

#[derive(Debug)]
enum PendingEvent {
    Arrival,
    /// An additional call to one function, followed by more until the end of the burst.
    BurstArrival {
        function: u64,
        interval: Exp<f64>,
        until: Time,
    },
    Answer {
        call: u64,
        attempt: usize,
        reply: CallReply,
    },
    Loaded {
        worker: WorkerId,
        function: u64,
        sent: Time,
        copies: u32,
    },
    Alarm {
        name: Arc<str>,
    },
}

/// A pending event with its due time. Events due at the same time are ordered by `sequence`, the order in
/// which they were scheduled.
#[derive(Debug)]
struct ScheduledEvent {
    due: Time,
    sequence: u64,
    pending: PendingEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

#[derive(Debug)]
struct Attempt {
    worker: WorkerId,
    sent: Time,
    in_flight: bool,
}

#[derive(Debug)]
struct Call {
    function: u64,
    arrived: Time,
    attempts: Vec<Attempt>,
    cold: bool,
    finished: bool,
}

/// A hollow front end with its simulated calls and workers.
pub struct HollowFrontEnd<P> {
    call_path: P,
    workload: Workload,
    workers: ScriptedWorkers,
    now: Time,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
    rng: StdRng,
    arrival_interval: Exp<f64>,
    function_ranks: Zipf<f64>,
    calls: HashMap<u64, Call>,
    arrived_calls: u64,
    called_functions: HashSet<u64>,
    batch: Vec<Event>,
    actions: Vec<Action>,
    costs: Costs,
    /// Overhead of one use of the processor meter, in microseconds.
    meter_overhead_us: f64,
    /// The worker of the first attempt of each call, by call number.
    first_workers: Vec<Option<WorkerId>>,
}

impl HollowFrontEnd<Router> {
    /// Creates a front end with the real router, which has the whole list. Nothing is loaded yet.
    pub fn new(workload: Workload, seed: u64) -> Self {
        HollowFrontEnd::with_path(Router::new(seed, workload.settings()), workload, seed)
    }
}

impl<P: CallPath> HollowFrontEnd<P> {
    /// Creates a front end with another call path, whose first event is the whole list.
    pub fn with_path(call_path: P, workload: Workload, seed: u64) -> Self {
        let model = WorkerModel {
            when_absent: workload.when_absent,
            keep_alive: workload.keep_alive,
            lanes: LANES,
            mean_foreign_crowd: workload.mean_foreign_crowd,
            foreign_calls: workload.foreign_calls,
        };
        let mut front_end = HollowFrontEnd {
            call_path,
            workload,
            workers: ScriptedWorkers::new(model, seed ^ 0x5eed),
            now: START_TIME,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            arrival_interval: Exp::new(workload.calls_per_second.max(1e-6)).expect("the rate is positive"),
            function_ranks: Zipf::new(workload.functions.max(1) as f64, workload.zipf_exponent)
                .expect("there is a function, and the exponent is not negative"),
            calls: HashMap::new(),
            arrived_calls: 0,
            called_functions: HashSet::new(),
            batch: Vec::with_capacity(64),
            actions: Vec::with_capacity(1024),
            costs: Costs::default(),
            meter_overhead_us: measure_meter_overhead(),
            first_workers: Vec::new(),
        };
        front_end.apply_list(ListKind::Whole, workload.worker_entries());
        front_end.schedule(START_TIME, PendingEvent::Arrival);
        front_end
    }

    /// Advances simulated time and processes all events that become due.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.next_due().is_some_and(|due| due <= end) {
            self.collect_batch();
            self.process_batch();
        }
        self.now = end;
    }

    /// Processes a list event at once and returns its processor time in microseconds.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) -> f64 {
        let before = self.costs.processor_us;
        self.batch.push(Event::List { kind, entries });
        self.process_batch();
        self.costs.processor_us - before
    }

    /// Starts a burst of additional calls to one function, with the given rate and duration.
    pub fn start_burst(&mut self, function: u64, calls_per_second: f64, duration: Micros) {
        let Some(interval) = Exp::new(calls_per_second).ok().filter(|_| calls_per_second > 0.0) else {
            return;
        };
        let until = self.now + duration;
        self.schedule(self.now, PendingEvent::BurstArrival { function, interval, until });
    }

    /// Returns the costs since the last reading and resets them.
    pub fn take_costs(&mut self) -> Costs {
        std::mem::take(&mut self.costs)
    }

    /// The worker of the first attempt of each call, by call number; `None` for a call that was never sent.
    pub fn first_workers(&self) -> &[Option<WorkerId>] {
        &self.first_workers
    }

    /// The current simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Number of calls that have arrived since the start.
    pub fn arrived_calls(&self) -> u64 {
        self.arrived_calls
    }

    /// Number of different functions called since the start.
    pub fn called_functions(&self) -> u64 {
        self.called_functions.len() as u64
    }

    /// Drops the front end and returns the heap bytes that the call path held.
    pub fn into_heap_bytes(self) -> u64 {
        let HollowFrontEnd { call_path, .. } = self;
        let before = live_heap_bytes();
        drop(call_path);
        before.saturating_sub(live_heap_bytes())
    }

    fn next_due(&self) -> Option<Time> {
        self.queue.peek().map(|next| next.0.due)
    }

    fn schedule(&mut self, due: Time, pending: PendingEvent) {
        self.last_sequence += 1;
        self.queue.push(Reverse(ScheduledEvent { due, sequence: self.last_sequence, pending }));
    }

    /// Moves the events that are due within one round into the batch.
    fn collect_batch(&mut self) {
        let Some(first) = self.next_due() else { return };
        self.now = self.now.max(first + ROUND);
        while self.next_due().is_some_and(|due| due <= self.now) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            let event = self.event_for(next.due, next.pending);
            self.batch.extend(event);
        }
    }

    /// Passes the batch to the call path, measures its costs and executes the resulting actions.
    fn process_batch(&mut self) {
        let (now, events) = (self.now, self.batch.len() as u64);
        let heap = INSTRUMENTED_SYSTEM.stats();
        let meter = ProcessorMeter::start();
        for event in self.batch.drain(..) {
            self.call_path.handle(now, event, &mut self.actions);
        }
        let processor_us = meter.microseconds() - self.meter_overhead_us;
        let heap = INSTRUMENTED_SYSTEM.stats() - heap;
        self.costs.events += events;
        self.costs.processor_us += processor_us.max(0.0);
        self.costs.allocations += (heap.allocations + heap.reallocations) as u64;
        self.costs.allocated_bytes += heap.bytes_allocated as u64;
        let mut actions = std::mem::take(&mut self.actions);
        actions.drain(..).for_each(|action| self.execute(action));
        self.actions = actions;
    }

    /// Converts a pending event into an event for the call path, if it causes one.
    fn event_for(&mut self, due: Time, pending: PendingEvent) -> Option<Event> {
        match pending {
            PendingEvent::Arrival => Some(self.on_arrival(due)),
            PendingEvent::BurstArrival { function, interval, until } => {
                Some(self.on_burst_arrival(due, function, interval, until))
            }
            PendingEvent::Answer { call, attempt, reply } => self.on_answer(call, attempt, reply),
            PendingEvent::Loaded { worker, function, sent, copies } => Some(Event::Loaded {
                worker,
                function: function_id(function),
                outcome: Outcome::Ok,
                copies,
                lag: self.now - sent,
            }),
            PendingEvent::Alarm { name } => Some(Event::Alarm { name }),
        }
    }

    /// Schedules the next call and returns the request of this one. Arrivals are scheduled from the
    /// previous due time, so that the arrival process does not depend on the batches.
    fn on_arrival(&mut self, due: Time) -> Event {
        let interval = self.arrival_interval.sample(&mut self.rng) * SECOND as f64;
        let function = self.function_ranks.sample(&mut self.rng) as u64;
        self.schedule(due.saturating_add(interval as Micros), PendingEvent::Arrival);
        self.new_request(function)
    }

    fn on_burst_arrival(&mut self, due: Time, function: u64, interval: Exp<f64>, until: Time) -> Event {
        let next = due.saturating_add((interval.sample(&mut self.rng) * SECOND as f64) as Micros);
        if next < until {
            self.schedule(next, PendingEvent::BurstArrival { function, interval, until });
        }
        self.new_request(function)
    }

    /// Creates a call that arrives now and returns its request.
    fn new_request(&mut self, function: u64) -> Event {
        let number = self.arrived_calls;
        self.arrived_calls += 1;
        self.costs.calls += 1;
        self.called_functions.insert(function);
        let call = Call { function, arrived: self.now, attempts: Vec::new(), cold: false, finished: false };
        self.calls.insert(number, call);
        self.first_workers.push(None);
        Event::Request(Request {
            id: request_id(number),
            retry: false,
            tenant: 0,
            hint: None,
            function: function_id(function),
            memory_mb: FUNCTION_MEMORY_MB,
            lanes: LANES,
            class: 0,
            due: self.now + DEADLINE,
            load_time: Some(EXPECTED_LOAD_TIME),
        })
    }

    /// Records the end of an attempt and returns its event; `None` if the attempt is unknown or has already
    /// ended.
    fn on_answer(&mut self, number: u64, attempt_number: usize, reply: CallReply) -> Option<Event> {
        let call = self.calls.get_mut(&number)?;
        let attempt = call.attempts.get_mut(attempt_number).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        let (worker, lag) = (attempt.worker, self.now - attempt.sent);
        let last = reply.outcome == Outcome::Ok && !call.finished;
        call.cold |= reply.outcome == Outcome::Miss;
        call.cold |= matches!(reply.mark, CopyMark::BeganLoad | CopyMark::WaitedForLoad);
        if last {
            call.finished = true;
            let answer_time = self.now - call.arrived;
            self.costs.served += 1;
            self.costs.total_answer_us += answer_time;
            self.costs.cold_calls += u64::from(call.cold);
            self.costs.cold_calls_on_time += u64::from(call.cold && answer_time <= COLD_START_TARGET);
        }
        if reply.outcome == Outcome::Miss {
            self.costs.misses += 1;
        }
        self.remove_if_finished(number);
        Some(Event::Answer {
            id: request_id(number),
            attempt: attempt_number as u32,
            worker,
            outcome: reply.outcome,
            last,
            lag,
            mark: reply.mark,
            crowd: Some(reply.crowd),
            report: None,
        })
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, worker, .. } => self.send(call_number(&id), worker),
            Action::Cancel { id, attempt } => self.cancel(call_number(&id), attempt as usize),
            Action::Refuse { id, .. } | Action::Fail { id } => self.fail_call(call_number(&id)),
            Action::Load { worker, function, copies } => {
                self.send_load_order(worker, function_rank(&function), copies)
            }
            Action::Drop { worker, function } => self.workers.unload(worker, function_rank(&function)),
            Action::SetAlarm { after, name } => self.schedule(self.now + after, PendingEvent::Alarm { name }),
            Action::Probe { .. }
            | Action::CloseIdle { .. }
            | Action::SendMessage { .. }
            | Action::Subscribe { .. }
            | Action::FetchList
            | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, number: u64, worker: WorkerId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&number) else { return };
        let attempt = call.attempts.len();
        call.attempts.push(Attempt { worker, sent: now, in_flight: true });
        self.costs.sends += 1;
        let reply = self.workers.call(now, worker, call.function, number);
        if let Some(first) = self.first_workers.get_mut(number as usize) {
            first.get_or_insert(worker);
        }
        self.schedule(reply.received_at, PendingEvent::Answer { call: number, attempt, reply });
    }

    fn cancel(&mut self, number: u64, attempt: usize) {
        let reply = CallReply {
            received_at: self.now,
            outcome: Outcome::Cancelled,
            mark: CopyMark::Untold,
            crowd: 0,
        };
        self.schedule(self.now, PendingEvent::Answer { call: number, attempt, reply });
    }

    fn send_load_order(&mut self, worker: WorkerId, function: u64, copies: u32) {
        let sent = self.now;
        self.costs.load_orders += 1;
        let reply = self.workers.load(sent, worker, function, copies);
        self.schedule(
            reply.received_at,
            PendingEvent::Loaded { worker, function, sent, copies: reply.copies },
        );
    }

    /// Finishes a call that the call path refused or failed.
    fn fail_call(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.finished = true;
        self.costs.refused += 1;
        self.costs.cold_calls += u64::from(call.cold);
        self.remove_if_finished(number);
    }

    /// Removes a call once it is finished and none of its attempts is in flight.
    fn remove_if_finished(&mut self, number: u64) {
        let removable = |call: &Call| call.finished && call.attempts.iter().all(|attempt| !attempt.in_flight);
        if self.calls.get(&number).is_some_and(removable) {
            self.calls.remove(&number);
        }
    }

    /// The workload.
    pub fn workload(&self) -> &Workload {
        &self.workload
    }
}

fn request_id(number: u64) -> RequestId {
    format!("call-{number:012}").into()
}

fn call_number(id: &str) -> u64 {
    id.trim_start_matches("call-").parse().unwrap_or(u64::MAX)
}

fn function_id(rank: u64) -> FunctionId {
    format!("function-{rank:08}").into()
}

fn function_rank(id: &str) -> u64 {
    id.trim_start_matches("function-").parse().unwrap_or(u64::MAX)
}

/// Number of heap bytes that the process holds; 0 if the counting allocator is not the global allocator.
fn live_heap_bytes() -> u64 {
    let Stats { bytes_allocated, bytes_deallocated, .. } = INSTRUMENTED_SYSTEM.stats();
    bytes_allocated.saturating_sub(bytes_deallocated) as u64
}

/// Mean processor time between the start of a meter and its reading, in microseconds.
fn measure_meter_overhead() -> f64 {
    let total: f64 = (0..CALIBRATION_READINGS).map(|_| ProcessorMeter::start().microseconds()).sum();
    total / f64::from(CALIBRATION_READINGS)
}
