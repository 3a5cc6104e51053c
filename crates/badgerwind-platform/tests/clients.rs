//! A web server's connection: records in any pieces, what cannot be used, and answers.

use badgerwind_platform::client::{Answer, Client, Heard, BODY, REQUESTS};
use badgerwind_platform::fcgi::{self, Decoder, ProtocolStatus};
use proptest::prelude::*;

fn begin(out: &mut Vec<u8>, number: u16, role: u8) {
    fcgi::record(out, fcgi::BEGIN_REQUEST, number, &[0, role, 1, 0, 0, 0, 0, 0]);
}

fn request(number: u16, id: &str, body: &[u8]) -> Vec<u8> {
    let (mut out, mut params) = (Vec::new(), Vec::new());
    fcgi::pair(&mut params, b"HTTP_REQ_ID", id.as_bytes());
    begin(&mut out, number, 1);
    fcgi::stream(&mut out, fcgi::PARAMS, number, &params);
    fcgi::stream(&mut out, fcgi::STDIN, number, body);
    out
}

fn feed(c: &mut Client, bytes: &[u8]) -> Vec<Heard> {
    let mut heard = Vec::new();
    c.feed(bytes, &mut heard);
    heard
}

/// What went out: type, number and content of each record.
fn records(c: &Client) -> Vec<(u8, u16, Vec<u8>)> {
    let (mut d, mut rest, mut all) = (Decoder::default(), c.out(), Vec::<(u8, u16, Vec<u8>)>::new());
    while let Some(p) = d.next(&mut rest).expect("our own records can be read") {
        if p.first {
            all.push((p.head.kind, p.head.number, Vec::new()));
        }
        all.last_mut().unwrap().2.extend_from_slice(p.bytes);
    }
    assert!(d.between(), "the last record is whole");
    all
}

fn statuses(c: &Client) -> Vec<(u16, String)> {
    let text = |b: &[u8]| String::from_utf8_lossy(b).lines().next().unwrap_or("").to_owned();
    let out = records(c).into_iter();
    out.filter(|(k, _, b)| *k == fcgi::STDOUT && !b.is_empty()).map(|(_, n, b)| (n, text(&b))).collect()
}

const OK: Answer = Answer { status: 200, stay_away: None, body: b"served" };

#[test]
fn an_answer_is_its_stream_and_one_end_and_leaves_the_number_free() {
    let mut c = Client::default();
    for _ in 0..2 {
        let heard = feed(&mut c, &request(7, "a", b"body"));
        assert!(
            matches!(&heard[..], [Heard::Request { number: 7, body, .. }] if body == b"body"),
            "{heard:?}"
        );
        assert!(c.answer(7, &OK));
        assert!(!c.answer(7, &OK), "a second answer is nobody's");
        let out = records(&c);
        let kinds: Vec<u8> = out.iter().map(|r| r.0).collect();
        assert_eq!(kinds, [fcgi::STDOUT, fcgi::STDOUT, fcgi::END_REQUEST]);
        assert!(out[0].2.starts_with(b"Status: 200 OK\r\n") && out[0].2.ends_with(b"\r\n\r\nserved"));
        assert_eq!((out[1].2.len(), &out[2].2[..]), (0, &[0u8; 8][..]));
        c.sent(c.out().len());
    }
}

#[test]
fn answers_come_in_any_order_and_a_refusal_says_how_long_to_stay_away() {
    let mut c = Client::default();
    (1..=3).for_each(|n| assert_eq!(feed(&mut c, &request(n, "a", b"")).len(), 1));
    assert!(c.answer(3, &OK));
    assert!(c.answer(1, &Answer { status: 503, stay_away: Some(250), body: b"" }));
    assert_eq!(statuses(&c), [(3, "Status: 200 OK".into()), (1, "Status: 503 Service Unavailable".into())]);
    assert!(String::from_utf8_lossy(c.out()).contains("\r\nSrv-Wait-Ms: 250\r\n"));
    assert_eq!(c.open(), 1);
}

