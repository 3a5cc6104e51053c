//! A runner's HTTP server, as specified in `docs/protocols/runner.md`, with commands that inject faults.
//!
//! Commands: `POST /standin/fault` with for example `{"on": true, "fault": "hang"}`, `/standin/drain` with
//! `{"on": true}`, `/standin/release` with `{}`.

use crate::fenced::{AttemptEnd, Fenced, LedgerAnswer};
use crate::keys::{Claim, Keys};
use crate::model::{Action, Fault, IncomingCall, Runner, Spec};
use crate::record::{now, Recorder};
use badgerwind::interface::{CopyMark, Outcome};
use badgerwind_attempts::Fence;
use badgerwind_check::Event;
use badgerwind_http::{Conn, Exchange, Pool, RequestHead, Response, ServerTls, Stream};
use badgerwind_protocol::runner::{self, LoadAnswer, LoadOrder};
use badgerwind_webhook::{KeyRing, ID, SIGNATURE, TIMESTAMP};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Settings of a runner.
#[derive(Clone)]
pub struct Options {
    /// Its id in the list.
    pub id: u32,
    /// Properties of the modelled runner.
    pub spec: Spec,
    /// Whether the runner starts cold; otherwise it starts warm.
    pub cold: bool,
    /// Address of the handler store; without one, fetches take no time.
    pub store: Option<SocketAddr>,
    /// Keys of the front ends; `None` disables the check of signatures.
    pub keys: Option<KeyRing>,
    /// The group that drops repeats of a key.
    pub group: Option<Group>,
    /// The fenced classes, and the ledger of the group.
    pub fenced: Option<Fenced>,
    /// Recorder of the observed events.
    pub recorder: Recorder,
    /// TLS settings of the server; `None` for plain TCP.
    pub tls: Option<ServerTls>,
}

/// A group of runners of one process that share the keys they have seen.
#[derive(Clone)]
pub struct Group {
    /// Classes whose repeats are dropped.
    pub classes: Vec<String>,
    /// The shared keys.
    pub keys: Arc<Mutex<Keys>>,
}

/// The work of a call, given by its body. A body of another form counts as 1 ms of work.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Work {
    /// Work in microseconds of a core of speed 1.
    pub work_us: f64,
    /// Mean work of the class.
    pub mean_us: f64,
}

/// A command that starts or ends a fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultCommand {
    /// Whether the fault starts or ends.
    pub on: bool,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A command that turns a mode on or off.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Switch {
    /// On or off.
    pub on: bool,
}

enum Reply {
    Answer { outcome: Outcome, mark: CopyMark, crowd: u32 },
    Break,
}

struct ActiveCall {
    request: String,
    attempt: u32,
    reply: async_channel::Sender<Reply>,
    /// The key claimed in the group.
    key: Option<String>,
    /// Key and fence with which the ledger admitted it, and whether it ran.
    admission: Option<(String, Fence, bool)>,
}

struct Inner {
    model: Runner,
    next: u64,
    calls: HashMap<u64, ActiveCall>,
    by_attempt: HashMap<(String, u32), u64>,
    orders: HashMap<u64, async_channel::Sender<(Outcome, u32)>>,
    hangs: bool,
}

struct Server {
    options: Options,
    inner: Mutex<Inner>,
    wake: async_channel::Sender<()>,
    store: Option<Arc<Pool>>,
}

