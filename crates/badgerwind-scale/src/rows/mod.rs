//! All rows, one module a part of the product.

pub mod network;

use crate::error::ScaleError;
use crate::row::Row;

/// Every row, in the page's order.
pub fn all() -> Vec<Box<dyn Row>> {
    Vec::new()
}

/// The row of this name.
pub fn find(name: &str) -> Result<Box<dyn Row>, ScaleError> {
    let found = all().into_iter().find(|row| row.name() == name);
    found.ok_or_else(|| ScaleError::UnknownRow { name: name.to_owned() })
}
