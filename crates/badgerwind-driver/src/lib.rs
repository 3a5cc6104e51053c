//! Sans-I/O driver of a decision module. The runtime passes what arrives on its sockets as [`Input`]s, and
//! carries out the [`Output`]s. The driver takes no decisions, reads no clock and does no I/O, so that the
//! same code runs in the gateway, under a simulated clock and under a model checker.
//!
//! It does the bookkeeping that each runtime would otherwise need: attempt numbers, timeouts, alarms, and
//! which calls are unanswered. It guarantees three properties, which its property tests check:
//!
//! - Each accepted [`Call`] gets exactly one [`Output::Answer`] or [`Output::Stream`], unless its caller
//!   disconnects: the origin is a value that is moved out with the answer, so that a second answer is
//!   impossible.
//! - Each attempt that was sent ends exactly once for the module, no matter whether the runtime reports its
//!   end once, twice or never.
//! - The module receives no events for a call that is completed and has no open attempt.
//!
//! Times are microseconds of one monotonic clock, see [`badgerwind::interface::Time`].

mod driver;
mod lag;
mod ledger;

pub use driver::Driver;
pub use lag::Lag;

use badgerwind::interface::*;

/// A decision module: handles events and requests actions. Production uses [`badgerwind::Router`]; tests
/// provide others.
pub trait Decider {
    /// Handles an event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);

    /// Sizes of the module's state, for monitoring.
    fn stats(&self) -> RouterStats {
        RouterStats::default()
    }
}

impl Decider for badgerwind::Router {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        badgerwind::Router::handle(self, now, event, out);
    }

    fn stats(&self) -> RouterStats {
        badgerwind::Router::stats(self)
    }
}

impl<D: Decider + ?Sized> Decider for Box<D> {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        (**self).handle(now, event, out);
    }

    fn stats(&self) -> RouterStats {
        (**self).stats()
    }
}

/// Identifies a load order on the wire and in logs. A driver never uses an id twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// Limits of the driver itself, taken from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of unanswered calls. Further ones are refused without involving the module.
    pub max_calls: usize,
    /// Maximum number of attempts for one call; a further one ends as [`Outcome::Moot`].
    pub max_attempts: u32,
    /// Time after which an unanswered load order ends as [`Outcome::Timeout`].
    pub order_timeout: Micros,
    /// Time after which an unanswered probe ends as [`Outcome::Timeout`].
    pub probe_timeout: Micros,
    /// How long the confirmation of a cancelled attempt may take before the attempt counts as ended without
    /// it.
    pub cancel_timeout: Micros,
    /// Time after a call's due time in which the module may still answer it; after that the driver fails the
    /// call.
    pub answer_slack: Micros,
}

/// A call as the runtime passes it in. `O` is where its answer goes; `C` is what a runner needs and is cheap
/// to clone.
#[derive(Debug)]
pub struct Call<O, C> {
    /// The request as the module sees it. Its id must be new.
    pub request: Request,
    /// Where the answer goes.
    pub origin: O,
    /// What is sent with each attempt.
    pub content: C,
}

/// How an attempt ended, as seen on its connection.
#[derive(Debug)]
pub struct AttemptEnd<R> {
    /// The outcome.
    pub outcome: Outcome,
    /// What the runner reported about the copy.
    pub mark: CopyMark,
    /// Number of calls for the function that the runner had when this one arrived, if reported.
    pub crowd: Option<u32>,
    /// The runner's load report.
    pub report: Option<Vec<f64>>,
    /// The answer for the caller; used only with [`Outcome::Ok`].
    pub reply: Option<R>,
}

impl<R> AttemptEnd<R> {
    /// An end of which nothing but the outcome is known.
    pub fn from_outcome(outcome: Outcome) -> Self {
        AttemptEnd { outcome, mark: CopyMark::Untold, crowd: None, report: None, reply: None }
    }
}

