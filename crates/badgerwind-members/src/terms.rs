//! Timing of failure detection, all derived from one period.

use crate::Span;

/// Timing and limits of failure detection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// One other member is probed in each period, in microseconds.
    pub period: Span,
    /// After this long without an ack, in microseconds, other members are asked to probe.
    pub ack_timeout: Span,
    /// Members that are asked to probe.
    pub indirect_probers: usize,
    /// Least time for a suspect to refute, in periods: where enough others suspect it as well.
    pub min_suspicion: u64,
    /// Most time for a suspect to refute, in periods: where nobody else suspects it.
    pub max_suspicion: u64,
    /// Independent suspicions that shorten the time to the least.
    pub confirmations: u32,
    /// Upper limit of the local health counter; a member's timeouts are longer by that many times.
    pub max_local_health: u32,
}

impl Terms {
    /// Derives all times from the period. The figures are Lifeguard's, except that a suspect's time grows with the fleet.
    pub fn paced(period: Span) -> Terms {
        Terms {
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
