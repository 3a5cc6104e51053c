//! Logs of front ends and records of runners to the events of one call. No I/O.

use badgerwind_check::Event as RecordedEvent;
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::UNIX_EPOCH;

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A front end took it, its signature verified.
    Taken {
        /// Whose it is.
        sender: String,
        /// The key that signed it.
        key: String,
        /// What it calls.
        function: String,
        /// Its trace.
        trace: String,
    },
    /// An attempt went out.
    Attempt {
        /// Its number.
        attempt: u64,
        /// To which runner.
        worker: u64,
        /// What was last heard of the function there.
        known: Option<String>,
    },
    /// It ended, as its front end saw it.
    Ended {
        /// Its number.
        attempt: u64,
        /// How.
        outcome: String,
        /// Whether a copy stood loaded.
        mark: String,
    },
    /// The final answer.
    Answered {
        /// `served`, `refused` or `failed`.
        answer: String,
        /// Attempts made.
        attempts: u64,
        /// Since it was taken, in microseconds.
        lag_us: f64,
    },
    /// Its callback was delivered, or given up.
    Callback(String),
    /// A runner saw an attempt do this.
    Runner {
        /// Which.
        runner: u64,
        /// The attempt.
        attempt: u64,
        /// `arrived`, `began`, `finished`, `replied ok` and the like, `left`.
        did: String,
    },
}

/// An event of the call.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// In microseconds since the Unix epoch.
    pub at: u64,
    /// The time as it was written, where it was.
    pub written: String,
    /// Which log or record.
    pub place: String,
    /// The request, as a front end named it.
    pub request: String,
    /// What happened.
    pub kind: Kind,
}

fn word(line: &Value, name: &str) -> String {
    line[name].as_str().unwrap_or("?").to_owned()
}

fn number(line: &Value, name: &str) -> u64 {
    line[name].as_u64().unwrap_or(0)
}

fn kind(line: &Value) -> Option<Kind> {
    let message = line["message"].as_str()?;
    Some(match message {
        "taken" => Kind::Taken {
            sender: word(line, "sender"),
            key: word(line, "key"),
            function: word(line, "function"),
            trace: word(line, "trace_id"),
        },
        "attempt" => Kind::Attempt {
            attempt: number(line, "attempt"),
            worker: number(line, "worker"),
            known: line["known"].as_str().map(str::to_owned),
        },
        "attempt ended" => Kind::Ended {
            attempt: number(line, "attempt"),
            outcome: word(line, "outcome"),
            mark: word(line, "mark"),
        },
        "answered" => Kind::Answered {
            answer: word(line, "answer"),
            attempts: number(line, "attempts"),
            lag_us: line["lag_us"].as_f64().unwrap_or(0.0),
        },
        _ if message.starts_with("callback ") => Kind::Callback(message.to_owned()),
        _ => return None,
    })
}

fn moment(text: &str) -> Option<u64> {
    let at = humantime::parse_rfc3339_weak(text).ok()?;
    at.duration_since(UNIX_EPOCH).ok().map(|d| d.as_micros() as u64)
}

/// What a runner's record says of an attempt: request, attempt, runner, and what it did.
fn recorded(what: RecordedEvent) -> Option<(String, u32, u32, String)> {
    let plain = |r, a, n, did: &str| Some((r, a, n, did.to_owned()));
    match what {
        RecordedEvent::Arrived { runner, request, attempt, .. } => plain(request, attempt, runner, "arrived"),
        RecordedEvent::Admitted { runner, request, attempt } => plain(request, attempt, runner, "began"),
        RecordedEvent::Finished { runner, request, attempt } => plain(request, attempt, runner, "finished"),
        RecordedEvent::Aborted { runner, request, attempt } => plain(request, attempt, runner, "left"),
        RecordedEvent::Replied { runner, request, attempt, outcome } => {
            Some((request, attempt, runner, format!("replied {outcome}")))
        }
        _ => None,
    }
}

/// The events of a call in the order of their times, over all logs and records: `(name, text)` each. `id` is a
/// webhook id, a request id or a trace id; the first and the last may stand for several requests, tries at several
/// front ends.
pub fn events(id: &str, logs: &[(String, String)], records: &[(String, String)]) -> Vec<Event> {
    let lines: Vec<(&str, Value)> = logs
        .iter()
        .flat_map(|(name, text)| text.lines().map(move |l| (name.as_str(), l)))
        .filter_map(|(name, line)| serde_json::from_str(line).ok().map(|v| (name, v)))
        .collect();
    let names = |v: &Value| ["webhook_id", "request", "trace_id"].iter().any(|n| v[*n].as_str() == Some(id));
    let named: Vec<&Value> = lines.iter().filter(|(_, v)| names(v)).map(|(_, v)| v).collect();
    let requests: BTreeSet<&str> = named.iter().filter_map(|v| v["request"].as_str()).collect();
    // A callback's message bears the id of the call's with a word behind it.
    let answers: BTreeSet<String> =
        named.iter().filter_map(|v| v["webhook_id"].as_str()).map(|id| format!("{id}_answer")).collect();
    let of = |v: &Value| {
        let callback = || v["webhook_id"].as_str().is_some_and(|id| answers.contains(id));
        v["request"].as_str().map_or_else(callback, |r| requests.contains(r))
    };
    let mut all: Vec<Event> = lines
        .iter()
        .filter(|(_, v)| of(v))
        .filter_map(|(name, v)| {
            let written = word(v, "timestamp");
            Some(Event {
                at: moment(&written)?,
                written,
                place: (*name).to_owned(),
                request: v["request"].as_str().unwrap_or("").to_owned(),
                kind: kind(v)?,
            })
        })
        .collect();
    for (name, text) in records {
        for line in text.lines() {
            // A record's last line may be cut where its writer was killed.
            let Ok(line) = serde_json::from_str::<badgerwind_check::Line>(line) else { continue };
            let Some((request, attempt, runner, did)) = recorded(line.event) else { continue };
            if !requests.contains(request.as_str()) {
                continue;
            }
            let time = UNIX_EPOCH + std::time::Duration::from_micros(line.at);
            let written = humantime::format_rfc3339_micros(time).to_string();
            let kind = Kind::Runner { runner: runner.into(), attempt: attempt.into(), did };
            all.push(Event { at: line.at, written, place: name.clone(), request, kind });
        }
    }
    // Lines of one moment keep their order.
    all.sort_by_key(|e| e.at);
    all
}
