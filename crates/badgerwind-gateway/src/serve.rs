//! Starts the daemon's listeners, engine and clients, reloads its settings and shuts it down.

use crate::answers_due::AnswersDue;
use crate::clock::Clock;
use crate::control::{ConfigFollower, FollowOptions};
use crate::dispatch::Dispatch;
use crate::engine::{Control, Engine, EngineEnd, ModuleSettings};
use crate::front::{guard_limits, replay_limits, AnswerCounts, Front, FrontConfig};
use crate::list::ListClient;
use crate::metrics::{self, Metrics};
use crate::peers::Peers;
use crate::runners::Runners;
use crate::secrets::Secrets;
use crate::shares::BudgetShares;
use crate::zones::Zones;
use async_channel::{Receiver, Sender};
use badgerwind::interface::WorkerEntry;
use badgerwind::Router;
use badgerwind_config::shadow::driver_limits;
use badgerwind_config::{Client, Report};
use badgerwind_driver::Decider;
use badgerwind_guard::Guard;
use badgerwind_protocol::list::List;
use badgerwind_settings::{Problem, Settings};
use badgerwind_webhook::{ClockSkew, Replay, WallClock};
use futures_lite::FutureExt;
use smol::net::TcpListener;
use smol::{Async, Timer};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// Modifies a list before it is applied; lets tests hide parts of it from a front end.
pub type ListFilter = fn(&mut List);

/// The configuration of a daemon.
pub struct Options {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The keys and certificates.
    pub secrets: Secrets,
    /// The directory to which relative paths are relative.
    pub folder: PathBuf,
    /// For tests only: modifies lists before they are applied.
    pub list_filter: Option<ListFilter>,
    /// How to follow the control service, if the settings name one.
    pub follow: Option<FollowOptions>,
    /// For tests only: replaces the decision module.
    pub decider: Option<Box<dyn Decider + Send>>,
}

impl Options {
    /// Options for production: without any of those for tests.
    pub fn new(settings: Arc<Settings>, secrets: Secrets, folder: PathBuf) -> Self {
        Options { settings, secrets, folder, list_filter: None, follow: None, decider: None }
    }
}

/// Reads the settings again.
pub type SettingsReader = Box<dyn Fn() -> Result<Settings, Vec<Problem>> + Send + Sync>;

/// The running settings, with the reloadable parts from another version. Calls refer to their sender by its
/// index, so the senders must be the same in the same order.
fn merge_reloadable(running: &Settings, from: Settings) -> Result<Settings, Vec<Problem>> {
    let names =
        |s: &Settings| s.webhook.senders.iter().map(|s| (s.name.clone(), s.tenant)).collect::<Vec<_>>();
    if names(running) != names(&from) {
        return Err(vec![Problem {
            file: "settings".into(),
            line: 1,
            element: "webhook".into(),
            message: "the senders differ from those of the running settings".into(),
            remedy: "restart, or publish them as a version of the routes; keys are then read again".into(),
        }]);
    }
    let mut settings = running.clone();
    settings.webhook.senders = from.webhook.senders;
    settings.webhook.guard = from.webhook.guard;
    // TLS is only turned on or off by a restart: a reload would cut off clients that have not been
    // reconfigured.
    if settings.webhook.tls.is_some() && from.webhook.tls.is_some() {
        settings.webhook.tls = from.webhook.tls;
    }
    if settings.runners.tls.is_some() && from.runners.tls.is_some() {
        settings.runners.tls = from.runners.tls;
    }
    (settings.runners.key_file, settings.runners.line) = (from.runners.key_file, from.runners.line);
    // Budgets are only turned on or off by a restart; their limits may be reloaded.
    if settings.budgets.is_some() && from.budgets.is_some() {
        settings.budgets = from.budgets;
    }
    // Only the operator's directives are reloaded. They refer to zones by index, so the zones must be the
    // same.
    if let (Some(current), Some(new)) = (&mut settings.leaving, from.leaving) {
        if settings.zones == from.zones {
            current.directives = new.directives;
        }
    }
    Ok(settings)
}

