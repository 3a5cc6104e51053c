//! Parsing of heads and bodies: ambiguous input is rejected.

use badgerwind_http::head::{request, response};
use badgerwind_http::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn framing(lines: &str) -> Result<Framing, HeadError> {
    let text = format!("POST /lodge HTTP/1.1\r\nhost: a\r\n{lines}\r\n");
    request(text.as_bytes(), 4096, 16).map(|r| r.expect("whole").0.framing)
}

#[test]
fn ambiguous_heads_are_rejected() {
    for (lines, status) in [
        ("content-length: 5\r\ncontent-length: 5\r\n", 400),
        ("content-length: 5\r\ncontent-length: 6\r\n", 400),
        ("content-length: 5, 5\r\n", 400),
        ("content-length: +5\r\n", 400),
        ("content-length: 0x5\r\n", 400),
        ("content-length:\r\n", 400),
        ("content-length: 99999999999999999999\r\n", 400),
        ("content-length: 5\r\ntransfer-encoding: chunked\r\n", 400),
        ("transfer-encoding: gzip, chunked\r\n", 501),
        ("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n", 501),
        ("transfer-encoding: xchunked\r\n", 501),
        ("transfer-encoding : chunked\r\n", 400),
        ("x: a\r\n b\r\n", 400),
        ("x: a\rb: c\r\n", 400),
        ("x: a\nb: c\r\n", 400),
        ("x: a\u{e9}\r\n", 400),
        ("x: a\0\r\n", 400),
        (" x: a\r\n", 400),
        ("host: b\r\n", 400),
    ] {
        assert_eq!(framing(lines).unwrap_err().status(), status, "{lines:?}");
    }
    assert_eq!(framing(""), Ok(Framing::Length(0)));
    assert_eq!(framing("Content-Length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(framing("Transfer-Encoding: Chunked\r\n"), Ok(Framing::Chunked));
}

#[test]
fn first_lines() {
    let first = |line: &str| request(format!("{line}\r\nhost: a\r\n\r\n").as_bytes(), 4096, 16);
    for bad in [
        "GET / HTTP/2.0",
        "GET / HTTP/1.1 x",
        "GET  / HTTP/1.1",
        "GET HTTP/1.1",
        "G T / HTTP/1.1",
        "GET a HTTP/1.1",
    ] {
        assert!(first(bad).is_err(), "{bad}");
    }
    let head = first("GET http://example.org/a?b=c HTTP/1.1").unwrap().unwrap().0;
    assert_eq!((head.target.as_str(), head.path()), ("/a?b=c", "/a"));
    let old = request(b"GET / HTTP/1.0\r\n\r\n", 4096, 16).unwrap().unwrap().0;
    assert!(!old.keeps_alive());
    assert!(request(b"GET / HTTP/1.1\r\n\r\n", 4096, 16).is_err(), "no host");
    assert!(request(b"GET / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n", 4096, 16).is_err());
}

#[test]
fn limits_are_exact() {
    let head = b"GET / HTTP/1.1\r\nhost: a\r\nx: y\r\n\r\n";
    assert!(request(head, head.len(), 2).unwrap().is_some());
    assert_eq!(
        request(head, head.len() - 1, 2).unwrap_err(),
        HeadError::TooLong { max_bytes: head.len() - 1 }
    );
    assert_eq!(request(head, head.len(), 1).unwrap_err(), HeadError::TooMany { max_lines: 1 });
    assert_eq!(request(&head[..20], 21, 2).unwrap(), None);
    assert_eq!(request(&head[..20], 20, 2).unwrap_err().status(), 431, "an incomplete head at the limit");
    assert_eq!(Body::new(Framing::Length(11), 10).unwrap_err(), BodyError::TooLong { max_bytes: 10 });
    let mut body = Body::new(Framing::Chunked, 10).unwrap();
    assert_eq!(body.decode(b"b\r\n", &mut Vec::new()), Err(BodyError::TooLong { max_bytes: 10 }));
    let mut body = Body::new(Framing::Close, 10).unwrap();
    assert!(body.decode(b"0123456789a", &mut Vec::new()).is_err());
}

#[test]
fn answers_without_a_body_have_none() {
    for (status, to_head, want) in [
        (200, false, Framing::Length(7)),
        (200, true, Framing::Length(0)),
        (204, false, Framing::Length(0)),
        (304, false, Framing::Length(0)),
        (100, false, Framing::Length(0)),
    ] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 7\r\n\r\n");
        assert_eq!(response(text.as_bytes(), 4096, to_head).unwrap().unwrap().0.framing, want);
    }
    let head = response(b"HTTP/1.1 200 OK\r\n\r\n", 4096, false).unwrap().unwrap().0;
    assert!(head.framing == Framing::Close && !head.keeps_alive);
}

fn chunked(bytes: &[u8], step: usize) -> Result<(Vec<u8>, usize, bool), BodyError> {
    let mut body = Body::new(Framing::Chunked, 1000)?;
    let (mut out, mut buf, mut used) = (Vec::new(), Vec::new(), 0);
    for piece in bytes.chunks(step.max(1)) {
        buf.extend_from_slice(piece);
        let n = body.decode(&buf, &mut out)?;
        buf.drain(..n);
        used += n;
    }
    Ok((out, used, body.is_done()))
}

#[test]
fn chunks() {
    let good = b"4\r\nWiki\r\n5;x=y\r\npedia\r\n0\r\nx-sum: 1\r\n\r\nGET /next";
    for step in 1..good.len() {
        assert_eq!(chunked(good, step).unwrap(), (b"Wikipedia".to_vec(), good.len() - 9, true));
    }
    for bad in [
        &b"\r\n"[..],
        b"g\r\n",
        b"-1\r\n",
        b"+1\r\n",
        b"4\nWiki",
        b"4\r\nWikix",
        b"4\r\nWiki\n0",
        b"ffffffffffffffff1\r\n",
        b" 4\r\nWiki",
    ] {
        assert!(chunked(bad, bad.len()).is_err(), "{bad:?}");
    }
    assert!(chunked(&[b'0'; 300], 300).is_err(), "an endless size line");
    let long = [b"0\r\n".to_vec(), b"a: b\r\n".repeat(1000)].concat();
    assert!(chunked(&long, long.len()).is_err(), "endless trailers");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>, max_bytes in 1usize..200) {
        let _ = request(&bytes, max_bytes, 8);
        let _ = response(&bytes, max_bytes, false);
        let _ = chunked(&bytes, 7);
    }

    /// A chunked body decodes to the same bytes however the input is split.
    #[test]
    fn chunked_bodies_decode_the_same_however_they_are_split(body in prop::collection::vec(any::<u8>(), 0..400), cuts in prop::collection::vec(1usize..60, 1..12), step in 1usize..50) {
        let (mut text, mut rest) = (Vec::new(), &body[..]);
        for cut in cuts {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            if !now.is_empty() {
                text.extend(format!("{:X}\r\n", now.len()).bytes());
                text.extend(now);
                text.extend(b"\r\n");
            }
            rest = later;
        }
        let whole = &body[..body.len() - rest.len()];
        text.extend(b"0\r\n\r\n");
        let (out, used, done) = chunked(&text, step).unwrap();
        prop_assert!(out == whole && used == text.len() && done);
    }
}
