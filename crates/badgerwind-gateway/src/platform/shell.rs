//! What the parts of the platform front share, on one thread: settings, shares, the way to the engine.

use super::clients::Clients;
use super::complaints::Complaints;
use super::executors::Executors;
use crate::clock::Clock;
use crate::engine::{Backend, InputOf, OutputOf};
use crate::metrics::word;
use async_channel::Sender;
use badgerwind::interface::*;
use badgerwind_driver::Output;
use badgerwind_freshness::{Freshness, FreshnessSettings};
use badgerwind_instance::{Names, Transport};
use badgerwind_platform::config::Config;
use badgerwind_platform::shares::Shares;
use smol::{Async, LocalExecutor};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// What an executor needs of a call.
#[derive(Debug)]
pub(crate) struct Content {
    pub id: RequestId,
    pub class: usize,
    pub key: FunctionId,
    pub body: Vec<u8>,
    pub handed: Time,
}

/// Whom to answer: a request on a connection. The serial tells it from an earlier one under the same number.
#[derive(Debug)]
pub(crate) struct Caller {
    pub connection: u64,
    pub number: u16,
    pub serial: u64,
}

pub(crate) type Input = InputOf<Platform>;

pub(super) struct Shell {
    pub clock: Clock,
    pub names: Names,
    pub set: Settings,
    pub transport: Transport,
    pub shares: Shares,
    /// Never more in it than what is open: each call, attempt, order and probe puts in one end.
    pub inputs: Sender<Input>,
    pub tasks: LocalExecutor<'static>,
    /// Where sockets are read into; handed on before the next read.
    pub scratch: RefCell<Vec<u8>>,
    pub clients: Clients,
    pub executors: Executors,
    pub peers: Option<Peers>,
    pub complaints: Complaints,
    /// How old the list of executors is, and what they say themselves.
    pub freshness: RefCell<Freshness>,
    /// SIGTERM has come.
    pub stopping: Cell<bool>,
    /// The time in which calls still come after it is over.
    pub closed: Cell<bool>,
}

/// The datagrams between front ends.
pub(super) struct Peers {
    pub socket: Async<UdpSocket>,
    pub peers: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
    pub own: u32,
}

/// The longest message.
const MESSAGE: usize = 256;
/// Messages taken in before others have their turn.
const MESSAGES: usize = 32;

impl Shell {
    /// A shell and its sockets for messages. `inputs` leads to the engine.
    pub(super) fn new(config: &Config, clock: Clock, inputs: Sender<Input>) -> std::io::Result<Rc<Shell>> {
        let peers = match config.peer_listen.filter(|_| config.router.may_message) {
            Some(address) => Some(Peers {
                socket: Async::<UdpSocket>::bind(address)?,
                peers: config.peers.clone(),
                all: config.peers_all,
                own: config.router.my_number,
            }),
            None => None,
        };
        Ok(Rc::new(Shell {
            clock,
            names: config.names.clone(),
            set: config.router.clone(),
            transport: config.transport,
            shares: Shares::new(&config.limits, config.transport.max_open_requests),
            inputs,
            tasks: LocalExecutor::new(),
            scratch: RefCell::new(vec![0; 64 * 1024]),
            clients: Clients::default(),
            executors: Executors::new(config.transport.connect_timeout),
            peers,
            complaints: Complaints::default(),
            freshness: RefCell::new(Freshness::new(clock.now(), freshness_terms(config))),
            stopping: Cell::new(false),
            closed: Cell::new(false),
        }))
    }

    /// Tells the engine; it has ended where that fails, and so will the process.
    pub(super) fn tell(&self, input: Input) {
        let _ = self.inputs.try_send(input);
    }
}

fn freshness_terms(config: &Config) -> FreshnessSettings {
    FreshnessSettings {
        drain_grace: config.router.drain_grace,
        answer_timeout: config.transport.connect_timeout,
        may_probe: config.router.may_probe,
        may_order: config.router.may_order,
        front_ends: config.router.front_ends,
        jitter: fastrand::Rng::with_seed(config.seed).f64(),
    }
}

impl Peers {
    fn tell(&self, to: Option<u32>, bytes: &[u8]) {
        let bytes = &bytes[..bytes.len().min(MESSAGE)];
        let address = match to {
            None => self.all,
            Some(n) => self.peers.get(n as usize).copied().filter(|_| n != self.own),
        };
        if let Some(address) = address {
            // What cannot be sent at once is lost, as datagrams are.
            let _ = self.socket.get_ref().send_to(bytes, address);
        }
    }

