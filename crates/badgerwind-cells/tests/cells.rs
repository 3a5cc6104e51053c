//! The shape of the index depends on the list of members alone, draws follow the weights, and a change moves
//! few keys.

use badgerwind_cells::{CellIndex, Member};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const CELL: usize = 16;

fn index(members: &BTreeMap<u32, u64>) -> CellIndex {
    let mut index = CellIndex::new(CELL);
    members.iter().for_each(|(&id, &weight)| index.set(id, weight));
    index
}

fn uniform(members: u32) -> CellIndex {
    index(&(0..members).map(|id| (id, 1_000)).collect())
}

/// Path and members of each cell that is drawn for the keys.
fn cells(index: &CellIndex, keys: u64) -> BTreeMap<u64, Vec<Member>> {
    let drawn = (0..keys).filter_map(|key| index.draw(key));
    drawn.map(|cell| (cell.path, cell.members.to_vec())).collect()
}

#[test]
fn a_short_list_fits_into_one_cell() {
    let index = uniform(CELL as u32);
    let cell = index.draw(7).expect("there is weight");
    assert_eq!((index.cells(), cell.members.len()), (1, CELL));
}

#[test]
fn no_cell_is_drawn_without_weight() {
    let mut index = CellIndex::new(CELL);
    assert!(index.draw(1).is_none());
    (0..100).for_each(|id| index.set(id, 0));
    assert!(index.draw(1).is_none());
    assert_eq!(index.len(), 100);
}

#[test]
fn cells_are_drawn_by_their_weight() {
    let mut index = uniform(1_000);
    (0..500).for_each(|id| index.set(id, 3_000));
    let total: u64 = 500 * 3_000 + 500 * 1_000;
    let mut drawn: BTreeMap<u64, (u64, f64)> = BTreeMap::new();
    let keys = 200_000;
    for key in 0..keys {
        let cell = index.draw(key).expect("there is weight");
        let weight = cell.members.iter().map(|m| m.weight).sum::<u64>();
        let entry = drawn.entry(cell.path).or_insert((0, weight as f64 / total as f64));
        entry.0 += 1;
    }
    assert_eq!(drawn.len(), index.cells());
    for (count, share) in drawn.values() {
        let expected = share * keys as f64;
        // Six standard deviations of a binomial count.
        assert!((*count as f64 - expected).abs() < 6.0 * expected.sqrt(), "{count} of {expected}");
    }
}

#[test]
fn removing_a_member_moves_few_keys() {
    let (before, mut after) = (uniform(4_000), uniform(4_000));
    after.remove(77);
    let keys = 20_000;
    let moved =
        (0..keys).filter(|&key| before.draw(key).unwrap().path != after.draw(key).unwrap().path).count();
    // About 1/4,000 of the keys at each of the eight or so forks above the member, which is less than a
    // cell's share.
    assert!(moved < 100, "{moved} of {keys} keys went to another cell");
}

#[test]
fn a_change_modifies_one_cell_only() {
    let mut index = uniform(4_000);
    let before = index.changes();
    index.set(77, 0);
    let modified: BTreeSet<u64> = (0..50_000)
        .filter_map(|key| index.draw(key))
        .filter(|c| c.changed > before)
        .map(|c| c.path)
        .collect();
    assert_eq!(modified.len(), 1);
    index.set(77, 0);
    assert_eq!(index.changes(), before + 1, "setting the same weight is no change");
}

/// A third of all members is lost at once, as with a zone. Each cell keeps about two thirds of its weight, so
/// that keys move only because the cells' losses differ.
#[test]
fn losing_a_zone_leaves_most_keys_in_their_cells() {
    let before = uniform(6_000);
    let mut after = uniform(6_000);
    (0..6_000).filter(|id| id % 3 == 0).for_each(|id| after.set(id, 0));
    let keys = 20_000;
    let moved =
        (0..keys).filter(|&key| before.draw(key).unwrap().path != after.draw(key).unwrap().path).count();
    assert!(moved < keys as usize / 3, "{moved} of {keys} keys went to another cell");
}

proptest! {
    /// The same list has the same cells, whatever changes led to it.
    #[test]
    fn the_shape_depends_on_the_list_alone(
        changes in proptest::collection::vec((0u32..300, proptest::option::of(0u64..5)), 1..600)
    ) {
        let mut list: BTreeMap<u32, u64> = BTreeMap::new();
        let mut grown = CellIndex::new(CELL);
        for (id, weight) in changes {
            match weight {
                Some(weight) => {
                    list.insert(id, weight);
                    grown.set(id, weight);
                }
                None => {
                    list.remove(&id);
                    grown.remove(id);
                }
            }
        }
        let fresh = index(&list);
        prop_assert_eq!(grown.len(), list.len());
        prop_assert_eq!(grown.cells(), fresh.cells());
        prop_assert_eq!(cells(&grown, 500), cells(&fresh, 500));
        for members in cells(&grown, 500).values() {
            prop_assert!(members.len() <= CELL);
            for member in members {
                prop_assert_eq!(list.get(&member.id), Some(&member.weight));
            }
        }
    }
}
