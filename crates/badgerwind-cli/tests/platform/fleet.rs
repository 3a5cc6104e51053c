//! Two dozen front ends at once, since what is harmless in one of them may not be in all together. Each has
//! few calls, and executors hold few connections and refuse the rest. All checks are on counts, most of them
//! taken at the executors.

use crate::rig::{id, FrontEnd, Script};
use badgerwind_standins::platform::discovery::{record, DiscoveryServer};
use badgerwind_standins::platform::executor::{hit_line, succeed, Executor, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::web::{Answer, WebConnection, WebRequest};
use badgerwind_standins::platform::{configuration, list_member, wait_until};
use badgerwind_standins::reserved::unused_address;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FRONT_ENDS: usize = 24;
const EXECUTORS: usize = 8;
/// Connections that an executor holds: one for each front end, and few more.
const TABLE: usize = 32;
/// Pause between two calls of a front end. An executor gets a call from it about once in `EXECUTORS` times
/// this.
const PAUSE: Duration = Duration::from_millis(100);
const READY: u8 = 0;
const GONE: u8 = 2;

/// Answers a call after 20 ms.
fn answer_slowly(s: &ReceivedLine) -> Vec<ScriptStep> {
    match s.kind.as_str() {
        "FN" => vec![ScriptStep::Wait(Duration::from_millis(20)), ScriptStep::Write(hit_line(s))],
        _ => succeed(s),
    }
}

/// The datagrams between front ends: sender, receiver and bytes of each.
type Datagrams = Mutex<Vec<(usize, usize, usize)>>;

/// Relays datagrams between front ends and records them. Each front end is known to the others by the address
/// of its relay, and what it sends to another relay arrives from its own. Returns the addresses to listen at
/// and those of the relays.
fn relays(datagrams: &Arc<Datagrams>) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    // No socket is bound here to find free ports: a process that another test starts at that moment inherits
    // it and holds the port until it executes its program, so that the front end could not bind it.
    let listen: Vec<_> = (0..FRONT_ENDS).map(|_| unused_address()).collect();
    let relays: Vec<_> = (0..FRONT_ENDS).map(|_| Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap())).collect();
    let known = relays.iter().map(|s| s.local_addr().unwrap()).collect();
    for to in 0..FRONT_ENDS {
        let (relays, listen, datagrams) = (relays.clone(), listen.clone(), datagrams.clone());
        std::thread::spawn(move || {
            let mut buf = [0u8; 2048];
            while let Ok((n, address)) = relays[to].recv_from(&mut buf) {
                let Some(from) = listen.iter().position(|a| *a == address) else { continue };
                datagrams.lock().unwrap().push((from, to, n));
                // If no front end listens there at the moment, the datagram is lost.
                let _ = relays[from].send_to(&buf[..n], listen[to]);
            }
        });
    }
    (listen, known)
}

struct Fleet {
    discovery: DiscoveryServer,
    executors: Vec<Executor>,
    front_ends: Vec<Option<FrontEnd>>,
    peers: Vec<SocketAddr>,
    datagrams: Arc<Datagrams>,
    started: Instant,
    config: Value,
    /// The number of the next call.
    next: u64,
}

impl Fleet {
    fn start() -> Fleet {
        let discovery = DiscoveryServer::start(2).unwrap();
        let executors: Vec<_> =
            (0..EXECUTORS).map(|_| Executor::with_table(TABLE, answer_slowly).unwrap()).collect();
        let listed = executors.iter().enumerate().map(|(n, e)| list_member(id(n), e.address, "in_service"));
        let mut config =
            configuration("127.0.0.1:0".parse().unwrap(), discovery.address, &listed.collect::<Vec<_>>());
        let datagrams = Arc::<Datagrams>::default();
        let (peers, known) = relays(&datagrams);
        config["settings"]["allowed"]["peers"] = json!(true);
        config["settings"]["peersTotal"] = json!(FRONT_ENDS);
        config["peers"] = json!(known);
        // Nobody listens here: a datagram to all at once would count at each of them.
        let nobody = UdpSocket::bind("127.0.0.1:0").unwrap();
        config["peers_all"] = json!(nobody.local_addr().unwrap());
        let mut fleet = Fleet {
            discovery,
            executors,
            front_ends: (0..FRONT_ENDS).map(|_| None).collect(),
            peers,
            datagrams,
            started: Instant::now(),
            config,
            next: 1,
        };
        fleet.start_all(&(0..FRONT_ENDS).collect::<Vec<_>>());
        fleet
    }

