//! A hollow group of the register: real nodes and the real codec, disks that take time, simulated ways between sites.

use crate::rows::load::{PeakTraffic, ProcessorTimes, SAMPLE_INTERVAL};
use crate::rows::network::{Conditions, Event, Micros, Network, MILLISECOND};
use badgerwind_register::{
    Event as LogEvent, Incarnation, Index, Input, Member, MemoryDisk, Message, Node, Output, Settings, Setup,
    StateMachine, Write,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// Longest time that a voter's disk takes for a write.
const DISK: Micros = 4 * MILLISECOND;
/// Bytes of a record's own content.
const RECORD_BYTES: usize = 32;
/// Most voters of a group.
const VOTERS: usize = 5;

/// What members write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Records {
    /// Nothing: members only renew their leases.
    None,
    /// Each member one record in this time.
    EachMember(Micros),
    /// Members in turn, one record in this time over the whole group.
    WholeGroup(Micros),
}

/// A defect put in on purpose, to show that a check finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Each renewal of a lease is a record in the log, which every member follows.
    RenewalsAreRecords,
    /// Each member says everything to every other member instead of the one that it is for.
    EverythingToAll,
}

/// Bytes that are no message: they are received and passed over.
const UNREADABLE: u8 = 0xff;

/// What a group is like.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Members, voters among them.
    pub members: usize,
    /// What messages meet between them.
    pub conditions: Conditions,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// What they write.
    pub records: Records,
    /// Entries that voters keep for members that are behind.
    pub entries_kept: u64,
    /// A defect.
    pub mutant: Option<Mutant>,
}

/// A part that only counts the records it is fed.
#[derive(Debug, Default)]
struct Counting(u64);

impl StateMachine for Counting {
    fn announced(&mut self, _: Index, _: (Member, Incarnation), _: &[u8]) {
        self.0 += 1;
    }
    fn ended(&mut self, _: Index, _: (Member, Incarnation)) {}
    fn save(&self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
    fn load(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(|bytes| Counting(u64::from_be_bytes(bytes)))
    }
}

/// Names of a member's timers.
const TICK: u32 = 0;
const RECORD: u32 = 1;
const WRITTEN: u32 = 2;

struct Host {
    node: Option<Node<Counting>>,
    disk: MemoryDisk,
    writing: Option<Write>,
}

/// A hollow group.
pub struct Group {
    plan: Plan,
    terms: Settings,
    rng: StdRng,
    network: Network,
    hosts: Vec<Host>,
    next_writer: usize,
    next_record: Micros,
    incarnations_ended: BTreeSet<Incarnation>,
    peaks: PeakTraffic,
    /// Processor time of members that are watched.
    pub processor: ProcessorTimes,
}

/// Voters are the first members: the network deals members out to different zones and regions in turn.
fn voters(members: usize) -> Vec<Member> {
    let most = members.min(VOTERS);
    let odd = most - (most + 1) % 2;
    (0..odd).map(|n| n as Member).collect()
}

impl Group {
    /// A group of which nobody runs yet.
    pub fn new(plan: Plan) -> Group {
        let terms =
            Settings { retained_entries: plan.entries_kept, ..Settings::for_voters(voters(plan.members)) };
        let conditions = Conditions { max_drift_ppm: u64::from(terms.drift_ppm), ..plan.conditions };
        let network = Network::new(conditions, plan.members, plan.seed);
        let host = |_| Host { node: None, disk: MemoryDisk::default(), writing: None };
        Group {
            terms,
            rng: StdRng::seed_from_u64(plan.seed ^ 0x5ca1e),
            peaks: PeakTraffic::new(&network),
            network,
            hosts: (0..plan.members).map(host).collect(),
            next_writer: 0,
            next_record: 0,
            incarnations_ended: BTreeSet::new(),
            processor: ProcessorTimes::new(plan.members),
            plan,
        }
    }

    /// All members.
    pub fn all(&self) -> Vec<usize> {
        (0..self.plan.members).collect()
    }

    /// Those that vote.
    pub fn voters(&self) -> Vec<usize> {
        self.terms.voters.iter().map(|voter| usize::from(*voter)).collect()
    }

    /// Those that do not.
    pub fn followers(&self) -> Vec<usize> {
        let voters = self.voters();
        (0..self.plan.members).filter(|member| !voters.contains(member)).collect()
    }

    /// The network between them.
    pub fn network(&mut self) -> &mut Network {
        &mut self.network
    }

    /// Starts members, voters with what is on their disks.
    pub fn start(&mut self, members: &[usize]) {
        members.iter().for_each(|member| self.start_one(*member));
    }

    fn start_one(&mut self, member: usize) {
        let number = member as Member;
        let now = self.network.local_time(member);
        let zone = self.network.location(member).zone as u8;
        let setup = Setup { me: number, zone, seed: self.rng.random(), settings: self.terms.clone() };
        let host = &mut self.hosts[member];
        let node = if self.terms.voters.contains(&number) {
            // What a simulated disk holds was written by a voter: it can be read.
            let Ok(storage) = host.disk.read(&self.terms) else { return };
            Node::voter(now, setup, storage, Counting::default())
        } else {
            Node::follower(setup, Counting::default())
        };
        host.node = node.ok();
        host.writing = None;
        self.network.start(member);
        let first_tick = self.rng.random_range(0..self.tick());
        self.network.set_timer(member, TICK, now + first_tick);
        if let Some(every) = self.each_member_writes() {
            let first_record = self.rng.random_range(0..every);
            self.network.set_timer(member, RECORD, now + first_record);
        }
    }

    /// A process looks at its affairs twice in a tick of the terms, as `badgerwind-fleet` does.
    fn tick(&self) -> Micros {
        self.terms.tick / 2
    }

