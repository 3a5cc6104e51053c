//! The engine: it alone owns the driver. What is ready together is handed over together, and what the driver asks
//! for is carried out by a backend, which reports back. Rounds, lag, batches, changes of module and the end of an
//! engine are written here once, whatever comes in and goes out.

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

/// A way in and out around the driver: what its calls are made of, and how what the driver asks for leaves.
pub trait Backend {
    /// Whom to answer.
    type Origin;
    /// What a worker needs of a call.
    type Content: Clone;
    /// A worker's answer.
    type Reply;
    /// The module that knows the places that a call names.
    fn module(content: &Self::Content) -> u64;
    /// When its front handed a call over.
    fn handed(content: &Self::Content) -> Time;
    /// Something is about to be told to the driver.
    fn observe(&mut self, now: Time, input: &InputOf<Self>);
    /// Carries out one output; it comes back by an input of its own where an end is owed.
    fn carry(&mut self, now: Time, output: OutputOf<Self>);
    /// Whether a load order may go out by what the front ends share; it is counted if so.
    fn may_order(&mut self, _now: Time) -> bool {
        true
    }
    /// All outputs of a batch were carried out.
    fn settled(&mut self, owed: usize, took: Duration);

    /// How much the module remembers after a batch.
    fn remembered(&mut self, _figures: RouterStats) {}
}

/// What a backend tells the driver.
pub type InputOf<B> =
    badgerwind_driver::Input<<B as Backend>::Origin, <B as Backend>::Content, <B as Backend>::Reply>;
/// What the driver asks a backend for.
pub type OutputOf<B> = Output<<B as Backend>::Origin, <B as Backend>::Content, <B as Backend>::Reply>;

/// What the engine itself needs of the settings that a module runs under.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub limits: Limits,
    round: Span,
    load_window: Span,
    load_free: f64,
    load_share: f64,
}

impl Terms {
    pub fn new(limits: Limits, set: &Settings) -> Self {
        let &Settings { round, load_window, load_free, load_share, .. } = set;
        Terms { limits, round, load_window, load_free, load_share }
    }
}

/// What the engine is told beside its inputs.
pub enum Control {
    /// Fail what is still owed and end.
    End,
    /// From now on new calls go to this module; the one before answers what it holds and ends. The new one's number
    /// comes back once that is so.
    Change { decider: Box<dyn Decider + Send>, terms: Terms, done: Sender<u64> },
}

/// Why the engine has ended.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineEnd {
    Asked,
    ModuleFailed(String),
}

/// Inputs handed over at once, at the most; what is left waits for the next round.
const MOST_BATCH: usize = 4096;

pub struct Engine<B: Backend> {
    pub clock: Clock,
    pub inputs: Receiver<InputOf<B>>,
    pub control: Receiver<Control>,
    /// Calls owed an answer, for the orderly stop.
    pub owed: Arc<AtomicUsize>,
    /// How far this front end runs behind.
    pub lag: Arc<Mutex<Lag>>,
    pub backend: B,
}

enum Next<I> {
    Input(Option<I>),
    Due,
    Control(Control),
}

type TheDriver<B> =
    Driver<Box<dyn Decider + Send>, <B as Backend>::Origin, <B as Backend>::Content, <B as Backend>::Reply>;

/// Load orders of one module: their numbers begin with its own.
const NUMBERS: u32 = 40;
/// Modules that still answer what they hold beside the newest; a further change waits for the oldest.
const MOST_LEAVING: usize = 4;

/// Another module, its settings, and whom to tell its number.
type Change = (Box<dyn Decider + Send>, Terms, Sender<u64>);

/// Another module has taken its place.
struct Leaving<B: Backend> {
    number: u64,
    driver: TheDriver<B>,
    /// Until then calls can still come that a front judged by its settings.
    until: Time,
}

impl<B: Backend> Leaving<B> {
    fn stays(&self, now: Time) -> bool {
        self.driver.tracked_calls() > 0 || now < self.until
    }
}

/// How long a call may be on its way from a front to its module, in microseconds.
const ON_THE_WAY: Span = 500_000;

/// The modules: the newest takes calls, those before it answer what they hold.
struct Modules<B: Backend> {
    newest: TheDriver<B>,
    number: u64,
    leaving: Vec<Leaving<B>>,
    waiting: VecDeque<Change>,
    workers: BTreeMap<WorkerId, WorkerEntry>,
    order_limit: OrderLimit,
    /// What of the fleet's limits is this front end's own: a module that begins is told.
    parts: Option<LocalQuotas>,
}

impl<B: Backend> Modules<B> {
    fn new(decider: Box<dyn Decider + Send>, t: &Terms) -> Self {
        Modules {
            newest: Driver::new(decider, t.limits),
            number: 0,
            leaving: Vec::new(),
            waiting: VecDeque::new(),
            workers: BTreeMap::new(),
            order_limit: OrderLimit::new(t.load_window, t.load_free, t.load_share),
            parts: None,
        }
    }

