//! Rate limits for the warnings of the platform front end that clients, executors or peers can cause.

use crate::log_limit::LogLimit;

/// One limit for each kind of message.
#[derive(Default)]
pub(super) struct LogLimits {
    /// Client connections that could not be accepted.
    pub accept: LogLimit,
    /// Buffers that were given up for want of memory.
    pub memory: LogLimit,
    /// Invalid requests.
    pub request: LogLimit,
    /// Executors' answers that cannot be parsed.
    pub answer: LogLimit,
    /// Invalid frames from service discovery, and its unavailability.
    pub discovery: LogLimit,
    /// Effects of an outage of service discovery.
    pub outage: LogLimit,
    /// Executors that reject work while the list of executors is stale.
    pub rejected_work: LogLimit,
    /// Invalid datagrams.
    pub datagram: LogLimit,
    /// Connections to executors that failed for want of a descriptor.
    pub connect: LogLimit,
}
