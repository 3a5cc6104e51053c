//! Compares front ends as processes with simulated members (hollow members): datagrams and bytes of
//! membership and of zones, counted at a relay in front of each process. Run with `--ignored --nocapture`;
//! `SIZES` lists the numbers of front ends, such as `SIZES="10 30"`.

mod rig;

use badgerwind_cli::fleet::{query_budgets, BudgetsReport};
use badgerwind_scale::rows::members::{Fleet as HollowMembers, ENVELOPE_BYTES};
use badgerwind_scale::rows::network::{Conditions, SECOND};
use badgerwind_scale::rows::zones::Fleet as HollowZones;
use badgerwind_standins::reserved::unused_address;
use rig::{Plan, Rig};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Zones in the settings. The hollow fleet simulates 21, so that its messages are longer.
const ZONES: usize = 16;
/// How long datagrams are counted.
const COUNT_TIME: Duration = Duration::from_secs(20);
/// First byte of a membership message and of a zones message.
const MESSAGE_KINDS: [u8; 2] = [0xb2, 0xb3];
/// Bytes before the message in a datagram: the sender's number and its counter.
const HEADER_BYTES: usize = 12;
/// Number of voters for budgets and for zones.
const VOTERS: usize = 3;

/// Datagrams and bytes in and out of one process, by kind of message.
#[derive(Default)]
struct Traffic {
    datagrams: [AtomicU64; 2],
    bytes: [AtomicU64; 2],
}

/// A relay in front of each process.
struct Relays {
    /// Addresses on which the processes listen.
    listen: Vec<SocketAddr>,
    /// Addresses of the relays, which the processes know as their peers.
    known: Vec<SocketAddr>,
    traffic: Arc<Vec<Traffic>>,
    ended: Arc<AtomicBool>,
}

impl Relays {
    fn start(members: usize) -> Relays {
        let listen: Vec<SocketAddr> = (0..members).map(|_| unused_address()).collect();
        let relays: Vec<UdpSocket> = (0..members).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let known = relays.iter().map(|s| s.local_addr().unwrap()).collect();
        let traffic = Arc::new((0..members).map(|_| Traffic::default()).collect::<Vec<_>>());
        let ended = Arc::new(AtomicBool::new(false));
        for (to, relay) in relays.into_iter().enumerate() {
            let (listen, traffic, ended) = (listen.clone(), traffic.clone(), ended.clone());
            std::thread::spawn(move || forward(to, &relay, &listen, &traffic, &ended));
        }
        Relays { listen, known, traffic, ended }
    }

