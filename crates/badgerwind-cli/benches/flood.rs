//! Measures valid calls during a flood of forged ones at ten times their rate: with the default limits, with
//! limits too large to have an effect, and without a flood, in turn within one run. Machines are noisy, and
//! the flood is generated on the machine that it hits: compare the ratios.
//!
//! `cargo bench -p badgerwind-cli --bench flood`

use badgerwind_cli::day::fleet::{Fleet, Programs};
use badgerwind_cli::day::world::World;
use badgerwind_gateway::secrets::read_key;
use badgerwind_http::{Exchange, Pool, PoolLimits};
use badgerwind_webhook::{sign, Key, KeyKind};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Valid calls a second, and the number of addresses that they come from.
const VALID_RATE: u64 = 200;
const VALID_SOURCES: u64 = 8;
/// Forged calls for each valid one, and the number of addresses that they come from.
const FORGED_PER_VALID: u64 = 10;
const FORGED_SOURCES: u64 = 50;
/// Length of one measurement.
const LENGTH: Duration = Duration::from_secs(4);
const PATH: &str = "/brolga-shire/check-answers/check-0";

fn request(key: &Key, id: &str, from: &str, bytes: usize) -> Exchange {
    let body = format!("{{\"work_us\": 50, \"mean_us\": 50, \"x\": \"{}\"}}", "x".repeat(bytes)).into_bytes();
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() as i64;
    let s = sign(std::slice::from_ref(key), id, seconds, &body);
    let headers = vec![
        ("webhook-id", s.id),
        ("webhook-timestamp", s.timestamp.to_string()),
        ("webhook-signature", s.signature),
        ("x-forwarded-for", from.to_owned()),
    ];
    Exchange { method: "POST", target: PATH.into(), headers, body: body.into() }
}

fn pool(to: SocketAddr) -> Pool {
    let time = Duration::from_secs(10);
    Pool::new(
        to,
        PoolLimits {
            max_connections: 2_000,
            connect_timeout: time,
            idle_timeout: time,
            max_body_bytes: 1 << 20,
        },
    )
}

/// User and system time of a process, in seconds.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    // Fields 14 and 15 of proc(5), in ticks of a hundredth of a second.
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

/// Counts of status codes, 0 standing for no answer, and the latencies.
#[derive(Default)]
struct Results {
    statuses: BTreeMap<u16, u64>,
    times: Option<Histogram<u64>>,
}

/// Posts at a steady rate, independent of the answers, until `stop` is set or the time is up. `from` is the
/// number of source addresses, which start with `name`.
fn post(
    to: SocketAddr,
    key: Key,
    (rate, from): (u64, u64),
    name: String,
    bytes: usize,
    stop: Arc<AtomicBool>,
) -> std::thread::JoinHandle<Results> {
    std::thread::spawn(move || {
        let results =
            Arc::new(Mutex::new(Results { times: Some(Histogram::new(3).unwrap()), ..Results::default() }));
        let local = smol::LocalExecutor::new();
        let pool = Arc::new(pool(to));
        smol::block_on(local.run(async {
            let (began, mut n, mut tasks) = (Instant::now(), 0u64, Vec::new());
            while began.elapsed() < LENGTH && !stop.load(Ordering::Relaxed) {
                // Each request has its own due time, however late the one before was sent.
                smol::Timer::at(began + Duration::from_micros(n * 1_000_000 / rate)).await;
                let due = began + Duration::from_micros(n * 1_000_000 / rate);
                let address = format!("{name}.{}", n % from + 1);
                let request = request(
                    &key,
                    &format!("{}-{n}-{}", name.replace('.', "_"), timestamp()),
                    &address,
                    bytes,
                );
                let (pool, results) = (pool.clone(), results.clone());
                tasks.push(local.spawn(async move {
                    let status = pool.exchange(&request).await.map_or(0, |(head, _)| head.status);
                    let mut results = results.lock().unwrap();
                    *results.statuses.entry(status).or_insert(0) += 1;
                    let took = due.elapsed().as_micros() as u64;
                    results.times.as_mut().unwrap().record(took).unwrap();
                }));
                n += 1;
            }
            for t in tasks {
                t.await;
            }
        }));
        Arc::into_inner(results).unwrap().into_inner().unwrap()
    })
}

/// Nanoseconds since 1970, which make the ids of each run unique.
fn timestamp() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos()
}

fn main() {
    // `cargo test --benches` runs this program too, without `--bench`, and must not measure.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let own = Path::new(env!("CARGO_BIN_EXE_badgerwind")).to_owned();
    let default_limits = "sources=\"10000\"".to_owned();
    let unlimited =
        "source-burst=\"1000000\" source-rate=\"1000000\" sender-burst=\"1000000\" sender-rate=\"1000000\"";
    for bytes in [1024, 64 * 1024] {
        println!(
            "bodies of {bytes} bytes, {VALID_RATE} valid calls a second, {} forged",
            VALID_RATE * FORGED_PER_VALID
        );
        let mut fleets = Vec::new();
        for guard in [default_limits.clone(), unlimited.to_owned()] {
            let mut world = World::draw(1, 5);
            (world.fronts, world.guard, world.loads_when_absent) = (1, Some(guard), true);
            world.runners.truncate(1);
            (world.runners[0].cores, world.runners[0].queue) = (64.0, 100_000);
            (world.runners[0].loads_when_absent, world.runners[0].keep_alive) = (true, 600_000_000);
            world.classes.iter_mut().for_each(|c| (c.lanes, c.memory_mb) = (1000, 100.0));
            let folder = tempfile::tempdir().unwrap();
            let programs = Programs { standins: own.clone(), gateway: own.clone() };
            let fleet = Fleet::start(world, folder.path(), programs).unwrap();
            fleets.push((fleet, folder));
        }
        for round in 0..3 {
            let mut base = None;
            for (what, which, flood) in
                [("no flood", 0, false), ("flood, limits", 0, true), ("flood, limits too large", 1, true)]
            {
                let (fleet, folder) = &fleets[which];
                let (front, id) = (fleet.fronts()[0], fleet.front_id(0).unwrap());
                let key = read_key(&folder.path().join("keys/brolga-shire.key")).unwrap();
                let stop = Arc::new(AtomicBool::new(false));
                let forger = Key::generate(KeyKind::Shared).unwrap();
                let before = cpu(id);
                let valid =
                    post(front, key, (VALID_RATE, VALID_SOURCES), "198.51.100".into(), bytes, stop.clone());
                let forged = flood.then(|| {
                    post(
                        front,
                        forger,
                        (VALID_RATE * FORGED_PER_VALID, FORGED_SOURCES),
                        "203.0.113".into(),
                        bytes,
                        stop.clone(),
                    )
                });
                let valid = valid.join().unwrap();
                stop.store(true, Ordering::Relaxed);
                let forged = forged.map(|f| f.join().unwrap());
                let spent = cpu(id) - before;
                let served = *valid.statuses.get(&200).unwrap_or(&0);
                let times = valid.times.unwrap();
                let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
                let (base_served, base50, base99) = *base.get_or_insert((served, p50, p99));
                let forged = forged.map_or(BTreeMap::new(), |f| f.statuses);
                println!(
                    "  round {round} {what:<25} served {served} ({:.3} of none), p50 x{:.2}, p99 x{:.2}; CPU {spent:.2} s; valid {:?}, forged {forged:?}",
                    served as f64 / base_served as f64,
                    p50 as f64 / base50 as f64,
                    p99 as f64 / base99 as f64,
                    valid.statuses,
                );
            }
        }
    }
}
