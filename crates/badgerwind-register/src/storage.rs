//! What a voter must find again after its death: its vote, the log, and all that stands up to where the log begins. The shell
//! writes each [`Write`] to the disk before the node goes on; from what it reads back a voter starts again as the same voter.
//! A voter whose disk is lost is not the same voter: it may have voted.

use crate::wire::{EntryForm, HardForm, SnapshotForm};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::storage::{RaftState, Storage};
use raft::util::limit_size;
use raft::{GetEntriesContext, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What goes to the disk, whole or not at all, before anything that rests on it leaves the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Takes the place of all up to its index.
    pub snapshot: Option<SnapshotForm>,
    /// Take the place of those of the same index and all after.
    pub entries: Vec<EntryForm>,
    /// The vote.
    pub hard: Option<HardForm>,
    /// Entries up to here need not be kept any more.
    pub cut: Option<u64>,
}

impl Write {
    /// The index of an entry.
    pub fn index(entry: &EntryForm) -> u64 {
        entry.index
    }

    /// The index up to which a snapshot stands.
    pub fn upto(snapshot: &SnapshotForm) -> u64 {
        snapshot.index
    }
}

/// What was read back cannot be what a voter wrote.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterStorageError {
    /// Entries are missing.
    #[error("entry {0} is missing from the voter's log: its disk is damaged; remove this voter and let another join")]
    Gap(u64),
    /// The log goes back on what was committed.
    #[error("the voter's log ends at {last}, before entry {commit} that it knew to stand: its disk is damaged; remove this voter and let another join")]
    Short {
        /// The last entry.
        last: u64,
        /// The last that stood.
        commit: u64,
    },
}

/// A voter's memory: what is on its disk, and as long as it takes to write, what goes there.
#[derive(Clone, Debug)]
pub struct VoterStorage {
    hard: HardState,
    voters: Vec<u64>,
    snapshot: SnapshotForm,
    /// The last entry that is no longer there: its index and term.
    before: (u64, u64),
    entries: VecDeque<Entry>,
}

impl VoterStorage {
    /// The register begins, with these voters.
    pub fn begin(voters: &[u64]) -> VoterStorage {
        let snapshot = SnapshotForm { index: 0, term: 0, voters: voters.to_vec(), data: Vec::new() };
        VoterStorage {
            hard: HardState::default(),
            voters: voters.to_vec(),
            snapshot,
            before: (0, 0),
            entries: VecDeque::new(),
        }
    }

    /// What was on the disk: the last snapshot, the vote, and the entries in order; those that the snapshot covers are passed
    /// over.
    pub fn read(
        snapshot: SnapshotForm,
        hard: HardForm,
        entries: Vec<EntryForm>,
    ) -> Result<VoterStorage, VoterStorageError> {
        let mut storage = VoterStorage::begin(&snapshot.voters);
        storage.before = (snapshot.index, snapshot.term);
        for e in entries.into_iter().filter(|e| e.index > snapshot.index) {
            let next = storage.last() + 1;
            if e.index != next {
                return Err(VoterStorageError::Gap(next));
            }
            storage.entries.push_back(e.entry());
        }
        if hard.commit > storage.last() {
            return Err(VoterStorageError::Short { last: storage.last(), commit: hard.commit });
        }
        storage.hard = hard.hard();
        storage.hard.commit = storage.hard.commit.max(snapshot.index);
        storage.snapshot = snapshot;
        Ok(storage)
    }

    /// What a voter that has written no snapshot yet begins with.
    pub fn first(&self) -> SnapshotForm {
        self.snapshot.clone()
    }

    fn last(&self) -> u64 {
        self.before.0 + self.entries.len() as u64
    }

    /// Takes in what was, or is being, written.
    pub(crate) fn take(&mut self, write: &Write) {
        if let Some(s) = write.snapshot.as_ref().filter(|s| s.index > self.snapshot.index) {
            self.snapshot = s.clone();
            if s.index >= self.last() || self.term(s.index) != Ok(s.term) {
                self.entries.clear();
                self.before = (s.index, s.term);
            }
            self.voters = s.voters.clone();
            self.hard.commit = self.hard.commit.max(s.index);
            self.hard.term = self.hard.term.max(s.term);
        }
        for e in &write.entries {
            // One that is there already, and all after it, give way: that is how the library mends a log.
            let at = e.index.saturating_sub(self.before.0 + 1) as usize;
            if e.index > self.before.0 && at <= self.entries.len() {
                self.entries.truncate(at);
                self.entries.push_back(e.clone().entry());
            }
        }
        if let Some(h) = write.hard {
            self.hard = h.hard();
        }
        if let Some(cut) = write.cut {
            while self.before.0 < cut.min(self.snapshot.index) {
                let Some(e) = self.entries.pop_front() else { break };
                self.before = (e.index, e.term);
            }
        }
    }

    pub(crate) fn commit(&mut self, commit: u64) {
        self.hard.commit = self.hard.commit.max(commit);
    }

    pub(crate) fn hard(&self) -> HardState {
        self.hard.clone()
    }

    pub(crate) fn set_voters(&mut self, conf: &ConfState) {
        self.voters = conf.voters.clone();
    }

    pub(crate) fn voters(&self) -> &[u64] {
        &self.voters
    }

    /// All that stands, as far as it was folded.
    pub(crate) fn folded(&self) -> &SnapshotForm {
        &self.snapshot
    }

    /// Entries after one, as far as another and as many as have room; `None` where they are no longer there.
    pub(crate) fn after(&self, index: u64, upto: u64, room: usize) -> Option<Vec<(u64, Vec<u8>)>> {
        let from = index.checked_sub(self.before.0)? as usize;
        let (mut out, mut bytes) = (Vec::new(), 0);
        for e in self.entries.iter().skip(from).take_while(|e| e.index <= upto) {
            bytes += e.data.len() + 16;
            if bytes > room && !out.is_empty() {
                break;
            }
            let records = e.get_entry_type() == EntryType::EntryNormal;
            out.push((e.index, if records { e.data.to_vec() } else { Vec::new() }));
        }
        Some(out)
    }
}

impl Storage for VoterStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf = ConfState { voters: self.voters.clone(), ..ConfState::default() };
        Ok(RaftState::new(self.hard.clone(), conf))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.before.0 {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let (from, to) = (low - self.before.0 - 1, high - self.before.0 - 1);
        let mut out: Vec<Entry> = self.entries.range(from as usize..to as usize).cloned().collect();
        limit_size(&mut out, max_size.into());
        Ok(out)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        let at = index.checked_sub(self.before.0 + 1).ok_or(raft::Error::Store(StorageError::Compacted))?;
        self.entries.get(at as usize).map(|e| e.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.index == 0 || self.snapshot.index < request_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.snapshot())
    }
}
