//! The service on a socket: questions held open until there is an answer, status, pins.

use crate::folder;
use crate::question::Question;
use badgerwind_config::client::Report;
use badgerwind_config::parts::Kind;
use badgerwind_config::waves::{Rules, Stage, Waves};
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

/// How often the folder is looked at, and waves go on.
pub const LOOK: Duration = Duration::from_millis(50);
/// How often a question held open looks whether anything has changed.
pub const HELD: Duration = Duration::from_millis(10);
/// The longest time for which a question is held open.
const MOST_WAIT: Duration = Duration::from_secs(60);
/// Connections at once.
const MOST_CONNECTIONS: usize = 16_384;

/// A kind, as the status tells it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KindStatus {
    /// Which.
    pub kind: Kind,
    /// Its newest version.
    pub newest: Option<u64>,
    /// Where its wave stands.
    pub wave: Option<(u64, Stage)>,
    /// Files that are not offered, with the reason.
    pub unfit: BTreeMap<String, String>,
}

/// A front end, as the status tells it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FrontStatus {
    /// Its name.
    pub id: String,
    /// When it was last heard of.
    pub heard_ms_ago: u64,
    /// It is held at what it runs.
    pub pinned: bool,
    /// Where its types stand, by its own word.
    pub report: Vec<Report>,
    /// Its calls.
    pub health: Health,
}

/// The whole status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The kinds.
    pub kinds: Vec<KindStatus>,
    /// The front ends.
    pub fronts: Vec<FrontStatus>,
}

/// A command that holds a front end at what it runs, or lets it go on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pin {
    /// Which.
    pub id: String,
    /// Hold it.
    pub pinned: bool,
}

struct Inner {
    waves: Waves,
    unfit: BTreeMap<Kind, BTreeMap<String, String>>,
}

struct Service {
    folder: PathBuf,
    name: String,
    start: Instant,
    inner: Mutex<Inner>,
    /// Counts up at every change that could let someone be offered something.
    changes: AtomicU64,
    nonces: AtomicU64,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn changed(&self) {
        self.changes.fetch_add(1, Ordering::Release);
    }

    /// Publishes what is new in the folder.
    fn look(&self, seen: &mut BTreeMap<Kind, u64>) {
        for kind in Kind::ALL {
            let versions = match folder::versions(&self.folder, kind) {
                Ok(versions) => versions,
                Err(e) => {
                    tracing::warn!("the folder cannot be read: {e}");
                    continue;
                }
            };
            let from = seen.get(&kind).map_or(0, |n| n + 1);
            for (number, path) in versions.range(from..) {
                seen.insert(kind, *number);
                let done = folder::text(&self.folder, kind, *number)
                    .map_err(|e| e.to_string())
                    .and_then(|text| self.lock().waves.publish(kind, *number, text.into()));
                match done {
                    Ok(()) => tracing::info!(kind = kind.name(), version = number, "published"),
                    Err(why) => {
                        tracing::warn!(file = %path.display(), "not published: {why}");
                        let file = path.display().to_string();
                        self.lock().unfit.entry(kind).or_default().insert(file, why);
                    }
                }
                self.changed();
            }
        }
    }

