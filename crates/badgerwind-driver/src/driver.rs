//! The driver: events to the decider, actions to outputs.

use crate::books::{Attempt, Held, Order, Timer, Timers};
use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Owns a decider; see the crate's page. `O`: whom to answer. `C`: what a runner needs. `R`: a runner's answer.
#[derive(Debug)]
pub struct Driver<D, O, C, R> {
    decider: D,
    limits: Limits,
    now: Time,
    held: BTreeMap<RequestId, Held<O, C>>,
    /// Calls among them that are owed an answer.
    owed: usize,
    workers: BTreeSet<WorkerId>,
    orders: BTreeMap<OrderId, Order>,
    next_order: u64,
    /// Probes with no answer yet, by runner, oldest first: when each was sent, and its number.
    probes: BTreeMap<WorkerId, VecDeque<u64>>,
    next_probe: u64,
    timers: Timers,
    broken: bool,
    actions: Vec<Action>,
    _reply: std::marker::PhantomData<R>,
}

type Out<O, C, R> = Vec<Output<O, C, R>>;

impl<D: Decider, O, C: Clone, R> Driver<D, O, C, R> {
    /// A driver that holds nothing.
    pub fn new(decider: D, limits: Limits) -> Self {
        Driver {
            decider,
            limits,
            now: 0,
            held: BTreeMap::new(),
            owed: 0,
            workers: BTreeSet::new(),
            orders: BTreeMap::new(),
            next_order: 0,
            probes: BTreeMap::new(),
            next_probe: 0,
            timers: Timers::default(),
            broken: false,
            actions: Vec::new(),
            _reply: std::marker::PhantomData,
        }
    }

    /// The same driver with its load orders numbered from there, so that several drivers of one daemon never give
    /// two orders one number.
    pub fn numbered_from(mut self, first: u64) -> Self {
        self.next_order = first;
        self
    }

    /// Whether it remembers a call.
    pub fn holds(&self, id: &RequestId) -> bool {
        self.held.contains_key(id)
    }

    /// Takes a batch: all that is ready at this time, in the order in which it came. What arrived counts before
    /// what became due, so an answer read beside its own time-out is the answer.
    pub fn on(
        &mut self,
        now: Time,
        inputs: impl IntoIterator<Item = Input<O, C, R>>,
        out: &mut Vec<Output<O, C, R>>,
    ) {
        self.now = self.now.max(now);
        let mark = self.timers.mark();
        for input in inputs {
            self.input(input, out);
        }
        while let Some(timer) = self.timers.pop(self.now, mark) {
            self.timer(timer, out);
        }
    }

    /// When the next timer is due; the shell hands in an empty batch then, if nothing else came.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Calls that are owed an answer.
    pub fn owed(&self) -> usize {
        self.owed
    }

    /// How much the decider remembers; nothing once it has failed.
    pub fn figures(&self) -> RouterStats {
        if self.broken {
            return RouterStats::default();
        }
        self.decider.figures()
    }

    /// Calls remembered: those owed an answer, and those with an attempt still out.
    pub fn remembered(&self) -> usize {
        self.held.len()
    }

