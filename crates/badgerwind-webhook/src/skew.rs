//! Estimates the offset of senders' clocks from the timestamps of their signed messages, and provides the
//! clock by which timestamps are checked. No I/O.
//!
//! A timestamp is the time of signing in whole seconds. The delay of a message on the network makes the
//! sender's clock look slower than it is, never faster, so the largest difference within a window is the best
//! estimate.

/// Length of a window in seconds. An adjustment of a sender's clock shows within two windows.
const WINDOW: i64 = 60;

/// The estimated offset of one sender's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockSkew {
    /// The current window: its number, and its largest difference in seconds.
    current: Option<(i64, i64)>,
    /// The window before the current one.
    previous: Option<(i64, i64)>,
}

impl ClockSkew {
    /// Records the timestamp of a message whose signature is valid. Both times are in seconds since the Unix
    /// epoch.
    pub fn observe(&mut self, now: i64, timestamp: i64) {
        let (window, ahead) = (now.div_euclid(WINDOW), timestamp.saturating_sub(now));
        match &mut self.current {
            Some((number, largest)) if *number == window => *largest = ahead.max(*largest),
            current => {
                self.previous = current.take();
                self.current = Some((window, ahead));
            }
        }
    }

    /// Seconds by which the sender's clock appears to be ahead, negative if it is behind; `None` if no
    /// message was recorded within the last two windows.
    pub fn ahead(&self, now: i64) -> Option<i64> {
        let window = now.div_euclid(WINDOW);
        let recent =
            |w: &Option<(i64, i64)>| w.filter(|(n, _)| (window - 1..=window).contains(n)).map(|w| w.1);
        recent(&self.current).max(recent(&self.previous))
    }

    /// True if the offset exceeds half of the tolerance, so that the sender's clock should be adjusted.
    pub fn is_wide(&self, now: i64, tolerance: u64) -> bool {
        self.ahead(now).is_some_and(|a| a.unsigned_abs().saturating_mul(2) > tolerance)
    }
}

/// The wall clock by which timestamps are checked. If the system clock were used and set back, messages that
/// were too old would become valid again after their ids are forgotten, and could run a second time. This
/// clock therefore never goes back, and never runs slower than seven eighths of the monotonic clock that
/// measures the retention of ids ([`crate::ReplayLimits::retention_for`] depends on it). After the system
/// clock is set back, the difference is reduced at that rate; until it is gone, messages from correct clocks
/// may look too old, which is harmless.
#[derive(Debug, Default)]
pub struct WallClock {
    /// A reading of the monotonic clock, and the offset of this clock from it at that time, in microseconds.
    reference: Option<(u64, i64)>,
}

/// The offset shrinks by at most the elapsed time divided by this.
pub(crate) const SLEW_DIVISOR: u64 = 8;
/// Shortest elapsed time for which the offset is reduced, in microseconds; it keeps rounding errors
/// negligible.
const MIN_SLEW_INTERVAL: u64 = 10_000;

impl WallClock {
    /// The current time in seconds since the Unix epoch; `now` is the monotonic clock in microseconds,
    /// `reading` the system's wall clock in microseconds since the epoch.
    pub fn at(&mut self, now: u64, reading: i64) -> i64 {
        let system_offset = reading.saturating_sub_unsigned(now);
        let offset = match self.reference {
            Some((at, offset)) if system_offset < offset => {
                let elapsed = now.saturating_sub(at);
                if elapsed >= MIN_SLEW_INTERVAL {
                    let reduced = offset.saturating_sub_unsigned(elapsed / SLEW_DIVISOR).max(system_offset);
                    self.reference = Some((now, reduced));
                    reduced
                } else {
                    offset
                }
            }
            _ => {
                self.reference = Some((now, system_offset));
                system_offset
            }
        };
        offset.saturating_add_unsigned(now).div_euclid(1_000_000)
    }

    /// Seconds by which a reading of the system's wall clock is behind this clock.
    pub fn behind(&self, now: u64, reading: i64) -> i64 {
        let (_, offset) = self.reference.unwrap_or((0, i64::MIN));
        offset.saturating_sub(reading.saturating_sub_unsigned(now)).max(0) / 1_000_000
    }
}
