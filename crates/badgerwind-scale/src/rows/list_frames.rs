//! Encodes frames of the platform's service discovery as its server does. The tests verify that the
//! product's reader accepts them.

use badgerwind::interface::{Availability, ListKind, WorkerEntry};

/// Number of bytes before the payload: length, event number and kind.
const HEADER_BYTES: usize = 4 + 8 + 1;
/// Number of bytes of a record.
const RECORD_BYTES: usize = 27;
/// Number of header bytes that the length field includes: event number and kind.
const COUNTED_HEADER_BYTES: usize = 9;

/// Number of bytes of a frame with the given number of entries.
pub fn frame_bytes(entries: usize) -> usize {
    HEADER_BYTES + entries * RECORD_BYTES
}

/// Encodes a frame with the given event number and entries.
pub fn encode_frame(event_number: u64, kind: ListKind, entries: &[WorkerEntry]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(frame_bytes(entries.len()));
    let length = (COUNTED_HEADER_BYTES + entries.len() * RECORD_BYTES) as u32;
    bytes.extend(length.to_be_bytes());
    bytes.extend(event_number.to_be_bytes());
    bytes.push(if kind == ListKind::Changes { 2 } else { 1 });
    entries.iter().for_each(|entry| encode_record(entry, &mut bytes));
    bytes
}

fn encode_record(entry: &WorkerEntry, bytes: &mut Vec<u8>) {
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
