//! What members say to each other about budgets, and its bytes: 256 at the most.

use crate::terms::{Incarnation, Span};
use crate::units::{Unit, Units};

/// The form of these bytes. Others are passed over, like a lost datagram.
const FORM: u8 = 0xb1;
/// Ranges of units in a message; what has more falls back into nobody's hands.
pub const RANGES: usize = 24;
/// Bytes of a message, at the most.
pub const MOST: usize = 256;

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Asks for a vote; a coordinator asks again long before the last one ends.
    RequestVote {
        /// The asking incarnation.
        incarnation: Incarnation,
        /// Told apart from its other rounds.
        round: u32,
        /// It is coordinator now: whoever wants units may ask it.
        is_coordinator: bool,
        /// The version of the settings that it goes by.
        version: u32,
    },
    /// A vote, for the time that the terms name from when it was asked for.
    Vote {
        /// To this incarnation.
        incarnation: Incarnation,
        /// For this round.
        round: u32,
    },
    /// A lessee says what it holds and wants of a budget.
    Ask {
        /// The budget.
        budget: u8,
        /// The asking incarnation.
        incarnation: Incarnation,
        /// Counted up with each.
        serial: u32,
        /// The version of the limit that it goes by.
        version: u32,
        /// What it holds, whatever its lease; nothing else will it use under an earlier grant.
        held: Units,
        /// Units that it could use.
        wants: Unit,
    },
    /// The coordinator's answer to an ask.
    Grant {
        /// The budget.
        budget: u8,
        /// To this incarnation.
        incarnation: Incarnation,
        /// For this ask.
        serial: u32,
        /// The version of the limit.
        version: u32,
        /// Of what the lessee holds it may go on with these, if it holds them still.
        keep: Units,
        /// Nobody holds these: they are its own from now on.
        fresh: Units,
    },
    /// A later incarnation has asked in this one's name, or one from before its own first message.
    Superseded {
        /// To this incarnation.
        incarnation: Incarnation,
        /// The latest known.
        latest: Incarnation,
    },
}

/// How long a grant counts, from the ask.
pub fn ends(asked: u64, lease: Span) -> u64 {
    asked.saturating_add(lease)
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }
    fn u8(&mut self) -> Option<u8> {
        self.take::<1>().map(|b| b[0])
    }
    fn u16(&mut self) -> Option<u16> {
        self.take().map(u16::from_be_bytes)
    }
    fn u32(&mut self) -> Option<u32> {
        self.take().map(u32::from_be_bytes)
    }
    fn u64(&mut self) -> Option<u64> {
        self.take().map(u64::from_be_bytes)
    }
    fn units(&mut self) -> Option<Units> {
        let n = self.u8().filter(|n| usize::from(*n) <= RANGES)?;
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

fn put_units(out: &mut Vec<u8>, units: &Units, most: usize) {
    let ranges = &units.ranges()[..units.ranges().len().min(most)];
    out.push(ranges.len() as u8);
    for (from, to) in ranges {
        out.extend(from.to_be_bytes());
        out.extend(to.to_be_bytes());
    }
}

impl Message {
    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = vec![FORM];
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
            Message::Ask { budget, incarnation, serial, version, held, wants } => {
                out.extend([3, *budget]);
                out.extend(incarnation.to_be_bytes());
                out.extend(serial.to_be_bytes());
                out.extend(version.to_be_bytes());
                out.extend(wants.to_be_bytes());
                put_units(&mut out, held, RANGES);
            }
            Message::Grant { budget, incarnation, serial, version, keep, fresh } => {
                out.extend([4, *budget]);
                out.extend(incarnation.to_be_bytes());
                out.extend(serial.to_be_bytes());
                out.extend(version.to_be_bytes());
                put_units(&mut out, keep, RANGES);
                put_units(&mut out, fresh, RANGES);
            }
            Message::Superseded { incarnation, latest } => {
                out.push(5);
                out.extend(incarnation.to_be_bytes());
                out.extend(latest.to_be_bytes());
            }
        }
        out
    }

    /// Reads one; `None` for what is cut, too long, of another form or makes no sense.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MOST {
            return None;
        }
        let mut r = Reader(bytes);
        if r.u8()? != FORM {
            return None;
        }
        let message = match r.u8()? {
            1 => Message::RequestVote {
                incarnation: r.u64()?,
                round: r.u32()?,
                is_coordinator: r.u8()? == 1,
                version: r.u32()?,
            },
            2 => Message::Vote { incarnation: r.u64()?, round: r.u32()? },
            3 => Message::Ask {
                budget: r.u8()?,
                incarnation: r.u64()?,
                serial: r.u32()?,
                version: r.u32()?,
                wants: r.u16()?,
                held: r.units()?,
            },
            4 => Message::Grant {
                budget: r.u8()?,
                incarnation: r.u64()?,
                serial: r.u32()?,
                version: r.u32()?,
                keep: r.units()?,
                fresh: r.units()?,
            },
            5 => Message::Superseded { incarnation: r.u64()?, latest: r.u64()? },
            _ => return None,
        };
        r.0.is_empty().then_some(message)
    }
}
