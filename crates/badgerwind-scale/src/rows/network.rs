//! A simulated network for hollow members: places in zones and regions, delays, losses, cuts, members that stop, and
//! clocks that drift. Time is simulated, in microseconds; the same seed gives the same order of events. Datagrams are
//! counted by message kind, in messages and encoded bytes, at the sender and at the receiver.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Simulated time or a length of it, in microseconds.
pub type Micros = u64;

/// A millisecond.
pub const MILLISECOND: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000_000;

/// Regions of the planned fleet.
pub const REGIONS: usize = 7;
/// Zones of the planned fleet.
pub const ZONES: usize = 21;

/// Events that may wait at once; datagrams beyond are lost, so that memory is bounded.
const MOST_PENDING: usize = 8_000_000;

/// Where a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its region.
    pub region: usize,
    /// Its zone, counted over all regions.
    pub zone: usize,
}

impl Place {
    /// The place of a member: members are dealt out to zones in turn, and zones to regions.
    pub fn of(member: usize) -> Place {
        let zone = member % ZONES;
        Place { region: zone % REGIONS, zone }
    }
}

/// A part of the network that can be cut off.
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
    fn contains(self, member: usize, place: Place) -> bool {
        match self {
            Area::Everywhere => true,
            Area::Region(region) => place.region == region,
            Area::Zone(zone) => place.zone == zone,
            Area::Member(one) => member == one,
        }
    }
}

/// What a datagram meets on its way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// One-way delay within a zone.
    pub within_zone: Micros,
    /// One-way delay between zones of a region.
    pub within_region: Micros,
    /// One-way delay between neighbouring regions; regions stand in a ring, and it grows with the distance in it.
    pub each_region: Micros,
    /// Each delay is drawn between itself and itself and this part more.
    pub jitter: f64,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Clocks run fast or slow by up to so many millionths.
    pub drift: u64,
}

impl Conditions {
    /// All members on one machine: 0.1 ms, nothing lost, one clock.
    pub fn loopback() -> Conditions {
        let delay = MILLISECOND / 10;
        Conditions {
            within_zone: delay,
            within_region: delay,
            each_region: delay,
            jitter: 0.5,
            loss: 0.0,
            drift: 0,
        }
    }

    /// Delays within and between regions as on leased lines: 0.25 ms, 1 ms, and 15 to 45 ms one way; one datagram in
    /// 10,000 lost; clocks within 100 millionths.
    pub fn ordinary() -> Conditions {
        Conditions {
            within_zone: MILLISECOND / 4,
            within_region: MILLISECOND,
            each_region: 15 * MILLISECOND,
            jitter: 0.2,
            loss: 0.000_1,
            drift: 100,
        }
    }
}

/// Messages and their encoded bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Messages.
    pub messages: u64,
    /// Encoded bytes, without any envelope.
    pub bytes: u64,
}

impl Count {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// Counts by message kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts(Vec<(&'static str, Count)>);

impl Counts {
    fn add(&mut self, kind: &'static str, bytes: usize) {
        match self.0.iter_mut().find(|(known, _)| *known == kind) {
            Some((_, count)) => count.add(bytes),
            None => self.0.push((kind, Count { messages: 1, bytes: bytes as u64 })),
        }
    }

    /// Of one kind.
    pub fn of(&self, kind: &str) -> Count {
        self.0.iter().find(|(known, _)| *known == kind).map(|(_, count)| *count).unwrap_or_default()
    }

