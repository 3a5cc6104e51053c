//! Messages between front ends: one datagram each, authenticated, lost without harm.
//!
//! `number(4) counter(8) bytes(0..=256) tag(16)`, big-endian; the tag is HMAC-SHA256 over all before it, cut to 16
//! bytes (RFC 2104 section 5). The counter only grows within a sender's life and starts at its wall clock, so a
//! datagram that comes again is passed over.

use crate::dispatch::Input;
use crate::shares::Shares;
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

pub(crate) struct Peers {
    pub socket: Async<UdpSocket>,
    pub key: Key,
    pub number: u32,
    pub peers: Vec<(u32, SocketAddr)>,
    pub counter: AtomicU64,
}

const TAG: usize = 16;
const MOST: usize = 256;

fn tag(key: &Key, message: &[u8]) -> Option<Hmac<Sha256>> {
    let Key::Shared(secret) = key else { return None };
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(message);
    Some(mac)
}

pub(crate) fn seal(key: &Key, number: u32, counter: u64, bytes: &[u8]) -> Option<Vec<u8>> {
    let mut out = [&number.to_be_bytes()[..], &counter.to_be_bytes(), bytes].concat();
    let mac = tag(key, &out)?.finalize().into_bytes();
    out.extend_from_slice(&mac[..TAG]);
    Some(out)
}

/// The sender's number, its counter and the bytes; `None` for what is forged, cut or too long.
pub(crate) fn open<'a>(key: &Key, datagram: &'a [u8]) -> Option<(u32, u64, &'a [u8])> {
    let (message, sum) = datagram.split_at_checked(datagram.len().checked_sub(TAG)?)?;
    tag(key, message)?.verify_truncated_left(sum).ok()?;
    let (number, rest) = message.split_first_chunk::<4>()?;
    let (counter, bytes) = rest.split_first_chunk::<8>()?;
    (bytes.len() <= MOST).then(|| (u32::from_be_bytes(*number), u64::from_be_bytes(*counter), bytes))
}

/// How often, and how long apart, an address that is in use is tried again.
const BINDS: (u32, Duration) = (20, Duration::from_millis(50));

/// Binds a socket for datagrams. Where a process that just died still held the address, or one that was being started had a
/// copy of its descriptor for an instant, it is free a moment later.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    for _ in 1..BINDS.0 {
        match UdpSocket::bind(address) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => std::thread::sleep(BINDS.1),
            other => return other,
        }
    }
    UdpSocket::bind(address)
}

impl Peers {
    /// Sends to one, or to all; what cannot be sent at once is lost, as datagrams are.
    pub(crate) fn tell(&self, to: Option<u32>, bytes: &[u8]) {
        for (_, address) in self.peers.iter().filter(|(n, _)| to.is_none_or(|to| to == *n)) {
            let counter = self.counter.fetch_add(1, Ordering::Relaxed);
            if let Some(datagram) = seal(&self.key, self.number, counter, bytes) {
                let _ = self.socket.get_ref().send_to(&datagram, address);
            }
        }
    }

    /// Hands on what comes, for ever.
    pub(crate) async fn listen(
        &self,
        report: Sender<Input>,
        shares: Option<Arc<Shares>>,
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
                if shares.as_ref().is_some_and(|s| s.heard(from, bytes)) {
                    continue;
                }
                if zones.as_ref().is_some_and(|z| z.heard(from, bytes)) {
                    continue;
                }
                if report.send(Input::Message { from, bytes: bytes.to_vec() }).await.is_err() {
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
