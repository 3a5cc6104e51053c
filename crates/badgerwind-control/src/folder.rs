//! The folder that contains the published versions.

use badgerwind_config::parts::{Kind, Part, MAX_PART_BYTES};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};

/// An error of an operation on the folder.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// The version does not exist.
    #[error("there is no {0} {1}")]
    Missing(&'static str, u64),
    /// The text is not a valid part of its kind.
    #[error("{0}")]
    Invalid(String),
}

fn io_error(path: &Path) -> impl FnOnce(std::io::Error) -> FolderError + '_ {
    |e| FolderError::Io(path.to_owned(), e)
}

/// The versions of a kind with their files, in ascending order. Files whose names are not numbers are
/// ignored.
pub fn list_versions(folder: &Path, kind: Kind) -> Result<BTreeMap<u64, PathBuf>, FolderError> {
    let path = folder.join(kind.name());
    let entries = match std::fs::read_dir(&path) {
        Ok(entries) => entries,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(BTreeMap::new()),
        Err(e) => return Err(io_error(&path)(e)),
    };
    let mut found = BTreeMap::new();
    for entry in entries {
        let file = entry.map_err(io_error(&path))?.path();
        let number = file.file_stem().and_then(|s| s.to_str()).and_then(|s| s.parse().ok());
        if let (Some(number), true) = (number, file.extension().is_some_and(|e| e == "xml")) {
            found.insert(number, file);
        }
    }
    Ok(found)
}

/// Reads the text of a version.
pub fn read_version(folder: &Path, kind: Kind, version: u64) -> Result<String, FolderError> {
    let path = folder.join(kind.name()).join(format!("{version}.xml"));
    match std::fs::read_to_string(&path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Err(FolderError::Missing(kind.name(), version)),
        read => read.map_err(io_error(&path)),
    }
}

/// Publishes a text under the next number. Only its form is checked here; each front end checks whether it
/// fits the other settings.
pub fn publish(folder: &Path, kind: Kind, text: &str) -> Result<u64, FolderError> {
    let next = list_versions(folder, kind)?.last_key_value().map_or(1, |(n, _)| n + 1);
    if text.len() > MAX_PART_BYTES {
        return Err(FolderError::Invalid(format!(
            "the part has {} bytes; the limit is {MAX_PART_BYTES}",
            text.len()
        )));
    }
    Part::parse(kind, next, text).map_err(|p| {
        FolderError::Invalid(p.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    })?;
    let path = folder.join(kind.name());
    std::fs::create_dir_all(&path).map_err(io_error(&path))?;
    // The file is written under another extension and synced before it gets its name, so that the service
    // never reads an incomplete file.
    let (temporary, file) = (path.join(format!("{next}.part")), path.join(format!("{next}.xml")));
    let written = std::fs::File::create(&temporary).and_then(|mut f| {
        f.write_all(text.as_bytes())?;
        f.sync_all()
    });
    written.and_then(|()| std::fs::hard_link(&temporary, &file)).map_err(io_error(&file))?;
    let _ = std::fs::remove_file(&temporary); // a leftover file is ignored
    std::fs::File::open(&path).and_then(|d| d.sync_all()).map_err(io_error(&path))?;
    Ok(next)
}

/// Publishes the content of an old version under the next number.
pub fn roll_back(folder: &Path, kind: Kind, version: u64) -> Result<u64, FolderError> {
    publish(folder, kind, &read_version(folder, kind, version)?)
}

/// The unified diff of two versions.
pub fn diff(folder: &Path, kind: Kind, from: u64, to: u64) -> Result<String, FolderError> {
    let (a, b) = (read_version(folder, kind, from)?, read_version(folder, kind, to)?);
    let name = |v| format!("{} {v}", kind.name());
    Ok(similar::TextDiff::from_lines(&a, &b).unified_diff().header(&name(from), &name(to)).to_string())
}
