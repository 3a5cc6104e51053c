//! Hashes that are equal on all machines and in all versions.

use badgerwind_cells::Cell;
use std::hash::Hasher;

fn name_hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A number in 0..1 that depends only on the name and the worker, on every machine and in every version.
pub fn unit_hash(name: &str, worker: u32) -> f64 {
    let mut h = name_hash(name) ^ u64::from(worker).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h = (h ^ (h >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((h ^ (h >> 32)) >> 11) as f64 / (1u64 << 53) as f64
}

/// The key that draws the cell at a place in a name's own order.
pub(crate) fn key(name: &str, place: u64) -> u64 {
    name_hash(name).wrapping_add(place.wrapping_mul(0xd1b5_4a32_d192_ed03))
}

/// A number that identifies these cells in their current state among those of the same index; never 0.
pub fn fingerprint(cells: &[Cell]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    for cell in cells {
        hasher.write_u64(cell.path);
        hasher.write_u64(cell.changed);
    }
    hasher.finish().max(1)
}
