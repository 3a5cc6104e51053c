//! A voter's disk: vote, log and snapshot in an embedded database (`redb`). Each write is one atomic
//! transaction, which is durable when it returns.

use badgerwind_register::{VoterStorage, VoterStorageError, Write};
use redb::{Database, Durability, ReadableTable, TableDefinition};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// Entries of the log, by index.
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
/// Format, vote (`hard`) and last snapshot, by name.
const STATE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("state");
/// Identifies the format of the file.
const FORMAT: &[u8] = b"badgerwind-register 1";

/// The persistent storage of a voter.
#[derive(Debug)]
pub struct Disk {
    database: Database,
    path: PathBuf,
}

/// Error of a voter's disk.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The file does not exist. A voter without its file may have voted before.
    #[error("{0}: no register file exists. A voter that has lost its disk must not vote again under the same number; remove it from the voters and add it anew, or create the file if the fleet is new")]
    Missing(PathBuf),
    /// The file exists where none is expected.
    #[error("{0}: a register file exists already; it is not overwritten")]
    AlreadyExists(PathBuf),
    /// The file has another format, or is not a register.
    #[error("{0}: not a register file of this format; it belongs to another program or to a newer version")]
    UnknownFormat(PathBuf),
    /// The contents cannot have been written by a voter.
    #[error("{0}: {1}")]
    Invalid(PathBuf, VoterStorageError),
    /// The checks of the database failed: the file is truncated or overwritten.
    #[error("{0}: the file is truncated or damaged; remove this voter from the voters and add it anew with a new file")]
    Corrupt(PathBuf),
    /// An operation of the database failed.
    #[error("{0}: {1}; the voter is stopped until its disk can be written")]
    Database(PathBuf, Box<redb::Error>),
}

impl Disk {
    fn database_error(path: &Path) -> impl Fn(redb::Error) -> DiskError + '_ {
        |e| DiskError::Database(path.to_owned(), Box::new(e))
    }

    /// Creates a voter's file with its initial storage.
    pub fn create(path: &Path, storage: &VoterStorage) -> Result<Disk, DiskError> {
        if path.exists() {
            return Err(DiskError::AlreadyExists(path.to_owned()));
        }
        let database = Database::create(path).map_err(|e| Disk::database_error(path)(e.into()))?;
        let disk = Disk { database, path: path.to_owned() };
        disk.transaction(|log, state| {
            let snapshot = postcard::to_allocvec(&storage.initial_snapshot()).unwrap_or_default();
            state.insert("form", FORMAT)?;
            state.insert("snapshot", snapshot.as_slice())?;
            log.retain(|_, _| false)?;
            Ok(())
        })?;
        Ok(disk)
    }

    /// Opens a voter's file and reads its storage.
    pub fn open(path: &Path) -> Result<(Disk, VoterStorage), DiskError> {
        if !path.exists() {
            return Err(DiskError::Missing(path.to_owned()));
        }
        // The database panics on some truncated files: this is reported as an error instead.
        catch_unwind(AssertUnwindSafe(|| Disk::read(path)))
            .unwrap_or_else(|_| Err(DiskError::Corrupt(path.to_owned())))
    }

    fn read(path: &Path) -> Result<(Disk, VoterStorage), DiskError> {
        let failed = Disk::database_error(path);
        let database = Database::open(path).map_err(|e| failed(e.into()))?;
        let read = database.begin_read().map_err(|e| failed(e.into()))?;
        let unknown_format = || DiskError::UnknownFormat(path.to_owned());
        let state = read.open_table(STATE).map_err(|_| unknown_format())?;
        let get = |name: &str| -> Result<Option<Vec<u8>>, DiskError> {
            Ok(state.get(name).map_err(|e| failed(e.into()))?.map(|v| v.value().to_vec()))
        };
        if get("form")?.as_deref() != Some(FORMAT) {
            return Err(unknown_format());
        }
        let snapshot = get("snapshot")?.ok_or_else(unknown_format)?;
        let snapshot = postcard::from_bytes(&snapshot).map_err(|_| unknown_format())?;
        let hard_state = match get("hard")? {
            Some(bytes) => postcard::from_bytes(&bytes).map_err(|_| unknown_format())?,
            None => Default::default(),
        };
        let mut entries = Vec::new();
        let log = read.open_table(LOG).map_err(|e| failed(e.into()))?;
        for row in log.iter().map_err(|e| failed(e.into()))? {
            let (_, bytes) = row.map_err(|e| failed(e.into()))?;
            entries.push(postcard::from_bytes(bytes.value()).map_err(|_| unknown_format())?);
        }
        let storage = VoterStorage::restore(snapshot, hard_state, entries)
            .map_err(|e| DiskError::Invalid(path.to_owned(), e))?;
        drop((state, log));
        drop(read);
        Ok((Disk { database, path: path.to_owned() }, storage))
    }

    fn transaction(
        &self,
        apply: impl FnOnce(
            &mut redb::Table<'_, u64, &[u8]>,
            &mut redb::Table<'_, &str, &[u8]>,
        ) -> Result<(), redb::StorageError>,
    ) -> Result<(), DiskError> {
        let failed = Disk::database_error(&self.path);
        let mut transaction = self.database.begin_write().map_err(|e| failed(e.into()))?;
        transaction.set_durability(Durability::Immediate);
        {
            let mut log = transaction.open_table(LOG).map_err(|e| failed(e.into()))?;
            let mut state = transaction.open_table(STATE).map_err(|e| failed(e.into()))?;
            apply(&mut log, &mut state).map_err(|e| failed(e.into()))?;
        }
        transaction.commit().map_err(|e| failed(e.into()))
    }

    /// Writes in one transaction, which is durable when this returns. After an error, no message that depends
    /// on the write may be sent.
    pub fn write(&self, write: &Write) -> Result<(), DiskError> {
        self.transaction(|log, state| {
            if let Some(snapshot) = &write.snapshot {
                let bytes = postcard::to_allocvec(snapshot).unwrap_or_default();
                state.insert("snapshot", bytes.as_slice())?;
            }
            // The new entries replace the stored ones from the first one's index on.
            if let Some(first) = write.entries.first().map(Write::entry_index) {
                log.retain_in(first.., |_, _| false)?;
            }
            for entry in &write.entries {
                let bytes = postcard::to_allocvec(entry).unwrap_or_default();
                log.insert(Write::entry_index(entry), bytes.as_slice())?;
            }
            if let Some(hard_state) = &write.hard_state {
                let bytes = postcard::to_allocvec(hard_state).unwrap_or_default();
                state.insert("hard", bytes.as_slice())?;
            }
            if let Some(compact_to) = write.compact_to {
                log.retain_in(..=compact_to, |_, _| false)?;
            }
            Ok(())
        })
    }
}
