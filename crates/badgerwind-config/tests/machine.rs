//! The front end's state machine of the configuration stream: its transitions one by one, and properties
//! under random responses, failures and orders of events.

use badgerwind_config::client::{Action, Client, Input, Phase, Timing};
use badgerwind_config::parts::{Kind, Part};
use badgerwind_config::storage;
use badgerwind_config::wire::*;
use badgerwind_settings::document::parse;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const FILE: &str = include_str!("../../badgerwind-settings/tests/example.xml");
const TIMING: Timing = Timing { stage_timeout: 1_000, min_backoff: 100, max_backoff: 2_000 };

fn classes(names: &[&str], aim: u64) -> String {
    let class = |n: &&str| format!("<class name=\"{n}\" aim=\"{aim}ms\" deadline=\"3s\" effect=\"once\"/>");
    let all: String = names.iter().map(class).collect();
    format!(
        "<badgerwind version=\"1\">{all}<tenant name=\"brolga-shire\"/>\
         <function name=\"check-household\" memory-mb=\"400\"/>\
         <function name=\"lodge-household\" memory-mb=\"600\"/></badgerwind>"
    )
}

fn example_classes(aim: u64) -> String {
    classes(&["check-answers", "lodge-return"], aim)
}

fn routes(class: &str) -> String {
    format!(
        "<badgerwind version=\"1\"><webhook><sender name=\"p\" tenant=\"brolga-shire\"><secret name=\"a\" file=\"k\"/>\
         </sender><route path=\"/x\" sender=\"p\" class=\"{class}\" function=\"lodge-household\"/></webhook></badgerwind>"
    )
}

fn offer(request_id: u64, kind: Kind, version: u64, text: &str, nonce: &str) -> Input {
    let response = DiscoveryResponse {
        version_info: version.to_string(),
        resources: vec![Resource { kind: kind.type_url(), value: text.into() }],
        type_url: kind.type_url(),
        nonce: nonce.into(),
        control_plane: None,
    };
    Input::Response { kind, request_id, response: Some(response) }
}

/// A state machine and the actions that it has returned.
struct Harness {
    /// The id of the open request of each type.
    open: BTreeMap<Kind, u64>,
    client: Client,
    out: Vec<Action>,
    now: u64,
}

impl Harness {
    fn new() -> Harness {
        let file = parse("file.xml", FILE).unwrap();
        let (client, ..) = Client::new(("front-0".into(), "fleet".into()), file, vec![], TIMING).unwrap();
        let mut harness = Harness { open: BTreeMap::new(), client, out: vec![], now: 0 };
        harness.client.start(0, &mut harness.out);
        harness.track_open_requests();
        assert_eq!(harness.requests(Kind::Classes).len(), 1);
        harness.out.clear();
        harness
    }
    fn on(&mut self, input: Input) -> &mut Self {
        self.client.handle(self.now, input, &mut self.out);
        self.track_open_requests();
        self
    }
    fn track_open_requests(&mut self) {
        for action in &self.out {
            if let Action::SendRequest { kind, request_id, .. } = action {
                let newest = self.open.entry(*kind).or_default();
                *newest = (*newest).max(*request_id);
            }
        }
    }
    /// The open request for a type.
    fn open(&self, kind: Kind) -> u64 {
        self.open[&kind]
    }
    /// Offers a version in response to the open request.
    fn offer(&mut self, kind: Kind, version: u64, text: &str, nonce: &str) -> &mut Self {
        let input = offer(self.open(kind), kind, version, text, nonce);
        self.on(input)
    }
    fn requests(&self, kind: Kind) -> Vec<&DiscoveryRequest> {
        let pick = |action| match action {
            &Action::SendRequest { kind: k, ref request, .. } if k == kind => Some(&**request),
            _ => None,
        };
        self.out.iter().filter_map(pick).collect()
    }
    fn ticket(&self) -> u64 {
        let pick = |action: &Action| match action {
            Action::Prepare { ticket, .. } => Some(*ticket),
            _ => None,
        };
        self.out.iter().filter_map(pick).next_back().expect("a change was prepared")
    }
    fn fail(&mut self, random: f64) -> &mut Self {
        let request_id = self.open(Kind::Classes);
        self.on(Input::RequestFailed { kind: Kind::Classes, request_id, random })
    }
    /// Completes the change that was begun last.
    fn complete_change(&mut self) -> &mut Self {
        let ticket = self.ticket();
        self.on(Input::Prepared { ticket, result: Ok(()) });
        self.on(Input::Stored { ticket, result: Ok(()) });
        self.on(Input::Applied { ticket })
    }
    fn running(&self, kind: Kind) -> Option<u64> {
        self.client.report().into_iter().find(|r| r.kind == kind).unwrap().running
    }
    fn phase(&self, kind: Kind) -> Option<(u64, Phase)> {
        self.client.report().into_iter().find(|r| r.kind == kind).unwrap().offered
    }
    fn rejected(&self, kind: Kind) -> String {
        let report = self.client.report().into_iter().find(|r| r.kind == kind).unwrap();
        report.rejected.map_or(String::new(), |r| r.1)
    }
}

