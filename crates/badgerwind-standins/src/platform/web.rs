//! A web server's FastCGI connection to a front end.

use super::{read_with_timeout, TIMEOUT};
use badgerwind_platform::fcgi::{self, Decoder};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};

/// A received answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// FastCGI id of the request.
    pub number: u16,
    /// CGI status; 0 if there was none.
    pub status: u16,
    /// `Srv-Wait-Ms`, if present.
    pub retry_after_ms: Option<u64>,
    /// Body.
    pub body: Vec<u8>,
    /// FastCGI protocol status of the end record.
    pub protocol_status: u8,
}

/// The contents of a request; a test changes the fields that matter to it.
#[derive(Clone, Debug)]
pub struct WebRequest {
    /// `Req-Id`.
    pub id: String,
    /// Class of the call.
    pub class: String,
    /// `Req-Key`.
    pub key: String,
    /// `Req-Wait-Ms`.
    pub wait_ms: u64,
    /// Body.
    pub body: Vec<u8>,
}

impl WebRequest {
    /// A request of class `look`, with an id and a body derived from `n`.
    pub fn new(n: u64) -> WebRequest {
        WebRequest {
            id: format!("{n:016x}"),
            class: "look".into(),
            key: "7f3a9c21e0b4d655".into(),
            wait_ms: 3000,
            body: format!("body {n}").into_bytes(),
        }
    }

    /// Encodes the FastCGI records of the request.
    pub fn records(&self, number: u16) -> Vec<u8> {
        let (mut out, mut params) = (Vec::new(), Vec::new());
        for (name, value) in [
            ("SCRIPT_NAME", format!("/api/v2/{}", self.class)),
            ("HTTP_REQ_ID", self.id.clone()),
            ("HTTP_REQ_KEY", self.key.clone()),
            ("HTTP_REQ_OWNER", "acme".into()),
            ("HTTP_REQ_WAIT_MS", self.wait_ms.to_string()),
            ("HTTP_X_ATTRS", "memory_mb:512;lanes:4;load_ms:100".into()),
        ] {
            fcgi::write_pair(&mut params, name.as_bytes(), value.as_bytes());
        }
        fcgi::write_record(&mut out, fcgi::BEGIN_REQUEST, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
        fcgi::write_stream(&mut out, fcgi::PARAMS, number, &params);
        fcgi::write_stream(&mut out, fcgi::STDIN, number, &self.body);
        out
    }
}

/// A connection of a web server.
pub struct WebConnection {
    stream: TcpStream,
    decoder: Decoder,
    partial: BTreeMap<u16, Vec<u8>>,
    ready: Vec<Answer>,
}

impl WebConnection {
    /// Connects to a front end.
    pub fn connect(to: SocketAddr) -> io::Result<WebConnection> {
        let stream = TcpStream::connect(to)?;
        stream.set_write_timeout(Some(TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(WebConnection { stream, decoder: Decoder::default(), partial: BTreeMap::new(), ready: Vec::new() })
    }

    /// Writes raw bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request.
    pub fn send(&mut self, number: u16, request: &WebRequest) -> io::Result<()> {
        self.write(&request.records(number))
    }

    /// Aborts a request.
    pub fn abort(&mut self, number: u16) -> io::Result<()> {
        let mut out = Vec::new();
        fcgi::write_record(&mut out, fcgi::ABORT_REQUEST, number, b"");
        self.write(&out)
    }

    /// Sends a health check.
    pub fn send_health_check(&mut self, number: u16) -> io::Result<()> {
        let (mut out, mut params) = (Vec::new(), Vec::new());
        fcgi::write_pair(&mut params, b"SCRIPT_NAME", b"/-/healthy");
        fcgi::write_record(&mut out, fcgi::BEGIN_REQUEST, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
        fcgi::write_stream(&mut out, fcgi::PARAMS, number, &params);
        fcgi::write_record(&mut out, fcgi::STDIN, number, b"");
        self.write(&out)
    }

    /// Receives the next complete answer; an error at the end of the connection.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let mut buf = [0u8; 8192];
        while self.ready.is_empty() {
            let n = match read_with_timeout(&mut self.stream, &mut buf, TIMEOUT)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => n,
            };
            let mut rest = &buf[..n];
            while let Some(p) = self.decoder.next(&mut rest).map_err(io::Error::other)? {
                let partial = self.partial.entry(p.header.request_id).or_default();
                if p.header.kind == fcgi::STDOUT {
                    partial.extend_from_slice(p.bytes);
                } else if p.header.kind == fcgi::END_REQUEST && p.last {
                    let protocol_status = p.bytes.get(4).copied().unwrap_or(255);
                    let text = self.partial.remove(&p.header.request_id).unwrap_or_default();
                    self.ready.push(parse_answer(p.header.request_id, &text, protocol_status));
                }
            }
        }
        Ok(self.ready.remove(0))
    }

    /// Reads until the connection ends, ignoring answers; returns false on a timeout.
    pub fn wait_closed(&mut self) -> bool {
        loop {
            match self.answer() {
                Ok(_) => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}

fn parse_answer(number: u16, text: &[u8], protocol_status: u8) -> Answer {
    let at = text.windows(4).position(|w| w == b"\r\n\r\n");
    let (head, body) = at.map_or((text, &b""[..]), |at| (&text[..at], &text[at + 4..]));
    let head = String::from_utf8_lossy(head);
    let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
    let status = field("Status").and_then(|s| s.get(..3)?.parse().ok()).unwrap_or(0);
    let retry_after_ms = field("Srv-Wait-Ms").and_then(|v| v.parse().ok());
    Answer { number, status, retry_after_ms, body: body.to_vec(), protocol_status }
}
