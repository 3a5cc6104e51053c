//! Messages between members and voters. The transport must authenticate the sender.

use crate::record::Record;
use crate::settings::{Incarnation, Index, Member, Time};
use crate::wire::WireMessage;
use serde::{Deserialize, Serialize};

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters: a message of the consensus protocol.
    Raft(Box<WireMessage>),
    /// To the leader: a request to renew the sender's lease.
    Renew {
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// When it was sent, by the sender's own clock; the answer returns it unchanged.
        stamp: Time,
    },
    /// To the leader: records to be appended to the log. A sender may propose only its own.
    #[serde(rename = "Offer")]
    Propose(Vec<Record>),
    /// To a voter: a request for the entries that follow this index. It is answered once there are any.
    #[serde(rename = "Since")]
    EntriesAfter(Index),
    /// From the leader: the incarnation was live when the renewal was requested.
    Renewed {
        /// The renewed incarnation.
        incarnation: Incarnation,
        /// The request's stamp.
        stamp: Time,
    },
    /// From a voter that does not lead: the leader, if it knows one.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<Member>),
    /// From a voter: the entries that follow an index, and the leader.
    Entries {
        /// The entries, each with its index; an entry without records is empty.
        entries: Vec<(Index, Vec<u8>)>,
        /// The leader, as far as the voter knows.
        leader: Option<Member>,
    },
    /// From a voter, to a follower that needs entries which are no longer retained: a snapshot.
    #[serde(rename = "All")]
    Snapshot {
        /// The last entry that the snapshot covers.
        index: Index,
        /// A serialized [`Ledger`](crate::Ledger).
        bytes: Vec<u8>,
    },
}

impl Message {
    /// Serializes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types to memory cannot fail.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Parses a message; `None` where the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        postcard::from_bytes(bytes).ok()
    }
}
