//! One connection to an executor: when queued lines are written, and what its answers and its end imply for
//! calls, orders and probes.

use super::freshness::executor_name;
use super::runtime::{Content, Input, Runtime};
use super::stream::{is_descriptor_limit, Stream};
use badgerwind::interface::*;
use badgerwind_driver::AttemptEnd;
use badgerwind_freshness::Permit;
use badgerwind_platform::line;
use badgerwind_platform::link::{order_tag, probe_tag, question_tag, End, Link, Start, Task};
use badgerwind_platform::memory::{ByteCount, HeldBytes};
use badgerwind_platform::reach::Reachability;
use futures_lite::FutureExt;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The content of an attempt, and how often it was queued again because a connection broke before its last
/// byte was written.
#[derive(Clone)]
pub(super) struct CallContent {
    content: Rc<Content>,
    resends: u8,
}

impl CallContent {
    pub(super) fn new(content: Rc<Content>) -> CallContent {
        CallContent { content, resends: 0 }
    }

    /// The key of the called function.
    pub(super) fn key(&self) -> &str {
        &self.content.function
    }

    pub(super) fn content(&self) -> &Content {
        &self.content
    }
}

/// How often an attempt is queued again after a connection broke before its last byte was written. After that
/// the executor counts as unreachable.
const MAX_RESENDS: u8 = 2;
/// Pause before a connection that failed for want of a descriptor is tried again.
const DESCRIPTOR_PAUSE: Duration = Duration::from_millis(2);
/// How long before the end of the drain grace attempts stop being sent, in microseconds. The drain event and
/// the first byte of an attempt may cross on the network.
const DRAIN_MARGIN: Micros = 5_000;

/// A connection to an executor, and the tasks queued on it.
pub(super) struct Connection {
    pub worker: WorkerId,
    stream: RefCell<Option<Rc<Stream>>>,
    pub link: RefCell<Link<CallContent>>,
    /// The memory of an incomplete line.
    held: RefCell<HeldBytes>,
    /// How the executor ended the connection, if it did; the connection's task handles it.
    remote_end: Cell<Option<RemoteEnd>>,
    /// The outcome of tasks that were not sent.
    unsent_outcome: Cell<Outcome>,
    closing: Cell<bool>,
    dirty: Cell<bool>,
    acceptance: Cell<Acceptance>,
    /// Whether the last task queued here must not share the connection until it has ended.
    exclusive: Cell<bool>,
    /// Nothing is read until the engine has taken the answers that wait for it.
    paused: Cell<bool>,
}

/// How the executor ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemoteEnd {
    Closed,
    /// It sent something that cannot be parsed.
    ProtocolError,
}

/// Whether the executor has accepted a new connection, judged by the first answers on it. An executor whose
/// connection table is full rejects everything on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acceptance {
    /// No answer has arrived yet.
    Unknown,
    /// All answers so far were rejections.
    Rejected,
    /// Some answer was not a rejection.
    Accepted,
}

impl Connection {
    /// A connection that is yet to be established. `line_bytes` counts the memory of incomplete lines.
    pub(super) fn new(worker: WorkerId, now: Time, line_bytes: &ByteCount) -> Connection {
        Connection {
            worker,
            stream: RefCell::default(),
            link: RefCell::new(Link::new(now)),
            held: RefCell::new(line_bytes.hold(0)),
            remote_end: Cell::default(),
            unsent_outcome: Cell::new(Outcome::ConnectFailed),
            closing: Cell::default(),
            dirty: Cell::default(),
            acceptance: Cell::new(Acceptance::Unknown),
            exclusive: Cell::default(),
            paused: Cell::default(),
        }
    }

    /// Whether the executor has accepted work over it.
    pub(super) fn is_accepted(&self) -> bool {
        self.acceptance.get() == Acceptance::Accepted
    }

    /// Number of tasks queued or unanswered on it.
    pub(super) fn task_count(&self) -> usize {
        self.link.borrow().task_count()
    }

    /// Marks that it has something to write; false if it was marked already.
    pub(super) fn mark_dirty(&self) -> bool {
        !self.dirty.replace(true)
    }

