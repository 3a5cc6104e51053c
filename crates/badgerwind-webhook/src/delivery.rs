//! Retry policy of a webhook sender: when a message is posted again, and when delivery is abandoned. No I/O.
//!
//! Follows the Standard Webhooks specification, "Deliverability and reliability": increasing delays with
//! jitter over about three days, `Retry-After` is honoured, and status 410 stops delivery.

/// A duration, in microseconds.
pub type Micros = u64;

const SECOND: Micros = 1_000_000;
const MINUTE: Micros = 60 * SECOND;
const HOUR: Micros = 60 * MINUTE;

/// The delay after each failed attempt, as the specification recommends.
pub const SCHEDULE: [Micros; 9] =
    [5 * SECOND, 5 * MINUTE, 30 * MINUTE, 2 * HOUR, 5 * HOUR, 10 * HOUR, 14 * HOUR, 20 * HOUR, 24 * HOUR];

/// Upper bound of the random extension of a delay, as a share of the delay. It keeps many senders from
/// retrying at the same time.
const JITTER: f64 = 0.2;

/// The result of one delivery attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The receiver answered with this status, and perhaps asked for a delay (`Retry-After`), in
    /// microseconds.
    Status(u16, Option<Micros>),
    /// No connection was made, so nothing was sent.
    Unreached,
    /// The connection broke, or no answer came in time: the call may have run.
    NoAnswer,
}

/// What the sender does after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The message was delivered.
    Delivered,
    /// Post the message again after this delay, marked as a retry.
    RetryAfter(Micros),
    /// Abandon delivery for this reason; an operator should look at the message.
    GiveUp(&'static str),
}

/// Decides what follows an attempt. `attempts` counts the attempts so far, including this one; `random` is
/// drawn from 0 to 1. `lodgement` marks a call that must not run twice at a receiver without a fence: a
/// message that may have run is then not posted again.
pub fn next(result: AttemptResult, attempts: usize, lodgement: bool, random: f64) -> NextStep {
    let requested = match result {
        AttemptResult::Status(200..=299, _) => return NextStep::Delivered,
        AttemptResult::Status(410, _) => return NextStep::GiveUp("the receiver is gone for good (410)"),
        // The receiver rejected the message itself; the same message would be rejected again.
        AttemptResult::Status(400 | 401 | 403 | 404 | 405 | 409 | 413 | 417 | 431 | 501, _) => {
            return NextStep::GiveUp("the receiver does not take this message");
        }
        AttemptResult::Status(429 | 503, requested) => requested,
        AttemptResult::Unreached => None,
        AttemptResult::Status(..) | AttemptResult::NoAnswer if lodgement => {
            return NextStep::GiveUp("it may have run, and must not run twice");
        }
        AttemptResult::Status(_, requested) => requested,
        AttemptResult::NoAnswer => None,
    };
    let Some(delay) = attempts.checked_sub(1).and_then(|n| SCHEDULE.get(n)) else {
        return NextStep::GiveUp("the schedule is at its end");
    };
    let jittered = *delay as f64 * (1.0 + JITTER * random.clamp(0.0, 1.0));
    // The receiver may ask for a longer delay, up to the longest of the schedule, but not for a shorter one.
    let longest = SCHEDULE[SCHEDULE.len() - 1];
    NextStep::RetryAfter((jittered as Micros).max(requested.unwrap_or(0).min(longest)))
}
