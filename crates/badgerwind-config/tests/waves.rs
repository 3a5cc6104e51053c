//! Rollout in waves, and the replay of recorded calls.

use badgerwind::interface::{Availability, WorkerEntry};
use badgerwind_config::client::Report;
use badgerwind_config::parts::Kind;
use badgerwind_config::shadow::{replay, RecordedCall};
use badgerwind_config::waves::{RolloutPolicy, Stage, Waves};
use badgerwind_config::wire::Health;
use badgerwind_settings::read;

const POLICY: RolloutPolicy = RolloutPolicy {
    first_share: 0.2,
    soak_time: 100,
    max_rejected_share: 0.3,
    max_failure_increase: 0.2,
    front_end_timeout: 1_000,
};
const KIND: Kind = Kind::Classes;

fn report(running: Option<u64>, rejected: Option<u64>) -> Vec<Report> {
    vec![Report { kind: KIND, running, offered: None, rejected: rejected.map(|v| (v, "no".into())) }]
}

fn calls(served: u64, failed: u64) -> Health {
    Health { served, refused: 0, failed }
}

/// Ten front ends run version 1, which was offered to all; version 2 has just been published.
fn second_version_published() -> Waves {
    let mut waves = Waves::new(POLICY);
    waves.publish(KIND, 1, "one".into()).unwrap();
    for n in 0..10 {
        waves.record_report(0, &id(n), &report(None, None), calls(100, 0));
    }
    waves.record_report(0, &id(0), &report(Some(1), None), calls(100, 0));
    waves.tick(100);
    for n in 0..10 {
        waves.record_report(100, &id(n), &report(Some(1), None), calls(100, 0));
    }
    assert_eq!(waves.stage(KIND), Some((1, &Stage::All)));
    waves.publish(KIND, 2, "two".into()).unwrap();
    waves
}

fn id(n: u32) -> String {
    format!("front-{n}")
}

fn offered_version_2(waves: &mut Waves) -> Vec<String> {
    (0..10).map(id).filter(|f| waves.offer(f, KIND, Some(1)).is_some_and(|(v, _)| v == 2)).collect()
}

#[test]
fn the_rest_is_offered_a_version_after_the_first_share_has_soaked() {
    let mut waves = second_version_published();
    let first = offered_version_2(&mut waves);
    assert_eq!(first.len(), 2);
    waves.record_report(200, &first[0], &report(Some(2), None), calls(110, 0));
    waves.tick(290);
    assert_eq!(offered_version_2(&mut waves).len(), 2, "not all of the first share run it");
    waves.record_report(300, &first[1], &report(Some(2), None), calls(110, 0));
    waves.tick(399);
    assert_eq!(waves.stage(KIND), Some((2, &Stage::First)));
    waves.tick(400);
    assert_eq!(waves.stage(KIND), Some((2, &Stage::All)));
    assert_eq!(offered_version_2(&mut waves).len(), 10);
}

#[test]
fn a_silent_or_pinned_front_end_does_not_hold_up_a_wave() {
    for pinned in [false, true] {
        let mut waves = second_version_published();
        let first = offered_version_2(&mut waves);
        let (alive, other) = (&first[0], &first[1]);
        if pinned {
            assert!(waves.pin(other, true));
        }
        waves.record_report(1_200, alive, &report(Some(2), None), calls(110, 0));
        waves.tick(1_300);
        assert_eq!(waves.stage(KIND), Some((2, &Stage::All)), "pinned: {pinned}");
        assert_eq!(waves.offer(other, KIND, Some(1)).is_none(), pinned);
    }
    assert!(!second_version_published().pin("nobody", true));
}

