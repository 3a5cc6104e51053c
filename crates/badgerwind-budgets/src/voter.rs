//! A voter: it promises its vote to one incarnation of one candidate at a time, for a limited time. Promises
//! of an earlier incarnation are not stored, so a voter that starts gives no vote until all of them must have
//! expired. After PaxosLease (Trencseni, Gazso and Reinhardt 2012): no disk and no common time, only clocks
//! whose rates differ by a bounded amount.

use crate::settings::{Incarnation, LeaseSettings, Member, Time};

/// A vote that was promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Promise {
    candidate: Member,
    incarnation: Incarnation,
    until: Time,
}

/// A voter's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    promise: Option<Promise>,
    /// No vote is given before this time, as promises of an earlier incarnation may still be valid.
    quiet_until: Time,
}

impl Voter {
    /// A voter of a process that starts now.
    pub fn new(now: Time, settings: &LeaseSettings) -> Voter {
        Voter { promise: None, quiet_until: now + settings.drift_adjusted(settings.vote) }
    }

    /// Returns whether this incarnation of the candidate gets the vote. The promise counts from now, which is
    /// later than the time of the request. A candidate with older settings than this voter gets no vote: it
    /// might grant units that no longer exist.
    pub fn on_vote_request(
        &mut self,
        now: Time,
        (from, incarnation): (Member, Incarnation),
        (candidate_version, own_version): (u32, u32),
        settings: &LeaseSettings,
    ) -> bool {
        let promised_to_other = |promise: Promise| {
            (promise.candidate, promise.incarnation) != (from, incarnation) && now < promise.until
        };
        if candidate_version < own_version
            || now < self.quiet_until
            || self.promise.is_some_and(promised_to_other)
        {
            return false;
        }
        let until = now + settings.drift_adjusted(settings.vote);
        self.promise = Some(Promise { candidate: from, incarnation, until });
        true
    }
}
