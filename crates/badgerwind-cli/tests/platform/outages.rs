//! Executors drain while service discovery is unreachable for longer than the deadlines of its protocol.
//!
//! A drain counts as announced 2 s after a broken connection to discovery, or 4 s after its silence began,
//! and takes effect after a grace of 0.3 s. Discovery sends changes only. When the list of executors had no
//! age, every front end read silence as "nothing changed" and went on sending calls and load orders to
//! executors that drained, until discovery was back. Most were refused and served elsewhere, so no client
//! noticed, but the drain rule was broken. The tests also put other executors at the addresses of the removed
//! ones. docs/incidents/discovery-outage.md has the figures.

use crate::rig::{id, write_artifact, FrontEnd};
use badgerwind_standins::platform::discovery::{record, Behaviour, DiscoveryServer};
use badgerwind_standins::platform::executor::{
    answer_line, hit_line, succeed, Executor, ReceivedLine, ScriptStep,
};
use badgerwind_standins::platform::web::{WebConnection, WebRequest};
use badgerwind_standins::platform::{configuration, list_member, wait_until};
use badgerwind_standins::reserved::{unused_address, ReservedPort};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const READY: u8 = 0;
const DRAINING: u8 = 1;
const GONE: u8 = 2;

const EXECUTORS: usize = 8;
/// Number of functions called, enough to use all executors.
const FUNCTIONS: u64 = 24;
/// Senders at each front end, and the pause between two calls of a sender: 40 calls a second for each front
/// end.
const SENDERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(80);
/// Time that an executor takes for a call.
const WORK: Duration = Duration::from_millis(20);
/// How long calls are made before the outage.
const WARM_UP: Duration = Duration::from_millis(2_500);
/// An event counts as announced this long after a connection broke, or after silence began.
const AFTER_BREAK: Duration = Duration::from_secs(2);
const AFTER_SILENCE: Duration = Duration::from_secs(4);
/// The slack of the protocol, and the delay that a busy machine may add between a first byte and its being
/// read by the test.
const SLACK: Duration = Duration::from_millis(50);
const READ_LATE: Duration = Duration::from_millis(250);
/// Within these times of the return of discovery, the list is fresh again and its events are applied. An
/// empty frame comes each second; the rest is what a busy machine adds.
const FRESH_TIMEOUT: Duration = Duration::from_millis(4_000);
const EVENTS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What front ends log when events arrive, and when the list is fresh again. The latter is logged after a
/// start as well.
const EVENTS_ARRIVE: &str = "sent events while the list of executors is stale";
const FRESH_AGAIN: &str = "fresh again";
/// Interval between closes of connections, in outages with repeated ones.
const CLOSE_INTERVAL: Duration = Duration::from_millis(500);

/// How discovery becomes unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutageKind {
    /// Connections stay open but are silent, as are new ones.
    Silent,
    /// Connections are closed, new ones are refused.
    Refuses,
    /// Connections are closed, new ones are accepted but silent.
    EndsAndIsSilent,
    /// The same repeatedly.
    Flaps,
    /// A reload changes the address to one where nobody listens.
    Moves,
}

/// The question by which a draining executor denies that it takes work. It answers the other one like a ready
/// executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Denial {
    Probe,
    Order,
}

/// What else fails during the outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherFault {
    Nothing,
    /// A front end is killed and restarted with its earlier configuration.
    Restart,
    /// An executor that does not drain stops answering.
    Hang,
    /// Executors close all of their connections twice a second.
    Disconnects,
}

impl OutageKind {
    /// The time after which an event counts as announced.
    fn announced_after(self) -> Duration {
        match self {
            OutageKind::Silent | OutageKind::Moves => AFTER_SILENCE,
            OutageKind::Refuses | OutageKind::EndsAndIsSilent | OutageKind::Flaps => AFTER_BREAK,
        }
    }
}

