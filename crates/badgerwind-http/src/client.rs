//! Connections to one server: pooled, bounded in number and in time. Dropping an exchange closes its connection,
//! which is how a call is called off on the wire.

use crate::body::Body;
use crate::head::{self, Framing, ResponseHead};
use crate::tls::{ClientTls, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::TcpStream;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolBounds {
    /// Connections at once, idle ones among them.
    pub most: usize,
    /// A connection not made by then has failed.
    pub connect_time: Duration,
    /// An idle connection closes after this.
    pub idle_time: Duration,
    /// Bytes of an answer's body.
    pub body_bytes: usize,
}

/// How an exchange can fail.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection could be made: nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection broke, or closed without an answer: the server may have seen the request.
    #[error("the connection broke: {0}")]
    Reset(String),
    /// An answer came that cannot be read.
    #[error("an answer that cannot be read: {0}")]
    Malformed(String),
}

/// Bytes of an answer's head.
const HEAD_BYTES: usize = 64 * 1024;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The method.
    pub method: &'static str,
    /// The target.
    pub target: String,
    /// Header lines, beside host and length.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl Exchange {
    /// The request as it goes out to a server of this address.
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
struct Idle {
    stream: Stream,
    since: Instant,
}

#[derive(Debug, Default)]
struct Inside {
    idle: Vec<Idle>,
    /// Connections that exist, idle or in use.
    open: usize,
}

/// Connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    bounds: Mutex<PoolBounds>,
    /// How connections are made from now on; `None`: as they are.
    tls: Mutex<Option<ClientTls>>,
    inside: Mutex<Inside>,
}

/// A connection on which nothing has gone out yet. Dropped, nothing will.
pub struct Way<'a> {
    pool: &'a Pool,
    stream: Stream,
    place: Place<'a>,
}

/// A connection's place in the pool; given up when it is dropped.
struct Place<'a>(&'a Pool);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

impl Pool {
    /// A pool with no connection yet.
    pub fn new(address: SocketAddr, bounds: PoolBounds) -> Self {
        Pool { address, bounds: Mutex::new(bounds), tls: Mutex::default(), inside: Mutex::default() }
    }

    /// Connections are made under TLS, or not, from now on; idle ones of before are closed.
    pub fn set_tls(&self, tls: Option<ClientTls>) {
        *self.tls.lock().unwrap_or_else(PoisonError::into_inner) = tls;
        self.close_idle();
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bounds(&self) -> PoolBounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the bounds from now on.
    pub fn set_bounds(&self, bounds: PoolBounds) {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner) = bounds;
    }

    /// Connections that exist, idle ones among them.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        let mut inside = self.lock();
        inside.open -= inside.idle.len();
        inside.idle.clear();
    }

    /// An idle connection that is still good, or a new one.
    async fn connection(&self) -> Result<(Stream, Place<'_>), ExchangeError> {
        loop {
            let idle = self.lock().idle.pop();
            let Some(Idle { mut stream, since }) = idle else { break };
            let place = Place(self);
            if since.elapsed() >= self.bounds().idle_time {
                continue;
            }
            // Readable while idle means closed, or an answer to nothing: not to be used again.
            let mut byte = [0u8; 1];
            if future::poll_once(stream.read(&mut byte)).await.is_none() {
                return Ok((stream, place));
            }
            drop(place);
        }
        let place = {
            let most = self.bounds().most;
            let mut inside = self.lock();
            if inside.open >= most {
                let text = format!("all {} connections to it are in use", most);
                return Err(ExchangeError::Connect(text));
            }
            inside.open += 1;
            Place(self)
        };
        let late = async {
            Timer::after(self.bounds().connect_time).await;
            Err(ExchangeError::Connect(std::io::Error::from(std::io::ErrorKind::TimedOut).to_string()))
        };
        let tls = self.tls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let made = async {
            let stream = badgerwind_connect::connect(self.address).await;
            let stream: TcpStream = stream.map_err(|e| ExchangeError::Connect(e.to_string()))?.into();
            let _ = stream.set_nodelay(true); // only a delay is lost where it is not to be had
            match tls {
                None => Ok(stream.into()),
                Some(tls) => tls.connect(stream).await,
            }
        };
        Ok((made.or(late).await?, place))
    }

    /// Sends a request and reads the answer whole.
    pub async fn exchange(&self, request: &Exchange) -> Result<(ResponseHead, Vec<u8>), ExchangeError> {
        self.begin(request).await?.whole().await
    }

    /// Sends a request and reads the answer's head.
    pub async fn begin(&self, request: &Exchange) -> Result<Answer<'_>, ExchangeError> {
        self.way().await?.send(request).await
    }

    /// A connection for one request, before anything of it goes out.
    pub async fn way(&self) -> Result<Way<'_>, ExchangeError> {
        let (stream, place) = self.connection().await?;
        Ok(Way { pool: self, stream, place })
    }
}

impl<'a> Way<'a> {
    /// Sends a request and reads the answer's head.
    pub async fn send(self, request: &Exchange) -> Result<Answer<'a>, ExchangeError> {
        let Way { pool, mut stream, place } = self;
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
                    continue; // RFC 9110 section 15.2: read on to the final answer
                }
                let body = Body::new(head.framing, pool.bounds().body_bytes);
                let body = body.map_err(|e| ExchangeError::Malformed(e.to_string()))?;
                return Ok(Answer { head, body, buf, stream, place });
            }
            if !fill(&mut stream, &mut buf).await? {
                return Err(ExchangeError::Reset("closed before an answer".into()));
            }
        }
    }
}

async fn fill(stream: &mut Stream, buf: &mut Vec<u8>) -> Result<bool, ExchangeError> {
    let mut piece = vec![0u8; 4096]; // on the heap: a call under way holds one
    let n = stream.read(&mut piece).await.map_err(|e| ExchangeError::Reset(e.to_string()))?;
    buf.extend_from_slice(&piece[..n]);
    Ok(n > 0)
}

/// An answer whose head has come.
pub struct Answer<'a> {
    /// Its head.
    pub head: ResponseHead,
    body: Body,
    buf: Vec<u8>,
    stream: Stream,
    place: Place<'a>,
}

impl Answer<'_> {
    /// Reads the answer to its end.
    pub async fn whole(mut self) -> Result<(ResponseHead, Vec<u8>), ExchangeError> {
        let mut body = Vec::new();
        while self.piece(&mut body).await? {}
        Ok((self.finish(), body))
    }

    /// Reads the next piece of the body into `out`; false once all of it has come.
    pub async fn piece(&mut self, out: &mut Vec<u8>) -> Result<bool, ExchangeError> {
        loop {
            let before = out.len();
            let used = self.body.take(&self.buf, out);
            let used = used.map_err(|e| ExchangeError::Malformed(e.to_string()))?;
            self.buf.drain(..used);
            if self.body.is_done() {
                return Ok(out.len() > before);
            }
            if out.len() > before {
                return Ok(true);
            }
            if !fill(&mut self.stream, &mut self.buf).await? {
                return match self.body.closed() {
                    true => Ok(false),
                    false => Err(ExchangeError::Reset("closed in the middle of an answer".into())),
                };
            }
        }
    }

    /// Gives the connection back where it can be used again.
    pub fn finish(self) -> ResponseHead {
        let Answer { head, body, buf, stream, place } = self;
        if body.is_done() && buf.is_empty() && head.keeps_alive && head.framing != Framing::Close {
            let idle = Idle { stream, since: Instant::now() };
            place.0.lock().idle.push(idle);
            std::mem::forget(place); // its place stays taken
        }
        head
    }
}
