//! FastCGI connections from web servers.

use super::runtime::{Caller, Content, Input, Runtime};
use super::stream::Stream;
use badgerwind::interface::*;
use badgerwind_driver::{Call, Failure, FinalAnswer};
use badgerwind_platform::admission::{Admission, Usage};
use badgerwind_platform::client::{Answer, ClientConnection, ClientEvent, MAX_REQUESTS};
use badgerwind_platform::fields::{self, ParsedRequest};
use badgerwind_platform::line;
use badgerwind_platform::memory::{ByteCount, HeldBytes};
use badgerwind_platform::recent_ids::RecentIds;
use badgerwind_platform::shares::ResourceShares;
use futures_lite::FutureExt;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A connection is closed if no request, or only part of one, arrives within this time, in microseconds.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// A connection without open requests is closed after this time, in microseconds. The platform's own clients
/// close theirs sooner.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// A connection whose client does not read its answers is closed after this time, in microseconds.
const WRITE_TIMEOUT: Micros = 5_000_000;
/// Most bytes read from one connection before other tasks run: with hundreds of connections that send at full
/// speed, the others wait for one turn of each.
const BYTES_PER_TURN: usize = 16 * 1024;
/// After this many bytes requests do not wait any longer until everything behind them was read: more than a
/// client may have open.
const MAX_READ_AHEAD: usize = MAX_REQUESTS * 32 * 1024;
/// After this time without further input nothing is left to be read.
const READ_AHEAD_PAUSE: Duration = Duration::from_millis(1);
/// How long input is read for the last time, in microseconds.
const MAX_FINAL_READ_TIME: Micros = 50_000;
/// Answers of this many bytes are written at once, not only at the end of a turn or a batch.
const MAX_UNFLUSHED_BYTES: usize = 64 * 1024;
/// Most idle connections tried for eviction before a new connection is rejected.
const MAX_EVICTION_ATTEMPTS: usize = 8;

/// A connection from a web server.
pub(super) struct Connection {
    pub(super) number: u64,
    peer: SocketAddr,
    stream: Stream,
    pub(super) protocol: RefCell<ClientConnection>,
    /// The memory of its buffers.
    held: RefCell<HeldBytes>,
    /// Its open requests.
    usage: Cell<Usage>,
    opened: Time,
    /// When something was last received, or answered.
    last_active: Cell<Time>,
    /// Since when an incomplete request or record has been arriving.
    receiving_since: Cell<Option<Time>>,
    /// Since when answers wait for the client to read them.
    pub(super) unsent_since: Cell<Option<Time>>,
    /// Whether a request has ever arrived on it.
    had_request: Cell<bool>,
    calls: RefCell<BTreeMap<u16, OpenRequest>>,
    /// The FastCGI request ids of calls that are to be passed to the engine.
    arrived: RefCell<Vec<u16>>,
    /// Bytes read since the first of them arrived.
    read_ahead: Cell<usize>,
    /// The client has closed it.
    peer_closed: Cell<bool>,
    closing: Cell<bool>,
    dirty: Cell<bool>,
    /// Nothing is read until the engine has taken the calls that wait for it.
    paused: Cell<bool>,
}

/// An open request.
struct OpenRequest {
    serial: u64,
    id: RequestId,
    usage: Usage,
    /// The call, until it is passed to the engine.
    call: Option<Call<Caller, Rc<Content>>>,
}

/// All connections from web servers, and their open requests.
pub(super) struct Clients {
    pub(super) connections: RefCell<HashMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    dirty: RefCell<Vec<Rc<Connection>>>,
    /// The ids of open requests.
    ids: RefCell<HashSet<RequestId>>,
    /// The ids of calls that must not run twice and have begun.
    begun_ids: RefCell<RecentIds>,
    admission: RefCell<Admission>,
    /// The memory of the contents of requests, also of withdrawn ones until they are dropped.
    pub(super) content_bytes: ByteCount,
    /// The memory of the connections' buffers.
    pub(super) buffered_bytes: ByteCount,
    /// Number of calls passed to the engine that it has not taken yet, withdrawn ones included.
    queued_calls: Cell<usize>,
    /// Connections that are paused.
    paused: RefCell<Vec<Rc<Connection>>>,
}

