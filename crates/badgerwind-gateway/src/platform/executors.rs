//! The connections to executors: which of them takes what, when one is opened, and what its end proves.

use super::shell::{Content, Input, Shell};
use super::wire::{is_short, Wire};
use badgerwind::interface::*;
use badgerwind_driver::{AttemptEnd, CallOff, OrderId};
use badgerwind_freshness::Permit;
use badgerwind_platform::board::{Listed, News};
use badgerwind_platform::line;
use badgerwind_platform::link::{End, Link, Off, Start, Task};
use badgerwind_platform::reach::{Patience, Reach, Sharing};
use futures_lite::FutureExt;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// What goes out with an attempt, and how often it was put on a connection that broke before it was out whole.
#[derive(Clone)]
pub(super) struct Out {
    content: Rc<Content>,
    again: u8,
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

struct Executor {
    /// As discovery told of it last.
    entry: WorkerEntry,
    address: SocketAddr,
    /// Since when nothing new may go there, and whether it is gone.
    leaving: Option<Time>,
    gone: bool,
    reach: Reach,
    links: Vec<Rc<Connection>>,
}

pub(super) struct Executors {
    all: RefCell<HashMap<WorkerId, Executor>>,
    /// How long executors take to say a word.
    patience: RefCell<Patience>,
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
            patience: RefCell::new(Patience::new(patience)),
            sharing: RefCell::default(),
            pause: patience,
            open: Cell::default(),
            dirty: RefCell::default(),
            probes: Cell::default(),
        }
    }

    /// Takes in where executors are and whether they take work.
    pub(super) fn listed(&self, now: Time, news: &News) {
        let pause = self.pause;
        let mut all = self.all.borrow_mut();
        if news.kind != ListKind::Changes {
            let named = |id: &WorkerId| news.entries.iter().any(|l| l.entry.worker == *id);
            for (_, e) in all.iter_mut().filter(|(id, _)| !named(id)) {
                (e.gone, e.leaving) = (true, e.leaving.or(Some(now)));
            }
        }
        for Listed { entry, address } in &news.entries {
            let e = all.entry(entry.worker).or_insert_with(|| Executor {
                entry: entry.clone(),
                address: *address,
                leaving: None,
                gone: false,
                reach: Reach::new(pause),
                links: Vec::new(),
            });
            if e.address != *address {
                // Another machine: nothing new goes over what leads to the old one.
                e.links.iter().for_each(|c| c.retire());
                (e.address, e.reach) = (*address, Reach::new(pause));
            }
            e.entry = entry.clone();
            e.gone = entry.availability == Availability::Gone;
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
        let content = Out { content, again: 0 };
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
        let takes_orders = |c: &Rc<Connection>| {
            c.is_up() && c.door.get() == Door::Inside && c.takes(&Task::Unload(String::new()))
        };
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
        if self.open.get() >= shell.shares.executors {
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
    /// heard of the executor since something was handed over ([`Reach`]), a new connection shows first that it is there: on an
    /// old one silence would prove nothing.
    fn put(&self, shell: &Rc<Shell>, now: Time, worker: WorkerId, task: Task<Out>, anew: bool) {
        if self.is_gone(worker) {
            return shell.unsent(worker, task, Outcome::Moot);
        }
        // What must not run twice is lost with its connection; the others are tried again.
        let once = matches!(&task, Task::Attempt { content, .. } if shell.once(&content.content));
        let together = self.sharing.borrow().together(once);
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
                c.kept.set(once && together == 1);
                c.link.borrow_mut().push(now, task);
                self.mark(c);
            }
            None => {
                let outcome = match self.all.borrow().get(&worker) {
                    None => Outcome::ConnectFailed,
                    // Nothing leads there and its table is full: it turns away unseen.
                    Some(e) if !anew && !e.reach.opens(now) => Outcome::Full,
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
        if anew || !e.reach.trusted(now, self.patience.borrow().span()) {
            return None;
        }
        let pick = e.links.iter().filter(|c| c.takes(task));
        let own = pick.clone().filter(|c| c.idle()).max_by_key(|c| c.link.borrow().used);
        let shares = |c: &&Rc<Connection>| {
            c.wire.borrow().is_some() && !c.kept.get() && c.link.borrow().busy() < together
        };
        let shared = || pick.filter(shares).min_by_key(|c| c.link.borrow().busy());
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
        let opens = self.all.borrow().get(&worker)?.reach.opens(now) || anew;
        let room = opens && (self.open.get() < shell.shares.executors || self.evict(worker));
        let mut all = self.all.borrow_mut();
        let e = all.get_mut(&worker)?;
        let trusted = !anew && e.reach.trusted(now, self.patience.borrow().span());
        let shared =
            e.links.iter().filter(|c| c.takes(task) && c.link.borrow().busy() < shell.transport.streams);
        // One that is coming up proves as much as another would.
        let proof = shared.clone().find(|c| c.wire.borrow().is_none()).filter(|_| !trusted);
        if proof.is_some() {
            return proof.cloned();
        }
        if !room {
            return shared.min_by_key(|c| c.link.borrow().busy()).cloned();
        }
        let standing = e.links.iter().filter(|c| c.takes(task)).count();
        let all_in_use = trusted && standing > 0;
        tracing::debug!(worker, standing, trusted, all_in_use, "a connection is opened");
        Some(self.open_to(shell, worker, e))
    }

    fn open_to(&self, shell: &Rc<Shell>, worker: WorkerId, e: &mut Executor) -> Rc<Connection> {
        let c = Rc::new(Connection {
            worker,
            wire: RefCell::default(),
            link: RefCell::new(Link::new(shell.clock.now())),
            over: Cell::default(),
            unsent: Cell::new(Outcome::ConnectFailed),
            closing: Cell::default(),
            dirty: Cell::default(),
            door: Cell::new(Door::Unseen),
            kept: Cell::default(),
        });
        e.links.push(c.clone());
        self.open.set(self.open.get() + 1);
        shell.tasks.spawn(shell.clone().drive(c.clone(), e.address)).detach();
        c
    }

    /// Closes the connection that has been idle for longest; false where none is.
    fn evict(&self, but: WorkerId) -> bool {
        let all = self.all.borrow();
        let links = all.iter().filter(|(id, _)| **id != but).flat_map(|(_, e)| &e.links);
        let idle = links.filter(|c| c.idle() && !c.closing.get());
        let oldest = idle.min_by_key(|c| c.link.borrow().used);
        if let Some(c) = oldest {
            c.close();
        }
        oldest.is_some()
    }

    /// What is learned of the way to an executor.
    fn reach(&self, worker: WorkerId, learn: impl FnOnce(&mut Reach)) {
        if let Some(e) = self.all.borrow_mut().get_mut(&worker) {
            learn(&mut e.reach);
        }
    }

    /// Bytes came from an executor: how long it took teaches what silence is worth.
    fn word(&self, now: Time, worker: WorkerId) {
        self.reach(worker, |r| {
            if let Some(at) = r.heard() {
                self.patience.borrow_mut().word(now.saturating_sub(at));
            }
        });
    }

    fn mark(&self, c: Rc<Connection>) {
        if !c.dirty.replace(true) {
            self.dirty.borrow_mut().push(c);
        }
    }

    /// Writes what is ready, one write for each connection.
    pub(super) fn flush(&self, shell: &Rc<Shell>) {
        for c in self.dirty.take() {
            c.dirty.set(false);
            shell.push_out(&c);
            // Its task waits for the rest to go out.
            let wire = c.wire.borrow();
            if let Some(wire) = wire.as_ref().filter(|_| !c.link.borrow().out().is_empty()) {
                wire.wake();
            }
        }
    }

    pub(super) fn call_off(
        &self,
        shell: &Rc<Shell>,
        worker: WorkerId,
        id: &RequestId,
        attempt: u32,
        why: CallOff,
    ) {
        let links = self.all.borrow().get(&worker).map(|e| e.links.clone()).unwrap_or_default();
        let mut ends = Vec::new();
        for c in links {
            let off = c.link.borrow_mut().off(id, attempt, why, &mut ends);
            match off {
                Off::Unknown => continue,
                Off::Done => self.mark(c),
                Off::Cut => shell.broken(&c, false),
            }
            break;
        }
        // Called off before it went out: it never ran, and is not to go out any more. Only a time-out says something of the
        // way there.
        let unsent = match why {
            CallOff::Cancelled => Outcome::Cancelled,
            CallOff::TimedOut => Outcome::ConnectFailed,
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
        let stale = !shell.freshness.borrow().fresh(now);
        let all = self.all.borrow();
        let mut begun = Vec::new();
        for e in all.values() {
            for c in &e.links {
                let rests = now > c.link.borrow().used + long && !(stale && e.links.len() == 1);
                if c.idle() && (rests || c.link.borrow().spent()) {
                    c.close();
                }
                begun.push((c.link.borrow().held(), c));
            }
        }
        // Beyond their share the longest lines go: what was sent of them so far shows no end.
        begun.sort_by_key(|(held, _)| std::cmp::Reverse(*held));
        let mut lines: usize = begun.iter().map(|(held, _)| held).sum();
        for (held, c) in begun {
            if lines <= shell.shares.lines {
                break;
            }
            c.close();
            lines -= held;
        }
    }
}

impl Out {
    /// The function that is called.
    pub(super) fn key(&self) -> &str {
        &self.content.key
    }
}

impl Connection {
    fn is_up(&self) -> bool {
        self.wire.borrow().is_some()
    }

    /// The function of the first new work that waits on it.
    pub(super) fn first_new_work(&self) -> Option<FunctionId> {
        self.link.borrow().waiting().find_map(|task| task.new_work(Out::key)).map(FunctionId::from)
    }

    fn idle(&self) -> bool {
        self.link.borrow().busy() == 0 && self.wire.borrow().is_some()
    }

    /// Whether it takes something new.
    fn takes(&self, task: &Task<Out>) -> bool {
        let id = match task {
            Task::Attempt { id, .. } => id,
            _ => "",
        };
        !self.closing.get() && self.over.get().is_none() && self.link.borrow().takes(id)
    }

    fn close(&self) {
        self.closing.set(true);
        if let Some(wire) = &*self.wire.borrow() {
            wire.wake();
        }
    }

    /// Takes nothing new; closed at once where nothing is out on it.
    fn retire(&self) {
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
        let leaving = self.executors.all.borrow().get(&c.worker).and_then(|e| e.leaving);
        let barred = leaving.is_some_and(|at| now + MARGIN > at + self.set.drain_grace);
        let permit = if barred { Permit::Denied } else { self.permit(c, now) };
        let mut link = c.link.borrow_mut();
        link.begin(now, |task, out| self.start(now, permit, task, out), &mut ends);
        let failed = match wire.write(link.out()) {
            Ok(n) => {
                let owed = link.owed();
                link.sent(n, &mut ends);
                link.put_back(|task| task.new_work(Out::key).is_some());
                if link.owed() > owed {
                    self.executors.reach(c.worker, |r| r.asked(now));
                }
                // A call-off that cannot go out: only the end of the connection gives its attempt up now.
                link.kills()
            }
            Err(_) => true,
        };
        drop(link);
        // One that drains by discovery's word takes nothing; by its own, it was not asked.
        let unsent = if barred { Outcome::ConnectFailed } else { Outcome::Moot };
        ends.into_iter().for_each(|end| self.end(c.worker, end, unsent));
        if failed {
            self.broken(c, false);
        }
    }

    /// Appends the line of a task, where it begins now.
    fn start(&self, now: Time, permit: Permit, task: &Task<Out>, out: &mut Vec<u8>) -> Start {
        if task.new_work(Out::key).is_some() {
            match permit {
                Permit::Granted => self.freshness.borrow_mut().sent(now),
                Permit::Ask | Permit::Wait => return Start::Held,
                Permit::Denied => return Start::Dropped,
            }
        }
        if self.line(now, task, out) {
            Start::Begun
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
                line::call(out, &line::Call { id, kind, obj, ms, body });
            }
            Task::Order { order, key, copies } => {
                line::load(out, &badgerwind_platform::link::order_tag(*order), key, *copies);
            }
            Task::Question { number, key } => {
                line::load(out, &badgerwind_platform::link::question_tag(*number), key, 0);
            }
            Task::Probe(number) => line::probe(out, &badgerwind_platform::link::probe_tag(*number)),
            Task::Unload(key) => line::unload(out, key),
        }
        true
    }

    /// Whether a call must not run twice, whatever becomes of its connection.
    fn once(&self, content: &Content) -> bool {
        self.set.classes.get(content.class).is_some_and(|c| c.effect == Effect::Once)
    }

    /// It never ran.
    fn unsent(&self, worker: WorkerId, task: Task<Out>, outcome: Outcome) {
        match task {
            Task::Attempt { id, attempt, .. } => {
                self.tell(Input::AttemptEnded { id, attempt, end: AttemptEnd::plain(outcome) });
            }
            Task::Order { order, .. } => self.tell(Input::OrderEnded { order, outcome, copies: 0 }),
            Task::Probe(_) => self.tell(Input::ProbeEnded { worker, outcome, report: None }),
            Task::Question { .. } => self.freshness.borrow_mut().unanswered(worker),
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
            End::Question(Outcome::Reset) => self.freshness.borrow_mut().unanswered(worker),
            End::Question(_) => {}
            End::Unsent(task) => self.unsent(worker, task, unsent),
        }
    }

    /// A connection is over: everything on it ends. What never went out whole goes over a new one, since a connection that
    /// was up shows that the executor is there.
    fn broken(self: &Rc<Self>, c: &Rc<Connection>, spoilt: bool) {
        let was_up = c.wire.borrow().is_some();
        let mut ends = Vec::new();
        c.link.borrow_mut().broken(spoilt, &mut ends);
        c.close();
        if was_up && ends.iter().any(|e| matches!(e, End::Attempt(_, _, end) if matches!(end.outcome, Outcome::Reset | Outcome::Error))) {
            self.executors.sharing.borrow_mut().broke();
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
                self.executors.reach(c.worker, Reach::taken_in);
            }
        }
    }

    /// A connection's life.
    async fn drive(self: Rc<Self>, c: Rc<Connection>, address: SocketAddr) {
        self.connected(&c, address).await;
        // Closed by the other side, and nothing but "no" came over it: it takes no more connections.
        if c.door.get() == Door::TurnedAway && !c.closing.get() {
            let now = self.clock.now();
            tracing::debug!(
                worker = c.worker,
                "a new connection was turned away: the executor's table is full"
            );
            self.executors.reach(c.worker, |r| r.turned_away(now, fastrand::f64()));
        }
        self.broken(&c, c.over.get() == Some(Over::Spoilt));
        let was_up = c.is_up();
        *c.wire.borrow_mut() = None;
        let mut all = self.executors.all.borrow_mut();
        if let Some(e) = all.get_mut(&c.worker) {
            e.links.retain(|l| !Rc::ptr_eq(l, &c));
            if e.gone && e.links.is_empty() {
                all.remove(&c.worker);
            }
        }
        drop(all);
        self.executors.open.set(self.executors.open.get().saturating_sub(1));
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
        self.executors.reach(c.worker, |r| _ = r.heard());
        self.came_up(self.clock.now(), c);
        self.push_out(c);
        while !c.closing.get() && c.over.get().is_none() {
            let Some(wire) = c.wire.borrow().clone() else { return };
            wire.ready(true, || !c.link.borrow().out().is_empty()).await;
            if c.closing.get() || !self.stands(c) {
                return;
            }
            if !c.link.borrow().out().is_empty() {
                self.push_out(c);
            }
            if c.link.borrow().spent() && c.idle() {
                return;
            }
        }
    }

    /// Reads what has come on a connection; false where the other side has ended it.
    fn stands(self: &Rc<Self>, c: &Rc<Connection>) -> bool {
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
            let fed = c.link.borrow_mut().feed(now, &scratch[..n], &mut ends);
            drop(scratch);
            self.take_evidence(c, now, c.door.get() != Door::Unseen);
            for end in ends.drain(..) {
                if matches!(end, End::Attempt(..)) {
                    self.executors.sharing.borrow_mut().answered();
                }
                self.at_the_door(c, &end);
                self.end(c.worker, end, Outcome::ConnectFailed);
            }
            if let Err(e) = fed {
                c.over.set(Some(Over::Spoilt));
                if let Some(more) = self.complaints.answer.may(now) {
                    let worker = format_args!("s-{:08x}", c.worker);
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
            let e = match Async::<TcpStream>::connect(address).await {
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
