//! A network between processes: each member is known to the others by a relay's address, and every datagram passes through
//! the relay of whom it is for. Delays, loses, doubles, reorders, and cuts in one direction.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How datagrams fare now.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// Share lost.
    pub loss: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// Longest delay, drawn for each anew, so that they overtake each other.
    pub delay: Duration,
    /// Nothing passes from the first to the second.
    pub cuts: BTreeSet<(u16, u16)>,
}

/// The network. Ends with its handle.
pub struct Net {
    /// Where each member has to listen.
    pub listen: Vec<SocketAddr>,
    /// Where the others reach it.
    pub known: Vec<SocketAddr>,
    /// How datagrams fare.
    pub weather: Arc<Mutex<Weather>>,
    /// Datagrams that came to relays, and their bytes.
    pub carried: Arc<(AtomicU64, AtomicU64)>,
    over: Arc<AtomicBool>,
}

/// A loopback address for each network of each process.
fn own_address() -> Ipv4Addr {
    static NETS: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id().to_be_bytes(), NETS.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 16 + (pid[2] & 0x7f), pid[3], 1 + (n % 250) as u8)
}

/// Datagrams that wait at a relay at the most; more are lost.
const WAITING: usize = 4096;

impl Net {
    /// So many members.
    pub fn start(members: usize, seed: u64) -> std::io::Result<Net> {
        let bind = || UdpSocket::bind("127.0.0.1:0");
        // Members bind these next, and again after each death: on an address that nobody else draws ports from.
        let own = own_address();
        let free: Vec<_> = (0..members).map(|_| UdpSocket::bind((own, 0))).collect::<Result<_, _>>()?;
        let listen: Vec<_> = free.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let relays: Vec<_> = (0..members).map(|_| bind()).collect::<Result<_, _>>()?;
        let known = relays.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let net =
            Net { listen, known, weather: Arc::default(), carried: Arc::default(), over: Arc::default() };
        for (to, relay) in relays.into_iter().enumerate() {
            let (listen, weather) = (net.listen.clone(), net.weather.clone());
            let (carried, over) = (net.carried.clone(), net.over.clone());
            let rng = StdRng::seed_from_u64(seed.wrapping_add(to as u64));
            std::thread::spawn(move || lead(to, &relay, &listen, &weather, &carried, &over, rng));
        }
        Ok(net)
    }

    /// Changes how datagrams fare.
    pub fn change(&self, change: impl FnOnce(&mut Weather)) {
        change(&mut self.weather.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn lead(
    to: usize,
    relay: &UdpSocket,
    listen: &[SocketAddr],
    weather: &Mutex<Weather>,
    carried: &(AtomicU64, AtomicU64),
    over: &AtomicBool,
    mut rng: StdRng,
) {
    let mut waiting: BinaryHeap<Reverse<(Instant, u64, Vec<u8>)>> = BinaryHeap::new();
    let mut count = 0;
    let mut buf = [0u8; 2048];
    while !over.load(Ordering::Relaxed) {
        let now = Instant::now();
        while waiting.peek().is_some_and(|w| w.0 .0 <= now) {
            if let Some(Reverse((_, _, bytes))) = waiting.pop() {
                let _ = relay.send_to(&bytes, listen[to]); // nobody listens there just now: lost
            }
        }
        let next =
            waiting.peek().map_or(Duration::from_millis(50), |w| w.0 .0.saturating_duration_since(now));
        let _ = relay.set_read_timeout(Some(next.max(Duration::from_micros(200))));
        let Ok((n, address)) = relay.recv_from(&mut buf) else { continue };
        let Some(from) = listen.iter().position(|a| *a == address) else { continue };
        carried.0.fetch_add(1, Ordering::Relaxed);
        carried.1.fetch_add(n as u64, Ordering::Relaxed);
        let w = weather.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if w.cuts.contains(&(from as u16, to as u16)) || rng.random_bool(w.loss.clamp(0.0, 1.0)) {
            continue;
        }
        for _ in 0..1 + u8::from(rng.random_bool(w.twice.clamp(0.0, 1.0))) {
            // Now and then one comes after all that it was about is over.
            let late = if w.delay > Duration::ZERO && rng.random_bool(0.02) { 50 } else { 1 };
            let at = Instant::now() + w.delay.mul_f64(rng.random()) * late;
            count += 1;
            if waiting.len() < WAITING {
                waiting.push(Reverse((at, count, buf[..n].to_vec())));
            }
        }
    }
}
