//! Result callbacks: the final answer of a call that requested it is also posted as a signed webhook, only
//! ever to an address from the settings. Delivery is at least once while the process runs, on the retry
//! schedule of the webhook specification. Pending callbacks are held in memory only and are lost when the
//! process ends.

use crate::clock::unix_seconds;
use badgerwind_http::{Exchange, ExchangeError, Pool, PoolLimits};
use badgerwind_webhook::delivery::{next, AttemptResult, NextStep};
use badgerwind_webhook::{sign, Key, ID, SIGNATURE, TIMESTAMP};
use futures_lite::FutureExt;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Time limit of one delivery attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(15);

/// A callback to deliver; it occupies one of the limited slots until it is dropped.
pub(crate) struct PendingCallback {
    pub name: String,
    pub address: SocketAddr,
    pub path: String,
    pub key: Key,
    slots_used: Arc<AtomicUsize>,
}

impl PendingCallback {
    /// Reserves a slot; `None` if all `max` slots are in use.
    pub(crate) fn reserve(
        slots_used: &Arc<AtomicUsize>,
        max: usize,
        (name, address, path): (&str, SocketAddr, &str),
        key: Key,
    ) -> Option<PendingCallback> {
        let fits = |n: usize| (n < max).then_some(n + 1);
        slots_used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).ok()?;
        let (name, path) = (name.to_owned(), path.to_owned());
        Some(PendingCallback { name, address, path, key, slots_used: slots_used.clone() })
    }

    /// Posts the body until it is delivered or the retry schedule ends.
    pub(crate) async fn post(self, id: String, body: Arc<[u8]>) {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let result = self.post_once(&id, &body).await;
            // Posting an answer twice is harmless: its receiver can tell by the id.
            match next(result, attempts, false, fastrand::f64()) {
                NextStep::Delivered => {
                    tracing::info!(callback = %self.name, webhook_id = %id, attempts, "callback delivered");
                    return;
                }
                NextStep::GiveUp(reason) => {
                    tracing::warn!(callback = %self.name, webhook_id = %id, attempts, "callback given up: {reason}");
                    return;
                }
                NextStep::RetryAfter(pause) => _ = Timer::after(Duration::from_micros(pause)).await,
            }
        }
    }

    async fn post_once(&self, id: &str, body: &Arc<[u8]>) -> AttemptResult {
        let limits = PoolLimits {
            max_connections: 1,
            connect_timeout: ATTEMPT_TIMEOUT,
            idle_timeout: ATTEMPT_TIMEOUT,
            max_body_bytes: 64 * 1024,
        };
        let pool = Pool::new(self.address, limits);
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
            Timer::after(ATTEMPT_TIMEOUT).await;
            AttemptResult::NoAnswer
        };
        let posted = async {
            match pool.exchange(&request).await {
                Ok((head, _)) => {
                    let retry_after: Option<u64> =
                        head.headers.get("retry-after").and_then(|v| v.parse().ok());
                    AttemptResult::Status(head.status, retry_after.map(|s| s.saturating_mul(1_000_000)))
                }
                Err(ExchangeError::Connect(_)) => AttemptResult::Unreached,
                Err(_) => AttemptResult::NoAnswer,
            }
        };
        posted.or(late).await
    }
}

impl Drop for PendingCallback {
    fn drop(&mut self) {
        self.slots_used.fetch_sub(1, Ordering::Relaxed);
    }
}
