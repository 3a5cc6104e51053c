//! The JSON wire protocol: decodes batches of events and encodes the resulting actions. It contains no
//! decisions.

use badgerwind::interface::*;
use badgerwind::Router;
use badgerwind_instance::{parse_settings, Fields};
use base64::{engine::general_purpose::STANDARD, Engine};
use serde::Deserialize;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// One line of input.
#[derive(Deserialize)]
struct Batch {
    time: Time,
    turn: Value,
    input: Vec<Map<String, Value>>,
}

/// The front ends simulated by one process, each with its own router, by their `endId`.
#[derive(Default)]
pub struct Host {
    routers: BTreeMap<u64, Router>,
}

impl Host {
    /// Handles one batch and returns the line to reply. The error describes what is malformed in the line.
    pub fn answer(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("malformed batch: {e}"))?;
        let mut replies = Vec::new();
        for (index, fields) in batch.input.iter().enumerate() {
            let event = Fields(fields);
            self.event(batch.time, &event, &mut replies)
                .map_err(|e| format!("malformed event {index} of batch {}: {e}", batch.turn))?;
        }
        let mut text = json!({"turn": batch.turn, "do": replies}).to_string();
        text.push('\n');
        Ok(text)
    }

    fn event(&mut self, now: Time, event: &Fields, replies: &mut Vec<Value>) -> Result<(), String> {
        let end = event.u64("endId")?;
        match event.str("op")? {
            "Begin" => {
                let settings = parse_settings(&event.object("info")?);
                self.routers.insert(end, Router::new(event.u64("randomSeed")?, settings));
                return Ok(());
            }
            "PowerOff" => {
                self.routers.remove(&end);
                return Ok(());
            }
            op => {
                let decoded = decode(op, event)?;
                let Some(router) = self.routers.get_mut(&end) else {
                    return Err(format!("instance {end} has not begun"));
                };
                let mut actions = Vec::new();
                if let Err(panic) =
                    catch_unwind(AssertUnwindSafe(|| router.handle(now, decoded, &mut actions)))
                {
                    let text = panic
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or_else(|| panic.downcast_ref::<&str>().copied());
                    let message = format!("the decision module failed: {}", text.unwrap_or("no text"));
                    replies.push(json!({"op": "Bug", "endId": end, "message": message}));
                    return Ok(());
                }
                replies.extend(actions.into_iter().map(|action| encode(end, action)));
            }
        }
        Ok(())
    }
}

fn outcome(name: &str) -> Result<Outcome, String> {
    Ok(match name {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::Moot,
        "miss" => Outcome::Miss,
        other => return Err(format!("unknown outcome '{other}'")),
    })
}

fn entry(value: &Value) -> Result<WorkerEntry, String> {
    let line = Fields(value.as_object().ok_or("a list line is not an object")?);
    Ok(WorkerEntry {
        worker: line.u32("executor")?,
        zone: line.u32("regionPart")?,
        cell: line.u32("pod")?,
        kind: line.u32("model")?,
        size: line.get("size", Value::as_f64)?,
        availability: match line.u64("availability")? {
            0 => Availability::Draining,
            1 => Availability::Ready,
            2 => Availability::Removed,
            other => return Err(format!("unknown availability {other}")),
        },
        born: line.opt("born", Value::as_u64)?.filter(|&t| t > 0),
    })
}

