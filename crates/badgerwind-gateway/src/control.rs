//! The configuration stream at the front end: questions over HTTP, keys and shadow tried on a thread of their own,
//! the set that runs kept on disk, changes handed to front, runners and engine. What to do is decided in
//! `badgerwind-config`.

use crate::clock::Clock;
use crate::engine::{Control, Terms};
use crate::front::{Front, Rules};
use crate::log_limit::LogLimit;
use crate::runners::Runners;
use crate::secrets;
use crate::shares::Shares;
use crate::zones::Zones;
use async_channel::{Receiver, Sender};
use badgerwind::interface::WorkerEntry;
use badgerwind::Router;
use badgerwind_config::client::{Action, Client, Input, Timing};
use badgerwind_config::parts::{Kind, Part};
use badgerwind_config::shadow::{driver_limits, replay, RecordedCall};
use badgerwind_config::wire::{DiscoveryRequest, DiscoveryResponse, Health};
use badgerwind_config::{storage, Report};
use badgerwind_http::{Exchange, Pool, PoolBounds};
use badgerwind_settings::document::Node;
use badgerwind_settings::{Control as ControlSettings, Problem, Settings};
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How much longer than the service may hold a question open an answer may take.
const GRACE: Duration = Duration::from_secs(2);
/// Bytes of an answer.
const MOST_BYTES: usize = 8 * 1024 * 1024;

/// What a daemon that follows a control service is started with.
pub struct Following {
    /// The file's own document, before any part.
    pub file: Node,
    /// The set that ran last.
    pub kept: Vec<Part>,
}

/// Reads the set that ran last: the newer file, or the one before it where that is torn or foreign. What was passed
/// over is told.
pub fn read_kept(path: &Path) -> (Vec<Part>, Vec<String>) {
    let mut told = Vec::new();
    for file in [path.to_owned(), before(path)] {
        match std::fs::read(&file) {
            Ok(bytes) => match storage::decode(&bytes) {
                Ok(parts) => return (parts, told),
                Err(e) => told.push(format!("{} is passed over: {e}", file.display())),
            },
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
            Err(e) => told.push(format!("{} is passed over: {e}", file.display())),
        }
    }
    (Vec::new(), told)
}

fn before(path: &Path) -> PathBuf {
    path.with_extension("before")
}

/// Written beside, synced, the old one kept as the one before, renamed, the folder synced.
fn write_kept(path: &Path, parts: &[Part]) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(&storage::encode(parts))?;
    file.sync_all()?;
    // A second name for the old set, so that there is a whole one at every moment.
    let old = before(path);
    let _ = std::fs::remove_file(&old);
    if path.exists() {
        std::fs::hard_link(path, &old)?;
    }
    std::fs::rename(&beside, path)?;
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => std::fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

pub(crate) struct Follower {
    pub settings: ControlSettings,
    pub folder: PathBuf,
    pub clock: Clock,
    pub front: Arc<Front>,
    pub runners: Arc<Runners>,
    pub engine: Sender<Control>,
    /// Who divides tenants' quotas.
    pub shares: Option<Arc<Shares>>,
    /// Who takes an operator's words of zones over.
    pub zones: Option<Arc<Zones>>,
    /// The runners as listed, for the shadow.
    pub listed: Arc<Mutex<Vec<WorkerEntry>>>,
    /// Where every type stands, for whoever asks here.
    pub report: Arc<Mutex<Vec<Report>>>,
    /// Limits the lines about services that do not answer.
    pub unanswered: Mutex<LogLimit>,
}

impl Follower {
    pub(crate) fn times(c: &ControlSettings) -> Timing {
        Timing { stage_timeout: c.stage_timeout, min_backoff: c.min_backoff, max_backoff: c.max_backoff }
    }

