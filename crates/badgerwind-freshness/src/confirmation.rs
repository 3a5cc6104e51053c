//! Which executors may be sent new work, and what their answers prove while discovery is out of reach.
//!
//! - "Well" to a probe shows that the executor took work at some moment after the probe's first byte. A drain that begins later
//!   counts as told then at the earliest, and sends may go on for the grace: so the answer is worth the grace from that first
//!   byte on, however late it comes. Nothing else confirms: executors that drain may serve calls, take orders to load and answer
//!   an order for no copies, which only asks. That order is asked beside the probe all the same, as a veto.
//! - "Unwell" to a probe, and "full" to an order for no copies, which cannot be for want of room: it takes no work. A call turned
//!   away may be for a full queue as well, and ends what was confirmed before.
//! - An address is no identity. Where a connection is refused, nothing is sent until discovery tells who is there. Where the
//!   last connection ended and a new one comes up only later, or the machine was silent in between, the process may have
//!   been started anew: it counts as cold.

use crate::counters::Counters;
use crate::record::{Inquiry, Record, Service};
use crate::source::{Ending, Heard, SourceWatch, Transition};
use badgerwind::interface::{FunctionId, Outcome, Span, Time, WorkerId};
use std::collections::{BTreeSet, HashMap, HashSet};

/// What of the grace is left unused, between the look at the clock and the first byte.
const MARGIN: Span = 10_000;
/// The protocol lengthens each limit by 50 ms; half of it, where the grace itself is shorter.
const LEAST_VALIDITY: Span = 25_000;
/// A process that died is not replaced within so long after its connections ended.
const SAME_PROCESS_WITHIN: Span = 500_000;
/// Longest wait before an executor whose last connection ended is connected to again.
const RECONNECT_WITHIN: Span = 200_000;
/// By then discovery has noticed what became of an executor that was not to be reached.
const NOTICED_WITHIN: Span = 10_000_000;
/// First and longest pause after calls were turned away in a row.
const FIRST_PAUSE: Span = 250_000;
const LONGEST_PAUSE: Span = 4_000_000;
/// Discovery's first word comes by then after a start, if it can be had at all: a frame comes each second.
const FIRST_WORD_WITHIN: Span = 1_500_000;
/// Pause after a question that told nothing.
const UNCLEAR_PAUSE: Span = 100_000;
/// Pause before an executor that denied to take work is asked again; it doubles each time.
const DENIAL_PAUSE: Span = 1_000_000;
const LONGEST_DOUBLING: u32 = 10;
/// Questions a second that one executor which drains is asked again by all front ends together.
const REPEATS_PER_SECOND: u64 = 8;
const SECOND: Span = 1_000_000;

/// What the state machine is bounded by; all of it comes from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Grace in which sends to an executor that drains must end.
    pub drain_grace: Span,
    /// A question not answered by then has no answer.
    pub answer_within: Span,
    /// Whether probes may be sent.
    pub may_probe: bool,
    /// Whether orders may be given.
    pub may_order: bool,
    /// Front ends in the tier.
    pub front_ends: u32,
    /// From 0 to 1, drawn for this front end: keeps front ends out of step.
    pub chance: f64,
}

/// Whether new work may begin to go to an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Yes.
    Granted,
    /// Not before a question is answered that is to be asked now.
    Ask,
    /// Not before the question under way is answered.
    Wait,
    /// No; it ends so, never sent, and may go another way.
    Denied(Outcome),
}

/// What an answer of an executor proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It served a call: the process is there, and may drain all the same.
    Served,
    /// It turned work away.
    TurnsAway,
    /// It answered a question well.
    Confirms {
        /// When the first byte of the question went out, or earlier.
        since: Time,
        /// Copies of the function asked about, where it told.
        copies: Option<u32>,
    },
    /// It answered a probe: not well.
    Denies,
    /// It turned a question away.
    RefusesQuestion,
    /// It answered a question with what tells nothing.
    Unclear,
}

/// What follows for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing new goes there, as if discovery had told that it drains; what waits there may go another way.
    OutOfService(WorkerId),
    /// What discovery told of it holds again.
    AsListed(WorkerId),
    /// Its process counts as started just now.
    Restarted(WorkerId),
    /// What waits for its answer ends so, never sent, and may go another way.
    SendElsewhere {
        /// The executor.
        worker: WorkerId,
        /// How it ends.
        outcome: Outcome,
    },
}