#[test]
fn a_body_longer_than_a_record_is_cut_into_several() {
    let mut c = Client::default();
    feed(&mut c, &request(1, "a", b""));
    let body = vec![b'x'; 200_000];
    c.answer(1, &Answer { status: 200, stay_away: None, body: &body });
    let out = records(&c);
    let text: Vec<u8> = out.iter().filter(|r| r.0 == fcgi::STDOUT).flat_map(|r| r.2.clone()).collect();
    assert!(text.ends_with(&body) && out.len() == 6, "{}", out.len());
}

#[test]
fn a_withdrawn_request_is_owed_nothing_and_its_number_serves_again() {
    let mut c = Client::default();
    feed(&mut c, &request(1, "a", b""));
    let mut abort = Vec::new();
    fcgi::record(&mut abort, fcgi::ABORT_REQUEST, 1, b"");
    assert_eq!(feed(&mut c, &abort), [Heard::Withdrawn { number: 1 }]);
    assert!(!c.answer(1, &OK) && c.out().is_empty());
    assert_eq!(feed(&mut c, &request(1, "b", b"")).len(), 1);
    // One withdrawn before it was whole was never heard of.
    let whole = request(2, "c", b"body");
    feed(&mut c, &whole[..40]);
    let mut c2 = Client::default();
    let mut half = Vec::new();
    begin(&mut half, 2, 1);
    feed(&mut c2, &half);
    fcgi::record(&mut abort, fcgi::ABORT_REQUEST, 2, b"");
    assert_eq!(feed(&mut c2, &abort[abort.len() - 8..]), []);
    assert!(!c2.coming());
}

#[test]
fn a_number_in_use_harms_only_the_newcomer() {
    let mut c = Client::default();
    feed(&mut c, &request(1, "a", b""));
    assert_eq!(feed(&mut c, &request(1, "b", b"")), [], "the newcomer is not passed on");
    assert!(c.doomed() && c.out().is_empty(), "nothing goes out under the number before the first's answer");
    assert!(c.answer(1, &OK));
    assert_eq!(statuses(&c), [(1, "Status: 200 OK".into())]);
}

#[test]
fn one_request_too_many_a_wrong_role_and_unknown_types_are_answered_as_the_specification_says() {
    let mut c = Client::default();
    (1..=REQUESTS as u16).for_each(|n| _ = feed(&mut c, &request(n, "a", b"")));
    let mut bytes = Vec::new();
    begin(&mut bytes, 100, 1);
    assert_eq!(feed(&mut c, &bytes), []);
    let end = records(&c).pop().unwrap();
    assert_eq!((end.0, end.1, end.2[4]), (fcgi::END_REQUEST, 100, ProtocolStatus::Overloaded as u8));
    let mut c = Client::default();
    let mut bytes = Vec::new();
    begin(&mut bytes, 5, 2);
    fcgi::record(&mut bytes, 77, 0, b"what");
    let mut asked = Vec::new();
    fcgi::pair(&mut asked, b"FCGI_MPXS_CONNS", b"");
    fcgi::pair(&mut asked, b"SOMETHING", b"");
    fcgi::record(&mut bytes, fcgi::GET_VALUES, 0, &asked);
    feed(&mut c, &bytes);
    let out = records(&c);
    assert_eq!(out[0].2[4], ProtocolStatus::UnknownRole as u8);
    assert_eq!((out[1].0, out[1].2[0]), (fcgi::UNKNOWN_TYPE, 77));
    assert_eq!(fcgi::pairs(&out[2].2), Some(vec![(&b"FCGI_MPXS_CONNS"[..], &b"1"[..])]));
}

#[test]
fn what_has_no_end_is_answered_at_its_bound_and_read_no_further() {
    // Parameters without end, a body beyond its bound, a length that announces more than may be.
    for (kind, length) in [(fcgi::PARAMS, 60_000usize), (fcgi::STDIN, BODY + 1)] {
        let mut c = Client::default();
        let mut bytes = Vec::new();
        begin(&mut bytes, 1, 1);
        if kind == fcgi::STDIN {
            fcgi::stream(&mut bytes, fcgi::PARAMS, 1, b"");
        }
        fcgi::record(&mut bytes, kind, 1, &vec![0; length]);
        assert_eq!(feed(&mut c, &bytes), []);
        assert!(c.doomed() && c.held() < 1024);
        assert_eq!(statuses(&c).len(), 1);
    }
    // Records that belong to nothing, for ever.
    let mut c = Client::default();
    let mut stray = Vec::new();
    fcgi::record(&mut stray, fcgi::STDIN, 9, &[0; 8000]);
    for _ in 0..20 {
        feed(&mut c, &stray);
    }
    assert!(c.doomed() && c.held() == 0);
}