    /// Hands on what comes from front ends of the tier, for ever.
    pub(super) async fn listen(&self, shell: &Shell) {
        let (mut buf, mut heard) = ([0u8; MESSAGE + 1], 0);
        loop {
            let Ok((n, from)) = self.socket.recv_from(&mut buf).await else {
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            };
            heard += 1;
            if heard % MESSAGES == 0 {
                futures_lite::future::yield_now().await; // a flood holds up nobody
            }
            let number = self.peers.iter().position(|p| *p == from).map(|n| n as u32);
            if number.is_none() || n > MESSAGE {
                if let Some(more) = shell.complaints.datagram.may(shell.clock.now()) {
                    tracing::warn!(
                        more,
                        "a datagram of {n} bytes or more from {from} is passed over: {MESSAGE} are the most, from an address of \
                         the configuration's peers"
                    );
                }
            }
            if let Some(from) = number.filter(|&f| n <= MESSAGE && f != self.own) {
                let bytes = buf[..n].to_vec();
                if shell.inputs.len() < shell.shares.open_requests {
                    shell.tell(Input::Message { from, bytes });
                }
            }
        }
    }
}

/// The platform's way through the engine.
pub(crate) struct Platform(pub(super) Rc<Shell>);

impl Backend for Platform {
    type Origin = Caller;
    type Content = Rc<Content>;
    type Reply = Vec<u8>;

    fn module(_: &Rc<Content>) -> u64 {
        0
    }

    fn handed(content: &Rc<Content>) -> Time {
        content.handed
    }

    fn observe(&mut self, _: Time, input: &Input) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        match input {
            Input::Call(c) => {
                let r = &c.request;
                tracing::debug!(request = %r.id, class = r.class, function = %r.function, retry = r.retry, "taken");
            }
            Input::AttemptEnded { id, attempt, end } => {
                let (outcome, mark, crowd) = (word(end.outcome), end.mark, end.crowd);
                tracing::debug!(request = %id, attempt, outcome, ?mark, crowd, "attempt ended");
            }
            Input::OrderEnded { order, outcome, copies } => {
                tracing::debug!(order = order.0, outcome = word(*outcome), copies, "order ended");
            }
            _ => {}
        }
    }

    fn carry(&mut self, now: Time, output: OutputOf<Self>) {
        let shell = &self.0;
        match output {
            Output::Answer { id, origin, answer, attempts, lag, .. } => {
                let served = matches!(answer, badgerwind_driver::FinalAnswer::Served(_));
                tracing::debug!(request = %id, served, attempts, lag, "answered");
                shell.clients.answer(shell, &origin, &answer);
            }
            Output::Stream { origin, reply, .. } => {
                // No class of the platform streams; an answer begun is an answer.
                shell.clients.answer(shell, &origin, &badgerwind_driver::FinalAnswer::Served(reply));
            }
            Output::Attempt { id, attempt, worker, content, limit } => {
                tracing::debug!(request = %id, attempt, worker, function = %content.key, "attempt");
                shell.executors.attempt(shell, now, worker, (id, attempt, content, limit));
            }
            Output::Cancel { id, attempt, worker, reason: why } => {
                shell.executors.call_off(shell, worker, &id, attempt, why);
            }
            Output::Withhold { id, attempt, worker } => {
                shell.executors.withhold(shell, worker, &id, attempt);
            }
            Output::Order { order, worker, function, copies, .. } => {
                tracing::debug!(order = order.0, worker, %function, copies, "order");
                shell.executors.order(shell, now, worker, order, &function, copies);
            }
            Output::Drop { worker, function } => shell.executors.unload(shell, now, worker, &function),
            Output::Probe { worker } => shell.executors.probe(shell, now, worker),
            Output::CloseIdle { worker } => shell.executors.close_idle(worker),
            Output::SendMessage { to, bytes } => {
                if let Some(peers) = &shell.peers {
                    peers.tell(to, &bytes);
                }
            }
            // The notice board tells without being asked. Log and Broken are the engine's own.
            Output::Subscribe { .. }
            | Output::FetchList
            | Output::Log { .. }
            | Output::ModuleFailed { .. } => {}
        }
    }

    fn settled(&mut self, _: usize, _: Duration) {
        self.0.executors.flush(&self.0);
        self.0.clients.flush();
    }
}
