//! A discrete-event simulation of a network for hollow members: locations in zones and regions, delays,
//! losses, partitions, members that stop, and clocks that drift. Simulated time is in microseconds; the same
//! seed gives the same order of events. Datagrams are counted by message kind, in messages and encoded bytes,
//! at the sender and at the receiver.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A point in simulated time or a duration, in microseconds.
pub type Micros = u64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Number of regions of the planned fleet.
pub const REGIONS: usize = 7;
/// Number of zones of the planned fleet.
pub const ZONES: usize = 21;

/// Maximum number of pending events. Further datagrams are dropped, which bounds the memory.
const MAX_PENDING_EVENTS: usize = 8_000_000;

/// The zone and region of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// Index of the region.
    pub region: usize,
    /// Index of the zone over all regions.
    pub zone: usize,
}

impl Location {
    /// The location of a member. Members are assigned to zones round-robin, and zones to regions.
    pub fn of(member: usize) -> Location {
        let zone = member % ZONES;
        Location { region: zone % REGIONS, zone }
    }
}

/// A set of members, the source or the destination of blocked datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Area {
    /// All members.
    Everywhere,
    /// All members of a region.
    Region(usize),
    /// All members of a zone.
    Zone(usize),
    /// One member.
    Member(usize),
}

impl Area {
    fn contains(self, member: usize, location: Location) -> bool {
        match self {
            Area::Everywhere => true,
            Area::Region(region) => location.region == region,
            Area::Zone(zone) => location.zone == zone,
            Area::Member(one) => member == one,
        }
    }
}

/// Delays, loss and clock drift of the network.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// Minimum one-way delay within a zone.
    pub intra_zone_delay: Micros,
    /// Minimum one-way delay between zones of a region.
    pub intra_region_delay: Micros,
    /// Minimum one-way delay between adjacent regions. Regions form a ring; the delay is proportional to the
    /// distance in it.
    pub region_hop_delay: Micros,
    /// Random addition to each delay, uniform from 0 to this share of the minimum delay.
    pub jitter: f64,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Maximum deviation of a clock's rate in either direction, in parts per million.
    pub max_drift_ppm: u64,
}

impl Conditions {
    /// All members on one machine: delays of at least 0.1 ms, no loss, no clock drift.
    pub fn loopback() -> Conditions {
        let delay = MILLISECOND / 10;
        Conditions {
            intra_zone_delay: delay,
            intra_region_delay: delay,
            region_hop_delay: delay,
            jitter: 0.5,
            loss: 0.0,
            max_drift_ppm: 0,
        }
    }

    /// A fleet over several regions with leased lines: one-way delays of at least 0.25 ms in a zone, 1 ms in
    /// a region and 15 to 45 ms between regions; one datagram in 10,000 lost; clocks within 100 ppm.
    pub fn wide_area() -> Conditions {
        Conditions {
            intra_zone_delay: MILLISECOND / 4,
            intra_region_delay: MILLISECOND,
            region_hop_delay: 15 * MILLISECOND,
            jitter: 0.2,
            loss: 0.000_1,
            max_drift_ppm: 100,
        }
    }
}

/// Number of messages and of their encoded bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Number of messages.
    pub messages: u64,
    /// Number of encoded bytes, without envelopes.
    pub bytes: u64,
}

impl TrafficCount {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// Traffic counts by message kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrafficByKind(Vec<(&'static str, TrafficCount)>);

impl TrafficByKind {
    fn add(&mut self, kind: &'static str, bytes: usize) {
        match self.0.iter_mut().find(|(known, _)| *known == kind) {
            Some((_, count)) => count.add(bytes),
            None => self.0.push((kind, TrafficCount { messages: 1, bytes: bytes as u64 })),
        }
    }

    /// Count of one kind; zero if it never occurred.
    pub fn for_kind(&self, kind: &str) -> TrafficCount {
        self.0.iter().find(|(known, _)| *known == kind).map(|(_, count)| *count).unwrap_or_default()
    }

