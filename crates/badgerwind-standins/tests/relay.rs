//! Relays between two processes under faults.

use badgerwind_standins::relay::{Flow, Link, Relay};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::time::Duration;

const SILENT: Link = Link { forward: Flow::Silent, backward: Flow::Silent, broken: false };
/// A timeout that only a hang reaches.
const LONG: Duration = Duration::from_secs(20);

/// Connections accepted at a listener's address, including those that the other side has closed.
fn held(listener: SocketAddr) -> usize {
    const ESTABLISHED: &str = "01";
    const CLOSE_WAIT: &str = "08";
    let own = format!("0100007F:{:04X}", listener.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let holds = |line: &&str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words[1] == own && [ESTABLISHED, CLOSE_WAIT].contains(&words[3])
    };
    table.lines().filter(holds).count()
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = std::time::Instant::now() + LONG;
    while !holds() {
        assert!(std::time::Instant::now() < end, "timed out waiting until {what}");
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// A caller that gives up on a silent link must not leave its connection open: a long silence would exhaust
/// the file descriptors.
#[test]
fn a_silent_link_closes_connections_whose_callers_have_disconnected() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay::start(listener.local_addr().unwrap()).await.unwrap();
        // One connection exists when the link falls silent, the others are made while it is silent.
        let mut established = TcpStream::connect(relay.address).await.unwrap();
        let (mut far, _) = listener.accept().await.unwrap();
        established.write_all(b"ask").await.unwrap();
        far.read_exact(&mut [0; 3]).await.unwrap();
        relay.set(SILENT);
        let mut callers = vec![established];
        for _ in 0..10 {
            let mut caller = TcpStream::connect(relay.address).await.unwrap();
            caller.write_all(b"ask").await.unwrap();
            callers.push(caller);
        }
        until("all connections are accepted", || held(relay.address) == callers.len()).await;
        drop(callers);
        until("all connections are closed", || held(relay.address) == 0).await;
    });
}

/// Bytes sent while the link is silent arrive after it, as over a network that drops and retransmits.
#[test]
fn bytes_sent_while_the_link_is_silent_arrive_afterwards() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay::start(listener.local_addr().unwrap()).await.unwrap();
        relay.set(SILENT);
        let mut caller = TcpStream::connect(relay.address).await.unwrap();
        caller.write_all(b"first").await.unwrap();
        relay.set(Link::default());
        let (mut far, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 5];
        far.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"first");
        relay.set(SILENT);
        caller.write_all(b"later").await.unwrap();
        relay.set(Link::default());
        far.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"later");
    });
}
