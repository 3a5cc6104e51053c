//! Sets of units, as ranges.

/// A unit of a budget, by its number.
pub type Unit = u16;

/// A set of units: ranges in order that neither touch nor overlap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Units(Vec<(Unit, Unit)>);

impl Units {
    /// None.
    pub fn new() -> Units {
        Units::default()
    }

    /// Those from the first up to and without the second.
    pub fn range(from: Unit, to: Unit) -> Units {
        if from < to {
            Units(vec![(from, to)])
        } else {
            Units::new()
        }
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.0.iter().map(|(a, b)| usize::from(b - a)).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether this one is among them.
    pub fn has(&self, unit: Unit) -> bool {
        self.0.iter().any(|(a, b)| (*a..*b).contains(&unit))
    }

    /// Each of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = Unit> + '_ {
        self.0.iter().flat_map(|(a, b)| *a..*b)
    }

    /// Its ranges, each from the first up to and without the second.
    pub fn ranges(&self) -> &[(Unit, Unit)] {
        &self.0
    }

    /// Adds one.
    pub fn add(&mut self, unit: Unit) {
        if self.has(unit) || unit == Unit::MAX {
            return;
        }
        let at = self.0.partition_point(|(a, _)| *a < unit);
        self.0.insert(at, (unit, unit + 1));
        if at + 1 < self.0.len() && self.0[at].1 == self.0[at + 1].0 {
            self.0[at].1 = self.0.remove(at + 1).1;
        }
        if at > 0 && self.0[at - 1].1 == self.0[at].0 {
            self.0[at - 1].1 = self.0.remove(at).1;
        }
    }

    /// Those for which this holds.
    pub fn only(&self, holds: impl Fn(Unit) -> bool) -> Units {
        self.iter().filter(|u| holds(*u)).collect()
    }

    /// Those of both.
    pub fn union(&self, other: &Units) -> Units {
        self.iter().chain(other.iter()).collect()
    }

    /// The first ranges of it, so many at the most: what a message has room for.
    pub fn within(&self, ranges: usize) -> Units {
        Units(self.0.iter().take(ranges).copied().collect())
    }
}

impl FromIterator<Unit> for Units {
    fn from_iter<I: IntoIterator<Item = Unit>>(units: I) -> Units {
        let mut all: Vec<Unit> = units.into_iter().filter(|u| *u < Unit::MAX).collect();
        all.sort_unstable();
        all.dedup();
        let mut ranges: Vec<(Unit, Unit)> = Vec::new();
        for u in all {
            match ranges.last_mut() {
                Some((_, to)) if *to == u => *to = u + 1,
                _ => ranges.push((u, u + 1)),
            }
        }
        Units(ranges)
    }
}
