//! Messages about zones: reports of evidence to voters, digests of aggregated evidence in answer. 256 bytes at most.
//!
//! `format(1) kind(1) serial(4) count(1)` and for a digest `members(2)`; then by zone for a report
//! `receive(2) late(2) lost(2) generation(2) stage(1) quiet(1)`, for a digest `lost(2) late(2) hearing(2) generation(2) stage(1)
//! quiet(1)`, big-endian.

use crate::stages::Stage;

/// Bytes of a message at the most.
pub const MAX_BYTES: usize = 256;
/// Zones at the most.
pub const MAX_ZONES: usize = 24;
const FORMAT: u8 = 0xb3;

/// One front end's report of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneReport {
    /// Executors that answered in time.
    pub heard: u16,
    /// Late.
    pub late: u16,
    /// Not at all.
    pub lost: u16,
    /// Counted up at each change of stage.
    pub generation: u16,
    /// Where it stands with it.
    pub stage: Stage,
    /// How often it failed to return, lately.
    pub failed: u8,
}

/// Aggregated evidence of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneDigest {
    /// Evidence that it is lost, in 64ths of a nat; below 0 that it is not.
    pub lost: i16,
    /// The same for lateness.
    pub late: i16,
    /// Front ends that hear it.
    pub hearing: u16,
    /// The newest generation that more than one front end has.
    pub generation: u16,
    /// Its stage.
    pub stage: Stage,
    /// How often the return failed.
    pub failed: u8,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// To a voter.
    Report {
        /// Counted up with each.
        serial: u32,
        /// By place.
        zones: Vec<ZoneReport>,
    },
    /// Its answer.
    Digest {
        /// That of the report.
        serial: u32,
        /// Front ends heard of lately, that one among them.
        members: u16,
        /// By place.
        zones: Vec<ZoneDigest>,
    },
}

fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (first, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*first)
}

impl Message {
    /// As bytes. Zones for which there is no room are left out.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = vec![FORMAT];
        match self {
            Message::Report { serial, zones } => {
                out.push(0);
                out.extend(serial.to_be_bytes());
                out.push(zones.len().min(MAX_ZONES) as u8);
                for z in zones.iter().take(MAX_ZONES) {
                    for n in [z.heard, z.late, z.lost, z.generation] {
                        out.extend(n.to_be_bytes());
                    }
                    out.extend([z.stage.rank(), z.failed]);
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
                    out.extend(z.hearing.to_be_bytes());
                    out.extend(z.generation.to_be_bytes());
                    out.extend([z.stage.rank(), z.failed]);
                }
            }
        }
        out
    }

    /// From bytes; `None` for what is none or of another form.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let b = &mut &bytes[..];
        let [form, kind] = take(b)?;
        let serial = u32::from_be_bytes(take(b)?);
        let [count] = take(b)?;
        if form != FORMAT || usize::from(count) > MAX_ZONES {
            return None;
        }
        let u16s = |b: &mut &[u8]| take(b).map(u16::from_be_bytes);
        let message = match kind {
            0 => {
                let mut zones = Vec::with_capacity(usize::from(count));
                for _ in 0..count {
                    zones.push(ZoneReport {
                        heard: u16s(b)?,
                        late: u16s(b)?,
                        lost: u16s(b)?,
                        generation: u16s(b)?,
                        stage: Stage::ranked(take::<1>(b)?[0])?,
                        failed: take::<1>(b)?[0],
                    });
                }
                Message::Report { serial, zones }
            }
            1 => {
                let members = u16s(b)?;
                let mut zones = Vec::with_capacity(usize::from(count));
                for _ in 0..count {
                    zones.push(ZoneDigest {
                        lost: i16::from_be_bytes(take(b)?),
                        late: i16::from_be_bytes(take(b)?),
                        hearing: u16s(b)?,
                        generation: u16s(b)?,
                        stage: Stage::ranked(take::<1>(b)?[0])?,
                        failed: take::<1>(b)?[0],
                    });
                }
                Message::Digest { serial, members, zones }
            }
            _ => return None,
        };
        b.is_empty().then_some(message)
    }
}
