//! Floods of forged messages: how much time they may cost, and which senders they may affect.

use badgerwind_guard::{forwarded_address, Budget, Claimant, Guard, Limits, Permit, Rejection, Source};
use proptest::prelude::*;
use std::net::IpAddr;

const SECOND: u64 = 1_000_000;

fn limits() -> Limits {
    Limits {
        source: Budget { burst: 10, rate: 2 },
        sender: Budget { burst: 30, rate: 5 },
        max_sources: 4,
        known_duration: 60 * SECOND,
        bytes_per_check: 65_536,
    }
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([192, 0, 2, n])
}

fn claimant(n: u8, sender: usize) -> Claimant {
    Claimant { source: Source::from_address(ip(n)), sender }
}

/// Tries to have `count` forged messages checked at once, and returns how many were admitted.
fn admitted_forgeries(guard: &mut Guard, now: u64, claimant: Claimant, count: usize) -> usize {
    let permits: Vec<_> = (0..count).filter_map(|_| guard.admit(now, claimant, 0).ok()).collect();
    let n = permits.len();
    permits.into_iter().for_each(|p| guard.record_invalid(now, p));
    n
}

fn send_valid(guard: &mut Guard, now: u64, claimant: Claimant) -> Result<(), Rejection> {
    let permit = guard.admit(now, claimant, 0)?;
    guard.record_valid(now, permit);
    Ok(())
}

#[test]
fn a_source_with_invalid_signatures_is_rejected_with_a_wait() {
    let mut guard = Guard::new(0, limits());
    assert_eq!(admitted_forgeries(&mut guard, 0, claimant(1, 0), 50), 10);
    assert_eq!(guard.admit(0, claimant(1, 0), 0).unwrap_err(), Rejection::Source(SECOND / 2));
    assert!(guard.admit(SECOND / 2 - 1, claimant(1, 0), 0).is_err());
    assert_eq!(admitted_forgeries(&mut guard, SECOND / 2, claimant(1, 0), 50), 1);
    let admitted = admitted_forgeries(&mut guard, 10 * SECOND, claimant(1, 0), 50);
    assert_eq!(admitted, 10, "the budget is full again, and not more than full");
    assert_eq!(send_valid(&mut guard, 10 * SECOND, claimant(2, 0)), Ok(()), "another source is not affected");
}

#[test]
fn valid_signatures_cost_nothing() {
    let mut guard = Guard::new(0, limits());
    for n in 0..1000 {
        send_valid(&mut guard, n, claimant(1, 0)).unwrap();
    }
    assert_eq!((guard.tracked_sources(), guard.known_pairs()), (0, 1));
}

#[test]
fn forgeries_by_others_do_not_lock_a_known_source_out() {
    let mut guard = Guard::new(0, Limits { max_sources: 100, ..limits() });
    send_valid(&mut guard, 0, claimant(1, 0)).unwrap();
    let admitted: usize = (10..60).map(|n| admitted_forgeries(&mut guard, 0, claimant(n, 0), 50)).sum();
    assert_eq!(admitted, 30, "fifty sources together spend the sender's budget for unknown sources");
    assert_eq!(guard.admit(0, claimant(99, 0), 0).unwrap_err(), Rejection::UnknownSources(SECOND / 5));
    for _ in 0..100 {
        send_valid(&mut guard, 0, claimant(1, 0)).unwrap();
    }
    send_valid(&mut guard, 0, claimant(99, 1)).unwrap(); // another sender is not affected

    // Once the source is not known any longer, it is treated like other unknown sources.
    let later = 61 * SECOND;
    for n in 10..60 {
        admitted_forgeries(&mut guard, later, claimant(n, 0), 50);
    }
    assert!(matches!(send_valid(&mut guard, later, claimant(1, 0)), Err(Rejection::UnknownSources(_))));
}

