//! A voter: the consensus library, its patience drawn by our own seed, and what a leader does beside leading.

use crate::kept::{Kept, Write};
use crate::leases::{Ask, Leases};
use crate::ledger::{Ledger, Part};
use crate::record::{self, Record};
use crate::terms::{Index, Life, Member, Terms, Time};
use crate::wire::{EntryForm, HardForm, RaftForm, SnapshotForm};
use crate::Flaw;
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
pub(crate) fn begin(voters: &[Member]) -> Kept {
    Kept::begin(&voters.iter().map(|v| id(*v)).collect::<Vec<_>>())
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
struct Reign {
    term: u64,
    /// Known once the reign's first entry stands.
    leases: Option<Leases>,
    queue: VecDeque<Record>,
    waiting: usize,
    /// The last word of each member that is in the log or on its way there.
    offered: BTreeMap<Member, (Life, u64)>,
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
    node: RawNode<Kept>,
    terms: Terms,
    rng: StdRng,
    ticked: Time,
    /// For which term and role the patience was drawn, and the patience.
    drawn: (u64, StateRole, usize),
    writing: Option<Writing>,
    fold: Option<Write>,
    reign: Option<Reign>,
    flaw: Option<Flaw>,
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
        kept: Kept,
        terms: &Terms,
        rng: StdRng,
        flaw: Option<Flaw>,
    ) -> Voter {
        let patience = terms.patience as usize;
        let config = Config {
            id: id(me),
            election_tick: patience,
            heartbeat_tick: (patience / 4).max(1),
            applied: kept.folded().index,
            max_size_per_msg: terms.batch as u64,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        // The library refuses only figures that `Terms::check` has refused before.
        let node = RawNode::new(&config, kept, &log).unwrap_or_else(|e| unreachable!("checked terms: {e}"));
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
            reign: None,
            flaw,
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

    pub(crate) fn kept(&self) -> &Kept {
        self.node.store()
    }

    pub(crate) fn votes(&self) -> Vec<Member> {
        self.kept().voters().iter().filter_map(|v| member(*v)).collect()
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
        let outlasts = match self.flaw {
            Some(Flaw::IgnoresDrift) => self.terms.lease,
            _ => self.terms.outlasts(self.terms.lease),
        };
        let Some(reign) = &mut self.reign else { return };
        let Some(leases) = &mut reign.leases else { return };
        let living = ledger.members().iter().filter(|(_, s)| !s.over).map(|(m, s)| (*m, s.life));
        for (member, life) in leases.over(now, outlasts, living) {
            let over = Record::Over { member, life };
            reign.waiting += over.size();
            reign.queue.push_back(over);
        }
        if !reign.asks.is_empty() {
            reign.proof += 1;
            if reign.proofs.len() >= PROOFS {
                reign.proofs.pop_front();
            }
            reign.proofs.push_back((reign.proof, None, std::mem::take(&mut reign.asks)));
            self.node.read_index(reign.proof.to_be_bytes().to_vec());
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
            self.reign = None;
        } else if self.reign.as_ref().is_none_or(|r| r.term != term) {
            self.reign = Some(Reign {
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
        let Some(reign) = &mut self.reign else { return false };
        if reign.asks.len() < most {
            reign.asks.push(ask);
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
        let Some(reign) = &mut self.reign else { return false };
        for r in records.into_iter().filter(|r| r.member() == from) {
            if reign.waiting + r.size() > most {
                break;
            }
            let standing = ledger.members().get(&from);
            let fits = match &r {
                Record::Join { .. } => {
                    standing.is_none_or(|s| s.over) || self.flaw == Some(Flaw::JoinsBesideTheLiving)
                }
                Record::Over { life, .. } => ledger.lives(from, *life),
                Record::Say { life, serial, .. } => {
                    let said = standing.filter(|s| s.life == *life).map_or(0, |s| s.said);
                    let on_its_way = reign.offered.get(&from).filter(|o| o.0 == *life).map_or(0, |o| o.1);
                    let dead = self.flaw == Some(Flaw::TakesWordsOfTheDead);
                    let loose = matches!(self.flaw, Some(Flaw::TakesWordsTwice | Flaw::TakesGaps));
                    let next = *serial == said.max(on_its_way) + 1 || loose;
                    if next {
                        reign.offered.insert(from, (*life, *serial));
                    }
                    next && (ledger.lives(from, *life) || dead)
                }
            };
            if fits {
                reign.waiting += r.size();
                reign.queue.push_back(r);
            }
        }
        true
    }

    /// Another voter, or one less. One at a time; the leader's word alone.
    pub(crate) fn change(&mut self, add: bool, who: Member) -> bool {
        let kind = if add { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        let mut change = ConfChange { node_id: id(who), ..ConfChange::default() };
        change.set_change_type(kind);
        let context = [&[u8::from(add)][..], &who.to_be_bytes()].concat();
        self.leads() && self.node.propose_conf_change(context, change).is_ok()
    }

    /// What waits goes into the log together: what came while the disk was busy shares its next write.
    fn batch(&mut self) {
        let Some(reign) = &mut self.reign else { return };
        while !reign.queue.is_empty() {
            let (mut records, mut bytes) = (Vec::new(), 0);
            while let Some(r) = reign.queue.pop_front() {
                bytes += r.size();
                records.push(r);
                if bytes >= self.terms.batch {
                    break;
                }
            }
            reign.waiting = reign.waiting.saturating_sub(bytes);
            if self.node.propose(vec![], record::write(&records)).is_err() {
                // Refused for now: members offer theirs again, and ends are found again.
                for r in records {
                    match (r, &mut reign.leases) {
                        (Record::Over { life, .. }, Some(leases)) => leases.again(life),
                        (Record::Say { member, .. }, _) => _ = reign.offered.remove(&member),
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
            let proofs = self.reign.iter_mut().flat_map(|r| &mut r.proofs);
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
        if let Some(reign) = self.reign.as_mut().filter(|r| r.term == e.term && r.leases.is_none()) {
            let since = if self.flaw == Some(Flaw::NewLeaderEndsAtOnce) { 0 } else { now };
            reign.leases = Some(Leases::new(since));
        }
        (e.index, e.term, e.data.to_vec())
    }

    /// A life began, or stands as ended.
    pub(crate) fn began(&mut self, now: Time, member: Member, life: Life) {
        if let Some(leases) = self.reign.as_mut().and_then(|r| r.leases.as_mut()) {
            leases.began(now, member, life);
        }
    }

    pub(crate) fn ended(&mut self, member: Member, life: Life) {
        if let Some(leases) = self.reign.as_mut().and_then(|r| r.leases.as_mut()) {
            leases.ended(member, life);
        }
    }

    /// Asks that are proven by now, and may be granted.
    pub(crate) fn grants<P: Part>(&mut self, now: Time, ledger: &Ledger<P>) -> Vec<Ask> {
        let (unproven, ending) =
            (self.flaw == Some(Flaw::GrantsWithoutProof), self.flaw == Some(Flaw::GrantsWhatItEnds));
        let mut out = Vec::new();
        let Some(reign) = &mut self.reign else { return out };
        let Some(leases) = &mut reign.leases else { return out };
        while reign.proofs.front().is_some_and(|p| unproven || p.1.is_some_and(|i| i <= ledger.applied())) {
            let Some((.., asks)) = reign.proofs.pop_front() else { break };
            out.extend(
                asks.into_iter().filter(|a| leases.proven(now, a, ledger.lives(a.member, a.life), ending)),
            );
        }
        out
    }

    /// All that stands is folded into one, so that the log may be cut.
    pub(crate) fn fold<P: Part>(&mut self, ledger: &Ledger<P>, term: u64) {
        let at = ledger.applied();
        if at < self.kept().folded().index + self.terms.kept || self.fold.is_some() {
            return;
        }
        let voters = self.kept().voters().to_vec();
        let snapshot = SnapshotForm { index: at, term, voters, data: ledger.save() };
        self.fold = Some(Write {
            snapshot: Some(snapshot),
            cut: Some(at.saturating_sub(self.terms.kept)),
            ..Write::default()
        });
    }
}
