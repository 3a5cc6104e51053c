//! The types between a front end and its [`crate::Router`]: settings, events and actions. They have no
//! behaviour. All times are microseconds of the front end's own clock.

use std::sync::Arc;

/// A point in time, in microseconds.
pub type Time = u64;
/// A duration, in microseconds.
pub type Micros = u64;
/// A request's id, unique over the lifetime of the fleet.
pub type RequestId = Arc<str>;
/// A function's name.
pub type FunctionId = Arc<str>;
/// A worker's id, which stays the same when the worker's process restarts.
pub type WorkerId = u32;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Repeatable,
    /// A group of workers drops repeats with the same key for some time.
    ByKey,
    /// Must not run twice.
    Once,
}

/// The workers that drop repeats of an [`Effect::ByKey`] request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// How long a client waits, over all its attempts.
    pub deadline: Micros,
    /// The aim grows by this many times the request's own work, up to the deadline.
    pub aim_stretch: f64,
    /// Whether a request may be repeated.
    pub effect: Effect,
    /// For by-key classes: the workers that drop repeats.
    pub group: Group,
    /// For by-key classes: how long they drop them.
    pub window: Micros,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// Worth of a later answer, as a share of `worth`.
    pub late_worth: f64,
    /// Whether answers are streams.
    pub streaming: bool,
}

/// A tenant, with its quota over all front ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within the share; `None` when there is no quota.
    pub quota_per_s: Option<f64>,
}

/// This front end's current part of the fleet's limits. Each value takes precedence over the limit for all
/// front ends in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalQuotas {
    /// Load orders allowed in [`Settings::load_window`]; `None` when the fleet has no common limit.
    pub orders: Option<f64>,
    /// Requests a second within each tenant's share, by tenant index.
    pub tenants: Vec<Option<f64>>,
}

/// What a worker does with a request for a function that it has not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenAbsent {
    /// It loads the function while the request waits.
    Load,
    /// It answers [`Outcome::Miss`].
    Miss,
}

/// How the list of workers reaches the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive without a request.
    Push,
    /// Changes arrive only after [`Action::Subscribe`] or [`Action::FetchList`].
    Ask,
}

/// Where load reports are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMode {
    /// In answers and probe results.
    Answers,
    /// In probe results only.
    Probe,
    /// Not at all.
    None,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests being executed.
    Active,
    /// Requests waiting.
    Waiting,
    /// Share of CPU busy.
    Cpu,
    /// Share of memory that cannot be freed.
    Memory,
    /// Loads in progress or waiting.
    Loads,
    /// Anything else.
    Other,
}

/// Settings of a router, fixed at its start. A value of 0 means that there is no such limit or price.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Front ends in this tier.
    pub front_ends: u32,
    /// This front end's number among them.
    pub my_number: u32,
    /// This front end's zone.
    pub my_zone: u32,
    /// Request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants; requests refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Worth of a request over its tenant's share, as a share of its class's worth.
    pub over_share_worth: f64,
    /// How the list of workers reaches this front end.
    pub discovery: Discovery,
    /// For [`Discovery::Ask`]: a front end that did not ask for this time counts as informed of all changes.
    pub ask_within: Micros,
    /// What a worker does with a request for a function that it has not loaded.
    pub when_absent: WhenAbsent,
    /// Minimum time for which an idle copy stays loaded.
    pub keep_alive: Micros,
    /// Memory of each kind of worker, in MB, by [`WorkerEntry::kind`].
    pub memory_mb: Vec<f64>,
    /// Time after which a load order without an answer ends as [`Outcome::Timeout`].
    pub order_timeout: Micros,
    /// Whether load orders and drops are allowed.
    pub may_order: bool,
    /// Whether answers carry a [`CopyMark`].
    pub marks_warm: bool,
    /// Whether answers carry a crowd mark: the number of requests for the function at the worker.
    pub marks_crowd: bool,
    /// Sliding window of the limit on load orders; 0 for no limit.
    pub load_window: Micros,
    /// Load orders allowed in that window regardless of the traffic.
    pub load_free: f64,
    /// Further load orders allowed for each request accepted in that window.
    pub load_share: f64,
    /// Price of the memory of idle copies.
    pub idle_price: f64,
    /// Price of a fetch from the store, in requests' worth.
    pub fetch_price: f64,
    /// Price of an attempt that crosses zones, in requests' worth.
    pub zone_price: f64,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether a request may have two attempts in flight at once.
    pub may_duplicate: bool,
    /// Whether probes are allowed.
    pub may_probe: bool,
    /// Whether messages to other front ends are allowed.
    pub may_message: bool,
    /// Longest `retry_after` that clients respect; 0 when none is given.
    pub max_retry_after: Micros,
    /// Time after the client's deadline in which a final answer still counts.
    pub answer_slack: Micros,
    /// Time within which sends to a draining worker must stop.
    pub drain_grace: Micros,
    /// Share of its full capacity that a worker has at its start, at least.
    pub cold_from: f64,
    /// Time after which a worker has its full capacity.
    pub warm_after: Micros,
    /// A cold worker fails when it is sent more than this multiple of its current capacity for as long as
    /// [`Settings::fall_window`].
    pub fall_multiple: f64,
    /// Time for which a cold worker bears more than [`Settings::fall_multiple`].
    pub fall_window: Micros,
    /// Shortest time between two batches of events.
    pub round: Micros,
    /// Where load reports are sent.
    pub report_mode: ReportMode,
    /// The values of a load report, in order.
    pub report_fields: Vec<ReportField>,
}

