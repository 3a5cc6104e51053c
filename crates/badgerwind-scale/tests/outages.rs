//! Counts of questions in an outage of service discovery: bounded by calls and by executors in use, whichever is less.

use badgerwind_scale::rows;
use badgerwind_scale::rows::front_end::CALLS_PER_SECOND;

fn questions(executors: u64) -> f64 {
    let row = rows::find("outage-questions").unwrap();
    let all = row.measure(executors, 1).unwrap();
    all.iter().find(|m| m.metric.name == "questions").unwrap().value
}

#[test]
fn questions_follow_executors_in_use_and_never_exceed_calls() {
    // Two questions at a time, once a grace of half a second.
    assert!(questions(12) < 2.0 * 12.0 * 2.2);
    assert!(questions(1_000) <= 2.0 * CALLS_PER_SECOND);
    assert!(questions(12) < questions(120));
}
