//! Scenarios from operations on loopback sockets: authentication, replays, failing runners, reloads and
//! shutdown.

mod rig;

use badgerwind::interface::{Action, Event, Time};
use badgerwind_driver::Decider;
use badgerwind_gateway::Stopped;
use badgerwind_http::{Conn, Limits, Response};
use badgerwind_protocol::list::Availability;
use badgerwind_standins::model::Fault;
use badgerwind_standins::reserved::unused_address;
use badgerwind_standins::runner::FaultCommand;
use badgerwind_webhook::{Key, KeyKind};
use futures_lite::future::zip;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rig::*;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Switches this fault on at every runner.
async fn set_fault(rig: &Rig, fault: Fault) {
    for runner in &rig.runners {
        let command = FaultCommand { on: true, fault: fault.clone() };
        badgerwind_standins::command(runner.address, "/standin/fault", &command).await.unwrap();
    }
}

/// The kind of a problem, and whether a retry is harmless.
fn problem(kind: &str, retry: &str) -> (String, String) {
    (kind.into(), retry.into())
}

#[test]
fn a_signed_call_reaches_a_runner_and_a_forged_one_does_not() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        let got = rig.send("m1", CHECK, 5).await;
        assert_eq!(got.status, 200, "{got:?}");
        assert!(got.body.contains("\"work_us\":5000"), "the runner's own body: {}", got.body);
        for key in [Key::generate(KeyKind::Shared).unwrap(), Key::generate(KeyKind::Private).unwrap()] {
            let got = rig.send_as(&key, "m2", LODGE, 1).await;
            assert_eq!((got.status, got.problem()), (401, problem("bad-signature", "harmless")));
        }
        assert_eq!(rig.arrived(), 1);
    });
}

#[test]
fn a_secret_is_valid_until_its_end_and_its_successor_alongside_it() {
    smol::block_on(async {
        let edits = vec![
            ("file=\"portal.key\"", "file=\"portal.key\" not-after=\"2020-01-01T00:00:00Z\"".to_owned()),
            ("file=\"second.key\"", "file=\"second.key\" not-before=\"2020-01-01T00:00:00Z\"".to_owned()),
        ];
        let rig = Rig::start(Plan { edits, ..Plan::default() }).await;
        assert_eq!(rig.send("m1", CHECK, 1).await.status, 401);
        assert_eq!(rig.send_as(&rig.second_key, "m1", CHECK, 1).await.status, 200);
        let rig = Rig::start(Plan::default()).await;
        assert_eq!(rig.send("m1", CHECK, 1).await.status, 200, "both are valid");
        assert_eq!(rig.send_as(&rig.second_key, "m2", CHECK, 1).await.status, 200, "both are valid");
    });
}

#[test]
fn a_reload_replaces_all_keys_or_none() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        let reload = rig.running.as_ref().unwrap().reloader(None);
        let file = rig.folder.path().join("portal.key");
        let fresh = Key::generate(KeyKind::Shared).unwrap();
        assert_eq!(rig.send_as(&fresh, "m1", CHECK, 1).await.status, 401);
        std::fs::write(&file, "whsec_broken").unwrap();
        let problems = reload().unwrap_err();
        assert!(problems[0].to_string().contains("portal.key holds no key"), "{problems:?}");
        assert_eq!(rig.send("m2", CHECK, 1).await.status, 200, "the previous keys stay in force");
        std::fs::write(&file, fresh.to_text().as_bytes()).unwrap();
        reload().unwrap();
        assert_eq!(rig.send("m3", CHECK, 1).await.status, 401, "the old key is no longer accepted");
        assert_eq!(rig.send_as(&fresh, "m3", CHECK, 1).await.status, 200);
    });
}

