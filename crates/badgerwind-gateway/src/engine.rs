//! The engine: the task that owns the driver. It passes all inputs that are ready to the driver as one batch
//! and has a backend execute the driver's outputs, whose results come back as inputs. Rounds, lag, batches,
//! changes of module and shutdown are implemented here once for all protocols.

use crate::clock::Clock;
use async_channel::{Receiver, Sender};
use badgerwind::interface::*;
use badgerwind_config::order_limit::OrderLimit;
use badgerwind_driver::{Call, Decider, Driver, Failure, FinalAnswer, Input, Lag, Limits, Output, Refusal};
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The protocol around the driver: the types that make up a call, and the execution of the driver's outputs.
pub trait Backend {
    /// Where the answer to a call goes.
    type Origin;
    /// The part of a call that is sent to a worker.
    type Content: Clone;
    /// A worker's answer.
    type Reply;
    /// The number of the module whose settings give the call's indices (class, tenant) their meaning.
    fn module_number(content: &Self::Content) -> u64;
    /// When the front passed the call to the engine.
    fn accepted_at(content: &Self::Content) -> Time;
    /// Called for each input before the driver processes it.
    fn observe(&mut self, now: Time, input: &InputOf<Self>);
    /// Executes one output. If the driver expects a result, it is sent as an input of its own.
    fn execute(&mut self, now: Time, output: OutputOf<Self>);
    /// Whether the limit that the front ends share permits a load order; a permitted order is counted.
    fn may_order(&mut self, _now: Time) -> bool {
        true
    }
    /// Called when all outputs of a batch were executed.
    fn on_batch_done(&mut self, unanswered: usize, took: Duration);

    /// Records how much state the module holds after a batch.
    fn record_stats(&mut self, _stats: RouterStats) {}
}

/// The driver's inputs with the types of a backend.
pub type InputOf<B> =
    badgerwind_driver::Input<<B as Backend>::Origin, <B as Backend>::Content, <B as Backend>::Reply>;
/// The driver's outputs with the types of a backend.
pub type OutputOf<B> = Output<<B as Backend>::Origin, <B as Backend>::Content, <B as Backend>::Reply>;

/// The settings of a module that the engine itself applies.
#[derive(Clone, Copy, Debug)]
pub struct ModuleSettings {
    pub limits: Limits,
    round: Micros,
    load_window: Micros,
    load_free: f64,
    load_share: f64,
}

impl ModuleSettings {
    pub fn new(limits: Limits, router: &Settings) -> Self {
        let &Settings { round, load_window, load_free, load_share, .. } = router;
        ModuleSettings { limits, round, load_window, load_free, load_share }
    }
}

/// Commands to the engine, apart from the driver's inputs.
pub enum Control {
    /// Fail all unanswered calls and end.
    Stop,
    /// Send new calls to this module from now on. The previous module completes its own calls and ends. The
    /// number of the new module is sent to `done` once it is in use.
    ChangeModule { decider: Box<dyn Decider + Send>, settings: ModuleSettings, done: Sender<u64> },
}

/// Why the engine has ended.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineEnd {
    /// It was stopped, or all senders of its inputs are gone.
    Stopped,
    /// The decision module failed, with this text.
    ModuleFailed(String),
}

/// Most inputs in one batch; the rest wait for the next round.
const MAX_BATCH: usize = 4096;

/// Owns the driver: collects inputs into batches and has the backend execute the outputs.
pub struct Engine<B: Backend> {
    pub clock: Clock,
    pub inputs: Receiver<InputOf<B>>,
    pub control: Receiver<Control>,
    /// Number of unanswered calls, which the orderly shutdown waits for.
    pub unanswered: Arc<AtomicUsize>,
    /// How late this front end processes its inputs.
    pub lag: Arc<Mutex<Lag>>,
    pub backend: B,
}

/// What ends the wait for the next batch.
enum Event<I> {
    Input(Option<I>),
    TimerDue,
    Control(Control),
}

