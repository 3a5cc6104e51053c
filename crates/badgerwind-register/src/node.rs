//! A member of the register: its session, its replica of the ledger, and a voter if it is one.

use crate::leases::Renewal;
use crate::ledger::{Event, Ledger, StateMachine};
use crate::message::Message;
use crate::record::{self, Record};
use crate::session::{AnnounceError, Session};
use crate::settings::{Incarnation, Index, Member, Settings, SettingsError, Time};
use crate::storage::{VoterStorage, Write};
use crate::voter::{self, CommittedEntry, Voter};
use crate::Mutant;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The parameters with which a member starts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its number.
    pub me: Member,
    /// Its zone.
    pub zone: u8,
    /// Seed for its nonces and election timeouts; it must differ at each start.
    pub seed: u64,
    /// The settings of the register.
    pub settings: Settings,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. The caller must give this input several times per [`Settings::tick`].
    Tick,
    /// A message arrived from a member; the transport has authenticated the sender.
    Received(Member, Message),
    /// The last [`Output::Write`] is durable.
    Written,
}

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a member; it may be lost.
    Send(Member, Message),
    /// Write to the disk and give [`Input::Written`] once that is durable. No other write is requested
    /// before.
    Write(Write),
    /// Applying this entry caused an event.
    Event(Index, Event),
    /// This member's incarnation has ended, and this number of its announcements was not committed. The
    /// member requests a new incarnation by itself.
    IncarnationLost(usize),
    /// An entry's record version is unknown, so this member stops applying the log. A newer program is
    /// needed.
    UnknownRecordVersion(Index),
}

/// A member's view of the voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Whether this member is the leader.
    pub is_leader: bool,
    /// The leader, as far as this member knows.
    pub leader: Option<Member>,
    /// The current voters; empty where this member is not a voter.
    pub voters: Vec<Member>,
}

/// A member of the register.
#[derive(Debug)]
pub struct Node<S> {
    me: Member,
    settings: Settings,
    ledger: Ledger<S>,
    session: Session,
    voter: Option<Voter>,
    rng: StdRng,
    /// Followers that wait for the entries after an index.
    waiting: BTreeMap<Member, Index>,
    /// The term of the last entry applied.
    term: u64,
    /// An entry's record version is unknown, so no further entries are applied.
    stuck: bool,
    mutant: Option<Mutant>,
}

impl<S: StateMachine> Node<S> {
    /// A member that is not a voter.
    pub fn follower(setup: Setup, state_machine: S) -> Result<Node<S>, SettingsError> {
        setup.settings.validate()?;
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let session = Session::new(setup.me, setup.zone, rng.random());
        let (me, settings) = (setup.me, setup.settings);
        Ok(Node {
            me,
            settings,
            ledger: Ledger::new(state_machine),
            session,
            voter: None,
            rng,
            waiting: BTreeMap::new(),
            term: 0,
            stuck: false,
            mutant: None,
        })
    }

    /// A voter, with the storage read from its disk; before the first start that is
    /// [`Node::initial_storage`].
    pub fn voter(
        now: Time,
        setup: Setup,
        storage: VoterStorage,
        state_machine: S,
    ) -> Result<Node<S>, SettingsError> {
        let mut node = Node::follower(setup, state_machine)?;
        if storage.latest_snapshot().index > 0 {
            node.ledger.load(&storage.latest_snapshot().data);
        }
        let rng = StdRng::seed_from_u64(node.rng.random());
        node.voter = Some(Voter::new(now, node.me, storage, &node.settings, rng, None));
        Ok(node)
    }

    /// The storage of each first voter before the register's first start, and of a voter that is added later.
    /// The log starts with the first voters and contains all changes of them since. An added voter that
    /// started with an empty list would consider itself the only voter as soon as it read the entry that
    /// added it.
    pub fn initial_storage(settings: &Settings) -> VoterStorage {
        voter::initial_storage(&settings.voters)
    }

    #[doc(hidden)]
    pub fn with_mutant(mut self, now: Time, mutant: Option<Mutant>) -> Node<S> {
        self.mutant = mutant;
        self.ledger = self.ledger.with_mutant(mutant);
        if let Some(storage) = self.voter.as_ref().map(|voter| voter.storage().clone()) {
            let rng = StdRng::seed_from_u64(self.rng.random());
            self.voter = Some(Voter::new(now, self.me, storage, &self.settings, rng, mutant));
        }
        self
    }

    /// The replicated state, as far as this member has applied the log.
    pub fn ledger(&self) -> &Ledger<S> {
        &self.ledger
    }

    /// The incarnation in which this member may act at this moment, by its own clock. It must be checked at
    /// the moment of an effect.
    pub fn live_incarnation(&self, now: Time) -> Option<Incarnation> {
        self.session.live_incarnation(now)
    }

