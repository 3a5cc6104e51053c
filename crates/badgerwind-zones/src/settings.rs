//! Settings of the detection of lost zones and of the return to them. None depends on the size of the fleet.

use crate::{Member, Micros};

/// When a zone is left and how it is returned to.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Members that receive reports of evidence.
    pub voters: Vec<Member>,
    /// How often a member reports, in microseconds.
    pub heartbeat_interval: Micros,
    /// Evidence and reports older than this are ignored, in microseconds.
    pub evidence_window: Micros,
    /// Accepted probability, at each decision, of taking a good zone for lost (Wald's alpha).
    pub false_alarm_probability: f64,
    /// A zone that still answers is reduced only if at least this fraction of the total size remains in use.
    pub min_remaining: f64,
    /// The same for leaving a zone that no longer answers. No zone is left if less than this would remain.
    pub min_remaining_on_loss: f64,
    /// How long a zone that was left is not returned to, in microseconds; doubled each time that the return
    /// fails.
    pub retry_delay: Micros,
    /// Upper bound of the doubled `retry_delay`.
    pub max_retry_delay: Micros,
    /// Duration of one step of a return, in microseconds: the time that a cold executor needs to show whether
    /// it sustains its load.
    pub return_step: Micros,
    /// Number of members in the whole fleet that probe a zone that was left.
    pub probers: usize,
    /// Number of executors that each of them probes per heartbeat.
    pub probes_per_heartbeat: usize,
}

impl Settings {
    /// Default settings for a heartbeat interval and the time that a cold executor takes to warm up.
    pub fn for_timing(voters: Vec<Member>, heartbeat_interval: Micros, warm_up: Micros) -> Settings {
        Settings {
            voters,
            heartbeat_interval,
            evidence_window: 20 * heartbeat_interval,
            false_alarm_probability: 1e-3,
            min_remaining: 0.5,
            min_remaining_on_loss: 0.3,
            retry_delay: 20 * heartbeat_interval,
            max_retry_delay: 1_280 * heartbeat_interval,
            return_step: (warm_up / 4).max(5 * heartbeat_interval),
            probers: 3,
            probes_per_heartbeat: 2,
        }
    }
}
