//! A voter's disk: vote, log and snapshot in an embedded store (`redb`: each write is one transaction, on the disk when it returns,
//! whole or not at all).

use badgerwind_register::{VoterStorage, VoterStorageError, Write};
use redb::{Database, Durability, ReadableTable, TableDefinition};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const STATE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("state");
const FORM: &[u8] = b"badgerwind-register 1";

/// A voter's disk.
#[derive(Debug)]
pub struct Disk {
    store: Database,
    path: PathBuf,
}

/// Why a disk cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// There is none where one must be: a voter without its disk may have voted before.
    #[error("{0}: no register there. A voter that has lost its disk does not vote again under its place; take it out of the voters and add it anew, or make the first one when the fleet begins")]
    Missing(PathBuf),
    /// There is one where none may be.
    #[error("{0}: a register is there already; it is not begun anew")]
    Present(PathBuf),
    /// Another form, or no register.
    #[error("{0}: not a register of this form; the file belongs to something else or to a newer program")]
    Form(PathBuf),
    /// What is there cannot be what a voter wrote.
    #[error("{0}: {1}")]
    Damaged(PathBuf, VoterStorageError),
    /// The store's own checks stopped at it: cut off, or written over.
    #[error("{0}: the file is cut off or damaged; take this voter out of the voters and add it anew with a new file")]
    Torn(PathBuf),
    /// The store failed.
    #[error("{0}: {1}; the voter stands still until its disk can be written")]
    Store(PathBuf, Box<redb::Error>),
}

impl Disk {
    fn failed(path: &Path) -> impl Fn(redb::Error) -> DiskError + '_ {
        |e| DiskError::Store(path.to_owned(), Box::new(e))
    }

    /// Makes a voter's disk with what it begins with.
    pub fn create(path: &Path, storage: &VoterStorage) -> Result<Disk, DiskError> {
        if path.exists() {
            return Err(DiskError::Present(path.to_owned()));
        }
        let store = Database::create(path).map_err(|e| Disk::failed(path)(e.into()))?;
        let disk = Disk { store, path: path.to_owned() };
        disk.transaction(|log, state| {
            let first = postcard::to_allocvec(&storage.initial_snapshot()).unwrap_or_default();
            state.insert("form", FORM)?;
            state.insert("snapshot", first.as_slice())?;
            log.retain(|_, _| false)?;
            Ok(())
        })?;
        Ok(disk)
    }

    /// Opens one, and reads what the voter must not have forgotten.
    pub fn open(path: &Path) -> Result<(Disk, VoterStorage), DiskError> {
        if !path.exists() {
            return Err(DiskError::Missing(path.to_owned()));
        }
        // The store asserts what it finds of a file's length: a file that was cut off is an error here, and no panic.
        catch_unwind(AssertUnwindSafe(|| Disk::read(path)))
            .unwrap_or_else(|_| Err(DiskError::Torn(path.to_owned())))
    }

    fn read(path: &Path) -> Result<(Disk, VoterStorage), DiskError> {
        let failed = Disk::failed(path);
        let store = Database::open(path).map_err(|e| failed(e.into()))?;
        let read = store.begin_read().map_err(|e| failed(e.into()))?;
        let form = || DiskError::Form(path.to_owned());
        let state = read.open_table(STATE).map_err(|_| form())?;
        let get = |name: &str| -> Result<Option<Vec<u8>>, DiskError> {
            Ok(state.get(name).map_err(|e| failed(e.into()))?.map(|v| v.value().to_vec()))
        };
        if get("form")?.as_deref() != Some(FORM) {
            return Err(form());
        }
        let snapshot = get("snapshot")?.ok_or_else(form)?;
        let snapshot = postcard::from_bytes(&snapshot).map_err(|_| form())?;
        let hard = match get("hard")? {
            Some(bytes) => postcard::from_bytes(&bytes).map_err(|_| form())?,
            None => Default::default(),
        };
        let mut entries = Vec::new();
        let log = read.open_table(LOG).map_err(|e| failed(e.into()))?;
        for row in log.iter().map_err(|e| failed(e.into()))? {
            let (_, bytes) = row.map_err(|e| failed(e.into()))?;
            entries.push(postcard::from_bytes(bytes.value()).map_err(|_| form())?);
        }
        let storage = VoterStorage::restore(snapshot, hard, entries)
            .map_err(|e| DiskError::Damaged(path.to_owned(), e))?;
        drop((state, log));
        drop(read);
        Ok((Disk { store, path: path.to_owned() }, storage))
    }

    fn transaction(
        &self,
        act: impl FnOnce(
            &mut redb::Table<'_, u64, &[u8]>,
            &mut redb::Table<'_, &str, &[u8]>,
        ) -> Result<(), redb::StorageError>,
    ) -> Result<(), DiskError> {
        let failed = Disk::failed(&self.path);
        let mut t = self.store.begin_write().map_err(|e| failed(e.into()))?;
        t.set_durability(Durability::Immediate);
        {
            let mut log = t.open_table(LOG).map_err(|e| failed(e.into()))?;
            let mut state = t.open_table(STATE).map_err(|e| failed(e.into()))?;
            act(&mut log, &mut state).map_err(|e| failed(e.into()))?;
        }
        t.commit().map_err(|e| failed(e.into()))
    }

    /// Writes; on the disk when it returns. After an error nothing that rests on it may leave the process.
    pub fn write(&self, write: &Write) -> Result<(), DiskError> {
        self.transaction(|log, state| {
            if let Some(s) = &write.snapshot {
                let bytes = postcard::to_allocvec(s).unwrap_or_default();
                state.insert("snapshot", bytes.as_slice())?;
            }
            if let Some(first) = write.entries.first().map(Write::entry_index) {
                log.retain_in(first.., |_, _| false)?;
            }
            for e in &write.entries {
                let bytes = postcard::to_allocvec(e).unwrap_or_default();
                log.insert(Write::entry_index(e), bytes.as_slice())?;
            }
            if let Some(h) = &write.hard_state {
                let bytes = postcard::to_allocvec(h).unwrap_or_default();
                state.insert("hard", bytes.as_slice())?;
            }
            if let Some(cut) = write.compact_to {
                log.retain_in(..=cut, |_, _| false)?;
            }
            Ok(())
        })
    }
}
