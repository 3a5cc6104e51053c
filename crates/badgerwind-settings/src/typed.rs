//! The settings as the daemon uses them.

use badgerwind::interface::Span;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// All settings of one front end.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the module is told.
    pub router: badgerwind::interface::Settings,
    /// Seed of the module's chance; 0: drawn at each start.
    pub seed: u64,
    /// Names of the classes, by their place.
    pub classes: Vec<String>,
    /// Names of the tenants, by their place.
    pub tenants: Vec<String>,
    /// Names of the zones, by their place.
    pub zones: Vec<String>,
    /// The functions.
    pub functions: Vec<Function>,
    /// Calls owed an answer at once.
    pub most_held: usize,
    /// The webhook front.
    pub webhook: Webhook,
    /// The runners.
    pub runners: Runners,
    /// The list service.
    pub list: List,
    /// Messages between front ends.
    pub peers: Option<Peers>,
    /// What the front ends divide among themselves.
    pub budgets: Option<Budgets>,
    /// How a zone that fails is left.
    pub leaving: Option<Leaving>,
    /// The control service.
    pub control: Option<Control>,
    /// The log.
    pub log: Log,
    /// Where figures are served.
    pub metrics: Option<SocketAddr>,
    /// How long an orderly stop may take.
    pub stop_within: Duration,
}

/// A function.
#[derive(Clone, Debug)]
pub struct Function {
    /// Its name.
    pub name: String,
    /// Memory of one copy, in MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub lanes: u32,
    /// Usual time of a load.
    pub load_time: Option<Span>,
}

/// The webhook front.
#[derive(Clone, Debug)]
pub struct Webhook {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections at once.
    pub connections: usize,
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Header lines of a head.
    pub headers: usize,
    /// Time for a head.
    pub head_time: Duration,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a body.
    pub body_time: Duration,
    /// An idle connection closes after this.
    pub idle_time: Duration,
    /// Time for a sender to read an answer.
    pub write_time: Duration,
    /// How long an id's final answer is remembered.
    pub remember: Span,
    /// Ids remembered at once.
    pub remember_most: usize,
    /// Callbacks that may be owed at once.
    pub callbacks: usize,
    /// Bytes of answers remembered at once.
    pub remember_bytes: usize,
    /// Repeats that may wait for one answer.
    pub waiters: usize,
    /// Budgets for messages whose signature fails.
    pub guard: Guard,
    /// Senders are met under TLS.
    pub tls: Option<Tls>,
    /// The senders.
    pub senders: Vec<Sender>,
    /// The routes.
    pub routes: Vec<Route>,
}

/// Budgets for messages whose signature fails.
#[derive(Clone, Debug)]
pub struct Guard {
    /// Failed checks of one source: at once, and further ones a second.
    pub source: (u32, u32),
    /// Failed checks of strangers as one sender: at once, and further ones a second.
    pub sender: (u32, u32),
    /// Sources kept apart.
    pub sources: usize,
    /// How long a source that signed counts as known.
    pub known_for: Span,
    /// A body costs one check more for each so many bytes.
    pub bytes: u64,
    /// Load balancers in front.
    pub balancers: Vec<IpAddr>,
}

/// TLS towards senders; all files are PEM.
#[derive(Clone, Debug)]
pub struct Tls {
    /// The chain, the own certificate first.
    pub certificate: PathBuf,
    /// Its private key.
    pub key_file: PathBuf,
    /// Authorities of which senders must show a certificate.
    pub clients: Option<PathBuf>,
    /// The line that names them.
    pub line: usize,
}

/// TLS towards runners; all files are PEM.
#[derive(Clone, Debug)]
pub struct RunnerTls {
    /// Authorities that are trusted.
    pub authority: PathBuf,
    /// The name that every runner's certificate bears.
    pub name: String,
    /// The own chain and its private key.
    pub identity: Option<(PathBuf, PathBuf)>,
    /// The line that names them.
    pub line: usize,
}

