//! The coordinator: a front end with the votes of a majority, which decides who owns which unit. It stores
//! nothing on disk. A new coordinator does not know what its predecessor granted: it renews what lessees
//! hold, and grants no other units until every earlier grant must have expired and its units have cooled
//! down.

use crate::divide::max_min_fair;
use crate::message::{Message, MAX_RANGES};
use crate::settings::{Incarnation, LeaseSettings, Limit, LimitSet, Member, Time};
use crate::units::{Unit, Units};
use crate::Mutant;
use std::collections::BTreeMap;

/// A lessee keeps units above its share while they are less than one part in this many of what it holds:
/// demand fluctuates, and a unit that changes owner is unusable during its cooldown.
const SHARE_TOLERANCE: usize = 8;

/// The coordinator's record of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    /// The member that may hold it.
    owner: Option<(Member, Incarnation)>,
    /// The owner's lease must have expired by then, on this clock.
    owned_until: Time,
    /// From then on it may be granted to another member.
    free_from: Time,
    /// It is not free before this time, whatever lessees report: an earlier coordinator may have granted it
    /// to a member that has sent no request since.
    unknown_until: Time,
}

/// A member that has sent requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Requester {
    incarnation: Incarnation,
    /// Its latest request for each budget.
    latest: BTreeMap<u8, LatestRequest>,
}

/// A lessee's latest request for a budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LatestRequest {
    serial: u32,
    wants: Unit,
    received_at: Time,
}

/// State of a coordinator, from winning a majority until it loses it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leadership {
    /// Units by budget.
    ledgers: Vec<Vec<Entry>>,
    requesters: BTreeMap<Member, Requester>,
}

/// A candidate, or the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    me: Member,
    incarnation: Incarnation,
    round: u32,
    /// When the votes of this round were requested.
    requested_at: Time,
    /// Voters, and when each vote expires on this clock.
    votes: BTreeMap<Member, Time>,
    leadership: Option<Leadership>,
    mutant: Option<Mutant>,
}

/// State of a unit, for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnitState {
    /// Owned by this member, at most until then.
    Owned(Member, Time),
    /// Without an owner, and not free until then.
    CoolingDown(Time),
    /// Free to be granted.
    Free,
}

impl Coordinator {
    /// A front end that may become coordinator.
    pub fn new(me: Member, incarnation: Incarnation) -> Coordinator {
        Coordinator {
            me,
            incarnation,
            round: 0,
            requested_at: 0,
            votes: BTreeMap::new(),
            leadership: None,
            mutant: None,
        }
    }

    /// Injects a defect, for tests that show that it is detected.
    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Coordinator {
        self.mutant = mutant;
        self
    }

    /// Starts a new round of votes and returns the request. Votes of earlier rounds are no longer counted.
    pub fn request_votes(&mut self, now: Time, limit_set: &LimitSet, settings: &LeaseSettings) -> Message {
        self.round += 1;
        self.requested_at = now;
        let is_coordinator = self.is_coordinator(now, limit_set, settings);
        Message::RequestVote {
            incarnation: self.incarnation,
            round: self.round,
            is_coordinator,
            version: limit_set.version,
        }
    }

    /// Counts a vote, valid from the time of the request.
    pub fn on_vote(
        &mut self,
        now: Time,
        from: Member,
        message: &Message,
        limit_set: &LimitSet,
        settings: &LeaseSettings,
    ) {
        let Message::Vote { incarnation, round } = message else { return };
        let current = *incarnation == self.incarnation
            && (*round == self.round || self.mutant == Some(Mutant::CountsOldVotes));
        if current && settings.voters.contains(&from) {
            self.votes.insert(from, self.requested_at + settings.vote);
            self.is_coordinator(now, limit_set, settings);
        }
    }

