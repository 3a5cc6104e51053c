//! A voter: it promises its vote to one candidate's incarnation at a time, for a time. What it promised in an earlier incarnation is
//! forgotten, so a new one keeps quiet until all of that must have ended. After PaxosLease (Trencseni, Gazso and Reinhardt
//! 2012): no disk, no common time, only clocks whose rates differ by little.

use crate::terms::{Incarnation, Member, Terms, Time};

/// A voter's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    promised: Option<(Member, Incarnation, Time)>,
    quiet_until: Time,
}

impl Voter {
    /// A voter of a process that starts now.
    pub fn new(now: Time, terms: &Terms) -> Voter {
        Voter { promised: None, quiet_until: now + terms.outlasts(terms.vote) }
    }

    /// Whether this candidate's incarnation gets the vote. It is promised from now, which is later than when it was asked for.
    /// One that goes by older settings than this voter gets none: what it would grant may not be there any more.
    pub fn vote_requested(
        &mut self,
        now: Time,
        (from, incarnation): (Member, Incarnation),
        (theirs, own): (u32, u32),
        terms: &Terms,
    ) -> bool {
        let other = |(m, l, until): (Member, Incarnation, Time)| (m, l) != (from, incarnation) && now < until;
        if theirs < own || now < self.quiet_until || self.promised.is_some_and(other) {
            return false;
        }
        self.promised = Some((from, incarnation, now + terms.outlasts(terms.vote)));
        true
    }
}
