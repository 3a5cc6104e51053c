//! A hollow front end: the real call path over scripted workers in simulated time, with meters around it.

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

/// Calls a second at one front end at the planned size.
pub const CALLS_PER_SECOND: f64 = 127.0;
/// Front ends at the planned size.
pub const PLANNED_FRONT_ENDS: u32 = 11_000;
/// Zones at the planned size.
pub const ZONES: u32 = 21;
/// Workers of a cell.
pub const CELL_WORKERS: u32 = 100;
/// A second, in the module's unit of time.
pub const SECOND: Micros = 1_000_000;
/// Events that fall due within this time are handed over together, as the driver does.
const ROUND: Micros = 500;
const AIM: Micros = SECOND;
const DEADLINE: Micros = 3 * SECOND;
const LANES: u32 = 2;
const FUNCTION_MEMORY_MB: f64 = 400.0;
const USUAL_LOAD: Micros = 900_000;
/// A cold start is to take no longer than this.
pub const COLD_AIM: Micros = 1_500_000;
/// First moment of simulated time.
const START: Time = SECOND;
/// Empty readings from which the meter's own cost is taken.
const CALIBRATIONS: u32 = 2_000;

/// What takes events and gives actions: the router, or a variant of it in a test.
pub trait CallPath {
    /// Takes in an event and adds what is to be done.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}

impl CallPath for Router {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        Router::handle(self, now, event, out);
    }
}

/// What surrounds a hollow front end.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings {
    /// Listed workers.
    pub workers: u32,
    /// Functions that are called.
    pub functions: u64,
    /// Exponent of the Zipf distribution of calls over functions.
    pub exponent: f64,
    /// Calls a second that arrive here.
    pub calls_per_second: f64,
    /// What a worker does with a call for a function that it does not hold.
    pub when_absent: WhenAbsent,
    /// An idle copy stays for this long.
    pub keep_alive: Micros,
    /// Mean number of other front ends' calls that an answer mentions.
    pub crowd: f64,
    /// Calls of other front ends that keep copies loaded; none by default.
    pub others: Option<ForeignCalls>,
}

impl Surroundings {
    /// The planned rate of calls over so many workers and functions.
    pub fn new(workers: u32, functions: u64) -> Self {
        Surroundings {
            workers,
            functions,
            exponent: 1.0,
            calls_per_second: CALLS_PER_SECOND,
            when_absent: WhenAbsent::Miss,
            keep_alive: 60 * SECOND,
            crowd: 0.0,
            others: None,
        }
    }

    /// The module's settings: the product's defaults where it has them, in a fleet of the planned size.
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

    /// Entries of the list of workers, all ready.
    pub fn entries(&self) -> Vec<WorkerEntry> {
        (1..=self.workers).map(|worker| entry(worker, Availability::Ready)).collect()
    }
}

/// A worker as the list has it; zones take turns.
pub fn entry(worker: WorkerId, availability: Availability) -> WorkerEntry {
    let (zone, cell) = (worker % ZONES, worker / CELL_WORKERS);
    WorkerEntry { worker, zone, cell, kind: 0, size: 1.0, availability, born: None }
}

/// What the call path has cost, and what became of the calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Costs {
    /// Calls that arrived.
    pub calls: u64,
    /// Events handed over.
    pub events: u64,
    /// Processor time of the call path alone.
    pub processor_us: f64,
    /// Times that memory was taken from the heap.
    pub allocations: u64,
    /// Bytes taken from the heap, freed or not.
    pub allocated_bytes: u64,
    /// Attempts sent.
    pub sends: u64,
    /// Attempts that found no copy.
    pub misses: u64,
    /// Load orders.
    pub orders: u64,
    /// Calls served.
    pub served: u64,
    /// Calls refused or failed.
    pub refused: u64,
    /// Time from arrival to the answer, summed over the calls served.
    pub answer_us: u64,
    /// Calls that found no loaded copy at some attempt, or took a lane of one that still loaded, and are over.
    pub cold: u64,
    /// Of these, calls answered within [`COLD_AIM`].
    pub cold_in_time: u64,
}

impl Costs {
    /// A figure per call.
    pub fn per_call(&self, figure: f64) -> f64 {
        figure / self.calls.max(1) as f64
    }
}

