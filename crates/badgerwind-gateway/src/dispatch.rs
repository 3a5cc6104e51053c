//! The webhook front's way through the engine: calls of signed webhooks, attempts by the runner client. What the driver
//! asks for is carried out by tasks that report back.

use crate::clock::Clock;
use crate::engine::{Backend, InputOf, OutputOf};
use crate::known::Known;
use crate::metrics::{word, ByOutcome, Metrics};
use crate::peers::Peers;
use crate::runners::{Reply, Runners, Stop};
use crate::shares::Shares;
use crate::trace::TraceParent;
use crate::zones::Zones;
use async_channel::Sender;
use badgerwind::interface::*;
use badgerwind_driver::{FinalAnswer, Output};
use badgerwind_settings::Settings;
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

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
    pub answer: FinalAnswer<Reply>,
    pub attempts: u32,
    pub worker: Option<WorkerId>,
    pub lag: Span,
}

/// Whom to answer. Dropped unanswered, it lets its sender know by itself.
pub(crate) trait Origin: Send {
    fn answer(self: Box<Self>, id: &RequestId, ended: Ended);
}

pub(crate) type Input = InputOf<Dispatch>;

/// What the module asks of the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListCall {
    Watch(bool),
    Fetch,
}

/// How an attempt is called off, where it is, what it is of, and when it went out.
type Out = (Sender<Stop>, WorkerId, Arc<Content>, Time);

/// Attempts out, and what was heard of those before.
#[derive(Default)]
pub(crate) struct Attempts {
    out: HashMap<(RequestId, u32), Out>,
    known: Known,
}

/// Carries out what the driver asks for by webhooks' means.
pub(crate) struct Dispatch {
    pub clock: Clock,
    pub report: Sender<Input>,
    pub runners: Arc<Runners>,
    pub peers: Option<Arc<Peers>>,
    pub ask_list: Sender<ListCall>,
    pub metrics: Arc<Metrics>,
    pub attempts: Attempts,
    pub shares: Option<Arc<Shares>>,
    pub zones: Option<Arc<Zones>>,
}

impl Backend for Dispatch {
    type Origin = Box<dyn Origin>;
    type Content = Arc<Content>;
    type Reply = Reply;

    fn module(content: &Arc<Content>) -> u64 {
        content.module
    }

    fn handed(content: &Arc<Content>) -> Time {
        content.handed
    }

    /// Books what has ended, for figures and for the tasks that could still be called off.
    fn observe(&mut self, now: Time, input: &Input) {
        match input {
            Input::Call(call) => {
                if let Some(shares) = &self.shares {
                    shares.called(call.content.tenant);
                }
            }
            Input::AttemptEnded { id, attempt, end } => {
                if let Some((_, worker, content, sent)) = self.attempts.out.remove(&(id.clone(), *attempt)) {
                    if let Some(zones) = &self.zones {
                        let aim = content.settings.router.classes.get(content.class).map_or(0, |c| c.aim);
                        let late = aim > 0 && now > sent + aim;
                        zones.ended(now, worker, end.outcome, sent, late);
                    }
                    if tracing::enabled!(tracing::Level::DEBUG) {
                        let function = &content.settings.functions[content.function].name;
                        let what = format!("{}, {:?}", word(end.outcome), end.mark);
                        self.attempts.known.note(now, worker, function, what);
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

    fn carry(&mut self, now: Time, output: OutputOf<Self>) {
        let (runners, report) = (self.runners.clone(), self.report.clone());
        match output {
            Output::Answer { id, origin, answer, attempts, worker, lag } => {
                origin.answer(&id, Ended { answer, attempts, worker, lag });
            }
            Output::Stream { id, attempt, origin, reply } => {
                let ended =
                    Ended { answer: FinalAnswer::Served(reply), attempts: attempt + 1, worker: None, lag: 0 };
                origin.answer(&id, ended);
            }
            Output::Attempt { id, attempt, worker, content, limit: _ } => {
                // Room for both words that it may be told.
                let (off, called_off) = async_channel::bounded(2);
                if tracing::enabled!(tracing::Level::DEBUG) {
                    let function = &content.settings.functions[content.function].name;
                    let known = self.attempts.known.tell(now, worker, function);
                    tracing::debug!(request = %id, attempt, worker, known, trace_id = %content.trace.trace, "attempt");
                }
                self.attempts.out.insert((id.clone(), attempt), (off, worker, content.clone(), now));
                smol::spawn(async move {
                    let end = runners.attempt(&id, attempt, worker, &content, called_off, &report).await;
                    let _ = report.send(Input::AttemptEnded { id, attempt, end }).await;
                })
                .detach();
            }
            Output::Cancel { id, attempt, reason: why, .. } => {
                // A full channel: called off before. A closed one: it has ended, and its report is on its way.
                if let Some((off, ..)) = self.attempts.out.get(&(id, attempt)) {
                    let _ = off.try_send(Stop::Off(why));
                }
            }
            Output::Withhold { id, attempt, .. } => {
                if let Some((off, ..)) = self.attempts.out.get(&(id, attempt)) {
                    let _ = off.try_send(Stop::Withhold);
                }
            }
            Output::Order { order, worker, function, copies, limit } => {
                if copies > 0 && tracing::enabled!(tracing::Level::DEBUG) {
                    let what = format!("{copies} copies ordered");
                    self.attempts.known.note(now, worker, &function, what);
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
            Output::SendMessage { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.tell(to, &bytes);
                }
            }
            Output::Subscribe { on } => _ = self.ask_list.try_send(ListCall::Watch(on)),
            Output::FetchList => _ = self.ask_list.try_send(ListCall::Fetch),
            // The engine's own.
            Output::Log { .. } | Output::ModuleFailed { .. } => {}
        }
    }

    fn may_order(&mut self, _now: Time) -> bool {
        self.shares.as_ref().is_none_or(|s| s.order())
    }

    fn settled(&mut self, owed: usize, took: Duration) {
        self.metrics.held.set(owed as i64);
        self.metrics.batch_time.observe(took.as_secs_f64());
    }

    fn remembered(&mut self, figures: RouterStats) {
        self.metrics.remembered(&figures);
    }
}