#[test]
fn a_replayed_lodgement_waits_for_the_running_one_and_gets_its_answer() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        let (first, second) = zip(rig.send("m1", LODGE, 150), async {
            rig.until("the first has arrived", async || rig.arrived() == 1).await;
            rig.send("m1", LODGE, 150).await
        })
        .await;
        let third = rig.send("m1", LODGE, 150).await;
        assert_eq!((first.status, first.replayed), (200, false));
        for later in [second, third] {
            assert_eq!((later.status, later.replayed, &later.request), (200, true, &first.request));
        }
        let other = rig.send("m1", LODGE, 151).await;
        assert_eq!((other.status, other.problem().0.as_str()), (409, "id-conflict"));
        assert_eq!((rig.arrived(), rig.finished()), (1, 1));
    });
}

#[test]
fn a_lodgement_whose_sender_disconnects_completes_and_is_not_run_again() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        let mut disconnected = Box::pin(rig.send("m1", LODGE, 200));
        rig.until("it has arrived", async || {
            assert!(futures_lite::future::poll_once(&mut disconnected).await.is_none());
            rig.arrived() == 1
        })
        .await;
        drop(disconnected);
        let got = rig.send("m1", LODGE, 200).await;
        assert_eq!((got.status, got.replayed), (200, true));
        assert_eq!((rig.arrived(), rig.finished()), (1, 1));
    });
}

/// A runner that reads the start of each request, then closes the connection.
async fn close_every_request(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut some = [0u8; 16];
        let _ = stream.read_exact(&mut some).await;
    }
}

#[test]
fn a_lodgement_whose_runner_dies_is_in_doubt_and_not_retried() {
    smol::block_on(async {
        let (listener, address) = bind_loopback().await;
        let _closing = smol::spawn(close_every_request(listener));
        let rig = Rig::start(Plan { runners: 0, scripted_runners: vec![address], ..Plan::default() }).await;
        let got = rig.send("m1", LODGE, 1).await;
        assert_eq!((got.status, got.problem()), (502, problem("failed", "unknown")));
        let again = rig.send("m1", LODGE, 1).await;
        assert_eq!((again.status, again.replayed), (502, true), "its recorded answer");
        let (_, text) = rig.get("/metrics").await;
        assert!(text.contains("badgerwind_attempts_total{outcome=\"reset\"} 1\n"), "{text}");
    });
}

#[test]
fn a_repeatable_call_whose_runner_dies_is_served_by_another() {
    smol::block_on(async {
        let (listener, address) = bind_loopback().await;
        let _closing = smol::spawn(close_every_request(listener));
        let rig = Rig::start(Plan { runners: 1, scripted_runners: vec![address], ..Plan::default() }).await;
        for n in 0..6 {
            assert_eq!(rig.send(&format!("m{n}"), CHECK, 1).await.status, 200);
        }
    });
}

#[test]
fn unanswered_calls_fail_before_their_senders_time_out() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        set_fault(&rig, Fault::Hang).await;
        let (lodge, check) = zip(rig.send("m1", LODGE, 1), rig.send("m2", CHECK, 1)).await;
        assert_eq!((lodge.status, lodge.problem()), (504, problem("failed", "unknown")));
        // A repeatable call is either refused, after which a retry is harmless, or failed.
        assert!([502, 503, 504].contains(&check.status), "{check:?}");
    });
}

#[test]
fn a_runner_removed_from_the_list_finishes_its_calls_and_gets_no_new_ones() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        let long_call = |n: usize| {
            let rig = &rig;
            async move { rig.send(&format!("m{n}"), LODGE, 400).await }
        };
        let mut first = Box::pin(long_call(0));
        rig.until("it has arrived", async || {
            assert!(futures_lite::future::poll_once(&mut first).await.is_none());
            rig.arrived() == 1
        })
        .await;
        let busy = rig.lines().iter().find_map(|l| match l.event {
            badgerwind_check::Event::Arrived { runner, .. } => Some(runner),
            _ => None,
        });
        let busy = rig.runners.iter().find(|r| Some(r.id) == busy).unwrap();
        rig.update_list(&list_entry(busy.id, busy.address, Availability::Removed)).await;
        rig.until("one is ready", async || {
            rig.get("/metrics").await.1.contains("badgerwind_runners_ready 1\n")
        })
        .await;
        for n in 1..6 {
            assert_eq!(rig.send(&format!("m{n}"), CHECK, 1).await.status, 200);
        }
        assert_eq!(first.await.status, 200);
        let at_removed_runner = |l: &&badgerwind_check::Line| matches!(&l.event, badgerwind_check::Event::Arrived { runner, .. } if *runner == busy.id);
        assert_eq!(rig.lines().iter().filter(at_removed_runner).count(), 1);
    });
}

