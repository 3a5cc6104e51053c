//! FastCGI 1.0 records (section 3.3 of the specification). The decoder does not buffer content: it returns
//! pieces of a record as they arrive, so that a length field alone never allocates memory.

/// Protocol version (section 8, `FCGI_VERSION_1`).
const VERSION: u8 = 1;
/// Length of a record's header in bytes.
const HEADER_BYTES: usize = 8;
/// Maximum length of a record's content in bytes.
const MAX_CONTENT_BYTES: usize = 65_535;

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
    /// The connection does not accept another concurrent request.
    CannotMultiplex = 1,
    /// Some resource is exhausted.
    Overloaded = 2,
    /// The role is not supported.
    UnknownRole = 3,
}

/// A record's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The record type.
    pub kind: u8,
    /// The request id; 0 for management records.
    pub request_id: u16,
    /// Length of the content in bytes.
    pub length: usize,
}

/// A piece of a record, as it was received.
#[derive(Debug, PartialEq, Eq)]
pub struct Piece<'a> {
    /// The record's header.
    pub header: Header,
    /// A part of its content, possibly empty.
    pub bytes: &'a [u8],
    /// Whether this is the record's first piece.
    pub first: bool,
    /// Whether this is the record's last piece.
    pub last: bool,
}

/// A record of another protocol version, after which the stream cannot be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record of version {0}; 1 is right")]
pub struct BadVersion(pub u8);

#[derive(Clone, Copy, Debug)]
enum Stage {
    Header(usize),
    Content { header: Header, left: usize, padding: usize, first: bool },
    Padding(usize),
}

/// Splits a stream of bytes into pieces of records.
#[derive(Debug)]
pub struct Decoder {
    stage: Stage,
    header: [u8; HEADER_BYTES],
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder { stage: Stage::Header(0), header: [0; HEADER_BYTES] }
    }
}

impl Decoder {
    /// Whether the stream is at the boundary between two records.
    pub fn at_boundary(&self) -> bool {
        matches!(self.stage, Stage::Header(0) | Stage::Padding(_))
    }

    /// Consumes the next piece from the front of `bytes`; `None` if more bytes are needed.
    pub fn next<'a>(&mut self, bytes: &mut &'a [u8]) -> Result<Option<Piece<'a>>, BadVersion> {
        loop {
            match self.stage {
                Stage::Header(have) => {
                    let take = (HEADER_BYTES - have).min(bytes.len());
                    self.header[have..have + take].copy_from_slice(&bytes[..take]);
                    *bytes = &bytes[take..];
                    if have + take > 0 && self.header[0] != VERSION {
                        return Err(BadVersion(self.header[0]));
                    }
                    if have + take < HEADER_BYTES {
                        self.stage = Stage::Header(have + take);
                        return Ok(None);
                    }
                    let [_, kind, n1, n0, l1, l0, padding, _] = self.header;
                    let (request_id, length) =
                        (u16::from_be_bytes([n1, n0]), usize::from(u16::from_be_bytes([l1, l0])));
                    let header = Header { kind, request_id, length };
                    self.stage =
                        Stage::Content { header, left: length, padding: padding.into(), first: true };
                }
                Stage::Content { header, left, padding, first } => {
                    if left > 0 && bytes.is_empty() {
                        return Ok(None);
                    }
                    let (piece, rest) = bytes.split_at(left.min(bytes.len()));
                    *bytes = rest;
                    let left = left - piece.len();
                    self.stage = match left {
                        0 => Stage::Padding(padding),
                        _ => Stage::Content { header, left, padding, first: false },
                    };
                    return Ok(Some(Piece { header, bytes: piece, first, last: left == 0 }));
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

fn write_header(out: &mut Vec<u8>, kind: u8, request_id: u16, length: usize, padding: usize) {
    let ([n1, n0], [l1, l0]) = (request_id.to_be_bytes(), (length as u16).to_be_bytes());
    out.extend_from_slice(&[VERSION, kind, n1, n0, l1, l0, padding as u8, 0]);
}

/// Appends one record. Content beyond the maximum length is cut off; the caller splits it.
pub fn write_record(out: &mut Vec<u8>, kind: u8, request_id: u16, content: &[u8]) {
    let content = &content[..content.len().min(MAX_CONTENT_BYTES)];
    let padding = content.len().wrapping_neg() % 8; // section 3.3 recommends multiples of eight bytes
    write_header(out, kind, request_id, content.len(), padding);
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 8][..padding]);
}

/// Appends a complete stream: its content and the empty record that ends it.
pub fn write_stream(out: &mut Vec<u8>, kind: u8, request_id: u16, content: &[u8]) {
    content.chunks(MAX_CONTENT_BYTES - 7).for_each(|chunk| write_record(out, kind, request_id, chunk));
    write_record(out, kind, request_id, &[]);
}

/// Appends an `END_REQUEST` record.
pub fn write_end_request(out: &mut Vec<u8>, request_id: u16, status: ProtocolStatus) {
    write_record(out, END_REQUEST, request_id, &[0, 0, 0, 0, status as u8, 0, 0, 0]);
}

/// Appends a name-value pair (section 3.4).
pub fn write_pair(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for length in [name.len(), value.len()] {
        match u8::try_from(length) {
            Ok(short @ 0..=127) => out.push(short),
            _ => out.extend_from_slice(&(length as u32 | 0x8000_0000).to_be_bytes()),
        }
    }
    out.extend_from_slice(name);
    out.extend_from_slice(value);
}

/// Consumes a length of a name-value pair.
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

/// Parses name-value pairs; `None` if a length exceeds the input.
pub fn parse_pairs(mut bytes: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
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
