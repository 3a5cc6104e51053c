//! All that three members can do to one budget of three units, explored to its end within bounds: the product's own state
//! machines under loss (a message may stay undelivered for ever), delay and reordering (any may come at any time),
//! duplication, restarts from nothing, pauses (a member may do nothing for as long as it likes) and splits (which are
//! losses). One clock step is one microsecond of the machines.

use badgerwind_budgets::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const MEMBERS: usize = 3;
/// They may become coordinator; others vote and hold.
const CANDIDATES: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct One {
    incarnation: Incarnation,
    lessee: Lessee,
    voter: Voter,
    coordinator: Coordinator,
    vote_requests: u8,
    asks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Time,
    members: Vec<One>,
    /// Messages under way, as their bytes: from, to.
    net: BTreeSet<(usize, usize, Vec<u8>)>,
    copies: u8,
    restarts: u8,
    spent: BTreeMap<Unit, Time>,
    twice: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    RequestVote(usize),
    Ask(usize, usize),
    Deliver(usize, usize, Vec<u8>, bool),
    Restart(usize),
    Spend(usize),
}

struct Fleet {
    terms: Terms,
    book: Book,
    mutant: Option<Mutant>,
    end: Time,
    vote_requests: u8,
    /// The same for the coordinator of the start.
    again: u8,
    asks: u8,
    copies: u8,
    restarts: u8,
    spends: bool,
    /// One that the coordinator of the start never heard of.
    silent: Option<usize>,
}

impl Fleet {
    fn new(mutant: Option<Mutant>, end: Time) -> Fleet {
        let terms = Terms { voters: vec![0, 1, 2], vote: 4, lease: 2, beat: 1, drift: 0, moves: 256 };
        let limit = Limit { units: 3, floor: 0, members: 3, rest: 1 };
        let book = Book { version: 1, limits: vec![limit] };
        Fleet {
            terms,
            book,
            mutant,
            end,
            vote_requests: 1,
            again: 0,
            asks: 2,
            copies: 0,
            restarts: 0,
            spends: false,
            silent: None,
        }
    }

    /// When exploring begins: after four rounds of votes.
    fn start(&self) -> Time {
        100 + 4 * (self.terms.vote - 1)
    }

    fn one(&self, n: usize, incarnation: Incarnation, now: Time) -> One {
        let me = n as Member;
        let forgets = self.mutant == Some(Mutant::VoterForgetsItsPromise) && incarnation > 1;
        One {
            incarnation,
            lessee: Lessee::new(now, (me, incarnation), 0, &self.book, &self.terms).with(self.mutant),
            voter: Voter::new(if forgets { 0 } else { now }, &self.terms),
            coordinator: Coordinator::new(me, incarnation).with(self.mutant),
            vote_requests: self.vote_requests,
            asks: if n == 1 { self.asks } else { 1 },
        }
    }

    fn step(&self, s: &mut State, action: Action) {
        let now = s.now;
        match action {
            Action::Tick => s.now += 1,
            Action::RequestVote(n) => {
                s.members[n].vote_requests -= 1;
                let bytes = s.members[n].coordinator.request_votes(now, &self.book, &self.terms).bytes();
                s.net.extend((0..MEMBERS).filter(|to| *to != n).map(|to| (n, to, bytes.clone())));
                // Its own vote, where it has one to give, is there at once.
                let own = Message::read(&bytes).expect("what was sent can be read");
                self.handle(s, n, n, &own);
                if let Some(vote) = s.net.iter().find(|m| m.0 == n && m.1 == n).cloned() {
                    self.step(s, Action::Deliver(n, n, vote.2, false));
                }
            }
            Action::Ask(n, coordinator) => {
                s.members[n].asks -= 1;
                let bytes = s.members[n].lessee.ask(now, 3).bytes();
                s.net.insert((n, coordinator, bytes));
            }
            Action::Deliver(from, to, bytes, again) => {
                if again {
                    s.copies -= 1;
                } else {
                    s.net.remove(&(from, to, bytes.clone()));
                }
                let message = Message::read(&bytes).expect("what was sent can be read");
                self.handle(s, from, to, &message);
            }
            Action::Restart(n) => {
                s.restarts -= 1;
                let (incarnation, left) =
                    (s.members[n].incarnation + 1, (s.members[n].vote_requests, s.members[n].asks));
                s.members[n] = self.one(n, incarnation, now);
                (s.members[n].vote_requests, s.members[n].asks) = left;
            }
            Action::Spend(n) => {
                let rest = self.book.limits[0].rest;
                if let Some(unit) = s.members[n].lessee.spend(now) {
                    s.twice |= s.spent.insert(unit, now).is_some_and(|at| now < at + rest);
                }
            }
        }
    }

