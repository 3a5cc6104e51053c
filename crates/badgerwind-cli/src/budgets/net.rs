//! A simulated network between processes. Members know each other by the addresses of relays, and every datagram passes
//! through the relay of its receiver, which can delay, drop, duplicate or reorder it. Links can be cut in one direction.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Faults that relays apply to datagrams.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that are duplicated.
    pub duplication: f64,
    /// Upper bound of the usual delay, which is drawn for each datagram, so that datagrams overtake each other.
    pub max_delay: Duration,
    /// Pairs of members; nothing passes from the first to the second.
    pub cuts: BTreeSet<(u16, u16)>,
}

/// The network. Its relays stop when the handle is dropped.
pub struct Net {
    /// Address on which each member has to listen.
    pub listen: Vec<SocketAddr>,
    /// Address of each member's relay, at which the others reach it.
    pub relays: Vec<SocketAddr>,
    /// Current faults.
    pub faults: Arc<Mutex<NetworkFaults>>,
    /// Datagrams received by relays, and their bytes.
    pub traffic: Arc<(AtomicU64, AtomicU64)>,
    stopped: Arc<AtomicBool>,
}

/// A loopback address that is unique to each network of each process.
fn own_address() -> Ipv4Addr {
    static NETS: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id().to_be_bytes(), NETS.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 16 + (pid[2] & 0x7f), pid[3], 1 + (n % 250) as u8)
}

/// Maximum number of datagrams delayed by a relay; further ones are dropped.
const MAX_DELAYED: usize = 4096;

impl Net {
    /// Starts the relays of a network with the given number of members.
    pub fn start(members: usize, seed: u64) -> std::io::Result<Net> {
        let bind = || UdpSocket::bind("127.0.0.1:0");
        // Members bind these ports next, and again after each restart, so they are on a loopback address from which
        // nothing else takes ports.
        let own = own_address();
        let reserved: Vec<_> = (0..members).map(|_| UdpSocket::bind((own, 0))).collect::<Result<_, _>>()?;
        let listen: Vec<_> = reserved.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let relays: Vec<_> = (0..members).map(|_| bind()).collect::<Result<_, _>>()?;
        let relay_addresses = relays.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let net = Net {
            listen,
            relays: relay_addresses,
            faults: Arc::default(),
            traffic: Arc::default(),
            stopped: Arc::default(),
        };
        for (to, relay) in relays.into_iter().enumerate() {
            let (listen, faults) = (net.listen.clone(), net.faults.clone());
            let (traffic, stopped) = (net.traffic.clone(), net.stopped.clone());
            let rng = StdRng::seed_from_u64(seed.wrapping_add(to as u64));
            std::thread::spawn(move || run_relay(to, &relay, &listen, &faults, &traffic, &stopped, rng));
        }
        Ok(net)
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut NetworkFaults)) {
        change(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Forwards datagrams to one member until the network is dropped.
fn run_relay(
    to: usize,
    relay: &UdpSocket,
    listen: &[SocketAddr],
    faults: &Mutex<NetworkFaults>,
    traffic: &(AtomicU64, AtomicU64),
    stopped: &AtomicBool,
    mut rng: StdRng,
) {
    let mut delayed: BinaryHeap<Reverse<(Instant, u64, Vec<u8>)>> = BinaryHeap::new();
    let mut count = 0;
    let mut buf = [0u8; 2048];
    while !stopped.load(Ordering::Relaxed) {
        let now = Instant::now();
        while delayed.peek().is_some_and(|w| w.0 .0 <= now) {
            if let Some(Reverse((_, _, bytes))) = delayed.pop() {
                let _ = relay.send_to(&bytes, listen[to]); // dropped if the member is not listening
            }
        }
        let next =
            delayed.peek().map_or(Duration::from_millis(50), |w| w.0 .0.saturating_duration_since(now));
        let _ = relay.set_read_timeout(Some(next.max(Duration::from_micros(200))));
        let Ok((n, address)) = relay.recv_from(&mut buf) else { continue };
        let Some(from) = listen.iter().position(|a| *a == address) else { continue };
        traffic.0.fetch_add(1, Ordering::Relaxed);
        traffic.1.fetch_add(n as u64, Ordering::Relaxed);
        let faults = faults.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if faults.cuts.contains(&(from as u16, to as u16)) || rng.random_bool(faults.loss.clamp(0.0, 1.0)) {
            continue;
        }
        for _ in 0..1 + u8::from(rng.random_bool(faults.duplication.clamp(0.0, 1.0))) {
            // A few datagrams arrive so late that their exchange has already ended.
            let delay_factor =
                if faults.max_delay > Duration::ZERO && rng.random_bool(0.02) { 50 } else { 1 };
            let at = Instant::now() + faults.max_delay.mul_f64(rng.random()) * delay_factor;
            count += 1;
            if delayed.len() < MAX_DELAYED {
                delayed.push(Reverse((at, count, buf[..n].to_vec())));
            }
        }
    }
}
