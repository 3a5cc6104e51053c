//! A hollow group of register members: real nodes and the real codec over a simulated network, with voters'
//! disks whose writes take time.

use crate::rows::member_costs::{PeakTraffic, ProcessorTimes, SAMPLE_INTERVAL};
use crate::rows::network::{Conditions, Event, Micros, Network, MILLISECOND};
use badgerwind_register::{
    Event as LogEvent, Incarnation, Index, Input, Member, MemoryDisk, Message, Node, Output, Settings, Setup,
    StateMachine, Write,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// Maximum duration of a disk write at a voter.
const MAX_WRITE_TIME: Micros = 4 * MILLISECOND;
/// Payload of a record, in bytes.
const RECORD_BYTES: usize = 32;
/// Maximum number of voters in a group.
const MAX_VOTERS: usize = 5;

/// The records that members announce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordLoad {
    /// None: members only renew their leases.
    None,
    /// One record per interval from each member.
    PerMember(Micros),
    /// One record per interval from the whole group; the members take turns.
    PerGroup(Micros),
}

/// A defect injected by tests to show that a check detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Each renewal of a lease is a record in the log, which every member follows.
    RenewalsInLog,
    /// Each message is sent to all other members instead of its receiver alone.
    BroadcastMessages,
}

/// Fills the additional messages of [`Mutant::BroadcastMessages`]. A message of such bytes cannot be decoded;
/// the receiver counts and discards it.
const INVALID_BYTE: u8 = 0xff;

/// Parameters of a group.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of members, including the voters.
    pub members: usize,
    /// Delays and loss of the network.
    pub conditions: Conditions,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The records that members announce.
    pub record_load: RecordLoad,
    /// Log entries that a voter retains for members that are behind.
    pub retained_entries: u64,
    /// The injected defect, if any.
    pub mutant: Option<Mutant>,
}

/// A state machine that only counts the committed records.
#[derive(Debug, Default)]
struct RecordCounter(u64);

impl StateMachine for RecordCounter {
    fn announced(&mut self, _: Index, _: (Member, Incarnation), _: &[u8]) {
        self.0 += 1;
    }
    fn ended(&mut self, _: Index, _: (Member, Incarnation)) {}
    fn save(&self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
    fn load(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(|bytes| RecordCounter(u64::from_be_bytes(bytes)))
    }
}

/// Timer of the next tick.
const TICK_TIMER: u32 = 0;
/// Timer of the next record of a member under [`RecordLoad::PerMember`].
const RECORD_TIMER: u32 = 1;
/// Timer of the end of a disk write.
const WRITE_TIMER: u32 = 2;

/// A member with its simulated disk.
struct Host {
    /// `None` while the member is not running.
    node: Option<Node<RecordCounter>>,
    disk: MemoryDisk,
    /// The write in progress.
    pending_write: Option<Write>,
}

/// A hollow group of register members.
pub struct Group {
    plan: Plan,
    settings: Settings,
    rng: StdRng,
    network: Network,
    hosts: Vec<Host>,
    next_writer: usize,
    next_record_at: Micros,
    ended_incarnations: BTreeSet<Incarnation>,
    peaks: PeakTraffic,
    /// Processor time of the tracked members.
    pub processor_times: ProcessorTimes,
}

/// The voters: an odd number of members, at most [`MAX_VOTERS`]. They are the first members, which the
/// network assigns to different zones and regions.
fn voters(members: usize) -> Vec<Member> {
    let max = members.min(MAX_VOTERS);
    let odd = max - (max + 1) % 2;
    (0..odd).map(|n| n as Member).collect()
}

impl Group {
    /// Creates a group in which no member is running yet.
    pub fn new(plan: Plan) -> Group {
        let settings = Settings {
            retained_entries: plan.retained_entries,
            ..Settings::for_voters(voters(plan.members))
        };
        let conditions = Conditions { max_drift_ppm: u64::from(settings.drift_ppm), ..plan.conditions };
        let network = Network::new(conditions, plan.members, plan.seed);
        let host = |_| Host { node: None, disk: MemoryDisk::default(), pending_write: None };
        Group {
            settings,
            rng: StdRng::seed_from_u64(plan.seed ^ 0x5ca1e),
            peaks: PeakTraffic::new(&network),
            network,
            hosts: (0..plan.members).map(host).collect(),
            next_writer: 0,
            next_record_at: 0,
            ended_incarnations: BTreeSet::new(),
            processor_times: ProcessorTimes::new(plan.members),
            plan,
        }
    }

