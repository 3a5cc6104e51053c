//! The budgets of sources and senders, and the sources known to senders.

use crate::bucket::{Bucket, TOKEN};
use crate::{Budget, Source, Time};
use std::collections::{BTreeSet, HashMap};

/// Limits of a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Failed checks of one source.
    pub source: Budget,
    /// Failed checks of all unknown sources that post as one sender.
    pub sender: Budget,
    /// Upper bound of the sources with their own budget, and of the known pairs of source and sender.
    /// Further sources share one budget.
    pub max_sources: usize,
    /// How long a source is known to a sender after a valid signature, in microseconds.
    pub known_duration: Time,
    /// The check of a body costs one, and one more for each full multiple of this number of bytes.
    pub bytes_per_check: u64,
}

/// A source that claims to be a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claimant {
    /// The source.
    pub source: Source,
    /// The sender's index in the settings, by the path of the request.
    pub sender: usize,
}

/// Why a message is rejected before its body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The source's budget is spent. Holds the minimum time in microseconds before a new attempt can succeed.
    Source(Time),
    /// The sender's budget for unknown sources is spent. Holds the same time.
    UnknownSources(Time),
}

impl Rejection {
    /// The minimum time in microseconds before a new attempt can succeed.
    pub fn wait(&self) -> Time {
        match self {
            Rejection::Source(t) | Rejection::UnknownSources(t) => *t,
        }
    }
}

/// Permission to check one message. Pass it to [`Guard::record_valid`] or [`Guard::record_invalid`]; if it is
/// dropped, an unknown source is not refunded.
#[derive(Debug)]
#[must_use = "record the result of the check, or an unknown source is not refunded"]
pub struct Permit {
    claimant: Claimant,
    bytes: u64,
    cost: u64,
    unknown: bool,
    /// The source pays from the budget that all sources beyond [`Limits::max_sources`] share.
    shared: bool,
}

impl Permit {
    /// Whose message it is.
    pub fn claimant(&self) -> Claimant {
        self.claimant
    }
    /// The length of the body in bytes, as given to [`Guard::admit`].
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

#[derive(Debug)]
struct SourceBudget {
    bucket: Bucket,
    /// When the bucket is full again; the key in `Guard::by_full_at`.
    full_at: Time,
}

/// The budgets of one front end.
#[derive(Debug)]
pub struct Guard {
    limits: Limits,
    sources: HashMap<Source, SourceBudget>,
    by_full_at: BTreeSet<(Time, Source)>,
    /// The budget of all sources that exceed `Limits::max_sources`.
    shared: Bucket,
    /// Budgets for unknown sources, by sender.
    unknown_sources: HashMap<usize, Bucket>,
    /// When a source last sent a valid signature for a sender, updated at most once in a quarter of
    /// `Limits::known_duration`.
    known: HashMap<Claimant, Time>,
    by_known_at: BTreeSet<(Time, Claimant)>,
}

/// Upper bound of the time for which a source's budget is stored, and of reported waits, in microseconds. A
/// budget without a refill rate would be stored for ever otherwise.
const MAX_WAIT: Time = 3_600_000_000;

impl Guard {
    /// All budgets are full, and no source is known.
    pub fn new(now: Time, limits: Limits) -> Self {
        Guard {
            limits,
            sources: HashMap::new(),
            by_full_at: BTreeSet::new(),
            shared: Bucket::full(&limits.source, now),
            unknown_sources: HashMap::new(),
            known: HashMap::new(),
            by_known_at: BTreeSet::new(),
        }
    }

    /// Changes the limits from now on. What was spent remains spent.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Forgets known sources and the senders' budgets, because the indexes of senders have changed.
    pub fn reset_senders(&mut self) {
        self.known.clear();
        self.by_known_at.clear();
        self.unknown_sources.clear();
    }

    /// The number of sources with their own budget that is not full.
    pub fn tracked_sources(&self) -> usize {
        self.sources.len()
    }

    /// The number of known pairs of source and sender.
    pub fn known_pairs(&self) -> usize {
        self.known.len()
    }

    fn cost(&self, bytes: u64) -> u64 {
        TOKEN.saturating_mul(1 + bytes / self.limits.bytes_per_check.max(1))
    }

    /// Decides from the header of a message, before its body is read. `bytes` is the declared length of the
    /// body, or the limit on it if none is declared.
    pub fn admit(&mut self, now: Time, claimant: Claimant, bytes: u64) -> Result<Permit, Rejection> {
        let cost = self.cost(bytes);
        let unknown = !self.is_known(now, claimant);
        let budget = self.limits.source;
        // A known source may continue until its budget is spent; an unknown one pays in advance.
        let required = if unknown { cost } else { TOKEN };
        let (bucket, shared) = self.source_bucket(now, claimant.source);
        if !bucket.can_pay(&budget, required) {
            return Err(Rejection::Source(bucket.wait(&budget, required).unwrap_or(MAX_WAIT)));
        }
        if unknown {
            let budget = self.limits.sender;
            let bucket = self.sender_bucket(now, claimant.sender);
            if !bucket.can_pay(&budget, cost) {
                return Err(Rejection::UnknownSources(bucket.wait(&budget, cost).unwrap_or(MAX_WAIT)));
            }
            bucket.pay(cost);
            self.pay(now, claimant.source, cost, shared);
        }
        Ok(Permit { claimant, bytes, cost, unknown, shared })
    }

