//! A member: its seat, its copy of what the log came to, and a voter where it is one.

use crate::leases::Ask;
use crate::ledger::{Event, Ledger, Part};
use crate::message::Message;
use crate::record::{self, Record};
use crate::seat::{Refused, Seat};
use crate::storage::{VoterStorage, Write};
use crate::terms::{BadTerms, Incarnation, Index, Member, Terms, Time};
use crate::voter::{self, Voter};
use crate::Mutant;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its number.
    pub me: Member,
    /// Its zone.
    pub zone: u8,
    /// Draws its nonces and its patience: another at each start.
    pub seed: u64,
    /// On what terms.
    pub terms: Terms,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; a few times in a tick of the terms.
    Tick,
    /// A member said something, by a link that knows who spoke.
    Heard(Member, Message),
    /// The last [`Output::Write`] is on the disk.
    Written,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// To a member; may be lost.
    Send(Member, Message),
    /// To the disk. [`Input::Written`] follows once it is there, and nothing else is written meanwhile.
    Write(Write),
    /// This entry brought something about.
    Event(Index, Event),
    /// This member's incarnation has ended: so many of its announcements did not stand. It asks for another by itself.
    Lost(usize),
    /// An entry is of a form that this program does not know: a newer one is needed. It follows the log no further.
    TooNew(Index),
}

/// A member of the register.
#[derive(Debug)]
pub struct Node<P> {
    me: Member,
    terms: Terms,
    ledger: Ledger<P>,
    seat: Seat,
    voter: Option<Voter>,
    rng: StdRng,
    /// Followers that wait for what comes after an entry.
    waiting: BTreeMap<Member, Index>,
    term: u64,
    /// Nothing is applied any more: an entry cannot be read.
    stuck: bool,
    mutant: Option<Mutant>,
}

impl<P: Part> Node<P> {
    /// A member that follows.
    pub fn follower(setup: Setup, part: P) -> Result<Node<P>, BadTerms> {
        setup.terms.check()?;
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let seat = Seat::new(setup.me, setup.zone, rng.random());
        let (me, terms) = (setup.me, setup.terms);
        Ok(Node {
            me,
            terms,
            ledger: Ledger::new(part),
            seat,
            voter: None,
            rng,
            waiting: BTreeMap::new(),
            term: 0,
            stuck: false,
            mutant: None,
        })
    }

    /// A member that votes, with what was on its disk; [`Node::begin`] gives what is there before the first start.
    pub fn voter(now: Time, setup: Setup, storage: VoterStorage, part: P) -> Result<Node<P>, BadTerms> {
        let mut node = Node::follower(setup, part)?;
        if storage.folded().index > 0 {
            node.ledger.load(&storage.folded().data);
        }
        let rng = StdRng::seed_from_u64(node.rng.random());
        node.voter = Some(Voter::new(now, node.me, storage, &node.terms, rng, None));
        Ok(node)
    }

    /// What is on each first voter's disk before the register's first start, and on that of a voter that joins later: the log
    /// begins with the first voters, and says who came and went since. One that began with nobody would take itself for the
    /// only voter as soon as it read that it was added.
    pub fn begin(terms: &Terms) -> VoterStorage {
        voter::begin(&terms.voters)
    }

    #[doc(hidden)]
    pub fn with_mutant(mut self, now: Time, mutant: Option<Mutant>) -> Node<P> {
        self.mutant = mutant;
        self.ledger = self.ledger.with_mutant(mutant);
        if let Some(storage) = self.voter.as_ref().map(|v| v.storage().clone()) {
            let rng = StdRng::seed_from_u64(self.rng.random());
            self.voter = Some(Voter::new(now, self.me, storage, &self.terms, rng, mutant));
        }
        self
    }

    /// What the log came to, as far as this member has it.
    pub fn ledger(&self) -> &Ledger<P> {
        &self.ledger
    }

    /// The incarnation in which this member may act at this moment by its own clock; an effect is checked against it when it is done.
    pub fn alive(&self, now: Time) -> Option<Incarnation> {
        self.seat.alive(now)
    }

    /// Until when that holds if nothing more is heard, by its own clock.
    pub fn until(&self) -> Time {
        self.seat.until()
    }

    /// Words said in this incarnation so far, whether they stand or not; 0 in any other incarnation.
    pub fn announced(&self, incarnation: Incarnation) -> u64 {
        self.seat.announced(incarnation)
    }

