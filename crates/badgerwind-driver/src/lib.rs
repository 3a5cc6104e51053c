//! The one owner of a decision module: what crosses the sockets comes in as [`Input`]s, what is to be done goes
//! out as [`Output`]s. It decides nothing, reads no clock and does no I/O, so that the same driver runs under
//! the daemon, under a simulated clock and under a model checker.
//!
//! It keeps the books that every shell would otherwise keep by itself: attempt numbers, time-outs, alarms, who is
//! still owed an answer. Three promises follow from how it is built, and its property tests hold it to them:
//!
//! - each [`Call`] taken gets exactly one [`Output::Final`] or [`Output::Stream`], or its caller left: the origin
//!   is a value that moves out with the answer and cannot be answered again;
//! - each attempt that went out ends exactly once for the module, whatever the shell reports, twice or never;
//! - nothing is told to the module of a call that is over and has no attempt out.
//!
//! Times are microseconds of one monotonic clock, see [`badgerwind::interface::Time`].

mod books;
mod driver;
mod lag;

pub use driver::Driver;
pub use lag::Lag;

use badgerwind::interface::*;

/// What takes events and answers with actions. [`badgerwind::Router`] is the one in service; tests bring others.
pub trait Decider {
    /// Takes in an event and adds what is to be done.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);

    /// How much it remembers, for those who watch it.
    fn figures(&self) -> RouterStats {
        RouterStats::default()
    }
}

impl Decider for badgerwind::Router {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        badgerwind::Router::handle(self, now, event, out);
    }

    fn figures(&self) -> RouterStats {
        badgerwind::Router::stats(self)
    }
}

impl<D: Decider + ?Sized> Decider for Box<D> {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        (**self).handle(now, event, out);
    }

    fn figures(&self) -> RouterStats {
        (**self).figures()
    }
}

/// Names a load order on the wire and in logs; never used twice by one driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// Bounds of the driver itself. They come from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Calls that may be owed an answer at once; one more is turned away unseen by the module.
    pub most_held: usize,
    /// Attempts for one call; a further one ends as [`Outcome::Moot`].
    pub max_attempts: u32,
    /// A load order with no answer by then ends as [`Outcome::Timeout`].
    pub order_timeout: Span,
    /// The same for a probe.
    pub probe_timeout: Span,
    /// How long an attempt called off may take to be confirmed before it counts as ended all the same.
    pub call_off_within: Span,
    /// Time past a call's due time in which the module may still answer; then the driver fails the call.
    pub answer_slack: Span,
}

/// A call as a front hands it in. `O` is whom to answer, `C` what a runner needs (cheap to clone).
#[derive(Debug)]
pub struct Call<O, C> {
    /// What the module is told of it. The id must be new.
    pub request: Request,
    /// Whom to answer.
    pub origin: O,
    /// What goes out with each attempt.
    pub content: C,
}

/// How an attempt ended, as seen on its connection.
#[derive(Debug)]
pub struct AttemptEnd<R> {
    /// How it ended.
    pub outcome: Outcome,
    /// What was said of the copy.
    pub mark: CopyMark,
    /// Calls for the function that the runner held when this one came, where told.
    pub crowd: Option<u32>,
    /// The runner's load report.
    pub report: Option<Vec<f64>>,
    /// The answer for the caller; it counts only beside [`Outcome::Ok`].
    pub reply: Option<R>,
}

impl<R> AttemptEnd<R> {
    /// An end that tells nothing but itself.
    pub fn plain(outcome: Outcome) -> Self {
        AttemptEnd { outcome, mark: CopyMark::Untold, crowd: None, report: None, reply: None }
    }
}