/// A driver with the types of a backend.
type DriverOf<B> =
    Driver<Box<dyn Decider + Send>, <B as Backend>::Origin, <B as Backend>::Content, <B as Backend>::Reply>;

/// A load order's number holds the number of its module in the bits from this one on.
const MODULE_NUMBER_SHIFT: u32 = 40;
/// Most previous modules that may complete their calls at the same time; a further change waits until the
/// oldest has ended.
const MAX_DRAINING: usize = 4;

/// A new module, its settings, and the channel that receives its number.
type ModuleChange = (Box<dyn Decider + Send>, ModuleSettings, Sender<u64>);

/// A module that was replaced and completes its calls.
struct DrainingModule<B: Backend> {
    number: u64,
    driver: DriverOf<B>,
    /// Until then calls may still arrive that a front checked against this module's settings.
    until: Time,
}

impl<B: Backend> DrainingModule<B> {
    fn is_needed(&self, now: Time) -> bool {
        self.driver.tracked_calls() > 0 || now < self.until
    }
}

/// Longest time between a front's check of a call and its arrival at the module, in microseconds.
const HANDOVER_TIME: Micros = 500_000;

/// All running modules: the current one accepts calls, the previous ones complete theirs.
struct Modules<B: Backend> {
    current: DriverOf<B>,
    number: u64,
    draining: Vec<DrainingModule<B>>,
    pending_changes: VecDeque<ModuleChange>,
    workers: BTreeMap<WorkerId, WorkerEntry>,
    order_limit: OrderLimit,
    /// This front end's share of the fleet's limits, which a new module receives when it starts.
    local_quotas: Option<LocalQuotas>,
}

impl<B: Backend> Modules<B> {
    fn new(decider: Box<dyn Decider + Send>, settings: &ModuleSettings) -> Self {
        Modules {
            current: Driver::new(decider, settings.limits),
            number: 0,
            draining: Vec::new(),
            pending_changes: VecDeque::new(),
            workers: BTreeMap::new(),
            order_limit: OrderLimit::new(settings.load_window, settings.load_free, settings.load_share),
            local_quotas: None,
        }
    }

    /// Processes a batch: passes each input to the module that it concerns.
    fn on_batch(&mut self, now: Time, inputs: impl Iterator<Item = InputOf<B>>, out: &mut Vec<OutputOf<B>>) {
        let (mut for_current, mut late) = (Vec::new(), Vec::new());
        let mut for_draining: Vec<Vec<InputOf<B>>> = self.draining.iter().map(|_| Vec::new()).collect();
        for input in inputs {
            let module_of =
                |id: &RequestId| self.draining.iter().position(|module| module.driver.contains(id));
            let index = match &input {
                Input::Call(call) => {
                    self.order_limit.record_call(now);
                    let number = B::module_number(&call.content);
                    let index = self.draining.iter().position(|module| module.number == number);
                    if number != self.number && index.is_none() {
                        late.push(input);
                        continue;
                    }
                    index
                }
                Input::List { kind, entries } => {
                    if matches!(kind, ListKind::Whole | ListKind::Cached) {
                        self.workers.clear();
                    }
                    self.workers.extend(entries.iter().map(|entry| (entry.worker, entry.clone())));
                    for inputs in &mut for_draining {
                        inputs.push(Input::List { kind: *kind, entries: entries.clone() });
                    }
                    None
                }
                Input::LocalQuotas(quotas) => {
                    self.local_quotas = Some(quotas.clone());
                    for_draining
                        .iter_mut()
                        .for_each(|inputs| inputs.push(Input::LocalQuotas(quotas.clone())));
                    None
                }
                Input::PresumedRestart { worker } => {
                    let worker = *worker;
                    for_draining.iter_mut().for_each(|inputs| inputs.push(Input::PresumedRestart { worker }));
                    None
                }
                Input::CallerDisconnected { id, .. }
                | Input::StreamBegan { id, .. }
                | Input::AttemptEnded { id, .. } => module_of(id),
                Input::OrderEnded { order, .. } => {
                    let number = order.0 >> MODULE_NUMBER_SHIFT;
                    self.draining.iter().position(|module| module.number == number)
                }
                // Only the current module sends probes and messages.
                Input::ProbeEnded { .. } | Input::Message { .. } => None,
            };
            match index {
                Some(index) => for_draining[index].push(input),
                None => for_current.push(input),
            }
        }
        for (module, inputs) in self.draining.iter_mut().zip(for_draining) {
            module.driver.on_batch(now, inputs, out);
        }
        // The module of these calls has ended, so their indices have no meaning any more. They never ran.
        for input in late {
            let Input::Call(Call { request, origin, .. }) = input else { continue };
            let answer = FinalAnswer::Refused { by: Refusal::TooManyCalls, retry_after: None };
            out.push(Output::Answer { id: request.id, origin, answer, attempts: 0, worker: None, lag: 0 });
        }
        self.current.on_batch(now, for_current, out);
        self.draining.retain(|module| module.is_needed(now));
        while self.draining.len() < MAX_DRAINING {
            let Some((decider, settings, done)) = self.pending_changes.pop_front() else { break };
            self.replace_module(now, decider, &settings, out);
            let _ = done.try_send(self.number); // the receiver may be gone
        }
    }