#[test]
fn a_front_end_starts_with_its_stored_list() {
    smol::block_on(async {
        let first = Rig::start(Plan::default()).await;
        let runners = first.runners.clone();
        first.until("the list is stored", async || first.folder.path().join("list.json").exists()).await;
        // Another front end with that list and no list service. Its calls are signed with another key, so the
        // stand-ins reject them, which shows that the front end knows their addresses.
        let second = Rig::start(Plan { runners: 0, cached_list: Some(runners), ..Plan::default() }).await;
        let got = second.send("m1", LODGE, 1).await;
        assert_eq!(got.status, 502, "reached and rejected: {got:?}");
        let (_, text) = second.get("/metrics").await;
        assert!(text.contains("badgerwind_attempts_total{outcome=\"error\"} 1\n"), "{text}");
        assert!(!text.contains("badgerwind_list_failures_total 0\n"), "{text}");
    });
}

#[test]
fn a_stored_list_that_cannot_be_parsed_is_ignored() {
    smol::block_on(async {
        for corrupt in ["", "{\"version\":", "{\"version\":1,\"whole\":true,\"runners\":[{\"id\":-1}]}"] {
            let rig = Rig::start(Plan { corrupt_list: Some(corrupt), ..Plan::default() }).await;
            assert_eq!(rig.send("m1", CHECK, 1).await.status, 200);
            let file = rig.folder.path().join("list.json");
            rig.until("a valid list is stored", async || {
                std::fs::read(&file).is_ok_and(|b| badgerwind_protocol::list::List::parse(&b).is_ok())
            })
            .await;
        }
    });
}

#[test]
fn when_the_id_memory_is_full_lodgements_are_refused_and_repeatable_calls_served() {
    smol::block_on(async {
        let edits = vec![(
            "listen=\"127.0.0.1:0\">\n    <sender",
            "listen=\"127.0.0.1:0\" remember-most=\"2\">\n    <sender".to_owned(),
        )];
        let rig = Rig::start(Plan { edits, ..Plan::default() }).await;
        for n in 0..2 {
            assert_eq!(rig.send(&format!("m{n}"), LODGE, 1).await.status, 200);
        }
        let got = rig.send("m2", LODGE, 1).await;
        assert_eq!((got.status, got.problem()), (503, problem("memory-full", "harmless")));
        assert_eq!(rig.send("m3", CHECK, 1).await.status, 200);
        assert!(rig.send("m0", LODGE, 1).await.replayed, "remembered ids are kept");
        assert_eq!(rig.arrived(), 3);
    });
}

#[test]
fn a_slow_request_head_times_out_without_delaying_other_connections() {
    smol::block_on(async {
        let edits = vec![(
            "listen=\"127.0.0.1:0\">\n    <sender",
            "listen=\"127.0.0.1:0\" head-time=\"100ms\">\n    <sender".to_owned(),
        )];
        let rig = Rig::start(Plan { edits, ..Plan::default() }).await;
        let mut slow = TcpStream::connect(rig.webhook).await.unwrap();
        slow.write_all(b"POST /lodge HTTP/1.1\r\nhost: a\r\nx").await.unwrap();
        assert_eq!(rig.send("m1", CHECK, 1).await.status, 200);
        let mut response = String::new();
        slow.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    });
}

#[test]
fn two_thousand_idle_connections_do_not_delay_a_call() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        let mut idle = Vec::new();
        for _ in 0..2_000 {
            // Where the descriptor limit is lower, as many as it allows.
            match TcpStream::connect(rig.webhook).await {
                Ok(stream) => idle.push(stream),
                Err(_) => break,
            }
        }
        let enough = idle.len().saturating_sub(100);
        idle.truncate(enough);
        assert!(enough > 200, "only {enough} connections could be opened");
        assert_eq!(rig.send("m1", CHECK, 1).await.status, 200);
    });
}

