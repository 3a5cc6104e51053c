//! Senders of webhooks that leave: what has begun goes on where its answer is remembered, and nothing further begins.

mod rig;

use badgerwind_standins::platform::full_backlog::{connecting, FullBacklog};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rig::*;
use smol::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// The heads of attempts that came, and how many may be answered.
#[derive(Clone)]
struct Runner {
    attempts: Arc<Mutex<Vec<String>>>,
    first: smol::channel::Receiver<()>,
}

impl Runner {
    /// The first attempt is turned away once it may be, all others are served.
    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(self.clone().connection(stream)).detach();
        }
    }

    async fn connection(self, mut stream: TcpStream) {
        let mut come = Vec::new();
        loop {
            let Some(at) = come.windows(4).position(|w| w == b"\r\n\r\n") else {
                let mut piece = [0u8; 4096];
                match stream.read(&mut piece).await {
                    Ok(n) if n > 0 => come.extend_from_slice(&piece[..n]),
                    _ => return,
                }
                continue;
            };
            let head = String::from_utf8_lossy(&come[..at]).into_owned();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
            let whole = at + 4 + length.unwrap_or(0);
            if come.len() < whole {
                let mut piece = [0u8; 4096];
                match stream.read(&mut piece).await {
                    Ok(n) if n > 0 => come.extend_from_slice(&piece[..n]),
                    _ => return,
                }
                continue;
            }
            come.drain(..whole);
            let answer = if head.starts_with("POST /calls/") {
                let nth = {
                    let mut attempts = self.attempts.lock().unwrap();
                    attempts.push(head);
                    attempts.len()
                };
                if nth == 1 {
                    let _ = self.first.recv().await;
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
    let (may, first) = smol::channel::bounded(1);
    (Runner { attempts: Arc::default(), first }, may)
}

async fn until_nobody_is_connected(rig: &Rig) {
    rig.until("the sender has gone", async || {
        rig.get("/metrics").await.1.contains("badgerwind_connections 0\n")
    })
    .await;
}

#[test]
fn a_lodgement_whose_sender_has_left_gets_no_further_attempt() {
    smol::block_on(async {
        let (listener, address) = bind_loopback().await;
        let (runner, may) = runner();
        let _serving = smol::spawn(runner.clone().serve(listener));
        let edits = vec![(
            "aim=\"500ms\" deadline=\"2s\" effect=\"once\"",
            "aim=\"500ms\" deadline=\"30s\" effect=\"once\"".into(),
        )];
        let rig =
            Rig::start(Plan { runners: 0, scripted_runners: vec![address], edits, ..Plan::default() }).await;
        let mut gone = Box::pin(rig.send("m1", LODGE, 1));
        rig.until("it has arrived", async || {
            assert!(futures_lite::future::poll_once(&mut gone).await.is_none());
            runner.attempts.lock().unwrap().len() == 1
        })
        .await;
        drop(gone);
        until_nobody_is_connected(&rig).await;
        may.send(()).await.unwrap();
        // It was turned away: whoever sends the same again starts it anew, and it runs once.
        let again = rig.send("m1", LODGE, 1).await;
        for n in 0..4 {
            assert_eq!(rig.send(&format!("later{n}"), LODGE, 1).await.status, 200);
        }
        let attempts = runner.attempts.lock().unwrap().clone();
        let of = |end: &str| {
            attempts
                .iter()
                .filter(|h| h.lines().any(|l| l.starts_with("badgerwind-attempt: ") && l.ends_with(end)))
                .count()
        };
        assert_eq!(of("/1"), 0, "no second attempt of any call: {attempts:#?}");
        assert!(
            again.status == 200 || again.problem().0 == "refused" || again.problem().0 == "failed",
            "{again:?}"
        );
    });
}

#[test]
fn an_attempt_whose_connection_is_not_up_never_begins_once_its_sender_has_left() {
    smol::block_on(async {
        let door = FullBacklog::start().unwrap();
        let edits = vec![
            (
                "key-file=\"runners.key\"",
                "key-file=\"runners.key\" connect-time=\"20s\" call-off-time=\"10s\"".into(),
            ),
            ("deadline=\"2s\" effect=\"repeatable\"", "deadline=\"30s\" effect=\"repeatable\"".into()),
            // Calls go out at once, without a load order ahead of them.
            ("max-attempts=\"3\"", "max-attempts=\"3\" orders=\"false\"".into()),
        ];
        let rig =
            Rig::start(Plan { runners: 0, scripted_runners: vec![door.address], edits, ..Plan::default() })
                .await;
        let mut gone = Box::pin(rig.send("m1", CHECK, 1));
        rig.until("it is on its way", async || {
            assert!(futures_lite::future::poll_once(&mut gone).await.is_none());
            door.connecting() > 0
        })
        .await;
        drop(gone);
        until_nobody_is_connected(&rig).await;
        let ((runner, may), address) = (runner(), door.address);
        may.send(()).await.unwrap();
        let listener = TcpListener::try_from(door.drain().unwrap()).unwrap();
        let _serving = smol::spawn(runner.clone().serve(listener));
        assert_eq!(rig.send("m2", CHECK, 1).await.status, 200);
        // A knock is repeated after a second: whoever still knocks is let in then.
        rig.until("nobody knocks", async || connecting(address) == 0).await;
        assert_eq!(rig.send("m3", CHECK, 1).await.status, 200);
        let attempts = runner.attempts.lock().unwrap().clone();
        let calls: std::collections::BTreeSet<_> =
            attempts.iter().filter_map(|h| h.lines().find_map(|l| l.strip_prefix("webhook-id: "))).collect();
        assert_eq!(calls.len(), 2, "only those whose senders wait: {attempts:#?}");
    });
}
