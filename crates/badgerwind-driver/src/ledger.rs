//! Bookkeeping of the driver: open calls and their attempts, load orders and timers.

use badgerwind::interface::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{CancelReason, OrderId};

/// The state of an attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// Sent, with no end reported yet.
    InFlight { worker: WorkerId, sent: Time },
    /// Cancellation was requested and is not confirmed yet.
    Cancelling { worker: WorkerId, sent: Time, reason: CancelReason },
    /// Never sent; it ends as [`Outcome::Moot`] in the next batch.
    NotSent,
    /// Ended; later reports of it are ignored.
    Ended,
}

/// Where and when an attempt was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub worker: WorkerId,
    pub sent: Time,
}

impl Attempt {
    /// Marks the attempt as ended. Returns where and when it was sent on the first call only, and only if it
    /// was sent.
    pub(crate) fn end(&mut self) -> Option<SentAttempt> {
        match std::mem::replace(self, Attempt::Ended) {
            Attempt::InFlight { worker, sent } | Attempt::Cancelling { worker, sent, .. } => {
                Some(SentAttempt { worker, sent })
            }
            Attempt::NotSent | Attempt::Ended => None,
        }
    }
    pub(crate) fn is_open(&self) -> bool {
        !matches!(self, Attempt::Ended)
    }
}

/// A call without a final answer, or with open attempts.
#[derive(Debug)]
pub(crate) struct PendingCall<O, C> {
    /// Where the answer goes; moved out by the one final answer.
    pub origin: Option<O>,
    /// Dropped once no further attempt can be sent.
    pub content: Option<C>,
    pub due: Time,
    pub received: Time,
    /// The attempt whose streamed answer is being passed on to the caller.
    pub streaming_attempt: Option<u32>,
    pub attempts: Vec<Attempt>,
    /// The timers set for it and its attempts, cancelled when it is forgotten.
    pub timers: Vec<TimerKey>,
}

impl<O, C> PendingCall<O, C> {
    /// Whether the call is answered (or its caller left) and all attempts have ended, so that it can be
    /// forgotten.
    pub(crate) fn is_finished(&self) -> bool {
        self.origin.is_none() && !self.attempts.iter().any(Attempt::is_open)
    }
}

/// A load order without an answer.
#[derive(Debug)]
pub(crate) struct PendingOrder {
    pub worker: WorkerId,
    pub function: FunctionId,
    pub sent: Time,
    pub timer: TimerKey,
}

/// A probe without an answer.
#[derive(Debug)]
pub(crate) struct PendingProbe {
    pub number: u64,
    pub timer: TimerKey,
}

/// What happens when a timer expires. Those of a call, an order or a probe are cancelled when it ends.
#[derive(Debug)]
pub(crate) enum Timer {
    /// An alarm set by the module.
    Alarm(Arc<str>),
    /// The attempt's own timeout.
    AttemptTimeout(RequestId, u32),
    /// The cancellation of an attempt was not confirmed in time.
    CancelTimeout(RequestId, u32),
    /// The call's due time: its attempts end.
    CallDue(RequestId),
    /// The driver fails the call if the module has not answered it.
    AnswerOverdue(RequestId),
    /// The order was not answered in time.
    OrderTimeout(OrderId),
    /// The probe with this number was not answered in time.
    ProbeTimeout(u64),
    /// Reports an attempt that was never sent.
    AttemptNotSent(RequestId, u32, WorkerId),
    /// Reports an order that was never sent.
    OrderNotSent(WorkerId, FunctionId),
}

/// Identifies a timer that is set. Timers expire in the order of their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimerKey {
    at: Time,
    sequence: u64,
}

/// Timers, ordered by time and then by the order in which they were set.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerKey, Timer>,
    last_sequence: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Time, timer: Timer) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey { at, sequence: self.last_sequence };
        self.pending.insert(key, timer);
        key
    }
    /// Removes timers; those that have expired are ignored.
    pub(crate) fn cancel(&mut self, keys: impl IntoIterator<Item = TimerKey>) {
        keys.into_iter().for_each(|key| _ = self.pending.remove(&key));
    }
    /// The sequence number of the timer set last.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }
    /// The next timer due, if its sequence number is at most `max_sequence`. A batch passes the number from
    /// before it began, so that timers set by the batch expire in the next one.
    pub(crate) fn pop(&mut self, now: Time, max_sequence: u64) -> Option<Timer> {
        // Looking at the first timer is enough: one set by the batch is due at `now` or later, hence sorts
        // behind all older ones that are due. Should its due time lie in the past, older ones wait for the
        // next batch, which follows at once.
        let first = self.pending.first_entry()?;
        let key = *first.key();
        (key.at <= now && key.sequence <= max_sequence).then(|| first.remove())
    }
    pub(crate) fn next(&self) -> Option<Time> {
        self.pending.first_key_value().map(|(key, _)| key.at)
    }
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}
