//! What the log comes to: the same at all who have applied as much of it.

use crate::record::{Record, VERSION};
use crate::terms::{Incarnation, Index, Member};
use crate::Mutant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A state machine on the register, fed by its log alone. It must come to the same from the same announcements on every machine: no
/// clock, no chance, no order of a hash map.
pub trait Part: Sized {
    /// A living member said something.
    fn announced(&mut self, at: Index, by: (Member, Incarnation), bytes: &[u8]);
    /// A member's incarnation has begun.
    fn began(&mut self, _at: Index, _by: (Member, Incarnation)) {}
    /// A member's incarnation has ended: nothing of it comes after.
    fn ended(&mut self, at: Index, of: (Member, Incarnation));
    /// All of it, as bytes; bounded by the part.
    fn save(&self) -> Vec<u8>;
    /// From such bytes; `None` where they are none.
    fn load(bytes: &[u8]) -> Option<Self>;
}

/// A member's latest incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Its number.
    pub incarnation: Incarnation,
    /// By which its process knows it.
    pub nonce: u64,
    /// Its zone.
    pub zone: u8,
    /// The newest form of records that it reads.
    pub speaks: u8,
    /// It has ended.
    pub ended: bool,
    /// The last announcement taken.
    pub announced: u64,
}

/// Something that an entry brought about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An incarnation has begun.
    Began(Member, Incarnation),
    /// An incarnation has ended.
    Ended(Member, Incarnation),
    /// An announcement was taken: whose, in which incarnation, its number within the incarnation.
    Announced(Member, Incarnation, u64),
}

/// What the log came to.
#[derive(Clone, Debug)]
pub struct Ledger<P> {
    applied: Index,
    incarnations: Incarnation,
    members: BTreeMap<Member, Standing>,
    /// What is built on it.
    pub part: P,
    mutant: Option<Mutant>,
}

#[derive(Serialize, Deserialize)]
struct Saved {
    applied: Index,
    incarnations: Incarnation,
    members: BTreeMap<Member, Standing>,
    part: Vec<u8>,
}

impl<P: Part> Ledger<P> {
    /// Nothing has happened.
    pub fn new(part: P) -> Ledger<P> {
        Ledger { applied: 0, incarnations: 0, members: BTreeMap::new(), part, mutant: None }
    }

    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Ledger<P> {
        self.mutant = mutant;
        self
    }

    /// The last entry taken in.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Members that ever had an incarnation, each with its latest.
    pub fn members(&self) -> &BTreeMap<Member, Standing> {
        &self.members
    }

    /// Whether this incarnation goes on, as far as this log tells.
    pub fn is_alive(&self, member: Member, incarnation: Incarnation) -> bool {
        self.members.get(&member).is_some_and(|s| s.incarnation == incarnation && !s.ended)
    }

    /// The newest form of records that all living members read.
    pub fn speaks(&self) -> u8 {
        self.members.values().filter(|s| !s.ended).map(|s| s.speaks).min().unwrap_or(VERSION)
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
                let beside = self.mutant == Some(Mutant::JoinsBesideTheLiving);
                if self.members.get(&member).is_some_and(|s| !s.ended && !beside || s.nonce == nonce) {
                    return;
                }
                self.incarnations += 1;
                let incarnation = self.incarnations;
                let new = Standing { incarnation, nonce, zone, speaks, ended: false, announced: 0 };
                self.members.insert(member, new);
                self.part.began(at, (member, incarnation));
                events.push(Event::Began(member, incarnation));
            }
            Record::Ended { member, incarnation } => {
                let Some(s) =
                    self.members.get_mut(&member).filter(|s| s.incarnation == incarnation && !s.ended)
                else {
                    return;
                };
                s.ended = true;
                self.part.ended(at, (member, incarnation));
                events.push(Event::Ended(member, incarnation));
            }
            Record::Announce { member, incarnation, serial, ref bytes } => {
                let (dead, twice, gaps) = (
                    self.mutant == Some(Mutant::TakesWordsOfTheDead),
                    self.mutant == Some(Mutant::TakesWordsTwice),
                    self.mutant == Some(Mutant::TakesGaps),
                );
                let Some(s) = self.members.get_mut(&member) else { return };
                let mine = s.incarnation == incarnation && (!s.ended || dead);
                let next = serial == s.announced + 1
                    || twice && serial <= s.announced
                    || gaps && serial > s.announced;
                if mine && next {
                    s.announced = s.announced.max(serial);
                    self.part.announced(at, (member, incarnation), bytes);
                    events.push(Event::Announced(member, incarnation, serial));
                }
            }
        }
    }

    /// All of it, as bytes.
    pub fn save(&self) -> Vec<u8> {
        let Ledger { applied, incarnations, members, part, .. } = self;
        let saved = Saved {
            applied: *applied,
            incarnations: *incarnations,
            members: members.clone(),
            part: part.save(),
        };
        postcard::to_allocvec(&saved).unwrap_or_default()
    }

    /// Takes the place of all so far, where it is ahead of it; true if so.
    pub fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok(saved) = postcard::from_bytes::<Saved>(bytes) else { return false };
        let Some(part) = P::load(&saved.part).filter(|_| saved.applied > self.applied) else { return false };
        let Saved { applied, incarnations, members, .. } = saved;
        (self.applied, self.incarnations, self.members, self.part) = (applied, incarnations, members, part);
        true
    }
}
