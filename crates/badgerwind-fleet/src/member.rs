//! A member of the register as part of a process: one thread owns the node and its clock; links, disk and whoever acts meet it in
//! bounded queues and in what it publishes.

use crate::cell::LifeCell;
use crate::disk::{Disk, DiskError};
use crate::link::{self, Seal};
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

/// Messages that wait for one member's link, or for the node; of more, the new ones are lost.
const QUEUE: usize = 1024;

/// What a member is started with.
#[derive(Clone)]
pub struct Options {
    /// Its number.
    pub me: Member,
    /// Its zone.
    pub zone: u8,
    /// On what terms.
    pub terms: Settings,
    /// Where it hears the others.
    pub listen: SocketAddr,
    /// Where the others hear it and each other.
    pub peers: BTreeMap<Member, SocketAddr>,
    /// Proves members to each other.
    pub key: Key,
    /// A voter's disk.
    pub disk: Option<PathBuf>,
    /// Millionths by which its clock runs fast; for tests of the bound on drift.
    pub clock_fast: i64,
}

/// Why a member cannot run, or has ended.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The terms do not hold together.
    #[error(transparent)]
    Terms(#[from] SettingsError),
    /// The disk cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// A voter needs a disk, and only a voter.
    #[error("member {0} is a voter: give it a file for what it must not forget")]
    NoDisk(Member),
    /// The key cannot prove members.
    #[error("the peers' key must be a shared one (whsec_)")]
    Key,
    /// No socket.
    #[error("cannot hear the others at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// No thread, no chance.
    #[error("cannot start: {0}")]
    Start(String),
    /// An entry of the log is of a newer form.
    #[error(
        "entry {0} of the register's log is of a newer form: this program must be replaced by a newer one"
    )]
    TooNew(Index),
}

/// What whoever runs a member is told, on the member's own thread.
pub trait Watch<P>: Send + 'static {
    /// An entry brought something about; `at` is the member's own time.
    fn event(&mut self, at: Time, entry: Index, event: &Event);
}

/// What the register's thread publishes: exchanged whole, read without a lock.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The last entry taken in.
    pub applied: Index,
    /// It leads.
    pub leads: bool,
    /// Whom it takes for leader.
    pub leader: Option<Member>,
    /// Living members and their lives.
    pub living: BTreeMap<Member, Incarnation>,
}

enum Ask {
    Announce(Vec<u8>, Sender<Result<(Incarnation, u64), AnnounceError>>),
    Leave,
}

/// A running member. Reading from it takes no lock and asks nobody.
#[derive(Clone)]
pub struct RegisterMember {
    cell: Arc<LifeCell>,
    view: Arc<ArcSwap<View>>,
    asks: Sender<Ask>,
    clock: Clock,
}

/// A member's own clock: it goes on while the process is stopped.
#[derive(Clone, Copy, Debug)]
struct Clock {
    start: Instant,
    fast: i64,
}

impl Clock {
    fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros() as i128;
        (micros + micros * i128::from(self.fast) / 1_000_000) as Time
    }
}

/// Makes the disk with which a voter of a new register begins.
pub fn begin(path: &Path, terms: &Settings) -> Result<(), DiskError> {
    Disk::create(path, &Node::<Nothing>::initial_storage(terms)).map(drop)
}

/// A register on which nothing is built.
#[derive(Clone, Debug, Default)]
pub struct Nothing;

impl StateMachine for Nothing {
    fn announced(&mut self, _: Index, _: (Member, Incarnation), _: &[u8]) {}
    fn ended(&mut self, _: Index, _: (Member, Incarnation)) {}
    fn save(&self) -> Vec<u8> {
        Vec::new()
    }
    fn load(_: &[u8]) -> Option<Self> {
        Some(Nothing)
    }
}

