//! What a member says it could use of a budget: by what it was asked for of late, and a little before it is asked.

use crate::terms::{Span, Time};
use crate::units::Unit;

/// Parts into which the window is cut: what left it is forgotten no later than one of them after.
const SLOTS: usize = 8;
/// What was asked for in the busiest window of late counts less by one in so many at each look.
const FORGET: f64 = 16.0;
/// Above what was asked for, a quarter more is wanted: demand trembles, and what comes later rests on its way.
const SPARE: f64 = 1.25;
/// From this part of what is owned on, what was asked for may have been all that could be.
const NEAR: f64 = 0.75;

/// Demand for one budget at one member.
#[derive(Clone, Debug)]
pub struct Demand {
    window: Span,
    /// Whoever asks knows what is owned and asks for no more: then what is asked for says little of what could be used.
    bounded: bool,
    slots: [f64; SLOTS],
    /// The slot that counts now, by its number since time began.
    at: u64,
    peak: f64,
}

impl Demand {
    /// Nothing asked for yet. `bounded`: it is never asked for more than is owned.
    pub fn new(window: Span, bounded: bool) -> Demand {
        Demand { window: window.max(SLOTS as Span), bounded, slots: [0.0; SLOTS], at: 0, peak: 0.0 }
    }

    fn turn(&mut self, now: Time) {
        let slot = now / (self.window / SLOTS as Span);
        let passed = slot.saturating_sub(self.at).min(SLOTS as u64);
        for n in 0..passed {
            self.slots[((slot - n) % SLOTS as u64) as usize] = 0.0;
        }
        self.at = self.at.max(slot);
    }

    /// So many units were asked for, whether they were there or not.
    pub fn asked(&mut self, now: Time, units: f64) {
        self.turn(now);
        self.slots[(self.at % SLOTS as u64) as usize] += units;
    }

    /// Units asked for in the window that ends now.
    pub fn lately(&mut self, now: Time) -> f64 {
        self.turn(now);
        self.slots.iter().sum()
    }

    /// What it could use. `reserve` is wanted even where nothing was asked for, so that the first calls find something.
    pub fn wants(&mut self, now: Time, owned: usize, reserve: Unit) -> Unit {
        let lately = self.lately(now);
        let owned = owned as f64;
        let could = match self.bounded && lately >= NEAR * owned {
            true => lately.max(owned) * 1.5 + 1.0,
            false => lately,
        };
        self.peak = could.max(self.peak - self.peak / FORGET);
        // From float to whole numbers this keeps within the bounds of the latter.
        ((self.peak * SPARE).ceil() as Unit).max(reserve)
    }
}

/// The reserve of each member: half of its even part among those that are there. The other half goes where the work is.
pub fn reserve(granted: usize, there: usize) -> Unit {
    (granted / (2 * there.max(1))).min(usize::from(Unit::MAX)) as Unit
}

#[cfg(test)]
#[path = "../tests/unit/demand.rs"]
mod tests;
