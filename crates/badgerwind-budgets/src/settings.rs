//! Settings that all members of a fleet share.

use crate::units::{Unit, Units};

/// A point in time on one member's own clock, in microseconds. The clock continues while the process is
/// stopped.
pub type Time = u64;
/// A duration, in microseconds.
pub type Micros = u64;
/// A front end's number in the settings.
pub type Member = u16;
/// One run of a member's process: a later run has a greater incarnation.
pub type Incarnation = u64;

/// Voters, durations and bounds that apply to all budgets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Members whose votes elect the coordinator. More than half of them must agree.
    pub voters: Vec<Member>,
    /// Validity of a vote, in microseconds.
    pub vote: Micros,
    /// Validity of a grant from the time of the request, in microseconds. At least three times `vote`, so
    /// that lessees continue with what they own while another coordinator is elected.
    pub lease: Micros,
    /// Interval between a member's lease requests, in microseconds; a few of them fit into a lease.
    pub request_interval: Micros,
    /// Upper bound of the rate error of every clock, in parts per million. This is the only assumption on
    /// time.
    pub drift_ppm: u32,
    /// Units that may change owner per request interval, in 256ths of the limit; at least one unit.
    pub max_moves: u16,
}

/// The units of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limit {
    /// Total number of units.
    pub units: Unit,
    /// Units that each member owns permanently: the first `floor` units belong to member 0, and so on.
    pub floor: Unit,
    /// Number of members that have a floor.
    pub members: Member,
    /// Time before a unit may change owner, in microseconds: the window of a rate limit, or the longest use
    /// of a unit of a concurrency limit.
    pub cooldown: Micros,
}

/// The limits of all budgets of a fleet in one version of its settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LimitSet {
    /// Version; a later one is greater.
    pub version: u32,
    /// Limits, indexed by the budget's number in messages.
    pub limits: Vec<Limit>,
}

/// Settings that are inconsistent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The floors alone exceed the limit.
    #[error("floors of {members} members at {floor} each exceed the limit of {units} units; use a smaller floor or a larger limit")]
    FloorsExceedLimit {
        /// Total number of units.
        units: Unit,
        /// Floor of each member.
        floor: Unit,
        /// Number of members with a floor.
        members: Member,
    },
    /// Fewer than three requests fit into a lease, so that lost messages would end it.
    #[error("a beat of {request_interval} us leaves no room for three in a lease of {lease} us; use a shorter beat or a longer lease")]
    IntervalTooLong {
        /// Interval between lease requests, in microseconds.
        request_interval: Micros,
        /// Validity of a grant, in microseconds.
        lease: Micros,
    },
    /// The bound on clock drift, in parts per million, is implausibly large.
    #[error("a clock drift of {0} ppm exceeds the maximum of 100000 ppm")]
    DriftTooLarge(u32),
    /// Floors are owned permanently: a front end that does not have the new version yet would go on spending
    /// the floor units of the old one.
    #[error(
        "version {0} changes more than the units of budgets; only the units may change while front ends run"
    )]
    IncompatibleChange(u32),
    /// There is no voter.
    #[error("no voter is named; at least one is needed")]
    NoVoter,
}

impl LeaseSettings {
    /// Checks that the settings are consistent with each other and with the limits.
    pub fn validate(&self, limits: &[Limit]) -> Result<(), SettingsError> {
        for limit in limits {
            if u32::from(limit.floor) * u32::from(limit.members) > u32::from(limit.units) {
                return Err(SettingsError::FloorsExceedLimit {
                    units: limit.units,
                    floor: limit.floor,
                    members: limit.members,
                });
            }
        }
        if self.voters.is_empty() {
            return Err(SettingsError::NoVoter);
        }
        if self.drift_ppm > 100_000 {
            return Err(SettingsError::DriftTooLarge(self.drift_ppm));
        }
        if self.request_interval == 0 || self.request_interval * 3 > self.lease {
            return Err(SettingsError::IntervalTooLong {
                request_interval: self.request_interval,
                lease: self.lease,
            });
        }
        Ok(())
    }

    /// Lengthens `span` so that, measured on any member's clock, it does not end before a `span` that began
    /// no later has ended on another member's clock. With clock rates within `1 - d` to `1 + d` of true time,
    /// `span` takes at most `span / (1 - d)` of true time, and a result of `s` takes at least `s / (1 + d)`.
    pub fn drift_adjusted(&self, span: Micros) -> Micros {
        let (slow, fast) = (1_000_000 - u128::from(self.drift_ppm), 1_000_000 + u128::from(self.drift_ppm));
        (u128::from(span) * fast).div_ceil(slow) as Micros + 1
    }

    /// Whether this number of votes is a majority of the voters.
    pub fn is_majority(&self, votes: usize) -> bool {
        2 * votes > self.voters.len()
    }
}

impl LimitSet {
    /// Checks that another version may replace this one while front ends run.
    pub fn check_successor(&self, next: &LimitSet) -> Result<(), SettingsError> {
        let fixed = |set: &LimitSet| {
            set.limits.iter().map(|limit| (limit.floor, limit.members, limit.cooldown)).collect::<Vec<_>>()
        };
        if fixed(self) == fixed(next) {
            Ok(())
        } else {
            Err(SettingsError::IncompatibleChange(next.version))
        }
    }
}

impl Limit {
    /// The units that a member owns permanently.
    pub fn floor_of(&self, member: Member) -> Units {
        if member >= self.members {
            return Units::new();
        }
        let from = member.saturating_mul(self.floor);
        Units::range(from, from + self.floor)
    }

    /// The units that are leased out by the coordinator.
    pub fn grantable(&self) -> Units {
        Units::range(self.floor.saturating_mul(self.members), self.units)
    }
}
