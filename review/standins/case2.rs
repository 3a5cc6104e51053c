//! Case 2: bad clients send half of their requests and close. The platform's part is to kill a front end whose memory
//! goes over its limit; one that is killed so has crashed.
mod common;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;

const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
/// A third of the descriptors.
const CONNECTIONS: u64 = SOCKETS / 3;

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
    let started = start_deployment(folder, &ExecutorOptions::default(), (MEMORY_MB, SOCKETS));
    let Some(Deployment { mut processes, front, front_pid }) = started else { return 2 };
    let record = processes.record.clone();
    let usual = Usual::new(Record::open(&folder.join("client.rec")));
    let bad_record = Record::open(&folder.join("bad.rec"));
    let start = now();
    let (mut n, mut sent_at, mut told, mut bad, mut killed, mut peak) = (0u64, 0, 0, false, false, 0);
    // 20 requests a second of the usual clients for 15 s; the bad clients come after 5 s.
    while !killed && now() < start + 15_000_000 {
        if now() > sent_at + 50_000 {
            sent_at = now();
            usual.send(front, request(0x10_0000_0000 + n, &format!("aaaa{:012x}", n % 6), "", 100));
            n += 1;
        }
        if trouble() && !bad && now() > start + 5_000_000 {
            bad = true;
            bad_record.line("bad", &format!("{CONNECTIONS} connections, 32 half requests on each"));
            for c in 0..CONNECTIONS {
                let record = bad_record.clone();
                thread::spawn(move || send_halves(front, c, &record));
            }
        }
        if let Some(status) = processes.ended(front_pid) {
            record.line("judge", &format!("the front end ended by itself: {status}"));
            return 1;
        }
        let kb = resident_kb(front_pid);
        if kb > peak || now() > told + 1_000_000 {
            (peak, told) = (peak.max(kb), now());
            record.line("platform", &format!("memory of n0: {kb} kB"));
        }
        if kb > MEMORY_MB * 1024 {
            processes.kill(front_pid);
            record.line("platform", &format!("n0 has {kb} kB, over its limit of {MEMORY_MB} MB: killed"));
            killed = true;
        }
        sleep_ms(10);
    }
    sleep_ms(3500);
    let sent = usual.sent.lock().expect("sent").clone();
    let unanswered = sent.iter().filter(|s| s.answers.is_empty()).count();
    let count = sent.len();
    record.line("judge", &format!("killed for memory: {killed}; peak {peak} kB; {count} usual requests, {unanswered} unanswered"));
    i32::from(killed)
}

fn request(id: u64, key: &str, attributes: &str, body: usize) -> WebRequest {
    WebRequest {
        id: format!("{id:016x}"),
        class: ["check-answers", "save-draft", "lodge-return"][(id % 3) as usize].into(),
        key: key.into(),
        tenant: "tallow-creek".into(),
        wait_ms: 3000,
        attributes: format!("memory_mb:400;lanes:1;load_ms:600{attributes}"),
        body: vec![b'x'; body],
    }
}

/// Sends 32 requests with 8 KiB of parameters and a body of 16 KiB, each without its last record, and closes.
fn send_halves(to: SocketAddr, c: u64, record: &Record) {
    let Ok(stream) = TcpStream::connect(to) else { return };
    let mut out = Vec::new();
    for number in 1..=32u16 {
        let id = 0x0bad_0000_0000_0000 + (c << 8 | u64::from(number));
        let whole = request(id, "aaaa000000000000", &";note:1".repeat(1100), 16 * 1024).records(number);
        out.extend_from_slice(&whole[..whole.len() - 8]);
    }
    let written = (&stream).write_all(&out).is_ok();
    record.line("bad", &format!("conn={c} 32 half requests, {} bytes, written: {written}", out.len()));
    sleep_ms(1500);
    record.line("bad", &format!("conn={c} closes"));
}
