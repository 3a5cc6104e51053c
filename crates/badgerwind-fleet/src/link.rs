//! Links between members: TCP with one connection for each direction, encrypted by Noise (`NNpsk0`: both
//! sides prove that they have the peers' key, and each connection has its own keys, so that messages of an
//! earlier one cannot be replayed). Messages that cannot be sent are lost; the register's state machines send
//! them again.

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

/// Maximum size of a message in bytes: the largest is a snapshot of the register.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Plaintext bytes in a frame; a Noise message has at most 65,535 bytes with its tag.
const FRAME_BYTES: usize = 60_000;
/// Time to connect and, separately, to complete the handshake; after that the connection is abandoned.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before another attempt to connect or accept.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to write a frame. After that the connection is abandoned, since the messages that wait for it are
/// stale.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that ended a connection.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("the peer is not authenticated, or the data is corrupt: {0}")]
    Noise(#[from] snow::Error),
    #[error("the peer identifies itself as member {0}")]
    WrongMember(Member),
    #[error("a message of {0} bytes exceeds the maximum size")]
    MessageTooLong(usize),
    #[error("the handshake carries no member number")]
    InvalidHandshake,
}

/// A member's number and the key with which it authenticates its links.
#[derive(Clone)]
pub struct LinkIdentity {
    me: Member,
    psk: [u8; 32],
}

impl LinkIdentity {
    /// Derives the link key from the peers' key. `None` for a key that is not a shared secret.
    pub fn new(me: Member, key: &Key) -> Option<LinkIdentity> {
        let Key::Shared(secret) = key else { return None };
        let psk = Sha256::new().chain_update(b"badgerwind register link 1").chain_update(secret).finalize();
        Some(LinkIdentity { me, psk: psk.into() })
    }

    fn builder(&self) -> Result<Builder<'_>, snow::Error> {
        Builder::new("Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s".parse()?).psk(0, &self.psk)
    }
}

/// Fails with a time-out after this time; raced against an operation to limit it.
async fn timeout<T>(after: Duration) -> Result<T, LinkError> {
    Timer::after(after).await;
    Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into())
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), LinkError> {
    stream.write_all(&(bytes.len() as u16).to_be_bytes()).await?;
    Ok(stream.write_all(bytes).await?)
}

async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>, LinkError> {
    let mut length = [0u8; 2];
    stream.read_exact(&mut length).await?;
    let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

fn parse_member(bytes: &[u8]) -> Result<Member, LinkError> {
    Ok(Member::from_be_bytes(bytes.try_into().map_err(|_| LinkError::InvalidHandshake)?))
}

/// Performs the handshake of an outgoing connection, and checks that the peer is the member `to`.
async fn initiate(
    identity: &LinkIdentity,
    to: Member,
    stream: &mut TcpStream,
) -> Result<TransportState, LinkError> {
    let mut noise = identity.builder()?.build_initiator()?;
    let mut buf = [0u8; 256];
    let n = noise.write_message(&identity.me.to_be_bytes(), &mut buf)?;
    write_frame(stream, &buf[..n]).await?;
    let answer = read_frame(stream).await?;
    let n = noise.read_message(&answer, &mut buf)?;
    let member = parse_member(&buf[..n])?;
    if member != to {
        return Err(LinkError::WrongMember(member));
    }
    Ok(noise.into_transport_mode()?)
}

/// Performs the handshake of an incoming connection, and returns the member that the peer identifies itself
/// as.
async fn respond(
    identity: &LinkIdentity,
    stream: &mut TcpStream,
) -> Result<(Member, TransportState), LinkError> {
    let mut noise = identity.builder()?.build_responder()?;
    let mut buf = vec![0u8; 65_535];
    let first = read_frame(stream).await?;
    let n = noise.read_message(&first, &mut buf)?;
    let member = parse_member(&buf[..n])?;
    let n = noise.write_message(&identity.me.to_be_bytes(), &mut buf)?;
    write_frame(stream, &buf[..n]).await?;
    Ok((member, noise.into_transport_mode()?))
}

/// An outgoing link to a member.
struct Link<'a> {
    identity: &'a LinkIdentity,
    to: Member,
    address: SocketAddr,
}

