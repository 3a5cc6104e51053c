//! Faults of zones and of what front ends report of them, and where the fleet goes. Each hazard is also played with its defect.

mod world;

use badgerwind_zones::{Directive, Member, Mutant, Stage};
use world::{Health, World, SECOND};

fn calm(n: Member, zones: usize, seed: u64, mutant: Option<Mutant>) -> World {
    let mut w = World::new(n, zones, 8, 20.0, seed, mutant);
    w.run(3 * SECOND);
    assert!((0..zones).all(|z| w.share(z) == 1.0), "a calm fleet uses all zones");
    w
}

#[test]
fn the_bytes_on_the_wire_are_those_of_the_format() {
    use badgerwind_zones::{Message, ZoneDigest, ZoneReport};
    let stage = Stage::Left;
    let report = ZoneReport { heard: 2, late: 3, lost: 4, generation: 5, stage, failed: 6 };
    let report = Message::Report { serial: 1, zones: vec![report] };
    assert_eq!(report.bytes(), [0xb3, 0, 0, 0, 0, 1, 1, 0, 2, 0, 3, 0, 4, 0, 5, 2, 6]);
    let digest = ZoneDigest { lost: -2, late: 3, hearing: 4, generation: 5, stage, failed: 6 };
    let digest = Message::Digest { serial: 1, members: 7, zones: vec![digest] };
    assert_eq!(digest.bytes(), [0xb3, 1, 0, 0, 0, 1, 1, 0, 7, 0xff, 0xfe, 0, 3, 0, 4, 0, 5, 2, 6]);
}

#[test]
fn a_lost_zone_is_left_by_all_and_returned_to_step_by_step() {
    for n in [1, 2, 3, 12, 60] {
        let mut w = calm(n, 3, u64::from(n), None);
        w.zone_is(1, Health::Gone);
        let left = w.until(10 * SECOND, |w| w.share(1) == 0.0);
        assert!(left.is_some(), "{n} front ends");
        assert!(w.share(0) == 1.0 && w.share(2) == 1.0, "{n}: {} {}", w.share(0), w.share(2));
        let before = w.calls[1];
        w.run(10 * SECOND);
        assert_eq!(
            w.calls[1],
            before,
            "{n}: no call went to what was left, {:?}",
            w.nodes.values().map(|m| m.standing(1)).collect::<Vec<_>>()
        );
        w.zone_is(1, Health::Good);
        let back = w.until(60 * SECOND, |w| w.share(1) == 1.0);
        assert!(back.is_some(), "{n}: {:?}", w.nodes[&0].standing(1));
    }
}

/// The busiest executor of a zone that comes back, over its ordinary load, at each of its steps.
fn return_of(mutant: Option<Mutant>) -> Vec<f64> {
    let mut w = calm(60, 3, 7, mutant);
    w.zone_is(1, Health::Gone);
    assert!(w.until(10 * SECOND, |w| w.share(1) == 0.0).is_some());
    w.run(2 * SECOND);
    w.zone_is(1, Health::Good);
    assert!(w.until(60 * SECOND, |w| w.share(1) > 0.0).is_some());
    // What each held against them is over: nothing but the stages paces it.
    w.forgive();
    (0..4)
        .map(|_| {
            w.run(SECOND * 9 / 10);
            let crowd = w.crowd(1);
            w.run(SECOND / 10);
            crowd
        })
        .collect()
}

#[test]
fn a_zone_comes_back_with_an_eighth_of_its_load_and_no_executor_is_crowded() {
    let (paced, at_once) = (return_of(None), return_of(Some(Mutant::ReturnAtOnce)));
    println!(
        "busiest executor over its ordinary load, second by second: {paced:?}; all at once: {at_once:?}"
    );
    assert!(paced[0] < 0.6, "{paced:?}");
    assert!(at_once[0] > 0.9, "{at_once:?}");
}

#[test]
fn what_is_ill_everywhere_is_no_place_and_nothing_is_left() {
    let least = |mutant, health| {
        let mut w = calm(20, 3, 3, mutant);
        (0..3).for_each(|z| w.zone_is(z, health));
        let mut least = 3.0f64;
        for _ in 0..100 {
            w.run(SECOND / 10);
            least = least.min((0..3).map(|z| w.share(z)).sum());
        }
        least
    };
    // A store that is slow, a release that is bad, a network that is gone: every zone looks ill. One may be taken for the first.
    assert!(least(None, Health::Gone) >= 0.9, "{}", least(None, Health::Gone));
    // Slow everywhere lessens nothing for long: that would halve what is there.
    assert!(least(None, Health::Slow) >= 2.5, "{}", least(None, Health::Slow));
    let mut w = calm(20, 3, 3, None);
    (0..3).for_each(|z| w.zone_is(z, Health::Slow));
    w.run(10 * SECOND);
    assert!((0..3).all(|z| w.share(z) == 1.0));
    assert_eq!(least(Some(Mutant::NoPanicBound), Health::Gone), 0.0);
}

