//! The limit on load orders (rule 5) across a change of settings. The decision module enforces the limit from
//! its own history. After a change, a new module starts without history while the old one runs until its
//! calls are answered. This limit counts the orders and calls of both together and holds back orders beyond
//! it.

use badgerwind::interface::{Micros, Time};
use badgerwind_window::SlidingWindow;

/// The limit on load orders of one front end, across all of its decision modules. Within a sliding window it
/// allows `free` orders plus `share` orders per accepted call.
#[derive(Debug)]
pub struct OrderLimit {
    window: Micros,
    free: f64,
    share: f64,
    orders: SlidingWindow,
    calls: SlidingWindow,
}

impl OrderLimit {
    /// Creates a limit with nothing counted. A window of 0 disables the limit.
    pub fn new(window: Micros, free: f64, share: f64) -> Self {
        OrderLimit { window, free, share, orders: SlidingWindow::default(), calls: SlidingWindow::default() }
    }

    /// Replaces the figures of the limit. Orders and calls counted so far still count: orders given under the
    /// old figures use up the new limit.
    pub fn set_limit(&mut self, window: Micros, free: f64, share: f64) {
        (self.window, self.free, self.share) = (window, free, share);
    }

    /// Forgets what is outside the window. An order at its beginning still counts, a call does not.
    fn expire(&mut self, now: Time) {
        let from = now.saturating_sub(self.window);
        self.orders.forget_before(from);
        self.calls.forget_before(from + 1);
    }

    /// Counts an accepted call.
    pub fn record_call(&mut self, now: Time) {
        if self.window > 0 {
            self.calls.push(now);
            self.expire(now);
        }
    }

    /// Counts one more order and returns true, or returns false if the limit is reached.
    pub fn try_order(&mut self, now: Time) -> bool {
        if self.window == 0 {
            return true;
        }
        self.expire(now);
        let limit = self.free + self.share * self.calls.count_since(0) as f64;
        let allowed = self.orders.count_since(0) as f64 + 1.0 <= limit;
        if allowed {
            self.orders.push(now);
        }
        allowed
    }
}

#[cfg(test)]
#[path = "../tests/unit/order_limit.rs"]
mod tests;
