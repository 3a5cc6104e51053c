//! The typed settings that the daemon uses.

use badgerwind::interface::Micros;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// All settings of one front end.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings of the decision module.
    pub router: badgerwind::interface::Settings,
    /// Seed of the module's random numbers; 0 draws a seed at each start.
    pub seed: u64,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The functions.
    pub functions: Vec<Function>,
    /// Maximum number of unanswered calls.
    pub max_calls: usize,
    /// The webhook front.
    pub webhook: Webhook,
    /// The connections to runners.
    pub runners: Runners,
    /// The service that lists runners.
    pub list: List,
    /// Messages between front ends.
    pub peers: Option<Peers>,
    /// Budgets that the front ends divide among themselves.
    pub budgets: Option<Budgets>,
    /// How front ends leave a zone that fails.
    pub leaving: Option<Leaving>,
    /// The control service.
    pub control: Option<Control>,
    /// The log.
    pub log: Log,
    /// The address at which metrics are served.
    pub metrics: Option<SocketAddr>,
    /// How long a graceful stop may take.
    pub stop_timeout: Duration,
}

/// A function.
#[derive(Clone, Debug)]
pub struct Function {
    /// The name.
    pub name: String,
    /// Memory of one copy, in MB.
    pub memory_mb: f64,
    /// Number of calls that one copy runs concurrently.
    pub lanes: u32,
    /// Typical time to load a copy.
    pub load_time: Option<Micros>,
}

/// The front for signed webhooks.
#[derive(Clone, Debug)]
pub struct Webhook {
    /// The listen address.
    pub listen: SocketAddr,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of header lines of a request.
    pub max_headers: usize,
    /// Timeout for receiving a head.
    pub head_timeout: Duration,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a body.
    pub body_timeout: Duration,
    /// Idle connections are closed after this time.
    pub idle_timeout: Duration,
    /// Timeout for a sender to read an answer.
    pub write_timeout: Duration,
    /// How long an id and its final answer are remembered.
    pub answer_retention: Micros,
    /// Maximum number of remembered ids.
    pub max_remembered_ids: usize,
    /// Maximum number of calls with an outstanding callback.
    pub max_callbacks: usize,
    /// Maximum size of all remembered ids and answers, in bytes.
    pub max_remembered_bytes: usize,
    /// Maximum number of repeated calls that wait for the same answer.
    pub max_waiters: usize,
    /// Budgets for messages whose signature fails.
    pub guard: Guard,
    /// TLS towards senders; `None` for plain connections.
    pub tls: Option<Tls>,
    /// The senders.
    pub senders: Vec<Sender>,
    /// The routes.
    pub routes: Vec<Route>,
}

/// Budgets for messages whose signature fails.
#[derive(Clone, Debug)]
pub struct Guard {
    /// Failed checks of one source address: burst, and rate per second.
    pub source_limit: (u32, u32),
    /// Failed checks as one sender by addresses that are not known to it: burst, and rate per second.
    pub sender_limit: (u32, u32),
    /// Maximum number of source addresses with a budget of their own; further ones share a single budget.
    pub max_sources: usize,
    /// How long an address counts as known to a sender after a valid signature.
    pub known_source_time: Micros,
    /// A body counts as one additional check for each this many bytes.
    pub bytes_per_check: u64,
    /// The addresses of load balancers in front of the front end.
    pub load_balancers: Vec<IpAddr>,
}

/// TLS towards senders. All files are PEM.
#[derive(Clone, Debug)]
pub struct Tls {
    /// The certificate chain, beginning with the own certificate.
    pub certificate: PathBuf,
    /// The private key.
    pub key_file: PathBuf,
    /// Authorities of client certificates, if senders must present one.
    pub client_authorities: Option<PathBuf>,
    /// The line in the settings, for error messages.
    pub line: usize,
}

/// TLS towards runners. All files are PEM.
#[derive(Clone, Debug)]
pub struct RunnerTls {
    /// The trusted authorities.
    pub authority: PathBuf,
    /// The name in every runner's certificate.
    pub server_name: String,
    /// The own certificate chain and private key, if runners require a client certificate.
    pub identity: Option<(PathBuf, PathBuf)>,
    /// The line in the settings, for error messages.
    pub line: usize,
}

/// A sender of webhooks.
#[derive(Clone, Debug)]
pub struct Sender {
    /// The name.
    pub name: String,
    /// The index of its tenant.
    pub tenant: usize,
    /// Maximum difference between a timestamp and the current time, in seconds.
    pub tolerance: u64,
    /// The valid keys.
    pub secrets: Vec<Secret>,
    /// Addresses to which final answers may also be posted.
    pub callbacks: Vec<Callback>,
}