#[test]
fn one_that_is_cut_off_leaves_alone_and_the_others_stay() {
    let mut w = calm(20, 3, 4, None);
    w.cut.insert((7, 1));
    assert!(w.until(10 * SECOND, |w| w.nodes[&7].share(1) == 0.0).is_some());
    w.run(5 * SECOND);
    assert!(w.nodes.iter().all(|(m, n)| *m == 7 || n.share(1) == 1.0), "its word alone moved others");
    w.cut.clear();
    assert!(w.until(30 * SECOND, |w| w.nodes[&7].share(1) == 1.0).is_some());
}

/// Most front ends have hardly a call for the zone; the one that is cut off from it must not be the only one with a word.
#[test]
fn one_that_is_cut_off_among_few_with_few_calls_moves_nobody_and_a_quiet_zone_comes_back() {
    for n in [2, 3, 4, 6] {
        let mut w = World::new(n, 3, 3, 1.5, u64::from(n), None);
        w.run(3 * SECOND);
        w.rate = 1.5;
        w.cut.insert((n - 1, 1));
        for _ in 0..300 {
            w.run(SECOND / 10);
            assert!((0..n - 1).all(|m| w.stage(m, 1) == Stage::Open), "{n} front ends");
        }
        w.cut.clear();
        w.run(5 * SECOND);
        w.zone_is(2, Health::Gone);
        assert!(w.until(60 * SECOND, |w| w.share(2) == 0.0).is_some(), "{n}");
        w.rate = 0.0;
        w.zone_is(2, Health::Good);
        assert!(
            w.until(120 * SECOND, |w| w.share(2) == 1.0).is_some(),
            "{n}: without calls it comes back too"
        );
    }
}

#[test]
fn a_half_that_is_cut_off_leaves_and_the_other_half_stays() {
    let mut w = calm(20, 3, 5, None);
    (0..10).for_each(|m| _ = w.cut.insert((2 * m, 1)));
    assert!(w.until(10 * SECOND, |w| (0..10).all(|m| w.nodes[&(2 * m)].share(1) == 0.0)).is_some());
    w.run(5 * SECOND);
    assert!((0..10).all(|m| w.nodes[&(2 * m + 1)].share(1) == 1.0));
}

#[test]
fn one_that_has_lost_its_own_network_blames_no_zone() {
    let of = |mutant| {
        let mut w = calm(20, 3, 6, mutant);
        (0..3).for_each(|z| _ = w.cut.insert((7, z)));
        (0..20).for_each(|m| {
            w.apart.insert((7, m));
            w.apart.insert((m, 7));
        });
        let (mut least, mut sum) = (3.0f64, 0.0);
        for _ in 0..80 {
            w.run(SECOND / 10);
            sum = (0..3).map(|z| w.nodes[&7].share(z)).sum();
            least = least.min(sum);
        }
        assert!(w.nodes.iter().all(|(m, n)| *m == 7 || (0..3).all(|z| n.share(z) == 1.0)));
        (least, sum)
    };
    // It may take the first zone that it lost for lost, before it has lost the others; then it takes that back.
    let (blames, trusts) = (of(None), of(Some(Mutant::TrustsOwnNetwork)));
    assert!(blames.0 >= 1.0 && blames.1 == 3.0, "{blames:?}");
    assert!(trusts.1 < 3.0, "{trusts:?}");
}

/// Liars on a calm day, and on one where a zone is lost: what the fleet has of the good zones, and whether it left the lost one.
fn lied_to(n: Member, liars: &[(Member, bool)], mutant: Option<Mutant>) -> (f64, bool) {
    let mut w = calm(n, 3, 8, mutant);
    w.liars = liars.iter().copied().collect();
    let mut least = 3.0f64;
    for _ in 0..60 {
        w.run(SECOND / 10);
        least = least.min((0..3).map(|z| w.share(z)).sum());
    }
    w.zone_is(1, Health::Gone);
    let honest =
        |w: &World| w.nodes.iter().filter(|(m, _)| !w.liars.contains_key(m)).all(|(_, n)| n.share(1) == 0.0);
    (least, w.until(15 * SECOND, honest).is_some())
}