/// What is known of the executors, and how old it is.
#[derive(Clone, Debug)]
pub struct Freshness {
    terms: Terms,
    started: Time,
    source: SourceWatch,
    /// Executors that discovery has named and that are not gone. Nothing is kept of others.
    listed: HashSet<WorkerId>,
    records: HashMap<WorkerId, Record>,
    /// Executors of which discovery's word would change something.
    deviating: BTreeSet<WorkerId>,
    /// Executors with a question under way.
    asking: BTreeSet<WorkerId>,
    counters: Counters,
    /// As they stood when the list became stale last.
    counters_before: Counters,
}

impl Freshness {
    /// Nothing is known yet, and discovery has not been heard.
    pub fn new(now: Time, terms: Terms) -> Freshness {
        // The deadline is the start of the grace; one half of that is left for the questions.
        let spread = (terms.drain_grace as f64 / 2.0 * terms.chance.clamp(0.0, 1.0)) as Span;
        Freshness {
            terms,
            started: now,
            source: SourceWatch::new(spread),
            listed: HashSet::new(),
            records: HashMap::new(),
            deviating: BTreeSet::new(),
            asking: BTreeSet::new(),
            counters: Counters::default(),
            counters_before: Counters::default(),
        }
    }

    /// Whether discovery's list may be relied on.
    pub fn fresh(&self, now: Time) -> bool {
        self.source.fresh(now)
    }

