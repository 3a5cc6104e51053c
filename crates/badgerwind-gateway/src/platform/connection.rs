//! One connection to an executor: what is written on it and when, what its answers and its end prove.

use super::freshness::name;
use super::shell::{Content, Input, Shell};
use super::wire::{is_short, Wire};
use badgerwind::interface::*;
use badgerwind_driver::AttemptEnd;
use badgerwind_freshness::Permit;
use badgerwind_platform::line;
use badgerwind_platform::link::{order_tag, probe_tag, question_tag, End, Link, Start, Task};
use badgerwind_platform::reach::Reachability;
use futures_lite::FutureExt;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// What goes out with an attempt, and how often it was put on a connection that broke before it was out whole.
#[derive(Clone)]
pub(super) struct Out {
    content: Rc<Content>,
    again: u8,
}

impl Out {
    pub(super) fn new(content: Rc<Content>) -> Out {
        Out { content, again: 0 }
    }

    /// The function that is called.
    pub(super) fn key(&self) -> &str {
        &self.content.key
    }

    pub(super) fn content(&self) -> &Content {
        &self.content
    }
}

/// Connections that may break under one attempt before its last byte is out: then the executor counts as unreachable.
const AGAIN: u8 = 2;
/// Pause before a connection is tried again for which there was no descriptor.
const SHORT: Duration = Duration::from_millis(2);
/// Reads from one connection before others have their turn.
const READS: usize = 4;
/// The board's word and an attempt's first byte cross; this much of the drain's grace is left unused, in microseconds.
const MARGIN: Span = 5_000;

pub(super) struct Connection {
    pub worker: WorkerId,
    wire: RefCell<Option<Rc<Wire>>>,
    pub link: RefCell<Link<Out>>,
    /// The other side has ended it, or has sent what cannot be read: its task acts on it next.
    over: Cell<Option<Over>>,
    /// What did not go out ends so.
    unsent: Cell<Outcome>,
    closing: Cell<bool>,
    dirty: Cell<bool>,
    door: Cell<Door>,
    /// What was put on it last keeps it for itself until nothing is on it.
    kept: Cell<bool>,
}

/// How the other side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    Closed,
    Spoilt,
}

/// How far a new connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    /// Nothing was answered on it yet.
    Unseen,
    /// Calls were turned away on it, and nothing else came.
    TurnedAway,
    /// Something was answered otherwise.
    Inside,
}

impl Connection {
    /// One that is to come up.
    pub(super) fn new(worker: WorkerId, now: Time) -> Connection {
        Connection {
            worker,
            wire: RefCell::default(),
            link: RefCell::new(Link::new(now)),
            over: Cell::default(),
            unsent: Cell::new(Outcome::ConnectFailed),
            closing: Cell::default(),
            dirty: Cell::default(),
            door: Cell::new(Door::Unseen),
            kept: Cell::default(),
        }
    }

    /// Whether something was taken in over it.
    pub(super) fn proven(&self) -> bool {
        self.door.get() == Door::Inside
    }

    /// How much is on it.
    pub(super) fn busy(&self) -> usize {
        self.link.borrow().task_count()
    }

    /// Whether it is the first time since its last write that something is put on it.
    pub(super) fn becomes_dirty(&self) -> bool {
        !self.dirty.replace(true)
    }

    /// Its lines are about to be written.
    pub(super) fn becomes_clean(&self) {
        self.dirty.set(false);
    }

    /// Has its task wait until the rest of its lines can go out.
    pub(super) fn wake_for_the_rest(&self) {
        let wire = self.wire.borrow();
        if let Some(wire) = wire.as_ref().filter(|_| !self.link.borrow().output().is_empty()) {
            wire.wake();
        }
    }

    /// What is put on it next keeps it for itself, or does not.
    pub(super) fn keep_for_one(&self, kept: bool) {
        self.kept.set(kept);
    }

    /// Whether more than one call may be on it.
    pub(super) fn shared(&self) -> bool {
        !self.kept.get()
    }

    pub(super) fn closes(&self) -> bool {
        self.closing.get()
    }

    pub(super) fn is_up(&self) -> bool {
        self.wire.borrow().is_some()
    }

