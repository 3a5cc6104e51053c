//! Measures the configuration stream: how long a version takes to reach all front ends, what a change of the
//! router costs calls under load, and the bytes and memory that versions take. It also checks the versions
//! that front ends report against their behaviour at full size. Machines are noisy: compare growth and
//! ratios, not absolute figures.
//!
//! `cargo bench -p badgerwind-cli --bench config`

#[path = "../tests/rig/mod.rs"]
mod rig;
#[path = "../tests/rig/version_reports.rs"]
mod version_reports;

use badgerwind_check::{Answer, Event};
use badgerwind_cli::day::{run_day, Args};
use badgerwind_config::client::{Action, Client, Input, Timing};
use badgerwind_config::wire::DiscoveryResponse;
use badgerwind_config::Kind;
use badgerwind_http::{Exchange, Pool, PoolLimits};
use badgerwind_settings::document::parse;
use badgerwind_standins::reserved::ReservedPort;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FILE: &str = include_str!("../../badgerwind-settings/tests/example.xml");

fn limits(n: u64) -> String {
    format!("<badgerwind version=\"1\"><webhook connections=\"{}\"/></badgerwind>\n", 1000 + n)
}

/// Follows the stream as a front end does, but without a gateway: preparing, storing and applying succeed at
/// once.
async fn follow(
    name: String,
    at: SocketAddr,
    began: Instant,
    seen: Arc<dyn Fn(u64, Duration) + Send + Sync>,
    sent: Arc<AtomicU64>,
) {
    let file = parse("file.xml", FILE).unwrap();
    let times = Timing { stage_timeout: 1_000_000, min_backoff: 50_000, max_backoff: 1_000_000 };
    let (mut client, ..) = Client::new((name, "c".into()), file, vec![], times).unwrap();
    let time = Duration::from_secs(30);
    let pool = Pool::new(
        at,
        PoolLimits { max_connections: 8, connect_timeout: time, idle_timeout: time, max_body_bytes: 1 << 20 },
    );
    let (mut todo, mut out) = (Vec::new(), Vec::new());
    client.start(0, &mut out);
    loop {
        todo.append(&mut out);
        let now = began.elapsed().as_micros() as u64;
        // Requests for kinds of which no versions are published are not sent.
        let next =
            todo.iter().position(|d| !matches!(d, Action::SendRequest { kind, .. } if *kind != Kind::Limits));
        let Some(n) = next else { return };
        let input = match todo.remove(n) {
            Action::Prepare { ticket, .. } => Input::Prepared { ticket, result: Ok(()) },
            Action::Store { ticket, .. } => Input::Stored { ticket, result: Ok(()) },
            Action::Apply { ticket, .. } => Input::Applied { ticket },
            Action::SendRequest { kind, request_id, request } => {
                if let Ok(version) = request.version_info.parse() {
                    seen(version, began.elapsed());
                }
                let body = serde_json::to_vec(&request).unwrap();
                sent.fetch_add(body.len() as u64, Ordering::Relaxed);
                let target = format!("/v3/discovery:{}?wait=5000", kind.name());
                let ask_it = Exchange { method: "POST", target, headers: vec![], body: body.into() };
                match pool.exchange(&ask_it).await {
                    Ok((head, body)) => {
                        sent.fetch_add(body.len() as u64, Ordering::Relaxed);
                        let response = (head.status == 200)
                            .then(|| serde_json::from_slice::<DiscoveryResponse>(&body).unwrap());
                        Input::Response { kind, request_id, response }
                    }
                    Err(_) => return,
                }
            }
        };
        client.handle(now, input, &mut out);
    }
}

