//! Rotation of a sender's key while a front end serves, with the commands that operators use.

mod rig;

use badgerwind_cli::send::{post, Message};
use badgerwind_gateway::secrets::read_key;
use rig::*;
use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../badgerwind-settings/tests/example.xml");

fn run(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_badgerwind")).current_dir(folder).args(args).output().unwrap()
}

/// Standard output, then standard error.
fn output_text(out: &Output) -> String {
    String::from_utf8([out.stdout.clone(), out.stderr.clone()].concat()).unwrap()
}

/// Runs the program in the folder of a rig: exit code and output.
async fn run_in(rig: &Rig, args: &[&str]) -> (Option<i32>, String) {
    let folder = rig.folder.path().to_owned();
    let args: Vec<String> = args.iter().map(|a| a.to_string()).collect();
    let out = smol::unblock(move || run(&folder, &args.iter().map(String::as_str).collect::<Vec<_>>())).await;
    (out.status.code(), output_text(&out))
}

/// Sends SIGHUP to the front end.
fn hang_up(rig: &Rig) {
    let id = rig.process_id().unwrap().to_string();
    assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
}

/// The status that a message signed with this key gets.
async fn status(rig: &Rig, key: &badgerwind_webhook::Key, id: &str) -> u16 {
    let body = br#"{"work_us": 1000, "mean_us": 1000}"#.to_vec();
    let deadline = Duration::from_secs(10);
    let message = Message { id, path: LODGE, deadline, retry: false, callback: None, body };
    post(rig.webhook, key, message).await.unwrap().0.status
}

#[test]
fn a_key_is_rotated_and_the_old_ones_retired_while_lodgements_arrive() {
    smol::block_on(async {
        let rig = Rig::start(Plan { process: true, ..Plan::default() }).await;
        let settings = ["--settings", "rig.xml", "--sender", "portal"];
        let (code, text) =
            run_in(&rig, &[&["keys", "rotate", "--name", "third"], &settings[..]].concat()).await;
        assert_eq!(code, Some(0), "{text}");
        let third = read_key(&rig.folder.path().join("portal-third.key")).unwrap();
        let written = third.to_text();
        assert!(!text.contains(written.trim()), "the key itself is never printed");
        assert_eq!(status(&rig, &third, "m0").await, 401, "the front end has not reloaded its settings yet");
        // A lodgement signed with the old key is running while the front end loads the new one.
        let (slow, ()) = futures_lite::future::zip(rig.send("slow", LODGE, 300), async {
            rig.until("the lodgement has arrived", async || rig.arrived() == 1).await;
            hang_up(&rig);
            rig.until("the new key is accepted", async || status(&rig, &third, "m1").await == 200).await;
        })
        .await;
        assert_eq!(slow.status, 200);
        assert_eq!(rig.send("m2", LODGE, 1).await.status, 200, "the old key is still accepted");
        let again = rig.send_as(&third, "slow", LODGE, 300).await;
        assert_eq!(
            (again.status, again.replayed),
            (200, true),
            "a repetition signed with the other key gets the stored answer"
        );
        for name in ["first", "second"] {
            let (code, text) =
                run_in(&rig, &[&["keys", "retire", "--name", name], &settings[..]].concat()).await;
            assert_eq!(code, Some(0), "{text}");
        }
        hang_up(&rig);
        rig.until("the old key is refused", async || rig.send("m3", LODGE, 1).await.status == 401).await;
        assert_eq!(status(&rig, &third, "m4").await, 200);
        // The last valid key cannot be retired by mistake: that would lock the sender out.
        let (code, text) =
            run_in(&rig, &[&["keys", "retire", "--name", "third"], &settings[..]].concat()).await;
        assert!(code == Some(2) && text.contains("no key that counts now"), "{code:?} {text}");
        let mut runs = std::collections::BTreeMap::new();
        for line in rig.lines() {
            if let badgerwind_check::Event::Arrived { call, .. } = line.event {
                *runs.entry(call).or_insert(0) += 1;
            }
        }
        assert!(runs.values().all(|n| *n == 1) && runs.len() >= 4, "{runs:?}");
    });
}

#[test]
fn sighup_with_a_broken_file_or_other_senders_changes_nothing() {
    smol::block_on(async {
        let rig = Rig::start(Plan { process: true, ..Plan::default() }).await;
        let file = rig.folder.path().join("rig.xml");
        let good = std::fs::read_to_string(&file).unwrap();
        let other = good
            .replace("sender name=\"portal\"", "sender name=\"other\"")
            .replace("sender=\"portal\"", "sender=\"other\"");
        for bad in [&good[..200], &other] {
            std::fs::write(&file, bad).unwrap();
            hang_up(&rig);
            // That the signal was handled shows in the log only; the test checks that calls are served as
            // before.
            for n in 0..5 {
                assert_eq!(rig.send(&format!("{}-{n}", bad.len()), LODGE, 1).await.status, 200);
            }
        }
    });
}

#[test]
fn rotating_to_ed25519_writes_both_halves_and_wrong_options_write_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path();
    std::fs::create_dir(dir.join("secrets")).unwrap();
    std::fs::write(dir.join("s.xml"), EXAMPLE).unwrap();
    for key in ["brolga-2026-a", "brolga-2026-b", "runners"] {
        assert!(run(dir, &["keys", "new", "--out", &format!("secrets/{key}.key")]).status.success());
    }
    let rotate = |more: &[&str]| {
        let all = [&["keys", "rotate", "--settings", "s.xml", "--sender", "brolga-portal"], more].concat();
        let out = run(dir, &all);
        (out.status.code(), output_text(&out))
    };
    let files = || std::fs::read_dir(dir.join("secrets")).unwrap().count();
    for (more, expected) in [
        (&["--kind", "ed25519"][..], "--private-out"),
        (&["--private-out", "x.key"], "one half"),
        (&["--overlap", "soon"], "--overlap"),
        (&["--name", "2026-a"], "already"),
        (&["--name", "no such name"], "give 1 to 64 letters"),
    ] {
        let (code, text) = rotate(more);
        assert!(code == Some(2) && text.contains(expected), "{more:?}: {code:?} {text}");
        assert_eq!(
            (files(), std::fs::read_to_string(dir.join("s.xml")).unwrap().as_str()),
            (3, EXAMPLE),
            "{more:?}"
        );
    }
    let (code, text) = rotate(&["--kind", "ed25519", "--private-out", "portal.private", "--name", "2027"]);
    assert_eq!(code, Some(0), "{text}");
    let public = read_key(&dir.join("secrets/brolga-portal-2027.key")).unwrap();
    let private = read_key(&dir.join("portal.private")).unwrap();
    assert_eq!(public.kind(), badgerwind_webhook::KeyKind::Public);
    assert_eq!(private.public().unwrap().to_text(), public.to_text());
}
