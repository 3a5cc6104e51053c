//! Replay protection by message id: a repeated message gets the stored answer, or waits for the answer of the
//! call in progress, and starts nothing. Bounded by time, by number of ids and by bytes.
//!
//! Guarantee: an id whose call must not run twice starts at most one run until [`ReplayLimits::retention`]
//! after the end of that run, within one process of one front end. An id is never evicted early: while the
//! table is full, new calls that must be remembered are rejected, which is harmless, until old ids have
//! expired.

use sha2::{Digest as _, Sha256};
use std::collections::{HashMap, VecDeque};

/// Microseconds of a monotonic clock.
type Time = u64;

/// SHA-256 of a body; detects a repeated id with a different body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of these bytes.
    pub fn of(body: &[u8]) -> Self {
        Digest::of_parts(&[body])
    }
    /// The digest of the concatenation of these parts.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut sha = Sha256::new();
        parts.iter().for_each(|p| sha.update(p));
        Digest(sha.finalize().into())
    }
}

/// Limits of the replay table.
#[derive(Clone, Copy, Debug)]
pub struct ReplayLimits {
    /// Largest number of ids stored at once.
    pub max_ids: usize,
    /// How long the id of an ended call is stored, in microseconds. It must be at least
    /// [`ReplayLimits::retention_for`] the tolerance of timestamps, or a signature could still be valid after
    /// its id was forgotten.
    pub retention: u64,
    /// Largest number of messages that may wait for one answer.
    pub max_waiters: usize,
    /// Bytes of stored answers; at this size no new id is stored.
    pub max_bytes: usize,
}

impl ReplayLimits {
    /// How long an id must be stored so that it outlasts every signature, in microseconds, for a tolerance in
    /// seconds. A message signed one tolerance ahead of the clock stays valid until the clock is one
    /// tolerance past the timestamp. Timestamps are whole seconds and the limit is inclusive, which adds one
    /// second: a message accepted in second N is valid to the end of second N + 2 x tolerance.
    /// [`crate::WallClock`], which decides validity, may run at seven eighths of the speed of the monotonic
    /// clock that measures the retention.
    pub const fn retention_for(tolerance: u64) -> u64 {
        let wall = tolerance.saturating_mul(2).saturating_add(1).saturating_mul(1_000_000);
        wall.saturating_add(wall.div_ceil(crate::skew::SLEW_DIVISOR - 1))
    }
}

/// What to do with an incoming message.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<A> {
    /// A new message: run its call, then report its end with [`Replay::end`].
    Run,
    /// A new message for which there is no room in the table; only for calls that may run twice.
    RunUnremembered,
    /// The message was answered before, with this answer.
    Answered(A),
    /// The call is in progress; its answer goes to the waiter that was registered.
    Waits,
    /// The same id was received with a different body.
    Conflict,
    /// The message must be stored and there is no room: reject it.
    Full,
}

/// How a call ended, as far as replay protection is concerned.
#[derive(Debug)]
pub enum Ending<A> {
    /// The call ran, or may have run: the same message gets this answer from now on.
    Remember {
        /// The answer.
        answer: A,
        /// Its size in bytes.
        size: usize,
    },
    /// The call never ran, or running again is harmless: the same message may be tried again.
    Forget,
}

/// A stored message id: SHA-256 of the sender's name and the id, truncated to 128 bits. Ids are scoped by
/// sender, so a sender could at most search for a collision among its own ids, which takes some 2^64 tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Id([u8; 16]);

impl Id {
    /// The stored form of a sender's name and a message id, neither of which may contain a zero byte.
    pub fn of(sender: &str, id: &str) -> Self {
        let Digest(digest) = Digest::of_parts(&[sender.as_bytes(), &[0], id.as_bytes()]);
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&digest[..16]);
        Id(truncated)
    }

    fn shard(&self, shards: usize) -> usize {
        usize::from(u16::from_le_bytes([self.0[0], self.0[1]])) % shards.max(1)
    }
}

#[derive(Debug)]
enum State<A, W> {
    Running(Vec<W>),
    /// The answer, its size in bytes, and the time it was given.
    Answered(A, usize, Time),
}

#[derive(Debug)]
struct Entry<A, W> {
    digest: Digest,
    state: State<A, W>,
}

/// Ids per shard. A hash table rehashes all its entries when it grows, and the message that triggers it waits
/// for that; small tables keep the wait short.
const IDS_PER_SHARD: usize = 1024;
/// Upper bound on the number of shards.
const MAX_SHARDS: usize = 1 << 16;

/// Entries per chunk of the expiry queue. The queue grows by whole chunks, so growth never moves existing
/// entries.
const CHUNK: usize = 512;

/// Largest number of expired ids removed per message, so that no message waits for long. Each message adds at
/// most one id, so the queue still shrinks.
const MAX_EXPIRED_PER_MESSAGE: usize = 64;

/// The table of message ids. `A` is an answer, `W` a waiter for one.
#[derive(Debug)]
pub struct Replay<A, W> {
    limits: ReplayLimits,
    shards: Vec<HashMap<Id, Entry<A, W>>>,
    len: usize,
    /// Ids of ended calls in order of their end, which is the order of expiry, since all are stored equally
    /// long.
    ended: VecDeque<VecDeque<(Time, Id)>>,
    bytes: usize,
}

