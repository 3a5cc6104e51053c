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