impl Clients {
    /// Starts without any connection.
    pub(super) fn new(shares: &ResourceShares) -> Clients {
        let admission = Admission::new(shares.open_limit(), shares.guaranteed_to_connection());
        Clients {
            connections: RefCell::default(),
            next: Cell::default(),
            dirty: RefCell::default(),
            ids: RefCell::default(),
            begun_ids: RefCell::new(RecentIds::new(shares.remembered_ids)),
            admission: RefCell::new(admission),
            content_bytes: ByteCount::default(),
            buffered_bytes: ByteCount::default(),
            queued_calls: Cell::default(),
            paused: RefCell::default(),
        }
    }

    /// Number of open requests.
    pub(super) fn open_requests(&self) -> usize {
        self.ids.borrow().len()
    }

    /// Whether every answer was written.
    pub(super) fn all_sent(&self) -> bool {
        self.connections.borrow().values().all(|connection| connection.protocol.borrow().output().is_empty())
    }

    /// Answers a request, unless its client has disconnected or its FastCGI request id now belongs to another
    /// request.
    pub(super) fn answer(&self, runtime: &Runtime, to: &Caller, answer: &FinalAnswer<Vec<u8>>) {
        let Some(connection) = self.connections.borrow().get(&to.connection).cloned() else { return };
        {
            let mut calls = connection.calls.borrow_mut();
            if calls.get(&to.fcgi_request_id).is_none_or(|open| open.serial != to.serial) {
                return;
            }
            if let Some(open) = calls.remove(&to.fcgi_request_id) {
                self.release(&connection, &open);
                if matches!(answer, FinalAnswer::Refused { .. }) {
                    self.begun_ids.borrow_mut().remove(&open.id); // it never ran
                }
            }
        }
        if connection.closing.get() {
            return; // its client does not read answers, or has left
        }
        let answer = match answer {
            FinalAnswer::Served(body) => Answer { status: 200, retry_after_ms: None, body },
            FinalAnswer::Refused { retry_after, .. } => {
                let retry_after_ms = retry_after.filter(|&t| t > 0).map(|t| t.div_ceil(1000));
                Answer { status: 503, retry_after_ms, body: b"" }
            }
            FinalAnswer::Failed(Failure::DuplicateId) => {
                Answer { status: 409, retry_after_ms: None, body: b"" }
            }
            FinalAnswer::Failed(Failure::Overdue) => Answer { status: 504, retry_after_ms: None, body: b"" },
            FinalAnswer::Failed(_) => Answer { status: 502, retry_after_ms: None, body: b"" },
        };
        connection.protocol.borrow_mut().answer(to.fcgi_request_id, &answer);
        connection.last_active.set(runtime.clock.now());
        connection.flush_if_large();
        self.limit_buffers(runtime);
        self.mark_dirty(connection);
    }

    /// Records that a call that must not run twice has begun.
    pub(super) fn on_begun(&self, now: Time, id: &RequestId) {
        self.begun_ids.borrow_mut().insert(now, id);
    }

    fn release(&self, connection: &Connection, open: &OpenRequest) {
        self.ids.borrow_mut().remove(&open.id);
        let mut usage = connection.usage.get();
        self.admission.borrow_mut().close(&mut usage, open.usage);
        connection.usage.set(usage);
    }

    /// Whether a connection may open a request of this size.
    fn may_open(&self, connection: &Connection, usage: Usage) -> bool {
        let total = Usage { requests: self.open_requests(), bytes: self.content_bytes.total() };
        self.admission.borrow().may_open(connection.usage.get(), usage, total)
    }

    /// Counts a request as open.
    fn open(&self, connection: &Connection, id: RequestId, usage: Usage) {
        self.ids.borrow_mut().insert(id);
        let mut own = connection.usage.get();
        self.admission.borrow_mut().open(&mut own, usage);
        connection.usage.set(own);
    }

