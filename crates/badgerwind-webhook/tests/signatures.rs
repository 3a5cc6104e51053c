//! Signatures: interoperability with the specification's reference library, a table of forgeries, and
//! arbitrary input.

use badgerwind_webhook::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use standardwebhooks::Webhook;

const SECRET: &str = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";
const OTHER: &str = "whsec_C2FVsBQIhrscChlQIMV+b5sSYspob7oD";
const NOW: i64 = 1_800_000_000;

fn ring(keys: &[&str]) -> KeyRing {
    let key = |k: &&str| RingKey {
        name: "k".into(),
        key: Key::parse(k).unwrap(),
        not_before: None,
        not_after: None,
    };
    KeyRing { keys: keys.iter().map(key).collect(), tolerance: 300 }
}

fn check(ring: &KeyRing, now: i64, s: &Signed, body: &[u8]) -> Result<(), VerifyError> {
    let timestamp = s.timestamp.to_string();
    ring.verify(now, Some(&s.id), Some(&timestamp), Some(&s.signature), body).map(|_| ())
}

/// The example in the documentation of the specification's libraries.
#[test]
fn the_published_example_verifies() {
    let ring = ring(&[SECRET]);
    let body = br#"{"test": 2432232314}"#;
    let signature = "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=";
    let got = ring.verify(
        1_614_265_330,
        Some("msg_p5jXN8AQM9LWM0D4loKWxJek"),
        Some("1614265330"),
        Some(signature),
        body,
    );
    assert!(got.is_ok(), "{got:?}");
}

#[test]
fn the_reference_library_accepts_ours_and_we_accept_its() {
    let theirs = Webhook::new(SECRET).unwrap();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs() as i64;
    for body in [&b"{}"[..], b"", b"{\"a\":\"\xc3\xa9\"}", &[b'x'; 70_000]] {
        let signed = sign(&[Key::parse(SECRET).unwrap()], "msg_1", now, body);
        let mut headers = http_headers(&signed);
        assert!(theirs.verify(body, &headers).is_ok());
        let last = headers.get_mut("webhook-signature").unwrap();
        *last = "v1,AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=".parse().unwrap();
        assert!(theirs.verify(body, &headers).is_err());
        let signature = theirs.sign("msg_2", now, body).unwrap();
        let signed = Signed { id: "msg_2".into(), timestamp: now, signature };
        assert_eq!(check(&ring(&[SECRET]), now, &signed, body), Ok(()));
    }
}

fn http_headers(s: &Signed) -> http::HeaderMap {
    let mut map = http::HeaderMap::new();
    map.insert("webhook-id", s.id.parse().unwrap());
    map.insert("webhook-timestamp", s.timestamp.to_string().parse().unwrap());
    map.insert("webhook-signature", s.signature.parse().unwrap());
    map
}

#[test]
fn a_change_in_any_byte_is_rejected() {
    let body = br#"{"form":"2026-household","persons":4}"#;
    for keys in [vec![SECRET], vec![OTHER, SECRET]] {
        let keys: Vec<Key> = keys.into_iter().map(|k| Key::parse(k).unwrap()).collect();
        let good = sign(&keys, "msg_1", NOW, body);
        let ring = ring(&[SECRET]);
        assert_eq!(check(&ring, NOW, &good, body), Ok(()));
        for n in 0..body.len() {
            let mut other = body.to_vec();
            other[n] ^= 1;
            assert_eq!(check(&ring, NOW, &good, &other), Err(VerifyError::Mismatch));
        }
        let cut = &body[..body.len() - 1];
        assert_eq!(check(&ring, NOW, &good, cut), Err(VerifyError::Mismatch));
        let other = Signed { id: "msg_2".into(), ..good.clone() };
        assert_eq!(check(&ring, NOW, &other, body), Err(VerifyError::Mismatch));
        let other = Signed { timestamp: NOW + 1, ..good.clone() };
        assert_eq!(check(&ring, NOW, &other, body), Err(VerifyError::Mismatch));
    }
}

#[test]
fn the_tolerance_is_exact_in_both_directions() {
    let (ring, key) = (ring(&[SECRET]), [Key::parse(SECRET).unwrap()]);
    for (sent, want) in [
        (NOW - 300, Ok(())),
        (NOW + 300, Ok(())),
        (NOW - 301, Err(VerifyError::TooOld { by: 1 })),
        (NOW + 301, Err(VerifyError::TooNew { by: 1 })),
        (0, Err(VerifyError::TooOld { by: NOW as u64 - 300 })),
    ] {
        assert_eq!(check(&ring, NOW, &sign(&key, "m", sent, b"x"), b"x"), want);
    }
}

