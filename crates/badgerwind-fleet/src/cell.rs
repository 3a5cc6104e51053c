//! In which life this process may act: two atomics, written by the register's thread, read by every call.

// The test of all interleavings (tests/interleavings.rs) puts loom's atomics in the place of these.
use crate::atomics::{AtomicU64, Ordering};

/// The life, and until when it counts by this process's own clock.
///
/// A reader takes `until` first and the life after it; the writer ends the old life's time before it names another life, and
/// names it before its time begins. So what a reader has of one life is never the time of another.
#[derive(Debug, Default)]
pub struct LifeCell {
    /// 0: none.
    life: AtomicU64,
    until: AtomicU64,
}

impl LifeCell {
    /// From now on this life counts until then. One writer at a time.
    pub fn set(&self, life: u64, until: u64) {
        // Relaxed: only the writer itself writes it.
        if self.life.load(Ordering::Relaxed) != life {
            // Release, twice: a reader that finds the new life finds the old time gone, and one that finds the new time
            // finds the new life.
            self.until.store(0, Ordering::Release);
            self.life.store(life, Ordering::Release);
        }
        self.until.store(until, Ordering::Release);
    }

    /// Nothing may be done any more.
    pub fn end(&self) {
        self.until.store(0, Ordering::Release);
    }

    /// The life in which an effect may be done at this moment; its number goes with the effect.
    pub fn alive(&self, now: u64) -> Option<u64> {
        // Acquire: the life read after it is no older than the one this time was stored for.
        let until = self.until.load(Ordering::Acquire);
        let life = self.life.load(Ordering::Acquire);
        // Once more: where another time was stored meanwhile, the life may be a newer one than the time's.
        (now < until && life > 0 && self.until.load(Ordering::Acquire) == until).then_some(life)
    }
}