    fn handle(&self, s: &mut State, from: usize, to: usize, message: &Message) {
        let (now, terms, book) = (s.now, &self.terms, &self.book);
        let m = &mut s.members[to];
        let answer = match message {
            Message::RequestVote { incarnation, round, version, .. } => {
                let who = (from as Member, *incarnation);
                let voted = m.voter.vote_requested(now, who, (*version, book.version), terms);
                voted.then_some(Message::Vote { incarnation: *incarnation, round: *round })
            }
            Message::Vote { .. } => {
                m.coordinator.voted(now, from as Member, message, book, terms);
                None
            }
            Message::Ask { .. } => m.coordinator.asked(now, from as Member, message, book, terms),
            Message::Grant { .. } => {
                m.lessee.heard(now, message);
                None
            }
            Message::Superseded { incarnation, latest } => {
                if m.lessee.incarnation() == *incarnation {
                    m.lessee.restart_as(latest + 1);
                }
                None
            }
        };
        if let Some(answer) = answer {
            s.net.insert((to, from, answer.bytes()));
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut members: Vec<One> = (0..MEMBERS).map(|n| self.one(n, 1, 0)).collect();
        // All have run for long: voters are no longer quiet, nobody holds anything.
        members.iter_mut().for_each(|m| m.voter = Voter::new(0, &self.terms));
        let (copies, restarts) = (self.copies, self.restarts);
        let net = BTreeSet::new();
        let mut s = State { now: 100, members, net, copies, restarts, spent: BTreeMap::new(), twice: false };
        // Member 0 has been coordinator for so long that it knows all units to be free.
        for _ in 0..4 {
            s.now += self.terms.vote - 1;
            s.members[0].vote_requests = 1;
            self.step(&mut s, Action::RequestVote(0));
            s.net.retain(|m| Some(m.1) != self.silent);
            while let Some((from, to, bytes)) = s.net.first().cloned() {
                self.step(&mut s, Action::Deliver(from, to, bytes, false));
            }
        }
        s.members[0].vote_requests = self.again;
        vec![s]
    }

    fn actions(&self, s: &State, out: &mut Vec<Action>) {
        if s.now < self.start() + self.end {
            out.push(Action::Tick);
        }
        for (n, m) in s.members.iter().enumerate() {
            if n < CANDIDATES && m.vote_requests > 0 {
                out.push(Action::RequestVote(n));
            }
            // Lessees ask whom they like: the one that coordinates is not known to them.
            if n > 0 && m.asks > 0 {
                (0..CANDIDATES).for_each(|k| out.push(Action::Ask(n, k)));
            }
            if s.restarts > 0 {
                out.push(Action::Restart(n));
            }
            if self.spends && !m.lessee.owned(s.now).is_empty() {
                out.push(Action::Spend(n));
            }
        }
        for (from, to, bytes) in &s.net {
            out.push(Action::Deliver(*from, *to, bytes.clone(), false));
            if s.copies > 0 {
                out.push(Action::Deliver(*from, *to, bytes.clone(), true));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        self.step(&mut s, action);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no unit has two owners", |_, s: &State| {
                let mut seen = BTreeSet::new();
                let mut all = s.members.iter().flat_map(|m| m.lessee.owned(s.now).iter().collect::<Vec<_>>());
                all.all(|u| seen.insert(u))
            }),
            Property::always("no unit is spent twice in its window", |_, s: &State| !s.twice),
            Property::sometimes("the limit is owned", |_, s: &State| {
                s.members.iter().map(|m| m.lessee.owned(s.now).len()).sum::<usize>() == 3
            }),
        ]
    }
}

fn explored(fleet: Fleet, most: usize) -> (usize, bool, Vec<&'static str>) {
    let checker = fleet.checker().threads(2).target_state_count(most).spawn_bfs().join();
    assert!(checker.state_count() < most, "more states than were to be explored");
    let found = checker.discoveries().into_keys().filter(|n| n.starts_with("no unit")).collect();
    (checker.unique_state_count(), checker.discovery("the limit is owned").is_some(), found)
}

/// More than any of the cases has: those that are to be explored to their end are.
const MOST: usize = 50_000_000;

#[test]
fn no_reachable_state_gives_a_unit_two_owners() {
    for (name, fleet) in cases(None, 0) {
        let (states, limit, found) = explored(fleet, MOST);
        println!("{name}: {states} states, {found:?}");
        assert!(limit, "{name}: the limit can be owned");
        assert!(found.is_empty(), "{name}: {found:?}");
    }
}

/// `cargo test -p badgerwind-budgets --release --test model -- --ignored --nocapture`
#[test]
#[ignore = "minutes; the figures of docs/design/fleet-budgets.md"]
fn no_state_reachable_in_longer_times_either() {
    for (name, fleet) in cases(None, 2) {
        let at = std::time::Instant::now();
        let (states, _, found) = explored(fleet, MOST);
        println!("{name}: {states} states in {:.1?}, {found:?}", at.elapsed());
        assert!(found.is_empty(), "{name}: {found:?}");
    }
}

/// `cargo test -p badgerwind-budgets --release --test model -- --ignored --nocapture`
#[test]
#[ignore = "two minutes"]
fn a_voter_that_forgets_its_promise_is_found() {
    let two = vec!["no unit has two owners"];
    let (states, _, found) = explored(forgetful(Some(Mutant::VoterForgetsItsPromise)), MOST);
    println!("found in {states} states");
    assert_eq!(found, two);
}

/// A coordinator with votes for long; a voter of its majority starts again and could give its vote a second time.
fn forgetful(mutant: Option<Mutant>) -> Fleet {
    let mut fleet = Fleet { restarts: 1, asks: 1, silent: Some(2), ..Fleet::new(mutant, 5) };
    fleet.terms.vote = 8;
    fleet
}

/// Bounds that reach different hazards, each small enough to be explored to its end; `more` makes the time longer.
fn cases(mutant: Option<Mutant>, more: Time) -> Vec<(&'static str, Fleet)> {
    let small = |end| Fleet { asks: 1, ..Fleet::new(mutant, end + more) };
    let mut turns = small(4);
    (turns.terms.vote, turns.terms.lease, turns.book.limits[0].rest) = (2, 1, 0);
    vec![
        ("two coordinators in turn", turns),
        ("a member restarts", Fleet { restarts: 1, ..small(2) }),
        ("a message comes twice", Fleet { copies: 1, vote_requests: 0, asks: 2, ..small(3) }),
        ("units are spent", Fleet { spends: true, vote_requests: 0, asks: 2, ..small(3) }),
    ]
}
