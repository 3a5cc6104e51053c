//! The driver: translates inputs into events for the decision module, and its actions into outputs.

use crate::ledger::{Attempt, PendingCall, PendingOrder, PendingProbe, SentAttempt, Timer, Timers};
use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Longest message between front ends, in bytes; longer ones are truncated.
const MAX_MESSAGE_BYTES: usize = 256;

/// Owns a decision module and tracks its calls, orders, probes and timers; see the crate documentation.
///
/// `O` is the origin of a call, to which its answer goes; `C` is the content sent to a runner; `R` is a
/// runner's reply.
#[derive(Debug)]
pub struct Driver<D, O, C, R> {
    decider: D,
    limits: Limits,
    now: Time,
    calls: BTreeMap<RequestId, PendingCall<O, C>>,
    /// Number of `calls` without a final answer.
    unanswered: usize,
    workers: BTreeSet<WorkerId>,
    pending_orders: BTreeMap<OrderId, PendingOrder>,
    next_order: u64,
    /// The unanswered probes by runner, oldest first.
    pending_probes: BTreeMap<WorkerId, VecDeque<PendingProbe>>,
    next_probe: u64,
    timers: Timers,
    /// The module has panicked and is not called any more.
    module_failed: bool,
    /// Reused buffer for the actions of one event.
    actions: Vec<Action>,
    _reply: std::marker::PhantomData<R>,
}

type Outputs<O, C, R> = Vec<Output<O, C, R>>;

impl<D: Decider, O, C: Clone, R> Driver<D, O, C, R> {
    /// Creates a driver without calls.
    pub fn new(decider: D, limits: Limits) -> Self {
        Driver {
            decider,
            limits,
            now: 0,
            calls: BTreeMap::new(),
            unanswered: 0,
            workers: BTreeSet::new(),
            pending_orders: BTreeMap::new(),
            next_order: 0,
            pending_probes: BTreeMap::new(),
            next_probe: 0,
            timers: Timers::default(),
            module_failed: false,
            actions: Vec::new(),
            _reply: std::marker::PhantomData,
        }
    }

    /// Numbers the load orders from `first` on, so that several drivers in one process never use the same
    /// number twice.
    pub fn with_first_order(mut self, first: u64) -> Self {
        self.next_order = first;
        self
    }

