//! The connections to executors: on which one a task is queued, and when a new one is opened.

use super::connection::{CallContent, Connection};
use super::runtime::{Content, Runtime};
use badgerwind::interface::*;
use badgerwind_driver::{CancelReason, OrderId};
use badgerwind_platform::discovery::{ListUpdate, ListedExecutor};
use badgerwind_platform::link::{CancelResult, Task};
use badgerwind_platform::memory::{bytes_to_give_up, choose_to_give_up, Buffer, ByteCount};
use badgerwind_platform::reach::{Reachability, Sharing, SilenceTolerance};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// A known executor and the connections to it.
struct Executor {
    /// Its last entry from service discovery.
    entry: WorkerEntry,
    address: SocketAddr,
    /// Since when it accepts no new work.
    draining_since: Option<Time>,
    /// Whether service discovery has removed it.
    removed: bool,
    reachability: Reachability,
    connections: Vec<Rc<Connection>>,
}

/// All known executors.
pub(super) struct Executors {
    all: RefCell<HashMap<WorkerId, Executor>>,
    /// How long executors may stay silent.
    silence_tolerance: RefCell<SilenceTolerance>,
    /// Whether calls share connections.
    sharing: RefCell<Sharing>,
    /// First pause after an executor rejected a connection.
    reject_pause: Micros,
    /// Number of connections that are established or being established.
    open_connections: Cell<usize>,
    dirty: RefCell<Vec<Rc<Connection>>>,
    next_number: Cell<u64>,
    /// The memory of incomplete lines.
    line_bytes: ByteCount,
    /// The bytes of answers that wait for the engine.
    queued_reply_bytes: Cell<usize>,
    /// Connections that are paused.
    paused: RefCell<Vec<Rc<Connection>>>,
}

impl Executors {
    /// Starts without any executor.
    pub(super) fn new(connect_timeout: Micros) -> Executors {
        // A connection attempt fails after `connect_timeout`; a silence of twice that is not considered
        // chance.
        let silence_tolerance = 2 * connect_timeout;
        Executors {
            all: RefCell::default(),
            silence_tolerance: RefCell::new(SilenceTolerance::new(silence_tolerance)),
            sharing: RefCell::default(),
            reject_pause: silence_tolerance,
            open_connections: Cell::default(),
            dirty: RefCell::default(),
            next_number: Cell::default(),
            line_bytes: ByteCount::default(),
            queued_reply_bytes: Cell::default(),
            paused: RefCell::default(),
        }
    }

    /// Records that an attempt's answer waits for the engine.
    pub(super) fn on_reply_queued(&self, reply: &Option<Vec<u8>>) {
        let bytes = reply.as_ref().map_or(0, Vec::capacity);
        self.queued_reply_bytes.set(self.queued_reply_bytes.get() + bytes);
    }

    /// Records that the engine has taken the answer of an attempt.
    pub(super) fn on_reply_taken(&self, reply: &Option<Vec<u8>>) {
        let bytes = reply.as_ref().map_or(0, Vec::capacity);
        self.queued_reply_bytes.set(self.queued_reply_bytes.get().saturating_sub(bytes));
    }

    /// Pauses a connection if many answers wait for the engine, and returns whether they do.
    pub(super) fn pause_if_replies_wait(&self, runtime: &Runtime, connection: &Rc<Connection>) -> bool {
        let many = self.queued_reply_bytes.get() >= runtime.shares.reply_bytes;
        if many && connection.pause() {
            self.paused.borrow_mut().push(connection.clone());
        }
        many
    }

    /// Reads from paused connections again.
    pub(super) fn resume_paused(&self) {
        self.paused.take().iter().for_each(|connection| connection.resume());
    }

