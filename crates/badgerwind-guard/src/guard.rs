//! The budgets put together.

use crate::bucket::{Bucket, TOKEN};
use crate::{Budget, Source, Time};
use std::collections::{BTreeSet, HashMap};

/// Bounds of a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Failed checks of one source.
    pub source: Budget,
    /// Failed checks of all strangers that post as one sender.
    pub sender: Budget,
    /// Sources whose budgets are kept apart, and as many pairs of source and sender that are known. Sources beyond
    /// them share one budget.
    pub sources: usize,
    /// A source that signed for a sender is known to it for so long, in microseconds.
    pub known_for: Time,
    /// A body costs one check more for each so many bytes, counted down.
    pub bytes: u64,
}

/// Who posts: a source, claiming to be a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Who {
    /// Where it comes from.
    pub source: Source,
    /// The sender's place, by the path that it posts to.
    pub sender: usize,
}

/// Why a message was turned away unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// Its source has failed too often; try again after so many microseconds at the least.
    Source(Time),
    /// Strangers have failed too often as this sender; the same.
    Strangers(Time),
}

impl Turned {
    /// After how long trying again can be worth it, in microseconds.
    pub fn wait(&self) -> Time {
        match self {
            Turned::Source(t) | Turned::Strangers(t) => *t,
        }
    }
}

/// The right to have one message checked. It is used up by saying what became of it; a stranger's that is lost
/// stays paid.
#[derive(Debug)]
#[must_use = "say what became of the check, or a stranger pays for it"]
pub struct Permit {
    who: Who,
    bytes: u64,
    cost: u64,
    stranger: bool,
    /// The source's budget was the shared one.
    shared: bool,
}

impl Permit {
    /// Whose message it is.
    pub fn who(&self) -> Who {
        self.who
    }
    /// The bytes that the body was told to hold at its entry.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

#[derive(Debug)]
struct Kept {
    bucket: Bucket,
    /// When it is full again, as the order by which places are freed holds it.
    full_at: Time,
}

/// The budgets of one front end.
#[derive(Debug)]
pub struct Guard {
    bounds: Bounds,
    sources: HashMap<Source, Kept>,
    by_full: BTreeSet<(Time, Source)>,
    /// Sources that found no place of their own.
    rest: Bucket,
    strangers: HashMap<usize, Bucket>,
    known: HashMap<Who, Time>,
    by_known: BTreeSet<(Time, Who)>,
}

/// A budget that never refills would keep its place for ever; it is given up after this all the same.
const LONGEST: Time = 3_600_000_000;

impl Guard {
    /// Whole budgets, nobody known.
    pub fn new(now: Time, bounds: Bounds) -> Self {
        Guard {
            bounds,
            sources: HashMap::new(),
            by_full: BTreeSet::new(),
            rest: Bucket::full(&bounds.source, now),
            strangers: HashMap::new(),
            known: HashMap::new(),
            by_known: BTreeSet::new(),
        }
    }

    /// Changes the bounds from now on. Budgets spent stay spent.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Forgets who is known and what strangers spent: senders' places mean others from now on.
    pub fn senders_changed(&mut self) {
        self.known.clear();
        self.by_known.clear();
        self.strangers.clear();
    }

    /// Sources whose budget is not whole, as far as kept apart.
    pub fn watched(&self) -> usize {
        self.sources.len()
    }

    /// Pairs of source and sender that are known.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    fn cost(&self, bytes: u64) -> u64 {
        TOKEN.saturating_mul(1 + bytes / self.bounds.bytes.max(1))
    }

    /// Judges a message by its head, before its body is read. `bytes`: the body's length as told, or the bound on
    /// it where it is not told.
    pub fn enter(&mut self, now: Time, who: Who, bytes: u64) -> Result<Permit, Turned> {
        let cost = self.cost(bytes);
        let stranger = !self.is_known(now, who);
        let budget = self.bounds.source;
        // One who is known may go on until its budget is spent; a stranger pays beforehand.
        let asked = if stranger { cost } else { TOKEN };
        let (bucket, shared) = self.source(now, who.source);
        if !bucket.holds(&budget, asked) {
            return Err(Turned::Source(bucket.wait(&budget, asked).unwrap_or(LONGEST)));
        }
        if stranger {
            let budget = self.bounds.sender;
            let bucket = self.stranger(now, who.sender);
            if !bucket.holds(&budget, cost) {
                return Err(Turned::Strangers(bucket.wait(&budget, cost).unwrap_or(LONGEST)));
            }
            bucket.pay(cost);
            self.pay(now, who.source, cost, shared);
        }
        Ok(Permit { who, bytes, cost, stranger, shared })
    }

