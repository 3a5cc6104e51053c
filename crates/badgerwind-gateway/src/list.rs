//! The client of the list service, and the cache of the last list on disk.

use crate::clock::unix_seconds;
use crate::dispatch::{Input, ListRequest};
use crate::metrics::Metrics;
use crate::runners::Runners;
use crate::serve::ListFilter;
use async_channel::{Receiver, Sender};
use badgerwind::interface::{Discovery, ListKind, WorkerEntry};
use badgerwind_http::{Exchange, Pool, PoolLimits};
use badgerwind_protocol::list::{target, Availability, List, Runner};
use badgerwind_settings::Settings;
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Follows the list service.
pub(crate) struct ListClient {
    pub settings: Arc<Settings>,
    pub cache: Option<PathBuf>,
    pub filter: Option<ListFilter>,
    pub runners: Arc<Runners>,
    pub metrics: Arc<Metrics>,
    pub inputs: Sender<Input>,
    pub requests: Receiver<ListRequest>,
    /// The runners as listed, shared with the client of the control service.
    pub listed_runners: Arc<Mutex<Vec<WorkerEntry>>>,
}

/// Time allowed for a response beyond the poll timeout, for which the service may hold a request open.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// How long a start waits for the service before it uses the cached list, which may miss runners that have
/// drained since.
const STARTUP_WAIT: Duration = Duration::from_secs(1);
/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

impl ListClient {
    /// Follows the service until the task is dropped. The cached list is used if the service does not answer
    /// at the start.
    pub(crate) async fn run(self) {
        let mut known: BTreeMap<u32, Runner> = BTreeMap::new();
        let mut cached = self.load_cache();
        let list_settings = &self.settings.list;
        let limits = PoolLimits {
            max_connections: 2,
            connect_timeout: self.settings.runners.connect_timeout,
            idle_timeout: list_settings.poll_timeout + RESPONSE_GRACE,
            max_body_bytes: MAX_LIST_BYTES,
        };
        let pool = Pool::new(list_settings.address, limits);
        let on_request = self.settings.router.discovery == Discovery::Ask;
        let (mut watching, mut version, mut failing) = (!on_request, None, false);
        loop {
            if !watching && cached.is_none() {
                // Fetches only what the module requests, apart from the first request, which replaces a
                // cached list.
                match self.requests.recv().await {
                    Ok(ListRequest::Watch(on)) => watching = on,
                    Ok(ListRequest::Fetch) => version = None,
                    Err(_) => return,
                }
                if !watching && version.is_some() {
                    continue;
                }
            }
            let mut answer = pin!(self.fetch(&pool, version));
            let startup_wait = async {
                Timer::after(STARTUP_WAIT).await;
                None
            };
            let in_time = match cached.is_some() {
                true => async { Some((&mut answer).await) }.or(startup_wait).await,
                false => None,
            };
            if let (Some(list), None | Some(Err(_))) = (cached.take(), &in_time) {
                self.apply(&mut known, list, ListKind::Cached).await;
            }
            let answer = match in_time {
                Some(answer) => answer,
                None => answer.await,
            };
            match answer {
                Ok(list) => {
                    if failing {
                        tracing::info!(version = list.version, "the list service answers again");
                    }
                    (failing, version) = (false, Some(list.version));
                    self.metrics.list_answered.set(unix_seconds().max(0) as u64);
                    let kind = if list.whole { ListKind::Whole } else { ListKind::Changes };
                    if list.whole || !list.runners.is_empty() {
                        self.apply(&mut known, list, kind).await;
                    }
                }
                Err(error) => {
                    if !failing {
                        tracing::warn!("the list service does not answer: {error}; keeping the last list");
                    }
                    failing = true;
                    self.metrics.list_failures.inc();
                    if on_request {
                        watching = false;
                        let _ =
                            self.inputs.send(Input::List { kind: ListKind::Failed, entries: vec![] }).await;
                    }
                    Timer::after(list_settings.retry_delay).await;
                }
            }
        }
    }

    /// The last list on disk.
    fn load_cache(&self) -> Option<List> {
        let path = self.cache.as_deref()?;
        read_cache(path).unwrap_or_else(|error| {
            tracing::warn!(file = %path.display(), "ignoring the cached runner list: {error}");
            None
        })
    }

    /// Fetches the changes since a version, or the whole list.
    async fn fetch(&self, pool: &Pool, version: Option<u64>) -> Result<List, String> {
        let wait = self.settings.list.poll_timeout;
        let request = Exchange {
            method: "GET",
            target: target(self.settings.router.my_number, version, wait.as_millis() as u64),
            headers: vec![],
            body: Arc::from(&b""[..]),
        };
        let timeout = async {
            Timer::after(wait + RESPONSE_GRACE).await;
            Err("timed out".to_owned())
        };
        let response = async {
            let (head, body) = pool.exchange(&request).await.map_err(|e| e.to_string())?;
            match head.status {
                200 => List::parse(&body),
                status => Err(format!("status {status}")),
            }
        };
        response.or(timeout).await
    }

    /// Applies a list: reports it to the runners' client, the metrics and the engine, and stores it on disk.
    async fn apply(&self, known: &mut BTreeMap<u32, Runner>, mut list: List, kind: ListKind) {
        if let Some(filter) = self.filter {
            filter(&mut list);
        }
        if list.whole {
            known.clear();
        }
        for r in &list.runners {
            known.insert(r.id, r.clone());
        }
        known.retain(|_, r| r.availability != Availability::Removed);
        *self.listed_runners.lock().unwrap_or_else(PoisonError::into_inner) =
            known.values().map(Runner::entry).collect();
        self.runners.apply_list(&list);
        self.metrics.list_version.set(list.version);
        self.metrics
            .runners
            .set(known.values().filter(|r| r.availability == Availability::Ready).count() as i64);
        let entries = list.runners.iter().map(Runner::entry).collect();
        // Reported before it is stored, so that the engine uses it without waiting for the disk.
        let _ = self.inputs.send(Input::List { kind, entries }).await;
        if let (Some(path), true) = (self.cache.clone(), kind != ListKind::Cached) {
            let whole =
                List { version: list.version, whole: true, runners: known.values().cloned().collect() };
            let stored = smol::unblock(move || write_cache(&path, &whole).map_err(|e| (path, e))).await;
            if let Err((path, e)) = stored {
                tracing::warn!(file = %path.display(), "cannot store the runner list: {e}");
            }
        }
    }
}

fn read_cache(path: &Path) -> Result<Option<List>, String> {
    match std::fs::read(path) {
        Ok(bytes) if bytes.len() <= MAX_LIST_BYTES => List::parse(&bytes).map(Some),
        Ok(bytes) => Err(format!("{} bytes, {MAX_LIST_BYTES} at most", bytes.len())),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.to_string()),
    }
}

/// Writes a temporary file, syncs it and renames it into place, so that a crash leaves either the old list or
/// the new one.
fn write_cache(path: &Path, list: &List) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&serde_json::to_vec(list)?)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => std::fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}
