//! The front for signed webhooks: HTTP, signature checks and the replay cache of webhook ids. Routing is left
//! to the engine, which takes each call and returns exactly one final answer.
//!
//! `docs/protocols/webhook.md` specifies the protocol as senders see it.

mod responses;

use crate::answers::{retention, Retention};
use crate::answers_due::{AnswerDue, AnswersDue};
use crate::callbacks::PendingCallback;
use crate::clock::{unix_micros, unix_seconds, Clock};
use crate::dispatch::{CallEnd, Content, Input, Origin};
use crate::metrics::Metrics;
use crate::runners::Reply;
use crate::trace::TraceParent;
use async_channel::{Receiver, Sender};
use badgerwind::interface::*;
use badgerwind_config::shadow::RecordedCall;
use badgerwind_driver::{Call, FinalAnswer, Lag};
use badgerwind_guard::{forwarded_address, Budget, Claimant, Guard, Permit, Source};
use badgerwind_http::{Conn, Limits, RequestHead, Response, ServerTls, Stream};
use badgerwind_settings::{Settings, Target};
use badgerwind_webhook::{
    Admission, Claim, ClockSkew, Digest, Ending, Id, Key, KeyRing, Replay, ReplayLimits, VerifyError,
    WallClock,
};
use futures_lite::FutureExt;
use responses::{forward_stream, problem_document, rejection, replayed, Rejection};
use smol::net::TcpListener;
use smol::Timer;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

/// Pause after a failed `accept`, so that the loop does not spin; the usual cause is a lack of file
/// descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Request header: how long the sender waits, in milliseconds. The class's deadline applies where the header
/// is missing or longer.
const DEADLINE_HEADER: &str = "badgerwind-deadline-ms";
/// Request header: `1` marks a repeat by the sender.
const RETRY_HEADER: &str = "badgerwind-retry";
/// Request header: names the sender's callback to which the final answer is also posted.
const CALLBACK_HEADER: &str = "badgerwind-callback";
/// Response header: the request id used in logs and by runners.
const REQUEST_HEADER: &str = "badgerwind-request";

/// An answer queued for its connection's task.
struct QueuedResponse {
    response: Arc<Response>,
    /// The remaining body of a streamed answer.
    rest: Option<Receiver<Vec<u8>>>,
    /// When it was queued.
    queued_at: Time,
    _due: AnswerDue,
}

type ReplayCache = Replay<Arc<Response>, Sender<Arc<Response>>>;

/// The configuration of a front; it is replaced as a whole.
pub(crate) struct FrontConfig {
    pub settings: Arc<Settings>,
    /// The valid keys of each sender, by the sender's index.
    pub rings: Vec<KeyRing>,
    /// The keys that sign callbacks, by the sender's and the callback's index.
    pub callbacks: Vec<Vec<Key>>,
    /// TLS towards senders, if configured.
    pub tls: Option<ServerTls>,
    /// Number of the decision module that was started with these settings' classes and tenants.
    pub module: u64,
}

/// How often a call whose own sender has disconnected is checked for repeats that still wait for its answer.
const REPEAT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of recent calls recorded, for replaying against settings before they are applied.
const MAX_RECENT_CALLS: usize = 2_000;
/// Age limit of those calls, in microseconds.
const RECENT_WINDOW: Micros = 20_000_000;