/// The problem of budgets that cannot replace the current ones.
fn budgets_problem(budgets: &badgerwind_settings::Budgets, e: &badgerwind_budgets::SettingsError) -> Problem {
    Problem {
        file: "settings".into(),
        line: budgets.line,
        element: "budgets".into(),
        message: e.to_string(),
        remedy: "increase version and change only units; all other changes need a restart of the front ends"
            .into(),
    }
}

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A listener could not be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Its address.
        address: SocketAddr,
        /// The cause.
        error: std::io::Error,
    },
    /// The settings are invalid.
    #[error("the settings cannot be used: {}", .0.first().map_or(String::new(), ToString::to_string))]
    Settings(Vec<badgerwind_settings::Problem>),
    /// The engine's thread could not be started.
    #[error("cannot start the engine's thread: {0}")]
    Thread(std::io::Error),
}

/// How a daemon ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Stopped {
    /// It was stopped, and every call was answered.
    Orderly,
    /// The decision module failed, and all open calls were answered as failed.
    ModuleFailed(String),
}

/// A running daemon.
pub struct Running {
    /// The address that accepts webhooks.
    pub webhook: SocketAddr,
    /// The address that serves metrics.
    pub metrics: Option<SocketAddr>,
    front: Arc<Front>,
    runners: Arc<Runners>,
    shares: Option<Arc<BudgetShares>>,
    zones: Option<Arc<Zones>>,
    folder: PathBuf,
    control: Sender<Control>,
    ended: Receiver<EngineEnd>,
    unanswered: Arc<AtomicUsize>,
    stop_timeout: Duration,
    accepting: smol::Task<()>,
    _tasks: Vec<smol::Task<()>>,
}

