//! What a fleet has agreed on beforehand, by its settings.

use crate::units::{Unit, Units};

/// A point in time on one member's own clock, in microseconds; it goes on while the process is stopped.
pub type Time = u64;
/// A length of time, in microseconds.
pub type Span = u64;
/// A front end's number, as the settings have it.
pub type Member = u16;
/// A member's incarnation, distinct from its earlier ones: a later one is greater.
pub type Incarnation = u64;

/// Terms of all budgets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Members whose votes make a coordinator. More than half of them must agree.
    pub voters: Vec<Member>,
    /// How long a vote counts, in microseconds.
    pub vote: Span,
    /// How long a grant counts from when it was asked for, in microseconds. Three votes or more, so that lessees go on
    /// with what they have while another coordinator is elected.
    pub lease: Span,
    /// How often a member asks, in microseconds; a few times in a lease.
    pub beat: Span,
    /// No two clocks differ in rate by more than each being off by so many millionths. The one assumption on time.
    pub drift: u32,
    /// Units that may change hands in a beat, as a part in 256 of the limit; one at the least.
    pub moves: u16,
}

/// What of a budget is shared out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limit {
    /// Units in all.
    pub units: Unit,
    /// Of these, units that are each member's for good: the first for member 0, and so on.
    pub floor: Unit,
    /// Members that have a floor.
    pub members: Member,
    /// How long a unit rests before it changes hands, in microseconds: the window of a rate; the longest use of a level.
    pub rest: Span,
}

/// The budgets of a fleet, under one version of its settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Book {
    /// A later one is greater.
    pub version: u32,
    /// Budgets by their numbers in messages.
    pub limits: Vec<Limit>,
}

/// Terms that do not hold together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadTerms {
    /// The floors alone are more than the limit.
    #[error("floors of {members} members at {floor} each exceed the limit of {units} units; a smaller floor or a larger limit")]
    Floors {
        /// Units in all.
        units: Unit,
        /// A member's.
        floor: Unit,
        /// Members.
        members: Member,
    },
    /// Times that leave no room for a lost message.
    #[error("a beat of {beat} us leaves no room for three in a lease of {lease} us; a shorter beat or a longer lease")]
    Beat {
        /// A beat.
        beat: Span,
        /// A lease.
        lease: Span,
    },
    /// A clock cannot be off by so much.
    #[error("a drift of {0} millionths is more than a clock's tenth")]
    Drift(u32),
    /// Floors are each member's for good: a front end that has not heard yet would go on spending those of the old cut.
    #[error(
        "floors or budgets were cut anew in version {0}; only the limits may change while front ends run"
    )]
    Recut(u32),
    /// Nobody votes.
    #[error("no voter is named; at least one is needed")]
    NoVoter,
}

impl Terms {
    /// Checks them.
    pub fn check(&self, limits: &[Limit]) -> Result<(), BadTerms> {
        for w in limits {
            if u32::from(w.floor) * u32::from(w.members) > u32::from(w.units) {
                return Err(BadTerms::Floors { units: w.units, floor: w.floor, members: w.members });
            }
        }
        if self.voters.is_empty() {
            return Err(BadTerms::NoVoter);
        }
        if self.drift > 100_000 {
            return Err(BadTerms::Drift(self.drift));
        }
        if self.beat == 0 || self.beat * 3 > self.lease {
            return Err(BadTerms::Beat { beat: self.beat, lease: self.lease });
        }
        Ok(())
    }

    /// So long on any clock is not over before `span` is on another that began no later. With rates within
    /// `1 - d` to `1 + d` of true time, `span` lasts at most `span / (1 - d)`, and `s` here at least `s / (1 + d)`.
    pub fn outlasts(&self, span: Span) -> Span {
        let (slow, fast) = (1_000_000 - u128::from(self.drift), 1_000_000 + u128::from(self.drift));
        (u128::from(span) * fast).div_ceil(slow) as Span + 1
    }

    /// Whether so many votes make a coordinator.
    pub fn most(&self, votes: usize) -> bool {
        2 * votes > self.voters.len()
    }
}

impl Book {
    /// Whether another version may follow while front ends run.
    pub fn follows(&self, next: &Book) -> Result<(), BadTerms> {
        let cut = |b: &Book| b.limits.iter().map(|w| (w.floor, w.members, w.rest)).collect::<Vec<_>>();
        if cut(self) == cut(next) {
            Ok(())
        } else {
            Err(BadTerms::Recut(next.version))
        }
    }
}

impl Limit {
    /// A member's for good.
    pub fn floor_of(&self, member: Member) -> Units {
        if member >= self.members {
            return Units::new();
        }
        let from = member.saturating_mul(self.floor);
        Units::range(from, from + self.floor)
    }

    /// Those that are granted.
    pub fn granted(&self) -> Units {
        Units::range(self.floor.saturating_mul(self.members), self.units)
    }
}