    /// All counts, in the order in which the kinds first occurred.
    pub fn by_kind(&self) -> &[(&'static str, TrafficCount)] {
        &self.0
    }

    /// Sum over all kinds.
    pub fn total(&self) -> TrafficCount {
        let sum = |a: TrafficCount, b: &(&'static str, TrafficCount)| TrafficCount {
            messages: a.messages + b.1.messages,
            bytes: a.bytes + b.1.bytes,
        };
        self.0.iter().fold(TrafficCount::default(), sum)
    }
}

/// An event that the simulation delivers to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A datagram arrives.
    Datagram {
        /// Index of the sender.
        from: usize,
        /// Index of the receiver.
        to: usize,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A timer expires.
    Timer {
        /// Index of the member that set it.
        member: usize,
        /// Identifier that the member gave it.
        id: u32,
    },
}

#[derive(Debug)]
enum PendingEvent {
    Datagram { from: usize, to: usize, kind: &'static str, bytes: Vec<u8> },
    Timer { member: usize, id: u32, incarnation: u32 },
}

#[derive(Debug)]
struct ScheduledEvent {
    at: Micros,
    sequence: u64,
    pending: PendingEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed, because `BinaryHeap` is a max-heap and the earliest event must come first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

#[derive(Debug, Clone)]
struct Endpoint {
    location: Location,
    /// Deviation of the clock's rate in parts per million; positive if it runs fast.
    drift_ppm: i64,
    running: bool,
    /// Incremented at each start; timers of earlier incarnations are discarded.
    incarnation: u32,
    sent: TrafficByKind,
    received: TrafficByKind,
}

/// The simulated network with the clocks and timers of its members.
#[derive(Debug)]
pub struct Network {
    now: Micros,
    conditions: Conditions,
    rng: StdRng,
    endpoints: Vec<Endpoint>,
    /// Pairs of areas; datagrams from the first to the second are lost.
    blocked: Vec<(Area, Area)>,
    queue: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    lost: u64,
}

impl Network {
    /// A network in which all members are running, distributed over the zones round-robin.
    pub fn new(conditions: Conditions, members: usize, seed: u64) -> Network {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = conditions.max_drift_ppm as i64;
        let mut endpoint = |member| Endpoint {
            location: Location::of(member),
            drift_ppm: rng.random_range(-limit..=limit),
            running: true,
            incarnation: 0,
            sent: TrafficByKind::default(),
            received: TrafficByKind::default(),
        };
        let endpoints = (0..members).map(&mut endpoint).collect();
        Network {
            now: 0,
            conditions,
            rng,
            endpoints,
            blocked: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            lost: 0,
        }
    }

    /// Current simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Current time by a member's drifting clock.
    pub fn local_time(&self, member: usize) -> Micros {
        to_local_time(self.now, self.endpoints[member].drift_ppm)
    }

    /// Number of members, running or not.
    pub fn member_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Zone and region of a member.
    pub fn location(&self, member: usize) -> Location {
        self.endpoints[member].location
    }

    /// All members of an area.
    pub fn members_in(&self, area: Area) -> Vec<usize> {
        (0..self.endpoints.len()).filter(|&m| area.contains(m, self.endpoints[m].location)).collect()
    }

    /// Stops a member: datagrams that reach it are lost, and its timers are discarded.
    pub fn stop(&mut self, member: usize) {
        self.endpoints[member].running = false;
    }

    /// Starts a member again, without its earlier timers.
    pub fn start(&mut self, member: usize) {
        self.endpoints[member].running = true;
        self.endpoints[member].incarnation += 1;
    }

    /// Whether a member is running.
    pub fn is_running(&self, member: usize) -> bool {
        self.endpoints[member].running
    }

    /// Blocks all datagrams from one area to another, in this direction only.
    pub fn block(&mut self, from: Area, to: Area) {
        self.blocked.push((from, to));
    }

    /// Partitions the network: blocks all datagrams between different regions.
    pub fn isolate_regions(&mut self) {
        for one in 0..REGIONS {
            for other in (0..REGIONS).filter(|other| *other != one) {
                self.block(Area::Region(one), Area::Region(other));
            }
        }
    }

    /// Removes all blocks.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    /// Sets the probability that a datagram is lost.
    pub fn set_loss(&mut self, loss: f64) {
        self.conditions.loss = loss.clamp(0.0, 1.0);
    }

    /// Sends a datagram and counts it at the sender, even if it is lost.
    pub fn send(&mut self, from: usize, to: usize, kind: &'static str, bytes: Vec<u8>) {
        self.endpoints[from].sent.add(kind, bytes.len());
        let blocked = self.is_blocked(from, to);
        let dropped = self.conditions.loss > 0.0 && self.rng.random_bool(self.conditions.loss);
        if blocked || dropped || self.queue.len() >= MAX_PENDING_EVENTS {
            self.lost += 1;
            return;
        }
        let at = self.now + self.delay(from, to);
        self.push(at, PendingEvent::Datagram { from, to, kind, bytes });
    }

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        let (sender, receiver) = (self.endpoints[from].location, self.endpoints[to].location);
        self.blocked.iter().any(|(a, b)| a.contains(from, sender) && b.contains(to, receiver))
    }

