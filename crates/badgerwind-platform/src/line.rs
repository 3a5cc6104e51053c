//! Lines between a front end and an executor.

use badgerwind::interface::{CopyMark, Outcome};
use base64::{engine::general_purpose::STANDARD, Engine};
use serde::Deserialize;
use std::borrow::Cow;
use std::io::Write;

/// The longest line that an executor may send.
pub const MOST: usize = 256 * 1024;

/// A request to an executor.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The class.
    pub kind: &'a str,
    /// The function.
    pub obj: &'a str,
    /// How long the front end will wait, in milliseconds.
    pub ms: u64,
    /// The body.
    pub body: &'a [u8],
}

/// Appends a request. Id and key are checked digits and the class is the settings' own, but it is quoted all the same.
pub fn call(out: &mut Vec<u8>, c: &Call) {
    out.extend_from_slice(b"{\"type\":\"FN\",\"req\":");
    text(out, c.id);
    out.extend_from_slice(b",\"meta\":{\"kind\":");
    text(out, c.kind);
    out.extend_from_slice(b",\"obj\":");
    text(out, c.obj);
    number(out, ",\"ms\":", c.ms);
    out.extend_from_slice(b"},\"data\":\"");
    let from = out.len();
    out.resize(from + c.body.len().div_ceil(3) * 4, 0);
    let written = STANDARD.encode_slice(c.body, &mut out[from..]).unwrap_or(0);
    out.truncate(from + written);
    out.extend_from_slice(b"\"}\n");
}

fn text(out: &mut Vec<u8>, text: &str) {
    // Writing a string into memory cannot fail.
    let _ = serde_json::to_writer(&mut *out, text);
}

fn number(out: &mut Vec<u8>, name: &str, value: u64) {
    let _ = write!(out, "{name}{value}");
}

fn plain(out: &mut Vec<u8>, word: &str, req: &str) {
    let _ = write!(out, "{{\"type\":\"{word}\",\"req\":");
    text(out, req);
    out.extend_from_slice(b"}\n");
}

/// Appends the giving up of a request.
pub fn kill(out: &mut Vec<u8>, id: &str) {
    plain(out, "KILL", id);
}

/// Appends a probe.
pub fn probe(out: &mut Vec<u8>, tag: &str) {
    plain(out, "HELO", tag);
}

/// Appends an order to unload.
pub fn unload(out: &mut Vec<u8>, key: &str) {
    plain(out, "REAP", key);
}

/// Appends an order to load.
pub fn load(out: &mut Vec<u8>, tag: &str, key: &str, copies: u32) {
    out.extend_from_slice(b"{\"type\":\"SPAWN\",\"req\":");
    text(out, tag);
    out.extend_from_slice(b",\"meta\":{\"obj\":");
    text(out, key);
    number(out, ",\"slots_up\":", copies.into());
    out.extend_from_slice(b"}}\n");
}

/// A word that an executor answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Word {
    /// Ok.
    #[serde(rename = "HIT")]
    Hit,
    /// It never ran: not loaded.
    #[serde(rename = "NONE")]
    None,
    /// It never ran: full.
    #[serde(rename = "SHED")]
    Shed,
    /// It may have run.
    #[serde(rename = "FAULT")]
    Fault,
    /// It never ran: over already.
    #[serde(rename = "LATE")]
    Late,
    /// Healthy.
    #[serde(rename = "PONG")]
    Pong,
    /// Not healthy.
    #[serde(rename = "SICK")]
    Sick,
}

/// Fields may be strings or numbers.
#[derive(Deserialize)]
#[serde(untagged)]
enum Loose<'a> {
    Number(f64),
    #[serde(borrow)]
    Text(Cow<'a, str>),
}

impl Loose<'_> {
    fn number(&self) -> Option<f64> {
        let n = match self {
            Loose::Number(n) => *n,
            Loose::Text(t) => t.trim().parse().ok()?,
        };
        (n.is_finite() && n >= 0.0).then_some(n)
    }
}

#[derive(Deserialize, Default)]
struct Meta<'a> {
    #[serde(borrow, default)]
    res: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    company: Option<Loose<'a>>,
    #[serde(borrow, default)]
    slots_up: Option<Loose<'a>>,
}

#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(rename = "type")]
    word: Word,
    #[serde(borrow)]
    req: Cow<'a, str>,
    #[serde(borrow, default)]
    meta: Option<Meta<'a>>,
    #[serde(borrow, default)]
    data: Option<Cow<'a, str>>,
}

/// An executor's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    /// Its word.
    pub word: Word,
    /// The id or tag that it answers.
    pub req: String,
    /// What is said of the copy.
    pub mark: CopyMark,
    /// Requests for the function that were held there; none where not told.
    pub crowd: u32,
    /// Copies that stand loaded, where told.
    pub copies: u32,
    /// The body.
    pub body: Vec<u8>,
}

/// A line that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum BadLine {
    /// It is no answer.
    #[error("not an answer: {0}")]
    Json(#[from] serde_json::Error),
    /// Its body is not base64.
    #[error("a body that is not base64")]
    Body,
}

/// Reads a line without its line feed.
pub fn read(line: &[u8]) -> Result<Said, BadLine> {
    let raw: Raw = serde_json::from_slice(line)?;
    let meta = raw.meta.unwrap_or_default();
    let mark = match meta.res.as_deref() {
        Some("w") => CopyMark::Warm,
        Some("c") => CopyMark::BeganLoad,
        Some("j") => CopyMark::WaitedForLoad,
        Some("f") => CopyMark::LoadFailed,
        _ => CopyMark::Untold,
    };
    let figure = |x: Option<Loose>| x.and_then(|x| x.number()).unwrap_or(0.0) as u32;
    let body = STANDARD.decode(raw.data.as_deref().unwrap_or("")).map_err(|_| BadLine::Body)?;
    let (word, req) = (raw.word, raw.req.into_owned());
    Ok(Said { word, req, mark, crowd: figure(meta.company), copies: figure(meta.slots_up), body })
}

impl Word {
    /// How an attempt ended that got this word; `None` for a word that answers no attempt.
    pub fn attempt(self) -> Option<Outcome> {
        Some(match self {
            Word::Hit => Outcome::Ok,
            Word::None => Outcome::Miss,
            Word::Shed => Outcome::Full,
            Word::Fault => Outcome::Error,
            // It never ran; the module reads a moot one so.
            Word::Late => Outcome::Moot,
            Word::Pong | Word::Sick => return None,
        })
    }

    /// How an order to load ended.
    pub fn order(self) -> Option<Outcome> {
        Some(match self {
            Word::Hit => Outcome::Ok,
            Word::Shed => Outcome::Full,
            Word::Fault => Outcome::Error,
            _ => return None,
        })
    }

    /// How a probe ended.
    pub fn probe(self) -> Option<Outcome> {
        Some(match self {
            Word::Pong => Outcome::Ok,
            Word::Sick => Outcome::Error,
            _ => return None,
        })
    }
}
