//! The engine's backend for the webhook front: calls come from signed webhooks, attempts go out through the
//! runner client. The driver's outputs are carried out by tasks that report their results as inputs.

use crate::clock::Clock;
use crate::engine::{Backend, InputOf, OutputOf};
use crate::evidence::Evidence;
use crate::metrics::{outcome_name, ByOutcome, Metrics};
use crate::peers::Peers;
use crate::runners::{AttemptSignal, Reply, Runners};
use crate::shares::BudgetShares;
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

/// The parts of a call that a runner needs.
#[derive(Debug)]
pub(crate) struct Content {
    /// The settings under which the call was accepted; the indices below refer to them.
    pub settings: Arc<Settings>,
    /// Number of the decision module that was started with these settings.
    pub module: u64,
    /// The idempotency key.
    pub key: String,
    pub function: usize,
    pub class: usize,
    pub tenant: usize,
    /// The call's trace context.
    pub trace: TraceParent,
    /// When the call was accepted; part of the fence.
    pub accepted_at: Time,
    /// When the front queued the call for the engine.
    pub queued_at: Time,
    /// The call's deadline.
    pub due: Time,
    pub content_type: Option<String>,
    pub body: Arc<[u8]>,
}

/// The end of a call, for the front that accepted it.
#[derive(Debug)]
pub(crate) struct CallEnd {
    pub answer: FinalAnswer<Reply>,
    pub attempts: u32,
    pub worker: Option<WorkerId>,
    pub lag: Micros,
}

/// Receives the answer of a call. Dropping it unanswered must notify the sender.
pub(crate) trait Origin: Send {
    fn answer(self: Box<Self>, id: &RequestId, end: CallEnd);
}

pub(crate) type Input = InputOf<Dispatch>;

/// The module's requests to the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListRequest {
    /// Start or stop following the list.
    Watch(bool),
    /// Fetch the list once.
    Fetch,
}

/// An attempt that has not ended.
struct ActiveAttempt {
    /// Signals its task.
    signals: Sender<AttemptSignal>,
    worker: WorkerId,
    content: Arc<Content>,
    sent_at: Time,
}

/// The attempts that have not ended, and the evidence from earlier ones.
#[derive(Default)]
pub(crate) struct Attempts {
    active: HashMap<(RequestId, u32), ActiveAttempt>,
    evidence: Evidence,
}

/// Carries out the driver's outputs over the webhook protocol.
pub(crate) struct Dispatch {
    pub clock: Clock,
    pub inputs: Sender<Input>,
    pub runners: Arc<Runners>,
    pub peers: Option<Arc<Peers>>,
    pub list_requests: Sender<ListRequest>,
    pub metrics: Arc<Metrics>,
    pub attempts: Attempts,
    pub shares: Option<Arc<BudgetShares>>,
    pub zones: Option<Arc<Zones>>,
}

impl Backend for Dispatch {
    type Origin = Box<dyn Origin>;
    type Content = Arc<Content>;
    type Reply = Reply;

    fn module_number(content: &Arc<Content>) -> u64 {
        content.module
    }

    fn accepted_at(content: &Arc<Content>) -> Time {
        content.queued_at
    }

    /// Updates metrics, shares, zones and the table of active attempts.
    fn observe(&mut self, now: Time, input: &Input) {
        match input {
            Input::Call(call) => {
                if let Some(shares) = &self.shares {
                    shares.record_call(call.content.tenant);
                }
            }
            Input::AttemptEnded { id, attempt, end } => {
                if let Some(active) = self.attempts.active.remove(&(id.clone(), *attempt)) {
                    let ActiveAttempt { worker, content, sent_at, .. } = active;
                    if let Some(zones) = &self.zones {
                        let aim = content.settings.router.classes.get(content.class).map_or(0, |c| c.aim);
                        let late = aim > 0 && now > sent_at + aim;
                        zones.record_end(now, worker, end.outcome, sent_at, late);
                    }
                    if tracing::enabled!(tracing::Level::DEBUG) {
                        let function = &content.settings.functions[content.function].name;
                        let event = format!("{}, {:?}", outcome_name(end.outcome), end.mark);
                        self.attempts.evidence.record(now, worker, function, event);
                    }
                }
                self.metrics.attempts.get_or_create(&ByOutcome { outcome: outcome_name(end.outcome) }).inc();
                let outcome = outcome_name(end.outcome);
                tracing::debug!(request = %id, attempt, outcome, mark = ?end.mark, "attempt ended");
            }
            Input::OrderEnded { outcome, .. } => {
                self.metrics.orders.get_or_create(&ByOutcome { outcome: outcome_name(*outcome) }).inc();
            }
            _ => {}
        }
    }