#[test]
fn a_known_source_with_invalid_signatures_spends_only_its_own_budget() {
    let mut guard = Guard::new(0, limits());
    send_valid(&mut guard, 0, claimant(1, 0)).unwrap();
    let mut admitted = 0;
    while let Ok(permit) = guard.admit(0, claimant(1, 0), 0) {
        guard.record_invalid(0, permit);
        admitted += 1;
    }
    assert_eq!(admitted, 10);
    let admitted = admitted_forgeries(&mut guard, 0, claimant(2, 0), 50);
    assert_eq!(admitted, 10, "the sender's budget for unknown sources is full");
}

#[test]
fn a_large_body_costs_as_much_as_several_checks() {
    let mut guard = Guard::new(0, limits());
    let mut admit = |bytes| guard.admit(0, claimant(1, 0), bytes);
    let first = admit(7 * 65_536).unwrap();
    assert!(admit(7 * 65_536).is_err(), "eight of ten checks are spent");
    let second = admit(65_536).unwrap();
    assert!(admit(0).is_err());
    guard.record_valid(0, first);
    guard.record_invalid(0, second);
    // A message that costs more than the whole budget is admitted by a full budget; otherwise it never could
    // be.
    let mut guard = Guard::new(0, limits());
    assert!(guard.admit(0, claimant(1, 0), 1 << 30).is_ok());
    assert!(guard.admit(0, claimant(1, 0), 0).is_err());
}

#[test]
fn sources_beyond_the_limit_share_one_budget_and_full_budgets_make_room() {
    let mut guard = Guard::new(0, limits());
    for n in 1..=4 {
        assert_eq!(admitted_forgeries(&mut guard, 0, claimant(n, n.into()), 1), 1);
    }
    assert_eq!(guard.tracked_sources(), 4);
    let beyond: usize = (5..50).map(|n| admitted_forgeries(&mut guard, 0, claimant(n, n.into()), 1)).sum();
    assert_eq!((beyond, guard.tracked_sources()), (10, 4));
    // After half a second the budgets of the first four are full, and make room for others.
    let mut later = |n: u8| admitted_forgeries(&mut guard, SECOND / 2, claimant(n, n.into()), 3);
    assert_eq!((later(5), later(6), later(7), later(8)), (3, 3, 3, 3));
    assert_eq!(guard.tracked_sources(), 4);
}

#[test]
fn a_budget_without_refill_reports_the_longest_wait_and_is_not_stored_for_ever() {
    let no_refill = Budget { burst: 2, rate: 0 };
    let mut guard = Guard::new(0, Limits { source: no_refill, max_sources: 1, ..limits() });
    assert_eq!(admitted_forgeries(&mut guard, 0, claimant(1, 0), 5), 2);
    assert_eq!(guard.admit(0, claimant(1, 0), 0).unwrap_err().wait(), 3600 * SECOND);
    assert_eq!(admitted_forgeries(&mut guard, 3600 * SECOND, claimant(2, 0), 5), 2);
    assert_eq!(guard.tracked_sources(), 1);
}

#[test]
fn addresses_of_one_host_belong_to_one_source() {
    let source = |t: &str| Source::from_address(t.parse().unwrap());
    assert_eq!(source("2001:db8::1"), source("2001:db8::ffff:1"));
    assert_ne!(source("2001:db8::1"), source("2001:db8:0:1::1"));
    assert_eq!(source("::ffff:192.0.2.1"), source("192.0.2.1"));
    assert_ne!(source("192.0.2.1"), source("192.0.2.2"));
    assert_eq!(source("2001:db8::1").to_string(), "2001:db8::/64");
}

