//! Days as they are drawn: what a severity means, and that a seed always means the same.

use badgerwind_cli::day::script::{Act, Script, KINDS, WORST};
use badgerwind_cli::day::world::{Overrides, Severity, World};
use std::collections::BTreeSet;

fn drawn(seed: u64, severity: Severity) -> (World, Script) {
    let world = World::with_overrides(seed, 30, Overrides { severity, ..Overrides::default() });
    let script = Script::draw(&world);
    (world, script)
}

#[test]
fn a_seed_means_the_same_day_every_time_and_a_calm_one_is_as_it_always_was() {
    for severity in [Severity::Calm, Severity::Rough, Severity::Hard, Severity::Brutal] {
        for seed in 1..20 {
            let text = |(w, s): (World, Script)| format!("{w:?} {}", serde_json::to_string(&s).unwrap());
            assert_eq!(text(drawn(seed, severity)), text(drawn(seed, severity)));
        }
    }
    for seed in 1..20 {
        assert_eq!(format!("{:?}", World::draw(seed, 30)), format!("{:?}", drawn(seed, Severity::Calm).0));
    }
}

#[test]
fn each_severity_asks_for_more_of_what_the_runners_can_do() {
    let mean = |severity| (1..60).map(|seed| drawn(seed, severity).0.load()).sum::<f64>() / 59.0;
    let loads = [Severity::Calm, Severity::Rough, Severity::Hard, Severity::Brutal].map(mean);
    assert!(loads[0] < 0.35 && (0.4..0.7).contains(&loads[1]), "{loads:?}");
    assert!((0.9..1.5).contains(&loads[2]) && (1.2..2.0).contains(&loads[3]), "{loads:?}");
    for load in [0.3, 1.0, 4.0] {
        let overrides =
            Overrides { load: Some(load), runners: Some(12), fronts: Some(5), ..Overrides::default() };
        let world = World::with_overrides(7, 30, overrides);
        assert!((world.load() - load).abs() < 1e-9);
        assert_eq!((world.runners.len(), world.fronts), (12, 5));
    }
}

#[test]
fn hard_days_overlap_their_troubles_on_a_third_of_the_runners_and_brutal_ones_take_the_whole_fleet() {
    let mut kinds = BTreeSet::new();
    for seed in 1..60 {
        let (world, script) = drawn(seed, Severity::Hard);
        kinds.extend(script.kinds.iter().cloned());
        let troubled: BTreeSet<u32> = script
            .events
            .iter()
            .filter_map(|e| match e.act {
                Act::Fault { runner, .. } | Act::KillRunner { runner, .. } | Act::Drain { runner } => {
                    Some(runner)
                }
                _ => None,
            })
            .collect();
        assert!(troubled.len() <= world.runners.len().div_ceil(3), "seed {seed}: {troubled:?}");
        assert!(script.phases.iter().any(|p| p.rate >= 3.0));
        // Every runner that is killed starts again, and every fault that begins ends.
        let count = |f: &dyn Fn(&Act) -> bool| script.events.iter().filter(|e| f(&e.act)).count();
        let (on, off) = (
            count(&|a| matches!(a, Act::Fault { on: true, .. })),
            count(&|a| matches!(a, Act::Fault { on: false, .. })),
        );
        assert_eq!(on, off, "seed {seed}");
        assert_eq!(
            count(&|a| matches!(a, Act::KillRunner { .. })),
            count(&|a| matches!(a, Act::StartRunner { .. }))
        );
        let (world, script) = drawn(seed, Severity::Brutal);
        let drained: BTreeSet<u32> = script
            .events
            .iter()
            .filter_map(|e| match e.act {
                Act::Drain { runner } => Some(runner),
                _ => None,
            })
            .collect();
        assert_eq!(drained.len(), world.runners.len(), "every runner drains within the day");
    }
    let expected = KINDS.len() - 1; // versions of settings have days of their own
    assert!(kinds.len() >= expected, "{kinds:?}");
    assert!(WORST.iter().all(|k| !kinds.contains(*k)));
}
