//! A row of the capacity page: a cost of one role as a function of one size.

use crate::error::ScaleError;
use serde::Serialize;

/// A part of the system that has a section on the capacity page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A front end, on the path of a call.
    FrontEndCall,
    /// A front end's control work: membership, lists, settings, budgets.
    FrontEndControl,
    /// A worker, limited to the work that the product causes.
    Worker,
    /// A voter of the register.
    Voter,
    /// The lease coordinator of a budget.
    LeaseCoordinator,
    /// The configuration service.
    ControlService,
}

/// A measured quantity and its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Metric {
    /// Short name, such as "time of a call".
    pub name: &'static str,
    /// Unit, such as "us", "B/s", "messages/s" or "B".
    pub unit: &'static str,
}

/// The value of a metric, measured once at one size.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Measurement {
    /// The measured metric.
    pub metric: Metric,
    /// Value in the metric's unit.
    pub value: f64,
}

/// Upper bound of a metric at the planned size, and its origin.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Bound {
    /// The bounded metric.
    pub metric: Metric,
    /// Largest allowed value, in the metric's unit.
    #[serde(rename = "most")]
    pub max: f64,
    /// Origin of the bound, such as "1% of a core at 127 calls a second".
    pub source: &'static str,
}

/// A row of the capacity page.
pub trait Row {
    /// Name on the command line.
    fn name(&self) -> &'static str;
    /// The role that bears the cost.
    fn role(&self) -> Role;
    /// What is measured and how, in one sentence.
    fn about(&self) -> &'static str;
    /// What the size counts, such as "listed workers".
    fn variable(&self) -> &'static str;
    /// Sizes to measure if the command line names none.
    fn default_sizes(&self) -> &'static [u64];
    /// The planned size. If it is larger than the largest measured size, the value there is an extrapolation.
    fn planned_size(&self) -> u64;
    /// Bounds at the planned size.
    fn bounds(&self) -> Vec<Bound>;
    /// Estimated heap of a measurement in bytes, which is compared with the memory limit before the
    /// measurement.
    fn estimated_heap_bytes(&self, size: u64) -> u64;
    /// Measures at one size. Counts are deterministic for a given size and seed.
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError>;
}
