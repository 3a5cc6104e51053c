//! The client of the control service: polls for configuration over HTTP, validates new settings on a separate
//! thread by loading their keys and replaying recent calls, stores the active parts on disk, and applies
//! changes to front, runners and engine. The state machine that decides what to do is in `badgerwind-config`.

use crate::clock::Clock;
use crate::engine::{Control, ModuleSettings};
use crate::front::{Front, FrontConfig};
use crate::log_limit::LogLimit;
use crate::runners::Runners;
use crate::secrets;
use crate::shares::BudgetShares;
use crate::zones::Zones;
use async_channel::{Receiver, Sender};
use badgerwind::interface::WorkerEntry;
use badgerwind::Router;
use badgerwind_config::client::{Action, Client, Input, Timing};
use badgerwind_config::parts::{Kind, Part};
use badgerwind_config::shadow::{driver_limits, replay, RecordedCall};
use badgerwind_config::wire::{DiscoveryRequest, DiscoveryResponse, Health};
use badgerwind_config::{storage, Report};
use badgerwind_http::{Exchange, Pool, PoolLimits};
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

/// Time allowed for a response beyond the poll timeout, for which the service may hold a request open.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// The configuration with which a daemon starts to follow a control service.
pub struct FollowOptions {
    /// The document of the settings file, before any part is applied.
    pub file: Node,
    /// The parts that were active last, from disk.
    pub stored: Vec<Part>,
}

/// Reads the parts that were active last, from the newer file, or from the previous one if that is corrupt or
/// of an unknown format. Also returns a message for each file that was skipped.
pub fn read_stored(path: &Path) -> (Vec<Part>, Vec<String>) {
    let mut skipped = Vec::new();
    for file in [path.to_owned(), previous_path(path)] {
        match std::fs::read(&file) {
            Ok(bytes) => match storage::decode(&bytes) {
                Ok(parts) => return (parts, skipped),
                Err(e) => skipped.push(format!("skipping {}: {e}", file.display())),
            },
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
            Err(e) => skipped.push(format!("skipping {}: {e}", file.display())),
        }
    }
    (Vec::new(), skipped)
}

/// Path of the parts stored before the current ones.
fn previous_path(path: &Path) -> PathBuf {
    path.with_extension("before")
}

/// Writes a temporary file and syncs it, keeps the old file under the previous path, renames the new file
/// into place and syncs the directory.
fn write_stored(path: &Path, parts: &[Part]) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&storage::encode(parts))?;
    file.sync_all()?;
    // The old file gets a second name, so that a complete file exists at every moment.
    let previous = previous_path(path);
    let _ = std::fs::remove_file(&previous);
    if path.exists() {
        std::fs::hard_link(path, &previous)?;
    }
    std::fs::rename(&temporary, path)?;
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => std::fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

/// Follows the control service and applies its settings.
pub(crate) struct ConfigFollower {
    pub settings: ControlSettings,
    pub folder: PathBuf,
    pub clock: Clock,
    pub front: Arc<Front>,
    pub runners: Arc<Runners>,
    pub engine: Sender<Control>,
    /// Divides tenants' quotas among front ends.
    pub shares: Option<Arc<BudgetShares>>,
    /// Receives the operator's directives for zones.
    pub zones: Option<Arc<Zones>>,
    /// The runners as listed, for the replay of recent calls.
    pub listed_runners: Arc<Mutex<Vec<WorkerEntry>>>,
    /// The state of each resource type, for `/config`.
    pub report: Arc<Mutex<Vec<Report>>>,
    /// Limits log lines on services that do not answer.
    pub unanswered_log: Mutex<LogLimit>,
}

impl ConfigFollower {
    pub(crate) fn timing(settings: &ControlSettings) -> Timing {
        let ControlSettings { stage_timeout, min_backoff, max_backoff, .. } = *settings;
        Timing { stage_timeout, min_backoff, max_backoff }
    }

