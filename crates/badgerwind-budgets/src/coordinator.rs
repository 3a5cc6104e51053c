//! The keeper: a front end that most voters have given their vote, and that says who owns which unit. It keeps nothing on
//! disk. One that begins knows nothing of what its forerunner granted: it lets holders go on with what they hold, and gives
//! nothing new out until every grant of before must be over and has rested.

use crate::divide::fair;
use crate::message::{Message, RANGES};
use crate::terms::{Book, Life, Member, Terms, Time, Whole};
use crate::units::{Unit, Units};
use crate::Flaw;
use std::collections::BTreeMap;

/// A holder keeps what is above its part by less than one in so many.
const TREMBLE: usize = 8;

/// A unit's entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    /// Who may hold it.
    owner: Option<(Member, Life)>,
    /// It must be over for the owner by then, on this clock.
    until: Time,
    /// From then on it may be another's.
    free_from: Time,
    /// Nor before this, whatever holders say: an earlier keeper may have given it to one who has not asked since.
    unknown_until: Time,
}

/// A member, as it last asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asker {
    life: Life,
    /// By budget: the serial, what it wants, and when it said so.
    asked: BTreeMap<u8, (u32, Unit, Time)>,
}

/// What a keeper knows while it reigns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reign {
    ledgers: Vec<Vec<Entry>>,
    askers: BTreeMap<Member, Asker>,
}

/// A candidate, or the keeper.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    me: Member,
    life: Life,
    round: u32,
    /// When this round's votes were asked for.
    asked_at: Time,
    /// Votes, and until when they count on this clock.
    votes: BTreeMap<Member, Time>,
    reign: Option<Reign>,
    flaw: Option<Flaw>,
}

/// What is known of a unit, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Somebody's, or over by then.
    Owned(Member, Time),
    /// In nobody's hands until then.
    Rests(Time),
    /// To be had.
    Free,
}

impl Keeper {
    /// A front end that may become keeper.
    pub fn new(me: Member, life: Life) -> Keeper {
        Keeper { me, life, round: 0, asked_at: 0, votes: BTreeMap::new(), reign: None, flaw: None }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, flaw: Option<Flaw>) -> Keeper {
        self.flaw = flaw;
        self
    }

    /// Asks all voters for their vote; answers to earlier rounds count no more.
    pub fn canvass(&mut self, now: Time, book: &Book, terms: &Terms) -> Message {
        self.round += 1;
        self.asked_at = now;
        let reigns = self.reigns(now, book, terms);
        Message::Canvass { life: self.life, round: self.round, reigns, version: book.version }
    }

    /// A vote has come. It counts from when it was asked for.
    pub fn voted(&mut self, now: Time, from: Member, message: &Message, book: &Book, terms: &Terms) {
        let Message::Vote { life, round } = message else { return };
        let mine = *life == self.life && (*round == self.round || self.flaw == Some(Flaw::CountsOldVotes));
        if mine && terms.voters.contains(&from) {
            self.votes.insert(from, self.asked_at + terms.vote);
            self.reigns(now, book, terms);
        }
    }

    /// Whether it is keeper at this moment. A reign that lapsed for an instant is over: another may have been keeper since.
    pub fn reigns(&mut self, now: Time, book: &Book, terms: &Terms) -> bool {
        if self.flaw != Some(Flaw::VotesNeverEnd) {
            self.votes.retain(|_, until| now < *until);
        }
        let enough = terms.most(self.votes.len())
            || self.flaw == Some(Flaw::HalfIsEnough) && 2 * self.votes.len() >= terms.voters.len();
        if !enough {
            self.reign = None;
        } else if self.reign.is_none() {
            self.reign = Some(Reign {
                ledgers: book.wholes.iter().map(|w| self.nothing_known(now, w, terms)).collect(),
                askers: BTreeMap::new(),
            });
        }
        self.reign.is_some()
    }

    fn nothing_known(&self, now: Time, whole: &Whole, terms: &Terms) -> Vec<Entry> {
        let over = now + terms.outlasts(terms.lease);
        let mut free_from = over + terms.outlasts(whole.rest);
        if self.flaw == Some(Flaw::NewKeeperGivesAtOnce) {
            free_from = now;
        }
        vec![
            Entry { owner: None, until: over, free_from, unknown_until: free_from };
            usize::from(whole.units)
        ]
    }

    /// Another version of the settings: units that are new are free once nothing of before can hold them.
    pub fn set(&mut self, now: Time, book: &Book, terms: &Terms) {
        let Some(mut reign) = self.reign.take() else { return };
        for (n, whole) in book.wholes.iter().enumerate() {
            let fresh = self.nothing_known(now, whole, terms);
            match reign.ledgers.get_mut(n) {
                Some(ledger) => {
                    let had = ledger.len();
                    ledger.truncate(fresh.len());
                    ledger.extend(fresh.into_iter().skip(had));
                }
                None => reign.ledgers.push(fresh),
            }
        }
        self.reign = Some(reign);
    }

