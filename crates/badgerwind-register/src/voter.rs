//! A voter: the consensus library with election timeouts drawn from a seed, and the duties of a leader
//! besides replication.

use crate::leases::{Leases, Renewal};
use crate::ledger::{Ledger, StateMachine};
use crate::record::{self, Record};
use crate::settings::{Incarnation, Index, Member, Settings, Time};
use crate::storage::{VoterStorage, Write};
use crate::wire::{WireEntry, WireHardState, WireMessage, WireSnapshot};
use crate::Mutant;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType};
use raft::{Config, RawNode, StateRole};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};

/// Limit on the proofs of leadership in progress; beyond it the oldest is dropped.
const MAX_PROOFS: usize = 64;
/// Limit on the queued records, in batches of `Settings::max_batch_bytes`; further records are dropped, and
/// their members propose them again.
const MAX_QUEUED_BATCHES: usize = 16;

/// The library's number of a voter.
fn id(member: Member) -> u64 {
    u64::from(member) + 1
}

/// The member with this number of the library.
pub(crate) fn member(id: u64) -> Option<Member> {
    Member::try_from(id.checked_sub(1)?).ok()
}

/// The storage of a voter of a new register.
pub(crate) fn initial_storage(voters: &[Member]) -> VoterStorage {
    VoterStorage::new(&voters.iter().map(|v| id(*v)).collect::<Vec<_>>())
}

/// A committed entry of the log.
pub(crate) struct CommittedEntry {
    pub index: Index,
    pub term: u64,
    /// The encoded records; empty for a change of voters.
    pub data: Vec<u8>,
}

/// What follows from a completed write.
pub(crate) struct Completed {
    pub messages: Vec<WireMessage>,
    /// Replaces the whole state.
    pub snapshot: Option<WireSnapshot>,
    /// Committed entries in order.
    pub committed: Vec<CommittedEntry>,
}

/// A proof, in progress, that this voter is still the leader.
struct LeadershipProof {
    number: u64,
    /// Once the proof is complete: the entry that must be applied before the renewals are granted.
    read_index: Option<Index>,
    /// The renewals that wait for it.
    renewals: Vec<Renewal>,
}

/// The serial number of an announcement, within an incarnation.
struct QueuedSerial {
    incarnation: Incarnation,
    serial: u64,
}

/// The state of a leader besides the log.
struct Leadership {
    term: u64,
    /// Present once the first entry of this leadership is committed.
    leases: Option<Leases>,
    queue: VecDeque<Record>,
    queued_bytes: usize,
    /// The last announcement of each member that was queued.
    queued_serials: BTreeMap<Member, QueuedSerial>,
    /// Renewals for which no proof has been started yet.
    renewals: Vec<Renewal>,
    proofs: VecDeque<LeadershipProof>,
    last_proof: u64,
}

/// What to do once the write in progress is durable.
struct PendingWrite {
    /// The library's number of the write; `None` for a write of a local snapshot alone.
    number: Option<u64>,
    messages: Vec<WireMessage>,
    snapshot: Option<WireSnapshot>,
    committed: Vec<Entry>,
}

/// An election timeout in ticks, and the term and role for which it was drawn.
struct ElectionTimeout {
    term: u64,
    role: StateRole,
    ticks: usize,
}

/// A voter: a replica of the log, and its leadership while it has one.
pub(crate) struct Voter {
    me: Member,
    node: RawNode<VoterStorage>,
    settings: Settings,
    rng: StdRng,
    last_tick: Time,
    election_timeout: ElectionTimeout,
    pending_write: Option<PendingWrite>,
    /// A local snapshot that has not been written yet, with the compaction of the log.
    snapshot_write: Option<Write>,
    leadership: Option<Leadership>,
    mutant: Option<Mutant>,
}

impl std::fmt::Debug for Voter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Voter")
            .field("me", &self.me)
            .field("term", &self.node.raft.term)
            .finish_non_exhaustive()
    }
}