pub(crate) struct Front {
    pub config: RwLock<Arc<FrontConfig>>,
    /// Recent calls, against which new settings are replayed.
    pub recent_calls: Mutex<VecDeque<RecordedCall>>,
    pub counts: AnswerCounts,
    /// Number of callbacks not yet delivered or given up.
    pub pending_callbacks: Arc<AtomicUsize>,
    /// Webhook ids and the answers they got.
    pub replay: Mutex<ReplayCache>,
    /// Answers waiting to be written.
    pub answers_due: AnswersDue,
    /// Scheduling lag of this front end.
    pub lag: Arc<Mutex<Lag>>,
    /// Limits on failed signatures.
    pub guard: Mutex<Guard>,
    /// The clock against which timestamps of signatures are checked.
    pub wall: Mutex<WallClock>,
    /// Clock skew of each sender, by the sender's index.
    pub skews: Mutex<Vec<ClockSkew>>,
    /// Permits for signature checks of large bodies, which run on separate threads.
    pub check_permits: smol::lock::Semaphore,
    pub inputs: Sender<Input>,
    pub clock: Clock,
    pub metrics: Arc<Metrics>,
    /// Prefix of the request ids of this process; no two processes share one.
    pub request_id_prefix: String,
    pub next_request: AtomicU64,
    /// Number of open connections.
    pub open_connections: AtomicUsize,
    /// Wakes the accept loop after a connection has closed or the limit has changed.
    pub capacity_changed: Sender<()>,
    pub capacity_changes: Receiver<()>,
    pub stopping: AtomicBool,
}

/// Calls answered since the start, by kind of answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerCounts {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

/// A call that has not been answered yet. If it is dropped unanswered, those that wait for it find the
/// channel closed.
struct ActiveCall {
    front: Arc<Front>,
    settings: Arc<Settings>,
    sender: usize,
    function: usize,
    sender_timeout: Micros,
    class: usize,
    webhook_id: Arc<str>,
    /// The id scoped by the sender's name: the key of the replay cache.
    scoped: Id,
    remembered: bool,
    completed: bool,
    due: Time,
    callback: Option<PendingCallback>,
    reply: Sender<QueuedResponse>,
}

impl ActiveCall {
    fn complete(&mut self, ending: Ending<Arc<Response>>, answer: Option<&Arc<Response>>) {
        self.completed = true;
        if !self.remembered {
            return;
        }
        let waiters = self.front.replay_cache().end(self.front.clock.now(), &self.scoped, ending);
        for (waiter, answer) in waiters.into_iter().zip(std::iter::repeat(answer)) {
            if let Some(answer) = answer {
                let _ = waiter.try_send(answer.clone()); // each waiter's channel has capacity for one answer
            }
        }
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        if !self.completed {
            self.complete(Ending::Forget, None);
        }
    }
}