    /// Whether new work waits on it.
    pub(super) fn has_new_work(&self) -> bool {
        self.link.borrow().queued().any(|task| task.new_work(Out::key).is_some())
    }

    /// The function of the first new work that waits on it.
    pub(super) fn first_new_work(&self) -> Option<FunctionId> {
        self.link.borrow().queued().find_map(|task| task.new_work(Out::key)).map(FunctionId::from)
    }

    pub(super) fn idle(&self) -> bool {
        self.link.borrow().task_count() == 0 && self.wire.borrow().is_some()
    }

    /// Whether it takes something new.
    pub(super) fn takes(&self, task: &Task<Out>) -> bool {
        let id = match task {
            Task::Attempt { id, .. } => id,
            _ => "",
        };
        !self.closing.get() && self.over.get().is_none() && self.link.borrow().accepts(id)
    }

    pub(super) fn close(&self) {
        self.closing.set(true);
        if let Some(wire) = &*self.wire.borrow() {
            wire.wake();
        }
    }

    /// Takes nothing new; closed at once where nothing is out on it.
    pub(super) fn retire(&self) {
        self.link.borrow_mut().retire();
        if self.wire.borrow().is_none() {
            self.unsent.set(Outcome::Moot);
            self.close();
        } else if self.idle() {
            self.close();
        }
    }
}

impl Shell {
    /// Begins what waits on a connection, and writes what its socket takes.
    pub(super) fn push_out(self: &Rc<Self>, c: &Rc<Connection>) {
        let Some(wire) = c.wire.borrow().clone() else { return };
        let (now, mut ends) = (self.clock.now(), Vec::new());
        // Looked at again now that the first byte goes: what was queued may not go out after the drain's limit, nor to one of
        // which nobody has told for too long whether it takes work.
        let leaving = self.executors.leaving(c.worker);
        let barred = leaving.is_some_and(|at| now + MARGIN > at + self.set.drain_grace);
        let permit = if barred { Permit::Denied(Outcome::ConnectFailed) } else { self.permit(c, now) };
        let mut link = c.link.borrow_mut();
        link.start_queued(now, |task, out| self.start(now, permit, task, out), &mut ends);
        let failed = match wire.write(link.output()) {
            Ok(n) => {
                let owed = link.awaiting_count();
                link.on_written(n, &mut ends);
                link.requeue_unwritten(|task| task.new_work(Out::key).is_some());
                if link.awaiting_count() > owed {
                    self.executors.reach(c.worker, |r| r.on_sent(now));
                }
                // A call-off that cannot go out: only the end of the connection gives its attempt up now.
                link.has_unsent_cancellation()
            }
            Err(_) => true,
        };
        drop(link);
        let unsent = match permit {
            Permit::Denied(outcome) => outcome,
            _ => Outcome::ConnectFailed, // its time is up
        };
        ends.into_iter().for_each(|end| self.end(c.worker, end, unsent));
        if failed {
            self.broken(c, false);
        }
    }

    /// Appends the line of a task, where it begins now.
    fn start(&self, now: Time, permit: Permit, task: &Task<Out>, out: &mut Vec<u8>) -> Start {
        if task.new_work(Out::key).is_some() {
            match permit {
                Permit::Granted => self.freshness.borrow_mut().on_work_sent(now),
                Permit::Ask | Permit::Wait => return Start::Deferred,
                Permit::Denied(_) => return Start::Dropped,
            }
        }
        if self.line(now, task, out) {
            Start::Started
        } else {
            Start::Dropped
        }
    }

    /// Appends the line of a task; false where it must not go out any more.
    fn line(&self, now: Time, task: &Task<Out>, out: &mut Vec<u8>) -> bool {
        match task {
            Task::Attempt { content: Out { content, .. }, limit, .. } => {
                let ms = limit.saturating_sub(now) / 1000;
                if ms == 0 {
                    return false;
                }
                let kind = self.names.classes.get(content.class).map_or("", String::as_str);
                let (id, obj, body) = (&*content.id, &*content.key, &*content.body);
                line::call(out, &line::Call { id, class: kind, function: obj, wait_ms: ms, body });
            }
            Task::Order { order, key, copies } => {
                line::load(out, &order_tag(*order), key, *copies);
            }
            Task::ProbeQuestion { number } => line::probe(out, &question_tag(*number)),
            Task::OrderQuestion { number, key } => line::load(out, &question_tag(*number), key, 0),
            Task::Probe(number) => line::probe(out, &probe_tag(*number)),
            Task::Unload(key) => line::unload(out, key),
        }
        true
    }

