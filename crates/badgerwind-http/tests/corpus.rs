//! A corpus of requests that are oversized, truncated, pipelined, or ambiguous, so that two parties along a
//! path could disagree about where a message ends. Each is parsed whole, in pieces, and mutated.

use badgerwind_http::head::{request, HeadEnd};
use badgerwind_http::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HEAD_BYTES: usize = 2048;
const BODY_BYTES: usize = 4096;

/// The result of parsing a connection's bytes: the target and body of each message, then how the connection
/// ended.
#[derive(Debug, PartialEq)]
struct Parsed {
    messages: Vec<(String, Vec<u8>)>,
    ended: Ended,
}

#[derive(Debug, PartialEq)]
enum Ended {
    /// The bytes ended between messages.
    Clean,
    /// The bytes ended within a message.
    Truncated,
    /// A message was rejected with this status.
    Rejected(u16),
}

/// Parses a connection's bytes, which arrive in pieces of at most `step` bytes.
fn parse(bytes: &[u8], step: usize) -> Parsed {
    let (mut messages, mut buf, mut left) = (Vec::new(), Vec::new(), bytes);
    let more = |buf: &mut Vec<u8>, left: &mut &[u8]| {
        let n = step.min(left.len());
        buf.extend_from_slice(&left[..n]);
        *left = &left[n..];
        n > 0
    };
    loop {
        let mut end = HeadEnd::default();
        let head = loop {
            match end.find(&buf, HEAD_BYTES).and_then(|_| request(&buf, HEAD_BYTES, 16)) {
                Err(e) => return Parsed { messages, ended: Ended::Rejected(e.status()) },
                Ok(Some((head, length))) => {
                    buf.drain(..length);
                    break head;
                }
                Ok(None) if more(&mut buf, &mut left) => {}
                Ok(None) => {
                    let ended = if buf.is_empty() { Ended::Clean } else { Ended::Truncated };
                    return Parsed { messages, ended };
                }
            }
        };
        let mut body = match Body::new(head.framing, BODY_BYTES) {
            Ok(body) => body,
            Err(_) => return Parsed { messages, ended: Ended::Rejected(413) },
        };
        let mut out = Vec::new();
        loop {
            match body.decode(&buf, &mut out) {
                Ok(used) => _ = buf.drain(..used),
                Err(BodyError::TooLong { .. }) => return Parsed { messages, ended: Ended::Rejected(413) },
                Err(_) => return Parsed { messages, ended: Ended::Rejected(400) },
            }
            if body.is_done() {
                break;
            }
            if !more(&mut buf, &mut left) {
                return Parsed { messages, ended: Ended::Truncated };
            }
        }
        messages.push((head.target, out));
    }
}

