//! The web servers' connections.

use super::shell::{Caller, Content, Input, Shell};
use super::wire::{is_short, Wire};
use badgerwind::interface::*;
use badgerwind_driver::{Call, Failure, FinalAnswer};
use badgerwind_platform::client::{Answer, ClientConnection, ClientEvent};
use badgerwind_platform::fields::{self, ParsedRequest};
use futures_lite::future::yield_now;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A connection that says nothing, or half a request, is closed after this.
const SILENT: Span = 2_000_000;
/// One that was answered and asks nothing more; the platform's own clients leave sooner.
const IDLE: Span = 6_000_000;
/// One that does not take its answers.
const SLOW: Span = 5_000_000;
/// Reads from one connection before others have their turn.
const READS: usize = 4;
/// The same, as a multiple, when what is here is read for the last time.
const LAST_READS: usize = 16;
/// How long accepting rests when descriptors are short, so that it does not spin.
const REST: Duration = Duration::from_millis(20);
/// Connections taken in before others have their turn: who connects without end would hold up those who ask.
const ACCEPTS: usize = 16;
/// Connections asked for their place before a newcomer goes without one.
const ASKED_FOR_ROOM: usize = 8;

pub(super) struct Connection {
    number: u64,
    peer: SocketAddr,
    wire: Wire,
    machine: RefCell<ClientConnection>,
    opened: Time,
    /// When something was last said, or answered.
    last: Cell<Time>,
    /// Since when a request or record has been coming in.
    coming: Cell<Option<Time>>,
    /// Since when answers wait to be taken.
    stuck: Cell<Option<Time>>,
    asked: Cell<bool>,
    calls: RefCell<BTreeMap<u16, Open>>,
    /// Its client has closed it.
    ended: Cell<bool>,
    closing: Cell<bool>,
    dirty: Cell<bool>,
}

/// An open request.
struct Open {
    serial: u64,
    id: RequestId,
    /// Bytes of its body.
    bytes: usize,
}

#[derive(Default)]
pub(super) struct Clients {
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    dirty: RefCell<Vec<Rc<Connection>>>,
    /// Ids of open requests.
    ids: RefCell<HashSet<RequestId>>,
    /// Bytes of bodies of open requests.
    bodies: Cell<usize>,
}

impl Clients {
    /// Requests open.
    pub(super) fn open(&self) -> usize {
        self.ids.borrow().len()
    }

    /// Whether every answer given was taken.
    pub(super) fn all_sent(&self) -> bool {
        self.connections.borrow().values().all(|c| c.machine.borrow().output().is_empty())
    }

    /// Answers a request, unless its client has left or its number now stands for another.
    pub(super) fn answer(&self, shell: &Shell, to: &Caller, answer: &FinalAnswer<Vec<u8>>) {
        let Some(c) = self.connections.borrow().get(&to.connection).cloned() else { return };
        {
            let mut calls = c.calls.borrow_mut();
            if calls.get(&to.number).is_none_or(|open| open.serial != to.serial) {
                return;
            }
            if let Some(open) = calls.remove(&to.number) {
                self.forget(&open);
            }
        }
        let answer = match answer {
            FinalAnswer::Served(body) => Answer { status: 200, retry_after_ms: None, body },
            FinalAnswer::Refused { retry_after, .. } => {
                let stay_away = retry_after.filter(|&t| t > 0).map(|t| t.div_ceil(1000));
                Answer { status: 503, retry_after_ms: stay_away, body: b"" }
            }
            FinalAnswer::Failed(Failure::DuplicateId) => {
                Answer { status: 409, retry_after_ms: None, body: b"" }
            }
            FinalAnswer::Failed(Failure::Overdue) => Answer { status: 504, retry_after_ms: None, body: b"" },
            FinalAnswer::Failed(_) => Answer { status: 502, retry_after_ms: None, body: b"" },
        };
        c.machine.borrow_mut().answer(to.number, &answer);
        c.last.set(shell.clock.now());
        self.mark(c);
    }