    /// Whether it is coordinator now. A leadership ends as soon as its votes are no longer a majority, even
    /// briefly: another member may have been coordinator since.
    pub fn is_coordinator(&mut self, now: Time, limit_set: &LimitSet, settings: &LeaseSettings) -> bool {
        if self.mutant != Some(Mutant::VotesNeverEnd) {
            self.votes.retain(|_, until| now < *until);
        }
        let majority = settings.is_majority(self.votes.len())
            || self.mutant == Some(Mutant::HalfIsMajority) && 2 * self.votes.len() >= settings.voters.len();
        if !majority {
            self.leadership = None;
        } else if self.leadership.is_none() {
            self.leadership = Some(Leadership {
                ledgers: limit_set
                    .limits
                    .iter()
                    .map(|limit| self.unknown_entries(now, limit, settings))
                    .collect(),
                requesters: BTreeMap::new(),
            });
        }
        self.leadership.is_some()
    }

    /// Records of units of which it is unknown whether an earlier coordinator granted them.
    fn unknown_entries(&self, now: Time, limit: &Limit, settings: &LeaseSettings) -> Vec<Entry> {
        let ended_by = now + settings.drift_adjusted(settings.lease);
        let mut free_from = ended_by + settings.drift_adjusted(limit.cooldown);
        if self.mutant == Some(Mutant::NewCoordinatorGrantsAtOnce) {
            free_from = now;
        }
        vec![
            Entry { owner: None, owned_until: ended_by, free_from, unknown_until: free_from };
            usize::from(limit.units)
        ]
    }

    /// Applies a new version of the limits. Added units become free once no earlier grant can hold them.
    pub fn apply_limits(&mut self, now: Time, limit_set: &LimitSet, settings: &LeaseSettings) {
        let Some(mut leadership) = self.leadership.take() else { return };
        for (n, limit) in limit_set.limits.iter().enumerate() {
            let unknown = self.unknown_entries(now, limit, settings);
            match leadership.ledgers.get_mut(n) {
                Some(ledger) => {
                    let old_len = ledger.len();
                    ledger.truncate(unknown.len());
                    ledger.extend(unknown.into_iter().skip(old_len));
                }
                None => leadership.ledgers.push(unknown),
            }
        }
        self.leadership = Some(leadership);
    }

