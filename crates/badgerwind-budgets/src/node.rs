//! A member with all its roles: lessee, voter and candidate. The same state machine runs in front ends, in
//! simulated time and in tests; a runtime passes in the time, random numbers and received messages, and sends
//! the messages that it returns.

use crate::coordinator::{Coordinator, UnitState};
use crate::election::Election;
use crate::lessee::Lessee;
use crate::message::Message;
use crate::settings::{Incarnation, LeaseSettings, LimitSet, Member, Micros, SettingsError, Time};
use crate::units::{Unit, Units};
use crate::voter::Voter;
use crate::Mutant;

/// Recipients of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// Every other member.
    All,
    /// Every other member that is a voter.
    Voters,
    /// This member.
    One(Member),
}

/// A member of the fleet.
#[derive(Clone, Debug)]
pub struct Node {
    me: Member,
    settings: LeaseSettings,
    limit_set: LimitSet,
    lessees: Vec<Lessee>,
    wanted: Vec<Unit>,
    voter: Voter,
    coordinator: Coordinator,
    election: Election,
    believed_coordinator: Option<Member>,
    next_request_at: Time,
    was_coordinator: bool,
}

impl Node {
    /// The state of a process that starts now. `incarnation` must be greater than that of the previous
    /// process; the wall clock is sufficient, since the coordinator's answer corrects one that went back.
    /// `jitter` is drawn from 0 to 1, here and below.
    pub fn new(
        now: Time,
        (me, incarnation): (Member, Incarnation),
        limit_set: LimitSet,
        settings: LeaseSettings,
        jitter: f64,
    ) -> Node {
        let lessee = |n| Lessee::new(now, (me, incarnation), n as u8, &limit_set, &settings);
        Node {
            me,
            lessees: (0..limit_set.limits.len().min(256)).map(lessee).collect(),
            wanted: vec![0; limit_set.limits.len()],
            voter: Voter::new(now, &settings),
            coordinator: Coordinator::new(me, incarnation),
            election: Election::new(now, me, &settings, jitter),
            believed_coordinator: None,
            next_request_at: now + (settings.request_interval as f64 * jitter) as Micros,
            was_coordinator: false,
            limit_set,
            settings,
        }
    }

    /// Injects a defect, for tests that show that it is detected.
    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Node {
        self.lessees = self.lessees.into_iter().map(|lessee| lessee.with_mutant(mutant)).collect();
        self.coordinator = self.coordinator.with_mutant(mutant);
        self
    }

    /// Longest interval between calls of [`Node::tick`], in microseconds.
    pub fn tick_interval(&self) -> Micros {
        (self.settings.request_interval / 4).max(1)
    }

    /// Does what is due now and returns the messages to send.
    pub fn tick(&mut self, now: Time, jitter: f64) -> Vec<(Recipient, Message)> {
        let mut out = Vec::new();
        let is_coordinator = self.is_coordinator(now);
        if let Some(to) = self.election.poll(now, is_coordinator, &self.settings, jitter) {
            self.request_votes(now, to, &mut out);
        }
        if now >= self.next_request_at {
            self.next_request_at = now + self.settings.request_interval;
            for n in 0..self.lessees.len() {
                let request = self.lessees[n].request_lease(now, self.wanted[n]);
                match self.believed_coordinator {
                    Some(coordinator) if coordinator == self.me => {
                        if let Some(answer) = self.coordinator.on_lease_request(
                            now,
                            self.me,
                            &request,
                            &self.limit_set,
                            &self.settings,
                        ) {
                            self.on_answer(now, &answer);
                        }
                    }
                    Some(coordinator) => out.push((Recipient::One(coordinator), request)),
                    None => {}
                }
            }
        }
        out
    }

    /// Requests votes, whether due or not: the schedule only limits the number of messages.
    pub fn request_votes(&mut self, now: Time, to: Recipient, out: &mut Vec<(Recipient, Message)>) {
        let message = self.coordinator.request_votes(now, &self.limit_set, &self.settings);
        out.push((to, message.clone()));
        if let Some(vote) = self.vote(now, self.me, &message) {
            self.on_vote(now, self.me, &vote);
        }
    }

    /// The vote for a request, if this member gives one.
    fn vote(&mut self, now: Time, from: Member, message: &Message) -> Option<Message> {
        let Message::RequestVote { incarnation, round, version, .. } = message else { return None };
        let voter = self.settings.voters.contains(&self.me);
        let versions = (*version, self.limit_set.version);
        (voter && self.voter.on_vote_request(now, (from, *incarnation), versions, &self.settings))
            .then_some(Message::Vote { incarnation: *incarnation, round: *round })
    }

    fn on_vote(&mut self, now: Time, from: Member, vote: &Message) {
        self.coordinator.on_vote(now, from, vote, &self.limit_set, &self.settings);
        if self.is_coordinator(now) && !self.was_coordinator {
            (self.was_coordinator, self.believed_coordinator) = (true, Some(self.me));
            self.election.won(now, &self.settings);
        }
    }

