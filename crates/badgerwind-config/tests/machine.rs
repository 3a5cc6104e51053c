//! The state machine of a front end's stream: its table row by row, and properties over any service, any shell and
//! any order of events.

use badgerwind_config::client::{Client, Do, Input, Phase, Times};
use badgerwind_config::parts::{Kind, Part};
use badgerwind_config::storage;
use badgerwind_config::wire::*;
use badgerwind_settings::document::parse;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const FILE: &str = include_str!("../../badgerwind-settings/tests/example.xml");
const TIMES: Times = Times { stage: 1_000, retry: 100, most_retry: 2_000 };

fn classes(names: &[&str], aim: u64) -> String {
    let class = |n: &&str| format!("<class name=\"{n}\" aim=\"{aim}ms\" deadline=\"3s\" effect=\"once\"/>");
    let all: String = names.iter().map(class).collect();
    format!(
        "<badgerwind version=\"1\">{all}<tenant name=\"brolga-shire\"/>\
         <function name=\"check-household\" memory-mb=\"400\"/>\
         <function name=\"lodge-household\" memory-mb=\"600\"/></badgerwind>"
    )
}

fn both(aim: u64) -> String {
    classes(&["check-answers", "lodge-return"], aim)
}

fn routes(class: &str) -> String {
    format!(
        "<badgerwind version=\"1\"><webhook><sender name=\"p\" tenant=\"brolga-shire\"><secret name=\"a\" file=\"k\"/>\
         </sender><route path=\"/x\" sender=\"p\" class=\"{class}\" function=\"lodge-household\"/></webhook></badgerwind>"
    )
}

fn offer(ask: u64, kind: Kind, version: u64, text: &str, nonce: &str) -> Input {
    let response = DiscoveryResponse {
        version_info: version.to_string(),
        resources: vec![Resource { kind: kind.url(), value: text.into() }],
        type_url: kind.url(),
        nonce: nonce.into(),
        control_plane: None,
    };
    Input::Offered { kind, ask, response: Some(response) }
}

struct Rig {
    open: BTreeMap<Kind, u64>,
    client: Client,
    out: Vec<Do>,
    now: u64,
}