    /// Whether the call is tracked: unanswered, or with open attempts.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.calls.contains_key(id)
    }

    /// Processes a batch: all inputs that are ready at `now`, in order of arrival. Inputs are processed
    /// before expired timers, so that an answer which is read in the same batch as its own timeout still
    /// counts.
    pub fn on_batch(
        &mut self,
        now: Time,
        inputs: impl IntoIterator<Item = Input<O, C, R>>,
        out: &mut Vec<Output<O, C, R>>,
    ) {
        self.now = self.now.max(now);
        let max_sequence = self.timers.last_sequence();
        for input in inputs {
            self.on_input(input, out);
        }
        while let Some(timer) = self.timers.pop(self.now, max_sequence) {
            self.on_timer(timer, out);
        }
    }

    /// When the next timer is due. The runtime passes an empty batch then, if there are no inputs.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Number of calls without a final answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Sizes of the decision module's state; all zero after it has failed.
    pub fn stats(&self) -> RouterStats {
        if self.module_failed {
            return RouterStats::default();
        }
        self.decider.stats()
    }

    /// Number of calls tracked: those without a final answer, and those with an open attempt.
    pub fn tracked_calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of timers set. Each belongs to a call, an order, a probe or an alarm of the module and ends with
    /// it, so that their number is bounded.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Shuts down: the decision module may still answer each call, and those that it leaves unanswered fail.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Output<O, C, R>>) {
        self.now = self.now.max(now);
        self.handle_event(Event::Stopping, out);
        self.fail_all(now, Failure::Stopped, out);
    }

    /// Fails every unanswered call, and cancels all open attempts.
    pub fn fail_all(&mut self, now: Time, failure: Failure, out: &mut Vec<Output<O, C, R>>) {
        self.now = self.now.max(now);
        let ids: Vec<RequestId> = self.calls.keys().cloned().collect();
        for id in ids {
            self.complete(&id, FinalAnswer::Failed(failure), None, out);
            let Some(call) = self.calls.get_mut(&id) else { continue };
            for (n, attempt) in call.attempts.iter_mut().enumerate() {
                if let Some(SentAttempt { worker, .. }) = attempt.end() {
                    let (id, attempt) = (id.clone(), n as u32);
                    out.push(Output::Cancel { id, attempt, worker, reason: CancelReason::Cancelled });
                }
            }
            self.forget(&id);
        }
    }

    // ---- Inputs ----

    fn on_input(&mut self, input: Input<O, C, R>, out: &mut Outputs<O, C, R>) {
        match input {
            Input::List { kind, entries } => {
                // Removed workers get no new work, so they need not be tracked. Attempts in flight there end
                // by themselves.
                if matches!(kind, ListKind::Whole | ListKind::Cached) {
                    self.workers.clear();
                }
                for entry in &entries {
                    match entry.availability {
                        Availability::Removed => _ = self.workers.remove(&entry.worker),
                        _ => _ = self.workers.insert(entry.worker),
                    }
                }
                self.handle_event(Event::List { kind, entries }, out);
            }
            Input::Call(call) => self.on_call(call, out),
            Input::CallerDisconnected { id, finish_started } => {
                let Some(call) = self.calls.get_mut(&id) else { return };
                // Applies between two attempts as well: an earlier one may have run, which must not be
                // forgotten.
                if finish_started && !call.attempts.is_empty() {
                    call.content = None; // no further attempt can be sent
                    return self.withhold(&id, out);
                }
                let was_waiting = call.origin.take().is_some();
                if was_waiting {
                    self.unanswered -= 1;
                }
                if was_waiting || call.streaming_attempt.is_some() {
                    call.content = None;
                    self.withhold(&id, out);
                    self.forget_if_finished(&id);
                    self.handle_event(Event::ClientDisconnected { id }, out);
                }
            }
            Input::StreamBegan { id, attempt, reply } => self.on_stream_began(id, attempt, reply, out),
            Input::AttemptEnded { id, attempt, end } => self.on_attempt_ended(&id, attempt, end, out),
            Input::OrderEnded { order, outcome, copies } => self.on_order_ended(order, outcome, copies, out),
            Input::ProbeEnded { worker, outcome, report } => {
                let pending = self.pending_probes.get_mut(&worker).and_then(VecDeque::pop_front);
                self.pending_probes.retain(|_, q| !q.is_empty());
                if let Some(probe) = pending {
                    self.timers.cancel([probe.timer]);
                    self.handle_event(Event::Probed { worker, outcome, report }, out);
                }
            }
            Input::PresumedRestart { worker } => self.handle_event(Event::PresumedRestart { worker }, out),
            Input::LocalQuotas(quotas) => self.handle_event(Event::LocalQuotas(quotas), out),
            Input::Message { from, bytes } => self.handle_event(Event::Message { from, bytes }, out),
        }
    }

    fn on_call(&mut self, call: Call<O, C>, out: &mut Outputs<O, C, R>) {
        let Call { request, origin, content } = call;
        let refused = if self.module_failed {
            Some(FinalAnswer::Failed(Failure::ModuleFailed))
        } else if self.calls.contains_key(&request.id) {
            Some(FinalAnswer::Failed(Failure::DuplicateId))
        } else if self.unanswered >= self.limits.max_calls {
            Some(FinalAnswer::Refused { by: Refusal::TooManyCalls, retry_after: None })
        } else {
            None
        };
        if let Some(answer) = refused {
            let id = request.id;
            return out.push(Output::Answer { id, origin, answer, attempts: 0, worker: None, lag: 0 });
        }
        let (id, due) = (request.id.clone(), request.due);
        let overdue = due.saturating_add(self.limits.answer_slack);
        let timers = vec![
            self.timers.set(due, Timer::CallDue(id.clone())),
            self.timers.set(overdue, Timer::AnswerOverdue(id.clone())),
        ];
        let call = PendingCall {
            origin: Some(origin),
            content: Some(content),
            due,
            received: self.now,
            streaming_attempt: None,
            attempts: Vec::new(),
            timers,
        };
        self.calls.insert(id, call);
        self.unanswered += 1;
        self.handle_event(Event::Request(request), out);
    }

    fn on_stream_began(&mut self, id: RequestId, attempt: u32, reply: R, out: &mut Outputs<O, C, R>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let in_flight = matches!(call.attempts.get(attempt as usize), Some(Attempt::InFlight { .. }));
        let Some(origin) = call.origin.take_if(|_| in_flight) else { return };
        (call.streaming_attempt, call.content) = (Some(attempt), None);
        self.unanswered -= 1;
        out.push(Output::Stream { id: id.clone(), attempt, origin, reply });
        self.handle_event(Event::StreamBegan { id, attempt }, out);
    }

    fn on_attempt_ended(
        &mut self,
        id: &RequestId,
        attempt: u32,
        end: AttemptEnd<R>,
        out: &mut Outputs<O, C, R>,
    ) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let Some(SentAttempt { worker, sent }) =
            call.attempts.get_mut(attempt as usize).and_then(Attempt::end)
        else {
            return; // already reported, or timed out in the meantime
        };
        let AttemptEnd { mut outcome, mark, crowd, report, reply } = end;
        if outcome == Outcome::Ok && call.origin.is_some() {
            match reply {
                Some(reply) => self.complete(id, FinalAnswer::Served(reply), Some(worker), out),
                // A success without a reply cannot be passed on; the call may have run.
                None => outcome = Outcome::Error,
            }
        }
        let lag = self.now.saturating_sub(sent);
        // True if this outcome or an earlier one completed the call.
        let last = self.calls.get(id).is_none_or(|call| call.origin.is_none());
        self.forget_if_finished(id);
        let id = id.clone();
        self.handle_event(
            Event::Answer { id, attempt, worker, outcome, last, lag, mark, crowd, report },
            out,
        );
    }

    fn on_order_ended(&mut self, order: OrderId, outcome: Outcome, copies: u32, out: &mut Outputs<O, C, R>) {
        let Some(PendingOrder { worker, function, sent, timer }) = self.pending_orders.remove(&order) else {
            return;
        };
        self.timers.cancel([timer]);
        let lag = self.now.saturating_sub(sent);
        self.handle_event(Event::Loaded { worker, function, outcome, copies, lag }, out);
    }

    // ---- Timers ----

    fn on_timer(&mut self, timer: Timer, out: &mut Outputs<O, C, R>) {
        match timer {
            Timer::Alarm(name) => self.handle_event(Event::Alarm { name }, out),
            Timer::AttemptTimeout(id, attempt) => self.cancel(&id, attempt, CancelReason::TimedOut, out),
            Timer::CancelTimeout(id, attempt) => {
                let attempt_state = self.calls.get(&id).and_then(|call| call.attempts.get(attempt as usize));
                if let Some(Attempt::Cancelling { reason, .. }) = attempt_state {
                    let outcome = match reason {
                        CancelReason::Cancelled => Outcome::Cancelled,
                        CancelReason::TimedOut => Outcome::Timeout,
                    };
                    self.on_attempt_ended(&id, attempt, AttemptEnd::from_outcome(outcome), out);
                }
            }
            Timer::CallDue(id) => self.on_call_due(&id, out),
            Timer::AnswerOverdue(id) => {
                if self.calls.get(&id).is_some_and(|call| call.origin.is_some()) {
                    let text = format!(
                        "call {id} was not answered within its due time and the answer slack; it fails"
                    );
                    out.push(Output::Log { text });
                    self.complete(&id, FinalAnswer::Failed(Failure::Overdue), None, out);
                    self.forget_if_finished(&id);
                    self.handle_event(Event::ClientDisconnected { id }, out);
                }
            }
            Timer::OrderTimeout(order) => self.on_order_ended(order, Outcome::Timeout, 0, out),
            Timer::ProbeTimeout(number) => {
                let is_next = |q: &VecDeque<PendingProbe>| q.front().is_some_and(|p| p.number == number);
                let expired = self.pending_probes.iter_mut().find(|(_, q)| is_next(q));
                if let Some((&worker, queue)) = expired {
                    queue.pop_front();
                    self.pending_probes.retain(|_, q| !q.is_empty());
                    self.handle_event(Event::Probed { worker, outcome: Outcome::Timeout, report: None }, out);
                }
            }
            Timer::AttemptNotSent(id, attempt, worker) => {
                let call = self.calls.get_mut(&id);
                if let Some(state) = call.and_then(|call| call.attempts.get_mut(attempt as usize)) {
                    state.end();
                }
                let last = self.calls.get(&id).is_none_or(|call| call.origin.is_none());
                self.forget_if_finished(&id);
                let (mark, outcome) = (CopyMark::Untold, Outcome::Moot);
                let (lag, crowd, report) = (0, None, None);
                self.handle_event(
                    Event::Answer { id, attempt, worker, outcome, last, lag, mark, crowd, report },
                    out,
                );
            }
            Timer::OrderNotSent(worker, function) => {
                let outcome = Outcome::ConnectFailed;
                self.handle_event(Event::Loaded { worker, function, outcome, copies: 0, lag: 0 }, out);
            }
        }
    }

    /// Ends the open attempts of a call as timed out when its due time has come. They end at once, without
    /// waiting for a confirmation, so that the module can answer within the slack. An attempt whose answer is
    /// already being streamed has no deadline; other attempts of the same call have.
    fn on_call_due(&mut self, id: &RequestId, out: &mut Outputs<O, C, R>) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let streaming_attempt = call.streaming_attempt;
        let open =
            |attempt: &Attempt| matches!(attempt, Attempt::InFlight { .. } | Attempt::Cancelling { .. });
        let expires = |(n, attempt): &(u32, &Attempt)| open(attempt) && streaming_attempt != Some(*n);
        let expired: Vec<u32> = (0..).zip(&call.attempts).filter(expires).map(|(n, _)| n).collect();
        call.content = None;
        for attempt in expired {
            if let Some(Attempt::InFlight { worker, .. }) =
                self.calls.get(id).and_then(|call| call.attempts.get(attempt as usize))
            {
                let worker = *worker;
                out.push(Output::Cancel { id: id.clone(), attempt, worker, reason: CancelReason::TimedOut });
            }
            self.on_attempt_ended(id, attempt, AttemptEnd::from_outcome(Outcome::Timeout), out);
        }
    }

    // ---- The decision module and its actions ----

    fn handle_event(&mut self, event: Event, out: &mut Outputs<O, C, R>) {
        if self.module_failed {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        let (decider, now) = (&mut self.decider, self.now);
        // After a panic the state of the module is unknown, so it is never called again.
        let result = catch_unwind(AssertUnwindSafe(|| decider.handle(now, event, &mut actions)));
        if let Err(panic) = result {
            self.module_failed = true;
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no text").to_owned();
            self.fail_all(now, Failure::ModuleFailed, out);
            return out.push(Output::ModuleFailed { text });
        }
        for action in actions.drain(..) {
            self.apply_action(action, out);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, action: Action, out: &mut Outputs<O, C, R>) {
        match action {
            Action::Send { id, worker, timeout } => self.send(id, worker, timeout, out),
            Action::Cancel { id, attempt } => self.cancel(&id, attempt, CancelReason::Cancelled, out),
            Action::Refuse { id, retry_after } => {
                self.complete(&id, FinalAnswer::Refused { by: Refusal::ByModule, retry_after }, None, out);
                self.forget_if_finished(&id);
            }
            Action::Fail { id } => {
                self.complete(&id, FinalAnswer::Failed(Failure::GivenUp), None, out);
                self.forget_if_finished(&id);
            }
            Action::Load { worker, function, copies } => {
                if !self.workers.contains(&worker) {
                    self.timers.set(self.now, Timer::OrderNotSent(worker, function));
                    return;
                }
                let order = OrderId(self.next_order);
                self.next_order += 1;
                let deadline = self.now.saturating_add(self.limits.order_timeout);
                let (sent, name) = (self.now, function.clone());
                let timer = self.timers.set(deadline, Timer::OrderTimeout(order));
                self.pending_orders.insert(order, PendingOrder { worker, function, sent, timer });
                out.push(Output::Order { order, worker, function: name, copies, deadline });
            }
            Action::Drop { worker, function } if self.workers.contains(&worker) => {
                out.push(Output::Drop { worker, function });
            }
            Action::Drop { .. } => {}
            Action::SetAlarm { after, name } => {
                self.timers.set(self.now.saturating_add(after), Timer::Alarm(name));
            }
            Action::Probe { worker } => {
                self.next_probe += 1;
                let (number, deadline) =
                    (self.next_probe, self.now.saturating_add(self.limits.probe_timeout));
                let timer = self.timers.set(deadline, Timer::ProbeTimeout(number));
                self.pending_probes.entry(worker).or_default().push_back(PendingProbe { number, timer });
                if self.workers.contains(&worker) {
                    out.push(Output::Probe { worker });
                }
            }
            Action::CloseIdle { worker } => out.push(Output::CloseIdle { worker }),
            Action::SendMessage { to, mut bytes } => {
                bytes.truncate(MAX_MESSAGE_BYTES);
                out.push(Output::SendMessage { to, bytes });
            }
            Action::Subscribe { on } => out.push(Output::Subscribe { on }),
            Action::FetchList => out.push(Output::FetchList),
            Action::Log { text } => out.push(Output::Log { text }),
        }
    }

    fn send(&mut self, id: RequestId, worker: WorkerId, timeout: Option<Micros>, out: &mut Outputs<O, C, R>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return; // The call is unknown or forgotten, so there is no attempt whose end could be reported.
        };
        let attempt = call.attempts.len() as u32;
        let must_not_send = call.origin.is_none() || call.due <= now || attempt >= self.limits.max_attempts;
        let content = call.content.clone().filter(|_| !must_not_send && self.workers.contains(&worker));
        let Some(content) = content else {
            call.attempts.push(Attempt::NotSent);
            self.timers.set(now, Timer::AttemptNotSent(id, attempt, worker));
            return;
        };
        call.attempts.push(Attempt::InFlight { worker, sent: now });
        let deadline = timeout.map_or(call.due, |t| now.saturating_add(t).min(call.due));
        if deadline < call.due {
            call.timers.push(self.timers.set(deadline, Timer::AttemptTimeout(id.clone(), attempt)));
        }
        out.push(Output::Attempt { id, attempt, worker, content, deadline });
    }

    /// Asks the runtime to cancel an attempt. The attempt ends when that is confirmed, so that the next one
    /// does not overlap with it, or after `cancel_timeout`, so that an unresponsive runner does not delay the
    /// call.
    fn cancel(&mut self, id: &RequestId, attempt: u32, reason: CancelReason, out: &mut Outputs<O, C, R>) {
        let Some(call) = self.calls.get_mut(id) else { return };
        if call.streaming_attempt == Some(attempt) {
            return; // An answer that is already being streamed is not cancelled.
        }
        let Some(state) = call.attempts.get_mut(attempt as usize) else { return };
        let Attempt::InFlight { worker, sent } = *state else { return };
        *state = Attempt::Cancelling { worker, sent, reason };
        let deadline = self.now.saturating_add(self.limits.cancel_timeout);
        call.timers.push(self.timers.set(deadline, Timer::CancelTimeout(id.clone(), attempt)));
        out.push(Output::Cancel { id: id.clone(), attempt, worker, reason });
    }

    /// Gives the call its final answer. Has no effect if the origin was already taken: the call is answered,
    /// or its caller has disconnected.
    fn complete(
        &mut self,
        id: &RequestId,
        answer: FinalAnswer<R>,
        worker: Option<WorkerId>,
        out: &mut Outputs<O, C, R>,
    ) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let Some(origin) = call.origin.take() else { return };
        call.content = None;
        self.unanswered -= 1;
        let (attempts, lag) = (call.attempts.len() as u32, self.now.saturating_sub(call.received));
        out.push(Output::Answer { id: id.clone(), origin, answer, attempts, worker, lag });
        self.withhold(id, out);
    }

    /// Asks the runtime to keep back attempts of which nothing was written yet, since nobody waits for the
    /// call any more.
    fn withhold(&mut self, id: &RequestId, out: &mut Outputs<O, C, R>) {
        let Some(call) = self.calls.get(id) else { return };
        for (attempt, state) in (0..).zip(&call.attempts) {
            if let (&Attempt::InFlight { worker, .. }, true) =
                (state, call.streaming_attempt != Some(attempt))
            {
                out.push(Output::Withhold { id: id.clone(), attempt, worker });
            }
        }
    }

    fn forget_if_finished(&mut self, id: &RequestId) {
        if self.calls.get(id).is_some_and(PendingCall::is_finished) {
            self.forget(id);
        }
    }

    /// Forgets a call together with its timers.
    fn forget(&mut self, id: &RequestId) {
        let call = self.calls.remove(id);
        self.timers.cancel(call.into_iter().flat_map(|call| call.timers));
    }
}