#[test]
fn what_is_no_fastcgi_dooms_the_connection_but_not_what_is_open() {
    let mut c = Client::default();
    feed(&mut c, &request(1, "a", b""));
    let mut coming = Vec::new();
    begin(&mut coming, 2, 1);
    feed(&mut c, &coming);
    feed(&mut c, b"GET / HTTP/1.1\r\n\r\n");
    assert!(c.doomed());
    assert_eq!(statuses(&c), [(2, "Status: 400 Bad Request".into())]);
    assert!(c.answer(1, &OK), "what was whole still gets its answer");
}

/// Whoever withdraws a request has gone, also behind bytes that ended the reading: nothing may begin for it any more.
#[test]
fn a_doomed_connection_still_hears_its_withdrawals() {
    let mut abort = Vec::new();
    fcgi::record(&mut abort, fcgi::ABORT_REQUEST, 1, b"");
    // A body beyond its bound, cut in the middle of its record; records can still be told apart.
    let mut c = Client::default();
    feed(&mut c, &request(1, "a", b""));
    let mut long = Vec::new();
    begin(&mut long, 2, 1);
    fcgi::stream(&mut long, fcgi::PARAMS, 2, b"");
    fcgi::record(&mut long, fcgi::STDIN, 2, &vec![0; BODY + 1]);
    assert_eq!(feed(&mut c, &long[..long.len() - 9]), []);
    assert!(c.doomed() && c.open() == 1);
    // The abort's bytes inside of a body are none.
    let mut rest = abort.clone();
    rest.extend([0]);
    assert_eq!((feed(&mut c, &rest), c.open()), (vec![], 1));
    assert_eq!(feed(&mut c, &abort), [Heard::Withdrawn { number: 1 }]);
    assert_eq!((c.open(), c.answer(1, &OK)), (0, false));
    // Nothing new comes in behind.
    assert_eq!(feed(&mut c, &request(3, "c", b"")), []);
    // Where no record can be told any more, an abort is noise like the rest.
    let mut c = Client::default();
    feed(&mut c, &request(1, "a", b""));
    feed(&mut c, b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!((feed(&mut c, &abort), c.open()), (vec![], 1));
    assert!(c.held() < 1024 && !c.floods());
    let piece = vec![0u8; 1 << 20];
    (0..64).for_each(|_| _ = feed(&mut c, &piece));
    assert!(c.floods(), "and what goes on without end is told");
}

proptest! {
    /// Cut anywhere, the same requests come out.
    #[test]
    fn any_split_gives_the_same(cuts in proptest::collection::vec(1usize..60, 1..80), body in 0usize..2000) {
        let bytes: Vec<u8> = (1..5).flat_map(|n| request(n, "0123456789abcdef", &vec![n as u8; body])).collect();
        let whole = feed(&mut Client::default(), &bytes);
        let (mut c, mut heard, mut rest) = (Client::default(), Vec::new(), &bytes[..]);
        for cut in cuts {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            c.feed(piece, &mut heard);
            rest = after;
        }
        c.feed(rest, &mut heard);
        prop_assert_eq!(heard, whole);
        prop_assert!(!c.coming() && c.held() == 0);
    }

    /// Whatever comes: no panic, bounded memory, readable records, and each number answered at most once.
    #[test]
    fn no_mutation_breaks_it(at in 0usize..4000, to in any::<u8>(), junk in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes: Vec<u8> = (1..5).flat_map(|n| request(n, "0123456789abcdef", &[n as u8; 700])).collect();
        let at = at % bytes.len();
        bytes[at] = to;
        bytes.splice(at..at, junk);
        let mut c = Client::default();
        for piece in bytes.chunks(97) {
            feed(&mut c, piece);
            prop_assert!(c.held() <= REQUESTS * (BODY + 9000));
        }
        records(&c);
    }
}
