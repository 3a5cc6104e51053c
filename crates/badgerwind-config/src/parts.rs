//! The parts of the settings that change apart from each other, and the whole put together from them.
//!
//! A part is a settings document of the same form and schema that holds only its own elements. What is a machine's
//! own stays in the file: where it listens, its number and zone, its key files.

use badgerwind_settings::document::{parse, Node};
use badgerwind_settings::Problem;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// A type of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Fleet figures, rules, prices, what is allowed.
    Fleet,
    /// Classes, tenants, functions.
    Classes,
    /// Senders and routes; secrets by reference only.
    Routes,
    /// Bounds of the webhook front and of connections to runners.
    Limits,
}

impl Kind {
    /// All, in the order in which a change of several is best sent: what is referred to comes first.
    pub const ALL: [Kind; 4] = [Kind::Fleet, Kind::Classes, Kind::Routes, Kind::Limits];

    /// Its name in paths and reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Fleet => "fleet",
            Kind::Classes => "classes",
            Kind::Routes => "routes",
            Kind::Limits => "limits",
        }
    }
    /// The kind of a name.
    pub fn named(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| k.name() == name)
    }
    /// Its `type_url`.
    pub fn url(self) -> String {
        format!("type.badgerwind/settings.{}", self.name())
    }

    /// The outermost elements that a part of this kind may hold.
    fn elements(self) -> &'static [&'static str] {
        match self {
            Kind::Fleet => &["fleet", "rules", "prices", "allow", "report"],
            Kind::Classes => &["class", "tenant", "function"],
            Kind::Routes => &["webhook"],
            Kind::Limits => &["webhook", "runners", "stop"],
        }
    }
}

/// What stays each machine's own, whatever a part says.
const OWN: [(&str, &[&str]); 4] = [
    ("fleet", &["number", "zone", "seed"]),
    ("webhook", &["listen"]),
    ("runners", &["key-file"]),
    ("stop", &[]),
];

/// What a part may hold in its webhook element; all else there is a machine's own.
const ROUTES: [&str; 2] = ["sender", "route"];

/// SHA-256 of a part's text, by which the same number with other content is told.
pub type Digest = [u8; 32];

/// A version of a part.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its kind.
    pub kind: Kind,
    /// Its number; numbers only grow.
    pub version: u64,
    /// Its text.
    pub text: Arc<str>,
    /// Of the text.
    pub digest: Digest,
    node: Node,
}

/// The longest text of a part.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;

impl Part {
    /// Reads a part; what is not XML, or not of its kind, is told by line.
    pub fn read(kind: Kind, version: u64, text: &str) -> Result<Part, Vec<Problem>> {
        let file = format!("{}:{version}", kind.name());
        let whole = |what: String, right: &str| Problem {
            file: file.clone(),
            line: 1,
            element: "badgerwind".into(),
            what,
            right: right.into(),
        };
        if text.len() > MOST_BYTES {
            return Err(vec![whole(format!("{} bytes", text.len()), "a part is smaller")]);
        }
        let node = parse(&file, text).map_err(|p| vec![p])?;
        if node.name != "badgerwind" || node.attr("version") != Some("1") {
            return Err(vec![whole(
                "not a settings document".into(),
                "its root is <badgerwind version=\"1\">",
            )]);
        }
        let names = kind.elements();
        let strange = node.children.iter().filter(|c| !names.contains(&c.name.as_str()));
        let strange: Vec<Problem> = strange
            .map(|c| Problem {
                file: file.clone(),
                line: c.line,
                element: c.name.clone(),
                what: format!("does not belong to a part of kind {}", kind.name()),
                right: format!("it may hold {}", names.join(", ")),
            })
            .collect();
        if !strange.is_empty() {
            return Err(strange);
        }
        let own = node.all("webhook").flat_map(|w| &w.children).find(|c| !ROUTES.contains(&c.name.as_str()));
        if let Some(own) = own {
            return Err(vec![Problem {
                file,
                line: own.line,
                element: own.name.clone(),
                what: "is each machine's own, and stays in its file".into(),
                right: format!("a part's webhook holds {}", ROUTES.join(", ")),
            }]);
        }
        let digest = Sha256::digest(text.as_bytes()).into();
        Ok(Part { kind, version, text: text.into(), digest, node })
    }
}

/// The whole document: the file's, with each part in its place.
pub fn compose<'a>(file: &Node, parts: impl IntoIterator<Item = &'a Part>) -> Node {
    let mut whole = file.clone();
    for part in parts {
        match part.kind {
            Kind::Fleet | Kind::Classes => {
                let names = part.kind.elements();
                let own = whole.children.iter().find(|c| c.name == "fleet").cloned();
                whole.children.retain(|c| !names.contains(&c.name.as_str()));
                whole.children.extend(part.node.children.iter().cloned());
                if let (Kind::Fleet, Some(own)) = (part.kind, own) {
                    keep_own(&mut whole, &own);
                }
            }
            Kind::Routes => {
                let Some(to) = whole.children.iter_mut().find(|c| c.name == "webhook") else { continue };
                // Budgets and certificates stand in the same element and are the machine's own.
                let routes = |c: &&Node| ROUTES.contains(&c.name.as_str());
                to.children.retain(|c| !routes(&c));
                for from in part.node.all("webhook") {
                    to.children.extend(from.children.iter().filter(routes).cloned());
                }
            }
            Kind::Limits => {
                for from in &part.node.children {
                    match whole.children.iter_mut().find(|c| c.name == from.name) {
                        Some(to) => {
                            let own = own_names(&to.name);
                            to.attrs.retain(|(n, _)| own.contains(&n.as_str()));
                            let given = from.attrs.iter().filter(|(n, _)| !own.contains(&n.as_str()));
                            to.attrs.extend(given.cloned());
                        }
                        None => whole.children.push(from.clone()),
                    }
                }
            }
        }
    }
    whole
}

fn own_names(element: &str) -> &'static [&'static str] {
    OWN.iter().find(|(e, _)| *e == element).map_or(&[], |(_, names)| names)
}

fn keep_own(whole: &mut Node, own: &Node) {
    let names = own_names(&own.name);
    let Some(to) = whole.children.iter_mut().find(|c| c.name == own.name) else { return };
    to.attrs.retain(|(n, _)| !names.contains(&n.as_str()));
    to.attrs.extend(own.attrs.iter().filter(|(n, _)| names.contains(&n.as_str())).cloned());
}
