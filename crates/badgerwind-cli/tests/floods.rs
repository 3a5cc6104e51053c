//! Floods of forged webhooks on loopback sockets: the sources of failed signatures are limited, other senders
//! are served.

mod rig;

use badgerwind_http::{Exchange, Pool, PoolLimits, ResponseHead};
use badgerwind_webhook::{sign, Key, KeyKind, ID, SIGNATURE, TIMESTAMP};
use rig::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() as i64
}

/// Posts a message as a load balancer would forward it from this source address; returns the status and the
/// problem's title.
async fn post(to: SocketAddr, key: &Key, from: &str, id: &str, (at, body): (i64, Vec<u8>)) -> (u16, String) {
    let (head, body) = exchange(to, key, from, id, (at, body)).await;
    let reason = serde_json::from_slice::<serde_json::Value>(&body).unwrap_or_default();
    (head.status, reason["title"].as_str().unwrap_or("").to_owned())
}

async fn exchange(
    to: SocketAddr,
    key: &Key,
    from: &str,
    id: &str,
    (at, body): (i64, Vec<u8>),
) -> (ResponseHead, Vec<u8>) {
    let signed = sign(std::slice::from_ref(key), id, at, &body);
    let headers = vec![
        (ID, signed.id),
        (TIMESTAMP, signed.timestamp.to_string()),
        (SIGNATURE, signed.signature),
        ("x-forwarded-for", from.to_owned()),
    ];
    let time = Duration::from_secs(20);
    let pool = Pool::new(
        to,
        PoolLimits { max_connections: 1, connect_timeout: time, idle_timeout: time, max_body_bytes: 1 << 20 },
    );
    let request = Exchange { method: "POST", target: LODGE.into(), headers, body: body.into() };
    pool.exchange(&request).await.unwrap()
}

