//! Which executors may get new work, and what their own answers prove while service discovery is unreachable.
//!
//! While the list is stale, a front end sends questions to an executor before it sends work: a probe, and a
//! load order for zero copies, which only asks how many are loaded.
//!
//! - A positive answer to the probe shows that the executor accepted work at some time after the first byte
//!   of the probe was sent. A drain that begins later counts as announced then at the earliest, and sends may
//!   go on for the grace period. So the answer is valid for the grace period from that first byte on, however
//!   late it arrives. Nothing else confirms an executor: a draining one may still serve calls, accept load
//!   orders and answer an order for zero copies. The order is sent nevertheless, because a rejection of it is
//!   a veto.
//! - A negative answer to the probe, or a rejected order for zero copies, which cannot be due to a lack of
//!   room, shows that the executor accepts no work. A rejected call may be due to a full queue as well; it
//!   only ends an earlier confirmation.
//! - An address does not identify a process. If a connection is refused, nothing is sent until discovery
//!   announces which executor is there. If the last connection ended and a new one is established only later,
//!   or if the machine was unresponsive in between, the process may have been restarted, and counts as cold
//!   (without loaded copies).

use crate::counters::Counters;
use crate::record::{Inquiry, Record, Service};
use crate::source::{ConnectionEnd, Received, SourceMonitor, Transition};
use badgerwind::interface::{FunctionId, Micros, Outcome, Time, WorkerId};
use std::collections::{BTreeSet, HashMap, HashSet};

/// Subtracted from the grace period, to allow for the time between reading the clock and sending the first
/// byte.
const SEND_MARGIN: Micros = 10_000;
/// Minimum validity of a confirmation, for very short grace periods: half of the 50 ms by which the protocol
/// extends each limit.
const MIN_VALIDITY: Micros = 25_000;
/// Minimum time between the end of a process's connections and the start of another one in its place.
const MIN_REPLACEMENT_TIME: Micros = 500_000;
/// Maximum delay before reconnecting to an executor whose last connection ended.
const MAX_RECONNECT_DELAY: Micros = 200_000;
/// Maximum time in which discovery detects that an executor is unreachable.
const MAX_DETECTION_TIME: Micros = 10_000_000;
/// Minimum pause after consecutive rejected calls; it doubles with each further one.
const MIN_REJECTION_PAUSE: Micros = 250_000;
/// Maximum pause after consecutive rejected calls.
const MAX_REJECTION_PAUSE: Micros = 4_000_000;
/// Maximum time from a start to the first frame from discovery, if it is reachable: it sends a frame each
/// second.
const MAX_FIRST_LIST_TIME: Micros = 1_500_000;
/// Pause after an inconclusive answer to a question.
const INCONCLUSIVE_PAUSE: Micros = 100_000;
/// Pause before an executor that denied accepting work is asked again; it doubles with each further denial.
const MIN_DENIAL_PAUSE: Micros = 1_000_000;
/// Maximum number of doublings of [`MIN_DENIAL_PAUSE`].
const MAX_DENIAL_DOUBLINGS: u32 = 10;
/// Maximum rate, in questions per second, at which all front ends together ask a draining executor again.
const REPEATED_QUESTIONS_PER_SECOND: u64 = 8;
const SECOND: Micros = 1_000_000;

/// Settings of the state machine.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessSettings {
    /// Grace period in which sends to a draining executor must end.
    pub drain_grace: Micros,
    /// Time after which a question counts as unanswered.
    pub answer_timeout: Micros,
    /// Whether probes may be sent.
    pub may_probe: bool,
    /// Whether load orders may be sent.
    pub may_order: bool,
    /// Number of front ends in the tier.
    pub front_ends: u32,
    /// A random number from 0 to 1, drawn once for this front end, so that front ends do not act in step.
    pub jitter: f64,
}

/// Whether new work may be sent to an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may be sent.
    Granted,
    /// Not before questions are answered that are to be sent now.
    Ask,
    /// Not before the questions under way are answered.
    Wait,
    /// No: the work ends unsent with this outcome, and may be sent to another executor.
    Denied(Outcome),
}

