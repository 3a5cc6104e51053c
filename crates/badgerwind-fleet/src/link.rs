//! Links between members: TCP, each way its own connection, sealed by Noise (`NNpsk0`: both prove that they have the peers' key, and
//! each connection has keys of its own, so that nothing of an earlier one can come again). What cannot be sent is lost; the register's
//! state machines ask again.

use async_channel::{Receiver, Sender};
use badgerwind_register::{Member, Message};
use badgerwind_webhook::Key;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use sha2::{Digest, Sha256};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use snow::{Builder, TransportState};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest message: all that stands, at the most.
const MOST: usize = 8 << 20;
/// Plain bytes in one sealed piece; Noise has 65,535 with its tag.
const PIECE: usize = 60_000;
/// A connection that is not up, or not proven, by then is given up.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause before another try.
const PAUSE: Duration = Duration::from_millis(50);
/// A peer that takes nothing for so long is given up: what waits for it is old.
const STUCK: Duration = Duration::from_secs(2);

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("not proven, or spoilt: {0}")]
    Noise(#[from] snow::Error),
    #[error("it says that it is member {0}")]
    Other(Member),
    #[error("a message of {0} bytes")]
    Long(usize),
    #[error("a handshake without a member's number")]
    Nobody,
}

/// What all links of a process share.
#[derive(Clone)]
pub struct Seal {
    me: Member,
    psk: [u8; 32],
}

impl Seal {
    /// By the peers' key. `None` for a key that is not shared.
    pub fn new(me: Member, key: &Key) -> Option<Seal> {
        let Key::Shared(secret) = key else { return None };
        let psk = Sha256::new().chain_update(b"badgerwind register link 1").chain_update(secret).finalize();
        Some(Seal { me, psk: psk.into() })
    }

    fn builder(&self) -> Result<Builder<'_>, snow::Error> {
        Builder::new("Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s".parse()?).psk(0, &self.psk)
    }
}

async fn late<T>(after: Duration) -> Result<T, Broken> {
    Timer::after(after).await;
    Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into())
}

async fn piece(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), Broken> {
    stream.write_all(&(bytes.len() as u16).to_be_bytes()).await?;
    Ok(stream.write_all(bytes).await?)
}

async fn take(stream: &mut TcpStream) -> Result<Vec<u8>, Broken> {
    let mut length = [0u8; 2];
    stream.read_exact(&mut length).await?;
    let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

fn number(bytes: &[u8]) -> Result<Member, Broken> {
    Ok(Member::from_be_bytes(bytes.try_into().map_err(|_| Broken::Nobody)?))
}

async fn opened(seal: &Seal, to: Member, stream: &mut TcpStream) -> Result<TransportState, Broken> {
    let mut noise = seal.builder()?.build_initiator()?;
    let mut buf = [0u8; 256];
    let n = noise.write_message(&seal.me.to_be_bytes(), &mut buf)?;
    piece(stream, &buf[..n]).await?;
    let answer = take(stream).await?;
    let n = noise.read_message(&answer, &mut buf)?;
    let who = number(&buf[..n])?;
    if who != to {
        return Err(Broken::Other(who));
    }
    Ok(noise.into_transport_mode()?)
}

async fn accepted(seal: &Seal, stream: &mut TcpStream) -> Result<(Member, TransportState), Broken> {
    let mut noise = seal.builder()?.build_responder()?;
    let mut buf = vec![0u8; 65_535];
    let first = take(stream).await?;
    let n = noise.read_message(&first, &mut buf)?;
    let who = number(&buf[..n])?;
    let n = noise.write_message(&seal.me.to_be_bytes(), &mut buf)?;
    piece(stream, &buf[..n]).await?;
    Ok((who, noise.into_transport_mode()?))
}

/// The way to one member.
struct Link<'a> {
    seal: &'a Seal,
    to: Member,
    at: SocketAddr,
}

impl Link<'_> {
    /// Sends what comes, over one connection; `proven` is called once the member has proven itself.
    async fn sending(&self, from: &Receiver<Message>, proven: impl FnOnce()) -> Result<(), Broken> {
        // Nothing is opened before there is something to say: of 300 members most speak to voters alone.
        let Ok(mut message) = from.recv().await else { return Ok(()) };
        let connect = async { Ok(badgerwind_connect::connect(self.at).await?) };
        let mut stream = TcpStream::from(connect.or(late(PATIENCE)).await?);
        stream.set_nodelay(true)?;
        let mut noise = opened(self.seal, self.to, &mut stream).or(late(PATIENCE)).await?;
        proven();
        let mut sealed = vec![0u8; 65_535];
        loop {
            let bytes = message.encode();
            let framed = [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat();
            for part in framed.chunks(PIECE) {
                let n = noise.write_message(part, &mut sealed)?;
                piece(&mut stream, &sealed[..n]).or(late(STUCK)).await?;
            }
            message = match from.recv().await {
                Ok(next) => next,
                Err(_) => return Ok(()),
            };
        }
    }
}

/// Leads what is put into a queue to a member, over one connection after another, until the queue is closed. What waits while
/// there is none is old by the time there is, and dropped. The first of failures in a row is a warning in the log.
pub async fn lead(seal: Seal, to: Member, at: SocketAddr, from: Receiver<Message>) {
    let mut failing = false;
    while !from.is_closed() {
        let link = Link { seal: &seal, to, at };
        if let Err(e) = link.sending(&from, || failing = false).await {
            if failing {
                tracing::debug!(member = to, "a link ended: {e}");
            } else {
                tracing::warn!(member = to, address = %at, "a link ended: {e}; it is opened again");
            }
            failing = true;
        }
        Timer::after(PAUSE).await;
        while from.try_recv().is_ok() {}
    }
}

/// Takes connections in, each on a task of its own, and hands on what members say. `most` connections at once; more are closed.
pub async fn listen(seal: Seal, listener: TcpListener, most: usize, hear: Sender<(Member, Message)>) {
    let mut open: Vec<smol::Task<()>> = Vec::new();
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            Timer::after(PAUSE).await;
            continue;
        };
        open.retain(|t| !t.is_finished());
        if open.len() >= most {
            continue; // dropped: a close
        }
        let (seal, hear) = (seal.clone(), hear.clone());
        open.push(smol::spawn(async move {
            if let Err(e) = hearing(&seal, &mut stream, &hear).await {
                tracing::debug!("a link ended: {e}");
            }
        }));
    }
}

async fn hearing(
    seal: &Seal,
    stream: &mut TcpStream,
    hear: &Sender<(Member, Message)>,
) -> Result<(), Broken> {
    let (who, mut noise) = accepted(seal, stream).or(late(PATIENCE)).await?;
    let (mut plain, mut come) = (vec![0u8; 65_535], Vec::new());
    loop {
        let sealed = take(stream).await?;
        let n = noise.read_message(&sealed, &mut plain)?;
        come.extend_from_slice(&plain[..n]);
        while let Some((length, rest)) = come.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > MOST {
                return Err(Broken::Long(length));
            }
            let Some(bytes) = rest.get(..length) else { break };
            let message = Message::decode(bytes);
            come.drain(..4 + length);
            // Of a form that is not known: passed over.
            if let Some(message) = message {
                if hear.send((who, message)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}
