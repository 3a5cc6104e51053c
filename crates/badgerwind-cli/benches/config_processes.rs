//! Measures the configuration stream between real front ends and one control service, all of them processes
//! on loopback: bytes, processor time and resident memory for each version. `badgerwind-scale` takes the same
//! figures with front ends that have no gateway behind them.
//!
//! `cargo bench -p badgerwind-cli --bench config_processes -- 10 30`

#[path = "../tests/rig/mod.rs"]
mod rig;
#[allow(dead_code)] // this bench does not use all of it
#[path = "../tests/rig/version_reports.rs"]
mod version_reports;

use badgerwind_config::Kind;
use badgerwind_standins::reserved::ReservedPort;
use rig::{bind_loopback, Plan, Rig};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of versions, which are published one after the other.
const VERSIONS: u64 = 20;

/// For how long the idle stream is measured.
const IDLE: Duration = Duration::from_secs(10);

/// Length of the clock ticks in /proc.
const MICROSECONDS_A_TICK: u64 = 10_000;

/// Bytes that have passed through the relay.
#[derive(Default)]
struct Traffic {
    to_service: AtomicU64,
    to_front_ends: AtomicU64,
    requests: AtomicU64,
}

impl Traffic {
    fn read(&self) -> [u64; 3] {
        [&self.to_service, &self.to_front_ends, &self.requests].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Relays connections to the service and counts bytes and requests.
async fn relay(listener: TcpListener, service: SocketAddr, traffic: Arc<Traffic>) {
    while let Ok((front_end, _)) = listener.accept().await {
        let Ok(to) = TcpStream::connect(service).await else { continue };
        _ = (front_end.set_nodelay(true), to.set_nodelay(true));
        let (counts, back) = (traffic.clone(), traffic.clone());
        let (from_service, to_front_end) = (to.clone(), front_end.clone());
        smol::spawn(async move {
            let count = |bytes: &[u8]| {
                counts.to_service.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                let request = u64::from(bytes.starts_with(b"POST "));
                counts.requests.fetch_add(request, Ordering::Relaxed);
            };
            copy(front_end, to, count).await;
        })
        .detach();
        smol::spawn(async move {
            let count =
                |bytes: &[u8]| _ = back.to_front_ends.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            copy(from_service, to_front_end, count).await;
        })
        .detach();
    }
}

/// Copies bytes until either side closes.
async fn copy(mut from: TcpStream, mut to: TcpStream, count: impl Fn(&[u8])) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        count(&buffer[..length]);
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    _ = to.shutdown(std::net::Shutdown::Both);
}

/// Microseconds of processor time of a process so far.
fn processor_time(process: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    // The name in brackets may hold spaces; utime and stime are the 12th and 13th words after it.
    let words: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks = words[11].parse::<u64>().unwrap() + words[12].parse::<u64>().unwrap();
    ticks * MICROSECONDS_A_TICK
}

/// Resident memory of a process, in KiB.
fn resident(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// The text of a version of limits, the same as in `badgerwind-scale`.
fn limits(version: u64) -> String {
    let connections = 1_000 + version;
    format!("<badgerwind version=\"1\">\n<webhook connections=\"{connections}\"/>\n</badgerwind>\n")
}

fn publish(folder: &Path, version: u64) {
    let name = |extension| folder.join(format!("limits/{version}.{extension}"));
    std::fs::write(name("part"), limits(version)).unwrap();
    std::fs::rename(name("part"), name("xml")).unwrap();
}

async fn measure(front_ends: usize) {
    let dir = tempfile::tempdir().unwrap();
    std::fs::create_dir_all(dir.path().join("limits")).unwrap();
    let port = ReservedPort::reserve().unwrap();
    let at = port.address();
    let service = version_reports::Service::start(dir.path(), at);
    let (listener, relayed) = bind_loopback().await;
    let traffic = Arc::new(Traffic::default());
    let _relay = smol::spawn(relay(listener, at, traffic.clone()));
    while TcpStream::connect(at).await.is_err() {
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    let service_before = resident(service.id());
    let plan = |n: usize| {
        let control = Some((format!("front-{n:05}"), vec![relayed]));
        Plan { control, control_wait: "20s", process: true, ..Plan::default() }
    };
    let mut rigs = vec![Rig::start(plan(0)).await];
    for n in 1..front_ends {
        rigs.push(Rig::start(Plan { runners: 0, shared: rigs[0].shared(), ..plan(n) }).await);
    }
    let processes: Vec<u32> = rigs.iter().filter_map(Rig::process_id).collect();
    assert_eq!(processes.len(), front_ends);
    smol::Timer::after(Duration::from_secs(2)).await;
    let time = || processes.iter().map(|p| processor_time(*p)).sum::<u64>();
    let now = || (traffic.read(), processor_time(service.id()), time(), Instant::now());
    let start = now();
    smol::Timer::after(IDLE).await;
    let idle = now();
    for version in 1..=VERSIONS {
        publish(dir.path(), version);
        for rig in &rigs {
            version_reports::until_running(rig, Kind::Limits, version).await;
        }
    }
    smol::Timer::after(Duration::from_millis(200)).await;
    let done = now();
    report(front_ends, (&start, &idle, &done));
    let memory: Vec<u64> = processes.iter().map(|p| resident(*p)).collect();
    println!(
        "  resident: service {} KiB ({} before it had front ends), front ends {} to {} KiB",
        resident(service.id()),
        service_before,
        memory.iter().min().unwrap(),
        memory.iter().max().unwrap()
    );
}

/// Counters of the relay, processor time of the service and of all front ends, and when they were read.
type Sample = ([u64; 3], u64, u64, Instant);

fn report(front_ends: usize, (start, idle, done): (&Sample, &Sample, &Sample)) {
    let idle_span = idle.3.duration_since(start.3).as_secs_f64();
    let span = done.3.duration_since(idle.3).as_secs_f64();
    let each = |n: usize| (done.0[n] - idle.0[n]) as f64 / VERSIONS as f64 / front_ends as f64;
    let idle_each = |n: usize| (idle.0[n] - start.0[n]) as f64 / idle_span / front_ends as f64;
    println!("{front_ends} front ends, {VERSIONS} versions of limits in {span:.1} s");
    println!(
        "  a version and front end: {:.1} bytes to the service, {:.1} bytes to the front end, {:.2} requests",
        each(0),
        each(1),
        each(2)
    );
    println!("  idle, a front end: {:.1} and {:.1} bytes a second", idle_each(0), idle_each(1));
    let (service_idle, front_idle) =
        ((idle.1 - start.1) as f64 / idle_span, (idle.2 - start.2) as f64 / idle_span);
    let service_version = ((done.1 - idle.1) as f64 - service_idle * span) / VERSIONS as f64;
    let front_version = ((done.2 - idle.2) as f64 - front_idle * span) / VERSIONS as f64;
    println!("  service: {service_idle:.0} us a second idle, {service_version:.0} us a version beyond that");
    println!(
        "  a front end: {:.0} us a second idle, {:.0} us a version beyond that (with the requests of this bench \
         at its /config)",
        front_idle / front_ends as f64,
        front_version / front_ends as f64
    );
}

fn main() {
    // `cargo test --benches` runs this program too, without `--bench`, and must not measure.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let sizes: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    for size in if sizes.is_empty() { vec![10, 30] } else { sizes } {
        smol::block_on(measure(size));
    }
}