impl RegisterMember {
    /// Starts a member on a thread of its own; the second value tells when that has ended, and why.
    pub fn start<P: StateMachine + Send + 'static>(
        options: Options,
        part: P,
        watch: impl Watch<P>,
    ) -> Result<(RegisterMember, Receiver<MemberError>), MemberError> {
        options.terms.validate()?;
        let clock = Clock { start: Instant::now(), fast: options.clock_fast };
        let mut seed = [0u8; 8];
        getrandom::fill(&mut seed).map_err(|e| MemberError::Start(e.to_string()))?;
        let Options { me, zone, ref terms, .. } = options;
        let setup = Setup { me, zone, seed: u64::from_be_bytes(seed), settings: terms.clone() };
        let (node, disk) = match &options.disk {
            Some(path) => {
                let (disk, storage) = Disk::open(path)?;
                (Node::voter(clock.now(), setup, storage, part)?, Some(Arc::new(disk)))
            }
            None if terms.voters.contains(&me) => return Err(MemberError::NoDisk(me)),
            None => (Node::follower(setup, part)?, None),
        };
        let seal = Seal::new(me, &options.key).ok_or(MemberError::Key)?;
        let listener = smol::block_on(TcpListener::bind(options.listen));
        let listener = listener.map_err(|e| MemberError::Listen(options.listen, e))?;
        let (asks, asked) = async_channel::bounded(QUEUE);
        let (end, ended) = async_channel::bounded(1);
        let member = RegisterMember { cell: Arc::default(), view: Arc::default(), asks, clock };
        let run = Run {
            node,
            disk,
            clock,
            cell: member.cell.clone(),
            view: member.view.clone(),
            links: BTreeMap::new(),
            watch,
            tick: Duration::from_micros(options.terms.tick / 2).max(Duration::from_millis(1)),
            shown: (0, false, None),
        };
        let builder = std::thread::Builder::new().name("register".into());
        let spawned = builder.spawn(move || {
            let tasks = Rc::new(LocalExecutor::new());
            let why = smol::block_on(tasks.run(run.run(tasks.clone(), options, seal, listener, asked)));
            if let Some(why) = why {
                tracing::error!("the register's member has ended: {why}");
                let _ = end.try_send(why); // whoever started it may have gone
            }
        });
        spawned.map_err(|e| MemberError::Start(e.to_string()))?;
        Ok((member, ended))
    }

    /// Its own clock, in microseconds since it started.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The incarnation in which an effect may be done at this moment. The number goes with the effect.
    pub fn alive(&self) -> Option<Incarnation> {
        self.cell.alive(self.clock.now())
    }

    /// The same with the moment at which it was looked at.
    pub fn alive_at(&self) -> (Option<Incarnation>, Time) {
        let now = self.clock.now();
        (self.cell.alive(now), now)
    }

    /// What the register came to lately.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Announces something to the part: under way from here, if it is taken. Waits for the member's thread alone.
    pub async fn announce(&self, bytes: Vec<u8>) -> Result<(Incarnation, u64), AnnounceError> {
        let (tell, told) = async_channel::bounded(1);
        if self.asks.send(Ask::Announce(bytes, tell)).await.is_err() {
            return Err(AnnounceError::NotLive);
        }
        told.recv().await.unwrap_or(Err(AnnounceError::NotLive))
    }

    /// This process goes: its incarnation has ended by its own record, and from now on it does nothing in it.
    pub fn leave(&self) {
        self.cell.end();
        let _ = self.asks.try_send(Ask::Leave); // full: its lease will run out
    }
}

struct Run<P, W> {
    node: Node<P>,
    disk: Option<Arc<Disk>>,
    clock: Clock,
    cell: Arc<LifeCell>,
    view: Arc<ArcSwap<View>>,
    links: BTreeMap<Member, Sender<Message>>,
    watch: W,
    tick: Duration,
    shown: (Index, bool, Option<Member>),
}

enum Next {
    Heard(Member, Message),
    Asked(Ask),
    Written(Result<(), DiskError>),
    Due,
}

