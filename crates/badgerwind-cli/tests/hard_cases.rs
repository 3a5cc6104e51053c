//! Hard cases of a lodgement on loopback sockets: signatures that are nearly right, repeats wherever they come, runners
//! that die at each moment, callbacks whose receiver does not do as it should.

mod rig;

use badgerwind_http::{Conn, Exchange, Limits, Pool, PoolBounds, Response};
use badgerwind_protocol::list::State;
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
async fn raw(to: SocketAddr, headers: Vec<(&'static str, String)>, body: &[u8]) -> (u16, String) {
    let time = Duration::from_secs(10);
    let pool =
        Pool::new(to, PoolBounds { most: 1, connect_time: time, idle_time: time, body_bytes: 1 << 20 });
    let request = Exchange { method: "POST", target: LODGE.into(), headers, body: body.into() };
    let (head, body) = pool.exchange(&request).await.unwrap();
    (head.status, String::from_utf8(body).unwrap())
}

const BODY: &[u8] = br#"{"work_us": 1000, "mean_us": 1000}"#;

#[test]
fn signatures_that_are_nearly_right_start_nothing() {
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
            ("cut", headers("m1", at, &format!("v1,{}", &text[..text.len() - 4])), BODY),
            ("cut to nothing", headers("m1", at, "v1,"), BODY),
            ("no version", headers("m1", at, &text), BODY),
            ("another version", headers("m1", at, &format!("v2,{text}")), BODY),
            ("as ed25519", headers("m1", at, &format!("v1a,{text}")), BODY),
            ("of another id", headers("m2", at, &good.signature), BODY),
            ("of another time", headers("m1", at + 1, &good.signature), BODY),
            ("border moved into the id", headers(&format!("m1.{at}"), at, &good.signature), BODY),
            ("body written another way", headers("m1", at, &good.signature), spaced),
            ("body in another order", headers("m1", at, &good.signature), reordered),
            ("body cut", headers("m1", at, &good.signature), &BODY[..BODY.len() - 1]),
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
                "more signatures than are looked at",
                headers("m1", at, &vec![format!("v1,{}=", "A".repeat(43)); 9].join(" ")),
                BODY,
            ),
        ];
        for (what, headers, body) in cases {
            let (status, text) = raw(rig.webhook, headers, body).await;
            assert!(status == 401 || status == 400, "{what}: {status} {text}");
        }
        if urlsafe != text {
            let (status, _) = raw(rig.webhook, headers("m1", at, &format!("v1,{urlsafe}")), BODY).await;
            assert!(status == 401 || status == 400, "in the alphabet of URLs");
        }
        assert_eq!(rig.arrived(), 0);
        // Several signatures, one of them good, in any place; unknown versions beside it are passed over.
        let mut parts: Vec<&str> = both.signature.split(' ').collect();
        parts.reverse();
        let many = format!("v9,xyz {}", parts.join("  "));
        assert_eq!(raw(rig.webhook, headers("m1", at, &many), BODY).await.0, 200);
        assert_eq!(rig.arrived(), 1);
    });
}

#[test]
fn a_replayed_message_runs_nothing_here_there_or_after_a_restart_where_runners_fence() {
    smol::block_on(async {
        let first = Rig::start(Plan { fenced: true, ..Plan::default() }).await;
        let second = first.start_another(vec![]).await;
        let at = now();
        let message = |key: &Key| {
            let s = sign(std::slice::from_ref(key), "m1", at, BODY);
            vec![(ID, s.id), (TIMESTAMP, s.timestamp.to_string()), (SIGNATURE, s.signature)]
        };
        let headers = message(&first.sender_key);
        // The same bytes again: at the same front end, at another, and at one that has just started and knows nothing.
        for (what, to) in [("first", first.webhook), ("here", first.webhook), ("there", second.webhook)] {
            let (status, text) = raw(to, headers.clone(), BODY).await;
            assert_eq!(status, 200, "{what}: {text}");
        }
        drop(second);
        let fresh = first.start_another(vec![]).await;
        assert_eq!(raw(fresh.webhook, headers.clone(), BODY).await.0, 200);
        assert_eq!(first.finished(), 1, "one run, however often its message came");
    });
}