impl Voter {
    pub(crate) fn new(
        now: Time,
        me: Member,
        storage: VoterStorage,
        settings: &Settings,
        rng: StdRng,
        mutant: Option<Mutant>,
    ) -> Voter {
        let election_ticks = settings.election_ticks as usize;
        let config = Config {
            id: id(me),
            election_tick: election_ticks,
            heartbeat_tick: (election_ticks / 4).max(1),
            applied: storage.latest_snapshot().index,
            max_size_per_msg: settings.max_batch_bytes as u64,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        // The library rejects only configurations that `Settings::validate` has rejected before.
        let node = RawNode::new(&config, storage, &logger)
            .unwrap_or_else(|e| unreachable!("validated settings: {e}"));
        let election_timeout = ElectionTimeout { term: u64::MAX, role: StateRole::Follower, ticks: 0 };
        let mut voter = Voter {
            me,
            node,
            settings: settings.clone(),
            rng,
            last_tick: now,
            election_timeout,
            pending_write: None,
            snapshot_write: None,
            leadership: None,
            mutant,
        };
        voter.set_election_timeout();
        voter
    }

    /// Replaces the election timeout that the library drew from the thread's random generator with one drawn
    /// from the seed.
    fn set_election_timeout(&mut self) {
        let (term, role) = (self.node.raft.term, self.node.raft.state);
        if (self.election_timeout.term, self.election_timeout.role) != (term, role) {
            let minimum = self.settings.election_ticks as usize;
            let ticks = self.rng.random_range(minimum..2 * minimum);
            self.election_timeout = ElectionTimeout { term, role, ticks };
        }
        self.node.raft.set_randomized_election_timeout(self.election_timeout.ticks);
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    pub(crate) fn leader(&self) -> Option<Member> {
        member(self.node.raft.leader_id)
    }

    pub(crate) fn storage(&self) -> &VoterStorage {
        self.node.store()
    }

    pub(crate) fn voters(&self) -> Vec<Member> {
        self.storage().voters().iter().filter_map(|v| member(*v)).collect()
    }

    /// Runs the ticks that are due. After a suspension of the process these are at most three, not all that
    /// were missed.
    pub(crate) fn tick<S: StateMachine>(&mut self, now: Time, ledger: &Ledger<S>) {
        let due = (now.saturating_sub(self.last_tick) / self.settings.tick).min(3);
        if due == 0 {
            return;
        }
        self.last_tick = now;
        if self.is_installing_snapshot() {
            return;
        }
        (0..due).for_each(|_| _ = self.node.tick());
        self.update_role();
        let adjusted_lease = match self.mutant {
            Some(Mutant::IgnoresDrift) => self.settings.lease,
            _ => self.settings.drift_adjusted(self.settings.lease),
        };
        let Some(leadership) = &mut self.leadership else { return };
        let Some(leases) = &mut leadership.leases else { return };
        let live = ledger.members().iter().filter(|(_, s)| !s.ended).map(|(m, s)| (*m, s.incarnation));
        for (member, incarnation) in leases.expired(now, adjusted_lease, live) {
            let record = Record::Ended { member, incarnation };
            leadership.queued_bytes += record.size();
            leadership.queue.push_back(record);
        }
        if !leadership.renewals.is_empty() {
            leadership.last_proof += 1;
            if leadership.proofs.len() >= MAX_PROOFS {
                leadership.proofs.pop_front();
            }
            leadership.proofs.push_back(LeadershipProof {
                number: leadership.last_proof,
                read_index: None,
                renewals: std::mem::take(&mut leadership.renewals),
            });
            self.node.read_index(leadership.last_proof.to_be_bytes().to_vec());
        }
    }

    /// A snapshot that replaces the whole state is being written. Until it is durable, all messages are
    /// dropped, as if they had been lost.
    fn is_installing_snapshot(&self) -> bool {
        self.pending_write.as_ref().is_some_and(|w| w.snapshot.is_some())
    }

    /// Handles the start and the end of this voter's leadership.
    fn update_role(&mut self) {
        self.set_election_timeout();
        let term = self.node.raft.term;
        if !self.is_leader() {
            self.leadership = None;
        } else if self.leadership.as_ref().is_none_or(|l| l.term != term) {
            self.leadership = Some(Leadership {
                term,
                leases: None,
                queue: VecDeque::new(),
                queued_bytes: 0,
                queued_serials: BTreeMap::new(),
                renewals: Vec::new(),
                proofs: VecDeque::new(),
                last_proof: 0,
            });
        }
    }

    /// Handles a message of the consensus protocol, unless its sender or receiver is wrong.
    pub(crate) fn on_message(&mut self, from: Member, message: WireMessage) {
        if message.from != id(from) || message.to != id(self.me) || self.is_installing_snapshot() {
            return;
        }
        if let Some(message) = message.into_raft() {
            // A message that does not fit the log or the term is ignored, as if it had been lost.
            let _ = self.node.step(message);
            self.update_role();
        }
    }

    /// Handles a renewal request; returns false where this voter is not the leader.
    pub(crate) fn on_renewal(&mut self, renewal: Renewal) -> bool {
        let max_renewals = usize::from(Member::MAX);
        let Some(leadership) = &mut self.leadership else { return false };
        if leadership.renewals.len() < max_renewals {
            leadership.renewals.push(renewal);
        }
        true
    }

    /// Handles proposed records; returns false where this voter is not the leader.
    pub(crate) fn on_proposal<S: StateMachine>(
        &mut self,
        from: Member,
        records: Vec<Record>,
        ledger: &Ledger<S>,
    ) -> bool {
        let max_queued_bytes = MAX_QUEUED_BATCHES * self.settings.max_batch_bytes;
        let Some(leadership) = &mut self.leadership else { return false };
        for record in records.into_iter().filter(|r| r.member() == from) {
            if leadership.queued_bytes + record.size() > max_queued_bytes {
                break;
            }
            let state = ledger.members().get(&from);
            let acceptable = match &record {
                Record::Join { .. } => {
                    state.is_none_or(|s| s.ended) || self.mutant == Some(Mutant::JoinsWhileLive)
                }
                Record::Ended { incarnation, .. } => ledger.is_alive(from, *incarnation),
                Record::Announce { incarnation, serial, .. } => {
                    let committed =
                        state.filter(|s| s.incarnation == *incarnation).map_or(0, |s| s.announced);
                    let queued = leadership
                        .queued_serials
                        .get(&from)
                        .filter(|queued| queued.incarnation == *incarnation)
                        .map_or(0, |queued| queued.serial);
                    let from_ended = self.mutant == Some(Mutant::AcceptsFromEndedIncarnation);
                    let any_serial =
                        matches!(self.mutant, Some(Mutant::AcceptsDuplicates | Mutant::AcceptsGaps));
                    let is_next = *serial == committed.max(queued) + 1 || any_serial;
                    if is_next {
                        leadership
                            .queued_serials
                            .insert(from, QueuedSerial { incarnation: *incarnation, serial: *serial });
                    }
                    is_next && (ledger.is_alive(from, *incarnation) || from_ended)
                }
            };
            if acceptable {
                leadership.queued_bytes += record.size();
                leadership.queue.push_back(record);
            }
        }
        true
    }

    /// Proposes to add or to remove a voter; returns false where this voter is not the leader or another
    /// change is in progress.
    pub(crate) fn change_voters(&mut self, add: bool, member: Member) -> bool {
        let kind = if add { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        let mut change = ConfChange { node_id: id(member), ..ConfChange::default() };
        change.set_change_type(kind);
        let context = [&[u8::from(add)][..], &member.to_be_bytes()].concat();
        self.is_leader() && self.node.propose_conf_change(context, change).is_ok()
    }

    /// Proposes the queued records in batches, so that the records that arrived during a write share the next
    /// one.
    fn propose_queued(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        while !leadership.queue.is_empty() {
            let (mut records, mut bytes) = (Vec::new(), 0);
            while let Some(record) = leadership.queue.pop_front() {
                bytes += record.size();
                records.push(record);
                if bytes >= self.settings.max_batch_bytes {
                    break;
                }
            }
            leadership.queued_bytes = leadership.queued_bytes.saturating_sub(bytes);
            if self.node.propose(vec![], record::encode(&records)).is_err() {
                // Rejected for now: members propose their announcements again, and expired leases are found
                // again.
                for record in records {
                    match (record, &mut leadership.leases) {
                        (Record::Ended { incarnation, .. }, Some(leases)) => leases.retry(incarnation),
                        (Record::Announce { member, .. }, _) => _ = leadership.queued_serials.remove(&member),
                        _ => {}
                    }
                }
            }
        }
    }

    /// The next write, and the messages that may be sent without waiting for it. `None` while a write is in
    /// progress, or where there is nothing to write or send.
    pub(crate) fn poll(&mut self) -> Option<(Write, Vec<WireMessage>)> {
        if self.pending_write.is_some() {
            return None;
        }
        self.propose_queued();
        let snapshot_write = self.snapshot_write.take();
        if !self.node.has_ready() {
            let snapshot_write = snapshot_write?;
            self.node.mut_store().apply(&snapshot_write);
            self.pending_write = Some(PendingWrite {
                number: None,
                messages: Vec::new(),
                snapshot: None,
                committed: Vec::new(),
            });
            return Some((snapshot_write, Vec::new()));
        }
        let mut ready = self.node.ready();
        for state in ready.take_read_states() {
            let number = state.request_ctx.as_slice().try_into().map(u64::from_be_bytes);
            let proofs = self.leadership.iter_mut().flat_map(|l| &mut l.proofs);
            if let Some(proof) = number.ok().and_then(|n| proofs.into_iter().find(|p| p.number == n)) {
                proof.read_index = Some(state.index);
            }
        }
        let snapshot_write = snapshot_write.unwrap_or_default();
        let snapshot = (!ready.snapshot().is_empty()).then(|| WireSnapshot::from_raft(ready.snapshot()));
        // A change of the commit index alone is not written: the index can be learned again from the other
        // voters.
        let before = WireHardState::from_raft(&self.node.store().hard_state());
        let hard_state = ready
            .hs()
            .map(WireHardState::from_raft)
            .filter(|h| (h.term, h.vote) != (before.term, before.vote));
        if let Some(hard_state) = ready.hs() {
            self.node.mut_store().commit(hard_state.commit);
        }
        let write = Write {
            snapshot: snapshot.clone().or(snapshot_write.snapshot),
            entries: ready.entries().iter().map(WireEntry::from_raft).collect(),
            hard_state,
            compact_to: snapshot_write.compact_to,
        };
        self.node.mut_store().apply(&write);
        let messages = ready.take_messages().iter().filter_map(WireMessage::from_raft).collect();
        self.pending_write = Some(PendingWrite {
            number: Some(ready.number()),
            messages: ready.take_persisted_messages().iter().filter_map(WireMessage::from_raft).collect(),
            snapshot,
            committed: ready.take_committed_entries(),
        });
        self.node.advance_append_async(ready);
        Some((write, messages))
    }

    /// The write in progress is durable.
    pub(crate) fn on_written<S: StateMachine>(&mut self, now: Time, ledger: &Ledger<S>) -> Option<Completed> {
        let PendingWrite { number, messages, snapshot, committed } = self.pending_write.take()?;
        if let Some(number) = number {
            self.node.on_persist_ready(number);
        }
        let applied = snapshot.as_ref().map_or(ledger.applied(), |s| s.index);
        let last = committed.last().map(|e| e.index).max(snapshot.as_ref().map(|s| s.index));
        let committed =
            committed.into_iter().filter(|e| e.index > applied).map(|e| self.on_committed(now, e)).collect();
        if let Some(last) = last {
            self.node.advance_apply_to(last);
        }
        self.update_role();
        Some(Completed { messages, snapshot, committed })
    }

    /// Applies a change of voters, and begins to grant renewals with the first entry of this leadership.
    fn on_committed(&mut self, now: Time, entry: Entry) -> CommittedEntry {
        if entry.get_entry_type() != EntryType::EntryNormal {
            if let Some((add, member)) = entry.context.split_first().filter(|(_, m)| m.len() == 2) {
                let member = Member::from_be_bytes([member[0], member[1]]);
                let kind = if *add == 1 { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
                let mut change = ConfChange { node_id: id(member), ..ConfChange::default() };
                change.set_change_type(kind);
                if let Ok(conf) = self.node.apply_conf_change(&change) {
                    self.node.mut_store().set_voters(&conf);
                }
            }
            return CommittedEntry { index: entry.index, term: entry.term, data: Vec::new() };
        }
        if let Some(leadership) =
            self.leadership.as_mut().filter(|l| l.term == entry.term && l.leases.is_none())
        {
            let since = if self.mutant == Some(Mutant::NewLeaderEndsAtOnce) { 0 } else { now };
            leadership.leases = Some(Leases::new(since));
        }
        CommittedEntry { index: entry.index, term: entry.term, data: entry.data.to_vec() }
    }

    /// The start of an incarnation was committed.
    pub(crate) fn on_began(&mut self, now: Time, member: Member, incarnation: Incarnation) {
        if let Some(leases) = self.leadership.as_mut().and_then(|l| l.leases.as_mut()) {
            leases.began(now, member, incarnation);
        }
    }

    /// The end of an incarnation was committed.
    pub(crate) fn on_ended(&mut self, member: Member, incarnation: Incarnation) {
        if let Some(leases) = self.leadership.as_mut().and_then(|l| l.leases.as_mut()) {
            leases.ended(member, incarnation);
        }
    }

    /// Grants the renewals whose proof of leadership is complete, and returns them.
    pub(crate) fn grant_renewals<S: StateMachine>(&mut self, now: Time, ledger: &Ledger<S>) -> Vec<Renewal> {
        let (unproven, ending) =
            (self.mutant == Some(Mutant::GrantsWithoutProof), self.mutant == Some(Mutant::GrantsWhileEnding));
        let mut out = Vec::new();
        let Some(leadership) = &mut self.leadership else { return out };
        let Some(leases) = &mut leadership.leases else { return out };
        while leadership
            .proofs
            .front()
            .is_some_and(|p| unproven || p.read_index.is_some_and(|i| i <= ledger.applied()))
        {
            let Some(proof) = leadership.proofs.pop_front() else { break };
            out.extend(
                proof
                    .renewals
                    .into_iter()
                    .filter(|r| leases.grant(now, r, ledger.is_alive(r.member, r.incarnation), ending)),
            );
        }
        out
    }

    /// Takes a snapshot of the ledger once enough entries were applied since the last one, so that the log
    /// can be compacted.
    pub(crate) fn take_snapshot<S: StateMachine>(&mut self, ledger: &Ledger<S>, term: u64) {
        let at = ledger.applied();
        if at < self.storage().latest_snapshot().index + self.settings.retained_entries
            || self.snapshot_write.is_some()
        {
            return;
        }
        let voters = self.storage().voters().to_vec();
        let snapshot = WireSnapshot { index: at, term, voters, data: ledger.save() };
        self.snapshot_write = Some(Write {
            snapshot: Some(snapshot),
            compact_to: Some(at.saturating_sub(self.settings.retained_entries)),
            ..Write::default()
        });
    }
}
