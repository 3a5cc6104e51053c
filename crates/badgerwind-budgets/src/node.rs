//! A member with all its parts: what it holds, its vote, and its candidacy. This is what runs in a front end, in simulated
//! time and in tests; a runtime gives it time, chance and messages, and sends what it puts out.

use crate::coordinator::{Coordinator, Standing};
use crate::election::Election;
use crate::lessee::Lessee;
use crate::message::Message;
use crate::terms::{BadTerms, Book, Incarnation, Member, Span, Terms, Time};
use crate::units::{Unit, Units};
use crate::voter::Voter;
use crate::Mutant;

/// For whom a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// Every other member.
    All,
    /// Every other member that votes.
    Voters,
    /// This one.
    One(Member),
}

/// A member of the fleet.
#[derive(Clone, Debug)]
pub struct Node {
    me: Member,
    terms: Terms,
    book: Book,
    lessees: Vec<Lessee>,
    wants: Vec<Unit>,
    voter: Voter,
    coordinator: Coordinator,
    election: Election,
    believes: Option<Member>,
    beat_at: Time,
    was_coordinator: bool,
}

impl Node {
    /// A process that starts now. `incarnation` is greater than that of its last one (its wall clock will do: one that went back
    /// is corrected by the coordinator's answer); `part` is drawn from 0 to 1, here and below.
    pub fn new(
        now: Time,
        (me, incarnation): (Member, Incarnation),
        book: Book,
        terms: Terms,
        part: f64,
    ) -> Node {
        let lessee = |n| Lessee::new(now, (me, incarnation), n as u8, &book, &terms);
        Node {
            me,
            lessees: (0..book.limits.len().min(256)).map(lessee).collect(),
            wants: vec![0; book.limits.len()],
            voter: Voter::new(now, &terms),
            coordinator: Coordinator::new(me, incarnation),
            election: Election::new(now, me, &terms, part),
            believes: None,
            beat_at: now + (terms.beat as f64 * part) as Span,
            was_coordinator: false,
            book,
            terms,
        }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, mutant: Option<Mutant>) -> Node {
        self.lessees = self.lessees.into_iter().map(|h| h.with(mutant)).collect();
        self.coordinator = self.coordinator.with(mutant);
        self
    }

    /// How often it has to be given the time, at least.
    pub fn pace(&self) -> Span {
        (self.terms.beat / 4).max(1)
    }

    /// What is due now.
    pub fn tick(&mut self, now: Time, part: f64) -> Vec<(To, Message)> {
        let mut out = Vec::new();
        let is_coordinator = self.is_coordinator(now);
        if let Some(to) = self.election.asks(now, is_coordinator, &self.terms, part) {
            self.request_votes(now, to, &mut out);
        }
        if now >= self.beat_at {
            self.beat_at = now + self.terms.beat;
            for n in 0..self.lessees.len() {
                let ask = self.lessees[n].ask(now, self.wants[n]);
                match self.believes {
                    Some(coordinator) if coordinator == self.me => {
                        if let Some(answer) =
                            self.coordinator.asked(now, self.me, &ask, &self.book, &self.terms)
                        {
                            self.answered(now, &answer);
                        }
                    }
                    Some(coordinator) => out.push((To::One(coordinator), ask)),
                    None => {}
                }
            }
        }
        out
    }

    /// Asks for votes, whether it is time or not: nothing but fewer messages rests on the time.
    pub fn request_votes(&mut self, now: Time, to: To, out: &mut Vec<(To, Message)>) {
        let message = self.coordinator.request_votes(now, &self.book, &self.terms);
        out.push((to, message.clone()));
        if let Some(vote) = self.vote(now, self.me, &message) {
            self.voted(now, self.me, &vote);
        }
    }

    fn vote(&mut self, now: Time, from: Member, message: &Message) -> Option<Message> {
        let Message::RequestVote { incarnation, round, version, .. } = message else { return None };
        let voter = self.terms.voters.contains(&self.me);
        let votes = (*version, self.book.version);
        (voter && self.voter.vote_requested(now, (from, *incarnation), votes, &self.terms))
            .then_some(Message::Vote { incarnation: *incarnation, round: *round })
    }

    fn voted(&mut self, now: Time, from: Member, vote: &Message) {
        self.coordinator.voted(now, from, vote, &self.book, &self.terms);
        if self.is_coordinator(now) && !self.was_coordinator {
            (self.was_coordinator, self.believes) = (true, Some(self.me));
            self.election.won(now, &self.terms);
        }
    }

