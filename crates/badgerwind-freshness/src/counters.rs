//! Counters of what outages of service discovery cost.

use std::fmt;

/// Counters since the start of the process. Their text form is part of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// How often the list became stale.
    pub outages: u64,
    /// Calls and load orders of which the first byte was sent while the list was stale.
    pub sent_while_stale: u64,
    /// Calls that an executor rejected while the list was stale.
    pub rejected_while_stale: u64,
    /// Questions sent to executors, see [`crate::confirmation`].
    pub questions: u64,
    /// Inquiries that got no answer in time, or an inconclusive one.
    pub unanswered: u64,
    /// Executors that answered that they are draining.
    pub draining: u64,
    /// Executors that refused connections, so that it is unknown which process will listen there next.
    pub unidentified: u64,
    /// Executors presumed to have restarted, since nothing shows that their process is still the same.
    pub restarted: u64,
}

impl Counters {
    /// The difference from an earlier reading.
    pub fn since(&self, earlier: &Counters) -> Counters {
        Counters {
            outages: self.outages - earlier.outages,
            sent_while_stale: self.sent_while_stale - earlier.sent_while_stale,
            rejected_while_stale: self.rejected_while_stale - earlier.rejected_while_stale,
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
            self.rejected_while_stale,
            self.questions,
            self.unanswered,
            self.draining,
            self.unidentified,
            self.restarted
        )
    }
}