#[test]
fn a_wave_stops_if_it_is_rejected_or_fails_calls() {
    let mut waves = second_version_published();
    let first = offered_version_2(&mut waves);
    waves.record_report(200, &first[0], &report(Some(1), Some(2)), calls(110, 0));
    assert!(matches!(waves.stage(KIND), Some((2, Stage::Stopped(why))) if why.contains("1 of 1")));
    assert!(offered_version_2(&mut waves).is_empty(), "no further front end is offered it");

    let mut waves = second_version_published();
    let first = offered_version_2(&mut waves);
    waves.record_report(200, &first[0], &report(Some(2), None), calls(110, 2));
    waves.record_report(250, &first[0], &report(Some(2), None), calls(113, 12));
    assert_eq!(waves.stage(KIND), Some((2, &Stage::First)), "13 calls are too few");
    waves.record_report(260, &first[0], &report(Some(2), None), calls(116, 20));
    assert!(
        matches!(waves.stage(KIND), Some((2, Stage::Stopped(why))) if why.contains("75% of its calls unserved, 2% before"))
    );
    // A new front end is offered the last good version.
    waves.record_report(300, "new", &report(None, None), calls(0, 0));
    assert_eq!(waves.offer("new", KIND, None).unwrap().0, 1);
    // A rollback publishes the old content under a new number.
    waves.publish(KIND, 3, "one".into()).unwrap();
    assert_eq!(waves.stage(KIND), Some((3, &Stage::First)));
}

#[test]
fn a_number_keeps_its_content_and_an_older_version_is_not_rolled_out() {
    let mut waves = second_version_published();
    assert!(waves.publish(KIND, 2, "other".into()).is_err());
    waves.publish(KIND, 2, "two".into()).unwrap();
    let before = offered_version_2(&mut waves);
    waves.publish(KIND, 0, "zero".into()).unwrap();
    assert_eq!(offered_version_2(&mut waves), before);
    assert!(
        waves.offer(&before[0], KIND, Some(2)).is_none() && waves.offer(&before[0], KIND, Some(7)).is_none()
    );
}

// ---- Replay of recorded calls. ----

const FILE: &str = include_str!("../../badgerwind-settings/tests/example.xml");

fn recorded(n: u64, class: &str) -> Vec<RecordedCall> {
    let one = |i: u64| RecordedCall {
        arrived_at: 1_000_000 + i * 20_000,
        class: class.into(),
        tenant: "brolga-shire".into(),
        function: "check-household".into(),
        sender_timeout: 3_000_000,
        served: true,
        latency: 80_000,
    };
    (0..n).map(one).collect()
}

fn entries(availability: Availability) -> Vec<WorkerEntry> {
    let one = |worker| WorkerEntry { worker, zone: 0, cell: 0, kind: 0, size: 1.0, availability, born: None };
    (1..5).map(one).collect()
}

#[test]
fn settings_that_serve_the_recorded_calls_pass() {
    let settings = read("f", FILE).unwrap();
    let result = replay(&settings, &entries(Availability::Ready), &recorded(200, "check-answers")).unwrap();
    assert_eq!((result.calls, result.served_before), (200, 200));
    assert!(result.served >= 190, "{result:?}");
    let none = replay(&settings, &entries(Availability::Ready), &[]).unwrap();
    assert_eq!(none.calls, 0, "nothing recorded, nothing replayed");
}

#[test]
fn settings_under_which_nothing_is_served_are_rejected() {
    // The recorded calls took 80 ms, and the new deadline is 50 ms.
    let text = FILE
        .replace("deadline=\"3s\" effect=\"repeatable\"", "deadline=\"50ms\" effect=\"repeatable\"")
        .replace("aim=\"1.2s\" deadline=\"50ms\"", "aim=\"40ms\" deadline=\"50ms\"");
    let settings = read("f", &text).unwrap();
    let why = replay(&settings, &entries(Availability::Ready), &recorded(50, "check-answers")).unwrap_err();
    assert!(why.contains("none of 50 calls was served; 50 of them were"), "{why}");
    let why =
        replay(&read("f", FILE).unwrap(), &entries(Availability::Ready), &recorded(50, "gone")).unwrap_err();
    assert!(why.contains("none of the 50 calls"), "{why}");
    assert!(
        replay(&settings, &entries(Availability::Ready), &recorded(4, "check-answers")).is_ok(),
        "too few calls for a result"
    );
}
