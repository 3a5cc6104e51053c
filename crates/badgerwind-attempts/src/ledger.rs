//! The ledger of a group of runners: what it stores about each call that must not run twice.
//!
//! A runner asks before it starts an attempt, and reports how it ended. As long as all runners of the group
//! do that and the ledger is not lost, it guarantees: no two attempts of a call are admitted at the same
//! time; none is admitted after one that ran or may have run; none is admitted after a newer one.

use crate::Fence;
use std::collections::{BTreeMap, VecDeque};

/// Microseconds of one monotonic clock.
pub type Time = u64;

/// Whether a runner may run an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<A> {
    /// Run it, then report how it ended.
    Run,
    /// The call already ran: give this answer, and run nothing.
    Ran(A),
    /// An attempt of the same call is running: reject this one, which never ran.
    Busy,
    /// A newer attempt was admitted before: reject this one, which never ran.
    Stale,
    /// An admitted attempt did not report how it ended, so it may have run: fail this one, and run nothing.
    InDoubt,
    /// The ledger has reached its limit: reject this attempt, which never ran.
    Full,
}

/// Limits of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a call is stored after its end.
    pub retention: Time,
    /// How long an attempt may run before its call is in doubt.
    pub lease: Time,
    /// Upper bound of stored calls. They are never removed early.
    pub max_calls: usize,
}

#[derive(Clone, Debug)]
enum State<A> {
    /// An attempt was admitted and is running, until the end of its lease at the latest.
    Running(Time),
    /// The last admitted attempt provably did not run. A newer one may be admitted.
    NotRun,
    /// An attempt ran, with this answer.
    Ran(A),
    /// An attempt may have run.
    InDoubt,
}

#[derive(Clone, Debug)]
struct Call<A> {
    /// The fence of the newest attempt that was admitted.
    newest: Fence,
    state: State<A>,
    /// When the call is removed, unless an attempt is running.
    expires: Time,
}

/// The ledger of a group; `A` is the type of answers.
#[derive(Debug)]
pub struct Ledger<A> {
    limits: Limits,
    calls: BTreeMap<String, Call<A>>,
    /// When to check each call for removal, in ascending order. A call that is not removed then is inserted
    /// again.
    expiries: VecDeque<(Time, String)>,
}

impl<A: Clone> Ledger<A> {
    /// An empty ledger.
    pub fn new(limits: Limits) -> Self {
        Ledger { limits, calls: BTreeMap::new(), expiries: VecDeque::new() }
    }

    /// The number of stored calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is stored.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Marks calls whose lease has expired as in doubt, and removes those whose retention has ended.
    fn expire(&mut self, now: Time) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.expiries.pop_front() else { break };
            let Some(call) = self.calls.get_mut(&key) else { continue };
            if let State::Running(lease_end) = call.state {
                if lease_end <= now {
                    (call.state, call.expires) = (State::InDoubt, now + self.limits.retention);
                }
            }
            let next = match call.state {
                State::Running(lease_end) => lease_end,
                _ if call.expires > now => call.expires,
                _ => {
                    self.calls.remove(&key);
                    continue;
                }
            };
            // Leases are shorter than the retention, so the new position is not always the last one.
            let at = self.expiries.partition_point(|(t, _)| *t <= next);
            self.expiries.insert(at, (next, key));
        }
    }

    /// Decides whether a runner may start an attempt.
    pub fn admit(&mut self, now: Time, key: &str, fence: Fence) -> Admission<A> {
        self.expire(now);
        let lease_end = now + self.limits.lease;
        if let Some(call) = self.calls.get_mut(key) {
            match &call.state {
                State::Ran(answer) => return Admission::Ran(answer.clone()),
                State::InDoubt => return Admission::InDoubt,
                State::Running(until) if *until <= now => {
                    (call.state, call.expires) = (State::InDoubt, now + self.limits.retention);
                    return Admission::InDoubt;
                }
                _ if fence <= call.newest => return Admission::Stale,
                State::Running(_) => return Admission::Busy,
                State::NotRun => {
                    (call.newest, call.state) = (fence, State::Running(lease_end));
                    return Admission::Run;
                }
            }
        }
        if self.calls.len() >= self.limits.max_calls {
            return Admission::Full;
        }
        let call = Call { newest: fence, state: State::Running(lease_end), expires: lease_end };
        self.calls.insert(key.to_owned(), call);
        let at = self.expiries.partition_point(|(t, _)| *t <= lease_end);
        self.expiries.insert(at, (lease_end, key.to_owned()));
        Admission::Run
    }

    /// The call whose running attempt has this fence, if its lease has not expired.
    fn running(&mut self, now: Time, key: &str, fence: Fence) -> Option<&mut Call<A>> {
        let call = self.calls.get_mut(key).filter(|c| c.newest == fence)?;
        matches!(call.state, State::Running(until) if until > now).then_some(call)
    }

    /// The attempt ran, with this answer. Returns false if its lease had expired: then the call is in doubt,
    /// and remains so.
    pub fn record_ran(&mut self, now: Time, key: &str, fence: Fence, answer: A) -> bool {
        let expires = now + self.limits.retention;
        let Some(call) = self.running(now, key, fence) else { return false };
        (call.state, call.expires) = (State::Ran(answer), expires);
        true
    }

    /// The attempt was stopped and provably did not run. Returns false if its lease had expired.
    pub fn record_never_ran(&mut self, now: Time, key: &str, fence: Fence) -> bool {
        let expires = now + self.limits.retention;
        let Some(call) = self.running(now, key, fence) else { return false };
        (call.state, call.expires) = (State::NotRun, expires);
        true
    }

    /// The attempt ended and may have run. Returns false if its lease had expired.
    pub fn record_in_doubt(&mut self, now: Time, key: &str, fence: Fence) -> bool {
        let expires = now + self.limits.retention;
        let Some(call) = self.running(now, key, fence) else { return false };
        (call.state, call.expires) = (State::InDoubt, expires);
        true
    }
}
