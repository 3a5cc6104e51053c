//! Gives tasks with answers to write priority over new messages, so that an overloaded front end first
//! finishes the calls it has accepted.

use futures_lite::future::yield_now;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Most executor turns that a new message yields: a steady flow of answers must not delay it for ever.
const MAX_TURNS: usize = 8;

/// Counts the answers that wait to be written by their connections' tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswersDue(Arc<AtomicUsize>);

/// An answer that waits to be written; it is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct AnswerDue(Arc<AtomicUsize>);

impl AnswersDue {
    /// Counts one more waiting answer.
    pub(crate) fn add(&self) -> AnswerDue {
        // Relaxed: the count only influences the order of tasks and guards no other data.
        self.0.fetch_add(1, Ordering::Relaxed);
        AnswerDue(self.0.clone())
    }

    /// Yields while answers wait to be written; each turn queues the caller behind all tasks that are ready
    /// to run.
    pub(crate) async fn yield_to_answers(&self) {
        for _ in 0..MAX_TURNS {
            if self.0.load(Ordering::Relaxed) == 0 {
                return;
            }
            yield_now().await;
        }
    }
}

impl Drop for AnswerDue {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "../tests/unit/answers_due.rs"]
mod tests;
