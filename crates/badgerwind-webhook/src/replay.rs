//! The memory of message ids: a message that comes again gets the answer that it got, or waits for it, and starts
//! nothing. Bounded by time, by count and by bytes.
//!
//! The promise: an id whose call must not run twice starts at most one run within [`Bounds::keep`] of its end, as
//! seen by this front end and this life of it. Where the memory is full it is never given up early: new calls that
//! must be remembered are turned away, which is harmless, until old ids have aged out.

use sha2::{Digest as _, Sha256};
use std::collections::{HashMap, VecDeque};

/// Microseconds of a monotonic clock.
type Time = u64;

/// SHA-256 of a body, by which the same id with another body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Of these bytes.
    pub fn of(body: &[u8]) -> Self {
        Digest::of_parts(&[body])
    }
    /// Of these bytes, one part after the other.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut sha = Sha256::new();
        parts.iter().for_each(|p| sha.update(p));
        Digest(sha.finalize().into())
    }
}

/// Bounds of the memory.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Ids remembered at once.
    pub count: usize,
    /// How long an ended id is remembered, in microseconds. At least [`Bounds::keep_for`] the tolerance of
    /// timestamps, or a signature could outlive its memory.
    pub keep: u64,
    /// Messages that may wait for one answer.
    pub waiters: usize,
    /// Bytes of answers remembered, from which on no new id is let in.
    pub bytes: usize,
}

impl Bounds {
    /// How long an id must be remembered so that no signature outlives it, in microseconds, for a tolerance in
    /// seconds. Signed as far ahead as may be, a message is accepted from then until as far behind; timestamps are
    /// whole seconds and the edge itself counts, which adds one: from second N it is good to the end of N + 2 x
    /// tolerance. [`crate::Wall`], by which that is judged, may run at seven eighths of the clock that ids are
    /// remembered by.
    pub const fn keep_for(tolerance: u64) -> u64 {
        let wall = tolerance.saturating_mul(2).saturating_add(1).saturating_mul(1_000_000);
        wall.saturating_add(wall.div_ceil(crate::skew::MADE_UP - 1))
    }
}

/// What to do with a message.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<A> {
    /// New: run it, then say how it ended.
    Run,
    /// New, and there is no room to remember it; only for calls that may run twice.
    RunUnremembered,
    /// Answered before.
    Answered(A),
    /// Under way: its answer will reach the waiter handed in.
    Waits,
    /// The same id came with another body.
    Conflict,
    /// It must be remembered and cannot be: turn it away.
    Full,
}

/// How a call ended, for the memory.
#[derive(Debug)]
pub enum Ending<A> {
    /// The same message must get this answer from now on: it ran, or may have.
    Remember {
        /// The answer.
        answer: A,
        /// Its size in bytes.
        size: usize,
    },
    /// The same message may be tried anew: it never ran, or running again is harmless.
    Forget,
}

/// An id as it is remembered: SHA-256 of its parts, cut to 128 bits. Ids are scoped by their sender's name, so that a
/// sender could at most look for a collision among its own, at some 2^64 tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Id([u8; 16]);

impl Id {
    /// Of a sender's name and a message's id, neither of which holds a zero byte.
    pub fn of(sender: &str, id: &str) -> Self {
        let Digest(whole) = Digest::of_parts(&[sender.as_bytes(), &[0], id.as_bytes()]);
        let mut cut = [0; 16];
        cut.copy_from_slice(&whole[..16]);
        Id(cut)
    }

    fn shard(&self, shards: usize) -> usize {
        usize::from(u16::from_le_bytes([self.0[0], self.0[1]])) % shards.max(1)
    }
}

#[derive(Debug)]
enum State<A, W> {
    Running(Vec<W>),
    /// The answer, its size, and when it was given.
    Answered(A, usize, Time),
}

#[derive(Debug)]
struct Entry<A, W> {
    digest: Digest,
    state: State<A, W>,
}

/// Ids that share a table. A table grows all at once, and whoever comes then waits for it: a small one is quick.
const SHARD: usize = 1024;
const MOST_SHARDS: usize = 1 << 16;

/// Ends that share a piece of the queue, which grows by pieces and never moves them.
const PIECE: usize = 512;

/// Ids let go at one message at the most, for the same reason; a message adds one, so the queue still gets shorter.
const LET_GO: usize = 64;

