//! Edits of secrets and zones in the text of a settings document. Everything else, such as comments, order
//! and white space, stays byte for byte. No I/O.

use quick_xml::escape::escape;
use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;
use std::ops::Range;

/// Why an edit failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// The document is not well-formed.
    #[error("not well-formed XML: {0}")]
    Xml(String),
    /// The sender does not exist.
    #[error("the settings name no sender \"{0}\"")]
    NoSender(String),
    /// The sender has no secret of this name.
    #[error("sender \"{sender}\" has no secret \"{name}\"")]
    NoSecret {
        /// The sender.
        sender: String,
        /// The name of the secret.
        name: String,
    },
    /// The zone does not exist.
    #[error("the settings name no zone \"{0}\"")]
    NoZone(String),
    /// The sender already has a secret of this name.
    #[error("sender \"{sender}\" has a secret \"{name}\" already")]
    DuplicateSecret {
        /// The sender.
        sender: String,
        /// The name of the secret.
        name: String,
    },
}

/// The position of a `<secret>` element in the text, and its attributes, still escaped.
#[derive(Debug)]
struct SecretElement {
    /// The range of the start tag.
    tag: Range<usize>,
    /// The range of the whole element.
    element: Range<usize>,
    /// Whether the element has no end tag.
    empty: bool,
    attrs: Vec<(String, String)>,
}