    /// Answers a lessee's request if it is coordinator. Leases are evaluated here only, at the time of a
    /// request, never by a timer.
    pub fn on_lease_request(
        &mut self,
        now: Time,
        from: Member,
        message: &Message,
        limit_set: &LimitSet,
        settings: &LeaseSettings,
    ) -> Option<Message> {
        let Message::LeaseRequest { budget, incarnation, serial, version, held, wants } = message else {
            return None;
        };
        let limit = limit_set.limits.get(usize::from(*budget)).filter(|_| *version == limit_set.version)?;
        if !self.is_coordinator(now, limit_set, settings) {
            return None;
        }
        let mutant = self.mutant;
        let leadership = self.leadership.as_mut()?;
        let new_requester = || Requester { incarnation: *incarnation, latest: BTreeMap::new() };
        let requester = leadership.requesters.entry(from).or_insert_with(new_requester);
        if *incarnation < requester.incarnation {
            return Some(Message::Superseded { incarnation: *incarnation, latest: requester.incarnation });
        }
        if *incarnation > requester.incarnation {
            *requester = new_requester();
        }
        let last_serial = requester.latest.get(budget).map_or(0, |request| request.serial);
        if *serial <= last_serial && mutant != Some(Mutant::AcceptsStaleRequests) {
            return None;
        }
        requester.latest.insert(*budget, LatestRequest { serial: *serial, wants: *wants, received_at: now });
        let ledger = &mut leadership.ledgers[usize::from(*budget)];
        let pool = limit.grantable();
        let (lease, cooldown) =
            (settings.drift_adjusted(settings.lease), settings.drift_adjusted(limit.cooldown));
        let (lease, cooldown) = match mutant {
            Some(Mutant::NoCooldown) => (lease, 0),
            Some(Mutant::IgnoresDrift) => (settings.lease, limit.cooldown),
            Some(Mutant::ForgetsLease) => (0, 0),
            _ => (lease, cooldown),
        };
        // The same incarnation never again uses units that it no longer holds: their cooldown starts now.
        let lessee = (from, *incarnation);
        for (n, entry) in ledger.iter_mut().enumerate() {
            if entry.owner == Some(lessee) && !held.contains(n as Unit) {
                (entry.owner, entry.owned_until) = (None, now);
                entry.free_from = entry.free_from.min(now + cooldown);
                if mutant != Some(Mutant::ForgetsUnknownOwners) {
                    entry.free_from = entry.free_from.max(entry.unknown_until);
                }
            }
        }
        // A lessee keeps what it holds unless another member owns it. A stale request may make units unusable
        // for a while, but never gives them a second owner.
        let unknown = |entry: &Entry| entry.owner.is_none() && now < entry.free_from;
        let may_keep = |u: Unit| {
            let entry = &ledger[usize::from(u)];
            entry.owner == Some(lessee) || unknown(entry)
        };
        let held = held.filter_units(|u| pool.contains(u) && may_keep(u));
        let target = self.target_units(now, from, *budget, limit, settings);
        let leadership = self.leadership.as_mut()?;
        let ledger = &mut leadership.ledgers[usize::from(*budget)];
        let max_moves =
            usize::from((u32::from(limit.units) * u32::from(settings.max_moves) / 256).max(1) as Unit);
        // A small excess over its share stays with the lessee, see `SHARE_TOLERANCE`.
        let excess = held.len().saturating_sub(target);
        let excess = if excess * SHARE_TOLERANCE > held.len() { excess.min(max_moves) } else { 0 };
        let renewed: Units = held.iter().take(held.len() - excess).collect();
        let free = |u: &Unit| {
            let entry = &ledger[usize::from(*u)];
            let available =
                now >= entry.free_from || mutant == Some(Mutant::GrantsTwice) && entry.owner != Some(lessee);
            available && !renewed.contains(*u)
        };
        let missing = target.saturating_sub(renewed.len()).min(max_moves.max(target / 2));
        let added: Units = pool.iter().filter(free).take(missing).collect();
        let (renewed, added) = (renewed.first_ranges(MAX_RANGES), added.first_ranges(MAX_RANGES));
        for u in renewed.iter().chain(added.iter()) {
            let entry = &mut ledger[usize::from(u)];
            (entry.owner, entry.owned_until, entry.free_from) =
                (Some(lessee), now + lease, now + lease + cooldown);
        }
        let (budget, incarnation, serial, version) = (*budget, *incarnation, *serial, *version);
        Some(Message::Grant { budget, incarnation, serial, version, renewed, added })
    }

    /// A member's fair share of the grantable units, by the wants of all members that sent a request within a
    /// lease.
    fn target_units(
        &self,
        now: Time,
        member: Member,
        budget: u8,
        limit: &Limit,
        settings: &LeaseSettings,
    ) -> usize {
        let Some(leadership) = &self.leadership else { return 0 };
        let recent = |requester: &Requester| {
            let latest = requester.latest.get(&budget);
            latest.filter(|r| now < r.received_at + settings.lease).map(|r| r.wants)
        };
        let recent_wants: Vec<(Member, Unit)> =
            leadership.requesters.iter().filter_map(|(m, r)| recent(r).map(|wants| (*m, wants))).collect();
        let wants: Vec<Unit> = recent_wants.iter().map(|(_, units)| *units).collect();
        let shares = max_min_fair(limit.grantable().len() as Unit, &wants, 0);
        recent_wants.iter().position(|(m, _)| *m == member).map_or(0, |n| usize::from(shares[n]))
    }

    /// State of each grantable unit of a budget; `None` if it is not coordinator.
    pub fn unit_states(&self, now: Time, budget: u8, limit: &Limit) -> Option<Vec<(Unit, UnitState)>> {
        let ledger = self.leadership.as_ref()?.ledgers.get(usize::from(budget))?;
        let state = |u: Unit| {
            let entry = &ledger[usize::from(u)];
            match entry.owner {
                Some((m, _)) if now < entry.owned_until => UnitState::Owned(m, entry.owned_until),
                _ if now < entry.free_from => UnitState::CoolingDown(entry.free_from),
                _ => UnitState::Free,
            }
        };
        Some(limit.grantable().iter().map(|u| (u, state(u))).collect())
    }
}