impl Rig {
    fn new() -> Rig {
        let file = parse("file.xml", FILE).unwrap();
        let (client, ..) = Client::new(("front-0".into(), "fleet".into()), file, vec![], TIMES).unwrap();
        let mut rig = Rig { open: BTreeMap::new(), client, out: vec![], now: 0 };
        rig.client.begin(0, &mut rig.out);
        rig.note();
        assert_eq!(rig.asks(Kind::Classes).len(), 1);
        rig.out.clear();
        rig
    }
    fn on(&mut self, input: Input) -> &mut Self {
        self.client.on(self.now, input, &mut self.out);
        self.note();
        self
    }
    fn note(&mut self) {
        for d in &self.out {
            if let Do::Ask { kind, ask, .. } = d {
                let newest = self.open.entry(*kind).or_default();
                *newest = (*newest).max(*ask);
            }
        }
    }
    /// The question about a type that is open.
    fn open(&self, kind: Kind) -> u64 {
        self.open[&kind]
    }
    /// Offers something in answer to the question that is open.
    fn offer(&mut self, kind: Kind, version: u64, text: &str, nonce: &str) -> &mut Self {
        let input = offer(self.open(kind), kind, version, text, nonce);
        self.on(input)
    }
    fn asks(&self, kind: Kind) -> Vec<&DiscoveryRequest> {
        let pick = |d| match d {
            &Do::Ask { kind: k, ref request, .. } if k == kind => Some(&**request),
            _ => None,
        };
        self.out.iter().filter_map(pick).collect()
    }
    fn ticket(&self) -> u64 {
        let pick = |d: &Do| match d {
            Do::Prepare { ticket, .. } => Some(*ticket),
            _ => None,
        };
        self.out.iter().filter_map(pick).next_back().expect("a change was prepared")
    }
    fn fail(&mut self, draw: f64) -> &mut Self {
        let ask = self.open(Kind::Classes);
        self.on(Input::Failed { kind: Kind::Classes, ask, draw })
    }
    /// Lets the change that was begun last go through.
    fn through(&mut self) -> &mut Self {
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
    let mut rig = Rig::new();
    rig.offer(Kind::Classes, 1, &both(900), "n1");
    assert_eq!(rig.phase(Kind::Classes), Some((1, Phase::Preparing)));
    let ticket = rig.ticket();
    rig.on(Input::Prepared { ticket, result: Ok(()) });
    assert_eq!(rig.phase(Kind::Classes), Some((1, Phase::Storing)));
    assert!(matches!(rig.out.last(), Some(Do::Store { parts, .. }) if parts.len() == 1));
    rig.on(Input::Stored { ticket, result: Ok(()) });
    assert_eq!(rig.phase(Kind::Classes), Some((1, Phase::Applying)));
    assert_eq!(rig.running(Kind::Classes), None, "not before it is");
    assert!(rig.asks(Kind::Classes).is_empty());
    rig.on(Input::Applied { ticket });
    assert_eq!((rig.running(Kind::Classes), rig.phase(Kind::Classes)), (Some(1), None));
    let ask = rig.asks(Kind::Classes)[0];
    assert_eq!(
        (ask.version_info.as_str(), ask.response_nonce.as_str(), &ask.error_detail),
        ("1", "n1", &None)
    );
}

#[test]
fn what_cannot_be_is_turned_down_at_once_with_line_and_reason() {
    let other = "<badgerwind version=\"1\">\n<rules/></badgerwind>";
    let impossible = both(900).replace("memory-mb=\"400\"", "memory-mb=\"-1\"");
    for (text, want) in [
        ("<badgerwind version=\"1\">\n<class", "classes:1:2: <badgerwind>: not well-formed XML"),
        (other, "classes:1:2: <rules>: does not belong to a part of kind classes; it may hold class, tenant"),
        ("<settings/>", "its root is <badgerwind version=\"1\">"),
        (&impossible, "classes:1:1: <function>: memory-mb is \"-1\"; give a number from 0.1"),
    ] {
        let mut rig = Rig::new();
        rig.offer(Kind::Classes, 1, text, "n1");
        assert!(
            rig.rejected(Kind::Classes).contains(want),
            "wanted {want}\ngot {}",
            rig.rejected(Kind::Classes)
        );
        let ask = rig.asks(Kind::Classes)[0];
        assert_eq!((ask.version_info.as_str(), ask.response_nonce.as_str()), ("", "n1"));
        assert_eq!(ask.error_detail.as_ref().unwrap().code, 3);
        assert!(!rig.out.iter().any(|d| matches!(d, Do::Prepare { .. })));
    }
}

#[test]
fn a_shadow_that_fails_and_a_disk_that_is_full_turn_it_down_and_the_old_one_runs() {
    for full in [false, true] {
        let mut rig = Rig::new();
        rig.offer(Kind::Classes, 1, &both(900), "n1").through();
        rig.offer(Kind::Classes, 2, &both(800), "n2");
        let ticket = rig.ticket();
        let why = || Err("no".to_owned());
        if full {
            rig.on(Input::Prepared { ticket, result: Ok(()) }).on(Input::Stored { ticket, result: why() });
        } else {
            rig.on(Input::Prepared { ticket, result: why() });
        }
        assert_eq!((rig.running(Kind::Classes), rig.phase(Kind::Classes)), (Some(1), None));
        let ask = rig.asks(Kind::Classes).pop().unwrap();
        assert_eq!((ask.version_info.as_str(), ask.response_nonce.as_str()), ("1", "n2"));
        assert!(ask.error_detail.is_some());
        // Offered again, it is not tried again.
        let before = rig.out.len();
        rig.offer(Kind::Classes, 2, &both(800), "n3");
        assert!(!rig.out[before..].iter().any(|d| matches!(d, Do::Prepare { .. })));
        let again = rig.asks(Kind::Classes).pop().unwrap();
        assert!(again.error_detail.as_ref().unwrap().message.contains("before: "));
    }
}

#[test]
fn numbers_only_grow_and_a_number_keeps_its_content() {
    let mut rig = Rig::new();
    rig.offer(Kind::Classes, 5, &both(900), "n1").through();
    for (version, aim, want) in
        [(4, 900, "restored from a backup"), (5, 800, "two control services disagree")]
    {
        rig.offer(Kind::Classes, version, &both(aim), "n2");
        let ask = rig.asks(Kind::Classes).pop().unwrap();
        assert!(ask.error_detail.as_ref().unwrap().message.contains(want), "{ask:?}");
        assert_eq!(rig.running(Kind::Classes), Some(5));
    }
    rig.offer(Kind::Classes, 5, &both(900), "n3");
    assert_eq!(rig.asks(Kind::Classes).pop().unwrap().error_detail, None, "what runs, offered again");
    // Back on purpose: the old content under a new number.
    rig.offer(Kind::Classes, 6, &both(800), "n4").through();
    rig.offer(Kind::Classes, 7, &both(900), "n5").through();
    assert_eq!(rig.running(Kind::Classes), Some(7));
}

#[test]
fn a_route_that_names_a_class_to_come_waits_for_it() {
    let mut rig = Rig::new();
    rig.offer(Kind::Routes, 1, &routes("amend"), "r1");
    assert_eq!(rig.phase(Kind::Routes), Some((1, Phase::Staged)));
    assert_eq!(rig.asks(Kind::Routes).len(), 1, "a newer one can still come");
    let with = classes(&["check-answers", "lodge-return", "amend"], 900);
    rig.offer(Kind::Classes, 1, &with, "c1").through();
    assert_eq!(rig.running(Kind::Classes), Some(1));
    rig.through();
    assert_eq!(rig.running(Kind::Routes), Some(1));
}

#[test]
fn two_that_need_each_other_are_applied_together() {
    let mut rig = Rig::new();
    // Without the old classes the old routes cannot be; without the new class the new routes cannot.
    rig.offer(Kind::Classes, 1, &classes(&["amend"], 900), "c1");
    assert_eq!(rig.phase(Kind::Classes), Some((1, Phase::Staged)));
    rig.offer(Kind::Routes, 1, &routes("amend"), "r1");
    assert_eq!(rig.phase(Kind::Classes), Some((1, Phase::Preparing)));
    assert_eq!(rig.phase(Kind::Routes), Some((1, Phase::Preparing)));
    rig.through();
    assert_eq!((rig.running(Kind::Classes), rig.running(Kind::Routes)), (Some(1), Some(1)));
}

#[test]
fn what_waits_in_vain_is_turned_down_with_what_it_lacked() {
    let mut rig = Rig::new();
    rig.offer(Kind::Routes, 1, &routes("amend"), "r1");
    rig.now = 999;
    rig.on(Input::Tick);
    assert_eq!(rig.phase(Kind::Routes), Some((1, Phase::Staged)));
    rig.now = 1_000;
    assert_eq!(rig.client.next_wake(), Some(1_000));
    rig.on(Input::Tick);
    assert_eq!(rig.phase(Kind::Routes), None);
    assert!(rig.rejected(Kind::Routes).contains("class names \"amend\", which is not declared"));
}

/// A change that takes longer than an offer may be staged must not turn down what only waits for its turn.
#[test]
fn a_good_version_that_waits_behind_a_slow_change_runs_after_it() {
    let mut rig = Rig::new();
    rig.offer(Kind::Classes, 1, &both(900), "n1");
    rig.offer(Kind::Routes, 1, &routes("check-answers"), "n2");
    rig.now += 5 * TIMES.stage;
    rig.on(Input::Tick);
    assert_eq!(rig.rejected(Kind::Routes), "");
    assert_eq!(rig.phase(Kind::Routes), Some((1, Phase::Staged)));
    rig.through().through();
    assert_eq!((rig.running(Kind::Classes), rig.running(Kind::Routes)), (Some(1), Some(1)));
}

/// The same for one that lacks what the slow change brings. While that is under way the machine wants no tick for it.
#[test]
fn a_staged_version_outlasts_the_change_that_brings_what_it_lacks() {
    let mut rig = Rig::new();
    rig.offer(Kind::Routes, 1, &routes("new"), "n1");
    assert_eq!(rig.client.next_wake(), Some(rig.now + TIMES.stage));
    rig.now += TIMES.stage - 1;
    rig.offer(Kind::Classes, 1, &classes(&["check-answers", "lodge-return", "new"], 900), "n2");
    assert_eq!(rig.client.next_wake(), None);
    rig.now += 5 * TIMES.stage;
    rig.on(Input::Tick);
    assert_eq!(rig.rejected(Kind::Routes), "");
    rig.through().through();
    assert_eq!((rig.running(Kind::Classes), rig.running(Kind::Routes)), (Some(1), Some(1)));
}

#[test]
fn a_newer_version_takes_the_place_of_one_that_is_staged() {
    let mut rig = Rig::new();
    rig.offer(Kind::Routes, 1, &routes("amend"), "r1");
    rig.offer(Kind::Routes, 2, &routes("lodge-return"), "r2");
    assert_eq!(rig.phase(Kind::Routes), Some((2, Phase::Preparing)));
    rig.through();
    assert_eq!(rig.running(Kind::Routes), Some(2));
    assert_eq!(rig.asks(Kind::Routes).pop().unwrap().response_nonce, "r2");
}

#[test]
fn a_lost_service_is_asked_again_later_each_time_within_a_bound() {
    let mut rig = Rig::new();
    // The other types wait on questions of their own, which say nothing here.
    let mut pauses = Vec::new();
    for draw in [0.0, 0.5, 1.0, 1.0, 1.0, 1.0, 1.0] {
        rig.out.clear();
        rig.fail(draw);
        assert!(rig.asks(Kind::Classes).is_empty());
        let at = rig.client.next_wake().unwrap();
        pauses.push(at - rig.now);
        rig.now = at;
        rig.on(Input::Tick);
        assert_eq!(rig.asks(Kind::Classes).len(), 1);
    }
    assert_eq!(pauses, [100, 200, 600, 1_800, 2_000, 2_000, 2_000]);
    let ask = rig.open(Kind::Classes);
    rig.on(Input::Offered { kind: Kind::Classes, ask, response: None });
    rig.fail(1.0);
    assert_eq!(rig.client.next_wake().unwrap() - rig.now, 300, "an answer begins it anew");
}

#[test]
fn a_lost_acknowledgement_is_given_again() {
    let mut rig = Rig::new();
    rig.offer(Kind::Classes, 1, &both(900), "n1").through();
    rig.out.clear();
    rig.fail(0.0);
    rig.now = 100;
    rig.on(Input::Tick);
    let ask = rig.asks(Kind::Classes)[0];
    assert_eq!((ask.version_info.as_str(), ask.response_nonce.as_str()), ("1", "n1"));
}

#[test]
fn a_restart_begins_with_what_was_kept_and_a_file_that_no_longer_fits_begins_alone() {
    let part = Part::read(Kind::Classes, 7, &both(900)).unwrap();
    let file = parse("file.xml", FILE).unwrap();
    let name = || ("f".to_owned(), "c".to_owned());
    let (client, settings, problems) = Client::new(name(), file, vec![part.clone()], TIMES).unwrap();
    assert_eq!(client.report().iter().find(|r| r.kind == Kind::Classes).unwrap().running, Some(7));
    assert_eq!((settings.router.classes[0].aim, problems.len()), (900_000, 0));
    let other = FILE.replace("class=\"lodge-return\"", "class=\"other\"");
    let other = other.replace("name=\"lodge-return\"", "name=\"other\"");
    let other = parse("file.xml", &other).unwrap();
    let (client, settings, problems) = Client::new(name(), other, vec![part], TIMES).unwrap();
    assert!(client.report().iter().all(|r| r.running.is_none()));
    assert_eq!(settings.classes[1], "other");
    assert!(problems[0].to_string().contains("\"other\", which is not declared"), "{problems:?}");
}

#[test]
fn what_is_a_machines_own_stays_so() {
    let fleet = "<badgerwind version=\"1\"><fleet front-ends=\"9\" number=\"5\" zone=\"hall-b\" when-absent=\"miss\" \
        keep-alive=\"5s\"><zone name=\"hall-a\"/><zone name=\"hall-b\"/><kind name=\"k\" memory-mb=\"9000\"/></fleet>\
        <rules drain-grace=\"1s\" cold-from=\"0.2\" warm-after=\"5s\" fall-multiple=\"2\" fall-window=\"1s\"/></badgerwind>";
    let limits = "<badgerwind version=\"1\"><webhook listen=\"127.0.0.1:1\" connections=\"7\"/>\
        <runners connections=\"8\"/></badgerwind>";
    let mut rig = Rig::new();
    rig.offer(Kind::Fleet, 1, fleet, "f1").offer(Kind::Limits, 1, limits, "l1");
    rig.through();
    rig.through();
    let applied = rig.out.iter().filter_map(|d| match d {
        Do::Apply { settings, .. } => Some(settings),
        _ => None,
    });
    let s = applied.into_iter().next_back().unwrap();
    assert_eq!((s.router.front_ends, s.router.my_number, s.router.my_zone), (9, 0, 0));
    assert_eq!(s.webhook.listen.port(), 8080);
    assert_eq!((s.webhook.connections, s.runners.connections), (7, 8));
    assert_eq!(s.runners.key_file.to_str(), Some("secrets/runners.key"));
    assert_eq!(s.webhook.routes.len(), 2, "routes are another type's");
}

#[test]
fn a_kept_set_is_read_back_and_any_cut_or_change_is_told() {
    let read = |kind, version, text: &str| Part::read(kind, version, text).unwrap();
    let parts = [read(Kind::Classes, 7, &both(900)), read(Kind::Routes, 3, &routes("a"))];
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
    assert_eq!(storage::decode(b"runners.json").unwrap_err(), storage::StorageError::Foreign);
}

// ---- Any service, any shell. ----

#[derive(Clone, Debug)]
enum Step {
    Offer(u8, u64, u8),
    Nothing(u8),
    Fail(u8, u8),
    Work(bool),
    Pass(u16),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0u8..4, 0u64..9, 0u8..6).prop_map(|(k, v, t)| Step::Offer(k, v, t)),
        1 => (0u8..4).prop_map(Step::Nothing),
        1 => (0u8..4, any::<u8>()).prop_map(|(k, d)| Step::Fail(k, d)),
        8 => prop::bool::weighted(0.85).prop_map(Step::Work),
        2 => (0u16..1_500).prop_map(Step::Pass),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..120)
}