    /// Whether a call must not run twice, whatever becomes of its connection.
    pub(super) fn once(&self, content: &Content) -> bool {
        self.set.classes.get(content.class).is_some_and(|c| c.effect == Effect::Once)
    }

    /// It never ran.
    pub(super) fn unsent(&self, worker: WorkerId, task: Task<Out>, outcome: Outcome) {
        match task {
            Task::Attempt { id, attempt, .. } => {
                self.tell(Input::AttemptEnded { id, attempt, end: AttemptEnd::from_outcome(outcome) });
            }
            Task::Order { order, .. } => self.tell(Input::OrderEnded { order, outcome, copies: 0 }),
            Task::Probe(_) => self.tell(Input::ProbeEnded { worker, outcome, report: None }),
            Task::ProbeQuestion { .. } | Task::OrderQuestion { .. } => {
                self.freshness.borrow_mut().on_question_unanswered(worker)
            }
            Task::Unload(_) => {}
        }
    }

    /// Tells how something ended; `unsent` is what became of one that never went out.
    pub(super) fn end(&self, worker: WorkerId, end: End<Out>, unsent: Outcome) {
        match end {
            End::Attempt(id, attempt, end) => {
                self.tell(Input::AttemptEnded { id, attempt, end });
            }
            End::Order(order, outcome, copies) => self.tell(Input::OrderEnded { order, outcome, copies }),
            End::Probe(outcome) => self.tell(Input::ProbeEnded { worker, outcome, report: None }),
            End::Question(Outcome::Reset) => self.freshness.borrow_mut().on_question_unanswered(worker),
            End::Question(_) => {}
            End::Unsent(task) => self.unsent(worker, task, unsent),
        }
    }

    /// A connection is over: everything on it ends. What never went out whole goes over a new one, since a connection that
    /// was up shows that the executor is there.
    pub(super) fn broken(self: &Rc<Self>, c: &Rc<Connection>, spoilt: bool) {
        let was_up = c.wire.borrow().is_some();
        let mut ends = Vec::new();
        c.link.borrow_mut().close(spoilt, &mut ends);
        c.close();
        if was_up && ends.iter().any(|e| matches!(e, End::Attempt(_, _, end) if matches!(end.outcome, Outcome::Reset | Outcome::Error))) {
            self.executors.broke();
        }
        for end in ends {
            match end {
                End::Unsent(Task::Attempt { id, attempt, mut content, limit })
                    if was_up && content.again < AGAIN =>
                {
                    content.again += 1;
                    let task = Task::Attempt { id, attempt, content, limit };
                    self.executors.put(self, self.clock.now(), c.worker, task, true);
                }
                end => self.end(c.worker, end, c.unsent.get()),
            }
        }
        // A question may have ended with it for which work waits on other connections.
        self.push_out_waiting(c.worker);
    }

    /// What an answer says of the connection that it came over.
    fn at_the_door(&self, c: &Connection, end: &End<Out>) {
        let no = match end {
            End::Attempt(_, _, end) => end.outcome == Outcome::Full,
            End::Order(_, outcome, _) | End::Question(outcome) => *outcome == Outcome::Full,
            _ => false,
        };
        match (c.door.get(), no) {
            (Door::Unseen, true) => c.door.set(Door::TurnedAway),
            (Door::Inside, _) | (_, true) => {}
            _ => {
                c.door.set(Door::Inside);
                self.executors.reach(c.worker, Reachability::on_accepted);
            }
        }
    }

    /// A connection's life.
    pub(super) async fn drive(self: Rc<Self>, c: Rc<Connection>, address: SocketAddr) {
        self.connected(&c, address).await;
        // Closed by the other side, and nothing but "no" came over it: it takes no more connections.
        if c.door.get() == Door::TurnedAway && !c.closing.get() {
            let now = self.clock.now();
            tracing::debug!(
                worker = c.worker,
                "a new connection was turned away: the executor's table is full"
            );
            self.executors.reach(c.worker, |r| r.on_rejected(now, fastrand::f64()));
        }
        self.broken(&c, c.over.get() == Some(Over::Spoilt));
        let was_up = c.is_up();
        *c.wire.borrow_mut() = None;
        self.executors.ended(&c);
        if was_up {
            self.went_down(&c);
        }
    }