    /// Removes the mark, just before its lines are written.
    pub(super) fn clear_dirty(&self) {
        self.dirty.set(false);
    }

    /// Counts what it holds of an incomplete line now.
    fn update_held(&self) {
        self.held.borrow_mut().set(self.link.borrow().line_bytes());
    }

    /// Closes the connection and drops its incomplete line.
    pub(super) fn give_up_line(&self) {
        self.link.borrow_mut().discard_line();
        self.update_held();
        self.close();
    }

    /// Pauses reading; false if it was paused already.
    pub(super) fn pause(&self) -> bool {
        !self.paused.replace(true)
    }

    /// Reads again.
    pub(super) fn resume(&self) {
        self.paused.set(false);
        if let Some(stream) = &*self.stream.borrow() {
            stream.wake();
        }
    }

    /// Wakes its task if some output is left, so that it waits for the socket to become writable.
    pub(super) fn wake_for_output(&self) {
        let stream = self.stream.borrow();
        if let Some(stream) = stream.as_ref().filter(|_| !self.link.borrow().output().is_empty()) {
            stream.wake();
        }
    }

    /// Sets whether the task queued next may not share the connection.
    pub(super) fn set_exclusive(&self, exclusive: bool) {
        self.exclusive.set(exclusive);
    }

    /// Whether more than one call may be queued on it.
    pub(super) fn is_shareable(&self) -> bool {
        !self.exclusive.get()
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    pub(super) fn is_up(&self) -> bool {
        self.stream.borrow().is_some()
    }

    /// Whether new work is queued on it.
    pub(super) fn has_new_work(&self) -> bool {
        self.link.borrow().queued().any(|task| task.new_work(CallContent::key).is_some())
    }

    /// The function of the first new work that is queued on it.
    pub(super) fn first_new_work(&self) -> Option<FunctionId> {
        self.link.borrow().queued().find_map(|task| task.new_work(CallContent::key)).map(FunctionId::from)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.link.borrow().task_count() == 0 && self.stream.borrow().is_some()
    }

    /// Whether the task may be queued on it.
    pub(super) fn accepts(&self, task: &Task<CallContent>) -> bool {
        let id = match task {
            Task::Attempt { id, .. } => id,
            _ => "",
        };
        !self.closing.get() && self.remote_end.get().is_none() && self.link.borrow().accepts(id)
    }

    pub(super) fn close(&self) {
        self.closing.set(true);
        if let Some(stream) = &*self.stream.borrow() {
            stream.wake();
        }
    }

    /// Stops accepting tasks; closes the connection at once if no task is on it.
    pub(super) fn retire(&self) {
        self.link.borrow_mut().retire();
        if self.stream.borrow().is_none() {
            self.unsent_outcome.set(Outcome::Moot);
            self.close();
        } else if self.is_idle() {
            self.close();
        }
    }
}

impl Runtime {
    /// Starts the tasks queued on a connection, and writes as much as its socket accepts.
    pub(super) fn write_queued(self: &Rc<Self>, connection: &Rc<Connection>) {
        let Some(stream) = connection.stream.borrow().clone() else { return };
        let (now, mut ends) = (self.clock.now(), Vec::new());
        // Checked again here, just before the first byte is sent: queued work must not be sent after the
        // drain grace, nor to an executor whose state has not been confirmed for too long.
        let draining_since = self.executors.draining_since(connection.worker);
        let drain_ended =
            draining_since.is_some_and(|at| now + DRAIN_MARGIN > at + self.settings.drain_grace);
        let permit =
            if drain_ended { Permit::Denied(Outcome::ConnectFailed) } else { self.permit(connection, now) };
        let mut link = connection.link.borrow_mut();
        let awaiting = link.awaiting_count();
        let failed = loop {
            let more = link.start_queued(now, |task, out| self.start(now, permit, task, out), &mut ends);
            let Ok(n) = stream.write(link.output()) else { break true };
            link.on_written(n, &mut ends);
            if !more || !link.output().is_empty() {
                link.requeue_unwritten(|task| task.new_work(CallContent::key).is_some());
                // If a cancellation cannot be written, only closing the connection ends its attempt.
                break link.has_unsent_cancellation();
            }
        };
        if link.awaiting_count() > awaiting {
            self.executors.update_reachability(connection.worker, |r| r.on_sent(now));
        }
        drop(link);
        let unsent = match permit {
            Permit::Denied(outcome) => outcome,
            _ => Outcome::ConnectFailed, // its time limit has passed
        };
        ends.into_iter().for_each(|end| self.report_end(connection.worker, end, unsent));
        if failed {
            self.on_broken(connection, false);
        }
    }