impl<P: StateMachine + Send + 'static, W: Watch<P>> Run<P, W> {
    async fn run(
        mut self,
        tasks: Rc<LocalExecutor<'_>>,
        options: Options,
        seal: Seal,
        listener: TcpListener,
        asked: Receiver<Ask>,
    ) -> Option<MemberError> {
        let (hear, heard) = async_channel::bounded(QUEUE);
        for (to, at) in options.peers.iter().filter(|(to, _)| **to != options.me) {
            let (put, take) = async_channel::bounded(QUEUE);
            self.links.insert(*to, put);
            tasks.spawn(link::lead(seal.clone(), *to, *at, take)).detach();
        }
        // Both ways of each pair, and those that are on their way out.
        let most = 3 * options.peers.len() + 16;
        let listens = tasks.spawn(link::listen(seal, listener, most, hear));
        let (done, written) = async_channel::bounded(1);
        let mut out = Vec::new();
        let mut due = Instant::now();
        let why = loop {
            let hears = async { heard.recv().await.ok().map(|(m, message)| Next::Heard(m, message)) };
            let asks = async {
                match asked.recv().await {
                    Ok(ask) => Some(Next::Asked(ask)),
                    Err(_) => None,
                }
            };
            let writes = async { written.recv().await.ok().map(Next::Written) };
            let ticks = async {
                Timer::at(due).await;
                Some(Next::Due)
            };
            // Time goes before all else, so that no flood of messages keeps a voter from its own affairs.
            let Some(next) = ticks.or(writes).or(asks).or(hears).await else { break None };
            let now = self.clock.now();
            match next {
                Next::Heard(from, message) => self.node.handle(now, Input::Received(from, message), &mut out),
                Next::Written(Ok(())) => self.node.handle(now, Input::Written, &mut out),
                // What was not written must not be answered for: the voter ends, and may start again with its disk.
                Next::Written(Err(e)) => break Some(e.into()),
                Next::Asked(Ask::Leave) => self.node.leave(now, &mut out),
                Next::Asked(Ask::Announce(bytes, tell)) => {
                    let _ = tell.try_send(self.node.announce(now, bytes, &mut out));
                    // whoever asked may have gone
                }
                Next::Due => {
                    due = Instant::now() + self.tick;
                    self.node.handle(now, Input::Tick, &mut out);
                }
            }
            let mut ended = None;
            for output in out.drain(..) {
                match output {
                    Output::Send(to, message) => {
                        if let Some(link) = self.links.get(&to) {
                            let _ = link.try_send(message); // lost, as messages are
                        }
                    }
                    Output::Write(write) => {
                        let Some(disk) = self.disk.clone() else { continue };
                        let done = done.clone();
                        tasks
                            .spawn(async move {
                                let result = smol::unblock(move || disk.write(&write)).await;
                                let _ = done.send(result).await; // the member has ended
                            })
                            .detach();
                    }
                    Output::Event(entry, event) => self.watch.event(now, entry, &event),
                    Output::IncarnationLost(0) => {}
                    Output::IncarnationLost(words) => {
                        tracing::warn!(
                            words,
                            "this member's incarnation has ended; announcements did not stand"
                        )
                    }
                    Output::UnknownRecordVersion(at) => ended = Some(MemberError::TooNew(at)),
                }
            }
            self.show(now);
            if ended.is_some() {
                break ended;
            }
        };
        self.cell.end();
        drop(listens);
        why
    }

    fn show(&mut self, now: Time) {
        match self.node.live_incarnation(now) {
            Some(incarnation) => self.cell.set(incarnation, self.node.lease_end()),
            None => self.cell.end(),
        }
        let badgerwind_register::View { is_leader: leads, leader, .. } = self.node.view();
        let applied = self.node.ledger().applied();
        if std::mem::replace(&mut self.shown, (applied, leads, leader)) != (applied, leads, leader) {
            let members = self.node.ledger().members().iter();
            let living = members.filter(|(_, s)| !s.ended).map(|(m, s)| (*m, s.incarnation)).collect();
            self.view.store(Arc::new(View { applied, leads, leader, living }));
        }
    }
}
