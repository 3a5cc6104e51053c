//! The sub-commands of `badgerwind`, as a library so that tests can put a front end together differently.

pub mod budgets;
pub mod control;
pub mod day;
pub mod demo;
pub mod fleet;
pub mod keys;
pub mod outbox;
pub mod platform;
pub mod send;
pub mod serve;
pub mod standin;
pub mod trace;

use std::path::Path;

/// A command that could not be carried out: what to tell, and the exit code.
#[derive(Debug)]
pub struct Stop {
    /// For standard error.
    pub text: String,
    /// 2 for what the caller wrote, 1 for all else.
    pub code: u8,
}

impl Stop {
    /// The caller must change something.
    pub fn usage(text: impl Into<String>) -> Self {
        Stop { text: text.into(), code: 2 }
    }
    /// It went wrong.
    pub fn failed(text: impl Into<String>) -> Self {
        Stop { text: text.into(), code: 1 }
    }
}

/// Writes a file that whoever waits for it sees whole or not at all.
pub fn write_whole(path: &Path, text: &str) -> Result<(), Stop> {
    let beside = path.with_extension("part");
    std::fs::write(&beside, text)
        .and_then(|()| std::fs::rename(&beside, path))
        .map_err(|e| Stop::failed(format!("cannot write {}: {e}", path.display())))
}