    /// Closes connections whose incomplete lines take more memory than is there for them.
    pub(super) fn limit_lines(&self, runtime: &Runtime, now: Time) {
        let needed = bytes_to_give_up(self.line_bytes.total(), runtime.shares.line_bytes);
        if needed == 0 {
            return;
        }
        let all = self.all.borrow();
        let connections: Vec<_> = all.values().flat_map(|executor| &executor.connections).collect();
        let open = connections.iter().enumerate().filter(|(_, connection)| !connection.is_closing());
        let buffers = open.map(|(key, connection)| {
            let link = connection.link.borrow();
            Buffer { key, bytes: link.line_bytes(), since: link.line_since() }
        });
        for key in choose_to_give_up(now, buffers.collect(), needed) {
            connections[key].give_up_line();
        }
        if let Some(more) = runtime.log_limits.answer.allow(now) {
            tracing::warn!(
                more,
                "the memory for executors' incomplete lines is full: connections were closed"
            );
        }
    }

    /// Applies an update of the executors' addresses and availability.
    pub(super) fn on_list_update(&self, now: Time, update: &ListUpdate) {
        let pause = self.reject_pause;
        let mut all = self.all.borrow_mut();
        if update.kind != ListKind::Changes {
            let named: HashSet<WorkerId> = update.entries.iter().map(|l| l.entry.worker).collect();
            for (_, executor) in all.iter_mut().filter(|(id, _)| !named.contains(id)) {
                (executor.removed, executor.draining_since) = (true, executor.draining_since.or(Some(now)));
            }
        }
        for ListedExecutor { entry, address } in &update.entries {
            let executor = all.entry(entry.worker).or_insert_with(|| Executor {
                entry: entry.clone(),
                address: *address,
                draining_since: None,
                removed: false,
                reachability: Reachability::new(pause),
                connections: Vec::new(),
            });
            if executor.address != *address {
                // It has moved: no new tasks use connections to the old address.
                executor.connections.iter().for_each(|connection| connection.retire());
                (executor.address, executor.reachability) = (*address, Reachability::new(pause));
            }
            executor.entry = entry.clone();
            executor.removed = entry.availability == Availability::Removed;
            executor.draining_since = match entry.availability {
                Availability::Ready => None,
                _ => executor.draining_since.or(Some(now)),
            };
        }
        // A connection that is still being established may reach another executor that now has the address.
        for executor in all.values_mut().filter(|executor| executor.removed) {
            executor.connections.iter().for_each(|connection| connection.retire());
        }
        // A removed executor is dropped once its last connection has ended.
        all.retain(|_, executor| !executor.removed || !executor.connections.is_empty());
    }

    pub(super) fn enqueue_attempt(
        &self,
        runtime: &Rc<Runtime>,
        now: Time,
        worker: WorkerId,
        (id, attempt, content, deadline): (RequestId, u32, Rc<Content>, Time),
    ) {
        let content = CallContent::new(content);
        self.enqueue(runtime, now, worker, Task::Attempt { id, attempt, content, deadline }, false);
    }

    pub(super) fn enqueue_order(
        &self,
        runtime: &Rc<Runtime>,
        now: Time,
        worker: WorkerId,
        order: OrderId,
        key: &str,
        copies: u32,
    ) {
        self.enqueue(runtime, now, worker, Task::Order { order, key: key.to_owned(), copies }, false);
    }

    pub(super) fn enqueue_unload(&self, runtime: &Rc<Runtime>, now: Time, worker: WorkerId, key: &str) {
        self.enqueue(runtime, now, worker, Task::Unload(key.to_owned()), false);
    }

    /// A new number for a probe or a question.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// The last entry of an executor from service discovery.
    pub(super) fn entry(&self, worker: WorkerId) -> Option<WorkerEntry> {
        self.all
            .borrow()
            .get(&worker)
            .filter(|executor| !executor.removed)
            .map(|executor| executor.entry.clone())
    }

    /// The connections to an executor.
    pub(super) fn connections(&self, worker: WorkerId) -> Vec<Rc<Connection>> {
        self.all.borrow().get(&worker).map(|executor| executor.connections.clone()).unwrap_or_default()
    }

