//! What the platform front end complains of in its log.

use crate::log_limit::LogLimit;

/// What may be complained of.
#[derive(Default)]
pub(super) struct Complaints {
    /// Connections that cannot be accepted.
    pub accept: LogLimit,
    /// Requests that cannot be used.
    pub request: LogLimit,
    /// Answers that cannot be read.
    pub answer: LogLimit,
    /// Service discovery: what it sent, and that it cannot be had.
    pub discovery: LogLimit,
    /// What an outage of service discovery costs.
    pub outage: LogLimit,
    /// Executors that turn work away while the list of them is stale.
    pub turned_away: LogLimit,
    /// Datagrams that cannot be used.
    pub datagram: LogLimit,
    /// Descriptors that are short for connections to executors.
    pub dial: LogLimit,
}