    pub(super) fn mark_dirty(&self, connection: Rc<Connection>) {
        if !connection.dirty.replace(true) {
            self.dirty.borrow_mut().push(connection);
        }
    }

    /// Writes all pending answers, one write per connection.
    pub(super) fn flush(&self) {
        for connection in self.dirty.take() {
            connection.dirty.set(false);
            connection.flush();
            // The connection's task waits for the rest to be written, or ends.
            let protocol = connection.protocol.borrow();
            if !protocol.output().is_empty() || protocol.is_input_closed() || connection.closing.get() {
                connection.stream.wake();
            }
        }
    }

    /// Records that the engine has taken a call from its queue.
    pub(super) fn on_call_taken(&self) {
        self.queued_calls.set(self.queued_calls.get().saturating_sub(1));
    }

    /// Reads from paused connections again.
    pub(super) fn resume_paused(&self) {
        for connection in self.paused.take() {
            connection.paused.set(false);
            connection.stream.wake();
        }
    }

    /// Pauses a connection if as many calls wait for the engine as may be open, and returns whether it is
    /// paused. Withdrawn calls are not open, but stay in the queue until the engine takes them.
    fn pause_if_queue_is_full(&self, runtime: &Runtime, connection: &Rc<Connection>) -> bool {
        if self.queued_calls.get() > runtime.shares.open_requests && !connection.paused.replace(true) {
            self.paused.borrow_mut().push(connection.clone());
        }
        connection.paused.get()
    }

    fn is_full(&self, runtime: &Runtime) -> bool {
        self.connections.borrow().len() >= runtime.shares.client_connections
    }

    /// Makes room for one more connection by closing one without open requests; false if there is none.
    pub(super) fn evict(&self, runtime: &Runtime) -> bool {
        for _ in 0..MAX_EVICTION_ATTEMPTS {
            let connections = self.connections.borrow();
            let idle = connections.values().filter(|connection| connection.is_idle());
            // Connections that never sent a request go first, then those that were inactive for longest.
            let Some(candidate) = idle
                .min_by_key(|connection| {
                    (
                        connection.had_request.get(),
                        connection.protocol.borrow().is_receiving(),
                        connection.last_active.get(),
                    )
                })
                .cloned()
            else {
                return false;
            };
            drop(connections);
            if runtime.close_if_idle(&candidate) {
                return true;
            }
        }
        false
    }

    /// Closes connections that were inactive, sent an incomplete request or did not read their answers for
    /// too long.
    pub(super) fn maintain(&self, runtime: &Runtime, now: Time) {
        let all: Vec<_> = self.connections.borrow().values().cloned().collect();
        for connection in all {
            let since = |at: Option<Time>, span| at.is_some_and(|at| now > at + span);
            let has_no_requests = connection.is_idle();
            let silent =
                has_no_requests && !connection.had_request.get() && now > connection.opened + REQUEST_TIMEOUT;
            let idle = has_no_requests && now > connection.last_active.get() + IDLE_TIMEOUT;
            let is_incomplete =
                || connection.is_idle() && since(connection.receiving_since.get(), REQUEST_TIMEOUT);
            if is_incomplete() {
                // Its rest may have arrived and wait to be read.
                runtime.read_input(&connection);
                if is_incomplete() {
                    connection.close("a request is incomplete for too long");
                } else {
                    connection.stream.wake();
                }
            } else if since(connection.unsent_since.get(), WRITE_TIMEOUT) {
                connection.close("answers are not read");
            } else if silent || idle {
                runtime.close_if_idle(&connection);
            }
        }
    }