    /// One of them that accepts new tasks and over which the executor has accepted work.
    pub(super) fn accepted_connection(&self, worker: WorkerId) -> Option<Rc<Connection>> {
        let usable = |connection: &Rc<Connection>| {
            connection.is_up() && connection.is_accepted() && connection.accepts(&Task::Unload(String::new()))
        };
        self.connections(worker).into_iter().find(usable)
    }

    /// All known executors.
    pub(super) fn workers(&self) -> Vec<WorkerId> {
        self.all.borrow().keys().copied().collect()
    }

    /// Whether no other connection to the same executor is established.
    pub(super) fn is_only_connection(&self, connection: &Rc<Connection>) -> bool {
        let another = |other: &Rc<Connection>| other.is_up() && !Rc::ptr_eq(other, connection);
        !self.connections(connection.worker).iter().any(another)
    }

    /// Opens a connection to an executor that has none, if the connection limit permits.
    pub(super) fn connect(&self, runtime: &Rc<Runtime>, worker: WorkerId) {
        if self.open_connections.get() >= runtime.shares.executor_connections {
            return;
        }
        let mut all = self.all.borrow_mut();
        if let Some(executor) =
            all.get_mut(&worker).filter(|executor| !executor.removed && executor.connections.is_empty())
        {
            self.open_connection(runtime, worker, executor);
        }
    }

    pub(super) fn enqueue_probe(&self, runtime: &Rc<Runtime>, now: Time, worker: WorkerId) {
        let number = self.next_number();
        self.enqueue(runtime, now, worker, Task::Probe(number), false);
    }

    /// Queues a task on one of an executor's connections, shared with other tasks while connections are
    /// reliable ([`Sharing`]). If the executor has been silent since something was sent to it
    /// ([`Reachability`]), a new connection is opened first, since silence on an old one would not show
    /// whether the executor is reachable.
    pub(super) fn enqueue(
        &self,
        runtime: &Rc<Runtime>,
        now: Time,
        worker: WorkerId,
        task: Task<CallContent>,
        new_connection: bool,
    ) {
        if self.is_removed(worker) {
            return runtime.report_unsent(worker, task, Outcome::Moot);
        }
        // A call that must not run twice is lost with its connection; others are retried.
        let must_not_run_twice =
            matches!(&task, Task::Attempt { content, .. } if runtime.must_not_run_twice(content.content()));
        let max_calls = self.sharing.borrow().max_calls(must_not_run_twice);
        let existing = loop {
            let existing = self.existing_connection(now, worker, &task, (new_connection, max_calls));
            // The executor may have closed it without this having been read yet; a task written to it would
            // count as sent.
            match existing {
                Some(connection) if !runtime.read_answers(&connection) || !connection.accepts(&task) => {
                    continue
                }
                existing => break existing,
            }
        };
        let connection =
            existing.or_else(|| self.additional_connection(runtime, now, worker, &task, new_connection));
        match connection {
            Some(connection) => {
                connection.set_exclusive(must_not_run_twice && max_calls == 1);
                connection.link.borrow_mut().push(now, task);
                self.mark_dirty(connection);
            }
            None => {
                let outcome = match self.all.borrow().get(&worker) {
                    None => Outcome::ConnectFailed,
                    // No connection exists and the executor's connection table is full: this counts as a
                    // rejection.
                    Some(executor) if !new_connection && !executor.reachability.may_connect(now) => {
                        Outcome::Full
                    }
                    // The connection limit is reached here, which says nothing about the executor.
                    Some(_) => Outcome::Moot,
                };
                runtime.report_unsent(worker, task, outcome);
            }
        }
    }

    /// Whether an executor was removed but still has connections. Another process may listen at its address
    /// by now, so nothing more is sent there.
    fn is_removed(&self, worker: WorkerId) -> bool {
        self.all.borrow().get(&worker).is_some_and(|executor| executor.removed)
    }