#[test]
fn a_good_version_is_prepared_stored_applied_and_acknowledged_in_that_order() {
    let mut harness = Harness::new();
    harness.offer(Kind::Classes, 1, &example_classes(900), "n1");
    assert_eq!(harness.phase(Kind::Classes), Some((1, Phase::Preparing)));
    let ticket = harness.ticket();
    harness.on(Input::Prepared { ticket, result: Ok(()) });
    assert_eq!(harness.phase(Kind::Classes), Some((1, Phase::Storing)));
    assert!(matches!(harness.out.last(), Some(Action::Store { parts, .. }) if parts.len() == 1));
    harness.on(Input::Stored { ticket, result: Ok(()) });
    assert_eq!(harness.phase(Kind::Classes), Some((1, Phase::Applying)));
    assert_eq!(harness.running(Kind::Classes), None, "not before it is applied");
    assert!(harness.requests(Kind::Classes).is_empty());
    harness.on(Input::Applied { ticket });
    assert_eq!((harness.running(Kind::Classes), harness.phase(Kind::Classes)), (Some(1), None));
    let request = harness.requests(Kind::Classes)[0];
    assert_eq!(
        (request.version_info.as_str(), request.response_nonce.as_str(), &request.error_detail),
        ("1", "n1", &None)
    );
}

#[test]
fn an_invalid_version_is_rejected_at_once_with_line_and_reason() {
    let other = "<badgerwind version=\"1\">\n<rules/></badgerwind>";
    let impossible = example_classes(900).replace("memory-mb=\"400\"", "memory-mb=\"-1\"");
    for (text, want) in [
        ("<badgerwind version=\"1\">\n<class", "classes:1:2: <badgerwind>: not well-formed XML"),
        (other, "classes:1:2: <rules>: does not belong to a part of kind classes; it may hold class, tenant"),
        ("<settings/>", "its root is <badgerwind version=\"1\">"),
        (&impossible, "classes:1:1: <function>: memory-mb is \"-1\"; give a number from 0.1"),
    ] {
        let mut harness = Harness::new();
        harness.offer(Kind::Classes, 1, text, "n1");
        assert!(
            harness.rejected(Kind::Classes).contains(want),
            "wanted {want}\ngot {}",
            harness.rejected(Kind::Classes)
        );
        let request = harness.requests(Kind::Classes)[0];
        assert_eq!((request.version_info.as_str(), request.response_nonce.as_str()), ("", "n1"));
        assert_eq!(request.error_detail.as_ref().unwrap().code, 3);
        assert!(!harness.out.iter().any(|action| matches!(action, Action::Prepare { .. })));
    }
}