    fn counts(&self) -> Vec<[(u64, u64); 2]> {
        let read = |traffic: &Traffic| {
            [0, 1].map(|kind| {
                let datagrams = traffic.datagrams[kind].load(Ordering::Relaxed);
                (datagrams, traffic.bytes[kind].load(Ordering::Relaxed))
            })
        };
        self.traffic.iter().map(read).collect()
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Forwards datagrams to one process and counts them for their sender and for it.
fn forward(to: usize, relay: &UdpSocket, listen: &[SocketAddr], traffic: &[Traffic], ended: &AtomicBool) {
    relay.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let mut buffer = [0u8; 2048];
    while !ended.load(Ordering::Relaxed) {
        let Ok((length, address)) = relay.recv_from(&mut buffer) else { continue };
        let Some(from) = listen.iter().position(|a| *a == address) else { continue };
        let kind =
            MESSAGE_KINDS.iter().position(|first| length > HEADER_BYTES && buffer[HEADER_BYTES] == *first);
        for (member, kind) in [from, to].into_iter().zip(kind.into_iter().cycle()) {
            traffic[member].datagrams[kind].fetch_add(1, Ordering::Relaxed);
            traffic[member].bytes[kind].fetch_add(length as u64, Ordering::Relaxed);
        }
        let _ = relay.send_to(&buffer[..length], listen[to]);
    }
}

fn edits(n: usize, relays: &Relays) -> Vec<(&'static str, String)> {
    let members = relays.known.len();
    let peer = |m: usize| format!("<peer number=\"{m}\" address=\"{}\"/>", relays.known[m]);
    let peers: String = (0..members).filter(|m| *m != n).map(peer).collect();
    let voters: String = (0..members.min(VOTERS)).map(|v| format!("<voter number=\"{v}\"/>")).collect();
    let zones: String = (1..ZONES).map(|z| format!("<zone name=\"zone-{z}\"/>")).collect();
    vec![
        ("front-ends=\"1\" number=\"0\"", format!("front-ends=\"{members}\" number=\"{n}\"")),
        ("<zone name=\"here\"/>", format!("<zone name=\"here\"/>{zones}")),
        ("fall-window=\"1.5s\"", "fall-window=\"1.5s\" load-window=\"2s\" load-free=\"1000\"".into()),
        (
            "<metrics",
            format!(
                "<peers listen=\"{}\" key-file=\"runners.key\">{peers}</peers><budgets version=\"1\">{voters}\
                 <budget name=\"fetches\" of=\"orders\" units=\"1000\" floor=\"1\" window=\"2s\"/></budgets>\
                 <leaving>{voters}</leaving><metrics",
                relays.listen[n]
            ),
        ),
    ]
}

/// Resident bytes of a process, and its processor time so far in microseconds (in steps of 10 ms).
fn process_usage(id: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    let resident: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let after: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let clock_ticks: u64 = after[11].parse::<u64>().unwrap() + after[12].parse::<u64>().unwrap();
    (resident * 1024, clock_ticks * 10_000)
}

async fn all_alive(fronts: &[Rig]) -> bool {
    for rig in fronts {
        let reports: Vec<BudgetsReport> = query_budgets(rig.metrics).await.into_iter().collect();
        if !reports.iter().all(|report| report.members.iter().all(|member| member.state == "alive")) {
            return false;
        }
    }
    true
}

/// Messages a second and bytes a second, envelopes included, as the mean of these processes.
fn rate(
    before: &[[(u64, u64); 2]],
    after: &[[(u64, u64); 2]],
    kind: usize,
    processes: std::ops::Range<usize>,
) -> (f64, f64) {
    let process_seconds = processes.len().max(1) as f64 * COUNT_TIME.as_secs_f64();
    let sum = |read: fn(&(u64, u64)) -> u64| {
        processes.clone().map(|m| read(&after[m][kind]) - read(&before[m][kind])).sum::<u64>() as f64
            / process_seconds
    };
    (sum(|c| c.0), sum(|c| c.1))
}

/// Measures fleets of this size, real and simulated; returns the table's rows.
async fn measure(members: usize) -> String {
    let relays = Relays::start(members);
    let mut fronts: Vec<Rig> = Vec::new();
    for n in 0..members {
        let (runners, shared) = match fronts.first() {
            None => (ZONES, None),
            Some(first) => (0, first.shared()),
        };
        let edits = edits(n, &relays);
        let plan = Plan { runners, zones: ZONES as u32, process: true, edits, shared, ..Plan::default() };
        fronts.push(Rig::start(plan).await);
    }
    let mut queries = 0;
    while !all_alive(&fronts).await {
        queries += 1;
        assert!(queries < 600, "{members} processes did not find each other");
        smol::Timer::after(Duration::from_millis(200)).await;
    }
    smol::Timer::after(Duration::from_secs(5)).await;
    let ids: Vec<u32> = fronts.iter().filter_map(Rig::process_id).collect();
    let processor_time = |ids: &[u32]| ids.iter().map(|id| process_usage(*id).1).sum::<u64>();
    let (before, processor_before) = (relays.counts(), processor_time(&ids));
    smol::Timer::after(COUNT_TIME).await;
    let (after, processor_after) = (relays.counts(), processor_time(&ids));
    let count = ids.len() as f64;
    let resident = ids.iter().map(|id| process_usage(*id).0).sum::<u64>() as f64 / count;
    let processor = (processor_after - processor_before) as f64 / count / COUNT_TIME.as_secs_f64();
    let real_members = rate(&before, &after, 0, 0..members);
    let real_zones = rate(&before, &after, 1, VOTERS..members);
    let real_voters = rate(&before, &after, 1, 0..VOTERS);

    let span = COUNT_TIME.as_secs() * SECOND;
    let mut hollow = HollowMembers::with_conditions(Conditions::loopback(), (members, members), true, 1);
    hollow.run(2 * SECOND);
    hollow.network.reset_counts();
    hollow.run(span);
    let hollow_members = hollow.traffic(span);
    let mut hollow = HollowZones::with_conditions(Conditions::loopback(), members, 1);
    hollow.run(2 * SECOND);
    hollow.network.reset_counts();
    hollow.run(span);
    let hollow_zones = hollow.traffic(span);
    let voter = (0..VOTERS).map(|v| hollow.network.traffic(v));
    let voter_bytes: u64 = voter.map(|c| c.bytes + c.messages * ENVELOPE_BYTES).sum();
    let hollow_voter = voter_bytes as f64 / VOTERS as f64 / COUNT_TIME.as_secs_f64();

    let compare = |real: f64, hollow: f64| format!("{real:.1} | {hollow:.1} | {:.3}", hollow / real);
    [
        format!(
            "| {members} | membership, messages/s | {} |",
            compare(real_members.0, hollow_members.messages)
        ),
        format!("| {members} | membership, B/s | {} |", compare(real_members.1, hollow_members.wire_bytes)),
        format!("| {members} | zones, messages/s | {} |", compare(real_zones.0, hollow_zones.0)),
        format!("| {members} | zones, B/s | {} |", compare(real_zones.1, hollow_zones.1)),
        format!("| {members} | zones, a voter, B/s | {} |", compare(real_voters.1, hollow_voter)),
        format!("| {members} | whole process: resident, MiB | {:.1} | - | - |", resident / 1_048_576.0),
        format!("| {members} | whole process: processor, us/s | {processor:.0} | - | - |"),
    ]
    .join("\n")
}

#[test]
#[ignore = "a measurement with processes that takes minutes"]
fn measure_processes_against_simulated_members() {
    let sizes = std::env::var("SIZES").unwrap_or_else(|_| "10 30".into());
    println!("| front ends | figure, in and out of one, datagrams with envelope | process | hollow | hollow over real |");
    println!("| --- | --- | --- | --- | --- |");
    for size in sizes.split_whitespace() {
        let size: usize = size.parse().unwrap();
        println!("{}", smol::block_on(measure(size)));
    }
}
