//! The words that front ends send each other. Their form only: nothing is decided here.
//!
//! A byte with the number of tenants, for each its rate as four bytes, then for each worker told of two bytes of its name
//! and two of its load ([`crate::state::Shared::give`]). Numbers are big-endian.

use crate::interface::WorkerId;

/// Bytes in a message: the platform's limit of a datagram.
const MESSAGE: usize = 256;

/// Workers that a message has room for at the most.
pub(crate) const MOST_WORKERS: usize = MESSAGE / 4;
/// A mass below it is written as none.
pub(crate) const LEAST_MASS: f64 = 1.0 / 256.0;

/// What a message says.
pub(crate) struct Told {
    pub rates: Vec<f64>,
    pub loads: Vec<([u8; 2], [u8; 2])>,
}

/// A worker's name in a message.
pub(crate) fn short(worker: WorkerId) -> [u8; 2] {
    ((worker ^ (worker >> 16)) as u16).to_be_bytes()
}

/// Writes the rates, and of the loads as many as have room; only of these is the word asked for.
pub(crate) fn write<L>(
    rates: &[f64],
    loads: impl Iterator<Item = (WorkerId, L)>,
    mut word: impl FnMut(L) -> [u8; 2],
) -> Vec<u8> {
    let mut bytes = vec![rates.len() as u8];
    bytes.extend(rates.iter().flat_map(|r| (*r as f32).to_be_bytes()));
    let room = MESSAGE.saturating_sub(bytes.len()) / 4;
    for (id, load) in loads.take(room) {
        bytes.extend(short(id).into_iter().chain(word(load)));
    }
    bytes
}

/// Reads one of at most so many tenants; a rate that is no number counts as none.
pub(crate) fn read(bytes: &[u8], most: usize) -> Option<Told> {
    let (n, rest) = bytes.split_first().filter(|b| usize::from(*b.0) <= most)?;
    let (rates, loads) = rest.split_at_checked(usize::from(*n) * 4)?;
    let rates = rates.chunks_exact(4).map(|b| f64::from(f32::from_be_bytes([b[0], b[1], b[2], b[3]])));
    let rates = rates.map(|r| if r.is_finite() { r.max(0.0) } else { 0.0 }).collect();
    let loads = loads.chunks_exact(4).map(|w| ([w[0], w[1]], [w[2], w[3]])).collect();
    Some(Told { rates, loads })
}
