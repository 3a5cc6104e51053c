//! Which requests may be open at the same time. Each connection has a guaranteed part that the others cannot
//! take; the rest is shared by dynamic thresholds (Choudhury and Hahne, "Dynamic queue length thresholds for
//! shared-memory packet switches", 1998): a connection may have as much of it as is still free.

/// Number and size of open requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of requests.
    pub requests: usize,
    /// Bytes held for them.
    pub bytes: usize,
}

impl Usage {
    /// Combines each part with that of another usage.
    fn combine(self, other: Usage, with: impl Fn(usize, usize) -> usize) -> Usage {
        Usage { requests: with(self.requests, other.requests), bytes: with(self.bytes, other.bytes) }
    }

    fn plus(self, other: Usage) -> Usage {
        self.combine(other, usize::saturating_add)
    }

    fn minus(self, other: Usage) -> Usage {
        self.combine(other, usize::saturating_sub)
    }

    fn is_within(self, other: Usage) -> bool {
        self.requests <= other.requests && self.bytes <= other.bytes
    }
}

/// Decides which requests may be opened.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// What all connections may have open in sum.
    limit: Usage,
    /// What each connection may have open in any case.
    guaranteed: Usage,
    /// Number of connections.
    connections: usize,
    /// What connections have open beyond their guaranteed parts.
    excess: Usage,
}

impl Admission {
    /// Starts without any connection. `guaranteed`, for `max_connections` of them, must be within the limit.
    pub fn new(limit: Usage, guaranteed: Usage) -> Admission {
        Admission { limit, guaranteed, connections: 0, excess: Usage::default() }
    }

    /// Records that a connection was opened.
    pub fn on_connected(&mut self) {
        self.connections += 1;
    }

    /// Records that a connection has ended, whose requests were closed before.
    pub fn on_disconnected(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Whether a connection that has `own` open may open `more`, while `total` is held for all requests.
    pub fn may_open(&self, own: Usage, more: Usage, total: Usage) -> bool {
        let own_after = own.plus(more);
        if !total.plus(more).is_within(self.limit) {
            return false;
        }
        let own_excess = own_after.minus(self.guaranteed);
        let added = own_excess.minus(own.minus(self.guaranteed));
        let reserved = Usage {
            requests: self.guaranteed.requests * self.connections,
            bytes: self.guaranteed.bytes * self.connections,
        };
        let free = self.limit.minus(reserved).minus(self.excess.plus(added));
        own_excess == Usage::default() || own_excess.is_within(free)
    }

    /// Records that a connection has opened a request.
    pub fn open(&mut self, own: &mut Usage, more: Usage) {
        let before = own.minus(self.guaranteed);
        *own = own.plus(more);
        self.excess = self.excess.plus(own.minus(self.guaranteed).minus(before));
    }

    /// Records that one of its requests was closed.
    pub fn close(&mut self, own: &mut Usage, less: Usage) {
        let before = own.minus(self.guaranteed);
        *own = own.minus(less);
        self.excess = self.excess.minus(before.minus(own.minus(self.guaranteed)));
    }
}