    /// A batch: each input to the module that it concerns.
    fn on(&mut self, now: Time, inputs: impl Iterator<Item = InputOf<B>>, out: &mut Vec<OutputOf<B>>) {
        let (mut own, mut late) = (Vec::new(), Vec::new());
        let mut others: Vec<Vec<InputOf<B>>> = self.leaving.iter().map(|_| Vec::new()).collect();
        for input in inputs {
            let holder = |id: &RequestId| self.leaving.iter().position(|l| l.driver.contains(id));
            let place = match &input {
                Input::Call(call) => {
                    self.order_limit.record_call(now);
                    let number = B::module(&call.content);
                    let place = self.leaving.iter().position(|l| l.number == number);
                    if number != self.number && place.is_none() {
                        late.push(input);
                        continue;
                    }
                    place
                }
                Input::List { kind, entries } => {
                    if matches!(kind, ListKind::Whole | ListKind::Cached) {
                        self.workers.clear();
                    }
                    self.workers.extend(entries.iter().map(|e| (e.worker, e.clone())));
                    for other in &mut others {
                        other.push(Input::List { kind: *kind, entries: entries.clone() });
                    }
                    None
                }
                Input::Parts(parts) => {
                    self.parts = Some(parts.clone());
                    others.iter_mut().for_each(|other| other.push(Input::Parts(parts.clone())));
                    None
                }
                Input::PresumedRestart { worker } => {
                    let worker = *worker;
                    others.iter_mut().for_each(|other| other.push(Input::PresumedRestart { worker }));
                    None
                }
                Input::CallerDisconnected { id, .. }
                | Input::StreamBegan { id, .. }
                | Input::AttemptEnded { id, .. } => holder(id),
                Input::OrderEnded { order, .. } => {
                    let number = order.0 >> NUMBERS;
                    self.leaving.iter().position(|l| l.number == number)
                }
                // Only the newest still asks and listens.
                Input::ProbeEnded { .. } | Input::Message { .. } => None,
            };
            match place {
                Some(n) => others[n].push(input),
                None => own.push(input),
            }
        }
        for (leaving, inputs) in self.leaving.iter_mut().zip(others) {
            leaving.driver.on_batch(now, inputs, out);
        }
        // A call of a module that has ended: nobody knows its places, and it never ran.
        for input in late {
            let Input::Call(Call { request, origin, .. }) = input else { continue };
            let answer = FinalAnswer::Refused { by: Refusal::TooManyCalls, retry_after: None };
            out.push(Output::Answer { id: request.id, origin, answer, attempts: 0, worker: None, lag: 0 });
        }
        self.newest.on_batch(now, own, out);
        self.leaving.retain(|l| l.stays(now));
        while self.leaving.len() < MOST_LEAVING {
            let Some((decider, terms, done)) = self.waiting.pop_front() else { break };
            self.change(now, decider, &terms, out);
            let _ = done.try_send(self.number); // whoever asked may have left
        }
    }

    /// Another module takes calls from now on. It is told the runners as they are listed; what stands loaded where
    /// it finds by its own order of workers, which follows from names alone.
    fn change(
        &mut self,
        now: Time,
        decider: Box<dyn Decider + Send>,
        terms: &Terms,
        out: &mut Vec<OutputOf<B>>,
    ) {
        self.number += 1;
        let fresh = Driver::new(decider, terms.limits).with_first_order(self.number << NUMBERS);
        let old = std::mem::replace(&mut self.newest, fresh);
        self.leaving.push(Leaving { number: self.number - 1, driver: old, until: now + ON_THE_WAY });
        self.order_limit.set_limit(terms.load_window, terms.load_free, terms.load_share);
        let entries = self.workers.values().cloned().collect();
        let list = Input::List { kind: ListKind::Whole, entries };
        self.newest.on_batch(now, self.parts.clone().map(Input::Parts).into_iter().chain([list]), out);
    }

    fn owed(&self) -> usize {
        self.newest.unanswered() + self.leaving.iter().map(|l| l.driver.unanswered()).sum::<usize>()
    }

    fn next_wake(&self) -> Option<Time> {
        let all = self.leaving.iter().map(|l| &l.driver).chain([&self.newest]);
        let waits = (!self.waiting.is_empty()).then(|| self.leaving.iter().map(|l| l.until).min());
        all.filter_map(TheDriver::<B>::next_wake).chain(waits.flatten()).min()
    }

    fn stop(&mut self, now: Time, out: &mut Vec<OutputOf<B>>) {
        self.leaving.iter_mut().for_each(|l| l.driver.stop(now, out));
        self.newest.stop(now, out);
    }