    /// All members, running or not.
    pub fn all_members(&self) -> Vec<usize> {
        (0..self.plan.members).collect()
    }

    /// The members that are voters.
    pub fn voters(&self) -> Vec<usize> {
        self.settings.voters.iter().map(|voter| usize::from(*voter)).collect()
    }

    /// The members that are not voters.
    pub fn followers(&self) -> Vec<usize> {
        let voters = self.voters();
        (0..self.plan.members).filter(|member| !voters.contains(member)).collect()
    }

    /// The network of the group.
    pub fn network_mut(&mut self) -> &mut Network {
        &mut self.network
    }

    /// Starts members; voters read the state on their disks.
    pub fn start(&mut self, members: &[usize]) {
        members.iter().for_each(|member| self.start_member(*member));
    }

    fn start_member(&mut self, member: usize) {
        let number = member as Member;
        let now = self.network.local_time(member);
        let zone = self.network.location(member).zone as u8;
        let setup = Setup { me: number, zone, seed: self.rng.random(), settings: self.settings.clone() };
        let host = &mut self.hosts[member];
        let node = if self.settings.voters.contains(&number) {
            // Reading does not fail, because a simulated disk holds only what a voter has written.
            let Ok(storage) = host.disk.read(&self.settings) else { return };
            Node::voter(now, setup, storage, RecordCounter::default())
        } else {
            Node::follower(setup, RecordCounter::default())
        };
        host.node = node.ok();
        host.pending_write = None;
        self.network.start(member);
        let first_tick = self.rng.random_range(0..self.tick_interval());
        self.network.set_timer(member, TICK_TIMER, now + first_tick);
        if let Some(interval) = self.record_interval_per_member() {
            let first_record = self.rng.random_range(0..interval);
            self.network.set_timer(member, RECORD_TIMER, now + first_record);
        }
    }

    /// Interval between inputs of time: half of the settings' tick, as in `badgerwind-fleet`.
    fn tick_interval(&self) -> Micros {
        self.settings.tick / 2
    }

    /// Interval between the records of each member; `None` if members have no timer for them.
    fn record_interval_per_member(&self) -> Option<Micros> {
        match (self.plan.mutant, self.plan.record_load) {
            (Some(Mutant::RenewalsInLog), _) => Some(self.settings.heartbeat_interval),
            (_, RecordLoad::PerMember(interval)) => Some(interval),
            _ => None,
        }
    }

    /// Stops members without notice. Voters keep their disks, without a write in progress.
    pub fn kill(&mut self, members: &[usize]) {
        for &member in members {
            self.hosts[member].node = None;
            self.hosts[member].pending_write = None;
            self.network.stop(member);
        }
    }

    /// Resets the traffic counts and the peaks.
    pub fn reset_counts(&mut self) {
        self.network.reset_counts();
        self.peaks = PeakTraffic::new(&self.network);
    }

    /// Peak traffic of each member since the last reset of the counts.
    pub fn peaks(&self) -> &PeakTraffic {
        &self.peaks
    }

    /// Advances the simulated time by a duration.
    pub fn run(&mut self, duration: Micros) {
        let until = self.network.now() + duration;
        while self.network.now() < until {
            let next_sample_at = (self.network.now() / SAMPLE_INTERVAL + 1) * SAMPLE_INTERVAL;
            self.run_until(next_sample_at.min(until));
            if self.network.now() == next_sample_at {
                self.peaks.sample(&self.network);
            }
        }
    }

    fn run_until(&mut self, until: Micros) {
        while let RecordLoad::PerGroup(interval) = self.plan.record_load {
            if self.next_record_at > until {
                break;
            }
            self.process_events(self.next_record_at);
            self.next_record_at += interval;
            self.next_writer = (self.next_writer + 1) % self.plan.members;
            self.announce_record(self.next_writer);
        }
        self.process_events(until);
    }

    fn process_events(&mut self, until: Micros) {
        while let Some(event) = self.network.next_event(until) {
            match event {
                Event::Datagram { from, to, bytes } => self.on_datagram(from, to, &bytes),
                Event::Timer { member, id } => self.on_timer(member, id),
            }
        }
    }

    /// The first member that considers itself the leader.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |host: &Host| host.node.as_ref().is_some_and(|node| node.view().is_leader);
        self.hosts.iter().position(is_leader)
    }

