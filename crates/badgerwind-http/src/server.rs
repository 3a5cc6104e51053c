//! The server side of one connection. Requests are read and answered one after another, so that pipelined
//! requests are answered in order. Data that a client sends ahead stays in a bounded buffer, and beyond that
//! in the socket.

use crate::body::{Body, BodyError};
use crate::head::{self, HeadError, RequestHead};
use futures_lite::{future, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use smol::Timer;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Limits on what a client may send and on how long it may take.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest size of a head in bytes.
    pub max_head_bytes: usize,
    /// Largest number of header lines in a head; at most [`head::MAX_HEADERS`], 128.
    pub max_headers: usize,
    /// How long a head may take, from its first byte to its last.
    pub head_timeout: Duration,
    /// Largest size of a body in bytes.
    pub max_body_bytes: usize,
    /// How long a body may take, from the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// How long a connection may be idle, from a response to the first byte of the next head.
    pub idle_timeout: Duration,
    /// How long writing a response may take, for clients that do not read.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: 16 * 1024,
            max_headers: 64,
            head_timeout: Duration::from_secs(5),
            max_body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Why a connection has to be closed.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The head was rejected.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The body was rejected.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// A part of the exchange exceeded its time limit.
    #[error("the {0} took too long")]
    TooSlow(&'static str),
    /// The client closed the connection in the middle of a message.
    #[error("the client closed in the middle of a message")]
    Closed,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
}

impl ServeError {
    /// The status to respond with before closing the connection; `None` if the client can no longer receive a
    /// response.
    pub fn status(&self) -> Option<u16> {
        match self {
            ServeError::Head(e) => Some(e.status()),
            ServeError::Body(BodyError::TooLong { .. }) => Some(413),
            ServeError::Body(BodyError::Chunk(_)) => Some(400),
            ServeError::TooSlow("head" | "body") => Some(408),
            ServeError::TooSlow(_) | ServeError::Closed | ServeError::Io(_) => None,
        }
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Header lines other than those for framing and for the connection.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl Response {
    /// A response with a body; an empty content type adds no header.
    pub fn new(status: u16, content_type: &str, body: impl Into<Arc<[u8]>>) -> Self {
        let headers = match content_type {
            "" => Vec::new(),
            t => vec![("content-type", t.to_owned())],
        };
        Response { status, headers, body: body.into() }
    }
    /// Adds a header line.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
    /// The response as sent; `keep_alive` tells whether the connection stays open after it.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let head = head_bytes(self.status, &self.headers, Some(self.body.len()), keep_alive);
        [&head[..], &self.body].concat()
    }
}

/// Bytes per read while a message arrives.
const READ_BYTES: usize = 16 * 1024;
/// Bytes per read while no message is expected; small, since each idle connection holds such a buffer.
const IDLE_READ_BYTES: usize = 1024;

/// How long a closing connection continues to read.
const LINGER: Duration = Duration::from_millis(500);
/// How many bytes a closing connection reads at most.
const LINGER_BYTES: usize = 256 * 1024;

/// The reason phrase of a status (RFC 9110 section 15, RFC 6585).
pub fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// The server side of a connection.
#[derive(Debug)]
pub struct Conn<S> {
    stream: S,
    buf: Vec<u8>,
    limits: Arc<Limits>,
}

async fn within<T>(
    time: Duration,
    what: &'static str,
    work: impl Future<Output = Result<T, ServeError>>,
) -> Result<T, ServeError> {
    let timeout = async {
        Timer::after(time).await;
        Err(ServeError::TooSlow(what))
    };
    work.or(timeout).await
}

impl<S: AsyncRead + AsyncWrite + Unpin> Conn<S> {
    /// Wraps a connection that was just accepted.
    pub fn new(stream: S, limits: Arc<Limits>) -> Self {
        Conn { stream, buf: Vec::new(), limits }
    }

    /// Reads up to `max_bytes` more bytes into the buffer; false at the end of the stream. The read goes
    /// through a temporary buffer, so that a cancelled read leaves the connection's buffer unchanged. Callers
    /// pass a small size while nothing is expected, since each idle connection holds one such buffer.
    async fn fill(&mut self, max_bytes: usize) -> io::Result<bool> {
        let mut chunk = vec![0u8; max_bytes];
        let n = self.stream.read(&mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Waits for the next request's head. `None` if the client closed the connection, or exceeded the idle
    /// time, between requests.
    pub async fn head(&mut self) -> Result<Option<RequestHead>, ServeError> {
        let limits = self.limits.clone();
        if self.buf.is_empty() {
            let first =
                within(limits.idle_timeout, "next request", async { Ok(self.fill(IDLE_READ_BYTES).await?) })
                    .await;
            match first {
                Ok(true) => {}
                Ok(false) | Err(ServeError::TooSlow(_)) => return Ok(None),
                Err(e) => return Err(e),
            }
        }
        within(limits.head_timeout, "head", async {
            let mut end = head::HeadEnd::default();
            loop {
                // Empty lines before a request line are ignored (RFC 9112 section 2.2).
                while self.buf.starts_with(b"\r\n") {
                    self.buf.drain(..2);
                    end = head::HeadEnd::default();
                }
                if end.find(&self.buf, limits.max_head_bytes)?.is_some() {
                    if let Some((head, length)) =
                        head::request(&self.buf, limits.max_head_bytes, limits.max_headers)?
                    {
                        self.buf.drain(..length);
                        return Ok(Some(head));
                    }
                }
                if !self.fill(READ_BYTES).await? {
                    return if self.buf.is_empty() { Ok(None) } else { Err(ServeError::Closed) };
                }
            }
        })
        .await
    }

    /// Reads the body of the request whose head was read last. Sends `100 Continue` first if the client waits
    /// for it.
    pub async fn body(&mut self, head: &RequestHead) -> Result<Vec<u8>, ServeError> {
        let limits = self.limits.clone();
        let mut body = Body::new(head.framing, limits.max_body_bytes)?;
        let mut out = Vec::new();
        within(limits.body_timeout, "body", async {
            if head.expects_continue() && !body.is_done() && self.buf.is_empty() {
                self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                self.stream.flush().await?;
            }
            loop {
                let used = body.decode(&self.buf, &mut out)?;
                self.buf.drain(..used);
                if body.is_done() {
                    return Ok(());
                }
                if !self.fill(READ_BYTES).await? {
                    return Err(ServeError::Closed);
                }
            }
        })
        .await?;
        Ok(out)
    }

    /// Returns when the client has closed the connection or it broke. Data that the client sends ahead is
    /// read up to the limit on a head; anything beyond stays in the socket, and a close after it is not
    /// noticed until that is read.
    pub async fn closed(&mut self) {
        while self.buf.len() < self.limits.max_head_bytes {
            if !matches!(self.fill(IDLE_READ_BYTES).await, Ok(true)) {
                return;
            }
        }
        future::pending().await
    }

    /// Writes a response; `keep_alive` tells whether the connection stays open after it.
    pub async fn respond(&mut self, response: &Response, keep_alive: bool) -> Result<(), ServeError> {
        self.write(&response.encode(keep_alive)).await // a single write, so that small responses are one segment
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), ServeError> {
        within(self.limits.write_timeout, "answer's writing", async {
            self.stream.write_all(bytes).await?;
            Ok(self.stream.flush().await?) // TLS may buffer bytes until the flush
        })
        .await
    }

    /// Writes the head of a chunked response, whose length is not known.
    pub async fn respond_streaming(
        &mut self,
        status: u16,
        headers: &[(&'static str, String)],
        keep_alive: bool,
    ) -> Result<(), ServeError> {
        let head = head_bytes(status, headers, None, keep_alive);
        self.write(&head).await
    }

    /// Writes a chunk of a streamed response; an empty one ends the response.
    pub async fn chunk(&mut self, piece: &[u8]) -> Result<(), ServeError> {
        let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
        self.write(&bytes).await
    }

    /// Closes the writing side, then continues to read for a short time: closing with unread bytes would
    /// reset the connection, and the client could lose the last response (RFC 9112 section 9.6).
    pub async fn close(mut self) {
        if self.stream.close().await.is_err() {
            return;
        }
        let linger = async {
            let (mut chunk, mut remaining) = ([0u8; 4096], LINGER_BYTES);
            while let Ok(n @ 1..) = self.stream.read(&mut chunk).await {
                remaining = remaining.saturating_sub(n);
                if remaining == 0 {
                    break;
                }
            }
        };
        let timeout = async {
            Timer::after(LINGER).await;
        };
        linger.or(timeout).await;
    }
}

fn head_bytes(
    status: u16,
    headers: &[(&'static str, String)],
    length: Option<usize>,
    keep_alive: bool,
) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        // Control characters are replaced, so that external input in a value cannot add header lines.
        let sanitize = |c: char| if c.is_control() { ' ' } else { c };
        head.extend([name, ": "]);
        head.extend(value.chars().map(sanitize));
        head.push_str("\r\n");
    }
    match length {
        Some(n) => head.push_str(&format!("content-length: {n}\r\n")),
        None => head.push_str("transfer-encoding: chunked\r\n"),
    }
    if !keep_alive {
        head.push_str("connection: close\r\n");
    }
    head.push_str("\r\n");
    head.into_bytes()
}
