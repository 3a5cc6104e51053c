//! Carries out what follows from the age of the list of executors: asks them, tells the module, keeps work back.

use super::connection::{Connection, Out};
use super::shell::{Input, Shell};
use badgerwind::interface::*;
use badgerwind_freshness::source::{ConnectionEnd, Received, Transition};
use badgerwind_freshness::{Change, Evidence, Permit};
use badgerwind_platform::link::{Start, Task};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

impl Shell {
    /// Something came from service discovery, waited for since then.
    pub(super) fn discovery_heard(self: &Rc<Self>, waited_since: Time, heard: Received) {
        let changes = self.freshness.borrow_mut().on_discovery_received(waited_since, heard);
        self.apply(changes);
        self.look_at_freshness();
    }

    /// A connection to it ended.
    pub(super) fn discovery_ended(self: &Rc<Self>, how: ConnectionEnd) {
        self.freshness.borrow_mut().on_discovery_end(self.clock.now(), how);
    }

    /// Takes note where the list has become stale or fresh, and tells the log what an outage cost.
    pub(super) fn look_at_freshness(self: &Rc<Self>) {
        let (transition, changes) = self.freshness.borrow_mut().transition(self.clock.now());
        match transition {
            None => return,
            Some(Transition::Stale { age: None }) => {
                tracing::info!("service discovery has not been heard yet: work goes to executors that confirm that they take it");
            }
            Some(Transition::Stale { age: Some(age) }) => tracing::warn!(
                age_us = age,
                "the list of executors is stale: service discovery has not vouched for it; work goes to those who confirm that they take it"
            ),
            Some(Transition::Fresh { lasted }) => {
                let cost = self.freshness.borrow().outage_counters();
                tracing::info!(lasted_us = lasted, %cost, "the list of executors is fresh again");
            }
        }
        self.apply(changes);
        if matches!(transition, Some(Transition::Fresh { .. })) {
            self.executors.workers().into_iter().for_each(|worker| self.push_out_waiting(worker));
        }
    }

    /// Regular work: questions that had no answer, and executors to be asked again.
    pub(super) fn sweep_freshness(self: &Rc<Self>) {
        self.look_at_freshness();
        let now = self.clock.now();
        let changes = self.freshness.borrow_mut().expire_questions(now);
        self.apply(changes);
        let repeats = self.freshness.borrow_mut().due_repeats(now);
        for (worker, function) in repeats {
            if let Some(connection) = self.executors.proven(worker) {
                self.ask(&connection, now, function);
                self.push_out(&connection);
            }
        }
        // Whatever ended the wait of work, it waits no longer than until now.
        self.executors.workers().into_iter().for_each(|worker| self.push_out_waiting(worker));
        self.report_cost(now);
    }

    /// Tells the log now and then what an outage has cost so far.
    fn report_cost(&self, now: Time) {
        let freshness = self.freshness.borrow();
        if freshness.is_fresh(now) {
            return;
        }
        if self.complaints.outage.may(now).is_some() {
            tracing::info!(cost = %freshness.outage_counters(), "the list of executors is stale");
        }
    }

    /// Whether new work that waits on a connection may go out now. Where its executor is to be asked first, the question is
    /// put in line.
    pub(super) fn permit(self: &Rc<Self>, connection: &Rc<Connection>, now: Time) -> Permit {
        if !connection.has_new_work() {
            return Permit::Granted;
        }
        let permit = self.freshness.borrow_mut().permit(now, connection.worker);
        let function = if permit == Permit::Ask { connection.first_new_work() } else { None };
        let Some(function) = function else { return permit };
        // Over a new one a refusal could be for want of room in the executor's table of connections.
        let proven = self.executors.proven(connection.worker);
        let other = proven.filter(|other| !Rc::ptr_eq(other, connection));
        self.ask(other.as_ref().unwrap_or(connection), now, function);
        if let Some(other) = other {
            self.push_out(&other);
        }
        Permit::Wait
    }

    fn ask(&self, connection: &Connection, now: Time, function: FunctionId) {
        let mut freshness = self.freshness.borrow_mut();
        let mut link = connection.link.borrow_mut();
        if freshness.asks_by_order() {
            let number = self.executors.next_number();
            link.push(now, Task::OrderQuestion { number, key: function.to_string() });
        }
        let number = self.executors.next_number();
        link.push(now, Task::ProbeQuestion { number });
        freshness.on_questions_queued(now, connection.worker, function);
        tracing::debug!(worker = %name(connection.worker), "an executor is asked whether it takes work");
    }

