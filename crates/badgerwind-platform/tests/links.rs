//! A connection to an executor: what an attempt's end proves, and what a spoilt answer costs.

use badgerwind::interface::{CopyMark, RequestId};
use badgerwind_driver::{CancelReason, OrderId};
use badgerwind_freshness::Evidence;
use badgerwind_platform::line;
use badgerwind_platform::link::{End, Link, Off, Spoilt, Start, Task};
use badgerwind_platform::reach::{Patience, Reach, Sharing};
use proptest::prelude::*;

type L = Link<()>;

fn attempt(id: &str) -> Task<()> {
    Task::Attempt { id: id.into(), attempt: 0, content: (), limit: 9 }
}

fn write(task: &Task<()>, out: &mut Vec<u8>) -> Start {
    match task {
        Task::Attempt { id, .. } => {
            line::call(out, &line::Call { id, kind: "k", obj: "f", ms: 9, body: b"hi" });
        }
        Task::Order { copies, .. } => line::load(out, "load-3", "f", *copies),
        Task::Probe(_) => line::probe(out, "probe-1"),
        Task::ProbeQuestion { number } => line::probe(out, &format!("ask-{number}")),
        Task::OrderQuestion { number, key } => line::load(out, &format!("ask-{number}"), key, 0),
        Task::Unload(key) => line::unload(out, key),
    }
    Start::Begun
}

/// A link on which these attempts are out whole.
fn out(ids: &[&str]) -> L {
    let (mut l, mut ends) = (L::new(0), Vec::new());
    ids.iter().for_each(|id| l.push(0, attempt(id)));
    l.begin(0, write, &mut ends);
    l.sent(l.out().len(), &mut ends);
    assert!(ends.is_empty() && l.busy() == ids.len());
    l
}

/// The ends in words.
fn words(ends: Vec<End<()>>) -> Vec<String> {
    let word = |e| match e {
        End::Attempt(id, n, end) => format!("{id}/{n} {:?}", end.outcome),
        End::Order(OrderId(n), outcome, copies) => format!("order {n} {outcome:?} {copies}"),
        End::Probe(outcome) => format!("probe {outcome:?}"),
        End::Question(outcome) => format!("question {outcome:?}"),
        End::Unsent(Task::Attempt { id, .. }) => format!("{id} unsent"),
        End::Unsent(_) => "unsent".into(),
    };
    ends.into_iter().map(word).collect()
}

fn feed(l: &mut L, text: &str) -> (Vec<String>, bool) {
    let mut ends = Vec::new();
    let fed = l.feed(1, text.as_bytes(), &mut ends);
    (words(ends), fed.is_ok())
}

fn broken(mut l: L, spoilt: bool) -> Vec<String> {
    let mut ends = Vec::new();
    l.broken(spoilt, &mut ends);
    assert_eq!(l.busy(), 0);
    words(ends)
}

fn hit(id: &str) -> String {
    format!("{{\"type\":\"HIT\",\"req\":\"{id}\",\"data\":\"aGk=\"}}\n")
}

#[test]
fn only_what_is_out_to_its_last_byte_may_have_run() {
    for short in [0usize, 1, 1000] {
        let mut l = L::new(0);
        let mut ends = Vec::new();
        l.push(0, attempt("a"));
        l.begin(0, write, &mut ends);
        let whole = l.out().len();
        l.sent(whole.saturating_sub(short), &mut ends);
        let want = if short == 0 { "a/0 Reset" } else { "a unsent" };
        assert_eq!(broken(l, false), [want], "{short} bytes short");
    }
    let mut l = L::new(0);
    l.push(0, attempt("queued"));
    assert_eq!(broken(l, false), ["queued unsent"]);
}

#[test]
fn what_may_not_go_out_any_more_is_told_apart_at_its_first_byte() {
    let (mut l, mut ends) = (L::new(0), Vec::new());
    l.push(0, attempt("late"));
    l.push(0, Task::Probe(1));
    let probes_only = |t: &Task<()>, out: &mut Vec<u8>| match t {
        Task::Probe(_) => write(t, out),
        _ => Start::Dropped,
    };
    l.begin(0, probes_only, &mut ends);
    assert_eq!(words(ends), ["late unsent"]);
    assert!(l.out().starts_with(b"{\"type\":\"HELO\""));
}

