//! A lessee: what this front end owns of a budget, and whether it may spend now. The lease is looked at when a unit is
//! spent, never by a timer: a process that was stopped for longer than its lease finds it expired at its first instruction.

use crate::message::{ends, Message, RANGES};
use crate::terms::{Book, Incarnation, Limit, Member, Span, Terms, Time};
use crate::units::{Unit, Units};
use crate::Mutant;
use std::collections::BTreeMap;

/// What a front end holds of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lessee {
    budget: u8,
    me: Member,
    incarnation: Incarnation,
    serial: u32,
    version: u32,
    limit: Limit,
    lease: Span,
    granted: Units,
    until: Time,
    /// The ask that may still be answered, and when it went out.
    asked: Option<(u32, Time)>,
    /// Units that were spent, and from when on they may be again.
    rests: BTreeMap<Unit, Time>,
    /// How long they rest on this clock.
    rest: Span,
    /// Own floor units rest as long after a start: what the last incarnation spent of them is forgotten.
    floor_from: Time,
    mutant: Option<Mutant>,
}

impl Lessee {
    /// A front end that starts now and holds its floor.
    pub fn new(
        now: Time,
        (me, incarnation): (Member, Incarnation),
        budget: u8,
        book: &Book,
        terms: &Terms,
    ) -> Lessee {
        let limit = book.limits[usize::from(budget)].clone();
        let (rest, floor_from) = (limit.rest, now + terms.outlasts(limit.rest));
        Lessee {
            budget,
            me,
            incarnation,
            serial: 0,
            version: book.version,
            limit,
            lease: terms.lease,
            granted: Units::new(),
            until: 0,
            asked: None,
            rests: BTreeMap::new(),
            rest: terms.outlasts(rest),
            floor_from,
            mutant: None,
        }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, mutant: Option<Mutant>) -> Lessee {
        self.mutant = mutant;
        if mutant == Some(Mutant::RestartSpendsFloor) {
            self.floor_from = 0;
        }
        self
    }

    /// Its incarnation; a later one is greater.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The limit that it goes by.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Granted units that count at this moment.
    pub fn granted(&self, now: Time) -> Units {
        if now < self.until || self.mutant == Some(Mutant::SpendsAfterLease) {
            self.granted.clone()
        } else {
            Units::new()
        }
    }

    /// All that it owns at this moment.
    pub fn owned(&self, now: Time) -> Units {
        self.limit.floor_of(self.me).union(&self.granted(now))
    }

    /// Of what it will own at this time, unless something changes, what a window may use: not a floor that rests since the start.
    pub fn usable(&self, at: Time) -> usize {
        let floor = if at < self.floor_from { 0 } else { self.limit.floor_of(self.me).len() };
        floor + self.granted(at).len()
    }

    /// Spends a unit now, if one is there; it rests for the limit's time from now.
    pub fn spend(&mut self, now: Time) -> Option<Unit> {
        self.rests.retain(|_, from| *from > now);
        let floor = if now < self.floor_from { Units::new() } else { self.limit.floor_of(self.me) };
        let granted = self.granted(now);
        let unit = floor.iter().chain(granted.iter()).find(|u| !self.rests.contains_key(u))?;
        self.rests.insert(unit, now + self.rest);
        Some(unit)
    }

    /// A unit of a level is out of use again. It may be taken anew at once, as long as it is owned.
    pub fn give_back(&mut self, unit: Unit) {
        self.rests.remove(&unit);
    }

    /// How long until a unit that it owns now may be spent, in microseconds; `None` where it owns none.
    pub fn wait(&self, now: Time) -> Option<Span> {
        let floor = self.limit.floor_of(self.me);
        let at = |u: Unit| {
            let from = if floor.has(u) { self.floor_from } else { 0 };
            self.rests.get(&u).copied().unwrap_or(0).max(from).saturating_sub(now)
        };
        self.owned(now).iter().map(at).min()
    }

    /// Asks for what it could use: says what it holds, and will not take the answer to any earlier ask.
    pub fn ask(&mut self, now: Time, wants: Unit) -> Message {
        self.granted = self.granted(now).within(RANGES);
        self.serial += 1;
        self.asked = Some((self.serial, now));
        let held =
            if self.mutant == Some(Mutant::HidesHoldings) { Units::new() } else { self.granted.clone() };
        let (budget, incarnation, serial, version) =
            (self.budget, self.incarnation, self.serial, self.version);
        Message::Ask { budget, incarnation, serial, version, held, wants }
    }

    /// Takes in an answer; true if it changed what is owned.
    pub fn heard(&mut self, now: Time, message: &Message) -> bool {
        match message {
            Message::Grant { budget, incarnation, serial, version, keep, fresh } => {
                let mine = *budget == self.budget && *incarnation == self.incarnation;
                let asked = self.asked.filter(|(s, _)| *s == *serial);
                let asked = match self.mutant {
                    Some(Mutant::TakesAnyGrant) => asked.or(Some((0, now))),
                    _ => asked,
                };
                let Some((_, at)) = asked.filter(|_| mine && *version == self.version) else { return false };
                self.asked = None;
                // The lease counts from the ask: however late this comes, the coordinator's own count ends later.
                let until = if self.mutant == Some(Mutant::LeaseFromReceipt) {
                    now + self.lease
                } else {
                    ends(at, self.lease)
                };
                if now >= until {
                    return false; // its time is up already
                }
                let still = self.granted(now);
                let retained = keep.only(|u| still.has(u));
                let next = retained.union(fresh);
                let before = std::mem::replace(&mut self.granted, next);
                self.until = until;
                before != self.granted
            }
            _ => false,
        }
    }

    /// Goes on as a later incarnation, and with nothing: a later one has asked in its name, or one from before its first message.
    pub fn restart_as(&mut self, incarnation: Incarnation) {
        (self.incarnation, self.serial, self.asked) = (incarnation, 0, None);
        self.granted = Units::new();
    }

    /// When its grant ends, unless it is renewed.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Another version of the settings. What the limit no longer has is out of use at once.
    pub fn set(&mut self, now: Time, book: &Book) {
        let Some(limit) = book.limits.get(usize::from(self.budget)).filter(|_| book.version > self.version)
        else {
            return;
        };
        let all = limit.granted();
        self.granted = self.granted(now).only(|u| all.has(u));
        (self.limit, self.version, self.asked) = (limit.clone(), book.version, None);
    }
}