    /// Number of members that currently hold a lease.
    pub fn lease_holder_count(&self) -> usize {
        let holds_lease = |member: &usize| {
            let now = self.network.local_time(*member);
            self.hosts[*member].node.as_ref().is_some_and(|node| node.live_incarnation(now).is_some())
        };
        (0..self.plan.members).filter(holds_lease).count()
    }

    /// Number of running members.
    pub fn running_count(&self) -> usize {
        self.hosts.iter().filter(|host| host.node.is_some()).count()
    }

    /// Number of incarnations whose end any member has applied.
    pub fn ended_incarnation_count(&self) -> usize {
        self.ended_incarnations.len()
    }

    /// Stops a member and returns its node, whose heap can then be measured.
    pub fn take_node(&mut self, member: usize) -> Option<impl Sized> {
        self.network.stop(member);
        self.hosts[member].node.take()
    }

    fn on_timer(&mut self, member: usize, id: u32) {
        let now = self.network.local_time(member);
        match id {
            TICK_TIMER => {
                self.network.set_timer(member, TICK_TIMER, now + self.tick_interval());
                self.with_node(member, |node, now, out| node.handle(now, Input::Tick, out));
            }
            RECORD_TIMER => {
                if let Some(interval) = self.record_interval_per_member() {
                    self.network.set_timer(member, RECORD_TIMER, now + interval);
                }
                self.announce_record(member);
            }
            _ => {
                let host = &mut self.hosts[member];
                if let Some(write) = host.pending_write.take() {
                    host.disk.write(&write);
                }
                self.with_node(member, |node, now, out| node.handle(now, Input::Written, out));
            }
        }
    }

    fn announce_record(&mut self, member: usize) {
        self.with_node(member, |node, now, out| {
            // A member without a lease cannot announce; its record is skipped.
            let _ = node.announce(now, vec![7; RECORD_BYTES], out);
        });
    }

    fn on_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.with_node(to, |node, now, out| {
            if let Some(message) = Message::decode(bytes) {
                node.handle(now, Input::Received(from as Member, message), out);
            }
        });
    }

    /// Calls a function with a member's node, if it is running, and performs the outputs. The processor time
    /// includes the encoding and decoding of messages.
    fn with_node(
        &mut self,
        member: usize,
        call: impl FnOnce(&mut Node<RecordCounter>, Micros, &mut Vec<Output>),
    ) {
        let now = self.network.local_time(member);
        let Some(node) = &mut self.hosts[member].node else { return };
        let (mut out, mut messages, mut ended, mut requested_write) =
            (Vec::new(), Vec::new(), Vec::new(), None);
        let meter = self.processor_times.start(member);
        call(node, now, &mut out);
        for output in out {
            match output {
                Output::Send(to, message) => {
                    messages.push((usize::from(to), message_kind(&message), message.encode()));
                }
                Output::Write(write) => requested_write = Some(write),
                Output::Event(_, LogEvent::Ended(_, incarnation)) => ended.push(incarnation),
                Output::Event(..) | Output::IncarnationLost(_) | Output::UnknownRecordVersion(_) => {}
            }
        }
        self.processor_times.stop(member, meter);
        self.ended_incarnations.extend(ended);
        if let Some(write) = requested_write {
            let write_time = self.rng.random_range(0..=MAX_WRITE_TIME);
            self.hosts[member].pending_write = Some(write);
            self.network.set_timer(member, WRITE_TIMER, now + write_time);
        }
        messages.into_iter().for_each(|(to, kind, bytes)| self.send(member, to, kind, bytes));
    }

    fn send(&mut self, from: usize, to: usize, kind: &'static str, bytes: Vec<u8>) {
        if self.plan.mutant == Some(Mutant::BroadcastMessages) {
            let others = (0..self.plan.members).filter(|other| *other != from && *other != to);
            others.for_each(|other| self.network.send(from, other, kind, vec![INVALID_BYTE; bytes.len()]));
        }
        if to < self.hosts.len() {
            self.network.send(from, to, kind, bytes);
        }
    }
}

/// Kind under which a message's traffic is counted.
fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::Raft(_) => "raft",
        Message::Renew { .. } => "renew",
        Message::Propose(_) => "offer",
        Message::EntriesAfter(_) => "since",
        Message::Renewed { .. } => "renewed",
        Message::NotLeader(_) => "elsewhere",
        Message::Entries { .. } => "entries",
        Message::Snapshot { .. } => "all",
    }
}
