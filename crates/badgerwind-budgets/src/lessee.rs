//! A lessee: what this front end owns of a budget, and whether it may spend now. The lease is checked when a
//! unit is spent, not by a timer: a process that was stopped for longer than its lease finds it expired at
//! its first instruction.

use crate::message::{grant_expiry, Message, MAX_RANGES};
use crate::settings::{Incarnation, LeaseSettings, Limit, LimitSet, Member, Micros, Time};
use crate::units::{Unit, Units};
use crate::Mutant;
use std::collections::BTreeMap;

/// A lease request that was sent and not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    serial: u32,
    sent_at: Time,
}

/// What a front end holds of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lessee {
    budget: u8,
    me: Member,
    incarnation: Incarnation,
    serial: u32,
    version: u32,
    limit: Limit,
    lease: Micros,
    granted: Units,
    lease_end: Time,
    /// The request whose answer is accepted.
    pending_request: Option<PendingRequest>,
    /// Units that were spent, and when each may be spent again.
    cooling: BTreeMap<Unit, Time>,
    /// Cooldown of a spent unit, measured on this clock.
    cooldown: Micros,
    /// Floor units may be spent from this time on: it is not known which of them the previous incarnation
    /// spent.
    floor_usable_from: Time,
    mutant: Option<Mutant>,
}

impl Lessee {
    /// A front end that starts now and owns only its floor.
    pub fn new(
        now: Time,
        (me, incarnation): (Member, Incarnation),
        budget: u8,
        limit_set: &LimitSet,
        settings: &LeaseSettings,
    ) -> Lessee {
        let limit = limit_set.limits[usize::from(budget)].clone();
        let (cooldown, floor_usable_from) = (limit.cooldown, now + settings.drift_adjusted(limit.cooldown));
        Lessee {
            budget,
            me,
            incarnation,
            serial: 0,
            version: limit_set.version,
            limit,
            lease: settings.lease,
            granted: Units::new(),
            lease_end: 0,
            pending_request: None,
            cooling: BTreeMap::new(),
            cooldown: settings.drift_adjusted(cooldown),
            floor_usable_from,
            mutant: None,
        }
    }

    /// Injects a defect, for tests that show that it is detected.
    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Lessee {
        self.mutant = mutant;
        if mutant == Some(Mutant::RestartSpendsFloor) {
            self.floor_usable_from = 0;
        }
        self
    }

    /// The incarnation of this lessee.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The limit that it uses.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Granted units whose lease has not expired.
    pub fn granted(&self, now: Time) -> Units {
        if now < self.lease_end || self.mutant == Some(Mutant::SpendsAfterLease) {
            self.granted.clone()
        } else {
            Units::new()
        }
    }

    /// All units that it owns now: its floor and what is granted.
    pub fn owned(&self, now: Time) -> Units {
        self.limit.floor_of(self.me).union(&self.granted(now))
    }

    /// Number of units that it can use within a window at this time unless a grant changes it. The floor is
    /// not included during its cooldown after the start.
    pub fn usable(&self, at: Time) -> usize {
        let floor = if at < self.floor_usable_from { 0 } else { self.limit.floor_of(self.me).len() };
        floor + self.granted(at).len()
    }

    /// Spends a unit if one is available. The unit is unavailable for the limit's cooldown from now.
    pub fn spend(&mut self, now: Time) -> Option<Unit> {
        self.cooling.retain(|_, from| *from > now);
        let floor = if now < self.floor_usable_from { Units::new() } else { self.limit.floor_of(self.me) };
        let granted = self.granted(now);
        let unit = floor.iter().chain(granted.iter()).find(|u| !self.cooling.contains_key(u))?;
        self.cooling.insert(unit, now + self.cooldown);
        Some(unit)
    }

    /// Releases a unit of a concurrency limit. It may be spent again at once while it is owned.
    pub fn release(&mut self, unit: Unit) {
        self.cooling.remove(&unit);
    }

    /// Time until one of the units that it owns may be spent, in microseconds; `None` if it owns none.
    pub fn wait_time(&self, now: Time) -> Option<Micros> {
        let floor = self.limit.floor_of(self.me);
        let wait = |u: Unit| {
            let from = if floor.contains(u) { self.floor_usable_from } else { 0 };
            self.cooling.get(&u).copied().unwrap_or(0).max(from).saturating_sub(now)
        };
        self.owned(now).iter().map(wait).min()
    }

    /// Returns a request for `wants` units that reports what is held. Answers to earlier requests are no
    /// longer accepted.
    pub fn request_lease(&mut self, now: Time, wants: Unit) -> Message {
        self.granted = self.granted(now).first_ranges(MAX_RANGES);
        self.serial += 1;
        self.pending_request = Some(PendingRequest { serial: self.serial, sent_at: now });
        let held =
            if self.mutant == Some(Mutant::HidesHoldings) { Units::new() } else { self.granted.clone() };
        let (budget, incarnation, serial, version) =
            (self.budget, self.incarnation, self.serial, self.version);
        Message::LeaseRequest { budget, incarnation, serial, version, held, wants }
    }

    /// Applies the answer to a request; returns whether the granted units changed.
    pub fn on_grant(&mut self, now: Time, message: &Message) -> bool {
        match message {
            Message::Grant { budget, incarnation, serial, version, renewed, added } => {
                let addressed = *budget == self.budget && *incarnation == self.incarnation;
                let request = self.pending_request.filter(|pending| pending.serial == *serial);
                let request = match self.mutant {
                    Some(Mutant::AcceptsAnyGrant) => {
                        request.or(Some(PendingRequest { serial: 0, sent_at: now }))
                    }
                    _ => request,
                };
                let Some(PendingRequest { sent_at, .. }) =
                    request.filter(|_| addressed && *version == self.version)
                else {
                    return false;
                };
                self.pending_request = None;
                // The lease starts when the request is sent: however late the answer arrives, the
                // coordinator's record of the lease ends later.
                let lease_end = if self.mutant == Some(Mutant::LeaseFromReceipt) {
                    now + self.lease
                } else {
                    grant_expiry(sent_at, self.lease)
                };
                if now >= lease_end {
                    return false; // already expired
                }
                let held = self.granted(now);
                let retained = renewed.filter_units(|u| held.contains(u));
                let next = retained.union(added);
                let before = std::mem::replace(&mut self.granted, next);
                self.lease_end = lease_end;
                before != self.granted
            }
            _ => false,
        }
    }

    /// Continues as a later incarnation without granted units, after the coordinator has seen a greater
    /// incarnation of this member.
    pub fn restart_as(&mut self, incarnation: Incarnation) {
        (self.incarnation, self.serial, self.pending_request) = (incarnation, 0, None);
        self.granted = Units::new();
    }

    /// When the current grant expires unless it is renewed.
    pub fn lease_end(&self) -> Time {
        self.lease_end
    }

    /// Applies a new version of the limits. Units that it no longer has are given up at once.
    pub fn apply_limits(&mut self, now: Time, limit_set: &LimitSet) {
        let Some(limit) =
            limit_set.limits.get(usize::from(self.budget)).filter(|_| limit_set.version > self.version)
        else {
            return;
        };
        let grantable = limit.grantable();
        self.granted = self.granted(now).filter_units(|u| grantable.contains(u));
        (self.limit, self.version, self.pending_request) = (limit.clone(), limit_set.version, None);
    }
}
