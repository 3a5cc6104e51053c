//! An in-memory disk of a voter, for simulations: a completed write survives a restart, and each write is
//! atomic.

use crate::settings::Settings;
use crate::storage::{VoterStorage, VoterStorageError, Write};
use crate::voter;
use crate::wire::{WireEntry, WireHardState, WireSnapshot};
use std::collections::BTreeMap;

/// Everything that a voter has written.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    snapshot: Option<WireSnapshot>,
    hard_state: Option<WireHardState>,
    entries: BTreeMap<u64, WireEntry>,
}

impl MemoryDisk {
    /// Applies a write.
    pub fn write(&mut self, write: &Write) {
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = Some(snapshot.clone());
        }
        for entry in &write.entries {
            self.entries.split_off(&entry.index);
            self.entries.insert(entry.index, entry.clone());
        }
        self.hard_state = write.hard_state.or(self.hard_state);
        if let Some(compact_to) = write.compact_to {
            self.entries = self.entries.split_off(&(compact_to + 1));
        }
    }

    /// Restores a voter's storage, as after a restart.
    pub fn read(&self, settings: &Settings) -> Result<VoterStorage, VoterStorageError> {
        let initial = voter::initial_storage(&settings.voters);
        let Some(hard_state) = self.hard_state else { return Ok(initial) };
        let snapshot = self.snapshot.clone().unwrap_or_else(|| initial.initial_snapshot());
        VoterStorage::restore(snapshot, hard_state, self.entries.values().cloned().collect())
    }
}