    /// The signature was good: nothing is owed, and the source is known to the sender.
    pub fn good(&mut self, now: Time, permit: Permit) {
        let Permit { who, cost, stranger, shared, .. } = permit;
        if stranger {
            let budget = self.bounds.sender;
            self.stranger(now, who.sender).give_back(&budget, cost);
            self.give_back(now, who.source, cost, shared);
        }
        self.meet(now, who);
    }

    /// The signature was not good, or what was checked could not have one.
    pub fn failed(&mut self, now: Time, permit: Permit) {
        if !permit.stranger {
            self.pay(now, permit.who.source, permit.cost, permit.shared);
        }
    }

    fn stranger(&mut self, now: Time, sender: usize) -> &mut Bucket {
        let budget = self.bounds.sender;
        let bucket = self.strangers.entry(sender).or_insert_with(|| Bucket::full(&budget, now));
        bucket.fill(&budget, now);
        bucket
    }

    /// The bucket that a source would pay from now, and whether that is the shared one.
    fn source(&mut self, now: Time, source: Source) -> (Bucket, bool) {
        let budget = self.bounds.source;
        if let Some(kept) = self.sources.get_mut(&source) {
            kept.bucket.fill(&budget, now);
            return (kept.bucket, false);
        }
        if self.room(now) {
            return (Bucket::full(&budget, now), false);
        }
        self.rest.fill(&budget, now);
        (self.rest, true)
    }

    /// True where one more source can be kept apart; one whose budget is whole again gives up its place.
    fn room(&mut self, now: Time) -> bool {
        if self.sources.len() < self.bounds.sources {
            return true;
        }
        match self.by_full.first().copied() {
            Some((at, source)) if at <= now => {
                self.by_full.remove(&(at, source));
                self.sources.remove(&source);
                self.sources.len() < self.bounds.sources
            }
            _ => false,
        }
    }

    fn pay(&mut self, now: Time, source: Source, cost: u64, shared: bool) {
        let budget = self.bounds.source;
        if shared {
            self.rest.fill(&budget, now);
            self.rest.pay(cost);
            return;
        }
        if !self.sources.contains_key(&source) && !self.room(now) {
            // Its place went to another between its entry and now.
            return self.pay(now, source, cost, true);
        }
        let kept = self.sources.entry(source).or_insert_with(|| {
            let bucket = Bucket::full(&budget, now);
            Kept { bucket, full_at: Time::MAX }
        });
        kept.bucket.fill(&budget, now);
        kept.bucket.pay(cost);
        self.reorder(now, source);
    }

    fn give_back(&mut self, now: Time, source: Source, cost: u64, shared: bool) {
        let budget = self.bounds.source;
        if shared {
            self.rest.give_back(&budget, cost);
        } else if let Some(kept) = self.sources.get_mut(&source) {
            kept.bucket.give_back(&budget, cost);
            self.reorder(now, source);
        }
    }

    /// Puts a source's place in order; one whose budget is whole has none.
    fn reorder(&mut self, now: Time, source: Source) {
        let budget = self.bounds.source;
        let Some(kept) = self.sources.get_mut(&source) else { return };
        self.by_full.remove(&(kept.full_at, source));
        kept.full_at = kept.bucket.full_at(&budget).min(now.saturating_add(LONGEST));
        if kept.full_at <= now {
            self.sources.remove(&source);
        } else {
            self.by_full.insert((kept.full_at, source));
        }
    }

    fn is_known(&self, now: Time, who: Who) -> bool {
        let span = self.bounds.known_for;
        self.known.get(&who).is_some_and(|at| now < at.saturating_add(span))
    }

    fn meet(&mut self, now: Time, who: Who) {
        match self.known.get(&who) {
            // Renewed at a quarter of its time, so that a busy source does not move at each message.
            Some(at) if now < at.saturating_add(self.bounds.known_for / 4) => return,
            Some(at) => _ = self.by_known.remove(&(*at, who)),
            // The one that signed longest ago gives way; it is a stranger again, who can prove itself.
            None if self.known.len() >= self.bounds.sources => {
                if let Some((_, oldest)) = self.by_known.pop_first() {
                    self.known.remove(&oldest);
                }
            }
            None => {}
        }
        self.known.insert(who, now);
        self.by_known.insert((now, who));
    }
}
