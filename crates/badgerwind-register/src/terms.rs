//! What a fleet has agreed on beforehand, by its settings.

/// A point in time on one member's own clock, in microseconds; it goes on while the process is stopped.
pub type Time = u64;
/// A length of time, in microseconds.
pub type Span = u64;
/// A front end's number, as the settings have it.
pub type Member = u16;
/// A member's incarnation, numbered by the register in the order in which they began, from 1.
pub type Incarnation = u64;
/// A place in the log.
pub type Index = u64;

/// Terms of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Members that voted when the register began, in one order for all; 1, 3, 5 or 7. Later changes are in the log, and these stay.
    pub voters: Vec<Member>,
    /// How long a member counts as living from when it asked, in microseconds.
    pub lease: Span,
    /// How often a member asks, in microseconds.
    pub beat: Span,
    /// No two clocks differ in rate by more than each being off by so many millionths. The one assumption on time.
    pub drift: u32,
    /// How often a voter looks at its own affairs, in microseconds.
    pub tick: Span,
    /// Ticks without a leader's announcement after which a voter stands, drawn between this and twice this.
    pub patience: u32,
    /// Entries that a voter keeps for those who are behind; who is further behind gets all that stands.
    pub retained: u64,
    /// Bytes of records in one entry, and in one answer to a follower, about.
    pub batch: usize,
    /// Words that a member may have under way.
    pub under_way: usize,
}

/// Terms that do not hold together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadTerms {
    /// An even number of voters, none, or too many.
    #[error("{0} voters; give 1, 3, 5 or 7")]
    Voters(usize),
    /// A voter is named twice.
    #[error("voter {0} is named twice")]
    Twice(Member),
    /// Times that leave no room for a lost message.
    #[error("a beat of {beat} us leaves no room for three in a lease of {lease} us; a shorter beat or a longer lease")]
    Beat {
        /// A beat.
        beat: Span,
        /// A lease.
        lease: Span,
    },
    /// A clock cannot be off by so much.
    #[error("a drift of {0} millionths is more than a clock's tenth")]
    Drift(u32),
    /// A tick of nothing, or a patience without room for a lost announcement.
    #[error(
        "a tick of {tick} us with a patience of {patience}; a tick above 0 and a patience of at least 5"
    )]
    Tick {
        /// A tick.
        tick: Span,
        /// Ticks.
        patience: u32,
    },
    /// A bound of nothing.
    #[error("{0} must be at least {1}")]
    Bound(&'static str, u64),
}

impl Terms {
    /// Usual ones for these voters: a lease of 2 s.
    pub fn of(voters: Vec<Member>) -> Terms {
        Terms {
            voters,
            lease: 2_000_000,
            beat: 400_000,
            drift: 1_000,
            tick: 20_000,
            patience: 10,
            retained: 4096,
            batch: 64 * 1024,
            under_way: 1024,
        }
    }

    /// Checks them.
    pub fn check(&self) -> Result<(), BadTerms> {
        let n = self.voters.len();
        if ![1, 3, 5, 7].contains(&n) {
            return Err(BadTerms::Voters(n));
        }
        if let Some(twice) = self.voters.iter().enumerate().find(|(i, v)| self.voters[..*i].contains(v)) {
            return Err(BadTerms::Twice(*twice.1));
        }
        if self.beat == 0 || self.beat * 3 > self.lease {
            return Err(BadTerms::Beat { beat: self.beat, lease: self.lease });
        }
        if self.drift > 100_000 {
            return Err(BadTerms::Drift(self.drift));
        }
        if self.tick == 0 || self.patience < 5 {
            return Err(BadTerms::Tick { tick: self.tick, patience: self.patience });
        }
        for (name, value, least) in [
            ("retained", self.retained, 16),
            ("batch", self.batch as u64, 1024),
            ("under-way", self.under_way as u64, 1),
        ] {
            if value < least {
                return Err(BadTerms::Bound(name, least));
            }
        }
        Ok(())
    }

    /// So long on any clock is not over before `span` is on another that began no later. With rates within
    /// `1 - d` to `1 + d` of true time, `span` lasts at most `span / (1 - d)`, and `s` here at least `s / (1 + d)`.
    pub fn outlasts(&self, span: Span) -> Span {
        let (slow, fast) = (1_000_000 - u128::from(self.drift), 1_000_000 + u128::from(self.drift));
        (u128::from(span) * fast).div_ceil(slow) as Span + 1
    }
}
