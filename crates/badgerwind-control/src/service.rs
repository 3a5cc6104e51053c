//! The HTTP service: long-polled requests of front ends, the status, and pins.

use crate::folder;
use crate::request::ResourceRequest;
use badgerwind_config::client::Report;
use badgerwind_config::parts::Kind;
use badgerwind_config::waves::{RolloutPolicy, Stage, Waves};
use badgerwind_config::wire::{DiscoveryRequest, Health};
use badgerwind_http::{Conn, Limits, Response};
use serde::{Deserialize, Serialize};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often the folder is scanned for new versions, and waves advance.
pub const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// How often an open request checks whether anything has changed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The longest time for which a request is held open.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 16_384;

/// The status of a type of resource.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KindStatus {
    /// The type of resource.
    pub kind: Kind,
    /// The newest published version.
    pub newest: Option<u64>,
    /// The version and stage of its wave.
    pub wave: Option<(u64, Stage)>,
    /// Files that were not published, with the reason.
    #[serde(rename = "unfit")]
    pub unpublished: BTreeMap<String, String>,
}

/// The status of a front end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FrontEndStatus {
    /// Its name.
    pub id: String,
    /// Milliseconds since its last request.
    #[serde(rename = "heard_ms_ago")]
    pub since_last_request_ms: u64,
    /// Whether it is pinned to the versions that it runs.
    pub pinned: bool,
    /// The state of its types of resource, as it reported it.
    pub report: Vec<Report>,
    /// Its calls since it started.
    pub health: Health,
}

/// The status of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The types of resource.
    pub kinds: Vec<KindStatus>,
    /// The front ends.
    #[serde(rename = "fronts")]
    pub front_ends: Vec<FrontEndStatus>,
}

/// A command that pins a front end to the versions that it runs, or unpins it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pin {
    /// The front end's name.
    pub id: String,
    /// Whether to pin or to unpin it.
    pub pinned: bool,
}

/// The state that requests and the scan share.
struct State {
    waves: Waves,
    /// Files that were not published, with the reason.
    unpublished: BTreeMap<Kind, BTreeMap<String, String>>,
}

/// The service, shared by its connections and the scan.
struct Service {
    folder: PathBuf,
    name: String,
    start: Instant,
    state: Mutex<State>,
    /// Incremented by every change that can make a version available to a front end.
    changes: AtomicU64,
    /// The number in the next offer's nonce.
    nonces: AtomicU64,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn note_change(&self) {
        self.changes.fetch_add(1, Ordering::Release);
    }

    /// Publishes the versions in the folder that are newer than the last ones scanned.
    fn scan(&self, last_scanned: &mut BTreeMap<Kind, u64>) {
        for kind in Kind::ALL {
            let versions = match folder::list_versions(&self.folder, kind) {
                Ok(versions) => versions,
                Err(e) => {
                    tracing::warn!("cannot read the folder of versions: {e}");
                    continue;
                }
            };
            let first_new = last_scanned.get(&kind).map_or(0, |n| n + 1);
            for (number, path) in versions.range(first_new..) {
                last_scanned.insert(kind, *number);
                let published = folder::read_version(&self.folder, kind, *number)
                    .map_err(|e| e.to_string())
                    .and_then(|text| self.lock().waves.publish(kind, *number, text.into()));
                match published {
                    Ok(()) => tracing::info!(kind = kind.name(), version = number, "published"),
                    Err(why) => {
                        tracing::warn!(file = %path.display(), "not published: {why}");
                        let file = path.display().to_string();
                        self.lock().unpublished.entry(kind).or_default().insert(file, why);
                    }
                }
                self.note_change();
            }
        }
    }

    async fn serve_connection(&self, mut conn: Conn<TcpStream>) {
        while let Ok(Some(head)) = conn.head().await {
            let Ok(body) = conn.body(&head).await else { return };
            let response = match (head.method.as_str(), head.path()) {
                ("GET", "/status") => json(&self.status()),
                ("POST", "/pin") => match serde_json::from_slice::<Pin>(&body) {
                    Ok(pin) => {
                        let known = self.lock().waves.pin(&pin.id, pin.pinned);
                        self.note_change();
                        Response::new(if known { 200 } else { 404 }, "", Vec::new())
                    }
                    Err(e) => bad_request(&e.to_string()),
                },
                ("POST", path) => match path.strip_prefix("/v3/discovery:").and_then(Kind::from_name) {
                    Some(kind) => {
                        match serde_json::from_slice::<DiscoveryRequest>(&body) {
                            Ok(request) if request.type_url == kind.type_url() => {
                                // A request ends when its front end disconnects.
                                let disconnected = async {
                                    conn.closed().await;
                                    None
                                };
                                let answer = async {
                                    Some(
                                        self.handle_discovery_request(
                                            kind,
                                            &request,
                                            wait_time(&head.target),
                                        )
                                        .await,
                                    )
                                };
                                match futures_lite::future::or(answer, disconnected).await {
                                    Some(response) => response,
                                    None => return,
                                }
                            }
                            Ok(request) => bad_request(&format!("type_url {} at {path}", request.type_url)),
                            Err(e) => bad_request(&format!("not a DiscoveryRequest: {e}")),
                        }
                    }
                    None => Response::new(404, "", Vec::new()),
                },
                _ => Response::new(404, "", Vec::new()),
            };
            if conn.respond(&response, head.keeps_alive()).await.is_err() || !head.keeps_alive() {
                return;
            }
        }
    }

