//! The configuration of a front end: one JSON file.

use crate::discovery::{ListUpdate, ListedExecutor};
use badgerwind::interface::*;
use badgerwind_instance::{parse_names, parse_settings, parse_transport, Fields, Names, Transport};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// Why a configuration cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// It is not JSON of the expected form.
    #[error("{0}; the platform page describes the expected form")]
    Form(String),
    /// A value is not valid.
    #[error("{place}: {what}")]
    Value {
        /// Path of the value in the file.
        place: String,
        /// What is wrong, and what is expected.
        what: String,
    },
}

fn bad(place: impl Into<String>, what: impl Into<String>) -> ConfigError {
    ConfigError::Value { place: place.into(), what: what.into() }
}

/// Resource limits of a front end's processes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// CPU cores.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Maximum number of file descriptors.
    pub sockets: usize,
}

/// Number of zones and kinds in the settings. Records of discovery refer to them by position.
#[derive(Clone, Copy, Debug)]
pub struct NameCounts {
    /// Number of zones.
    pub zones: usize,
    /// Number of kinds of machine.
    pub kinds: usize,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front end's name.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Seed of random numbers.
    pub seed: u64,
    /// Resource limits.
    pub limits: Limits,
    /// Address on which messages from other front ends are received, if they are used.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the front ends, by number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all front ends.
    pub peers_all: Option<SocketAddr>,
    /// Address of service discovery.
    pub discovery: SocketAddr,
    /// Number of the last known event of service discovery.
    pub last_event: u64,
    /// The known events.
    pub known: Vec<ListUpdate>,
    /// The settings of the decision module.
    pub router: Settings,
    /// The names in the settings.
    pub names: Names,
    /// The transport's part of the settings.
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

/// Parses a configuration.
pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| ConfigError::Form(e.to_string()))?;
    let info = Fields(&raw.settings);
    let names = parse_names(&info);
    if names.classes.is_empty() {
        return Err(bad("settings.classes", "names no class; at least one is needed"));
    }
    if raw.limits.sockets < 64 || raw.limits.memory_mb < 16.0 {
        return Err(bad("limits", "must allow at least 64 sockets and 16 MB of memory"));
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
        known.push(ListUpdate { kind, entries });
    }
    Ok(Config {
        name: raw.name,
        listen: raw.listen,
        seed,
        limits: raw.limits,
        peer_listen: raw.peer_listen,
        peers: raw.peers,
        peers_all: raw.peers_all,
        discovery: raw.board,
        last_event: raw.known.rev,
        known,
        router: parse_settings(&info),
        transport: parse_transport(&info),
        names,
    })
}

fn listed(member: Member, names: &Names) -> Result<ListedExecutor, String> {
    let digits = member.id.strip_prefix("s-").filter(|d| d.len() == 8);
    let worker = digits.and_then(|d| WorkerId::from_str_radix(d, 16).ok());
    let worker = worker.ok_or_else(|| format!("id {:?} must be s- and 8 hexadecimal digits", member.id))?;
    let position = |name: &str, names: &[String]| names.iter().position(|n| n == name).map(|n| n as u32);
    let zone = position(&member.locality, &names.zones);
    let kind = position(&member.flavor, &names.kinds);
    let availability = match member.phase.as_str() {
        "in_service" => Availability::Ready,
        "terminating" => Availability::Draining,
        "terminated" => Availability::Removed,
        other => return Err(format!("phase {other:?} is not in_service, terminating or terminated")),
    };
    let entry = WorkerEntry {
        worker,
        zone: zone.ok_or_else(|| format!("locality {:?} is none of the zones", member.locality))?,
        cell: member.cell,
        kind: kind.ok_or_else(|| format!("flavor {:?} is none of the kinds", member.flavor))?,
        size: member.size,
        availability,
        born: (member.up_since_ms > 0).then(|| member.up_since_ms.saturating_mul(1000)),
    };
    Ok(ListedExecutor { entry, address: member.host_port })
}

impl Config {
    /// The sections that differ in a new configuration, except for the address of service discovery. A
    /// configuration of another front end, or one with other names of classes, tenants, zones or kinds, is
    /// rejected: these are referred to by position, so that an executor's zone or a request's class would
    /// suddenly mean something else.
    pub fn changed_sections(&self, new: &Config) -> Result<Vec<&'static str>, ConfigError> {
        let mismatch = |place: &str, own: String, other: String| {
            let what = format!(
                "is {other} where this front end has {own}; the file belongs to another front end, \
                 or the change needs a restart"
            );
            Err(bad(place, what))
        };
        if new.name != self.name {
            return mismatch("name", format!("{:?}", self.name), format!("{:?}", new.name));
        }
        if new.listen != self.listen {
            return mismatch("listen", self.listen.to_string(), new.listen.to_string());
        }
        let named = [
            ("settings: classes", &self.names.classes, &new.names.classes),
            ("settings: tenants", &self.names.tenants, &new.names.tenants),
            ("settings: zones", &self.names.zones, &new.names.zones),
            ("settings: kinds", &self.names.kinds, &new.names.kinds),
        ];
        for (place, own, other) in named {
            if own != other {
                return mismatch(place, format!("{own:?}"), format!("{other:?}"));
            }
        }
        let peers =
            (self.peer_listen, &self.peers, self.peers_all) == (new.peer_listen, &new.peers, new.peers_all);
        let settings = self.router == new.router && self.transport == new.transport;
        let same = [("limits", self.limits == new.limits), ("peers", peers), ("settings", settings)];
        Ok(same.into_iter().filter(|(_, same)| !same).map(|(place, _)| place).collect())
    }

    /// Number of zones and kinds.
    pub fn name_counts(&self) -> NameCounts {
        NameCounts { zones: self.names.zones.len(), kinds: self.names.kinds.len() }
    }
}
