//! The configuration that a front end is started with: one JSON file.

use crate::board::{Listed, News};
use badgerwind::interface::*;
use badgerwind_instance::{parse_names, parse_settings, parse_transport, Fields, Names, Transport};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// What is wrong with a configuration: where, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadConfig {
    /// It is not JSON of the right form.
    #[error("{0}; the platform's page tells its form")]
    Form(String),
    /// A value that cannot be used.
    #[error("{place}: {what}")]
    Value {
        /// Where.
        place: String,
        /// What, and what would be right.
        what: String,
    },
}

fn bad(place: impl Into<String>, what: impl Into<String>) -> BadConfig {
    BadConfig::Value { place: place.into(), what: what.into() }
}

/// What the processes of a front end may take.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Cores.
    pub cores: f64,
    /// Megabytes.
    pub memory_mb: f64,
    /// Descriptors.
    pub sockets: usize,
}

/// How many places there are of a kind.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    /// Zones.
    pub zones: usize,
    /// Kinds of machine.
    pub kinds: usize,
}

/// The configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front end's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What it may take.
    pub limits: Limits,
    /// Where messages come in, where there are any.
    pub peer_listen: Option<SocketAddr>,
    /// Front ends by number.
    pub peers: Vec<SocketAddr>,
    /// All of them.
    pub peers_all: Option<SocketAddr>,
    /// The notice board.
    pub board: SocketAddr,
    /// The last event known.
    pub last: u64,
    /// The events known.
    pub known: Vec<News>,
    /// The settings object.
    pub router: Settings,
    /// The names in it.
    pub names: Names,
    /// Its figures of transport.
    pub transport: Transport,
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: Value,
    limits: Limits,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    board: SocketAddr,
    known: Known,
    settings: Map<String, Value>,
}

#[derive(Deserialize)]
struct Known {
    rev: u64,
    notices: Vec<Notice>,
}

#[derive(Deserialize)]
struct Notice {
    rev: u64,
    pool: Pool,
}

#[derive(Deserialize)]
struct Pool {
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<Member>,
}

#[derive(Deserialize)]
struct Member {
    id: String,
    host_port: SocketAddr,
    locality: String,
    flavor: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

/// Reads a configuration.
pub fn read(text: &[u8]) -> Result<Config, BadConfig> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| BadConfig::Form(e.to_string()))?;
    let info = Fields(&raw.settings);
    let names = parse_names(&info);
    if names.classes.is_empty() {
        return Err(bad("settings.classes", "names no class; at least one is needed"));
    }
    if raw.limits.sockets < 64 || raw.limits.memory_mb < 16.0 {
        return Err(bad("limits", "leaves too little; 64 sockets and 16 MB are the least"));
    }
    let seed = match &raw.seed {
        Value::String(s) => {
            u64::from_str_radix(s, 16).map_err(|_| bad("seed", "must be hexadecimal digits"))?
        }
        Value::Number(n) => n.as_u64().unwrap_or(0),
        _ => 0,
    };
    let mut known = Vec::new();
    for (n, notice) in raw.known.notices.into_iter().enumerate() {
        let kind = match (notice.pool.complete, n) {
            (true, _) | (_, 0) => ListKind::Whole,
            _ => ListKind::Changes,
        };
        let mut entries = Vec::new();
        for (m, member) in notice.pool.members.into_iter().enumerate() {
            let place = format!("known.notices[{n}] (rev {}).pool.members[{m}]", notice.rev);
            entries.push(listed(member, &names).map_err(|what| bad(place, what))?);
        }
        known.push(News { kind, entries });
    }
    Ok(Config {
        name: raw.name,
        listen: raw.listen,
        seed,
        limits: raw.limits,
        peer_listen: raw.peer_listen,
        peers: raw.peers,
        peers_all: raw.peers_all,
        board: raw.board,
        last: raw.known.rev,
        known,
        router: parse_settings(&info),
        transport: parse_transport(&info),
        names,
    })
}

fn listed(m: Member, names: &Names) -> Result<Listed, String> {
    let digits = m.id.strip_prefix("s-").filter(|d| d.len() == 8);
    let worker = digits.and_then(|d| WorkerId::from_str_radix(d, 16).ok());
    let worker = worker.ok_or_else(|| format!("id {:?} must be s- and 8 hexadecimal digits", m.id))?;
    let place = |word: &str, of: &[String]| of.iter().position(|w| w == word).map(|n| n as u32);
    let zone = place(&m.locality, &names.zones);
    let kind = place(&m.flavor, &names.kinds);
    let availability = match m.phase.as_str() {
        "in_service" => Availability::Ready,
        "terminating" => Availability::Draining,
        "terminated" => Availability::Removed,
        other => return Err(format!("phase {other:?} is not in_service, terminating or terminated")),
    };
    let entry = WorkerEntry {
        worker,
        zone: zone.ok_or_else(|| format!("locality {:?} is none of the zones", m.locality))?,
        cell: m.cell,
        kind: kind.ok_or_else(|| format!("flavor {:?} is none of the kinds", m.flavor))?,
        size: m.size,
        availability,
        born: (m.up_since_ms > 0).then(|| m.up_since_ms.saturating_mul(1000)),
    };
    Ok(Listed { entry, address: m.host_port })
}

impl Config {
    /// What another configuration changes beside the notice board. One that is another front end's, or whose places stand for
    /// other names, is refused: an executor's zone or a request's class would mean something else from one moment to the next.
    pub fn changes(&self, new: &Config) -> Result<Vec<&'static str>, BadConfig> {
        let theirs = |place: &str, own: String, other: String| {
            let what = format!(
                "is {other} where this front end has {own}; it is another's file, or needs a restart"
            );
            Err(bad(place, what))
        };
        if new.name != self.name {
            return theirs("name", format!("{:?}", self.name), format!("{:?}", new.name));
        }
        if new.listen != self.listen {
            return theirs("listen", self.listen.to_string(), new.listen.to_string());
        }
        let named = [
            ("settings: classes", &self.names.classes, &new.names.classes),
            ("settings: tenants", &self.names.tenants, &new.names.tenants),
            ("settings: zones", &self.names.zones, &new.names.zones),
            ("settings: kinds", &self.names.kinds, &new.names.kinds),
        ];
        for (place, own, other) in named {
            if own != other {
                return theirs(place, format!("{own:?}"), format!("{other:?}"));
            }
        }
        let peers =
            (self.peer_listen, &self.peers, self.peers_all) == (new.peer_listen, &new.peers, new.peers_all);
        let settings = self.router == new.router && self.transport == new.transport;
        let same = [("limits", self.limits == new.limits), ("peers", peers), ("settings", settings)];
        Ok(same.into_iter().filter(|(_, same)| !same).map(|(place, _)| place).collect())
    }

    /// How many places there are.
    pub fn places(&self) -> Places {
        Places { zones: self.names.zones.len(), kinds: self.names.kinds.len() }
    }
}