#[test]
fn one_that_lies_moves_nobody_and_keeps_nobody() {
    for n in [4, 12, 40] {
        for (liar, ill) in [(n - 1, true), (n - 1, false), (1, true), (1, false)] {
            let (least, left) = lied_to(n, &[(liar, ill)], None);
            assert!(
                least > 2.99 && left,
                "{n} front ends, {liar} says that all are ill: {ill}; {least} {left}"
            );
        }
    }
    // Among three nobody's word is left out: the bound alone holds the liar.
    let of_one = |mutant| {
        let mut w = calm(3, 3, 8, mutant);
        (w.liars, w.lie_of) = ([(2, true)].into(), Some(1));
        w.run(3 * SECOND);
        (0..3).map(|z| w.share(z)).sum::<f64>()
    };
    let (bounded, unbounded) = (of_one(None), of_one(Some(Mutant::UnboundedContribution)));
    assert!(bounded > 2.99 && unbounded < 2.5, "{bounded} {unbounded}");
    let (followed, _) = lied_to(12, &[(11, true)], Some(Mutant::LoneStage));
    assert!(followed < 2.5, "one front end's stage moves all: {followed}");
}

#[test]
fn a_third_or_a_half_of_its_executors_bad_is_not_the_zone() {
    let shares = |bad: u32, mutant| {
        let mut w = calm(20, 3, 9, mutant);
        (8..8 + bad).for_each(|e| _ = w.health.insert(e, Health::Gone));
        let mut least = 1.0f64;
        for _ in 0..200 {
            w.run(SECOND / 10);
            least = least.min(w.share(1));
        }
        least
    };
    assert_eq!((shares(3, None), shares(4, None)), (1.0, 1.0));
    let by_calls = shares(4, Some(Mutant::CountsCalls));
    assert!(by_calls < 1.0, "{by_calls}");
}

#[test]
fn a_slow_zone_is_lessened_and_not_left() {
    let mut w = calm(20, 3, 10, None);
    w.zone_is(2, Health::Slow);
    assert!(w.until(10 * SECOND, |w| w.share(2) == 0.5).is_some());
    w.run(SECOND);
    assert!(w.nodes.values().all(|n| n.share(2) == 0.5));
    w.zone_is(2, Health::Good);
    assert!(w.until(60 * SECOND, |w| w.share(2) == 1.0).is_some());
}

#[test]
fn two_zones_of_four_at_once_are_both_left_and_of_three_one_stays() {
    let mut w = calm(20, 4, 11, None);
    w.zone_is(1, Health::Gone);
    w.zone_is(3, Health::Gone);
    assert!(w.until(10 * SECOND, |w| w.share(1) == 0.0 && w.share(3) == 0.0).is_some());
    assert!(w.share(0) == 1.0 && w.share(2) == 1.0);
}

/// Good for 4 s and gone for 4 s, forty times: changes of stage of the whole fleet in the first and in the last 160 s.
fn flapping(mutant: Option<Mutant>) -> (u16, u16) {
    let mut w = calm(12, 3, 12, mutant);
    let mut moves = [0, 0];
    for half in &mut moves {
        let before = w.generations(1);
        for _ in 0..20 {
            w.zone_is(1, Health::Gone);
            w.run(4 * SECOND);
            w.zone_is(1, Health::Good);
            w.run(4 * SECOND);
        }
        *half = w.generations(1) - before;
    }
    if mutant.is_none() {
        assert!(
            w.until(300 * SECOND, |w| w.share(1) == 1.0).is_some(),
            "it is never stuck away from a good zone"
        );
    }
    (moves[0], moves[1])
}

#[test]
fn a_zone_that_flaps_is_tried_ever_more_seldom() {
    let (backs_off, eager) = (flapping(None), flapping(Some(Mutant::NoBackoff)));
    println!("moves in 160 s of flapping, and in the next: {backs_off:?}, without back-off {eager:?}");
    assert!(backs_off.1 <= 12 && eager.1 >= 25, "{backs_off:?} {eager:?}");
}

