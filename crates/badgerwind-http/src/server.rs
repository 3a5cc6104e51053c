//! One connection of a client. Requests are read and answered one after another, so that pipelined ones are
//! answered in order; what a client sends ahead waits in a bounded buffer and then in its own socket.

use crate::body::{Body, BodyError};
use crate::head::{self, HeadError, RequestHead};
use futures_lite::{future, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use smol::Timer;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Bounds on what a client may send and how long it may take.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Header lines of a head, 128 at most.
    pub headers: usize,
    /// From a head's first byte to its last.
    pub head_time: Duration,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// From a head's end to the body's.
    pub body_time: Duration,
    /// From an answer to the next head's first byte.
    pub idle_time: Duration,
    /// For writing an answer to a client that does not read.
    pub write_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 * 1024,
            headers: 64,
            head_time: Duration::from_secs(5),
            body_bytes: 1024 * 1024,
            body_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
            write_time: Duration::from_secs(10),
        }
    }
}

/// Why a connection cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The head was refused.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The body was refused.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// A part took too long.
    #[error("the {0} took too long")]
    TooSlow(&'static str),
    /// The client left in the middle.
    #[error("the client closed in the middle of a message")]
    Closed,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
}

impl ServeError {
    /// The answer that this deserves before the connection closes; `None` where nobody is left to read it.
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

/// An answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Header lines, beside the length and the connection's.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl Response {
    /// An answer with a body of some type; no type, no header.
    pub fn new(status: u16, content_type: &str, body: impl Into<Arc<[u8]>>) -> Self {
        let headers = match content_type {
            "" => Vec::new(),
            t => vec![("content-type", t.to_owned())],
        };
        Response { status, headers, body: body.into() }
    }
    /// With one more header line.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
    /// The answer as it goes out; `keep`: the connection goes on after it.
    pub fn encode(&self, keep: bool) -> Vec<u8> {
        let head = head_bytes(self.status, &self.headers, Some(self.body.len()), keep);
        [&head[..], &self.body].concat()
    }
}

/// Bytes read at once: while a message comes, and while none may.
const PIECE: usize = 16 * 1024;
const IDLE_PIECE: usize = 1024;

/// How long, and for how many bytes, a closing connection reads on.
const LINGER: Duration = Duration::from_millis(500);
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

/// A connection.
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
    let late = async {
        Timer::after(time).await;
        Err(ServeError::TooSlow(what))
    };
    work.or(late).await
}

impl<S: AsyncRead + AsyncWrite + Unpin> Conn<S> {
    /// A connection just accepted.
    pub fn new(stream: S, limits: Arc<Limits>) -> Self {
        Conn { stream, buf: Vec::new(), limits }
    }

    /// Reads more into the buffer; false at the end of the stream. What is read goes through a piece of its own, so
    /// that a read given up halfway leaves the buffer as it was; a small one while nothing is expected, since each
    /// idle connection holds one.
    async fn fill(&mut self, most: usize) -> io::Result<bool> {
        let mut piece = vec![0u8; most];
        let n = self.stream.read(&mut piece).await?;
        self.buf.extend_from_slice(&piece[..n]);
        Ok(n > 0)
    }

    /// Waits for the next request's head. `None`: the client has closed, or was idle for long, between requests.
    pub async fn head(&mut self) -> Result<Option<RequestHead>, ServeError> {
        let limits = self.limits.clone();
        if self.buf.is_empty() {
            let first =
                within(limits.idle_time, "next request", async { Ok(self.fill(IDLE_PIECE).await?) }).await;
            match first {
                Ok(true) => {}
                Ok(false) | Err(ServeError::TooSlow(_)) => return Ok(None),
                Err(e) => return Err(e),
            }
        }
        within(limits.head_time, "head", async {
            let mut end = head::HeadEnd::default();
            loop {
                // Empty lines before a request line are passed over (RFC 9112 section 2.2).
                while self.buf.starts_with(b"\r\n") {
                    self.buf.drain(..2);
                    end = head::HeadEnd::default();
                }
                if end.find(&self.buf, limits.head_bytes)?.is_some() {
                    if let Some((head, length)) = head::request(&self.buf, limits.head_bytes, limits.headers)?
                    {
                        self.buf.drain(..length);
                        return Ok(Some(head));
                    }
                }
                if !self.fill(PIECE).await? {
                    return if self.buf.is_empty() { Ok(None) } else { Err(ServeError::Closed) };
                }
            }
        })
        .await
    }

