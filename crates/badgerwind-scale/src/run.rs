//! Measures a row at several sizes within limits on memory and time, and summarizes the measurements.

use crate::error::ScaleError;
use crate::fit::{best_fit, Fit};
use crate::row::{Bound, Metric, Role, Row};
use serde::Serialize;
use std::time::{Duration, Instant};

const MIB: u64 = 1 << 20;

/// Options of a measurement.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Sizes to measure; `None` for the default sizes of the row.
    pub sizes: Option<Vec<u64>>,
    /// Seed of the random number generators in the first repetition.
    pub seed: u64,
    /// Repetitions at each size, with consecutive seeds.
    pub repetitions: u32,
    /// Memory limit in MiB.
    pub max_memory_mib: u64,
    /// Wall time after which no further repetition is started.
    pub time_limit: Duration,
}

/// One metric at one size, over all repetitions.
#[derive(Debug, Clone, Serialize)]
pub struct Point {
    /// The measured size.
    pub size: u64,
    /// Mean over the repetitions.
    pub mean: f64,
    /// Smallest value of the repetitions.
    #[serde(rename = "least")]
    pub min: f64,
    /// Largest value of the repetitions.
    #[serde(rename = "most")]
    pub max: f64,
}

/// One metric over all sizes, with its fitted growth.
#[derive(Debug, Clone, Serialize)]
pub struct MetricResult {
    /// The measured metric.
    pub metric: Metric,
    /// Values by size.
    pub points: Vec<Point>,
    /// Growth fitted to the means.
    pub fit: Fit,
    /// Value at the planned size: the measured mean if that size was measured, otherwise the value of the
    /// fit.
    #[serde(rename = "at_planned")]
    pub planned_value: f64,
    /// Whether the planned size is larger than the largest measured size.
    pub extrapolated: bool,
    /// Bound at the planned size, if the row has one for this metric.
    pub bound: Option<Bound>,
    /// Value at the planned size divided by the bound.
    #[serde(rename = "ratio")]
    pub bound_ratio: Option<f64>,
}

/// A measured row.
#[derive(Debug, Clone, Serialize)]
pub struct RowResult {
    /// Name of the row.
    pub row: &'static str,
    /// The role that bears the cost.
    pub role: Role,
    /// What was measured and how.
    pub about: &'static str,
    /// What the size counts.
    pub variable: &'static str,
    /// The planned size.
    #[serde(rename = "planned")]
    pub planned_size: u64,
    /// Seed of the first repetition.
    pub seed: u64,
    /// Repetitions at each size.
    #[serde(rename = "plays")]
    pub repetitions: u32,
    /// Results by metric, in the order of the first measurement of each.
    #[serde(rename = "slopes")]
    pub metrics: Vec<MetricResult>,
}

/// A measured value at one size.
struct Sample {
    metric: Metric,
    size: u64,
    value: f64,
}

/// Measures a row at all requested sizes.
pub fn measure_row(row: &dyn Row, options: &RunOptions) -> Result<RowResult, ScaleError> {
    let sizes = validated_sizes(row, options)?;
    let started = Instant::now();
    let mut samples: Vec<Sample> = Vec::new();
    for &size in &sizes {
        for repetition in 0..u64::from(options.repetitions.max(1)) {
            if started.elapsed() > options.time_limit {
                let elapsed = started.elapsed().as_secs();
                return Err(ScaleError::OutOfTime { row: row.name(), size, elapsed });
            }
            let measured = row.measure(size, options.seed + repetition)?;
            samples.extend(measured.into_iter().map(|m| Sample { metric: m.metric, size, value: m.value }));
        }
    }
    Ok(summarize(row, options, &sizes, &samples))
}

fn validated_sizes(row: &dyn Row, options: &RunOptions) -> Result<Vec<u64>, ScaleError> {
    let mut sizes = options.sizes.clone().unwrap_or_else(|| row.default_sizes().to_vec());
    sizes.sort_unstable();
    sizes.dedup();
    if sizes.is_empty() {
        return Err(ScaleError::NoSizes);
    }
    for &size in &sizes {
        if size == 0 {
            return Err(ScaleError::ZeroSize);
        }
        let needed_mib = row.estimated_heap_bytes(size).div_ceil(MIB);
        if needed_mib > options.max_memory_mib {
            let (variable, allowed_mib) = (row.variable(), options.max_memory_mib);
            return Err(ScaleError::TooLarge { size, variable, needed_mib, allowed_mib });
        }
    }
    Ok(sizes)
}

fn summarize(row: &dyn Row, options: &RunOptions, sizes: &[u64], samples: &[Sample]) -> RowResult {
    let mut metrics: Vec<Metric> = Vec::new();
    for &Sample { metric, .. } in samples {
        if !metrics.contains(&metric) {
            metrics.push(metric);
        }
    }
    let metrics = metrics.into_iter().map(|metric| metric_result(row, metric, sizes, samples)).collect();
    RowResult {
        row: row.name(),
        role: row.role(),
        about: row.about(),
        variable: row.variable(),
        planned_size: row.planned_size(),
        seed: options.seed,
        repetitions: options.repetitions.max(1),
        metrics,
    }
}

fn metric_result(row: &dyn Row, metric: Metric, sizes: &[u64], samples: &[Sample]) -> MetricResult {
    let points: Vec<Point> = sizes.iter().filter_map(|&size| point(metric, size, samples)).collect();
    let means: Vec<(u64, f64)> = points.iter().map(|p| (p.size, p.mean)).collect();
    let fit = best_fit(&means);
    let measured = points.iter().find(|p| p.size == row.planned_size()).map(|p| p.mean);
    let planned_value = measured.unwrap_or_else(|| fit.predict(row.planned_size()));
    let bound = row.bounds().into_iter().find(|b| b.metric == metric);
    let extrapolated = points.last().is_none_or(|p| p.size < row.planned_size());
    let bound_ratio = bound.map(|b| planned_value / b.max);
    MetricResult { metric, points, fit, planned_value, extrapolated, bound, bound_ratio }
}

fn point(metric: Metric, size: u64, samples: &[Sample]) -> Option<Point> {
    let values: Vec<f64> =
        samples.iter().filter(|s| s.metric == metric && s.size == size).map(|s| s.value).collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let min = values.iter().copied().reduce(f64::min)?;
    let max = values.iter().copied().reduce(f64::max)?;
    Some(Point { size, mean, min, max })
}