/// Serves without end, or until the runner is overloaded: then the process exits, like a failed machine.
pub async fn serve(listener: TcpListener, options: Options) {
    if options.cold {
        options.recorder.add(Event::RunnerStarted { runner: options.id });
    }
    let tls = options.tls.clone();
    let (wake, woken) = async_channel::bounded(1);
    let inner = Inner {
        model: Runner::new(now(), options.spec.clone(), options.cold),
        next: 0,
        calls: HashMap::new(),
        by_attempt: HashMap::new(),
        orders: HashMap::new(),
        hangs: false,
    };
    let store = options.store.map(|a| Arc::new(crate::pool(a, 64)));
    let server = Arc::new(Server { options, inner: Mutex::new(inner), wake, store });
    let ticking = server.clone();
    let tick = smol::spawn(async move {
        loop {
            ticking.step(|model, actions| model.poll(now(), actions));
            let next = ticking.lock().model.next(now());
            let due =
                next.map_or(Duration::from_secs(1), |at| Duration::from_micros(at.saturating_sub(now())));
            let timer = async {
                smol::Timer::after(due.min(Duration::from_secs(1))).await;
            };
            futures_lite::future::or(timer, async { _ = woken.recv().await }).await;
        }
    });
    crate::accept(listener, tls, move |conn| {
        let server = server.clone();
        async move { server.connection(conn).await }
    })
    .await;
    drop(tick);
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an operation to the model and executes the resulting actions.
    fn step<T>(self: &Arc<Self>, operation: impl FnOnce(&mut Runner, &mut Vec<Action>) -> T) -> T {
        let mut inner = self.lock();
        let mut actions = Vec::new();
        let result = operation(&mut inner.model, &mut actions);
        for action in actions {
            self.execute(&mut inner, action);
        }
        result
    }

    fn execute(self: &Arc<Self>, inner: &mut Inner, action: Action) {
        let runner = self.options.id;
        match action {
            Action::Answer { call, outcome, mark, crowd } => {
                let Some(here) = inner.calls.remove(&call) else { return };
                self.end_call(&here);
                let word = runner::outcome_name(outcome).unwrap_or("error");
                let (request, attempt) = (here.request.clone(), here.attempt);
                self.options.recorder.add(Event::Replied { runner, request, attempt, outcome: word.into() });
                inner.by_attempt.remove(&(here.request, here.attempt));
                let _ = here.reply.try_send(Reply::Answer { outcome, mark, crowd });
            }
            Action::Finished { call } => {
                if let Some(here) = inner.calls.get_mut(&call) {
                    if let Some((_, _, ran)) = &mut here.admission {
                        *ran = true;
                    }
                    let (request, attempt) = (here.request.clone(), here.attempt);
                    self.options.recorder.add(Event::Finished { runner, request, attempt });
                    if let (Some(key), Some(mut keys)) = (&here.key, self.keys()) {
                        keys.ran(now(), key);
                    }
                }
            }
            Action::Break { call } => {
                let Some(here) = inner.calls.remove(&call) else { return };
                self.end_call(&here);
                let (request, attempt) = (here.request.clone(), here.attempt);
                self.options.recorder.add(Event::Aborted { runner, request, attempt });
                inner.by_attempt.remove(&(here.request, here.attempt));
                let _ = here.reply.try_send(Reply::Break);
            }
            Action::Fetch { load, function } => {
                let server = self.clone();
                smol::spawn(async move {
                    let ok = match &server.store {
                        None => true,
                        Some(store) => {
                            let target = format!("/handlers/{function}");
                            let body = Arc::from(&b""[..]);
                            let fetch = Exchange { method: "GET", target, headers: vec![], body };
                            store.exchange(&fetch).await.is_ok_and(|(head, _)| head.status == 200)
                        }
                    };
                    server.step(|model, actions| model.on_fetch_end(now(), load, ok, actions));
                    let _ = server.wake.try_send(());
                })
                .detach();
            }
            Action::Ordered { order, outcome, copies } => {
                if let Some(reply) = inner.orders.remove(&order) {
                    let _ = reply.try_send((outcome, copies));
                }
            }
            Action::Overloaded => {
                eprintln!("runner {runner} was overloaded while cold");
                std::process::exit(3);
            }
        }
    }

    fn keys(&self) -> Option<MutexGuard<'_, Keys>> {
        let group = self.options.group.as_ref()?;
        Some(group.keys.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Ends a call: releases its key unless the call ran, and reports the end to the ledger.
    fn end_call(&self, here: &ActiveCall) {
        if let (Some(fenced), Some((key, fence, ran))) = (&self.options.fenced, &here.admission) {
            let end = if *ran {
                AttemptEnd::Ran(format!("{{\"runner\":{}}}", self.options.id))
            } else {
                AttemptEnd::NeverRan
            };
            fenced.report_end(key.clone(), *fence, end);
        }
        if let (Some(key), Some(mut keys)) = (&here.key, self.keys()) {
            keys.release(key);
        }
    }

    async fn connection(self: Arc<Self>, mut conn: Conn<Stream>) {
        while let Ok(Some(head)) = conn.head().await {
            let Ok(body) = conn.body(&head).await else { return };
            let path = head.path().to_owned();
            let response = match (head.method.as_str(), path.split('/').collect::<Vec<_>>().as_slice()) {
                ("POST", ["", "calls", function]) => match self.call(&mut conn, &head, function, &body).await
                {
                    Some(response) => response,
                    None => return,
                },
                ("DELETE", ["", "attempts", request, attempt]) => {
                    if self.lock().hangs {
                        conn.closed().await;
                        return;
                    }
                    let stopped = attempt.parse().is_ok_and(|n| self.cancel_attempt(request, n));
                    crate::empty(if stopped { 200 } else { 404 })
                }
                ("POST", ["", "v2", "repository", "models", function, "load"]) => {
                    match self.order(&mut conn, &head, function, &body).await {
                        Some(response) => response,
                        None => return,
                    }
                }
                ("POST", ["", "v2", "repository", "models", function, "unload"]) => {
                    self.step(|model, actions| model.unload(now(), function, actions));
                    crate::empty(200)
                }
                ("GET", _) if path == runner::READY_PATH => {
                    if self.lock().hangs {
                        conn.closed().await;
                        return;
                    }
                    crate::empty(200)
                }
                ("POST", ["", "standin", name]) => self.command(name, &body),
                _ => crate::empty(404),
            };
            if conn.respond(&response, head.keeps_alive()).await.is_err() || !head.keeps_alive() {
                return;
            }
        }
    }

    fn command(self: &Arc<Self>, name: &str, body: &[u8]) -> Response {
        let done = match name {
            "fault" => serde_json::from_slice::<FaultCommand>(body).map(|c| {
                if c.fault == Fault::Hang {
                    self.lock().hangs = c.on;
                }
                self.step(|model, _| model.set_fault(now(), c.fault, c.on));
            }),
            "drain" => serde_json::from_slice::<Switch>(body).map(|c| self.lock().model.set_draining(c.on)),
            "release" => {
                self.step(|model, actions| model.discard_idle_copies(now(), actions));
                Ok(())
            }
            _ => return crate::empty(404),
        };
        let _ = self.wake.try_send(());
        match done {
            Ok(()) => crate::empty(200),
            Err(e) => Response::new(400, "text/plain", e.to_string().into_bytes()),
        }
    }

    /// Cancels an attempt; returns false if it is not here.
    fn cancel_attempt(self: &Arc<Self>, request: &str, attempt: u32) -> bool {
        let id = self.lock().by_attempt.get(&(request.to_owned(), attempt)).copied();
        id.is_some_and(|id| self.cancel(id))
    }

    fn cancel(self: &Arc<Self>, id: u64) -> bool {
        // Cancels in the model first, under its lock: an answer that it gives at this moment remains valid.
        let was_held = self.step(|model, actions| model.cancel(now(), id, actions));
        let mut inner = self.lock();
        let Some(here) = inner.calls.remove(&id) else { return was_held };
        inner.by_attempt.remove(&(here.request.clone(), here.attempt));
        self.end_call(&here);
        let (runner, request, attempt) = (self.options.id, here.request, here.attempt);
        self.options.recorder.add(Event::Aborted { runner, request, attempt });
        let reply = Reply::Answer { outcome: Outcome::Cancelled, mark: CopyMark::Untold, crowd: 0 };
        let _ = here.reply.try_send(reply);
        let _ = self.wake.try_send(());
        true
    }

    /// Serves a call and returns its answer; `None` closes the connection.
    async fn call(
        self: &Arc<Self>,
        conn: &mut Conn<Stream>,
        head: &RequestHead,
        function: &str,
        body: &[u8],
    ) -> Option<Response> {
        let header = |name| head.headers.get(name);
        if let Some(keys) = &self.options.keys {
            let seconds = (now() / 1_000_000) as i64;
            let verified = keys.verify(seconds, header(ID), header(TIMESTAMP), header(SIGNATURE), body);
            if let Err(e) = verified {
                return Some(Response::new(401, "text/plain", e.to_string().into_bytes()));
            }
        }
        let (request, attempt) = header(runner::ATTEMPT)?.rsplit_once('/')?;
        let attempt: u32 = attempt.parse().ok()?;
        let work: Work = serde_json::from_slice(body).unwrap_or(Work { work_us: 1000.0, mean_us: 1000.0 });
        let class = header(runner::CLASS).unwrap_or("").to_owned();
        let call = IncomingCall {
            function: function.to_owned(),
            memory_mb: header(runner::MEMORY).and_then(|v| v.parse().ok()).unwrap_or(1.0),
            lanes: header(runner::LANES).and_then(|v| v.parse().ok()).unwrap_or(1),
            work: work.work_us,
            mean_work: work.mean_us,
            class: class.clone(),
            tenant: header(runner::TENANT).unwrap_or("").to_owned(),
        };
        let key = header(ID).unwrap_or("").to_owned();
        let grouped = self.options.group.as_ref().is_some_and(|g| g.classes.contains(&class));
        let claim = match self.keys().filter(|_| grouped) {
            Some(mut keys) => keys.claim(now(), &key),
            None => Claim::Fresh,
        };
        self.options.recorder.add(Event::Arrived {
            runner: self.options.id,
            request: request.to_owned(),
            attempt,
            call: key.clone(),
            front: header(runner::FRONT).and_then(|v| v.parse().ok()).unwrap_or(u32::MAX),
            class: class.clone(),
        });
        let fence = header(runner::FENCE).and_then(Fence::parse);
        let fenced = self.options.fenced.as_ref().filter(|f| f.classes.contains(&class)).zip(fence);
        let ledger_answer = match fenced {
            Some((fenced, fence)) => fenced.admit(&key, fence).await,
            None => LedgerAnswer::Run,
        };
        let admission = fenced
            .filter(|_| ledger_answer == LedgerAnswer::Run)
            .map(|(_, fence)| (key.clone(), fence, false));
        if admission.is_some() {
            let (runner, request) = (self.options.id, request.to_owned());
            self.options.recorder.add(Event::Admitted { runner, request, attempt });
        }
        let (reply, replied) = async_channel::bounded(1);
        let id = {
            let mut inner = self.lock();
            inner.next += 1;
            let id = inner.next;
            let key = (grouped && claim == Claim::Fresh).then_some(key);
            inner
                .calls
                .insert(id, ActiveCall { request: request.to_owned(), attempt, reply, key, admission });
            inner.by_attempt.insert((request.to_owned(), attempt), id);
            id
        };
        let ledger_outcome = match &ledger_answer {
            LedgerAnswer::Run => None,
            LedgerAnswer::Ran(_) => Some(Outcome::Ok),
            LedgerAnswer::Busy | LedgerAnswer::Stale | LedgerAnswer::Full => Some(Outcome::Full),
            LedgerAnswer::InDoubt => Some(Outcome::Error),
        };
        match claim {
            _ if ledger_outcome.is_some() => self.step(|_, actions| {
                let outcome = ledger_outcome.unwrap_or(Outcome::Full);
                actions.push(Action::Answer { call: id, outcome, mark: CopyMark::Untold, crowd: 0 });
            }),
            Claim::Fresh => self.step(|model, actions| model.call(now(), id, call, actions)),
            Claim::Busy | Claim::Ran => self.step(|_, actions| {
                let outcome = if claim == Claim::Ran { Outcome::Ok } else { Outcome::Full };
                actions.push(Action::Answer { call: id, outcome, mark: CopyMark::Untold, crowd: 0 });
            }),
        }
        let _ = self.wake.try_send(());
        let gone = async {
            conn.closed().await;
            None
        };
        let reply = futures_lite::future::or(async { replied.recv().await.ok() }, gone).await;
        match reply {
            None => {
                self.cancel(id);
                None
            }
            Some(Reply::Break) => {
                // A response head that announces a body, without the body.
                let _ = conn.respond_streaming(200, &[], false).await;
                None
            }
            Some(Reply::Answer { outcome, mark, crowd }) => {
                let text = format!("{{\"runner\":{},\"work_us\":{}}}", self.options.id, work.work_us);
                let mut response =
                    Response::new(runner::outcome_status(outcome), "application/json", text.into_bytes())
                        .with(runner::OUTCOME, runner::outcome_name(outcome).unwrap_or("error"))
                        .with(runner::CROWD, crowd.to_string());
                if let Some(word) = runner::mark_name(mark) {
                    response = response.with(runner::COPY, word);
                }
                Some(response)
            }
        }
    }

    async fn order(
        self: &Arc<Self>,
        conn: &mut Conn<Stream>,
        head: &RequestHead,
        function: &str,
        body: &[u8],
    ) -> Option<Response> {
        let order: LoadOrder = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(e) => return Some(Response::new(400, "text/plain", e.to_string().into_bytes())),
        };
        let p = order.parameters;
        self.options.recorder.add(Event::Ordered {
            runner: self.options.id,
            front: head.headers.get(runner::FRONT).and_then(|v| v.parse().ok()).unwrap_or(u32::MAX),
            function: function.to_owned(),
            copies: p.copies,
        });
        let (reply, replied) = async_channel::bounded(1);
        let id = {
            let mut inner = self.lock();
            inner.next += 1;
            let id = inner.next;
            inner.orders.insert(id, reply);
            id
        };
        let (copies, size) = ((function, p.copies), (p.memory_mb, p.lanes));
        self.step(|model, actions| model.order(now(), id, copies, size, actions));
        let _ = self.wake.try_send(());
        let gone = async {
            conn.closed().await;
            None
        };
        let reply = futures_lite::future::or(async { replied.recv().await.ok() }, gone).await;
        let Some((outcome, copies)) = reply else {
            self.lock().orders.remove(&id);
            return None;
        };
        let (status, error) = match outcome {
            Outcome::Ok => (200, None),
            Outcome::Full => (503, Some("no room, too many loads in line, or draining".to_owned())),
            _ => (502, Some("a load failed".to_owned())),
        };
        Some(crate::json(status, &LoadAnswer { copies, error }))
    }
}
