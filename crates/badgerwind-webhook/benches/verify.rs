//! Cost of verifying a signature by body size, for valid, forged and stale messages.
//!
//! `cargo bench -p badgerwind-webhook --bench verify`. Times vary with the load of the machine; compare
//! ratios.

use badgerwind_webhook::{sign, Key, KeyKind, KeyRing, RingKey};
use std::hint::black_box;
use std::time::Instant;

const NOW: i64 = 1_800_000_000;

fn main() {
    // `cargo test --benches` also runs this program, without `--bench`; it must not measure then.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    println!("microseconds a message, best of five rounds");
    println!("{:>10} {:>10} {:>10} {:>12} {:>14}", "bytes", "v1", "v1a", "v1 forged", "v1 stale");
    for size in [1 << 10, 64 << 10, 1 << 20] {
        let body = vec![b'x'; size];
        let mut row = Vec::new();
        for (kind, forged, stale) in [
            (KeyKind::Shared, false, false),
            (KeyKind::Private, false, false),
            (KeyKind::Shared, true, false),
            (KeyKind::Shared, false, true),
        ] {
            let Ok(key) = Key::generate(kind) else { return };
            let Ok(other) = Key::generate(kind) else { return };
            let signed = sign(std::slice::from_ref(if forged { &other } else { &key }), "msg_1", NOW, &body);
            let key = key.public().unwrap_or(key);
            let ring = RingKey { name: "key".into(), key, not_before: None, not_after: None };
            let ring = KeyRing { keys: vec![ring], tolerance: 300 };
            let (now, time) = (if stale { NOW + 301 } else { NOW }, signed.timestamp.to_string());
            let rounds = (1 << 24) / size.max(1 << 14);
            let best = (0..5).map(|_| {
                let began = Instant::now();
                for _ in 0..rounds {
                    let got = ring.verify(
                        now,
                        Some("msg_1"),
                        Some(&time),
                        Some(&signed.signature),
                        black_box(&body),
                    );
                    assert_eq!(got.is_ok(), !forged && !stale);
                }
                began.elapsed().as_secs_f64() / rounds as f64 * 1e6
            });
            row.push(best.fold(f64::INFINITY, f64::min));
        }
        println!("{size:>10} {:>10.1} {:>10.1} {:>12.1} {:>14.2}", row[0], row[1], row[2], row[3]);
    }
}
