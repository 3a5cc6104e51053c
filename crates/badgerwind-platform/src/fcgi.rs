//! FastCGI 1.0 records, section 3.3 of the specification. The decoder keeps no content: it hands on pieces of a
//! record as they come, so that a length field reserves nothing.

/// Protocol version (section 8, `FCGI_VERSION_1`).
const VERSION: u8 = 1;
/// Bytes of a record's header.
const HEADER: usize = 8;
/// Most content of one record.
const MOST: usize = 65_535;

/// `FCGI_BEGIN_REQUEST`.
pub const BEGIN_REQUEST: u8 = 1;
/// `FCGI_ABORT_REQUEST`.
pub const ABORT_REQUEST: u8 = 2;
/// `FCGI_END_REQUEST`.
pub const END_REQUEST: u8 = 3;
/// `FCGI_PARAMS`.
pub const PARAMS: u8 = 4;
/// `FCGI_STDIN`.
pub const STDIN: u8 = 5;
/// `FCGI_STDOUT`.
pub const STDOUT: u8 = 6;
/// `FCGI_DATA`.
pub const DATA: u8 = 8;
/// `FCGI_GET_VALUES`.
pub const GET_VALUES: u8 = 9;
/// `FCGI_GET_VALUES_RESULT`.
pub const GET_VALUES_RESULT: u8 = 10;
/// `FCGI_UNKNOWN_TYPE`.
pub const UNKNOWN_TYPE: u8 = 11;

/// The Responder role.
pub const RESPONDER: u16 = 1;

/// Protocol status of `END_REQUEST` (section 5.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// The request is complete.
    Complete = 0,
    /// No more requests on this connection now.
    CannotMultiplex = 1,
    /// Some resource is short.
    Overloaded = 2,
    /// The role is not known here.
    UnknownRole = 3,
}

/// What one record's header says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its type.
    pub kind: u8,
    /// The request's number; 0 for management.
    pub number: u16,
    /// Bytes of content.
    pub length: usize,
}

/// A piece of a record, as it came.
#[derive(Debug, PartialEq, Eq)]
pub struct Piece<'a> {
    /// The record.
    pub head: Head,
    /// Some of its content, maybe none.
    pub bytes: &'a [u8],
    /// This was its first piece.
    pub first: bool,
    /// Nothing more of it comes.
    pub last: bool,
}

/// The stream cannot be read on: a record of another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record of version {0}; 1 is right")]
pub struct BadVersion(pub u8);

#[derive(Clone, Copy, Debug)]
enum Stage {
    Header(usize),
    Content { head: Head, left: usize, padding: usize, first: bool },
    Padding(usize),
}

/// Cuts a stream into records.
#[derive(Debug)]
pub struct Decoder {
    stage: Stage,
    header: [u8; HEADER],
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder { stage: Stage::Header(0), header: [0; HEADER] }
    }
}

impl Decoder {
    /// Whether the stream stands between two records.
    pub fn between(&self) -> bool {
        matches!(self.stage, Stage::Header(0) | Stage::Padding(_))
    }

    /// Takes from the front of `bytes` what belongs together; `None` once more must come.
    pub fn next<'a>(&mut self, bytes: &mut &'a [u8]) -> Result<Option<Piece<'a>>, BadVersion> {
        loop {
            match self.stage {
                Stage::Header(have) => {
                    let take = (HEADER - have).min(bytes.len());
                    self.header[have..have + take].copy_from_slice(&bytes[..take]);
                    *bytes = &bytes[take..];
                    if have + take > 0 && self.header[0] != VERSION {
                        return Err(BadVersion(self.header[0]));
                    }
                    if have + take < HEADER {
                        self.stage = Stage::Header(have + take);
                        return Ok(None);
                    }
                    let [_, kind, n1, n0, l1, l0, padding, _] = self.header;
                    let (number, length) =
                        (u16::from_be_bytes([n1, n0]), usize::from(u16::from_be_bytes([l1, l0])));
                    let head = Head { kind, number, length };
                    self.stage = Stage::Content { head, left: length, padding: padding.into(), first: true };
                }
                Stage::Content { head, left, padding, first } => {
                    if left > 0 && bytes.is_empty() {
                        return Ok(None);
                    }
                    let (piece, rest) = bytes.split_at(left.min(bytes.len()));
                    *bytes = rest;
                    let left = left - piece.len();
                    self.stage = match left {
                        0 => Stage::Padding(padding),
                        _ => Stage::Content { head, left, padding, first: false },
                    };
                    return Ok(Some(Piece { head, bytes: piece, first, last: left == 0 }));
                }
                Stage::Padding(0) => self.stage = Stage::Header(0),
                Stage::Padding(left) => {
                    if bytes.is_empty() {
                        return Ok(None);
                    }
                    let take = left.min(bytes.len());
                    *bytes = &bytes[take..];
                    self.stage = Stage::Padding(left - take);
                }
            }
        }
    }
}

fn header(out: &mut Vec<u8>, kind: u8, number: u16, length: usize, padding: usize) {
    let ([n1, n0], [l1, l0]) = (number.to_be_bytes(), (length as u16).to_be_bytes());
    out.extend_from_slice(&[VERSION, kind, n1, n0, l1, l0, padding as u8, 0]);
}

/// Appends one record; what is beyond a record's most content is left out by the caller.
pub fn record(out: &mut Vec<u8>, kind: u8, number: u16, content: &[u8]) {
    let content = &content[..content.len().min(MOST)];
    let padding = content.len().wrapping_neg() % 8; // section 3.3 recommends multiples of eight bytes
    header(out, kind, number, content.len(), padding);
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 8][..padding]);
}

/// Appends a whole stream: its content and the empty record that closes it.
pub fn stream(out: &mut Vec<u8>, kind: u8, number: u16, content: &[u8]) {
    content.chunks(MOST - 7).for_each(|chunk| record(out, kind, number, chunk));
    record(out, kind, number, &[]);
}

/// Appends an `END_REQUEST`.
pub fn end_request(out: &mut Vec<u8>, number: u16, status: ProtocolStatus) {
    record(out, END_REQUEST, number, &[0, 0, 0, 0, status as u8, 0, 0, 0]);
}

/// Appends a name-value pair (section 3.4).
pub fn pair(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for length in [name.len(), value.len()] {
        match u8::try_from(length) {
            Ok(short @ 0..=127) => out.push(short),
            _ => out.extend_from_slice(&(length as u32 | 0x8000_0000).to_be_bytes()),
        }
    }
    out.extend_from_slice(name);
    out.extend_from_slice(value);
}

fn length(bytes: &mut &[u8]) -> Option<usize> {
    let (&first, rest) = bytes.split_first()?;
    if first < 128 {
        *bytes = rest;
        return Some(first.into());
    }
    let (four, rest) = bytes.split_first_chunk::<4>()?;
    *bytes = rest;
    Some((u32::from_be_bytes(*four) & 0x7fff_ffff) as usize)
}

/// Reads name-value pairs; `None` where a length points beyond the end.
pub fn pairs(mut bytes: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    let mut found = Vec::new();
    while !bytes.is_empty() {
        let (name, value) = (length(&mut bytes)?, length(&mut bytes)?);
        let (name, rest) = bytes.split_at_checked(name)?;
        let (value, rest) = rest.split_at_checked(value)?;
        found.push((name, value));
        bytes = rest;
    }
    Some(found)
}
