//! A model of the handler store, without I/O, and a server for it. Fetches share the store's rate, and it
//! rejects fetches beyond a limit.

use crate::share::{Share, Time};
use serde::{Deserialize, Serialize};

/// Properties of a store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// Time of a fetch in an idle store, in microseconds.
    pub fetch: Time,
    /// Number of concurrent fetches that run at full rate; more of them share that rate.
    #[serde(rename = "wide")]
    pub full_rate_fetches: f64,
    /// Largest number of concurrent fetches; further ones are rejected.
    #[serde(rename = "most")]
    pub max_fetches: usize,
}

/// A handler store.
#[derive(Debug)]
pub struct Store {
    spec: Spec,
    share: Share,
    slowdown: f64,
}

impl Store {
    /// Creates an idle store.
    pub fn new(spec: Spec) -> Self {
        Store { spec, share: Share::new(spec.full_rate_fetches, 1.0), slowdown: 1.0 }
    }

    /// Makes all fetches take `times` as long from now on.
    pub fn set_slowdown(&mut self, now: Time, times: f64) {
        self.slowdown = times.max(0.01);
        self.share.set_capacity(now, self.spec.full_rate_fetches / self.slowdown, 1.0 / self.slowdown);
    }

    /// Starts a fetch; returns false if it is rejected.
    pub fn fetch(&mut self, now: Time, id: u64) -> bool {
        if self.share.len() >= self.spec.max_fetches {
            return false;
        }
        self.share.add(now, id, self.spec.fetch as f64);
        true
    }

    /// Cancels a fetch.
    pub fn cancel(&mut self, now: Time, id: u64) {
        self.share.remove(now, id);
    }

    /// Removes and returns the fetches that are complete at `now`.
    pub fn take_completed(&mut self, now: Time) -> Vec<u64> {
        self.share.take_completed(now)
    }

    /// Time at which the next fetch completes.
    pub fn next_completion(&self) -> Option<Time> {
        self.share.next_completion()
    }
}

/// HTTP server of the store: `GET /handlers/FUNCTION` answers when the fetch is complete, or with 503 at
/// once. `POST /standin/slow` with `{"times": 4.0}` slows it down.
pub mod server {
    use super::*;
    use crate::fenced::{LedgerAnswer, LedgerRequest};
    use crate::record::now;
    use badgerwind_attempts::Ledger;
    use badgerwind_http::{Conn, Stream};
    use smol::net::TcpListener;
    use std::collections::HashMap;
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
    use std::time::Duration;

    /// Counters of ended fetches.
    #[derive(Debug, Default)]
    pub struct Counts {
        /// Completed fetches.
        pub served: AtomicU64,
        /// Rejected fetches.
        pub refused: AtomicU64,
    }

    struct Inner {
        store: Store,
        ledger: Ledger<String>,
        next: u64,
        waiting: HashMap<u64, async_channel::Sender<()>>,
    }

    struct Server {
        inner: Mutex<Inner>,
        wake: async_channel::Sender<()>,
        counts: Arc<Counts>,
    }

    #[derive(Serialize, Deserialize)]
    struct Slow {
        times: f64,
    }

    impl Server {
        fn lock(&self) -> MutexGuard<'_, Inner> {
            self.inner.lock().unwrap_or_else(PoisonError::into_inner)
        }

        fn complete_due(&self) -> Option<Time> {
            let mut inner = self.lock();
            for id in inner.store.take_completed(now()) {
                inner.waiting.remove(&id); // closing the channel signals completion
            }
            inner.store.next_completion()
        }

        async fn serve(&self, mut conn: Conn<Stream>) {
            while let Ok(Some(head)) = conn.head().await {
                let Ok(body) = conn.body(&head).await else { return };
                if head.path() == "/ledger" {
                    let answer = match serde_json::from_slice::<LedgerRequest>(&body) {
                        Ok(request) => request.apply(&mut self.lock().ledger, now()),
                        Err(_) => LedgerAnswer::Full,
                    };
                    if conn.respond(&crate::json(200, &answer), true).await.is_err() {
                        return;
                    }
                    continue;
                }
                let status = if head.path().starts_with("/handlers/") {
                    let (done, wait) = async_channel::bounded(1);
                    let id = {
                        let mut inner = self.lock();
                        inner.next += 1;
                        let id = inner.next;
                        let accepted = inner.store.fetch(now(), id);
                        if accepted {
                            inner.waiting.insert(id, done);
                        }
                        accepted.then_some(id)
                    };
                    let _ = self.wake.try_send(());
                    match id {
                        None => {
                            self.counts.refused.fetch_add(1, Ordering::Relaxed);
                            503
                        }
                        Some(id) => {
                            let served = async {
                                let _ = wait.recv().await;
                                true
                            };
                            let gone = async {
                                conn.closed().await;
                                false
                            };
                            if !futures_lite::future::or(served, gone).await {
                                let mut inner = self.lock();
                                inner.store.cancel(now(), id);
                                inner.waiting.remove(&id);
                                return;
                            }
                            self.counts.served.fetch_add(1, Ordering::Relaxed);
                            200
                        }
                    }
                } else {
                    match serde_json::from_slice::<Slow>(&body) {
                        Ok(slow) => {
                            self.lock().store.set_slowdown(now(), slow.times);
                            let _ = self.wake.try_send(());
                            200
                        }
                        Err(_) => 400,
                    }
                };
                if conn.respond(&crate::empty(status), true).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Serves without end.
    pub async fn serve(listener: TcpListener, spec: Spec) {
        serve_counted(listener, spec, Arc::default()).await;
    }

    /// Like [`serve`], and counts ended fetches.
    pub async fn serve_counted(listener: TcpListener, spec: Spec, counts: Arc<Counts>) {
        let (wake, woken) = async_channel::bounded(1);
        let inner = Inner {
            store: Store::new(spec),
            ledger: Ledger::new(crate::fenced::LIMITS),
            next: 0,
            waiting: HashMap::new(),
        };
        let server = Arc::new(Server { inner: Mutex::new(inner), wake, counts });
        let ticking = server.clone();
        let tick = smol::spawn(async move {
            loop {
                let due = match ticking.complete_due() {
                    Some(at) => Duration::from_micros(at.saturating_sub(now())),
                    None => Duration::from_secs(60),
                };
                let timer = async {
                    smol::Timer::after(due).await;
                };
                futures_lite::future::or(timer, async { _ = woken.recv().await }).await;
            }
        });
        crate::accept(listener, None, move |conn| {
            let server = server.clone();
            async move { server.serve(conn).await }
        })
        .await;
        drop(tick);
    }
}
