//! Decoding of message bodies: by content length, chunked, or ended by the close of the connection.

use crate::Framing;

/// Why a body is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[error("the body is longer than {max_bytes} bytes")]
    TooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// A chunk's size line or end violates RFC 9112 section 7.1.
    #[error("malformed chunk: {0}")]
    Chunk(&'static str),
}

/// What the decoder expects next.
#[derive(Debug)]
enum State {
    /// The remaining bytes of a body with a content length.
    Counted(u64),
    /// A chunk's size line.
    Size,
    /// The remaining bytes of a chunk.
    Chunk(u64),
    /// The CR LF after a chunk.
    ChunkEnd,
    /// Trailer lines, of which this many bytes were read.
    Trailer(usize),
    UntilClose,
    Done,
}

/// An incremental decoder of one body.
#[derive(Debug)]
pub struct Body {
    state: State,
    max_bytes: usize,
    decoded: usize,
}

/// Largest length in bytes of a chunk's size line with its extensions.
const MAX_SIZE_LINE: usize = 256;
/// Largest size in bytes of the trailers, which are read and discarded (RFC 9110 section 6.5.1).
const MAX_TRAILER_BYTES: usize = 4096;

impl Body {
    /// A decoder for a body with this framing and at most `max_bytes` bytes. Fails at once if the content
    /// length exceeds the limit.
    pub fn new(framing: Framing, max_bytes: usize) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(n) if n > max_bytes as u64 => return Err(BodyError::TooLong { max_bytes }),
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Counted(n),
            Framing::Chunked => State::Size,
            Framing::Close => State::UntilClose,
        };
        Ok(Body { state, max_bytes, decoded: 0 })
    }

    /// True once the body is complete.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Reports that the connection was closed; returns true if the body is complete.
    pub fn on_close(&mut self) -> bool {
        if matches!(self.state, State::UntilClose) {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Decodes as much of `input` as possible and appends the body's bytes to `out`. Returns the number of
    /// bytes consumed.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, BodyError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match &mut self.state {
                State::Done => return Ok(used),
                State::Counted(left) | State::Chunk(left) => {
                    let n = (rest.len() as u64).min(*left) as usize;
                    out.extend_from_slice(&rest[..n]);
                    (used, self.decoded) = (used + n, self.decoded + n);
                    *left -= n as u64;
                    if *left > 0 {
                        return Ok(used);
                    }
                    let in_chunk = matches!(self.state, State::Chunk(_));
                    self.state = if in_chunk { State::ChunkEnd } else { State::Done };
                }
                State::UntilClose => {
                    if self.decoded + rest.len() > self.max_bytes {
                        return Err(BodyError::TooLong { max_bytes: self.max_bytes });
                    }
                    out.extend_from_slice(rest);
                    self.decoded += rest.len();
                    return Ok(input.len());
                }
                State::Size => {
                    let Some((line, n)) = line(rest, MAX_SIZE_LINE)? else { return Ok(used) };
                    used += n;
                    let size = size(line)?;
                    if size > (self.max_bytes - self.decoded) as u64 {
                        return Err(BodyError::TooLong { max_bytes: self.max_bytes });
                    }
                    self.state = if size == 0 { State::Trailer(0) } else { State::Chunk(size) };
                }
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => (used, self.state) = (used + 2, State::Size),
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err(BodyError::Chunk("a chunk must end in CR LF")),
                },
                State::Trailer(seen) => {
                    let Some((line, n)) = line(rest, MAX_TRAILER_BYTES)? else { return Ok(used) };
                    (used, *seen) = (used + n, *seen + n);
                    if *seen > MAX_TRAILER_BYTES {
                        return Err(BodyError::Chunk("too long a trailer"));
                    }
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }
}

/// The first line without its CR LF, and its length including the CR LF; `None` if the line is incomplete.
fn line(rest: &[u8], max_bytes: usize) -> Result<Option<(&[u8], usize)>, BodyError> {
    let Some(at) = rest.iter().position(|&b| b == b'\n') else {
        return if rest.len() > max_bytes { Err(BodyError::Chunk("too long a line")) } else { Ok(None) };
    };
    match rest[..at].strip_suffix(b"\r") {
        Some(line) if at <= max_bytes && !line.contains(&b'\r') => Ok(Some((line, at + 1))),
        Some(_) => Err(BodyError::Chunk("too long a line, or a bare CR")),
        None => Err(BodyError::Chunk("a line must end in CR LF")),
    }
}

/// Parses a chunk's hexadecimal size; extensions are ignored (RFC 9112 section 7.1.1).
fn size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|&b| b == b';').next().unwrap_or(b"");
    let digits = digits.trim_ascii_end();
    let hex = std::str::from_utf8(digits)
        .ok()
        .filter(|d| (1..=15).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_hexdigit()));
    hex.and_then(|d| u64::from_str_radix(d, 16).ok()).ok_or(BodyError::Chunk("its size must be hexadecimal"))
}
