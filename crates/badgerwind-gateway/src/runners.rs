//! The runners: where each listens, and the calls, call-offs, orders and probes that go to them.

use crate::dispatch::{Content, Input};
use async_channel::{Receiver, Sender};
use badgerwind::interface::*;
use badgerwind_attempts::Fence;
use badgerwind_driver::{AttemptEnd, CancelReason};
use badgerwind_http::client::Answer;
use badgerwind_http::{ClientTls, Exchange, ExchangeError, Pool, PoolBounds, ResponseHead};
use badgerwind_protocol::list;
use badgerwind_protocol::runner::{self, LoadAnswer, LoadOrder, LoadParameters};
use badgerwind_settings::Settings;
use badgerwind_webhook::{sign, Key};
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

/// A runner's answer.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub content_type: Option<String>,
    pub body: Arc<[u8]>,
    /// A streamed answer goes on here; an empty piece ends it rightly, a close without one does not.
    pub rest: Option<Receiver<Vec<u8>>>,
}

pub(crate) struct Runners {
    settings: RwLock<Arc<Settings>>,
    key: RwLock<Key>,
    tls: RwLock<Option<ClientTls>>,
    clock: crate::clock::Clock,
    places: Mutex<HashMap<WorkerId, Place>>,
}

/// Where a runner listens.
struct Place {
    pool: Arc<Pool>,
    /// It drains: nothing new begins there, however much of the grace is left. On a machine that runs late the news of the drain
    /// may have waited for longer than anybody here can tell.
    drains: bool,
}

/// Pieces of a streamed answer that wait for a slow sender; beyond them its runner waits.
const PIECES: usize = 16;

/// What an attempt's task is told.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stop {
    /// It is called off.
    Off(CancelReason),
    /// Nobody waits for it: it is not to begin.
    Withhold,
}

enum Race<T> {
    Ended(T),
    Off(Stop),
}

impl Runners {
    pub(crate) fn new(
        settings: Arc<Settings>,
        key: Key,
        tls: Option<ClientTls>,
        clock: crate::clock::Clock,
    ) -> Self {
        let (settings, key, tls) = (RwLock::new(settings), RwLock::new(key), RwLock::new(tls));
        Runners { settings, key, tls, clock, places: Mutex::default() }
    }

    /// Other settings, another key and other certificates from now on; calls already taken keep the settings that
    /// they came under.
    pub(crate) fn change(&self, settings: Arc<Settings>, key: Key, tls: Option<ClientTls>) {
        let bounds = bounds(&settings);
        let mut now = self.tls.write().unwrap_or_else(PoisonError::into_inner);
        let under_tls = now.is_some() || tls.is_some();
        for place in self.places().values() {
            place.pool.set_bounds(bounds);
            if under_tls {
                place.pool.set_tls(tls.clone());
            }
        }
        *now = tls;
        drop(now);
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = settings;
        *self.key.write().unwrap_or_else(PoisonError::into_inner) = key;
    }

