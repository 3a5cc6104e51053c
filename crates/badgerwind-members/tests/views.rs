//! Faults between members and what their views converge to. Each test fails with the defect that it is there for.

mod world;

use badgerwind_members::{Member, Members, Message, Mutant, State, Terms, Update, MAX_BYTES, MAX_UPDATES};
use proptest::prelude::*;
use rand::Rng;
use world::{World, MS, SECOND};

fn calm(n: Member, seed: u64, mutant: Option<Mutant>) -> World {
    let mut w = World::new(n, seed, mutant);
    assert!(w.until(20 * SECOND, World::agrees).is_some(), "{n} members that start together find each other");
    w
}

#[test]
fn seven_in_ten_killed_are_known_for_dead_by_all_others_and_for_alive_once_back() {
    for seed in 0..4 {
        let mut w = calm(20, seed, None);
        (6..20).for_each(|m| w.kill(m));
        assert!(w.until(30 * SECOND, World::agrees).is_some(), "seed {seed}: {}", w.wrongly_dead());
        assert!(w.members.values().all(|m| m.alive_count() == 6));
        (6..20).for_each(|m| w.start(m));
        assert!(w.until(30 * SECOND, World::agrees).is_some(), "seed {seed}");
    }
}

/// A third of all messages are lost, and some of it comes twice and late. How many were taken for dead at most, and in how many
/// of 1200 looks somebody was.
fn lossy(mutant: Option<Mutant>) -> (usize, usize) {
    let (mut most, mut looks) = (0, 0);
    for seed in 0..6 {
        let mut w = calm(16, seed, mutant);
        (w.loss, w.twice, w.delay) = (0.3, 0.1, 20 * MS);
        for _ in 0..200 {
            w.run(100 * MS);
            most = most.max(w.wrongly_dead());
            looks += usize::from(w.wrongly_dead() > 0);
        }
    }
    (most, looks)
}

#[test]
fn loss_alone_kills_hardly_anybody_and_not_for_long() {
    let (most, looks) = lossy(None);
    assert!(most <= 1 && looks <= 12, "{most} of 240 pairs, {looks} looks");
    let (_, unsuspecting) = lossy(Some(Mutant::NoSuspicion));
    assert!(unsuspecting > 100, "{unsuspecting}");
    let (_, alone) = lossy(Some(Mutant::NoIndirectProbes));
    let (_, mute) = lossy(Some(Mutant::NeverRefutes));
    assert!(mute > 100, "{mute}");
    println!("looks of 1200 with one wrongly dead: {looks}, no suspicion {unsuspecting}, asks nobody else {alone}, never refutes {mute}");
}

/// How often, in 200 looks, one takes others that are there for suspect or dead: where it is stopped for half of each second,
/// and where it hears everything 150 ms late.
fn doubted_by_a_faulty_member(mutant: Option<Mutant>) -> (usize, usize) {
    let doubts = |w: &World| w.members[&3].view().filter(|(_, s)| s.state != State::Alive).count();
    let (mut stopped, mut slow) = (0, 0);
    for seed in 0..6 {
        let mut w = calm(16, seed, mutant);
        for _ in 0..20 {
            w.stopped.insert(3);
            w.run(500 * MS);
            w.stopped.remove(&3);
            w.run(5 * MS);
            stopped += doubts(&w);
            for _ in 0..10 {
                w.run(50 * MS);
                stopped += doubts(&w);
            }
        }
        let mut w = calm(16, seed, mutant);
        w.slow.insert(3, 150 * MS);
        w.run(2 * SECOND);
        for _ in 0..200 {
            w.run(50 * MS);
            slow += doubts(&w);
        }
    }
    (stopped, slow)
}

#[test]
fn a_faulty_member_doubts_itself_before_the_others() {
    let (sure, local_health) =
        (doubted_by_a_faulty_member(Some(Mutant::NoLocalHealth)), doubted_by_a_faulty_member(None));
    println!("others doubted by one stopped, by one that hears late: {local_health:?}, always sure {sure:?}");
    assert!(local_health.0 == 0 && sure.0 > 0, "{local_health:?} {sure:?}");
    assert!(2 * local_health.1 < sure.1, "{local_health:?} {sure:?}");
}

fn split(mutant: Option<Mutant>, both_ways: bool) -> Option<u64> {
    let mut w = calm(12, 5, mutant);
    let (a, b): (Vec<Member>, Vec<Member>) = ((0..6).collect(), (6..12).collect());
    w.cut_between(&a, &b, both_ways);
    w.run(20 * SECOND);
    if both_ways {
        assert!(w.members.values().all(|m| m.alive_count() == 6), "each half sees itself alone");
    }
    w.cut.clear();
    w.until(30 * SECOND, World::agrees)
}

#[test]
fn halves_find_each_other_again_because_the_dead_are_probed_now_and_then() {
    assert!(split(None, true).is_some());
    assert!(split(None, false).is_some());
    assert_eq!(split(Some(Mutant::NeverProbesDead), true), None, "nobody would ask across");
}

