//! Placement by rendezvous hash, weighted by size (Thaler and Ravishankar 1998; Schindelhauer and Schomaker
//! 2005), within cells drawn by weight. All who have the same list agree, a worker that leaves moves only its
//! own functions, and the cost does not grow with the list.
#![forbid(unsafe_code)]

mod hash;
use badgerwind_cells::{Cell, CellIndex, Member};
pub use hash::{fingerprint, unit_hash};

/// Weight of a worker of size 1 in the index of cells.
pub const WEIGHT_OF_SIZE: f64 = 1e3;

/// A function's cells in its own order, as many as hold `enough` workers that accept requests, or all.
pub fn cells<'a>(name: &str, index: &'a CellIndex, enough: usize) -> Vec<Cell<'a>> {
    index.draw_until((0..2 * enough as u64).map(|place| hash::key(name, place)), enough)
}

/// The workers of these cells that accept requests; those of each cell in the function's own order.
pub fn preferred_workers(name: &str, cells: &[Cell]) -> Vec<u32> {
    let rank =
        |m: &Member| (-unit_hash(name, m.id).max(1e-12).ln() / (m.weight as f64 / WEIGHT_OF_SIZE), m.id);
    let in_order = |cell: &Cell| {
        let mut order: Vec<(f64, u32)> = cell.weighted().map(rank).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, id)| id)
    };
    cells.iter().flat_map(in_order).collect()
}
