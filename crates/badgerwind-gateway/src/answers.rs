//! What a final answer means for the memory of ids. No I/O.

use badgerwind::interface::{Effect, Group};
use badgerwind_driver::FinalAnswer;

/// Whether the same message gets the same answer from now on, or may be tried anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// The same answer.
    Remember,
    /// Anew.
    Forget,
}

/// Judges a final answer. What was served is not run again for the same message. What was refused never ran, or
/// may run again: it is tried anew. What failed may have run: a repeat is tried anew only where running again does
/// no harm, or where every runner drops repeats; a call of which no attempt went out never ran.
pub fn remembers<R>(effect: Effect, group: Group, answer: &FinalAnswer<R>, attempts: u32) -> Kept {
    match answer {
        FinalAnswer::Served(_) => Kept::Remember,
        FinalAnswer::Refused { .. } => Kept::Forget,
        FinalAnswer::Failed(_) => match effect {
            _ if attempts == 0 => Kept::Forget,
            Effect::Repeatable => Kept::Forget,
            Effect::ByKey if group == Group::All => Kept::Forget,
            Effect::ByKey | Effect::Once => Kept::Remember,
        },
    }
}

#[cfg(test)]
#[path = "../tests/unit/answers.rs"]
mod tests;
