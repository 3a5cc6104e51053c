//! A link between two parties: connections pass through it, each direction as told. Silence leaves connections open; what was
//! under way then is lost to both, as behind a switch that died.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How bytes of one direction fare.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    #[default]
    Open,
    /// Each piece comes so much later.
    Late(Duration),
    /// Nothing passes, and nobody is told.
    Silent,
}

/// How a link fares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Towards the listener.
    pub there: Flow,
    /// Back.
    pub back: Flow,
    /// New connections are closed at once, and those that stand are broken.
    pub broken: bool,
}

#[derive(Default)]
struct Shared {
    link: Link,
    /// One for each direction of each connection: a change wakes them.
    woken: Vec<Sender<()>>,
}

/// A running link. Ends with its handle.
pub struct Relay {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    _task: smol::Task<()>,
}

fn lock(shared: &Mutex<Shared>) -> std::sync::MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// A link to a listener.
    pub async fn start(to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (at, shared) = (listener.local_addr()?, Arc::new(Mutex::new(Shared::default())));
        let links = shared.clone();
        let task = smol::spawn(async move {
            let mut connections = Vec::new();
            loop {
                let Ok((near, _)) = listener.accept().await else {
                    smol::Timer::after(ACCEPT_PAUSE).await;
                    continue;
                };
                connections.retain(|c: &smol::Task<()>| !c.is_finished());
                let links = links.clone();
                // Dropped unasked, it closes at once: a broken link.
                if !lock(&links).link.broken {
                    connections.push(smol::spawn(lead(near, to, links)));
                }
            }
        });
        Ok(Relay { at, shared, _task: task })
    }

    /// From now on it fares like this.
    pub fn set(&self, link: Link) {
        let mut shared = lock(&self.shared);
        shared.link = link;
        shared.woken.retain(|w| !w.is_closed());
        shared.woken.iter().for_each(|w| _ = w.try_send(())); // full: it is about to look anyway
    }
}

/// Bytes that a silent link keeps of what one side sends, as the sender's own window would; beyond them it reads no more.
const MOST_KEPT: usize = 64 * 1024;
/// Pause after a connection could not be accepted, most likely for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

async fn lead(mut near: TcpStream, to: SocketAddr, shared: Arc<Mutex<Shared>>) {
    // Where nothing passes a connection does not come up either; the caller gives up by itself, and its connection ends then.
    let mut kept = Vec::new();
    let far = loop {
        let link = lock(&shared).link;
        if link.broken {
            return;
        }
        if link.there != Flow::Silent && link.back != Flow::Silent {
            match TcpStream::connect(to).await {
                Ok(far) => break far,
                Err(_) => return,
            }
        }
        let look = async {
            smol::Timer::after(Duration::from_millis(5)).await;
            true
        };
        if !keep(&mut near, &mut kept).or(look).await {
            return;
        }
    };
    let there = pass(near.clone(), far.clone(), kept, |l| l.there, &shared);
    let back = pass(far.clone(), near.clone(), Vec::new(), |l| l.back, &shared);
    // One side's end is the other's: these protocols have no half-closed connections.
    there.or(back).await;
    let _ = (near.shutdown(std::net::Shutdown::Both), far.shutdown(std::net::Shutdown::Both));
}

/// Keeps what comes while nothing passes; false once the sender has ended the connection.
async fn keep(from: &mut TcpStream, kept: &mut Vec<u8>) -> bool {
    if kept.len() >= MOST_KEPT {
        futures_lite::future::pending::<()>().await;
    }
    let mut buf = vec![0u8; 4 * 1024];
    match from.read(&mut buf).await {
        Ok(n) if n > 0 => {
            kept.extend_from_slice(&buf[..n]);
            true
        }
        _ => false,
    }
}

async fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    mut kept: Vec<u8>,
    flow: fn(&Link) -> Flow,
    shared: &Mutex<Shared>,
) {
    let (wake, woken): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
    {
        // Those of connections that have ended go: what is kept is bounded by what stands.
        let mut shared = lock(shared);
        shared.woken.retain(|w| !w.is_closed());
        shared.woken.push(wake);
    }
    let mut buf = vec![0u8; 16 * 1024];
    loop {
        let link = lock(shared).link;
        if link.broken {
            return;
        }
        if flow(&link) == Flow::Silent {
            // The sender hears nothing; what it sent comes once something passes again.
            let changed = async { woken.recv().await.is_ok() };
            if !keep(&mut from, &mut kept).or(changed).await {
                return;
            }
            continue;
        }
        if !kept.is_empty() && to.write_all(&std::mem::take(&mut kept)).await.is_err() {
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
        let link = lock(shared).link;
        match flow(&link) {
            Flow::Late(by) => _ = smol::Timer::after(by).await,
            // It was under way when silence fell: nobody will have it.
            Flow::Silent => continue,
            Flow::Open => {}
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
