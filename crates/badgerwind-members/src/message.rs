//! What members say to each other: a question or an answer, and news of members with it. 256 bytes at most.
//!
//! `form(1) kind(1) serial(4) about(2) life(8) round(4) count(1)`, then updates `member(2) life(8) round(4) state(1) by(2)`,
//! big-endian. The form's byte differs from that of budgets, and from any first byte of the module's own messages.

use crate::members::State;
use crate::{Life, Member};

/// Bytes of a message at the most.
pub const MOST: usize = 256;
const FORM: u8 = 0xb2;
const HEAD: usize = 21;
const EACH: usize = 17;
/// Updates in a message at the most.
pub const UPDATES: usize = (MOST - HEAD) / EACH;

/// What a message wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Are you there?
    Ping,
    /// I am here, or the one you had me ask is.
    Ack,
    /// Ask that one for me.
    PingFor,
    /// The one you had me ask has not answered me either; I am here.
    Nack,
}

/// News of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// Whose.
    pub member: Member,
    /// Its life.
    pub life: Life,
    /// Its incarnation within this life: it alone counts it up.
    pub round: u32,
    /// What it is taken for.
    pub state: State,
    /// Who found that.
    pub by: Member,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it wants.
    pub kind: Kind,
    /// The question's number, the asker's own.
    pub serial: u32,
    /// Whom it is about; for [`Kind::Ping`] and a plain answer the one who answers.
    pub about: Member,
    /// The sender's life.
    pub life: Life,
    /// The sender's incarnation.
    pub round: u32,
    /// News.
    pub updates: Vec<Update>,
}

impl Message {
    /// As bytes. Updates for which there is no room are left out.
    pub fn bytes(&self) -> Vec<u8> {
        let kind = match self.kind {
            Kind::Ping => 0,
            Kind::Ack => 1,
            Kind::PingFor => 2,
            Kind::Nack => 3,
        };
        let updates = &self.updates[..self.updates.len().min(UPDATES)];
        let mut out = vec![FORM, kind];
        out.extend(self.serial.to_be_bytes());
        out.extend(self.about.to_be_bytes());
        out.extend(self.life.to_be_bytes());
        out.extend(self.round.to_be_bytes());
        out.push(updates.len() as u8);
        for u in updates {
            out.extend(u.member.to_be_bytes());
            out.extend(u.life.to_be_bytes());
            out.extend(u.round.to_be_bytes());
            out.push(u.state.rank());
            out.extend(u.by.to_be_bytes());
        }
        out
    }

    /// From bytes; `None` for what is none or of another form.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
            let (first, rest) = bytes.split_first_chunk::<N>()?;
            *bytes = rest;
            Some(*first)
        }
        let b = &mut &bytes[..];
        if take::<1>(b)? != [FORM] {
            return None;
        }
        let kind = match take::<1>(b)? {
            [0] => Kind::Ping,
            [1] => Kind::Ack,
            [2] => Kind::PingFor,
            [3] => Kind::Nack,
            _ => return None,
        };
        let serial = u32::from_be_bytes(take(b)?);
        let about = Member::from_be_bytes(take(b)?);
        let life = Life::from_be_bytes(take(b)?);
        let round = u32::from_be_bytes(take(b)?);
        let [count] = take::<1>(b)?;
        if usize::from(count) > UPDATES || b.len() != usize::from(count) * EACH {
            return None;
        }
        let mut updates = Vec::with_capacity(usize::from(count));
        for _ in 0..count {
            updates.push(Update {
                member: Member::from_be_bytes(take(b)?),
                life: Life::from_be_bytes(take(b)?),
                round: u32::from_be_bytes(take(b)?),
                state: State::ranked(take::<1>(b)?[0])?,
                by: Member::from_be_bytes(take(b)?),
            });
        }
        Some(Message { kind, serial, about, life, round, updates })
    }
}
