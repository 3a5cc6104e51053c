//! A sender's key exchanged under a running front end, by the commands that operators use.

mod rig;

use badgerwind_cli::send::{post, Message};
use badgerwind_gateway::secrets::read_key;
use rig::*;
use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

fn run(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_badgerwind")).current_dir(folder).args(args).output().unwrap()
}

fn told(out: &Output) -> String {
    String::from_utf8([out.stdout.clone(), out.stderr.clone()].concat()).unwrap()
}

async fn keys(rig: &Rig, args: &[&str]) -> (Option<i32>, String) {
    let folder = rig.folder.path().to_owned();
    let args: Vec<String> = args.iter().map(|a| a.to_string()).collect();
    let out = smol::unblock(move || run(&folder, &args.iter().map(String::as_str).collect::<Vec<_>>())).await;
    (out.status.code(), told(&out))
}

fn hang_up(rig: &Rig) {
    let id = rig.process_id().unwrap().to_string();
    assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
}

async fn status(rig: &Rig, key: &badgerwind_webhook::Key, id: &str) -> u16 {
    let body = br#"{"work_us": 1000, "mean_us": 1000}"#.to_vec();
    let deadline = Duration::from_secs(10);
    let message = Message { id, path: LODGE, deadline, retry: false, callback: None, body };
    post(rig.to, key, message).await.unwrap().0.status
}

#[test]
fn a_key_is_rotated_and_the_old_one_retired_while_lodgements_come_in() {
    smol::block_on(async {
        let rig = Rig::start(Plan { process: true, ..Plan::default() }).await;
        let settings = ["--settings", "rig.xml", "--sender", "portal"];
        let (code, text) =
            keys(&rig, &[&["keys", "rotate", "--name", "third"], &settings[..]].concat()).await;
        assert_eq!(code, Some(0), "{text}");
        let third = read_key(&rig.folder.path().join("portal-third.key")).unwrap();
        let written = third.to_text();
        assert!(!text.contains(written.trim()), "the key itself is never printed");
        assert_eq!(status(&rig, &third, "m0").await, 401, "not before the front end has heard");
        // One lodgement is under way with the old key while the front end takes the new one over.
        let (slow, ()) = futures_lite::future::zip(rig.send("slow", LODGE, 300), async {
            rig.until("it has arrived", async || rig.arrived() == 1).await;
            hang_up(&rig);
            rig.until("the new key counts", async || status(&rig, &third, "m1").await == 200).await;
        })
        .await;
        assert_eq!(slow.status, 200);
        assert_eq!(rig.send("m2", LODGE, 1).await.status, 200, "the old one still counts");
        let again = rig.send_as(&third, "slow", LODGE, 300).await;
        assert_eq!((again.status, again.replayed), (200, true), "answers are remembered whoever signs");
        for name in ["first", "second"] {
            let (code, text) =
                keys(&rig, &[&["keys", "retire", "--name", name], &settings[..]].concat()).await;
            assert_eq!(code, Some(0), "{text}");
        }
        hang_up(&rig);
        rig.until("the old key is out", async || rig.send("m3", LODGE, 1).await.status == 401).await;
        assert_eq!(status(&rig, &third, "m4").await, 200);
        // The last one stays: nobody is cut off by a slip.
        let (code, text) =
            keys(&rig, &[&["keys", "retire", "--name", "third"], &settings[..]].concat()).await;
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
fn a_file_with_other_senders_or_broken_changes_nothing_on_hangup() {
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
            // A word that it was heard is in the log only; what counts is that calls go on as before.
            for n in 0..5 {
                assert_eq!(rig.send(&format!("{}-{n}", bad.len()), LODGE, 1).await.status, 200);
            }
        }
    });
}

#[test]
fn ed25519_halves_go_where_they_belong_and_slips_leave_nothing_behind() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path();
    std::fs::create_dir(dir.join("secrets")).unwrap();
    let text = include_str!("../../badgerwind-settings/tests/example.xml");
    std::fs::write(dir.join("s.xml"), text).unwrap();
    for key in ["brolga-2026-a", "brolga-2026-b", "runners"] {
        assert!(run(dir, &["keys", "new", "--out", &format!("secrets/{key}.key")]).status.success());
    }
    let rotate = |more: &[&str]| {
        let all = [&["keys", "rotate", "--settings", "s.xml", "--sender", "brolga-portal"], more].concat();
        let out = run(dir, &all);
        (out.status.code(), told(&out))
    };
    let files = || std::fs::read_dir(dir.join("secrets")).unwrap().count();
    for (more, word) in [
        (&["--kind", "ed25519"][..], "--private-out"),
        (&["--private-out", "x.key"], "one half"),
        (&["--overlap", "soon"], "--overlap"),
        (&["--name", "2026-a"], "already"),
        (&["--name", "no such name"], "give 1 to 64 letters"),
    ] {
        let (code, text) = rotate(more);
        assert!(code == Some(2) && text.contains(word), "{more:?}: {code:?} {text}");
        assert_eq!(
            (files(), std::fs::read_to_string(dir.join("s.xml")).unwrap().as_str()),
            (3, text_of()),
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

fn text_of() -> &'static str {
    include_str!("../../badgerwind-settings/tests/example.xml")
}