#[test]
fn one_started_in_the_middle_of_the_return_goes_no_further_than_the_fleet() {
    let most = |mutant| {
        let mut w = calm(20, 3, 13, mutant);
        w.zone_is(1, Health::Gone);
        assert!(w.until(10 * SECOND, |w| w.share(1) == 0.0).is_some());
        w.start(30);
        w.run(2 * SECOND);
        assert_eq!(w.nodes[&30].share(1), 0.0, "it hears of the loss from the fleet");
        w.zone_is(1, Health::Good);
        assert!(w.until(60 * SECOND, |w| w.share(1) > 0.0).is_some());
        w.start(31);
        w.run(SECOND / 2);
        let own = w.nodes[&31].share(1);
        assert!(w.until(60 * SECOND, |w| w.share(1) == 1.0).is_some());
        own
    };
    assert_eq!((most(None), most(Some(Mutant::NoGeneration))), (0.125, 1.0));
}

#[test]
fn probes_are_a_number_of_the_fleet_and_not_of_each() {
    let probes = |n: Member, mutant| {
        let mut w = World::new(n, 3, 8, 5.0, 14, mutant);
        w.run(3 * SECOND);
        w.zone_is(1, Health::Gone);
        assert!(w.until(20 * SECOND, |w| w.share(1) == 0.0).is_some());
        w.run(5 * SECOND);
        w.probes = 0;
        w.run(4 * SECOND);
        w.probes as f64 / 4.0
    };
    let (few, many, all) = (probes(6, None), probes(60, None), probes(60, Some(Mutant::AllProbe)));
    println!(
        "probes a second of a zone that was left: 6 front ends {few}, 60 {many}, where each probes {all}"
    );
    assert!(many <= few * 1.2 && many <= 66.0 && all > 500.0, "{few} {many} {all}");
}

#[test]
fn most_killed_during_the_return_and_a_third_of_all_messages_lost() {
    let mut w = calm(20, 3, 15, None);
    w.loss = 0.5;
    w.zone_is(1, Health::Gone);
    assert!(w.until(20 * SECOND, |w| w.share(1) == 0.0).is_some());
    w.zone_is(1, Health::Good);
    assert!(w.until(60 * SECOND, |w| w.share(1) > 0.0).is_some());
    // Seven in ten, a voter among them.
    (2..16).for_each(|m| _ = w.nodes.remove(&m));
    assert!(w.until(60 * SECOND, |w| w.share(1) == 1.0).is_some(), "{:?}", w.nodes[&0].standing(1));
}

#[test]
fn without_voters_each_finds_out_by_itself_as_before() {
    let mut w = calm(10, 3, 16, None);
    (0..3).for_each(|v| _ = w.nodes.remove(&v));
    w.zone_is(1, Health::Gone);
    assert!(w.until(20 * SECOND, |w| w.share(1) == 0.0).is_some());
    assert!(w.nodes.keys().all(|m| w.stage(*m, 1) == Stage::Open), "the fleet agreed on nothing");
    w.zone_is(1, Health::Good);
    assert!(w.until(60 * SECOND, |w| w.share(1) == 1.0).is_some());
}

fn say(w: &mut World, zone: usize, word: Option<Directive>) {
    let mut words = vec![None; w.zones];
    words[zone] = word;
    let now = w.now;
    w.nodes.values_mut().for_each(|n| n.set_directives(now, &words));
}

#[test]
fn an_operators_word_goes_before_what_is_found_and_its_end_leads_back_by_steps() {
    let mut w = calm(12, 3, 17, None);
    say(&mut w, 0, Some(Directive::Leave));
    assert_eq!(w.share(0), 0.0);
    w.run(10 * SECOND);
    assert_eq!((w.share(0), w.share(1)), (0.0, 1.0), "it answers probes, and stays left");
    say(&mut w, 0, None);
    assert!(w.until(20 * SECOND, |w| w.share(0) == 0.125).is_some());
    assert!(w.until(20 * SECOND, |w| w.share(0) == 1.0).is_some());
    // Held, it is used though it is lost; freed, it is left; called back, it need not wait.
    say(&mut w, 1, Some(Directive::Hold));
    w.zone_is(1, Health::Gone);
    w.run(10 * SECOND);
    assert_eq!(w.share(1), 1.0);
    say(&mut w, 1, None);
    assert!(w.until(10 * SECOND, |w| w.share(1) == 0.0).is_some());
    w.zone_is(1, Health::Good);
    say(&mut w, 1, Some(Directive::Return));
    assert!(w.share(1) > 0.0);
    assert!(w.until(20 * SECOND, |w| w.share(1) == 1.0).is_some());
}