impl Origin for ActiveCall {
    fn answer(mut self: Box<Self>, id: &RequestId, end: CallEnd) {
        let CallEnd { answer, attempts, worker, lag } = end;
        let front = self.front.clone();
        let settings = self.settings.clone();
        let class = &settings.router.classes[self.class];
        let retention = retention(class.effect, class.group, &answer, attempts);
        let overdue = front.clock.now() >= self.due;
        let (kind, response, rest) = match answer {
            FinalAnswer::Served(Reply { content_type, body, rest }) => {
                let content_type = content_type.as_deref().unwrap_or("");
                ("served", Response::new(200, content_type, body), rest)
            }
            FinalAnswer::Refused { retry_after, .. } => {
                let retry_after = retry_after.filter(|&t| t > 0);
                let text = "turned away before it ran";
                (
                    "refused",
                    problem_document(&Rejection { retry_after, ..rejection(503, "refused", text) }),
                    None,
                )
            }
            FinalAnswer::Failed(failure) => {
                let text = format!("no answer could be had ({failure:?}); it may have run");
                let status = if overdue { 504 } else { 502 };
                (
                    "failed",
                    problem_document(&Rejection {
                        safe_to_retry: false,
                        ..rejection(status, "failed", text)
                    }),
                    None,
                )
            }
        };
        let name = &settings.classes[self.class];
        let count = match kind {
            "served" => &front.counts.served,
            "refused" => &front.counts.refused,
            _ => &front.counts.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        front.record_call(RecordedCall {
            arrived_at: front.clock.now().saturating_sub(lag),
            class: name.clone(),
            tenant: settings.tenants[settings.webhook.senders[self.sender].tenant].clone(),
            function: settings.functions[self.function].name.clone(),
            sender_timeout: self.sender_timeout,
            served: kind == "served",
            latency: lag,
        });
        front.metrics.record_answer(name, kind, lag);
        tracing::info!(
            request = %id, webhook_id = %self.webhook_id, sender = %settings.webhook.senders[self.sender].name,
            class = %name, answer = kind, attempts, worker, lag_us = lag, "answered"
        );
        let response = Arc::new(response.with(REQUEST_HEADER, &**id));
        let size = response.body.len() + RECORD_OVERHEAD;
        let ending = match retention {
            // A streamed body is not buffered, so it cannot be replayed.
            Retention::Remember if rest.is_none() => Ending::Remember { answer: response.clone(), size },
            _ => Ending::Forget,
        };
        self.complete(ending, rest.is_none().then_some(&response));
        if let Some(callback) = self.callback.take() {
            let body = serde_json::json!({
                "type": "call.answered",
                "timestamp": unix_seconds(),
                "data": {
                    "webhook_id": &*self.webhook_id,
                    "request": &**id,
                    "answer": kind,
                    "status": response.status,
                    "body": String::from_utf8_lossy(&response.body),
                },
            });
            let body: Arc<[u8]> = body.to_string().into_bytes().into();
            smol::spawn(callback.post(format!("{}_answer", self.webhook_id), body)).detach();
        }
        let (queued_at, _due) = (front.clock.now(), front.answers_due.add());
        let _ = self.reply.try_send(QueuedResponse { response, rest, queued_at, _due });
    }
}

/// The limits of a connection.
fn connection_limits(settings: &Settings) -> Limits {
    let webhook = &settings.webhook;
    Limits {
        max_head_bytes: webhook.max_head_bytes,
        max_headers: webhook.max_headers,
        head_timeout: webhook.head_timeout,
        max_body_bytes: webhook.max_body_bytes,
        body_timeout: webhook.body_timeout,
        idle_timeout: webhook.idle_timeout,
        write_timeout: webhook.write_timeout,
    }
}

/// The limits of the replay cache.
pub(crate) fn replay_limits(settings: &Settings) -> ReplayLimits {
    let webhook = &settings.webhook;
    let longest = webhook.senders.iter().map(|s| ReplayLimits::retention_for(s.tolerance)).max().unwrap_or(0);
    let keep = webhook.answer_retention.max(longest);
    ReplayLimits {
        max_ids: webhook.max_remembered_ids,
        retention: keep,
        max_waiters: webhook.max_waiters,
        max_bytes: webhook.max_remembered_bytes,
    }
}

/// The limits on failed signatures.
pub(crate) fn guard_limits(settings: &Settings) -> badgerwind_guard::Limits {
    let guard = &settings.webhook.guard;
    let budget = |(burst, rate)| Budget { burst, rate };
    badgerwind_guard::Limits {
        source: budget(guard.source_limit),
        sender: budget(guard.sender_limit),
        max_sources: guard.max_sources,
        known_duration: guard.known_source_time,
        bytes_per_check: guard.bytes_per_check,
    }
}

/// Largest body, in bytes, that is read to its end after its message was rejected, so that the connection can
/// be reused.
const MAX_DRAINED_BODY: u64 = 16 * 1024;

/// Largest body, in bytes, whose signature is checked in place; the check of a larger one runs on a separate
/// thread so that it does not block other connections.
const MAX_INLINE_CHECK: u64 = 32 * 1024;

/// Upper bound, in bytes, on a remembered id's memory besides the body of its answer: up to 240 bytes for the
/// id, as measured by `cargo bench -p badgerwind-webhook --bench replay`; the rest is for the answer's head.
const RECORD_OVERHEAD: usize = 512;

/// A message whose signature is valid.
struct Verified {
    /// The name of the key that signed it.
    key: Arc<str>,
    /// Its timestamp, in seconds since the Unix epoch.
    sent: i64,
    /// Digest of path and body.
    digest: Digest,
    body: Vec<u8>,
}

/// The result of handling one message.
enum Handled {
    Answer(Arc<Response>),
    Stream(Arc<Response>, Receiver<Vec<u8>>),
    /// The sender has disconnected.
    Disconnected,
}

impl Front {
    /// The current configuration.
    pub(crate) fn config(&self) -> Arc<FrontConfig> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the configuration; messages already being handled keep the previous one.
    pub(crate) fn set_config(&self, config: FrontConfig) {
        self.replay_cache().set_limits(replay_limits(&config.settings));
        let names = |s: &Settings| s.webhook.senders.iter().map(|s| s.name.clone()).collect::<Vec<_>>();
        let mut guard = self.guard();
        guard.set_limits(guard_limits(&config.settings));
        if names(&self.config().settings) != names(&config.settings) {
            guard.reset_senders();
            let mut skews = self.skews.lock().unwrap_or_else(PoisonError::into_inner);
            *skews = vec![ClockSkew::default(); config.settings.webhook.senders.len()];
        }
        drop(guard);
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(config);
        let _ = self.capacity_changed.try_send(());
    }

