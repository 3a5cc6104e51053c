//! The state of one connection to an executor: which tasks are queued, partly written or completely written.
//! From this follows how an attempt ended if the connection breaks: if its last byte was never written to the
//! socket, it has never run; otherwise it may have. No I/O and no clock.

use crate::line::{self, Answer, AnswerKind};
use crate::memory::reserve_within;
use crate::output::{LineContent, Output, OutputLine, Withdrawal};
use badgerwind::interface::{CopyMark, Outcome, RequestId, Time};
use badgerwind_driver::{AttemptEnd, CancelReason, OrderId};
use badgerwind_freshness::Evidence;
use std::collections::VecDeque;

/// Maximum number of cancelled attempts whose answers may still arrive. With more of them the connection is
/// retired.
const MAX_ABANDONED: usize = 32;
/// Maximum number of failed attempts that are remembered. Their calls are not sent over this connection
/// again, because a late duplicate of the first answer would be taken for the answer to the second attempt
/// while that is still running.
const MAX_FAILED: usize = 64;
/// While this many bytes of lines are not written, no further task is started.
const MAX_STARTED_BYTES: usize = 64 * 1024;
/// Capacity that the buffer of an incomplete line keeps when it is empty, in bytes.
const KEPT_CAPACITY: usize = 1024;

/// Something to send. `C` is the content of a call.
#[derive(Clone, Debug)]
pub enum Task<C> {
    /// An attempt.
    Attempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// What to send.
        content: C,
        /// When the attempt times out.
        deadline: Time,
    },
    /// An order to load copies.
    Order {
        /// Its id.
        order: OrderId,
        /// The function.
        key: String,
        /// Number of copies wanted.
        copies: u32,
    },
    /// A probe and its number.
    Probe(u64),
    /// A probe that asks whether the executor accepts work.
    ProbeQuestion {
        /// Its number.
        number: u64,
    },
    /// An order for zero copies, which asks whether the executor accepts work.
    OrderQuestion {
        /// Its number.
        number: u64,
        /// A function that clients have called.
        key: String,
    },
    /// An order to unload a function, which is not answered.
    Unload(String),
}

impl<C> Task<C> {
    /// The function, if the task is new work, which must not be sent to a draining executor.
    pub fn new_work(&self, key: impl Fn(&C) -> &str) -> Option<&str> {
        match self {
            Task::Attempt { content, .. } => Some(key(content)),
            Task::Order { key, copies, .. } if *copies > 0 => Some(key),
            _ => None,
        }
    }

    pub(crate) fn is_attempt(&self, id: &RequestId, attempt: u32) -> bool {
        matches!(self, Task::Attempt { id: i, attempt: a, .. } if i == id && *a == attempt)
    }
}

/// What an answer is awaited for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// An attempt.
    Attempt(RequestId, u32),
    /// An order to load copies.
    Order(OrderId),
    /// A probe.
    Probe,
    /// A probe that asks whether the executor accepts work.
    ProbeQuestion,
    /// An order for zero copies that asks the same.
    OrderQuestion,
}

/// What happens to a queued task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Its line was appended to the output.
    Started,
    /// It stays in the queue.
    Deferred,
    /// It must not be sent any more.
    Dropped,
}

/// How a task ended.
#[derive(Debug)]
pub enum End<C> {
    /// An attempt, by an answer, a cancellation or a broken connection after its last byte was written.
    Attempt(RequestId, u32, AttemptEnd<Vec<u8>>),
    /// An order, with its outcome and the number of copies loaded.
    Order(OrderId, Outcome, u32),
    /// A probe.
    Probe(Outcome),
    /// A question. [`Link::take_evidence`] returns what its answer proves.
    Question(Outcome),
    /// The task was never completely written, so that it never ran and may be sent elsewhere.
    Unsent(Task<C>),
    /// The same of a task that nobody waits for any more: it must not be sent again.
    Withheld(Task<C>),
}

/// Why a connection cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// A line that is not an answer.
    #[error("an answer that cannot be parsed")]
    BadLine,
    /// A line that exceeds the maximum length.
    #[error("a line of more than {} bytes", line::MAX_LINE_BYTES)]
    LineTooLong,
}