    /// Starts these front ends at the same time, with empty state.
    fn start_all(&mut self, which: &[usize]) {
        let started: Vec<_> = std::thread::scope(|scope| {
            let (config, peers) = (&self.config, &self.peers);
            let start = |&n: &usize| {
                let mut own = config.clone();
                own["peer_listen"] = json!(peers[n]);
                own["settings"]["myNumber"] = json!(n);
                scope.spawn(move || (n, FrontEnd::start(own)))
            };
            let all: Vec<_> = which.iter().map(start).collect();
            all.into_iter().map(|t| t.join().unwrap()).collect()
        });
        for (n, front) in started {
            assert!(wait_until(|| front.health() == 200), "front end {n} is not healthy");
            self.front_ends[n] = Some(front);
        }
    }

    /// Makes `each` calls at each of these front ends, one after another with pauses. Every tenth call must
    /// not run twice. Returns the answers by the ids of the calls.
    fn calls(&mut self, at: &[usize], each: u64) -> BTreeMap<String, Answer> {
        let from = self.next;
        self.next += FRONT_ENDS as u64 * each;
        let front_ends = &self.front_ends;
        std::thread::scope(|scope| {
            let one = |&n: &usize| {
                let front = front_ends[n].as_ref().unwrap();
                scope.spawn(move || {
                    let mut web = front.web();
                    let call = |k| {
                        let ask = ask(from + n as u64 * each + k);
                        web.send(1 + k as u16, &ask).unwrap();
                        let answer = web.answer().unwrap();
                        assert_eq!(answer.number, 1 + k as u16, "the answer is to another request");
                        std::thread::sleep(PAUSE);
                        (ask.id, answer)
                    };
                    (0..each).map(call).collect::<Vec<_>>()
                })
            };
            let all: Vec<_> = at.iter().map(one).collect();
            all.into_iter().flat_map(|t| t.join().unwrap()).collect()
        })
    }

    /// The front ends that run.
    fn running(&self) -> Vec<usize> {
        (0..FRONT_ENDS).filter(|n| self.front_ends[*n].is_some()).collect()
    }

    /// The number of connections that each executor has accepted.
    fn opened(&self) -> Vec<usize> {
        self.executors.iter().map(|e| e.connections.accepted.load(Ordering::Relaxed)).collect()
    }

    /// Checks that no call that must not run twice ran twice.
    fn assert_no_duplicate_runs(&self) {
        let mut ran: BTreeMap<String, usize> = BTreeMap::new();
        for s in self.executors.iter().flat_map(|e| e.received_of_kind("FN")) {
            if s.line["meta"]["kind"] == "book" {
                *ran.entry(s.req).or_default() += 1;
            }
        }
        let twice: Vec<_> = ran.iter().filter(|(_, n)| **n > 1).collect();
        assert!(!ran.is_empty() && twice.is_empty(), "{twice:?}");
    }

    /// Checks that each process stays within the descriptors and the memory of its configuration.
    fn assert_within_limits(&self) {
        for front in self.front_ends.iter().flatten() {
            let limits = &front.config["limits"];
            let (sockets, mb) = (limits["sockets"].as_u64().unwrap(), limits["memory_mb"].as_u64().unwrap());
            assert!(front.descriptors() as u64 <= sockets, "{} descriptors", front.descriptors());
            assert!(front.memory() <= mb * 1024, "{} KiB", front.memory());
        }
    }

    /// Checks that datagrams are short and few, in sum and at each receiver.
    fn assert_few_datagrams(&self) {
        let datagrams = self.datagrams.lock().unwrap();
        let seconds = self.started.elapsed().as_secs_f64();
        let mut received = [0usize; FRONT_ENDS];
        let mut sent = [0usize; FRONT_ENDS];
        for (from, to, bytes) in datagrams.iter() {
            assert!(from != to && *bytes <= 256, "{bytes} bytes from {from} to {to}");
            received[*to] += 1;
            sent[*from] += 1;
        }
        assert!(sent.iter().all(|n| *n > 0), "front ends without any datagram sent: {sent:?}");
        // Each sends sixteen in a keep-alive of eight seconds, each to one receiver, which is chosen at
        // random.
        let each = 2.0 * (seconds + 1.0) + 4.0;
        assert!(sent.iter().all(|n| *n as f64 <= each), "{sent:?} in {seconds:.1} s");
        assert!(received.iter().all(|n| *n as f64 <= 3.0 * each), "{received:?} in {seconds:.1} s");
    }
}

