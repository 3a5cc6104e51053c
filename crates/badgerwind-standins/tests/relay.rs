//! Links between two processes, as a test makes them fare.

use badgerwind_standins::relay::{Flow, Link, Relay};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::time::Duration;

const SILENT: Link = Link { there: Flow::Silent, back: Flow::Silent, broken: false };
/// A bound that only a hang reaches.
const LONG: Duration = Duration::from_secs(20);

/// Connections that a listener's process holds, those whose other side has closed among them.
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
        assert!(std::time::Instant::now() < end, "it never came that {what}");
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// A caller that gives up under silence must not leave its connection behind: a long silence would use up all descriptors.
#[test]
fn a_silent_link_lets_go_of_connections_whose_callers_have_left() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay::start(listener.local_addr().unwrap()).await.unwrap();
        // One stands when silence falls, the others come up during it.
        let mut standing = TcpStream::connect(relay.at).await.unwrap();
        let (mut far, _) = listener.accept().await.unwrap();
        standing.write_all(b"ask").await.unwrap();
        far.read_exact(&mut [0; 3]).await.unwrap();
        relay.set(SILENT);
        let mut callers = vec![standing];
        for _ in 0..10 {
            let mut caller = TcpStream::connect(relay.at).await.unwrap();
            caller.write_all(b"ask").await.unwrap();
            callers.push(caller);
        }
        until("they are taken in", || held(relay.at) == callers.len()).await;
        drop(callers);
        until("they are let go of", || held(relay.at) == 0).await;
    });
}

/// What was sent into silence arrives after it, as over a network that loses and repeats.
#[test]
fn what_is_sent_into_silence_arrives_once_it_is_over() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay::start(listener.local_addr().unwrap()).await.unwrap();
        relay.set(SILENT);
        let mut caller = TcpStream::connect(relay.at).await.unwrap();
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
