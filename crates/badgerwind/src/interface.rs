//! The types between a front end and the decision module [`crate::choice`]: settings, events, actions.
//! All times are microseconds of the front end's own clock. There is no behaviour here.

use std::sync::Arc;

/// A point in time, in microseconds.
pub type Time = u64;
/// A length of time, in microseconds.
pub type Span = u64;
/// A request's id, unique over the life of the fleet.
pub type RequestId = Arc<str>;
/// A function's name.
pub type FunctionId = Arc<str>;
/// A worker's id; it survives a restart of the worker's process.
pub type WorkerId = u32;

/// How harmful it is to run a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Repeatable,
    /// Repeats are dropped by a group of workers, for a while.
    ByKey,
    /// Must not run twice.
    Once,
}

/// Which workers drop the repeats of a [`Effect::ByKey`] request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Span,
    /// How long a client waits over all its tries.
    pub deadline: Span,
    /// The aim grows by this many times the request's own work, up to the deadline.
    pub aim_stretch: f64,
    /// Whether a request may be repeated.
    pub effect: Effect,
    /// For by-key classes: who drops repeats.
    pub group: Group,
    /// For by-key classes: for how long.
    pub window: Span,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// Share of the worth of a later answer.
    pub late_worth: f64,
    /// The answer is a stream.
    pub streaming: bool,
}

/// A tenant and the rate that counts as inside its share, over all front ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second inside the share; `None` where not told.
    pub quota_per_s: Option<f64>,
}

/// What of the fleet's wholes is this front end's own for now. Each goes before what the settings say of all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parts {
    /// Load orders in the window of their limit; `None` where no whole is divided.
    pub orders: Option<f64>,
    /// Requests a second inside each tenant's share, by place.
    pub tenants: Vec<Option<f64>>,
}

/// What a worker does with a request for a function that it does not hold.
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
    /// Changes come by themselves.
    Push,
    /// Only after [`Action::Subscribe`] or [`Action::FetchList`].
    Ask,
}

/// How load reports travel.
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
    /// Requests in hand.
    Active,
    /// Requests waiting.
    Waiting,
    /// Share of CPU busy.
    Cpu,
    /// Share of memory that cannot be freed.
    Memory,
    /// Loads under way or waiting.
    Loads,
    /// Anything else.
    Other,
}

/// What a front end is told at its start. A figure of 0 means that there is no such limit or price.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Front ends in this tier.
    pub front_ends: u32,
    /// This front end's number among them.
    pub my_number: u32,
    /// This front end's zone.
    pub my_zone: u32,
    /// Request classes, by place.
    pub classes: Vec<Class>,
    /// Tenants, by place.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a share of its class's worth.
    pub over_share_worth: f64,
    /// How the list of workers comes.
    pub discovery: Discovery,
    /// Where discovery is asked: after this long without asking, old news counts as told.
    pub ask_within: Span,
    /// What a worker does with a request for a function that it lacks.
    pub when_absent: WhenAbsent,
    /// An idle copy stays at least this long.
    pub keep_alive: Span,
    /// Memory of each kind of worker, in MB.
    pub memory_mb: Vec<f64>,
    /// A load order not answered by then ends as a time-out.
    pub order_timeout: Span,
    /// Load orders and drops are allowed.
    pub may_order: bool,
    /// Answers tell whether a copy stood loaded.
    pub marks_warm: bool,
    /// Answers tell how many requests for the function the worker held.
    pub marks_crowd: bool,
    /// Window of the limit on load orders; 0 where there is none.
    pub load_window: Span,
    /// Load orders allowed in that window whatever the traffic.
    pub load_free: f64,
    /// Further load orders for each request taken in that window.
    pub load_share: f64,
    /// Price of memory held by copies on which nothing runs.
    pub idle_price: f64,
    /// Price of a fetch from the store, by request.
    pub fetch_price: f64,
    /// Price of an attempt that crosses zones, by request.
    pub zone_price: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Cancelling an attempt is allowed.
    pub may_cancel: bool,
    /// Two attempts may be out at once.
    pub may_duplicate: bool,
    /// Probes are allowed.
    pub may_probe: bool,
    /// Messages to other front ends are allowed.
    pub may_message: bool,
    /// The longest time that clients told to stay away heed; 0 where advice is not given.
    pub max_retry_after: Span,
    /// Time past the client's deadline in which a final answer still counts.
    pub answer_slack: Span,
    /// Time in which sends to a draining worker must end.
    pub drain_grace: Span,
    /// Share of its capacity with which a worker starts, at the least.
    pub cold_from: f64,
    /// A worker is warm after this at the latest.
    pub warm_after: Span,
    /// A cold worker falls over when sent more than this many times its present capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall_window: Span,
    /// Batches of events come at most this often.
    pub round: Span,
    /// How load reports travel.
    pub report_mode: ReportMode,
    /// Values in a load report, in order.
    pub report_fields: Vec<ReportField>,
}