/// The result of [`Link::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// The attempt is not on this connection.
    Unknown,
    /// The attempt was not started, or a cancellation line for it was appended: its end is reported.
    Cancelled,
    /// Its line is partly written, so that only closing the connection prevents it from running. Its end is
    /// reported then, see [`Link::close`].
    PartlySent,
}

#[derive(Debug)]
struct AwaitedAnswer {
    /// The id or tag in the answer.
    tag: RequestId,
    awaited: Awaited,
    /// The earliest time at which its first byte may have been written.
    started_at: Time,
}

/// The state of a connection to an executor.
#[derive(Debug)]
pub struct Link<C> {
    /// Tasks whose lines are not yet in `output`.
    queue: VecDeque<Task<C>>,
    output: Output<C>,
    /// Tasks that are completely written and not answered.
    awaiting: Vec<AwaitedAnswer>,
    /// Cancelled attempts whose answers may still arrive.
    abandoned: VecDeque<RequestId>,
    /// Calls whose attempts were answered here, but not successfully.
    failed: VecDeque<RequestId>,
    /// What the answers since the last call of [`Link::take_evidence`] prove.
    evidence: Vec<Evidence>,
    /// The beginning of an incomplete line.
    buffer: Vec<u8>,
    /// Since when the incomplete line has been arriving, if there is one.
    line_since: Time,
    /// The connection accepts no new tasks, and is to be closed once it has none left.
    retired: bool,
    /// When something was last received.
    pub last_received: Time,
    /// When the connection last became idle or got a task.
    pub last_used: Time,
}

impl<C> Link<C> {
    /// Creates the state of a connection that is established, or being established.
    pub fn new(now: Time) -> Self {
        Link {
            queue: VecDeque::new(),
            output: Output::new(),
            awaiting: Vec::new(),
            abandoned: VecDeque::new(),
            failed: VecDeque::new(),
            evidence: Vec::new(),
            buffer: Vec::new(),
            line_since: now,
            retired: false,
            last_received: now,
            last_used: now,
        }
    }

    /// Number of tasks on the connection: queued, being written, or awaiting an answer.
    pub fn task_count(&self) -> usize {
        self.queue.len() + self.output.line_count() + self.awaiting.len()
    }

    /// Number of tasks that are completely written and not answered.
    pub fn awaiting_count(&self) -> usize {
        self.awaiting.len()
    }

    /// Whether the connection accepts a new task for this id. It does not if an answer to an earlier attempt
    /// with the same id may still arrive.
    pub fn accepts(&self, id: &str) -> bool {
        let same = |awaiting: &AwaitedAnswer| &*awaiting.tag == id;
        let earlier = self.abandoned.iter().chain(&self.failed).any(|earlier| &**earlier == id);
        !self.retired && !earlier && !self.awaiting.iter().any(same)
    }

    /// Accepts no new tasks from now on.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Whether the connection accepts no new tasks, and is to be closed once it has none left.
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// Adds a task to the queue.
    pub fn push(&mut self, now: Time, task: Task<C>) {
        self.last_used = now;
        self.queue.push_back(task);
    }

    /// The queued tasks.
    pub fn queued(&self) -> impl Iterator<Item = &Task<C>> {
        self.queue.iter()
    }

    /// Removes the queued tasks that match.
    pub fn remove_queued(&mut self, matches: impl Fn(&Task<C>) -> bool, ends: &mut Vec<End<C>>) {
        for task in std::mem::take(&mut self.queue) {
            match matches(&task) {
                true => ends.push(End::Unsent(task)),
                false => self.queue.push_back(task),
            }
        }
    }

    /// Starts queued tasks. `write` decides on each of them, and appends its line if it returns
    /// [`Start::Started`]. Returns whether some tasks stay queued because enough lines are to be written first.
    pub fn start_queued(
        &mut self,
        now: Time,
        mut write: impl FnMut(&Task<C>, &mut Vec<u8>) -> Start,
        ends: &mut Vec<End<C>>,
    ) -> bool {
        let mut more = false;
        for task in std::mem::take(&mut self.queue) {
            if self.output.unwritten().len() >= MAX_STARTED_BYTES {
                more = true;
                self.queue.push_back(task);
                continue;
            }
            self.output.append(now, |buffer| match write(&task, buffer) {
                Start::Started => Some(LineContent::Task(task)),
                Start::Deferred => {
                    self.queue.push_back(task);
                    None
                }
                Start::Dropped => {
                    ends.push(End::Unsent(task));
                    None
                }
            });
        }
        more
    }