#[test]
fn each_word_ends_what_it_answers() {
    for (word, outcome) in
        [("HIT", "Ok"), ("NONE", "Miss"), ("SHED", "Full"), ("FAULT", "Error"), ("LATE", "Moot")]
    {
        let mut l = out(&["a", "b"]);
        assert_eq!(
            feed(&mut l, &format!("{{\"type\":\"{word}\",\"req\":\"a\"}}\n")).0,
            [format!("a/0 {outcome}")]
        );
        assert!(l.busy() == 1 && l.takes("c") && !l.takes("b"));
    }
    let (mut l, mut ends) = (L::new(0), Vec::new());
    l.push(0, Task::Order { order: OrderId(3), key: "f".into(), copies: 2 });
    l.push(0, Task::Probe(1));
    l.begin(0, write, &mut ends);
    l.sent(l.out().len(), &mut ends);
    let text = "{\"type\":\"SHED\",\"req\":\"load-3\",\"meta\":{\"slots_up\":\"1\"}}\n{\"type\":\"PONG\",\"req\":\"probe-1\"}\n";
    assert_eq!(feed(&mut l, text).0, ["order 3 Full 1", "probe Ok"]);
}

#[test]
fn notes_and_company_are_read_and_may_be_strings_or_numbers() {
    for company in ["3", "\"3\""] {
        let text = format!("{{\"type\":\"HIT\",\"req\":\"a\",\"meta\":{{\"res\":\"j\",\"company\":{company}}},\"data\":\"aGk=\"}}");
        let said = line::read(text.as_bytes()).unwrap();
        assert_eq!((said.mark, said.crowd, &said.body[..]), (CopyMark::WaitedForLoad, 3, &b"hi"[..]));
    }
    assert!(line::read(b"{\"type\":\"HIT\",\"req\":\"a\",\"data\":\"?\"}").is_err());
    assert!(line::read(b"{\"type\":\"WHAT\",\"req\":\"a\"}").is_err());
}

/// The answer to an attempt that was given up must not count for the next one of the same id.
#[test]
fn a_late_answer_is_nobodys_and_its_connection_is_no_way_for_the_same_id() {
    let mut l = out(&["a"]);
    let mut ends = Vec::new();
    assert_eq!(l.off(&"a".into(), 0, CancelReason::TimedOut, &mut ends), Off::Done);
    assert!(ends.is_empty(), "over only once its KILL is out");
    assert!(l.kills() && l.out() == b"{\"type\":\"KILL\",\"req\":\"a\"}\n");
    l.sent(l.out().len(), &mut ends);
    assert_eq!(words(ends), ["a/0 Timeout"]);
    assert!(!l.takes("a") && l.takes("b"));
    assert_eq!(feed(&mut l, &hit("a")), (vec![], true));
    // A second copy of it may still come, so that no attempt of the same call goes over it; others do.
    assert!(!l.takes("a") && l.takes("b") && !l.spent());
}

/// A second answer may come some milliseconds late. Over the same connection it would end the next attempt of its call while
/// that one still runs.
#[test]
fn a_call_turned_away_comes_over_the_same_connection_no_more() {
    for word in ["SHED", "NONE", "FAULT", "LATE"] {
        let mut l = out(&["a", "b"]);
        let line = format!("{{\"type\":\"{word}\",\"req\":\"a\"}}\n");
        assert_eq!(feed(&mut l, &line).0.len(), 1);
        assert!(!l.takes("a") && l.takes("c"), "{word}");
        // The second one spoils it for all that is new, and ends nothing.
        assert_eq!(feed(&mut l, &line), (vec![], true));
        assert!(!l.takes("c") && l.spent() && l.owed() == 1);
    }
    // One that was given up, its answer crossing that, and again.
    let (mut l, mut ends) = (out(&["a"]), Vec::new());
    l.off(&"a".into(), 0, CancelReason::TimedOut, &mut ends);
    l.sent(l.out().len(), &mut ends);
    assert_eq!(feed(&mut l, &hit("a")), (vec![], true));
    assert!(!l.takes("a") && l.takes("c"));
    // What is remembered is bounded.
    for n in 0..200 {
        let id = format!("n{n}");
        let mut ends = Vec::new();
        l.push(0, attempt(&id));
        l.begin(0, write, &mut ends);
        l.sent(l.out().len(), &mut ends);
        feed(&mut l, &format!("{{\"type\":\"SHED\",\"req\":\"{id}\"}}\n"));
        assert!(!l.takes(&id));
    }
    assert!(l.takes("n1") && !l.takes("n190"));
}