    /// Makes another module the current one. It receives the list of workers. It finds the loaded copies
    /// through its preference order of workers, which depends on names alone.
    fn replace_module(
        &mut self,
        now: Time,
        decider: Box<dyn Decider + Send>,
        settings: &ModuleSettings,
        out: &mut Vec<OutputOf<B>>,
    ) {
        self.number += 1;
        let new = Driver::new(decider, settings.limits).with_first_order(self.number << MODULE_NUMBER_SHIFT);
        let old = std::mem::replace(&mut self.current, new);
        self.draining.push(DrainingModule {
            number: self.number - 1,
            driver: old,
            until: now + HANDOVER_TIME,
        });
        self.order_limit.set_limit(settings.load_window, settings.load_free, settings.load_share);
        let entries = self.workers.values().cloned().collect();
        let list = Input::List { kind: ListKind::Whole, entries };
        self.current.on_batch(
            now,
            self.local_quotas.clone().map(Input::LocalQuotas).into_iter().chain([list]),
            out,
        );
    }

    fn unanswered(&self) -> usize {
        self.current.unanswered()
            + self.draining.iter().map(|module| module.driver.unanswered()).sum::<usize>()
    }

    fn next_wake(&self) -> Option<Time> {
        let all = self.draining.iter().map(|module| &module.driver).chain([&self.current]);
        let oldest_ends =
            (!self.pending_changes.is_empty()).then(|| self.draining.iter().map(|module| module.until).min());
        all.filter_map(DriverOf::<B>::next_wake).chain(oldest_ends.flatten()).min()
    }

    fn stop(&mut self, now: Time, out: &mut Vec<OutputOf<B>>) {
        self.draining.iter_mut().for_each(|module| module.driver.stop(now, out));
        self.current.stop(now, out);
    }

    fn fail_all(&mut self, now: Time, why: Failure, out: &mut Vec<OutputOf<B>>) {
        self.draining.iter_mut().for_each(|module| module.driver.fail_all(now, why, out));
        self.current.fail_all(now, why, out);
    }
}

