//! Floods of forgeries: what they may cost, and whom.

use badgerwind_guard::{forwarded, Bounds, Budget, Guard, Permit, Source, Turned, Who};
use proptest::prelude::*;
use std::net::IpAddr;

const SECOND: u64 = 1_000_000;

fn bounds() -> Bounds {
    Bounds {
        source: Budget { burst: 10, rate: 2 },
        sender: Budget { burst: 30, rate: 5 },
        sources: 4,
        known_for: 60 * SECOND,
        bytes: 65_536,
    }
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([192, 0, 2, n])
}

fn who(n: u8, sender: usize) -> Who {
    Who { source: Source::of(ip(n)), sender }
}

/// How many of so many messages at one moment are let in to be checked, all forged.
fn forged(guard: &mut Guard, now: u64, who: Who, count: usize) -> usize {
    let permits: Vec<_> = (0..count).filter_map(|_| guard.enter(now, who, 0).ok()).collect();
    let n = permits.len();
    permits.into_iter().for_each(|p| guard.failed(now, p));
    n
}

fn signs(guard: &mut Guard, now: u64, who: Who) -> Result<(), Turned> {
    let permit = guard.enter(now, who, 0)?;
    guard.good(now, permit);
    Ok(())
}

#[test]
fn a_source_that_forges_is_turned_away_and_told_for_how_long() {
    let mut guard = Guard::new(0, bounds());
    assert_eq!(forged(&mut guard, 0, who(1, 0), 50), 10);
    assert_eq!(guard.enter(0, who(1, 0), 0).unwrap_err(), Turned::Source(SECOND / 2));
    assert!(guard.enter(SECOND / 2 - 1, who(1, 0), 0).is_err());
    assert_eq!(forged(&mut guard, SECOND / 2, who(1, 0), 50), 1);
    assert_eq!(forged(&mut guard, 10 * SECOND, who(1, 0), 50), 10, "whole again, and no more than whole");
    assert_eq!(signs(&mut guard, 10 * SECOND, who(2, 0)), Ok(()), "another source pays nothing of it");
}

#[test]
fn who_signs_rightly_never_pays() {
    let mut guard = Guard::new(0, bounds());
    for n in 0..1000 {
        signs(&mut guard, n, who(1, 0)).unwrap();
    }
    assert_eq!((guard.watched(), guard.known()), (0, 1));
}

#[test]
fn nobody_is_shut_out_by_others_that_forge_its_messages() {
    let mut guard = Guard::new(0, Bounds { sources: 100, ..bounds() });
    signs(&mut guard, 0, who(1, 0)).unwrap();
    let let_in: usize = (10..60).map(|n| forged(&mut guard, 0, who(n, 0), 50)).sum();
    assert_eq!(let_in, 30, "fifty sources together spend the strangers' budget of that sender");
    assert_eq!(guard.enter(0, who(99, 0), 0).unwrap_err(), Turned::Strangers(SECOND / 5));
    for _ in 0..100 {
        signs(&mut guard, 0, who(1, 0)).unwrap();
    }
    signs(&mut guard, 0, who(99, 1)).unwrap(); // nor does it touch another sender
                                               // Known no longer, it is a stranger like others.
    let later = 61 * SECOND;
    for n in 10..60 {
        forged(&mut guard, later, who(n, 0), 50);
    }
    assert!(matches!(signs(&mut guard, later, who(1, 0)), Err(Turned::Strangers(_))));
}

#[test]
fn one_who_is_known_and_then_forges_spends_its_own_budget_alone() {
    let mut guard = Guard::new(0, bounds());
    signs(&mut guard, 0, who(1, 0)).unwrap();
    let mut tried = 0;
    while let Ok(permit) = guard.enter(0, who(1, 0), 0) {
        guard.failed(0, permit);
        tried += 1;
    }
    assert_eq!(tried, 10);
    assert_eq!(forged(&mut guard, 0, who(2, 0), 50), 10, "strangers' budget is whole");
}

#[test]
fn large_bodies_cost_as_many_small_ones() {
    let mut guard = Guard::new(0, bounds());
    let mut enter = |bytes| guard.enter(0, who(1, 0), bytes);
    let first = enter(7 * 65_536).unwrap();
    assert!(enter(7 * 65_536).is_err(), "eight of ten are spent");
    let second = enter(65_536).unwrap();
    assert!(enter(0).is_err());
    guard.good(0, first);
    guard.failed(0, second);
    // One that costs more than the whole budget is let in by a whole budget, or it never would be.
    let mut guard = Guard::new(0, bounds());
    assert!(guard.enter(0, who(1, 0), 1 << 30).is_ok());
    assert!(guard.enter(0, who(1, 0), 0).is_err());
}

#[test]
fn sources_beyond_the_table_share_one_budget_and_whole_ones_give_up_their_place() {
    let mut guard = Guard::new(0, bounds());
    for n in 1..=4 {
        assert_eq!(forged(&mut guard, 0, who(n, n.into()), 1), 1);
    }
    assert_eq!(guard.watched(), 4);
    let beyond: usize = (5..50).map(|n| forged(&mut guard, 0, who(n, n.into()), 1)).sum();
    assert_eq!((beyond, guard.watched()), (10, 4));
    // After half a second the first four are whole: places are free again.
    let mut later = |n: u8| forged(&mut guard, SECOND / 2, who(n, n.into()), 3);
    assert_eq!((later(5), later(6), later(7), later(8)), (3, 3, 3, 3));
    assert_eq!(guard.watched(), 4);
}

