//! The settings of a front end: an XML document, checked against one table of elements ([`schema`]), from which the
//! published XSD is written as well. Every problem names file, line, element, what is wrong and what would be right.
//! Nothing here reads a file; secrets stand in the document by the name of their file only.

pub mod document;
pub mod edit;
mod read;
pub mod schema;
mod typed;

pub use read::{read, read_tree};
pub use typed::*;

/// Something wrong in a settings document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: <{element}>: {what}; {right}")]
pub struct Problem {
    /// The document's file.
    pub file: String,
    /// Its line, from 1.
    pub line: usize,
    /// The element.
    pub element: String,
    /// What is wrong.
    pub what: String,
    /// What would be right.
    pub right: String,
}