/// An outage in which the two busiest executors drain and are replaced. All times are from its start.
#[derive(Clone, Copy, Debug)]
struct Plan {
    front_ends: usize,
    kind: OutageKind,
    other_fault: OtherFault,
    denial: Denial,
    /// When the two executors begin to drain, when they stop, and when others start at their addresses.
    drains: Duration,
    stops: Duration,
    replaced: Duration,
    /// When discovery is back.
    returns: Duration,
    /// `rules.stopSendingWithin`.
    grace: Duration,
    /// The deadline of the calls.
    wait: Duration,
}

impl Plan {
    fn new(front_ends: usize, kind: OutageKind, other_fault: OtherFault) -> Plan {
        let ms = Duration::from_millis;
        let (drains, stops, replaced, returns) = (ms(300), ms(7_000), ms(8_000), ms(10_000));
        let (grace, wait) = (ms(300), ms(2_000));
        Plan {
            front_ends,
            kind,
            other_fault,
            denial: Denial::Probe,
            drains,
            stops,
            replaced,
            returns,
            grace,
            wait,
        }
    }

    /// A random outage, determined by a seed.
    fn random(seed: u64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        use OtherFault::{Disconnects, Hang, Nothing, Restart};
        use OutageKind::{EndsAndIsSilent, Flaps, Moves, Refuses, Silent};
        let kinds = [Silent, Refuses, EndsAndIsSilent, Flaps, Moves];
        let other_faults = [Nothing, Restart, Hang, Disconnects];
        let kind = kinds[rng.usize(..kinds.len())];
        let other_fault = other_faults[rng.usize(..other_faults.len())];
        let denial = if rng.bool() { Denial::Probe } else { Denial::Order };
        let mut ms = |range: std::ops::Range<u64>| Duration::from_millis(rng.u64(range));
        let drains = ms(0..5_000);
        let stops = drains + Duration::from_secs(5) + ms(0..4_000);
        let replaced = stops + ms(1_000..3_000);
        let returns = replaced + ms(1_000..4_000);
        let (grace, wait) = (ms(100..1_000), ms(322..3_000));
        let front_ends = 1 + rng.usize(..4);
        Plan { front_ends, kind, other_fault, denial, drains, stops, replaced, returns, grace, wait }
    }

    /// The time after which nothing may be sent to the draining executors.
    fn forbidden_after(&self) -> Duration {
        self.kind.announced_after().max(self.drains) + self.grace + SLACK + READ_LATE
    }

    /// The limit of questions in an outage: two for each executor, each front end and each half of a grace.
    fn max_questions(&self) -> usize {
        let graces = self.returns.as_millis() / (self.grace.as_millis() / 2);
        2 * self.front_ends * EXECUTORS * graces as usize
    }
}

/// An executor that refuses work once it drains.
struct Server {
    executor: Executor,
    port: Arc<ReservedPort>,
    drains: Arc<AtomicBool>,
    hangs: Arc<AtomicBool>,
    /// Number of connections closed so far.
    connections_closed: AtomicUsize,
}

impl Server {
    fn on(port: Arc<ReservedPort>, listener: TcpListener, denial: Denial) -> Server {
        let (drains, hangs) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let (drains_now, hangs_now) = (drains.clone(), hangs.clone());
        let script = move |s: &ReceivedLine| match (s.kind.as_str(), drains_now.load(Ordering::Relaxed)) {
            _ if hangs_now.load(Ordering::Relaxed) => vec![],
            // Some calls are served while it drains.
            ("FN", true) if !s.req.ends_with(['0', '8']) => vec![ScriptStep::Write(answer_line("SHED", s))],
            ("FN", true) => vec![ScriptStep::Wait(WORK), ScriptStep::Write(hit_line(s))],
            ("HELO", true) if denial == Denial::Probe => vec![ScriptStep::Write(answer_line("SICK", s))],
            ("SPAWN", true) if denial == Denial::Order => vec![ScriptStep::Write(answer_line("SHED", s))],
            ("FN", false) => vec![ScriptStep::Wait(WORK), ScriptStep::Write(hit_line(s))],
            _ => succeed(s),
        };
        let executor = Executor::on(listener, usize::MAX, script).unwrap();
        Server { executor, port, drains, hangs, connections_closed: AtomicUsize::new(0) }
    }