    /// Reads what has arrived on all connections: a request counts as received once its last byte is in the
    /// socket's buffer. Connections take turns, and the time is limited: a client that sends faster than it is
    /// read would delay the shutdown.
    pub(super) fn read_all(&self, runtime: &Runtime) {
        let end = runtime.clock.now() + MAX_FINAL_READ_TIME;
        let all: Vec<_> = self.connections.borrow().values().cloned().collect();
        let mut unread: VecDeque<_> = all.iter().filter(|connection| !connection.closing.get()).collect();
        while let Some(connection) = unread.pop_front().filter(|_| runtime.clock.now() < end) {
            if runtime.read_input(connection) {
                unread.push_back(connection);
            }
        }
        for connection in all {
            runtime.pass_arrived(&connection);
            self.mark_dirty(connection);
        }
    }
}

impl Connection {
    pub(super) fn close(&self, reason: &str) {
        let (open, peer) = (self.protocol.borrow().unanswered(), self.peer);
        tracing::debug!(connection = self.number, %peer, open, reason, "closing a client connection");
        self.closing.set(true);
        self.stream.wake();
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Counts what its buffers hold now.
    pub(super) fn update_held(&self) {
        let protocol = self.protocol.borrow();
        self.held.borrow_mut().set(protocol.receiving_bytes() + protocol.output_bytes());
    }

    /// Writes its answers if they are large, instead of at the end of the turn or batch.
    fn flush_if_large(&self) {
        if self.protocol.borrow().output().len() > MAX_UNFLUSHED_BYTES {
            self.flush();
        }
        self.update_held();
    }

    /// Whether it has no open request, and every answer was written.
    fn is_idle(&self) -> bool {
        let protocol = self.protocol.borrow();
        !self.closing.get() && protocol.unanswered() == 0 && protocol.output().is_empty()
    }

    fn flush(&self) {
        let mut protocol = self.protocol.borrow_mut();
        if protocol.output().is_empty() {
            return;
        }
        match self.stream.write(protocol.output()) {
            Ok(n) => protocol.on_written(n),
            Err(_) => self.closing.set(true),
        }
        if protocol.output().is_empty() {
            self.unsent_since.set(None);
        }
        drop(protocol);
        self.update_held();
    }
}

impl Runtime {
    /// Adds an accepted connection; returns whether another one was evicted for it.
    pub(super) fn add_connection(self: &Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr) -> bool {
        let full = self.clients.is_full(self);
        if full && !self.clients.evict(self) {
            return false; // dropping the stream closes it
        }
        let number = self.clients.next.replace(self.clients.next.get() + 1);
        let now = self.clock.now();
        let connection = Rc::new(Connection {
            number,
            peer,
            stream: Stream::new(stream),
            protocol: RefCell::default(),
            held: RefCell::new(self.clients.buffered_bytes.hold(0)),
            usage: Cell::default(),
            opened: now,
            last_active: Cell::new(now),
            receiving_since: Cell::default(),
            unsent_since: Cell::default(),
            had_request: Cell::default(),
            calls: RefCell::default(),
            arrived: RefCell::default(),
            read_ahead: Cell::default(),
            peer_closed: Cell::default(),
            closing: Cell::default(),
            dirty: Cell::default(),
            paused: Cell::default(),
        });
        self.clients.connections.borrow_mut().insert(number, connection.clone());
        self.clients.admission.borrow_mut().on_connected();
        self.tasks.spawn(self.clone().serve_client(connection)).detach();
        full
    }

    /// Closes a connection without open requests, unless an unread request has arrived on it. Returns whether
    /// it was closed.
    fn close_if_idle(&self, connection: &Rc<Connection>) -> bool {
        let before = connection.last_active.get();
        self.read_input(connection);
        let closed =
            connection.is_idle() && (connection.peer_closed.get() || connection.last_active.get() == before);
        if closed {
            connection.close("it is idle");
        } else {
            connection.stream.wake();
        }
        closed
    }

