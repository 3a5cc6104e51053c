//! Figures of detection and of moves. Each has a reason; none depends on a fleet's size.

use crate::{Member, Span};

/// Terms of leaving and returning.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Members that receive reports of evidence.
    pub voters: Vec<Member>,
    /// How often a member reports, in microseconds.
    pub beat: Span,
    /// Evidence and reports older than this count no more, in microseconds.
    pub span: Span,
    /// Chance of taking a good zone for lost that is borne at each decision (Wald's alpha).
    pub false_alarm: f64,
    /// Of leaving what still answers: the rest must be at least this part of all, by size.
    pub least_left: f64,
    /// Of leaving what no longer answers: the same. Below it nothing is left at all.
    pub least_left_lost: f64,
    /// A zone that was left is not tried again before this, in microseconds; doubled each time that it fails.
    pub quiet: Span,
    /// The longest of these.
    pub most_quiet: Span,
    /// One step of return, in microseconds: as long as a cold executor takes to show how it bears what it gets.
    pub step: Span,
    /// Members of the whole fleet that probe a zone that was left.
    pub probers: usize,
    /// Executors that each of them probes in a beat.
    pub probes: usize,
}

impl Terms {
    /// What follows from how often members speak, and from how long a cold executor takes to be warm.
    pub fn paced(voters: Vec<Member>, beat: Span, warm: Span) -> Terms {
        Terms {
            voters,
            beat,
            span: 20 * beat,
            false_alarm: 1e-3,
            least_left: 0.5,
            least_left_lost: 0.3,
            quiet: 20 * beat,
            most_quiet: 1_280 * beat,
            step: (warm / 4).max(5 * beat),
            probers: 3,
            probes: 2,
        }
    }
}
