//! Parsing of XML into a tree of elements with line numbers, and validation of the tree against the schema.

use crate::schema::{Attr, AttrType, Element};
use crate::Problem;
use quick_xml::events::Event;
use quick_xml::Reader;

/// An element of a document.
#[derive(Clone, Debug)]
pub struct Node {
    /// The name of the element.
    pub name: String,
    /// The file that contains it.
    pub file: std::sync::Arc<str>,
    /// The line of its start tag, from 1.
    pub line: usize,
    /// Attributes and their unescaped values, in document order.
    pub attrs: Vec<(String, String)>,
    /// The child elements.
    pub children: Vec<Node>,
}

/// Maximum number of elements of a document; bounds the memory that untrusted input can use.
const MAX_ELEMENTS: usize = 200_000;
/// Maximum nesting depth of a document; bounds the recursion that untrusted input can cause.
const MAX_DEPTH: usize = 16;

impl Node {
    /// The value of an attribute, if it is present.
    pub fn attr(&self, name: &str) -> Option<&str> {
        self.attrs.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The child elements with this name.
    pub fn children_named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Node> {
        self.children.iter().filter(move |c| c.name == name)
    }
}

/// Counts lines up to an offset that only increases.
struct LineCounter<'a> {
    text: &'a [u8],
    offset: usize,
    line: usize,
}

impl LineCounter<'_> {
    /// The line at an offset in bytes.
    fn line_at(&mut self, offset: u64) -> usize {
        let offset = (offset as usize).clamp(self.offset, self.text.len());
        self.line += self.text[self.offset..offset].iter().filter(|&&b| b == b'\n').count();
        self.offset = offset;
        self.line
    }
}

/// Parses a document into a tree. Stops at the first error.
pub fn parse(file: &str, text: &str) -> Result<Node, Problem> {
    let mut reader = Reader::from_str(text);
    let shared: std::sync::Arc<str> = file.into();
    let mut lines = LineCounter { text: text.as_bytes(), offset: 0, line: 1 };
    let mut open: Vec<Node> = Vec::new();
    let mut root = None;
    let mut element_count = 0;
    loop {
        let line = lines.line_at(reader.buffer_position());
        let problem = |element: &str, message: String, remedy: &str| Problem {
            file: file.into(),
            line,
            element: element.into(),
            message,
            remedy: remedy.into(),
        };
        let inside = open.last().map_or("document", |n| n.name.as_str()).to_owned();
        match reader.read_event() {
            Err(e) => return Err(problem(&inside, format!("not well-formed XML: {e}"), "correct the XML")),
            Ok(Event::Start(tag) | Event::Empty(tag))
                if element_count >= MAX_ELEMENTS || open.len() >= MAX_DEPTH =>
            {
                let name = String::from_utf8_lossy(tag.name().as_ref()).into_owned();
                let message = format!("more than {MAX_ELEMENTS} elements, or deeper than {MAX_DEPTH}");
                return Err(problem(&name, message, "a settings document is smaller"));
            }
            Ok(Event::Start(tag)) => {
                element_count += 1;
                open.push(
                    element_node(&tag, &shared, line)
                        .map_err(|(n, message)| problem(&n, message, WRITE_ATTR))?,
                );
            }
            Ok(Event::Empty(tag)) => {
                element_count += 1;
                let node = element_node(&tag, &shared, line)
                    .map_err(|(n, message)| problem(&n, message, WRITE_ATTR))?;
                close_element(node, &mut open, &mut root)
                    .map_err(|n| problem(&n, SECOND_ROOT.into(), ONE_ROOT))?;
            }
            Ok(Event::End(_)) => {
                let Some(node) = open.pop() else { continue };
                close_element(node, &mut open, &mut root)
                    .map_err(|n| problem(&n, SECOND_ROOT.into(), ONE_ROOT))?;
            }
            Ok(Event::Text(t)) if !t.iter().all(u8::is_ascii_whitespace) => {
                return Err(problem(&inside, "contains text".into(), "write values in attributes"));
            }
            Ok(Event::CData(_) | Event::GeneralRef(_)) => {
                return Err(problem(&inside, "contains text".into(), "write values in attributes"));
            }
            Ok(Event::DocType(_)) => {
                let remedy = "remove it: entities are not supported";
                return Err(problem(&inside, "has a document type".into(), remedy));
            }
            Ok(Event::Eof) => {
                if let Some(node) = open.last() {
                    return Err(problem(&node.name, "is never closed".into(), "add its end tag"));
                }
                return root.ok_or_else(|| problem("document", "is empty".into(), ONE_ROOT));
            }
            Ok(_) => {}
        }
    }
}

const WRITE_ATTR: &str = "write name=\"value\", each name once";
const SECOND_ROOT: &str = "a second root element";
const ONE_ROOT: &str = "a document has a single root element";