#[derive(Debug)]
enum Pending {
    Arrival,
    /// A call beside the others, to one function; more follow until a time.
    Burst {
        function: u64,
        pause: Exp<f64>,
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

/// Something that will happen; ordered by time, then by the order in which it was planned.
#[derive(Debug)]
struct Scheduled {
    at: Time,
    number: u64,
    pending: Pending,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Debug)]
struct Attempt {
    worker: WorkerId,
    sent: Time,
    out: bool,
}

#[derive(Debug)]
struct Call {
    function: u64,
    arrived: Time,
    attempts: Vec<Attempt>,
    cold: bool,
    over: bool,
}

/// A hollow front end and what surrounds it.
pub struct HollowFrontEnd<P> {
    path: P,
    surroundings: Surroundings,
    workers: ScriptedWorkers,
    now: Time,
    agenda: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    rng: StdRng,
    pause: Exp<f64>,
    ranks: Zipf<f64>,
    calls: HashMap<u64, Call>,
    arrived: u64,
    called: HashSet<u64>,
    batch: Vec<Event>,
    actions: Vec<Action>,
    costs: Costs,
    /// The meter's own cost, a reading.
    reading_us: f64,
    /// The first worker of each call, by its number.
    first_workers: Vec<Option<WorkerId>>,
}

impl HollowFrontEnd<Router> {
    /// One with the real router, which has the whole list; nothing is loaded yet.
    pub fn new(surroundings: Surroundings, seed: u64) -> Self {
        HollowFrontEnd::with_path(Router::new(seed, surroundings.settings()), surroundings, seed)
    }
}

impl<P: CallPath> HollowFrontEnd<P> {
    /// One with this call path, which is told the whole list first.
    pub fn with_path(path: P, surroundings: Surroundings, seed: u64) -> Self {
        let model = WorkerModel {
            when_absent: surroundings.when_absent,
            keep_alive: surroundings.keep_alive,
            lanes: LANES,
            mean_foreign_crowd: surroundings.crowd,
            foreign_calls: surroundings.others,
        };
        let mut front_end = HollowFrontEnd {
            path,
            surroundings,
            workers: ScriptedWorkers::new(model, seed ^ 0x5eed),
            now: START,
            agenda: BinaryHeap::new(),
            scheduled: 0,
            rng: StdRng::seed_from_u64(seed),
            pause: Exp::new(surroundings.calls_per_second.max(1e-6)).expect("a rate above 0"),
            ranks: Zipf::new(surroundings.functions.max(1) as f64, surroundings.exponent)
                .expect("a function, and an exponent of 0 or more"),
            calls: HashMap::new(),
            arrived: 0,
            called: HashSet::new(),
            batch: Vec::with_capacity(64),
            actions: Vec::with_capacity(1024),
            costs: Costs::default(),
            reading_us: reading_us(),
            first_workers: Vec::new(),
        };
        front_end.list(ListKind::Whole, surroundings.entries());
        front_end.schedule(START, Pending::Arrival);
        front_end
    }

