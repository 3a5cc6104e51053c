//! Drawn days: no member acts in an incarnation whose end stands anywhere, all come to the same from the same entries, each word is
//! taken once and in order, and after the last fault all are back.

mod world;

use badgerwind_register::Mutant;
use world::*;

/// Days that CI plays; `REGISTER_DAYS` sets another number.
fn days(usual: u64) -> u64 {
    std::env::var("REGISTER_DAYS").ok().and_then(|d| d.parse().ok()).unwrap_or(usual)
}

#[test]
fn drawn_days_keep_every_promise() {
    let (mut incarnations, mut ends, mut words, mut back, mut running) = (0, 0, 0, 0, 0);
    for seed in 0..days(60) {
        let seen = World::new(draw(seed)).play();
        assert_eq!(seen.broken, None, "seed {seed}");
        incarnations += seen.incarnations;
        ends += seen.ends;
        words += seen.words;
        back += seen.alive_at_end;
        running += seen.running_at_end;
    }
    println!("{incarnations} incarnations, {ends} ends, {words} words; {back} of {running} members live at the end");
    assert!(ends > 100 && words > 10_000, "the days would show nothing: {ends} ends, {words} words");
    assert!(back * 100 >= running * 97, "{back} of {running} members that run are back");
}

/// Each with a seed at which it shows; `REGISTER_SEARCH` with a name, or a part of one, looks for the first anew.
const DEFECTS: [(Mutant, u64); 10] = [
    (Mutant::GrantsWithoutProof, 864),
    (Mutant::NewLeaderEndsAtOnce, 6),
    (Mutant::LeaseFromReceipt, 0),
    (Mutant::IgnoresDrift, 18),
    (Mutant::GrantsWhatItEnds, 4),
    (Mutant::TakesWordsOfTheDead, 4),
    (Mutant::TakesWordsTwice, 0),
    (Mutant::TakesGaps, 0),
    (Mutant::JoinsBesideTheLiving, 0),
    (Mutant::VoterForgets, 4),
];

#[test]
fn each_defect_put_in_on_purpose_is_found() {
    let search = std::env::var("REGISTER_SEARCH").ok();
    for (mutant, seed) in DEFECTS {
        let broken = |seed: u64| World::new(Plan { mutant: Some(mutant), ..draw(seed) }).play().broken;
        if let Some(name) = &search {
            if format!("{mutant:?}").contains(name.as_str()) {
                println!("{mutant:?}: {:?}", (0..2000).find(|&s| broken(s).is_some()));
            }
        } else {
            assert!(broken(seed).is_some(), "{mutant:?} was not found at seed {seed}");
            assert_eq!(World::new(draw(seed)).play().broken, None, "seed {seed} is kept without it");
        }
    }
}