/// The name of each case, the bytes of a connection, the targets of the messages in them, and how the
/// connection ends.
fn corpus() -> Vec<(&'static str, Vec<u8>, Vec<&'static str>, Ended)> {
    let long = |n: usize| "x".repeat(n);
    let post =
        |lines: &str, rest: &str| format!("POST /a HTTP/1.1\r\nhost: a\r\n{lines}\r\n{rest}").into_bytes();
    let hidden = "GET /hidden HTTP/1.1\r\nhost: a\r\n\r\n";
    let bad = || Ended::Rejected(400);
    vec![
        (
            "two pipelined requests",
            post("content-length: 3\r\n", &format!("abc{hidden}")),
            vec!["/a", "/hidden"],
            Ended::Clean,
        ),
        (
            "a body that looks like a request",
            post(&format!("content-length: {}\r\n", hidden.len()), hidden),
            vec!["/a"],
            Ended::Clean,
        ),
        (
            "a chunk that looks like a request",
            post("transfer-encoding: chunked\r\n", &format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len())),
            vec!["/a"],
            Ended::Clean,
        ),
        (
            "length and chunks",
            post("content-length: 5\r\ntransfer-encoding: chunked\r\n", &format!("0\r\n\r\n{hidden}")),
            vec![],
            bad(),
        ),
        (
            "chunks and length",
            post("transfer-encoding: chunked\r\ncontent-length: 5\r\n", &format!("0\r\n\r\n{hidden}")),
            vec![],
            bad(),
        ),
        ("two lengths", post("content-length: 0\r\ncontent-length: 44\r\n", hidden), vec![], bad()),
        ("two lengths in a line", post("content-length: 0, 44\r\n", hidden), vec![], bad()),
        ("a length in hexadecimal", post("content-length: 0x0\r\n", hidden), vec![], bad()),
        ("a negative length", post("content-length: -1\r\n", hidden), vec![], bad()),
        ("a length with a sign", post("content-length: +0\r\n", hidden), vec![], bad()),
        ("a length with a space inside", post("content-length: 0 0\r\n", hidden), vec![], bad()),
        ("a length in non-ASCII digits", post("content-length: \u{0661}\r\n", hidden), vec![], bad()),
        ("a name followed by a space", post("content-length : 0\r\n", hidden), vec![], bad()),
        ("a name followed by a tab", post("transfer-encoding\t: chunked\r\n", hidden), vec![], bad()),
        ("a folded line", post("x: a\r\n content-length: 0\r\n", hidden), vec![], bad()),
        ("a line end of LF", b"POST /a HTTP/1.1\nhost: a\n\n".to_vec(), vec![], bad()),
        ("a line end of LF before the last", post("x: y\ncontent-length: 44\r\n", hidden), vec![], bad()),
        ("a CR inside a value", post("x: y\rcontent-length: 44\r\n", hidden), vec![], bad()),
        ("a NUL inside a value", post("x: y\0\r\n", ""), vec![], bad()),
        (
            "codings in two lines",
            post("transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n", "0\r\n\r\n"),
            vec![],
            Ended::Rejected(501),
        ),
        ("identity", post("transfer-encoding: identity\r\n", hidden), vec![], Ended::Rejected(501)),
        (
            "a coding preceded by a control character",
            post("transfer-encoding: \x0bchunked\r\n", "0\r\n\r\n"),
            vec![],
            bad(),
        ),
        (
            "chunks in HTTP/1.0",
            b"POST /a HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec(),
            vec![],
            bad(),
        ),
        ("two hosts", b"GET /a HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n".to_vec(), vec![], bad()),
        ("no host", b"GET /a HTTP/1.1\r\n\r\n".to_vec(), vec![], bad()),
        (
            "a chunk's size with a sign",
            post("transfer-encoding: chunked\r\n", "+3\r\nabc\r\n0\r\n\r\n"),
            vec![],
            bad(),
        ),
        (
            "a chunk's size in hexadecimal form",
            post("transfer-encoding: chunked\r\n", "0x3\r\nabc\r\n0\r\n\r\n"),
            vec![],
            bad(),
        ),
        (
            "a chunk that is longer than it says",
            post("transfer-encoding: chunked\r\n", "3\r\nabcd\r\n0\r\n\r\n"),
            vec![],
            bad(),
        ),
        (
            "a chunk's line that ends in LF",
            post("transfer-encoding: chunked\r\n", "3\nabc\r\n0\r\n\r\n"),
            vec![],
            bad(),
        ),
        (
            "a chunk's size that overflows",
            post("transfer-encoding: chunked\r\n", "fffffffffffffffff\r\n"),
            vec![],
            bad(),
        ),
        (
            "chunks without the last",
            post("transfer-encoding: chunked\r\n", "3\r\nabc\r\n"),
            vec![],
            Ended::Truncated,
        ),
        ("half a head", b"POST /a HTTP/1.1\r\nhost: a\r\n".to_vec(), vec![], Ended::Truncated),
        ("half a body", post("content-length: 5\r\n", "abc"), vec![], Ended::Truncated),
        (
            "a head without end",
            format!("GET /{} HTTP/1.1\r\n", long(3000)).into_bytes(),
            vec![],
            Ended::Rejected(431),
        ),
        ("a header line without end", post(&format!("x: {}", long(3000)), ""), vec![], Ended::Rejected(431)),
        ("too many header lines", post(&"x: y\r\n".repeat(40), ""), vec![], Ended::Rejected(431)),
        ("a body beyond the limit", post("content-length: 5000\r\n", ""), vec![], Ended::Rejected(413)),
        (
            "chunks beyond the limit",
            post("transfer-encoding: chunked\r\n", &format!("fff\r\n{}\r\n2\r\nab\r\n0\r\n\r\n", long(4095))),
            vec![],
            Ended::Rejected(413),
        ),
        ("another protocol", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(), vec![], bad()),
        ("HTTP/2's preface", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), vec![], bad()),
        (
            "a PROXY protocol line",
            b"PROXY TCP4 192.0.2.1 192.0.2.2 1 2\r\nGET /a HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
            vec![],
            bad(),
        ),
    ]
}

