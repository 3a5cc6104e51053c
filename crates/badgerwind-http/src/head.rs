//! Message heads: parsed by httparse, then checked for ambiguities.

/// Why a head is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head exceeds the limit on bytes.
    #[error("the head is longer than {max_bytes} bytes")]
    TooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// The head exceeds the limit on header lines.
    #[error("the head has more than {max_lines} header lines")]
    TooMany {
        /// The limit.
        max_lines: usize,
    },
    /// The head is not well-formed HTTP/1.x.
    #[error("malformed head: {0}")]
    Malformed(&'static str),
    /// A transfer coding other than `chunked` alone.
    #[error("no transfer coding but chunked is understood")]
    TransferCoding,
}

impl HeadError {
    /// The status of the response (RFC 6585 section 5, RFC 9112 section 6.1).
    pub fn status(&self) -> u16 {
        match self {
            HeadError::TooLong { .. } | HeadError::TooMany { .. } => 431,
            HeadError::Malformed(_) => 400,
            HeadError::TransferCoding => 501,
        }
    }
}

/// Header lines in order of receipt, with names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of a header; `None` if it is missing or repeated.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut all = self.0.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let first = all.next()?;
        all.next().is_none().then_some(first)
    }
    /// All values of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// All header lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }
    /// Whether a comma-separated list header contains a token, ignoring case.
    pub fn list_contains(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// How a message's body ends (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the close of the connection; responses only.
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
    /// Whether the connection may be reused (RFC 9112 section 9.3).
    pub fn keeps_alive(&self) -> bool {
        self.http11 && !self.headers.list_contains("connection", "close")
    }
    /// Whether the client waits for status 100 before it sends the body (RFC 9110 section 10.1.1).
    pub fn expects_continue(&self) -> bool {
        self.http11 && self.headers.get("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
    }
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The header lines.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may be reused.
    pub keeps_alive: bool,
}

/// Largest number of header lines that any limit permits.
pub const MAX_HEADERS: usize = 128;

/// Finds the end of a head that arrives in pieces, and checks that every line ends in CR LF: some
/// implementations accept a bare CR or LF as a line end and others do not (RFC 9112 section 2.2). Each byte
/// is examined once, however small the pieces are, so that a head sent byte by byte does not take quadratic
/// time.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadEnd {
    /// Number of bytes examined.
    seen: usize,
}

impl HeadEnd {
    /// Examines the new bytes at the end of `bytes`, which must start with the bytes of the previous call.
    /// Returns the head's length once the head is complete, `None` before that.
    pub fn find(&mut self, bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, HeadError> {
        while self.seen < bytes.len().min(max_bytes) {
            let n = self.seen;
            let bare = match bytes[n] {
                b'\n' => n == 0 || bytes[n - 1] != b'\r',
                b'\r' => match bytes.get(n + 1) {
                    // The next byte has not arrived yet.
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
        if bytes.len() < max_bytes {
            Ok(None)
        } else {
            Err(HeadError::TooLong { max_bytes })
        }
    }
}

fn end(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, HeadError> {
    HeadEnd::default().find(bytes, max_bytes)
}

fn head_error(e: httparse::Error, max_lines: usize) -> HeadError {
    match e {
        httparse::Error::TooManyHeaders => HeadError::TooMany { max_lines },
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
        // Visible ASCII, spaces and tabs only: implementations differ on other bytes (RFC 9110 section 5.5).
        let value = std::str::from_utf8(line.value).ok().filter(|v| v.is_ascii());
        let value = value.ok_or(HeadError::Malformed("a header value must be ASCII"))?;
        all.push((line.name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Headers(all))
}

/// The framing that the headers declare, if it is unambiguous (RFC 9112 sections 6.1 to 6.3); `None` without
/// any.
fn declared_framing(headers: &Headers, http11: bool) -> Result<Option<Framing>, HeadError> {
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
        (Some(_), None) => Err(HeadError::TransferCoding),
        (None, Some(l)) => {
            let digits = !l.is_empty() && l.bytes().all(|b| b.is_ascii_digit());
            let length = l.parse().ok().filter(|_| digits);
            let length = length.ok_or(HeadError::Malformed("content-length must be one whole number"))?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

/// Parses a request's head at the start of `bytes`. Returns the head and its length, `None` if it is
/// incomplete.
pub fn request(
    bytes: &[u8],
    max_bytes: usize,
    max_lines: usize,
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let Some(length) = end(bytes, max_bytes)? else { return Ok(None) };
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let max_lines = max_lines.min(MAX_HEADERS);
    let mut parsed = httparse::Request::new(&mut space[..max_lines]);
    parsed.parse(&bytes[..length]).map_err(|e| head_error(e, max_lines))?;
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
        return Err(HeadError::Malformed("the first line"));
    };
    let headers = headers(parsed.headers)?;
    let http11 = version == 1;
    if http11 && headers.get("host").is_none() {
        return Err(HeadError::Malformed("one host header, and one only")); // RFC 9112 section 3.2
    }
    // Origin form, or absolute form, which a server must also accept (RFC 9112 section 3.2.2).
    let target = match target.strip_prefix("http://") {
        Some(rest) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    if !target.starts_with('/') && target != "*" {
        return Err(HeadError::Malformed("the target must start with a slash"));
    }
    let framing = declared_framing(&headers, http11)?.unwrap_or(Framing::Length(0));
    let (method, target) = (method.to_owned(), target.to_owned());
    Ok(Some((RequestHead { method, target, http11, headers, framing }, length)))
}

/// Parses a response's head; `to_head` tells that the request was a HEAD.
pub fn response(
    bytes: &[u8],
    max_bytes: usize,
    to_head: bool,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let Some(length) = end(bytes, max_bytes)? else { return Ok(None) };
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    parsed.parse(&bytes[..length]).map_err(|e| head_error(e, MAX_HEADERS))?;
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(HeadError::Malformed("the first line"));
    };
    let headers = headers(parsed.headers)?;
    let http11 = version == 1;
    let declared = declared_framing(&headers, http11)?;
    let bodiless = to_head || status < 200 || status == 204 || status == 304;
    let framing = if bodiless { Framing::Length(0) } else { declared.unwrap_or(Framing::Close) };
    let keeps_alive = http11 && framing != Framing::Close && !headers.list_contains("connection", "close");
    Ok(Some((ResponseHead { status, headers, framing, keeps_alive }, length)))
}