/// A sender of webhooks.
#[derive(Clone, Debug)]
pub struct Sender {
    /// Its name.
    pub name: String,
    /// Its tenant's place.
    pub tenant: usize,
    /// How far a timestamp may lie from now, in seconds.
    pub tolerance: u64,
    /// Its live keys.
    pub secrets: Vec<Secret>,
    /// Where final answers may also be posted.
    pub callbacks: Vec<Callback>,
}

/// An address to which final answers may also be posted.
#[derive(Clone, Debug)]
pub struct Callback {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its path there.
    pub path: String,
    /// The key that signs.
    pub key_file: PathBuf,
    /// The line that names it.
    pub line: usize,
}

/// A reference to a key.
#[derive(Clone, Debug)]
pub struct Secret {
    /// Its name in logs.
    pub name: String,
    /// Its file, as written.
    pub file: PathBuf,
    /// The line that names it.
    pub line: usize,
    /// It counts from then on, in seconds since the Unix epoch.
    pub not_before: Option<i64>,
    /// It counts until then.
    pub not_after: Option<i64>,
}

/// Which function a route calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// This one, by its place.
    Function(usize),
    /// The one that the path's last part names.
    Named,
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its path; for [`Target::Named`] with the slash before the name, and without the name.
    pub path: String,
    /// Its sender's place.
    pub sender: usize,
    /// Its class's place.
    pub class: usize,
    /// Its function.
    pub target: Target,
}

/// How runners are reached.
#[derive(Clone, Debug)]
pub struct Runners {
    /// The key that signs calls.
    pub key_file: PathBuf,
    /// The line that names it.
    pub line: usize,
    /// Connections to one runner.
    pub connections: usize,
    /// A connection not made by then has failed.
    pub connect_time: Duration,
    /// An idle connection closes after this.
    pub idle_time: Duration,
    /// Bytes of an answer.
    pub answer_bytes: usize,
    /// A call-off not confirmed by then counts as done.
    pub call_off_time: Span,
    /// A probe not answered by then has failed.
    pub probe_time: Span,
    /// Runners are met under TLS.
    pub tls: Option<RunnerTls>,
}

/// The service that lists runners.
#[derive(Clone, Debug)]
pub struct List {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where the last list is kept.
    pub cache: Option<PathBuf>,
    /// How long it may hold a question open.
    pub wait: Duration,
    /// Pause after a question that failed.
    pub retry: Duration,
}

/// Messages between front ends.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Where this one listens.
    pub listen: SocketAddr,
    /// The key that all share.
    pub key_file: PathBuf,
    /// The line that names it.
    pub line: usize,
    /// The others: number and address.
    pub peers: Vec<(u32, SocketAddr)>,
}

/// What the front ends divide among themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct Budgets {
    /// On what terms.
    pub terms: badgerwind_budgets::LeaseSettings,
    /// The limits, under their version.
    pub book: badgerwind_budgets::LimitSet,
    /// What each whole is of, in the same order.
    pub budgets: Vec<Budget>,
    /// The line that begins them.
    pub line: usize,
}

/// How a zone that fails is left, and returned to.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaving {
    /// On what terms.
    pub terms: badgerwind_zones::Settings,
    /// An operator's word of each zone, and why.
    pub words: Vec<Option<(badgerwind_zones::Directive, String)>>,
}

/// One whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Its name.
    pub name: String,
    /// What it is of.
    pub of: BudgetOf,
}

/// What a whole is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetOf {
    /// Load orders.
    Orders,
    /// A tenant's quota, by its place.
    Tenant(usize),
}

/// The control service.
#[derive(Clone, Debug)]
pub struct Control {
    /// This front end's name there.
    pub name: String,
    /// Its fleet's.
    pub cluster: String,
    /// Where the set that runs is kept.
    pub keep: PathBuf,
    /// How long the service may hold a question open.
    pub wait: Duration,
    /// The first pause after a question that failed.
    pub retry: Span,
    /// The longest.
    pub most_retry: Span,
    /// How long a part waits for another.
    pub stage: Span,
    /// The services, in the order in which they are asked.
    pub services: Vec<SocketAddr>,
}

/// The log.
#[derive(Clone, Debug)]
pub struct Log {
    /// JSON, or text.
    pub json: bool,
    /// `error`, `warn`, `info` or `debug`.
    pub level: String,
}
