//! Bounds on the counts of the configuration stream. For some of them, an injected defect proves that the
//! check detects a violation.

use badgerwind_config::Kind;
use badgerwind_scale::config_simulation::{
    FrontEndMutant, Scenario, ServiceMutant, Simulation, STARTUP_TIME,
};
use badgerwind_scale::row::{Measurement, Row};
use badgerwind_scale::rows::config::{self, ConfigClient};
use badgerwind_scale::rows::config_in_force::ConfigInForce;
use badgerwind_scale::rows::control::{
    simulate_rejoin, ConfigMachineLost, ConfigRejoin, ConfigRestart, ConfigService,
};
use badgerwind_scale::rows::network::SECOND;

fn value(measurements: &[Measurement], name: &str) -> f64 {
    let found = measurements.iter().find(|m| m.metric.name == name);
    found.unwrap_or_else(|| panic!("no metric {name}: {measurements:?}")).value
}

/// The deterministic measurements: all except processor times, which differ from run to run.
fn counts(measurements: &[Measurement]) -> Vec<(&'static str, f64)> {
    let count = |m: &&Measurement| !m.metric.unit.starts_with("us");
    measurements.iter().filter(count).map(|m| (m.metric.name, m.value)).collect()
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let rows: [&dyn Row; 5] =
        [&ConfigService, &ConfigMachineLost, &ConfigRestart, &ConfigClient, &ConfigInForce];
    for row in rows {
        let (first, second) = (row.measure(5, 5).unwrap(), row.measure(5, 5).unwrap());
        assert_eq!(counts(&first), counts(&second), "{}", row.name());
    }
}

/// Messages and bytes of one version per front end.
fn version_cost_per_front_end(front_ends: u64) -> (f64, f64) {
    let measurements = ConfigService.measure(front_ends, 1).unwrap();
    let per_front_end = |name| value(&measurements, name) / front_ends as f64;
    let bytes = per_front_end("a version, bytes in") + per_front_end("a version, bytes out");
    (per_front_end("a version, questions and answers"), bytes)
}

#[test]
fn cost_of_a_version_per_front_end_does_not_depend_on_fleet_size() {
    let (messages, bytes) = version_cost_per_front_end(10);
    assert_eq!(messages, 2.0, "the offer, and the request that acknowledges it");
    for front_ends in [30, 100] {
        let (more_messages, more_bytes) = version_cost_per_front_end(front_ends);
        assert_eq!(more_messages, messages, "{front_ends} front ends");
        assert!((more_bytes / bytes - 1.0).abs() < 0.01, "{front_ends} front ends: {more_bytes} of {bytes}");
    }
}

/// Mean size of a front end's requests, during the first and during the last few of many versions.
fn acknowledgement_bytes(mutant: FrontEndMutant) -> (f64, f64) {
    const VERSIONS: u64 = 40;
    const SAMPLE: usize = 5;
    let base = Scenario::new(3, 1, 1);
    let scenario = Scenario { rollout: Scenario::ALL_AT_ONCE, front_end_mutant: mutant, ..base };
    let mut simulation = Simulation::new(scenario).unwrap();
    simulation.run_until(STARTUP_TIME);
    let mut sent = Vec::new();
    for _ in 0..VERSIONS {
        let before = simulation.load(0).clone();
        let at = simulation.now();
        simulation.publish(at, Kind::Limits);
        simulation.run_until(at + SECOND);
        let after = simulation.load(0);
        let requests = after.requests - before.requests;
        sent.push((after.bytes_in - before.bytes_in) as f64 / requests as f64);
    }
    let mean = |sent: &[f64]| sent.iter().sum::<f64>() / sent.len() as f64;
    (mean(&sent[..SAMPLE]), mean(&sent[sent.len() - SAMPLE..]))
}

/// Checks that the size of an acknowledgement does not depend on the number of versions that have run.
fn check_acknowledgement_size(mutant: FrontEndMutant) -> Result<(), String> {
    let (first, last) = acknowledgement_bytes(mutant);
    // The 10% allow for more digits of the version number, in the request and in the report.
    if last <= first * 1.1 {
        Ok(())
    } else {
        Err(format!("{last} bytes after many versions, {first} bytes after a few"))
    }
}

#[test]
fn acknowledgement_size_does_not_grow_with_the_number_of_versions_run() {
    check_acknowledgement_size(FrontEndMutant::None).unwrap();
    let mutant = check_acknowledgement_size(FrontEndMutant::NamesAllVersions);
    assert!(mutant.is_err(), "the check must detect the growth");
}

