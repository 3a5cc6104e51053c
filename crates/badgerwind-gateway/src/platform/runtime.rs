//! The state that the parts of the platform front share on one thread, and its backend for the engine.

use super::clients::Clients;
use super::executors::Executors;
use super::log_limits::LogLimits;
use crate::clock::Clock;
use crate::engine::{Backend, InputOf, OutputOf};
use crate::metrics::outcome_name;
use async_channel::Sender;
use badgerwind::interface::*;
use badgerwind_driver::Output;
use badgerwind_freshness::{Freshness, FreshnessSettings};
use badgerwind_instance::{Names, Transport};
use badgerwind_platform::config::Config;
use badgerwind_platform::memory::HeldBytes;
use badgerwind_platform::shares::ResourceShares;
use smol::{Async, LocalExecutor};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// The part of a call that is sent to an executor.
#[derive(Debug)]
pub(crate) struct Content {
    pub id: RequestId,
    pub class: usize,
    pub function: FunctionId,
    pub body: Vec<u8>,
    pub accepted_at: Time,
    /// The memory of its body and of its line to an executor.
    pub _held: HeldBytes,
}

/// Where the answer goes: a request on a connection. The serial distinguishes it from an earlier request with
/// the same FastCGI request id.
#[derive(Debug)]
pub(crate) struct Caller {
    pub connection: u64,
    pub fcgi_request_id: u16,
    pub serial: u64,
}

pub(crate) type Input = InputOf<PlatformBackend>;

/// The state of a platform front end.
pub(super) struct Runtime {
    pub clock: Clock,
    pub names: Names,
    pub settings: Settings,
    pub transport: Transport,
    pub shares: ResourceShares,
    /// Inputs to the engine. Its length is bounded by what is open, since each call, attempt, order and probe
    /// sends one end; connections are paused while more calls wait in it than may be open.
    pub inputs: Sender<Input>,
    pub tasks: LocalExecutor<'static>,
    /// Buffer for socket reads; its content is processed before the next read.
    pub scratch: RefCell<Vec<u8>>,
    pub clients: Clients,
    pub executors: Executors,
    pub peers: Option<Peers>,
    pub log_limits: LogLimits,
    /// The age of the list of executors, and the executors' own answers.
    pub freshness: RefCell<Freshness>,
    /// SIGTERM was received.
    pub stopping: Cell<bool>,
    /// The time for late requests after SIGTERM has passed.
    pub intake_closed: Cell<bool>,
    /// Clients are not read from any more, since the process is about to end.
    pub reading_ended: Cell<bool>,
}

/// The datagram socket between front ends.
pub(super) struct Peers {
    pub socket: Async<UdpSocket>,
    /// Addresses of the front ends, by number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all front ends.
    pub all: Option<SocketAddr>,
    /// This front end's number.
    pub own: u32,
}

/// Most bytes read from a connection at a time.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Most bytes in a message.
const MAX_MESSAGE_BYTES: usize = 256;
/// Most messages received before other tasks run.
const MESSAGES_PER_TURN: usize = 32;

impl Runtime {
    /// Creates the runtime and its socket for messages. `inputs` is the engine's queue.
    pub(super) fn new(config: &Config, clock: Clock, inputs: Sender<Input>) -> std::io::Result<Rc<Runtime>> {
        let peers = match config.peer_listen.filter(|_| config.router.may_message) {
            Some(address) => Some(Peers {
                socket: Async::<UdpSocket>::bind(address)?,
                peers: config.peers.clone(),
                all: config.peers_all,
                own: config.router.my_number,
            }),
            None => None,
        };
        let shares = ResourceShares::new(&config.limits, config.transport.max_open_requests);
        Ok(Rc::new(Runtime {
            clock,
            names: config.names.clone(),
            settings: config.router.clone(),
            transport: config.transport,
            shares,
            inputs,
            tasks: LocalExecutor::new(),
            scratch: RefCell::new(vec![0; MAX_READ_BYTES]),
            clients: Clients::new(&shares),
            executors: Executors::new(config.transport.connect_timeout),
            peers,
            log_limits: LogLimits::default(),
            freshness: RefCell::new(Freshness::new(clock.now(), freshness_settings(config))),
            stopping: Cell::new(false),
            intake_closed: Cell::new(false),
            reading_ended: Cell::new(false),
        }))
    }

    /// Sends an input to the engine. This fails only if the engine has ended, and then the process ends too.
    pub(super) fn send_input(&self, input: Input) {
        let _ = self.inputs.try_send(input);
    }
}

