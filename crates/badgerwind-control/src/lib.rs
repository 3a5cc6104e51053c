//! A small control service. Versions are files, `KIND/NUMBER.xml` in a folder; a number once published keeps its
//! content. Which front end is offered what is decided by the waves of `badgerwind-config`.

pub mod folder;
pub mod question;
pub mod service;

pub use service::{serve, FrontStatus, KindStatus, Pin, Status};
