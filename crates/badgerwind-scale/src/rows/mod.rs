//! All rows, one module a part of the product.

pub mod members;
pub mod network;
pub mod zones;

use crate::error::ScaleError;
use crate::row::Row;

/// Every row, in the page's order.
pub fn all() -> Vec<Box<dyn Row>> {
    vec![
        Box::new(members::Steady),
        Box::new(members::Join),
        Box::new(members::Deaths),
        Box::new(members::Apart),
        Box::new(zones::Voter),
        Box::new(zones::Reporter),
        Box::new(zones::Lost),
    ]
}

/// The row of this name.
pub fn find(name: &str) -> Result<Box<dyn Row>, ScaleError> {
    let found = all().into_iter().find(|row| row.name() == name);
    found.ok_or_else(|| ScaleError::UnknownRow { name: name.to_owned() })
}