/// Nobody waits for it any more: what no byte of is out stays back, and what was to follow follows.
#[test]
fn an_attempt_that_has_not_begun_is_withheld_also_behind_lines_that_the_socket_has_not_taken() {
    let (mut l, mut ends) = (L::new(0), Vec::new());
    ["a", "b", "c"].iter().for_each(|id| l.push(0, attempt(id)));
    l.begin(0, write, &mut ends);
    l.push(0, attempt("d"));
    let line = l.out().len() / 3;
    l.sent(line + 1, &mut ends);
    assert!(!l.withhold(&"a".into(), 0, &mut ends), "out whole");
    assert!(!l.withhold(&"b".into(), 0, &mut ends), "a byte of it is out");
    assert!(!l.withhold(&"c".into(), 1, &mut ends), "another attempt");
    assert!(l.withhold(&"c".into(), 0, &mut ends) && l.withhold(&"d".into(), 0, &mut ends));
    assert_eq!(words(std::mem::take(&mut ends)), ["c unsent", "d unsent"]);
    assert_eq!(l.off(&"b".into(), 0, CancelReason::Cancelled, &mut ends), Off::Cut);
    assert_eq!(l.out().len(), line - 1);
    l.push(0, attempt("e"));
    l.begin(0, write, &mut ends);
    let text = String::from_utf8(l.out().to_vec()).unwrap();
    assert!(text.contains("\"e\"") && !text.contains("\"c\"") && !text.contains("\"d\""), "{text}");
    l.sent(l.out().len(), &mut ends);
    assert_eq!((l.owed(), l.busy(), ends.len()), (3, 3, 0));
    assert_eq!(feed(&mut l, &hit("e")).0, ["e/0 Ok"]);
}

/// Work whose first byte the socket has not taken is looked at again when it can go: its executor may drain by then.
#[test]
fn work_of_which_no_byte_is_out_goes_back_in_line_in_its_order() {
    let (mut l, mut ends) = (L::new(0), Vec::new());
    ["a", "b", "c"].iter().for_each(|id| l.push(0, attempt(id)));
    l.push(0, Task::Probe(1));
    l.begin(0, write, &mut ends);
    l.push(0, attempt("d"));
    let line = line_length(&attempt("a"));
    l.sent(line + 1, &mut ends);
    l.put_back(|task| task.new_work(|()| "f").is_some());
    let waiting: Vec<_> = l.waiting().map(|task| matches!(task, Task::Attempt { .. })).collect();
    assert_eq!(waiting, [true, true], "c and d; a is out whole, b has begun, the probe is no work");
    assert_eq!(l.out().len(), line - 1 + line_length(&Task::Probe(1)));
    l.begin(1, |_, _| Start::Dropped, &mut ends);
    assert_eq!(words(ends), ["c unsent", "d unsent"]);
    assert_eq!(feed(&mut l, &hit("a")).0, ["a/0 Ok"]);
}

fn line_length(task: &Task<()>) -> usize {
    let mut out = Vec::new();
    write(task, &mut out);
    out.len()
}

#[test]
fn what_is_held_stays_in_line_until_it_may_begin_or_must_not() {
    let (mut l, mut ends) = (L::new(0), Vec::new());
    l.push(0, attempt("a"));
    l.push(0, Task::OrderQuestion { number: 1, key: "f".into() });
    let hold_work = |task: &Task<()>, out: &mut Vec<u8>| match task {
        Task::Attempt { .. } => Start::Held,
        _ => write(task, out),
    };
    l.begin(0, hold_work, &mut ends);
    assert!(l.out().starts_with(b"{\"type\":\"SPAWN\",\"req\":\"ask-1\"") && ends.is_empty());
    assert_eq!(l.busy(), 2);
    assert!(l.withhold(&"a".into(), 0, &mut ends), "its client may leave while it waits");
}

