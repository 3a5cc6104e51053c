//! What a front end may take, shared out in one place: descriptors between clients, executors and the rest, bytes
//! between what comes in and what goes out.

use crate::config::Limits;

/// Descriptors beside clients' and executors': standard streams, listener, board, peers, signals, the reactor, and
/// a few on their way in or out.
const BESIDE: usize = 28;

/// The shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of clients. They hold a third of all at the most; what is above serves those nobody invited.
    pub clients: usize,
    /// Connections to executors.
    pub executors: usize,
    /// Bytes of requests coming in, of bodies held and of answers not yet taken.
    pub bytes: usize,
    /// Bytes of answers waiting on one client's connection.
    pub answers: usize,
    /// Bytes of lines that executors have begun to send.
    pub lines: usize,
    /// Requests open at once.
    pub open: usize,
}

impl Shares {
    /// Shares the limits out. Requests open are bounded by the module's own figure too.
    pub fn of(limits: &Limits, most_held: usize) -> Shares {
        let rest = limits.sockets.saturating_sub(BESIDE);
        let clients = (limits.sockets * 2 / 5).min(rest / 2);
        let memory = (limits.memory_mb * 1e6) as usize;
        Shares {
            clients,
            executors: rest - clients,
            bytes: memory / 8,
            answers: (memory / 32).clamp(128 * 1024, 1024 * 1024),
            lines: memory / 8,
            // What is kept of an open request beside its body, in driver, module and engine, stays below 4 KiB.
            open: (memory / 8 / 4096).min(most_held),
        }
    }
}