    fn fail_all(&mut self, now: Time, why: Failure, out: &mut Vec<OutputOf<B>>) {
        self.leaving.iter_mut().for_each(|l| l.driver.fail_all(now, why, out));
        self.newest.fail_all(now, why, out);
    }
}

impl<B: Backend> Engine<B> {
    /// Runs until told to end or the module fails. Every call is answered before it returns.
    pub async fn run(mut self, decider: Box<dyn Decider + Send>, terms: Terms) -> EngineEnd {
        let mut modules = Modules::<B>::new(decider, &terms);
        let mut round = Duration::from_micros(terms.round);
        let (mut batch, mut out) = (Vec::new(), Vec::new());
        let mut last = Instant::now().checked_sub(round).unwrap_or_else(Instant::now);
        loop {
            // What the engine itself answered waits for the next batch, not for the next input.
            let wake = if batch.is_empty() { modules.next_wake() } else { Some(self.clock.now()) };
            match self.next(wake).await {
                Next::Control(Control::End) => {
                    // What was handed over and has not had its turn is owed its answer as well.
                    while let Ok(input) = self.inputs.try_recv() {
                        batch.push(input);
                    }
                    modules.on(self.clock.now(), batch.drain(..), &mut out);
                    modules.stop(self.clock.now(), &mut out);
                    self.carry(&mut out, &mut modules.order_limit, &mut batch);
                    self.backend.settled(0, Duration::ZERO);
                    return EngineEnd::Asked;
                }
                Next::Control(Control::Change { decider, terms, done }) => {
                    round = Duration::from_micros(terms.round);
                    modules.waiting.push_back((decider, terms, done));
                }
                Next::Input(None) => return EngineEnd::Asked,
                Next::Input(Some(input)) => batch.push(input),
                Next::Due => {}
            }
            // No more often than a round: what comes meanwhile is handed over together.
            if let Some(rest) = round.checked_sub(last.elapsed()).filter(|r| !r.is_zero()) {
                Timer::after(rest).await;
            }
            while batch.len() < MOST_BATCH {
                let Ok(input) = self.inputs.try_recv() else { break };
                batch.push(input);
            }
            last = Instant::now();
            let began = self.clock.now();
            // Late by its own alarm, beyond the round that it waits for anyway; or by the oldest call that waited.
            let overdue = wake.map_or(0, |at| began.saturating_sub(at));
            let waited = batch.iter().map(|i| match i {
                Input::Call(call) => began.saturating_sub(B::handed(&call.content)),
                _ => 0,
            });
            let late = waited.max().unwrap_or(0).max(overdue).saturating_sub(round.as_micros() as Span);
            for input in &batch {
                self.backend.observe(began, input);
            }
            modules.on(self.clock.now(), batch.drain(..), &mut out);
            self.owed.store(modules.owed(), Ordering::Relaxed);
            let failed = self.carry(&mut out, &mut modules.order_limit, &mut batch);
            let took = last.elapsed();
            self.lag
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .observe(began, late.max(took.as_micros() as Span));
            self.backend.settled(modules.owed(), took);
            self.backend.remembered(modules.newest.figures());
            if let Some(text) = failed {
                modules.fail_all(self.clock.now(), Failure::ModuleFailed, &mut out);
                self.carry(&mut out, &mut modules.order_limit, &mut batch);
                self.backend.settled(0, Duration::ZERO);
                return EngineEnd::ModuleFailed(text);
            }
        }
    }

    async fn next(&self, wake: Option<Time>) -> Next<InputOf<B>> {
        let input = async { Next::Input(self.inputs.recv().await.ok()) };
        let control = async {
            match self.control.recv().await {
                Ok(c) => Next::Control(c),
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let due = async {
            match wake {
                Some(at) => _ = Timer::at(self.clock.instant(at)).await,
                None => futures_lite::future::pending().await,
            }
            Next::Due
        };
        control.or(input).or(due).await
    }

    /// Carries out what the driver asked for; the text of the module's failure, if it has failed. What is answered
    /// here goes into the next batch.
    fn carry(
        &mut self,
        out: &mut Vec<OutputOf<B>>,
        order_limit: &mut OrderLimit,
        again: &mut Vec<InputOf<B>>,
    ) -> Option<String> {
        let (now, mut failed) = (self.clock.now(), None);
        for output in out.drain(..) {
            match output {
                // Beyond the limit that holds for old and new modules together: it is answered as turned away.
                Output::Order { order, copies, .. }
                    if copies > 0 && !(order_limit.try_order(now) && self.backend.may_order(now)) =>
                {
                    again.push(Input::OrderEnded { order, outcome: Outcome::Full, copies: 0 });
                }
                Output::Log { text } => tracing::warn!("{text}"),
                Output::ModuleFailed { text } => {
                    tracing::error!("the decision module failed: {text}");
                    failed = failed.or(Some(text));
                }
                output => self.backend.carry(now, output),
            }
        }
        failed
    }
}