    /// Appends the line of a task if the task may start now.
    fn start(&self, now: Time, permit: Permit, task: &Task<CallContent>, out: &mut Vec<u8>) -> Start {
        if task.new_work(CallContent::key).is_some() {
            match permit {
                Permit::Granted => self.freshness.borrow_mut().on_work_sent(now),
                Permit::Ask | Permit::Wait => return Start::Deferred,
                Permit::Denied(_) => return Start::Dropped,
            }
        }
        if self.append_line(now, task, out) {
            Start::Started
        } else {
            Start::Dropped
        }
    }

    /// Appends the line of a task; false if it must not be sent any more.
    fn append_line(&self, now: Time, task: &Task<CallContent>, out: &mut Vec<u8>) -> bool {
        match task {
            Task::Attempt { content: CallContent { content, .. }, deadline, .. } => {
                let wait_ms = deadline.saturating_sub(now) / 1000;
                if wait_ms == 0 {
                    return false;
                }
                let class = self.names.classes.get(content.class).map_or("", String::as_str);
                let (id, function, body) = (&*content.id, &*content.function, &*content.body);
                line::write_call(out, &line::Call { id, class, function, wait_ms, body });
                if self.effect(content) != Effect::Repeatable {
                    self.clients.on_begun(now, &content.id);
                }
            }
            Task::Order { order, key, copies } => {
                line::write_load(out, &order_tag(*order), key, *copies);
            }
            Task::ProbeQuestion { number } => line::write_probe(out, &question_tag(*number)),
            Task::OrderQuestion { number, key } => line::write_load(out, &question_tag(*number), key, 0),
            Task::Probe(number) => line::write_probe(out, &probe_tag(*number)),
            Task::Unload(key) => line::write_unload(out, key),
        }
        true
    }

    /// Whether a call must not run twice, even if its connection breaks.
    pub(super) fn must_not_run_twice(&self, content: &Content) -> bool {
        self.effect(content) == Effect::Once
    }

    fn effect(&self, content: &Content) -> Effect {
        self.settings.classes.get(content.class).map_or(Effect::Repeatable, |class| class.effect)
    }

    /// Reports the end of a task that was never sent.
    pub(super) fn report_unsent(&self, worker: WorkerId, task: Task<CallContent>, outcome: Outcome) {
        match task {
            Task::Attempt { id, attempt, .. } => {
                self.send_input(Input::AttemptEnded { id, attempt, end: AttemptEnd::from_outcome(outcome) });
            }
            Task::Order { order, .. } => self.send_input(Input::OrderEnded { order, outcome, copies: 0 }),
            Task::Probe(_) => self.send_input(Input::ProbeEnded { worker, outcome, report: None }),
            Task::ProbeQuestion { .. } | Task::OrderQuestion { .. } => {
                self.freshness.borrow_mut().on_question_unanswered(worker)
            }
            Task::Unload(_) => {}
        }
    }

    /// Reports the end of a task; `unsent` is the outcome if it was never sent.
    pub(super) fn report_end(&self, worker: WorkerId, end: End<CallContent>, unsent: Outcome) {
        match end {
            End::Attempt(id, attempt, end) => {
                self.executors.on_reply_queued(&end.reply);
                self.send_input(Input::AttemptEnded { id, attempt, end });
            }
            End::Order(order, outcome, copies) => {
                self.send_input(Input::OrderEnded { order, outcome, copies })
            }
            End::Probe(outcome) => self.send_input(Input::ProbeEnded { worker, outcome, report: None }),
            End::Question(Outcome::Reset) => self.freshness.borrow_mut().on_question_unanswered(worker),
            End::Question(_) => {}
            End::Unsent(task) => self.report_unsent(worker, task, unsent),
            End::Withheld(task) => self.report_unsent(worker, task, Outcome::Moot),
        }
    }