    /// Returns new work of which the socket has not accepted a byte to the queue, so that the decision
    /// whether to send it is made again when its first byte can be written.
    pub fn requeue_unwritten(&mut self, is_new_work: impl Fn(&Task<C>) -> bool) {
        while let Some(task) = self.output.remove_last_unwritten(&is_new_work) {
            self.queue.push_front(task);
        }
        self.output.release_capacity();
    }

    /// The bytes to write.
    pub fn output(&self) -> &[u8] {
        self.output.unwritten()
    }

    /// Records that the socket has accepted this many bytes of the output.
    pub fn on_written(&mut self, bytes: usize, ends: &mut Vec<End<C>>) {
        for line in self.output.on_written(bytes) {
            let task = match line.content {
                LineContent::Task(task) => task,
                LineContent::Cancellation(id, attempt, reason) => {
                    ends.push(cancelled(id, attempt, reason));
                    continue;
                }
            };
            let started_at = line.started_at;
            let (tag, awaited): (RequestId, Awaited) = match task {
                Task::Attempt { id, attempt, .. } => (id.clone(), Awaited::Attempt(id, attempt)),
                Task::Order { order, .. } => (order_tag(order).into(), Awaited::Order(order)),
                Task::Probe(number) => (probe_tag(number).into(), Awaited::Probe),
                Task::ProbeQuestion { number } => (question_tag(number).into(), Awaited::ProbeQuestion),
                Task::OrderQuestion { number, .. } => (question_tag(number).into(), Awaited::OrderQuestion),
                Task::Unload(_) => continue,
            };
            self.awaiting.push(AwaitedAnswer { tag, awaited, started_at });
        }
    }

    /// Removes an attempt of which no byte was written; false if it is not on this connection, or was partly
    /// written. If the connection ends before the rest is written, it is not to be sent again.
    pub fn withhold(&mut self, id: &RequestId, attempt: u32, ends: &mut Vec<End<C>>) -> bool {
        let same = |task: &Task<C>| task.is_attempt(id, attempt);
        if let Some(task) = self.queue.iter().position(same).and_then(|n| self.queue.remove(n)) {
            ends.push(End::Unsent(task));
            return true;
        }
        // Its line may be in the output, behind others that the socket has not accepted yet.
        let unwritten = self.output.remove_last_unwritten(same);
        let withheld = unwritten.is_some();
        ends.extend(unwritten.map(End::Unsent));
        if !withheld {
            self.output.withdraw(id, attempt, Withdrawal::Withheld);
        }
        withheld
    }

    /// Cancels an attempt.
    pub fn cancel(
        &mut self,
        id: &RequestId,
        attempt: u32,
        reason: CancelReason,
        ends: &mut Vec<End<C>>,
    ) -> CancelResult {
        if self.withhold(id, attempt, ends) {
            return CancelResult::Cancelled;
        }
        let awaited = Awaited::Attempt(id.clone(), attempt);
        if let Some(index) = self.awaiting.iter().position(|awaiting| awaiting.awaited == awaited) {
            self.awaiting.swap_remove(index);
            self.output.append(self.last_used, |buffer| {
                line::write_cancellation(buffer, id);
                Some(LineContent::Cancellation(id.clone(), attempt, reason))
            });
            self.abandoned.push_back(id.clone());
            self.retired |= self.abandoned.len() > MAX_ABANDONED;
            return CancelResult::Cancelled;
        }
        match self.output.withdraw(id, attempt, Withdrawal::Cancelled(reason)) {
            true => CancelResult::PartlySent,
            false => CancelResult::Unknown,
        }
    }

