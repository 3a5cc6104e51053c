//! Settings of failure detection, derived from one period.

use crate::Micros;

/// Timing and limits of failure detection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DetectionSettings {
    /// Probe interval: one other member is probed in each period, in microseconds.
    pub period: Micros,
    /// After this long without an ack, in microseconds, other members are asked to probe.
    pub ack_timeout: Micros,
    /// Number of members that are asked to probe.
    pub indirect_probers: usize,
    /// Minimum time for a suspect to refute, in periods: applies if enough other members suspect it as well.
    pub min_suspicion: u64,
    /// Maximum time for a suspect to refute, in periods: applies if no other member suspects it.
    pub max_suspicion: u64,
    /// Number of independent suspicions that shorten the time to the minimum.
    pub confirmations: u32,
    /// Upper limit of the local health counter; a member's timeouts are multiplied by one more than the
    /// counter.
    pub max_local_health: u32,
}

impl DetectionSettings {
    /// Derives all times from the period. The values are those of Lifeguard, except that the time of a
    /// suspect grows with the fleet.
    pub fn for_period(period: Micros) -> DetectionSettings {
        DetectionSettings {
            period: period.max(4),
            ack_timeout: period.max(4) / 4,
            indirect_probers: 3,
            min_suspicion: 3,
            max_suspicion: 6,
            confirmations: 3,
            max_local_health: 8,
        }
    }
}