    /// Ends a connection and every task on it. Attempts that were not written completely are queued on a new
    /// connection, since a connection that was established shows that the executor is reachable; not those that
    /// were cancelled, or whose call nobody waits for.
    pub(super) fn on_broken(self: &Rc<Self>, connection: &Rc<Connection>, protocol_error: bool) {
        let was_up = connection.stream.borrow().is_some();
        let mut ends = Vec::new();
        connection.link.borrow_mut().close(protocol_error, &mut ends);
        connection.update_held();
        connection.close();
        if was_up && ends.iter().any(|end| matches!(end, End::Attempt(_, _, end) if matches!(end.outcome, Outcome::Reset | Outcome::Error))) {
            self.executors.on_break();
        }
        for end in ends {
            match end {
                End::Unsent(Task::Attempt { id, attempt, mut content, deadline })
                    if was_up && content.resends < MAX_RESENDS =>
                {
                    content.resends += 1;
                    tracing::debug!(request = %id, attempt, worker = connection.worker, "attempt queued again");
                    let task = Task::Attempt { id, attempt, content, deadline };
                    self.executors.enqueue(self, self.clock.now(), connection.worker, task, true);
                }
                end => self.report_end(connection.worker, end, connection.unsent_outcome.get()),
            }
        }
        // Work on other connections may have waited for a question that ended here.
        self.write_waiting_work(connection.worker);
    }

    /// Updates from an answer whether the executor has accepted the connection.
    fn update_acceptance(&self, connection: &Connection, end: &End<CallContent>) {
        let rejected = match end {
            End::Attempt(_, _, end) => end.outcome == Outcome::Full,
            End::Order(_, outcome, _) | End::Question(outcome) => *outcome == Outcome::Full,
            _ => false,
        };
        match (connection.acceptance.get(), rejected) {
            (Acceptance::Unknown, true) => connection.acceptance.set(Acceptance::Rejected),
            (Acceptance::Accepted, _) | (_, true) => {}
            _ => {
                connection.acceptance.set(Acceptance::Accepted);
                self.executors.update_reachability(connection.worker, Reachability::on_accepted);
            }
        }
    }

    /// The task of a connection: establishes it, exchanges lines and cleans up at its end.
    pub(super) async fn run_connection(self: Rc<Self>, connection: Rc<Connection>, address: SocketAddr) {
        self.connect_and_exchange(&connection, address).await;
        // The executor closed it after nothing but rejections: its connection table is full.
        if connection.acceptance.get() == Acceptance::Rejected && !connection.closing.get() {
            let now = self.clock.now();
            tracing::debug!(
                worker = connection.worker,
                "a new connection was rejected: the executor's connection table is full"
            );
            self.executors.update_reachability(connection.worker, |r| r.on_rejected(now, fastrand::f64()));
        }
        self.on_broken(&connection, connection.remote_end.get() == Some(RemoteEnd::ProtocolError));
        let was_up = connection.is_up();
        *connection.stream.borrow_mut() = None;
        self.executors.remove_connection(&connection);
        if was_up {
            self.on_disconnected(&connection);
        }
    }