    /// Closes all connections that were accepted since the last call.
    fn close_connections(&self) {
        let up_to = self.executor.connections.accepted.load(Ordering::Relaxed);
        for connection in self.connections_closed.swap(up_to, Ordering::Relaxed)..up_to {
            self.executor.close(connection);
        }
    }

    fn start(denial: Denial) -> Server {
        let port = Arc::new(ReservedPort::reserve().unwrap());
        let listener = port.listen().unwrap();
        Server::on(port, listener, denial)
    }

    /// The number of calls and load orders that have arrived since then: what a draining executor must not
    /// get.
    fn sends_since(&self, since: Instant) -> usize {
        let is_work = |s: &ReceivedLine| {
            s.kind == "FN" || s.kind == "SPAWN" && s.line["meta"]["slots_up"].as_u64() != Some(0)
        };
        self.executor.received().iter().filter(|s| s.at > since && is_work(s)).count()
    }
}

/// The calls that have ended: when each was sent, and whether it was served.
type EndedCalls = Mutex<Vec<(Instant, bool)>>;

/// Senders that call a front end until they are stopped.
struct Load {
    ended: Arc<EndedCalls>,
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn start(front: &FrontEnd, ids: &Arc<AtomicU64>, wait: Duration) -> Load {
        let (ended, stop) = (Arc::<EndedCalls>::default(), Arc::<AtomicBool>::default());
        let sender = |_| {
            let (ended, stop, ids, address) = (ended.clone(), stop.clone(), ids.clone(), front.address);
            std::thread::spawn(move || call_until(&stop, &ended, &ids, (address, wait)))
        };
        let threads = (0..SENDERS).map(sender).collect();
        Load { ended, stop, threads }
    }

    fn finish(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| t.join().unwrap());
    }
}

/// Makes calls one after another until `stop` is set.
fn call_until(
    stop: &AtomicBool,
    ended: &EndedCalls,
    ids: &AtomicU64,
    (address, wait): (SocketAddr, Duration),
) {
    let connect = || WebConnection::connect(address).ok();
    let mut web = connect();
    while !stop.load(Ordering::Relaxed) {
        let n = ids.fetch_add(1, Ordering::Relaxed);
        let ask = WebRequest {
            key: format!("{:016x}", n % FUNCTIONS),
            wait_ms: wait.as_millis() as u64,
            ..WebRequest::new(n)
        };
        let sent = Instant::now();
        let answer = web.as_mut().and_then(|web| web.send(1, &ask).and_then(|()| web.answer()).ok());
        let served = answer.is_some_and(|a| a.status == 200 && a.body == ask.body);
        ended.lock().unwrap().push((sent, served));
        if !served {
            web = connect();
        }
        std::thread::sleep(PAUSE);
    }
}

/// Front ends, executors and discovery on one machine.
struct Fleet {
    discovery: DiscoveryServer,
    servers: Vec<Server>,
    front_ends: Vec<FrontEnd>,
    loads: Vec<Load>,
    ids: Arc<AtomicU64>,
    config: Value,
    plan: Plan,
}

/// What was measured in an outage.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    /// Calls and load orders that draining executors got after the grace.
    past_grace: usize,
    /// Calls and load orders that successors at the addresses of removed executors got before they were
    /// announced.
    to_successors: usize,
    /// Share of the calls sent in the outage that was served.
    served: f64,
    /// Number of questions that executors were asked during the outage.
    questions: usize,
    /// From the return of discovery until all front ends have received its events, and until their lists are
    /// fresh.
    events_after: Duration,
    fresh_after: Duration,
}