    /// Follows the service until the task is dropped.
    pub(crate) async fn run(self, mut client: Client) {
        let (events, received_events) = async_channel::bounded(256);
        let follower = Arc::new(self);
        let limits = PoolLimits {
            max_connections: 2 * Kind::ALL.len(),
            connect_timeout: Duration::from_secs(2),
            idle_timeout: follower.settings.poll_timeout + RESPONSE_GRACE,
            max_body_bytes: MAX_RESPONSE_BYTES,
        };
        let pools: Vec<Arc<Pool>> =
            follower.settings.services.iter().map(|a| Arc::new(Pool::new(*a, limits))).collect();
        let next_service = Arc::new(AtomicUsize::new(0));
        let mut prepared: HashMap<u64, Box<PreparedSettings>> = HashMap::new();
        let (mut actions, mut requests) = (Vec::new(), HashMap::new());
        client.start(follower.clock.now(), &mut actions);
        loop {
            *follower.report.lock().unwrap_or_else(PoisonError::into_inner) = client.report();
            for action in actions.drain(..) {
                match action {
                    Action::SendRequest { kind, request_id, request } => {
                        // Dropping its task cancels an earlier request that is still open.
                        requests.insert(
                            kind,
                            follower.send_request(
                                &pools,
                                &next_service,
                                (kind, request_id),
                                request,
                                events.clone(),
                            ),
                        );
                    }
                    Action::Prepare { ticket, settings } => {
                        follower.prepare(ticket, settings, events.clone())
                    }
                    Action::Store { ticket, parts } => {
                        let (path, events) =
                            (follower.folder.join(&follower.settings.storage_file), events.clone());
                        smol::spawn(async move {
                            let stored = smol::unblock(move || write_stored(&path, &parts)).await;
                            let result = stored.map_err(|e| e.to_string());
                            let _ = events.send(Event::Input(Input::Stored { ticket, result })).await;
                        })
                        .detach();
                    }
                    Action::Apply { ticket, settings } => {
                        let prepared = prepared.remove(&ticket);
                        follower.apply(ticket, settings, prepared, events.clone());
                    }
                }
            }
            let Some(input) = follower.next_event(&received_events, client.next_wake()).await else { return };
            match input {
                Event::Input(input) => client.handle(follower.clock.now(), input, &mut actions),
                Event::Prepared(ticket, settings) => {
                    prepared.clear(); // one change is in progress at a time
                    prepared.insert(ticket, settings);
                    let input = Input::Prepared { ticket, result: Ok(()) };
                    client.handle(follower.clock.now(), input, &mut actions);
                }
            }
        }
    }

    async fn next_event(&self, events: &Receiver<Event>, wake: Option<u64>) -> Option<Event> {
        let due = async {
            match wake {
                Some(at) if at < u64::MAX => _ = Timer::at(self.clock.instant(at)).await,
                _ => futures_lite::future::pending().await,
            }
            Some(Event::Input(Input::Tick))
        };
        async { events.recv().await.ok() }.or(due).await
    }

    fn health(&self) -> Health {
        let counts = &self.front.counts;
        let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        Health {
            served: count(&counts.served),
            refused: count(&counts.refused),
            failed: count(&counts.failed),
        }
    }

    fn send_request(
        self: &Arc<Self>,
        pools: &[Arc<Pool>],
        next_service: &Arc<AtomicUsize>,
        (kind, request_id): (Kind, u64),
        mut request: Box<DiscoveryRequest>,
        events: Sender<Event>,
    ) -> Option<smol::Task<()>> {
        request.node.metadata.health = self.health();
        let index = next_service.load(Ordering::Relaxed) % pools.len().max(1);
        let pool = pools.get(index).cloned()?;
        let (follower, next_service, wait) = (self.clone(), next_service.clone(), self.settings.poll_timeout);
        Some(smol::spawn(async move {
            let body = serde_json::to_vec(&request).unwrap_or_default();
            let target = format!("/v3/discovery:{}?wait={}", kind.name(), wait.as_millis());
            let headers = vec![("content-type", "application/json".to_owned())];
            let exchange = Exchange { method: "POST", target, headers, body: body.into() };
            let timeout = async {
                Timer::after(wait + RESPONSE_GRACE).await;
                Err("timed out".to_owned())
            };
            let response = async {
                let (head, body) = pool.exchange(&exchange).await.map_err(|e| e.to_string())?;
                match head.status {
                    204 => Ok(None),
                    200 => match serde_json::from_slice::<DiscoveryResponse>(&body) {
                        Ok(response) => Ok(Some(response)),
                        Err(e) => Err(format!("not a DiscoveryResponse: {e}")),
                    },
                    status => Err(format!("status {status}")),
                }
            };
            let input = match response.or(timeout).await {
                Ok(response) => Input::Response { kind, request_id, response },
                Err(text) => {
                    follower.warn_unanswered(pool.address(), kind, &text);
                    // The next request goes to the next service.
                    let _ =
                        next_service.compare_exchange(index, index + 1, Ordering::Relaxed, Ordering::Relaxed);
                    Input::RequestFailed { kind, request_id, random: fastrand::f64() }
                }
            };
            let _ = events.send(Event::Input(input)).await;
        }))
    }