    /// Timers set; each is bounded by a call, an order or an alarm of the module.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// The daemon ends: the decider gives each call its last answer, and what it leaves without one is failed.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Output<O, C, R>>) {
        self.now = self.now.max(now);
        self.tell(Event::Stopping, out);
        self.fail_all(now, Failure::Stopped, out);
    }

    /// Fails every call that is owed an answer, and calls off what is out.
    pub fn fail_all(&mut self, now: Time, why: Failure, out: &mut Vec<Output<O, C, R>>) {
        self.now = self.now.max(now);
        let ids: Vec<RequestId> = self.held.keys().cloned().collect();
        for id in ids {
            self.settle(&id, Final::Failed(why), None, out);
            let Some(held) = self.held.get_mut(&id) else { continue };
            for (n, a) in held.attempts.iter_mut().enumerate() {
                if let Some((worker, _)) = a.end() {
                    let (id, attempt) = (id.clone(), n as u32);
                    out.push(Output::CallOff { id, attempt, worker, why: CallOff::Cancelled });
                }
            }
            self.held.remove(&id);
        }
    }

    // ---- What comes in. ----

    fn input(&mut self, input: Input<O, C, R>, out: &mut Out<O, C, R>) {
        match input {
            Input::List { kind, entries } => {
                // Nothing new goes to one that is gone, so it need not be remembered; what is out there ends by itself.
                if matches!(kind, ListKind::Whole | ListKind::Cached) {
                    self.workers.clear();
                }
                for e in &entries {
                    match e.availability {
                        Availability::Removed => _ = self.workers.remove(&e.worker),
                        _ => _ = self.workers.insert(e.worker),
                    }
                }
                self.tell(Event::List { kind, entries }, out);
            }
            Input::Call(call) => self.call(call, out),
            Input::CallerLeft { id, keeps } => {
                let Some(held) = self.held.get_mut(&id) else { return };
                // Also between two attempts: an earlier one may have run, and that is not to be forgotten.
                if keeps && !held.attempts.is_empty() {
                    held.content = None; // a further attempt is moot
                    return self.withhold(&id, out);
                }
                let waited = held.owed.take().is_some();
                if waited {
                    self.owed -= 1;
                }
                if waited || held.stream.is_some() {
                    held.content = None;
                    self.withhold(&id, out);
                    self.forget_if_done(&id);
                    self.tell(Event::ClientDisconnected { id }, out);
                }
            }
            Input::StreamBegan { id, attempt, reply } => self.stream_began(id, attempt, reply, out),
            Input::AttemptEnded { id, attempt, end } => self.attempt_ended(&id, attempt, end, out),
            Input::OrderEnded { order, outcome, copies } => self.order_ended(order, outcome, copies, out),
            Input::ProbeEnded { worker, outcome, report } => {
                let asked = self.probes.get_mut(&worker).and_then(VecDeque::pop_front).is_some();
                self.probes.retain(|_, q| !q.is_empty());
                if asked {
                    self.tell(Event::Probed { worker, outcome, report }, out);
                }
            }
            Input::PresumedRestart { worker } => self.tell(Event::PresumedRestart { worker }, out),
            Input::Parts(parts) => self.tell(Event::LocalQuotas(parts), out),
            Input::Heard { from, bytes } => self.tell(Event::Message { from, bytes }, out),
        }
    }

    fn call(&mut self, call: Call<O, C>, out: &mut Out<O, C, R>) {
        let Call { request, origin, content } = call;
        let refused = if self.broken {
            Some(Final::Failed(Failure::ModuleFailed))
        } else if self.held.contains_key(&request.id) {
            Some(Final::Failed(Failure::DuplicateId))
        } else if self.owed >= self.limits.most_held {
            Some(Final::Refused { by: Refusal::MostHeld, retry_after: None })
        } else {
            None
        };
        if let Some(answer) = refused {
            let id = request.id;
            return out.push(Output::Final { id, origin, answer, attempts: 0, worker: None, lag: 0 });
        }
        let (id, due) = (request.id.clone(), request.due);
        let held = Held {
            owed: Some(origin),
            content: Some(content),
            due,
            since: self.now,
            stream: None,
            attempts: Vec::new(),
        };
        self.held.insert(id.clone(), held);
        self.owed += 1;
        self.timers.set(due, Timer::Due(id.clone()));
        self.timers.set(due.saturating_add(self.limits.answer_slack), Timer::Overdue(id));
        self.tell(Event::Request(request), out);
    }

    fn stream_began(&mut self, id: RequestId, attempt: u32, reply: R, out: &mut Out<O, C, R>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let live = matches!(held.attempts.get(attempt as usize), Some(Attempt::Out { .. }));
        let Some(origin) = held.owed.take_if(|_| live) else { return };
        (held.stream, held.content) = (Some(attempt), None);
        self.owed -= 1;
        out.push(Output::Stream { id: id.clone(), attempt, origin, reply });
        self.tell(Event::StreamBegan { id, attempt }, out);
    }

    fn attempt_ended(&mut self, id: &RequestId, attempt: u32, end: AttemptEnd<R>, out: &mut Out<O, C, R>) {
        let Some(held) = self.held.get_mut(id) else { return };
        let Some((worker, sent)) = held.attempts.get_mut(attempt as usize).and_then(Attempt::end) else {
            return; // reported before, or timed out meanwhile
        };
        let AttemptEnd { mut outcome, mark, crowd, report, reply } = end;
        if outcome == Outcome::Ok && held.owed.is_some() {
            match reply {
                Some(reply) => self.settle(id, Final::Served(reply), Some(worker), out),
                // An answer without one is no answer; it may have run.
                None => outcome = Outcome::Error,
            }
        }
        let lag = self.now.saturating_sub(sent);
        // Over by this outcome, or before it: nobody waits for more.
        let last = self.held.get(id).is_none_or(|h| h.owed.is_none());
        self.forget_if_done(id);
        let id = id.clone();
        self.tell(Event::Answer { id, attempt, worker, outcome, last, lag, mark, crowd, report }, out);
    }

    fn order_ended(&mut self, order: OrderId, outcome: Outcome, copies: u32, out: &mut Out<O, C, R>) {
        let Some(Order { worker, function, sent }) = self.orders.remove(&order) else { return };
        let lag = self.now.saturating_sub(sent);
        self.tell(Event::Loaded { worker, function, outcome, copies, lag }, out);
    }

    // ---- What becomes due. ----

    fn timer(&mut self, timer: Timer, out: &mut Out<O, C, R>) {
        match timer {
            Timer::Alarm(name) => self.tell(Event::Alarm { name }, out),
            Timer::Attempt(id, attempt) => self.call_off(&id, attempt, CallOff::TimedOut, out),
            Timer::Leaving(id, attempt) => {
                let leaving = self.held.get(&id).and_then(|h| h.attempts.get(attempt as usize));
                if let Some(Attempt::Leaving { why, .. }) = leaving {
                    let outcome = match why {
                        CallOff::Cancelled => Outcome::Cancelled,
                        CallOff::TimedOut => Outcome::Timeout,
                    };
                    self.attempt_ended(&id, attempt, AttemptEnd::plain(outcome), out);
                }
            }
            Timer::Due(id) => self.due(&id, out),
            Timer::Overdue(id) => {
                if self.held.get(&id).is_some_and(|h| h.owed.is_some()) {
                    let text = format!("call {id} was overdue: nothing had answered it");
                    out.push(Output::Log { text });
                    self.settle(&id, Final::Failed(Failure::Overdue), None, out);
                    self.forget_if_done(&id);
                    self.tell(Event::ClientDisconnected { id }, out);
                }
            }
            Timer::Order(order) => self.order_ended(order, Outcome::Timeout, 0, out),
            Timer::Probe(number) => {
                let late = self.probes.iter_mut().find(|(_, q)| q.front() == Some(&number));
                if let Some((&worker, queue)) = late {
                    queue.pop_front();
                    self.probes.retain(|_, q| !q.is_empty());
                    self.tell(Event::Probed { worker, outcome: Outcome::Timeout, report: None }, out);
                }
            }
            Timer::Moot(id, attempt, worker) => {
                if let Some(a) = self.held.get_mut(&id).and_then(|h| h.attempts.get_mut(attempt as usize)) {
                    a.end();
                }
                let last = self.held.get(&id).is_none_or(|h| h.owed.is_none());
                self.forget_if_done(&id);
                let (mark, outcome) = (CopyMark::Untold, Outcome::Moot);
                let (lag, crowd, report) = (0, None, None);
                self.tell(
                    Event::Answer { id, attempt, worker, outcome, last, lag, mark, crowd, report },
                    out,
                );
            }
            Timer::OrderMoot(worker, function) => {
                let outcome = Outcome::ConnectFailed;
                self.tell(Event::Loaded { worker, function, outcome, copies: 0, lag: 0 }, out);
            }
        }
    }

    /// The caller's time is up: attempts still out end as timed out, at once, so that the module can answer
    /// inside the slack. A stream that has begun has no deadline; attempts beside it have.
    fn due(&mut self, id: &RequestId, out: &mut Out<O, C, R>) {
        let Some(held) = self.held.get_mut(id) else { return };
        let stream = held.stream;
        let waits = |a: &Attempt| matches!(a, Attempt::Out { .. } | Attempt::Leaving { .. });
        let ends = |(n, a): &(u32, &Attempt)| waits(a) && stream != Some(*n);
        let out_now: Vec<u32> = (0..).zip(&held.attempts).filter(ends).map(|(n, _)| n).collect();
        held.content = None;
        for attempt in out_now {
            if let Some(Attempt::Out { worker, .. }) =
                self.held.get(id).and_then(|h| h.attempts.get(attempt as usize))
            {
                let worker = *worker;
                out.push(Output::CallOff { id: id.clone(), attempt, worker, why: CallOff::TimedOut });
            }
            self.attempt_ended(id, attempt, AttemptEnd::plain(Outcome::Timeout), out);
        }
    }

    // ---- The decider, and what it asks for. ----

    fn tell(&mut self, event: Event, out: &mut Out<O, C, R>) {
        if self.broken {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        let (decider, now) = (&mut self.decider, self.now);
        // The decider may be in any state after a panic; it is never called again.
        let done = catch_unwind(AssertUnwindSafe(|| decider.handle(now, event, &mut actions)));
        if let Err(panic) = done {
            self.broken = true;
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no text").to_owned();
            self.fail_all(now, Failure::ModuleFailed, out);
            return out.push(Output::Broken { text });
        }
        for action in actions.drain(..) {
            self.act(action, out);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action, out: &mut Out<O, C, R>) {
        match action {
            Action::Send { id, worker, timeout } => self.send(id, worker, timeout, out),
            Action::Cancel { id, attempt } => self.call_off(&id, attempt, CallOff::Cancelled, out),
            Action::Refuse { id, retry_after } => {
                self.settle(&id, Final::Refused { by: Refusal::Decided, retry_after }, None, out);
                self.forget_if_done(&id);
            }
            Action::Fail { id } => {
                self.settle(&id, Final::Failed(Failure::GivenUp), None, out);
                self.forget_if_done(&id);
            }
            Action::Load { worker, function, copies } => {
                if !self.workers.contains(&worker) {
                    return self.timers.set(self.now, Timer::OrderMoot(worker, function));
                }
                let order = OrderId(self.next_order);
                self.next_order += 1;
                let limit = self.now.saturating_add(self.limits.order_timeout);
                let (sent, name) = (self.now, function.clone());
                self.orders.insert(order, Order { worker, function, sent });
                self.timers.set(limit, Timer::Order(order));
                out.push(Output::Order { order, worker, function: name, copies, limit });
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
                self.probes.entry(worker).or_default().push_back(self.next_probe);
                let limit = self.now.saturating_add(self.limits.probe_timeout);
                self.timers.set(limit, Timer::Probe(self.next_probe));
                if self.workers.contains(&worker) {
                    out.push(Output::Probe { worker });
                }
            }
            Action::CloseIdle { worker } => out.push(Output::CloseIdle { worker }),
            Action::SendMessage { to, mut bytes } => {
                bytes.truncate(256);
                out.push(Output::Tell { to, bytes });
            }
            Action::Subscribe { on } => out.push(Output::Subscribe { on }),
            Action::FetchList => out.push(Output::FetchList),
            Action::Log { text } => out.push(Output::Log { text }),
        }
    }

    fn send(&mut self, id: RequestId, worker: WorkerId, timeout: Option<Span>, out: &mut Out<O, C, R>) {
        let now = self.now;
        let Some(held) = self.held.get_mut(&id) else {
            return; // Unknown or forgotten: an attempt of nothing has no number to end.
        };
        let attempt = held.attempts.len() as u32;
        let over = held.owed.is_none() || held.due <= now || attempt >= self.limits.max_attempts;
        let content = held.content.clone().filter(|_| !over && self.workers.contains(&worker));
        let Some(content) = content else {
            held.attempts.push(Attempt::Moot);
            return self.timers.set(now, Timer::Moot(id, attempt, worker));
        };
        held.attempts.push(Attempt::Out { worker, sent: now });
        let limit = timeout.map_or(held.due, |t| now.saturating_add(t).min(held.due));
        if limit < held.due {
            self.timers.set(limit, Timer::Attempt(id.clone(), attempt));
        }
        out.push(Output::Attempt { id, attempt, worker, content, limit });
    }

    /// Asks the shell to stop an attempt. It ends when that is confirmed, so that no next one overlaps it on the
    /// wire, or after a bound, so that a silent runner holds up nobody.
    fn call_off(&mut self, id: &RequestId, attempt: u32, why: CallOff, out: &mut Out<O, C, R>) {
        let Some(held) = self.held.get_mut(id) else { return };
        if held.stream == Some(attempt) {
            return; // A stream that has begun is not called off.
        }
        let Some(a) = held.attempts.get_mut(attempt as usize) else { return };
        let Attempt::Out { worker, sent } = *a else { return };
        *a = Attempt::Leaving { worker, sent, why };
        let limit = self.now.saturating_add(self.limits.call_off_within);
        self.timers.set(limit, Timer::Leaving(id.clone(), attempt));
        out.push(Output::CallOff { id: id.clone(), attempt, worker, why });
    }

    /// The one final answer: the origin moves out with it, or nobody is owed one any more.
    fn settle(&mut self, id: &RequestId, answer: Final<R>, worker: Option<WorkerId>, out: &mut Out<O, C, R>) {
        let Some(held) = self.held.get_mut(id) else { return };
        let Some(origin) = held.owed.take() else { return };
        held.content = None;
        self.owed -= 1;
        let (attempts, lag) = (held.attempts.len() as u32, self.now.saturating_sub(held.since));
        out.push(Output::Final { id: id.clone(), origin, answer, attempts, worker, lag });
        self.withhold(id, out);
    }

    /// Nobody waits any more: what has not begun to go out stays back.
    fn withhold(&mut self, id: &RequestId, out: &mut Out<O, C, R>) {
        let Some(held) = self.held.get(id) else { return };
        for (attempt, a) in (0..).zip(&held.attempts) {
            if let (&Attempt::Out { worker, .. }, true) = (a, held.stream != Some(attempt)) {
                out.push(Output::Withhold { id: id.clone(), attempt, worker });
            }
        }
    }

    fn forget_if_done(&mut self, id: &RequestId) {
        if self.held.get(id).is_some_and(Held::done) {
            self.held.remove(id);
        }
    }
}
