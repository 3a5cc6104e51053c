//! Service discovery out of reach for longer than the protocol's clocks, while busy executors drain.
//!
//! What users saw: executors that drained went on being sent calls and orders to load, by every front end, until discovery
//! was back; the calls were turned away and served elsewhere, so that no client noticed, and the drain rule was broken.
//! Order of events: discovery goes out of reach; two busy executors begin to drain and stay up; 2 s after a break or 4 s
//! after silence began the drain counts as told; 0.3 s of grace later sends go on as before; both go, and another process
//! listens at their addresses.
//! Cause: the list of executors had no age. Discovery tells changes only, so that its silence read as "nothing changed".
//! Evidence: sends to the draining executors go on until these are gone, though discovery is asked again and again; most are
//! turned away, and the next call goes there all the same (`World::play` counts them). docs/incidents/discovery-outage.md has
//! the figures.

use crate::rig::{id, Front};
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
/// Functions that are called; all executors are in use.
const FUNCTIONS: u64 = 24;
/// Senders at each front end, and the pause between two calls of one: 40 calls a second.
const SENDERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(80);
/// Time of a call at an executor.
const WORK: Duration = Duration::from_millis(20);
/// Calls before the outage.
const WARM_UP: Duration = Duration::from_millis(2_500);
/// What counts as told 2 s after a break, and 4 s after silence began.
const AFTER_BREAK: Duration = Duration::from_secs(2);
const AFTER_SILENCE: Duration = Duration::from_secs(4);
/// The protocol's slack, and what a busy machine may add between a first byte and its being read here.
const SLACK: Duration = Duration::from_millis(50);
const READ_LATE: Duration = Duration::from_millis(250);
/// Discovery's events are taken in by then, and the list is relied on: an empty frame comes each second. With what a busy
/// machine adds.
const RELIED_ON: Duration = Duration::from_millis(4_000);
const TAKEN_IN: Duration = Duration::from_millis(1_500);

/// What front ends log when events come, and when they rely on the list again. They do the latter after their start as well.
const TELLS_EVENTS: &str = "tells events while the list of executors is stale";
const FRESH_AGAIN: &str = "fresh again";
/// Between two ends of connections, where these go on.
const AGAIN: Duration = Duration::from_millis(500);

/// How discovery goes out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Connections stay open and say nothing, as do new ones.
    Silent,
    /// Connections end, new ones are refused.
    Refuses,
    /// Connections end, new ones come up and say nothing.
    EndsAndIsSilent,
    /// The same again and again.
    Flaps,
    /// SIGHUP names an address where nobody listens.
    Moves,
}

/// By which of the questions an executor that drains denies to take work; it answers the other one well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Denial {
    Probe,
    Order,
}

/// What else fails meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// A front end is killed, and started with the configuration of before.
    Restart,
    /// An executor that does not drain answers nothing any more.
    Hang,
    /// Executors end all of their connections twice a second.
    Disconnects,
}

impl Kind {
    fn told_after(self) -> Duration {
        match self {
            Kind::Silent | Kind::Moves => AFTER_SILENCE,
            Kind::Refuses | Kind::EndsAndIsSilent | Kind::Flaps => AFTER_BREAK,
        }
    }
}

/// An outage in which the two busiest executors drain and are replaced, and what else fails in it. Times from its start.
#[derive(Clone, Copy, Debug)]
struct Plan {
    fronts: usize,
    kind: Kind,
    beside: Beside,
    denial: Denial,
    /// They begin to drain, are gone, and others have their addresses.
    drains: Duration,
    go: Duration,
    replaced: Duration,
    /// Discovery is back.
    returns: Duration,
    /// `rules.stopSendingWithin`.
    grace: Duration,
    /// How long clients wait.
    wait: Duration,
}

impl Plan {
    fn new(fronts: usize, kind: Kind, beside: Beside) -> Plan {
        let ms = Duration::from_millis;
        let (drains, go, replaced, returns) = (ms(300), ms(7_000), ms(8_000), ms(10_000));
        let (grace, wait) = (ms(300), ms(2_000));
        Plan { fronts, kind, beside, denial: Denial::Probe, drains, go, replaced, returns, grace, wait }
    }