/// Inputs queued for the engine; further senders wait.
const INPUT_QUEUE: usize = 8192;
/// Time for writing the last answers before the process ends.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(200);

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), ServeError> {
    let failed = |error| ServeError::Listen { address, error };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Starts a daemon; it accepts webhooks once this returns.
pub async fn serve(options: Options) -> Result<Running, ServeError> {
    let Options { settings, secrets, folder, list_filter, follow, decider } = options;
    let (clock, metrics) = (Clock::start(), Arc::new(Metrics::new()));
    let router_settings = &settings.router;
    let (listener, webhook) = bind(settings.webhook.listen).await?;
    let (inputs, received_inputs) = async_channel::bounded(INPUT_QUEUE);
    let (control, controls) = async_channel::bounded(4);
    let (list_requests, received_requests) = async_channel::bounded(64);
    let runners = Arc::new(Runners::new(settings.clone(), secrets.runners, secrets.runners_tls, clock));
    let mut tasks = Vec::new();
    let peers = match (&settings.peers, secrets.peers) {
        (Some(p), Some(key)) => {
            let failed = |error| ServeError::Listen { address: p.listen, error };
            let address = p.listen;
            let bound = smol::unblock(move || crate::peers::bind(address)).await;
            let socket = bound.and_then(Async::<UdpSocket>::new).map_err(failed)?;
            let counter = AtomicU64::new(clock.now());
            let peers = p.peers.clone();
            Some(Arc::new(Peers { socket, key, number: router_settings.my_number, peers, counter }))
        }
        _ => None,
    };
    let shares = peers
        .as_ref()
        .and_then(|p| BudgetShares::new(&settings, clock, p.clone(), inputs.clone(), metrics.clone()));
    let zones = peers
        .as_ref()
        .and_then(|p| Zones::new(&settings, clock, p.clone(), runners.clone(), metrics.clone()));
    if let Some(peers) = peers.clone() {
        let (inputs, shares, zones) = (inputs.clone(), shares.clone(), zones.clone());
        tasks.push(smol::spawn(async move { peers.listen(inputs, shares, zones).await }));
    }
    // With zone evacuation the list passes through `Zones`, so that one task reports everything about runners
    // to the engine.
    let list_updates = match zones.clone() {
        Some(zones) => {
            let (list_updates, received_updates) = async_channel::bounded(16);
            tasks.push(smol::spawn(zones.run(received_updates, inputs.clone())));
            list_updates
        }
        None => inputs.clone(),
    };
    if let Some(shares) = shares.clone() {
        tasks.push(smol::spawn(shares.run()));
    }
    let listed_runners: Arc<Mutex<Vec<WorkerEntry>>> = Arc::default();
    let list_client = ListClient {
        settings: settings.clone(),
        cache: settings.list.cache.as_ref().map(|c| folder.join(c)),
        filter: list_filter,
        runners: runners.clone(),
        metrics: metrics.clone(),
        inputs: list_updates,
        requests: received_requests,
        listed_runners: listed_runners.clone(),
    };
    tasks.push(smol::spawn(list_client.run()));

    let unanswered = Arc::new(AtomicUsize::new(0));
    let lag: Arc<Mutex<badgerwind_driver::Lag>> = Arc::default();
    let backend = Dispatch {
        clock,
        inputs: inputs.clone(),
        runners: runners.clone(),
        peers,
        list_requests,
        metrics: metrics.clone(),
        attempts: Default::default(),
        shares: shares.clone(),
        zones: zones.clone(),
    };
    let engine = Engine {
        clock,
        inputs: received_inputs,
        control: controls,
        unanswered: unanswered.clone(),
        lag: lag.clone(),
        backend,
    };
    let seed = if settings.seed == 0 { fastrand::u64(..) } else { settings.seed };
    let decider = decider.unwrap_or_else(|| Box::new(Router::new(seed, router_settings.clone())));
    let (end, ended) = async_channel::bounded(1);
    let module_settings = ModuleSettings::new(driver_limits(&settings), router_settings);
    let thread = std::thread::Builder::new().name("engine".into());
    thread
        .spawn(move || {
            // If the engine panics, the dropped channel reports its end.
            let _ = end.try_send(smol::block_on(engine.run(decider, module_settings)));
        })
        .map_err(ServeError::Thread)?;

    let (capacity_changed, capacity_changes) = async_channel::bounded(1);
    let front_config = FrontConfig {
        settings: settings.clone(),
        rings: secrets.rings,
        callbacks: secrets.callbacks,
        tls: secrets.senders_tls,
        module: 0,
    };
    let front = Arc::new(Front {
        answers_due: AnswersDue::default(),
        config: RwLock::new(Arc::new(front_config)),
        recent_calls: Mutex::default(),
        counts: AnswerCounts::default(),
        pending_callbacks: Arc::default(),
        replay: Mutex::new(Replay::new(replay_limits(&settings))),
        lag,
        guard: Mutex::new(Guard::new(clock.now(), guard_limits(&settings))),
        wall: Mutex::new(WallClock::default()),
        skews: Mutex::new(vec![ClockSkew::default(); settings.webhook.senders.len()]),
        check_permits: smol::lock::Semaphore::new(
            std::thread::available_parallelism().map_or(1, |n| n.get()),
        ),
        inputs,
        clock,
        metrics: metrics.clone(),
        request_id_prefix: format!("{:x}-{:x}", router_settings.my_number, clock.now() / 1000),
        next_request: AtomicU64::new(0),
        open_connections: AtomicUsize::new(0),
        capacity_changed,
        capacity_changes,
        stopping: AtomicBool::new(false),
    });
    let config_report: Arc<Mutex<Vec<Report>>> = Arc::default();
    if let (Some(control_settings), Some(FollowOptions { file, stored })) = (&settings.control, follow) {
        let timing = ConfigFollower::timing(control_settings);
        let (client, ..) = Client::new(
            (control_settings.name.clone(), control_settings.cluster.clone()),
            file,
            stored,
            timing,
        )
        .map_err(ServeError::Settings)?;
        let follower = ConfigFollower {
            settings: control_settings.clone(),
            folder: folder.clone(),
            clock,
            front: front.clone(),
            runners: runners.clone(),
            engine: control.clone(),
            shares: shares.clone(),
            zones: zones.clone(),
            listed_runners,
            report: config_report.clone(),
            unanswered_log: Default::default(),
        };
        tasks.push(smol::spawn(follower.run(client)));
    }
    let mut metrics_address = None;
    if let Some(address) = settings.metrics {
        let (listener, bound) = bind(address).await?;
        metrics_address = Some(bound);
        let (front, gauge) = (front.clone(), metrics.clone());
        let health: metrics::Health = Arc::new(move || {
            if front.stopping.load(Ordering::Relaxed) {
                (503, "stopping\n")
            } else if gauge.runners.get() == 0 {
                (503, "no runner is ready\n")
            } else {
                (200, "ready\n")
            }
        });
        let reporters = (shares.clone(), zones.clone());
        let fleet: metrics::FleetReport = Arc::new(move || {
            let (shares, zones) = &reporters;
            if shares.is_none() && zones.is_none() {
                return None;
            }
            let (shares, zones) = (shares.as_ref().map(|s| s.report()), zones.as_ref().map(|z| z.report()));
            Some(serde_json::json!({ "shares": shares, "zones": zones }))
        });
        tasks.push(smol::spawn(metrics::serve(listener, metrics, health, config_report, fleet)));
    }
    let accepting = smol::spawn(front.clone().listen(listener));
    tracing::info!(%webhook, number = router_settings.my_number, "serving");
    let stop_timeout = settings.stop_timeout;
    Ok(Running {
        runners,
        shares,
        zones,
        folder,
        webhook,
        metrics: metrics_address,
        front,
        control,
        ended,
        unanswered,
        stop_timeout,
        accepting,
        _tasks: tasks,
    })
}

impl Running {
    /// Returns a function that reloads the key files and certificates. It applies all or none: if one is
    /// invalid, nothing changes and the problems are returned. `reread` reads the settings again, of which
    /// these parts are applied: the senders' secrets and callbacks, the guard, budgets, zone directives,
    /// certificates and the runners' key. Without it the settings stay unchanged.
    pub fn reloader(
        &self,
        reread: Option<SettingsReader>,
    ) -> impl Fn() -> Result<(), Vec<badgerwind_settings::Problem>> + Send + 'static {
        let (front, runners, folder) = (self.front.clone(), self.runners.clone(), self.folder.clone());
        let (shares, zones) = (self.shares.clone(), self.zones.clone());
        move || {
            let config = front.config();
            let settings = match &reread {
                None => config.settings.clone(),
                Some(reread) => Arc::new(merge_reloadable(&config.settings, reread()?)?),
            };
            let secrets = crate::secrets::load("settings", &folder, &settings)?;
            if let (Some(shares), Some(budgets)) = (&shares, &settings.budgets) {
                shares.apply_limits(budgets).map_err(|e| vec![budgets_problem(budgets, &e)])?;
            }
            if let (Some(zones), Some(leaving)) = (&zones, &settings.leaving) {
                zones.set_directives(leaving);
            }
            runners.update(settings.clone(), secrets.runners, secrets.runners_tls);
            front.set_config(FrontConfig {
                settings,
                rings: secrets.rings,
                callbacks: secrets.callbacks,
                tls: secrets.senders_tls,
                module: config.module,
            });
            Ok(())
        }
    }

    /// Serves until `stop` completes, then shuts down gracefully: no new call is accepted, and open calls are
    /// answered by the module. Calls still open when the stop timeout ends or `now` completes are answered as
    /// failed.
    pub async fn serve_until(
        self,
        stop: impl std::future::Future<Output = ()>,
        now: impl std::future::Future<Output = ()>,
    ) -> Stopped {
        let Running { front, control, ended, unanswered, stop_timeout, accepting, shares, _tasks, .. } = self;
        let stopped = |end: Result<EngineEnd, async_channel::RecvError>| match end {
            Ok(EngineEnd::ModuleFailed(text)) => Stopped::ModuleFailed(text),
            Ok(EngineEnd::Stopped) => Stopped::Orderly,
            Err(_) => Stopped::ModuleFailed("the engine's thread has ended".into()),
        };
        let stop_requested = async {
            stop.await;
            None
        };
        if let Some(end) = async { Some(stopped(ended.recv().await)) }.or(stop_requested).await {
            // Every call has been answered; leave time for the answers to be written.
            Timer::after(FINAL_WRITE_TIME).await;
            return end;
        }
        front.stopping.store(true, Ordering::Relaxed);
        drop(accepting);
        if let Some(shares) = &shares {
            shares.leave();
        }
        tracing::info!(owed = unanswered.load(Ordering::Relaxed), "stopping");
        let deadline = Instant::now() + stop_timeout;
        let idle = async {
            // A call accepted by a front reaches the engine within a round, so the count must be zero twice
            // in a row.
            let mut zero_counts = 0;
            while zero_counts < 2 && Instant::now() < deadline {
                Timer::after(Duration::from_millis(20)).await;
                zero_counts = if unanswered.load(Ordering::Relaxed) == 0 { zero_counts + 1 } else { 0 };
            }
            None
        };
        let immediate = async {
            now.await;
            None
        };
        let engine_ended = async { Some(stopped(ended.recv().await)) };
        if let Some(end) = idle.or(immediate).or(engine_ended).await {
            Timer::after(FINAL_WRITE_TIME).await;
            return end;
        }
        let _ = control.send(Control::Stop).await;
        let end = stopped(ended.recv().await);
        Timer::after(FINAL_WRITE_TIME).await;
        end
    }
}