    fn record_call(&self, call: RecordedCall) {
        let mut recent = self.recent_calls.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = self.clock.now().saturating_sub(RECENT_WINDOW);
        while recent.len() >= MAX_RECENT_CALLS || recent.front().is_some_and(|c| c.arrived_at < oldest) {
            recent.pop_front();
        }
        recent.push_back(call);
    }

    /// The time against which timestamps of signatures are checked, in seconds since the Unix epoch.
    fn signature_time(&self) -> i64 {
        let (now, reading) = (self.clock.now(), unix_micros());
        let mut wall = self.wall.lock().unwrap_or_else(PoisonError::into_inner);
        let time = wall.at(now, reading);
        self.metrics.clock_behind.set(wall.behind(now, reading));
        time
    }

    fn lag(&self) -> MutexGuard<'_, Lag> {
        self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn guard(&self) -> MutexGuard<'_, Guard> {
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replay_cache(&self) -> MutexGuard<'_, ReplayCache> {
        self.replay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            // The limit may change while connections are open; a closed connection or a new limit wakes this
            // loop.
            while self.open_connections.load(Ordering::Relaxed)
                >= self.config().settings.webhook.max_connections
            {
                let _ = self.capacity_changes.recv().await;
            }
            let (stream, peer) = match listener.accept().await {
                Ok((stream, from)) => (stream, from.ip()),
                Err(e) => {
                    tracing::warn!("cannot accept a connection: {e}");
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true); // a failure only costs latency
            let config = self.config();
            let limits = connection_limits(&config.settings);
            let tls = config.tls.clone();
            let front = self.clone();
            self.open_connections.fetch_add(1, Ordering::Relaxed);
            smol::spawn(async move {
                front.metrics.connections.inc();
                let stream = match tls {
                    None => Ok(stream.into()),
                    Some(tls) => tls.accept(stream, limits.head_timeout).await,
                };
                match stream {
                    Ok(stream) => front.serve_connection(Conn::new(stream, Arc::new(limits)), peer).await,
                    Err(e) => {
                        front.metrics.record_rejection("handshake");
                        tracing::debug!(source = %peer, "TLS handshake failed: {e}");
                    }
                }
                front.metrics.connections.dec();
                front.open_connections.fetch_sub(1, Ordering::Relaxed);
                let _ = front.capacity_changed.try_send(());
            })
            .detach();
        }
    }

    async fn serve_connection(self: &Arc<Self>, mut conn: Conn<Stream>, peer: IpAddr) {
        loop {
            let head = match conn.head().await {
                Ok(Some(head)) => head,
                Ok(None) => return conn.close().await,
                Err(e) => return self.reject_malformed(conn, e).await,
            };
            let arrived_at = self.clock.now();
            self.answers_due.yield_to_answers().await;
            // The whole message is handled under one configuration, even if it is replaced meanwhile.
            let config = self.config();
            // All checks that do not need the body run before it is read.
            let checked = route(&config.settings, &head)
                .and_then(|route| Ok((route, self.check_headers(&config, &head, route.0, peer)?)));
            let (route, claimed) = match checked {
                Ok(checked) => checked,
                Err(rejected) => {
                    self.metrics.record_rejection(rejected.reason);
                    // Reading a short body costs less than a new connection.
                    let short = matches!(head.framing, badgerwind_http::Framing::Length(n) if n <= MAX_DRAINED_BODY)
                        && !head.expects_continue();
                    let keep = short
                        && head.keeps_alive()
                        && !self.stopping.load(Ordering::Relaxed)
                        && conn.body(&head).await.is_ok();
                    if conn.respond(&problem_document(&rejected), keep).await.is_err() || !keep {
                        return conn.close().await;
                    }
                    continue;
                }
            };
            let body = match conn.body(&head).await {
                Ok(body) => body,
                Err(e) => return self.reject_malformed(conn, e).await,
            };
            let handled =
                self.handle_message(&mut conn, &config, &head, route, (claimed, body, arrived_at)).await;
            let keep = head.keeps_alive() && !self.stopping.load(Ordering::Relaxed);
            let written = match handled {
                Handled::Answer(response) => conn.respond(&response, keep).await,
                Handled::Stream(response, rest) => forward_stream(&mut conn, &response, rest, keep).await,
                Handled::Disconnected => return,
            };
            if written.is_err() || !keep {
                return conn.close().await;
            }
        }
    }