    /// One that follows from a seed.
    fn drawn(seed: u64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let kinds = [Kind::Silent, Kind::Refuses, Kind::EndsAndIsSilent, Kind::Flaps, Kind::Moves];
        let besides = [Beside::Nothing, Beside::Restart, Beside::Hang, Beside::Disconnects];
        let kind = kinds[rng.usize(..kinds.len())];
        let beside = besides[rng.usize(..besides.len())];
        let denial = if rng.bool() { Denial::Probe } else { Denial::Order };
        let mut ms = |range: std::ops::Range<u64>| Duration::from_millis(rng.u64(range));
        let drains = ms(0..5_000);
        let go = drains + Duration::from_secs(5) + ms(0..4_000);
        let replaced = go + ms(1_000..3_000);
        let returns = replaced + ms(1_000..4_000);
        let (grace, wait) = (ms(100..1_000), ms(322..3_000));
        let fronts = 1 + rng.usize(..4);
        Plan { fronts, kind, beside, denial, drains, go, replaced, returns, grace, wait }
    }

    /// From then on nothing goes to those that drain.
    fn forbidden_after(&self) -> Duration {
        self.kind.told_after().max(self.drains) + self.grace + SLACK + READ_LATE
    }

    /// Two for each executor of each front end and half of a grace, through the outage.
    fn most_questions(&self) -> usize {
        let graces = self.returns.as_millis() / (self.grace.as_millis() / 2);
        2 * self.fronts * EXECUTORS * graces as usize
    }
}

/// An executor that turns work away once it drains.
struct Server {
    executor: Executor,
    port: Arc<ReservedPort>,
    drains: Arc<AtomicBool>,
    hangs: Arc<AtomicBool>,
    connections_ended: AtomicUsize,
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
        Server { executor, port, drains, hangs, connections_ended: AtomicUsize::new(0) }
    }

    /// Ends all connections that have come up since the last time.
    fn end_connections(&self) {
        let up_to = self.executor.connections.accepted.load(Ordering::Relaxed);
        for connection in self.connections_ended.swap(up_to, Ordering::Relaxed)..up_to {
            self.executor.close(connection);
        }
    }

    fn start(denial: Denial) -> Server {
        let port = Arc::new(ReservedPort::reserve().unwrap());
        let listener = port.listen().unwrap();
        Server::on(port, listener, denial)
    }

    /// What the drain rule forbids that has come since a moment.
    fn sends_since(&self, since: Instant) -> usize {
        let binds = |s: &ReceivedLine| {
            s.kind == "FN" || s.kind == "SPAWN" && s.line["meta"]["slots_up"].as_u64() != Some(0)
        };
        self.executor.received().iter().filter(|s| s.at > since && binds(s)).count()
    }
}

/// Calls as they ended: when sent, and whether served.
type Ended = Mutex<Vec<(Instant, bool)>>;

/// Calls a front end at the test's pace until told otherwise.
struct Load {
    ended: Arc<Ended>,
    over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn begin(front: &Front, ids: &Arc<AtomicU64>, wait: Duration) -> Load {
        let (ended, over) = (Arc::<Ended>::default(), Arc::<AtomicBool>::default());
        let sender = |_| {
            let (ended, over, ids, address) = (ended.clone(), over.clone(), ids.clone(), front.address);
            std::thread::spawn(move || call_until(&over, &ended, &ids, (address, wait)))
        };
        let threads = (0..SENDERS).map(sender).collect();
        Load { ended, over, threads }
    }

    fn end(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| t.join().unwrap());
    }
}