    /// How many executors something is kept of.
    pub fn kept(&self) -> usize {
        self.listed.len().max(self.records.len()).max(self.deviating.len()).max(self.asking.len())
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counts since the list became stale last.
    pub fn cost(&self) -> Counters {
        self.counters.since(&self.counters_before)
    }

    // ---- Discovery. ----

    /// Something came from discovery, see [`SourceWatch::heard`]. What discovery has had the time to notice is its to tell.
    pub fn heard(&mut self, waited_since: Time, heard: Heard) -> Vec<Change> {
        let was_stale = self.source.reported_stale();
        self.source.heard(waited_since, heard);
        if heard != Heard::UpToDate || was_stale {
            return Vec::new(); // the end of an outage is a transition
        }
        let settled = |worker: &WorkerId| {
            let since = self.records.get(worker).and_then(|record| record.lost);
            since.is_some_and(|since| since + NOTICED_WITHIN < waited_since)
        };
        let settled: Vec<WorkerId> = self.deviating.iter().copied().filter(settled).collect();
        settled.into_iter().filter_map(|worker| self.relist(worker)).collect()
    }

    /// A connection to discovery ended.
    pub fn ended(&mut self, now: Time, how: Ending) {
        self.source.ended(now, how);
    }

    /// Discovery has another address from now on.
    pub fn moved(&mut self, now: Time) {
        self.source.moved(now);
    }

    /// Discovery named an executor; `gone` ends what is kept of it.
    pub fn listed(&mut self, worker: WorkerId, gone: bool) {
        self.deviating.remove(&worker);
        if gone {
            self.listed.remove(&worker);
            self.records.remove(&worker);
            self.asking.remove(&worker);
            return;
        }
        self.listed.insert(worker);
        if let Some(record) = self.records.get_mut(&worker) {
            *record = record.as_listed(false);
        }
    }

    /// Discovery told a whole list: whoever is not in it is gone.
    pub fn listed_whole(&mut self, named: &BTreeSet<WorkerId>) {
        self.listed.retain(|worker| named.contains(worker));
        self.records.retain(|worker, _| named.contains(worker));
        self.deviating.retain(|worker| named.contains(worker));
        self.asking.retain(|worker| named.contains(worker));
    }

    /// The change of the list between fresh and stale since this was last asked, and what follows for executors.
    pub fn transition(&mut self, now: Time) -> (Option<Transition>, Vec<Change>) {
        let transition = self.source.transition(now);
        let changes = match transition {
            None => Vec::new(),
            Some(Transition::Stale { .. }) => {
                self.counters.outages += 1;
                self.counters_before = self.counters;
                self.withdraw_unidentified()
            }
            Some(Transition::Fresh { .. }) => {
                let deviating = self.deviating.clone();
                deviating.into_iter().filter_map(|worker| self.relist(worker)).collect()
            }
        };
        (transition, changes)
    }

    /// Those whose address refused connections of late: discovery has not had the time to tell who is there.
    fn withdraw_unidentified(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        for worker in &self.deviating {
            let Some(record) = self.records.get_mut(worker) else { continue };
            if record.service == Service::Unidentified && !record.withdrawn {
                record.withdrawn = true;
                self.counters.unidentified += 1;
                changes.push(Change::OutOfService(*worker));
            }
        }
        changes
    }

    /// What discovery told of an executor holds again. One that said itself that it drains is asked first.
    fn relist(&mut self, worker: WorkerId) -> Option<Change> {
        self.deviating.remove(&worker);
        let record = self.records.get_mut(&worker)?;
        let differs = record.differs();
        let suspect = record.suspect || record.service == Service::Draining;
        *record = record.as_listed(suspect);
        differs.then_some(Change::AsListed(worker))
    }

    /// What is kept of an executor that is listed.
    fn record(&mut self, worker: WorkerId) -> Option<&mut Record> {
        self.listed.contains(&worker).then(|| self.records.entry(worker).or_default())
    }

    // ---- Work. ----

    /// Whether new work may begin to go to an executor now.
    pub fn permit(&mut self, now: Time, worker: WorkerId) -> Permit {
        let fresh = self.source.fresh(now);
        let Some(record) = self.records.get(&worker) else {
            return if fresh { Permit::Granted } else { self.question(now) };
        };
        if record.service == Service::Draining {
            return Permit::Denied(Outcome::Moot);
        }
        if fresh && !record.suspect {
            return Permit::Granted;
        }
        if record.service == Service::Unidentified {
            return Permit::Denied(Outcome::Moot);
        }
        if now < record.paused_until {
            return Permit::Denied(Outcome::Full);
        }
        if record.confirmed_within(now, self.validity()) && !record.replaced {
            return Permit::Granted;
        }
        if record.awaits(now, self.terms.answer_within) {
            return Permit::Wait;
        }
        self.question(now)
    }

    fn question(&self, now: Time) -> Permit {
        if self.terms.may_probe {
            Permit::Ask
        } else if now < self.started + FIRST_WORD_WITHIN {
            Permit::Wait
        } else {
            Permit::Denied(Outcome::Moot)
        }
    }

    /// Whether an order for no copies is to be asked beside the probe.
    pub fn asks_by_order(&self) -> bool {
        self.terms.may_order
    }

    /// How long an answer is worth something, from the first byte of what it answers on.
    fn validity(&self) -> Span {
        self.terms.drain_grace.saturating_sub(MARGIN).max(LEAST_VALIDITY)
    }

    /// Work begins to go out.
    pub fn sent(&mut self, now: Time) {
        if !self.source.fresh(now) {
            self.counters.sent_while_stale += 1;
        }
    }

    /// The questions are put in line, about a function that clients have called.
    pub fn asked(&mut self, now: Time, worker: WorkerId, function: FunctionId) {
        let pending = 1 + u32::from(self.asks_by_order());
        let Some(record) = self.record(worker) else { return };
        record.inquiry = Some(Inquiry { asked: now, pending, since: None, copies: None });
        record.function = Some(function);
        self.asking.insert(worker);
        self.counters.questions += u64::from(pending);
    }

    /// A question came to its end without an answer.
    pub fn unanswered(&mut self, worker: WorkerId) {
        self.asking.remove(&worker);
        let inquiry = self.records.get_mut(&worker).and_then(|record| record.inquiry.take());
        if inquiry.is_some() {
            self.counters.unanswered += 1;
        }
    }

    /// What follows from questions that have had no answer in time.
    pub fn overdue(&mut self, now: Time) -> Vec<Change> {
        let within = self.terms.answer_within;
        let overdue = |worker: &WorkerId| {
            let inquiry = self.records.get(worker).and_then(|record| record.inquiry);
            inquiry.is_some_and(|inquiry| now >= inquiry.asked + within)
        };
        let all: Vec<WorkerId> = self.asking.iter().copied().filter(overdue).collect();
        let give_up = |worker: WorkerId| {
            self.unanswered(worker);
            self.records.entry(worker).and_modify(|record| record.silent = true);
            Change::SendElsewhere { worker, outcome: Outcome::ConnectFailed }
        };
        all.into_iter().map(give_up).collect()
    }

    /// The executors that said that they drain, and are to be asked again now; and about which function.
    pub fn repeats(&mut self, now: Time) -> Vec<(WorkerId, FunctionId)> {
        let due = |worker: &WorkerId| {
            let record = self.records.get(worker)?;
            let due =
                record.service == Service::Draining && record.inquiry.is_none() && now >= record.paused_until;
            record.function.clone().filter(|_| due).map(|function| (*worker, function))
        };
        self.deviating.iter().filter_map(due).collect()
    }

    /// What an answer proves. `proven`: the connection that it came over had taken something in before, so that a refusal
    /// is not for want of room in the executor's table of connections.
    pub fn evidence(&mut self, now: Time, worker: WorkerId, evidence: Evidence, proven: bool) -> Vec<Change> {
        let fresh = self.source.fresh(now);
        match evidence {
            Evidence::Served => {
                if let Some(record) = self.record(worker) {
                    (record.turned_away, record.silent, record.met) = (0, false, true);
                }
                Vec::new()
            }
            Evidence::TurnsAway => {
                self.turns_away(now, fresh, worker, proven);
                Vec::new()
            }
            Evidence::Confirms { since, copies } => self.confirms(now, worker, since, copies),
            Evidence::Denies => self.denies(now, fresh, worker),
            Evidence::RefusesQuestion if proven => self.denies(now, fresh, worker),
            Evidence::RefusesQuestion | Evidence::Unclear => self.unclear(now, worker),
        }
    }

    /// A question was answered with what tells nothing.
    fn unclear(&mut self, now: Time, worker: WorkerId) -> Vec<Change> {
        self.unanswered(worker);
        let Some(record) = self.record(worker) else { return Vec::new() };
        record.paused_until = now + UNCLEAR_PAUSE;
        vec![Change::SendElsewhere { worker, outcome: Outcome::Full }]
    }

    /// Counts a good answer to a question. The executor takes work once all of them are in.
    fn confirms(&mut self, now: Time, worker: WorkerId, since: Time, copies: Option<u32>) -> Vec<Change> {
        let Some(record) = self.records.get_mut(&worker) else { return Vec::new() };
        let Some(inquiry) = record.inquiry.as_mut().filter(|inquiry| since >= inquiry.asked) else {
            return Vec::new(); // it answers what was given up
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
        self.asking.remove(&worker);
        self.takes_work(now, worker, since, copies)
    }

    fn takes_work(&mut self, now: Time, worker: WorkerId, since: Time, copies: Option<u32>) -> Vec<Change> {
        let fresh = self.source.fresh(now);
        let Some(record) = self.records.get_mut(&worker) else { return Vec::new() };
        record.turned_away = 0;
        if record.service == Service::Unidentified && !fresh {
            return Vec::new(); // a process that discovery has not named
        }
        record.confirmed = record.confirmed.max(Some(since));
        (record.silent, record.suspect) = (false, false);
        let service = std::mem::take(&mut record.service);
        record.replaced |= service == Service::Unidentified;
        // The first word of a process, where the list may be older than it: one that holds no copy of what is called there may
        // have started just now. Soon after a start discovery's first word is on its way, and says so itself.
        let list_of_unknown_age = !self.source.ever_vouched() && now >= self.started + FIRST_WORD_WITHIN;
        let met = std::mem::replace(&mut record.met, true);
        let mut changes = Vec::new();
        let returns = service == Service::Draining && std::mem::take(&mut record.withdrawn);
        if returns {
            changes.push(Change::AsListed(worker));
        }
        // While discovery is heard, it tells of a new start itself. A presumption holds beyond a return.
        let empty_newcomer = list_of_unknown_age && !met && copies == Some(0);
        if !fresh && (record.replaced || empty_newcomer || returns && record.presumed_restarted) {
            // What waits was decided when it counted as warm.
            let decide_anew = record.replaced;
            (record.presumed_restarted, record.replaced, record.lost) = (true, false, None);
            self.counters.restarted += 1;
            changes.push(Change::Restarted(worker));
            if decide_anew {
                changes.push(Change::SendElsewhere { worker, outcome: Outcome::Moot });
            }
        }
        self.note_deviation(worker);
        changes
    }

    fn turns_away(&mut self, now: Time, fresh: bool, worker: WorkerId, proven: bool) {
        if fresh {
            return;
        }
        self.counters.turned_away_while_stale += 1;
        if !proven {
            return; // for want of room for another connection, it may be
        }
        let Some(record) = self.record(worker) else { return };
        record.confirmed = None;
        if record.turned_away > 0 {
            let pause = FIRST_PAUSE << (record.turned_away - 1).min(8);
            record.paused_until = now + pause.min(LONGEST_PAUSE);
        }
        record.turned_away += 1;
    }

    fn denies(&mut self, now: Time, fresh: bool, worker: WorkerId) -> Vec<Change> {
        let shared_pace = u64::from(self.terms.front_ends) * SECOND / REPEATS_PER_SECOND;
        let chance = self.terms.chance;
        self.asking.remove(&worker);
        let Some(record) = self.record(worker) else { return Vec::new() };
        record.inquiry = None;
        if fresh && !record.suspect && record.service != Service::Draining {
            return Vec::new(); // an order that renews copies; discovery tells of the drain
        }
        record.service = Service::Draining;
        (record.confirmed, record.met) = (None, true);
        let pause = (DENIAL_PAUSE << record.denials.min(LONGEST_DOUBLING)).min(shared_pace.max(DENIAL_PAUSE));
        record.paused_until = now + pause + (pause as f64 * chance) as Span;
        record.denials += 1;
        let withdrawn = std::mem::replace(&mut record.withdrawn, true);
        self.deviating.insert(worker);
        if withdrawn {
            return Vec::new();
        }
        self.counters.draining += 1;
        vec![Change::OutOfService(worker)]
    }

    // ---- Connections. ----

    /// The last connection to an executor has ended. While the list is stale another one, after the time that is returned,
    /// shows whether the process is there: later it might be a successor's. Once only until it confirms anew, so that one that
    /// ends all connections is not connected to without end. `chance`, from 0 to 1 and drawn anew, keeps front ends out of step.
    pub fn disconnected(&mut self, now: Time, worker: WorkerId, chance: f64) -> Option<Span> {
        let fresh = self.source.fresh(now);
        self.asking.remove(&worker);
        let record = self.record(worker)?;
        record.inquiry = None;
        let confirmed = record.confirmed.take().is_some();
        record.lost = record.lost.or(Some(now));
        if record.service == Service::Draining {
            // It has come to its end.
            record.service = Service::Unidentified;
        }
        self.note_deviation(worker);
        (confirmed && !fresh).then_some((RECONNECT_WITHIN as f64 * chance.clamp(0.0, 1.0)) as Span)
    }

    /// A connection to an executor has come up, and none stood beside it.
    pub fn connected(&mut self, now: Time, worker: WorkerId) {
        let Some(record) = self.records.get_mut(&worker) else { return };
        if record.service == Service::Unidentified {
            return; // whoever answers there, discovery has not named it
        }
        let Some(lost) = record.lost else { return };
        if now > lost + SAME_PROCESS_WITHIN || record.silent {
            record.replaced = true;
        } else {
            record.lost = None;
        }
        self.note_deviation(worker);
    }

    /// Nobody listens at an executor's address.
    pub fn refused(&mut self, now: Time, worker: WorkerId) -> Vec<Change> {
        let fresh = self.source.fresh(now);
        self.asking.remove(&worker);
        let Some(record) = self.record(worker) else { return Vec::new() };
        record.service = Service::Unidentified;
        (record.inquiry, record.confirmed) = (None, None);
        record.lost = record.lost.or(Some(now));
        let withdrawn = fresh || std::mem::replace(&mut record.withdrawn, true);
        self.deviating.insert(worker);
        if withdrawn {
            return Vec::new();
        }
        self.counters.unidentified += 1;
        vec![Change::OutOfService(worker)]
    }

    fn note_deviation(&mut self, worker: WorkerId) {
        if self.records.get(&worker).is_some_and(Record::deviates) {
            self.deviating.insert(worker);
        } else {
            self.deviating.remove(&worker);
        }
    }
}
