//! The platform front: connects the engine and the driver to web servers, by FastCGI, and to executors, by
//! their line protocol, on one thread. Routing and retries are decided by the driver and its module.

mod accept;
mod client_memory;
mod clients;
mod connection;
mod discovery;
mod executors;
mod freshness;
mod log_limits;
mod runtime;
mod stream;

use crate::clock::Clock;
use crate::engine::{Control, Engine, EngineEnd, ModuleSettings};
use async_signal::{Signal, Signals};
use badgerwind::Router;
use badgerwind_driver::{Decider, Limits};
use badgerwind_platform::config::{self, Config, ConfigError};
use badgerwind_platform::discovery::EventFollower;
use discovery::Discovery;
use futures_lite::{FutureExt, StreamExt};
use runtime::{PlatformBackend, Runtime};
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use stream::is_descriptor_limit;

/// How long requests are still accepted after SIGTERM: the time given on the PROTOCOL page, "Figures", and a
/// margin.
const LATE_REQUEST_TIME: Duration = Duration::from_millis(750);
/// The process ends this long after SIGTERM plus the longest deadline, even with open requests. By then the
/// last request has had its full deadline; SIGKILL, after which nothing is answered, follows 0.1 s later.
const STOP_GRACE: Duration = Duration::from_millis(600);
/// The platform derives the time of SIGKILL from the longest deadline, up to this much (PROTOCOL page,
/// "Figures").
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Most connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Most client connections closed to free a descriptor for reading the configuration. SIGTERM is not handled
/// meanwhile, so all pauses together must stay within the 0.1 s that [`STOP_GRACE`] leaves.
const MAX_EVICTIONS: usize = 5;
/// How long closing a connection may take before the configuration is read again.
const EVICTION_PAUSE: Duration = Duration::from_millis(10);
/// Interval of the checks for idle connections and stale data.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// What a platform front end is started with.
pub struct PlatformOptions {
    /// The configuration file, read again on SIGHUP.
    pub config: PathBuf,
    /// Where to listen, instead of the configuration's address.
    pub listen: Option<SocketAddr>,
}

/// Why a platform front end could not serve, or has ended.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The configuration cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// The file.
        file: String,
        /// Why.
        error: std::io::Error,
    },
    /// The configuration is invalid.
    #[error("{file}: {error}")]
    Config {
        /// The file.
        file: String,
        /// What is wrong.
        error: ConfigError,
    },
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The message socket, the listener or the signal handlers could not be set up.
    #[error("cannot start: {0}")]
    Start(std::io::Error),
    /// The decision module has failed; all open requests were answered as failed.
    #[error("the decision module failed: {0}")]
    ModuleFailed(String),
}

fn load(path: &Path) -> Result<Config, PlatformError> {
    let file = || path.display().to_string();
    let text = std::fs::read(path).map_err(|error| PlatformError::Read { file: file(), error })?;
    config::parse(&text).map_err(|error| PlatformError::Config { file: file(), error })
}

/// The driver's limits. Probes may take as long as establishing a connection; a cancellation is confirmed in
/// the batch in which its line is written.
fn limits(config: &Config, max_calls: usize) -> Limits {
    let router = &config.router;
    Limits {
        max_calls,
        max_attempts: router.max_attempts,
        order_timeout: router.order_timeout,
        probe_timeout: config.transport.connect_timeout,
        cancel_timeout: config.transport.connect_timeout,
        answer_slack: router.answer_slack,
    }
}