/// The current time and a small body.
fn small() -> (i64, Vec<u8>) {
    (now(), br#"{"work_us": 1000, "mean_us": 1000}"#.to_vec())
}

/// A front end with these limits on failed signatures, behind a load balancer on loopback.
async fn start_guarded(guard: &str) -> Rig {
    let element =
        format!("<guard {guard}><balancer address=\"127.0.0.1\"/></guard>\n    <route path=\"/check\"");
    Rig::start(Plan { edits: vec![("<route path=\"/check\"", element)], ..Plan::default() }).await
}

#[test]
fn a_source_of_forged_messages_is_rejected_unread_and_others_are_served() {
    smol::block_on(async {
        let rig = start_guarded(r#"source-burst="3" source-rate="0""#).await;
        let forger = Key::generate(KeyKind::Shared).unwrap();
        for n in 0..3 {
            let got = post(rig.webhook, &forger, "198.51.100.1", &format!("f{n}"), small()).await;
            assert_eq!(got, (401, "bad signature".into()));
        }
        let (head, body) = exchange(rig.webhook, &forger, "198.51.100.1", "f3", small()).await;
        let body = String::from_utf8(body).unwrap();
        assert_eq!(head.status, 429);
        assert!(body.contains("failed-signatures") && body.contains("harmless"), "{body}");
        assert!(
            head.headers.get("retry-after").is_some() && body.len() < 512,
            "a short answer with a retry time: {body}"
        );
        // A valid message from that source is not checked either, and its id can still be used.
        assert_eq!(post(rig.webhook, &rig.sender_key, "198.51.100.1", "m1", small()).await.0, 429);
        assert_eq!(post(rig.webhook, &rig.sender_key, "198.51.100.2", "m1", small()).await.0, 200);
        // Addresses before the one that the load balancer appended can be forged, and are ignored.
        let forwarded_for = "203.0.113.7, 198.51.100.1";
        assert_eq!(post(rig.webhook, &forger, forwarded_for, "f4", small()).await.0, 429);
        assert_eq!((rig.arrived(), rig.finished()), (1, 1));
        let (_, text) = rig.get("/metrics").await;
        for line in [
            "badgerwind_turned_away_total{reason=\"failed-signatures\"} 3\n",
            "badgerwind_failed_signatures_total{sender=\"portal\"} 3\n",
            "badgerwind_guard_sources 1\n",
            "badgerwind_guard_known 1\n",
        ] {
            assert!(text.contains(line), "{line} in {text}");
        }
    });
}

#[test]
fn a_flood_from_many_sources_does_not_lock_out_a_known_sender() {
    smol::block_on(async {
        let rig = start_guarded(r#"source-burst="3" sender-burst="10" sender-rate="0""#).await;
        assert_eq!(post(rig.webhook, &rig.sender_key, "198.51.100.1", "m0", small()).await.0, 200);
        let forger = Key::generate(KeyKind::Shared).unwrap();
        let mut counts = std::collections::BTreeMap::new();
        for n in 0..40 {
            let got = post(rig.webhook, &forger, &format!("203.0.113.{n}"), "m1", small()).await;
            *counts.entry(got.0).or_insert(0) += 1;
        }
        assert_eq!(counts, [(401, 10), (429, 30)].into());
        for n in 1..10 {
            let got = post(rig.webhook, &rig.sender_key, "198.51.100.1", &format!("m{n}"), small()).await;
            assert_eq!(got.0, 200, "a known source is served throughout");
        }
        assert_eq!(
            post(rig.webhook, &rig.sender_key, "198.51.100.9", "m10", small()).await.0,
            429,
            "a source not yet known is rejected"
        );
        assert_eq!(rig.arrived(), 10);
    });
}

#[test]
fn a_source_is_checked_again_once_its_budget_has_refilled() {
    smol::block_on(async {
        let rig = start_guarded(r#"source-burst="1" source-rate="5""#).await;
        let forger = Key::generate(KeyKind::Shared).unwrap();
        assert_eq!(post(rig.webhook, &forger, "198.51.100.1", "f", small()).await.0, 401);
        rig.until("it is served", async || {
            let got = post(rig.webhook, &rig.sender_key, "198.51.100.1", "m", small()).await.0;
            assert!(got == 200 || got == 429, "{got}");
            got == 200
        })
        .await;
    });
}

#[test]
fn a_large_body_is_checked_and_costs_more_budget_when_it_fails() {
    smol::block_on(async {
        let rig = start_guarded(r#"source-burst="3" source-rate="0""#).await;
        let forger = Key::generate(KeyKind::Shared).unwrap();
        let large = || {
            (
                now(),
                format!("{{\"work_us\": 1000, \"mean_us\": 1000, \"x\": \"{}\"}}", "x".repeat(150_000))
                    .into_bytes(),
            )
        };
        assert_eq!(post(rig.webhook, &rig.sender_key, "198.51.100.1", "m1", large()).await.0, 200);
        assert_eq!(post(rig.webhook, &forger, "198.51.100.2", "f1", large()).await.0, 401);
        assert_eq!(
            post(rig.webhook, &forger, "198.51.100.2", "f2", small()).await.0,
            429,
            "the large body used the whole budget"
        );
        assert_eq!(rig.arrived(), 1);
    });
}

#[test]
fn sender_clock_skew_is_reported_and_stale_messages_count_as_failed() {
    smol::block_on(async {
        let rig = start_guarded(r#"source-burst="2" source-rate="0""#).await;
        let ahead = || (now() + 100, small().1);
        assert_eq!(post(rig.webhook, &rig.sender_key, "198.51.100.1", "m1", ahead()).await.0, 200);
        let (_, text) = rig.get("/metrics").await;
        let reported =
            |n: i64| text.contains(&format!("sender_clock_skew_seconds{{sender=\"portal\"}} {n}\n"));
        assert!(reported(100) || reported(99), "{text}");
        let stale = || (now() - 400, small().1);
        for n in 0..2 {
            let got = post(rig.webhook, &rig.sender_key, "198.51.100.3", &format!("s{n}"), stale()).await;
            assert_eq!(got, (401, "stale timestamp".into()));
        }
        assert_eq!(post(rig.webhook, &rig.sender_key, "198.51.100.3", "s2", stale()).await.0, 429);
    });
}

/// Guards against review case 1 on this front, which uses the same decision module: while hundreds of messages for one
/// function arrive at once, messages for another one are answered in time.
#[test]
fn a_burst_for_one_function_delays_no_other_message() {
    const MESSAGES: usize = 600;
    const DEADLINE: Duration = Duration::from_secs(2); // of the class `check`
    smol::block_on(async {
        let function = r#"<function name="lodge-0" memory-mb="100" lanes="8" load-time="5ms"/>"#;
        let slow = r#"<function name="lodge-0" memory-mb="100" lanes="4" load-time="600ms"/>"#;
        let rig = Rig::start(Plan { edits: vec![(function, slow.into())], ..Plan::default() }).await;
        let (tasks, rig) = (smol::LocalExecutor::new(), &rig);
        let message = |n| async move { rig.send(&format!("burst-{n}"), "/amend", 300).await };
        let burst: Vec<_> = (0..MESSAGES).map(|n| tasks.spawn(message(n))).collect();
        let others = async {
            for n in 0..40 {
                let sent = Instant::now();
                rig.send(&format!("other-{n}"), CHECK, 1).await;
                assert!(sent.elapsed() < DEADLINE, "{:?}", sent.elapsed());
                smol::Timer::after(Duration::from_millis(50)).await;
            }
            for message in burst {
                message.await; // each message has an answer
            }
        };
        tasks.run(others).await;
    });
}
