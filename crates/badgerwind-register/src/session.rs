//! A member's own session with the register: its incarnation and lease, and its announcements that are not
//! committed yet.

use crate::message::Message;
use crate::record::{Record, VERSION};
use crate::settings::{Incarnation, Member, Micros, Settings, Time};
use crate::Mutant;
use std::collections::VecDeque;

/// Why an announcement is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnnounceError {
    /// This member has no incarnation, or its lease has expired.
    #[error("this member holds no lease of the register: the register is unreachable, or the member has just started")]
    NotLive,
    /// The announcement is longer than an entry may be.
    #[error("an announcement of {0} bytes exceeds the limit of {1}")]
    TooLong(usize, usize),
    /// Too many announcements are pending.
    #[error("{0} announcements are pending already")]
    TooManyPending(usize),
}

/// An announcement that is not committed yet.
#[derive(Debug)]
struct PendingAnnouncement {
    serial: u64,
    bytes: Vec<u8>,
}

/// This member's session.
#[derive(Debug)]
pub(crate) struct Session {
    me: Member,
    zone: u8,
    pub nonce: u64,
    pub incarnation: Option<Incarnation>,
    /// End of the lease, by this member's own clock.
    lease_end: Time,
    /// This member has announced that it leaves, or its incarnation has ended.
    pub ended: bool,
    pub leader: Option<Member>,
    /// Position in the list of voters of the one that receives the requests for the log's next entries and,
    /// while no leader is known, the requests for the leader.
    voter_index: usize,
    /// When the leader last renewed the lease, the incarnation began, or the last leader was given up.
    renewed: Time,
    /// When a voter last sent entries of the log.
    entries_received: Time,
    /// When the last requests were sent.
    requested: Time,
    /// Serial number of the last announcement.
    serial: u64,
    pending: VecDeque<PendingAnnouncement>,
}

impl Session {
    pub(crate) fn new(me: Member, zone: u8, nonce: u64) -> Session {
        Session {
            me,
            zone,
            nonce,
            incarnation: None,
            lease_end: 0,
            ended: false,
            leader: None,
            voter_index: usize::from(me),
            renewed: 0,
            entries_received: 0,
            requested: 0,
            serial: 0,
            pending: VecDeque::new(),
        }
    }

    /// The incarnation in which this member may act now, by its own clock. It must be checked at the moment
    /// of an effect.
    pub(crate) fn live_incarnation(&self, now: Time) -> Option<Incarnation> {
        self.incarnation.filter(|_| !self.ended && now < self.lease_end)
    }

    pub(crate) fn announced(&self, incarnation: Incarnation) -> u64 {
        if self.incarnation == Some(incarnation) {
            self.serial
        } else {
            0
        }
    }

    pub(crate) fn lease_end(&self) -> Time {
        self.lease_end
    }

    pub(crate) fn on_renewed(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        stamp: Time,
        lease: Micros,
        mutant: Option<Mutant>,
    ) {
        if self.incarnation == Some(incarnation) && stamp <= now {
            let from = if mutant == Some(Mutant::LeaseFromReceipt) { now } else { stamp };
            self.lease_end = self.lease_end.max(from + lease);
            self.renewed = now;
        }
    }

