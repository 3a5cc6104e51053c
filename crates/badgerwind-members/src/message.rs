//! Messages between members: a ping or an answer with updates of members. 256 bytes at most.
//!
//! `format(1) kind(1) serial(4) about(2) incarnation(8) refutations(4) count(1)`, then updates
//! `member(2) incarnation(8) refutations(4) state(1) by(2)`, big-endian. The format byte differs from that of budgets, and
//! from any first byte of the module's own messages.

use crate::members::State;
use crate::{Incarnation, Member};

/// Bytes of a message at the most.
pub const MAX_BYTES: usize = 256;
const FORMAT: u8 = 0xb2;
const HEADER_BYTES: usize = 21;
const UPDATE_BYTES: usize = 17;
/// Updates in a message at the most.
pub const MAX_UPDATES: usize = (MAX_BYTES - HEADER_BYTES) / UPDATE_BYTES;

/// Kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A probe; its receiver answers with an ack.
    Ping,
    /// The answer to a ping, by its receiver or relayed by an indirect prober.
    Ack,
    /// A request to probe another member (SWIM's ping-req).
    PingRequest,
    /// The answer of an indirect prober whose own ping was not answered (Lifeguard).
    Nack,
}

/// A state of a member, as disseminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// The member.
    pub member: Member,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How often it refuted a suspicion within this incarnation; only the member itself counts this up.
    pub refutations: u32,
    /// Its state.
    pub state: State,
    /// The member that reported the state.
    pub by: Member,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its kind.
    pub kind: Kind,
    /// Serial number of the ping, chosen by its sender.
    pub serial: u32,
    /// The member that is probed.
    pub about: Member,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's refutations.
    pub refutations: u32,
    /// Updates.
    pub updates: Vec<Update>,
}

impl Message {
    /// Encodes the message. Updates for which there is no room are left out.
    pub fn bytes(&self) -> Vec<u8> {
        let kind = match self.kind {
            Kind::Ping => 0,
            Kind::Ack => 1,
            Kind::PingRequest => 2,
            Kind::Nack => 3,
        };
        let updates = &self.updates[..self.updates.len().min(MAX_UPDATES)];
        let mut out = vec![FORMAT, kind];
        out.extend(self.serial.to_be_bytes());
        out.extend(self.about.to_be_bytes());
        out.extend(self.incarnation.to_be_bytes());
        out.extend(self.refutations.to_be_bytes());
        out.push(updates.len() as u8);
        for u in updates {
            out.extend(u.member.to_be_bytes());
            out.extend(u.incarnation.to_be_bytes());
            out.extend(u.refutations.to_be_bytes());
            out.push(u.state.rank());
            out.extend(u.by.to_be_bytes());
        }
        out
    }

    /// Decodes a message; `None` for bytes that are none or of another format.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
            let (first, rest) = bytes.split_first_chunk::<N>()?;
            *bytes = rest;
            Some(*first)
        }
        let b = &mut &bytes[..];
        if take::<1>(b)? != [FORMAT] {
            return None;
        }
        let kind = match take::<1>(b)? {
            [0] => Kind::Ping,
            [1] => Kind::Ack,
            [2] => Kind::PingRequest,
            [3] => Kind::Nack,
            _ => return None,
        };
        let serial = u32::from_be_bytes(take(b)?);
        let about = Member::from_be_bytes(take(b)?);
        let incarnation = Incarnation::from_be_bytes(take(b)?);
        let refutations = u32::from_be_bytes(take(b)?);
        let [count] = take::<1>(b)?;
        if usize::from(count) > MAX_UPDATES || b.len() != usize::from(count) * UPDATE_BYTES {
            return None;
        }
        let mut updates = Vec::with_capacity(usize::from(count));
        for _ in 0..count {
            updates.push(Update {
                member: Member::from_be_bytes(take(b)?),
                incarnation: Incarnation::from_be_bytes(take(b)?),
                refutations: u32::from_be_bytes(take(b)?),
                state: State::ranked(take::<1>(b)?[0])?,
                by: Member::from_be_bytes(take(b)?),
            });
        }
        Some(Message { kind, serial, about, incarnation, refutations, updates })
    }
}