    /// Records the report in a request at once, and answers when there is a version to offer or `wait` has
    /// passed.
    async fn handle_discovery_request(
        &self,
        kind: Kind,
        request: &DiscoveryRequest,
        wait: Duration,
    ) -> Response {
        let node = &request.node;
        let resource_request = match ResourceRequest::parse(kind, request) {
            Ok(resource_request) => resource_request,
            Err(e) => return bad_request(&e.to_string()),
        };
        let running = resource_request.running;
        let acknowledged = (!request.response_nonce.is_empty()).then_some(&request.error_detail);
        match acknowledged {
            Some(Some(error)) => {
                tracing::warn!(front = %node.id, kind = kind.name(), "version rejected: {}", error.message)
            }
            Some(None) => tracing::debug!(front = %node.id, kind = kind.name(), ?running, "answered"),
            None => {}
        }
        self.lock().waves.record_report(self.now(), &node.id, &node.metadata.report, node.metadata.health);
        self.note_change();
        let until = Instant::now() + wait.min(MAX_WAIT);
        let mut checked_changes = None;
        loop {
            let changes = self.changes.load(Ordering::Acquire);
            if checked_changes != Some(changes) {
                checked_changes = Some(changes);
                if let Some((version, text)) = self.lock().waves.offer(&node.id, kind, running) {
                    let nonce = self.nonces.fetch_add(1, Ordering::Relaxed);
                    return json(&resource_request.response(version, &text, &self.name, nonce));
                }
            }
            if Instant::now() >= until {
                return Response::new(204, "", Vec::new());
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn status(&self) -> Status {
        let (now, state) = (self.now(), self.lock());
        let kind = |kind: Kind| KindStatus {
            kind,
            newest: state.waves.versions(kind).map(|v| v.0).last(),
            wave: state.waves.stage(kind).map(|(v, s)| (v, s.clone())),
            unpublished: state.unpublished.get(&kind).cloned().unwrap_or_default(),
        };
        let front_ends = state.waves.front_ends().map(|(id, f)| FrontEndStatus {
            id: id.clone(),
            since_last_request_ms: now.saturating_sub(f.last_seen) / 1000,
            pinned: f.pinned,
            report: f.report.clone(),
            health: f.health,
        });
        Status { kinds: Kind::ALL.into_iter().map(kind).collect(), front_ends: front_ends.collect() }
    }
}

/// The time for which a request may be held open, from the query of its target.
fn wait_time(target: &str) -> Duration {
    let query = target.split_once('?').map_or("", |q| q.1);
    let ms = query.split('&').find_map(|p| p.strip_prefix("wait=")).and_then(|ms| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}

fn json(value: &impl Serialize) -> Response {
    // Serialization of these types cannot fail.
    Response::new(200, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

fn bad_request(why: &str) -> Response {
    Response::new(400, "text/plain", why.as_bytes())
}

/// Serves until the task that scans the folder ends. `name` distinguishes control services.
pub async fn serve(listener: TcpListener, folder: &Path, name: &str, policy: RolloutPolicy) {
    let service = Arc::new(Service {
        folder: folder.to_owned(),
        name: name.to_owned(),
        start: Instant::now(),
        state: Mutex::new(State { waves: Waves::new(policy), unpublished: BTreeMap::new() }),
        changes: AtomicU64::new(0),
        nonces: AtomicU64::new(1),
    });
    let mut last_scanned = BTreeMap::new();
    service.scan(&mut last_scanned);
    let scanner = service.clone();
    let scan = smol::spawn(async move {
        loop {
            Timer::after(SCAN_INTERVAL).await;
            scanner.scan(&mut last_scanned);
            let now = scanner.now();
            scanner.lock().waves.tick(now);
            scanner.note_change();
        }
    });
    let limits = Arc::new(Limits {
        idle_timeout: Duration::from_secs(300),
        max_body_bytes: 256 * 1024,
        ..Limits::default()
    });
    let permits = Arc::new(smol::lock::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = permits.acquire_arc().await;
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(SCAN_INTERVAL).await;
            continue;
        };
        let _ = stream.set_nodelay(true); // without it, answers are only slower
        let (service, limits) = (service.clone(), limits.clone());
        smol::spawn(async move {
            let _permit = permit;
            service.serve_connection(Conn::new(stream, limits)).await;
        })
        .detach();
        if scan.is_finished() {
            return;
        }
    }
}