impl Fleet {
    fn start(plan: Plan) -> Fleet {
        let discovery = DiscoveryServer::start(2).unwrap();
        let servers: Vec<_> = (0..EXECUTORS).map(|_| Server::start(plan.denial)).collect();
        let listed =
            servers.iter().enumerate().map(|(n, s)| list_member(id(n), s.executor.address, "in_service"));
        let mut config =
            configuration("127.0.0.1:0".parse().unwrap(), discovery.address, &listed.collect::<Vec<_>>());
        config["settings"]["rules"]["stopSendingWithin"] = json!(plan.grace.as_micros() as u64);
        let front_ends: Vec<_> = (0..plan.front_ends).map(|_| FrontEnd::start(config.clone())).collect();
        let ids = Arc::new(AtomicU64::new(1));
        let loads = front_ends.iter().map(|f| Load::start(f, &ids, plan.wait)).collect();
        Fleet { discovery, servers, front_ends, loads, ids, config, plan }
    }

    /// Kills a front end and restarts it with its earlier configuration.
    fn restart(&mut self, n: usize) {
        self.loads[n].finish();
        self.front_ends[n].kill();
        self.front_ends[n] = FrontEnd::start(self.config.clone());
        self.loads[n] = Load::start(&self.front_ends[n], &self.ids, self.plan.wait);
    }

    /// All executors, those with the most calls first.
    fn busiest(&self) -> Vec<usize> {
        let mut all: Vec<usize> = (0..EXECUTORS).collect();
        all.sort_by_key(|n| std::cmp::Reverse(self.servers[*n].executor.received_of_kind("FN").len()));
        all
    }

    fn begin_outage(&self, kind: OutageKind) {
        match kind {
            OutageKind::Silent => self.discovery.set_behaviour(Behaviour::Silent),
            OutageKind::Refuses => self.discovery.set_refusing(true),
            OutageKind::EndsAndIsSilent | OutageKind::Flaps => {
                self.discovery.set_behaviour(Behaviour::Silent);
                self.discovery.disconnect_all();
            }
            OutageKind::Moves => {
                self.follow(unused_address());
                self.discovery.set_behaviour(Behaviour::Silent);
            }
        }
    }

    fn end_outage(&self, kind: OutageKind) {
        self.discovery.set_behaviour(Behaviour::Normal);
        self.discovery.set_refusing(false);
        if kind == OutageKind::Moves {
            self.follow(self.discovery.address);
        }
    }

    /// Has all front ends follow discovery at another address.
    fn follow(&self, discovery: SocketAddr) {
        let mut config = self.config.clone();
        config["board"] = json!(discovery);
        for front in &self.front_ends {
            let mut own = config.clone();
            own["listen"] = front.config["listen"].clone();
            front.replace_config(&own.to_string());
            front.signal("-HUP");
        }
    }

    /// Waits until a moment and repeats meanwhile the faults that are repeated.
    fn wait_until(&self, end: Instant) {
        while Instant::now() < end {
            std::thread::sleep(end.saturating_duration_since(Instant::now()).min(CLOSE_INTERVAL));
            if self.plan.kind == OutageKind::Flaps {
                self.discovery.disconnect_all();
            }
            if self.plan.other_fault == OtherFault::Disconnects {
                self.servers.iter().for_each(Server::close_connections);
            }
        }
    }

