//! Measures a row at several sizes, within bounds on memory and time, and sums the figures up.

use crate::error::ScaleError;
use crate::fit::{fit, Fit};
use crate::row::{Bound, Metric, Role, Row};
use serde::Serialize;
use std::time::{Duration, Instant};

const MIB: u64 = 1 << 20;

/// What the person who runs it allows and asks for.
#[derive(Debug, Clone)]
pub struct Request {
    /// Sizes; the row's own where none are named.
    pub sizes: Option<Vec<u64>>,
    /// Seed of everything drawn.
    pub seed: u64,
    /// Plays at each size, with seeds that follow each other.
    pub plays: u32,
    /// Most memory, in MiB.
    pub memory_mib: u64,
    /// No size is begun after so much real time.
    pub time: Duration,
}

/// One metric at one size, over all plays.
#[derive(Debug, Clone, Serialize)]
pub struct Point {
    /// The size.
    pub size: u64,
    /// Mean over the plays.
    pub mean: f64,
    /// Least of the plays.
    pub least: f64,
    /// Greatest of the plays.
    pub most: f64,
}

/// One metric over all sizes.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// What was measured.
    pub metric: Metric,
    /// Figures by size.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
    /// Value of that line at the planned size.
    pub at_planned: f64,
    /// Whether the planned size is beyond the largest measured one.
    pub extrapolated: bool,
    /// The bound, where there is one.
    pub bound: Option<Bound>,
    /// Need over bound at the planned size.
    pub ratio: Option<f64>,
}

/// A measured row.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Its name.
    pub row: &'static str,
    /// Whose cost it is.
    pub role: Role,
    /// What was measured, and how.
    pub about: &'static str,
    /// What the size counts.
    pub variable: &'static str,
    /// The planned size.
    pub planned: u64,
    /// Seed of the first play.
    pub seed: u64,
    /// Plays at each size.
    pub plays: u32,
    /// One slope a metric.
    pub slopes: Vec<Slope>,
}

/// Measures a row.
pub fn run(row: &dyn Row, request: &Request) -> Result<Outcome, ScaleError> {
    let sizes = checked_sizes(row, request)?;
    let begun = Instant::now();
    let mut figures: Vec<(Metric, u64, f64)> = Vec::new();
    for &size in &sizes {
        for play in 0..u64::from(request.plays.max(1)) {
            if begun.elapsed() > request.time {
                let elapsed = begun.elapsed().as_secs();
                return Err(ScaleError::OutOfTime { row: row.name(), size, elapsed });
            }
            let measured = row.measure(size, request.seed + play)?;
            figures.extend(measured.into_iter().map(|m| (m.metric, size, m.value)));
        }
    }
    Ok(sum_up(row, request, &sizes, &figures))
}

fn checked_sizes(row: &dyn Row, request: &Request) -> Result<Vec<u64>, ScaleError> {
    let mut sizes = request.sizes.clone().unwrap_or_else(|| row.sizes().to_vec());
    sizes.sort_unstable();
    sizes.dedup();
    if sizes.is_empty() {
        return Err(ScaleError::NoSizes);
    }
    for &size in &sizes {
        if size == 0 {
            return Err(ScaleError::ZeroSize);
        }
        let needed_mib = row.bytes_needed(size).div_ceil(MIB);
        if needed_mib > request.memory_mib {
            let (variable, allowed_mib) = (row.variable(), request.memory_mib);
            return Err(ScaleError::TooLarge { size, variable, needed_mib, allowed_mib });
        }
    }
    Ok(sizes)
}

fn sum_up(row: &dyn Row, request: &Request, sizes: &[u64], figures: &[(Metric, u64, f64)]) -> Outcome {
    let mut metrics: Vec<Metric> = Vec::new();
    for &(metric, _, _) in figures {
        if !metrics.contains(&metric) {
            metrics.push(metric);
        }
    }
    let slopes = metrics.into_iter().map(|metric| slope(row, metric, sizes, figures)).collect();
    Outcome {
        row: row.name(),
        role: row.role(),
        about: row.about(),
        variable: row.variable(),
        planned: row.planned(),
        seed: request.seed,
        plays: request.plays.max(1),
        slopes,
    }
}

fn slope(row: &dyn Row, metric: Metric, sizes: &[u64], figures: &[(Metric, u64, f64)]) -> Slope {
    let points: Vec<Point> = sizes.iter().filter_map(|&size| point(metric, size, figures)).collect();
    let means: Vec<(u64, f64)> = points.iter().map(|p| (p.size, p.mean)).collect();
    let fit = fit(&means);
    let measured = points.iter().find(|p| p.size == row.planned()).map(|p| p.mean);
    let at_planned = measured.unwrap_or_else(|| fit.at(row.planned()));
    let bound = row.bounds().into_iter().find(|b| b.metric == metric);
    let extrapolated = points.last().is_none_or(|p| p.size < row.planned());
    let ratio = bound.map(|b| at_planned / b.most);
    Slope { metric, points, fit, at_planned, extrapolated, bound, ratio }
}

fn point(metric: Metric, size: u64, figures: &[(Metric, u64, f64)]) -> Option<Point> {
    let values: Vec<f64> = figures.iter().filter(|f| f.0 == metric && f.1 == size).map(|f| f.2).collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let least = values.iter().copied().reduce(f64::min)?;
    let most = values.iter().copied().reduce(f64::max)?;
    Some(Point { size, mean, least, most })
}
