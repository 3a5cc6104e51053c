//! What one row of the capacity page is: a cost of one role, as it grows with one size.

use crate::error::ScaleError;
use serde::Serialize;

/// A part of the system that the page has a section for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A front end, on the path of a call.
    FrontEndCall,
    /// A front end, for control: views, lists, settings, budgets.
    FrontEndControl,
    /// A worker, as far as the product causes its work.
    Worker,
    /// A voter of the register.
    Voter,
    /// The lease coordinator of a budget.
    LeaseCoordinator,
    /// The configuration service.
    ControlService,
}

/// What is measured, and in what unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Metric {
    /// Short name, such as "time of a call".
    pub name: &'static str,
    /// Unit, such as "us", "B/s", "messages/s" or "B".
    pub unit: &'static str,
}

/// One figure at one size.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Measurement {
    /// What it is a figure of.
    pub metric: Metric,
    /// The figure.
    pub value: f64,
}

/// The most that a metric may be at the planned size, and where that comes from.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Bound {
    /// The metric that is bounded.
    pub metric: Metric,
    /// The most, in the metric's unit.
    pub most: f64,
    /// Where the bound comes from, such as "1% of a core at 127 calls a second".
    pub source: &'static str,
}

/// A row of the capacity page.
pub trait Row {
    /// Name on the command line.
    fn name(&self) -> &'static str;
    /// The role whose cost it is.
    fn role(&self) -> Role;
    /// What is measured, and how, in a sentence.
    fn about(&self) -> &'static str;
    /// What the size counts, such as "listed workers".
    fn variable(&self) -> &'static str;
    /// Sizes that are measured by default.
    fn sizes(&self) -> &'static [u64];
    /// The planned size; larger than the largest measured one, the figure there is an extrapolation.
    fn planned(&self) -> u64;
    /// Bounds at the planned size.
    fn bounds(&self) -> Vec<Bound>;
    /// About how many bytes of heap a measurement needs; checked before it begins.
    fn bytes_needed(&self, size: u64) -> u64;
    /// Measures at one size. The same size and seed give the same counts.
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError>;
}
