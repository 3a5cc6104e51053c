//! Random scenarios with faults: no member acts in an incarnation whose end is committed, all members derive
//! the same state from the same entries, each announcement is accepted once and in order, and the members
//! recover after the last fault.

mod world;

use badgerwind_register::Mutant;
use world::*;

/// The number of scenarios: by default the number that CI runs; `REGISTER_DAYS` overrides it.
fn scenario_count(default: u64) -> u64 {
    std::env::var("REGISTER_DAYS").ok().and_then(|d| d.parse().ok()).unwrap_or(default)
}

#[test]
fn random_scenarios_violate_no_invariant() {
    let (mut incarnations, mut ends, mut announcements, mut live, mut running) = (0, 0, 0, 0, 0);
    for seed in 0..scenario_count(60) {
        let observed = World::new(random_scenario(seed)).run();
        assert_eq!(observed.violation, None, "seed {seed}");
        incarnations += observed.incarnations;
        ends += observed.ends;
        announcements += observed.announcements;
        live += observed.alive_at_end;
        running += observed.running_at_end;
    }
    println!("{incarnations} incarnations, {ends} ends, {announcements} announcements; {live} of {running} members live at the end");
    assert!(
        ends > 100 && announcements > 10_000,
        "too few events to test anything: {ends} ends, {announcements} announcements"
    );
    assert!(live * 100 >= running * 97, "{live} of {running} running members are live at the end");
}

/// Each mutant with a seed that detects it. `REGISTER_SEARCH`, set to a mutant's name or a part of it,
/// searches the first such seed.
const MUTANTS: [(Mutant, u64); 10] = [
    (Mutant::GrantsWithoutProof, 864),
    (Mutant::NewLeaderEndsAtOnce, 6),
    (Mutant::LeaseFromReceipt, 0),
    (Mutant::IgnoresDrift, 18),
    (Mutant::GrantsWhileEnding, 4),
    (Mutant::AcceptsFromEndedIncarnation, 4),
    (Mutant::AcceptsDuplicates, 0),
    (Mutant::AcceptsGaps, 0),
    (Mutant::JoinsWhileLive, 0),
    (Mutant::VoterLosesState, 4),
];

#[test]
fn every_mutant_is_detected() {
    let search = std::env::var("REGISTER_SEARCH").ok();
    for (mutant, seed) in MUTANTS {
        let violation = |seed: u64| {
            World::new(Scenario { mutant: Some(mutant), ..random_scenario(seed) }).run().violation
        };
        if let Some(name) = &search {
            if format!("{mutant:?}").contains(name.as_str()) {
                println!("{mutant:?}: {:?}", (0..2000).find(|&s| violation(s).is_some()));
            }
        } else {
            assert!(violation(seed).is_some(), "{mutant:?} was not detected at seed {seed}");
            assert_eq!(
                World::new(random_scenario(seed)).run().violation,
                None,
                "seed {seed} without the mutant"
            );
        }
    }
}