    fn warn_unanswered(&self, address: SocketAddr, kind: Kind, error: &str) {
        let limit = self.unanswered_log.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(suppressed) = limit.allow(self.clock.now()) {
            tracing::warn!(
                %address, kind = kind.name(), more = suppressed,
                "the control service does not answer: {error}; keeping the current settings and retrying"
            );
        }
    }

    /// Validates settings: loads the keys that they name and replays recent calls against them.
    fn prepare(self: &Arc<Self>, ticket: u64, settings: Arc<Settings>, events: Sender<Event>) {
        let follower = self.clone();
        smol::spawn(async move {
            let recent: Vec<RecordedCall> = follower
                .front
                .recent_calls
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .iter()
                .cloned()
                .collect();
            let entries = follower.listed_runners.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let folder = follower.folder.clone();
            let result = smol::unblock(move || {
                let text = |p: Vec<Problem>| p.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n");
                let secrets = secrets::load("settings", &folder, &settings).map_err(text)?;
                replay(&settings, &entries, &recent)?;
                Ok(Box::new(PreparedSettings { secrets }))
            })
            .await;
            let _ = events
                .send(match result {
                    Ok(prepared) => Event::Prepared(ticket, prepared),
                    Err(problems) => Event::Input(Input::Prepared { ticket, result: Err(problems) }),
                })
                .await;
        })
        .detach();
    }

    /// Applies settings that have been validated.
    fn apply(
        self: &Arc<Self>,
        ticket: u64,
        settings: Arc<Settings>,
        prepared: Option<Box<PreparedSettings>>,
        events: Sender<Event>,
    ) {
        let follower = self.clone();
        smol::spawn(async move {
            let Some(prepared) = prepared else { return };
            let PreparedSettings { secrets } = *prepared;
            let config = follower.front.config();
            let (old, mut module) = (config.settings.clone(), config.module);
            // A router's settings are fixed at its start, so a change of them starts a new router. They do
            // not implement `PartialEq`, so their debug output is compared.
            if format!("{:?}", old.router) != format!("{:?}", settings.router)
                || old.max_calls != settings.max_calls
            {
                let seed = if settings.seed == 0 { fastrand::u64(..) } else { settings.seed };
                let decider = Box::new(Router::new(seed, settings.router.clone()));
                let (done, module_number) = async_channel::bounded(1);
                let module_settings = ModuleSettings::new(driver_limits(&settings), &settings.router);
                let change = Control::ChangeModule { decider, settings: module_settings, done };
                if follower.engine.send(change).await.is_err() {
                    return;
                }
                let Ok(number) = module_number.recv().await else { return };
                module = number;
            }
            if let Some(shares) = &follower.shares {
                shares.apply_settings(&settings);
            }
            if let (Some(zones), Some(leaving)) = (&follower.zones, &settings.leaving) {
                zones.set_directives(leaving);
            }
            // New calls use the new settings from now on, after the module with their classes has been
            // started.
            follower.runners.update(settings.clone(), secrets.runners, secrets.runners_tls);
            follower.front.set_config(FrontConfig {
                settings,
                rings: secrets.rings,
                callbacks: secrets.callbacks,
                tls: secrets.senders_tls,
                module,
            });
            tracing::info!(ticket, "settings changed");
            let _ = events.send(Event::Input(Input::Applied { ticket })).await;
        })
        .detach();
    }
}

/// Settings that have been validated, with their keys.
struct PreparedSettings {
    secrets: secrets::Secrets,
}

/// What the tasks report to the main loop.
enum Event {
    Input(Input),
    /// The settings of a ticket have been validated.
    Prepared(u64, Box<PreparedSettings>),
}
