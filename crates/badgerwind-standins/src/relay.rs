//! A TCP relay with faults that can be set for each direction. A silent link leaves its connections open.
//! Bytes that the relay holds when the link falls silent, and bytes sent while it is silent, are delivered in
//! order once bytes pass again, as TCP retransmits what a network has dropped.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Treatment of the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Bytes pass.
    #[default]
    Open,
    /// Each chunk is delayed by this time.
    Delayed(Duration),
    /// Nothing passes, and the connections stay open.
    Silent,
}

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Direction towards the listener.
    pub forward: Flow,
    /// Direction towards the caller.
    pub backward: Flow,
    /// New connections are closed at once, and existing ones are ended.
    pub broken: bool,
}

#[derive(Default)]
struct Shared {
    link: Link,
    /// One per direction of each connection, to wake it on a change.
    wakers: Vec<Sender<()>>,
}

/// A running link; it ends when dropped.
pub struct Relay {
    /// The address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    _task: smol::Task<()>,
}

fn lock(shared: &Mutex<Shared>) -> std::sync::MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Starts a link to a listener.
    pub async fn start(to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, shared) = (listener.local_addr()?, Arc::new(Mutex::new(Shared::default())));
        let own = shared.clone();
        let task = smol::spawn(async move {
            let mut connections = Vec::new();
            loop {
                let Ok((near, _)) = listener.accept().await else {
                    smol::Timer::after(ACCEPT_PAUSE).await;
                    continue;
                };
                connections.retain(|c: &smol::Task<()>| !c.is_finished());
                let shared = own.clone();
                // On a broken link the connection is dropped, which closes it at once.
                if !lock(&own).link.broken {
                    connections.push(smol::spawn(relay_connection(near, to, shared)));
                }
            }
        });
        Ok(Relay { address, shared, _task: task })
    }

    /// Sets the state of the link.
    pub fn set(&self, link: Link) {
        let mut shared = lock(&self.shared);
        shared.link = link;
        shared.wakers.retain(|w| !w.is_closed());
        shared.wakers.iter().for_each(|w| _ = w.try_send(())); // full: a wake-up is pending
    }
}

/// Bytes that a silent link buffers of one direction, like a TCP window; beyond them it stops reading. The
/// last chunk read may exceed the limit.
const MAX_BUFFERED: usize = 64 * 1024;
/// Pause after a failed accept, which is most likely due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

async fn relay_connection(mut near: TcpStream, to: SocketAddr, shared: Arc<Mutex<Shared>>) {
    // While nothing passes, no connection to the listener is made; the caller's connection ends when the
    // caller gives up.
    let mut buffered = Vec::new();
    let far = loop {
        let link = lock(&shared).link;
        if link.broken {
            return;
        }
        if link.forward != Flow::Silent && link.backward != Flow::Silent {
            match TcpStream::connect(to).await {
                Ok(far) => break far,
                Err(_) => return,
            }
        }
        let poll = async {
            smol::Timer::after(Duration::from_millis(5)).await;
            true
        };
        if !buffer(&mut near, &mut buffered).or(poll).await {
            return;
        }
    };
    let forward = pass(near.clone(), far.clone(), buffered, |l| l.forward, &shared);
    let backward = pass(far.clone(), near.clone(), Vec::new(), |l| l.backward, &shared);
    // The end of one direction ends both: these protocols have no half-closed connections.
    forward.or(backward).await;
    let _ = (near.shutdown(std::net::Shutdown::Both), far.shutdown(std::net::Shutdown::Both));
}

/// Buffers received bytes while nothing passes; returns false once the sender has ended the connection.
async fn buffer(from: &mut TcpStream, buffered: &mut Vec<u8>) -> bool {
    if buffered.len() >= MAX_BUFFERED {
        futures_lite::future::pending::<()>().await;
    }
    let mut buf = vec![0u8; 4 * 1024];
    match from.read(&mut buf).await {
        Ok(n) if n > 0 => {
            buffered.extend_from_slice(&buf[..n]);
            true
        }
        _ => false,
    }
}

async fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    mut buffered: Vec<u8>,
    flow: fn(&Link) -> Flow,
    shared: &Mutex<Shared>,
) {
    let (wake, woken): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
    {
        // Removes the wakers of ended connections, so that their number is bounded by the open ones.
        let mut shared = lock(shared);
        shared.wakers.retain(|w| !w.is_closed());
        shared.wakers.push(wake);
    }
    let mut buf = vec![0u8; 16 * 1024];
    loop {
        let link = lock(shared).link;
        if link.broken {
            return;
        }
        if flow(&link) == Flow::Silent {
            // What the sender sends is delivered once bytes pass again.
            let changed = async { woken.recv().await.is_ok() };
            if !buffer(&mut from, &mut buffered).or(changed).await {
                return;
            }
            continue;
        }
        if !buffered.is_empty() && to.write_all(&std::mem::take(&mut buffered)).await.is_err() {
            return;
        }
        let read = async { Some(from.read(&mut buf).await) };
        let changed = async {
            let _ = woken.recv().await;
            None
        };
        let n = match read.or(changed).await {
            None => continue,
            Some(Ok(n)) if n > 0 => n,
            Some(_) => return,
        };
        let mut link = lock(shared).link;
        if let Flow::Delayed(by) = flow(&link) {
            smol::Timer::after(by).await;
            link = lock(shared).link;
        }
        if flow(&link) == Flow::Silent {
            // Bytes sent after the link fell silent can be read before this task sees the change. Nothing
            // else is buffered here, so they fit.
            buffered.extend_from_slice(&buf[..n]);
            continue;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
