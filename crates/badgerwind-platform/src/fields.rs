//! What a request's parameters say, held to their bounds.

use crate::fcgi;
use badgerwind::interface::Span;
use badgerwind_instance::Names;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    /// Whether this front end serves.
    Health,
    /// A call.
    Call(Fields),
}

/// A call's fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Fields {
    /// 16 hexadecimal digits, as they came.
    pub id: String,
    /// The function, the same.
    pub key: String,
    /// The class's place.
    pub class: usize,
    /// The tenant's place.
    pub tenant: usize,
    /// How long the client waits.
    pub waits: Span,
    /// A client's retry.
    pub retry: bool,
    /// Memory of a copy, in MB.
    pub memory_mb: f64,
    /// Requests that one copy runs at a time.
    pub lanes: u32,
    /// Usual time of a load, where told.
    pub load_time: Option<Span>,
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// The parameters cannot be read.
    #[error("the parameters cannot be read")]
    Pairs,
    /// The path leads nowhere.
    #[error("no such path")]
    Path,
    /// A class that the settings do not name.
    #[error("no such class")]
    Class,
    /// A tenant that the settings do not name.
    #[error("no such tenant")]
    Tenant,
    /// An id or key that is not 16 hexadecimal digits.
    #[error("{0} must be 16 hexadecimal digits")]
    Hex(&'static str),
    /// A figure that is missing, not a number or out of range.
    #[error("{0} is missing or out of range")]
    Figure(&'static str),
}

/// The longest time that a client may say it waits, in milliseconds.
const MOST_WAIT: u64 = 600_000;

fn hex(value: Option<&[u8]>, name: &'static str) -> Result<String, Unusable> {
    let digits = value.filter(|v| v.len() == 16 && v.iter().all(u8::is_ascii_hexdigit));
    let text = digits.and_then(|v| std::str::from_utf8(v).ok());
    text.map(str::to_owned).ok_or(Unusable::Hex(name))
}

fn number(text: &str) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|x| x.is_finite())
}

/// Reads a request's parameters.
pub fn read(params: &[u8], names: &Names) -> Result<Asked, Unusable> {
    let pairs = fcgi::pairs(params).ok_or(Unusable::Pairs)?;
    let get = |name: &str| pairs.iter().rev().find(|(n, _)| *n == name.as_bytes()).map(|(_, v)| *v);
    let text = |name: &str| get(name).and_then(|v| std::str::from_utf8(v).ok());
    let path = text("SCRIPT_NAME").ok_or(Unusable::Path)?;
    if path == "/-/healthy" {
        return Ok(Asked::Health);
    }
    let class = path.strip_prefix("/api/v2/").ok_or(Unusable::Path)?;
    let class = names.classes.iter().position(|c| c == class).ok_or(Unusable::Class)?;
    let tenant = match text("HTTP_REQ_OWNER") {
        Some(owner) => names.tenants.iter().position(|t| t == owner).ok_or(Unusable::Tenant)?,
        None if names.tenants.is_empty() => 0,
        None => return Err(Unusable::Tenant),
    };
    let waits: u64 =
        text("HTTP_REQ_WAIT_MS").and_then(|v| v.parse().ok()).ok_or(Unusable::Figure("Req-Wait-Ms"))?;
    if !(1..=MOST_WAIT).contains(&waits) {
        return Err(Unusable::Figure("Req-Wait-Ms"));
    }
    let retry = match text("HTTP_REQ_RETRY") {
        None | Some("0") | Some("") => false,
        Some("1") => true,
        Some(_) => return Err(Unusable::Figure("Req-Retry")),
    };
    let mut fields = Fields {
        id: hex(get("HTTP_REQ_ID"), "Req-Id")?,
        key: hex(get("HTTP_REQ_KEY"), "Req-Key")?,
        class,
        tenant,
        waits: waits * 1000,
        retry,
        memory_mb: 0.0,
        lanes: 1,
        load_time: None,
    };
    for part in text("HTTP_X_ATTRS").unwrap_or("").split(';').filter(|p| !p.trim().is_empty()) {
        let (name, value) = part.split_once(':').ok_or(Unusable::Figure("X-Attrs"))?;
        let within = |most: f64, what| {
            number(value).filter(|x| (0.0..=most).contains(x)).ok_or(Unusable::Figure(what))
        };
        match name.trim() {
            "memory_mb" => fields.memory_mb = within(1e7, "memory_mb")?,
            "lanes" => fields.lanes = within(1e4, "lanes")? as u32,
            "load_ms" => fields.load_time = Some((within(1e7, "load_ms")? * 1000.0) as Span),
            _ => {} // figures that later versions add
        }
    }
    Ok(Asked::Call(fields))
}
