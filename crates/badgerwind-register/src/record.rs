//! Records: the contents of the log's entries.

use crate::settings::{Incarnation, Member};
use serde::{Deserialize, Serialize};

/// The newest record version that this program can read. Records of a newer version are proposed only once
/// every live member has declared that it reads them ([`crate::Ledger::common_record_version`]), so that no
/// two members interpret an entry differently.
pub const VERSION: u8 = 1;

/// A state change, applied by all members in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A member requests a new incarnation. It is granted only if the member's last one has ended.
    Join {
        /// The member.
        member: Member,
        /// Drawn by the process, so that it can distinguish its own incarnation from that of another process
        /// with the same member number.
        nonce: u64,
        /// The member's zone.
        zone: u8,
        /// The newest record version that the member can read.
        #[serde(rename = "speaks")]
        record_version: u8,
    },
    /// An incarnation has ended: its lease provably expired, or the member left.
    Ended {
        /// The member.
        member: Member,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// An announcement for the state machine.
    Announce {
        /// The announcing member.
        member: Member,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Counted from 1 within the incarnation; announcements are accepted once each and in order.
        serial: u64,
        /// The announcement.
        bytes: Vec<u8>,
    },
}

impl Record {
    /// The member that the record belongs to; only this member may propose it.
    pub fn member(&self) -> Member {
        match self {
            Record::Join { member, .. } | Record::Ended { member, .. } | Record::Announce { member, .. } => {
                *member
            }
        }
    }

    /// The approximate serialized size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Record::Announce { bytes, .. } => 24 + bytes.len(),
            _ => 24,
        }
    }
}

/// Serializes the records of one entry, prefixed by the record version.
pub(crate) fn encode(records: &[Record]) -> Vec<u8> {
    let mut out = vec![VERSION];
    // Serializing these types to memory cannot fail.
    out.extend(postcard::to_allocvec(records).unwrap_or_default());
    out
}

/// Parses the records of one entry; `None` for a version that this program does not know.
pub(crate) fn decode(bytes: &[u8]) -> Option<Vec<Record>> {
    match bytes.split_first() {
        None => Some(Vec::new()), // a new leader's first entry, or a change of voters
        Some((&VERSION, rest)) => postcard::from_bytes(rest).ok(),
        Some(_) => None,
    }
}
