//! Measures the cost of the gateway, compared with direct calls and with a minimal pass-through proxy on the
//! same async runtime, in one run. Machines are noisy: compare the ratios.
//!
//! `cargo bench -p badgerwind-cli --bench gateway`

use badgerwind_cli::day::fleet::{Fleet, Programs};
use badgerwind_cli::day::world::World;
use badgerwind_gateway::secrets::read_key;
use badgerwind_http::{Conn, Exchange, Limits, Pool, PoolLimits, Response};
use badgerwind_webhook::{sign, Key};
use futures_lite::AsyncWriteExt;
use hdrhistogram::Histogram;
use smol::net::{TcpListener, TcpStream};
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const BODY: &str = r#"{"work_us": 50, "mean_us": 50, "form": "2026-household", "persons": 4}"#;
const CALLERS: usize = 32;

fn pool_limits(max_connections: usize) -> PoolLimits {
    let time = Duration::from_secs(60);
    PoolLimits { max_connections, connect_timeout: time, idle_timeout: time, max_body_bytes: 1 << 20 }
}

/// A signed request to a path, with the headers of a sender and those that the gateway adds for a runner.
fn request(key: &Key, id: &str, path: &str) -> Exchange {
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() as i64;
    let s = sign(std::slice::from_ref(key), id, seconds, BODY.as_bytes());
    let headers = vec![
        ("webhook-id", s.id),
        ("webhook-timestamp", s.timestamp.to_string()),
        ("webhook-signature", s.signature),
        ("badgerwind-attempt", format!("{id}/0")),
        ("badgerwind-class", "check-answers".into()),
        ("badgerwind-memory-mb", "100".into()),
        ("badgerwind-lanes", "1000".into()),
    ];
    Exchange { method: "POST", target: path.into(), headers, body: Arc::from(BODY.as_bytes()) }
}

/// Forwards requests and their answers: the least that a proxy on this runtime does.
async fn proxy(listener: TcpListener, to: SocketAddr) {
    let (pool, limits) = (Arc::new(Pool::new(to, pool_limits(512))), Arc::new(Limits::default()));
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (pool, limits) = (pool.clone(), limits.clone());
        smol::spawn(async move {
            let mut conn = Conn::new(stream, limits);
            while let Ok(Some(head)) = conn.head().await {
                let body = conn.body(&head).await.unwrap();
                let pass = |n: &'static str| head.headers.get(n).map(|v| (n, v.to_owned()));
                let names = [
                    "webhook-id",
                    "webhook-timestamp",
                    "webhook-signature",
                    "badgerwind-attempt",
                    "badgerwind-class",
                    "badgerwind-memory-mb",
                    "badgerwind-lanes",
                ];
                let headers = names.into_iter().filter_map(pass).collect();
                let target = head.target.clone();
                let forwarded = Exchange { method: "POST", target, headers, body: body.into() };
                let (answer, body) = pool.exchange(&forwarded).await.unwrap();
                conn.respond(&Response::new(answer.status, "", body), true).await.unwrap();
            }
        })
        .detach();
    }
}

/// A way to the runner that is measured.
struct Route<'a> {
    name: &'static str,
    pool: Pool,
    key: &'a Key,
    path: &'static str,
}

impl Route<'_> {
    async fn call(&self, id: &str) -> Duration {
        let request = request(self.key, id, self.path);
        let began = Instant::now();
        let (head, _) = self.pool.exchange(&request).await.unwrap();
        assert_eq!(head.status, 200, "{} {id}", self.name);
        began.elapsed()
    }
}

/// User and system time of a process, in seconds.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    // Fields 14 and 15 of proc(5), in ticks of a hundredth of a second.
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

