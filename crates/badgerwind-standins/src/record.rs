//! The record of what stand-ins observe. It is written one line at a time, so that a kill truncates only the
//! last line.

use badgerwind_check::{Event, Line};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch: the clock shared by all records of one machine.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

enum Destination {
    None,
    File(File),
    Memory(Vec<Line>),
}

/// Writes a record; clones write to the same one.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<Destination>>);

impl Recorder {
    /// Discards all events.
    pub fn none() -> Self {
        Recorder(Arc::new(Mutex::new(Destination::None)))
    }
    /// Collects the lines in memory, for [`Recorder::take`].
    pub fn memory() -> Self {
        Recorder(Arc::new(Mutex::new(Destination::Memory(Vec::new()))))
    }
    /// Appends to a file.
    pub fn file(path: &Path) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Recorder(Arc::new(Mutex::new(Destination::File(file)))))
    }
    /// Records an event that happened now.
    pub fn add(&self, event: Event) {
        self.add_at(now(), event);
    }
    /// Records an event that happened at the given time, in microseconds.
    pub fn add_at(&self, at: u64, event: Event) {
        let line = Line { at, event };
        match &mut *self.0.lock().unwrap_or_else(PoisonError::into_inner) {
            Destination::None => {}
            Destination::Memory(lines) => lines.push(line),
            Destination::File(file) => {
                let mut text = serde_json::to_vec(&line).unwrap_or_default();
                text.push(b'\n');
                // An incomplete record must not pass for one without events.
                if let Err(e) = file.write_all(&text) {
                    eprintln!("cannot write the record: {e}");
                    std::process::exit(74);
                }
            }
        }
    }
    /// Removes and returns the lines collected in memory so far.
    pub fn take(&self) -> Vec<Line> {
        match &mut *self.0.lock().unwrap_or_else(PoisonError::into_inner) {
            Destination::Memory(lines) => std::mem::take(lines),
            _ => Vec::new(),
        }
    }
}