#[test]
fn an_orderly_stop_answers_open_calls_and_accepts_no_new_ones() {
    smol::block_on(async {
        let mut rig = Rig::start(Plan::default()).await;
        let running = rig.running.take().unwrap();
        let (go, stop) = stop_channel();
        let stopping = smol::spawn(async move {
            running.serve_until(async { _ = stop.recv().await }, std::future::pending()).await
        });
        let (held, ()) = zip(rig.send("m1", LODGE, 300), async {
            rig.until("it has arrived", async || rig.arrived() == 1).await;
            go.send(()).await.unwrap();
            rig.until("it stops", async || rig.get("/health").await.0 == 503).await;
            assert!(TcpStream::connect(rig.webhook).await.is_err(), "no new connection is accepted");
        })
        .await;
        assert_eq!(held.status, 200);
        assert_eq!(stopping.await, Stopped::Orderly);
    });
}

fn stop_channel() -> (smol::channel::Sender<()>, smol::channel::Receiver<()>) {
    smol::channel::bounded(1)
}

/// Holds calls, and panics at the third. Counts the calls so far.
struct PanicsAtThirdCall(u32);

impl Decider for PanicsAtThirdCall {
    fn handle(&mut self, _: Time, event: Event, _: &mut Vec<Action>) {
        if let Event::Request(_) = event {
            self.0 += 1;
            assert!(self.0 < 3, "the third call");
        }
    }
}

#[test]
fn when_the_module_panics_every_sender_gets_an_answer_and_the_daemon_ends() {
    smol::block_on(async {
        let mut rig =
            Rig::start(Plan { decider: Some(Box::new(PanicsAtThirdCall(0))), ..Plan::default() }).await;
        let running = rig.running.take().unwrap();
        let serving =
            smol::spawn(
                async move { running.serve_until(std::future::pending(), std::future::pending()).await },
            );
        let ((a, b), c) = zip(zip(rig.send("m1", CHECK, 1), rig.send("m2", LODGE, 1)), async {
            rig.until("two are held", async || rig.get("/metrics").await.1.contains("badgerwind_held 2\n"))
                .await;
            rig.send("m3", CHECK, 1).await
        })
        .await;
        for got in [a, b, c] {
            assert_eq!((got.status, got.problem()), (502, problem("failed", "unknown")));
        }
        assert_eq!(serving.await, Stopped::ModuleFailed("the third call".into()));
    });
}

#[test]
fn a_keyed_call_retried_at_another_front_end_is_not_run_again() {
    smol::block_on(async {
        let first = Rig::start(Plan::default()).await;
        let second = first.start_another(vec![]).await;
        // The first front end accepts the call and gets its answer, which never reaches the sender.
        let mut lost = Box::pin(first.send("m1", "/amend", 50));
        first
            .until("it has run", async || {
                assert!(futures_lite::future::poll_once(&mut lost).await.is_none() || first.finished() == 1);
                first.finished() == 1
            })
            .await;
        drop(lost);
        let got = second.send("m1", "/amend", 50).await;
        assert_eq!(
            (got.status, got.replayed),
            (200, false),
            "answered from the runners' memory, not the front end's"
        );
        assert_eq!((first.arrived(), first.finished()), (2, 1));
    });
}

#[test]
fn a_second_stop_signal_fails_open_calls_at_once() {
    smol::block_on(async {
        let mut rig = Rig::start(Plan::default()).await;
        set_fault(&rig, Fault::Hang).await;
        let running = rig.running.take().unwrap();
        let (go, stop) = stop_channel();
        let (again, at_once) = stop_channel();
        let stopping = smol::spawn(async move {
            running.serve_until(async { _ = stop.recv().await }, async { _ = at_once.recv().await }).await
        });
        let began = std::time::Instant::now();
        let (held, ()) = zip(rig.send("m1", LODGE, 1), async {
            rig.until("it has arrived", async || rig.arrived() == 1).await;
            go.send(()).await.unwrap();
            rig.until("it stops", async || rig.get("/health").await.0 == 503).await;
            again.send(()).await.unwrap();
        })
        .await;
        assert_eq!((held.status, held.problem()), (502, problem("failed", "unknown")));
        assert!(began.elapsed() < Duration::from_millis(1_900), "before the call's deadline");
        assert_eq!(stopping.await, Stopped::Orderly);
    });
}

