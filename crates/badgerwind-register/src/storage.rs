//! The persistent state of a voter: its vote, the log, and a snapshot of the state up to where the log
//! begins. The runtime writes each [`Write`] to the disk before the node goes on; from what it reads back the
//! voter restarts as the same voter. A voter that has lost its disk must not restart as the same voter: it
//! may have voted.

use crate::wire::{WireEntry, WireHardState, WireSnapshot};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::storage::{RaftState, Storage};
use raft::util::limit_size;
use raft::{GetEntriesContext, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// An atomic write to the disk. It must be durable before any message that depends on it leaves the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Replaces the stored snapshot, and the log up to and including its index.
    pub snapshot: Option<WireSnapshot>,
    /// Replace the stored entries from the first one's index on.
    pub entries: Vec<WireEntry>,
    /// The term and vote.
    #[serde(rename = "hard")]
    pub hard_state: Option<WireHardState>,
    /// Entries up to and including this index may be deleted.
    #[serde(rename = "cut")]
    pub compact_to: Option<u64>,
}

impl Write {
    /// The index of an entry.
    pub fn entry_index(entry: &WireEntry) -> u64 {
        entry.index
    }

    /// The index of the last entry that a snapshot covers.
    pub fn snapshot_index(snapshot: &WireSnapshot) -> u64 {
        snapshot.index
    }
}

/// The data read from the disk is inconsistent, so that no voter can have written it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterStorageError {
    /// Entries are missing.
    #[error(
        "entry {0} is missing from the voter's log: its disk is damaged; remove this voter and add another"
    )]
    MissingEntry(u64),
    /// The log ends before an entry that was committed.
    #[error("the voter's log ends at entry {last}, before the committed entry {commit}: its disk is damaged; remove this voter and add another")]
    LogTooShort {
        /// The index of the last entry.
        last: u64,
        /// The index of the last committed entry.
        commit: u64,
    },
}

/// The in-memory view of a voter's disk, including the write that is in progress.
#[derive(Clone, Debug)]
pub struct VoterStorage {
    hard_state: HardState,
    voters: Vec<u64>,
    snapshot: WireSnapshot,
    /// Index and term of the last entry that was deleted.
    compacted: (u64, u64),
    entries: VecDeque<Entry>,
}

impl VoterStorage {
    /// The storage of a new register with these voters.
    pub fn new(voters: &[u64]) -> VoterStorage {
        let snapshot = WireSnapshot { index: 0, term: 0, voters: voters.to_vec(), data: Vec::new() };
        VoterStorage {
            hard_state: HardState::default(),
            voters: voters.to_vec(),
            snapshot,
            compacted: (0, 0),
            entries: VecDeque::new(),
        }
    }

    /// Restores the storage from what was on the disk: the last snapshot, the hard state, and the entries in
    /// order. Entries that the snapshot covers are skipped.
    pub fn restore(
        snapshot: WireSnapshot,
        hard_state: WireHardState,
        entries: Vec<WireEntry>,
    ) -> Result<VoterStorage, VoterStorageError> {
        let mut storage = VoterStorage::new(&snapshot.voters);
        storage.compacted = (snapshot.index, snapshot.term);
        for entry in entries.into_iter().filter(|e| e.index > snapshot.index) {
            let next = storage.last() + 1;
            if entry.index != next {
                return Err(VoterStorageError::MissingEntry(next));
            }
            storage.entries.push_back(entry.into_raft());
        }
        if hard_state.commit > storage.last() {
            return Err(VoterStorageError::LogTooShort { last: storage.last(), commit: hard_state.commit });
        }
        storage.hard_state = hard_state.into_raft();
        storage.hard_state.commit = storage.hard_state.commit.max(snapshot.index);
        storage.snapshot = snapshot;
        Ok(storage)
    }

    /// The snapshot with which a new voter starts, before it has written one.
    pub fn initial_snapshot(&self) -> WireSnapshot {
        self.snapshot.clone()
    }

    /// The index of the last entry, stored or compacted.
    fn last(&self) -> u64 {
        self.compacted.0 + self.entries.len() as u64
    }

    /// Applies a write that was made or is in progress.
    pub(crate) fn apply(&mut self, write: &Write) {
        if let Some(snapshot) = write.snapshot.as_ref().filter(|s| s.index > self.snapshot.index) {
            self.snapshot = snapshot.clone();
            if snapshot.index >= self.last() || self.term(snapshot.index) != Ok(snapshot.term) {
                self.entries.clear();
                self.compacted = (snapshot.index, snapshot.term);
            }
            self.voters = snapshot.voters.clone();
            self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
            self.hard_state.term = self.hard_state.term.max(snapshot.term);
        }
        for entry in &write.entries {
            // An entry replaces the one with the same index and all that follow it: the library repairs a
            // diverged log this way.
            let at = entry.index.saturating_sub(self.compacted.0 + 1) as usize;
            if entry.index > self.compacted.0 && at <= self.entries.len() {
                self.entries.truncate(at);
                self.entries.push_back(entry.clone().into_raft());
            }
        }
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state.into_raft();
        }
        if let Some(compact_to) = write.compact_to {
            while self.compacted.0 < compact_to.min(self.snapshot.index) {
                let Some(entry) = self.entries.pop_front() else { break };
                self.compacted = (entry.index, entry.term);
            }
        }
    }

    /// Raises the commit index in memory.
    pub(crate) fn commit(&mut self, commit: u64) {
        self.hard_state.commit = self.hard_state.commit.max(commit);
    }

    pub(crate) fn hard_state(&self) -> HardState {
        self.hard_state.clone()
    }

    pub(crate) fn set_voters(&mut self, conf: &ConfState) {
        self.voters = conf.voters.clone();
    }

    pub(crate) fn voters(&self) -> &[u64] {
        &self.voters
    }

    pub(crate) fn latest_snapshot(&self) -> &WireSnapshot {
        &self.snapshot
    }

    /// Entries after `index` up to and including `up_to`, at most about `max_bytes` but at least one; `None`
    /// where they were already deleted.
    pub(crate) fn entries_after(
        &self,
        index: u64,
        up_to: u64,
        max_bytes: usize,
    ) -> Option<Vec<(u64, Vec<u8>)>> {
        let from = index.checked_sub(self.compacted.0)? as usize;
        let (mut out, mut bytes) = (Vec::new(), 0);
        for entry in self.entries.iter().skip(from).take_while(|e| e.index <= up_to) {
            bytes += entry.data.len() + 16;
            if bytes > max_bytes && !out.is_empty() {
                break;
            }
            let has_records = entry.get_entry_type() == EntryType::EntryNormal;
            out.push((entry.index, if has_records { entry.data.to_vec() } else { Vec::new() }));
        }
        Some(out)
    }
}

impl Storage for VoterStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf = ConfState { voters: self.voters.clone(), ..ConfState::default() };
        Ok(RaftState::new(self.hard_state.clone(), conf))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted.0 {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let (from, to) = (low - self.compacted.0 - 1, high - self.compacted.0 - 1);
        let mut out: Vec<Entry> = self.entries.range(from as usize..to as usize).cloned().collect();
        limit_size(&mut out, max_size.into());
        Ok(out)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted.0 {
            return Ok(self.compacted.1);
        }
        let at =
            index.checked_sub(self.compacted.0 + 1).ok_or(raft::Error::Store(StorageError::Compacted))?;
        self.entries.get(at as usize).map(|e| e.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.index == 0 || self.snapshot.index < request_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.to_raft())
    }
}
