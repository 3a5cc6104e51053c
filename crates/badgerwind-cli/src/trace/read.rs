//! Extracts the events of one call from logs of front ends and records of runners. No I/O.

use badgerwind_check::Event as RecordedEvent;
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::UNIX_EPOCH;

/// Kind of event.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A front end accepted the call after verifying its signature.
    Accepted {
        /// The sender.
        sender: String,
        /// Name of the key that signed the call.
        key: String,
        /// The called function.
        function: String,
        /// The trace id.
        trace: String,
    },
    /// An attempt was sent.
    Attempt {
        /// Number of the attempt.
        attempt: u64,
        /// The runner that it was sent to.
        worker: u64,
        /// The last known state of the function at that runner.
        evidence: Option<String>,
    },
    /// An attempt ended, as seen by its front end.
    Ended {
        /// Number of the attempt.
        attempt: u64,
        /// The outcome.
        outcome: String,
        /// Whether a copy of the function was loaded.
        mark: String,
    },
    /// The final answer was sent.
    Answered {
        /// `served`, `refused` or `failed`.
        answer: String,
        /// Number of attempts made.
        attempts: u64,
        /// Time since the call was accepted, in microseconds.
        latency_us: f64,
    },
    /// A callback was delivered or abandoned.
    Callback(String),
    /// A runner recorded an event of an attempt.
    Runner {
        /// The runner.
        runner: u64,
        /// Number of the attempt.
        attempt: u64,
        /// `arrived`, `began`, `finished`, `left`, or `replied` with an outcome, such as `replied ok`.
        action: String,
    },
}

/// An event of the call.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time in microseconds since the Unix epoch.
    pub at: u64,
    /// The timestamp as written in the log, or formatted from the record.
    pub timestamp: String,
    /// Name of the log or record.
    pub source: String,
    /// Request id that the front end assigned.
    pub request: String,
    /// Kind of event.
    pub kind: Kind,
}

fn text_field(line: &Value, name: &str) -> String {
    line[name].as_str().unwrap_or("?").to_owned()
}

fn number_field(line: &Value, name: &str) -> u64 {
    line[name].as_u64().unwrap_or(0)
}

fn parse_kind(line: &Value) -> Option<Kind> {
    let message = line["message"].as_str()?;
    Some(match message {
        "taken" => Kind::Accepted {
            sender: text_field(line, "sender"),
            key: text_field(line, "key"),
            function: text_field(line, "function"),
            trace: text_field(line, "trace_id"),
        },
        "attempt" => Kind::Attempt {
            attempt: number_field(line, "attempt"),
            worker: number_field(line, "worker"),
            evidence: line["known"].as_str().map(str::to_owned),
        },
        "attempt ended" => Kind::Ended {
            attempt: number_field(line, "attempt"),
            outcome: text_field(line, "outcome"),
            mark: text_field(line, "mark"),
        },
        "answered" => Kind::Answered {
            answer: text_field(line, "answer"),
            attempts: number_field(line, "attempts"),
            latency_us: line["lag_us"].as_f64().unwrap_or(0.0),
        },
        _ if message.starts_with("callback ") => Kind::Callback(message.to_owned()),
        _ => return None,
    })
}

fn parse_timestamp(text: &str) -> Option<u64> {
    let at = humantime::parse_rfc3339_weak(text).ok()?;
    at.duration_since(UNIX_EPOCH).ok().map(|d| d.as_micros() as u64)
}

/// Request, attempt, runner and action of a runner's record; `None` for records that concern no attempt.
fn attempt_record(what: RecordedEvent) -> Option<(String, u32, u32, String)> {
    let plain = |request, attempt, runner, action: &str| Some((request, attempt, runner, action.to_owned()));
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

/// Returns the events of a call from all logs and records, each given as `(name, text)`, in order of time.
/// `id` is a webhook id, a request id or a trace id. A webhook id or a trace id may match several requests, if
/// the sender tried several front ends.
pub fn events(id: &str, logs: &[(String, String)], records: &[(String, String)]) -> Vec<Event> {
    let lines: Vec<(&str, Value)> = logs
        .iter()
        .flat_map(|(name, text)| text.lines().map(move |l| (name.as_str(), l)))
        .filter_map(|(name, line)| serde_json::from_str(line).ok().map(|v| (name, v)))
        .collect();
    let matches_id =
        |v: &Value| ["webhook_id", "request", "trace_id"].iter().any(|n| v[*n].as_str() == Some(id));
    let matching: Vec<&Value> = lines.iter().filter(|(_, v)| matches_id(v)).map(|(_, v)| v).collect();
    let requests: BTreeSet<&str> = matching.iter().filter_map(|v| v["request"].as_str()).collect();
    // The message to a callback has the call's webhook id with the suffix `_answer`.
    let callback_ids: BTreeSet<String> =
        matching.iter().filter_map(|v| v["webhook_id"].as_str()).map(|id| format!("{id}_answer")).collect();
    let belongs = |v: &Value| {
        let callback = || v["webhook_id"].as_str().is_some_and(|id| callback_ids.contains(id));
        v["request"].as_str().map_or_else(callback, |r| requests.contains(r))
    };
    let mut all: Vec<Event> = lines
        .iter()
        .filter(|(_, v)| belongs(v))
        .filter_map(|(name, v)| {
            let timestamp = text_field(v, "timestamp");
            Some(Event {
                at: parse_timestamp(&timestamp)?,
                timestamp,
                source: (*name).to_owned(),
                request: v["request"].as_str().unwrap_or("").to_owned(),
                kind: parse_kind(v)?,
            })
        })
        .collect();
    for (name, text) in records {
        for line in text.lines() {
            // The last line of a record may be truncated if its writer was killed.
            let Ok(line) = serde_json::from_str::<badgerwind_check::Line>(line) else { continue };
            let Some((request, attempt, runner, action)) = attempt_record(line.event) else { continue };
            if !requests.contains(request.as_str()) {
                continue;
            }
            let time = UNIX_EPOCH + std::time::Duration::from_micros(line.at);
            let timestamp = humantime::format_rfc3339_micros(time).to_string();
            let kind = Kind::Runner { runner: runner.into(), attempt: attempt.into(), action };
            all.push(Event { at: line.at, timestamp, source: name.clone(), request, kind });
        }
    }
    // The sort is stable: events with equal times keep their order.
    all.sort_by_key(|e| e.at);
    all
}
