//! A member's own side: its incarnation, and what it has announced that does not stand yet.

use crate::message::Message;
use crate::record::{Record, VERSION};
use crate::terms::{Incarnation, Member, Span, Terms, Time};
use crate::Mutant;
use std::collections::VecDeque;

/// Why an announcement is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// This member has no incarnation, or its lease has ended: it may say nothing.
    #[error("the register does not count this member as living: it cannot be reached, or has just begun")]
    NotLiving,
    /// An announcement longer than an entry may be.
    #[error("an announcement of {0} bytes; {1} at most")]
    Long(usize, usize),
    /// As many announcements as may be are under way.
    #[error("{0} announcements wait for the register already")]
    Full(usize),
}

/// What this member is by the register.
#[derive(Debug)]
pub(crate) struct Seat {
    me: Member,
    zone: u8,
    pub nonce: u64,
    pub incarnation: Option<Incarnation>,
    /// By its own clock, it counts as living until then.
    until: Time,
    /// It has said that it leaves, or its incarnation was ended.
    pub ended: bool,
    pub leader: Option<Member>,
    /// Voters are asked in turn while nobody says who leads, and for what follows the log.
    turn: usize,
    /// When the leader was last heard of in its own matter, and a voter in that of the log.
    heard: Time,
    fed: Time,
    asked: Time,
    serial: u64,
    announcements: VecDeque<(u64, Vec<u8>)>,
}

impl Seat {
    pub(crate) fn new(me: Member, zone: u8, nonce: u64) -> Seat {
        Seat {
            me,
            zone,
            nonce,
            incarnation: None,
            until: 0,
            ended: false,
            leader: None,
            turn: usize::from(me),
            heard: 0,
            fed: 0,
            asked: 0,
            serial: 0,
            announcements: VecDeque::new(),
        }
    }

    /// The incarnation in which it may act now. Looked at at the moment of an effect, by its own clock.
    pub(crate) fn alive(&self, now: Time) -> Option<Incarnation> {
        self.incarnation.filter(|_| !self.ended && now < self.until)
    }

    pub(crate) fn announced(&self, incarnation: Incarnation) -> u64 {
        if self.incarnation == Some(incarnation) {
            self.serial
        } else {
            0
        }
    }

    pub(crate) fn until(&self) -> Time {
        self.until
    }

    pub(crate) fn renewed(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        stamp: Time,
        lease: Span,
        mutant: Option<Mutant>,
    ) {
        if self.incarnation == Some(incarnation) && stamp <= now {
            let from = if mutant == Some(Mutant::LeaseFromReceipt) { now } else { stamp };
            self.until = self.until.max(from + lease);
            self.heard = now;
        }
    }

    /// An announcement is under way from here; it is offered until it stands.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        terms: &Terms,
        bytes: Vec<u8>,
    ) -> Result<(Incarnation, u64), Refused> {
        let incarnation = self.alive(now).ok_or(Refused::NotLiving)?;
        if bytes.len() > terms.batch {
            return Err(Refused::Long(bytes.len(), terms.batch));
        }
        if self.announcements.len() >= terms.under_way {
            return Err(Refused::Full(terms.under_way));
        }
        self.serial += 1;
        self.announcements.push_back((self.serial, bytes));
        Ok((incarnation, self.serial))
    }

    /// Words up to this one stand.
    pub(crate) fn stands(&mut self, upto: u64) {
        while self.announcements.front().is_some_and(|w| w.0 <= upto) {
            self.announcements.pop_front();
        }
    }

    /// From the next beat on it begins anew: announcements that did not stand are lost with the incarnation.
    pub(crate) fn begin_again(&mut self, nonce: u64) -> usize {
        let lost = self.announcements.len();
        let (me, zone, leader, turn) = (self.me, self.zone, self.leader, self.turn);
        *self = Seat {
            leader,
            turn,
            heard: self.heard,
            fed: self.fed,
            asked: self.asked,
            ..Seat::new(me, zone, nonce)
        };
        lost
    }

    /// Its announcements, as many as an offer holds, from one on.
    fn offer(&self, from: usize, room: usize) -> Vec<Record> {
        let Some(incarnation) = self.incarnation else { return Vec::new() };
        let (mut bytes, mut out) = (0, Vec::new());
        for (serial, word) in self.announcements.iter().skip(from) {
            let r = Record::Announce { member: self.me, incarnation, serial: *serial, bytes: word.clone() };
            bytes += r.size();
            if bytes > room && !out.is_empty() {
                break;
            }
            out.push(r);
        }
        out
    }

    fn voter(&self, voters: &[Member]) -> Option<Member> {
        voters.get(self.turn % voters.len().max(1)).copied()
    }

    /// What is offered at once: the newest announcement.
    pub(crate) fn newest(&self, terms: &Terms) -> Option<(Member, Message)> {
        let to = self.leader.or_else(|| self.voter(&terms.voters))?;
        let records = self.offer(self.announcements.len().saturating_sub(1), terms.batch);
        (!records.is_empty()).then_some((to, Message::Offer(records)))
    }

    /// Whether this incarnation is in the log, as this process's.
    pub(crate) fn began(&mut self, now: Time, incarnation: Incarnation) {
        (self.incarnation, self.heard) = (Some(incarnation), now);
    }

    /// What is asked at a beat: to live, to write, and for what follows.
    pub(crate) fn beat(&mut self, now: Time, terms: &Terms, applied: u64) -> Vec<(Member, Message)> {
        if now < self.asked + terms.beat && self.asked > 0 {
            return Vec::new();
        }
        self.asked = now.max(1);
        let patience = 3 * terms.beat;
        if now > self.heard + patience {
            // Nobody answers: another voter may know who leads.
            (self.leader, self.heard, self.turn) = (None, now, self.turn + 1);
        }
        let mut out = Vec::new();
        let leader = self.leader.or_else(|| self.voter(&terms.voters));
        if let Some(to) = leader.filter(|_| !self.ended) {
            match self.incarnation {
                None => {
                    let join =
                        Record::Join { member: self.me, nonce: self.nonce, zone: self.zone, speaks: VERSION };
                    out.push((to, Message::Offer(vec![join])));
                }
                Some(incarnation) => {
                    out.push((to, Message::Renew { incarnation, stamp: now }));
                    let records = self.offer(0, terms.batch);
                    if !records.is_empty() {
                        out.push((to, Message::Offer(records)));
                    }
                }
            }
        }
        if now > self.fed + patience {
            (self.fed, self.turn) = (now, self.turn + 1);
        }
        out.extend(self.since(terms, applied));
        out
    }

    pub(crate) fn since(&self, terms: &Terms, applied: u64) -> Option<(Member, Message)> {
        let to = self.voter(&terms.voters).filter(|v| *v != self.me)?;
        Some((to, Message::Since(applied)))
    }

    pub(crate) fn fed(&mut self, now: Time) {
        self.fed = now;
    }
}
