//! Acts on the age of the list of executors: asks executors whether they accept work, informs the module and
//! defers work.

use super::connection::{CallContent, Connection};
use super::runtime::{Input, Runtime};
use badgerwind::interface::*;
use badgerwind_freshness::source::{ConnectionEnd, Received, Transition};
use badgerwind_freshness::{Change, Evidence, Permit};
use badgerwind_platform::link::Task;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

impl Runtime {
    /// Records data from service discovery, which had been awaited since `waiting_since`.
    pub(super) fn on_discovery_received(self: &Rc<Self>, waiting_since: Time, received: Received) {
        let changes = self.freshness.borrow_mut().on_discovery_received(waiting_since, received);
        self.apply(changes);
        self.check_freshness();
    }

    /// Records the end of a connection to service discovery.
    pub(super) fn on_discovery_end(self: &Rc<Self>, end: ConnectionEnd) {
        self.freshness.borrow_mut().on_discovery_end(self.clock.now(), end);
    }

    /// Checks whether the list has become stale or fresh, and logs the effects of an outage.
    pub(super) fn check_freshness(self: &Rc<Self>) {
        let (transition, changes) = self.freshness.borrow_mut().transition(self.clock.now());
        match transition {
            None => return,
            Some(Transition::Stale { age: None }) => {
                tracing::info!("nothing received from service discovery yet: work is sent only to executors that confirm that they accept it");
            }
            Some(Transition::Stale { age: Some(age) }) => tracing::warn!(
                age_us = age,
                "the list of executors is stale: service discovery has not confirmed it; work is sent only to executors that confirm that they accept it"
            ),
            Some(Transition::Fresh { lasted }) => {
                let cost = self.freshness.borrow().outage_counters();
                tracing::info!(lasted_us = lasted, %cost, "the list of executors is fresh again");
            }
        }
        self.apply(changes);
        if matches!(transition, Some(Transition::Fresh { .. })) {
            self.executors.workers().into_iter().for_each(|worker| self.write_waiting_work(worker));
        }
    }

    /// Periodic maintenance: expires unanswered questions, and repeats questions that are due.
    pub(super) fn maintain_freshness(self: &Rc<Self>) {
        self.check_freshness();
        let now = self.clock.now();
        let changes = self.freshness.borrow_mut().expire_questions(now);
        self.apply(changes);
        let repeats = self.freshness.borrow_mut().due_repeats(now);
        for (worker, function) in repeats {
            if let Some(connection) = self.executors.accepted_connection(worker) {
                self.ask(&connection, now, function);
                self.write_queued(&connection);
            }
        }
        // Work whose wait ended in any other way is sent here at the latest.
        self.executors.workers().into_iter().for_each(|worker| self.write_waiting_work(worker));
        self.log_outage_counters(now);
    }

    /// Logs the effects of an outage so far, at a limited rate.
    fn log_outage_counters(&self, now: Time) {
        let freshness = self.freshness.borrow();
        if freshness.is_fresh(now) {
            return;
        }
        if self.log_limits.outage.allow(now).is_some() {
            tracing::info!(cost = %freshness.outage_counters(), "the list of executors is stale");
        }
    }

