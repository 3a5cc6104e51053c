//! A pool of connections to one server, with limits on their number and on time. Dropping an exchange in
//! progress closes its connection, which the server sees as the cancellation of the call.

use crate::body::Body;
use crate::head::{self, Framing, ResponseHead};
use crate::tls::{ClientTls, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::TcpStream;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Largest number of connections, including idle ones.
    pub max_connections: usize,
    /// How long establishing a connection may take, including the TLS handshake.
    pub connect_timeout: Duration,
    /// How long an idle connection may be reused.
    pub idle_timeout: Duration,
    /// Largest size of a response body in bytes.
    pub max_body_bytes: usize,
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection was established, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection broke, or was closed without a response: the server may have received the request.
    #[error("the connection broke: {0}")]
    Reset(String),
    /// The response is malformed.
    #[error("an answer that cannot be read: {0}")]
    Malformed(String),
}

/// Largest size of a response head in bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// A request.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The method.
    pub method: &'static str,
    /// The request target.
    pub target: String,
    /// Header lines other than `host` and `content-length`.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl Exchange {
    /// The request as sent to a server with this address.
    pub fn encode(&self, host: SocketAddr) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {host}\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head.extend([name, ": ", value, "\r\n"]);
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        [head.as_bytes(), &self.body].concat()
    }
}

#[derive(Debug)]
struct IdleConnection {
    stream: Stream,
    since: Instant,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<IdleConnection>,
    /// Number of open connections, idle or in use.
    open: usize,
}

/// A pool of connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limits: Mutex<PoolLimits>,
    /// TLS for new connections; `None` for plain TCP.
    tls: Mutex<Option<ClientTls>>,
    state: Mutex<PoolState>,
}

/// A connection reserved for one request, on which nothing has been sent yet. If it is dropped, nothing is
/// sent.
pub struct ReservedConnection<'a> {
    pool: &'a Pool,
    stream: Stream,
    slot: Slot<'a>,
}

/// A connection's slot in the pool, released on drop.
struct Slot<'a>(&'a Pool);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, limits: PoolLimits) -> Self {
        Pool { address, limits: Mutex::new(limits), tls: Mutex::default(), state: Mutex::default() }
    }

    /// Sets whether new connections use TLS, and how; closes the idle connections.
    pub fn set_tls(&self, tls: Option<ClientTls>) {
        *self.tls.lock().unwrap_or_else(PoisonError::into_inner) = tls;
        self.close_idle();
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn limits(&self) -> PoolLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limits from now on.
    pub fn set_limits(&self, limits: PoolLimits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Number of open connections, including idle ones.
    pub fn open_connections(&self) -> usize {
        self.lock().open
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let mut state = self.lock();
        state.open -= state.idle.len();
        state.idle.clear();
    }

    /// An idle connection that is still usable, or a new one.
    async fn connection(&self) -> Result<(Stream, Slot<'_>), ExchangeError> {
        loop {
            let idle = self.lock().idle.pop();
            let Some(IdleConnection { mut stream, since }) = idle else { break };
            let slot = Slot(self);
            if since.elapsed() >= self.limits().idle_timeout {
                continue;
            }
            // An idle connection that is readable was closed, or received data without a request: do not
            // reuse it.
            let mut byte = [0u8; 1];
            if future::poll_once(stream.read(&mut byte)).await.is_none() {
                return Ok((stream, slot));
            }
            drop(slot);
        }
        let slot = {
            let max_connections = self.limits().max_connections;
            let mut state = self.lock();
            if state.open >= max_connections {
                let text = format!("all {max_connections} connections to it are in use");
                return Err(ExchangeError::Connect(text));
            }
            state.open += 1;
            Slot(self)
        };
        let timeout = async {
            Timer::after(self.limits().connect_timeout).await;
            Err(ExchangeError::Connect(std::io::Error::from(std::io::ErrorKind::TimedOut).to_string()))
        };
        let tls = self.tls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let connecting = async {
            let stream = badgerwind_connect::connect(self.address).await;
            let stream: TcpStream = stream.map_err(|e| ExchangeError::Connect(e.to_string()))?.into();
            let _ = stream.set_nodelay(true); // without it, small writes are only delayed
            match tls {
                None => Ok(stream.into()),
                Some(tls) => tls.connect(stream).await,
            }
        };
        Ok((connecting.or(timeout).await?, slot))
    }

    /// Sends a request and reads the complete response.
    pub async fn exchange(&self, request: &Exchange) -> Result<(ResponseHead, Vec<u8>), ExchangeError> {
        self.begin(request).await?.read_to_end().await
    }

    /// Sends a request and reads the head of the response.
    pub async fn begin(&self, request: &Exchange) -> Result<Answer<'_>, ExchangeError> {
        self.acquire().await?.send(request).await
    }

    /// Reserves a connection for one request, without sending anything.
    pub async fn acquire(&self) -> Result<ReservedConnection<'_>, ExchangeError> {
        let (stream, slot) = self.connection().await?;
        Ok(ReservedConnection { pool: self, stream, slot })
    }
}