/// Checks that a reconnected front end receives each kind at most once, regardless of how many versions it
/// missed.
fn check_one_version_per_kind_after_isolation(mutant: ServiceMutant) -> Result<(), String> {
    const ISOLATED: u64 = 4;
    for seconds in [60, 240] {
        let scenario = Scenario { service_mutant: mutant, ..ConfigRejoin::scenario(ISOLATED, 3) };
        let cost = simulate_rejoin(scenario, ISOLATED, seconds * SECOND)?;
        if cost.versions_missed < 10 || cost.versions_sent > 2 * ISOLATED {
            return Err(format!("{cost:?}"));
        }
    }
    Ok(())
}

#[test]
fn only_the_newest_version_of_each_kind_is_sent_after_isolation() {
    check_one_version_per_kind_after_isolation(ServiceMutant::None).unwrap();
    let mutant = check_one_version_per_kind_after_isolation(ServiceMutant::OffersEveryVersion);
    assert!(mutant.is_err(), "the check must detect that all versions are sent");
}

#[test]
fn front_ends_of_a_failed_service_switch_to_the_next_one_with_one_request_per_kind() {
    for front_ends in [10, 60] {
        let measurements = ConfigMachineLost.measure(front_ends, 1).unwrap();
        let front_ends_after =
            value(&measurements, "machine lost, front ends of the next one after a minute");
        assert_eq!(front_ends_after, 2.0 * front_ends as f64);
        let busiest = value(&measurements, "machine lost, messages in the busiest second at the next one");
        assert!(busiest <= 4.0 * front_ends as f64, "{busiest} messages for {front_ends} front ends");
        let seconds = value(&measurements, "machine lost, until all follow again");
        assert!(seconds <= 2.0, "{seconds} s");
    }
}

#[test]
fn restart_fetches_nothing_with_stored_settings_and_each_kind_once_with_a_new_disk() {
    for front_ends in [4, 16] {
        let measurements = ConfigRestart.measure(front_ends, 1).unwrap();
        assert_eq!(value(&measurements, "new disk, versions sent to a front end"), 4.0);
        assert_eq!(value(&measurements, "stored settings, versions sent to a front end"), 0.0);
    }
}

#[test]
fn a_version_is_in_force_everywhere_within_3_s_only_without_waves() {
    let measurements = ConfigInForce.measure(20, 1).unwrap();
    let share = |policy: &str, versions: &str| {
        value(&measurements, &format!("{policy}, {versions}, share in force within 3 s"))
    };
    assert!(share("waves", "one version") <= 0.15, "{measurements:?}");
    assert!(share("waves", "31,000 versions a day") <= 0.3, "{measurements:?}");
    assert_eq!(share("without waves", "one version"), 1.0, "{measurements:?}");
}

#[test]
fn acknowledgement_size_does_not_grow_with_the_settings() {
    let bytes = |functions| config::acknowledgement_bytes(functions, 1).unwrap();
    assert_eq!(bytes(10), bytes(300));
}

/// Bytes of one version of limits per front end, sent to the service and received from it, as measured with
/// ten real processes by `cargo bench -p badgerwind-cli --bench config_processes -- 10`.
const REAL_BYTES: (f64, f64) = (439.6, 345.0);

#[test]
fn hollow_front_ends_send_and_receive_the_same_bytes_as_real_processes() {
    const FRONT_ENDS: usize = 10;
    const VERSIONS: u64 = 20;
    let base = Scenario::new(FRONT_ENDS, 1, 1);
    let scenario = Scenario { rollout: Scenario::ALL_AT_ONCE, ..base };
    let mut simulation = Simulation::new(scenario).unwrap();
    simulation.run_until(STARTUP_TIME);
    let before = simulation.load(0).clone();
    for _ in 0..VERSIONS {
        let at = simulation.now();
        simulation.publish(at, Kind::Limits);
        simulation.run_until(at + SECOND / 2);
    }
    let after = simulation.load(0);
    let per_front_end = |sum: u64| sum as f64 / VERSIONS as f64 / FRONT_ENDS as f64;
    let bytes =
        (per_front_end(after.bytes_in - before.bytes_in), per_front_end(after.bytes_out - before.bytes_out));
    let near = |hollow: f64, real: f64| (hollow / real - 1.0).abs() < 0.03;
    assert!(near(bytes.0, REAL_BYTES.0) && near(bytes.1, REAL_BYTES.1), "{bytes:?}, real {REAL_BYTES:?}");
    println!("hollow {bytes:?}, real {REAL_BYTES:?}");
}