    /// Reads the body of the request whose head came last. The client is told to go on where it waits for that.
    pub async fn body(&mut self, head: &RequestHead) -> Result<Vec<u8>, ServeError> {
        let limits = self.limits.clone();
        let mut body = Body::new(head.framing, limits.body_bytes)?;
        let mut out = Vec::new();
        within(limits.body_time, "body", async {
            if head.expects_continue() && !body.is_done() && self.buf.is_empty() {
                self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                self.stream.flush().await?;
            }
            loop {
                let used = body.take(&self.buf, &mut out)?;
                self.buf.drain(..used);
                if body.is_done() {
                    return Ok(());
                }
                if !self.fill(PIECE).await? {
                    return Err(ServeError::Closed);
                }
            }
        })
        .await?;
        Ok(out)
    }

    /// Ends when the client has closed or the connection broke. What a client sends ahead is read up to one head's
    /// bound; beyond that it is left in the socket, and a close behind it shows only later.
    pub async fn gone(&mut self) {
        while self.buf.len() < self.limits.head_bytes {
            if !matches!(self.fill(IDLE_PIECE).await, Ok(true)) {
                return;
            }
        }
        future::pending().await
    }

    /// Writes an answer; `keep`: the connection goes on after it.
    pub async fn respond(&mut self, response: &Response, keep: bool) -> Result<(), ServeError> {
        self.write(&response.encode(keep)).await // one segment where it fits
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), ServeError> {
        within(self.limits.write_time, "answer's writing", async {
            self.stream.write_all(bytes).await?;
            Ok(self.stream.flush().await?) // TLS keeps bytes back until then
        })
        .await
    }

    /// Begins an answer whose length is not known: chunked.
    pub async fn respond_streaming(
        &mut self,
        status: u16,
        headers: &[(&'static str, String)],
        keep: bool,
    ) -> Result<(), ServeError> {
        let head = head_bytes(status, headers, None, keep);
        self.write(&head).await
    }

    /// Writes a piece of a streamed answer; an empty one ends it.
    pub async fn chunk(&mut self, piece: &[u8]) -> Result<(), ServeError> {
        let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
        self.write(&bytes).await
    }

    /// Closes the writing side, then reads on for a moment: a close with bytes unread would reset the connection
    /// and could take the last answer with it (RFC 9112 section 9.6).
    pub async fn close(mut self) {
        if self.stream.close().await.is_err() {
            return;
        }
        let linger = async {
            let (mut piece, mut left) = ([0u8; 4096], LINGER_BYTES);
            while let Ok(n @ 1..) = self.stream.read(&mut piece).await {
                left = left.saturating_sub(n);
                if left == 0 {
                    break;
                }
            }
        };
        let late = async {
            Timer::after(LINGER).await;
        };
        linger.or(late).await;
    }
}

fn head_bytes(status: u16, headers: &[(&'static str, String)], length: Option<usize>, keep: bool) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        // A value never ends its own line: what came from outside must not write headers.
        let clean = |c: char| if c.is_control() { ' ' } else { c };
        head.extend([name, ": "]);
        head.extend(value.chars().map(clean));
        head.push_str("\r\n");
    }
    match length {
        Some(n) => head.push_str(&format!("content-length: {n}\r\n")),
        None => head.push_str("transfer-encoding: chunked\r\n"),
    }
    if !keep {
        head.push_str("connection: close\r\n");
    }
    head.push_str("\r\n");
    head.into_bytes()
}