    /// Follows the service for ever.
    pub(crate) async fn run(self, mut client: Client) {
        let (tell, told) = async_channel::bounded(256);
        let me = Arc::new(self);
        let bounds = PoolBounds {
            most: 2 * Kind::ALL.len(),
            connect_time: Duration::from_secs(2),
            idle_time: me.settings.poll_timeout + GRACE,
            body_bytes: MOST_BYTES,
        };
        let pools: Vec<Arc<Pool>> =
            me.settings.services.iter().map(|a| Arc::new(Pool::new(*a, bounds))).collect();
        let next = Arc::new(AtomicUsize::new(0));
        let mut settings_of: HashMap<u64, Box<Ready>> = HashMap::new();
        let (mut out, mut questions) = (Vec::new(), HashMap::new());
        client.start(me.clock.now(), &mut out);
        loop {
            *me.report.lock().unwrap_or_else(PoisonError::into_inner) = client.report();
            for d in out.drain(..) {
                match d {
                    Action::SendRequest { kind, request_id, request } => {
                        // The question before it, if still open, is given up with its task.
                        questions
                            .insert(kind, me.ask(&pools, &next, (kind, request_id), request, tell.clone()));
                    }
                    Action::Prepare { ticket, settings } => me.prepare(ticket, settings, tell.clone()),
                    Action::Store { ticket, parts } => {
                        let (path, tell) = (me.folder.join(&me.settings.storage_file), tell.clone());
                        smol::spawn(async move {
                            let kept = smol::unblock(move || write_kept(&path, &parts)).await;
                            let result = kept.map_err(|e| e.to_string());
                            let _ = tell.send(Told::Input(Input::Stored { ticket, result })).await;
                        })
                        .detach();
                    }
                    Action::Apply { ticket, settings } => {
                        let ready = settings_of.remove(&ticket);
                        me.apply(ticket, settings, ready, tell.clone());
                    }
                }
            }
            let Some(input) = me.next(&told, client.next_wake()).await else { return };
            match input {
                Told::Input(input) => client.handle(me.clock.now(), input, &mut out),
                Told::Ready(ticket, ready) => {
                    settings_of.clear(); // one change is under way at a time
                    settings_of.insert(ticket, ready);
                    let input = Input::Prepared { ticket, result: Ok(()) };
                    client.handle(me.clock.now(), input, &mut out);
                }
            }
        }
    }

    async fn next(&self, told: &Receiver<Told>, wake: Option<u64>) -> Option<Told> {
        let due = async {
            match wake {
                Some(at) if at < u64::MAX => _ = Timer::at(self.clock.instant(at)).await,
                _ => futures_lite::future::pending().await,
            }
            Some(Told::Input(Input::Tick))
        };
        async { told.recv().await.ok() }.or(due).await
    }

    fn health(&self) -> Health {
        let c = &self.front.counts;
        let count = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
        Health { served: count(&c.served), refused: count(&c.refused), failed: count(&c.failed) }
    }

    fn ask(
        self: &Arc<Self>,
        pools: &[Arc<Pool>],
        next: &Arc<AtomicUsize>,
        (kind, number): (Kind, u64),
        mut request: Box<DiscoveryRequest>,
        tell: Sender<Told>,
    ) -> Option<smol::Task<()>> {
        request.node.metadata.health = self.health();
        let turn = next.load(Ordering::Relaxed) % pools.len().max(1);
        let pool = pools.get(turn).cloned()?;
        let (me, next, wait) = (self.clone(), next.clone(), self.settings.poll_timeout);
        Some(smol::spawn(async move {
            let body = serde_json::to_vec(&request).unwrap_or_default();
            let target = format!("/v3/discovery:{}?wait={}", kind.name(), wait.as_millis());
            let headers = vec![("content-type", "application/json".to_owned())];
            let ask = Exchange { method: "POST", target, headers, body: body.into() };
            let late = async {
                Timer::after(wait + GRACE).await;
                Err("no answer in time".to_owned())
            };
            let asked = async {
                let (head, body) = pool.exchange(&ask).await.map_err(|e| e.to_string())?;
                match head.status {
                    204 => Ok(None),
                    200 => match serde_json::from_slice::<DiscoveryResponse>(&body) {
                        Ok(response) => Ok(Some(response)),
                        Err(e) => Err(format!("not a DiscoveryResponse: {e}")),
                    },
                    status => Err(format!("status {status}")),
                }
            };
            let input = match asked.or(late).await {
                Ok(response) => Input::Response { kind, request_id: number, response },
                Err(text) => {
                    me.warn_unanswered(pool.address(), kind, &text);
                    // The next question goes to the next service.
                    let _ = next.compare_exchange(turn, turn + 1, Ordering::Relaxed, Ordering::Relaxed);
                    Input::RequestFailed { kind, request_id: number, random: fastrand::f64() }
                }
            };
            let _ = tell.send(Told::Input(input)).await;
        }))
    }

