//! A leader's knowledge of who is alive. A member counts as living for a lease from when it ASKED, by its own clock; the leader
//! counts the same lease, longer by the drift, from when it could prove that nobody else led as the ask came. So where it
//! finds the lease over, it is over at the member.

use crate::terms::{Incarnation, Member, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// One ask that waits for the proof that this voter still leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ask {
    pub member: Member,
    pub incarnation: Incarnation,
    /// The member's own time when it asked; it comes back as it is.
    pub stamp: Time,
}

#[derive(Debug)]
pub(crate) struct Leases {
    /// From here on nobody else grants: this leadership's first entry stands.
    since: Time,
    heard: BTreeMap<Member, (Incarnation, Time)>,
    /// Lives whose end was proposed: nothing is granted to them any more.
    ending: BTreeSet<Incarnation>,
}

impl Leases {
    pub(crate) fn new(since: Time) -> Leases {
        Leases { since, heard: BTreeMap::new(), ending: BTreeSet::new() }
    }

    /// An incarnation began under this leadership.
    pub(crate) fn began(&mut self, now: Time, member: Member, incarnation: Incarnation) {
        self.heard.insert(member, (incarnation, now));
    }

    /// An ask is proven to have come while this voter led: whether it is granted.
    pub(crate) fn proven(&mut self, now: Time, ask: &Ask, incarnations: bool, grants_ending: bool) -> bool {
        let grants = incarnations && (grants_ending || !self.ending.contains(&ask.incarnation));
        if grants {
            self.heard.insert(ask.member, (ask.incarnation, now));
        }
        grants
    }

    /// Those of these living whose lease has ended for certain; each is told once.
    pub(crate) fn over(
        &mut self,
        now: Time,
        outlasts: Span,
        living: impl Iterator<Item = (Member, Incarnation)>,
    ) -> Vec<(Member, Incarnation)> {
        let mut over = Vec::new();
        for (member, incarnation) in living {
            let heard = self.heard.get(&member).filter(|h| h.0 == incarnation).map_or(self.since, |h| h.1);
            if now > heard.max(self.since) + outlasts && self.ending.insert(incarnation) {
                over.push((member, incarnation));
            }
        }
        over
    }

    /// An incarnation's end stands in the log.
    pub(crate) fn ended(&mut self, member: Member, incarnation: Incarnation) {
        self.ending.remove(&incarnation);
        if self.heard.get(&member).is_some_and(|h| h.0 == incarnation) {
            self.heard.remove(&member);
        }
    }

    /// What was proposed may have been lost on its way: it is proposed again.
    pub(crate) fn again(&mut self, incarnation: Incarnation) {
        self.ending.remove(&incarnation);
    }
}