    /// Lets simulated time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.next_at().is_some_and(|at| at <= end) {
            self.take_batch();
            self.hand_over();
        }
        self.now = end;
    }

    /// A list arrives and is taken in at once; the processor time of that alone, in microseconds.
    pub fn list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) -> f64 {
        let before = self.costs.processor_us;
        self.batch.push(Event::List { kind, entries });
        self.hand_over();
        self.costs.processor_us - before
    }

    /// From now on and for so long, further calls arrive for one function, so many a second.
    pub fn begin_burst(&mut self, function: u64, calls_per_second: f64, span: Micros) {
        let Some(pause) = Exp::new(calls_per_second).ok().filter(|_| calls_per_second > 0.0) else { return };
        let until = self.now + span;
        self.schedule(self.now, Pending::Burst { function, pause, until });
    }

    /// Costs since the last reading.
    pub fn take_costs(&mut self) -> Costs {
        std::mem::take(&mut self.costs)
    }

    /// The first worker of each call, by its number; none where it was sent to none.
    pub fn first_workers(&self) -> &[Option<WorkerId>] {
        &self.first_workers
    }

    /// Simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Calls that have arrived so far.
    pub fn arrived(&self) -> u64 {
        self.arrived
    }

    /// Functions that were called so far.
    pub fn functions_called(&self) -> u64 {
        self.called.len() as u64
    }

    /// Ends it; the bytes of heap that the call path held.
    pub fn into_heap_bytes(self) -> u64 {
        let HollowFrontEnd { path, .. } = self;
        let with = live_bytes();
        drop(path);
        with.saturating_sub(live_bytes())
    }

    fn next_at(&self) -> Option<Time> {
        self.agenda.peek().map(|next| next.0.at)
    }

    fn schedule(&mut self, at: Time, pending: Pending) {
        self.scheduled += 1;
        self.agenda.push(Reverse(Scheduled { at, number: self.scheduled, pending }));
    }

    /// Gathers what falls due within a round.
    fn take_batch(&mut self) {
        let Some(first) = self.next_at() else { return };
        self.now = self.now.max(first + ROUND);
        while self.next_at().is_some_and(|at| at <= self.now) {
            let Some(Reverse(next)) = self.agenda.pop() else { break };
            let event = self.event(next.at, next.pending);
            self.batch.extend(event);
        }
    }

    /// Hands the batch over, with the meters on, and carries out what comes back.
    fn hand_over(&mut self) {
        let (now, events) = (self.now, self.batch.len() as u64);
        let heap = INSTRUMENTED_SYSTEM.stats();
        let meter = ProcessorMeter::start();
        for event in self.batch.drain(..) {
            self.path.handle(now, event, &mut self.actions);
        }
        let processor_us = meter.microseconds() - self.reading_us;
        let heap = INSTRUMENTED_SYSTEM.stats() - heap;
        self.costs.events += events;
        self.costs.processor_us += processor_us.max(0.0);
        self.costs.allocations += (heap.allocations + heap.reallocations) as u64;
        self.costs.allocated_bytes += heap.bytes_allocated as u64;
        let mut actions = std::mem::take(&mut self.actions);
        actions.drain(..).for_each(|action| self.carry_out(action));
        self.actions = actions;
    }

    fn event(&mut self, due: Time, pending: Pending) -> Option<Event> {
        match pending {
            Pending::Arrival => Some(self.arrival(due)),
            Pending::Burst { function, pause, until } => Some(self.burst(due, function, pause, until)),
            Pending::Answer { call, attempt, reply } => self.answer(call, attempt, reply),
            Pending::Loaded { worker, function, sent, copies } => Some(Event::Loaded {
                worker,
                function: function_name(function),
                outcome: Outcome::Ok,
                copies,
                lag: self.now - sent,
            }),
            Pending::Alarm { name } => Some(Event::Alarm { name }),
        }
    }

    /// A call that arrived at this time; the next one is planned from there, whatever else happens meanwhile.
    fn arrival(&mut self, due: Time) -> Event {
        let pause = self.pause.sample(&mut self.rng) * SECOND as f64;
        let function = self.ranks.sample(&mut self.rng) as u64;
        self.schedule(due.saturating_add(pause as Micros), Pending::Arrival);
        self.request(function)
    }

    fn burst(&mut self, due: Time, function: u64, pause: Exp<f64>, until: Time) -> Event {
        let next = due.saturating_add((pause.sample(&mut self.rng) * SECOND as f64) as Micros);
        if next < until {
            self.schedule(next, Pending::Burst { function, pause, until });
        }
        self.request(function)
    }

    /// A call for a function arrives now.
    fn request(&mut self, function: u64) -> Event {
        let number = self.arrived;
        self.arrived += 1;
        self.costs.calls += 1;
        self.called.insert(function);
        let call = Call { function, arrived: self.now, attempts: Vec::new(), cold: false, over: false };
        self.calls.insert(number, call);
        self.first_workers.push(None);
        Event::Request(Request {
            id: call_name(number),
            retry: false,
            tenant: 0,
            hint: None,
            function: function_name(function),
            memory_mb: FUNCTION_MEMORY_MB,
            lanes: LANES,
            class: 0,
            due: self.now + DEADLINE,
            load_time: Some(USUAL_LOAD),
        })
    }

    fn answer(&mut self, number: u64, place: usize, reply: CallReply) -> Option<Event> {
        let call = self.calls.get_mut(&number)?;
        let attempt = call.attempts.get_mut(place).filter(|attempt| attempt.out)?;
        attempt.out = false;
        let (worker, lag) = (attempt.worker, self.now - attempt.sent);
        let last = reply.outcome == Outcome::Ok && !call.over;
        call.cold |= reply.outcome == Outcome::Miss;
        call.cold |= matches!(reply.mark, CopyMark::BeganLoad | CopyMark::WaitedForLoad);
        if last {
            call.over = true;
            let time = self.now - call.arrived;
            self.costs.served += 1;
            self.costs.answer_us += time;
            self.costs.cold += u64::from(call.cold);
            self.costs.cold_in_time += u64::from(call.cold && time <= COLD_AIM);
        }
        if reply.outcome == Outcome::Miss {
            self.costs.misses += 1;
        }
        self.forget_ended(number);
        Some(Event::Answer {
            id: call_name(number),
            attempt: place as u32,
            worker,
            outcome: reply.outcome,
            last,
            lag,
            mark: reply.mark,
            crowd: Some(reply.crowd),
            report: None,
        })
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, worker, .. } => self.send(call_number(&id), worker),
            Action::Cancel { id, attempt } => self.cancel(call_number(&id), attempt as usize),
            Action::Refuse { id, .. } | Action::Fail { id } => self.end(call_number(&id)),
            Action::Load { worker, function, copies } => self.order(worker, function_rank(&function), copies),
            Action::Drop { worker, function } => self.workers.unload(worker, function_rank(&function)),
            Action::SetAlarm { after, name } => self.schedule(self.now + after, Pending::Alarm { name }),
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
        call.attempts.push(Attempt { worker, sent: now, out: true });
        self.costs.sends += 1;
        let reply = self.workers.call(now, worker, call.function, number);
        if let Some(first) = self.first_workers.get_mut(number as usize) {
            first.get_or_insert(worker);
        }
        self.schedule(reply.received_at, Pending::Answer { call: number, attempt, reply });
    }

    fn cancel(&mut self, number: u64, attempt: usize) {
        let reply = CallReply {
            received_at: self.now,
            outcome: Outcome::Cancelled,
            mark: CopyMark::Untold,
            crowd: 0,
        };
        self.schedule(self.now, Pending::Answer { call: number, attempt, reply });
    }

    fn order(&mut self, worker: WorkerId, function: u64, copies: u32) {
        let sent = self.now;
        self.costs.orders += 1;
        let reply = self.workers.load(sent, worker, function, copies);
        self.schedule(reply.received_at, Pending::Loaded { worker, function, sent, copies: reply.copies });
    }

    /// The call path gave its final answer: the call could not be served.
    fn end(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.over = true;
        self.costs.refused += 1;
        self.costs.cold += u64::from(call.cold);
        self.forget_ended(number);
    }

    fn forget_ended(&mut self, number: u64) {
        let ended = |call: &Call| call.over && call.attempts.iter().all(|attempt| !attempt.out);
        if self.calls.get(&number).is_some_and(ended) {
            self.calls.remove(&number);
        }
    }

    /// What surrounds it.
    pub fn surroundings(&self) -> &Surroundings {
        &self.surroundings
    }
}

fn call_name(number: u64) -> RequestId {
    format!("call-{number:012}").into()
}

fn call_number(name: &str) -> u64 {
    name.trim_start_matches("call-").parse().unwrap_or(u64::MAX)
}

fn function_name(rank: u64) -> FunctionId {
    format!("function-{rank:08}").into()
}

fn function_rank(name: &str) -> u64 {
    name.trim_start_matches("function-").parse().unwrap_or(u64::MAX)
}

/// Bytes on the heap now, over the whole process; 0 where the allocator is not the counting one.
fn live_bytes() -> u64 {
    let Stats { bytes_allocated, bytes_deallocated, .. } = INSTRUMENTED_SYSTEM.stats();
    bytes_allocated.saturating_sub(bytes_deallocated) as u64
}

/// Processor time that the meter itself takes between its start and its reading.
fn reading_us() -> f64 {
    let total: f64 = (0..CALIBRATIONS).map(|_| ProcessorMeter::start().microseconds()).sum();
    total / f64::from(CALIBRATIONS)
}
