//! Changes of a sender's secrets in the text of a settings document, with everything else left byte for byte as it
//! stands: comments, order, spaces. No I/O.

use quick_xml::escape::escape;
use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;
use std::ops::Range;

/// Why a change cannot be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// Not well-formed.
    #[error("not well-formed XML: {0}")]
    Xml(String),
    /// No such sender.
    #[error("the settings name no sender \"{0}\"")]
    NoSender(String),
    /// No such secret.
    #[error("sender \"{sender}\" has no secret \"{name}\"")]
    NoSecret {
        /// The sender.
        sender: String,
        /// The secret looked for.
        name: String,
    },
    /// No such zone.
    #[error("the settings name no zone \"{0}\"")]
    NoZone(String),
    /// A secret of that name is there.
    #[error("sender \"{sender}\" has a secret \"{name}\" already")]
    Twice {
        /// The sender.
        sender: String,
        /// The secret to be added.
        name: String,
    },
}

/// A secret element: where it stands, and its attributes as written, still escaped.
#[derive(Debug)]
struct Found {
    /// Of its start tag.
    tag: Range<usize>,
    /// Of all of it.
    whole: Range<usize>,
    /// It has no end tag of its own.
    empty: bool,
    attrs: Vec<(String, String)>,
}

impl Found {
    fn attr(&self, name: &str) -> Option<&str> {
        self.attrs.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    fn named(&self, name: &str) -> bool {
        self.attr("name") == Some(&*escape(name))
    }
}

fn attrs(tag: &BytesStart<'_>) -> Result<Vec<(String, String)>, EditError> {
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    tag.attributes()
        .map(|a| a.map(|a| (text(a.key.as_ref()), text(&a.value))))
        .collect::<Result<_, _>>()
        .map_err(|e| EditError::Xml(e.to_string()))
}

/// The secrets of a sender, in their order.
fn secrets(text: &str, sender: &str) -> Result<Vec<Found>, EditError> {
    let mut reader = Reader::from_str(text);
    let mut path: Vec<String> = Vec::new();
    let (mut inside, mut seen) = (false, false);
    let mut found: Vec<Found> = Vec::new();
    loop {
        let from = reader.buffer_position() as usize;
        let event = reader.read_event().map_err(|e| EditError::Xml(e.to_string()))?;
        let to = reader.buffer_position() as usize;
        match event {
            Event::Start(tag) => {
                let name = String::from_utf8_lossy(tag.name().as_ref()).into_owned();
                if name == "sender" && path.last().is_some_and(|p| p == "webhook") {
                    let own = attrs(&tag)?.iter().any(|(n, v)| n == "name" && *v == escape(sender));
                    (inside, seen) = (own, seen || own);
                }
                if inside && name == "secret" {
                    found.push(Found { tag: from..to, whole: from..to, empty: false, attrs: attrs(&tag)? });
                }
                path.push(name);
            }
            Event::Empty(tag) if inside && tag.name().as_ref() == b"secret" => {
                found.push(Found { tag: from..to, whole: from..to, empty: true, attrs: attrs(&tag)? });
            }
            Event::End(_) => match path.pop().as_deref() {
                Some("sender") => inside = false,
                Some("secret") if inside => {
                    if let Some(last) = found.last_mut() {
                        last.whole.end = to;
                    }
                }
                _ => {}
            },
            Event::Eof if seen => return Ok(found),
            Event::Eof => return Err(EditError::NoSender(sender.to_owned())),
            _ => {}
        }
    }
}

fn tag(name: &str, attrs: &[(String, String)], empty: bool) -> String {
    // Attributes are written as they stood, with the quotes that this form needs.
    let quoted = |v: &str| match v.contains('"') {
        true => format!("'{v}'"),
        false => format!("\"{v}\""),
    };
    let attrs: String = attrs.iter().map(|(n, v)| format!(" {n}={}", quoted(v))).collect();
    format!("<{name}{attrs}{}>", if empty { "/" } else { "" })
}

/// The white space before an element, from its line's start; nothing where something else stands there.
fn indent(text: &str, at: usize) -> &str {
    let line = text[..at].rfind('\n').map_or(0, |n| n + 1);
    let before = &text[line..at];
    if before.bytes().all(|b| b.is_ascii_whitespace()) {
        before
    } else {
        ""
    }
}

/// Adds a secret after the last of a sender, and lets the others end at a moment (RFC 3339) where they would have
/// counted longer. A moment that stands there and is earlier stays.
pub fn rotate(text: &str, sender: &str, name: &str, file: &str, end: &str) -> Result<String, EditError> {
    let all = secrets(text, sender)?;
    if all.iter().any(|s| s.named(name)) {
        return Err(EditError::Twice { sender: sender.to_owned(), name: name.to_owned() });
    }
    let Some(last) = all.last() else { return Err(EditError::NoSender(sender.to_owned())) };
    let attr = |n: &str, v: &str| (n.to_owned(), escape(v).into_owned());
    let fresh = tag("secret", &[attr("name", name), attr("file", file)], true);
    let mut out = text.to_owned();
    let gap = indent(text, last.whole.start);
    let line = if gap.is_empty() { fresh } else { format!("\n{gap}{fresh}") };
    out.insert_str(last.whole.end, &line);
    let moment = |t: &str| humantime::parse_rfc3339(t).ok();
    // From the back, so that places before stay as they are.
    for s in all.iter().rev() {
        let sooner = s.attr("not-after").and_then(moment).zip(moment(end)).is_some_and(|(a, b)| a <= b);
        if sooner {
            continue;
        }
        let mut attrs = s.attrs.clone();
        attrs.retain(|(n, _)| n != "not-after");
        attrs.push(attr("not-after", end));
        out.replace_range(s.tag.clone(), &tag("secret", &attrs, s.empty));
    }
    Ok(out)
}

/// Takes a secret out, with its line where it has one to itself; also returns the file that it named, still as
/// written.
pub fn retire(text: &str, sender: &str, name: &str) -> Result<(String, String), EditError> {
    let all = secrets(text, sender)?;
    let missing = || EditError::NoSecret { sender: sender.to_owned(), name: name.to_owned() };
    let s = all.iter().find(|s| s.named(name)).ok_or_else(missing)?;
    let mut range = s.whole.clone();
    let gap = indent(text, range.start);
    if !gap.is_empty() && text[range.end..].starts_with('\n') {
        range = range.start - gap.len()..range.end + 1;
    }
    let mut out = text.to_owned();
    out.replace_range(range, "");
    let file = s.attr("file").unwrap_or("");
    let file = quick_xml::escape::unescape(file).map_err(|e| EditError::Xml(e.to_string()))?;
    Ok((out, file.into_owned()))
}

/// Sets an operator's word of a zone, or takes it out, with everything else left as it stands.
pub fn zone_word(text: &str, zone: &str, word: Option<(&str, &str)>) -> Result<String, EditError> {
    let mut reader = Reader::from_str(text);
    loop {
        let from = reader.buffer_position() as usize;
        let event = reader.read_event().map_err(|e| EditError::Xml(e.to_string()))?;
        let to = reader.buffer_position() as usize;
        let (found, empty) = match event {
            Event::Empty(t) => (t, true),
            Event::Start(t) => (t, false),
            Event::Eof => return Err(EditError::NoZone(zone.to_owned())),
            _ => continue,
        };
        let mut all = attrs(&found)?;
        if found.name().as_ref() != b"zone" || !all.iter().any(|(n, v)| n == "name" && *v == escape(zone)) {
            continue;
        }
        all.retain(|(n, _)| n != "word" && n != "why");
        if let Some((word, why)) = word {
            all.push(("word".into(), escape(word).into_owned()));
            all.push(("why".into(), escape(why).into_owned()));
        }
        let mut out = text.to_owned();
        out.replace_range(from..to, &tag("zone", &all, empty));
        return Ok(out);
    }
}

/// True where two documents say the same but for what a running front end takes over by itself: secrets, callbacks,
/// key files, certificates, budgets, an operator's words of zones. Lines and spaces do not count.
pub fn same_but_keys(a: &crate::document::Node, b: &crate::document::Node) -> bool {
    const TAKEN: [&str; 5] = ["secret", "callback", "tls", "guard", "budgets"];
    let attrs = |n: &crate::document::Node| {
        let word = |a: &str| n.name == "zone" && (a == "word" || a == "why");
        let mut all: Vec<_> = n.attrs.iter().filter(|(a, _)| a != "key-file" && !word(a)).cloned().collect();
        all.sort();
        all
    };
    let children = |n: &crate::document::Node| {
        n.children.iter().filter(|c| !TAKEN.contains(&c.name.as_str())).cloned().collect::<Vec<_>>()
    };
    let (mine, theirs) = (children(a), children(b));
    a.name == b.name
        && attrs(a) == attrs(b)
        && mine.len() == theirs.len()
        && mine.iter().zip(&theirs).all(|(a, b)| same_but_keys(a, b))
}