    async fn reject_malformed(&self, mut conn: Conn<Stream>, e: badgerwind_http::ServeError) {
        if let Some(status) = e.status() {
            self.metrics.record_rejection("malformed");
            let _ =
                conn.respond(&problem_document(&rejection(status, "malformed", e.to_string())), false).await;
            conn.close().await;
        }
    }

    /// The checks that run before the body is read: the source's limit of failed signatures, the form of the
    /// signature headers, and the timestamp.
    fn check_headers(
        &self,
        config: &FrontConfig,
        head: &RequestHead,
        route: usize,
        peer: IpAddr,
    ) -> Result<(Permit, Claim), Rejection> {
        let webhook = &config.settings.webhook;
        let sender = webhook.routes[route].sender;
        let header = |name| head.headers.get(name);
        let lines: Vec<&str> = head.headers.all("x-forwarded-for").collect();
        let source = forwarded_address(peer, &webhook.guard.load_balancers, &lines).unwrap_or(peer);
        let claimant = Claimant { source: Source::from_address(source), sender };
        let bytes = match head.framing {
            badgerwind_http::Framing::Length(n) => n.min(webhook.max_body_bytes as u64),
            _ => webhook.max_body_bytes as u64,
        };
        let now = self.clock.now();
        let permit = self.guard().admit(now, claimant, bytes).map_err(|rejected| {
            let text = "too many signatures from there have failed; this message was not looked at";
            Rejection { retry_after: Some(rejected.wait()), ..rejection(429, "failed-signatures", text) }
        })?;
        let (id, signature) = (header(badgerwind_webhook::ID), header(badgerwind_webhook::SIGNATURE));
        let time = header(badgerwind_webhook::TIMESTAMP);
        match config.rings[sender].claim(self.signature_time(), id, time, signature) {
            Ok(claim) => Ok((permit, claim)),
            Err(e) => {
                self.guard().record_invalid(now, permit);
                Err(self.reject_unverified(&webhook.senders[sender].name, claimant.source, &e))
            }
        }
    }

    fn reject_unverified(&self, sender: &str, source: Source, e: &VerifyError) -> Rejection {
        tracing::debug!(sender, %source, "{e}");
        self.metrics.record_invalid_signature(sender);
        let (status, reason) = match e {
            VerifyError::Mismatch => (401, "bad-signature"),
            e if e.is_stale() => (401, "stale-timestamp"),
            _ => (400, "malformed-webhook"),
        };
        rejection(status, reason, e.to_string())
    }

