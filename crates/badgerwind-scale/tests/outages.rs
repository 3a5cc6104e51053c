//! Tests of the number of questions during an outage of service discovery, which is limited by the calls
//! and by the executors in use.

use badgerwind_scale::rows;
use badgerwind_scale::rows::front_end::CALLS_PER_SECOND;

fn questions(executors: u64) -> f64 {
    let row = rows::find("outage-questions").unwrap();
    let measurements = row.measure(executors, 1).unwrap();
    measurements.iter().find(|m| m.metric.name == "questions").unwrap().value
}

#[test]
fn questions_are_limited_by_executors_in_use_and_by_calls() {
    // Two questions per executor in each grace period of half a second.
    assert!(questions(12) < 2.0 * 12.0 * 2.2);
    assert!(questions(1_000) <= 2.0 * CALLS_PER_SECOND);
    assert!(questions(12) < questions(120));
}
