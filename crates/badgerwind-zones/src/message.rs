//! Messages about zones: reports of evidence to voters, and digests of the aggregated evidence as answers. At
//! most 256 bytes.
//!
//! All numbers are big-endian: `format(1) kind(1) serial(4) count(1)`, in a digest `members(2)`, then for
//! each zone in a report `answered(2) late(2) lost(2) generation(2) stage(1) failed_returns(1)`, in a digest
//! `lost(2) late(2) reached_by(2) generation(2) stage(1) failed_returns(1)`.

use crate::stages::Stage;

/// Upper bound of a message's size in bytes.
pub const MAX_BYTES: usize = 256;
/// Upper bound of the number of zones.
pub const MAX_ZONES: usize = 24;
/// First byte, which identifies the format.
const FORMAT: u8 = 0xb3;

/// One front end's report of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneReport {
    /// Executors that answered in time.
    pub answered: u16,
    /// Executors that answered late.
    pub late: u16,
    /// Executors that did not answer.
    pub lost: u16,
    /// Incremented by each change of stage.
    pub generation: u16,
    /// The front end's stage of the zone.
    pub stage: Stage,
    /// Number of recent returns; see [`ZoneState::failed_returns`](crate::ZoneState::failed_returns).
    pub failed_returns: u8,
}

/// Aggregated evidence of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneDigest {
    /// Evidence that the zone is lost, in 1/64 nat; negative: evidence that it is not.
    pub lost: i16,
    /// Evidence that the zone is late, in the same unit.
    pub late: i16,
    /// Front ends that observed more answers than losses.
    pub reached_by: u16,
    /// The newest generation that more than one front end has.
    pub generation: u16,
    /// The stage of that generation.
    pub stage: Stage,
    /// Number of recent returns; see [`ZoneState::failed_returns`](crate::ZoneState::failed_returns).
    pub failed_returns: u8,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// From a front end to a voter.
    Report {
        /// Incremented by each report.
        serial: u32,
        /// The zones, in the order of the settings.
        zones: Vec<ZoneReport>,
    },
    /// A voter's answer to a report.
    Digest {
        /// The report's serial number.
        serial: u32,
        /// The number of front ends that reported recently, including the receiver.
        members: u16,
        /// The zones, in the order of the settings.
        zones: Vec<ZoneDigest>,
    },
}

fn read_bytes<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (first, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*first)
}

impl Message {
    /// Serializes the message. Zones beyond [`MAX_ZONES`] are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![FORMAT];
        match self {
            Message::Report { serial, zones } => {
                out.push(0);
                out.extend(serial.to_be_bytes());
                out.push(zones.len().min(MAX_ZONES) as u8);
                for z in zones.iter().take(MAX_ZONES) {
                    for n in [z.answered, z.late, z.lost, z.generation] {
                        out.extend(n.to_be_bytes());
                    }
                    out.extend([z.stage.code(), z.failed_returns]);
                }
            }
            Message::Digest { serial, members, zones } => {
                out.push(1);
                out.extend(serial.to_be_bytes());
                out.push(zones.len().min(MAX_ZONES) as u8);
                out.extend(members.to_be_bytes());
                for z in zones.iter().take(MAX_ZONES) {
                    out.extend(z.lost.to_be_bytes());
                    out.extend(z.late.to_be_bytes());
                    out.extend(z.reached_by.to_be_bytes());
                    out.extend(z.generation.to_be_bytes());
                    out.extend([z.stage.code(), z.failed_returns]);
                }
            }
        }
        out
    }

    /// Parses a message; `None` where the bytes are invalid or of another format.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let b = &mut &bytes[..];
        let [format, kind] = read_bytes(b)?;
        let serial = u32::from_be_bytes(read_bytes(b)?);
        let [count] = read_bytes(b)?;
        if format != FORMAT || usize::from(count) > MAX_ZONES {
            return None;
        }
        let read_u16 = |b: &mut &[u8]| read_bytes(b).map(u16::from_be_bytes);
        let message = match kind {
            0 => {
                let mut zones = Vec::with_capacity(usize::from(count));
                for _ in 0..count {
                    zones.push(ZoneReport {
                        answered: read_u16(b)?,
                        late: read_u16(b)?,
                        lost: read_u16(b)?,
                        generation: read_u16(b)?,
                        stage: Stage::from_code(read_bytes::<1>(b)?[0])?,
                        failed_returns: read_bytes::<1>(b)?[0],
                    });
                }
                Message::Report { serial, zones }
            }
            1 => {
                let members = read_u16(b)?;
                let mut zones = Vec::with_capacity(usize::from(count));
                for _ in 0..count {
                    zones.push(ZoneDigest {
                        lost: i16::from_be_bytes(read_bytes(b)?),
                        late: i16::from_be_bytes(read_bytes(b)?),
                        reached_by: read_u16(b)?,
                        generation: read_u16(b)?,
                        stage: Stage::from_code(read_bytes::<1>(b)?[0])?,
                        failed_returns: read_bytes::<1>(b)?[0],
                    });
                }
                Message::Digest { serial, members, zones }
            }
            _ => return None,
        };
        b.is_empty().then_some(message)
    }
}
