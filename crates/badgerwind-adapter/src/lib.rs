//! The wire protocol of the operators' bench. Its names are used in this package only. It contains no
//! decisions.

pub mod wire;
