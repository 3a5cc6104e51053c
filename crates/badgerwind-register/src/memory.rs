//! A voter's disk in memory, for simulated groups: what was written is there after a restart, whole or not at all.

use crate::storage::{VoterStorage, VoterStorageError, Write};
use crate::terms::Terms;
use crate::voter;
use crate::wire::{EntryForm, HardForm, SnapshotForm};
use std::collections::BTreeMap;

/// What a voter has written.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    snapshot: Option<SnapshotForm>,
    hard: Option<HardForm>,
    entries: BTreeMap<u64, EntryForm>,
}

impl MemoryDisk {
    /// Takes a write in.
    pub fn write(&mut self, write: &Write) {
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = Some(snapshot.clone());
        }
        for entry in &write.entries {
            self.entries.split_off(&entry.index);
            self.entries.insert(entry.index, entry.clone());
        }
        self.hard = write.hard.or(self.hard);
        if let Some(cut) = write.cut {
            self.entries = self.entries.split_off(&(cut + 1));
        }
    }

    /// What a voter that starts again finds.
    pub fn read(&self, terms: &Terms) -> Result<VoterStorage, VoterStorageError> {
        let first = voter::begin(&terms.voters);
        let Some(hard) = self.hard else { return Ok(first) };
        let snapshot = self.snapshot.clone().unwrap_or_else(|| first.first());
        VoterStorage::read(snapshot, hard, self.entries.values().cloned().collect())
    }
}
