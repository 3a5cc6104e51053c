//! What an outage of service discovery cost, in counts.

use std::fmt;

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Times that the list became stale.
    pub outages: u64,
    /// Calls and orders to load that began to go out while the list was stale.
    pub sent_while_stale: u64,
    /// Those of them that an executor turned away.
    pub turned_away_while_stale: u64,
    /// Questions that executors were asked.
    pub questions: u64,
    /// Those that had no answer in time, or one that tells nothing.
    pub unanswered: u64,
    /// Executors that said that they drain.
    pub draining: u64,
    /// Executors that refused connections, so that nobody knows who will listen there next.
    pub unidentified: u64,
    /// Executors that count as restarted, since nothing shows that the process is the one of before.
    pub restarted: u64,
}

impl Counters {
    /// What was counted since an earlier reading.
    pub fn since(&self, earlier: &Counters) -> Counters {
        Counters {
            outages: self.outages - earlier.outages,
            sent_while_stale: self.sent_while_stale - earlier.sent_while_stale,
            turned_away_while_stale: self.turned_away_while_stale - earlier.turned_away_while_stale,
            questions: self.questions - earlier.questions,
            unanswered: self.unanswered - earlier.unanswered,
            draining: self.draining - earlier.draining,
            unidentified: self.unidentified - earlier.unidentified,
            restarted: self.restarted - earlier.restarted,
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent={} turned_away={} questions={} unanswered={} draining={} unidentified={} restarted={}",
            self.sent_while_stale,
            self.turned_away_while_stale,
            self.questions,
            self.unanswered,
            self.draining,
            self.unidentified,
            self.restarted
        )
    }
}
