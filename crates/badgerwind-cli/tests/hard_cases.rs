//! Edge cases of lodgements on loopback sockets: almost valid signatures, replays at any front end, runners
//! that die at each stage of a call, and callback receivers that fail.

mod rig;

use badgerwind_http::{Conn, Exchange, Limits, Pool, PoolLimits, Response};
use badgerwind_protocol::list::Availability;
use badgerwind_webhook::{sign, Key, KeyKind, ID, SIGNATURE, TIMESTAMP};
use futures_lite::future::poll_once;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rig::*;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() as i64
}

/// Posts a message with exactly these headers.
async fn post_raw(to: SocketAddr, headers: Vec<(&'static str, String)>, body: &[u8]) -> (u16, String) {
    let time = Duration::from_secs(10);
    let pool = Pool::new(
        to,
        PoolLimits { max_connections: 1, connect_timeout: time, idle_timeout: time, max_body_bytes: 1 << 20 },
    );
    let request = Exchange { method: "POST", target: LODGE.into(), headers, body: body.into() };
    let (head, body) = pool.exchange(&request).await.unwrap();
    (head.status, String::from_utf8(body).unwrap())
}

const BODY: &[u8] = br#"{"work_us": 1000, "mean_us": 1000}"#;

#[test]
fn almost_valid_signatures_start_no_call() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        let at = now();
        let good = sign(std::slice::from_ref(&rig.sender_key), "m1", at, BODY);
        let both = sign(&[rig.sender_key.clone(), Key::generate(KeyKind::Shared).unwrap()], "m1", at, BODY);
        let text = good.signature.strip_prefix("v1,").unwrap().to_owned();
        let headers = |id: &str, at: i64, signature: &str| {
            vec![(ID, id.to_owned()), (TIMESTAMP, at.to_string()), (SIGNATURE, signature.to_owned())]
        };
        let spaced = br#"{"work_us":1000,"mean_us":1000}"#;
        let reordered = br#"{"mean_us": 1000, "work_us": 1000}"#;
        let upper = text.to_uppercase();
        let urlsafe = text.replace('+', "-").replace('/', "_");
        type Case<'a> = (&'a str, Vec<(&'static str, String)>, &'a [u8]);
        let cases: Vec<Case<'_>> = vec![
            ("truncated", headers("m1", at, &format!("v1,{}", &text[..text.len() - 4])), BODY),
            ("empty", headers("m1", at, "v1,"), BODY),
            ("no version", headers("m1", at, &text), BODY),
            ("another version", headers("m1", at, &format!("v2,{text}")), BODY),
            ("as ed25519", headers("m1", at, &format!("v1a,{text}")), BODY),
            ("of another id", headers("m2", at, &good.signature), BODY),
            ("of another time", headers("m1", at + 1, &good.signature), BODY),
            ("separator moved into the id", headers(&format!("m1.{at}"), at, &good.signature), BODY),
            ("body written another way", headers("m1", at, &good.signature), spaced),
            ("body in another order", headers("m1", at, &good.signature), reordered),
            ("body truncated", headers("m1", at, &good.signature), &BODY[..BODY.len() - 1]),
            ("in capitals", headers("m1", at, &format!("v1,{upper}")), BODY),
            ("in quotes", headers("m1", at, &format!("\"{}\"", good.signature)), BODY),
            (
                "time in another form",
                {
                    let mut h = headers("m1", at, &good.signature);
                    h[1].1 = format!("+{at}");
                    h
                },
                BODY,
            ),
            (
                "time with a fraction",
                {
                    let mut h = headers("m1", at, &good.signature);
                    h[1].1 = format!("{at}.0");
                    h
                },
                BODY,
            ),
            (
                "more signatures than are checked",
                headers("m1", at, &vec![format!("v1,{}=", "A".repeat(43)); 9].join(" ")),
                BODY,
            ),
        ];
        for (case, headers, body) in cases {
            let (status, text) = post_raw(rig.webhook, headers, body).await;
            assert!(status == 401 || status == 400, "{case}: {status} {text}");
        }
        if urlsafe != text {
            let (status, _) = post_raw(rig.webhook, headers("m1", at, &format!("v1,{urlsafe}")), BODY).await;
            assert!(status == 401 || status == 400, "in the URL-safe alphabet");
        }
        assert_eq!(rig.arrived(), 0);
        // One valid signature among several is enough, in any position; unknown versions are ignored.
        let mut parts: Vec<&str> = both.signature.split(' ').collect();
        parts.reverse();
        let many = format!("v9,xyz {}", parts.join("  "));
        assert_eq!(post_raw(rig.webhook, headers("m1", at, &many), BODY).await.0, 200);
        assert_eq!(rig.arrived(), 1);
    });
}

