//! `send --from`: a folder of messages, each a file whose name is its id, delivered by the specification's schedule.
//!
//! Beside each file that is not delivered yet stands `ID.state`, so that a run that was killed goes on where it was.
//! What was delivered moves to `done/`, what was given up to `dead/`, with the reason beside it.

use crate::send::{post, Message, To};
use crate::CommandError;
use badgerwind_webhook::delivery::{next, Got, Next};
use badgerwind_webhook::Key;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A folder to deliver from, and whereto.
pub struct Outbox<'a> {
    /// The folder.
    pub folder: &'a Path,
    /// The receiver.
    pub to: To,
    /// Its path.
    pub path: &'a str,
    /// What signs.
    pub key: &'a Key,
    /// How long to wait for one answer.
    pub deadline: Duration,
    /// The messages must not run twice and the receiver has no fence.
    pub lodgements: bool,
}

/// Where a message stands.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct State {
    /// Attempts made.
    made: usize,
    /// When it is due, in microseconds since the Unix epoch.
    due: u64,
    /// An attempt was begun and its end never written down: it may have run.
    open: bool,
}

/// How often the folder is looked at while nothing is due.
const LOOK: Duration = Duration::from_millis(500);

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

fn failed(path: &Path, e: impl std::fmt::Display) -> CommandError {
    CommandError::failed(format!("{}: {e}", path.display()))
}

impl Outbox<'_> {
    /// Delivers what is there. `once`: ends when nothing is due now; else when nothing is left.
    pub fn deliver(&self, once: bool) -> Result<(), CommandError> {
        for sub in ["done", "dead"] {
            let path = self.folder.join(sub);
            std::fs::create_dir_all(&path).map_err(|e| failed(&path, e))?;
        }
        loop {
            let mut left = Vec::new();
            for file in self.messages()? {
                let state = self.state(&file)?;
                if state.due > now() {
                    left.push((file, state.due));
                } else if let Some(due) = self.one(&file, state)? {
                    left.push((file, due));
                }
            }
            if left.is_empty() || once {
                for (file, due) in left {
                    let wait = Duration::from_micros(due.saturating_sub(now()));
                    println!("{}: due in {wait:.0?}", id(&file));
                }
                return Ok(());
            }
            let soonest = left.iter().map(|l| l.1).min().unwrap_or(0).saturating_sub(now());
            std::thread::sleep(Duration::from_micros(soonest).clamp(Duration::from_millis(1), LOOK));
        }
    }

    /// The messages, by name.
    fn messages(&self) -> Result<Vec<PathBuf>, CommandError> {
        let entries = std::fs::read_dir(self.folder).map_err(|e| failed(self.folder, e))?;
        let mut files = Vec::new();
        for entry in entries {
            let path = entry.map_err(|e| failed(self.folder, e))?.path();
            let skipped = path.extension().is_some_and(|e| e == "state" || e == "part");
            if path.is_file() && !skipped {
                files.push(path);
            }
        }
        files.sort();
        Ok(files)
    }

    fn state(&self, file: &Path) -> Result<State, CommandError> {
        let path = file.with_extension("state");
        match std::fs::read(&path) {
            Ok(bytes) => serde_json::from_slice(&bytes).map_err(|e| failed(&path, e)),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(State::default()),
            Err(e) => Err(failed(&path, e)),
        }
    }

    fn keep(&self, file: &Path, state: &State) -> Result<(), CommandError> {
        let text = serde_json::to_string(state).map_err(|e| failed(file, e))?;
        crate::write_atomically(&file.with_extension("state"), &text)
    }

    /// Posts a message once; when it is due again, or `None` once it is done with.
    fn one(&self, file: &Path, mut state: State) -> Result<Option<u64>, CommandError> {
        let id = id(file);
        let got = if state.open {
            // Killed in the middle of an attempt: nobody knows what became of it.
            Got::NoAnswer
        } else {
            let body = std::fs::read(file).map_err(|e| failed(file, e))?;
            (state.made, state.open) = (state.made + 1, true);
            self.keep(file, &state)?;
            let retry = state.made > 1;
            let message =
                Message { id: &id, path: self.path, deadline: self.deadline, retry, callback: None, body };
            match smol::block_on(post(self.to.clone(), self.key, message)) {
                Ok((head, _)) => {
                    let seconds: Option<u64> = head.headers.get("retry-after").and_then(|v| v.parse().ok());
                    Got::Status(head.status, seconds.map(|s| s.saturating_mul(1_000_000)))
                }
                Err(e) if e.starts_with("no connection") => Got::Unreached,
                Err(_) => Got::NoAnswer,
            }
        };
        state.open = false;
        match next(got, state.made, self.lodgements, draw(&id, state.made)) {
            Next::Done => {
                println!("{id}: delivered at attempt {}", state.made);
                self.put_away(file, "done")?;
                Ok(None)
            }
            Next::Dead(why) => {
                println!("{id}: given up: {why}");
                let reason = self.folder.join("dead").join(format!("{id}.reason"));
                crate::write_atomically(&reason, &format!("{why}\n"))?;
                self.put_away(file, "dead")?;
                Ok(None)
            }
            Next::Again(pause) => {
                state.due = now() + pause;
                self.keep(file, &state)?;
                Ok(Some(state.due))
            }
        }
    }

    /// The message first, its state after: killed in between, the state of nothing is left over.
    fn put_away(&self, file: &Path, sub: &str) -> Result<(), CommandError> {
        let Some(name) = file.file_name() else { return Ok(()) };
        std::fs::rename(file, self.folder.join(sub).join(name)).map_err(|e| failed(file, e))?;
        let _ = std::fs::remove_file(file.with_extension("state"));
        Ok(())
    }
}

fn id(file: &Path) -> String {
    file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned())
}

/// Chance that differs by message and attempt, and is the same after a restart.
fn draw(id: &str, made: usize) -> f64 {
    let seed = id.bytes().fold(made as u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    use rand::{rngs::StdRng, Rng, SeedableRng};
    StdRng::seed_from_u64(seed).random()
}