/// An address to which final answers may also be posted.
#[derive(Clone, Debug)]
pub struct Callback {
    /// The name.
    pub name: String,
    /// The address of the receiver.
    pub address: SocketAddr,
    /// The path of the request.
    pub path: String,
    /// The file of the key that signs the request.
    pub key_file: PathBuf,
    /// The line in the settings, for error messages.
    pub line: usize,
}

/// A reference to a key of a sender.
#[derive(Clone, Debug)]
pub struct Secret {
    /// The name in logs.
    pub name: String,
    /// The file, as written in the settings.
    pub file: PathBuf,
    /// The line in the settings, for error messages.
    pub line: usize,
    /// The key is valid from then on, in seconds since the Unix epoch.
    pub not_before: Option<i64>,
    /// The key is valid until then, in seconds since the Unix epoch.
    pub not_after: Option<i64>,
}

/// Which function a route calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// This function, by index.
    Function(usize),
    /// The function that the last segment of the path names.
    FromPath,
}

/// A path at which a sender's webhooks are accepted.
#[derive(Clone, Debug)]
pub struct Route {
    /// The path; for [`Target::FromPath`] the prefix up to and including the slash before the function's
    /// name.
    pub path: String,
    /// The index of its sender.
    pub sender: usize,
    /// The index of its class.
    pub class: usize,
    /// The function that it calls.
    pub target: Target,
}

/// The connections to runners.
#[derive(Clone, Debug)]
pub struct Runners {
    /// The file of the key that signs calls.
    pub key_file: PathBuf,
    /// The line in the settings, for error messages.
    pub line: usize,
    /// Maximum number of connections to one runner.
    pub max_connections: usize,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this time.
    pub idle_timeout: Duration,
    /// Maximum size of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// A cancellation that is not confirmed within this time counts as done.
    pub cancel_timeout: Micros,
    /// Timeout of a probe.
    pub probe_timeout: Micros,
    /// TLS towards runners; `None` for plain connections.
    pub tls: Option<RunnerTls>,
}

/// The service that lists runners.
#[derive(Clone, Debug)]
pub struct List {
    /// The address of the service.
    pub address: SocketAddr,
    /// The file that caches the last list.
    pub cache: Option<PathBuf>,
    /// How long the service may hold a request open.
    pub poll_timeout: Duration,
    /// Pause after a failed request.
    pub retry_delay: Duration,
}

/// Messages between front ends.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The own listen address.
    pub listen: SocketAddr,
    /// The file of the key that all front ends share.
    pub key_file: PathBuf,
    /// The line in the settings, for error messages.
    pub line: usize,
    /// Number and address of each other front end.
    pub peers: Vec<(u32, SocketAddr)>,
}

/// Budgets that the front ends divide among themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct Budgets {
    /// The settings of the division.
    pub lease_settings: badgerwind_budgets::LeaseSettings,
    /// The version of the budgets and the limit of each.
    pub limit_set: badgerwind_budgets::LimitSet,
    /// The name and resource of each budget, in the order of the limits.
    pub budgets: Vec<Budget>,
    /// The line in the settings, for error messages.
    pub line: usize,
}

/// How front ends leave a zone that fails, and return to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaving {
    /// The settings of the zone state machine.
    pub settings: badgerwind_zones::Settings,
    /// The operator's directive for each zone and its reason, if any.
    pub directives: Vec<Option<(badgerwind_zones::Directive, String)>>,
}

/// The name and the resource of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The name.
    pub name: String,
    /// The resource that it limits.
    pub resource: BudgetResource,
}

/// The resource that a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetResource {
    /// Load orders.
    Orders,
    /// The quota of a tenant, by index.
    Tenant(usize),
}

/// The control service.
#[derive(Clone, Debug)]
pub struct Control {
    /// The name of this front end at the service.
    pub name: String,
    /// The name of its fleet at the service.
    pub cluster: String,
    /// The file that stores the parts that run.
    pub storage_file: PathBuf,
    /// How long the service may hold a request open.
    pub poll_timeout: Duration,
    /// The first and shortest pause after a failed request.
    pub min_backoff: Micros,
    /// The longest pause after a failed request.
    pub max_backoff: Micros,
    /// How long an offered part may wait for another part that it needs.
    pub stage_timeout: Micros,
    /// The addresses of the services, in the order in which they are tried.
    pub services: Vec<SocketAddr>,
}

/// The log.
#[derive(Clone, Debug)]
pub struct Log {
    /// Whether the format is JSON; otherwise it is text.
    pub json: bool,
    /// The lowest level that is logged: `error`, `warn`, `info` or `debug`.
    pub level: String,
}
