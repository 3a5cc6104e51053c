//! What is known of the way to one executor: whether a standing connection still leads to it, and whether it takes
//! another one. No I/O, no clock.
//!
//! Two troubles look alike from one call and want opposite answers. A machine that has vanished leaves its connections open
//! and silent, so that only a new one proves anything. One whose table of connections is full lets a new one come up,
//! turns away the first call on it and closes it, while standing ones go on to work. So a standing connection
//! is trusted until something handed over has had no word for longer than busy executors take ([`Patience`]), and a new one is not
//! tried again at once where the last was turned away.

use badgerwind::interface::{Span, Time};

/// The longest pause before the next new connection, in first ones.
const MOST_PAUSES: u64 = 8;

/// Words after which a long silence is forgotten to about a third.
const FADES: u64 = 64;
/// Silence that is ever borne, in the least that is.
const MOST_BORNE: u64 = 4;

/// How long executors leave what was handed over without a word, as all connections of this front end found lately. Guards
/// against taking busy ones for vanished: hundreds of front ends that each open another connection to an executor with a
/// queue are its worst load.
#[derive(Clone, Debug)]
pub struct Patience {
    least: Span,
    usual: Span,
}

impl Patience {
    /// At least so much silence is borne, in microseconds.
    pub fn new(least: Span) -> Patience {
        Patience { least, usual: 0 }
    }

    /// A word came after so much silence.
    pub fn word(&mut self, silence: Span) {
        self.usual = silence.max(self.usual - self.usual / FADES);
    }

    /// Longer silence is more than a busy executor's, in microseconds.
    pub fn span(&self) -> Span {
        self.usual.clamp(self.least, self.least * MOST_BORNE)
    }
}

/// Calls on one connection at once, while connections hold.
const TOGETHER: usize = 8;
/// Weight of a call in the running share of connections that broke under calls.
const SHARE_GAIN: f64 = 1.0 / 256.0;
/// From this share on calls keep apart: a break less than 75 calls ago.
const BREAKS: f64 = 1.5 * SHARE_GAIN;
/// The same for those that must not run twice: 75 calls without a break since the start, 250 since one.
const FEW_BREAKS: f64 = 0.75 * SHARE_GAIN;

/// Whether calls share connections. What breaks under one call costs all that share its connection; each connection of its
/// own costs a handshake and a place in the executor's table, times all front ends. So calls go together while connections
/// hold, and apart while they break; those that could not be tried again need more proof.
#[derive(Clone, Debug)]
pub struct Sharing {
    breaks: f64,
}

impl Default for Sharing {
    /// Nothing is known: as if one had just broken.
    fn default() -> Sharing {
        Sharing { breaks: SHARE_GAIN }
    }
}

impl Sharing {
    /// A call was answered.
    pub fn answered(&mut self) {
        self.breaks -= SHARE_GAIN * self.breaks;
    }

    /// A connection broke under calls.
    pub fn broke(&mut self) {
        self.breaks += SHARE_GAIN * (1.0 - self.breaks);
    }

    /// Calls that may be on one connection, by whether they `once` run must not run again.
    pub fn together(&self, once: bool) -> usize {
        if self.breaks < if once { FEW_BREAKS } else { BREAKS } {
            TOGETHER
        } else {
            1
        }
    }
}

/// The way to one executor.
#[derive(Clone, Debug)]
pub struct Reach {
    /// Something that answers was handed over then, and no sign of life has come since.
    unanswered: Option<Time>,
    /// The first pause before another new connection, in microseconds.
    first: Span,
    /// Before this no new connection is tried.
    shut_until: Time,
    pause: Span,
}

impl Reach {
    /// An executor just listed. `first`: the first pause after a new connection was turned away, in microseconds.
    pub fn new(first: Span) -> Reach {
        Reach { unanswered: None, first, shut_until: 0, pause: 0 }
    }

    /// A byte came, or a connection came up: the machine is there. Since when something was without a word.
    pub fn heard(&mut self) -> Option<Time> {
        self.unanswered.take()
    }

    /// Something that is owed an answer was handed over whole.
    pub fn asked(&mut self, now: Time) {
        self.unanswered.get_or_insert(now);
    }

    /// Whether a standing connection still counts as leading there, where so much silence is borne.
    pub fn trusted(&self, now: Time, patience: Span) -> bool {
        self.unanswered.is_none_or(|at| now <= at + patience)
    }

    /// A new connection was turned away at the door: its table is full. The pause grows while that goes on; `part`, from 0
    /// to 1 and drawn anew, keeps front ends out of step.
    pub fn turned_away(&mut self, now: Time, part: f64) {
        if !self.opens(now) {
            return; // those that knocked beside the first tell nothing more
        }
        self.pause = (self.pause * 2).clamp(self.first, self.first * MOST_PAUSES);
        self.shut_until = now + (self.pause as f64 * (0.5 + 0.5 * part.clamp(0.0, 1.0))) as Span;
    }

    /// A call over a new connection was taken in.
    pub fn taken_in(&mut self) {
        (self.pause, self.shut_until) = (0, 0);
    }

    /// Whether a new connection may be tried.
    pub fn opens(&self, now: Time) -> bool {
        now >= self.shut_until
    }
}
