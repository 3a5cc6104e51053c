//! Checks the five rules against what the gateway's peers recorded: senders, runners and the list service.
//! The crate does not depend on the gateway and uses nothing but these records.
//!
//! Every record carries the time at which its writer observed the event, in microseconds of one shared clock.
//! Messages take time between two writers, so a rule that compares records of two writers tolerates
//! [`Facts::transit`].

pub mod budgets;
mod judge;
mod record;
pub mod register;
pub mod worth;

pub use judge::{judge, LimitUse, Report, Rule, Service, Violation};
pub use record::{
    read, Answer, Availability, ClassFacts, Effect, Event, Facts, Group, Line, LoadLimit, RunnerFacts,
};
