//! The engine: it alone owns the driver. What is ready together is handed over together, and what the driver asks
//! for is carried out by tasks that report back.

use crate::clock::Clock;
use crate::known::Known;
use crate::metrics::{word, ByOutcome, Metrics};
use crate::peers::Peers;
use crate::runners::{Reply, Runners};
use crate::trace::TraceParent;
use async_channel::{Receiver, Sender};
use badgerwind::interface::*;
use badgerwind_config::ration::Ration;
use badgerwind_config::shadow::limits;
use badgerwind_driver::{Call, CallOff, Decider, Driver, Failure, Final, Lag, OrderId, Output, Refusal};
use badgerwind_settings::Settings;
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What a runner needs of a call.
#[derive(Debug)]
pub(crate) struct Content {
    /// The settings under which it came; the places below are theirs.
    pub settings: Arc<Settings>,
    /// The module that knows those places.
    pub module: u64,
    /// The idempotency key.
    pub key: String,
    pub function: usize,
    pub class: usize,
    pub tenant: usize,
    /// The trace that it belongs to.
    pub trace: TraceParent,
    /// When it was taken, for the fence.
    pub taken: Time,
    /// When its front handed it over.
    pub handed: Time,
    /// When the sender gives up.
    pub due: Time,
    pub content_type: Option<String>,
    pub body: Arc<[u8]>,
}

/// How a call ended, for the front that took it.
#[derive(Debug)]
pub(crate) struct Ended {
    pub answer: Final<Reply>,
    pub attempts: u32,
    pub worker: Option<WorkerId>,
    pub lag: Span,
}

/// Whom to answer. Dropped unanswered, it lets its sender know by itself.
pub(crate) trait Origin: Send {
    fn answer(self: Box<Self>, id: &RequestId, ended: Ended);
}

pub(crate) type Input = badgerwind_driver::Input<Box<dyn Origin>, Arc<Content>, Reply>;

/// What the engine is told beside its inputs.
pub(crate) enum Control {
    /// Fail what is still owed and end.
    End,
    /// From now on new calls go to this module; the one before answers what it holds and ends. The new one's number
    /// comes back once that is so.
    Change { decider: Box<dyn Decider + Send>, settings: Arc<Settings>, done: Sender<u64> },
}

/// Why the engine has ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EngineEnd {
    Asked,
    ModuleFailed(String),
}

/// Inputs handed over at once, at the most; what is left waits for the next round.
const MOST_BATCH: usize = 4096;

pub(crate) struct Engine {
    pub clock: Clock,
    pub inputs: Receiver<Input>,
    pub report: Sender<Input>,
    pub control: Receiver<Control>,
    pub runners: Arc<Runners>,
    pub peers: Option<Arc<Peers>>,
    pub ask_list: Sender<ListCall>,
    pub metrics: Arc<Metrics>,
    /// Calls owed an answer, for the orderly stop.
    pub owed: Arc<AtomicUsize>,
    /// How far this front end runs behind.
    pub lag: Arc<Mutex<Lag>>,
}

/// What the module asks of the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListCall {
    Watch(bool),
    Fetch,
}

enum Next {
    Input(Option<Input>),
    Due,
    Control(Control),
}

type TheDriver = Driver<Box<dyn Decider + Send>, Box<dyn Origin>, Arc<Content>, Reply>;
type TheOutput = Output<Box<dyn Origin>, Arc<Content>, Reply>;

/// Load orders of one module: their numbers begin with its own.
const NUMBERS: u32 = 40;
/// Modules that still answer what they hold beside the newest; a further change waits for the oldest.
const MOST_LEAVING: usize = 4;

/// Another module, its settings, and whom to tell its number.
type Change = (Box<dyn Decider + Send>, Arc<Settings>, Sender<u64>);

/// Another module has taken its place.
struct Leaving {
    number: u64,
    driver: TheDriver,
    /// Until then calls can still come that a front judged by its settings.
    until: Time,
}