    /// When the lease expires if it is not renewed, by this member's own clock.
    pub fn lease_end(&self) -> Time {
        self.session.lease_end()
    }

    /// The number of announcements made in this incarnation so far, committed or not; 0 for any but the
    /// current incarnation.
    pub fn announced(&self, incarnation: Incarnation) -> u64 {
        self.session.announced(incarnation)
    }

    /// This member's view of the voters.
    pub fn view(&self) -> View {
        match &self.voter {
            Some(voter) => {
                View { is_leader: voter.is_leader(), leader: voter.leader(), voters: voter.voters() }
            }
            None => View { is_leader: false, leader: self.session.leader, voters: Vec::new() },
        }
    }

    /// Adds or removes a voter. Changes are made one at a time: returns false where this member is not the
    /// leader, or another change is in progress.
    pub fn change_voters(&mut self, now: Time, add: bool, member: Member, out: &mut Vec<Output>) -> bool {
        let proposed = self.voter.as_mut().is_some_and(|voter| voter.change_voters(add, member));
        self.advance_voter(now, out);
        proposed
    }

    /// Announces something to the state machine. [`Event::Announced`] with the returned serial number reports
    /// that it is committed; if this incarnation ends before that, it never will be.
    pub fn announce(
        &mut self,
        now: Time,
        bytes: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<(Incarnation, u64), AnnounceError> {
        let announced = self.session.announce(now, &self.settings, bytes)?;
        let newest = self.session.propose_newest(&self.settings);
        newest.into_iter().for_each(|(to, message)| self.send(now, to, message, out));
        self.advance_voter(now, out);
        Ok(announced)
    }

    /// This member leaves: it proposes the end of its own incarnation, and from this moment on does nothing
    /// in it.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(incarnation) = self.session.incarnation.filter(|_| !self.session.ended) else { return };
        self.session.ended = true;
        let proposal = Message::Propose(vec![Record::Ended { member: self.me, incarnation }]);
        let to: Vec<Member> = self.session.leader.map_or(self.settings.voters.clone(), |l| vec![l]);
        to.into_iter().for_each(|to| self.send(now, to, proposal.clone(), out));
        self.advance_voter(now, out);
    }

