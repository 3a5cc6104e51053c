//! Whether the connections to one executor still lead to it, and whether it accepts another one. No I/O and
//! no clock.
//!
//! Two faults look alike from a single call and require opposite reactions. If a machine has vanished, its
//! connections stay open but silent, so that only a new connection shows whether it is there. If an
//! executor's connection table is full, it accepts a new connection, rejects the first call on it and closes
//! it, while existing connections go on to work. Therefore an existing connection is trusted until something
//! sent over it has been unanswered for longer than busy executors usually take ([`SilenceTolerance`]), and
//! after a rejected connection the next one is only tried after a pause.

use badgerwind::interface::{Micros, Time};

/// The maximum pause before the next new connection, as a multiple of the first one.
const MAX_PAUSE_FACTOR: u64 = 8;

/// Number of answers after which a long silence has decayed to about a third.
const DECAY_ANSWERS: u64 = 64;
/// The maximum tolerated silence, as a multiple of the minimum.
const MAX_TOLERANCE_FACTOR: u64 = 4;

/// How long executors usually take to send anything after something was sent to them, as observed recently on
/// all connections of this front end. Prevents busy executors from being taken for vanished ones: hundreds of
/// front ends that each open another connection to an executor with a queue are its worst load.
#[derive(Clone, Debug)]
pub struct SilenceTolerance {
    min: Micros,
    usual: Micros,
}

impl SilenceTolerance {
    /// Tolerates at least `min` microseconds of silence.
    pub fn new(min: Micros) -> SilenceTolerance {
        SilenceTolerance { min, usual: 0 }
    }

    /// Records that an executor sent something after so much silence.
    pub fn observe(&mut self, silence: Micros) {
        self.usual = silence.max(self.usual - self.usual / DECAY_ANSWERS);
    }

    /// The tolerated silence, in microseconds. A longer one is not explained by a busy executor.
    pub fn current(&self) -> Micros {
        self.usual.clamp(self.min, self.min * MAX_TOLERANCE_FACTOR)
    }
}

/// Maximum number of calls that share a connection while connections are reliable.
const MAX_SHARED_CALLS: usize = 8;
/// Weight of a call in the moving average of connections that broke under calls.
const BREAK_RATE_GAIN: f64 = 1.0 / 256.0;
/// From this rate on calls do not share connections: a break less than 75 calls ago.
const MAX_BREAK_RATE: f64 = 1.5 * BREAK_RATE_GAIN;
/// The same for calls that must not run twice: they need 75 calls without a break after the start, and 250
/// after a break.
const MAX_BREAK_RATE_ONCE: f64 = 0.75 * BREAK_RATE_GAIN;

/// Whether calls share connections. A connection that breaks under one call fails all calls that share it,
/// whereas each separate connection costs a handshake and an entry in the executor's connection table,
/// multiplied by the number of front ends. So calls share connections while these are reliable, and use
/// separate ones while they break. Calls that cannot be retried require more evidence of reliability.
#[derive(Clone, Debug)]
pub struct Sharing {
    break_rate: f64,
}

impl Default for Sharing {
    /// Starts as if a connection had just broken, since nothing is known.
    fn default() -> Sharing {
        Sharing { break_rate: BREAK_RATE_GAIN }
    }
}

impl Sharing {
    /// Records that a call was answered.
    pub fn on_answer(&mut self) {
        self.break_rate -= BREAK_RATE_GAIN * self.break_rate;
    }

    /// Records that a connection broke under calls.
    pub fn on_break(&mut self) {
        self.break_rate += BREAK_RATE_GAIN * (1.0 - self.break_rate);
    }

    /// How many calls may share one connection; `once` tells whether they must not run twice.
    pub fn max_calls(&self, once: bool) -> usize {
        if self.break_rate < if once { MAX_BREAK_RATE_ONCE } else { MAX_BREAK_RATE } {
            MAX_SHARED_CALLS
        } else {
            1
        }
    }
}

/// Whether one executor can be reached, over existing connections and over new ones.
#[derive(Clone, Debug)]
pub struct Reachability {
    /// When something that requires an answer was sent, if nothing was received since.
    unanswered_since: Option<Time>,
    /// The first pause after a rejected connection, in microseconds.
    first_pause: Micros,
    /// No new connection is tried before this time.
    paused_until: Time,
    pause: Micros,
}

impl Reachability {
    /// Starts for an executor that was just listed. `first_pause` is the pause after the first rejected
    /// connection, in microseconds.
    pub fn new(first_pause: Micros) -> Reachability {
        Reachability { unanswered_since: None, first_pause, paused_until: 0, pause: 0 }
    }

    /// Records that something was received or a connection was established, which shows that the machine is
    /// there. Returns since when something was unanswered.
    pub fn on_received(&mut self) -> Option<Time> {
        self.unanswered_since.take()
    }

    /// Records that something that requires an answer was completely sent.
    pub fn on_sent(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether existing connections still count as leading to the executor, if so much silence is tolerated.
    pub fn is_trusted(&self, now: Time, tolerated_silence: Micros) -> bool {
        self.unanswered_since.is_none_or(|at| now <= at + tolerated_silence)
    }

    /// Records that the executor rejected a new connection because its table is full. The pause grows with
    /// each rejection. `jitter` is a fresh random number from 0 to 1, so that front ends do not retry in
    /// step.
    pub fn on_rejected(&mut self, now: Time, jitter: f64) {
        if !self.may_connect(now) {
            return; // connections opened at the same time as the first rejected one prove nothing more
        }
        self.pause = (self.pause * 2).clamp(self.first_pause, self.first_pause * MAX_PAUSE_FACTOR);
        self.paused_until = now + (self.pause as f64 * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as Micros;
    }

    /// Records that the executor accepted a call over a new connection.
    pub fn on_accepted(&mut self) {
        (self.pause, self.paused_until) = (0, 0);
    }

    /// Whether a new connection may be tried.
    pub fn may_connect(&self, now: Time) -> bool {
        now >= self.paused_until
    }
}
