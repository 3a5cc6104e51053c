//! The replicated state: identical on all members that have applied the same prefix of the log.

use crate::record::{Record, VERSION};
use crate::settings::{Incarnation, Index, Member};
use crate::Mutant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A state machine driven by the register's log alone. It must be deterministic: the same log yields the same
/// state on every machine, so it must not use a clock, randomness or the iteration order of a hash map. `at`
/// is the index of the entry that causes the call.
pub trait StateMachine: Sized {
    /// A live member's announcement was committed.
    fn announced(&mut self, at: Index, by: (Member, Incarnation), bytes: &[u8]);
    /// A member's incarnation has begun.
    fn began(&mut self, _at: Index, _member: (Member, Incarnation)) {}
    /// A member's incarnation has ended: no announcement of it follows.
    fn ended(&mut self, at: Index, member: (Member, Incarnation));
    /// Serializes the whole state. The implementation must bound its size.
    fn save(&self) -> Vec<u8>;
    /// Restores a state from [`StateMachine::save`]; `None` where the bytes are invalid.
    fn load(bytes: &[u8]) -> Option<Self>;
}

/// The state of a member: its latest incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// The incarnation's number.
    pub incarnation: Incarnation,
    /// Identifies the process that joined with this incarnation.
    pub nonce: u64,
    /// The member's zone.
    pub zone: u8,
    /// The newest record version that the member can read.
    #[serde(rename = "speaks")]
    pub record_version: u8,
    /// Whether the incarnation has ended.
    pub ended: bool,
    /// The serial number of the last committed announcement.
    pub announced: u64,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An incarnation has begun.
    Began(Member, Incarnation),
    /// An incarnation has ended.
    Ended(Member, Incarnation),
    /// An announcement was accepted: the member, its incarnation, and the serial number within the
    /// incarnation.
    Announced(Member, Incarnation, u64),
}

/// The state that results from applying the log.
#[derive(Clone, Debug)]
pub struct Ledger<S> {
    applied: Index,
    /// The number of the last incarnation that began.
    incarnations: Incarnation,
    members: BTreeMap<Member, MemberState>,
    /// The application's state machine.
    pub state_machine: S,
    mutant: Option<Mutant>,
}

/// The serialized form of a ledger, as snapshots contain it.
#[derive(Serialize, Deserialize)]
struct SavedLedger {
    applied: Index,
    incarnations: Incarnation,
    members: BTreeMap<Member, MemberState>,
    #[serde(rename = "part")]
    state_machine: Vec<u8>,
}

impl<S: StateMachine> Ledger<S> {
    /// The state before the first entry.
    pub fn new(state_machine: S) -> Ledger<S> {
        Ledger { applied: 0, incarnations: 0, members: BTreeMap::new(), state_machine, mutant: None }
    }

    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Ledger<S> {
        self.mutant = mutant;
        self
    }

    /// The index of the last entry applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// All members that ever had an incarnation, each with its latest one.
    pub fn members(&self) -> &BTreeMap<Member, MemberState> {
        &self.members
    }

    /// Whether this incarnation has begun and not ended, according to the log applied so far.
    pub fn is_alive(&self, member: Member, incarnation: Incarnation) -> bool {
        self.members.get(&member).is_some_and(|s| s.incarnation == incarnation && !s.ended)
    }

    /// The newest record version that all live members can read.
    pub fn common_record_version(&self) -> u8 {
        self.members.values().filter(|s| !s.ended).map(|s| s.record_version).min().unwrap_or(VERSION)
    }

    /// Applies the entry that follows the last one applied; any other entry is ignored.
    pub fn apply(&mut self, at: Index, records: &[Record], events: &mut Vec<Event>) {
        if at != self.applied + 1 {
            return;
        }
        self.applied = at;
        records.iter().for_each(|record| self.apply_record(at, record, events));
    }

    fn apply_record(&mut self, at: Index, record: &Record, events: &mut Vec<Event>) {
        match *record {
            Record::Join { member, nonce, zone, record_version } => {
                let while_live = self.mutant == Some(Mutant::JoinsWhileLive);
                if self.members.get(&member).is_some_and(|s| !s.ended && !while_live || s.nonce == nonce) {
                    return;
                }
                self.incarnations += 1;
                let incarnation = self.incarnations;
                let new =
                    MemberState { incarnation, nonce, zone, record_version, ended: false, announced: 0 };
                self.members.insert(member, new);
                self.state_machine.began(at, (member, incarnation));
                events.push(Event::Began(member, incarnation));
            }
            Record::Ended { member, incarnation } => {
                let Some(state) =
                    self.members.get_mut(&member).filter(|s| s.incarnation == incarnation && !s.ended)
                else {
                    return;
                };
                state.ended = true;
                self.state_machine.ended(at, (member, incarnation));
                events.push(Event::Ended(member, incarnation));
            }
            Record::Announce { member, incarnation, serial, ref bytes } => {
                let (from_ended, duplicates, gaps) = (
                    self.mutant == Some(Mutant::AcceptsFromEndedIncarnation),
                    self.mutant == Some(Mutant::AcceptsDuplicates),
                    self.mutant == Some(Mutant::AcceptsGaps),
                );
                let Some(state) = self.members.get_mut(&member) else { return };
                let is_live = state.incarnation == incarnation && (!state.ended || from_ended);
                let is_next = serial == state.announced + 1
                    || duplicates && serial <= state.announced
                    || gaps && serial > state.announced;
                if is_live && is_next {
                    state.announced = state.announced.max(serial);
                    self.state_machine.announced(at, (member, incarnation), bytes);
                    events.push(Event::Announced(member, incarnation, serial));
                }
            }
        }
    }

    /// Serializes the whole state.
    pub fn save(&self) -> Vec<u8> {
        let Ledger { applied, incarnations, members, state_machine, .. } = self;
        let saved = SavedLedger {
            applied: *applied,
            incarnations: *incarnations,
            members: members.clone(),
            state_machine: state_machine.save(),
        };
        postcard::to_allocvec(&saved).unwrap_or_default()
    }

    /// Replaces this state with a saved one that is ahead of it; returns whether it did.
    pub fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok(saved) = postcard::from_bytes::<SavedLedger>(bytes) else { return false };
        let Some(state_machine) = S::load(&saved.state_machine).filter(|_| saved.applied > self.applied)
        else {
            return false;
        };
        let SavedLedger { applied, incarnations, members, .. } = saved;
        (self.applied, self.incarnations, self.members, self.state_machine) =
            (applied, incarnations, members, state_machine);
        true
    }
}