/// Sends a message to all peers at each call, and forwards the messages it receives from them.
struct Broadcasts(smol::channel::Sender<(u32, Vec<u8>)>);

impl Decider for Broadcasts {
    fn handle(&mut self, _: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(r) => {
                out.push(Action::SendMessage { to: None, bytes: b"full 7".to_vec() });
                out.push(Action::Refuse { id: r.id, retry_after: Some(1_500_000) });
            }
            Event::Message { from, bytes } => _ = self.0.try_send((from, bytes)),
            _ => {}
        }
    }
}

#[test]
fn front_ends_exchange_messages_and_ignore_those_without_their_key() {
    smol::block_on(async {
        let (a, b) = (unused_address(), unused_address());
        let peers = |number: u32, listen, other, address| {
            vec![
                ("front-ends=\"1\" number=\"0\"", format!("front-ends=\"2\" number=\"{number}\"")),
                (
                    "<metrics",
                    format!(
                        "<peers listen=\"{listen}\" key-file=\"runners.key\"><peer number=\"{other}\" \
                         address=\"{address}\"/></peers><metrics"
                    ),
                ),
            ]
        };
        let (sender, received) = smol::channel::unbounded();
        let decider = Some(Box::new(Broadcasts(sender.clone())) as Box<dyn Decider + Send>);
        let first = Rig::start(Plan { edits: peers(0, a, 1, b), decider, ..Plan::default() }).await;
        let keys = [first.sender_key.clone(), first.second_key.clone(), first.runner_key.clone()];
        let shared = Some((first.runners.clone(), first.list, keys, first.recorder.clone()));
        let decider = Some(Box::new(Broadcasts(sender)) as Box<dyn Decider + Send>);
        let second =
            Rig::start(Plan { runners: 0, edits: peers(1, b, 0, a), decider, shared, ..Plan::default() })
                .await;
        let forged = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        forged.send_to(&[0u8; 40], a).unwrap();
        let got = second.send("m1", CHECK, 1).await;
        assert_eq!((got.status, got.problem()), (503, problem("refused", "harmless")));
        assert_eq!(received.recv().await.unwrap(), (1, b"full 7".to_vec()));
        assert!(received.is_empty(), "the forged message was ignored");
    });
}

#[test]
fn with_fencing_a_lodgement_retried_at_another_front_end_runs_once() {
    smol::block_on(async {
        let first = Rig::start(Plan { fenced: true, ..Plan::default() }).await;
        let second = first.start_another(vec![]).await;
        let ((one, two), ()) = zip(
            zip(first.send("m1", LODGE, 300), async {
                first.until("the first has arrived", async || first.arrived() == 1).await;
                second.send("m1", LODGE, 300).await
            }),
            std::future::ready(()),
        )
        .await;
        // While it runs, the runners reject the other front end's attempts, so a refusal is a correct answer.
        assert_eq!(one.status, 200);
        assert!([200, 503].contains(&two.status), "{two:?}");
        let again = second.send("m1", LODGE, 300).await;
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(first.finished(), 1);
        assert!(first.arrived() >= 2);
    });
}

#[test]
fn without_fencing_a_lodgement_retried_at_another_front_end_runs_twice() {
    smol::block_on(async {
        let first = Rig::start(Plan::default()).await;
        let second = first.start_another(vec![]).await;
        assert_eq!(first.send("m1", LODGE, 10).await.status, 200);
        assert_eq!(second.send("m1", LODGE, 10).await.status, 200);
        assert_eq!(first.finished(), 2, "without fencing senders must not retry at another front end");
    });
}

