//! The daemon put together: listeners, engine, clients, and an orderly stop.

use crate::answers_due::AnswersDue;
use crate::clock::Clock;
use crate::control::{Follower, Following};
use crate::dispatch::Dispatch;
use crate::engine::{Control, Engine, EngineEnd, Terms};
use crate::front::{bounds, guard_bounds, Counts, Front, Rules};
use crate::list::Lister;
use crate::metrics::{self, Metrics};
use crate::peers::Peers;
use crate::runners::Runners;
use crate::secrets::Secrets;
use crate::shares::Shares;
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
use badgerwind_webhook::{Replay, Skew, Wall};
use futures_lite::FutureExt;
use smol::net::TcpListener;
use smol::{Async, Timer};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// Changes a list before it is told; for tests that blind a front end to something.
pub type ListFilter = fn(&mut List);

/// What a daemon is started with.
pub struct Options {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Its keys.
    pub secrets: Secrets,
    /// The folder from which relative files count.
    pub folder: PathBuf,
    /// `None` in service.
    pub list_filter: Option<ListFilter>,
    /// The control service to follow, where the settings name one.
    pub following: Option<Following>,
    /// In place of the module; `None` in service.
    pub decider: Option<Box<dyn Decider + Send>>,
}

impl Options {
    /// As in service.
    pub fn new(settings: Arc<Settings>, secrets: Secrets, folder: PathBuf) -> Self {
        Options { settings, secrets, folder, list_filter: None, following: None, decider: None }
    }
}

/// Reads the settings anew.
pub type Reread = Box<dyn Fn() -> Result<Settings, Vec<Problem>> + Send + Sync>;

/// The settings that run, with what names keys from others. Calls know their sender by its place, so the senders
/// must be the same in the same order.
fn take_over(running: &Settings, from: Settings) -> Result<Settings, Vec<Problem>> {
    let names =
        |s: &Settings| s.webhook.senders.iter().map(|s| (s.name.clone(), s.tenant)).collect::<Vec<_>>();
    if names(running) != names(&from) {
        return Err(vec![Problem {
            file: "settings".into(),
            line: 1,
            element: "webhook".into(),
            message: "other senders than those that run".into(),
            remedy: "restart, or offer them as a version of the routes; keys are then read again".into(),
        }]);
    }
    let mut settings = running.clone();
    settings.webhook.senders = from.webhook.senders;
    settings.webhook.guard = from.webhook.guard;
    // TLS begins or ends with a restart: it would cut off whoever has not heard.
    if settings.webhook.tls.is_some() && from.webhook.tls.is_some() {
        settings.webhook.tls = from.webhook.tls;
    }
    if settings.runners.tls.is_some() && from.runners.tls.is_some() {
        settings.runners.tls = from.runners.tls;
    }
    (settings.runners.key_file, settings.runners.line) = (from.runners.key_file, from.runners.line);
    // Budgets begin or end with a restart; while they run, their limits may change.
    if settings.budgets.is_some() && from.budgets.is_some() {
        settings.budgets = from.budgets;
    }
    // Of zones only an operator's words; they are by place, so the zones must be the same.
    if let (Some(own), Some(theirs)) = (&mut settings.leaving, from.leaving) {
        if settings.zones == from.zones {
            own.directives = theirs.directives;
        }
    }
    Ok(settings)
}

/// Budgets that cannot follow those that run.
fn unfit(budgets: &badgerwind_settings::Budgets, e: &badgerwind_budgets::SettingsError) -> Problem {
    Problem {
        file: "settings".into(),
        line: budgets.line,
        element: "budgets".into(),
        message: e.to_string(),
        remedy: "count version up and change units alone; for all else restart the front ends".into(),
    }
}

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The settings do not hold together.
    #[error("the settings cannot be used: {}", .0.first().map_or(String::new(), ToString::to_string))]
    Settings(Vec<badgerwind_settings::Problem>),
    /// A thread could not be started.
    #[error("cannot start the engine's thread: {0}")]
    Thread(std::io::Error),
}

/// How a daemon ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Stopped {
    /// Asked to, and everything was answered.
    Orderly,
    /// The decision module failed; everything was answered as failed.
    ModuleFailed(String),
}

/// A daemon at work.
pub struct Running {
    /// Where webhooks come in.
    pub webhook: SocketAddr,
    /// Where figures are served.
    pub metrics: Option<SocketAddr>,
    front: Arc<Front>,
    runners: Arc<Runners>,
    shares: Option<Arc<Shares>>,
    zones: Option<Arc<Zones>>,
    folder: PathBuf,
    control: Sender<Control>,
    ended: Receiver<EngineEnd>,
    owed: Arc<AtomicUsize>,
    within: Duration,
    accepting: smol::Task<()>,
    _tasks: Vec<smol::Task<()>>,
}