/// What a list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes work.
    Ready,
    /// It finishes its work; nothing new may be sent.
    Draining,
    /// It is no longer there.
    Gone,
}

/// An entry in the list of workers.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its kind of machine.
    pub kind: u32,
    /// A size to compare with other workers' sizes.
    pub size: f64,
    /// Whether it takes work.
    pub availability: Availability,
    /// When its process last started; `None`: long ago.
    pub born: Option<Time>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as last had, maybe old.
    Cached,
    /// A call failed; no entries.
    Failed,
}

/// How an attempt, a probe or a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, or done.
    Ok,
    /// An error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// The function is not loaded there.
    Miss,
}

/// What an answer says of the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyMark {
    /// Nothing was said.
    Untold,
    /// A copy stood loaded.
    Warm,
    /// The request began a load.
    BeganLoad,
    /// It waited for a load begun before.
    WaitedForLoad,
    /// The load failed.
    LoadFailed,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// A client's repeat, where clients mark them.
    pub retry: bool,
    /// Its tenant.
    pub tenant: usize,
    /// Expected work on a standard core, where told.
    pub hint: Option<Span>,
    /// The function it calls.
    pub function: FunctionId,
    /// Memory of one copy, in MB.
    pub memory_mb: f64,
    /// Requests that one copy runs at a time.
    pub lanes: u32,
    /// Its class.
    pub class: usize,
    /// When the client gives up.
    pub due: Time,
    /// Usual time of a load, where told.
    pub load_time: Option<Span>,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the workers.
    List {
        /// What it holds.
        kind: ListKind,
        /// Its entries.
        entries: Vec<WorkerEntry>,
    },
    /// A request has come.
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
        /// How it ended.
        outcome: Outcome,
        /// The request is over.
        last: bool,
        /// Time since it was sent.
        lag: Span,
        /// What is said of the copy.
        mark: CopyMark,
        /// Requests for the function that the worker held when this one came, where told.
        crowd: Option<u32>,
        /// The worker's load report.
        report: Option<Vec<f64>>,
    },
    /// The front end ends: what is owed an answer gets its last one now.
    Stopping,
    /// The client has left.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Alarm {
        /// The name given to it.
        name: Arc<str>,
    },
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The worker's load report.
        report: Option<Vec<f64>>,
    },
    /// A worker's process counts as started just now, until the list says otherwise: nothing shows that it is the one of
    /// before.
    PresumedRestart {
        /// The worker.
        worker: WorkerId,
    },
    /// What of the fleet's wholes is this front end's own from now on.
    Parts(Parts),
    /// A message from another front end.
    Message {
        /// The sender's number.
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
        /// How it ended.
        outcome: Outcome,
        /// Copies that stand loaded there.
        copies: u32,
        /// Time since the order.
        lag: Span,
    },
}

/// How much a router remembers, for those who watch it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Workers listed, or gone with something still out there.
    pub workers: usize,
    /// Workers that take work.
    pub ready: usize,
    /// Cells that the listed workers are in.
    pub cells: usize,
    /// Functions remembered.
    pub functions: usize,
    /// Functions whose next step is planned; the others rest until they are called.
    pub planned: usize,
    /// Functions with requests held.
    pub waiting: usize,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time-out; `None`: until the client gives up.
        timeout: Option<Span>,
    },
    /// Call off an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt, from 0.
        attempt: u32,
    },
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Span>,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// See that a worker holds at least so many copies; 0 only asks.
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
    /// Ask for an alarm.
    SetAlarm {
        /// Time from now.
        after: Span,
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
    Tell {
        /// The front end; `None`: all of them.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Ask for changes of the list from now on, or no longer.
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
}
