//! Placement by rendezvous hash, weighed by size (Thaler and Ravishankar 1998; Schindelhauer and Schomaker
//! 2005): those who share nothing but the list agree, and a worker that leaves moves only what was its own.
#![forbid(unsafe_code)]

mod hash;
pub use hash::unit_hash;

/// Workers, each with its size above 0, in a function's own order.
pub fn homes(name: &str, workers: impl Iterator<Item = (u32, f64)>) -> Vec<u32> {
    let place = |(id, size): (u32, f64)| (-unit_hash(name, id).max(1e-12).ln() / size, id);
    let mut order: Vec<(f64, u32)> = workers.map(place).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    order.into_iter().map(|(_, id)| id).collect()
}
