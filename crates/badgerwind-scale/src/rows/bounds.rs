//! Upper bounds on the work of a front end and of a control machine at the planned size.

/// Processor time of a front end's calls or of its control work, in microseconds per second: 1% of a core.
pub const MAX_PROCESSOR_TIME: f64 = 10_000.0;
/// Heap of a front end's call path or of its control work, in bytes.
pub const MAX_HEAP: f64 = 134_217_728.0;
/// Traffic of a front end's control work in both directions, in bytes per second.
pub const MAX_CONTROL_TRAFFIC: f64 = 6_144.0;
/// Processor time of a control machine, in microseconds per second: one core. This is an assumption, because
/// the requirements give no bound.
pub const MAX_CONTROL_MACHINE_TIME: f64 = 1_000_000.0;
/// Traffic of a control machine, in bytes per second: a link of 1 Gbit/s, which is an assumption too.
pub const MAX_LINK_TRAFFIC: f64 = 125_000_000.0;
