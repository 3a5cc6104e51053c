//! The handler store without its sockets: fetches share its pace, and beyond a limit it turns them away.

use crate::share::{Share, Time};
use serde::{Deserialize, Serialize};

/// What the store is made of.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// Time of a fetch when nothing is in its way, in microseconds.
    pub fetch: Time,
    /// Fetches that go at full pace together; more share it.
    pub wide: f64,
    /// Fetches in hand beyond which it turns away.
    pub most: usize,
}

/// A store.
#[derive(Debug)]
pub struct Store {
    spec: Spec,
    share: Share,
    slower: f64,
}

impl Store {
    /// A store with nothing in hand.
    pub fn new(spec: Spec) -> Self {
        Store { spec, share: Share::new(spec.wide, 1.0), slower: 1.0 }
    }

    /// From now on everything takes so many times as long.
    pub fn slow(&mut self, now: Time, times: f64) {
        self.slower = times.max(0.01);
        self.share.set(now, self.spec.wide / self.slower, 1.0 / self.slower);
    }

    /// A fetch arrives; false where it is turned away.
    pub fn fetch(&mut self, now: Time, id: u64) -> bool {
        if self.share.len() >= self.spec.most {
            return false;
        }
        self.share.add(now, id, self.spec.fetch as f64);
        true
    }

    /// A fetch is given up.
    pub fn leave(&mut self, now: Time, id: u64) {
        self.share.remove(now, id);
    }

    /// Fetches done by now.
    pub fn done(&mut self, now: Time) -> Vec<u64> {
        self.share.done(now)
    }

    /// When the next is done.
    pub fn next(&self) -> Option<Time> {
        self.share.next()
    }
}

/// The store on a socket: `GET /handlers/FUNCTION` answers when the fetch is done, or 503 at once. `POST
/// /standin/slow` with `{"times": 4.0}` makes it slower.
pub mod server {
    use super::*;
    use crate::fenced::{Asked, Said};
    use crate::record::now;
    use badgerwind_attempts::Ledger;
    use badgerwind_http::{Conn, Stream};
    use smol::net::TcpListener;
    use std::collections::HashMap;
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
    use std::time::Duration;

    /// Fetches that ended, for whoever measures a day.
    #[derive(Debug, Default)]
    pub struct Counts {
        /// Served whole.
        pub served: AtomicU64,
        /// Turned away.
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
        nudge: async_channel::Sender<()>,
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

        fn finish(&self) -> Option<Time> {
            let mut inner = self.lock();
            for id in inner.store.done(now()) {
                inner.waiting.remove(&id); // the closed channel is the word
            }
            inner.store.next()
        }

        async fn serve(&self, mut conn: Conn<Stream>) {
            while let Ok(Some(head)) = conn.head().await {
                let Ok(body) = conn.body(&head).await else { return };
                if head.path() == "/ledger" {
                    let said = match serde_json::from_slice::<Asked>(&body) {
                        Ok(asked) => asked.put_to(&mut self.lock().ledger, now()),
                        Err(_) => Said::Full,
                    };
                    if conn.respond(&crate::json(200, &said), true).await.is_err() {
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
                        let taken = inner.store.fetch(now(), id);
                        if taken {
                            inner.waiting.insert(id, done);
                        }
                        taken.then_some(id)
                    };
                    let _ = self.nudge.try_send(());
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
                                inner.store.leave(now(), id);
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
                            self.lock().store.slow(now(), slow.times);
                            let _ = self.nudge.try_send(());
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

    /// Serves for ever.
    pub async fn serve(listener: TcpListener, spec: Spec) {
        serve_counted(listener, spec, Arc::default()).await;
    }

    /// The same, and counts.
    pub async fn serve_counted(listener: TcpListener, spec: Spec, counts: Arc<Counts>) {
        let (nudge, nudged) = async_channel::bounded(1);
        let inner = Inner {
            store: Store::new(spec),
            ledger: Ledger::new(crate::fenced::BOUNDS),
            next: 0,
            waiting: HashMap::new(),
        };
        let server = Arc::new(Server { inner: Mutex::new(inner), nudge, counts });
        let ticking = server.clone();
        let tick = smol::spawn(async move {
            loop {
                let due = match ticking.finish() {
                    Some(at) => Duration::from_micros(at.saturating_sub(now())),
                    None => Duration::from_secs(60),
                };
                let timer = async {
                    smol::Timer::after(due).await;
                };
                futures_lite::future::or(timer, async { _ = nudged.recv().await }).await;
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
