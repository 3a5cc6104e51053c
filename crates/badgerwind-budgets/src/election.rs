//! When a front end requests votes. Only liveness depends on this, whether and how soon there is a
//! coordinator; that there is at most one does not.

use crate::node::Recipient;
use crate::settings::{LeaseSettings, Member, Micros, Time};

/// A coordinator requests votes this many times while a vote is valid, which tolerates the loss of a third of
/// all datagrams.
const REQUESTS_PER_VOTE: u64 = 6;
/// Upper bound of the rank in the candidates' delay, so that the others do not wait too long where most
/// voters are down.
const MAX_RANK: u64 = 8;

/// A member's candidacy: when it requests votes, and from whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Election {
    /// Number of candidates ahead of it: voters in the order of the settings, then all other members with the
    /// same rank.
    rank: u64,
    /// Earliest time of the next request.
    next_request: Time,
    /// When a coordinator's message was last received.
    coordinator_seen: Time,
    /// When this coordinator last sent its request to all members.
    announced_at: Time,
}

impl Election {
    /// The state of a process that starts now; it first listens for a coordinator. `jitter` is drawn from 0
    /// to 1, here and below: candidates that request votes in step would split the votes again and again.
    pub fn new(now: Time, me: Member, settings: &LeaseSettings, jitter: f64) -> Election {
        let rank = settings.voters.iter().position(|v| *v == me).unwrap_or(settings.voters.len()) as u64;
        let mut election = Election { rank, next_request: 0, coordinator_seen: now, announced_at: 0 };
        election.next_request =
            now + settings.drift_adjusted(settings.vote) + election.delay(settings, jitter);
        election
    }

    /// Delay of this candidate by its rank, plus a random part.
    fn delay(&self, settings: &LeaseSettings, jitter: f64) -> Micros {
        let step = settings.vote / 4;
        self.rank.min(MAX_RANK) * step + (step as f64 * jitter.clamp(0.0, 1.0)) as Micros
    }

    /// Records a sign of life of a coordinator. A member that has seen one recently requests no votes.
    pub fn on_coordinator_message(&mut self, now: Time) {
        self.coordinator_seen = now;
    }

    /// This member has become coordinator. It requests votes again well before the current ones expire.
    pub fn won(&mut self, now: Time, settings: &LeaseSettings) {
        (self.next_request, self.announced_at) = (now + settings.vote / REQUESTS_PER_VOTE, 0);
    }

    /// The members to request votes from now, if any. A coordinator also announces itself to members that do
    /// not vote, but less often: if each of 300 members sent to all, that would be 90,000 messages.
    pub fn poll(
        &mut self,
        now: Time,
        is_coordinator: bool,
        settings: &LeaseSettings,
        jitter: f64,
    ) -> Option<Recipient> {
        if now < self.next_request {
            return None;
        }
        if is_coordinator {
            self.next_request = now + settings.vote / REQUESTS_PER_VOTE;
            let all = now >= self.announced_at + settings.vote / 2;
            self.announced_at = if all { now } else { self.announced_at };
            return Some(if all { Recipient::All } else { Recipient::Voters });
        }
        // Twice the validity of a vote, since some messages of a coordinator are lost.
        let no_coordinator = now >= self.coordinator_seen + 2 * settings.vote;
        // Before the next request, the votes of this one must have expired: a vote given to a losing
        // candidate binds its voter for as long as one given to the winner.
        let from = if no_coordinator { now } else { self.coordinator_seen + settings.vote };
        self.next_request = from + settings.vote + self.delay(settings, jitter);
        no_coordinator.then_some(Recipient::Voters)
    }
}
