//! Times of the detection, all from one.

use crate::Span;

/// Terms of detection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// One other member is asked in each period, in microseconds.
    pub period: Span,
    /// An answer is missed after this, in microseconds; then others are asked to ask.
    pub answer: Span,
    /// Members that are asked to ask.
    pub helpers: usize,
    /// Periods that a suspect has to speak, at the least: where that many others suspect it as well.
    pub least: u64,
    /// At the most: where nobody else does.
    pub most: u64,
    /// Others whose suspicion shortens it to the least.
    pub confirm: u32,
    /// How unsure of itself a member may become: its times are longer by that many.
    pub unsure: u32,
}

impl Terms {
    /// All from how often a member speaks anyway. Lifeguard's figures, and a suspect's time by the fleet's size apart.
    pub fn paced(period: Span) -> Terms {
        Terms {
            period: period.max(4),
            answer: period.max(4) / 4,
            helpers: 3,
            least: 3,
            most: 6,
            confirm: 3,
            unsure: 8,
        }
    }
}
