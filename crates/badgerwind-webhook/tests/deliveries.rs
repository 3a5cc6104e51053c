//! The retry policy of a sender.

use badgerwind_webhook::delivery::{next, AttemptResult, NextStep, SCHEDULE};

const SECOND: u64 = 1_000_000;

#[test]
fn pauses_grow_by_the_schedule_and_it_ends() {
    for (n, pause) in SCHEDULE.iter().enumerate() {
        assert_eq!(next(AttemptResult::Unreached, n + 1, true, 0.0), NextStep::RetryAfter(*pause));
        assert_eq!(next(AttemptResult::Unreached, n + 1, true, 1.0), NextStep::RetryAfter(pause + pause / 5));
    }
    assert_eq!(
        next(AttemptResult::Unreached, SCHEDULE.len() + 1, true, 0.0),
        NextStep::GiveUp("the schedule is at its end")
    );
}

#[test]
fn a_receiver_may_extend_a_delay_but_not_shorten_it() {
    let busy = |asked| next(AttemptResult::Status(503, asked), 1, true, 0.0);
    assert_eq!(busy(None), NextStep::RetryAfter(5 * SECOND));
    assert_eq!(busy(Some(30 * SECOND)), NextStep::RetryAfter(30 * SECOND));
    assert_eq!(busy(Some(SECOND)), NextStep::RetryAfter(5 * SECOND));
    assert_eq!(busy(Some(u64::MAX)), NextStep::RetryAfter(SCHEDULE[8]));
}

#[test]
fn messages_that_may_have_run_are_retried_only_if_that_is_harmless() {
    for got in [
        AttemptResult::NoAnswer,
        AttemptResult::Status(502, None),
        AttemptResult::Status(504, None),
        AttemptResult::Status(500, None),
    ] {
        assert!(
            matches!(next(got, 1, true, 0.0), NextStep::GiveUp(why) if why.contains("may have run")),
            "{got:?}"
        );
        assert_eq!(next(got, 1, false, 0.0), NextStep::RetryAfter(5 * SECOND), "{got:?}");
    }
    assert_eq!(next(AttemptResult::Status(204, None), 3, true, 0.0), NextStep::Delivered);
    for status in [400, 401, 404, 409, 410, 413] {
        assert!(
            matches!(next(AttemptResult::Status(status, None), 1, false, 0.0), NextStep::GiveUp(_)),
            "{status}"
        );
    }
}