    /// Adds an announcement, which is proposed repeatedly until it is committed.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        settings: &Settings,
        bytes: Vec<u8>,
    ) -> Result<(Incarnation, u64), AnnounceError> {
        let incarnation = self.live_incarnation(now).ok_or(AnnounceError::NotLive)?;
        if bytes.len() > settings.max_batch_bytes {
            return Err(AnnounceError::TooLong(bytes.len(), settings.max_batch_bytes));
        }
        if self.pending.len() >= settings.max_pending {
            return Err(AnnounceError::TooManyPending(settings.max_pending));
        }
        self.serial += 1;
        self.pending.push_back(PendingAnnouncement { serial: self.serial, bytes });
        Ok((incarnation, self.serial))
    }

    /// Announcements up to this serial number are committed.
    pub(crate) fn on_committed(&mut self, up_to: u64) {
        while self.pending.front().is_some_and(|pending| pending.serial <= up_to) {
            self.pending.pop_front();
        }
    }

    /// Starts over without an incarnation; the next heartbeat requests one. Returns the number of pending
    /// announcements, which are lost with the old incarnation.
    pub(crate) fn reset(&mut self, nonce: u64) -> usize {
        let lost = self.pending.len();
        let (me, zone, leader, voter_index) = (self.me, self.zone, self.leader, self.voter_index);
        *self = Session {
            leader,
            voter_index,
            renewed: self.renewed,
            entries_received: self.entries_received,
            requested: self.requested,
            ..Session::new(me, zone, nonce)
        };
        lost
    }

    /// Records of the pending announcements from a position on, at most about `max_bytes` but at least one.
    fn pending_records(&self, from: usize, max_bytes: usize) -> Vec<Record> {
        let Some(incarnation) = self.incarnation else { return Vec::new() };
        let (mut bytes, mut out) = (0, Vec::new());
        for pending in self.pending.iter().skip(from) {
            let record = Record::Announce {
                member: self.me,
                incarnation,
                serial: pending.serial,
                bytes: pending.bytes.clone(),
            };
            bytes += record.size();
            if bytes > max_bytes && !out.is_empty() {
                break;
            }
            out.push(record);
        }
        out
    }

    /// The voter that is asked, by `voter_index`.
    fn voter(&self, voters: &[Member]) -> Option<Member> {
        voters.get(self.voter_index % voters.len().max(1)).copied()
    }

    /// The proposal of the newest announcement, which is sent without waiting for the next heartbeat.
    pub(crate) fn propose_newest(&self, settings: &Settings) -> Option<(Member, Message)> {
        let to = self.leader.or_else(|| self.voter(&settings.voters))?;
        let records = self.pending_records(self.pending.len().saturating_sub(1), settings.max_batch_bytes);
        (!records.is_empty()).then_some((to, Message::Propose(records)))
    }

    /// The log shows that this process has been given this incarnation.
    pub(crate) fn on_began(&mut self, now: Time, incarnation: Incarnation) {
        (self.incarnation, self.renewed) = (Some(incarnation), now);
    }

    /// The messages of a heartbeat, if one is due: the renewal or the request for an incarnation, pending
    /// announcements, and the request for the log's next entries.
    pub(crate) fn heartbeat(
        &mut self,
        now: Time,
        settings: &Settings,
        applied: u64,
    ) -> Vec<(Member, Message)> {
        if now < self.requested + settings.heartbeat_interval && self.requested > 0 {
            return Vec::new();
        }
        self.requested = now.max(1);
        let timeout = 3 * settings.heartbeat_interval;
        if now > self.renewed + timeout {
            // The leader does not answer: another voter may know a new one.
            (self.leader, self.renewed, self.voter_index) = (None, now, self.voter_index + 1);
        }
        let mut out = Vec::new();
        let leader = self.leader.or_else(|| self.voter(&settings.voters));
        if let Some(to) = leader.filter(|_| !self.ended) {
            match self.incarnation {
                None => {
                    let join = Record::Join {
                        member: self.me,
                        nonce: self.nonce,
                        zone: self.zone,
                        record_version: VERSION,
                    };
                    out.push((to, Message::Propose(vec![join])));
                }
                Some(incarnation) => {
                    out.push((to, Message::Renew { incarnation, stamp: now }));
                    let records = self.pending_records(0, settings.max_batch_bytes);
                    if !records.is_empty() {
                        out.push((to, Message::Propose(records)));
                    }
                }
            }
        }
        if now > self.entries_received + timeout {
            (self.entries_received, self.voter_index) = (now, self.voter_index + 1);
        }
        out.extend(self.request_entries(settings, applied));
        out
    }

    pub(crate) fn request_entries(&self, settings: &Settings, applied: u64) -> Option<(Member, Message)> {
        let to = self.voter(&settings.voters).filter(|v| *v != self.me)?;
        Some((to, Message::EntriesAfter(applied)))
    }

    pub(crate) fn on_entries(&mut self, now: Time) {
        self.entries_received = now;
    }
}