/// Call `n`: every tenth is of class `book`, the others of class `look`. The functions differ in their
/// preferred executors.
fn ask(n: u64) -> WebRequest {
    let class = if n % 10 == 0 { "book" } else { "look" };
    WebRequest {
        class: class.into(),
        key: format!("{:016x}", (n % 40).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        ..WebRequest::new(n)
    }
}

/// Calls are so rare that an executor has no traffic from a front end for longer than a connect takes. If
/// each call opened a connection, the executors' tables would fill, and refused calls would be tried
/// elsewhere over yet another connection.
#[test]
fn many_front_ends_with_few_calls_each_do_not_fill_the_connection_tables() {
    let mut fleet = Fleet::start();
    let all = fleet.running();
    let answers = fleet.calls(&all, 24);
    assert_eq!(answers.len(), FRONT_ENDS * 24);
    let refused = answers.values().filter(|a| a.status != 200).count();
    let turned_away: usize =
        fleet.executors.iter().map(|e| e.connections.rejected.load(Ordering::Relaxed)).sum();
    let opened = fleet.opened();
    println!("opened {opened:?}, turned away {turned_away}, refused {refused} of {}", answers.len());
    assert!(opened.iter().all(|n| *n <= 2 * FRONT_ENDS), "connections: {opened:?}");
    assert!(turned_away * 50 <= answers.len(), "connections turned away: {turned_away}");
    assert!(refused * 100 <= answers.len(), "refused without any fault: {refused}");
    fleet.assert_no_duplicate_runs();
    fleet.assert_within_limits();
    fleet.assert_few_datagrams();
    // Probes and load orders are not more than the calls justify.
    for e in &fleet.executors {
        let (calls, probes, orders) = (
            e.received_of_kind("FN"),
            e.received_of_kind("HELO").len() + e.received_of_kind("TOP").len(),
            e.received_of_kind("SPAWN"),
        );
        assert!(probes <= calls.len() / 2 + FRONT_ENDS, "{probes} probes for {} calls", calls.len());
        assert!(
            orders.len() <= calls.len() + FRONT_ENDS,
            "{} orders for {} calls",
            orders.len(),
            calls.len()
        );
    }
}

/// Twice, ten front ends are killed while they have calls, and restart with empty state.
#[test]
fn ten_front_ends_killed_at_once_do_not_harm_the_others_and_serve_after_a_restart() {
    let mut fleet = Fleet::start();
    for round in 0..2 {
        let killed: Vec<_> = (0..FRONT_ENDS).filter(|n| (n + round) % 12 < 5).collect();
        let staying: Vec<_> = (0..FRONT_ENDS).filter(|n| !killed.contains(n)).collect();
        assert_eq!(killed.len(), 10);
        // Each of them has an open call that will not be answered.
        let cut: Vec<WebConnection> = killed
            .iter()
            .map(|n| {
                let mut web = fleet.front_ends[*n].as_ref().unwrap().web();
                let call =
                    WebRequest { class: "book".into(), ..ask(900_000 + (round * FRONT_ENDS + n) as u64) };
                web.send(1, &call).unwrap();
                web
            })
            .collect();
        killed.iter().for_each(|n| fleet.front_ends[*n].as_mut().unwrap().kill());
        killed.iter().for_each(|n| fleet.front_ends[*n] = None);
        drop(cut);
        let answers = fleet.calls(&staying, 12);
        let refused = answers.values().filter(|a| a.status != 200).count();
        assert!(refused * 50 <= answers.len(), "{refused} of {} with ten killed", answers.len());
        fleet.start_all(&killed);
        let all = fleet.running();
        let answers = fleet.calls(&all, 6);
        let refused = answers.values().filter(|a| a.status != 200).count();
        assert!(refused * 50 <= answers.len(), "{refused} of {} with ten restarted", answers.len());
    }
    fleet.assert_no_duplicate_runs();
    fleet.assert_within_limits();
    fleet.assert_few_datagrams();
    let max_connections: Vec<_> =
        fleet.executors.iter().map(|e| e.connections.max_open.load(Ordering::Relaxed)).collect();
    assert!(max_connections.iter().all(|n| *n <= TABLE), "{max_connections:?}");
}

/// All front ends are replaced, a tenth at a time, each with an open call.
#[test]
fn front_ends_stopped_a_tenth_at_a_time_answer_their_calls() {
    let mut fleet = Fleet::start();
    for tenth in (0..FRONT_ENDS).collect::<Vec<_>>().chunks(FRONT_ENDS.div_ceil(10)) {
        let mut open = Vec::new();
        for &n in tenth {
            let front = fleet.front_ends[n].as_ref().unwrap();
            let mut web = front.web();
            web.send(1, &ask(fleet.next)).unwrap();
            fleet.next += 1;
            open.push(web);
        }
        // Some calls are read only after the signal. Calls on established connections are served all the
        // same.
        tenth.iter().for_each(|n| fleet.front_ends[*n].as_ref().unwrap().signal("-TERM"));
        for (web, &n) in open.iter_mut().zip(tenth) {
            let answer = web.answer().unwrap_or_else(|e| panic!("front end {n} did not answer a call: {e}"));
            assert_eq!(answer.status, 200);
        }
        for &n in tenth {
            assert_eq!(fleet.front_ends[n].as_mut().unwrap().wait_for_exit(), Some(0), "front end {n}");
            fleet.front_ends[n] = None;
        }
        let others = fleet.running();
        let answers = fleet.calls(&others, 1);
        assert!(answers.values().all(|a| a.status == 200), "{answers:?}");
        fleet.start_all(tenth);
    }
    fleet.assert_no_duplicate_runs();
    fleet.assert_within_limits();
}

/// Service discovery moves to another address, and announces there that an executor has been removed and a
/// cold one added.
#[test]
fn all_front_ends_follow_discovery_to_another_address_and_share_a_cold_executor() {
    let mut fleet = Fleet::start();
    assert!(wait_until(|| fleet.discovery.requested().len() == FRONT_ENDS));
    let moved = DiscoveryServer::start(2).unwrap();
    for front in fleet.front_ends.iter().flatten() {
        let mut config = front.config.clone();
        config["board"] = moved.address.to_string().into();
        front.replace_config(&config.to_string());
        front.signal("-HUP");
    }
    assert!(
        wait_until(|| moved.requested().len() >= FRONT_ENDS),
        "{} have connected",
        moved.requested().len()
    );
    // Calls at the cold executor: open now, most at once during its first second, and when the first one
    // came.
    let load = Arc::new(Mutex::new((0usize, 0usize, None::<Instant>)));
    let script: Script = {
        let load = load.clone();
        Box::new(move |s| {
            if s.kind == "FN" {
                let mut counts = load.lock().unwrap();
                let first = *counts.2.get_or_insert_with(Instant::now);
                counts.0 += 1;
                // The executor is cold for its first second.
                if first.elapsed() < Duration::from_secs(1) {
                    counts.1 = counts.1.max(counts.0);
                }
                drop(counts);
                std::thread::sleep(Duration::from_millis(40));
                load.lock().unwrap().0 -= 1;
            }
            succeed(s)
        })
    };
    let cold = Executor::with_table(TABLE, script).unwrap();
    let removed = fleet.executors[0].address;
    moved.send_changes(&[record(id(0), removed, GONE), record(id(90), cold.address, READY)]);
    let all = fleet.running();
    let mut answers = BTreeMap::new();
    assert!(wait_until(|| {
        answers.extend(fleet.calls(&all, 4));
        !cold.received_of_kind("FN").is_empty()
    }));
    let before = fleet.executors[0].received_of_kind("FN").len();
    answers.extend(fleet.calls(&all, 8));
    assert_eq!(fleet.executors[0].received_of_kind("FN").len(), before, "a removed executor got calls");
    let refused = answers.values().filter(|a| a.status != 200).count();
    assert!(refused * 50 <= answers.len(), "{refused} of {}", answers.len());
    // Its size is four. At two and a half times that many calls it collapses.
    let max_concurrent = load.lock().unwrap().1;
    assert!(max_concurrent <= 10, "{max_concurrent} calls at once at a cold executor, from all front ends");
    let orders = cold.received_of_kind("SPAWN").len();
    assert!(orders <= cold.received_of_kind("FN").len() + 2 * FRONT_ENDS, "{orders} orders");
    assert!(cold.connections.accepted.load(Ordering::Relaxed) <= 2 * FRONT_ENDS);
    fleet.assert_no_duplicate_runs();
    fleet.assert_within_limits();
}
