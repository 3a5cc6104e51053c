//! Result callbacks: the final answer of a call that asked for it is also posted as a signed webhook, to an address
//! that the settings name and to no other. Posted at least once while this daemon lives, by the specification's
//! schedule; what is owed when it dies is lost until a store keeps it.

use crate::clock::unix_seconds;
use badgerwind_http::{Exchange, ExchangeError, Pool, PoolBounds};
use badgerwind_webhook::delivery::{next, AttemptResult, NextStep};
use badgerwind_webhook::{sign, Key, ID, SIGNATURE, TIMESTAMP};
use futures_lite::FutureExt;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long a receiver may take for one attempt.
const ANSWER_TIME: Duration = Duration::from_secs(15);

/// A callback owed; its place among those that may be is given up when it is dropped.
pub(crate) struct Owed {
    pub name: String,
    pub address: SocketAddr,
    pub path: String,
    pub key: Key,
    owed: Arc<AtomicUsize>,
}

impl Owed {
    /// Takes a place; `None` where as many are owed as may be.
    pub(crate) fn take(
        owed: &Arc<AtomicUsize>,
        most: usize,
        (name, address, path): (&str, SocketAddr, &str),
        key: Key,
    ) -> Option<Owed> {
        let fits = |n: usize| (n < most).then_some(n + 1);
        owed.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).ok()?;
        let (name, path) = (name.to_owned(), path.to_owned());
        Some(Owed { name, address, path, key, owed: owed.clone() })
    }

    /// Posts a body until it is delivered or given up.
    pub(crate) async fn post(self, id: String, body: Arc<[u8]>) {
        let mut made = 0;
        loop {
            made += 1;
            let got = self.once(&id, &body).await;
            // An answer posted twice does no harm: its receiver has the id.
            match next(got, made, false, fastrand::f64()) {
                NextStep::Delivered => {
                    tracing::info!(callback = %self.name, webhook_id = %id, attempts = made, "callback delivered");
                    return;
                }
                NextStep::GiveUp(why) => {
                    tracing::warn!(callback = %self.name, webhook_id = %id, attempts = made, "callback given up: {why}");
                    return;
                }
                NextStep::RetryAfter(pause) => _ = Timer::after(Duration::from_micros(pause)).await,
            }
        }
    }

    async fn once(&self, id: &str, body: &Arc<[u8]>) -> AttemptResult {
        let bounds =
            PoolBounds { most: 1, connect_time: ANSWER_TIME, idle_time: ANSWER_TIME, body_bytes: 64 * 1024 };
        let pool = Pool::new(self.address, bounds);
        let signed = sign(std::slice::from_ref(&self.key), id, unix_seconds(), body);
        let headers = vec![
            (ID, signed.id),
            (TIMESTAMP, signed.timestamp.to_string()),
            (SIGNATURE, signed.signature),
            ("content-type", "application/json".to_owned()),
        ];
        let (method, target) = ("POST", self.path.clone());
        let request = Exchange { method, target, headers, body: body.clone() };
        let late = async {
            Timer::after(ANSWER_TIME).await;
            AttemptResult::NoAnswer
        };
        let posted = async {
            match pool.exchange(&request).await {
                Ok((head, _)) => {
                    let asked: Option<u64> = head.headers.get("retry-after").and_then(|v| v.parse().ok());
                    AttemptResult::Status(head.status, asked.map(|s| s.saturating_mul(1_000_000)))
                }
                Err(ExchangeError::Connect(_)) => AttemptResult::Unreached,
                Err(_) => AttemptResult::NoAnswer,
            }
        };
        posted.or(late).await
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.owed.fetch_sub(1, Ordering::Relaxed);
    }
}
