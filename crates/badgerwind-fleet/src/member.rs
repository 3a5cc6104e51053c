//! A member of the register in a process: one thread owns the node and its clock. Links, disk and callers
//! communicate with it by bounded queues and by the state that it publishes.

use crate::disk::{Disk, DiskError};
use crate::lease_snapshot::LeaseSnapshot;
use crate::link::{self, LinkIdentity};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use badgerwind_register::{
    AnnounceError, Event, Incarnation, Index, Input, Member, Message, Node, Output, Settings, SettingsError,
    Setup, StateMachine, Time,
};
use badgerwind_webhook::Key;
use futures_lite::FutureExt;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Capacity of the queues of messages for a link and for the node, and of commands. Messages to a link whose
/// queue is full are dropped.
const QUEUE: usize = 1024;

/// Options of a member.
#[derive(Clone)]
pub struct MemberOptions {
    /// Number of the member.
    pub me: Member,
    /// Zone of the member.
    pub zone: u8,
    /// Settings of the register, the same for all members.
    pub settings: Settings,
    /// Address on which it accepts links.
    pub listen: SocketAddr,
    /// Addresses of all members.
    pub peers: BTreeMap<Member, SocketAddr>,
    /// Key with which members authenticate each other.
    pub key: Key,
    /// File of a voter's disk; only voters have one.
    pub disk: Option<PathBuf>,
    /// Rate by which its clock runs fast, in parts per million; for tests of the bound on drift.
    pub clock_skew_ppm: i64,
}

/// Error that prevents a member from starting, or has stopped it.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The settings are inconsistent.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The disk cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// A voter needs a disk.
    #[error("member {0} is a voter and needs a file for its vote and log")]
    VoterWithoutDisk(Member),
    /// The peers' key is not a shared secret.
    #[error("the peers' key must be a shared secret (whsec_)")]
    KeyNotShared,
    /// The address cannot be listened on.
    #[error("cannot listen for members on {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
    /// No thread or no random numbers are available.
    #[error("cannot start: {0}")]
    Start(String),
    /// An entry of the log has a newer version than this program supports.
    #[error("entry {0} of the register's log has a newer version: upgrade this program")]
    UnknownRecordVersion(Index),
}

/// Receives the events of a member, on the member's own thread.
pub trait EventListener<S>: Send + 'static {
    /// An entry of the log caused this event; `at` is the time on the member's own clock.
    fn on_event(&mut self, at: Time, entry: Index, event: &Event);
}

/// The state that the register's thread publishes. It is replaced as a whole and read without a lock.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Index of the last applied entry.
    pub applied: Index,
    /// Whether this member is the leader.
    pub is_leader: bool,
    /// The member that it believes to be the leader.
    pub leader: Option<Member>,
    /// Live members and their incarnations.
    pub live_members: BTreeMap<Member, Incarnation>,
}

/// A command of a caller to the member's thread.
enum Command {
    Announce(Vec<u8>, Sender<Result<(Incarnation, u64), AnnounceError>>),
    Leave,
}

/// A running member. Reading its state takes no lock and does not wait for its thread.
#[derive(Clone)]
pub struct RegisterMember {
    lease_snapshot: Arc<LeaseSnapshot>,
    view: Arc<ArcSwap<View>>,
    commands: Sender<Command>,
    clock: Clock,
}

/// A member's own clock, which continues while the process is stopped.
#[derive(Clone, Copy, Debug)]
struct Clock {
    start: Instant,
    skew_ppm: i64,
}

impl Clock {
    fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros() as i128;
        (micros + micros * i128::from(self.skew_ppm) / 1_000_000) as Time
    }
}

/// Creates the disk of a voter of a new register.
pub fn create_disk(path: &Path, settings: &Settings) -> Result<(), DiskError> {
    Disk::create(path, &Node::<EmptyStateMachine>::initial_storage(settings)).map(drop)
}

/// A state machine without state, for a register that is used for incarnations only.
#[derive(Clone, Debug, Default)]
pub struct EmptyStateMachine;

impl StateMachine for EmptyStateMachine {
    fn announced(&mut self, _: Index, _: (Member, Incarnation), _: &[u8]) {}
    fn ended(&mut self, _: Index, _: (Member, Incarnation)) {}
    fn save(&self) -> Vec<u8> {
        Vec::new()
    }
    fn load(_: &[u8]) -> Option<Self> {
        Some(EmptyStateMachine)
    }
}

