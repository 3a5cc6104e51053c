//! How far a sender's clock lies from this one, seen from the timestamps of its signed messages. No I/O.
//!
//! A timestamp says when a message was signed, in whole seconds, so that a message on its way makes a clock look
//! slower than it is, never faster: the largest difference of a span is the nearest to the truth.

/// Differences are looked at in spans of so many seconds: a clock that was set shows within two of them.
const SPAN: i64 = 60;

/// What is known of one sender's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Skew {
    /// The span that runs: its number, and its largest difference.
    running: Option<(i64, i64)>,
    /// The one before.
    before: Option<(i64, i64)>,
}

impl Skew {
    /// Takes in the timestamp of a message whose signature was good. Both are in seconds since the Unix epoch.
    pub fn seen(&mut self, now: i64, timestamp: i64) {
        let (span, ahead) = (now.div_euclid(SPAN), timestamp.saturating_sub(now));
        match &mut self.running {
            Some((s, most)) if *s == span => *most = ahead.max(*most),
            running => {
                self.before = running.take();
                self.running = Some((span, ahead));
            }
        }
    }

    /// Seconds by which the clock seems to run ahead, negative where it runs behind; `None` where nothing was signed
    /// within the last two spans.
    pub fn ahead(&self, now: i64) -> Option<i64> {
        let span = now.div_euclid(SPAN);
        let of_late = |s: &Option<(i64, i64)>| s.filter(|(n, _)| (span - 1..=span).contains(n)).map(|s| s.1);
        of_late(&self.running).max(of_late(&self.before))
    }

    /// True where a clock has used up more than half of what its timestamps may lie away: it should be set.
    pub fn is_wide(&self, now: i64, tolerance: u64) -> bool {
        self.ahead(now).is_some_and(|a| a.unsigned_abs().saturating_mul(2) > tolerance)
    }
}

/// The wall clock as signatures are judged by it. A clock that is set back would make messages good again that were
/// too old, when their ids are long forgotten: they could run a second time. So this one never goes back, nor slower
/// than seven eighths of the monotonic clock, by which ids are remembered ([`crate::Bounds::keep_for`] counts on
/// that). What a clock was ahead by is made up for at that pace; until then messages of right clocks may look too old,
/// which is harmless.
#[derive(Debug, Default)]
pub struct Wall {
    /// A moment of the monotonic clock, and how far the wall clock was ahead of it then, in microseconds.
    held: Option<(u64, i64)>,
}

/// Of the time that passes, the share by which an offset may shrink.
pub(crate) const MADE_UP: u64 = 8;
/// Shorter times are not looked at, so that nothing is lost to rounding, in microseconds.
const LEAST: u64 = 10_000;

impl Wall {
    /// The time to judge by, in seconds since the Unix epoch; `now` is the monotonic clock in microseconds, `reading`
    /// the wall clock in microseconds since the epoch.
    pub fn at(&mut self, now: u64, reading: i64) -> i64 {
        let read = reading.saturating_sub_unsigned(now);
        let offset = match self.held {
            Some((at, held)) if read < held => {
                let passed = now.saturating_sub(at);
                if passed >= LEAST {
                    let offset = held.saturating_sub_unsigned(passed / MADE_UP).max(read);
                    self.held = Some((now, offset));
                    offset
                } else {
                    held
                }
            }
            _ => {
                self.held = Some((now, read));
                read
            }
        };
        offset.saturating_add_unsigned(now).div_euclid(1_000_000)
    }

    /// Seconds by which a reading lies behind the time that is judged by.
    pub fn behind(&self, now: u64, reading: i64) -> i64 {
        let (_, held) = self.held.unwrap_or((0, i64::MIN));
        held.saturating_sub(reading.saturating_sub_unsigned(now)).max(0) / 1_000_000
    }
}
