//! Messages between members about budgets and their encoding, at most 256 bytes.

use crate::settings::{Incarnation, Micros};
use crate::units::{Unit, Units};

/// First byte, which identifies the format. Datagrams of another format are ignored like lost ones.
const FORMAT: u8 = 0xb1;
/// Maximum number of unit ranges in a message; units in further ranges lose their owner.
pub const MAX_RANGES: usize = 24;
/// Maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Requests a vote; a coordinator requests votes again well before its current ones expire.
    RequestVote {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Number of the request; votes are counted for the latest one only.
        round: u32,
        /// Whether the sender is the coordinator now and accepts lease requests.
        is_coordinator: bool,
        /// Version of the settings that the sender uses.
        version: u32,
    },
    /// A vote, valid from the time of the request for the duration in the settings.
    Vote {
        /// Incarnation of the candidate.
        incarnation: Incarnation,
        /// Round of the request.
        round: u32,
    },
    /// A lessee reports what it holds of a budget and requests units.
    LeaseRequest {
        /// Number of the budget.
        budget: u8,
        /// Incarnation of the lessee.
        incarnation: Incarnation,
        /// Serial number, incremented with each request.
        serial: u32,
        /// Version of the limits that the lessee uses.
        version: u32,
        /// Units that the lessee holds. It will use no others under an earlier grant.
        held: Units,
        /// Number of units that the lessee could use.
        wants: Unit,
    },
    /// The coordinator's answer to a lease request.
    Grant {
        /// Number of the budget.
        budget: u8,
        /// Incarnation of the lessee.
        incarnation: Incarnation,
        /// Serial number of the request.
        serial: u32,
        /// Version of the limits.
        version: u32,
        /// Units held by the lessee whose lease is renewed, as far as it still holds them.
        renewed: Units,
        /// Units without an owner that the lessee owns from now on.
        added: Units,
    },
    /// A greater incarnation of the same member has already sent a request, from a later run or from an
    /// earlier one whose wall clock was ahead.
    Superseded {
        /// Incarnation of the receiver.
        incarnation: Incarnation,
        /// The greatest incarnation known.
        latest: Incarnation,
    },
}

/// When a grant expires: its lease starts when the request is sent.
pub fn grant_expiry(requested_at: u64, lease: Micros) -> u64 {
    requested_at.saturating_add(lease)
}

/// Reads numbers in network byte order from the start of the remaining bytes; `None` where there are too few.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }
    fn u8(&mut self) -> Option<u8> {
        self.array::<1>().map(|b| b[0])
    }
    fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_be_bytes)
    }
    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_be_bytes)
    }
    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_be_bytes)
    }
    /// Reads a set of units; `None` if its ranges are empty, touch, overlap or are not in ascending order.
    fn units(&mut self) -> Option<Units> {
        let n = self.u8().filter(|n| usize::from(*n) <= MAX_RANGES)?;
        let mut all = Vec::new();
        let mut last = None;
        for _ in 0..n {
            let (from, to) = (self.u16()?, self.u16()?);
            if from >= to || last.is_some_and(|l| from <= l) {
                return None;
            }
            last = Some(to);
            all.push((from, to));
        }
        Some(all.into_iter().flat_map(|(a, b)| a..b).collect())
    }
}

fn put_units(out: &mut Vec<u8>, units: &Units, max_ranges: usize) {
    let ranges = &units.ranges()[..units.ranges().len().min(max_ranges)];
    out.push(ranges.len() as u8);
    for (from, to) in ranges {
        out.extend(from.to_be_bytes());
        out.extend(to.to_be_bytes());
    }
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![FORMAT];
        match self {
            Message::RequestVote { incarnation, round, is_coordinator, version } => {
                out.push(1);
                out.extend(incarnation.to_be_bytes());
                out.extend(round.to_be_bytes());
                out.push(u8::from(*is_coordinator));
                out.extend(version.to_be_bytes());
            }
            Message::Vote { incarnation, round } => {
                out.push(2);
                out.extend(incarnation.to_be_bytes());
                out.extend(round.to_be_bytes());
            }
            Message::LeaseRequest { budget, incarnation, serial, version, held, wants } => {
                out.extend([3, *budget]);
                out.extend(incarnation.to_be_bytes());
                out.extend(serial.to_be_bytes());
                out.extend(version.to_be_bytes());
                out.extend(wants.to_be_bytes());
                put_units(&mut out, held, MAX_RANGES);
            }
            Message::Grant { budget, incarnation, serial, version, renewed, added } => {
                out.extend([4, *budget]);
                out.extend(incarnation.to_be_bytes());
                out.extend(serial.to_be_bytes());
                out.extend(version.to_be_bytes());
                put_units(&mut out, renewed, MAX_RANGES);
                put_units(&mut out, added, MAX_RANGES);
            }
            Message::Superseded { incarnation, latest } => {
                out.push(5);
                out.extend(incarnation.to_be_bytes());
                out.extend(latest.to_be_bytes());
            }
        }
        out
    }

    /// Decodes a message; `None` if it is truncated, too long, of another format or invalid.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        let mut reader = Reader(bytes);
        if reader.u8()? != FORMAT {
            return None;
        }
        let message = match reader.u8()? {
            1 => Message::RequestVote {
                incarnation: reader.u64()?,
                round: reader.u32()?,
                is_coordinator: reader.u8()? == 1,
                version: reader.u32()?,
            },
            2 => Message::Vote { incarnation: reader.u64()?, round: reader.u32()? },
            3 => Message::LeaseRequest {
                budget: reader.u8()?,
                incarnation: reader.u64()?,
                serial: reader.u32()?,
                version: reader.u32()?,
                wants: reader.u16()?,
                held: reader.units()?,
            },
            4 => Message::Grant {
                budget: reader.u8()?,
                incarnation: reader.u64()?,
                serial: reader.u32()?,
                version: reader.u32()?,
                renewed: reader.units()?,
                added: reader.units()?,
            },
            5 => Message::Superseded { incarnation: reader.u64()?, latest: reader.u64()? },
            _ => return None,
        };
        reader.0.is_empty().then_some(message)
    }
}
