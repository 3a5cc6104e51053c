//! Exhaustive exploration, within bounds, of three members that share one budget of three units: the real
//! state machines under loss (a message may stay undelivered for ever), delay and reordering (any message may
//! arrive at any time), duplication, restarts without state, pauses (a member may do nothing for any time)
//! and partitions (which are losses). One clock step is one microsecond of the state machines.

use badgerwind_budgets::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const MEMBERS: usize = 3;
/// Members that may become coordinator; the others are voters and lessees only.
const CANDIDATES: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Participant {
    incarnation: Incarnation,
    lessee: Lessee,
    voter: Voter,
    coordinator: Coordinator,
    vote_requests: u8,
    lease_requests: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Time,
    members: Vec<Participant>,
    /// Encoded messages in flight, with sender and recipient.
    network: BTreeSet<(usize, usize, Vec<u8>)>,
    duplicates: u8,
    restarts: u8,
    spent: BTreeMap<Unit, Time>,
    spent_twice: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    RequestVote(usize),
    RequestLease(usize, usize),
    Deliver(usize, usize, Vec<u8>, bool),
    Restart(usize),
    Spend(usize),
}

struct Fleet {
    settings: LeaseSettings,
    limit_set: LimitSet,
    mutant: Option<Mutant>,
    end: Time,
    vote_requests: u8,
    /// Vote requests of the initial coordinator.
    coordinator_vote_requests: u8,
    lease_requests: u8,
    duplicates: u8,
    restarts: u8,
    spends: bool,
    /// A voter that the initial coordinator's requests do not reach.
    unreachable: Option<usize>,
}

impl Fleet {
    fn new(mutant: Option<Mutant>, end: Time) -> Fleet {
        let settings = LeaseSettings {
            voters: vec![0, 1, 2],
            vote: 4,
            lease: 2,
            request_interval: 1,
            drift_ppm: 0,
            max_moves: 256,
        };
        let limit = Limit { units: 3, floor: 0, members: 3, cooldown: 1 };
        let limit_set = LimitSet { version: 1, limits: vec![limit] };
        Fleet {
            settings,
            limit_set,
            mutant,
            end,
            vote_requests: 1,
            coordinator_vote_requests: 0,
            lease_requests: 2,
            duplicates: 0,
            restarts: 0,
            spends: false,
            unreachable: None,
        }
    }

    /// When the exploration begins: after four rounds of votes.
    fn start(&self) -> Time {
        100 + 4 * (self.settings.vote - 1)
    }

    fn participant(&self, n: usize, incarnation: Incarnation, now: Time) -> Participant {
        let me = n as Member;
        let forgets = self.mutant == Some(Mutant::VoterForgetsPromise) && incarnation > 1;
        Participant {
            incarnation,
            lessee: Lessee::new(now, (me, incarnation), 0, &self.limit_set, &self.settings)
                .with_mutant(self.mutant),
            voter: Voter::new(if forgets { 0 } else { now }, &self.settings),
            coordinator: Coordinator::new(me, incarnation).with_mutant(self.mutant),
            vote_requests: self.vote_requests,
            lease_requests: if n == 1 { self.lease_requests } else { 1 },
        }
    }

    fn step(&self, state: &mut State, action: Action) {
        let now = state.now;
        match action {
            Action::Tick => state.now += 1,
            Action::RequestVote(n) => {
                state.members[n].vote_requests -= 1;
                let bytes =
                    state.members[n].coordinator.request_votes(now, &self.limit_set, &self.settings).encode();
                state.network.extend((0..MEMBERS).filter(|to| *to != n).map(|to| (n, to, bytes.clone())));
                // Its own vote, if it gives one, is delivered at once.
                let own = Message::decode(&bytes).expect("what was sent can be read");
                self.handle(state, n, n, &own);
                if let Some(vote) = state.network.iter().find(|m| m.0 == n && m.1 == n).cloned() {
                    self.step(state, Action::Deliver(n, n, vote.2, false));
                }
            }
            Action::RequestLease(n, coordinator) => {
                state.members[n].lease_requests -= 1;
                let bytes = state.members[n].lessee.request_lease(now, 3).encode();
                state.network.insert((n, coordinator, bytes));
            }
            Action::Deliver(from, to, bytes, again) => {
                if again {
                    state.duplicates -= 1;
                } else {
                    state.network.remove(&(from, to, bytes.clone()));
                }
                let message = Message::decode(&bytes).expect("what was sent can be read");
                self.handle(state, from, to, &message);
            }
            Action::Restart(n) => {
                state.restarts -= 1;
                let incarnation = state.members[n].incarnation + 1;
                let remaining_requests = (state.members[n].vote_requests, state.members[n].lease_requests);
                state.members[n] = self.participant(n, incarnation, now);
                (state.members[n].vote_requests, state.members[n].lease_requests) = remaining_requests;
            }
            Action::Spend(n) => {
                let cooldown = self.limit_set.limits[0].cooldown;
                if let Some(unit) = state.members[n].lessee.spend(now) {
                    state.spent_twice |= state.spent.insert(unit, now).is_some_and(|at| now < at + cooldown);
                }
            }
        }
    }