    fn execute(&mut self, now: Time, output: OutputOf<Self>) {
        let (runners, inputs) = (self.runners.clone(), self.inputs.clone());
        match output {
            Output::Answer { id, origin, answer, attempts, worker, lag } => {
                origin.answer(&id, CallEnd { answer, attempts, worker, lag });
            }
            Output::Stream { id, attempt, origin, reply } => {
                let end = CallEnd {
                    answer: FinalAnswer::Served(reply),
                    attempts: attempt + 1,
                    worker: None,
                    lag: 0,
                };
                origin.answer(&id, end);
            }
            Output::Attempt { id, attempt, worker, content, deadline: _ } => {
                // Capacity for both signals.
                let (signals, received_signals) = async_channel::bounded(2);
                if tracing::enabled!(tracing::Level::DEBUG) {
                    let function = &content.settings.functions[content.function].name;
                    let known = self.attempts.evidence.describe(now, worker, function);
                    tracing::debug!(request = %id, attempt, worker, known, trace_id = %content.trace.trace_id, "attempt");
                }
                let active = ActiveAttempt { signals, worker, content: content.clone(), sent_at: now };
                self.attempts.active.insert((id.clone(), attempt), active);
                smol::spawn(async move {
                    let end =
                        runners.send_attempt(&id, attempt, worker, &content, received_signals, &inputs).await;
                    let _ = inputs.send(Input::AttemptEnded { id, attempt, end }).await;
                })
                .detach();
            }
            Output::Cancel { id, attempt, reason, .. } => {
                // A full channel means that it was cancelled before; a closed one that it has ended and its
                // report is queued.
                if let Some(active) = self.attempts.active.get(&(id, attempt)) {
                    let _ = active.signals.try_send(AttemptSignal::Cancel(reason));
                }
            }
            Output::Withhold { id, attempt, .. } => {
                if let Some(active) = self.attempts.active.get(&(id, attempt)) {
                    let _ = active.signals.try_send(AttemptSignal::Withhold);
                }
            }
            Output::Order { order, worker, function, copies, deadline } => {
                if copies > 0 && tracing::enabled!(tracing::Level::DEBUG) {
                    let event = format!("{copies} copies ordered");
                    self.attempts.evidence.record(now, worker, &function, event);
                }
                let deadline = self.clock.instant(deadline);
                smol::spawn(async move {
                    let timeout = async {
                        Timer::at(deadline).await;
                        (Outcome::Timeout, 0)
                    };
                    let (outcome, copies) = runners.send_order(worker, &function, copies).or(timeout).await;
                    let _ = inputs.send(Input::OrderEnded { order, outcome, copies }).await;
                })
                .detach();
            }
            Output::Drop { worker, function } => {
                smol::spawn(async move { runners.unload(worker, &function).await }).detach();
            }
            Output::Probe { worker } => {
                smol::spawn(async move {
                    let (outcome, worker_report) = runners.probe(worker).await;
                    let _ = inputs.send(Input::ProbeEnded { worker, outcome, report: worker_report }).await;
                })
                .detach();
            }
            Output::CloseIdle { worker } => runners.close_idle(worker),
            Output::SendMessage { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            Output::Subscribe { on } => _ = self.list_requests.try_send(ListRequest::Watch(on)),
            Output::FetchList => _ = self.list_requests.try_send(ListRequest::Fetch),
            // Handled by the engine.
            Output::Log { .. } | Output::ModuleFailed { .. } => {}
        }
    }

    fn may_order(&mut self, _now: Time) -> bool {
        self.shares.as_ref().is_none_or(|shares| shares.try_spend_order())
    }

    fn on_batch_done(&mut self, unanswered: usize, took: Duration) {
        self.metrics.unanswered_calls.set(unanswered as i64);
        self.metrics.batch_time.observe(took.as_secs_f64());
    }

    fn record_stats(&mut self, stats: RouterStats) {
        self.metrics.set_module_records(&stats);
    }
}