impl<'a> ReservedConnection<'a> {
    /// Sends a request and reads the head of the response.
    pub async fn send(self, request: &Exchange) -> Result<Answer<'a>, ExchangeError> {
        let ReservedConnection { pool, mut stream, slot } = self;
        let broke = |e: std::io::Error| ExchangeError::Reset(e.to_string());
        stream.write_all(&request.encode(pool.address)).await.map_err(broke)?;
        stream.flush().await.map_err(broke)?;
        let mut buf = Vec::new();
        let mut end = head::HeadEnd::default();
        loop {
            let malformed = |e: head::HeadError| ExchangeError::Malformed(e.to_string());
            let read = match end.find(&buf, HEAD_BYTES).map_err(malformed)? {
                Some(_) => head::response(&buf, HEAD_BYTES, request.method == "HEAD").map_err(malformed)?,
                None => None,
            };
            if let Some((head, length)) = read {
                end = head::HeadEnd::default();
                buf.drain(..length);
                if head.status < 200 {
                    continue; // interim response: read on to the final one (RFC 9110 section 15.2)
                }
                let body = Body::new(head.framing, pool.limits().max_body_bytes);
                let body = body.map_err(|e| ExchangeError::Malformed(e.to_string()))?;
                return Ok(Answer { head, body, buf, stream, slot });
            }
            if !fill(&mut stream, &mut buf).await? {
                return Err(ExchangeError::Reset("closed before an answer".into()));
            }
        }
    }
}

async fn fill(stream: &mut Stream, buf: &mut Vec<u8>) -> Result<bool, ExchangeError> {
    let mut chunk = vec![0u8; 4096]; // on the heap, so that the future of every call in progress stays small
    let n = stream.read(&mut chunk).await.map_err(|e| ExchangeError::Reset(e.to_string()))?;
    buf.extend_from_slice(&chunk[..n]);
    Ok(n > 0)
}

/// A response whose head has been read.
pub struct Answer<'a> {
    /// The head.
    pub head: ResponseHead,
    body: Body,
    buf: Vec<u8>,
    stream: Stream,
    slot: Slot<'a>,
}

impl Answer<'_> {
    /// Reads the rest of the response.
    pub async fn read_to_end(mut self) -> Result<(ResponseHead, Vec<u8>), ExchangeError> {
        let mut body = Vec::new();
        while self.read_piece(&mut body).await? {}
        Ok((self.finish(), body))
    }

    /// Appends the next piece of the body to `out`; false at the end of the body.
    pub async fn read_piece(&mut self, out: &mut Vec<u8>) -> Result<bool, ExchangeError> {
        loop {
            let before = out.len();
            let used = self.body.decode(&self.buf, out);
            let used = used.map_err(|e| ExchangeError::Malformed(e.to_string()))?;
            self.buf.drain(..used);
            if self.body.is_done() {
                return Ok(out.len() > before);
            }
            if out.len() > before {
                return Ok(true);
            }
            if !fill(&mut self.stream, &mut self.buf).await? {
                return match self.body.on_close() {
                    true => Ok(false),
                    false => Err(ExchangeError::Reset("closed in the middle of an answer".into())),
                };
            }
        }
    }

    /// Returns the connection to the pool if it can be reused; closes it otherwise.
    pub fn finish(self) -> ResponseHead {
        let Answer { head, body, buf, stream, slot } = self;
        if body.is_done() && buf.is_empty() && head.keeps_alive && head.framing != Framing::Close {
            let idle = IdleConnection { stream, since: Instant::now() };
            slot.0.lock().idle.push(idle);
            std::mem::forget(slot); // the idle connection keeps its slot
        }
        head
    }
}
