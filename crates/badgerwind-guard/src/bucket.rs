//! A token bucket. It counts whole micro-tokens, so that rounding does not depend on how often it is
//! refilled.

use crate::Time;

/// The capacity and the refill rate of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Checks that can be made at once.
    pub burst: u32,
    /// Further checks per second.
    pub rate: u32,
}

/// One check, in the bucket's unit: at a rate of one check per second, one unit is refilled per microsecond.
pub(crate) const TOKEN: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: u64,
    refilled_at: Time,
}

impl Budget {
    pub(crate) fn capacity(&self) -> u64 {
        u64::from(self.burst) * TOKEN
    }
}

impl Bucket {
    pub(crate) fn full(budget: &Budget, now: Time) -> Self {
        Bucket { tokens: budget.capacity(), refilled_at: now }
    }

    /// Refills the bucket up to now. A clock that stops or goes back refills nothing.
    pub(crate) fn refill(&mut self, budget: &Budget, now: Time) {
        let gained = now.saturating_sub(self.refilled_at).saturating_mul(u64::from(budget.rate));
        self.tokens = self.tokens.saturating_add(gained).min(budget.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether a cost can be paid. A full bucket can pay any cost, since one above the capacity could never
    /// be paid otherwise.
    pub(crate) fn can_pay(&self, budget: &Budget, cost: u64) -> bool {
        self.tokens >= cost.min(budget.capacity())
    }

    pub(crate) fn pay(&mut self, cost: u64) {
        self.tokens = self.tokens.saturating_sub(cost);
    }

    pub(crate) fn refund(&mut self, budget: &Budget, cost: u64) {
        self.tokens = self.tokens.saturating_add(cost).min(budget.capacity());
    }

    /// Microseconds of refilling until a cost can be paid; `None`: never.
    pub(crate) fn wait(&self, budget: &Budget, cost: u64) -> Option<Time> {
        let missing = cost.min(budget.capacity()).saturating_sub(self.tokens);
        if missing == 0 {
            return Some(0);
        }
        (budget.rate > 0).then(|| missing.div_ceil(u64::from(budget.rate)))
    }

    /// When the bucket is full again, so that it need not be stored any longer.
    pub(crate) fn full_at(&self, budget: &Budget) -> Time {
        match self.wait(budget, budget.capacity()) {
            Some(wait) => self.refilled_at.saturating_add(wait),
            None => Time::MAX,
        }
    }
}
