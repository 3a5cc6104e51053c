//! Sets of units, stored as ranges.

/// The number of a unit of a budget.
pub type Unit = u16;

/// A set of units: sorted half-open ranges that neither touch nor overlap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Units(Vec<(Unit, Unit)>);

impl Units {
    /// The empty set.
    pub fn new() -> Units {
        Units::default()
    }

    /// The units from `from` up to but excluding `to`; empty if `from >= to`.
    pub fn range(from: Unit, to: Unit) -> Units {
        if from < to {
            Units(vec![(from, to)])
        } else {
            Units::new()
        }
    }

    /// Number of units in the set.
    pub fn len(&self) -> usize {
        self.0.iter().map(|(a, b)| usize::from(b - a)).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the set contains this unit.
    pub fn contains(&self, unit: Unit) -> bool {
        self.0.iter().any(|(a, b)| (*a..*b).contains(&unit))
    }

    /// The units in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Unit> + '_ {
        self.0.iter().flat_map(|(a, b)| *a..*b)
    }

    /// The ranges of the set, each including its first bound and excluding its second.
    pub fn ranges(&self) -> &[(Unit, Unit)] {
        &self.0
    }

    /// Inserts a unit. [`Unit::MAX`] is ignored, since a range could not end after it.
    pub fn add(&mut self, unit: Unit) {
        if self.contains(unit) || unit == Unit::MAX {
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

    /// The units that satisfy the predicate.
    pub fn filter_units(&self, predicate: impl Fn(Unit) -> bool) -> Units {
        self.iter().filter(|u| predicate(*u)).collect()
    }

    /// The units that are in either set.
    pub fn union(&self, other: &Units) -> Units {
        self.iter().chain(other.iter()).collect()
    }

    /// The first `max` ranges of the set: a message has room for a limited number of them.
    pub fn first_ranges(&self, max: usize) -> Units {
        Units(self.0.iter().take(max).copied().collect())
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
