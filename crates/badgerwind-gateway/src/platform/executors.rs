//! The connections to executors: which of them takes what, and when one is opened.

use super::connection::{Connection, Out};
use super::shell::{Content, Shell};
use badgerwind::interface::*;
use badgerwind_driver::{CancelReason, OrderId};
use badgerwind_platform::discovery::{ListUpdate, ListedExecutor};
use badgerwind_platform::link::{CancelResult, Task};
use badgerwind_platform::reach::{Reachability, Sharing, SilenceTolerance};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

struct Executor {
    /// As discovery told of it last.
    entry: WorkerEntry,
    address: SocketAddr,
    /// Since when nothing new may go there, and whether it is gone.
    leaving: Option<Time>,
    gone: bool,
    reach: Reachability,
    links: Vec<Rc<Connection>>,
}

pub(super) struct Executors {
    all: RefCell<HashMap<WorkerId, Executor>>,
    /// How long executors take to say a word.
    patience: RefCell<SilenceTolerance>,
    /// Whether calls share connections.
    sharing: RefCell<Sharing>,
    /// First pause after a connection was turned away.
    pause: Span,
    /// Connections up or coming up.
    open: Cell<usize>,
    dirty: RefCell<Vec<Rc<Connection>>>,
    probes: Cell<u64>,
}

impl Executors {
    /// None listed yet.
    pub(super) fn new(connect_timeout: Span) -> Executors {
        // A connection not made by then has failed; twice that without a word is no longer chance.
        let patience = 2 * connect_timeout;
        Executors {
            all: RefCell::default(),
            patience: RefCell::new(SilenceTolerance::new(patience)),
            sharing: RefCell::default(),
            pause: patience,
            open: Cell::default(),
            dirty: RefCell::default(),
            probes: Cell::default(),
        }
    }

    /// Takes in where executors are and whether they take work.
    pub(super) fn listed(&self, now: Time, news: &ListUpdate) {
        let pause = self.pause;
        let mut all = self.all.borrow_mut();
        if news.kind != ListKind::Changes {
            let named: HashSet<WorkerId> = news.entries.iter().map(|l| l.entry.worker).collect();
            for (_, e) in all.iter_mut().filter(|(id, _)| !named.contains(id)) {
                (e.gone, e.leaving) = (true, e.leaving.or(Some(now)));
            }
        }
        for ListedExecutor { entry, address } in &news.entries {
            let e = all.entry(entry.worker).or_insert_with(|| Executor {
                entry: entry.clone(),
                address: *address,
                leaving: None,
                gone: false,
                reach: Reachability::new(pause),
                links: Vec::new(),
            });
            if e.address != *address {
                // Another machine: nothing new goes over what leads to the old one.
                e.links.iter().for_each(|c| c.retire());
                (e.address, e.reach) = (*address, Reachability::new(pause));
            }
            e.entry = entry.clone();
            e.gone = entry.availability == Availability::Removed;
            e.leaving = match entry.availability {
                Availability::Ready => None,
                _ => e.leaving.or(Some(now)),
            };
        }
        // What is coming up may reach a newcomer that has the address now.
        for e in all.values_mut().filter(|e| e.gone) {
            e.links.iter().for_each(|c| c.retire());
        }
        // One that is gone is forgotten once nothing of it is left.
        all.retain(|_, e| !e.gone || !e.links.is_empty());
    }

    pub(super) fn attempt(
        &self,
        shell: &Rc<Shell>,
        now: Time,
        worker: WorkerId,
        (id, attempt, content, limit): (RequestId, u32, Rc<Content>, Time),
    ) {
        let content = Out::new(content);
        self.put(shell, now, worker, Task::Attempt { id, attempt, content, limit }, false);
    }

    pub(super) fn order(
        &self,
        shell: &Rc<Shell>,
        now: Time,
        worker: WorkerId,
        order: OrderId,
        key: &str,
        copies: u32,
    ) {
        self.put(shell, now, worker, Task::Order { order, key: key.to_owned(), copies }, false);
    }

