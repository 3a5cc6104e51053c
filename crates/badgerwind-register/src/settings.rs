//! Settings that all members of a fleet must agree on, and the basic types of the register.

/// A point in time on one member's own clock, in microseconds. The clock keeps running while the process is
/// suspended.
pub type Time = u64;
/// A duration, in microseconds.
pub type Micros = u64;
/// A front end's number, as given in the settings.
pub type Member = u16;
/// The number of a member's incarnation. The register assigns them from 1, in the order in which incarnations
/// begin.
pub type Incarnation = u64;
/// The index of an entry of the log.
pub type Index = u64;

/// Settings of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The register's first voters, in the same order for all members; 1, 3, 5 or 7. Later changes of voters
    /// are in the log and do not alter this list.
    pub voters: Vec<Member>,
    /// How long a member counts as live after the renewal request that was granted, in microseconds.
    pub lease: Micros,
    /// How often a member renews its lease, in microseconds.
    pub heartbeat_interval: Micros,
    /// Bound on the rate error of every clock, in millionths. It is the only assumption about time.
    pub drift_ppm: u32,
    /// The time step of a voter's consensus state machine, in microseconds.
    pub tick: Micros,
    /// Ticks without a message from the leader after which a voter starts an election, drawn between this and
    /// twice this.
    pub election_ticks: u32,
    /// Entries that a voter retains for followers; a follower that is further behind gets a snapshot.
    pub retained_entries: u64,
    /// Approximate limit on the bytes of records in one entry, and in one answer to a follower.
    pub max_batch_bytes: usize,
    /// Limit on a member's announcements that are not committed yet.
    pub max_pending: usize,
}

/// Settings that are invalid or contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// An even number of voters, none, or too many.
    #[error("{0} voters; give 1, 3, 5 or 7")]
    VoterCount(usize),
    /// A voter is listed twice.
    #[error("voter {0} is listed twice")]
    DuplicateVoter(Member),
    /// The lease is too short for three heartbeats, so it does not survive lost messages.
    #[error("a beat of {heartbeat_interval} us leaves no room for three in a lease of {lease} us; use a shorter beat or a longer lease")]
    Heartbeat {
        /// The heartbeat interval.
        heartbeat_interval: Micros,
        /// The lease.
        lease: Micros,
    },
    /// The bound on clock drift exceeds 10 %.
    #[error("a clock drift of {0} millionths exceeds the limit of 100000")]
    Drift(u32),
    /// A tick of zero, or an election timeout that does not survive a lost heartbeat of the leader.
    #[error(
        "a tick of {tick} us with {election_ticks} election ticks; give a tick above 0 and at least 5 election ticks"
    )]
    Tick {
        /// The tick.
        tick: Micros,
        /// The election timeout in ticks.
        election_ticks: u32,
    },
    /// A limit below its minimum: its name and the minimum.
    #[error("{0} must be at least {1}")]
    Bound(&'static str, u64),
}

impl Settings {
    /// Default settings for these voters: a lease of 2 s.
    pub fn for_voters(voters: Vec<Member>) -> Settings {
        Settings {
            voters,
            lease: 2_000_000,
            heartbeat_interval: 400_000,
            drift_ppm: 1_000,
            tick: 20_000,
            election_ticks: 10,
            retained_entries: 4096,
            max_batch_bytes: 64 * 1024,
            max_pending: 1024,
        }
    }

    /// Returns the first error in these settings, if there is one.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let n = self.voters.len();
        if ![1, 3, 5, 7].contains(&n) {
            return Err(SettingsError::VoterCount(n));
        }
        if let Some((_, duplicate)) =
            self.voters.iter().enumerate().find(|(i, voter)| self.voters[..*i].contains(voter))
        {
            return Err(SettingsError::DuplicateVoter(*duplicate));
        }
        let Settings { heartbeat_interval, lease, .. } = *self;
        if heartbeat_interval == 0 || heartbeat_interval * 3 > lease {
            return Err(SettingsError::Heartbeat { heartbeat_interval, lease });
        }
        if self.drift_ppm > 100_000 {
            return Err(SettingsError::Drift(self.drift_ppm));
        }
        if self.tick == 0 || self.election_ticks < 5 {
            return Err(SettingsError::Tick { tick: self.tick, election_ticks: self.election_ticks });
        }
        for (name, value, minimum) in [
            ("retained", self.retained_entries, 16),
            ("batch", self.max_batch_bytes as u64, 1024),
            ("under-way", self.max_pending as u64, 1),
        ] {
            if value < minimum {
                return Err(SettingsError::Bound(name, minimum));
            }
        }
        Ok(())
    }

    /// The shortest duration that, measured on any clock, ends no earlier than `span` measured on another
    /// clock that started no later. With clock rates within `1 - d` to `1 + d` of true time, `span` lasts at
    /// most `span / (1 - d)`, and a duration `s` returned from here lasts at least `s / (1 + d)`.
    pub fn drift_adjusted(&self, span: Micros) -> Micros {
        let (slow, fast) = (1_000_000 - u128::from(self.drift_ppm), 1_000_000 + u128::from(self.drift_ppm));
        (u128::from(span) * fast).div_ceil(slow) as Micros + 1
    }
}