    /// Takes in what the answers over a connection prove. `proven`: something was taken in over it before them.
    pub(super) fn take_evidence(self: &Rc<Self>, connection: &Connection, now: Time, proven: bool) {
        let evidence = connection.link.borrow_mut().take_evidence();
        if evidence.is_empty() {
            return;
        }
        let worker = connection.worker;
        for evidence in evidence {
            let changes = self.freshness.borrow_mut().on_evidence(now, worker, evidence, proven);
            if evidence == Evidence::WorkRejected {
                self.complain_of_refusal(now, worker);
            }
            self.apply(changes);
            if matches!(evidence, Evidence::Confirmed { .. }) {
                self.push_out_waiting(worker);
            }
        }
    }

    fn complain_of_refusal(&self, now: Time, worker: WorkerId) {
        if self.freshness.borrow().is_fresh(now) {
            return;
        }
        if let Some(more) = self.complaints.turned_away.may(now) {
            tracing::warn!(worker = %name(worker), more, "an executor turned work away while the list of executors is stale");
        }
    }

    /// Carries out what follows for the module.
    pub(super) fn apply(self: &Rc<Self>, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::OutOfService(worker) => {
                    tracing::info!(worker = %name(worker), "an executor takes no new work: it drains, or nobody listens there");
                    self.relist(worker, Some(Availability::Draining));
                    self.give_up_waiting(worker, Outcome::Moot);
                }
                Change::AsListed(worker) => {
                    tracing::info!(worker = %name(worker), "an executor counts as service discovery told");
                    self.relist(worker, None);
                }
                Change::PresumedRestarted(worker) => {
                    tracing::info!(worker = %name(worker), "an executor counts as just started: nothing shows that its process is the one of before");
                    self.tell(Input::PresumedRestart { worker });
                }
                Change::Reroute { worker, outcome } => {
                    tracing::debug!(worker = %name(worker), ?outcome, "an executor did not confirm that it takes work");
                    self.give_up_waiting(worker, outcome);
                }
            }
        }
    }

    /// Tells the module of an executor as it is listed, or with another availability.
    fn relist(&self, worker: WorkerId, availability: Option<Availability>) {
        let Some(mut entry) = self.executors.entry(worker) else { return };
        entry.availability = availability.unwrap_or(entry.availability);
        self.tell(Input::List { kind: ListKind::Changes, entries: vec![entry] });
    }

    /// New work that waits for an executor's answer goes another way.
    fn give_up_waiting(&self, worker: WorkerId, outcome: Outcome) {
        let now = self.clock.now();
        for connection in self.executors.connections(worker) {
            let mut ends = Vec::new();
            let drop_new_work = |task: &Task<Out>| match task.new_work(Out::key) {
                Some(_) => Start::Dropped,
                None => Start::Deferred,
            };
            connection.link.borrow_mut().start_queued(now, |task, _| drop_new_work(task), &mut ends);
            ends.into_iter().for_each(|end| self.end(worker, end, outcome));
        }
    }

    /// What waited for an answer goes out on each connection of the executor.
    pub(super) fn push_out_waiting(self: &Rc<Self>, worker: WorkerId) {
        for connection in self.executors.connections(worker) {
            if connection.has_new_work() {
                self.push_out(&connection);
            }
        }
    }

    /// A connection has come up.
    pub(super) fn came_up(&self, now: Time, connection: &Rc<Connection>) {
        if self.executors.stands_alone(connection) {
            self.freshness.borrow_mut().on_connected(now, connection.worker);
        }
    }

    /// An executor's address refused a connection.
    pub(super) fn refused(self: &Rc<Self>, connection: &Rc<Connection>) {
        if self.executors.stands_alone(connection) {
            let now = self.clock.now();
            let changes = self.freshness.borrow_mut().on_connection_refused(now, connection.worker);
            self.apply(changes);
        }
    }

    /// A connection that was up has ended.
    pub(super) fn went_down(self: &Rc<Self>, connection: &Rc<Connection>) {
        let worker = connection.worker;
        if !self.executors.stands_alone(connection) {
            return;
        }
        let now = self.clock.now();
        let after = self.freshness.borrow_mut().on_disconnected(now, worker, fastrand::f64());
        let Some(after) = after.filter(|_| !self.stopping.get()) else { return };
        let shell = self.clone();
        let reconnect = async move {
            Timer::after(Duration::from_micros(after)).await;
            shell.executors.connect(&shell, worker);
        };
        self.tasks.spawn(reconnect).detach();
    }
}

/// An executor's name, as discovery writes it.
pub(super) fn name(worker: WorkerId) -> impl std::fmt::Display {
    struct Name(WorkerId);
    impl std::fmt::Display for Name {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            write!(f, "s-{:08x}", self.0)
        }
    }
    Name(worker)
}