#[test]
fn a_budget_that_never_refills_says_so_by_a_long_wait_and_keeps_no_place_for_ever() {
    let none = Budget { burst: 2, rate: 0 };
    let mut guard = Guard::new(0, Bounds { source: none, sources: 1, ..bounds() });
    assert_eq!(forged(&mut guard, 0, who(1, 0), 5), 2);
    assert_eq!(guard.enter(0, who(1, 0), 0).unwrap_err().wait(), 3600 * SECOND);
    assert_eq!(forged(&mut guard, 3600 * SECOND, who(2, 0), 5), 2);
    assert_eq!(guard.watched(), 1);
}

#[test]
fn addresses_are_counted_as_one_host_has_them() {
    let source = |t: &str| Source::of(t.parse().unwrap());
    assert_eq!(source("2001:db8::1"), source("2001:db8::ffff:1"));
    assert_ne!(source("2001:db8::1"), source("2001:db8:0:1::1"));
    assert_eq!(source("::ffff:192.0.2.1"), source("192.0.2.1"));
    assert_ne!(source("192.0.2.1"), source("192.0.2.2"));
    assert_eq!(source("2001:db8::1").to_string(), "2001:db8::/64");
}

#[test]
fn only_what_a_trusted_balancer_appended_is_believed() {
    let balancers = [ip(250), ip(251)];
    let behind =
        |peer, header: Option<&str>| forwarded(peer, &balancers, header.as_slice()).map(|a| a.to_string());
    let is = |t: &str| Some(t.to_owned());
    assert_eq!(behind(ip(250), Some("198.51.100.7")), is("198.51.100.7"));
    assert_eq!(
        behind(ip(250), Some("203.0.113.9, 198.51.100.7")),
        is("198.51.100.7"),
        "the first is a claim"
    );
    assert_eq!(behind(ip(250), Some("203.0.113.9,198.51.100.7 , 192.0.2.251")), is("198.51.100.7"));
    assert_eq!(behind(ip(250), Some("198.51.100.7:4711")), is("198.51.100.7"));
    assert_eq!(behind(ip(250), Some("[2001:db8::1]:4711")), is("2001:db8::1"));
    assert_eq!(behind(ip(250), Some("[2001:db8::1]")), is("2001:db8::1"));
    // A forger's own line before the balancer's buys it nothing, nor does it hide behind the balancer's address.
    let two = ["203.0.113.9", "198.51.100.7, 192.0.2.251"];
    assert_eq!(forwarded(ip(250), &balancers, &two).map(|a| a.to_string()), is("198.51.100.7"));
    for (peer, header) in [
        (ip(1), Some("198.51.100.7")),
        (ip(250), None),
        (ip(250), Some("")),
        (ip(250), Some("198.51.100.7, unknown")),
        (ip(250), Some("192.0.2.251")),
    ] {
        assert_eq!(behind(peer, header), None, "{peer} {header:?}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Enter(u8, usize, u64),
    End(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u64..2_000_000).prop_map(Step::Pass),
        (0u8..8, 0usize..2, 0u64..200_000).prop_map(|(n, s, b)| Step::Enter(n, s, b)),
        (0usize..64, 0u8..4).prop_map(|(n, how)| Step::End(n, how)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..ProptestConfig::with_cases(400) })]

    /// Over any history, what strangers cost as one sender stays within its budget, whatever is out at once; tables
    /// stay within their bounds; and who only ever signs rightly is let in while its source has failed nothing.
    #[test]
    fn what_a_flood_costs_is_bounded(steps in prop::collection::vec(step(), 1..300)) {
        let b = bounds();
        let (mut guard, mut now) = (Guard::new(0, b), 0u64);
        let mut out: Vec<(Permit, Who, bool, u64)> = Vec::new();
        let mut spent = [0u64; 2];
        let mut clean = [true; 8];
        let mut known: std::collections::HashMap<Who, u64> = Default::default();
        for step in steps {
            match step {
                Step::Pass(t) => now += t,
                Step::Enter(n, sender, bytes) => {
                    let who = who(n, sender);
                    let stranger = known.get(&who).is_none_or(|at| now >= at + b.known_for);
                    match guard.enter(now, who, bytes) {
                        Ok(p) => out.push((p, who, stranger, 1_000_000 * (1 + bytes / 65_536))),
                        // The shared budget is others' too, so it is told apart by who has a place.
                        Err(_) => prop_assert!(stranger || !clean[usize::from(n)] || guard.watched() >= b.sources),
                    }
                }
                Step::End(n, how) if !out.is_empty() => {
                    let n = n % out.len();
                    let (permit, who, stranger, cost) = out.swap_remove(n);
                    let at = (0..8u8).find(|n| self::who(*n, who.sender) == who).unwrap_or(0);
                    match how {
                        0 => {
                            guard.good(now, permit);
                            known.insert(who, now);
                        }
                        1 | 2 => {
                            guard.failed(now, permit);
                            clean[usize::from(at)] = false;
                            spent[who.sender] += if stranger { cost } else { 0 };
                        }
                        _ => {
                            drop(permit); // lost on the way
                            clean[usize::from(at)] = false;
                            spent[who.sender] += if stranger { cost } else { 0 };
                        }
                    }
                }
                Step::End(..) => {}
            }
            let most = 30 * 1_000_000 + 5 * now;
            prop_assert!(spent[0] <= most && spent[1] <= most, "{spent:?} of {most} at {now}");
            prop_assert!(guard.watched() <= b.sources && guard.known() <= b.sources);
        }
    }
}
