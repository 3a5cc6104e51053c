//! The memory of message ids: a message that comes again gets the answer that it got, or waits for it, and starts
//! nothing. Bounded by time, by count and by bytes.
//!
//! The promise: an id whose call must not run twice starts at most one run within [`Bounds::keep`] of its end, as
//! seen by this front end and this life of it. Where the memory is full it is never given up early: new calls that
//! must be remembered are turned away, which is harmless, until old ids have aged out.

use sha2::{Digest as _, Sha256};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

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
    /// How long an ended id is remembered, in microseconds. At least twice the tolerance of timestamps, or a
    /// signature could outlive its memory.
    pub keep: u64,
    /// Messages that may wait for one answer.
    pub waiters: usize,
    /// Bytes of answers remembered, from which on no new id is let in.
    pub bytes: usize,
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

#[derive(Debug)]
enum State<A, W> {
    Running(Vec<W>),
    Answered(A, usize),
}

#[derive(Debug)]
struct Entry<A, W> {
    digest: Digest,
    state: State<A, W>,
}

/// An id, scoped to its sender by the caller.
type Name = Arc<str>;

/// The memory. `A`: an answer. `W`: who waits for one. Ids are scoped to their sender by the caller.
#[derive(Debug)]
pub struct Replay<A, W> {
    bounds: Bounds,
    entries: HashMap<Name, Entry<A, W>>,
    /// Ended ids by the time of their end: all are kept equally long.
    ended: VecDeque<(Time, Name)>,
    bytes: usize,
}

impl<A: Clone, W> Replay<A, W> {
    /// An empty memory.
    pub fn new(bounds: Bounds) -> Self {
        Replay { bounds, entries: HashMap::new(), ended: VecDeque::new(), bytes: 0 }
    }

    /// Changes the bounds from now on; what is remembered beyond them ages out.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Ids remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True where nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Judges a message whose signature is valid. `unsafe_call`: it must not run twice.
    pub fn admit(
        &mut self,
        now: Time,
        id: &Arc<str>,
        digest: Digest,
        unsafe_call: bool,
        waiter: impl FnOnce() -> W,
    ) -> Admission<A> {
        self.expire(now);
        let name = id.clone();
        if let Some(entry) = self.entries.get_mut(&name) {
            if entry.digest != digest {
                return Admission::Conflict;
            }
            return match &mut entry.state {
                State::Answered(answer, _) => Admission::Answered(answer.clone()),
                State::Running(waiters) if waiters.len() < self.bounds.waiters => {
                    waiters.push(waiter());
                    Admission::Waits
                }
                State::Running(_) => Admission::Full,
            };
        }
        if self.entries.len() >= self.bounds.count || self.bytes >= self.bounds.bytes {
            return if unsafe_call { Admission::Full } else { Admission::RunUnremembered };
        }
        self.entries.insert(name, Entry { digest, state: State::Running(Vec::new()) });
        Admission::Run
    }

    /// Books the end of a call that [`Admission::Run`] let in; those that waited are handed back to be answered.
    pub fn end(&mut self, now: Time, id: &Arc<str>, ending: Ending<A>) -> Vec<W> {
        let name = id.clone();
        let Some(entry) = self.entries.get_mut(&name) else { return Vec::new() };
        let State::Running(waiters) = &mut entry.state else { return Vec::new() };
        let waiters = std::mem::take(waiters);
        match ending {
            Ending::Remember { answer, size } => {
                entry.state = State::Answered(answer, size);
                self.bytes += size;
                self.ended.push_back((now, name));
            }
            Ending::Forget => _ = self.entries.remove(&name),
        }
        waiters
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.ended.front() {
            if at.saturating_add(self.bounds.keep) > now {
                break;
            }
            if let Some((_, name)) = self.ended.pop_front() {
                if let Some(Entry { state: State::Answered(_, size), .. }) = self.entries.remove(&name) {
                    self.bytes -= size;
                }
            }
        }
    }
}
