//! One connection to an executor: what waits, what has begun to go out, what is out whole. From this alone follows how
//! an attempt ended: one whose last byte was never handed over has never run, any other may have. No I/O, no clock.

use crate::line::{self, Said, Word};
use badgerwind::interface::{CopyMark, Outcome, RequestId, Time};
use badgerwind_driver::{AttemptEnd, CancelReason, OrderId};
use badgerwind_freshness::Evidence;
use std::collections::VecDeque;

/// Attempts given up whose answers may still come; beyond them a connection is used up.
const GHOSTS: usize = 32;
/// Attempts turned away of which a second answer may still come. None of their calls comes over this connection again while it
/// is remembered: the second answer would be taken for that of the next attempt, while that one runs.
const ANSWERED: usize = 64;

/// Something to be sent. `C` is the content of a call.
#[derive(Clone, Debug)]
pub enum Task<C> {
    /// An attempt.
    Attempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// What goes out.
        content: C,
        /// Its time is up then.
        limit: Time,
    },
    /// An order to load.
    Order {
        /// Its name.
        order: OrderId,
        /// The function.
        key: String,
        /// Copies wanted.
        copies: u32,
    },
    /// A probe and its number.
    Probe(u64),
    /// A probe that asks whether the executor takes work.
    ProbeQuestion {
        /// Its number.
        number: u64,
    },
    /// The same by an order for no copies, which only asks.
    OrderQuestion {
        /// Its number.
        number: u64,
        /// The function, one that clients have called.
        key: String,
    },
    /// An order to unload; nothing answers it.
    Unload(String),
}

impl<C> Task<C> {
    /// The function that it is about, where it is new work, which an executor that drains is not to be sent.
    pub fn new_work(&self, key: impl Fn(&C) -> &str) -> Option<&str> {
        match self {
            Task::Attempt { content, .. } => Some(key(content)),
            Task::Order { key, copies, .. } if *copies > 0 => Some(key),
            _ => None,
        }
    }

    /// Whether it is this attempt.
    fn is(&self, id: &RequestId, attempt: u32) -> bool {
        matches!(self, Task::Attempt { id: i, attempt: a, .. } if i == id && *a == attempt)
    }
}

/// What is owed an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owed {
    /// An attempt.
    Attempt(RequestId, u32),
    /// An order to load.
    Order(OrderId),
    /// A probe.
    Probe,
    /// A probe that asks whether it takes work.
    ProbeQuestion,
    /// An order that asks so.
    OrderQuestion,
}

/// What becomes of a task in line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Its line begins.
    Begun,
    /// It stays in line.
    Held,
    /// It must not go out any more.
    Dropped,
}

/// How something ended.
#[derive(Debug)]
pub enum End<C> {
    /// An attempt, by an answer, a call-off or a break after its last byte.
    Attempt(RequestId, u32, AttemptEnd<Vec<u8>>),
    /// An order, with the copies that stand.
    Order(OrderId, Outcome, u32),
    /// A probe.
    Probe(Outcome),
    /// A question; what an answer to it proves is told by [`Link::evidence`].
    Question(Outcome),
    /// It never went out whole, so it never ran: it may go another way.
    Unsent(Task<C>),
}

/// Why a connection cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    /// A line that is no answer.
    #[error("an answer that cannot be read")]
    Line,
    /// A line without end.
    #[error("a line of more than {} bytes", line::MOST)]
    Endless,
}

/// What became of a call-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Off {
    /// It is not here.
    Unknown,
    /// It had not begun to go out, or is given up by a line that goes out next: its end comes.
    Done,
    /// Part of its line is out: only the end of the connection keeps the rest back.
    Cut,
}

#[derive(Debug)]
struct Open {
    name: RequestId,
    owed: Owed,
    /// Its first byte went out then at the earliest.
    began: Time,
}

/// What a line of what goes out is.
#[derive(Debug)]
enum Begun<C> {
    Task(Task<C>),
    Kill(RequestId, u32, CancelReason),
}

/// A line in `out`, from its first byte to behind its last.
#[derive(Debug)]
struct Line<C> {
    from: usize,
    to: usize,
    began: Time,
    what: Begun<C>,
}

/// A connection.
#[derive(Debug)]
pub struct Link<C> {
    queue: VecDeque<Task<C>>,
    out: Vec<u8>,
    sent: usize,
    /// Lines in `out`, in their order.
    begun: VecDeque<Line<C>>,
    open: Vec<Open>,
    ghosts: VecDeque<RequestId>,
    /// Calls whose attempts ended here by a word other than ok.
    answered: VecDeque<RequestId>,
    /// What the answers since the last look prove of the executor.
    evidence: Vec<Evidence>,
    /// Part of a line.
    come: Vec<u8>,
    /// It takes nothing new, and closes once nothing is on it.
    spent: bool,
    /// Last sign of life.
    pub heard: Time,
    /// When it last became idle or was given something.
    pub used: Time,
}