    pub(super) fn unload(&self, shell: &Rc<Shell>, now: Time, worker: WorkerId, key: &str) {
        self.put(shell, now, worker, Task::Unload(key.to_owned()), false);
    }

    /// A number for a probe or a question, never used before.
    pub(super) fn next_number(&self) -> u64 {
        self.probes.replace(self.probes.get() + 1)
    }

    /// An executor as discovery told of it last.
    pub(super) fn entry(&self, worker: WorkerId) -> Option<WorkerEntry> {
        self.all.borrow().get(&worker).filter(|e| !e.gone).map(|e| e.entry.clone())
    }

    /// The connections to an executor.
    pub(super) fn connections(&self, worker: WorkerId) -> Vec<Rc<Connection>> {
        self.all.borrow().get(&worker).map(|e| e.links.clone()).unwrap_or_default()
    }

    /// One of them that takes something new and over which something was taken in.
    pub(super) fn proven(&self, worker: WorkerId) -> Option<Rc<Connection>> {
        let takes_orders =
            |c: &Rc<Connection>| c.is_up() && c.proven() && c.takes(&Task::Unload(String::new()));
        self.connections(worker).into_iter().find(takes_orders)
    }

    /// The executors that are listed.
    pub(super) fn workers(&self) -> Vec<WorkerId> {
        self.all.borrow().keys().copied().collect()
    }

    /// Whether no other connection to its executor is up.
    pub(super) fn stands_alone(&self, connection: &Rc<Connection>) -> bool {
        let another = |c: &Rc<Connection>| c.is_up() && !Rc::ptr_eq(c, connection);
        !self.connections(connection.worker).iter().any(another)
    }

    /// Opens a connection to an executor that has none, where there is room.
    pub(super) fn connect(&self, shell: &Rc<Shell>, worker: WorkerId) {
        if self.open.get() >= shell.shares.executor_connections {
            return;
        }
        let mut all = self.all.borrow_mut();
        if let Some(e) = all.get_mut(&worker).filter(|e| !e.gone && e.links.is_empty()) {
            self.open_to(shell, worker, e);
        }
    }

    pub(super) fn probe(&self, shell: &Rc<Shell>, now: Time, worker: WorkerId) {
        let number = self.next_number();
        self.put(shell, now, worker, Task::Probe(number), false);
    }

    /// Puts something on one of an executor's connections, with others while connections hold ([`Sharing`]). Where nothing was
    /// heard of the executor since something was handed over ([`Reachability`]), a new connection shows first that it is there: on an
    /// old one silence would prove nothing.
    pub(super) fn put(&self, shell: &Rc<Shell>, now: Time, worker: WorkerId, task: Task<Out>, anew: bool) {
        if self.is_gone(worker) {
            return shell.unsent(worker, task, Outcome::Moot);
        }
        // What must not run twice is lost with its connection; the others are tried again.
        let once = matches!(&task, Task::Attempt { content, .. } if shell.once(content.content()));
        let together = self.sharing.borrow().max_calls(once);
        let standing = loop {
            let standing = self.standing(now, worker, &task, (anew, together));
            // It may have ended, and only not been read to its end: what went out on it would count as sent.
            match standing {
                Some(c) if !shell.stands(&c) || !c.takes(&task) => continue,
                standing => break standing,
            }
        };
        let own = standing.or_else(|| self.another(shell, now, worker, &task, anew));
        match own {
            Some(c) => {
                c.keep_for_one(once && together == 1);
                c.link.borrow_mut().push(now, task);
                self.mark(c);
            }
            None => {
                let outcome = match self.all.borrow().get(&worker) {
                    None => Outcome::ConnectFailed,
                    // Nothing leads there and its table is full: it turns away unseen.
                    Some(e) if !anew && !e.reach.may_connect(now) => Outcome::Full,
                    // No descriptor is left here: that tells nothing of the executor.
                    Some(_) => Outcome::Moot,
                };
                shell.unsent(worker, task, outcome);
            }
        }
    }