impl<B: Backend> Engine<B> {
    /// Runs until it is stopped or the module fails. Every call is answered before it returns.
    pub async fn run(mut self, decider: Box<dyn Decider + Send>, settings: ModuleSettings) -> EngineEnd {
        let mut modules = Modules::<B>::new(decider, &settings);
        let mut round = Duration::from_micros(settings.round);
        let (mut batch, mut out) = (Vec::new(), Vec::new());
        let mut last = Instant::now().checked_sub(round).unwrap_or_else(Instant::now);
        loop {
            // Results that the engine itself produced are processed at once, without waiting for another
            // input.
            let wake = if batch.is_empty() { modules.next_wake() } else { Some(self.clock.now()) };
            match self.next_event(wake).await {
                Event::Control(Control::Stop) => {
                    // Calls that are still queued must be answered as well.
                    while let Ok(input) = self.inputs.try_recv() {
                        batch.push(input);
                    }
                    modules.on_batch(self.clock.now(), batch.drain(..), &mut out);
                    modules.stop(self.clock.now(), &mut out);
                    self.execute(&mut out, &mut modules.order_limit, &mut batch);
                    self.backend.on_batch_done(0, Duration::ZERO);
                    return EngineEnd::Stopped;
                }
                Event::Control(Control::ChangeModule { decider, settings, done }) => {
                    round = Duration::from_micros(settings.round);
                    modules.pending_changes.push_back((decider, settings, done));
                }
                Event::Input(None) => return EngineEnd::Stopped,
                Event::Input(Some(input)) => batch.push(input),
                Event::TimerDue => {}
            }
            // At most one batch per round: inputs that arrive in between are processed together.
            if let Some(rest) = round.checked_sub(last.elapsed()).filter(|r| !r.is_zero()) {
                Timer::after(rest).await;
            }
            while batch.len() < MAX_BATCH {
                let Ok(input) = self.inputs.try_recv() else { break };
                batch.push(input);
            }
            last = Instant::now();
            let started = self.clock.now();
            // Lateness is the delay of the timer or of the oldest call in the batch, whichever is greater,
            // minus the round that every input waits for.
            let overdue = wake.map_or(0, |at| started.saturating_sub(at));
            let waited = batch.iter().map(|input| match input {
                Input::Call(call) => started.saturating_sub(B::accepted_at(&call.content)),
                _ => 0,
            });
            let late = waited.max().unwrap_or(0).max(overdue).saturating_sub(round.as_micros() as Micros);
            for input in &batch {
                self.backend.observe(started, input);
            }
            modules.on_batch(self.clock.now(), batch.drain(..), &mut out);
            self.unanswered.store(modules.unanswered(), Ordering::Relaxed);
            let failed = self.execute(&mut out, &mut modules.order_limit, &mut batch);
            let took = last.elapsed();
            self.lag
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .observe(started, late.max(took.as_micros() as Micros));
            self.backend.on_batch_done(modules.unanswered(), took);
            self.backend.record_stats(modules.current.stats());
            if let Some(text) = failed {
                modules.fail_all(self.clock.now(), Failure::ModuleFailed, &mut out);
                self.execute(&mut out, &mut modules.order_limit, &mut batch);
                self.backend.on_batch_done(0, Duration::ZERO);
                return EngineEnd::ModuleFailed(text);
            }
        }
    }

    async fn next_event(&self, wake: Option<Time>) -> Event<InputOf<B>> {
        let input = async { Event::Input(self.inputs.recv().await.ok()) };
        let control = async {
            match self.control.recv().await {
                Ok(command) => Event::Control(command),
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let due = async {
            match wake {
                Some(at) => _ = Timer::at(self.clock.instant(at)).await,
                None => futures_lite::future::pending().await,
            }
            Event::TimerDue
        };
        control.or(input).or(due).await
    }

    /// Executes the driver's outputs and returns the text of the module's failure, if it has failed. Results
    /// that are known here are added to the next batch.
    fn execute(
        &mut self,
        out: &mut Vec<OutputOf<B>>,
        order_limit: &mut OrderLimit,
        next_batch: &mut Vec<InputOf<B>>,
    ) -> Option<String> {
        let (now, mut failed) = (self.clock.now(), None);
        for output in out.drain(..) {
            match output {
                // The order limit holds for all modules together; an order beyond it ends as rejected.
                Output::Order { order, copies, .. }
                    if copies > 0 && !(order_limit.try_order(now) && self.backend.may_order(now)) =>
                {
                    next_batch.push(Input::OrderEnded { order, outcome: Outcome::Full, copies: 0 });
                }
                Output::Log { text } => tracing::warn!("{text}"),
                Output::ModuleFailed { text } => {
                    tracing::error!("the decision module failed: {text}");
                    failed = failed.or(Some(text));
                }
                output => self.backend.execute(now, output),
            }
        }
        failed
    }
}
