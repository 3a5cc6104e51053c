//! Case 2: a client whose requests are turned away sends the same again at once, with a wait that is out of range. The
//! platform's part is to kill a front end whose memory goes over its limit; one that is killed so has crashed.
mod common;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

const MEMORY_MB: u64 = 64;
const WAIT_MS: u64 = 600_000;
const CONNECTIONS: u64 = 4;

fn main() {
    play_role();
    let args: Vec<String> = std::env::args().collect();
    let (folder, into) = (Path::new(&args[1]), Path::new(&args[2]));
    let code = play(folder);
    merge_records(folder, into);
    std::process::exit(code);
}

fn resident_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}

fn play(folder: &Path) -> i32 {
    let started = start_deployment(folder, &ExecutorOptions::default(), (MEMORY_MB, 256));
    let Some(Deployment { mut processes, front, front_pid }) = started else { return 2 };
    let record = processes.record.clone();
    let usual = Usual::new(Record::open(&folder.join("client.rec")));
    let answered = Arc::new(AtomicU64::new(0));
    let start = now();
    let (mut n, mut bad, mut told, mut peak) = (0u64, false, 0, 0);
    let mut killed = false;
    // 10 requests a second of the usual clients for up to 90 s; the bad client comes after 5 s.
    while !killed && now() < start + 90_000_000 {
        usual.send(
            front,
            WebRequest {
                id: format!("{:016x}", 0x10_0000_0000 + n),
                class: ["check-answers", "save-draft", "lodge-return"][(n % 3) as usize].into(),
                key: format!("aaaa{:012x}", n % 3),
                tenant: "tallow-creek".into(),
                wait_ms: 3000,
                attributes: "memory_mb:400;lanes:1;load_ms:600".into(),
                body: format!("usual {n}").into_bytes(),
            },
        );
        n += 1;
        if trouble() && !bad && now() > start + 5_000_000 {
            bad = true;
            for c in 0..CONNECTIONS {
                let answered = answered.clone();
                let record = Record::open(&folder.join("bad.rec"));
                thread::spawn(move || send_again(front, c, &answered, &record));
            }
        }
        sleep_ms(100);
        if let Some(status) = processes.ended(front_pid) {
            record.line("judge", &format!("the front end ended by itself: {status}"));
            return 1;
        }
        let kb = resident_kb(front_pid);
        peak = peak.max(kb);
        if now() > told + 1_000_000 {
            told = now();
            let count = answered.load(Ordering::Relaxed);
            record.line("platform", &format!("memory of n0: {kb} kB; {count} requests of the bad client answered"));
        }
        if kb > MEMORY_MB * 1024 {
            processes.kill(front_pid);
            record.line("platform", &format!("n0 has {kb} kB, over its limit of {MEMORY_MB} MB: killed"));
            killed = true;
        }
    }
    sleep_ms(1000);
    let sent = usual.sent.lock().expect("sent").clone();
    let unanswered = sent.iter().filter(|s| s.answers.is_empty()).count();
    let count = answered.load(Ordering::Relaxed);
    record.line(
        "judge",
        &format!(
            "killed for memory: {killed}; peak {peak} kB; {count} requests of the bad client answered; {} usual requests, {unanswered} unanswered",
            sent.len()
        ),
    );
    i32::from(killed)
}

/// Keeps 32 requests open on a connection; sends the next as soon as one is answered.
fn send_again(to: SocketAddr, c: u64, answered: &AtomicU64, record: &Record) {
    let mut n = 0u64;
    let Ok(stream) = TcpStream::connect(to) else { return };
    let _ = stream.set_nodelay(true);
    let mut next = |number: u16| {
        n += 1;
        let request = WebRequest {
            id: format!("{:016x}", 0x0bad_0000_0000_0000 + (c << 40 | n)),
            class: "check-answers".into(),
            key: "bbbb000000000000".into(),
            tenant: "brolga-shire".into(),
            wait_ms: WAIT_MS,
            attributes: "memory_mb:400;lanes:1;load_ms:600".into(),
            body: Vec::new(),
        };
        request.records(number)
    };
    record.line("bad", &format!("conn={c} begins, Req-Wait-Ms {WAIT_MS}"));
    let out: Vec<u8> = (1..=32).flat_map(&mut next).collect();
    if (&stream).write_all(&out).is_err() {
        return;
    }
    let Ok(write) = stream.try_clone() else { return };
    let mut statuses: std::collections::BTreeMap<u16, u64> = std::collections::BTreeMap::new();
    read_answers(stream, |answer| {
        answered.fetch_add(1, Ordering::Relaxed);
        *statuses.entry(answer.status).or_default() += 1;
        let _ = (&write).write_all(&next(answer.number));
    });
    record.line("bad", &format!("conn={c} ended; answers by status: {statuses:?}"));
}
