//! The leader's view of which members are live. A member counts itself as live for one lease from when it
//! SENT its renewal request, by its own clock. The leader counts the same lease, extended by the clock drift,
//! from when it grants the request, which is later: it first needs a proof that it was still the leader after
//! the request had arrived. So once the lease has expired at the leader, it has expired at the member.

use crate::settings::{Incarnation, Member, Micros, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A renewal request that waits for the proof that this voter is still the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Renewal {
    pub member: Member,
    pub incarnation: Incarnation,
    /// When the request was sent, by the member's own clock; the answer returns it unchanged.
    pub stamp: Time,
}

/// The last renewal of a member's lease.
#[derive(Clone, Copy, Debug)]
struct LastRenewal {
    incarnation: Incarnation,
    /// When it was granted, by the leader's clock.
    at: Time,
}

/// The leases that this leader has granted.
#[derive(Debug)]
pub(crate) struct Leases {
    /// When the first entry of this leadership was committed. From then on no other voter grants renewals.
    since: Time,
    renewed: BTreeMap<Member, LastRenewal>,
    /// Incarnations whose end was proposed; they are not renewed any more.
    ending: BTreeSet<Incarnation>,
}

impl Leases {
    pub(crate) fn new(since: Time) -> Leases {
        Leases { since, renewed: BTreeMap::new(), ending: BTreeSet::new() }
    }

    /// An incarnation began under this leadership.
    pub(crate) fn began(&mut self, now: Time, member: Member, incarnation: Incarnation) {
        self.renewed.insert(member, LastRenewal { incarnation, at: now });
    }

    /// Handles a renewal request that provably arrived while this voter was the leader; returns whether it is
    /// granted. `grants_ending`, a defect for tests, also renews incarnations whose end was proposed.
    pub(crate) fn grant(
        &mut self,
        now: Time,
        renewal: &Renewal,
        is_alive: bool,
        grants_ending: bool,
    ) -> bool {
        let granted = is_alive && (grants_ending || !self.ending.contains(&renewal.incarnation));
        if granted {
            let last = LastRenewal { incarnation: renewal.incarnation, at: now };
            self.renewed.insert(renewal.member, last);
        }
        granted
    }

    /// Those of the live incarnations whose lease has certainly expired; each is returned once.
    pub(crate) fn expired(
        &mut self,
        now: Time,
        adjusted_lease: Micros,
        live: impl Iterator<Item = (Member, Incarnation)>,
    ) -> Vec<(Member, Incarnation)> {
        let mut expired = Vec::new();
        for (member, incarnation) in live {
            let last = self.renewed.get(&member).filter(|last| last.incarnation == incarnation);
            let renewed_at = last.map_or(self.since, |last| last.at);
            if now > renewed_at.max(self.since) + adjusted_lease && self.ending.insert(incarnation) {
                expired.push((member, incarnation));
            }
        }
        expired
    }

    /// The end of an incarnation was committed.
    pub(crate) fn ended(&mut self, member: Member, incarnation: Incarnation) {
        self.ending.remove(&incarnation);
        if self.renewed.get(&member).is_some_and(|last| last.incarnation == incarnation) {
            self.renewed.remove(&member);
        }
    }

    /// The proposal of an incarnation's end was rejected; [`Leases::expired`] returns the incarnation again.
    pub(crate) fn retry(&mut self, incarnation: Incarnation) {
        self.ending.remove(&incarnation);
    }
}
