//! Messages between members: probes and answers with piggybacked updates, at most 256 bytes.
//!
//! `format(1) kind(1) serial(4) target(2) incarnation(8) refutations(4) count(1)`, then updates
//! `member(2) incarnation(8) refutations(4) state(1) reported_by(2)`, big-endian. The format byte differs from
//! that of budgets, and from every first byte of the decision module's own messages.

use crate::members::State;
use crate::{Incarnation, Member};

/// Maximum size of a message in bytes.
pub const MAX_BYTES: usize = 256;
/// First byte, which identifies the format.
const FORMAT: u8 = 0xb2;
const HEADER_BYTES: usize = 21;
const UPDATE_BYTES: usize = 17;
/// Maximum number of updates in a message.
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
    /// How often it has refuted a suspicion in this incarnation; only the member itself increments this.
    pub refutations: u32,
    /// Its state.
    pub state: State,
    /// The member that reported the state.
    pub reported_by: Member,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Kind of the message.
    pub kind: Kind,
    /// Serial number of the ping that it is or answers, chosen by the sender of the ping.
    pub serial: u32,
    /// The member that is probed.
    pub target: Member,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's refutations.
    pub refutations: u32,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}

impl Message {
    /// Encodes the message. Updates beyond [`MAX_UPDATES`] are omitted.
    pub fn encode(&self) -> Vec<u8> {
        let kind = match self.kind {
            Kind::Ping => 0,
            Kind::Ack => 1,
            Kind::PingRequest => 2,
            Kind::Nack => 3,
        };
        let updates = &self.updates[..self.updates.len().min(MAX_UPDATES)];
        let mut out = vec![FORMAT, kind];
        out.extend(self.serial.to_be_bytes());
        out.extend(self.target.to_be_bytes());
        out.extend(self.incarnation.to_be_bytes());
        out.extend(self.refutations.to_be_bytes());
        out.push(updates.len() as u8);
        for update in updates {
            out.extend(update.member.to_be_bytes());
            out.extend(update.incarnation.to_be_bytes());
            out.extend(update.refutations.to_be_bytes());
            out.push(update.state.rank());
            out.extend(update.reported_by.to_be_bytes());
        }
        out
    }

    /// Decodes a message; `None` if it is malformed or of another format.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        fn array<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
            let (first, rest) = bytes.split_first_chunk::<N>()?;
            *bytes = rest;
            Some(*first)
        }
        let input = &mut &bytes[..];
        if array::<1>(input)? != [FORMAT] {
            return None;
        }
        let kind = match array::<1>(input)? {
            [0] => Kind::Ping,
            [1] => Kind::Ack,
            [2] => Kind::PingRequest,
            [3] => Kind::Nack,
            _ => return None,
        };
        let serial = u32::from_be_bytes(array(input)?);
        let target = Member::from_be_bytes(array(input)?);
        let incarnation = Incarnation::from_be_bytes(array(input)?);
        let refutations = u32::from_be_bytes(array(input)?);
        let [count] = array::<1>(input)?;
        if usize::from(count) > MAX_UPDATES || input.len() != usize::from(count) * UPDATE_BYTES {
            return None;
        }
        let mut updates = Vec::with_capacity(usize::from(count));
        for _ in 0..count {
            updates.push(Update {
                member: Member::from_be_bytes(array(input)?),
                incarnation: Incarnation::from_be_bytes(array(input)?),
                refutations: u32::from_be_bytes(array(input)?),
                state: State::from_rank(array::<1>(input)?[0])?,
                reported_by: Member::from_be_bytes(array(input)?),
            });
        }
        Some(Message { kind, serial, target, incarnation, refutations, updates })
    }
}
