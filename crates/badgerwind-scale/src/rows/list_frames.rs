//! Frames of the platform's service discovery as its server writes them; the product's own reader takes them
//! in, which the tests check.

use badgerwind::interface::{Availability, ListKind, WorkerEntry};

/// Bytes before the payload: length, event number, kind.
const HEADER: usize = 4 + 8 + 1;
/// Bytes of a record.
const RECORD: usize = 27;
/// What the length counts beside the payload.
const COUNTED: usize = 9;

/// Bytes of a frame with so many entries.
pub fn frame_bytes(entries: usize) -> usize {
    HEADER + entries * RECORD
}

/// A frame with these entries.
pub fn frame(number: u64, kind: ListKind, entries: &[WorkerEntry]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(frame_bytes(entries.len()));
    let length = (COUNTED + entries.len() * RECORD) as u32;
    bytes.extend(length.to_be_bytes());
    bytes.extend(number.to_be_bytes());
    bytes.push(if kind == ListKind::Changes { 2 } else { 1 });
    entries.iter().for_each(|entry| record(entry, &mut bytes));
    bytes
}

fn record(entry: &WorkerEntry, bytes: &mut Vec<u8>) {
    let availability = match entry.availability {
        Availability::Ready => 0,
        Availability::Draining => 1,
        Availability::Removed => 2,
    };
    bytes.extend(entry.worker.to_be_bytes());
    bytes.extend([127, 0, 0, 1]);
    bytes.extend(9_000u16.to_be_bytes());
    bytes.extend([availability, entry.zone as u8, entry.kind as u8]);
    bytes.extend((entry.cell as u16).to_be_bytes());
    bytes.extend(((entry.size * 1_000.0) as u32).to_be_bytes());
    bytes.extend((entry.born.unwrap_or(0) / 1_000).to_be_bytes());
}
