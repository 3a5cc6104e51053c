//! The coordinator: a front end that most voters have given their vote, and that says who owns which unit. It keeps nothing on
//! disk. One that begins knows nothing of what its forerunner granted: it lets lessees go on with what they hold, and gives
//! nothing new out until every grant of before must have ended and has rested.

use crate::divide::fair;
use crate::message::{Message, RANGES};
use crate::terms::{Book, Incarnation, Limit, Member, Terms, Time};
use crate::units::{Unit, Units};
use crate::Mutant;
use std::collections::BTreeMap;

/// A lessee keeps what is above its part by less than one in so many.
const TREMBLE: usize = 8;

/// A unit's entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    /// Who may hold it.
    owner: Option<(Member, Incarnation)>,
    /// It must have ended for the owner by then, on this clock.
    until: Time,
    /// From then on it may be another's.
    free_from: Time,
    /// Nor before this, whatever lessees say: an earlier coordinator may have given it to one who has not asked since.
    unknown_until: Time,
}

/// A member, as it last asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asker {
    incarnation: Incarnation,
    /// By budget: the serial, what it wants, and when it said so.
    asked: BTreeMap<u8, (u32, Unit, Time)>,
}

/// What a coordinator knows while it coordinates.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leadership {
    ledgers: Vec<Vec<Entry>>,
    askers: BTreeMap<Member, Asker>,
}

/// A candidate, or the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    me: Member,
    incarnation: Incarnation,
    round: u32,
    /// When this round's votes were asked for.
    asked_at: Time,
    /// Votes, and until when they count on this clock.
    votes: BTreeMap<Member, Time>,
    leadership: Option<Leadership>,
    mutant: Option<Mutant>,
}

/// What is known of a unit, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Somebody's, or ended by then.
    Owned(Member, Time),
    /// In nobody's hands until then.
    Rests(Time),
    /// To be had.
    Free,
}

impl Coordinator {
    /// A front end that may become coordinator.
    pub fn new(me: Member, incarnation: Incarnation) -> Coordinator {
        Coordinator {
            me,
            incarnation,
            round: 0,
            asked_at: 0,
            votes: BTreeMap::new(),
            leadership: None,
            mutant: None,
        }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, mutant: Option<Mutant>) -> Coordinator {
        self.mutant = mutant;
        self
    }

    /// Asks all voters for their vote; answers to earlier rounds count no more.
    pub fn request_votes(&mut self, now: Time, book: &Book, terms: &Terms) -> Message {
        self.round += 1;
        self.asked_at = now;
        let is_coordinator = self.is_coordinator(now, book, terms);
        Message::RequestVote {
            incarnation: self.incarnation,
            round: self.round,
            is_coordinator,
            version: book.version,
        }
    }

    /// A vote has come. It counts from when it was asked for.
    pub fn voted(&mut self, now: Time, from: Member, message: &Message, book: &Book, terms: &Terms) {
        let Message::Vote { incarnation, round } = message else { return };
        let mine = *incarnation == self.incarnation
            && (*round == self.round || self.mutant == Some(Mutant::CountsOldVotes));
        if mine && terms.voters.contains(&from) {
            self.votes.insert(from, self.asked_at + terms.vote);
            self.is_coordinator(now, book, terms);
        }
    }

    /// Whether it is coordinator at this moment. A leadership that lapsed for an instant has ended: another may have been coordinator since.
    pub fn is_coordinator(&mut self, now: Time, book: &Book, terms: &Terms) -> bool {
        if self.mutant != Some(Mutant::VotesNeverEnd) {
            self.votes.retain(|_, until| now < *until);
        }
        let enough = terms.most(self.votes.len())
            || self.mutant == Some(Mutant::HalfIsEnough) && 2 * self.votes.len() >= terms.voters.len();
        if !enough {
            self.leadership = None;
        } else if self.leadership.is_none() {
            self.leadership = Some(Leadership {
                ledgers: book.limits.iter().map(|w| self.nothing_known(now, w, terms)).collect(),
                askers: BTreeMap::new(),
            });
        }
        self.leadership.is_some()
    }

    fn nothing_known(&self, now: Time, limit: &Limit, terms: &Terms) -> Vec<Entry> {
        let ended_by = now + terms.outlasts(terms.lease);
        let mut free_from = ended_by + terms.outlasts(limit.rest);
        if self.mutant == Some(Mutant::NewCoordinatorGivesAtOnce) {
            free_from = now;
        }
        vec![
            Entry { owner: None, until: ended_by, free_from, unknown_until: free_from };
            usize::from(limit.units)
        ]
    }

    /// Another version of the settings: units that are new are free once nothing of before can hold them.
    pub fn set(&mut self, now: Time, book: &Book, terms: &Terms) {
        let Some(mut leadership) = self.leadership.take() else { return };
        for (n, limit) in book.limits.iter().enumerate() {
            let fresh = self.nothing_known(now, limit, terms);
            match leadership.ledgers.get_mut(n) {
                Some(ledger) => {
                    let had = ledger.len();
                    ledger.truncate(fresh.len());
                    ledger.extend(fresh.into_iter().skip(had));
                }
                None => leadership.ledgers.push(fresh),
            }
        }
        self.leadership = Some(leadership);
    }

