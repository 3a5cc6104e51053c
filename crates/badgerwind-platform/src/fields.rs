//! Parses and validates the parameters of a request.

use crate::fcgi;
use badgerwind::interface::Micros;
use badgerwind_instance::Names;

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedRequest {
    /// A health check of this front end.
    Health,
    /// A call.
    Call(CallFields),
}

/// The fields of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallFields {
    /// The request id: 16 hexadecimal digits, as received.
    pub id: String,
    /// The function's key: 16 hexadecimal digits, as received.
    pub key: String,
    /// Position of the class in the settings.
    pub class: usize,
    /// Position of the tenant in the settings.
    pub tenant: usize,
    /// How long the client waits for the answer.
    pub wait: Micros,
    /// Whether the client retries an earlier request.
    pub retry: bool,
    /// Memory of a copy, in MB.
    pub memory_mb: f64,
    /// Number of requests that one copy runs concurrently.
    pub lanes: u32,
    /// Usual time to load a copy, if given.
    pub load_time: Option<Micros>,
}

/// Why a request cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The parameters cannot be parsed.
    #[error("the parameters cannot be read")]
    Pairs,
    /// Unknown path.
    #[error("no such path")]
    Path,
    /// The settings contain no such class.
    #[error("no such class")]
    Class,
    /// The settings contain no such tenant.
    #[error("no such tenant")]
    Tenant,
    /// An id or key that is not 16 hexadecimal digits.
    #[error("{0} must be 16 hexadecimal digits")]
    Hex(&'static str),
    /// A value that is missing, malformed or out of range.
    #[error("{0} is missing or out of range")]
    Value(&'static str),
}

/// Maximum time that a client may announce to wait, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;

fn hex(value: Option<&[u8]>, name: &'static str) -> Result<String, BadRequest> {
    let digits = value.filter(|v| v.len() == 16 && v.iter().all(u8::is_ascii_hexdigit));
    let text = digits.and_then(|v| std::str::from_utf8(v).ok());
    text.map(str::to_owned).ok_or(BadRequest::Hex(name))
}

fn number(text: &str) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|x| x.is_finite())
}

/// Parses a request's parameters.
pub fn parse(params: &[u8], names: &Names) -> Result<ParsedRequest, BadRequest> {
    let pairs = fcgi::parse_pairs(params).ok_or(BadRequest::Pairs)?;
    let get = |name: &str| pairs.iter().rev().find(|(n, _)| *n == name.as_bytes()).map(|(_, v)| *v);
    let text = |name: &str| get(name).and_then(|v| std::str::from_utf8(v).ok());
    let path = text("SCRIPT_NAME").ok_or(BadRequest::Path)?;
    if path == "/-/healthy" {
        return Ok(ParsedRequest::Health);
    }
    let class = path.strip_prefix("/api/v2/").ok_or(BadRequest::Path)?;
    let class = names.classes.iter().position(|c| c == class).ok_or(BadRequest::Class)?;
    let tenant = match text("HTTP_REQ_OWNER") {
        Some(owner) => names.tenants.iter().position(|t| t == owner).ok_or(BadRequest::Tenant)?,
        None if names.tenants.is_empty() => 0,
        None => return Err(BadRequest::Tenant),
    };
    let wait_ms: u64 =
        text("HTTP_REQ_WAIT_MS").and_then(|v| v.parse().ok()).ok_or(BadRequest::Value("Req-Wait-Ms"))?;
    if !(1..=MAX_WAIT_MS).contains(&wait_ms) {
        return Err(BadRequest::Value("Req-Wait-Ms"));
    }
    let retry = match text("HTTP_REQ_RETRY") {
        None | Some("0") | Some("") => false,
        Some("1") => true,
        Some(_) => return Err(BadRequest::Value("Req-Retry")),
    };
    let mut fields = CallFields {
        id: hex(get("HTTP_REQ_ID"), "Req-Id")?,
        key: hex(get("HTTP_REQ_KEY"), "Req-Key")?,
        class,
        tenant,
        wait: wait_ms * 1000,
        retry,
        memory_mb: 0.0,
        lanes: 1,
        load_time: None,
    };
    for part in text("HTTP_X_ATTRS").unwrap_or("").split(';').filter(|p| !p.trim().is_empty()) {
        let (name, value) = part.split_once(':').ok_or(BadRequest::Value("X-Attrs"))?;
        let within =
            |max: f64, what| number(value).filter(|x| (0.0..=max).contains(x)).ok_or(BadRequest::Value(what));
        match name.trim() {
            "memory_mb" => fields.memory_mb = within(1e7, "memory_mb")?,
            "lanes" => fields.lanes = within(1e4, "lanes")? as u32,
            "load_ms" => fields.load_time = Some((within(1e7, "load_ms")? * 1000.0) as Micros),
            _ => {} // attributes of later versions are ignored
        }
    }
    Ok(ParsedRequest::Call(fields))
}