#[test]
fn with_fencing_a_replay_runs_nothing_at_any_front_end_nor_after_a_restart() {
    smol::block_on(async {
        let first = Rig::start(Plan { fenced: true, ..Plan::default() }).await;
        let second = first.start_another(vec![]).await;
        let at = now();
        let message = |key: &Key| {
            let s = sign(std::slice::from_ref(key), "m1", at, BODY);
            vec![(ID, s.id), (TIMESTAMP, s.timestamp.to_string()), (SIGNATURE, s.signature)]
        };
        let headers = message(&first.sender_key);
        // The same bytes again: at the same front end, at another, and at one that has just started without
        // any memory.
        for (case, to) in [("first", first.webhook), ("same", first.webhook), ("other", second.webhook)] {
            let (status, text) = post_raw(to, headers.clone(), BODY).await;
            assert_eq!(status, 200, "{case}: {text}");
        }
        drop(second);
        let fresh = first.start_another(vec![]).await;
        assert_eq!(post_raw(fresh.webhook, headers.clone(), BODY).await.0, 200);
        assert_eq!(first.finished(), 1, "one run, however often the message arrived");
    });
}

#[test]
fn at_the_edge_of_the_tolerance_a_replay_is_remembered_or_stale_but_never_new() {
    smol::block_on(async {
        // The shortest retention allowed, which is twice the tolerance.
        let edits = vec![
            ("listen=\"127.0.0.1:0\">", "listen=\"127.0.0.1:0\" remember=\"4s\">".to_owned()),
            ("tenant=\"brolga\">", "tenant=\"brolga\" tolerance=\"2s\">".to_owned()),
        ];
        let rig = Rig::start(Plan { edits, ..Plan::default() }).await;
        // A timestamp as far ahead as allowed stays acceptable for twice the tolerance.
        let s = sign(std::slice::from_ref(&rig.sender_key), "m1", now() + 2, BODY);
        let headers = vec![(ID, s.id), (TIMESTAMP, s.timestamp.to_string()), (SIGNATURE, s.signature)];
        let (first, _) = post_raw(rig.webhook, headers.clone(), BODY).await;
        assert_eq!(first, 200);
        // From here until some time after it has become stale, each replay is either remembered or stale.
        let (mut remembered, mut stale) = (0, 0);
        let until = s.timestamp + 2 + 3;
        while now() < until {
            let (status, text) = post_raw(rig.webhook, headers.clone(), BODY).await;
            match status {
                200 => remembered += 1,
                401 if text.contains("stale-timestamp") => stale += 1,
                429 => {} // the source's budget for failed signatures is exhausted
                _ => panic!("{status} {text}"),
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert!(remembered > 10 && stale > 10, "both sides of the edge were met: {remembered} {stale}");
        assert_eq!(rig.arrived(), 1);
    });
}

#[test]
fn a_replay_with_a_slow_body_is_checked_when_the_body_is_complete() {
    smol::block_on(async {
        let edits = vec![
            ("listen=\"127.0.0.1:0\">", "listen=\"127.0.0.1:0\" remember=\"4s\">".to_owned()),
            ("tenant=\"brolga\">", "tenant=\"brolga\" tolerance=\"2s\">".to_owned()),
            // A long deadline, so that only the message's timestamp can cause its rejection.
            (
                "name=\"lodge\" aim=\"500ms\" deadline=\"2s\"",
                "name=\"lodge\" aim=\"500ms\" deadline=\"30s\"".to_owned(),
            ),
        ];
        let rig = Rig::start(Plan { edits, ..Plan::default() }).await;
        let s = sign(std::slice::from_ref(&rig.sender_key), "m1", now() + 2, BODY);
        let headers =
            vec![(ID, s.id.clone()), (TIMESTAMP, s.timestamp.to_string()), (SIGNATURE, s.signature.clone())];
        assert_eq!(post_raw(rig.webhook, headers, BODY).await.0, 200);
        // The headers arrive while the id may still be remembered, the last byte once it has been forgotten.
        while now() < s.timestamp + 2 {
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        let mut stream = smol::net::TcpStream::connect(rig.webhook).await.unwrap();
        let head = format!(
            "POST {LODGE} HTTP/1.1\r\nhost: a\r\n{ID}: m1\r\n{TIMESTAMP}: {}\r\n{SIGNATURE}: {}\r\ncontent-length: {}\r\n\r\n",
            s.timestamp, s.signature, BODY.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&BODY[..BODY.len() - 1]).await.unwrap();
        smol::Timer::after(Duration::from_secs(4)).await;
        stream.write_all(&BODY[BODY.len() - 1..]).await.unwrap();
        let mut status_line = [0u8; 12];
        stream.read_exact(&mut status_line).await.unwrap();
        assert_eq!(std::str::from_utf8(&status_line).unwrap(), "HTTP/1.1 401");
        assert_eq!(rig.arrived(), 1);
    });
}

/// When a scripted runner closes the connection of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClosesAt {
    /// Before it has read the whole request: nothing ran.
    BeforeStart,
    /// In the middle of its work.
    MidRun,
    /// The effect has happened, and no answer was sent.
    AfterEffect,
}

/// A scripted runner that closes the connection at one stage of each call and accepts the next; counts
/// effects and calls.
async fn serve_and_close(
    listener: TcpListener,
    closes_at: ClosesAt,
    effects: Arc<AtomicUsize>,
    calls: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut conn = Conn::new(stream, Arc::new(Limits::default()));
        while let Ok(Some(head)) = conn.head().await {
            if !head.target.starts_with("/calls/") {
                let _ = conn.body(&head).await;
                let _ =
                    conn.respond(&Response::new(200, "application/json", &b"{\"copies\":1}"[..]), true).await;
                continue;
            }
            calls.fetch_add(1, Ordering::Relaxed);
            if closes_at == ClosesAt::BeforeStart {
                break;
            }
            conn.body(&head).await.unwrap();
            if closes_at == ClosesAt::AfterEffect {
                effects.fetch_add(1, Ordering::Relaxed);
            }
            break;
        }
    }
}

#[test]
fn a_lodgement_whose_runner_dies_at_any_stage_is_in_doubt_and_never_retried() {
    for closes_at in [ClosesAt::BeforeStart, ClosesAt::MidRun, ClosesAt::AfterEffect] {
        smol::block_on(async {
            let (listener, address) = bind_loopback().await;
            let (effects, calls) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
            let serving = smol::spawn(serve_and_close(listener, closes_at, effects.clone(), calls.clone()));
            // A healthy runner is listed too, to which the call could be retried; lodgements are sent until
            // one reaches the scripted runner.
            let rig =
                Rig::start(Plan { runners: 1, scripted_runners: vec![address], ..Plan::default() }).await;
            let (mut scripted_calls, mut n) = (0, 0);
            while scripted_calls == 0 {
                let id = format!("m{n}");
                let got = rig.send(&id, LODGE, 1).await;
                scripted_calls = calls.load(Ordering::Relaxed);
                if scripted_calls > 0 {
                    assert_eq!(got.status, 502, "{closes_at:?} {got:?}");
                    assert_eq!(got.problem().1, "unknown", "whether it ran is unknown: {closes_at:?}");
                    let again = rig.send(&id, LODGE, 1).await;
                    assert_eq!((again.status, again.replayed), (502, true), "{closes_at:?}");
                }
                n += 1;
                assert!(n < 500, "no call reached the scripted runner");
            }
            let arrived = rig.arrived();
            assert_eq!(
                arrived + calls.load(Ordering::Relaxed),
                n,
                "one attempt for each lodgement: {closes_at:?}"
            );
            assert!(effects.load(Ordering::Relaxed) <= 1);
            drop(serving);
        });
    }
}

#[test]
fn a_runner_that_answers_after_its_front_end_gave_up_changes_nothing() {
    smol::block_on(async {
        let rig = Rig::start(Plan { runners: 1, ..Plan::default() }).await;
        // Its work takes longer than the class's deadline.
        let got = rig.send("m1", LODGE, 4_000).await;
        assert_eq!((got.status, got.problem().1.as_str()), (504, "unknown"), "{got:?}");
        let again = rig.send("m1", LODGE, 4_000).await;
        assert_eq!((again.status, again.replayed), (504, true), "the recorded answer is returned");
        assert_eq!(rig.arrived(), 1);
        // The runner stays available to other calls.
        rig.until("it serves again", async || rig.send("m2", CHECK, 1).await.status == 200).await;
    });
}

/// A front end that may have one callback pending, to this address.
async fn start_with_one_callback(receiver: SocketAddr) -> Rig {
    let callback = format!(
        "<callback name=\"receipts\" address=\"{receiver}\" path=\"/r\" key-file=\"second.key\"/></sender>"
    );
    let callback_limit = "listen=\"127.0.0.1:0\" callbacks=\"1\">\n    <sender".to_owned();
    let edits = vec![("</sender>", callback), ("listen=\"127.0.0.1:0\">\n    <sender", callback_limit)];
    Rig::start(Plan { edits, ..Plan::default() }).await
}

/// Sends a lodgement that asks for a callback; returns the status.
async fn send_with_callback(rig: &Rig, id: &str) -> u16 {
    let s = sign(std::slice::from_ref(&rig.sender_key), id, now(), BODY);
    let mut headers = vec![(ID, s.id), (TIMESTAMP, s.timestamp.to_string()), (SIGNATURE, s.signature)];
    headers.push(("badgerwind-callback", "receipts".into()));
    post_raw(rig.webhook, headers, BODY).await.0
}

/// Answers one callback with this status; returns the callback's id.
async fn answer_callback(receiver: &TcpListener, status: u16) -> String {
    let (stream, _) = receiver.accept().await.unwrap();
    let mut conn = Conn::new(stream, Arc::new(Limits::default()));
    let head = conn.head().await.unwrap().unwrap();
    conn.body(&head).await.unwrap();
    conn.respond(&Response::new(status, "", Vec::new()), false).await.unwrap();
    head.headers.get(ID).unwrap().to_owned()
}

#[test]
fn a_receiver_that_answers_410_gets_no_second_attempt() {
    smol::block_on(async {
        let (receiver, at) = bind_loopback().await;
        let rig = start_with_one_callback(at).await;
        let (status, id) =
            futures_lite::future::zip(send_with_callback(&rig, "m1"), answer_callback(&receiver, 410)).await;
        assert_eq!((status, id.as_str()), (200, "m1_answer"));
        // The callback was given up, so its slot is free for another.
        rig.until("the callback slot is free", async || send_with_callback(&rig, "m2").await == 200).await;
        assert_eq!(answer_callback(&receiver, 204).await, "m2_answer", "m1's callback was not posted again");
    });
}

#[test]
fn a_slow_or_unreachable_receiver_delays_no_sender_and_pending_callbacks_stay_limited() {
    smol::block_on(async {
        let (slow, at) = bind_loopback().await;
        let rig = start_with_one_callback(at).await;
        assert_eq!(send_with_callback(&rig, "m1").await, 200, "its receiver has accepted no connection yet");
        let (silent, _) = slow.accept().await.unwrap();
        assert_eq!(send_with_callback(&rig, "m2").await, 503, "no further callback may be pending");
        assert_eq!(rig.send("m2", LODGE, 1).await.status, 200);
        drop(silent);
        let down = bind_loopback().await.1;
        let rig = start_with_one_callback(down).await;
        assert_eq!(send_with_callback(&rig, "m1").await, 200);
        rig.until("the callback is pending", async || send_with_callback(&rig, "m2").await == 503).await;
        assert_eq!(
            send_with_callback(&rig, "m1").await,
            200,
            "the recorded answer is returned whatever is pending"
        );
    });
}

#[test]
fn a_receiver_that_recovers_gets_its_answer_at_the_scheduled_retry_and_once() {
    smol::block_on(async {
        let (receiver, at) = bind_loopback().await;
        let rig = start_with_one_callback(at).await;
        let (status, _) =
            futures_lite::future::zip(send_with_callback(&rig, "m1"), answer_callback(&receiver, 500)).await;
        assert_eq!(status, 200);
        // The first retry of the specification's schedule comes after five seconds.
        assert_eq!(answer_callback(&receiver, 200).await, "m1_answer");
        rig.until("the callback slot is free", async || send_with_callback(&rig, "m2").await == 200).await;
        assert_eq!(answer_callback(&receiver, 200).await, "m2_answer");
        assert!(poll_once(receiver.accept()).await.is_none());
    });
}

#[test]
fn a_lodgement_while_all_runners_drain_is_refused_and_may_be_retried() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        for r in rig.runners.clone() {
            rig.update_list(&list_entry(r.id, r.address, Availability::Draining)).await;
        }
        rig.until("the front end knows that all runners drain", async || rig.get("/health").await.0 == 503)
            .await;
        let before = rig.arrived();
        let got = rig.send("m1", LODGE, 1).await;
        assert_eq!((got.status, got.problem().1.as_str()), (503, "harmless"), "{got:?}");
        assert_eq!(rig.arrived(), before);
        for r in rig.runners.clone() {
            rig.update_list(&list_entry(r.id, r.address, Availability::Ready)).await;
        }
        rig.until("it is served", async || rig.send("m1", LODGE, 1).await.status == 200).await;
        assert_eq!(rig.finished(), 1);
    });
}