/// Inputs that wait for the engine; beyond them whoever brings one waits.
const INPUTS: usize = 8192;
/// How long answers already given may take to be written at the end.
const LAST_WORDS: Duration = Duration::from_millis(200);

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), ServeError> {
    let failed = |error| ServeError::Listen { address, error };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Starts a daemon; it serves once this returns.
pub async fn serve(options: Options) -> Result<Running, ServeError> {
    let Options { settings, secrets, folder, list_filter, following, decider } = options;
    let (clock, metrics) = (Clock::start(), Arc::new(Metrics::new()));
    let set = &settings.router;
    let (listener, webhook) = bind(settings.webhook.listen).await?;
    let (report, inputs) = async_channel::bounded(INPUTS);
    let (control, controls) = async_channel::bounded(4);
    let (ask_list, list_calls) = async_channel::bounded(64);
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
            Some(Arc::new(Peers { socket, key, number: set.my_number, peers, counter }))
        }
        _ => None,
    };
    let shares = peers
        .as_ref()
        .and_then(|p| Shares::new(&settings, clock, p.clone(), report.clone(), metrics.clone()));
    let zones = peers
        .as_ref()
        .and_then(|p| Zones::new(&settings, clock, p.clone(), runners.clone(), metrics.clone()));
    if let Some(peers) = peers.clone() {
        let (report, shares, zones) = (report.clone(), shares.clone(), zones.clone());
        tasks.push(smol::spawn(async move { peers.listen(report, shares, zones).await }));
    }
    // Where zones may be left, the list passes through there: one task tells the engine all that it hears of runners.
    let lists = match zones.clone() {
        Some(zones) => {
            let (lists, listed) = async_channel::bounded(16);
            tasks.push(smol::spawn(zones.run(listed, report.clone())));
            lists
        }
        None => report.clone(),
    };
    if let Some(shares) = shares.clone() {
        tasks.push(smol::spawn(shares.run()));
    }
    let listed: Arc<Mutex<Vec<WorkerEntry>>> = Arc::default();
    let lister = Lister {
        settings: settings.clone(),
        cache: settings.list.cache.as_ref().map(|c| folder.join(c)),
        filter: list_filter,
        runners: runners.clone(),
        metrics: metrics.clone(),
        report: lists,
        calls: list_calls,
        listed: listed.clone(),
    };
    tasks.push(smol::spawn(lister.run()));

    let owed = Arc::new(AtomicUsize::new(0));
    let lag: Arc<Mutex<badgerwind_driver::Lag>> = Arc::default();
    let backend = Dispatch {
        clock,
        report: report.clone(),
        runners: runners.clone(),
        peers,
        ask_list,
        metrics: metrics.clone(),
        attempts: Default::default(),
        shares: shares.clone(),
        zones: zones.clone(),
    };
    let engine = Engine { clock, inputs, control: controls, owed: owed.clone(), lag: lag.clone(), backend };
    let seed = if settings.seed == 0 { fastrand::u64(..) } else { settings.seed };
    let decider = decider.unwrap_or_else(|| Box::new(Router::new(seed, set.clone())));
    let (end, ended) = async_channel::bounded(1);
    let terms = Terms::new(driver_limits(&settings), set);
    let thread = std::thread::Builder::new().name("engine".into());
    thread
        .spawn(move || {
            // Dropping the channel tells of an engine that ended in any other way.
            let _ = end.try_send(smol::block_on(engine.run(decider, terms)));
        })
        .map_err(ServeError::Thread)?;

    let (freed, free) = async_channel::bounded(1);
    let rules = Rules {
        settings: settings.clone(),
        rings: secrets.rings,
        callbacks: secrets.callbacks,
        tls: secrets.senders_tls,
        module: 0,
    };
    let front = Arc::new(Front {
        answers_due: AnswersDue::default(),
        rules: RwLock::new(Arc::new(rules)),
        recent: Mutex::default(),
        counts: Counts::default(),
        owed: Arc::default(),
        replay: Mutex::new(Replay::new(bounds(&settings))),
        lag,
        guard: Mutex::new(Guard::new(clock.now(), guard_bounds(&settings))),
        wall: Mutex::new(Wall::default()),
        skews: Mutex::new(vec![Skew::default(); settings.webhook.senders.len()]),
        checks: smol::lock::Semaphore::new(std::thread::available_parallelism().map_or(1, |n| n.get())),
        inputs: report,
        clock,
        metrics: metrics.clone(),
        life: format!("{:x}-{:x}", set.my_number, clock.now() / 1000),
        next: AtomicU64::new(0),
        open: AtomicUsize::new(0),
        freed,
        free,
        stopping: AtomicBool::new(false),
    });
    let config: Arc<Mutex<Vec<Report>>> = Arc::default();
    if let (Some(c), Some(Following { file, kept })) = (&settings.control, following) {
        let times = Follower::times(c);
        let (client, ..) = Client::new((c.name.clone(), c.cluster.clone()), file, kept, times)
            .map_err(ServeError::Settings)?;
        let follower = Follower {
            settings: c.clone(),
            folder: folder.clone(),
            clock,
            front: front.clone(),
            runners: runners.clone(),
            engine: control.clone(),
            shares: shares.clone(),
            zones: zones.clone(),
            listed,
            report: config.clone(),
            unanswered: Default::default(),
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
        let told = (shares.clone(), zones.clone());
        let fleet: metrics::FleetReport = Arc::new(move || {
            let (shares, zones) = &told;
            if shares.is_none() && zones.is_none() {
                return None;
            }
            let (shares, zones) = (shares.as_ref().map(|s| s.report()), zones.as_ref().map(|z| z.report()));
            Some(serde_json::json!({ "shares": shares, "zones": zones }))
        });
        tasks.push(smol::spawn(metrics::serve(listener, metrics, health, config, fleet)));
    }
    let accepting = smol::spawn(front.clone().listen(listener));
    tracing::info!(%webhook, number = set.my_number, "serving");
    let within = settings.stop_timeout;
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
        owed,
        within,
        accepting,
        _tasks: tasks,
    })
}

