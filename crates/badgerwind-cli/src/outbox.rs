//! `send --from`: delivers a folder of messages by the retry schedule of the Standard Webhooks specification.
//! Each file is one message, named by its id.
//!
//! The delivery state of a pending message is stored in `ID.state`, so that a run that was killed is resumed.
//! Delivered messages move to `done/`; abandoned ones move to `dead/`, with a file that gives the reason.

use crate::send::{post, Message, Receiver};
use crate::CommandError;
use badgerwind_webhook::delivery::{next, AttemptResult, NextStep};
use badgerwind_webhook::Key;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A folder of messages and the receiver to deliver them to.
pub struct Outbox<'a> {
    /// The folder of messages.
    pub folder: &'a Path,
    /// The receiver.
    pub receiver: Receiver,
    /// The request path.
    pub path: &'a str,
    /// The signing key.
    pub key: &'a Key,
    /// How long to wait for one answer.
    pub deadline: Duration,
    /// Whether the messages must not run twice while the receiver has no fence.
    pub lodgements: bool,
}

/// Delivery state of a message.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct DeliveryState {
    /// Attempts made.
    #[serde(rename = "made")]
    attempts: usize,
    /// Time of the next attempt, in microseconds since the Unix epoch.
    #[serde(rename = "due")]
    due_at: u64,
    /// Whether an attempt was started whose result is not recorded: the message may have run.
    #[serde(rename = "open")]
    in_doubt: bool,
}

/// Interval at which the folder is scanned while nothing is due.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

fn now_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

fn file_error(path: &Path, e: impl std::fmt::Display) -> CommandError {
    CommandError::failed(format!("{}: {e}", path.display()))
}

impl Outbox<'_> {
    /// Delivers the messages in the folder until none is left, or with `once` until none is due.
    pub fn deliver(&self, once: bool) -> Result<(), CommandError> {
        for sub in ["done", "dead"] {
            let path = self.folder.join(sub);
            std::fs::create_dir_all(&path).map_err(|e| file_error(&path, e))?;
        }
        loop {
            let mut pending = Vec::new();
            for file in self.messages()? {
                let state = self.load_state(&file)?;
                if state.due_at > now_micros() {
                    pending.push((file, state.due_at));
                } else if let Some(due) = self.attempt(&file, state)? {
                    pending.push((file, due));
                }
            }
            if pending.is_empty() || once {
                for (file, due) in pending {
                    let wait = Duration::from_micros(due.saturating_sub(now_micros()));
                    println!("{}: due in {wait:.0?}", message_id(&file));
                }
                return Ok(());
            }
            let next_due = pending.iter().map(|p| p.1).min().unwrap_or(0).saturating_sub(now_micros());
            std::thread::sleep(
                Duration::from_micros(next_due).clamp(Duration::from_millis(1), SCAN_INTERVAL),
            );
        }
    }

    /// The message files in the folder, sorted by name.
    fn messages(&self) -> Result<Vec<PathBuf>, CommandError> {
        let entries = std::fs::read_dir(self.folder).map_err(|e| file_error(self.folder, e))?;
        let mut files = Vec::new();
        for entry in entries {
            let path = entry.map_err(|e| file_error(self.folder, e))?.path();
            let skipped = path.extension().is_some_and(|e| e == "state" || e == "part");
            if path.is_file() && !skipped {
                files.push(path);
            }
        }
        files.sort();
        Ok(files)
    }

    fn load_state(&self, file: &Path) -> Result<DeliveryState, CommandError> {
        let path = file.with_extension("state");
        match std::fs::read(&path) {
            Ok(bytes) => serde_json::from_slice(&bytes).map_err(|e| file_error(&path, e)),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(DeliveryState::default()),
            Err(e) => Err(file_error(&path, e)),
        }
    }

    fn store_state(&self, file: &Path, state: &DeliveryState) -> Result<(), CommandError> {
        let text = serde_json::to_string(state).map_err(|e| file_error(file, e))?;
        crate::write_atomically(&file.with_extension("state"), &text)
    }

    /// Makes one attempt. Returns the time of the next one, or `None` after delivery or abandonment.
    fn attempt(&self, file: &Path, mut state: DeliveryState) -> Result<Option<u64>, CommandError> {
        let id = message_id(file);
        let result = if state.in_doubt {
            // An earlier run was killed during an attempt: its result is unknown.
            AttemptResult::NoAnswer
        } else {
            let body = std::fs::read(file).map_err(|e| file_error(file, e))?;
            (state.attempts, state.in_doubt) = (state.attempts + 1, true);
            self.store_state(file, &state)?;
            let retry = state.attempts > 1;
            let message =
                Message { id: &id, path: self.path, deadline: self.deadline, retry, callback: None, body };
            match smol::block_on(post(self.receiver.clone(), self.key, message)) {
                Ok((head, _)) => {
                    let seconds: Option<u64> = head.headers.get("retry-after").and_then(|v| v.parse().ok());
                    AttemptResult::Status(head.status, seconds.map(|s| s.saturating_mul(1_000_000)))
                }
                Err(e) if e.starts_with("no connection") => AttemptResult::Unreached,
                Err(_) => AttemptResult::NoAnswer,
            }
        };
        state.in_doubt = false;
        match next(result, state.attempts, self.lodgements, jitter(&id, state.attempts)) {
            NextStep::Delivered => {
                println!("{id}: delivered at attempt {}", state.attempts);
                self.archive(file, "done")?;
                Ok(None)
            }
            NextStep::GiveUp(why) => {
                println!("{id}: given up: {why}");
                let reason = self.folder.join("dead").join(format!("{id}.reason"));
                crate::write_atomically(&reason, &format!("{why}\n"))?;
                self.archive(file, "dead")?;
                Ok(None)
            }
            NextStep::RetryAfter(pause) => {
                state.due_at = now_micros() + pause;
                self.store_state(file, &state)?;
                Ok(Some(state.due_at))
            }
        }
    }

    /// Moves a message to a sub-folder, then removes its state. A run killed in between leaves only an unused
    /// state file.
    fn archive(&self, file: &Path, sub: &str) -> Result<(), CommandError> {
        let Some(name) = file.file_name() else { return Ok(()) };
        std::fs::rename(file, self.folder.join(sub).join(name)).map_err(|e| file_error(file, e))?;
        let _ = std::fs::remove_file(file.with_extension("state"));
        Ok(())
    }
}

fn message_id(file: &Path) -> String {
    file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned())
}

/// A number in [0, 1) that differs by message and attempt and is the same after a restart.
fn jitter(id: &str, attempts: usize) -> f64 {
    let seed = id.bytes().fold(attempts as u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    use rand::{rngs::StdRng, Rng, SeedableRng};
    StdRng::seed_from_u64(seed).random()
}