    /// Reads and processes what has arrived on a connection; returns whether more may be available. While more
    /// follows, an abort or a close may follow too: requests are passed to the engine once everything was read,
    /// or enough. Requests that were withdrawn by then are not passed.
    fn read_input(&self, connection: &Rc<Connection>) -> bool {
        if self.reading_ended.get() {
            return false;
        }
        if connection.arrived.borrow().is_empty() {
            connection.read_ahead.set(0);
        }
        let before = connection.read_ahead.get();
        let more = self.read_requests(connection);
        let read_ahead = connection.read_ahead.get();
        let has_arrived = !connection.arrived.borrow().is_empty();
        if (more || has_arrived) && connection.stream.peer_has_closed() {
            connection.peer_closed.set(true);
            self.on_client_closed(connection);
            return false;
        }
        // After more than a turn, the rest may be on its way until nothing has come for a while.
        let nothing_left = !more && (read_ahead <= BYTES_PER_TURN || read_ahead == before);
        if nothing_left || read_ahead >= MAX_READ_AHEAD {
            self.pass_arrived(connection);
        }
        more
    }

    /// Passes the requests that have arrived to the engine.
    fn pass_arrived(&self, connection: &Connection) {
        let mut calls = connection.calls.borrow_mut();
        for fcgi_request_id in connection.arrived.take() {
            let call = calls.get_mut(&fcgi_request_id).and_then(|open| open.call.take());
            let Some(call) = call else { continue };
            self.clients.queued_calls.set(self.clients.queued_calls.get() + 1);
            self.send_input(Input::Call(call));
        }
    }

    /// Reads from a connection for one turn. Returns whether more may be available.
    fn read_requests(&self, connection: &Rc<Connection>) -> bool {
        let (mut events, mut left) = (Vec::new(), BYTES_PER_TURN);
        while left > 0 {
            if connection.peer_closed.get() || connection.closing.get() {
                return false;
            }
            let mut scratch = self.scratch.borrow_mut();
            let limit = left.min(scratch.len());
            match connection.stream.read(&mut scratch[..limit]) {
                Ok(Some(0)) => {
                    connection.peer_closed.set(true);
                    drop(scratch);
                    self.on_client_closed(connection);
                    return false;
                }
                Ok(Some(n)) => {
                    left -= n;
                    let now = self.clock.now();
                    connection.last_active.set(now);
                    let mut protocol = connection.protocol.borrow_mut();
                    protocol.on_bytes(now, &scratch[..n], &mut events);
                    // A request that is complete shows that its connection does not stand still.
                    let since = connection.receiving_since.get().filter(|_| events.is_empty());
                    connection.receiving_since.set(protocol.is_receiving().then(|| since.unwrap_or(now)));
                    connection.read_ahead.set(connection.read_ahead.get() + n);
                    drop((protocol, scratch));
                    for event in events.drain(..) {
                        let arrived = self.on_event(connection, now, event);
                        connection.arrived.borrow_mut().extend(arrived);
                    }
                    connection.flush_if_large();
                    self.clients.limit_buffers(self);
                    if n < limit {
                        return false; // most likely nothing is left
                    }
                }
                Ok(None) => return false,
                Err(_) => {
                    connection.closing.set(true);
                    return false;
                }
            }
        }
        true
    }

    /// Reports the open requests of a closed connection to the engine. A client that closed only its sending
    /// side is treated as disconnected, too: the platform's web servers close both directions at once, and a
    /// call that nobody waits for must not start.
    fn on_client_closed(&self, connection: &Connection) {
        connection.protocol.borrow_mut().on_closed();
        connection.calls.take().into_values().for_each(|open| self.withdraw(connection, open));
        connection.update_held();
    }

    /// Ends a request that its client has withdrawn. The engine is informed only if it was passed the call.
    fn withdraw(&self, connection: &Connection, open: OpenRequest) {
        self.clients.release(connection, &open);
        if open.call.is_none() {
            self.send_input(Input::CallerDisconnected { id: open.id, finish_started: false });
        }
    }

