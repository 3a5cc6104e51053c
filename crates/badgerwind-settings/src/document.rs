//! XML to a tree of elements with their lines, and the tree against the schema.

use crate::schema::{Attr, Element, Kind};
use crate::Problem;
use quick_xml::events::Event;
use quick_xml::Reader;

/// An element as it stands in the document.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// The document that it stands in.
    pub file: std::sync::Arc<str>,
    /// The line of its start.
    pub line: usize,
    /// Its attributes, as written.
    pub attrs: Vec<(String, String)>,
    /// Elements in it.
    pub children: Vec<Node>,
}

/// The most elements and the deepest nesting of a document: a bound on what is built from outside.
const MOST_NODES: usize = 200_000;
const DEEPEST: usize = 16;

impl Node {
    /// The value of an attribute, where it was written.
    pub fn attr(&self, name: &str) -> Option<&str> {
        self.attrs.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The elements of this name in it.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Node> {
        self.children.iter().filter(move |c| c.name == name)
    }
}

/// Counts lines up to a place that only moves on.
struct Lines<'a> {
    text: &'a [u8],
    at: usize,
    line: usize,
}

impl Lines<'_> {
    fn at(&mut self, place: u64) -> usize {
        let place = (place as usize).clamp(self.at, self.text.len());
        self.line += self.text[self.at..place].iter().filter(|&&b| b == b'\n').count();
        self.at = place;
        self.line
    }
}

/// Reads a document into a tree; the first thing that is not XML ends it.
pub fn parse(file: &str, text: &str) -> Result<Node, Problem> {
    let mut reader = Reader::from_str(text);
    let shared: std::sync::Arc<str> = file.into();
    let mut lines = Lines { text: text.as_bytes(), at: 0, line: 1 };
    let mut open: Vec<Node> = Vec::new();
    let mut root = None;
    let mut nodes = 0;
    loop {
        let line = lines.at(reader.buffer_position());
        let problem = |element: &str, what: String, right: &str| Problem {
            file: file.into(),
            line,
            element: element.into(),
            what,
            right: right.into(),
        };
        let inside = open.last().map_or("document", |n| n.name.as_str()).to_owned();
        match reader.read_event() {
            Err(e) => return Err(problem(&inside, format!("not well-formed XML: {e}"), "mend the XML")),
            Ok(Event::Start(tag) | Event::Empty(tag)) if nodes >= MOST_NODES || open.len() >= DEEPEST => {
                let name = String::from_utf8_lossy(tag.name().as_ref()).into_owned();
                let what = format!("more than {MOST_NODES} elements, or deeper than {DEEPEST}");
                return Err(problem(&name, what, "a settings document is smaller"));
            }
            Ok(Event::Start(tag)) => {
                nodes += 1;
                open.push(node(&tag, &shared, line).map_err(|(n, what)| problem(&n, what, WRITE_ATTR))?);
            }
            Ok(Event::Empty(tag)) => {
                nodes += 1;
                let node = node(&tag, &shared, line).map_err(|(n, what)| problem(&n, what, WRITE_ATTR))?;
                close(node, &mut open, &mut root).map_err(|n| problem(&n, SECOND_ROOT.into(), ONE_ROOT))?;
            }
            Ok(Event::End(_)) => {
                let Some(node) = open.pop() else { continue };
                close(node, &mut open, &mut root).map_err(|n| problem(&n, SECOND_ROOT.into(), ONE_ROOT))?;
            }
            Ok(Event::Text(t)) if !t.iter().all(u8::is_ascii_whitespace) => {
                return Err(problem(&inside, "holds text".into(), "values stand in attributes"));
            }
            Ok(Event::CData(_) | Event::GeneralRef(_)) => {
                return Err(problem(&inside, "holds text".into(), "values stand in attributes"));
            }
            Ok(Event::DocType(_)) => {
                let right = "leave it out: entities are not read";
                return Err(problem(&inside, "has a document type".into(), right));
            }
            Ok(Event::Eof) => {
                if let Some(node) = open.last() {
                    return Err(problem(&node.name, "is never closed".into(), "close it"));
                }
                return root.ok_or_else(|| problem("document", "is empty".into(), ONE_ROOT));
            }
            Ok(_) => {}
        }
    }
}

const WRITE_ATTR: &str = "write name=\"value\", each name once";
const SECOND_ROOT: &str = "a second outermost element";
const ONE_ROOT: &str = "one element holds all others";

fn close(node: Node, open: &mut [Node], root: &mut Option<Node>) -> Result<(), String> {
    match open.last_mut() {
        Some(parent) => parent.children.push(node),
        None if root.is_none() => *root = Some(node),
        None => return Err(node.name),
    }
    Ok(())
}

