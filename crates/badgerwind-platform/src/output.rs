//! The lines of a connection to an executor that the socket has not accepted completely. No I/O.

use crate::link::Task;
use badgerwind::interface::{RequestId, Time};
use badgerwind_driver::CancelReason;
use std::collections::VecDeque;

/// Capacity that a buffer keeps beyond what it holds, in bytes.
const KEPT_CAPACITY: usize = 4096;

/// What a line contains.
#[derive(Debug)]
pub(crate) enum LineContent<C> {
    Task(Task<C>),
    Cancellation(RequestId, u32, CancelReason),
}

/// Why a partly written attempt must not be sent again if it cannot be written completely.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Withdrawal {
    /// It was cancelled.
    Cancelled(CancelReason),
    /// Nobody waits for its call any more.
    Withheld,
}

/// A line: the range `from..to` of the buffer.
#[derive(Debug)]
pub(crate) struct OutputLine<C> {
    from: usize,
    to: usize,
    /// The earliest time at which its first byte may have been written.
    pub started_at: Time,
    pub content: LineContent<C>,
    pub withdrawal: Option<Withdrawal>,
}

impl<C> OutputLine<C> {
    fn is_attempt(&self, id: &RequestId, attempt: u32) -> bool {
        matches!(&self.content, LineContent::Task(task) if task.is_attempt(id, attempt))
    }
}

/// The buffered lines, in the order in which they are written.
#[derive(Debug)]
pub(crate) struct Output<C> {
    buffer: Vec<u8>,
    /// Number of bytes of `buffer` that the socket has accepted.
    written: usize,
    lines: VecDeque<OutputLine<C>>,
}

impl<C> Output<C> {
    pub(crate) fn new() -> Self {
        Output { buffer: Vec::new(), written: 0, lines: VecDeque::new() }
    }

    /// Number of lines that are not completely written.
    pub(crate) fn line_count(&self) -> usize {
        self.lines.len()
    }

    /// The bytes to write.
    pub(crate) fn unwritten(&self) -> &[u8] {
        &self.buffer[self.written..]
    }

    /// Lets `write` append a line, which is kept if it returns content.
    pub(crate) fn append(
        &mut self,
        started_at: Time,
        write: impl FnOnce(&mut Vec<u8>) -> Option<LineContent<C>>,
    ) {
        let from = self.buffer.len();
        match write(&mut self.buffer) {
            Some(content) => {
                let to = self.buffer.len();
                self.lines.push_back(OutputLine { from, to, started_at, content, withdrawal: None });
            }
            None => self.buffer.truncate(from),
        }
    }

    /// Records that the socket has accepted this many bytes, and returns the lines that this completes.
    pub(crate) fn on_written(&mut self, bytes: usize) -> Vec<OutputLine<C>> {
        self.written += bytes;
        let complete = self.lines.iter().take_while(|line| line.to <= self.written).count();
        let lines = self.lines.drain(..complete).collect();
        self.drop_complete_lines();
        lines
    }

    /// Removes the lines that are completely written from the buffer, if they are most of it. What the socket
    /// has accepted of the next line stays, so that its beginning is known.
    fn drop_complete_lines(&mut self) {
        let complete_bytes = self.lines.front().map_or(self.buffer.len(), |line| line.from);
        if complete_bytes < self.buffer.len() - complete_bytes {
            return;
        }
        self.buffer.drain(..complete_bytes);
        self.written -= complete_bytes;
        for line in &mut self.lines {
            (line.from, line.to) = (line.from - complete_bytes, line.to - complete_bytes);
        }
        self.release_capacity();
    }

    /// Returns memory that the buffer does not need.
    pub(crate) fn release_capacity(&mut self) {
        self.buffer.shrink_to(KEPT_CAPACITY);
    }

    /// Removes the last task of which no byte is written and that matches.
    pub(crate) fn remove_last_unwritten(&mut self, matches: impl Fn(&Task<C>) -> bool) -> Option<Task<C>> {
        let found = |line: &OutputLine<C>| {
            line.from >= self.written && matches!(&line.content, LineContent::Task(task) if matches(task))
        };
        let index = self.lines.iter().rposition(found)?;
        let line = self.lines.remove(index)?;
        let length = line.to - line.from;
        for following in self.lines.iter_mut().skip(index) {
            (following.from, following.to) = (following.from - length, following.to - length);
        }
        self.buffer.drain(line.from..line.to);
        match line.content {
            LineContent::Task(task) => Some(task),
            LineContent::Cancellation(..) => None,
        }
    }

    /// Notes why an attempt in a line that is partly written is not to be sent again; false if there is no such
    /// line.
    pub(crate) fn withdraw(&mut self, id: &RequestId, attempt: u32, withdrawal: Withdrawal) -> bool {
        let Some(line) = self.lines.iter_mut().find(|line| line.is_attempt(id, attempt)) else {
            return false;
        };
        line.withdrawal = Some(withdrawal);
        true
    }

    /// Whether the line of a cancellation is not completely written.
    pub(crate) fn has_cancellation(&self) -> bool {
        self.lines.iter().any(|line| matches!(line.content, LineContent::Cancellation(..)))
    }

    /// Empties the buffer, and returns the lines that were not completely written.
    pub(crate) fn close(&mut self) -> VecDeque<OutputLine<C>> {
        std::mem::replace(self, Output::new()).lines
    }
}
