//! The settings of a front end. They are an XML document that is validated against a table of elements
//! ([`schema`]); the published XSD is generated from the same table. Every problem names file, line, element,
//! the error and its remedy. This crate reads no files; a document refers to secrets by file name only.

pub mod document;
pub mod edit;
mod read;
pub mod schema;
mod typed;

pub use read::{read, read_tree};
pub use typed::*;

/// An error in a settings document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: <{element}>: {message}; {remedy}")]
pub struct Problem {
    /// The file of the document.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The name of the element.
    pub element: String,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub remedy: String,
}
