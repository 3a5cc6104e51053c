//! How long the list that service discovery sent may be relied on.

use badgerwind::interface::{Micros, Time};

/// After a connection to discovery has ended, changes that it would have announced count as announced this
/// much later (DAYS page, "Bad peers").
pub const ANNOUNCED_AFTER_BREAK: Micros = 2_000_000;
/// The same after discovery has fallen silent, and the maximum for any outage (PROTOCOL page, "Figures").
pub const ANNOUNCED_AFTER_SILENCE: Micros = 4_000_000;
/// The same after SIGHUP has changed discovery's address (DAYS page, "New configurations and restarts").
pub const ANNOUNCED_AFTER_ADDRESS_CHANGE: Micros = 4_000_000;

/// What was received on a connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Received {
    /// No complete frame, or none that is of use.
    Nothing,
    /// Events. Further ones may follow.
    Events,
    /// A confirmation that no events follow the ones already known.
    UpToDate,
}

/// How a connection to discovery, or an attempt to connect, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It was closed, reset or refused, or sent something unusable.
    Broken,
    /// Nothing was received in time.
    TimedOut,
}

/// A change of the list between fresh and stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The list may no longer be relied on.
    Stale {
        /// Time since discovery last confirmed the list; `None` if it never did.
        age: Option<Micros>,
    },
    /// Discovery has confirmed the list again.
    Fresh {
        /// How long it was stale.
        lasted: Micros,
    },
}

/// Tracks until when the list may be relied on.
#[derive(Clone, Debug)]
pub struct SourceMonitor {
    /// The latest time for which discovery confirmed the list; `None` after a start, when the list that the
    /// front end was given has an unknown age.
    confirmed_at: Option<Time>,
    /// When the list expires because of an interruption under way.
    deadline: Option<Time>,
    /// Extends the deadline, so that front ends do not act in step. It is part of the grace period, which
    /// starts at the deadline.
    jitter: Micros,
    /// Since when the list is stale, as last reported by [`SourceMonitor::transition`].
    stale_since: Option<Time>,
}

impl SourceMonitor {
    /// Creates a monitor that regards the list as stale until discovery has confirmed it. `jitter` is how
    /// much later than at the deadline the list becomes stale; it must be less than the grace period in which
    /// sends must end.
    pub fn new(jitter: Micros) -> SourceMonitor {
        SourceMonitor { confirmed_at: None, deadline: None, jitter, stale_since: None }
    }

    /// Records that something was received. `waited_since` is when the front end started to wait for it: a
    /// frame that lay in the socket buffer while this process had no CPU time confirms nothing later than
    /// that.
    pub fn on_received(&mut self, waited_since: Time, received: Received) {
        let confirms = match received {
            Received::Nothing => false,
            // After an interruption further events may be missing, so events alone do not end it.
            Received::Events => self.deadline.is_none() && self.confirmed_at.is_some(),
            Received::UpToDate => true,
        };
        if confirms {
            self.confirmed_at = self.confirmed_at.max(Some(waited_since));
            self.deadline = None;
        }
    }

    /// Records that a connection ended. Further ends during one interruption do not extend its deadline.
    pub fn on_connection_end(&mut self, now: Time, end: ConnectionEnd) {
        if end == ConnectionEnd::Broken {
            self.interrupted(now + ANNOUNCED_AFTER_BREAK);
        }
    }

    /// Records that discovery has another address from now on.
    pub fn on_address_change(&mut self, now: Time) {
        self.interrupted(now + ANNOUNCED_AFTER_ADDRESS_CHANGE);
    }

    fn interrupted(&mut self, deadline: Time) {
        self.deadline = Some(self.deadline.map_or(deadline, |earlier| earlier.min(deadline)));
    }

    /// Until when the list may be relied on.
    pub fn fresh_until(&self) -> Time {
        let Some(confirmed_at) = self.confirmed_at else { return 0 };
        let silence_deadline = confirmed_at + ANNOUNCED_AFTER_SILENCE;
        self.deadline.map_or(silence_deadline, |deadline| deadline.min(silence_deadline)) + self.jitter
    }

    /// Whether the list may be relied on.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < self.fresh_until()
    }

    /// Whether discovery has ever confirmed the list.
    pub fn ever_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Whether the list was stale at the last call of [`SourceMonitor::transition`].
    pub fn reported_stale(&self) -> bool {
        self.stale_since.is_some()
    }

    /// The change of the list between fresh and stale since the last call, if any.
    pub fn transition(&mut self, now: Time) -> Option<Transition> {
        match (self.is_fresh(now), self.stale_since) {
            (false, None) => {
                self.stale_since = Some(now);
                Some(Transition::Stale { age: self.confirmed_at.map(|at| now.saturating_sub(at)) })
            }
            (true, Some(since)) => {
                self.stale_since = None;
                Some(Transition::Fresh { lasted: now.saturating_sub(since) })
            }
            _ => None,
        }
    }
}
