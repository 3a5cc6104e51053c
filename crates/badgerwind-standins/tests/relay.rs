//! Relays between two processes under faults.

use badgerwind_standins::relay::{Flow, Link, Relay};
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::lock::{Mutex, MutexGuard};
use smol::net::{TcpListener, TcpStream};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const SILENT: Link = Link { forward: Flow::Silent, backward: Flow::Silent, broken: false };
const BROKEN: Link = Link { forward: Flow::Open, backward: Flow::Open, broken: true };
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

/// Bytes in the queues of the TCP socket with these addresses: sent but not acknowledged, and received but
/// not read.
fn queues(local: SocketAddr, remote: SocketAddr) -> Option<(usize, usize)> {
    let address = |a: SocketAddr| format!("0100007F:{:04X}", a.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let socket = lines.find(|words| words[1] == address(local) && words[2] == address(remote))?;
    let (sent, received) = socket[4].split_once(':').unwrap();
    let bytes = |hex| usize::from_str_radix(hex, 16).unwrap();
    Some((bytes(sent), bytes(received)))
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// Returns the result of an operation, which must succeed within [`LONG`].
async fn within<T>(what: &str, operation: impl Future<Output = std::io::Result<T>>) -> T {
    let timeout = async {
        smol::Timer::after(LONG).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    operation.or(timeout).await.unwrap_or_else(|e| panic!("{what}: {e}"))
}

async fn listen() -> TcpListener {
    within("listening", TcpListener::bind("127.0.0.1:0")).await
}

async fn relay_to(listener: &TcpListener) -> Relay {
    within("starting the relay", Relay::start(listener.local_addr().unwrap())).await
}

async fn connect(relay: &Relay) -> TcpStream {
    within("connecting to the relay", TcpStream::connect(relay.address)).await
}

async fn accept(listener: &TcpListener) -> TcpStream {
    within("accepting the relay's connection", listener.accept()).await.0
}

async fn write(to: &mut TcpStream, bytes: &[u8]) {
    within("writing to the relay", to.write_all(bytes)).await;
}

async fn read<const N: usize>(from: &mut TcpStream) -> [u8; N] {
    let mut bytes = [0; N];
    within("reading what the relay delivers", from.read_exact(&mut bytes)).await;
    bytes
}

/// Blocks all threads of smol's global executor until it is dropped, so that no task of a relay runs.
struct BlockedExecutor {
    /// A blocking task ends once its sender is dropped.
    _release: Vec<mpsc::Sender<()>>,
    _guard: MutexGuard<'static, ()>,
}

impl BlockedExecutor {
    /// Returns once every thread runs a blocking task. Each other task then waits for what it polled last.
    async fn block() -> BlockedExecutor {
        // Two tests that block some of the threads each would wait for each other.
        static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
        let guard = within("blocking the executor alone", async { Ok(ONE_AT_A_TIME.lock().await) }).await;
        // The number of threads as `smol::spawn` reads it.
        let threads = std::env::var("SMOL_THREADS").ok().and_then(|n| n.parse().ok()).unwrap_or(1);
        let (running, ran) = mpsc::channel();
        let block_one = |_| {
            let (running, (release, released)) = (running.clone(), mpsc::channel());
            let block = async move {
                // The errors mean that the test has failed or that it has dropped the sender.
                let _ = (running.send(()), released.recv());
            };
            smol::spawn(block).detach();
            release
        };
        let release = (0..threads).map(block_one).collect();
        for _ in 0..threads {
            ran.recv_timeout(LONG).expect("each thread of the executor runs a blocking task");
        }
        BlockedExecutor { _release: release, _guard: guard }
    }
}

/// A connection through a relay, of which one direction is tested.
struct Path {
    relay: Relay,
    from: TcpStream,
    to: TcpStream,
}

impl Path {
    /// Connects, and returns once bytes have passed.
    async fn start(forward: bool) -> Path {
        let listener = listen().await;
        let relay = relay_to(&listener).await;
        let mut caller = connect(&relay).await;
        write(&mut caller, b"first").await;
        let mut far = accept(&listener).await;
        assert_eq!(&read(&mut far).await, b"first");
        let (from, to) = if forward { (caller, far) } else { (far, caller) };
        Path { relay, from, to }
    }

    /// Bytes that the relay has received in the tested direction, and not read.
    fn unread(&self) -> Option<usize> {
        Some(queues(self.from.peer_addr().unwrap(), self.from.local_addr().unwrap())?.1)
    }

    /// Waits until the relay has read all bytes written.
    async fn until_read(&self) {
        let sent = || Some(queues(self.from.local_addr().unwrap(), self.from.peer_addr().unwrap())?.0);
        until("the relay's socket has acknowledged the bytes", || sent() == Some(0)).await;
        until("the relay has read the bytes", || self.unread() == Some(0)).await;
    }

    /// Writes "later" just after the link has fallen silent, so that the relay's task reads the bytes before
    /// it sees the change: both happen before the task runs again, and it reads first. Then writes "after",
    /// whose reading shows that the task has seen the change.
    async fn with_bytes_read_before_the_silence_is_seen(forward: bool) -> Path {
        let mut path = Path::start(forward).await;
        let blocked = BlockedExecutor::block().await;
        path.relay.set(SILENT);
        write(&mut path.from, b"later").await;
        until("the relay's socket has received the bytes", || path.unread() == Some(5)).await;
        drop(blocked);
        until("the relay has read the bytes", || path.unread() == Some(0)).await;
        write(&mut path.from, b"after").await;
        path.until_read().await;
        path
    }

    /// Writes "later" on a link that delays, and silences it before the delay ends. Then writes "after",
    /// whose reading shows that the delay has ended.
    async fn with_bytes_whose_delay_ends_in_silence(forward: bool) -> Path {
        let mut delay = Duration::from_millis(100);
        while delay < LONG {
            let mut path = Path::start(forward).await;
            path.relay.set(Link {
                forward: Flow::Delayed(delay),
                backward: Flow::Delayed(delay),
                broken: false,
            });
            let before = Instant::now();
            write(&mut path.from, b"later").await;
            path.until_read().await;
            // The task that has read the bytes waits for its delay now: none runs while all threads are
            // blocked.
            drop(BlockedExecutor::block().await);
            path.relay.set(SILENT);
            if before.elapsed() < delay {
                write(&mut path.from, b"after").await;
                path.until_read().await;
                return path;
            }
            // On a busy machine the delay may have ended first; a longer one will not.
            delay *= 2;
        }
        panic!("the link never fell silent before a delay ended");
    }

    /// Asserts that nothing was delivered while the link was silent: when it breaks, all that has passed
    /// arrives before the end of the connection.
    async fn assert_nothing_has_passed(mut self) {
        self.relay.set(BROKEN);
        let mut bytes = Vec::new();
        within("reading to the end of the connection", self.to.read_to_end(&mut bytes)).await;
        assert_eq!(String::from_utf8_lossy(&bytes), "", "delivered on a silent link");
    }

    /// Opens the link and asserts that it delivers the bytes of the silence in order.
    async fn assert_delivers(mut self) {
        self.relay.set(Link::default());
        assert_eq!(String::from_utf8_lossy(&read::<5>(&mut self.to).await), "later");
        assert_eq!(String::from_utf8_lossy(&read::<5>(&mut self.to).await), "after");
    }
}

/// A caller that gives up on a silent link must not leave its connection open: a long silence would exhaust
/// the file descriptors.
#[test]
fn a_silent_link_closes_connections_whose_callers_have_disconnected() {
    smol::block_on(async {
        let listener = listen().await;
        let relay = relay_to(&listener).await;
        // One connection exists when the link falls silent, the others are made while it is silent.
        let mut established = connect(&relay).await;
        let mut far = accept(&listener).await;
        write(&mut established, b"ask").await;
        read::<3>(&mut far).await;
        relay.set(SILENT);
        let mut callers = vec![established];
        for _ in 0..10 {
            let mut caller = connect(&relay).await;
            write(&mut caller, b"ask").await;
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
        let listener = listen().await;
        let relay = relay_to(&listener).await;
        relay.set(SILENT);
        let mut caller = connect(&relay).await;
        write(&mut caller, b"first").await;
        relay.set(Link::default());
        let mut far = accept(&listener).await;
        assert_eq!(&read(&mut far).await, b"first");
        relay.set(SILENT);
        write(&mut caller, b"later").await;
        relay.set(Link::default());
        assert_eq!(&read(&mut far).await, b"later");
    });
}

/// A relay that drops the bytes that it read before it saw the silence leaves a gap in a stream that
/// continues.
#[test]
fn bytes_read_before_the_relay_sees_the_silence_arrive_afterwards() {
    smol::block_on(async {
        Path::with_bytes_read_before_the_silence_is_seen(true).await.assert_delivers().await;
    });
}

#[test]
fn bytes_read_backwards_before_the_relay_sees_the_silence_arrive_afterwards() {
    smol::block_on(async {
        Path::with_bytes_read_before_the_silence_is_seen(false).await.assert_delivers().await;
    });
}

#[test]
fn bytes_read_before_the_relay_sees_the_silence_do_not_pass_during_it() {
    smol::block_on(async {
        for forward in [true, false] {
            let path = Path::with_bytes_read_before_the_silence_is_seen(forward).await;
            path.assert_nothing_has_passed().await;
        }
    });
}

#[test]
fn bytes_whose_delay_ends_on_a_silent_link_do_not_pass_during_the_silence() {
    smol::block_on(async {
        for forward in [true, false] {
            let path = Path::with_bytes_whose_delay_ends_in_silence(forward).await;
            path.assert_nothing_has_passed().await;
        }
    });
}

#[test]
fn bytes_whose_delay_ends_on_a_silent_link_arrive_afterwards() {
    smol::block_on(async {
        for forward in [true, false] {
            Path::with_bytes_whose_delay_ends_in_silence(forward).await.assert_delivers().await;
        }
    });
}