#[test]
fn an_answer_is_posted_to_the_configured_callback_and_nowhere_else() {
    smol::block_on(async {
        let (receiver, address) = bind_loopback().await;
        let (unused_receiver, redirect_target) = bind_loopback().await;
        let callback = format!(
            "<callback name=\"receipts\" address=\"{address}\" path=\"/receipts\" key-file=\"second.key\"/></sender>"
        );
        let edits = vec![
            ("</sender>", callback),
            (
                "listen=\"127.0.0.1:0\">\n    <sender",
                "listen=\"127.0.0.1:0\" callbacks=\"1\">\n    <sender".to_owned(),
            ),
        ];
        let rig = Rig::start(Plan { edits, ..Plan::default() }).await;
        let send = async |id: &str, callback: &str| {
            let message = badgerwind_cli::send::Message {
                id,
                path: LODGE,
                deadline: Duration::from_secs(5),
                retry: false,
                callback: Some(callback),
                body: br#"{"work_us": 1000, "mean_us": 1000}"#.to_vec(),
            };
            let (head, body) =
                badgerwind_cli::send::post(rig.webhook, &rig.sender_key, message).await.unwrap();
            (head.status, String::from_utf8(body).unwrap())
        };
        let (status, text) = send("m0", "http://127.0.0.1:1/").await;
        assert!(status == 400 && text.contains("unknown-callback"), "{text}");
        assert_eq!(rig.arrived(), 0);
        // A callback that is delivered.
        let delivery = async {
            let (stream, _) = receiver.accept().await.unwrap();
            let mut conn = Conn::new(stream, Arc::new(Limits::default()));
            let head = conn.head().await.unwrap().unwrap();
            let body = conn.body(&head).await.unwrap();
            conn.respond(&Response::new(204, "", Vec::new()), false).await.unwrap();
            (head, body)
        };
        let ((status, _), (head, body)) = zip(send("m1", "receipts"), delivery).await;
        assert_eq!((status, head.target.as_str()), (200, "/receipts"));
        let key = badgerwind_webhook::RingKey {
            name: "k".into(),
            key: rig.second_key.clone(),
            not_before: None,
            not_after: None,
        };
        let ring = badgerwind_webhook::KeyRing { keys: vec![key], tolerance: 300 };
        let header = |n| head.headers.get(n);
        let now =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs() as i64;
        ring.verify(
            now,
            header("webhook-id"),
            header("webhook-timestamp"),
            header("webhook-signature"),
            &body,
        )
        .unwrap();
        let value: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(
            (header("webhook-id"), value["type"].as_str()),
            (Some("m1_answer"), Some("call.answered"))
        );
        assert_eq!(
            (value["data"]["answer"].as_str(), value["data"]["status"].as_u64()),
            (Some("served"), Some(200))
        );
        // A callback whose receiver redirects it stays pending, and the redirect is not followed.
        let redirects = async {
            let (stream, _) = receiver.accept().await.unwrap();
            let mut conn = Conn::new(stream, Arc::new(Limits::default()));
            let head = conn.head().await.unwrap().unwrap();
            let _ = conn.body(&head).await.unwrap();
            let redirect =
                Response::new(307, "", Vec::new()).with("location", format!("http://{redirect_target}/"));
            conn.respond(&redirect, false).await.unwrap();
        };
        let sent = async {
            loop {
                // The first callback's slot becomes free shortly after its receiver has answered.
                let got = send("m2", "receipts").await;
                if got.0 != 503 {
                    return got;
                }
            }
        };
        let ((status, _), ()) = zip(sent, redirects).await;
        assert_eq!(status, 200, "the sender gets its answer regardless of the callback");
        let (status, text) = send("m3", "receipts").await;
        assert!(status == 503 && text.contains("callbacks-full"), "{text}");
        let (status, _) = send("m2", "receipts").await;
        assert_eq!(status, 200, "a recorded answer is returned even while no callback slot is free");
        assert_eq!(rig.arrived(), 2, "a call whose callback was refused was not started");
        assert_eq!(rig.send("m3", LODGE, 1).await.status, 200, "and its id can be used again");
        assert!(futures_lite::future::poll_once(unused_receiver.accept()).await.is_none());
    });
}

