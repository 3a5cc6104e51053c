//! Restarts of a front end while the list of runners changes.

mod rig;

use badgerwind_check::Event;
use badgerwind_cli::send::{post, Message};
use badgerwind_http::{Conn, Limits, Response};
use badgerwind_protocol::list::{Availability, List, Runner};
use badgerwind_standins::reserved::unused_address;
use futures_lite::future::zip;
use rig::*;
use smol::channel::Receiver;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A list service that answers its first request once it is allowed to, and no request after that.
async fn serve_when_allowed(listener: TcpListener, list: List, allowed: Receiver<()>) {
    let (stream, _) = listener.accept().await.unwrap();
    let mut conn = Conn::new(stream, Arc::new(Limits::default()));
    let _request = conn.head().await.unwrap();
    allowed.recv().await.unwrap();
    let response = Response::new(200, "application/json", serde_json::to_vec(&list).unwrap());
    conn.respond(&response, true).await.unwrap();
    std::future::pending::<()>().await;
}

/// Sends a call repeatedly until the front end accepts it.
async fn call(to: SocketAddr, key: &badgerwind_webhook::Key) -> u16 {
    loop {
        let body = br#"{"work_us": 1000, "mean_us": 1000}"#.to_vec();
        let deadline = Duration::from_secs(10);
        let message = Message { id: "m1", path: CHECK, deadline, retry: false, callback: None, body };
        if let Ok((head, _)) = post(to, key, message).await {
            return head.status;
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}

/// A restarted front end must not send to a runner that began to drain while it was down, although its stored
/// list says that the runner is ready.
#[test]
fn a_restarted_front_end_gets_the_list_before_it_sends_a_call() {
    smol::block_on(async {
        let first = Rig::start(Plan::default()).await;
        let (drained, ready) = (first.runners[0].clone(), first.runners[1].clone());
        let (listener, list_address) = bind_loopback().await;
        let runners = vec![Runner { availability: Availability::Draining, ..drained.clone() }, ready];
        let (allow, allowed) = smol::channel::bounded(1);
        let _service =
            smol::spawn(serve_when_allowed(listener, List { version: 4, whole: true, runners }, allowed));
        let (webhook, metrics) = (unused_address(), unused_address());
        let edits = vec![
            ("<webhook listen=\"127.0.0.1:0\"", format!("<webhook listen=\"{webhook}\"")),
            ("<metrics listen=\"127.0.0.1:0\"", format!("<metrics listen=\"{metrics}\"")),
        ];
        let (runners, _, keys, recorder) = first.shared().unwrap();
        let shared = Some((runners, list_address, keys, recorder));
        let cached = Some(vec![drained.clone()]);
        let restarted =
            Rig::start(Plan { runners: 0, edits, shared, cached_list: cached, ..Plan::default() });
        let ((_restarted, status), ()) = zip(zip(restarted, call(webhook, &first.sender_key)), async {
            // With the stored list alone the call would have reached the draining runner by now.
            first
                .until("the call is held, or has arrived", async || {
                    let held = read_metric(metrics, "badgerwind_held").await == Some(1);
                    held || first.arrived() > 0
                })
                .await;
            allow.send(()).await.unwrap();
        })
        .await;
        assert_eq!(status, 200);
        let reached = |runner: u32| {
            let arrived = |what: &Event| matches!(what, Event::Arrived { runner: r, .. } if *r == runner);
            first.lines().iter().filter(|l| arrived(&l.event)).count()
        };
        assert_eq!((reached(drained.id), first.arrived()), (0, 1));
    });
}

/// A metric of the front end that serves its metrics at this address.
async fn read_metric(address: SocketAddr, name: &str) -> Option<u64> {
    let time = Duration::from_secs(5);
    let limits = badgerwind_http::PoolLimits {
        max_connections: 1,
        connect_timeout: time,
        idle_timeout: time,
        max_body_bytes: 1 << 20,
    };
    let request = badgerwind_http::Exchange {
        method: "GET",
        target: "/metrics".into(),
        headers: vec![],
        body: Arc::from(&b""[..]),
    };
    let (_, body) = badgerwind_http::Pool::new(address, limits).exchange(&request).await.ok()?;
    let text = String::from_utf8(body).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '))?;
    line.parse().ok()
}