    /// By kind, in the order in which kinds were first seen.
    pub fn by_kind(&self) -> &[(&'static str, Count)] {
        &self.0
    }

    /// Of all kinds.
    pub fn total(&self) -> Count {
        let sum = |a: Count, b: &(&'static str, Count)| Count {
            messages: a.messages + b.1.messages,
            bytes: a.bytes + b.1.bytes,
        };
        self.0.iter().fold(Count::default(), sum)
    }
}

/// What happens next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A datagram arrives.
    Datagram {
        /// Its sender.
        from: usize,
        /// Its receiver.
        to: usize,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A timer that a member set goes off.
    Timer {
        /// Whose.
        member: usize,
        /// What the member named it.
        name: u32,
    },
}

#[derive(Debug)]
enum Pending {
    Datagram { from: usize, to: usize, kind: &'static str, bytes: Vec<u8> },
    Timer { member: usize, name: u32, start: u32 },
}

#[derive(Debug)]
struct Entry {
    at: Micros,
    sequence: u64,
    pending: Pending,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The earliest is the greatest, as `BinaryHeap` gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

#[derive(Debug, Clone)]
struct Endpoint {
    place: Place,
    /// Millionths by which its clock runs fast.
    drift: i64,
    running: bool,
    /// Counted up at each start; timers of earlier starts do not go off.
    start: u32,
    sent: Counts,
    received: Counts,
}

/// The network and its members' clocks.
#[derive(Debug)]
pub struct Network {
    now: Micros,
    conditions: Conditions,
    rng: StdRng,
    endpoints: Vec<Endpoint>,
    /// One-way cuts.
    cuts: Vec<(Area, Area)>,
    queue: BinaryHeap<Entry>,
    sequence: u64,
    lost: u64,
}

impl Network {
    /// So many running members, dealt out to zones in turn.
    pub fn new(conditions: Conditions, members: usize, seed: u64) -> Network {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = conditions.drift as i64;
        let mut endpoint = |member| Endpoint {
            place: Place::of(member),
            drift: rng.random_range(-limit..=limit),
            running: true,
            start: 0,
            sent: Counts::default(),
            received: Counts::default(),
        };
        let endpoints = (0..members).map(&mut endpoint).collect();
        Network {
            now: 0,
            conditions,
            rng,
            endpoints,
            cuts: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            lost: 0,
        }
    }

    /// Simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// What a member's own clock shows now.
    pub fn clock(&self, member: usize) -> Micros {
        own_time(self.now, self.endpoints[member].drift)
    }

    /// How many members there are, running or not.
    pub fn members(&self) -> usize {
        self.endpoints.len()
    }

    /// Where a member stands.
    pub fn place(&self, member: usize) -> Place {
        self.endpoints[member].place
    }

    /// The members of an area.
    pub fn within(&self, area: Area) -> Vec<usize> {
        (0..self.endpoints.len()).filter(|&m| area.contains(m, self.endpoints[m].place)).collect()
    }

    /// A member stops: what is on its way to it is lost, and its timers do not go off.
    pub fn stop(&mut self, member: usize) {
        self.endpoints[member].running = false;
    }

    /// A member starts anew, without any timer.
    pub fn start(&mut self, member: usize) {
        self.endpoints[member].running = true;
        self.endpoints[member].start += 1;
    }

    /// Whether a member runs.
    pub fn runs(&self, member: usize) -> bool {
        self.endpoints[member].running
    }

    /// Loses all datagrams from one area to another.
    pub fn cut(&mut self, from: Area, to: Area) {
        self.cuts.push((from, to));
    }

