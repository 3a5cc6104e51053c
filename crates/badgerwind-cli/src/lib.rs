//! The sub-commands of `badgerwind`, as a library so that tests can build front ends with other options.

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

/// Failure of a command: the message and the exit code.
#[derive(Debug)]
pub struct CommandError {
    /// Printed to standard error.
    pub message: String,
    /// 2 for errors in the caller's input, 1 otherwise.
    pub exit_code: u8,
}

impl CommandError {
    /// An error in the caller's arguments or files; exit code 2.
    pub fn usage(message: impl Into<String>) -> Self {
        CommandError { message: message.into(), exit_code: 2 }
    }
    /// Any other failure; exit code 1.
    pub fn failed(message: impl Into<String>) -> Self {
        CommandError { message: message.into(), exit_code: 1 }
    }
}

/// Writes a file atomically: readers see the whole content or no file.
pub fn write_atomically(path: &Path, text: &str) -> Result<(), CommandError> {
    let temporary = path.with_extension("part");
    std::fs::write(&temporary, text)
        .and_then(|()| std::fs::rename(&temporary, path))
        .map_err(|e| CommandError::failed(format!("cannot write {}: {e}", path.display())))
}