/// Each answer proves what the executor did at some moment after the first byte of what it answers, and no more.
#[test]
fn answers_prove_what_executors_did_after_what_they_answer_began() {
    let answer = |task: Task<()>, word: &str, name: &str| {
        let (mut l, mut ends) = (L::new(0), Vec::new());
        l.push(3, task);
        l.begin(5, write, &mut ends);
        l.sent(l.out().len(), &mut ends);
        let line = format!("{{\"type\":\"{word}\",\"req\":\"{name}\",\"meta\":{{\"slots_up\":2}}}}\n");
        feed(&mut l, &line);
        l.evidence()
    };
    let probe = || Task::ProbeQuestion { number: 1 };
    let asks = || Task::OrderQuestion { number: 1, key: "f".into() };
    let order = || Task::Order { order: OrderId(3), key: "f".into(), copies: 2 };
    let confirms = |copies| vec![Evidence::Confirmed { since: 5, copies }];
    assert_eq!(answer(attempt("a"), "HIT", "a"), [Evidence::Served]);
    assert_eq!(answer(attempt("a"), "SHED", "a"), [Evidence::WorkRejected]);
    assert_eq!(answer(probe(), "PONG", "ask-1"), confirms(None));
    assert_eq!(answer(probe(), "SICK", "ask-1"), [Evidence::Denied]);
    assert_eq!(answer(probe(), "SHED", "ask-1"), [Evidence::QuestionRejected], "a full table's word");
    assert_eq!(answer(asks(), "HIT", "ask-1"), confirms(Some(2)));
    assert_eq!(answer(asks(), "SHED", "ask-1"), [Evidence::QuestionRejected]);
    assert_eq!(answer(asks(), "FAULT", "ask-1"), [Evidence::Inconclusive]);
    assert_eq!(answer(order(), "HIT", "load-3"), [], "one that drains may take it");
    assert_eq!(answer(order(), "SHED", "load-3"), [], "for want of room, it may be");
    for word in ["NONE", "FAULT", "LATE"] {
        assert_eq!(answer(attempt("a"), word, "a"), [], "{word}");
    }
    assert_eq!(answer(Task::Probe(1), "SICK", "probe-1"), [], "it was not asked for that");
}

#[test]
fn a_retired_connection_takes_nothing_new_and_ends_what_is_on_it() {
    let mut l = out(&["a"]);
    l.retire();
    assert!(!l.takes("b") && l.spent());
    assert_eq!(feed(&mut l, &hit("a")).0, ["a/0 Ok"]);
}

#[test]
fn one_cut_in_the_middle_of_its_line_can_only_be_kept_back_by_the_connections_end() {
    let (mut l, mut ends) = (L::new(0), Vec::new());
    l.push(0, attempt("a"));
    l.begin(0, write, &mut ends);
    l.sent(5, &mut ends);
    assert_eq!(l.off(&"a".into(), 0, CancelReason::Cancelled, &mut ends), Off::Cut);
    assert_eq!(l.off(&"x".into(), 0, CancelReason::Cancelled, &mut ends), Off::Unknown);
    assert_eq!(broken(l, false), ["a unsent"]);
}

#[test]
fn a_good_answer_beside_junk_counts_and_the_connection_takes_nothing_new() {
    let mut l = out(&["a"]);
    let (ends, good) = feed(&mut l, &format!("{}{}", hit("unknown"), hit("a")));
    assert_eq!((ends, good), (vec!["a/0 Ok".to_owned()], true));
    assert!(!l.takes("b") && l.spent());
    let mut l = out(&["a"]);
    assert_eq!(feed(&mut l, &format!("{}{}", hit("a"), hit("a"))).0, ["a/0 Ok"], "a second copy is nobody's");
    assert!(l.spent());
}

#[test]
fn a_spoilt_answer_is_the_one_attempts_error_or_everybodys_reset() {
    for junk in [
        "noise\n",
        "{\"type\":\"HIT\",\"req\":\"a\",\"data\":\"%\"}\n",
        "{\"type\":\"PONG\",\"req\":\"a\"}\n",
    ] {
        let mut l = out(&["a"]);
        assert!(!feed(&mut l, junk).1, "{junk}");
        assert_eq!(broken(l, true), ["a/0 Error"]);
        let mut l = out(&["a", "b"]);
        assert!(!feed(&mut l, junk).1);
        assert_eq!(broken(l, true), ["a/0 Reset", "b/0 Reset"]);
    }
}

