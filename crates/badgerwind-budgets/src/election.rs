//! When a front end asks for votes. Only whether there is a coordinator rests on this, and how soon; never that there is one at
//! most.

use crate::node::To;
use crate::terms::{Member, Span, Terms, Time};

/// Rounds of votes in the time that a vote counts: a third of all datagrams may be lost.
const ROUNDS: u64 = 6;
/// Places in line at the most: where most voters are gone the others do not wait for ever.
const MOST_TURNS: u64 = 8;

/// A member's side of elections.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Election {
    /// How many stand before it: voters in the order of the terms, then all others together.
    rank: u64,
    due: Time,
    heard: Time,
    /// When it was last announced to all.
    announced: Time,
}

impl Election {
    /// Of a process that starts now; it listens first. `part` is drawn from 0 to 1, here and below: candidates that ask
    /// in step would split the votes again and again.
    pub fn new(now: Time, me: Member, terms: &Terms, part: f64) -> Election {
        let rank = terms.voters.iter().position(|v| *v == me).unwrap_or(terms.voters.len()) as u64;
        let mut election = Election { rank, due: 0, heard: now, announced: 0 };
        election.due = now + terms.outlasts(terms.vote) + election.turn(terms, part);
        election
    }

    /// Its place in line after a vote's time, and a little more by chance.
    fn turn(&self, terms: &Terms, part: f64) -> Span {
        let step = terms.vote / 4;
        self.rank.min(MOST_TURNS) * step + (step as f64 * part.clamp(0.0, 1.0)) as Span
    }

    /// A coordinator has made itself heard. Whoever hears one leaves it in peace.
    pub fn heard_coordinator(&mut self, now: Time) {
        self.heard = now;
    }

    /// This front end has become coordinator: it asks again long before its votes end.
    pub fn won(&mut self, now: Time, terms: &Terms) {
        (self.due, self.announced) = (now + terms.vote / ROUNDS, 0);
    }

    /// Whom to ask for votes now, if anybody. To others than voters a coordinator announces itself, and seldomer: what
    /// each of three hundred sends to all is sent ninety thousand times.
    pub fn asks(&mut self, now: Time, is_coordinator: bool, terms: &Terms, part: f64) -> Option<To> {
        if now < self.due {
            return None;
        }
        if is_coordinator {
            self.due = now + terms.vote / ROUNDS;
            let all = now >= self.announced + terms.vote / 2;
            self.announced = if all { now } else { self.announced };
            return Some(if all { To::All } else { To::Voters });
        }
        // Some messages of a coordinator are lost.
        let alone = now >= self.heard + 2 * terms.vote;
        // A lost vote binds its voter for as long as a won one.
        let from = if alone { now } else { self.heard + terms.vote };
        self.due = from + terms.vote + self.turn(terms, part);
        alone.then_some(To::Voters)
    }
}