fn freshness_settings(config: &Config) -> FreshnessSettings {
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
    fn send(&self, to: Option<u32>, bytes: &[u8]) {
        let bytes = &bytes[..bytes.len().min(MAX_MESSAGE_BYTES)];
        let address = match to {
            None => self.all,
            Some(number) => self.peers.get(number as usize).copied().filter(|_| number != self.own),
        };
        if let Some(address) = address {
            // Datagrams may be lost, so one that cannot be sent at once is dropped.
            let _ = self.socket.get_ref().send_to(bytes, address);
        }
    }

    /// Passes messages from other front ends to the engine, for as long as the process runs.
    pub(super) async fn listen(&self, runtime: &Runtime) {
        let (mut buf, mut received) = ([0u8; MAX_MESSAGE_BYTES + 1], 0);
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buf).await else {
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            };
            received += 1;
            if received % MESSAGES_PER_TURN == 0 {
                futures_lite::future::yield_now().await; // a flood must not delay other tasks
            }
            let number = self.peers.iter().position(|peer| *peer == from).map(|index| index as u32);
            if number.is_none() || length > MAX_MESSAGE_BYTES {
                if let Some(more) = runtime.log_limits.datagram.allow(runtime.clock.now()) {
                    tracing::warn!(
                        more,
                        "ignored a datagram of {length} bytes or more from {from}: messages have at most \
                         {MAX_MESSAGE_BYTES} bytes and come from the configuration's peers"
                    );
                }
            }
            if let Some(from) = number.filter(|&number| length <= MAX_MESSAGE_BYTES && number != self.own) {
                let bytes = buf[..length].to_vec();
                if runtime.inputs.len() < runtime.shares.open_requests {
                    runtime.send_input(Input::Message { from, bytes });
                }
            }
        }
    }
}

/// Executes the engine's outputs for the platform.
pub(crate) struct PlatformBackend(pub(super) Rc<Runtime>);

impl Backend for PlatformBackend {
    type Origin = Caller;
    type Content = Rc<Content>;
    type Reply = Vec<u8>;

    fn module_number(_: &Rc<Content>) -> u64 {
        0
    }

    fn accepted_at(content: &Rc<Content>) -> Time {
        content.accepted_at
    }

    fn observe(&mut self, _: Time, input: &Input) {
        match input {
            Input::Call(_) => self.0.clients.on_call_taken(),
            Input::AttemptEnded { end, .. } => self.0.executors.on_reply_taken(&end.reply),
            _ => {}
        }
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        match input {
            Input::Call(call) => {
                let request = &call.request;
                tracing::debug!(request = %request.id, class = request.class, function = %request.function, retry = request.retry, "taken");
            }
            Input::AttemptEnded { id, attempt, end } => {
                let (outcome, mark, crowd) = (outcome_name(end.outcome), end.mark, end.crowd);
                tracing::debug!(request = %id, attempt, outcome, ?mark, crowd, "attempt ended");
            }
            Input::OrderEnded { order, outcome, copies } => {
                tracing::debug!(order = order.0, outcome = outcome_name(*outcome), copies, "order ended");
            }
            _ => {}
        }
    }

    fn execute(&mut self, now: Time, output: OutputOf<Self>) {
        let runtime = &self.0;
        match output {
            Output::Answer { id, origin, answer, attempts, lag, .. } => {
                let served = matches!(answer, badgerwind_driver::FinalAnswer::Served(_));
                tracing::debug!(request = %id, served, attempts, lag, "answered");
                runtime.clients.answer(runtime, &origin, &answer);
            }
            Output::Stream { origin, reply, .. } => {
                // No class of the platform streams, so the start of an answer is the whole answer.
                runtime.clients.answer(runtime, &origin, &badgerwind_driver::FinalAnswer::Served(reply));
            }
            Output::Attempt { id, attempt, worker, content, deadline } => {
                tracing::debug!(request = %id, attempt, worker, function = %content.function, "attempt");
                runtime.executors.enqueue_attempt(runtime, now, worker, (id, attempt, content, deadline));
            }
            Output::Cancel { id, attempt, worker, reason } => {
                runtime.executors.cancel(runtime, worker, &id, attempt, reason);
            }
            Output::Withhold { id, attempt, worker } => {
                runtime.executors.withhold(runtime, worker, &id, attempt);
            }
            Output::Order { order, worker, function, copies, .. } => {
                tracing::debug!(order = order.0, worker, %function, copies, "order");
                runtime.executors.enqueue_order(runtime, now, worker, order, &function, copies);
            }
            Output::Drop { worker, function } => {
                runtime.executors.enqueue_unload(runtime, now, worker, &function)
            }
            Output::Probe { worker } => runtime.executors.enqueue_probe(runtime, now, worker),
            Output::CloseIdle { worker } => runtime.executors.close_idle(worker),
            Output::SendMessage { to, bytes } => {
                if let Some(peers) = &runtime.peers {
                    peers.send(to, &bytes);
                }
            }
            // Service discovery sends its list without subscription. The engine handles Log and ModuleFailed
            // itself.
            Output::Subscribe { .. }
            | Output::FetchList
            | Output::Log { .. }
            | Output::ModuleFailed { .. } => {}
        }
    }

    fn on_batch_done(&mut self, _: usize, _: Duration) {
        self.0.executors.flush(&self.0);
        self.0.clients.flush();
        self.0.clients.resume_paused();
        self.0.executors.resume_paused();
    }
}
