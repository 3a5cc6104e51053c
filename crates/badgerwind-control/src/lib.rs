//! A small control service. Versions are files named `KIND/NUMBER.xml` in a folder; a published version never
//! changes. The waves of `badgerwind-config` decide which front end is offered which version.

#![warn(missing_docs)]

pub mod folder;
pub mod request;
pub mod service;

pub use service::{serve, FrontEndStatus, KindStatus, Pin, Status};