#[test]
fn a_line_without_end_is_given_up_at_its_bound() {
    let (mut l, mut fed) = (out(&["a"]), 0);
    let piece = "x".repeat(10_000);
    let spoilt = loop {
        match l.feed(1, piece.as_bytes(), &mut Vec::new()) {
            Ok(()) => fed += piece.len(),
            Err(e) => break e,
        }
    };
    assert_eq!(spoilt, Spoilt::Endless);
    assert!(fed <= line::MOST && l.held() <= line::MOST);
}

#[test]
fn a_connection_that_gave_up_too_much_is_used_up() {
    let ids: Vec<String> = (0..40).map(|n| format!("{n}")).collect();
    let mut l = out(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    for id in &ids {
        l.off(&RequestId::from(id.as_str()), 0, CancelReason::Cancelled, &mut Vec::new());
    }
    assert!(l.spent());
}

proptest! {
    /// Cut anywhere, the same ends come out; whatever one byte is turned into, each attempt ends once.
    #[test]
    fn any_split_and_any_mutation(cuts in proptest::collection::vec(1usize..20, 1..60), at in 0usize..200, to in any::<u8>()) {
        let text: String = ["a", "b", "c"].map(hit).concat();
        let (mut l, mut rest, mut all) = (out(&["a", "b", "c"]), &text[..], Vec::new());
        for cut in cuts {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            all.extend(feed(&mut l, piece).0);
            rest = after;
        }
        all.extend(feed(&mut l, rest).0);
        prop_assert_eq!(all, ["a/0 Ok", "b/0 Ok", "c/0 Ok"]);

        let mut bytes = text.into_bytes();
        let at = at % bytes.len();
        bytes[at] = to;
        let (mut l, mut ends) = (out(&["a", "b", "c"]), Vec::new());
        let spoilt = l.feed(1, &bytes, &mut ends).is_err();
        l.broken(spoilt, &mut ends);
        let mut ids: Vec<String> = words(ends).iter().map(|w| w[..1].to_owned()).collect();
        ids.sort();
        prop_assert_eq!(ids, ["a", "b", "c"]);
    }
}

#[test]
fn a_standing_connection_is_trusted_until_something_went_without_a_word() {
    let mut r = Reach::new(500);
    assert!(r.trusted(0, 500) && r.trusted(1_000_000, 500), "silence where nothing was asked proves nothing");
    r.asked(1000);
    r.asked(1400); // the first counts
    assert!(r.trusted(1500, 500) && !r.trusted(1501, 500));
    assert_eq!(r.heard(), Some(1000));
    assert!(r.trusted(1501, 500));
}

#[test]
fn silence_is_borne_as_long_as_executors_usually_take_and_no_longer_than_four_times_the_least() {
    let mut p = Patience::new(500);
    assert_eq!(p.span(), 500);
    p.word(900);
    p.word(100);
    assert!((880..=900).contains(&p.span()), "{}", p.span());
    (0..200).for_each(|_| p.word(100));
    assert_eq!(p.span(), 500, "a queue of long ago is forgotten");
    p.word(60_000);
    assert_eq!(p.span(), 2000);
}

#[test]
fn calls_go_together_while_connections_hold_and_apart_while_they_break() {
    let mut s = Sharing::default();
    let until = |s: &mut Sharing, once| (0..).take_while(|_| (s.together(once) == 1, s.answered()).0).count();
    assert!(s.together(false) > 1);
    assert_eq!(s.together(true), 1, "what must not run twice waits for proof");
    assert!((70..80).contains(&until(&mut s, true)));
    s.broke();
    assert_eq!((s.together(false), s.together(true)), (1, 1));
    assert!((20..60).contains(&until(&mut s, false)));
    s.broke();
    s.broke();
    assert!((200..400).contains(&until(&mut s, false)), "breaks add up");
    assert!((100..300).contains(&until(&mut s, true)));
}

#[test]
fn a_full_table_is_tried_ever_more_seldom_and_at_once_after_it_took_a_call() {
    let mut r = Reach::new(500);
    let mut pauses = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        assert!(r.opens(now));
        r.turned_away(now, 1.0);
        r.turned_away(now, 1.0); // one that knocked beside it
        let from = now;
        while !r.opens(now) {
            now += 1;
        }
        pauses.push(now - from);
    }
    assert_eq!(pauses, [500, 1000, 2000, 4000, 4000, 4000]);
    r.taken_in();
    r.turned_away(now, 0.0);
    assert!(!r.opens(now + 249) && r.opens(now + 250), "front ends do not come back in step");
}