impl Link<'_> {
    /// Sends the messages of the queue over one connection. `on_authenticated` is called once the member has
    /// authenticated itself.
    async fn send_from(
        &self,
        queue: &Receiver<Message>,
        on_authenticated: impl FnOnce(),
    ) -> Result<(), LinkError> {
        // The connection is opened with the first message: of 300 members, most send messages to voters only.
        let Ok(mut message) = queue.recv().await else { return Ok(()) };
        let connect = async { Ok(badgerwind_connect::connect(self.address).await?) };
        let mut stream = TcpStream::from(connect.or(timeout(CONNECT_TIMEOUT)).await?);
        stream.set_nodelay(true)?;
        let mut noise = initiate(self.identity, self.to, &mut stream).or(timeout(CONNECT_TIMEOUT)).await?;
        on_authenticated();
        let mut sealed = vec![0u8; 65_535];
        loop {
            let bytes = message.encode();
            let framed = [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat();
            for chunk in framed.chunks(FRAME_BYTES) {
                let n = noise.write_message(chunk, &mut sealed)?;
                write_frame(&mut stream, &sealed[..n]).or(timeout(WRITE_TIMEOUT)).await?;
            }
            message = match queue.recv().await {
                Ok(next) => next,
                Err(_) => return Ok(()),
            };
        }
    }
}

/// Sends the messages of a queue to a member until the queue is closed, reconnecting as needed. Messages that
/// wait while there is no connection would be stale by the time there is one and are dropped. Only the first
/// of consecutive failures is logged as a warning.
pub async fn run_outgoing(identity: LinkIdentity, to: Member, address: SocketAddr, queue: Receiver<Message>) {
    let mut failing = false;
    while !queue.is_closed() {
        let link = Link { identity: &identity, to, address };
        if let Err(e) = link.send_from(&queue, || failing = false).await {
            if failing {
                tracing::debug!(member = to, "a link ended: {e}");
            } else {
                tracing::warn!(member = to, address = %address, "a link ended: {e}; reconnecting");
            }
            failing = true;
        }
        Timer::after(RETRY_DELAY).await;
        while queue.try_recv().is_ok() {}
    }
}

/// Accepts connections, each on its own task, and forwards the received messages. Connections beyond
/// `max_connections` are closed.
pub async fn accept_incoming(
    identity: LinkIdentity,
    listener: TcpListener,
    max_connections: usize,
    received: Sender<(Member, Message)>,
) {
    let mut connections: Vec<smol::Task<()>> = Vec::new();
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            Timer::after(RETRY_DELAY).await;
            continue;
        };
        connections.retain(|t| !t.is_finished());
        if connections.len() >= max_connections {
            continue; // dropping the stream closes it
        }
        let (identity, received) = (identity.clone(), received.clone());
        connections.push(smol::spawn(async move {
            if let Err(e) = receive_from(&identity, &mut stream, &received).await {
                tracing::debug!("a link ended: {e}");
            }
        }));
    }
}

/// Forwards the messages of one connection until it ends.
async fn receive_from(
    identity: &LinkIdentity,
    stream: &mut TcpStream,
    received: &Sender<(Member, Message)>,
) -> Result<(), LinkError> {
    let (member, mut noise) = respond(identity, stream).or(timeout(CONNECT_TIMEOUT)).await?;
    let (mut plain, mut buffer) = (vec![0u8; 65_535], Vec::new());
    loop {
        let sealed = read_frame(stream).await?;
        let n = noise.read_message(&sealed, &mut plain)?;
        buffer.extend_from_slice(&plain[..n]);
        while let Some((length, rest)) = buffer.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_MESSAGE_BYTES {
                return Err(LinkError::MessageTooLong(length));
            }
            let Some(bytes) = rest.get(..length) else { break };
            let message = Message::decode(bytes);
            buffer.drain(..4 + length);
            // Messages of an unknown format are ignored.
            if let Some(message) = message {
                if received.send((member, message)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}
