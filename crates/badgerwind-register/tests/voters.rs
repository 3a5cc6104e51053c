//! Voters can be changed one by one while the register is in use: one with a lost disk is removed, another is
//! added.

mod world;

use badgerwind_register::*;
use std::collections::BTreeMap;
use world::Tally;

/// Nodes with instant, ordered delivery of messages and writes; nodes that are down receive nothing.
struct Cluster {
    now: Time,
    nodes: BTreeMap<Member, Node<Tally>>,
    down: Vec<Member>,
}

impl Cluster {
    fn advance(&mut self, ms: u64) {
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
                    node.handle(self.now, input, &mut out);
                    for o in out {
                        match o {
                            Output::Send(to, message) => due.push((to, Input::Received(m, message))),
                            Output::Write(_) => due.push((m, Input::Written)),
                            _ => {}
                        }
                    }
                }
            }
        }
    }

    fn change(&mut self, add: bool, who: Member) {
        let leader =
            self.nodes.iter().find(|(m, n)| n.view().is_leader && !self.down.contains(m)).map(|(m, _)| *m);
        let leader = self.nodes.get_mut(&leader.expect("there is a leader")).unwrap();
        let mut out = Vec::new();
        assert!(leader.change_voters(self.now, add, who, &mut out), "the leader accepts the change");
        // The messages in `out` are dropped; the leader sends them again.
        if out.iter().any(|o| matches!(o, Output::Write(_))) {
            leader.handle(self.now, Input::Written, &mut out);
        }
        self.advance(2_000);
    }

    fn voters_seen_by(&self, m: Member) -> Vec<Member> {
        let mut voters = self.nodes[&m].view().voters;
        voters.sort_unstable();
        voters
    }
}

/// A member's pending announcements are bounded in number and in size.
#[test]
fn oversized_or_excess_announcements_are_rejected_at_once() {
    let settings = Settings { max_pending: 3, max_batch_bytes: 1024, ..Settings::for_voters(vec![0]) };
    let setup = Setup { me: 0, zone: 0, seed: 5, settings: settings.clone() };
    let node = Node::voter(0, setup, Node::<Tally>::initial_storage(&settings), Tally::default()).unwrap();
    let mut cluster = Cluster { now: 0, nodes: [(0, node)].into(), down: vec![] };
    let announce = |cluster: &mut Cluster, bytes: usize| {
        let now = cluster.now;
        cluster.nodes.get_mut(&0).unwrap().announce(now, vec![0; bytes], &mut Vec::new()).map(|s| s.1)
    };
    assert_eq!(announce(&mut cluster, 8), Err(AnnounceError::NotLive));
    cluster.advance(3_000);
    assert_eq!(announce(&mut cluster, 1025), Err(AnnounceError::TooLong(1025, 1024)));
    // Nothing is committed in between, so that the fourth exceeds the limit of three.
    let announced: Vec<_> = (0..4).map(|_| announce(&mut cluster, 8)).collect();
    assert_eq!(announced, [Ok(1), Ok(2), Ok(3), Err(AnnounceError::TooManyPending(3))]);
}

#[test]
fn a_voter_with_a_lost_disk_can_be_replaced() {
    let settings = Settings::for_voters(vec![0, 1, 2]);
    let setup = |me| Setup { me, zone: 0, seed: 11 + u64::from(me), settings: settings.clone() };
    let initial = || Node::<Tally>::initial_storage(&settings);
    let voter = |me, storage| (me, Node::voter(0, setup(me), storage, Tally::default()).unwrap());
    let nodes = [voter(0, initial()), voter(1, initial()), voter(2, initial()), voter(3, initial())];
    let mut cluster = Cluster { now: 0, nodes: nodes.into(), down: vec![] };
    cluster.advance(3_000);
    assert!((0..3).all(|m| cluster.nodes[&m].live_incarnation(cluster.now).is_some()));
    // One of three voters is lost with its disk; the other two form a quorum.
    let lost = (0..3).find(|m| !cluster.nodes[m].view().is_leader).unwrap();
    cluster.down.push(lost);
    cluster.advance(1_000);
    cluster.change(false, lost);
    cluster.change(true, 3);
    let others: Vec<Member> = (0..4).filter(|m| *m != lost).collect();
    for m in &others {
        assert_eq!(cluster.voters_seen_by(*m), others, "member {m}");
    }
    // A second voter is lost: the quorum now needs the new voter.
    let second_lost = *others.iter().find(|m| **m != 3).unwrap();
    cluster.down.push(second_lost);
    cluster.advance(8_000);
    let remaining: Vec<Member> = others.into_iter().filter(|m| *m != second_lost).collect();
    assert!(
        remaining.iter().any(|m| cluster.nodes[m].view().is_leader),
        "one of {remaining:?} is the leader"
    );
    let ended = cluster.nodes[&remaining[0]].ledger().members()[&second_lost].ended;
    assert!(ended, "the new leader's records are committed");
}