#[test]
fn malformed_headers_get_distinct_errors() {
    let ring = ring(&[SECRET]);
    let good = sign(&[Key::parse(SECRET).unwrap()], "m", NOW, b"x");
    let (time, sig) = (NOW.to_string(), good.signature.as_str());
    use VerifyError::*;
    let many = [sig; 9].join(" ");
    for (id, timestamp, signature, want) in [
        (None, Some(time.as_str()), Some(sig), Missing("webhook-id")),
        (Some("m"), None, Some(sig), Missing("webhook-timestamp")),
        (Some("m"), Some(time.as_str()), None, Missing("webhook-signature")),
        (Some(""), Some(time.as_str()), Some(sig), MalformedId),
        (Some("m.1"), Some(time.as_str()), Some(sig), MalformedId),
        (Some("m\u{e9}"), Some(time.as_str()), Some(sig), MalformedId),
        (Some("m"), Some("+1800000000"), Some(sig), MalformedTimestamp),
        (Some("m"), Some("1800000000.0"), Some(sig), MalformedTimestamp),
        (Some("m"), Some(""), Some(sig), MalformedTimestamp),
        (Some("m"), Some("99999999999999999999"), Some(sig), MalformedTimestamp),
        (Some("m"), Some(time.as_str()), Some(""), NoSignature),
        (Some("m"), Some(time.as_str()), Some("v2,AAAA v1 v1,!!"), NoSignature),
        (Some("m"), Some(time.as_str()), Some("v1,AAAA"), NoSignature),
        (Some("m"), Some(time.as_str()), Some(&many), TooMany { max: 8 }),
    ] {
        assert_eq!(ring.verify(NOW, id, timestamp, signature, b"x").unwrap_err(), want);
    }
}

#[test]
fn a_secret_is_rotated_without_a_gap() {
    let keys = [Key::parse(OTHER).unwrap(), Key::parse(SECRET).unwrap()];
    let mut ring = ring(&[SECRET, OTHER]);
    ring.keys[0].not_after = Some(NOW + 60);
    ring.keys[1].not_before = Some(NOW - 60);
    let (old, new) = (&keys[1..], &keys[..1]);
    assert_eq!(check(&ring, NOW - 61, &sign(new, "m", NOW, b"x"), b"x"), Err(VerifyError::Mismatch));
    assert_eq!(check(&ring, NOW, &sign(old, "m", NOW, b"x"), b"x"), Ok(()));
    assert_eq!(check(&ring, NOW, &sign(new, "m", NOW, b"x"), b"x"), Ok(()));
    assert_eq!(check(&ring, NOW + 59, &sign(old, "m", NOW, b"x"), b"x"), Ok(()));
    assert_eq!(check(&ring, NOW + 60, &sign(old, "m", NOW, b"x"), b"x"), Err(VerifyError::Mismatch));
    assert_eq!(check(&ring, NOW + 60, &sign(&keys, "m", NOW, b"x"), b"x"), Ok(()));
}

#[test]
fn ed25519_signs_and_verifies_by_its_public_half_alone() {
    let private = Key::generate(KeyKind::Private).unwrap();
    let public = private.public().unwrap();
    let text = public.to_text();
    let ring = ring(&[&text]);
    let good = sign(std::slice::from_ref(&private), "m", NOW, b"x");
    assert!(good.signature.starts_with("v1a,"));
    assert_eq!(check(&ring, NOW, &good, b"x"), Ok(()));
    assert_eq!(check(&ring, NOW, &good, b"y"), Err(VerifyError::Mismatch));
    assert_eq!(sign(&[public], "m", NOW, b"x").signature, "");
}

#[test]
fn keys_are_read_and_written_and_their_bytes_are_never_shown() {
    for text in [SECRET, OTHER] {
        let key = Key::parse(&format!(" {text}\n")).unwrap();
        assert_eq!(key.to_text().as_str(), text);
        assert_eq!(format!("{key:?}"), "Key(Shared)");
    }
    for kind in [KeyKind::Shared, KeyKind::Private] {
        let (a, b) = (Key::generate(kind).unwrap().to_text(), Key::generate(kind).unwrap().to_text());
        assert_ne!(a, b);
        assert_eq!(Key::parse(&a).unwrap().to_text(), a);
    }
    let length = |kind, wanted, found| KeyError::Length { kind, wanted, found };
    for (text, want) in [
        ("", KeyError::Prefix),
        ("MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", KeyError::Prefix),
        ("whsec_***", KeyError::Base64("whsec_")),
        ("whsec_AAAA", length("whsec_", "24 to 64", 3)),
        ("whsk_AAAA", length("whsk_", "32 or 64", 3)),
        ("whpk_AAAA", length("whpk_", "32", 3)),
    ] {
        assert_eq!(Key::parse(text).unwrap_err(), want);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_headers_do_not_panic(id in ".{0,40}", time in ".{0,24}", sig in ".{0,200}", body: Vec<u8>) {
        prop_assert!(ring(&[SECRET]).verify(NOW, Some(&id), Some(&time), Some(&sig), &body).is_err());
    }

    #[test]
    fn signed_messages_verify(id in "[a-zA-Z0-9_-]{1,40}", body: Vec<u8>, off in -300i64..=300) {
        let signed = sign(&[Key::parse(SECRET).unwrap()], &id, NOW + off, &body);
        prop_assert_eq!(check(&ring(&[OTHER, SECRET]), NOW, &signed, &body), Ok(()));
        prop_assert_eq!(check(&ring(&[OTHER]), NOW, &signed, &body), Err(VerifyError::Mismatch));
    }
}
