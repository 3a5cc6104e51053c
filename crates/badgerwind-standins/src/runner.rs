//! A runner on a socket, after `docs/protocols/runner.md`, with commands for faults.
//!
//! `POST /standin/fault` with `{"on": true, "fault": "hang"}` and the like, `/standin/drain` with `{"on": true}`,
//! `/standin/release` with `{}`.

use crate::fenced::{Fenced, How, Said};
use crate::keys::{Claim, Keys};
use crate::model::{CallIn, Fault, Out, Runner, Spec};
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

/// A runner's own settings.
#[derive(Clone)]
pub struct Options {
    /// Its id in the list.
    pub id: u32,
    /// What it is made of.
    pub spec: Spec,
    /// It has just started; else it has been warm for long.
    pub cold: bool,
    /// The handler store; without one, fetches take no time.
    pub store: Option<SocketAddr>,
    /// Who may call; `None`: signatures are not looked at.
    pub keys: Option<KeyRing>,
    /// Classes whose repeats its group drops, and what the group remembers.
    pub group: Option<Group>,
    /// Classes that its group fences, and the group's ledger.
    pub fenced: Option<Fenced>,
    /// Where it writes down what it sees.
    pub recorder: Recorder,
    /// It is met under TLS.
    pub tls: Option<ServerTls>,
}

/// A group of runners of one process that share what keys they have seen.
#[derive(Clone)]
pub struct Group {
    /// The classes.
    pub classes: Vec<String>,
    /// The memory.
    pub keys: Arc<Mutex<Keys>>,
}

/// What a call's body says of its work; a stand-in has no other way to know. Anything else counts as 1 ms.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Work {
    /// Microseconds of a core of speed 1.
    pub work_us: f64,
    /// The mean of its class.
    pub mean_us: f64,
}

/// A command that begins or takes back a fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultCommand {
    /// Begins, or takes back.
    pub on: bool,
    /// Which.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A command that switches something.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Switch {
    /// On or off.
    pub on: bool,
}

enum Reply {
    Answer { outcome: Outcome, mark: CopyMark, crowd: u32 },
    Break,
}

struct CallHere {
    request: String,
    attempt: u32,
    reply: async_channel::Sender<Reply>,
    /// The key that its group holds for it.
    key: Option<String>,
    /// What the ledger holds for it: key and fence, and whether it ran.
    let_in: Option<(String, Fence, bool)>,
}

struct Inner {
    model: Runner,
    next: u64,
    calls: HashMap<u64, CallHere>,
    by_name: HashMap<(String, u32), u64>,
    orders: HashMap<u64, async_channel::Sender<(Outcome, u32)>>,
    hangs: bool,
}

struct Server {
    options: Options,
    inner: Mutex<Inner>,
    nudge: async_channel::Sender<()>,
    store: Option<Arc<Pool>>,
}

