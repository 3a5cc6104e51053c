//! What is written in the log.

use crate::terms::{Life, Member};
use serde::{Deserialize, Serialize};

/// The newest form of records that this program can read. A record of a newer form is proposed only once every living member
/// has said that it reads it ([`crate::Ledger::speaks`]), so that no two members make different things of one entry.
pub const VERSION: u8 = 1;

/// One thing that happened, for all members in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A member asks for a life. It gets one only where its last one is over.
    Join {
        /// Who.
        member: Member,
        /// Drawn by its process, so that it knows its life from another process's under its number.
        nonce: u64,
        /// Its zone.
        zone: u8,
        /// The newest form of records that it reads.
        speaks: u8,
    },
    /// A life is over: by proof, or by its own word.
    Over {
        /// Whose.
        member: Member,
        /// Which.
        life: Life,
    },
    /// A word for the part built on the register.
    Say {
        /// Who says it.
        member: Member,
        /// In which life.
        life: Life,
        /// Counted from 1 within the life: each is taken once, in order.
        serial: u64,
        /// The word.
        bytes: Vec<u8>,
    },
}

impl Record {
    /// Whose record it is: nobody offers another's.
    pub fn member(&self) -> Member {
        match self {
            Record::Join { member, .. } | Record::Over { member, .. } | Record::Say { member, .. } => *member,
        }
    }

    /// Bytes that it takes, about.
    pub fn size(&self) -> usize {
        match self {
            Record::Say { bytes, .. } => 24 + bytes.len(),
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
