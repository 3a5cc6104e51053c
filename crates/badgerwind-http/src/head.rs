//! Message heads: parsed by httparse, then held to one reading.

/// What is wrong with a head. Each says what would be right.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// Beyond the limit on bytes.
    #[error("the head is longer than {most} bytes")]
    TooLong {
        /// The limit.
        most: usize,
    },
    /// Beyond the limit on header lines.
    #[error("the head has more than {most} header lines")]
    TooMany {
        /// The limit.
        most: usize,
    },
    /// Not HTTP/1.x at all.
    #[error("malformed head: {0}")]
    Malformed(&'static str),
    /// A transfer coding other than `chunked` alone.
    #[error("no transfer coding but chunked is understood")]
    Coding,
}

impl HeadError {
    /// The status that answers it (RFC 6585 section 5, RFC 9112 section 6.1).
    pub fn status(&self) -> u16 {
        match self {
            HeadError::TooLong { .. } | HeadError::TooMany { .. } => 431,
            HeadError::Malformed(_) => 400,
            HeadError::Coding => 501,
        }
    }
}

/// Header lines, names in lower case, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of a header that stands once; `None` where it is missing or repeated.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut all = self.0.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let first = all.next()?;
        all.next().is_none().then_some(first)
    }
    /// Every value of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// All lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }
    /// Whether a comma-separated list header holds a word, whatever its case.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }
}

/// How a message's body ends (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// With the connection; answers only.
    Close,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The target in origin form, with its query.
    pub target: String,
    /// False for HTTP/1.0.
    pub http11: bool,
    /// The header lines.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
}

impl RequestHead {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    /// Whether the connection may be used again (RFC 9112 section 9.3).
    pub fn keeps_alive(&self) -> bool {
        self.http11 && !self.headers.lists("connection", "close")
    }
    /// Whether the client waits for a word before it sends the body (RFC 9110 section 10.1.1).
    pub fn expects_continue(&self) -> bool {
        self.http11 && self.headers.get("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
    }
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The header lines.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub keeps_alive: bool,
}

/// Header lines that a head may have, at the most that any limit allows.
pub const MOST_HEADERS: usize = 128;

/// Looks for the end of a head as it comes, and that every line in it ends in CR LF: a bare CR or LF is a line end to
/// some and none to others (RFC 9112 section 2.2). Each byte is looked at once, however small the pieces are in which
/// a head comes: a sender of single bytes must not cost the square of what it sends.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadEnd {
    /// Bytes looked at.
    seen: usize,
}

impl HeadEnd {
    /// Looks at what is new in `bytes`, which holds what it held before and perhaps more. The head's length once it is
    /// whole, `None` while it is not.
    pub fn find(&mut self, bytes: &[u8], most: usize) -> Result<Option<usize>, HeadError> {
        while self.seen < bytes.len().min(most) {
            let n = self.seen;
            let bare = match bytes[n] {
                b'\n' => n == 0 || bytes[n - 1] != b'\r',
                b'\r' => match bytes.get(n + 1) {
                    // What follows it has not come yet.
                    None => break,
                    Some(next) => *next != b'\n',
                },
                0 => return Err(HeadError::Malformed("a NUL byte")),
                _ => false,
            };
            if bare {
                return Err(HeadError::Malformed("a line must end in CR LF, and neither may stand alone"));
            }
            self.seen = n + 1;
            if bytes[..=n].ends_with(b"\r\n\r\n") {
                return Ok(Some(n + 1));
            }
        }
        if bytes.len() < most {
            Ok(None)
        } else {
            Err(HeadError::TooLong { most })
        }
    }
}

fn end(bytes: &[u8], most: usize) -> Result<Option<usize>, HeadError> {
    HeadEnd::default().find(bytes, most)
}

fn refused(e: httparse::Error, most: usize) -> HeadError {
    match e {
        httparse::Error::TooManyHeaders => HeadError::TooMany { most },
        httparse::Error::HeaderName => HeadError::Malformed("a header name"),
        httparse::Error::HeaderValue => HeadError::Malformed("a header value"),
        httparse::Error::NewLine => HeadError::Malformed("a line end"),
        httparse::Error::Status => HeadError::Malformed("the status"),
        httparse::Error::Token => HeadError::Malformed("the first line"),
        httparse::Error::Version => HeadError::Malformed("the version must be HTTP/1.1 or HTTP/1.0"),
    }
}

