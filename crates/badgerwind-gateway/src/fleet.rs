//! A member of the fleet's budgets on sockets: the deciders of `badgerwind-budgets` over the authenticated datagrams between
//! front ends. One thread; whoever spends asks under the same lock, so that the lease is looked at when a unit is spent.

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

/// What a member is told at its start.
pub struct MemberOptions {
    /// Its number.
    pub number: Member,
    /// Where it hears the others.
    pub listen: SocketAddr,
    /// Where the others hear it.
    pub peers: BTreeMap<Member, SocketAddr>,
    /// Seals what they say to each other.
    pub key: Key,
    /// What is shared out.
    pub book: LimitSet,
    /// On what terms.
    pub terms: LeaseSettings,
    /// Millionths by which its clock runs fast; for tests of the bound on drift.
    pub clock_fast: i64,
}

/// A member that could not start.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The terms do not hold together.
    #[error(transparent)]
    Terms(#[from] SettingsError),
    /// No socket.
    #[error("cannot hear the others at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
}

/// A running member.
pub struct FleetMember {
    node: Mutex<Node>,
    socket: UdpSocket,
    options: MemberOptions,
    start: Instant,
    start_wall: u64,
}

/// Wall time in microseconds since the Unix epoch: one clock for all processes of a machine, for records alone.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

impl FleetMember {
    /// Binds its socket; nothing is said or granted before [`FleetMember::run`].
    pub fn start(options: MemberOptions) -> Result<FleetMember, MemberError> {
        options.terms.validate(&options.book.limits)?;
        let socket =
            crate::peers::bind(options.listen).map_err(|e| MemberError::Listen(options.listen, e))?;
        // An incarnation is greater than the one before as long as the wall clock is; the coordinator's answer corrects what is not.
        let who = (options.number, wall());
        let part = StdRng::seed_from_u64(who.1).random();
        let node = Node::new(0, who, options.book.clone(), options.terms.clone(), part);
        Ok(FleetMember { node: Mutex::new(node), socket, options, start: Instant::now(), start_wall: wall() })
    }

    /// Its own clock, which goes on while the process is stopped.
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros() as i128;
        (micros + micros * i128::from(self.options.clock_fast) / 1_000_000) as Time
    }

    /// The same moment in wall time, for records: what was looked at under the lock, and not when that was written down.
    pub fn wall_at(&self, now: Time) -> u64 {
        let fast = 1_000_000 + i128::from(self.options.clock_fast);
        self.start_wall + (i128::from(now) * 1_000_000 / fast.max(1)) as u64
    }

    fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at what it owns, or wants other than before.
    pub fn with<T>(&self, look: impl FnOnce(&mut Node, Time) -> T) -> T {
        let mut node = self.node();
        // The time is taken under the lock: a wait for it must not make a lease longer.
        let now = self.now();
        look(&mut node, now)
    }

    /// Spends a unit of a budget, if one is there at this moment: which, and the moment.
    pub fn spend(&self, budget: usize) -> Option<(Unit, Time)> {
        self.with(|node, now| Some((node.spend(now, budget)?, now)))
    }

    /// Hears and says what is due until told to stop.
    pub fn run(&self, stop: &AtomicBool) {
        let mut rng = StdRng::seed_from_u64(wall() ^ u64::from(self.options.number));
        let pace = Duration::from_micros(self.with(|node, _| node.tick_interval()));
        let mut counter = wall();
        let mut newest: BTreeMap<Member, u64> = BTreeMap::new();
        let mut buf = [0u8; 512];
        let mut due = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let left = due.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            // Where no time-out can be set the socket waits for the others' beats instead.
            let _ = self.socket.set_read_timeout(Some(left));
            let heard =
                self.socket.recv_from(&mut buf).ok().and_then(|(n, _)| self.read(&buf[..n], &mut newest));
            if let Some((from, message)) = heard {
                let answer = self.with(|node, now| node.receive(now, from, &message));
                answer.into_iter().for_each(|a| self.say(Recipient::One(from), &a, &mut counter));
            }
            if Instant::now() >= due {
                due = Instant::now() + pace;
                let part = rng.random();
                let out = self.with(|node, now| node.tick(now, part));
                out.iter().for_each(|(to, message)| self.say(*to, message, &mut counter));
            }
        }
    }

    /// What is forged, of another form, from nobody known or come before is passed over.
    fn read(&self, datagram: &[u8], newest: &mut BTreeMap<Member, u64>) -> Option<(Member, Message)> {
        let (from, count, bytes) = open(&self.options.key, datagram)?;
        let from = Member::try_from(from).ok().filter(|from| self.options.peers.contains_key(from))?;
        let message = Message::decode(bytes)?;
        let last = newest.entry(from).or_default();
        (count > std::mem::replace(last, count.max(*last))).then_some((from, message))
    }

    fn say(&self, to: Recipient, message: &Message, counter: &mut u64) {
        let bytes = message.encode();
        let meant = |n: &Member| match to {
            Recipient::All => *n != self.options.number,
            Recipient::Voters => *n != self.options.number && self.options.terms.voters.contains(n),
            Recipient::One(to) => *n == to,
        };
        for (_, address) in self.options.peers.iter().filter(|(n, _)| meant(n)) {
            *counter += 1;
            if let Some(datagram) = seal(&self.options.key, u32::from(self.options.number), *counter, &bytes)
            {
                let _ = self.socket.send_to(&datagram, address); // lost, as datagrams are
            }
        }
    }
}
