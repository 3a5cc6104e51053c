//! Divides the limits of a front end: file descriptors between clients, executors and everything else, and
//! bytes between requests, answers and lines.

use crate::admission::Usage;
use crate::config::Limits;
use crate::recent_ids::BYTES_PER_ID;

/// Descriptors reserved for everything except clients and executors: standard streams, listener, service
/// discovery, peers, signals, the reactor, and a few that are being opened or closed.
const RESERVED_DESCRIPTORS: usize = 28;
/// Most bytes of an open request in driver, module and engine, besides its body and its line.
const RECORD_BYTES: usize = 4096;
/// Most bytes of executors' answers that may wait for the engine, since it takes them all at once.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// How the limits of a front end are divided among its uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShares {
    /// Maximum number of client connections. The platform's own clients hold at most a third of all
    /// descriptors; the excess serves connections of anyone else.
    pub client_connections: usize,
    /// Maximum number of connections to executors.
    pub executor_connections: usize,
    /// Maximum bytes of requests being received, of open requests and of answers not yet written.
    pub request_bytes: usize,
    /// The part of `request_bytes` that open requests may have: bodies, and their lines to executors.
    pub open_request_bytes: usize,
    /// Maximum bytes of answers that wait on one client's connection.
    pub answer_bytes: usize,
    /// Maximum bytes of incomplete lines from executors.
    pub line_bytes: usize,
    /// While executors' answers of this many bytes wait for the engine, nothing more is read from executors.
    pub reply_bytes: usize,
    /// Maximum number of open requests.
    pub open_requests: usize,
    /// Maximum number of ids remembered of calls that must not run twice.
    pub remembered_ids: usize,
}

impl ResourceShares {
    /// Divides the limits. The number of open requests is bounded by the settings' own limit `max_calls` as
    /// well.
    pub fn new(limits: &Limits, max_calls: usize) -> ResourceShares {
        let available = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let client_connections = (limits.sockets * 2 / 5).min(available / 2);
        let memory = (limits.memory_mb * 1e6) as usize;
        let request_bytes = memory / 4;
        ResourceShares {
            client_connections,
            executor_connections: available - client_connections,
            request_bytes,
            open_request_bytes: request_bytes / 4 * 3,
            answer_bytes: (memory / 32).clamp(128 * 1024, 1024 * 1024),
            line_bytes: memory / 64 * 5,
            reply_bytes: (memory / 32).min(MAX_REPLY_BYTES),
            open_requests: (memory / 8 / RECORD_BYTES).min(max_calls),
            remembered_ids: memory / 64 / BYTES_PER_ID,
        }
    }

    /// What all client connections may have open in sum.
    pub fn open_limit(&self) -> Usage {
        Usage { requests: self.open_requests, bytes: self.open_request_bytes }
    }

    /// What each client connection may have open in any case: half of the limit, divided evenly.
    pub fn guaranteed_to_connection(&self) -> Usage {
        let connections = 2 * self.client_connections.max(1);
        Usage { requests: self.open_requests / connections, bytes: self.open_request_bytes / connections }
    }
}