/// What an answer of an executor proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It served a call: the process is alive, but may be draining.
    Served,
    /// It rejected a call.
    WorkRejected,
    /// It gave a positive answer to a question.
    Confirmed {
        /// When the first byte of the question was sent, or earlier.
        since: Time,
        /// Number of copies of the function asked about, if the answer contains it.
        copies: Option<u32>,
    },
    /// It gave a negative answer to a probe.
    Denied,
    /// It rejected a question.
    QuestionRejected,
    /// It gave an answer to a question from which nothing follows.
    Inconclusive,
}

/// A consequence that the runtime has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The executor gets no new work, as if discovery had announced that it drains. Work that waits for it
    /// may be sent to another one.
    OutOfService(WorkerId),
    /// What discovery announced about it is valid again.
    AsListed(WorkerId),
    /// Its process is presumed to have just restarted.
    PresumedRestarted(WorkerId),
    /// Work that waits for its answer ends unsent, and may be sent to another executor.
    Reroute {
        /// The executor.
        worker: WorkerId,
        /// The outcome of that work.
        outcome: Outcome,
    },
}

/// What a front end knows about the executors, and how current it is.
#[derive(Clone, Debug)]
pub struct Freshness {
    settings: FreshnessSettings,
    started: Time,
    source: SourceMonitor,
    /// Executors that discovery has listed and not removed. Nothing is stored about others.
    listed: HashSet<WorkerId>,
    records: HashMap<WorkerId, Record>,
    /// Executors for which [`Record::deviates`] is true.
    deviating: BTreeSet<WorkerId>,
    /// Executors with questions under way.
    inquiring: BTreeSet<WorkerId>,
    counters: Counters,
    /// The counters when the list last became stale.
    counters_before: Counters,
}

impl Freshness {
    /// Creates the state without any executors, and without a confirmation of the list by discovery.
    pub fn new(now: Time, settings: FreshnessSettings) -> Freshness {
        // The deadline is the start of the grace period; half of that is left for the questions.
        let jitter = (settings.drain_grace as f64 / 2.0 * settings.jitter.clamp(0.0, 1.0)) as Micros;
        Freshness {
            settings,
            started: now,
            source: SourceMonitor::new(jitter),
            listed: HashSet::new(),
            records: HashMap::new(),
            deviating: BTreeSet::new(),
            inquiring: BTreeSet::new(),
            counters: Counters::default(),
            counters_before: Counters::default(),
        }
    }