#[test]
fn a_failed_replay_or_a_full_disk_rejects_the_version_and_the_old_one_runs() {
    for full in [false, true] {
        let mut harness = Harness::new();
        harness.offer(Kind::Classes, 1, &example_classes(900), "n1").complete_change();
        harness.offer(Kind::Classes, 2, &example_classes(800), "n2");
        let ticket = harness.ticket();
        let why = || Err("no".to_owned());
        if full {
            harness
                .on(Input::Prepared { ticket, result: Ok(()) })
                .on(Input::Stored { ticket, result: why() });
        } else {
            harness.on(Input::Prepared { ticket, result: why() });
        }
        assert_eq!((harness.running(Kind::Classes), harness.phase(Kind::Classes)), (Some(1), None));
        let request = harness.requests(Kind::Classes).pop().unwrap();
        assert_eq!((request.version_info.as_str(), request.response_nonce.as_str()), ("1", "n2"));
        assert!(request.error_detail.is_some());
        // Offered again, it is not tried again.
        let before = harness.out.len();
        harness.offer(Kind::Classes, 2, &example_classes(800), "n3");
        assert!(!harness.out[before..].iter().any(|action| matches!(action, Action::Prepare { .. })));
        let again = harness.requests(Kind::Classes).pop().unwrap();
        assert!(again.error_detail.as_ref().unwrap().message.contains("before: "));
    }
}

#[test]
fn version_numbers_only_increase_and_a_number_keeps_its_content() {
    let mut harness = Harness::new();
    harness.offer(Kind::Classes, 5, &example_classes(900), "n1").complete_change();
    for (version, aim, want) in
        [(4, 900, "restored from a backup"), (5, 800, "two control services disagree")]
    {
        harness.offer(Kind::Classes, version, &example_classes(aim), "n2");
        let request = harness.requests(Kind::Classes).pop().unwrap();
        assert!(request.error_detail.as_ref().unwrap().message.contains(want), "{request:?}");
        assert_eq!(harness.running(Kind::Classes), Some(5));
    }
    harness.offer(Kind::Classes, 5, &example_classes(900), "n3");
    assert_eq!(
        harness.requests(Kind::Classes).pop().unwrap().error_detail,
        None,
        "the running version is accepted again"
    );
    // A rollback: the old content under a new number.
    harness.offer(Kind::Classes, 6, &example_classes(800), "n4").complete_change();
    harness.offer(Kind::Classes, 7, &example_classes(900), "n5").complete_change();
    assert_eq!(harness.running(Kind::Classes), Some(7));
}

#[test]
fn a_route_that_names_a_missing_class_waits_for_it() {
    let mut harness = Harness::new();
    harness.offer(Kind::Routes, 1, &routes("amend"), "r1");
    assert_eq!(harness.phase(Kind::Routes), Some((1, Phase::Staged)));
    assert_eq!(harness.requests(Kind::Routes).len(), 1, "a newer version can still arrive");
    let with = classes(&["check-answers", "lodge-return", "amend"], 900);
    harness.offer(Kind::Classes, 1, &with, "c1").complete_change();
    assert_eq!(harness.running(Kind::Classes), Some(1));
    harness.complete_change();
    assert_eq!(harness.running(Kind::Routes), Some(1));
}

#[test]
fn two_versions_that_need_each_other_are_applied_together() {
    let mut harness = Harness::new();
    // The old routes need the old classes, and the new routes need the new class.
    harness.offer(Kind::Classes, 1, &classes(&["amend"], 900), "c1");
    assert_eq!(harness.phase(Kind::Classes), Some((1, Phase::Staged)));
    harness.offer(Kind::Routes, 1, &routes("amend"), "r1");
    assert_eq!(harness.phase(Kind::Classes), Some((1, Phase::Preparing)));
    assert_eq!(harness.phase(Kind::Routes), Some((1, Phase::Preparing)));
    harness.complete_change();
    assert_eq!((harness.running(Kind::Classes), harness.running(Kind::Routes)), (Some(1), Some(1)));
}

