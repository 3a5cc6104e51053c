//! Cost of the replay table: bytes per id for several table sizes, and the longest time that one message
//! waits for the table while it fills, while it is full, and while it empties after a period without
//! messages.
//!
//! `cargo bench -p badgerwind-webhook --bench replay`. Each size runs in its own process, so that memory is
//! measured separately. The times vary with the load of the machine; the byte counts do not.

use badgerwind_webhook::{Admission, Digest, Ending, Id, Replay, ReplayLimits};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Size in bytes of a lodgement's answer, which is a receipt.
const ANSWER: usize = 160;
const RETENTION: u64 = 600_000_000;

/// Resident memory of this process, in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("VmRSS: 0");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn fill(count: usize) {
    let limits =
        ReplayLimits { max_ids: count, retention: RETENTION, max_waiters: 16, max_bytes: usize::MAX };
    let before = resident();
    let began = Instant::now();
    let mut memory: Replay<Arc<[u8]>, u32> = Replay::new(limits);
    let made = began.elapsed();
    let digest = Digest::of(b"a body");
    let mut longest = [Duration::ZERO; 2];
    let mut call = |memory: &mut Replay<Arc<[u8]>, u32>, now, n: usize, at: usize| {
        let id = Id::of("brolga-shire-portal", &format!("msg_2{n:026}"));
        let answer: Arc<[u8]> = vec![b'x'; ANSWER].into();
        let began = Instant::now();
        let admitted = memory.admit(now, &id, digest, true, || 0);
        memory.end(now, &id, Ending::Remember { answer, size: ANSWER });
        longest[at] = longest[at].max(began.elapsed());
        admitted == Admission::Run
    };
    // Fills the table within one retention period: the last id is added just before the first one expires.
    for n in 0..count {
        assert!(call(&mut memory, n as u64 * RETENTION / count as u64, n, 0), "{n}");
    }
    let grown = resident() - before;
    assert!(!call(&mut memory, RETENTION - 1, count, 0), "full");
    // Replaces every id while the table is full; removed entries leave gaps in the hash tables.
    for n in 0..count {
        let now = RETENTION + n as u64 * RETENTION / count as u64;
        assert!(call(&mut memory, now, count + n, 0), "{n}");
    }
    // A period without messages in which all ids expire, then messages again.
    for n in 0..1000.min(count) {
        assert!(call(&mut memory, 4 * RETENTION, 2 * count + n, 1));
    }
    println!(
        "{count:>9} ids: {:>4.0} bytes an id beside its answer of {ANSWER}; made in {:>6.1} ms; longest wait {:>7.2} ms while filling, {:>7.2} ms after a silence",
        grown as f64 * 1024.0 / count as f64 - ANSWER as f64,
        made.as_secs_f64() * 1e3,
        longest[0].as_secs_f64() * 1e3,
        longest[1].as_secs_f64() * 1e3,
    );
}

fn main() {
    // `cargo test --benches` also runs this program, without `--bench`; it must not measure then.
    let args: Vec<String> = std::env::args().collect();
    if !args.iter().any(|a| a == "--bench") {
        return;
    }
    if let Some(count) = args.iter().find_map(|a| a.strip_prefix("fill=")) {
        return fill(count.parse().unwrap_or(1000));
    }
    for count in [10_000, 200_000, 1_000_000, 10_000_000] {
        let program = std::env::current_exe().unwrap_or_default();
        let run = std::process::Command::new(program).args(["--bench", &format!("fill={count}")]).status();
        assert!(run.is_ok_and(|s| s.success()));
    }
}