impl<A: Clone, W> Replay<A, W> {
    /// Creates an empty table, with shards for the initial limit on ids. If [`Replay::set_limits`] later
    /// raises the limit far beyond that, the table stays correct, but single messages may wait longer while a
    /// shard grows.
    pub fn new(limits: ReplayLimits) -> Self {
        let shards = (limits.max_ids / IDS_PER_SHARD).next_power_of_two().min(MAX_SHARDS);
        let shards = (0..shards).map(|_| HashMap::new()).collect();
        Replay { limits, shards, len: 0, ended: VecDeque::new(), bytes: 0 }
    }

    /// Changes the limits from now on; entries beyond the new limits stay until they expire.
    pub fn set_limits(&mut self, limits: ReplayLimits) {
        self.limits = limits;
    }

    /// Number of stored ids; some of them may have expired without being removed yet.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if no id is stored.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn shard(&mut self, id: &Id) -> &mut HashMap<Id, Entry<A, W>> {
        let n = id.shard(self.shards.len());
        &mut self.shards[n]
    }

    fn forget(&mut self, id: &Id) {
        if let Some(entry) = self.shard(id).remove(id) {
            self.len -= 1;
            if let State::Answered(_, size, _) = entry.state {
                self.bytes -= size;
            }
        }
    }

    /// True if the call of an id is in progress or its answer has not expired: [`Replay::admit`] would start
    /// nothing.
    pub fn knows(&mut self, now: Time, id: &Id) -> bool {
        let retention = self.limits.retention;
        match self.shard(id).get(id).map(|e| &e.state) {
            Some(State::Answered(_, _, at)) => at.saturating_add(retention) > now,
            Some(State::Running(_)) => true,
            None => false,
        }
    }

    /// The waiters for the answer of a call in progress.
    pub fn waiting(&mut self, id: &Id) -> &[W] {
        match self.shard(id).get(id).map(|e| &e.state) {
            Some(State::Running(waiters)) => waiters,
            _ => &[],
        }
    }

    /// Decides what to do with a message whose signature is valid. `unsafe_call` marks a call that must not
    /// run twice.
    pub fn admit(
        &mut self,
        now: Time,
        id: &Id,
        digest: Digest,
        unsafe_call: bool,
        waiter: impl FnOnce() -> W,
    ) -> Admission<A> {
        self.expire(now);
        let (retention, max_waiters) = (self.limits.retention, self.limits.max_waiters);
        if let Some(entry) = self.shard(id).get_mut(id) {
            match &mut entry.state {
                // Expired, though not removed from the queue yet.
                State::Answered(_, _, at) if at.saturating_add(retention) <= now => self.forget(id),
                _ if entry.digest != digest => return Admission::Conflict,
                State::Answered(answer, ..) => return Admission::Answered(answer.clone()),
                State::Running(waiters) if waiters.len() < max_waiters => {
                    waiters.push(waiter());
                    return Admission::Waits;
                }
                State::Running(_) => return Admission::Full,
            }
        }
        if self.len >= self.limits.max_ids || self.bytes >= self.limits.max_bytes {
            return if unsafe_call { Admission::Full } else { Admission::RunUnremembered };
        }
        self.shard(id).insert(*id, Entry { digest, state: State::Running(Vec::new()) });
        self.len += 1;
        Admission::Run
    }

    /// Records the end of a call admitted with [`Admission::Run`]; returns its waiters, which the caller must
    /// answer.
    pub fn end(&mut self, now: Time, id: &Id, ending: Ending<A>) -> Vec<W> {
        let Some(entry) = self.shard(id).get_mut(id) else { return Vec::new() };
        let State::Running(waiters) = &mut entry.state else { return Vec::new() };
        let waiters = std::mem::take(waiters);
        match ending {
            Ending::Remember { answer, size } => {
                entry.state = State::Answered(answer, size, now);
                self.bytes += size;
                match self.ended.back_mut() {
                    Some(chunk) if chunk.len() < CHUNK => chunk.push_back((now, *id)),
                    _ => {
                        let mut chunk = VecDeque::with_capacity(CHUNK);
                        chunk.push_back((now, *id));
                        self.ended.push_back(chunk);
                    }
                }
            }
            Ending::Forget => self.forget(id),
        }
        waiters
    }

    fn expire(&mut self, now: Time) {
        for _ in 0..MAX_EXPIRED_PER_MESSAGE {
            let Some(chunk) = self.ended.front_mut() else { break };
            let Some((at, id)) = chunk.front().copied() else {
                self.ended.pop_front();
                continue;
            };
            if at.saturating_add(self.limits.retention) > now {
                break;
            }
            chunk.pop_front();
            // The same id may have been admitted again since, and have ended later.
            let entry = self.shard(&id).get(&id);
            if matches!(entry, Some(Entry { state: State::Answered(_, _, ended), .. }) if *ended == at) {
                self.forget(&id);
            }
        }
    }
}
