//! The lines of JSON that a front end and an executor exchange.

use badgerwind::interface::{CopyMark, Outcome};
use base64::{engine::general_purpose::STANDARD, Engine};
use serde::Deserialize;
use std::borrow::Cow;
use std::io::Write;

/// Maximum length of a line from an executor, in bytes.
pub const MAX_LINE_BYTES: usize = 256 * 1024;

/// A call to an executor.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The class.
    pub class: &'a str,
    /// The function.
    pub function: &'a str,
    /// How long the front end waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// The body.
    pub body: &'a [u8],
}

/// Length of a body in the line of its call.
pub fn encoded_body_bytes(body: &[u8]) -> usize {
    body.len().div_ceil(3) * 4
}

/// Appends a call. All texts are quoted, although id and function are validated digits and the class comes
/// from the settings.
pub fn write_call(out: &mut Vec<u8>, call: &Call) {
    out.extend_from_slice(b"{\"type\":\"FN\",\"req\":");
    write_string(out, call.id);
    out.extend_from_slice(b",\"meta\":{\"kind\":");
    write_string(out, call.class);
    out.extend_from_slice(b",\"obj\":");
    write_string(out, call.function);
    write_number(out, ",\"ms\":", call.wait_ms);
    out.extend_from_slice(b"},\"data\":\"");
    let start = out.len();
    out.resize(start + encoded_body_bytes(call.body), 0);
    let written = STANDARD.encode_slice(call.body, &mut out[start..]).unwrap_or(0);
    out.truncate(start + written);
    out.extend_from_slice(b"\"}\n");
}

fn write_string(out: &mut Vec<u8>, text: &str) {
    // Serializing a string into a vector cannot fail.
    let _ = serde_json::to_writer(&mut *out, text);
}

fn write_number(out: &mut Vec<u8>, name: &str, value: u64) {
    let _ = write!(out, "{name}{value}");
}

/// Appends a line that consists of a type and an id or tag.
fn write_simple(out: &mut Vec<u8>, kind: &str, req: &str) {
    let _ = write!(out, "{{\"type\":\"{kind}\",\"req\":");
    write_string(out, req);
    out.extend_from_slice(b"}\n");
}

/// Appends the cancellation of a call.
pub fn write_cancellation(out: &mut Vec<u8>, id: &str) {
    write_simple(out, "KILL", id);
}

/// Appends a probe.
pub fn write_probe(out: &mut Vec<u8>, tag: &str) {
    write_simple(out, "HELO", tag);
}

/// Appends an order to unload a function.
pub fn write_unload(out: &mut Vec<u8>, key: &str) {
    write_simple(out, "REAP", key);
}

/// Appends an order to load copies of a function, or a question how many are loaded (0 copies).
pub fn write_load(out: &mut Vec<u8>, tag: &str, key: &str, copies: u32) {
    out.extend_from_slice(b"{\"type\":\"SPAWN\",\"req\":");
    write_string(out, tag);
    out.extend_from_slice(b",\"meta\":{\"obj\":");
    write_string(out, key);
    write_number(out, ",\"slots_up\":", copies.into());
    out.extend_from_slice(b"}}\n");
}

/// The type of an executor's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum AnswerKind {
    /// Success.
    #[serde(rename = "HIT")]
    Hit,
    /// The call never ran: the function is not loaded.
    #[serde(rename = "NONE")]
    None,
    /// The call never ran: the executor is full.
    #[serde(rename = "SHED")]
    Shed,
    /// The call failed and may have run.
    #[serde(rename = "FAULT")]
    Fault,
    /// The call never ran: its time was already up.
    #[serde(rename = "LATE")]
    Late,
    /// Positive answer to a probe.
    #[serde(rename = "PONG")]
    Pong,
    /// Negative answer to a probe.
    #[serde(rename = "SICK")]
    Sick,
}

/// A number that executors send as a JSON number or as a string.
#[derive(Deserialize)]
#[serde(untagged)]
enum NumberOrText<'a> {
    Number(f64),
    #[serde(borrow)]
    Text(Cow<'a, str>),
}

impl NumberOrText<'_> {
    fn number(&self) -> Option<f64> {
        let number = match self {
            NumberOrText::Number(n) => *n,
            NumberOrText::Text(t) => t.trim().parse().ok()?,
        };
        (number.is_finite() && number >= 0.0).then_some(number)
    }
}

#[derive(Deserialize, Default)]
struct Meta<'a> {
    #[serde(borrow, default)]
    res: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    company: Option<NumberOrText<'a>>,
    #[serde(borrow, default)]
    slots_up: Option<NumberOrText<'a>>,
}

#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(rename = "type")]
    kind: AnswerKind,
    #[serde(borrow)]
    req: Cow<'a, str>,
    #[serde(borrow, default)]
    meta: Option<Meta<'a>>,
    #[serde(borrow, default)]
    data: Option<Cow<'a, str>>,
}

/// An executor's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its type.
    pub kind: AnswerKind,
    /// The id or tag of what it answers.
    pub req: String,
    /// What it says about the copy.
    pub mark: CopyMark,
    /// Number of requests for the function that the executor had; 0 if not reported.
    pub crowd: u32,
    /// Number of copies loaded; 0 if not reported.
    pub copies: u32,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a line cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum BadLine {
    /// It is not an answer.
    #[error("not an answer: {0}")]
    Json(#[from] serde_json::Error),
    /// Its body is not base64.
    #[error("a body that is not base64")]
    Body,
}

/// Parses a line, which must not include its line feed.
pub fn parse_answer(line: &[u8]) -> Result<Answer, BadLine> {
    let raw: Raw = serde_json::from_slice(line)?;
    let meta = raw.meta.unwrap_or_default();
    let mark = match meta.res.as_deref() {
        Some("w") => CopyMark::Warm,
        Some("c") => CopyMark::BeganLoad,
        Some("j") => CopyMark::WaitedForLoad,
        Some("f") => CopyMark::LoadFailed,
        _ => CopyMark::Untold,
    };
    let count = |x: Option<NumberOrText>| x.and_then(|x| x.number()).unwrap_or(0.0) as u32;
    let body = STANDARD.decode(raw.data.as_deref().unwrap_or("")).map_err(|_| BadLine::Body)?;
    let (kind, req) = (raw.kind, raw.req.into_owned());
    Ok(Answer { kind, req, mark, crowd: count(meta.company), copies: count(meta.slots_up), body })
}

impl AnswerKind {
    /// The outcome of an attempt with this answer; `None` if it does not answer attempts.
    pub fn attempt_outcome(self) -> Option<Outcome> {
        Some(match self {
            AnswerKind::Hit => Outcome::Ok,
            AnswerKind::None => Outcome::Miss,
            AnswerKind::Shed => Outcome::Full,
            AnswerKind::Fault => Outcome::Error,
            // The call never ran, which is what the module concludes from `Moot`.
            AnswerKind::Late => Outcome::Moot,
            AnswerKind::Pong | AnswerKind::Sick => return None,
        })
    }

    /// The outcome of a load order with this answer; `None` if it does not answer orders.
    pub fn order_outcome(self) -> Option<Outcome> {
        Some(match self {
            AnswerKind::Hit => Outcome::Ok,
            AnswerKind::Shed => Outcome::Full,
            AnswerKind::Fault => Outcome::Error,
            _ => return None,
        })
    }

    /// The outcome of a probe with this answer; `None` if it does not answer probes.
    pub fn probe_outcome(self) -> Option<Outcome> {
        Some(match self {
            AnswerKind::Pong => Outcome::Ok,
            AnswerKind::Sick => Outcome::Error,
            _ => return None,
        })
    }
}
