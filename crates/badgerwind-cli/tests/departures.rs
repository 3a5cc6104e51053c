//! Senders that disconnect: an attempt in progress continues where its answer is remembered, and no further
//! attempt starts.

mod rig;

use badgerwind_standins::platform::full_backlog::{connecting, FullBacklog};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rig::*;
use smol::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A runner that records the heads of the attempts it receives.
#[derive(Clone)]
struct Runner {
    attempts: Arc<Mutex<Vec<String>>>,
    /// Receives a message once the first attempt may be answered.
    answer_first: smol::channel::Receiver<()>,
}

impl Runner {
    /// Rejects the first attempt once that is allowed, and serves all others.
    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(self.clone().connection(stream)).detach();
        }
    }

    async fn connection(self, mut stream: TcpStream) {
        let mut received = Vec::new();
        loop {
            let Some(head_end) = received.windows(4).position(|w| w == b"\r\n\r\n") else {
                let mut piece = [0u8; 4096];
                match stream.read(&mut piece).await {
                    Ok(n) if n > 0 => received.extend_from_slice(&piece[..n]),
                    _ => return,
                }
                continue;
            };
            let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
            let request_end = head_end + 4 + length.unwrap_or(0);
            if received.len() < request_end {
                let mut piece = [0u8; 4096];
                match stream.read(&mut piece).await {
                    Ok(n) if n > 0 => received.extend_from_slice(&piece[..n]),
                    _ => return,
                }
                continue;
            }
            received.drain(..request_end);
            let answer = if head.starts_with("POST /calls/") {
                let count = {
                    let mut attempts = self.attempts.lock().unwrap();
                    attempts.push(head);
                    attempts.len()
                };
                if count == 1 {
                    let _ = self.answer_first.recv().await;
                    "HTTP/1.1 503 Full\r\nbadgerwind-outcome: full\r\ncontent-length: 0\r\n\r\n"
                } else {
                    "HTTP/1.1 200 OK\r\nbadgerwind-outcome: ok\r\ncontent-length: 2\r\n\r\nok"
                }
            } else {
                "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"copies\":1}"
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn runner() -> (Runner, smol::channel::Sender<()>) {
    let (allow, answer_first) = smol::channel::bounded(1);
    (Runner { attempts: Arc::default(), answer_first }, allow)
}

async fn until_nobody_is_connected(rig: &Rig) {
    rig.until("the sender has disconnected", async || {
        rig.get("/metrics").await.1.contains("badgerwind_connections 0\n")
    })
    .await;
}

#[test]
fn a_lodgement_whose_sender_disconnected_gets_no_further_attempt() {
    smol::block_on(async {
        let (listener, address) = bind_loopback().await;
        let (runner, allow) = runner();
        let _serving = smol::spawn(runner.clone().serve(listener));
        let edits = vec![(
            "aim=\"500ms\" deadline=\"2s\" effect=\"once\"",
            "aim=\"500ms\" deadline=\"30s\" effect=\"once\"".into(),
        )];
        let rig =
            Rig::start(Plan { runners: 0, scripted_runners: vec![address], edits, ..Plan::default() }).await;
        let mut disconnected = Box::pin(rig.send("m1", LODGE, 1));
        rig.until("it has arrived", async || {
            assert!(futures_lite::future::poll_once(&mut disconnected).await.is_none());
            runner.attempts.lock().unwrap().len() == 1
        })
        .await;
        drop(disconnected);
        until_nobody_is_connected(&rig).await;
        allow.send(()).await.unwrap();
        // The attempt was rejected, so the same message sent again starts a new call, which runs once.
        let again = rig.send("m1", LODGE, 1).await;
        for n in 0..4 {
            assert_eq!(rig.send(&format!("later{n}"), LODGE, 1).await.status, 200);
        }
        let attempts = runner.attempts.lock().unwrap().clone();
        let attempts_numbered = |end: &str| {
            attempts
                .iter()
                .filter(|h| h.lines().any(|l| l.starts_with("badgerwind-attempt: ") && l.ends_with(end)))
                .count()
        };
        assert_eq!(attempts_numbered("/1"), 0, "no second attempt of any call: {attempts:#?}");
        assert!(
            again.status == 200 || again.problem().0 == "refused" || again.problem().0 == "failed",
            "{again:?}"
        );
    });
}

#[test]
fn an_attempt_still_connecting_never_starts_once_its_sender_has_disconnected() {
    smol::block_on(async {
        let backlog = FullBacklog::start().unwrap();
        let edits = vec![
            (
                "key-file=\"runners.key\"",
                "key-file=\"runners.key\" connect-time=\"20s\" call-off-time=\"10s\"".into(),
            ),
            ("deadline=\"2s\" effect=\"repeatable\"", "deadline=\"30s\" effect=\"repeatable\"".into()),
            // Calls are sent at once, without a load order before them.
            ("max-attempts=\"3\"", "max-attempts=\"3\" orders=\"false\"".into()),
        ];
        let rig = Rig::start(Plan {
            runners: 0,
            scripted_runners: vec![backlog.address],
            edits,
            ..Plan::default()
        })
        .await;
        let mut disconnected = Box::pin(rig.send("m1", CHECK, 1));
        rig.until("the runner's connection is being opened", async || {
            assert!(futures_lite::future::poll_once(&mut disconnected).await.is_none());
            backlog.connecting() > 0
        })
        .await;
        drop(disconnected);
        until_nobody_is_connected(&rig).await;
        let ((runner, allow), address) = (runner(), backlog.address);
        allow.send(()).await.unwrap();
        let listener = TcpListener::try_from(backlog.drain().unwrap()).unwrap();
        let _serving = smol::spawn(runner.clone().serve(listener));
        assert_eq!(rig.send("m2", CHECK, 1).await.status, 200);
        // A connection attempt is repeated after a second, so connections still pending are accepted then.
        rig.until("no connection is pending", async || connecting(address) == 0).await;
        assert_eq!(rig.send("m3", CHECK, 1).await.status, 200);
        let attempts = runner.attempts.lock().unwrap().clone();
        let calls: std::collections::BTreeSet<_> =
            attempts.iter().filter_map(|h| h.lines().find_map(|l| l.strip_prefix("webhook-id: "))).collect();
        assert_eq!(calls.len(), 2, "only calls whose senders wait: {attempts:#?}");
    });
}