impl<C> Link<C> {
    /// A connection that is up, or coming up.
    pub fn new(now: Time) -> Self {
        Link {
            queue: VecDeque::new(),
            out: Vec::new(),
            sent: 0,
            begun: VecDeque::new(),
            open: Vec::new(),
            ghosts: VecDeque::new(),
            answered: VecDeque::new(),
            evidence: Vec::new(),
            come: Vec::new(),
            spent: false,
            heard: now,
            used: now,
        }
    }

    /// What is on it.
    pub fn busy(&self) -> usize {
        self.queue.len() + self.begun.len() + self.open.len()
    }

    /// What is out whole and owed an answer.
    pub fn owed(&self) -> usize {
        self.open.len()
    }

    /// Whether it takes something new for this id: not where an answer to an earlier attempt may still come.
    pub fn takes(&self, id: &str) -> bool {
        let same = |o: &Open| &*o.name == id;
        let passed = self.ghosts.iter().chain(&self.answered).any(|g| &**g == id);
        !self.spent && !passed && !self.open.iter().any(same)
    }

    /// Nothing new goes over it from now on: it leads where nothing is to go.
    pub fn retire(&mut self) {
        self.spent = true;
    }

    /// Whether it is of no more use once nothing is on it.
    pub fn spent(&self) -> bool {
        self.spent
    }

    /// Puts something in line.
    pub fn push(&mut self, now: Time, task: Task<C>) {
        self.used = now;
        self.queue.push_back(task);
    }

    /// What is in line and has not begun.
    pub fn waiting(&self) -> impl Iterator<Item = &Task<C>> {
        self.queue.iter()
    }

    /// Begins what is in line. `write` appends its line where it says that it begins.
    pub fn begin(
        &mut self,
        now: Time,
        mut write: impl FnMut(&Task<C>, &mut Vec<u8>) -> Start,
        ends: &mut Vec<End<C>>,
    ) {
        for task in std::mem::take(&mut self.queue) {
            let from = self.out.len();
            let start = write(&task, &mut self.out);
            if start != Start::Begun {
                self.out.truncate(from);
            }
            match start {
                Start::Begun => {
                    let (to, what) = (self.out.len(), Begun::Task(task));
                    self.begun.push_back(Line { from, to, began: now, what });
                }
                Start::Held => self.queue.push_back(task),
                Start::Dropped => ends.push(End::Unsent(task)),
            }
        }
    }

    /// Puts new work of which no byte was taken by the socket back in line, so that it is looked at again when its first
    /// byte can go.
    pub fn put_back(&mut self, is_new_work: impl Fn(&Task<C>) -> bool) {
        let sent = self.sent;
        let waits = |l: &Line<C>| l.from >= sent && matches!(&l.what, Begun::Task(t) if is_new_work(t));
        while let Some(place) = self.begun.iter().rposition(waits) {
            if let Some(Line { what: Begun::Task(task), .. }) = self.cut(place) {
                self.queue.push_front(task);
            }
        }
    }

    /// Cuts a line out of what is to be sent; those after it move up.
    fn cut(&mut self, place: usize) -> Option<Line<C>> {
        let line = self.begun.remove(place)?;
        let length = line.to - line.from;
        self.begun.iter_mut().skip(place).for_each(|l| (l.from, l.to) = (l.from - length, l.to - length));
        self.out.drain(line.from..line.to);
        Some(line)
    }

    /// What is to be sent.
    pub fn out(&self) -> &[u8] {
        &self.out[self.sent..]
    }

    /// So many bytes of it were handed over.
    pub fn sent(&mut self, bytes: usize, ends: &mut Vec<End<C>>) {
        self.sent += bytes;
        while self.begun.front().is_some_and(|line| line.to <= self.sent) {
            let Some(line) = self.begun.pop_front() else { break };
            let task = match line.what {
                Begun::Task(task) => task,
                Begun::Kill(id, attempt, why) => {
                    ends.push(off(id, attempt, why));
                    continue;
                }
            };
            let began = line.began;
            let (name, owed): (RequestId, Owed) = match task {
                Task::Attempt { id, attempt, .. } => (id.clone(), Owed::Attempt(id, attempt)),
                Task::Order { order, .. } => (order_tag(order).into(), Owed::Order(order)),
                Task::Probe(number) => (probe_tag(number).into(), Owed::Probe),
                Task::ProbeQuestion { number } => (question_tag(number).into(), Owed::ProbeQuestion),
                Task::OrderQuestion { number, .. } => (question_tag(number).into(), Owed::OrderQuestion),
                Task::Unload(_) => continue,
            };
            self.open.push(Open { name, owed, began });
        }
        if self.sent >= self.out.len() {
            self.sent = 0;
            self.out.clear();
            self.out.shrink_to(4096);
        }
    }

