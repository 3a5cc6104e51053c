//! A token bucket in whole micro-tokens: no rounding that depends on how often it is looked at.

use crate::Time;

/// What a bucket holds and how fast it fills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Checks at once.
    pub burst: u32,
    /// Further checks a second.
    pub rate: u32,
}

/// One check, in the bucket's unit; a rate of one a second fills one unit each microsecond.
pub(crate) const TOKEN: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    left: u64,
    at: Time,
}

impl Budget {
    pub(crate) fn top(&self) -> u64 {
        u64::from(self.burst) * TOKEN
    }
}

impl Bucket {
    pub(crate) fn full(budget: &Budget, now: Time) -> Self {
        Bucket { left: budget.top(), at: now }
    }

    /// Fills up to now. A clock that stands still or goes back fills nothing.
    pub(crate) fn fill(&mut self, budget: &Budget, now: Time) {
        let gained = now.saturating_sub(self.at).saturating_mul(u64::from(budget.rate));
        self.left = self.left.saturating_add(gained).min(budget.top());
        self.at = self.at.max(now);
    }

    /// True where a cost can be paid. One above the whole budget is payable by a full bucket, or it never would be.
    pub(crate) fn holds(&self, budget: &Budget, cost: u64) -> bool {
        self.left >= cost.min(budget.top())
    }

    pub(crate) fn pay(&mut self, cost: u64) {
        self.left = self.left.saturating_sub(cost);
    }

    pub(crate) fn give_back(&mut self, budget: &Budget, cost: u64) {
        self.left = self.left.saturating_add(cost).min(budget.top());
    }

    /// Microseconds until a cost can be paid, for what is not filled otherwise; `None`: never.
    pub(crate) fn wait(&self, budget: &Budget, cost: u64) -> Option<Time> {
        let short = cost.min(budget.top()).saturating_sub(self.left);
        if short == 0 {
            return Some(0);
        }
        (budget.rate > 0).then(|| short.div_ceil(u64::from(budget.rate)))
    }

    /// When it is full again, and no longer worth a place.
    pub(crate) fn full_at(&self, budget: &Budget) -> Time {
        match self.wait(budget, budget.top()) {
            Some(span) => self.at.saturating_add(span),
            None => Time::MAX,
        }
    }
}
