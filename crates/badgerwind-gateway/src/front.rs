//! The front for signed webhooks. It knows HTTP, signatures and the memory of ids, and nothing of routing: a call
//! goes to the engine, and its one final answer comes back.
//!
//! What a sender sees is written down in `docs/protocols/webhook.md`.

mod told;

use crate::answers::{remembers, Kept};
use crate::answers_due::{AnswerDue, AnswersDue};
use crate::callbacks::Owed;
use crate::clock::{unix_micros, unix_seconds, Clock};
use crate::dispatch::{Content, Ended, Input, Origin};
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
    Admission, Bounds, Claim, Digest, Ending, Id, Key, KeyRing, Replay, Skew, VerifyError, Wall,
};
use futures_lite::FutureExt;
use smol::net::TcpListener;
use smol::Timer;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use told::{away, problem, replayed, stream, Away};

/// Pause after a connection could not be accepted, most likely for want of descriptors: nothing spins.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long the sender waits, in milliseconds; the class's deadline where it is missing or longer.
const WAITS: &str = "badgerwind-deadline-ms";
/// `1`: the sender has tried this before.
const RETRY: &str = "badgerwind-retry";
/// Names a callback of the sender to which the final answer is also posted.
const CALLBACK: &str = "badgerwind-callback";
/// The id under which logs and runners know the call.
const REQUEST: &str = "badgerwind-request";

/// An answer on its way to its connection's task.
struct Told {
    response: Arc<Response>,
    /// The rest of a streamed one.
    rest: Option<Receiver<Vec<u8>>>,
    /// When it was given.
    given: Time,
    _due: AnswerDue,
}

type Memory = Replay<Arc<Response>, Sender<Arc<Response>>>;

/// What a front goes by, changed as a whole.
pub(crate) struct Rules {
    pub settings: Arc<Settings>,
    /// The live keys of each sender, by its place.
    pub rings: Vec<KeyRing>,
    /// What signs callbacks, by sender's and callback's place.
    pub callbacks: Vec<Vec<Key>>,
    /// How senders are met, where under TLS.
    pub tls: Option<ServerTls>,
    /// The module that knows the settings' classes and tenants.
    pub module: u64,
}

/// How often a call whose own sender has left is looked at for others who wait for it.
const WAITED_FOR: Duration = Duration::from_millis(50);

/// Calls of late, kept for the shadow: so many, and no older than that, in microseconds.
const MOST_RECENT: usize = 2_000;
const RECENT: Span = 20_000_000;

pub(crate) struct Front {
    pub rules: RwLock<Arc<Rules>>,
    /// Calls of late, as a change is tried on.
    pub recent: Mutex<VecDeque<RecordedCall>>,
    pub counts: Counts,
    /// Callbacks owed.
    pub owed: Arc<AtomicUsize>,
    pub replay: Mutex<Memory>,
    /// Answers that wait to be written.
    pub answers_due: AnswersDue,
    /// How far this front end runs behind.
    pub lag: Arc<Mutex<Lag>>,
    /// Budgets for failed signatures.
    pub guard: Mutex<Guard>,
    /// The time by which signatures are judged.
    pub wall: Mutex<Wall>,
    /// Senders' clocks, by their place.
    pub skews: Mutex<Vec<Skew>>,
    /// Places for checks of large bodies, which go on threads of their own.
    pub checks: smol::lock::Semaphore,
    pub inputs: Sender<Input>,
    pub clock: Clock,
    pub metrics: Arc<Metrics>,
    /// Begins every request id of this life: no two lives of a front end share one.
    pub life: String,
    pub next: AtomicU64,
    /// Connections open, and the word that one has closed.
    pub open: AtomicUsize,
    pub freed: Sender<()>,
    pub free: Receiver<()>,
    pub stopping: AtomicBool,
}

/// Calls since the start, by their answer.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

/// A call on its way to its one answer. If nothing answers it, whoever waits finds the channel closed.
struct Waiting {
    front: Arc<Front>,
    settings: Arc<Settings>,
    sender: usize,
    function: usize,
    waits: Span,
    class: usize,
    webhook_id: Arc<str>,
    /// The id with its sender's name, as it is remembered.
    scoped: Id,
    remembered: bool,
    settled: bool,
    due: Time,
    callback: Option<Owed>,
    reply: Sender<Told>,
}