    /// Takes back an attempt of which no byte is out; false where it is not here, or has begun.
    pub fn withhold(&mut self, id: &RequestId, attempt: u32, ends: &mut Vec<End<C>>) -> bool {
        let is = |t: &Task<C>| t.is(id, attempt);
        if let Some(task) = self.queue.iter().position(is).and_then(|n| self.queue.remove(n)) {
            ends.push(End::Unsent(task));
            return true;
        }
        // Behind lines that the socket has not taken yet.
        let sent = self.sent;
        let waits = |l: &Line<C>| l.from >= sent && matches!(&l.what, Begun::Task(t) if is(t));
        let place = self.begun.iter().position(waits);
        let Some(line) = place.and_then(|place| self.cut(place)) else { return false };
        if let Begun::Task(task) = line.what {
            ends.push(End::Unsent(task));
        }
        true
    }

    /// Calls an attempt off.
    pub fn off(&mut self, id: &RequestId, attempt: u32, why: CancelReason, ends: &mut Vec<End<C>>) -> Off {
        if self.withhold(id, attempt, ends) {
            return Off::Done;
        }
        let owed = Owed::Attempt(id.clone(), attempt);
        if let Some(n) = self.open.iter().position(|o| o.owed == owed) {
            self.open.swap_remove(n);
            let from = self.out.len();
            line::kill(&mut self.out, id);
            let what = Begun::Kill(id.clone(), attempt, why);
            let began = self.used;
            self.begun.push_back(Line { from, to: self.out.len(), began, what });
            self.ghosts.push_back(id.clone());
            self.spent |= self.ghosts.len() > GHOSTS;
            return Off::Done;
        }
        let is = |t: &Task<C>| t.is(id, attempt);
        if self.begun.iter().any(|l| matches!(&l.what, Begun::Task(t) if is(t))) {
            return Off::Cut;
        }
        Off::Unknown
    }

    /// Takes bytes in. An error: the connection is spoilt, and is to be broken off.
    pub fn feed(&mut self, now: Time, mut bytes: &[u8], ends: &mut Vec<End<C>>) -> Result<(), Spoilt> {
        self.heard = now;
        while let Some(n) = bytes.iter().position(|b| *b == b'\n') {
            let (head, rest) = (&bytes[..n], &bytes[n + 1..]);
            bytes = rest;
            if self.come.len() + head.len() > line::MOST {
                return Err(Spoilt::Endless);
            }
            let said = if self.come.is_empty() {
                line::read(head)
            } else {
                self.come.extend_from_slice(head);
                let said = line::read(&self.come);
                self.come.clear();
                self.come.shrink_to(4096);
                said
            };
            self.said(now, said.map_err(|_| Spoilt::Line)?, ends)?;
        }
        if self.come.len() + bytes.len() > line::MOST {
            return Err(Spoilt::Endless);
        }
        self.come.extend_from_slice(bytes);
        Ok(())
    }

    fn said(&mut self, now: Time, said: Said, ends: &mut Vec<End<C>>) -> Result<(), Spoilt> {
        let Some(n) = self.open.iter().position(|o| *o.name == *said.req) else {
            match self.ghosts.iter().position(|g| **g == *said.req) {
                // The answer to an attempt that was given up crossed its call-off.
                Some(n) => {
                    let ghost = self.ghosts.remove(n);
                    ghost.into_iter().for_each(|id| self.remember(id));
                }
                // An answer to nothing: what came before it and what is open still counts, but nothing new.
                None => self.spent = true,
            }
            return Ok(());
        };
        let end = match &self.open[n].owed {
            Owed::Attempt(id, attempt) => {
                let outcome = said.word.attempt().ok_or(Spoilt::Line)?;
                let crowd = matches!(outcome, Outcome::Ok | Outcome::Full).then_some(said.crowd);
                let reply = (outcome == Outcome::Ok).then_some(said.body);
                let end = AttemptEnd { outcome, mark: said.mark, crowd, report: None, reply };
                End::Attempt(id.clone(), *attempt, end)
            }
            Owed::Order(order) => End::Order(*order, said.word.order().ok_or(Spoilt::Line)?, said.copies),
            Owed::Probe => End::Probe(said.word.probe().ok_or(Spoilt::Line)?),
            Owed::ProbeQuestion | Owed::OrderQuestion => End::Question(answered(said.word)),
        };
        let open = &self.open[n];
        self.evidence.extend(proves(&open.owed, open.began, said.word, said.copies));
        if let End::Attempt(id, _, end) = &end {
            // One that ended well is over; any other may be tried again.
            if end.outcome != Outcome::Ok {
                self.remember(id.clone());
            }
        }
        self.open.swap_remove(n);
        self.used = now;
        ends.push(end);
        Ok(())
    }

