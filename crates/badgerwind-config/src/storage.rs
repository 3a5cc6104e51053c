//! The set that runs, as it is stored on disk: one file for all types, so that a change of two is stored whole or not
//! at all. A file that is torn, cut or foreign is told apart by its sum.

use crate::parts::{Kind, Part, MOST_BYTES};
use sha2::{Digest, Sha256};
use std::fmt::Write;

const FIRST: &str = "badgerwind-config 1";

/// Why a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// Not such a file, or of another form.
    #[error("it does not begin with \"{FIRST}\"")]
    Foreign,
    /// Cut, torn or changed.
    #[error("its sum does not match: it was cut or changed")]
    Sum,
    /// The sum matches and the content is not as it should be.
    #[error("it cannot be read: {0}")]
    Content(String),
}

/// A set as bytes.
pub fn encode(parts: &[Part]) -> Vec<u8> {
    let mut text = format!("{FIRST}\n");
    for p in parts {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{} {} {}", p.kind.name(), p.version, p.text.len());
        text.push_str(&p.text);
        text.push('\n');
    }
    let sum = Sha256::digest(text.as_bytes());
    let _ = write!(text, "sha256 ");
    sum.iter().for_each(|b| _ = write!(text, "{b:02x}"));
    text.push('\n');
    text.into_bytes()
}

/// A set from bytes.
pub fn decode(bytes: &[u8]) -> Result<Vec<Part>, StorageError> {
    if !bytes.starts_with(FIRST.as_bytes()) {
        return Err(StorageError::Foreign);
    }
    const TAIL: usize = "sha256 ".len() + 64 + 1;
    let at = bytes.len().checked_sub(TAIL).ok_or(StorageError::Sum)?;
    let mut want = String::from("sha256 ");
    Sha256::digest(&bytes[..at]).iter().for_each(|b| _ = write!(want, "{b:02x}"));
    want.push('\n');
    if want.as_bytes() != &bytes[at..] {
        return Err(StorageError::Sum);
    }
    let content = |what: &str| StorageError::Content(what.into());
    let text = std::str::from_utf8(&bytes[..at]).map_err(|_| content("not UTF-8"))?;
    let mut rest =
        text.strip_prefix(FIRST).and_then(|t| t.strip_prefix('\n')).ok_or(StorageError::Foreign)?;
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (line, after) = rest.split_once('\n').ok_or_else(|| content("half a line"))?;
        let [kind, version, length] = line.split(' ').collect::<Vec<_>>()[..] else {
            return Err(content("a part's first line"));
        };
        let kind = Kind::named(kind).ok_or_else(|| content("an unknown kind"))?;
        let version = version.parse().map_err(|_| content("a part's number"))?;
        let length = length.parse().ok().filter(|&n: &usize| n <= MOST_BYTES && n < after.len());
        let length = length.ok_or_else(|| content("a part's length"))?;
        let body = after.get(..length).ok_or_else(|| content("a part's length"))?;
        let part = Part::read(kind, version, body).map_err(|p| content(&p[0].to_string()))?;
        parts.push(part);
        rest = after[length..].strip_prefix('\n').ok_or_else(|| content("a part's end"))?;
    }
    Ok(parts)
}