    fn delay(&mut self, from: usize, to: usize) -> Micros {
        let (a, b) = (self.endpoints[from].location, self.endpoints[to].location);
        let min = if a.zone == b.zone {
            self.conditions.intra_zone_delay
        } else if a.region == b.region {
            self.conditions.intra_region_delay
        } else {
            let distance = a.region.abs_diff(b.region);
            distance.min(REGIONS - distance) as Micros * self.conditions.region_hop_delay
        };
        let max_extra = (min as f64 * self.conditions.jitter) as Micros;
        min + self.rng.random_range(0..=max_extra)
    }

    /// Sets a timer that expires at a time of the member's clock, or immediately if that time has passed.
    pub fn set_timer(&mut self, member: usize, id: u32, local_time: Micros) {
        let Endpoint { drift_ppm, incarnation, .. } = self.endpoints[member];
        let at = to_simulated_time(local_time, drift_ppm).max(self.now);
        self.push(at, PendingEvent::Timer { member, id, incarnation });
    }

    fn push(&mut self, at: Micros, pending: PendingEvent) {
        self.sequence += 1;
        self.queue.push(ScheduledEvent { at, sequence: self.sequence, pending });
    }

    /// Advances the time to the next event up to and including `until` and returns it. Without such an event,
    /// advances the time to `until` and returns `None`.
    pub fn next_event(&mut self, until: Micros) -> Option<Event> {
        while self.queue.peek().is_some_and(|next| next.at <= until) {
            let next = self.queue.pop()?;
            self.now = self.now.max(next.at);
            if let Some(event) = self.deliver(next.pending) {
                return Some(event);
            }
        }
        self.now = self.now.max(until);
        None
    }

    fn deliver(&mut self, pending: PendingEvent) -> Option<Event> {
        match pending {
            PendingEvent::Datagram { from, to, kind, bytes } => {
                let receiver = &mut self.endpoints[to];
                if !receiver.running {
                    self.lost += 1;
                    return None;
                }
                receiver.received.add(kind, bytes.len());
                Some(Event::Datagram { from, to, bytes })
            }
            PendingEvent::Timer { member, id, incarnation } => {
                let endpoint = &self.endpoints[member];
                let valid = endpoint.running && endpoint.incarnation == incarnation;
                valid.then_some(Event::Timer { member, id })
            }
        }
    }

    /// Datagrams that a member has sent since the last reset of the counts, by kind.
    pub fn sent(&self, member: usize) -> &TrafficByKind {
        &self.endpoints[member].sent
    }

    /// Datagrams that a member has received since the last reset of the counts, by kind.
    pub fn received(&self, member: usize) -> &TrafficByKind {
        &self.endpoints[member].received
    }

    /// Sum of the datagrams sent and received by a member, over all kinds.
    pub fn traffic(&self, member: usize) -> TrafficCount {
        let (sent, received) = (self.sent(member).total(), self.received(member).total());
        TrafficCount { messages: sent.messages + received.messages, bytes: sent.bytes + received.bytes }
    }

    /// Number of datagrams lost since the last reset of the counts.
    pub fn lost_datagrams(&self) -> u64 {
        self.lost
    }

    /// Resets the traffic counts of all members and the count of lost datagrams.
    pub fn reset_counts(&mut self) {
        self.lost = 0;
        for endpoint in &mut self.endpoints {
            endpoint.sent = TrafficByKind::default();
            endpoint.received = TrafficByKind::default();
        }
    }
}

/// Reading of a drifting clock at a simulated time.
fn to_local_time(now: Micros, drift_ppm: i64) -> Micros {
    (now as i128 * (1_000_000 + i128::from(drift_ppm)) / 1_000_000) as Micros
}

/// The first simulated time at which a drifting clock shows at least `local_time`.
fn to_simulated_time(local_time: Micros, drift_ppm: i64) -> Micros {
    let rate = 1_000_000 + u128::from(drift_ppm.unsigned_abs());
    let rate = if drift_ppm < 0 { 2_000_000 - rate } else { rate };
    (u128::from(local_time) * 1_000_000).div_ceil(rate) as Micros
}