fn decode(op: &str, event: &Fields) -> Result<Event, String> {
    let id = || event.str("tid").map(Arc::from);
    Ok(match op {
        "Discovery" => Event::List {
            kind: match event.u64("kind")? {
                0 => ListKind::Changes,
                1 => ListKind::Whole,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => return Err(format!("unknown list kind {other}")),
            },
            entries: match event.opt("lines", Value::as_array)? {
                Some(lines) => lines.iter().map(entry).collect::<Result<_, _>>()?,
                None => Vec::new(),
            },
        },
        "Request" => Event::Request(Request {
            id: id()?,
            retry: event.opt("againByClient", Value::as_bool)?.unwrap_or(false),
            tenant: event.opt("billing", Value::as_u64)?.unwrap_or(0) as usize,
            hint: event.opt("cost", Value::as_u64)?,
            function: event.str("app")?.into(),
            memory_mb: event.opt("sizeMb", Value::as_f64)?.unwrap_or(0.0),
            lanes: event.opt("concurrency", Value::as_f64)?.unwrap_or(0.0) as u32,
            class: event.u64("priority")? as usize,
            due: event.u64("due")?,
            load_time: event.opt("loadMs", Value::as_f64)?.map(|ms| (ms * 1000.0) as Micros),
        }),
        "UnderWay" => Event::StreamBegan { id: id()?, attempt: event.u32("leg")? },
        "Answer" => {
            let info = event.opt("info", Value::as_u64)?.unwrap_or(0);
            let outcome = outcome(event.str("status")?)?;
            Event::Answer {
                id: id()?,
                attempt: event.u32("leg")?,
                worker: event.u32("executor")?,
                outcome,
                last: event.opt("final", Value::as_bool)?.unwrap_or(false),
                lag: event.u64("lag")?,
                mark: match info % 8 {
                    1 => CopyMark::Warm,
                    2 => CopyMark::BeganLoad,
                    3 => CopyMark::WaitedForLoad,
                    4 => CopyMark::LoadFailed,
                    _ => CopyMark::Untold,
                },
                crowd: match outcome {
                    // `info` is null when no requests were at the worker and there is no copy mark.
                    Outcome::Ok | Outcome::Full => Some((info / 8) as u32),
                    _ => None,
                },
                report: event.numbers("metrics")?,
            }
        }
        "TimedOutClient" => Event::ClientDisconnected { id: id()? },
        "Wakeup" => Event::Alarm { name: event.str("handle")?.into() },
        "Sampled" => Event::Probed {
            worker: event.u32("executor")?,
            outcome: outcome(event.str("status")?)?,
            report: event.numbers("metrics")?,
        },
        "Heard" => Event::Message {
            from: event.u32("who")?,
            bytes: STANDARD.decode(event.str("data")?).map_err(|_| "field 'data' is not base64")?,
        },
        "Warmed" => Event::Loaded {
            worker: event.u32("executor")?,
            function: event.str("app")?.into(),
            outcome: outcome(event.str("status")?)?,
            copies: event.u32("number")?,
            lag: event.u64("lag")?,
        },
        other => return Err(format!("unknown op '{other}'")),
    })
}

fn encode(end: u64, action: Action) -> Value {
    let mut value = match action {
        Action::Send { id, worker, timeout: None } => {
            json!({"op": "Forward", "tid": &*id, "executor": worker})
        }
        Action::Send { id, worker, timeout: Some(t) } => {
            json!({"op": "Forward", "tid": &*id, "executor": worker, "tryFor": t})
        }
        Action::Cancel { id, attempt } => json!({"op": "Retract", "tid": &*id, "leg": attempt}),
        Action::Refuse { id, retry_after: None } => json!({"op": "PushBack", "tid": &*id}),
        Action::Refuse { id, retry_after: Some(t) } => json!({"op": "PushBack", "tid": &*id, "backoff": t}),
        Action::Fail { id } => json!({"op": "Abort", "tid": &*id}),
        Action::Load { worker, function, copies } => {
            json!({"op": "BringUp", "executor": worker, "app": &*function, "number": copies})
        }
        Action::Drop { worker, function } => json!({"op": "Drop", "executor": worker, "app": &*function}),
        Action::SetAlarm { after, name } => json!({"op": "SetAlarm", "span": after, "handle": &*name}),
        Action::Probe { worker } => json!({"op": "Inspect", "executor": worker}),
        Action::CloseIdle { worker } => json!({"op": "Close", "executor": worker}),
        Action::SendMessage { to: None, bytes } => {
            json!({"op": "Post", "to": "*", "data": STANDARD.encode(bytes)})
        }
        Action::SendMessage { to: Some(n), bytes } => {
            json!({"op": "Post", "to": n, "data": STANDARD.encode(bytes)})
        }
        Action::Subscribe { on } => json!({"op": "Tail", "enable": on}),
        Action::FetchList => json!({"op": "QueryAll"}),
        Action::Log { text } => json!({"op": "SayLog", "message": text}),
    };
    value["endId"] = end.into();
    value
}