/// Resident memory of a process, in KiB.
fn resident(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Prints the latency of each route with one call at a time.
async fn latency(routes: &[Route<'_>]) {
    let mut times: Vec<Histogram<u64>> = routes.iter().map(|_| Histogram::new(3).unwrap()).collect();
    for n in 0..1_500 {
        // The routes take turns, so that a disturbance affects all of them.
        for (route, times) in routes.iter().zip(&mut times) {
            let took = route.call(&format!("lat-{}-{n}", route.name)).await;
            if n >= 100 {
                times.record(took.as_micros() as u64).unwrap();
            }
            smol::Timer::after(Duration::from_micros(2_500)).await;
        }
    }
    println!("latency at one call at a time, microseconds");
    for (route, t) in routes.iter().zip(&times) {
        let (p50, p99) = (t.value_at_quantile(0.5), t.value_at_quantile(0.99));
        let added = |q: f64| t.value_at_quantile(q) as i64 - times[0].value_at_quantile(q) as i64;
        println!(
            "  {:<14} p50 {p50:>6}  p99 {p99:>6}  over direct {:>+6} {:>+6}",
            route.name,
            added(0.5),
            added(0.99)
        );
    }
}

/// Calls a second on a route with `CALLERS` concurrent callers.
async fn throughput(route: &Route<'_>, round: u32, length: Duration) -> f64 {
    let (count, began) = (AtomicU64::new(0), Instant::now());
    let one = async |caller: usize| {
        let mut n = 0;
        while began.elapsed() < length {
            route.call(&format!("thr-{}-{round}-{caller}-{n}", route.name)).await;
            n += 1;
            count.fetch_add(1, Ordering::Relaxed);
        }
    };
    let mut all: Vec<_> = (0..CALLERS).map(|c| Box::pin(one(c))).collect();
    std::future::poll_fn(|cx| {
        all.retain_mut(|f| f.as_mut().poll(cx).is_pending());
        if all.is_empty() {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    count.load(Ordering::Relaxed) as f64 / began.elapsed().as_secs_f64()
}

fn main() {
    // `cargo test --benches` runs this program too, without `--bench`, and must not measure.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    for round_us in [2_000, 0] {
        println!("---- round {round_us} microseconds");
        measure(round_us);
    }
}

fn measure(round_us: u64) {
    let mut world = World::draw(1, 5);
    (world.fronts, world.round_us) = (1, round_us);
    world.loads_when_absent = true;
    world.runners.truncate(1);
    (world.runners[0].cores, world.runners[0].queue) = (64.0, 100_000);
    (world.runners[0].loads_when_absent, world.runners[0].keep_alive) = (true, 600_000_000);
    for c in &mut world.classes {
        (c.lanes, c.deadline_ms, c.memory_mb) = (1000, 30_000, 100.0);
    }
    let folder = tempfile::tempdir().unwrap();
    let own = Path::new(env!("CARGO_BIN_EXE_badgerwind")).to_owned();
    let fleet = Fleet::start(world, folder.path(), Programs { standins: own.clone(), gateway: own }).unwrap();
    let (front, runner) = (fleet.fronts()[0], fleet.runner(1).unwrap());
    let id = fleet.front_id(0).unwrap();
    let sender_key = read_key(&folder.path().join("keys/brolga-shire.key")).unwrap();
    let runner_key = read_key(&folder.path().join("keys/runners.key")).unwrap();
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let through = listener.local_addr().unwrap();
        std::thread::spawn(move || smol::block_on(proxy(listener, runner)));
        let route =
            |name, to, key, path| Route { name, pool: Pool::new(to, pool_limits(CALLERS)), key, path };
        let (calls, hooks) = ("/calls/check-0", "/brolga-shire/check-answers/check-0");
        let routes = [
            route("direct", runner, &runner_key, calls),
            route("pass-through", through, &runner_key, calls),
            route("gateway", front, &sender_key, hooks),
        ];
        latency(&routes).await;

        println!("throughput with {CALLERS} callers, calls a second, three rounds in turn");
        let mut rates = [vec![], vec![], vec![]];
        let (mut spent, mut served) = (0.0, 0.0);
        for round in 0..3 {
            for (n, route) in routes.iter().enumerate() {
                let before = cpu(id);
                let length = Duration::from_secs(2);
                let rate = throughput(route, round, length).await;
                if n == 2 {
                    spent += cpu(id) - before;
                    served += rate * length.as_secs_f64();
                }
                rates[n].push(rate);
            }
        }
        for (route, rates) in routes.iter().zip(&rates) {
            let mean = rates.iter().sum::<f64>() / 3.0;
            println!("  {:<14} {mean:>8.0}", route.name);
        }
        let sum = |n: usize| rates[n].iter().sum::<f64>();
        println!("  gateway / pass-through {:.2}", sum(2) / sum(1));
        println!("CPU of the gateway a call: {:.0} microseconds", spent / served * 1e6);

        let before = resident(id);
        let mut idle = Vec::new();
        for _ in 0..2_000 {
            idle.push(TcpStream::connect(front).await.unwrap());
        }
        smol::Timer::after(Duration::from_millis(500)).await;
        let grown = resident(id).saturating_sub(before);
        println!(
            "memory: {before} KiB after the load; 2000 idle connections add {grown} KiB, {:.1} KiB each",
            grown as f64 / 2000.0
        );
        drop(idle);

        // The runner stops answering, so calls are held or stay open until their deadline.
        let hang = serde_json::json!({"on": true, "fault": "hang"});
        badgerwind_standins::command(runner, "/standin/fault", &hang).await.unwrap();
        let before = resident(id);
        let mut held = Vec::new();
        for n in 0..5_000 {
            let request = request(&sender_key, &format!("held-{n}"), hooks);
            let mut text = format!("POST {hooks} HTTP/1.1\r\nhost: a\r\n");
            request.headers.iter().for_each(|(n, v)| text.push_str(&format!("{n}: {v}\r\n")));
            text.push_str(&format!("content-length: {}\r\n\r\n{BODY}", BODY.len()));
            let mut stream = TcpStream::connect(front).await.unwrap();
            stream.write_all(text.as_bytes()).await.unwrap();
            held.push(stream);
        }
        smol::Timer::after(Duration::from_millis(500)).await;
        let grown = resident(id).saturating_sub(before);
        println!("memory: 5000 calls held add {grown} KiB, {:.1} KiB each", grown as f64 / 5000.0);
        drop(held);
    });
}
