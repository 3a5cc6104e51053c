//! What the log comes to: the same at all who have applied as much of it.

use crate::record::{Record, VERSION};
use crate::terms::{Index, Life, Member};
use crate::Flaw;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A state machine on the register, fed by its log alone. It must come to the same from the same words on every machine: no
/// clock, no chance, no order of a hash map.
pub trait Part: Sized {
    /// A living member said something.
    fn said(&mut self, at: Index, by: (Member, Life), bytes: &[u8]);
    /// A member's life has begun.
    fn began(&mut self, _at: Index, _by: (Member, Life)) {}
    /// A member's life is over: nothing of it comes after.
    fn over(&mut self, at: Index, of: (Member, Life));
    /// All of it, as bytes; bounded by the part.
    fn save(&self) -> Vec<u8>;
    /// From such bytes; `None` where they are none.
    fn load(bytes: &[u8]) -> Option<Self>;
}

/// A member's latest life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Its number.
    pub life: Life,
    /// By which its process knows it.
    pub nonce: u64,
    /// Its zone.
    pub zone: u8,
    /// The newest form of records that it reads.
    pub speaks: u8,
    /// It has ended.
    pub over: bool,
    /// The last word taken.
    pub said: u64,
}

/// Something that an entry brought about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A life has begun.
    Began(Member, Life),
    /// A life is over.
    Over(Member, Life),
    /// A word was taken: whose, in which life, the how manieth.
    Said(Member, Life, u64),
}

/// What the log came to.
#[derive(Clone, Debug)]
pub struct Ledger<P> {
    applied: Index,
    lives: Life,
    members: BTreeMap<Member, Standing>,
    /// What is built on it.
    pub part: P,
    flaw: Option<Flaw>,
}

#[derive(Serialize, Deserialize)]
struct Saved {
    applied: Index,
    lives: Life,
    members: BTreeMap<Member, Standing>,
    part: Vec<u8>,
}

impl<P: Part> Ledger<P> {
    /// Nothing has happened.
    pub fn new(part: P) -> Ledger<P> {
        Ledger { applied: 0, lives: 0, members: BTreeMap::new(), part, flaw: None }
    }

    #[doc(hidden)]
    pub fn flawed(mut self, flaw: Option<Flaw>) -> Ledger<P> {
        self.flaw = flaw;
        self
    }

    /// The last entry taken in.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Members that ever had a life, each with its latest.
    pub fn members(&self) -> &BTreeMap<Member, Standing> {
        &self.members
    }

    /// Whether this life goes on, as far as this log tells.
    pub fn lives(&self, member: Member, life: Life) -> bool {
        self.members.get(&member).is_some_and(|s| s.life == life && !s.over)
    }

    /// The newest form of records that all living members read.
    pub fn speaks(&self) -> u8 {
        self.members.values().filter(|s| !s.over).map(|s| s.speaks).min().unwrap_or(VERSION)
    }

    /// Takes the next entry in; one had before, or beyond the next, changes nothing.
    pub fn apply(&mut self, at: Index, records: &[Record], events: &mut Vec<Event>) {
        if at != self.applied + 1 {
            return;
        }
        self.applied = at;
        records.iter().for_each(|r| self.one(at, r, events));
    }

    fn one(&mut self, at: Index, record: &Record, events: &mut Vec<Event>) {
        match *record {
            Record::Join { member, nonce, zone, speaks } => {
                let beside = self.flaw == Some(Flaw::JoinsBesideTheLiving);
                if self.members.get(&member).is_some_and(|s| !s.over && !beside || s.nonce == nonce) {
                    return;
                }
                self.lives += 1;
                let life = self.lives;
                let new = Standing { life, nonce, zone, speaks, over: false, said: 0 };
                self.members.insert(member, new);
                self.part.began(at, (member, life));
                events.push(Event::Began(member, life));
            }
            Record::Over { member, life } => {
                let Some(s) = self.members.get_mut(&member).filter(|s| s.life == life && !s.over) else {
                    return;
                };
                s.over = true;
                self.part.over(at, (member, life));
                events.push(Event::Over(member, life));
            }
            Record::Say { member, life, serial, ref bytes } => {
                let (dead, twice, gaps) = (
                    self.flaw == Some(Flaw::TakesWordsOfTheDead),
                    self.flaw == Some(Flaw::TakesWordsTwice),
                    self.flaw == Some(Flaw::TakesGaps),
                );
                let Some(s) = self.members.get_mut(&member) else { return };
                let mine = s.life == life && (!s.over || dead);
                let next = serial == s.said + 1 || twice && serial <= s.said || gaps && serial > s.said;
                if mine && next {
                    s.said = s.said.max(serial);
                    self.part.said(at, (member, life), bytes);
                    events.push(Event::Said(member, life, serial));
                }
            }
        }
    }

    /// All of it, as bytes.
    pub fn save(&self) -> Vec<u8> {
        let Ledger { applied, lives, members, part, .. } = self;
        let saved = Saved { applied: *applied, lives: *lives, members: members.clone(), part: part.save() };
        postcard::to_allocvec(&saved).unwrap_or_default()
    }

    /// Takes the place of all so far, where it is ahead of it; true if so.
    pub fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok(saved) = postcard::from_bytes::<Saved>(bytes) else { return false };
        let Some(part) = P::load(&saved.part).filter(|_| saved.applied > self.applied) else { return false };
        let Saved { applied, lives, members, .. } = saved;
        (self.applied, self.lives, self.members, self.part) = (applied, lives, members, part);
        true
    }
}
