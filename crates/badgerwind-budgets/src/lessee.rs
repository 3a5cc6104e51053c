//! A holder: what this front end owns of a budget, and whether it may spend now. The lease is looked at when a unit is
//! spent, never by a timer: a process that was stopped for longer than its lease finds it over at its first instruction.

use crate::message::{ends, Message, RANGES};
use crate::terms::{Book, Life, Member, Span, Terms, Time, Whole};
use crate::units::{Unit, Units};
use crate::Flaw;
use std::collections::BTreeMap;

/// What a front end holds of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    budget: u8,
    me: Member,
    life: Life,
    serial: u32,
    version: u32,
    whole: Whole,
    lease: Span,
    granted: Units,
    until: Time,
    /// The ask that may still be answered, and when it went out.
    asked: Option<(u32, Time)>,
    /// Units that were spent, and from when on they may be again.
    rests: BTreeMap<Unit, Time>,
    /// How long they rest on this clock.
    rest: Span,
    /// Own floor units rest as long after a start: what the last life spent of them is forgotten.
    floor_from: Time,
    flaw: Option<Flaw>,
}

impl Holder {
    /// A front end that starts now and holds its floor.
    pub fn new(now: Time, (me, life): (Member, Life), budget: u8, book: &Book, terms: &Terms) -> Holder {
        let whole = book.wholes[usize::from(budget)].clone();
        let (rest, floor_from) = (whole.rest, now + terms.outlasts(whole.rest));
        Holder {
            budget,
            me,
            life,
            serial: 0,
            version: book.version,
            whole,
            lease: terms.lease,
            granted: Units::new(),
            until: 0,
            asked: None,
            rests: BTreeMap::new(),
            rest: terms.outlasts(rest),
            floor_from,
            flaw: None,
        }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, flaw: Option<Flaw>) -> Holder {
        self.flaw = flaw;
        if flaw == Some(Flaw::RestartSpendsFloor) {
            self.floor_from = 0;
        }
        self
    }

    /// Its life; a later one is greater.
    pub fn life(&self) -> Life {
        self.life
    }

    /// The whole that it goes by.
    pub fn whole(&self) -> &Whole {
        &self.whole
    }

    /// Granted units that count at this moment.
    pub fn granted(&self, now: Time) -> Units {
        if now < self.until || self.flaw == Some(Flaw::SpendsAfterLease) {
            self.granted.clone()
        } else {
            Units::new()
        }
    }

    /// All that it owns at this moment.
    pub fn owned(&self, now: Time) -> Units {
        self.whole.floor_of(self.me).union(&self.granted(now))
    }

    /// Of what it will own at this time, unless something changes, what a window may use: not a floor that rests since the start.
    pub fn usable(&self, at: Time) -> usize {
        let floor = if at < self.floor_from { 0 } else { self.whole.floor_of(self.me).len() };
        floor + self.granted(at).len()
    }

    /// Spends a unit now, if one is there; it rests for the whole's time from now.
    pub fn spend(&mut self, now: Time) -> Option<Unit> {
        self.rests.retain(|_, from| *from > now);
        let floor = if now < self.floor_from { Units::new() } else { self.whole.floor_of(self.me) };
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
        let floor = self.whole.floor_of(self.me);
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
        let held = if self.flaw == Some(Flaw::HidesHoldings) { Units::new() } else { self.granted.clone() };
        let (budget, life, serial, version) = (self.budget, self.life, self.serial, self.version);
        Message::Ask { budget, life, serial, version, held, wants }
    }

    /// Takes in an answer; true if it changed what is owned.
    pub fn heard(&mut self, now: Time, message: &Message) -> bool {
        match message {
            Message::Grant { budget, life, serial, version, keep, fresh } => {
                let mine = *budget == self.budget && *life == self.life;
                let asked = self.asked.filter(|(s, _)| *s == *serial);
                let asked = match self.flaw {
                    Some(Flaw::TakesAnyGrant) => asked.or(Some((0, now))),
                    _ => asked,
                };
                let Some((_, at)) = asked.filter(|_| mine && *version == self.version) else { return false };
                self.asked = None;
                // The lease counts from the ask: however late this comes, the keeper's own count ends later.
                let until = if self.flaw == Some(Flaw::LeaseFromReceipt) {
                    now + self.lease
                } else {
                    ends(at, self.lease)
                };
                if now >= until {
                    return false; // its time is up already
                }
                let still = self.granted(now);
                let kept = keep.only(|u| still.has(u));
                let next = kept.union(fresh);
                let before = std::mem::replace(&mut self.granted, next);
                self.until = until;
                before != self.granted
            }
            _ => false,
        }
    }

    /// Goes on as a later life, and with nothing: a later one has asked in its name, or one from before its first word.
    pub fn reborn(&mut self, life: Life) {
        (self.life, self.serial, self.asked) = (life, 0, None);
        self.granted = Units::new();
    }

    /// When its grant ends, unless it is renewed.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Another version of the settings. What the whole no longer has is out of use at once.
    pub fn set(&mut self, now: Time, book: &Book) {
        let Some(whole) = book.wholes.get(usize::from(self.budget)).filter(|_| book.version > self.version)
        else {
            return;
        };
        let all = whole.granted();
        self.granted = self.granted(now).only(|u| all.has(u));
        (self.whole, self.version, self.asked) = (whole.clone(), book.version, None);
    }
}