    async fn serve_client(self: Rc<Self>, connection: Rc<Connection>) {
        while !connection.closing.get() {
            let reads =
                !connection.peer_closed.get() && !connection.paused.get() && !self.reading_ended.get();
            let ready = connection.stream.ready(reads, || !connection.protocol.borrow().output().is_empty());
            if connection.arrived.borrow().is_empty() {
                ready.await;
            } else {
                ready.or(async { _ = Timer::after(READ_AHEAD_PAUSE).await }).await;
            }
            // Read even if no more requests are accepted: an abort or a close may follow.
            if !self.clients.pause_if_queue_is_full(&self, &connection) {
                self.read_input(&connection);
            }
            connection.flush();
            let mut protocol = connection.protocol.borrow_mut();
            if protocol.output().is_empty() {
                connection.unsent_since.set(None);
            } else if connection.unsent_since.get().is_none() {
                connection.unsent_since.set(Some(self.clock.now()));
            }
            if protocol.receiving_bytes() + protocol.output().len() > self.shares.answer_bytes {
                protocol.close_input();
            }
            let finished = protocol.output().is_empty() && protocol.unanswered() == 0;
            if finished && (connection.peer_closed.get() || protocol.is_input_closed())
                || protocol.discard_limit_exceeded()
                || protocol.output().len() > self.shares.answer_bytes
            {
                connection.closing.set(true);
            }
        }
        self.clients.connections.borrow_mut().remove(&connection.number);
        self.on_client_closed(&connection);
        self.clients.admission.borrow_mut().on_disconnected();
    }

    /// Processes what was received. Returns the FastCGI request id of a call to be passed to the engine.
    fn on_event(&self, connection: &Rc<Connection>, now: Time, event: ClientEvent) -> Option<u16> {
        connection.had_request.set(true);
        let (fcgi_request_id, params, body) = match event {
            ClientEvent::Request { request_id, params, body } => (request_id, params, body),
            ClientEvent::Aborted { request_id } => {
                connection.arrived.borrow_mut().retain(|arrived| *arrived != request_id);
                let open = connection.calls.borrow_mut().remove(&request_id);
                open.into_iter().for_each(|open| self.withdraw(connection, open));
                return None;
            }
        };
        let answer_status = |status| {
            connection
                .protocol
                .borrow_mut()
                .answer(fcgi_request_id, &Answer { status, retry_after_ms: None, body: b"" });
            None
        };
        let call = match fields::parse(&params, &self.names) {
            Ok(ParsedRequest::Health) => return answer_status(if self.stopping.get() { 503 } else { 200 }),
            Ok(ParsedRequest::Call(call)) => call,
            Err(e) => {
                if let Some(more) = self.log_limits.request.allow(now) {
                    tracing::warn!(peer = %connection.peer, more, "invalid request: {e}; answered with status 400");
                }
                return answer_status(400);
            }
        };
        let id: RequestId = call.id.as_str().into();
        if self.clients.ids.borrow().contains(&id) || self.clients.begun_ids.borrow_mut().contains(now, &id) {
            return answer_status(409);
        }
        let usage = Usage { requests: 1, bytes: body.capacity() + line::encoded_body_bytes(&body) };
        if self.intake_closed.get() || !self.clients.may_open(connection, usage) {
            return answer_status(503);
        }
        let serial = self.clients.next.replace(self.clients.next.get() + 1);
        self.clients.open(connection, id.clone(), usage);
        let function: FunctionId = call.key.as_str().into();
        let request = Request {
            id: id.clone(),
            retry: call.retry,
            tenant: call.tenant,
            hint: None,
            function: function.clone(),
            memory_mb: call.memory_mb,
            lanes: call.lanes,
            class: call.class,
            due: now + call.wait,
            load_time: call.load_time,
        };
        let _held = self.clients.content_bytes.hold(usage.bytes);
        let content =
            Rc::new(Content { id: id.clone(), class: call.class, function, body, accepted_at: now, _held });
        let origin = Caller { connection: connection.number, fcgi_request_id, serial };
        let call = Some(Call { request, origin, content });
        connection.calls.borrow_mut().insert(fcgi_request_id, OpenRequest { serial, id, usage, call });
        Some(fcgi_request_id)
    }
}