fn close_element(node: Node, open: &mut [Node], root: &mut Option<Node>) -> Result<(), String> {
    match open.last_mut() {
        Some(parent) => parent.children.push(node),
        None if root.is_none() => *root = Some(node),
        None => return Err(node.name),
    }
    Ok(())
}

fn element_node(
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

/// Validates a tree against an element of the schema and appends every problem found.
pub fn check(node: &Node, element: &Element, problems: &mut Vec<Problem>) {
    let mut add = |at: &Node, name: &str, message: String, remedy: String| {
        problems.push(Problem {
            file: at.file.to_string(),
            line: at.line,
            element: name.into(),
            message,
            remedy,
        });
    };
    if node.name != element.name {
        let remedy = format!("<{}> is expected here", element.name);
        return add(node, &node.name, "unexpected element".into(), remedy);
    }
    for (name, value) in &node.attrs {
        if name.starts_with("xmlns") || name.starts_with("xsi:") {
            continue;
        }
        match element.attrs.iter().find(|k| k.name == name) {
            None => {
                let names: Vec<_> = element.attrs.iter().map(|a| a.name).collect();
                let remedy = format!("known attributes are {}", names.join(", "));
                add(node, &node.name, format!("unknown attribute {name}"), remedy);
            }
            Some(attr) => {
                if let Err(remedy) = validate_value(attr, value) {
                    add(node, &node.name, format!("{name} is \"{value}\""), remedy);
                }
            }
        }
    }
    for attr in element.attrs.iter().filter(|a| a.default.is_none() && !a.optional) {
        if node.attr(attr.name).is_none() {
            let remedy = format!("give {}", attr.attr_type.expected());
            add(node, &node.name, format!("{} is missing", attr.name), remedy);
        }
    }
    for child in &node.children {
        if !element.children.iter().any(|c| c.element.name == child.name) {
            let names: Vec<_> = element.children.iter().map(|c| format!("<{}>", c.element.name)).collect();
            let remedy = match names.is_empty() {
                true => format!("<{}> has no child elements", node.name),
                false => format!("<{}> may contain {}", node.name, names.join(", ")),
            };
            add(child, &child.name, "unknown element".into(), remedy);
        }
    }
    for c in element.children {
        let found = node.children_named(c.element.name).count();
        if found < c.min {
            let remedy = format!("write at least {} of it in <{}>", c.min, node.name);
            add(node, &node.name, format!("<{}> occurs {found} times", c.element.name), remedy);
        }
        if c.max.is_some_and(|max| found > max) {
            let remedy = format!("write at most {} of it", c.max.unwrap_or(0));
            add(node, &node.name, format!("<{}> occurs {found} times", c.element.name), remedy);
        }
    }
    for child in &node.children {
        if let Some(c) = element.children.iter().find(|c| c.element.name == child.name) {
            check(child, c.element, problems);
        }
    }
}

/// Validates a value; the error says what to write instead.
fn validate_value(attr: &Attr, value: &str) -> Result<(), String> {
    let valid = match attr.attr_type {
        AttrType::Name => is_valid_name(value),
        AttrType::File => !value.is_empty(),
        AttrType::UrlPath => value.starts_with('/') && !value.contains(['?', '#', ' ']),
        AttrType::Boolean => matches!(value, "true" | "false"),
        AttrType::Choice(choices) => choices.contains(&value),
        AttrType::Choices(choices) => !value.is_empty() && value.split(' ').all(|v| choices.contains(&v)),
        AttrType::Integer(min, max) => value.parse::<u64>().is_ok_and(|n| (min..=max).contains(&n)),
        AttrType::Decimal(min, max) => decimal(value).is_some_and(|n| (min..=max).contains(&n)),
        AttrType::Duration(min, max) => duration_us(value).is_some_and(|t| (min..=max).contains(&t)),
        AttrType::SocketAddress => value.parse::<std::net::SocketAddr>().is_ok(),
        AttrType::IpAddress => value.parse::<std::net::IpAddr>().is_ok(),
        AttrType::Timestamp => humantime::parse_rfc3339(value).is_ok(),
        AttrType::Text(max) => (1..=max).contains(&value.len()) && !value.contains(char::is_control),
    };
    if valid {
        Ok(())
    } else {
        Err(format!("give {}", attr.attr_type.expected()))
    }
}

fn is_valid_name(value: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"_.-:".contains(&b);
    (1..=64).contains(&value.len()) && value.bytes().all(allowed)
}

/// Parses a decimal number without sign and exponent.
pub(crate) fn decimal(value: &str) -> Option<f64> {
    let allowed = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    value.parse::<f64>().ok().filter(|n| allowed && n.is_finite())
}

/// Parses a duration with its unit, in microseconds.
pub(crate) fn duration_us(value: &str) -> Option<u64> {
    let unit_start = value.find(|c: char| c.is_ascii_alphabetic())?;
    let (digits, unit) = value.split_at(unit_start);
    let scale = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "min" => 60e6,
        "h" => 3_600e6,
        _ => return None,
    };
    decimal(digits).map(|n| (n * scale).round() as u64)
}