    /// A message has come. What it answers, if anything.
    pub fn heard(&mut self, now: Time, from: Member, message: &Message) -> Option<Message> {
        match message {
            Message::RequestVote { is_coordinator, .. } => {
                if *is_coordinator {
                    self.believes = Some(from);
                    self.election.heard_coordinator(now);
                }
                self.vote(now, from, message)
            }
            Message::Vote { .. } => {
                self.voted(now, from, message);
                None
            }
            Message::Ask { .. } => self.coordinator.asked(now, from, message, &self.book, &self.terms),
            Message::Grant { .. } | Message::Superseded { .. } => {
                if self.believes == Some(from) {
                    self.election.heard_coordinator(now);
                }
                self.answered(now, message);
                None
            }
        }
    }

    fn answered(&mut self, now: Time, message: &Message) {
        match message {
            Message::Grant { budget, .. } => {
                if let Some(lessee) = self.lessees.get_mut(usize::from(*budget)) {
                    lessee.heard(now, message);
                }
            }
            // All lessees go on in one incarnation: a coordinator tells incarnations apart by member.
            Message::Superseded { incarnation, latest }
                if self.lessees.iter().any(|h| h.incarnation() == *incarnation) =>
            {
                self.lessees.iter_mut().for_each(|h| h.restart_as(latest + 1));
            }
            _ => {}
        }
    }

    /// What it could use of a budget from now on.
    pub fn want(&mut self, budget: usize, units: Unit) {
        if let Some(wants) = self.wants.get_mut(budget) {
            *wants = units;
        }
    }

    /// Spends a unit of a budget, if one is there.
    pub fn spend(&mut self, now: Time, budget: usize) -> Option<Unit> {
        self.lessees.get_mut(budget)?.spend(now)
    }

    /// A unit of a level is out of use again.
    pub fn give_back(&mut self, budget: usize, unit: Unit) {
        if let Some(lessee) = self.lessees.get_mut(budget) {
            lessee.give_back(unit);
        }
    }

    /// How long until something of a budget may be spent, in microseconds; `None` where it owns nothing of it.
    pub fn wait(&self, now: Time, budget: usize) -> Option<Span> {
        self.lessees.get(budget)?.wait(now)
    }

    /// What it owns of a budget.
    pub fn owned(&self, now: Time, budget: usize) -> Units {
        self.lessees.get(budget).map_or_else(Units::new, |h| h.owned(now))
    }

    /// How many units of a budget it may use within a window, seen from then on, unless something changes.
    pub fn usable(&self, at: Time, budget: usize) -> usize {
        self.lessees.get(budget).map_or(0, |h| h.usable(at))
    }

    /// What it said last that it could use of a budget.
    pub fn wants(&self, budget: usize) -> Unit {
        self.wants.get(budget).copied().unwrap_or(0)
    }

    /// When what it was granted of a budget ends, unless it is renewed.
    pub fn until(&self, budget: usize) -> Time {
        self.lessees.get(budget).map_or(0, Lessee::until)
    }

    /// Whether it is coordinator.
    pub fn is_coordinator(&mut self, now: Time) -> bool {
        let is_coordinator = self.coordinator.is_coordinator(now, &self.book, &self.terms);
        self.was_coordinator &= is_coordinator;
        is_coordinator
    }

    /// Whom it takes for coordinator. It may be wrong; nothing but time is lost then.
    pub fn believes(&self) -> Option<Member> {
        self.believes
    }

    /// What is known of each unit of a budget that is granted; `None` where it is not coordinator.
    pub fn standings(&self, now: Time, budget: usize) -> Option<Vec<(Unit, Standing)>> {
        self.coordinator.standings(now, budget as u8, self.book.limits.get(budget)?)
    }

    /// The settings that it goes by.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Another version of the settings; an older one changes nothing, and one that cuts floors anew or does not hold
    /// together is refused: the member goes on by the version it has.
    pub fn set(&mut self, now: Time, book: &Book) -> Result<(), BadTerms> {
        if book.version <= self.book.version {
            return Ok(());
        }
        self.book.follows(book)?;
        self.terms.check(&book.limits)?;
        self.lessees.iter_mut().for_each(|h| h.set(now, book));
        self.coordinator.set(now, book, &self.terms);
        self.book = book.clone();
        Ok(())
    }
}