    /// Whether an executor is gone of which something is still out. Another process may listen at its address by now, so
    /// nothing more is sent there.
    fn is_gone(&self, worker: WorkerId) -> bool {
        self.all.borrow().get(&worker).is_some_and(|e| e.gone)
    }

    /// A standing connection on which nothing is, or that may be shared.
    fn standing(
        &self,
        now: Time,
        worker: WorkerId,
        task: &Task<Out>,
        (anew, together): (bool, usize),
    ) -> Option<Rc<Connection>> {
        let all = self.all.borrow();
        let e = all.get(&worker)?;
        if anew || !e.reach.is_trusted(now, self.patience.borrow().get()) {
            return None;
        }
        let pick = e.links.iter().filter(|c| c.takes(task));
        let own = pick.clone().filter(|c| c.idle()).max_by_key(|c| c.link.borrow().last_used);
        let shares = |c: &&Rc<Connection>| c.is_up() && c.shared() && c.busy() < together;
        let shared = || pick.filter(shares).min_by_key(|c| c.busy());
        own.or_else(|| shared().filter(|_| together > 1)).cloned()
    }

    /// A connection beside the standing ones: one that is coming up, a new one, or where there is room for none the least busy.
    fn another(
        &self,
        shell: &Rc<Shell>,
        now: Time,
        worker: WorkerId,
        task: &Task<Out>,
        anew: bool,
    ) -> Option<Rc<Connection>> {
        let opens = self.all.borrow().get(&worker)?.reach.may_connect(now) || anew;
        let room = opens && (self.open.get() < shell.shares.executor_connections || self.evict(worker));
        let mut all = self.all.borrow_mut();
        let e = all.get_mut(&worker)?;
        let trusted = !anew && e.reach.is_trusted(now, self.patience.borrow().get());
        let shared = e.links.iter().filter(|c| c.takes(task) && c.busy() < shell.transport.streams);
        // One that is coming up proves as much as another would.
        let proof = shared.clone().find(|c| !c.is_up()).filter(|_| !trusted);
        if proof.is_some() {
            return proof.cloned();
        }
        if !room {
            return shared.min_by_key(|c| c.busy()).cloned();
        }
        let standing = e.links.iter().filter(|c| c.takes(task)).count();
        let all_in_use = trusted && standing > 0;
        tracing::debug!(worker, standing, trusted, all_in_use, "a connection is opened");
        Some(self.open_to(shell, worker, e))
    }

    fn open_to(&self, shell: &Rc<Shell>, worker: WorkerId, e: &mut Executor) -> Rc<Connection> {
        let c = Rc::new(Connection::new(worker, shell.clock.now()));
        e.links.push(c.clone());
        self.open.set(self.open.get() + 1);
        shell.tasks.spawn(shell.clone().drive(c.clone(), e.address)).detach();
        c
    }

    /// Closes the connection that has been idle for longest; false where none is.
    pub(super) fn evict(&self, but: WorkerId) -> bool {
        let all = self.all.borrow();
        let links = all.iter().filter(|(id, _)| **id != but).flat_map(|(_, e)| &e.links);
        let idle = links.filter(|c| c.idle() && !c.closes());
        let oldest = idle.min_by_key(|c| c.link.borrow().last_used);
        if let Some(c) = oldest {
            c.close();
        }
        oldest.is_some()
    }

    /// What is learned of the way to an executor.
    pub(super) fn reach(&self, worker: WorkerId, learn: impl FnOnce(&mut Reachability)) {
        if let Some(e) = self.all.borrow_mut().get_mut(&worker) {
            learn(&mut e.reach);
        }
    }

    /// Bytes came from an executor: how long it took teaches what silence is worth.
    pub(super) fn word(&self, now: Time, worker: WorkerId) {
        self.reach(worker, |r| {
            if let Some(at) = r.on_received() {
                self.patience.borrow_mut().observe(now.saturating_sub(at));
            }
        });
    }

    fn mark(&self, c: Rc<Connection>) {
        if c.becomes_dirty() {
            self.dirty.borrow_mut().push(c);
        }
    }