/// Texts of a kind, some good, some not, some only with another type's.
fn text(kind: Kind, which: u8) -> String {
    match (kind, which) {
        (_, 0) => "<badgerwind version=\"1\"><".into(),
        (Kind::Classes, 1) => classes(&["amend"], 900),
        (Kind::Classes, 2) => classes(&["check-answers", "lodge-return", "amend"], 900),
        (Kind::Classes, n) => both(800 + u64::from(n)),
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
    fn whatever_is_offered_what_runs_is_what_is_told(steps in steps()) {
        let file = parse("file.xml", FILE).unwrap();
        let name = || ("f".to_owned(), "c".to_owned());
        let (mut client, ..) = Client::new(name(), file.clone(), vec![], TIMES).unwrap();
        let (mut now, mut out, mut nonce) = (0u64, Vec::new(), 0u32);
        client.begin(now, &mut out);
        let mut work: Vec<Do> = Vec::new();
        let mut stored: Vec<Part> = Vec::new();
        let mut running: BTreeMap<Kind, (u64, [u8; 32])> = BTreeMap::new();
        let mut in_change: BTreeMap<u64, Vec<Part>> = BTreeMap::new();
        let mut rejected: BTreeSet<(Kind, u64, [u8; 32])> = BTreeSet::new();
        let mut asking: BTreeMap<Kind, u64> = BTreeMap::new();
        let mut unanswered: BTreeMap<Kind, (String, u64, String)> = BTreeMap::new();
        for step in [Step::Pass(0)].into_iter().chain(steps) {
            let mut input = None;
            match step {
                Step::Offer(k, version, which) => {
                    let kind = Kind::ALL[k as usize];
                    if let Some(ask) = asking.remove(&kind) {
                        nonce += 1;
                        let (n, t) = (format!("n{nonce}"), text(kind, which));
                        unanswered.insert(kind, (n.clone(), version, t.clone()));
                        input = Some(offer(ask, kind, version, &t, &n));
                    }
                }
                Step::Nothing(k) => {
                    let kind = Kind::ALL[k as usize];
                    if let Some(ask) = asking.remove(&kind) {
                        input = Some(Input::Offered { kind, ask, response: None });
                    }
                }
                Step::Fail(k, draw) => {
                    let kind = Kind::ALL[k as usize];
                    if let Some(ask) = asking.remove(&kind) {
                        input = Some(Input::Failed { kind, ask, draw: f64::from(draw) / 255.0 });
                    }
                }
                Step::Work(ok) if !work.is_empty() => {
                    let result = if ok { Ok(()) } else { Err("no".to_owned()) };
                    input = Some(match work.remove(0) {
                        Do::Prepare { ticket, .. } => Input::Prepared { ticket, result },
                        Do::Store { ticket, parts } => {
                            if ok {
                                stored = parts;
                            }
                            Input::Stored { ticket, result }
                        }
                        Do::Apply { ticket, .. } => {
                            for p in in_change.remove(&ticket).unwrap_or_default() {
                                let old = running.insert(p.kind, (p.version, p.digest));
                                prop_assert!(old.is_none_or(|(v, _)| v < p.version), "numbers only grow");
                                let name = (p.kind, p.version, p.digest);
                                prop_assert!(!rejected.contains(&name), "{:?} ran though turned down", p.version);
                            }
                            Input::Applied { ticket }
                        }
                        Do::Ask { .. } => unreachable!("asks are no work"),
                    });
                }
                Step::Work(_) => {}
                Step::Pass(span) => {
                    now += u64::from(span);
                    input = Some(Input::Tick);
                }
                Step::Restart => {
                    // Killed at any moment: it begins with what was kept, which is what ran or what was about to.
                    let kept = storage::decode(&storage::encode(&stored)).unwrap();
                    let (fresh, _, problems) = Client::new(name(), file.clone(), kept, TIMES).unwrap();
                    prop_assert!(problems.is_empty(), "{:?}", problems);
                    client = fresh;
                    running = stored.iter().map(|p| (p.kind, (p.version, p.digest))).collect();
                    (work, in_change, asking, unanswered) = Default::default();
                    rejected.clear(); // it remembers none, and judges anew
                    out.clear();
                    client.begin(now, &mut out);
                }
            }
            if let Some(input) = input {
                client.on(now, input, &mut out);
            }
            for d in out.drain(..) {
                match &d {
                    Do::Ask { kind, ask, request } => {
                        prop_assert!(asking.insert(*kind, *ask).is_none_or(|old| old < *ask));
                        let told = running.get(kind).map_or(String::new(), |r| r.0.to_string());
                        prop_assert_eq!(&request.version_info, &told, "it says what runs");
                        if let Some((n, version, text)) = unanswered.remove(kind) {
                            prop_assert_eq!(&request.response_nonce, &n, "each offer is answered");
                            if request.error_detail.is_some() {
                                use sha2::Digest;
                                let digest = sha2::Sha256::digest(text.as_bytes()).into();
                                if running.get(kind) != Some(&(version, digest)) {
                                    rejected.insert((*kind, version, digest));
                                }
                            }
                        }
                    }
                    Do::Store { ticket, parts } => {
                        let fresh = |p: &&Part| running.get(&p.kind) != Some(&(p.version, p.digest));
                        in_change.insert(*ticket, parts.iter().filter(fresh).cloned().collect());
                        let kept = parts.iter().map(|p| p.kind).collect::<BTreeSet<_>>();
                        prop_assert!(running.keys().all(|k| kept.contains(k)), "the whole set is kept");
                    }
                    _ => {}
                }
                if !matches!(d, Do::Ask { .. }) {
                    work.push(d);
                }
            }
            for r in client.report() {
                prop_assert_eq!(r.running, running.get(&r.kind).map(|x| x.0), "the report says what runs");
            }
        }
    }
}

/// A hundred front ends lose the service at the same moment, and it stays away for a while: their questions spread.
#[test]
fn a_hundred_that_lose_the_service_together_do_not_come_back_together() {
    // A small generator of its own: the same draws at every run.
    let mut state = 7u64;
    let mut draw = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 11) as f64 / (1u64 << 53) as f64
    };
    let times = Times { stage: 1_000, retry: 500, most_retry: 30_000 };
    let mut asks: Vec<Vec<u64>> = vec![Vec::new(); 6];
    for n in 0..100 {
        let file = parse("file.xml", FILE).unwrap();
        let (mut client, ..) = Client::new((format!("f{n}"), "c".into()), file, vec![], times).unwrap();
        let mut out = Vec::new();
        client.begin(0, &mut out);
        let mut now = 0;
        for round in &mut asks {
            let open = out.iter().rev().find_map(|d| match d {
                Do::Ask { kind: Kind::Classes, ask, .. } => Some(*ask),
                _ => None,
            });
            client.on(now, Input::Failed { kind: Kind::Classes, ask: open.unwrap(), draw: draw() }, &mut out);
            now = client.next_wake().unwrap();
            client.on(now, Input::Tick, &mut out);
            round.push(now);
        }
    }
    let mut crowd = Vec::new();
    for round in &mut asks {
        round.sort_unstable();
        let span = round[99] - round[0];
        let width = (span / 10).max(1);
        let most = (0..100).map(|i| round[i..].iter().take_while(|t| **t < round[i] + width).count()).max();
        crowd.push((span, most.unwrap()));
    }
    // Ten would be an even spread over the tenths of a round; four times that is the bound.
    assert!(crowd.iter().all(|(_, most)| *most <= 40), "{crowd:?}");
    assert!(crowd[0].0 > 900 && crowd[5].0 > 10_000, "each round spreads over a longer span: {crowd:?}");
}

#[test]
fn an_older_number_that_comes_beside_a_change_of_its_own_type_never_runs_after_it() {
    let mut rig = Rig::new();
    // Both wait for each other, so both questions are open when the change of both begins.
    rig.offer(Kind::Routes, 7, &routes("amend"), "r1");
    rig.offer(Kind::Classes, 7, &classes(&["amend"], 900), "c1");
    let ticket = rig.ticket();
    rig.on(Input::Prepared { ticket, result: Ok(()) });
    rig.offer(Kind::Routes, 5, &routes("amend"), "r2");
    assert!(rig.rejected(Kind::Routes).is_empty(), "it is turned down without being tried");
    let ask = rig.asks(Kind::Routes).pop().unwrap();
    assert!(ask.error_detail.as_ref().unwrap().message.contains("older than 7"), "{ask:?}");
    rig.on(Input::Stored { ticket, result: Ok(()) }).on(Input::Applied { ticket });
    assert_eq!((rig.running(Kind::Routes), rig.phase(Kind::Routes)), (Some(7), None));
}