    /// Runs the outage and measures its effects.
    fn run(mut self) -> Outcome {
        let plan = self.plan;
        std::thread::sleep(WARM_UP);
        let busiest = self.busiest();
        let leaving = busiest[..2].to_vec();
        let began = Instant::now();
        self.begin_outage(plan.kind);
        self.wait_until(began + plan.drains);
        for &n in &leaving {
            self.servers[n].drains.store(true, Ordering::Relaxed);
        }
        self.announce(&leaving, DRAINING);
        self.wait_until(began + plan.drains + AFTER_BREAK);
        match plan.other_fault {
            OtherFault::Restart => self.restart(0),
            OtherFault::Hang => self.servers[busiest[2]].hangs.store(true, Ordering::Relaxed),
            OtherFault::Nothing | OtherFault::Disconnects => {}
        }
        self.wait_until(began + plan.stops);
        let forbidden = began + plan.forbidden_after();
        let past_grace = leaving.iter().map(|&n| self.servers[n].sends_since(forbidden)).sum();
        leaving.iter().for_each(|&n| self.servers[n].executor.stop());
        self.announce(&leaving, GONE);
        self.wait_until(began + plan.replaced);
        let successors: Vec<_> = leaving.iter().map(|&n| self.replace(n)).collect();
        self.wait_until(began + plan.returns);
        let to_successors = successors.iter().map(|s| s.sends_since(began)).sum();
        if past_grace + to_successors > 0 {
            self.write_logs(began, &successors);
        }
        let questions = self.questions_since(began) + successors.iter().map(questions).sum::<usize>();
        let ended = Instant::now();
        let count = |words: &str| {
            let lines_of =
                |front: &FrontEnd| front.log_lines().iter().filter(|line| line.contains(words)).count();
            self.front_ends.iter().map(lines_of).collect::<Vec<_>>()
        };
        let (events_before, fresh_before) = (count(EVENTS_ARRIVE), count(FRESH_AGAIN));
        // The other fault ends with the outage, since the following calls test the return of discovery alone.
        self.servers.iter().for_each(|server| server.hangs.store(false, Ordering::Relaxed));
        self.end_outage(plan.kind);
        let all = |words: &str, before: &[usize]| {
            wait_until(|| count(words).iter().zip(before).all(|(now, before)| now > before))
        };
        assert!(all(EVENTS_ARRIVE, &events_before), "{:?}", self.front_ends[0].log_lines());
        let events_after = ended.elapsed();
        assert!(all(FRESH_AGAIN, &fresh_before), "{:?}", self.front_ends[0].log_lines());
        let fresh_after = ended.elapsed();
        self.call_new_functions();
        assert!(successors.iter().any(|s| s.sends_since(ended) > 0), "announced successors got no work");
        self.loads.iter_mut().for_each(Load::finish);
        let mut all: Vec<(Instant, bool)> = Vec::new();
        self.loads.iter().for_each(|load| all.extend(load.ended.lock().unwrap().iter()));
        all.retain(|(sent, _)| (began..ended).contains(sent));
        let served = all.iter().filter(|(_, served)| *served).count() as f64 / all.len() as f64;
        Outcome { past_grace, to_successors, served, questions, events_after, fresh_after }
    }

    /// Writes the logs of the front ends, and what the successors have received, for the trace of a failure.
    fn write_logs(&self, began: Instant, successors: &[Server]) {
        for front in &self.front_ends {
            write_artifact(&format!("outage-front-end-{}.log", front.pid()), &front.log_lines().join("\n"));
        }
        for (n, successor) in successors.iter().enumerate() {
            let received = successor.executor.received();
            let line = |s: &ReceivedLine| format!("{:?} after the beginning: {}", s.at - began, s.line);
            let lines: Vec<String> = received.iter().map(line).collect();
            let name = format!("outage-{}-successor-{n}.log", self.front_ends[0].pid());
            write_artifact(&name, &lines.join("\n"));
        }
    }

    /// Calls functions that were not called before, which are assigned to the successors too.
    fn call_new_functions(&self) {
        for n in 0..4 * EXECUTORS as u64 {
            let key = format!("{:016x}", 1_000 + n);
            let answer = self.front_ends[0].call(&WebRequest { key, ..WebRequest::new(1 << 32 | n) });
            assert_eq!(answer.status, 200, "new function {n}");
        }
    }

    fn announce(&self, leaving: &[usize], state: u8) {
        let of = |&n: &usize| record(id(n), self.servers[n].executor.address, state);
        self.discovery.send_changes(&leaving.iter().map(of).collect::<Vec<_>>());
    }

