//! The stored form of the parts that run: a single file for all types, so that a change of several types is
//! stored atomically. A checksum detects files that are truncated, corrupted or of another format.

use crate::parts::{Kind, Part, MAX_PART_BYTES};
use sha2::{Digest, Sha256};
use std::fmt::Write;

const HEADER: &str = "badgerwind-config 1";

/// Why a stored file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// The file has another format or version.
    #[error("the file does not begin with \"{HEADER}\"")]
    UnknownFormat,
    /// The file was truncated or changed.
    #[error("the checksum does not match: the file was truncated or changed")]
    ChecksumMismatch,
    /// The checksum matches, but the content is invalid.
    #[error("the content is invalid: {0}")]
    InvalidContent(String),
}

/// Encodes a set of parts.
pub fn encode(parts: &[Part]) -> Vec<u8> {
    let mut text = format!("{HEADER}\n");
    for part in parts {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{} {} {}", part.kind.name(), part.version, part.text.len());
        text.push_str(&part.text);
        text.push('\n');
    }
    let sum = Sha256::digest(text.as_bytes());
    let _ = write!(text, "sha256 ");
    sum.iter().for_each(|b| _ = write!(text, "{b:02x}"));
    text.push('\n');
    text.into_bytes()
}

/// Decodes a set of parts.
pub fn decode(bytes: &[u8]) -> Result<Vec<Part>, StorageError> {
    if !bytes.starts_with(HEADER.as_bytes()) {
        return Err(StorageError::UnknownFormat);
    }
    const TRAILER_BYTES: usize = "sha256 ".len() + 64 + 1;
    let body_len = bytes.len().checked_sub(TRAILER_BYTES).ok_or(StorageError::ChecksumMismatch)?;
    let mut expected = String::from("sha256 ");
    Sha256::digest(&bytes[..body_len]).iter().for_each(|b| _ = write!(expected, "{b:02x}"));
    expected.push('\n');
    if expected.as_bytes() != &bytes[body_len..] {
        return Err(StorageError::ChecksumMismatch);
    }
    let invalid = |reason: &str| StorageError::InvalidContent(reason.into());
    let text = std::str::from_utf8(&bytes[..body_len]).map_err(|_| invalid("not UTF-8"))?;
    let mut rest =
        text.strip_prefix(HEADER).and_then(|t| t.strip_prefix('\n')).ok_or(StorageError::UnknownFormat)?;
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (line, after) =
            rest.split_once('\n').ok_or_else(|| invalid("incomplete header line of a part"))?;
        let [kind, version, length] = line.split(' ').collect::<Vec<_>>()[..] else {
            return Err(invalid("malformed header line of a part"));
        };
        let kind = Kind::from_name(kind).ok_or_else(|| invalid("unknown kind"))?;
        let version = version.parse().map_err(|_| invalid("malformed version number of a part"))?;
        let length = length.parse().ok().filter(|&n: &usize| n <= MAX_PART_BYTES && n < after.len());
        let length = length.ok_or_else(|| invalid("wrong length of a part"))?;
        let body = after.get(..length).ok_or_else(|| invalid("wrong length of a part"))?;
        let part = Part::parse(kind, version, body).map_err(|p| invalid(&p[0].to_string()))?;
        parts.push(part);
        rest = after[length..].strip_prefix('\n').ok_or_else(|| invalid("no line break after a part"))?;
    }
    Ok(parts)
}
