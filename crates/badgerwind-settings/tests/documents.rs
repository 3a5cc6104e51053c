//! Valid documents are read in full; problems name line, element, error and remedy.

use badgerwind::interface::{Effect, WhenAbsent};
use badgerwind_settings::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const EXAMPLE: &str = include_str!("example.xml");

#[test]
fn the_example_is_read_in_full() {
    let s = read("example.xml", EXAMPLE).unwrap();
    assert_eq!((s.router.front_ends, s.router.my_zone, s.router.keep_alive), (3, 0, 8_400_000));
    assert_eq!((s.router.drain_grace, s.router.fall_window, s.router.max_attempts), (500_000, 1_500_000, 4));
    assert_eq!((s.router.when_absent, s.router.classes[1].effect), (WhenAbsent::Load, Effect::Once));
    assert_eq!(s.router.tenants[0].quota_per_s, Some(101.0));
    assert_eq!(s.classes, ["check-answers", "lodge-return"]);
    let routes: Vec<_> =
        s.webhook.routes.iter().map(|r| (r.path.as_str(), r.class, r.target.clone())).collect();
    assert_eq!(routes, [("/check/", 0, Target::FromPath), ("/lodge", 1, Target::Function(1))]);
    assert_eq!(s.webhook.senders[0].secrets[1].not_before, Some(1_796_083_200));
    assert_eq!(s.webhook.senders[0].tolerance, 300);
    let report = "<report how=\"answers\" fields=\"active cpu\"/><log";
    let s2 = read("s.xml", &EXAMPLE.replace("<log", report)).unwrap();
    use badgerwind::interface::{ReportField, ReportMode};
    assert_eq!(s2.router.report_mode, ReportMode::Answers);
    assert_eq!(s2.router.report_fields, [ReportField::Active, ReportField::Cpu]);
    assert_eq!((s.max_calls, s.log.json, s.list.poll_timeout.as_secs()), (20_000, false, 20));
}

/// The problems of the example with one piece of text changed.
fn problems_with(from: &str, to: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(from), "{from}");
    let problems = read("s.xml", &EXAMPLE.replacen(from, to, 1)).expect_err(to);
    problems.iter().map(Problem::to_string).collect()
}

#[test]
fn each_problem_is_named_with_its_line_and_its_remedy() {
    let grace = "drain-grace=\"500ms\"";
    for (from, to, want) in [
        (grace, "", "s.xml:8: <rules>: drain-grace is missing; give a time from 0s to 60s, such as 250ms"),
        (grace, "drain-grace=\"500\"", "s.xml:8: <rules>: drain-grace is \"500\"; give a time"),
        (grace, "drain-grace=\"2h\"", "s.xml:8: <rules>: drain-grace is \"2h\"; give a time from 0s to 60s"),
        ("cold-from=\"0.16\"", "cold-from=\"1.6\"", "cold-from is \"1.6\"; give a number from 0.001 to 1"),
        ("cold-from=\"0.16\"", "cold-from=\"inf\"", "cold-from is \"inf\"; give a number"),
        ("number=\"0\"", "number=\"3\"", "s.xml:3: <fleet>: number is 3 of 3 front ends; numbers start at 0"),
        ("when-absent=\"load\"", "when-absent=\"wait\"", "when-absent is \"wait\"; give one of load, miss"),
        (
            "zone=\"hall-a\"",
            "zone=\"hall-z\"",
            "<fleet>: zone names \"hall-z\", which is not declared; declare",
        ),
        ("<tenant name=\"brolga-shire\" quota=\"101\"/>", "", "<badgerwind>: <tenant> occurs 0 times; write"),
        ("<list address", "<lists address", "s.xml:25: <lists>: unknown element; <badgerwind> may contain"),
        ("class=\"lodge-return\"", "class=\"lodge\"", "s.xml:22: <route>: class names \"lodge\""),
        ("path=\"/check/*\"", "path=\"/check\"", "s.xml:21: <route>: path /check and function do not fit"),
        (
            "path=\"/check/*\"",
            "path=\"check/*\"",
            "path is \"check/*\"; give a path that starts with a slash",
        ),
        ("aim=\"1.2s\"", "aim=\"4s\"", "s.xml:11: <class>: aim 4s is beyond deadline 3s"),
        ("deadline=\"3s\"", "deadline=\"40ms\"", "leaves no time to answer"),
        ("name=\"2026-b\"", "name=\"2026-a\"", "<secret>: name \"2026-a\" occurs twice"),
        ("not-before=\"2026-12-01T00:00:00Z\"", "not-before=\"soon\"", "give a moment such as"),
        (
            "memory-mb=\"600\"",
            "memory-mb=\"60000\"",
            "fits no kind of runner; the largest kind holds 12864 MB",
        ),
        (
            "tenant=\"brolga-shire\">",
            "tenant=\"brolga-shire\" tolerance=\"6min\">",
            "tolerance 6min is more than half of remember",
        ),
        ("retry-after=\"2s\"", "messages=\"true\"", "messages are allowed and there is no <peers>"),
        (
            "<log format=\"text\"/>",
            "<log colour=\"red\"/>",
            "unknown attribute colour; known attributes are format, level",
        ),
        ("<log format=\"text\"/>", "<log>text</log>", "<log>: contains text; write values in attributes"),
        ("</badgerwind>", "", "<badgerwind>: is never closed"),
        ("</webhook>", "</webhok>", "not well-formed XML"),
        ("<log format=\"text\"/>", "<log format=\"text\" format=\"json\"/>", "an attribute cannot be read"),
        (
            "<badgerwind version",
            "<!DOCTYPE x [<!ENTITY a \"b\">]><badgerwind version",
            "remove it: entities are not supported",
        ),
        (
            "<log format=\"text\"/>",
            "<report how=\"probe\" fields=\"cpu heat\"/>",
            "some of active, waiting, cpu",
        ),
        ("version=\"1\">", "version=\"2\">", "version is \"2\"; give one of 1"),
    ] {
        let got = problems_with(from, to);
        assert!(got.iter().any(|p| p.contains(want)), "wanted {want}\ngot {got:#?}");
    }
    assert!(read("s.xml", "").unwrap_err()[0].to_string().contains("is empty"));
    assert!(read("s.xml", "<a/>").unwrap_err()[0]
        .to_string()
        .contains("unexpected element; <badgerwind> is expected here"));
}

