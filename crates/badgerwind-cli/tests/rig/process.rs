//! A process of the program under test. Its log goes to a file, which a failing test leaves behind and names.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of processes started by this test program; makes the names of their log files unique.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// A process that is killed when its handle is dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a command. Its standard error goes to a log file, its standard output is discarded.
    pub fn start(name: &str, command: &mut Command) -> Process {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let log = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}-{number}.log", std::process::id()));
        let file = File::create(&log).unwrap();
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file).spawn().unwrap();
        Process { child, log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Panics if the process has ended by itself.
    pub fn assert_runs(&mut self) {
        if let Some(status) = self.child.try_wait().unwrap() {
            panic!(
                "the process logging to {} ended by itself, {status}:\n{}",
                self.log.display(),
                self.logged()
            );
        }
    }

    /// The content of the log file so far.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Path of the log file.
    pub fn log(&self) -> &Path {
        &self.log
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait()); // fails harmlessly if the process has ended
        if std::thread::panicking() {
            eprintln!("the log was left at {}", self.log.display());
        } else {
            let _ = std::fs::remove_file(&self.log); // the file may have been removed with its folder
        }
    }
}
