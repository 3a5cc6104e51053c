//! A process of the program under test. What it logs goes to a file; a test that fails leaves the file behind and names it.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Numbers the logs of one test program.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// A process, killed with its handle.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a command with its standard error in a file of its own and no standard output.
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

    /// Fails the test where the process has ended by itself.
    pub fn assert_runs(&mut self) {
        if let Some(status) = self.child.try_wait().unwrap() {
            panic!("{} ended by itself, {status}:\n{}", self.log.display(), self.logged());
        }
    }

    /// What it has logged so far.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Where it logs.
    pub fn log(&self) -> &Path {
        &self.log
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait()); // it may have ended
        if std::thread::panicking() {
            eprintln!("its log is kept: {}", self.log.display());
        } else {
            let _ = std::fs::remove_file(&self.log); // it may be gone with its folder
        }
    }
}
