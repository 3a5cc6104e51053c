//! Header values and lists: round trips, and the rejection of invalid input.

use badgerwind::interface::{CopyMark, Outcome};
use badgerwind_protocol::list::{Availability, List};
use badgerwind_protocol::runner::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn outcomes_and_marks_round_trip() {
    for o in [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Miss] {
        assert_eq!(outcome(outcome_status(o), outcome_name(o)), o);
    }
    use CopyMark::*;
    for m in [Untold, Warm, BeganLoad, WaitedForLoad, LoadFailed] {
        assert_eq!(mark(mark_name(m)), m);
    }
}

#[test]
fn only_the_runners_own_header_proves_that_a_call_never_ran() {
    for (status, name) in [
        (503, None),
        (404, None),
        (503, Some("miss")),
        (404, Some("full")),
        (500, Some("full")),
        (200, Some("full")),
    ] {
        assert_eq!(outcome(status, name), Outcome::Error, "{status} {name:?}");
    }
}

#[test]
fn invalid_lists_are_rejected() {
    let good =
        r#"{"version":3,"whole":true,"runners":[{"id":7,"address":"127.0.0.1:9","state":"draining"}]}"#;
    let list = List::parse(good.as_bytes()).unwrap();
    assert_eq!((list.runners[0].size, list.runners[0].started), (1.0, None));
    for (from, to) in [
        ("draining", "sleeping"),
        ("127.0.0.1:9", "nowhere"),
        ("\"id\":7", "\"id\":7,\"size\":0"),
        ("true", "1"),
    ] {
        assert!(List::parse(good.replace(from, to).as_bytes()).is_err(), "{to}");
    }
}

#[test]
fn availability_keeps_its_names_on_the_wire() {
    for (name, availability) in [
        ("ready", Availability::Ready),
        ("draining", Availability::Draining),
        ("gone", Availability::Removed),
    ] {
        let json = format!(
            r#"{{"version":3,"whole":true,"runners":[{{"id":7,"address":"127.0.0.1:9","state":"{name}"}}]}}"#
        );
        let list = List::parse(json.as_bytes()).unwrap();
        assert_eq!(list.runners[0].availability, availability);
        assert_eq!(serde_json::to_value(&list).unwrap()["runners"][0]["state"], name);
    }
}

#[test]
fn reports_are_numbers_or_none() {
    assert_eq!(report(Some("3, 0.25")), Some(vec![3.0, 0.25]));
    for bad in [None, Some(""), Some("3,"), Some("3,x"), Some("inf"), Some("NaN"), Some("1,2,3,4,5,6,7,8,9")]
    {
        assert_eq!(report(bad), None, "{bad:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) {
        let _ = List::parse(&bytes);
    }
}