    /// What the answers since this was last asked prove of the executor.
    pub fn evidence(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.evidence)
    }

    fn remember(&mut self, id: RequestId) {
        if self.answered.len() >= ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back(id);
    }

    /// The connection has ended, or is to be. What was out whole may have run; the rest never did. A spoilt answer
    /// that can only have been the one attempt's is that attempt's error.
    pub fn broken(&mut self, spoilt: bool, ends: &mut Vec<End<C>>) {
        let attempts = self.open.iter().filter(|o| matches!(o.owed, Owed::Attempt(..))).count();
        let outcome = if spoilt && attempts == 1 { Outcome::Error } else { Outcome::Reset };
        for open in self.open.drain(..) {
            ends.push(match open.owed {
                Owed::Attempt(id, attempt) => End::Attempt(id, attempt, AttemptEnd::from_outcome(outcome)),
                Owed::Order(order) => End::Order(order, Outcome::Reset, 0),
                Owed::Probe => End::Probe(Outcome::Reset),
                Owed::ProbeQuestion | Owed::OrderQuestion => End::Question(Outcome::Reset),
            });
        }
        for line in self.begun.drain(..) {
            ends.push(match line.what {
                Begun::Task(task) => End::Unsent(task),
                // The end of the connection gives it up as well.
                Begun::Kill(id, attempt, why) => off(id, attempt, why),
            });
        }
        ends.extend(self.queue.drain(..).map(End::Unsent));
        (self.spent, self.sent) = (true, 0);
        self.out = Vec::new();
        self.come = Vec::new();
    }

    /// Whether an attempt given up still waits for its line to go out.
    pub fn kills(&self) -> bool {
        self.begun.iter().any(|l| matches!(l.what, Begun::Kill(..)))
    }

    /// Bytes of a line that has begun to come.
    pub fn held(&self) -> usize {
        self.come.len()
    }
}

/// How a question ended.
fn answered(word: Word) -> Outcome {
    match word {
        Word::Hit | Word::Pong => Outcome::Ok,
        Word::Shed => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// What an answer proves of the executor; `began`: the first byte of what it answers went out then at the earliest. That of
/// an order to load proves nothing.
fn proves(owed: &Owed, began: Time, word: Word, copies: u32) -> Option<Evidence> {
    match (owed, word) {
        (Owed::Attempt(..), Word::Hit) => Some(Evidence::Served),
        (Owed::Attempt(..), Word::Shed) => Some(Evidence::WorkRejected),
        (Owed::ProbeQuestion, Word::Pong) => Some(Evidence::Confirmed { since: began, copies: None }),
        (Owed::ProbeQuestion, Word::Sick) => Some(Evidence::Denied),
        (Owed::OrderQuestion, Word::Hit) => Some(Evidence::Confirmed { since: began, copies: Some(copies) }),
        (Owed::ProbeQuestion | Owed::OrderQuestion, Word::Shed) => Some(Evidence::QuestionRejected),
        (Owed::ProbeQuestion | Owed::OrderQuestion, _) => Some(Evidence::Inconclusive),
        _ => None,
    }
}

fn off<C>(id: RequestId, attempt: u32, why: CancelReason) -> End<C> {
    let outcome = match why {
        CancelReason::Cancelled => Outcome::Cancelled,
        CancelReason::TimedOut => Outcome::Timeout,
    };
    End::Attempt(id, attempt, AttemptEnd { mark: CopyMark::Untold, ..AttemptEnd::from_outcome(outcome) })
}

/// A tag of an order; no id begins so.
pub fn order_tag(order: OrderId) -> String {
    format!("load-{}", order.0)
}

/// The same of a probe.
pub fn probe_tag(number: u64) -> String {
    format!("probe-{number}")
}

/// The same of a question.
pub fn question_tag(number: u64) -> String {
    format!("ask-{number}")
}