/// Serves for ever, or until the runner falls over: then the process ends, as a machine that is down.
pub async fn serve(listener: TcpListener, options: Options) {
    if options.cold {
        options.recorder.add(Event::RunnerStarted { runner: options.id });
    }
    let tls = options.tls.clone();
    let (nudge, nudged) = async_channel::bounded(1);
    let inner = Inner {
        model: Runner::new(now(), options.spec.clone(), options.cold),
        next: 0,
        calls: HashMap::new(),
        by_name: HashMap::new(),
        orders: HashMap::new(),
        hangs: false,
    };
    let store = options.store.map(|a| Arc::new(crate::pool(a, 64)));
    let server = Arc::new(Server { options, inner: Mutex::new(inner), nudge, store });
    let ticking = server.clone();
    let tick = smol::spawn(async move {
        loop {
            ticking.step(|model, out| model.poll(now(), out));
            let next = ticking.lock().model.next(now());
            let due =
                next.map_or(Duration::from_secs(1), |at| Duration::from_micros(at.saturating_sub(now())));
            let timer = async {
                smol::Timer::after(due.min(Duration::from_secs(1))).await;
            };
            futures_lite::future::or(timer, async { _ = nudged.recv().await }).await;
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

    /// Does something to the model and carries out what follows.
    fn step<T>(self: &Arc<Self>, work: impl FnOnce(&mut Runner, &mut Vec<Out>) -> T) -> T {
        let mut inner = self.lock();
        let mut out = Vec::new();
        let result = work(&mut inner.model, &mut out);
        for o in out {
            self.carry(&mut inner, o);
        }
        result
    }

    fn carry(self: &Arc<Self>, inner: &mut Inner, out: Out) {
        let runner = self.options.id;
        match out {
            Out::Answer { call, outcome, mark, crowd } => {
                let Some(here) = inner.calls.remove(&call) else { return };
                self.release(&here);
                let word = runner::outcome_word(outcome).unwrap_or("error");
                let (request, attempt) = (here.request.clone(), here.attempt);
                self.options.recorder.add(Event::Replied { runner, request, attempt, outcome: word.into() });
                inner.by_name.remove(&(here.request, here.attempt));
                let _ = here.reply.try_send(Reply::Answer { outcome, mark, crowd });
            }
            Out::Finished { call } => {
                if let Some(here) = inner.calls.get_mut(&call) {
                    if let Some((_, _, ran)) = &mut here.let_in {
                        *ran = true;
                    }
                    let (request, attempt) = (here.request.clone(), here.attempt);
                    self.options.recorder.add(Event::Finished { runner, request, attempt });
                    if let (Some(key), Some(mut keys)) = (&here.key, self.keys()) {
                        keys.ran(now(), key);
                    }
                }
            }
            Out::Break { call } => {
                let Some(here) = inner.calls.remove(&call) else { return };
                self.release(&here);
                let (request, attempt) = (here.request.clone(), here.attempt);
                self.options.recorder.add(Event::Aborted { runner, request, attempt });
                inner.by_name.remove(&(here.request, here.attempt));
                let _ = here.reply.try_send(Reply::Break);
            }
            Out::Fetch { load, function } => {
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
                    server.step(|model, out| model.fetched(now(), load, ok, out));
                    let _ = server.nudge.try_send(());
                })
                .detach();
            }
            Out::Ordered { order, outcome, copies } => {
                if let Some(reply) = inner.orders.remove(&order) {
                    let _ = reply.try_send((outcome, copies));
                }
            }
            Out::FellOver => {
                eprintln!("runner {runner} was pushed over");
                std::process::exit(3);
            }
        }
    }

    fn keys(&self) -> Option<MutexGuard<'_, Keys>> {
        let group = self.options.group.as_ref()?;
        Some(group.keys.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A call is over: its key is free again, unless it ran; the ledger is told.
    fn release(&self, here: &CallHere) {
        if let (Some(fenced), Some((key, fence, ran))) = (&self.options.fenced, &here.let_in) {
            let how =
                if *ran { How::Ran(format!("{{\"runner\":{}}}", self.options.id)) } else { How::NeverRan };
            fenced.ended(key.clone(), *fence, how);
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
                        conn.gone().await;
                        return;
                    }
                    let stopped = attempt.parse().is_ok_and(|n| self.stop(request, n));
                    crate::empty(if stopped { 200 } else { 404 })
                }
                ("POST", ["", "v2", "repository", "models", function, "load"]) => {
                    match self.order(&mut conn, &head, function, &body).await {
                        Some(response) => response,
                        None => return,
                    }
                }
                ("POST", ["", "v2", "repository", "models", function, "unload"]) => {
                    self.step(|model, out| model.unload(now(), function, out));
                    crate::empty(200)
                }
                ("GET", _) if path == runner::READY_PATH => {
                    if self.lock().hangs {
                        conn.gone().await;
                        return;
                    }
                    crate::empty(200)
                }
                ("POST", ["", "standin", what]) => self.commanded(what, &body),
                _ => crate::empty(404),
            };
            if conn.respond(&response, head.keeps_alive()).await.is_err() || !head.keeps_alive() {
                return;
            }
        }
    }

    fn commanded(self: &Arc<Self>, what: &str, body: &[u8]) -> Response {
        let done = match what {
            "fault" => serde_json::from_slice::<FaultCommand>(body).map(|c| {
                if c.fault == Fault::Hang {
                    self.lock().hangs = c.on;
                }
                self.step(|model, _| model.fault(now(), c.fault, c.on));
            }),
            "drain" => serde_json::from_slice::<Switch>(body).map(|c| self.lock().model.drain(c.on)),
            "release" => {
                self.step(|model, out| model.release(now(), out));
                Ok(())
            }
            _ => return crate::empty(404),
        };
        let _ = self.nudge.try_send(());
        match done {
            Ok(()) => crate::empty(200),
            Err(e) => Response::new(400, "text/plain", e.to_string().into_bytes()),
        }
    }

    /// Stops an attempt; false where none of that name is here.
    fn stop(self: &Arc<Self>, request: &str, attempt: u32) -> bool {
        let id = self.lock().by_name.get(&(request.to_owned(), attempt)).copied();
        id.is_some_and(|id| self.leave(id))
    }

    fn leave(self: &Arc<Self>, id: u64) -> bool {
        // First the model, under its lock: what it answers at this moment stands.
        let held = self.step(|model, out| model.leave(now(), id, out));
        let mut inner = self.lock();
        let Some(here) = inner.calls.remove(&id) else { return held };
        inner.by_name.remove(&(here.request.clone(), here.attempt));
        self.release(&here);
        let (runner, request, attempt) = (self.options.id, here.request, here.attempt);
        self.options.recorder.add(Event::Aborted { runner, request, attempt });
        let reply = Reply::Answer { outcome: Outcome::Cancelled, mark: CopyMark::Untold, crowd: 0 };
        let _ = here.reply.try_send(reply);
        let _ = self.nudge.try_send(());
        true
    }

    /// A call, to its answer; `None` where the connection is to close.
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
        let call = CallIn {
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
        let said = match fenced {
            Some((fenced, fence)) => fenced.admit(&key, fence).await,
            None => Said::Run,
        };
        let let_in = fenced.filter(|_| said == Said::Run).map(|(_, fence)| (key.clone(), fence, false));
        if let_in.is_some() {
            let (runner, request) = (self.options.id, request.to_owned());
            self.options.recorder.add(Event::Admitted { runner, request, attempt });
        }
        let (reply, replied) = async_channel::bounded(1);
        let id = {
            let mut inner = self.lock();
            inner.next += 1;
            let id = inner.next;
            let key = (grouped && claim == Claim::Fresh).then_some(key);
            inner.calls.insert(id, CallHere { request: request.to_owned(), attempt, reply, key, let_in });
            inner.by_name.insert((request.to_owned(), attempt), id);
            id
        };
        let turned = match &said {
            Said::Run => None,
            Said::Ran(_) => Some(Outcome::Ok),
            Said::Busy | Said::Stale | Said::Full => Some(Outcome::Full),
            Said::Doubt => Some(Outcome::Error),
        };
        match claim {
            _ if turned.is_some() => self.step(|_, out| {
                let outcome = turned.unwrap_or(Outcome::Full);
                out.push(Out::Answer { call: id, outcome, mark: CopyMark::Untold, crowd: 0 });
            }),
            Claim::Fresh => self.step(|model, out| model.call(now(), id, call, out)),
            Claim::Busy | Claim::Ran => self.step(|_, out| {
                let outcome = if claim == Claim::Ran { Outcome::Ok } else { Outcome::Full };
                out.push(Out::Answer { call: id, outcome, mark: CopyMark::Untold, crowd: 0 });
            }),
        }
        let _ = self.nudge.try_send(());
        let gone = async {
            conn.gone().await;
            None
        };
        let reply = futures_lite::future::or(async { replied.recv().await.ok() }, gone).await;
        match reply {
            None => {
                self.leave(id);
                None
            }
            Some(Reply::Break) => {
                // A head that promises a body, and no body.
                let _ = conn.respond_streaming(200, &[], false).await;
                None
            }
            Some(Reply::Answer { outcome, mark, crowd }) => {
                let text = format!("{{\"runner\":{},\"work_us\":{}}}", self.options.id, work.work_us);
                let mut response =
                    Response::new(runner::outcome_status(outcome), "application/json", text.into_bytes())
                        .with(runner::OUTCOME, runner::outcome_word(outcome).unwrap_or("error"))
                        .with(runner::CROWD, crowd.to_string());
                if let Some(word) = runner::mark_word(mark) {
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
        let what = ((function, p.copies), (p.memory_mb, p.lanes));
        self.step(|model, out| model.order(now(), id, what.0, what.1, out));
        let _ = self.nudge.try_send(());
        let gone = async {
            conn.gone().await;
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