#[test]
fn at_the_edge_of_the_tolerance_a_replay_is_known_or_too_old_never_new() {
    smol::block_on(async {
        // As short as they may be: remembered for twice the tolerance.
        let edits = vec![
            ("listen=\"127.0.0.1:0\">", "listen=\"127.0.0.1:0\" remember=\"4s\">".to_owned()),
            ("tenant=\"brolga\">", "tenant=\"brolga\" tolerance=\"2s\">".to_owned()),
        ];
        let rig = Rig::start(Plan { edits, ..Plan::default() }).await;
        // As far ahead as it may be: it stays acceptable for twice the tolerance.
        let s = sign(std::slice::from_ref(&rig.sender_key), "m1", now() + 2, BODY);
        let headers = vec![(ID, s.id), (TIMESTAMP, s.timestamp.to_string()), (SIGNATURE, s.signature)];
        let (first, _) = raw(rig.webhook, headers.clone(), BODY).await;
        assert_eq!(first, 200);
        // Until it is too old, and then for as long again, each repeat is one or the other.
        let (mut known, mut stale) = (0, 0);
        let until = s.timestamp + 2 + 3;
        while now() < until {
            let (status, text) = raw(rig.webhook, headers.clone(), BODY).await;
            match status {
                200 => known += 1,
                401 if text.contains("stale-timestamp") => stale += 1,
                429 => {} // its budget for failed signatures is spent
                _ => panic!("{status} {text}"),
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert!(known > 10 && stale > 10, "both sides of the edge were met: {known} {stale}");
        assert_eq!(rig.arrived(), 1);
    });
}

#[test]
fn a_replay_whose_body_comes_slowly_is_judged_when_it_is_whole() {
    smol::block_on(async {
        let edits = vec![
            ("listen=\"127.0.0.1:0\">", "listen=\"127.0.0.1:0\" remember=\"4s\">".to_owned()),
            ("tenant=\"brolga\">", "tenant=\"brolga\" tolerance=\"2s\">".to_owned()),
            // Its sender waits long, so that only its time stands against it.
            (
                "name=\"lodge\" aim=\"500ms\" deadline=\"2s\"",
                "name=\"lodge\" aim=\"500ms\" deadline=\"30s\"".to_owned(),
            ),
        ];
        let rig = Rig::start(Plan { edits, ..Plan::default() }).await;
        let s = sign(std::slice::from_ref(&rig.sender_key), "m1", now() + 2, BODY);
        let headers =
            vec![(ID, s.id.clone()), (TIMESTAMP, s.timestamp.to_string()), (SIGNATURE, s.signature.clone())];
        assert_eq!(raw(rig.webhook, headers, BODY).await.0, 200);
        // Its headers come while it may still be known, its last byte once its id has been forgotten.
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
        let mut told = [0u8; 12];
        stream.read_exact(&mut told).await.unwrap();
        assert_eq!(std::str::from_utf8(&told).unwrap(), "HTTP/1.1 401");
        assert_eq!(rig.arrived(), 1);
    });
}

/// When a played runner closes the connection of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Dies {
    /// Before it has read all of it: nothing ran.
    BeforeStart,
    /// In the middle of its work.
    MidRun,
    /// Its effect stands, and nobody was told.
    AfterEffect,
}

/// A runner of one process that dies at a moment of each call and comes back; counts effects.
async fn plays(listener: TcpListener, dies: Dies, effects: Arc<AtomicUsize>, calls: Arc<AtomicUsize>) {
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
            if dies == Dies::BeforeStart {
                break;
            }
            conn.body(&head).await.unwrap();
            if dies == Dies::AfterEffect {
                effects.fetch_add(1, Ordering::Relaxed);
            }
            break;
        }
    }
}

