//! What is written in the log.

use crate::terms::{Incarnation, Member};
use serde::{Deserialize, Serialize};

/// The newest form of records that this program can read. A record of a newer form is proposed only once every living member
/// has said that it reads it ([`crate::Ledger::speaks`]), so that no two members make different things of one entry.
pub const VERSION: u8 = 1;

/// One thing that happened, for all members in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A member asks for an incarnation. It gets one only where its last one has ended.
    Join {
        /// Who.
        member: Member,
        /// Drawn by its process, so that it knows its incarnation from another process's under its number.
        nonce: u64,
        /// Its zone.
        zone: u8,
        /// The newest form of records that it reads.
        speaks: u8,
    },
    /// An incarnation has ended: by proof, or by its own record.
    Ended {
        /// Whose.
        member: Member,
        /// Which.
        incarnation: Incarnation,
    },
    /// An announcement for the part built on the register.
    Announce {
        /// Who says it.
        member: Member,
        /// In which incarnation.
        incarnation: Incarnation,
        /// Counted from 1 within the incarnation: each is taken once, in order.
        serial: u64,
        /// The announcement.
        bytes: Vec<u8>,
    },
}

impl Record {
    /// Whose record it is: nobody offers another's.
    pub fn member(&self) -> Member {
        match self {
            Record::Join { member, .. } | Record::Ended { member, .. } | Record::Announce { member, .. } => {
                *member
            }
        }
    }

    /// Bytes that it takes, about.
    pub fn size(&self) -> usize {
        match self {
            Record::Announce { bytes, .. } => 24 + bytes.len(),
            _ => 24,
        }
    }
}

/// Records of one entry as bytes: the form's number, then the records.
pub(crate) fn write(records: &[Record]) -> Vec<u8> {
    let mut out = vec![VERSION];
    // Writing to memory fails for no value of these types.
    out.extend(postcard::to_allocvec(records).unwrap_or_default());
    out
}

/// Reads an entry. `None`: a form that this program does not know.
pub(crate) fn read(bytes: &[u8]) -> Option<Vec<Record>> {
    match bytes.split_first() {
        None => Some(Vec::new()), // a leader's first, or a change of voters
        Some((&VERSION, rest)) => postcard::from_bytes(rest).ok(),
        Some(_) => None,
    }
}