/// What has crossed the sockets.
#[derive(Debug)]
pub enum Input<O, C, R> {
    /// News of the runners.
    List {
        /// What it holds.
        kind: ListKind,
        /// Its entries.
        entries: Vec<WorkerEntry>,
    },
    /// A call has come.
    Call(Call<O, C>),
    /// A caller has left; it is owed nothing any more, and nothing further begins for it.
    CallerLeft {
        /// The call.
        id: RequestId,
        /// What has begun goes on to its one final answer, since that is remembered.
        keeps: bool,
    },
    /// A runner has begun a streamed answer.
    StreamBegan {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The part of the answer that has come.
        reply: R,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// How.
        end: AttemptEnd<R>,
    },
    /// A load order has ended.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// How it ended.
        outcome: Outcome,
        /// Copies that stand loaded there.
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
    /// A runner's process counts as started just now, until the list says otherwise.
    PresumedRestart {
        /// The runner.
        worker: WorkerId,
    },
    /// What of the fleet's wholes is this front end's own from now on.
    Parts(LocalQuotas),
    /// A message from another front end.
    Heard {
        /// The sender's number.
        from: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

/// Why a call failed, for the log and the answer's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The module gave it up; an attempt may have run.
    GivenUp,
    /// No answer was decided by its due time.
    Overdue,
    /// The module has failed.
    ModuleFailed,
    /// Its id was in use.
    DuplicateId,
    /// The daemon stopped before it was over.
    Stopped,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The module turned it away.
    Decided,
    /// As many calls are held as may be.
    MostHeld,
}

/// The one final answer.
#[derive(Debug, PartialEq)]
pub enum Final<R> {
    /// Served, with the runner's answer.
    Served(R),
    /// Turned away: trying again is harmless.
    Refused {
        /// Who turned it away.
        by: Refusal,
        /// How long the caller should stay away.
        retry_after: Option<Span>,
    },
    /// Failed, with no promise about its effect.
    Failed(Failure),
}

/// Why an attempt is called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOff {
    /// The module asked for it.
    Cancelled,
    /// Its time was up.
    TimedOut,
}

/// What the shell is to do.
#[derive(Debug)]
pub enum Output<O, C, R> {
    /// Answer the caller.
    Final {
        /// The call.
        id: RequestId,
        /// Whom.
        origin: O,
        /// What.
        answer: Final<R>,
        /// Attempts made.
        attempts: u32,
        /// The runner that served it.
        worker: Option<WorkerId>,
        /// Time since it came.
        lag: Span,
    },
    /// Pass a streamed answer on to the caller; the call ends with its attempt.
    Stream {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// To whom.
        origin: O,
        /// The part that has come.
        reply: R,
    },
    /// Send an attempt; its end must be reported once.
    Attempt {
        /// The call.
        id: RequestId,
        /// Its number, from 0.
        attempt: u32,
        /// To which runner.
        worker: WorkerId,
        /// What goes out.
        content: C,
        /// It is called off at this time.
        limit: Time,
    },
    /// Stop an attempt and report its end; `Cancelled` or `Timeout` unless another end came first.
    CallOff {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The runner.
        worker: WorkerId,
        /// Why.
        why: CallOff,
    },
    /// Nobody waits for the call any more: an attempt of it that has not begun to go out is not to begin, whether or not the
    /// module may call off what runs. One that has begun goes on; the end of either is reported once.
    Withhold {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The runner.
        worker: WorkerId,
    },
    /// Order copies held, or ask how many stand (0); its end must be reported once.
    Order {
        /// Its name.
        order: OrderId,
        /// The runner.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies wanted.
        copies: u32,
        /// It counts as timed out from then on.
        limit: Time,
    },
    /// Have a function's idle copies unloaded.
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
    Tell {
        /// The front end's number; `None`: all.
        to: Option<u32>,
        /// 256 at most.
        bytes: Vec<u8>,
    },
    /// Ask for changes of the list, or no longer.
    Subscribe {
        /// On or off.
        on: bool,
    },
    /// Ask for the whole list once.
    FetchList,
    /// A line for the staff.
    Log {
        /// The text.
        text: String,
    },
    /// The module has failed; every call is answered, and the process should end.
    Broken {
        /// The panic's text.
        text: String,
    },
}
