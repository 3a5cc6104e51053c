//! A standalone member of the fleet's budgets: runs the state machines of `badgerwind-budgets` over the
//! authenticated datagrams between front ends, on one thread. Spending takes the same lock, so that the lease
//! is checked at the moment a unit is spent.

use crate::peers::{open, seal};
use badgerwind_budgets::{
    LeaseSettings, LimitSet, Member, Message, Node, Recipient, SettingsError, Time, Unit,
};
use badgerwind_webhook::Key;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The configuration of a member.
pub struct MemberOptions {
    /// Its member number.
    pub number: Member,
    /// The address on which it receives.
    pub listen: SocketAddr,
    /// The addresses of the members.
    pub peers: BTreeMap<Member, SocketAddr>,
    /// The shared key that authenticates the datagrams.
    pub key: Key,
    /// The limits that are divided among the members.
    pub limit_set: LimitSet,
    /// The settings of leases and elections.
    pub lease_settings: LeaseSettings,
    /// By how many parts per million its clock runs fast; for tests of the bound on drift.
    pub clock_skew_ppm: i64,
}

/// Why a member could not start.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The settings are inconsistent.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The socket could not be bound.
    #[error("cannot bind the member's address {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
}

/// A running member.
pub struct FleetMember {
    node: Mutex<Node>,
    socket: UdpSocket,
    options: MemberOptions,
    start: Instant,
    start_wall: u64,
}

/// Wall time in microseconds since the Unix epoch, which all processes of a machine share; for records only.
pub fn wall_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

impl FleetMember {
    /// Binds its socket; nothing is sent or granted before [`FleetMember::run`].
    pub fn start(options: MemberOptions) -> Result<FleetMember, MemberError> {
        options.lease_settings.validate(&options.limit_set.limits)?;
        let socket = crate::peers::bind(options.listen).map_err(|e| MemberError::Bind(options.listen, e))?;
        // The incarnation grows from start to start as long as the wall clock does; otherwise the
        // coordinator's answer corrects it.
        let identity = (options.number, wall_micros());
        let random = StdRng::seed_from_u64(identity.1).random();
        let node = Node::new(0, identity, options.limit_set.clone(), options.lease_settings.clone(), random);
        Ok(FleetMember {
            node: Mutex::new(node),
            socket,
            options,
            start: Instant::now(),
            start_wall: wall_micros(),
        })
    }

    /// Its own monotonic clock, which also advances while the process is suspended.
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros() as i128;
        (micros + micros * i128::from(self.options.clock_skew_ppm) / 1_000_000) as Time
    }

    /// The wall time of a moment of [`FleetMember::now`], so that records show when a lease was checked under
    /// the lock, not when the record was written.
    pub fn wall_at(&self, now: Time) -> u64 {
        let clock_rate = 1_000_000 + i128::from(self.options.clock_skew_ppm);
        self.start_wall + (i128::from(now) * 1_000_000 / clock_rate.max(1)) as u64
    }

    fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a function on the state machine, under its lock and at the current time.
    pub fn with_node<T>(&self, f: impl FnOnce(&mut Node, Time) -> T) -> T {
        let mut node = self.node();
        // The time is read under the lock, so that waiting for the lock does not extend a lease.
        let now = self.now();
        f(&mut node, now)
    }

    /// Spends a unit of a budget if one is available now; returns the unit and the time.
    pub fn spend(&self, budget: usize) -> Option<(Unit, Time)> {
        self.with_node(|node, now| Some((node.spend(now, budget)?, now)))
    }

    /// Receives messages and runs the periodic tick until `stop` is set.
    pub fn run(&self, stop: &AtomicBool) {
        let mut rng = StdRng::seed_from_u64(wall_micros() ^ u64::from(self.options.number));
        let interval = Duration::from_micros(self.with_node(|node, _| node.tick_interval()));
        let mut counter = wall_micros();
        let mut newest: BTreeMap<Member, u64> = BTreeMap::new();
        let mut buf = [0u8; 512];
        let mut next_tick = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let left = next_tick.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            // If the timeout cannot be set, the loop is woken by the messages of other members instead.
            let _ = self.socket.set_read_timeout(Some(left));
            let received =
                self.socket.recv_from(&mut buf).ok().and_then(|(n, _)| self.decode(&buf[..n], &mut newest));
            if let Some((from, message)) = received {
                let answer = self.with_node(|node, now| node.receive(now, from, &message));
                answer.into_iter().for_each(|a| self.send(Recipient::One(from), &a, &mut counter));
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + interval;
                let random = rng.random();
                let out = self.with_node(|node, now| node.tick(now, random));
                out.iter().for_each(|(to, message)| self.send(*to, message, &mut counter));
            }
        }
    }

    /// Decodes a datagram; `None` if it is forged, malformed, replayed or from an unknown member.
    fn decode(&self, datagram: &[u8], newest: &mut BTreeMap<Member, u64>) -> Option<(Member, Message)> {
        let (from, count, bytes) = open(&self.options.key, datagram)?;
        let from = Member::try_from(from).ok().filter(|from| self.options.peers.contains_key(from))?;
        let message = Message::decode(bytes)?;
        let last = newest.entry(from).or_default();
        (count > std::mem::replace(last, count.max(*last))).then_some((from, message))
    }

    /// Sends a message to its recipients; datagrams that cannot be sent are dropped.
    fn send(&self, to: Recipient, message: &Message, counter: &mut u64) {
        let bytes = message.encode();
        let is_recipient = |n: &Member| match to {
            Recipient::All => *n != self.options.number,
            Recipient::Voters => *n != self.options.number && self.options.lease_settings.voters.contains(n),
            Recipient::One(to) => *n == to,
        };
        for (_, address) in self.options.peers.iter().filter(|(n, _)| is_recipient(n)) {
            *counter += 1;
            if let Some(datagram) = seal(&self.options.key, u32::from(self.options.number), *counter, &bytes)
            {
                let _ = self.socket.send_to(&datagram, address);
            }
        }
    }
}
