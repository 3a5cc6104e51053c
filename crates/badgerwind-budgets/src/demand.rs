//! Estimate of the units of a budget that a member could use, from recent demand plus some headroom.

use crate::settings::{Micros, Time};
use crate::units::Unit;

/// Slots into which the window is divided: demand that has left the window is forgotten within one slot.
const SLOTS: usize = 8;
/// The peak demand decays by one part in this many at each estimate.
const PEAK_DECAY: f64 = 16.0;
/// Factor of headroom above recent demand: demand fluctuates, and additional units arrive only after their
/// cooldown.
const HEADROOM: f64 = 1.25;
/// Fraction of the owned units from which on demand counts as saturated: it may be limited by what is owned.
const SATURATION: f64 = 0.75;

/// Demand for one budget at one member.
#[derive(Clone, Debug)]
pub struct Demand {
    window: Micros,
    /// The caller knows what is owned and never requests more, so recorded demand may be below what could be
    /// used.
    bounded: bool,
    slots: [f64; SLOTS],
    /// Number of the current slot, counted from time 0.
    current_slot: u64,
    peak: f64,
}

impl Demand {
    /// No demand yet. `bounded`: the demand recorded never exceeds what is owned.
    pub fn new(window: Micros, bounded: bool) -> Demand {
        Demand {
            window: window.max(SLOTS as Micros),
            bounded,
            slots: [0.0; SLOTS],
            current_slot: 0,
            peak: 0.0,
        }
    }

    /// Makes the slot of this time the current one, and clears the slots that have left the window.
    fn advance(&mut self, now: Time) {
        let slot = now / (self.window / SLOTS as Micros);
        let passed = slot.saturating_sub(self.current_slot).min(SLOTS as u64);
        for n in 0..passed {
            self.slots[((slot - n) % SLOTS as u64) as usize] = 0.0;
        }
        self.current_slot = self.current_slot.max(slot);
    }

    /// Records demand for this many units, whether or not they were available.
    pub fn record(&mut self, now: Time, units: f64) {
        self.advance(now);
        self.slots[(self.current_slot % SLOTS as u64) as usize] += units;
    }

    /// Units demanded in the window that ends now.
    pub fn in_window(&mut self, now: Time) -> f64 {
        self.advance(now);
        self.slots.iter().sum()
    }

    /// Number of units that the member could use: the peak of recent demand, with headroom. At least
    /// `reserve`, even without demand, so that the first calls find some units.
    pub fn estimate(&mut self, now: Time, owned: usize, reserve: Unit) -> Unit {
        let recent = self.in_window(now);
        let owned = owned as f64;
        let demand = match self.bounded && recent >= SATURATION * owned {
            // Recorded demand may be limited by what is owned, so the estimate grows until the member owns
            // enough.
            true => recent.max(owned) * 1.5 + 1.0,
            false => recent,
        };
        self.peak = demand.max(self.peak - self.peak / PEAK_DECAY);
        // The cast from float to integer saturates.
        ((self.peak * HEADROOM).ceil() as Unit).max(reserve)
    }
}

/// The reserve of each member: half of its even share among the running members. The other half goes where
/// the demand is.
pub fn reserve(grantable: usize, running: usize) -> Unit {
    (grantable / (2 * running.max(1))).min(usize::from(Unit::MAX)) as Unit
}

#[cfg(test)]
#[path = "../tests/unit/demand.rs"]
mod tests;
