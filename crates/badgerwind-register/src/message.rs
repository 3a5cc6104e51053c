//! What members and voters say to each other, over a link that says who spoke.

use crate::record::Record;
use crate::terms::{Incarnation, Index, Member, Time};
use crate::wire::RaftForm;
use serde::{Deserialize, Serialize};

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters.
    Raft(Box<RaftForm>),
    /// To the leader: this incarnation goes on. The stamp is the member's own time and comes back as it is.
    Renew {
        /// Which incarnation.
        incarnation: Incarnation,
        /// When it asked, by its own clock.
        stamp: Time,
    },
    /// To the leader: to be written. Only the sender's own.
    Offer(Vec<Record>),
    /// To a voter: what comes after this entry, once there is any.
    Since(Index),
    /// From the leader: the incarnation counted as going on when this was asked.
    Renewed {
        /// Which incarnation.
        incarnation: Incarnation,
        /// The ask's stamp.
        stamp: Time,
    },
    /// From a voter that does not lead.
    Elsewhere(Option<Member>),
    /// From a voter: what follows an entry, and who leads.
    Entries {
        /// The entries, each with its place; those that hold no records are empty.
        entries: Vec<(Index, Vec<u8>)>,
        /// Who leads, by its view.
        leader: Option<Member>,
    },
    /// From a voter, to one that is too far behind: all that stands.
    All {
        /// Up to this entry.
        index: Index,
        /// A ledger's bytes.
        bytes: Vec<u8>,
    },
}

impl Message {
    /// As bytes.
    pub fn bytes(&self) -> Vec<u8> {
        // Writing to memory fails for no value of these types.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// From bytes; `None` where they are no message.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        postcard::from_bytes(bytes).ok()
    }
}