    /// Whether it leads, whom it takes for leader, and whose votes count.
    pub fn view(&self) -> (bool, Option<Member>, Vec<Member>) {
        match &self.voter {
            Some(v) => (v.leads(), v.leader(), v.votes()),
            None => (false, self.seat.leader, Vec::new()),
        }
    }

    /// Adds a voter, or takes one away, one at a time; false where this member does not lead, or another change is under way.
    pub fn change(&mut self, now: Time, add: bool, who: Member, out: &mut Vec<Output>) -> bool {
        let done = self.voter.as_mut().is_some_and(|v| v.change(add, who));
        self.settle(now, out);
        done
    }

    /// Announces something to the part. It stands once [`Event::Announced`] tells its serial; if this incarnation ends before, it never will.
    pub fn announce(
        &mut self,
        now: Time,
        bytes: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<(Incarnation, u64), Refused> {
        let said = self.seat.announce(now, &self.terms, bytes)?;
        let newest = self.seat.newest(&self.terms);
        newest.into_iter().for_each(|(to, m)| self.send(now, to, m, out));
        self.settle(now, out);
        Ok(said)
    }

    /// This member goes: its incarnation has ended by its own record, and from this moment on it does nothing in it.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(incarnation) = self.seat.incarnation.filter(|_| !self.seat.ended) else { return };
        self.seat.ended = true;
        let over = Message::Offer(vec![Record::Ended { member: self.me, incarnation }]);
        let to: Vec<Member> = self.seat.leader.map_or(self.terms.voters.clone(), |l| vec![l]);
        to.into_iter().for_each(|to| self.send(now, to, over.clone(), out));
        self.settle(now, out);
    }

    /// Takes in what has happened, and adds what is to be done.
    pub fn on(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Heard(from, message) => self.heard(now, from, message, out),
            Input::Written => self.written(now, out),
        }
        self.settle(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(v) = &mut self.voter {
            v.tick(now, &self.ledger);
            if let Some(leader) = v.leader() {
                self.seat.leader = Some(leader);
            }
        }
        let asks = self.seat.beat(now, &self.terms, self.ledger.applied());
        for (to, message) in asks {
            if self.voter.is_none() || !matches!(message, Message::Since(_)) {
                self.send(now, to, message, out);
            }
        }
        self.feed(out);
    }

    /// To itself at once, to others over the link.
    fn send(&mut self, now: Time, to: Member, message: Message, out: &mut Vec<Output>) {
        if to == self.me {
            self.heard(now, to, message, out);
        } else {
            out.push(Output::Send(to, message));
        }
    }

    /// Followers that wait are told what has come, at each tick and not at each entry.
    fn feed(&mut self, out: &mut Vec<Output>) {
        let Some(v) = &self.voter else { return };
        let (applied, leader) = (self.ledger.applied(), v.leader());
        let due: Vec<_> = self.waiting.iter().filter(|w| *w.1 < applied).map(|w| (*w.0, *w.1)).collect();
        let mut all = None;
        for (member, since) in due {
            self.waiting.remove(&member);
            let message = match v.storage().after(since, applied, self.terms.batch) {
                Some(entries) => Message::Entries { entries, leader },
                None => {
                    let bytes = all.get_or_insert_with(|| self.ledger.save()).clone();
                    Message::All { index: applied, bytes }
                }
            };
            out.push(Output::Send(member, message));
        }
    }

