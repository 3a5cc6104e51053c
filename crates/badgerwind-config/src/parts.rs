//! The parts of the settings that change independently, and the document composed from them.
//!
//! A part is a settings document of the same form and schema that contains only the elements of its kind.
//! Settings of the single machine stay in its settings file: its listen address, number, zone and key files.

use badgerwind_settings::document::{parse, Node};
use badgerwind_settings::Problem;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// A type of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Figures of the fleet, rules, prices and permissions.
    Fleet,
    /// Classes, tenants, functions.
    Classes,
    /// Senders and routes. Secrets are references to files.
    Routes,
    /// Limits of the webhook front and of connections to runners.
    Limits,
}

impl Kind {
    /// All kinds. Kinds that others refer to come first, which is the best order to publish a change of
    /// several kinds.
    pub const ALL: [Kind; 4] = [Kind::Fleet, Kind::Classes, Kind::Routes, Kind::Limits];

    /// The name in paths and reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Fleet => "fleet",
            Kind::Classes => "classes",
            Kind::Routes => "routes",
            Kind::Limits => "limits",
        }
    }
    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| k.name() == name)
    }
    /// The `type_url` of the exchange.
    pub fn type_url(self) -> String {
        format!("type.badgerwind/settings.{}", self.name())
    }

    /// The top-level elements that a part of this kind may contain.
    fn elements(self) -> &'static [&'static str] {
        match self {
            Kind::Fleet => &["fleet", "rules", "prices", "allow", "report"],
            Kind::Classes => &["class", "tenant", "function"],
            Kind::Routes => &["webhook"],
            Kind::Limits => &["webhook", "runners", "stop"],
        }
    }
}

/// Attributes that belong to the single machine, by element; a part never changes them.
const LOCAL_ATTRS: [(&str, &[&str]); 4] = [
    ("fleet", &["number", "zone", "seed"]),
    ("webhook", &["listen"]),
    ("runners", &["key-file"]),
    ("stop", &[]),
];

/// The children that a part's `<webhook>` may contain; all others belong to the single machine.
const ROUTE_ELEMENTS: [&str; 2] = ["sender", "route"];

/// SHA-256 of a part's text; detects a version number that is reused with other content.
pub type Digest = [u8; 32];

/// A version of a part.
#[derive(Clone, Debug)]
pub struct Part {
    /// The type of resource.
    pub kind: Kind,
    /// The version number; numbers only increase.
    pub version: u64,
    /// The text as published.
    pub text: Arc<str>,
    /// The digest of the text.
    pub digest: Digest,
    node: Node,
}

/// Longest text of a part, in bytes.
pub const MAX_PART_BYTES: usize = 4 * 1024 * 1024;

impl Part {
    /// Parses a part. Returns the problems, with their lines, if the text is not XML or has elements of
    /// another kind.
    pub fn parse(kind: Kind, version: u64, text: &str) -> Result<Part, Vec<Problem>> {
        let file = format!("{}:{version}", kind.name());
        let document_problem = |message: String, remedy: &str| Problem {
            file: file.clone(),
            line: 1,
            element: "badgerwind".into(),
            message,
            remedy: remedy.into(),
        };
        if text.len() > MAX_PART_BYTES {
            return Err(vec![document_problem(format!("{} bytes", text.len()), "a part is smaller")]);
        }
        let node = parse(&file, text).map_err(|p| vec![p])?;
        if node.name != "badgerwind" || node.attr("version") != Some("1") {
            return Err(vec![document_problem(
                "not a settings document".into(),
                "its root is <badgerwind version=\"1\">",
            )]);
        }
        let names = kind.elements();
        let unexpected = node.children.iter().filter(|c| !names.contains(&c.name.as_str()));
        let unexpected: Vec<Problem> = unexpected
            .map(|c| Problem {
                file: file.clone(),
                line: c.line,
                element: c.name.clone(),
                message: format!("does not belong to a part of kind {}", kind.name()),
                remedy: format!("it may hold {}", names.join(", ")),
            })
            .collect();
        if !unexpected.is_empty() {
            return Err(unexpected);
        }
        let is_local = |c: &&Node| !ROUTE_ELEMENTS.contains(&c.name.as_str());
        let local = node.children_named("webhook").flat_map(|w| &w.children).find(is_local);
        if let Some(local) = local {
            return Err(vec![Problem {
                file,
                line: local.line,
                element: local.name.clone(),
                message: "is each machine's own, and stays in its file".into(),
                remedy: format!("a part's webhook holds {}", ROUTE_ELEMENTS.join(", ")),
            }]);
        }
        let digest = Sha256::digest(text.as_bytes()).into();
        Ok(Part { kind, version, text: text.into(), digest, node })
    }
}

/// Composes the settings document from the file and the parts; a part replaces the file's elements of its
/// kind.
pub fn compose<'a>(file: &Node, parts: impl IntoIterator<Item = &'a Part>) -> Node {
    let mut document = file.clone();
    for part in parts {
        match part.kind {
            Kind::Fleet | Kind::Classes => {
                let names = part.kind.elements();
                let old_fleet = document.children.iter().find(|c| c.name == "fleet").cloned();
                document.children.retain(|c| !names.contains(&c.name.as_str()));
                document.children.extend(part.node.children.iter().cloned());
                if let (Kind::Fleet, Some(old_fleet)) = (part.kind, old_fleet) {
                    restore_local_attrs(&mut document, &old_fleet);
                }
            }
            Kind::Routes => {
                let Some(to) = document.children.iter_mut().find(|c| c.name == "webhook") else { continue };
                // The same element also contains budgets and certificates, which belong to the single
                // machine.
                let is_route = |c: &&Node| ROUTE_ELEMENTS.contains(&c.name.as_str());
                to.children.retain(|c| !is_route(&c));
                for from in part.node.children_named("webhook") {
                    to.children.extend(from.children.iter().filter(is_route).cloned());
                }
            }
            Kind::Limits => {
                for from in &part.node.children {
                    match document.children.iter_mut().find(|c| c.name == from.name) {
                        Some(to) => {
                            let local = local_attrs(&to.name);
                            to.attrs.retain(|(n, _)| local.contains(&n.as_str()));
                            let shared = from.attrs.iter().filter(|(n, _)| !local.contains(&n.as_str()));
                            to.attrs.extend(shared.cloned());
                        }
                        None => document.children.push(from.clone()),
                    }
                }
            }
        }
    }
    document
}

fn local_attrs(element: &str) -> &'static [&'static str] {
    LOCAL_ATTRS.iter().find(|(e, _)| *e == element).map_or(&[], |(_, names)| names)
}

/// Copies the machine's own attributes of an element back into the document.
fn restore_local_attrs(document: &mut Node, old: &Node) {
    let names = local_attrs(&old.name);
    let Some(to) = document.children.iter_mut().find(|c| c.name == old.name) else { return };
    to.attrs.retain(|(n, _)| !names.contains(&n.as_str()));
    to.attrs.extend(old.attrs.iter().filter(|(n, _)| names.contains(&n.as_str())).cloned());
}
