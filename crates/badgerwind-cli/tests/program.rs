//! The command line program as its users run it.

#[allow(dead_code)] // no test program uses all of it
#[path = "rig/process.rs"]
mod process;

use process::Process;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn badgerwind(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_badgerwind")).current_dir(folder).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A folder with valid settings and their keys.
fn valid_settings() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let settings = include_str!("../../badgerwind-settings/tests/example.xml");
    std::fs::write(folder.path().join("s.xml"), settings).unwrap();
    std::fs::create_dir(folder.path().join("secrets")).unwrap();
    for key in ["brolga-2026-a", "brolga-2026-b", "runners"] {
        let made = badgerwind(folder.path(), &["keys", "new", "--out", &format!("secrets/{key}.key")]);
        assert!(made.status.success(), "{}", text(&made.stderr));
    }
    folder
}

#[test]
fn check_accepts_valid_settings() {
    let folder = valid_settings();
    let out = badgerwind(folder.path(), &["check", "--settings", "s.xml"]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    assert!(text(&out.stdout).starts_with("s.xml: good. Front end 0 of 3"));
}

#[test]
fn missing_world_readable_and_broken_secrets_are_reported_with_line_and_remedy() {
    use std::os::unix::fs::PermissionsExt;
    let folder = valid_settings();
    let key = |name: &str| folder.path().join(format!("secrets/{name}.key"));
    let secret = std::fs::read_to_string(key("brolga-2026-a")).unwrap();
    std::fs::set_permissions(key("brolga-2026-a"), PermissionsExt::from_mode(0o644)).unwrap();
    std::fs::remove_file(key("brolga-2026-b")).unwrap();
    std::fs::write(key("runners"), "whsec_tooShort").unwrap();
    for command in ["check", "serve"] {
        let out = badgerwind(folder.path(), &[command, "--settings", "s.xml"]);
        assert_eq!(out.status.code(), Some(2));
        let stderr = text(&out.stderr);
        for expected in [
            "s.xml:18: <secret>: the key file secrets/brolga-2026-a.key is open to others (mode 644); chmod 600",
            "s.xml:19: <secret>: the key file secrets/brolga-2026-b.key cannot be read",
            "s.xml:24: <runners>: the key file secrets/runners.key holds no key; ",
        ] {
            assert!(stderr.contains(expected), "expected {expected}\ngot {stderr}");
        }
        assert!(!stderr.contains(secret.trim()) && !stderr.contains("tooShort"), "a secret in {stderr}");
    }
}

#[test]
fn invalid_settings_exit_with_code_2_and_name_the_line() {
    let folder = valid_settings();
    let settings = std::fs::read_to_string(folder.path().join("s.xml")).unwrap();
    std::fs::write(
        folder.path().join("bad.xml"),
        settings.replace("cold-from=\"0.16\"", "cold-from=\"16%\""),
    )
    .unwrap();
    let out = badgerwind(folder.path(), &["check", "--settings", "bad.xml"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(
        text(&out.stderr).contains("bad.xml:8: <rules>: cold-from is \"16%\"; give a number from 0.001 to 1")
    );
    let out = badgerwind(folder.path(), &["check", "--settings", "nowhere.xml"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("cannot read nowhere.xml"));
}

#[test]
fn the_schema_is_printed() {
    let out = badgerwind(Path::new("."), &["check", "--print-schema"]);
    assert_eq!(text(&out.stdout), include_str!("../../badgerwind-settings/schema/badgerwind.xsd"));
}

#[test]
fn key_files_are_never_overwritten() {
    use std::os::unix::fs::PermissionsExt;
    let folder = valid_settings();
    let file = folder.path().join("secrets/runners.key");
    let before = std::fs::read(&file).unwrap();
    assert_eq!(std::fs::metadata(&file).unwrap().permissions().mode() & 0o777, 0o600);
    let out = badgerwind(folder.path(), &["keys", "new", "--out", "secrets/runners.key"]);
    assert_eq!((out.status.code(), std::fs::read(&file).unwrap()), (Some(1), before));
    let pair = ["keys", "new", "--kind", "ed25519", "--out", "a.key", "--public-out", "b.key"];
    assert!(badgerwind(folder.path(), &pair).status.success());
    assert!(std::fs::read_to_string(folder.path().join("b.key")).unwrap().starts_with("whpk_"));
}

#[test]
fn the_demonstration_succeeds() {
    let out = badgerwind(Path::new("."), &["demo"]);
    assert!(out.status.success(), "{}\n{}", text(&out.stdout), text(&out.stderr));
    assert!(text(&out.stdout).ends_with("every sender has one answer\n"));
}

fn last_line(out: &Output) -> String {
    text(&out.stdout).lines().last().unwrap_or("").to_owned()
}

#[test]
fn a_bad_day_breaks_no_rule() {
    let folder = tempfile::tempdir().unwrap();
    let day =
        ["bad-day", "--seed", "3", "--seconds", "8", "--like", "drain+front_kill+hang", "--report", "r.json"];
    let out = badgerwind(folder.path(), &day);
    assert_eq!(last_line(&out), "rules: kept", "{}{}", text(&out.stdout), text(&out.stderr));
    let report = std::fs::read(folder.path().join("r.json")).unwrap();
    let report: serde_json::Value = serde_json::from_slice(&report).unwrap();
    let calls: u64 =
        report["classes"].as_object().unwrap().values().map(|c| c["calls"].as_u64().unwrap()).sum();
    assert!(calls > 400 && report["attempts"].as_u64().unwrap() > calls / 2, "{report:#}");
}

/// Path of the front end of `examples/blind_to_drains.rs`, which `cargo test` builds along with the tests.
fn blind_to_drains() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().and_then(Path::parent).unwrap().join("examples/blind_to_drains")
}

#[test]
fn a_bad_day_detects_a_front_end_that_ignores_drains() {
    let gateway = blind_to_drains();
    assert!(gateway.exists(), "cargo test builds {} with the tests", gateway.display());
    let folder = tempfile::tempdir().unwrap();
    let gateway = gateway.display().to_string();
    let day = ["bad-day", "--seed", "3", "--seconds", "8", "--like", "drain", "--gateway", &gateway];
    let out = badgerwind(folder.path(), &day);
    assert_eq!(out.status.code(), Some(1), "{}", text(&out.stderr));
    assert!(last_line(&out).starts_with("rules: BROKEN "), "{}", text(&out.stdout));
    let broken = text(&out.stdout);
    assert!(broken.lines().filter(|l| l.starts_with("BROKEN")).all(|l| l.starts_with("BROKEN drains kept")));
}

#[test]
fn versions_are_published_compared_rolled_back_and_watched() {
    let folder = tempfile::tempdir().unwrap();
    let run = |args: &[&str]| {
        let out = badgerwind(folder.path(), &[&["control"], args].concat());
        (out.status.code(), text(&out.stdout), text(&out.stderr))
    };
    let part =
        |n: u32| format!("<badgerwind version=\"1\">\n<webhook connections=\"{n}\"/>\n</badgerwind>\n");
    for n in [10, 20] {
        std::fs::write(folder.path().join("part.xml"), part(n)).unwrap();
        let (code, out, _) = run(&["publish", "v", "limits", "part.xml"]);
        assert_eq!((code, out), (Some(0), format!("limits {}\n", n / 10)));
    }
    std::fs::write(folder.path().join("part.xml"), "<badgerwind version=\"1\"><class/></badgerwind>")
        .unwrap();
    let (code, _, stderr) = run(&["publish", "v", "limits", "part.xml"]);
    assert_eq!(code, Some(2));
    assert!(stderr
        .contains("<class>: does not belong to a part of kind limits; it may hold webhook, runners, stop"));
    let (_, diff, _) = run(&["diff", "v", "limits", "1", "2"]);
    assert!(diff.contains("-<webhook connections=\"10\"/>\n+<webhook connections=\"20\"/>\n"), "{diff}");
    assert_eq!(run(&["rollback", "v", "limits", "1"]).1, "limits 3 has the content of 1\n");
    assert_eq!(run(&["diff", "v", "limits", "1", "3"]).1, "");
    let (code, _, stderr) = run(&["rollback", "v", "limits", "9"]);
    assert_eq!((code, stderr.as_str()), (Some(2), "badgerwind: there is no limits 9\n"));
    assert_eq!(run(&["publish", "v", "weather", "part.xml"]).0, Some(2));

    let ready = folder.path().join("ready");
    let args = ["control", "serve", "v", "--ready-file", "ready"];
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerwind"));
    let mut service = Process::start("control", command.current_dir(folder.path()).args(args));
    let address = loop {
        if let Ok(text) = std::fs::read_to_string(&ready) {
            let value: serde_json::Value = serde_json::from_str(&text).unwrap();
            break value["address"].as_str().unwrap().to_owned();
        }
        service.assert_runs();
        std::thread::sleep(std::time::Duration::from_millis(5));
    };
    let (code, out, stderr) = run(&["status", "--at", &address]);
    let unknown = run(&["pin", "--at", &address, "nobody"]);
    drop(service);
    assert_eq!(code, Some(0), "{stderr}");
    assert!(
        out.contains("limits: newest 3, 3 offered to the first\n") && out.contains("classes: newest none\n"),
        "{out}"
    );
    assert_eq!((unknown.0, unknown.2.contains("no front end of that name")), (Some(2), true));
}

#[test]
fn a_bad_day_breaks_no_rule_with_a_fence_and_detects_reckless_senders_without_one() {
    let folder = tempfile::tempdir().unwrap();
    let like = "balancer_roll+front_kill+mass_restart+hang";
    let day = |more: &str| {
        badgerwind(folder.path(), &["bad-day", "--seed", "5", "--seconds", "10", "--like", like, more])
    };
    let fenced = day("--fenced");
    assert_eq!(last_line(&fenced), "rules: kept", "{}{}", text(&fenced.stdout), text(&fenced.stderr));
    let reckless = day("--reckless");
    assert!(last_line(&reckless).starts_with("rules: BROKEN "), "{}", text(&reckless.stdout));
    let broken = text(&reckless.stdout);
    assert!(broken
        .lines()
        .filter(|l| l.starts_with("BROKEN"))
        .all(|l| l.starts_with("BROKEN no effect twice")));
}

#[test]
fn trace_follows_a_call_across_two_front_ends() {
    let folder = tempfile::tempdir().unwrap();
    let line = |time: &str, rest: &str| format!("{{\"timestamp\":\"2026-12-01T18:00:0{time}Z\",{rest}}}\n");
    let taken = |r: &str| {
        format!("\"message\":\"taken\",\"request\":\"{r}\",\"webhook_id\":\"msg_7\",\"sender\":\"portal\",\"key\":\"a\",\"function\":\"lodge\",\"trace_id\":\"abc\"")
    };
    let first = [
        line("0.1", &taken("r-1")),
        line("0.2", "\"message\":\"attempt\",\"request\":\"r-1\",\"attempt\":0,\"worker\":4,\"known\":\"ok, Warm 0.2 s ago\""),
        line("0.3", "\"message\":\"attempt\",\"request\":\"r-9\",\"attempt\":0,\"worker\":5"),
        "not json\n".to_owned(),
    ];
    let second = [
        line("1.0", &taken("r-2")),
        line("1.1", "\"message\":\"attempt ended\",\"request\":\"r-2\",\"attempt\":0,\"outcome\":\"ok\",\"mark\":\"Warm\""),
        line("1.2", "\"message\":\"answered\",\"request\":\"r-2\",\"answer\":\"served\",\"attempts\":1,\"lag_us\":1500"),
    ];
    std::fs::write(folder.path().join("a.log"), first.concat()).unwrap();
    std::fs::write(folder.path().join("b.log"), second.concat()).unwrap();
    for id in ["msg_7", "abc"] {
        let out = badgerwind(folder.path(), &["trace", id, "--log", "b.log", "--log", "a.log"]);
        let stdout = text(&out.stdout);
        let lines: Vec<&str> = stdout.lines().map(|l| l.split_once("Z  ").unwrap().1.trim_end()).collect();
        assert_eq!(
            lines,
            [
                "a            taken as r-1 from portal (key a), for lodge, trace abc",
                "a            attempt 0 to runner 4, held 100.0 ms before; known of it there: ok, Warm 0.2 s ago",
                "b            taken as r-2 from portal (key a), for lodge, trace abc",
                "b            attempt 0 ended: ok, copy Warm",
                "b            served after 1 attempts, 1.5 ms since it was taken",
            ]
        );
    }
    let out = badgerwind(folder.path(), &["trace", "r-2", "--log", "a.log", "--log", "b.log"]);
    assert_eq!(text(&out.stdout).lines().count(), 3);
    assert_eq!(badgerwind(folder.path(), &["trace", "msg_8", "--log", "a.log"]).status.code(), Some(1));
}

#[test]
fn trace_draws_a_call_with_the_records_of_its_runners() {
    use badgerwind_cli::trace::draw::{Bar, BarKind, Chart};
    use badgerwind_cli::trace::read::events;
    let log = |at: u32, rest: &str| format!("{{\"timestamp\":\"2026-12-01T18:00:00.{at:03}Z\",{rest}}}\n");
    let logs = [
        log(0, "\"message\":\"taken\",\"request\":\"r-1\",\"webhook_id\":\"m\",\"sender\":\"p\",\"key\":\"a\",\"function\":\"f\",\"trace_id\":\"t\""),
        log(10, "\"message\":\"attempt\",\"request\":\"r-1\",\"attempt\":0,\"worker\":4"),
        log(20, "\"message\":\"attempt ended\",\"request\":\"r-1\",\"attempt\":0,\"outcome\":\"full\",\"mark\":\"None\""),
        log(25, "\"message\":\"attempt\",\"request\":\"r-1\",\"attempt\":1,\"worker\":5"),
        log(90, "\"message\":\"attempt ended\",\"request\":\"r-1\",\"attempt\":1,\"outcome\":\"reset\",\"mark\":\"None\""),
        log(91, "\"message\":\"answered\",\"request\":\"r-1\",\"webhook_id\":\"m\",\"answer\":\"failed\",\"attempts\":2,\"lag_us\":91000"),
        log(100, "\"message\":\"callback delivered\",\"webhook_id\":\"m_answer\",\"callback\":\"c\""),
    ];
    let start = 1_796_148_000_000_000u64;
    let record = |at: u64, what: &str| {
        format!(
            "{{\"at\":{},\"what\":\"{what}\",\"runner\":5,\"request\":\"r-1\",\"attempt\":1,\"call\":\"c\",\"front\":0,\"class\":\"k\"}}\n",
            start + at * 1000
        )
    };
    let records = record(30, "arrived")
        + &record(80, "finished")
        + &record(80, "arrived").replace("r-1", "r-2")
        + "{\"at\":1";
    let events = events("m", &[("f0".into(), logs.concat())], &[("r5".into(), records)]);
    assert_eq!(events.len(), 9, "{events:#?}");
    assert_eq!(events[0].at, start);
    let chart = Chart::from_events(&events);
    let rows =
        ["r-1 at f0", "attempt 0 of r-1 to runner 4", "attempt 1 of r-1 to runner 5", "runner 5 on r-1/1"];
    assert_eq!(chart.rows, rows);
    let bar = |row, from: u64, to: u64, kind| Bar { row, from: from * 1000, to: to * 1000, kind };
    assert_eq!(
        chart.bars,
        [
            bar(0, 0, 10, BarKind::Waiting),
            bar(1, 10, 20, BarKind::NeverRan),
            bar(0, 20, 25, BarKind::Waiting),
            bar(2, 25, 90, BarKind::InDoubt),
            bar(3, 30, 80, BarKind::AtRunner),
            bar(0, 90, 91, BarKind::Waiting),
        ]
    );
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("f0.log"), logs.concat()).unwrap();
    let out = badgerwind(folder.path(), &["trace", "m", "--log", "f0.log", "--svg", "m.svg"]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let svg = std::fs::read_to_string(folder.path().join("m.svg")).unwrap();
    assert!(svg.starts_with("<svg") && rows[..3].iter().all(|r| svg.contains(r)), "{svg}");
    assert!(text(&out.stdout).contains("attempt 1 to runner 5, held 5.0 ms before"));
}

#[test]
fn send_delivers_a_folder_of_messages_and_leaves_the_rest_for_the_next_run() {
    use std::io::{Read, Write};
    let folder = valid_settings();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let to = format!("http://{}/lodge", listener.local_addr().unwrap());
    std::fs::create_dir(folder.path().join("out")).unwrap();
    for id in ["a", "b", "c", "d"] {
        std::fs::write(folder.path().join(format!("out/{id}.json")), format!("{{\"id\":\"{id}\"}}")).unwrap();
    }
    // One answer per message, in the order of their names: served, rejected, busy, connection closed without
    // an answer.
    let answers = std::thread::spawn(move || {
        let answers = ["200 OK", "410 Gone", "503 Service Unavailable\r\nretry-after: 30", ""];
        let mut requests = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut bytes = [0u8; 2048];
            let n = stream.read(&mut bytes).unwrap();
            requests.push(String::from_utf8_lossy(&bytes[..n]).into_owned());
            if !answer.is_empty() {
                write!(stream, "HTTP/1.1 {answer}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
                    .unwrap();
            }
        }
        requests
    });
    let args =
        ["send", "--from", "out", "--once", "--lodgements", "--to", &to, "--key-file", "secrets/runners.key"];
    let out = badgerwind(folder.path(), &args);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    let requests = answers.join().unwrap();
    assert!(
        requests[0].contains("webhook-id: a\r\n") && requests[0].contains("webhook-signature: v1,"),
        "{}",
        requests[0]
    );
    let exists = |name: &str| folder.path().join("out").join(name).exists();
    assert!(exists("done/a.json") && exists("dead/b.json") && exists("c.json") && exists("dead/d.json"));
    assert!(
        text(&out.stdout).contains("d: given up: it may have run, and must not run twice"),
        "{}",
        text(&out.stdout)
    );
    // The next run continues where this one ended. Nothing is due yet.
    let again = badgerwind(folder.path(), &args);
    assert_eq!(again.status.code(), Some(0), "{}", text(&again.stderr));
    let stdout = text(&again.stdout);
    assert!(stdout.starts_with("c: due in ") && stdout.lines().count() == 1, "{stdout}");
}

#[test]
fn keys_list_shows_names_and_validity() {
    let folder = valid_settings();
    let settings = std::fs::read_to_string(folder.path().join("s.xml")).unwrap();
    let settings =
        settings.replace("brolga-2026-a.key\"", "brolga-2026-a.key\" not-after=\"2020-01-01T00:00:00Z\"");
    let settings =
        settings.replace("not-before=\"2026-12-01T00:00:00Z\"", "not-before=\"2200-01-01T00:00:00Z\"");
    std::fs::write(folder.path().join("s.xml"), settings).unwrap();
    let out = badgerwind(folder.path(), &["keys", "list", "--settings", "s.xml"]);
    let stdout = text(&out.stdout);
    let lines: Vec<Vec<&str>> = stdout.lines().skip(1).map(|l| l.split_whitespace().collect()).collect();
    assert_eq!(
        lines[0],
        ["brolga-portal", "2026-a", "shared", "no", "more", "secrets/brolga-2026-a.key"],
        "{stdout}"
    );
    assert_eq!(lines[1], ["brolga-portal", "2026-b", "shared", "later", "secrets/brolga-2026-b.key"]);
    let secret = std::fs::read_to_string(folder.path().join("secrets/brolga-2026-a.key")).unwrap();
    assert!(!stdout.contains(secret.trim()));
}

#[test]
fn an_unknown_kind_of_fault_is_rejected_with_the_known_ones() {
    let out = badgerwind(Path::new("."), &["bad-day", "--like", "locusts"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("unknown kind locusts; known are balancer_roll, burst"));
}
