//! The list service, as specified in `docs/protocols/list.md`, with a configurable delay.
//!
//! Commands: `POST /standin/runner` with a runner of the list; `POST /standin/lag` with `{"ms": 2000}` sets
//! the time after which later changes become visible.

use crate::record::{now, Recorder};
use badgerwind_check::{self as check, Event};
use badgerwind_http::{Conn, Response, Stream};
use badgerwind_protocol::list::{Availability, List, Runner};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which a long poll checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The command that sets the delay of changes.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Lag {
    /// The delay in milliseconds.
    pub ms: u64,
}

struct Inner {
    version: u64,
    lag_us: u64,
    /// Each runner with the version of its last change.
    runners: BTreeMap<u32, (Runner, u64)>,
    /// Changes with the time at which they become visible.
    pending: Vec<(u64, Runner)>,
}

struct Server {
    inner: Mutex<Inner>,
    recorder: Recorder,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The changes after a version, or the full list; `None` if nothing changed.
    fn changes_after(&self, after: Option<u64>) -> Option<List> {
        let mut inner = self.lock();
        let at = now();
        let (due, later) = std::mem::take(&mut inner.pending).into_iter().partition(|(seen, _)| *seen <= at);
        inner.pending = later;
        for (_, runner) in due {
            inner.version += 1;
            let version = inner.version;
            inner.runners.insert(runner.id, (runner, version));
        }
        let version = inner.version;
        let after = after.filter(|&a| a <= version);
        if after == Some(version) {
            return None;
        }
        let whole = after.is_none();
        let seen = |(r, v): &&(Runner, u64)| match after {
            Some(after) => *v > after,
            None => r.availability != Availability::Removed,
        };
        let runners = inner.runners.values().filter(seen).map(|(r, _)| r.clone()).collect();
        Some(List { version, whole, runners })
    }

    async fn serve(&self, mut conn: Conn<Stream>) {
        while let Ok(Some(head)) = conn.head().await {
            let Ok(body) = conn.body(&head).await else { return };
            let response = match (head.method.as_str(), head.path()) {
                ("GET", "/runners") => self.get_runners(&head.target).await,
                ("POST", "/standin/runner") => self.set_runner(&body),
                ("POST", "/standin/lag") => match serde_json::from_slice::<Lag>(&body) {
                    Ok(lag) => {
                        self.lock().lag_us = lag.ms * 1000;
                        crate::empty(200)
                    }
                    Err(_) => crate::empty(400),
                },
                _ => crate::empty(404),
            };
            if conn.respond(&response, true).await.is_err() {
                return;
            }
        }
    }

    fn set_runner(&self, body: &[u8]) -> Response {
        match serde_json::from_slice::<Runner>(body) {
            Ok(runner) => {
                let mut inner = self.lock();
                let seen = now() + inner.lag_us;
                inner.pending.push((seen, runner));
                crate::empty(200)
            }
            Err(e) => Response::new(400, "text/plain", e.to_string().into_bytes()),
        }
    }

    async fn get_runners(&self, target: &str) -> Response {
        let query = target.split_once('?').map_or("", |q| q.1);
        let number = |name: &str| {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(k, _)| *k == name)?
                .1
                .parse::<u64>()
                .ok()
        };
        let (front, after) = (number("front").unwrap_or(u64::from(u32::MAX)) as u32, number("after"));
        let until = now() + 1000 * number("wait").unwrap_or(0).min(60_000);
        loop {
            let changes = self.changes_after(after);
            if let Some(list) = changes.or_else(|| {
                let version = self.lock().version;
                (now() >= until).then(|| List { version, whole: false, runners: vec![] })
            }) {
                for r in &list.runners {
                    let availability = match r.availability {
                        Availability::Ready => check::Availability::Ready,
                        Availability::Draining => check::Availability::Draining,
                        Availability::Removed => check::Availability::Removed,
                    };
                    self.recorder.add(Event::Listed { front, runner: r.id, availability });
                }
                return crate::json(200, &list);
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// Serves without end, starting with these runners.
pub async fn serve(listener: TcpListener, runners: Vec<Runner>, recorder: Recorder) {
    let runners = runners.into_iter().map(|r| (r.id, (r, 1))).collect();
    let inner = Inner { version: 1, lag_us: 0, runners, pending: Vec::new() };
    let server = Arc::new(Server { inner: Mutex::new(inner), recorder });
    crate::accept(listener, None, move |conn| {
        let server = server.clone();
        async move { server.serve(conn).await }
    })
    .await;
}