    fn warn_unanswered(&self, address: SocketAddr, kind: Kind, why: &str) {
        let limit = self.unanswered.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(more) = limit.may(self.clock.now()) {
            tracing::warn!(
                %address, kind = kind.name(), more,
                "the control service does not answer: {why}; the settings that run stand, and it is asked again"
            );
        }
    }

    /// Reads the keys that the settings name, and tries the settings on the calls of late.
    fn prepare(self: &Arc<Self>, ticket: u64, settings: Arc<Settings>, tell: Sender<Told>) {
        let me = self.clone();
        smol::spawn(async move {
            let recent: Vec<RecordedCall> =
                me.front.recent.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect();
            let entries = me.listed.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let folder = me.folder.clone();
            let tried = smol::unblock(move || {
                let told = |p: Vec<Problem>| p.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n");
                let secrets = secrets::load("settings", &folder, &settings).map_err(told)?;
                replay(&settings, &entries, &recent)?;
                Ok(Box::new(Ready { secrets }))
            })
            .await;
            let _ = tell
                .send(match tried {
                    Ok(ready) => Told::Ready(ticket, ready),
                    Err(why) => Told::Input(Input::Prepared { ticket, result: Err(why) }),
                })
                .await;
        })
        .detach();
    }

    fn apply(
        self: &Arc<Self>,
        ticket: u64,
        settings: Arc<Settings>,
        ready: Option<Box<Ready>>,
        tell: Sender<Told>,
    ) {
        let me = self.clone();
        smol::spawn(async move {
            let Some(ready) = ready else { return };
            let Ready { secrets } = *ready;
            let rules = me.front.rules();
            let (old, mut module) = (rules.settings.clone(), rules.module);
            // What a router was told at its start cannot change inside it: another takes over. The figures have
            // no order among themselves, so their written form tells whether any differs.
            if format!("{:?}", old.router) != format!("{:?}", settings.router)
                || old.max_calls != settings.max_calls
            {
                let seed = if settings.seed == 0 { fastrand::u64(..) } else { settings.seed };
                let decider = Box::new(Router::new(seed, settings.router.clone()));
                let (done, wait) = async_channel::bounded(1);
                let terms = Terms::new(driver_limits(&settings), &settings.router);
                let change = Control::Change { decider, terms, done };
                if me.engine.send(change).await.is_err() {
                    return;
                }
                let Ok(number) = wait.recv().await else { return };
                module = number;
            }
            if let Some(shares) = &me.shares {
                shares.follow(&settings);
            }
            if let (Some(zones), Some(leaving)) = (&me.zones, &settings.leaving) {
                zones.change(leaving);
            }
            // New calls come under the new rules only now, when the module that knows their classes takes them.
            me.runners.change(settings.clone(), secrets.runners, secrets.runners_tls);
            me.front.change(Rules {
                settings,
                rings: secrets.rings,
                callbacks: secrets.callbacks,
                tls: secrets.senders_tls,
                module,
            });
            tracing::info!(ticket, "settings changed");
            let _ = tell.send(Told::Input(Input::Applied { ticket })).await;
        })
        .detach();
    }
}

struct Ready {
    secrets: secrets::Secrets,
}

enum Told {
    Input(Input),
    Ready(u64, Box<Ready>),
}