    fn handle(&self, state: &mut State, from: usize, to: usize, message: &Message) {
        let (now, settings, limit_set) = (state.now, &self.settings, &self.limit_set);
        let participant = &mut state.members[to];
        let answer = match message {
            Message::RequestVote { incarnation, round, version, .. } => {
                let who = (from as Member, *incarnation);
                let voted =
                    participant.voter.on_vote_request(now, who, (*version, limit_set.version), settings);
                voted.then_some(Message::Vote { incarnation: *incarnation, round: *round })
            }
            Message::Vote { .. } => {
                participant.coordinator.on_vote(now, from as Member, message, limit_set, settings);
                None
            }
            Message::LeaseRequest { .. } => {
                participant.coordinator.on_lease_request(now, from as Member, message, limit_set, settings)
            }
            Message::Grant { .. } => {
                participant.lessee.on_grant(now, message);
                None
            }
            Message::Superseded { incarnation, latest } => {
                if participant.lessee.incarnation() == *incarnation {
                    participant.lessee.restart_as(latest + 1);
                }
                None
            }
        };
        if let Some(answer) = answer {
            state.network.insert((to, from, answer.encode()));
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut members: Vec<Participant> = (0..MEMBERS).map(|n| self.participant(n, 1, 0)).collect();
        // All have run for a long time: voters are no longer quiet, and no unit has an owner.
        members.iter_mut().for_each(|m| m.voter = Voter::new(0, &self.settings));
        let (duplicates, restarts) = (self.duplicates, self.restarts);
        let network = BTreeSet::new();
        let mut state = State {
            now: 100,
            members,
            network,
            duplicates,
            restarts,
            spent: BTreeMap::new(),
            spent_twice: false,
        };
        // Member 0 has been coordinator long enough to know that all units are free.
        for _ in 0..4 {
            state.now += self.settings.vote - 1;
            state.members[0].vote_requests = 1;
            self.step(&mut state, Action::RequestVote(0));
            state.network.retain(|m| Some(m.1) != self.unreachable);
            while let Some((from, to, bytes)) = state.network.first().cloned() {
                self.step(&mut state, Action::Deliver(from, to, bytes, false));
            }
        }
        state.members[0].vote_requests = self.coordinator_vote_requests;
        vec![state]
    }

    fn actions(&self, state: &State, out: &mut Vec<Action>) {
        if state.now < self.start() + self.end {
            out.push(Action::Tick);
        }
        for (n, m) in state.members.iter().enumerate() {
            if n < CANDIDATES && m.vote_requests > 0 {
                out.push(Action::RequestVote(n));
            }
            // Lessees may send requests to any candidate, since they do not know the coordinator.
            if n > 0 && m.lease_requests > 0 {
                (0..CANDIDATES).for_each(|k| out.push(Action::RequestLease(n, k)));
            }
            if state.restarts > 0 {
                out.push(Action::Restart(n));
            }
            if self.spends && !m.lessee.owned(state.now).is_empty() {
                out.push(Action::Spend(n));
            }
        }
        for (from, to, bytes) in &state.network {
            out.push(Action::Deliver(*from, *to, bytes.clone(), false));
            if state.duplicates > 0 {
                out.push(Action::Deliver(*from, *to, bytes.clone(), true));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        self.step(&mut state, action);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no unit has two owners", |_, state: &State| {
                let mut seen = BTreeSet::new();
                let mut all =
                    state.members.iter().flat_map(|m| m.lessee.owned(state.now).iter().collect::<Vec<_>>());
                all.all(|u| seen.insert(u))
            }),
            Property::always("no unit is spent twice in its window", |_, state: &State| !state.spent_twice),
            Property::sometimes("the limit is owned", |_, state: &State| {
                state.members.iter().map(|m| m.lessee.owned(state.now).len()).sum::<usize>() == 3
            }),
        ]
    }
}