    /// Checks the body against the signature; returns it with the key's name, the timestamp and the digest.
    async fn verify(
        &self,
        config: &Arc<FrontConfig>,
        route: usize,
        (permit, claim): (Permit, Claim),
        body: Vec<u8>,
    ) -> Result<Verified, Rejection> {
        let now = self.signature_time();
        let (sent, signing_config, source) = (claim.sent(), config.clone(), permit.claimant().source);
        let check = move || {
            let route = &signing_config.settings.webhook.routes[route];
            let key = claim.check(&signing_config.rings[route.sender], now, &body)?;
            let digest = Digest::of_parts(&[route.path.as_bytes(), b"\n", &body]);
            Ok(Verified { key, sent, digest, body })
        };
        let checked = match permit.bytes() > MAX_INLINE_CHECK {
            true => {
                let _permit = self.check_permits.acquire().await;
                smol::unblock(check).await
            }
            false => check(),
        };
        let sender = config.settings.webhook.routes[route].sender;
        let sender_settings = &config.settings.webhook.senders[sender];
        let (checked_at, mut guard) = (self.clock.now(), self.guard());
        match &checked {
            Ok(_) => guard.record_valid(checked_at, permit),
            Err(_) => guard.record_invalid(checked_at, permit),
        }
        self.metrics.guard_sources.set(guard.tracked_sources() as i64);
        self.metrics.guard_known.set(guard.known_pairs() as i64);
        drop(guard);
        let mut skews = self.skews.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Ok(_), Some(skew)) = (&checked, skews.get_mut(sender)) {
            skew.observe(now, sent);
            self.metrics.set_clock_skew(&sender_settings.name, skew.ahead(now).unwrap_or(0));
        }
        drop(skews);
        checked.map_err(|e| self.reject_unverified(&sender_settings.name, source, &e))
    }

    async fn handle_message(
        self: &Arc<Self>,
        conn: &mut Conn<Stream>,
        config: &Arc<FrontConfig>,
        head: &RequestHead,
        (route, function): (usize, usize),
        (claimed, body, arrived_at): ((Permit, Claim), Vec<u8>, Time),
    ) -> Handled {
        let source = claimed.0.claimant().source;
        let verified = self.verify(config, route, claimed, body).await;
        let admitted =
            verified.and_then(|v| self.admit(config, head, (route, function), (v, source), arrived_at));
        match admitted {
            Err(rejected) => {
                self.metrics.record_rejection(rejected.reason);
                Handled::Answer(Arc::new(problem_document(&rejected)))
            }
            Ok(Admitted::Answered(answer)) => {
                self.metrics.record_rejection("replayed");
                Handled::Answer(replayed(&answer))
            }
            Ok(Admitted::InProgress(answer, due)) => {
                self.metrics.record_rejection("replayed");
                let late = async {
                    Timer::at(self.clock.instant(due)).await;
                    Err(async_channel::RecvError)
                };
                // A sender that disconnects no longer counts as waiting; the call ends if nobody else waits.
                let disconnected = async {
                    conn.closed().await;
                    None
                };
                let answered = async { Some(answer.recv().or(late).await) };
                let Some(received) = answered.or(disconnected).await else { return Handled::Disconnected };
                Handled::Answer(match received {
                    Ok(answer) => replayed(&answer),
                    Err(_) => {
                        let text = "an earlier message with this id is still under way, or went unanswered";
                        Arc::new(problem_document(&Rejection {
                            safe_to_retry: false,
                            ..rejection(504, "failed", text)
                        }))
                    }
                })
            }
            Ok(Admitted::Start(call, answer)) => {
                let (id, class) = (call.request.id.clone(), call.request.class);
                if self.inputs.send(Input::Call(*call)).await.is_err() {
                    return Handled::Answer(Arc::new(problem_document(&rejection(
                        503,
                        "stopping",
                        "the daemon stops",
                    ))));
                }
                // A started call that must not run twice is finished after its sender disconnects, so that
                // its answer can be remembered.
                let finish_started = config.settings.router.classes[class].effect != Effect::Repeatable;
                let disconnected = async {
                    conn.closed().await;
                    None
                };
                let answered = async { Some(answer.recv().await) };
                let Some(received) = answered.or(disconnected).await else {
                    // The same message may have arrived again on another connection, where its sender waits.
                    let webhook = &config.settings.webhook;
                    let sender = &webhook.senders[webhook.routes[route].sender];
                    let scoped = Id::of(&sender.name, head.headers.get(badgerwind_webhook::ID).unwrap_or(""));
                    let waited_for =
                        || self.replay_cache().waiting(&scoped).iter().any(|waiter| !waiter.is_closed());
                    while waited_for() && !answer.is_closed() {
                        Timer::after(REPEAT_POLL_INTERVAL).await;
                    }
                    let _ = self.inputs.send(Input::CallerDisconnected { id, finish_started }).await;
                    return Handled::Disconnected;
                };
                if let Ok(QueuedResponse { queued_at, .. }) = &received {
                    let now = self.clock.now();
                    let waited = now.saturating_sub(*queued_at);
                    self.lag().observe(now, waited);
                    tracing::debug!(request = %id, waited_us = waited, "writing the answer");
                }
                match received {
                    Ok(QueuedResponse { response, rest: Some(rest), .. }) => Handled::Stream(response, rest),
                    Ok(QueuedResponse { response, rest: None, .. }) => Handled::Answer(response),
                    Err(_) => {
                        let text = "the daemon could not answer; it may have run";
                        let rejected = Rejection { safe_to_retry: false, ..rejection(502, "failed", text) };
                        Handled::Answer(Arc::new(problem_document(&rejected)))
                    }
                }
            }
        }
    }

    /// Decides by the deadline and the replay cache whether a verified message starts a call.
    fn admit(
        self: &Arc<Self>,
        config: &FrontConfig,
        head: &RequestHead,
        (route, function): (usize, usize),
        (verified, source): (Verified, Source),
        arrived_at: Time,
    ) -> Result<Admitted, Rejection> {
        let settings = &config.settings;
        let webhook = &settings.webhook;
        let route = &webhook.routes[route];
        let header = |name| head.headers.get(name);
        let id = header(badgerwind_webhook::ID);
        let sender = &webhook.senders[route.sender];
        let Verified { key, sent, digest, body } = verified;
        let id: Arc<str> = id.unwrap_or("").into();
        if self.stopping.load(Ordering::Relaxed) {
            return Err(rejection(503, "stopping", "this front end stops; another will take it"));
        }
        let class = &settings.router.classes[route.class];
        let sender_timeout = match header(DEADLINE_HEADER).map(str::parse::<u64>) {
            None => class.deadline,
            Some(Ok(ms)) => ms.saturating_mul(1000).min(class.deadline),
            Some(Err(_)) => {
                return Err(rejection(400, "malformed-deadline", format!("{DEADLINE_HEADER} must be whole")))
            }
        };
        let router = &settings.router;
        // The front end's own lag is subtracted from the time left, so that the answer arrives in time.
        let sender_timeout = {
            let lag = self.lag();
            self.metrics.lag.set(lag.current(arrived_at) as f64 / 1e6);
            lag.usable_wait(arrived_at, sender_timeout)
        };
        // Twice the slack is reserved: once for the module's final decision, once for the answer's way to the
        // sender.
        let due = (arrived_at + sender_timeout).saturating_sub(2 * router.answer_slack);
        if due <= self.clock.now() + router.round {
            return Err(rejection(503, "no-time", "too little of the sender's time is left"));
        }
        let callback =
            match header(CALLBACK_HEADER).map(|name| sender.callbacks.iter().position(|c| c.name == name)) {
                Some(None) => {
                    let text = "the settings name no such callback of this sender";
                    return Err(rejection(400, "unknown-callback", text));
                }
                index => index.flatten(),
            };
        let unsafe_call = class.effect != Effect::Repeatable;
        let scoped = Id::of(&sender.name, &id);
        let (waiter, earlier_answer) = async_channel::bounded(1);
        let mut cache = self.replay_cache();
        // The timestamp is checked again: a body may take longer to arrive than its id is remembered.
        let in_time = config.rings[route.sender].in_time(self.signature_time(), sent);
        in_time.map_err(|e| self.reject_unverified(&sender.name, source, &e))?;
        let now = self.clock.now();
        // The callback's slot is reserved before the id is entered into the cache, so that a concurrent
        // repeat never waits for a call that will not run. An id already in the cache needs no slot.
        let callback = match callback.filter(|_| !cache.knows(now, &scoped)) {
            None => None,
            Some(index) => {
                let callback = &sender.callbacks[index];
                let key = config.callbacks[route.sender][index].clone();
                let pending = PendingCallback::reserve(
                    &self.pending_callbacks,
                    webhook.max_callbacks,
                    (&callback.name, callback.address, &callback.path),
                    key,
                );
                let text = "no more callbacks can be owed now; nothing was started";
                Some(pending.ok_or_else(|| rejection(503, "callbacks-full", text))?)
            }
        };
        let admission = cache.admit(now, &scoped, digest, unsafe_call, || waiter);
        self.metrics.remembered_ids.set(cache.len() as i64);
        drop(cache);
        let remembered = match admission {
            Admission::Run => true,
            Admission::RunUnremembered => false,
            Admission::Answered(answer) => return Ok(Admitted::Answered(answer)),
            Admission::Waits => return Ok(Admitted::InProgress(earlier_answer, due)),
            Admission::Conflict => {
                return Err(rejection(
                    409,
                    "id-conflict",
                    "this webhook-id came before with another body or path",
                ));
            }
            Admission::Full => {
                return Err(rejection(
                    503,
                    "memory-full",
                    "no more ids can be remembered now; nothing was started",
                ));
            }
        };
        let (reply, answer) = async_channel::bounded(1);
        let active = ActiveCall {
            front: self.clone(),
            settings: settings.clone(),
            sender: route.sender,
            function,
            sender_timeout,
            scoped,
            class: route.class,
            webhook_id: id.clone(),
            remembered,
            completed: false,
            due,
            callback,
            reply,
        };
        let function_settings = &settings.functions[function];
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let request = Request {
            id: format!("{}-{number:x}", self.request_id_prefix).into(),
            retry: header(RETRY_HEADER).is_some_and(|v| v == "1"),
            tenant: sender.tenant,
            hint: None,
            function: function_settings.name.as_str().into(),
            memory_mb: function_settings.memory_mb,
            lanes: function_settings.lanes,
            class: route.class,
            due,
            load_time: function_settings.load_time,
        };
        let trace = TraceParent::from_header(header("traceparent"), fastrand::u128(..));
        tracing::debug!(
            request = %request.id, webhook_id = %id, sender = %sender.name, %key, function = %function_settings.name,
            trace_id = %trace.trace_id, "taken"
        );
        let content = Content {
            trace,
            settings: settings.clone(),
            module: config.module,
            key: format!("{}_{id}", sender.name.replace('.', "_")),
            function,
            class: route.class,
            tenant: sender.tenant,
            accepted_at: arrived_at,
            queued_at: self.clock.now(),
            due,
            content_type: header("content-type").map(str::to_owned),
            body: body.into(),
        };
        let origin: Box<dyn Origin> = Box::new(active);
        Ok(Admitted::Start(Box::new(Call { request, origin, content: Arc::new(content) }), answer))
    }
}