#[test]
fn only_addresses_appended_by_trusted_balancers_are_used() {
    let balancers = [ip(250), ip(251)];
    let behind = |peer, header: Option<&str>| {
        forwarded_address(peer, &balancers, header.as_slice()).map(|a| a.to_string())
    };
    let is = |t: &str| Some(t.to_owned());
    assert_eq!(behind(ip(250), Some("198.51.100.7")), is("198.51.100.7"));
    assert_eq!(
        behind(ip(250), Some("203.0.113.9, 198.51.100.7")),
        is("198.51.100.7"),
        "the client may have sent the first one"
    );
    assert_eq!(behind(ip(250), Some("203.0.113.9,198.51.100.7 , 192.0.2.251")), is("198.51.100.7"));
    assert_eq!(behind(ip(250), Some("198.51.100.7:4711")), is("198.51.100.7"));
    assert_eq!(behind(ip(250), Some("[2001:db8::1]:4711")), is("2001:db8::1"));
    assert_eq!(behind(ip(250), Some("[2001:db8::1]")), is("2001:db8::1"));
    // A header line sent by the client itself is ignored, also before a line that ends with a balancer's
    // address.
    let two = ["203.0.113.9", "198.51.100.7, 192.0.2.251"];
    assert_eq!(forwarded_address(ip(250), &balancers, &two).map(|a| a.to_string()), is("198.51.100.7"));
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
    Wait(u64),
    Admit(u8, usize, u64),
    End(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u64..2_000_000).prop_map(Step::Wait),
        (0u8..8, 0usize..2, 0u64..200_000).prop_map(|(n, s, b)| Step::Admit(n, s, b)),
        (0usize..64, 0u8..4).prop_map(|(n, how)| Step::End(n, how)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..ProptestConfig::with_cases(400) })]

    /// In any history, checks of unknown sources stay within the sender's budget, however many are in
    /// progress at once; the tables stay within their limits; and a known source without failed checks is
    /// admitted.
    #[test]
    fn the_cost_of_a_flood_is_bounded(steps in prop::collection::vec(step(), 1..300)) {
        let limits = limits();
        let (mut guard, mut now) = (Guard::new(0, limits), 0u64);
        let mut out: Vec<(Permit, Claimant, bool, u64)> = Vec::new();
        let mut spent = [0u64; 2];
        let mut clean = [true; 8];
        let mut known: std::collections::HashMap<Claimant, u64> = Default::default();
        for step in steps {
            match step {
                Step::Wait(t) => now += t,
                Step::Admit(n, sender, bytes) => {
                    let claimant = claimant(n, sender);
                    let unknown = known.get(&claimant).is_none_or(|at| now >= at + limits.known_duration);
                    match guard.admit(now, claimant, bytes) {
                        Ok(p) => out.push((p, claimant, unknown, 1_000_000 * (1 + bytes / 65_536))),
                        // While the table is full, the source may pay from the shared budget, which others
                        // have spent.
                        Err(_) => prop_assert!(unknown || !clean[usize::from(n)] || guard.tracked_sources() >= limits.max_sources),
                    }
                }
                Step::End(n, how) if !out.is_empty() => {
                    let n = n % out.len();
                    let (permit, claimant, unknown, cost) = out.swap_remove(n);
                    let at = (0..8u8).find(|n| self::claimant(*n, claimant.sender) == claimant).unwrap_or(0);
                    match how {
                        0 => {
                            guard.record_valid(now, permit);
                            known.insert(claimant, now);
                        }
                        1 | 2 => {
                            guard.record_invalid(now, permit);
                            clean[usize::from(at)] = false;
                            spent[claimant.sender] += if unknown { cost } else { 0 };
                        }
                        _ => {
                            drop(permit); // the result is never recorded
                            clean[usize::from(at)] = false;
                            spent[claimant.sender] += if unknown { cost } else { 0 };
                        }
                    }
                }
                Step::End(..) => {}
            }
            let most = 30 * 1_000_000 + 5 * now;
            prop_assert!(spent[0] <= most && spent[1] <= most, "{spent:?} of {most} at {now}");
            prop_assert!(guard.tracked_sources() <= limits.max_sources && guard.known_pairs() <= limits.max_sources);
        }
    }
}
