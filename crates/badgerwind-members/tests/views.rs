//! Convergence of views under faults. Each test fails if the defect that it guards against is injected.

mod world;

use badgerwind_members::{
    DetectionSettings, Member, Members, Message, Mutant, State, Update, MAX_BYTES, MAX_UPDATES,
};
use proptest::prelude::*;
use rand::Rng;
use world::{World, MS, SECOND};

fn converged(n: Member, seed: u64, mutant: Option<Mutant>) -> World {
    let mut world = World::new(n, seed, mutant);
    assert!(
        world.time_until(20 * SECOND, World::views_are_correct).is_some(),
        "{n} members that start together know each other"
    );
    world
}

#[test]
fn all_views_follow_when_seven_in_ten_members_crash_and_restart() {
    for seed in 0..4 {
        let mut world = converged(20, seed, None);
        (6..20).for_each(|m| world.kill(m));
        assert!(
            world.time_until(30 * SECOND, World::views_are_correct).is_some(),
            "seed {seed}: {}",
            world.wrongly_dead()
        );
        assert!(world.members.values().all(|m| m.alive_count() == 6));
        (6..20).for_each(|m| world.start(m));
        assert!(world.time_until(30 * SECOND, World::views_are_correct).is_some(), "seed {seed}");
    }
}

/// Under 30 % loss, 10 % duplication and delay: the largest number of pairs in which a running member was
/// regarded as dead, and the number of 1200 samples with such a pair.
fn under_loss(mutant: Option<Mutant>) -> (usize, usize) {
    let (mut max_wrongly_dead, mut samples) = (0, 0);
    for seed in 0..6 {
        let mut world = converged(16, seed, mutant);
        (world.loss, world.duplication, world.delay) = (0.3, 0.1, 20 * MS);
        for _ in 0..200 {
            world.run(100 * MS);
            max_wrongly_dead = max_wrongly_dead.max(world.wrongly_dead());
            samples += usize::from(world.wrongly_dead() > 0);
        }
    }
    (max_wrongly_dead, samples)
}

#[test]
fn message_loss_alone_rarely_makes_a_member_seem_dead() {
    let (max_wrongly_dead, samples) = under_loss(None);
    assert!(max_wrongly_dead <= 1 && samples <= 12, "{max_wrongly_dead} of 240 pairs, {samples} samples");
    let (_, no_suspicion) = under_loss(Some(Mutant::NoSuspicion));
    assert!(no_suspicion > 100, "{no_suspicion}");
    let (_, no_indirect_probes) = under_loss(Some(Mutant::NoIndirectProbes));
    let (_, never_refutes) = under_loss(Some(Mutant::NeverRefutes));
    assert!(never_refutes > 100, "{never_refutes}");
    println!("samples of 1200 with a member wrongly dead: {samples}, no suspicion {no_suspicion}, no indirect probes {no_indirect_probes}, never refutes {never_refutes}");
}

/// How often a faulty member regards running members as suspect or dead: while it is paused for half of each
/// second, and while it receives every message 150 ms late.
fn suspicions_of_a_faulty_member(mutant: Option<Mutant>) -> (usize, usize) {
    let suspicions =
        |world: &World| world.members[&3].view().filter(|(_, s)| s.state != State::Alive).count();
    let (mut while_pausing, mut while_slow) = (0, 0);
    for seed in 0..6 {
        let mut world = converged(16, seed, mutant);
        for _ in 0..20 {
            world.paused.insert(3);
            world.run(500 * MS);
            world.paused.remove(&3);
            world.run(5 * MS);
            while_pausing += suspicions(&world);
            for _ in 0..10 {
                world.run(50 * MS);
                while_pausing += suspicions(&world);
            }
        }
        let mut world = converged(16, seed, mutant);
        world.extra_delay.insert(3, 150 * MS);
        world.run(2 * SECOND);
        for _ in 0..200 {
            world.run(50 * MS);
            while_slow += suspicions(&world);
        }
    }
    (while_pausing, while_slow)
}

#[test]
fn local_health_reduces_the_wrong_suspicions_of_a_faulty_member() {
    let (without, with) =
        (suspicions_of_a_faulty_member(Some(Mutant::NoLocalHealth)), suspicions_of_a_faulty_member(None));
    println!(
        "wrong suspicions by a pausing member and by a slow one: {with:?}, without local health {without:?}"
    );
    assert!(with.0 == 0 && without.0 > 0, "{with:?} {without:?}");
    assert!(2 * with.1 < without.1, "{with:?} {without:?}");
}

fn healed_partition(mutant: Option<Mutant>, both_ways: bool) -> Option<u64> {
    let mut world = converged(12, 5, mutant);
    let (a, b): (Vec<Member>, Vec<Member>) = ((0..6).collect(), (6..12).collect());
    world.cut_between(&a, &b, both_ways);
    world.run(20 * SECOND);
    if both_ways {
        assert!(world.members.values().all(|m| m.alive_count() == 6), "each half sees only itself");
    }
    world.broken_links.clear();
    world.time_until(30 * SECOND, World::views_are_correct)
}

#[test]
fn a_healed_partition_merges_because_dead_members_are_probed() {
    assert!(healed_partition(None, true).is_some());
    assert!(healed_partition(None, false).is_some());
    assert_eq!(
        healed_partition(Some(Mutant::NeverProbesDead), true),
        None,
        "no member probes the other half"
    );
}