/// What the runtime reports to the driver.
#[derive(Debug)]
pub enum Input<O, C, R> {
    /// A list of workers, or changes of it.
    List {
        /// Whether it is a whole list or changes.
        kind: ListKind,
        /// Its entries.
        entries: Vec<WorkerEntry>,
    },
    /// A call has arrived.
    Call(Call<O, C>),
    /// A caller has disconnected; no further attempt is started for its call.
    CallerDisconnected {
        /// The call.
        id: RequestId,
        /// If an attempt was started, the call still gets its final answer, since that answer is remembered.
        finish_started: bool,
    },
    /// A runner has started to stream its answer.
    StreamBegan {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The part of the answer that has arrived.
        reply: R,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd<R>,
    },
    /// A load order has ended.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// How it ended.
        outcome: Outcome,
        /// Number of copies loaded there.
        copies: u32,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The runner.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The runner's load report.
        report: Option<Vec<f64>>,
    },
    /// A runner's process is presumed to have just restarted, until the list says otherwise.
    PresumedRestart {
        /// The runner.
        worker: WorkerId,
    },
    /// This front end's quotas within the limits of the fleet, from now on.
    LocalQuotas(LocalQuotas),
    /// A message from another front end.
    Message {
        /// The sender's number.
        from: u32,
        /// Its content.
        bytes: Vec<u8>,
    },
}

/// Why a call failed, for the log and the answer's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The module failed it; an attempt may have run.
    GivenUp,
    /// The module did not answer it within its due time and the answer slack.
    Overdue,
    /// The module has panicked.
    ModuleFailed,
    /// Another tracked call has the same id.
    DuplicateId,
    /// The process stopped before the call was answered.
    Stopped,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The module refused it.
    ByModule,
    /// The maximum number of unanswered calls was reached, see [`Limits::max_calls`].
    TooManyCalls,
}

/// The final answer to a call.
#[derive(Debug, PartialEq)]
pub enum FinalAnswer<R> {
    /// Served, with the runner's answer.
    Served(R),
    /// Refused; a retry is harmless.
    Refused {
        /// Why it was refused.
        by: Refusal,
        /// How long the caller should wait before a retry.
        retry_after: Option<Micros>,
    },
    /// Failed; whether it has run is unknown.
    Failed(Failure),
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The module asked for it.
    Cancelled,
    /// Its timeout has expired.
    TimedOut,
}

/// What the runtime is to do.
#[derive(Debug)]
pub enum Output<O, C, R> {
    /// Answer the caller.
    Answer {
        /// The call.
        id: RequestId,
        /// Where the answer goes.
        origin: O,
        /// The answer.
        answer: FinalAnswer<R>,
        /// Number of attempts made.
        attempts: u32,
        /// The runner that served it.
        worker: Option<WorkerId>,
        /// Time since the call arrived.
        lag: Micros,
    },
    /// Pass a streamed answer on to the caller; the call ends with its attempt.
    Stream {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// Where the answer goes.
        origin: O,
        /// The part that has arrived.
        reply: R,
    },
    /// Send an attempt; its end must be reported once.
    Attempt {
        /// The call.
        id: RequestId,
        /// Its number within the call, from 0.
        attempt: u32,
        /// The runner to send it to.
        worker: WorkerId,
        /// What to send.
        content: C,
        /// The driver cancels it at this time.
        deadline: Time,
    },
    /// Cancel an attempt and report its end: `Cancelled` or `Timeout`, unless it ended otherwise before.
    Cancel {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The runner.
        worker: WorkerId,
        /// Why it is cancelled.
        reason: CancelReason,
    },
    /// Nobody waits for the call any more: do not send the attempt if nothing of it was written yet, whether
    /// or not the module may cancel running attempts. An attempt that was partly written goes on. Its end
    /// must be reported once in either case.
    Withhold {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The runner.
        worker: WorkerId,
    },
    /// Order a runner to load copies, or ask how many are loaded (0 copies); its end must be reported once.
    Order {
        /// Its id.
        order: OrderId,
        /// The runner.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Number of copies wanted.
        copies: u32,
        /// It counts as timed out from this time on.
        deadline: Time,
    },
    /// Order a runner to drop a function's idle copies.
    Drop {
        /// The runner.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Probe a runner; its end must be reported once.
    Probe {
        /// The runner.
        worker: WorkerId,
    },
    /// Close idle connections to a runner.
    CloseIdle {
        /// The runner.
        worker: WorkerId,
    },
    /// Send a message to one front end, or to all.
    SendMessage {
        /// The front end's number; `None` means all.
        to: Option<u32>,
        /// The content, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the list of workers, or unsubscribe.
    Subscribe {
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetch the whole list once.
    FetchList,
    /// Write a message of the module to the log.
    Log {
        /// The text.
        text: String,
    },
    /// The module has panicked. Every call has been failed, and the process should end.
    ModuleFailed {
        /// The panic message.
        text: String,
    },
}
