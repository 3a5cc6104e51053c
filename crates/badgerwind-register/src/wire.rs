//! The consensus library's messages in a form of our own. Its codec (protobuf 2) never sees a byte from a socket or a disk:
//! what comes is read by `postcard` into these types, whose depth is bounded (RUSTSEC-2024-0437 is of nested messages).

use raft::eraftpb::{self, ConfState, Entry, EntryType, HardState, MessageType, Snapshot};
use serde::{Deserialize, Serialize};

/// Messages that voters send each other, in the order of their numbers on the wire.
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
pub struct EntryForm {
    pub(crate) index: u64,
    pub(crate) term: u64,
    /// 0 records, 1 and 2 changes of voters.
    kind: u8,
    pub(crate) data: Vec<u8>,
    /// Of a change of voters: the change, in our form.
    context: Vec<u8>,
}

/// All that stands up to an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotForm {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) voters: Vec<u64>,
    pub(crate) data: Vec<u8>,
}

/// What a voter must not forget beside the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardForm {
    pub(crate) term: u64,
    pub(crate) vote: u64,
    pub(crate) commit: u64,
}

/// A message between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftForm {
    kind: u8,
    pub(crate) to: u64,
    pub(crate) from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<EntryForm>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<SnapshotForm>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

impl EntryForm {
    pub(crate) fn of(e: &Entry) -> EntryForm {
        let kind = match e.get_entry_type() {
            EntryType::EntryNormal => 0,
            EntryType::EntryConfChange => 1,
            EntryType::EntryConfChangeV2 => 2,
        };
        EntryForm { index: e.index, term: e.term, kind, data: e.data.to_vec(), context: e.context.to_vec() }
    }

    pub(crate) fn entry(self) -> Entry {
        let EntryForm { index, term, data, context, .. } = self;
        let mut e = Entry { index, term, data: data.into(), context: context.into(), ..Entry::default() };
        e.set_entry_type(match self.kind {
            1 => EntryType::EntryConfChange,
            2 => EntryType::EntryConfChangeV2,
            _ => EntryType::EntryNormal,
        });
        e
    }
}

impl SnapshotForm {
    pub(crate) fn of(s: &Snapshot) -> SnapshotForm {
        let meta = s.get_metadata();
        let voters = meta.get_conf_state().voters.clone();
        SnapshotForm { index: meta.index, term: meta.term, voters, data: s.data.to_vec() }
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let mut s = Snapshot { data: self.data.clone().into(), ..Snapshot::default() };
        let meta = s.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(ConfState { voters: self.voters.clone(), ..ConfState::default() });
        s
    }
}

impl HardForm {
    pub(crate) fn of(h: &HardState) -> HardForm {
        HardForm { term: h.term, vote: h.vote, commit: h.commit }
    }

    pub(crate) fn hard(self) -> HardState {
        HardState { term: self.term, vote: self.vote, commit: self.commit, ..HardState::default() }
    }
}

impl RaftForm {
    /// `None` for what never leaves a process.
    pub(crate) fn of(m: &eraftpb::Message) -> Option<RaftForm> {
        let kind = KINDS.iter().position(|k| *k == m.get_msg_type())? as u8;
        Some(RaftForm {
            kind,
            to: m.to,
            from: m.from,
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            entries: m.get_entries().iter().map(EntryForm::of).collect(),
            commit: m.commit,
            commit_term: m.commit_term,
            snapshot: m.has_snapshot().then(|| SnapshotForm::of(m.get_snapshot())),
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
            priority: m.priority,
        })
    }

    /// `None` for a kind that is not known.
    pub(crate) fn message(self) -> Option<eraftpb::Message> {
        let mut m = eraftpb::Message {
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
        m.set_msg_type(*KINDS.get(usize::from(self.kind))?);
        m.set_entries(self.entries.into_iter().map(EntryForm::entry).collect::<Vec<_>>().into());
        if let Some(s) = self.snapshot {
            m.set_snapshot(s.snapshot());
        }
        Some(m)
    }
}
