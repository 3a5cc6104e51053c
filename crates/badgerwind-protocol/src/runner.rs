//! The protocol between gateway and runner, over HTTP/1.1. A call is a signed webhook; load orders follow the
//! model repository extension of the Open Inference Protocol.

use badgerwind::interface::{CopyMark, Outcome};
use serde::{Deserialize, Serialize};

/// Header: the attempt's id, `REQUEST/NUMBER`.
pub const ATTEMPT: &str = "badgerwind-attempt";
/// Header: the number of the sending front end.
pub const FRONT: &str = "badgerwind-front";
/// Header: the name of the call's class.
pub const CLASS: &str = "badgerwind-class";
/// Header: the name of the tenant.
pub const TENANT: &str = "badgerwind-tenant";
/// Header: the memory of one copy, in MB.
pub const MEMORY: &str = "badgerwind-memory-mb";
/// Header: the number of calls that one copy runs at a time.
pub const LANES: &str = "badgerwind-lanes";
/// Header: the time left until the sender's deadline, in milliseconds.
pub const TIME_LEFT: &str = "badgerwind-time-left-ms";
/// Header: how the attempt ended. An answer without it is no proof that the call never ran.
pub const OUTCOME: &str = "badgerwind-outcome";
/// Header: the state of the copy that the call met, see [`mark`].
pub const COPY: &str = "badgerwind-copy";
/// Header: the number of calls for the same function that the runner held when this one arrived.
pub const CROWD: &str = "badgerwind-crowd";

/// Header: `TAKEN.FRONT.ATTEMPT`, which orders the attempts of a call from older to newer, see
/// `badgerwind-attempts`.
pub const FENCE: &str = "badgerwind-fence";
/// Header: the load report, numbers separated by commas in the order given in the settings.
pub const REPORT: &str = "badgerwind-report";
/// Largest number of values in a load report; a limit on external input.
const MAX_REPORT_VALUES: usize = 8;

/// Parses a load report; `None` if it contains anything but finite numbers, or too many of them.
pub fn report(text: Option<&str>) -> Option<Vec<f64>> {
    let number = |v: &str| v.trim().parse::<f64>().ok().filter(|n| n.is_finite());
    let values: Option<Vec<f64>> = text?.split(',').take(MAX_REPORT_VALUES + 1).map(number).collect();
    values.filter(|v| v.len() <= MAX_REPORT_VALUES)
}

/// The path of a call.
pub fn call_path(function: &str) -> String {
    format!("/calls/{function}")
}
/// The path that cancels an attempt, with `DELETE`.
pub fn attempt_path(request: &str, attempt: u32) -> String {
    format!("/attempts/{request}/{attempt}")
}
/// The path of a load order (Open Inference Protocol, model repository extension, `load`).
pub fn load_path(function: &str) -> String {
    format!("/v2/repository/models/{function}/load")
}
/// The path of an unload order (the same extension, `unload`).
pub fn unload_path(function: &str) -> String {
    format!("/v2/repository/models/{function}/unload")
}
/// The path of a probe (Open Inference Protocol, server ready).
pub const READY_PATH: &str = "/v2/health/ready";

/// The body of a load order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The order's parameters.
    pub parameters: LoadParameters,
}

/// The parameters of a load order. The extension permits implementation-specific parameters; these are this
/// project's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadParameters {
    /// Number of copies that must be loaded, whichever front end ordered them; 0 only queries the number of
    /// loaded copies.
    pub copies: u32,
    /// Memory of one copy, in MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub lanes: u32,
}

/// The answer to a load order, whatever its status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Number of loaded copies.
    pub copies: u32,
    /// A description of the error, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// The header value of an outcome; `None` for outcomes that a runner cannot report.
pub fn outcome_name(outcome: Outcome) -> Option<&'static str> {
    Some(match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::Miss => "miss",
        Outcome::Cancelled => "cancelled",
        _ => return None,
    })
}

/// The HTTP status of an outcome.
pub fn outcome_status(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Ok => 200,
        Outcome::Full => 503,
        Outcome::Miss => 404,
        _ => 500,
    }
}

/// The outcome that an answer's status and outcome header indicate together. Only the runner's own header
/// proves that a call never ran: a 404 or 503 without it may come from an intermediary and proves nothing.
pub fn outcome(status: u16, name: Option<&str>) -> Outcome {
    match (status, name) {
        (200..=299, None | Some("ok")) => Outcome::Ok,
        (503, Some("full")) => Outcome::Full,
        (404, Some("miss")) => Outcome::Miss,
        _ => Outcome::Error,
    }
}

/// The header value of a copy mark.
pub fn mark_name(mark: CopyMark) -> Option<&'static str> {
    match mark {
        CopyMark::Untold => None,
        CopyMark::Warm => Some("warm"),
        CopyMark::BeganLoad => Some("began-load"),
        CopyMark::WaitedForLoad => Some("waited"),
        CopyMark::LoadFailed => Some("load-failed"),
    }
}

/// The copy mark of a header value; unknown values mean `Untold`.
pub fn mark(name: Option<&str>) -> CopyMark {
    match name {
        Some("warm") => CopyMark::Warm,
        Some("began-load") => CopyMark::BeganLoad,
        Some("waited") => CopyMark::WaitedForLoad,
        Some("load-failed") => CopyMark::LoadFailed,
        _ => CopyMark::Untold,
    }
}
