//! The simulated network: delays by location, partitions, stopped members, drifting clocks, traffic counts,
//! and determinism for a given seed.

use badgerwind_scale::rows::network::{
    Area, Conditions, Event, Location, Network, MILLISECOND, REGIONS, SECOND, ZONES,
};

fn lossless() -> Conditions {
    Conditions { loss: 0.0, ..Conditions::wide_area() }
}

fn arrivals(network: &mut Network, until: u64) -> Vec<(u64, usize, usize)> {
    let mut arrived = Vec::new();
    while let Some(event) = network.next_event(until) {
        if let Event::Datagram { from, to, .. } = event {
            arrived.push((network.now(), from, to));
        }
    }
    arrived
}

#[test]
fn members_are_distributed_evenly_over_zones_and_regions() {
    let network = Network::new(lossless(), 2 * ZONES, 1);
    for zone in 0..ZONES {
        assert_eq!(network.members_in(Area::Zone(zone)).len(), 2);
    }
    for region in 0..REGIONS {
        assert_eq!(network.members_in(Area::Region(region)).len(), 2 * ZONES / REGIONS);
    }
    assert_eq!(network.members_in(Area::Everywhere).len(), 2 * ZONES);
    assert_ne!(Location::of(0).region, Location::of(1).region);
}

#[test]
fn delays_grow_with_the_distance() {
    let mut network = Network::new(lossless(), 2 * ZONES, 1);
    let (same_zone, same_region, next_region, far_region) = (ZONES, REGIONS, 1, 3);
    for to in [same_zone, same_region, next_region, far_region] {
        network.send(0, to, "test", vec![0]);
    }
    let order: Vec<usize> = arrivals(&mut network, SECOND).into_iter().map(|(_, _, to)| to).collect();
    assert_eq!(order, [same_zone, same_region, next_region, far_region]);
}

#[test]
fn blocked_datagrams_are_lost_in_one_or_both_directions_until_healed() {
    let mut network = Network::new(lossless(), 2 * ZONES, 1);
    network.block(Area::Member(0), Area::Region(1));
    network.send(0, 1, "test", vec![0]);
    network.send(1, 0, "test", vec![0]);
    assert_eq!(arrivals(&mut network, SECOND).len(), 1, "blocked in one direction only");
    network.isolate_regions();
    network.send(2, 3, "test", vec![0]);
    network.send(3, 2, "test", vec![0]);
    network.send(2, 2 + REGIONS, "test", vec![0]);
    assert_eq!(arrivals(&mut network, 2 * SECOND).len(), 1, "only the datagram within a region arrives");
    network.heal();
    network.send(0, 1, "test", vec![0]);
    assert_eq!(arrivals(&mut network, 3 * SECOND).len(), 1);
    assert_eq!(network.lost_datagrams(), 3);
}

#[test]
fn a_stopped_member_receives_nothing_and_a_restart_discards_earlier_timers() {
    let mut network = Network::new(lossless(), 2, 1);
    network.set_timer(1, 7, 10 * MILLISECOND);
    network.send(0, 1, "test", vec![0]);
    network.stop(1);
    assert_eq!(network.next_event(SECOND), None);
    network.start(1);
    network.set_timer(1, 8, 0);
    assert_eq!(network.next_event(2 * SECOND), Some(Event::Timer { member: 1, id: 8 }));
    assert_eq!(network.next_event(2 * SECOND), None);
}

#[test]
fn clocks_drift_within_their_limit_and_timers_follow_them() {
    let conditions = Conditions { max_drift_ppm: 1_000, ..lossless() };
    let mut network = Network::new(conditions, 50, 3);
    (0..50).for_each(|member| network.set_timer(member, 0, 1_000 * SECOND));
    let mut expired_at = Vec::new();
    while let Some(Event::Timer { member, .. }) = network.next_event(2_000 * SECOND) {
        assert!(network.local_time(member) >= 1_000 * SECOND, "a timer expired early by the local clock");
        assert!(network.local_time(member) <= 1_000 * SECOND + 2);
        expired_at.push(network.now());
    }
    let (first, last) = (expired_at[0], expired_at[49]);
    assert!(first >= 999 * SECOND - MILLISECOND && last <= 1_001 * SECOND + 2 * MILLISECOND);
    assert!(last - first > SECOND / 2, "the clocks do not differ");
}

#[test]
fn messages_and_bytes_are_counted_by_kind_at_both_ends() {
    let mut network = Network::new(lossless(), 2, 1);
    network.send(0, 1, "ping", vec![0; 21]);
    network.send(0, 1, "ping", vec![0; 30]);
    network.send(1, 0, "ack", vec![0; 5]);
    arrivals(&mut network, SECOND);
    assert_eq!((network.sent(0).for_kind("ping").messages, network.sent(0).for_kind("ping").bytes), (2, 51));
    assert_eq!(network.received(1).for_kind("ping"), network.sent(0).for_kind("ping"));
    assert_eq!((network.traffic(0).messages, network.traffic(0).bytes), (3, 56));
    network.reset_counts();
    assert_eq!(network.traffic(0).messages, 0);
}

#[test]
fn the_same_seed_gives_the_same_run_and_a_different_seed_a_different_one() {
    let run = |seed| {
        let mut network = Network::new(Conditions { loss: 0.3, ..lossless() }, 30, seed);
        for n in 0..1_000 {
            network.send(n % 30, (n * 7 + 1) % 30, "test", vec![0; n % 50]);
        }
        arrivals(&mut network, SECOND)
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