    fn forget(&self, open: &Open) {
        self.ids.borrow_mut().remove(&open.id);
        self.bodies.set(self.bodies.get() - open.bytes);
    }

    fn mark(&self, c: Rc<Connection>) {
        if !c.dirty.replace(true) {
            self.dirty.borrow_mut().push(c);
        }
    }

    /// Writes what is ready, one write for each connection.
    pub(super) fn flush(&self) {
        for c in self.dirty.take() {
            c.dirty.set(false);
            c.flush();
            // Its task waits for the rest to go out, or ends.
            let m = c.machine.borrow();
            if !m.output().is_empty() || m.is_input_closed() || c.closing.get() {
                c.wire.wake();
            }
        }
    }

    fn full(&self, shell: &Shell) -> bool {
        self.connections.borrow().len() >= shell.shares.client_connections
    }

    /// Makes room for one more connection: one on which nothing is open goes; false where there is none.
    pub(super) fn evict(&self, shell: &Shell) -> bool {
        for _ in 0..ASKED_FOR_ROOM {
            let connections = self.connections.borrow();
            let idle = connections.values().filter(|c| c.idle());
            // Those that never asked go first, then those that have been silent for longest.
            let Some(victim) = idle
                .min_by_key(|c| (c.asked.get(), c.machine.borrow().is_receiving(), c.last.get()))
                .cloned()
            else {
                return false;
            };
            drop(connections);
            if shell.close_if_idle(&victim) {
                return true;
            }
        }
        false
    }

    /// Closes what has been silent, half said or not taken for too long.
    pub(super) fn sweep(&self, shell: &Shell, now: Time) {
        let all: Vec<_> = self.connections.borrow().values().cloned().collect();
        for c in all {
            let since = |at: Option<Time>, span| at.is_some_and(|at| now > at + span);
            let quiet = c.idle();
            let silent = quiet && !c.asked.get() && now > c.opened + SILENT;
            let idle = quiet && now > c.last.get() + IDLE;
            let half = quiet && since(c.coming.get(), SILENT);
            if half || since(c.stuck.get(), SLOW) {
                c.close();
            } else if silent || idle {
                shell.close_if_idle(&c);
            }
        }
    }

    /// Reads what has come on all connections: a request is taken once its last byte is here, read or not.
    pub(super) fn read_all(&self, shell: &Shell) {
        let all: Vec<_> = self.connections.borrow().values().cloned().collect();
        for c in all.iter().filter(|c| !c.closing.get()) {
            // One that sends faster than it is read would hold up the end.
            let _ = (0..LAST_READS).find(|_| !shell.take_in(c));
            self.mark(c.clone());
        }
    }

    fn held(&self) -> usize {
        let connections = self.connections.borrow();
        self.bodies.get() + connections.values().map(|c| c.machine.borrow().buffered_bytes()).sum::<usize>()
    }
}

impl Connection {
    fn close(&self) {
        self.closing.set(true);
        self.wire.wake();
    }

    /// Whether nothing is open on it, and every answer was taken.
    fn idle(&self) -> bool {
        let m = self.machine.borrow();
        !self.closing.get() && m.unanswered() == 0 && m.output().is_empty()
    }

    fn flush(&self) {
        let mut m = self.machine.borrow_mut();
        if m.output().is_empty() {
            return;
        }
        match self.wire.write(m.output()) {
            Ok(n) => m.on_written(n),
            Err(_) => self.closing.set(true),
        }
        if m.output().is_empty() {
            self.stuck.set(None);
        }
    }
}

