//! The Rust side of `tools/interop/run`: signs a table of messages for libraries in other languages, or
//! verifies the messages that they signed. One message per line: secret, id, timestamp, body in base64,
//! signature, separated by tabs.

use badgerwind_webhook::{sign, Key, KeyRing, RingKey};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::io::BufRead;
use std::time::{SystemTime, UNIX_EPOCH};

const SECRETS: [&str; 2] =
    ["whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", "whsec_C2FVsBQIhrscChlQIMV+b5sSYspob7oD"];

fn main() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64);
    if std::env::args().nth(1).as_deref() == Some("sign") {
        let long = "x".repeat(70_000);
        let bodies = ["{}", "", "{\"name\": \"Zo\u{eb} \u{1f9e1}\"}", "line\r\nline\n", &long];
        for secret in SECRETS {
            let Ok(key) = Key::parse(secret) else { continue };
            for (n, body) in bodies.iter().enumerate() {
                let s =
                    sign(std::slice::from_ref(&key), &format!("msg_{n}"), now - n as i64, body.as_bytes());
                println!("{secret}\t{}\t{}\t{}\t{}", s.id, s.timestamp, STANDARD.encode(body), s.signature);
            }
        }
        return;
    }
    let (mut good, mut bad) = (0, 0);
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let fields: Vec<&str> = line.split('\t').collect();
        let [secret, id, time, body, signature] = fields[..] else { continue };
        let (Ok(key), Ok(mut body)) = (Key::parse(secret), STANDARD.decode(body)) else {
            bad += 1;
            continue;
        };
        let key = RingKey { name: "key".into(), key, not_before: None, not_after: None };
        let ring = KeyRing { keys: vec![key], tolerance: 300 };
        let right = ring.verify(now, Some(id), Some(time), Some(signature), &body).is_ok();
        body.push(b'!');
        let wrong = ring.verify(now, Some(id), Some(time), Some(signature), &body).is_ok();
        if right && !wrong {
            good += 1;
        } else {
            bad += 1;
            eprintln!("unexpected result for message {id} at {time}");
        }
    }
    println!("{good} of theirs accepted, {bad} wrong");
    if bad > 0 || good == 0 {
        std::process::exit(1);
    }
}
