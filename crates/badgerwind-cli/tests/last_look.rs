//! What waits for a connection to a runner is looked at again when its first byte can go.

mod rig;

use badgerwind_protocol::list::{Runner, State};
use badgerwind_standins::platform::full_backlog::FullBacklog;
use badgerwind_standins::reserved::unused_address;
use futures_lite::future::{or, pending};
use rig::*;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

/// Longer than any test waits.
const LONG: Duration = Duration::from_secs(20);

/// The bytes that come over the next connection until it ends.
fn received(listener: &TcpListener) -> String {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut bytes = [0u8; 64];
    let n = stream.read(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes[..n]).into_owned()
}

/// While a connection to a runner comes up, the runner drains, goes or moves: the call or order that waits for it, decided
/// before, must not be written on it.
#[test]
fn what_waits_for_a_connection_is_not_sent_to_a_runner_that_has_left() {
    type Change = fn(Runner) -> Runner;
    let changes: [(&str, Change); 3] = [
        ("drains", |r| Runner { state: State::Draining, ..r }),
        ("is gone", |r| Runner { state: State::Gone, ..r }),
        ("moves", |r| Runner { address: unused_address(), ..r }),
    ];
    for (what, change) in changes {
        smol::block_on(async {
            let door = FullBacklog::start().unwrap();
            let edits = vec![
                ("aim=\"500ms\" deadline=\"2s\"", "aim=\"20s\" deadline=\"60s\"".into()),
                (
                    "<runners key-file=\"runners.key\"/>",
                    "<runners key-file=\"runners.key\" connect-time=\"20s\"/>".into(),
                ),
            ];
            let rig =
                Rig::start(Plan { runners: 0, played: vec![door.address], edits, ..Plan::default() }).await;
            // Nobody can serve it: it is refused once it was held back.
            let call = async {
                assert_eq!(rig.send("m1", CHECK, 1).await.status, 503);
                pending().await
            };
            let first_bytes = async {
                rig.until("something waits for a connection", async || door.connecting() > 0).await;
                let listed = change(rig.runners[0].clone());
                rig.tell_list(&listed).await;
                rig.until("it has been told", async || {
                    let cache = std::fs::read(rig.folder.path().join("list.json")).unwrap_or_default();
                    let list = badgerwind_protocol::list::List::parse(&cache);
                    list.is_ok_and(|l| !l.runners.contains(&rig.runners[0]))
                })
                .await;
                let listener = door.drain().unwrap();
                smol::unblock(move || received(&listener)).await
            };
            assert_eq!(or(call, first_bytes).await, "", "the runner {what}");
        });
    }
}