    /// Starts another executor, with a new id, at the address of a removed one.
    fn replace(&self, n: usize) -> Server {
        let port = self.servers[n].port.clone();
        let mut listener = None;
        assert!(wait_until(|| {
            listener = port.listen().ok();
            listener.is_some()
        }));
        self.discovery.send_changes(&[record(id(n + EXECUTORS), port.address(), READY)]);
        Server::on(port, listener.unwrap(), self.plan.denial)
    }

    fn questions_since(&self, since: Instant) -> usize {
        let of = |s: &Server| s.executor.received().iter().filter(|s| s.at > since && is_question(s)).count();
        self.servers.iter().map(of).sum()
    }
}

fn is_question(s: &ReceivedLine) -> bool {
    let asks = s.kind == "SPAWN" && s.line["meta"]["slots_up"].as_u64() == Some(0);
    asks || s.kind == "HELO" || s.kind == "TOP"
}

fn questions(server: &Server) -> usize {
    server.executor.received().iter().filter(|s| is_question(s)).count()
}

/// Checks that the drain rule was kept and that ready executors went on serving.
fn check(plan: &Plan, outcome: &Outcome) {
    let text = format!("{plan:?}: {outcome:?}");
    assert_eq!((outcome.past_grace, outcome.to_successors), (0, 0), "{text}");
    assert!(outcome.served >= 0.9, "{text}");
    assert!(outcome.questions < plan.max_questions(), "{text}");
    assert!(outcome.events_after < EVENTS_TIMEOUT && outcome.fresh_after < FRESH_TIMEOUT, "{text}");
}

/// Runs these outages at the same time and checks their outcomes.
fn run_and_check(plans: &[Plan]) {
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let run = |&plan| scope.spawn(move || Fleet::start(plan).run());
        let threads: Vec<_> = plans.iter().map(run).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    for (plan, outcome) in plans.iter().zip(&outcomes) {
        println!("{plan:?}: {outcome:?}");
    }
    plans.iter().zip(&outcomes).for_each(|(plan, outcome)| check(plan, outcome));
}

#[test]
fn drains_are_respected_while_discovery_is_unreachable() {
    let plan = |front_ends, kind| Plan::new(front_ends, kind, OtherFault::Nothing);
    run_and_check(&[
        plan(2, OutageKind::Silent),
        plan(2, OutageKind::Refuses),
        plan(4, OutageKind::EndsAndIsSilent),
    ]);
}

/// The outage of a front end that starts meanwhile does not begin with its start: its initial list may be as
/// old as the outage.
#[test]
fn drains_are_respected_by_a_front_end_that_starts_while_discovery_is_unreachable() {
    run_and_check(&[Plan::new(2, OutageKind::Silent, OtherFault::Restart)]);
}

#[test]
fn drains_are_respected_while_discovery_flaps_or_its_new_address_is_wrong() {
    let plan = |kind, denial| Plan { denial, ..Plan::new(2, kind, OtherFault::Nothing) };
    run_and_check(&[plan(OutageKind::Flaps, Denial::Order), plan(OutageKind::Moves, Denial::Probe)]);
}

#[test]
fn drains_are_respected_while_executors_fail_in_an_outage() {
    run_and_check(&[
        Plan::new(2, OutageKind::Silent, OtherFault::Hang),
        Plan::new(2, OutageKind::Refuses, OtherFault::Disconnects),
    ]);
}

/// Seeds that are run by default. `OUTAGE_SEEDS=1-50` runs more, four at a time.
const SEEDS: &str = "1-4";

#[test]
fn drains_are_respected_in_random_outages() {
    let seeds = std::env::var("OUTAGE_SEEDS").unwrap_or(SEEDS.into());
    let (first, last) = seeds.split_once('-').expect("OUTAGE_SEEDS is FIRST-LAST");
    let all: Vec<u64> = (first.parse().unwrap()..=last.parse().unwrap()).collect();
    for seeds in all.chunks(4) {
        println!("seeds {seeds:?}");
        run_and_check(&seeds.iter().map(|seed| Plan::random(*seed)).collect::<Vec<_>>());
    }
}