    /// Establishes the connection, and exchanges lines until it ends.
    async fn connect_and_exchange(self: &Rc<Self>, connection: &Rc<Connection>, address: SocketAddr) {
        let timeout = async {
            Timer::after(Duration::from_micros(self.transport.connect_timeout)).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let started = self.clock.now();
        let stream = match self.connect_executor(connection, address).or(timeout).await {
            Ok(stream) => stream,
            Err(e) => {
                let took = self.clock.now() - started;
                if e.kind() == std::io::ErrorKind::ConnectionRefused {
                    self.on_connection_refused(connection);
                }
                return tracing::debug!(worker = connection.worker, took, "not connected: {e}");
            }
        };
        tracing::debug!(worker = connection.worker, took = self.clock.now() - started, "connected");
        if connection.closing.get() {
            return;
        }
        *connection.stream.borrow_mut() = Some(Rc::new(Stream::new(stream)));
        self.executors.update_reachability(connection.worker, |r| _ = r.on_received());
        self.on_connected(self.clock.now(), connection);
        self.write_queued(connection);
        while !connection.closing.get() && connection.remote_end.get().is_none() {
            let Some(stream) = connection.stream.borrow().clone() else { return };
            let reads = !connection.paused.get();
            stream.ready(reads, || !connection.link.borrow().output().is_empty()).await;
            if connection.closing.get() || !self.read_answers(connection) {
                return;
            }
            if !connection.link.borrow().output().is_empty() {
                self.write_queued(connection);
            }
            if connection.link.borrow().is_retired() && connection.is_idle() {
                return;
            }
        }
    }

    /// Reads once and processes what has arrived on a connection; false if the executor has ended it. What is
    /// left is read when other tasks have run.
    pub(super) fn read_answers(self: &Rc<Self>, connection: &Rc<Connection>) -> bool {
        let Some(stream) = connection.stream.borrow().clone() else { return true };
        let may_read =
            connection.remote_end.get().is_none() && !self.executors.pause_if_replies_wait(self, connection);
        if may_read {
            self.read_once(connection, &stream);
        }
        if connection.remote_end.get().is_some() {
            stream.wake();
        }
        connection.remote_end.get().is_none()
    }

    fn read_once(self: &Rc<Self>, connection: &Rc<Connection>, stream: &Stream) {
        let mut scratch = self.scratch.borrow_mut();
        let n = match stream.read(&mut scratch) {
            Ok(Some(0)) | Err(_) => return connection.remote_end.set(Some(RemoteEnd::Closed)),
            Ok(Some(n)) => n,
            Ok(None) => return,
        };
        let (now, mut ends) = (self.clock.now(), Vec::new());
        self.executors.on_received(now, connection.worker);
        let parsed = connection.link.borrow_mut().on_bytes(now, &scratch[..n], &mut ends);
        drop(scratch);
        connection.update_held();
        self.take_evidence(connection, now, connection.acceptance.get() != Acceptance::Unknown);
        for end in ends {
            if matches!(end, End::Attempt(..)) {
                self.executors.on_answer();
            }
            self.update_acceptance(connection, &end);
            self.report_end(connection.worker, end, Outcome::ConnectFailed);
        }
        if let Err(e) = parsed {
            connection.remote_end.set(Some(RemoteEnd::ProtocolError));
            if let Some(more) = self.log_limits.answer.allow(now) {
                let worker = executor_name(connection.worker);
                tracing::warn!(%worker, more, "an executor sent {e}; its connection is closed");
            }
        }
        self.executors.limit_lines(self, now);
    }

    /// Connects to an executor. While no descriptor is free, which says nothing about the executor, idle
    /// connections are closed until one is.
    async fn connect_executor(
        &self,
        connection: &Connection,
        address: SocketAddr,
    ) -> std::io::Result<Async<TcpStream>> {
        loop {
            let error = match badgerwind_connect::connect(address).await {
                Err(error) if is_descriptor_limit(&error) => error,
                other => {
                    if !connection.closing.get() {
                        connection.unsent_outcome.set(Outcome::ConnectFailed);
                    }
                    return other;
                }
            };
            connection.unsent_outcome.set(Outcome::Moot);
            let evicted = self.clients.evict(self) || self.executors.evict(connection.worker);
            if let Some(more) = self.log_limits.connect.allow(self.clock.now()) {
                tracing::warn!(
                    evicted,
                    more,
                    "cannot open a connection to an executor: {error}; the system's descriptor limits are below the \
                     configuration's limits.sockets"
                );
            }
            Timer::after(DESCRIPTOR_PAUSE).await;
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection.rs"]
mod tests;