/// The example with peers and budgets.
fn example_with_budgets() -> String {
    let budgets = "<peers listen=\"127.0.0.1:7001\" key-file=\"peers.key\"><peer number=\"1\" address=\"127.0.0.1:7002\"/></peers>\
                   <budgets version=\"4\" lease=\"3s\" beat=\"1s\"><voter number=\"0\"/><voter number=\"1\"/>\
                   <budget name=\"fetches\" of=\"orders\" units=\"30\" floor=\"2\" window=\"10s\"/>\
                   <budget name=\"brolga\" of=\"tenant\" tenant=\"brolga-shire\" units=\"100\" window=\"1s\"/></budgets><log";
    EXAMPLE.replacen("<log", budgets, 1).replacen(
        "fall-window",
        "load-window=\"10s\" load-free=\"9\" fall-window",
        1,
    )
}

#[test]
fn budgets_are_read_with_their_settings() {
    let b = read("s.xml", &example_with_budgets()).unwrap().budgets.unwrap();
    assert_eq!(b.budgets[0], Budget { name: "fetches".into(), resource: BudgetResource::Orders });
    assert_eq!(b.budgets[1].resource, BudgetResource::Tenant(0));
    assert_eq!(
        (b.limit_set.version, b.lease_settings.voters.clone(), b.lease_settings.lease),
        (4, vec![0, 1], 3_000_000)
    );
    let limit = &b.limit_set.limits[0];
    assert_eq!((limit.units, limit.floor, limit.members, limit.cooldown), (30, 2, 3, 10_000_000));
}

#[test]
fn each_problem_of_budgets_is_named_with_its_remedy() {
    for (from, to, want) in [
        ("units=\"30\"", "units=\"5\"", "floors of 3 members at 2 each exceed the limit of 5 units; use a smaller floor"),
        ("beat=\"1s\"", "beat=\"2s\"", "leaves no room for three in a lease"),
        ("<voter number=\"1\"/>", "<voter number=\"7\"/>", "<voter>: number 7 is none of the fleet's"),
        ("<voter number=\"1\"/>", "<voter number=\"0\"/>", "<voter>: number \"0\" occurs twice"),
        ("window=\"10s\"/>", "window=\"9s\"/>", "give it load-window of <rules>"),
        ("of=\"orders\"", "of=\"orders\" tenant=\"brolga-shire\"", "of orders names a tenant"),
        ("tenant=\"brolga-shire\" units", "tenant=\"nobody\" units", "nobody is no tenant with a quota"),
        ("tenant=\"brolga-shire\" units", "units", "of tenant names no tenant"),
        ("of=\"tenant\" tenant=\"brolga-shire\"", "of=\"orders\"", "brolga divides the same resource as another budget"),
        ("name=\"brolga\" of", "name=\"fetches\" of", "<budget>: name \"fetches\" occurs twice"),
        ("<voter number=\"0\"/><voter number=\"1\"/>", "", "<budgets>"),
        ("<peers listen=\"127.0.0.1:7001\" key-file=\"peers.key\"><peer number=\"1\" address=\"127.0.0.1:7002\"/></peers>", "", "there are budgets and no <peers>"),
    ] {
        let text = example_with_budgets();
        assert!(text.contains(from), "{from}");
        let got = read("s.xml", &text.replacen(from, to, 1)).expect_err(to);
        assert!(got.iter().any(|p| p.to_string().contains(want)), "wanted {want}\ngot {got:#?}");
    }
}