#[test]
fn a_staged_version_is_rejected_after_the_timeout_with_what_it_lacks() {
    let mut harness = Harness::new();
    harness.offer(Kind::Routes, 1, &routes("amend"), "r1");
    harness.now = 999;
    harness.on(Input::Tick);
    assert_eq!(harness.phase(Kind::Routes), Some((1, Phase::Staged)));
    harness.now = 1_000;
    assert_eq!(harness.client.next_wake(), Some(1_000));
    harness.on(Input::Tick);
    assert_eq!(harness.phase(Kind::Routes), None);
    assert!(harness.rejected(Kind::Routes).contains("class names \"amend\", which is not declared"));
}

/// An offer that waits only for a slow change to end must not be rejected when its stage timeout passes.
#[test]
fn a_good_version_that_waits_behind_a_slow_change_runs_after_it() {
    let mut harness = Harness::new();
    harness.offer(Kind::Classes, 1, &example_classes(900), "n1");
    harness.offer(Kind::Routes, 1, &routes("check-answers"), "n2");
    harness.now += 5 * TIMING.stage_timeout;
    harness.on(Input::Tick);
    assert_eq!(harness.rejected(Kind::Routes), "");
    assert_eq!(harness.phase(Kind::Routes), Some((1, Phase::Staged)));
    harness.complete_change().complete_change();
    assert_eq!((harness.running(Kind::Classes), harness.running(Kind::Routes)), (Some(1), Some(1)));
}

/// The same for an offer that needs the slow change's content. During the change no tick is requested for the
/// offer.
#[test]
fn a_staged_version_outlasts_the_change_that_brings_what_it_lacks() {
    let mut harness = Harness::new();
    harness.offer(Kind::Routes, 1, &routes("new"), "n1");
    assert_eq!(harness.client.next_wake(), Some(harness.now + TIMING.stage_timeout));
    harness.now += TIMING.stage_timeout - 1;
    harness.offer(Kind::Classes, 1, &classes(&["check-answers", "lodge-return", "new"], 900), "n2");
    assert_eq!(harness.client.next_wake(), None);
    harness.now += 5 * TIMING.stage_timeout;
    harness.on(Input::Tick);
    assert_eq!(harness.rejected(Kind::Routes), "");
    harness.complete_change().complete_change();
    assert_eq!((harness.running(Kind::Classes), harness.running(Kind::Routes)), (Some(1), Some(1)));
}

#[test]
fn a_newer_version_takes_the_place_of_one_that_is_staged() {
    let mut harness = Harness::new();
    harness.offer(Kind::Routes, 1, &routes("amend"), "r1");
    harness.offer(Kind::Routes, 2, &routes("lodge-return"), "r2");
    assert_eq!(harness.phase(Kind::Routes), Some((2, Phase::Preparing)));
    harness.complete_change();
    assert_eq!(harness.running(Kind::Routes), Some(2));
    assert_eq!(harness.requests(Kind::Routes).pop().unwrap().response_nonce, "r2");
}

#[test]
fn failed_requests_are_retried_after_growing_bounded_pauses() {
    let mut harness = Harness::new();
    // The other types have open requests of their own, which do not matter here.
    let mut pauses = Vec::new();
    for random in [0.0, 0.5, 1.0, 1.0, 1.0, 1.0, 1.0] {
        harness.out.clear();
        harness.fail(random);
        assert!(harness.requests(Kind::Classes).is_empty());
        let at = harness.client.next_wake().unwrap();
        pauses.push(at - harness.now);
        harness.now = at;
        harness.on(Input::Tick);
        assert_eq!(harness.requests(Kind::Classes).len(), 1);
    }
    assert_eq!(pauses, [100, 200, 600, 1_800, 2_000, 2_000, 2_000]);
    let request_id = harness.open(Kind::Classes);
    harness.on(Input::Response { kind: Kind::Classes, request_id, response: None });
    harness.fail(1.0);
    assert_eq!(harness.client.next_wake().unwrap() - harness.now, 300, "a response resets the backoff");
}

