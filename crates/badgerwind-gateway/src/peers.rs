//! Messages between front ends: one authenticated datagram each. Lost datagrams do no harm.
//!
//! `number(4) counter(8) bytes(0..=256) tag(16)`, big-endian; the tag is HMAC-SHA256 over all preceding
//! bytes, truncated to 16 bytes (RFC 2104 section 5). A sender's counter starts at its wall clock and only
//! grows while the process runs, so a replayed datagram is dropped.

use crate::dispatch::Input;
use crate::shares::BudgetShares;
use crate::zones::Zones;
use async_channel::Sender;
use badgerwind_webhook::Key;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use smol::Async;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Sends and receives the messages between front ends.
pub(crate) struct Peers {
    pub socket: Async<UdpSocket>,
    pub key: Key,
    pub number: u32,
    pub peers: Vec<(u32, SocketAddr)>,
    pub counter: AtomicU64,
}

/// Length of the authentication tag, in bytes.
const TAG_BYTES: usize = 16;
/// Largest message in a datagram, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;

fn mac_of(key: &Key, message: &[u8]) -> Option<Hmac<Sha256>> {
    let Key::Shared(secret) = key else { return None };
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(message);
    Some(mac)
}

/// Makes a datagram; `None` if the key is not a shared secret.
pub(crate) fn seal(key: &Key, number: u32, counter: u64, bytes: &[u8]) -> Option<Vec<u8>> {
    let mut datagram = [&number.to_be_bytes()[..], &counter.to_be_bytes(), bytes].concat();
    let mac = mac_of(key, &datagram)?.finalize().into_bytes();
    datagram.extend_from_slice(&mac[..TAG_BYTES]);
    Some(datagram)
}

/// Checks a datagram and returns the sender's number, its counter and the message; `None` if the tag is
/// invalid or the length is wrong.
pub(crate) fn open<'a>(key: &Key, datagram: &'a [u8]) -> Option<(u32, u64, &'a [u8])> {
    let (message, tag) = datagram.split_at_checked(datagram.len().checked_sub(TAG_BYTES)?)?;
    mac_of(key, message)?.verify_truncated_left(tag).ok()?;
    let (number, rest) = message.split_first_chunk::<4>()?;
    let (counter, bytes) = rest.split_first_chunk::<8>()?;
    (bytes.len() <= MAX_MESSAGE_BYTES)
        .then(|| (u32::from_be_bytes(*number), u64::from_be_bytes(*counter), bytes))
}

/// Attempts to bind an address that is in use.
const BIND_ATTEMPTS: u32 = 20;
/// Pause between those attempts.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a datagram socket. Retries while the address is in use: a process that has just ended may still hold
/// it, and so may a process being spawned that has inherited a copy of the descriptor until it runs its
/// program.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    for _ in 1..BIND_ATTEMPTS {
        match UdpSocket::bind(address) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => std::thread::sleep(BIND_RETRY_DELAY),
            other => return other,
        }
    }
    UdpSocket::bind(address)
}

impl Peers {
    /// Sends to one peer, or to all; a datagram that cannot be sent at once is dropped.
    pub(crate) fn send(&self, to: Option<u32>, bytes: &[u8]) {
        for (_, address) in self.peers.iter().filter(|(n, _)| to.is_none_or(|to| to == *n)) {
            let counter = self.counter.fetch_add(1, Ordering::Relaxed);
            if let Some(datagram) = seal(&self.key, self.number, counter, bytes) {
                let _ = self.socket.get_ref().send_to(&datagram, address);
            }
        }
    }

    /// Receives messages and passes them to budgets, zones or the engine, for ever.
    pub(crate) async fn listen(
        &self,
        inputs: Sender<Input>,
        shares: Option<Arc<BudgetShares>>,
        zones: Option<Arc<Zones>>,
    ) {
        let mut buf = [0u8; 512];
        let mut newest: HashMap<u32, u64> = HashMap::new();
        loop {
            let Ok((n, _)) = self.socket.recv_from(&mut buf).await else {
                smol::Timer::after(crate::front::ACCEPT_PAUSE).await;
                continue;
            };
            let Some((from, counter, bytes)) = open(&self.key, &buf[..n]) else { continue };
            let known = self.peers.iter().any(|(p, _)| *p == from);
            let fresh = newest.get(&from).is_none_or(|&last| counter > last);
            if known && fresh {
                newest.insert(from, counter);
                if shares.as_ref().is_some_and(|s| s.receive(from, bytes)) {
                    continue;
                }
                if zones.as_ref().is_some_and(|z| z.receive(from, bytes)) {
                    continue;
                }
                if inputs.send(Input::Message { from, bytes: bytes.to_vec() }).await.is_err() {
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
