//! Rule 5 over a change of settings. The module keeps the limit on load orders by what it remembers; a new one
//! remembers nothing, and the old one goes on beside it until its calls are answered. Here the orders and calls of
//! both are counted together, and an order beyond the limit is not let out.

use badgerwind::interface::{Span, Time};
use std::collections::VecDeque;

/// The limit on load orders of one front end, whichever module gives them.
#[derive(Debug)]
pub struct OrderLimit {
    window: Span,
    free: f64,
    share: f64,
    orders: VecDeque<Time>,
    taken: VecDeque<Time>,
}

impl OrderLimit {
    /// A limit with nothing counted yet. A window of 0 is no limit.
    pub fn new(window: Span, free: f64, share: f64) -> Self {
        OrderLimit { window, free, share, orders: VecDeque::new(), taken: VecDeque::new() }
    }

    /// Another limit from now on. What was counted stays, and for one window of either the stricter figures hold:
    /// what was ordered under the old ones still counts under the new.
    pub fn change(&mut self, window: Span, free: f64, share: f64) {
        (self.window, self.free, self.share) = (window, free, share);
    }

    fn forget(&mut self, now: Time) {
        let from = now.saturating_sub(self.window);
        while self.orders.front().is_some_and(|&t| t < from) {
            self.orders.pop_front();
        }
        while self.taken.front().is_some_and(|&t| t <= from) {
            self.taken.pop_front();
        }
    }

    /// A call was taken.
    pub fn record_call(&mut self, now: Time) {
        if self.window > 0 {
            self.taken.push_back(now);
            self.forget(now);
        }
    }

    /// Whether one more order may go out now; it is counted if so.
    pub fn try_order(&mut self, now: Time) -> bool {
        if self.window == 0 {
            return true;
        }
        self.forget(now);
        let most = self.free + self.share * self.taken.len() as f64;
        let fits = self.orders.len() as f64 + 1.0 <= most;
        if fits {
            self.orders.push_back(now);
        }
        fits
    }
}

#[cfg(test)]
#[path = "../tests/unit/order_limit.rs"]
mod tests;
