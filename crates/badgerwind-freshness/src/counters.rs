//! What an outage of service discovery cost, in counts.

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Times that the list became stale.
    pub outages: u64,
    /// Calls and orders to load that began to go out while the list was stale.
    pub sent_while_stale: u64,
    /// Those of them that an executor turned away.
    pub turned_away_while_stale: u64,
}

impl Counters {
    /// What was counted since an earlier reading.
    pub fn since(&self, earlier: &Counters) -> Counters {
        Counters {
            outages: self.outages - earlier.outages,
            sent_while_stale: self.sent_while_stale - earlier.sent_while_stale,
            turned_away_while_stale: self.turned_away_while_stale - earlier.turned_away_while_stale,
        }
    }
}
