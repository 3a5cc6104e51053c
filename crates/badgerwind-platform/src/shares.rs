//! Divides the limits of a front end: file descriptors between clients, executors and everything else, and
//! bytes between requests, answers and lines.

use crate::config::Limits;

/// Descriptors reserved for everything except clients and executors: standard streams, listener, service
/// discovery, peers, signals, the reactor, and a few that are being opened or closed.
const RESERVED_DESCRIPTORS: usize = 28;

/// How the limits of a front end are divided among its uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShares {
    /// Maximum number of client connections. The platform's own clients hold at most a third of all
    /// descriptors; the excess serves connections of anyone else.
    pub client_connections: usize,
    /// Maximum number of connections to executors.
    pub executor_connections: usize,
    /// Maximum bytes of requests being received, of bodies of open requests and of answers not yet written.
    pub request_bytes: usize,
    /// Maximum bytes of answers that wait on one client's connection.
    pub answer_bytes: usize,
    /// Maximum bytes of incomplete lines from executors.
    pub line_bytes: usize,
    /// Maximum number of open requests.
    pub open_requests: usize,
}

impl ResourceShares {
    /// Divides the limits. The number of open requests is bounded by the settings' own limit `max_calls` as
    /// well.
    pub fn new(limits: &Limits, max_calls: usize) -> ResourceShares {
        let available = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let client_connections = (limits.sockets * 2 / 5).min(available / 2);
        let memory = (limits.memory_mb * 1e6) as usize;
        ResourceShares {
            client_connections,
            executor_connections: available - client_connections,
            request_bytes: memory / 8,
            answer_bytes: (memory / 32).clamp(128 * 1024, 1024 * 1024),
            line_bytes: memory / 8,
            // An open request takes less than 4 KiB in driver, module and engine, besides its body.
            open_requests: (memory / 8 / 4096).min(max_calls),
        }
    }
}