impl RegisterMember {
    /// Starts a member on its own thread. The returned receiver yields the error if the thread stops because
    /// of one.
    pub fn start<S: StateMachine + Send + 'static>(
        options: MemberOptions,
        state_machine: S,
        event_listener: impl EventListener<S>,
    ) -> Result<(RegisterMember, Receiver<MemberError>), MemberError> {
        options.settings.validate()?;
        let clock = Clock { start: Instant::now(), skew_ppm: options.clock_skew_ppm };
        let mut seed = [0u8; 8];
        getrandom::fill(&mut seed).map_err(|e| MemberError::Start(e.to_string()))?;
        let MemberOptions { me, zone, ref settings, .. } = options;
        let setup = Setup { me, zone, seed: u64::from_be_bytes(seed), settings: settings.clone() };
        let (node, disk) = match &options.disk {
            Some(path) => {
                let (disk, storage) = Disk::open(path)?;
                (Node::voter(clock.now(), setup, storage, state_machine)?, Some(Arc::new(disk)))
            }
            None if settings.voters.contains(&me) => return Err(MemberError::VoterWithoutDisk(me)),
            None => (Node::follower(setup, state_machine)?, None),
        };
        let identity = LinkIdentity::new(me, &options.key).ok_or(MemberError::KeyNotShared)?;
        let listener = smol::block_on(TcpListener::bind(options.listen));
        let listener = listener.map_err(|e| MemberError::Bind(options.listen, e))?;
        let (commands, received_commands) = async_channel::bounded(QUEUE);
        let (error_sender, error_receiver) = async_channel::bounded(1);
        let member = RegisterMember { lease_snapshot: Arc::default(), view: Arc::default(), commands, clock };
        let member_loop = MemberLoop {
            node,
            disk,
            clock,
            lease_snapshot: member.lease_snapshot.clone(),
            view: member.view.clone(),
            links: BTreeMap::new(),
            event_listener,
            tick_interval: Duration::from_micros(options.settings.tick / 2).max(Duration::from_millis(1)),
            published: (0, false, None),
        };
        let builder = std::thread::Builder::new().name("register".into());
        let spawned = builder.spawn(move || {
            let tasks = Rc::new(LocalExecutor::new());
            let error = smol::block_on(tasks.run(member_loop.run(
                tasks.clone(),
                options,
                identity,
                listener,
                received_commands,
            )));
            if let Some(error) = error {
                tracing::error!("the register's member has stopped: {error}");
                let _ = error_sender.try_send(error); // the receiver may be dropped
            }
        });
        spawned.map_err(|e| MemberError::Start(e.to_string()))?;
        Ok((member, error_receiver))
    }

    /// Time on its own clock, in microseconds since it started.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The incarnation in which an effect may be performed now; the effect carries its number.
    pub fn live_incarnation(&self) -> Option<Incarnation> {
        self.lease_snapshot.live_incarnation(self.clock.now())
    }

    /// As [`RegisterMember::live_incarnation`], with the time at which it was read.
    pub fn live_incarnation_at(&self) -> (Option<Incarnation>, Time) {
        let now = self.clock.now();
        (self.lease_snapshot.live_incarnation(now), now)
    }

    /// The state that the register's thread published last.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Announces bytes to the state machine. Waits for the member's thread to accept the announcement, not
    /// for its commit.
    pub async fn announce(&self, bytes: Vec<u8>) -> Result<(Incarnation, u64), AnnounceError> {
        let (reply, result) = async_channel::bounded(1);
        if self.commands.send(Command::Announce(bytes, reply)).await.is_err() {
            return Err(AnnounceError::NotLive);
        }
        result.recv().await.unwrap_or(Err(AnnounceError::NotLive))
    }

    /// Leaves: the member records the end of its incarnation, and this process no longer acts in it.
    pub fn leave(&self) {
        self.lease_snapshot.end();
        let _ = self.commands.try_send(Command::Leave); // if the queue is full, the lease expires
    }
}

/// The event loop of a member, on its own thread.
struct MemberLoop<S, L> {
    node: Node<S>,
    disk: Option<Arc<Disk>>,
    clock: Clock,
    lease_snapshot: Arc<LeaseSnapshot>,
    view: Arc<ArcSwap<View>>,
    links: BTreeMap<Member, Sender<Message>>,
    event_listener: L,
    tick_interval: Duration,
    /// The last applied entry, whether this member is the leader, and the leader, as published last.
    published: (Index, bool, Option<Member>),
}

/// An event that the loop handles.
enum LoopEvent {
    Message(Member, Message),
    Command(Command),
    Written(Result<(), DiskError>),
    Tick,
}

