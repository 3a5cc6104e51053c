//! A web server's connection to a front end.

use super::LONG;
use badgerwind_platform::fcgi::{self, Decoder};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// An answer, as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The request's number.
    pub number: u16,
    /// CGI status; 0 where none came.
    pub status: u16,
    /// `Srv-Wait-Ms`, where it came.
    pub stay_away: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
    /// The protocol status of its end.
    pub ended: u8,
}

/// What a request says; change what a test is about.
#[derive(Clone, Debug)]
pub struct Ask {
    /// `Req-Id`.
    pub id: String,
    /// The class.
    pub class: String,
    /// `Req-Key`.
    pub key: String,
    /// `Req-Wait-Ms`.
    pub wait_ms: u64,
    /// The body.
    pub body: Vec<u8>,
}

impl Ask {
    /// A request of class `look`, told from others by its number.
    pub fn new(n: u64) -> Ask {
        Ask {
            id: format!("{n:016x}"),
            class: "look".into(),
            key: "7f3a9c21e0b4d655".into(),
            wait_ms: 3000,
            body: format!("body {n}").into_bytes(),
        }
    }

    /// Its records.
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
            fcgi::pair(&mut params, name.as_bytes(), value.as_bytes());
        }
        fcgi::record(&mut out, fcgi::BEGIN_REQUEST, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
        fcgi::stream(&mut out, fcgi::PARAMS, number, &params);
        fcgi::stream(&mut out, fcgi::STDIN, number, &self.body);
        out
    }
}

/// A connection.
pub struct Web {
    stream: TcpStream,
    decoder: Decoder,
    coming: BTreeMap<u16, Vec<u8>>,
    ready: Vec<Answer>,
}

impl Web {
    /// Connects.
    pub fn connect(to: SocketAddr) -> io::Result<Web> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(LONG))?;
        stream.set_write_timeout(Some(LONG))?;
        stream.set_nodelay(true)?;
        Ok(Web { stream, decoder: Decoder::default(), coming: BTreeMap::new(), ready: Vec::new() })
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request.
    pub fn ask(&mut self, number: u16, ask: &Ask) -> io::Result<()> {
        self.write(&ask.records(number))
    }

    /// Withdraws one.
    pub fn abort(&mut self, number: u16) -> io::Result<()> {
        let mut out = Vec::new();
        fcgi::record(&mut out, fcgi::ABORT_REQUEST, number, b"");
        self.write(&out)
    }

    /// Asks whether the front end serves.
    pub fn healthy(&mut self, number: u16) -> io::Result<()> {
        let (mut out, mut params) = (Vec::new(), Vec::new());
        fcgi::pair(&mut params, b"SCRIPT_NAME", b"/-/healthy");
        fcgi::record(&mut out, fcgi::BEGIN_REQUEST, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
        fcgi::stream(&mut out, fcgi::PARAMS, number, &params);
        fcgi::record(&mut out, fcgi::STDIN, number, b"");
        self.write(&out)
    }

    /// The next whole answer; an error at the connection's end.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let mut buf = [0u8; 8192];
        while self.ready.is_empty() {
            let n = match self.stream.read(&mut buf)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => n,
            };
            let mut rest = &buf[..n];
            while let Some(p) = self.decoder.next(&mut rest).map_err(io::Error::other)? {
                let coming = self.coming.entry(p.header.number).or_default();
                if p.header.kind == fcgi::STDOUT {
                    coming.extend_from_slice(p.bytes);
                } else if p.header.kind == fcgi::END_REQUEST && p.last {
                    let ended = p.bytes.get(4).copied().unwrap_or(255);
                    let text = self.coming.remove(&p.header.number).unwrap_or_default();
                    self.ready.push(read(p.header.number, &text, ended));
                }
            }
        }
        Ok(self.ready.remove(0))
    }

    /// Reads until the connection ends; what came of answers is left out.
    pub fn closed(&mut self) -> bool {
        loop {
            match self.answer() {
                Ok(_) => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}

fn read(number: u16, text: &[u8], ended: u8) -> Answer {
    let at = text.windows(4).position(|w| w == b"\r\n\r\n");
    let (head, body) = at.map_or((text, &b""[..]), |at| (&text[..at], &text[at + 4..]));
    let head = String::from_utf8_lossy(head);
    let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
    let status = field("Status").and_then(|s| s.get(..3)?.parse().ok()).unwrap_or(0);
    let stay_away = field("Srv-Wait-Ms").and_then(|v| v.parse().ok());
    Answer { number, status, stay_away, body: body.to_vec(), ended }
}