impl Shell {
    /// Takes connections in until the front end stops.
    pub(super) async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            // Without a free descriptor the system answers so whether or not anybody waits to be let in.
            if listener.readable().await.is_err() || !self.let_in(&listener, ACCEPTS) {
                Timer::after(REST).await;
            }
            // The tasks of those that went have their turn before more are let in, so that descriptors are not held twice.
            yield_now().await;
        }
    }

    /// Lets in those that wait now, so many at the most; false where the first could not be.
    fn let_in(self: &Rc<Self>, listener: &Async<TcpListener>, most: usize) -> bool {
        for n in 0..most {
            let evicted = match listener.get_ref().accept().and_then(|(s, from)| Ok((Async::new(s)?, from))) {
                Ok((stream, peer)) => self.admit(stream, peer),
                Err(e) if e.kind() == ErrorKind::WouldBlock || n > 0 => return true,
                Err(e) => {
                    self.not_let_in(&e);
                    return false;
                }
            };
            if evicted {
                return true;
            }
        }
        true
    }

    /// Lets in all that wait: they were taken in when the machine took them in.
    pub(super) async fn let_in_all(self: &Rc<Self>, listener: &Async<TcpListener>) {
        for _ in 0..2 * self.shares.client_connections {
            let before = self.clients.next.get();
            let came = self.let_in(listener, ACCEPTS);
            yield_now().await;
            if came && self.clients.next.get() == before {
                return;
            }
        }
    }

    /// Most likely for want of descriptors: one that only holds its own gives it up.
    fn not_let_in(&self, e: &std::io::Error) {
        let evicted = is_short(e) && self.clients.evict(self);
        if let Some(more) = self.complaints.accept.may(self.clock.now()) {
            tracing::warn!(
                evicted,
                more,
                "a connection cannot be accepted: {e}; the descriptor limit is below the configuration's limits.sockets"
            );
        }
    }

    /// A connection comes in; whether another one went for it.
    fn admit(self: &Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr) -> bool {
        let full = self.clients.full(self);
        if full && !self.clients.evict(self) {
            return false; // dropped: a close
        }
        let number = self.clients.next.replace(self.clients.next.get() + 1);
        let now = self.clock.now();
        let c = Rc::new(Connection {
            number,
            peer,
            wire: Wire::new(stream),
            machine: RefCell::default(),
            opened: now,
            last: Cell::new(now),
            coming: Cell::default(),
            stuck: Cell::default(),
            asked: Cell::default(),
            calls: RefCell::default(),
            ended: Cell::default(),
            closing: Cell::default(),
            dirty: Cell::default(),
        });
        self.clients.connections.borrow_mut().insert(number, c.clone());
        self.tasks.spawn(self.clone().serve(c)).detach();
        full
    }

    /// Closes a connection on which nothing is open, unless a request has come meanwhile that only was not read yet. Whether it
    /// was closed.
    fn close_if_idle(&self, c: &Rc<Connection>) -> bool {
        let before = c.last.get();
        self.take_in(c);
        let closes = c.idle() && (c.ended.get() || c.last.get() == before);
        if closes {
            c.close();
        } else {
            c.wire.wake();
        }
        closes
    }

    /// Reads what has come on a connection; whether more may be there.
    fn take_in(&self, c: &Rc<Connection>) -> bool {
        let mut heard = Vec::new();
        for _ in 0..READS {
            if c.ended.get() || c.closing.get() {
                return false;
            }
            let mut scratch = self.scratch.borrow_mut();
            match c.wire.read(&mut scratch) {
                Ok(Some(0)) => {
                    c.ended.set(true);
                    drop(scratch);
                    self.left(c);
                    return false;
                }
                Ok(Some(n)) => {
                    let now = self.clock.now();
                    c.last.set(now);
                    let mut m = c.machine.borrow_mut();
                    m.on_bytes(&scratch[..n], &mut heard);
                    let coming = if m.is_receiving() { c.coming.get().or(Some(now)) } else { None };
                    c.coming.set(coming);
                    drop((m, scratch));
                    for h in heard.drain(..) {
                        self.heard(c, now, h);
                    }
                    if n < 4096 {
                        return false; // most likely all there was
                    }
                }
                Ok(None) => return false,
                Err(_) => {
                    c.closing.set(true);
                    return false;
                }
            }
        }
        true
    }

    /// Nobody waits any more for what is open on a connection. Whoever closed it is not told apart from one that still
    /// reads: the platform's web servers close both ways at once, and what nobody waits for is not to begin.
    fn left(&self, c: &Connection) {
        c.machine.borrow_mut().on_closed();
        for open in c.calls.take().into_values() {
            self.clients.forget(&open);
            self.tell(Input::CallerDisconnected { id: open.id, finish_started: false });
        }
    }

    async fn serve(self: Rc<Self>, c: Rc<Connection>) {
        while !c.closing.get() {
            c.wire.ready(!c.ended.get(), || !c.machine.borrow().output().is_empty()).await;
            // Also where nothing more is taken in: a withdrawal or a close behind it counts.
            self.take_in(&c);
            c.flush();
            let mut m = c.machine.borrow_mut();
            if m.output().is_empty() {
                c.stuck.set(None);
            } else if c.stuck.get().is_none() {
                c.stuck.set(Some(self.clock.now()));
            }
            if m.buffered_bytes() > self.shares.answer_bytes {
                m.close_input();
            }
            let over = m.output().is_empty() && m.unanswered() == 0;
            if over && (c.ended.get() || m.is_input_closed())
                || m.discard_limit_exceeded()
                || m.output().len() > self.shares.answer_bytes
            {
                c.closing.set(true);
            }
        }
        self.clients.connections.borrow_mut().remove(&c.number);
        self.left(&c);
    }

    fn heard(&self, c: &Rc<Connection>, now: Time, heard: ClientEvent) {
        c.asked.set(true);
        let (number, params, body) = match heard {
            ClientEvent::Request { number, params, body } => (number, params, body),
            ClientEvent::Aborted { number } => {
                if let Some(open) = c.calls.borrow_mut().remove(&number) {
                    self.clients.forget(&open);
                    self.tell(Input::CallerDisconnected { id: open.id, finish_started: false });
                }
                return;
            }
        };
        let plain = |status| {
            c.machine.borrow_mut().answer(number, &Answer { status, retry_after_ms: None, body: b"" });
        };
        let f = match fields::read(&params, &self.names) {
            Ok(ParsedRequest::Health) => return plain(if self.stopping.get() { 503 } else { 200 }),
            Ok(ParsedRequest::Call(f)) => f,
            Err(e) => {
                if let Some(more) = self.complaints.request.may(now) {
                    tracing::warn!(peer = %c.peer, more, "a request cannot be used: {e}; it is answered 400");
                }
                return plain(400);
            }
        };
        let id: RequestId = f.id.as_str().into();
        if self.clients.ids.borrow().contains(&id) {
            return plain(409);
        }
        let full = self.clients.open() >= self.shares.open_requests
            || self.clients.held() > self.shares.request_bytes;
        if full || self.closed.get() {
            return plain(503);
        }
        let serial = self.clients.next.replace(self.clients.next.get() + 1);
        self.clients.ids.borrow_mut().insert(id.clone());
        let bytes = body.len();
        self.clients.bodies.set(self.clients.bodies.get() + bytes);
        c.calls.borrow_mut().insert(number, Open { serial, id: id.clone(), bytes });
        let key: FunctionId = f.key.as_str().into();
        let request = Request {
            id: id.clone(),
            retry: f.retry,
            tenant: f.tenant,
            hint: None,
            function: key.clone(),
            memory_mb: f.memory_mb,
            lanes: f.lanes,
            class: f.class,
            due: now + f.wait,
            load_time: f.load_time,
        };
        let content = Rc::new(Content { id, class: f.class, key, body, handed: now });
        let origin = Caller { connection: c.number, number, serial };
        self.tell(Input::Call(Call { request, origin, content }));
    }
}