    /// Processes a received message and returns the answer, if any.
    pub fn receive(&mut self, now: Time, from: Member, message: &Message) -> Option<Message> {
        match message {
            Message::RequestVote { is_coordinator, .. } => {
                if *is_coordinator {
                    self.believed_coordinator = Some(from);
                    self.election.on_coordinator_message(now);
                }
                self.vote(now, from, message)
            }
            Message::Vote { .. } => {
                self.on_vote(now, from, message);
                None
            }
            Message::LeaseRequest { .. } => {
                self.coordinator.on_lease_request(now, from, message, &self.limit_set, &self.settings)
            }
            Message::Grant { .. } | Message::Superseded { .. } => {
                if self.believed_coordinator == Some(from) {
                    self.election.on_coordinator_message(now);
                }
                self.on_answer(now, message);
                None
            }
        }
    }

    fn on_answer(&mut self, now: Time, message: &Message) {
        match message {
            Message::Grant { budget, .. } => {
                if let Some(lessee) = self.lessees.get_mut(usize::from(*budget)) {
                    lessee.on_grant(now, message);
                }
            }
            // All lessees continue in the same incarnation, since a coordinator tracks one incarnation per
            // member.
            Message::Superseded { incarnation, latest }
                if self.lessees.iter().any(|lessee| lessee.incarnation() == *incarnation) =>
            {
                self.lessees.iter_mut().for_each(|lessee| lessee.restart_as(latest + 1));
            }
            _ => {}
        }
    }

    /// Sets how many units of a budget the member could use from now on.
    pub fn set_wanted(&mut self, budget: usize, units: Unit) {
        if let Some(wanted) = self.wanted.get_mut(budget) {
            *wanted = units;
        }
    }

    /// Spends a unit of a budget if one is available.
    pub fn spend(&mut self, now: Time, budget: usize) -> Option<Unit> {
        self.lessees.get_mut(budget)?.spend(now)
    }

    /// Releases a unit of a concurrency limit.
    pub fn release(&mut self, budget: usize, unit: Unit) {
        if let Some(lessee) = self.lessees.get_mut(budget) {
            lessee.release(unit);
        }
    }

    /// Time until a unit of a budget may be spent, in microseconds; `None` if it owns none of it.
    pub fn wait_time(&self, now: Time, budget: usize) -> Option<Micros> {
        self.lessees.get(budget)?.wait_time(now)
    }

    /// The units of a budget that it owns.
    pub fn owned(&self, now: Time, budget: usize) -> Units {
        self.lessees.get(budget).map_or_else(Units::new, |lessee| lessee.owned(now))
    }

    /// Number of units of a budget that it can use within a window at this time unless a grant changes it.
    pub fn usable(&self, at: Time, budget: usize) -> usize {
        self.lessees.get(budget).map_or(0, |lessee| lessee.usable(at))
    }

    /// Number of units of a budget that it could use, as last set.
    pub fn wanted(&self, budget: usize) -> Unit {
        self.wanted.get(budget).copied().unwrap_or(0)
    }

    /// When its current grant of a budget expires unless it is renewed.
    pub fn lease_end(&self, budget: usize) -> Time {
        self.lessees.get(budget).map_or(0, Lessee::lease_end)
    }

    /// Whether it is coordinator now.
    pub fn is_coordinator(&mut self, now: Time) -> bool {
        let is_coordinator = self.coordinator.is_coordinator(now, &self.limit_set, &self.settings);
        self.was_coordinator &= is_coordinator;
        is_coordinator
    }

    /// The member that it believes to be coordinator. A wrong belief only delays its requests.
    pub fn believed_coordinator(&self) -> Option<Member> {
        self.believed_coordinator
    }

    /// State of each grantable unit of a budget; `None` if it is not coordinator.
    pub fn unit_states(&self, now: Time, budget: usize) -> Option<Vec<(Unit, UnitState)>> {
        self.coordinator.unit_states(now, budget as u8, self.limit_set.limits.get(budget)?)
    }

    /// The limits that it uses.
    pub fn limit_set(&self) -> &LimitSet {
        &self.limit_set
    }

    /// Applies a new version of the limits. An older version changes nothing. One that changes floors or
    /// cooldowns or is inconsistent is rejected, and the member keeps the version it has.
    pub fn apply_limits(&mut self, now: Time, limit_set: &LimitSet) -> Result<(), SettingsError> {
        if limit_set.version <= self.limit_set.version {
            return Ok(());
        }
        self.limit_set.check_successor(limit_set)?;
        self.settings.validate(&limit_set.limits)?;
        self.lessees.iter_mut().for_each(|lessee| lessee.apply_limits(now, limit_set));
        self.coordinator.apply_limits(now, limit_set, &self.settings);
        self.limit_set = limit_set.clone();
        Ok(())
    }
}