    /// An established connection that is idle or may be shared.
    fn existing_connection(
        &self,
        now: Time,
        worker: WorkerId,
        task: &Task<CallContent>,
        (new_connection, max_calls): (bool, usize),
    ) -> Option<Rc<Connection>> {
        let all = self.all.borrow();
        let executor = all.get(&worker)?;
        if new_connection || !executor.reachability.is_trusted(now, self.silence_tolerance.borrow().current())
        {
            return None;
        }
        let accepting = executor.connections.iter().filter(|connection| connection.accepts(task));
        let idle = accepting
            .clone()
            .filter(|connection| connection.is_idle())
            .max_by_key(|connection| connection.link.borrow().last_used);
        let is_shareable = |connection: &&Rc<Connection>| {
            connection.is_up() && connection.is_shareable() && connection.task_count() < max_calls
        };
        let shared = || accepting.filter(is_shareable).min_by_key(|connection| connection.task_count());
        idle.or_else(|| shared().filter(|_| max_calls > 1)).cloned()
    }

    /// Another connection: one that is being established, a new one or, at the connection limit, the least
    /// busy one.
    fn additional_connection(
        &self,
        runtime: &Rc<Runtime>,
        now: Time,
        worker: WorkerId,
        task: &Task<CallContent>,
        new_connection: bool,
    ) -> Option<Rc<Connection>> {
        let may_connect = self.all.borrow().get(&worker)?.reachability.may_connect(now) || new_connection;
        let may_open = may_connect
            && (self.open_connections.get() < runtime.shares.executor_connections || self.evict(worker));
        let mut all = self.all.borrow_mut();
        let executor = all.get_mut(&worker)?;
        let trusted = !new_connection
            && executor.reachability.is_trusted(now, self.silence_tolerance.borrow().current());
        let shared = executor.connections.iter().filter(|connection| {
            connection.accepts(task) && connection.task_count() < runtime.transport.streams
        });
        // A connection that is being established shows reachability as well as a new one.
        let connecting = shared.clone().find(|connection| !connection.is_up()).filter(|_| !trusted);
        if connecting.is_some() {
            return connecting.cloned();
        }
        if !may_open {
            return shared.min_by_key(|connection| connection.task_count()).cloned();
        }
        let accepting = executor.connections.iter().filter(|connection| connection.accepts(task)).count();
        let all_in_use = trusted && accepting > 0;
        tracing::debug!(worker, standing = accepting, trusted, all_in_use, "opening a connection");
        Some(self.open_connection(runtime, worker, executor))
    }

    fn open_connection(
        &self,
        runtime: &Rc<Runtime>,
        worker: WorkerId,
        executor: &mut Executor,
    ) -> Rc<Connection> {
        let connection = Rc::new(Connection::new(worker, runtime.clock.now(), &self.line_bytes));
        executor.connections.push(connection.clone());
        self.open_connections.set(self.open_connections.get() + 1);
        runtime.tasks.spawn(runtime.clone().run_connection(connection.clone(), executor.address)).detach();
        connection
    }

    /// Closes the connection that has been idle for longest; false if none is idle.
    pub(super) fn evict(&self, except: WorkerId) -> bool {
        let all = self.all.borrow();
        let connections =
            all.iter().filter(|(id, _)| **id != except).flat_map(|(_, executor)| &executor.connections);
        let idle = connections.filter(|connection| connection.is_idle() && !connection.is_closing());
        let oldest = idle.min_by_key(|connection| connection.link.borrow().last_used);
        if let Some(connection) = oldest {
            connection.close();
        }
        oldest.is_some()
    }

    /// Updates what is known about the reachability of an executor.
    pub(super) fn update_reachability(&self, worker: WorkerId, update: impl FnOnce(&mut Reachability)) {
        if let Some(executor) = self.all.borrow_mut().get_mut(&worker) {
            update(&mut executor.reachability);
        }
    }

    /// Records that bytes came from an executor. The time it took adjusts the tolerated silence.
    pub(super) fn on_received(&self, now: Time, worker: WorkerId) {
        self.update_reachability(worker, |r| {
            if let Some(at) = r.on_received() {
                self.silence_tolerance.borrow_mut().observe(now.saturating_sub(at));
            }
        });
    }

