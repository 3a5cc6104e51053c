//! Random test days: what each severity generates, and that a seed always generates the same day.

use badgerwind_cli::day::script::{Act, Script, KINDS, WORST};
use badgerwind_cli::day::world::{Overrides, Severity, World};
use std::collections::BTreeSet;

/// The set-up and the script that a seed generates for a day of 30 seconds.
fn generate(seed: u64, severity: Severity) -> (World, Script) {
    let world = World::with_overrides(seed, 30, Overrides { severity, ..Overrides::default() });
    let script = Script::draw(&world);
    (world, script)
}

#[test]
fn a_seed_generates_the_same_day_every_time_and_calm_dials_leave_it_unchanged() {
    for severity in [Severity::Calm, Severity::Rough, Severity::Hard, Severity::Brutal] {
        for seed in 1..20 {
            let text = |(w, s): (World, Script)| format!("{w:?} {}", serde_json::to_string(&s).unwrap());
            assert_eq!(text(generate(seed, severity)), text(generate(seed, severity)));
        }
    }
    for seed in 1..20 {
        assert_eq!(format!("{:?}", World::draw(seed, 30)), format!("{:?}", generate(seed, Severity::Calm).0));
    }
}

#[test]
fn each_severity_loads_the_runners_more_than_the_one_before() {
    let mean = |severity| (1..60).map(|seed| generate(seed, severity).0.load()).sum::<f64>() / 59.0;
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
fn hard_days_have_faults_on_up_to_a_third_of_the_runners_and_brutal_days_drain_all_of_them() {
    let mut kinds = BTreeSet::new();
    for seed in 1..60 {
        let (world, script) = generate(seed, Severity::Hard);
        kinds.extend(script.kinds.iter().cloned());
        let affected: BTreeSet<u32> = script
            .events
            .iter()
            .filter_map(|e| match e.act {
                Act::Fault { runner, .. } | Act::KillRunner { runner, .. } | Act::Drain { runner } => {
                    Some(runner)
                }
                _ => None,
            })
            .collect();
        assert!(affected.len() <= world.runners.len().div_ceil(3), "seed {seed}: {affected:?}");
        assert!(script.phases.iter().any(|p| p.rate >= 3.0));
        // Every killed runner is restarted, and every fault that begins ends.
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
        let (world, script) = generate(seed, Severity::Brutal);
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
    let expected = KINDS.len() - 1; // changes of settings are drawn for separate days
    assert!(kinds.len() >= expected, "{kinds:?}");
    assert!(WORST.iter().all(|k| !kinds.contains(*k)));
}