    fn each_member_writes(&self) -> Option<Micros> {
        match (self.plan.mutant, self.plan.records) {
            (Some(Mutant::RenewalsAreRecords), _) => Some(self.terms.heartbeat_interval),
            (_, Records::EachMember(every)) => Some(every),
            _ => None,
        }
    }

    /// Kills members; voters keep what is on their disks.
    pub fn kill(&mut self, members: &[usize]) {
        for &member in members {
            self.hosts[member].node = None;
            self.hosts[member].writing = None;
            self.network.stop(member);
        }
    }

    /// Begins to count traffic and its busiest second anew.
    pub fn begin_counts(&mut self) {
        self.network.reset_counts();
        self.peaks = PeakTraffic::new(&self.network);
    }

    /// The busiest second of each member since the counts began.
    pub fn peaks(&self) -> &PeakTraffic {
        &self.peaks
    }

    /// Runs on for so long.
    pub fn run(&mut self, span: Micros) {
        let until = self.network.now() + span;
        while self.network.now() < until {
            let slice = (self.network.now() / SAMPLE_INTERVAL + 1) * SAMPLE_INTERVAL;
            self.run_until(slice.min(until));
            if self.network.now() == slice {
                self.peaks.sample(&self.network);
            }
        }
    }

    fn run_until(&mut self, until: Micros) {
        while let Records::WholeGroup(every) = self.plan.records {
            if self.next_record > until {
                break;
            }
            self.take_events(self.next_record);
            self.next_record += every;
            self.next_writer = (self.next_writer + 1) % self.plan.members;
            self.write_record(self.next_writer);
        }
        self.take_events(until);
    }

    fn take_events(&mut self, until: Micros) {
        while let Some(event) = self.network.next_event(until) {
            match event {
                Event::Datagram { from, to, bytes } => self.arrive(from, to, &bytes),
                Event::Timer { member, id } => self.timer(member, id),
            }
        }
    }

    /// Who leads, by its own view.
    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.node.as_ref().is_some_and(|node| node.view().is_leader);
        self.hosts.iter().position(leads)
    }

    /// How many hold a lease at this moment.
    pub fn leased(&self) -> usize {
        let holds = |member: &usize| {
            let now = self.network.local_time(*member);
            self.hosts[*member].node.as_ref().is_some_and(|node| node.live_incarnation(now).is_some())
        };
        (0..self.plan.members).filter(holds).count()
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.hosts.iter().filter(|host| host.node.is_some()).count()
    }

    /// Incarnations whose end any member has applied.
    pub fn incarnations_ended(&self) -> usize {
        self.incarnations_ended.len()
    }

    /// Takes a member's node out, to be weighed.
    pub fn take(&mut self, member: usize) -> Option<impl Sized> {
        self.network.stop(member);
        self.hosts[member].node.take()
    }

    fn timer(&mut self, member: usize, name: u32) {
        let now = self.network.local_time(member);
        match name {
            TICK => {
                self.network.set_timer(member, TICK, now + self.tick());
                self.act(member, |node, now, out| node.handle(now, Input::Tick, out));
            }
            RECORD => {
                if let Some(every) = self.each_member_writes() {
                    self.network.set_timer(member, RECORD, now + every);
                }
                self.write_record(member);
            }
            _ => {
                let host = &mut self.hosts[member];
                if let Some(write) = host.writing.take() {
                    host.disk.write(&write);
                }
                self.act(member, |node, now, out| node.handle(now, Input::Written, out));
            }
        }
    }

    fn write_record(&mut self, member: usize) {
        self.act(member, |node, now, out| {
            // Refused without a lease: the next one has its chance.
            let _ = node.announce(now, vec![7; RECORD_BYTES], out);
        });
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.act(to, |node, now, out| {
            if let Some(message) = Message::decode(bytes) {
                node.handle(now, Input::Received(from as Member, message), out);
            }
        });
    }

    /// Lets a member act, with the codec inside what is metered.
    fn act(&mut self, member: usize, act: impl FnOnce(&mut Node<Counting>, Micros, &mut Vec<Output>)) {
        let now = self.network.local_time(member);
        let Some(node) = &mut self.hosts[member].node else { return };
        let (mut out, mut sends, mut ended, mut writes) = (Vec::new(), Vec::new(), Vec::new(), None);
        let meter = self.processor.start(member);
        act(node, now, &mut out);
        for output in out {
            match output {
                Output::Send(to, message) => sends.push((usize::from(to), kind(&message), message.encode())),
                Output::Write(write) => writes = Some(write),
                Output::Event(_, LogEvent::Ended(_, incarnation)) => ended.push(incarnation),
                Output::Event(..) | Output::IncarnationLost(_) | Output::UnknownRecordVersion(_) => {}
            }
        }
        self.processor.stop(member, meter);
        self.incarnations_ended.extend(ended);
        if let Some(write) = writes {
            let took = self.rng.random_range(0..=DISK);
            self.hosts[member].writing = Some(write);
            self.network.set_timer(member, WRITTEN, now + took);
        }
        sends.into_iter().for_each(|(to, kind, bytes)| self.send(member, to, kind, bytes));
    }

    fn send(&mut self, from: usize, to: usize, kind: &'static str, bytes: Vec<u8>) {
        if self.plan.mutant == Some(Mutant::EverythingToAll) {
            let others = (0..self.plan.members).filter(|other| *other != from && *other != to);
            others.for_each(|other| self.network.send(from, other, kind, vec![UNREADABLE; bytes.len()]));
        }
        if to < self.hosts.len() {
            self.network.send(from, to, kind, bytes);
        }
    }
}

/// A message's kind, for counts.
fn kind(message: &Message) -> &'static str {
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
