//! All rows, one module a part of the product.

pub mod config;
pub mod config_in_force;
pub mod control;

use crate::error::ScaleError;
use crate::row::Row;

/// Every row, in the page's order.
pub fn all() -> Vec<Box<dyn Row>> {
    vec![
        Box::new(config::ConfigClient),
        Box::new(config::ConfigReplay),
        Box::new(config_in_force::ConfigInForce),
        Box::new(control::ConfigService),
        Box::new(control::MachineLost),
        Box::new(control::ConfigRestart),
        Box::new(control::ConfigRejoin),
    ]
}

/// The row of this name.
pub fn find(name: &str) -> Result<Box<dyn Row>, ScaleError> {
    let found = all().into_iter().find(|row| row.name() == name);
    found.ok_or_else(|| ScaleError::UnknownRow { name: name.to_owned() })
}
