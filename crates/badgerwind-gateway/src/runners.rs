//! The client of the runners: their endpoints, and the calls, cancellations, load orders and probes sent to
//! them.

use crate::dispatch::{Content, Input};
use async_channel::{Receiver, Sender};
use badgerwind::interface::*;
use badgerwind_attempts::Fence;
use badgerwind_driver::{AttemptEnd, CancelReason};
use badgerwind_http::client::Answer;
use badgerwind_http::{ClientTls, Exchange, ExchangeError, Pool, PoolLimits, ResponseHead};
use badgerwind_protocol::list;
use badgerwind_protocol::runner::{self, LoadAnswer, LoadOrder, LoadParameters};
use badgerwind_settings::Settings;
use badgerwind_webhook::{sign, Key};
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

/// A runner's answer to a call.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub content_type: Option<String>,
    pub body: Arc<[u8]>,
    /// The remaining body of a streamed answer. An empty chunk marks the regular end; a close without one
    /// means that the stream broke off.
    pub rest: Option<Receiver<Vec<u8>>>,
}

/// Sends requests to runners.
pub(crate) struct Runners {
    settings: RwLock<Arc<Settings>>,
    signing_key: RwLock<Key>,
    tls: RwLock<Option<ClientTls>>,
    clock: crate::clock::Clock,
    endpoints: Mutex<HashMap<WorkerId, Endpoint>>,
}

/// The endpoint of a runner.
struct Endpoint {
    pool: Arc<Pool>,
    /// The runner is draining: no new work is sent to it, even while its grace period lasts. On an overloaded
    /// machine the notice of the drain may have been delayed for an unknown time.
    draining: bool,
}

/// Chunks of a streamed answer that are queued for a slow sender; beyond them backpressure stops the runner.
const STREAM_QUEUE: usize = 16;

/// Signals to the task of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AttemptSignal {
    /// Cancel the attempt.
    Cancel(CancelReason),
    /// Nobody waits for the answer: do not start the attempt.
    Withhold,
}

/// What came first, the result or a signal.
enum Race<T> {
    Completed(T),
    Signal(AttemptSignal),
}

impl Runners {
    pub(crate) fn new(
        settings: Arc<Settings>,
        key: Key,
        tls: Option<ClientTls>,
        clock: crate::clock::Clock,
    ) -> Self {
        let (settings, signing_key, tls) = (RwLock::new(settings), RwLock::new(key), RwLock::new(tls));
        Runners { settings, signing_key, tls, clock, endpoints: Mutex::default() }
    }

    /// Replaces settings, key and certificates; calls already accepted keep the settings they were accepted
    /// under.
    pub(crate) fn update(&self, settings: Arc<Settings>, key: Key, tls: Option<ClientTls>) {
        let limits = pool_limits(&settings);
        let mut current_tls = self.tls.write().unwrap_or_else(PoisonError::into_inner);
        let under_tls = current_tls.is_some() || tls.is_some();
        for endpoint in self.endpoints().values() {
            endpoint.pool.set_limits(limits);
            if under_tls {
                endpoint.pool.set_tls(tls.clone());
            }
        }
        *current_tls = tls;
        drop(current_tls);
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = settings;
        *self.signing_key.write().unwrap_or_else(PoisonError::into_inner) = key;
    }