/// The state of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Ready,
    /// It finishes its requests; nothing new may be sent to it.
    Draining,
    /// It no longer exists.
    Removed,
}

/// An entry in the list of workers.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Its id.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its kind of machine, an index into [`Settings::memory_mb`].
    pub kind: u32,
    /// Its size relative to other workers.
    pub size: f64,
    /// Whether it accepts requests.
    pub availability: Availability,
    /// When its process last started; `None`: so long ago that it is warm.
    pub born: Option<Time>,
}

/// The content of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list.
    Whole,
    /// The complete list as last received, possibly out of date.
    Cached,
    /// Fetching the list failed; there are no entries.
    Failed,
}

/// How an attempt, a probe or a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed; the request may have run.
    Error,
    /// The worker refused it without running it.
    Full,
    /// No answer arrived in time; the request may have run.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// It was cancelled; the request may have run.
    Cancelled,
    /// It was never sent.
    Moot,
    /// The function was not loaded at the worker.
    Miss,
}

/// What an answer says about the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyMark {
    /// Nothing.
    Untold,
    /// A copy was already loaded.
    Warm,
    /// The request started a load.
    BeganLoad,
    /// The request waited for a load that was already in progress.
    WaitedForLoad,
    /// The load failed.
    LoadFailed,
}

/// A request on its arrival.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Whether it is a client's retry, where clients mark them.
    pub retry: bool,
    /// Its tenant, an index into [`Settings::tenants`].
    pub tenant: usize,
    /// Expected processing time on a standard core, if given.
    pub hint: Option<Micros>,
    /// The function it calls.
    pub function: FunctionId,
    /// Memory of one copy, in MB.
    pub memory_mb: f64,
    /// Requests that one copy executes at a time.
    pub lanes: u32,
    /// Its class, an index into [`Settings::classes`].
    pub class: usize,
    /// When the client gives up.
    pub due: Time,
    /// Usual load time of the function, if given.
    pub load_time: Option<Micros>,
}

/// An input to the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of workers, or changes of it.
    List {
        /// Its content.
        kind: ListKind,
        /// Its entries.
        entries: Vec<WorkerEntry>,
    },
    /// A request has arrived.
    Request(Request),
    /// A streamed answer has begun.
    StreamBegan {
        /// The request.
        id: RequestId,
        /// The attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Answer {
        /// The request.
        id: RequestId,
        /// The attempt, from 0.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// Its outcome.
        outcome: Outcome,
        /// Whether the request has its final answer.
        last: bool,
        /// Time since it was sent.
        lag: Micros,
        /// What the answer says about the copy.
        mark: CopyMark,
        /// Requests for the function at the worker when this one arrived, if given.
        crowd: Option<u32>,
        /// The worker's load report.
        report: Option<Vec<f64>>,
    },
    /// The front end is stopping: all open requests get their final answer now.
    Stopping,
    /// The client has disconnected.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// An alarm set by [`Action::SetAlarm`] is due.
    Alarm {
        /// The alarm's name.
        name: Arc<str>,
    },
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// Its outcome.
        outcome: Outcome,
        /// The worker's load report.
        report: Option<Vec<f64>>,
    },
    /// A worker's process may have restarted without notice. It counts as just started until its next entry
    /// in the list.
    PresumedRestart {
        /// The worker.
        worker: WorkerId,
    },
    /// This front end's part of the fleet's limits from now on.
    LocalQuotas(LocalQuotas),
    /// A message from another front end.
    Message {
        /// The number of the sending front end.
        from: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A load order has ended.
    Loaded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Its outcome.
        outcome: Outcome,
        /// Copies now loaded at the worker.
        copies: u32,
        /// Time since the order.
        lag: Micros,
    },
}

/// The size of a router's state, for monitoring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterStats {
    /// Workers that are listed, or removed with attempts or loads still pending.
    pub workers: usize,
    /// Workers that accept requests.
    pub ready: usize,
    /// Cells of the listed workers.
    pub cells: usize,
    /// Known functions.
    pub functions: usize,
    /// Functions with a next planning step; the others rest until they are called.
    pub planned: usize,
    /// Functions with held requests.
    pub waiting: usize,
}

/// An output of the router, to be carried out by the front end.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Timeout; `None`: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt, from 0.
        attempt: u32,
    },
    /// Give the final answer: the request was refused, and a retry is safe.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry.
        retry_after: Option<Micros>,
    },
    /// Give the final answer: the request failed, and may have had an effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Order a worker to hold at least this many copies; 0 only asks how many it holds.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies wanted.
        copies: u32,
    },
    /// Unload a function's idle copies at a worker.
    Drop {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Set an alarm.
    SetAlarm {
        /// Time until it is due.
        after: Micros,
        /// Its name.
        name: Arc<str>,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close idle connections to a worker.
    CloseIdle {
        /// The worker.
        worker: WorkerId,
    },
    /// Send a message to one front end, or to all.
    SendMessage {
        /// The number of the front end; `None`: all of them.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Start or stop receiving changes of the list.
    Subscribe {
        /// Whether to receive them.
        on: bool,
    },
    /// Fetch the complete list once.
    FetchList,
    /// Write a line to the operators' log.
    Log {
        /// The text.
        text: String,
    },
}