    /// The signature is valid: an unknown source is refunded, and the source is known to the sender from now
    /// on.
    pub fn record_valid(&mut self, now: Time, permit: Permit) {
        let Permit { claimant, cost, unknown, shared, .. } = permit;
        if unknown {
            let budget = self.limits.sender;
            self.sender_bucket(now, claimant.sender).refund(&budget, cost);
            self.refund(now, claimant.source, cost, shared);
        }
        self.mark_known(now, claimant);
    }

    /// The signature is invalid, or the message cannot have a valid one.
    pub fn record_invalid(&mut self, now: Time, permit: Permit) {
        if !permit.unknown {
            self.pay(now, permit.claimant.source, permit.cost, permit.shared);
        }
    }

    /// The bucket for unknown sources of a sender.
    fn sender_bucket(&mut self, now: Time, sender: usize) -> &mut Bucket {
        let budget = self.limits.sender;
        let bucket = self.unknown_sources.entry(sender).or_insert_with(|| Bucket::full(&budget, now));
        bucket.refill(&budget, now);
        bucket
    }

    /// The bucket from which a source would pay now, and whether that is the shared one.
    fn source_bucket(&mut self, now: Time, source: Source) -> (Bucket, bool) {
        let budget = self.limits.source;
        if let Some(own) = self.sources.get_mut(&source) {
            own.bucket.refill(&budget, now);
            return (own.bucket, false);
        }
        if self.make_room(now) {
            return (Bucket::full(&budget, now), false);
        }
        self.shared.refill(&budget, now);
        (self.shared, true)
    }

    /// Whether one more source can have its own budget. If necessary, removes one whose budget is full
    /// again.
    fn make_room(&mut self, now: Time) -> bool {
        if self.sources.len() < self.limits.max_sources {
            return true;
        }
        match self.by_full_at.first().copied() {
            Some((at, source)) if at <= now => {
                self.by_full_at.remove(&(at, source));
                self.sources.remove(&source);
                self.sources.len() < self.limits.max_sources
            }
            _ => false,
        }
    }

    fn pay(&mut self, now: Time, source: Source, cost: u64, shared: bool) {
        let budget = self.limits.source;
        if shared {
            self.shared.refill(&budget, now);
            self.shared.pay(cost);
            return;
        }
        if !self.sources.contains_key(&source) && !self.make_room(now) {
            // Another source took the free entry since this one was admitted.
            return self.pay(now, source, cost, true);
        }
        let own = self.sources.entry(source).or_insert_with(|| {
            let bucket = Bucket::full(&budget, now);
            SourceBudget { bucket, full_at: Time::MAX }
        });
        own.bucket.refill(&budget, now);
        own.bucket.pay(cost);
        self.update_full_at(now, source);
    }

    fn refund(&mut self, now: Time, source: Source, cost: u64, shared: bool) {
        let budget = self.limits.source;
        if shared {
            self.shared.refund(&budget, cost);
        } else if let Some(own) = self.sources.get_mut(&source) {
            own.bucket.refund(&budget, cost);
            self.update_full_at(now, source);
        }
    }

    /// Updates the time at which a source's budget is full; removes a budget that is full now.
    fn update_full_at(&mut self, now: Time, source: Source) {
        let budget = self.limits.source;
        let Some(own) = self.sources.get_mut(&source) else { return };
        self.by_full_at.remove(&(own.full_at, source));
        own.full_at = own.bucket.full_at(&budget).min(now.saturating_add(MAX_WAIT));
        if own.full_at <= now {
            self.sources.remove(&source);
        } else {
            self.by_full_at.insert((own.full_at, source));
        }
    }

    fn is_known(&self, now: Time, claimant: Claimant) -> bool {
        let duration = self.limits.known_duration;
        self.known.get(&claimant).is_some_and(|at| now < at.saturating_add(duration))
    }

    fn mark_known(&mut self, now: Time, claimant: Claimant) {
        match self.known.get(&claimant) {
            // Updated only after a quarter of the duration, so that a busy source does not change the index
            // with each message.
            Some(at) if now < at.saturating_add(self.limits.known_duration / 4) => return,
            Some(at) => _ = self.by_known_at.remove(&(*at, claimant)),
            // The pair with the oldest valid signature is removed; it is unknown then, until its next valid
            // signature.
            None if self.known.len() >= self.limits.max_sources => {
                if let Some((_, oldest)) = self.by_known_at.pop_first() {
                    self.known.remove(&oldest);
                }
            }
            None => {}
        }
        self.known.insert(claimant, now);
        self.by_known_at.insert((now, claimant));
    }
}