    /// Parses received bytes. After an error the connection must be closed, see [`Link::close`].
    pub fn on_bytes(&mut self, now: Time, mut bytes: &[u8], ends: &mut Vec<End<C>>) -> Result<(), LinkError> {
        self.last_received = now;
        while let Some(n) = bytes.iter().position(|b| *b == b'\n') {
            let (line_end, rest) = (&bytes[..n], &bytes[n + 1..]);
            bytes = rest;
            if self.buffer.len() + line_end.len() > line::MAX_LINE_BYTES {
                return Err(LinkError::LineTooLong);
            }
            let answer = if self.buffer.is_empty() {
                line::parse_answer(line_end)
            } else {
                reserve_within(&mut self.buffer, line_end.len(), line::MAX_LINE_BYTES);
                self.buffer.extend_from_slice(line_end);
                let answer = line::parse_answer(&self.buffer);
                self.buffer.clear();
                self.buffer.shrink_to(KEPT_CAPACITY);
                answer
            };
            self.on_answer(now, answer.map_err(|_| LinkError::BadLine)?, ends)?;
        }
        if self.buffer.len() + bytes.len() > line::MAX_LINE_BYTES {
            return Err(LinkError::LineTooLong);
        }
        if self.buffer.is_empty() {
            self.line_since = now;
        }
        reserve_within(&mut self.buffer, bytes.len(), line::MAX_LINE_BYTES);
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    fn on_answer(&mut self, now: Time, answer: Answer, ends: &mut Vec<End<C>>) -> Result<(), LinkError> {
        let Some(index) = self.awaiting.iter().position(|awaiting| *awaiting.tag == *answer.req) else {
            match self.abandoned.iter().position(|id| **id == *answer.req) {
                // The answer to a cancelled attempt has crossed the cancellation.
                Some(index) => {
                    let abandoned = self.abandoned.remove(index);
                    abandoned.into_iter().for_each(|id| self.remember_failed(id));
                }
                // An answer to nothing: answers before it and to tasks on the connection count, but no new
                // tasks are accepted.
                None => self.retired = true,
            }
            return Ok(());
        };
        let end = match &self.awaiting[index].awaited {
            Awaited::Attempt(id, attempt) => {
                let outcome = answer.kind.attempt_outcome().ok_or(LinkError::BadLine)?;
                let crowd = matches!(outcome, Outcome::Ok | Outcome::Full).then_some(answer.crowd);
                let reply = (outcome == Outcome::Ok).then_some(answer.body);
                let end = AttemptEnd { outcome, mark: answer.mark, crowd, report: None, reply };
                End::Attempt(id.clone(), *attempt, end)
            }
            Awaited::Order(order) => {
                let outcome = answer.kind.order_outcome().ok_or(LinkError::BadLine)?;
                End::Order(*order, outcome, answer.copies)
            }
            Awaited::Probe => End::Probe(answer.kind.probe_outcome().ok_or(LinkError::BadLine)?),
            Awaited::ProbeQuestion | Awaited::OrderQuestion => End::Question(question_outcome(answer.kind)),
        };
        let AwaitedAnswer { awaited, started_at, .. } = &self.awaiting[index];
        self.evidence.extend(evidence(awaited, *started_at, answer.kind, answer.copies));
        if let End::Attempt(id, _, end) = &end {
            // A successful attempt ends its call; after any other end the call may be tried again.
            if end.outcome != Outcome::Ok {
                self.remember_failed(id.clone());
            }
        }
        self.awaiting.swap_remove(index);
        self.last_used = now;
        ends.push(end);
        Ok(())
    }

    /// What the answers since the last call prove about the executor.
    pub fn take_evidence(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.evidence)
    }

    fn remember_failed(&mut self, id: RequestId) {
        if self.failed.len() >= MAX_FAILED {
            self.failed.pop_front();
        }
        self.failed.push_back(id);
    }

