//! A voter: the consensus library, its patience drawn by our own seed, and what a leader does beside leading.

use crate::leases::{Ask, Leases};
use crate::ledger::{Ledger, Part};
use crate::record::{self, Record};
use crate::storage::{VoterStorage, Write};
use crate::terms::{Incarnation, Index, Member, Terms, Time};
use crate::wire::{EntryForm, HardForm, RaftForm, SnapshotForm};
use crate::Mutant;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType};
use raft::{Config, RawNode, StateRole};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};

/// Proofs of leading that are under way at the most; of more, the oldest is given up.
const PROOFS: usize = 64;
/// Records that wait for the disk, in batches; more are turned away, and offered again.
const WAITING: usize = 16;

/// The library's number of a voter.
fn id(member: Member) -> u64 {
    u64::from(member) + 1
}

/// Whose number it is.
pub(crate) fn member(id: u64) -> Option<Member> {
    Member::try_from(id.checked_sub(1)?).ok()
}

/// The memory of a voter with which the register begins.
pub(crate) fn begin(voters: &[Member]) -> VoterStorage {
    VoterStorage::begin(&voters.iter().map(|v| id(*v)).collect::<Vec<_>>())
}

/// What followed from a write that is done.
pub(crate) struct Done {
    pub send: Vec<RaftForm>,
    /// Takes the place of all before.
    pub all: Option<SnapshotForm>,
    /// Entries that stand, in order, each with its term.
    pub stand: Vec<(Index, u64, Vec<u8>)>,
}

/// What a leader has beside its log.
struct Leadership {
    term: u64,
    /// Known once the leadership's first entry stands.
    leases: Option<Leases>,
    queue: VecDeque<Record>,
    waiting: usize,
    /// The last announcement of each member that is in the log or on its way there.
    offered: BTreeMap<Member, (Incarnation, u64)>,
    asks: Vec<Ask>,
    /// Asks whose proof is under way, by its number; with the entry that has to be applied once it is there.
    proofs: VecDeque<(u64, Option<Index>, Vec<Ask>)>,
    proof: u64,
}

/// What follows once a write is on the disk.
struct Writing {
    /// The library's number of what it waits for; nothing for a fold.
    number: Option<u64>,
    send: Vec<RaftForm>,
    all: Option<SnapshotForm>,
    stand: Vec<Entry>,
}

