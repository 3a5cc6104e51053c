//! Encoding of the messages between front ends. It contains no decisions.
//!
//! One byte with the number of tenants, then each tenant's rate in four bytes, then for each worker two bytes
//! of its short name and two of its load ([`crate::records::SharedMean::split_half`]). Numbers are
//! big-endian.

use crate::interface::WorkerId;

/// Most bytes in a message: the platform's limit for a datagram.
const MAX_BYTES: usize = 256;

/// Most workers for which a message has space.
pub(crate) const MAX_WORKERS: usize = MAX_BYTES / 4;
/// A mass below this is encoded as none.
pub(crate) const MIN_MASS: f64 = 1.0 / 256.0;

/// A decoded message.
pub(crate) struct Message {
    /// Requests a second, by tenant.
    pub rates: Vec<f64>,
    /// Short names of workers and their encoded loads.
    pub loads: Vec<([u8; 2], [u8; 2])>,
}

/// A worker's short name. Several workers may share one.
pub(crate) fn short_name(worker: WorkerId) -> [u8; 2] {
    ((worker ^ (worker >> 16)) as u16).to_be_bytes()
}

/// Encodes the rates, and as many of the loads as there is space for. `encode_load` is called for these only.
pub(crate) fn encode<L>(
    rates: &[f64],
    loads: impl Iterator<Item = (WorkerId, L)>,
    mut encode_load: impl FnMut(L) -> [u8; 2],
) -> Vec<u8> {
    let mut bytes = vec![rates.len() as u8];
    bytes.extend(rates.iter().flat_map(|rate| (*rate as f32).to_be_bytes()));
    let space = MAX_BYTES.saturating_sub(bytes.len()) / 4;
    for (id, load) in loads.take(space) {
        bytes.extend(short_name(id).into_iter().chain(encode_load(load)));
    }
    bytes
}

/// Decodes a message; `None` if it is truncated or has more than `max_tenants` tenants. A rate that is not
/// finite or is negative counts as 0.
pub(crate) fn decode(bytes: &[u8], max_tenants: usize) -> Option<Message> {
    let (count, rest) = bytes.split_first().filter(|bytes| usize::from(*bytes.0) <= max_tenants)?;
    let (rates, loads) = rest.split_at_checked(usize::from(*count) * 4)?;
    let rates = rates.chunks_exact(4).map(|b| f64::from(f32::from_be_bytes([b[0], b[1], b[2], b[3]])));
    let rates = rates.map(|rate| if rate.is_finite() { rate.max(0.0) } else { 0.0 }).collect();
    let loads = loads.chunks_exact(4).map(|b| ([b[0], b[1]], [b[2], b[3]])).collect();
    Some(Message { rates, loads })
}
