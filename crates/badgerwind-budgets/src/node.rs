//! A member with all its parts: what it holds, its vote, and its candidacy. This is what runs in a front end, in simulated
//! time and in tests; a shell gives it time, chance and messages, and carries off what it says.

use crate::campaign::Campaign;
use crate::holder::Holder;
use crate::keeper::{Keeper, Standing};
use crate::message::Message;
use crate::terms::{BadTerms, Book, Life, Member, Span, Terms, Time};
use crate::units::{Unit, Units};
use crate::voter::Voter;
use crate::Flaw;

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
    holders: Vec<Holder>,
    wants: Vec<Unit>,
    voter: Voter,
    keeper: Keeper,
    campaign: Campaign,
    believes: Option<Member>,
    beat_at: Time,
    reigned: bool,
}

impl Node {
    /// A process that starts now. `life` is greater than that of its last one (its wall clock will do: one that went back
    /// is mended by the keeper's word); `part` is drawn from 0 to 1, here and below.
    pub fn new(now: Time, (me, life): (Member, Life), book: Book, terms: Terms, part: f64) -> Node {
        let holder = |n| Holder::new(now, (me, life), n as u8, &book, &terms);
        Node {
            me,
            holders: (0..book.wholes.len().min(256)).map(holder).collect(),
            wants: vec![0; book.wholes.len()],
            voter: Voter::new(now, &terms),
            keeper: Keeper::new(me, life),
            campaign: Campaign::new(now, me, &terms, part),
            believes: None,
            beat_at: now + (terms.beat as f64 * part) as Span,
            reigned: false,
            book,
            terms,
        }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, flaw: Option<Flaw>) -> Node {
        self.holders = self.holders.into_iter().map(|h| h.with(flaw)).collect();
        self.keeper = self.keeper.with(flaw);
        self
    }

    /// How often it has to be given the time, at least.
    pub fn pace(&self) -> Span {
        (self.terms.beat / 4).max(1)
    }

    /// What is due now.
    pub fn tick(&mut self, now: Time, part: f64) -> Vec<(To, Message)> {
        let mut out = Vec::new();
        let reigns = self.reigns(now);
        if let Some(to) = self.campaign.asks(now, reigns, &self.terms, part) {
            self.canvass(now, to, &mut out);
        }
        if now >= self.beat_at {
            self.beat_at = now + self.terms.beat;
            for n in 0..self.holders.len() {
                let ask = self.holders[n].ask(now, self.wants[n]);
                match self.believes {
                    Some(keeper) if keeper == self.me => {
                        if let Some(answer) = self.keeper.asked(now, self.me, &ask, &self.book, &self.terms) {
                            self.answered(now, &answer);
                        }
                    }
                    Some(keeper) => out.push((To::One(keeper), ask)),
                    None => {}
                }
            }
        }
        out
    }

    /// Asks for votes, whether it is time or not: nothing but fewer messages rests on the time.
    pub fn canvass(&mut self, now: Time, to: To, out: &mut Vec<(To, Message)>) {
        let message = self.keeper.canvass(now, &self.book, &self.terms);
        out.push((to, message.clone()));
        if let Some(vote) = self.vote(now, self.me, &message) {
            self.voted(now, self.me, &vote);
        }
    }

    fn vote(&mut self, now: Time, from: Member, message: &Message) -> Option<Message> {
        let Message::Canvass { life, round, version, .. } = message else { return None };
        let voter = self.terms.voters.contains(&self.me);
        let votes = (*version, self.book.version);
        (voter && self.voter.canvassed(now, (from, *life), votes, &self.terms))
            .then_some(Message::Vote { life: *life, round: *round })
    }

    fn voted(&mut self, now: Time, from: Member, vote: &Message) {
        self.keeper.voted(now, from, vote, &self.book, &self.terms);
        if self.reigns(now) && !self.reigned {
            (self.reigned, self.believes) = (true, Some(self.me));
            self.campaign.won(now, &self.terms);
        }
    }

    /// A message has come. What it answers, if anything.
    pub fn heard(&mut self, now: Time, from: Member, message: &Message) -> Option<Message> {
        match message {
            Message::Canvass { reigns, .. } => {
                if *reigns {
                    self.believes = Some(from);
                    self.campaign.heard_keeper(now);
                }
                self.vote(now, from, message)
            }
            Message::Vote { .. } => {
                self.voted(now, from, message);
                None
            }
            Message::Ask { .. } => self.keeper.asked(now, from, message, &self.book, &self.terms),
            Message::Grant { .. } | Message::Outlived { .. } => {
                if self.believes == Some(from) {
                    self.campaign.heard_keeper(now);
                }
                self.answered(now, message);
                None
            }
        }
    }

    fn answered(&mut self, now: Time, message: &Message) {
        match message {
            Message::Grant { budget, .. } => {
                if let Some(holder) = self.holders.get_mut(usize::from(*budget)) {
                    holder.heard(now, message);
                }
            }
            // All holders go on in one life: a keeper tells lives apart by member.
            Message::Outlived { life, latest } if self.holders.iter().any(|h| h.life() == *life) => {
                self.holders.iter_mut().for_each(|h| h.reborn(latest + 1));
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
        self.holders.get_mut(budget)?.spend(now)
    }

    /// A unit of a level is out of use again.
    pub fn give_back(&mut self, budget: usize, unit: Unit) {
        if let Some(holder) = self.holders.get_mut(budget) {
            holder.give_back(unit);
        }
    }

    /// How long until something of a budget may be spent, in microseconds; `None` where it owns nothing of it.
    pub fn wait(&self, now: Time, budget: usize) -> Option<Span> {
        self.holders.get(budget)?.wait(now)
    }

    /// What it owns of a budget.
    pub fn owned(&self, now: Time, budget: usize) -> Units {
        self.holders.get(budget).map_or_else(Units::new, |h| h.owned(now))
    }

    /// How many units of a budget it may use within a window, seen from then on, unless something changes.
    pub fn usable(&self, at: Time, budget: usize) -> usize {
        self.holders.get(budget).map_or(0, |h| h.usable(at))
    }

    /// What it said last that it could use of a budget.
    pub fn wants(&self, budget: usize) -> Unit {
        self.wants.get(budget).copied().unwrap_or(0)
    }

    /// When what it was granted of a budget ends, unless it is renewed.
    pub fn until(&self, budget: usize) -> Time {
        self.holders.get(budget).map_or(0, Holder::until)
    }

    /// Whether it is keeper.
    pub fn reigns(&mut self, now: Time) -> bool {
        let reigns = self.keeper.reigns(now, &self.book, &self.terms);
        self.reigned &= reigns;
        reigns
    }

    /// Whom it takes for keeper. It may be wrong; nothing but time is lost then.
    pub fn believes(&self) -> Option<Member> {
        self.believes
    }

    /// What is known of each unit of a budget that is granted; `None` where it is not keeper.
    pub fn standings(&self, now: Time, budget: usize) -> Option<Vec<(Unit, Standing)>> {
        self.keeper.standings(now, budget as u8, self.book.wholes.get(budget)?)
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
        self.terms.check(&book.wholes)?;
        self.holders.iter_mut().for_each(|h| h.set(now, book));
        self.keeper.set(now, book, &self.terms);
        self.book = book.clone();
        Ok(())
    }
}
