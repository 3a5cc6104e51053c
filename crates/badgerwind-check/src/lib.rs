//! The five rules, judged from what peers of the gateway recorded: senders, runners and the list service. Nothing
//! here knows the gateway; a record is all there is.
//!
//! Every record bears the time at which its writer saw the matter, in microseconds of one clock. Messages take time
//! between two writers, so a rule that compares two of them allows [`Facts::transit`].

pub mod budgets;
mod judge;
mod record;
pub mod register;
pub mod worth;

pub use judge::{judge, Broken, Near, Report, Rule, Service};
pub use record::{read, Answer, ClassFacts, Effect, Facts, Group, Line, Loads, RunnerFacts, State, What};