    /// Writes what is ready, one write for each connection.
    pub(super) fn flush(&self, shell: &Rc<Shell>) {
        for c in self.dirty.take() {
            c.becomes_clean();
            shell.push_out(&c);
            c.wake_for_the_rest();
        }
    }

    /// Since when nothing new may go to an executor.
    pub(super) fn leaving(&self, worker: WorkerId) -> Option<Time> {
        self.all.borrow().get(&worker).and_then(|e| e.leaving)
    }

    /// A call was answered.
    pub(super) fn answered(&self) {
        self.sharing.borrow_mut().on_answer();
    }

    /// A connection broke under calls.
    pub(super) fn broke(&self) {
        self.sharing.borrow_mut().on_break();
    }

    /// A connection has ended, and nothing is on it any more.
    pub(super) fn ended(&self, connection: &Rc<Connection>) {
        let mut all = self.all.borrow_mut();
        if let Some(e) = all.get_mut(&connection.worker) {
            e.links.retain(|l| !Rc::ptr_eq(l, connection));
            if e.gone && e.links.is_empty() {
                all.remove(&connection.worker);
            }
        }
        self.open.set(self.open.get().saturating_sub(1));
    }

    pub(super) fn call_off(
        &self,
        shell: &Rc<Shell>,
        worker: WorkerId,
        id: &RequestId,
        attempt: u32,
        why: CancelReason,
    ) {
        let links = self.all.borrow().get(&worker).map(|e| e.links.clone()).unwrap_or_default();
        let mut ends = Vec::new();
        for c in links {
            let off = c.link.borrow_mut().cancel(id, attempt, why, &mut ends);
            match off {
                CancelResult::Unknown => continue,
                CancelResult::Cancelled => self.mark(c),
                CancelResult::PartlySent => shell.broken(&c, false),
            }
            break;
        }
        // Called off before it went out: it never ran, and is not to go out any more. Only a time-out says something of the
        // way there.
        let unsent = match why {
            CancelReason::Cancelled => Outcome::Cancelled,
            CancelReason::TimedOut => Outcome::ConnectFailed,
        };
        ends.into_iter().for_each(|end| shell.end(worker, end, unsent));
    }

    /// Nobody waits for an attempt any more: it does not begin.
    pub(super) fn withhold(&self, shell: &Shell, worker: WorkerId, id: &RequestId, attempt: u32) {
        let links = self.all.borrow().get(&worker).map(|e| e.links.clone()).unwrap_or_default();
        let mut ends = Vec::new();
        if links.iter().any(|c| c.link.borrow_mut().withhold(id, attempt, &mut ends)) {
            ends.into_iter().for_each(|end| shell.end(worker, end, Outcome::Moot));
        }
    }

    pub(super) fn close_idle(&self, worker: WorkerId) {
        if let Some(e) = self.all.borrow().get(&worker) {
            e.links.iter().filter(|c| c.idle()).for_each(|c| c.close());
        }
    }

    /// Closes what has been idle for so long that the other side might.
    pub(super) fn sweep(&self, shell: &Shell, now: Time) {
        let long = shell.transport.idle_close / 4 * 3;
        // While the list is stale, the last connection to an executor shows that its process is the one that was listed.
        let stale = !shell.freshness.borrow().is_fresh(now);
        let all = self.all.borrow();
        let mut begun = Vec::new();
        for e in all.values() {
            for c in &e.links {
                let rests = now > c.link.borrow().last_used + long && !(stale && e.links.len() == 1);
                if c.idle() && (rests || c.link.borrow().is_retired()) {
                    c.close();
                }
                begun.push((c.link.borrow().buffered_bytes(), c));
            }
        }
        // Beyond their share the longest lines go: what was sent of them so far shows no end.
        begun.sort_by_key(|(held, _)| std::cmp::Reverse(*held));
        let mut lines: usize = begun.iter().map(|(held, _)| held).sum();
        for (held, c) in begun {
            if lines <= shell.shares.line_bytes {
                break;
            }
            c.close();
            lines -= held;
        }
    }
}
