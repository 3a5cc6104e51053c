//! Decides whether a final answer is kept in the replay cache. No I/O.

use badgerwind::interface::{Effect, Group};
use badgerwind_driver::FinalAnswer;

/// What a repeat of an answered message gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// The same answer again.
    Remember,
    /// A new call.
    Forget,
}

/// Decides what a repeat of the message gets. A served call is not run again. A refused call never ran, or
/// may run again, so a repeat starts a new call. A failed call may have run: a repeat starts a new call only
/// if running twice is harmless, if every runner drops repeats, or if no attempt was sent and so nothing ran.
pub fn retention<R>(effect: Effect, group: Group, answer: &FinalAnswer<R>, attempts: u32) -> Retention {
    match answer {
        FinalAnswer::Served(_) => Retention::Remember,
        FinalAnswer::Refused { .. } => Retention::Forget,
        FinalAnswer::Failed(_) => match effect {
            _ if attempts == 0 => Retention::Forget,
            Effect::Repeatable => Retention::Forget,
            Effect::ByKey if group == Group::All => Retention::Forget,
            Effect::ByKey | Effect::Once => Retention::Remember,
        },
    }
}

#[cfg(test)]
#[path = "../tests/unit/answers.rs"]
mod tests;
