//! All rows, one module a part of the product.

pub mod budgets;
pub mod load;
pub mod members;
pub mod network;
pub mod register;
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
        Box::new(zones::Teller),
        Box::new(zones::Lost),
        Box::new(register::LEASES),
        Box::new(register::RECORDS_EACH),
        Box::new(register::RECORDS_TEN),
        Box::new(register::START),
        Box::new(register::RESTART_TENTH),
        Box::new(register::LEADER_LOST),
        Box::new(register::ZONE_LOST),
        Box::new(register::REGION_APART),
        Box::new(budgets::STEADY),
        Box::new(budgets::BY_BUDGETS),
        Box::new(budgets::RESTART_TENTH),
        Box::new(budgets::RACK_LOST),
        Box::new(budgets::ZONE_LOST),
        Box::new(budgets::REGION_APART),
        Box::new(budgets::COORDINATOR_LOST),
    ]
}

/// The row of this name.
pub fn find(name: &str) -> Result<Box<dyn Row>, ScaleError> {
    let found = all().into_iter().find(|row| row.name() == name);
    found.ok_or_else(|| ScaleError::UnknownRow { name: name.to_owned() })
}