fn call_until(over: &AtomicBool, ended: &Ended, ids: &AtomicU64, (address, wait): (SocketAddr, Duration)) {
    let connect = || WebConnection::connect(address).ok();
    let mut web = connect();
    while !over.load(Ordering::Relaxed) {
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
struct World {
    board: DiscoveryServer,
    servers: Vec<Server>,
    fronts: Vec<Front>,
    loads: Vec<Load>,
    ids: Arc<AtomicU64>,
    config: Value,
    plan: Plan,
}

/// What an outage led to.
#[derive(Clone, Copy, Debug)]
struct Verdict {
    /// Sends past clock and grace to executors that drain.
    past_grace: usize,
    /// Sends to newcomers at the addresses of the gone, while nobody had told of them.
    to_newcomers: usize,
    /// Share of the calls sent in the outage that was served.
    served: f64,
    /// Questions that executors were asked in it.
    questions: usize,
    /// From discovery's return until all front ends have taken its events in, and until they rely on it again.
    taken_in: Duration,
    relied_on: Duration,
}

impl World {
    fn start(plan: Plan) -> World {
        let board = DiscoveryServer::start(2).unwrap();
        let servers: Vec<_> = (0..EXECUTORS).map(|_| Server::start(plan.denial)).collect();
        let listed =
            servers.iter().enumerate().map(|(n, s)| list_member(id(n), s.executor.address, "in_service"));
        let mut config =
            configuration("127.0.0.1:0".parse().unwrap(), board.address, &listed.collect::<Vec<_>>());
        config["settings"]["rules"]["stopSendingWithin"] = json!(plan.grace.as_micros() as u64);
        let fronts: Vec<_> = (0..plan.fronts).map(|_| Front::start(config.clone())).collect();
        let ids = Arc::new(AtomicU64::new(1));
        let loads = fronts.iter().map(|f| Load::begin(f, &ids, plan.wait)).collect();
        World { board, servers, fronts, loads, ids, config, plan }
    }

    /// Kills a front end and starts it again with the configuration of before.
    fn restart(&mut self, n: usize) {
        self.loads[n].end();
        self.fronts[n].kill();
        self.fronts[n] = Front::start(self.config.clone());
        self.loads[n] = Load::begin(&self.fronts[n], &self.ids, self.plan.wait);
    }

    /// The executors that served most, busiest first.
    fn busiest(&self) -> Vec<usize> {
        let mut all: Vec<usize> = (0..EXECUTORS).collect();
        all.sort_by_key(|n| std::cmp::Reverse(self.servers[*n].executor.received_of_kind("FN").len()));
        all
    }

    fn begin_outage(&self, kind: Kind) {
        match kind {
            Kind::Silent => self.board.set_behaviour(Behaviour::Silent),
            Kind::Refuses => self.board.set_refusing(true),
            Kind::EndsAndIsSilent | Kind::Flaps => {
                self.board.set_behaviour(Behaviour::Silent);
                self.board.disconnect_all();
            }
            Kind::Moves => {
                self.follow(unused_address());
                self.board.set_behaviour(Behaviour::Silent);
            }
        }
    }

    fn end_outage(&self, kind: Kind) {
        self.board.set_behaviour(Behaviour::Normal);
        self.board.set_refusing(false);
        if kind == Kind::Moves {
            self.follow(self.board.address);
        }
    }

    /// Has all front ends follow discovery at another address.
    fn follow(&self, board: SocketAddr) {
        let mut config = self.config.clone();
        config["board"] = json!(board);
        for front in &self.fronts {
            let mut own = config.clone();
            own["listen"] = front.config["listen"].clone();
            front.replace(&own.to_string());
            front.signal("-HUP");
        }
    }

    /// Waits until so long after the outage began; meanwhile goes wrong what does so again and again.
    fn wait_until(&self, end: Instant) {
        while Instant::now() < end {
            std::thread::sleep(end.saturating_duration_since(Instant::now()).min(AGAIN));
            if self.plan.kind == Kind::Flaps {
                self.board.disconnect_all();
            }
            if self.plan.beside == Beside::Disconnects {
                self.servers.iter().for_each(Server::end_connections);
            }
        }
    }

    /// Plays the outage.
    fn play(mut self) -> Verdict {
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
        self.tell(&leaving, DRAINING);
        self.wait_until(began + plan.drains + AFTER_BREAK);
        match plan.beside {
            Beside::Restart => self.restart(0),
            Beside::Hang => self.servers[busiest[2]].hangs.store(true, Ordering::Relaxed),
            Beside::Nothing | Beside::Disconnects => {}
        }
        self.wait_until(began + plan.go);
        let forbidden = began + plan.forbidden_after();
        let past_grace = leaving.iter().map(|&n| self.servers[n].sends_since(forbidden)).sum();
        leaving.iter().for_each(|&n| self.servers[n].executor.stop());
        self.tell(&leaving, GONE);
        self.wait_until(began + plan.replaced);
        let newcomers: Vec<_> = leaving.iter().map(|&n| self.replace(n)).collect();
        self.wait_until(began + plan.returns);
        let to_newcomers = newcomers.iter().map(|s| s.sends_since(began)).sum();
        let questions = self.questions_since(began) + newcomers.iter().map(questions).sum::<usize>();
        let ended = Instant::now();
        let count = |words: &str| {
            let of = |front: &Front| front.lines().iter().filter(|line| line.contains(words)).count();
            self.fronts.iter().map(of).collect::<Vec<_>>()
        };
        let (events_before, fresh_before) = (count(TELLS_EVENTS), count(FRESH_AGAIN));
        // What else failed ends with it: the calls to come are about discovery's return alone.
        self.servers.iter().for_each(|server| server.hangs.store(false, Ordering::Relaxed));
        self.end_outage(plan.kind);
        let all = |words: &str, before: &[usize]| {
            wait_until(|| count(words).iter().zip(before).all(|(now, before)| now > before))
        };
        assert!(all(TELLS_EVENTS, &events_before), "{:?}", self.fronts[0].lines());
        let taken_in = ended.elapsed();
        assert!(all(FRESH_AGAIN, &fresh_before), "{:?}", self.fronts[0].lines());
        let relied_on = ended.elapsed();
        self.call_new_functions();
        assert!(newcomers.iter().any(|s| s.sends_since(ended) > 0), "newcomers are taken in");
        self.loads.iter_mut().for_each(Load::end);
        let mut all: Vec<(Instant, bool)> = Vec::new();
        self.loads.iter().for_each(|load| all.extend(load.ended.lock().unwrap().iter()));
        all.retain(|(sent, _)| (began..ended).contains(sent));
        let served = all.iter().filter(|(_, served)| *served).count() as f64 / all.len() as f64;
        Verdict { past_grace, to_newcomers, served, questions, taken_in, relied_on }
    }

    /// Functions that nobody has called before go to newcomers too.
    fn call_new_functions(&self) {
        for n in 0..4 * EXECUTORS as u64 {
            let key = format!("{:016x}", 1_000 + n);
            let answer = self.fronts[0].call(&WebRequest { key, ..WebRequest::new(1 << 32 | n) });
            assert_eq!(answer.status, 200, "new function {n}");
        }
    }

    fn tell(&self, leaving: &[usize], state: u8) {
        let of = |&n: &usize| record(id(n), self.servers[n].executor.address, state);
        self.board.send_changes(&leaving.iter().map(of).collect::<Vec<_>>());
    }

    /// Another executor at the address of one that has gone, under an id of its own.
    fn replace(&self, n: usize) -> Server {
        let port = self.servers[n].port.clone();
        let mut listener = None;
        assert!(wait_until(|| {
            listener = port.listen().ok();
            listener.is_some()
        }));
        self.board.send_changes(&[record(id(n + EXECUTORS), port.address(), READY)]);
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

/// No rule is broken, and those executors that are ready go on serving.
fn kept(plan: &Plan, verdict: &Verdict) {
    let text = format!("{plan:?}: {verdict:?}");
    assert_eq!((verdict.past_grace, verdict.to_newcomers), (0, 0), "{text}");
    assert!(verdict.served >= 0.9, "{text}");
    assert!(verdict.questions < plan.most_questions(), "{text}");
    assert!(verdict.taken_in < TAKEN_IN && verdict.relied_on < RELIED_ON, "{text}");
}

/// Plays outages side by side.
fn play(plans: &[Plan]) {
    let verdicts: Vec<Verdict> = std::thread::scope(|scope| {
        let play = |&plan| scope.spawn(move || World::start(plan).play());
        let threads: Vec<_> = plans.iter().map(play).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    for (plan, verdict) in plans.iter().zip(&verdicts) {
        println!("{plan:?}: {verdict:?}");
    }
    plans.iter().zip(&verdicts).for_each(|(plan, verdict)| kept(plan, verdict));
}

/// However discovery goes out of reach, and however many front ends it is out of reach for.
#[test]
fn drains_are_kept_while_discovery_is_out_of_reach() {
    let plan = |fronts, kind| Plan::new(fronts, kind, Beside::Nothing);
    play(&[plan(2, Kind::Silent), plan(2, Kind::Refuses), plan(4, Kind::EndsAndIsSilent)]);
}

/// The outage did not begin anew with its start: the list that it is given may be as old as the outage.
#[test]
fn drains_are_kept_by_a_front_end_that_starts_while_discovery_is_out_of_reach() {
    play(&[Plan::new(2, Kind::Silent, Beside::Restart)]);
}

#[test]
fn drains_are_kept_while_discovery_flaps_and_where_it_moves_to_nowhere() {
    let plan = |kind, denial| Plan { denial, ..Plan::new(2, kind, Beside::Nothing) };
    play(&[plan(Kind::Flaps, Denial::Order), plan(Kind::Moves, Denial::Probe)]);
}

#[test]
fn drains_are_kept_while_executors_fail_in_an_outage() {
    play(&[Plan::new(2, Kind::Silent, Beside::Hang), Plan::new(2, Kind::Refuses, Beside::Disconnects)]);
}

/// Seeds played by default; `OUTAGE_SEEDS=1-50` plays more, four at a time.
const SEEDS: &str = "1-4";

#[test]
fn drains_are_kept_in_outages_drawn_from_seeds() {
    let seeds = std::env::var("OUTAGE_SEEDS").unwrap_or(SEEDS.into());
    let (first, last) = seeds.split_once('-').expect("OUTAGE_SEEDS is FIRST-LAST");
    let all: Vec<u64> = (first.parse().unwrap()..=last.parse().unwrap()).collect();
    for seeds in all.chunks(4) {
        println!("seeds {seeds:?}");
        play(&seeds.iter().map(|seed| Plan::drawn(*seed)).collect::<Vec<_>>());
    }
}
