//! Case 1: one client sends 600 requests at once for a function that no executor knows. The usual clients are judged:
//! each of their requests needs its final answer no later than half a second after its time.
mod common;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;

const REQUESTS: u64 = 600;
const LANES: u32 = 4;

fn main() {
    play_role();
    let args: Vec<String> = std::env::args().collect();
    let (folder, into) = (Path::new(&args[1]), Path::new(&args[2]));
    let code = play(folder);
    merge_records(folder, into);
    std::process::exit(code);
}

fn play(folder: &Path) -> i32 {
    let started = start_deployment(folder, &ExecutorOptions::default(), (192, 1024));
    let Some(Deployment { mut processes, front, front_pid }) = started else { return 2 };
    let record = processes.record.clone();
    let usual = Usual::new(Record::open(&folder.join("client.rec")));
    let classes = ["check-answers", "save-draft", "lodge-return"];
    let (start, mut n, mut bad) = (now(), 0u64, false);
    // 20 requests a second for 20 s; the bad client comes after 8 s.
    while now() < start + 20_000_000 {
        usual.send(
            front,
            WebRequest {
                id: format!("{:016x}", 0x10_0000_0000 + n),
                class: classes[(n % 3) as usize].into(),
                key: format!("aaaa{:012x}", n % 6),
                tenant: if n % 3 == 0 { "tallow-creek" } else { "brolga-shire" }.into(),
                wait_ms: 3000,
                attributes: "memory_mb:400;lanes:1;load_ms:600".into(),
                body: format!("usual {n}").into_bytes(),
            },
        );
        n += 1;
        if trouble() && !bad && now() > start + 8_000_000 {
            bad = true;
            let record = Record::open(&folder.join("bad.rec"));
            thread::spawn(move || send_at_once(front, &record));
        }
        sleep_ms(50);
    }
    sleep_ms(4000);
    let sent = usual.sent.lock().expect("sent").clone();
    let mut lost = 0;
    for s in &sent {
        // Half a second after its time, and the 50 ms of the sockets.
        let last = s.sent_at + s.wait_ms * 1000 + 500_000 + 50_000;
        if s.answers.len() != 1 || s.answers[0].0 > last {
            lost += 1;
            record.line("judge", &format!("lost {} answers={:?} closed={:?}", s.id, s.answers, s.cut_at));
        }
    }
    let served = sent.iter().filter(|s| s.answers.iter().any(|answer| answer.1 == 200)).count();
    let ended = processes.ended(front_pid);
    record.line("judge", &format!("{} usual requests, {served} served, {lost} lost, front end ended: {ended:?}", sent.len()));
    i32::from(lost > 0)
}

/// Nineteen connections with at most 32 requests each, all for a function that no executor knows.
fn send_at_once(to: SocketAddr, record: &Record) {
    let mut connections = Vec::new();
    for c in 0..REQUESTS.div_ceil(32) {
        let Ok(stream) = TcpStream::connect(to) else { continue };
        let count = 32.min(REQUESTS - c * 32);
        let request = |n: u64| WebRequest {
            id: format!("{:016x}", 0xbad_0000_0000 + c * 32 + n),
            class: "check-answers".into(),
            key: "bbbb000000000000".into(),
            tenant: "brolga-shire".into(),
            wait_ms: 3000,
            attributes: format!("memory_mb:400;lanes:{LANES};load_ms:600"),
            body: Vec::new(),
        };
        let out: Vec<u8> = (0..count).flat_map(|n| request(n).records(n as u16 + 1)).collect();
        connections.push((c, count, stream, out));
    }
    let mut readers = Vec::new();
    for (c, count, stream, out) in connections {
        record.line("bad", &format!("conn={c} sends {count} requests, lanes:{LANES}"));
        let _ = (&stream).write_all(&out);
        let record = record.clone();
        readers.push(thread::spawn(move || {
            read_answers(stream, |answer| {
                record.line("bad", &format!("conn={c} answer to {} status={}", answer.number, answer.status));
            });
        }));
    }
    readers.into_iter().for_each(|reader| _ = reader.join());
}
