//! A voter: it promises its vote to one candidate's life at a time, for a time. What it promised in an earlier life is
//! forgotten, so a new one keeps quiet until all of that must be over. After PaxosLease (Trencseni, Gazso and Reinhardt
//! 2012): no disk, no common time, only clocks whose rates differ by little.

use crate::terms::{Life, Member, Terms, Time};

/// A voter's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    promised: Option<(Member, Life, Time)>,
    quiet_until: Time,
}

impl Voter {
    /// A voter of a process that starts now.
    pub fn new(now: Time, terms: &Terms) -> Voter {
        Voter { promised: None, quiet_until: now + terms.outlasts(terms.vote) }
    }

    /// Whether this candidate's life gets the vote. It is promised from now, which is later than when it was asked for.
    /// One that goes by older settings than this voter gets none: what it would grant may not be there any more.
    pub fn canvassed(
        &mut self,
        now: Time,
        (from, life): (Member, Life),
        (theirs, own): (u32, u32),
        terms: &Terms,
    ) -> bool {
        let other = |(m, l, until): (Member, Life, Time)| (m, l) != (from, life) && now < until;
        if theirs < own || now < self.quiet_until || self.promised.is_some_and(other) {
            return false;
        }
        self.promised = Some((from, life, now + terms.outlasts(terms.vote)));
        true
    }
}
