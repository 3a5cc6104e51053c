//! Whether a call or an order is checked again once the connection that it waited for is established.

mod rig;

use badgerwind_protocol::list::{Availability, Runner};
use badgerwind_standins::platform::full_backlog::FullBacklog;
use badgerwind_standins::reserved::unused_address;
use futures_lite::future::{or, pending};
use rig::*;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

/// Longer than any wait of these tests.
const LONG: Duration = Duration::from_secs(20);

/// Accepts a connection and returns the first bytes that arrive on it, or nothing if the peer closes it
/// first.
fn received(listener: &TcpListener) -> String {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut bytes = [0u8; 64];
    let n = stream.read(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes[..n]).into_owned()
}

/// A runner can drain, leave or move while a connection to it is being established. A call or an order that
/// was assigned to it before must then not be written on that connection.
#[test]
fn work_waiting_for_a_connection_is_not_sent_to_a_runner_that_drains_leaves_or_moves() {
    type Change = fn(Runner) -> Runner;
    let changes: [(&str, Change); 3] = [
        ("drains", |r| Runner { availability: Availability::Draining, ..r }),
        ("leaves", |r| Runner { availability: Availability::Removed, ..r }),
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
            let rig = Rig::start(Plan {
                runners: 0,
                scripted_runners: vec![door.address],
                edits,
                ..Plan::default()
            })
            .await;
            // No other runner can serve the call, so it is refused once it has been kept from this one.
            let call = async {
                assert_eq!(rig.send("m1", CHECK, 1).await.status, 503);
                pending().await
            };
            let first_bytes = async {
                rig.until("a connection is being established", async || door.connecting() > 0).await;
                let changed = change(rig.runners[0].clone());
                rig.update_list(&changed).await;
                rig.until("the front end has stored the changed list", async || {
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
