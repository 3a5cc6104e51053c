//! Answers go out before new messages are looked at, so that a front end that runs late finishes first what it has taken.

use futures_lite::future::yield_now;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Turns that a new message waits at the most: a steady flow of answers must not hold it up for ever.
const MOST_TURNS: usize = 8;

/// Counts the answers that wait for their connections' tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswersDue(Arc<AtomicUsize>);

/// An answer that waits to go out; it counts until this is dropped.
#[derive(Debug)]
pub(crate) struct AnswerDue(Arc<AtomicUsize>);

impl AnswersDue {
    /// One more waits.
    pub(crate) fn begin(&self) -> AnswerDue {
        // Only a hint for the order of tasks: nothing else is read by it.
        self.0.fetch_add(1, Ordering::Relaxed);
        AnswerDue(self.0.clone())
    }

    /// Lets the tasks go ahead that have answers to write: each turn puts the caller behind all that can run.
    pub(crate) async fn let_out(&self) {
        for _ in 0..MOST_TURNS {
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