#[test]
fn leaving_zones_is_read_and_its_problems_are_named() {
    let leaving = "<leaving beat=\"50ms\" quiet=\"1s\" least-left=\"0.4\"><voter number=\"0\"/><voter number=\"2\"/></leaving><budgets";
    let text = example_with_budgets().replacen("<budgets", leaving, 1);
    let settings = read("s.xml", &text).unwrap().leaving.unwrap().settings;
    assert_eq!(
        (settings.voters.clone(), settings.heartbeat_interval, settings.retry_delay),
        (vec![0, 2], 50_000, 1_000_000)
    );
    assert_eq!(
        (settings.min_remaining_on_loss, settings.max_retry_delay, settings.probers),
        (0.4, 120_000_000, 3)
    );
    for (from, to, want) in [
        (
            "<voter number=\"2\"/></leaving>",
            "<voter number=\"9\"/></leaving>",
            "number 9 is none of the fleet's",
        ),
        (
            "<allow ",
            "<allow probes=\"false\" ",
            "zones are to be left, and there is no <peers> or probes are not allowed",
        ),
        (
            "least-left=\"0.4\"",
            "least-left=\"1.4\"",
            "<leaving>: least-left is \"1.4\"; give a number from 0 to 1",
        ),
    ] {
        assert!(text.contains(from), "{from}");
        let got = read("s.xml", &text.replacen(from, to, 1)).expect_err(to);
        assert!(got.iter().any(|p| p.to_string().contains(want)), "wanted {want}\ngot {got:#?}");
    }
    let with_directive = text.replacen(
        "<zone name=\"hall-a\"",
        "<zone name=\"hall-a\" word=\"leave\" why=\"fire &amp; smoke\"",
        1,
    );
    let words = read("s.xml", &with_directive).unwrap().leaving.unwrap().directives;
    assert_eq!(words[0], Some((badgerwind_zones::Directive::Leave, "fire & smoke".into())));
    for (from, to, want) in [
        (" why=\"fire &amp; smoke\"", "", "word is set without why"),
        ("word=\"leave\"", "word=\"burn\"", "word is \"burn\"; give one of leave, hold, return"),
        ("why=\"fire &amp; smoke\"", "why=\"\"", "give 1 to 200 bytes of words on one line"),
        (leaving.strip_suffix("<budgets").unwrap(), "", "word is set and there is no <leaving>"),
    ] {
        assert!(with_directive.contains(from), "{from}");
        let got = read("s.xml", &with_directive.replacen(from, to, 1)).expect_err(to);
        assert!(got.iter().any(|p| p.to_string().contains(want)), "wanted {want}\ngot {got:#?}");
    }
    // A directive that is set and removed again by edits leaves the file as it was, except for the white
    // space of the tag.
    let edited = edit::set_zone_directive(&text, "hall-a", Some(("leave", "fire & smoke"))).unwrap();
    assert_eq!(read("s.xml", &edited).unwrap().leaving.unwrap().directives, words);
    let back = edit::set_zone_directive(&edited, "hall-a", None).unwrap();
    assert_eq!(back, edit::set_zone_directive(&text, "hall-a", None).unwrap());
    assert_eq!(
        edit::set_zone_directive(&text, "nowhere", None).unwrap_err().to_string(),
        "the settings name no zone \"nowhere\""
    );
    let tree = |t: &str| document::parse("s.xml", t).unwrap();
    assert!(edit::equal_except_reloadable(&tree(&text), &tree(&edited)));
    let (from, to) = (text.find("<zone ").unwrap(), text.rfind("<zone ").unwrap());
    if from != to {
        let end = to + text[to..].find("/>").unwrap() + 2;
        let one = format!("{}{}", &text[..to], &text[end..]);
        let got = read("s.xml", &one).expect_err("one zone");
        assert!(got.iter().any(|p| p.to_string().contains("from 2 to 24 zones can be left")), "{got:#?}");
    }
}

#[test]
fn all_problems_are_returned_together() {
    let text =
        EXAMPLE.replace("drain-grace=\"500ms\"", "").replace("keep-alive=\"8.4s\"", "keep-alive=\"x\"");
    assert_eq!(read("s.xml", &text).unwrap_err().len(), 2);
}

#[test]
fn the_published_schema_is_up_to_date() {
    let published = include_str!("../schema/badgerwind.xsd");
    assert!(published == schema::xsd(), "regenerate it with the example print_schema");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_read_without_a_panic(text in ".{0,300}") {
        let _ = read("s.xml", &text);
    }

    /// A document with any piece removed is read or rejected, and every problem has a line of the document.
    #[test]
    fn problems_of_any_document_with_a_piece_removed_have_a_line(at in 0usize..EXAMPLE.len(), n in 1usize..80) {
        let rest = &EXAMPLE.as_bytes()[(at + n).min(EXAMPLE.len())..];
        let text = [&EXAMPLE.as_bytes()[..at], rest].concat();
        if let Err(problems) = read("s.xml", &String::from_utf8_lossy(&text)) {
            let lines = 1 + EXAMPLE.lines().count();
            prop_assert!(!problems.is_empty());
            prop_assert!(problems.iter().all(|p| (1..=lines).contains(&p.line)), "{:?}", problems);
        }
    }
}