#[test]
fn each_case_parses_the_same_however_it_is_split() {
    for (what, bytes, targets, ended) in corpus() {
        let whole = parse(&bytes, usize::MAX);
        let seen: Vec<&str> = whole.messages.iter().map(|m| m.0.as_str()).collect();
        assert_eq!((seen, &whole.ended), (targets, &ended), "{what}");
        for step in [1, 2, 3, 7, 100] {
            let split = parse(&bytes, step);
            // Depending on how many bytes have arrived, either a limit or another defect may be detected
            // first.
            let either = |e: &Ended| matches!(e, Ended::Rejected(431 | 413 | 400));
            assert!(
                split == whole
                    || (split.messages == whole.messages && either(&split.ended) && either(&whole.ended)),
                "{what} by {step}: {split:?}"
            );
        }
    }
}

/// Finding the end of a head that arrives byte by byte takes linear time; quadratic time would be minutes at
/// this length.
#[test]
fn a_head_in_single_bytes_costs_no_more_than_its_length() {
    let text = format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "a: b\r\n".repeat(100_000));
    let began = std::time::Instant::now();
    let (mut end, bytes) = (HeadEnd::default(), text.as_bytes());
    for n in 1..bytes.len() {
        assert_eq!(end.find(&bytes[..n], 1 << 20), Ok(None));
    }
    assert_eq!(end.find(bytes, 1 << 20), Ok(Some(bytes.len())));
    assert!(began.elapsed().as_secs() < 20);
}

/// A mutation of a corpus entry.
#[derive(Clone, Debug)]
enum Mutation {
    Set(usize, u8),
    Insert(usize, u8),
    Remove(usize, usize),
    Repeat(usize, usize),
    Splice(usize, usize, usize),
    Token(usize, usize),
}

/// Byte sequences that are significant to parsers.
const TOKENS: [&[u8]; 12] = [
    b"\r\n",
    b"\n",
    b"\r",
    b"\r\n\r\n",
    b"content-length: 0\r\n",
    b"transfer-encoding: chunked\r\n",
    b"0\r\n\r\n",
    b" ",
    b"\t",
    b"\0",
    b"HTTP/1.0",
    b"host: a\r\n",
];

fn mutation() -> impl Strategy<Value = Mutation> {
    let at = 0usize..4096;
    prop_oneof![
        (at.clone(), any::<u8>()).prop_map(|(n, b)| Mutation::Set(n, b)),
        (at.clone(), any::<u8>()).prop_map(|(n, b)| Mutation::Insert(n, b)),
        (at.clone(), 1usize..40).prop_map(|(n, k)| Mutation::Remove(n, k)),
        (at.clone(), 1usize..40).prop_map(|(n, k)| Mutation::Repeat(n, k)),
        (at.clone(), 0usize..64, at.clone()).prop_map(|(n, w, m)| Mutation::Splice(n, w, m)),
        (at, 0usize..TOKENS.len()).prop_map(|(n, t)| Mutation::Token(n, t)),
    ]
}