#[test]
fn a_lost_acknowledgement_is_sent_again() {
    let mut harness = Harness::new();
    harness.offer(Kind::Classes, 1, &example_classes(900), "n1").complete_change();
    harness.out.clear();
    harness.fail(0.0);
    harness.now = 100;
    harness.on(Input::Tick);
    let request = harness.requests(Kind::Classes)[0];
    assert_eq!((request.version_info.as_str(), request.response_nonce.as_str()), ("1", "n1"));
}

#[test]
fn a_restart_resumes_with_the_stored_parts_unless_they_no_longer_fit_the_file() {
    let part = Part::parse(Kind::Classes, 7, &example_classes(900)).unwrap();
    let file = parse("file.xml", FILE).unwrap();
    let name = || ("f".to_owned(), "c".to_owned());
    let (client, settings, problems) = Client::new(name(), file, vec![part.clone()], TIMING).unwrap();
    assert_eq!(client.report().iter().find(|r| r.kind == Kind::Classes).unwrap().running, Some(7));
    assert_eq!((settings.router.classes[0].aim, problems.len()), (900_000, 0));
    let other = FILE.replace("class=\"lodge-return\"", "class=\"other\"");
    let other = other.replace("name=\"lodge-return\"", "name=\"other\"");
    let other = parse("file.xml", &other).unwrap();
    let (client, settings, problems) = Client::new(name(), other, vec![part], TIMING).unwrap();
    assert!(client.report().iter().all(|r| r.running.is_none()));
    assert_eq!(settings.classes[1], "other");
    assert!(problems[0].to_string().contains("\"other\", which is not declared"), "{problems:?}");
}

#[test]
fn parts_do_not_change_settings_of_the_single_machine() {
    let fleet = "<badgerwind version=\"1\"><fleet front-ends=\"9\" number=\"5\" zone=\"hall-b\" when-absent=\"miss\" \
        keep-alive=\"5s\"><zone name=\"hall-a\"/><zone name=\"hall-b\"/><kind name=\"k\" memory-mb=\"9000\"/></fleet>\
        <rules drain-grace=\"1s\" cold-from=\"0.2\" warm-after=\"5s\" fall-multiple=\"2\" fall-window=\"1s\"/></badgerwind>";
    let limits = "<badgerwind version=\"1\"><webhook listen=\"127.0.0.1:1\" connections=\"7\"/>\
        <runners connections=\"8\"/></badgerwind>";
    let mut harness = Harness::new();
    harness.offer(Kind::Fleet, 1, fleet, "f1").offer(Kind::Limits, 1, limits, "l1");
    harness.complete_change();
    harness.complete_change();
    let applied = harness.out.iter().filter_map(|action| match action {
        Action::Apply { settings, .. } => Some(settings),
        _ => None,
    });
    let s = applied.into_iter().next_back().unwrap();
    assert_eq!((s.router.front_ends, s.router.my_number, s.router.my_zone), (9, 0, 0));
    assert_eq!(s.webhook.listen.port(), 8080);
    assert_eq!((s.webhook.max_connections, s.runners.max_connections), (7, 8));
    assert_eq!(s.runners.key_file.to_str(), Some("secrets/runners.key"));
    assert_eq!(s.webhook.routes.len(), 2, "the limits do not change the routes");
}

#[test]
fn a_stored_set_is_read_back_and_any_truncation_or_change_is_detected() {
    let read = |kind, version, text: &str| Part::parse(kind, version, text).unwrap();
    let parts = [read(Kind::Classes, 7, &example_classes(900)), read(Kind::Routes, 3, &routes("a"))];
    let bytes = storage::encode(&parts);
    let back = storage::decode(&bytes).unwrap();
    let names: Vec<_> = back.iter().map(|p| (p.kind, p.version)).collect();
    assert_eq!(names, [(Kind::Classes, 7), (Kind::Routes, 3)]);
    assert_eq!(back[0].digest, parts[0].digest);
    assert!(storage::decode(&storage::encode(&[])).unwrap().is_empty());
    for n in 0..bytes.len() {
        assert!(storage::decode(&bytes[..n]).is_err(), "cut at {n}");
        let mut other = bytes.clone();
        other[n] ^= 1;
        assert!(storage::decode(&other).is_err(), "changed at {n}");
    }
    assert_eq!(storage::decode(b"runners.json").unwrap_err(), storage::StorageError::UnknownFormat);
}

