//! The platform front: the same engine and driver, with web servers' FastCGI on one side and executors' lines on the
//! other, all on one thread. Nothing here decides where a call goes or whether it is tried again.

mod clients;
mod complaints;
mod connection;
mod discovery;
mod executors;
mod freshness;
mod shell;
mod wire;

use crate::clock::Clock;
use crate::engine::{Control, Engine, EngineEnd, Terms};
use async_signal::{Signal, Signals};
use badgerwind::Router;
use badgerwind_driver::{Decider, Limits};
use badgerwind_platform::config::{self, Config, ConfigError};
use badgerwind_platform::discovery::Follower;
use discovery::Discovery;
use futures_lite::{FutureExt, StreamExt};
use shell::{Platform, Shell};
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::is_short;

/// How long requests still come after SIGTERM (PROTOCOL page, "Figures"), and a little more.
const LATE_ARRIVALS: Duration = Duration::from_millis(750);
/// The end comes so long after SIGTERM and the longest deadline, whatever is still open: what came last has had its time by
/// then, and SIGKILL, which answers nobody, comes 0.1 s later.
const LAST_WORD: Duration = Duration::from_millis(600);
/// A longer deadline counts as this much where SIGKILL is told by it (PROTOCOL page, "Figures").
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// Connections that may wait to be accepted.
const QUEUE: i32 = 1024;
/// Clients that may give way for one reading of the configuration, and how long the end of one takes. SIGTERM waits meanwhile, and
/// all of it has to pass within the 0.1 s that [`LAST_WORD`] leaves.
const MOST_EVICTED: usize = 5;
const EVICTION: Duration = Duration::from_millis(10);
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(250);

/// What a platform front end is started with.
pub struct PlatformOptions {
    /// The configuration file, read again on SIGHUP.
    pub config: PathBuf,
    /// Where to listen, in place of the configuration's word.
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
    /// It cannot be used.
    #[error("{file}: {error}")]
    Config {
        /// The file.
        file: String,
        /// What is wrong.
        error: ConfigError,
    },
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// Messages or signals cannot be heard.
    #[error("cannot start: {0}")]
    Start(std::io::Error),
    /// The decision module has failed; everything was answered as failed.
    #[error("the decision module failed: {0}")]
    ModuleFailed(String),
}

fn load(path: &Path) -> Result<Config, PlatformError> {
    let file = || path.display().to_string();
    let text = std::fs::read(path).map_err(|error| PlatformError::Read { file: file(), error })?;
    config::read(&text).map_err(|error| PlatformError::Config { file: file(), error })
}

/// What the driver is bounded by. A probe takes no longer than a connection may take to come up; a call-off is
/// confirmed in the batch in which its line goes out.
fn limits(config: &Config, most_held: usize) -> Limits {
    let set = &config.router;
    Limits {
        max_calls: most_held,
        max_attempts: set.max_attempts,
        order_timeout: set.order_timeout,
        probe_timeout: config.transport.connect_timeout,
        cancel_timeout: config.transport.connect_timeout,
        answer_slack: set.answer_slack,
    }
}