pub(crate) struct Voter {
    me: Member,
    node: RawNode<VoterStorage>,
    terms: Terms,
    rng: StdRng,
    ticked: Time,
    /// For which term and role the patience was drawn, and the patience.
    drawn: (u64, StateRole, usize),
    writing: Option<Writing>,
    fold: Option<Write>,
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
        terms: &Terms,
        rng: StdRng,
        mutant: Option<Mutant>,
    ) -> Voter {
        let patience = terms.patience as usize;
        let config = Config {
            id: id(me),
            election_tick: patience,
            heartbeat_tick: (patience / 4).max(1),
            applied: storage.folded().index,
            max_size_per_msg: terms.batch as u64,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        // The library refuses only figures that `Terms::check` has refused before.
        let node =
            RawNode::new(&config, storage, &log).unwrap_or_else(|e| unreachable!("checked terms: {e}"));
        let drawn = (u64::MAX, StateRole::Follower, 0);
        let mut v = Voter {
            me,
            node,
            terms: terms.clone(),
            rng,
            ticked: now,
            drawn,
            writing: None,
            fold: None,
            leadership: None,
            mutant,
        };
        v.draw();
        v
    }

    /// The library draws its patience from the thread's chance; ours comes from the seed.
    fn draw(&mut self) {
        let (term, role) = (self.node.raft.term, self.node.raft.state);
        if (self.drawn.0, self.drawn.1) != (term, role) {
            let least = self.terms.patience as usize;
            self.drawn = (term, role, self.rng.random_range(least..2 * least));
        }
        self.node.raft.set_randomized_election_timeout(self.drawn.2);
    }

    pub(crate) fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    pub(crate) fn leader(&self) -> Option<Member> {
        member(self.node.raft.leader_id)
    }

    pub(crate) fn storage(&self) -> &VoterStorage {
        self.node.store()
    }

    pub(crate) fn votes(&self) -> Vec<Member> {
        self.storage().voters().iter().filter_map(|v| member(*v)).collect()
    }

    /// Time passes, a tick for each that is due; after a stop a few, not all that were missed.
    pub(crate) fn tick<P: Part>(&mut self, now: Time, ledger: &Ledger<P>) {
        let due = (now.saturating_sub(self.ticked) / self.terms.tick).min(3);
        if due == 0 {
            return;
        }
        self.ticked = now;
        if self.replaced() {
            return;
        }
        (0..due).for_each(|_| _ = self.node.tick());
        self.role();
        let outlasts = match self.mutant {
            Some(Mutant::IgnoresDrift) => self.terms.lease,
            _ => self.terms.outlasts(self.terms.lease),
        };
        let Some(leadership) = &mut self.leadership else { return };
        let Some(leases) = &mut leadership.leases else { return };
        let living = ledger.members().iter().filter(|(_, s)| !s.ended).map(|(m, s)| (*m, s.incarnation));
        for (member, incarnation) in leases.over(now, outlasts, living) {
            let over = Record::Ended { member, incarnation };
            leadership.waiting += over.size();
            leadership.queue.push_back(over);
        }
        if !leadership.asks.is_empty() {
            leadership.proof += 1;
            if leadership.proofs.len() >= PROOFS {
                leadership.proofs.pop_front();
            }
            leadership.proofs.push_back((leadership.proof, None, std::mem::take(&mut leadership.asks)));
            self.node.read_index(leadership.proof.to_be_bytes().to_vec());
        }
    }

    /// All that stands is being replaced: until that is on the disk nothing is heard, as if it had been lost.
    fn replaced(&self) -> bool {
        self.writing.as_ref().is_some_and(|w| w.all.is_some())
    }

    /// Whether this voter has begun to lead, or has ceased.
    fn role(&mut self) {
        self.draw();
        let term = self.node.raft.term;
        if !self.leads() {
            self.leadership = None;
        } else if self.leadership.as_ref().is_none_or(|r| r.term != term) {
            self.leadership = Some(Leadership {
                term,
                leases: None,
                queue: VecDeque::new(),
                waiting: 0,
                offered: BTreeMap::new(),
                asks: Vec::new(),
                proofs: VecDeque::new(),
                proof: 0,
            });
        }
    }

    pub(crate) fn heard(&mut self, from: Member, form: RaftForm) {
        if form.from != id(from) || form.to != id(self.me) || self.replaced() {
            return;
        }
        if let Some(message) = form.message() {
            // What does not fit the log or the term is passed over, as if it had been lost.
            let _ = self.node.step(message);
            self.role();
        }
    }

    /// A member's ask, and a member's records; false where this voter does not lead.
    pub(crate) fn asked(&mut self, ask: Ask) -> bool {
        let most = usize::from(Member::MAX);
        let Some(leadership) = &mut self.leadership else { return false };
        if leadership.asks.len() < most {
            leadership.asks.push(ask);
        }
        true
    }

    pub(crate) fn offered<P: Part>(
        &mut self,
        from: Member,
        records: Vec<Record>,
        ledger: &Ledger<P>,
    ) -> bool {
        let most = WAITING * self.terms.batch;
        let Some(leadership) = &mut self.leadership else { return false };
        for r in records.into_iter().filter(|r| r.member() == from) {
            if leadership.waiting + r.size() > most {
                break;
            }
            let standing = ledger.members().get(&from);
            let fits = match &r {
                Record::Join { .. } => {
                    standing.is_none_or(|s| s.ended) || self.mutant == Some(Mutant::JoinsBesideTheLiving)
                }
                Record::Ended { incarnation, .. } => ledger.is_alive(from, *incarnation),
                Record::Announce { incarnation, serial, .. } => {
                    let said = standing.filter(|s| s.incarnation == *incarnation).map_or(0, |s| s.announced);
                    let on_its_way =
                        leadership.offered.get(&from).filter(|o| o.0 == *incarnation).map_or(0, |o| o.1);
                    let dead = self.mutant == Some(Mutant::TakesWordsOfTheDead);
                    let loose = matches!(self.mutant, Some(Mutant::TakesWordsTwice | Mutant::TakesGaps));
                    let next = *serial == said.max(on_its_way) + 1 || loose;
                    if next {
                        leadership.offered.insert(from, (*incarnation, *serial));
                    }
                    next && (ledger.is_alive(from, *incarnation) || dead)
                }
            };
            if fits {
                leadership.waiting += r.size();
                leadership.queue.push_back(r);
            }
        }
        true
    }

    /// Another voter, or one less. One at a time; the leader's announcement alone.
    pub(crate) fn change(&mut self, add: bool, who: Member) -> bool {
        let kind = if add { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        let mut change = ConfChange { node_id: id(who), ..ConfChange::default() };
        change.set_change_type(kind);
        let context = [&[u8::from(add)][..], &who.to_be_bytes()].concat();
        self.leads() && self.node.propose_conf_change(context, change).is_ok()
    }

    /// What waits goes into the log together: what came while the disk was busy shares its next write.
    fn batch(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        while !leadership.queue.is_empty() {
            let (mut records, mut bytes) = (Vec::new(), 0);
            while let Some(r) = leadership.queue.pop_front() {
                bytes += r.size();
                records.push(r);
                if bytes >= self.terms.batch {
                    break;
                }
            }
            leadership.waiting = leadership.waiting.saturating_sub(bytes);
            if self.node.propose(vec![], record::write(&records)).is_err() {
                // Refused for now: members offer theirs again, and ends are found again.
                for r in records {
                    match (r, &mut leadership.leases) {
                        (Record::Ended { incarnation, .. }, Some(leases)) => leases.again(incarnation),
                        (Record::Announce { member, .. }, _) => _ = leadership.offered.remove(&member),
                        _ => {}
                    }
                }
            }
        }
    }

    /// What has to be on the disk next, and what may go out at once. Nothing while a write is under way.
    pub(crate) fn poll(&mut self) -> Option<(Write, Vec<RaftForm>)> {
        if self.writing.is_some() {
            return None;
        }
        self.batch();
        let fold = self.fold.take();
        if !self.node.has_ready() {
            let fold = fold?;
            self.node.mut_store().take(&fold);
            self.writing = Some(Writing { number: None, send: Vec::new(), all: None, stand: Vec::new() });
            return Some((fold, Vec::new()));
        }
        let mut ready = self.node.ready();
        for state in ready.take_read_states() {
            let number = state.request_ctx.as_slice().try_into().map(u64::from_be_bytes);
            let proofs = self.leadership.iter_mut().flat_map(|r| &mut r.proofs);
            if let Some(p) = number.ok().and_then(|n| proofs.into_iter().find(|p| p.0 == n)) {
                p.1 = Some(state.index);
            }
        }
        let fold = fold.unwrap_or_default();
        let all = (!ready.snapshot().is_empty()).then(|| SnapshotForm::of(ready.snapshot()));
        // How far entries stand is found again without the disk.
        let before = HardForm::of(&self.node.store().hard());
        let hard = ready.hs().map(HardForm::of).filter(|h| (h.term, h.vote) != (before.term, before.vote));
        if let Some(hs) = ready.hs() {
            self.node.mut_store().commit(hs.commit);
        }
        let write = Write {
            snapshot: all.clone().or(fold.snapshot),
            entries: ready.entries().iter().map(EntryForm::of).collect(),
            hard,
            cut: fold.cut,
        };
        self.node.mut_store().take(&write);
        let send = ready.take_messages().iter().filter_map(RaftForm::of).collect();
        self.writing = Some(Writing {
            number: Some(ready.number()),
            send: ready.take_persisted_messages().iter().filter_map(RaftForm::of).collect(),
            all,
            stand: ready.take_committed_entries(),
        });
        self.node.advance_append_async(ready);
        Some((write, send))
    }

    /// The write is on the disk.
    pub(crate) fn written<P: Part>(&mut self, now: Time, ledger: &Ledger<P>) -> Option<Done> {
        let Writing { number, send, all, stand } = self.writing.take()?;
        if let Some(number) = number {
            self.node.on_persist_ready(number);
        }
        let from = all.as_ref().map_or(ledger.applied(), |s| s.index);
        let last = stand.last().map(|e| e.index).max(all.as_ref().map(|s| s.index));
        let stand = stand.into_iter().filter(|e| e.index > from).map(|e| self.stands(now, e)).collect();
        if let Some(last) = last {
            self.node.advance_apply_to(last);
        }
        self.role();
        Some(Done { send, all, stand })
    }

    fn stands(&mut self, now: Time, e: Entry) -> (Index, u64, Vec<u8>) {
        if e.get_entry_type() != EntryType::EntryNormal {
            if let Some((add, who)) = e.context.split_first().filter(|(_, who)| who.len() == 2) {
                let who = Member::from_be_bytes([who[0], who[1]]);
                let kind = if *add == 1 { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
                let mut change = ConfChange { node_id: id(who), ..ConfChange::default() };
                change.set_change_type(kind);
                if let Ok(conf) = self.node.apply_conf_change(&change) {
                    self.node.mut_store().set_voters(&conf);
                }
            }
            return (e.index, e.term, Vec::new());
        }
        if let Some(leadership) = self.leadership.as_mut().filter(|r| r.term == e.term && r.leases.is_none())
        {
            let since = if self.mutant == Some(Mutant::NewLeaderEndsAtOnce) { 0 } else { now };
            leadership.leases = Some(Leases::new(since));
        }
        (e.index, e.term, e.data.to_vec())
    }

    /// An incarnation began, or stands as ended.
    pub(crate) fn began(&mut self, now: Time, member: Member, incarnation: Incarnation) {
        if let Some(leases) = self.leadership.as_mut().and_then(|r| r.leases.as_mut()) {
            leases.began(now, member, incarnation);
        }
    }

    pub(crate) fn ended(&mut self, member: Member, incarnation: Incarnation) {
        if let Some(leases) = self.leadership.as_mut().and_then(|r| r.leases.as_mut()) {
            leases.ended(member, incarnation);
        }
    }

    /// Asks that are proven by now, and may be granted.
    pub(crate) fn grants<P: Part>(&mut self, now: Time, ledger: &Ledger<P>) -> Vec<Ask> {
        let (unproven, ending) =
            (self.mutant == Some(Mutant::GrantsWithoutProof), self.mutant == Some(Mutant::GrantsWhatItEnds));
        let mut out = Vec::new();
        let Some(leadership) = &mut self.leadership else { return out };
        let Some(leases) = &mut leadership.leases else { return out };
        while leadership
            .proofs
            .front()
            .is_some_and(|p| unproven || p.1.is_some_and(|i| i <= ledger.applied()))
        {
            let Some((.., asks)) = leadership.proofs.pop_front() else { break };
            out.extend(
                asks.into_iter()
                    .filter(|a| leases.proven(now, a, ledger.is_alive(a.member, a.incarnation), ending)),
            );
        }
        out
    }

    /// All that stands is folded into one, so that the log may be cut.
    pub(crate) fn fold<P: Part>(&mut self, ledger: &Ledger<P>, term: u64) {
        let at = ledger.applied();
        if at < self.storage().folded().index + self.terms.retained || self.fold.is_some() {
            return;
        }
        let voters = self.storage().voters().to_vec();
        let snapshot = SnapshotForm { index: at, term, voters, data: ledger.save() };
        self.fold = Some(Write {
            snapshot: Some(snapshot),
            cut: Some(at.saturating_sub(self.terms.retained)),
            ..Write::default()
        });
    }
}