    fn heard(&mut self, now: Time, from: Member, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Raft(form) => {
                if let Some(v) = &mut self.voter {
                    v.heard(from, *form);
                }
            }
            Message::Renew { incarnation, stamp } => {
                let Some(v) = &mut self.voter else { return };
                if !v.asked(Ask { member: from, incarnation, stamp }) {
                    let leader = v.leader();
                    self.send(now, from, Message::Elsewhere(leader), out);
                }
            }
            Message::Offer(records) => {
                let Some(v) = &mut self.voter else { return };
                if !v.offered(from, records, &self.ledger) {
                    let leader = v.leader();
                    self.send(now, from, Message::Elsewhere(leader), out);
                }
            }
            Message::Since(index) => {
                if self.voter.is_some() {
                    self.waiting.insert(from, index);
                }
            }
            Message::Renewed { incarnation, stamp } => {
                self.seat.renewed(now, incarnation, stamp, self.terms.lease, self.mutant);
                self.seat.leader = Some(from);
            }
            Message::Elsewhere(leader) => {
                if leader.is_some() {
                    self.seat.leader = leader;
                }
            }
            Message::Entries { entries, leader } => {
                if self.voter.is_some() {
                    return;
                }
                self.seat.fed(now);
                self.seat.leader = leader.or(self.seat.leader);
                let had = self.ledger.applied();
                entries.into_iter().for_each(|(at, data)| self.apply(now, at, 0, &data, out));
                if self.ledger.applied() > had {
                    let since = self.seat.since(&self.terms, self.ledger.applied());
                    since.into_iter().for_each(|(to, m)| self.send(now, to, m, out));
                }
            }
            Message::All { bytes, .. } => {
                self.seat.fed(now);
                if self.voter.is_none() && self.ledger.load(&bytes) {
                    self.look(now, out);
                    let since = self.seat.since(&self.terms, self.ledger.applied());
                    since.into_iter().for_each(|(to, m)| self.send(now, to, m, out));
                }
            }
        }
    }

    fn apply(&mut self, now: Time, at: Index, term: u64, data: &[u8], out: &mut Vec<Output>) {
        if self.stuck || at != self.ledger.applied() + 1 {
            return;
        }
        let Some(records) = record::read(data) else {
            self.stuck = true;
            return out.push(Output::TooNew(at));
        };
        self.term = term;
        let mut events = Vec::new();
        self.ledger.apply(at, &records, &mut events);
        for event in events {
            match event {
                Event::Began(member, incarnation) => {
                    self.voter.iter_mut().for_each(|v| v.began(now, member, incarnation))
                }
                Event::Ended(member, incarnation) => {
                    self.voter.iter_mut().for_each(|v| v.ended(member, incarnation))
                }
                Event::Announced(member, incarnation, serial)
                    if member == self.me && self.seat.incarnation == Some(incarnation) =>
                {
                    self.seat.stands(serial);
                }
                Event::Announced(..) => {}
            }
            out.push(Output::Event(at, event));
        }
        self.look(now, out);
    }

    /// What the log says of this member itself.
    fn look(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(s) = self.ledger.members().get(&self.me) else { return };
        if s.nonce != self.seat.nonce {
            // Another process has this number, or this one's incarnation is of before: nothing of it counts here.
            if self.seat.incarnation.is_some_and(|incarnation| incarnation < s.incarnation) {
                let lost = self.seat.begin_again(self.rng.random());
                out.push(Output::Lost(lost));
            }
            return;
        }
        if self.seat.incarnation.is_none() {
            self.seat.began(now, s.incarnation);
        }
        self.seat.stands(s.announced);
        if s.ended {
            let lost = self.seat.begin_again(self.rng.random());
            out.push(Output::Lost(lost));
        }
    }

    fn written(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(done) = self.voter.as_mut().and_then(|v| v.written(now, &self.ledger)) else { return };
        for form in done.send {
            if let Some(to) = voter::member(form.to) {
                out.push(Output::Send(to, Message::Raft(Box::new(form))));
            }
        }
        if let Some(all) = done.all {
            self.term = all.term;
            if self.ledger.load(&all.data) {
                self.look(now, out);
            }
        }
        for (at, term, data) in done.stand {
            self.apply(now, at, term, &data, out);
        }
    }

    /// Grants what is proven, and brings what the voter has to say to the disk and the others.
    fn settle(&mut self, now: Time, out: &mut Vec<Output>) {
        loop {
            let Some(v) = &mut self.voter else { return };
            for ask in v.grants(now, &self.ledger) {
                let renewed = Message::Renewed { incarnation: ask.incarnation, stamp: ask.stamp };
                self.send(now, ask.member, renewed, out);
            }
            let Some(v) = &mut self.voter else { return };
            if !self.stuck {
                v.fold(&self.ledger, self.term);
            }
            let Some((write, send)) = v.poll() else { return };
            for form in send {
                if let Some(to) = voter::member(form.to) {
                    out.push(Output::Send(to, Message::Raft(Box::new(form))));
                }
            }
            if write != Write::default() {
                return out.push(Output::Write(write));
            }
            self.written(now, out);
        }
    }
}