    async fn connected(self: &Rc<Self>, c: &Rc<Connection>, address: SocketAddr) {
        let late = async {
            Timer::after(Duration::from_micros(self.transport.connect_timeout)).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let began = self.clock.now();
        let stream = match self.dial(c, address).or(late).await {
            Ok(stream) => stream,
            Err(e) => {
                let took = self.clock.now() - began;
                if e.kind() == std::io::ErrorKind::ConnectionRefused {
                    self.refused(c);
                }
                return tracing::debug!(worker = c.worker, took, "not connected: {e}");
            }
        };
        tracing::debug!(worker = c.worker, took = self.clock.now() - began, "connected");
        if c.closing.get() {
            return;
        }
        *c.wire.borrow_mut() = Some(Rc::new(Wire::new(stream)));
        self.executors.reach(c.worker, |r| _ = r.on_received());
        self.came_up(self.clock.now(), c);
        self.push_out(c);
        while !c.closing.get() && c.over.get().is_none() {
            let Some(wire) = c.wire.borrow().clone() else { return };
            wire.ready(true, || !c.link.borrow().output().is_empty()).await;
            if c.closing.get() || !self.stands(c) {
                return;
            }
            if !c.link.borrow().output().is_empty() {
                self.push_out(c);
            }
            if c.link.borrow().is_retired() && c.idle() {
                return;
            }
        }
    }

    /// Reads what has come on a connection; false where the other side has ended it.
    pub(super) fn stands(self: &Rc<Self>, c: &Rc<Connection>) -> bool {
        let Some(wire) = c.wire.borrow().clone() else { return true };
        let mut ends = Vec::new();
        for _ in 0..READS {
            if c.over.get().is_some() {
                break;
            }
            let mut scratch = self.scratch.borrow_mut();
            let n = match wire.read(&mut scratch) {
                Ok(Some(0)) | Err(_) => {
                    c.over.set(Some(Over::Closed));
                    break;
                }
                Ok(Some(n)) => n,
                Ok(None) => break,
            };
            let now = self.clock.now();
            self.executors.word(now, c.worker);
            let fed = c.link.borrow_mut().on_bytes(now, &scratch[..n], &mut ends);
            drop(scratch);
            self.take_evidence(c, now, c.door.get() != Door::Unseen);
            for end in ends.drain(..) {
                if matches!(end, End::Attempt(..)) {
                    self.executors.answered();
                }
                self.at_the_door(c, &end);
                self.end(c.worker, end, Outcome::ConnectFailed);
            }
            if let Err(e) = fed {
                c.over.set(Some(Over::Spoilt));
                if let Some(more) = self.complaints.answer.may(now) {
                    let worker = name(c.worker);
                    tracing::warn!(%worker, more, "an executor sent {e}; its connection is broken off");
                }
            }
            if n < 4096 {
                break;
            }
        }
        if c.over.get().is_some() {
            wire.wake();
        }
        c.over.get().is_none()
    }

    /// Connects. Where no descriptor is to be had, which tells nothing of the executor, connections on which nothing is give
    /// theirs up, until one is.
    async fn dial(&self, c: &Connection, address: SocketAddr) -> std::io::Result<Async<TcpStream>> {
        loop {
            let e = match badgerwind_connect::connect(address).await {
                Err(e) if is_short(&e) => e,
                other => {
                    if !c.closing.get() {
                        c.unsent.set(Outcome::ConnectFailed);
                    }
                    return other;
                }
            };
            c.unsent.set(Outcome::Moot);
            let evicted = self.clients.evict(self) || self.executors.evict(c.worker);
            if let Some(more) = self.complaints.dial.may(self.clock.now()) {
                tracing::warn!(
                    evicted,
                    more,
                    "no connection to an executor can be opened: {e}; the limits of the machine are below the \
                     configuration's limits.sockets"
                );
            }
            Timer::after(SHORT).await;
        }
    }
}