#[test]
fn a_member_that_restarts_thirty_times_is_alive_in_its_last_incarnation() {
    let mut world = converged(8, 9, None);
    for _ in 0..30 {
        world.kill(4);
        let pause = world.rng.random_range(0..400) * MS;
        world.run(pause);
        world.start(4);
        let running = world.rng.random_range(0..400) * MS;
        world.run(running);
    }
    assert!(world.time_until(20 * SECOND, World::views_are_correct).is_some());
}

#[test]
fn updates_of_an_earlier_incarnation_change_nothing() {
    let stale = |mutant| {
        let mut world = converged(5, 3, mutant);
        let (incarnation, refutations) = (world.members[&2].incarnation(), 0);
        world.kill(2);
        assert!(world.time_until(20 * SECOND, World::views_are_correct).is_some());
        world.start(2);
        assert!(world.time_until(20 * SECOND, World::views_are_correct).is_some());
        // An update that reports the death of the earlier incarnation arrives again.
        let dead = Update { member: 2, incarnation, refutations, state: State::Dead, reported_by: 1 };
        let (from, head) = (1, world.members[&1].incarnation());
        let message = Message {
            kind: badgerwind_members::Kind::Nack,
            serial: 0,
            target: 1,
            incarnation: head,
            refutations: 0,
            updates: vec![dead],
        };
        let now = world.now;
        world.members.get_mut(&0).unwrap().receive(now, from, &message);
        world.state(0, 2)
    };
    assert_eq!(stale(None), State::Alive);
    assert_eq!(stale(Some(Mutant::AcceptsStaleUpdates)), State::Dead);
}

#[test]
fn a_member_that_leaves_is_removed_at_once_and_returns_in_a_new_incarnation() {
    let mut world = converged(8, 2, None);
    let out = world.members.get_mut(&5).unwrap().leave();
    assert_eq!(out.len(), 3);
    world.send(5, out);
    world.kill(5);
    let took = world.time_until(20 * SECOND, World::views_are_correct).unwrap();
    assert!(
        world.members.keys().all(|m| world.state(*m, 5) == State::Left),
        "no member had to suspect it; {took} us"
    );
    world.start(5);
    assert!(world.time_until(20 * SECOND, World::views_are_correct).is_some());
}

#[test]
fn a_clock_that_went_back_over_a_restart_is_corrected_by_the_others() {
    let mut world = converged(6, 4, None);
    world.kill(1);
    assert!(world.time_until(20 * SECOND, World::views_are_correct).is_some());
    let first = world.now;
    world.members.insert(1, Members::new(first, (1, 0), 0..6, DetectionSettings::for_period(world::PERIOD)));
    assert!(
        world.time_until(20 * SECOND, World::views_are_correct).is_some(),
        "an incarnation smaller than the one that crashed"
    );
}

#[test]
fn what_a_member_sends_and_stores_is_bounded_by_the_settings() {
    let mut world = converged(60, 1, None);
    (world.sent, world.bytes) = (0, 0);
    world.run(10 * SECOND);
    let messages_per_second = world.sent as f64 / 60.0 / 10.0;
    assert!(
        messages_per_second < 2.2 * SECOND as f64 / world::PERIOD as f64,
        "{messages_per_second} messages a second and member: one probe and one answer per period"
    );
    // Numbers that are not in the settings are ignored.
    let stranger =
        Update { member: 999, incarnation: 9, refutations: 0, state: State::Alive, reported_by: 999 };
    let updates = vec![stranger; MAX_UPDATES];
    let message = Message {
        kind: badgerwind_members::Kind::Ping,
        serial: 1,
        target: 0,
        incarnation: 9,
        refutations: 0,
        updates,
    };
    let now = world.now;
    let one = world.members.get_mut(&0).unwrap();
    assert!(one.receive(now, 999, &message).is_empty());
    one.receive(now, 1, &message);
    assert_eq!(one.view().count(), 59);
}

#[test]
fn a_message_has_the_documented_encoding() {
    let update =
        Update { member: 8, incarnation: 9, refutations: 10, state: State::Suspect, reported_by: 11 };
    let message = Message {
        kind: badgerwind_members::Kind::Ack,
        serial: 0x0102_0304,
        target: 5,
        incarnation: 6,
        refutations: 7,
        updates: vec![update],
    };
    let header = [0xb2, 1, 1, 2, 3, 4, 0, 5, 0, 0, 0, 0, 0, 0, 0, 6, 0, 0, 0, 7, 1];
    let body = [0, 8, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 10, 2, 0, 11];
    assert_eq!(message.encode(), [&header[..], &body[..]].concat());
}

proptest! {
    #[test]
    fn decoding_reverses_encoding_and_accepts_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Some(message) = Message::decode(&bytes) {
            prop_assert_eq!(message.encode(), bytes);
        }
    }

    #[test]
    fn any_message_fits_the_size_limit(n in 0usize..40, incarnation in any::<u64>(), kind in 0u8..4) {
        use badgerwind_members::Kind;
        let kind = [Kind::Ping, Kind::Ack, Kind::PingRequest, Kind::Nack][usize::from(kind)];
        let u = |m| Update { member: m as u16, incarnation, refutations: 7, state: State::Suspect, reported_by: 3 };
        let message = Message { kind, serial: 1, target: 2, incarnation, refutations: 3, updates: (0..n).map(u).collect() };
        let bytes = message.encode();
        prop_assert!(bytes.len() <= MAX_BYTES);
        let back = Message::decode(&bytes).unwrap();
        prop_assert_eq!(&back.updates[..], &message.updates[..n.min(MAX_UPDATES)]);
    }
}