impl Running {
    /// Reads the key files and certificates again, all or none: where one cannot be used, all stay as they are and the
    /// problems come back. `reread` brings the settings anew, of which the parts that name keys are taken over:
    /// senders' secrets and callbacks, budgets, certificates, the runners' key; without it the settings stay.
    pub fn reloader(
        &self,
        reread: Option<Reread>,
    ) -> impl Fn() -> Result<(), Vec<badgerwind_settings::Problem>> + Send + 'static {
        let (front, runners, folder) = (self.front.clone(), self.runners.clone(), self.folder.clone());
        let (shares, zones) = (self.shares.clone(), self.zones.clone());
        move || {
            let rules = front.rules();
            let settings = match &reread {
                None => rules.settings.clone(),
                Some(reread) => Arc::new(take_over(&rules.settings, reread()?)?),
            };
            let secrets = crate::secrets::load("settings", &folder, &settings)?;
            if let (Some(shares), Some(budgets)) = (&shares, &settings.budgets) {
                shares.change(budgets).map_err(|e| vec![unfit(budgets, &e)])?;
            }
            if let (Some(zones), Some(leaving)) = (&zones, &settings.leaving) {
                zones.change(leaving);
            }
            runners.change(settings.clone(), secrets.runners, secrets.runners_tls);
            front.change(Rules {
                settings,
                rings: secrets.rings,
                callbacks: secrets.callbacks,
                tls: secrets.senders_tls,
                module: rules.module,
            });
            Ok(())
        }
    }

    /// Serves until `stop` ends, then stops in an orderly way: nothing new is taken, what is owed is answered by
    /// the module or, when the time for that is up or `now` ends, failed.
    pub async fn until(
        self,
        stop: impl std::future::Future<Output = ()>,
        now: impl std::future::Future<Output = ()>,
    ) -> Stopped {
        let Running { front, control, ended, owed, within, accepting, shares, _tasks, .. } = self;
        let failed = |end: Result<EngineEnd, async_channel::RecvError>| match end {
            Ok(EngineEnd::ModuleFailed(text)) => Stopped::ModuleFailed(text),
            Ok(EngineEnd::Asked) => Stopped::Orderly,
            Err(_) => Stopped::ModuleFailed("the engine's thread has ended".into()),
        };
        let asked = async {
            stop.await;
            None
        };
        if let Some(end) = async { Some(failed(ended.recv().await)) }.or(asked).await {
            // Every sender has its answer; let it be written.
            Timer::after(LAST_WORDS).await;
            return end;
        }
        front.stopping.store(true, Ordering::Relaxed);
        drop(accepting);
        if let Some(shares) = &shares {
            shares.leave();
        }
        tracing::info!(owed = owed.load(Ordering::Relaxed), "stopping");
        let until = Instant::now() + within;
        let idle = async {
            // What a front has taken reaches the engine within a round; two quiet looks in a row end the wait.
            let mut quiet = 0;
            while quiet < 2 && Instant::now() < until {
                Timer::after(Duration::from_millis(20)).await;
                quiet = if owed.load(Ordering::Relaxed) == 0 { quiet + 1 } else { 0 };
            }
            None
        };
        let at_once = async {
            now.await;
            None
        };
        let broke = async { Some(failed(ended.recv().await)) };
        if let Some(end) = idle.or(at_once).or(broke).await {
            Timer::after(LAST_WORDS).await;
            return end;
        }
        let _ = control.send(Control::End).await;
        let end = failed(ended.recv().await);
        Timer::after(LAST_WORDS).await;
        end
    }
}
