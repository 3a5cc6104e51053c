//! Chance that all who share nothing draw alike.

use std::hash::Hasher;

/// A number in 0..1 that depends on the name and the worker alone, on every machine and in every version.
pub fn unit_hash(name: &str, worker: u32) -> f64 {
    let mut seed = fnv::FnvHasher::default();
    seed.write(name.as_bytes());
    let mut h = seed.finish() ^ u64::from(worker).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h = (h ^ (h >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((h ^ (h >> 32)) >> 11) as f64 / (1u64 << 53) as f64
}