/// The result of a complete exploration.
struct Exploration {
    unique_states: usize,
    /// Whether the whole limit is owned in some state.
    limit_owned: bool,
    /// The safety properties that some state violates.
    violated: Vec<&'static str>,
}

fn explore(fleet: Fleet, max_states: usize) -> Exploration {
    let checker = fleet.checker().threads(2).target_state_count(max_states).spawn_bfs().join();
    assert!(
        checker.state_count() < max_states,
        "the state limit was reached before the exploration was complete"
    );
    Exploration {
        unique_states: checker.unique_state_count(),
        limit_owned: checker.discovery("the limit is owned").is_some(),
        violated: checker.discoveries().into_keys().filter(|name| name.starts_with("no unit")).collect(),
    }
}

/// More states than any case has, so that each is explored completely.
const MAX_STATES: usize = 50_000_000;

#[test]
fn no_reachable_state_gives_a_unit_two_owners() {
    for (name, fleet) in cases(None, 0) {
        let Exploration { unique_states, limit_owned, violated } = explore(fleet, MAX_STATES);
        println!("{name}: {unique_states} states, {violated:?}");
        assert!(limit_owned, "{name}: the limit can be owned");
        assert!(violated.is_empty(), "{name}: {violated:?}");
    }
}

/// `cargo test -p badgerwind-budgets --release --test model -- --ignored --nocapture`
#[test]
#[ignore = "minutes; the figures of docs/design/fleet-budgets.md"]
fn no_state_reachable_in_a_longer_time_gives_a_unit_two_owners() {
    for (name, fleet) in cases(None, 2) {
        let start = std::time::Instant::now();
        let Exploration { unique_states, violated, .. } = explore(fleet, MAX_STATES);
        println!("{name}: {unique_states} states in {:.1?}, {violated:?}", start.elapsed());
        assert!(violated.is_empty(), "{name}: {violated:?}");
    }
}

/// `cargo test -p badgerwind-budgets --release --test model -- --ignored --nocapture`
#[test]
#[ignore = "two minutes"]
fn a_voter_that_forgets_its_promise_is_found() {
    let fleet = restarting_voter(Some(Mutant::VoterForgetsPromise));
    let Exploration { unique_states, violated, .. } = explore(fleet, MAX_STATES);
    println!("found in {unique_states} states");
    assert_eq!(violated, ["no unit has two owners"]);
}

/// A coordinator whose votes are valid for a long time; a voter of its majority restarts and could vote a
/// second time.
fn restarting_voter(mutant: Option<Mutant>) -> Fleet {
    let mut fleet = Fleet { restarts: 1, lease_requests: 1, unreachable: Some(2), ..Fleet::new(mutant, 5) };
    fleet.settings.vote = 8;
    fleet
}

/// Fleets with bounds that reach different hazards, each small enough to be explored completely;
/// `additional_time` lengthens the explored time.
fn cases(mutant: Option<Mutant>, additional_time: Time) -> Vec<(&'static str, Fleet)> {
    let small = |end| Fleet { lease_requests: 1, ..Fleet::new(mutant, end + additional_time) };
    let mut successive = small(4);
    (successive.settings.vote, successive.settings.lease, successive.limit_set.limits[0].cooldown) =
        (2, 1, 0);
    vec![
        ("two successive coordinators", successive),
        ("a member restarts", Fleet { restarts: 1, ..small(2) }),
        ("a message is duplicated", Fleet { duplicates: 1, vote_requests: 0, lease_requests: 2, ..small(3) }),
        ("units are spent", Fleet { spends: true, vote_requests: 0, lease_requests: 2, ..small(3) }),
    ]
}