    fn settings(&self) -> Arc<Settings> {
        self.settings.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn places(&self) -> std::sync::MutexGuard<'_, HashMap<WorkerId, Place>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in where runners listen, and which of them leave. What is out at one that is gone keeps its connections.
    pub(crate) fn listed(&self, list: &list::List) {
        let bounds = bounds(&self.settings());
        let tls = self.tls.read().unwrap_or_else(PoisonError::into_inner);
        let mut places = self.places();
        if list.whole {
            let named: HashSet<WorkerId> = list.runners.iter().map(|r| r.id).collect();
            places.retain(|id, _| named.contains(id));
        }
        for r in &list.runners {
            if r.state == list::State::Gone {
                places.remove(&r.id);
                continue;
            }
            let known = places.remove(&r.id).filter(|p| p.pool.address() == r.address);
            let mut place = known.unwrap_or_else(|| {
                let pool = Pool::new(r.address, bounds);
                pool.set_tls(tls.clone());
                Place { pool: Arc::new(pool), drains: false }
            });
            place.drains = r.state != list::State::Ready;
            places.insert(r.id, place);
        }
    }

    fn pool(&self, worker: WorkerId) -> Option<Arc<Pool>> {
        self.places().get(&worker).map(|p| p.pool.clone())
    }

    /// Whether new work may begin at a runner over a connection of this pool. Asked when the first byte can go: while a
    /// connection came up, the runner may have begun to drain, gone, or moved.
    fn may_begin(&self, worker: WorkerId, pool: &Arc<Pool>) -> bool {
        self.places().get(&worker).is_some_and(|p| !p.drains && Arc::ptr_eq(&p.pool, pool))
    }

    pub(crate) fn close_idle(&self, worker: WorkerId) {
        if let Some(pool) = self.pool(worker) {
            pool.close_idle();
        }
    }

    fn call(&self, id: &RequestId, attempt: u32, content: &Content) -> Exchange {
        let s = &content.settings;
        let f = &s.functions[content.function];
        let key = self.key.read().unwrap_or_else(PoisonError::into_inner).clone();
        let keys = std::slice::from_ref(&key);
        let signed = sign(keys, &content.key, crate::clock::unix_seconds(), &content.body);
        let left = content.due.saturating_sub(self.clock.now()) / 1000;
        let fence = Fence { taken: content.taken, front: s.router.my_number, attempt };
        let mut headers = vec![
            (badgerwind_webhook::ID, signed.id),
            (badgerwind_webhook::TIMESTAMP, signed.timestamp.to_string()),
            (badgerwind_webhook::SIGNATURE, signed.signature),
            (runner::ATTEMPT, format!("{id}/{attempt}")),
            (runner::FRONT, s.router.my_number.to_string()),
            (runner::FENCE, fence.to_text()),
            ("traceparent", content.trace.child(fence.taken.wrapping_mul(64) + u64::from(attempt))),
            (runner::CLASS, s.classes[content.class].clone()),
            (runner::TENANT, s.tenants[content.tenant].clone()),
            (runner::MEMORY, f.memory_mb.to_string()),
            (runner::LANES, f.lanes.to_string()),
            (runner::TIME_LEFT, left.to_string()),
        ];
        headers.extend(content.content_type.clone().map(|t| ("content-type", t)));
        Exchange { method: "POST", target: runner::call_path(&f.name), headers, body: content.body.clone() }
    }

    /// One attempt, to its end. Called off, it asks the runner to stop and gives its connection up once that is
    /// confirmed; an answer that comes first counts.
    pub(crate) async fn attempt(
        &self,
        id: &RequestId,
        attempt: u32,
        worker: WorkerId,
        content: &Content,
        called_off: Receiver<Stop>,
        report: &Sender<Input>,
    ) -> AttemptEnd<Reply> {
        let Some(pool) = self.pool(worker) else { return AttemptEnd::from_outcome(Outcome::ConnectFailed) };
        let told = || async {
            match called_off.recv().await {
                Ok(stop) => stop,
                Err(_) => futures_lite::future::pending().await,
            }
        };
        // Until the connection is up nothing has begun, and nothing has to be stopped at the runner.
        let way = match async { Race::Off(told().await) }.or(async { Race::Ended(pool.way().await) }).await {
            Race::Ended(Ok(way)) => way,
            Race::Ended(Err(e)) => return failed(&e),
            Race::Off(Stop::Withhold) => return AttemptEnd::from_outcome(Outcome::Moot),
            Race::Off(Stop::Off(CancelReason::Cancelled)) => {
                return AttemptEnd::from_outcome(Outcome::Cancelled)
            }
            Race::Off(Stop::Off(CancelReason::TimedOut)) => {
                return AttemptEnd::from_outcome(Outcome::ConnectFailed)
            }
        };
        if !self.may_begin(worker, &pool) {
            return AttemptEnd::from_outcome(Outcome::Moot);
        }
        let request = self.call(id, attempt, content);
        let streaming = content.settings.router.classes[content.class].streaming;
        let mut call = Box::pin(async {
            let mut answer = match way.send(&request).await {
                Ok(answer) => answer,
                Err(e) => return failed(&e),
            };
            if streaming && judged(&answer.head) == Outcome::Ok {
                return self.stream(id, attempt, answer, report).await;
            }
            let mut body = Vec::new();
            loop {
                match answer.piece(&mut body).await {
                    Ok(true) => {}
                    Ok(false) => break,
                    Err(e) => return failed(&e),
                }
            }
            ended(&answer.finish(), body)
        });
        let why = loop {
            match async { Race::Ended((&mut call).await) }.or(async { Race::Off(told().await) }).await {
                Race::Ended(end) => return end,
                Race::Off(Stop::Withhold) => {} // it has begun
                Race::Off(Stop::Off(why)) => break why,
            }
        };
        let outcome = match why {
            CancelReason::Cancelled => Outcome::Cancelled,
            CancelReason::TimedOut => Outcome::Timeout,
        };
        let stop = Exchange {
            method: "DELETE",
            target: runner::attempt_path(id, attempt),
            headers: vec![(runner::FRONT, content.settings.router.my_number.to_string())],
            body: Arc::from(&b""[..]),
        };
        let bound = Duration::from_micros(content.settings.runners.cancel_timeout);
        let stopped = async {
            let late = async {
                Timer::after(bound).await;
            };
            async { _ = pool.exchange(&stop).await }.or(late).await;
            None
        };
        match async { Some((&mut call).await) }.or(stopped).await {
            // A runner that stops work answers the call so.
            Some(end) if end.outcome != Outcome::Error => end,
            _ => AttemptEnd::from_outcome(outcome),
        }
    }

    async fn stream(
        &self,
        id: &RequestId,
        attempt: u32,
        mut answer: Answer<'_>,
        report: &Sender<Input>,
    ) -> AttemptEnd<Reply> {
        let (pieces, rest) = async_channel::bounded(PIECES);
        let content_type = answer.head.headers.get("content-type").map(str::to_owned);
        let reply = Reply { content_type, body: Arc::from(&b""[..]), rest: Some(rest) };
        let _ = report.send(Input::StreamBegan { id: id.clone(), attempt, reply }).await;
        loop {
            let mut piece = Vec::new();
            match answer.piece(&mut piece).await {
                Ok(true) if pieces.send(piece).await.is_ok() => {}
                Ok(true) => return AttemptEnd::from_outcome(Outcome::Cancelled), // the sender has left
                Ok(false) => {
                    let _ = pieces.send(Vec::new()).await;
                    return ended(&answer.finish(), Vec::new());
                }
                Err(e) => return failed(&e),
            }
        }
    }

    fn parameters(&self, function: &str, copies: u32) -> Arc<[u8]> {
        let settings = self.settings();
        let f = settings.functions.iter().find(|f| f.name == function);
        let (memory_mb, lanes) = f.map_or((0.0, 1), |f| (f.memory_mb, f.lanes));
        let order = LoadOrder { parameters: LoadParameters { copies, memory_mb, lanes } };
        // A plain record of numbers always becomes JSON.
        serde_json::to_vec(&order).unwrap_or_default().into()
    }

    fn post(&self, target: String, body: Arc<[u8]>) -> Exchange {
        let headers = vec![
            ("content-type", "application/json".to_owned()),
            (runner::FRONT, self.settings().router.my_number.to_string()),
        ];
        Exchange { method: "POST", target, headers, body }
    }

    /// A load order, to its end; its time-out is the caller's.
    pub(crate) async fn order(&self, worker: WorkerId, function: &str, copies: u32) -> (Outcome, u32) {
        let Some(pool) = self.pool(worker) else { return (Outcome::ConnectFailed, 0) };
        let request = self.post(runner::load_path(function), self.parameters(function, copies));
        let ordered = async {
            let way = pool.way().await?;
            if copies > 0 && !self.may_begin(worker, &pool) {
                return Ok(None);
            }
            way.send(&request).await?.whole().await.map(Some)
        };
        match ordered.await {
            Err(e) => (failed(&e).outcome, 0),
            Ok(None) => (Outcome::Full, 0),
            Ok(Some((head, body))) => {
                let stand = serde_json::from_slice(&body).map_or(0, |a: LoadAnswer| a.copies);
                let outcome = match head.status {
                    200..=299 => Outcome::Ok,
                    503 => Outcome::Full,
                    _ => Outcome::Error,
                };
                (outcome, stand)
            }
        }
    }

    pub(crate) async fn unload(&self, worker: WorkerId, function: &str) {
        let Some(pool) = self.pool(worker) else { return };
        let request = self.post(runner::unload_path(function), Arc::from(&b"{}"[..]));
        let late = async {
            Timer::after(Duration::from_micros(self.settings().router.order_timeout)).await;
        };
        async { _ = pool.exchange(&request).await }.or(late).await;
    }

    pub(crate) async fn probe(&self, worker: WorkerId) -> (Outcome, Option<Vec<f64>>) {
        let Some(pool) = self.pool(worker) else { return (Outcome::ConnectFailed, None) };
        let request = Exchange {
            method: "GET",
            target: runner::READY_PATH.into(),
            headers: vec![],
            body: Arc::from(&b""[..]),
        };
        let late = async {
            Timer::after(Duration::from_micros(self.settings().runners.probe_timeout)).await;
            (Outcome::Timeout, None)
        };
        let probe = async {
            match pool.exchange(&request).await {
                Ok((head, _)) => {
                    let outcome = if head.status == 200 { Outcome::Ok } else { Outcome::Full };
                    (outcome, runner::report(head.headers.get(runner::REPORT)))
                }
                Err(e) => (failed(&e).outcome, None),
            }
        };
        probe.or(late).await
    }
}

fn bounds(settings: &Settings) -> PoolBounds {
    let s = &settings.runners;
    PoolBounds {
        most: s.max_connections,
        connect_time: s.connect_timeout,
        idle_time: s.idle_timeout,
        body_bytes: s.max_answer_bytes,
    }
}

fn failed(e: &ExchangeError) -> AttemptEnd<Reply> {
    AttemptEnd::from_outcome(match e {
        ExchangeError::Connect(_) => Outcome::ConnectFailed,
        ExchangeError::Reset(_) => Outcome::Reset,
        ExchangeError::Malformed(_) => Outcome::Error,
    })
}

fn judged(head: &ResponseHead) -> Outcome {
    runner::outcome(head.status, head.headers.get(runner::OUTCOME))
}

fn ended(head: &ResponseHead, body: Vec<u8>) -> AttemptEnd<Reply> {
    let content_type = head.headers.get("content-type").map(str::to_owned);
    AttemptEnd {
        outcome: judged(head),
        mark: runner::mark(head.headers.get(runner::COPY)),
        crowd: head.headers.get(runner::CROWD).and_then(|c| c.parse().ok()),
        report: runner::report(head.headers.get(runner::REPORT)),
        reply: Some(Reply { content_type, body: body.into(), rest: None }),
    }
}