// ---- Random responses, failures and restarts. ----

/// A step of a random schedule. A kind is given by its index in [`Kind::ALL`].
#[derive(Clone, Debug)]
enum Step {
    /// The open request of a kind is answered with a version, whose text is selected by the last number.
    Offer(u8, u64, u8),
    /// The open request of a kind ends without a new version.
    Nothing(u8),
    /// The open request of a kind fails; the random number for the backoff, in 255ths.
    Fail(u8, u8),
    /// The oldest open action is carried out and succeeds or fails.
    Work(bool),
    /// Time passes.
    Pass(u16),
    /// The process is killed and started again.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0u8..4, 0u64..9, 0u8..6).prop_map(|(k, v, t)| Step::Offer(k, v, t)),
        1 => (0u8..4).prop_map(Step::Nothing),
        1 => (0u8..4, any::<u8>()).prop_map(|(k, r)| Step::Fail(k, r)),
        8 => prop::bool::weighted(0.85).prop_map(Step::Work),
        2 => (0u16..1_500).prop_map(Step::Pass),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..120)
}

/// Texts of a kind: some are valid, some invalid, and some valid only together with another type's.
fn text(kind: Kind, variant: u8) -> String {
    match (kind, variant) {
        (_, 0) => "<badgerwind version=\"1\"><".into(),
        (Kind::Classes, 1) => classes(&["amend"], 900),
        (Kind::Classes, 2) => classes(&["check-answers", "lodge-return", "amend"], 900),
        (Kind::Classes, n) => example_classes(800 + u64::from(n)),
        (Kind::Routes, 1 | 2) => routes("amend"),
        (Kind::Routes, 3) => routes("nowhere"),
        (Kind::Routes, n) => routes(if n == 4 { "lodge-return" } else { "check-answers" }),
        (Kind::Fleet, n) => format!(
            "<badgerwind version=\"1\"><fleet front-ends=\"{}\" when-absent=\"load\" keep-alive=\"5s\"><zone name=\"{}\"/>\
             <kind name=\"k\" memory-mb=\"9000\"/></fleet><rules drain-grace=\"1s\" cold-from=\"0.2\" warm-after=\"5s\" \
             fall-multiple=\"2\" fall-window=\"1s\"/></badgerwind>",
            u32::from(n) + 1,
            if n == 1 { "elsewhere" } else { "hall-a" }
        ),
        (Kind::Limits, n) => {
            format!("<badgerwind version=\"1\"><webhook connections=\"{}\"/></badgerwind>", u32::from(n) + 1)
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn the_report_states_what_runs_whatever_is_offered(steps in steps()) {
        let file = parse("file.xml", FILE).unwrap();
        let name = || ("f".to_owned(), "c".to_owned());
        let (mut client, ..) = Client::new(name(), file.clone(), vec![], TIMING).unwrap();
        let (mut now, mut out, mut nonce) = (0u64, Vec::new(), 0u32);
        client.start(now, &mut out);
        let mut work: Vec<Action> = Vec::new();
        let mut stored: Vec<Part> = Vec::new();
        let mut running: BTreeMap<Kind, (u64, [u8; 32])> = BTreeMap::new();
        let mut in_change: BTreeMap<u64, Vec<Part>> = BTreeMap::new();
        let mut rejected: BTreeSet<(Kind, u64, [u8; 32])> = BTreeSet::new();
        let mut open_requests: BTreeMap<Kind, u64> = BTreeMap::new();
        let mut unanswered: BTreeMap<Kind, (String, u64, String)> = BTreeMap::new();
        for step in [Step::Pass(0)].into_iter().chain(steps) {
            let mut input = None;
            match step {
                Step::Offer(k, version, variant) => {
                    let kind = Kind::ALL[k as usize];
                    if let Some(request_id) = open_requests.remove(&kind) {
                        nonce += 1;
                        let (n, t) = (format!("n{nonce}"), text(kind, variant));
                        unanswered.insert(kind, (n.clone(), version, t.clone()));
                        input = Some(offer(request_id, kind, version, &t, &n));
                    }
                }
                Step::Nothing(k) => {
                    let kind = Kind::ALL[k as usize];
                    if let Some(request_id) = open_requests.remove(&kind) {
                        input = Some(Input::Response { kind, request_id, response: None });
                    }
                }
                Step::Fail(k, random) => {
                    let kind = Kind::ALL[k as usize];
                    if let Some(request_id) = open_requests.remove(&kind) {
                        input = Some(Input::RequestFailed { kind, request_id, random: f64::from(random) / 255.0 });
                    }
                }
                Step::Work(ok) if !work.is_empty() => {
                    let result = if ok { Ok(()) } else { Err("no".to_owned()) };
                    input = Some(match work.remove(0) {
                        Action::Prepare { ticket, .. } => Input::Prepared { ticket, result },
                        Action::Store { ticket, parts } => {
                            if ok {
                                stored = parts;
                            }
                            Input::Stored { ticket, result }
                        }
                        Action::Apply { ticket, .. } => {
                            for p in in_change.remove(&ticket).unwrap_or_default() {
                                let old = running.insert(p.kind, (p.version, p.digest));
                                prop_assert!(old.is_none_or(|(v, _)| v < p.version), "numbers only increase");
                                let name = (p.kind, p.version, p.digest);
                                prop_assert!(!rejected.contains(&name), "{:?} ran although it was rejected", p.version);
                            }
                            Input::Applied { ticket }
                        }
                        Action::SendRequest { .. } => unreachable!("requests are handled at once"),
                    });
                }
                Step::Work(_) => {}
                Step::Pass(span) => {
                    now += u64::from(span);
                    input = Some(Input::Tick);
                }
                Step::Restart => {
                    // A kill at any moment: the restart resumes with the stored set, which ran or was about
                    // to run.
                    let restored = storage::decode(&storage::encode(&stored)).unwrap();
                    let (fresh, _, problems) = Client::new(name(), file.clone(), restored, TIMING).unwrap();
                    prop_assert!(problems.is_empty(), "{:?}", problems);
                    client = fresh;
                    running = stored.iter().map(|p| (p.kind, (p.version, p.digest))).collect();
                    (work, in_change, open_requests, unanswered) = Default::default();
                    rejected.clear(); // rejections are not stored; versions are validated again
                    out.clear();
                    client.start(now, &mut out);
                }
            }
            if let Some(input) = input {
                client.handle(now, input, &mut out);
            }
            for action in out.drain(..) {
                match &action {
                    Action::SendRequest { kind, request_id, request } => {
                        let old_id = open_requests.insert(*kind, *request_id);
                        prop_assert!(old_id.is_none_or(|old| old < *request_id));
                        let expected = running.get(kind).map_or(String::new(), |r| r.0.to_string());
                        prop_assert_eq!(&request.version_info, &expected, "the request names the version that runs");
                        if let Some((n, version, text)) = unanswered.remove(kind) {
                            prop_assert_eq!(&request.response_nonce, &n, "each offer is acknowledged");
                            if request.error_detail.is_some() {
                                use sha2::Digest;
                                let digest = sha2::Sha256::digest(text.as_bytes()).into();
                                if running.get(kind) != Some(&(version, digest)) {
                                    rejected.insert((*kind, version, digest));
                                }
                            }
                        }
                    }
                    Action::Store { ticket, parts } => {
                        let fresh = |p: &&Part| running.get(&p.kind) != Some(&(p.version, p.digest));
                        in_change.insert(*ticket, parts.iter().filter(fresh).cloned().collect());
                        let stored_kinds = parts.iter().map(|p| p.kind).collect::<BTreeSet<_>>();
                        prop_assert!(running.keys().all(|k| stored_kinds.contains(k)), "the whole set is stored");
                    }
                    _ => {}
                }
                if !matches!(action, Action::SendRequest { .. }) {
                    work.push(action);
                }
            }
            for r in client.report() {
                prop_assert_eq!(r.running, running.get(&r.kind).map(|x| x.0), "the report says what runs");
            }
        }
    }
}

/// A hundred front ends lose the service at the same moment for a while; their retries must spread over time.
#[test]
fn a_hundred_front_ends_that_lose_the_service_together_do_not_retry_together() {
    // A linear congruential generator with a fixed seed: every run draws the same numbers.
    let mut state = 7u64;
    let mut random = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 11) as f64 / (1u64 << 53) as f64
    };
    let timing = Timing { stage_timeout: 1_000, min_backoff: 500, max_backoff: 30_000 };
    let mut rounds: Vec<Vec<u64>> = vec![Vec::new(); 6];
    for n in 0..100 {
        let file = parse("file.xml", FILE).unwrap();
        let (mut client, ..) = Client::new((format!("f{n}"), "c".into()), file, vec![], timing).unwrap();
        let mut out = Vec::new();
        client.start(0, &mut out);
        let mut now = 0;
        for round in &mut rounds {
            let open = out.iter().rev().find_map(|action| match action {
                Action::SendRequest { kind: Kind::Classes, request_id, .. } => Some(*request_id),
                _ => None,
            });
            let (request_id, random) = (open.unwrap(), random());
            client.handle(now, Input::RequestFailed { kind: Kind::Classes, request_id, random }, &mut out);
            now = client.next_wake().unwrap();
            client.handle(now, Input::Tick, &mut out);
            round.push(now);
        }
    }
    let mut spans_and_peaks = Vec::new();
    for round in &mut rounds {
        round.sort_unstable();
        let span = round[99] - round[0];
        let width = (span / 10).max(1);
        let peak = (0..100).map(|i| round[i..].iter().take_while(|t| **t < round[i] + width).count()).max();
        spans_and_peaks.push((span, peak.unwrap()));
    }
    // An even spread would have ten retries in each tenth of a round; the bound is four times that.
    assert!(spans_and_peaks.iter().all(|(_, peak)| *peak <= 40), "{spans_and_peaks:?}");
    assert!(
        spans_and_peaks[0].0 > 900 && spans_and_peaks[5].0 > 10_000,
        "each round spreads over a longer span: {spans_and_peaks:?}"
    );
}

#[test]
fn an_older_version_offered_during_a_change_of_its_type_never_runs() {
    let mut harness = Harness::new();
    // The two versions wait for each other, so both requests are open when the change of both begins.
    harness.offer(Kind::Routes, 7, &routes("amend"), "r1");
    harness.offer(Kind::Classes, 7, &classes(&["amend"], 900), "c1");
    let ticket = harness.ticket();
    harness.on(Input::Prepared { ticket, result: Ok(()) });
    harness.offer(Kind::Routes, 5, &routes("amend"), "r2");
    assert!(harness.rejected(Kind::Routes).is_empty(), "it is rejected before it is validated");
    let request = harness.requests(Kind::Routes).pop().unwrap();
    assert!(request.error_detail.as_ref().unwrap().message.contains("older than 7"), "{request:?}");
    harness.on(Input::Stored { ticket, result: Ok(()) }).on(Input::Applied { ticket });
    assert_eq!((harness.running(Kind::Routes), harness.phase(Kind::Routes)), (Some(7), None));
}