    fn settings(&self) -> Arc<Settings> {
        self.settings.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn endpoints(&self) -> std::sync::MutexGuard<'_, HashMap<WorkerId, Endpoint>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a list: endpoints, draining and removed runners. Attempts at a removed runner keep their
    /// connections.
    pub(crate) fn apply_list(&self, list: &list::List) {
        let limits = pool_limits(&self.settings());
        let tls = self.tls.read().unwrap_or_else(PoisonError::into_inner);
        let mut endpoints = self.endpoints();
        if list.whole {
            let listed_ids: HashSet<WorkerId> = list.runners.iter().map(|r| r.id).collect();
            endpoints.retain(|id, _| listed_ids.contains(id));
        }
        for runner in &list.runners {
            if runner.availability == list::Availability::Removed {
                endpoints.remove(&runner.id);
                continue;
            }
            let existing = endpoints.remove(&runner.id).filter(|p| p.pool.address() == runner.address);
            let mut endpoint = existing.unwrap_or_else(|| {
                let pool = Pool::new(runner.address, limits);
                pool.set_tls(tls.clone());
                Endpoint { pool: Arc::new(pool), draining: false }
            });
            endpoint.draining = runner.availability != list::Availability::Ready;
            endpoints.insert(runner.id, endpoint);
        }
    }

    fn pool(&self, worker: WorkerId) -> Option<Arc<Pool>> {
        self.endpoints().get(&worker).map(|p| p.pool.clone())
    }

    /// Whether new work may start at a runner over a connection of this pool. Checked when the first byte can
    /// be sent: while the connection was established, the runner may have started to drain, been removed, or
    /// changed its address.
    fn may_start(&self, worker: WorkerId, pool: &Arc<Pool>) -> bool {
        self.endpoints().get(&worker).is_some_and(|p| !p.draining && Arc::ptr_eq(&p.pool, pool))
    }

    /// Closes the idle connections to a runner.
    pub(crate) fn close_idle(&self, worker: WorkerId) {
        if let Some(pool) = self.pool(worker) {
            pool.close_idle();
        }
    }

    /// The request of an attempt, signed and with the call's headers.
    fn call_request(&self, id: &RequestId, attempt: u32, content: &Content) -> Exchange {
        let settings = &content.settings;
        let function = &settings.functions[content.function];
        let key = self.signing_key.read().unwrap_or_else(PoisonError::into_inner).clone();
        let keys = std::slice::from_ref(&key);
        let signed = sign(keys, &content.key, crate::clock::unix_seconds(), &content.body);
        let time_left = content.due.saturating_sub(self.clock.now()) / 1000;
        let fence = Fence { taken: content.accepted_at, front: settings.router.my_number, attempt };
        let mut headers = vec![
            (badgerwind_webhook::ID, signed.id),
            (badgerwind_webhook::TIMESTAMP, signed.timestamp.to_string()),
            (badgerwind_webhook::SIGNATURE, signed.signature),
            (runner::ATTEMPT, format!("{id}/{attempt}")),
            (runner::FRONT, settings.router.my_number.to_string()),
            (runner::FENCE, fence.to_text()),
            ("traceparent", content.trace.child(fence.taken.wrapping_mul(64) + u64::from(attempt))),
            (runner::CLASS, settings.classes[content.class].clone()),
            (runner::TENANT, settings.tenants[content.tenant].clone()),
            (runner::MEMORY, function.memory_mb.to_string()),
            (runner::LANES, function.lanes.to_string()),
            (runner::TIME_LEFT, time_left.to_string()),
        ];
        headers.extend(content.content_type.clone().map(|t| ("content-type", t)));
        Exchange {
            method: "POST",
            target: runner::call_path(&function.name),
            headers,
            body: content.body.clone(),
        }
    }

    /// Runs one attempt to its end. When cancelled it asks the runner to stop, and drops its connection once
    /// the runner has confirmed; an answer that arrives first counts.
    pub(crate) async fn send_attempt(
        &self,
        id: &RequestId,
        attempt: u32,
        worker: WorkerId,
        content: &Content,
        signals: Receiver<AttemptSignal>,
        inputs: &Sender<Input>,
    ) -> AttemptEnd<Reply> {
        let Some(pool) = self.pool(worker) else { return AttemptEnd::from_outcome(Outcome::ConnectFailed) };
        let next_signal = || async {
            match signals.recv().await {
                Ok(signal) => signal,
                Err(_) => futures_lite::future::pending().await,
            }
        };
        // Until the connection is established nothing has started, and nothing has to be stopped at the
        // runner.
        let connection = match async { Race::Signal(next_signal().await) }
            .or(async { Race::Completed(pool.acquire().await) })
            .await
        {
            Race::Completed(Ok(connection)) => connection,
            Race::Completed(Err(e)) => return end_of_error(&e),
            Race::Signal(AttemptSignal::Withhold) => return AttemptEnd::from_outcome(Outcome::Moot),
            Race::Signal(AttemptSignal::Cancel(CancelReason::Cancelled)) => {
                return AttemptEnd::from_outcome(Outcome::Cancelled)
            }
            Race::Signal(AttemptSignal::Cancel(CancelReason::TimedOut)) => {
                return AttemptEnd::from_outcome(Outcome::ConnectFailed)
            }
        };
        if !self.may_start(worker, &pool) {
            return AttemptEnd::from_outcome(Outcome::Moot);
        }
        let request = self.call_request(id, attempt, content);
        let streaming = content.settings.router.classes[content.class].streaming;
        let mut call = Box::pin(async {
            let mut answer = match connection.send(&request).await {
                Ok(answer) => answer,
                Err(e) => return end_of_error(&e),
            };
            if streaming && outcome_of(&answer.head) == Outcome::Ok {
                return self.stream(id, attempt, answer, inputs).await;
            }
            let mut body = Vec::new();
            loop {
                match answer.read_piece(&mut body).await {
                    Ok(true) => {}
                    Ok(false) => break,
                    Err(e) => return end_of_error(&e),
                }
            }
            end_of_answer(&answer.finish(), body)
        });
        let reason = loop {
            match async { Race::Completed((&mut call).await) }
                .or(async { Race::Signal(next_signal().await) })
                .await
            {
                Race::Completed(end) => return end,
                Race::Signal(AttemptSignal::Withhold) => {} // it has started
                Race::Signal(AttemptSignal::Cancel(reason)) => break reason,
            }
        };
        let outcome = match reason {
            CancelReason::Cancelled => Outcome::Cancelled,
            CancelReason::TimedOut => Outcome::Timeout,
        };
        let stop = Exchange {
            method: "DELETE",
            target: runner::attempt_path(id, attempt),
            headers: vec![(runner::FRONT, content.settings.router.my_number.to_string())],
            body: Arc::from(&b""[..]),
        };
        let cancel_timeout = Duration::from_micros(content.settings.runners.cancel_timeout);
        let stopped = async {
            let timeout = async {
                Timer::after(cancel_timeout).await;
            };
            async { _ = pool.exchange(&stop).await }.or(timeout).await;
            None
        };
        match async { Some((&mut call).await) }.or(stopped).await {
            // A runner that stops the work ends the call with an error.
            Some(end) if end.outcome != Outcome::Error => end,
            _ => AttemptEnd::from_outcome(outcome),
        }
    }

    /// Forwards a streamed answer until it ends.
    async fn stream(
        &self,
        id: &RequestId,
        attempt: u32,
        mut answer: Answer<'_>,
        inputs: &Sender<Input>,
    ) -> AttemptEnd<Reply> {
        let (chunks, rest) = async_channel::bounded(STREAM_QUEUE);
        let content_type = answer.head.headers.get("content-type").map(str::to_owned);
        let reply = Reply { content_type, body: Arc::from(&b""[..]), rest: Some(rest) };
        let _ = inputs.send(Input::StreamBegan { id: id.clone(), attempt, reply }).await;
        loop {
            let mut chunk = Vec::new();
            match answer.read_piece(&mut chunk).await {
                Ok(true) if chunks.send(chunk).await.is_ok() => {}
                Ok(true) => return AttemptEnd::from_outcome(Outcome::Cancelled), // the sender has disconnected
                Ok(false) => {
                    let _ = chunks.send(Vec::new()).await;
                    return end_of_answer(&answer.finish(), Vec::new());
                }
                Err(e) => return end_of_error(&e),
            }
        }
    }

    /// The body of a load order.
    fn load_parameters(&self, function: &str, copies: u32) -> Arc<[u8]> {
        let settings = self.settings();
        let f = settings.functions.iter().find(|f| f.name == function);
        let (memory_mb, lanes) = f.map_or((0.0, 1), |f| (f.memory_mb, f.lanes));
        let order = LoadOrder { parameters: LoadParameters { copies, memory_mb, lanes } };
        // Serializing a struct of numbers cannot fail.
        serde_json::to_vec(&order).unwrap_or_default().into()
    }

    fn post_request(&self, target: String, body: Arc<[u8]>) -> Exchange {
        let headers = vec![
            ("content-type", "application/json".to_owned()),
            (runner::FRONT, self.settings().router.my_number.to_string()),
        ];
        Exchange { method: "POST", target, headers, body }
    }

    /// Runs a load order to its end and returns the number of copies loaded; the caller applies the timeout.
    pub(crate) async fn send_order(&self, worker: WorkerId, function: &str, copies: u32) -> (Outcome, u32) {
        let Some(pool) = self.pool(worker) else { return (Outcome::ConnectFailed, 0) };
        let request = self.post_request(runner::load_path(function), self.load_parameters(function, copies));
        let response = async {
            let connection = pool.acquire().await?;
            if copies > 0 && !self.may_start(worker, &pool) {
                return Ok(None);
            }
            connection.send(&request).await?.read_to_end().await.map(Some)
        };
        match response.await {
            Err(e) => (end_of_error(&e).outcome, 0),
            Ok(None) => (Outcome::Full, 0),
            Ok(Some((head, body))) => {
                let loaded = serde_json::from_slice(&body).map_or(0, |a: LoadAnswer| a.copies);
                let outcome = match head.status {
                    200..=299 => Outcome::Ok,
                    503 => Outcome::Full,
                    _ => Outcome::Error,
                };
                (outcome, loaded)
            }
        }
    }

    /// Drops all copies of a function at a runner.
    pub(crate) async fn unload(&self, worker: WorkerId, function: &str) {
        let Some(pool) = self.pool(worker) else { return };
        let request = self.post_request(runner::unload_path(function), Arc::from(&b"{}"[..]));
        let timeout = async {
            Timer::after(Duration::from_micros(self.settings().router.order_timeout)).await;
        };
        async { _ = pool.exchange(&request).await }.or(timeout).await;
    }

    /// Probes a runner for readiness; returns its load report if it sent one.
    pub(crate) async fn probe(&self, worker: WorkerId) -> (Outcome, Option<Vec<f64>>) {
        let Some(pool) = self.pool(worker) else { return (Outcome::ConnectFailed, None) };
        let request = Exchange {
            method: "GET",
            target: runner::READY_PATH.into(),
            headers: vec![],
            body: Arc::from(&b""[..]),
        };
        let timeout = async {
            Timer::after(Duration::from_micros(self.settings().runners.probe_timeout)).await;
            (Outcome::Timeout, None)
        };
        let probe = async {
            match pool.exchange(&request).await {
                Ok((head, _)) => {
                    let outcome = if head.status == 200 { Outcome::Ok } else { Outcome::Full };
                    (outcome, runner::report(head.headers.get(runner::REPORT)))
                }
                Err(e) => (end_of_error(&e).outcome, None),
            }
        };
        probe.or(timeout).await
    }
}

fn pool_limits(settings: &Settings) -> PoolLimits {
    let runners = &settings.runners;
    PoolLimits {
        max_connections: runners.max_connections,
        connect_timeout: runners.connect_timeout,
        idle_timeout: runners.idle_timeout,
        max_body_bytes: runners.max_answer_bytes,
    }
}

/// The end of an attempt without an answer.
fn end_of_error(e: &ExchangeError) -> AttemptEnd<Reply> {
    AttemptEnd::from_outcome(match e {
        ExchangeError::Connect(_) => Outcome::ConnectFailed,
        ExchangeError::Reset(_) => Outcome::Reset,
        ExchangeError::Malformed(_) => Outcome::Error,
    })
}

fn outcome_of(head: &ResponseHead) -> Outcome {
    runner::outcome(head.status, head.headers.get(runner::OUTCOME))
}

/// The end of an attempt with an answer.
fn end_of_answer(head: &ResponseHead, body: Vec<u8>) -> AttemptEnd<Reply> {
    let content_type = head.headers.get("content-type").map(str::to_owned);
    AttemptEnd {
        outcome: outcome_of(head),
        mark: runner::mark(head.headers.get(runner::COPY)),
        crowd: head.headers.get(runner::CROWD).and_then(|c| c.parse().ok()),
        report: runner::report(head.headers.get(runner::REPORT)),
        reply: Some(Reply { content_type, body: body.into(), rest: None }),
    }
}
