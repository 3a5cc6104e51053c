//! Voters change one by one while the register serves: a voter whose disk was lost is taken out, another is added.

mod world;

use badgerwind_register::*;
use std::collections::BTreeMap;
use world::Tally;

/// Nodes whose messages and writes arrive at once, in order; those that are down hear nothing.
struct Room {
    now: Time,
    nodes: BTreeMap<Member, Node<Tally>>,
    down: Vec<Member>,
}

impl Room {
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10_000;
            let mut due: Vec<(Member, Input)> = self.nodes.keys().map(|m| (*m, Input::Tick)).collect();
            while !due.is_empty() {
                for (m, input) in std::mem::take(&mut due) {
                    if self.down.contains(&m) {
                        continue;
                    }
                    let mut out = Vec::new();
                    let Some(node) = self.nodes.get_mut(&m) else { continue };
                    node.on(self.now, input, &mut out);
                    for o in out {
                        match o {
                            Output::Send(to, message) => due.push((to, Input::Heard(m, message))),
                            Output::Write(_) => due.push((m, Input::Written)),
                            _ => {}
                        }
                    }
                }
            }
        }
    }

    fn change(&mut self, add: bool, who: Member) {
        let leader = self.nodes.iter().find(|(m, n)| n.view().0 && !self.down.contains(m)).map(|(m, _)| *m);
        let leader = self.nodes.get_mut(&leader.expect("one leads")).unwrap();
        let mut out = Vec::new();
        assert!(leader.change(self.now, add, who, &mut out), "the leader takes it");
        // What it would send at once is lost; it says it again.
        if out.iter().any(|o| matches!(o, Output::Write(_))) {
            leader.on(self.now, Input::Written, &mut out);
        }
        self.pass(2_000);
    }

    fn votes(&self, m: Member) -> Vec<Member> {
        let mut votes = self.nodes[&m].view().2;
        votes.sort_unstable();
        votes
    }
}

/// What waits is bounded in number and in bytes, at who says it.
#[test]
fn words_too_long_or_too_many_are_refused_at_once() {
    let terms = Terms { under_way: 3, batch: 1024, ..Terms::of(vec![0]) };
    let setup = Setup { me: 0, zone: 0, seed: 5, terms: terms.clone() };
    let node = Node::voter(0, setup, Node::<Tally>::begin(&terms), Tally::default()).unwrap();
    let mut room = Room { now: 0, nodes: [(0, node)].into(), down: vec![] };
    let say = |room: &mut Room, bytes: usize| {
        let now = room.now;
        room.nodes.get_mut(&0).unwrap().announce(now, vec![0; bytes], &mut Vec::new()).map(|s| s.1)
    };
    assert_eq!(say(&mut room, 8), Err(Refused::NotLiving));
    room.pass(3_000);
    assert_eq!(say(&mut room, 1025), Err(Refused::Long(1025, 1024)));
    // Nothing is written meanwhile: the fourth finds three under way.
    let said: Vec<_> = (0..4).map(|_| say(&mut room, 8)).collect();
    assert_eq!(said, [Ok(1), Ok(2), Ok(3), Err(Refused::Full(3))]);
}

#[test]
fn a_voter_whose_disk_was_lost_is_replaced_and_the_new_one_counts() {
    let terms = Terms::of(vec![0, 1, 2]);
    let setup = |me| Setup { me, zone: 0, seed: 11 + u64::from(me), terms: terms.clone() };
    let begin = || Node::<Tally>::begin(&terms);
    let voter = |me, kept| (me, Node::voter(0, setup(me), kept, Tally::default()).unwrap());
    let nodes = [voter(0, begin()), voter(1, begin()), voter(2, begin()), voter(3, begin())];
    let mut room = Room { now: 0, nodes: nodes.into(), down: vec![] };
    room.pass(3_000);
    assert!((0..3).all(|m| room.nodes[&m].alive(room.now).is_some()));
    // Its disk is gone, and so is it: two of three voters go on.
    let lost = (0..3).find(|m| !room.nodes[m].view().0).unwrap();
    room.down.push(lost);
    room.pass(1_000);
    room.change(false, lost);
    room.change(true, 3);
    let others: Vec<Member> = (0..4).filter(|m| *m != lost).collect();
    for m in &others {
        assert_eq!(room.votes(*m), others, "member {m}");
    }
    // One more is lost: the new voter's vote makes the majority.
    let gone = *others.iter().find(|m| **m != 3).unwrap();
    room.down.push(gone);
    room.pass(8_000);
    let left: Vec<Member> = others.into_iter().filter(|m| *m != gone).collect();
    assert!(left.iter().any(|m| room.nodes[m].view().0), "one of {left:?} leads");
    let ended = room.nodes[&left[0]].ledger().members()[&gone].ended;
    assert!(ended, "and what it decides stands");
}