    /// Answers a lessee's ask, if it is coordinator. What holds at this moment is looked at here and nowhere else.
    pub fn asked(
        &mut self,
        now: Time,
        from: Member,
        message: &Message,
        book: &Book,
        terms: &Terms,
    ) -> Option<Message> {
        let Message::Ask { budget, incarnation, serial, version, held, wants } = message else { return None };
        let limit = book.limits.get(usize::from(*budget)).filter(|_| *version == book.version)?;
        if !self.is_coordinator(now, book, terms) {
            return None;
        }
        let mutant = self.mutant;
        let leadership = self.leadership.as_mut()?;
        let none = || Asker { incarnation: *incarnation, asked: BTreeMap::new() };
        let asker = leadership.askers.entry(from).or_insert_with(none);
        if *incarnation < asker.incarnation {
            return Some(Message::Superseded { incarnation: *incarnation, latest: asker.incarnation });
        }
        if *incarnation > asker.incarnation {
            *asker = none();
        }
        let last = asker.asked.get(budget).map_or(0, |a| a.0);
        if *serial <= last && mutant != Some(Mutant::TakesOldAsks) {
            return None;
        }
        asker.asked.insert(*budget, (*serial, *wants, now));
        let ledger = &mut leadership.ledgers[usize::from(*budget)];
        let pool = limit.granted();
        let (lease, rest) = (terms.outlasts(terms.lease), terms.outlasts(limit.rest));
        let (lease, rest) = match mutant {
            Some(Mutant::NoRest) => (lease, 0),
            Some(Mutant::IgnoresDrift) => (terms.lease, limit.rest),
            Some(Mutant::ForgetsLease) => (0, 0),
            _ => (lease, rest),
        };
        // What the same incarnation no longer holds it will never use again: it rests from now.
        let who = (from, *incarnation);
        for (n, e) in ledger.iter_mut().enumerate() {
            if e.owner == Some(who) && !held.has(n as Unit) {
                (e.owner, e.until) = (None, now);
                e.free_from = e.free_from.min(now + rest);
                if mutant != Some(Mutant::ForgetsTheUnknown) {
                    e.free_from = e.free_from.max(e.unknown_until);
                }
            }
        }
        // What it holds is its own as long as nobody else's; one stale ask among them costs use, never a second owner.
        let unknown = |e: &Entry| e.owner.is_none() && now < e.free_from;
        let may_keep = |u: Unit| {
            let e = &ledger[usize::from(u)];
            e.owner == Some(who) || unknown(e)
        };
        let held = held.only(|u| pool.has(u) && may_keep(u));
        let target = self.part(now, from, *budget, limit, terms);
        let leadership = self.leadership.as_mut()?;
        let ledger = &mut leadership.ledgers[usize::from(*budget)];
        let moves = usize::from((u32::from(limit.units) * u32::from(terms.moves) / 256).max(1) as Unit);
        // A little more than its part stays where it is: demand trembles, and what moves rests on its way.
        let excess = held.len().saturating_sub(target);
        let excess = if excess * TREMBLE > held.len() { excess.min(moves) } else { 0 };
        let keep: Units = held.iter().take(held.len() - excess).collect();
        let free = |u: &Unit| {
            let e = &ledger[usize::from(*u)];
            let gone = now >= e.free_from || mutant == Some(Mutant::GivesTwice) && e.owner != Some(who);
            gone && !keep.has(*u)
        };
        let more = target.saturating_sub(keep.len()).min(moves.max(target / 2));
        let fresh: Units = pool.iter().filter(free).take(more).collect();
        let (keep, fresh) = (keep.within(RANGES), fresh.within(RANGES));
        for u in keep.iter().chain(fresh.iter()) {
            let e = &mut ledger[usize::from(u)];
            (e.owner, e.until, e.free_from) = (Some(who), now + lease, now + lease + rest);
        }
        let (budget, incarnation, serial, version) = (*budget, *incarnation, *serial, *version);
        Some(Message::Grant { budget, incarnation, serial, version, keep, fresh })
    }

    /// A member's part of what is granted, by what those say who asked lately.
    fn part(&self, now: Time, member: Member, budget: u8, limit: &Limit, terms: &Terms) -> usize {
        let Some(leadership) = &self.leadership else { return 0 };
        let lately = |a: &Asker| a.asked.get(&budget).filter(|a| now < a.2 + terms.lease).map(|a| a.1);
        let all: Vec<(Member, Unit)> =
            leadership.askers.iter().filter_map(|(m, a)| lately(a).map(|wants| (*m, wants))).collect();
        let wants: Vec<Unit> = all.iter().map(|a| a.1).collect();
        let parts = fair(limit.granted().len() as Unit, &wants, 0);
        all.iter().position(|a| a.0 == member).map_or(0, |n| usize::from(parts[n]))
    }

    /// What is known of each unit of a budget that is granted; `None` where it is not coordinator.
    pub fn standings(&self, now: Time, budget: u8, limit: &Limit) -> Option<Vec<(Unit, Standing)>> {
        let ledger = self.leadership.as_ref()?.ledgers.get(usize::from(budget))?;
        let say = |u: Unit| {
            let e = &ledger[usize::from(u)];
            match e.owner {
                Some((m, _)) if now < e.until => Standing::Owned(m, e.until),
                _ if now < e.free_from => Standing::Rests(e.free_from),
                _ => Standing::Free,
            }
        };
        Some(limit.granted().iter().map(|u| (u, say(u))).collect())
    }
}