    /// Ends all tasks, because the connection has ended or is to be closed. Tasks that were completely
    /// written may have run, the others have not; of these, cancelled ones end as cancelled. If the reason is
    /// a bad answer, and only one attempt can have been meant by it, that attempt ends with an error.
    pub fn close(&mut self, bad_answer: bool, ends: &mut Vec<End<C>>) {
        let is_attempt = |awaiting: &&AwaitedAnswer| matches!(awaiting.awaited, Awaited::Attempt(..));
        let attempts = self.awaiting.iter().filter(is_attempt).count();
        let outcome = if bad_answer && attempts == 1 { Outcome::Error } else { Outcome::Reset };
        for awaiting in self.awaiting.drain(..) {
            ends.push(match awaiting.awaited {
                Awaited::Attempt(id, attempt) => End::Attempt(id, attempt, AttemptEnd::from_outcome(outcome)),
                Awaited::Order(order) => End::Order(order, Outcome::Reset, 0),
                Awaited::Probe => End::Probe(Outcome::Reset),
                Awaited::ProbeQuestion | Awaited::OrderQuestion => End::Question(Outcome::Reset),
            });
        }
        ends.extend(self.output.close().into_iter().map(unwritten_end));
        ends.extend(self.queue.drain(..).map(End::Unsent));
        self.retired = true;
        self.buffer = Vec::new();
    }

    /// Whether the line of a cancellation is not completely written.
    pub fn has_unsent_cancellation(&self) -> bool {
        self.output.has_cancellation()
    }

    /// Drops an incomplete line, since the connection is to be closed.
    pub fn discard_line(&mut self) {
        self.buffer = Vec::new();
    }

    /// Bytes held for an incomplete line.
    pub fn line_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Since when it has been arriving.
    pub fn line_since(&self) -> Time {
        self.line_since
    }
}

/// The outcome of a question with this answer.
fn question_outcome(kind: AnswerKind) -> Outcome {
    match kind {
        AnswerKind::Hit | AnswerKind::Pong => Outcome::Ok,
        AnswerKind::Shed => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// What an answer proves about the executor. `started_at` is the earliest time at which the first byte of the
/// answered task may have been written. The answer to a load order proves nothing, because a draining
/// executor may accept it.
fn evidence(awaited: &Awaited, started_at: Time, kind: AnswerKind, copies: u32) -> Option<Evidence> {
    match (awaited, kind) {
        (Awaited::Attempt(..), AnswerKind::Hit) => Some(Evidence::Served),
        (Awaited::Attempt(..), AnswerKind::Shed) => Some(Evidence::WorkRejected),
        (Awaited::ProbeQuestion, AnswerKind::Pong) => {
            Some(Evidence::Confirmed { since: started_at, copies: None })
        }
        (Awaited::ProbeQuestion, AnswerKind::Sick) => Some(Evidence::Denied),
        (Awaited::OrderQuestion, AnswerKind::Hit) => {
            Some(Evidence::Confirmed { since: started_at, copies: Some(copies) })
        }
        (Awaited::ProbeQuestion | Awaited::OrderQuestion, AnswerKind::Shed) => {
            Some(Evidence::QuestionRejected)
        }
        (Awaited::ProbeQuestion | Awaited::OrderQuestion, _) => Some(Evidence::Inconclusive),
        _ => None,
    }
}

/// The end of what a line contains, if the connection ends before it is completely written.
fn unwritten_end<C>(line: OutputLine<C>) -> End<C> {
    match (line.content, line.withdrawal) {
        // The end of the connection cancels the attempt as well.
        (LineContent::Cancellation(id, attempt, reason), _) => cancelled(id, attempt, reason),
        (LineContent::Task(Task::Attempt { id, attempt, .. }), Some(Withdrawal::Cancelled(reason))) => {
            cancelled(id, attempt, reason)
        }
        (LineContent::Task(task), Some(_)) => End::Withheld(task),
        (LineContent::Task(task), None) => End::Unsent(task),
    }
}

/// The end of a cancelled attempt.
fn cancelled<C>(id: RequestId, attempt: u32, reason: CancelReason) -> End<C> {
    let outcome = match reason {
        CancelReason::Cancelled => Outcome::Cancelled,
        CancelReason::TimedOut => Outcome::Timeout,
    };
    End::Attempt(id, attempt, AttemptEnd { mark: CopyMark::Untold, ..AttemptEnd::from_outcome(outcome) })
}

/// The tag of a load order. Tags never equal request ids, which consist of hexadecimal digits.
pub fn order_tag(order: OrderId) -> String {
    format!("load-{}", order.0)
}

/// The tag of a probe.
pub fn probe_tag(number: u64) -> String {
    format!("probe-{number}")
}

/// The tag of a question.
pub fn question_tag(number: u64) -> String {
    format!("ask-{number}")
}