    /// Cuts each region off from all others.
    pub fn cut_regions_apart(&mut self) {
        for one in 0..REGIONS {
            for other in (0..REGIONS).filter(|other| *other != one) {
                self.cut(Area::Region(one), Area::Region(other));
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Share of datagrams that are lost from now on.
    pub fn set_loss(&mut self, loss: f64) {
        self.conditions.loss = loss.clamp(0.0, 1.0);
    }

    /// Sends a datagram and counts it; it may be lost.
    pub fn send(&mut self, from: usize, to: usize, kind: &'static str, bytes: Vec<u8>) {
        self.endpoints[from].sent.add(kind, bytes.len());
        let cut = self.is_cut(from, to);
        let unlucky = self.conditions.loss > 0.0 && self.rng.random_bool(self.conditions.loss);
        if cut || unlucky || self.queue.len() >= MOST_PENDING {
            self.lost += 1;
            return;
        }
        let at = self.now + self.delay(from, to);
        self.push(at, Pending::Datagram { from, to, kind, bytes });
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (sender, receiver) = (self.endpoints[from].place, self.endpoints[to].place);
        self.cuts.iter().any(|(a, b)| a.contains(from, sender) && b.contains(to, receiver))
    }

    fn delay(&mut self, from: usize, to: usize) -> Micros {
        let (a, b) = (self.endpoints[from].place, self.endpoints[to].place);
        let least = if a.zone == b.zone {
            self.conditions.within_zone
        } else if a.region == b.region {
            self.conditions.within_region
        } else {
            let apart = a.region.abs_diff(b.region);
            apart.min(REGIONS - apart) as Micros * self.conditions.each_region
        };
        let more = (least as f64 * self.conditions.jitter) as Micros;
        least + self.rng.random_range(0..=more)
    }

    /// Sets a timer for a member, at a time of its own clock; one that is past goes off at once.
    pub fn wake_at(&mut self, member: usize, name: u32, own: Micros) {
        let Endpoint { drift, start, .. } = self.endpoints[member];
        let at = true_time(own, drift).max(self.now);
        self.push(at, Pending::Timer { member, name, start });
    }

    fn push(&mut self, at: Micros, pending: Pending) {
        self.sequence += 1;
        self.queue.push(Entry { at, sequence: self.sequence, pending });
    }

    /// The next event up to a time, and time goes on to it; `None` once that time is reached.
    pub fn next_before(&mut self, until: Micros) -> Option<Event> {
        while self.queue.peek().is_some_and(|entry| entry.at <= until) {
            let entry = self.queue.pop()?;
            self.now = self.now.max(entry.at);
            if let Some(event) = self.happens(entry.pending) {
                return Some(event);
            }
        }
        self.now = self.now.max(until);
        None
    }

    fn happens(&mut self, pending: Pending) -> Option<Event> {
        match pending {
            Pending::Datagram { from, to, kind, bytes } => {
                let receiver = &mut self.endpoints[to];
                if !receiver.running {
                    self.lost += 1;
                    return None;
                }
                receiver.received.add(kind, bytes.len());
                Some(Event::Datagram { from, to, bytes })
            }
            Pending::Timer { member, name, start } => {
                let endpoint = &self.endpoints[member];
                let stands = endpoint.running && endpoint.start == start;
                stands.then_some(Event::Timer { member, name })
            }
        }
    }

    /// What a member sent since the counts began.
    pub fn sent(&self, member: usize) -> &Counts {
        &self.endpoints[member].sent
    }

    /// What a member received since the counts began.
    pub fn received(&self, member: usize) -> &Counts {
        &self.endpoints[member].received
    }

    /// What a member sent and received, all kinds.
    pub fn traffic(&self, member: usize) -> Count {
        let (sent, received) = (self.sent(member).total(), self.received(member).total());
        Count { messages: sent.messages + received.messages, bytes: sent.bytes + received.bytes }
    }

    /// Datagrams that did not arrive.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Begins all counts anew.
    pub fn begin_counts(&mut self) {
        self.lost = 0;
        for endpoint in &mut self.endpoints {
            endpoint.sent = Counts::default();
            endpoint.received = Counts::default();
        }
    }
}

/// A clock's reading at a simulated time.
fn own_time(now: Micros, drift: i64) -> Micros {
    (now as i128 * (1_000_000 + i128::from(drift)) / 1_000_000) as Micros
}

/// The first simulated time at which a clock shows at least this.
fn true_time(own: Micros, drift: i64) -> Micros {
    let rate = 1_000_000 + u128::from(drift.unsigned_abs());
    let rate = if drift < 0 { 2_000_000 - rate } else { rate };
    (u128::from(own) * 1_000_000).div_ceil(rate) as Micros
}