    /// Processes an input, and appends the actions to perform.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.on_tick(now, out),
            Input::Received(from, message) => self.on_message(now, from, message, out),
            Input::Written => self.on_written(now, out),
        }
        self.advance_voter(now, out);
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(voter) = &mut self.voter {
            voter.tick(now, &self.ledger);
            if let Some(leader) = voter.leader() {
                self.session.leader = Some(leader);
            }
        }
        let messages = self.session.heartbeat(now, &self.settings, self.ledger.applied());
        for (to, message) in messages {
            if self.voter.is_none() || !matches!(message, Message::EntriesAfter(_)) {
                self.send(now, to, message, out);
            }
        }
        self.send_entries(out);
    }

    /// Processes a message to this member itself at once; sends any other.
    fn send(&mut self, now: Time, to: Member, message: Message, out: &mut Vec<Output>) {
        if to == self.me {
            self.on_message(now, to, message, out);
        } else {
            out.push(Output::Send(to, message));
        }
    }

    /// Answers the followers that wait for new entries. It runs once per tick and not once per entry.
    fn send_entries(&mut self, out: &mut Vec<Output>) {
        let Some(voter) = &self.voter else { return };
        let (applied, leader) = (self.ledger.applied(), voter.leader());
        let due: Vec<(Member, Index)> = self
            .waiting
            .iter()
            .filter(|(_, after)| **after < applied)
            .map(|(member, after)| (*member, *after))
            .collect();
        let mut snapshot = None;
        for (member, after) in due {
            self.waiting.remove(&member);
            let message = match voter.storage().entries_after(after, applied, self.settings.max_batch_bytes) {
                Some(entries) => Message::Entries { entries, leader },
                None => {
                    let bytes = snapshot.get_or_insert_with(|| self.ledger.save()).clone();
                    Message::Snapshot { index: applied, bytes }
                }
            };
            out.push(Output::Send(member, message));
        }
    }

    fn on_message(&mut self, now: Time, from: Member, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Raft(message) => {
                if let Some(voter) = &mut self.voter {
                    voter.on_message(from, *message);
                }
            }
            Message::Renew { incarnation, stamp } => {
                let Some(voter) = &mut self.voter else { return };
                if !voter.on_renewal(Renewal { member: from, incarnation, stamp }) {
                    let leader = voter.leader();
                    self.send(now, from, Message::NotLeader(leader), out);
                }
            }
            Message::Propose(records) => {
                let Some(voter) = &mut self.voter else { return };
                if !voter.on_proposal(from, records, &self.ledger) {
                    let leader = voter.leader();
                    self.send(now, from, Message::NotLeader(leader), out);
                }
            }
            Message::EntriesAfter(index) => {
                if self.voter.is_some() {
                    self.waiting.insert(from, index);
                }
            }
            Message::Renewed { incarnation, stamp } => {
                self.session.on_renewed(now, incarnation, stamp, self.settings.lease, self.mutant);
                self.session.leader = Some(from);
            }
            Message::NotLeader(leader) => {
                if leader.is_some() {
                    self.session.leader = leader;
                }
            }
            Message::Entries { entries, leader } => {
                if self.voter.is_some() {
                    return;
                }
                self.session.on_entries(now);
                self.session.leader = leader.or(self.session.leader);
                let applied_before = self.ledger.applied();
                entries.into_iter().for_each(|(at, data)| self.apply(now, at, 0, &data, out));
                if self.ledger.applied() > applied_before {
                    let request = self.session.request_entries(&self.settings, self.ledger.applied());
                    request.into_iter().for_each(|(to, message)| self.send(now, to, message, out));
                }
            }
            Message::Snapshot { bytes, .. } => {
                self.session.on_entries(now);
                if self.voter.is_none() && self.ledger.load(&bytes) {
                    self.update_session(now, out);
                    let request = self.session.request_entries(&self.settings, self.ledger.applied());
                    request.into_iter().for_each(|(to, message)| self.send(now, to, message, out));
                }
            }
        }
    }

    /// Applies the next entry of the log; any other entry is ignored.
    fn apply(&mut self, now: Time, at: Index, term: u64, data: &[u8], out: &mut Vec<Output>) {
        if self.stuck || at != self.ledger.applied() + 1 {
            return;
        }
        let Some(records) = record::decode(data) else {
            self.stuck = true;
            return out.push(Output::UnknownRecordVersion(at));
        };
        self.term = term;
        let mut events = Vec::new();
        self.ledger.apply(at, &records, &mut events);
        for event in events {
            match event {
                Event::Began(member, incarnation) => {
                    self.voter.iter_mut().for_each(|voter| voter.on_began(now, member, incarnation))
                }
                Event::Ended(member, incarnation) => {
                    self.voter.iter_mut().for_each(|voter| voter.on_ended(member, incarnation))
                }
                Event::Announced(member, incarnation, serial)
                    if member == self.me && self.session.incarnation == Some(incarnation) =>
                {
                    self.session.on_committed(serial);
                }
                Event::Announced(..) => {}
            }
            out.push(Output::Event(at, event));
        }
        self.update_session(now, out);
    }

    /// Updates the session from this member's state in the ledger.
    fn update_session(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(state) = self.ledger.members().get(&self.me) else { return };
        if state.nonce != self.session.nonce {
            // The incarnation belongs to another process with this member number. If it is newer than this
            // session's, that one is lost.
            if self.session.incarnation.is_some_and(|incarnation| incarnation < state.incarnation) {
                let lost = self.session.reset(self.rng.random());
                out.push(Output::IncarnationLost(lost));
            }
            return;
        }
        if self.session.incarnation.is_none() {
            self.session.on_began(now, state.incarnation);
        }
        self.session.on_committed(state.announced);
        if state.ended {
            let lost = self.session.reset(self.rng.random());
            out.push(Output::IncarnationLost(lost));
        }
    }

    fn on_written(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(completed) = self.voter.as_mut().and_then(|voter| voter.on_written(now, &self.ledger))
        else {
            return;
        };
        for message in completed.messages {
            if let Some(to) = voter::member(message.to) {
                out.push(Output::Send(to, Message::Raft(Box::new(message))));
            }
        }
        if let Some(snapshot) = completed.snapshot {
            self.term = snapshot.term;
            if self.ledger.load(&snapshot.data) {
                self.update_session(now, out);
            }
        }
        for CommittedEntry { index, term, data } in completed.committed {
            self.apply(now, index, term, &data, out);
        }
    }

    /// Grants the renewals that are proven, and requests the voter's next write and messages.
    fn advance_voter(&mut self, now: Time, out: &mut Vec<Output>) {
        loop {
            let Some(voter) = &mut self.voter else { return };
            for renewal in voter.grant_renewals(now, &self.ledger) {
                let renewed = Message::Renewed { incarnation: renewal.incarnation, stamp: renewal.stamp };
                self.send(now, renewal.member, renewed, out);
            }
            let Some(voter) = &mut self.voter else { return };
            if !self.stuck {
                voter.take_snapshot(&self.ledger, self.term);
            }
            let Some((write, messages)) = voter.poll() else { return };
            for message in messages {
                if let Some(to) = voter::member(message.to) {
                    out.push(Output::Send(to, Message::Raft(Box::new(message))));
                }
            }
            if write != Write::default() {
                return out.push(Output::Write(write));
            }
            self.on_written(now, out);
        }
    }
}