#[test]
fn one_that_restarts_thirty_times_is_alive_in_its_last_incarnation() {
    let mut w = calm(8, 9, None);
    for _ in 0..30 {
        w.kill(4);
        let pause = w.rng.random_range(0..400) * MS;
        w.run(pause);
        w.start(4);
        let incarnations = w.rng.random_range(0..400) * MS;
        w.run(incarnations);
    }
    assert!(w.until(20 * SECOND, World::agrees).is_some());
}

#[test]
fn updates_of_an_earlier_incarnation_change_nothing() {
    let stale = |mutant| {
        let mut w = calm(5, 3, mutant);
        let (incarnation, refutations) = (w.members[&2].incarnation(), 0);
        w.kill(2);
        assert!(w.until(20 * SECOND, World::agrees).is_some());
        w.start(2);
        assert!(w.until(20 * SECOND, World::agrees).is_some());
        // What the earlier incarnation's death was transmissions with comes again.
        let dead = Update { member: 2, incarnation, refutations, state: State::Dead, by: 1 };
        let (from, head) = (1, w.members[&1].incarnation());
        let message = Message {
            kind: badgerwind_members::Kind::Nack,
            serial: 0,
            about: 1,
            incarnation: head,
            refutations: 0,
            updates: vec![dead],
        };
        let now = w.now;
        w.members.get_mut(&0).unwrap().receive(now, from, &message);
        w.state(0, 2)
    };
    assert_eq!(stale(None), State::Alive);
    assert_eq!(stale(Some(Mutant::AcceptsStaleUpdates)), State::Dead);
}

#[test]
fn a_member_that_leaves_is_gone_at_once_and_back_in_a_new_incarnation() {
    let mut w = calm(8, 2, None);
    let out = w.members.get_mut(&5).unwrap().leave();
    assert_eq!(out.len(), 3);
    w.send(5, out);
    w.kill(5);
    let took = w.until(20 * SECOND, World::agrees).unwrap();
    assert!(w.members.keys().all(|m| w.state(*m, 5) == State::Left), "nobody had to suspect it; {took} us");
    w.start(5);
    assert!(w.until(20 * SECOND, World::agrees).is_some());
}

#[test]
fn a_clock_that_went_back_over_a_restart_is_corrected_by_the_others() {
    let mut w = calm(6, 4, None);
    w.kill(1);
    assert!(w.until(20 * SECOND, World::agrees).is_some());
    let first = w.now;
    w.members.insert(1, Members::new(first, (1, 0), 0..6, Terms::paced(world::PERIOD)));
    assert!(w.until(20 * SECOND, World::agrees).is_some(), "a smaller incarnation than the one that died");
}

#[test]
fn what_a_member_sends_and_stores_is_bounded_by_the_settings() {
    let mut w = calm(60, 1, None);
    (w.sent, w.bytes) = (0, 0);
    w.run(10 * SECOND);
    let each = w.sent as f64 / 60.0 / 10.0;
    assert!(
        each < 2.2 * SECOND as f64 / world::PERIOD as f64,
        "{each} messages a second: a question and an answer a period"
    );
    // Numbers that the settings do not name are passed over.
    let stranger = Update { member: 999, incarnation: 9, refutations: 0, state: State::Alive, by: 999 };
    let updates = vec![stranger; MAX_UPDATES];
    let message = Message {
        kind: badgerwind_members::Kind::Ping,
        serial: 1,
        about: 0,
        incarnation: 9,
        refutations: 0,
        updates,
    };
    let now = w.now;
    let one = w.members.get_mut(&0).unwrap();
    assert!(one.receive(now, 999, &message).is_empty());
    one.receive(now, 1, &message);
    assert_eq!(one.view().count(), 59);
}

#[test]
fn the_bytes_on_the_wire_are_those_of_the_format() {
    let update = Update { member: 8, incarnation: 9, refutations: 10, state: State::Suspect, by: 11 };
    let message = Message {
        kind: badgerwind_members::Kind::Ack,
        serial: 0x0102_0304,
        about: 5,
        incarnation: 6,
        refutations: 7,
        updates: vec![update],
    };
    let header = [0xb2, 1, 1, 2, 3, 4, 0, 5, 0, 0, 0, 0, 0, 0, 0, 6, 0, 0, 0, 7, 1];
    let body = [0, 8, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 10, 2, 0, 11];
    assert_eq!(message.bytes(), [&header[..], &body[..]].concat());
}

proptest! {
    #[test]
    fn messages_come_back_as_they_went_and_no_bytes_stop_a_reader(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Some(message) = Message::read(&bytes) {
            prop_assert_eq!(message.bytes(), bytes);
        }
    }

    #[test]
    fn any_message_has_room(n in 0usize..40, incarnation in any::<u64>(), kind in 0u8..4) {
        use badgerwind_members::Kind;
        let kind = [Kind::Ping, Kind::Ack, Kind::PingRequest, Kind::Nack][usize::from(kind)];
        let u = |m| Update { member: m as u16, incarnation, refutations: 7, state: State::Suspect, by: 3 };
        let message = Message { kind, serial: 1, about: 2, incarnation, refutations: 3, updates: (0..n).map(u).collect() };
        let bytes = message.bytes();
        prop_assert!(bytes.len() <= MAX_BYTES);
        let back = Message::read(&bytes).unwrap();
        prop_assert_eq!(&back.updates[..], &message.updates[..n.min(MAX_UPDATES)]);
    }
}
