//! The client of the list service, and the last list on disk.

use crate::clock::unix_seconds;
use crate::dispatch::{Input, ListCall};
use crate::metrics::Metrics;
use crate::runners::Runners;
use crate::serve::ListFilter;
use async_channel::{Receiver, Sender};
use badgerwind::interface::{Discovery, ListKind, WorkerEntry};
use badgerwind_http::{Exchange, Pool, PoolBounds};
use badgerwind_protocol::list::{target, List, Runner, State};
use badgerwind_settings::Settings;
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

pub(crate) struct Lister {
    pub settings: Arc<Settings>,
    pub cache: Option<PathBuf>,
    pub filter: Option<ListFilter>,
    pub runners: Arc<Runners>,
    pub metrics: Arc<Metrics>,
    pub report: Sender<Input>,
    pub calls: Receiver<ListCall>,
    /// The runners as listed, for whoever else needs them.
    pub listed: Arc<Mutex<Vec<WorkerEntry>>>,
}

/// How much longer than the service may hold a question open an answer may take.
const GRACE: Duration = Duration::from_secs(2);
/// How long a start waits for the service before the last list on disk stands in for it: who drained meanwhile is not in it.
const FIRST_ANSWER: Duration = Duration::from_secs(1);
/// Bytes of a list.
const MOST_BYTES: usize = 8 * 1024 * 1024;

impl Lister {
    /// Follows the service for ever. The last list stands in for it where it does not answer at the start.
    pub(crate) async fn run(self) {
        let mut known: BTreeMap<u32, Runner> = BTreeMap::new();
        let mut cached = self.cached();
        let s = &self.settings.list;
        let bounds = PoolBounds {
            most: 2,
            connect_time: self.settings.runners.connect_timeout,
            idle_time: s.poll_timeout + GRACE,
            body_bytes: MOST_BYTES,
        };
        let pool = Pool::new(s.address, bounds);
        let asked = self.settings.router.discovery == Discovery::Ask;
        let (mut watching, mut version, mut failing) = (!asked, None, false);
        loop {
            if !watching && cached.is_none() {
                // Only what the module asks for, beside the first question that a list on disk is held against.
                match self.calls.recv().await {
                    Ok(ListCall::Watch(on)) => watching = on,
                    Ok(ListCall::Fetch) => version = None,
                    Err(_) => return,
                }
                if !watching && version.is_some() {
                    continue;
                }
            }
            let mut answer = pin!(self.ask(&pool, version));
            let first = async {
                Timer::after(FIRST_ANSWER).await;
                None
            };
            let in_time = match cached.is_some() {
                true => async { Some((&mut answer).await) }.or(first).await,
                false => None,
            };
            if let (Some(list), None | Some(Err(_))) = (cached.take(), &in_time) {
                self.take(&mut known, list, ListKind::Cached).await;
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
                        self.take(&mut known, list, kind).await;
                    }
                }
                Err(text) => {
                    if !failing {
                        tracing::warn!("the list service does not answer: {text}; the old list stands");
                    }
                    failing = true;
                    self.metrics.list_failures.inc();
                    if asked {
                        watching = false;
                        let _ =
                            self.report.send(Input::List { kind: ListKind::Failed, entries: vec![] }).await;
                    }
                    Timer::after(s.retry_delay).await;
                }
            }
        }
    }

    /// The last list on disk.
    fn cached(&self) -> Option<List> {
        let path = self.cache.as_deref()?;
        read_cache(path).unwrap_or_else(|text| {
            tracing::warn!(file = %path.display(), "the last runner list is passed over: {text}");
            None
        })
    }

    /// Asks for what changed after a version, or for the whole list.
    async fn ask(&self, pool: &Pool, version: Option<u64>) -> Result<List, String> {
        let wait = self.settings.list.poll_timeout;
        let request = Exchange {
            method: "GET",
            target: target(self.settings.router.my_number, version, wait.as_millis() as u64),
            headers: vec![],
            body: Arc::from(&b""[..]),
        };
        let late = async {
            Timer::after(wait + GRACE).await;
            Err("no answer in time".to_owned())
        };
        let ask = async {
            let (head, body) = pool.exchange(&request).await.map_err(|e| e.to_string())?;
            match head.status {
                200 => List::parse(&body),
                status => Err(format!("status {status}")),
            }
        };
        ask.or(late).await
    }

    async fn take(&self, known: &mut BTreeMap<u32, Runner>, mut list: List, kind: ListKind) {
        if let Some(filter) = self.filter {
            filter(&mut list);
        }
        if list.whole {
            known.clear();
        }
        for r in &list.runners {
            known.insert(r.id, r.clone());
        }
        known.retain(|_, r| r.state != State::Gone);
        *self.listed.lock().unwrap_or_else(PoisonError::into_inner) =
            known.values().map(Runner::entry).collect();
        self.runners.listed(&list);
        self.metrics.list_version.set(list.version);
        self.metrics.runners.set(known.values().filter(|r| r.state == State::Ready).count() as i64);
        let entries = list.runners.iter().map(Runner::entry).collect();
        // Told first, kept second: what goes out next already follows the news.
        let _ = self.report.send(Input::List { kind, entries }).await;
        if let (Some(path), true) = (self.cache.clone(), kind != ListKind::Cached) {
            let whole =
                List { version: list.version, whole: true, runners: known.values().cloned().collect() };
            let kept = smol::unblock(move || write_cache(&path, &whole).map_err(|e| (path, e))).await;
            if let Err((path, e)) = kept {
                tracing::warn!(file = %path.display(), "the runner list cannot be kept: {e}");
            }
        }
    }
}

fn read_cache(path: &Path) -> Result<Option<List>, String> {
    match std::fs::read(path) {
        Ok(bytes) if bytes.len() <= MOST_BYTES => List::parse(&bytes).map(Some),
        Ok(bytes) => Err(format!("{} bytes, {MOST_BYTES} at most", bytes.len())),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.to_string()),
    }
}

/// Written beside, synced, renamed: a cut leaves the old list or the new one.
fn write_cache(path: &Path, list: &List) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(&serde_json::to_vec(list)?)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => std::fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}