/// Serves until SIGTERM.
pub fn serve_platform(options: &PlatformOptions) -> Result<(), PlatformError> {
    let config = load(&options.config)?;
    let clock = Clock::start();
    let (inputs, input_receiver) = async_channel::unbounded();
    let runtime = Runtime::new(&config, clock, inputs).map_err(PlatformError::Start)?;
    let address = options.listen.unwrap_or(config.listen);
    let listener = Async::<TcpListener>::bind(address);
    let listener = Rc::new(listener.map_err(|error| PlatformError::Listen { address, error })?);
    // The library's backlog of 128 overflows while hundreds of clients connect and another process has the
    // core. A connection dropped there is retried a second later.
    rustix::net::listen(listener.get_ref(), LISTEN_BACKLOG).map_err(|e| PlatformError::Start(e.into()))?;
    let address = listener.get_ref().local_addr().map_err(PlatformError::Start)?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(PlatformError::Start)?;
    let (control, control_receiver) = async_channel::bounded(4);
    let engine = Engine {
        clock,
        inputs: input_receiver,
        control: control_receiver,
        unanswered: Arc::default(),
        lag: Arc::default(),
        backend: PlatformBackend(runtime.clone()),
    };
    let decider: Box<dyn Decider + Send> = Box::new(Router::new(config.seed, config.router.clone()));
    let settings = ModuleSettings::new(limits(&config, runtime.shares.open_requests), &config.router);
    config.known.iter().for_each(|update| runtime.on_list_update(update));
    let discovery = Rc::new(Discovery {
        address: Cell::new(config.discovery),
        changed: Default::default(),
        follower: RefCell::new(EventFollower::new(config.last_event)),
        name_counts: config.name_counts(),
    });
    let tasks = &runtime.tasks;
    tasks.spawn(runtime.clone().follow_discovery(discovery.clone())).detach();
    tasks.spawn(runtime.clone().run_maintenance()).detach();
    let peer_runtime = runtime.clone();
    tasks
        .spawn(async move {
            if let Some(peers) = &peer_runtime.peers {
                peers.listen(&peer_runtime).await;
            }
        })
        .detach();
    let accepting = tasks.spawn(runtime.clone().accept(listener.clone()));
    let longest = config.router.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    tracing::info!(name = %config.name, %address, sockets = config.limits.sockets, "serving");
    let running_config = Config { known: Vec::new(), ..config };
    let ended = tasks.spawn(engine.run(decider, settings));
    let mut signals = signals;
    let stop = async {
        runtime.handle_signals(&mut signals, (&options.config, &running_config), &discovery).await;
        let longest = Duration::from_micros(longest).min(MAX_DEADLINE);
        let further_signals = async {
            // Further signals do not shorten the shutdown: accepted requests must still be answered.
            while let Some(signal) = signals.next().await {
                tracing::info!(?signal, "stopping already");
            }
            futures_lite::future::pending().await
        };
        runtime.stop((accepting, listener), longest).or(further_signals).await;
        let _ = control.send(Control::Stop).await;
        futures_lite::future::pending::<EngineEnd>().await
    };
    let end = smol::block_on(tasks.run(ended.or(stop)));
    runtime.clients.flush();
    match end {
        EngineEnd::Stopped => Ok(()),
        EngineEnd::ModuleFailed(text) => Err(PlatformError::ModuleFailed(text)),
    }
}

impl Runtime {
    async fn run_maintenance(self: Rc<Self>) {
        loop {
            Timer::after(MAINTENANCE_INTERVAL).await;
            let now = self.clock.now();
            self.clients.maintain(&self, now);
            self.executors.maintain(&self, now);
            self.maintain_freshness();
        }
    }

    /// Handles SIGHUP until SIGTERM or SIGINT arrives.
    async fn handle_signals(
        &self,
        signals: &mut Signals,
        (path, running_config): (&Path, &Config),
        discovery: &Discovery,
    ) {
        while let Some(signal) = signals.next().await {
            if !matches!(signal, Ok(Signal::Hup)) {
                return;
            }
            let file = || path.display().to_string();
            let reloaded = self.load_evicting_clients(path).await.and_then(|new| {
                let changes = running_config
                    .changed_sections(&new)
                    .map_err(|error| PlatformError::Config { file: file(), error })?;
                Ok((new.discovery, changes))
            });
            match reloaded {
                Ok((address, changes)) => {
                    tracing::info!(board = %address, "configuration reloaded: the address of service discovery is applied");
                    if !changes.is_empty() {
                        let sections = changes.join(", ");
                        tracing::warn!(
                            "{}: {sections} changed as well; these apply from the next start on",
                            file()
                        );
                    }
                    discovery.address.set(address);
                    discovery.changed.notify();
                }
                Err(e) => tracing::error!("the configuration stays as it was: {e}"),
            }
        }
    }

    /// Reads a configuration. If no descriptor is free for its file, idle client connections are closed,
    /// since the signal that announces a new address of service discovery is sent only once.
    async fn load_evicting_clients(&self, path: &Path) -> Result<Config, PlatformError> {
        for _ in 0..MAX_EVICTIONS {
            match load(path) {
                Err(PlatformError::Read { error, .. }) if is_descriptor_limit(&error) => {
                    _ = self.clients.evict(self)
                }
                other => return other,
            }
            Timer::after(EVICTION_PAUSE).await;
        }
        load(path)
    }

    /// Answers late and open requests until none is open or the time limit has passed.
    async fn stop(
        self: &Rc<Self>,
        (accepting, listener): (smol::Task<()>, Rc<Async<TcpListener>>),
        longest: Duration,
    ) {
        self.stopping.set(true);
        let started = Instant::now();
        tracing::info!(open = self.clients.open_requests(), "stopping");
        Timer::after(LATE_REQUEST_TIME).await;
        // Connections that the operating system has established by now are in time, even if this process has
        // not run since.
        self.accept_all(&listener).await;
        drop((accepting, listener));
        self.clients.read_all(self);
        self.intake_closed.set(true);
        while (self.clients.open_requests() > 0 || !self.clients.all_sent())
            && started.elapsed() < longest + STOP_GRACE
        {
            Timer::after(Duration::from_millis(10)).await;
        }
        // Requests that arrived too late are refused instead of left without an answer.
        self.clients.read_all(self);
        self.reading_ended.set(true);
        tracing::info!(open = self.clients.open_requests(), took = ?started.elapsed(), "stopped");
    }
}