fn headers(lines: &[httparse::Header<'_>]) -> Result<Headers, HeadError> {
    let mut all = Vec::with_capacity(lines.len());
    for line in lines {
        // Visible ASCII, spaces and tabs: anything else is read differently here and there (RFC 9110 section 5.5).
        let value = std::str::from_utf8(line.value).ok().filter(|v| v.is_ascii());
        let value = value.ok_or(HeadError::Malformed("a header value must be ASCII"))?;
        all.push((line.name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Headers(all))
}

/// The length or coding that a message states, held to one reading (RFC 9112 sections 6.1 to 6.3).
fn stated(headers: &Headers, http11: bool) -> Result<Option<Framing>, HeadError> {
    let (mut codings, mut lengths) = (headers.all("transfer-encoding"), headers.all("content-length"));
    let (coding, length) = (codings.next(), lengths.next());
    if lengths.next().is_some() {
        return Err(HeadError::Malformed("content-length stands more than once"));
    }
    match (coding, length) {
        (Some(_), Some(_)) => Err(HeadError::Malformed("content-length beside transfer-encoding")),
        (Some(_), None) if !http11 => Err(HeadError::Malformed("transfer-encoding in HTTP/1.0")),
        (Some(c), None) if codings.next().is_none() && c.eq_ignore_ascii_case("chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Some(_), None) => Err(HeadError::Coding),
        (None, Some(l)) => {
            let digits = !l.is_empty() && l.bytes().all(|b| b.is_ascii_digit());
            let length = l.parse().ok().filter(|_| digits);
            let length = length.ok_or(HeadError::Malformed("content-length must be one whole number"))?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

/// Reads a request's head from the front of `bytes`: the head and its length, `None` where more must come.
pub fn request(
    bytes: &[u8],
    most_bytes: usize,
    most_lines: usize,
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let Some(length) = end(bytes, most_bytes)? else { return Ok(None) };
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let most = most_lines.min(MOST_HEADERS);
    let mut parsed = httparse::Request::new(&mut space[..most]);
    parsed.parse(&bytes[..length]).map_err(|e| refused(e, most))?;
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
        return Err(HeadError::Malformed("the first line"));
    };
    let headers = headers(parsed.headers)?;
    let http11 = version == 1;
    if http11 && headers.get("host").is_none() {
        return Err(HeadError::Malformed("one host header, and one only")); // RFC 9112 section 3.2
    }
    // Origin form, or absolute form, which a server must take as well (RFC 9112 section 3.2.2).
    let target = match target.strip_prefix("http://") {
        Some(rest) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    if !target.starts_with('/') && target != "*" {
        return Err(HeadError::Malformed("the target must start with a slash"));
    }
    let framing = stated(&headers, http11)?.unwrap_or(Framing::Length(0));
    let (method, target) = (method.to_owned(), target.to_owned());
    Ok(Some((RequestHead { method, target, http11, headers, framing }, length)))
}

/// Reads an answer's head; `to_head` where the request was a HEAD.
pub fn response(
    bytes: &[u8],
    most_bytes: usize,
    to_head: bool,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let Some(length) = end(bytes, most_bytes)? else { return Ok(None) };
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    parsed.parse(&bytes[..length]).map_err(|e| refused(e, MOST_HEADERS))?;
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(HeadError::Malformed("the first line"));
    };
    let headers = headers(parsed.headers)?;
    let http11 = version == 1;
    let stated = stated(&headers, http11)?;
    let bodiless = to_head || status < 200 || status == 204 || status == 304;
    let framing = if bodiless { Framing::Length(0) } else { stated.unwrap_or(Framing::Close) };
    let keeps_alive = http11 && framing != Framing::Close && !headers.lists("connection", "close");
    Ok(Some((ResponseHead { status, headers, framing, keeps_alive }, length)))
}