fn apply(mut bytes: Vec<u8>, mutation: &Mutation, all: &[Vec<u8>]) -> Vec<u8> {
    let place = |n: usize, len: usize| n % (len + 1);
    match *mutation {
        Mutation::Set(n, b) if !bytes.is_empty() => {
            let n = n % bytes.len();
            bytes[n] = b;
        }
        Mutation::Set(..) => {}
        Mutation::Insert(n, b) => bytes.insert(place(n, bytes.len()), b),
        Mutation::Remove(n, k) => {
            let from = place(n, bytes.len());
            let to = (from + k).min(bytes.len());
            bytes.drain(from..to);
        }
        Mutation::Repeat(n, k) => {
            let from = place(n, bytes.len());
            let piece = bytes[from..(from + k).min(bytes.len())].to_vec();
            bytes.splice(from..from, piece);
        }
        Mutation::Splice(n, which, m) => {
            let other = &all[which % all.len()];
            bytes.truncate(place(n, bytes.len()));
            bytes.extend_from_slice(&other[place(m, other.len())..]);
        }
        Mutation::Token(n, t) => {
            let at = place(n, bytes.len());
            bytes.splice(at..at, TOKENS[t].iter().copied());
        }
    }
    bytes
}

/// An independent parser of a complete head, with httparse alone and the rules of RFC 9112 section 6.3: the
/// head's length and its framing, if they are unambiguous. It must accept every head that the crate accepts,
/// with the same boundary.
fn reference(bytes: &[u8]) -> Option<(usize, Framing)> {
    let mut space = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Request::new(&mut space);
    let Ok(httparse::Status::Complete(length)) = parsed.parse(bytes) else { return None };
    let values = |name: &str| -> Vec<String> {
        let all = parsed.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        all.map(|h| String::from_utf8_lossy(h.value).trim().to_lowercase()).collect()
    };
    let (codings, lengths) = (values("transfer-encoding"), values("content-length"));
    match (codings.as_slice(), lengths.as_slice()) {
        ([], []) => Some((length, Framing::Length(0))),
        ([c], []) if c == "chunked" => Some((length, Framing::Chunked)),
        ([], [l]) => Some((length, Framing::Length(l.parse().ok()?))),
        _ => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..ProptestConfig::with_cases(4_000) })]

    #[test]
    fn mutated_requests_parse_unambiguously_or_are_rejected(which in 0usize..64, changes in prop::collection::vec(mutation(), 1..8), step in 1usize..60) {
        let all: Vec<Vec<u8>> = corpus().into_iter().map(|c| c.1).collect();
        let start = all[which % all.len()].clone();
        let bytes = changes.iter().fold(start, |b, c| apply(b, c, &all));
        // How the bytes are split changes no message; near a limit it may change which defect is detected
        // first.
        let (whole, split) = (parse(&bytes, usize::MAX), parse(&bytes, step));
        prop_assert_eq!(&whole.messages, &split.messages);
        prop_assert_eq!(matches!(whole.ended, Ended::Clean), matches!(split.ended, Ended::Clean));
        // The reference parser finds the same boundary and framing of an accepted head.
        if let Ok(Some((head, length))) = request(&bytes, HEAD_BYTES, 16) {
            prop_assert_eq!(reference(&bytes), Some((length, head.framing)));
            prop_assert!(!head.headers.all("content-length").any(|_| head.framing == Framing::Chunked));
        }
        // The end of a head is the same whether it arrives in pieces or whole.
        let (mut end, mut found) = (HeadEnd::default(), Ok(None));
        for n in 1..=bytes.len() {
            found = end.find(&bytes[..n], HEAD_BYTES);
            if !matches!(found, Ok(None)) { break; }
        }
        let at_once = HeadEnd::default().find(&bytes, HEAD_BYTES);
        prop_assert_eq!(found.ok().flatten(), at_once.ok().flatten());
    }
}