impl SecretElement {
    fn attr(&self, name: &str) -> Option<&str> {
        self.attrs.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    fn has_name(&self, name: &str) -> bool {
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

/// The secrets of a sender, in document order.
fn find_secrets(text: &str, sender: &str) -> Result<Vec<SecretElement>, EditError> {
    let mut reader = Reader::from_str(text);
    let mut path: Vec<String> = Vec::new();
    let (mut inside, mut sender_found) = (false, false);
    let mut found: Vec<SecretElement> = Vec::new();
    loop {
        let from = reader.buffer_position() as usize;
        let event = reader.read_event().map_err(|e| EditError::Xml(e.to_string()))?;
        let to = reader.buffer_position() as usize;
        match event {
            Event::Start(tag) => {
                let name = String::from_utf8_lossy(tag.name().as_ref()).into_owned();
                if name == "sender" && path.last().is_some_and(|p| p == "webhook") {
                    let matches = attrs(&tag)?.iter().any(|(n, v)| n == "name" && *v == escape(sender));
                    (inside, sender_found) = (matches, sender_found || matches);
                }
                if inside && name == "secret" {
                    found.push(SecretElement {
                        tag: from..to,
                        element: from..to,
                        empty: false,
                        attrs: attrs(&tag)?,
                    });
                }
                path.push(name);
            }
            Event::Empty(tag) if inside && tag.name().as_ref() == b"secret" => {
                found.push(SecretElement {
                    tag: from..to,
                    element: from..to,
                    empty: true,
                    attrs: attrs(&tag)?,
                });
            }
            Event::End(_) => match path.pop().as_deref() {
                Some("sender") => inside = false,
                Some("secret") if inside => {
                    if let Some(last) = found.last_mut() {
                        last.element.end = to;
                    }
                }
                _ => {}
            },
            Event::Eof if sender_found => return Ok(found),
            Event::Eof => return Err(EditError::NoSender(sender.to_owned())),
            _ => {}
        }
    }
}

/// Formats a start tag.
fn format_tag(name: &str, attrs: &[(String, String)], empty: bool) -> String {
    // Values are still escaped as in the document; one that contains double quotes needs single quotes around
    // it.
    let quoted = |v: &str| match v.contains('"') {
        true => format!("'{v}'"),
        false => format!("\"{v}\""),
    };
    let attrs: String = attrs.iter().map(|(n, v)| format!(" {n}={}", quoted(v))).collect();
    format!("<{name}{attrs}{}>", if empty { "/" } else { "" })
}

/// The white space between the start of the line and an element; empty if the line contains anything else
/// before it.
fn indentation_at(text: &str, at: usize) -> &str {
    let line = text[..at].rfind('\n').map_or(0, |n| n + 1);
    let before = &text[line..at];
    if before.bytes().all(|b| b.is_ascii_whitespace()) {
        before
    } else {
        ""
    }
}

/// Adds a secret after the last one of a sender, and lets the others expire at `end` (RFC 3339). A secret
/// that expires earlier keeps its expiry.
pub fn rotate_secrets(
    text: &str,
    sender: &str,
    name: &str,
    file: &str,
    end: &str,
) -> Result<String, EditError> {
    let all = find_secrets(text, sender)?;
    if all.iter().any(|s| s.has_name(name)) {
        return Err(EditError::DuplicateSecret { sender: sender.to_owned(), name: name.to_owned() });
    }
    let Some(last) = all.last() else { return Err(EditError::NoSender(sender.to_owned())) };
    let attr = |n: &str, v: &str| (n.to_owned(), escape(v).into_owned());
    let new_element = format_tag("secret", &[attr("name", name), attr("file", file)], true);
    let mut out = text.to_owned();
    let indentation = indentation_at(text, last.element.start);
    let line = if indentation.is_empty() { new_element } else { format!("\n{indentation}{new_element}") };
    out.insert_str(last.element.end, &line);
    let timestamp = |t: &str| humantime::parse_rfc3339(t).ok();
    // Backwards, so that the ranges of earlier elements stay valid.
    for secret in all.iter().rev() {
        let expiry = secret.attr("not-after").and_then(timestamp);
        if expiry.zip(timestamp(end)).is_some_and(|(expiry, end)| expiry <= end) {
            continue;
        }
        let mut attrs = secret.attrs.clone();
        attrs.retain(|(n, _)| n != "not-after");
        attrs.push(attr("not-after", end));
        out.replace_range(secret.tag.clone(), &format_tag("secret", &attrs, secret.empty));
    }
    Ok(out)
}

/// Removes a secret, together with its line if the line contains nothing else. Also returns the file that it
/// named, as written.
pub fn remove_secret(text: &str, sender: &str, name: &str) -> Result<(String, String), EditError> {
    let all = find_secrets(text, sender)?;
    let missing = || EditError::NoSecret { sender: sender.to_owned(), name: name.to_owned() };
    let secret = all.iter().find(|s| s.has_name(name)).ok_or_else(missing)?;
    let mut range = secret.element.clone();
    let indentation = indentation_at(text, range.start);
    if !indentation.is_empty() && text[range.end..].starts_with('\n') {
        range = range.start - indentation.len()..range.end + 1;
    }
    let mut out = text.to_owned();
    out.replace_range(range, "");
    let file = secret.attr("file").unwrap_or("");
    let file = quick_xml::escape::unescape(file).map_err(|e| EditError::Xml(e.to_string()))?;
    Ok((out, file.into_owned()))
}

/// Sets or removes the operator's directive of a zone (attributes `word` and `why`).
pub fn set_zone_directive(
    text: &str,
    zone: &str,
    directive: Option<(&str, &str)>,
) -> Result<String, EditError> {
    let mut reader = Reader::from_str(text);
    loop {
        let from = reader.buffer_position() as usize;
        let event = reader.read_event().map_err(|e| EditError::Xml(e.to_string()))?;
        let to = reader.buffer_position() as usize;
        let (start_tag, empty) = match event {
            Event::Empty(t) => (t, true),
            Event::Start(t) => (t, false),
            Event::Eof => return Err(EditError::NoZone(zone.to_owned())),
            _ => continue,
        };
        let mut all = attrs(&start_tag)?;
        if start_tag.name().as_ref() != b"zone" || !all.iter().any(|(n, v)| n == "name" && *v == escape(zone))
        {
            continue;
        }
        all.retain(|(n, _)| n != "word" && n != "why");
        if let Some((word, why)) = directive {
            all.push(("word".into(), escape(word).into_owned()));
            all.push(("why".into(), escape(why).into_owned()));
        }
        let mut out = text.to_owned();
        out.replace_range(from..to, &format_tag("zone", &all, empty));
        return Ok(out);
    }
}

/// Whether two documents are equal except for what a running front end reloads: secrets, callbacks, key
/// files, certificates, budgets and operator's directives of zones. Lines and white space are ignored.
pub fn equal_except_reloadable(a: &crate::document::Node, b: &crate::document::Node) -> bool {
    const RELOADABLE_ELEMENTS: [&str; 5] = ["secret", "callback", "tls", "guard", "budgets"];
    let attrs = |n: &crate::document::Node| {
        let directive = |a: &str| n.name == "zone" && (a == "word" || a == "why");
        let mut all: Vec<_> =
            n.attrs.iter().filter(|(a, _)| a != "key-file" && !directive(a)).cloned().collect();
        all.sort();
        all
    };
    let children = |n: &crate::document::Node| {
        n.children
            .iter()
            .filter(|c| !RELOADABLE_ELEMENTS.contains(&c.name.as_str()))
            .cloned()
            .collect::<Vec<_>>()
    };
    let (children_a, children_b) = (children(a), children(b));
    a.name == b.name
        && attrs(a) == attrs(b)
        && children_a.len() == children_b.len()
        && children_a.iter().zip(&children_b).all(|(a, b)| equal_except_reloadable(a, b))
}