impl Leaving {
    fn stays(&self, now: Time) -> bool {
        self.driver.remembered() > 0 || now < self.until
    }
}

/// How long a call may be on its way from a front to its module, in microseconds.
const ON_THE_WAY: Span = 500_000;

/// The modules: the newest takes calls, those before it answer what they hold.
struct Modules {
    newest: TheDriver,
    number: u64,
    leaving: Vec<Leaving>,
    waiting: VecDeque<Change>,
    workers: BTreeMap<WorkerId, WorkerEntry>,
    ration: Ration,
}

/// How an attempt is called off, where it is, and what it is of.
type Out = (Sender<CallOff>, WorkerId, Arc<Content>);

/// Attempts out, and what was heard of those before.
#[derive(Default)]
struct Attempts {
    out: HashMap<(RequestId, u32), Out>,
    known: Known,
}

impl Modules {
    fn new(decider: Box<dyn Decider + Send>, settings: &Settings) -> Self {
        let r = &settings.router;
        Modules {
            newest: Driver::new(decider, limits(settings)),
            number: 0,
            leaving: Vec::new(),
            waiting: VecDeque::new(),
            workers: BTreeMap::new(),
            ration: Ration::new(r.load_window, r.load_free, r.load_share),
        }
    }

    /// A batch: each input to the module that it concerns.
    fn on(&mut self, now: Time, inputs: impl Iterator<Item = Input>, out: &mut Vec<TheOutput>) {
        let (mut own, mut late) = (Vec::new(), Vec::new());
        let mut others: Vec<Vec<Input>> = self.leaving.iter().map(|_| Vec::new()).collect();
        for input in inputs {
            let holder = |id: &RequestId| self.leaving.iter().position(|l| l.driver.holds(id));
            let place = match &input {
                Input::Call(call) => {
                    self.ration.took(now);
                    let number = call.content.module;
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
                Input::CallerLeft { id } | Input::StreamBegan { id, .. } | Input::AttemptEnded { id, .. } => {
                    holder(id)
                }
                Input::OrderEnded { order, .. } => {
                    let number = order.0 >> NUMBERS;
                    self.leaving.iter().position(|l| l.number == number)
                }
                // Only the newest still asks and listens.
                Input::ProbeEnded { .. } | Input::Heard { .. } => None,
            };
            match place {
                Some(n) => others[n].push(input),
                None => own.push(input),
            }
        }
        for (leaving, inputs) in self.leaving.iter_mut().zip(others) {
            leaving.driver.on(now, inputs, out);
        }
        // A call of a module that has ended: nobody knows its places, and it never ran.
        for input in late {
            let Input::Call(Call { request, origin, .. }) = input else { continue };
            let answer = Final::Refused { by: Refusal::MostHeld, retry_after: None };
            out.push(Output::Final { id: request.id, origin, answer, attempts: 0, worker: None, lag: 0 });
        }
        self.newest.on(now, own, out);
        self.leaving.retain(|l| l.stays(now));
        while self.leaving.len() < MOST_LEAVING {
            let Some((decider, settings, done)) = self.waiting.pop_front() else { break };
            self.change(now, decider, &settings, out);
            let _ = done.try_send(self.number); // whoever asked may have left
        }
    }

    /// Another module takes calls from now on. It is told the runners as they are listed; what stands loaded where
    /// it finds by its own order of workers, which follows from names alone.
    fn change(
        &mut self,
        now: Time,
        decider: Box<dyn Decider + Send>,
        settings: &Settings,
        out: &mut Vec<TheOutput>,
    ) {
        self.number += 1;
        let fresh = Driver::new(decider, limits(settings)).numbered_from(self.number << NUMBERS);
        let old = std::mem::replace(&mut self.newest, fresh);
        self.leaving.push(Leaving { number: self.number - 1, driver: old, until: now + ON_THE_WAY });
        let r = &settings.router;
        self.ration.change(r.load_window, r.load_free, r.load_share);
        let entries = self.workers.values().cloned().collect();
        self.newest.on(now, [Input::List { kind: ListKind::Whole, entries }], out);
    }

    fn owed(&self) -> usize {
        self.newest.owed() + self.leaving.iter().map(|l| l.driver.owed()).sum::<usize>()
    }

    fn next_wake(&self) -> Option<Time> {
        let all = self.leaving.iter().map(|l| &l.driver).chain([&self.newest]);
        let waits = (!self.waiting.is_empty()).then(|| self.leaving.iter().map(|l| l.until).min());
        all.filter_map(TheDriver::next_wake).chain(waits.flatten()).min()
    }

    fn fail_all(&mut self, now: Time, why: Failure, out: &mut Vec<TheOutput>) {
        self.leaving.iter_mut().for_each(|l| l.driver.fail_all(now, why, out));
        self.newest.fail_all(now, why, out);
    }
}

impl Engine {
    /// Runs until told to end or the module fails. Every call is answered before it returns.
    pub(crate) async fn run(self, decider: Box<dyn Decider + Send>, settings: Arc<Settings>) -> EngineEnd {
        let mut modules = Modules::new(decider, &settings);
        let mut round = Duration::from_micros(settings.router.round);
        let mut attempts = Attempts::default();
        let (mut batch, mut out) = (Vec::new(), Vec::new());
        let mut last = Instant::now().checked_sub(round).unwrap_or_else(Instant::now);
        loop {
            let wake = modules.next_wake();
            match self.next(wake).await {
                Next::Control(Control::End) => {
                    modules.fail_all(self.clock.now(), Failure::Stopped, &mut out);
                    out.drain(..).for_each(|o| _ = self.carry(o, &mut attempts, &mut modules.ration));
                    return EngineEnd::Asked;
                }
                Next::Control(Control::Change { decider, settings, done }) => {
                    round = Duration::from_micros(settings.router.round);
                    modules.waiting.push_back((decider, settings, done));
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
            // Late by its own alarm, beyond the round that it waits for anyway; or by the oldest call that waited for it.
            let overdue = wake.map_or(0, |at| began.saturating_sub(at));
            let waited = batch.iter().map(|i| match i {
                Input::Call(call) => began.saturating_sub(call.content.handed),
                _ => 0,
            });
            let late = waited.max().unwrap_or(0).max(overdue).saturating_sub(round.as_micros() as Span);
            for input in &batch {
                self.observe(input, &mut attempts);
            }
            modules.on(self.clock.now(), batch.drain(..), &mut out);
            self.owed.store(modules.owed(), Ordering::Relaxed);
            self.metrics.held.set(modules.owed() as i64);
            let mut failed = None;
            for o in out.drain(..) {
                failed = failed.or(self.carry(o, &mut attempts, &mut modules.ration));
            }
            let took = last.elapsed();
            self.lag
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .see(began, late.max(took.as_micros() as Span));
            self.metrics.batch_time.observe(took.as_secs_f64());
            if let Some(text) = failed {
                modules.fail_all(self.clock.now(), Failure::ModuleFailed, &mut out);
                out.drain(..).for_each(|o| _ = self.carry(o, &mut attempts, &mut modules.ration));
                return EngineEnd::ModuleFailed(text);
            }
        }
    }

    async fn next(&self, wake: Option<Time>) -> Next {
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

    /// Books what has ended, for figures and for the tasks that could still be called off.
    fn observe(&self, input: &Input, attempts: &mut Attempts) {
        match input {
            Input::AttemptEnded { id, attempt, end } => {
                if let Some((_, worker, content)) = attempts.out.remove(&(id.clone(), *attempt)) {
                    if tracing::enabled!(tracing::Level::DEBUG) {
                        let function = &content.settings.functions[content.function].name;
                        let what = format!("{}, {:?}", word(end.outcome), end.mark);
                        attempts.known.note(self.clock.now(), worker, function, what);
                    }
                }
                self.metrics.attempts.get_or_create(&ByOutcome { outcome: word(end.outcome) }).inc();
                let outcome = word(end.outcome);
                tracing::debug!(request = %id, attempt, outcome, mark = ?end.mark, "attempt ended");
            }
            Input::OrderEnded { outcome, .. } => {
                self.metrics.orders.get_or_create(&ByOutcome { outcome: word(*outcome) }).inc();
            }
            _ => {}
        }
    }

    fn refused_order(&self, order: OrderId) {
        let report = self.report.clone();
        smol::spawn(async move {
            let _ = report.send(Input::OrderEnded { order, outcome: Outcome::Full, copies: 0 }).await;
        })
        .detach();
    }

    /// Carries out one output; the text of the module's failure, if it is that.
    fn carry(&self, output: TheOutput, attempts: &mut Attempts, ration: &mut Ration) -> Option<String> {
        let (runners, report) = (self.runners.clone(), self.report.clone());
        match output {
            Output::Final { id, origin, answer, attempts, worker, lag } => {
                origin.answer(&id, Ended { answer, attempts, worker, lag });
            }
            Output::Stream { id, attempt, origin, reply } => {
                let ended =
                    Ended { answer: Final::Served(reply), attempts: attempt + 1, worker: None, lag: 0 };
                origin.answer(&id, ended);
            }
            Output::Attempt { id, attempt, worker, content, limit: _ } => {
                let (off, called_off) = async_channel::bounded(1);
                if tracing::enabled!(tracing::Level::DEBUG) {
                    let function = &content.settings.functions[content.function].name;
                    let known = attempts.known.tell(self.clock.now(), worker, function);
                    tracing::debug!(request = %id, attempt, worker, known, trace_id = %content.trace.trace, "attempt");
                }
                attempts.out.insert((id.clone(), attempt), (off, worker, content.clone()));
                smol::spawn(async move {
                    let end = runners.attempt(&id, attempt, worker, &content, called_off, &report).await;
                    let _ = report.send(Input::AttemptEnded { id, attempt, end }).await;
                })
                .detach();
            }
            Output::CallOff { id, attempt, why, .. } => {
                // A full channel: called off before. A closed one: it has ended, and its report is on its way.
                if let Some((off, ..)) = attempts.out.get(&(id, attempt)) {
                    let _ = off.try_send(why);
                }
            }
            Output::Order { order, copies, .. } if copies > 0 && !ration.order(self.clock.now()) => {
                // Beyond the limit that holds for old and new together: it is answered as turned away.
                self.refused_order(order);
            }
            Output::Order { order, worker, function, copies, limit } => {
                if copies > 0 && tracing::enabled!(tracing::Level::DEBUG) {
                    let what = format!("{copies} copies ordered");
                    attempts.known.note(self.clock.now(), worker, &function, what);
                }
                let until = self.clock.instant(limit);
                smol::spawn(async move {
                    let late = async {
                        Timer::at(until).await;
                        (Outcome::Timeout, 0)
                    };
                    let (outcome, copies) = runners.order(worker, &function, copies).or(late).await;
                    let _ = report.send(Input::OrderEnded { order, outcome, copies }).await;
                })
                .detach();
            }
            Output::Drop { worker, function } => {
                smol::spawn(async move { runners.unload(worker, &function).await }).detach();
            }
            Output::Probe { worker } => {
                smol::spawn(async move {
                    let (outcome, told) = runners.probe(worker).await;
                    let _ = report.send(Input::ProbeEnded { worker, outcome, report: told }).await;
                })
                .detach();
            }
            Output::CloseIdle { worker } => runners.close_idle(worker),
            Output::Tell { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.tell(to, &bytes);
                }
            }
            Output::Subscribe { on } => _ = self.ask_list.try_send(ListCall::Watch(on)),
            Output::FetchList => _ = self.ask_list.try_send(ListCall::Fetch),
            Output::Log { text } => tracing::warn!("{text}"),
            Output::Broken { text } => {
                tracing::error!("the decision module failed: {text}");
                return Some(text);
            }
        }
        None
    }
}