fn node(
    tag: &quick_xml::events::BytesStart<'_>,
    file: &std::sync::Arc<str>,
    line: usize,
) -> Result<Node, (String, String)> {
    let name = String::from_utf8_lossy(tag.name().as_ref()).into_owned();
    let mut attrs = Vec::new();
    for attr in tag.attributes() {
        let attr = attr.map_err(|e| (name.clone(), format!("an attribute cannot be read: {e}")))?;
        let key = String::from_utf8_lossy(attr.key.as_ref()).into_owned();
        let raw = String::from_utf8_lossy(&attr.value).into_owned();
        let value = quick_xml::escape::unescape(&raw)
            .map_err(|e| (name.clone(), format!("attribute {key} cannot be read: {e}")))?;
        attrs.push((key, value.into_owned()));
    }
    Ok(Node { name, file: file.clone(), line, attrs, children: Vec::new() })
}

/// Holds a tree against an element of the schema; every problem is added.
pub fn check(node: &Node, element: &Element, problems: &mut Vec<Problem>) {
    let mut add = |at: &Node, name: &str, what: String, right: String| {
        problems.push(Problem {
            file: at.file.to_string(),
            line: at.line,
            element: name.into(),
            what,
            right,
        });
    };
    if node.name != element.name {
        let right = format!("<{}> must stand here", element.name);
        return add(node, &node.name, "not the element wanted".into(), right);
    }
    for (name, value) in &node.attrs {
        if name.starts_with("xmlns") || name.starts_with("xsi:") {
            continue;
        }
        match element.attrs.iter().find(|k| k.name == name) {
            None => {
                let names: Vec<_> = element.attrs.iter().map(|a| a.name).collect();
                let right = format!("known are {}", names.join(", "));
                add(node, &node.name, format!("unknown attribute {name}"), right);
            }
            Some(attr) => {
                if let Err(right) = fits(attr, value) {
                    add(node, &node.name, format!("{name} is \"{value}\""), right);
                }
            }
        }
    }
    for attr in element.attrs.iter().filter(|a| a.default.is_none() && !a.optional) {
        if node.attr(attr.name).is_none() {
            let right = format!("give {}", attr.kind.wanted());
            add(node, &node.name, format!("{} is missing", attr.name), right);
        }
    }
    for child in &node.children {
        if !element.children.iter().any(|c| c.element.name == child.name) {
            let names: Vec<_> = element.children.iter().map(|c| format!("<{}>", c.element.name)).collect();
            let right = match names.is_empty() {
                true => format!("nothing stands in <{}>", node.name),
                false => format!("in <{}> may stand {}", node.name, names.join(", ")),
            };
            add(child, &child.name, "unknown element".into(), right);
        }
    }
    for c in element.children {
        let found = node.all(c.element.name).count();
        if found < c.least {
            let right = format!("write at least {} of it in <{}>", c.least, node.name);
            add(node, &node.name, format!("<{}> stands {found} times", c.element.name), right);
        }
        if c.most.is_some_and(|m| found > m) {
            let right = format!("write at most {} of it", c.most.unwrap_or(0));
            add(node, &node.name, format!("<{}> stands {found} times", c.element.name), right);
        }
    }
    for child in &node.children {
        if let Some(c) = element.children.iter().find(|c| c.element.name == child.name) {
            check(child, c.element, problems);
        }
    }
}

fn fits(attr: &Attr, value: &str) -> Result<(), String> {
    let ok = match attr.kind {
        Kind::Name => name_fits(value),
        Kind::File => !value.is_empty(),
        Kind::Path => value.starts_with('/') && !value.contains(['?', '#', ' ']),
        Kind::Flag => matches!(value, "true" | "false"),
        Kind::Word(words) => words.contains(&value),
        Kind::Words(words) => !value.is_empty() && value.split(' ').all(|w| words.contains(&w)),
        Kind::Whole(least, most) => value.parse::<u64>().is_ok_and(|n| (least..=most).contains(&n)),
        Kind::Number(least, most) => number(value).is_some_and(|n| (least..=most).contains(&n)),
        Kind::Time(least, most) => time(value).is_some_and(|t| (least..=most).contains(&t)),
        Kind::Address => value.parse::<std::net::SocketAddr>().is_ok(),
        Kind::Host => value.parse::<std::net::IpAddr>().is_ok(),
        Kind::Date => humantime::parse_rfc3339(value).is_ok(),
        Kind::Text(most) => (1..=most).contains(&value.len()) && !value.contains(char::is_control),
    };
    if ok {
        Ok(())
    } else {
        Err(format!("give {}", attr.kind.wanted()))
    }
}

fn name_fits(value: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"_.-:".contains(&b);
    (1..=64).contains(&value.len()) && value.bytes().all(plain)
}

/// A plain decimal number, with no exponent and no infinity.
pub(crate) fn number(value: &str) -> Option<f64> {
    let plain = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    value.parse::<f64>().ok().filter(|n| plain && n.is_finite())
}

/// A time with its unit, in microseconds.
pub(crate) fn time(value: &str) -> Option<u64> {
    let at = value.find(|c: char| c.is_ascii_alphabetic())?;
    let (digits, unit) = value.split_at(at);
    let scale = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "min" => 60e6,
        "h" => 3_600e6,
        _ => return None,
    };
    number(digits).map(|n| (n * scale).round() as u64)
}
