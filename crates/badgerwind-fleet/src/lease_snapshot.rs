//! The incarnation in which this process may act: two atomics, written by the register's thread and read by
//! every call.

// tests/interleavings.rs compiles this file with loom's atomics instead, to test all interleavings.
use crate::atomics::{AtomicU64, Ordering};

/// The incarnation and the end of its lease on this process's own clock.
///
/// A reader loads `lease_end` before `incarnation`. The writer clears the old lease end before it stores
/// another incarnation, and stores the incarnation before its lease end. A reader therefore never combines an
/// incarnation with the lease end of another.
#[derive(Debug, Default)]
pub struct LeaseSnapshot {
    /// 0: none.
    incarnation: AtomicU64,
    lease_end: AtomicU64,
}

impl LeaseSnapshot {
    /// Makes this incarnation valid until `lease_end`. One writer at a time.
    pub fn set(&self, incarnation: u64, lease_end: u64) {
        // Relaxed: only the writer itself stores it.
        if self.incarnation.load(Ordering::Relaxed) != incarnation {
            // Release, twice: a reader that sees the new incarnation also sees the old lease end cleared, and
            // one that sees the new lease end also sees the new incarnation.
            self.lease_end.store(0, Ordering::Release);
            self.incarnation.store(incarnation, Ordering::Release);
        }
        self.lease_end.store(lease_end, Ordering::Release);
    }

    /// Ends the lease: no call may act any more.
    pub fn end(&self) {
        self.lease_end.store(0, Ordering::Release);
    }

    /// The incarnation in which an effect may be performed now; the effect carries its number.
    pub fn live_incarnation(&self, now: u64) -> Option<u64> {
        // Acquire: the incarnation loaded below is no older than the one for which this lease end was stored.
        let lease_end = self.lease_end.load(Ordering::Acquire);
        let incarnation = self.incarnation.load(Ordering::Acquire);
        // Loaded again: if the lease end has changed meanwhile, the incarnation may be newer than the lease
        // end read first.
        (now < lease_end && incarnation > 0 && self.lease_end.load(Ordering::Acquire) == lease_end)
            .then_some(incarnation)
    }
}