    /// Whether new work queued on a connection may be sent now. If the executor must be asked first, the
    /// question is queued.
    pub(super) fn permit(self: &Rc<Self>, connection: &Rc<Connection>, now: Time) -> Permit {
        if !connection.has_new_work() {
            return Permit::Granted;
        }
        let permit = self.freshness.borrow_mut().permit(now, connection.worker);
        let function = if permit == Permit::Ask { connection.first_new_work() } else { None };
        let Some(function) = function else { return permit };
        // On a new connection, a rejection could also mean that the executor's connection table is full.
        let accepted = self.executors.accepted_connection(connection.worker);
        let other = accepted.filter(|other| !Rc::ptr_eq(other, connection));
        self.ask(other.as_ref().unwrap_or(connection), now, function);
        if let Some(other) = other {
            self.write_queued(&other);
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
        tracing::debug!(worker = %executor_name(connection.worker), "asking an executor whether it accepts work");
    }

    /// Processes the evidence from answers on a connection. `accepted`: the executor had accepted the
    /// connection before.
    pub(super) fn take_evidence(self: &Rc<Self>, connection: &Connection, now: Time, accepted: bool) {
        let evidence = connection.link.borrow_mut().take_evidence();
        if evidence.is_empty() {
            return;
        }
        let worker = connection.worker;
        for evidence in evidence {
            let changes = self.freshness.borrow_mut().on_evidence(now, worker, evidence, accepted);
            if evidence == Evidence::WorkRejected {
                self.log_rejected_work(now, worker);
            }
            self.apply(changes);
            if matches!(evidence, Evidence::Confirmed { .. }) {
                self.write_waiting_work(worker);
            }
        }
    }

    fn log_rejected_work(&self, now: Time, worker: WorkerId) {
        if self.freshness.borrow().is_fresh(now) {
            return;
        }
        if let Some(more) = self.log_limits.rejected_work.allow(now) {
            tracing::warn!(worker = %executor_name(worker), more, "an executor rejected work while the list of executors is stale");
        }
    }

    /// Applies changes of an executor's state, most of which concern the module.
    pub(super) fn apply(self: &Rc<Self>, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::OutOfService(worker) => {
                    tracing::info!(worker = %executor_name(worker), "an executor takes no new work: it drains, or nobody listens there");
                    self.send_entry(worker, Some(Availability::Draining));
                    self.drop_waiting_work(worker, Outcome::Moot);
                }
                Change::AsListed(worker) => {
                    tracing::info!(worker = %executor_name(worker), "an executor counts as listed by service discovery again");
                    self.send_entry(worker, None);
                }
                Change::PresumedRestarted(worker) => {
                    tracing::info!(worker = %executor_name(worker), "an executor counts as restarted: nothing shows that its process is still the same");
                    self.send_input(Input::PresumedRestart { worker });
                }
                Change::Reroute { worker, outcome } => {
                    tracing::debug!(worker = %executor_name(worker), ?outcome, "an executor did not confirm that it accepts work");
                    self.drop_waiting_work(worker, outcome);
                }
            }
        }
    }

    /// Sends the module an executor's list entry, optionally with another availability.
    fn send_entry(&self, worker: WorkerId, availability: Option<Availability>) {
        let Some(mut entry) = self.executors.entry(worker) else { return };
        entry.availability = availability.unwrap_or(entry.availability);
        self.send_input(Input::List { kind: ListKind::Changes, entries: vec![entry] });
    }

    /// Drops queued new work that waits for an executor's answer, so that it goes to another executor.
    fn drop_waiting_work(&self, worker: WorkerId, outcome: Outcome) {
        for connection in self.executors.connections(worker) {
            let mut ends = Vec::new();
            let is_new_work = |task: &Task<CallContent>| task.new_work(CallContent::key).is_some();
            connection.link.borrow_mut().remove_queued(is_new_work, &mut ends);
            ends.into_iter().for_each(|end| self.report_end(worker, end, outcome));
        }
    }

    /// Sends the work that waited for an answer on each connection of the executor.
    pub(super) fn write_waiting_work(self: &Rc<Self>, worker: WorkerId) {
        for connection in self.executors.connections(worker) {
            if connection.has_new_work() {
                self.write_queued(&connection);
            }
        }
    }

    /// Handles a connection that was established.
    pub(super) fn on_connected(&self, now: Time, connection: &Rc<Connection>) {
        if self.executors.is_only_connection(connection) {
            self.freshness.borrow_mut().on_connected(now, connection.worker);
        }
    }

    /// Handles a connection that the executor's address refused.
    pub(super) fn on_connection_refused(self: &Rc<Self>, connection: &Rc<Connection>) {
        if self.executors.is_only_connection(connection) {
            let now = self.clock.now();
            let changes = self.freshness.borrow_mut().on_connection_refused(now, connection.worker);
            self.apply(changes);
        }
    }

    /// Handles the end of an established connection; reconnects if the executor must stay connected.
    pub(super) fn on_disconnected(self: &Rc<Self>, connection: &Rc<Connection>) {
        let worker = connection.worker;
        if !self.executors.is_only_connection(connection) {
            return;
        }
        let now = self.clock.now();
        let after = self.freshness.borrow_mut().on_disconnected(now, worker, fastrand::f64());
        let Some(after) = after.filter(|_| !self.stopping.get()) else { return };
        let runtime = self.clone();
        let reconnect = async move {
            Timer::after(Duration::from_micros(after)).await;
            runtime.executors.connect(&runtime, worker);
        };
        self.tasks.spawn(reconnect).detach();
    }
}

/// An executor's name in the notation of service discovery.
pub(super) fn executor_name(worker: WorkerId) -> impl std::fmt::Display {
    struct Name(WorkerId);
    impl std::fmt::Display for Name {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            write!(f, "s-{:08x}", self.0)
        }
    }
    Name(worker)
}
