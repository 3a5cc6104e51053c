//! What is remembered. Nothing is decided here.

/// What is known of the health of a worker, or of a kind of traffic there.
#[derive(Debug, Default)]
pub struct Health {
    /// Running share of failures.
    pub fails: f64,
    /// Taken out; tried again from `retry_at` on.
    pub tripped: bool,
    /// When the next try is due, and the pause before it.
    pub retry_at: u64,
    /// Doubled by each failure, halved by each success.
    pub backoff: u64,
    /// Last sign of life.
    pub heard: u64,
}
