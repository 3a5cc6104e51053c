//! All rows, in modules by part of the product.

pub mod bounds;
pub mod budgets;
pub mod call_counts;
pub mod cold_starts;
pub mod config;
pub mod config_in_force;
pub mod control;
pub mod front_end;
pub mod hard_cases;
pub mod list_frames;
pub mod lists;
pub mod member_costs;
pub mod members;
pub mod network;
pub mod outages;
pub mod register;
pub mod router;
pub mod withdrawn_calls;
pub mod workers;
pub mod zones;

use crate::error::ScaleError;
use crate::row::Row;

/// All rows, in the order of the capacity page.
pub fn all() -> Vec<Box<dyn Row>> {
    let mut all = Vec::new();
    all.extend(router::rows());
    all.extend(lists::rows());
    all.extend(hard_cases::rows());
    all.extend(withdrawn_calls::rows());
    all.extend(cold_starts::rows());
    all.extend(members::rows());
    all.extend(zones::rows());
    all.extend(register::rows());
    all.extend(budgets::rows());
    all.extend(config::rows());
    all.extend(config_in_force::rows());
    all.extend(control::rows());
    all.extend(outages::rows());
    all
}

/// Finds a row by its name.
pub fn find(name: &str) -> Result<Box<dyn Row>, ScaleError> {
    let found = all().into_iter().find(|row| row.name() == name);
    found.ok_or_else(|| ScaleError::UnknownRow { name: name.to_owned() })
}