    /// Answers a holder's ask, if it is keeper. What holds at this moment is looked at here and nowhere else.
    pub fn asked(
        &mut self,
        now: Time,
        from: Member,
        message: &Message,
        book: &Book,
        terms: &Terms,
    ) -> Option<Message> {
        let Message::Ask { budget, life, serial, version, held, wants } = message else { return None };
        let whole = book.wholes.get(usize::from(*budget)).filter(|_| *version == book.version)?;
        if !self.reigns(now, book, terms) {
            return None;
        }
        let flaw = self.flaw;
        let reign = self.reign.as_mut()?;
        let none = || Asker { life: *life, asked: BTreeMap::new() };
        let asker = reign.askers.entry(from).or_insert_with(none);
        if *life < asker.life {
            return Some(Message::Outlived { life: *life, latest: asker.life });
        }
        if *life > asker.life {
            *asker = none();
        }
        let last = asker.asked.get(budget).map_or(0, |a| a.0);
        if *serial <= last && flaw != Some(Flaw::TakesOldAsks) {
            return None;
        }
        asker.asked.insert(*budget, (*serial, *wants, now));
        let ledger = &mut reign.ledgers[usize::from(*budget)];
        let pool = whole.granted();
        let (lease, rest) = (terms.outlasts(terms.lease), terms.outlasts(whole.rest));
        let (lease, rest) = match flaw {
            Some(Flaw::NoRest) => (lease, 0),
            Some(Flaw::IgnoresDrift) => (terms.lease, whole.rest),
            Some(Flaw::ForgetsLease) => (0, 0),
            _ => (lease, rest),
        };
        // What the same life no longer holds it will never use again: it rests from now.
        let who = (from, *life);
        for (n, e) in ledger.iter_mut().enumerate() {
            if e.owner == Some(who) && !held.has(n as Unit) {
                (e.owner, e.until) = (None, now);
                e.free_from = e.free_from.min(now + rest);
                if flaw != Some(Flaw::ForgetsTheUnknown) {
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
        let target = self.part(now, from, *budget, whole, terms);
        let reign = self.reign.as_mut()?;
        let ledger = &mut reign.ledgers[usize::from(*budget)];
        let moves = usize::from((u32::from(whole.units) * u32::from(terms.moves) / 256).max(1) as Unit);
        // A little more than its part stays where it is: demand trembles, and what moves rests on its way.
        let over = held.len().saturating_sub(target);
        let over = if over * TREMBLE > held.len() { over.min(moves) } else { 0 };
        let keep: Units = held.iter().take(held.len() - over).collect();
        let free = |u: &Unit| {
            let e = &ledger[usize::from(*u)];
            let gone = now >= e.free_from || flaw == Some(Flaw::GivesTwice) && e.owner != Some(who);
            gone && !keep.has(*u)
        };
        let more = target.saturating_sub(keep.len()).min(moves.max(target / 2));
        let fresh: Units = pool.iter().filter(free).take(more).collect();
        let (keep, fresh) = (keep.within(RANGES), fresh.within(RANGES));
        for u in keep.iter().chain(fresh.iter()) {
            let e = &mut ledger[usize::from(u)];
            (e.owner, e.until, e.free_from) = (Some(who), now + lease, now + lease + rest);
        }
        let (budget, life, serial, version) = (*budget, *life, *serial, *version);
        Some(Message::Grant { budget, life, serial, version, keep, fresh })
    }

    /// A member's part of what is granted, by what those say who asked lately.
    fn part(&self, now: Time, member: Member, budget: u8, whole: &Whole, terms: &Terms) -> usize {
        let Some(reign) = &self.reign else { return 0 };
        let lately = |a: &Asker| a.asked.get(&budget).filter(|a| now < a.2 + terms.lease).map(|a| a.1);
        let all: Vec<(Member, Unit)> =
            reign.askers.iter().filter_map(|(m, a)| lately(a).map(|wants| (*m, wants))).collect();
        let wants: Vec<Unit> = all.iter().map(|a| a.1).collect();
        let parts = fair(whole.granted().len() as Unit, &wants, 0);
        all.iter().position(|a| a.0 == member).map_or(0, |n| usize::from(parts[n]))
    }

    /// What is known of each unit of a budget that is granted; `None` where it is not keeper.
    pub fn standings(&self, now: Time, budget: u8, whole: &Whole) -> Option<Vec<(Unit, Standing)>> {
        let ledger = self.reign.as_ref()?.ledgers.get(usize::from(budget))?;
        let say = |u: Unit| {
            let e = &ledger[usize::from(u)];
            match e.owner {
                Some((m, _)) if now < e.until => Standing::Owned(m, e.until),
                _ if now < e.free_from => Standing::Rests(e.free_from),
                _ => Standing::Free,
            }
        };
        Some(whole.granted().iter().map(|u| (u, say(u))).collect())
    }
}