impl Waiting {
    fn settle(&mut self, ending: Ending<Arc<Response>>, answer: Option<&Arc<Response>>) {
        self.settled = true;
        if !self.remembered {
            return;
        }
        let waiters = self.front.memory().end(self.front.clock.now(), &self.scoped, ending);
        for (waiter, answer) in waiters.into_iter().zip(std::iter::repeat(answer)) {
            if let Some(answer) = answer {
                let _ = waiter.try_send(answer.clone()); // one place each, so it has room
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.settled {
            self.settle(Ending::Forget, None);
        }
    }
}

impl Origin for Waiting {
    fn answer(mut self: Box<Self>, id: &RequestId, ended: Ended) {
        let Ended { answer, attempts, worker, lag } = ended;
        let front = self.front.clone();
        let settings = self.settings.clone();
        let class = &settings.router.classes[self.class];
        let kept = remembers(class.effect, class.group, &answer, attempts);
        let overdue = front.clock.now() >= self.due;
        let (word, response, rest) = match answer {
            FinalAnswer::Served(Reply { content_type, body, rest }) => {
                let kind = content_type.as_deref().unwrap_or("");
                ("served", Response::new(200, kind, body), rest)
            }
            FinalAnswer::Refused { retry_after, .. } => {
                let retry_after = retry_after.filter(|&t| t > 0);
                let text = "turned away before it ran";
                ("refused", problem(&Away { retry_after, ..away(503, "refused", text) }), None)
            }
            FinalAnswer::Failed(why) => {
                let text = format!("no answer could be had ({why:?}); it may have run");
                let status = if overdue { 504 } else { 502 };
                ("failed", problem(&Away { harmless: false, ..away(status, "failed", text) }), None)
            }
        };
        let name = &settings.classes[self.class];
        let count = match word {
            "served" => &front.counts.served,
            "refused" => &front.counts.refused,
            _ => &front.counts.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        front.record(RecordedCall {
            arrived_at: front.clock.now().saturating_sub(lag),
            class: name.clone(),
            tenant: settings.tenants[settings.webhook.senders[self.sender].tenant].clone(),
            function: settings.functions[self.function].name.clone(),
            sender_timeout: self.waits,
            served: word == "served",
            latency: lag,
        });
        front.metrics.answered(name, word, lag);
        tracing::info!(
            request = %id, webhook_id = %self.webhook_id, sender = %settings.webhook.senders[self.sender].name,
            class = %name, answer = word, attempts, worker, lag_us = lag, "answered"
        );
        let response = Arc::new(response.with(REQUEST, &**id));
        let size = response.body.len() + RECORD;
        let ending = match kept {
            // A stream has passed by and cannot be had again; nor is it kept.
            Kept::Remember if rest.is_none() => Ending::Remember { answer: response.clone(), size },
            _ => Ending::Forget,
        };
        self.settle(ending, rest.is_none().then_some(&response));
        if let Some(owed) = self.callback.take() {
            let body = serde_json::json!({
                "type": "call.answered",
                "timestamp": unix_seconds(),
                "data": {
                    "webhook_id": &*self.webhook_id,
                    "request": &**id,
                    "answer": word,
                    "status": response.status,
                    "body": String::from_utf8_lossy(&response.body),
                },
            });
            let body: Arc<[u8]> = body.to_string().into_bytes().into();
            smol::spawn(owed.post(format!("{}_answer", self.webhook_id), body)).detach();
        }
        let (given, _due) = (front.clock.now(), front.answers_due.begin());
        let _ = self.reply.try_send(Told { response, rest, given, _due });
    }
}

/// The bounds of a connection, from the settings.
fn limits(settings: &Settings) -> Limits {
    let w = &settings.webhook;
    Limits {
        head_bytes: w.max_head_bytes,
        headers: w.max_headers,
        head_time: w.head_timeout,
        body_bytes: w.max_body_bytes,
        body_time: w.body_timeout,
        idle_time: w.idle_timeout,
        write_time: w.write_timeout,
    }
}

/// The bounds of the memory of ids, from the settings.
pub(crate) fn bounds(settings: &Settings) -> Bounds {
    let w = &settings.webhook;
    let longest = w.senders.iter().map(|s| Bounds::keep_for(s.tolerance)).max().unwrap_or(0);
    let keep = w.answer_retention.max(longest);
    Bounds { count: w.max_remembered_ids, keep, waiters: w.max_waiters, bytes: w.max_remembered_bytes }
}

/// The bounds of the budgets for failed signatures, from the settings.
pub(crate) fn guard_bounds(settings: &Settings) -> badgerwind_guard::Limits {
    let g = &settings.webhook.guard;
    let budget = |(burst, rate)| Budget { burst, rate };
    badgerwind_guard::Limits {
        source: budget(g.source_limit),
        sender: budget(g.sender_limit),
        max_sources: g.max_sources,
        known_duration: g.known_source_time,
        bytes_per_check: g.bytes_per_check,
    }
}

/// A body of at most so many bytes is read to its end after its message was turned away, so that the connection can
/// go on.
const SHORT: u64 = 16 * 1024;

/// Bodies above this many bytes are checked on a thread of their own, so that other connections go on meanwhile.
const LARGE: u64 = 32 * 1024;

/// What a remembered id takes beside its answer's body, at the most: `cargo bench -p badgerwind-webhook --bench replay`
/// says up to 240 bytes for the id, the rest is the answer's head.
const RECORD: usize = 512;

/// A message whose signature was good.
struct Verified {
    /// The name of the key that signed it.
    key: Arc<str>,
    /// Its timestamp.
    sent: i64,
    /// Of path and body.
    digest: Digest,
    body: Vec<u8>,
}

/// What becomes of one message.
enum Handled {
    Answer(Arc<Response>),
    Stream(Arc<Response>, Receiver<Vec<u8>>),
    /// The sender has left.
    Gone,
}

impl Front {
    /// What holds now.
    pub(crate) fn rules(&self) -> Arc<Rules> {
        self.rules.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Other rules from now on; messages already taken keep theirs.
    pub(crate) fn change(&self, rules: Rules) {
        self.memory().set_bounds(bounds(&rules.settings));
        let names = |s: &Settings| s.webhook.senders.iter().map(|s| s.name.clone()).collect::<Vec<_>>();
        let mut guard = self.guard();
        guard.set_limits(guard_bounds(&rules.settings));
        if names(&self.rules().settings) != names(&rules.settings) {
            guard.reset_senders();
            let mut skews = self.skews.lock().unwrap_or_else(PoisonError::into_inner);
            *skews = vec![Skew::default(); rules.settings.webhook.senders.len()];
        }
        drop(guard);
        *self.rules.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(rules);
        let _ = self.freed.try_send(());
    }

    fn record(&self, call: RecordedCall) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = self.clock.now().saturating_sub(RECENT);
        while recent.len() >= MOST_RECENT || recent.front().is_some_and(|c| c.arrived_at < oldest) {
            recent.pop_front();
        }
        recent.push_back(call);
    }

    /// The time by which signatures are judged, in seconds since the Unix epoch.
    fn wall(&self) -> i64 {
        let (now, reading) = (self.clock.now(), unix_micros());
        let mut wall = self.wall.lock().unwrap_or_else(PoisonError::into_inner);
        let judged = wall.at(now, reading);
        self.metrics.clock_behind.set(wall.behind(now, reading));
        judged
    }

    fn lag(&self) -> MutexGuard<'_, Lag> {
        self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn guard(&self) -> MutexGuard<'_, Guard> {
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.replay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            // The bound may change while connections are open; a place freed or a change wakes this.
            while self.open.load(Ordering::Relaxed) >= self.rules().settings.webhook.max_connections {
                let _ = self.free.recv().await;
            }
            let (stream, peer) = match listener.accept().await {
                Ok((stream, from)) => (stream, from.ip()),
                Err(e) => {
                    tracing::warn!("a connection cannot be accepted: {e}");
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true); // only a delay is lost where it is not to be had
            let rules = self.rules();
            let limits = limits(&rules.settings);
            let tls = rules.tls.clone();
            let front = self.clone();
            self.open.fetch_add(1, Ordering::Relaxed);
            smol::spawn(async move {
                front.metrics.connections.inc();
                let stream = match tls {
                    None => Ok(stream.into()),
                    Some(tls) => tls.accept(stream, limits.head_time).await,
                };
                match stream {
                    Ok(stream) => front.connection(Conn::new(stream, Arc::new(limits)), peer).await,
                    Err(e) => {
                        front.metrics.turned_away("handshake");
                        tracing::debug!(source = %peer, "no handshake: {e}");
                    }
                }
                front.metrics.connections.dec();
                front.open.fetch_sub(1, Ordering::Relaxed);
                let _ = front.freed.try_send(());
            })
            .detach();
        }
    }

    async fn connection(self: &Arc<Self>, mut conn: Conn<Stream>, peer: IpAddr) {
        loop {
            let head = match conn.head().await {
                Ok(Some(head)) => head,
                Ok(None) => return conn.close().await,
                Err(e) => return self.refuse_wire(conn, e).await,
            };
            let began = self.clock.now();
            self.answers_due.let_out().await;
            // One message is judged by one set of rules, whatever changes meanwhile.
            let rules = self.rules();
            // What needs no body is judged before one is read.
            let judged = route(&rules.settings, &head)
                .and_then(|route| Ok((route, self.claimed(&rules, &head, route.0, peer)?)));
            let (route, claimed) = match judged {
                Ok(judged) => judged,
                Err(away) => {
                    self.metrics.turned_away(away.reason);
                    // Reading a short body costs less than the connection that would be opened next.
                    let short = matches!(head.framing, badgerwind_http::Framing::Length(n) if n <= SHORT)
                        && !head.expects_continue();
                    let keep = short
                        && head.keeps_alive()
                        && !self.stopping.load(Ordering::Relaxed)
                        && conn.body(&head).await.is_ok();
                    if conn.respond(&problem(&away), keep).await.is_err() || !keep {
                        return conn.close().await;
                    }
                    continue;
                }
            };
            let body = match conn.body(&head).await {
                Ok(body) => body,
                Err(e) => return self.refuse_wire(conn, e).await,
            };
            let handled = self.message(&mut conn, &rules, &head, route, (claimed, body, began)).await;
            let keep = head.keeps_alive() && !self.stopping.load(Ordering::Relaxed);
            let written = match handled {
                Handled::Answer(response) => conn.respond(&response, keep).await,
                Handled::Stream(response, rest) => stream(&mut conn, &response, rest, keep).await,
                Handled::Gone => return,
            };
            if written.is_err() || !keep {
                return conn.close().await;
            }
        }
    }

    async fn refuse_wire(&self, mut conn: Conn<Stream>, e: badgerwind_http::ServeError) {
        if let Some(status) = e.status() {
            self.metrics.turned_away("malformed");
            let _ = conn.respond(&problem(&away(status, "malformed", e.to_string())), false).await;
            conn.close().await;
        }
    }

    /// What is judged before a body is read: the source's budget, the form of the headers, the time.
    fn claimed(
        &self,
        rules: &Rules,
        head: &RequestHead,
        route: usize,
        peer: IpAddr,
    ) -> Result<(Permit, Claim), Away> {
        let w = &rules.settings.webhook;
        let sender = w.routes[route].sender;
        let header = |name| head.headers.get(name);
        let lines: Vec<&str> = head.headers.all("x-forwarded-for").collect();
        let source = forwarded_address(peer, &w.guard.load_balancers, &lines).unwrap_or(peer);
        let who = Claimant { source: Source::from_address(source), sender };
        let bytes = match head.framing {
            badgerwind_http::Framing::Length(n) => n.min(w.max_body_bytes as u64),
            _ => w.max_body_bytes as u64,
        };
        let now = self.clock.now();
        let permit = self.guard().admit(now, who, bytes).map_err(|turned| {
            let text = "too many signatures from there have failed; this message was not looked at";
            Away { retry_after: Some(turned.wait()), ..away(429, "failed-signatures", text) }
        })?;
        let (id, signature) = (header(badgerwind_webhook::ID), header(badgerwind_webhook::SIGNATURE));
        let time = header(badgerwind_webhook::TIMESTAMP);
        match rules.rings[sender].claim(self.wall(), id, time, signature) {
            Ok(claim) => Ok((permit, claim)),
            Err(e) => {
                self.guard().record_invalid(now, permit);
                Err(self.unverified(&w.senders[sender].name, who.source, &e))
            }
        }
    }

    fn unverified(&self, sender: &str, source: Source, e: &VerifyError) -> Away {
        tracing::debug!(sender, %source, "{e}");
        self.metrics.failed_signature(sender);
        let (status, reason) = match e {
            VerifyError::Mismatch => (401, "bad-signature"),
            e if e.is_stale() => (401, "stale-timestamp"),
            _ => (400, "malformed-webhook"),
        };
        away(status, reason, e.to_string())
    }

    /// Holds a message's body against its claim; gives the body back, with the key's name and the body's digest.
    async fn verify(
        &self,
        rules: &Arc<Rules>,
        route: usize,
        (permit, claim): (Permit, Claim),
        body: Vec<u8>,
    ) -> Result<Verified, Away> {
        let now = self.wall();
        let (sent, of, source) = (claim.sent(), rules.clone(), permit.claimant().source);
        let check = move || {
            let route = &of.settings.webhook.routes[route];
            let key = claim.check(&of.rings[route.sender], now, &body)?;
            let digest = Digest::of_parts(&[route.path.as_bytes(), b"\n", &body]);
            Ok(Verified { key, sent, digest, body })
        };
        let checked = match permit.bytes() > LARGE {
            true => {
                let _place = self.checks.acquire().await;
                smol::unblock(check).await
            }
            false => check(),
        };
        let sender = rules.settings.webhook.routes[route].sender;
        let named = &rules.settings.webhook.senders[sender];
        let (at, mut guard) = (self.clock.now(), self.guard());
        match &checked {
            Ok(_) => guard.record_valid(at, permit),
            Err(_) => guard.record_invalid(at, permit),
        }
        self.metrics.guard_sources.set(guard.tracked_sources() as i64);
        self.metrics.guard_known.set(guard.known_pairs() as i64);
        drop(guard);
        let mut skews = self.skews.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Ok(_), Some(skew)) = (&checked, skews.get_mut(sender)) {
            skew.seen(now, sent);
            self.metrics.skew(&named.name, skew.ahead(now).unwrap_or(0));
        }
        drop(skews);
        checked.map_err(|e| self.unverified(&named.name, source, &e))
    }

    async fn message(
        self: &Arc<Self>,
        conn: &mut Conn<Stream>,
        rules: &Arc<Rules>,
        head: &RequestHead,
        (route, function): (usize, usize),
        (claimed, body, began): ((Permit, Claim), Vec<u8>, Time),
    ) -> Handled {
        let source = claimed.0.claimant().source;
        let verified = self.verify(rules, route, claimed, body).await;
        let admitted = verified.and_then(|v| self.admit(rules, head, (route, function), (v, source), began));
        match admitted {
            Err(away) => {
                self.metrics.turned_away(away.reason);
                Handled::Answer(Arc::new(problem(&away)))
            }
            Ok(Admitted::Known(answer)) => {
                self.metrics.turned_away("replayed");
                Handled::Answer(replayed(&answer))
            }
            Ok(Admitted::Waits(answer, due)) => {
                self.metrics.turned_away("replayed");
                let late = async {
                    Timer::at(self.clock.instant(due)).await;
                    Err(async_channel::RecvError)
                };
                // One that leaves no longer waits: the call may go on for nobody else.
                let gone = async {
                    conn.gone().await;
                    None
                };
                let answered = async { Some(answer.recv().or(late).await) };
                let Some(got) = answered.or(gone).await else { return Handled::Gone };
                Handled::Answer(match got {
                    Ok(answer) => replayed(&answer),
                    Err(_) => {
                        let text = "an earlier message with this id is still under way, or went unanswered";
                        Arc::new(problem(&Away { harmless: false, ..away(504, "failed", text) }))
                    }
                })
            }
            Ok(Admitted::Run(call, answer)) => {
                let (id, class) = (call.request.id.clone(), call.request.class);
                if self.inputs.send(Input::Call(*call)).await.is_err() {
                    return Handled::Answer(Arc::new(problem(&away(503, "stopping", "the daemon stops"))));
                }
                // What must not run twice and has begun goes on when its sender leaves, so that the answer can be remembered.
                let keeps = rules.settings.router.classes[class].effect != Effect::Repeatable;
                let gone = async {
                    conn.gone().await;
                    None
                };
                let answered = async { Some(answer.recv().await) };
                let Some(got) = answered.or(gone).await else {
                    // The same message may have come again meanwhile: then its sender waits there.
                    let webhook = &rules.settings.webhook;
                    let sender = &webhook.senders[webhook.routes[route].sender];
                    let scoped = Id::of(&sender.name, head.headers.get(badgerwind_webhook::ID).unwrap_or(""));
                    let waited_for = || self.memory().waiting(&scoped).iter().any(|w| !w.is_closed());
                    while waited_for() && !answer.is_closed() {
                        Timer::after(WAITED_FOR).await;
                    }
                    let _ = self.inputs.send(Input::CallerDisconnected { id, finish_started: keeps }).await;
                    return Handled::Gone;
                };
                if let Ok(Told { given, .. }) = &got {
                    let now = self.clock.now();
                    let waited = now.saturating_sub(*given);
                    self.lag().observe(now, waited);
                    tracing::debug!(request = %id, waited_us = waited, "its answer goes out");
                }
                match got {
                    Ok(Told { response, rest: Some(rest), .. }) => Handled::Stream(response, rest),
                    Ok(Told { response, rest: None, .. }) => Handled::Answer(response),
                    Err(_) => {
                        let text = "the daemon could not answer; it may have run";
                        let away = Away { harmless: false, ..away(502, "failed", text) };
                        Handled::Answer(Arc::new(problem(&away)))
                    }
                }
            }
        }
    }

    /// Time and memory: whether a verified message starts a call.
    fn admit(
        self: &Arc<Self>,
        rules: &Rules,
        head: &RequestHead,
        (route, function): (usize, usize),
        (verified, source): (Verified, Source),
        began: Time,
    ) -> Result<Admitted, Away> {
        let settings = &rules.settings;
        let w = &settings.webhook;
        let route = &w.routes[route];
        let header = |name| head.headers.get(name);
        let id = header(badgerwind_webhook::ID);
        let sender = &w.senders[route.sender];
        let Verified { key, sent, digest, body } = verified;
        let id: Arc<str> = id.unwrap_or("").into();
        if self.stopping.load(Ordering::Relaxed) {
            return Err(away(503, "stopping", "this front end stops; another will take it"));
        }
        let class = &settings.router.classes[route.class];
        let waits = match header(WAITS).map(str::parse::<u64>) {
            None => class.deadline,
            Some(Ok(ms)) => ms.saturating_mul(1000).min(class.deadline),
            Some(Err(_)) => return Err(away(400, "malformed-deadline", format!("{WAITS} must be whole"))),
        };
        // Twice the slack is kept back: once for the module's last word, once for its way to the sender.
        let set = &settings.router;
        // What this front end runs behind is kept back as well: an answer that was promised comes.
        let waits = {
            let lag = self.lag();
            self.metrics.lag.set(lag.get(began) as f64 / 1e6);
            lag.usable_wait(began, waits)
        };
        let due = (began + waits).saturating_sub(2 * set.answer_slack);
        if due <= self.clock.now() + set.round {
            return Err(away(503, "no-time", "too little of the sender's time is left"));
        }
        let callback = match header(CALLBACK).map(|name| sender.callbacks.iter().position(|c| c.name == name))
        {
            Some(None) => {
                let text = "the settings name no such callback of this sender";
                return Err(away(400, "unknown-callback", text));
            }
            asked => asked.flatten(),
        };
        let unsafe_call = class.effect != Effect::Repeatable;
        let scoped = Id::of(&sender.name, &id);
        let (waiter, wait) = async_channel::bounded(1);
        let mut memory = self.memory();
        // The time is judged again: a body may take longer to come than its id is remembered.
        let judged = rules.rings[route.sender].in_time(self.wall(), sent);
        judged.map_err(|e| self.unverified(&sender.name, source, &e))?;
        let now = self.clock.now();
        // A place for its callback is taken before the memory lets it in, so that a repeat beside it never waits for
        // what will not run; one that is known needs none.
        let callback = match callback.filter(|_| !memory.knows(now, &scoped)) {
            None => None,
            Some(n) => {
                let c = &sender.callbacks[n];
                let key = rules.callbacks[route.sender][n].clone();
                let owed = Owed::take(&self.owed, w.max_callbacks, (&c.name, c.address, &c.path), key);
                let text = "no more callbacks can be owed now; nothing was started";
                Some(owed.ok_or_else(|| away(503, "callbacks-full", text))?)
            }
        };
        let admission = memory.admit(now, &scoped, digest, unsafe_call, || waiter);
        self.metrics.remembered_ids.set(memory.len() as i64);
        drop(memory);
        let remembered = match admission {
            Admission::Run => true,
            Admission::RunUnremembered => false,
            Admission::Answered(answer) => return Ok(Admitted::Known(answer)),
            Admission::Waits => return Ok(Admitted::Waits(wait, due)),
            Admission::Conflict => {
                return Err(away(
                    409,
                    "id-conflict",
                    "this webhook-id came before with another body or path",
                ));
            }
            Admission::Full => {
                return Err(away(
                    503,
                    "memory-full",
                    "no more ids can be remembered now; nothing was started",
                ));
            }
        };
        let (reply, answer) = async_channel::bounded(1);
        let waiting = Waiting {
            front: self.clone(),
            settings: settings.clone(),
            sender: route.sender,
            function,
            waits,
            scoped,
            class: route.class,
            webhook_id: id.clone(),
            remembered,
            settled: false,
            due,
            callback,
            reply,
        };
        let f = &settings.functions[function];
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let request = Request {
            id: format!("{}-{number:x}", self.life).into(),
            retry: header(RETRY).is_some_and(|v| v == "1"),
            tenant: sender.tenant,
            hint: None,
            function: f.name.as_str().into(),
            memory_mb: f.memory_mb,
            lanes: f.lanes,
            class: route.class,
            due,
            load_time: f.load_time,
        };
        let trace = TraceParent::of(header("traceparent"), fastrand::u128(..));
        tracing::debug!(
            request = %request.id, webhook_id = %id, sender = %sender.name, %key, function = %f.name,
            trace_id = %trace.trace, "taken"
        );
        let content = Content {
            trace,
            settings: settings.clone(),
            module: rules.module,
            key: format!("{}_{id}", sender.name.replace('.', "_")),
            function,
            class: route.class,
            tenant: sender.tenant,
            taken: began,
            handed: self.clock.now(),
            due,
            content_type: header("content-type").map(str::to_owned),
            body: body.into(),
        };
        let origin: Box<dyn Origin> = Box::new(waiting);
        Ok(Admitted::Run(Box::new(Call { request, origin, content: Arc::new(content) }), answer))
    }
}

/// The route and the function of a target.
fn route(settings: &Settings, head: &RequestHead) -> Result<(usize, usize), Away> {
    let (w, path) = (&settings.webhook, head.path());
    let named = |start: &str| {
        let name = path.strip_prefix(start)?;
        settings.functions.iter().position(|f| f.name == name)
    };
    let found = w.routes.iter().enumerate().find_map(|(n, r)| match r.target {
        Target::Function(f) => (r.path == path).then_some((n, f)),
        Target::FromPath => named(&r.path).map(|f| (n, f)),
    });
    let found = found.ok_or_else(|| away(404, "unknown-path", "no route leads there"))?;
    if head.method != "POST" {
        return Err(away(405, "wrong-method", "webhooks come by POST"));
    }
    if head.headers.get("expect").is_some() && !head.expects_continue() {
        return Err(away(417, "unknown-expectation", "only 100-continue can be expected"));
    }
    Ok(found)
}

enum Admitted {
    Known(Arc<Response>),
    Waits(Receiver<Arc<Response>>, Time),
    Run(Box<Call<Box<dyn Origin>, Arc<Content>>>, Receiver<Told>),
}
