//! Until when what service discovery told may be relied on.

use badgerwind::interface::{Span, Time};

/// After a connection to discovery ended, what it would have told counts as told this much later (DAYS page, "Bad peers").
pub const TOLD_AFTER_BREAK: Span = 2_000_000;
/// The same after it fell silent, and for any outage at the latest (PROTOCOL page, "Figures").
pub const TOLD_AFTER_SILENCE: Span = 4_000_000;
/// The same after SIGHUP named another address (DAYS page, "New configurations and restarts").
pub const TOLD_AFTER_MOVE: Span = 4_000_000;

/// What came over a connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Heard {
    /// Nothing whole, or nothing of use.
    Nothing,
    /// Events. More of them may stand behind these.
    Events,
    /// Its word that nothing follows what is known.
    UpToDate,
}

/// How a connection to discovery, or an attempt to make one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was closed, reset, refused, or told what cannot be used.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// A change between relying on discovery and not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The list may no longer be relied on.
    Stale {
        /// Time since discovery last vouched for it; `None` where it never did.
        age: Option<Span>,
    },
    /// Discovery vouches for it again.
    Fresh {
        /// How long it was stale.
        lasted: Span,
    },
}

/// Watches discovery.
#[derive(Clone, Debug)]
pub struct SourceWatch {
    /// The latest moment for which discovery vouched. A front end that starts has been told a list of unknown age.
    vouched: Option<Time>,
    /// Deadline of an interruption under way.
    deadline: Option<Time>,
    /// Keeps front ends out of step. Part of the grace, which runs from the deadline on.
    spread: Span,
    /// Since when the list is stale, as last reported.
    reported_stale: Option<Time>,
}

impl SourceWatch {
    /// One that relies on nothing before discovery was heard. `spread`: how much later than others it stops to rely on
    /// it; less than the grace in which sends must end.
    pub fn new(spread: Span) -> SourceWatch {
        SourceWatch { vouched: None, deadline: None, spread, reported_stale: None }
    }

    /// Something came. `waited_since`: since when it was waited for; a frame that lay in the socket while this process had no
    /// core vouches for no later moment.
    pub fn heard(&mut self, waited_since: Time, heard: Heard) {
        let counts = match heard {
            Heard::Nothing => false,
            // After an interruption others may follow, so these alone do not end it.
            Heard::Events => self.deadline.is_none() && self.vouched.is_some(),
            Heard::UpToDate => true,
        };
        if counts {
            self.vouched = self.vouched.max(Some(waited_since));
            self.deadline = None;
        }
    }

    /// A connection ended. Those that end later in one interruption do not put its deadline off.
    pub fn ended(&mut self, now: Time, how: Ending) {
        if how == Ending::Broken {
            self.interrupted(now + TOLD_AFTER_BREAK);
        }
    }

    /// Discovery has another address from now on.
    pub fn moved(&mut self, now: Time) {
        self.interrupted(now + TOLD_AFTER_MOVE);
    }

    fn interrupted(&mut self, deadline: Time) {
        self.deadline = Some(self.deadline.map_or(deadline, |earlier| earlier.min(deadline)));
    }

    /// Until when the list may be relied on.
    pub fn relied_on_until(&self) -> Time {
        let Some(vouched) = self.vouched else { return 0 };
        let silent = vouched + TOLD_AFTER_SILENCE;
        self.deadline.map_or(silent, |deadline| deadline.min(silent)) + self.spread
    }

    /// Whether the list may be relied on.
    pub fn fresh(&self, now: Time) -> bool {
        now < self.relied_on_until()
    }

    /// Whether discovery has ever vouched for the list.
    pub fn ever_vouched(&self) -> bool {
        self.vouched.is_some()
    }

    /// Whether the list was stale when this was last asked for a transition.
    pub fn reported_stale(&self) -> bool {
        self.reported_stale.is_some()
    }

    /// The change since this was last asked, for logs and for what follows from it.
    pub fn transition(&mut self, now: Time) -> Option<Transition> {
        match (self.fresh(now), self.reported_stale) {
            (false, None) => {
                self.reported_stale = Some(now);
                Some(Transition::Stale { age: self.vouched.map(|vouched| now.saturating_sub(vouched)) })
            }
            (true, Some(since)) => {
                self.reported_stale = None;
                Some(Transition::Fresh { lasted: now.saturating_sub(since) })
            }
            _ => None,
        }
    }
}