    fn mark_dirty(&self, connection: Rc<Connection>) {
        if connection.mark_dirty() {
            self.dirty.borrow_mut().push(connection);
        }
    }

    /// Writes all queued lines, one write per connection.
    pub(super) fn flush(&self, runtime: &Rc<Runtime>) {
        for connection in self.dirty.take() {
            connection.clear_dirty();
            runtime.write_queued(&connection);
            connection.wake_for_output();
        }
    }

    /// Since when an executor accepts no new work.
    pub(super) fn draining_since(&self, worker: WorkerId) -> Option<Time> {
        self.all.borrow().get(&worker).and_then(|executor| executor.draining_since)
    }

    /// Records that a call was answered.
    pub(super) fn on_answer(&self) {
        self.sharing.borrow_mut().on_answer();
    }

    /// Records that a connection broke while calls were on it.
    pub(super) fn on_break(&self) {
        self.sharing.borrow_mut().on_break();
    }

    /// Removes a connection that has ended and has no tasks left.
    pub(super) fn remove_connection(&self, connection: &Rc<Connection>) {
        let mut all = self.all.borrow_mut();
        if let Some(executor) = all.get_mut(&connection.worker) {
            executor.connections.retain(|other| !Rc::ptr_eq(other, connection));
            if executor.removed && executor.connections.is_empty() {
                all.remove(&connection.worker);
            }
        }
        self.open_connections.set(self.open_connections.get().saturating_sub(1));
    }

    pub(super) fn cancel(
        &self,
        runtime: &Rc<Runtime>,
        worker: WorkerId,
        id: &RequestId,
        attempt: u32,
        reason: CancelReason,
    ) {
        let connections = self.connections(worker);
        let mut ends = Vec::new();
        for connection in connections {
            let result = connection.link.borrow_mut().cancel(id, attempt, reason, &mut ends);
            if result != CancelResult::Unknown {
                tracing::debug!(request = %id, attempt, worker, ?reason, ?result, "attempt called off");
            }
            match result {
                CancelResult::Unknown => continue,
                CancelResult::Cancelled => self.mark_dirty(connection),
                CancelResult::PartlySent => runtime.on_broken(&connection, false),
            }
            break;
        }
        // Cancelled before it was sent: it never ran and is not sent any more. Only a timeout says something
        // about the executor's reachability.
        let unsent = match reason {
            CancelReason::Cancelled => Outcome::Cancelled,
            CancelReason::TimedOut => Outcome::ConnectFailed,
        };
        ends.into_iter().for_each(|end| runtime.report_end(worker, end, unsent));
    }

    /// Drops an attempt that was not sent yet, since nobody waits for it any more.
    pub(super) fn withhold(&self, runtime: &Runtime, worker: WorkerId, id: &RequestId, attempt: u32) {
        let connections = self.connections(worker);
        let mut ends = Vec::new();
        if connections.iter().any(|connection| connection.link.borrow_mut().withhold(id, attempt, &mut ends))
        {
            ends.into_iter().for_each(|end| runtime.report_end(worker, end, Outcome::Moot));
        }
    }

    pub(super) fn close_idle(&self, worker: WorkerId) {
        if let Some(executor) = self.all.borrow().get(&worker) {
            executor
                .connections
                .iter()
                .filter(|connection| connection.is_idle())
                .for_each(|connection| connection.close());
        }
    }

    /// Closes connections that have been idle for so long that the executor may close them.
    pub(super) fn maintain(&self, runtime: &Runtime, now: Time) {
        let idle_limit = runtime.transport.idle_close / 4 * 3;
        // While the list is stale, the last connection to an executor is kept: it shows that the executor's
        // process is still the listed one.
        let stale = !runtime.freshness.borrow().is_fresh(now);
        let all = self.all.borrow();
        for executor in all.values() {
            for connection in &executor.connections {
                let expired = now > connection.link.borrow().last_used + idle_limit
                    && !(stale && executor.connections.len() == 1);
                if connection.is_idle() && (expired || connection.link.borrow().is_retired()) {
                    connection.close();
                }
            }
        }
    }
}