impl<S: StateMachine + Send + 'static, L: EventListener<S>> MemberLoop<S, L> {
    async fn run(
        mut self,
        tasks: Rc<LocalExecutor<'_>>,
        options: MemberOptions,
        identity: LinkIdentity,
        listener: TcpListener,
        received_commands: Receiver<Command>,
    ) -> Option<MemberError> {
        let (message_sender, messages) = async_channel::bounded(QUEUE);
        for (to, address) in options.peers.iter().filter(|(to, _)| **to != options.me) {
            let (queue, queued) = async_channel::bounded(QUEUE);
            self.links.insert(*to, queue);
            tasks.spawn(link::run_outgoing(identity.clone(), *to, *address, queued)).detach();
        }
        // Twice the number of members, plus room for connections that are about to close.
        let max_connections = 3 * options.peers.len() + 16;
        let acceptor =
            tasks.spawn(link::accept_incoming(identity, listener, max_connections, message_sender));
        let (done, written) = async_channel::bounded(1);
        let mut out = Vec::new();
        let mut next_tick_at = Instant::now();
        let error = loop {
            let next_message =
                async { messages.recv().await.ok().map(|(from, message)| LoopEvent::Message(from, message)) };
            let next_command = async {
                match received_commands.recv().await {
                    Ok(command) => Some(LoopEvent::Command(command)),
                    Err(_) => None,
                }
            };
            let next_write = async { written.recv().await.ok().map(LoopEvent::Written) };
            let next_tick = async {
                Timer::at(next_tick_at).await;
                Some(LoopEvent::Tick)
            };
            // Ticks have priority, so that a flood of messages cannot delay a voter's timers.
            let Some(event) = next_tick.or(next_write).or(next_command).or(next_message).await else {
                break None;
            };
            let now = self.clock.now();
            match event {
                LoopEvent::Message(from, message) => {
                    self.node.handle(now, Input::Received(from, message), &mut out)
                }
                LoopEvent::Written(Ok(())) => self.node.handle(now, Input::Written, &mut out),
                // A voter must not answer for what was not written: it stops, and may be started again with
                // its disk.
                LoopEvent::Written(Err(e)) => break Some(e.into()),
                LoopEvent::Command(Command::Leave) => self.node.leave(now, &mut out),
                LoopEvent::Command(Command::Announce(bytes, reply)) => {
                    // The caller may have gone away.
                    let _ = reply.try_send(self.node.announce(now, bytes, &mut out));
                }
                LoopEvent::Tick => {
                    next_tick_at = Instant::now() + self.tick_interval;
                    self.node.handle(now, Input::Tick, &mut out);
                }
            }
            let mut error = None;
            for output in out.drain(..) {
                match output {
                    Output::Send(to, message) => {
                        if let Some(link) = self.links.get(&to) {
                            let _ = link.try_send(message); // dropped if the queue is full
                        }
                    }
                    Output::Write(write) => {
                        let Some(disk) = self.disk.clone() else { continue };
                        let done = done.clone();
                        tasks
                            .spawn(async move {
                                let result = smol::unblock(move || disk.write(&write)).await;
                                let _ = done.send(result).await; // the member may have stopped
                            })
                            .detach();
                    }
                    Output::Event(entry, event) => self.event_listener.on_event(now, entry, &event),
                    Output::IncarnationLost(0) => {}
                    Output::IncarnationLost(lost) => {
                        tracing::warn!(
                            words = lost,
                            "this member's incarnation has ended; its pending announcements are lost"
                        )
                    }
                    Output::UnknownRecordVersion(at) => error = Some(MemberError::UnknownRecordVersion(at)),
                }
            }
            self.publish(now);
            if error.is_some() {
                break error;
            }
        };
        self.lease_snapshot.end();
        drop(acceptor);
        error
    }

    /// Publishes the lease, and the view if it has changed.
    fn publish(&mut self, now: Time) {
        match self.node.live_incarnation(now) {
            Some(incarnation) => self.lease_snapshot.set(incarnation, self.node.lease_end()),
            None => self.lease_snapshot.end(),
        }
        let badgerwind_register::View { is_leader, leader, .. } = self.node.view();
        let applied = self.node.ledger().applied();
        if std::mem::replace(&mut self.published, (applied, is_leader, leader))
            != (applied, is_leader, leader)
        {
            let members = self.node.ledger().members().iter();
            let live_members = members
                .filter(|(_, state)| !state.ended)
                .map(|(member, state)| (*member, state.incarnation))
                .collect();
            self.view.store(Arc::new(View { applied, is_leader, leader, live_members }));
        }
    }
}