#[test]
fn a_lodgement_whose_runner_dies_at_any_moment_is_in_doubt_and_never_tried_again() {
    for dies in [Dies::BeforeStart, Dies::MidRun, Dies::AfterEffect] {
        smol::block_on(async {
            let (listener, address) = bind_loopback().await;
            let (effects, calls) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
            let playing = smol::spawn(plays(listener, dies, effects.clone(), calls.clone()));
            // A healthy runner stands beside it, to which it could be sent again: the played one is met first.
            let rig =
                Rig::start(Plan { runners: 1, scripted_runners: vec![address], ..Plan::default() }).await;
            let (mut met, mut n) = (0, 0);
            while met == 0 {
                let id = format!("m{n}");
                let got = rig.send(&id, LODGE, 1).await;
                met = calls.load(Ordering::Relaxed);
                if met > 0 {
                    assert_eq!(got.status, 502, "{dies:?} {got:?}");
                    assert_eq!(got.problem().1, "unknown", "nothing is promised: {dies:?}");
                    let again = rig.send(&id, LODGE, 1).await;
                    assert_eq!((again.status, again.replayed), (502, true), "{dies:?}");
                }
                n += 1;
                assert!(n < 500, "the played runner was never met");
            }
            let arrived = rig.arrived();
            assert_eq!(
                arrived + calls.load(Ordering::Relaxed),
                n,
                "one attempt for each lodgement: {dies:?}"
            );
            assert!(effects.load(Ordering::Relaxed) <= 1);
            drop(playing);
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
        assert_eq!((again.status, again.replayed), (504, true), "the one answer stands");
        assert_eq!(rig.arrived(), 1);
        // The runner is there for others.
        rig.until("it serves again", async || rig.send("m2", CHECK, 1).await.status == 200).await;
    });
}

/// A front end with room for one callback, to this address.
async fn owing(at: SocketAddr) -> Rig {
    let callback = format!(
        "<callback name=\"receipts\" address=\"{at}\" path=\"/r\" key-file=\"second.key\"/></sender>"
    );
    let room = "listen=\"127.0.0.1:0\" callbacks=\"1\">\n    <sender".to_owned();
    let edits = vec![("</sender>", callback), ("listen=\"127.0.0.1:0\">\n    <sender", room)];
    Rig::start(Plan { edits, ..Plan::default() }).await
}

async fn asks(rig: &Rig, id: &str) -> u16 {
    let s = sign(std::slice::from_ref(&rig.sender_key), id, now(), BODY);
    let mut headers = vec![(ID, s.id), (TIMESTAMP, s.timestamp.to_string()), (SIGNATURE, s.signature)];
    headers.push(("badgerwind-callback", "receipts".into()));
    raw(rig.webhook, headers, BODY).await.0
}

async fn answers(receiver: &TcpListener, status: u16) -> String {
    let (stream, _) = receiver.accept().await.unwrap();
    let mut conn = Conn::new(stream, Arc::new(Limits::default()));
    let head = conn.head().await.unwrap().unwrap();
    conn.body(&head).await.unwrap();
    conn.respond(&Response::new(status, "", Vec::new()), false).await.unwrap();
    head.headers.get(ID).unwrap().to_owned()
}

#[test]
fn a_receiver_that_is_gone_for_good_is_asked_once() {
    smol::block_on(async {
        let (receiver, at) = bind_loopback().await;
        let rig = owing(at).await;
        let (status, id) = futures_lite::future::zip(asks(&rig, "m1"), answers(&receiver, 410)).await;
        assert_eq!((status, id.as_str()), (200, "m1_answer"));
        // Given up: its place is free for another.
        rig.until("its place is free", async || asks(&rig, "m2").await == 200).await;
        assert_eq!(answers(&receiver, 204).await, "m2_answer", "and m1's was not posted again");
    });
}

#[test]
fn a_receiver_that_is_slow_or_down_holds_up_no_sender_and_no_more_than_may_be_owed() {
    smol::block_on(async {
        let (slow, at) = bind_loopback().await;
        let rig = owing(at).await;
        assert_eq!(asks(&rig, "m1").await, 200, "its receiver has taken no connection yet");
        let (silent, _) = slow.accept().await.unwrap();
        assert_eq!(asks(&rig, "m2").await, 503, "no more may be owed");
        assert_eq!(rig.send("m2", LODGE, 1).await.status, 200);
        drop(silent);
        let down = bind_loopback().await.1;
        let rig = owing(down).await;
        assert_eq!(asks(&rig, "m1").await, 200);
        rig.until("it is owed", async || asks(&rig, "m2").await == 503).await;
        assert_eq!(asks(&rig, "m1").await, 200, "the answer stands whatever is owed");
    });
}

#[test]
fn a_receiver_that_comes_back_gets_its_answer_by_the_schedule_and_once() {
    smol::block_on(async {
        let (receiver, at) = bind_loopback().await;
        let rig = owing(at).await;
        let (status, _) = futures_lite::future::zip(asks(&rig, "m1"), answers(&receiver, 500)).await;
        assert_eq!(status, 200);
        // The specification's first pause is five seconds.
        assert_eq!(answers(&receiver, 200).await, "m1_answer");
        rig.until("its place is free", async || asks(&rig, "m2").await == 200).await;
        assert_eq!(answers(&receiver, 200).await, "m2_answer");
        assert!(poll_once(receiver.accept()).await.is_none());
    });
}

#[test]
fn a_lodgement_beside_a_drain_finds_another_runner_or_is_refused_harmlessly() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        for r in rig.runners.clone() {
            rig.update_list(&list_entry(r.id, r.address, State::Draining)).await;
        }
        rig.until("all drains are known", async || rig.get("/health").await.0 == 503).await;
        let before = rig.arrived();
        let got = rig.send("m1", LODGE, 1).await;
        assert_eq!((got.status, got.problem().1.as_str()), (503, "harmless"), "{got:?}");
        assert_eq!(rig.arrived(), before);
        for r in rig.runners.clone() {
            rig.update_list(&list_entry(r.id, r.address, State::Ready)).await;
        }
        rig.until("it is served", async || rig.send("m1", LODGE, 1).await.status == 200).await;
        assert_eq!(rig.finished(), 1);
    });
}