/// The memory. `A`: an answer. `W`: who waits for one.
#[derive(Debug)]
pub struct Replay<A, W> {
    bounds: Bounds,
    shards: Vec<HashMap<Id, Entry<A, W>>>,
    len: usize,
    /// Ended ids by the time of their end: all are kept equally long.
    ended: VecDeque<VecDeque<(Time, Id)>>,
    bytes: usize,
}

impl<A: Clone, W> Replay<A, W> {
    /// An empty memory. It is laid out for the count of its bounds at the start; one that grows far beyond it by
    /// [`Replay::set_bounds`] stays right, and lets messages wait longer now and then.
    pub fn new(bounds: Bounds) -> Self {
        let shards = (bounds.count / SHARD).next_power_of_two().min(MOST_SHARDS);
        let shards = (0..shards).map(|_| HashMap::new()).collect();
        Replay { bounds, shards, len: 0, ended: VecDeque::new(), bytes: 0 }
    }

    /// Changes the bounds from now on; what is remembered beyond them ages out.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Ids remembered; some of them may have aged out and not been let go yet.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True where nothing is remembered.
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

    /// True where an id is under way or has an answer that still counts: [`Replay::admit`] would start nothing.
    pub fn knows(&mut self, now: Time, id: &Id) -> bool {
        let keep = self.bounds.keep;
        match self.shard(id).get(id).map(|e| &e.state) {
            Some(State::Answered(_, _, at)) => at.saturating_add(keep) > now,
            Some(State::Running(_)) => true,
            None => false,
        }
    }

    /// Who waits for the answer of one that is under way.
    pub fn waiting(&mut self, id: &Id) -> &[W] {
        match self.shard(id).get(id).map(|e| &e.state) {
            Some(State::Running(waiters)) => waiters,
            _ => &[],
        }
    }

    /// Judges a message whose signature is valid. `unsafe_call`: it must not run twice.
    pub fn admit(
        &mut self,
        now: Time,
        id: &Id,
        digest: Digest,
        unsafe_call: bool,
        waiter: impl FnOnce() -> W,
    ) -> Admission<A> {
        self.expire(now);
        let (keep, waiters_most) = (self.bounds.keep, self.bounds.waiters);
        if let Some(entry) = self.shard(id).get_mut(id) {
            match &mut entry.state {
                // Aged out, though its turn to be let go has not come.
                State::Answered(_, _, at) if at.saturating_add(keep) <= now => self.forget(id),
                _ if entry.digest != digest => return Admission::Conflict,
                State::Answered(answer, ..) => return Admission::Answered(answer.clone()),
                State::Running(waiters) if waiters.len() < waiters_most => {
                    waiters.push(waiter());
                    return Admission::Waits;
                }
                State::Running(_) => return Admission::Full,
            }
        }
        if self.len >= self.bounds.count || self.bytes >= self.bounds.bytes {
            return if unsafe_call { Admission::Full } else { Admission::RunUnremembered };
        }
        self.shard(id).insert(*id, Entry { digest, state: State::Running(Vec::new()) });
        self.len += 1;
        Admission::Run
    }

    /// Books the end of a call that [`Admission::Run`] let in; those that waited are handed back to be answered.
    pub fn end(&mut self, now: Time, id: &Id, ending: Ending<A>) -> Vec<W> {
        let Some(entry) = self.shard(id).get_mut(id) else { return Vec::new() };
        let State::Running(waiters) = &mut entry.state else { return Vec::new() };
        let waiters = std::mem::take(waiters);
        match ending {
            Ending::Remember { answer, size } => {
                entry.state = State::Answered(answer, size, now);
                self.bytes += size;
                match self.ended.back_mut() {
                    Some(piece) if piece.len() < PIECE => piece.push_back((now, *id)),
                    _ => {
                        let mut piece = VecDeque::with_capacity(PIECE);
                        piece.push_back((now, *id));
                        self.ended.push_back(piece);
                    }
                }
            }
            Ending::Forget => self.forget(id),
        }
        waiters
    }

    fn expire(&mut self, now: Time) {
        for _ in 0..LET_GO {
            let Some(piece) = self.ended.front_mut() else { break };
            let Some((at, id)) = piece.front().copied() else {
                self.ended.pop_front();
                continue;
            };
            if at.saturating_add(self.bounds.keep) > now {
                break;
            }
            piece.pop_front();
            // The same id may have come anew since, and ended later.
            let entry = self.shard(&id).get(&id);
            if matches!(entry, Some(Entry { state: State::Answered(_, _, ended), .. }) if *ended == at) {
                self.forget(&id);
            }
        }
    }
}