/// Resident memory of a process, in KiB.
fn resident(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("VmRSS: 0");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Measures the time from publishing a version to its acknowledgement by each front end.
fn measure_propagation(front_ends: usize) {
    const VERSIONS: u64 = 25;
    let dir = tempfile::tempdir().unwrap();
    let port = ReservedPort::reserve().unwrap();
    let at = port.address();
    let _service = version_reports::Service::start(dir.path(), at);
    std::fs::create_dir_all(dir.path().join("limits")).unwrap();
    smol::block_on(async {
        while smol::net::TcpStream::connect(at).await.is_err() {
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        let began = Instant::now();
        let acks: Arc<Mutex<BTreeMap<u64, Vec<Duration>>>> = Arc::default();
        let bytes = Arc::new(AtomicU64::new(0));
        let mut tasks = Vec::new();
        for n in 0..front_ends {
            let acks = acks.clone();
            let seen = Arc::new(move |v, t| {
                let mut acks = acks.lock().unwrap();
                acks.entry(v).or_default().push(t);
            });
            tasks.push(smol::spawn(follow(format!("f{n}"), at, began, seen, bytes.clone())));
        }
        smol::Timer::after(Duration::from_secs(1)).await;
        let before = bytes.load(Ordering::Relaxed);
        let (mut each, mut all) = (Histogram::<u64>::new(3).unwrap(), Histogram::<u64>::new(3).unwrap());
        for version in 1..=VERSIONS {
            let published = began.elapsed();
            std::fs::write(dir.path().join(format!("limits/{version}.part")), limits(version)).unwrap();
            let name = |e| dir.path().join(format!("limits/{version}.{e}"));
            std::fs::rename(name("part"), name("xml")).unwrap();
            while acks.lock().unwrap().get(&version).map_or(0, Vec::len) < front_ends {
                smol::Timer::after(Duration::from_millis(2)).await;
            }
            let acks = acks.lock().unwrap();
            let took = acks[&version]
                .iter()
                .take(front_ends)
                .map(|t| (t.saturating_sub(published)).as_micros() as u64);
            let took: Vec<u64> = took.collect();
            took.iter().for_each(|t| each.record(*t).unwrap());
            all.record(*took.iter().max().unwrap()).unwrap();
        }
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        println!(
            "  {front_ends:>4} front ends: acknowledged after p50 {:.0} ms, p99 {:.0} ms; by all after p50 {:.0} ms, p99 {:.0} ms; {} bytes a version and front end",
            ms(&each, 0.5), ms(&each, 0.99), ms(&all, 0.5), ms(&all, 0.99),
            (bytes.load(Ordering::Relaxed) - before) / VERSIONS / front_ends as u64
        );
    });
}

/// Plays a test day and returns, from its records, the latencies of the calls served, the number of calls and
/// of those served.
fn play_day(seed: u64, publish: bool) -> (Histogram<u64>, usize, usize) {
    let dir = tempfile::tempdir().unwrap();
    let script = dir.path().join("script.json");
    let events: Vec<_> = (1..20).map(|n| serde_json::json!({"at_ms": n * 700, "act": "publish"})).collect();
    let events = if publish { events } else { vec![] };
    std::fs::write(&script, serde_json::json!({"kinds": [], "events": events}).to_string()).unwrap();
    let folder = dir.path().join("day");
    std::fs::create_dir(&folder).unwrap();
    let args = Args {
        seed,
        seconds: 14,
        like: None,
        severity: Default::default(),
        load: None,
        fronts: None,
        runners: None,
        fenced: false,
        reckless: false,
        budgets: false,
        schedule: None,
        shrink: 0,
        script: Some(script),
        report: None,
        keep: None,
        gateway: Some(env!("CARGO_BIN_EXE_badgerwind").into()),
        standins: Some(env!("CARGO_BIN_EXE_badgerwind").into()),
    };
    let outcome = run_day(&args, &folder).unwrap();
    assert!(outcome.report.violations.is_empty() && outcome.process_failures.is_empty(), "{outcome:?}");
    let mut times = Histogram::new(3).unwrap();
    for name in ["record-senders-0.jsonl", "record-senders-1.jsonl"] {
        let lines = badgerwind_check::read(&std::fs::read_to_string(folder.join(name)).unwrap()).unwrap();
        let mut sent = BTreeMap::new();
        for l in lines {
            match l.event {
                Event::Sent { call, attempt, .. } => _ = sent.insert((call, attempt), l.at),
                Event::TryEnded { call, attempt, answer: Answer::Served, .. } => {
                    times.record(l.at - sent[&(call, attempt)]).unwrap();
                }
                _ => {}
            }
        }
    }
    let all = outcome.report.classes.values();
    let (calls, served) = all.fold((0, 0), |(c, s), x| (c + x.calls, s + x.served));
    (times, calls, served)
}

/// Measures the memory that stored versions take in the control service.
fn measure_memory(dir: &Path) {
    let port = ReservedPort::reserve().unwrap();
    let at = port.address();
    let service = version_reports::Service::start(dir, at);
    std::thread::sleep(Duration::from_secs(1));
    let before = resident(service.id());
    std::fs::create_dir_all(dir.join("limits")).unwrap();
    let long = " ".repeat(10_000);
    for n in 1..=1000 {
        std::fs::write(dir.join(format!("limits/{n}.xml")), limits(n) + &long).unwrap();
    }
    std::thread::sleep(Duration::from_secs(2));
    let grown = resident(service.id()).saturating_sub(before);
    println!(
        "  1000 versions of 10 kB: the service grows by {grown} KiB, {:.1} KiB a version",
        grown as f64 / 1e3
    );
}

fn main() {
    // `cargo test --benches` runs this program too, without `--bench`, and must not measure.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    if std::env::args().any(|a| a == "words") {
        return check_reports();
    }
    println!("from publishing to acknowledgement, waves off");
    for front_ends in [10, 100, 400] {
        measure_propagation(front_ends);
    }
    println!("stored versions");
    measure_memory(tempfile::tempdir().unwrap().path());
    println!("calls under load, three front ends: no change, and 19 versions in 14 s (13 of them change the router)");
    for seed in 1..=3 {
        let (plain, calls, served) = play_day(seed, false);
        let (changed, calls2, served2) = play_day(seed, true);
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        println!(
            "  seed {seed}: in time {:.4} and {:.4}; p50 {:.0} and {:.0} ms, p99 {:.0} and {:.0} ms",
            served as f64 / calls as f64,
            served2 as f64 / calls2 as f64,
            ms(&plain, 0.5),
            ms(&changed, 0.5),
            ms(&plain, 0.99),
            ms(&changed, 0.99)
        );
    }
    check_reports();
}

/// Checks the versions that front ends report against their behaviour.
fn check_reports() {
    println!("reported versions against behaviour: 20 front ends in this process and 4 of their own, 301 versions, a third of them bad, 10 kills");
    let checked = smol::block_on(version_reports::check(24, 4, 301, 10));
    println!("  {checked} reports checked, all correct; no rejected version was ever served");
}