    /// Whether discovery's list may be relied on.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.source.is_fresh(now)
    }

    /// Number of executors about which something is stored.
    pub fn tracked(&self) -> usize {
        self.listed.len().max(self.records.len()).max(self.deviating.len()).max(self.inquiring.len())
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counters since the list last became stale.
    pub fn outage_counters(&self) -> Counters {
        self.counters.since(&self.counters_before)
    }

    // ---- Discovery ----

    /// Records that something was received from discovery, see [`SourceMonitor::on_received`]. Deviations
    /// that discovery has had the time to notice are dropped in favour of what it announced.
    pub fn on_discovery_received(&mut self, waited_since: Time, received: Received) -> Vec<Change> {
        let was_stale = self.source.reported_stale();
        self.source.on_received(waited_since, received);
        if received != Received::UpToDate || was_stale {
            return Vec::new(); // the end of an outage is handled by `transition`
        }
        let detected = |worker: &WorkerId| {
            let since = self.records.get(worker).and_then(|record| record.disconnected_at);
            since.is_some_and(|since| since + MAX_DETECTION_TIME < waited_since)
        };
        let detected: Vec<WorkerId> = self.deviating.iter().copied().filter(detected).collect();
        detected.into_iter().filter_map(|worker| self.relist(worker)).collect()
    }

    /// Records that a connection to discovery ended.
    pub fn on_discovery_end(&mut self, now: Time, end: ConnectionEnd) {
        self.source.on_connection_end(now, end);
    }

    /// Records that discovery has another address from now on.
    pub fn on_discovery_address_change(&mut self, now: Time) {
        self.source.on_address_change(now);
    }

    /// Records that discovery announced an executor. If it was removed, everything stored about it is
    /// dropped.
    pub fn on_listed(&mut self, worker: WorkerId, removed: bool) {
        self.deviating.remove(&worker);
        if removed {
            self.listed.remove(&worker);
            self.records.remove(&worker);
            self.inquiring.remove(&worker);
            return;
        }
        self.listed.insert(worker);
        if let Some(record) = self.records.get_mut(&worker) {
            *record = record.as_listed(false);
        }
    }

    /// Records that discovery announced a whole list: executors that are not in it were removed.
    pub fn on_full_list(&mut self, listed: &BTreeSet<WorkerId>) {
        self.listed.retain(|worker| listed.contains(worker));
        self.records.retain(|worker, _| listed.contains(worker));
        self.deviating.retain(|worker| listed.contains(worker));
        self.inquiring.retain(|worker| listed.contains(worker));
    }

    /// The change of the list between fresh and stale since the last call, and the consequences for
    /// executors.
    pub fn transition(&mut self, now: Time) -> (Option<Transition>, Vec<Change>) {
        let transition = self.source.transition(now);
        let changes = match transition {
            None => Vec::new(),
            Some(Transition::Stale { .. }) => {
                self.counters.outages += 1;
                self.counters_before = self.counters;
                self.take_unidentified_out_of_service()
            }
            Some(Transition::Fresh { .. }) => {
                let deviating = self.deviating.clone();
                deviating.into_iter().filter_map(|worker| self.relist(worker)).collect()
            }
        };
        (transition, changes)
    }

    /// Takes executors out of service whose address has recently refused a connection: discovery has not had
    /// the time to announce which process is there.
    fn take_unidentified_out_of_service(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        for worker in &self.deviating {
            let Some(record) = self.records.get_mut(worker) else { continue };
            if record.service == Service::Unidentified && !record.reported_out_of_service {
                record.reported_out_of_service = true;
                self.counters.unidentified += 1;
                changes.push(Change::OutOfService(*worker));
            }
        }
        changes
    }

    /// Returns to what discovery announced about an executor. One that itself answered that it drains must
    /// first confirm that it accepts work.
    fn relist(&mut self, worker: WorkerId) -> Option<Change> {
        self.deviating.remove(&worker);
        let record = self.records.get_mut(&worker)?;
        let view_differs = record.module_view_differs();
        let needs_confirmation = record.needs_confirmation || record.service == Service::Draining;
        *record = record.as_listed(needs_confirmation);
        view_differs.then_some(Change::AsListed(worker))
    }

    /// The record of an executor, if it is listed.
    fn listed_record(&mut self, worker: WorkerId) -> Option<&mut Record> {
        self.listed.contains(&worker).then(|| self.records.entry(worker).or_default())
    }

    // ---- Work ----

    /// Whether new work may be sent to an executor now.
    pub fn permit(&mut self, now: Time, worker: WorkerId) -> Permit {
        let fresh = self.source.is_fresh(now);
        let Some(record) = self.records.get(&worker) else {
            return if fresh { Permit::Granted } else { self.ask_or_wait(now) };
        };
        if record.service == Service::Draining {
            return Permit::Denied(Outcome::Moot);
        }
        if fresh && !record.needs_confirmation {
            return Permit::Granted;
        }
        if record.service == Service::Unidentified {
            return Permit::Denied(Outcome::Moot);
        }
        if now < record.paused_until {
            return Permit::Denied(Outcome::Full);
        }
        if record.confirmed_within(now, self.validity()) && !record.maybe_replaced {
            return Permit::Granted;
        }
        if record.awaits_answer(now, self.settings.answer_timeout) {
            return Permit::Wait;
        }
        self.ask_or_wait(now)
    }

    fn ask_or_wait(&self, now: Time) -> Permit {
        if self.settings.may_probe {
            Permit::Ask
        } else if now < self.started + MAX_FIRST_LIST_TIME {
            Permit::Wait
        } else {
            Permit::Denied(Outcome::Moot)
        }
    }

    /// Whether an order for zero copies is to be sent with the probe.
    pub fn asks_by_order(&self) -> bool {
        self.settings.may_order
    }

    /// How long a confirmation is valid, from the first byte of the probe on.
    fn validity(&self) -> Micros {
        self.settings.drain_grace.saturating_sub(SEND_MARGIN).max(MIN_VALIDITY)
    }

    /// Records that the first byte of a call or load order is sent.
    pub fn on_work_sent(&mut self, now: Time) {
        if !self.source.is_fresh(now) {
            self.counters.sent_while_stale += 1;
        }
    }

    /// Records that the questions to an executor were queued. `function` is one that clients have called.
    pub fn on_questions_queued(&mut self, now: Time, worker: WorkerId, function: FunctionId) {
        let pending = 1 + u32::from(self.asks_by_order());
        let Some(record) = self.listed_record(worker) else { return };
        record.inquiry = Some(Inquiry { asked: now, pending, since: None, copies: None });
        record.function = Some(function);
        self.inquiring.insert(worker);
        self.counters.questions += u64::from(pending);
    }

    /// Records that a question ended without an answer.
    pub fn on_question_unanswered(&mut self, worker: WorkerId) {
        self.inquiring.remove(&worker);
        let inquiry = self.records.get_mut(&worker).and_then(|record| record.inquiry.take());
        if inquiry.is_some() {
            self.counters.unanswered += 1;
        }
    }

    /// Ends the questions that were not answered in time, and returns the consequences.
    pub fn expire_questions(&mut self, now: Time) -> Vec<Change> {
        let timeout = self.settings.answer_timeout;
        let expired = |worker: &WorkerId| {
            let inquiry = self.records.get(worker).and_then(|record| record.inquiry);
            inquiry.is_some_and(|inquiry| now >= inquiry.asked + timeout)
        };
        let expired: Vec<WorkerId> = self.inquiring.iter().copied().filter(expired).collect();
        let give_up = |worker: WorkerId| {
            self.on_question_unanswered(worker);
            self.records.entry(worker).and_modify(|record| record.unresponsive = true);
            Change::Reroute { worker, outcome: Outcome::ConnectFailed }
        };
        expired.into_iter().map(give_up).collect()
    }

    /// The draining executors that are to be asked again now, each with the function to ask about.
    pub fn due_repeats(&mut self, now: Time) -> Vec<(WorkerId, FunctionId)> {
        let due = |worker: &WorkerId| {
            let record = self.records.get(worker)?;
            let due =
                record.service == Service::Draining && record.inquiry.is_none() && now >= record.paused_until;
            record.function.clone().filter(|_| due).map(|function| (*worker, function))
        };
        self.deviating.iter().filter_map(due).collect()
    }

    /// Records what an answer proves. `proven` tells whether the executor had accepted something on the
    /// connection before, so that a rejection is not due to its full connection table.
    pub fn on_evidence(
        &mut self,
        now: Time,
        worker: WorkerId,
        evidence: Evidence,
        proven: bool,
    ) -> Vec<Change> {
        let fresh = self.source.is_fresh(now);
        match evidence {
            Evidence::Served => {
                if let Some(record) = self.listed_record(worker) {
                    (record.rejected, record.unresponsive, record.has_answered) = (0, false, true);
                }
                Vec::new()
            }
            Evidence::WorkRejected => {
                self.work_rejected(now, fresh, worker, proven);
                Vec::new()
            }
            Evidence::Confirmed { since, copies } => self.answer_confirmed(now, worker, since, copies),
            Evidence::Denied => self.denied(now, fresh, worker),
            Evidence::QuestionRejected if proven => self.denied(now, fresh, worker),
            Evidence::QuestionRejected | Evidence::Inconclusive => self.inconclusive(now, worker),
        }
    }

    /// Handles an answer to a question from which nothing follows.
    fn inconclusive(&mut self, now: Time, worker: WorkerId) -> Vec<Change> {
        self.on_question_unanswered(worker);
        let Some(record) = self.listed_record(worker) else { return Vec::new() };
        record.paused_until = now + INCONCLUSIVE_PAUSE;
        vec![Change::Reroute { worker, outcome: Outcome::Full }]
    }

    /// Counts a positive answer to a question. The executor is confirmed once all questions are answered.
    fn answer_confirmed(
        &mut self,
        now: Time,
        worker: WorkerId,
        since: Time,
        copies: Option<u32>,
    ) -> Vec<Change> {
        let Some(record) = self.records.get_mut(&worker) else { return Vec::new() };
        let Some(inquiry) = record.inquiry.as_mut().filter(|inquiry| since >= inquiry.asked) else {
            return Vec::new(); // the answer to an earlier inquiry that was given up
        };
        inquiry.pending = inquiry.pending.saturating_sub(1);
        inquiry.since = Some(inquiry.since.map_or(since, |earlier| earlier.min(since)));
        inquiry.copies = inquiry.copies.or(copies);
        let (pending, since, copies) = (inquiry.pending, inquiry.since.unwrap_or(since), inquiry.copies);
        if pending > 0 {
            return Vec::new();
        }
        record.inquiry = None;
        record.denials = 0;
        self.inquiring.remove(&worker);
        self.confirmed(now, worker, since, copies)
    }

    fn confirmed(&mut self, now: Time, worker: WorkerId, since: Time, copies: Option<u32>) -> Vec<Change> {
        let fresh = self.source.is_fresh(now);
        let Some(record) = self.records.get_mut(&worker) else { return Vec::new() };
        record.rejected = 0;
        if record.service == Service::Unidentified && !fresh {
            return Vec::new(); // a process that discovery has not announced
        }
        record.confirmed_at = record.confirmed_at.max(Some(since));
        (record.unresponsive, record.needs_confirmation) = (false, false);
        let service = std::mem::take(&mut record.service);
        record.maybe_replaced |= service == Service::Unidentified;
        // If the list may be older than the process, and its first answer says that it has no copy of a
        // called function, the process may have just started. Shortly after a start of the front end this is
        // not presumed, because discovery's first frame has yet to arrive and contains restarts.
        let list_of_unknown_age = !self.source.ever_confirmed() && now >= self.started + MAX_FIRST_LIST_TIME;
        let has_answered = std::mem::replace(&mut record.has_answered, true);
        let mut changes = Vec::new();
        let returns = service == Service::Draining && std::mem::take(&mut record.reported_out_of_service);
        if returns {
            changes.push(Change::AsListed(worker));
        }
        // While the list is fresh, discovery announces restarts itself. A presumed restart is reported again
        // after a drain.
        let empty_newcomer = list_of_unknown_age && !has_answered && copies == Some(0);
        if !fresh && (record.maybe_replaced || empty_newcomer || returns && record.reported_restarted) {
            // Waiting work was assigned when the executor counted as warm.
            let reroute = record.maybe_replaced;
            (record.reported_restarted, record.maybe_replaced, record.disconnected_at) = (true, false, None);
            self.counters.restarted += 1;
            changes.push(Change::PresumedRestarted(worker));
            if reroute {
                changes.push(Change::Reroute { worker, outcome: Outcome::Moot });
            }
        }
        self.update_deviation(worker);
        changes
    }

    fn work_rejected(&mut self, now: Time, fresh: bool, worker: WorkerId, proven: bool) {
        if fresh {
            return;
        }
        self.counters.rejected_while_stale += 1;
        if !proven {
            return; // may be due to a full connection table
        }
        let Some(record) = self.listed_record(worker) else { return };
        record.confirmed_at = None;
        if record.rejected > 0 {
            let pause = MIN_REJECTION_PAUSE << (record.rejected - 1).min(8);
            record.paused_until = now + pause.min(MAX_REJECTION_PAUSE);
        }
        record.rejected += 1;
    }

    fn denied(&mut self, now: Time, fresh: bool, worker: WorkerId) -> Vec<Change> {
        let shared_interval = u64::from(self.settings.front_ends) * SECOND / REPEATED_QUESTIONS_PER_SECOND;
        let jitter = self.settings.jitter;
        self.inquiring.remove(&worker);
        let Some(record) = self.listed_record(worker) else { return Vec::new() };
        record.inquiry = None;
        if fresh && !record.needs_confirmation && record.service != Service::Draining {
            // A rejected order that renews copies, for example. While the list is fresh, discovery announces
            // drains.
            return Vec::new();
        }
        record.service = Service::Draining;
        (record.confirmed_at, record.has_answered) = (None, true);
        let doubled = MIN_DENIAL_PAUSE << record.denials.min(MAX_DENIAL_DOUBLINGS);
        let pause = doubled.min(shared_interval.max(MIN_DENIAL_PAUSE));
        record.paused_until = now + pause + (pause as f64 * jitter) as Micros;
        record.denials += 1;
        let already_reported = std::mem::replace(&mut record.reported_out_of_service, true);
        self.deviating.insert(worker);
        if already_reported {
            return Vec::new();
        }
        self.counters.draining += 1;
        vec![Change::OutOfService(worker)]
    }

    // ---- Connections ----

    /// Records that the last connection to an executor has ended. While the list is stale, returns after
    /// which time to reconnect: a connection established soon shows that the process is still there, a later
    /// one might lead to its successor. This happens only once until the executor confirms again, so that a
    /// front end does not reconnect endlessly to an executor that closes all connections. `jitter` is a fresh
    /// random number from 0 to 1, so that front ends do not reconnect in step.
    pub fn on_disconnected(&mut self, now: Time, worker: WorkerId, jitter: f64) -> Option<Micros> {
        let fresh = self.source.is_fresh(now);
        self.inquiring.remove(&worker);
        let record = self.listed_record(worker)?;
        record.inquiry = None;
        let was_confirmed = record.confirmed_at.take().is_some();
        record.disconnected_at = record.disconnected_at.or(Some(now));
        if record.service == Service::Draining {
            // The drain has ended.
            record.service = Service::Unidentified;
        }
        self.update_deviation(worker);
        (was_confirmed && !fresh).then_some((MAX_RECONNECT_DELAY as f64 * jitter.clamp(0.0, 1.0)) as Micros)
    }

    /// Records that a connection to an executor was established while there was no other one.
    pub fn on_connected(&mut self, now: Time, worker: WorkerId) {
        let Some(record) = self.records.get_mut(&worker) else { return };
        if record.service == Service::Unidentified {
            return; // discovery has not announced which process listens there
        }
        let Some(disconnected_at) = record.disconnected_at else { return };
        if now > disconnected_at + MIN_REPLACEMENT_TIME || record.unresponsive {
            record.maybe_replaced = true;
        } else {
            record.disconnected_at = None;
        }
        self.update_deviation(worker);
    }

    /// Records that an executor's address refused a connection.
    pub fn on_connection_refused(&mut self, now: Time, worker: WorkerId) -> Vec<Change> {
        let fresh = self.source.is_fresh(now);
        self.inquiring.remove(&worker);
        let Some(record) = self.listed_record(worker) else { return Vec::new() };
        record.service = Service::Unidentified;
        (record.inquiry, record.confirmed_at) = (None, None);
        record.disconnected_at = record.disconnected_at.or(Some(now));
        let nothing_to_report = fresh || std::mem::replace(&mut record.reported_out_of_service, true);
        self.deviating.insert(worker);
        if nothing_to_report {
            return Vec::new();
        }
        self.counters.unidentified += 1;
        vec![Change::OutOfService(worker)]
    }

    fn update_deviation(&mut self, worker: WorkerId) {
        if self.records.get(&worker).is_some_and(Record::deviates) {
            self.deviating.insert(worker);
        } else {
            self.deviating.remove(&worker);
        }
    }
}
