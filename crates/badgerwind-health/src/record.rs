//! The state of a health record.

/// The health of a worker, or of a kind of traffic there.
#[derive(Debug, Default)]
pub struct Health {
    /// Running share of failures among the outcomes.
    pub failure_rate: f64,
    /// Out of use because of failures; tried again from `retry_at` on.
    pub tripped: bool,
    /// Time of the next try.
    pub retry_at: u64,
    /// Pause before the next try: doubled by each failure, halved by each success.
    pub backoff: u64,
    /// Time of the last sign of life.
    pub last_seen: u64,
}