/// Serves until SIGTERM.
pub fn serve_platform(options: &PlatformOptions) -> Result<(), PlatformError> {
    let config = load(&options.config)?;
    let clock = Clock::start();
    let (inputs, from_shell) = async_channel::unbounded();
    let shell = Shell::new(&config, clock, inputs).map_err(PlatformError::Start)?;
    let address = options.listen.unwrap_or(config.listen);
    let listener = Async::<TcpListener>::bind(address);
    let listener = Rc::new(listener.map_err(|error| PlatformError::Listen { address, error })?);
    // The library's queue of 128 overflows while hundreds connect and the core is another's; a connection turned away there
    // comes back a second later.
    rustix::net::listen(listener.get_ref(), QUEUE).map_err(|e| PlatformError::Start(e.into()))?;
    let address = listener.get_ref().local_addr().map_err(PlatformError::Start)?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(PlatformError::Start)?;
    let (control, controls) = async_channel::bounded(4);
    let engine = Engine {
        clock,
        inputs: from_shell,
        control: controls,
        owed: Arc::default(),
        lag: Arc::default(),
        backend: Platform(shell.clone()),
    };
    let decider: Box<dyn Decider + Send> = Box::new(Router::new(config.seed, config.router.clone()));
    let terms = Terms::new(limits(&config, shell.shares.open_requests), &config.router);
    config.known.iter().for_each(|n| shell.news(n));
    let discovery = Rc::new(Discovery {
        address: Cell::new(config.discovery),
        changed: Default::default(),
        follower: RefCell::new(Follower::new(config.last_event)),
        places: config.name_counts(),
    });
    let tasks = &shell.tasks;
    tasks.spawn(shell.clone().follow(discovery.clone())).detach();
    tasks.spawn(shell.clone().sweeps()).detach();
    let hear = shell.clone();
    tasks
        .spawn(async move {
            if let Some(peers) = &hear.peers {
                peers.listen(&hear).await;
            }
        })
        .detach();
    let accepting = tasks.spawn(shell.clone().accept(listener.clone()));
    let longest = config.router.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    tracing::info!(name = %config.name, %address, sockets = config.limits.sockets, "serving");
    let ours = Config { known: Vec::new(), ..config };
    let ended = tasks.spawn(engine.run(decider, terms));
    let mut signals = signals;
    let stop = async {
        shell.signals(&mut signals, (&options.config, &ours), &discovery).await;
        let longest = Duration::from_micros(longest).min(LONGEST_DEADLINE);
        let further = async {
            // One that is told twice to stop stops no sooner: what it took is still owed.
            while let Some(signal) = signals.next().await {
                tracing::info!(?signal, "stopping already");
            }
            futures_lite::future::pending().await
        };
        shell.stop((accepting, listener), longest).or(further).await;
        let _ = control.send(Control::End).await;
        futures_lite::future::pending::<EngineEnd>().await
    };
    let end = smol::block_on(tasks.run(ended.or(stop)));
    shell.clients.flush();
    match end {
        EngineEnd::Asked => Ok(()),
        EngineEnd::ModuleFailed(text) => Err(PlatformError::ModuleFailed(text)),
    }
}

impl Shell {
    async fn sweeps(self: Rc<Self>) {
        loop {
            Timer::after(SWEEP).await;
            let now = self.clock.now();
            self.clients.sweep(&self, now);
            self.executors.sweep(&self, now);
            self.sweep_freshness();
        }
    }

    /// Takes SIGHUP until SIGTERM or SIGINT comes.
    async fn signals(&self, signals: &mut Signals, (path, ours): (&Path, &Config), discovery: &Discovery) {
        while let Some(signal) = signals.next().await {
            if !matches!(signal, Ok(Signal::Hup)) {
                return;
            }
            let file = || path.display().to_string();
            let read = self.load_with_room(path).await.and_then(|new| {
                let changes = ours
                    .changed_sections(&new)
                    .map_err(|error| PlatformError::Config { file: file(), error })?;
                Ok((new.discovery, changes))
            });
            match read {
                Ok((address, changes)) => {
                    tracing::info!(board = %address, "the configuration was read again: the address of service discovery is taken over");
                    if !changes.is_empty() {
                        let what = changes.join(", ");
                        tracing::warn!(
                            "{}: {what} changed as well; these hold from the next start on",
                            file()
                        );
                    }
                    discovery.address.set(address);
                    discovery.changed.tell();
                }
                Err(e) => tracing::error!("the configuration stays as it was: {e}"),
            }
        }
    }

    /// Reads a configuration. Where no descriptor is to be had for its file, clients that only hold theirs give them up: the
    /// address of service discovery is told once.
    async fn load_with_room(&self, path: &Path) -> Result<Config, PlatformError> {
        for _ in 0..MOST_EVICTED {
            match load(path) {
                Err(PlatformError::Read { error, .. }) if is_short(&error) => _ = self.clients.evict(self),
                other => return other,
            }
            Timer::after(EVICTION).await;
        }
        load(path)
    }

    /// Answers what still comes and what is open, until nothing is or the time is up.
    async fn stop(
        self: &Rc<Self>,
        (accepting, listener): (smol::Task<()>, Rc<Async<TcpListener>>),
        longest: Duration,
    ) {
        self.stopping.set(true);
        let began = Instant::now();
        tracing::info!(open = self.clients.open(), "stopping");
        Timer::after(LATE_ARRIVALS).await;
        // What the machine took in by now came in time, whether or not this process has had its turn since.
        self.let_in_all(&listener).await;
        drop((accepting, listener));
        self.clients.read_all(self);
        self.closed.set(true);
        while (self.clients.open() > 0 || !self.clients.all_sent()) && began.elapsed() < longest + LAST_WORD {
            Timer::after(Duration::from_millis(10)).await;
        }
        // What came too late is told so, rather than left without a word.
        self.clients.read_all(self);
        tracing::info!(open = self.clients.open(), took = ?began.elapsed(), "stopped");
    }
}