/// Resolves the request target to the indices of its route and its function.
fn route(settings: &Settings, head: &RequestHead) -> Result<(usize, usize), Rejection> {
    let (webhook, path) = (&settings.webhook, head.path());
    let function_at = |start: &str| {
        let name = path.strip_prefix(start)?;
        settings.functions.iter().position(|f| f.name == name)
    };
    let found = webhook.routes.iter().enumerate().find_map(|(n, r)| match r.target {
        Target::Function(f) => (r.path == path).then_some((n, f)),
        Target::FromPath => function_at(&r.path).map(|f| (n, f)),
    });
    let found = found.ok_or_else(|| rejection(404, "unknown-path", "no route leads there"))?;
    if head.method != "POST" {
        return Err(rejection(405, "wrong-method", "webhooks come by POST"));
    }
    if head.headers.get("expect").is_some() && !head.expects_continue() {
        return Err(rejection(417, "unknown-expectation", "only 100-continue can be expected"));
    }
    Ok(found)
}

/// What is done with a verified message.
enum Admitted {
    /// The same message was answered before.
    Answered(Arc<Response>),
    /// The same message is in progress: its answer, and the time until which the sender waits for it.
    InProgress(Receiver<Arc<Response>>, Time),
    /// A new call, and its answer.
    Start(Box<Call<Box<dyn Origin>, Arc<Content>>>, Receiver<QueuedResponse>),
}
