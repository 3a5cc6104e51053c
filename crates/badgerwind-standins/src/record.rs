//! Where stand-ins write down what they see: one line at a time, so that a kill cuts none but the last.

use badgerwind_check::{Event, Line};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch, by which all records of one machine are compared.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

enum To {
    Nowhere,
    File(File),
    Memory(Vec<Line>),
}

/// A record being written; copies write to the same one.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<To>>);

impl Recorder {
    /// Keeps nothing.
    pub fn none() -> Self {
        Recorder(Arc::new(Mutex::new(To::Nowhere)))
    }
    /// Keeps the lines in memory, for [`Recorder::take`].
    pub fn memory() -> Self {
        Recorder(Arc::new(Mutex::new(To::Memory(Vec::new()))))
    }
    /// Appends to a file.
    pub fn file(path: &Path) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Recorder(Arc::new(Mutex::new(To::File(file)))))
    }
    /// Writes down what was just seen.
    pub fn add(&self, event: Event) {
        self.add_at(now(), event);
    }
    /// Writes down what was seen then.
    pub fn add_at(&self, at: u64, event: Event) {
        let line = Line { at, event };
        match &mut *self.0.lock().unwrap_or_else(PoisonError::into_inner) {
            To::Nowhere => {}
            To::Memory(lines) => lines.push(line),
            To::File(file) => {
                let mut text = serde_json::to_vec(&line).unwrap_or_default();
                text.push(b'\n');
                // A record that cannot be written must not look like a quiet day.
                if let Err(e) = file.write_all(&text) {
                    eprintln!("the record cannot be written: {e}");
                    std::process::exit(74);
                }
            }
        }
    }
    /// The lines kept in memory so far.
    pub fn take(&self) -> Vec<Line> {
        match &mut *self.0.lock().unwrap_or_else(PoisonError::into_inner) {
            To::Memory(lines) => std::mem::take(lines),
            _ => Vec::new(),
        }
    }
}
