//! Serializable counterparts of the consensus library's types. The library's own codec (protobuf 2) is never
//! given bytes from a socket or a disk: they are parsed by `postcard` into these types, whose nesting depth
//! is bounded. RUSTSEC-2024-0437 is a stack overflow of protobuf 2 on deeply nested messages.

use raft::eraftpb::{self, ConfState, Entry, EntryType, HardState, MessageType, Snapshot};
use serde::{Deserialize, Serialize};

/// The messages that voters send each other. The position in this list is the number on the wire.
const KINDS: [MessageType; 11] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgTimeoutNow,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgTransferLeader,
];

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEntry {
    pub(crate) index: u64,
    pub(crate) term: u64,
    /// 0: records; 1 and 2: a change of voters.
    kind: u8,
    pub(crate) data: Vec<u8>,
    /// The change of voters, as encoded by `Voter::change_voters`; otherwise empty.
    context: Vec<u8>,
}

/// A snapshot of the state after an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSnapshot {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) voters: Vec<u64>,
    pub(crate) data: Vec<u8>,
}

/// The persistent state of a voter besides its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHardState {
    pub(crate) term: u64,
    pub(crate) vote: u64,
    pub(crate) commit: u64,
}

/// A message between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireMessage {
    kind: u8,
    pub(crate) to: u64,
    pub(crate) from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<WireEntry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<WireSnapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

impl WireEntry {
    pub(crate) fn from_raft(entry: &Entry) -> WireEntry {
        let kind = match entry.get_entry_type() {
            EntryType::EntryNormal => 0,
            EntryType::EntryConfChange => 1,
            EntryType::EntryConfChangeV2 => 2,
        };
        WireEntry {
            index: entry.index,
            term: entry.term,
            kind,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }

    pub(crate) fn into_raft(self) -> Entry {
        let WireEntry { index, term, data, context, .. } = self;
        let mut entry = Entry { index, term, data: data.into(), context: context.into(), ..Entry::default() };
        entry.set_entry_type(match self.kind {
            1 => EntryType::EntryConfChange,
            2 => EntryType::EntryConfChangeV2,
            _ => EntryType::EntryNormal,
        });
        entry
    }
}

impl WireSnapshot {
    pub(crate) fn from_raft(snapshot: &Snapshot) -> WireSnapshot {
        let meta = snapshot.get_metadata();
        let voters = meta.get_conf_state().voters.clone();
        WireSnapshot { index: meta.index, term: meta.term, voters, data: snapshot.data.to_vec() }
    }

    pub(crate) fn to_raft(&self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.data.clone().into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(ConfState { voters: self.voters.clone(), ..ConfState::default() });
        snapshot
    }
}

impl WireHardState {
    pub(crate) fn from_raft(state: &HardState) -> WireHardState {
        WireHardState { term: state.term, vote: state.vote, commit: state.commit }
    }

    pub(crate) fn into_raft(self) -> HardState {
        HardState { term: self.term, vote: self.vote, commit: self.commit, ..HardState::default() }
    }
}

impl WireMessage {
    /// Converts a message of the library; `None` for the kinds that never leave a process.
    pub(crate) fn from_raft(message: &eraftpb::Message) -> Option<WireMessage> {
        let kind = KINDS.iter().position(|k| *k == message.get_msg_type())? as u8;
        Some(WireMessage {
            kind,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.get_entries().iter().map(WireEntry::from_raft).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: message.has_snapshot().then(|| WireSnapshot::from_raft(message.get_snapshot())),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    /// Converts to a message of the library; `None` for an unknown kind.
    pub(crate) fn into_raft(self) -> Option<eraftpb::Message> {
        let mut message = eraftpb::Message {
            to: self.to,
            from: self.from,
            term: self.term,
            log_term: self.log_term,
            index: self.index,
            commit: self.commit,
            commit_term: self.commit_term,
            request_snapshot: self.request_snapshot,
            reject: self.reject,
            reject_hint: self.reject_hint,
            context: self.context.into(),
            priority: self.priority,
            ..eraftpb::Message::default()
        };
        message.set_msg_type(*KINDS.get(usize::from(self.kind))?);
        message.set_entries(self.entries.into_iter().map(WireEntry::into_raft).collect::<Vec<_>>().into());
        if let Some(snapshot) = self.snapshot {
            message.set_snapshot(snapshot.to_raft());
        }
        Some(message)
    }
}