    async fn connection(&self, mut conn: Conn<TcpStream>) {
        while let Ok(Some(head)) = conn.head().await {
            let Ok(body) = conn.body(&head).await else { return };
            let response = match (head.method.as_str(), head.path()) {
                ("GET", "/status") => json(&self.status()),
                ("POST", "/pin") => match serde_json::from_slice::<Pin>(&body) {
                    Ok(pin) => {
                        let known = self.lock().waves.pin(&pin.id, pin.pinned);
                        self.changed();
                        Response::new(if known { 200 } else { 404 }, "", Vec::new())
                    }
                    Err(e) => bad(&e.to_string()),
                },
                ("POST", path) => match path.strip_prefix("/v3/discovery:").and_then(Kind::named) {
                    Some(kind) => {
                        let asked = serde_json::from_slice::<DiscoveryRequest>(&body);
                        match asked {
                            Ok(request) if request.type_url == kind.url() => {
                                // A front end that has gone holds no question open.
                                let gone = async {
                                    conn.closed().await;
                                    None
                                };
                                let answer =
                                    async { Some(self.ask(kind, &request, wait(&head.target)).await) };
                                match futures_lite::future::or(answer, gone).await {
                                    Some(response) => response,
                                    None => return,
                                }
                            }
                            Ok(request) => bad(&format!("type_url {} at {path}", request.type_url)),
                            Err(e) => bad(&format!("not a DiscoveryRequest: {e}")),
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

    /// A question: its word about the front end is taken in at once, its answer may take a while.
    async fn ask(&self, kind: Kind, request: &DiscoveryRequest, wait: Duration) -> Response {
        let node = &request.node;
        let question = match Question::read(kind, request) {
            Ok(question) => question,
            Err(e) => return bad(&e.to_string()),
        };
        let running = question.running;
        let answered = (!request.response_nonce.is_empty()).then_some(&request.error_detail);
        match answered {
            Some(Some(why)) => {
                tracing::warn!(front = %node.id, kind = kind.name(), "turned down: {}", why.message)
            }
            Some(None) => tracing::debug!(front = %node.id, kind = kind.name(), ?running, "answered"),
            None => {}
        }
        self.lock().waves.heard(self.now(), &node.id, &node.metadata.report, node.metadata.health);
        self.changed();
        let until = Instant::now() + wait.min(MOST_WAIT);
        let mut seen = None;
        loop {
            let changes = self.changes.load(Ordering::Acquire);
            if seen != Some(changes) {
                seen = Some(changes);
                if let Some((version, text)) = self.lock().waves.offer(&node.id, kind, running) {
                    let nonce = self.nonces.fetch_add(1, Ordering::Relaxed);
                    return json(&question.response(version, &text, &self.name, nonce));
                }
            }
            if Instant::now() >= until {
                return Response::new(204, "", Vec::new());
            }
            Timer::after(HELD).await;
        }
    }

    fn status(&self) -> Status {
        let (now, inner) = (self.now(), self.lock());
        let kind = |kind: Kind| KindStatus {
            kind,
            newest: inner.waves.versions(kind).map(|v| v.0).last(),
            wave: inner.waves.stage(kind).map(|(v, s)| (v, s.clone())),
            unfit: inner.unfit.get(&kind).cloned().unwrap_or_default(),
        };
        let fronts = inner.waves.fronts().map(|(id, f)| FrontStatus {
            id: id.clone(),
            heard_ms_ago: now.saturating_sub(f.heard) / 1000,
            pinned: f.pinned,
            report: f.report.clone(),
            health: f.health,
        });
        Status { kinds: Kind::ALL.into_iter().map(kind).collect(), fronts: fronts.collect() }
    }
}

fn wait(target: &str) -> Duration {
    let query = target.split_once('?').map_or("", |q| q.1);
    let ms = query.split('&').find_map(|p| p.strip_prefix("wait=")).and_then(|ms| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}

fn json(value: &impl Serialize) -> Response {
    // Plain records of numbers and words always become JSON.
    Response::new(200, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

fn bad(why: &str) -> Response {
    Response::new(400, "text/plain", why.as_bytes())
}

/// Serves for ever. `name` tells one service from another.
pub async fn serve(listener: TcpListener, folder: &Path, name: &str, rules: Rules) {
    let service = Arc::new(Service {
        folder: folder.to_owned(),
        name: name.to_owned(),
        start: Instant::now(),
        inner: Mutex::new(Inner { waves: Waves::new(rules), unfit: BTreeMap::new() }),
        changes: AtomicU64::new(0),
        nonces: AtomicU64::new(1),
    });
    let mut seen = BTreeMap::new();
    service.look(&mut seen);
    let looking = service.clone();
    let look = smol::spawn(async move {
        loop {
            Timer::after(LOOK).await;
            looking.look(&mut seen);
            let now = looking.now();
            looking.lock().waves.tick(now);
            looking.changed();
        }
    });
    let limits =
        Arc::new(Limits { idle_time: Duration::from_secs(300), body_bytes: 256 * 1024, ..Limits::default() });
    let places = Arc::new(smol::lock::Semaphore::new(MOST_CONNECTIONS));
    loop {
        let place = places.acquire_arc().await;
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(LOOK).await;
            continue;
        };
        let _ = stream.set_nodelay(true); // only a delay is lost where it is not to be had
        let (service, limits) = (service.clone(), limits.clone());
        smol::spawn(async move {
            let _place = place;
            service.connection(Conn::new(stream, limits)).await;
        })
        .detach();
        if look.is_finished() {
            return;
        }
    }
}