/// A runner that streams three pieces, 20 ms apart, and ends the body only if `complete`.
async fn stream_answers(listener: TcpListener, complete: bool) {
    let limits = Arc::new(Limits::default());
    while let Ok((stream, _)) = listener.accept().await {
        let mut conn = Conn::new(stream, limits.clone());
        while let Ok(Some(head)) = conn.head().await {
            let _ = conn.body(&head).await;
            if head.method != "POST" || !head.target.starts_with("/calls/") {
                let _ = conn.respond(&Response::new(200, "", &b"{\"copies\":1}"[..]), true).await;
                continue;
            }
            conn.respond_streaming(200, &[("badgerwind-outcome", "ok".into())], true).await.unwrap();
            for piece in [&b"one "[..], b"two ", b"three"] {
                conn.chunk(piece).await.unwrap();
                smol::Timer::after(Duration::from_millis(20)).await;
            }
            if !complete {
                break;
            }
            conn.chunk(b"").await.unwrap();
        }
    }
}

#[test]
fn a_streamed_answer_passes_through_and_a_truncated_one_is_reported_as_broken() {
    smol::block_on(async {
        let (listener, address) = bind_loopback().await;
        let _streaming = smol::spawn(stream_answers(listener, true));
        let rig = Rig::start(Plan { runners: 0, scripted_runners: vec![address], ..Plan::default() }).await;
        let got = rig.send("m1", "/watch", 1).await;
        assert_eq!((got.status, got.body.as_str()), (200, "one two three"));

        let (listener, address) = bind_loopback().await;
        let _breaking = smol::spawn(stream_answers(listener, false));
        let rig = Rig::start(Plan { runners: 0, scripted_runners: vec![address], ..Plan::default() }).await;
        let message = badgerwind_cli::send::Message {
            id: "m1",
            path: "/watch",
            deadline: Duration::from_secs(5),
            retry: false,
            callback: None,
            body: b"{}".to_vec(),
        };
        let truncated = badgerwind_cli::send::post(rig.webhook, &rig.sender_key, message).await;
        assert!(truncated.unwrap_err().contains("broke"));
    });
}

#[test]
fn malformed_requests_get_the_documented_status() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs();
        let claims = format!(
            "webhook-id: m\r\nwebhook-timestamp: {now}\r\nwebhook-signature: v1,{}=\r\n",
            "A".repeat(43)
        );
        let long = format!("POST /lodge HTTP/1.1\r\nhost: a\r\n{claims}content-length: 99999999\r\n\r\n");
        for (request, status) in [
            ("GET /lodge HTTP/1.1\r\nhost: a\r\n\r\n", "405"),
            ("POST /lodge/ HTTP/1.1\r\nhost: a\r\n\r\n", "404"),
            ("POST /lodge HTTP/1.1\r\nhost: a\r\n\r\n", "400"),
            ("POST /lodge HTTP/1.1\r\nhost: a\r\nexpect: a miracle\r\n\r\n", "417"),
            // Headers are checked before the body is read, so that a request without them costs no more.
            ("POST /lodge HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n", "400"),
            (long.as_str(), "413"),
            ("POST /lodge HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\n", "400"),
        ] {
            let mut stream = TcpStream::connect(rig.webhook).await.unwrap();
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut status_line = [0u8; 12];
            stream.read_exact(&mut status_line).await.unwrap();
            assert_eq!(std::str::from_utf8(&status_line).unwrap(), format!("HTTP/1.1 {status}"), "{request}");
        }
        assert_eq!(rig.arrived(), 0);
    });
}

#[test]
fn metrics_are_served_and_unknown_paths_are_not() {
    smol::block_on(async {
        let rig = Rig::start(Plan::default()).await;
        rig.send("m1", CHECK, 1).await;
        let (status, text) = rig.get("/metrics").await;
        assert_eq!(status, 200);
        assert!(text.contains("badgerwind_answers_total{class=\"check\",answer=\"served\"} 1\n"), "{text}");
        assert!(text.ends_with("# EOF\n"));
        assert_eq!(rig.get("/nowhere").await.0, 404);
        assert_eq!(rig.stop().await, Stopped::Orderly);
    });
}
